//! Connections to servers, and the attempts and probes that are made on them.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::future::pending;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HeaderMap, HeaderValue, CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use spurdrum_admission::Event as ConnectionEvent;
use spurdrum_affinity::AffinityKey;
use spurdrum_core::{
    is_resource_exhausted, pause_adjusted_timeout, sleep_and_catch_up, Cancellation, Connections,
    NodeMetrics, Reply, ServerConnectionPermit, Transport, TransportRequest,
};
use spurdrum_policy::{Ending, LoadReport, ServerId};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

use crate::keys::{AffinityKeys, PartialKey};
use crate::socket::{self, has_input, Io};
use crate::stream::{joined, Deadline, Download, Outgoing, ResponseBody, Source, Upload, STALLED};

/// An answer of unknown length is held back for so long at most, so that a break may still be mended: most that are short
/// have come by then, and what is long is timed by its first byte.
const HOLD_MOST: Duration = Duration::from_millis(25);
/// Bodies are held up to this length; longer ones pass through.
pub const MAX_BUFFERED_BODY: usize = 64 * 1024;
/// What hyper reads ahead, or has not written, of one side of a connection.
pub(crate) const BUFFER: usize = 32 * 1024;
/// Part of the idle limit for which a connection is kept: a server that closes it meanwhile resets a request.
const IDLE_PART: f64 = 0.9;
/// A connection is used again this long after an answer at the earliest. What a server sends right behind an
/// answer, as a second copy of it, has shown by then; the next request must not get it.
const REST: Duration = Duration::from_millis(5);
/// Part of a request's time that a connection to a server may take to come up: another may be had after it.
const DIAL_PART: f64 = 0.25;
/// The end of an attempt is taken to reach its server within the shortest time in which a connection to it came up, and in between
/// these: a clock has its grain, and one that came up late says little.
const END_ARRIVES: (Duration, Duration) = (Duration::from_millis(1), Duration::from_millis(100));
/// The head of an answer may be this long.
const HEAD_MOST: usize = 16 * 1024;

/// What of a client's request goes on to a server.
pub struct ForwardRequest {
    /// Unchanged.
    pub method: Method,
    /// Unchanged.
    pub uri: Uri,
    /// Those that go on unchanged.
    pub headers: HeaderMap,
    /// Unchanged.
    pub body: RequestBody,
    /// When the node stops waiting.
    pub deadline: Rc<Deadline>,
    /// Its key.
    pub ask: Option<AffinityKey>,
    /// What a key is made of that its answer gives.
    pub naming: Option<PartialKey>,
}

/// A request's body.
pub enum RequestBody {
    /// All of it.
    Whole(Bytes),
    /// It passes through.
    Through(Rc<Source>),
}

/// What a client gets of a server's answer.
pub struct ServedResponse {
    /// The body.
    pub body: ResponseBody,
    /// The value of the field by which servers give out keys.
    pub given: Option<HeaderValue>,
}

impl TransportRequest for ForwardRequest {
    type ClientRequestId = HeaderValue;

    fn client_request_id(&self) -> &HeaderValue {
        &self.headers["x-request-id"]
    }

    fn affinity(&self) -> Option<AffinityKey> {
        self.ask
    }
}

type Ended = Reply<ServedResponse>;

struct Socket {
    stream: TcpStream,
    _slot: ServerConnectionPermit,
    /// An attempt is being written, and hyper has all of it; and when the last one had been written.
    writing: Cell<bool>,
    written_at: Cell<Option<Instant>>,
    /// When a byte went last.
    moved: Cell<Instant>,
    figures: Rc<NodeMetrics>,
}

impl socket::Socket for Socket {
    fn stream(&self) -> &TcpStream {
        &self.stream
    }

    fn went(&self, _bytes: usize) {
        self.moved.set(Instant::now());
    }

    fn flushed(&self) {
        if self.writing.take() {
            self.written_at.set(Some(Instant::now()));
            self.figures.record_attempt();
        }
    }
}

