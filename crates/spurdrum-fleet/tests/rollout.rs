//! Rollouts by real processes: conductors, keepers and a dozen nodes under load, with faults between them.

use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use spurdrum_fleet::history::{End, History};
use spurdrum_fleet::kept::{impossible_deadlines, play, SupervisedFleet};
use spurdrum_fleet::run::Options;
use spurdrum_fleet::scenario::{Kind, Scenario};
use spurdrum_fleet::verdict;

/// One fleet at a time: two cores are enough for one.
static ALONE: Mutex<()> = Mutex::new(());

const FLEET: &str = "seed = 3\nfor_s = 600\nnodes = 8\nload = 0.4\nsigma = 0.3\nslack_s = 2\nwindow_ms = 4000\n\
    [[servers]]\nname = 's'\ncount = 6\ncores = 2\nslots = 2\nqueue = 200\nwork_ms = 20\nwork = 'exponential'\n\
    [[class]]\nname = 'update'\nshare = 1.0\neffect = 'keyed'\naim_s = 0.4\ndeadline_s = 3.0\nbytes = [200, 200]\n";

/// One node, then three, then all; seconds in place of minutes.
const STAGES: &str =
    "[[stage]]\nnodes = 1\nleast_s = 2\nmost_s = 60\n[[stage]]\nnodes = 3\nleast_s = 1\nmost_s = 60\n\
    [[stage]]\nshare = 1.0\nleast_s = 1\nmost_s = 60\n[judge]\nleast_requests = 30\nsettle_s = 1.0\n";

const TIMES: &str = "before_s = 3\nclaims_s = 3\n";

const LONG: Duration = Duration::from_secs(90);

fn rollout<T>(script: impl FnOnce(&mut SupervisedFleet) -> Result<T, String>) -> (History, T) {
    let _alone = ALONE.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let program = spurdrum_harness::program().expect("the program is built");
    let options = Options::new(program);
    let scenario = Scenario::parse(FLEET).expect("sound");
    let played = play(&scenario, &options, script).unwrap_or_else(|why| panic!("{why}"));
    let broken: Vec<String> = verdict::judge(&played.0).iter().map(ToString::to_string).collect();
    assert!(broken.is_empty(), "{} of {} requests: {broken:#?}", broken.len(), played.0.requests.len());
    played
}

fn part(history: &History, end: End) -> f64 {
    let of = history.requests.iter().filter(|asked| asked.end == end).count();
    of as f64 / history.requests.len().max(1) as f64
}

/// A plan whose stages are the usual ones.
fn plan(
    kept: &mut SupervisedFleet,
    program: &Path,
    settings: &Path,
    how: &str,
) -> Result<std::path::PathBuf, String> {
    kept.plan(program, settings, how, TIMES, STAGES)
}

