//! What may be set beyond what the platform tells: one TOML file with a table for each subsystem.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use spurdrum_admission::{Limits, Settings, TransferTimeout};
use spurdrum_facts::file;
use spurdrum_http::ConfigNames;
use spurdrum_policy::{Class, Effect, Group, Weights};
use spurdrum_sources::{follower, List, StaticList};

use crate::affinity::{AffinityTable, Bindings};
use crate::config::{Config, Source};
use crate::list::Places;
use crate::log::Format;
use crate::registry::{MergeTable, Myself, RegistryTable};
use crate::set::{set, set_time};

/// The whole file. A table that is absent leaves its subsystem off.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    node: Option<NodeTable>,
    #[serde(default)]
    class: Vec<ClassTable>,
    servers: Option<ServersTable>,
    log: Option<LogTable>,
    connections: Option<Connections>,
    sources: Option<Sources>,
    affinity: Option<AffinityTable>,
    trace: Option<TraceTable>,
}

/// Table `[node]`: a node that is told everything by this file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct NodeTable {
    #[serde(default = "node_name")]
    name: String,
    listen: SocketAddr,
    ops: Option<SocketAddr>,
    #[serde(default)]
    latencies: bool,
    seed: Option<u64>,
    #[serde(default = "sockets")]
    sockets: usize,
    memory_mb: Option<u64>,
    #[serde(default = "most_held")]
    most_held: usize,
    #[serde(default = "one")]
    nodes: usize,
    #[serde(default)]
    me: usize,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    zones: Vec<String>,
    #[serde(default)]
    kinds: Vec<String>,
    #[serde(default)]
    tenants: Vec<String>,
    retry_after_most_ms: Option<f64>,
}

impl NodeTable {
    fn myself(&self) -> Myself<'_> {
        let Self { name, listen, zone, nodes, me, .. } = self;
        Myself { name, listen: *listen, zone, nodes: *nodes, me: *me }
    }
}

fn node_name() -> String {
    "spurdrum".into()
}

fn sockets() -> usize {
    1024
}

fn most_held() -> usize {
    10_000
}

fn one() -> usize {
    1
}

/// One of `[[class]]`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ClassTable {
    name: String,
    effect: EffectName,
    #[serde(default)]
    group: GroupName,
    window_ms: Option<f64>,
    aim_ms: Option<f64>,
    deadline_ms: f64,
    worth: Option<f64>,
    late_worth: Option<f64>,
}

#[derive(Clone, Copy, Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum EffectName {
    Safe,
    Keyed,
    Unsafe,
}

#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
enum GroupName {
    All,
    Zone,
    #[default]
    Cell,
}

/// Table `[servers]`.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct ServersTable {
    idle_ms: Option<u64>,
    dial_timeout_ms: Option<u64>,
    max_attempts: Option<usize>,
    cold_ms: Option<f64>,
    cold_from: Option<f64>,
}

/// Table `[log]`.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct LogTable {
    format: Format,
}

/// Table `[trace]`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TraceTable {
    path: PathBuf,
    #[serde(default = "trace_mb")]
    most_mb: u64,
    #[serde(default = "trace_queue")]
    queue: usize,
}

fn trace_mb() -> u64 {
    64
}

fn trace_queue() -> usize {
    16_384
}

/// Table `[sources]`.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Sources {
    catalog: Option<Following>,
    #[serde(rename = "static")]
    fixed: Option<StaticList>,
    registry: Option<RegistryTable>,
    merge: Option<MergeTable>,
}

/// Table `[sources.catalog]`. Times are in milliseconds.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Following {
    address: Option<SocketAddr>,
    wait_least_ms: Option<u64>,
    wait_most_ms: Option<u64>,
    patience_ms: Option<u64>,
    blind_after_ms: Option<u64>,
    ready_within_ms: Option<u64>,
    retry_least_ms: Option<u64>,
    retry_most_ms: Option<u64>,
    share: Option<f64>,
    extra: Option<f64>,
}

