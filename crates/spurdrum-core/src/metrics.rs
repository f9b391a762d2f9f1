//! Metrics of a node for operators, counted as events happen, so that nothing is scanned when they are read.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use hdrhistogram::Histogram;
use tokio::time::Instant;

/// The maximum number of classes that are counted. Classes that new settings add beyond it are not counted.
const MAX_CLASSES: usize = 1024;

/// Latencies above this, in microseconds, count as this.
const MAX_LATENCY_US: u64 = 60_000_000;
/// The growth factor of the histogram buckets' upper bounds, starting from [`FIRST_US`]: the same at every
/// node, so that counts of nodes can be added.
const STEP: f64 = 1.25;
/// The first upper bound in microseconds; see [`STEP`].
const FIRST_US: u64 = 500;

/// A latency histogram: upper bounds in microseconds, and how many responses took at most that long and
/// longer than the bound before.
pub type LatencyBuckets = Vec<(u64, u64)>;

/// The result of a request, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestResult {
    /// Served.
    Success,
    /// Refused.
    Busy,
    /// Failed.
    Failure,
}

/// The number of requests of a class by result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// Served.
    pub success: u64,
    /// Refused.
    pub busy: u64,
    /// Failed.
    pub failure: u64,
}

/// The counters of one process, which start at zero.
#[derive(Debug, Default)]
pub struct NodeMetrics {
    classes: RefCell<BTreeMap<String, ClassCounts>>,
    attempts: Cell<u64>,
    inflight: Cell<u64>,
    reconfig_ok: Cell<u64>,
    reconfig_failed: Cell<u64>,
    /// Latencies by class, if they are recorded.
    latencies: Option<RefCell<BTreeMap<String, Histogram<u32>>>>,
}

fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

impl NodeMetrics {
    /// Creates metrics that record latencies by class; each class takes about 20 kB.
    #[must_use]
    pub fn with_latencies() -> Self {
        Self { latencies: Some(RefCell::default()), ..Self::default() }
    }

    /// Records the latency of a request of a counted class that arrived at `arrived` and has its response
    /// now.
    pub fn record_latency(&self, class: &str, arrived: Instant) {
        let Some(latencies) = self.latencies.as_ref().filter(|_| self.classes.borrow().contains_key(class))
        else {
            return;
        };
        let mut latencies = latencies.borrow_mut();
        if !latencies.contains_key(class) {
            let Ok(empty) = Histogram::new_with_max(MAX_LATENCY_US, 2) else { return };
            latencies.insert(class.to_owned(), empty);
        }
        if let Some(histogram) = latencies.get_mut(class) {
            histogram
                .saturating_record(u64::try_from(arrived.elapsed().as_micros()).unwrap_or(MAX_LATENCY_US));
        }
    }

    /// Returns the latency histograms by class, if they are recorded.
    pub fn latencies(&self) -> Option<Vec<(String, LatencyBuckets)>> {
        let buckets = |histogram: &Histogram<u32>| {
            let steps = histogram.iter_log(FIRST_US, STEP);
            let steps = steps.map(|step| (step.value_iterated_to(), step.count_since_last_iteration()));
            steps.filter(|(_, count)| *count > 0).collect()
        };
        let latencies = self.latencies.as_ref()?.borrow();
        Some(latencies.iter().map(|(class, histogram)| (class.clone(), buckets(histogram))).collect())
    }

    /// Counts requests of these classes from now on. Classes that are counted already keep their counts.
    pub fn add_classes<'a>(&self, classes: impl IntoIterator<Item = &'a String>) {
        let mut counted = self.classes.borrow_mut();
        for class in classes {
            if counted.len() < MAX_CLASSES && !counted.contains_key(class) {
                counted.insert(class.clone(), ClassCounts::default());
            }
        }
    }

    /// Counts the final result of a request. Requests of unknown classes are not counted: clients could make
    /// up any number of them.
    pub fn record_result(&self, class: &str, result: RequestResult) {
        if let Some(counts) = self.classes.borrow_mut().get_mut(class) {
            *match result {
                RequestResult::Success => &mut counts.success,
                RequestResult::Busy => &mut counts.busy,
                RequestResult::Failure => &mut counts.failure,
            } += 1;
        }
    }

    /// Counts an attempt that was written completely to a server.
    pub fn record_attempt(&self) {
        increment(&self.attempts);
    }

    /// Counts an accepted request as in flight until the returned guard is dropped.
    pub fn start_request(self: &Rc<Self>) -> InflightRequest {
        increment(&self.inflight);
        InflightRequest(Rc::clone(self))
    }

    /// Counts a reload of the settings, which were accepted or rejected.
    pub fn record_reload(&self, accepted: bool) {
        increment(if accepted { &self.reconfig_ok } else { &self.reconfig_failed });
    }

    /// Returns the counters of every class that was ever counted.
    pub fn classes(&self) -> Vec<(String, ClassCounts)> {
        self.classes.borrow().iter().map(|(class, counts)| (class.clone(), *counts)).collect()
    }

    /// Returns the number of attempts that were written completely.
    pub fn attempts(&self) -> u64 {
        self.attempts.get()
    }

    /// Returns the number of accepted requests that have not ended.
    pub fn inflight(&self) -> u64 {
        self.inflight.get()
    }

    /// Returns how many reloads were accepted.
    pub fn reconfig_ok(&self) -> u64 {
        self.reconfig_ok.get()
    }

    /// Returns how many reloads were rejected.
    pub fn reconfig_failed(&self) -> u64 {
        self.reconfig_failed.get()
    }
}

/// Guard of an accepted request that has not ended.
#[derive(Debug)]
pub struct InflightRequest(Rc<NodeMetrics>);

impl Drop for InflightRequest {
    fn drop(&mut self) {
        self.0.inflight.set(self.0.inflight.get() - 1);
    }
}
