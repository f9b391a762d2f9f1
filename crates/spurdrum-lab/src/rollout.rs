//! Rollouts in simulated time: the real conductor and the real judge before a fleet with noise, uneven nodes and troubles of its
//! own. How often is a change stopped by mistake, and how far does a bad one come?

use std::collections::BTreeMap;

use spurdrum_rollout::conductor::{
    Action, Event, InconclusivePolicy, Outcome, Phase, RolloutController, Settings, Timer, Verdict,
};
use spurdrum_rollout::judge::{self, CanaryAnalysis};
use spurdrum_rollout::orders::{
    Generation, NodeStatistics, RequestCounts, Status, StepResult, SupervisorRequest,
};
use spurdrum_rollout::version::{ApplyMethod, Change, Hash, Version};
use spurdrum_standin::draw::{exponential, lognormal};
use statrs::distribution::{ContinuousCDF, Normal};

/// What a change does to the nodes that run it. Parts are of all requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Does {
    /// Nothing.
    Nothing,
    /// So many more requests fail.
    Fails(f64),
    /// So many more of one class in two.
    FailsOneClass(f64),
    /// So many more are refused.
    Refuses(f64),
    /// Answers take so many times as long.
    Slows(f64),
    /// Each attempt is made once more for so many of the requests.
    Repeats(f64),
    /// Its process ends after so many seconds, each time.
    Crashes(f64),
    /// So many more fail at *every* node, for each tenth of the fleet that runs it.
    Crowds(f64),
}

/// A fleet and its noise.
#[derive(Clone, Debug)]
pub struct Site {
    /// Nodes, in three zones.
    pub nodes: usize,
    /// Requests a second and node, on average; nodes differ by a lognormal of sigma 0.6.
    pub rate: f64,
    /// Part of the requests that fail at a usual node; nodes differ by a lognormal of sigma 0.4.
    pub fails: f64,
    /// Mean time between troubles that hit one node, a zone, or all, in seconds; 0: none.
    pub troubles: [f64; 3],
    /// Nodes that are changed at once.
    pub at_once: usize,
}

impl Default for Site {
    fn default() -> Self {
        Self { nodes: 100, rate: 20.0, fails: 0.005, troubles: [300.0, 600.0, 1200.0], at_once: 2 }
    }
}

/// How a rollout went.
#[derive(Clone, Debug, PartialEq)]
pub struct Went {
    /// Whether all nodes run the change in the end.
    pub done: bool,
    /// Why not.
    pub why: String,
    /// The largest part of the fleet that ran it.
    pub reached: f64,
    /// Seconds until the decision, or the end.
    pub seconds: f64,
    /// Requests at changed nodes until the decision.
    pub requests: f64,
    /// Requests that ended badly by the change alone, over all.
    pub harmed: f64,
}

const CLASSES: [&str; 2] = ["read", "update"];
/// Answers are told by bounds of this many microseconds each.
const BUCKET_US: u64 = 10_000;
/// Mean time of an answer, in microseconds.
const ANSWER_US: f64 = 40_000.0;
/// A step takes so many seconds.
const STEP_S: u64 = 2;
/// Nothing takes longer than this.
const LONGEST_S: u64 = 2 * 3600;

#[derive(Clone, Debug)]
struct Node {
    zone: usize,
    rate: f64,
    fails: f64,
    answer_us: f64,
    statistics: NodeStatistics,
    status: Status,
    /// When the step that it is at is over.
    until: Option<(u64, SupervisorRequest)>,
    since: u64,
}

struct Played {
    site: Site,
    does: Does,
    nodes: Vec<Node>,
    /// Until when trouble is, and of what part of the requests: by node, by zone, of all.
    by_node: Vec<(u64, f64)>,
    by_zone: [(u64, f64); 3],
    of_all: (u64, f64),
    rng: fastrand::Rng,
    requests: f64,
    harmed: f64,
}

fn version(name: &str) -> Version {
    Version { program: Hash::of(name.as_bytes()), settings: Hash::of(b"") }
}

