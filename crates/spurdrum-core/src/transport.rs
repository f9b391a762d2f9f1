//! What the core wants of a protocol towards servers.

use std::future::Future;
use std::hash::Hash;
use std::net::SocketAddr;
use std::time::Duration;

use spurdrum_affinity::Ask;
use spurdrum_policy::{Ending, Report, ServerId};
use tokio::sync::oneshot;

/// A request as its transport sends it.
pub trait Asked {
    /// What the client calls it: no two of one name are held at once.
    type Name: Clone + Eq + Hash + AsRef<[u8]>;

    /// What the client calls it.
    fn name(&self) -> &Self::Name;

    /// The key whose requests had better reach one server, where it has one.
    fn affinity(&self) -> Option<Ask> {
        None
    }
}

/// How an attempt or a probe ended.
pub struct Reply<B> {
    /// The outcome.
    pub ending: Ending,
    /// The load report that came along.
    pub report: Option<Report>,
    /// When the server says that it was started, in Unix milliseconds.
    pub started_at: Option<f64>,
    /// The key that the server gives to requests that are to come back to it.
    pub names: Option<Ask>,
    /// The body, where it was served: all of it, or its beginning.
    pub body: Option<B>,
    /// How long the server took, where that is not the attempt's whole time.
    pub took: Option<Duration>,
    /// Where the body goes on: how it ends. The attempt is out until then.
    pub rest: Option<oneshot::Receiver<Ending>>,
}

impl<B> Reply<B> {
    /// An end without an answer.
    pub fn none(ending: Ending) -> Self {
        Self { ending, report: None, started_at: None, names: None, body: None, took: None, rest: None }
    }
}

/// Connections to servers of one protocol, and the attempts and probes that are made on them.
pub trait Transport: 'static {
    /// What is sent.
    type Request: Asked + 'static;
    /// What comes back.
    type Body: 'static;

    /// Notes a server of the list. Where it is not ready, nothing new goes to it from now on.
    fn list(&self, server: ServerId, address: SocketAddr, ready: bool);

    /// A server is gone: what is out to it may end, and nothing new begins.
    fn forget(&self, server: ServerId);

    /// Closes what has stood idle for so long that servers may soon close it.
    fn close_idle(&self);

    /// Closes the connection that stood idle longest. Whether there was one.
    fn close_oldest(&self) -> bool;

    /// One attempt of a request. When it is over, nothing of it is out any more, also where it was given up.
    fn attempt(
        &self,
        server: ServerId,
        request: &Self::Request,
        given_up: oneshot::Receiver<()>,
    ) -> impl Future<Output = Reply<Self::Body>>;

    /// Asks a server for its load report.
    fn probe(&self, server: ServerId) -> impl Future<Output = Reply<Self::Body>>;
}
