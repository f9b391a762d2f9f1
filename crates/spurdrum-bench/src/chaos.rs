//! The `chaos` command: good and bad rollouts one after another, with random faults during each, drawn from a
//! seed.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant};

use spurdrum_fleet::history::End;
use spurdrum_fleet::kept::{impossible_deadlines, play as run_scenario, SupervisedFleet};
use spurdrum_fleet::run::Options;
use spurdrum_fleet::scenario::{Kind, Scenario};
use spurdrum_fleet::verdict;
use spurdrum_harness::program;

const STAGES: &str =
    "[[stage]]\nnodes = 1\nleast_s = 2\nmost_s = 60\n[[stage]]\nshare = 0.3\nleast_s = 1\nmost_s = 60\n\
    [[stage]]\nshare = 1.0\nleast_s = 1\nmost_s = 60\n[judge]\nleast_requests = 30\nsettle_s = 1.0\n";
const TIMES: &str = "before_s = 3\nclaims_s = 3\nat_once = 2\nback_s = 90\n";
/// The time after which a rollout counts as stuck.
const MAX_ROLLOUT_DURATION: Duration = Duration::from_secs(240);
/// The time within which all nodes must run the same version after a rollout.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(60);

/// The results of all rollouts.
#[derive(Default)]
struct Counts {
    rollouts: u64,
    done: u64,
    rolled_back: u64,
    /// Rollouts with the wrong result: good changes that were rolled back, with the reason, and bad
    /// ones that completed.
    unexpected: Vec<String>,
    faults: BTreeMap<&'static str, u64>,
}

/// Runs rollouts for the given number of minutes and prints their results and the broken rules.
pub fn run(minutes: f64, nodes: usize, seed: u64) -> Result<(), String> {
    let duration_s = minutes * 60.0;
    let scenario = format!(
        "seed = {seed}\nfor_s = {}\nnodes = {nodes}\nload = 0.4\nsigma = 0.3\nslack_s = 1\nwindow_ms = 4000\n\
         [[servers]]\nname = 's'\ncount = 8\ncores = 2\nslots = 2\nqueue = 200\nwork_ms = 20\nwork = 'exponential'\n",
        duration_s + 600.0
    );
    let options = Options::new(program()?);
    let (history, counts) = run_scenario(&Scenario::parse(&scenario)?, &options, |fleet| {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut counts = Counts::default();
        while fleet.elapsed_s() < duration_s {
            run_rollout(fleet, &mut rng, &mut counts, nodes)
                .map_err(|error| format!("rollout {} of seed {seed}: {error}", counts.rollouts))?;
        }
        Ok(counts)
    })?;
    let Counts { rollouts, done, rolled_back, unexpected, faults } = counts;
    println!("{rollouts} rollouts: {done} completed, {rolled_back} rolled back; faults: {faults:?}");
    println!("rollouts with an unexpected result: {}", unexpected.len());
    unexpected.iter().for_each(|result| println!("  {result}"));
    let not_served = history.requests.iter().filter(|request| request.end != End::Served).count();
    println!("{} requests, {not_served} not served", history.requests.len());
    let violations = verdict::judge(&history);
    println!("requests for which a rule was broken: {}", violations.len());
    violations.iter().take(10).for_each(|violation| println!("  {violation}"));
    match violations.is_empty() {
        true => Ok(()),
        false => Err("a rule was broken".into()),
    }
}

