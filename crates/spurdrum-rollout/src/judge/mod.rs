//! The canary analysis: compares changed nodes with unchanged ones over the same time, and the whole fleet with
//! the time before the rollout. It has no clock and does no I/O.
//!
//! Each second gives one value for each class and metric: by how much the share of bad requests is higher at
//! changed nodes than at unchanged nodes of the same zones, each relative to the node's own baseline.
//! [`evidence`] accumulates these values into a sequential test of the hypothesis "no worse than allowed", which
//! may be evaluated at any moment. The verdict uses the mean of the tests of all classes and metrics, so that the
//! configured rate of false stops holds for the whole rollout. [`rules`] covers what is not a share of requests:
//! crashes, memory and descriptors.

pub mod evidence;
pub mod rules;

use std::collections::BTreeMap;

use serde::Deserialize;

use crate::conductor::Verdict;
use crate::orders::NodeStatistics;
use evidence::SequentialTest;
use rules::{Crashes, Resources};

/// How much worse than the unchanged nodes, or than before, the changed nodes may do. The `[judge]` table of a plan.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// The share of rollouts that may be stopped by mistake although the version is no worse than allowed.
    pub false_stops: f64,
    /// Number of requests that must have ended at changed nodes in a stage before the stage can pass.
    pub least_requests: u64,
    /// Time in seconds after a change during which the node's statistics are ignored.
    pub settle_s: f64,
    /// Allowed increase of failed requests, as a share of all requests.
    pub failed: f64,
    /// Allowed increase of refused requests, as a share of all requests.
    pub refused: f64,
    /// Allowed increase of requests that take longer than nine in ten took before the rollout, as a share of all
    /// requests.
    pub slow: f64,
    /// Allowed increase of attempts per request.
    pub attempts: f64,
    /// Allowed increase of avoided servers, as a share of the node's list.
    pub down: f64,
    /// Memory and descriptors of a changed node may grow to this multiple of what they were before the change,
    /// plus a fixed allowance.
    pub growth: f64,
    /// The fleet counts as degraded, and the rollout is held, if the share of bad requests is higher than before
    /// by more than this.
    pub trouble: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            false_stops: 0.02,
            least_requests: 200,
            settle_s: 3.0,
            failed: 0.005,
            refused: 0.01,
            slow: 0.03,
            attempts: 0.05,
            down: 0.1,
            growth: 2.0,
            trouble: 0.05,
        }
    }
}

/// Values are clipped to this difference of shares, so that no single second decides.
const CLIP: f64 = 0.1;
/// With fewer requests than this at changed nodes, a second is not compared alone but together with the next one.
const MIN_CHANGED_REQUESTS: f64 = 10.0;
/// The same for the requests at unchanged nodes.
const MIN_UNCHANGED_REQUESTS: f64 = 20.0;
/// A node's baseline share is mixed with that of the fleet, which counts as this many requests (shrinkage).
const FLEET_PRIOR_REQUESTS: f64 = 50.0;
/// Number of the latest seconds over which the fleet is compared with the time before the rollout.
const RECENT_SECONDS: usize = 5;
/// If the share of bad requests over the latest seconds is higher by this much at changed nodes, they fail
/// without further data.
const GROSS_DIFFERENCE: f64 = 0.5;
/// Number of requests that must have ended at changed nodes for a gross difference to count.
const MIN_GROSS_REQUESTS: f64 = 30.0;
/// A stage does not pass while the evidence against the change (an e-value) is at least this, even if it is too
/// weak to fail.
const MAX_E_VALUE_TO_PASS: f64 = 5.0;
/// A changed node that serves a smaller share than this of the requests expected of it counts as serving nobody.
const MIN_SERVED_SHARE: f64 = 0.1;
/// Number of requests that must have been expected of the node before it counts as serving nobody.
const MIN_EXPECTED_REQUESTS: f64 = 50.0;
/// The share of requests before the rollout that take longer than the bound for slow requests.
const SLOW_SHARE: f64 = 0.1;
/// If a node has not reported for this many seconds, its counters are not compared with the earlier ones.
const STALE_S: f64 = 5.0;

