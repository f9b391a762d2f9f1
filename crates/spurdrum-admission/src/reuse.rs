//! Estimates how likely an idle connection is to be reused: how many clients send another request soon after
//! a response.

use std::time::Duration;

/// The number of cohorts. Connections are grouped by how many requests they have sent: one, 2 or 3, 4 to 7,
/// or more.
pub(crate) const COHORTS: usize = 4;

/// The prior, as returns and idle time: before there are samples, a connection is assumed to be reused within
/// the time with probability one half, weighted as one return: 1 - exp(-1 / 1.4427) is one half.
const PRIOR: (f64, f64) = (1.0, std::f64::consts::LOG2_E);
/// The number of samples from which a peer's own estimate is used instead of the one over all peers.
const MIN_SAMPLES: f64 = 8.0;

pub(crate) fn cohort(requests: u32) -> usize {
    match requests {
        0 | 1 => 0,
        2..=3 => 1,
        4..=7 => 2,
        _ => 3,
    }
}

/// Estimates the reuse rate of idle connections, for each cohort: returns per idle time, in exponentially
/// decaying sums. Connections that were closed before they could be reused count with the time that they were
/// idle; otherwise pressure, which closes connections early, would hide the very data it depends on.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReuseEstimator {
    returns: [f64; COHORTS],
    /// In units of the time within which a return counts.
    idle_time: [f64; COHORTS],
    samples: [f64; COHORTS],
    updated_at: [Duration; COHORTS],
    /// Connections that are idle now and have not been recorded: their number, and the sum of the times at
    /// which they became idle, in nanoseconds.
    idle_now: [(u64, u128); COHORTS],
}

impl ReuseEstimator {
    pub fn record(
        &mut self,
        now: Duration,
        half_life: Duration,
        cohort: usize,
        returned: bool,
        idle_time: f64,
    ) {
        let decay_factor = self.decay(now, half_life, cohort);
        self.returns[cohort] = self.returns[cohort] * decay_factor + f64::from(u8::from(returned));
        self.idle_time[cohort] = self.idle_time[cohort] * decay_factor + idle_time;
        self.samples[cohort] = self.samples[cohort] * decay_factor + 1.0;
        self.updated_at[cohort] = now;
    }

    /// Records that a connection of the cohort has become idle.
    pub fn start_idle(&mut self, since: Duration, cohort: usize) {
        self.idle_now[cohort].0 += 1;
        self.idle_now[cohort].1 += since.as_nanos();
    }

    /// Records that a connection that became idle at `since` is not idle any more, or has been recorded.
    pub fn end_idle(&mut self, since: Duration, cohort: usize) {
        self.idle_now[cohort].0 -= 1;
        self.idle_now[cohort].1 -= since.as_nanos();
    }

    fn decay(&self, now: Duration, half_life: Duration, cohort: usize) -> f64 {
        (-(now.saturating_sub(self.updated_at[cohort])).div_duration_f64(half_life)).exp2()
    }

    /// Returns the probability that a connection is reused within the time, assuming that returns come at a
    /// constant rate.
    pub fn probability(&self, now: Duration, half_life: Duration, cohort: usize, within: Duration) -> f64 {
        1.0 - (-self.rate(now, half_life, cohort, within)).exp()
    }

    /// Returns the rate of returns per `within`. The prior of a cohort is the rate of the next lower one, but
    /// at least the general prior: connections with more requests are assumed to return as often as those
    /// with fewer until samples show otherwise. Without this, all connections that enter a cohort without
    /// samples would be closed.
    fn rate(&self, now: Duration, half_life: Duration, cohort: usize, within: Duration) -> f64 {
        let general_prior = PRIOR.0 / PRIOR.1;
        let prior = cohort
            .checked_sub(1)
            .map_or(general_prior, |lower| self.rate(now, half_life, lower, within).max(general_prior));
        let decay_factor = self.decay(now, half_life, cohort);
        let (idle_now, since) = self.idle_now[cohort];
        let idle_now = (u128::from(idle_now) * now.as_nanos()).saturating_sub(since) as f64;
        let idle_time = self.idle_time[cohort] * decay_factor + idle_now / within.as_nanos() as f64;
        (self.returns[cohort] * decay_factor + PRIOR.1 * prior) / (idle_time + PRIOR.1)
    }

