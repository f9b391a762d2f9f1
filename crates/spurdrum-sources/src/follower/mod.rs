//! When a list of servers is asked for, which answers count, and how far the view can be trusted.
//!
//! ```
//! use std::time::Duration;
//! use spurdrum_sources::follower::{Action, Event, Follower, Settings};
//!
//! let mut follower = Follower::new(Settings::default(), 7, Some(41)).expect("sound settings");
//! let mut actions = Vec::new();
//! follower.handle(Duration::ZERO, Event::Tick, &mut actions);
//! let due = follower.next_wake().expect("a first call is due");
//! follower.handle(due, Event::Tick, &mut actions);
//! // The list of the last run may be old: the first call asks for what is newer at once.
//! assert!(matches!(actions[0], Action::Call { .. }));
//! ```
//!
//! A watch that says nothing and one that hangs look alike until the wait that was asked for is over, so that wait is
//! how long a hang stays unseen. It begins short, doubles with each sound answer, and is short again where calls hang
//! here, or where news is frequent. A call that is overdue gets a second one beside it at once; what the servers do
//! (dials refused, work turned away by an idle server, ejections) makes a poll due. Both come out of one budget, whose
//! pace follows how long answers take: where many nodes queue for one discovery, all of them see it and ask less.

mod call;
mod messages;
mod pace;
mod settings;
mod start;
mod timing;

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use crate::leaving::Leaving;
use crate::{List, Phase};

use call::{Call, Standing};
pub use messages::{Action, CallId, Cause, CloseReason, Counts, Event, Evidence, Failure, Freshness, Query};
pub use settings::Settings;
use start::Start;
pub use start::StartupResult;
use timing::Timing;

/// Calls out at once, at most.
pub const MAX_OPEN_CALLS: usize = 4;
/// Calls whose answers are waited for at once, at most: one that is overdue or deaf, and one beside it. All others were silent for so long
/// that more were made, or have been superseded.
pub const MAX_AWAITED_CALLS: usize = 2;
/// However many nodes ask, a call follows after this at the latest on one that failed, or that was answered early without news:
/// what is not asked for may count as told after 6 s, of which an answer may wait its turn for two and more.
const PAUSE_MOST: Duration = Duration::from_millis(3_500);
/// What a call that says nothing would have told counts as told so long after it fell silent, or so long after the wait that it
/// asked for, if that is later. By then the next call must have answered.
const TOLD_AFTER: Duration = Duration::from_secs(6);
const TOLD_AFTER_WAIT: Duration = Duration::from_secs(2);
/// Where answers take longer than this, in seconds, calls queue at discovery: one more beside another makes the queue longer.
const SLOW_ANSWER: f64 = 0.2;
/// What is left of what was learned of turns with each watch that ends quietly: half after some 14 of them, half a minute where watches wait
/// for 2 s.
const TURN_FADES: f64 = 0.95;
/// The time that is left for an answer, in usual turns.
const SPARE_TURNS: f64 = 2.0;
/// A silent call is closed this long after its wait, unless its place is needed before: a discovery that takes longer for an answer is of no
/// use to a list, and a dead connection is held for no longer.
const KEPT: Duration = Duration::from_secs(10);
/// Where discovery moves again before it has answered, the newest one is asked this long after the one before at the soonest, or as
/// long as its answer may take: each call to a slow discovery makes the next one later.
const MOVES_APART: Duration = Duration::from_secs(1);
/// Two calls begin at least this far apart.
const APART: Duration = Duration::from_millis(10);
/// Weight of one more call in the part of calls that hang.
const HANG_WEIGHT: f64 = 1.0 / 16.0;
/// Before any answer was timed, one that need not wait, and the end of a wait, are thought to take this long.
const SERVICE_GUESS: f64 = 0.05;
const LATENESS_GUESS: f64 = 0.01;
/// An answer is overdue no sooner than this after its time.
const OVERDUE_LEAST: Duration = Duration::from_millis(50);
/// Failures in a row after which no second call is begun beside a silent one: nobody is there to answer.
const BESIDE_UNTIL: u32 = 3;
/// The first calls of processes that start together are spread over this time at the most: until it is answered a process serves nobody, and
/// the watches that follow had better queue behind all of them.
const FIRST_CALL_MOST: Duration = Duration::from_millis(200);
/// The next calls of those whose first one failed at once are spread over this time at the most.
const SECOND_CALL_MOST: Duration = Duration::from_secs(1);
/// Points of evidence that make a call due; doubled with each such call that brings nothing, up to the most.
const EVIDENCE: f64 = 2.0;
const EVIDENCE_MOST: f64 = 32.0;
/// Points lose half their weight in this time, and the points that are needed fall by half in that.
const EVIDENCE_HALF_LIFE: f64 = 1.0;
const NEED_HALF_LIFE: f64 = 10.0;
/// A tick that comes later than this after its time means that this machine stood still, not that discovery did.
const JUMP: Duration = Duration::from_secs(3);
/// A whole list that is shorter than this part of the last one is told to the operators.
const SHORTER: f64 = 0.5;
/// Where more than this part of the calls hang, two watches stand side by side while there is news.
const HANGS_HERE: f64 = 0.04;
/// A body may take this much longer for each so many bytes that are announced.
const BODY_PER_S: f64 = 1_048_576.0;

