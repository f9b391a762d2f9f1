//! Hundreds of real processes, and the hard cases.

use std::path::{Path, PathBuf};

use spurdrum_fleet::measure::{builds, measure, Measure};
use spurdrum_fleet::scenario::Scenario;
use spurdrum_harness::program;

/// Plays the scenarios of a folder, and tells their tables. An error where this build broke a rule.
pub fn play(folder: &Path, seeds: u64, nodes: Vec<usize>, beside: &[PathBuf]) -> Result<(), String> {
    let builds = builds(program()?, beside);
    let seeds = (1..=seeds).collect();
    let as_it_is = Measure { builds, seeds, nodes: Vec::new(), loads: Vec::new(), references: false };
    let standing = Measure { nodes, loads: vec![0.6, 0.8], references: true, ..as_it_is.clone() };
    let read = std::fs::read_dir(folder).map_err(|error| format!("{}: {error}", folder.display()))?;
    let mut files: Vec<PathBuf> = read.filter_map(|entry| Some(entry.ok()?.path())).collect();
    files.retain(|path| path.extension().is_some_and(|end| end == "toml"));
    files.sort_by_key(|path| (path.file_stem() != Some("standing".as_ref()), path.clone()));
    let mut broken = Vec::new();
    for path in files {
        let what = if path.file_stem() == Some("standing".as_ref()) { &standing } else { &as_it_is };
        let (table, kept) = measure(&Scenario::read(&path)?, what, |broken| println!("broken: {broken}"))?;
        println!("{}\n\n{table}", path.display());
        if !kept {
            broken.push(path.display().to_string());
        }
    }
    if broken.is_empty() {
        return Ok(());
    }
    Err(format!("a rule was broken by {}", broken.join(", ")))
}
