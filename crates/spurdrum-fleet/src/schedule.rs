//! Whom faults befall and when: from a scenario and its seed, with no clock. And the fewest faults that still fail.

use crate::scenario::{Fault, Kind, Scenario};

/// One step of the script.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// In seconds from the start.
    pub at_s: f64,
    /// The fault's place in the scenario.
    pub fault: usize,
    /// Whether it begins, or ends.
    pub begins: bool,
}

/// The script of a scenario.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Schedule {
    /// In the order of their times.
    pub steps: Vec<Step>,
    /// By fault: the nodes and the servers that it befalls.
    pub targets: Vec<(Vec<usize>, Vec<usize>)>,
}

impl Schedule {
    /// Draws it.
    #[must_use]
    pub fn new(scenario: &Scenario, servers: usize) -> Self {
        let mut schedule = Self::default();
        for (n, fault) in scenario.faults.iter().enumerate() {
            // Of its own, so that a fault less does not change whom the others befall.
            let mut rng = fastrand::Rng::with_seed(scenario.seed.wrapping_mul(1_000_003) ^ seed_of(fault));
            let mut some = |all: usize, part: f64| {
                let mut drawn: Vec<usize> = (0..all).collect();
                rng.shuffle(&mut drawn);
                drawn.truncate((all as f64 * part).round() as usize);
                drawn.sort_unstable();
                drawn
            };
            let nodes = some(scenario.nodes, fault.nodes);
            let servers = match fault.kind.affects_links() {
                // The catalog comes after the last server.
                true if fault.catalog => vec![servers],
                true => some(servers, fault.servers),
                false if fault.kind == Kind::Lists => some(servers, fault.servers),
                false => Vec::new(),
            };
            schedule.targets.push((nodes, servers));
            schedule.steps.push(Step { at_s: fault.at_s, fault: n, begins: true });
            let ends = fault.for_s.map(|s| fault.at_s + s).filter(|_| fault.kind != Kind::Late);
            schedule.steps.extend(ends.map(|at_s| Step { at_s, fault: n, begins: false }));
        }
        schedule.steps.sort_by(|a, b| a.at_s.total_cmp(&b.at_s).then(a.begins.cmp(&b.begins)));
        schedule
    }

    /// Nodes that are not there at the start.
    #[must_use]
    pub fn late(&self, scenario: &Scenario) -> Vec<usize> {
        let late = scenario.faults.iter().zip(&self.targets).filter(|(fault, _)| fault.kind == Kind::Late);
        late.flat_map(|(_, (nodes, _))| nodes.iter().copied()).collect()
    }
}

fn seed_of(fault: &Fault) -> u64 {
    let at = (fault.at_s * 1000.0) as u64;
    (fault.kind as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(17)
        ^ at.wrapping_mul(0xd1b5_4a32_d192_ed03)
}

/// Faults drawn from a seed: so many, in a run of such a length, that end before its last fifth.
#[must_use]
pub fn chaos(seed: u64, count: usize, for_s: f64, links: bool) -> Vec<Fault> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let kinds = [Kind::Kill, Kind::Stop, Kind::Cut, Kind::Stall, Kind::OneWay, Kind::Delay, Kind::Reset];
    // What needs settings of its own is not drawn: disks.
    let kinds = if links { &kinds[..] } else { &kinds[..2] };
    let mut draw = || {
        let kind = kinds[rng.usize(..kinds.len())];
        let at_s = for_s * (0.2 + 0.4 * rng.f64());
        Fault {
            kind,
            nodes: 0.1 + 0.5 * rng.f64(),
            servers: 0.1 + 0.3 * rng.f64(),
            at_s,
            for_s: Some(for_s * (0.02 + 0.15 * rng.f64())),
            delay_ms: rng.u64(5..100),
            catalog: false,
        }
    };
    (0..count).map(|_| draw()).collect()
}

/// The fewest faults of a failing scenario that still fail, as far as leaving out halves, quarters and single ones shows it
/// (delta debugging). `fails` plays what it is given.
pub fn shrink(faults: &[Fault], mut fails: impl FnMut(&[Fault]) -> bool) -> Vec<Fault> {
    let mut left = faults.to_vec();
    let mut piece = left.len().div_ceil(2).max(1);
    while !left.is_empty() {
        let mut at = 0;
        let mut shorter = false;
        while at < left.len() {
            let mut without = left.clone();
            without.drain(at..(at + piece).min(left.len()));
            if fails(&without) {
                left = without;
                shorter = true;
            } else {
                at += piece;
            }
        }
        if piece == 1 && !shorter {
            break;
        }
        piece = (piece / 2).max(1);
    }
    left
}

#[cfg(test)]
mod tests {
    use super::*;

    fn scenario(faults: &str) -> Scenario {
        Scenario::parse(&format!("for_s = 10\nnodes = 20\nload = 0.5\n[[servers]]\ncount = 10\n{faults}"))
            .expect("sound")
    }

    #[test]
    fn the_same_seed_befalls_the_same_nodes_whatever_other_faults_there_are() {
        let kill = "[[fault]]\nkind = 'kill'\nnodes = 0.6\nat_s = 3\nfor_s = 1\n";
        let stall = "[[fault]]\nkind = 'stall'\nnodes = 0.5\nservers = 0.3\nat_s = 2\nfor_s = 4\n";
        let both = Schedule::new(&scenario(&format!("{stall}{kill}")), 10);
        let one = Schedule::new(&scenario(kill), 10);
        assert_eq!(both.targets[1], one.targets[0]);
        assert_eq!((both.targets[0].0.len(), both.targets[0].1.len(), both.targets[1].0.len()), (10, 3, 12));
        let at: Vec<(f64, bool)> = both.steps.iter().map(|step| (step.at_s, step.begins)).collect();
        assert_eq!(at, [(2.0, true), (3.0, true), (4.0, false), (6.0, false)]);
    }

    #[test]
    fn a_failing_schedule_is_shrunk_to_the_faults_that_matter() {
        let faults = chaos(7, 12, 20.0, true);
        let mut played = 0;
        let fewest = shrink(&faults, |some| {
            played += 1;
            some.contains(&faults[3]) && some.contains(&faults[10])
        });
        assert_eq!(fewest, [faults[3].clone(), faults[10].clone()]);
        assert!(played < 60, "{played} runs");
        assert_eq!(shrink(&faults, |_| true), []);
    }
}
