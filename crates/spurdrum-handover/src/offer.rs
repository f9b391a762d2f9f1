//! The outgoing side of a handover: accepts takeover requests and hands over connections.

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
use crate::message::{BudgetShare, Identity, Message};
use crate::outgoing::{IncomingId, Outgoing, OutgoingAction, OutgoingEvent};

/// How often a process that shuts down reports how many file descriptors it still needs.
const SHARE_INTERVAL: Duration = Duration::from_millis(50);
/// How long to wait after accepting a takeover request has failed.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// The owner of what the outgoing process shares with the incoming one: the node's budgets of file descriptors
/// and memory, and the record of the requests that have begun.
pub trait BudgetOwner: 'static {
    /// Limits this process to a share of the budgets. Returns the share and the state for the incoming
    /// process.
    fn split(&self) -> (BudgetShare, serde_json::Value);

    /// Limits this process to what it still needs, and returns that.
    fn shrink_to_use(&self) -> BudgetShare;

    /// Lets this process use the whole budgets again.
    fn restore(&self);

    /// Records requests of which attempts have begun in the incoming process.
    fn add_begun(&self, requests: &[u64]);
}

/// A message to be sent, with its file descriptor if it carries one.
type QueuedMessage = (Message, Option<OwnedFd>);

/// The shell of the outgoing process's state machine: accepts takeover requests over a Unix socket.
pub struct Offer {
    outgoing: RefCell<Outgoing>,
    /// The path of the Unix socket.
    path: PathBuf,
    listener: TcpListener,
    budget: Box<dyn BudgetOwner>,
    /// The queue of messages to each connected process.
    channels: RefCell<HashMap<IncomingId, mpsc::UnboundedSender<QueuedMessage>>>,
    last_id: Cell<u64>,
    /// The process to which connections are handed over, once this process shuts down.
    incoming: Cell<Option<IncomingId>>,
    /// Notified when the takeover's state changes.
    changed: Notify,
    /// The number of connections that are queued and not sent yet.
    unsent: Cell<usize>,
}

impl Offer {
    /// Starts accepting takeover requests at the Unix socket `path` for this listening socket.
    ///
    /// # Errors
    ///
    /// Fails if the path cannot be bound.
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

    /// Starts the shutdown of this process. Returns whether an incoming process has confirmed and receives
    /// idle connections.
    pub fn stop(self: &Rc<Self>) -> bool {
        self.handle(OutgoingEvent::Stop);
        self.incoming.get().is_some()
    }

    /// Returns whether idle connections can be handed over now.
    pub fn can_hand_over(&self) -> bool {
        self.incoming.get().is_some()
    }

    /// Returns whether an incoming process has been sent the listening socket and has not confirmed yet.
    pub fn awaits_confirmation(&self) -> bool {
        self.outgoing.borrow().awaits_confirmation()
    }

    /// Returns whether connections from which a request has been read can be handed over now.
    pub fn can_hand_over_requests(&self) -> bool {
        self.can_hand_over() && self.outgoing.borrow().can_hand_over_requests()
    }

