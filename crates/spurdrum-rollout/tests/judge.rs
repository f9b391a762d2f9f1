//! A judge, told what nodes count.

use std::collections::BTreeMap;

use spurdrum_rollout::conductor::Verdict;
use spurdrum_rollout::judge::{CanaryAnalysis, Settings};
use spurdrum_rollout::orders::{NodeStatistics, RequestCounts};

/// A fleet that counts as it is told.
struct Fleet {
    judge: CanaryAnalysis,
    statistics: Vec<NodeStatistics>,
    crashes: Vec<u64>,
    now: f64,
}

/// What ends in a second at a node: served, refused, failed.
type Second = (u64, u64, u64);

impl Fleet {
    fn new(nodes: usize) -> Self {
        let zones: Vec<String> = (0..nodes).map(|n| format!("z{}", n % 2)).collect();
        let statistics =
            NodeStatistics { process: 1, listed: 10, memory: 40 << 20, ..NodeStatistics::default() };
        Self {
            judge: CanaryAnalysis::new(Settings::default(), &zones),
            statistics: vec![statistics; nodes],
            crashes: vec![0; nodes],
            now: 0.0,
        }
    }

    /// Seconds in which nodes do this; the last verdict, and how many seconds it took to say worse.
    fn seconds(&mut self, count: usize, of: impl Fn(usize) -> Second) -> (Verdict, usize) {
        let mut verdict = Verdict::Inconclusive;
        for second in 1..=count {
            self.now += 1.0;
            for at in 0..self.statistics.len() {
                let (success, busy, failure) = of(at);
                let calls: &mut RequestCounts = self.statistics[at].calls.entry("update".into()).or_default();
                calls.success += success;
                calls.busy += busy;
                calls.failure += failure;
                self.statistics[at].attempts += success + failure;
                self.judge.record_statistics(at, &self.statistics[at], self.crashes[at], self.now);
            }
            verdict = self.judge.evaluate();
            if matches!(verdict, Verdict::Fail(_)) {
                return (verdict, second);
            }
        }
        (verdict, count)
    }

    /// Seconds in which nodes answer 30 requests each, so many of them slowly.
    fn answers(&mut self, count: usize, slow: impl Fn(usize) -> u64) -> Verdict {
        let mut verdict = Verdict::Inconclusive;
        for _ in 0..count {
            for at in 0..self.statistics.len() {
                let times = self.statistics[at].latencies.entry("update".into());
                let times = times.or_insert_with(|| vec![(10_000, 0), (20_000, 0)]);
                times[0].1 += 30 - slow(at);
                times[1].1 += slow(at);
            }
            (verdict, _) = self.seconds(1, |_| WELL);
            if matches!(verdict, Verdict::Fail(_)) {
                break;
            }
        }
        verdict
    }

    fn change(&mut self, at: usize) {
        self.judge.version_changed(at, true, self.now);
        self.statistics[at].process += 1;
        self.statistics[at].calls = BTreeMap::new();
        self.statistics[at].latencies = BTreeMap::new();
        self.statistics[at].attempts = 0;
    }
}

const WELL: Second = (30, 0, 0);

#[test]
fn what_does_as_before_is_fine_once_enough_was_seen() {
    let mut fleet = Fleet::new(10);
    assert_eq!(fleet.seconds(20, |_| WELL).0, Verdict::Inconclusive, "nothing is changed");
    fleet.change(0);
    fleet.judge.stage_started();
    assert_eq!(fleet.seconds(8, |_| WELL).0, Verdict::Inconclusive, "few requests give no verdict");
    assert_eq!(fleet.seconds(5, |_| WELL).0, Verdict::Pass);
}

#[test]
fn a_node_that_always_did_worse_is_not_held_against_the_change() {
    let mut fleet = Fleet::new(10);
    let uneven = |at: usize| if at == 0 { (26, 1, 3) } else { WELL };
    fleet.seconds(60, uneven);
    fleet.change(0);
    fleet.judge.stage_started();
    assert_eq!(fleet.seconds(200, uneven).0, Verdict::Pass);
    // But that it does worse than it did, is.
    let (verdict, _) = fleet.seconds(200, |at| if at == 0 { (22, 1, 7) } else { WELL });
    assert!(
        matches!(&verdict, Verdict::Fail(why) if why.starts_with("failed requests of class update")),
        "{verdict:?}"
    );
}

/// Some zones are farther from the servers: what a node always did is not the change's doing, what it does since is.
#[test]
fn a_node_that_always_answered_slowly_is_not_held_against_the_change() {
    let slow = |at: usize| if at == 0 { 6 } else { 1 };
    let after = |then: fn(usize) -> u64| {
        let mut fleet = Fleet::new(10);
        fleet.answers(60, slow);
        fleet.change(0);
        fleet.judge.stage_started();
        fleet.answers(200, then)
    };
    assert_eq!(after(slow), Verdict::Pass);
    let verdict = after(|at| if at == 0 { 12 } else { 1 });
    assert!(
        matches!(&verdict, Verdict::Fail(why) if why.starts_with("slow answers of class update")),
        "{verdict:?}"
    );
}

#[test]
fn what_is_gross_is_said_within_seconds_and_what_is_not_takes_longer() {
    for (bad, most) in [((0, 0, 30), 5), ((5, 25, 0), 5), ((28, 0, 2), 90)] {
        let mut fleet = Fleet::new(10);
        fleet.seconds(30, |_| WELL);
        fleet.change(4);
        let (verdict, took) = fleet.seconds(300, |at| if at == 4 { bad } else { WELL });
        assert!(
            matches!(verdict, Verdict::Fail(_)) && took <= most + 3,
            "{bad:?}: {verdict:?} after {took} s"
        );
    }
}

