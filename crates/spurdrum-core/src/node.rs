//! The node: reports events to the decisions of `spurdrum_policy` and carries out the resulting actions.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use spurdrum_affinity::Affinity;
use spurdrum_policy::{
    Action, Availability, Balancer, Effect, Ending, Event, LearnedServerState, LearnedState, ListUpdate,
    LoadReport, NewSettings, Outcome, Request, RequestId, ServerEntry, ServerId, Settings,
};
use spurdrum_trace::{ServerState, Trace, TraceEvent};
use tokio::sync::oneshot;
use tokio::time::{sleep, Instant};

use crate::begun::{BegunRequests, RequestHash};
use crate::event_log::EventLog;
use crate::metrics::NodeMetrics;
use crate::pause::sleep_and_catch_up;
use crate::startup_queue::StartupQueue;
use crate::transport::{Cancellation, Reply, Transport, TransportRequest};
use crate::Connections;

/// The configuration of a node.
#[derive(Clone, Debug)]
pub struct Config {
    /// The seed of the random number generator.
    pub seed: u64,
    /// The initial settings of the decisions.
    pub settings: Settings,
    /// The maximum number of pending requests.
    pub max_pending: usize,
    /// How often idle connections to servers are checked.
    pub idle_check_interval: Duration,
}

/// A server as it appears in a list.
#[derive(Clone, Debug)]
pub struct ListedServer {
    /// The server's identifier, the same at every node.
    pub id: String,
    /// The address at which this node reaches it.
    pub address: SocketAddr,
    /// The server's entry for the decisions. The core replaces the number in it by its own.
    pub entry: ServerEntry,
}

/// What the behaviour of servers indicates about whether the list is current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListEvidence {
    /// A listed server cannot be reached.
    Unreachable(ServerId),
    /// A listed server refuses work.
    Refused {
        /// Whether it reported at the same time that no requests wait there.
        idle: bool,
    },
    /// The decisions ejected a server.
    Ejected,
    /// A server reports a start time later than the list does.
    Restarted,
}

/// At most this many of the servers that leave by one list get a log line of their own.
const MAX_LOGGED_LEAVING: usize = 16;

/// Start times that differ by less than this, in milliseconds, count as equal, because clocks and lists
/// round.
const START_TOLERANCE_MS: f64 = 1000.0;

/// The final answer to a request.
pub enum Answer<B> {
    /// The response body of a server.
    Served(B),
    /// Refused: retrying is harmless, preferably after this time in milliseconds.
    Refused(Option<f64>),
    /// Failed, possibly after it had an effect.
    Failed,
}

/// Why a request is rejected on arrival.
pub enum NotAccepted {
    /// The maximum number of requests is pending.
    Full,
    /// A request with the same identifier is pending.
    DuplicateId,
}

/// An attempt in flight.
struct InFlightAttempt {
    server: ServerId,
    started_at: Instant,
    cancellation: Rc<Cancellation>,
}

/// An accepted request, pending until it is answered and all of its attempts have ended.
struct PendingRequest<T: Transport> {
    request: Rc<T::Request>,
    accepted_at: Instant,
    /// Whether the request may be repeated freely.
    is_repeatable: bool,
    /// Whether an attempt that has ended may have run.
    may_have_run: bool,
    /// The sender of the final answer; `None` once it is sent or the client has left.
    answer: Option<oneshot::Sender<Answer<T::Body>>>,
    /// All attempts; `None` for those that have ended.
    attempts: Vec<Option<InFlightAttempt>>,
    /// Whether any part of an attempt that has ended may have been written.
    has_begun: bool,
}

impl<T: Transport> PendingRequest<T> {
    /// Returns whether any part of the request may have been sent to a server.
    fn may_have_been_sent(&self) -> bool {
        self.has_begun || self.attempts.iter().flatten().any(|attempt| attempt.cancellation.has_begun())
    }

    /// Returns the client's identifier of the request as text for traces and logs.
    fn display_id(&self) -> String {
        String::from_utf8_lossy(self.request.client_request_id().as_ref()).into_owned()
    }
}

