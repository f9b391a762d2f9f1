//! Timers that a state machine asks its shell to run: at most one of each kind; setting a timer again restarts it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

/// The running timers, identified by `T`.
#[derive(Debug)]
pub struct Timers<T> {
    /// For each running timer, the number of the call that set it. A task of an earlier call finds another number
    /// and does nothing.
    active: RefCell<BTreeMap<T, u64>>,
    last_number: Cell<u64>,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Self { active: RefCell::default(), last_number: Cell::new(0) }
    }
}

impl<T: Copy + Ord + 'static> Timers<T> {
    /// Runs `callback` after this delay on the current event loop, unless the timer is set again or cancelled before.
    pub fn set(self: &Rc<Self>, timer: T, delay: Duration, callback: impl FnOnce() + 'static) {
        self.last_number.set(self.last_number.get() + 1);
        let (number, timers) = (self.last_number.get(), Rc::clone(self));
        self.active.borrow_mut().insert(timer, number);
        tokio::task::spawn_local(async move {
            sleep(delay).await;
            let is_current = timers.active.borrow().get(&timer) == Some(&number);
            if is_current {
                timers.cancel(timer);
                callback();
            }
        });
    }

    /// Cancels a timer.
    pub fn cancel(&self, timer: T) {
        self.active.borrow_mut().remove(&timer);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test(start_paused = true)]
    async fn the_last_setting_counts_and_a_cancelled_timer_never_fires() {
        let test = async {
            let (timers, fired) = (Rc::new(Timers::default()), Rc::new(RefCell::new(Vec::new())));
            let set = |timer: &'static str, ms, value: u32| {
                let fired = Rc::clone(&fired);
                timers.set(timer, Duration::from_millis(ms), move || fired.borrow_mut().push(value));
            };
            set("again", 10, 1);
            set("again", 50, 2);
            set("forgotten", 10, 3);
            set("once", 20, 4);
            timers.cancel("forgotten");
            sleep(Duration::from_millis(100)).await;
            assert_eq!(*fired.borrow(), [4, 2]);
            set("again", 5, 5);
            sleep(Duration::from_millis(10)).await;
            assert_eq!(*fired.borrow(), [4, 2, 5]);
        };
        tokio::task::LocalSet::new().run_until(test).await;
    }
}
