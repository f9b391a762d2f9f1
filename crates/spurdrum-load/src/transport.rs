//! Connections to the target, as clients keep them.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

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
    _slot: Slot,
}

/// The connections of all clients together.
pub struct Pool {
    target: SocketAddr,
    most: usize,
    open: Rc<Cell<usize>>,
    idle: RefCell<Vec<Connection>>,
    /// Connections that were made.
    pub made: Cell<u64>,
}

impl Pool {
    /// To this target, so many at once.
    #[must_use]
    pub fn new(target: SocketAddr, most: usize) -> Self {
        Self { target, most, open: Rc::default(), idle: RefCell::default(), made: Cell::new(0) }
    }

    /// Sends a request and reads its whole answer. Dropped, it closes its connection.
    pub async fn ask(&self, mut request: Request<Full<Bytes>>, keep: bool) -> Outcome {
        loop {
            let kept = self.idle.borrow_mut().pop();
            let was_kept = kept.is_some();
            let mut connection = match kept {
                Some(connection) => connection,
                None => match self.connect().await {
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
            let response = match connection.sender.try_send_request(request).await {
                Ok(response) => response,
                Err(mut error) => match error.take_message() {
                    // It was closed between requests: the client sends once more, on another.
                    Some(unsent) if was_kept => {
                        request = unsent;
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

    async fn connect(&self) -> Option<Connection> {
        if self.open.get() >= self.most {
            return None;
        }
        self.open.set(self.open.get() + 1);
        let slot = Slot(Rc::clone(&self.open));
        let stream = TcpStream::connect(self.target).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let stream = SharedStream::new(stream);
        let (sender, connection) = http1::handshake(TokioIo::new(stream.clone())).await.ok()?;
        tokio::task::spawn_local(connection);
        self.made.set(self.made.get() + 1);
        Some(Connection { sender, stream, _slot: slot })
    }
}
