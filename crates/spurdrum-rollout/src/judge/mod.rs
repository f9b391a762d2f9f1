//! New nodes beside old ones in the same time, and all of them beside the time before. No clock, no I/O.
//!
//! Each second gives one value for each class and measure: how much more often requests end badly at new nodes than at old
//! ones of their zones, each node beside what it did itself before. [`evidence`] gathers what these values say against "no
//! worse than allowed" so that it may be looked at at any moment; the mean over all classes and measures counts, so the stated
//! part of false stops is that of the whole rollout. What cannot be told by parts of requests is told by [`rules`].

pub mod evidence;
pub mod rules;

use std::collections::BTreeMap;

use serde::Deserialize;

use crate::conductor::Verdict;
use crate::orders::NodeStatistics;
use evidence::SequentialTest;
use rules::{Crashes, Resources};

/// What is compared, and how much worse is too much.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Rollouts of a version that is no worse than allowed that may be stopped by mistake, as a part.
    pub false_stops: f64,
    /// Requests that changed nodes must have ended in a stage before it is fine.
    pub least_requests: u64,
    /// A node that was changed is not looked at for so long, in seconds.
    pub settle_s: f64,
    /// Failed requests may be more by this part of all.
    pub failed: f64,
    /// Refused ones.
    pub refused: f64,
    /// Those that take longer than nine in ten took before.
    pub slow: f64,
    /// Attempts a request.
    pub attempts: f64,
    /// Servers that are avoided, as a part of the list.
    pub down: f64,
    /// Memory and descriptors may grow to so many times what they were before the change, and some more.
    pub growth: f64,
    /// All nodes do worse than before by this part of all requests: the rollout is held.
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

/// Values beyond this part count as this part: no single second decides.
const CLIP: f64 = 0.1;
/// Fewer requests in a second, at new nodes or at old ones, wait for the next one.
const FEW_NEW: f64 = 10.0;
/// See [`FEW_NEW`].
const FEW_OLD: f64 = 20.0;
/// Requests that a node's own past counts as, of the fleet's.
const SHRINK: f64 = 50.0;
/// Seconds over which all are compared with the time before.
const RECENT: usize = 5;
/// Requests at changed nodes end badly more often by so much over these seconds: no more need be seen.
const GROSS: f64 = 0.5;
/// Requests that must have ended there before that is said.
const GROSS_LEAST: f64 = 30.0;
/// What gathers above this, short of a verdict, keeps a stage from being fine.
const DOUBT: f64 = 5.0;
/// A new node that does so small a part of what is expected of it, serves nobody.
const NOBODY: f64 = 0.1;
/// Requests that must have been expected before that is said.
const EXPECTED: f64 = 50.0;
/// The part of the requests that takes longer than the bound that slow ones are told by, before.
const SLOW_PART: f64 = 0.1;
/// Seconds without a word of a node after which its counts are not compared.
const STALE: f64 = 5.0;

/// What a part is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Metric {
    /// Failed.
    FailedRequests,
    /// Refused.
    RefusedRequests,
    /// Served, but slowly.
    SlowAnswers,
    /// Attempts beyond one a request.
    AttemptsPerRequest,
    /// Servers avoided.
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

/// Of a class, or of all.
type Key = (String, Metric);

/// So many of so many.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Part {
    bad: f64,
    all: f64,
}

impl Part {
    fn add(&mut self, other: Self) {
        self.bad += other.bad;
        self.all += other.all;
    }

    fn rate(self) -> f64 {
        if self.all > 0.0 {
            self.bad / self.all
        } else {
            0.0
        }
    }

    /// The rate, with so much of another one mixed in.
    fn shrunk(self, to: f64) -> f64 {
        (self.bad + SHRINK * to) / (self.all + SHRINK)
    }
}