/// The trace that events are written to, and the state of each listed server that was written last.
struct NodeTrace {
    sink: Trace,
    servers: RefCell<HashMap<ServerId, (String, ServerState)>>,
}

impl NodeTrace {
    /// Returns a listed server's identifier; empty if it is no longer listed.
    fn server_id(&self, server: ServerId) -> String {
        self.servers.borrow().get(&server).map_or_else(String::new, |(name, _)| name.clone())
    }
}

/// Called with a request of which an attempt has begun.
type BegunListener = Box<dyn Fn(RequestHash)>;

/// One node, shared by all of its parts.
pub struct Node<T: Transport> {
    idle_check_interval: Duration,
    settings: RefCell<Rc<Settings>>,
    max_pending: Cell<usize>,
    /// The client connections, and the budgets of the node's descriptors.
    pub connections: Rc<Connections>,
    /// The metrics for operators.
    pub metrics: Rc<NodeMetrics>,
    /// The log of single requests and connections.
    pub event_log: EventLog,
    transport: T,
    /// Called with what servers indicate about the list.
    on_evidence: Box<dyn Fn(ListEvidence)>,
    balancer: RefCell<Balancer>,
    /// The servers that affinity keys are bound to, if affinity is enabled.
    affinity: Option<Rc<RefCell<Affinity>>>,
    requests: RefCell<HashMap<RequestId, PendingRequest<T>>>,
    /// The client's identifiers of the pending requests. Without this, servers could take two requests with
    /// one identifier for the same request.
    client_ids: RefCell<HashSet<<T::Request as TransportRequest>::ClientRequestId>>,
    /// The requests of which an attempt has begun lately, but for those that may be repeated.
    begun: RefCell<BegunRequests>,
    /// Called with each request that is added to `begun`.
    on_begun: RefCell<Option<BegunListener>>,
    last_request_id: Cell<u64>,
    /// The numbers of the listed servers.
    server_numbers: RefCell<HashMap<String, ServerId>>,
    last_server_number: Cell<usize>,
    /// When the listed servers were started, as far as the list says.
    listed_starts: RefCell<HashMap<ServerId, f64>>,
    /// The trace, if it is enabled.
    trace: Option<NodeTrace>,
    started: Instant,
    started_unix_ms: f64,
    /// The total of the pauses of this process that have been reported to the decisions.
    reported_pause: Cell<Duration>,
    /// Requests that arrive before the list is confirmed; `None` once requests are passed on as they arrive.
    startup_queue: RefCell<Option<StartupQueue>>,
}

impl<T: Transport> Node<T> {
    /// Creates a node that knows no servers yet.
    ///
    /// # Errors
    ///
    /// A wrong setting, or a system clock before 1970.
    pub fn new(
        config: Config,
        connections: Rc<Connections>,
        metrics: Rc<NodeMetrics>,
        transport: T,
        on_evidence: impl Fn(ListEvidence) + 'static,
        affinity: Option<Rc<RefCell<Affinity>>>,
        trace: Option<Trace>,
    ) -> Result<Rc<Self>, String> {
        let balancer =
            Balancer::new(config.settings.clone(), config.seed).map_err(|e| format!("`settings`: {e}"))?;
        let started_unix_ms = unix_ms()?;
        Ok(Rc::new(Self {
            idle_check_interval: config.idle_check_interval,
            settings: RefCell::new(Rc::new(config.settings)),
            max_pending: Cell::new(config.max_pending),
            connections,
            metrics,
            event_log: EventLog::default(),
            transport,
            on_evidence: Box::new(on_evidence),
            balancer: RefCell::new(balancer),
            affinity,
            requests: RefCell::default(),
            client_ids: RefCell::default(),
            begun: RefCell::default(),
            on_begun: RefCell::default(),
            last_request_id: Cell::new(0),
            server_numbers: RefCell::default(),
            last_server_number: Cell::new(0),
            listed_starts: RefCell::default(),
            trace: trace.map(|sink| NodeTrace { sink, servers: RefCell::default() }),
            started: Instant::now(),
            started_unix_ms,
            reported_pause: Cell::default(),
            startup_queue: RefCell::new(None),
        }))
    }

