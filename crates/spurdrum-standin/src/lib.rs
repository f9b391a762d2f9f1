//! Stand-in servers and a catalog, with faults that are played from a script.
//!
//! A [`Fleet`] runs on loopback addresses in a thread of its own, from a [`scenario::Scenario`]. Servers have cores,
//! slots and a queue; what they do is decided in [`model`], which has no clock, I/O or randomness but its seed. Each
//! counts what it began, so that a test can ask whether a request ran twice, or twice at once.

mod catalog;
pub mod draw;
mod fleet;
pub mod manual;
pub mod model;
pub mod queued;
pub mod registry;
pub mod scenario;
mod server;
mod tally;

pub use catalog::Catalog;
pub use fleet::Fleet;
pub use tally::{AttemptRecord, Counters};
