//! Connections to servers, and the attempts and probes that are made on them.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use spurdrum::{Ending, Report, ServerId};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::{sleep_until, timeout, Instant};

use super::config::{load_report, Config};
use super::node::Node;
use super::socket::{self, has_input, Io};

/// Bodies hold this much at most.
pub const BODY_MOST: usize = 64 * 1024;
/// Part of the idle limit for which a connection is kept: a server that closes it meanwhile resets a request.
const IDLE_PART: f64 = 0.9;

/// What of a client's request goes on to a server.
pub struct Forward {
    /// Unchanged.
    pub method: Method,
    /// Unchanged.
    pub uri: Uri,
    /// Those that go on unchanged.
    pub headers: HeaderMap,
    /// Unchanged.
    pub body: Bytes,
    /// When the node stops waiting.
    pub gives_up_at: Instant,
}

impl Forward {
    /// What the client calls the request.
    pub fn name(&self) -> &HeaderValue {
        &self.headers["x-request-id"]
    }
}

/// How an attempt or a probe ended.
pub struct Reply {
    /// The outcome.
    pub ending: Ending,
    /// The load report that came along.
    pub report: Option<Report>,
    /// The whole body, where it was served.
    pub body: Option<Bytes>,
}

/// A place in the budget of sockets, free again when the socket is closed.
struct Slot(Rc<Cell<usize>>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

struct Socket {
    stream: TcpStream,
    _slot: Slot,
}

impl socket::Socket for Socket {
    fn stream(&self) -> &TcpStream {
        &self.stream
    }
}

struct Connection {
    sender: SendRequest<Full<Bytes>>,
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

struct Server {
    address: SocketAddr,
    /// Whether the list lets it have new requests.
    ready: bool,
    /// The one used last is at the back.
    idle: VecDeque<Connection>,
}

/// The servers as the list names them, with the connections that stand idle.
pub struct Upstream {
    servers: RefCell<Vec<Server>>,
    open: Rc<Cell<usize>>,
    most: usize,
    keep: Duration,
}

impl Upstream {
    /// No server is known yet.
    pub fn new(config: &Config) -> Self {
        Self {
            servers: RefCell::default(),
            open: Rc::default(),
            most: (config.sockets * 2 / 5).max(1),
            keep: config.conn_idle.mul_f64(IDLE_PART),
        }
    }

    /// Notes a server of the list.
    pub fn list(&self, server: ServerId, address: SocketAddr, ready: bool) {
        let mut servers = self.servers.borrow_mut();
        if server.0 == servers.len() {
            servers.push(Server { address, ready, idle: VecDeque::new() });
        }
        let known = &mut servers[server.0];
        if known.address != address {
            known.idle.clear();
        }
        (known.address, known.ready) = (address, ready);
    }

    /// A complete list follows: what it does not name is gone.
    pub fn retire_all(&self) {
        self.servers.borrow_mut().iter_mut().for_each(|server| server.ready = false);
    }

    /// A list has been read: idle connections to servers that get nothing more are closed.
    pub fn close_retired(&self) {
        self.servers.borrow_mut().iter_mut().filter(|s| !s.ready).for_each(|s| s.idle.clear());
    }

    /// Closes what has stood idle for so long that the server may soon close it.
    pub fn close_idle(&self) {
        for server in self.servers.borrow_mut().iter_mut() {
            while server.idle.front().is_some_and(|c| c.idle_since.elapsed() >= self.keep) {
                server.idle.pop_front();
            }
        }
    }

    fn is_ready(&self, server: ServerId) -> bool {
        self.servers.borrow()[server.0].ready
    }

    fn idle(&self, server: ServerId) -> Option<Connection> {
        let idle = &mut self.servers.borrow_mut()[server.0].idle;
        let connection = idle.pop_back().filter(|c| c.idle_since.elapsed() < self.keep);
        // Where the one used last is too old, so are the others.
        connection.or_else(|| {
            idle.clear();
            None
        })
    }

    fn keep(&self, server: ServerId, mut connection: Connection) {
        let known = &mut self.servers.borrow_mut()[server.0];
        if known.ready && known.address == connection.address {
            connection.idle_since = Instant::now();
            known.idle.push_back(connection);
        }
    }

    /// A place for one more socket, for which the one that stood idle longest is closed if need be.
    fn slot(&self) -> Option<Slot> {
        if self.open.get() >= self.most {
            let mut servers = self.servers.borrow_mut();
            let oldest =
                servers.iter_mut().filter(|s| !s.idle.is_empty()).min_by_key(|s| s.idle[0].idle_since);
            drop(oldest?.idle.pop_front());
        }
        self.open.set(self.open.get() + 1);
        Some(Slot(Rc::clone(&self.open)))
    }

    async fn connect(&self, server: ServerId, dial_timeout: Duration) -> Result<Connection, Ending> {
        // Without a place the attempt ends unsent, and that is not the server's fault.
        let slot = self.slot().ok_or(Ending::NotSent)?;
        let address = self.servers.borrow()[server.0].address;
        let stream = match timeout(dial_timeout, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(_)) | Err(_) => return Err(Ending::Unreachable),
        };
        stream.set_nodelay(true).map_err(|_| Ending::Unreachable)?;
        let socket = Rc::new(Socket { stream, _slot: slot });
        let handshake = http1::Builder::new()
            .max_buf_size(2 * BODY_MOST)
            .handshake(TokioIo::new(Io(Rc::clone(&socket))))
            .await;
        let (sender, connection) = handshake.map_err(|_| Ending::Unreachable)?;
        tokio::task::spawn_local(connection);
        Ok(Connection { sender, socket, address, idle_since: Instant::now() })
    }
}

/// One attempt of a request, from choosing a connection to the whole answer. When it returns, nothing of it
/// is out any more.
pub async fn attempt(
    node: &Node,
    server: ServerId,
    forward: &Forward,
    given_up: oneshot::Receiver<()>,
) -> Reply {
    let sent = Cell::new(false);
    let unless_sent = |ending| Reply::none(if sent.get() { ending } else { Ending::NotSent });
    // The exchange holds the connection; it is dropped, and that closed, before this returns.
    tokio::select! {
        biased;
        reply = exchange(node, server, Some(forward), &sent) => reply,
        Ok(()) = given_up => unless_sent(Ending::Cancelled),
        () = sleep_until(forward.gives_up_at) => unless_sent(Ending::TimedOut),
    }
}

/// Asks a server for its load report.
pub async fn probe(node: &Node, server: ServerId) -> Reply {
    let sent = Cell::new(false);
    let reply = timeout(node.config.dial_timeout, exchange(node, server, None, &sent)).await;
    let mut reply = reply.unwrap_or_else(|_| Reply::none(Ending::TimedOut));
    if let Some(body) = reply.body.take() {
        reply.report = std::str::from_utf8(&body).ok().and_then(load_report).or(reply.report);
    }
    reply
}

/// Sends a request, or a probe where there is none, and reads the answer. `sent` is set while some of it may
/// have gone out.
async fn exchange(node: &Node, server: ServerId, forward: Option<&Forward>, sent: &Cell<bool>) -> Reply {
    let upstream = &node.upstream;
    loop {
        let (mut connection, kept) = match upstream.idle(server) {
            Some(connection) => (connection, true),
            None => match upstream.connect(server, node.config.dial_timeout).await {
                Ok(connection) => (connection, false),
                Err(ending) => return Reply::none(ending),
            },
        };
        if connection.sender.ready().await.is_err() || kept && !connection.is_sound() {
            if kept {
                continue;
            }
            return Reply::none(Ending::Unreachable);
        }
        // Time has passed since the decision: a server that drains by now gets nothing new.
        if forward.is_some() && !upstream.is_ready(server) {
            return Reply::none(Ending::NotSent);
        }
        let request = forward.map_or_else(|| probe_request(connection.address), forward_request);
        sent.set(true);
        let response = match connection.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => {
                // What hyper gives back was never written; anything else may have been.
                sent.set(error.take_message().is_none());
                match (sent.get(), kept) {
                    (true, _) => return Reply::none(Ending::Reset),
                    (false, true) => continue,
                    (false, false) => return Reply::none(Ending::Unreachable),
                }
            }
        };
        let (reply, sound) = read(response).await;
        if sound {
            upstream.keep(server, connection);
        }
        return reply;
    }
}