/// What is compared between changed and unchanged nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Metric {
    /// Failed requests, as a share of all requests.
    FailedRequests,
    /// Refused requests, as a share of all requests.
    RefusedRequests,
    /// Requests answered more slowly than nine in ten were before the rollout, as a share of all answers.
    SlowAnswers,
    /// Attempts beyond the first, per request.
    AttemptsPerRequest,
    /// Servers that the node avoids, as a share of its list.
    AvoidedServers,
}

impl Metric {
    fn name(self) -> &'static str {
        match self {
            Self::FailedRequests => "failed requests",
            Self::RefusedRequests => "refused requests",
            Self::SlowAnswers => "slow answers",
            Self::AttemptsPerRequest => "attempts a request",
            Self::AvoidedServers => "servers avoided",
        }
    }
}

/// A metric of one class; the class is empty for metrics that are not counted by class.
type Key = (String, Metric);

/// The number of bad ones among all.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Ratio {
    bad: f64,
    total: f64,
}

impl Ratio {
    fn add(&mut self, other: Self) {
        self.bad += other.bad;
        self.total += other.total;
    }

    fn value(self) -> f64 {
        if self.total > 0.0 {
            self.bad / self.total
        } else {
            0.0
        }
    }

    /// Returns the ratio shrunk towards `prior`, which counts as [`FLEET_PRIOR_REQUESTS`].
    fn shrunk(self, prior: f64) -> f64 {
        (self.bad + FLEET_PRIOR_REQUESTS * prior) / (self.total + FLEET_PRIOR_REQUESTS)
    }
}

/// What is known of a node.
#[derive(Clone, Debug, Default)]
struct Node {
    zone: usize,
    /// Whether the node runs the change.
    changed: bool,
    /// When the node last changed its version, in seconds; none if it never did.
    changed_at: Option<f64>,
    statistics: Option<NodeStatistics>,
    last_report: f64,
    crashes: Option<u64>,
    /// Counts since the last evaluation.
    recent: BTreeMap<Key, Ratio>,
    /// Counts of the time before any node was changed.
    baseline: BTreeMap<Key, Ratio>,
    /// Failed and refused requests of all classes in that time.
    baseline_overall: Ratio,
    /// Latency histograms of that time, by class.
    baseline_latencies: BTreeMap<String, BTreeMap<u64, u64>>,
    /// Length of that time in seconds, and its number of requests.
    baseline_s: f64,
    baseline_requests: f64,
    resources: Resources,
    /// Requests since the node was changed and has settled, and the number expected from its baseline.
    requests: f64,
    expected_requests: f64,
}

/// The canary analysis of one rollout.
pub struct CanaryAnalysis {
    settings: Settings,
    nodes: Vec<Node>,
    zones: usize,
    /// For each class, the latency in microseconds above which an answer counts as slow; set when the first node
    /// is changed.
    slow_bounds: BTreeMap<String, u64>,
    /// The fleet's ratios in the time before any node was changed.
    fleet_baseline: BTreeMap<Key, f64>,
    tests: BTreeMap<Key, SequentialTest>,
    crashes: Crashes,
    /// Counts by zone that so far were too few to be compared.
    pending: BTreeMap<Key, Vec<Counts>>,
    /// Bad requests of the whole fleet before any node was changed, and the counts of the latest seconds.
    fleet_overall_baseline: Ratio,
    recent: Vec<Counts>,
    fleet_degraded: bool,
    /// Whether a node has been changed, which ends the baseline of all nodes at once.
    begun: bool,
    /// Requests at changed nodes since the stage started.
    stage_requests: f64,
}

/// Counts at changed and at unchanged nodes of a zone or of the fleet, and the number of bad ones that their
/// baselines predict.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    changed: Ratio,
    changed_predicted: f64,
    unchanged: Ratio,
    unchanged_predicted: f64,
}

impl Counts {
    /// Counts of one node, and the number of bad ones that its baseline predicts.
    fn of_node(changed: bool, ratio: Ratio, predicted: f64) -> Self {
        match changed {
            true => Self { changed: ratio, changed_predicted: predicted, ..Self::default() },
            false => Self { unchanged: ratio, unchanged_predicted: predicted, ..Self::default() },
        }
    }

    fn add(&mut self, other: Self) {
        self.changed.add(other.changed);
        self.unchanged.add(other.unchanged);
        self.changed_predicted += other.changed_predicted;
        self.unchanged_predicted += other.unchanged_predicted;
    }

