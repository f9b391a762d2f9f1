//! Lists of servers, and how they are followed.
//!
//! Every source ends in the same thing: a [`List`], whole or of changes, that the node hands to its decisions. A
//! [`follower::Follower`] decides when a source is asked, which answers count, and whether the view that came of them
//! is fresh, doubtful or blind. It has no clock, sockets or randomness but its seed; [`catalog`] is the shell that
//! carries it out on HTTP. A [`registry`] is followed by watches, by a follower of its own. Where there are several
//! sources, a [`reconciler::Reconciler`] makes one list of theirs.

use std::time::Duration;

mod alarm;
pub mod catalog;
mod fixed;
pub mod follower;
mod leaving;
mod list;
pub mod reconciler;
pub mod registry;
mod report;

/// A pause that doubles with each step from the least to the most, and is anything between its half and all of it: nodes that
/// failed together do not try again together.
fn backoff_delay(random: &mut fastrand::Rng, least: Duration, most: Duration, steps: u32) -> Duration {
    least.saturating_mul(1 << steps.min(16)).min(most).mul_f64(0.5 + 0.5 * random.f64())
}

pub use alarm::Timer;
pub use fixed::{StaticList, StaticServer};
pub use list::{List, Member, Phase};
pub use report::{CallEnd, CallError, CallReport};
