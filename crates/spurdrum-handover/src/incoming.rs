//! The state machine of the incoming process: one that starts while another process serves the same node.

use crate::message::{Identity, Message};

/// An event for the incoming process's state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum IncomingEvent {
    /// The channel to the outgoing process is open.
    Connected,
    /// The outgoing process has sent this message.
    Received(Message),
    /// There is no outgoing process, its channel has closed, it sent an invalid message, or it did not answer
    /// in time.
    Lost,
}

/// An action that the incoming process's shell performs.
#[derive(Clone, Debug, PartialEq)]
pub enum IncomingAction {
    /// Send this message to the outgoing process.
    Send(Message),
    /// Serve the node with the listening socket that was received.
    TakeOver {
        /// The number of file descriptors of the node's budget that the outgoing process keeps.
        share: usize,
        /// The part of the node's memory limit that the outgoing process keeps, if it says so.
        memory: Option<u64>,
        /// Whether the outgoing process accepts [`Message::Begun`].
        accepts_begun_requests: bool,
        /// The state that the outgoing process hands over.
        state: serde_json::Value,
    },
    /// Bind a listening socket of its own, since there is no takeover for this reason.
    StartAlone(String),
    /// The outgoing process now keeps this many file descriptors of the node's budget.
    Share(usize),
    /// The outgoing process now keeps this part of the node's memory limit, in bytes.
    MemoryShare(u64),
    /// Attempts of these requests have begun in the outgoing process.
    Begun(Vec<u64>),
    /// Serve the client connection that was received. The outgoing process has already read these bytes from
    /// it.
    Serve(Vec<u8>),
    /// The outgoing process has gone; the whole descriptor budget belongs to this process.
    OutgoingGone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Not connected to an outgoing process yet.
    Started,
    /// `Hello` is sent and not answered yet.
    HelloSent,
    /// The takeover is granted and the outgoing process still runs.
    TakenOver,
    /// There is no outgoing process, or no longer one.
    Alone,
}

/// The state machine of the incoming process, without a clock or I/O.
#[derive(Debug)]
pub struct Incoming {
    identity: Identity,
    state: State,
}

impl Incoming {
    /// Creates the state machine for the incoming process of this node.
    #[must_use]
    pub fn new(identity: Identity) -> Self {
        Self { identity, state: State::Started }
    }

    /// Handles an event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, event: IncomingEvent, actions: &mut Vec<IncomingAction>) {
        match (self.state, event) {
            (State::Started, IncomingEvent::Connected) => {
                self.state = State::HelloSent;
                actions.push(IncomingAction::Send(Message::Hello(self.identity.clone())));
            }
            (
                State::HelloSent,
                IncomingEvent::Received(Message::Offer { share, memory, accepts_begun_requests, state }),
            ) => {
                self.state = State::TakenOver;
                actions.push(IncomingAction::TakeOver { share, memory, accepts_begun_requests, state });
                actions.push(IncomingAction::Send(Message::Confirm));
            }
            (State::HelloSent, IncomingEvent::Received(Message::Decline(reason))) => {
                self.start_alone(reason, actions)
            }
            (State::TakenOver, IncomingEvent::Received(Message::Share(share))) => {
                actions.push(IncomingAction::Share(share));
            }
            (State::TakenOver, IncomingEvent::Received(Message::MemoryShare(share))) => {
                actions.push(IncomingAction::MemoryShare(share));
            }
            (State::TakenOver, IncomingEvent::Received(Message::Begun(requests))) => {
                actions.push(IncomingAction::Begun(requests));
            }
            (State::TakenOver, IncomingEvent::Received(Message::Connection)) => {
                actions.push(IncomingAction::Serve(Vec::new()));
            }
            (State::TakenOver, IncomingEvent::Received(Message::Request { read })) => {
                actions.push(IncomingAction::Serve(read));
            }
            (State::Started | State::HelloSent, IncomingEvent::Lost) => {
                self.start_alone("no running process answers".into(), actions);
            }
            (State::HelloSent, IncomingEvent::Received(_)) => {
                self.start_alone("the running process sent a message out of sequence".into(), actions);
            }
            (State::TakenOver, _) => {
                self.state = State::Alone;
                actions.push(IncomingAction::OutgoingGone);
            }
            (State::Started | State::Alone, _) | (State::HelloSent, IncomingEvent::Connected) => {}
        }
    }

    /// Gives up the takeover for this reason.
    fn start_alone(&mut self, reason: String, actions: &mut Vec<IncomingAction>) {
        self.state = State::Alone;
        actions.push(IncomingAction::StartAlone(reason));
    }
}
