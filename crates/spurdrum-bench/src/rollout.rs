//! The `rollout` command: a fleet of nodes with supervisors, changed in stages, by good and bad changes.

use std::path::Path;
use std::time::Duration;

use spurdrum_fleet::history::{End, History};
use spurdrum_fleet::kept::{impossible_deadlines, play as run_scenario, SupervisedFleet};
use spurdrum_fleet::run::Options;
use spurdrum_fleet::scenario::Scenario;
use spurdrum_fleet::verdict;
use spurdrum_harness::program;

/// The stages: one node, 5 %, 25 %, all nodes.
const STAGES: &str =
    "[[stage]]\nnodes = 1\nleast_s = 15\nmost_s = 120\n[[stage]]\nshare = 0.05\nleast_s = 10\nmost_s = 120\n\
    [[stage]]\nshare = 0.25\nleast_s = 10\nmost_s = 120\n[[stage]]\nshare = 1.0\nleast_s = 10\nmost_s = 120\n\
    [judge]\nleast_requests = 100\nsettle_s = 2.0\n";
const TIMES: &str =
    "before_s = 15\nclaims_s = 5\nat_once = 4\nback_at_once = 16\ntrouble_s = 20\nunjudged = 'stop'\n";
/// A single stage of all nodes, with thresholds that never stop the rollout.
const AT_ONCE: &str =
    "[[stage]]\nshare = 1.0\nleast_s = 600\nmost_s = 600\n[judge]\nfalse_stops = 0.000001\nfailed = 1.0\n\
    refused = 1.0\nslow = 1.0\nattempts = 1.0\ndown = 1.0\ntrouble = 1.0\n";
const AT_ONCE_TIMES: &str = "before_s = 1\nclaims_s = 5\nback_at_once = 1000\nfailures = 1000\nat_once = ";
/// The time after which an operator is assumed to notice a bad change to all nodes and to roll it back by hand.
const OPERATOR_REACTION: Duration = Duration::from_secs(20);
/// The upper bound on the duration of one rollout or rollback.
const MAX_ROLLOUT_DURATION: Duration = Duration::from_secs(600);
/// The pause after a rollout, in which requests that started just before its end finish.
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// The start script of a build that works.
const WORKING_BUILD: &str = "exec {program} \"$@\"";
/// The start of the script of a build that accepts settings in `check` as the working one does.
const CHECK_PASSES: &str = "if [ \"$1\" = check ]; then exec {program} \"$@\"; fi\n";

/// A change: the start script of its build, the edit of the settings, and the method by which the supervisor
/// applies it.
struct Change {
    name: &'static str,
    script: String,
    settings: fn(String) -> String,
    method: &'static str,
}

/// The result of a rollout; its times are in seconds since the start of the run.
struct RolloutResult {
    name: String,
    start_s: f64,
    /// When the first node ran the change.
    first_changed_s: f64,
    /// When the rollback was decided, or the rollout completed.
    stopped_s: f64,
    end_s: f64,
    /// The number of nodes that ran the change.
    reached: usize,
    last_line: String,
}

/// Returns the changes in the order in which they are rolled out; only the first is good.
fn changes() -> Vec<Change> {
    let settings = |name, settings| Change {
        name,
        // The build that the good change has installed.
        script: format!("# another\n{WORKING_BUILD}"),
        settings,
        method: "reload",
    };
    let build = |name, script: String| Change { name, script, settings: |text| text, method: "replace" };
    let elsewhere = "sed 's/^listen = .*/listen = \"127.0.0.1:0\"/' \"$2\" > \"$2.elsewhere\"\n\
                     exec {program} --config \"$2.elsewhere\" --ops \"$4\"";
    vec![
        build("a good build", format!("# another\n{WORKING_BUILD}")),
        settings("settings with a deadline of 5 ms", impossible_deadlines),
        settings("settings with two servers of forty", |text| keep_servers(&text, 2)),
        build(
            "a build that ends after 20 s",
            format!("{CHECK_PASSES}exec timeout -s KILL 20 {{program}} \"$@\""),
        ),
        build("a build that is ready and listens elsewhere", format!("{CHECK_PASSES}{elsewhere}")),
        build(
            "a build that is never ready",
            "if [ \"$1\" = check ]; then exit 0; fi\nexec sleep 600".to_owned(),
        ),
    ]
}

/// Returns the settings with only the first `max` servers of the list.
fn keep_servers(text: &str, max: usize) -> String {
    let mut count = 0;
    let is_kept = |line: &&str| {
        let is_server = line.starts_with("{ id");
        count += usize::from(is_server);
        !is_server || count <= max
    };
    text.lines().filter(is_kept).collect::<Vec<_>>().join("\n")
}

