//! The admin endpoint: operators' calls on an address of its own. Each connection carries one line, the call;
//! the endpoint sends one answer and closes.
//!
//! | call | answer |
//! | --- | --- |
//! | `readyz` | `YES ...` if this process is ready to serve, otherwise `NO` and the reason |
//! | `telemetry` | the metrics as one line of JSON, then a line `END` |
//! | `latencies` | if `[node] latencies` is on: a histogram for each class (upper bounds in microseconds, counts), then a line `END` |
//!
//! Other programs of this workspace implement [`CallHandler`] to answer calls of their own.
//!
//! [`AdminEndpoint`] is a pure state machine that assembles lines from the pieces in which they arrive, and
//! limits callers in number, bytes and time. At the limit the oldest caller whose line is incomplete is
//! evicted in favour of a new one. [`serve`] is the thin I/O layer round it.

mod calls;
mod endpoint;
mod shell;
mod telemetry;

pub use calls::{AdminOperations, NodeCalls};
pub use endpoint::{Action, AdminEndpoint, CallerId, Event, Settings};
pub use shell::{serve, CallHandler};
pub use telemetry::{latencies, telemetry, ServerCounts};
