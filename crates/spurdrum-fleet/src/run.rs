//! Runs a scenario with real processes and joins what clients, servers and nodes observed.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use spurdrum_standin::scenario::{Fault as ServerFault, FaultKind};
use spurdrum_standin::{Counters, Fleet};
use spurdrum_trace::{ServerState, TraceEvent, TraceRecord};

use crate::addresses::{address, free};
use crate::clients;
use crate::disks;
use crate::files::{node_part, shared_part};
use crate::history::{
    AvailabilityNotice, History, ImpairedLinks, NodeOutage, RequestRecord, Server, ServerAttempt,
    ServerChoice, SlowStart,
};
use crate::links::{RelayKey, Relays};
use crate::process::{Node, NodeSpec};
use crate::scenario::{workers, Fault, Kind, Scenario};
use crate::schedule::{Schedule, Step};

/// Time between the start of the servers and the start of the run, in which the nodes start: a fixed part, and a part for each
/// node, in seconds.
const STARTUP_LEAD: (f64, f64) = (2.0, 0.03);
/// Maximum size of a node's trace, in MiB.
const MAX_TRACE_MB: u64 = 16;

/// Options of a run that are not part of its scenario.
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the program that the nodes run.
    pub program: PathBuf,
    /// Parent folder for the files and logs of the run, which get a folder of their own that is removed afterwards.
    pub folder: PathBuf,
    /// Whether the run's folder is kept.
    pub keep: bool,
    /// Called with the nodes' addresses for clients when all nodes are ready.
    pub on_start: Option<fn(&[SocketAddr])>,
}

impl Options {
    /// Returns options for this program, with a temporary folder that is not kept.
    #[must_use]
    pub fn new(program: PathBuf) -> Self {
        Self { program, folder: std::env::temp_dir(), keep: false, on_start: None }
    }
}

