//! The command: plays a scenario file, and shows what its servers see.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::Parser;
use spurdrum_standin::scenario::Scenario;
use spurdrum_standin::Fleet;

/// Stand-in servers and a catalog on loopback addresses, with faults from a script.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    /// The scenario, in TOML.
    scenario: PathBuf,
    /// Read it, say what is wrong with it, and end.
    #[arg(long)]
    check: bool,
    /// End after so many seconds.
    #[arg(long, default_value_t = 3600.0)]
    for_s: f64,
    /// Show the table every so many seconds.
    #[arg(long, default_value_t = 1.0)]
    every_s: f64,
}

fn main() -> ExitCode {
    match play(&Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("spurdrum-standin: {why}");
            ExitCode::FAILURE
        }
    }
}

fn play(cli: &Cli) -> Result<(), String> {
    let scenario = Scenario::read(&cli.scenario)?;
    if cli.check {
        return Ok(());
    }
    let time = |s: f64| Duration::try_from_secs_f64(s).map_err(|_| format!("{s} is no time"));
    let (length, every) = (time(cli.for_s)?, time(cli.every_s.max(0.1))?);
    let fleet = Fleet::start(&scenario)?;
    println!("catalog  {}", fleet.catalog);
    for (name, address) in &fleet.servers {
        println!("{name:<8} {address}");
    }
    let start = Instant::now();
    while start.elapsed() < length {
        std::thread::sleep(every.min(length.saturating_sub(start.elapsed())));
        println!(
            "\n{:>5.1} s {:>10} {:>8} {:>8} {:>8} {:>8} {:>8}",
            start.elapsed().as_secs_f64(),
            "begun",
            "served",
            "refused",
            "running",
            "waiting",
            "accepted"
        );
        for (name, seen) in fleet.counters().servers() {
            let (running, waiting) = seen.load;
            println!(
                "{name:<7} {:>10} {:>8} {:>8} {running:>8} {waiting:>8} {:>8}",
                seen.begun, seen.served, seen.refused, seen.connections
            );
        }
    }
    Ok(())
}
