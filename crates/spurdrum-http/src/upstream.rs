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
    NodeMetrics, Reply, ResponseMemory, ServerConnectionPermit, Transport, TransportRequest,
};
use spurdrum_policy::{Ending, LoadReport, ServerId};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

use crate::body::BodyBuffer;
use crate::keys::{AffinityKeys, PartialKey};
use crate::request::body_memory;
use crate::socket::{self, has_input, Io};
use crate::stream::{AttemptBody, Deadline, Download, RequestStream, ResponseBody, Upload, STALL_TIMEOUT};

/// The longest time for which a response of unknown length is buffered, so that the attempt can be retried if
/// the response breaks off. Most short responses are complete by then; the latency of a long one is measured
/// at its first byte, which must not be delayed for longer.
const MAX_BUFFERING_TIME: Duration = Duration::from_millis(25);
/// Bodies are buffered up to this length; longer ones are streamed.
pub const MAX_BUFFERED_BODY: usize = 64 * 1024;
/// The most bytes that hyper buffers in each direction of a connection, read ahead or not yet written.
pub(crate) const MAX_BUFFER_BYTES: usize = 16 * 1024;
/// The longest head, and the longest body of a response, that an idle connection's buffers hold.
const SMALL_MESSAGE_BYTES: usize = 4 * 1024;
/// By how much the buffers of a connection grow with a longer message. They keep their size.
const BUFFER_GROWTH: u64 = 32 * 1024;
/// The fraction of the servers' idle timeout for which a connection is kept. A server that closes the
/// connection just as a request is sent would reset the request.
const IDLE_FRACTION: f64 = 0.9;
/// The least time between a response and the next use of its connection. Anything that a server sends right
/// behind a response, such as a second copy of it, has arrived by then and cannot be taken for the response
/// to the next request.
const REUSE_DELAY: Duration = Duration::from_millis(5);
/// The fraction of a request's remaining time that connecting to a server may take, so that another server
/// can be tried afterwards.
const CONNECT_BUDGET_FRACTION: f64 = 0.25;
/// The bounds of the time within which a server is assumed to notice the end of an attempt. The estimate is
/// the shortest time in which a connection to the server was established. The lower bound allows for the
/// resolution of the clock. The upper bound applies if even that connection was established slowly: such a
/// time says little about the round trip.
const CLOSE_DELAY_RANGE: (Duration, Duration) = (Duration::from_millis(1), Duration::from_millis(100));
/// The longest accepted head of a response.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// The parts of a client's request that are forwarded to a server.
pub struct ForwardRequest {
    /// The method, unchanged.
    pub method: Method,
    /// The target, in origin form.
    pub uri: Uri,
    /// The header fields that are forwarded unchanged.
    pub headers: HeaderMap,
    /// The body, unchanged.
    pub body: RequestBody,
    /// When the node stops waiting.
    pub deadline: Rc<Deadline>,
    /// Returns whether the client is still connected, as far as can be known.
    pub is_client_present: Box<dyn Fn() -> bool>,
    /// The affinity key of the request.
    pub affinity_key: Option<AffinityKey>,
    /// The known parts of the key that the response may assign.
    pub partial_key: Option<PartialKey>,
}

/// The body of a request.
pub enum RequestBody {
    /// The whole body.
    Buffered(Bytes),
    /// The body is streamed.
    Streamed(Rc<RequestStream>),
}

/// The parts of a server's response that are passed on to the client.
pub struct ServedResponse {
    /// The body.
    pub body: ResponseBody,
    /// The value of the header by which servers assign affinity keys.
    pub affinity_header: Option<HeaderValue>,
    /// The memory that the body is charged until it is passed on.
    pub memory: Option<ResponseMemory>,
}

impl TransportRequest for ForwardRequest {
    type ClientRequestId = HeaderValue;

    fn client_request_id(&self) -> &HeaderValue {
        &self.headers["x-request-id"]
    }

    fn affinity(&self) -> Option<AffinityKey> {
        self.affinity_key
    }
}

type AttemptReply = Reply<ServedResponse>;