struct Connection {
    sender: SendRequest<Outgoing>,
    socket: Rc<Socket>,
    address: SocketAddr,
    idle_since: Instant,
}

impl Connection {
    /// Whether the server has neither closed nor spoken unasked.
    fn is_sound(&self) -> bool {
        !self.sender.is_closed() && !has_input(&self.socket.stream)
    }
}

impl Drop for Connection {
    /// Ends it for the server now: hyper's task lets go of the socket only when it next runs, and an attempt
    /// that was given up must be over before the next begins.
    fn drop(&mut self) {
        // It fails where the connection is closed already.
        let _ = SockRef::from(&self.socket.stream).shutdown(Shutdown::Both);
    }
}

/// A server of the list. Attempts and probes hold it for as long as they are out, also past its time there.
struct Server {
    address: Cell<SocketAddr>,
    /// Whether the list lets it have new requests.
    ready: Cell<bool>,
    /// The shortest time in which a connection to it came up: a round trip.
    round_trip: Cell<Duration>,
    /// Connections that stand idle; the one used last is at the back.
    idle: RefCell<VecDeque<Connection>>,
}

impl Server {
    /// A kept connection that its server does not soon close: the last used of those that have rested.
    fn idle(&self, keep: Duration) -> Option<Connection> {
        self.close_idle(keep);
        let mut idle = self.idle.borrow_mut();
        let rested = idle.iter().rposition(|c| c.idle_since.elapsed() >= REST);
        let at = rested.or_else(|| idle.len().checked_sub(1))?;
        idle.remove(at)
    }

    /// Closes what has stood idle for too long.
    fn close_idle(&self, keep: Duration) {
        let mut idle = self.idle.borrow_mut();
        let young = idle.iter().position(|c| c.idle_since.elapsed() < keep).unwrap_or(idle.len());
        idle.drain(..young);
    }

    /// Notes how long a connection took to come up.
    fn came_up(&self, took: Duration) {
        self.round_trip.set(self.round_trip.get().min(took));
    }

    /// In what time the end of an attempt reaches it.
    fn end_arrives(&self) -> Duration {
        self.round_trip.get().clamp(END_ARRIVES.0, END_ARRIVES.1)
    }

    fn keep(&self, mut connection: Connection) {
        let usable = !connection.sender.is_closed() && self.address.get() == connection.address;
        if self.ready.get() && usable {
            connection.idle_since = Instant::now();
            self.idle.borrow_mut().push_back(connection);
        }
    }
}

/// The servers that are listed.
pub struct Upstream {
    servers: RefCell<HashMap<ServerId, Rc<Server>>>,
    connections: Rc<Connections>,
    figures: Rc<NodeMetrics>,
    keep: Cell<Duration>,
    dial_timeout: Cell<Duration>,
    /// How keys are made, where that is on.
    keys: Option<Rc<AffinityKeys>>,
}

impl Upstream {
    /// No server is known yet. Servers close connections that stand idle for `conn_idle`; one that is not made within
    /// `dial_timeout` has failed.
    pub fn new(
        connections: Rc<Connections>,
        figures: Rc<NodeMetrics>,
        conn_idle: Duration,
        dial_timeout: Duration,
    ) -> Self {
        let (servers, keep) = (RefCell::default(), Cell::new(conn_idle.mul_f64(IDLE_PART)));
        let dial_timeout = Cell::new(dial_timeout);
        Self { servers, connections, figures, keep, dial_timeout, keys: None }
    }

    /// Other times hold from now on.
    pub fn set_timeouts(&self, conn_idle: Duration, dial_timeout: Duration) {
        self.keep.set(conn_idle.mul_f64(IDLE_PART));
        self.dial_timeout.set(dial_timeout);
    }

    /// Servers may give out keys in their answers.
    #[must_use]
    pub fn with_keys(self, keys: Option<Rc<AffinityKeys>>) -> Self {
        Self { keys, ..self }
    }

    /// A place for one more socket, for which the one that stood idle longest is closed if need be.
    fn slot(&self) -> Option<ServerConnectionPermit> {
        ServerConnectionPermit::acquire(&self.connections).or_else(|| {
            self.close_longest_idle().then(|| ServerConnectionPermit::acquire(&self.connections)).flatten()
        })
    }

