//! Plays a scenario with real processes.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use spurdrum_standin::scenario::{Fault as ServerFault, FaultKind};
use spurdrum_standin::{Fleet, Tally};
use spurdrum_trace::{ServerState, TraceEvent, TraceRecord};

use crate::addresses::{address, free};
use crate::clients;
use crate::disks;
use crate::files::{node_part, shared_part};
use crate::history::{
    AvailabilityNotice, History, ImpairedLinks, NodeOutage, RequestRecord, Server, ServerAttempt,
    ServerChoice, SlowStart,
};
use crate::links::{Relay, Relays};
use crate::process::{Node, NodeSpec};
use crate::scenario::{workers, Fault, Kind, Scenario};
use crate::schedule::{Schedule, Step};

/// Servers are listening for so long before the run begins, and for so much longer for each node, in seconds.
const LEAD: (f64, f64) = (2.0, 0.03);
/// What a node's trace may take up, in MiB.
const TRACE_MB: u64 = 16;

/// What a run needs beside its scenario.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program.
    pub program: PathBuf,
    /// Where files and logs are kept while it runs; a folder of its own is made there, and removed after.
    pub folder: PathBuf,
    /// Whether the folder stays.
    pub keep: bool,
    /// Told where clients connect, when all nodes are ready.
    pub playing: Option<fn(&[SocketAddr])>,
}

impl Options {
    /// With this program, in the system's folder for such files, of which nothing stays.
    #[must_use]
    pub fn new(program: PathBuf) -> Self {
        Self { program, folder: std::env::temp_dir(), keep: false, playing: None }
    }
}

