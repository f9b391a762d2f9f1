//! What a node is told, wherever it comes from.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use spurdrum_admission::Limits;
use spurdrum_http::ConfigNames;
use spurdrum_policy::Settings;
use spurdrum_sources::{follower, List};

use crate::affinity::Bindings;
use crate::list::Places;
use crate::log::Format;
use crate::registry::Registry;

/// Everything that a node knows before its first event.
pub struct Config {
    /// Its name, for its log.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// What that is called where it was told.
    pub listen_key: &'static str,
    /// Where operators call, if they do, and what that is called where it was told.
    pub ops: Option<(SocketAddr, &'static str)>,
    /// Whether operators may ask how long answers took.
    pub latencies: bool,
    /// Where the list of servers comes from. What the file says counts over the variable: the file can be replaced.
    pub source: Source,
    /// What the log looks like.
    pub log: Format,
    /// For random numbers.
    pub seed: u64,
    /// Descriptors and memory that it may use.
    pub limits: Limits,
    /// How client connections are dealt with.
    pub connections: spurdrum_admission::Settings,
    /// How the list of servers is followed.
    pub following: follower::Settings,
    /// A registry that is followed beside that source, or alone.
    pub registry: Option<Registry>,
    /// The list of servers as it was last known.
    pub known: List,
    /// What the decisions go by.
    pub settings: Settings,
    /// The names that requests use.
    pub names: ConfigNames,
    /// The names of zones and machine kinds, as lists use them.
    pub places: Places,
    /// A server closes a connection that stands idle for this long.
    pub conn_idle: Duration,
    /// A connection that is not made by then has failed.
    pub dial_timeout: Duration,
    /// Requests that it may hold at once.
    pub most_held: usize,
    /// What the platform said, as it said it.
    pub told: Arc<Value>,
    /// Which requests had better share a server, where that is on.
    pub affinity: Option<Bindings>,
    /// Where what happens is noted, if it is.
    pub trace: Option<spurdrum_trace::Settings>,
}

/// Where a list of servers comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// None but a registry.
    None,
    /// The file has it.
    Static,
    /// A catalog at this address.
    Catalog(SocketAddr),
}
