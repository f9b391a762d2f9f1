//! Derives from a scenario and its seed which nodes and servers each fault affects and when, without reading a clock. Also
//! draws random faults and reduces a failing list of faults to a minimal one.

use crate::scenario::{Fault, Kind, Scenario};

/// The start or the end of one fault.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Time of the step, in seconds from the start of the run.
    pub at_s: f64,
    /// Index of the fault in the scenario.
    pub fault: usize,
    /// Whether the fault begins at this step; otherwise it ends.
    pub begins: bool,
}

/// All steps of a scenario's faults, and what each fault affects.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Schedule {
    /// The steps, in time order.
    pub steps: Vec<Step>,
    /// By fault: indices of the nodes and of the servers that it affects.
    pub targets: Vec<(Vec<usize>, Vec<usize>)>,
}

impl Schedule {
    /// Draws the targets of all faults, of this number of servers.
    #[must_use]
    pub fn new(scenario: &Scenario, servers: usize) -> Self {
        let mut schedule = Self::default();
        for (n, fault) in scenario.faults.iter().enumerate() {
            // Each fault has its own generator, so that removing one fault does not change the targets of the others.
            let mut rng = fastrand::Rng::with_seed(scenario.seed.wrapping_mul(1_000_003) ^ seed_of(fault));
            let mut draw = |total: usize, share: f64| {
                let mut drawn: Vec<usize> = (0..total).collect();
                rng.shuffle(&mut drawn);
                drawn.truncate((total as f64 * share).round() as usize);
                drawn.sort_unstable();
                drawn
            };
            let nodes = draw(scenario.nodes, fault.nodes);
            let servers = match fault.kind.affects_links() {
                // The index after the last server stands for the catalog.
                true if fault.catalog => vec![servers],
                true => draw(servers, fault.servers),
                false if fault.kind == Kind::Lists => draw(servers, fault.servers),
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

    /// Returns the nodes that are not started with the run.
    #[must_use]
    pub fn late_nodes(&self, scenario: &Scenario) -> Vec<usize> {
        let late = scenario.faults.iter().zip(&self.targets).filter(|(fault, _)| fault.kind == Kind::Late);
        late.flat_map(|(_, (nodes, _))| nodes.iter().copied()).collect()
    }
}

/// Returns a seed that depends only on the fault's kind and start time.
fn seed_of(fault: &Fault) -> u64 {
    let at = (fault.at_s * 1000.0) as u64;
    (fault.kind as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(17)
        ^ at.wrapping_mul(0xd1b5_4a32_d192_ed03)
}

/// Draws `count` random faults from a seed, for a run of `for_s` seconds. All of them end before the last fifth of the run.
/// `links` states whether faults of links to servers may be drawn too.
#[must_use]
pub fn chaos(seed: u64, count: usize, for_s: f64, links: bool) -> Vec<Fault> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let kinds = [Kind::Kill, Kind::Stop, Kind::Cut, Kind::Stall, Kind::OneWay, Kind::Delay, Kind::Reset];
    // Disk faults are not drawn because they need settings of their own.
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

/// Returns a minimal subset of a failing scenario's faults that still fails, found by leaving out halves, quarters and finally
/// single faults (delta debugging). `fails` runs the scenario with the faults it is given and returns whether it fails.
pub fn shrink(faults: &[Fault], mut fails: impl FnMut(&[Fault]) -> bool) -> Vec<Fault> {
    let mut remaining = faults.to_vec();
    let mut chunk = remaining.len().div_ceil(2).max(1);
    while !remaining.is_empty() {
        let mut at = 0;
        let mut reduced = false;
        while at < remaining.len() {
            let mut without = remaining.clone();
            without.drain(at..(at + chunk).min(remaining.len()));
            if fails(&without) {
                remaining = without;
                reduced = true;
            } else {
                at += chunk;
            }
        }
        if chunk == 1 && !reduced {
            break;
        }
        chunk = (chunk / 2).max(1);
    }
    remaining
}

#[cfg(test)]
mod tests {
    use super::*;

    fn scenario(faults: &str) -> Scenario {
        Scenario::parse(&format!("for_s = 10\nnodes = 20\nload = 0.5\n[[servers]]\ncount = 10\n{faults}"))
            .expect("sound")
    }

    #[test]
    fn a_seed_draws_the_same_nodes_for_a_fault_whatever_other_faults_there_are() {
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
        let mut runs = 0;
        let fewest = shrink(&faults, |some| {
            runs += 1;
            some.contains(&faults[3]) && some.contains(&faults[10])
        });
        assert_eq!(fewest, [faults[3].clone(), faults[10].clone()]);
        assert!(runs < 60, "{runs} runs");
        assert_eq!(shrink(&faults, |_| true), []);
    }
}
