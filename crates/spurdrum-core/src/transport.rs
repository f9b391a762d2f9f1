//! The interface between the core and a protocol towards servers.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::future::Future;
use std::hash::Hash;
use std::net::SocketAddr;
use std::time::Duration;

use spurdrum_affinity::AffinityKey;
use spurdrum_policy::{Ending, LoadReport, ServerId};
use tokio::sync::{oneshot, Notify};

/// A request as the transport sends it.
pub trait TransportRequest {
    /// The client's identifier of a request: no two pending requests have the same.
    type ClientRequestId: Clone + Eq + Hash + AsRef<[u8]>;

    /// Returns the client's identifier of the request.
    fn client_request_id(&self) -> &Self::ClientRequestId;

    /// Returns the key whose requests should preferably reach the same server, if it has one.
    fn affinity(&self) -> Option<AffinityKey> {
        None
    }
}

/// How far an attempt is cancelled; a later variant goes further.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
enum CancelState {
    /// The attempt is not cancelled.
    #[default]
    No,
    /// No client waits for it: it must not be started, but may continue if it has been.
    Unsent,
    /// It ends, whatever has been sent of it.
    Whole,
}

/// The cancellation of one attempt, shared by the core, which requests it, and the transport, which obeys it.
#[derive(Default)]
pub struct Cancellation {
    state: Cell<CancelState>,
    requested: Notify,
    has_begun: Cell<bool>,
    /// Called when the attempt begins.
    on_begin: RefCell<Option<Box<dyn FnOnce()>>>,
}

impl fmt::Debug for Cancellation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Cancellation")
            .field("state", &self.state)
            .field("has_begun", &self.has_begun)
            .finish()
    }
}

impl Cancellation {
    /// Creates the cancellation of an attempt; `on_begin` is called when the attempt begins.
    pub fn with_on_begin(on_begin: impl FnOnce() + 'static) -> Self {
        Self { on_begin: RefCell::new(Some(Box::new(on_begin))), ..Self::default() }
    }

    /// Called before the transport writes the first byte of the attempt. Returns whether it may; if so, the
    /// attempt counts as begun.
    #[must_use]
    pub fn try_begin(&self) -> bool {
        let may_begin = !self.is_requested();
        if may_begin && !self.has_begun.replace(true) {
            self.on_begin.take().into_iter().for_each(|on_begin| on_begin());
        }
        may_begin
    }

    /// Returns whether any part of the attempt may have been written.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.has_begun.get()
    }

    /// Cancels the attempt unless it has begun; one that has continues.
    pub fn cancel_unsent(&self) {
        self.set_state(CancelState::Unsent);
    }

    /// Cancels the attempt, whether or not it has begun.
    pub fn cancel(&self) {
        self.set_state(CancelState::Whole);
    }

    fn set_state(&self, new_state: CancelState) {
        if new_state > self.state.get() {
            self.state.set(new_state);
            self.requested.notify_one();
        }
    }

    /// Returns whether the attempt is cancelled, possibly only unless it has begun.
    pub fn is_requested(&self) -> bool {
        self.state.get() != CancelState::No
    }

    /// Waits until the attempt has to end. `sent` tells whether it may have begun at its server. Only one
    /// task may wait.
    pub async fn cancelled(&self, sent: &Cell<bool>) {
        loop {
            match self.state.get() {
                CancelState::Whole => return,
                CancelState::Unsent if !sent.get() => return,
                CancelState::No | CancelState::Unsent => self.requested.notified().await,
            }
        }
    }
}

/// The result of an attempt or a probe.
pub struct Reply<B> {
    /// How it ended.
    pub ending: Ending,
    /// The load report that came with the response.
    pub report: Option<LoadReport>,
    /// When the server was started according to itself, in Unix milliseconds.
    pub started_at: Option<f64>,
    /// The affinity key that the server names for requests that should return to it.
    pub affinity: Option<AffinityKey>,
    /// The body of a served response: all of it, or its beginning.
    pub body: Option<B>,
    /// How long the server took, if that is not the whole time of the attempt.
    pub server_time: Option<Duration>,
    /// If the body is streamed: receives how it ends. The attempt is in flight until then.
    pub body_end: Option<oneshot::Receiver<Ending>>,
}

impl<B> Reply<B> {
    /// Creates a reply for an attempt that ended without a response.
    pub fn without_body(ending: Ending) -> Self {
        Self {
            ending,
            report: None,
            started_at: None,
            affinity: None,
            body: None,
            server_time: None,
            body_end: None,
        }
    }
}

/// Connections to the servers of one protocol, and the attempts and probes made on them.
pub trait Transport: 'static {
    /// The request that is sent.
    type Request: TransportRequest + 'static;
    /// The body of the response.
    type Body: 'static;

    /// Adds or updates a listed server. If it is not ready, no new attempt or probe is sent to it from now
    /// on.
    fn set_server(&self, server: ServerId, address: SocketAddr, ready: bool);

    /// Removes a server: attempts that are in flight to it may end, and no new ones are started.
    fn remove_server(&self, server: ServerId);

    /// Closes connections that have been idle for so long that servers may soon close them.
    fn close_idle(&self);

    /// Closes the connection that has been idle longest, and returns whether there was one.
    fn close_longest_idle(&self) -> bool;

    /// Sends one attempt of a request. When the future completes, nothing of the attempt is in flight any
    /// more, even if it was cancelled.
    fn attempt(
        &self,
        server: ServerId,
        request: &Self::Request,
        cancellation: &Cancellation,
    ) -> impl Future<Output = Reply<Self::Body>>;

    /// Requests the load report of a server.
    fn probe(&self, server: ServerId) -> impl Future<Output = Reply<Self::Body>>;
}
