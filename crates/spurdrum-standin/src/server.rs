//! The sockets of one simulated server: reads requests, runs them in the [`Model`] and writes responses.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, Notify};
use tokio::time::sleep;

use crate::model::{Model, SimulatedOutcome};
use crate::tally::Counters;

const MAX_HEAD_BYTES: usize = 16 * 1024;
const MAX_BODY_BYTES: usize = 1 << 20;
/// Poll interval: a server that is down checks this often whether it is up again, and a running one whether
/// it has died.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running simulated server.
pub struct Server {
    /// Name of the server.
    pub name: String,
    /// Listen address; the server binds it again after it has been down.
    pub address: SocketAddr,
    model: RefCell<Model>,
    /// Where to deliver the outcome of each pending request, by its number in the model.
    replies: RefCell<HashMap<u64, oneshot::Sender<SimulatedOutcome>>>,
    /// Wakes the model's driver when a request has arrived.
    wake_driver: Notify,
    /// Notifies all connections when the server dies.
    died: Notify,
    open_connections: Cell<usize>,
    max_open_connections: usize,
    next_number: Cell<u64>,
    start: Instant,
    counters: Arc<Mutex<Counters>>,
}

/// The parts of a request that the server uses.
struct ReceivedRequest {
    path: String,
    id: Option<String>,
    key: Option<String>,
}

/// A request in progress. When it is dropped, also because its server dies, the end of the request is
/// counted.
struct RunningRequest<'a> {
    server: &'a Server,
    number: u64,
    id: &'a str,
    outcome: Option<SimulatedOutcome>,
}

impl Drop for RunningRequest<'_> {
    fn drop(&mut self) {
        let server = self.server;
        if self.outcome.is_none() {
            server.replies.borrow_mut().remove(&self.number);
            server.model.borrow_mut().cancel(self.number);
        }
        let outcome = self.outcome.unwrap_or(SimulatedOutcome::Silent);
        server.counters(|counters| counters.end(&server.name, self.id, outcome, server.start.elapsed()));
    }
}

impl Server {
    pub fn new(
        name: String,
        address: SocketAddr,
        model: Model,
        max_open_connections: usize,
        start: Instant,
        counters: Arc<Mutex<Counters>>,
    ) -> Rc<Self> {
        Rc::new(Self {
            name,
            address,
            model: RefCell::new(model),
            replies: RefCell::default(),
            wake_driver: Notify::new(),
            died: Notify::new(),
            open_connections: Cell::new(0),
            max_open_connections,
            next_number: Cell::new(0),
            start,
            counters,
        })
    }

    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    fn counters<T>(&self, update: impl FnOnce(&mut Counters) -> T) -> T {
        update(&mut self.counters.lock().unwrap_or_else(std::sync::PoisonError::into_inner))
    }

    /// Advances the model to the current time and delivers the outcomes of the completed requests.
    fn advance(&self) {
        let done = self.model.borrow_mut().advance(self.now());
        for (id, outcome) in done {
            if let Some(reply) = self.replies.borrow_mut().remove(&id) {
                // Sending fails if the client has closed its connection.
                let _ = reply.send(outcome);
            }
        }
        let load = self.model.borrow().load();
        self.counters(|counters| counters.server(&self.name).load = load);
    }