    /// Returns by how much the ratio at unchanged nodes exceeds the ratio that their baselines predict.
    fn unchanged_excess(self) -> f64 {
        (self.unchanged.bad - self.unchanged_predicted) / self.unchanged.total
    }
}

impl CanaryAnalysis {
    /// Creates the analysis for nodes in these zones, given by node index.
    #[must_use]
    pub fn new(settings: Settings, zones: &[String]) -> Self {
        let mut names: Vec<&String> = zones.iter().collect();
        names.sort();
        names.dedup();
        let index = |zone: &String| names.binary_search(&zone).unwrap_or_default();
        let nodes = zones.iter().map(|zone| Node { zone: index(zone), ..Node::default() }).collect();
        Self {
            settings,
            nodes,
            zones: names.len(),
            slow_bounds: BTreeMap::new(),
            fleet_baseline: BTreeMap::new(),
            tests: BTreeMap::new(),
            crashes: Crashes::default(),
            pending: BTreeMap::new(),
            fleet_overall_baseline: Ratio::default(),
            recent: Vec::new(),
            fleet_degraded: false,
            begun: false,
            stage_requests: 0.0,
        }
    }

    /// Records that a node runs the change from now on, or the old version again.
    pub fn version_changed(&mut self, at: usize, changed: bool, now: f64) {
        if changed && !std::mem::replace(&mut self.begun, true) {
            self.end_baseline();
        }
        let node = &mut self.nodes[at];
        (node.changed, node.changed_at) = (changed, Some(now));
        node.recent.clear();
        (node.requests, node.expected_requests) = (0.0, 0.0);
        node.resources.mark_changed();
    }

    /// Starts counting the requests of a new stage.
    pub fn stage_started(&mut self) {
        self.stage_requests = 0.0;
    }

    /// Ends the baseline: from now on it stays as it is.
    fn end_baseline(&mut self) {
        self.set_slow_bounds();
        let mut fleet: BTreeMap<Key, Ratio> = BTreeMap::new();
        for (key, ratio) in self.nodes.iter().flat_map(|node| &node.baseline) {
            fleet.entry(key.clone()).or_default().add(*ratio);
        }
        self.fleet_baseline = fleet.into_iter().map(|(key, ratio)| (key, ratio.value())).collect();
    }

    /// Sets the latency bound of each class above which an answer counts as slow: nine in ten answers of the
    /// fleet's baseline took no longer. Also computes the share of slow answers in each node's baseline.
    fn set_slow_bounds(&mut self) {
        let mut fleet: BTreeMap<&String, BTreeMap<u64, u64>> = BTreeMap::new();
        for (class, histogram) in self.nodes.iter().flat_map(|node| &node.baseline_latencies) {
            let fleet = fleet.entry(class).or_default();
            histogram.iter().for_each(|(upper, count)| *fleet.entry(*upper).or_default() += count);
        }
        for (class, histogram) in fleet {
            let total: u64 = histogram.values().sum();
            let mut cumulated = 0;
            let bound = histogram.iter().find(|(_, count)| {
                cumulated += **count;
                cumulated as f64 >= (1.0 - SLOW_SHARE) * total as f64
            });
            self.slow_bounds.extend(bound.map(|(bound, _)| (class.clone(), *bound)));
        }
        for node in &mut self.nodes {
            for (class, histogram) in std::mem::take(&mut node.baseline_latencies) {
                let Some(bound) = self.slow_bounds.get(&class) else { continue };
                let ratio = slow_ratio(histogram, *bound);
                node.baseline.insert((class, Metric::SlowAnswers), ratio);
            }
        }
    }

