//! Decides when the store is opened, written to and retried, and how much is written at once. No I/O, no
//! clock.

use std::time::Duration;

/// The limit on the rows of a batch is never reduced below this.
const MIN_BATCH_ROWS: usize = 64;
/// After a batch within the target time, the next one may have this many more rows.
const BATCH_GROWTH_ROWS: usize = 256;
/// Retry delays are shortened by a random part of up to this share, so that nodes that use the same disk do
/// not retry at the same time.
const RETRY_JITTER: f64 = 0.5;

/// The limits for writing to the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Pause between two batches.
    pub write_interval: Duration,
    /// Limit on the share of time spent writing: after a slow batch the pause is longer.
    pub write_time_share: f64,
    /// A batch that takes longer than this makes the next one smaller.
    pub batch_time_target: Duration,
    /// Limit on the rows in a batch.
    pub max_batch_rows: usize,
    /// Delay before the first retry after a failure; it doubles with each further failure.
    pub min_retry_delay: Duration,
    /// Limit on the retry delay.
    pub max_retry_delay: Duration,
    /// Limit on the time for writing the remaining rows when the node shuts down.
    pub max_flush_time: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            write_interval: Duration::from_millis(200),
            write_time_share: 0.1,
            batch_time_target: Duration::from_millis(100),
            max_batch_rows: 4_096,
            min_retry_delay: Duration::from_millis(200),
            max_retry_delay: Duration::from_secs(30),
            max_flush_time: Duration::from_millis(500),
        }
    }
}

impl Settings {
    /// Checks that every setting is valid.
    ///
    /// # Errors
    ///
    /// The key of the first invalid setting, and the reason.
    pub fn validate(&self) -> Result<(), (&'static str, &'static str)> {
        let require = |ok: bool, key, reason| if ok { Ok(()) } else { Err((key, reason)) };
        require(!self.write_interval.is_zero(), "write_every_ms", "is 0")?;
        require(
            self.write_time_share > 0.0 && self.write_time_share <= 1.0,
            "share",
            "is not above 0 and at most 1",
        )?;
        require(!self.batch_time_target.is_zero(), "aim_ms", "is 0")?;
        require(
            (MIN_BATCH_ROWS..=1 << 20).contains(&self.max_batch_rows),
            "batch",
            "is not between 64 and 1048576",
        )?;
        require(!self.min_retry_delay.is_zero(), "retry_least_ms", "is 0")?;
        require(self.max_retry_delay >= self.min_retry_delay, "retry_most_ms", "is below `retry_least_ms`")
    }
}

/// An event of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The store has been opened.
    Opened,
    /// All rows that a previous process of the node wrote have been restored.
    Loaded,
    /// A batch has been written to the disk.
    Written,
    /// Opening, loading or writing has failed, and the store is closed.
    Failed,
    /// The node is shutting down.
    Stopping,
}

/// What to do with the store next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Open the store.
    Open,
    /// Read the rows that a previous process of the node wrote.
    Load,
    /// Write up to this many rows.
    Write(usize),
    /// Do nothing until this time at the latest, or until the next event; `None`: until the next event.
    Wait(Option<Duration>),
    /// Stop using the store.
    Stop,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Closed,
    Opening,
    /// Open, but not loaded yet.
    Opened,
    Loading,
    Ready,
    Writing,
}

/// The state machine that paces writes. Times are measured from any fixed moment.
pub struct WritePacing {
    settings: Settings,
    state: State,
    /// When the current action began.
    action_began: Duration,
    /// The earliest time of the next batch or retry.
    paused_until: Duration,
    /// The limit on the rows of the next batch.
    batch_limit: usize,
    consecutive_failures: u32,
    /// Whether the rows of a previous process have been restored. This is done only once: the state learned
    /// since then takes precedence over them.
    loaded: bool,
    /// When the store is stopped at the latest, once the node is shutting down.
    flush_deadline: Option<Duration>,
}

