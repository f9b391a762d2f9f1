//! The node itself: it feeds the decisions what happens and carries out what they say.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use spurdrum_affinity::Affinity;
use spurdrum_policy::{
    Action, Availability, Balancer, Ending, Event, LearnedServerState, LearnedState, ListUpdate, LoadReport,
    NewSettings, Outcome, Request, RequestId, ServerEntry, ServerId, Settings,
};
use spurdrum_trace::{Seen, State, Trace};
use tokio::sync::oneshot;
use tokio::time::{sleep, Instant};

use crate::figures::NodeMetrics;
use crate::pause::sleep_and_catch_up;
use crate::transport::{Cancellation, Reply, Transport, TransportRequest};
use crate::waiting::Line;
use crate::Connections;

/// What a node is told before its first event.
#[derive(Clone, Debug)]
pub struct Config {
    /// For random numbers.
    pub seed: u64,
    /// What the decisions go by at first.
    pub settings: Settings,
    /// Requests that it may hold at once.
    pub max_pending: usize,
    /// Idle connections to servers are looked at this often.
    pub idle_check_interval: Duration,
}

/// A server as a list has it.
#[derive(Clone, Debug)]
pub struct ListedServer {
    /// The same at every node.
    pub id: String,
    /// Where it listens, as seen from this node.
    pub address: SocketAddr,
    /// What the decisions are told; its number is the core's to give.
    pub entry: ServerEntry,
}

/// What the servers show of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListEvidence {
    /// A listed server cannot be reached.
    Unreachable(ServerId),
    /// A listed server turns work away.
    Refused {
        /// It told that nothing waits there.
        idle: bool,
    },
    /// The decisions took a server out.
    Ejected,
    /// A server says that it was started later than the list has it.
    Restarted,
}

/// Of the servers that leave by one list, so many at the most have a line of their own in the log.
const LOGGED_LEAVING_MOST: usize = 16;

/// Starts that differ by less than this, in milliseconds, are one: clocks and lists round.
const SAME_START: f64 = 1000.0;

/// The one final answer to a request.
pub enum Answer<B> {
    /// A server's body.
    Served(B),
    /// Not taken: trying again is harmless, and best after this time.
    Refused(Option<f64>),
    /// Failed, perhaps with an effect.
    Failed,
}

/// Why a request is not taken.
pub enum NotAccepted {
    /// As many are held as may be.
    Full,
    /// One of the same id is held.
    DuplicateId,
}

/// An attempt that is out.
struct OpenAttempt {
    server: ServerId,
    begun: Instant,
    cancellation: Rc<Cancellation>,
}

/// A request that is held: until it is answered and its attempts have ended.
struct Held<T: Transport> {
    request: Rc<T::Request>,
    /// Taken by the final answer, or when the client leaves.
    answer: Option<oneshot::Sender<Answer<T::Body>>>,
    /// Each attempt, while it is out.
    attempts: Vec<Option<OpenAttempt>>,
    /// Any of an attempt that has ended may have been written.
    has_begun: bool,
}

impl<T: Transport> Held<T> {
    /// Whether a server may have been sent any of it.
    fn may_have_been_sent(&self) -> bool {
        self.has_begun || self.attempts.iter().flatten().any(|open| open.cancellation.has_begun())
    }

    /// What its client calls it, as traces have it.
    fn shown(&self) -> String {
        String::from_utf8_lossy(self.request.client_request_id().as_ref()).into_owned()
    }
}

/// Where what happens is noted, and what was noted of the servers that are listed.
struct Traced {
    to: Trace,
    servers: RefCell<HashMap<ServerId, (String, State)>>,
}

impl Traced {
    /// A listed server's id; nothing where it is not listed any more.
    fn name_of(&self, server: ServerId) -> String {
        self.servers.borrow().get(&server).map_or_else(String::new, |(name, _)| name.clone())
    }
}