    /// Accepts connections until the fleet is stopped, and closes the listener while the server is down.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        tokio::task::spawn_local(Rc::clone(&self).drive());
        let mut listener = Some(listener);
        loop {
            let down = self.model.borrow().is_down();
            match &listener {
                Some(_) if down => {
                    // From now on new connections are refused; the open ones are reset.
                    listener = None;
                    self.died.notify_waiters();
                }
                None if !down => listener = TcpListener::bind(self.address).await.ok(),
                None => sleep(POLL_INTERVAL).await,
                Some(listener) => tokio::select! {
                    accepted = listener.accept() => {
                        let Ok((stream, _)) = accepted else { continue };
                        if self.open_connections.get() < self.max_open_connections {
                            tokio::task::spawn_local(Rc::clone(&self).connection(stream));
                        }
                    }
                    () = sleep(POLL_INTERVAL) => {}
                },
            }
        }
    }

    /// Advances the model at each completion, arrival and change of its rate.
    async fn drive(self: Rc<Self>) {
        loop {
            self.advance();
            let wake = self.model.borrow().next_wake().map(|at| (at - self.now()).max(0.0) / 1000.0);
            let wake = wake.map_or(POLL_INTERVAL, |s| Duration::from_secs_f64(s).min(POLL_INTERVAL));
            tokio::select! {
                () = self.wake_driver.notified() => {}
                () = sleep(wake) => {}
            }
        }
    }

    async fn connection(self: Rc<Self>, mut stream: TcpStream) {
        self.open_connections.set(self.open_connections.get() + 1);
        self.counters(|counters| counters.server(&self.name).connections += 1);
        let _ = stream.set_nodelay(true);
        let died = self.died.notified();
        let reset = tokio::select! {
            () = died => true,
            reset = self.serve(&mut stream) => reset,
        };
        if reset {
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
        self.open_connections.set(self.open_connections.get() - 1);
    }

    /// Serves a connection until it ends. Returns whether the connection is to be reset.
    async fn serve(&self, stream: &mut TcpStream) -> bool {
        let mut buffer = Vec::new();
        loop {
            let request = match self.read(stream, &mut buffer).await {
                Ok(Some(request)) => request,
                Ok(None) => return false,
                Err(()) => return true,
            };
            let keep_open = match (request.path.as_str(), request.id) {
                ("/_load", None) => self.respond(stream, "200 OK", "", &self.report()).await,
                ("/ping", None) => self.respond(stream, "200 OK", "", "").await,
                (_, None) => self.respond(stream, "404 Not Found", "", "").await,
                (_, Some(id)) => match self.work(stream, &id, request.key.as_deref()).await {
                    Some(outcome) => self.answer(stream, &id, outcome).await,
                    None => return false,
                },
            };
            match keep_open {
                Ok(true) => {}
                Ok(false) => return false,
                Err(()) => return true,
            }
        }
    }

    fn report(&self) -> String {
        self.model.borrow_mut().report()
    }

    /// Reads the next request. Returns `None` if the connection ends, and an error if it is to be reset.
    async fn read(
        &self,
        stream: &mut TcpStream,
        buffer: &mut Vec<u8>,
    ) -> Result<Option<ReceivedRequest>, ()> {
        let mut resets = None;
        loop {
            let mut fields = [httparse::EMPTY_HEADER; 64];
            let mut head = httparse::Request::new(&mut fields);
            if let httparse::Status::Complete(end) = head.parse(buffer).map_err(drop)? {
                let field = |name: &str| {
                    let found = head.headers.iter().find(|field| field.name.eq_ignore_ascii_case(name));
                    found.and_then(|field| std::str::from_utf8(field.value).ok()).map(str::to_owned)
                };
                if *resets.get_or_insert_with(|| self.model.borrow_mut().resets_early())
                    && field("x-request-id").is_some()
                {
                    return Err(());
                }
                let length =
                    field("content-length").map_or(Ok(0), |text| text.parse::<usize>()).map_err(drop)?;
                if length > MAX_BODY_BYTES {
                    return Err(());
                }
                if buffer.len() >= end + length {
                    let path = head.path.unwrap_or_default();
                    let path = path.split('?').next().unwrap_or_default().to_owned();
                    let request =
                        ReceivedRequest { path, id: field("x-request-id"), key: field("idempotency-key") };
                    buffer.drain(..end + length);
                    return Ok(Some(request));
                }
            } else if buffer.len() > MAX_HEAD_BYTES {
                return Err(());
            }
            match stream.read_buf(buffer).await {
                Ok(n) if n > 0 => {}
                _ => return Ok(None),
            }
        }
    }

    /// Runs a request in the model and returns its outcome, or `None` if its client leaves meanwhile.
    async fn work(&self, stream: &mut TcpStream, id: &str, key: Option<&str>) -> Option<SimulatedOutcome> {
        self.advance();
        let number = self.next_number.get() + 1;
        self.next_number.set(number);
        let immediate = self.model.borrow_mut().arrive(number);
        if let Some(outcome) = immediate {
            if outcome != SimulatedOutcome::Refused {
                self.counters(|counters| counters.begin(&self.name, id, key, self.start.elapsed()));
                self.counters(|counters| counters.end(&self.name, id, outcome, self.start.elapsed()));
            } else {
                self.counters(|counters| counters.server(&self.name).refused += 1);
            }
            return Some(outcome);
        }
        self.counters(|counters| counters.begin(&self.name, id, key, self.start.elapsed()));
        let (reply, replied) = oneshot::channel();
        self.replies.borrow_mut().insert(number, reply);
        self.wake_driver.notify_one();
        let mut running = RunningRequest { server: self, number, id, outcome: None };
        let mut byte = [0; 1];
        running.outcome = tokio::select! {
            outcome = replied => outcome.ok(),
            // Before the response, nothing but the end of the client's connection is expected.
            _ = stream.peek(&mut byte) => None,
        };
        running.outcome
    }

    /// Responds according to the outcome of a request. Returns whether the connection is kept open, or an
    /// error if it is to be reset.
    async fn answer(&self, stream: &mut TcpStream, id: &str, outcome: SimulatedOutcome) -> Result<bool, ()> {
        let load = format!("x-load: {}\r\n", self.report());
        let body = format!("done {id}");
        match outcome {
            SimulatedOutcome::Served => self.respond(stream, "200 OK", &load, &body).await,
            SimulatedOutcome::Error => self.respond(stream, "500 Error", &load, "").await,
            SimulatedOutcome::Refused => {
                self.respond(stream, "503 Busy", &format!("x-not-run: 1\r\n{load}"), "").await
            }
            SimulatedOutcome::Reset => Err(()),
            SimulatedOutcome::Spoilt => {
                let truncated =
                    format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", 2 * body.len());
                let _ = stream.write_all(truncated.as_bytes()).await;
                Ok(false)
            }
            SimulatedOutcome::Silent => {
                // Waits until the client gives up.
                let mut byte = [0; 1];
                let _ = stream.peek(&mut byte).await;
                Ok(false)
            }
            SimulatedOutcome::Surplus(ms) => {
                let keep_open = self.respond(stream, "200 OK", &load, &body).await?;
                sleep(Duration::from_millis(ms)).await;
                Ok(keep_open && self.respond(stream, "200 OK", &load, &body).await?)
            }
        }
    }

    async fn respond(
        &self,
        stream: &mut TcpStream,
        status: &str,
        fields: &str,
        body: &str,
    ) -> Result<bool, ()> {
        let text = format!("HTTP/1.1 {status}\r\n{fields}content-length: {}\r\n\r\n{body}", body.len());
        Ok(stream.write_all(text.as_bytes()).await.is_ok())
    }
}
