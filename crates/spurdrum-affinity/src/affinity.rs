//! What is bound to which server, when that changes, and what of it is to be written.

use std::collections::{HashSet, VecDeque};
use std::fmt;

use spurdrum_policy::{Availability, ServerId};

use crate::record::{PendingWrite, StoredBinding};
use crate::servers::{ListedServer, Run, Servers};
use crate::settings::{InitialPlacement, Settings};
use crate::table::{Binding, Entered, Found, Table};
use crate::AffinityKey;

/// Runs that are over and still to be taken out of the store, at the most. What is missed there is harmless: the list tells
/// what has become of it.
const OVER_MOST: usize = 65_536;
/// Expired bindings that are cleared at one event.
const EXPIRE_MOST: usize = 64;
/// A use is written once it is newer than what was written by this part of the time that it lasts.
const USE_PART: f64 = 1.0 / 8.0;

/// What has become of keys, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests with a key.
    pub requests: u64,
    /// Of them, those whose key was bound to a server that takes requests.
    pub bound_requests: u64,
    /// Served by the server that their key was bound to.
    pub served_by_bound: u64,
    /// Served elsewhere, their key's server being there.
    pub served_elsewhere: u64,
    /// Keys bound anew.
    pub inserted: u64,
    /// Keys bound to another server: theirs was gone, or they were served elsewhere time and again.
    pub rebound: u64,
    /// Bindings dropped because their server drained, was started anew, or did not return.
    pub dropped: u64,
    /// Bindings dropped because of their age.
    pub expired: u64,
    /// Bindings that made room for others.
    pub evicted: u64,
    /// Keys not bound, for want of room that was theirs to take.
    pub refused: u64,
    /// Bindings of an earlier life.
    pub restored: u64,
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            requests,
            bound_requests,
            served_by_bound,
            served_elsewhere,
            inserted,
            rebound,
            dropped,
            expired,
            evicted,
            refused,
            restored,
        } = self;
        write!(
            f,
            "asked {requests}, bound {bound_requests}, kept {served_by_bound}, away {served_elsewhere}; entered {inserted}, moved {rebound}, dropped {dropped}, \
             expired {expired}, evicted {evicted}, refused {refused}, restored {restored}"
        )
    }
}

/// The bindings of one node. Times are Unix milliseconds that never run backwards.
pub struct Affinity {
    settings: Settings,
    table: Table,
    servers: Servers,
    /// Runs that the list has lost and that may return.
    absent: Vec<u32>,
    /// When the first of them is over.
    returns_by: f64,
    /// Written runs that are over.
    over: VecDeque<u64>,
    counters: Counters,
}

impl Affinity {
    /// Nothing is bound yet. The memory for all bindings is taken now.
    ///
    /// # Errors
    ///
    /// The first setting that makes no sense, and why.
    pub fn new(settings: Settings, now: f64) -> Result<Self, (&'static str, &'static str)> {
        settings.validate()?;
        let mut servers = Servers::new(settings.initial_placement == InitialPlacement::Ring);
        // Guards against one number for two runs: an earlier life's are known only once they have been read.
        servers.used_up_to(now.max(0.0) as u64 * 1_000);
        let table = Table::new(settings.max_bindings);
        let (absent, returns_by, over) = (Vec::new(), f64::INFINITY, VecDeque::new());
        Ok(Self { settings, table, servers, absent, returns_by, over, counters: Counters::default() })
    }

    // ---- Requests

    /// The server that a request had better have.
    pub fn preferred_server(&mut self, now: f64, ask: AffinityKey) -> Option<ServerId> {
        self.tick(now);
        self.counters.requests += 1;
        match self.table.ask(now, ask.hash, self.settings.idle_timeout_ms, self.settings.max_age_ms) {
            Found::At(at) => {
                self.table.mark_if_older(at, self.settings.idle_timeout_ms * USE_PART);
                let server = self.servers.ready(self.table.binding(at).server);
                self.counters.bound_requests += u64::from(server.is_some());
                return server;
            }
            Found::Expired => self.counters.expired += 1,
            Found::Nothing => {}
        }
        match self.settings.initial_placement {
            InitialPlacement::LowestCount => None,
            InitialPlacement::Ring => {
                let at = self.servers.by_ring(now, self.settings.slow_start_ms, ask.ring_hash)?;
                self.servers.ready(at)
            }
        }
    }