fn poisson(rng: &mut fastrand::Rng, mean: f64) -> u64 {
    let (least, mut product, mut count) = ((-mean).exp(), rng.f64(), 0);
    while product > least {
        product *= rng.f64();
        count += 1;
    }
    count
}

impl Played {
    fn new(site: &Site, does: Does, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let node = |at: usize, rng: &mut fastrand::Rng| Node {
            zone: at % 3,
            rate: site.rate * lognormal(rng, 0.6),
            fails: site.fails * lognormal(rng, 0.4),
            answer_us: ANSWER_US * lognormal(rng, 0.1),
            statistics: NodeStatistics {
                process: 1,
                listed: 40,
                memory: 50 << 20,
                descriptors: 100,
                ..NodeStatistics::default()
            },
            status: Status {
                name: at.to_string(),
                runs: Some(version("old")),
                good: Some(version("old")),
                ready: true,
                ..Status::default()
            },
            until: None,
            since: 0,
        };
        let nodes: Vec<Node> = (0..site.nodes).map(|at| node(at, &mut rng)).collect();
        Self {
            site: site.clone(),
            does,
            by_node: vec![(0, 0.0); nodes.len()],
            by_zone: Default::default(),
            of_all: (0, 0.0),
            nodes,
            rng,
            requests: 0.0,
            harmed: 0.0,
        }
    }

    fn is_new(&self, at: usize) -> bool {
        self.nodes[at].status.runs == Some(version("new"))
    }

    /// Troubles come and go: seconds of some more failures, at a node, in a zone, everywhere.
    fn trouble(&mut self, now: u64) {
        let rng = &mut self.rng;
        let [node, zone, all] = self.site.troubles;
        let mut comes = |every: f64, longest: f64, most: f64| {
            let comes = every > 0.0 && rng.f64() < 1.0 / every;
            comes.then(|| (now + (longest * (0.3 + 0.7 * rng.f64())) as u64, most * (0.3 + 0.7 * rng.f64())))
        };
        for trouble in &mut self.by_node {
            if let Some(new) = comes(node, 5.0, 0.2) {
                *trouble = new;
            }
        }
        for trouble in &mut self.by_zone {
            if let Some(new) = comes(zone, 30.0, 0.1) {
                *trouble = new;
            }
        }
        if let Some(new) = comes(all, 40.0, 0.15) {
            self.of_all = new;
        }
    }

    /// One second at all nodes.
    fn second(&mut self, now: u64) {
        self.trouble(now);
        let new =
            (0..self.nodes.len()).filter(|at| self.is_new(*at)).count() as f64 / self.nodes.len() as f64;
        for at in 0..self.nodes.len() {
            let is_new = self.is_new(at);
            let of = |(until, part): (u64, f64)| if now < until { part } else { 0.0 };
            let trouble = of(self.by_node[at]) + of(self.by_zone[self.nodes[at].zone]) + of(self.of_all);
            let node = &mut self.nodes[at];
            if let Does::Crashes(after) = self.does {
                if is_new && now > node.since && (now - node.since).is_multiple_of((after as u64).max(1)) {
                    node.status.crashes += 1;
                    node.statistics = NodeStatistics {
                        process: node.statistics.process + 1,
                        ..NodeStatistics {
                            calls: BTreeMap::new(),
                            latencies: BTreeMap::new(),
                            attempts: 0,
                            ..node.statistics.clone()
                        }
                    };
                }
            }
            for (n, class) in CLASSES.iter().enumerate() {
                let count = poisson(&mut self.rng, node.rate / CLASSES.len() as f64);
                let more = match self.does {
                    Does::Fails(part) if is_new => part,
                    Does::FailsOneClass(part) if is_new && n == 0 => part,
                    Does::Crowds(part) => part * 10.0 * new,
                    _ => 0.0,
                };
                let refused = match self.does {
                    Does::Refuses(part) if is_new => part,
                    _ => 0.0,
                };
                let slower = match self.does {
                    Does::Slows(times) if is_new => times,
                    _ => 1.0,
                };
                let calls: &mut RequestCounts = node.statistics.calls.entry((*class).into()).or_default();
                let times = node.statistics.latencies.entry((*class).into()).or_default();
                for _ in 0..count {
                    let draw = self.rng.f64();
                    let own = node.fails + trouble;
                    if draw < own {
                        calls.failure += 1;
                    } else if draw < own + more {
                        calls.failure += 1;
                        self.harmed += 1.0;
                    } else if draw < own + more + refused {
                        calls.busy += 1;
                        self.harmed += 1.0;
                    } else {
                        calls.success += 1;
                    }
                    let took = exponential(&mut self.rng, node.answer_us * slower);
                    let bucket = (took as u64 / BUCKET_US + 1).min(50) as usize;
                    if times.len() < bucket {
                        times.extend((times.len() as u64..bucket as u64).map(|n| ((n + 1) * BUCKET_US, 0)));
                    }
                    times[bucket - 1].1 += 1;
                }
                self.requests += count as f64;
                let again = match self.does {
                    Does::Repeats(part) if is_new => (count as f64 * part).round() as u64,
                    _ => 0,
                };
                node.statistics.attempts += count + again;
            }
        }
    }
}

