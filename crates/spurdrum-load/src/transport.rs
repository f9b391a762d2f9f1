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

struct Slot(Rc<Cell<usize>>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Since when it rests.
    rests_since: Instant,
    _slot: Slot,
}

/// A connection that had rested ended under a request, with no byte of an answer, and the request was sent once more on a new
/// one: the target may end a connection that rests, and the end may cross a request on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crossing {
    /// When the request was sent once more.
    pub resent: Instant,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Asked {
    /// How it ended.
    pub outcome: Outcome,
    /// Whether the end of a resting connection crossed it.
    pub crossing: Option<Crossing>,
}

/// The connections of all clients together.
pub struct Pool {
    target: SocketAddr,
    most: usize,
    open: Rc<Cell<usize>>,
    idle: RefCell<Vec<Connection>>,
    /// The target may end connections that have rested for so long; none: it may end none under a request.
    ends_after: Option<Duration>,
    /// Connections that were made.
    pub made: Cell<u64>,
}

impl Pool {
    /// To this target, so many at once.
    #[must_use]
    pub fn new(target: SocketAddr, most: usize) -> Self {
        let (open, idle) = (Rc::default(), RefCell::default());
        Self { target, most, open, idle, ends_after: None, made: Cell::new(0) }
    }

    /// The target may end only connections that have rested for so long: the end of any other breaks the request on it.
    #[must_use]
    pub fn with_ends_after(self, ends_after: Duration) -> Self {
        Self { ends_after: Some(ends_after), ..self }
    }

    /// Sends a request and reads its whole answer. Dropped, it closes its connection.
    pub async fn ask(&self, request: Request<Full<Bytes>>, keep: bool) -> Asked {
        let mut crossing = None;
        let outcome = self.exchange(request, keep, &mut crossing).await;
        Asked { outcome, crossing }
    }

    async fn exchange(
        &self,
        mut request: Request<Full<Bytes>>,
        keep: bool,
        crossing: &mut Option<Crossing>,
    ) -> Outcome {
        loop {
            // What has been crossed once goes on a new connection.
            let kept = if crossing.is_none() { self.idle.borrow_mut().pop() } else { None };
            let rested = kept.as_ref().map(|connection| connection.rests_since.elapsed());
            let mut connection = match kept {
                Some(connection) => connection,
                None => match self.connect().await {
                    Some(connection) => connection,
                    None => return Outcome::Unreached,
                },
            };
            if connection.sender.ready().await.is_err() {
                if rested.is_some() {
                    continue;
                }
                return Outcome::Unreached;
            }
            let may_end = rested.zip(self.ends_after).is_some_and(|(rested, after)| rested >= after);
            let copy = may_end.then(|| request.clone());
            let response = match connection.sender.try_send_request(request).await {
                Ok(response) => response,
                Err(mut error) => match (error.take_message(), copy) {
                    // It was closed between requests: the client sends once more, on another.
                    (Some(unsent), _) if rested.is_some() => {
                        request = unsent;
                        continue;
                    }
                    (None, Some(copy)) if error.error().is_incomplete_message() => {
                        *crossing = Some(Crossing { resent: Instant::now() });
                        request = copy;
                        continue;
                    }
                    _ => return Outcome::Broken,
                },
            };
            let (head, mut body) = response.into_parts();
            while let Some(frame) = body.frame().await {
                if frame.is_err() {
                    return Outcome::Broken;
                }
            }
            if keep && !connection.sender.is_closed() {
                connection.rests_since = Instant::now();
                self.idle.borrow_mut().push(connection);
            }
            return outcome(&head);
        }
    }

    async fn connect(&self) -> Option<Connection> {
        if self.open.get() >= self.most {
            return None;
        }
        self.open.set(self.open.get() + 1);
        let slot = Slot(Rc::clone(&self.open));
        let stream = TcpStream::connect(self.target).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::task::spawn_local(connection);
        self.made.set(self.made.get() + 1);
        Some(Connection { sender, rests_since: Instant::now(), _slot: slot })
    }
}

/// How a request ended whose whole answer has come.
fn outcome(head: &hyper::http::response::Parts) -> Outcome {
    match head.status {
        StatusCode::OK => Outcome::Served,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            let text = head.headers.get(RETRY_AFTER).and_then(|value| value.to_str().ok());
            let seconds = text.and_then(|text| text.parse::<f64>().ok());
            let retry_after = seconds.and_then(|s| Duration::try_from_secs_f64(s).ok());
            Outcome::Refused { retry_after }
        }
        _ => Outcome::Failed,
    }
}
