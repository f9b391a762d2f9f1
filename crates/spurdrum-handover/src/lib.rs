//! Handover of a node from a running process to the one that replaces it.
//!
//! The running process is the [`Outgoing`] side, the one that starts beside it the [`Incoming`] side; each is a pure state machine,
//! `handle(event) -> actions`. They exchange [`Message`]s over a Unix socket, which also carries descriptors: first the listening
//! socket, and once the outgoing process is shutting down, clients' connections: idle ones, and such from which a request has been
//! read that no server has been sent. The two processes share one node's descriptor
//! budget; the outgoing process lowers its own share before it reports it, so the sum never exceeds the budget.
//!
//! [`Offer`] (with a [`BudgetOwner`]) and [`Takeover`] (with its [`TakeoverEvent`]s) drive the state machines over the socket.

mod channel;
mod endpoint;
mod incoming;
mod message;
mod offer;
mod outgoing;
mod takeover;

pub use endpoint::path;
pub use incoming::{Incoming, IncomingAction, IncomingEvent};
pub use message::{FrameError, Frames, Identity, Message, FORMAT, MAX_FRAME_PAYLOAD};
pub use offer::{BudgetOwner, Offer};
pub use outgoing::{IncomingId, Outgoing, OutgoingAction, OutgoingEvent};
pub use takeover::{Takeover, TakeoverEvent};