/// Runs a scenario, and returns its history when all processes have ended.
pub fn run(scenario: &Scenario, options: &Options) -> Result<History, String> {
    let lead = STARTUP_LEAD.0 + STARTUP_LEAD.1 * scenario.nodes as f64;
    let mut standins = scenario.standins();
    // The stand-ins count the times of their faults from their own start, which is `lead` earlier than the run's.
    standins.faults.iter_mut().for_each(|fault| fault.at_s += lead);
    let fleet = Fleet::start(&standins)?;
    let servers: Vec<(String, SocketAddr)> =
        fleet.servers.iter().map(|(name, at)| (name.clone(), *at)).collect();
    let schedule = Schedule::new(scenario, servers.len());
    let mut link_targets = servers.clone();
    link_targets.push(("catalog".into(), fleet.catalog));
    let links = Links::start(scenario, &schedule, &link_targets)?;
    let folder = Folder::make(options)?;
    let mut running = RunningFleet {
        scenario,
        servers: servers.iter().map(|(name, _)| name.clone()).collect(),
        specs: Vec::new(),
        files: Vec::new(),
        nodes: Vec::new(),
        links,
        outages: Vec::new(),
        copies: HashMap::new(),
    };
    for index in 0..scenario.nodes {
        let spec = running.prepare(index, &folder.path, options, &fleet, &servers)?;
        running.specs.push(spec);
    }
    let late = schedule.late_nodes(scenario);
    for (index, spec) in running.specs.iter().enumerate() {
        let node = if late.contains(&index) { None } else { Some(spec.start()?) };
        running.nodes.push(node);
    }
    for (spec, node) in running.specs.iter().zip(&mut running.nodes) {
        if let Some(node) = node {
            spec.wait_until_ready(node)?;
        }
    }
    if fleet.elapsed().as_secs_f64() > lead {
        return Err(format!(
            "{} nodes were not ready after {lead:.1} s: is the machine too small for them?",
            scenario.nodes
        ));
    }
    std::thread::sleep(Duration::from_secs_f64(lead).saturating_sub(fleet.elapsed()));
    let begins_at = fleet.elapsed().as_secs_f64();
    let start = Instant::now();
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let began_ms = unix.map_err(|error| format!("the clock is before 1970: {error}"))?.as_secs_f64() * 1000.0;
    let nodes: Vec<SocketAddr> = running.specs.iter().map(|spec| spec.listen).collect();
    if let Some(on_start) = options.on_start {
        on_start(&nodes);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let clients = clients::start(scenario, &nodes, start, &stop);
    let result = running.run_schedule(&schedule, start);
    // Where the schedule failed, clients must stop at once because the next run uses the same addresses.
    stop.store(result.is_err(), Ordering::Relaxed);
    let requests = clients::gather(clients)?;
    result?;
    let telemetry = running.telemetry();
    let traces: Vec<PathBuf> = running.specs.iter().map(|spec| spec.trace.clone()).collect();
    let outages = running.kill_all(&schedule)?;
    let mut history = history(scenario, &fleet.counters(), begins_at, requests, outages, telemetry);
    if scenario.trace {
        add_traces(&mut history, &traces, began_ms)?;
    }
    history.impaired_links = impaired_links(scenario, &schedule, &servers, &history);
    Ok(history)
}

/// The folder of a run's files; dropping it removes the folder unless it is to be kept.
pub struct Folder {
    /// Path of the folder.
    pub path: PathBuf,
    keep: bool,
}

impl Folder {
    /// Creates the folder, and first removes an older one of the same name.
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

/// The processes, files and links of a run.
struct RunningFleet<'a> {
    scenario: &'a Scenario,
    servers: Vec<String>,
    specs: Vec<NodeSpec>,
    /// The initial texts of the nodes' configuration files.
    files: Vec<String>,
    nodes: Vec<Option<Node>>,
    links: Links,
    /// Intervals in which nodes were killed or stopped; one that has not ended yet ends at infinity.
    outages: Vec<NodeOutage>,
    /// Earlier copies of nodes' files, by fault and node.
    copies: HashMap<(usize, usize), disks::Copy>,
}

impl RunningFleet<'_> {
    /// Chooses a node's addresses, and writes its configuration file.
    fn prepare(
        &mut self,
        index: usize,
        folder: &Path,
        options: &Options,
        fleet: &Fleet,
        servers: &[(String, SocketAddr)],
    ) -> Result<NodeSpec, String> {
        let scenario = self.scenario;
        let (host, name) = (address(index + 1)?, format!("n{index}"));
        let listen = free(host, 0)?;
        let ops = free(host, listen.port())?;
        let mut file = node_part(scenario, index, listen);
        let _ = writeln!(file, "ops = \"{ops}\"");
        let catalog = self.links.relay_address(index, servers.len()).unwrap_or(fleet.catalog);
        let at = |n: usize| self.links.relay_address(index, n).unwrap_or(servers[n].1);
        file.push_str(&shared_part(scenario, catalog, servers, at));
        let node_folder = folder.join(&name);
        let (trace, disk) = (folder.join(format!("{name}.trace")), folder.join(format!("{name}.disk")));
        let settings = scenario.settings.replace("{folder}", &node_folder.display().to_string());
        file.push_str(&settings.replace("{disk}", &disk.display().to_string()));
        if scenario.trace {
            let _ = write!(file, "\n[trace]\npath = \"{}\"\nmost_mb = {MAX_TRACE_MB}\n", trace.display());
        }
        let path = folder.join(format!("{name}.toml"));
        std::fs::write(&path, &file).map_err(|error| format!("{}: {error}", path.display()))?;
        self.files.push(file);
        std::fs::create_dir_all(&node_folder)
            .map_err(|error| format!("{}: {error}", node_folder.display()))?;
        let other =
            scenario.other.as_ref().filter(|other| (index as f64) < other.part * scenario.nodes as f64);
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
            folder: node_folder,
        })
    }

    /// Carries out the steps of the schedule at their times, and returns at the end of the run.
    fn run_schedule(&mut self, schedule: &Schedule, start: Instant) -> Result<(), String> {
        for step in &schedule.steps {
            if step.at_s > self.scenario.for_s {
                break;
            }
            let at = start + Duration::from_secs_f64(step.at_s);
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            self.execute(step, schedule, start)?;
        }
        let end = start + Duration::from_secs_f64(self.scenario.for_s);
        std::thread::sleep(end.saturating_duration_since(Instant::now()));
        Ok(())
    }

    /// Begins or ends one fault.
    fn execute(&mut self, step: &Step, schedule: &Schedule, start: Instant) -> Result<(), String> {
        let fault = &self.scenario.faults[step.fault];
        let nodes = &schedule.targets[step.fault].0;
        match (fault.kind, step.begins) {
            (Kind::Kill | Kind::Torn, true) => {
                self.kill(nodes, start);
                if fault.kind == Kind::Torn {
                    let mut rng = fastrand::Rng::with_seed(self.scenario.seed ^ step.fault as u64);
                    for index in nodes {
                        disks::tear(&self.specs[*index].folder, &mut rng)
                            .map_err(|e| self.disk_error(*index, &e))?;
                    }
                }
            }
            (Kind::Older, true) => {
                for index in nodes {
                    // The node is suspended, so that it writes nothing while its files are copied.
                    self.nodes[*index].iter().for_each(Node::pause);
                    let copy = disks::Copy::take(&self.specs[*index].folder);
                    self.nodes[*index].iter().for_each(Node::resume);
                    let copy = copy.map_err(|error| self.disk_error(*index, &error))?;
                    self.copies.insert((step.fault, *index), copy);
                }
            }
            (Kind::Older, false) => {
                self.kill(nodes, start);
                for index in nodes {
                    if let Some(copy) = self.copies.remove(&(step.fault, *index)) {
                        copy.restore(&self.specs[*index].folder)
                            .map_err(|error| self.disk_error(*index, &error))?;
                    }
                }
                self.restart(nodes, start)?;
            }
            (Kind::Stop, true) => nodes.iter().for_each(|index| {
                self.nodes[*index].iter().for_each(Node::pause);
                self.begin_outage(*index, start);
            }),
            (Kind::Stop, false) => nodes.iter().for_each(|index| {
                self.nodes[*index].iter().for_each(Node::resume);
                self.end_outage(*index, start);
            }),
            (Kind::Kill | Kind::Torn, false) | (Kind::Late, true) => self.restart(nodes, start)?,
            (Kind::Late, false) => {}
            (Kind::DiskFull | Kind::DiskSlow | Kind::DiskUnsynced | Kind::DiskForgets, begins) => {
                let forgets = fault.kind == Kind::DiskForgets && !begins;
                if forgets {
                    self.kill(nodes, start);
                }
                let instruction =
                    fault.kind.disk_instruction(fault.delay_ms).filter(|_| begins).unwrap_or_default();
                for index in nodes {
                    std::fs::write(&self.specs[*index].disk, &instruction)
                        .map_err(|error| self.disk_error(*index, &error))?;
                }
                if forgets {
                    self.restart(nodes, start)?;
                }
            }
            (Kind::Lists, begins) => {
                let targets = &schedule.targets[step.fault].1;
                for index in nodes {
                    let removed = if begins { &targets[..] } else { &[] };
                    self.write_list(*index, removed).map_err(|error| self.disk_error(*index, &error))?;
                    self.nodes[*index].iter().for_each(Node::reload);
                }
            }
            _ => self.links.relays.set_fault(
                step.fault,
                fault.kind,
                step.begins,
                Duration::from_millis(fault.delay_ms),
            ),
        }
        Ok(())
    }

    /// Writes a node's configuration file without these servers.
    fn write_list(&self, index: usize, missing: &[usize]) -> std::io::Result<()> {
        let lines = self.files[index].lines().filter(|line| {
            missing.iter().all(|server| !line.starts_with(&format!("{{ id = {:?},", self.servers[*server])))
        });
        std::fs::write(&self.specs[index].file, lines.collect::<Vec<_>>().join("\n"))
    }

    /// Kills nodes, and records the start of their outages.
    fn kill(&mut self, nodes: &[usize], start: Instant) {
        for index in nodes {
            self.nodes[*index] = None;
            self.begin_outage(*index, start);
        }
    }

    /// Records that a node can't answer from now on.
    fn begin_outage(&mut self, index: usize, start: Instant) {
        self.outages.push(NodeOutage { node: index, from: start.elapsed().as_secs_f64(), to: f64::INFINITY });
    }

    /// Records the end of a node's outage. A node that is started late has no outage.
    fn end_outage(&mut self, index: usize, start: Instant) {
        let open = |outage: &&mut NodeOutage| outage.node == index && outage.to == f64::INFINITY;
        if let Some(outage) = self.outages.iter_mut().find(open) {
            outage.to = start.elapsed().as_secs_f64();
        }
    }

    /// Starts those nodes that do not run, and waits until all of them are ready.
    fn restart(&mut self, nodes: &[usize], start: Instant) -> Result<(), String> {
        for index in nodes {
            if self.nodes[*index].is_none() {
                self.nodes[*index] = Some(self.specs[*index].start()?);
            }
        }
        for index in nodes {
            if let Some(node) = &mut self.nodes[*index] {
                self.specs[*index].wait_until_ready(node)?;
            }
            self.end_outage(*index, start);
        }
        Ok(())
    }

    /// Returns the message of an error on a node's files.
    fn disk_error(&self, index: usize, error: &std::io::Error) -> String {
        format!("{}: {error}", self.specs[index].folder.display())
    }

    /// Returns telemetry counters summed over the running nodes that answer, and their number.
    fn telemetry(&self) -> BTreeMap<String, u64> {
        let mut sums = BTreeMap::new();
        let running = self.specs.iter().zip(&self.nodes).filter(|(_, node)| node.is_some());
        for counters in running.filter_map(|(spec, _)| spec.telemetry()) {
            for name in ["backend_calls", "hosts_down", "inflight"] {
                *sums.entry(name.to_owned()).or_insert(0) += counters[name].as_u64().unwrap_or_default();
            }
            *sums.entry("nodes".to_owned()).or_insert(0) += 1;
        }
        sums
    }

    /// Kills all processes, and returns the nodes' outages. Fails where a node had exited by itself.
    fn kill_all(mut self, schedule: &Schedule) -> Result<Vec<NodeOutage>, String> {
        let late = schedule.late_nodes(self.scenario);
        for (index, node) in self.nodes.iter_mut().enumerate() {
            if node.as_mut().is_some_and(Node::has_exited) && !late.contains(&index) {
                let log = std::fs::read_to_string(&self.specs[index].log).unwrap_or_default();
                let last = log.lines().last().unwrap_or_default();
                return Err(format!(
                    "{} exited by itself; the last line of its log: {last}",
                    self.specs[index].name
                ));
            }
        }
        Ok(self.outages)
    }
}

