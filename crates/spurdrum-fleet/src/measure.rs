//! Runs scenarios with several builds, seeds and sizes, and tabulates means and standard deviations of the statistics.

use std::fmt::Write as _;
use std::path::PathBuf;

use crate::figures::{self, RunStatistics};
use crate::history::History;
use crate::references::{simulate, Policy};
use crate::run::{run, Options};
use crate::scenario::Scenario;
use crate::verdict;

/// The runs of a measurement.
#[derive(Clone, Debug)]
pub struct Measure {
    /// Builds of the program, by name.
    pub builds: Vec<(String, PathBuf)>,
    /// Seeds; each combination of the other parameters runs once with each seed.
    pub seeds: Vec<u64>,
    /// Numbers of nodes; if empty, the scenario's own.
    pub nodes: Vec<usize>,
    /// Loads; if empty, the scenario's own.
    pub loads: Vec<f64>,
    /// Whether reference policies are simulated on the same arrivals.
    pub references: bool,
}

/// Returns this build and the builds to compare it with, by name.
#[must_use]
pub fn builds(this: PathBuf, beside: &[PathBuf]) -> Vec<(String, PathBuf)> {
    let others = beside.iter().enumerate().map(|(n, path)| (format!("beside {}", n + 1), path.clone()));
    std::iter::once(("this".to_owned(), this)).chain(others).collect()
}

/// A row of the table: its name, and the statistics of each run.
type Row = (String, Vec<Vec<(&'static str, f64)>>);

/// Runs everything, and returns the table and whether the first build kept every rule. Passes violations to `report`.
///
/// # Errors
///
/// A scenario could not be run.
pub fn measure(
    scenario: &Scenario,
    measure: &Measure,
    mut report: impl FnMut(&str),
) -> Result<(String, bool), String> {
    let or_default = |list: &[f64], own: f64| if list.is_empty() { vec![own] } else { list.to_vec() };
    let sizes = if measure.nodes.is_empty() { vec![scenario.nodes] } else { measure.nodes.clone() };
    let (mut rows, mut all_kept): (Vec<Row>, bool) = (Vec::new(), true);
    for nodes in sizes {
        for load in or_default(&measure.loads, scenario.load) {
            let mut group: Vec<Row> = Vec::new();
            for seed in &measure.seeds {
                let scenario = Scenario { seed: *seed, nodes, load, ..scenario.clone() };
                for (n, (name, program)) in measure.builds.iter().enumerate() {
                    let options = Options::new(program.clone());
                    let history = run(&scenario, &options)?;
                    let violations = verdict::judge(&history);
                    all_kept &= n > 0 || violations.is_empty();
                    violations
                        .iter()
                        .take(3)
                        .for_each(|violation| report(&format!("{name}, seed {seed}: {violation}")));
                    put(&mut group, &format!("{nodes} nodes, {load}: {name}"), columns(&history));
                    if measure.references && n == 0 {
                        for policy in Policy::ALL {
                            let simulated = simulate(&history, &scenario, policy);
                            put(
                                &mut group,
                                &format!("{nodes} nodes, {load}: {}", policy.name()),
                                columns(&simulated),
                            );
                        }
                    }
                }
            }
            rows.extend(group);
        }
    }
    Ok((table(&rows), all_kept))
}

/// Adds the statistics of one run to the row of this name.
fn put(rows: &mut Vec<Row>, name: &str, columns: Vec<(&'static str, f64)>) {
    match rows.iter_mut().find(|(row, _)| row == name) {
        Some((_, runs)) => runs.push(columns),
        None => rows.push((name.to_owned(), vec![columns])),
    }
}

/// Returns the statistics of a run, by column name.
fn columns(history: &History) -> Vec<(&'static str, f64)> {
    let mut columns = RunStatistics::columns(&figures::of(history)).to_vec();
    if !history.faults.is_empty() {
        columns.push(("herd after", figures::max_herd_at_faults(history)));
        columns.push(("even again", figures::recovery_s(history, 1.2).unwrap_or(f64::INFINITY)));
    }
    columns.push(("connections", history.connections as f64));
    columns
}

/// Formats a table with a row for each build or policy and a column for each statistic: its mean, and its standard deviation where
/// there are several seeds.
fn table(rows: &[Row]) -> String {
    let mut table = String::new();
    let Some((_, first)) = rows.first() else { return table };
    let names: Vec<&str> = first[0].iter().map(|(name, _)| *name).collect();
    let _ = writeln!(table, "| | {} |", names.join(" | "));
    let _ = writeln!(table, "| --- |{}", " --- |".repeat(names.len()));
    for (name, runs) in rows {
        let _ = write!(table, "| {name} |");
        for column in &names {
            let values: Vec<f64> = runs
                .iter()
                .flatten()
                .filter(|(statistic, _)| statistic == column)
                .map(|(_, value)| *value)
                .collect();
            let _ = match values.is_empty() {
                true => write!(table, " |"),
                false => write!(table, " {} |", mean(&values)),
            };
        }
        table.push('\n');
    }
    table
}

/// Formats the mean and the standard deviation of the values.
fn mean(values: &[f64]) -> String {
    let count = values.len() as f64;
    let mean = values.iter().sum::<f64>() / count;
    let digits = match mean.abs() {
        m if m >= 100.0 => 0,
        m if m >= 10.0 => 1,
        _ => 3,
    };
    if values.len() < 2 || !mean.is_finite() {
        return format!("{mean:.digits$}");
    }
    let deviation = (values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / (count - 1.0)).sqrt();
    format!("{mean:.digits$} ±{deviation:.digits$}")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_table_has_means_and_deviations_and_empty_cells_for_missing_statistics() {
        let mut rows = Vec::new();
        put(&mut rows, "new", vec![("most", 1.0), ("herd after", 2.0)]);
        put(&mut rows, "new", vec![("most", 3.0), ("herd after", 2.0)]);
        put(&mut rows, "random", vec![("most", 150.0)]);
        let lines: Vec<String> = table(&rows).lines().map(str::to_owned).collect();
        assert_eq!(lines[0], "| | most | herd after |");
        assert_eq!(lines[2], "| new | 2.000 ±1.414 | 2.000 ±0.000 |");
        assert_eq!(lines[3], "| random | 150 | |");
    }
}
