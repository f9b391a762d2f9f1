//! Pauses of this process: periods in which it did not run while other processes did, for example on a busy
//! machine, on one that is suspended, or because a signal stopped the process.
//!
//! Messages that others sent during a pause are still unread when the process resumes, so a pause must not be
//! taken for silence of others. [`PauseAdjustedClock`] is a clock that leaves pauses out, for measuring
//! timeouts of others, and [`pause_adjusted_timeout`] limits a wait by the time in which the process could
//! have noticed a response. Promises to others (a client's deadline, the end of the process) go by the
//! monotonic clock.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, sleep_until, timeout, Instant};

/// How often the process checks the clock.
const TICK: Duration = Duration::from_millis(100);
/// A check that comes this long after the previous one indicates a pause.
const MIN_PAUSE: Duration = Duration::from_millis(200);
/// How long after a pause everything that arrived during it has been read. Pauses shorter than [`MIN_PAUSE`]
/// are not detected, and a pause may be measured up to one tick longer than it was.
const CATCH_UP_TIME: Duration = Duration::from_millis(20);
/// Pauses of at least this length are logged.
const MIN_LOGGED_PAUSE: Duration = Duration::from_millis(500);

/// Detects pauses from the times at which the process was seen running. Pure: times count from its start.
#[derive(Debug, Default)]
pub struct PauseDetector {
    last_seen: Duration,
    total_pause: Duration,
}

impl PauseDetector {
    /// Records that the process runs at `now`. Returns how long it was paused just before, if it was.
    pub fn observe(&mut self, now: Duration) -> Option<Duration> {
        let since_last_seen = now.saturating_sub(self.last_seen);
        self.last_seen = self.last_seen.max(now);
        // The process may have run for up to a tick after it was last seen; others get that much more time.
        let pause = (since_last_seen >= MIN_PAUSE).then_some(since_last_seen)?;
        self.total_pause += pause;
        Some(pause)
    }

    /// Returns the time up to `now` without pauses. It never runs backwards.
    pub fn running_time(&self, now: Duration) -> Duration {
        now.saturating_sub(self.total_pause)
    }

    /// Returns the total length of all pauses.
    pub fn total_pause(&self) -> Duration {
        self.total_pause
    }
}

/// The clock for measuring timeouts of others: it stops while this process is paused.
#[derive(Debug)]
pub struct PauseAdjustedClock {
    started: Instant,
    detector: RefCell<PauseDetector>,
    /// When the end of the last pause was noticed.
    resumed_at: Cell<Option<Instant>>,
    /// Whether [`PauseAdjustedClock::run`] checks the clock at each tick. Without it an idle period cannot be
    /// told from a pause.
    is_running: Cell<bool>,
}

impl PauseAdjustedClock {
    /// Creates a clock that starts now. It detects no pauses until [`PauseAdjustedClock::run`] is running.
    #[must_use]
    pub fn new() -> Rc<Self> {
        Rc::new(Self {
            started: Instant::now(),
            detector: RefCell::default(),
            resumed_at: Cell::default(),
            is_running: Cell::new(false),
        })
    }

    /// Returns the running time: the time since the clock's start, without pauses.
    pub fn now(&self) -> Duration {
        let now = self.observe();
        self.detector.borrow().running_time(now)
    }

    /// Returns the total length of all pauses up to now.
    pub fn total_pause(&self) -> Duration {
        self.observe();
        self.detector.borrow().total_pause()
    }

    fn observe(&self) -> Duration {
        let now = self.started.elapsed();
        if !self.is_running.get() {
            return now;
        }
        let pause = self.detector.borrow_mut().observe(now);
        if pause.is_some() {
            self.resumed_at.set(Some(Instant::now()));
        }
        if let Some(pause) = pause.filter(|pause| *pause >= MIN_LOGGED_PAUSE) {
            tracing::warn!("this process was paused for {:.3} s", pause.as_secs_f64());
        }
        now
    }

    /// Right after a pause, waits until everything that arrived during it has been read; otherwise returns
    /// immediately.
    pub async fn caught_up(&self) {
        loop {
            self.observe();
            let Some(caught_up_at) = self.resumed_at.get().map(|at| at + CATCH_UP_TIME) else { return };
            if Instant::now() >= caught_up_at {
                return;
            }
            sleep_until(caught_up_at).await;
        }
    }

    /// Checks the clock at each tick, for as long as the process runs.
    pub async fn run(self: Rc<Self>) {
        self.detector.borrow_mut().last_seen = self.started.elapsed();
        self.is_running.set(true);
        loop {
            sleep(TICK).await;
            self.observe();
        }
    }
}

/// Returns when to check again, if the process was paused between `due` and now: once everything that arrived
/// meanwhile has been read. Needed because after a stop by a signal the event loop runs its timers before it
/// reads its sockets.
#[must_use]
pub fn catch_up_deadline(due: Instant) -> Option<Instant> {
    let now = Instant::now();
    (now.saturating_duration_since(due) >= MIN_PAUSE).then(|| now + CATCH_UP_TIME)
}

/// Sleeps, and if the process wakes late a moment longer: what arrived meanwhile is read before the caller
/// acts on the elapsed time.
pub async fn sleep_and_catch_up(duration: Duration) {
    let due = Instant::now() + duration;
    sleep(duration).await;
    if let Some(catch_up) = catch_up_deadline(due) {
        sleep_until(catch_up).await;
    }
}

/// The largest factor by which pauses may extend a wait.
const MAX_PAUSE_FACTOR: u32 = 2;

/// The remaining time of a wait for others, measured in time in which this process runs. Pure.
#[derive(Debug)]
struct RemainingWait {
    running_left: Duration,
    /// The remaining time including pauses: the wait ends by then, however many pauses there are.
    total_left: Duration,
}

impl RemainingWait {
    fn new(max: Duration) -> Self {
        Self { running_left: max, total_left: max * MAX_PAUSE_FACTOR }
    }

    /// Returns the next part of the wait, at most one tick; none if the wait is over.
    fn next_step(&self) -> Option<Duration> {
        let step = self.running_left.min(TICK);
        (!step.is_zero()).then_some(step)
    }

    /// Records that a part of the wait that should have taken `step` took `elapsed`. A pause does not count,
    /// and leaves at least one tick for reading what arrived meanwhile.
    fn record(&mut self, step: Duration, elapsed: Duration) {
        let is_pause = elapsed.saturating_sub(step) >= MIN_PAUSE;
        let is_last = self.total_left.is_zero();
        self.total_left = self.total_left.saturating_sub(elapsed);
        self.running_left = match () {
            () if is_last => Duration::ZERO,
            () if self.total_left.is_zero() => TICK,
            () if is_pause => self.running_left.max(TICK),
            () => self.running_left.saturating_sub(elapsed),
        };
    }
}

/// Waits for `future`, up to `max` of the time in which this process runs, and up to twice that including
/// pauses. Returns `None` if it has not completed by then.
pub async fn pause_adjusted_timeout<F: Future>(max: Duration, future: F) -> Option<F::Output> {
    let mut future = pin!(future);
    let mut wait = RemainingWait::new(max);
    while let Some(step) = wait.next_step() {
        let step_started = Instant::now();
        if let Ok(output) = timeout(step, future.as_mut()).await {
            return Some(output);
        }
        wait.record(step, step_started.elapsed());
    }
    None
}

#[cfg(test)]
mod tests;
