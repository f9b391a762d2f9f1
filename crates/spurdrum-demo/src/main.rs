//! Starts a small fleet of stand-ins with a catalog, and a real node before it; sends a wave of load through a
//! server's slowdown and a rolling deploy; shows both sides each second; ends by itself with a summary.
//!
//! `spurdrum-demo rollout` shows a change of six nodes in stages: a good one that reaches all, and a bad one that is stopped.

use std::process::{ExitCode, Stdio};
use std::time::Duration;

use clap::{Parser, Subcommand};
use spurdrum_harness::{config, Node};
use spurdrum_load::plan::Plan;
use spurdrum_load::run::{run, Options};
use spurdrum_load::schedule::Schedule;
use spurdrum_standin::scenario::Scenario;
use spurdrum_standin::Fleet;

mod rollout;

/// A fleet, a node and a wave of load.
#[derive(Parser)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// A good change of six nodes, and a bad one that is stopped; under two minutes.
    Rollout,
}

const FLEET: &str = include_str!("../../spurdrum-standin/examples/deploy.toml");

const LOAD: &str = r#"
[[phase]]
for_s = 4
shape = "ramp"
rate = 20
to = 110

[[phase]]
for_s = 20
shape = "wave"
rate = 110
swing = 0.3
period_s = 10

[[class]]
name = "inventory-update"
effect = "keyed"
aim_s = 0.4
deadline_s = 0.8
bytes = [120, 2000]

[[tenant]]
name = "harborline-hotels"
share = 3

[[tenant]]
name = "millpond-inn"

[clients]
retries = 2
backoff = "exp"
marks_retry = true
"#;

fn main() -> ExitCode {
    let played = match Cli::parse().command {
        Some(Command::Rollout) => rollout::play(),
        None => play(),
    };
    match played {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("spurdrum-demo: {why}");
            ExitCode::FAILURE
        }
    }
}

fn play() -> Result<(), String> {
    let plan = Plan::parse(LOAD)?;
    let fleet = Fleet::start(&Scenario::parse(FLEET)?)?;
    let node =
        Node::start(&config(&fleet, &["harborline-hotels", "millpond-inn"], 1024, 4096), Stdio::inherit())?;
    println!("catalog {}, node {}, {} servers", fleet.catalog, node.address, fleet.servers.len());
    println!("at 5 s large0 works five times slower, for 10 s; at 12 s and 16 s two servers are replaced by cold ones");
    let options = Options {
        target: node.address,
        seed: 7,
        closed: None,
        max_duration: Duration::from_secs(60),
        threads: 1,
    };
    let arrivals = Box::new(Schedule::new(&plan, options.seed).map(Ok));
    let mut before = fleet.counters();
    let report = run(&plan, arrivals, &options, std::future::pending(), |line| {
        let now = fleet.counters();
        println!("\n{line}");
        println!(
            "  {:<12}{:>10}{:>10}{:>10}{:>10}  list",
            "server", "begun/s", "running", "waiting", "served"
        );
        let list = fleet.list();
        for (name, seen) in now.servers() {
            let was = before.servers().get(name).map_or(0, |seen| seen.begun);
            let entries = list["members"].as_array();
            let entry = entries.and_then(|all| all.iter().find(|entry| entry["id"] == name.as_str()));
            let phase = entry.and_then(|entry| entry["phase"].as_str()).unwrap_or("gone");
            let (running, waiting) = seen.load;
            println!(
                "  {name:<12}{:>10}{running:>10}{waiting:>10}{:>10}  {phase}",
                seen.begun - was,
                seen.served
            );
        }
        before = now;
    })?;
    println!("\n{}", report.table());
    let tally = fleet.counters();
    let twice = tally.ids().values().filter(|runs| runs.begun > 1).count();
    let at_once = tally.ids().values().filter(|runs| runs.most_at_once > 1).count();
    println!(
        "requests that ran: {}, more than once: {twice}, twice at the same time: {at_once}",
        tally.ids().len()
    );
    drop(node);
    Ok(())
}