/// The relays on the links of a run, by what affects them.
struct Links {
    targets: Vec<(Vec<usize>, Vec<usize>)>,
    relays: Relays,
}

impl Links {
    /// Starts a relay for each set of faults that affects the links to a server. Links that no fault affects are direct.
    fn start(
        scenario: &Scenario,
        schedule: &Schedule,
        servers: &[(String, SocketAddr)],
    ) -> Result<Self, String> {
        let link_targets =
            |(fault, targets): (&Fault, &(Vec<usize>, Vec<usize>))| match fault.kind.affects_links() {
                true => targets.clone(),
                false => Default::default(),
            };
        let targets = scenario.faults.iter().zip(&schedule.targets).map(link_targets).collect();
        let mut links = Self { targets, relays: Relays::default() };
        let pairs = (0..scenario.nodes).flat_map(|node| (0..servers.len()).map(move |server| (node, server)));
        let keys: BTreeSet<RelayKey> = pairs
            .map(|(node, server)| (server, links.faults(node, server)))
            .filter(|(_, faults)| !faults.is_empty())
            .collect();
        let relays = keys.into_iter().map(|relay| (relay.clone(), servers[relay.0].1));
        links.relays = Relays::start(address(0)?, relays);
        Ok(links)
    }

    /// Returns the faults that affect the link between a node and a server.
    fn faults(&self, node: usize, server: usize) -> Vec<usize> {
        let affects = |fault: &usize| {
            let (nodes, servers) = &self.targets[*fault];
            servers.contains(&server) && nodes.contains(&node)
        };
        (0..self.targets.len()).filter(affects).collect()
    }

