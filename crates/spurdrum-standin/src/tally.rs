//! What servers count, so that a test can ask whether a request ran twice, or twice at once.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::model::SimulatedOutcome;

/// What the servers of a fleet have seen.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    servers: BTreeMap<String, ServerCounters>,
    ids: HashMap<String, Runs>,
    keys: HashMap<String, Runs>,
    untracked: u64,
    /// Requests that are told apart.
    track: usize,
    /// Attempts one by one, so many at most, and the open ones of them by server and id.
    log: Vec<AttemptRecord>,
    log_most: usize,
    open: HashMap<(String, String), usize>,
    unlogged: u64,
}

/// One attempt, as its server saw it. Times count from the start of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptRecord {
    /// The server.
    pub server: String,
    /// The request's id.
    pub id: String,
    /// When its last byte had come.
    pub begun: Duration,
    /// When it was answered, or its sender left.
    pub ended: Option<Duration>,
}

/// What one server has seen.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerCounters {
    /// Requests that it began.
    pub begun: u64,
    /// Of them, answered well.
    pub served: u64,
    /// Requests that it turned away.
    pub refused: u64,
    /// Connections that it accepted.
    pub connections: u64,
    /// Requests that run now, and that wait.
    pub load: (usize, usize),
}

/// How often a request, or a key, ran.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Runs {
    /// In all.
    pub begun: u32,
    /// Now.
    pub out: u32,
    /// At once, at most.
    pub most_at_once: u32,
    /// When it was begun last, and answered well first, from the start of the fleet.
    pub begun_at: Duration,
    /// See `begun_at`.
    pub answered_at: Option<Duration>,
}

impl Counters {
    /// Tells so many requests apart.
    pub(crate) fn tracking(track: usize, log_most: usize) -> Self {
        Self { track, log_most, ..Self::default() }
    }

    pub(crate) fn server(&mut self, name: &str) -> &mut ServerCounters {
        if !self.servers.contains_key(name) {
            self.servers.insert(name.to_owned(), ServerCounters::default());
        }
        self.servers.get_mut(name).expect("inserted")
    }

    pub(crate) fn begin(&mut self, server: &str, id: &str, key: Option<&str>, at: Duration) {
        self.server(server).begun += 1;
        if self.log.len() < self.log_most {
            self.open.insert((server.to_owned(), id.to_owned()), self.log.len());
            self.log.push(AttemptRecord {
                server: server.to_owned(),
                id: id.to_owned(),
                begun: at,
                ended: None,
            });
        } else {
            self.unlogged += u64::from(self.log_most > 0);
        }
        let full = self.ids.len() >= self.track && !self.ids.contains_key(id);
        if full {
            self.untracked += 1;
            return;
        }
        let begin = |runs: &mut Runs| {
            runs.begun += 1;
            runs.out += 1;
            runs.most_at_once = runs.most_at_once.max(runs.out);
            runs.begun_at = at;
        };
        begin(self.ids.entry(id.to_owned()).or_default());
        if let Some(key) = key {
            begin(self.keys.entry(key.to_owned()).or_default());
        }
    }

    pub(crate) fn end(&mut self, server: &str, id: &str, fate: SimulatedOutcome, at: Duration) {
        let served = matches!(fate, SimulatedOutcome::Served | SimulatedOutcome::Surplus(_));
        self.server(server).served += u64::from(served);
        if self.log_most > 0 {
            let open = self.open.remove(&(server.to_owned(), id.to_owned()));
            if let Some(work) = open.and_then(|at| self.log.get_mut(at)) {
                work.ended = Some(at);
            }
        }
        if let Some(runs) = self.ids.get_mut(id) {
            runs.out = runs.out.saturating_sub(1);
            if served {
                runs.answered_at = runs.answered_at.or(Some(at));
            }
        }
    }

    /// What each server has seen, by its name.
    pub fn servers(&self) -> &BTreeMap<String, ServerCounters> {
        &self.servers
    }

    /// How often each request ran, by its id.
    pub fn ids(&self) -> &HashMap<String, Runs> {
        &self.ids
    }

    /// How often each key was begun.
    pub fn keys(&self) -> &HashMap<String, Runs> {
        &self.keys
    }

    /// Attempts one by one, in the order in which they were begun.
    pub fn log(&self) -> &[AttemptRecord] {
        &self.log
    }

    /// Attempts that were not logged, for want of room.
    pub fn unlogged(&self) -> u64 {
        self.unlogged
    }

    /// Requests that were not told apart, for want of room.
    pub fn untracked(&self) -> u64 {
        self.untracked
    }
}
