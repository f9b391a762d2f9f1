//! The `rollout` command: staged rollouts to six nodes, first of a good change and then of a bad one.

use std::time::Duration;

use spurdrum_fleet::history::End;
use spurdrum_fleet::kept::{impossible_deadlines, play as run_scenario, SupervisedFleet};
use spurdrum_fleet::run::Options;
use spurdrum_fleet::scenario::Scenario;

const FLEET: &str = r#"
for_s = 600
nodes = 6
load = 0.4
sigma = 0.3

[[servers]]
name = "s"
count = 4
cores = 2
slots = 2
queue = 200
work_ms = 20
work = "exponential"
"#;

const PLAN: &str = r#"
[[stage]]
nodes = 1
least_s = 4
most_s = 60

[[stage]]
share = 0.5
least_s = 2
most_s = 60

[[stage]]
share = 1.0
least_s = 2
most_s = 60

[judge]
least_requests = 50
settle_s = 1.0
"#;

/// The upper bound on the duration of one rollout.
const MAX_ROLLOUT_DURATION: Duration = Duration::from_secs(55);

/// Rolls out a new build that is as good as the old one, then settings that fail requests, and prints how
/// many requests were not served during each rollout.
pub fn run_demo() -> Result<(), String> {
    let program = spurdrum_harness::program()?;
    let options = Options::new(program);
    println!("six nodes with a supervisor each, in front of four servers, under load");
    let (history, (bad_start_s, bad_end_s)) = run_scenario(&Scenario::parse(FLEET)?, &options, |fleet| {
        println!("\nrolling out a new build that is as good as the old one:\n");
        let good_build = fleet.build("good", "exec {program} \"$@\"")?;
        let unchanged_settings = fleet.settings("same", |text| text)?;
        roll_out(fleet, &good_build, &unchanged_settings, "replace")?;
        println!("\nrolling out new settings that are valid but harmful (a deadline of 5 ms):\n");
        let bad_start_s = fleet.elapsed_s();
        let bad_settings = fleet.settings("bad", impossible_deadlines)?;
        roll_out(fleet, &good_build, &bad_settings, "reload")?;
        Ok((bad_start_s, fleet.elapsed_s()))
    })?;
    let not_served = |request: &&spurdrum_fleet::history::RequestRecord| request.end != End::Served;
    let (during_good, during_bad): (Vec<_>, Vec<_>) = history
        .requests
        .iter()
        .filter(|request| request.due < bad_end_s)
        .partition(|request| request.due < bad_start_s);
    println!(
        "\nrequests not served during the good rollout: {} of {}; during the bad one: {} of {}",
        during_good.iter().filter(|request| not_served(request)).count(),
        during_good.len(),
        during_bad.iter().filter(|request| not_served(request)).count(),
        during_bad.len()
    );
    Ok(())
}

/// Starts the rollout of a program and settings and prints its progress until it ends.
fn roll_out(
    fleet: &mut SupervisedFleet,
    program: &std::path::Path,
    settings: &std::path::Path,
    method: &str,
) -> Result<(), String> {
    let plan = fleet.plan(program, settings, method, "before_s = 5\nclaims_s = 3", PLAN)?;
    fleet.start_rollout(&plan)?.follow(MAX_ROLLOUT_DURATION, |line| println!("  {line}")).map(drop)
}
