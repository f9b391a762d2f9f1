//! The scenario file (TOML): the fleet, its load, and which faults occur when.

use std::path::{Path, PathBuf};

use serde::Deserialize;
use spurdrum_facts::file;
use spurdrum_load::plan::{Class, Effect};
use spurdrum_standin::scenario::{
    parse_checked, CatalogScript, Fault as ServerFault, InvalidKey, Scenario as Servers, Spec,
};

/// Maximum number of nodes: each node is a process and has its own address in 127.0.0.0/8.
const MAX_NODES: usize = 16_384;

/// A fleet, its load and its faults.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Seed of arrivals, service times and the targets of faults.
    #[serde(default = "one_seed")]
    pub seed: u64,
    /// Length of the run in seconds; the first fifth is a warm-up that the statistics leave out.
    pub for_s: f64,
    /// Number of nodes, each a process of the program.
    pub nodes: usize,
    /// Number of nodes that each node's configuration states; the real number by default.
    pub told: Option<usize>,
    /// Offered load as a fraction of the servers' total capacity.
    pub load: f64,
    /// How unevenly the load is spread over the nodes: the sigma of a lognormal distribution.
    #[serde(default = "sigma")]
    pub sigma: f64,
    /// The catalog that nodes follow; without it, each node's file contains the list of servers.
    #[serde(default)]
    pub catalog: Option<CatalogScript>,
    /// Groups of servers, in the format of `spurdrum-standin`.
    pub servers: Vec<Spec>,
    /// Faults of servers and of the catalog, in the format of `spurdrum-standin`.
    #[serde(default, rename = "server_fault")]
    pub server_faults: Vec<ServerFault>,
    /// Faults of nodes and links.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
    /// Classes of requests; one keyed class by default.
    #[serde(default = "update", rename = "class")]
    pub classes: Vec<Class>,
    /// Shares of the load that some nodes get, by start time. Before the first, and without any, only `sigma` spreads the load.
    #[serde(default, rename = "lean")]
    pub leans: Vec<Lean>,
    /// Whether nodes write traces of their choices and of the changes they learn; drains are then checked for each node.
    #[serde(default)]
    pub trace: bool,
    /// Further TOML for each node's file; `{folder}` stands for the node's own folder, `{disk}` for the file that tells the node
    /// which disk fault to simulate.
    #[serde(default)]
    pub settings: String,
    /// Time within which servers discard repeats of a keyed request, in milliseconds.
    #[serde(default = "window_ms")]
    pub window_ms: f64,
    /// Tolerance for delays of clocks, sockets and busy cores before a rule counts as broken, in seconds.
    #[serde(default = "slack")]
    pub slack_s: f64,
    /// Another build of the program that a part of the nodes runs.
    pub other: Option<Other>,
}

/// Another build of the program for some of the nodes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Other {
    /// Path of the build.
    pub program: PathBuf,
    /// Fraction of the nodes that run the build.
    pub part: f64,
}

/// The share of the load that some of the nodes get.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Lean {
    /// Start, in seconds; it lasts until the start of the next `lean`.
    #[serde(default)]
    pub at_s: f64,
    /// Fraction of the nodes, which are drawn anew for each `lean`; not used where `zone` is set.
    #[serde(default)]
    pub nodes: f64,
    /// Selects all nodes of this zone.
    pub zone: Option<String>,
    /// Share of the load that the selected nodes get together; the other nodes get the rest.
    pub share: f64,
}

/// A fault of nodes, or of their links to servers or the catalog.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// The kind of fault.
    pub kind: Kind,
    /// Fraction of the nodes that are affected, chosen at random.
    pub nodes: f64,
    /// Fraction of the servers that are affected by a fault of links or lists, chosen at random.
    #[serde(default = "whole")]
    pub servers: f64,
    /// Whether the links to the catalog are affected instead of those to servers.
    #[serde(default)]
    pub catalog: bool,
    /// Start of the fault, in seconds.
    pub at_s: f64,
    /// Duration in seconds; until the end of the run by default.
    pub for_s: Option<f64>,
    /// Added delay in milliseconds, for `delay` and `disk_slow`.
    #[serde(default)]
    pub delay_ms: u64,
}

