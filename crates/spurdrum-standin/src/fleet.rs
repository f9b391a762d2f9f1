//! A whole fleet, in a thread of its own.

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

/// A server that is replaced has this long to finish what it has, where the script says nothing.
const GRACE_S: f64 = 2.0;

/// A fleet that runs until it is dropped.
pub struct Fleet {
    /// Where the catalog answers.
    pub catalog: SocketAddr,
    /// Where it answers once it has moved.
    pub moved_catalog: SocketAddr,
    /// Where the servers listen, by their names as the scenario has them.
    pub servers: BTreeMap<String, SocketAddr>,
    start: Instant,
    tally: Arc<Mutex<Counters>>,
    list: Arc<Mutex<Catalog>>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

type Started = (Instant, [SocketAddr; 2], BTreeMap<String, SocketAddr>);

impl Fleet {
    /// Starts on free ports of 127.0.0.1; returns when all listen.
    pub fn start(scenario: &Scenario) -> Result<Self, String> {
        let (tell, started) = mpsc::channel();
        let (stop, stopped) = oneshot::channel();
        let tally = Arc::new(Mutex::new(Counters::tracking(scenario.track, scenario.log)));
        let list = Arc::new(Mutex::new(Catalog::new(scenario.catalog.keeps.unwrap_or(1000))));
        let (scenario, tally_of, list_of) = (scenario.clone(), Arc::clone(&tally), Arc::clone(&list));
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let run = |runtime: tokio::runtime::Runtime| {
                LocalSet::new().block_on(&runtime, play(scenario, tally_of, list_of, &tell, stopped))
            };
            if let Err(why) = runtime.map_err(|e| e.to_string()).and_then(run) {
                let _ = tell.send(Err(why));
            }
        });
        let (start, [catalog, moved_catalog], servers) =
            started.recv().map_err(|_| "the fleet did not start".to_owned())??;
        Ok(Self {
            catalog,
            moved_catalog,
            servers,
            start,
            tally,
            list,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// How long it has been running: times of the script and of tallies count from its start.
    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    /// What the servers have seen by now.
    pub fn counters(&self) -> Counters {
        self.tally.lock().unwrap_or_else(std::sync::PoisonError::into_inner).clone()
    }

    /// The whole list as the catalog has it now.
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

struct World {
    scenario: Scenario,
    start: Instant,
    tally: Arc<Mutex<Counters>>,
    list: Arc<Mutex<Catalog>>,
    /// The version that watches may hear of.
    told: watch::Sender<u64>,
    addresses: RefCell<BTreeMap<String, SocketAddr>>,
    /// Which of the calls a fault befalls.
    random: RefCell<fastrand::Rng>,
    /// Held by the call that the catalog works on, where it works through them in turn.
    turn: tokio::sync::Mutex<()>,
}

async fn play(
    scenario: Scenario,
    tally: Arc<Mutex<Counters>>,
    list: Arc<Mutex<Catalog>>,
    tell: &mpsc::Sender<Result<Started, String>>,
    stopped: oneshot::Receiver<()>,
) -> Result<(), String> {
    let (told, _) = watch::channel(0);
    let start = Instant::now();
    let random = RefCell::new(fastrand::Rng::with_seed(scenario.seed));
    let turn = tokio::sync::Mutex::new(());
    let addresses = RefCell::default();
    let world = Rc::new(World { scenario, start, tally, list, told, addresses, random, turn });
    let servers: Vec<(String, Spec)> =
        world.scenario.servers().map(|(name, spec)| (name, spec.clone())).collect();
    for (name, spec) in servers {
        world.launch(&name, &name, spec, None).await?;
    }
    let catalogs = [bind().await?, bind().await?];
    let mut addresses = Vec::new();
    for catalog in &catalogs {
        addresses.push(catalog.local_addr().map_err(|e| e.to_string())?);
    }
    world.told.send_replace(world.list().revision());
    for (n, catalog) in catalogs.into_iter().enumerate() {
        tokio::task::spawn_local(Rc::clone(&world).answer_watches(catalog, n == 1));
    }
    tokio::task::spawn_local(Rc::clone(&world).script());
    let servers = world.addresses.borrow().clone();
    let _ = tell.send(Ok((start, [addresses[0], addresses[1]], servers)));
    let _ = stopped.await;
    Ok(())
}

async fn bind() -> Result<TcpListener, String> {
    let listener = TcpListener::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await;
    listener.map_err(|error| format!("cannot listen: {error}"))
}

impl World {
    fn list(&self) -> std::sync::MutexGuard<'_, Catalog> {
        self.list.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Starts a server, cold where it starts now.
    async fn launch(
        self: &Rc<Self>,
        name: &str,
        script: &str,
        spec: Spec,
        cold_at: Option<f64>,
    ) -> Result<(), String> {
        let listener = bind().await?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let faults = match cold_at {
            // What the script has for a server befalls the one that it names, and not its successor.
            Some(_) => Vec::new(),
            None => self.scenario.faults.iter().filter(|fault| fault.on == script).cloned().collect(),
        };
        let number = self.addresses.borrow().len() as u64;
        let seed = self.scenario.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(number);
        let up_since_ms = match cold_at {
            Some(_) => SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |unix| unix.as_millis() as u64),
            None => 0,
        };
        let entry = json!({"id": name, "host_port": address.to_string(), "locality": spec.zone, "flavor": spec.kind,
                           "cell": 0, "phase": "active", "size": f64::from(spec.cores) * spec.speed,
                           "up_since_ms": up_since_ms});
        let most = spec.connections;
        let model = Model::new(spec, faults, seed, cold_at);
        let server = Server::new(name.into(), address, model, most, self.start, Arc::clone(&self.tally));
        tokio::task::spawn_local(server.run(listener));
        self.addresses.borrow_mut().insert(name.to_owned(), address);
        let name = name.to_owned();
        match cold_at {
            None => self.list().set(&name, entry),
            Some(_) => self.later(move |list| list.set(&name, entry)),
        }
        Ok(())
    }

    fn tell(self: &Rc<Self>, name: &str, phase: &'static str) {
        let name = name.to_owned();
        self.later(move |list| list.set_phase(&name, phase));
    }

    /// Changes the list, as late as the script says.
    fn later(self: &Rc<Self>, change: impl FnOnce(&mut Catalog) + 'static) {
        let world = Rc::clone(self);
        let delay = Duration::from_millis(self.scenario.catalog.delay_ms);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(delay).await;
            change(&mut world.list());
            let revision = world.list().revision();
            world.told.send_replace(revision);
        });
    }

