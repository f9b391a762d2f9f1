//! The count of connections that were closed early.

use std::time::Duration;

/// The number of buckets into which the time that early-closed connections would have stayed is divided.
const BUCKETS: usize = 16;

/// Counts connections that were closed early and would otherwise still be open. Connections that pressure has
/// closed count as pressure until they would have ended by themselves; without this the level would
/// oscillate.
#[derive(Debug, Default)]
pub(crate) struct EarlyCloses {
    buckets: [usize; BUCKETS],
    sum: usize,
    bucket_index: u64,
}

impl EarlyCloses {
    /// Forgets the connections that would have ended by `now`, where each would have stayed for `stay`.
    pub fn advance_to(&mut self, now: Duration, stay: Duration) {
        let bucket_index = (now.div_duration_f64(stay) * BUCKETS as f64) as u64;
        for elapsed in 0..(bucket_index.saturating_sub(self.bucket_index)).min(BUCKETS as u64) {
            let bucket = ((self.bucket_index + 1 + elapsed) % BUCKETS as u64) as usize;
            self.sum -= std::mem::take(&mut self.buckets[bucket]);
        }
        self.bucket_index = self.bucket_index.max(bucket_index);
    }

    /// Counts a connection that is closed early now.
    pub fn add(&mut self) {
        self.buckets[(self.bucket_index % BUCKETS as u64) as usize] += 1;
        self.sum += 1;
    }

    /// Returns how many connections were closed early and would still be open.
    pub fn count(&self) -> usize {
        self.sum
    }
}
