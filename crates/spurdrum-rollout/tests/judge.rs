//! Tests of the canary analysis with simulated statistics.

use std::collections::BTreeMap;

use spurdrum_rollout::conductor::Verdict;
use spurdrum_rollout::judge::{CanaryAnalysis, Settings};
use spurdrum_rollout::orders::{NodeStatistics, RequestCounts};

/// The analysis and the counters of a simulated fleet.
struct Fleet {
    analysis: CanaryAnalysis,
    statistics: Vec<NodeStatistics>,
    crashes: Vec<u64>,
    now: f64,
}

/// Requests that end at a node in one second: served, refused, failed.
type Second = (u64, u64, u64);

impl Fleet {
    fn new(nodes: usize) -> Self {
        let zones: Vec<String> = (0..nodes).map(|n| format!("z{}", n % 2)).collect();
        let statistics =
            NodeStatistics { process: 1, listed: 10, memory: 40 << 20, ..NodeStatistics::default() };
        Self {
            analysis: CanaryAnalysis::new(Settings::default(), &zones),
            statistics: vec![statistics; nodes],
            crashes: vec![0; nodes],
            now: 0.0,
        }
    }

    /// Simulates this many seconds, in which each node ends the given requests. Stops at a failed verdict.
    /// Returns the last verdict and the number of seconds simulated.
    fn seconds(&mut self, count: usize, requests_at: impl Fn(usize) -> Second) -> (Verdict, usize) {
        let mut verdict = Verdict::Inconclusive;
        for second in 1..=count {
            self.now += 1.0;
            for at in 0..self.statistics.len() {
                let (success, busy, failure) = requests_at(at);
                let calls: &mut RequestCounts = self.statistics[at].calls.entry("update".into()).or_default();
                calls.success += success;
                calls.busy += busy;
                calls.failure += failure;
                self.statistics[at].attempts += success + failure;
                self.analysis.record_statistics(at, &self.statistics[at], self.crashes[at], self.now);
            }
            verdict = self.analysis.evaluate();
            if matches!(verdict, Verdict::Fail(_)) {
                return (verdict, second);
            }
        }
        (verdict, count)
    }

    /// Simulates this many seconds, in which each node answers 30 requests, the given number of them slowly.
    fn answers(&mut self, count: usize, slow_at: impl Fn(usize) -> u64) -> Verdict {
        let mut verdict = Verdict::Inconclusive;
        for _ in 0..count {
            for at in 0..self.statistics.len() {
                let histogram = self.statistics[at].latencies.entry("update".into());
                let histogram = histogram.or_insert_with(|| vec![(10_000, 0), (20_000, 0)]);
                histogram[0].1 += 30 - slow_at(at);
                histogram[1].1 += slow_at(at);
            }
            (verdict, _) = self.seconds(1, |_| ALL_SERVED);
            if matches!(verdict, Verdict::Fail(_)) {
                break;
            }
        }
        verdict
    }

    fn change(&mut self, at: usize) {
        self.analysis.version_changed(at, true, self.now);
        self.statistics[at].process += 1;
        self.statistics[at].calls = BTreeMap::new();
        self.statistics[at].latencies = BTreeMap::new();
        self.statistics[at].attempts = 0;
    }
}

const ALL_SERVED: Second = (30, 0, 0);

#[test]
fn nodes_that_do_as_before_pass_once_there_are_enough_requests() {
    let mut fleet = Fleet::new(10);
    assert_eq!(fleet.seconds(20, |_| ALL_SERVED).0, Verdict::Inconclusive, "no node is changed");
    fleet.change(0);
    fleet.analysis.stage_started();
    assert_eq!(fleet.seconds(8, |_| ALL_SERVED).0, Verdict::Inconclusive, "few requests give no verdict");
    assert_eq!(fleet.seconds(5, |_| ALL_SERVED).0, Verdict::Pass);
}

