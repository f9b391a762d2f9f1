//! Shared by the rig's tests: runs one fleet at a time and checks the rules.

use std::sync::Mutex;

use spurdrum_fleet::history::History;
use spurdrum_fleet::run::{run, Options};
use spurdrum_fleet::scenario::Scenario;
use spurdrum_fleet::verdict;

/// Held while a fleet runs: two cores are enough for only one at a time.
pub static ONE_FLEET: Mutex<()> = Mutex::new(());

pub fn options() -> Options {
    let program = spurdrum_harness::program().expect("the program is built");
    Options::new(program)
}

/// Runs a scenario, asserts that no rule is broken, and returns the history.
pub fn run_checked(scenario: &Scenario) -> History {
    let _one_fleet = ONE_FLEET.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let history = run(scenario, &options()).expect("the scenario runs");
    let violations: Vec<String> = verdict::judge(&history).iter().map(ToString::to_string).collect();
    assert!(
        violations.is_empty(),
        "{} of {} requests: {violations:#?}",
        violations.len(),
        history.requests.len()
    );
    assert!(history.requests.len() > 500 && history.unlogged_attempts == 0, "{}", history.requests.len());
    history
}
