//! The shell that follows a catalog over HTTP/1.1: carries out the actions of a [`Follower`].

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Body;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::follower::{
    Action, CallId, Cause, CloseReason, Counts, Event, Evidence, Follower, Freshness, Query, Settings,
    StartupResult,
};
use crate::{CallEnd, CallError, CallReport, List, Timer};

/// The largest list accepted: enough for somewhat more than 10,000 servers.
const MAX_LIST_BYTES: usize = 8 << 20;
/// The time within which a connection to discovery must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// What the node learns from following a catalog.
#[derive(Debug)]
pub enum CatalogEvent {
    /// The follower has started.
    Started {
        /// The time until the first call is made.
        first_call: Duration,
    },
    /// The process may serve requests from now on.
    Ready {
        /// How the start ended.
        result: StartupResult,
        /// How long the start took.
        after: Duration,
    },
    /// The whole list, or the changes to it.
    List(List),
    /// The freshness of the list has changed.
    FreshnessChanged {
        /// The freshness before.
        from: Freshness,
        /// The freshness now.
        to: Freshness,
        /// Why.
        cause: Cause,
    },
    /// A whole list is much shorter than the one before: the number of entries before and now.
    ListShrunk(usize, usize),
    /// A call has ended. Watches that end in time without changes are not reported.
    CallEnded(CallReport),
}

/// A call that has not ended yet.
struct OpenCall {
    query: Query,
    address: SocketAddr,
    started_at: Duration,
    task: AbortHandle,
}

type Sender = SendRequest<Empty<Bytes>>;
type EventHandler = Box<dyn Fn(CatalogEvent)>;

/// Follows one catalog. Must be used within a `LocalSet`.
pub struct Catalog {
    address: Cell<SocketAddr>,
    follower: RefCell<Follower>,
    timer: Timer,
    calls: RefCell<HashMap<CallId, OpenCall>>,
    /// An idle connection whose last call was answered, and its remote address.
    idle_connection: RefCell<Option<(SocketAddr, Sender)>>,
    handler: RefCell<Option<EventHandler>>,
}

impl Catalog {
    /// Creates the shell for the catalog at `address`. `known_revision` is the revision of the list from an
    /// earlier run, if any.
    ///
    /// # Errors
    ///
    /// Returns the key of the first setting that is not valid, and why.
    pub fn new(
        address: SocketAddr,
        settings: Settings,
        seed: u64,
        known_revision: Option<u64>,
    ) -> Result<Rc<Self>, (&'static str, &'static str)> {
        Ok(Rc::new(Self {
            address: Cell::new(address),
            follower: RefCell::new(Follower::new(settings, seed, known_revision)?),
            timer: Timer::default(),
            calls: RefCell::default(),
            idle_connection: RefCell::default(),
            handler: RefCell::default(),
        }))
    }

    /// Restores which servers were leaving, from the list of an earlier run.
    pub fn restore_leaving(&self, list: List) {
        self.follower.borrow_mut().restore_leaving(list);
    }

    /// Follows the catalog for as long as this future is polled, and passes each event to the handler.
    pub async fn follow(self: Rc<Self>, handler: impl Fn(CatalogEvent) + 'static) {
        *self.handler.borrow_mut() = Some(Box::new(handler));
        self.handle(Event::Tick);
        let first_call_at = self.follower.borrow().next_call().unwrap_or_default();
        self.emit(CatalogEvent::Started { first_call: first_call_at.saturating_sub(self.timer.now()) });
        loop {
            self.handle(Event::Tick);
            let wake = self.follower.borrow().next_wake();
            if wake.is_none() {
                return;
            }
            self.timer.sleep(wake).await;
        }
    }

    /// Reports behaviour of a server that the list does not explain.
    pub fn report_evidence(self: &Rc<Self>, evidence: Evidence) {
        self.handle(Event::Evidence(evidence));
    }

    /// Sets the address of the catalog, and returns whether it has changed.
    pub fn set_address(self: &Rc<Self>, address: SocketAddr) -> bool {
        if self.address.replace(address) == address {
            return false;
        }
        *self.idle_connection.borrow_mut() = None;
        self.handle(Event::AddressChanged);
        true
    }

    /// Returns the freshness of the list, its age if it was ever confirmed, its revision, and the counters.
    pub fn status(&self) -> (Freshness, Option<Duration>, Option<u64>, Counts) {
        let follower = self.follower.borrow();
        (follower.freshness(), follower.age(self.timer.now()), follower.revision(), follower.counts().clone())
    }

