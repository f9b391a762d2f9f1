//! Operators' calls on an address of their own: one line to a connection, one answer, and the connection ends.
//!
//! | call | answer |
//! | --- | --- |
//! | `readyz` | `YES ...` once this process can serve, else `NO` and why |
//! | `telemetry` | the figures as one line of JSON, then a line `END` |
//! | `latencies` | where `[node] latencies` is on: by class, upper bounds in microseconds and counts, then a line `END` |
//!
//! Other programs of this project answer lines of their own ([`CallHandler`]).
//!
//! A [`AdminEndpoint`] is the pure half: it reads lines as they come in pieces, and bounds callers in number, bytes and time. The
//! oldest that has not said its line makes room for who comes. [`serve`] is the thin shell of sockets round it.

mod calls;
mod desk;
mod figures;
mod shell;

pub use calls::{AdminOperations, NodeCalls};
pub use desk::{Action, AdminEndpoint, CallerId, Event, Settings};
pub use figures::{latencies, telemetry, ServerCounts};
pub use shell::{serve, CallHandler};
