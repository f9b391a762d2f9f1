//! What the core wants of a protocol towards servers.

use std::cell::Cell;
use std::future::Future;
use std::hash::Hash;
use std::net::SocketAddr;
use std::time::Duration;

use spurdrum_affinity::Ask;
use spurdrum_policy::{Ending, LoadReport, ServerId};
use tokio::sync::{oneshot, Notify};

/// A request as its transport sends it.
pub trait TransportRequest {
    /// What the client calls it: no two of one name are held at once.
    type ClientRequestId: Clone + Eq + Hash + AsRef<[u8]>;

    /// What the client calls it.
    fn client_request_id(&self) -> &Self::ClientRequestId;

    /// The key whose requests had better reach one server, where it has one.
    fn affinity(&self) -> Option<Ask> {
        None
    }
}

/// How far an attempt is cancelled; the later goes further.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
enum Cancelled {
    /// It is wanted.
    #[default]
    No,
    /// Nobody waits for it: it must not begin, but what has begun may go on.
    Unsent,
    /// It ends, whatever has gone out of it.
    Whole,
}

/// The cancellation of one attempt, as the core, which raises it, and the transport, which heeds it, share it.
#[derive(Debug, Default)]
pub struct Cancellation {
    state: Cell<Cancelled>,
    raised: Notify,
    has_begun: Cell<bool>,
}

impl Cancellation {
    /// The transport is about to write the first byte of the attempt. Whether it may; if so, the attempt counts as begun.
    #[must_use]
    pub fn try_begin(&self) -> bool {
        let may_begin = !self.is_requested();
        self.has_begun.set(self.has_begun.get() || may_begin);
        may_begin
    }

    /// Whether any of the attempt may have been written.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.has_begun.get()
    }

    /// The attempt must not begin any more. What has begun goes on.
    pub fn cancel_unsent(&self) {
        self.raise(Cancelled::Unsent);
    }

    /// The attempt ends.
    pub fn cancel(&self) {
        self.raise(Cancelled::Whole);
    }

    fn raise(&self, to: Cancelled) {
        if to > self.state.get() {
            self.state.set(to);
            self.raised.notify_one();
        }
    }

    /// Whether it is cancelled, at least unless it has begun.
    pub fn is_requested(&self) -> bool {
        self.state.get() != Cancelled::No
    }

    /// Waits until the attempt has to end. `sent` tells whether it may have begun at its server. For one waiter.
    pub async fn cancelled(&self, sent: &Cell<bool>) {
        loop {
            match self.state.get() {
                Cancelled::Whole => return,
                Cancelled::Unsent if !sent.get() => return,
                Cancelled::No | Cancelled::Unsent => self.raised.notified().await,
            }
        }
    }
}

/// How an attempt or a probe ended.
pub struct Reply<B> {
    /// The outcome.
    pub ending: Ending,
    /// The load report that came along.
    pub report: Option<LoadReport>,
    /// When the server says that it was started, in Unix milliseconds.
    pub started_at: Option<f64>,
    /// The key that the server gives to requests that are to come back to it.
    pub affinity: Option<Ask>,
    /// The body, where it was served: all of it, or its beginning.
    pub body: Option<B>,
    /// How long the server took, where that is not the attempt's whole time.
    pub server_time: Option<Duration>,
    /// Where the body goes on: how it ends. The attempt is out until then.
    pub body_end: Option<oneshot::Receiver<Ending>>,
}

impl<B> Reply<B> {
    /// An end without an answer.
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

/// Connections to servers of one protocol, and the attempts and probes that are made on them.
pub trait Transport: 'static {
    /// What is sent.
    type Request: TransportRequest + 'static;
    /// What comes back.
    type Body: 'static;

    /// Notes a server of the list. Where it is not ready, nothing new goes to it from now on.
    fn set_server(&self, server: ServerId, address: SocketAddr, ready: bool);

    /// A server is gone: what is out to it may end, and nothing new begins.
    fn remove_server(&self, server: ServerId);

    /// Closes what has stood idle for so long that servers may soon close it.
    fn close_idle(&self);

    /// Closes the connection that stood idle longest. Whether there was one.
    fn close_longest_idle(&self) -> bool;

    /// One attempt of a request. When it is over, nothing of it is out any more, also where it was cancelled.
    fn attempt(
        &self,
        server: ServerId,
        request: &Self::Request,
        cancellation: &Cancellation,
    ) -> impl Future<Output = Reply<Self::Body>>;

    /// Asks a server for its load report.
    fn probe(&self, server: ServerId) -> impl Future<Output = Reply<Self::Body>>;
}