    fn handle(self: &Rc<Self>, event: Event) {
        // Evidence may arrive before the catalog is followed; it is ignored.
        if self.handler.borrow().is_none() {
            return;
        }
        let mut actions = Vec::new();
        self.follower.borrow_mut().handle(self.timer.now(), event, &mut actions);
        for action in actions {
            match action {
                Action::Call { call, query } => self.start_call(call, query),
                Action::Close { call, reason } => self.close_call(call, reason),
                Action::Apply(list) => self.emit(CatalogEvent::List(list)),
                Action::FreshnessChanged { from, to, cause } => {
                    self.emit(CatalogEvent::FreshnessChanged { from, to, cause })
                }
                Action::ListShrunk(before, now) => self.emit(CatalogEvent::ListShrunk(before, now)),
                Action::Ready(result) => self.emit(CatalogEvent::Ready { result, after: self.timer.now() }),
            }
        }
        self.timer.wake_no_later_than(self.follower.borrow().next_wake());
    }

    fn emit(&self, event: CatalogEvent) {
        if let Some(handler) = &*self.handler.borrow() {
            handler(event);
        }
    }

    fn start_call(self: &Rc<Self>, id: CallId, query: Query) {
        let (catalog, address) = (Rc::clone(self), self.address.get());
        let task = tokio::task::spawn_local(async move {
            let result = catalog.fetch(id, query, address).await;
            catalog.on_call_end(id, result);
        });
        let (started_at, task) = (self.timer.now(), task.abort_handle());
        self.calls.borrow_mut().insert(id, OpenCall { query, address, started_at, task });
    }

    fn on_call_end(self: &Rc<Self>, id: CallId, result: Result<List, CallError>) {
        let (end, event) = match result {
            Ok(list) => {
                let end = CallEnd::Answered { revision: list.revision, entries: list.members.len() };
                (end, Event::Answered { call: id, list })
            }
            Err(error) => (CallEnd::Failed(error), Event::Failed { call: id, failure: error.failure() }),
        };
        self.finish_call(id, end);
        self.handle(event);
    }

    fn close_call(&self, id: CallId, reason: CloseReason) {
        if let Some(call) = self.calls.borrow().get(&id) {
            call.task.abort();
        }
        self.finish_call(id, CallEnd::Closed(reason));
    }

    /// Forgets a call that has ended, and reports it if it is worth that.
    fn finish_call(&self, id: CallId, end: CallEnd) {
        let Some(call) = self.calls.borrow_mut().remove(&id) else { return };
        let elapsed = self.timer.now().saturating_sub(call.started_at);
        let report = CallReport { call: id, query: call.query, address: call.address, elapsed, end };
        if report.is_notable() {
            self.emit(CatalogEvent::CallEnded(report));
        }
    }

    /// Makes one call and returns the list in the answer. Reuses the idle connection, if there is one.
    async fn fetch(
        self: &Rc<Self>,
        id: CallId,
        query: Query,
        address: SocketAddr,
    ) -> Result<List, CallError> {
        let path = match query {
            Query::Watch { since, wait } => {
                format!("/catalog/members?since={since}&timeout_ms={}", wait.as_millis())
            }
            Query::Poll { since } => format!("/catalog/members?since={since}&timeout_ms=0"),
            Query::Read => "/catalog/members".to_owned(),
        };
        let request = Request::get(path).header("Host", address.to_string());
        let mut request = request.body(Empty::new()).expect("the request is valid");
        let (response, sender) = loop {
            let idle = self
                .idle_connection
                .borrow_mut()
                .take()
                .filter(|(idle_address, idle)| *idle_address == address && !idle.is_closed());
            let (mut sender, is_reused) = match idle {
                Some((_, sender)) => (sender, true),
                None => (connect(address).await.ok_or(CallError::Unreachable)?, false),
            };
            let unsent = match sender.ready().await {
                Err(_) => request,
                Ok(()) => {
                    self.handle(Event::Connected { call: id });
                    match sender.try_send_request(request).await {
                        Ok(response) => break (response, sender),
                        Err(mut error) => match error.take_message() {
                            Some(unsent) => unsent,
                            None if is_reused => return Err(CallError::ReusedConnectionClosed),
                            None => return Err(CallError::ConnectionLost),
                        },
                    }
                }
            };
            if !is_reused {
                return Err(CallError::ConnectionLost);
            }
            // The reused connection was closed before the request was written: the request is sent on a new
            // one.
            request = unsent;
        };
        if response.status() != StatusCode::OK {
            return Err(CallError::Status(response.status()));
        }
        let length = response.body().size_hint().exact().unwrap_or(0);
        self.handle(Event::AnswerStarted { call: id, length });
        let body = Limited::new(response.into_body(), MAX_LIST_BYTES).collect().await;
        let body = body.map_err(|_| CallError::IncompleteBody)?.to_bytes();
        let list = serde_json::from_slice(&body).map_err(|_| CallError::InvalidList)?;
        if address == self.address.get() {
            *self.idle_connection.borrow_mut() = Some((address, sender));
        }
        Ok(list)
    }
}

async fn connect(address: SocketAddr) -> Option<Sender> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::task::spawn_local(connection);
    Some(sender)
}
