//! A fleet of simulated servers and their catalog, run in a thread of its own on loopback sockets.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::{mpsc, Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::task::LocalSet;
use tokio::time::{sleep_until, timeout};

use crate::catalog::Catalog;
use crate::model::Model;
use crate::scenario::{Fault, FaultKind, Scenario, Spec};
use crate::server::Server;
use crate::tally::Counters;

/// Time in seconds that a draining or replaced server has to finish its requests before the catalog reports
/// that it left, if the scenario gives none.
const DEFAULT_GRACE_S: f64 = 2.0;

/// A running fleet. Dropping it stops it.
pub struct Fleet {
    /// Address of the catalog.
    pub catalog: SocketAddr,
    /// Second address of the catalog, at which it answers during a `move` fault.
    pub moved_catalog: SocketAddr,
    /// Listen addresses of the servers, by their names in the scenario.
    pub servers: BTreeMap<String, SocketAddr>,
    start: Instant,
    counters: Arc<Mutex<Counters>>,
    list: Arc<Mutex<Catalog>>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

/// Start time, both catalog addresses and the servers' addresses.
type StartInfo = (Instant, [SocketAddr; 2], BTreeMap<String, SocketAddr>);

impl Fleet {
    /// Starts the fleet on free ports of 127.0.0.1. Returns when all sockets are listening.
    pub fn start(scenario: &Scenario) -> Result<Self, String> {
        let (report_start, start_result) = mpsc::channel();
        let (stop, stopped) = oneshot::channel();
        let counters = Arc::new(Mutex::new(Counters::tracking(scenario.track, scenario.log)));
        let list = Arc::new(Mutex::new(Catalog::new(scenario.catalog.keeps.unwrap_or(1000))));
        let (scenario, thread_counters, thread_list) =
            (scenario.clone(), Arc::clone(&counters), Arc::clone(&list));
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let run = |runtime: tokio::runtime::Runtime| {
                LocalSet::new().block_on(
                    &runtime,
                    run_fleet(scenario, thread_counters, thread_list, &report_start, stopped),
                )
            };
            if let Err(why) = runtime.map_err(|e| e.to_string()).and_then(run) {
                let _ = report_start.send(Err(why));
            }
        });
        let (start, [catalog, moved_catalog], servers) =
            start_result.recv().map_err(|_| "the fleet did not start".to_owned())??;
        Ok(Self {
            catalog,
            moved_catalog,
            servers,
            start,
            counters,
            list,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Returns the time since the start of the fleet, from which the times of the scenario and of the
    /// counters are measured.
    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    /// Returns a copy of the servers' current counters.
    pub fn counters(&self) -> Counters {
        self.counters.lock().unwrap_or_else(std::sync::PoisonError::into_inner).clone()
    }

    /// Returns the full list as it now stands in the catalog.
    pub fn list(&self) -> serde_json::Value {
        self.list.lock().unwrap_or_else(std::sync::PoisonError::into_inner).full()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// The state of a running fleet, used only on the fleet's thread.
struct FleetState {
    scenario: Scenario,
    start: Instant,
    counters: Arc<Mutex<Counters>>,
    list: Arc<Mutex<Catalog>>,
    /// The latest revision that has been published to watches.
    published_revision: watch::Sender<u64>,
    /// Listen addresses of all servers launched so far.
    addresses: RefCell<BTreeMap<String, SocketAddr>>,
    /// Decides which catalog calls are hit by a fault whose `part` is below 1.
    rng: RefCell<fastrand::Rng>,
    /// Held by the call being processed while a `queue` fault makes the catalog process calls one at a time.
    processing: tokio::sync::Mutex<()>,
}

/// Starts the servers and the catalog, reports their addresses and runs until `stopped` fires.
async fn run_fleet(
    scenario: Scenario,
    counters: Arc<Mutex<Counters>>,
    list: Arc<Mutex<Catalog>>,
    report_start: &mpsc::Sender<Result<StartInfo, String>>,
    stopped: oneshot::Receiver<()>,
) -> Result<(), String> {
    let (published_revision, _) = watch::channel(0);
    let start = Instant::now();
    let rng = RefCell::new(fastrand::Rng::with_seed(scenario.seed));
    let processing = tokio::sync::Mutex::new(());
    let addresses = RefCell::default();
    let state = Rc::new(FleetState {
        scenario,
        start,
        counters,
        list,
        published_revision,
        addresses,
        rng,
        processing,
    });
    let servers: Vec<(String, Spec)> =
        state.scenario.servers().map(|(name, spec)| (name, spec.clone())).collect();
    for (name, spec) in servers {
        state.launch(&name, &name, spec, None).await?;
    }
    let catalogs = [bind().await?, bind().await?];
    let mut addresses = Vec::new();
    for catalog in &catalogs {
        addresses.push(catalog.local_addr().map_err(|e| e.to_string())?);
    }
    state.published_revision.send_replace(state.list().revision());
    for (n, catalog) in catalogs.into_iter().enumerate() {
        tokio::task::spawn_local(Rc::clone(&state).serve_catalog(catalog, n == 1));
    }
    tokio::task::spawn_local(Rc::clone(&state).run_faults());
    let servers = state.addresses.borrow().clone();
    let _ = report_start.send(Ok((start, [addresses[0], addresses[1]], servers)));
    let _ = stopped.await;
    Ok(())
}

async fn bind() -> Result<TcpListener, String> {
    let listener = TcpListener::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await;
    listener.map_err(|error| format!("cannot listen: {error}"))
}

impl FleetState {
    fn list(&self) -> std::sync::MutexGuard<'_, Catalog> {
        self.list.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Starts a server and adds it to the list. With `slow_start_at` the server is a replacement, begins in
    /// slow start at that time and is announced with the catalog's delay.
    async fn launch(
        self: &Rc<Self>,
        name: &str,
        faults_of: &str,
        spec: Spec,
        slow_start_at: Option<f64>,
    ) -> Result<(), String> {
        let listener = bind().await?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let faults = match slow_start_at {
            // Faults in the scenario apply to the server that they name, not to its replacement.
            Some(_) => Vec::new(),
            None => self.scenario.faults.iter().filter(|fault| fault.on == faults_of).cloned().collect(),
        };
        let number = self.addresses.borrow().len() as u64;
        let seed = self.scenario.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(number);
        let up_since_ms = match slow_start_at {
            Some(_) => SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |unix| unix.as_millis() as u64),
            None => 0,
        };
        let entry = json!({"id": name, "host_port": address.to_string(), "locality": spec.zone, "flavor": spec.kind,
                           "cell": 0, "phase": "active", "size": f64::from(spec.cores) * spec.speed,
                           "up_since_ms": up_since_ms});
        let max_connections = spec.connections;
        let model = Model::new(spec, faults, seed, slow_start_at);
        let server =
            Server::new(name.into(), address, model, max_connections, self.start, Arc::clone(&self.counters));
        tokio::task::spawn_local(server.run(listener));
        self.addresses.borrow_mut().insert(name.to_owned(), address);
        let name = name.to_owned();
        match slow_start_at {
            None => self.list().set(&name, entry),
            Some(_) => self.change_later(move |list| list.set(&name, entry)),
        }
        Ok(())
    }

    fn change_phase(self: &Rc<Self>, name: &str, phase: &'static str) {
        let name = name.to_owned();
        self.change_later(move |list| list.set_phase(&name, phase));
    }

    /// Changes the list after the catalog's configured delay and notifies the watches.
    fn change_later(self: &Rc<Self>, change: impl FnOnce(&mut Catalog) + 'static) {
        let state = Rc::clone(self);
        let delay = Duration::from_millis(self.scenario.catalog.delay_ms);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(delay).await;
            change(&mut state.list());
            let revision = state.list().revision();
            state.published_revision.send_replace(revision);
        });
    }

    /// Applies the scenario's `drain` and `replace` faults at their times.
    async fn run_faults(self: Rc<Self>) {
        let mut steps: Vec<(f64, usize, bool)> = Vec::new();
        for (n, fault) in self.scenario.faults.iter().enumerate() {
            match fault.kind {
                FaultKind::Drain | FaultKind::Replace => {
                    steps.push((fault.at_s, n, false));
                    steps.push((fault.at_s + fault.for_s.unwrap_or(DEFAULT_GRACE_S), n, true));
                }
                _ => {}
            }
        }
        steps.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (at_s, n, is_end) in steps {
            sleep_until((self.start + Duration::from_secs_f64(at_s)).into()).await;
            let fault = &self.scenario.faults[n];
            if is_end {
                self.change_phase(&fault.on, "left");
                continue;
            }
            self.change_phase(&fault.on, "leaving");
            if fault.kind == FaultKind::Replace {
                let spec =
                    self.scenario.servers().find(|(name, _)| *name == fault.on).map(|(_, spec)| spec.clone());
                let now = self.start.elapsed().as_secs_f64() * 1000.0;
                let name = format!("{}-{n}", fault.on);
                if let Some(spec) = spec {
                    // Launching fails if no port is free; the server then has no replacement.
                    let _ = self.launch(&name, &fault.on, spec, Some(now)).await;
                }
            }
        }
    }

    fn is_unavailable(&self) -> bool {
        self.fault(FaultKind::Outage).is_some()
    }

    /// Returns the active fault of this kind if it hits a catalog call made now.
    fn fault(&self, kind: FaultKind) -> Option<&Fault> {
        let now = self.start.elapsed().as_secs_f64();
        let is_active = |from: f64, length: Option<f64>| now >= from && length.is_none_or(|s| now < from + s);
        let found = self.scenario.faults.iter().find(|f| f.kind == kind && is_active(f.at_s, f.for_s))?;
        (found.part >= 1.0 || self.rng.borrow_mut().f64() < found.part).then_some(found)
    }

    async fn serve_catalog(self: Rc<Self>, listener: TcpListener, is_second: bool) {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::task::spawn_local(Rc::clone(&self).serve_catalog_connection(stream, is_second));
        }
    }

