//! A change of the program or of its settings, carried to a fleet in stages: old and new nodes side by side, stopped and
//! taken back when a stage does worse.
//!
//! - [`plan`]: which nodes, which change, which stages, what is too much; from a TOML file.
//! - [`conductor`]: which node is told what, when a stage is over, when all goes back. Pure: no clock, no I/O.
//! - [`judge`]: new nodes beside old ones in the same time, and the whole fleet beside the time before. Pure.
//! - [`orders`]: what is said to the keeper of each node, and what it answers, one line each.
//! - [`timers`]: the times that a state machine asks for.
//! - [`shell`]: sockets and timers round the conductor and the judge.
//!
//! Nothing is remembered by the conductor alone: what nodes run and which conductor directs them is asked of their keepers,
//! so that another can go on where one has died.

pub mod conductor;
pub mod judge;
pub mod orders;
pub mod plan;
pub mod shell;
pub mod timers;
pub mod version;
