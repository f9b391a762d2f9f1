//! Operators' calls on an address of their own: one line to a connection, one answer, and the connection ends.
//!
//! | call | answer |
//! | --- | --- |
//! | `readyz` | `YES ...` once this process can serve, else `NO` and why |
//! | `telemetry` | the figures as one line of JSON, then a line `END` |
//!
//! A [`Desk`] is the pure half: it reads lines as they come in pieces, and bounds callers in number, bytes and time. The
//! oldest that has not said its line makes room for who comes. [`serve`] is the thin shell of sockets round it.

mod desk;
mod figures;
mod shell;

pub use desk::{Action, Call, CallerId, Desk, Event, Settings};
pub use figures::{telemetry, Servers};
pub use shell::{serve, Operated};
