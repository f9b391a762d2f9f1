//! The configuration of a node, independent of whether it comes from the settings file or from the platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use spurdrum_admission::Limits;
use spurdrum_http::ConfigNames;
use spurdrum_policy::Settings;
use spurdrum_sources::{follower, List};

use crate::affinity::AffinityConfig;
use crate::list::ZonesAndKinds;
use crate::log::Format;
use crate::registry::RegistryConfig;

/// The whole configuration of a node.
pub struct Config {
    /// The node's name, which starts each line of its log.
    pub name: String,
    /// The address on which the node listens for clients.
    pub listen: SocketAddr,
    /// The key or variable that gave `listen`, for error messages.
    pub listen_key: &'static str,
    /// The address of the admin endpoint, if there is one, and the key or variable that gave it.
    pub admin_address: Option<(SocketAddr, &'static str)>,
    /// Whether the node records latency histograms for the operators' call `latencies`.
    pub latencies: bool,
    /// Where the list of servers comes from. An address in the file takes precedence over the environment
    /// variable, since the file can be replaced while the node runs.
    pub source: Source,
    /// The format of the log.
    pub log: Format,
    /// The seed of the random number generators.
    pub seed: u64,
    /// The limits on file descriptors and memory.
    pub limits: Limits,
    /// The settings for admission and time-outs of client connections.
    pub connections: spurdrum_admission::Settings,
    /// The settings for following the catalog's list of servers.
    pub follower_settings: follower::Settings,
    /// A registry that the node follows in addition to `source`, or alone.
    pub registry: Option<RegistryConfig>,
    /// The list of servers that the node starts with: the last known or the static one.
    pub initial_list: List,
    /// The settings of the balancing policy.
    pub settings: Settings,
    /// The names of classes and tenants that requests use.
    pub names: ConfigNames,
    /// The names of zones and machine kinds that lists of servers use.
    pub zones_and_kinds: ZonesAndKinds,
    /// How long a server keeps an idle connection open.
    pub server_idle_timeout: Duration,
    /// The time-out for connecting to a server.
    pub dial_timeout: Duration,
    /// The maximum number of pending requests.
    pub max_pending: usize,
    /// The platform's JSON as it was read; null if the settings file has `[node]`.
    pub platform_json: Arc<Value>,
    /// The settings of session affinity, if it is on.
    pub affinity: Option<AffinityConfig>,
    /// The settings of the trace file, if there is one.
    pub trace: Option<spurdrum_trace::Settings>,
}

/// The source of the list of servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// No source other than a registry.
    None,
    /// The static list in the settings file.
    Static,
    /// A discovery catalog at this address.
    Catalog(SocketAddr),
}