struct Socket {
    stream: TcpStream,
    _permit: ServerConnectionPermit,
    /// `writing`: an attempt is being written, and hyper has been given all of it. `written_at`: when the
    /// last attempt had been written completely.
    writing: Cell<bool>,
    written_at: Cell<Option<Instant>>,
    /// When bytes were last written.
    last_write_at: Cell<Instant>,
    metrics: Rc<NodeMetrics>,
    /// The memory that the buffers are charged since they have grown.
    buffer_growth: RefCell<Option<ResponseMemory>>,
}

impl Socket {
    /// Waits until there is memory for buffers that hold long messages.
    async fn reserve_growth(&self, connections: &Rc<Connections>) {
        let is_reserved = self.buffer_growth.borrow().is_some();
        if !is_reserved {
            let growth = connections.reserve_response(BUFFER_GROWTH).await;
            self.buffer_growth.replace(Some(growth));
        }
    }
}

impl socket::Socket for Socket {
    fn stream(&self) -> &TcpStream {
        &self.stream
    }

    fn written(&self, _bytes: usize) {
        self.last_write_at.set(Instant::now());
    }

    fn flushed(&self) {
        if self.writing.take() {
            self.written_at.set(Some(Instant::now()));
            self.metrics.record_attempt();
        }
    }
}

struct Connection {
    sender: SendRequest<AttemptBody>,
    socket: Rc<Socket>,
    address: SocketAddr,
    idle_since: Instant,
}

impl Connection {
    /// Returns whether the server has neither closed the connection nor sent anything unasked.
    fn is_usable(&self) -> bool {
        !self.sender.is_closed() && !has_input(&self.socket.stream)
    }
}

impl Drop for Connection {
    /// Closes the connection towards the server now. hyper's task releases the socket only when it next runs,
    /// and an abandoned attempt must have ended before the next one begins.
    fn drop(&mut self) {
        // Fails if the connection is already closed.
        let _ = SockRef::from(&self.socket.stream).shutdown(Shutdown::Both);
    }
}

/// A server of the list. Attempts and probes that are in flight keep it alive, even after it was removed from
/// the list.
struct Server {
    address: Cell<SocketAddr>,
    /// Whether the list allows new requests to the server.
    ready: Cell<bool>,
    /// The shortest time in which a connection was established, i.e. a round trip.
    min_connect_time: Cell<Duration>,
    /// The idle connections; the one used last is at the back.
    idle_connections: RefCell<VecDeque<Connection>>,
}

impl Server {
    /// Takes an idle connection that the server will not close soon: the one used last among those that are
    /// past `REUSE_DELAY`, or else the one used last.
    fn take_idle(&self, max_idle: Duration) -> Option<Connection> {
        self.close_idle(max_idle);
        let mut idle = self.idle_connections.borrow_mut();
        let past_reuse_delay = idle.iter().rposition(|c| c.idle_since.elapsed() >= REUSE_DELAY);
        let index = past_reuse_delay.or_else(|| idle.len().checked_sub(1))?;
        idle.remove(index)
    }

    /// Closes connections that have been idle for `max_idle`.
    fn close_idle(&self, max_idle: Duration) {
        let mut idle = self.idle_connections.borrow_mut();
        let first_kept = idle.iter().position(|c| c.idle_since.elapsed() < max_idle).unwrap_or(idle.len());
        idle.drain(..first_kept);
    }

    /// Records how long it took to establish a connection.
    fn record_connect_time(&self, connect_time: Duration) {
        self.min_connect_time.set(self.min_connect_time.get().min(connect_time));
    }

    /// Returns how long the server is assumed to take to notice the end of an attempt.
    fn close_delay(&self) -> Duration {
        self.min_connect_time.get().clamp(CLOSE_DELAY_RANGE.0, CLOSE_DELAY_RANGE.1)
    }

    fn return_connection(&self, mut connection: Connection) {
        let usable = !connection.sender.is_closed() && self.address.get() == connection.address;
        if self.ready.get() && usable {
            connection.idle_since = Instant::now();
            self.idle_connections.borrow_mut().push_back(connection);
        }
    }
}

