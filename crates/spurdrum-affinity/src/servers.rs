//! The servers that keys are bound to, as the list has them, had them, or had them in an earlier run.

use std::collections::{BTreeMap, HashMap};

use spurdrum_policy::{Availability, ServerId};

use crate::ring::Ring;

/// Starts that differ by less than this, in milliseconds, are one: clocks and lists round.
const SAME_START: f64 = 1000.0;

/// A server as the list has it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedServer {
    /// The same at every node and in every run.
    pub id: String,
    /// Its number in this run.
    pub server: ServerId,
    /// Whether it takes requests.
    pub availability: Availability,
    /// When it was started, in Unix milliseconds; `None` means long ago.
    pub started_at: Option<f64>,
    /// Whether it is in the node's own zone.
    pub same_zone: bool,
    /// Its weight.
    pub weight: f64,
    /// A hash of its name, the same at every node.
    pub name_hash: u64,
}

/// One run of one server: a process from its start to its end.
pub struct Run {
    /// The server's name.
    pub id: String,
    /// When it was started, in Unix milliseconds; 0 means long ago.
    pub started_at: f64,
    /// Never used for another run, in this node's life or a later one.
    pub number: u64,
    /// As the list has it; none while it does not.
    listed: Option<ListedServer>,
    /// While it is not listed: until when it may return.
    until: f64,
    /// Whether it is of an earlier life: what was bound to it may still be being read.
    pub restored: bool,
    /// Whether the store has it.
    pub written: bool,
}

/// The runs, each at a place of its own.
#[derive(Default)]
pub struct Servers {
    runs: Vec<Option<Run>>,
    free: Vec<u32>,
    by_id: HashMap<String, u32>,
    by_number: BTreeMap<u64, u32>,
    by_server: HashMap<ServerId, u32>,
    /// Of the node's own zone, and of all others.
    rings: [Ring; 2],
    ringed: bool,
    last_number: u64,
}

impl Servers {
    /// None is known. `ringed`: nodes are to agree on a ring.
    pub fn new(ringed: bool) -> Self {
        Self { ringed, ..Self::default() }
    }

    /// The run at a place.
    pub fn run(&self, at: u32) -> Option<&Run> {
        self.runs.get(at as usize).and_then(Option::as_ref)
    }

    /// See [`Servers::run`].
    pub fn run_mut(&mut self, at: u32) -> Option<&mut Run> {
        self.runs.get_mut(at as usize).and_then(Option::as_mut)
    }

    /// All of them, without their places.
    pub fn runs_mut(&mut self) -> impl Iterator<Item = &mut Run> {
        self.runs.iter_mut().flatten()
    }

    /// A run's server, while it takes requests.
    pub fn ready(&self, at: u32) -> Option<ServerId> {
        self.run(at)?.listed.as_ref().map(|listed| listed.server)
    }

    /// Where a server's present run is.
    pub fn of_server(&self, server: ServerId) -> Option<u32> {
        self.by_server.get(&server).copied()
    }

    /// Where a server's run is, by its name.
    pub fn of_id(&self, id: &str) -> Option<u32> {
        self.by_id.get(id).copied()
    }