#[test]
fn trouble_that_hits_both_condemns_nobody() {
    let mut fleet = Fleet::new(10);
    fleet.seconds(30, |_| WELL);
    fleet.change(0);
    fleet.judge.stage_started();
    let trouble = |_: usize| (24, 3, 3);
    let (verdict, _) = fleet.seconds(300, trouble);
    assert!(matches!(verdict, Verdict::FleetDegraded(_)), "{verdict:?}");
    assert_eq!(fleet.seconds(10, |_| WELL).0, Verdict::Pass, "it has passed");
    // A zone's trouble is not one of the node that was changed there.
    let zone = |at: usize| if at.is_multiple_of(2) { (20, 0, 10) } else { WELL };
    let (verdict, _) = fleet.seconds(300, zone);
    assert!(!matches!(verdict, Verdict::Fail(_)), "{verdict:?}");
}

#[test]
fn trouble_is_looked_for_at_the_nodes_that_were_not_changed() {
    let mut fleet = Fleet::new(4);
    fleet.seconds(30, |_| WELL);
    fleet.change(0);
    // A quarter of all would look like trouble of all.
    let (verdict, _) = fleet.seconds(6, |at| if at == 0 { (17, 0, 13) } else { WELL });
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
fn who_serves_nobody_who_crashes_and_who_grows_is_found() {
    let mut mute = Fleet::new(10);
    mute.seconds(30, |_| WELL);
    mute.change(0);
    let (verdict, took) = mute.seconds(60, |at| if at == 0 { (0, 0, 0) } else { (33, 0, 0) });
    assert!(matches!(&verdict, Verdict::Fail(why) if why.contains("serves nobody")), "{verdict:?}");
    assert!(took < 15, "{took}");

    let mut crashing = Fleet::new(100);
    crashing.seconds(30, |_| WELL);
    crashing.change(0);
    crashing.seconds(10, |_| WELL);
    for _ in 0..2 {
        crashing.crashes[0] += 1;
        crashing.seconds(1, |_| WELL);
    }
    let (verdict, _) = crashing.seconds(1, |_| WELL);
    assert!(matches!(&verdict, Verdict::Fail(why) if why.starts_with("processes ended")), "{verdict:?}");

    let mut leaking = Fleet::new(10);
    leaking.seconds(30, |_| WELL);
    leaking.change(0);
    leaking.seconds(10, |_| WELL);
    leaking.statistics[0].memory = 400 << 20;
    let (verdict, _) = leaking.seconds(2, |_| WELL);
    assert!(matches!(&verdict, Verdict::Fail(why) if why.contains("memory")), "{verdict:?}");
}

/// A node whose keeper was not heard for a while, or whose process was started again, tells nothing of that while.
#[test]
fn counts_that_begin_anew_are_not_taken_for_requests() {
    let mut fleet = Fleet::new(10);
    fleet.seconds(30, |_| WELL);
    fleet.change(0);
    fleet.seconds(10, |_| WELL);
    for _ in 0..20 {
        // Another process, whose first counts are of its whole life.
        fleet.statistics[0].process += 1;
        fleet.statistics[0].calls.insert("update".into(), RequestCounts { success: 0, busy: 0, failure: 50 });
        fleet.seconds(1, |at| if at == 0 { (0, 0, 0) } else { WELL });
    }
    let (verdict, _) = fleet.seconds(1, |_| WELL);
    assert!(!matches!(&verdict, Verdict::Fail(why) if why.contains("failed")), "{verdict:?}");
}

/// Guards against a stage that goes on although a changed node's process has ended and none of the others' has.
#[test]
fn a_stage_is_not_fine_while_the_first_changed_node_has_crashed_and_no_other_has() {
    let mut fleet = Fleet::new(8);
    let settings = Settings { least_requests: 30, settle_s: 1.0, ..Settings::default() };
    fleet.judge = CanaryAnalysis::new(settings, &vec!["z".to_owned(); 8]);
    fleet.seconds(4, |_| WELL);
    fleet.change(0);
    fleet.judge.stage_started();
    fleet.seconds(2, |_| WELL);
    fleet.crashes[0] += 1;
    let (verdict, _) = fleet.seconds(1, |_| WELL);
    assert_ne!(verdict, Verdict::Pass);
}

/// Guards against a stage that is fine because little has been gathered yet: a third of the requests is refused at its node.
#[test]
fn a_stage_is_not_fine_while_its_node_plainly_does_worse() {
    for bad in [(20, 10, 0), (20, 0, 10)] {
        let mut fleet = Fleet::new(8);
        let settings = Settings { least_requests: 30, settle_s: 1.0, ..Settings::default() };
        fleet.judge = CanaryAnalysis::new(settings, &vec!["z".to_owned(); 8]);
        fleet.seconds(4, |_| WELL);
        fleet.change(0);
        fleet.judge.stage_started();
        let mut looks = 0;
        let verdict = loop {
            let (verdict, _) = fleet.seconds(1, |at| if at == 0 { bad } else { WELL });
            looks += 1;
            match verdict {
                Verdict::Inconclusive if looks < 60 => {}
                verdict => break verdict,
            }
        };
        let at_changed = |why: &String| why.ends_with("points more at changed nodes");
        assert!(matches!(&verdict, Verdict::Fail(why) if at_changed(why)), "{verdict:?} after {looks} s");
    }
}
