//! Scenarios played with several builds, seeds and sizes, and a table of the figures' means and deviations.

use std::fmt::Write as _;
use std::path::PathBuf;

use crate::figures::{self, Figures};
use crate::history::History;
use crate::references::{play, Way};
use crate::run::{run, Options};
use crate::scenario::Scenario;
use crate::verdict;

/// What is measured.
#[derive(Clone, Debug)]
pub struct Measure {
    /// Builds of the program, with their names.
    pub builds: Vec<(String, PathBuf)>,
    /// One run for each.
    pub seeds: Vec<u64>,
    /// Numbers of nodes; the scenario's own where there are none.
    pub nodes: Vec<usize>,
    /// Loads; the scenario's own where there are none.
    pub loads: Vec<f64>,
    /// Whether other ways to choose are computed on the same arrivals.
    pub references: bool,
}

/// This build, and others to set beside it.
#[must_use]
pub fn builds(this: PathBuf, beside: &[PathBuf]) -> Vec<(String, PathBuf)> {
    let others = beside.iter().enumerate().map(|(n, path)| (format!("beside {}", n + 1), path.clone()));
    std::iter::once(("this".to_owned(), this)).chain(others).collect()
}

/// Figures by run, under a name.
type Row = (String, Vec<Vec<(&'static str, f64)>>);

/// Plays it all, and tells the table and whether every rule was kept by the first build. `says` is told what was broken.
///
/// # Errors
///
/// Says what could not be played.
pub fn measure(
    scenario: &Scenario,
    measure: &Measure,
    mut says: impl FnMut(&str),
) -> Result<(String, bool), String> {
    let or = |list: &[f64], own: f64| if list.is_empty() { vec![own] } else { list.to_vec() };
    let sizes = if measure.nodes.is_empty() { vec![scenario.nodes] } else { measure.nodes.clone() };
    let (mut rows, mut kept): (Vec<Row>, bool) = (Vec::new(), true);
    for nodes in sizes {
        for load in or(&measure.loads, scenario.load) {
            let mut of: Vec<Row> = Vec::new();
            for seed in &measure.seeds {
                let scenario = Scenario { seed: *seed, nodes, load, ..scenario.clone() };
                for (n, (name, program)) in measure.builds.iter().enumerate() {
                    let options = Options::new(program.clone());
                    let history = run(&scenario, &options)?;
                    let broken = verdict::judge(&history);
                    kept &= n > 0 || broken.is_empty();
                    broken.iter().take(3).for_each(|broken| says(&format!("{name}, seed {seed}: {broken}")));
                    put(&mut of, &format!("{nodes} nodes, {load}: {name}"), columns(&history));
                    if measure.references && n == 0 {
                        for way in Way::ALL {
                            let played = play(&history, &scenario, way);
                            put(&mut of, &format!("{nodes} nodes, {load}: {}", way.name()), columns(&played));
                        }
                    }
                }
            }
            rows.extend(of);
        }
    }
    Ok((table(&rows), kept))
}

fn put(rows: &mut Vec<Row>, name: &str, columns: Vec<(&'static str, f64)>) {
    match rows.iter_mut().find(|(of, _)| of == name) {
        Some((_, runs)) => runs.push(columns),
        None => rows.push((name.to_owned(), vec![columns])),
    }
}

fn columns(history: &History) -> Vec<(&'static str, f64)> {
    let mut columns = Figures::columns(&figures::of(history)).to_vec();
    if !history.faults.is_empty() {
        columns.push(("herd after", figures::max_herd_at_faults(history)));
        columns.push(("even again", figures::recovery_s(history, 1.2).unwrap_or(f64::INFINITY)));
    }
    columns.push(("connections", history.connections as f64));
    columns
}

/// One row for each way, one column for each figure: its mean, and its deviation where there are several seeds.
fn table(rows: &[Row]) -> String {
    let mut table = String::new();
    let Some((_, first)) = rows.first() else { return table };
    let names: Vec<&str> = first[0].iter().map(|(name, _)| *name).collect();
    let _ = writeln!(table, "| | {} |", names.join(" | "));
    let _ = writeln!(table, "| --- |{}", " --- |".repeat(names.len()));
    for (name, runs) in rows {
        let _ = write!(table, "| {name} |");
        for column in &names {
            let values: Vec<f64> =
                runs.iter().flatten().filter(|(of, _)| of == column).map(|(_, value)| *value).collect();
            let _ = match values.is_empty() {
                true => write!(table, " |"),
                false => write!(table, " {} |", mean(&values)),
            };
        }
        table.push('\n');
    }
    table
}

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
    fn a_table_has_means_and_deviations_and_gaps_where_a_way_has_no_figure() {
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