/// The transport to the listed servers.
pub struct Upstream {
    servers: RefCell<HashMap<ServerId, Rc<Server>>>,
    connections: Rc<Connections>,
    metrics: Rc<NodeMetrics>,
    max_idle: Cell<Duration>,
    connect_timeout: Cell<Duration>,
    /// How affinity keys are formed, if affinity is enabled.
    keys: Option<Rc<AffinityKeys>>,
}

impl Upstream {
    /// Creates a transport without servers. Servers close connections that are idle for
    /// `server_idle_timeout`; connecting fails after `connect_timeout`.
    pub fn new(
        connections: Rc<Connections>,
        metrics: Rc<NodeMetrics>,
        server_idle_timeout: Duration,
        connect_timeout: Duration,
    ) -> Self {
        let (servers, max_idle) = (RefCell::default(), Cell::new(server_idle_timeout.mul_f64(IDLE_FRACTION)));
        let connect_timeout = Cell::new(connect_timeout);
        Self { servers, connections, metrics, max_idle, connect_timeout, keys: None }
    }

    /// Applies new timeouts from the settings.
    pub fn set_timeouts(&self, server_idle_timeout: Duration, connect_timeout: Duration) {
        self.max_idle.set(server_idle_timeout.mul_f64(IDLE_FRACTION));
        self.connect_timeout.set(connect_timeout);
    }

    /// Lets servers assign affinity keys by their responses.
    #[must_use]
    pub fn with_keys(self, keys: Option<Rc<AffinityKeys>>) -> Self {
        Self { keys, ..self }
    }

    /// Acquires the permit for another socket, if necessary by closing the connection that has been idle
    /// longest.
    fn acquire_permit(&self) -> Option<ServerConnectionPermit> {
        ServerConnectionPermit::acquire(&self.connections).or_else(|| {
            self.close_longest_idle().then(|| ServerConnectionPermit::acquire(&self.connections)).flatten()
        })
    }

    async fn connect(&self, server: &Server, connect_timeout: Duration) -> Result<Connection, Ending> {
        // Without a permit the attempt ends unsent, which is not the server's fault.
        let permit = self.acquire_permit().ok_or(Ending::NotSent)?;
        let address = server.address.get();
        let started_at = Instant::now();
        // Pauses of this process are left out; otherwise a connection that was established during a pause
        // would count as failed.
        let stream = match pause_adjusted_timeout(connect_timeout, TcpStream::connect(address)).await {
            Some(Ok(stream)) => stream,
            Some(Err(error)) if is_resource_exhausted(&error) => {
                // The node lacks descriptors, which is not the server's fault.
                drop(permit);
                self.connections.handle_event(ConnectionEvent::ResourcesExhausted);
                return Err(Ending::NotSent);
            }
            Some(Err(_)) | None => return Err(Ending::Unreachable),
        };
        server.record_connect_time(started_at.elapsed());
        stream.set_nodelay(true).map_err(|_| Ending::Unreachable)?;
        let (writing, metrics) = (Cell::new(false), Rc::clone(&self.metrics));
        let (written_at, last_write_at) = (Cell::new(None), Cell::new(Instant::now()));
        let socket = Rc::new(Socket {
            stream,
            _permit: permit,
            writing,
            written_at,
            last_write_at,
            metrics,
            buffer_growth: RefCell::default(),
        });
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .max_header_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(Io(Rc::clone(&socket))))
            .await;
        let (sender, connection) = handshake.map_err(|_| Ending::Unreachable)?;
        tokio::task::spawn_local(connection);
        Ok(Connection { sender, socket, address, idle_since: Instant::now() })
    }
}

/// The progress of an attempt, shared by the code that makes it and the code that may end it.
#[derive(Default)]
struct Progress {
    /// Whether the whole request may have been sent.
    sent: Rc<Cell<bool>>,
    /// Set while the server may be working on the request: how long it takes to notice that the attempt has
    /// ended.
    close_delay: Cell<Option<Duration>>,
}

impl Progress {
    /// Returns how long the server takes to notice the end of an attempt that it did not end itself, if
    /// another attempt may follow.
    fn unnoticed_close_delay(&self, ending: Ending) -> Option<Duration> {
        let is_abandoned = matches!(ending, Ending::Reset | Ending::Cancelled);
        self.close_delay.get().filter(|_| is_abandoned && self.sent.get())
    }
}