/// Table `[connections]`. Times are in milliseconds, rates in bytes a second, parts between 0 and 1.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Connections {
    clients_hold: Option<f64>,
    client_share: Option<f64>,
    floor: Option<f64>,
    memory_share: Option<f64>,
    silent_share: Option<f64>,
    sending_share: Option<f64>,
    pressed_at: Option<f64>,
    calm_below: Option<f64>,
    full_at: Option<f64>,
    pressed_below: Option<f64>,
    dwell_ms: Option<u64>,
    return_within_ms: Option<u64>,
    half_life_ms: Option<u64>,
    explore: Option<u32>,
    coming_ms: Option<u64>,
    silent_ms: Option<u64>,
    silent_pressed_ms: Option<u64>,
    idle_ms: Option<u64>,
    head: Option<PaceTable>,
    body: Option<PaceTable>,
    read: Option<PaceTable>,
    linger_ms: Option<u64>,
    peers: Option<usize>,
    peer_prefix: Option<u8>,
    retry_after_ms: Option<u64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PaceTable {
    first_ms: Option<u64>,
    rate: Option<f64>,
    most_ms: Option<u64>,
}

/// Reads the file; none means that everything is off. The error names the file, the line and the key.
pub fn read(path: Option<&Path>) -> Result<File, String> {
    let Some(path) = path else { return Ok(File::default()) };
    file::read(path, parse)
}

/// Reads the file's text. The error begins with the line.
fn parse(text: &str) -> Result<File, String> {
    let file: File = file::from_toml(text)?;
    let line_of = |table: &str, key: &str| {
        let (of_table, of_key) = (format!("[{table}"), format!("{table}."));
        let begins = text.lines().position(|line| line.trim_start().starts_with(&of_table)).unwrap_or(0);
        let of = |line: &str| {
            line.trim_start().trim_start_matches('[').trim_start_matches(&of_key).starts_with(key)
        };
        text.lines().skip(begins).position(of).map_or(1, |line| begins + line + 1)
    };
    let wrong =
        |table: &str, key: &str, why: &str| format!("{}: `{table}.{key}`: {why}", line_of(table, key));
    file.connections().validate().map_err(|(key, why)| wrong("connections", key, &why))?;
    file.following().validate().map_err(|(key, why)| wrong("sources.catalog", key, why))?;
    file.check().map_err(|(table, key, why)| wrong(table, key, why))?;
    Ok(file)
}

impl File {
    /// The settings for connections: without the table, budgets and times only.
    pub fn connections(&self) -> Settings {
        let mut settings = Settings { adaptive: self.connections.is_some(), ..Settings::default() };
        let Some(table) = &self.connections else { return settings };
        let time = set_time;
        let pace = |to: &mut TransferTimeout, from: &Option<PaceTable>| {
            if let Some(from) = from {
                time(&mut to.initial, from.first_ms);
                set(&mut to.min_rate, from.rate);
                time(&mut to.max, from.most_ms);
            }
        };
        set(&mut settings.clients_hold, table.clients_hold);
        set(&mut settings.client_share, table.client_share);
        set(&mut settings.floor, table.floor);
        set(&mut settings.memory_share, table.memory_share);
        set(&mut settings.silent_share, table.silent_share);
        set(&mut settings.sending_share, table.sending_share);
        set(&mut settings.pressed_at, table.pressed_at);
        set(&mut settings.calm_below, table.calm_below);
        set(&mut settings.full_at, table.full_at);
        set(&mut settings.pressed_below, table.pressed_below);
        time(&mut settings.dwell, table.dwell_ms);
        time(&mut settings.return_within, table.return_within_ms);
        time(&mut settings.half_life, table.half_life_ms);
        set(&mut settings.explore, table.explore);
        time(&mut settings.coming, table.coming_ms);
        time(&mut settings.silent, table.silent_ms);
        time(&mut settings.silent_pressed, table.silent_pressed_ms);
        time(&mut settings.idle, table.idle_ms);
        pace(&mut settings.head, &table.head);
        pace(&mut settings.body, &table.body);
        pace(&mut settings.read, &table.read);
        time(&mut settings.linger, table.linger_ms);
        set(&mut settings.peers, table.peers);
        set(&mut settings.peer_prefix, table.peer_prefix);
        time(&mut settings.retry_after, table.retry_after_ms);
        settings
    }

