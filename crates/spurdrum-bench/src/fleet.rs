//! The `fleet` command: hundreds of real node processes in the standing scenario and in the fault scenarios.

use std::path::{Path, PathBuf};

use spurdrum_fleet::measure::{builds, measure, Measure};
use spurdrum_fleet::scenario::Scenario;
use spurdrum_harness::program;

/// Runs all scenarios of a directory and prints their tables. Returns an error if this build broke a rule in
/// any of them.
pub fn run(directory: &Path, seeds: u64, nodes: Vec<usize>, beside: &[PathBuf]) -> Result<(), String> {
    let builds = builds(program()?, beside);
    let seeds = (1..=seeds).collect();
    let unchanged = Measure { builds, seeds, nodes: Vec::new(), loads: Vec::new(), references: false };
    let standing_sizes = Measure { nodes, loads: vec![0.6, 0.8], references: true, ..unchanged.clone() };
    let entries =
        std::fs::read_dir(directory).map_err(|error| format!("{}: {error}", directory.display()))?;
    let mut files: Vec<PathBuf> = entries.filter_map(|entry| Some(entry.ok()?.path())).collect();
    files.retain(|path| path.extension().is_some_and(|extension| extension == "toml"));
    files.sort_by_key(|path| (path.file_stem() != Some("standing".as_ref()), path.clone()));
    let mut failed_scenarios = Vec::new();
    for path in files {
        let settings =
            if path.file_stem() == Some("standing".as_ref()) { &standing_sizes } else { &unchanged };
        let (table, rules_met) =
            measure(&Scenario::read(&path)?, settings, |violation| println!("broken: {violation}"))?;
        println!("{}\n\n{table}", path.display());
        if !rules_met {
            failed_scenarios.push(path.display().to_string());
        }
    }
    if failed_scenarios.is_empty() {
        return Ok(());
    }
    Err(format!("a rule was broken in {}", failed_scenarios.join(", ")))
}