    /// Returns the address of the relay between a node and a server, where a fault affects the link.
    fn relay_address(&self, node: usize, server: usize) -> Option<SocketAddr> {
        self.relays.address_of(&(server, self.faults(node, server)))
    }
}

/// Returns the links on which a fault delays or hides from the server that the node has closed the connection.
fn impaired_links(
    scenario: &Scenario,
    schedule: &Schedule,
    servers: &[(String, SocketAddr)],
    history: &History,
) -> Vec<ImpairedLinks> {
    let impairing = scenario.faults.iter().zip(&schedule.targets).filter(|(fault, _)| {
        matches!(fault.kind, Kind::Stall | Kind::Delay | Kind::OneWay) && !fault.catalog
    });
    let server_index = |server: &usize| {
        history.servers.iter().position(|seen| Some(&seen.name) == servers.get(*server).map(|s| &s.0))
    };
    impairing
        .map(|(fault, (nodes, target_servers))| ImpairedLinks {
            nodes: nodes.clone(),
            servers: target_servers.iter().filter_map(server_index).collect(),
            from: fault.at_s,
            to: fault.for_s.map_or(scenario.for_s, |s| fault.at_s + s),
        })
        .collect()
}

/// Returns when nodes can first read from discovery a change that is made at time `at`: later than `at` during a full outage of
/// discovery, or while it does not answer.
fn readable_from(scenario: &Scenario, at: f64) -> f64 {
    let unavailable = |fault: &&ServerFault| {
        matches!(fault.kind, FaultKind::Outage | FaultKind::Hang) && fault.part >= 1.0 && fault.at_s <= at
    };
    let ends = |fault: &ServerFault| fault.for_s.map_or(f64::INFINITY, |s| fault.at_s + s);
    scenario.server_faults.iter().filter(unavailable).map(ends).fold(at, f64::max)
}

