//! The process that starts beside a running one.

use crate::message::{Identity, Message};

/// What happens to the incoming process.
#[derive(Clone, Debug, PartialEq)]
pub enum IncomingEvent {
    /// There is a process to call.
    Connected,
    /// It has said this.
    Said(Message),
    /// There is none, it has gone, it said what is no message, or it does not answer in time.
    Lost,
}

/// What the incoming process is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum IncomingAction {
    /// Send this.
    Send(Message),
    /// The listening socket that came is this process's too; the outgoing process knows this and keeps so many descriptors.
    Inherit {
        /// Descriptors that the outgoing process keeps.
        share: usize,
        /// What it knows.
        state: serde_json::Value,
    },
    /// Listen on a socket of its own.
    StartAlone(String),
    /// The outgoing process keeps so many descriptors now.
    Share(usize),
    /// Serve the connection that came.
    Serve,
    /// The outgoing process has gone: the whole budget is this process's.
    Alone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Begun,
    Greeted,
    Inherited,
    Alone,
}

/// The decisions of the incoming process: no clock and no I/O.
#[derive(Debug)]
pub struct Incoming {
    identity: Identity,
    state: State,
}

impl Incoming {
    /// The process of this node.
    #[must_use]
    pub fn new(identity: Identity) -> Self {
        Self { identity, state: State::Begun }
    }

    /// Handles an event.
    pub fn handle(&mut self, event: IncomingEvent, actions: &mut Vec<IncomingAction>) {
        match (self.state, event) {
            (State::Begun, IncomingEvent::Connected) => {
                self.state = State::Greeted;
                actions.push(IncomingAction::Send(Message::Hello(self.identity.clone())));
            }
            (State::Greeted, IncomingEvent::Said(Message::Offer { share, state })) => {
                self.state = State::Inherited;
                actions.push(IncomingAction::Inherit { share, state });
                actions.push(IncomingAction::Send(Message::Confirm));
            }
            (State::Greeted, IncomingEvent::Said(Message::Decline(why))) => self.start_alone(why, actions),
            (State::Inherited, IncomingEvent::Said(Message::Share(share))) => {
                actions.push(IncomingAction::Share(share));
            }
            (State::Inherited, IncomingEvent::Said(Message::Connection)) => {
                actions.push(IncomingAction::Serve);
            }
            (State::Begun | State::Greeted, IncomingEvent::Lost) => {
                self.start_alone("no process answers".into(), actions);
            }
            (State::Greeted, IncomingEvent::Said(_)) => {
                self.start_alone("it answers out of turn".into(), actions);
            }
            (State::Inherited, _) => {
                self.state = State::Alone;
                actions.push(IncomingAction::Alone);
            }
            (State::Begun | State::Alone, _) | (State::Greeted, IncomingEvent::Connected) => {}
        }
    }

    fn start_alone(&mut self, why: String, actions: &mut Vec<IncomingAction>) {
        self.state = State::Alone;
        actions.push(IncomingAction::StartAlone(why));
    }
}