/// What a node counted, as it was last told.
#[derive(Clone, Debug, Default)]
struct Node {
    zone: usize,
    new: bool,
    /// When it was last changed, in seconds; none: never.
    since: Option<f64>,
    statistics: Option<NodeStatistics>,
    heard: f64,
    crashes: Option<u64>,
    /// What came since the last second that was looked at.
    fresh: BTreeMap<Key, Part>,
    /// What it did before any was changed.
    before: BTreeMap<Key, Part>,
    /// How many of all its requests ended badly then.
    before_overall: Part,
    /// Answers by time, then, by class.
    times: BTreeMap<String, BTreeMap<u64, u64>>,
    /// Seconds of that, and requests.
    before_s: f64,
    before_requests: f64,
    resources: Resources,
    /// Requests since it was changed and settled, and how many were expected.
    requests: f64,
    expected: f64,
}

/// The judge of one rollout.
pub struct CanaryAnalysis {
    settings: Settings,
    nodes: Vec<Node>,
    zones: usize,
    /// Bounds in microseconds that slow answers are told by, by class; once there is a first node that is changed.
    slow: BTreeMap<String, u64>,
    /// What was usual for all together, before.
    usual: BTreeMap<Key, f64>,
    evidence: BTreeMap<Key, SequentialTest>,
    crashes: Crashes,
    /// Sums that were too few to be compared, by zone: new, old, and what both would have done by their past.
    waiting: BTreeMap<Key, Vec<Sums>>,
    /// Of all, before; and the last seconds.
    all_before: Part,
    recent: Vec<Sums>,
    troubled: bool,
    /// A node was changed: what came until then is the time before, for all of them alike.
    begun: bool,
    /// Requests at changed nodes since the stage was watched.
    seen: f64,
}

/// What new and old nodes did, and how much of it would have ended badly by their past: of one zone, or of all.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    new: Part,
    new_before: f64,
    old: Part,
    old_before: f64,
}

impl Sums {
    /// One node's part, and how much of it would have ended badly by its past.
    fn of_node(new: bool, part: Part, past: f64) -> Self {
        match new {
            true => Self { new: part, new_before: past, ..Self::default() },
            false => Self { old: part, old_before: past, ..Self::default() },
        }
    }

    fn add(&mut self, other: Self) {
        self.new.add(other.new);
        self.old.add(other.old);
        self.new_before += other.new_before;
        self.old_before += other.old_before;
    }

    /// How much more often than by their past requests end badly at old nodes.
    fn old_more(self) -> f64 {
        (self.old.bad - self.old_before) / self.old.all
    }
}

impl CanaryAnalysis {
    /// For nodes in these zones.
    #[must_use]
    pub fn new(settings: Settings, zones: &[String]) -> Self {
        let mut names: Vec<&String> = zones.iter().collect();
        names.sort();
        names.dedup();
        let place = |zone: &String| names.binary_search(&zone).unwrap_or_default();
        let nodes = zones.iter().map(|zone| Node { zone: place(zone), ..Node::default() }).collect();
        Self {
            settings,
            nodes,
            zones: names.len(),
            slow: BTreeMap::new(),
            usual: BTreeMap::new(),
            evidence: BTreeMap::new(),
            crashes: Crashes::default(),
            waiting: BTreeMap::new(),
            all_before: Part::default(),
            recent: Vec::new(),
            troubled: false,
            begun: false,
            seen: 0.0,
        }
    }

    /// From now on this node runs the change, or the old version again.
    pub fn version_changed(&mut self, at: usize, new: bool, now: f64) {
        if new && !std::mem::replace(&mut self.begun, true) {
            self.end_of_before();
        }
        let node = &mut self.nodes[at];
        (node.new, node.since) = (new, Some(now));
        node.fresh.clear();
        (node.requests, node.expected) = (0.0, 0.0);
        node.resources.mark_changed();
    }

    /// A stage is watched from now on.
    pub fn stage_started(&mut self) {
        self.seen = 0.0;
    }

    /// The time before is over: what was usual then stands.
    fn end_of_before(&mut self) {
        self.bound_slow();
        let mut usual: BTreeMap<Key, Part> = BTreeMap::new();
        for (key, part) in self.nodes.iter().flat_map(|node| &node.before) {
            usual.entry(key.clone()).or_default().add(*part);
        }
        self.usual = usual.into_iter().map(|(key, part)| (key, part.rate())).collect();
    }

