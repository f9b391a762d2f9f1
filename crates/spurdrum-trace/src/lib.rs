//! A trace of what a node did with each request and what it learned about servers: one JSON object per line,
//! in a file of limited size.
//!
//! - [`record`]: the records, and how they are read.
//! - [`bound`]: when a file is full and the next one is started; no I/O.
//! - [`mod@file`]: the thread that writes, behind a bounded queue, so that neither a slow nor a full disk
//!   affects the requests. Records that do not fit into the queue are counted, and the count is written
//!   instead of them.
//!
//! Tracing is off unless a file is configured for it.

pub mod bound;
pub mod file;
pub mod record;

pub use bound::FileRotation;
pub use file::{Settings, Trace, TraceWriterGuard};
pub use record::{read, ServerState, TraceEvent, TraceRecord};