    /// Records the statistics that a node's supervisor reported.
    pub fn record_statistics(&mut self, at: usize, statistics: &NodeStatistics, crashes: u64, now: f64) {
        let settled = self.nodes[at].changed_at.is_none_or(|since| now >= since + self.settings.settle_s);
        let (changed, last_report) = (self.nodes[at].changed, self.nodes[at].last_report);
        let new_crashes =
            self.nodes[at].crashes.replace(crashes).map_or(0, |before| crashes.saturating_sub(before));
        let seconds = (now - last_report).clamp(0.0, STALE_S);
        self.crashes.add(changed, seconds, new_crashes);
        let node = &mut self.nodes[at];
        let previous = node.statistics.replace(statistics.clone());
        node.last_report = now;
        node.resources.record(statistics.memory, statistics.descriptors, changed && settled);
        // The counters of another process, or after a gap in the reports, say nothing about the latest second.
        let Some(previous) =
            previous.filter(|previous| previous.process == statistics.process && seconds < STALE_S)
        else {
            return;
        };
        if !settled {
            return;
        }
        let requests = self.add_differences(at, &previous, statistics);
        let node = &mut self.nodes[at];
        if !self.begun {
            node.baseline_s += seconds;
            node.baseline_requests += requests;
        } else if changed {
            node.requests += requests;
            node.expected_requests += node.baseline_requests / node.baseline_s.max(1.0) * seconds;
            self.stage_requests += requests;
        }
    }

    /// Adds the differences between two reports of the same process. Returns how many requests ended between them.
    fn add_differences(&mut self, at: usize, previous: &NodeStatistics, current: &NodeStatistics) -> f64 {
        let difference = |current: u64, previous: u64| current.saturating_sub(previous) as f64;
        let mut ratios: Vec<(Key, Ratio)> = Vec::new();
        let mut requests = 0.0;
        let mut overall = Ratio::default();
        for (class, current) in &current.calls {
            let previous = previous.calls.get(class).copied().unwrap_or_default();
            let (success, busy, failure) = (
                difference(current.success, previous.success),
                difference(current.busy, previous.busy),
                difference(current.failure, previous.failure),
            );
            let total = success + busy + failure;
            requests += total;
            overall.add(Ratio { bad: busy + failure, total });
            ratios.push(((class.clone(), Metric::FailedRequests), Ratio { bad: failure, total }));
            ratios.push(((class.clone(), Metric::RefusedRequests), Ratio { bad: busy, total }));
        }
        let in_baseline = !self.begun;
        for (class, histogram) in &current.latencies {
            // The binary search relies on the ascending bounds of the histogram.
            let previous = previous.latencies.get(class).map_or(&[][..], Vec::as_slice);
            let previous_count = |upper: u64| {
                previous.binary_search_by_key(&upper, |bucket| bucket.0).map_or(0, |at| previous[at].1)
            };
            let added =
                histogram.iter().map(|(upper, count)| (*upper, count.saturating_sub(previous_count(*upper))));
            match self.slow_bounds.get(class) {
                Some(bound) => ratios.push(((class.clone(), Metric::SlowAnswers), slow_ratio(added, *bound))),
                None if in_baseline => {
                    let baseline = self.nodes[at].baseline_latencies.entry(class.clone()).or_default();
                    added.for_each(|(upper, count)| *baseline.entry(upper).or_default() += count);
                }
                None => {}
            }
        }
        let extra_attempts =
            (difference(current.attempts, previous.attempts) - requests).clamp(0.0, requests);
        ratios.push((
            (String::new(), Metric::AttemptsPerRequest),
            Ratio { bad: extra_attempts, total: requests },
        ));
        let listed = current.listed as f64;
        // Each listed server counts as one request per second, so that zones get comparable weights.
        ratios.push((
            (String::new(), Metric::AvoidedServers),
            Ratio { bad: current.down as f64, total: listed },
        ));
        let node = &mut self.nodes[at];
        let counts = if in_baseline { &mut node.baseline } else { &mut node.recent };
        for (key, ratio) in ratios {
            counts.entry(key).or_default().add(ratio);
        }
        let changed = node.changed;
        if in_baseline {
            node.baseline_overall.add(overall);
            self.fleet_overall_baseline.add(overall);
        }
        let predicted = node.baseline_overall.shrunk(self.fleet_overall_baseline.value()) * overall.total;
        if let Some(last) = self.recent.last_mut() {
            last.add(Counts::of_node(changed, overall, predicted));
        }
        requests
    }

    /// Evaluates the reports of the last second and returns the current verdict.
    pub fn evaluate(&mut self) -> Verdict {
        self.update_tests();
        let fleet_degradation = self.fleet_degradation();
        self.recent.push(Counts::default());
        if self.recent.len() > RECENT_SECONDS {
            self.recent.remove(0);
        }
        if let Some(why) = self.failure() {
            return Verdict::Fail(why);
        }
        if let Some(why) = fleet_degradation {
            return Verdict::FleetDegraded(why);
        }
        // Checks the crashes separately: in the mean, the many other metrics outweigh the crash of a changed
        // node's process, and the stage would pass.
        let doubtful = self.mean_e_value().max(self.crashes.e_value()) >= MAX_E_VALUE_TO_PASS;
        match self.stage_requests >= self.settings.least_requests as f64
            && !doubtful
            && !self.recently_worse()
        {
            true => Verdict::Pass,
            false => Verdict::Inconclusive,
        }
    }

