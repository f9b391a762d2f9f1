//! How often discovery is asked, how long a watch waits, and how long a call may be silent.

use std::time::Duration;

use super::timing::Timing;
use super::{Call, Follower, Query, Settings, PAUSE_MOST, SLOW_ANSWER, SPARE_TURNS, TOLD_AFTER};
use crate::backoff_delay;

/// So much is left for the answer of the next call before what the one before would have told counts as told.
const ANSWER_SPARE: Duration = Duration::from_secs(1);
/// Where discovery is slow, a watch waits no longer than this: one that has fallen silent is followed by a call whose answer takes its time.
const SLOW_WAIT: Duration = Duration::from_secs(2);
/// A call is silent after so many usual turns.
const PATIENCE_TURNS: f64 = 3.0;
/// What is reckoned in usual turns is no longer than this.
const TURNS_MOST: Duration = Duration::from_secs(3);
/// A call to an agent on the own machine waits for this part of the grace, and after as much again another one is begun beside it: what
/// the agent has counts as told, also to a node whose call it never answers.
const AGENT_PART: f64 = 0.3;
/// Many nodes wait this long for news at once, where discovery may be given half of its time for it.
const CROWD_WAIT: Duration = Duration::from_secs(10);
/// Where many calls hang, a watch still waits this long once it is not the first.
const QUIET_LEAST: Duration = Duration::from_secs(1);
/// How much the part of calls that hang shortens a wait.
const HANG_SHORTENS: f64 = 20.0;
/// A wait is at most this many usual times between news, while there is news.
const NEWS_GAPS: f64 = 2.0;
/// Patience grows this many times, at most, where answers come late.
const PATIENCE_GROWS: u32 = 3;
/// While calls fail, each node leaves the others at least this much of discovery's time, in the long run.
const NODE_MOST: Duration = Duration::from_millis(20);
/// The nodes' first calls after a break are spread over this part of the time after which a node that has not asked counts as told.
const SPREAD_PART: f64 = 0.5;

impl Follower {
    /// Time in which discovery can answer every node once, judged by calls of a kind.
    pub(super) fn round(&self, timing: &Timing) -> Duration {
        if self.settings.local_agent {
            Duration::ZERO
        } else {
            timing.round(self.settings.nodes)
        }
    }

    /// Whether a call stands alone while it may be answered in time. In a crowd a second one would take the turn of another node, and
    /// discovery may end the first for it; an agent answers the next one as soon.
    pub(super) fn is_alone(&self) -> bool {
        self.settings.local_agent || self.is_crowded() || self.is_slow()
    }

    /// Whether discovery answers so slowly that calls queue there, however few nodes ask.
    pub(super) fn is_slow(&self) -> bool {
        self.turn.is_some_and(|turn| turn > SLOW_ANSWER)
    }

    /// Whether so many nodes ask that a call waits its turn for as long as a silent one is let alone elsewhere.
    pub(super) fn is_crowded(&self) -> bool {
        !self.settings.local_agent
            && self.service.work(self.settings.nodes) > self.settings.silence_timeout.as_secs_f64()
    }

    /// The round of a crowd, up to so much; nothing where there is none.
    pub(super) fn crowded(&self, most: Duration) -> Duration {
        if self.is_crowded() {
            self.round(&self.service).min(most)
        } else {
            Duration::ZERO
        }
    }

    /// The longest pause after calls that fail: many nodes that all fail may fail for being many. However many they are, what
    /// discovery has counts as told 6 s after it could have been asked, whatever became of the call before.
    pub(super) fn retry_most(&self) -> Duration {
        let crowd = NODE_MOST * self.settings.nodes.min(1 << 16) as u32;
        self.settings.max_retry_delay.max(crowd).min(PAUSE_MOST)
    }

    /// What times such a call.
    pub(super) fn timing(&self, query: Query) -> &Timing {
        if query.wait().is_zero() {
            &self.service
        } else {
            &self.lateness
        }
    }

    /// The nodes' first calls after a start or a break are spread over this time.
    pub(super) fn spread(&self) -> Duration {
        let most = self.retry_most().min(self.settings.max_call_interval.mul_f64(SPREAD_PART));
        (self.round(&self.service) / 2).min(most).max(Duration::from_millis(20))
    }

    /// Between 0 and 1: the node's own part of a spread, with some jitter.
    pub(super) fn part(&mut self) -> f64 {
        let place = self.settings.node_index as f64 / self.settings.nodes as f64;
        (place + self.random.f64() / self.settings.nodes as f64).fract()
    }

    /// Where an agent answers: how long a call waits there, and how long it stands alone after that.
    pub(super) fn agent_time(&self) -> Option<Duration> {
        let time = self.settings.agent_deadline.mul_f64(AGENT_PART).max(Duration::from_millis(1));
        self.settings.local_agent.then_some(time)
    }

