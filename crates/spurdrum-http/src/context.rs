//! What all of a node's client connections share.

use std::cell::{Cell, RefCell};
use std::fs::File;
use std::rc::Rc;
use std::time::Duration;

use spurdrum_admission::Event;
use spurdrum_core::HandedOverConnection;
use tokio::sync::Notify;

use crate::keys::AffinityKeys;
use crate::shutdown::HandoverStatus;
use crate::upstream::Upstream;

/// So much is thrown away of what comes on a connection that has been half-closed: the rest of a long body, for a while.
pub(crate) const DISCARD_MOST: usize = 64 << 20;
/// With no descriptors to be had, accepting rests for so long, twice as long each time, up to the second.
pub(crate) const BACKOFF: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(160));

pub(crate) type Node = spurdrum_core::Node<Upstream>;

/// Names in the order of the settings, whose indices the decisions use.
#[derive(Clone, Debug, Default)]
pub struct ConfigNames {
    /// Classes of requests.
    pub classes: Vec<String>,
    /// Tenants; there may be none.
    pub tenants: Vec<String>,
}

/// The names as they are now: the program replaces them when it is given other settings.
pub type SharedConfigNames = Rc<RefCell<Rc<ConfigNames>>>;

/// The process that takes over from this one, where there is one.
pub trait IncomingProcess {
    /// Whether there is one.
    fn handover_status(&self) -> HandoverStatus;

    /// Whether it takes connections from which a request has been read.
    fn accepts_requests(&self) -> bool;

    /// Takes a connection that rests between two requests, or from which a request has been read that no server has been sent.
    ///
    /// # Errors
    ///
    /// The connection, where it cannot.
    fn hand_over(&self, connection: HandedOverConnection) -> Result<(), HandedOverConnection>;

    /// Whether it has been sent all that it was to take.
    fn all_sent(&self) -> bool;
}

/// How far the end of this process has come for the requests that it holds; the later goes further.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum EndStage {
    /// They are served as ever.
    #[default]
    Serving,
    /// Those that no server has been sent are not sent any more: they are handed over, or refused.
    NothingBegins,
    /// Nothing more is taken, and what is owed an answer gets its last one.
    LastCall,
}

/// Clients' connections.
pub struct Front {
    pub(crate) node: Rc<Node>,
    pub(crate) names: SharedConfigNames,
    /// How keys are made, where that is on.
    pub(crate) keys: Option<Rc<AffinityKeys>>,
    /// What `/_health` says beside its own.
    pub(crate) status: Box<dyn Fn() -> String>,
    pub(crate) ending: Cell<bool>,
    end_stage: Cell<EndStage>,
    /// Raised with each stage for those that wait for an answer.
    end_advanced: Notify,
    pub(crate) successor: Option<Rc<dyn IncomingProcess>>,
    /// Held so that a connection can be answered, and not left waiting, when the system has no more descriptors.
    pub(crate) reserve: RefCell<Option<File>>,
    pub(crate) backoff: Cell<Duration>,
}

impl Front {
    /// A front of this node, whose requests use these names. `status` is shown with `/_health`.
    pub fn new(node: Rc<Node>, names: SharedConfigNames, status: impl Fn() -> String + 'static) -> Self {
        Self {
            node,
            names,
            keys: None,
            status: Box::new(status),
            ending: Cell::new(false),
            end_stage: Cell::default(),
            end_advanced: Notify::new(),
            successor: None,
            reserve: RefCell::new(spare_descriptor()),
            backoff: Cell::new(BACKOFF.0),
        }
    }

    /// Another process may take over.
    #[must_use]
    pub fn with_incoming_process(self, successor: Option<Rc<dyn IncomingProcess>>) -> Self {
        Self { successor, ..self }
    }

    pub(crate) fn handover_status(&self) -> HandoverStatus {
        self.successor.as_ref().map_or(HandoverStatus::None, |successor| successor.handover_status())
    }

    pub(crate) fn is_succeeded(&self) -> bool {
        self.handover_status() == HandoverStatus::Confirmed
    }

    /// Whether another process takes over, and takes connections from which a request has been read.
    pub(crate) fn passes_requests(&self) -> bool {
        self.successor.as_ref().is_some_and(|successor| successor.accepts_requests())
    }

    /// What no server has been sent is not sent any more.
    pub(crate) fn begin_nothing(&self) {
        self.advance_to(EndStage::NothingBegins);
    }

    /// Nothing more is taken, and what is owed an answer gets its last one.
    pub(crate) fn call_last(&self) {
        self.advance_to(EndStage::LastCall);
        self.node.connections.handle_event(Event::ShutdownImminent);
    }

    fn advance_to(&self, stage: EndStage) {
        self.end_stage.set(self.end_stage.get().max(stage));
        self.end_advanced.notify_waiters();
    }

    /// Whether the last call has come.
    pub(crate) fn has_called_last(&self) -> bool {
        self.end_stage.get() == EndStage::LastCall
    }

    /// Waits until the end has come so far.
    pub(crate) async fn reached(&self, stage: EndStage) {
        loop {
            let advanced = self.end_advanced.notified();
            if self.end_stage.get() >= stage {
                return;
            }
            advanced.await;
        }
    }

    /// Requests have keys.
    #[must_use]
    pub fn with_keys(self, keys: Option<Rc<AffinityKeys>>) -> Self {
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
