//! The command-line program.

use std::fs::File;
use std::io::{BufReader, BufWriter, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Parser, Subcommand};
use spurdrum_load::html::page;
use spurdrum_load::plan::Plan;
use spurdrum_load::report::{Report, Requirement};
use spurdrum_load::run::{run, Arrivals, Options};
use spurdrum_load::schedule::Schedule;
use spurdrum_load::trace::{Reader, Writer};

/// An open-loop load generator: a plan or a trace determines when requests are due, regardless of how earlier
/// ones went, and latency is measured from when a request was due.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Send the load of a plan or a trace, and print a report.
    Run(Run),
    /// Write a plan's schedule as a trace, without sending anything.
    Record {
        /// File with the plan.
        plan: PathBuf,
        /// File for the trace; standard output if omitted.
        #[arg(long)]
        to: Option<PathBuf>,
        /// Seed of all random choices.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Read a plan and print the first error in it.
    Check {
        /// File with the plan.
        plan: PathBuf,
    },
}

#[derive(Args)]
struct Run {
    /// File with the plan.
    plan: PathBuf,
    /// Address and port on which the target listens.
    #[arg(long)]
    target: SocketAddr,
    /// Allow a target that is not on this machine.
    #[arg(long)]
    allow_remote: bool,
    /// Seed of all random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Replay this trace instead of the plan's phases.
    #[arg(long)]
    trace: Option<PathBuf>,
    /// Factor by which a trace is replayed faster.
    #[arg(long, default_value_t = 1.0)]
    speed: f64,
    /// Closed loop: instead of the schedule, this many clients, each of which waits for the response before
    /// its next request. Its latencies hide stalls.
    #[arg(long)]
    closed: Option<usize>,
    /// Number of event loops that send, each in a thread of its own.
    #[arg(long, default_value_t = 1)]
    threads: usize,
    /// Stop the run after this many seconds.
    #[arg(long, default_value_t = 3600.0)]
    most_s: f64,
    /// A threshold, such as `p99<50ms` or `goodput>0.99`; if one is not met, the exit code is 1.
    #[arg(long)]
    require: Vec<Requirement>,
    /// Write the report as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Write the latencies as an HDR histogram log.
    #[arg(long)]
    histogram: Option<PathBuf>,
    /// Write an HTML page with charts.
    #[arg(long)]
    html: Option<PathBuf>,
    /// Do not print a line of statistics each second.
    #[arg(long)]
    quiet: bool,
}

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Run(options) => run_load(&options),
        Command::Record { plan, to, seed } => record(&plan, to.as_deref(), seed).map(|()| true),
        Command::Check { plan } => Plan::read(&plan).map(|_| true),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("spurdrum-load: {error}");
            ExitCode::from(2)
        }
    }
}

/// Runs the load and returns whether all requirements were met.
fn run_load(options: &Run) -> Result<bool, String> {
    let plan = Plan::read(&options.plan)?;
    if !options.target.ip().is_loopback() && !options.allow_remote {
        return Err(format!(
            "target {} is not a loopback address: pass --allow-remote to allow it",
            options.target
        ));
    }
    let max_duration = Duration::try_from_secs_f64(options.most_s)
        .map_err(|_| "`--most-s` must be a number of seconds, 0 or above".to_owned())?;
    let plan_s: f64 = plan.phases.iter().map(|phase| phase.for_s).sum();
    let arrivals: Arrivals = match &options.trace {
        Some(path) => {
            let path_text = path.display().to_string();
            let file = File::open(path).map_err(|error| format!("{path_text}: {error}"))?;
            let reader = Reader::new(BufReader::new(file), &plan, options.speed);
            let reader = reader.map_err(|error| format!("{path_text}:{error}"))?;
            Box::new(reader.map(move |next| next.map_err(|error| format!("{path_text}:{error}"))))
        }
        None if plan.phases.is_empty() => {
            return Err(format!("{}: the plan has no [[phase]]", options.plan.display()))
        }
        None => Box::new(Schedule::new(&plan, options.seed).map(Ok)),
    };
    let run_options = Options {
        target: options.target,
        seed: options.seed,
        closed: options.closed.map(|clients| (clients, Duration::from_secs_f64(plan_s))),
        max_duration,
        threads: options.threads,
    };
    let stop = async {
        // If the signal handler cannot be installed, the run continues to its normal end.
        if tokio::signal::ctrl_c().await.is_err() {
            std::future::pending::<()>().await;
        }
    };
    let quiet = options.quiet;
    let report = run(&plan, arrivals, &run_options, stop, |line| {
        if !quiet {
            let _ = writeln!(std::io::stderr(), "{line}");
        }
    })?;
    print!("{}", report.table());
    write_files(options, &report)?;
    let mut all_met = true;
    for requirement in &options.require {
        if let Err(reason) = requirement.check(&report) {
            println!("{reason}");
            all_met = false;
        }
    }
    Ok(all_met)
}

/// Writes the report to the files that the options name.
fn write_files(options: &Run, report: &Report) -> Result<(), String> {
    let create = |path: &Path| {
        File::create(path).map(BufWriter::new).map_err(|error| format!("{}: {error}", path.display()))
    };
    if let Some(path) = &options.json {
        serde_json::to_writer_pretty(create(path)?, report)
            .map_err(|error| format!("{}: {error}", path.display()))?;
    }
    if let Some(path) = &options.histogram {
        report.histogram_log(&mut create(path)?)?;
    }
    if let Some(path) = &options.html {
        create(path)?
            .write_all(page(report).as_bytes())
            .map_err(|error| format!("{}: {error}", path.display()))?;
    }
    Ok(())
}

/// Writes the schedule of a plan as a trace.
fn record(plan: &Path, to: Option<&Path>, seed: u64) -> Result<(), String> {
    let plan = Plan::read(plan)?;
    let sink: Box<dyn Write> = match to {
        Some(path) => Box::new(File::create(path).map_err(|error| format!("{}: {error}", path.display()))?),
        None => Box::new(std::io::stdout().lock()),
    };
    let write_error = |error: std::io::Error| format!("the trace cannot be written: {error}");
    let mut writer = Writer::new(BufWriter::new(sink), &plan).map_err(write_error)?;
    Schedule::new(&plan, seed).try_for_each(|arrival| writer.write(&arrival)).map_err(write_error)?;
    writer.finish().map_err(write_error)
}