impl WritePacing {
    /// Returns the state of a store that is closed.
    pub fn new(settings: Settings) -> Self {
        let batch_limit = settings.max_batch_rows;
        Self {
            settings,
            state: State::Closed,
            action_began: Duration::ZERO,
            paused_until: Duration::ZERO,
            batch_limit,
            consecutive_failures: 0,
            loaded: false,
            flush_deadline: None,
        }
    }

    /// Processes an event. `random` is a random number between 0 and 1.
    pub fn handle(&mut self, now: Duration, event: Event, random: f64) {
        match event {
            Event::Opened if self.loaded => self.state = State::Ready,
            Event::Opened => self.state = State::Opened,
            Event::Loaded => {
                (self.state, self.loaded, self.consecutive_failures) = (State::Ready, true, 0);
            }
            Event::Written => {
                let took = now.saturating_sub(self.action_began);
                let pause =
                    took.mul_f64((1.0 - self.settings.write_time_share) / self.settings.write_time_share);
                self.paused_until = now + pause.max(self.settings.write_interval);
                self.batch_limit = if took > self.settings.batch_time_target {
                    (self.batch_limit / 2).max(MIN_BATCH_ROWS)
                } else {
                    (self.batch_limit + BATCH_GROWTH_ROWS).min(self.settings.max_batch_rows)
                };
                (self.state, self.consecutive_failures) = (State::Ready, 0);
            }
            Event::Failed => {
                let doubled =
                    self.settings.min_retry_delay.saturating_mul(1 << self.consecutive_failures.min(20));
                let delay = doubled.min(self.settings.max_retry_delay);
                self.paused_until = now + delay.mul_f64(1.0 - RETRY_JITTER * random);
                self.consecutive_failures += 1;
                self.state = State::Closed;
            }
            Event::Stopping => {
                self.flush_deadline.get_or_insert(now + self.settings.max_flush_time);
            }
        }
    }

    /// Returns what to do now, given the number of rows that wait to be written. The returned action counts
    /// as begun.
    pub fn next_action(&mut self, now: Duration, unwritten: usize) -> Action {
        if self.flush_deadline.is_some_and(|deadline| now >= deadline) {
            return Action::Stop;
        }
        let stopping = self.flush_deadline.is_some();
        // The remaining rows are written without a pause at shutdown, but a store that has failed is not
        // retried then.
        let paused = now < self.paused_until && !(stopping && self.state == State::Ready);
        match self.state {
            State::Opening | State::Loading | State::Writing => Action::Wait(self.flush_deadline),
            State::Closed if stopping => Action::Stop,
            State::Ready if stopping && unwritten == 0 => Action::Stop,
            State::Opened if stopping => Action::Stop,
            State::Closed | State::Ready if paused => Action::Wait(Some(self.paused_until)),
            State::Closed => self.begin(now, State::Opening, Action::Open),
            State::Opened => self.begin(now, State::Loading, Action::Load),
            State::Ready if unwritten == 0 => Action::Wait(Some(now + self.settings.write_interval)),
            State::Ready => {
                let max_rows = if stopping { self.settings.max_batch_rows } else { self.batch_limit };
                self.begin(now, State::Writing, Action::Write(max_rows))
            }
        }
    }

    fn begin(&mut self, now: Duration, state: State, action: Action) -> Action {
        (self.state, self.action_began) = (state, now);
        action
    }

    /// Returns when the store is stopped at the latest, once the node is shutting down.
    pub fn flush_deadline(&self) -> Option<Duration> {
        self.flush_deadline
    }