/// Kinds of faults.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Hash)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Nodes are killed, and started again after `for_s`.
    Kill,
    /// Nodes are suspended (SIGSTOP), and resumed after `for_s`.
    Stop,
    /// Nodes are first started at `at_s`.
    Late,
    /// Nodes are killed, a torn (half-written) page is put into each of their files, and they are started again after `for_s`.
    Torn,
    /// After `for_s`, nodes are killed and started again with their files as of `at_s`.
    Older,
    /// The nodes' disks are full.
    DiskFull,
    /// Each write and each sync on the nodes' disks takes `delay_ms` longer.
    DiskSlow,
    /// Each sync on the nodes' disks fails.
    DiskUnsynced,
    /// The nodes' disks report success but lose all writes; after `for_s`, nodes are killed and started with what is left.
    DiskForgets,
    /// The affected servers are missing from the nodes' lists.
    Lists,
    /// Connections are reset, and new ones are closed on arrival.
    Cut,
    /// Connections stay open and new ones are accepted, but no bytes are forwarded.
    Stall,
    /// Bytes towards the servers are forwarded, bytes towards the nodes are not.
    OneWay,
    /// All bytes are delayed by `delay_ms`.
    Delay,
    /// All connections are reset once, at `at_s`; new ones can be opened at once.
    Reset,
}

impl Kind {
    /// Returns whether the fault affects links and not processes.
    #[must_use]
    pub fn affects_links(self) -> bool {
        matches!(self, Self::Cut | Self::Stall | Self::OneWay | Self::Delay | Self::Reset)
    }

    /// Returns the text for the file that controls a node's simulated disk, where the fault affects disks.
    #[must_use]
    pub fn disk_instruction(self, delay_ms: u64) -> Option<String> {
        match self {
            Self::DiskFull => Some("full".into()),
            Self::DiskSlow => Some(format!("slow {delay_ms}")),
            Self::DiskUnsynced => Some("unsynced".into()),
            Self::DiskForgets => Some("forgets".into()),
            _ => None,
        }
    }
}

fn one_seed() -> u64 {
    1
}

fn sigma() -> f64 {
    0.8
}

fn window_ms() -> f64 {
    500.0
}

fn slack() -> f64 {
    0.1
}

fn whole() -> f64 {
    1.0
}

fn update() -> Vec<Class> {
    let (name, effect) = ("update".into(), Effect::Keyed);
    vec![Class { name, share: 1.0, effect, latency_objective_s: 0.4, deadline_s: 0.8, bytes: (200, 200) }]
}

impl Scenario {
    /// Reads a scenario. The error names the file, the line and the key.
    pub fn read(path: &Path) -> Result<Self, String> {
        file::read(path, Self::parse)
    }

    /// Reads a scenario's text. The error begins with the line.
    pub fn parse(text: &str) -> Result<Self, String> {
        parse_checked(text, Self::check)
    }