    /// The bounds that slow answers are told by: nine in ten of all took no longer. And how many were slow at each node.
    fn bound_slow(&mut self) {
        let mut all: BTreeMap<&String, BTreeMap<u64, u64>> = BTreeMap::new();
        for (class, times) in self.nodes.iter().flat_map(|node| &node.times) {
            let all = all.entry(class).or_default();
            times.iter().for_each(|(upper, count)| *all.entry(*upper).or_default() += count);
        }
        for (class, times) in all {
            let count: u64 = times.values().sum();
            let mut sum = 0;
            let bound = times.iter().find(|(_, more)| {
                sum += **more;
                sum as f64 >= (1.0 - SLOW_PART) * count as f64
            });
            self.slow.extend(bound.map(|(bound, _)| (class.clone(), *bound)));
        }
        for node in &mut self.nodes {
            for (class, times) in std::mem::take(&mut node.times) {
                let Some(bound) = self.slow.get(&class) else { continue };
                let part = slow_part(times, *bound);
                node.before.insert((class, Metric::SlowAnswers), part);
            }
        }
    }

    /// What a node's keeper told of it.
    pub fn record_statistics(&mut self, at: usize, statistics: &NodeStatistics, crashes: u64, now: f64) {
        let settled = self.nodes[at].since.is_none_or(|since| now >= since + self.settings.settle_s);
        let (new, heard) = (self.nodes[at].new, self.nodes[at].heard);
        let fell = self.nodes[at].crashes.replace(crashes).map_or(0, |before| crashes.saturating_sub(before));
        let seconds = (now - heard).clamp(0.0, STALE);
        self.crashes.add(new, seconds, fell);
        let node = &mut self.nodes[at];
        let was = node.statistics.replace(statistics.clone());
        node.heard = now;
        node.resources.record(statistics.memory, statistics.descriptors, new && settled);
        // Counts of another process, or of a node that was not heard of, tell nothing of this second.
        let Some(was) = was.filter(|was| was.process == statistics.process && seconds < STALE) else {
            return;
        };
        if !settled {
            return;
        }
        let requests = self.differences(at, &was, statistics);
        let node = &mut self.nodes[at];
        if !self.begun {
            node.before_s += seconds;
            node.before_requests += requests;
        } else if new {
            node.requests += requests;
            node.expected += node.before_requests / node.before_s.max(1.0) * seconds;
            self.seen += requests;
        }
    }

    /// Adds what came between two tellings of one process. How many requests ended.
    fn differences(&mut self, at: usize, was: &NodeStatistics, is: &NodeStatistics) -> f64 {
        let more = |is: u64, was: u64| is.saturating_sub(was) as f64;
        let mut found: Vec<(Key, Part)> = Vec::new();
        let mut requests = 0.0;
        let mut overall = Part::default();
        for (class, is) in &is.calls {
            let was = was.calls.get(class).copied().unwrap_or_default();
            let (success, busy, failure) =
                (more(is.success, was.success), more(is.busy, was.busy), more(is.failure, was.failure));
            let all = success + busy + failure;
            requests += all;
            overall.add(Part { bad: busy + failure, all });
            found.push(((class.clone(), Metric::FailedRequests), Part { bad: failure, all }));
            found.push(((class.clone(), Metric::RefusedRequests), Part { bad: busy, all }));
        }
        let before = !self.begun;
        for (class, steps) in &is.latencies {
            // Bounds rise.
            let was = was.latencies.get(class).map_or(&[][..], Vec::as_slice);
            let counted =
                |upper: u64| was.binary_search_by_key(&upper, |step| step.0).map_or(0, |at| was[at].1);
            let more = steps.iter().map(|(upper, count)| (*upper, count.saturating_sub(counted(*upper))));
            match self.slow.get(class) {
                Some(bound) => found.push(((class.clone(), Metric::SlowAnswers), slow_part(more, *bound))),
                None if before => {
                    let times = self.nodes[at].times.entry(class.clone()).or_default();
                    more.for_each(|(upper, count)| *times.entry(upper).or_default() += count);
                }
                None => {}
            }
        }
        let extra = (more(is.attempts, was.attempts) - requests).clamp(0.0, requests);
        found.push(((String::new(), Metric::AttemptsPerRequest), Part { bad: extra, all: requests }));
        let listed = is.listed as f64;
        // A node's list counts as one request a second and server, so that zones are weighed alike.
        found.push(((String::new(), Metric::AvoidedServers), Part { bad: is.down as f64, all: listed }));
        let node = &mut self.nodes[at];
        let of_node = if before { &mut node.before } else { &mut node.fresh };
        for (key, part) in found {
            of_node.entry(key).or_default().add(part);
        }
        let new = node.new;
        if before {
            node.before_overall.add(overall);
            self.all_before.add(overall);
        }
        let past = node.before_overall.shrunk(self.all_before.rate()) * overall.all;
        if let Some(last) = self.recent.last_mut() {
            last.add(Sums::of_node(new, overall, past));
        }
        requests
    }

