//! Replacing the process: takes over from the process that runs, and hands over to the next one.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use serde::{Deserialize, Serialize};
use spurdrum_admission::Event;
use spurdrum_core::{Connections, HandedOverConnection, Node};
use spurdrum_handover::{path, BudgetOwner, Identity, Offer, Takeover, TakeoverEvent, FORMAT};
use spurdrum_http::{
    ConfigNames, HandedOverConnections, HandoverStatus, IncomingProcess, SharedConfigNames, Upstream,
};
use spurdrum_policy::LearnedState;
use spurdrum_sources::List;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// The state that a process hands to the next one. Its field names are part of the handover format.
#[derive(Serialize, Deserialize)]
pub struct HandedState {
    /// The list of servers, as received.
    pub list: List,
    /// Whether that list has not been confirmed since its process started.
    #[serde(default)]
    pub starting: bool,
    /// The ids of the servers in `learned`.
    ids: Vec<String>,
    learned: LearnedState,
    /// The classes and tenants whose positions `learned` refers to.
    classes: Vec<String>,
    tenants: Vec<String>,
}

impl HandedState {
    /// Reads the state that came with a takeover; `None` if it cannot be read.
    pub fn from_takeover(takeover: &Takeover) -> Option<Self> {
        // A process of another version may hand over a different state.
        Self::deserialize(&takeover.state).ok()
    }

    /// Applies what was learned to this process's decisions.
    pub fn apply(mut self, node: &Rc<Node<Upstream>>, names: &ConfigNames) {
        if self.classes != names.classes {
            self.learned.classes.clear();
        }
        if self.tenants != names.tenants {
            self.learned.quotas.clear();
        }
        node.import_learned(&self.ids, self.learned);
    }
}

/// Where the state for the next process is taken from.
pub struct StateSource {
    /// The node, with what its decisions have learned.
    pub node: Rc<Node<Upstream>>,
    /// The list of servers, as received.
    pub list: Rc<RefCell<List>>,
    /// The classes and tenants in force.
    pub names: SharedConfigNames,
}

impl StateSource {
    fn snapshot(&self) -> serde_json::Value {
        let (ids, learned) = self.node.export_learned();
        let names = self.names.borrow();
        let (classes, tenants) = (names.classes.clone(), names.tenants.clone());
        let list = self.list.borrow().clone();
        let starting = self.node.is_starting();
        serde_json::to_value(HandedState { list, starting, ids, learned, classes, tenants })
            .unwrap_or_default()
    }
}

/// Identifies this process's node to the other process.
pub fn identity(name: &str, listen: SocketAddr) -> Identity {
    Identity { format: FORMAT, name: name.to_owned(), listen: listen.to_string(), accepts_requests: true }
}

/// Takes over from the process that serves this address, if there is one that grants it.
pub async fn take_over(name: &str, listen: SocketAddr) -> Option<Takeover> {
    let granted = Takeover::request(&path(listen)?, identity(name, listen)).await;
    granted.inspect_err(|why| tracing::info!("this process takes over from none: {why}")).ok()
}

/// Follows the outgoing process until it has gone: its connections go to the front, and its share of the descriptors to
/// this process.
pub fn follow(takeover: Option<Takeover>, connections: &Rc<Connections>) -> HandedOverConnections {
    let (pass, passed) = mpsc::unbounded_channel();
    let Some(takeover) = takeover else { return passed };
    let (all, connections) = (connections.descriptor_usage().1, Rc::clone(connections));
    let mut share = takeover.share;
    let keep = move |share: usize| {
        connections.handle_event(Event::DescriptorShare { max: all.saturating_sub(share) });
    };
    keep(share);
    tokio::task::spawn_local(takeover.follow(move |event| match event {
        TakeoverEvent::OutgoingShare(kept) => {
            share = kept;
            keep(share);
        }
        TakeoverEvent::Connection(connection) => {
            // The connection's descriptor moves to this process's share.
            share = share.saturating_sub(1);
            keep(share);
            // Fails if this process is ending as well.
            let _ = pass.send(connection);
        }
        TakeoverEvent::OutgoingGone => {
            tracing::info!("the process that was here before has gone");
            keep(0);
        }
    }));
    passed
}

/// Starts accepting takeover requests.
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
    let all = connections.descriptor_usage().1;
    let budget =
        SharedBudget { connections: Rc::clone(connections), all, kept: Cell::new(all), state_source };
    let offer = listener.and_then(|listener| Offer::new(path, identity(name, listen), listener, budget));
    offer.inspect_err(|error| tracing::warn!("this process cannot be replaced unnoticed: {error}")).ok()
}

/// This process's share of the node's descriptor budget.
struct SharedBudget {
    connections: Rc<Connections>,
    all: usize,
    kept: Cell<usize>,
    state_source: StateSource,
}

impl SharedBudget {
    fn keep(&self, max: usize) -> usize {
        self.kept.set(max);
        self.connections.handle_event(Event::DescriptorShare { max });
        max
    }
}

impl BudgetOwner for SharedBudget {
    fn split(&self) -> (usize, serde_json::Value) {
        // Half of the budget, or what is already in use.
        let used = self.connections.descriptor_usage().0;
        (self.keep(used.max(self.all / 2)), self.state_source.snapshot())
    }

    fn shrink_to_use(&self) -> usize {
        // Each open client connection may have a request on its way, which needs a connection to a server.
        let needed = self.connections.descriptor_usage().0 + self.connections.open_connections();
        self.keep(needed.min(self.kept.get()))
    }

    fn restore(&self) {
        self.keep(self.all);
    }
}

/// The incoming process, as seen by the front.
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
