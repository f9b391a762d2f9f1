//! What a fleet is, what load comes and what breaks when, as a TOML file has it.

use std::path::{Path, PathBuf};

use serde::Deserialize;
use spurdrum_facts::file;
use spurdrum_load::plan::{Class, Effect};
use spurdrum_standin::scenario::{
    parse_checked, CatalogScript, Fault as ServerFault, Scenario as Servers, Spec, Wrong,
};

/// Nodes and servers at most: each node is a process, and addresses are dealt out in 127.0.0.0/8.
const NODES_MOST: usize = 16_384;

/// A fleet and its script.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Drives arrivals, work, and whom faults befall.
    #[serde(default = "one_seed")]
    pub seed: u64,
    /// Length in seconds; the first fifth is left out of the figures.
    pub for_s: f64,
    /// Nodes: processes of the program.
    pub nodes: usize,
    /// Nodes that each is told there are; as many as there are where it is left out.
    pub told: Option<usize>,
    /// Part of the servers' capacity that clients ask for.
    pub load: f64,
    /// How unevenly clients are dealt out to nodes: the sigma of a lognormal.
    #[serde(default = "sigma")]
    pub sigma: f64,
    /// Whether nodes follow the catalog; else the list stands in each node's file.
    #[serde(default)]
    pub catalog: Option<CatalogScript>,
    /// The servers, as `spurdrum-standin` has them.
    pub servers: Vec<Spec>,
    /// What befalls servers or the catalog, as `spurdrum-standin` has it.
    #[serde(default, rename = "server_fault")]
    pub server_faults: Vec<ServerFault>,
    /// What befalls nodes and links.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
    /// Kinds of requests; one keyed class where there are none.
    #[serde(default = "update", rename = "class")]
    pub classes: Vec<Class>,
    /// Who has how much of the load, from when; before the first, and without any, `sigma` alone deals it out.
    #[serde(default, rename = "lean")]
    pub leans: Vec<Lean>,
    /// Whether nodes note what they choose and are told: the verdict then judges drains by each node.
    #[serde(default)]
    pub trace: bool,
    /// More of each node's file, in TOML; `{folder}` stands for the node's own folder, `{disk}` for what says how its disk
    /// does.
    #[serde(default)]
    pub settings: String,
    /// Time in which servers discard repeats of a key, in milliseconds.
    #[serde(default = "window")]
    pub window_ms: f64,
    /// What clocks, sockets and busy cores may be late by before a rule counts as broken, in seconds.
    #[serde(default = "slack")]
    pub slack_s: f64,
    /// Another build of the program, for a part of the nodes.
    pub other: Option<Other>,
}

/// Another build for some of the nodes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Other {
    /// Its path.
    pub program: PathBuf,
    /// Part of the nodes that run it.
    pub part: f64,
}

/// Some nodes' part of the load.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Lean {
    /// From when, in seconds, until the next one's time.
    #[serde(default)]
    pub at_s: f64,
    /// Part of the nodes, drawn anew for each; all of a zone's nodes in its place.
    #[serde(default)]
    pub nodes: f64,
    /// Nodes of this zone.
    pub zone: Option<String>,
    /// Part of the load that they have together; the others have the rest.
    pub share: f64,
}

/// Something that happens to nodes, or to their links to servers.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What.
    pub kind: Kind,
    /// Part of the nodes that it befalls; which ones is drawn.
    pub nodes: f64,
    /// Part of the servers, for links and lists; which ones is drawn.
    #[serde(default = "whole")]
    pub servers: f64,
    /// The link to the catalog, in place of those to servers.
    #[serde(default)]
    pub catalog: bool,
    /// From when, in seconds.
    pub at_s: f64,
    /// For how long; to the end where it is left out.
    pub for_s: Option<f64>,
    /// How much later, in milliseconds, for `delay` and `disk_slow`.
    #[serde(default)]
    pub delay_ms: u64,
}

/// What happens.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Hash)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Nodes are killed, and started again after `for_s`.
    Kill,
    /// Nodes are stopped (SIGSTOP), and go on after `for_s`.
    Stop,
    /// Nodes are not there before `at_s`.
    Late,
    /// Nodes are killed; in each file of theirs a page was written by half; started again after `for_s`.
    Torn,
    /// After `for_s` nodes are killed and started with their files as they were at `at_s`.
    Older,
    /// Nodes' disks take no byte more.
    DiskFull,
    /// Nodes' disks take `delay_ms` longer for each write and each sync.
    DiskSlow,
    /// Nodes' disks refuse to sync.
    DiskUnsynced,
    /// Nodes' disks say yes and keep nothing; after `for_s` nodes are killed and started with what was kept.
    DiskForgets,
    /// Nodes' lists lack these servers.
    Lists,
    /// Links break, and new ones are closed as they come.
    Cut,
    /// Links stay up, new ones too, and nothing moves.
    Stall,
    /// Requests pass, answers do not.
    OneWay,
    /// All bytes come `delay_ms` later.
    Delay,
    /// Links are reset once, at `at_s`, and go on being made.
    Reset,
}

