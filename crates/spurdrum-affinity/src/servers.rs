//! The servers that keys are bound to: those on the list, those that have left it and may return, and those
//! restored from a previous process of the node.

use std::collections::{BTreeMap, HashMap};

use spurdrum_policy::{Availability, ServerId};

use crate::ring::Ring;

/// Start times that differ by less than this, in milliseconds, are taken for the same start: clocks and lists
/// round them.
const START_TOLERANCE_MS: f64 = 1000.0;

/// A server according to the list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedServer {
    /// The server's name, the same at every node and in every process of the node.
    pub id: String,
    /// The server's number in this process of the node.
    pub server: ServerId,
    /// Whether the server accepts requests.
    pub availability: Availability,
    /// When the server was started, in Unix milliseconds; `None` means long ago.
    pub started_at: Option<f64>,
    /// Whether the server is in the node's own zone.
    pub same_zone: bool,
    /// The server's weight.
    pub weight: f64,
    /// A hash of the server's name, the same at every node.
    pub name_hash: u64,
}

/// One run of a server: the lifetime of one of its processes.
pub struct Run {
    /// The server's name.
    pub id: String,
    /// When the server was started, in Unix milliseconds; 0 means long ago.
    pub started_at: f64,
    /// A number never used for another run, in this process of the node or a later one.
    pub number: u64,
    /// The server's entry on the list; `None` while it is not listed.
    listed: Option<ListedServer>,
    /// Until when the run may return, while it is not listed.
    return_deadline: f64,
    /// Whether the run was restored from a previous process of the node: bindings to it may still be read
    /// from the store.
    pub restored: bool,
    /// Whether the run has been written to the store.
    pub written: bool,
}

/// All known runs, each under an index of its own.
#[derive(Default)]
pub struct Servers {
    runs: Vec<Option<Run>>,
    /// Unused indices of `runs`.
    free: Vec<u32>,
    by_id: HashMap<String, u32>,
    by_number: BTreeMap<u64, u32>,
    by_server: HashMap<ServerId, u32>,
    /// The ring of the servers in the node's own zone, and that of all others.
    rings: [Ring; 2],
    uses_rings: bool,
    /// The highest run number in use so far.
    last_number: u64,
}

impl Servers {
    /// Returns a set without servers. With `uses_rings`, listed servers are also placed on consistent-hash
    /// rings.
    pub fn new(uses_rings: bool) -> Self {
        Self { uses_rings, ..Self::default() }
    }

    /// Returns the run at an index.
    pub fn run(&self, run_index: u32) -> Option<&Run> {
        self.runs.get(run_index as usize).and_then(Option::as_ref)
    }

    /// Returns the run at an index, mutably.
    pub fn run_mut(&mut self, run_index: u32) -> Option<&mut Run> {
        self.runs.get_mut(run_index as usize).and_then(Option::as_mut)
    }

    /// Iterates over all runs mutably, without their indices.
    pub fn runs_mut(&mut self) -> impl Iterator<Item = &mut Run> {
        self.runs.iter_mut().flatten()
    }

    /// Returns the server of a run, if it is listed and accepts requests.
    pub fn ready(&self, run_index: u32) -> Option<ServerId> {
        self.run(run_index)?.listed.as_ref().map(|listed| listed.server)
    }

    /// Returns the index of a server's current run.
    pub fn of_server(&self, server: ServerId) -> Option<u32> {
        self.by_server.get(&server).copied()
    }

    /// Returns the index of a server's run by the server's name.
    pub fn of_id(&self, id: &str) -> Option<u32> {
        self.by_id.get(id).copied()
    }

    /// Returns the index of a run by its number.
    pub fn of_number(&self, number: u64) -> Option<u32> {
        self.by_number.get(&number).copied()
    }