    /// How the list of servers is followed.
    pub fn following(&self) -> follower::Settings {
        let mut settings = follower::Settings::default();
        let Some(table) = self.sources.as_ref().and_then(|sources| sources.catalog.as_ref()) else {
            return settings;
        };
        set_time(&mut settings.min_wait, table.wait_least_ms);
        set_time(&mut settings.max_wait, table.wait_most_ms);
        set_time(&mut settings.silence_timeout, table.patience_ms);
        set_time(&mut settings.stale_after, table.blind_after_ms);
        set_time(&mut settings.startup_timeout, table.ready_within_ms);
        set_time(&mut settings.min_retry_delay, table.retry_least_ms);
        set_time(&mut settings.max_retry_delay, table.retry_most_ms);
        set(&mut settings.discovery_share, table.share);
        set(&mut settings.burst_calls, table.extra);
        settings
    }

    /// What the log looks like.
    pub fn log(&self) -> Format {
        self.log.as_ref().map(|log| log.format).unwrap_or_default()
    }

    /// Where what happens is noted, if it is.
    pub fn trace(&self) -> Option<spurdrum_trace::Settings> {
        self.trace.as_ref().map(|table| spurdrum_trace::Settings {
            path: table.path.clone(),
            max_bytes: table.most_mb << 20,
            max_queued_lines: table.queue,
        })
    }

    /// Which requests had better share a server.
    pub fn affinity(&self) -> Option<Bindings> {
        self.affinity.as_ref().and_then(|table| table.read().ok())
    }

    /// Whether it tells a node everything.
    pub fn has_node(&self) -> bool {
        self.node.is_some()
    }

    /// What makes no sense: the table, the key, and why.
    fn check(&self) -> Result<(), (&'static str, &'static str, &'static str)> {
        self.affinity.as_ref().map(AffinityTable::read).transpose()?;
        if let Some(table) = &self.trace {
            if !(1..=1 << 20).contains(&table.most_mb) {
                return Err(("trace", "most_mb", "is not between 1 and 1048576"));
            }
            if !(1..=1 << 20).contains(&table.queue) {
                return Err(("trace", "queue", "is not between 1 and 1048576"));
            }
        }
        let fixed = self.fixed();
        if let Some((key, why)) = fixed.and_then(|fixed| fixed.check().err()) {
            return Err(("sources.static", key, why));
        }
        let registry = self.registry();
        if self.sources.as_ref().is_some_and(|sources| sources.merge.is_some()) && registry.is_none() {
            return Err(("sources.merge", "", "needs [sources.registry]"));
        }
        if self.catalog_address().is_some() && fixed.is_some() && registry.is_none() {
            return Err(("sources.static", "servers", "stands beside `sources.catalog.address`"));
        }
        let Some(node) = &self.node else {
            if registry.is_some() {
                return Err(("sources.registry", "endpoints", "needs [node]"));
            }
            return match (fixed, self.catalog_address(), self.class.first(), &self.servers) {
                (Some(_), ..) => Err(("sources.static", "servers", "needs [node]")),
                (_, Some(_), ..) => Err(("sources.catalog", "address", "needs [node]")),
                (_, _, Some(_), _) => Err(("class", "name", "needs [node]")),
                (.., Some(_)) => Err(("servers", "", "needs [node]")),
                _ => Ok(()),
            };
        };
        if self.class.is_empty() {
            return Err(("node", "listen", "there is no [[class]]"));
        }
        if let Some(registry) = registry {
            registry.read(self.merge(), &node.myself())?;
        } else if fixed.is_none() && self.catalog_address().is_none() {
            return Err((
                "node",
                "listen",
                "there is neither [sources.static], `sources.catalog.address` nor [sources.registry]",
            ));
        }
        if node.sockets < 32 || node.most_held == 0 || node.me >= node.nodes {
            return Err(("node", "sockets", "is under 32, `most_held` 0, or `me` not below `nodes`"));
        }
        let is_class = |name: &str| self.class.iter().any(|class| class.name == name);
        if self.affinity.as_ref().is_some_and(|table| table.unknown_class(is_class).is_some()) {
            return Err(("affinity", "classes", "names a class that there is not"));
        }
        let mut names = HashSet::new();
        if !self.class.iter().all(|class| names.insert(&class.name)) {
            return Err(("class", "name", "two classes have one name"));
        }
        if self.class.iter().any(|class| class.effect == EffectName::Keyed && class.window_ms.is_none()) {
            return Err(("class", "effect", "a keyed class needs `window_ms`"));
        }
        let own_aim = |class: &ClassTable| class.aim_ms.is_some_and(|ms| !(ms.is_finite() && ms > 0.0));
        self.settings(node, &self.places(node)).validate().map_err(|wrong| {
            let (table, key) = match wrong.key() {
                // Where it is left out, it is the deadline.
                "classes[].aim_ms" if self.class.iter().any(own_aim) => ("class", "aim_ms"),
                "classes[].window_ms" => ("class", "window_ms"),
                "classes[].worth" => ("class", "worth"),
                "classes[].late_worth" => ("class", "late_worth"),
                "nodes" => ("node", "nodes"),
                "max_retry_after_ms" => ("node", "retry_after_most_ms"),
                key @ ("max_attempts" | "cold_ms" | "cold_from") => ("servers", key),
                _ => ("class", "deadline_ms"),
            };
            (table, key, "is missing or out of range")
        })
    }

