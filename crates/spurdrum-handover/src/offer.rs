//! The outgoing side of a handover: accepts takeover requests and passes connections on.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::io;
use std::net::TcpListener;
use std::os::fd::{AsFd, OwnedFd};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use spurdrum_core::HandedOverConnection;
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, Notify};
use tokio::time::sleep;

use crate::channel::Channel;
use crate::endpoint::bind;
use crate::message::{Identity, Message};
use crate::outgoing::{IncomingId, Outgoing, OutgoingAction, OutgoingEvent};

/// How often an ending process reports the descriptors that it still needs.
const SHARE_INTERVAL: Duration = Duration::from_millis(50);
/// How long to wait after a takeover request could not be accepted.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// The owner of the node's descriptor budget, which the outgoing process shares with the incoming one.
pub trait BudgetOwner: 'static {
    /// Limits this process to a share of the budget. Returns that share and the state for the incoming process.
    fn split(&self) -> (usize, serde_json::Value);

    /// Limits this process to the descriptors that it still needs. Returns how many these are.
    fn shrink_to_use(&self) -> usize;

    /// Returns the whole budget to this process.
    fn restore(&self);
}

/// A queued message, with its descriptor if it carries one.
type Queued = (Message, Option<OwnedFd>);

/// The outgoing side of a handover: the running process, which accepts takeover requests.
pub struct Offer {
    outgoing: RefCell<Outgoing>,
    path: PathBuf,
    listener: TcpListener,
    budget: Box<dyn BudgetOwner>,
    channels: RefCell<HashMap<IncomingId, mpsc::UnboundedSender<Queued>>>,
    last_id: Cell<u64>,
    /// The process that receives idle connections.
    incoming: Cell<Option<IncomingId>>,
    changed: Notify,
    /// Connections that are queued and not yet sent.
    unsent: Cell<usize>,
}

impl Offer {
    /// Starts accepting takeover requests at `path` for this listening socket.
    ///
    /// # Errors
    ///
    /// The path cannot be bound.
    pub fn new(
        path: PathBuf,
        identity: Identity,
        listener: TcpListener,
        budget: impl BudgetOwner,
    ) -> io::Result<Rc<Self>> {
        let requests = bind(&path)?;
        let offer = Rc::new(Self {
            outgoing: RefCell::new(Outgoing::new(identity)),
            path,
            listener,
            budget: Box::new(budget),
            channels: RefCell::default(),
            last_id: Cell::new(0),
            incoming: Cell::new(None),
            changed: Notify::new(),
            unsent: Cell::new(0),
        });
        tokio::task::spawn_local(Rc::clone(&offer).accept_requests(requests));
        Ok(offer)
    }

    /// Starts the shutdown of this process. Returns whether another process has confirmed and receives idle connections.
    pub fn stop(self: &Rc<Self>) -> bool {
        self.handle(OutgoingEvent::Stop);
        self.incoming.get().is_some()
    }

    /// Whether idle connections can be passed on now.
    pub fn can_hand_over(&self) -> bool {
        self.incoming.get().is_some()
    }

    /// Whether another process has been sent the listening socket and has not confirmed yet.
    pub fn awaits_confirmation(&self) -> bool {
        self.outgoing.borrow().awaits_confirmation()
    }

    /// Whether connections from which a request has been read can be passed on now.
    pub fn can_hand_over_requests(&self) -> bool {
        self.can_hand_over() && self.outgoing.borrow().can_hand_over_requests()
    }

    /// Passes a connection on.
    ///
    /// # Errors
    ///
    /// Returns the connection if there is no process that accepts it.
    pub fn hand_over(&self, connection: HandedOverConnection) -> Result<(), HandedOverConnection> {
        if connection.has_request() && !self.can_hand_over_requests() {
            return Err(connection);
        }
        let channels = self.channels.borrow();
        let queue = self.incoming.get().and_then(|id| channels.get(&id)).filter(|queue| !queue.is_closed());
        let Some(queue) = queue else { return Err(connection) };
        self.unsent.set(self.unsent.get() + 1);
        let HandedOverConnection { stream, read } = connection;
        let message = if read.is_empty() { Message::Connection } else { Message::Request { read } };
        // If the queue is closed after the check, the connection is lost with the incoming process, as are all that it holds.
        let _ = queue.send((message, Some(stream.into())));
        Ok(())
    }

    /// Whether all connections that were passed on have been sent.
    pub fn all_sent(&self) -> bool {
        self.unsent.get() == 0 || self.incoming.get().is_none()
    }

