//! The record of one run: what clients, servers and nodes observed, joined by request id.

use std::collections::BTreeMap;

use spurdrum_load::client::Outcome;
use spurdrum_load::plan::Effect;

/// How a request ended from its client's point of view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The answer was 200.
    Served,
    /// The answer was 429 or 503.
    Refused,
    /// The answer had any other status.
    Failed,
    /// The connection ended without an answer.
    Broken,
    /// No answer came within the client's deadline plus the scenario's slack.
    NoAnswer,
    /// No node could be reached.
    Unreached,
}

impl End {
    /// Converts the load client's outcome of a request that has ended.
    #[must_use]
    pub fn of(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Served => Self::Served,
            Outcome::Refused { .. } => Self::Refused,
            Outcome::Unreached => Self::Unreached,
            Outcome::Broken => Self::Broken,
            Outcome::Failed | Outcome::GaveUp | Outcome::Left | Outcome::NotSent => Self::Failed,
        }
    }
}

/// One request, as its client saw it. Times are seconds from the start of the run.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestRecord {
    /// The request's id.
    pub id: u64,
    /// Index of the node that the request was sent to last.
    pub node: usize,
    /// Whether running the request twice has an effect.
    pub effect: Effect,
    /// When the request was due to be sent.
    pub due: f64,
    /// How late the rig itself sent the request, in seconds.
    pub lag: f64,
    /// When the request ended.
    pub ended: f64,
    /// How the request ended.
    pub end: End,
    /// How long the client waits in total, in seconds.
    pub deadline: f64,
    /// Description of the connection, for diagnosis; set where the connection broke or no answer came.
    pub connection: Option<String>,
}

/// One attempt, as its server saw it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerAttempt {
    /// The request's id.
    pub id: u64,
    /// Index of the server in [`History::servers`].
    pub server: usize,
    /// When the server had received the last byte of the request.
    pub begun: f64,
    /// When the server answered, or saw the node close the connection.
    pub ended: Option<f64>,
}

/// A stand-in server of the run.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Name of the server.
    pub name: String,
    /// Number of requests that the server works on concurrently.
    pub workers: usize,
    /// Mean service time of a request, in seconds.
    pub service_s: f64,
    /// When the server is first listed as draining and discovery can be read, where it drains at all.
    pub drains_at: Option<f64>,
    /// The server's capacity during its slow start, where it starts with reduced capacity.
    pub slow_start: Option<SlowStart>,
    /// Intervals (from, to) in which the server does no work, in seconds.
    pub unavailable: Vec<(f64, f64)>,
    /// When the server appears and when it is removed, in seconds.
    pub lifetime: (f64, f64),
}

/// The capacity of a server during its slow start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// Requests per second at full capacity.
    pub rate: f64,
    /// Fraction of the full rate that the server has when it starts.
    pub initial_share: f64,
    /// Time until the server has its full rate, in seconds.
    pub duration: f64,
    /// The server collapses when it receives more than this multiple of its current rate
    /// throughout `collapse_window`.
    pub collapse_multiple: f64,
    /// How long the overload lasts before the server collapses, in seconds.
    pub collapse_window: f64,
}

impl Server {
    /// Returns for how many seconds between `from` and `to` the server could work.
    #[must_use]
    pub fn available_s(&self, from: f64, to: f64) -> f64 {
        let (from, to) = (from.max(self.lifetime.0), to.min(self.lifetime.1));
        let unavailable =
            self.unavailable.iter().map(|(a, b)| (b.min(to) - a.max(from)).max(0.0)).sum::<f64>();
        (to - from - unavailable).max(0.0)
    }
}

/// A change of a server's availability that a node learned from discovery, as recorded in the node's trace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AvailabilityNotice {
    /// Index of the node.
    pub node: usize,
    /// Index of the server in [`History::servers`].
    pub server: usize,
    /// When the node learned it.
    pub at: f64,
    /// Whether the node may send to the server from then on.
    pub ready: bool,
}

/// A node's choice of a server for an attempt, as recorded in the node's trace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerChoice {
    /// Index of the node.
    pub node: usize,
    /// The request's id.
    pub id: u64,
    /// Index of the server in [`History::servers`].
    pub server: usize,
    /// When the server was chosen.
    pub at: f64,
}

/// An interval in which a node was killed or stopped, and therefore could not answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeOutage {
    /// Index of the node.
    pub node: usize,
    /// Start of the interval, in seconds.
    pub from: f64,
    /// End of the interval, in seconds.
    pub to: f64,
}

/// Links on which a fault delays or hides from the server that the node has closed its connection.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ImpairedLinks {
    /// Indices of the nodes.
    pub nodes: Vec<usize>,
    /// Indices of the servers in [`History::servers`].
    pub servers: Vec<usize>,
    /// Start of the interval, in seconds.
    pub from: f64,
    /// End of the interval, in seconds.
    pub to: f64,
}

/// The joined record of one run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct History {
    /// Length of the run in seconds; the first fifth is a warm-up that the statistics leave out.
    pub length: f64,
    /// All requests, in the order in which they were due.
    pub requests: Vec<RequestRecord>,
    /// All attempts, in the order in which the servers began them.
    pub attempts: Vec<ServerAttempt>,
    /// All servers of the run.
    pub servers: Vec<Server>,
    /// Intervals in which a node was killed or stopped.
    pub outages: Vec<NodeOutage>,
    /// Links on which servers cannot tell in time that a node has ended an attempt.
    pub impaired_links: Vec<ImpairedLinks>,
    /// Start and end of each fault, in seconds.
    pub faults: Vec<(f64, f64)>,
    /// Number of connections that the servers accepted.
    pub connections: u64,
    /// Changes of availability that the nodes learned, in time order; empty where nodes write no trace.
    pub notices: Vec<AvailabilityNotice>,
    /// Choices of servers by the nodes, in time order; empty where nodes write no trace.
    pub choices: Vec<ServerChoice>,
    /// The largest number of trace lines that any one node dropped.
    pub lost_trace_lines: u64,
    /// Number of attempts that the servers did not log because their log was full.
    pub unlogged_attempts: u64,
    /// Telemetry counters summed over the nodes that answered.
    pub telemetry: BTreeMap<String, u64>,
    /// Tolerance for delays of clocks, sockets and busy cores, in seconds.
    pub slack: f64,
    /// Time within which servers discard repeats of a keyed request, in seconds.
    pub dedup_window: f64,
}
