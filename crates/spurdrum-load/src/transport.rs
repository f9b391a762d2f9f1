//! Connections to the target, as clients keep them.

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

struct Slot(Rc<Cell<usize>>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

struct Connection {
    sender: SendRequest<Full<Bytes>>,
    stream: SharedStream,
    seen: ConnectionInfo,
    _slot: Slot,
}

/// A connection as its client sees it when it sends a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionInfo {
    /// The client's end, by which the system's table of sockets names it.
    pub client: SocketAddr,
    /// When connecting began.
    pub connect_started_at: Instant,
    /// When it came up.
    pub connected_at: Instant,
    /// Requests that were answered on it before.
    pub answered: u32,
}

/// How far a request has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Progress {
    /// It has no connection yet.
    #[default]
    Unsent,
    /// A connection is being made since then.
    Connecting(Instant),
    /// It has been given to this connection.
    Sent(ConnectionInfo),
}

/// The connections of all clients together.
pub struct Pool {
    target: SocketAddr,
    most: usize,
    open: Rc<Cell<usize>>,
    idle: RefCell<Vec<Connection>>,
    /// Connections that were made.
    pub connections_opened: Cell<u64>,
}

impl Pool {
    /// To this target, so many at once.
    #[must_use]
    pub fn new(target: SocketAddr, most: usize) -> Self {
        Self { target, most, open: Rc::default(), idle: RefCell::default(), connections_opened: Cell::new(0) }
    }

    /// Where its connections go.
    #[must_use]
    pub fn target(&self) -> SocketAddr {
        self.target
    }

    /// Sends a request and reads its whole answer. Dropped, it closes its connection.
    pub async fn send(&self, request: Request<Full<Bytes>>, keep: bool) -> Outcome {
        self.send_with_progress(request, keep, &Cell::default()).await
    }

    /// The same, and tells how far it has come: also one that is dropped.
    pub async fn send_with_progress(
        &self,
        mut request: Request<Full<Bytes>>,
        keep: bool,
        progress: &Cell<Progress>,
    ) -> Outcome {
        loop {
            progress.set(Progress::Unsent);
            let kept = self.idle.borrow_mut().pop();
            let was_kept = kept.is_some();
            let mut connection = match kept {
                Some(connection) => connection,
                None => match self.connect(progress).await {
                    Some(connection) => connection,
                    None => return Outcome::Unreached,
                },
            };
            // Guards against a request on a connection whose end has come and which hyper has not been told of: the end was first, so
            // nothing of the request is the target's to answer.
            let has_ended = was_kept && connection.stream.has_input();
            if has_ended || connection.sender.ready().await.is_err() {
                if was_kept {
                    continue;
                }
                return Outcome::Unreached;
            }
            progress.set(Progress::Sent(connection.seen));
            let unsent = was_kept.then(|| request.clone());
            if was_kept {
                // The task that writes may have its turn much later, on a busy machine.
                connection.stream.write_unless_ended();
            }
            let response = match connection.sender.try_send_request(request).await {
                Ok(response) => response,
                Err(error) => {
                    let is_unsent = error.message().is_some() || connection.stream.was_refused();
                    match unsent.filter(|_| is_unsent) {
                        // It was closed between requests: the client sends once more, on another.
                        Some(unsent) => {
                            request = unsent;
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
            connection.seen.answered += 1;
            if keep && !connection.sender.is_closed() {
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
        if self.open.get() >= self.most {
            return None;
        }
        self.open.set(self.open.get() + 1);
        let slot = Slot(Rc::clone(&self.open));
        let connect_started_at = Instant::now();
        progress.set(Progress::Connecting(connect_started_at));
        let stream = TcpStream::connect(self.target).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let client = stream.local_addr().ok()?;
        let seen = ConnectionInfo { client, connect_started_at, connected_at: Instant::now(), answered: 0 };
        let stream = SharedStream::new(stream);
        let (sender, connection) = http1::handshake(TokioIo::new(stream.clone())).await.ok()?;
        tokio::task::spawn_local(connection);
        self.connections_opened.set(self.connections_opened.get() + 1);
        Some(Connection { sender, stream, seen, _slot: slot })
    }
}