    /// Checks the values; an error names the key and what is wrong with it.
    fn check(&self) -> Result<(), InvalidKey> {
        let is_fraction = |x: f64| (0.0..=1.0).contains(&x);
        if self.nodes == 0 || self.nodes > MAX_NODES || self.told == Some(0) {
            return Err(("nodes", 0, format!("{} nodes: must be between 1 and {MAX_NODES}", self.nodes)));
        }
        if !(self.for_s > 0.0 && self.for_s <= 86_400.0) {
            return Err(("for_s", 0, "must be above 0 and at most a day".into()));
        }
        if !(self.load > 0.0 && self.load <= 10.0 && (0.0..=3.0).contains(&self.sigma)) {
            return Err(("load", 0, "`load` must be above 0 and at most 10, `sigma` between 0 and 3".into()));
        }
        if self.servers.iter().map(|spec| spec.count).sum::<usize>() == 0 || self.classes.is_empty() {
            return Err(("servers", 0, "there must be at least one server and one class".into()));
        }
        for fault in &self.faults {
            let valid_times = fault.at_s >= 0.0 && fault.for_s.is_none_or(|s| s > 0.0);
            if !(valid_times && is_fraction(fault.nodes) && is_fraction(fault.servers)) {
                return Err((
                    "at_s",
                    0,
                    "times must be above 0, `nodes` and `servers` between 0 and 1".into(),
                ));
            }
            if matches!(fault.kind, Kind::Older | Kind::DiskForgets) && fault.for_s.is_none() {
                return Err(("kind", 0, "kinds `older` and `disk_forgets` need `for_s`".into()));
            }
            if fault.kind.disk_instruction(0).is_some() && !self.settings.contains("{disk}") {
                return Err((
                    "kind",
                    0,
                    "disk faults need `{disk}` in `settings`: the file that tells the node which disk fault to simulate".into(),
                ));
            }
            if fault.kind == Kind::Lists && self.catalog.is_some() {
                return Err(("kind", 0, "kind `lists` needs a scenario without a catalog, where the lists are in the nodes' files".into()));
            }
            if fault.kind.affects_links() && self.catalog.is_some() != fault.catalog {
                let why = "without a catalog, faults of links affect the links to servers; with one, they need `catalog = true`";
                return Err(("kind", 0, why.into()));
            }
        }
        let zones = self.zones();
        for lean in &self.leans {
            if !(lean.at_s >= 0.0 && is_fraction(lean.nodes) && is_fraction(lean.share)) {
                return Err((
                    "share",
                    0,
                    "times must be above 0, `nodes` and `share` between 0 and 1".into(),
                ));
            }
            if lean.zone.as_ref().is_some_and(|zone| !zones.contains(&zone.as_str())) {
                return Err(("zone", 0, "no server is in this zone".into()));
            }
        }
        if self.other.as_ref().is_some_and(|other| !is_fraction(other.part)) {
            return Err(("part", 0, "must be between 0 and 1".into()));
        }
        Ok(())
    }

    /// Returns the zone of a node; zones are assigned round robin.
    #[must_use]
    pub fn zone_of(&self, node: usize) -> &str {
        let zones = self.zones();
        zones[node % zones.len()]
    }

    /// Returns the distinct zones of the servers.
    #[must_use]
    pub fn zones(&self) -> Vec<&str> {
        let mut zones: Vec<&str> = self.servers.iter().map(|spec| spec.zone.as_str()).collect();
        zones.sort_unstable();
        zones.dedup();
        zones
    }

    /// Returns the scenario of the stand-in servers.
    #[must_use]
    pub fn standins(&self) -> Servers {
        Servers {
            seed: self.seed,
            track: 1 << 22,
            log: 1 << 22,
            groups: self.servers.clone(),
            catalog: self.catalog.clone().unwrap_or_default(),
            faults: self.server_faults.clone(),
        }
    }

    /// Returns the total capacity of the servers, in requests per second.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        self.servers
            .iter()
            .map(|spec| spec.count as f64 * workers(spec) as f64 * spec.speed * 1000.0 / spec.work_ms)
            .sum()
    }

    /// Returns the group that a server belongs to by its name, also for a server that replaces another.
    #[must_use]
    pub fn spec_of(&self, server: &str) -> Option<&Spec> {
        let has_prefix = |spec: &&Spec| {
            server
                .strip_prefix(spec.name.as_str())
                .is_some_and(|rest| rest.starts_with(|c: char| c.is_ascii_digit()))
        };
        self.servers.iter().find(has_prefix)
    }
}

/// Returns how many requests a server works on concurrently at full speed.
#[must_use]
pub fn workers(spec: &Spec) -> usize {
    spec.slots.min(spec.cores as usize).max(1)
}
