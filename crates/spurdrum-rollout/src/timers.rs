//! Times that a state machine asks its shell to keep: one of each kind, and the last setting of it counts.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

/// The times that are kept now.
#[derive(Debug)]
pub struct Timers<T> {
    /// Each by the number of its setting: an earlier one is old.
    set: RefCell<BTreeMap<T, u64>>,
    last: Cell<u64>,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Self { set: RefCell::default(), last: Cell::new(0) }
    }
}

impl<T: Copy + Ord + 'static> Timers<T> {
    /// After so long, does `then`, unless the time is set again or forgotten before. On the present event loop.
    pub fn set(self: &Rc<Self>, timer: T, after: Duration, then: impl FnOnce() + 'static) {
        self.last.set(self.last.get() + 1);
        let (number, timers) = (self.last.get(), Rc::clone(self));
        self.set.borrow_mut().insert(timer, number);
        tokio::task::spawn_local(async move {
            sleep(after).await;
            let is_set = timers.set.borrow().get(&timer) == Some(&number);
            if is_set {
                timers.cancel(timer);
                then();
            }
        });
    }

    /// Forgets a time.
    pub fn cancel(&self, timer: T) {
        self.set.borrow_mut().remove(&timer);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test(start_paused = true)]
    async fn the_last_setting_counts_and_what_is_forgotten_never_comes() {
        let all = async {
            let (timers, came) = (Rc::new(Timers::default()), Rc::new(RefCell::new(Vec::new())));
            let set = |timer: &'static str, ms, what: u32| {
                let came = Rc::clone(&came);
                timers.set(timer, Duration::from_millis(ms), move || came.borrow_mut().push(what));
            };
            set("again", 10, 1);
            set("again", 50, 2);
            set("forgotten", 10, 3);
            set("once", 20, 4);
            timers.cancel("forgotten");
            sleep(Duration::from_millis(100)).await;
            assert_eq!(*came.borrow(), [4, 2]);
            set("again", 5, 5);
            sleep(Duration::from_millis(10)).await;
            assert_eq!(*came.borrow(), [4, 2, 5]);
        };
        tokio::task::LocalSet::new().run_until(all).await;
    }
}