    /// Adds the counts of the last second to the pending counts of each zone and, where these are sufficient, to
    /// the tests.
    fn update_tests(&mut self) {
        let mut keys: Vec<Key> = Vec::new();
        for node in &self.nodes {
            keys.extend(node.recent.keys().cloned());
        }
        keys.sort();
        keys.dedup();
        for key in keys {
            let fleet = self.fleet_baseline.get(&key).copied().unwrap_or(0.0);
            let mut zones = self.pending.remove(&key).unwrap_or_else(|| vec![Counts::default(); self.zones]);
            for node in &mut self.nodes {
                let Some(ratio) = node.recent.remove(&key) else { continue };
                let predicted = node.baseline.get(&key).copied().unwrap_or_default().shrunk(fleet);
                zones[node.zone].add(Counts::of_node(node.changed, ratio, predicted * ratio.total));
            }
            match difference(&zones) {
                Some(value) => {
                    let margin = self.margin(key.1);
                    let test = self.tests.entry(key).or_insert_with(|| SequentialTest::new(margin, CLIP));
                    test.add(value);
                }
                None => {
                    let any_changed = zones.iter().any(|zone| zone.changed.total > 0.0);
                    // Without counts of changed nodes there is nothing to compare, and these counts are dropped.
                    if any_changed {
                        self.pending.insert(key, zones);
                    }
                }
            }
        }
    }

    fn margin(&self, metric: Metric) -> f64 {
        match metric {
            Metric::FailedRequests => self.settings.failed,
            Metric::RefusedRequests => self.settings.refused,
            Metric::SlowAnswers => self.settings.slow,
            Metric::AttemptsPerRequest => self.settings.attempts,
            Metric::AvoidedServers => self.settings.down,
        }
    }

    /// Returns the mean of the e-values of all tests, which is an e-value again even though the metrics depend on
    /// one another.
    fn mean_e_value(&self) -> f64 {
        let all = self.tests.values().map(SequentialTest::e_value).chain([self.crashes.e_value()]);
        let (sum, count) = all.fold((0.0, 0.0), |(sum, count), e_value| (sum + e_value, count + 1.0));
        sum / count
    }

    /// Returns why the changed nodes do worse than allowed, or none.
    fn failure(&self) -> Option<String> {
        if let Some(why) = self.gross_difference() {
            return Some(why);
        }
        if self.mean_e_value() >= 1.0 / self.settings.false_stops {
            let strongest = self.tests.iter().max_by(|a, b| a.1.e_value().total_cmp(&b.1.e_value()));
            let metric = strongest.filter(|(_, test)| test.e_value() >= self.crashes.e_value());
            return Some(match metric {
                Some(((class, metric), test)) => {
                    let class = if class.is_empty() { String::new() } else { format!(" of class {class}") };
                    let mean = 100.0 * test.mean();
                    format!("{}{class}: {mean:.1} points more at changed nodes", metric.name())
                }
                None => self.crashes.to_string(),
            });
        }
        let relative_load = self.relative_load();
        for (at, node) in self.nodes.iter().enumerate().filter(|(_, node)| node.changed) {
            if let Some(what) = node.resources.excessive_growth(self.settings.growth) {
                return Some(format!("node {at}: {what}"));
            }
            if node.expected_requests >= MIN_EXPECTED_REQUESTS
                && node.requests < MIN_SERVED_SHARE * node.expected_requests * relative_load
            {
                let (requests, expected) = (node.requests, node.expected_requests);
                return Some(format!(
                    "node {at} serves nobody: {requests:.0} requests, {expected:.0} expected"
                ));
            }
        }
        None
    }

