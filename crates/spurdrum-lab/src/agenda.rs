//! What is to happen in simulated time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// By time; of two at one instant, the one that was planned first.
struct Planned<T, S> {
    at: T,
    number: u64,
    step: S,
}

impl<T: Ord, S> PartialEq for Planned<T, S> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl<T: Ord, S> Eq for Planned<T, S> {}

impl<T: Ord, S> PartialOrd for Planned<T, S> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T: Ord, S> Ord for Planned<T, S> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (&self.at, self.number).cmp(&(&other.at, other.number))
    }
}

/// Steps by the time at which they are due.
pub struct Agenda<T, S> {
    steps: BinaryHeap<Reverse<Planned<T, S>>>,
    planned: u64,
}

impl<T: Ord, S> Default for Agenda<T, S> {
    fn default() -> Self {
        Self { steps: BinaryHeap::new(), planned: 0 }
    }
}

impl<T: Ord, S> Agenda<T, S> {
    /// Plans a step.
    pub fn plan(&mut self, at: T, step: S) {
        self.planned += 1;
        self.steps.push(Reverse(Planned { at, number: self.planned, step }));
    }

    /// Takes the next step, and when it is due.
    pub fn take(&mut self) -> Option<(T, S)> {
        self.steps.pop().map(|Reverse(next)| (next.at, next.step))
    }
}

/// Milliseconds, in the order of time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ms(pub f64);

impl Eq for Ms {}

impl PartialOrd for Ms {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Ms {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}