    async fn script(self: Rc<Self>) {
        let mut steps: Vec<(f64, usize, bool)> = Vec::new();
        for (n, fault) in self.scenario.faults.iter().enumerate() {
            match fault.kind {
                FaultKind::Drain | FaultKind::Replace => {
                    steps.push((fault.at_s, n, false));
                    steps.push((fault.at_s + fault.for_s.unwrap_or(GRACE_S), n, true));
                }
                _ => {}
            }
        }
        steps.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (at_s, n, ends) in steps {
            sleep_until((self.start + Duration::from_secs_f64(at_s)).into()).await;
            let fault = &self.scenario.faults[n];
            if ends {
                self.tell(&fault.on, "left");
                continue;
            }
            self.tell(&fault.on, "leaving");
            if fault.kind == FaultKind::Replace {
                let spec =
                    self.scenario.servers().find(|(name, _)| *name == fault.on).map(|(_, spec)| spec.clone());
                let now = self.start.elapsed().as_secs_f64() * 1000.0;
                let name = format!("{}-{n}", fault.on);
                if let Some(spec) = spec {
                    // It fails where no port is free: then there is no successor.
                    let _ = self.launch(&name, &fault.on, spec, Some(now)).await;
                }
            }
        }
    }

    fn is_out(&self) -> bool {
        self.fault(FaultKind::Outage).is_some()
    }

