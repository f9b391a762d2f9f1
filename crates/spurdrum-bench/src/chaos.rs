//! Rollouts back to back, good and bad ones, with faults drawn from a seed between them.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant};

use spurdrum_fleet::history::End;
use spurdrum_fleet::kept::{impossible_deadlines, play as played, SupervisedFleet};
use spurdrum_fleet::run::Options;
use spurdrum_fleet::scenario::{Kind, Scenario};
use spurdrum_fleet::verdict;
use spurdrum_harness::program;

const STAGES: &str =
    "[[stage]]\nnodes = 1\nleast_s = 2\nmost_s = 60\n[[stage]]\nshare = 0.3\nleast_s = 1\nmost_s = 60\n\
    [[stage]]\nshare = 1.0\nleast_s = 1\nmost_s = 60\n[judge]\nleast_requests = 30\nsettle_s = 1.0\n";
const TIMES: &str = "before_s = 3\nclaims_s = 3\nat_once = 2\nback_s = 90\n";
/// A rollout that takes longer does not end.
const LONGEST: Duration = Duration::from_secs(240);
/// After a rollout all nodes run one version within this time.
const SETTLES: Duration = Duration::from_secs(60);

/// What happened.
#[derive(Default)]
struct Counts {
    rollouts: u64,
    done: u64,
    back: u64,
    /// Good ones that were taken back, and why; bad ones that were done.
    wrong: Vec<String>,
    faults: BTreeMap<&'static str, u64>,
}

/// Plays for so many minutes.
pub fn play(minutes: f64, nodes: usize, seed: u64) -> Result<(), String> {
    let for_s = minutes * 60.0;
    let scenario = format!(
        "seed = {seed}\nfor_s = {}\nnodes = {nodes}\nload = 0.4\nsigma = 0.3\nslack_s = 1\nwindow_ms = 4000\n\
         [[servers]]\nname = 's'\ncount = 8\ncores = 2\nslots = 2\nqueue = 200\nwork_ms = 20\nwork = 'exponential'\n",
        for_s + 600.0
    );
    let options = Options::new(program()?);
    let (history, counts) = played(&Scenario::parse(&scenario)?, &options, |kept| {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut counts = Counts::default();
        while kept.elapsed_s() < for_s {
            one(kept, &mut rng, &mut counts, nodes)
                .map_err(|why| format!("rollout {} of seed {seed}: {why}", counts.rollouts))?;
        }
        Ok(counts)
    })?;
    let Counts { rollouts, done, back, wrong, faults } = counts;
    println!("{rollouts} rollouts: {done} done, {back} taken back; faults: {faults:?}");
    println!("not as they should be: {}", wrong.len());
    wrong.iter().for_each(|wrong| println!("  {wrong}"));
    let harmed = history.requests.iter().filter(|asked| asked.end != End::Served).count();
    println!("{} requests, {harmed} not served", history.requests.len());
    let broken = verdict::judge(&history);
    println!("requests for which a rule was broken: {}", broken.len());
    broken.iter().take(10).for_each(|broken| println!("  {broken}"));
    match broken.is_empty() {
        true => Ok(()),
        false => Err("a rule was broken".into()),
    }
}

/// One rollout, with faults until it is over.
fn one(
    kept: &mut SupervisedFleet,
    rng: &mut fastrand::Rng,
    counts: &mut Counts,
    nodes: usize,
) -> Result<(), String> {
    counts.rollouts += 1;
    let good = rng.f64() < 0.6;
    // Another content each time.
    let text = format!("# {}\nexec {{program}} \"$@\"", counts.rollouts);
    let build = kept.build(&format!("build{}", counts.rollouts), &text)?;
    let settings = kept.settings(
        &format!("settings{}", counts.rollouts),
        if good { |text| text } else { impossible_deadlines },
    )?;
    let plan = kept.plan(&build, &settings, "replace", TIMES, STAGES)?;
    let mut conductor = kept.start_rollout(&plan)?;
    let began = Instant::now();
    let (done, said) = loop {
        let rest = Duration::from_millis(rng.u64(200..2500));
        if let Ok(ended) = conductor.wait_until_exit(rest) {
            break ended;
        }
        if began.elapsed() > LONGEST {
            return Err(format!("it does not end: {}", conductor.output()));
        }
        // It must be able to end.
        if began.elapsed() > LONGEST / 2 {
            continue;
        }
        let node = rng.usize(..nodes);
        match rng.u8(..4) {
            0 => {
                *counts.faults.entry("keeper killed").or_default() += 1;
                kept.kill_supervisor(node);
                std::thread::sleep(Duration::from_millis(rng.u64(0..800)));
                kept.start_supervisor(node)?;
            }
            1 => {
                *counts.faults.entry("conductor killed").or_default() += 1;
                drop(conductor);
                std::thread::sleep(Duration::from_millis(rng.u64(0..800)));
                conductor = kept.start_rollout(&plan)?;
            }
            2 => {
                *counts.faults.entry("conductor stopped").or_default() += 1;
                conductor.set_paused(true);
                std::thread::sleep(Duration::from_millis(rng.u64(100..3000)));
                conductor.set_paused(false);
            }
            _ => {
                *counts.faults.entry("links broken").or_default() += 1;
                let kind = [Kind::Stall, Kind::Cut, Kind::OneWay][rng.usize(..3)];
                let some: Vec<usize> = (0..nodes).filter(|_| rng.f64() < 0.4).collect();
                kept.set_link_fault(some.iter().copied(), kind, true);
                std::thread::sleep(Duration::from_millis(rng.u64(100..3000)));
                kept.set_link_fault(some, kind, false);
            }
        }
    };
    let last = said.lines().last().unwrap_or_default().to_owned();
    println!("{:>7.1} s  {}: {last}", kept.elapsed_s(), if good { "good" } else { "bad" });
    match done {
        true => counts.done += 1,
        false => counts.back += 1,
    }
    if done != good {
        counts.wrong.push(format!(
            "rollout {}, {}: {last}",
            counts.rollouts,
            if good { "good" } else { "bad" }
        ));
    }
    one_version(kept, nodes, &build, done)
}

/// All nodes run one version: the change where it is done, another where it is not.
fn one_version(kept: &SupervisedFleet, nodes: usize, build: &Path, done: bool) -> Result<(), String> {
    let since = Instant::now();
    let wanted = spurdrum_rollout::version::Hash::of_file(build).map_err(|error| error.to_string())?;
    loop {
        let runs: Vec<String> = (0..nodes).map(|node| runs(kept, node).unwrap_or_default()).collect();
        let one = runs.iter().all(|version| *version == runs[0]) && !runs[0].is_empty();
        if one && (runs[0] == wanted.text()) == done {
            return Ok(());
        }
        if since.elapsed() > SETTLES {
            return Err(format!("nodes run {runs:?}, the change is {}", wanted.text()));
        }
        std::thread::sleep(Duration::from_millis(200));
    }
}

/// The program that a node's keeper says it runs.
fn runs(kept: &SupervisedFleet, node: usize) -> Option<String> {
    let status = kept.status(node)?;
    let settled = status["busy"].is_null() && status["ready"] == true;
    status["runs"]["program"].as_str().filter(|_| settled).map(str::to_owned)
}
