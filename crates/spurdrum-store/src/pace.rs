//! When the store is opened, written to and tried again, and how much is written at once. No I/O, no clock.

use std::time::Duration;

/// A batch is never asked to be smaller.
const BATCH_LEAST: usize = 64;
/// A batch that was written soon enough lets the next one be so much larger.
const BATCH_STEP: usize = 256;
/// Pauses after troubles are spread over this part of themselves, so that nodes of one disk do not come together.
const SPREAD: f64 = 0.5;

/// How the store is written to.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Pause between two batches.
    pub write_interval: Duration,
    /// Part of the time that may go into writing: after a slow batch the pause is longer.
    pub write_time_share: f64,
    /// A batch that takes longer makes the next one smaller.
    pub batch_time_target: Duration,
    /// Rows in a batch at the most.
    pub max_batch_rows: usize,
    /// Pause after a trouble, doubled with each ...
    pub min_retry_delay: Duration,
    /// ... up to this.
    pub max_retry_delay: Duration,
    /// When the node ends, what is left is written for so long.
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
    /// Checks that every figure makes sense.
    ///
    /// # Errors
    ///
    /// The first key that does not, and why.
    pub fn validate(&self) -> Result<(), (&'static str, &'static str)> {
        let need = |ok: bool, key, why| if ok { Ok(()) } else { Err((key, why)) };
        need(!self.write_interval.is_zero(), "write_every_ms", "is 0")?;
        need(
            self.write_time_share > 0.0 && self.write_time_share <= 1.0,
            "share",
            "is not above 0 and at most 1",
        )?;
        need(!self.batch_time_target.is_zero(), "aim_ms", "is 0")?;
        need(
            (BATCH_LEAST..=1 << 20).contains(&self.max_batch_rows),
            "batch",
            "is not between 64 and 1048576",
        )?;
        need(!self.min_retry_delay.is_zero(), "retry_least_ms", "is 0")?;
        need(self.max_retry_delay >= self.min_retry_delay, "retry_most_ms", "is below `retry_least_ms`")
    }
}

/// What has happened to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// It is open.
    Opened,
    /// All that an earlier life wrote has been taken in.
    Loaded,
    /// A batch is on the disk.
    Written,
    /// Opening, loading or writing has failed; it is closed.
    Failed,
    /// The node ends.
    Stopping,
}

/// What is to be done with the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Open it.
    Open,
    /// Read what an earlier life wrote.
    Load,
    /// Write so many rows at the most.
    Write(usize),
    /// Nothing, until then at the latest; none: until something happens.
    Wait(Option<Duration>),
    /// It is over.
    Stop,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Closed,
    Opening,
    /// Open, and still to be loaded.
    Opened,
    Loading,
    Ready,
    Writing,
}

/// Decides. Times are from any one moment.
pub struct WritePacing {
    settings: Settings,
    state: State,
    since: Duration,
    rests_until: Duration,
    batch_limit: usize,
    troubles: u32,
    /// An earlier life's rows are taken in once: what is known since then goes before them.
    loaded: bool,
    ends_by: Option<Duration>,
}

impl WritePacing {
    /// A store that is closed.
    pub fn new(settings: Settings) -> Self {
        let batch_limit = settings.max_batch_rows;
        Self {
            settings,
            state: State::Closed,
            since: Duration::ZERO,
            rests_until: Duration::ZERO,
            batch_limit,
            troubles: 0,
            loaded: false,
            ends_by: None,
        }
    }

    /// Something has happened. `chance`: a draw from 0 to 1.
    pub fn handle(&mut self, now: Duration, event: Event, chance: f64) {
        match event {
            Event::Opened if self.loaded => self.state = State::Ready,
            Event::Opened => self.state = State::Opened,
            Event::Loaded => {
                (self.state, self.loaded, self.troubles) = (State::Ready, true, 0);
            }
            Event::Written => {
                let took = now.saturating_sub(self.since);
                let rests =
                    took.mul_f64((1.0 - self.settings.write_time_share) / self.settings.write_time_share);
                self.rests_until = now + rests.max(self.settings.write_interval);
                self.batch_limit = if took > self.settings.batch_time_target {
                    (self.batch_limit / 2).max(BATCH_LEAST)
                } else {
                    (self.batch_limit + BATCH_STEP).min(self.settings.max_batch_rows)
                };
                (self.state, self.troubles) = (State::Ready, 0);
            }
            Event::Failed => {
                let doubled = self.settings.min_retry_delay.saturating_mul(1 << self.troubles.min(20));
                let pause = doubled.min(self.settings.max_retry_delay);
                self.rests_until = now + pause.mul_f64(1.0 - SPREAD * chance);
                self.troubles += 1;
                self.state = State::Closed;
            }
            Event::Stopping => {
                self.ends_by.get_or_insert(now + self.settings.max_flush_time);
            }
        }
    }