impl Kind {
    /// Whether it befalls links, and not processes.
    #[must_use]
    pub fn affects_links(self) -> bool {
        matches!(self, Self::Cut | Self::Stall | Self::OneWay | Self::Delay | Self::Reset)
    }

    /// What a node's disk is told, where it befalls disks.
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

fn window() -> f64 {
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

    fn check(&self) -> Result<(), Wrong> {
        let part = |x: f64| (0.0..=1.0).contains(&x);
        if self.nodes == 0 || self.nodes > NODES_MOST || self.told == Some(0) {
            return Err(("nodes", 0, format!("{} nodes are not between 1 and {NODES_MOST}", self.nodes)));
        }
        if !(self.for_s > 0.0 && self.for_s <= 86_400.0) {
            return Err(("for_s", 0, "is no time above 0 and up to a day".into()));
        }
        if !(self.load > 0.0 && self.load <= 10.0 && (0.0..=3.0).contains(&self.sigma)) {
            return Err(("load", 0, "`load` is above 0 and up to 10, `sigma` from 0 to 3".into()));
        }
        if self.servers.iter().map(|spec| spec.count).sum::<usize>() == 0 || self.classes.is_empty() {
            return Err(("servers", 0, "there is no server, or no class".into()));
        }
        for fault in &self.faults {
            let times = fault.at_s >= 0.0 && fault.for_s.is_none_or(|s| s > 0.0);
            if !(times && part(fault.nodes) && part(fault.servers)) {
                return Err(("at_s", 0, "times are above 0, `nodes` and `servers` parts from 0 to 1".into()));
            }
            if matches!(fault.kind, Kind::Older | Kind::DiskForgets) && fault.for_s.is_none() {
                return Err(("kind", 0, "an older copy, or a disk that forgets, needs `for_s`".into()));
            }
            if fault.kind.disk_instruction(0).is_some() && !self.settings.contains("{disk}") {
                return Err((
                    "kind",
                    0,
                    "a disk is told how to do by a file that `settings` names: `{disk}`".into(),
                ));
            }
            if fault.kind == Kind::Lists && self.catalog.is_some() {
                return Err(("kind", 0, "lists differ where they stand in the nodes' files".into()));
            }
            if fault.kind.affects_links() && self.catalog.is_some() != fault.catalog {
                let why = "links to servers break where the list stands in the nodes' files, that to the catalog where there is one";
                return Err(("kind", 0, why.into()));
            }
        }
        let zones = self.zones();
        for lean in &self.leans {
            if !(lean.at_s >= 0.0 && part(lean.nodes) && part(lean.share)) {
                return Err(("share", 0, "times are above 0, `nodes` and `share` parts from 0 to 1".into()));
            }
            if lean.zone.as_ref().is_some_and(|zone| !zones.contains(&zone.as_str())) {
                return Err(("zone", 0, "no server is in this zone".into()));
            }
        }
        if self.other.as_ref().is_some_and(|other| !part(other.part)) {
            return Err(("part", 0, "is no part from 0 to 1".into()));
        }
        Ok(())
    }

    /// The zone of a node: they are dealt out in turn.
    #[must_use]
    pub fn zone_of(&self, node: usize) -> &str {
        let zones = self.zones();
        zones[node % zones.len()]
    }

    /// The zones of the servers, each once.
    #[must_use]
    pub fn zones(&self) -> Vec<&str> {
        let mut zones: Vec<&str> = self.servers.iter().map(|spec| spec.zone.as_str()).collect();
        zones.sort_unstable();
        zones.dedup();
        zones
    }

    /// What the stand-in servers play.
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

    /// Requests a second that the servers can do together.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        self.servers
            .iter()
            .map(|spec| spec.count as f64 * workers(spec) as f64 * spec.speed * 1000.0 / spec.work_ms)
            .sum()
    }

    /// What a server of this name is; also of one that replaces another.
    #[must_use]
    pub fn spec_of(&self, server: &str) -> Option<&Spec> {
        let stem = |spec: &&Spec| {
            server
                .strip_prefix(spec.name.as_str())
                .is_some_and(|rest| rest.starts_with(|c: char| c.is_ascii_digit()))
        };
        self.servers.iter().find(stem)
    }
}

/// Requests that a server works on at once at its full pace.
#[must_use]
pub fn workers(spec: &Spec) -> usize {
    spec.slots.min(spec.cores as usize).max(1)
}