/// Rolls out all changes one after another, each also to all nodes at once except the first, and prints a
/// table.
pub fn run(nodes: usize, seed: u64) -> Result<(), String> {
    let scenario = format!(
        "seed = {seed}\nfor_s = 7200\nnodes = {nodes}\nload = 0.6\nsigma = 0.8\nslack_s = 0.5\n\
         [[servers]]\nname = 's'\ncount = 40\ncores = 2\nslots = 2\nqueue = 1000\nwork_ms = 40\nwork = 'exponential'\n\
         [[server_fault]]\non = 's9'\nkind = 'die'\nat_s = 60\nfor_s = 20\n"
    );
    let options = Options::new(program()?);
    let (history, results) = run_scenario(&Scenario::parse(&scenario)?, &options, |fleet| {
        let mut results = Vec::new();
        for (index, change) in changes().into_iter().enumerate() {
            println!("{}", change.name);
            let name = if change.method == "reload" { "build0".to_owned() } else { format!("build{index}") };
            let build = fleet.build(&name, &change.script)?;
            let settings = fleet.settings(&format!("settings{index}"), change.settings)?;
            results.push(roll_out_in_stages(fleet, &change, (&build, &settings), nodes)?);
            if index > 0 {
                results.push(roll_out_at_once(fleet, &change, (&build, &settings), nodes)?);
            }
        }
        Ok(results)
    })?;
    print_table(&history, &results, nodes);
    // Not an error: the requests that nodes leave unanswered when they are killed or listen elsewhere are
    // what is measured.
    println!("requests for which a rule was broken: {}", verdict::judge(&history).len());
    Ok(())
}

/// Rolls a change out in stages and waits until the rollout completes or is rolled back.
fn roll_out_in_stages(
    fleet: &mut SupervisedFleet,
    change: &Change,
    files: (&Path, &Path),
    nodes: usize,
) -> Result<RolloutResult, String> {
    let plan = fleet.plan(files.0, files.1, change.method, TIMES, STAGES)?;
    let start_s = fleet.elapsed_s();
    let mut controller = fleet.start_rollout(&plan)?;
    let (mut first_changed_s, mut stopped_s, mut reached) = (f64::NAN, f64::NAN, 0);
    let done = controller.follow(MAX_ROLLOUT_DURATION, |line| {
        println!("  {line}");
        if line.contains("runs the change") && first_changed_s.is_nan() {
            first_changed_s = fleet.elapsed_s();
        }
        if line.contains("going back: ") && stopped_s.is_nan() {
            stopped_s = fleet.elapsed_s();
        }
        let changed = line.split_once(&format!(" of {nodes} changed"));
        let changed = changed.and_then(|(line, _)| line.rsplit(' ').next()?.parse().ok());
        reached = reached.max(changed.unwrap_or(0));
    })?;
    let last_line = controller.output().lines().last().unwrap_or_default().to_owned();
    if done {
        stopped_s = fleet.elapsed_s();
    }
    std::thread::sleep(SETTLING_TIME);
    Ok(RolloutResult {
        name: change.name.to_owned(),
        start_s,
        first_changed_s,
        stopped_s,
        end_s: fleet.elapsed_s(),
        reached,
        last_line,
    })
}

/// Rolls a change out to all nodes at once and rolls it back after the time in which an operator notices.
fn roll_out_at_once(
    fleet: &mut SupervisedFleet,
    change: &Change,
    files: (&Path, &Path),
    nodes: usize,
) -> Result<RolloutResult, String> {
    let times = format!("{AT_ONCE_TIMES}{nodes}\n");
    let plan = fleet.plan(files.0, files.1, change.method, &times, AT_ONCE)?;
    let start_s = fleet.elapsed_s();
    let mut controller = fleet.start_rollout(&plan)?;
    controller.wait_for("stage 1 of 1", MAX_ROLLOUT_DURATION)?;
    std::thread::sleep(OPERATOR_REACTION);
    let stopped_s = fleet.elapsed_s();
    drop(controller);
    let (_, output) = fleet.start_rollback(&plan)?.wait_until_exit(MAX_ROLLOUT_DURATION)?;
    std::thread::sleep(SETTLING_TIME);
    let last_line = output.lines().last().unwrap_or_default().to_owned();
    let name = "to all at once, seen after 20 s".to_owned();
    Ok(RolloutResult {
        name,
        start_s,
        first_changed_s: start_s,
        stopped_s,
        end_s: fleet.elapsed_s(),
        reached: nodes,
        last_line,
    })
}

fn print_table(history: &History, results: &[RolloutResult], nodes: usize) {
    println!(
        "| change | reached, of {nodes} | requests | not served | first harm to the stop, s | to the end, s | seconds in all | it said |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for result in results {
        let requests =
            history.requests.iter().filter(|request| (result.start_s..result.end_s).contains(&request.due));
        let (served, not_served): (Vec<_>, Vec<_>) = requests.partition(|request| request.end == End::Served);
        let total = served.len() + not_served.len();
        let first_harm =
            not_served.iter().map(|request| request.due).find(|due| *due >= result.first_changed_s);
        let seconds =
            |to: f64| first_harm.map_or_else(|| "none".to_owned(), |first| format!("{:.1}", to - first));
        println!(
            "| {} | {} | {total} | {} ({:.3} %) | {} | {} | {:.0} | {} |",
            result.name,
            result.reached,
            not_served.len(),
            100.0 * not_served.len() as f64 / total.max(1) as f64,
            seconds(result.stopped_s),
            seconds(result.end_s),
            result.end_s - result.start_s,
            result.last_line
        );
    }
}
