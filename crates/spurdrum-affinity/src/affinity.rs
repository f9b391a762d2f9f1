//! Which key is bound to which server, when a binding changes, and which changes have to be written to the
//! store.

use std::collections::{HashSet, VecDeque};
use std::fmt;

use spurdrum_policy::{Availability, ServerId};

use crate::record::{PendingWrite, StoredBinding};
use crate::servers::{ListedServer, Run, Servers};
use crate::settings::{InitialPlacement, Settings};
use crate::table::{Binding, InsertOutcome, Lookup, Table};
use crate::AffinityKey;

/// Limit on the ended runs that wait to be removed from the store. A run that is never removed there does no
/// harm: after a restart, the list tells what has become of its server.
const MAX_ENDED_RUNS: usize = 65_536;
/// Limit on the expired bindings that are cleared at one event.
const MAX_EXPIRED_PER_TICK: usize = 64;
/// The last use of a binding is written again once it is newer than the stored one by this share of the idle
/// timeout.
const REWRITE_USE_SHARE: f64 = 1.0 / 8.0;

/// Counters of requests and bindings since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests with a key.
    pub requests: u64,
    /// Requests whose key was bound to a server that accepts requests.
    pub bound_requests: u64,
    /// Requests served by the server that their key was bound to.
    pub served_by_bound: u64,
    /// Requests served by another server although the one that their key was bound to accepted requests.
    pub served_elsewhere: u64,
    /// Keys that were bound and were not before.
    pub inserted: u64,
    /// Keys bound to another server, because theirs was gone or because others served them repeatedly.
    pub rebound: u64,
    /// Bindings dropped because their server drained, was restarted, or did not return.
    pub dropped: u64,
    /// Bindings dropped because of their age.
    pub expired: u64,
    /// Bindings that were evicted to make room for others.
    pub evicted: u64,
    /// Keys not bound because there was no slot that they could take.
    pub refused: u64,
    /// Bindings restored from a previous process of the node.
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
            "asked {requests}, bound {bound_requests}, kept {served_by_bound}, away {served_elsewhere}; \
             entered {inserted}, moved {rebound}, dropped {dropped}, expired {expired}, evicted {evicted}, \
             refused {refused}, restored {restored}"
        )
    }
}

/// The bindings of one node. Times are Unix milliseconds that never run backwards.
pub struct Affinity {
    settings: Settings,
    table: Table,
    servers: Servers,
    /// Runs that are no longer listed and may return, by their index in `servers`.
    absent: Vec<u32>,
    /// The earliest time at which one of the absent runs ends.
    next_return_deadline: f64,
    /// Numbers of ended runs that are still in the store.
    ended_runs: VecDeque<u64>,
    counters: Counters,
}

impl Affinity {
    /// Returns a node's bindings, of which there are none yet. The memory for all bindings is allocated now.
    ///
    /// # Errors
    ///
    /// The key of the first invalid setting, and the reason.
    pub fn new(settings: Settings, now: f64) -> Result<Self, (&'static str, &'static str)> {
        settings.validate()?;
        let mut servers = Servers::new(settings.initial_placement == InitialPlacement::Ring);
        // Run numbers start from the current time. Otherwise a new run could get the number of one from a
        // previous process of the node, whose numbers are only known once the store has been read.
        servers.used_up_to(now.max(0.0) as u64 * 1_000);
        let table = Table::new(settings.max_bindings);
        let (absent, next_return_deadline, ended_runs) = (Vec::new(), f64::INFINITY, VecDeque::new());
        Ok(Self {
            settings,
            table,
            servers,
            absent,
            next_return_deadline,
            ended_runs,
            counters: Counters::default(),
        })
    }

    // ---- Requests

