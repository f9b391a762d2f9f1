//! A discovery that answers calls one after the other, each for the same time.
//!
//! A call whose caller has closed it keeps its place in the queue and takes its turn like any other, as in a service that
//! notices only when it writes. A watch waits beside the queue and enters it when there is news; one that ends without any
//! is answered at once. What was written to whom, and when, is kept for a judge.

use std::collections::VecDeque;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{self, Sender};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::manual::{own_address, Message};
use crate::Catalog;

/// Changes that the list remembers.
const REMEMBERED: usize = 1024;

/// An answer that was written to a caller that was still there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Written {
    /// The node whose address was called.
    pub node: usize,
    /// When.
    pub at: Instant,
    /// The version that the answer told.
    pub revision: u64,
}

/// A call that has not been answered.
struct Pending {
    node: usize,
    since: Option<u64>,
    /// Until when a watch waits for news.
    until: Instant,
    stream: TcpStream,
    answered: Sender<()>,
}

struct State {
    catalog: Catalog,
    queue: VecDeque<Pending>,
    watches: Vec<Pending>,
    written: Vec<Written>,
    calls: usize,
    service: Duration,
    ended: bool,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the state")
    }
}

/// The discovery. It ends when this is dropped.
pub struct QueuedDiscovery {
    shared: Arc<Shared>,
}

impl QueuedDiscovery {
    /// An empty list at version 0, and so much time for each answer.
    #[must_use]
    pub fn start(service: Duration) -> Self {
        let state = State {
            catalog: Catalog::new(REMEMBERED),
            queue: VecDeque::new(),
            watches: Vec::new(),
            written: Vec::new(),
            calls: 0,
            service,
            ended: false,
        };
        let shared = Arc::new(Shared { state: Mutex::new(state), changed: Condvar::new() });
        let worker = Arc::clone(&shared);
        thread::spawn(move || work(&worker));
        Self { shared }
    }

    /// One more address, which only this node is told.
    ///
    /// # Panics
    ///
    /// Where no address can be bound.
    pub fn listen(&self, node: usize) -> SocketAddr {
        let listener = TcpListener::bind(own_address()).expect("bound");
        let address = listener.local_addr().expect("bound");
        let shared = Arc::clone(&self.shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&shared);
                thread::spawn(move || serve(&shared, node, &stream));
            }
        });
        address
    }

    /// Sets entries of the list, all in one version each; the last version.
    pub fn set(&self, entries: &[(String, Value)]) -> u64 {
        let mut state = self.shared.lock();
        for (id, entry) in entries {
            state.catalog.set(id, entry.clone());
        }
        let news = std::mem::take(&mut state.watches);
        state.queue.extend(news);
        self.shared.changed.notify_all();
        state.catalog.revision()
    }

    /// Each answer takes so much time from now on.
    pub fn set_service(&self, service: Duration) {
        self.shared.lock().service = service;
    }

    /// What was written so far.
    #[must_use]
    pub fn written(&self) -> Vec<Written> {
        self.shared.lock().written.clone()
    }

    /// Calls that came so far.
    #[must_use]
    pub fn calls(&self) -> usize {
        self.shared.lock().calls
    }
}

impl Drop for QueuedDiscovery {
    fn drop(&mut self) {
        self.shared.lock().ended = true;
        self.shared.changed.notify_all();
    }
}

/// Reads the calls of one connection, each after the one before was answered.
fn serve(shared: &Shared, node: usize, stream: &TcpStream) {
    let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
    while let Some(message) = Message::read(&mut reader) {
        let (answered, wait) = mpsc::channel();
        let stream = stream.try_clone().expect("cloned");
        let (since, timeout) = asked(&message.first);
        let until = Instant::now() + timeout;
        let call = Pending { node, since, until, stream, answered };
        let mut state = shared.lock();
        state.calls += 1;
        match since {
            Some(since) if since == state.catalog.revision() && !timeout.is_zero() => {
                state.watches.push(call)
            }
            _ => state.queue.push_back(call),
        }
        shared.changed.notify_all();
        drop(state);
        if wait.recv().is_err() {
            return;
        }
    }
}

/// The version and the wait that a call's first line names.
fn asked(line: &str) -> (Option<u64>, Duration) {
    let number = |key: &str| {
        let (_, after) = line.split_once(key)?;
        after.split(['&', ' ']).next()?.parse().ok()
    };
    (number("since="), Duration::from_millis(number("timeout_ms=").unwrap_or(0)))
}

/// Answers what is due until the discovery ends.
fn work(shared: &Shared) {
    let mut state = shared.lock();
    while !state.ended {
        let now = Instant::now();
        while let Some(at) = state.watches.iter().position(|watch| watch.until <= now) {
            let watch = state.watches.swap_remove(at);
            answer(&mut state, &watch);
        }
        if let Some(call) = state.queue.pop_front() {
            let service = state.service;
            drop(state);
            thread::sleep(service);
            state = shared.lock();
            answer(&mut state, &call);
            continue;
        }
        let next = state.watches.iter().map(|watch| watch.until).min();
        let pause = next.map_or(Duration::from_secs(1), |next| next.saturating_duration_since(now));
        state =
            shared.changed.wait_timeout(state, pause).expect("no thread panics while it holds the state").0;
    }
}

fn answer(state: &mut State, call: &Pending) {
    let list = match call.since {
        Some(since) => state.catalog.since(since),
        None => state.catalog.full(),
    };
    let body = list.to_string();
    let text = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    if !has_closed(&call.stream) && (&call.stream).write_all(text.as_bytes()).is_ok() {
        let revision = state.catalog.revision();
        state.written.push(Written { node: call.node, at: Instant::now(), revision });
    }
    // The connection's thread has ended where its peer is gone.
    let _ = call.answered.send(());
}

fn has_closed(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("set");
    let closed = match stream.peek(&mut [0; 1]) {
        Ok(bytes) => bytes == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    };
    stream.set_nonblocking(false).expect("set");
    closed
}
