//! Rollouts with real processes: rollout controllers, supervisors and eight nodes under load, with faults between them.

use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use spurdrum_fleet::history::{End, History};
use spurdrum_fleet::kept::{impossible_deadlines, play, SupervisedFleet};
use spurdrum_fleet::run::Options;
use spurdrum_fleet::scenario::{Kind, Scenario};
use spurdrum_fleet::verdict;

/// Held while a fleet runs: two cores are enough for only one at a time.
static ONE_FLEET: Mutex<()> = Mutex::new(());

const FLEET: &str = "seed = 3\nfor_s = 600\nnodes = 8\nload = 0.4\nsigma = 0.3\nslack_s = 2\nwindow_ms = 4000\n\
    [[servers]]\nname = 's'\ncount = 6\ncores = 2\nslots = 2\nqueue = 200\nwork_ms = 20\nwork = 'exponential'\n\
    [[class]]\nname = 'update'\nshare = 1.0\neffect = 'keyed'\naim_s = 0.4\ndeadline_s = 3.0\nbytes = [200, 200]\n";

/// Stages of one node, then three, then all; with times in seconds where production has minutes.
const STAGES: &str =
    "[[stage]]\nnodes = 1\nleast_s = 2\nmost_s = 60\n[[stage]]\nnodes = 3\nleast_s = 1\nmost_s = 60\n\
    [[stage]]\nshare = 1.0\nleast_s = 1\nmost_s = 60\n[judge]\nleast_requests = 30\nsettle_s = 1.0\n";

/// Further keys of `[rollout]`.
const TIMES: &str = "before_s = 3\nclaims_s = 3\n";

/// Time limit for each step that a test waits for.
const LONG: Duration = Duration::from_secs(90);

/// Runs a fleet under load while `script` controls the rollouts, and asserts that no rule is broken.
fn rollout<T>(script: impl FnOnce(&mut SupervisedFleet) -> Result<T, String>) -> (History, T) {
    let _one_fleet = ONE_FLEET.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let program = spurdrum_harness::program().expect("the program is built");
    let options = Options::new(program);
    let scenario = Scenario::parse(FLEET).expect("sound");
    let result = play(&scenario, &options, script).unwrap_or_else(|why| panic!("{why}"));
    let violations: Vec<String> = verdict::judge(&result.0).iter().map(ToString::to_string).collect();
    assert!(
        violations.is_empty(),
        "{} of {} requests: {violations:#?}",
        violations.len(),
        result.0.requests.len()
    );
    result
}

/// Returns the fraction of the requests that ended this way.
fn part(history: &History, end: End) -> f64 {
    let count = history.requests.iter().filter(|request| request.end == end).count();
    count as f64 / history.requests.len().max(1) as f64
}

/// Writes a plan with the stages of these tests.
fn plan(
    fleet: &mut SupervisedFleet,
    program: &Path,
    settings: &Path,
    how: &str,
) -> Result<std::path::PathBuf, String> {
    fleet.plan(program, settings, how, TIMES, STAGES)
}

