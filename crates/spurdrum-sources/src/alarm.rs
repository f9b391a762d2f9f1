//! The clock and timer that shells use to drive pure state machines.

use std::cell::Cell;
use std::future::pending;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

/// Measures time since its creation, and wakes the task that sleeps on it at the earliest time requested.
pub struct Timer {
    started: Instant,
    /// When the sleeping task wakes; none if it sleeps until a time is requested.
    until: Cell<Option<Duration>>,
    changed: Notify,
}

impl Default for Timer {
    fn default() -> Self {
        Self { started: Instant::now(), until: Cell::new(None), changed: Notify::new() }
    }
}

impl Timer {
    /// Returns the time since the creation of the timer.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Sleeps until the given time, or until [`Timer::wake_no_later_than`] requests an earlier one.
    pub async fn sleep(&self, until: Option<Duration>) {
        self.until.set(until);
        let sleep = async {
            match until {
                Some(until) => sleep_until(self.started + until).await,
                None => pending().await,
            }
        };
        tokio::select! {
            () = self.changed.notified() => {}
            () = sleep => {}
        }
    }

    /// Wakes the sleeping task, if `wake` is earlier than the time that it sleeps until: the task then
    /// computes its next wake time again.
    pub fn wake_no_later_than(&self, wake: Option<Duration>) {
        if wake.is_some_and(|wake| self.until.get().is_none_or(|until| wake < until)) {
            self.changed.notify_one();
        }
    }
}