/// One node; all of its parts hold it.
pub struct Node<T: Transport> {
    tidy_every: Duration,
    settings: RefCell<Rc<Settings>>,
    most_held: Cell<usize>,
    /// Who holds the node's descriptors.
    pub connections: Rc<Connections>,
    /// What operators see of it.
    pub metrics: Rc<NodeMetrics>,
    transport: T,
    /// Hears what the servers show of the list.
    signs: Box<dyn Fn(ListEvidence)>,
    balancer: RefCell<Balancer>,
    /// Which server keys are bound to, where that is on.
    affinity: Option<Rc<RefCell<Affinity>>>,
    requests: RefCell<HashMap<RequestId, Held<T>>>,
    /// What clients call them. Guards against two requests that servers would take for one.
    names: RefCell<HashSet<<T::Request as TransportRequest>::ClientRequestId>>,
    last_id: Cell<u64>,
    /// The numbers of the servers that are listed.
    ids: RefCell<HashMap<String, ServerId>>,
    last_server: Cell<usize>,
    /// When the servers that are listed were started, as far as the list says.
    starts: RefCell<HashMap<ServerId, f64>>,
    /// Where what happens is noted, where it is.
    trace: Option<Traced>,
    started: Instant,
    started_unix_ms: f64,
    /// Pauses of this process that the decisions have been told of.
    told_stood_still: Cell<Duration>,
    /// Requests that came before the list was confirmed; none once they go on as they come.
    line: RefCell<Option<Line>>,
}

impl<T: Transport> Node<T> {
    /// A node that knows no server yet.
    ///
    /// # Errors
    ///
    /// A setting that makes no sense, or a clock before 1970.
    pub fn new(
        config: Config,
        connections: Rc<Connections>,
        metrics: Rc<NodeMetrics>,
        transport: T,
        signs: impl Fn(ListEvidence) + 'static,
        affinity: Option<Rc<RefCell<Affinity>>>,
        trace: Option<Trace>,
    ) -> Result<Rc<Self>, String> {
        let balancer =
            Balancer::new(config.settings.clone(), config.seed).map_err(|e| format!("`settings`: {e}"))?;
        let started_unix_ms = unix_ms()?;
        Ok(Rc::new(Self {
            tidy_every: config.idle_check_interval,
            settings: RefCell::new(Rc::new(config.settings)),
            most_held: Cell::new(config.max_pending),
            connections,
            metrics,
            transport,
            signs: Box::new(signs),
            balancer: RefCell::new(balancer),
            affinity,
            requests: RefCell::default(),
            names: RefCell::default(),
            last_id: Cell::new(0),
            ids: RefCell::default(),
            last_server: Cell::new(0),
            starts: RefCell::default(),
            trace: trace.map(|to| Traced { to, servers: RefCell::default() }),
            started: Instant::now(),
            started_unix_ms,
            told_stood_still: Cell::default(),
            line: RefCell::new(None),
        }))
    }

    /// Notes something of a request, where that is on.
    fn saw(&self, id: RequestId, seen: impl FnOnce(String) -> Seen) {
        let Some(trace) = &self.trace else { return };
        if let Some(held) = self.requests.borrow().get(&id) {
            trace.to.note(self.now(), seen(held.shown()));
        }
    }

    /// Unix time in milliseconds that never runs backwards: starts of servers are told in it.
    pub fn now(&self) -> f64 {
        self.started_unix_ms + self.started.elapsed().as_secs_f64() * 1000.0
    }

    fn handle(self: &Rc<Self>, event: Event) {
        let stood_still = self.connections.clock().total_pause();
        let pause = stood_still - self.told_stood_still.replace(stood_still);
        if !pause.is_zero() {
            self.decide(Event::Resumed { paused_ms: pause.as_secs_f64() * 1000.0 });
        }
        self.decide(event);
    }