    /// The wait that the next watch asks for.
    pub(super) fn wait(&mut self, now: Duration) -> Duration {
        if let Some(time) = self.agent_time() {
            return time;
        }
        let Settings { min_wait, max_wait, .. } = self.settings;
        let quiet_least = QUIET_LEAST.clamp(min_wait, max_wait);
        let proved = min_wait.saturating_mul(1 << self.good.min(16));
        let trusted = max_wait.mul_f64(1.0 / (1.0 + HANG_SHORTENS * self.hangs)).max(quiet_least);
        let news = match self.is_news_due(now) {
            true => Duration::from_secs_f64((NEWS_GAPS * self.gap).min(60.0)).max(min_wait),
            false => max_wait,
        };
        // Where many ask, what news costs discovery is hardly ever timed: watches that end without any tell little of it.
        let share = self
            .round(&self.lateness)
            .max(self.crowded(CROWD_WAIT / 2))
            .mul_f64(1.0 / self.settings.discovery_share);
        // What discovery can bear comes before all.
        let most = if self.is_slow() { max_wait.min(SLOW_WAIT).max(min_wait) } else { max_wait };
        let wait = proved.min(trusted).min(news).clamp(min_wait, most).max(share);
        wait.mul_f64(1.0 + 0.1 * self.random.f64()).min(Duration::from_secs(60))
    }

    /// Whether news comes often, and came last not long ago.
    pub(super) fn is_news_due(&self, now: Duration) -> bool {
        self.news_at.is_some_and(|at| (now - at).as_secs_f64() < 2.0 * NEWS_GAPS * self.gap.min(60.0))
    }

    /// Takes one call out of the budget for those beyond the ordinary, where there is one.
    pub(super) fn afford(&mut self, now: Duration) -> bool {
        let round = self.round(&self.service).as_secs_f64();
        let pace = if round > 0.0 { (self.settings.discovery_share / round).min(1.0) } else { 1.0 };
        let (tokens, at) = self.tokens;
        let tokens = (tokens + pace * (now - at).as_secs_f64()).min(self.settings.burst_calls);
        let enough = tokens >= 1.0;
        self.tokens = (if enough { tokens - 1.0 } else { tokens }, now);
        self.counts.over_budget += u64::from(!enough);
        enough
    }

    /// How long a call may be silent after its wait. Guards against giving up, over and over, what only waits its turn.
    pub(super) fn patience(&self, timing: &Timing) -> Duration {
        if self.settings.local_agent {
            return self.settings.silence_timeout;
        }
        let least = self.settings.silence_timeout;
        // Where answers are slow, what they take is known; elsewhere a long silence is more likely a lost answer.
        let most = if self.is_slow() { TOLD_AFTER } else { PATIENCE_GROWS * least };
        let grown = timing.bound(least, most);
        let failing = least * (1 + self.failures.min(PATIENCE_GROWS - 1));
        grown.max(failing).max(self.usual_turns(PATIENCE_TURNS)).max(self.crowded(PAUSE_MOST))
    }

    /// By how much the next call must come before what the one before would have told counts as told.
    pub(super) fn answer_spare(&self) -> Duration {
        self.usual_turns(SPARE_TURNS).max(ANSWER_SPARE)
    }

    /// So many usual turns at discovery, up to a bound. In a crowd none: what all nodes wait for there is paced otherwise.
    pub(super) fn usual_turns(&self, turns: f64) -> Duration {
        let turn = self.turn.filter(|_| !self.is_crowded()).unwrap_or_default();
        Duration::from_secs_f64((turns * turn).min(TURNS_MOST.as_secs_f64()))
    }

    /// For how long the next call may be put off. Discovery may have had news, and been there to be asked, since right after a call went
    /// out that told nothing: that counts as told 6 s after.
    pub(super) fn spare_after(&self, call: &Call, now: Duration) -> Duration {
        (TOLD_AFTER - self.answer_spare()).saturating_sub(now.saturating_sub(call.started))
    }

    pub(super) fn retry_after(&mut self) -> Duration {
        if let Some(time) = self.agent_time() {
            return time;
        }
        let spread = self.spread().mul_f64(self.random.f64());
        if self.is_crowded() {
            // Guards against a queue that never empties: what waits in it for too long is turned away all the same, and all
            // that are turned away come again.
            let round =
                self.round(&self.service).mul_f64(0.5 * f64::from(1 << self.failures.clamp(1, 3) >> 1));
            return round.min(PAUSE_MOST).mul_f64(0.5 + 0.5 * self.random.f64());
        }
        let steps = self.failures.saturating_sub(2);
        let most = self.retry_most();
        match self.failures {
            // One that breaks early may have had something to tell.
            0 | 1 => spread,
            _ => backoff_delay(&mut self.random, self.settings.min_retry_delay, most, steps).max(spread),
        }
    }
}
