//! What all of a node's client connections share.

use std::cell::{Cell, RefCell};
use std::fs::File;
use std::rc::Rc;
use std::time::Duration;

use spurdrum_admission::Event;
use tokio::sync::Notify;

use crate::keys::Keys;
use crate::shutdown::Succession;
use crate::upstream::Upstream;

/// So much is thrown away of what comes on a connection that has been half-closed: the rest of a long body, for a while.
pub(crate) const DISCARD_MOST: usize = 64 << 20;
/// With no descriptors to be had, accepting rests for so long, twice as long each time, up to the second.
pub(crate) const BACKOFF: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(160));

pub(crate) type Node = spurdrum_core::Node<Upstream>;

/// Names in the order of the settings, whose indices the decisions use.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Classes of requests.
    pub classes: Vec<String>,
    /// Tenants; there may be none.
    pub tenants: Vec<String>,
}

/// The names as they are now: the program replaces them when it is given other settings.
pub type SharedNames = Rc<RefCell<Rc<Names>>>;

/// The process that takes over from this one, where there is one.
pub trait Successor {
    /// Whether there is one.
    fn succession(&self) -> Succession;

    /// Takes a connection that rests between two requests.
    ///
    /// # Errors
    ///
    /// The connection, where it cannot.
    fn take(&self, connection: std::net::TcpStream) -> Result<(), std::net::TcpStream>;

    /// Whether it has been sent all that it was to take.
    fn has_all(&self) -> bool;
}

/// Clients' connections.
pub struct Front {
    pub(crate) node: Rc<Node>,
    pub(crate) names: SharedNames,
    /// How keys are made, where that is on.
    pub(crate) keys: Option<Rc<Keys>>,
    /// What `/_health` says beside its own.
    pub(crate) status: Box<dyn Fn() -> String>,
    pub(crate) ending: Cell<bool>,
    /// Set when the process ends in a moment, and raised then for those that wait for an answer.
    pub(crate) last_call: Cell<bool>,
    called: Notify,
    pub(crate) successor: Option<Rc<dyn Successor>>,
    /// Held so that a connection can be answered, and not left waiting, when the system has no more descriptors.
    pub(crate) reserve: RefCell<Option<File>>,
    pub(crate) backoff: Cell<Duration>,
}

impl Front {
    /// A front of this node, whose requests use these names. `status` is shown with `/_health`.
    pub fn new(node: Rc<Node>, names: SharedNames, status: impl Fn() -> String + 'static) -> Self {
        Self {
            node,
            names,
            keys: None,
            status: Box::new(status),
            ending: Cell::new(false),
            last_call: Cell::new(false),
            called: Notify::new(),
            successor: None,
            reserve: RefCell::new(spare_descriptor()),
            backoff: Cell::new(BACKOFF.0),
        }
    }

    /// Another process may take over.
    #[must_use]
    pub fn with_successor(self, successor: Option<Rc<dyn Successor>>) -> Self {
        Self { successor, ..self }
    }

    pub(crate) fn succession(&self) -> Succession {
        self.successor.as_ref().map_or(Succession::None, |successor| successor.succession())
    }

    pub(crate) fn is_succeeded(&self) -> bool {
        self.succession() == Succession::Confirmed
    }

    /// Nothing more is taken, and what is owed an answer gets its last one.
    pub(crate) fn call_last(&self) {
        self.last_call.set(true);
        self.called.notify_waiters();
        self.node.connections.tell(Event::LastCall);
    }

    /// Waits for the last call.
    pub(crate) async fn last_called(&self) {
        let called = self.called.notified();
        if !self.last_call.get() {
            called.await;
        }
    }

    /// Requests have keys.
    #[must_use]
    pub fn with_keys(self, keys: Option<Rc<Keys>>) -> Self {
        Self { keys, ..self }
    }
}

pub(crate) fn spare_descriptor() -> Option<File> {
    File::open("/dev/null").ok()
}

/// What is written where hyper has no request to answer.
pub(crate) fn refusal_text(retry_after_ms: Option<f64>) -> String {
    let after = retry_after_ms.map(|ms| format!("retry-after: {:.3}\r\n", ms / 1000.0)).unwrap_or_default();
    format!(
        "HTTP/1.1 503 Service Unavailable\r\n{after}connection: close\r\ncontent-length: 8\r\n\r\nrefused\n"
    )
}
