//! What a node did with each request, and what it was told of servers, one line of JSON each, in a file that is bounded.
//!
//! - [`record`]: what is noted, and how it is read again.
//! - [`bound`]: when a file is full and the next one is begun; no I/O.
//! - [`mod@file`]: the thread that writes, behind a bounded queue: neither a slow disk nor a full one is felt by those who are
//!   served. What finds no room is counted, and the count is noted in its place.
//!
//! It is off unless a file is named for it.

pub mod bound;
pub mod file;
pub mod record;

pub use bound::FileRotation;
pub use file::{Settings, Trace, TraceWriterGuard};
pub use record::{read, ServerState, TraceEvent, TraceRecord};
