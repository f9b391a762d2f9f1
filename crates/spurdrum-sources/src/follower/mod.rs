//! The follower: a pure state machine that keeps one list of servers up to date by calls to discovery. It
//! decides when a call is made, which answers count, and how far the list can be trusted ([`Freshness`]).
//!
//! ```
//! use std::time::Duration;
//! use spurdrum_sources::follower::{Action, Event, Follower, Settings};
//!
//! let mut follower = Follower::new(Settings::default(), 7, Some(41)).expect("valid settings");
//! let mut actions = Vec::new();
//! follower.handle(Duration::ZERO, Event::Tick, &mut actions);
//! let due = follower.next_wake().expect("a first call is due");
//! follower.handle(due, Event::Tick, &mut actions);
//! // The list of the last run may be out of date: the first call is a poll for the changes since then.
//! assert!(matches!(actions[0], Action::Call { .. }));
//! ```
//!
//! A watch (a long poll) without changes and a watch that hangs look alike until the wait that the watch
//! asked for is over, so the wait is how long a hang goes unnoticed. It starts short, doubles with each good
//! answer, and is short again while calls time out or the list changes often. When a call is overdue, a
//! second one is made beside it at once. Evidence from the servers (refused connections, requests rejected by
//! an idle server, ejections) triggers a poll. Both kinds of extra calls come out of one budget, which is
//! refilled the more slowly the longer answers take: if many nodes queue at one discovery, all of them see
//! that and make fewer calls.
//!
//! Regular calls follow one another, so that normally one watch is open at any time. Second calls beside an
//! overdue one and polls on evidence come in addition. A call is *awaited* at first. It becomes *overdue*
//! when its answer should have arrived, and *times out* when the follower no longer waits for it. A call that
//! has timed out, or that is *superseded* by the answer of another call, may stay open for a while, since its
//! answer may still come.
//!
//! A change *counts as notified* to a node at a bounded time after discovery has it, whether or not the node
//! has received it: from then on the node is expected to send no new requests to a server that is draining or
//! gone. The bound is 6 s (`NOTIFIED_AFTER`) if a call of the node is silent, and
//! [`Settings::max_call_interval`] if the node makes none. The pacing of calls is designed around these
//! bounds. Discovery is *contended* if so many nodes call it that their calls queue for longer than the usual
//! time-out; it is *slow* if answers take long for any reason.

mod call;
mod messages;
mod pace;
mod settings;
mod start;
mod timing;

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use crate::leaving::LeavingServers;
use crate::{List, Phase};

use call::{Call, CallState};
pub use messages::{Action, CallId, Cause, CloseReason, Counts, Event, Evidence, Failure, Freshness, Query};
pub use settings::Settings;
pub use start::StartupResult;
use start::{Startup, PROMPT_FAILURE};
use timing::Timing;

/// The largest number of calls open at once.
pub const MAX_OPEN_CALLS: usize = 4;
/// The largest number of calls awaited at once: one that is overdue or hangs, and one beside it. All other
/// open calls have timed out or been superseded.
pub const MAX_AWAITED_CALLS: usize = 2;
/// The longest pause after a call that failed or that was answered early without changes, however many nodes
/// there are: a change may count as notified after 6 s, and the answer that brings it may queue at discovery
/// for 2 s and more of these.
const MAX_PAUSE: Duration = Duration::from_millis(3_500);
/// The changes that a silent call would have delivered count as notified [`NOTIFIED_AFTER`] after it fell
/// silent, or [`NOTIFIED_AFTER_WAIT`] after the end of the wait that it asked for, whichever is later. The
/// next call must be answered by then.
const NOTIFIED_AFTER: Duration = Duration::from_secs(6);
const NOTIFIED_AFTER_WAIT: Duration = Duration::from_secs(2);
/// Discovery is slow if answers take longer than this, in seconds: calls queue there, and a second call
/// beside another makes the queue longer.
const SLOW_RESPONSE_S: f64 = 0.2;
/// The factor by which the estimate of the response time decays with each watch that ends without changes. It
/// halves after some 14 of them, which is half a minute with watches that wait for 2 s.
const RESPONSE_TIME_DECAY: f64 = 0.95;
/// The time that must remain for an answer, in usual response times.
const ANSWER_MARGIN_FACTOR: f64 = 2.0;
/// A silent call is closed this long after its wait, or earlier if too many calls are open. An answer that
/// takes longer is of no use to the list, and a dead connection must not be held for longer.
const OPEN_AFTER_WAIT: Duration = Duration::from_secs(10);
/// If the address of discovery changes again before the last address has answered, the newest address is
/// called no sooner than this after the one before, or than its answer may take: each call to a slow
/// discovery delays the next one.
const ADDRESS_CHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// The least time between the starts of two regular calls.
const CALL_INTERVAL: Duration = Duration::from_millis(10);
/// The weight of the newest call in the running share of calls that time out.
const TIMEOUT_RATE_WEIGHT: f64 = 1.0 / 16.0;
/// Initial estimates, in seconds, until answers have been timed: how long a poll or read takes, and how long
/// after the end of its wait a watch is answered.
const INITIAL_SERVICE_S: f64 = 0.05;
const INITIAL_LATENESS_S: f64 = 0.01;
/// A call is overdue no sooner than this after the end of its wait.
const MIN_OVERDUE: Duration = Duration::from_millis(50);
/// After this many consecutive failures no second call is made beside a silent one: discovery is not there to
/// answer it.
const MAX_FAILURES_FOR_SECOND_CALL: u32 = 3;
/// Upper bound on the time over which the first calls of processes that start together are spread. It is
/// short, since a process serves no requests until its first call is answered, and the watches that follow
/// should queue behind all first calls.
const MAX_FIRST_CALL_SPREAD: Duration = Duration::from_millis(200);
/// Upper bound on the time over which the next calls are spread of processes whose first call failed at once.
const MAX_SECOND_CALL_SPREAD: Duration = Duration::from_secs(1);
/// The score of evidence that triggers a poll. It doubles with each such poll that brings no changes, up to
/// the maximum.
const EVIDENCE_THRESHOLD: f64 = 2.0;
const MAX_EVIDENCE_THRESHOLD: f64 = 32.0;
/// The times, in seconds, in which the score of evidence and its threshold fall by half.
const EVIDENCE_HALF_LIFE_S: f64 = 1.0;
const THRESHOLD_HALF_LIFE_S: f64 = 10.0;
/// A tick that comes later than this after its time means that this process was paused, not that discovery is
/// silent.
const PROCESS_PAUSE: Duration = Duration::from_secs(3);
/// A whole list shorter than this share of the last one is reported to the operators.
const SHRUNK_BELOW: f64 = 0.5;
/// If more than this share of the calls times out, two watches are kept open side by side while the list
/// changes often.
const HIGH_TIMEOUT_RATE: f64 = 0.04;
/// The slowest acceptable rate of an answer's body: the silence time-out is extended by the announced length
/// over this rate.
const BODY_BYTES_PER_S: f64 = 1_048_576.0;