    /// Returns the server that a request with this key should preferably be sent to.
    pub fn preferred_server(&mut self, now: f64, key: AffinityKey) -> Option<ServerId> {
        self.tick(now);
        self.counters.requests += 1;
        match self.table.look_up(now, key.hash, self.settings.idle_timeout_ms, self.settings.max_age_ms) {
            Lookup::Bound(slot) => {
                self.table.mark_dirty_if_older(slot, self.settings.idle_timeout_ms * REWRITE_USE_SHARE);
                let server = self.servers.ready(self.table.binding(slot).server);
                self.counters.bound_requests += u64::from(server.is_some());
                return server;
            }
            Lookup::Expired => self.counters.expired += 1,
            Lookup::NotBound => {}
        }
        match self.settings.initial_placement {
            InitialPlacement::LowestCount => None,
            InitialPlacement::Ring => {
                let run_index = self.servers.by_ring(now, self.settings.slow_start_ms, key.ring_hash)?;
                self.servers.ready(run_index)
            }
        }
    }

    /// Records that a server has served a request with this key. Binds the key to the server if it has no
    /// binding, or moves its binding to the server if the conditions for that hold.
    pub fn record_served(&mut self, now: f64, key: AffinityKey, server: ServerId) {
        // No key is bound to a server that is draining or gone by now.
        let Some(run_index) = self.servers.of_server(server) else { return };
        let Some(slot) = self.table.find_bound(key.hash) else {
            let (key, owner) = (key.hash, key.owner);
            let binding =
                Binding { key, owner, server: run_index, used_at: now, bound_at: now, served_elsewhere: 0 };
            let outcome = self.table.insert(self.settings.idle_timeout_ms, binding);
            self.counters.evicted += u64::from(outcome == InsertOutcome::Evicted);
            if outcome == InsertOutcome::Rejected {
                self.counters.refused += 1;
            } else {
                self.counters.inserted += 1;
            }
            return;
        };
        let binding = *self.table.binding(slot);
        if binding.server == run_index {
            self.counters.served_by_bound += 1;
            self.table.binding_mut(slot).served_elsewhere = 0;
            return;
        }
        let bound_server_ready = self.servers.ready(binding.server).is_some();
        let served_elsewhere = binding.served_elsewhere.saturating_add(1);
        self.counters.served_elsewhere += u64::from(bound_server_ready);
        // Without a minimum age, keys would swing between servers: a server that is full or unhealthy only
        // for a moment gets its keys back.
        let old_enough = now - binding.bound_at >= self.settings.rebind_min_age_ms;
        if !bound_server_ready || served_elsewhere >= self.settings.rebind_after && old_enough {
            self.table.rebind(now, slot, run_index);
            self.counters.rebound += 1;
        } else {
            self.table.binding_mut(slot).served_elsewhere = served_elsewhere;
        }
    }

    // ---- The list

    /// Applies the complete list of servers, or the changes of it.
    pub fn apply_list(&mut self, now: f64, complete: bool, list: Vec<ListedServer>) {
        if complete {
            let ids: HashSet<&str> = list.iter().map(|listed| listed.id.as_str()).collect();
            let missing = self.servers.iter().filter(|(_, run)| !ids.contains(run.id.as_str()));
            let missing: Vec<u32> = missing.map(|(run_index, _)| run_index).collect();
            missing.into_iter().for_each(|run_index| self.mark_absent(now, run_index));
        }
        for listed in list {
            let known = self.servers.of_id(&listed.id);
            match (listed.availability, known) {
                (Availability::Ready, Some(run_index))
                    if self.servers.is_same(run_index, listed.started_at) =>
                {
                    self.servers.list(run_index, listed);
                }
                (Availability::Ready, known) => {
                    // What the server kept for its keys was lost with its previous process.
                    known.into_iter().for_each(|run_index| self.end_run(run_index));
                    let run_index = self.servers.add(&listed.id, listed.started_at);
                    self.servers.list(run_index, listed);
                }
                (Availability::Draining, Some(run_index)) => self.end_run(run_index),
                (Availability::Gone, Some(run_index)) => self.mark_absent(now, run_index),
                (Availability::Draining | Availability::Gone, None) => {}
            }
        }
        // The return of a run without bindings does not matter.
        self.end_absent_runs(|run, bindings| !run.is_listed() && bindings == 0 && !run.restored);
        self.tick(now);
    }

