//! Counters kept by the simulated servers, so that a test can check whether a request ran twice, or twice
//! concurrently.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::model::SimulatedOutcome;

/// Counters of all servers of a fleet.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    servers: BTreeMap<String, ServerCounters>,
    ids: HashMap<String, Runs>,
    keys: HashMap<String, Runs>,
    untracked: u64,
    /// Maximum number of request ids that are tracked individually.
    track: usize,
    /// Log of individual attempts, at most `max_logged` of them; `open` holds the log index of each
    /// unfinished one by server and request id.
    log: Vec<AttemptRecord>,
    max_logged: usize,
    open: HashMap<(String, String), usize>,
    unlogged: u64,
}

/// One attempt as seen by its server. Times count from the start of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptRecord {
    /// Name of the server.
    pub server: String,
    /// Id of the request.
    pub id: String,
    /// When the last byte of the request had arrived.
    pub begun: Duration,
    /// When the attempt was answered or its client closed the connection; `None` while it runs.
    pub ended: Option<Duration>,
}

/// Counters of one server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerCounters {
    /// Requests that the server began: all but those it refused and those whose connection it reset before
    /// their last byte.
    pub begun: u64,
    /// Requests answered with 200.
    pub served: u64,
    /// Requests refused with 503.
    pub refused: u64,
    /// Connections accepted.
    pub connections: u64,
    /// Number of requests that are running now and number that are queued.
    pub load: (usize, usize),
}

/// How often the request with one id, or the requests with one idempotency key, ran.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Runs {
    /// Total number of runs begun.
    pub begun: u32,
    /// Runs in progress. Not decremented for idempotency keys.
    pub in_flight: u32,
    /// Maximum number of concurrent runs so far (`in_flight`); for idempotency keys it equals `begun`.
    pub most_at_once: u32,
    /// When the last run began, as time since the start of the fleet.
    pub begun_at: Duration,
    /// When the request was first answered with 200, as time since the start of the fleet. Not set for
    /// idempotency keys.
    pub answered_at: Option<Duration>,
}

impl Counters {
    /// Creates counters that track at most `track` request ids and log at most `max_logged` attempts.
    pub(crate) fn tracking(track: usize, max_logged: usize) -> Self {
        Self { track, max_logged, ..Self::default() }
    }

    /// Returns the counters of a server, adding them if there are none.
    pub(crate) fn server(&mut self, name: &str) -> &mut ServerCounters {
        if !self.servers.contains_key(name) {
            self.servers.insert(name.to_owned(), ServerCounters::default());
        }
        self.servers.get_mut(name).expect("inserted")
    }

    /// Records that a server began a request.
    pub(crate) fn begin(&mut self, server: &str, id: &str, key: Option<&str>, at: Duration) {
        self.server(server).begun += 1;
        if self.log.len() < self.max_logged {
            self.open.insert((server.to_owned(), id.to_owned()), self.log.len());
            self.log.push(AttemptRecord {
                server: server.to_owned(),
                id: id.to_owned(),
                begun: at,
                ended: None,
            });
        } else {
            self.unlogged += u64::from(self.max_logged > 0);
        }
        let full = self.ids.len() >= self.track && !self.ids.contains_key(id);
        if full {
            self.untracked += 1;
            return;
        }
        let begin = |runs: &mut Runs| {
            runs.begun += 1;
            runs.in_flight += 1;
            runs.most_at_once = runs.most_at_once.max(runs.in_flight);
            runs.begun_at = at;
        };
        begin(self.ids.entry(id.to_owned()).or_default());
        if let Some(key) = key {
            begin(self.keys.entry(key.to_owned()).or_default());
        }
    }

    /// Records how a request ended that was begun with [`begin`](Self::begin).
    pub(crate) fn end(&mut self, server: &str, id: &str, outcome: SimulatedOutcome, at: Duration) {
        let served = matches!(outcome, SimulatedOutcome::Served | SimulatedOutcome::Surplus(_));
        self.server(server).served += u64::from(served);
        if self.max_logged > 0 {
            let open = self.open.remove(&(server.to_owned(), id.to_owned()));
            if let Some(record) = open.and_then(|index| self.log.get_mut(index)) {
                record.ended = Some(at);
            }
        }
        if let Some(runs) = self.ids.get_mut(id) {
            runs.in_flight = runs.in_flight.saturating_sub(1);
            if served {
                runs.answered_at = runs.answered_at.or(Some(at));
            }
        }
    }

    /// Returns the counters of each server by its name.
    pub fn servers(&self) -> &BTreeMap<String, ServerCounters> {
        &self.servers
    }

    /// Returns how often each request ran, by its id.
    pub fn ids(&self) -> &HashMap<String, Runs> {
        &self.ids
    }

    /// Returns how often a request with each idempotency key was begun.
    pub fn keys(&self) -> &HashMap<String, Runs> {
        &self.keys
    }

    /// Returns the logged attempts in the order in which they were begun.
    pub fn log(&self) -> &[AttemptRecord] {
        &self.log
    }

    /// Returns the number of attempts that were not logged because the log was full.
    pub fn unlogged(&self) -> u64 {
        self.unlogged
    }

    /// Returns the number of attempts that were not tracked because the limit on request ids was reached.
    pub fn untracked(&self) -> u64 {
        self.untracked
    }
}
