//! The state machine of the outgoing process: the running one, which another process may replace.

use crate::message::{Identity, Message};

/// Identifies an incoming process's channel. Ids are assigned in the order in which the processes connect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct IncomingId(pub u64);

/// An event for the outgoing process's state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum OutgoingEvent {
    /// A process that runs as the same user has connected.
    Connected(IncomingId),
    /// This process has sent this message.
    Received(IncomingId, Message),
    /// The channel to this process has closed, or it sent an invalid message.
    Lost(IncomingId),
    /// The outgoing process starts to shut down.
    Stop,
}

/// An action that the outgoing process's shell performs.
#[derive(Clone, Debug, PartialEq)]
pub enum OutgoingAction {
    /// Send the offer with the listening socket; from now on the outgoing process keeps to its share of the
    /// descriptor budget.
    Offer(IncomingId),
    /// Send this reason and close the channel.
    Decline(IncomingId, &'static str),
    /// Close the channel.
    Drop(IncomingId),
    /// The incoming process accepts connections as well. It also receives the next takeover request, no
    /// longer this process.
    Confirmed(IncomingId),
    /// Stop accepting connections and hand over the idle ones to this process.
    HandOver(IncomingId),
    /// Attempts of these requests have begun in the incoming process.
    Begun(Vec<u64>),
    /// The incoming process has gone: use the whole descriptor budget again, and accept connections and
    /// takeover requests.
    ResumeAlone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// No takeover is under way.
    Alone,
    /// This process has connected and not sent `Hello` yet.
    AwaitingHello(IncomingId),
    /// This process has been sent the offer and has not confirmed yet.
    Offered(IncomingId),
    /// This process has confirmed and accepts connections.
    Confirmed(IncomingId),
}

/// The state machine of the outgoing process, without a clock or I/O.
#[derive(Debug)]
pub struct Outgoing {
    identity: Identity,
    state: State,
    stopping: bool,
    /// Whether the process that was last sent an offer accepts [`Message::Request`].
    accepts_requests: bool,
    /// Whether that process accepts [`Message::MemoryShare`].
    accepts_memory_shares: bool,
    /// Whether that process accepts [`Message::Begun`].
    accepts_begun_requests: bool,
}

impl Outgoing {
    /// Creates the state machine for the outgoing process of this node.
    #[must_use]
    pub fn new(identity: Identity) -> Self {
        Self {
            identity,
            state: State::Alone,
            stopping: false,
            accepts_requests: false,
            accepts_memory_shares: false,
            accepts_begun_requests: false,
        }
    }

    /// Handles an event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, event: OutgoingEvent, actions: &mut Vec<OutgoingAction>) {
        match event {
            OutgoingEvent::Connected(id) => match self.state {
                _ if self.stopping => {
                    actions.push(OutgoingAction::Decline(id, "the running process is shutting down"))
                }
                State::Alone => self.state = State::AwaitingHello(id),
                _ => actions.push(OutgoingAction::Decline(id, "another process is already taking over")),
            },
            OutgoingEvent::Received(id, message) => self.handle_message(id, &message, actions),
            OutgoingEvent::Lost(id) => self.handle_lost(id, actions),
            OutgoingEvent::Stop => {
                self.stopping = true;
                match self.state {
                    State::Confirmed(id) => actions.push(OutgoingAction::HandOver(id)),
                    State::AwaitingHello(id) => {
                        self.state = State::Alone;
                        actions.push(OutgoingAction::Decline(id, "the running process is shutting down"));
                    }
                    // A process with an offer will still confirm or be lost.
                    State::Alone | State::Offered(_) => {}
                }
            }
        }
    }

    /// Handles a message of a connected process.
    fn handle_message(&mut self, id: IncomingId, message: &Message, actions: &mut Vec<OutgoingAction>) {
        match (self.state, message) {
            (State::AwaitingHello(current), Message::Hello(identity)) if current == id => {
                let reason = match () {
                    () if identity.format != self.identity.format => {
                        "the running process uses another message format"
                    }
                    () if !identity.is_same_node(&self.identity) => "the running process serves another node",
                    () => {
                        self.accepts_requests = identity.accepts_requests;
                        self.accepts_memory_shares = identity.accepts_memory_shares;
                        self.accepts_begun_requests = identity.accepts_begun_requests;
                        self.state = State::Offered(id);
                        return actions.push(OutgoingAction::Offer(id));
                    }
                };
                self.state = State::Alone;
                actions.push(OutgoingAction::Decline(id, reason));
            }
            (State::Offered(current), Message::Confirm) if current == id => {
                self.state = State::Confirmed(id);
                actions.push(OutgoingAction::Confirmed(id));
                if self.stopping {
                    actions.push(OutgoingAction::HandOver(id));
                }
            }
            (State::Offered(current) | State::Confirmed(current), Message::Begun(requests))
                if current == id =>
            {
                actions.push(OutgoingAction::Begun(requests.clone()));
            }
            // The message violates the protocol.
            _ => {
                actions.push(OutgoingAction::Drop(id));
                self.handle_lost(id, actions);
            }
        }
    }

    /// Handles the loss of the channel to a process.
    fn handle_lost(&mut self, id: IncomingId, actions: &mut Vec<OutgoingAction>) {
        match self.state {
            State::AwaitingHello(current) if current == id => self.state = State::Alone,
            State::Offered(current) | State::Confirmed(current) if current == id => {
                self.state = State::Alone;
                actions.push(OutgoingAction::ResumeAlone);
            }
            _ => {}
        }
    }

    /// Returns whether an incoming process has been sent the listening socket and has not confirmed yet.
    #[must_use]
    pub fn awaits_confirmation(&self) -> bool {
        matches!(self.state, State::Offered(_))
    }

    /// Returns whether an incoming process has confirmed and accepts connections from which a request has
    /// been read.
    #[must_use]
    pub fn can_hand_over_requests(&self) -> bool {
        self.is_confirmed() && self.accepts_requests
    }

    /// Returns the process that has been sent an offer and accepts messages about requests that have begun.
    #[must_use]
    pub fn begun_requests_receiver(&self) -> Option<IncomingId> {
        match self.state {
            State::Offered(id) | State::Confirmed(id) if self.accepts_begun_requests => Some(id),
            _ => None,
        }
    }

    /// Returns whether the process that was last sent an offer accepts shares of the memory.
    #[must_use]
    pub fn accepts_memory_shares(&self) -> bool {
        self.accepts_memory_shares
    }

    /// Returns whether an incoming process has confirmed and accepts connections as well.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        matches!(self.state, State::Confirmed(_))
    }
}