    /// Ends the absent runs for which `is_over` is true, given the run and the number of its bindings. Also
    /// removes those that are listed again from the absent ones.
    fn end_absent_runs(&mut self, is_over: impl Fn(&Run, usize) -> bool) {
        let (servers, table) = (&self.servers, &self.table);
        let ended =
            |index: &u32| servers.run(*index).is_some_and(|run| is_over(run, table.server_bindings(*index)));
        let ended: Vec<u32> = self.absent.iter().copied().filter(ended).collect();
        ended.into_iter().for_each(|run_index| self.end_run(run_index));
        let servers = &self.servers;
        self.absent.retain(|run_index| servers.run(*run_index).is_some_and(|run| !run.is_listed()));
        let deadlines = self.absent.iter().filter_map(|run_index| servers.run(*run_index)?.return_deadline());
        self.next_return_deadline = deadlines.fold(f64::INFINITY, f64::min);
    }

    /// Records that a run is no longer listed; it may return until its return timeout.
    fn mark_absent(&mut self, now: f64, run_index: u32) {
        if self.servers.run(run_index).is_some_and(|run| run.is_listed()) {
            self.servers.unlist(run_index, now + self.settings.return_timeout_ms);
            self.await_return(run_index);
        }
    }

    fn await_return(&mut self, run_index: u32) {
        self.absent.push(run_index);
        let deadline = self.servers.run(run_index).and_then(Run::return_deadline);
        self.next_return_deadline = self.next_return_deadline.min(deadline.unwrap_or(f64::INFINITY));
    }

    /// Ends a run and drops all its bindings at once, however many there are.
    fn end_run(&mut self, run_index: u32) {
        self.counters.dropped += self.table.lose_server(run_index) as u64;
        if let Some(run) = self.servers.run(run_index).filter(|run| run.written) {
            self.ended_runs.push_back(run.number);
            if self.ended_runs.len() > MAX_ENDED_RUNS {
                self.ended_runs.pop_front();
            }
        }
        self.servers.remove(run_index);
    }

    /// Drops what has expired by now, a limited number of bindings at a time.
    pub fn tick(&mut self, now: f64) {
        let expired = self.table.expire(now - self.settings.idle_timeout_ms, MAX_EXPIRED_PER_TICK);
        self.counters.expired += expired as u64;
        if now >= self.next_return_deadline {
            self.end_absent_runs(|run, _| run.is_over(now));
        }
    }

    /// Returns when [`Affinity::tick`] will have something to do, if nothing else happens before.
    pub fn next_wake(&self) -> Option<f64> {
        let expires_at = self.table.oldest_use().map(|used_at| used_at + self.settings.idle_timeout_ms);
        expires_at
            .into_iter()
            .chain(Some(self.next_return_deadline).filter(|deadline| deadline.is_finite()))
            .reduce(f64::min)
    }

    // ---- Writing to the store and reading from it

    /// Returns up to `max` changes to write next, or one more. A run is always written before the bindings to
    /// it.
    pub fn take_writes(&mut self, max: usize) -> Vec<PendingWrite> {
        let mut writes = Vec::new();
        while writes.len() < max {
            let Some(number) = self.ended_runs.pop_front() else { break };
            writes.push(PendingWrite::Run(number, None));
        }
        while writes.len() < max {
            let Some((slot, binding)) = self.table.take_dirty() else { break };
            let run = binding.and_then(|binding| Some((binding, self.servers.run_mut(binding.server)?)));
            let Some((binding, run)) = run else {
                writes.push(PendingWrite::Slot(slot, None));
                continue;
            };
            if !std::mem::replace(&mut run.written, true) {
                writes.push(PendingWrite::Run(run.number, Some((run.id.clone(), run.started_at))));
            }
            let Binding { key, owner, used_at, bound_at, .. } = binding;
            let stored = StoredBinding { key, owner, run_number: run.number, used_at, bound_at };
            writes.push(PendingWrite::Slot(slot, Some(stored)));
        }
        writes
    }

    /// Returns the number of changes that wait to be written.
    pub fn unwritten(&self) -> usize {
        self.ended_runs.len() + self.table.dirty_count()
    }

