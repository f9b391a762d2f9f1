//! Runs a scenario file and prints what its servers count.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::Parser;
use spurdrum_standin::scenario::Scenario;
use spurdrum_standin::Fleet;

/// Simulated servers and a catalog on loopback addresses, with faults from a scenario
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    /// Path of the scenario file, in TOML
    scenario: PathBuf,
    /// Check the scenario, report errors in it, and exit
    #[arg(long)]
    check: bool,
    /// Exit after this many seconds
    #[arg(long, default_value_t = 3600.0)]
    for_s: f64,
    /// Print the table every this many seconds
    #[arg(long, default_value_t = 1.0)]
    every_s: f64,
}

fn main() -> ExitCode {
    match run_scenario(&Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("spurdrum-standin: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_scenario(cli: &Cli) -> Result<(), String> {
    let scenario = Scenario::read(&cli.scenario)?;
    if cli.check {
        return Ok(());
    }
    let seconds =
        |s: f64| Duration::try_from_secs_f64(s).map_err(|_| format!("{s} is not a valid number of seconds"));
    let (length, interval) = (seconds(cli.for_s)?, seconds(cli.every_s.max(0.1))?);
    let fleet = Fleet::start(&scenario)?;
    println!("catalog  {}", fleet.catalog);
    for (name, address) in &fleet.servers {
        println!("{name:<8} {address}");
    }
    let start = Instant::now();
    while start.elapsed() < length {
        std::thread::sleep(interval.min(length.saturating_sub(start.elapsed())));
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
        for (name, counts) in fleet.counters().servers() {
            let (running, waiting) = counts.load;
            println!(
                "{name:<7} {:>10} {:>8} {:>8} {running:>8} {waiting:>8} {:>8}",
                counts.begun, counts.served, counts.refused, counts.connections
            );
        }
    }
    Ok(())
}
