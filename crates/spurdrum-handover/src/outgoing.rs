//! The running process, which may be replaced.

use crate::message::{Identity, Message};

/// A process that has called, numbered in the order of calling.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct IncomingId(pub u64);

/// What happens to the outgoing process.
#[derive(Clone, Debug, PartialEq)]
pub enum OutgoingEvent {
    /// A process of the same user has called.
    Called(IncomingId),
    /// It has said this.
    Said(IncomingId, Message),
    /// It has gone, or said what is no message.
    Lost(IncomingId),
    /// The outgoing process has been told to end.
    Stop,
}

/// What the outgoing process is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum OutgoingAction {
    /// Send the offer and the listening socket: from now on the outgoing process keeps to its part of the budget.
    Offer(IncomingId),
    /// Send the reason, and close.
    Decline(IncomingId, &'static str),
    /// Close.
    Drop(IncomingId),
    /// The incoming process accepts as well. Whoever starts next calls the incoming process.
    Succeeded(IncomingId),
    /// Accept no more, and pass on what rests.
    Pass(IncomingId),
    /// There is no incoming process any more: the whole budget is the outgoing process's again, it can be called, and accepts.
    Alone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Alone,
    Greeting(IncomingId),
    Offered(IncomingId),
    Succeeded(IncomingId),
}

/// The decisions of the outgoing process: no clock and no I/O.
#[derive(Debug)]
pub struct Outgoing {
    identity: Identity,
    state: State,
    stopping: bool,
}

impl Outgoing {
    /// The process of this node.
    #[must_use]
    pub fn new(identity: Identity) -> Self {
        Self { identity, state: State::Alone, stopping: false }
    }

    /// Handles an event.
    pub fn handle(&mut self, event: OutgoingEvent, actions: &mut Vec<OutgoingAction>) {
        match event {
            OutgoingEvent::Called(id) => match self.state {
                _ if self.stopping => actions.push(OutgoingAction::Decline(id, "this process is ending")),
                State::Alone => self.state = State::Greeting(id),
                _ => actions.push(OutgoingAction::Decline(id, "another process is taking over")),
            },
            OutgoingEvent::Said(id, message) => self.said(id, &message, actions),
            OutgoingEvent::Lost(id) => self.lost(id, actions),
            OutgoingEvent::Stop => {
                self.stopping = true;
                match self.state {
                    State::Succeeded(id) => actions.push(OutgoingAction::Pass(id)),
                    State::Greeting(id) => {
                        self.state = State::Alone;
                        actions.push(OutgoingAction::Decline(id, "this process is ending"));
                    }
                    // It confirms yet, or is lost.
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
                    () if *who != self.identity => "this process is another node",
                    () => {
                        self.state = State::Offered(id);
                        return actions.push(OutgoingAction::Offer(id));
                    }
                };
                self.state = State::Alone;
                actions.push(OutgoingAction::Decline(id, why));
            }
            (State::Offered(of), Message::Confirm) if of == id => {
                self.state = State::Succeeded(id);
                actions.push(OutgoingAction::Succeeded(id));
                if self.stopping {
                    actions.push(OutgoingAction::Pass(id));
                }
            }
            // Out of turn: no process of ours says that.
            _ => {
                actions.push(OutgoingAction::Drop(id));
                self.lost(id, actions);
            }
        }
    }

    fn lost(&mut self, id: IncomingId, actions: &mut Vec<OutgoingAction>) {
        match self.state {
            State::Greeting(of) if of == id => self.state = State::Alone,
            State::Offered(of) | State::Succeeded(of) if of == id => {
                self.state = State::Alone;
                actions.push(OutgoingAction::Alone);
            }
            _ => {}
        }
    }

    /// Whether another process has been sent the listening socket and has not confirmed yet.
    #[must_use]
    pub fn awaits_confirmation(&self) -> bool {
        matches!(self.state, State::Offered(_))
    }

    /// Whether another process accepts as well.
    #[must_use]
    pub fn is_succeeded(&self) -> bool {
        matches!(self.state, State::Succeeded(_))
    }
}