    /// Queues a connection for the incoming process.
    ///
    /// # Errors
    ///
    /// Returns the connection if no process accepts it.
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
        // If the queue has closed since the check, the connection is lost together with the incoming process
        // and its others.
        let _ = queue.send((message, Some(stream.into())));
        Ok(())
    }

    /// Tells the incoming process, if there is one, that an attempt of a request has begun here.
    pub fn report_begun(&self, request: u64) {
        let receiver = self.outgoing.borrow().begun_requests_receiver();
        if let Some(id) = receiver {
            self.queue(id, Message::Begun(vec![request]), None);
        }
    }

    /// Returns whether all connections that were handed over have been sent, or the incoming process has
    /// gone.
    pub fn all_sent(&self) -> bool {
        self.unsent.get() == 0 || self.incoming.get().is_none()
    }

    /// Feeds an event to the state machine and performs the resulting actions.
    fn handle(self: &Rc<Self>, event: OutgoingEvent) {
        let mut actions = Vec::new();
        self.outgoing.borrow_mut().handle(event, &mut actions);
        for action in actions {
            self.perform(action);
        }
    }

    /// Performs an action of the state machine.
    fn perform(self: &Rc<Self>, action: OutgoingAction) {
        match action {
            OutgoingAction::Offer(id) => self.offer(id),
            OutgoingAction::Decline(id, reason) => {
                self.queue(id, Message::Decline(reason.into()), None);
                self.close(id);
            }
            OutgoingAction::Drop(id) => self.close(id),
            OutgoingAction::Confirmed(_) => {
                tracing::info!("the incoming process accepts connections as well");
                self.changed.notify_one();
            }
            OutgoingAction::HandOver(id) => {
                self.incoming.set(Some(id));
                tokio::task::spawn_local(Rc::clone(self).report_share(id));
            }
            OutgoingAction::Begun(requests) => self.budget.add_begun(&requests),
            OutgoingAction::ResumeAlone => {
                tracing::info!("the incoming process has gone");
                self.incoming.set(None);
                self.budget.restore();
                self.changed.notify_one();
            }
        }
    }

    /// Splits the budgets and sends the listening socket.
    fn offer(&self, id: IncomingId) {
        let (share, state) = self.budget.split();
        match self.listener.try_clone() {
            Ok(listener) => {
                let BudgetShare { descriptors, memory } = share;
                let offer = Message::Offer {
                    share: descriptors,
                    memory: Some(memory),
                    accepts_begun_requests: true,
                    state,
                };
                self.queue(id, offer, Some(listener.into()));
            }
            Err(_) => self.close(id),
        }
    }

    /// Closes the channel of this process once its queued messages are sent.
    fn close(&self, id: IncomingId) {
        self.channels.borrow_mut().remove(&id);
    }

    /// Queues a message for this process, if its channel is open.
    fn queue(&self, id: IncomingId, message: Message, descriptor: Option<OwnedFd>) {
        if let Some(queue) = self.channels.borrow().get(&id) {
            let _ = queue.send((message, descriptor));
        }
    }

    /// Reports this process's share of the budgets each time it has shrunk, until the incoming process has
    /// gone.
    async fn report_share(self: Rc<Self>, id: IncomingId) {
        let mut reported = BudgetShare { descriptors: usize::MAX, memory: u64::MAX };
        let reports_memory = self.outgoing.borrow().accepts_memory_shares();
        while self.incoming.get() == Some(id) {
            let share = self.budget.shrink_to_use();
            if share.descriptors < reported.descriptors {
                reported.descriptors = share.descriptors;
                self.queue(id, Message::Share(share.descriptors), None);
            }
            if reports_memory && share.memory < reported.memory {
                reported.memory = share.memory;
                self.queue(id, Message::MemoryShare(share.memory), None);
            }
            sleep(SHARE_INTERVAL).await;
        }
    }

    /// Accepts takeover requests, except while an incoming process has confirmed and accepts them instead.
    async fn accept_requests(self: Rc<Self>, requests: UnixListener) {
        let mut requests = Some(requests);
        loop {
            match &requests {
                Some(requests) => self.accept_or_wait(requests).await,
                None => self.changed.notified().await,
            }
            let confirmed = self.outgoing.borrow().is_confirmed();
            if confirmed {
                requests = None;
            } else if requests.is_none() {
                requests = bind(&self.path)
                    .inspect_err(|error| {
                        tracing::warn!(
                            "cannot accept takeover requests, a replacement will interrupt clients: {error}"
                        )
                    })
                    .ok();
            }
        }
    }

    /// Waits for a takeover request, or for a change of the takeover's state.
    async fn accept_or_wait(self: &Rc<Self>, requests: &UnixListener) {
        tokio::select! {
            accepted = requests.accept() => match accepted {
                Ok((stream, _)) => drop(tokio::task::spawn_local(Rc::clone(self).serve_channel(stream))),
                Err(_) => sleep(ACCEPT_RETRY).await,
            },
            () = self.changed.notified() => {}
        }
    }

    /// Serves the channel of one incoming process until it closes.
    async fn serve_channel(self: Rc<Self>, stream: UnixStream) {
        let Ok(channel) = Channel::new(stream) else { return };
        let id = IncomingId(self.last_id.get() + 1);
        self.last_id.set(id.0);
        let (queue, mut queued) = mpsc::unbounded_channel();
        self.channels.borrow_mut().insert(id, queue);
        self.handle(OutgoingEvent::Connected(id));
        // The channel is closed as soon as either direction ends.
        tokio::select! {
            _ = self.write_queued(&channel, &mut queued) => {}
            _ = self.read_messages(id, &channel) => {}
        }
        self.close(id);
        self.handle(OutgoingEvent::Lost(id));
    }

    /// Sends the queued messages until the queue is closed or the channel fails.
    async fn write_queued(
        &self,
        channel: &Channel,
        queued: &mut mpsc::UnboundedReceiver<QueuedMessage>,
    ) -> io::Result<()> {
        while let Some((message, descriptor)) = queued.recv().await {
            channel.send(&message, descriptor.as_ref().map(AsFd::as_fd)).await?;
            if matches!(message, Message::Connection | Message::Request { .. }) {
                self.unsent.set(self.unsent.get() - 1);
            }
        }
        Ok(())
    }

    /// Feeds the received messages to the state machine until the channel fails.
    async fn read_messages(self: &Rc<Self>, id: IncomingId, channel: &Channel) -> io::Result<Infallible> {
        loop {
            let (message, _) = channel.receive().await?;
            self.handle(OutgoingEvent::Received(id, message));
        }
    }
}
