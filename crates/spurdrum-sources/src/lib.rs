//! Sources of the list of servers, and how a node keeps the list up to date.
//!
//! Every source produces the same thing: a [`List`], either whole or of changes, that the node passes to its
//! load-balancing policy. A [`follower::Follower`] decides when discovery is called, which answers count, and
//! whether the resulting list is fresh, doubtful or stale. It is a pure state machine: it has no clock, no
//! sockets, and no randomness but its seed. [`catalog`] is the shell that carries out its actions over HTTP.
//! A [`registry`] (etcd or Consul) has a follower of its own, which uses the watches of the registry. If
//! there are several sources, a [`reconciler::Reconciler`] merges their lists into one.

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

/// Returns a delay that doubles with each step from `min` up to `max`, reduced by a random part of up to half
/// of it, so that nodes that failed together do not retry together.
fn backoff_delay(rng: &mut fastrand::Rng, min: Duration, max: Duration, doublings: u32) -> Duration {
    min.saturating_mul(1 << doublings.min(16)).min(max).mul_f64(0.5 + 0.5 * rng.f64())
}

pub use alarm::Timer;
pub use fixed::{StaticList, StaticServer};
pub use list::{List, Member, Phase};
pub use report::{CallEnd, CallError, CallReport};