/// How long after its wait a call that was silent from the start counts as having told its news.
fn told_after(wait: Duration) -> Duration {
    TOLD_AFTER.saturating_sub(wait).max(TOLD_AFTER_WAIT)
}

/// The version held of a discovery that has been moved away from.
#[derive(Clone, Copy)]
struct FormerVersion {
    origin: u64,
    revision: u64,
}

/// Follows one list. See the [module](self) page.
pub struct Follower {
    settings: Settings,
    random: fastrand::Rng,
    /// How often discovery has moved.
    origin: u64,
    /// The version held, once the present discovery has told one...
    revision: Option<u64>,
    /// ...and until then what is held of those before it.
    former: Option<FormerVersion>,
    /// When the version held was learned.
    learned_at: Duration,
    /// A call begun later has already answered with an older version.
    backwards: bool,
    members: HashSet<u64>,
    leaving: Leaving,
    calls: Vec<Call>,
    last_call: u64,
    begun_at: Option<Duration>,
    /// When the next call is due, where one is.
    due: Option<Duration>,
    /// A poll is due, perhaps for what the servers show.
    poll: bool,
    by_evidence: bool,
    /// Sound answers in a row, and failures.
    good: u32,
    failures: u32,
    /// What the last silent call asked, where none has answered since: the next one asks otherwise.
    silent: Option<Query>,
    /// Part of the calls that hang.
    hangs: f64,
    /// How late the answer of a quiet watch is, and how long discovery takes for one that need not wait.
    lateness: Timing,
    service: Timing,
    /// How long calls lately waited for their turn, in seconds: those that were answered at once or with news, not quiet watches.
    turn: Option<f64>,
    /// Usual time between news, in seconds, and when it came last.
    gap: f64,
    news_at: Option<Duration>,
    tokens: (f64, Duration),
    points: (f64, Duration),
    need: (f64, Duration),
    last_unreachable: Option<u64>,
    /// Since when the view has not been confirmed as it should.
    trouble_since: Option<Duration>,
    proved_at: Option<Duration>,
    freshness: Freshness,
    cause: Cause,
    counts: Counts,
    started: bool,
    /// Until the list is confirmed for the first time, or has to do without.
    start: Option<Start>,
}

impl Follower {
    /// Follows on from the version of an earlier run, where there is one.
    ///
    /// # Errors
    ///
    /// The first setting that makes no sense, and why.
    pub fn new(
        settings: Settings,
        seed: u64,
        known: Option<u64>,
    ) -> Result<Self, (&'static str, &'static str)> {
        settings.validate()?;
        Ok(Self {
            random: fastrand::Rng::with_seed(seed),
            origin: 0,
            revision: known,
            former: None,
            learned_at: Duration::ZERO,
            backwards: false,
            members: HashSet::new(),
            leaving: Leaving::default(),
            calls: Vec::new(),
            last_call: 0,
            begun_at: None,
            due: None,
            poll: false,
            by_evidence: false,
            good: 0,
            failures: 0,
            silent: None,
            hangs: 0.0,
            lateness: Timing::new(LATENESS_GUESS),
            service: Timing::new(SERVICE_GUESS),
            turn: None,
            gap: f64::INFINITY,
            news_at: None,
            tokens: (settings.burst_calls, Duration::ZERO),
            points: (0.0, Duration::ZERO),
            need: (EVIDENCE, Duration::ZERO),
            last_unreachable: None,
            trouble_since: None,
            proved_at: None,
            freshness: Freshness::Doubtful,
            cause: Cause::RestoredList,
            counts: Counts::default(),
            started: false,
            start: None,
            settings,
        })
    }