    /// A server has served a request.
    pub fn record_served(&mut self, now: f64, ask: AffinityKey, server: ServerId) {
        // One that drains or is gone by now gets no key.
        let Some(to) = self.servers.of_server(server) else { return };
        let Some(at) = self.table.place(ask.hash) else {
            let (key, owner) = (ask.hash, ask.owner);
            let binding = Binding { key, owner, server: to, used_at: now, bound_at: now, away: 0 };
            let entered = self.table.enter(self.settings.idle_timeout_ms, binding);
            self.counters.evicted += u64::from(entered == Entered::Evicted);
            if entered == Entered::Refused {
                self.counters.refused += 1;
            } else {
                self.counters.inserted += 1;
            }
            return;
        };
        let binding = *self.table.binding(at);
        if binding.server == to {
            self.counters.served_by_bound += 1;
            self.table.binding_mut(at).away = 0;
            return;
        }
        let there = self.servers.ready(binding.server).is_some();
        let away = binding.away.saturating_add(1);
        self.counters.served_elsewhere += u64::from(there);
        // Guards against keys that swing: a server that is full or ill for a moment has them back.
        let settled = now - binding.bound_at >= self.settings.rebind_min_age_ms;
        if !there || away >= self.settings.rebind_after && settled {
            self.table.rebind(now, at, to);
            self.counters.rebound += 1;
        } else {
            self.table.binding_mut(at).away = away;
        }
    }

    // ---- The list

    /// The whole list, or what changed in it.
    pub fn apply_list(&mut self, now: f64, complete: bool, list: Vec<ListedServer>) {
        if complete {
            let ids: HashSet<&str> = list.iter().map(|listed| listed.id.as_str()).collect();
            let lost = self.servers.iter().filter(|(_, run)| !ids.contains(run.id.as_str()));
            let lost: Vec<u32> = lost.map(|(at, _)| at).collect();
            lost.into_iter().for_each(|at| self.absent(now, at));
        }
        for listed in list {
            let known = self.servers.of_id(&listed.id);
            match (listed.availability, known) {
                (Availability::Ready, Some(at)) if self.servers.is_same(at, listed.started_at) => {
                    self.servers.list(at, listed);
                }
                (Availability::Ready, known) => {
                    // What was kept there went with its process.
                    known.into_iter().for_each(|at| self.over(at));
                    let at = self.servers.add(&listed.id, listed.started_at);
                    self.servers.list(at, listed);
                }
                (Availability::Draining, Some(at)) => self.over(at),
                (Availability::Gone, Some(at)) => self.absent(now, at),
                (Availability::Draining | Availability::Gone, None) => {}
            }
        }
        // Those that hold nothing need not be waited for.
        self.end_absent(|run, bindings| !run.is_listed() && bindings == 0 && !run.restored);
        self.tick(now);
    }

    /// Ends the absent runs of which this is true, and forgets which of them were absent and are listed again.
    fn end_absent(&mut self, is_over: impl Fn(&Run, usize) -> bool) {
        let (servers, table) = (&self.servers, &self.table);
        let due = |at: &u32| servers.run(*at).is_some_and(|run| is_over(run, table.of_server(*at)));
        let due: Vec<u32> = self.absent.iter().copied().filter(due).collect();
        due.into_iter().for_each(|at| self.over(at));
        let servers = &self.servers;
        self.absent.retain(|at| servers.run(*at).is_some_and(|run| !run.is_listed()));
        let until = self.absent.iter().filter_map(|at| servers.run(*at)?.until());
        self.returns_by = until.fold(f64::INFINITY, f64::min);
    }

    /// A run is not listed any more; it may return.
    fn absent(&mut self, now: f64, at: u32) {
        if self.servers.run(at).is_some_and(|run| run.is_listed()) {
            self.servers.unlist(at, now + self.settings.return_timeout_ms);
            self.awaited(at);
        }
    }

    fn awaited(&mut self, at: u32) {
        self.absent.push(at);
        let until = self.servers.run(at).and_then(Run::until);
        self.returns_by = self.returns_by.min(until.unwrap_or(f64::INFINITY));
    }

    /// A run is over: what was bound to it is bound no more, however much that is.
    fn over(&mut self, at: u32) {
        self.counters.dropped += self.table.lose(at) as u64;
        if let Some(run) = self.servers.run(at).filter(|run| run.written) {
            self.over.push_back(run.number);
            if self.over.len() > OVER_MOST {
                self.over.pop_front();
            }
        }
        self.servers.remove(at);
    }

    /// Time has passed: what is over is dropped, a part at a time.
    pub fn tick(&mut self, now: f64) {
        let expired = self.table.expire(now - self.settings.idle_timeout_ms, EXPIRE_MOST);
        self.counters.expired += expired as u64;
        if now >= self.returns_by {
            self.end_absent(|run, _| run.is_over(now));
        }
    }

    /// When [`Affinity::tick`] has something to do, if nothing else happens.
    pub fn next_wake(&self) -> Option<f64> {
        let expires = self.table.oldest().map(|used_at| used_at + self.settings.idle_timeout_ms);
        expires.into_iter().chain(Some(self.returns_by).filter(|by| by.is_finite())).reduce(f64::min)
    }

    // ---- What is written, and read again