    /// What is to be done now, where so many rows wait to be written. What it says is taken as begun.
    pub fn next_action(&mut self, now: Duration, unwritten: usize) -> Action {
        if self.ends_by.is_some_and(|by| now >= by) {
            return Action::Stop;
        }
        let ending = self.ends_by.is_some();
        // Whoever ends does not rest, but a store that failed is left alone.
        let rests = now < self.rests_until && !(ending && self.state == State::Ready);
        match self.state {
            State::Opening | State::Loading | State::Writing => Action::Wait(self.ends_by),
            State::Closed if ending => Action::Stop,
            State::Ready if ending && unwritten == 0 => Action::Stop,
            State::Opened if ending => Action::Stop,
            State::Closed | State::Ready if rests => Action::Wait(Some(self.rests_until)),
            State::Closed => self.begin(now, State::Opening, Action::Open),
            State::Opened => self.begin(now, State::Loading, Action::Load),
            State::Ready if unwritten == 0 => Action::Wait(Some(now + self.settings.write_interval)),
            State::Ready => {
                let most = if ending { self.settings.max_batch_rows } else { self.batch_limit };
                self.begin(now, State::Writing, Action::Write(most))
            }
        }
    }

    fn begin(&mut self, now: Duration, state: State, action: Action) -> Action {
        (self.state, self.since) = (state, now);
        action
    }

    /// When a node that ends is done with it at the latest.
    pub fn flush_deadline(&self) -> Option<Duration> {
        self.ends_by
    }

    /// Troubles in a row.
    pub fn consecutive_failures(&self) -> u32 {
        self.troubles
    }

    /// Rows that the next batch may hold.
    pub fn batch_limit(&self) -> usize {
        self.batch_limit
    }

    /// Whether what an earlier life wrote has been taken in.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Whether it can be written to.
    pub fn is_open(&self) -> bool {
        matches!(self.state, State::Ready | State::Writing)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Duration = Duration::from_millis(1);

    fn ready() -> WritePacing {
        let mut pace = WritePacing::new(Settings::default());
        assert_eq!(pace.next_action(Duration::ZERO, 0), Action::Open);
        pace.handle(MS, Event::Opened, 0.0);
        assert_eq!(pace.next_action(MS, 0), Action::Load);
        pace.handle(2 * MS, Event::Loaded, 0.0);
        pace
    }

    #[test]
    fn a_slow_disk_is_given_less_at_once_and_less_often() {
        let mut pace = ready();
        let mut now = 2 * MS;
        let mut batches = Vec::new();
        let mut writing = Duration::ZERO;
        let begun = now;
        for _ in 0..20 {
            let Action::Write(most) = pace.next_action(now, 1 << 20) else { panic!("it has rested") };
            batches.push(most);
            // Every row takes 0.2 ms.
            let took = (most as u32 * MS) / 5;
            (now, writing) = (now + took, writing + took);
            pace.handle(now, Event::Written, 0.0);
            let Action::Wait(Some(until)) = pace.next_action(now, 1 << 20) else { panic!("it rests") };
            now = until;
        }
        assert!(batches[..4] == [4096, 2048, 1024, 512], "{batches:?}");
        assert!(batches[4..].iter().all(|batch| (256..=512).contains(batch)), "{batches:?}");
        let part = writing.as_secs_f64() / (now - begun).as_secs_f64();
        assert!((0.09..=0.101).contains(&part), "{part}");
    }

    #[test]
    fn a_broken_disk_is_tried_ever_more_seldom_and_never_loaded_twice() {
        let mut pace = ready();
        let mut now = 3 * MS;
        assert_eq!(pace.next_action(now, 1), Action::Write(4096));
        let mut pauses = Vec::new();
        for _ in 0..12 {
            pace.handle(now, Event::Failed, 0.0);
            let Action::Wait(Some(until)) = pace.next_action(now, 1) else { panic!("it rests") };
            pauses.push((until - now).as_millis());
            now = until;
            assert_eq!(pace.next_action(now, 1), Action::Open);
        }
        assert_eq!(pauses[..4], [200, 400, 800, 1600]);
        assert_eq!(pauses[11], 30_000);
        pace.handle(now, Event::Opened, 0.0);
        assert_eq!(pace.next_action(now, 1), Action::Write(4096), "what is known since goes before it");
        pace.handle(now, Event::Failed, 1.0);
        assert!(
            pace.consecutive_failures() == 13 && !pace.is_open(),
            "an open that is no write mends nothing"
        );
    }

    #[test]
    fn who_ends_writes_what_is_left_at_once_and_not_for_ever() {
        let mut pace = ready();
        let now = 10 * MS;
        assert_eq!(pace.next_action(now, 9), Action::Write(4096));
        pace.handle(now, Event::Written, 0.0);
        pace.handle(now, Event::Stopping, 0.0);
        assert_eq!(pace.next_action(now, 5), Action::Write(4096));
        assert_eq!(pace.next_action(now, 5), Action::Wait(Some(510 * MS)));
        pace.handle(now, Event::Stopping, 0.0);
        assert_eq!(pace.next_action(510 * MS, 5), Action::Stop, "a disk that hangs");
        let mut pace = ready();
        pace.handle(now, Event::Stopping, 0.0);
        assert_eq!(pace.next_action(now, 0), Action::Stop);
        let mut closed = WritePacing::new(Settings::default());
        closed.handle(now, Event::Stopping, 0.0);
        assert_eq!(closed.next_action(now, 7), Action::Stop, "nothing is read for a node that ends");
    }
}
