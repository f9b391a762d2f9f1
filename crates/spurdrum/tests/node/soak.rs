//! A soak of the real program: seeded clients, servers and signals, judged by the rules on lost and repeated
//! requests. `SPURDRUM_SOAK_SEEDS` says how many seeds are run, `SPURDRUM_SOAK_FIRST` which comes first.

#[path = "soak/clients.rs"]
mod clients;
#[path = "soak/judge.rs"]
mod judge;
#[path = "soak/servers.rs"]
mod servers;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use super::net::{self, config, member, own_address, request, wait_until, Node};
use judge::Judge;
use servers::SoakServer;

/// The longest deadline of the settings.
const LONGEST_DEADLINE: Duration = Duration::from_millis(800);
/// SIGKILL comes no sooner than this after SIGTERM, beside the longest deadline.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// The memory limit of a node.
const MEMORY_MB: u64 = 48;
const SERVERS: u64 = 4;
const CLIENTS: u64 = 12;
/// The connections of a crowd.
const CROWD: usize = 120;
/// The seeds that run when none are named, and how many run side by side.
const DEFAULT_SEEDS: u64 = 4;
const SEEDS_AT_ONCE: u64 = 4;

/// A node, which is replaced from time to time; the outgoing process is killed as early as it may be.
struct SoakNode {
    config: Value,
    current: Node,
    judge: Arc<Judge>,
}

impl SoakNode {
    fn start(servers: &[SocketAddr], judge: &Arc<Judge>) -> Self {
        let members: Vec<Value> = servers
            .iter()
            .enumerate()
            .map(|(number, address)| member(&format!("s{number}"), *address, "active"))
            .collect();
        let mut config = config(&members);
        config["limits"] = json!({"sockets": 512, "memory_mb": MEMORY_MB});
        for class in config["settings"]["classes"].as_array_mut().expect("a list") {
            (class["deadline_ms"], class["promise_ms"]) =
                (json!(LONGEST_DEADLINE.as_millis() as f64), json!(400.0));
        }
        config["settings"]["parties"][0]["quota_per_s"] = json!(10_000.0);
        config["settings"]["allowed"]["dial_timeout_ms"] = json!(200.0);
        let ops = own_address();
        config["ops"] = json!(ops.to_string());
        let current = start_process(own_address(), &config, ops);
        Self { config, current, judge: Arc::clone(judge) }
    }

    fn address(&self) -> SocketAddr {
        self.current.address
    }

    /// Sends SIGHUP some times in quick succession.
    fn reload(&self, times: u64) {
        for _ in 0..times {
            self.current.send_sighup();
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Tells a process to end, twice, and kills it as early as the platform may.
    fn end_process(process: &mut Node, judge: &Judge) {
        judge.process_ends();
        let told_at = Instant::now();
        process.terminate();
        thread::sleep(Duration::from_millis(30));
        if process.is_running() {
            process.terminate();
        }
        while process.is_running() && told_at.elapsed() < LONGEST_DEADLINE + KILL_DELAY {
            thread::sleep(Duration::from_millis(5));
        }
        if process.is_running() {
            process.signal("-KILL");
        }
    }

    /// Replaces the process by a new one at the same address.
    fn replace(&mut self) {
        let new = start_process(self.address(), &self.config, own_address());
        let mut old = std::mem::replace(&mut self.current, new);
        Self::end_process(&mut old, &self.judge);
    }

    fn check(&mut self) {
        if !self.current.is_running() {
            self.judge.violation("the node has ended by itself".into());
        }
        let memory = self.current.anonymous_memory();
        if memory > MEMORY_MB << 20 {
            self.judge.violation(format!("{memory} bytes of memory, the limit is {MEMORY_MB} MB"));
        }
    }
}

/// Starts a process of the node at `address` and waits until it is ready.
fn start_process(address: SocketAddr, config: &Value, ops: SocketAddr) -> Node {
    let process = Node::spawn_at(address, config, ops, |command| {
        net::add_config_file(command, address, "[sources.catalog]\nready_within_ms = 1\n");
    });
    wait_until("the process is not ready", || is_ready(ops));
    process
}

/// Returns whether the process with this admin address can serve.
fn is_ready(ops: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(ops) else { return false };
    let mut answer = String::new();
    stream.write_all(b"readyz\n").is_ok()
        && std::io::Read::read_to_string(&mut stream, &mut answer).is_ok()
        && answer.starts_with("YES")
}

/// Connections that send nothing, half a head or half a body, and stay.
fn crowd(node: SocketAddr) -> Vec<TcpStream> {
    let text = request("pay", 0.8);
    let parts = ["", &text[..text.len() / 2], &text[..text.len() - 2]];
    let connect = |part: &str| {
        let mut stream = TcpStream::connect(node).ok()?;
        stream.write_all(part.as_bytes()).ok()?;
        Some(stream)
    };
    parts.iter().cycle().take(CROWD).filter_map(|part| connect(part)).collect()
}

/// Runs one seed and returns the rules that were broken.
fn run(seed: u64) -> Vec<String> {
    let mut random = fastrand::Rng::with_seed(seed);
    let judge = Arc::new(Judge::default());
    let servers: Vec<SocketAddr> =
        (0..SERVERS).map(|number| SoakServer::start(seed * 1_000 + number, &judge)).collect();
    let mut node = SoakNode::start(&servers, &judge);
    let has_crowd = random.u64(..3) == 0;
    judge.set_crowded(has_crowd);
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (judge, stop, address) = (Arc::clone(&judge), Arc::clone(&stop), node.address());
            thread::spawn(move || clients::run(seed * 1_000 + 500 + number, address, &judge, &stop))
        })
        .collect();
    let mut held = Vec::new();
    for _ in 0..3 {
        thread::sleep(Duration::from_millis(500 + random.u64(..1_000)));
        node.check();
        if has_crowd {
            held = crowd(node.address());
        }
        node.reload(random.u64(..4));
        if random.bool() {
            node.replace();
        }
    }
    thread::sleep(Duration::from_millis(500 + random.u64(..1_000)));
    node.check();
    SoakNode::end_process(&mut node.current, &judge);
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().expect("a client has failed"));
    drop(held);
    judge.verdict(seed)
}

/// Returns a number from the environment.
fn number_from(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |text| text.parse().expect("a number"))
}

#[test]
fn no_request_is_lost_or_run_twice_under_seeded_faults() {
    let (seeds, first) =
        (number_from("SPURDRUM_SOAK_SEEDS", DEFAULT_SEEDS), number_from("SPURDRUM_SOAK_FIRST", 1));
    let mut broken = Vec::new();
    for batch in (first..first + seeds).collect::<Vec<_>>().chunks(SEEDS_AT_ONCE as usize) {
        let runs: Vec<_> = batch
            .iter()
            .map(|seed| {
                (
                    *seed,
                    thread::spawn({
                        let seed = *seed;
                        move || run(seed)
                    }),
                )
            })
            .collect();
        for (seed, run) in runs {
            let found = run.join().expect("the run has failed");
            if !found.is_empty() {
                eprintln!("seed {seed}: {found:#?}");
                broken.push(seed);
            }
        }
    }
    assert!(broken.is_empty(), "rules were broken with these seeds: {broken:?}");
}
