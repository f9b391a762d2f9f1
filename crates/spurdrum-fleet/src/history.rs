//! What clients, servers and nodes saw of one run, joined by request.

use std::collections::BTreeMap;

use spurdrum_load::client::Outcome;
use spurdrum_load::plan::Effect;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// 200.
    Served,
    /// 429 or 503.
    Refused,
    /// Another answer.
    Failed,
    /// A connection that ended without one.
    Broken,
    /// No answer while its client waited, and a moment more.
    NoAnswer,
    /// No node could be reached.
    Unreached,
}

impl End {
    /// How a request ended that its client has heard of.
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
    /// Its id.
    pub id: u64,
    /// The node that was asked.
    pub node: usize,
    /// What running it twice does.
    pub effect: Effect,
    /// When it was due.
    pub due: f64,
    /// How late it was sent, by the rig's own fault.
    pub lag: f64,
    /// When it ended.
    pub ended: f64,
    /// How.
    pub end: End,
    /// What its client waits in all, in seconds.
    pub deadline: f64,
    /// Where it was broken off or left without an answer: its connection, for people.
    pub connection: Option<String>,
}

/// One attempt, as its server saw it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerAttempt {
    /// The request's id.
    pub id: u64,
    /// Place of the server in [`History::servers`].
    pub server: usize,
    /// When its last byte had come.
    pub begun: f64,
    /// When it was answered, or its node left.
    pub ended: Option<f64>,
}

/// One server.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Its name.
    pub name: String,
    /// Requests that it works on at once.
    pub workers: usize,
    /// Mean time of a request there, in seconds.
    pub work: f64,
    /// From when it takes nothing new by the list, where that comes, and discovery could be asked for it.
    pub drains_at: Option<f64>,
    /// While it warms up, where it started cold.
    pub slow_start: Option<SlowStart>,
    /// Seconds in which it does nothing: from and to.
    pub paused: Vec<(f64, f64)>,
    /// From when until when it is there, in seconds.
    pub alive: (f64, f64),
}

/// What a server can do while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// Requests a second once it is warm.
    pub rate: f64,
    /// Part of that at its start.
    pub from: f64,
    /// Until all of it, in seconds.
    pub lasts: f64,
    /// Sent this many times what it can do...
    pub multiple: f64,
    /// ...for so long, in seconds, it falls over.
    pub window: f64,
}

impl Server {
    /// Seconds of a stretch in which it could work.
    #[must_use]
    pub fn up(&self, from: f64, to: f64) -> f64 {
        let (from, to) = (from.max(self.alive.0), to.min(self.alive.1));
        let still = self.paused.iter().map(|(a, b)| (b.min(to) - a.max(from)).max(0.0)).sum::<f64>();
        (to - from - still).max(0.0)
    }
}

/// What a node was told of a server, as its trace has it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AvailabilityNotice {
    /// The node.
    pub node: usize,
    /// Place of the server in [`History::servers`].
    pub server: usize,
    /// When.
    pub at: f64,
    /// Whether it may be sent to from then on.
    pub ready: bool,
}

/// A server that a node chose, as its trace has it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerChoice {
    /// The node.
    pub node: usize,
    /// The request's id.
    pub id: u64,
    /// Place of the server in [`History::servers`].
    pub server: usize,
    /// When.
    pub at: f64,
}

/// A stretch in which a node could not do what it has to: killed or stopped.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeOutage {
    /// The node.
    pub node: usize,
    /// From.
    pub from: f64,
    /// To.
    pub to: f64,
}

/// Links through which a server does not hear in time that a node has closed its connection.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ImpairedLinks {
    /// Nodes.
    pub nodes: Vec<usize>,
    /// Places of servers in [`History::servers`].
    pub servers: Vec<usize>,
    /// From.
    pub from: f64,
    /// To.
    pub to: f64,
}

/// One run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct History {
    /// Its length in seconds; the first fifth is left out of the figures.
    pub length: f64,
    /// Requests, in the order in which they were due.
    pub requests: Vec<RequestRecord>,
    /// Attempts, in the order in which they were begun.
    pub attempts: Vec<ServerAttempt>,
    /// The servers.
    pub servers: Vec<Server>,
    /// Stretches without a node.
    pub outages: Vec<NodeOutage>,
    /// Links that hide a close: by them, servers cannot tell whether an attempt was over.
    pub impaired_links: Vec<ImpairedLinks>,
    /// Faults: from and to.
    pub faults: Vec<(f64, f64)>,
    /// Connections that servers accepted.
    pub connections: u64,
    /// What nodes were told of servers, in the order of time; nothing where they keep no trace.
    pub notices: Vec<AvailabilityNotice>,
    /// What nodes chose, in the order of time; nothing where they keep no trace.
    pub choices: Vec<ServerChoice>,
    /// Lines that the nodes' traces lost.
    pub lost_trace_lines: u64,
    /// Attempts that the servers could not log, for want of room.
    pub unlogged_attempts: u64,
    /// Sums of the nodes' own figures, where they could be asked.
    pub telemetry: BTreeMap<String, u64>,
    /// What clocks, sockets and busy cores may be late by, in seconds.
    pub slack: f64,
    /// Time in which keyed repeats are discarded, in seconds.
    pub window: f64,
}