    /// Servers that leave by the list of an earlier run.
    pub fn restore_leaving(&mut self, mut known: List) {
        self.leaving.heed(Duration::ZERO, &mut known);
    }

    /// Takes one event that happened at `now`, which never runs backwards, and appends what is to be done.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        if !self.started {
            self.started = true;
            self.trouble_since = Some(now);
            self.start = Some(Start { until: now + self.settings.startup_timeout, confirmed: false });
            // Nodes that start together do not ask together.
            self.due = Some(now + self.spread().min(FIRST_CALL_MOST).mul_f64(self.part()));
        }
        self.allow_for_standstill(now);
        match event {
            Event::Tick => {}
            Event::AnswerStarted { call, length } => self.begun(now, call, length),
            Event::Answered { call, list } => self.answered(now, call, list, actions),
            Event::Failed { call, failure } => self.failed(now, call, failure),
            Event::AddressChanged => self.moved(now),
            Event::Evidence(evidence) => self.evidence(now, evidence),
        }
        self.settle(now, actions);
    }

    /// When the next [`Event::Tick`] is wanted.
    pub fn next_wake(&self) -> Option<Duration> {
        let blind = self.trouble_since.filter(|_| self.freshness != Freshness::Stale);
        let times = self.calls.iter().map(Call::next_wake).chain(self.due).chain(self.leaving.due());
        let times = times.chain(self.start.map(|start| start.until));
        times.chain(blind.map(|since| since + self.settings.stale_after)).min()
    }

    /// When the next call goes out, where one is due.
    pub fn next_call(&self) -> Option<Duration> {
        self.due
    }

    /// How far the view can be trusted.
    pub fn freshness(&self) -> Freshness {
        self.freshness
    }

    /// Time since an answer last confirmed the view; none where none has yet.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.proved_at.map(|at| now.saturating_sub(at))
    }

    /// The version held, where the present discovery gave it.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// What was done since the start.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Calls that are out.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Calls that are out and whose answers are waited for.
    pub fn awaited_calls(&self) -> usize {
        self.calls.iter().filter(|call| call.is_awaited()).count()
    }

    // ---- Calls

    fn begin(&mut self, now: Duration, query: Query, by_evidence: bool, actions: &mut Vec<Action>) {
        self.make_room(actions);
        self.last_call += 1;
        let id = CallId(self.last_call);
        let timing = self.timing(query);
        let most =
            told_after(query.wait()).saturating_sub(self.answer_spare()).max(self.settings.silence_timeout);
        let patience = self.patience(timing).min(most);
        let ends = now + query.wait();
        let bound = match self.agent_time() {
            Some(time) => time,
            None if self.is_alone() => patience,
            None => timing.bound(OVERDUE_LEAST, patience / 2),
        };
        // An agent answers the next one as soon; in a crowd discovery may end the first one for it.
        let kept = if self.settings.local_agent || self.is_crowded() { patience } else { most.max(KEPT) };
        self.counts.calls[query.kind()] += 1;
        self.calls.push(Call {
            id,
            query,
            origin: self.origin,
            started: now,
            overdue_at: ends + bound,
            overdue: false,
            silent_at: ends + patience,
            close_at: ends + kept,
            standing: Standing::Awaited,
            by_evidence,
            // Many processes may start at once: how long discovery takes then says nothing of how long it takes usually.
            timed: self.start.is_none(),
        });
        self.begun_at = Some(now);
        actions.push(Action::Call { call: id, query });
    }

    /// Closes what there is no place for beside one more call. The oldest call stays: it is the next that a slow discovery answers.
    fn make_room(&mut self, actions: &mut Vec<Action>) {
        if self.settings.local_agent {
            // An agent that is slow must have the time to answer one of them.
            while self.calls.len() >= MAX_AWAITED_CALLS {
                let place = self.calls.iter().rposition(|call| call.overdue).unwrap_or(0);
                self.displace(place, actions);
            }
            return;
        }
        while self.awaited_calls() >= MAX_AWAITED_CALLS {
            let overdue = self.calls.iter().position(|call| call.is_awaited() && call.overdue);
            let oldest = self.calls.iter().position(Call::is_awaited);
            let Some(place) = overdue.or(oldest) else { break };
            self.calls[place].overdue = true;
            self.calls[place].standing = Standing::TimedOut;
        }
        while self.calls.len() >= MAX_OPEN_CALLS {
            let kept = self.calls.iter().rposition(|call| !call.is_awaited());
            let place = kept.filter(|place| *place > 0).unwrap_or(self.calls.len() - 1);
            self.displace(place, actions);
        }
    }

    fn displace(&mut self, place: usize, actions: &mut Vec<Action>) {
        let call = self.calls.remove(place).id;
        actions.push(Action::Close { call, reason: CloseReason::TooManyCalls });
    }

    /// What the next ordinary call asks.
    fn ordinary(&mut self, now: Duration) -> Query {
        match (self.revision, self.silent) {
            (None, _) => Query::Read,
            _ if self.backwards => Query::Read,
            // A change may count as told already that was made before the start. A watch would tell nothing where nothing is new, and
            // the process has to know that before it serves.
            (Some(since), None) if self.start.is_some() => Query::Poll { since },
            (Some(since), Some(Query::Watch { .. })) => Query::Poll { since },
            (Some(_), Some(Query::Poll { .. })) => Query::Read,
            // Guards against a long wait for an answer that is as lost as those before it.
            (Some(since), Some(Query::Read)) => {
                Query::Watch { since, wait: self.agent_time().unwrap_or(self.settings.min_wait) }
            }
            (Some(since), None) => Query::Watch { since, wait: self.wait(now) },
        }
    }

    fn watches(&self) -> usize {
        let followed = |call: &&Call| call.is_awaited() && !call.overdue && call.is_watch();
        self.calls.iter().filter(followed).count()
    }

    fn is_followed(&self) -> bool {
        self.watches() > 0
    }

    fn due_by(&mut self, at: Duration) {
        self.due = Some(self.due.map_or(at, |due| due.min(at)));
    }

    /// Gives up what is silent, begins what is due, and says how far the view can be trusted.
    fn settle(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if let Some(end) = self.start.and_then(|start| start.end(now)) {
            self.start = None;
            actions.push(Action::Ready(end));
        }
        self.heed_silence(now, actions);
        if self.awaited_calls() == 0 && self.due.is_none() {
            self.due = Some(now);
        }
        if let Some(since) = self.revision.filter(|_| std::mem::take(&mut self.poll)) {
            let query = if matches!(self.silent, Some(Query::Poll { .. })) {
                Query::Read
            } else {
                Query::Poll { since }
            };
            let by_evidence = std::mem::take(&mut self.by_evidence);
            self.begin(now, query, by_evidence, actions);
        }
        if let Some(due) = self.due.filter(|due| *due <= now) {
            let soonest = self.begun_at.map_or(due, |at| at + APART);
            if soonest > now {
                self.due = Some(soonest);
            } else if self.is_alone() && self.is_waited_for() {
                // Its end makes the next one due.
                self.due = None;
            } else {
                self.due = None;
                let query = self.ordinary(now);
                self.begin(now, query, false, actions);
                // Where calls hang, one of two watches is likely to tell what the other does not.
                let two = self.hangs > HANGS_HERE && !self.is_alone() && self.is_news_due(now);
                if two && self.watches() == 1 && self.awaited_calls() < MAX_AWAITED_CALLS && self.afford(now)
                {
                    self.due = Some(now + APART);
                }
            }
        }
        if let Some(list) = self.leaving.release(now, self.revision.unwrap_or_default()) {
            actions.push(Action::Apply(list));
        }
        let blind = self.trouble_since.is_some_and(|since| now >= since + self.settings.stale_after);
        match self.freshness {
            Freshness::Fresh | Freshness::Doubtful if blind => {
                self.show(Freshness::Stale, Cause::Unconfirmed, actions)
            }
            Freshness::Fresh if self.trouble_since.is_some() => {
                self.show(Freshness::Doubtful, self.cause, actions)
            }
            Freshness::Doubtful | Freshness::Stale if self.trouble_since.is_none() => {
                self.show(Freshness::Fresh, Cause::Answered, actions);
            }
            _ => {}
        }
    }

    /// Acts on calls that are overdue, silent for too long, or kept for long enough.
    fn heed_silence(&mut self, now: Duration, actions: &mut Vec<Action>) {
        for n in (0..self.calls.len()).rev() {
            let call = &mut self.calls[n];
            if now >= call.close_at {
                let call = self.calls.remove(n);
                actions.push(Action::Close { call: call.id, reason: CloseReason::TimedOut });
                if call.is_awaited() {
                    self.hung(now, &call);
                }
            } else if now >= call.silent_at && call.is_awaited() {
                call.overdue = true;
                call.standing = Standing::TimedOut;
                let silent = call.clone();
                self.hung(now, &silent);
            } else if now >= call.overdue_at && call.is_awaited() && !call.overdue {
                call.overdue = true;
                let (by_evidence, query) = (call.by_evidence, call.query);
                self.overdue(now, by_evidence, query);
            }
        }
    }

    /// Whether a call is out for which the next one has to wait.
    fn is_waited_for(&self) -> bool {
        self.calls.iter().any(|call| call.is_awaited() && (!call.overdue || !self.settings.local_agent))
    }

    /// Whether a call is out whose answer or end makes the next one due.
    fn is_followed_on(&self) -> bool {
        self.is_followed() || !self.settings.local_agent && self.awaited_calls() > 0
    }

    /// A call should have answered: another one beside it, while there is hope that one does.
    fn overdue(&mut self, now: Duration, by_evidence: bool, query: Query) {
        self.good = 0;
        self.doubt(now, Cause::Overdue);
        if self.settings.local_agent {
            self.silent = Some(query);
            self.due_by(now);
        } else if !self.is_alone()
            && self.revision.is_some()
            && self.failures < BESIDE_UNTIL
            && self.due.is_none()
            && self.awaited_calls() < MAX_AWAITED_CALLS
            && (by_evidence || !self.is_followed())
        {
            self.poll = self.afford(now);
            self.by_evidence = by_evidence;
        }
    }

    fn show(&mut self, to: Freshness, cause: Cause, actions: &mut Vec<Action>) {
        let from = std::mem::replace(&mut self.freshness, to);
        actions.push(Action::FreshnessChanged { from, to, cause });
    }

    fn doubt(&mut self, now: Duration, cause: Cause) {
        if self.trouble_since.is_none() {
            self.trouble_since = Some(now);
            self.cause = cause;
        }
    }

    fn take(&mut self, id: CallId) -> Option<Call> {
        let place = self.calls.iter().position(|call| call.id == id)?;
        Some(self.calls.remove(place))
    }

    /// Guards against taking the own machine's pause for a silent discovery: answers may lie in the sockets.
    fn allow_for_standstill(&mut self, now: Duration) {
        let Some(late) = self.next_wake().and_then(|wake| now.checked_sub(wake)) else { return };
        if let Some(turn) = self.agent_time().map(|time| time / 4).filter(|turn| late > *turn) {
            // An agent is overdue so soon that a busy moment is enough; once for each call, or silence would never be seen.
            for call in self.calls.iter_mut().filter(|call| call.timed) {
                call.timed = false;
                call.overdue_at = call.overdue_at.max(now + turn);
            }
        }
        if late <= JUMP {
            return;
        }
        for call in &mut self.calls {
            call.silent_at = call.silent_at.max(now + self.settings.silence_timeout);
            call.close_at = call.close_at.max(now + self.settings.silence_timeout);
            call.timed = false;
        }
        self.doubt(now, Cause::ProcessPaused);
        self.trouble_since = Some(now);
        self.due_by(now);
    }

    fn begun(&mut self, now: Duration, id: CallId, length: u64) {
        let body = Duration::from_secs_f64((length as f64 / BODY_PER_S).min(60.0));
        let until = now + self.settings.silence_timeout + body;
        if let Some(call) = self.calls.iter_mut().find(|call| call.id == id) {
            call.overdue_at = call.overdue_at.min(until);
            (call.silent_at, call.close_at) = (until, until);
        }
    }

    /// A call was silent for all its time.
    fn hung(&mut self, now: Duration, call: &Call) {
        self.count_hang(call.query);
        self.failures += 1;
        self.note_waiting(now, call);
        if self.proved_at.is_none_or(|at| at < call.started) {
            // Nothing else has answered either: it may be slow, and all that ask should see that.
            self.time(now, call, Timing::add_silent);
        }
        self.doubt(now, Cause::TimedOut);
        if !self.is_followed_on() {
            // An agent has been waited for already.
            let at_once = self.failures < BESIDE_UNTIL || self.settings.local_agent;
            let after = if at_once { Duration::ZERO } else { self.retry_after() };
            self.due_by(now + after.min(self.spare_after(call, now)));
        }
    }

    /// Learns from how late a call ended after its wait.
    fn time(&mut self, now: Duration, call: &Call, add: impl Fn(&mut Timing, Duration)) {
        if let Some(late) = call.late(now).filter(|_| call.timed) {
            add(if call.is_watch() { &mut self.lateness } else { &mut self.service }, late);
        }
    }

    /// A call took its turn at discovery, as one that need not wait or has news does.
    fn note_turn(&mut self, now: Duration, call: &Call) {
        if let Some(late) = call.late(now).filter(|_| call.timed).map(|late| late.as_secs_f64()) {
            self.turn = Some(self.turn.map_or(late, |turn| f64::midpoint(turn, late)));
        }
    }

    /// A call is not answered yet: it may wait its turn, for longer than it has been out by now.
    fn note_waiting(&mut self, now: Duration, call: &Call) {
        let late = call.late(now).unwrap_or_default().as_secs_f64();
        self.turn = Some(self.turn.map_or(late, |turn| turn.max(late)));
    }

    fn count_hang(&mut self, query: Query) {
        self.counts.timed_out += 1;
        self.good = 0;
        self.hangs += (1.0 - self.hangs) * HANG_WEIGHT;
        self.silent = Some(query);
    }

    fn failed(&mut self, now: Duration, id: CallId, failure: Failure) {
        let Some(call) = self.take(id) else { return };
        self.counts.failed += 1;
        if call.origin < self.origin {
            return self.ask_newest(now);
        }
        if call.standing == Standing::Superseded {
            return;
        }
        let late = call.late(now).unwrap_or_default().as_secs_f64();
        if failure == Failure::InvalidList && late > self.timing(call.query).mean {
            // It may have waited its turn, and longer than discovery lets calls wait. One that is turned away at once says
            // nothing of how long an answer takes.
            self.time(now, &call, Timing::add);
            self.note_turn(now, &call);
        }
        if failure != Failure::ReusedConnectionClosed {
            self.good /= 2;
            self.failures += 1;
        }
        self.doubt(now, Cause::Failed(failure));
        if !self.is_followed_on() || call.by_evidence {
            let after = self.retry_after();
            // A watch that broke was one until then; and where a call has waited its turn in vain, shorter pauses would keep the
            // queue as long as it is.
            let most =
                if call.is_watch() || self.is_crowded() { after } else { self.spare_after(&call, now) };
            let most = if self.start.is_some() && late < SLOW_ANSWER {
                most.min(self.spread().min(SECOND_CALL_MOST))
            } else {
                most
            };
            self.due_by(now + after.min(most));
        }
    }

    /// Asks the new discovery for the whole list. Until it has answered, what the former ones still write is heeded: it counts as told, and
    /// perhaps nothing else comes for a while.
    fn moved(&mut self, now: Duration) {
        self.former = self
            .revision
            .take()
            .map_or(self.former, |revision| Some(FormerVersion { origin: self.origin, revision }));
        self.origin += 1;
        for call in &mut self.calls {
            call.standing = Standing::Superseded;
        }
        // Its versions need not be those of the old one. How long answers take is believed until it shows otherwise.
        self.backwards = false;
        (self.good, self.failures, self.hangs) = (0, 0, 0.0);
        (self.poll, self.silent) = (false, None);
        self.doubt(now, Cause::AddressChanged);
        self.due = Some(now.max(self.moves_settled_at().unwrap_or(now)));
    }

    /// Where discovery moves several times in a row: when the newest one is asked, if the one before has not answered by then.
    fn moves_settled_at(&self) -> Option<Duration> {
        let reads = self.calls.iter().filter(|call| call.query == Query::Read && call.origin > 0);
        let apart = MOVES_APART.max(self.usual_turns(SPARE_TURNS));
        reads.map(|read| read.started + apart).max().filter(|_| !self.settings.local_agent)
    }

    /// The newest discovery is asked, where that has only waited for the one before.
    fn ask_newest(&mut self, now: Duration) {
        let settled = self.moves_settled_at().is_none();
        if settled && self.awaited_calls() == 0 && self.revision.is_none() && self.failures == 0 {
            self.due_by(now);
        }
    }

    /// A discovery that has been moved away from has answered, before the present one has.
    fn answered_by_former(&mut self, now: Duration, call: &Call, mut list: List, actions: &mut Vec<Action>) {
        let follows = match self.former {
            Some(held) if held.origin > call.origin => false,
            Some(held) if held.origin == call.origin => list.revision >= held.revision,
            _ => list.complete,
        };
        if self.revision.is_some() || !follows {
            return;
        }
        self.leaving.heed(now, &mut list);
        self.former = Some(FormerVersion { origin: call.origin, revision: list.revision });
        self.learned_at = now;
        self.proved_at = Some(now);
        self.counts.answers += 1;
        self.counts.with_changes += u64::from(!list.members.is_empty());
        self.close_older(call.origin, actions);
        self.note_members(&list, actions);
        actions.push(Action::Apply(list));
    }

    /// Closes the calls to discoveries before this one.
    fn close_older(&mut self, origin: u64, actions: &mut Vec<Action>) {
        self.calls.retain(|call| {
            let stays = call.origin >= origin;
            if !stays {
                actions.push(Action::Close { call: call.id, reason: CloseReason::AddressChanged });
            }
            stays
        });
    }

    // ---- Answers

    fn answered(&mut self, now: Duration, id: CallId, list: List, actions: &mut Vec<Action>) {
        let Some(call) = self.take(id) else { return };
        self.time(now, &call, Timing::add);
        if !call.is_watch() || !list.members.is_empty() {
            self.note_turn(now, &call);
        } else {
            // A quiet watch takes no turn; what was learned of turns is believed ever less.
            self.turn = self.turn.map(|turn| turn * TURN_FADES);
        }
        if call.origin < self.origin {
            self.answered_by_former(now, &call, list, actions);
            return self.ask_newest(now);
        }
        let held = self.revision;
        if held.is_some_and(|held| list.revision < held) {
            return self.older(now, &call, list, actions);
        }
        let follows = list.complete || held.is_some();
        if !follows {
            self.failures += 1;
            self.doubt(now, Cause::MissedChanges);
            let after = self.retry_after();
            return self.due_by(now + after);
        }
        self.backwards = false;
        self.accept(now, &call, list, actions);
    }

    /// An answer older than what is held: late, or of a discovery that has lost its memory.
    fn older(&mut self, now: Duration, call: &Call, list: List, actions: &mut Vec<Action>) {
        self.counts.outdated += 1;
        let begun_before = call.started < self.learned_at;
        if !begun_before && self.backwards && list.complete {
            // Read again, and it stays so: its versions have begun anew.
            self.backwards = false;
            self.revision = None;
            return self.accept(now, call, list, actions);
        }
        if !begun_before {
            self.backwards = true;
            self.failures += 1;
            self.doubt(now, Cause::RevisionWentBack);
        }
        if !self.is_followed() {
            let after = if begun_before { Duration::ZERO } else { self.retry_after() };
            self.due_by(now + after);
        }
    }

    fn accept(&mut self, now: Duration, call: &Call, mut list: List, actions: &mut Vec<Action>) {
        self.close_older(self.origin, actions);
        self.leaving.heed(now, &mut list);
        let newer = self.revision != Some(list.revision);
        let news = newer && !list.members.is_empty();
        self.revision = Some(list.revision);
        if newer {
            self.learned_at = now;
        }
        if news {
            let since = self.news_at.map_or(f64::INFINITY, |at| (now - at).as_secs_f64());
            let known = self.gap.is_finite() && since < 10.0 * self.gap;
            self.gap = if known { self.gap + (since - self.gap) / 4.0 } else { since };
            self.news_at = Some(now);
        }
        self.counts.answers += 1;
        self.counts.with_changes += u64::from(news);
        match &mut self.start {
            // It says nothing of watches.
            Some(start) => start.confirmed = true,
            None => self.good = self.good.saturating_add(1),
        }
        self.failures = 0;
        self.hangs -= self.hangs * HANG_WEIGHT;
        self.proved_at = Some(now);
        self.trouble_since = None;
        self.points = (0.0, now);
        if call.by_evidence {
            let need = self.need.0;
            self.need = (if news { EVIDENCE } else { (2.0 * need).min(EVIDENCE_MOST) }, now);
        }
        self.supersede(now, call, newer, actions);
        self.silent = None;
        if !self.is_followed() {
            // Guards against a discovery that answers watches at once though it has no news.
            let early = !news && now < call.started + call.query.wait() / 2;
            let early = early && call.is_watch();
            let pause = self.settings.min_wait.max(self.crowded(PAUSE_MOST));
            let pause = self.agent_time().unwrap_or(pause);
            let least = if early { pause } else { Duration::ZERO };
            // However many ask: a watch goes on for a moment after its answer, and what changes in that moment counts as told,
            // whether or not the next call fetches it.
            self.due = Some(now.max(call.started + least));
        }
        self.note_members(&list, actions);
        // What confirms the list and changes nothing in it need not be applied.
        if newer || !list.members.is_empty() {
            actions.push(Action::Apply(list));
        }
    }

    /// What the calls that are still out are worth once another has been answered. A slow discovery may have written more to them than that
    /// answer told, which the next call would hear of late; elsewhere the next call hears of it at once.
    fn supersede(&mut self, now: Duration, answered: &Call, newer: bool, actions: &mut Vec<Action>) {
        let grace = self.service.bound(OVERDUE_LEAST, self.settings.silence_timeout);
        let kept = self.is_slow() && !self.settings.local_agent;
        for n in (0..self.calls.len()).rev() {
            let out = &mut self.calls[n];
            if out.overdue {
                let was = std::mem::replace(&mut out.standing, Standing::Superseded);
                let out = out.clone();
                match was {
                    Standing::Awaited if out.started < answered.started => self.count_hang(out.query),
                    // Discovery answers calls in turn, and has not come to this one.
                    Standing::Awaited => self.note_waiting(now, &out),
                    Standing::TimedOut | Standing::Superseded => {}
                }
                if !kept {
                    let call = self.calls.remove(n).id;
                    actions.push(Action::Close { call, reason: CloseReason::Superseded });
                }
            } else if newer && out.is_watch() && !self.settings.local_agent {
                // It should have told this too: its answer is on its way, or it is deaf.
                out.overdue = true;
                out.silent_at = out.silent_at.min(now + grace);
                if !kept {
                    out.close_at = out.silent_at;
                }
            }
        }
    }

    fn note_members(&mut self, list: &List, actions: &mut Vec<Action>) {
        let before = self.members.len();
        let name = |id: &str| {
            let mut hasher = DefaultHasher::new();
            id.hash(&mut hasher);
            hasher.finish()
        };
        if list.complete {
            self.members.clear();
        }
        for member in &list.members {
            match member.phase {
                Phase::Left => self.members.remove(&name(&member.id)),
                Phase::Active | Phase::Leaving => self.members.insert(name(&member.id)),
            };
        }
        if list.complete && (self.members.len() as f64) < SHORTER * before as f64 {
            actions.push(Action::ListShrunk(before, self.members.len()));
        }
    }

    // ---- Evidence

    fn evidence(&mut self, now: Duration, evidence: Evidence) {
        self.counts.evidence += 1;
        let weight = match evidence {
            // One that cannot be reached is its own trouble; several are the list's.
            Evidence::Unreachable(server) if self.last_unreachable.replace(server) == Some(server) => 0.25,
            Evidence::Unreachable(_) => 1.0,
            Evidence::Refused { idle: true } => 1.0,
            Evidence::Refused { idle: false } => 0.1,
            Evidence::Ejected => 0.5,
            Evidence::Restarted => EVIDENCE,
        };
        let fade = |(value, at): (f64, Duration), half_life: f64| {
            value * 0.5_f64.powf((now - at).as_secs_f64() / half_life)
        };
        let points = fade(self.points, EVIDENCE_HALF_LIFE) + weight;
        self.points = (points, now);
        let need = fade(self.need, NEED_HALF_LIFE).max(EVIDENCE);
        // Where many ask, what all of them see at once must not make all of them ask at once.
        let asks_at_once = |call: &Call| call.is_awaited() && call.query.wait().is_zero();
        let polling = self.is_alone() || self.calls.iter().any(asks_at_once);
        if points < need || polling || self.revision.is_none() {
            return;
        }
        self.points = (0.0, now);
        self.doubt(now, Cause::Evidence(evidence));
        self.poll = self.afford(now);
        self.by_evidence = self.poll;
        self.counts.calls_on_evidence += u64::from(self.poll);
    }
}