    /// Iterates over all runs with their indices.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &Run)> {
        self.runs.iter().enumerate().filter_map(|(run_index, run)| Some((run_index as u32, run.as_ref()?)))
    }

    /// Returns whether a server that was started at this time is the same process as a known run.
    pub fn is_same(&self, run_index: u32, started_at: Option<f64>) -> bool {
        let started_at_ms = started_at.unwrap_or(0.0);
        self.run(run_index).is_some_and(|run| (run.started_at - started_at_ms).abs() < START_TOLERANCE_MS)
    }

    /// Adds a run that was not known and returns its index.
    pub fn add(&mut self, id: &str, started_at: Option<f64>) -> u32 {
        self.last_number += 1;
        self.insert(id, started_at.unwrap_or(0.0), self.last_number, f64::INFINITY)
    }

    /// Adds a run from a previous process of the node, which may return until the given time. Returns its
    /// index, or `None` if the server or the number is already known: the server has been restarted since.
    pub fn restore(&mut self, id: &str, started_at: f64, number: u64, return_deadline: f64) -> Option<u32> {
        self.last_number = self.last_number.max(number);
        let known = self.by_id.contains_key(id) || self.by_number.contains_key(&number);
        (!known).then(|| self.insert(id, started_at, number, return_deadline))
    }

    /// Gives a run that has not been written yet the number under which a previous process of the node wrote
    /// it. Returns whether the number was free.
    pub fn renumber(&mut self, run_index: u32, number: u64) -> bool {
        if self.by_number.contains_key(&number) {
            return false;
        }
        let Some(run) = self.runs[run_index as usize].as_mut() else { return false };
        let previous_number = std::mem::replace(&mut run.number, number);
        self.by_number.remove(&previous_number);
        self.by_number.insert(number, run_index);
        true
    }

    /// Marks all run numbers up to this one as used.
    pub fn used_up_to(&mut self, number: u64) {
        self.last_number = self.last_number.max(number);
    }

    fn insert(&mut self, id: &str, started_at: f64, number: u64, return_deadline: f64) -> u32 {
        let run = Some(Run {
            id: id.to_owned(),
            started_at,
            number,
            listed: None,
            return_deadline,
            restored: return_deadline.is_finite(),
            written: false,
        });
        let run_index = match self.free.pop() {
            Some(free_index) => {
                self.runs[free_index as usize] = run;
                free_index
            }
            None => {
                self.runs.push(run);
                (self.runs.len() - 1) as u32
            }
        };
        self.by_id.insert(id.to_owned(), run_index);
        self.by_number.insert(number, run_index);
        run_index
    }

    /// Records that a run is listed and accepts requests.
    pub fn list(&mut self, run_index: u32, listed: ListedServer) {
        let ring = |same_zone: bool| usize::from(!same_zone);
        let Some(run) = self.runs[run_index as usize].as_mut() else { return };
        let ring_position = |l: &ListedServer| (l.same_zone, l.name_hash, l.weight.to_bits());
        if self.uses_rings && run.listed.as_ref().map(ring_position) != Some(ring_position(&listed)) {
            if let Some(old) = &run.listed {
                self.rings[ring(old.same_zone)].remove(run_index, old.name_hash, old.weight);
            }
            self.rings[ring(listed.same_zone)].add(run_index, listed.name_hash, listed.weight);
        }
        self.by_server.insert(listed.server, run_index);
        run.listed = Some(listed);
    }

    /// Records that a run is no longer listed and may return until the given time.
    pub fn unlist(&mut self, run_index: u32, return_deadline: f64) {
        let Some(run) = self.runs[run_index as usize].as_mut() else { return };
        run.return_deadline = return_deadline;
        if let Some(old) = run.listed.take() {
            // Without `uses_rings` the rings are empty, and this removes nothing.
            self.rings[usize::from(!old.same_zone)].remove(run_index, old.name_hash, old.weight);
            self.by_server.remove(&old.server);
        }
    }

    /// Removes a run that has ended.
    pub fn remove(&mut self, run_index: u32) {
        self.unlist(run_index, 0.0);
        if let Some(run) = self.runs[run_index as usize].take() {
            if self.by_id.get(&run.id) == Some(&run_index) {
                self.by_id.remove(&run.id);
            }
            self.by_number.remove(&run.number);
            self.free.push(run_index);
        }
    }

    /// Returns the index of the run that all nodes choose for a key by the rings: one in the node's own zone
    /// if there is any, and none in its slow start.
    pub fn by_ring(&self, now: f64, slow_start_ms: f64, ring_hash: u64) -> Option<u32> {
        let is_eligible = |run_index| {
            let run = self.run(run_index);
            run.is_some_and(|run| now - run.started_at >= slow_start_ms && run.listed.is_some())
        };
        self.rings.iter().find_map(|ring| ring.find(ring_hash, is_eligible))
    }
}

impl Run {
    /// Returns whether the server is listed and accepts requests.
    pub fn is_listed(&self) -> bool {
        self.listed.is_some()
    }

    /// Returns whether the run is not listed and the time for its return has passed.
    pub fn is_over(&self, now: f64) -> bool {
        self.listed.is_none() && now >= self.return_deadline
    }

    /// Returns until when the run may return, while it is not listed.
    pub fn return_deadline(&self) -> Option<f64> {
        self.listed.is_none().then_some(self.return_deadline)
    }
}