    /// Returns the fleet's current request rate relative to its baseline, at most 1.
    fn relative_load(&self) -> f64 {
        let baseline: f64 =
            self.nodes.iter().map(|node| node.baseline_requests / node.baseline_s.max(1.0)).sum();
        let recent = self.recent_counts();
        let current = (recent.changed.total + recent.unchanged.total) / self.recent.len().max(1) as f64;
        if baseline > 0.0 {
            (current / baseline).min(1.0)
        } else {
            1.0
        }
    }

    /// Returns the sum of the counts of the latest seconds.
    fn recent_counts(&self) -> Counts {
        let mut sum = Counts::default();
        self.recent.iter().for_each(|second| sum.add(*second));
        sum
    }

    /// Returns by how much the whole fleet does worse than before the rollout, or none. Looks at the unchanged
    /// nodes as long as these have enough requests.
    fn fleet_degradation(&mut self) -> Option<String> {
        let Counts { changed, unchanged, .. } = self.recent_counts();
        let recent = if unchanged.total >= MIN_UNCHANGED_REQUESTS { unchanged } else { changed };
        let increase = recent.value() - self.fleet_overall_baseline.value();
        // Hysteresis: the degradation ends only at half of the bound.
        let bound = if self.fleet_degraded { self.settings.trouble / 2.0 } else { self.settings.trouble };
        let enough = recent.total >= MIN_UNCHANGED_REQUESTS
            && self.fleet_overall_baseline.total >= MIN_UNCHANGED_REQUESTS;
        self.fleet_degraded = enough && increase > bound && self.begun;
        let (current, baseline) = (100.0 * recent.value(), 100.0 * self.fleet_overall_baseline.value());
        self.fleet_degraded.then(|| format!("{current:.1} % refused or failed, {baseline:.1} % before"))
    }

    /// Returns whether the share of bad requests over the latest seconds is higher at changed nodes than at the
    /// others, each relative to its baseline, by more than the bound for a degraded fleet. Without this, a stage
    /// could pass while its nodes plainly do worse, because the tests have too little data yet.
    fn recently_worse(&self) -> bool {
        difference(&[self.recent_counts()]).is_some_and(|difference| difference > self.settings.trouble)
    }

    /// Returns a difference between changed and unchanged nodes that is so large that no sequential test is
    /// needed, or none.
    fn gross_difference(&self) -> Option<String> {
        let Counts { changed, unchanged, .. } = self.recent_counts();
        let gross = changed.total >= MIN_GROSS_REQUESTS
            && unchanged.total >= MIN_UNCHANGED_REQUESTS
            && changed.value() - unchanged.value() >= GROSS_DIFFERENCE;
        let (at_changed, at_others) = (100.0 * changed.value(), 100.0 * unchanged.value());
        gross.then(|| {
            format!("{at_changed:.0} % refused or failed at changed nodes, {at_others:.0} % at the others")
        })
    }

    /// Requests at changed nodes since the stage started.
    #[must_use]
    pub fn requests_at_changed_nodes(&self) -> u64 {
        self.stage_requests as u64
    }
}

/// Returns the share of answers in a latency histogram that took longer than the bound.
fn slow_ratio(histogram: impl IntoIterator<Item = (u64, u64)>, bound: u64) -> Ratio {
    let mut ratio = Ratio::default();
    for (upper, count) in histogram {
        let bad = if upper > bound { count as f64 } else { 0.0 };
        ratio.add(Ratio { bad, total: count as f64 });
    }
    ratio
}

/// Returns by how much the share of bad requests is higher at changed nodes than at unchanged ones of the same
/// zone, each relative to its baseline. A zone with too few requests at unchanged nodes is compared with the
/// unchanged nodes of all zones. Returns none if there are too few requests overall.
fn difference(zones: &[Counts]) -> Option<f64> {
    let mut all = Counts::default();
    zones.iter().for_each(|zone| all.add(*zone));
    if all.changed.total < MIN_CHANGED_REQUESTS || all.unchanged.total < MIN_UNCHANGED_REQUESTS {
        return None;
    }
    let excess_of_zone = |zone: &Counts| {
        let unchanged_excess = if zone.unchanged.total >= MIN_UNCHANGED_REQUESTS {
            zone.unchanged_excess()
        } else {
            all.unchanged_excess()
        };
        (zone.changed.bad - zone.changed_predicted) - unchanged_excess * zone.changed.total
    };
    Some(zones.iter().map(excess_of_zone).sum::<f64>() / all.changed.total)
}