fn forward_request(forward: &Forward) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(forward.body.clone()));
    *request.method_mut() = forward.method.clone();
    *request.uri_mut() = forward.uri.clone();
    *request.headers_mut() = forward.headers.clone();
    let left = forward.gives_up_at.saturating_duration_since(Instant::now());
    let left = format!("{:.3}", left.as_secs_f64()).parse().expect("digits");
    request.headers_mut().insert("x-deadline", left);
    request
}

fn probe_request(address: SocketAddr) -> Request<Full<Bytes>> {
    let request = Request::get("/_load").header("host", address.to_string());
    request.body(Full::default()).expect("a sound request")
}

/// Reads an answer to its end: only then is it known what it is worth, and whether the connection can be
/// kept. Where the server wants it closed, hyper closes it.
async fn read(response: Response<Incoming>) -> (Reply, bool) {
    let (head, body) = response.into_parts();
    let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
    let report = text("x-load").and_then(load_report);
    let not_run = text("x-not-run") == Some("1");
    let body = Limited::new(body, BODY_MOST).collect().await.ok().map(|body| body.to_bytes());
    let whole = body.is_some();
    let ending = match head.status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_run => Ending::Full,
        _ if !whole => Ending::Reset,
        StatusCode::OK => Ending::Served,
        _ => Ending::Error,
    };
    let reply = Reply { ending, report, body: body.filter(|_| ending == Ending::Served) };
    (reply, whole)
}
