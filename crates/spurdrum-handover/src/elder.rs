//! The running process, which may be replaced.

use crate::message::{Identity, Message};

/// A process that has called, numbered in the order of calling.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HeirId(pub u64);

/// What happens to the elder.
#[derive(Clone, Debug, PartialEq)]
pub enum ElderEvent {
    /// A process of the same user has called.
    Called(HeirId),
    /// It has said this.
    Said(HeirId, Message),
    /// It has gone, or said what is no message.
    Lost(HeirId),
    /// The elder has been told to end.
    Stop,
}

/// What the elder is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum ElderAction {
    /// Send the offer and the listening socket: from now on the elder keeps to its part of the budget.
    Offer(HeirId),
    /// Send the reason, and close.
    Decline(HeirId, &'static str),
    /// Close.
    Drop(HeirId),
    /// The heir accepts as well. Whoever starts next calls the heir.
    Succeeded(HeirId),
    /// Accept no more, and pass on what rests.
    Pass(HeirId),
    /// There is no heir any more: the whole budget is the elder's again, it can be called, and accepts.
    Alone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Alone,
    Greeting(HeirId),
    Offered(HeirId),
    Succeeded(HeirId),
}

/// The decisions of the elder: no clock and no I/O.
#[derive(Debug)]
pub struct Elder {
    identity: Identity,
    state: State,
    stopping: bool,
}

impl Elder {
    /// The process of this node.
    #[must_use]
    pub fn new(identity: Identity) -> Self {
        Self { identity, state: State::Alone, stopping: false }
    }

    /// Handles an event.
    pub fn handle(&mut self, event: ElderEvent, actions: &mut Vec<ElderAction>) {
        match event {
            ElderEvent::Called(id) => match self.state {
                _ if self.stopping => actions.push(ElderAction::Decline(id, "this process is ending")),
                State::Alone => self.state = State::Greeting(id),
                _ => actions.push(ElderAction::Decline(id, "another process is taking over")),
            },
            ElderEvent::Said(id, message) => self.said(id, &message, actions),
            ElderEvent::Lost(id) => self.lost(id, actions),
            ElderEvent::Stop => {
                self.stopping = true;
                match self.state {
                    State::Succeeded(id) => actions.push(ElderAction::Pass(id)),
                    State::Greeting(id) => {
                        self.state = State::Alone;
                        actions.push(ElderAction::Decline(id, "this process is ending"));
                    }
                    // It confirms yet, or is lost.
                    State::Alone | State::Offered(_) => {}
                }
            }
        }
    }

    fn said(&mut self, id: HeirId, message: &Message, actions: &mut Vec<ElderAction>) {
        match (self.state, message) {
            (State::Greeting(of), Message::Hello(who)) if of == id => {
                let why = match () {
                    () if who.format != self.identity.format => "this process speaks another format",
                    () if *who != self.identity => "this process is another node",
                    () => {
                        self.state = State::Offered(id);
                        return actions.push(ElderAction::Offer(id));
                    }
                };
                self.state = State::Alone;
                actions.push(ElderAction::Decline(id, why));
            }
            (State::Offered(of), Message::Confirm) if of == id => {
                self.state = State::Succeeded(id);
                actions.push(ElderAction::Succeeded(id));
                if self.stopping {
                    actions.push(ElderAction::Pass(id));
                }
            }
            // Out of turn: no process of ours says that.
            _ => {
                actions.push(ElderAction::Drop(id));
                self.lost(id, actions);
            }
        }
    }

    fn lost(&mut self, id: HeirId, actions: &mut Vec<ElderAction>) {
        match self.state {
            State::Greeting(of) if of == id => self.state = State::Alone,
            State::Offered(of) | State::Succeeded(of) if of == id => {
                self.state = State::Alone;
                actions.push(ElderAction::Alone);
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