    async fn connect(&self, server: &Server, dial_timeout: Duration) -> Result<Connection, Ending> {
        // Without a place the attempt ends unsent, and that is not the server's fault.
        let slot = self.slot().ok_or(Ending::NotSent)?;
        let address = server.address.get();
        let begun = Instant::now();
        // Guards against a connection that came up while this process stood still, and counts as one that did not.
        let stream = match pause_adjusted_timeout(dial_timeout, TcpStream::connect(address)).await {
            Some(Ok(stream)) => stream,
            Some(Err(error)) if is_resource_exhausted(&error) => {
                // The node's own want, not the server's fault.
                drop(slot);
                self.connections.handle_event(ConnectionEvent::ResourcesExhausted);
                return Err(Ending::NotSent);
            }
            Some(Err(_)) | None => return Err(Ending::Unreachable),
        };
        server.came_up(begun.elapsed());
        stream.set_nodelay(true).map_err(|_| Ending::Unreachable)?;
        let (writing, figures) = (Cell::new(false), Rc::clone(&self.figures));
        let (written_at, moved) = (Cell::new(None), Cell::new(Instant::now()));
        let socket = Rc::new(Socket { stream, _slot: slot, writing, written_at, moved, figures });
        let handshake = http1::Builder::new()
            .max_buf_size(BUFFER)
            .max_header_size(HEAD_MOST)
            .handshake(TokioIo::new(Io(Rc::clone(&socket))))
            .await;
        let (sender, connection) = handshake.map_err(|_| Ending::Unreachable)?;
        tokio::task::spawn_local(connection);
        Ok(Connection { sender, socket, address, idle_since: Instant::now() })
    }
}

/// How far an attempt has come, as what makes it and what may end it share that.
#[derive(Default)]
struct Progress {
    /// All of the request may have gone out.
    sent: Rc<Cell<bool>>,
    /// While the server may work on it: in what time it would hear that the attempt has ended.
    unheard: Cell<Option<Duration>>,
}

impl Progress {
    /// In what time the server hears of an attempt's end that is not its own, where another attempt may follow.
    fn unheard_end(&self, ending: Ending) -> Option<Duration> {
        let given_up = matches!(ending, Ending::Reset | Ending::Cancelled);
        self.unheard.get().filter(|_| given_up && self.sent.get())
    }
}

/// Whether the other side has reset the connection: it knows of the end.
fn is_reset(error: &hyper::Error) -> bool {
    let source = std::error::Error::source(error).and_then(|source| source.downcast_ref::<io::Error>());
    let ends = [io::ErrorKind::ConnectionReset, io::ErrorKind::BrokenPipe, io::ErrorKind::ConnectionAborted];
    source.is_some_and(|error| ends.contains(&error.kind()))
}