/// Returns how long after its wait the changes of a call that was silent from the start count as notified.
fn notified_after_wait(wait: Duration) -> Duration {
    NOTIFIED_AFTER.saturating_sub(wait).max(NOTIFIED_AFTER_WAIT)
}

/// The revision that was received from an earlier address of discovery.
#[derive(Clone, Copy)]
struct PreviousRevision {
    address_epoch: u64,
    revision: u64,
}

/// Follows one list of servers. See the [module documentation](self).
pub struct Follower {
    settings: Settings,
    rng: fastrand::Rng,
    /// How often the address of discovery has changed.
    address_epoch: u64,
    /// The revision held, once the present address of discovery has sent one.
    revision: Option<u64>,
    /// Until the present address has sent a revision: the one received from an earlier address.
    previous: Option<PreviousRevision>,
    /// When the revision held was received.
    revision_received_at: Duration,
    /// Whether a call made after that has already been answered with an older revision.
    revision_went_back: bool,
    /// Hashes of the ids of the listed servers.
    member_hashes: HashSet<u64>,
    leaving: LeavingServers,
    calls: Vec<Call>,
    last_call_id: u64,
    last_call_at: Option<Duration>,
    /// When the next regular call is due, if one is.
    next_call_at: Option<Duration>,
    /// Whether a poll beside the regular calls is due, and whether evidence from the servers caused it.
    poll_due: bool,
    poll_by_evidence: bool,
    /// Consecutive good answers, and consecutive failures.
    consecutive_answers: u32,
    consecutive_failures: u32,
    /// The query of the last call that timed out, if none has been answered since: the next call uses another
    /// type of query.
    timed_out_query: Option<Query>,
    /// The running share of calls that time out.
    timeout_rate: f64,
    /// How long after the end of its wait a watch is answered, and how long a poll or read takes.
    lateness: Timing,
    service: Timing,
    /// The recent response time of discovery, in seconds, from polls, reads and watches with changes. A watch
    /// that ends without changes does not queue at discovery and is not counted.
    response_time: Option<f64>,
    /// The usual interval between changes, in seconds, and when the last change came.
    change_interval: f64,
    last_change_at: Option<Duration>,
    /// Calls left in the budget, the score of the evidence, and its threshold, each with the time when it was
    /// last computed.
    call_budget: (f64, Duration),
    evidence_score: (f64, Duration),
    evidence_threshold: (f64, Duration),
    /// The server that evidence last reported as unreachable.
    last_unreachable: Option<u64>,
    /// Since when the list has not been confirmed as it should be.
    doubtful_since: Option<Duration>,
    confirmed_at: Option<Duration>,
    freshness: Freshness,
    doubt_cause: Cause,
    counts: Counts,
    has_started: bool,
    /// Set until discovery has confirmed the list for the first time, or the startup time-out is over.
    startup: Option<Startup>,
}

impl Follower {
    /// Creates a follower that continues from `known_revision`, that of an earlier run, if there is one.
    ///
    /// # Errors
    ///
    /// Returns the key of the first setting that is not valid, and why.
    pub fn new(
        settings: Settings,
        seed: u64,
        known_revision: Option<u64>,
    ) -> Result<Self, (&'static str, &'static str)> {
        settings.validate()?;
        Ok(Self {
            rng: fastrand::Rng::with_seed(seed),
            address_epoch: 0,
            revision: known_revision,
            previous: None,
            revision_received_at: Duration::ZERO,
            revision_went_back: false,
            member_hashes: HashSet::new(),
            leaving: LeavingServers::default(),
            calls: Vec::new(),
            last_call_id: 0,
            last_call_at: None,
            next_call_at: None,
            poll_due: false,
            poll_by_evidence: false,
            consecutive_answers: 0,
            consecutive_failures: 0,
            timed_out_query: None,
            timeout_rate: 0.0,
            lateness: Timing::new(INITIAL_LATENESS_S),
            service: Timing::new(INITIAL_SERVICE_S),
            response_time: None,
            change_interval: f64::INFINITY,
            last_change_at: None,
            call_budget: (settings.burst_calls, Duration::ZERO),
            evidence_score: (0.0, Duration::ZERO),
            evidence_threshold: (EVIDENCE_THRESHOLD, Duration::ZERO),
            last_unreachable: None,
            doubtful_since: None,
            confirmed_at: None,
            freshness: Freshness::Doubtful,
            doubt_cause: Cause::RestoredList,
            counts: Counts::default(),
            has_started: false,
            startup: None,
            settings,
        })
    }