    fn fixed(&self) -> Option<&StaticList> {
        self.sources.as_ref().and_then(|sources| sources.fixed.as_ref())
    }

    fn registry(&self) -> Option<&RegistryTable> {
        self.sources.as_ref().and_then(|sources| sources.registry.as_ref())
    }

    fn merge(&self) -> Option<&MergeTable> {
        self.sources.as_ref().and_then(|sources| sources.merge.as_ref())
    }

    fn catalog_address(&self) -> Option<SocketAddr> {
        self.sources.as_ref()?.catalog.as_ref()?.address
    }

    /// Zones and kinds by their first naming; the node's own zone is the first.
    fn places(&self, node: &NodeTable) -> Places {
        let (mut zones, mut kinds) = (vec![node.zone.clone()], Vec::new());
        let of_static = || self.fixed().into_iter().flat_map(|table| &table.servers);
        let named_zones = node.zones.iter().chain(of_static().map(|server| &server.zone));
        let named_kinds = node.kinds.iter().chain(of_static().map(|server| &server.kind));
        for (names, named) in
            [(&mut zones, named_zones.collect::<Vec<_>>()), (&mut kinds, named_kinds.collect())]
        {
            for name in named {
                if !names.contains(name) {
                    names.push(name.clone());
                }
            }
        }
        Places { zones, kinds }
    }

    fn settings(&self, node: &NodeTable, places: &Places) -> spurdrum_policy::Settings {
        let class = |table: &ClassTable| {
            let group = match table.group {
                GroupName::All => Group::All,
                GroupName::Zone => Group::Zone,
                GroupName::Cell => Group::Cell,
            };
            let effect = match table.effect {
                EffectName::Safe => Effect::Safe,
                EffectName::Keyed => Effect::Keyed { group, window_ms: table.window_ms.unwrap_or(0.0) },
                EffectName::Unsafe => Effect::Unsafe,
            };
            let mut class = Class::new(table.aim_ms.unwrap_or(table.deadline_ms), table.deadline_ms, effect);
            set(&mut class.value, table.worth);
            set(&mut class.late_value, table.late_worth);
            class
        };
        let mut settings = spurdrum_policy::Settings::new(self.class.iter().map(class).collect());
        settings.quotas_per_s = vec![f64::MAX; node.tenants.len()];
        (settings.nodes, settings.node_index) = (node.nodes, node.me);
        settings.weights = Weights::Size;
        settings.kinds = places.kinds.len().max(1);
        settings.max_retry_after_ms = node.retry_after_most_ms;
        let servers = self.servers.as_ref();
        set(&mut settings.max_attempts, servers.and_then(|servers| servers.max_attempts));
        set(&mut settings.slow_start_ms, servers.and_then(|servers| servers.cold_ms));
        set(&mut settings.slow_start_min_capacity, servers.and_then(|servers| servers.cold_from));
        settings
    }

