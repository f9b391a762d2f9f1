//! Pauses of this process: times in which it stood still while the rest of the world went on, as on a machine that is busy, is
//! suspended, or stops the process by a signal.
//!
//! What others said meanwhile lies unread when the process resumes. So a pause is nobody else's silence: [`PauseAdjustedClock`] is a clock
//! that leaves pauses out, for judging others by, and [`pause_adjusted_timeout`] bounds a wait by the time in which the process could
//! have noticed an answer. Promises to others (a client's deadline, the end of the process) go by the monotonic clock.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, sleep_until, timeout, Instant};

/// How often the process looks at the clock.
const TICK: Duration = Duration::from_millis(100);
/// A look that comes so long after the one before shows a pause.
const PAUSE_LEAST: Duration = Duration::from_millis(200);
/// What has come during a pause has been read this long after it. Shorter pauses than [`PAUSE_LEAST`] are not seen, and a pause may
/// be taken for a tick longer than it was.
const READ_FIRST: Duration = Duration::from_millis(20);
/// A pause of this length has a line in the log.
const LOGGED_LEAST: Duration = Duration::from_millis(500);

/// Finds pauses by when the process was last seen to run. Pure: times are those since its start.
#[derive(Debug, Default)]
pub struct PauseDetector {
    seen_at: Duration,
    stood_still: Duration,
}

impl PauseDetector {
    /// The process runs at `now`. How long it stood still just before, where that was a pause.
    pub fn observe(&mut self, now: Duration) -> Option<Duration> {
        let unseen = now.saturating_sub(self.seen_at);
        self.seen_at = self.seen_at.max(now);
        // It may have run for up to a tick after it was last seen: others get as much more time.
        let pause = (unseen >= PAUSE_LEAST).then_some(unseen)?;
        self.stood_still += pause;
        Some(pause)
    }

    /// The time up to `now` without pauses. It does not run backwards.
    pub fn running_time(&self, now: Duration) -> Duration {
        now.saturating_sub(self.stood_still)
    }

    /// All pauses together.
    pub fn total_pause(&self) -> Duration {
        self.stood_still
    }
}

/// The clock by which others are judged: it stands still while this process does.
#[derive(Debug)]
pub struct PauseAdjustedClock {
    started: Instant,
    watch: RefCell<PauseDetector>,
    /// When the last pause was seen to be over.
    resumed_at: Cell<Option<Instant>>,
    /// Whether somebody looks at the clock at each tick. Without that a quiet time cannot be told from a pause.
    is_kept: Cell<bool>,
}

impl PauseAdjustedClock {
    /// A clock that begins now. Until [`PauseAdjustedClock::run`] runs it finds no pause.
    #[must_use]
    pub fn new() -> Rc<Self> {
        Rc::new(Self {
            started: Instant::now(),
            watch: RefCell::default(),
            resumed_at: Cell::default(),
            is_kept: Cell::new(false),
        })
    }

    /// Time since its start, without pauses.
    pub fn now(&self) -> Duration {
        let now = self.observe();
        self.watch.borrow().running_time(now)
    }

    /// All pauses together, up to now.
    pub fn total_pause(&self) -> Duration {
        self.observe();
        self.watch.borrow().total_pause()
    }

    fn observe(&self) -> Duration {
        let now = self.started.elapsed();
        if !self.is_kept.get() {
            return now;
        }
        let pause = self.watch.borrow_mut().observe(now);
        if pause.is_some() {
            self.resumed_at.set(Some(Instant::now()));
        }
        if let Some(pause) = pause.filter(|pause| *pause >= LOGGED_LEAST) {
            tracing::warn!("this process stood still for {:.3} s", pause.as_secs_f64());
        }
        now
    }

    /// Right after a pause, waits until what has come meanwhile has been read; else returns at once.
    pub async fn caught_up(&self) {
        loop {
            self.observe();
            let Some(until) = self.resumed_at.get().map(|at| at + READ_FIRST) else { return };
            if Instant::now() >= until {
                return;
            }
            sleep_until(until).await;
        }
    }

    /// Looks at the clock at each tick, for as long as the process runs.
    pub async fn run(self: Rc<Self>) {
        self.watch.borrow_mut().seen_at = self.started.elapsed();
        self.is_kept.set(true);
        loop {
            sleep(TICK).await;
            self.observe();
        }
    }
}

/// Where a process that wakes now for what was due then stood still meanwhile: when to look again, once what has come is read.
/// After a stop by a signal the event loop heeds its timers before its sockets.
#[must_use]
pub fn catch_up_deadline(due: Instant) -> Option<Instant> {
    let now = Instant::now();
    (now.saturating_duration_since(due) >= PAUSE_LEAST).then(|| now + READ_FIRST)
}

/// Sleeps, and where the process wakes late, a moment more: what has come meanwhile is read before what became due is judged.
pub async fn sleep_and_catch_up(most: Duration) {
    let due = Instant::now() + most;
    sleep(most).await;
    if let Some(again) = catch_up_deadline(due) {
        sleep_until(again).await;
    }
}

/// Pauses may make a wait longer, but not more than so many times.
const LONGER_MOST: u32 = 2;

/// How long others are still waited for, in time in which this process runs. Pure.
#[derive(Debug)]
struct Patience {
    left: Duration,
    /// The wait ends by then, however many pauses there are.
    left_with_pauses: Duration,
}

impl Patience {
    fn new(most: Duration) -> Self {
        Self { left: most, left_with_pauses: most * LONGER_MOST }
    }

    /// The next part of the wait, a tick at the most; none where the wait is over.
    fn next_step(&self) -> Option<Duration> {
        let step = self.left.min(TICK);
        (!step.is_zero()).then_some(step)
    }

    /// A part of the wait that was to take `step` took so long. A pause does not count, and leaves a tick at least for what has come
    /// meanwhile.
    fn waited(&mut self, step: Duration, took: Duration) {
        let is_pause = took.saturating_sub(step) >= PAUSE_LEAST;
        let is_last = self.left_with_pauses.is_zero();
        self.left_with_pauses = self.left_with_pauses.saturating_sub(took);
        self.left = match () {
            () if is_last => Duration::ZERO,
            () if self.left_with_pauses.is_zero() => TICK,
            () if is_pause => self.left.max(TICK),
            () => self.left.saturating_sub(took),
        };
    }
}

/// Waits for `future`, up to `most` of the time in which this process runs, twice that with pauses. `None` where it has not come by then.
pub async fn pause_adjusted_timeout<F: Future>(most: Duration, future: F) -> Option<F::Output> {
    let mut future = pin!(future);
    let mut patience = Patience::new(most);
    while let Some(step) = patience.next_step() {
        let begun = Instant::now();
        if let Ok(output) = timeout(step, future.as_mut()).await {
            return Some(output);
        }
        patience.waited(step, begun.elapsed());
    }
    None
}

#[cfg(test)]
mod tests;