/// Returns whether the server has reset the connection, and so knows that the attempt has ended.
fn is_reset(error: &hyper::Error) -> bool {
    let cause = std::error::Error::source(error).and_then(|cause| cause.downcast_ref::<io::Error>());
    let reset_kinds =
        [io::ErrorKind::ConnectionReset, io::ErrorKind::BrokenPipe, io::ErrorKind::ConnectionAborted];
    cause.is_some_and(|error| reset_kinds.contains(&error.kind()))
}

impl Upstream {
    /// Sends a request, or a probe if there is no attempt, and reads the response. `progress` is updated on
    /// the way.
    async fn exchange(
        &self,
        server: ServerId,
        attempt: Option<(&ForwardRequest, &Cancellation)>,
        progress: &Progress,
    ) -> AttemptReply {
        let sent = &progress.sent;
        let forward = attempt.map(|(forward, _)| forward);
        // The server may have been removed since the decision.
        let Some(server) = self.servers.borrow().get(&server).cloned() else {
            return Reply::without_body(Ending::NotSent);
        };
        loop {
            let (mut connection, reused) = match server.take_idle(self.max_idle.get()) {
                Some(connection) => (connection, true),
                None => match self.connect(&server, self.connect_timeout_for(forward)).await {
                    Ok(connection) => (connection, false),
                    Err(ending) => return Reply::without_body(ending),
                },
            };
            if forward.is_some_and(|forward| forward.head_bytes() > SMALL_MESSAGE_BYTES) {
                connection.socket.reserve_growth(&self.connections).await;
            }
            if reused {
                sleep_until(connection.idle_since + REUSE_DELAY).await;
            }
            // The notice that the server is draining may have arrived during a pause of this process and
            // still be unread. Without this wait a request would be sent to a draining server.
            self.connections.clock().caught_up().await;
            if connection.sender.ready().await.is_err() || reused && !connection.is_usable() {
                if reused {
                    continue;
                }
                return Reply::without_body(Ending::Unreachable);
            }
            // Time has passed since the decision: a server that is draining by now gets nothing new, and no
            // attempt begins for a client that has left or whose time is up.
            let is_unwanted = |forward: &ForwardRequest| {
                forward.deadline.remaining().is_zero() || !(forward.is_client_present)()
            };
            if forward.is_some_and(is_unwanted)
                || attempt.is_some_and(|(_, cancellation)| !server.ready.get() || !cancellation.try_begin())
            {
                return Reply::without_body(Ending::NotSent);
            }
            let request = match forward {
                None => Some(build_probe(connection.address)),
                Some(forward) => build_request(forward, &connection.socket, sent),
            };
            // The request has ended meanwhile, or the beginning of its body was discarded.
            let Some(request) = request else { return Reply::without_body(Ending::NotSent) };
            progress.close_delay.set(Some(server.close_delay()));
            let streamed_body = forward.and_then(ForwardRequest::streamed_body);
            let sending = connection.sender.try_send_request(request);
            let response = tokio::select! {
                response = sending => response,
                () = wait_for_stall(&connection.socket, streamed_body) =>
                    return Reply::without_body(Ending::Unreachable),
            };
            let response = match response {
                Ok(response) => response,
                Err(mut error) => {
                    // A request that hyper returns was never written; any other may have been.
                    let returned = error.take_message().is_some();
                    if returned {
                        sent.set(false);
                    }
                    if returned || is_reset(error.error()) {
                        progress.close_delay.set(None);
                    }
                    return match (sent.get(), reused && returned) {
                        (true, _) => Reply::without_body(Ending::Reset),
                        (false, true) => continue,
                        // The client aborted its body, which is not the server's fault.
                        (false, false) if streamed_body.is_some_and(|body| body.has_client_failed()) => {
                            Reply::without_body(Ending::NotSent)
                        }
                        (false, false) => Reply::without_body(Ending::Unreachable),
                    };
                }
            };
            let affinity_header =
                self.keys.as_ref().and_then(|keys| response.headers().get(keys.response_header()?).cloned());
            let server_time = streamed_body
                .map(|_| connection.socket.written_at.get().map_or(Duration::ZERO, |at| at.elapsed()));
            let mut reply =
                read_response(&self.connections, response, connection, &server, forward, sent).await;
            if reply.ending != Ending::Reset {
                progress.close_delay.set(None);
            }
            reply.server_time = server_time;
            let partial_key = forward.and_then(|forward| forward.partial_key.as_ref());
            if let (Some(affinity_header), Some(partial_key), Some(body)) =
                (affinity_header, partial_key, &mut reply.body)
            {
                reply.affinity =
                    self.keys.as_ref().and_then(|keys| keys.key_from_response(partial_key, &affinity_header));
                body.affinity_header = Some(affinity_header);
            }
            return reply;
        }
    }

