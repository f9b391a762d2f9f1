//! Estimates of how long discovery takes to answer calls.

use std::time::Duration;

/// Upper bound, in seconds, on the part of the shortest answer time that counts as discovery's own work; the
/// rest is network latency.
const MAX_SERVICE_TIME: f64 = 0.05;

/// A running mean and deviation of answer times, computed as in RFC 6298, and the shortest answer time, all
/// in seconds.
pub(super) struct Timing {
    pub(super) mean: f64,
    deviation: f64,
    min: Option<f64>,
    initial: f64,
}

impl Timing {
    pub(super) fn new(initial: f64) -> Self {
        Self { mean: initial, deviation: initial, min: None, initial }
    }

    /// Records the time that an answered call took.
    pub(super) fn record(&mut self, sample: Duration) {
        self.record_timeout(sample);
        let sample = sample.as_secs_f64();
        self.min = Some(self.min.map_or(sample, |min| min.min(sample)));
    }

    /// Records the time after which a call timed out. It says nothing about the shortest time that an answer
    /// takes.
    pub(super) fn record_timeout(&mut self, sample: Duration) {
        let error = sample.as_secs_f64() - self.mean;
        self.mean += error / 8.0;
        self.deviation += (error.abs() - self.deviation) / 4.0;
    }

    pub(super) fn min(&self) -> f64 {
        self.min.unwrap_or(self.initial).min(self.mean)
    }

    /// Returns the time in which discovery can answer this many nodes once: the work for one answer each,
    /// plus twice the mean queueing time that this node's calls see.
    pub(super) fn round_time(&self, nodes: usize) -> Duration {
        let queue = 2.0 * (self.mean - self.min());
        Duration::from_secs_f64((self.work(nodes) + queue).min(60.0))
    }

    /// Returns the seconds of work that discovery needs to answer this many nodes once.
    pub(super) fn work(&self, nodes: usize) -> f64 {
        nodes as f64 * self.min().min(MAX_SERVICE_TIME)
    }

    /// Returns a time within which an answer usually comes: the mean plus four deviations, between `min` and
    /// `max`.
    pub(super) fn upper_bound(&self, min: Duration, max: Duration) -> Duration {
        Duration::from_secs_f64(self.mean + 4.0 * self.deviation).clamp(min.min(max), max)
    }
}
