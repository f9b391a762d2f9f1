//! The catalog over HTTP/1.1: carries out what a [`Follower`] decides.

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

/// A list may be this long: 10,000 servers and some more.
const LIST_MOST: usize = 8 << 20;
/// A connection to discovery may take this long.
const DIAL_MOST: Duration = Duration::from_secs(1);

/// What a follower has for the node.
#[derive(Debug)]
pub enum CatalogEvent {
    /// Following begins: the first call goes out after so long.
    Started {
        /// The time until then.
        first_call: Duration,
    },
    /// The process may serve from now on.
    Ready {
        /// Why.
        end: StartupResult,
        /// How long it took.
        after: Duration,
    },
    /// The list, or what changed in it.
    List(List),
    /// The view is trusted otherwise than before.
    FreshnessChanged {
        /// Before.
        from: Freshness,
        /// Now.
        to: Freshness,
        /// Why.
        cause: Cause,
    },
    /// A whole list is shorter by much: entries before and now.
    ListShrunk(usize, usize),
    /// A call has ended, otherwise than as a quiet watch does.
    CallEnded(CallReport),
}

/// A call that is out.
struct OpenCall {
    query: Query,
    address: SocketAddr,
    begun: Duration,
    task: AbortHandle,
}

type Sender = SendRequest<Empty<Bytes>>;
type Listener = Box<dyn Fn(CatalogEvent)>;

/// Follows one catalog. To be used within a `LocalSet`.
pub struct Catalog {
    address: Cell<SocketAddr>,
    follower: RefCell<Follower>,
    timer: Timer,
    calls: RefCell<HashMap<CallId, OpenCall>>,
    /// A connection whose last call was answered, and where it leads.
    kept: RefCell<Option<(SocketAddr, Sender)>>,
    news: RefCell<Option<Listener>>,
}

impl Catalog {
    /// A catalog at this address, of which a version is known.
    ///
    /// # Errors
    ///
    /// The first setting that makes no sense, and why.
    pub fn new(
        address: SocketAddr,
        settings: Settings,
        seed: u64,
        known: Option<u64>,
    ) -> Result<Rc<Self>, (&'static str, &'static str)> {
        Ok(Rc::new(Self {
            address: Cell::new(address),
            follower: RefCell::new(Follower::new(settings, seed, known)?),
            timer: Timer::default(),
            calls: RefCell::default(),
            kept: RefCell::default(),
            news: RefCell::default(),
        }))
    }

    /// Servers that leave by the list of an earlier run.
    pub fn restore_leaving(&self, known: List) {
        self.follower.borrow_mut().restore_leaving(known);
    }

    /// Follows it for as long as this is awaited; each piece of news is handed over as it comes.
    pub async fn follow(self: Rc<Self>, news: impl Fn(CatalogEvent) + 'static) {
        *self.news.borrow_mut() = Some(Box::new(news));
        self.tell(Event::Tick);
        let due = self.follower.borrow().next_call().unwrap_or_default();
        self.hand_over(CatalogEvent::Started { first_call: due.saturating_sub(self.timer.now()) });
        loop {
            self.tell(Event::Tick);
            let wake = self.follower.borrow().next_wake();
            if wake.is_none() {
                return;
            }
            self.timer.sleep(wake).await;
        }
    }

    /// What a server shows that the list does not explain.
    pub fn report_evidence(self: &Rc<Self>, evidence: Evidence) {
        self.tell(Event::Evidence(evidence));
    }

    /// It is to be found elsewhere from now on. Whether that is news.
    pub fn set_address(self: &Rc<Self>, address: SocketAddr) -> bool {
        if self.address.replace(address) == address {
            return false;
        }
        *self.kept.borrow_mut() = None;
        self.tell(Event::AddressChanged);
        true
    }

    /// How far the view can be trusted, its age where it was ever confirmed, its version, and what was done.
    pub fn status(&self) -> (Freshness, Option<Duration>, Option<u64>, Counts) {
        let follower = self.follower.borrow();
        (follower.freshness(), follower.age(self.timer.now()), follower.revision(), follower.counts().clone())
    }