    /// Feeds an event to the state machine and performs its actions.
    fn handle(self: &Rc<Self>, event: OutgoingEvent) {
        let mut actions = Vec::new();
        self.outgoing.borrow_mut().handle(event, &mut actions);
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(self: &Rc<Self>, action: OutgoingAction) {
        match action {
            OutgoingAction::Offer(id) => self.offer(id),
            OutgoingAction::Decline(id, why) => {
                self.queue(id, Message::Decline(why.into()), None);
                self.close(id);
            }
            OutgoingAction::Drop(id) => self.close(id),
            OutgoingAction::Confirmed(_) => {
                tracing::info!("another process serves this address as well");
                self.changed.notify_one();
            }
            OutgoingAction::HandOver(id) => {
                self.incoming.set(Some(id));
                tokio::task::spawn_local(Rc::clone(self).report_share(id));
            }
            OutgoingAction::ResumeAlone => {
                tracing::info!("the other process has gone");
                self.incoming.set(None);
                self.budget.restore();
                self.changed.notify_one();
            }
        }
    }

    /// Splits the budget and sends the listening socket.
    fn offer(&self, id: IncomingId) {
        let (share, state) = self.budget.split();
        match self.listener.try_clone() {
            Ok(listener) => self.queue(id, Message::Offer { share, state }, Some(listener.into())),
            Err(_) => self.close(id),
        }
    }

    fn close(&self, id: IncomingId) {
        self.channels.borrow_mut().remove(&id);
    }

    fn queue(&self, id: IncomingId, message: Message, descriptor: Option<OwnedFd>) {
        if let Some(queue) = self.channels.borrow().get(&id) {
            let _ = queue.send((message, descriptor));
        }
    }

    /// Reports a shrinking share until the incoming process has gone.
    async fn report_share(self: Rc<Self>, id: IncomingId) {
        let mut reported = usize::MAX;
        while self.incoming.get() == Some(id) {
            let share = self.budget.shrink_to_use();
            if share < reported {
                reported = share;
                self.queue(id, Message::Share(share), None);
            }
            sleep(SHARE_INTERVAL).await;
        }
    }

    /// Accepts takeover requests, except while another process has confirmed and accepts them instead.
    async fn accept_requests(self: Rc<Self>, requests: UnixListener) {
        let mut requests = Some(requests);
        loop {
            match &requests {
                Some(requests) => self.accept_or_wait(requests).await,
                None => self.changed.notified().await,
            }
            let succeeded = self.outgoing.borrow().is_confirmed();
            if succeeded {
                requests = None;
            } else if requests.is_none() {
                requests = bind(&self.path)
                    .inspect_err(|error| tracing::warn!("this process cannot be replaced unnoticed: {error}"))
                    .ok();
            }
        }
    }

    /// Waits for a takeover request or a change of state.
    async fn accept_or_wait(self: &Rc<Self>, requests: &UnixListener) {
        tokio::select! {
            accepted = requests.accept() => match accepted {
                Ok((stream, _)) => drop(tokio::task::spawn_local(Rc::clone(self).serve_channel(stream))),
                Err(_) => sleep(ACCEPT_RETRY).await,
            },
            () = self.changed.notified() => {}
        }
    }

    /// Serves one incoming process until its channel ends.
    async fn serve_channel(self: Rc<Self>, stream: UnixStream) {
        let Ok(channel) = Channel::new(stream) else { return };
        let id = IncomingId(self.last_id.get() + 1);
        self.last_id.set(id.0);
        let (queue, mut queued) = mpsc::unbounded_channel();
        self.channels.borrow_mut().insert(id, queue);
        self.handle(OutgoingEvent::Connected(id));
        // The channel ends with whichever direction ends first.
        tokio::select! {
            _ = self.write_queued(&channel, &mut queued) => {}
            _ = self.read_messages(id, &channel) => {}
        }
        self.close(id);
        self.handle(OutgoingEvent::Lost(id));
    }

    async fn write_queued(
        &self,
        channel: &Channel,
        queued: &mut mpsc::UnboundedReceiver<Queued>,
    ) -> io::Result<()> {
        while let Some((message, descriptor)) = queued.recv().await {
            channel.send(&message, descriptor.as_ref().map(AsFd::as_fd)).await?;
            if matches!(message, Message::Connection | Message::Request { .. }) {
                self.unsent.set(self.unsent.get() - 1);
            }
        }
        Ok(())
    }

    async fn read_messages(self: &Rc<Self>, id: IncomingId, channel: &Channel) -> io::Result<Infallible> {
        loop {
            let (message, _) = channel.receive().await?;
            self.handle(OutgoingEvent::Received(id, message));
        }
    }
}
