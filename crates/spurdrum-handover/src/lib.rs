//! Handover of a node from the running process to the process that replaces it, without refusing connections
//! in between.
//!
//! The running process is the *outgoing* one ([`Outgoing`]); the process that starts while it still serves is
//! the *incoming* one ([`Incoming`]). Each side is a pure state machine, `handle(event, actions)`. They
//! exchange [`Message`]s over a Unix socket that also carries file descriptors: first the listening socket,
//! and once the outgoing process shuts down, client connections. It hands over idle connections and those
//! from which it has read a request that it has not sent to any server.
//!
//! The two processes share one node's budgets of file descriptors and memory. The outgoing process lowers its
//! own share before it reports the new share, so the sum of both never exceeds the budgets.
//!
//! [`Offer`] (with a [`BudgetOwner`]) drives the outgoing state machine over the socket, [`Takeover`] (with
//! its [`TakeoverEvent`]s) the incoming one.

mod channel;
mod endpoint;
mod incoming;
mod message;
mod offer;
mod outgoing;
mod takeover;

pub use endpoint::path;
pub use incoming::{Incoming, IncomingAction, IncomingEvent};
pub use message::{BudgetShare, FrameError, Frames, Identity, Message, FORMAT, MAX_FRAME_PAYLOAD};
pub use offer::{BudgetOwner, Offer};
pub use outgoing::{IncomingId, Outgoing, OutgoingAction, OutgoingEvent};
pub use takeover::{Takeover, TakeoverEvent};
