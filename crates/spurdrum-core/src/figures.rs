//! What operators see of a node: counted as it happens, so that nothing is scanned when they ask.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use hdrhistogram::Histogram;
use tokio::time::Instant;

/// Classes that are counted: those of new settings beyond so many are not.
const CLASSES_MOST: usize = 1024;

/// Answers that take longer count as this long, in microseconds.
const LONGEST_US: u64 = 60_000_000;
/// Histograms have bounds that grow by this, from [`FIRST_US`] on: the same at every node, so that counts can be added.
const STEP: f64 = 1.25;
/// See [`STEP`].
const FIRST_US: u64 = 500;

/// Answers by their time: upper bounds in microseconds, and how many were at most that long and longer than the bound before.
pub type LatencyBuckets = Vec<(u64, u64)>;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestResult {
    /// Served.
    Success,
    /// Refused.
    Busy,
    /// Failed.
    Failure,
}

/// Requests of a class by their ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// Served.
    pub success: u64,
    /// Refused.
    pub busy: u64,
    /// Failed.
    pub failure: u64,
}

/// The counts of one process, from zero at its start.
#[derive(Debug, Default)]
pub struct NodeMetrics {
    classes: RefCell<BTreeMap<String, ClassCounts>>,
    attempts: Cell<u64>,
    inflight: Cell<u64>,
    reconfig_ok: Cell<u64>,
    reconfig_failed: Cell<u64>,
    /// How long answers took, where that is kept.
    latencies: Option<RefCell<BTreeMap<String, Histogram<u32>>>>,
}

fn add(to: &Cell<u64>) {
    to.set(to.get() + 1);
}

impl NodeMetrics {
    /// With how long answers took, by class: some 20 kB each.
    #[must_use]
    pub fn with_latencies() -> Self {
        Self { latencies: Some(RefCell::default()), ..Self::default() }
    }

    /// A request of a class that is counted, which came then, has its answer.
    pub fn record_latency(&self, class: &str, came: Instant) {
        let Some(latencies) = self.latencies.as_ref().filter(|_| self.classes.borrow().contains_key(class))
        else {
            return;
        };
        let mut latencies = latencies.borrow_mut();
        if !latencies.contains_key(class) {
            let Ok(empty) = Histogram::new_with_max(LONGEST_US, 2) else { return };
            latencies.insert(class.to_owned(), empty);
        }
        if let Some(histogram) = latencies.get_mut(class) {
            histogram.saturating_record(u64::try_from(came.elapsed().as_micros()).unwrap_or(LONGEST_US));
        }
    }

    /// How long answers took, by class, where that is kept.
    pub fn latencies(&self) -> Option<Vec<(String, LatencyBuckets)>> {
        let shown = |histogram: &Histogram<u32>| {
            let steps = histogram.iter_log(FIRST_US, STEP);
            let steps = steps.map(|step| (step.value_iterated_to(), step.count_since_last_iteration()));
            steps.filter(|(_, count)| *count > 0).collect()
        };
        let latencies = self.latencies.as_ref()?.borrow();
        Some(latencies.iter().map(|(class, histogram)| (class.clone(), shown(histogram))).collect())
    }

    /// Requests of these classes are counted from now on. Those that were counted keep their counts.
    pub fn add_classes<'a>(&self, classes: impl IntoIterator<Item = &'a String>) {
        let mut counted = self.classes.borrow_mut();
        for class in classes {
            if counted.len() < CLASSES_MOST && !counted.contains_key(class) {
                counted.insert(class.clone(), ClassCounts::default());
            }
        }
    }

    /// A request has had its final answer. One of an unknown class is not counted: clients could make up any number.
    pub fn record_result(&self, class: &str, fate: RequestResult) {
        if let Some(counts) = self.classes.borrow_mut().get_mut(class) {
            *match fate {
                RequestResult::Success => &mut counts.success,
                RequestResult::Busy => &mut counts.busy,
                RequestResult::Failure => &mut counts.failure,
            } += 1;
        }
    }

    /// An attempt has been written whole to a server.
    pub fn record_attempt(&self) {
        add(&self.attempts);
    }

    /// A request has been taken: it counts as open until what this gives is dropped.
    pub fn start_request(self: &Rc<Self>) -> InflightRequest {
        add(&self.inflight);
        InflightRequest(Rc::clone(self))
    }

    /// Settings have been read again, and hold or were turned down.
    pub fn record_reload(&self, taken: bool) {
        add(if taken { &self.reconfig_ok } else { &self.reconfig_failed });
    }

    /// Every class that was ever counted.
    pub fn classes(&self) -> Vec<(String, ClassCounts)> {
        self.classes.borrow().iter().map(|(class, counts)| (class.clone(), *counts)).collect()
    }

    /// Attempts that were written whole.
    pub fn attempts(&self) -> u64 {
        self.attempts.get()
    }

    /// Requests that were taken and have not ended.
    pub fn inflight(&self) -> u64 {
        self.inflight.get()
    }

    /// Settings that were taken.
    pub fn reconfig_ok(&self) -> u64 {
        self.reconfig_ok.get()
    }

    /// Settings that were turned down.
    pub fn reconfig_failed(&self) -> u64 {
        self.reconfig_failed.get()
    }
}

/// A request that has been taken and has not ended.
#[derive(Debug)]
pub struct InflightRequest(Rc<NodeMetrics>);

impl Drop for InflightRequest {
    fn drop(&mut self) {
        self.0.inflight.set(self.0.inflight.get() - 1);
    }
}