    /// Where a run is, by its number.
    pub fn of_number(&self, number: u64) -> Option<u32> {
        self.by_number.get(&number).copied()
    }

    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &Run)> {
        self.runs.iter().enumerate().filter_map(|(at, run)| Some((at as u32, run.as_ref()?)))
    }

    /// Whether this is a run that is known.
    pub fn is_same(&self, at: u32, started_at: Option<f64>) -> bool {
        let begun = started_at.unwrap_or(0.0);
        self.run(at).is_some_and(|run| (run.started_at - begun).abs() < SAME_START)
    }

    /// A run that was not known.
    pub fn add(&mut self, id: &str, started_at: Option<f64>) -> u32 {
        self.last_number += 1;
        self.put(id, started_at.unwrap_or(0.0), self.last_number, f64::INFINITY)
    }

    /// A run of an earlier life, which may return until then. `None` where its server runs anew by now.
    pub fn restore(&mut self, id: &str, started_at: f64, number: u64, until: f64) -> Option<u32> {
        self.last_number = self.last_number.max(number);
        let known = self.by_id.contains_key(id) || self.by_number.contains_key(&number);
        (!known).then(|| self.put(id, started_at, number, until))
    }

    /// A run that has not been written goes by the number that an earlier life wrote. Whether it can.
    pub fn renumber(&mut self, at: u32, number: u64) -> bool {
        if self.by_number.contains_key(&number) {
            return false;
        }
        let Some(run) = self.runs[at as usize].as_mut() else { return false };
        let before = std::mem::replace(&mut run.number, number);
        self.by_number.remove(&before);
        self.by_number.insert(number, at);
        true
    }

    /// Numbers up to this one have been used.
    pub fn used_up_to(&mut self, number: u64) {
        self.last_number = self.last_number.max(number);
    }

    fn put(&mut self, id: &str, started_at: f64, number: u64, until: f64) -> u32 {
        let run = Some(Run {
            id: id.to_owned(),
            started_at,
            number,
            listed: None,
            until,
            restored: until.is_finite(),
            written: false,
        });
        let at = match self.free.pop() {
            Some(at) => {
                self.runs[at as usize] = run;
                at
            }
            None => {
                self.runs.push(run);
                (self.runs.len() - 1) as u32
            }
        };
        self.by_id.insert(id.to_owned(), at);
        self.by_number.insert(number, at);
        at
    }

    /// The list has a run: it takes requests.
    pub fn list(&mut self, at: u32, listed: ListedServer) {
        let ring = |near: bool| usize::from(!near);
        let Some(run) = self.runs[at as usize].as_mut() else { return };
        let placed = |l: &ListedServer| (l.same_zone, l.name_hash, l.weight.to_bits());
        if self.ringed && run.listed.as_ref().map(placed) != Some(placed(&listed)) {
            if let Some(old) = &run.listed {
                self.rings[ring(old.same_zone)].remove(at, old.name_hash, old.weight);
            }
            self.rings[ring(listed.same_zone)].add(at, listed.name_hash, listed.weight);
        }
        self.by_server.insert(listed.server, at);
        run.listed = Some(listed);
    }

    /// The list has it no more; it may return until then.
    pub fn unlist(&mut self, at: u32, until: f64) {
        let Some(run) = self.runs[at as usize].as_mut() else { return };
        run.until = until;
        if let Some(old) = run.listed.take() {
            // Where there are no rings, nothing is found there.
            self.rings[usize::from(!old.same_zone)].remove(at, old.name_hash, old.weight);
            self.by_server.remove(&old.server);
        }
    }

    /// It is over.
    pub fn remove(&mut self, at: u32) {
        self.unlist(at, 0.0);
        if let Some(run) = self.runs[at as usize].take() {
            if self.by_id.get(&run.id) == Some(&at) {
                self.by_id.remove(&run.id);
            }
            self.by_number.remove(&run.number);
            self.free.push(at);
        }
    }

    /// The server that nodes agree on for a key: of the node's zone where there is any, and not cold.
    pub fn by_ring(&self, now: f64, slow_start_ms: f64, key: u64) -> Option<u32> {
        let warm = |at| {
            let run = self.run(at);
            run.is_some_and(|run| now - run.started_at >= slow_start_ms && run.listed.is_some())
        };
        self.rings.iter().find_map(|ring| ring.find(key, warm))
    }
}

impl Run {
    /// Whether it takes requests.
    pub fn is_listed(&self) -> bool {
        self.listed.is_some()
    }

    /// Whether the time is over in which it may return.
    pub fn is_over(&self, now: f64) -> bool {
        self.listed.is_none() && now >= self.until
    }

    /// While it is not listed: until when it may return.
    pub fn until(&self) -> Option<f64> {
        self.listed.is_none().then_some(self.until)
    }
}