/// How a rollout goes: one node, a twentieth, a fifth, all; half a minute each at least.
#[must_use]
pub fn play(site: &Site, does: Does, settings: &judge::Settings, seed: u64) -> Went {
    let mut played = Played::new(site, does, seed);
    let zones: Vec<String> = played.nodes.iter().map(|node| format!("z{}", node.zone)).collect();
    let all: Vec<usize> = (0..site.nodes).collect();
    let first = |part: usize| all[..(site.nodes / part).max(1)].to_vec();
    let change = Change { version: version("new"), program: None, settings: None, how: ApplyMethod::Replace };
    let conductor = Settings {
        zones: zones.clone(),
        change,
        stages: vec![first(site.nodes), first(20), first(5), all.clone()],
        max_unavailable: site.at_once,
        max_unavailable_in_rollback: 4 * site.at_once,
        min_available_per_zone: 1,
        max_failed_steps: 0,
        when_inconclusive: InconclusivePolicy::RollBack,
    };
    let mut conductor = RolloutController::new(conductor, Generation { number: 1, controller: 0 });
    let mut judge = CanaryAnalysis::new(settings.clone(), &zones);
    let mut timers: BTreeMap<Timer, u64> = BTreeMap::new();
    let mut went =
        Went { done: false, why: String::new(), reached: 0.0, seconds: 0.0, requests: 0.0, harmed: 0.0 };
    let mut decided = false;
    let mut watched = None;
    let mut events = vec![Event::Start];
    for now in 1..LONGEST_S {
        played.second(now);
        let mut ended = Vec::new();
        for at in 0..played.nodes.len() {
            let node = &mut played.nodes[at];
            if let Some((_, order)) = node.until.take_if(|(until, _)| *until <= now) {
                let SupervisorRequest::ExecuteStep { generation, step, change, back } = order else {
                    continue;
                };
                let reverted = node.status.runs.replace(change.version).filter(|_| back);
                node.status.last =
                    Some(StepResult { generation, step, reverted, failed: None, interrupted: false });
                node.status.busy = None;
                node.since = now;
                // Another process counts from zero.
                node.statistics.process += 1;
                node.statistics.calls.clear();
                node.statistics.latencies.clear();
                node.statistics.attempts = 0;
            }
            ended.push((at, node.status.clone()));
        }
        for (at, status) in ended {
            judge.record_statistics(at, &played.nodes[at].statistics, status.crashes, now as f64);
            events.push(Event::StatusReceived { node: at, status: Box::new(status), polled: true });
        }
        if let Phase::Watching(stage) = conductor.phase() {
            if watched.replace(*stage) != Some(*stage) {
                judge.stage_started();
            }
        }
        let verdict = judge.evaluate();
        if let (Verdict::Fail(why), false) = (&verdict, decided) {
            (decided, went.why) = (true, why.clone());
        }
        events.push(Event::Verdict(verdict));
        timers.retain(|timer, due| {
            let waits = *due > now;
            events.extend((!waits).then_some(Event::Timer(*timer)));
            waits
        });
        events.reverse();
        while let Some(event) = events.pop() {
            let mut actions = Vec::new();
            conductor.handle(event, &mut actions);
            for action in actions {
                match action {
                    Action::Send(at, order) => {
                        let node = &mut played.nodes[at];
                        match order {
                            SupervisorRequest::Claim(generation) => node.status.generation = Some(generation),
                            SupervisorRequest::ExecuteStep { step, .. } => {
                                node.status.busy = Some(step);
                                node.until = Some((now + STEP_S, order));
                            }
                            SupervisorRequest::MarkGood { version, .. } => node.status.good = Some(version),
                            SupervisorRequest::GetStatus => {}
                        }
                    }
                    Action::SetTimer(timer) => drop(timers.insert(timer, now + seconds(timer))),
                    Action::CancelTimer(timer) => drop(timers.remove(&timer)),
                    Action::VersionChanged { node, changed: new } => {
                        judge.version_changed(node, new, now as f64)
                    }
                    Action::Note(_) => {}
                    Action::End(outcome) => {
                        went.done = outcome == Outcome::Completed;
                        if let (Outcome::RolledBack(why, _), true) = (outcome, went.why.is_empty()) {
                            went.why = why;
                        }
                        went.harmed = played.harmed / played.requests.max(1.0);
                        return went;
                    }
                }
            }
        }
        let new = (0..played.nodes.len()).filter(|at| played.is_new(*at)).count();
        went.reached = went.reached.max(new as f64 / played.nodes.len() as f64);
        if !matches!(conductor.phase(), Phase::RollingBack(_)) {
            went.seconds = now as f64;
            went.requests += played
                .nodes
                .iter()
                .filter(|node| node.status.runs == Some(version("new")))
                .map(|node| node.rate)
                .sum::<f64>();
        }
    }
    went.why = "it did not end".into();
    went
}