    fn decide(self: &Rc<Self>, event: Event) {
        let mut actions = Vec::new();
        self.balancer.borrow_mut().handle(self.now(), event, &mut actions);
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(self: &Rc<Self>, action: Action) {
        match action {
            Action::Send { request, server } => {
                let mut requests = self.requests.borrow_mut();
                let Some(held) = requests.get_mut(&request) else { return };
                let cancellation = Rc::new(Cancellation::default());
                let attempt = held.attempts.len();
                if let Some(trace) = &self.trace {
                    let (id, server) = (held.shown(), trace.name_of(server));
                    trace.to.note(self.now(), Seen::Placed { id, attempt, server });
                }
                let begun = Instant::now();
                let open = OpenAttempt { server, begun, cancellation: Rc::clone(&cancellation) };
                held.attempts.push(Some(open));
                let (node, asked) = (Rc::clone(self), Rc::clone(&held.request));
                tokio::task::spawn_local(async move {
                    let mut reply = node.transport.attempt(server, &asked, &cancellation).await;
                    let took = reply.server_time.unwrap_or_else(|| begun.elapsed());
                    if let Some(rest) = reply.body_end.take() {
                        node.handle(Event::StreamStarted { request, attempt });
                        if let Some(body) = reply.body.take() {
                            node.answer(request, Answer::Served(body));
                        }
                        // Dropped unheard, it was given up with its client.
                        reply.ending = rest.await.unwrap_or(Ending::Cancelled);
                    }
                    node.ended(request, server, attempt, took, reply);
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
                self.saw(request, |id| Seen::GivenUp { id, attempt });
                let requests = self.requests.borrow();
                let out = requests.get(&request).and_then(|held| held.attempts.get(attempt));
                if let Some(Some(open)) = out {
                    open.cancellation.cancel();
                }
            }
            Action::Refuse { request, retry_after_ms } => {
                self.answer(request, Answer::Refused(retry_after_ms));
            }
            Action::Fail { request } => self.answer(request, Answer::Failed),
            // The list is followed whether they ask for it or not.
            Action::Subscribe => {}
            Action::Ejected { server } => {
                tracing::info!("server {} is taken out", self.shown(server));
                (self.signs)(ListEvidence::Ejected);
            }
            Action::SetTimer { timer, after_ms } => {
                let node = Rc::clone(self);
                let after = Duration::try_from_secs_f64(after_ms / 1000.0).unwrap_or_default();
                tokio::task::spawn_local(async move {
                    sleep_and_catch_up(after).await;
                    node.handle(Event::Timer(timer));
                });
            }
            Action::Restored { server } => tracing::info!("server {} is back", self.shown(server)),
            Action::Note(text) => tracing::info!("{text}"),
        }
    }

    /// What the decisions go by now.
    pub fn settings(&self) -> Rc<Settings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Other settings hold for what comes from now on; what is held keeps the rules it came under.
    pub fn reload(self: &Rc<Self>, new: NewSettings, most_held: usize) {
        self.settings.replace(Rc::new(new.settings.clone()));
        self.most_held.set(most_held);
        self.handle(Event::Reload(Box::new(new)));
    }

    /// What the decisions have learned, with the servers' ids.
    pub fn export_learned(&self) -> (Vec<String>, LearnedState) {
        let mut learned = self.balancer.borrow().export_learned();
        let ids = self.ids.borrow();
        let names: HashMap<ServerId, &String> = ids.iter().map(|(id, server)| (*server, id)).collect();
        learned.servers.retain(|known| names.contains_key(&known.server));
        (learned.servers.iter().map(|known| names[&known.server].clone()).collect(), learned)
    }

    /// Goes on from what another process of this node has learned, whose servers have these ids. For before the first request.
    pub fn import_learned(self: &Rc<Self>, ids: &[String], mut learned: LearnedState) {
        let own = self.ids.borrow();
        let known = std::mem::take(&mut learned.servers).into_iter().zip(ids);
        learned.servers = known
            .filter_map(|(known, id)| {
                own.get(id).map(|server| LearnedServerState { server: *server, ..known })
            })
            .collect();
        drop(own);
        self.handle(Event::ImportLearnedState(Box::new(learned)));
    }

    /// Connections to servers.
    pub fn transport(&self) -> &T {
        &self.transport
    }

    // ---- Requests

    /// Requests wait until [`Node::start_serving`]: nothing confirms the list of servers yet.
    pub fn queue_until_serving(&self) {
        self.line.replace(Some(Line::default()));
    }

    /// Requests that waited go on, and others as they come.
    pub fn start_serving(self: &Rc<Self>) {
        let Some(mut line) = self.line.take() else { return };
        for request in line.release(Instant::now()) {
            self.handle(Event::Request(request));
        }
    }

    /// Whether the process has just started and requests wait.
    pub fn is_starting(&self) -> bool {
        self.line.borrow().is_some()
    }

    /// Lets a request wait for the list, for a part of its time; then it is refused.
    fn wait_in_line(self: &Rc<Self>, request: Request) {
        let id = request.id;
        let mut line = self.line.borrow_mut();
        let Some(most) = line.as_mut().map(|line| line.join(request, Instant::now())) else { return };
        let node = Rc::clone(self);
        tokio::task::spawn_local(async move {
            sleep_and_catch_up(most).await;
            if node.leave_line(id) {
                let (name, waited) = (node.name_of(id), most.as_secs_f64());
                tracing::info!("request {name} refused, it waited {waited:.3} s for the list");
                let retry_after_ms = node.settings().max_retry_after_ms;
                node.answer(id, Answer::Refused(retry_after_ms));
            }
        });
    }

    /// A request waits no more. Whether it did.
    fn leave_line(&self, id: RequestId) -> bool {
        self.line.borrow_mut().as_mut().is_some_and(|line| line.leave(id))
    }

    /// What its client calls a request that is held.
    fn name_of(&self, id: RequestId) -> String {
        self.requests.borrow().get(&id).map_or_else(String::new, Held::shown)
    }

    /// Takes a request, where that can be. The answer comes through `answer`.
    pub fn accept(
        self: &Rc<Self>,
        asked: T::Request,
        request: Request,
        answer: oneshot::Sender<Answer<T::Body>>,
    ) -> Result<RequestId, NotAccepted> {
        if self.requests.borrow().len() >= self.most_held.get() {
            return Err(NotAccepted::Full);
        }
        if !self.names.borrow_mut().insert(asked.client_request_id().clone()) {
            return Err(NotAccepted::DuplicateId);
        }
        self.last_id.set(self.last_id.get() + 1);
        let id = RequestId(self.last_id.get());
        let preferred_server = self.affinity.as_ref().zip(asked.affinity());
        let preferred_server =
            preferred_server.and_then(|(affinity, ask)| affinity.borrow_mut().prefers(self.now(), ask));
        let held =
            Held { request: Rc::new(asked), answer: Some(answer), attempts: Vec::new(), has_begun: false };
        self.requests.borrow_mut().insert(id, held);
        self.saw(id, |id| Seen::Asked { id, class: request.class });
        let request = Request { id, preferred_server, ..request };
        if self.is_starting() {
            self.wait_in_line(request);
        } else {
            self.handle(Event::Request(request));
        }
        Ok(id)
    }

    /// The client has left, or its time is up: no answer is owed any more.
    pub fn client_gone(self: &Rc<Self>, id: RequestId) {
        let owed = self.requests.borrow_mut().get_mut(&id).and_then(|held| held.answer.take());
        if owed.is_some() {
            self.saw(id, |id| Seen::Left { id });
            self.leave_line(id);
            self.handle(Event::ClientGone(id));
            // Guards against an attempt that begins for nobody where the settings forbid to cancel one that has begun.
            if let Some(held) = self.requests.borrow().get(&id) {
                held.attempts.iter().flatten().for_each(|open| open.cancellation.cancel_unsent());
            }
            self.forget_if_over(id);
        }
    }

    /// Takes a request back that has surely not been sent to any server: no attempt of it begins any more, and its answer is the
    /// caller's. `None` where a server may have been sent any of it, or it has been answered.
    pub fn withdraw(self: &Rc<Self>, id: RequestId) -> Option<Rc<T::Request>> {
        let requests = self.requests.borrow();
        let held = requests.get(&id).filter(|held| held.answer.is_some() && !held.may_have_been_sent())?;
        let request = Rc::clone(&held.request);
        drop(requests);
        self.client_gone(id);
        Some(request)
    }

    /// Part of its body is gone for good: it cannot be sent again.
    pub fn body_consumed(self: &Rc<Self>, id: RequestId) {
        self.handle(Event::BodyConsumed(id));
    }

    /// Requests that still wait for something.
    pub fn pending_requests(&self) -> usize {
        self.requests.borrow().len()
    }

    /// Servers in the list, and those of them that the decisions avoid now.
    pub fn server_counts(&self) -> (usize, usize) {
        (self.ids.borrow().len(), self.balancer.borrow().ejected_count(self.now()))
    }

    fn answer(&self, id: RequestId, answer: Answer<T::Body>) {
        let owed = self.requests.borrow_mut().get_mut(&id).and_then(|held| held.answer.take());
        if let Some(owed) = owed {
            let name = match &answer {
                Answer::Served(_) => "served",
                Answer::Refused(_) => "refused",
                Answer::Failed => "failed",
            };
            self.saw(id, |id| Seen::Answered { id, answer: name.into() });
            // It fails where the client has just left.
            let _ = owed.send(answer);
        }
        self.forget_if_over(id);
    }

    fn ended(
        self: &Rc<Self>,
        id: RequestId,
        server: ServerId,
        attempt: usize,
        elapsed: Duration,
        reply: Reply<T::Body>,
    ) {
        let mut ask = None;
        self.saw(id, |id| Seen::Ended { id, attempt, how: format!("{:?}", reply.ending) });
        if let Some(held) = self.requests.borrow_mut().get_mut(&id) {
            let ended = held.attempts[attempt].take();
            held.has_begun |= ended.is_some_and(|ended| ended.cancellation.has_begun());
            ask = held.request.affinity();
        }
        if let Some(affinity) = self.affinity.as_ref().filter(|_| reply.ending == Ending::Served) {
            for ask in ask.into_iter().chain(reply.affinity.filter(|names| Some(*names) != ask)) {
                affinity.borrow_mut().served(self.now(), ask, server);
            }
        }
        let listed = self.starts.borrow().get(&server).copied();
        if listed.zip(reply.started_at).is_some_and(|(listed, said)| said > listed + SAME_START) {
            (self.signs)(ListEvidence::Restarted);
        }
        let waits = |report: LoadReport| report.queued.or(report.in_flight);
        match reply.ending {
            Ending::Unreachable => (self.signs)(ListEvidence::Unreachable(server)),
            Ending::Full => {
                let idle = reply.report.and_then(waits).is_some_and(|waits| waits < 1.0);
                (self.signs)(ListEvidence::Refused { idle });
            }
            _ => {}
        }
        if let Some(body) = reply.body {
            self.answer(id, Answer::Served(body));
        }
        let complete = self.requests.borrow().get(&id).is_none_or(|held| held.answer.is_none());
        self.handle(Event::Outcome(Outcome {
            request: id,
            attempt,
            elapsed_ms: elapsed.as_secs_f64() * 1000.0,
            ending: reply.ending,
            complete,
            report: reply.report,
        }));
        self.forget_if_over(id);
    }

    fn forget_if_over(&self, id: RequestId) {
        let mut requests = self.requests.borrow_mut();
        let over = |held: &Held<T>| held.answer.is_none() && held.attempts.iter().all(Option::is_none);
        if requests.get(&id).is_some_and(over) {
            let held = requests.remove(&id).expect("found");
            self.names.borrow_mut().remove(held.request.client_request_id());
        }
    }

    // ---- The list of servers

    /// The whole list, or what changed in it.
    pub fn update_servers(self: &Rc<Self>, complete: bool, servers: Vec<ListedServer>) {
        self.log_attempts_out_to(&self.leaving(complete, &servers));
        let entries = self.entries(complete, servers);
        let listing = if complete { ListUpdate::Full(entries) } else { ListUpdate::Changes(entries) };
        self.handle(Event::Servers(listing));
    }

    /// The whole list as it was known in an earlier run.
    pub fn load_cached_servers(self: &Rc<Self>, servers: Vec<ListedServer>) {
        let entries = self.entries(true, servers);
        self.handle(Event::Servers(ListUpdate::Cached(entries)));
    }

    /// The entries of a list, their servers numbered and their addresses noted.
    fn entries(&self, complete: bool, servers: Vec<ListedServer>) -> Vec<ServerEntry> {
        let mut bound = Vec::new();
        let mut ids = self.ids.borrow_mut();
        if complete {
            let listed: HashSet<_> = servers.iter().map(|server| &server.id).collect();
            ids.retain(|id, server| {
                let stays = listed.contains(id);
                if !stays {
                    self.told(*server, id, Availability::Gone);
                    self.transport.remove_server(*server);
                    self.starts.borrow_mut().remove(server);
                }
                stays
            });
        }
        let mut entries = Vec::with_capacity(servers.len());
        for ListedServer { id, address, mut entry } in servers {
            // Numbers are not used again: what was sent to a server that has gone may end late.
            let next = ServerId(self.last_server.get() + 1);
            let number = *ids.entry(id.clone()).or_insert(next);
            self.last_server.set(self.last_server.get().max(number.0));
            self.told(number, &id, entry.availability);
            if entry.availability == Availability::Gone {
                ids.remove(&id);
                self.transport.remove_server(number);
                self.starts.borrow_mut().remove(&number);
            } else {
                self.starts.borrow_mut().insert(number, entry.started_at.unwrap_or(0.0));
                self.transport.set_server(number, address, entry.availability == Availability::Ready);
            }
            entry.server = number;
            if self.affinity.is_some() {
                bound.push(bindable(id, &entry, self.settings().zone));
            }
            entries.push(entry);
        }
        if let Some(affinity) = &self.affinity {
            affinity.borrow_mut().listed(self.now(), complete, bound);
        }
        entries
    }

    /// A server's id in the list, or its number where no list names it any more.
    fn shown(&self, server: ServerId) -> String {
        let ids = self.ids.borrow();
        let id = ids.iter().find(|(_, listed)| **listed == server);
        id.map_or_else(|| server.0.to_string(), |(id, _)| id.clone())
    }

    /// Listed servers that a list is about to tell to be draining or gone.
    fn leaving(&self, complete: bool, servers: &[ListedServer]) -> Vec<ServerId> {
        let ids = self.ids.borrow();
        let stays = |server: &&ListedServer| server.entry.availability == Availability::Ready;
        if complete {
            let staying: HashSet<&String> = servers.iter().filter(stays).map(|server| &server.id).collect();
            return ids.iter().filter(|(id, _)| !staying.contains(id)).map(|(_, server)| *server).collect();
        }
        servers
            .iter()
            .filter(|server| !stays(server))
            .filter_map(|server| ids.get(&server.id).copied())
            .collect()
    }

    /// Logs which attempts are out to servers that leave, the latest to each by its request.
    fn log_attempts_out_to(&self, leaving: &[ServerId]) {
        for server in leaving.iter().take(LOGGED_LEAVING_MOST) {
            let requests = self.requests.borrow();
            let out = requests
                .values()
                .flat_map(|held| held.attempts.iter().flatten().map(move |open| (held, open)));
            let out: Vec<_> = out.filter(|(_, open)| open.server == *server).collect();
            let Some((held, latest)) = out.iter().max_by_key(|(_, open)| open.begun) else { continue };
            tracing::info!(
                "server {} leaves with {} attempts out, the latest begun {:.3} s ago for request {}",
                self.shown(*server),
                out.len(),
                latest.begun.elapsed().as_secs_f64(),
                held.shown()
            );
        }
    }

    /// Notes what a list says of a server, where that is new.
    fn told(&self, server: ServerId, id: &str, availability: Availability) {
        let Some(trace) = &self.trace else { return };
        let state = match availability {
            Availability::Ready => State::Ready,
            Availability::Draining => State::Draining,
            Availability::Gone => State::Gone,
        };
        let mut servers = trace.servers.borrow_mut();
        let known = match state {
            State::Gone => servers.remove(&server).map(|(_, state)| state),
            _ => servers.insert(server, (id.to_owned(), state)).map(|(_, state)| state),
        };
        if known != Some(state) {
            trace.to.note(self.now(), Seen::Told { server: id.to_owned(), state });
        }
    }

    /// Closes connections to servers whose places others need, for as long as the node runs.
    pub async fn release_server_connections(self: Rc<Self>) {
        loop {
            self.connections.server_close_requested.notified().await;
            self.transport.close_longest_idle();
        }
    }

    /// Closes connections to servers before the servers do, for as long as the node runs.
    pub async fn close_idle_connections(self: Rc<Self>) {
        loop {
            sleep(self.tidy_every).await;
            self.transport.close_idle();
        }
    }
}

/// The time, in Unix milliseconds.
///
/// # Errors
///
/// A clock before 1970.
pub fn unix_ms() -> Result<f64, String> {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_err(|e| format!("the clock: {e}"))?;
    Ok(unix.as_secs_f64() * 1000.0)
}

/// A server as keys are bound to it.
fn bindable(id: String, entry: &ServerEntry, zone: usize) -> spurdrum_affinity::Listed {
    spurdrum_affinity::Listed {
        id,
        server: entry.server,
        availability: entry.availability,
        started_at: entry.started_at,
        near: entry.zone == zone,
        weight: entry.weight,
        key: entry.name_hash,
    }
}