/// Waits until each node's supervisor reports that the node runs this program, and that no step is in progress.
fn all_run(fleet: &SupervisedFleet, hash: &str) -> Result<(), String> {
    let since = Instant::now();
    for node in 0..fleet.nodes.len() {
        loop {
            let status = fleet.status(node).unwrap_or_default();
            if status["runs"]["program"] == hash && status["busy"].is_null() {
                break;
            }
            if since.elapsed() > Duration::from_secs(30) {
                return Err(format!("n{node} does not run {hash}: {status}"));
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }
    Ok(())
}

/// Returns the SHA-256 of a file as supervisors report it.
fn hash(path: &Path) -> String {
    let bytes = std::fs::read(path).expect("there");
    spurdrum_rollout::version::Hash::of(&bytes).text().to_owned()
}

/// A good build reaches all nodes although the rollout controller is killed and replaced by another, a supervisor is killed in the
/// middle of a step, and half of the supervisors are unreachable for a while. Clients must not notice any of it.
#[test]
fn a_good_change_reaches_all_nodes_although_processes_are_killed_on_the_way() {
    let (history, ()) = rollout(|fleet| {
        let good = fleet.build("good", "# another text\nexec {program} \"$@\"")?;
        let settings = fleet.settings("same", |text| text)?;
        let plan = plan(fleet, &good, &settings, "replace")?;
        let mut first = fleet.start_rollout(&plan)?;
        first.wait_for("stage 1: all changed", LONG)?;
        drop(first);
        // Another controller continues from the actual state of the nodes.
        let mut second = fleet.start_rollout(&plan)?;
        second.wait_for("1 nodes run the change already", LONG)?;
        second.wait_for("stage 2 of 3", LONG)?;
        fleet.kill_supervisor(1);
        std::thread::sleep(Duration::from_millis(300));
        fleet.start_supervisor(1)?;
        second.wait_for("stage 3 of 3", LONG)?;
        fleet.set_link_fault(0..4, Kind::Stall, true);
        std::thread::sleep(Duration::from_secs(3));
        fleet.set_link_fault(0..4, Kind::Stall, false);
        let (done, output) = second.wait_until_exit(LONG)?;
        if !done {
            return Err(output);
        }
        all_run(fleet, &hash(&good))
    });
    let (failed, broken) = (part(&history, End::Failed), part(&history, End::Broken));
    assert!(part(&history, End::Served) > 0.99, "{failed} {broken}");
    assert_eq!(part(&history, End::Unreached), 0.0, "a client could not reach any node");
}

/// Several kinds of bad changes, one after another on the same fleet: each must be stopped and rolled back.
#[test]
fn bad_changes_are_stopped_and_taken_back() {
    let (history, ()) = rollout(|fleet| {
        let first = fleet.build("first", "exec {program} \"$@\"")?;
        let same = fleet.settings("same", |text| text)?;
        let old = hash(&first);
        let stopped = |fleet: &mut SupervisedFleet, program: &Path, settings: &Path, how: &str, why: &str| {
            let plan = plan(fleet, program, settings, how)?;
            let (done, output) = fleet.start_rollout(&plan)?.wait_until_exit(LONG)?;
            if done || !output.contains("taken back") || !output.contains(why) {
                return Err(format!("not stopped for `{why}`:\n{output}"));
            }
            all_run(fleet, &old)
        };
        // Invalid settings: every node rejects them in the check, so no node is changed.
        let wrong = fleet.settings("wrong", |text| text + "\n[unknown]\nkey = 1\n")?;
        stopped(fleet, &first, &wrong, "reload", "turns the settings down")?;
        // Valid but harmful settings: no server can answer within 5 ms.
        let impossible_deadlines = fleet.settings("hasty", impossible_deadlines)?;
        stopped(fleet, &first, &impossible_deadlines, "reload", "at changed nodes")?;
        stopped(fleet, &first, &impossible_deadlines, "replace", "at changed nodes")?;
        // A build that crashes after a while.
        let crashes =
            "if [ \"$1\" = check ]; then exec {program} \"$@\"; fi\nexec timeout -s KILL 2 {program} \"$@\"";
        let crashes = fleet.build("crashes", crashes)?;
        // The nodes of the first stages may run the crashing build, and a killed node cannot answer.
        (0..3).for_each(|node| fleet.allow_unanswered(node, 40.0));
        stopped(fleet, &crashes, &same, "replace", "")?;
        // A build that never becomes ready.
        let mute = "if [ \"$1\" = check ]; then exit 0; fi\nexec sleep 600";
        let mute = fleet.build("mute", mute)?;
        stopped(fleet, &mute, &same, "replace", "")
    });
    // One node of eight served its clients badly for some seconds.
    assert!(part(&history, End::Served) > 0.9, "{}", part(&history, End::Served));
}

/// Two concurrent changes with one controller suspended for a while, a supervisor whose disk rejects writes, and a rollback whose
/// old build is missing from the disk.
#[test]
fn only_one_controller_is_active_and_no_step_begins_without_its_record_on_disk() {
    rollout(|fleet| {
        let same = fleet.settings("same", |text| text)?;
        let (one, two) =
            (fleet.build("one", "exec {program} \"$@\"")?, fleet.build("two", "exec {program} \"$@\"")?);
        let plan_one = plan(fleet, &one, &same, "replace")?;
        let plan_two = plan(fleet, &two, &same, "replace")?;
        let mut first = fleet.start_rollout(&plan_one)?;
        first.wait_for("stage 1: all changed", LONG)?;
        first.set_paused(true);
        let mut second = fleet.start_rollout(&plan_two)?;
        second.wait_for("stage 1: all changed", LONG)?;
        first.set_paused(false);
        let (done, output) = first.wait_until_exit(LONG)?;
        if done || !output.contains("another conductor directs") {
            return Err(output);
        }
        let (done, output) = second.wait_until_exit(LONG)?;
        if !done {
            return Err(output);
        }
        all_run(fleet, &hash(&two))?;
        // Simulates a disk that rejects writes: a folder takes the place of the file for the new record.
        let record =
            |fleet: &SupervisedFleet, turn: usize| fleet.folder(0).join(format!("record.{turn}.new"));
        for turn in 0..2 {
            std::fs::create_dir_all(record(fleet, turn)).map_err(|error| error.to_string())?;
        }
        let plan_one = plan(fleet, &one, &same, "replace")?;
        let mut third = fleet.start_rollout(&plan_one)?;
        // The supervisor does not even accept the claim: the node counts as unreachable, and no step begins.
        std::thread::sleep(Duration::from_secs(8));
        if third.output().contains("runs the change") {
            return Err(third.output());
        }
        for turn in 0..2 {
            std::fs::remove_dir_all(record(fleet, turn)).map_err(|error| error.to_string())?;
        }
        third.wait_for("stage 1: all changed", LONG)?;
        // The build to roll back to is deleted from the node's disk.
        let lost = fleet.folder(0).join("programs").join(hash(&two));
        std::fs::remove_file(lost).map_err(|error| error.to_string())?;
        drop(third);
        let text = std::fs::read_to_string(&plan_one).map_err(|error| error.to_string())?;
        let text = text.replace("[change]", "back_s = 4\n[change]");
        std::fs::write(&plan_one, text).map_err(|error| error.to_string())?;
        let mut back = fleet.start_rollback(&plan_one)?;
        let (done, output) = back.wait_until_exit(LONG)?;
        match !done && output.contains("is not here any more") && output.contains("not known to be back: n0")
        {
            true => Ok(()),
            false => Err(output),
        }
    });
}
