//! The settings file: TOML with a table for each subsystem. With `[node]` it holds the whole configuration of
//! a node; without, it supplements the configuration that comes from the platform.
//!
//! The names of the tables' fields are the keys of the file.

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

use crate::affinity::{AffinityConfig, AffinityTable};
use crate::config::{Config, Source};
use crate::list::ZonesAndKinds;
use crate::log::Format;
use crate::registry::{MergeTable, NodeInfo, RegistryTable};
use crate::set::{set, set_time};

/// The settings file. A subsystem without its table is off.
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

/// Table `[node]`: a node that is configured by this file alone.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct NodeTable {
    #[serde(default = "node_name")]
    name: String,
    /// The address on which the node listens for clients.
    listen: SocketAddr,
    /// The address of the admin endpoint.
    ops: Option<SocketAddr>,
    /// Whether the node records latency histograms.
    #[serde(default)]
    latencies: bool,
    seed: Option<u64>,
    /// The maximum number of open file descriptors.
    #[serde(default = "sockets")]
    sockets: usize,
    /// The limit on the memory of connections.
    memory_mb: Option<u64>,
    /// The maximum number of pending requests.
    #[serde(default = "most_held")]
    most_held: usize,
    /// The number of nodes that share the load.
    #[serde(default = "one")]
    nodes: usize,
    /// This node's index among them.
    #[serde(default)]
    me: usize,
    /// This node's zone.
    #[serde(default)]
    zone: String,
    #[serde(default)]
    zones: Vec<String>,
    #[serde(default)]
    kinds: Vec<String>,
    #[serde(default)]
    tenants: Vec<String>,
    /// The longest retry-after time that a client may be given; none if absent.
    retry_after_most_ms: Option<f64>,
}

impl NodeTable {
    fn node_info(&self) -> NodeInfo<'_> {
        let Self { name, listen, zone, nodes, me, .. } = self;
        NodeInfo { name, listen: *listen, zone, nodes: *nodes, node_index: *me }
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

/// A table of `[[class]]`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ClassTable {
    name: String,
    effect: EffectName,
    #[serde(default)]
    /// The servers that discard repeats with the same key, for a keyed class.
    group: GroupName,
    /// How long they discard repeats, for a keyed class. Times are in milliseconds.
    window_ms: Option<f64>,
    /// The latency objective; the deadline if absent.
    aim_ms: Option<f64>,
    deadline_ms: f64,
    /// The value of an answer within the latency objective.
    worth: Option<f64>,
    /// The fraction of the value that remains after the latency objective.
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

/// Table `[servers]`. Times are in milliseconds.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct ServersTable {
    /// How long a server keeps an idle connection open.
    idle_ms: Option<u64>,
    /// The time-out for connecting to a server.
    dial_timeout_ms: Option<u64>,
    max_attempts: Option<usize>,
    /// The duration of slow start.
    cold_ms: Option<f64>,
    /// The fraction of its capacity that a server has at the beginning of slow start, at least.
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
    /// The maximum size of the file.
    #[serde(default = "trace_mb")]
    most_mb: u64,
    /// The maximum number of lines that wait to be written.
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
    static_list: Option<StaticList>,
    registry: Option<RegistryTable>,
    merge: Option<MergeTable>,
}

/// Table `[sources.catalog]`. Times are in milliseconds. [`File::follower_settings`] maps the keys to
/// [`follower::Settings`], where they are explained.
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

/// Table `[connections]`. Times are in milliseconds, rates in bytes per second, shares between 0 and 1.
/// [`File::connections`] maps the keys to [`Settings`], where they are explained.
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

/// A time limit that grows with the bytes transferred, see [`TransferTimeout`].
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PaceTable {
    first_ms: Option<u64>,
    rate: Option<f64>,
    most_ms: Option<u64>,
}

/// Reads the settings file; without one, everything is off. The error names the file, the line and the key.
pub fn read(path: Option<&Path>) -> Result<File, String> {
    let Some(path) = path else { return Ok(File::default()) };
    file::read(path, parse)
}

/// Parses and validates the text of a settings file. The error begins with the number of the line.
fn parse(text: &str) -> Result<File, String> {
    let file: File = file::from_toml(text)?;
    let line_of = |table: &str, key: &str| {
        let (header, dotted_prefix) = (format!("[{table}"), format!("{table}."));
        let first_line = text.lines().position(|line| line.trim_start().starts_with(&header)).unwrap_or(0);
        let has_key = |line: &str| {
            line.trim_start().trim_start_matches('[').trim_start_matches(&dotted_prefix).starts_with(key)
        };
        text.lines().skip(first_line).position(has_key).map_or(1, |line| first_line + line + 1)
    };
    let message =
        |table: &str, key: &str, reason: &str| format!("{}: `{table}.{key}`: {reason}", line_of(table, key));
    file.connections().validate().map_err(|(key, reason)| message("connections", key, &reason))?;
    file.follower_settings().validate().map_err(|(key, reason)| message("sources.catalog", key, reason))?;
    file.validate().map_err(|(table, key, reason)| message(table, key, reason))?;
    Ok(file)
}

