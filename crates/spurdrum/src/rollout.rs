//! The commands that change a fleet: `rollout` runs or calls the controller of a rollout, `keeper` runs the
//! supervisor of a node.

use std::path::{Path, PathBuf};
use std::rc::Rc;

use clap::Subcommand;
use spurdrum_rollout::conductor::{Outcome, Timer};
use spurdrum_rollout::orders::SupervisorRequest;
use spurdrum_rollout::plan::Plan;
use spurdrum_rollout::shell::{call, run_rollout, send_request, Progress, ProgressCallback};

use crate::log::{self, Format};
use crate::on_event_loop;

/// The commands on a plan.
#[derive(Subcommand)]
pub enum RolloutCommand {
    /// Check a plan, print its first error or its stages, and exit.
    Check {
        /// The plan, in TOML.
        plan: PathBuf,
    },
    /// Execute a plan from the nodes' current state; also continues after another controller has died.
    Start {
        /// The plan, in TOML.
        plan: PathBuf,
        /// Progress as a line of JSON each.
        #[arg(long)]
        json: bool,
    },
    /// Print the status of a rollout, from its controller or, without one, from the supervisors.
    Status {
        /// The plan, in TOML.
        plan: PathBuf,
    },
    /// Start no further steps.
    Pause {
        /// The plan, in TOML.
        plan: PathBuf,
    },
    /// Continue after a pause.
    Resume {
        /// The plan, in TOML.
        plan: PathBuf,
    },
    /// End the rollout and leave all nodes as they are.
    Stop {
        /// The plan, in TOML.
        plan: PathBuf,
    },
    /// Roll the change back: through its controller or, without one, as the controller.
    Back {
        /// The plan, in TOML.
        plan: PathBuf,
        /// Progress as a line of JSON each.
        #[arg(long)]
        json: bool,
    },
}

/// Runs the supervisor of a node.
pub fn supervise(file: &Path) -> Result<(), String> {
    let settings = spurdrum_keeper::Settings::read(file)?;
    let _log = log::start(&settings.name, Format::Text);
    on_event_loop(spurdrum_keeper::supervise(settings))
}

/// Executes a command on a plan.
pub fn run(command: RolloutCommand) -> Result<(), String> {
    match command {
        RolloutCommand::Check { plan } => check(&plan),
        RolloutCommand::Start { plan, json } => start(Plan::read(&plan)?, false, json),
        RolloutCommand::Back { plan, json } => {
            let plan = Plan::read(&plan)?;
            call_controller(&plan, "back").or_else(|_| start(plan, true, json))
        }
        RolloutCommand::Status { plan } => {
            let plan = Plan::read(&plan)?;
            call_controller(&plan, "status").or_else(|_| print_supervisor_status(&plan))
        }
        RolloutCommand::Pause { plan } => call_controller(&Plan::read(&plan)?, "pause"),
        RolloutCommand::Resume { plan } => call_controller(&Plan::read(&plan)?, "resume"),
        RolloutCommand::Stop { plan } => call_controller(&Plan::read(&plan)?, "stop"),
    }
}

/// Checks a plan and prints its stages.
fn check(path: &Path) -> Result<(), String> {
    let plan = Plan::read(path)?;
    let settings = plan.controller_settings().map_err(|error| format!("{}: {error}", path.display()))?;
    println!("{}: sound; {}", path.display(), settings.change.version);
    for (index, stage) in settings.stages.iter().enumerate() {
        let (min_watch, max_watch) =
            (plan.timer_duration(Timer::MinWatch(index)), plan.timer_duration(Timer::MaxWatch(index)));
        let first_names: Vec<&str> =
            stage.iter().take(5).map(|node| plan.nodes[*node].name.as_str()).collect();
        let more = if stage.len() > first_names.len() { " ..." } else { "" };
        println!(
            "stage {}: {} nodes of {}, watched for {} to {} s: {}{more}",
            index + 1,
            stage.len(),
            plan.nodes.len(),
            min_watch.as_secs_f64(),
            max_watch.as_secs_f64(),
            first_names.join(" ")
        );
    }
    Ok(())
}

/// Sends a call to the rollout controller of a plan and prints its answer.
fn call_controller(plan: &Plan, line: &str) -> Result<(), String> {
    let reply = async { call(plan.listen, line).await.map_err(|error| error.to_string()) };
    let answer = on_event_loop(reply);
    let answer =
        answer.map_err(|error| format!("no rollout controller answers at {}: {error}", plan.listen))?;
    println!("{answer}");
    Ok(())
}

/// Prints the status of each supervisor; used when no controller runs.
fn print_supervisor_status(plan: &Plan) -> Result<(), String> {
    println!("no rollout controller answers at {}", plan.listen);
    on_event_loop(async {
        for node in &plan.nodes {
            let Some(status) = send_request(node.supervisor, &SupervisorRequest::GetStatus).await else {
                println!("{}: its supervisor does not answer", node.name);
                continue;
            };
            let runs = status.runs.map_or_else(|| "nothing".to_owned(), |runs| runs.to_string());
            let ready = if status.ready { "ready" } else { "not ready" };
            let failed =
                status.last.and_then(|last| last.failed).map(|error| format!("; last step: {error}"));
            println!("{}: {ready}, {runs}{}", status.name, failed.unwrap_or_default());
        }
        Ok(())
    })
}

/// Runs a rollout as its controller and prints its progress.
fn start(plan: Plan, roll_back: bool, json: bool) -> Result<(), String> {
    let names: Vec<String> = plan.nodes.iter().map(|node| node.name.clone()).collect();
    let on_progress: ProgressCallback = Rc::new(move |progress: &Progress| {
        use std::io::Write as _;
        let line = match json {
            true => serde_json::to_string(progress).unwrap_or_default(),
            false => {
                let Progress { at_s, note, phase, changed, nodes, unavailable } = progress;
                format!("{at_s:>7.1} s  {phase}, {changed} of {nodes} changed, {unavailable} out: {note}")
            }
        };
        // Fails if the reader of standard output has closed it; the rollout goes on.
        let _ = writeln!(std::io::stdout(), "{line}");
    });
    match on_event_loop(run_rollout(plan, crate::file::random_seed(), roll_back, on_progress))? {
        Outcome::Completed => {
            println!("done: all nodes run the change and have recorded it as their good version");
            Ok(())
        }
        Outcome::RolledBack(reason, left) if left.is_empty() => Err(format!("taken back: {reason}")),
        Outcome::RolledBack(reason, left) => {
            let left: Vec<&str> = left.iter().map(|node| names[*node].as_str()).collect();
            Err(format!("taken back: {reason}; not known to be back: {}", left.join(" ")))
        }
        Outcome::Stopped => Err("stopped: all nodes are as they are".into()),
        Outcome::Superseded(newer) => {
            Err(format!("another conductor directs, of generation {}", newer.number))
        }
    }
}
