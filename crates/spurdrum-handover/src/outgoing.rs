//! The outgoing side as a state machine: the running process, which may be replaced.

use crate::message::{Identity, Message};

/// A process that has requested a takeover, numbered in order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct IncomingId(pub u64);

/// What happens to the outgoing process.
#[derive(Clone, Debug, PartialEq)]
pub enum OutgoingEvent {
    /// A process of the same user has connected.
    Connected(IncomingId),
    /// It has sent this message.
    Received(IncomingId, Message),
    /// It has gone, or sent an invalid message.
    Lost(IncomingId),
    /// The outgoing process starts its shutdown.
    Stop,
}

/// What the outgoing process is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum OutgoingAction {
    /// Send the offer and the listening socket; from now on the outgoing process keeps to its share of the budget.
    Offer(IncomingId),
    /// Send the reason and close the channel.
    Decline(IncomingId, &'static str),
    /// Close the channel.
    Drop(IncomingId),
    /// The incoming process accepts connections as well, and receives the next takeover request.
    Confirmed(IncomingId),
    /// Accept no more connections, and pass idle ones on.
    HandOver(IncomingId),
    /// The incoming process has gone: this process has the whole budget again, and accepts connections and takeover requests.
    ResumeAlone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Alone,
    Greeting(IncomingId),
    Offered(IncomingId),
    Confirmed(IncomingId),
}

/// The state machine of the outgoing process, without clock or I/O.
#[derive(Debug)]
pub struct Outgoing {
    identity: Identity,
    state: State,
    stopping: bool,
    /// Whether the process that was last offered the listening socket accepts requests that were read here.
    accepts_requests: bool,
}

impl Outgoing {
    /// The outgoing process of this node.
    #[must_use]
    pub fn new(identity: Identity) -> Self {
        Self { identity, state: State::Alone, stopping: false, accepts_requests: false }
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(&mut self, event: OutgoingEvent, actions: &mut Vec<OutgoingAction>) {
        match event {
            OutgoingEvent::Connected(id) => match self.state {
                _ if self.stopping => actions.push(OutgoingAction::Decline(id, "this process is ending")),
                State::Alone => self.state = State::Greeting(id),
                _ => actions.push(OutgoingAction::Decline(id, "another process is taking over")),
            },
            OutgoingEvent::Received(id, message) => self.said(id, &message, actions),
            OutgoingEvent::Lost(id) => self.lost(id, actions),
            OutgoingEvent::Stop => {
                self.stopping = true;
                match self.state {
                    State::Confirmed(id) => actions.push(OutgoingAction::HandOver(id)),
                    State::Greeting(id) => {
                        self.state = State::Alone;
                        actions.push(OutgoingAction::Decline(id, "this process is ending"));
                    }
                    // An offered process is still to confirm or be lost.
                    State::Alone | State::Offered(_) => {}
                }
            }
        }
    }

    fn said(&mut self, id: IncomingId, message: &Message, actions: &mut Vec<OutgoingAction>) {
        match (self.state, message) {
            (State::Greeting(of), Message::Hello(who)) if of == id => {
                let why = match () {
                    () if who.format != self.identity.format => "this process speaks another format",
                    () if !who.is_same_node(&self.identity) => "this process is another node",
                    () => {
                        self.accepts_requests = who.accepts_requests;
                        self.state = State::Offered(id);
                        return actions.push(OutgoingAction::Offer(id));
                    }
                };
                self.state = State::Alone;
                actions.push(OutgoingAction::Decline(id, why));
            }
            (State::Offered(of), Message::Confirm) if of == id => {
                self.state = State::Confirmed(id);
                actions.push(OutgoingAction::Confirmed(id));
                if self.stopping {
                    actions.push(OutgoingAction::HandOver(id));
                }
            }
            // A protocol violation.
            _ => {
                actions.push(OutgoingAction::Drop(id));
                self.lost(id, actions);
            }
        }
    }

    fn lost(&mut self, id: IncomingId, actions: &mut Vec<OutgoingAction>) {
        match self.state {
            State::Greeting(of) if of == id => self.state = State::Alone,
            State::Offered(of) | State::Confirmed(of) if of == id => {
                self.state = State::Alone;
                actions.push(OutgoingAction::ResumeAlone);
            }
            _ => {}
        }
    }

    /// Whether another process has been sent the listening socket and has not confirmed yet.
    #[must_use]
    pub fn awaits_confirmation(&self) -> bool {
        matches!(self.state, State::Offered(_))
    }

    /// Whether the process that takes over accepts requests that were read here.
    #[must_use]
    pub fn can_hand_over_requests(&self) -> bool {
        self.is_confirmed() && self.accepts_requests
    }

    /// Whether another process accepts connections as well.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        matches!(self.state, State::Confirmed(_))
    }
}
