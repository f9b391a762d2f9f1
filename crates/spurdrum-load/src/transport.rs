//! Connections to the target, kept alive and reused as clients do.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::RETRY_AFTER;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::client::Outcome;
use crate::stream::SharedStream;

/// Counts one open connection until it is dropped.
struct ConnectionPermit(Rc<Cell<usize>>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

struct Connection {
    sender: SendRequest<Full<Bytes>>,
    stream: SharedStream,
    info: ConnectionInfo,
    _permit: ConnectionPermit,
}

/// Facts about a connection at the time its client sends a request on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionInfo {
    /// The client's socket address, which identifies the connection in the operating system's table of
    /// sockets.
    pub client: SocketAddr,
    /// When the client began to connect.
    pub connect_started_at: Instant,
    /// When the connection was established.
    pub connected_at: Instant,
    /// Number of requests answered on the connection before.
    pub answered: u32,
}

/// Progress of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Progress {
    /// The request has no connection yet.
    #[default]
    Unsent,
    /// A connection for the request is being opened since this time.
    Connecting(Instant),
    /// The request has been handed to this connection.
    Sent(ConnectionInfo),
}

/// A pool of the connections of all clients.
pub struct Pool {
    target: SocketAddr,
    max_connections: usize,
    open_connections: Rc<Cell<usize>>,
    idle: RefCell<Vec<Connection>>,
    /// Number of connections that have been opened.
    pub connections_opened: Cell<u64>,
}

impl Pool {
    /// Creates a pool of at most this many connections at a time to a target.
    #[must_use]
    pub fn new(target: SocketAddr, max_connections: usize) -> Self {
        Self {
            target,
            max_connections,
            open_connections: Rc::default(),
            idle: RefCell::default(),
            connections_opened: Cell::new(0),
        }
    }

    /// Returns the address that the pool connects to.
    #[must_use]
    pub fn target(&self) -> SocketAddr {
        self.target
    }

    /// Sends a request and reads the whole response. Dropping the future closes the connection. `keep_alive`
    /// says whether the connection is kept for further requests.
    pub async fn send(&self, request: Request<Full<Bytes>>, keep_alive: bool) -> Outcome {
        self.send_with_progress(request, keep_alive, &Cell::default()).await
    }

    /// Does the same as [`send`](Self::send) and keeps `progress` up to date, which stays readable after the
    /// future is dropped.
    pub async fn send_with_progress(
        &self,
        mut request: Request<Full<Bytes>>,
        keep_alive: bool,
        progress: &Cell<Progress>,
    ) -> Outcome {
        loop {
            progress.set(Progress::Unsent);
            let idle = self.idle.borrow_mut().pop();
            let is_reused = idle.is_some();
            let mut connection = match idle {
                Some(connection) => connection,
                None => match self.connect(progress).await {
                    Some(connection) => connection,
                    None => return Outcome::Unreached,
                },
            };
            // Without this check, a request could be sent on a connection that the target has closed and
            // whose end hyper has not seen yet, and would count as broken. The connection ended first, so the
            // target cannot be expected to answer any of the request.
            let has_ended = is_reused && connection.stream.has_input();
            if has_ended || connection.sender.ready().await.is_err() {
                if is_reused {
                    continue;
                }
                return Outcome::Unreached;
            }
            progress.set(Progress::Sent(connection.info));
            let copy = is_reused.then(|| request.clone());
            if is_reused {
                // Checked again at the time of the write: on a busy machine, the task that writes may run
                // much later.
                connection.stream.write_unless_ended();
            }
            let response = match connection.sender.try_send_request(request).await {
                Ok(response) => response,
                Err(error) => {
                    let is_unsent = error.message().is_some() || connection.stream.was_refused();
                    match copy.filter(|_| is_unsent) {
                        // The connection was closed between requests: the client sends again on another one.
                        Some(copy) => {
                            request = copy;
                            continue;
                        }
                        None => return Outcome::Broken,
                    }
                }
            };
            let (head, mut body) = response.into_parts();
            while let Some(frame) = body.frame().await {
                if frame.is_err() {
                    return Outcome::Broken;
                }
            }
            connection.info.answered += 1;
            if keep_alive && !connection.sender.is_closed() {
                self.idle.borrow_mut().push(connection);
            }
            return match head.status {
                StatusCode::OK => Outcome::Served,
                StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                    let text = head.headers.get(RETRY_AFTER).and_then(|value| value.to_str().ok());
                    let seconds = text.and_then(|text| text.parse::<f64>().ok());
                    let retry_after = seconds.and_then(|s| Duration::try_from_secs_f64(s).ok());
                    Outcome::Refused { retry_after }
                }
                _ => Outcome::Failed,
            };
        }
    }

    async fn connect(&self, progress: &Cell<Progress>) -> Option<Connection> {
        if self.open_connections.get() >= self.max_connections {
            return None;
        }
        self.open_connections.set(self.open_connections.get() + 1);
        let permit = ConnectionPermit(Rc::clone(&self.open_connections));
        let connect_started_at = Instant::now();
        progress.set(Progress::Connecting(connect_started_at));
        let stream = TcpStream::connect(self.target).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let client = stream.local_addr().ok()?;
        let info = ConnectionInfo { client, connect_started_at, connected_at: Instant::now(), answered: 0 };
        let stream = SharedStream::new(stream);
        let (sender, connection) = http1::handshake(TokioIo::new(stream.clone())).await.ok()?;
        tokio::task::spawn_local(connection);
        self.connections_opened.set(self.connections_opened.get() + 1);
        Some(Connection { sender, stream, info, _permit: permit })
    }
}