impl Upstream {
    /// Sends a request, or a probe where there is none, and reads the answer. `progress` tells how far that has come.
    async fn exchange(
        &self,
        server: ServerId,
        attempt: Option<(&ForwardRequest, &Cancellation)>,
        progress: &Progress,
    ) -> Ended {
        let sent = &progress.sent;
        let forward = attempt.map(|(forward, _)| forward);
        // It may have gone since the decision.
        let Some(server) = self.servers.borrow().get(&server).cloned() else {
            return Reply::without_body(Ending::NotSent);
        };
        loop {
            let (mut connection, kept) = match server.idle(self.keep.get()) {
                Some(connection) => (connection, true),
                None => match self.connect(&server, self.dial_most(forward)).await {
                    Ok(connection) => (connection, false),
                    Err(ending) => return Reply::without_body(ending),
                },
            };
            if kept {
                sleep_until(connection.idle_since + REST).await;
            }
            // Guards against a send to a server that drains, where the news of that came during a pause and lies unread.
            self.connections.clock().caught_up().await;
            if connection.sender.ready().await.is_err() || kept && !connection.is_sound() {
                if kept {
                    continue;
                }
                return Reply::without_body(Ending::Unreachable);
            }
            // Time has passed since the decision: a server that drains by now gets nothing new, and nothing begins for a client
            // that has left.
            if attempt.is_some_and(|(_, cancellation)| !server.ready.get() || !cancellation.try_begin()) {
                return Reply::without_body(Ending::NotSent);
            }
            let request = match forward {
                None => Some(probe_request(connection.address)),
                Some(forward) => forward_request(forward, &connection.socket, sent),
            };
            // It came to its end meanwhile, or more of it is gone than is held.
            let Some(request) = request else { return Reply::without_body(Ending::NotSent) };
            progress.unheard.set(Some(server.end_arrives()));
            let through = forward.and_then(ForwardRequest::through);
            let sending = connection.sender.try_send_request(request);
            let response = tokio::select! {
                response = sending => response,
                () = stalled(&connection.socket, through) => return Reply::without_body(Ending::Unreachable),
            };
            let response = match response {
                Ok(response) => response,
                Err(mut error) => {
                    // What hyper gives back was never written; anything else may have been.
                    let returned = error.take_message().is_some();
                    if returned {
                        sent.set(false);
                    }
                    if returned || is_reset(error.error()) {
                        progress.unheard.set(None);
                    }
                    return match (sent.get(), kept && returned) {
                        (true, _) => Reply::without_body(Ending::Reset),
                        (false, true) => continue,
                        // Its client's end is not the server's fault.
                        (false, false) if through.is_some_and(|source| source.is_broken()) => {
                            Reply::without_body(Ending::NotSent)
                        }
                        (false, false) => Reply::without_body(Ending::Unreachable),
                    };
                }
            };
            let given = self.keys.as_ref().and_then(|keys| response.headers().get(keys.answer()?).cloned());
            let took =
                through.map(|_| connection.socket.written_at.get().map_or(Duration::ZERO, |at| at.elapsed()));
            let mut reply = read(response, connection, &server, forward).await;
            if reply.ending != Ending::Reset {
                progress.unheard.set(None);
            }
            reply.server_time = took;
            let naming = forward.and_then(|forward| forward.naming.as_ref());
            if let (Some(given), Some(naming), Some(body)) = (given, naming, &mut reply.body) {
                reply.affinity = self.keys.as_ref().and_then(|keys| keys.given(naming, &given));
                body.given = Some(given);
            }
            return reply;
        }
    }

    fn dial_most(&self, forward: Option<&ForwardRequest>) -> Duration {
        let left = forward.map(|f| f.deadline.left().mul_f64(DIAL_PART));
        let most = self.dial_timeout.get();
        left.map_or(most, |left| left.min(most))
    }
}

impl Transport for Upstream {
    type Request = ForwardRequest;
    type Body = ServedResponse;

    fn set_server(&self, server: ServerId, address: SocketAddr, ready: bool) {
        let mut servers = self.servers.borrow_mut();
        let known = servers.entry(server).or_insert_with(|| {
            let (address, ready) = (Cell::new(address), Cell::new(ready));
            let round_trip = Cell::new(Duration::MAX);
            Rc::new(Server { address, ready, round_trip, idle: RefCell::default() })
        });
        let moved = known.address.replace(address) != address;
        known.ready.set(ready);
        if moved || !ready {
            known.idle.borrow_mut().clear();
        }
    }

    fn remove_server(&self, server: ServerId) {
        if let Some(gone) = self.servers.borrow_mut().remove(&server) {
            gone.ready.set(false);
            gone.idle.borrow_mut().clear();
        }
    }

    fn close_idle(&self) {
        self.servers.borrow().values().for_each(|server| server.close_idle(self.keep.get()));
    }

    fn close_longest_idle(&self) -> bool {
        let servers = self.servers.borrow();
        let since = |server: &&Rc<Server>| server.idle.borrow().front().map(|c| c.idle_since);
        let idle = servers.values().filter(|server| since(server).is_some());
        let Some(oldest) = idle.min_by_key(since) else { return false };
        let closed = oldest.idle.borrow_mut().pop_front();
        closed.is_some()
    }

