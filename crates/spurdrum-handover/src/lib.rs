//! Passing one node from one process to the next.
//!
//! The running process is the [`Elder`], the one that starts beside it the [`Heir`]; each is a pure state machine,
//! `handle(event) -> actions`. They speak [`Message`]s over a Unix socket, which also carries descriptors: first the listening
//! socket, and once the elder has been told to end, clients' connections that rest between two requests. The budget of
//! descriptors of both sums to one node's at every instant: the elder lowers its own part before it tells of it.
//!
//! [`Offer`] (with an [`Estate`]) and [`Inheritance`] are the thin shells.

mod elder;
mod heir;
mod message;
mod shell;

pub use elder::{Elder, ElderAction, ElderEvent, HeirId};
pub use heir::{Heir, HeirAction, HeirEvent};
pub use message::{Frames, Identity, Message, Unsound, FORMAT, FRAME_MOST};
pub use shell::{path, Estate, Inheritance, Offer, Told};
