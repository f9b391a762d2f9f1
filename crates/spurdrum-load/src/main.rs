//! The command.

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

/// An open-loop load generator: requests are due by a plan or a trace, whatever happens to earlier ones, and
/// latencies count from when they were due.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Send a plan's load, or a trace's, and report.
    Run(Run),
    /// Write a plan's schedule as a trace, without sending anything.
    Record {
        /// The plan.
        plan: PathBuf,
        /// The trace; standard output where it is left out.
        #[arg(long)]
        to: Option<PathBuf>,
        /// Drives all that is random.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Read a plan, and say what is wrong with it.
    Check {
        /// The plan.
        plan: PathBuf,
    },
}

#[derive(Args)]
struct Run {
    /// The plan.
    plan: PathBuf,
    /// Where the target listens.
    #[arg(long)]
    target: SocketAddr,
    /// Allow a target that is not on this machine.
    #[arg(long)]
    allow_remote: bool,
    /// Drives all that is random.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Replay this trace instead of the plan's phases.
    #[arg(long)]
    trace: Option<PathBuf>,
    /// Replay it so many times as fast.
    #[arg(long, default_value_t = 1.0)]
    speed: f64,
    /// Instead, so many clients that each wait for their answer: its latencies hide stalls.
    #[arg(long)]
    closed: Option<usize>,
    /// Event loops that send, each a thread.
    #[arg(long, default_value_t = 1)]
    threads: usize,
    /// Cut the run off after so many seconds.
    #[arg(long, default_value_t = 3600.0)]
    most_s: f64,
    /// A threshold, such as `p99<50ms` or `goodput>0.99`; where one is not met, the exit code is 1.
    #[arg(long)]
    require: Vec<Requirement>,
    /// Write the figures as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Write the latencies as an HDR histogram log.
    #[arg(long)]
    histogram: Option<PathBuf>,
    /// Write a page with charts.
    #[arg(long)]
    html: Option<PathBuf>,
    /// No line for each second.
    #[arg(long)]
    quiet: bool,
}

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Run(options) => send(&options),
        Command::Record { plan, to, seed } => record(&plan, to.as_deref(), seed).map(|()| true),
        Command::Check { plan } => Plan::read(&plan).map(|_| true),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(why) => {
            eprintln!("spurdrum-load: {why}");
            ExitCode::from(2)
        }
    }
}

fn send(options: &Run) -> Result<bool, String> {
    let plan = Plan::read(&options.plan)?;
    if !options.target.ip().is_loopback() && !options.allow_remote {
        return Err(format!("{} is not on this machine: add --allow-remote if you mean it", options.target));
    }
    let most = Duration::try_from_secs_f64(options.most_s).map_err(|_| "`--most-s` is no time".to_owned())?;
    let length: f64 = plan.phases.iter().map(|phase| phase.for_s).sum();
    let arrivals: Arrivals = match &options.trace {
        Some(path) => {
            let shown = path.display().to_string();
            let file = File::open(path).map_err(|e| format!("{shown}: {e}"))?;
            let reader = Reader::new(BufReader::new(file), &plan, options.speed);
            let reader = reader.map_err(|why| format!("{shown}:{why}"))?;
            Box::new(reader.map(move |next| next.map_err(|why| format!("{shown}:{why}"))))
        }
        None if plan.phases.is_empty() => {
            return Err(format!("{}: has no [[phase]]", options.plan.display()))
        }
        None => Box::new(Schedule::new(&plan, options.seed).map(Ok)),
    };
    let engine = Options {
        target: options.target,
        seed: options.seed,
        closed: options.closed.map(|clients| (clients, Duration::from_secs_f64(length))),
        max_duration: most,
        threads: options.threads,
    };
    let stop = async {
        // Where it cannot be heard, the run has its time all the same.
        if tokio::signal::ctrl_c().await.is_err() {
            std::future::pending::<()>().await;
        }
    };
    let quiet = options.quiet;
    let report = run(&plan, arrivals, &engine, stop, |line| {
        if !quiet {
            let _ = writeln!(std::io::stderr(), "{line}");
        }
    })?;
    print!("{}", report.table());
    write_out(options, &report)?;
    let mut met = true;
    for requirement in &options.require {
        if let Err(why) = requirement.check(&report) {
            println!("{why}");
            met = false;
        }
    }
    Ok(met)
}

fn write_out(options: &Run, report: &Report) -> Result<(), String> {
    let file =
        |path: &Path| File::create(path).map(BufWriter::new).map_err(|e| format!("{}: {e}", path.display()));
    if let Some(path) = &options.json {
        serde_json::to_writer_pretty(file(path)?, report).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    if let Some(path) = &options.histogram {
        report.histogram_log(&mut file(path)?)?;
    }
    if let Some(path) = &options.html {
        file(path)?.write_all(page(report).as_bytes()).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    Ok(())
}

fn record(plan: &Path, to: Option<&Path>, seed: u64) -> Result<(), String> {
    let plan = Plan::read(plan)?;
    let to: Box<dyn Write> = match to {
        Some(path) => Box::new(File::create(path).map_err(|e| format!("{}: {e}", path.display()))?),
        None => Box::new(std::io::stdout().lock()),
    };
    let broken = |e: std::io::Error| format!("the trace cannot be written: {e}");
    let mut writer = Writer::new(BufWriter::new(to), &plan).map_err(broken)?;
    Schedule::new(&plan, seed).try_for_each(|arrival| writer.write(&arrival)).map_err(broken)?;
    writer.finish().map_err(broken)
}
