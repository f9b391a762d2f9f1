//! Starts a small fleet of stand-in servers with a discovery catalog, and a real node in front of them. Sends
//! load that rises and falls while one server slows down and a rolling deploy runs. Prints the statistics of
//! the load generator and of the servers each second, and ends by itself with a summary.
//!
//! `spurdrum-demo rollout` shows staged rollouts to six nodes: a good change that reaches all nodes, and a
//! bad one that is stopped.

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

/// Runs a small fleet of simulated servers and a node under a varying load.
#[derive(Parser)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Rolls out a good change to six nodes, then a bad one that is stopped; takes under two minutes.
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
    let result = match Cli::parse().command {
        Some(Command::Rollout) => rollout::run_demo(),
        None => run_demo(),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("spurdrum-demo: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_demo() -> Result<(), String> {
    let plan = Plan::parse(LOAD)?;
    let fleet = Fleet::start(&Scenario::parse(FLEET)?)?;
    let node =
        Node::start(&config(&fleet, &["harborline-hotels", "millpond-inn"], 1024, 4096), Stdio::inherit())?;
    println!("catalog {}, node {}, {} servers", fleet.catalog, node.address, fleet.servers.len());
    println!("at 5 s large0 is five times slower for 10 s; at 12 s and 16 s a server is replaced by a newly started one");
    let options = Options {
        target: node.address,
        seed: 7,
        closed: None,
        max_duration: Duration::from_secs(60),
        threads: 1,
    };
    let arrivals = Box::new(Schedule::new(&plan, options.seed).map(Ok));
    let mut previous = fleet.counters();
    let report = run(&plan, arrivals, &options, std::future::pending(), |line| {
        let current = fleet.counters();
        println!("\n{line}");
        println!(
            "  {:<12}{:>10}{:>10}{:>10}{:>10}  list",
            "server", "begun/s", "running", "waiting", "served"
        );
        let list = fleet.list();
        for (name, counters) in current.servers() {
            let previously_begun = previous.servers().get(name).map_or(0, |counters| counters.begun);
            let entries = list["members"].as_array();
            let entry = entries.and_then(|entries| entries.iter().find(|entry| entry["id"] == name.as_str()));
            let phase = entry.and_then(|entry| entry["phase"].as_str()).unwrap_or("gone");
            let (running, waiting) = counters.load;
            println!(
                "  {name:<12}{:>10}{running:>10}{waiting:>10}{:>10}  {phase}",
                counters.begun - previously_begun,
                counters.served
            );
        }
        previous = current;
    })?;
    println!("\n{}", report.table());
    let counters = fleet.counters();
    let repeated = counters.ids().values().filter(|runs| runs.begun > 1).count();
    let concurrent = counters.ids().values().filter(|runs| runs.most_at_once > 1).count();
    println!(
        "requests that ran: {}, more than once: {repeated}, concurrently: {concurrent}",
        counters.ids().len()
    );
    drop(node);
    Ok(())
}