    /// Returns the number of failures since the last success.
    pub fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }

    /// Returns the limit on the rows of the next batch.
    pub fn batch_limit(&self) -> usize {
        self.batch_limit
    }

    /// Returns whether the rows of a previous process have been restored.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Returns whether the store can be written to.
    pub fn is_open(&self) -> bool {
        matches!(self.state, State::Ready | State::Writing)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Duration = Duration::from_millis(1);

    /// Returns the state of a store that is open and loaded.
    fn ready() -> WritePacing {
        let mut pacing = WritePacing::new(Settings::default());
        assert_eq!(pacing.next_action(Duration::ZERO, 0), Action::Open);
        pacing.handle(MS, Event::Opened, 0.0);
        assert_eq!(pacing.next_action(MS, 0), Action::Load);
        pacing.handle(2 * MS, Event::Loaded, 0.0);
        pacing
    }

    #[test]
    fn a_slow_disk_gets_smaller_batches_less_often() {
        let mut pacing = ready();
        let mut now = 2 * MS;
        let mut batches = Vec::new();
        let mut write_time = Duration::ZERO;
        let begun = now;
        for _ in 0..20 {
            let Action::Write(rows) = pacing.next_action(now, 1 << 20) else { panic!("the pause is over") };
            batches.push(rows);
            // Every row takes 0.2 ms.
            let took = (rows as u32 * MS) / 5;
            (now, write_time) = (now + took, write_time + took);
            pacing.handle(now, Event::Written, 0.0);
            let Action::Wait(Some(until)) = pacing.next_action(now, 1 << 20) else { panic!("it pauses") };
            now = until;
        }
        assert!(batches[..4] == [4096, 2048, 1024, 512], "{batches:?}");
        assert!(batches[4..].iter().all(|batch| (256..=512).contains(batch)), "{batches:?}");
        let share = write_time.as_secs_f64() / (now - begun).as_secs_f64();
        assert!((0.09..=0.101).contains(&share), "{share}");
    }

    #[test]
    fn a_failing_disk_is_retried_with_growing_delays_and_never_loaded_twice() {
        let mut pacing = ready();
        let mut now = 3 * MS;
        assert_eq!(pacing.next_action(now, 1), Action::Write(4096));
        let mut delays = Vec::new();
        for _ in 0..12 {
            pacing.handle(now, Event::Failed, 0.0);
            let Action::Wait(Some(until)) = pacing.next_action(now, 1) else { panic!("it pauses") };
            delays.push((until - now).as_millis());
            now = until;
            assert_eq!(pacing.next_action(now, 1), Action::Open);
        }
        assert_eq!(delays[..4], [200, 400, 800, 1600]);
        assert_eq!(delays[11], 30_000);
        pacing.handle(now, Event::Opened, 0.0);
        assert_eq!(
            pacing.next_action(now, 1),
            Action::Write(4096),
            "the current state takes precedence over the stored one"
        );
        pacing.handle(now, Event::Failed, 1.0);
        assert!(
            pacing.consecutive_failures() == 13 && !pacing.is_open(),
            "opening without a write does not reset the failures"
        );
    }

    #[test]
    fn at_shutdown_the_rest_is_written_at_once_until_the_flush_deadline() {
        let mut pacing = ready();
        let now = 10 * MS;
        assert_eq!(pacing.next_action(now, 9), Action::Write(4096));
        pacing.handle(now, Event::Written, 0.0);
        pacing.handle(now, Event::Stopping, 0.0);
        assert_eq!(pacing.next_action(now, 5), Action::Write(4096));
        assert_eq!(pacing.next_action(now, 5), Action::Wait(Some(510 * MS)));
        pacing.handle(now, Event::Stopping, 0.0);
        assert_eq!(pacing.next_action(510 * MS, 5), Action::Stop, "a disk that hangs");
        let mut pacing = ready();
        pacing.handle(now, Event::Stopping, 0.0);
        assert_eq!(pacing.next_action(now, 0), Action::Stop);
        let mut closed = WritePacing::new(Settings::default());
        closed.handle(now, Event::Stopping, 0.0);
        assert_eq!(
            closed.next_action(now, 7),
            Action::Stop,
            "a store that was not loaded is not read at shutdown"
        );
    }
}
