//! Simulated servers and a catalog, with faults scheduled in a scenario file.
//!
//! A [`Fleet`] runs on loopback addresses in a thread of its own, from a [`scenario::Scenario`]. Servers
//! have cores, slots and a queue; their behaviour is decided in [`model`], which has no clock and no I/O,
//! and no randomness but that of its seed. Each server counts the requests that it began, so that a test can
//! check whether a request ran twice, or twice concurrently.

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
