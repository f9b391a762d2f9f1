//! One server's sockets.

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

const HEAD_MOST: usize = 16 * 1024;
const BODY_MOST: usize = 1 << 20;
/// While it is down, it looks this often whether it is up again; and a server that works looks so often whether it
/// has died.
const LOOK: Duration = Duration::from_millis(20);

/// A server that runs.
pub struct Server {
    /// What it is called.
    pub name: String,
    /// Where it listens, also after it has been down.
    pub address: SocketAddr,
    model: RefCell<Model>,
    replies: RefCell<HashMap<u64, oneshot::Sender<SimulatedOutcome>>>,
    changed: Notify,
    /// Raised for all connections when it dies.
    died: Notify,
    open: Cell<usize>,
    most_open: usize,
    next: Cell<u64>,
    start: Instant,
    tally: Arc<Mutex<Counters>>,
}

/// A request as it came.
struct Asked {
    path: String,
    id: Option<String>,
    key: Option<String>,
}

/// A request that is worked on, until it is dropped: also where its server dies meanwhile.
struct Running<'a> {
    server: &'a Server,
    number: u64,
    id: &'a str,
    fate: Option<SimulatedOutcome>,
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let server = self.server;
        if self.fate.is_none() {
            server.replies.borrow_mut().remove(&self.number);
            server.model.borrow_mut().cancel(self.number);
        }
        let fate = self.fate.unwrap_or(SimulatedOutcome::Silent);
        server.tally(|tally| tally.end(&server.name, self.id, fate, server.start.elapsed()));
    }
}

impl Server {
    pub fn new(
        name: String,
        address: SocketAddr,
        model: Model,
        most_open: usize,
        start: Instant,
        tally: Arc<Mutex<Counters>>,
    ) -> Rc<Self> {
        Rc::new(Self {
            name,
            address,
            model: RefCell::new(model),
            replies: RefCell::default(),
            changed: Notify::new(),
            died: Notify::new(),
            open: Cell::new(0),
            most_open,
            next: Cell::new(0),
            start,
            tally,
        })
    }

    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    fn tally<T>(&self, of: impl FnOnce(&mut Counters) -> T) -> T {
        of(&mut self.tally.lock().unwrap_or_else(std::sync::PoisonError::into_inner))
    }

    /// Lets the model's time pass and answers those that are done.
    fn advance(&self) {
        let done = self.model.borrow_mut().advance(self.now());
        for (id, fate) in done {
            if let Some(reply) = self.replies.borrow_mut().remove(&id) {
                // It fails where its client has left.
                let _ = reply.send(fate);
            }
        }
        let load = self.model.borrow().load();
        self.tally(|tally| tally.server(&self.name).load = load);
    }

