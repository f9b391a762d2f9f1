//! How long calls take, and what that says of discovery.

use std::time::Duration;

/// Of the shortest time that an answer took, so much at most is held to be discovery's work, and the rest the way.
const WORK_MOST: f64 = 0.05;

/// A running mean and deviation, as RFC 6298 has them, and the least seen, in seconds.
pub(super) struct Timing {
    pub(super) mean: f64,
    deviation: f64,
    least: Option<f64>,
    guess: f64,
}

impl Timing {
    pub(super) fn new(guess: f64) -> Self {
        Self { mean: guess, deviation: guess, least: None, guess }
    }

    /// A call was answered after so long.
    pub(super) fn add(&mut self, sample: Duration) {
        self.add_silent(sample);
        let sample = sample.as_secs_f64();
        self.least = Some(self.least.map_or(sample, |least| least.min(sample)));
    }

    /// A call was given up after so long, which says nothing of the least that an answer takes.
    pub(super) fn add_silent(&mut self, sample: Duration) {
        let off = sample.as_secs_f64() - self.mean;
        self.mean += off / 8.0;
        self.deviation += (off.abs() - self.deviation) / 4.0;
    }

    pub(super) fn least(&self) -> f64 {
        self.least.unwrap_or(self.guess).min(self.mean)
    }

    /// Time in which so many nodes can be answered once: what one answer takes, and where they queue, twice the queue that
    /// this one meets on the average.
    pub(super) fn round(&self, nodes: usize) -> Duration {
        let queue = 2.0 * (self.mean - self.least());
        Duration::from_secs_f64((self.work(nodes) + queue).min(60.0))
    }

    /// Seconds of discovery's work for so many nodes, one answer each.
    pub(super) fn work(&self, nodes: usize) -> f64 {
        nodes as f64 * self.least().min(WORK_MOST)
    }

    pub(super) fn bound(&self, least: Duration, most: Duration) -> Duration {
        Duration::from_secs_f64(self.mean + 4.0 * self.deviation).clamp(least.min(most), most)
    }
}