    /// A fault of the catalog that befalls a call now.
    fn fault(&self, kind: FaultKind) -> Option<&Fault> {
        let now = self.start.elapsed().as_secs_f64();
        let within = |from: f64, length: Option<f64>| now >= from && length.is_none_or(|s| now < from + s);
        let found = self.scenario.faults.iter().find(|f| f.kind == kind && within(f.at_s, f.for_s))?;
        (found.part >= 1.0 || self.random.borrow_mut().f64() < found.part).then_some(found)
    }

    async fn answer_watches(self: Rc<Self>, listener: TcpListener, second: bool) {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::task::spawn_local(Rc::clone(&self).watcher(stream, second));
        }
    }

    async fn watcher(self: Rc<Self>, mut stream: TcpStream, second: bool) {
        let _ = stream.set_nodelay(true);
        let mut read: Vec<u8> = Vec::new();
        loop {
            let end = loop {
                if let Some(end) = read.windows(4).position(|w| w == b"\r\n\r\n") {
                    break end + 4;
                }
                match stream.read_buf(&mut read).await {
                    Ok(n) if n > 0 && read.len() < 16 * 1024 => {}
                    _ => return,
                }
            };
            let head = String::from_utf8_lossy(&read[..end]).into_owned();
            read.drain(..end);
            let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
            let query = |name: &str| -> Option<u64> {
                let (_, query) = path.split_once('?')?;
                query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
            };
            let watches = query("since").is_some() && query("timeout_ms").is_some_and(|wait| wait > 0);
            let hangs = match query("since") {
                _ if self.fault(FaultKind::Hang).is_some() => true,
                _ if self.fault(FaultKind::Move).is_some() != second => true,
                Some(_) => watches && self.fault(FaultKind::HangWatches).is_some(),
                None => self.fault(FaultKind::HangReads).is_some(),
            };
            if hangs {
                // Until its client has had enough.
                while matches!(stream.read_buf(&mut read).await, Ok(n) if n > 0 && read.len() < 16 * 1024) {}
                return;
            }
            let (status, body) = if self.is_out() || !path.starts_with("/catalog/members") {
                ("503 Down", json!({}))
            } else {
                match query("since") {
                    None => ("200 OK", self.list().full()),
                    Some(since) => {
                        let wait = Duration::from_millis(query("timeout_ms").unwrap_or(0).min(60_000));
                        let mut told = self.told.subscribe();
                        // A version that is not this catalog's is answered at once.
                        let news = told.wait_for(|told| *told > since || since > self.list().revision());
                        let _ = timeout(wait, news).await;
                        if self.is_out() {
                            ("503 Down", json!({}))
                        } else {
                            ("200 OK", self.list().since(since))
                        }
                    }
                }
            };
            if let Some(queue) = self.fault(FaultKind::Queue) {
                let turn = self.turn.lock().await;
                tokio::time::sleep(Duration::from_millis(queue.delay_ms)).await;
                drop(turn);
            }
            let body = body.to_string();
            let text = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{body}", body.len());
            let stops = text.len() - body.len() / 2;
            let (half, trickle) = (self.fault(FaultKind::Half), self.fault(FaultKind::Trickle));
            let at_once = match (half, trickle) {
                (Some(_), _) => stops,
                (None, Some(_)) => 0,
                (None, None) => text.len(),
            };
            if stream.write_all(&text.as_bytes()[..at_once]).await.is_err() {
                return;
            }
            if half.is_some() {
                while matches!(stream.read_buf(&mut read).await, Ok(n) if n > 0 && read.len() < 16 * 1024) {}
                return;
            }
            for byte in &text.as_bytes()[at_once..] {
                tokio::time::sleep(Duration::from_secs(1)).await;
                if stream.write_all(&[*byte]).await.is_err() {
                    return;
                }
            }
        }
    }
}
