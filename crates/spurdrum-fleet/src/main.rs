//! The command: plays a scenario with real processes, judges it, and shrinks what fails.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use spurdrum_fleet::history::History;
use spurdrum_fleet::measure::{builds, measure, Measure};
use spurdrum_fleet::run::{run, Options};
use spurdrum_fleet::scenario::Scenario;
use spurdrum_fleet::schedule::{chaos, shrink};
use spurdrum_fleet::{chart, figures, process, verdict};

/// Many processes of the program before stand-in servers, with faults between them.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays a scenario and tells its figures and the rules that were broken; exit 1 where one was.
    Run {
        /// The scenario, in TOML.
        scenario: PathBuf,
        /// In place of the scenario's seed.
        #[arg(long)]
        seed: Option<u64>,
        /// In place of the scenario's number of nodes.
        #[arg(long)]
        nodes: Option<usize>,
        /// In place of the scenario's load.
        #[arg(long)]
        load: Option<f64>,
        /// In place of the scenario's faults, so many drawn from the seed.
        #[arg(long)]
        chaos: Option<usize>,
        /// Where a rule is broken, play on with fewer faults until the fewest are left that still break one.
        #[arg(long)]
        shrink: bool,
        /// The program; the one beside this command where it is left out.
        #[arg(long)]
        program: Option<PathBuf>,
        /// Writes work by server over time as a page.
        #[arg(long)]
        html: Option<PathBuf>,
        /// Keeps the nodes' files and logs.
        #[arg(long)]
        keep: bool,
    },
    /// Plays scenarios for several seeds, builds, sizes and loads, and tells a table of means and deviations; exit 1 where
    /// the first build broke a rule.
    Measure {
        /// The scenarios, in TOML.
        #[arg(required = true)]
        scenarios: Vec<PathBuf>,
        /// How many seeds, from 1 on.
        #[arg(long, default_value_t = 5)]
        seeds: u64,
        /// In place of the scenario's number of nodes.
        #[arg(long, value_delimiter = ',')]
        nodes: Vec<usize>,
        /// In place of the scenario's load.
        #[arg(long, value_delimiter = ',')]
        loads: Vec<f64>,
        /// Other builds of the program to set beside this one, by path.
        #[arg(long)]
        beside: Vec<PathBuf>,
        /// Also what other ways to choose would have made of the same arrivals.
        #[arg(long)]
        references: bool,
    },
    /// Reads a scenario, says what is wrong with it, and ends.
    Check {
        /// The scenario, in TOML.
        scenario: PathBuf,
    },
    /// Waits until its parent has gone, and ends what still names this folder: nodes that outlive their keepers.
    #[command(hide = true)]
    Sweep {
        /// The folder.
        folder: PathBuf,
    },
    /// Becomes a program that dies with the process of this number: how nodes are started.
    #[command(hide = true)]
    Hold {
        /// The process that it dies with.
        parent: i32,
        /// The program.
        program: PathBuf,
        /// What it is given.
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        args: Vec<String>,
    },
}

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Hold { parent, program, args } => {
            return process::exec_bound_to_parent(parent, &program, &args)
        }
        Command::Sweep { folder } => {
            process::kill_after_parent(&folder);
            Ok(true)
        }
        Command::Check { scenario } => Scenario::read(&scenario).map(|_| true),
        Command::Measure { scenarios, seeds, nodes, loads, beside, references } => {
            process::sibling_program("spurdrum").and_then(|program| {
                let builds = builds(program, &beside);
                let what = Measure { builds, seeds: (1..=seeds).collect(), nodes, loads, references };
                let mut kept = true;
                for path in &scenarios {
                    let scenario = Scenario::read(path)?;
                    let (table, fine) = measure(&scenario, &what, |broken| println!("broken: {broken}"))?;
                    println!("{}\n\n{table}", path.display());
                    kept &= fine;
                }
                Ok(kept)
            })
        }
        Command::Run { scenario, seed, nodes, load, chaos, shrink, program, html, keep } => {
            let file = scenario;
            Scenario::read(&file).and_then(|mut scenario| {
                scenario.seed = seed.unwrap_or(scenario.seed);
                scenario.nodes = nodes.unwrap_or(scenario.nodes);
                scenario.load = load.unwrap_or(scenario.load);
                if let Some(count) = chaos {
                    scenario.faults =
                        self::chaos(scenario.seed, count, scenario.for_s, scenario.catalog.is_none());
                }
                let program = program.map_or_else(|| process::sibling_program("spurdrum"), Ok)?;
                let options = Options { keep, on_start: Some(print_addresses), ..Options::new(program) };
                let again = format!(
                    "spurdrum-fleet run {} --seed {} --nodes {} --load {}{}",
                    file.display(),
                    scenario.seed,
                    scenario.nodes,
                    scenario.load,
                    chaos.map_or(String::new(), |count| format!(" --chaos {count}"))
                );
                play(&scenario, &options, &again, shrink, html)
            })
        }
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(why) => {
            eprintln!("spurdrum-fleet: {why}");
            ExitCode::from(2)
        }
    }
}

/// Whether every rule was kept.
fn play(
    scenario: &Scenario,
    options: &Options,
    again: &str,
    shrinks: bool,
    html: Option<PathBuf>,
) -> Result<bool, String> {
    let history = run(scenario, options)?;
    let table = table(&history);
    use std::io::Write as _;
    // Whoever reads may have read enough.
    let _ = std::io::stdout().write_all(table.as_bytes());
    if let Some(path) = html {
        let page =
            chart::page(&format!("{} nodes, seed {}", scenario.nodes, scenario.seed), &history, &table)?;
        std::fs::write(&path, page).map_err(|error| format!("{}: {error}", path.display()))?;
    }
    let broken = verdict::judge(&history);
    broken.iter().take(20).for_each(|broken| println!("broken: {broken}"));
    if broken.is_empty() {
        println!("rules: kept");
        return Ok(true);
    }
    println!("rules: broken {} times; again with: {again}", broken.len());
    if shrinks {
        let rules: Vec<_> = broken.iter().map(|broken| broken.rule).collect();
        let fewest = shrink(&scenario.faults, |some| {
            let fewer = Scenario { faults: some.to_vec(), ..scenario.clone() };
            run(&fewer, options)
                .is_ok_and(|history| verdict::judge(&history).iter().any(|b| rules.contains(&b.rule)))
        });
        println!("the fewest faults that still break one:");
        fewest.iter().for_each(|fault| println!("  {fault:?}"));
    }
    Ok(false)
}

/// Says where the first nodes are.
fn print_addresses(nodes: &[SocketAddr]) {
    let some: Vec<String> = nodes.iter().take(3).map(ToString::to_string).collect();
    println!("playing with {} nodes, at {} and so on", nodes.len(), some.join(" "));
}

fn table(history: &History) -> String {
    let mut table = format!("{}", figures::of(history));
    let by_capacity = figures::by_capacity(history);
    if by_capacity.len() > 1 {
        by_capacity
            .iter()
            .for_each(|(capacity, part)| table += &format!("to {capacity:>5.0}/s {part:>10.3}\n"));
    }
    if let Some(seconds) = figures::recovery_s(history, 1.2) {
        table += &format!("{:<12}{seconds:>10.1}\n", "even again");
    }
    table += &format!("{:<12}{:>10}\n", "connections", history.connections);
    history.telemetry.iter().for_each(|(name, sum)| table += &format!("{name:<14}{sum:>8}\n"));
    table
}
