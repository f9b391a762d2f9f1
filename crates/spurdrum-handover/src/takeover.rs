//! The incoming side of a handover: requests a takeover, then receives from the outgoing process until that
//! has gone.

use std::net::{TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::Path;
use std::time::Duration;

use spurdrum_core::{pause_adjusted_timeout, HandedOverConnection};
use tokio::net::UnixStream;
use tokio::sync::mpsc;

use crate::channel::Channel;
use crate::incoming::{Incoming, IncomingAction, IncomingEvent};
use crate::message::{Identity, Message};

/// How long to wait for the outgoing process's answer. On a busy machine the outgoing process may be paused
/// for some seconds. The incoming process must serve within 6 s of its start, of which the first answer of
/// discovery may take 1.5 s.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(4000);

/// What the incoming process receives after a takeover has been granted.
pub enum TakeoverEvent {
    /// The outgoing process now keeps this many file descriptors of the node's budget.
    OutgoingShare(usize),
    /// The outgoing process now keeps this part of the node's memory limit, in bytes.
    OutgoingMemory(u64),
    /// Attempts of these requests have begun in the outgoing process.
    Begun(Vec<u64>),
    /// A client connection to serve.
    Connection(HandedOverConnection),
    /// The outgoing process has gone.
    OutgoingGone,
}

/// What the outgoing process offers: its shares of the budgets, and its state.
struct Offered {
    share: usize,
    memory: Option<u64>,
    accepts_begun_requests: bool,
    state: serde_json::Value,
}

impl TakeoverEvent {
    /// Returns the event for an action, if there is one; a connection takes the received file descriptor.
    fn from_action(action: IncomingAction, descriptor: &mut Option<OwnedFd>) -> Option<Self> {
        match action {
            IncomingAction::Share(share) => Some(Self::OutgoingShare(share)),
            IncomingAction::MemoryShare(share) => Some(Self::OutgoingMemory(share)),
            IncomingAction::Begun(requests) => Some(Self::Begun(requests)),
            IncomingAction::Serve(read) => {
                let stream = descriptor.take().map(TcpStream::from);
                stream.map(|stream| Self::Connection(HandedOverConnection { stream, read }))
            }
            IncomingAction::OutgoingGone => Some(Self::OutgoingGone),
            IncomingAction::Send(_) | IncomingAction::TakeOver { .. } | IncomingAction::StartAlone(_) => None,
        }
    }
}

/// A granted takeover: what the incoming process received from the outgoing one.
pub struct Takeover {
    /// The listening socket.
    pub listener: TcpListener,
    /// The number of file descriptors of the node's budget that the outgoing process keeps.
    pub share: usize,
    /// The part of the node's memory limit that the outgoing process keeps, if it says so.
    pub memory: Option<u64>,
    /// Whether the outgoing process accepts reports of requests that have begun here.
    accepts_begun_requests: bool,
    /// The state that the outgoing process hands over.
    pub state: serde_json::Value,
    channel: Channel,
    incoming: Incoming,
}

impl Takeover {
    /// Requests a takeover from the process that listens at the Unix socket `path`.
    ///
    /// # Errors
    ///
    /// Returns the reason why the takeover was not granted; this process then binds a listening socket of its
    /// own.
    pub async fn request(path: &Path, identity: Identity) -> Result<Self, String> {
        // A pause of this process must not count as silence of the outgoing one.
        let granted = pause_adjusted_timeout(ANSWER_TIMEOUT, Self::negotiate(path, identity)).await;
        granted.unwrap_or_else(|| Err("the running process does not answer in time".into()))
    }

    /// Exchanges messages until the takeover is granted or refused.
    async fn negotiate(path: &Path, identity: Identity) -> Result<Self, String> {
        let stream =
            UnixStream::connect(path).await.map_err(|error| format!("no running process: {error}"))?;
        let channel = Channel::new(stream).map_err(|error| error.to_string())?;
        let mut incoming = Incoming::new(identity);
        let (mut event, mut descriptor) = (IncomingEvent::Connected, None);
        loop {
            let offered = Self::handle_event(&channel, &mut incoming, event).await?;
            if let (Some(offered), Some(listener)) = (offered, descriptor.take()) {
                let Offered { share, memory, accepts_begun_requests, state } = offered;
                let listener = TcpListener::from(listener);
                return Ok(Self {
                    listener,
                    share,
                    memory,
                    accepts_begun_requests,
                    state,
                    channel,
                    incoming,
                });
            }
            (event, descriptor) = next_event(&channel).await;
        }
    }

    /// Handles an event of the negotiation and sends the resulting messages. Returns what the outgoing process
    /// offers if the event grants the takeover.
    async fn handle_event(
        channel: &Channel,
        incoming: &mut Incoming,
        event: IncomingEvent,
    ) -> Result<Option<Offered>, String> {
        let (mut actions, mut offered) = (Vec::new(), None);
        incoming.handle(event, &mut actions);
        for action in actions {
            match action {
                IncomingAction::Send(message) => {
                    channel.send(&message, None).await.map_err(|error| error.to_string())?;
                }
                IncomingAction::TakeOver { share, memory, accepts_begun_requests, state } => {
                    offered = Some(Offered { share, memory, accepts_begun_requests, state });
                }
                IncomingAction::StartAlone(reason) => return Err(reason),
                IncomingAction::Share(_)
                | IncomingAction::MemoryShare(_)
                | IncomingAction::Begun(_)
                | IncomingAction::Serve(_)
                | IncomingAction::OutgoingGone => {}
            }
        }
        Ok(offered)
    }

    /// Calls `on_event` for everything that the outgoing process sends, until it has gone. It is told of the
    /// requests in `begun`, of which attempts have begun here.
    pub async fn follow(mut self, mut begun: mpsc::Receiver<u64>, mut on_event: impl FnMut(TakeoverEvent)) {
        loop {
            let (event, mut descriptor) = tokio::select! {
                received = next_event(&self.channel) => received,
                Some(request) = begun.recv() => {
                    if self.accepts_begun_requests {
                        // If this fails, the next message cannot be received either.
                        let _ = self.channel.send(&Message::Begun(vec![request]), None).await;
                    }
                    continue;
                }
            };
            let mut actions = Vec::new();
            self.incoming.handle(event, &mut actions);
            for action in actions {
                let Some(event) = TakeoverEvent::from_action(action, &mut descriptor) else { continue };
                let ended = matches!(event, TakeoverEvent::OutgoingGone);
                on_event(event);
                if ended {
                    return;
                }
            }
        }
    }
}

/// Waits for the outgoing process's next message. Returns it as an event, with the file descriptor that it
/// carries.
async fn next_event(channel: &Channel) -> (IncomingEvent, Option<OwnedFd>) {
    match channel.receive().await {
        Ok((message, descriptor)) => (IncomingEvent::Received(message), descriptor),
        Err(_) => (IncomingEvent::Lost, None),
    }
}
