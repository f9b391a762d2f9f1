//! Command line of the test rig: runs a scenario with real processes, checks the rules, and reduces failing lists of faults.

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

/// Runs many processes of the program in front of stand-in servers, with faults between them.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a scenario and prints its statistics and the broken rules; exits with 1 if a rule was broken.
    Run {
        /// Scenario file, in TOML.
        scenario: PathBuf,
        /// Overrides the scenario's seed.
        #[arg(long)]
        seed: Option<u64>,
        /// Overrides the scenario's number of nodes.
        #[arg(long)]
        nodes: Option<usize>,
        /// Overrides the scenario's load.
        #[arg(long)]
        load: Option<f64>,
        /// Replaces the scenario's faults by this many, drawn from the seed.
        #[arg(long)]
        chaos: Option<usize>,
        /// If a rule is broken, runs again with fewer faults to find a minimal list that still breaks one.
        #[arg(long)]
        shrink: bool,
        /// Path of the program; by default the one in the folder of this command.
        #[arg(long)]
        program: Option<PathBuf>,
        /// Writes a chart of the work by server over time to this HTML file.
        #[arg(long)]
        html: Option<PathBuf>,
        /// Keeps the nodes' files and logs.
        #[arg(long)]
        keep: bool,
    },
    /// Runs scenarios with several seeds, builds, sizes and loads, and prints a table of means and deviations; exits with 1 if
    /// the first build broke a rule.
    Measure {
        /// Scenario files, in TOML.
        #[arg(required = true)]
        scenarios: Vec<PathBuf>,
        /// Number of seeds, starting with 1.
        #[arg(long, default_value_t = 5)]
        seeds: u64,
        /// Overrides the scenario's number of nodes.
        #[arg(long, value_delimiter = ',')]
        nodes: Vec<usize>,
        /// Overrides the scenario's load.
        #[arg(long, value_delimiter = ',')]
        loads: Vec<f64>,
        /// Paths of other builds of the program to compare with this one.
        #[arg(long)]
        beside: Vec<PathBuf>,
        /// Also simulates reference policies on the same arrivals.
        #[arg(long)]
        references: bool,
    },
    /// Checks a scenario file and reports errors.
    Check {
        /// Scenario file, in TOML.
        scenario: PathBuf,
    },
    /// Waits until its parent has ended, and kills processes whose command line contains the folder: nodes that outlive their
    /// supervisors.
    #[command(hide = true)]
    Sweep {
        /// The folder.
        folder: PathBuf,
    },
    /// Replaces itself by a program that is killed when the parent process ends; used to start nodes.
    #[command(hide = true)]
    Hold {
        /// Process id of the parent.
        parent: i32,
        /// Path of the program.
        program: PathBuf,
        /// Arguments of the program.
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        args: Vec<String>,
    },
}

fn main() -> ExitCode {
    let result = match Cli::parse().command {
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
                let mut all_kept = true;
                for path in &scenarios {
                    let scenario = Scenario::read(path)?;
                    let (table, kept) =
                        measure(&scenario, &what, |violation| println!("broken: {violation}"))?;
                    println!("{}\n\n{table}", path.display());
                    all_kept &= kept;
                }
                Ok(all_kept)
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
                let rerun = format!(
                    "spurdrum-fleet run {} --seed {} --nodes {} --load {}{}",
                    file.display(),
                    scenario.seed,
                    scenario.nodes,
                    scenario.load,
                    chaos.map_or(String::new(), |count| format!(" --chaos {count}"))
                );
                run_and_report(&scenario, &options, &rerun, shrink, html)
            })
        }
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(why) => {
            eprintln!("spurdrum-fleet: {why}");
            ExitCode::from(2)
        }
    }
}

/// Runs a scenario, prints its statistics and violations, and returns whether every rule was kept.
fn run_and_report(
    scenario: &Scenario,
    options: &Options,
    rerun: &str,
    shrinks: bool,
    html: Option<PathBuf>,
) -> Result<bool, String> {
    let history = run(scenario, options)?;
    let table = table(&history);
    use std::io::Write as _;
    // This fails where the reader of a pipe has closed it.
    let _ = std::io::stdout().write_all(table.as_bytes());
    if let Some(path) = html {
        let page =
            chart::page(&format!("{} nodes, seed {}", scenario.nodes, scenario.seed), &history, &table)?;
        std::fs::write(&path, page).map_err(|error| format!("{}: {error}", path.display()))?;
    }
    let violations = verdict::judge(&history);
    violations.iter().take(20).for_each(|violation| println!("broken: {violation}"));
    if violations.is_empty() {
        println!("rules: kept");
        return Ok(true);
    }
    println!("rules: broken {} times; again with: {rerun}", violations.len());
    if shrinks {
        let rules: Vec<_> = violations.iter().map(|violation| violation.rule).collect();
        let minimal = shrink(&scenario.faults, |some| {
            let fewer = Scenario { faults: some.to_vec(), ..scenario.clone() };
            run(&fewer, options)
                .is_ok_and(|history| verdict::judge(&history).iter().any(|b| rules.contains(&b.rule)))
        });
        println!("the fewest faults that still break one:");
        minimal.iter().for_each(|fault| println!("  {fault:?}"));
    }
    Ok(false)
}

/// Prints the addresses of the first nodes.
fn print_addresses(nodes: &[SocketAddr]) {
    let some: Vec<String> = nodes.iter().take(3).map(ToString::to_string).collect();
    println!("playing with {} nodes, at {} and so on", nodes.len(), some.join(" "));
}

/// Formats the statistics and the telemetry of a run.
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