/// Runs one rollout and injects faults until it ends; returns an error if it does not end or the nodes do not
/// converge.
fn run_rollout(
    fleet: &mut SupervisedFleet,
    rng: &mut fastrand::Rng,
    counts: &mut Counts,
    nodes: usize,
) -> Result<(), String> {
    counts.rollouts += 1;
    let good = rng.f64() < 0.6;
    // The comment makes the hash of each build different.
    let text = format!("# {}\nexec {{program}} \"$@\"", counts.rollouts);
    let build = fleet.build(&format!("build{}", counts.rollouts), &text)?;
    let settings = fleet.settings(
        &format!("settings{}", counts.rollouts),
        if good { |text| text } else { impossible_deadlines },
    )?;
    let plan = fleet.plan(&build, &settings, "replace", TIMES, STAGES)?;
    let mut controller = fleet.start_rollout(&plan)?;
    let started = Instant::now();
    let (done, output) = loop {
        let fault_interval = Duration::from_millis(rng.u64(200..2500));
        if let Ok(result) = controller.wait_until_exit(fault_interval) {
            break result;
        }
        if started.elapsed() > MAX_ROLLOUT_DURATION {
            return Err(format!("the rollout did not end in time: {}", controller.output()));
        }
        // No more faults in the second half of the time, so that the rollout can end.
        if started.elapsed() > MAX_ROLLOUT_DURATION / 2 {
            continue;
        }
        let node = rng.usize(..nodes);
        match rng.u8(..4) {
            0 => {
                *counts.faults.entry("supervisor killed").or_default() += 1;
                fleet.kill_supervisor(node);
                std::thread::sleep(Duration::from_millis(rng.u64(0..800)));
                fleet.start_supervisor(node)?;
            }
            1 => {
                *counts.faults.entry("controller killed").or_default() += 1;
                drop(controller);
                std::thread::sleep(Duration::from_millis(rng.u64(0..800)));
                controller = fleet.start_rollout(&plan)?;
            }
            2 => {
                *counts.faults.entry("controller paused").or_default() += 1;
                controller.set_paused(true);
                std::thread::sleep(Duration::from_millis(rng.u64(100..3000)));
                controller.set_paused(false);
            }
            _ => {
                *counts.faults.entry("links broken").or_default() += 1;
                let kind = [Kind::Stall, Kind::Cut, Kind::OneWay][rng.usize(..3)];
                let affected: Vec<usize> = (0..nodes).filter(|_| rng.f64() < 0.4).collect();
                fleet.set_link_fault(affected.iter().copied(), kind, true);
                std::thread::sleep(Duration::from_millis(rng.u64(100..3000)));
                fleet.set_link_fault(affected, kind, false);
            }
        }
    };
    let last = output.lines().last().unwrap_or_default().to_owned();
    println!("{:>7.1} s  {}: {last}", fleet.elapsed_s(), if good { "good" } else { "bad" });
    match done {
        true => counts.done += 1,
        false => counts.rolled_back += 1,
    }
    if done != good {
        counts.unexpected.push(format!(
            "rollout {}, {}: {last}",
            counts.rollouts,
            if good { "good" } else { "bad" }
        ));
    }
    check_one_version(fleet, nodes, &build, done)
}

/// Waits until all nodes run the same version: the new build if the rollout completed, another one if it did
/// not. Returns an error if they do not converge in time.
fn check_one_version(fleet: &SupervisedFleet, nodes: usize, build: &Path, done: bool) -> Result<(), String> {
    let since = Instant::now();
    let new_version = spurdrum_rollout::version::Hash::of_file(build).map_err(|error| error.to_string())?;
    loop {
        let versions: Vec<String> =
            (0..nodes).map(|node| running_version(fleet, node).unwrap_or_default()).collect();
        let converged = versions.iter().all(|version| *version == versions[0]) && !versions[0].is_empty();
        if converged && (versions[0] == new_version.text()) == done {
            return Ok(());
        }
        if since.elapsed() > CONVERGENCE_TIMEOUT {
            return Err(format!(
                "nodes run different or unexpected versions {versions:?}; the version of the change is {}",
                new_version.text()
            ));
        }
        std::thread::sleep(Duration::from_millis(200));
    }
}

/// Returns the hash of the program that a node runs according to its supervisor, or `None` while the node is
/// being changed or is not ready.
fn running_version(fleet: &SupervisedFleet, node: usize) -> Option<String> {
    let status = fleet.status(node)?;
    let settled = status["busy"].is_null() && status["ready"] == true;
    status["runs"]["program"].as_str().filter(|_| settled).map(str::to_owned)
}