    /// Looks at what came in the last second. What can be said now.
    pub fn evaluate(&mut self) -> Verdict {
        self.compare();
        let trouble = self.trouble();
        self.recent.push(Sums::default());
        if self.recent.len() > RECENT {
            self.recent.remove(0);
        }
        if let Some(why) = self.worse() {
            return Verdict::Fail(why);
        }
        if let Some(why) = trouble {
            return Verdict::FleetDegraded(why);
        }
        // Guards against a changed node whose process has ended and that the many other measures outweigh in the mean.
        let doubt = self.evidence_mean().max(self.crashes.e_value()) >= DOUBT;
        match self.seen >= self.settings.least_requests as f64 && !doubt && !self.looks_worse() {
            true => Verdict::Pass,
            false => Verdict::Inconclusive,
        }
    }

    /// What each node did in the last second goes to the sums of its zone, and where they are enough, to the evidence.
    fn compare(&mut self) {
        let mut keys: Vec<Key> = Vec::new();
        for node in &self.nodes {
            keys.extend(node.fresh.keys().cloned());
        }
        keys.sort();
        keys.dedup();
        for key in keys {
            let usual = self.usual.get(&key).copied().unwrap_or(0.0);
            let mut sums = self.waiting.remove(&key).unwrap_or_else(|| vec![Sums::default(); self.zones]);
            for node in &mut self.nodes {
                let Some(part) = node.fresh.remove(&key) else { continue };
                let past = node.before.get(&key).copied().unwrap_or_default().shrunk(usual);
                sums[node.zone].add(Sums::of_node(node.new, part, past * part.all));
            }
            match difference(&sums) {
                Some(value) => {
                    let margin = self.margin(key.1);
                    let evidence =
                        self.evidence.entry(key).or_insert_with(|| SequentialTest::new(margin, CLIP));
                    evidence.add(value);
                }
                None => {
                    let any_new = sums.iter().any(|sum| sum.new.all > 0.0);
                    // Old nodes alone have nothing to be compared with.
                    if any_new {
                        self.waiting.insert(key, sums);
                    }
                }
            }
        }
    }

    fn margin(&self, measure: Metric) -> f64 {
        match measure {
            Metric::FailedRequests => self.settings.failed,
            Metric::RefusedRequests => self.settings.refused,
            Metric::SlowAnswers => self.settings.slow,
            Metric::AttemptsPerRequest => self.settings.attempts,
            Metric::AvoidedServers => self.settings.down,
        }
    }

    /// The mean of all evidence: evidence of its own, however the parts hang together.
    fn evidence_mean(&self) -> f64 {
        let all = self.evidence.values().map(SequentialTest::e_value).chain([self.crashes.e_value()]);
        let (sum, count) = all.fold((0.0, 0.0), |(sum, count), e_value| (sum + e_value, count + 1.0));
        sum / count
    }