    async fn attempt(
        &self,
        server: ServerId,
        forward: &ForwardRequest,
        cancellation: &Cancellation,
    ) -> Ended {
        let progress = Progress::default();
        let sent = Rc::clone(&progress.sent);
        let unless_sent = |ending| Reply::without_body(if sent.get() { ending } else { Ending::NotSent });
        // The exchange holds the connection; it is dropped, and that closed, before this returns.
        let reply = tokio::select! {
            biased;
            reply = self.exchange(server, Some((forward, cancellation)), &progress) => reply,
            () = cancellation.cancelled(&sent) => unless_sent(Ending::Cancelled),
            () = forward.deadline.passed(Duration::ZERO) => unless_sent(Ending::TimedOut),
        };
        if let Some(arrives) = progress.unheard_end(reply.ending) {
            // Guards against a retry that reaches its server while this one, which has not heard of the end, works on the request.
            tokio::select! {
                () = sleep(arrives) => {}
                () = forward.deadline.passed(Duration::ZERO) => {}
            }
        }
        reply
    }

    async fn probe(&self, server: ServerId) -> Ended {
        let progress = Progress::default();
        let exchange = self.exchange(server, None, &progress);
        let reply = pause_adjusted_timeout(self.dial_timeout.get(), exchange).await;
        let mut reply = reply.unwrap_or_else(|| Reply::without_body(Ending::TimedOut));
        if let Some(ServedResponse { body: ResponseBody::Whole(body), .. }) = reply.body.take() {
            let text = body.collect().await.map_or_else(|never| match never {}, |body| body.to_bytes());
            reply.report = std::str::from_utf8(&text).ok().and_then(parse_load_report).or(reply.report);
        }
        reply
    }
}

impl ForwardRequest {
    /// Its body, where that passes through.
    fn through(&self) -> Option<&Rc<Source>> {
        match &self.body {
            RequestBody::Whole(_) => None,
            RequestBody::Through(source) => Some(source),
        }
    }
}

/// The request of one attempt. `None` where its body cannot be sent again.
fn forward_request(
    forward: &ForwardRequest,
    socket: &Rc<Socket>,
    sent: &Rc<Cell<bool>>,
) -> Option<Request<Outgoing>> {
    let body = match &forward.body {
        // A body that is at hand goes to hyper with its head: what is flushed next is all of it.
        RequestBody::Whole(bytes) => {
            sent.set(true);
            socket.writing.set(true);
            Outgoing::Whole(Full::new(bytes.clone()))
        }
        RequestBody::Through(source) => {
            let (socket, sent) = (Rc::clone(socket), Rc::clone(sent));
            let given = move || {
                sent.set(true);
                socket.writing.set(true);
            };
            Outgoing::Through(Upload::new(source, Rc::new(given))?)
        }
    };
    let mut request = Request::new(body);
    *request.method_mut() = forward.method.clone();
    *request.uri_mut() = forward.uri.clone();
    *request.headers_mut() = forward.headers.clone();
    let left = format!("{:.3}", forward.deadline.left().as_secs_f64()).parse().expect("digits");
    request.headers_mut().insert("x-deadline", left);
    Some(request)
}

fn probe_request(address: SocketAddr) -> Request<Outgoing> {
    let request = Request::get("/_load").header("host", address.to_string());
    request.body(Outgoing::Whole(Full::default())).expect("a sound request")
}

/// Waits until a server has taken nothing for too long of a body that passes through, though there is more.
async fn stalled(socket: &Socket, through: Option<&Rc<Source>>) {
    let Some(source) = through else { return pending().await };
    loop {
        sleep_and_catch_up(STALLED / 4).await;
        if source.waits() && socket.moved.get().elapsed() >= STALLED {
            return;
        }
    }
}