    /// Runs until the fleet ends.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        tokio::task::spawn_local(Rc::clone(&self).drive());
        let mut listener = Some(listener);
        loop {
            let down = self.model.borrow().is_down();
            match &listener {
                Some(_) if down => {
                    // New ones are refused from now on, and those that are open are reset.
                    listener = None;
                    self.died.notify_waiters();
                }
                None if !down => listener = TcpListener::bind(self.address).await.ok(),
                None => sleep(LOOK).await,
                Some(open) => tokio::select! {
                    accepted = open.accept() => {
                        let Ok((stream, _)) = accepted else { continue };
                        if self.open.get() < self.most_open {
                            tokio::task::spawn_local(Rc::clone(&self).connection(stream));
                        }
                    }
                    () = sleep(LOOK) => {}
                },
            }
        }
    }

    async fn drive(self: Rc<Self>) {
        loop {
            self.advance();
            let wake = self.model.borrow().next_wake().map(|at| (at - self.now()).max(0.0) / 1000.0);
            let wake = wake.map_or(LOOK, |s| Duration::from_secs_f64(s).min(LOOK));
            tokio::select! {
                () = self.changed.notified() => {}
                () = sleep(wake) => {}
            }
        }
    }

    async fn connection(self: Rc<Self>, mut stream: TcpStream) {
        self.open.set(self.open.get() + 1);
        self.tally(|tally| tally.server(&self.name).connections += 1);
        let _ = stream.set_nodelay(true);
        let died = self.died.notified();
        let reset = tokio::select! {
            () = died => true,
            reset = self.serve(&mut stream) => reset,
        };
        if reset {
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
        self.open.set(self.open.get() - 1);
    }

    /// Serves a connection to its end. Whether that is a reset.
    async fn serve(&self, stream: &mut TcpStream) -> bool {
        let mut read = Vec::new();
        loop {
            let asked = match self.read(stream, &mut read).await {
                Ok(Some(asked)) => asked,
                Ok(None) => return false,
                Err(()) => return true,
            };
            let keeps = match (asked.path.as_str(), asked.id) {
                ("/_load", None) => self.say(stream, "200 OK", "", &self.report()).await,
                ("/ping", None) => self.say(stream, "200 OK", "", "").await,
                (_, None) => self.say(stream, "404 Not Found", "", "").await,
                (_, Some(id)) => match self.work(stream, &id, asked.key.as_deref()).await {
                    Some(fate) => self.answer(stream, &id, fate).await,
                    None => return false,
                },
            };
            match keeps {
                Ok(true) => {}
                Ok(false) => return false,
                Err(()) => return true,
            }
        }
    }

    fn report(&self) -> String {
        self.model.borrow_mut().report()
    }

    /// The next request; none where the connection ends. An error where it is to be reset.
    async fn read(&self, stream: &mut TcpStream, read: &mut Vec<u8>) -> Result<Option<Asked>, ()> {
        let mut cut = None;
        loop {
            let mut fields = [httparse::EMPTY_HEADER; 64];
            let mut head = httparse::Request::new(&mut fields);
            if let httparse::Status::Complete(end) = head.parse(read).map_err(drop)? {
                let field = |name: &str| {
                    let found = head.headers.iter().find(|field| field.name.eq_ignore_ascii_case(name));
                    found.and_then(|field| std::str::from_utf8(field.value).ok()).map(str::to_owned)
                };
                if *cut.get_or_insert_with(|| self.model.borrow_mut().cuts_off())
                    && field("x-request-id").is_some()
                {
                    return Err(());
                }
                let length =
                    field("content-length").map_or(Ok(0), |text| text.parse::<usize>()).map_err(drop)?;
                if length > BODY_MOST {
                    return Err(());
                }
                if read.len() >= end + length {
                    let path = head.path.unwrap_or_default();
                    let path = path.split('?').next().unwrap_or_default().to_owned();
                    let asked = Asked { path, id: field("x-request-id"), key: field("idempotency-key") };
                    read.drain(..end + length);
                    return Ok(Some(asked));
                }
            } else if read.len() > HEAD_MOST {
                return Err(());
            }
            match stream.read_buf(read).await {
                Ok(n) if n > 0 => {}
                _ => return Ok(None),
            }
        }
    }

    /// Works on a request. None where its client leaves meanwhile.
    async fn work(&self, stream: &mut TcpStream, id: &str, key: Option<&str>) -> Option<SimulatedOutcome> {
        self.advance();
        let number = self.next.get() + 1;
        self.next.set(number);
        let at_once = self.model.borrow_mut().arrive(number);
        if let Some(fate) = at_once {
            if fate != SimulatedOutcome::Refused {
                self.tally(|tally| tally.begin(&self.name, id, key, self.start.elapsed()));
                self.tally(|tally| tally.end(&self.name, id, fate, self.start.elapsed()));
            } else {
                self.tally(|tally| tally.server(&self.name).refused += 1);
            }
            return Some(fate);
        }
        self.tally(|tally| tally.begin(&self.name, id, key, self.start.elapsed()));
        let (reply, replied) = oneshot::channel();
        self.replies.borrow_mut().insert(number, reply);
        self.changed.notify_one();
        let mut running = Running { server: self, number, id, fate: None };
        let mut more = [0; 1];
        running.fate = tokio::select! {
            fate = replied => fate.ok(),
            // Nothing is to come before the answer but the client's end.
            _ = stream.peek(&mut more) => None,
        };
        running.fate
    }

    /// Answers as a request's fate has it. Whether the connection goes on; an error where it is reset.
    async fn answer(&self, stream: &mut TcpStream, id: &str, fate: SimulatedOutcome) -> Result<bool, ()> {
        let load = format!("x-load: {}\r\n", self.report());
        let body = format!("done {id}");
        match fate {
            SimulatedOutcome::Served => self.say(stream, "200 OK", &load, &body).await,
            SimulatedOutcome::Error => self.say(stream, "500 Error", &load, "").await,
            SimulatedOutcome::Refused => {
                self.say(stream, "503 Busy", &format!("x-not-run: 1\r\n{load}"), "").await
            }
            SimulatedOutcome::Reset => Err(()),
            SimulatedOutcome::Spoilt => {
                let half = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", 2 * body.len());
                let _ = stream.write_all(half.as_bytes()).await;
                Ok(false)
            }
            SimulatedOutcome::Silent => {
                // Until its client has had enough.
                let mut more = [0; 1];
                let _ = stream.peek(&mut more).await;
                Ok(false)
            }
            SimulatedOutcome::Surplus(ms) => {
                let kept = self.say(stream, "200 OK", &load, &body).await?;
                sleep(Duration::from_millis(ms)).await;
                Ok(kept && self.say(stream, "200 OK", &load, &body).await?)
            }
        }
    }

    async fn say(&self, stream: &mut TcpStream, status: &str, fields: &str, body: &str) -> Result<bool, ()> {
        let text = format!("HTTP/1.1 {status}\r\n{fields}content-length: {}\r\n\r\n{body}", body.len());
        Ok(stream.write_all(text.as_bytes()).await.is_ok())
    }
}