    fn worse(&self) -> Option<String> {
        if let Some(why) = self.gross() {
            return Some(why);
        }
        if self.evidence_mean() >= 1.0 / self.settings.false_stops {
            let most = self.evidence.iter().max_by(|a, b| a.1.e_value().total_cmp(&b.1.e_value()));
            let of = most.filter(|(_, evidence)| evidence.e_value() >= self.crashes.e_value());
            return Some(match of {
                Some(((class, measure), evidence)) => {
                    let class = if class.is_empty() { String::new() } else { format!(" of class {class}") };
                    let mean = 100.0 * evidence.mean();
                    format!("{}{class}: {mean:.1} points more at changed nodes", measure.name())
                }
                None => self.crashes.to_string(),
            });
        }
        let load = self.load();
        for (at, node) in self.nodes.iter().enumerate().filter(|(_, node)| node.new) {
            if let Some(what) = node.resources.excessive_growth(self.settings.growth) {
                return Some(format!("node {at}: {what}"));
            }
            if node.expected >= EXPECTED && node.requests < NOBODY * node.expected * load {
                let (requests, expected) = (node.requests, node.expected);
                return Some(format!(
                    "node {at} serves nobody: {requests:.0} requests, {expected:.0} expected"
                ));
            }
        }
        None
    }

    /// What all have to do now, beside before.
    fn load(&self) -> f64 {
        let before: f64 = self.nodes.iter().map(|node| node.before_requests / node.before_s.max(1.0)).sum();
        let lately = self.lately();
        let now = (lately.new.all + lately.old.all) / self.recent.len().max(1) as f64;
        if before > 0.0 {
            (now / before).min(1.0)
        } else {
            1.0
        }
    }

    /// What ended in the last seconds, at changed nodes and at the others.
    fn lately(&self) -> Sums {
        let mut all = Sums::default();
        self.recent.iter().for_each(|second| all.add(*second));
        all
    }

    /// Whether all do worse than before, and by what: those that were not changed, while there are any.
    fn trouble(&mut self) -> Option<String> {
        let Sums { new, old, .. } = self.lately();
        let recent = if old.all >= FEW_OLD { old } else { new };
        let more = recent.rate() - self.all_before.rate();
        let bound = if self.troubled { self.settings.trouble / 2.0 } else { self.settings.trouble };
        let enough = recent.all >= FEW_OLD && self.all_before.all >= FEW_OLD;
        self.troubled = enough && more > bound && self.begun;
        let (is, was) = (100.0 * recent.rate(), 100.0 * self.all_before.rate());
        self.troubled.then(|| format!("{is:.1} % refused or failed, {was:.1} % before"))
    }

    /// Whether more of the last requests ended badly at changed nodes than at the others, each beside its past, by as much as holds
    /// a rollout.
    /// Guards against a stage that is fine because little has been gathered yet.
    fn looks_worse(&self) -> bool {
        difference(&[self.lately()]).is_some_and(|more| more > self.settings.trouble)
    }

    /// What need not be gathered any longer.
    fn gross(&self) -> Option<String> {
        let Sums { new, old, .. } = self.lately();
        let seen = new.all >= GROSS_LEAST && old.all >= FEW_OLD && new.rate() - old.rate() >= GROSS;
        let (is, was) = (100.0 * new.rate(), 100.0 * old.rate());
        seen.then(|| format!("{is:.0} % refused or failed at changed nodes, {was:.0} % at the others"))
    }

    /// Requests at changed nodes since the stage was watched.
    #[must_use]
    pub fn requests_at_changed_nodes(&self) -> u64 {
        self.seen as u64
    }
}

/// Of these answers by time, those that took longer than the bound.
fn slow_part(times: impl IntoIterator<Item = (u64, u64)>, bound: u64) -> Part {
    let mut part = Part::default();
    for (upper, count) in times {
        let bad = if upper > bound { count as f64 } else { 0.0 };
        part.add(Part { bad, all: count as f64 });
    }
    part
}

/// How much more often requests end badly at new nodes than at old ones of their zones, beyond what either did before. A zone
/// with too few old ones is compared with all old ones; none where there are too few at all.
fn difference(sums: &[Sums]) -> Option<f64> {
    let mut all = Sums::default();
    sums.iter().for_each(|sum| all.add(*sum));
    if all.new.all < FEW_NEW || all.old.all < FEW_OLD {
        return None;
    }
    let of_zone = |sum: &Sums| {
        let old = if sum.old.all >= FEW_OLD { sum.old_more() } else { all.old_more() };
        (sum.new.bad - sum.new_before) - old * sum.new.all
    };
    Some(sums.iter().map(of_zone).sum::<f64>() / all.new.all)
}