#[test]
fn a_node_that_always_did_worse_does_not_count_against_the_change() {
    let mut fleet = Fleet::new(10);
    let uneven = |at: usize| if at == 0 { (26, 1, 3) } else { ALL_SERVED };
    fleet.seconds(60, uneven);
    fleet.change(0);
    fleet.analysis.stage_started();
    assert_eq!(fleet.seconds(200, uneven).0, Verdict::Pass);
    // Doing worse than its own baseline does count.
    let (verdict, _) = fleet.seconds(200, |at| if at == 0 { (22, 1, 7) } else { ALL_SERVED });
    assert!(
        matches!(&verdict, Verdict::Fail(why) if why.starts_with("failed requests of class update")),
        "{verdict:?}"
    );
}

/// Some zones are farther from the servers, so their nodes always answer more slowly. Only a difference to the
/// node's own baseline may count against the change.
#[test]
fn a_node_that_always_answered_slowly_does_not_count_against_the_change() {
    let slow = |at: usize| if at == 0 { 6 } else { 1 };
    let verdict_after = |slow_after: fn(usize) -> u64| {
        let mut fleet = Fleet::new(10);
        fleet.answers(60, slow);
        fleet.change(0);
        fleet.analysis.stage_started();
        fleet.answers(200, slow_after)
    };
    assert_eq!(verdict_after(slow), Verdict::Pass);
    let verdict = verdict_after(|at| if at == 0 { 12 } else { 1 });
    assert!(
        matches!(&verdict, Verdict::Fail(why) if why.starts_with("slow answers of class update")),
        "{verdict:?}"
    );
}

#[test]
fn gross_differences_fail_within_seconds_and_small_ones_take_longer() {
    for (bad, max_seconds) in [((0, 0, 30), 5), ((5, 25, 0), 5), ((28, 0, 2), 90)] {
        let mut fleet = Fleet::new(10);
        fleet.seconds(30, |_| ALL_SERVED);
        fleet.change(4);
        let (verdict, took) = fleet.seconds(300, |at| if at == 4 { bad } else { ALL_SERVED });
        assert!(
            matches!(verdict, Verdict::Fail(_)) && took <= max_seconds + 3,
            "{bad:?}: {verdict:?} after {took} s"
        );
    }
}

#[test]
fn a_fault_that_hits_changed_and_unchanged_nodes_does_not_fail_the_change() {
    let mut fleet = Fleet::new(10);
    fleet.seconds(30, |_| ALL_SERVED);
    fleet.change(0);
    fleet.analysis.stage_started();
    let degraded = |_: usize| (24, 3, 3);
    let (verdict, _) = fleet.seconds(300, degraded);
    assert!(matches!(verdict, Verdict::FleetDegraded(_)), "{verdict:?}");
    assert_eq!(fleet.seconds(10, |_| ALL_SERVED).0, Verdict::Pass, "the degradation has passed");
    // A degraded zone does not count against the node that was changed there.
    let degraded_zone = |at: usize| if at.is_multiple_of(2) { (20, 0, 10) } else { ALL_SERVED };
    let (verdict, _) = fleet.seconds(300, degraded_zone);
    assert!(!matches!(verdict, Verdict::Fail(_)), "{verdict:?}");
}

#[test]
fn fleet_degradation_is_measured_at_the_unchanged_nodes() {
    let mut fleet = Fleet::new(4);
    fleet.seconds(30, |_| ALL_SERVED);
    fleet.change(0);
    // The changed node is a quarter of the fleet: if it were counted, the fleet would look degraded.
    let (verdict, _) = fleet.seconds(6, |at| if at == 0 { (17, 0, 13) } else { ALL_SERVED });
    assert!(!matches!(verdict, Verdict::FleetDegraded(_)), "{verdict:?}");
    for at in 1..4 {
        fleet.change(at);
    }
    let (verdict, _) = fleet.seconds(20, |_| (20, 0, 10));
    assert!(
        matches!(verdict, Verdict::FleetDegraded(_) | Verdict::Fail(_)),
        "all are changed, and all do worse: {verdict:?}"
    );
}

