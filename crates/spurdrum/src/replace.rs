//! Replacement of this process: takes over from the running process at the start, and hands over to an
//! incoming one later.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use serde::{Deserialize, Serialize};
use spurdrum_admission::{Event, CONNECTION_MEMORY};
use spurdrum_core::{Connections, HandedOverConnection, Node, RequestHash};
use spurdrum_handover::{path, BudgetOwner, BudgetShare, Identity, Offer, Takeover, TakeoverEvent, FORMAT};
use spurdrum_http::{
    ConfigNames, HandedOverConnections, HandoverStatus, IncomingProcess, SharedConfigNames, Upstream,
};
use spurdrum_policy::LearnedState;
use spurdrum_sources::List;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// How many requests may wait to be reported to the outgoing process.
const MAX_QUEUED_REPORTS: usize = 4096;
/// The most requests that have begun which are handed over as a part of the state.
const MAX_BEGUN_REQUESTS: usize = 8192;

/// The state that the outgoing process hands over. The serialized names of the fields are part of the
/// handover format: a process of one version hands over to another version.
#[derive(Serialize, Deserialize)]
pub struct HandedOverState {
    /// The latest list of servers, as received.
    pub list: List,
    /// Whether discovery has not confirmed that list since the outgoing process started.
    #[serde(default)]
    pub starting: bool,
    /// The ids of the servers in `learned`.
    ids: Vec<String>,
    /// What the balancer has learned about servers, classes and tenants.
    learned: LearnedState,
    /// The requests of which attempts have begun lately, as hashes of their clients' identifiers.
    #[serde(default)]
    begun: Vec<u64>,
    /// The names of the classes and tenants, to which `learned` refers by index.
    classes: Vec<String>,
    tenants: Vec<String>,
}

impl HandedOverState {
    /// Deserializes the state of a takeover. Returns `None` if that fails.
    pub fn from_takeover(takeover: &Takeover) -> Option<Self> {
        // Another version may hand over a state of a different form.
        Self::deserialize(&takeover.state).ok()
    }

    /// Imports the learned state into this process's balancer. Entries that go by the index of a class or
    /// tenant are left out if the names differ.
    pub fn apply(mut self, node: &Rc<Node<Upstream>>, names: &ConfigNames) {
        if self.classes != names.classes {
            self.learned.classes.clear();
        }
        if self.tenants != names.tenants {
            self.learned.quotas.clear();
        }
        self.begun.iter().for_each(|request| node.add_begun(RequestHash(*request)));
        node.import_learned(&self.ids, self.learned);
    }
}

/// The sources of the state that this process hands over.
pub struct StateSource {
    /// The node, whose learned state is exported.
    pub node: Rc<Node<Upstream>>,
    /// The latest list of servers, as received.
    pub list: Rc<RefCell<List>>,
    /// The names of the current classes and tenants.
    pub names: SharedConfigNames,
}

impl StateSource {
    /// Returns the current state, serialized for the handover.
    fn snapshot(&self) -> serde_json::Value {
        let (ids, learned) = self.node.export_learned();
        let names = self.names.borrow();
        let (classes, tenants) = (names.classes.clone(), names.tenants.clone());
        let list = self.list.borrow().clone();
        let starting = self.node.is_starting();
        let begun: Vec<u64> = self.node.begun_requests().into_iter().map(|request| request.0).collect();
        let begun = begun[begun.len().saturating_sub(MAX_BEGUN_REQUESTS)..].to_vec();
        serde_json::to_value(HandedOverState { list, starting, ids, learned, begun, classes, tenants })
            .unwrap_or_default()
    }
}

/// Returns the identity of this process's node, as the messages of a handover carry it.
pub fn identity(name: &str, listen: SocketAddr) -> Identity {
    Identity {
        format: FORMAT,
        name: name.to_owned(),
        listen: listen.to_string(),
        accepts_requests: true,
        accepts_memory_shares: true,
        accepts_begun_requests: true,
    }
}

/// Takes over from the process that serves this address. Returns `None` if there is none or if it declines.
pub async fn take_over(name: &str, listen: SocketAddr) -> Option<Takeover> {
    let granted = Takeover::request(&path(listen)?, identity(name, listen)).await;
    granted.inspect_err(|reason| tracing::info!("starting without a takeover: {reason}")).ok()
}

/// Follows the outgoing process until it has gone. Returns the channel of the connections that it hands over.
/// This process may use the part of the budgets that the outgoing process no longer keeps. It is told of the
/// requests in `begun`.
pub fn follow(
    takeover: Option<Takeover>,
    node: &Rc<Node<Upstream>>,
    begun: mpsc::Receiver<u64>,
) -> HandedOverConnections {
    let (connection_sender, connection_receiver) = mpsc::unbounded_channel();
    let Some(takeover) = takeover else { return connection_receiver };
    let (node, connections) = (Rc::clone(node), Rc::clone(&node.connections));
    let mut remainder = Remainder { connections, descriptors: takeover.share, memory: takeover.memory };
    remainder.apply();
    tokio::task::spawn_local(takeover.follow(begun, move |event| match event {
        TakeoverEvent::Begun(requests) => {
            requests.iter().for_each(|request| node.add_begun(RequestHash(*request)));
        }
        TakeoverEvent::OutgoingShare(share) => {
            remainder.descriptors = share;
            remainder.apply();
        }
        TakeoverEvent::OutgoingMemory(share) => {
            remainder.memory = Some(share);
            remainder.apply();
        }
        TakeoverEvent::Connection(connection) => {
            remainder.connection_received();
            // Fails if this process is shutting down as well.
            let _ = connection_sender.send(connection);
        }
        TakeoverEvent::OutgoingGone => {
            tracing::info!("the outgoing process has gone");
            (remainder.descriptors, remainder.memory) = (0, Some(0));
            remainder.apply();
        }
    }));
    connection_receiver
}