    /// Traces an event of a pending request, if tracing is enabled.
    fn trace_request(&self, id: RequestId, seen: impl FnOnce(String) -> TraceEvent) {
        let Some(trace) = &self.trace else { return };
        if let Some(pending) = self.requests.borrow().get(&id) {
            trace.sink.record(self.now(), seen(pending.display_id()));
        }
    }

    /// Returns the Unix time in milliseconds, which never runs backwards. Start times of servers are
    /// expressed in it.
    pub fn now(&self) -> f64 {
        self.started_unix_ms + self.started.elapsed().as_secs_f64() * 1000.0
    }

    /// Reports an event to the decisions, after any pause of this process since the previous event.
    fn handle(self: &Rc<Self>, event: Event) {
        let total_pause = self.connections.clock().total_pause();
        let pause = total_pause - self.reported_pause.replace(total_pause);
        if !pause.is_zero() {
            self.decide(Event::Resumed { paused_ms: pause.as_secs_f64() * 1000.0 });
        }
        self.decide(event);
    }

    fn decide(self: &Rc<Self>, event: Event) {
        let mut actions = Vec::new();
        self.balancer.borrow_mut().handle(self.now(), event, &mut actions);
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(self: &Rc<Self>, action: Action) {
        match action {
            Action::Send { request, server } => {
                let mut requests = self.requests.borrow_mut();
                let Some(pending) = requests.get_mut(&request) else { return };
                let cancellation = Rc::new(self.cancellation_of(pending));
                let attempt = pending.attempts.len();
                if let Some(trace) = &self.trace {
                    let (id, server) = (pending.display_id(), trace.server_id(server));
                    trace.sink.record(self.now(), TraceEvent::Placed { id, attempt, server });
                }
                let started_at = Instant::now();
                let in_flight =
                    InFlightAttempt { server, started_at, cancellation: Rc::clone(&cancellation) };
                pending.attempts.push(Some(in_flight));
                let (node, transport_request) = (Rc::clone(self), Rc::clone(&pending.request));
                tokio::task::spawn_local(async move {
                    let mut reply = node.transport.attempt(server, &transport_request, &cancellation).await;
                    let elapsed = reply.server_time.unwrap_or_else(|| started_at.elapsed());
                    if let Some(body_end) = reply.body_end.take() {
                        node.handle(Event::StreamStarted { request, attempt });
                        if let Some(body) = reply.body.take() {
                            node.answer(request, Answer::Served(body));
                        }
                        // The sender was dropped without a result: the attempt was abandoned together with
                        // its client.
                        reply.ending = body_end.await.unwrap_or(Ending::Cancelled);
                    }
                    node.attempt_ended(request, server, attempt, elapsed, reply);
                });
            }
            Action::Probe { server } => {
                let node = Rc::clone(self);
                tokio::task::spawn_local(async move {
                    let reply = node.transport.probe(server).await;
                    node.handle(Event::Probed { server, ending: reply.ending, report: reply.report });
                });
            }
            Action::Cancel { request, attempt } => {
                self.trace_request(request, |id| TraceEvent::GivenUp { id, attempt });
                let requests = self.requests.borrow();
                let attempt = requests.get(&request).and_then(|pending| pending.attempts.get(attempt));
                if let Some(Some(in_flight)) = attempt {
                    in_flight.cancellation.cancel();
                }
            }
            Action::Refuse { request, retry_after_ms } => {
                self.answer(request, Answer::Refused(retry_after_ms));
            }
            Action::Fail { request } => self.answer(request, Answer::Failed),
            // The list is followed whether the decisions ask for it or not.
            Action::Subscribe => {}
            Action::Ejected { server } => {
                tracing::info!("server {} is ejected", self.display_server(server));
                (self.on_evidence)(ListEvidence::Ejected);
            }
            Action::SetTimer { timer, after_ms } => {
                let node = Rc::clone(self);
                let after = Duration::try_from_secs_f64(after_ms / 1000.0).unwrap_or_default();
                tokio::task::spawn_local(async move {
                    sleep_and_catch_up(after).await;
                    node.handle(Event::Timer(timer));
                });
            }
            Action::Restored { server } => {
                tracing::info!("server {} is restored", self.display_server(server))
            }
            Action::Note(text) => tracing::info!("{text}"),
        }
    }

    /// Returns the current settings of the decisions.
    pub fn settings(&self) -> Rc<Settings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Applies new settings to requests that arrive from now on; pending requests keep the settings under
    /// which they were accepted.
    pub fn reload(self: &Rc<Self>, new: NewSettings, max_pending: usize) {
        self.settings.replace(Rc::new(new.settings.clone()));
        self.max_pending.set(max_pending);
        if let Some(startup_queue) = self.startup_queue.borrow_mut().as_mut() {
            startup_queue.reload(&new);
        }
        self.handle(Event::Reload(Box::new(new)));
    }

    /// Returns what the decisions have learned, and the identifiers of the servers it refers to.
    pub fn export_learned(&self) -> (Vec<String>, LearnedState) {
        let mut learned = self.balancer.borrow().export_learned();
        let server_numbers = self.server_numbers.borrow();
        let server_ids: HashMap<ServerId, &String> =
            server_numbers.iter().map(|(id, server)| (*server, id)).collect();
        learned.servers.retain(|state| server_ids.contains_key(&state.server));
        (learned.servers.iter().map(|state| server_ids[&state.server].clone()).collect(), learned)
    }

    /// Continues from what another process of this node has learned about the servers with these identifiers.
    /// To be called before the first request.
    pub fn import_learned(self: &Rc<Self>, server_ids: &[String], mut learned: LearnedState) {
        let own_numbers = self.server_numbers.borrow();
        let states = std::mem::take(&mut learned.servers).into_iter().zip(server_ids);
        learned.servers = states
            .filter_map(|(state, id)| {
                own_numbers.get(id).map(|server| LearnedServerState { server: *server, ..state })
            })
            .collect();
        drop(own_numbers);
        self.handle(Event::ImportLearnedState(Box::new(learned)));
    }

    /// Returns the transport, which owns the connections to servers.
    pub fn transport(&self) -> &T {
        &self.transport
    }

    // ---- Requests

    /// Queues requests until [`Node::start_serving`]: the list of servers has not been confirmed yet.
    pub fn queue_until_serving(&self) {
        self.startup_queue.replace(Some(StartupQueue::default()));
    }

    /// Passes on the queued requests, and from now on other requests as they arrive.
    pub fn start_serving(self: &Rc<Self>) {
        let Some(mut startup_queue) = self.startup_queue.take() else { return };
        for request in startup_queue.drain_all(Instant::now()) {
            self.handle(Event::Request(request));
        }
    }

    /// Returns whether the process has just started and requests are queued.
    pub fn is_starting(&self) -> bool {
        self.startup_queue.borrow().is_some()
    }

    /// Queues a request until the list is confirmed, for a part of its time; then it is refused.
    fn queue_request(self: &Rc<Self>, request: Request) {
        let id = request.id;
        let mut startup_queue = self.startup_queue.borrow_mut();
        let Some(max_wait) = startup_queue.as_mut().map(|queue| queue.push(request, Instant::now())) else {
            return;
        };
        let node = Rc::clone(self);
        tokio::task::spawn_local(async move {
            sleep_and_catch_up(max_wait).await;
            if node.dequeue(id) {
                let (client_id, waited) = (node.client_request_id(id), max_wait.as_secs_f64());
                tracing::info!(
                    "request {client_id} refused after waiting {waited:.3} s for the list of servers"
                );
                let retry_after_ms = node.settings().max_retry_after_ms;
                node.answer(id, Answer::Refused(retry_after_ms));
            }
        });
    }

    /// Removes a request from the startup queue, and returns whether it was queued.
    fn dequeue(&self, id: RequestId) -> bool {
        self.startup_queue.borrow_mut().as_mut().is_some_and(|queue| queue.remove(id))
    }

    /// Returns the client's identifier of a pending request; empty if it is not pending.
    pub fn client_request_id(&self, id: RequestId) -> String {
        self.requests.borrow().get(&id).map_or_else(String::new, PendingRequest::display_id)
    }

    /// Accepts a request if possible. Its final answer is sent through `answer`.
    pub fn accept(
        self: &Rc<Self>,
        transport_request: T::Request,
        request: Request,
        answer: oneshot::Sender<Answer<T::Body>>,
    ) -> Result<RequestId, NotAccepted> {
        if self.requests.borrow().len() >= self.max_pending.get() {
            return Err(NotAccepted::Full);
        }
        let client_id = transport_request.client_request_id();
        if self.has_begun(RequestHash::of(client_id.as_ref()))
            || !self.client_ids.borrow_mut().insert(client_id.clone())
        {
            return Err(NotAccepted::DuplicateId);
        }
        self.last_request_id.set(self.last_request_id.get() + 1);
        let id = RequestId(self.last_request_id.get());
        let preferred_server = self.affinity.as_ref().zip(transport_request.affinity());
        let preferred_server = preferred_server.and_then(|(affinity, affinity_key)| {
            affinity.borrow_mut().preferred_server(self.now(), affinity_key)
        });
        let rules = request.rules.or_else(|| self.settings().rules_of(request.class));
        let pending = PendingRequest {
            request: Rc::new(transport_request),
            accepted_at: Instant::now(),
            is_repeatable: rules.is_some_and(|rules| rules.class.effect == Effect::Safe),
            may_have_run: false,
            answer: Some(answer),
            attempts: Vec::new(),
            has_begun: false,
        };
        self.requests.borrow_mut().insert(id, pending);
        self.trace_request(id, |id| TraceEvent::Asked { id, class: request.class });
        let request = Request { id, preferred_server, rules, ..request };
        if self.is_starting() {
            self.queue_request(request);
        } else {
            self.handle(Event::Request(request));
        }
        Ok(id)
    }

    /// Records that the client has left or its time is up: it is no longer owed an answer.
    pub fn client_gone(self: &Rc<Self>, id: RequestId) {
        let sender = self.requests.borrow_mut().get_mut(&id).and_then(|pending| pending.answer.take());
        if sender.is_some() {
            self.trace_request(id, |id| TraceEvent::Left { id });
            self.dequeue(id);
            self.handle(Event::ClientGone(id));
            // Attempts that have not begun are cancelled here, because settings may forbid cancelling one
            // that has begun; otherwise an attempt could begin although no client waits for it.
            if let Some(pending) = self.requests.borrow().get(&id) {
                pending.attempts.iter().flatten().for_each(|attempt| attempt.cancellation.cancel_unsent());
            }
            self.remove_if_finished(id);
        }
    }

    /// Withdraws a request of which certainly nothing was sent to a server: no attempt of it is started any
    /// more, and the caller has to answer it. Returns `None` if any part of it may have been sent, or if it
    /// has been answered.
    pub fn withdraw(self: &Rc<Self>, id: RequestId) -> Option<Rc<T::Request>> {
        let requests = self.requests.borrow();
        let pending =
            requests.get(&id).filter(|pending| pending.answer.is_some() && !pending.may_have_been_sent())?;
        let request = Rc::clone(&pending.request);
        drop(requests);
        self.client_gone(id);
        Some(request)
    }

    /// Records that part of the request's body has been consumed and is not buffered: it cannot be sent
    /// again.
    pub fn body_consumed(self: &Rc<Self>, id: RequestId) {
        self.handle(Event::BodyConsumed(id));
    }

    /// Returns the number of pending requests.
    pub fn pending_requests(&self) -> usize {
        self.requests.borrow().len()
    }

    /// Returns the number of listed servers, and how many of them the decisions currently avoid.
    pub fn server_counts(&self) -> (usize, usize) {
        (self.server_numbers.borrow().len(), self.balancer.borrow().ejected_count(self.now()))
    }

    fn answer(&self, id: RequestId, answer: Answer<T::Body>) {
        let sender = self.requests.borrow_mut().get_mut(&id).and_then(|pending| pending.answer.take());
        if let Some(sender) = sender {
            let name = match &answer {
                Answer::Served(_) => "served",
                Answer::Refused(_) => "refused",
                Answer::Failed => "failed",
            };
            self.trace_request(id, |id| TraceEvent::Answered { id, answer: name.into() });
            if !matches!(answer, Answer::Served(_)) {
                self.log_unserved(id, name);
            }
            // This fails if the client has just left.
            let _ = sender.send(answer);
        }
        self.remove_if_finished(id);
    }

    fn attempt_ended(
        self: &Rc<Self>,
        id: RequestId,
        server: ServerId,
        attempt: usize,
        elapsed: Duration,
        reply: Reply<T::Body>,
    ) {
        let mut affinity_key = None;
        self.trace_request(id, |id| TraceEvent::Ended { id, attempt, how: format!("{:?}", reply.ending) });
        self.log_attempt_end(id, server, attempt, elapsed, reply.ending);
        if let Some(pending) = self.requests.borrow_mut().get_mut(&id) {
            let ended_attempt = pending.attempts[attempt].take();
            pending.has_begun |= ended_attempt.is_some_and(|ended| ended.cancellation.has_begun());
            pending.may_have_run |= reply.ending.may_have_run();
            affinity_key = pending.request.affinity();
        }
        if let Some(affinity) = self.affinity.as_ref().filter(|_| reply.ending == Ending::Served) {
            for affinity_key in affinity_key
                .into_iter()
                .chain(reply.affinity.filter(|named_key| Some(*named_key) != affinity_key))
            {
                affinity.borrow_mut().record_served(self.now(), affinity_key, server);
            }
        }
        let listed_start = self.listed_starts.borrow().get(&server).copied();
        if listed_start
            .zip(reply.started_at)
            .is_some_and(|(listed, reported)| reported > listed + START_TOLERANCE_MS)
        {
            (self.on_evidence)(ListEvidence::Restarted);
        }
        let load = |report: LoadReport| report.queued.or(report.in_flight);
        match reply.ending {
            Ending::Unreachable => (self.on_evidence)(ListEvidence::Unreachable(server)),
            Ending::Full => {
                let idle = reply.report.and_then(load).is_some_and(|load| load < 1.0);
                (self.on_evidence)(ListEvidence::Refused { idle });
            }
            _ => {}
        }
        if let Some(body) = reply.body {
            self.answer(id, Answer::Served(body));
        }
        let complete = self.requests.borrow().get(&id).is_none_or(|pending| pending.answer.is_none());
        self.handle(Event::Outcome(Outcome {
            request: id,
            attempt,
            elapsed_ms: elapsed.as_secs_f64() * 1000.0,
            ending: reply.ending,
            complete,
            report: reply.report,
        }));
        self.remove_if_finished(id);
    }

    /// Logs an attempt that was not served.
    fn log_attempt_end(
        &self,
        id: RequestId,
        server: ServerId,
        attempt: usize,
        elapsed: Duration,
        ending: Ending,
    ) {
        if ending == Ending::Served {
            return;
        }
        self.event_log.write(|| {
            format!(
                "request {}: attempt {} at server {} ended after {:.3} s: {ending:?}",
                self.client_request_id(id),
                attempt + 1,
                self.display_server(server),
                elapsed.as_secs_f64()
            )
        });
    }

    /// Logs a request that is refused or failed.
    fn log_unserved(&self, id: RequestId, result: &str) {
        let requests = self.requests.borrow();
        let Some(pending) = requests.get(&id) else { return };
        self.event_log.write(|| {
            format!(
                "request {}: {result} {:.3} s after it was accepted, attempts: {}",
                pending.display_id(),
                pending.accepted_at.elapsed().as_secs_f64(),
                pending.attempts.len()
            )
        });
    }

    fn remove_if_finished(&self, id: RequestId) {
        let mut requests = self.requests.borrow_mut();
        let is_finished = |pending: &PendingRequest<T>| {
            pending.answer.is_none() && pending.attempts.iter().all(Option::is_none)
        };
        if requests.get(&id).is_some_and(is_finished) {
            let pending = requests.remove(&id).expect("found");
            let client_id = pending.request.client_request_id();
            self.client_ids.borrow_mut().remove(client_id);
            if !pending.may_have_run && !pending.is_repeatable {
                self.begun.borrow_mut().remove(RequestHash::of(client_id.as_ref()));
            }
        }
    }

    // ---- Requests that have begun

    /// Returns the cancellation of a new attempt of a request.
    fn cancellation_of(self: &Rc<Self>, pending: &PendingRequest<T>) -> Cancellation {
        if pending.is_repeatable {
            return Cancellation::default();
        }
        let request = RequestHash::of(pending.request.client_request_id().as_ref());
        let node = Rc::clone(self);
        Cancellation::with_on_begin(move || node.add_begun(request))
    }

    /// Records that an attempt of a request has begun, in this process or in another one of this node.
    pub fn add_begun(&self, request: RequestHash) {
        let is_new = self.begun.borrow_mut().insert(self.started.elapsed(), request);
        if let Some(on_begun) = self.on_begun.borrow().as_ref().filter(|_| is_new) {
            on_begun(request);
        }
    }

    /// Returns whether an attempt of a request with this identifier has begun lately: it may have run.
    fn has_begun(&self, request: RequestHash) -> bool {
        self.begun.borrow_mut().contains(self.started.elapsed(), request)
    }

    /// Returns the requests of which an attempt has begun lately.
    pub fn begun_requests(&self) -> Vec<RequestHash> {
        self.begun.borrow_mut().all(self.started.elapsed())
    }

    /// Sets what is called with each request of which an attempt begins from now on.
    pub fn set_on_begun(&self, on_begun: impl Fn(RequestHash) + 'static) {
        self.on_begun.replace(Some(Box::new(on_begun)));
    }

    // ---- The list of servers

    /// Applies a complete list of servers, or the changes to it.
    pub fn update_servers(self: &Rc<Self>, complete: bool, servers: Vec<ListedServer>) {
        self.log_in_flight_attempts(&self.leaving(complete, &servers));
        let entries = self.entries(complete, servers);
        let update = if complete { ListUpdate::Full(entries) } else { ListUpdate::Changes(entries) };
        self.handle(Event::Servers(update));
    }

    /// Loads the complete list as it was known in an earlier run.
    pub fn load_cached_servers(self: &Rc<Self>, servers: Vec<ListedServer>) {
        let entries = self.entries(true, servers);
        self.handle(Event::Servers(ListUpdate::Cached(entries)));
    }

    /// Returns the entries of a list, after numbering their servers and passing their addresses to the
    /// transport.
    fn entries(&self, complete: bool, servers: Vec<ListedServer>) -> Vec<ServerEntry> {
        let mut affinity_servers = Vec::new();
        let mut server_numbers = self.server_numbers.borrow_mut();
        if complete {
            let listed: HashSet<_> = servers.iter().map(|server| &server.id).collect();
            server_numbers.retain(|id, server| {
                let stays = listed.contains(id);
                if !stays {
                    self.trace_availability(*server, id, Availability::Gone);
                    self.transport.remove_server(*server);
                    self.listed_starts.borrow_mut().remove(server);
                }
                stays
            });
        }
        let mut entries = Vec::with_capacity(servers.len());
        for ListedServer { id, address, mut entry } in servers {
            // Numbers are never reused: an attempt sent to a server that is gone may end late.
            let next = ServerId(self.last_server_number.get() + 1);
            let number = *server_numbers.entry(id.clone()).or_insert(next);
            self.last_server_number.set(self.last_server_number.get().max(number.0));
            self.trace_availability(number, &id, entry.availability);
            if entry.availability == Availability::Gone {
                server_numbers.remove(&id);
                self.transport.remove_server(number);
                self.listed_starts.borrow_mut().remove(&number);
            } else {
                self.listed_starts.borrow_mut().insert(number, entry.started_at.unwrap_or(0.0));
                self.transport.set_server(number, address, entry.availability == Availability::Ready);
            }
            entry.server = number;
            if self.affinity.is_some() {
                affinity_servers.push(affinity_server(id, &entry, self.settings().zone));
            }
            entries.push(entry);
        }
        if let Some(affinity) = &self.affinity {
            affinity.borrow_mut().apply_list(self.now(), complete, affinity_servers);
        }
        entries
    }

    /// Returns a server's identifier in the list, or its number if it is not listed.
    fn display_server(&self, server: ServerId) -> String {
        let server_numbers = self.server_numbers.borrow();
        let id = server_numbers.iter().find(|(_, listed)| **listed == server);
        id.map_or_else(|| server.0.to_string(), |(id, _)| id.clone())
    }

    /// Returns the listed servers that a list is about to declare draining or gone.
    fn leaving(&self, complete: bool, servers: &[ListedServer]) -> Vec<ServerId> {
        let server_numbers = self.server_numbers.borrow();
        let stays = |server: &&ListedServer| server.entry.availability == Availability::Ready;
        if complete {
            let staying: HashSet<&String> = servers.iter().filter(stays).map(|server| &server.id).collect();
            return server_numbers
                .iter()
                .filter(|(id, _)| !staying.contains(id))
                .map(|(_, server)| *server)
                .collect();
        }
        servers
            .iter()
            .filter(|server| !stays(server))
            .filter_map(|server| server_numbers.get(&server.id).copied())
            .collect()
    }

    /// Logs how many attempts are in flight to servers that leave, and for each the request of the latest.
    fn log_in_flight_attempts(&self, leaving: &[ServerId]) {
        for server in leaving.iter().take(MAX_LOGGED_LEAVING) {
            let requests = self.requests.borrow();
            let in_flight = requests
                .values()
                .flat_map(|pending| pending.attempts.iter().flatten().map(move |attempt| (pending, attempt)));
            let in_flight: Vec<_> = in_flight.filter(|(_, attempt)| attempt.server == *server).collect();
            let Some((pending, latest)) = in_flight.iter().max_by_key(|(_, attempt)| attempt.started_at)
            else {
                continue;
            };
            tracing::info!(
                "server {} is leaving with {} attempts in flight, the latest started {:.3} s ago for request {}",
                self.display_server(*server),
                in_flight.len(),
                latest.started_at.elapsed().as_secs_f64(),
                pending.display_id()
            );
        }
    }

    /// Traces the availability of a server according to a list, if it has changed.
    fn trace_availability(&self, server: ServerId, id: &str, availability: Availability) {
        let Some(trace) = &self.trace else { return };
        let state = match availability {
            Availability::Ready => ServerState::Ready,
            Availability::Draining => ServerState::Draining,
            Availability::Gone => ServerState::Gone,
        };
        let mut servers = trace.servers.borrow_mut();
        let previous = match state {
            ServerState::Gone => servers.remove(&server).map(|(_, state)| state),
            _ => servers.insert(server, (id.to_owned(), state)).map(|(_, state)| state),
        };
        if previous != Some(state) {
            trace.sink.record(self.now(), TraceEvent::ServerChanged { server: id.to_owned(), state });
        }
    }

    /// Closes idle connections to servers whenever clients need their descriptors, for as long as the node
    /// runs.
    pub async fn release_server_connections(self: Rc<Self>) {
        loop {
            self.connections.server_close_requested.notified().await;
            self.transport.close_longest_idle();
        }
    }

    /// Closes idle connections to servers before the servers do, for as long as the node runs.
    pub async fn close_idle_connections(self: Rc<Self>) {
        loop {
            sleep(self.idle_check_interval).await;
            self.transport.close_idle();
        }
    }
}

/// Returns the current Unix time in milliseconds.
///
/// # Errors
///
/// A system clock before 1970.
pub fn unix_ms() -> Result<f64, String> {
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_err(|e| format!("the system clock is before 1970: {e}"))?;
    Ok(unix.as_secs_f64() * 1000.0)
}

/// Returns a server as the affinity table sees it.
fn affinity_server(id: String, entry: &ServerEntry, zone: usize) -> spurdrum_affinity::ListedServer {
    spurdrum_affinity::ListedServer {
        id,
        server: entry.server,
        availability: entry.availability,
        started_at: entry.started_at,
        same_zone: entry.zone == zone,
        weight: entry.weight,
        name_hash: entry.name_hash,
    }
}