    fn connect_timeout_for(&self, forward: Option<&ForwardRequest>) -> Duration {
        let share = forward.map(|f| f.deadline.remaining().mul_f64(CONNECT_BUDGET_FRACTION));
        let limit = self.connect_timeout.get();
        share.map_or(limit, |share| share.min(limit))
    }
}

impl Transport for Upstream {
    type Request = ForwardRequest;
    type Body = ServedResponse;

    fn set_server(&self, server: ServerId, address: SocketAddr, ready: bool) {
        let mut servers = self.servers.borrow_mut();
        let entry = servers.entry(server).or_insert_with(|| {
            let (address, ready) = (Cell::new(address), Cell::new(ready));
            let min_connect_time = Cell::new(Duration::MAX);
            Rc::new(Server { address, ready, min_connect_time, idle_connections: RefCell::default() })
        });
        let address_changed = entry.address.replace(address) != address;
        entry.ready.set(ready);
        if address_changed || !ready {
            entry.idle_connections.borrow_mut().clear();
        }
    }

    fn remove_server(&self, server: ServerId) {
        if let Some(removed) = self.servers.borrow_mut().remove(&server) {
            removed.ready.set(false);
            removed.idle_connections.borrow_mut().clear();
        }
    }

    fn close_idle(&self) {
        self.servers.borrow().values().for_each(|server| server.close_idle(self.max_idle.get()));
    }

    fn close_longest_idle(&self) -> bool {
        let servers = self.servers.borrow();
        let idle_since =
            |server: &&Rc<Server>| server.idle_connections.borrow().front().map(|c| c.idle_since);
        let with_idle = servers.values().filter(|server| idle_since(server).is_some());
        let Some(oldest) = with_idle.min_by_key(idle_since) else { return false };
        let closed = oldest.idle_connections.borrow_mut().pop_front();
        closed.is_some()
    }

    async fn attempt(
        &self,
        server: ServerId,
        forward: &ForwardRequest,
        cancellation: &Cancellation,
    ) -> AttemptReply {
        let progress = Progress::default();
        let sent = Rc::clone(&progress.sent);
        let unless_sent = |ending| Reply::without_body(if sent.get() { ending } else { Ending::NotSent });
        // The exchange owns the connection: it is dropped, which closes the connection, before this returns.
        let reply = tokio::select! {
            biased;
            reply = self.exchange(server, Some((forward, cancellation)), &progress) => reply,
            () = cancellation.cancelled(&sent) => unless_sent(Ending::Cancelled),
            () = forward.deadline.passed(Duration::ZERO) => unless_sent(Ending::TimedOut),
        };
        if let Some(close_delay) = progress.unnoticed_close_delay(reply.ending) {
            // Without this wait, a retry could reach its server while this one, which has not noticed the end
            // of the attempt, is still working on the request.
            tokio::select! {
                () = sleep(close_delay) => {}
                () = forward.deadline.passed(Duration::ZERO) => {}
            }
        }
        reply
    }