    /// Queues changes again that could not be written. What is written then is the state at that time.
    pub fn requeue_writes(&mut self, writes: Vec<PendingWrite>) {
        for write in writes {
            match write {
                PendingWrite::Run(number, None) if self.ended_runs.len() < MAX_ENDED_RUNS => {
                    self.ended_runs.push_back(number)
                }
                PendingWrite::Run(_, None) => {}
                PendingWrite::Run(number, Some(_)) => {
                    let run_index = self.servers.of_number(number);
                    if let Some(run) = run_index.and_then(|run_index| self.servers.run_mut(run_index)) {
                        run.written = false;
                    }
                }
                PendingWrite::Slot(slot, _) => self.table.mark_dirty(slot),
            }
        }
    }

    /// Queues everything to be written again, because what was written is lost.
    pub fn queue_rewrite(&mut self) {
        self.ended_runs.clear();
        self.servers.runs_mut().for_each(|run| run.written = false);
        self.table.mark_all_dirty();
    }

    /// Restores a run from a previous process of the node. Returns whether bindings to the run may still be
    /// valid.
    pub fn restore_run(&mut self, now: f64, number: u64, id: &str, started_at: f64) -> bool {
        if self.servers.of_number(number).is_some_and(|run_index| self.servers.of_id(id) == Some(run_index)) {
            return true;
        }
        let return_deadline = now + self.settings.return_timeout_ms;
        let run_index = match self.servers.of_id(id) {
            // The list arrived before the run was read from the store.
            Some(run_index) if self.servers.is_same(run_index, Some(started_at)) => {
                let unwritten = self.servers.run(run_index).is_some_and(|run| !run.written);
                (unwritten && self.servers.renumber(run_index, number)).then_some(run_index)
            }
            Some(_) => None,
            None => {
                let run_index = self.servers.restore(id, started_at, number, return_deadline);
                run_index.into_iter().for_each(|run_index| self.await_return(run_index));
                run_index
            }
        };
        match run_index.and_then(|run_index| self.servers.run_mut(run_index)) {
            Some(run) => run.written = true,
            None => self.ended_runs.push_back(number),
        }
        run_index.is_some()
    }

    /// Restores a binding from a previous process of the node. A binding of the same key that was made in
    /// this process takes precedence.
    pub fn restore_binding(&mut self, now: f64, slot: u32, stored: &StoredBinding) {
        let StoredBinding { key, owner, run_number, used_at, bound_at } = *stored;
        // Without the limit to the current time, a binding written while the clock was ahead would not age.
        let (used_at, bound_at) = (used_at.min(now), bound_at.min(now));
        let is_valid =
            now - used_at <= self.settings.idle_timeout_ms && now - bound_at <= self.settings.max_age_ms;
        let server = self.servers.of_number(run_number).filter(|_| is_valid);
        let restored = server.and_then(|server| {
            let binding = Binding { key, owner, server, used_at, bound_at, served_elsewhere: 0 };
            self.table.restore(slot, binding)
        });
        self.counters.restored += u64::from(restored.is_some());
        // The stored row of this slot is out of date and has to be replaced.
        if restored != Some(true) && (slot as usize) < self.settings.max_bindings {
            self.table.mark_dirty(slot);
        }
    }

    // ---- Status for operators

    /// Returns the counters since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns the number of valid bindings.
    pub fn len(&self) -> usize {
        self.table.bound_count()
    }

    /// Returns whether no key is bound.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of slots counted for an owner. Slots whose server was lost are included until they
    /// are reused or cleared.
    pub fn owner_bindings(&self, owner: u64) -> usize {
        self.table.owner_slots(owner)
    }

    /// Returns the state in one line for operators.
    pub fn status(&self) -> String {
        let listed = self.servers.iter().filter(|(_, run)| run.is_listed()).count();
        let absent_bindings: usize =
            self.absent.iter().map(|run_index| self.table.server_bindings(*run_index)).sum();
        format!(
            "affinity {} of {} places, of owners {}, to servers {listed}, to absent ones {absent_bindings}, \
             unwritten {}; {}",
            self.len(),
            self.settings.max_bindings,
            self.table.owner_count(),
            self.unwritten(),
            self.counters
        )
    }
}