/// Waits until each node's keeper says that this runs, and that it is at no step.
fn all_run(kept: &SupervisedFleet, what: &str) -> Result<(), String> {
    let since = Instant::now();
    for me in 0..kept.nodes.len() {
        loop {
            let said = kept.status(me).unwrap_or_default();
            if said["runs"]["program"] == what && said["busy"].is_null() {
                break;
            }
            if since.elapsed() > Duration::from_secs(30) {
                return Err(format!("n{me} does not run {what}: {said}"));
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }
    Ok(())
}

fn hash(path: &Path) -> String {
    let bytes = std::fs::read(path).expect("there");
    spurdrum_rollout::version::Hash::of(&bytes).text().to_owned()
}

/// A sound build reaches all while its conductor dies and is followed by another, a keeper dies in the middle of a step, and half
/// of the keepers cannot be reached for a while. Nobody notices.
#[test]
fn a_good_change_reaches_all_whoever_dies_on_the_way() {
    let (history, ()) = rollout(|kept| {
        let good = kept.build("good", "# another text\nexec {program} \"$@\"")?;
        let settings = kept.settings("same", |text| text)?;
        let plan = plan(kept, &good, &settings, "replace")?;
        let mut first = kept.start_rollout(&plan)?;
        first.wait_for("stage 1: all changed", LONG)?;
        drop(first);
        // Another goes on from what is true.
        let mut second = kept.start_rollout(&plan)?;
        second.wait_for("1 nodes run the change already", LONG)?;
        second.wait_for("stage 2 of 3", LONG)?;
        kept.kill_supervisor(1);
        std::thread::sleep(Duration::from_millis(300));
        kept.start_supervisor(1)?;
        second.wait_for("stage 3 of 3", LONG)?;
        kept.set_link_fault(0..4, Kind::Stall, true);
        std::thread::sleep(Duration::from_secs(3));
        kept.set_link_fault(0..4, Kind::Stall, false);
        let (done, said) = second.wait_until_exit(LONG)?;
        if !done {
            return Err(said);
        }
        all_run(kept, &hash(&good))
    });
    let (failed, broken) = (part(&history, End::Failed), part(&history, End::Broken));
    assert!(part(&history, End::Served) > 0.99, "{failed} {broken}");
    assert_eq!(part(&history, End::Unreached), 0.0, "somebody was turned back");
}

/// Changes that are bad in several ways, one after another on one fleet: each is stopped, and the fleet goes back.
#[test]
fn bad_changes_are_stopped_and_taken_back() {
    let (history, ()) = rollout(|kept| {
        let first = kept.build("first", "exec {program} \"$@\"")?;
        let same = kept.settings("same", |text| text)?;
        let old = hash(&first);
        let stopped = |kept: &mut SupervisedFleet, program: &Path, settings: &Path, how: &str, why: &str| {
            let plan = plan(kept, program, settings, how)?;
            let (done, said) = kept.start_rollout(&plan)?.wait_until_exit(LONG)?;
            if done || !said.contains("taken back") || !said.contains(why) {
                return Err(format!("not stopped for `{why}`:\n{said}"));
            }
            all_run(kept, &old)
        };
        // Legal for nobody: no node is touched.
        let wrong = kept.settings("wrong", |text| text + "\n[unknown]\nkey = 1\n")?;
        stopped(kept, &first, &wrong, "reload", "turns the settings down")?;
        // Legal, and bad: no server can answer in 5 ms.
        let impossible_deadlines = kept.settings("hasty", impossible_deadlines)?;
        stopped(kept, &first, &impossible_deadlines, "reload", "at changed nodes")?;
        stopped(kept, &first, &impossible_deadlines, "replace", "at changed nodes")?;
        // It ends by itself after a while.
        let crashes =
            "if [ \"$1\" = check ]; then exec {program} \"$@\"; fi\nexec timeout -s KILL 2 {program} \"$@\"";
        let crashes = kept.build("crashes", crashes)?;
        // Those of the first stages may have it, and one that is killed cannot answer.
        (0..3).for_each(|me| kept.allow_unanswered(me, 40.0));
        stopped(kept, &crashes, &same, "replace", "")?;
        // It never says that it can serve.
        let mute = "if [ \"$1\" = check ]; then exit 0; fi\nexec sleep 600";
        let mute = kept.build("mute", mute)?;
        stopped(kept, &mute, &same, "replace", "")
    });
    // What one node of eight did to its clients, for seconds.
    assert!(part(&history, End::Served) > 0.9, "{}", part(&history, End::Served));
}

/// Two changes at once, a conductor that was stopped for a while, a keeper whose disk takes nothing, an old build that is gone.
#[test]
fn only_one_conductor_directs_and_what_a_disk_refuses_is_not_begun() {
    rollout(|kept| {
        let same = kept.settings("same", |text| text)?;
        let (one, two) =
            (kept.build("one", "exec {program} \"$@\"")?, kept.build("two", "exec {program} \"$@\"")?);
        let plan_one = plan(kept, &one, &same, "replace")?;
        let plan_two = plan(kept, &two, &same, "replace")?;
        let mut first = kept.start_rollout(&plan_one)?;
        first.wait_for("stage 1: all changed", LONG)?;
        first.set_paused(true);
        let mut second = kept.start_rollout(&plan_two)?;
        second.wait_for("stage 1: all changed", LONG)?;
        first.set_paused(false);
        let (done, said) = first.wait_until_exit(LONG)?;
        if done || !said.contains("another conductor directs") {
            return Err(said);
        }
        let (done, said) = second.wait_until_exit(LONG)?;
        if !done {
            return Err(said);
        }
        all_run(kept, &hash(&two))?;
        // A disk that takes nothing: something is where the record is to be made.
        let record = |kept: &SupervisedFleet, turn: usize| kept.folder(0).join(format!("record.{turn}.new"));
        for turn in 0..2 {
            std::fs::create_dir_all(record(kept, turn)).map_err(|error| error.to_string())?;
        }
        let plan_one = plan(kept, &one, &same, "replace")?;
        let mut third = kept.start_rollout(&plan_one)?;
        // Not even the claim is taken: the node counts as out, and nothing is begun.
        std::thread::sleep(Duration::from_secs(8));
        if third.output().contains("runs the change") {
            return Err(third.output());
        }
        for turn in 0..2 {
            std::fs::remove_dir_all(record(kept, turn)).map_err(|error| error.to_string())?;
        }
        third.wait_for("stage 1: all changed", LONG)?;
        // What it is to go back to is gone from its disk.
        let lost = kept.folder(0).join("programs").join(hash(&two));
        std::fs::remove_file(lost).map_err(|error| error.to_string())?;
        drop(third);
        let text = std::fs::read_to_string(&plan_one).map_err(|error| error.to_string())?;
        let text = text.replace("[change]", "back_s = 4\n[change]");
        std::fs::write(&plan_one, text).map_err(|error| error.to_string())?;
        let mut back = kept.start_rollback(&plan_one)?;
        let (done, said) = back.wait_until_exit(LONG)?;
        match !done && said.contains("is not here any more") && said.contains("not known to be back: n0") {
            true => Ok(()),
            false => Err(said),
        }
    });
}