/// Reads an answer to its end, where it is not long: only then is it known what it is worth, and whether the connection
/// can be kept. Where the server wants it closed, hyper closes it. What is long belongs to its client as it comes.
async fn read(
    response: Response<Incoming>,
    connection: Connection,
    server: &Rc<Server>,
    forward: Option<&ForwardRequest>,
) -> Ended {
    let (head, mut body) = response.into_parts();
    let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
    let report = text("x-load").and_then(parse_load_report);
    let not_run = text("x-not-run") == Some("1");
    let started_at = text("x-up-since").and_then(|text| text.parse().ok()).filter(|at: &f64| at.is_finite());
    let reply = |ending| Reply { report, started_at, ..Reply::without_body(ending) };
    let served = head.status == StatusCode::OK;
    let ending = match head.status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_run => Ending::Full,
        StatusCode::OK => Ending::Served,
        _ => Ending::Error,
    };
    if !has_end(&head, &body) {
        return reply(if ending == Ending::Full { ending } else { Ending::Reset });
    }
    let length = body.size_hint().exact();
    // What comes in pieces of unknown number is held for a part of the time that is left.
    let hold = forward
        .filter(|_| served)
        .map(|forward| Instant::now() + (forward.deadline.left() / 4).min(HOLD_MOST));
    let held_most = hold.filter(|_| length.is_none());
    let (mut came, mut bytes) = (Vec::new(), 0);
    let whole = loop {
        if length.is_some_and(|length| length > MAX_BUFFERED_BODY as u64) || bytes > MAX_BUFFERED_BODY {
            break false;
        }
        let frame = match held_most {
            Some(until) => match timeout_at(until, body.frame()).await {
                Ok(frame) => frame,
                Err(_) => break false,
            },
            None => body.frame().await,
        };
        match frame {
            None => break true,
            Some(Err(_)) => return reply(if ending == Ending::Full { ending } else { Ending::Reset }),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    bytes += data.len();
                    came.push(data);
                }
            }
        }
    };
    if whole {
        server.keep(connection);
        let body = served.then(|| ServedResponse { body: Full::new(joined(came)).into(), given: None });
        return Reply { body, ..reply(ending) };
    }
    if !served || forward.is_none() {
        // Nobody is shown it: what is left of it goes with its connection.
        return reply(ending);
    }
    let (end, rest) = oneshot::channel();
    let home = Rc::clone(server);
    let download = Download::new(body, came, length, move || home.keep(connection), end);
    let body = ServedResponse { body: ResponseBody::Through(download), given: None };
    Reply { body: Some(body), body_end: Some(rest), ..reply(Ending::Served) }
}

fn says_close(head: &response::Parts) -> bool {
    let options = head.headers.get_all(CONNECTION).into_iter().filter_map(|value| value.to_str().ok());
    options.flat_map(|value| value.split(',')).any(|option| option.trim().eq_ignore_ascii_case("close"))
}

/// Whether an answer that has come to its end can be told from one that was cut off, and its end can be awaited.
fn has_end(head: &response::Parts, body: &Incoming) -> bool {
    let chunked = |value: &HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"chunked");
    match (body.size_hint().exact(), head.headers.get(TRANSFER_ENCODING)) {
        _ if head.status == StatusCode::SWITCHING_PROTOCOLS => false,
        (Some(_), None) => true,
        (None, Some(value)) => chunked(value) && !head.headers.contains_key(CONTENT_LENGTH),
        // Its server says that the end of the connection is that of the answer. Guards against a break that looks like it.
        (None, None) => says_close(head) && !head.headers.contains_key(CONTENT_LENGTH),
        _ => false,
    }
}

/// Reads a load report such as `active=7,waiting=2`; one that is malformed tells nothing.
/// Guards against counts that never hear a report: servers use the settings' names, but others are about.
pub fn parse_load_report(text: &str) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for pair in text.trim().split(',') {
        let (name, value) = pair.split_once('=')?;
        let value = value.trim().parse::<f64>().ok().filter(|x| x.is_finite() && *x >= 0.0)?;
        match name.trim() {
            "active" | "inflight" => report.in_flight = Some(value),
            "waiting" | "queue" => report.queued = Some(value),
            _ => {}
        }
    }
    (report != LoadReport::default()).then_some(report)
}
