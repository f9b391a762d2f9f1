//! A change of six nodes in stages.

use std::time::Duration;

use spurdrum_fleet::history::End;
use spurdrum_fleet::kept::{impossible_deadlines, play as played, SupervisedFleet};
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

/// A rollout takes no longer.
const MOST: Duration = Duration::from_secs(55);

/// Shows a good change and a bad one.
pub fn play() -> Result<(), String> {
    let program = spurdrum_harness::program()?;
    let options = Options::new(program);
    println!("six nodes with a keeper each, before four servers, under load");
    let (history, (from, to)) = played(&Scenario::parse(FLEET)?, &options, |kept| {
        println!("\na new build, as good as the old one:\n");
        let good = kept.build("good", "exec {program} \"$@\"")?;
        let same = kept.settings("same", |text| text)?;
        change(kept, &good, &same, "replace")?;
        println!("\nnew settings, legal and bad: a deadline of 5 ms:\n");
        let from = kept.elapsed_s();
        let bad = kept.settings("bad", impossible_deadlines)?;
        change(kept, &good, &bad, "reload")?;
        Ok((from, kept.elapsed_s()))
    })?;
    let bad = |asked: &&spurdrum_fleet::history::RequestRecord| asked.end != End::Served;
    let (before, after): (Vec<_>, Vec<_>) =
        history.requests.iter().filter(|asked| asked.due < to).partition(|asked| asked.due < from);
    println!(
        "\nwhile the good one was rolled out {} of {} requests were not served; while the bad one was, {} of {}",
        before.iter().filter(|asked| bad(asked)).count(),
        before.len(),
        after.iter().filter(|asked| bad(asked)).count(),
        after.len()
    );
    Ok(())
}

fn change(
    kept: &mut SupervisedFleet,
    program: &std::path::Path,
    settings: &std::path::Path,
    how: &str,
) -> Result<(), String> {
    let plan = kept.plan(program, settings, how, "before_s = 5\nclaims_s = 3", PLAN)?;
    kept.start_rollout(&plan)?.follow(MOST, |line| println!("  {line}")).map(drop)
}
