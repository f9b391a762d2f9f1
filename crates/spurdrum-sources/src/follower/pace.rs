//! Pacing of the calls to discovery: how often they are made, how long a watch waits, and when a silent call
//! times out.

use std::time::Duration;

use super::timing::Timing;
use super::{
    Call, Follower, Query, Settings, ANSWER_MARGIN_FACTOR, MAX_PAUSE, NOTIFIED_AFTER, SLOW_RESPONSE_S,
};
use crate::backoff_delay;

/// The least time that remains for the answer of the next call before the changes that the call before it did
/// not deliver count as notified.
const MIN_ANSWER_MARGIN: Duration = Duration::from_secs(1);
/// The longest wait of a watch while discovery is slow: after a watch that fell silent, the answer of the
/// next call takes long as well, and both must fit in the time after which changes count as notified.
const MAX_WAIT_WHEN_SLOW: Duration = Duration::from_secs(2);
/// A call times out no sooner than after this many usual response times.
const TIMEOUT_RESPONSE_TIMES: f64 = 3.0;
/// Upper bound on a multiple of the usual response time.
const MAX_RESPONSE_TIMES: Duration = Duration::from_secs(3);
/// A call to the local agent waits for this share of the agent deadline, and if it is not answered after as
/// much time again, another call is made beside it: changes that the agent has count as notified even if it
/// never answers the node's call.
const AGENT_WAIT_SHARE: f64 = 0.3;
/// Upper bound on the minimum wait that a contended discovery imposes on watches, at a discovery share of one
/// half: so many nodes then wait for changes at the same time.
const CONTENDED_WAIT: Duration = Duration::from_secs(10);
/// A high time-out rate does not shorten the wait of a watch below this.
const MIN_TRUSTED_WAIT: Duration = Duration::from_secs(1);
/// How strongly the share of calls that time out shortens the wait of a watch.
const TIMEOUT_RATE_FACTOR: f64 = 20.0;
/// While the list changes often, a watch waits for at most this many usual intervals between changes.
const WAIT_CHANGE_INTERVALS: f64 = 2.0;
/// The silence time-out grows to at most this multiple of its setting while answers come late.
const MAX_TIMEOUT_GROWTH: u32 = 3;
/// While calls fail, the longest retry delay is at least this much for each node, so that all nodes together
/// do not overload discovery with their retries.
const RETRY_TIME_PER_NODE: Duration = Duration::from_millis(20);
/// A call of a start times out no sooner than after this share of the startup time-out.
const STARTUP_CALL_SHARE: f64 = 0.5;
/// The first calls of the nodes after a start or a failure are spread over at most this share of the time
/// after which changes count as notified to a node that has not made a call.
const SPREAD_SHARE: f64 = 0.5;

impl Follower {
    /// Returns the time in which discovery can answer every node once, estimated from calls of one type. A
    /// local agent costs discovery nothing.
    pub(super) fn round_time(&self, timing: &Timing) -> Duration {
        if self.settings.local_agent {
            Duration::ZERO
        } else {
            timing.round_time(self.settings.nodes)
        }
    }

    /// Returns whether only one call may be awaited at a time. On a contended discovery a second call would
    /// take the place of another node's, and discovery may end the first call because of it; an agent answers
    /// the next call just as soon.
    pub(super) fn one_call_at_a_time(&self) -> bool {
        self.settings.local_agent || self.is_contended() || self.is_slow()
    }

    /// Returns whether discovery answers so slowly that calls must be queueing there, however few nodes there
    /// are.
    pub(super) fn is_slow(&self) -> bool {
        self.response_time.is_some_and(|time| time > SLOW_RESPONSE_S)
    }

    /// Returns whether discovery is contended: so many nodes call it that answering all of them once takes
    /// longer than the configured silence time-out.
    pub(super) fn is_contended(&self) -> bool {
        !self.settings.local_agent
            && self.service.work(self.settings.nodes) > self.settings.silence_timeout.as_secs_f64()
    }

