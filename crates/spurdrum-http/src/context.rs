//! State shared by all client connections of a node.

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

/// The most bytes that are read and discarded on a half-closed connection, such as the rest of a long request
/// body.
pub(crate) const MAX_DISCARDED_BYTES: usize = 64 << 20;
/// The first and the longest delay before accepting again when no file descriptor is free. The delay doubles
/// with each attempt that fails.
pub(crate) const ACCEPT_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(10), Duration::from_millis(160));

pub(crate) type Node = spurdrum_core::Node<Upstream>;

/// The configured names, in the order of the settings. The decision module refers to classes and tenants by
/// their index here.
#[derive(Clone, Debug, Default)]
pub struct ConfigNames {
    /// The request classes.
    pub classes: Vec<String>,
    /// The tenants; may be empty.
    pub tenants: Vec<String>,
}

/// The names currently in force: the program replaces them when it reloads its settings.
pub type SharedConfigNames = Rc<RefCell<Rc<ConfigNames>>>;

/// The process that takes over from this one, if there is one.
pub trait IncomingProcess {
    /// Returns how far the handover to the incoming process has come.
    fn handover_status(&self) -> HandoverStatus;

    /// Returns whether the incoming process accepts connections from which a request has already been read.
    fn accepts_requests(&self) -> bool;

    /// Hands over a connection that is idle between two requests, or from which a request has been read that
    /// was not sent to any server.
    ///
    /// # Errors
    ///
    /// Returns the connection if it cannot be handed over.
    fn hand_over(&self, connection: HandedOverConnection) -> Result<(), HandedOverConnection>;

    /// Returns whether everything that was to be handed over has been sent to the incoming process.
    fn all_sent(&self) -> bool;
}

/// How far the shutdown of this process has come with regard to pending requests; a later variant goes
/// further.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ShutdownStage {
    /// Requests are served normally.
    #[default]
    Serving,
    /// Requests that have not been sent to any server are no longer sent: they are handed over or refused.
    NoNewAttempts,
    /// No new request is accepted, and every pending request gets a final response.
    FinalNotice,
}

/// Serves the connections of clients.
pub struct Front {
    pub(crate) node: Rc<Node>,
    pub(crate) names: SharedConfigNames,
    /// How affinity keys are derived from requests, if affinity is enabled.
    pub(crate) keys: Option<Rc<AffinityKeys>>,
    /// Returns the text that `/_health` shows in addition to the node's state.
    pub(crate) status: Box<dyn Fn() -> String>,
    pub(crate) shutting_down: Cell<bool>,
    shutdown_stage: Cell<ShutdownStage>,
    /// Notified at each change of stage, for the tasks that wait for a response.
    stage_changed: Notify,
    pub(crate) incoming_process: Option<Rc<dyn IncomingProcess>>,
    /// A descriptor kept in reserve: when the system has no more descriptors, it is released so that a
    /// waiting connection can be accepted and answered instead of being left waiting.
    pub(crate) spare_descriptor: RefCell<Option<File>>,
    pub(crate) accept_backoff: Cell<Duration>,
}

impl Front {
    /// Creates the front of `node`, whose requests refer to `names`. `status` is shown by `/_health`.
    pub fn new(node: Rc<Node>, names: SharedConfigNames, status: impl Fn() -> String + 'static) -> Self {
        Self {
            node,
            names,
            keys: None,
            status: Box::new(status),
            shutting_down: Cell::new(false),
            shutdown_stage: Cell::default(),
            stage_changed: Notify::new(),
            incoming_process: None,
            spare_descriptor: RefCell::new(open_spare_descriptor()),
            accept_backoff: Cell::new(ACCEPT_BACKOFF.0),
        }
    }

    /// Sets the process to which this one may hand over.
    #[must_use]
    pub fn with_incoming_process(self, incoming_process: Option<Rc<dyn IncomingProcess>>) -> Self {
        Self { incoming_process, ..self }
    }

    pub(crate) fn handover_status(&self) -> HandoverStatus {
        self.incoming_process
            .as_ref()
            .map_or(HandoverStatus::None, |incoming_process| incoming_process.handover_status())
    }

    pub(crate) fn handover_confirmed(&self) -> bool {
        self.handover_status() == HandoverStatus::Confirmed
    }

    /// Returns whether an incoming process exists and accepts connections from which a request has already
    /// been read.
    pub(crate) fn can_hand_over_requests(&self) -> bool {
        self.incoming_process.as_ref().is_some_and(|incoming_process| incoming_process.accepts_requests())
    }

    /// Stops sending requests that have not been sent to any server.
    pub(crate) fn stop_new_attempts(&self) {
        self.advance_to(ShutdownStage::NoNewAttempts);
    }

    /// Stops accepting requests and lets every pending request get its final response.
    pub(crate) fn send_final_notice(&self) {
        self.advance_to(ShutdownStage::FinalNotice);
        self.node.connections.handle_event(Event::ShutdownImminent);
    }

    fn advance_to(&self, stage: ShutdownStage) {
        self.shutdown_stage.set(self.shutdown_stage.get().max(stage));
        self.stage_changed.notify_waiters();
    }

    /// Returns whether the final shutdown notice has been given.
    pub(crate) fn final_notice_sent(&self) -> bool {
        self.shutdown_stage.get() == ShutdownStage::FinalNotice
    }

    /// Waits until the shutdown has reached `stage`.
    pub(crate) async fn wait_for_stage(&self, stage: ShutdownStage) {
        loop {
            let changed = self.stage_changed.notified();
            if self.shutdown_stage.get() >= stage {
                return;
            }
            changed.await;
        }
    }

    /// Sets how affinity keys are derived from requests.
    #[must_use]
    pub fn with_keys(self, keys: Option<Rc<AffinityKeys>>) -> Self {
        Self { keys, ..self }
    }
}

pub(crate) fn open_spare_descriptor() -> Option<File> {
    File::open("/dev/null").ok()
}

/// Returns the bytes of a refusal, for connections on which hyper has no request to respond to.
pub(crate) fn refusal_bytes(retry_after_ms: Option<f64>) -> String {
    let after = retry_after_ms.map(|ms| format!("retry-after: {:.3}\r\n", ms / 1000.0)).unwrap_or_default();
    format!(
        "HTTP/1.1 503 Service Unavailable\r\n{after}connection: close\r\ncontent-length: 8\r\n\r\nrefused\n"
    )
}