impl File {
    /// Returns the settings for client connections. Without the table, only the fixed budgets and time-outs
    /// apply.
    pub fn connections(&self) -> Settings {
        let mut settings = Settings { adaptive: self.connections.is_some(), ..Settings::default() };
        let Some(table) = &self.connections else { return settings };
        let time = set_time;
        let transfer = |timeout: &mut TransferTimeout, table: &Option<PaceTable>| {
            if let Some(table) = table {
                time(&mut timeout.initial, table.first_ms);
                set(&mut timeout.min_rate, table.rate);
                time(&mut timeout.max, table.most_ms);
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
        transfer(&mut settings.head, &table.head);
        transfer(&mut settings.body, &table.body);
        transfer(&mut settings.read, &table.read);
        time(&mut settings.linger, table.linger_ms);
        set(&mut settings.peers, table.peers);
        set(&mut settings.peer_prefix, table.peer_prefix);
        time(&mut settings.retry_after, table.retry_after_ms);
        settings
    }

    /// Returns the settings for following the catalog's list of servers.
    pub fn follower_settings(&self) -> follower::Settings {
        let mut settings = follower::Settings::default();
        let Some(table) = self.sources.as_ref().and_then(|sources| sources.catalog.as_ref()) else {
            return settings;
        };
        set_time(&mut settings.min_wait, table.wait_least_ms);
        set_time(&mut settings.max_wait, table.wait_most_ms);
        set_time(&mut settings.silence_timeout, table.patience_ms);
        set_time(&mut settings.stale_after, table.blind_after_ms);
        set_time(&mut settings.startup_timeout, table.ready_within_ms);
        set_time(&mut settings.startup_limit, table.ready_within_ms);
        set_time(&mut settings.min_retry_delay, table.retry_least_ms);
        set_time(&mut settings.max_retry_delay, table.retry_most_ms);
        set(&mut settings.discovery_share, table.share);
        set(&mut settings.burst_calls, table.extra);
        settings
    }

    /// Returns the format of the log.
    pub fn log(&self) -> Format {
        self.log.as_ref().map(|log| log.format).unwrap_or_default()
    }

    /// Returns the settings of the trace file, if there is one.
    pub fn trace(&self) -> Option<spurdrum_trace::Settings> {
        self.trace.as_ref().map(|table| spurdrum_trace::Settings {
            path: table.path.clone(),
            max_bytes: table.most_mb << 20,
            max_queued_lines: table.queue,
        })
    }

    /// Returns the settings of session affinity, if it is on.
    pub fn affinity(&self) -> Option<AffinityConfig> {
        self.affinity.as_ref().and_then(|table| table.to_config().ok())
    }

    /// Returns whether the file has `[node]` and so configures a node by itself.
    pub fn has_node(&self) -> bool {
        self.node.is_some()
    }

    /// Validates the settings across tables. The error is the table, the key, and the reason.
    fn validate(&self) -> Result<(), (&'static str, &'static str, &'static str)> {
        self.affinity.as_ref().map(AffinityTable::to_config).transpose()?;
        if let Some(table) = &self.trace {
            if !(1..=1 << 20).contains(&table.most_mb) {
                return Err(("trace", "most_mb", "is not between 1 and 1048576"));
            }
            if !(1..=1 << 20).contains(&table.queue) {
                return Err(("trace", "queue", "is not between 1 and 1048576"));
            }
        }
        let static_list = self.static_list();
        if let Some((key, reason)) = static_list.and_then(|list| list.check().err()) {
            return Err(("sources.static", key, reason));
        }
        let registry = self.registry();
        if self.sources.as_ref().is_some_and(|sources| sources.merge.is_some()) && registry.is_none() {
            return Err(("sources.merge", "", "needs [sources.registry]"));
        }
        if self.catalog_address().is_some() && static_list.is_some() && registry.is_none() {
            return Err(("sources.static", "servers", "stands beside `sources.catalog.address`"));
        }
        let Some(node) = &self.node else {
            if registry.is_some() {
                return Err(("sources.registry", "endpoints", "needs [node]"));
            }
            return match (static_list, self.catalog_address(), self.class.first(), &self.servers) {
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
            registry.to_config(self.merge(), &node.node_info())?;
        } else if static_list.is_none() && self.catalog_address().is_none() {
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
        let has_invalid_objective =
            |class: &ClassTable| class.aim_ms.is_some_and(|ms| !(ms.is_finite() && ms > 0.0));
        self.settings(node, &self.zones_and_kinds(node)).validate().map_err(|error| {
            let (table, key) = match error.key() {
                // Without this key the latency objective is the deadline, so that is the invalid key.
                "classes[].aim_ms" if self.class.iter().any(has_invalid_objective) => ("class", "aim_ms"),
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

    fn static_list(&self) -> Option<&StaticList> {
        self.sources.as_ref().and_then(|sources| sources.static_list.as_ref())
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

    /// Returns the names of zones and kinds in the order in which the file first names them. The node's own
    /// zone is the first.
    fn zones_and_kinds(&self, node: &NodeTable) -> ZonesAndKinds {
        let (mut zones, mut kinds) = (vec![node.zone.clone()], Vec::new());
        let static_servers = || self.static_list().into_iter().flat_map(|table| &table.servers);
        let named_zones = node.zones.iter().chain(static_servers().map(|server| &server.zone));
        let named_kinds = node.kinds.iter().chain(static_servers().map(|server| &server.kind));
        for (names, named) in
            [(&mut zones, named_zones.collect::<Vec<_>>()), (&mut kinds, named_kinds.collect())]
        {
            for name in named {
                if !names.contains(name) {
                    names.push(name.clone());
                }
            }
        }
        ZonesAndKinds { zones, kinds }
    }

    /// Returns the settings of the balancing policy.
    fn settings(&self, node: &NodeTable, zones_and_kinds: &ZonesAndKinds) -> spurdrum_policy::Settings {
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
        settings.kinds = zones_and_kinds.kinds.len().max(1);
        settings.max_retry_after_ms = node.retry_after_most_ms;
        let servers = self.servers.as_ref();
        set(&mut settings.max_attempts, servers.and_then(|servers| servers.max_attempts));
        set(&mut settings.slow_start_ms, servers.and_then(|servers| servers.cold_ms));
        set(&mut settings.slow_start_min_capacity, servers.and_then(|servers| servers.cold_from));
        settings
    }

    /// Returns the whole configuration of the node; `None` without `[node]`.
    pub fn node_config(&self) -> Option<Config> {
        let node = self.node.as_ref()?;
        let zones_and_kinds = self.zones_and_kinds(node);
        let settings = self.settings(node, &zones_and_kinds);
        let initial_list = self.static_list().map(StaticList::list);
        let mut follower_settings = self.follower_settings();
        (follower_settings.nodes, follower_settings.node_index) = (node.nodes, node.me);
        let time = |ms: Option<u64>, default| Duration::from_millis(ms.unwrap_or(default));
        let servers = self.servers.as_ref();
        Some(Config {
            name: node.name.clone(),
            listen: node.listen,
            listen_key: "node.listen",
            platform_json: Arc::default(),
            admin_address: node.ops.map(|address| (address, "node.ops")),
            latencies: node.latencies,
            source: match (self.catalog_address(), self.static_list()) {
                (Some(address), _) => Source::Catalog(address),
                (None, Some(_)) => Source::Static,
                (None, None) => Source::None,
            },
            registry: self.registry().and_then(|table| table.to_config(self.merge(), &node.node_info()).ok()),
            log: self.log(),
            seed: node.seed.unwrap_or_else(random_seed),
            limits: Limits {
                sockets: node.sockets,
                memory: node.memory_mb.map_or(1 << 50, |mb| mb.min(1 << 30) << 20),
            },
            connections: self.connections(),
            follower_settings,
            initial_list: initial_list.unwrap_or(List { revision: 0, complete: true, members: Vec::new() }),
            names: ConfigNames {
                classes: self.class.iter().map(|class| class.name.clone()).collect(),
                tenants: node.tenants.clone(),
            },
            zones_and_kinds,
            server_idle_timeout: time(servers.and_then(|servers| servers.idle_ms), 20_000),
            dial_timeout: time(servers.and_then(|servers| servers.dial_timeout_ms), 250),
            max_pending: node.most_held,
            affinity: self.affinity(),
            trace: self.trace(),
            settings,
        })
    }
}

/// Returns a random seed that differs between processes: nodes that start at the same time must not make the
/// same choices.
pub fn random_seed() -> u64 {
    use std::hash::{BuildHasher, RandomState};
    RandomState::new().hash_one(std::process::id())
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    const VALID: &str = "[node]\nlisten = \"127.0.0.1:1\"\ntenants = [\"a\"]\n[[class]]\nname = \"r\"\n\
                         effect = \"keyed\"\nwindow_ms = 5\ndeadline_ms = 9\n[servers]\nidle_ms = 5\n\
                         [connections]\nclients_hold = 0.3\nhead = { first_ms = 3 }\n[log]\nformat = \"json\"\n\
                         [sources.static]\nservers = [{ address = \"127.0.0.1:2\", weight = 2.0 }]\n";

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

        /// Any edit of a valid file gives a file that is read, or an error that begins with a line number;
        /// nothing panics.
        #[test]
        fn an_edited_file_is_read_or_rejected_with_a_line_number(
            start in 0..VALID.len(),
            removed in 0..20_usize,
            inserted in "[-a-z0-9=.\"\\[\\]{} \n]{0,12}",
        ) {
            let end = (start + removed).min(VALID.len());
            let text = format!("{}{inserted}{}", &VALID[..start], &VALID[end..]);
            match parse(&text) {
                Ok(file) => drop(file.node_config()),
                Err(error) => {
                    let line = error.split(':').next().and_then(|line| line.parse::<usize>().ok());
                    prop_assert!(line.is_some_and(|line| line <= text.lines().count() + 1), "{error}");
                }
            }
        }
    }

    #[test]
    fn the_valid_file_is_accepted() {
        let has_config = parse(VALID).map(|file| file.node_config().is_some());
        assert_eq!(has_config, Ok(true));
    }
}
