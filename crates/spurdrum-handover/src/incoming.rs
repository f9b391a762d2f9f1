//! The incoming side as a state machine: a process that starts beside a running one.

use crate::message::{Identity, Message};

/// What happens to the incoming process.
#[derive(Clone, Debug, PartialEq)]
pub enum IncomingEvent {
    /// The channel to the outgoing process is open.
    Connected,
    /// A message has arrived.
    Received(Message),
    /// There is no outgoing process, it has gone, it sent an invalid message, or it did not answer in time.
    Lost,
}

/// What the incoming process is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum IncomingAction {
    /// Send this message.
    Send(Message),
    /// Take over with the listening socket that was received.
    TakeOver {
        /// The descriptors that the outgoing process keeps.
        share: usize,
        /// The state that it hands over.
        state: serde_json::Value,
    },
    /// Listen on a socket of its own, for this reason.
    StartAlone(String),
    /// The outgoing process now keeps this many descriptors.
    Share(usize),
    /// Serve the connection that was received; these bytes have been read from it already.
    Serve(Vec<u8>),
    /// The outgoing process has gone; the whole budget belongs to this process.
    OutgoingGone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Begun,
    Greeted,
    TakenOver,
    Alone,
}

/// The state machine of the incoming process, without clock or I/O.
#[derive(Debug)]
pub struct Incoming {
    identity: Identity,
    state: State,
}

impl Incoming {
    /// The incoming process of this node.
    #[must_use]
    pub fn new(identity: Identity) -> Self {
        Self { identity, state: State::Begun }
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(&mut self, event: IncomingEvent, actions: &mut Vec<IncomingAction>) {
        match (self.state, event) {
            (State::Begun, IncomingEvent::Connected) => {
                self.state = State::Greeted;
                actions.push(IncomingAction::Send(Message::Hello(self.identity.clone())));
            }
            (State::Greeted, IncomingEvent::Received(Message::Offer { share, state })) => {
                self.state = State::TakenOver;
                actions.push(IncomingAction::TakeOver { share, state });
                actions.push(IncomingAction::Send(Message::Confirm));
            }
            (State::Greeted, IncomingEvent::Received(Message::Decline(why))) => {
                self.start_alone(why, actions)
            }
            (State::TakenOver, IncomingEvent::Received(Message::Share(share))) => {
                actions.push(IncomingAction::Share(share));
            }
            (State::TakenOver, IncomingEvent::Received(Message::Connection)) => {
                actions.push(IncomingAction::Serve(Vec::new()));
            }
            (State::TakenOver, IncomingEvent::Received(Message::Request { read })) => {
                actions.push(IncomingAction::Serve(read));
            }
            (State::Begun | State::Greeted, IncomingEvent::Lost) => {
                self.start_alone("no process answers".into(), actions);
            }
            (State::Greeted, IncomingEvent::Received(_)) => {
                self.start_alone("it answers out of turn".into(), actions);
            }
            (State::TakenOver, _) => {
                self.state = State::Alone;
                actions.push(IncomingAction::OutgoingGone);
            }
            (State::Begun | State::Alone, _) | (State::Greeted, IncomingEvent::Connected) => {}
        }
    }

    fn start_alone(&mut self, why: String, actions: &mut Vec<IncomingAction>) {
        self.state = State::Alone;
        actions.push(IncomingAction::StartAlone(why));
    }
}