    async fn probe(&self, server: ServerId) -> AttemptReply {
        let progress = Progress::default();
        let exchange = self.exchange(server, None, &progress);
        let reply = pause_adjusted_timeout(self.connect_timeout.get(), exchange).await;
        let mut reply = reply.unwrap_or_else(|| Reply::without_body(Ending::TimedOut));
        if let Some(ServedResponse { body: ResponseBody::Buffered(body), .. }) = reply.body.take() {
            let text = body.collect().await.map_or_else(|never| match never {}, |body| body.to_bytes());
            reply.report = std::str::from_utf8(&text).ok().and_then(parse_load_report).or(reply.report);
        }
        reply
    }
}

/// Returns the length of header fields.
fn fields_bytes(headers: &HeaderMap) -> usize {
    headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum()
}

impl ForwardRequest {
    /// Returns the length of the head that servers get, but for a few bytes.
    fn head_bytes(&self) -> usize {
        let path_and_query = self.uri.path_and_query().map_or(0, |path| path.as_str().len());
        path_and_query + fields_bytes(&self.headers)
    }

    /// Returns the body, if it is streamed.
    fn streamed_body(&self) -> Option<&Rc<RequestStream>> {
        match &self.body {
            RequestBody::Buffered(_) => None,
            RequestBody::Streamed(stream) => Some(stream),
        }
    }
}

/// Builds the HTTP request of one attempt. Returns `None` if the body cannot be sent again.
fn build_request(
    forward: &ForwardRequest,
    socket: &Rc<Socket>,
    sent: &Rc<Cell<bool>>,
) -> Option<Request<AttemptBody>> {
    let body = match &forward.body {
        // A buffered body is given to hyper together with the head, so the next flush covers all of it.
        RequestBody::Buffered(bytes) => {
            sent.set(true);
            socket.writing.set(true);
            AttemptBody::Buffered(Full::new(bytes.clone()))
        }
        RequestBody::Streamed(stream) => {
            let (socket, sent) = (Rc::clone(socket), Rc::clone(sent));
            let on_complete = move || {
                sent.set(true);
                socket.writing.set(true);
            };
            AttemptBody::Streamed(Upload::new(stream, Rc::new(on_complete))?)
        }
    };
    let mut request = Request::new(body);
    *request.method_mut() = forward.method.clone();
    *request.uri_mut() = forward.uri.clone();
    *request.headers_mut() = forward.headers.clone();
    let remaining = format!("{:.3}", forward.deadline.remaining().as_secs_f64()).parse().expect("digits");
    request.headers_mut().insert("x-deadline", remaining);
    Some(request)
}

fn build_probe(address: SocketAddr) -> Request<AttemptBody> {
    let request = Request::get("/_load").header("host", address.to_string());
    request.body(AttemptBody::Buffered(Full::default())).expect("a valid request")
}

/// Waits until a server has accepted nothing of a streamed body for `STALL_TIMEOUT` although there is more to
/// send.
async fn wait_for_stall(socket: &Socket, streamed_body: Option<&Rc<RequestStream>>) {
    let Some(stream) = streamed_body else { return pending().await };
    loop {
        sleep_and_catch_up(STALL_TIMEOUT / 4).await;
        if stream.is_suspended() && socket.last_write_at.get().elapsed() >= STALL_TIMEOUT {
            return;
        }
    }
}