    /// Returns whether there are enough samples to use the estimate.
    pub fn has_enough_samples(&self, now: Duration, half_life: Duration, cohort: usize) -> bool {
        self.samples[cohort] * self.decay(now, half_life, cohort) >= MIN_SAMPLES
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const HALF_LIFE: Duration = Duration::from_secs(10);
    const SECOND: Duration = Duration::from_secs(1);

    #[test]
    fn connections_that_are_still_idle_lower_the_estimate_before_their_time_is_over() {
        let mut estimator = ReuseEstimator::default();
        let millis = Duration::from_millis;
        (0..50).for_each(|n| estimator.start_idle(millis(n), 0));
        assert!(estimator.probability(millis(100), HALF_LIFE, 0, SECOND) < 0.25);
        assert!(estimator.probability(millis(500), HALF_LIFE, 0, SECOND) < 0.05);
        (0..50).for_each(|n| estimator.end_idle(millis(n), 0));
        assert!((estimator.probability(millis(500), HALF_LIFE, 0, SECOND) - 0.5).abs() < 1e-9);
    }

    #[test]
    fn samples_decay_by_half_life_and_recent_ones_outweigh_old_ones() {
        let mut estimator = ReuseEstimator::default();
        let secs = Duration::from_secs;
        assert!((estimator.probability(secs(0), HALF_LIFE, 0, SECOND) - 0.5).abs() < 1e-9);
        for _ in 0..100 {
            estimator.record(secs(0), HALF_LIFE, 0, false, 1.0);
        }
        assert!(estimator.probability(secs(0), HALF_LIFE, 0, SECOND) < 0.02);
        assert!(
            estimator.has_enough_samples(secs(30), HALF_LIFE, 0)
                && !estimator.has_enough_samples(secs(40), HALF_LIFE, 0)
        );
        assert!(
            (estimator.probability(secs(1000), HALF_LIFE, 0, SECOND) - 0.5).abs() < 1e-9,
            "all samples have decayed"
        );
        for _ in 0..100 {
            estimator.record(secs(50), HALF_LIFE, 0, true, 0.1);
        }
        assert!(estimator.probability(secs(50), HALF_LIFE, 0, SECOND) > 0.9);
        assert!(
            estimator.probability(secs(50), HALF_LIFE, 3, SECOND) > 0.9,
            "a higher cohort without samples is assumed to return as often"
        );
        (0..200).for_each(|_| estimator.record(secs(50), HALF_LIFE, 3, false, 1.0));
        assert!(
            estimator.probability(secs(50), HALF_LIFE, 3, SECOND) < 0.1
                && estimator.probability(secs(50), HALF_LIFE, 0, SECOND) > 0.9
        );
    }

    #[test]
    fn connections_closed_early_count_only_for_the_time_they_were_idle() {
        let (mut early, mut full) = (ReuseEstimator::default(), ReuseEstimator::default());
        let now = Duration::ZERO;
        // One in five returns after a fifth of the time; the others never return, and are idle for a tenth of
        // the time or for all of it.
        for n in 0..500 {
            let is_reused = n % 5 == 0;
            early.record(now, HALF_LIFE, 0, is_reused, if is_reused { 0.05 } else { 0.1 });
            full.record(now, HALF_LIFE, 0, is_reused, if is_reused { 0.2 } else { 1.0 });
        }
        assert!(
            early.probability(now, HALF_LIFE, 0, SECOND) > 0.8,
            "had they not been closed at once, all might have returned"
        );
        assert!(
            (full.probability(now, HALF_LIFE, 0, SECOND) - 0.2).abs() < 0.05,
            "{}",
            full.probability(now, HALF_LIFE, 0, SECOND)
        );
    }
}