    fn tell(self: &Rc<Self>, event: Event) {
        // Guards against evidence that comes before the list is followed.
        if self.news.borrow().is_none() {
            return;
        }
        let mut actions = Vec::new();
        self.follower.borrow_mut().handle(self.timer.now(), event, &mut actions);
        for action in actions {
            match action {
                Action::Call { call, query } => self.call(call, query),
                Action::Close { call, reason } => self.close(call, reason),
                Action::Apply(list) => self.hand_over(CatalogEvent::List(list)),
                Action::FreshnessChanged { from, to, cause } => {
                    self.hand_over(CatalogEvent::FreshnessChanged { from, to, cause })
                }
                Action::ListShrunk(before, now) => self.hand_over(CatalogEvent::ListShrunk(before, now)),
                Action::Ready(end) => self.hand_over(CatalogEvent::Ready { end, after: self.timer.now() }),
            }
        }
        self.timer.wake_no_later_than(self.follower.borrow().next_wake());
    }

    fn hand_over(&self, news: CatalogEvent) {
        if let Some(to) = &*self.news.borrow() {
            to(news);
        }
    }

    fn call(self: &Rc<Self>, id: CallId, query: Query) {
        let (catalog, address) = (Rc::clone(self), self.address.get());
        let task = tokio::task::spawn_local(async move {
            let ended = catalog.query(id, query, address).await;
            catalog.ended(id, ended);
        });
        let (begun, task) = (self.timer.now(), task.abort_handle());
        self.calls.borrow_mut().insert(id, OpenCall { query, address, begun, task });
    }

    fn ended(self: &Rc<Self>, id: CallId, ended: Result<List, CallError>) {
        let (end, event) = match ended {
            Ok(list) => {
                let end = CallEnd::Answered { revision: list.revision, entries: list.members.len() };
                (end, Event::Answered { call: id, list })
            }
            Err(error) => (CallEnd::Failed(error), Event::Failed { call: id, failure: error.failure() }),
        };
        self.report(id, end);
        self.tell(event);
    }

    fn close(&self, id: CallId, reason: CloseReason) {
        if let Some(call) = self.calls.borrow().get(&id) {
            call.task.abort();
        }
        self.report(id, CallEnd::Closed(reason));
    }

    /// A call is out no more.
    fn report(&self, id: CallId, end: CallEnd) {
        let Some(call) = self.calls.borrow_mut().remove(&id) else { return };
        let elapsed = self.timer.now().saturating_sub(call.begun);
        let report = CallReport { call: id, query: call.query, address: call.address, elapsed, end };
        if report.is_notable() {
            self.hand_over(CatalogEvent::CallEnded(report));
        }
    }

    async fn query(
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
        let mut request = request.body(Empty::new()).expect("a sound request");
        let (response, sender) = loop {
            let kept = self.kept.borrow_mut().take().filter(|(at, kept)| *at == address && !kept.is_closed());
            let (mut sender, is_kept) = match kept {
                Some((_, sender)) => (sender, true),
                None => (connect(address).await.ok_or(CallError::Unreachable)?, false),
            };
            let unsent = match sender.ready().await {
                Err(_) => request,
                Ok(()) => match sender.try_send_request(request).await {
                    Ok(response) => break (response, sender),
                    Err(mut error) => match error.take_message() {
                        Some(unsent) => unsent,
                        None if is_kept => return Err(CallError::ReusedConnectionClosed),
                        None => return Err(CallError::ConnectionLost),
                    },
                },
            };
            if !is_kept {
                return Err(CallError::ConnectionLost);
            }
            // A kept connection had been closed before the call was written: the call goes on a new one.
            request = unsent;
        };
        if response.status() != StatusCode::OK {
            return Err(CallError::Status(response.status()));
        }
        let length = response.body().size_hint().exact().unwrap_or(0);
        self.tell(Event::AnswerStarted { call: id, length });
        let body = Limited::new(response.into_body(), LIST_MOST).collect().await;
        let body = body.map_err(|_| CallError::IncompleteBody)?.to_bytes();
        let list = serde_json::from_slice(&body).map_err(|_| CallError::InvalidList)?;
        if address == self.address.get() {
            *self.kept.borrow_mut() = Some((address, sender));
        }
        Ok(list)
    }
}

async fn connect(address: SocketAddr) -> Option<Sender> {
    let stream = timeout(DIAL_MOST, TcpStream::connect(address)).await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::task::spawn_local(connection);
    Some(sender)
}
