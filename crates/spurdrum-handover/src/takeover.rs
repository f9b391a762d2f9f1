//! The incoming side of a handover: requests a takeover and follows the outgoing process until it has gone.

use std::net::{TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::Path;
use std::time::Duration;

use spurdrum_core::{pause_adjusted_timeout, HandedOverConnection};
use tokio::net::UnixStream;

use crate::channel::Channel;
use crate::incoming::{Incoming, IncomingAction, IncomingEvent};
use crate::message::Identity;

/// How long to wait for the outgoing process's answer. On a busy machine it may stand still for some seconds; this process is
/// expected to serve within 6 s of its start, of which discovery's first answer may take 1.5 s.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(4000);

/// What the incoming process receives after the takeover was granted.
pub enum TakeoverEvent {
    /// The outgoing process now keeps this many descriptors.
    OutgoingShare(usize),
    /// A client's connection.
    Connection(HandedOverConnection),
    /// The outgoing process has gone.
    OutgoingGone,
}

impl TakeoverEvent {
    /// The event for an action, if it has one; a connection takes the received descriptor.
    fn from_action(action: IncomingAction, descriptor: &mut Option<OwnedFd>) -> Option<Self> {
        match action {
            IncomingAction::Share(share) => Some(Self::OutgoingShare(share)),
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
    /// The descriptors that the outgoing process keeps.
    pub share: usize,
    /// The state that the outgoing process hands over.
    pub state: serde_json::Value,
    channel: Channel,
    incoming: Incoming,
}

impl Takeover {
    /// Requests a takeover from the process at `path`.
    ///
    /// # Errors
    ///
    /// Why the takeover was not granted; this process then listens on a socket of its own.
    pub async fn request(path: &Path, identity: Identity) -> Result<Self, String> {
        // A pause of this process must not count as the other one's silence.
        let granted = pause_adjusted_timeout(ANSWER_TIMEOUT, Self::negotiate(path, identity)).await;
        granted.unwrap_or_else(|| Err("no process answers in time".into()))
    }

    /// Exchanges messages until the takeover is granted or refused.
    async fn negotiate(path: &Path, identity: Identity) -> Result<Self, String> {
        let stream = UnixStream::connect(path).await.map_err(|error| format!("none runs: {error}"))?;
        let channel = Channel::new(stream).map_err(|error| error.to_string())?;
        let mut incoming = Incoming::new(identity);
        let (mut event, mut descriptor) = (IncomingEvent::Connected, None);
        loop {
            let offered = Self::answer(&channel, &mut incoming, event).await?;
            if let (Some((share, state)), Some(listener)) = (offered, descriptor.take()) {
                return Ok(Self { listener: TcpListener::from(listener), share, state, channel, incoming });
            }
            (event, descriptor) = next_event(&channel).await;
        }
    }

    /// Handles an event of the negotiation. Returns the outgoing process's share and state if the event grants the takeover.
    async fn answer(
        channel: &Channel,
        incoming: &mut Incoming,
        event: IncomingEvent,
    ) -> Result<Option<(usize, serde_json::Value)>, String> {
        let (mut actions, mut offered) = (Vec::new(), None);
        incoming.handle(event, &mut actions);
        for action in actions {
            match action {
                IncomingAction::Send(message) => {
                    channel.send(&message, None).await.map_err(|error| error.to_string())?;
                }
                IncomingAction::TakeOver { share, state } => offered = Some((share, state)),
                IncomingAction::StartAlone(why) => return Err(why),
                IncomingAction::Share(_) | IncomingAction::Serve(_) | IncomingAction::OutgoingGone => {}
            }
        }
        Ok(offered)
    }

    /// Reports what the outgoing process sends until it has gone.
    pub async fn follow(mut self, mut on_event: impl FnMut(TakeoverEvent)) {
        loop {
            let (event, mut descriptor) = next_event(&self.channel).await;
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

/// Waits for the outgoing process's next message, with the descriptor that it carries.
async fn next_event(channel: &Channel) -> (IncomingEvent, Option<OwnedFd>) {
    match channel.receive().await {
        Ok((message, descriptor)) => (IncomingEvent::Received(message), descriptor),
        Err(_) => (IncomingEvent::Lost, None),
    }
}
