//! A simulated discovery service that answers calls one after the other, each after the same service time.
//!
//! A call whose caller has closed the connection keeps its place in the queue and takes its turn like any
//! other, as in a service that notices a closed connection only when it writes. A watch waits outside the
//! queue and enters it when the list changes; a watch that times out without a change is answered at once.
//! The responses that were written are recorded, with node and time, so that a test can check them.

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

/// Number of changes that the list remembers.
const MAX_REMEMBERED_CHANGES: usize = 1024;

/// A response that was written to a caller that was still connected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Written {
    /// The node whose address received the call.
    pub node: usize,
    /// When the response was written.
    pub at: Instant,
    /// The revision of the list in the response.
    pub revision: u64,
}

/// A call that has not been answered.
struct Pending {
    node: usize,
    since: Option<u64>,
    /// When a watch times out.
    times_out_at: Instant,
    stream: TcpStream,
    answered: Sender<()>,
}

struct State {
    catalog: Catalog,
    queue: VecDeque<Pending>,
    /// Watches that wait for a change or their timeout.
    watches: Vec<Pending>,
    written: Vec<Written>,
    /// Number of calls received.
    calls: usize,
    /// Time that the service spends on each answer.
    service: Duration,
    stopped: bool,
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

/// The simulated discovery service. Dropping it stops its answers.
pub struct QueuedDiscovery {
    shared: Arc<Shared>,
}

impl QueuedDiscovery {
    /// Starts with an empty list at revision 0. Each answer takes `service`.
    #[must_use]
    pub fn start(service: Duration) -> Self {
        let state = State {
            catalog: Catalog::new(MAX_REMEMBERED_CHANGES),
            queue: VecDeque::new(),
            watches: Vec::new(),
            written: Vec::new(),
            calls: 0,
            service,
            stopped: false,
        };
        let shared = Arc::new(Shared { state: Mutex::new(state), changed: Condvar::new() });
        let worker = Arc::clone(&shared);
        thread::spawn(move || run_worker(&worker));
        Self { shared }
    }

    /// Starts listening on another address, to be given only to this node.
    ///
    /// # Panics
    ///
    /// If no address can be bound.
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

    /// Sets entries of the list, each with a revision of its own, queues all watches and returns the last
    /// revision.
    pub fn set(&self, entries: &[(String, Value)]) -> u64 {
        let mut state = self.shared.lock();
        for (id, entry) in entries {
            state.catalog.set(id, entry.clone());
        }
        let woken = std::mem::take(&mut state.watches);
        state.queue.extend(woken);
        self.shared.changed.notify_all();
        state.catalog.revision()
    }

    /// Changes the service time of the answers to come.
    pub fn set_service(&self, service: Duration) {
        self.shared.lock().service = service;
    }

    /// Returns the responses written so far.
    #[must_use]
    pub fn written(&self) -> Vec<Written> {
        self.shared.lock().written.clone()
    }

    /// Returns the number of calls received so far.
    #[must_use]
    pub fn calls(&self) -> usize {
        self.shared.lock().calls
    }
}

impl Drop for QueuedDiscovery {
    fn drop(&mut self) {
        self.shared.lock().stopped = true;
        self.shared.changed.notify_all();
    }
}

/// Reads the calls of one connection, each after the previous one was answered.
fn serve(shared: &Shared, node: usize, stream: &TcpStream) {
    let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
    while let Some(message) = Message::read(&mut reader) {
        let (answered, wait) = mpsc::channel();
        let stream = stream.try_clone().expect("cloned");
        let (since, timeout) = parse_call(&message.first);
        let times_out_at = Instant::now() + timeout;
        let call = Pending { node, since, times_out_at, stream, answered };
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

/// Returns the revision and the timeout that a call's request line names.
fn parse_call(line: &str) -> (Option<u64>, Duration) {
    let number = |key: &str| {
        let (_, after) = line.split_once(key)?;
        after.split(['&', ' ']).next()?.parse().ok()
    };
    (number("since="), Duration::from_millis(number("timeout_ms=").unwrap_or(0)))
}

/// Answers timed-out watches and queued calls until the service is stopped.
fn run_worker(shared: &Shared) {
    let mut state = shared.lock();
    while !state.stopped {
        let now = Instant::now();
        while let Some(at) = state.watches.iter().position(|watch| watch.times_out_at <= now) {
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
        let next = state.watches.iter().map(|watch| watch.times_out_at).min();
        let wait_time = next.map_or(Duration::from_secs(1), |next| next.saturating_duration_since(now));
        state = shared
            .changed
            .wait_timeout(state, wait_time)
            .expect("no thread panics while it holds the state")
            .0;
    }
}

/// Writes the response to a call, and records it if the caller was still connected.
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
    // The connection's thread has ended if its peer is gone.
    let _ = call.answered.send(());
}

/// Returns whether the peer has closed or reset the connection.
fn has_closed(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("set");
    let closed = match stream.peek(&mut [0; 1]) {
        Ok(bytes) => bytes == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    };
    stream.set_nonblocking(false).expect("set");
    closed
}