/// Plays it. Returns when all processes have ended.
pub fn run(scenario: &Scenario, options: &Options) -> Result<History, String> {
    let lead = LEAD.0 + LEAD.1 * scenario.nodes as f64;
    let mut standins = scenario.standins();
    // Their script counts from their own start.
    standins.faults.iter_mut().for_each(|fault| fault.at_s += lead);
    let fleet = Fleet::start(&standins)?;
    let servers: Vec<(String, SocketAddr)> =
        fleet.servers.iter().map(|(name, at)| (name.clone(), *at)).collect();
    let schedule = Schedule::new(scenario, servers.len());
    let mut links_to = servers.clone();
    links_to.push(("catalog".into(), fleet.catalog));
    let links = Links::start(scenario, &schedule, &links_to)?;
    let folder = Folder::make(options)?;
    let mut world = World {
        scenario,
        servers: servers.iter().map(|(name, _)| name.clone()).collect(),
        starts: Vec::new(),
        files: Vec::new(),
        nodes: Vec::new(),
        links,
        away: Vec::new(),
        copies: HashMap::new(),
    };
    for me in 0..scenario.nodes {
        let start = world.prepare(me, &folder.path, options, &fleet, &servers)?;
        world.starts.push(start);
    }
    let late = schedule.late(scenario);
    for (me, start) in world.starts.iter().enumerate() {
        let node = if late.contains(&me) { None } else { Some(start.start()?) };
        world.nodes.push(node);
    }
    for (start, node) in world.starts.iter().zip(&mut world.nodes) {
        if let Some(node) = node {
            start.wait_until_ready(node)?;
        }
    }
    if fleet.elapsed().as_secs_f64() > lead {
        return Err(format!(
            "{} nodes were not ready after {lead:.1} s: is the machine too small for them?",
            scenario.nodes
        ));
    }
    std::thread::sleep(Duration::from_secs_f64(lead).saturating_sub(fleet.elapsed()));
    let begins = fleet.elapsed().as_secs_f64();
    let start = Instant::now();
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let began_ms = unix.map_err(|error| format!("the clock: {error}"))?.as_secs_f64() * 1000.0;
    let nodes: Vec<SocketAddr> = world.starts.iter().map(|start| start.listen).collect();
    if let Some(playing) = options.playing {
        playing(&nodes);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let clients = clients::start(scenario, &nodes, start, &stop);
    let played = world.play(&schedule, start);
    // Where the script failed, nobody is to ask on: the next run has the same addresses.
    stop.store(played.is_err(), Ordering::Relaxed);
    let asked = clients::gather(clients)?;
    played?;
    let telemetry = world.telemetry();
    let traces: Vec<PathBuf> = world.starts.iter().map(|start| start.trace.clone()).collect();
    let away = world.end(&schedule)?;
    let mut history = history(scenario, &fleet.tally(), begins, asked, away, telemetry);
    if scenario.trace {
        traced(&mut history, &traces, began_ms)?;
    }
    history.impaired_links = blind(scenario, &schedule, &servers, &history);
    Ok(history)
}

/// A run's folder.
pub struct Folder {
    /// Where it is.
    pub path: PathBuf,
    keep: bool,
}

impl Folder {
    /// Makes it.
    pub fn make(options: &Options) -> Result<Self, String> {
        let path = options.folder.join(format!("spurdrum-fleet-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).map_err(|error| format!("{}: {error}", path.display()))?;
        Ok(Self { path, keep: options.keep })
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if !self.keep {
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}

struct World<'a> {
    scenario: &'a Scenario,
    servers: Vec<String>,
    starts: Vec<NodeSpec>,
    /// The nodes' files as they were at first.
    files: Vec<String>,
    nodes: Vec<Option<Node>>,
    links: Links,
    /// Stretches without a node; one that lasts has no end yet.
    away: Vec<NodeOutage>,
    /// Older copies of files, by fault and node.
    copies: HashMap<(usize, usize), disks::Copy>,
}

impl World<'_> {
    /// Writes a node's file.
    fn prepare(
        &mut self,
        me: usize,
        folder: &Path,
        options: &Options,
        fleet: &Fleet,
        servers: &[(String, SocketAddr)],
    ) -> Result<NodeSpec, String> {
        let scenario = self.scenario;
        let (on, name) = (address(me + 1)?, format!("n{me}"));
        let listen = free(on, 0)?;
        let ops = free(on, listen.port())?;
        let mut file = node_part(scenario, me, listen);
        let _ = writeln!(file, "ops = \"{ops}\"");
        let catalog = self.links.before(me, servers.len()).unwrap_or(fleet.catalog);
        let at = |n: usize| self.links.before(me, n).unwrap_or(servers[n].1);
        file.push_str(&shared_part(scenario, catalog, servers, at));
        let own = folder.join(&name);
        let (trace, disk) = (folder.join(format!("{name}.trace")), folder.join(format!("{name}.disk")));
        let settings = scenario.settings.replace("{folder}", &own.display().to_string());
        file.push_str(&settings.replace("{disk}", &disk.display().to_string()));
        if scenario.trace {
            let _ = write!(file, "\n[trace]\npath = \"{}\"\nmost_mb = {TRACE_MB}\n", trace.display());
        }
        let path = folder.join(format!("{name}.toml"));
        std::fs::write(&path, &file).map_err(|error| format!("{}: {error}", path.display()))?;
        self.files.push(file);
        std::fs::create_dir_all(&own).map_err(|error| format!("{}: {error}", own.display()))?;
        let other = scenario.other.as_ref().filter(|other| (me as f64) < other.part * scenario.nodes as f64);
        let program = other.map_or(&options.program, |other| &other.program).clone();
        Ok(NodeSpec {
            name: name.clone(),
            program,
            file: path,
            listen,
            ops,
            log: folder.join(format!("{name}.log")),
            trace,
            disk,
            folder: own,
        })
    }

    /// Carries out the script.
    fn play(&mut self, schedule: &Schedule, start: Instant) -> Result<(), String> {
        for step in &schedule.steps {
            if step.at_s > self.scenario.for_s {
                break;
            }
            let at = start + Duration::from_secs_f64(step.at_s);
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            self.step(step, schedule, start)?;
        }
        let end = start + Duration::from_secs_f64(self.scenario.for_s);
        std::thread::sleep(end.saturating_duration_since(Instant::now()));
        Ok(())
    }

    fn step(&mut self, step: &Step, schedule: &Schedule, start: Instant) -> Result<(), String> {
        let fault = &self.scenario.faults[step.fault];
        let nodes = &schedule.targets[step.fault].0;
        match (fault.kind, step.begins) {
            (Kind::Kill | Kind::Torn, true) => {
                self.kill(nodes, start);
                if fault.kind == Kind::Torn {
                    let mut rng = fastrand::Rng::with_seed(self.scenario.seed ^ step.fault as u64);
                    for me in nodes {
                        disks::tear(&self.starts[*me].folder, &mut rng).map_err(|e| self.spoilt(*me, &e))?;
                    }
                }
            }
            (Kind::Older, true) => {
                for me in nodes {
                    // Nothing is written while it is copied.
                    self.nodes[*me].iter().for_each(Node::pause);
                    let copy = disks::Copy::take(&self.starts[*me].folder);
                    self.nodes[*me].iter().for_each(Node::resume);
                    let copy = copy.map_err(|error| self.spoilt(*me, &error))?;
                    self.copies.insert((step.fault, *me), copy);
                }
            }
            (Kind::Older, false) => {
                self.kill(nodes, start);
                for me in nodes {
                    if let Some(copy) = self.copies.remove(&(step.fault, *me)) {
                        copy.put(&self.starts[*me].folder).map_err(|error| self.spoilt(*me, &error))?;
                    }
                }
                self.start_again(nodes, start)?;
            }
            (Kind::Stop, true) => nodes.iter().for_each(|me| {
                self.nodes[*me].iter().for_each(Node::pause);
                self.leaves(*me, start);
            }),
            (Kind::Stop, false) => nodes.iter().for_each(|me| {
                self.nodes[*me].iter().for_each(Node::resume);
                self.returns(*me, start);
            }),
            (Kind::Kill | Kind::Torn, false) | (Kind::Late, true) => self.start_again(nodes, start)?,
            (Kind::Late, false) => {}
            (Kind::DiskFull | Kind::DiskSlow | Kind::DiskUnsynced | Kind::DiskForgets, begins) => {
                let forgets = fault.kind == Kind::DiskForgets && !begins;
                if forgets {
                    self.kill(nodes, start);
                }
                let says = fault.kind.disk_instruction(fault.delay_ms).filter(|_| begins).unwrap_or_default();
                for me in nodes {
                    std::fs::write(&self.starts[*me].disk, &says)
                        .map_err(|error| self.spoilt(*me, &error))?;
                }
                if forgets {
                    self.start_again(nodes, start)?;
                }
            }
            (Kind::Lists, begins) => {
                let missing = &schedule.targets[step.fault].1;
                for me in nodes {
                    let lacks = if begins { &missing[..] } else { &[] };
                    self.list(*me, lacks).map_err(|error| self.spoilt(*me, &error))?;
                    self.nodes[*me].iter().for_each(Node::reload);
                }
            }
            _ => self.links.relays.step(
                step.fault,
                fault.kind,
                step.begins,
                Duration::from_millis(fault.delay_ms),
            ),
        }
        Ok(())
    }

    /// Writes a node's file anew, without these servers.
    fn list(&self, me: usize, lacks: &[usize]) -> std::io::Result<()> {
        let lines = self.files[me].lines().filter(|line| {
            lacks.iter().all(|server| !line.starts_with(&format!("{{ id = {:?},", self.servers[*server])))
        });
        std::fs::write(&self.starts[me].file, lines.collect::<Vec<_>>().join("\n"))
    }

    fn kill(&mut self, nodes: &[usize], start: Instant) {
        for me in nodes {
            self.nodes[*me] = None;
            self.leaves(*me, start);
        }
    }

    fn leaves(&mut self, me: usize, start: Instant) {
        self.away.push(NodeOutage { node: me, from: start.elapsed().as_secs_f64(), to: f64::INFINITY });
    }

    /// A node that was never there does not return: it comes.
    fn returns(&mut self, me: usize, start: Instant) {
        let open = |away: &&mut NodeOutage| away.node == me && away.to == f64::INFINITY;
        if let Some(away) = self.away.iter_mut().find(open) {
            away.to = start.elapsed().as_secs_f64();
        }
    }

    fn start_again(&mut self, nodes: &[usize], start: Instant) -> Result<(), String> {
        for me in nodes {
            if self.nodes[*me].is_none() {
                self.nodes[*me] = Some(self.starts[*me].start()?);
            }
        }
        for me in nodes {
            if let Some(node) = &mut self.nodes[*me] {
                self.starts[*me].wait_until_ready(node)?;
            }
            self.returns(*me, start);
        }
        Ok(())
    }

    fn spoilt(&self, me: usize, error: &std::io::Error) -> String {
        format!("{}: {error}", self.starts[me].folder.display())
    }

    fn telemetry(&self) -> BTreeMap<String, u64> {
        let mut sums = BTreeMap::new();
        let running = self.starts.iter().zip(&self.nodes).filter(|(_, node)| node.is_some());
        for told in running.filter_map(|(start, _)| start.telemetry()) {
            for name in ["backend_calls", "hosts_down", "inflight"] {
                *sums.entry(name.to_owned()).or_insert(0) += told[name].as_u64().unwrap_or_default();
            }
            *sums.entry("nodes".to_owned()).or_insert(0) += 1;
        }
        sums
    }

    /// Ends all processes. An error names one that had ended by itself.
    fn end(mut self, schedule: &Schedule) -> Result<Vec<NodeOutage>, String> {
        let late = schedule.late(self.scenario);
        for (me, node) in self.nodes.iter_mut().enumerate() {
            if node.as_mut().is_some_and(Node::has_exited) && !late.contains(&me) {
                let log = std::fs::read_to_string(&self.starts[me].log).unwrap_or_default();
                let last = log.lines().last().unwrap_or_default();
                return Err(format!("{} ended by itself; its log ends: {last}", self.starts[me].name));
            }
        }
        Ok(self.away)
    }
}

/// The links of a run.
struct Links {
    targets: Vec<(Vec<usize>, Vec<usize>)>,
    relays: Relays,
}

impl Links {
    fn start(
        scenario: &Scenario,
        schedule: &Schedule,
        servers: &[(String, SocketAddr)],
    ) -> Result<Self, String> {
        let of_links =
            |(fault, targets): (&Fault, &(Vec<usize>, Vec<usize>))| match fault.kind.affects_links() {
                true => targets.clone(),
                false => Default::default(),
            };
        let targets = scenario.faults.iter().zip(&schedule.targets).map(of_links).collect();
        let mut links = Self { targets, relays: Relays::default() };
        let pairs = (0..scenario.nodes).flat_map(|node| (0..servers.len()).map(move |server| (node, server)));
        let wanted: BTreeSet<Relay> = pairs
            .map(|(node, server)| (server, links.faults(node, server)))
            .filter(|(_, faults)| !faults.is_empty())
            .collect();
        let wanted = wanted.into_iter().map(|relay| (relay.clone(), servers[relay.0].1));
        links.relays = Relays::start(address(0)?, wanted);
        Ok(links)
    }

    /// The faults that befall the link between a node and a server.
    fn faults(&self, node: usize, server: usize) -> Vec<usize> {
        let met = |fault: &usize| {
            let (nodes, servers) = &self.targets[*fault];
            servers.contains(&server) && nodes.contains(&node)
        };
        (0..self.targets.len()).filter(met).collect()
    }

    /// The relay that stands between a node and a server.
    fn before(&self, node: usize, server: usize) -> Option<SocketAddr> {
        self.relays.at(&(server, self.faults(node, server)))
    }
}

/// Links that are held up: what their servers see of a close is late, or nothing.
fn blind(
    scenario: &Scenario,
    schedule: &Schedule,
    servers: &[(String, SocketAddr)],
    history: &History,
) -> Vec<ImpairedLinks> {
    let held = scenario.faults.iter().zip(&schedule.targets).filter(|(fault, _)| {
        matches!(fault.kind, Kind::Stall | Kind::Delay | Kind::OneWay) && !fault.catalog
    });
    let place = |server: &usize| {
        history.servers.iter().position(|seen| Some(&seen.name) == servers.get(*server).map(|s| &s.0))
    };
    held.map(|(fault, (nodes, target_servers))| ImpairedLinks {
        nodes: nodes.clone(),
        servers: target_servers.iter().filter_map(place).collect(),
        from: fault.at_s,
        to: fault.for_s.map_or(scenario.for_s, |s| fault.at_s + s),
    })
    .collect()
}

/// From when discovery can be asked for a change that it has from this time on: it may be away, or say nothing, then.
fn asked_from(scenario: &Scenario, at: f64) -> f64 {
    let away = |fault: &&ServerFault| {
        matches!(fault.kind, FaultKind::Outage | FaultKind::Hang) && fault.part >= 1.0 && fault.at_s <= at
    };
    let ends = |fault: &ServerFault| fault.for_s.map_or(f64::INFINITY, |s| fault.at_s + s);
    scenario.server_faults.iter().filter(away).map(ends).fold(at, f64::max)
}

/// From when until when a server is there: one that replaces another has the fault's place at the end of its name.
fn lifetime(scenario: &Scenario, name: &str) -> (f64, f64) {
    let replaced = |fault: &&ServerFault| fault.kind == FaultKind::Replace;
    let by = name.rsplit_once('-').and_then(|(_, n)| n.parse::<usize>().ok());
    let from = by.and_then(|n| scenario.server_faults.get(n)).filter(replaced);
    let to = scenario.server_faults.iter().filter(|fault| fault.on == name).find(replaced);
    (from.map_or(0.0, |fault| fault.at_s), to.map_or(f64::MAX, |fault| fault.at_s))
}

/// Adds what nodes noted, in the run's time: they share a clock with the rig.
fn traced(history: &mut History, traces: &[PathBuf], began_ms: f64) -> Result<(), String> {
    let places: HashMap<String, usize> =
        history.servers.iter().enumerate().map(|(n, server)| (server.name.clone(), n)).collect();
    for (node, path) in traces.iter().enumerate() {
        let lines = spurdrum_trace::read(path).map_err(|error| format!("{}: {error}", path.display()))?;
        for TraceRecord { at, seen } in lines {
            let at = (at - began_ms) / 1000.0;
            match seen {
                TraceEvent::ServerChanged { server, state } => {
                    history.notices.extend(places.get(&server).map(|server| AvailabilityNotice {
                        node,
                        server: *server,
                        at,
                        ready: state == ServerState::Ready,
                    }))
                }
                TraceEvent::Placed { id, server, .. } => {
                    let id = u64::from_str_radix(&id, 16).ok();
                    let chosen = id.zip(places.get(&server));
                    history.choices.extend(chosen.map(|(id, server)| ServerChoice {
                        node,
                        id,
                        server: *server,
                        at,
                    }));
                }
                TraceEvent::Lost { lines } => history.lost_trace_lines = history.lost_trace_lines.max(lines),
                _ => {}
            }
        }
    }
    history.notices.sort_by(|a, b| a.at.total_cmp(&b.at));
    history.choices.sort_by(|a, b| a.at.total_cmp(&b.at));
    Ok(())
}

/// Joins what all saw.
pub fn history(
    scenario: &Scenario,
    tally: &Tally,
    begins: f64,
    requests: Vec<RequestRecord>,
    outages: Vec<NodeOutage>,
    telemetry: BTreeMap<String, u64>,
) -> History {
    let names: Vec<&String> = tally.servers().keys().collect();
    let delay = scenario.catalog.as_ref().map_or(0.0, |script| script.delay_ms as f64 / 1000.0);
    let server = |name: &&String| {
        let (spec, lifetime) = (scenario.spec_of(name), lifetime(scenario, name));
        let of = scenario.server_faults.iter().filter(|fault| fault.on == **name);
        let drains = of.clone().filter(|fault| matches!(fault.kind, FaultKind::Drain | FaultKind::Replace));
        let still =
            of.filter(|fault| matches!(fault.kind, FaultKind::Pause | FaultKind::Die | FaultKind::Silent));
        Server {
            name: (*name).clone(),
            workers: spec.map_or(1, workers),
            service_s: spec.map_or(1.0, |spec| spec.work_ms / 1000.0 / spec.speed),
            drains_at: drains.map(|fault| asked_from(scenario, fault.at_s + delay)).reduce(f64::min),
            slow_start: spec.filter(|_| lifetime.0 > 0.0).map(|spec| SlowStart {
                rate: workers(spec) as f64 * spec.speed * 1000.0 / spec.work_ms,
                initial_share: spec.cold_from,
                duration: spec.cold_s,
                collapse_multiple: spec.fall_multiple,
                collapse_window: spec.fall_s,
            }),
            unavailable: still.map(|fault| (fault.at_s, fault.at_s + fault.for_s.unwrap_or(1e9))).collect(),
            lifetime,
        }
    };
    let servers: Vec<Server> = names.iter().map(server).collect();
    let at = |time: Duration| time.as_secs_f64() - begins;
    let attempts = tally.log().iter().filter_map(|work| {
        let id = u64::from_str_radix(&work.id, 16).ok()?;
        let server = names.binary_search(&&work.server).ok()?;
        Some(ServerAttempt { id, server, begun: at(work.begun), ended: work.ended.map(at) })
    });
    let length = scenario.for_s;
    let of_nodes = scenario.faults.iter().map(|fault| (fault.at_s, fault.for_s));
    let of_servers = scenario.server_faults.iter().map(|fault| (fault.at_s, fault.for_s));
    let faults = of_nodes.chain(of_servers).map(|(at, s)| (at, s.map_or(length, |s| at + s))).collect();
    History {
        length,
        requests,
        attempts: attempts.collect(),
        servers,
        outages,
        faults,
        connections: tally.servers().values().map(|seen| seen.connections).sum(),
        unlogged_attempts: tally.unlogged(),
        telemetry,
        dedup_window: scenario.window_ms / 1000.0,
        slack: scenario.slack_s,
        ..History::default()
    }
}