/// The part of the budgets that the outgoing process leaves to this one.
struct Remainder {
    connections: Rc<Connections>,
    /// The file descriptors that the outgoing process keeps.
    descriptors: usize,
    /// The memory that it keeps; an older version does not say. It then goes by the descriptors.
    memory: Option<u64>,
}

impl Remainder {
    fn apply(&self) {
        let total = self.connections.descriptor_usage().1;
        let max = total.saturating_sub(self.descriptors);
        self.connections.handle_event(Event::DescriptorShare { max });
        if let Some(memory) = self.memory {
            let max = self.connections.memory_limit().saturating_sub(memory);
            self.connections.handle_event(Event::MemoryShare { max });
        }
    }

    /// A connection, with what it holds, moves from the outgoing process's share to this process's.
    fn connection_received(&mut self) {
        self.descriptors = self.descriptors.saturating_sub(1);
        self.memory = self.memory.map(|memory| memory.saturating_sub(CONNECTION_MEMORY));
        self.apply();
    }
}

/// Reports the requests of which attempts begin here to the other processes of this node: to the incoming one
/// over `offer`, and to the outgoing one through the returned channel.
pub fn report_begun(node: &Node<Upstream>, offer: Option<&Rc<Offer>>) -> mpsc::Receiver<u64> {
    let (to_outgoing, receiver) = mpsc::channel(MAX_QUEUED_REPORTS);
    let offer = offer.cloned();
    node.set_on_begun(move |request| {
        if let Some(offer) = &offer {
            offer.report_begun(request.0);
        }
        // Fails without an outgoing process, or with one that reads nothing.
        let _ = to_outgoing.try_send(request.0);
    });
    receiver
}

/// Starts accepting takeover requests. Returns `None` if `$TMPDIR` is not set or the Unix socket cannot be
/// bound.
pub fn offer(
    name: &str,
    listen: SocketAddr,
    listener: &TcpListener,
    connections: &Rc<Connections>,
    state_source: StateSource,
) -> Option<Rc<Offer>> {
    use std::os::fd::AsFd;
    let path = path(listen)?;
    let listener = listener.as_fd().try_clone_to_owned().map(Into::into);
    let share = Cell::new(whole_budget(connections));
    let budget = SharedBudget { connections: Rc::clone(connections), share, state_source };
    let offer = listener.and_then(|listener| Offer::new(path, identity(name, listen), listener, budget));
    offer
        .inspect_err(|error| {
            tracing::warn!("cannot accept takeover requests, a replacement will interrupt clients: {error}")
        })
        .ok()
}

/// Returns the whole budgets of the node.
fn whole_budget(connections: &Connections) -> BudgetShare {
    BudgetShare { descriptors: connections.descriptor_usage().1, memory: connections.memory_limit() }
}

/// The node's budgets, of which this process uses a share while an incoming process runs.
struct SharedBudget {
    connections: Rc<Connections>,
    /// The share that this process may use now.
    share: Cell<BudgetShare>,
    state_source: StateSource,
}

impl SharedBudget {
    /// Limits this process to a share. Returns the share.
    fn set_share(&self, share: BudgetShare) -> BudgetShare {
        self.share.set(share);
        self.connections.handle_event(Event::DescriptorShare { max: share.descriptors });
        self.connections.handle_event(Event::MemoryShare { max: share.memory });
        share
    }
}

impl BudgetOwner for SharedBudget {
    fn split(&self) -> (BudgetShare, serde_json::Value) {
        // Half of the budgets, or what is in use if that is more.
        // What was freed belongs to the incoming process only once the system has it back.
        self.connections.release_memory();
        let whole = whole_budget(&self.connections);
        let share = BudgetShare {
            descriptors: self.connections.descriptor_usage().0.max(whole.descriptors / 2),
            memory: self.connections.held_memory().max(whole.memory / 2).min(whole.memory),
        };
        (self.set_share(share), self.state_source.snapshot())
    }

    fn shrink_to_use(&self) -> BudgetShare {
        self.connections.release_memory();
        let share = self.share.get();
        // Each open client connection may carry a request, which may need a connection to a server as well.
        let descriptors = self.connections.descriptor_usage().0 + self.connections.open_connections();
        self.set_share(BudgetShare {
            descriptors: descriptors.min(share.descriptors),
            memory: self.connections.needed_memory().min(share.memory),
        })
    }

    fn restore(&self) {
        self.set_share(whole_budget(&self.connections));
    }

    fn add_begun(&self, requests: &[u64]) {
        let node = &self.state_source.node;
        requests.iter().for_each(|request| node.add_begun(RequestHash(*request)));
    }
}

/// The incoming process as the front uses it; forwards to the [`Offer`].
pub struct Incoming(pub Rc<Offer>);

impl IncomingProcess for Incoming {
    fn handover_status(&self) -> HandoverStatus {
        if self.0.can_hand_over() {
            HandoverStatus::Confirmed
        } else if self.0.awaits_confirmation() {
            HandoverStatus::Offered
        } else {
            HandoverStatus::None
        }
    }

    fn accepts_requests(&self) -> bool {
        self.0.can_hand_over_requests()
    }

    fn hand_over(&self, connection: HandedOverConnection) -> Result<(), HandedOverConnection> {
        self.0.hand_over(connection)
    }

    fn all_sent(&self) -> bool {
        self.0.all_sent()
    }
}
