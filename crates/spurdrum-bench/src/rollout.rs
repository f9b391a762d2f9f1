//! A hundred nodes with keepers, changed in stages.

use std::path::Path;
use std::time::Duration;

use spurdrum_fleet::history::{End, History};
use spurdrum_fleet::kept::{impossible_deadlines, play as played, SupervisedFleet};
use spurdrum_fleet::run::Options;
use spurdrum_fleet::scenario::Scenario;
use spurdrum_fleet::verdict;
use spurdrum_harness::program;

/// One node, a twentieth, a quarter, all.
const STAGES: &str =
    "[[stage]]\nnodes = 1\nleast_s = 15\nmost_s = 120\n[[stage]]\nshare = 0.05\nleast_s = 10\nmost_s = 120\n\
    [[stage]]\nshare = 0.25\nleast_s = 10\nmost_s = 120\n[[stage]]\nshare = 1.0\nleast_s = 10\nmost_s = 120\n\
    [judge]\nleast_requests = 100\nsettle_s = 2.0\n";
const TIMES: &str =
    "before_s = 15\nclaims_s = 5\nat_once = 4\nback_at_once = 16\ntrouble_s = 20\nunjudged = 'stop'\n";
/// All at once, whatever comes of it.
const AT_ONCE: &str =
    "[[stage]]\nshare = 1.0\nleast_s = 600\nmost_s = 600\n[judge]\nfalse_stops = 0.000001\nfailed = 1.0\n\
    refused = 1.0\nslow = 1.0\nattempts = 1.0\ndown = 1.0\ntrouble = 1.0\n";
const AT_ONCE_TIMES: &str = "before_s = 1\nclaims_s = 5\nback_at_once = 1000\nfailures = 1000\nat_once = ";
/// Somebody sees after so long that all is bad, and sends the old one.
const SEES: Duration = Duration::from_secs(20);
const LONG: Duration = Duration::from_secs(600);
/// What is begun just before a rollout is over ends in this time.
const REST: Duration = Duration::from_secs(3);

const SOUND: &str = "exec {program} \"$@\"";
/// A build that takes settings as the sound one does.
const CHECKED: &str = "if [ \"$1\" = check ]; then exec {program} \"$@\"; fi\n";

/// A change: its build, what is done to the settings, and how it is put in force.
struct Change {
    name: &'static str,
    script: String,
    settings: fn(String) -> String,
    how: &'static str,
}

/// What a change did, in seconds of the run.
struct Did {
    name: String,
    from: f64,
    /// The first node ran it.
    began: f64,
    /// It was decided to go back; or it was done.
    stopped: f64,
    to: f64,
    reached: usize,
    said: String,
}

fn changes() -> Vec<Change> {
    let settings = |name, settings| Change {
        name,
        // The build that the good change has left.
        script: format!("# another\n{SOUND}"),
        settings,
        how: "reload",
    };
    let build = |name, script: String| Change { name, script, settings: |text| text, how: "replace" };
    let elsewhere = "sed 's/^listen = .*/listen = \"127.0.0.1:0\"/' \"$2\" > \"$2.elsewhere\"\n\
                     exec {program} --config \"$2.elsewhere\" --ops \"$4\"";
    vec![
        build("a good build", format!("# another\n{SOUND}")),
        settings("settings with a deadline of 5 ms", impossible_deadlines),
        settings("settings with two servers of forty", |text| keep_servers(&text, 2)),
        build("a build that ends after 20 s", format!("{CHECKED}exec timeout -s KILL 20 {{program}} \"$@\"")),
        build("a build that is ready and listens elsewhere", format!("{CHECKED}{elsewhere}")),
        build(
            "a build that is never ready",
            "if [ \"$1\" = check ]; then exit 0; fi\nexec sleep 600".to_owned(),
        ),
    ]
}

/// The list with its first servers only.
fn keep_servers(text: &str, most: usize) -> String {
    let mut n = 0;
    let stays = |line: &&str| {
        let is_server = line.starts_with("{ id");
        n += usize::from(is_server);
        !is_server || n <= most
    };
    text.lines().filter(stays).collect::<Vec<_>>().join("\n")
}