#[test]
fn nodes_that_serve_nobody_crash_or_leak_memory_fail() {
    let mut idle = Fleet::new(10);
    idle.seconds(30, |_| ALL_SERVED);
    idle.change(0);
    let (verdict, took) = idle.seconds(60, |at| if at == 0 { (0, 0, 0) } else { (33, 0, 0) });
    assert!(matches!(&verdict, Verdict::Fail(why) if why.contains("serves nobody")), "{verdict:?}");
    assert!(took < 15, "{took}");

    let mut crashing = Fleet::new(100);
    crashing.seconds(30, |_| ALL_SERVED);
    crashing.change(0);
    crashing.seconds(10, |_| ALL_SERVED);
    for _ in 0..2 {
        crashing.crashes[0] += 1;
        crashing.seconds(1, |_| ALL_SERVED);
    }
    let (verdict, _) = crashing.seconds(1, |_| ALL_SERVED);
    assert!(matches!(&verdict, Verdict::Fail(why) if why.starts_with("processes ended")), "{verdict:?}");

    let mut leaking = Fleet::new(10);
    leaking.seconds(30, |_| ALL_SERVED);
    leaking.change(0);
    leaking.seconds(10, |_| ALL_SERVED);
    leaking.statistics[0].memory = 400 << 20;
    let (verdict, _) = leaking.seconds(2, |_| ALL_SERVED);
    assert!(matches!(&verdict, Verdict::Fail(why) if why.contains("memory")), "{verdict:?}");
}

/// After a restart of a node's process, or while its supervisor could not be reached, the difference to the earlier
/// counters says nothing about the latest second and must not count as requests.
#[test]
fn counters_of_a_new_process_are_not_taken_for_requests() {
    let mut fleet = Fleet::new(10);
    fleet.seconds(30, |_| ALL_SERVED);
    fleet.change(0);
    fleet.seconds(10, |_| ALL_SERVED);
    for _ in 0..20 {
        // Another process, whose counters cover the time since its start.
        fleet.statistics[0].process += 1;
        fleet.statistics[0].calls.insert("update".into(), RequestCounts { success: 0, busy: 0, failure: 50 });
        fleet.seconds(1, |at| if at == 0 { (0, 0, 0) } else { ALL_SERVED });
    }
    let (verdict, _) = fleet.seconds(1, |_| ALL_SERVED);
    assert!(!matches!(&verdict, Verdict::Fail(why) if why.contains("failed")), "{verdict:?}");
}

/// Prevents a stage from passing although a changed node's process has crashed and no other process has.
#[test]
fn a_stage_does_not_pass_while_the_first_changed_node_has_crashed_and_no_other_has() {
    let mut fleet = Fleet::new(8);
    let settings = Settings { least_requests: 30, settle_s: 1.0, ..Settings::default() };
    fleet.analysis = CanaryAnalysis::new(settings, &vec!["z".to_owned(); 8]);
    fleet.seconds(4, |_| ALL_SERVED);
    fleet.change(0);
    fleet.analysis.stage_started();
    fleet.seconds(2, |_| ALL_SERVED);
    fleet.crashes[0] += 1;
    let (verdict, _) = fleet.seconds(1, |_| ALL_SERVED);
    assert_ne!(verdict, Verdict::Pass);
}

/// Prevents a stage from passing because the tests have too little data yet, while a third of the requests is
/// refused or fails at its node.
#[test]
fn a_stage_does_not_pass_while_its_node_plainly_does_worse() {
    for bad in [(20, 10, 0), (20, 0, 10)] {
        let mut fleet = Fleet::new(8);
        let settings = Settings { least_requests: 30, settle_s: 1.0, ..Settings::default() };
        fleet.analysis = CanaryAnalysis::new(settings, &vec!["z".to_owned(); 8]);
        fleet.seconds(4, |_| ALL_SERVED);
        fleet.change(0);
        fleet.analysis.stage_started();
        let mut evaluations = 0;
        let verdict = loop {
            let (verdict, _) = fleet.seconds(1, |at| if at == 0 { bad } else { ALL_SERVED });
            evaluations += 1;
            match verdict {
                Verdict::Inconclusive if evaluations < 60 => {}
                verdict => break verdict,
            }
        };
        let at_changed = |why: &String| why.ends_with("points more at changed nodes");
        assert!(
            matches!(&verdict, Verdict::Fail(why) if at_changed(why)),
            "{verdict:?} after {evaluations} s"
        );
    }
}