/// Returns when a server appears and when it is removed. The name of a server that replaces another ends with the index of the
/// fault.
fn lifetime(scenario: &Scenario, name: &str) -> (f64, f64) {
    let replaced = |fault: &&ServerFault| fault.kind == FaultKind::Replace;
    let fault_index = name.rsplit_once('-').and_then(|(_, n)| n.parse::<usize>().ok());
    let from = fault_index.and_then(|n| scenario.server_faults.get(n)).filter(replaced);
    let to = scenario.server_faults.iter().filter(|fault| fault.on == name).find(replaced);
    (from.map_or(0.0, |fault| fault.at_s), to.map_or(f64::MAX, |fault| fault.at_s))
}

/// Adds the nodes' traces to the history, with times converted to the run's: the nodes share the clock of the rig.
fn add_traces(history: &mut History, traces: &[PathBuf], began_ms: f64) -> Result<(), String> {
    let indices: HashMap<String, usize> =
        history.servers.iter().enumerate().map(|(n, server)| (server.name.clone(), n)).collect();
    for (node, path) in traces.iter().enumerate() {
        let lines = spurdrum_trace::read(path).map_err(|error| format!("{}: {error}", path.display()))?;
        for TraceRecord { at, seen } in lines {
            let at = (at - began_ms) / 1000.0;
            match seen {
                TraceEvent::ServerChanged { server, state } => {
                    history.notices.extend(indices.get(&server).map(|server| AvailabilityNotice {
                        node,
                        server: *server,
                        at,
                        ready: state == ServerState::Ready,
                    }))
                }
                TraceEvent::Placed { id, server, .. } => {
                    let id = u64::from_str_radix(&id, 16).ok();
                    let choice = id.zip(indices.get(&server));
                    history.choices.extend(choice.map(|(id, server)| ServerChoice {
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

/// Joins the observations of clients, servers and nodes into a history.
pub fn history(
    scenario: &Scenario,
    tally: &Counters,
    begins_at: f64,
    requests: Vec<RequestRecord>,
    outages: Vec<NodeOutage>,
    telemetry: BTreeMap<String, u64>,
) -> History {
    let names: Vec<&String> = tally.servers().keys().collect();
    let delay = scenario.catalog.as_ref().map_or(0.0, |script| script.delay_ms as f64 / 1000.0);
    let server = |name: &&String| {
        let (spec, lifetime) = (scenario.spec_of(name), lifetime(scenario, name));
        let faults = scenario.server_faults.iter().filter(|fault| fault.on == **name);
        let drains =
            faults.clone().filter(|fault| matches!(fault.kind, FaultKind::Drain | FaultKind::Replace));
        let unavailable = faults
            .filter(|fault| matches!(fault.kind, FaultKind::Pause | FaultKind::Die | FaultKind::Silent));
        Server {
            name: (*name).clone(),
            workers: spec.map_or(1, workers),
            service_s: spec.map_or(1.0, |spec| spec.work_ms / 1000.0 / spec.speed),
            drains_at: drains.map(|fault| readable_from(scenario, fault.at_s + delay)).reduce(f64::min),
            slow_start: spec.filter(|_| lifetime.0 > 0.0).map(|spec| SlowStart {
                rate: workers(spec) as f64 * spec.speed * 1000.0 / spec.work_ms,
                initial_share: spec.cold_from,
                duration: spec.cold_s,
                collapse_multiple: spec.fall_multiple,
                collapse_window: spec.fall_s,
            }),
            unavailable: unavailable
                .map(|fault| (fault.at_s, fault.at_s + fault.for_s.unwrap_or(1e9)))
                .collect(),
            lifetime,
        }
    };
    let servers: Vec<Server> = names.iter().map(server).collect();
    let at = |time: Duration| time.as_secs_f64() - begins_at;
    let attempts = tally.log().iter().filter_map(|work| {
        let id = u64::from_str_radix(&work.id, 16).ok()?;
        let server = names.binary_search(&&work.server).ok()?;
        Some(ServerAttempt { id, server, begun: at(work.begun), ended: work.ended.map(at) })
    });
    let length = scenario.for_s;
    let node_faults = scenario.faults.iter().map(|fault| (fault.at_s, fault.for_s));
    let server_faults = scenario.server_faults.iter().map(|fault| (fault.at_s, fault.for_s));
    let faults = node_faults.chain(server_faults).map(|(at, s)| (at, s.map_or(length, |s| at + s))).collect();
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