    /// Restores which servers were leaving, from the list of an earlier run.
    pub fn restore_leaving(&mut self, mut list: List) {
        self.leaving.filter(Duration::ZERO, &mut list);
    }

    /// Handles one event that happened at `now`, which never goes back, and appends the actions to carry out.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        if !self.has_started {
            self.has_started = true;
            self.doubtful_since = Some(now);
            self.startup = Some(Startup::new(now, &self.settings, self.round_time(&self.service)));
            // Nodes that start together must not call together.
            self.next_call_at = Some(
                now + self.first_call_spread().min(MAX_FIRST_CALL_SPREAD).mul_f64(self.spread_position()),
            );
        }
        self.allow_for_pause(now);
        let has_responded = self.startup.is_some() && self.shows_response(now, &event);
        match event {
            Event::Tick => {}
            Event::Connected { call } => self.on_connected(call),
            Event::AnswerStarted { call, length } => self.answer_started(now, call, length),
            Event::Answered { call, list } => self.on_answer(now, call, list, actions),
            Event::Failed { call, failure } => self.on_failure(now, call, failure),
            Event::AddressChanged => self.address_changed(now),
            Event::Evidence(evidence) => self.add_evidence(now, evidence),
        }
        let next_call_at = self.next_call_at.unwrap_or(now);
        if let Some(startup) = self.startup.as_mut().filter(|_| has_responded) {
            startup.discovery_responded(now, next_call_at);
        }
        self.update(now, actions);
    }

    /// Returns when the next [`Event::Tick`] is due.
    pub fn next_wake(&self) -> Option<Duration> {
        let doubtful_since = self.doubtful_since.filter(|_| self.freshness != Freshness::Stale);
        let times = self
            .calls
            .iter()
            .map(Call::next_wake)
            .chain(self.next_call_at)
            .chain(self.leaving.next_release());
        let times = times.chain(self.startup.map(|startup| startup.deadline(self.oldest_accepted_call())));
        times.chain(doubtful_since.map(|since| since + self.settings.stale_after)).min()
    }

    /// Returns when the next regular call is due, if one is.
    pub fn next_call(&self) -> Option<Duration> {
        self.next_call_at
    }

    /// Returns how far the list can be trusted.
    pub fn freshness(&self) -> Freshness {
        self.freshness
    }

    /// Returns the time since an answer last confirmed the list; none if no answer has.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Returns the revision held, if the present address of discovery sent it.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Returns the counters since the start.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Returns the number of open calls.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Returns the number of open calls whose answers are awaited.
    pub fn awaited_calls(&self) -> usize {
        self.calls.iter().filter(|call| call.is_awaited()).count()
    }

    // ---- Calls

    /// Makes a call, and sets the times at which it is overdue, times out and is closed.
    fn make_call(&mut self, now: Duration, query: Query, by_evidence: bool, actions: &mut Vec<Action>) {
        self.make_room(actions);
        self.last_call_id += 1;
        let id = CallId(self.last_call_id);
        let timing = self.timing(query);
        let max_timeout = notified_after_wait(query.wait())
            .saturating_sub(self.answer_margin())
            .max(self.settings.silence_timeout);
        let timeout = self.silence_timeout(timing).max(self.startup_call_timeout()).min(max_timeout);
        let wait_ends_at = now + query.wait();
        let overdue_after = match self.agent_wait() {
            Some(wait) => wait,
            None if self.one_call_at_a_time() => timeout,
            None => timing.upper_bound(MIN_OVERDUE, timeout / 2),
        };
        // A timed-out call is not kept open beside the next one if an agent answers the next one just as
        // soon, or if a contended discovery may end the older call because of the newer one.
        // A start keeps it nevertheless: it must not serve requests before the answer.
        let is_replaced = self.startup.is_none() && (self.settings.local_agent || self.is_contended());
        let close_after = if is_replaced { timeout } else { max_timeout.max(OPEN_AFTER_WAIT) };
        self.counts.calls[query.count_index()] += 1;
        self.calls.push(Call {
            id,
            query,
            address_epoch: self.address_epoch,
            started_at: now,
            accepted: false,
            overdue_at: wait_ends_at + overdue_after,
            overdue: false,
            timeout_at: wait_ends_at + timeout,
            close_at: wait_ends_at + close_after,
            state: CallState::Awaited,
            by_evidence,
            // Many processes may start at once, so answer times during a start say nothing about the usual
            // ones.
            timing_valid: self.startup.is_none(),
        });
        self.last_call_at = Some(now);
        actions.push(Action::Call { call: id, query });
    }

    /// Marks calls as timed out or closes them, so that one more call fits within the limits. The oldest call
    /// stays open: it is the next that a slow discovery answers.
    fn make_room(&mut self, actions: &mut Vec<Action>) {
        if self.settings.local_agent {
            // A slow agent must have the time to answer one of the calls, so the newest overdue call is
            // closed.
            while self.calls.len() >= MAX_AWAITED_CALLS {
                let index = self.calls.iter().rposition(|call| call.overdue).unwrap_or(0);
                self.close_excess(index, actions);
            }
            return;
        }
        while self.awaited_calls() >= MAX_AWAITED_CALLS {
            let overdue = self.calls.iter().position(|call| call.is_awaited() && call.overdue);
            let oldest = self.calls.iter().position(Call::is_awaited);
            let Some(index) = overdue.or(oldest) else { break };
            self.calls[index].overdue = true;
            self.calls[index].state = CallState::TimedOut;
        }
        while self.calls.len() >= MAX_OPEN_CALLS {
            let newest = self.calls.iter().rposition(|call| !call.is_awaited());
            let index = newest.filter(|index| *index > 0).unwrap_or(self.calls.len() - 1);
            self.close_excess(index, actions);
        }
    }

    fn close_excess(&mut self, index: usize, actions: &mut Vec<Action>) {
        let call = self.calls.remove(index).id;
        actions.push(Action::Close { call, reason: CloseReason::TooManyCalls });
    }

    /// Returns the query of the next regular call.
    fn regular_query(&mut self, now: Duration) -> Query {
        match (self.revision, self.timed_out_query) {
            (None, _) => Query::Read,
            _ if self.revision_went_back => Query::Read,
            // A change made before the start may already count as notified. Without changes a watch would not
            // be answered at once, and the process must have its list confirmed before it serves requests.
            (Some(since), None | Some(Query::Read | Query::Watch { .. })) if self.startup.is_some() => {
                Query::Poll { since }
            }
            (Some(since), Some(Query::Watch { .. })) => Query::Poll { since },
            (Some(_), Some(Query::Poll { .. })) => Query::Read,
            // The answer may get lost like those before it, so the wait is short.
            (Some(since), Some(Query::Read)) => {
                Query::Watch { since, wait: self.agent_wait().unwrap_or(self.settings.min_wait) }
            }
            (Some(since), None) => Query::Watch { since, wait: self.next_wait(now) },
        }
    }

    /// Returns the number of awaited watches that are not overdue.
    fn current_watches(&self) -> usize {
        let is_current = |call: &&Call| call.is_awaited() && !call.overdue && call.is_watch();
        self.calls.iter().filter(is_current).count()
    }

    fn has_current_watch(&self) -> bool {
        self.current_watches() > 0
    }

    /// Makes the next regular call due at `at` at the latest.
    fn schedule_call_by(&mut self, at: Duration) {
        self.next_call_at = Some(self.next_call_at.map_or(at, |due| due.min(at)));
    }

    /// Times out silent calls, makes the calls that are due, and updates the freshness of the list.
    fn update(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let oldest_accepted = self.oldest_accepted_call();
        if let Some(result) = self.startup.and_then(|startup| startup.result(now, oldest_accepted)) {
            self.startup = None;
            actions.push(Action::Ready(result));
        }
        self.check_timeouts(now, actions);
        if self.awaited_calls() == 0 && self.next_call_at.is_none() {
            self.next_call_at = Some(now);
        }
        if let Some(since) = self.revision.filter(|_| std::mem::take(&mut self.poll_due)) {
            let query = if matches!(self.timed_out_query, Some(Query::Poll { .. })) {
                Query::Read
            } else {
                Query::Poll { since }
            };
            let by_evidence = std::mem::take(&mut self.poll_by_evidence);
            self.make_call(now, query, by_evidence, actions);
        }
        if let Some(due) = self.next_call_at.filter(|due| *due <= now) {
            let earliest = self.last_call_at.map_or(due, |at| at + CALL_INTERVAL);
            if earliest > now {
                self.next_call_at = Some(earliest);
            } else if self.one_call_at_a_time() && self.blocks_next_call() {
                // The end of the awaited call makes the next one due.
                self.next_call_at = None;
            } else {
                self.next_call_at = None;
                let query = self.regular_query(now);
                self.make_call(now, query, false, actions);
                // If calls hang often, one of two watches is likely to deliver what the other does not.
                let wants_second_watch = self.timeout_rate > HIGH_TIMEOUT_RATE
                    && !self.one_call_at_a_time()
                    && self.is_change_expected(now);
                if wants_second_watch
                    && self.current_watches() == 1
                    && self.awaited_calls() < MAX_AWAITED_CALLS
                    && self.take_from_budget(now)
                {
                    self.next_call_at = Some(now + CALL_INTERVAL);
                }
            }
        }
        if let Some(list) = self.leaving.release(now, self.revision.unwrap_or_default()) {
            actions.push(Action::Apply(list));
        }
        let is_stale = self.doubtful_since.is_some_and(|since| now >= since + self.settings.stale_after);
        match self.freshness {
            Freshness::Fresh | Freshness::Doubtful if is_stale => {
                self.set_freshness(Freshness::Stale, Cause::Unconfirmed, actions)
            }
            Freshness::Fresh if self.doubtful_since.is_some() => {
                self.set_freshness(Freshness::Doubtful, self.doubt_cause, actions)
            }
            Freshness::Doubtful | Freshness::Stale if self.doubtful_since.is_none() => {
                self.set_freshness(Freshness::Fresh, Cause::Answered, actions);
            }
            _ => {}
        }
    }

    /// Returns when the oldest call began that discovery has accepted and not answered, if there is one.
    fn oldest_accepted_call(&self) -> Option<Duration> {
        self.calls.iter().filter(|call| call.accepted).map(|call| call.started_at).min()
    }

    fn on_connected(&mut self, id: CallId) {
        if let Some(call) = self.calls.iter_mut().find(|call| call.id == id) {
            call.accepted = true;
        }
    }

    /// Returns whether an event shows that discovery serves calls, however slowly. A discovery that is down
    /// refuses or resets calls at once; one that turns a call away after a while had it in its queue. A new
    /// address is waited for like the first one.
    fn shows_response(&self, now: Duration, event: &Event) -> bool {
        let find = |id: CallId| self.calls.iter().find(|call| call.id == id);
        match event {
            Event::Answered { call, .. } | Event::AnswerStarted { call, .. } => find(*call).is_some(),
            Event::Failed { call, .. } => {
                find(*call).is_some_and(|call| call.accepted && now - call.started_at >= PROMPT_FAILURE)
            }
            Event::AddressChanged => true,
            Event::Tick | Event::Connected { .. } | Event::Evidence(_) => false,
        }
    }

    /// Acts on calls that have become overdue, have timed out, or are to be closed.
    fn check_timeouts(&mut self, now: Duration, actions: &mut Vec<Action>) {
        for n in (0..self.calls.len()).rev() {
            let call = &mut self.calls[n];
            if now >= call.close_at {
                let call = self.calls.remove(n);
                actions.push(Action::Close { call: call.id, reason: CloseReason::TimedOut });
                if call.is_awaited() {
                    self.on_timeout(now, &call);
                }
            } else if now >= call.timeout_at && call.is_awaited() {
                call.overdue = true;
                call.state = CallState::TimedOut;
                let timed_out = call.clone();
                self.on_timeout(now, &timed_out);
            } else if now >= call.overdue_at && call.is_awaited() && !call.overdue {
                call.overdue = true;
                let (by_evidence, query) = (call.by_evidence, call.query);
                self.on_overdue(now, by_evidence, query);
            }
        }
    }

    /// Returns whether a call is open that the next regular call has to wait for.
    fn blocks_next_call(&self) -> bool {
        self.calls.iter().any(|call| call.is_awaited() && (!call.overdue || !self.settings.local_agent))
    }

    /// Returns whether a call is open whose answer or end makes the next one due.
    fn has_pending_follow_up(&self) -> bool {
        self.has_current_watch() || !self.settings.local_agent && self.awaited_calls() > 0
    }

    /// A call is overdue: makes another one due beside it, unless discovery has not answered for several
    /// calls.
    fn on_overdue(&mut self, now: Duration, by_evidence: bool, query: Query) {
        self.consecutive_answers = 0;
        self.mark_doubtful(now, Cause::Overdue);
        if self.settings.local_agent {
            self.timed_out_query = Some(query);
            self.schedule_call_by(now);
        } else if !self.one_call_at_a_time()
            && self.revision.is_some()
            && self.consecutive_failures < MAX_FAILURES_FOR_SECOND_CALL
            && self.next_call_at.is_none()
            && self.awaited_calls() < MAX_AWAITED_CALLS
            && (by_evidence || !self.has_current_watch())
        {
            self.poll_due = self.take_from_budget(now);
            self.poll_by_evidence = by_evidence;
        }
    }

    fn set_freshness(&mut self, to: Freshness, cause: Cause, actions: &mut Vec<Action>) {
        let from = std::mem::replace(&mut self.freshness, to);
        actions.push(Action::FreshnessChanged { from, to, cause });
    }

    fn mark_doubtful(&mut self, now: Duration, cause: Cause) {
        if self.doubtful_since.is_none() {
            self.doubtful_since = Some(now);
            self.doubt_cause = cause;
        }
    }

    fn remove_call(&mut self, id: CallId) -> Option<Call> {
        let index = self.calls.iter().position(|call| call.id == id)?;
        Some(self.calls.remove(index))
    }

    /// Extends the time-outs of open calls if this tick is late. Without this, a pause of this process would
    /// look like a silent discovery, although answers may be waiting in the sockets.
    fn allow_for_pause(&mut self, now: Duration) {
        let Some(late) = self.next_wake().and_then(|wake| now.checked_sub(wake)) else { return };
        if let Some(startup) = &mut self.startup {
            startup.allow_for_pause(late);
        }
        if let Some(extension) = self.agent_wait().map(|wait| wait / 4).filter(|extension| late > *extension)
        {
            // A call to an agent is overdue so soon that a short pause of a busy process matters as well.
            // Each call is extended only once; otherwise silence would never be detected.
            for call in self.calls.iter_mut().filter(|call| call.timing_valid) {
                call.timing_valid = false;
                call.overdue_at = call.overdue_at.max(now + extension);
            }
        }
        if late <= PROCESS_PAUSE {
            return;
        }
        for call in &mut self.calls {
            call.timeout_at = call.timeout_at.max(now + self.settings.silence_timeout);
            call.close_at = call.close_at.max(now + self.settings.silence_timeout);
            call.timing_valid = false;
        }
        self.mark_doubtful(now, Cause::ProcessPaused);
        self.doubtful_since = Some(now);
        self.schedule_call_by(now);
    }

    /// The head of an answer has arrived: the body has the silence time-out, plus the time for its length, to
    /// complete.
    fn answer_started(&mut self, now: Duration, id: CallId, length: u64) {
        let body_time = Duration::from_secs_f64((length as f64 / BODY_BYTES_PER_S).min(60.0));
        let timeout_at = now + self.settings.silence_timeout + body_time;
        if let Some(call) = self.calls.iter_mut().find(|call| call.id == id) {
            call.overdue_at = call.overdue_at.min(timeout_at);
            (call.timeout_at, call.close_at) = (timeout_at, timeout_at);
        }
    }

    /// A call has been silent until its time-out.
    fn on_timeout(&mut self, now: Duration, call: &Call) {
        self.count_timeout(call.query);
        self.consecutive_failures += 1;
        self.raise_response_time(now, call);
        if self.confirmed_at.is_none_or(|at| at < call.started_at) {
            // No other call has been answered since either: discovery may be slow, and the estimates should
            // show that.
            self.record_time(now, call, Timing::record_timeout);
        }
        self.mark_doubtful(now, Cause::TimedOut);
        if !self.has_pending_follow_up() {
            // The wait for an agent is over already, so its next call follows at once.
            let at_once =
                self.consecutive_failures < MAX_FAILURES_FOR_SECOND_CALL || self.settings.local_agent;
            let delay = if at_once { Duration::ZERO } else { self.retry_delay() };
            self.schedule_call_by(now + delay.min(self.max_delay_after(call, now)));
        }
    }

    /// Records how long after its wait a call ended, as a sample for the timing of its type.
    fn record_time(&mut self, now: Duration, call: &Call, record: impl Fn(&mut Timing, Duration)) {
        if let Some(elapsed) = call.time_past_wait(now).filter(|_| call.timing_valid) {
            record(if call.is_watch() { &mut self.lateness } else { &mut self.service }, elapsed);
        }
    }

    /// Records the response time of a call that queued at discovery: a poll, a read, or a watch with changes.
    fn record_response_time(&mut self, now: Duration, call: &Call) {
        if let Some(elapsed) =
            call.time_past_wait(now).filter(|_| call.timing_valid).map(|elapsed| elapsed.as_secs_f64())
        {
            self.response_time =
                Some(self.response_time.map_or(elapsed, |time| f64::midpoint(time, elapsed)));
        }
    }

    /// Raises the response time to the time that an unanswered call has taken so far: it may still be in
    /// discovery's queue.
    fn raise_response_time(&mut self, now: Duration, call: &Call) {
        let elapsed = call.time_past_wait(now).unwrap_or_default().as_secs_f64();
        self.response_time = Some(self.response_time.map_or(elapsed, |time| time.max(elapsed)));
    }

    fn count_timeout(&mut self, query: Query) {
        self.counts.timed_out += 1;
        self.consecutive_answers = 0;
        self.timeout_rate += (1.0 - self.timeout_rate) * TIMEOUT_RATE_WEIGHT;
        self.timed_out_query = Some(query);
    }

    fn on_failure(&mut self, now: Duration, id: CallId, failure: Failure) {
        let Some(call) = self.remove_call(id) else { return };
        self.counts.failed += 1;
        if call.address_epoch < self.address_epoch {
            return self.call_newest_address(now);
        }
        if call.state == CallState::Superseded {
            return;
        }
        let elapsed = call.time_past_wait(now).unwrap_or_default().as_secs_f64();
        if failure == Failure::InvalidList && elapsed > self.timing(call.query).mean {
            // The call may have queued for longer than discovery lets calls wait. A call that is rejected at
            // once says nothing about how long an answer takes.
            self.record_time(now, &call, Timing::record);
            self.record_response_time(now, &call);
        }
        if failure != Failure::ReusedConnectionClosed {
            self.consecutive_answers /= 2;
            self.consecutive_failures += 1;
        }
        self.mark_doubtful(now, Cause::Failed(failure));
        if !self.has_pending_follow_up() || call.by_evidence {
            let delay = self.retry_delay();
            // A watch that failed would have delivered changes until it failed, so the bound does not count
            // from its start. And if a call has queued in vain at a contended discovery, shorter delays would
            // keep the queue as long as it is.
            let max_delay =
                if call.is_watch() || self.is_contended() { delay } else { self.max_delay_after(&call, now) };
            let max_delay = if self.startup.is_some() && elapsed < SLOW_RESPONSE_S {
                max_delay.min(self.first_call_spread().min(MAX_SECOND_CALL_SPREAD))
            } else {
                max_delay
            };
            self.schedule_call_by(now + delay.min(max_delay));
        }
    }

    /// Switches to the new address and reads the whole list there. Until that is answered, the answers of
    /// earlier addresses are still applied: what they contain counts as notified, and the new address may
    /// send nothing for a while.
    fn address_changed(&mut self, now: Duration) {
        self.previous = self.revision.take().map_or(self.previous, |revision| {
            Some(PreviousRevision { address_epoch: self.address_epoch, revision })
        });
        self.address_epoch += 1;
        for call in &mut self.calls {
            call.state = CallState::Superseded;
        }
        // The revisions of the new address are unrelated to the old ones. The timing estimates are kept until
        // new answers correct them.
        self.revision_went_back = false;
        (self.consecutive_answers, self.consecutive_failures, self.timeout_rate) = (0, 0, 0.0);
        (self.poll_due, self.timed_out_query) = (false, None);
        self.mark_doubtful(now, Cause::AddressChanged);
        self.next_call_at = Some(now.max(self.address_settled_at().unwrap_or(now)));
    }

    /// Returns when the newest address may be called, if the address has changed several times in a row and
    /// the one before has not answered by then.
    fn address_settled_at(&self) -> Option<Duration> {
        let reads = self.calls.iter().filter(|call| call.query == Query::Read && call.address_epoch > 0);
        let interval = ADDRESS_CHANGE_INTERVAL.max(self.response_times(ANSWER_MARGIN_FACTOR));
        reads.map(|read| read.started_at + interval).max().filter(|_| !self.settings.local_agent)
    }

    /// Makes a call to the newest address due now, if that was only delayed by a call to the address before.
    fn call_newest_address(&mut self, now: Duration) {
        let settled = self.address_settled_at().is_none();
        if settled && self.awaited_calls() == 0 && self.revision.is_none() && self.consecutive_failures == 0 {
            self.schedule_call_by(now);
        }
    }

    /// An earlier address of discovery has answered a call. Its list is applied only as long as the present
    /// address has sent none, and only if it does not go back behind what earlier addresses have sent.
    fn on_answer_of_previous(
        &mut self,
        now: Duration,
        call: &Call,
        mut list: List,
        actions: &mut Vec<Action>,
    ) {
        let applies = match self.previous {
            Some(previous) if previous.address_epoch > call.address_epoch => false,
            Some(previous) if previous.address_epoch == call.address_epoch => {
                list.revision >= previous.revision
            }
            _ => list.complete,
        };
        if self.revision.is_some() || !applies {
            return;
        }
        self.leaving.filter(now, &mut list);
        self.previous = Some(PreviousRevision { address_epoch: call.address_epoch, revision: list.revision });
        self.revision_received_at = now;
        self.confirmed_at = Some(now);
        self.counts.answers += 1;
        self.counts.with_changes += u64::from(!list.members.is_empty());
        self.close_calls_before(call.address_epoch, actions);
        self.update_members(&list, actions);
        actions.push(Action::Apply(list));
    }

    /// Closes the calls to addresses before this one.
    fn close_calls_before(&mut self, address_epoch: u64, actions: &mut Vec<Action>) {
        self.calls.retain(|call| {
            let keep = call.address_epoch >= address_epoch;
            if !keep {
                actions.push(Action::Close { call: call.id, reason: CloseReason::AddressChanged });
            }
            keep
        });
    }

    // ---- Answers

    fn on_answer(&mut self, now: Duration, id: CallId, list: List, actions: &mut Vec<Action>) {
        let Some(call) = self.remove_call(id) else { return };
        self.record_time(now, &call, Timing::record);
        if !call.is_watch() || !list.members.is_empty() {
            self.record_response_time(now, &call);
        } else {
            // A watch that ends without changes does not queue at discovery; the estimate of the response
            // time ages.
            self.response_time = self.response_time.map(|time| time * RESPONSE_TIME_DECAY);
        }
        if call.address_epoch < self.address_epoch {
            self.on_answer_of_previous(now, &call, list, actions);
            return self.call_newest_address(now);
        }
        let held = self.revision;
        if held.is_some_and(|held| list.revision < held) {
            return self.on_older_answer(now, &call, list, actions);
        }
        let applies = list.complete || held.is_some();
        if !applies {
            self.consecutive_failures += 1;
            self.mark_doubtful(now, Cause::MissedChanges);
            let delay = self.retry_delay();
            return self.schedule_call_by(now + delay);
        }
        self.revision_went_back = false;
        self.accept(now, &call, list, actions);
    }

    /// Handles an answer with an older revision than the one held: it is late, or discovery has lost its
    /// state.
    fn on_older_answer(&mut self, now: Duration, call: &Call, list: List, actions: &mut Vec<Action>) {
        self.counts.outdated += 1;
        let was_in_flight = call.started_at < self.revision_received_at;
        if !was_in_flight && self.revision_went_back && list.complete {
            // A second, whole answer is older as well: the revisions of discovery have restarted.
            self.revision_went_back = false;
            self.revision = None;
            return self.accept(now, call, list, actions);
        }
        if !was_in_flight {
            self.revision_went_back = true;
            self.consecutive_failures += 1;
            self.mark_doubtful(now, Cause::RevisionWentBack);
        }
        if !self.has_current_watch() {
            let delay = if was_in_flight { Duration::ZERO } else { self.retry_delay() };
            self.schedule_call_by(now + delay);
        }
    }

    /// Accepts an answer that is not older than the list held: applies it, and marks the list as confirmed.
    fn accept(&mut self, now: Duration, call: &Call, mut list: List, actions: &mut Vec<Action>) {
        self.close_calls_before(self.address_epoch, actions);
        self.leaving.filter(now, &mut list);
        let newer = self.revision != Some(list.revision);
        let has_changes = newer && !list.members.is_empty();
        self.revision = Some(list.revision);
        if newer {
            self.revision_received_at = now;
        }
        if has_changes {
            let interval = self.last_change_at.map_or(f64::INFINITY, |at| (now - at).as_secs_f64());
            let is_regular = self.change_interval.is_finite() && interval < 10.0 * self.change_interval;
            self.change_interval = if is_regular {
                self.change_interval + (interval - self.change_interval) / 4.0
            } else {
                interval
            };
            self.last_change_at = Some(now);
        }
        self.counts.answers += 1;
        self.counts.with_changes += u64::from(has_changes);
        match &mut self.startup {
            // The first answer is that of a poll or read, and says nothing about how well watches work.
            Some(startup) => startup.confirmed = true,
            None => self.consecutive_answers = self.consecutive_answers.saturating_add(1),
        }
        self.consecutive_failures = 0;
        self.timeout_rate -= self.timeout_rate * TIMEOUT_RATE_WEIGHT;
        self.confirmed_at = Some(now);
        self.doubtful_since = None;
        self.evidence_score = (0.0, now);
        if call.by_evidence {
            let threshold = self.evidence_threshold.0;
            self.evidence_threshold = (
                if has_changes { EVIDENCE_THRESHOLD } else { (2.0 * threshold).min(MAX_EVIDENCE_THRESHOLD) },
                now,
            );
        }
        self.supersede(now, call, newer, actions);
        self.timed_out_query = None;
        if !self.has_current_watch() {
            // Without this pause, a discovery that answers watches at once without changes would be called in
            // a loop.
            let is_early = !has_changes && now < call.started_at + call.query.wait() / 2;
            let is_early = is_early && call.is_watch();
            let pause = self.settings.min_wait.max(self.contended_round_time(MAX_PAUSE));
            let pause = self.agent_wait().unwrap_or(pause);
            let min_interval = if is_early { pause } else { Duration::ZERO };
            // After an answer with changes the next watch follows at once, however many nodes there are: a
            // change made right after the answer counts as notified, whether or not the next call fetches it.
            self.next_call_at = Some(now.max(call.started_at + min_interval));
        }
        self.update_members(&list, actions);
        // An answer that only confirms the list need not be applied.
        if newer || !list.members.is_empty() {
            actions.push(Action::Apply(list));
        }
    }

    /// Decides what becomes of the calls still open after another call has been answered. They are kept open
    /// if discovery is slow: their answers may contain more than the one that arrived, and the next call
    /// would bring it late. Otherwise the next call brings it at once.
    fn supersede(&mut self, now: Duration, answered: &Call, newer: bool, actions: &mut Vec<Action>) {
        let late_answer_time = self.service.upper_bound(MIN_OVERDUE, self.settings.silence_timeout);
        let keep_open = self.is_slow() && !self.settings.local_agent;
        for n in (0..self.calls.len()).rev() {
            let open_call = &mut self.calls[n];
            if open_call.overdue {
                let previous_state = std::mem::replace(&mut open_call.state, CallState::Superseded);
                let open_call = open_call.clone();
                match previous_state {
                    CallState::Awaited if open_call.started_at < answered.started_at => {
                        self.count_timeout(open_call.query)
                    }
                    // Discovery answers calls in order and has not reached this one yet.
                    CallState::Awaited => self.raise_response_time(now, &open_call),
                    CallState::TimedOut | CallState::Superseded => {}
                }
                if !keep_open {
                    let call = self.calls.remove(n).id;
                    actions.push(Action::Close { call, reason: CloseReason::Superseded });
                }
            } else if newer && open_call.is_watch() && !self.settings.local_agent {
                // This watch should have been answered as well: its answer is on its way, or the watch hangs.
                open_call.overdue = true;
                open_call.timeout_at = open_call.timeout_at.min(now + late_answer_time);
                if !keep_open {
                    open_call.close_at = open_call.timeout_at;
                }
            }
        }
    }

    /// Keeps track of the listed ids, and reports a whole list that is much shorter than the one before.
    fn update_members(&mut self, list: &List, actions: &mut Vec<Action>) {
        let before = self.member_hashes.len();
        let hash = |id: &str| {
            let mut hasher = DefaultHasher::new();
            id.hash(&mut hasher);
            hasher.finish()
        };
        if list.complete {
            self.member_hashes.clear();
        }
        for member in &list.members {
            match member.phase {
                Phase::Left => self.member_hashes.remove(&hash(&member.id)),
                Phase::Active | Phase::Leaving => self.member_hashes.insert(hash(&member.id)),
            };
        }
        if list.complete && (self.member_hashes.len() as f64) < SHRUNK_BELOW * before as f64 {
            actions.push(Action::ListShrunk(before, self.member_hashes.len()));
        }
    }

    // ---- Evidence

    /// Adds evidence from the servers to the score, and makes a poll due when the score reaches its
    /// threshold.
    fn add_evidence(&mut self, now: Duration, evidence: Evidence) {
        self.counts.evidence += 1;
        let weight = match evidence {
            // One unreachable server is likely a fault of that server; several suggest that the list is out
            // of date.
            Evidence::Unreachable(server) if self.last_unreachable.replace(server) == Some(server) => 0.25,
            Evidence::Unreachable(_) => 1.0,
            Evidence::Refused { idle: true } => 1.0,
            Evidence::Refused { idle: false } => 0.1,
            Evidence::Ejected => 0.5,
            Evidence::Restarted => EVIDENCE_THRESHOLD,
        };
        let decayed = |(value, updated_at): (f64, Duration), half_life: f64| {
            value * 0.5_f64.powf((now - updated_at).as_secs_f64() / half_life)
        };
        let score = decayed(self.evidence_score, EVIDENCE_HALF_LIFE_S) + weight;
        self.evidence_score = (score, now);
        let threshold = decayed(self.evidence_threshold, THRESHOLD_HALF_LIFE_S).max(EVIDENCE_THRESHOLD);
        // With many nodes, what all of them see at the same time must not make all of them call at the same
        // time.
        let answered_at_once = |call: &Call| call.is_awaited() && call.query.wait().is_zero();
        let may_not_poll = self.one_call_at_a_time() || self.calls.iter().any(answered_at_once);
        if score < threshold || may_not_poll || self.revision.is_none() {
            return;
        }
        self.evidence_score = (0.0, now);
        self.mark_doubtful(now, Cause::Evidence(evidence));
        self.poll_due = self.take_from_budget(now);
        self.poll_by_evidence = self.poll_due;
        self.counts.calls_on_evidence += u64::from(self.poll_due);
    }
}