/// Lengths in seconds.
fn seconds(timer: Timer) -> u64 {
    match timer {
        Timer::ClaimTimeout => 5,
        Timer::Baseline => 60,
        Timer::MinWatch(_) => 30,
        Timer::MaxWatch(_) => 600,
        Timer::FleetDegraded => 120,
        Timer::RollbackTimeout => 600,
    }
}

/// Requests that changed nodes must have ended for a test of fixed size to tell so much more failures from none, with this chance of
/// a mistake and this one of telling it.
#[must_use]
pub fn fixed_size(fails: f64, more: f64, mistake: f64, tells: f64) -> f64 {
    let Ok(normal) = Normal::new(0.0, 1.0) else { return f64::INFINITY };
    let spread = |part: f64| (part * (1.0 - part)).sqrt();
    let sum =
        normal.inverse_cdf(1.0 - mistake) * spread(fails) + normal.inverse_cdf(tells) * spread(fails + more);
    (sum / more).powi(2)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn some(does: Does, count: u64) -> Vec<Went> {
        let site = Site { nodes: 40, ..Site::default() };
        (0..count).map(|seed| play(&site, does, &judge::Settings::default(), seed)).collect()
    }

    /// Few, so that they take seconds: the command counts two thousand.
    #[test]
    fn changes_that_do_nothing_pass_and_bad_ones_are_stopped_early() {
        let good = some(Does::Nothing, 24);
        let stopped: Vec<&Went> = good.iter().filter(|went| !went.done).collect();
        assert!(stopped.len() <= 3, "{stopped:#?}");
        for bad in [
            Does::Fails(0.05),
            Does::Refuses(0.08),
            Does::Slows(1.6),
            Does::Repeats(0.5),
            Does::Crashes(20.0),
        ] {
            let went = some(bad, 6);
            assert!(went.iter().all(|went| !went.done && went.reached <= 0.25), "{bad:?}: {went:#?}");
        }
    }

    #[test]
    fn what_harms_all_alike_is_held_and_taken_back() {
        let went = some(Does::Crowds(0.2), 4);
        assert!(went.iter().all(|went| !went.done && went.why.contains("than before")), "{went:#?}");
    }

    #[test]
    fn a_fixed_size_is_as_books_have_it() {
        // One in two hundred against five: some eight hundred.
        let size = fixed_size(0.005, 0.02, 0.02, 0.95);
        assert!((350.0..1200.0).contains(&size), "{size}");
    }
}
