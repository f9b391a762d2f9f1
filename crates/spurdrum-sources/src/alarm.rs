//! The clock of what decides without one.

use std::cell::Cell;
use std::future::pending;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

/// Counts time from when it was made, and wakes whoever sleeps on it at the earliest moment that it is told of.
pub struct Timer {
    started: Instant,
    /// None: it sleeps until it is told of a moment.
    until: Cell<Option<Duration>>,
    changed: Notify,
}

impl Default for Timer {
    fn default() -> Self {
        Self { started: Instant::now(), until: Cell::new(None), changed: Notify::new() }
    }
}

impl Timer {
    /// The present time.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Sleeps until then, or until [`Alarm::sooner`] tells of an earlier moment.
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

    /// Wakes who sleeps, where this is earlier than what they sleep for.
    pub fn wake_no_later_than(&self, wake: Option<Duration>) {
        if wake.is_some_and(|wake| self.until.get().is_none_or(|until| wake < until)) {
            self.changed.notify_one();
        }
    }
}
