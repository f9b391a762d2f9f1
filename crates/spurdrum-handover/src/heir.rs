//! The process that starts beside a running one.

use crate::message::{Identity, Message};

/// What happens to the heir.
#[derive(Clone, Debug, PartialEq)]
pub enum HeirEvent {
    /// There is a process to call.
    Connected,
    /// It has said this.
    Said(Message),
    /// There is none, it has gone, it said what is no message, or it does not answer in time.
    Lost,
}

/// What the heir is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum HeirAction {
    /// Send this.
    Send(Message),
    /// The listening socket that came is this process's too; the elder knows this and keeps so many descriptors.
    Inherit {
        /// Descriptors that the elder keeps.
        share: usize,
        /// What it knows.
        state: serde_json::Value,
    },
    /// Listen on a socket of its own.
    StartAlone(String),
    /// The elder keeps so many descriptors now.
    Share(usize),
    /// Serve the connection that came.
    Serve,
    /// The elder has gone: the whole budget is this process's.
    Alone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Begun,
    Greeted,
    Inherited,
    Alone,
}

/// The decisions of the heir: no clock and no I/O.
#[derive(Debug)]
pub struct Heir {
    identity: Identity,
    state: State,
}

impl Heir {
    /// The process of this node.
    #[must_use]
    pub fn new(identity: Identity) -> Self {
        Self { identity, state: State::Begun }
    }

    /// Handles an event.
    pub fn handle(&mut self, event: HeirEvent, actions: &mut Vec<HeirAction>) {
        match (self.state, event) {
            (State::Begun, HeirEvent::Connected) => {
                self.state = State::Greeted;
                actions.push(HeirAction::Send(Message::Hello(self.identity.clone())));
            }
            (State::Greeted, HeirEvent::Said(Message::Offer { share, state })) => {
                self.state = State::Inherited;
                actions.push(HeirAction::Inherit { share, state });
                actions.push(HeirAction::Send(Message::Confirm));
            }
            (State::Greeted, HeirEvent::Said(Message::Decline(why))) => self.start_alone(why, actions),
            (State::Inherited, HeirEvent::Said(Message::Share(share))) => {
                actions.push(HeirAction::Share(share));
            }
            (State::Inherited, HeirEvent::Said(Message::Connection)) => actions.push(HeirAction::Serve),
            (State::Begun | State::Greeted, HeirEvent::Lost) => {
                self.start_alone("no process answers".into(), actions);
            }
            (State::Greeted, HeirEvent::Said(_)) => {
                self.start_alone("it answers out of turn".into(), actions);
            }
            (State::Inherited, _) => {
                self.state = State::Alone;
                actions.push(HeirAction::Alone);
            }
            (State::Begun | State::Alone, _) | (State::Greeted, HeirEvent::Connected) => {}
        }
    }

    fn start_alone(&mut self, why: String, actions: &mut Vec<HeirAction>) {
        self.state = State::Alone;
        actions.push(HeirAction::StartAlone(why));
    }
}