/// Reads a response to its end, unless it is long: only then is its outcome known, and whether the connection
/// can be kept. If the server wants the connection closed, hyper closes it. A long response is passed on to
/// its client as it arrives.
async fn read_response(
    connections: &Rc<Connections>,
    response: Response<Incoming>,
    connection: Connection,
    server: &Rc<Server>,
    forward: Option<&ForwardRequest>,
    sent: &Rc<Cell<bool>>,
) -> AttemptReply {
    let (head, mut body) = response.into_parts();
    // The next request would wait for the rest of one that is answered early.
    let (is_probe, sent) = (forward.is_none(), Rc::clone(sent));
    let is_reusable = move || is_probe || sent.get();
    let header_text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
    let report = header_text("x-load").and_then(parse_load_report);
    let not_run = header_text("x-not-run") == Some("1");
    let started_at =
        header_text("x-up-since").and_then(|text| text.parse().ok()).filter(|at: &f64| at.is_finite());
    let reply = |ending| Reply { report, started_at, ..Reply::without_body(ending) };
    let served = head.status == StatusCode::OK;
    let ending = match head.status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_run => Ending::Full,
        StatusCode::OK => Ending::Served,
        _ => Ending::Error,
    };
    if !has_detectable_end(&head, &body) {
        return reply(if ending == Ending::Full { ending } else { Ending::Reset });
    }
    let length = body.size_hint().exact();
    let head_bytes = fields_bytes(&head.headers);
    let mut memory = reserve_response(connections, &connection, head_bytes, length).await;
    // A response of unknown length is buffered for a part of the remaining time.
    let buffer_until = forward
        .filter(|_| served)
        .map(|forward| Instant::now() + (forward.deadline.remaining() / 4).min(MAX_BUFFERING_TIME));
    let buffering_deadline = buffer_until.filter(|_| length.is_none());
    let buffered_length = length.and_then(|length| usize::try_from(length).ok());
    let mut received = BodyBuffer::new(buffered_length.filter(|length| *length <= MAX_BUFFERED_BODY));
    let complete = loop {
        if length.is_some_and(|length| length > MAX_BUFFERED_BODY as u64)
            || received.len() > MAX_BUFFERED_BODY
        {
            break false;
        }
        let frame = match buffering_deadline {
            Some(deadline) => match timeout_at(deadline, body.frame()).await {
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
                    received.push(&data);
                }
            }
        }
    };
    if complete {
        if is_reusable() {
            server.return_connection(connection);
        }
        if let Some(memory) = &mut memory {
            memory.shrink_to(received.len() as u64);
        }
        let body = served.then(|| ServedResponse {
            body: Full::new(received.into_bytes()).into(),
            affinity_header: None,
            memory,
        });
        return Reply { body, ..reply(ending) };
    }
    if !served || forward.is_none() {
        // Nobody receives this body: the rest of it is discarded together with its connection.
        return reply(ending);
    }
    let (end_sender, body_end) = oneshot::channel();
    let origin = Rc::clone(server);
    let on_complete = move || {
        if is_reusable() {
            origin.return_connection(connection);
        }
    };
    let download = Download::new(body, received, length, on_complete, end_sender);
    let body = ServedResponse { body: ResponseBody::Streamed(download), affinity_header: None, memory };
    Reply { body: Some(body), body_end: Some(body_end), ..reply(Ending::Served) }
}

/// Waits for the memory that a response needs, unless it is short.
async fn reserve_response(
    connections: &Rc<Connections>,
    connection: &Connection,
    head_bytes: usize,
    length: Option<u64>,
) -> Option<ResponseMemory> {
    let is_short = length.is_some_and(|length| length <= SMALL_MESSAGE_BYTES as u64);
    if !is_short || head_bytes > SMALL_MESSAGE_BYTES {
        connection.socket.reserve_growth(connections).await;
    }
    if is_short {
        return None;
    }
    Some(connections.reserve_response(body_memory(length)).await)
}

fn announces_close(head: &response::Parts) -> bool {
    let options = head.headers.get_all(CONNECTION).into_iter().filter_map(|value| value.to_str().ok());
    options.flat_map(|value| value.split(',')).any(|option| option.trim().eq_ignore_ascii_case("close"))
}

/// Returns whether the end of a response can be awaited, and told from a truncated response.
fn has_detectable_end(head: &response::Parts, body: &Incoming) -> bool {
    let chunked = |value: &HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"chunked");
    match (body.size_hint().exact(), head.headers.get(TRANSFER_ENCODING)) {
        _ if head.status == StatusCode::SWITCHING_PROTOCOLS => false,
        (Some(_), None) => true,
        (None, Some(value)) => chunked(value) && !head.headers.contains_key(CONTENT_LENGTH),
        // The server announces that the response ends with the connection. Without the announcement a broken
        // connection would look the same.
        (None, None) => announces_close(head) && !head.headers.contains_key(CONTENT_LENGTH),
        _ => false,
    }
}

/// Parses a load report such as `active=7,waiting=2`; returns `None` if it is malformed. Servers use the
/// names of the settings, but other names are in use as well: without them the counts of some servers would
/// never receive a report.
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