    /// Serves the catalog's calls on one connection, as its active faults allow.
    async fn serve_catalog_connection(self: Rc<Self>, mut stream: TcpStream, is_second: bool) {
        let _ = stream.set_nodelay(true);
        let mut buffer: Vec<u8> = Vec::new();
        loop {
            let end = loop {
                if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                    break end + 4;
                }
                match stream.read_buf(&mut buffer).await {
                    Ok(n) if n > 0 && buffer.len() < 16 * 1024 => {}
                    _ => return,
                }
            };
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end);
            let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
            let query = |name: &str| -> Option<u64> {
                let (_, query) = path.split_once('?')?;
                query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
            };
            let is_watch = query("since").is_some() && query("timeout_ms").is_some_and(|wait| wait > 0);
            let unanswered = match query("since") {
                _ if self.fault(FaultKind::Hang).is_some() => true,
                _ if self.fault(FaultKind::Move).is_some() != is_second => true,
                Some(_) => is_watch && self.fault(FaultKind::HangWatches).is_some(),
                None => self.fault(FaultKind::HangReads).is_some(),
            };
            if unanswered {
                // Keeps the connection open without answering until the client closes it.
                while matches!(stream.read_buf(&mut buffer).await, Ok(n) if n > 0 && buffer.len() < 16 * 1024)
                {
                }
                return;
            }
            let (status, body) = if self.is_unavailable() || !path.starts_with("/catalog/members") {
                ("503 Down", json!({}))
            } else {
                match query("since") {
                    None => ("200 OK", self.list().full()),
                    Some(since) => {
                        let wait = Duration::from_millis(query("timeout_ms").unwrap_or(0).min(60_000));
                        let mut published_revision = self.published_revision.subscribe();
                        // A revision newer than this catalog's own is answered at once.
                        let changed = published_revision
                            .wait_for(|revision| *revision > since || since > self.list().revision());
                        let _ = timeout(wait, changed).await;
                        if self.is_unavailable() {
                            ("503 Down", json!({}))
                        } else {
                            ("200 OK", self.list().since(since))
                        }
                    }
                }
            };
            if let Some(queue) = self.fault(FaultKind::Queue) {
                let processing = self.processing.lock().await;
                tokio::time::sleep(Duration::from_millis(queue.delay_ms)).await;
                drop(processing);
            }
            let body = body.to_string();
            let text = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{body}", body.len());
            let half_length = text.len() - body.len() / 2;
            let (half, trickle) = (self.fault(FaultKind::Half), self.fault(FaultKind::Trickle));
            let immediate_bytes = match (half, trickle) {
                (Some(_), _) => half_length,
                (None, Some(_)) => 0,
                (None, None) => text.len(),
            };
            if stream.write_all(&text.as_bytes()[..immediate_bytes]).await.is_err() {
                return;
            }
            if half.is_some() {
                while matches!(stream.read_buf(&mut buffer).await, Ok(n) if n > 0 && buffer.len() < 16 * 1024)
                {
                }
                return;
            }
            for byte in &text.as_bytes()[immediate_bytes..] {
                tokio::time::sleep(Duration::from_secs(1)).await;
                if stream.write_all(&[*byte]).await.is_err() {
                    return;
                }
            }
        }
    }
}