    /// All that a node is told, where `[node]` is there.
    pub fn alone(&self) -> Option<Config> {
        let node = self.node.as_ref()?;
        let places = self.places(node);
        let settings = self.settings(node, &places);
        let known = self.fixed().map(StaticList::list);
        let mut following = self.following();
        (following.nodes, following.node_index) = (node.nodes, node.me);
        let time = |ms: Option<u64>, default| Duration::from_millis(ms.unwrap_or(default));
        let servers = self.servers.as_ref();
        Some(Config {
            name: node.name.clone(),
            listen: node.listen,
            listen_key: "node.listen",
            told: Arc::default(),
            ops: node.ops.map(|address| (address, "node.ops")),
            latencies: node.latencies,
            source: match (self.catalog_address(), self.fixed()) {
                (Some(address), _) => Source::Catalog(address),
                (None, Some(_)) => Source::Static,
                (None, None) => Source::None,
            },
            registry: self.registry().and_then(|table| table.read(self.merge(), &node.myself()).ok()),
            log: self.log(),
            seed: node.seed.unwrap_or_else(random_seed),
            limits: Limits {
                sockets: node.sockets,
                memory: node.memory_mb.map_or(1 << 50, |mb| mb.min(1 << 30) << 20),
            },
            connections: self.connections(),
            following,
            known: known.unwrap_or(List { revision: 0, complete: true, members: Vec::new() }),
            names: ConfigNames {
                classes: self.class.iter().map(|class| class.name.clone()).collect(),
                tenants: node.tenants.clone(),
            },
            places,
            conn_idle: time(servers.and_then(|servers| servers.idle_ms), 20_000),
            dial_timeout: time(servers.and_then(|servers| servers.dial_timeout_ms), 250),
            most_held: node.most_held,
            affinity: self.affinity(),
            trace: self.trace(),
            settings,
        })
    }
}

/// Nodes that start together must not choose alike.
pub fn random_seed() -> u64 {
    use std::hash::{BuildHasher, RandomState};
    RandomState::new().hash_one(std::process::id())
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    const SOUND: &str = "[node]\nlisten = \"127.0.0.1:1\"\ntenants = [\"a\"]\n[[class]]\nname = \"r\"\n\
                         effect = \"keyed\"\nwindow_ms = 5\ndeadline_ms = 9\n[servers]\nidle_ms = 5\n\
                         [connections]\nclients_hold = 0.3\nhead = { first_ms = 3 }\n[log]\nformat = \"json\"\n\
                         [sources.static]\nservers = [{ address = \"127.0.0.1:2\", weight = 2.0 }]\n";

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

        /// Whatever is changed in a file, it is read, or refused with its line.
        #[test]
        fn a_spoilt_file_is_read_or_refused_with_a_line(
            at in 0..SOUND.len(),
            gone in 0..20_usize,
            put in "[-a-z0-9=.\"\\[\\]{} \n]{0,12}",
        ) {
            let end = (at + gone).min(SOUND.len());
            let text = format!("{}{put}{}", &SOUND[..at], &SOUND[end..]);
            match parse(&text) {
                Ok(file) => drop(file.alone()),
                Err(why) => {
                    let line = why.split(':').next().and_then(|line| line.parse::<usize>().ok());
                    prop_assert!(line.is_some_and(|line| line <= text.lines().count() + 1), "{why}");
                }
            }
        }
    }

    #[test]
    fn the_sound_one_is_sound() {
        let alone = parse(SOUND).map(|file| file.alone().is_some());
        assert_eq!(alone, Ok(true));
    }
}