    /// Returns the round time of a contended discovery, at most `max`; zero if it is not contended.
    pub(super) fn contended_round_time(&self, max: Duration) -> Duration {
        if self.is_contended() {
            self.round_time(&self.service).min(max)
        } else {
            Duration::ZERO
        }
    }

    /// Returns the longest delay after failed calls. It grows with the number of nodes, since the calls of
    /// many nodes may fail because there are so many. It is bounded by [`MAX_PAUSE`]: however many nodes
    /// there are, changes count as notified 6 s after discovery could have been called, whatever became of
    /// the call before.
    pub(super) fn max_retry_delay(&self) -> Duration {
        let all_nodes = RETRY_TIME_PER_NODE * self.settings.nodes.min(1 << 16) as u32;
        self.settings.max_retry_delay.max(all_nodes).min(MAX_PAUSE)
    }

    /// Returns the timing estimate for calls with this query.
    pub(super) fn timing(&self, query: Query) -> &Timing {
        if query.wait().is_zero() {
            &self.service
        } else {
            &self.lateness
        }
    }

    /// Returns the time over which the first calls of the nodes after a start or a failure are spread.
    pub(super) fn first_call_spread(&self) -> Duration {
        let max = self.max_retry_delay().min(self.settings.max_call_interval.mul_f64(SPREAD_SHARE));
        (self.round_time(&self.service) / 2).min(max).max(Duration::from_millis(20))
    }

    /// Returns the position of this node in a spread, from 0 to 1, with jitter within the part of the node.
    pub(super) fn spread_position(&mut self) -> f64 {
        let start = self.settings.node_index as f64 / self.settings.nodes as f64;
        (start + self.rng.f64() / self.settings.nodes as f64).fract()
    }

    /// Returns the wait of a call to the local agent, which is also how long it stays the only call after
    /// that; none if there is no agent.
    pub(super) fn agent_wait(&self) -> Option<Duration> {
        let wait = self.settings.agent_deadline.mul_f64(AGENT_WAIT_SHARE).max(Duration::from_millis(1));
        self.settings.local_agent.then_some(wait)
    }

    /// Returns the wait that the next watch asks for.
    pub(super) fn next_wait(&mut self, now: Duration) -> Duration {
        if let Some(wait) = self.agent_wait() {
            return wait;
        }
        let Settings { min_wait, max_wait, .. } = self.settings;
        let min_trusted = MIN_TRUSTED_WAIT.clamp(min_wait, max_wait);
        let earned = min_wait.saturating_mul(1 << self.consecutive_answers.min(16));
        let trusted =
            max_wait.mul_f64(1.0 / (1.0 + TIMEOUT_RATE_FACTOR * self.timeout_rate)).max(min_trusted);
        let by_changes = match self.is_change_expected(now) {
            true => Duration::from_secs_f64((WAIT_CHANGE_INTERVALS * self.change_interval).min(60.0))
                .max(min_wait),
            false => max_wait,
        };
        // With many nodes the work of sending changes is hardly ever measured: watches that end without
        // changes say little about it. Therefore the round time of a contended discovery counts as well.
        let min_by_load = self
            .round_time(&self.lateness)
            .max(self.contended_round_time(CONTENDED_WAIT / 2))
            .mul_f64(1.0 / self.settings.discovery_share);
        // The share of discovery's time takes precedence over all other bounds.
        let max = if self.is_slow() { max_wait.min(MAX_WAIT_WHEN_SLOW).max(min_wait) } else { max_wait };
        let wait = earned.min(trusted).min(by_changes).clamp(min_wait, max).max(min_by_load);
        wait.mul_f64(1.0 + 0.1 * self.rng.f64()).min(Duration::from_secs(60))
    }

    /// Returns whether changes come often, and the last one was not long ago.
    pub(super) fn is_change_expected(&self, now: Duration) -> bool {
        self.last_change_at.is_some_and(|at| {
            (now - at).as_secs_f64() < 2.0 * WAIT_CHANGE_INTERVALS * self.change_interval.min(60.0)
        })
    }

