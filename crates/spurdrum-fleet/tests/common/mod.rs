//! What the rig's tests share: one fleet at a time, played and judged.

use std::sync::Mutex;

use spurdrum_fleet::history::History;
use spurdrum_fleet::run::{run, Options};
use spurdrum_fleet::scenario::Scenario;
use spurdrum_fleet::verdict;

/// One fleet at a time: two cores are enough for one.
pub static ALONE: Mutex<()> = Mutex::new(());

pub fn options() -> Options {
    let program = spurdrum_harness::program().expect("the program is built");
    Options::new(program)
}

/// Plays it; no rule may be broken, whatever happened.
pub fn kept(scenario: &Scenario) -> History {
    let _alone = ALONE.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let history = run(scenario, &options()).expect("plays");
    let broken: Vec<String> = verdict::judge(&history).iter().map(ToString::to_string).collect();
    assert!(broken.is_empty(), "{} of {} requests: {broken:#?}", broken.len(), history.requests.len());
    assert!(history.requests.len() > 500 && history.unlogged_attempts == 0, "{}", history.requests.len());
    history
}
