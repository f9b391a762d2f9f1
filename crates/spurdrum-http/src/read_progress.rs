//! Whether a client takes a long response. The system accepts more of a response than the client has read, and
//! a slow client frees room in it seldom; but what its system acknowledges goes on as long as it reads.

use std::time::Duration;

use tokio::time::Instant;

/// The progress of one client. Pure: the times are passed in.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadProgress {
    /// The bytes acknowledged, and since when no more are.
    last: Option<(u64, Instant)>,
}

impl ReadProgress {
    /// Records how many bytes the client's system has acknowledged while more wait to be. Returns for how long
    /// it has acknowledged none.
    pub fn stalled_for(&mut self, now: Instant, acknowledged: u64) -> Duration {
        match self.last {
            Some((bytes, since)) if bytes == acknowledged => now.saturating_duration_since(since),
            _ => {
                self.last = Some((acknowledged, now));
                Duration::ZERO
            }
        }
    }
}

/// Returns how long the system may go on sending what a client has not acknowledged: `initial`, and a second
/// more for every `min_rate` bytes.
pub fn sending_time(unacknowledged: u64, initial: Duration, min_rate: f64) -> Duration {
    initial + Duration::from_secs_f64(unacknowledged as f64 / min_rate)
}

#[cfg(test)]
mod tests;
