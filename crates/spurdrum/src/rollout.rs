//! The modes of the program that change a fleet: the conductor of a rollout, and the keeper of a node.

use std::path::{Path, PathBuf};
use std::rc::Rc;

use clap::Subcommand;
use spurdrum_rollout::conductor::{Outcome, Timer};
use spurdrum_rollout::orders::SupervisorRequest;
use spurdrum_rollout::plan::Plan;
use spurdrum_rollout::shell::{call, run_rollout, send_request, Progress, ProgressCallback};

use crate::log::{self, Format};
use crate::on_event_loop;

/// What may be done with a plan.
#[derive(Subcommand)]
pub enum What {
    /// Read a plan, say what is wrong with it or what it would do, and end.
    Check {
        /// The plan, in TOML.
        plan: PathBuf,
    },
    /// Carry a plan out, from what is true: also where another conductor has died.
    Start {
        /// The plan, in TOML.
        plan: PathBuf,
        /// Progress as a line of JSON each.
        #[arg(long)]
        json: bool,
    },
    /// How it stands: what its conductor says, or where there is none, the keepers.
    Status {
        /// The plan, in TOML.
        plan: PathBuf,
    },
    /// Order nothing new.
    Pause {
        /// The plan, in TOML.
        plan: PathBuf,
    },
    /// Go on.
    Resume {
        /// The plan, in TOML.
        plan: PathBuf,
    },
    /// End, and leave all as it is.
    Stop {
        /// The plan, in TOML.
        plan: PathBuf,
    },
    /// Take the change back: tell its conductor, or where there is none, be one.
    Back {
        /// The plan, in TOML.
        plan: PathBuf,
        /// Progress as a line of JSON each.
        #[arg(long)]
        json: bool,
    },
}

/// Keeps a node.
pub fn keep(file: &Path) -> Result<(), String> {
    let settings = spurdrum_keeper::Settings::read(file)?;
    let _log = log::start(&settings.name, Format::Text);
    on_event_loop(spurdrum_keeper::supervise(settings))
}

/// Does what is said with a plan.
pub fn carry_out(what: What) -> Result<(), String> {
    match what {
        What::Check { plan } => check(&plan),
        What::Start { plan, json } => start(Plan::read(&plan)?, false, json),
        What::Back { plan, json } => {
            let plan = Plan::read(&plan)?;
            say(&plan, "back").or_else(|_| start(plan, true, json))
        }
        What::Status { plan } => {
            let plan = Plan::read(&plan)?;
            say(&plan, "status").or_else(|_| keepers(&plan))
        }
        What::Pause { plan } => say(&Plan::read(&plan)?, "pause"),
        What::Resume { plan } => say(&Plan::read(&plan)?, "resume"),
        What::Stop { plan } => say(&Plan::read(&plan)?, "stop"),
    }
}

fn check(path: &Path) -> Result<(), String> {
    let plan = Plan::read(path)?;
    let settings = plan.controller_settings().map_err(|why| format!("{}: {why}", path.display()))?;
    println!("{}: sound; {}", path.display(), settings.change.version);
    for (n, stage) in settings.stages.iter().enumerate() {
        let (least, most) =
            (plan.timer_duration(Timer::MinWatch(n)), plan.timer_duration(Timer::MaxWatch(n)));
        let named: Vec<&str> = stage.iter().take(5).map(|at| plan.nodes[*at].name.as_str()).collect();
        let more = if stage.len() > named.len() { " ..." } else { "" };
        println!(
            "stage {}: {} nodes of {}, watched for {} to {} s: {}{more}",
            n + 1,
            stage.len(),
            plan.nodes.len(),
            least.as_secs_f64(),
            most.as_secs_f64(),
            named.join(" ")
        );
    }
    Ok(())
}

/// Tells the conductor of a plan something, and shows its answer.
fn say(plan: &Plan, line: &str) -> Result<(), String> {
    let called = async { call(plan.listen, line).await.map_err(|error| error.to_string()) };
    let answer = on_event_loop(called);
    let answer = answer.map_err(|error| format!("no conductor answers at {}: {error}", plan.listen))?;
    println!("{answer}");
    Ok(())
}

/// What the keepers say, where there is no conductor.
fn keepers(plan: &Plan) -> Result<(), String> {
    println!("no conductor answers at {}", plan.listen);
    on_event_loop(async {
        for node in &plan.nodes {
            let Some(status) = send_request(node.supervisor, &SupervisorRequest::GetStatus).await else {
                println!("{}: its keeper does not answer", node.name);
                continue;
            };
            let runs = status.runs.map_or_else(|| "nothing".to_owned(), |runs| runs.to_string());
            let ready = if status.ready { "ready" } else { "not ready" };
            let failed = status.last.and_then(|last| last.failed).map(|why| format!("; last step: {why}"));
            println!("{}: {ready}, {runs}{}", status.name, failed.unwrap_or_default());
        }
        Ok(())
    })
}

fn start(plan: Plan, back: bool, json: bool) -> Result<(), String> {
    let names: Vec<String> = plan.nodes.iter().map(|node| node.name.clone()).collect();
    let show: ProgressCallback = Rc::new(move |progress: &Progress| {
        use std::io::Write as _;
        let line = match json {
            true => serde_json::to_string(progress).unwrap_or_default(),
            false => {
                let Progress { at_s, note, phase, changed, nodes, unavailable } = progress;
                format!("{at_s:>7.1} s  {phase}, {changed} of {nodes} changed, {unavailable} out: {note}")
            }
        };
        // Whoever reads may have read enough; the rollout goes on.
        let _ = writeln!(std::io::stdout(), "{line}");
    });
    match on_event_loop(run_rollout(plan, crate::file::random_seed(), back, show))? {
        Outcome::Completed => {
            println!("done: all nodes run it, and keep it as good");
            Ok(())
        }
        Outcome::RolledBack(why, left) if left.is_empty() => Err(format!("taken back: {why}")),
        Outcome::RolledBack(why, left) => {
            let left: Vec<&str> = left.iter().map(|at| names[*at].as_str()).collect();
            Err(format!("taken back: {why}; not known to be back: {}", left.join(" ")))
        }
        Outcome::Stopped => Err("stopped: all nodes are as they are".into()),
        Outcome::Superseded(by) => Err(format!("another conductor directs, of generation {}", by.number)),
    }
}