    /// What is to be written next, so much at the most. A run is always written before what is bound to it.
    pub fn take_writes(&mut self, most: usize) -> Vec<PendingWrite> {
        let mut writes = Vec::new();
        while writes.len() < most {
            let Some(number) = self.over.pop_front() else { break };
            writes.push(PendingWrite::Run(number, None));
        }
        while writes.len() < most {
            let Some((at, binding)) = self.table.take_marked() else { break };
            let run = binding.and_then(|binding| Some((binding, self.servers.run_mut(binding.server)?)));
            let Some((binding, run)) = run else {
                writes.push(PendingWrite::Slot(at, None));
                continue;
            };
            if !std::mem::replace(&mut run.written, true) {
                writes.push(PendingWrite::Run(run.number, Some((run.id.clone(), run.started_at))));
            }
            let Binding { key, owner, used_at, bound_at, .. } = binding;
            let stored = StoredBinding { key, owner, run: run.number, used_at, bound_at };
            writes.push(PendingWrite::Slot(at, Some(stored)));
        }
        writes
    }

    /// Changes that wait to be written.
    pub fn unwritten(&self) -> usize {
        self.over.len() + self.table.marked()
    }

    /// These could not be written: they are to be written again, as they are by then.
    pub fn requeue_writes(&mut self, writes: Vec<PendingWrite>) {
        for write in writes {
            match write {
                PendingWrite::Run(number, None) if self.over.len() < OVER_MOST => self.over.push_back(number),
                PendingWrite::Run(_, None) => {}
                PendingWrite::Run(number, Some(_)) => {
                    let at = self.servers.of_number(number);
                    if let Some(run) = at.and_then(|at| self.servers.run_mut(at)) {
                        run.written = false;
                    }
                }
                PendingWrite::Slot(at, _) => self.table.mark(at),
            }
        }
    }

    /// What was written is lost: all is to be written again.
    pub fn queue_rewrite(&mut self) {
        self.over.clear();
        self.servers.runs_mut().for_each(|run| run.written = false);
        self.table.mark_all();
    }

    /// A run of an earlier life. Whether what was bound to it may still count.
    pub fn restore_run(&mut self, now: f64, number: u64, id: &str, started_at: f64) -> bool {
        if self.servers.of_number(number).is_some_and(|at| self.servers.of_id(id) == Some(at)) {
            return true;
        }
        let until = now + self.settings.return_timeout_ms;
        let at = match self.servers.of_id(id) {
            // The list came first.
            Some(at) if self.servers.is_same(at, Some(started_at)) => {
                let unwritten = self.servers.run(at).is_some_and(|run| !run.written);
                (unwritten && self.servers.renumber(at, number)).then_some(at)
            }
            Some(_) => None,
            None => {
                let at = self.servers.restore(id, started_at, number, until);
                at.into_iter().for_each(|at| self.awaited(at));
                at
            }
        };
        match at.and_then(|at| self.servers.run_mut(at)) {
            Some(run) => run.written = true,
            None => self.over.push_back(number),
        }
        at.is_some()
    }

    /// A binding of an earlier life. One made in this life goes before.
    pub fn restore_binding(&mut self, now: f64, at: u32, stored: &StoredBinding) {
        let StoredBinding { key, owner, run, used_at, bound_at } = *stored;
        // Guards against a clock that was ahead: such a binding would never age.
        let (used_at, bound_at) = (used_at.min(now), bound_at.min(now));
        let lives =
            now - used_at <= self.settings.idle_timeout_ms && now - bound_at <= self.settings.max_age_ms;
        let server = self.servers.of_number(run).filter(|_| lives);
        let restored = server.and_then(|server| {
            let binding = Binding { key, owner, server, used_at, bound_at, away: 0 };
            self.table.restore(at, binding)
        });
        self.counters.restored += u64::from(restored.is_some());
        // What stands written there is void.
        if restored != Some(true) && (at as usize) < self.settings.max_bindings {
            self.table.mark(at);
        }
    }

    // ---- What operators see

    /// Counts since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Bindings that hold.
    pub fn len(&self) -> usize {
        self.table.bound()
    }

    /// Whether nothing is bound.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Bindings of an owner, those whose server is lost among them until their places are needed.
    pub fn owner_bindings(&self, owner: u64) -> usize {
        self.table.of_owner(owner)
    }

    /// The state in one line, for operators.
    pub fn status(&self) -> String {
        let listed = self.servers.iter().filter(|(_, run)| run.is_listed()).count();
        let away: usize = self.absent.iter().map(|at| self.table.of_server(*at)).sum();
        format!(
            "affinity {} of {} places, of owners {}, to servers {listed}, to absent ones {away}, unwritten {}; {}",
            self.len(),
            self.settings.max_bindings,
            self.table.owners(),
            self.unwritten(),
            self.counters
        )
    }
}
