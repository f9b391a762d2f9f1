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
    pub every: Duration,
    /// Part of the time that may go into writing: after a slow batch the pause is longer.
    pub share: f64,
    /// A batch that takes longer makes the next one smaller.
    pub aim: Duration,
    /// Rows in a batch at the most.
    pub batch: usize,
    /// Pause after a trouble, doubled with each ...
    pub retry_least: Duration,
    /// ... up to this.
    pub retry_most: Duration,
    /// When the node ends, what is left is written for so long.
    pub flush_most: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            every: Duration::from_millis(200),
            share: 0.1,
            aim: Duration::from_millis(100),
            batch: 4_096,
            retry_least: Duration::from_millis(200),
            retry_most: Duration::from_secs(30),
            flush_most: Duration::from_millis(500),
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
        need(!self.every.is_zero(), "write_every_ms", "is 0")?;
        need(self.share > 0.0 && self.share <= 1.0, "share", "is not above 0 and at most 1")?;
        need(!self.aim.is_zero(), "aim_ms", "is 0")?;
        need((BATCH_LEAST..=1 << 20).contains(&self.batch), "batch", "is not between 64 and 1048576")?;
        need(!self.retry_least.is_zero(), "retry_least_ms", "is 0")?;
        need(self.retry_most >= self.retry_least, "retry_most_ms", "is below `retry_least_ms`")
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
    Ending,
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
    End,
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
pub struct Pace {
    settings: Settings,
    state: State,
    since: Duration,
    rests_until: Duration,
    batch: usize,
    troubles: u32,
    /// An earlier life's rows are taken in once: what is known since then goes before them.
    loaded: bool,
    ends_by: Option<Duration>,
}

impl Pace {
    /// A store that is closed.
    pub fn new(settings: Settings) -> Self {
        let batch = settings.batch;
        Self {
            settings,
            state: State::Closed,
            since: Duration::ZERO,
            rests_until: Duration::ZERO,
            batch,
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
                let rests = took.mul_f64((1.0 - self.settings.share) / self.settings.share);
                self.rests_until = now + rests.max(self.settings.every);
                self.batch = if took > self.settings.aim {
                    (self.batch / 2).max(BATCH_LEAST)
                } else {
                    (self.batch + BATCH_STEP).min(self.settings.batch)
                };
                (self.state, self.troubles) = (State::Ready, 0);
            }
            Event::Failed => {
                let doubled = self.settings.retry_least.saturating_mul(1 << self.troubles.min(20));
                let pause = doubled.min(self.settings.retry_most);
                self.rests_until = now + pause.mul_f64(1.0 - SPREAD * chance);
                self.troubles += 1;
                self.state = State::Closed;
            }
            Event::Ending => {
                self.ends_by.get_or_insert(now + self.settings.flush_most);
            }
        }
    }

    /// What is to be done now, where so many rows wait to be written. What it says is taken as begun.
    pub fn next(&mut self, now: Duration, unwritten: usize) -> Action {
        if self.ends_by.is_some_and(|by| now >= by) {
            return Action::End;
        }
        let ending = self.ends_by.is_some();
        // Whoever ends does not rest, but a store that failed is left alone.
        let rests = now < self.rests_until && !(ending && self.state == State::Ready);
        match self.state {
            State::Opening | State::Loading | State::Writing => Action::Wait(self.ends_by),
            State::Closed if ending => Action::End,
            State::Ready if ending && unwritten == 0 => Action::End,
            State::Opened if ending => Action::End,
            State::Closed | State::Ready if rests => Action::Wait(Some(self.rests_until)),
            State::Closed => self.begin(now, State::Opening, Action::Open),
            State::Opened => self.begin(now, State::Loading, Action::Load),
            State::Ready if unwritten == 0 => Action::Wait(Some(now + self.settings.every)),
            State::Ready => {
                let most = if ending { self.settings.batch } else { self.batch };
                self.begin(now, State::Writing, Action::Write(most))
            }
        }
    }

    fn begin(&mut self, now: Duration, state: State, action: Action) -> Action {
        (self.state, self.since) = (state, now);
        action
    }

    /// When a node that ends is done with it at the latest.
    pub fn ends_by(&self) -> Option<Duration> {
        self.ends_by
    }

    /// Troubles in a row.
    pub fn troubles(&self) -> u32 {
        self.troubles
    }

    /// Rows that the next batch may hold.
    pub fn batch(&self) -> usize {
        self.batch
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

    fn ready() -> Pace {
        let mut pace = Pace::new(Settings::default());
        assert_eq!(pace.next(Duration::ZERO, 0), Action::Open);
        pace.handle(MS, Event::Opened, 0.0);
        assert_eq!(pace.next(MS, 0), Action::Load);
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
            let Action::Write(most) = pace.next(now, 1 << 20) else { panic!("it has rested") };
            batches.push(most);
            // Every row takes 0.2 ms.
            let took = (most as u32 * MS) / 5;
            (now, writing) = (now + took, writing + took);
            pace.handle(now, Event::Written, 0.0);
            let Action::Wait(Some(until)) = pace.next(now, 1 << 20) else { panic!("it rests") };
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
        assert_eq!(pace.next(now, 1), Action::Write(4096));
        let mut pauses = Vec::new();
        for _ in 0..12 {
            pace.handle(now, Event::Failed, 0.0);
            let Action::Wait(Some(until)) = pace.next(now, 1) else { panic!("it rests") };
            pauses.push((until - now).as_millis());
            now = until;
            assert_eq!(pace.next(now, 1), Action::Open);
        }
        assert_eq!(pauses[..4], [200, 400, 800, 1600]);
        assert_eq!(pauses[11], 30_000);
        pace.handle(now, Event::Opened, 0.0);
        assert_eq!(pace.next(now, 1), Action::Write(4096), "what is known since goes before it");
        pace.handle(now, Event::Failed, 1.0);
        assert!(pace.troubles() == 13 && !pace.is_open(), "an open that is no write mends nothing");
    }

    #[test]
    fn who_ends_writes_what_is_left_at_once_and_not_for_ever() {
        let mut pace = ready();
        let now = 10 * MS;
        assert_eq!(pace.next(now, 9), Action::Write(4096));
        pace.handle(now, Event::Written, 0.0);
        pace.handle(now, Event::Ending, 0.0);
        assert_eq!(pace.next(now, 5), Action::Write(4096));
        assert_eq!(pace.next(now, 5), Action::Wait(Some(510 * MS)));
        pace.handle(now, Event::Ending, 0.0);
        assert_eq!(pace.next(510 * MS, 5), Action::End, "a disk that hangs");
        let mut pace = ready();
        pace.handle(now, Event::Ending, 0.0);
        assert_eq!(pace.next(now, 0), Action::End);
        let mut closed = Pace::new(Settings::default());
        closed.handle(now, Event::Ending, 0.0);
        assert_eq!(closed.next(now, 7), Action::End, "nothing is read for a node that ends");
    }
}