/// Plays them one after another, and shows a table.
pub fn play(nodes: usize, seed: u64) -> Result<(), String> {
    let scenario = format!(
        "seed = {seed}\nfor_s = 7200\nnodes = {nodes}\nload = 0.6\nsigma = 0.8\nslack_s = 0.5\n\
         [[servers]]\nname = 's'\ncount = 40\ncores = 2\nslots = 2\nqueue = 1000\nwork_ms = 40\nwork = 'exponential'\n\
         [[server_fault]]\non = 's9'\nkind = 'die'\nat_s = 60\nfor_s = 20\n"
    );
    let options = Options::new(program()?);
    let (history, did) = played(&Scenario::parse(&scenario)?, &options, |kept| {
        let mut did = Vec::new();
        for (n, change) in changes().into_iter().enumerate() {
            println!("{}", change.name);
            let name = if change.how == "reload" { "build0".to_owned() } else { format!("build{n}") };
            let build = kept.build(&name, &change.script)?;
            let settings = kept.settings(&format!("settings{n}"), change.settings)?;
            did.push(staged(kept, &change, (&build, &settings), nodes)?);
            if n > 0 {
                did.push(at_once(kept, &change, (&build, &settings), nodes)?);
            }
        }
        Ok(did)
    })?;
    table(&history, &did, nodes);
    // What a node that is killed, or listens elsewhere, leaves unanswered is what is measured.
    println!("requests for which a rule was broken: {}", verdict::judge(&history).len());
    Ok(())
}

fn staged(
    kept: &mut SupervisedFleet,
    change: &Change,
    files: (&Path, &Path),
    nodes: usize,
) -> Result<Did, String> {
    let plan = kept.plan(files.0, files.1, change.how, TIMES, STAGES)?;
    let from = kept.elapsed_s();
    let mut conductor = kept.start_rollout(&plan)?;
    let (mut began, mut stopped, mut reached) = (f64::NAN, f64::NAN, 0);
    let done = conductor.follow(LONG, |line| {
        println!("  {line}");
        if line.contains("runs the change") && began.is_nan() {
            began = kept.elapsed_s();
        }
        if line.contains("going back: ") && stopped.is_nan() {
            stopped = kept.elapsed_s();
        }
        let changed = line.split_once(&format!(" of {nodes} changed"));
        let changed = changed.and_then(|(line, _)| line.rsplit(' ').next()?.parse().ok());
        reached = reached.max(changed.unwrap_or(0));
    })?;
    let said = conductor.output().lines().last().unwrap_or_default().to_owned();
    if done {
        stopped = kept.elapsed_s();
    }
    std::thread::sleep(REST);
    Ok(Did { name: change.name.to_owned(), from, began, stopped, to: kept.elapsed_s(), reached, said })
}

fn at_once(
    kept: &mut SupervisedFleet,
    change: &Change,
    files: (&Path, &Path),
    nodes: usize,
) -> Result<Did, String> {
    let times = format!("{AT_ONCE_TIMES}{nodes}\n");
    let plan = kept.plan(files.0, files.1, change.how, &times, AT_ONCE)?;
    let from = kept.elapsed_s();
    let mut conductor = kept.start_rollout(&plan)?;
    conductor.wait_for("stage 1 of 1", LONG)?;
    std::thread::sleep(SEES);
    let stopped = kept.elapsed_s();
    drop(conductor);
    let (_, said) = kept.start_rollback(&plan)?.wait_until_exit(LONG)?;
    std::thread::sleep(REST);
    let said = said.lines().last().unwrap_or_default().to_owned();
    let name = "to all at once, seen after 20 s".to_owned();
    Ok(Did { name, from, began: from, stopped, to: kept.elapsed_s(), reached: nodes, said })
}

fn table(history: &History, did: &[Did], nodes: usize) {
    println!(
        "| change | reached, of {nodes} | requests | not served | first harm to the stop, s | to the end, s | seconds in all | it said |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for did in did {
        let within = history.requests.iter().filter(|asked| (did.from..did.to).contains(&asked.due));
        let (within, harmed): (Vec<_>, Vec<_>) = within.partition(|asked| asked.end == End::Served);
        let all = within.len() + harmed.len();
        let first = harmed.iter().map(|asked| asked.due).find(|due| *due >= did.began);
        let seconds = |to: f64| first.map_or_else(|| "none".to_owned(), |first| format!("{:.1}", to - first));
        println!(
            "| {} | {} | {all} | {} ({:.3} %) | {} | {} | {:.0} | {} |",
            did.name,
            did.reached,
            harmed.len(),
            100.0 * harmed.len() as f64 / all.max(1) as f64,
            seconds(did.stopped),
            seconds(did.to),
            did.to - did.from,
            did.said
        );
    }
}