    /// Takes one call from the budget for calls beside the regular ones; returns false if the budget is used
    /// up.
    pub(super) fn take_from_budget(&mut self, now: Duration) -> bool {
        let round_time = self.round_time(&self.service).as_secs_f64();
        let refill_per_s =
            if round_time > 0.0 { (self.settings.discovery_share / round_time).min(1.0) } else { 1.0 };
        let (tokens, updated_at) = self.call_budget;
        let tokens =
            (tokens + refill_per_s * (now - updated_at).as_secs_f64()).min(self.settings.burst_calls);
        let granted = tokens >= 1.0;
        self.call_budget = (if granted { tokens - 1.0 } else { tokens }, now);
        self.counts.over_budget += u64::from(!granted);
        granted
    }

    /// Returns how long a call may be silent after its wait. It follows the measured answer times; with a
    /// fixed time-out, calls that only queue at discovery would time out again and again.
    pub(super) fn silence_timeout(&self, timing: &Timing) -> Duration {
        if self.settings.local_agent {
            return self.settings.silence_timeout;
        }
        let min = self.settings.silence_timeout;
        // If answers are slow, their usual time is known; otherwise a long silence is more likely a lost
        // answer.
        let max = if self.is_slow() { NOTIFIED_AFTER } else { MAX_TIMEOUT_GROWTH * min };
        let usual = timing.upper_bound(min, max);
        let after_failures = min * (1 + self.consecutive_failures.min(MAX_TIMEOUT_GROWTH - 1));
        usual
            .max(after_failures)
            .max(self.response_times(TIMEOUT_RESPONSE_TIMES))
            .max(self.contended_round_time(MAX_PAUSE))
    }

    /// Returns how long a call may be silent at least while the process starts; zero after the start. A second
    /// call beside the first would delay the answers of a slow discovery, and must itself have the time for one
    /// before the start ends.
    pub(super) fn startup_call_timeout(&self) -> Duration {
        if self.startup.is_none() || self.settings.local_agent {
            return Duration::ZERO;
        }
        self.settings.startup_timeout.mul_f64(STARTUP_CALL_SHARE)
    }

    /// Returns how long before the changes that a call did not deliver count as notified the next call must
    /// be made.
    pub(super) fn answer_margin(&self) -> Duration {
        self.response_times(ANSWER_MARGIN_FACTOR).max(MIN_ANSWER_MARGIN)
    }

    /// Returns a multiple of the usual response time, up to a bound. Zero if discovery is contended: there
    /// the round time paces the calls.
    pub(super) fn response_times(&self, factor: f64) -> Duration {
        let response_time = self.response_time.filter(|_| !self.is_contended()).unwrap_or_default();
        Duration::from_secs_f64((factor * response_time).min(MAX_RESPONSE_TIMES.as_secs_f64()))
    }

    /// Returns how long the next call may be delayed after a call that delivered nothing. Discovery may have
    /// been reachable and had a change right after that call was made, and the change counts as notified 6 s
    /// later.
    pub(super) fn max_delay_after(&self, call: &Call, now: Duration) -> Duration {
        (NOTIFIED_AFTER - self.answer_margin()).saturating_sub(now.saturating_sub(call.started_at))
    }

    /// Returns the delay before the call that follows a failed one.
    pub(super) fn retry_delay(&mut self) -> Duration {
        if let Some(wait) = self.agent_wait() {
            return wait;
        }
        let spread = self.first_call_spread().mul_f64(self.rng.f64());
        if self.is_contended() {
            // Without this the queue at discovery would never empty: calls that wait there for too long are
            // rejected, and all rejected calls are made again.
            let round_time = self
                .round_time(&self.service)
                .mul_f64(0.5 * f64::from(1 << self.consecutive_failures.clamp(1, 3) >> 1));
            return round_time.min(MAX_PAUSE).mul_f64(0.5 + 0.5 * self.rng.f64());
        }
        let doublings = self.consecutive_failures.saturating_sub(2);
        let max = self.max_retry_delay();
        match self.consecutive_failures {
            // Discovery may have had a change for a call that failed early.
            0 | 1 => spread,
            _ => backoff_delay(&mut self.rng, self.settings.min_retry_delay, max, doublings).max(spread),
        }
    }
}
