//! The plan of a rollout, read from a TOML file.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;
use spurdrum_facts::file;

use crate::conductor::{self, InconclusivePolicy, Timer};
use crate::judge;
use crate::version::{ApplyMethod, Change, Hash, Version};

/// Maximum number of nodes in a plan.
const MAX_NODES: usize = 16_384;

/// The plan as it stands in the file; the field names are the names of tables and keys.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    rollout: RolloutTable,
    change: ChangeTable,
    #[serde(default)]
    node: Vec<Node>,
    #[serde(default)]
    stage: Vec<StageTable>,
    #[serde(default)]
    judge: judge::Settings,
}

/// The `[rollout]` table. [`Plan`] and [`conductor::Settings`] hold the same values under more explicit names.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RolloutTable {
    listen: SocketAddr,
    /// Maximum number of nodes unavailable at once on the way forward.
    #[serde(default = "default_one")]
    at_once: usize,
    /// The same for the way back; four times `at_once` if absent.
    back_at_once: Option<usize>,
    /// Nodes of a zone that always stay available.
    #[serde(default = "default_one")]
    least_left: usize,
    /// Steps that may fail before the change is rolled back.
    #[serde(default)]
    failures: usize,
    /// What happens to a stage without a conclusive verdict.
    #[serde(default)]
    unjudged: InconclusivePolicy,
    /// Time that supervisors have to answer the claim.
    #[serde(default = "default_claims_s")]
    claims_s: f64,
    /// Length of the baseline before the first stage.
    #[serde(default = "default_before_s")]
    before_s: f64,
    /// Time for which the whole fleet may be degraded before the change is rolled back.
    #[serde(default = "default_trouble_s")]
    trouble_s: f64,
    /// Time after which a rollback ends even if some nodes are not known to run the old version.
    #[serde(default = "default_back_s")]
    back_s: f64,
}

/// The `[change]` table: the files of the change and, if stated, the hashes that they must have.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
struct ChangeTable {
    program: PathBuf,
    settings: PathBuf,
    program_sha256: Option<Hash>,
    settings_sha256: Option<Hash>,
    #[serde(default)]
    how: ApplyMethod,
}

/// A `[[stage]]` table: either `nodes` or `share`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct StageTable {
    nodes: Option<usize>,
    share: Option<f64>,
    #[serde(default)]
    each_zone: bool,
    /// Minimum watch time.
    #[serde(default = "default_least_s")]
    least_s: f64,
    /// Time after which a stage without a conclusive verdict is held or rolled back.
    #[serde(default = "default_most_s")]
    most_s: f64,
}

fn default_one() -> usize {
    1
}

fn default_claims_s() -> f64 {
    5.0
}

fn default_before_s() -> f64 {
    30.0
}

fn default_trouble_s() -> f64 {
    60.0
}

fn default_back_s() -> f64 {
    600.0
}

fn default_least_s() -> f64 {
    30.0
}

fn default_most_s() -> f64 {
    600.0
}

/// A node and the address of its supervisor.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// The name of the node, as its supervisor reports it.
    pub name: String,
    /// The address at which its supervisor listens.
    #[serde(rename = "keeper")]
    pub supervisor: SocketAddr,
    /// The zone of the node.
    #[serde(default)]
    pub zone: String,
    /// Whether the node is changed in the last stage only.
    #[serde(default)]
    pub last: bool,
}

/// A stage, given by the number of nodes that run the change when the stage is complete.
#[derive(Clone, Debug, PartialEq)]
pub struct Stage {
    /// Number of nodes, in the fleet or in each zone.
    pub size: StageSize,
    /// Whether `size` counts for each zone rather than for the whole fleet.
    pub each_zone: bool,
    /// Minimum time for which the changed nodes are watched.
    pub min_watch: Duration,
    /// Time after which a stage without a conclusive verdict is held or rolled back.
    pub max_watch: Duration,
}

/// A number of nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StageSize {
    /// An absolute number.
    Nodes(usize),
    /// A share of the nodes, rounded up.
    Share(f64),
}

/// A validated plan.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The address at which the controller answers operators.
    pub listen: SocketAddr,
    /// The nodes.
    pub nodes: Vec<Node>,
    /// The stages; the last one contains all nodes.
    pub stages: Vec<Stage>,
    /// Settings of the canary analysis.
    pub judge: judge::Settings,
    change: ChangeTable,
    max_unavailable: usize,
    max_unavailable_in_rollback: usize,
    min_available_per_zone: usize,
    max_failed_steps: usize,
    when_inconclusive: InconclusivePolicy,
    claim_timeout: Duration,
    baseline: Duration,
    max_degradation: Duration,
    rollback_timeout: Duration,
}

/// A validation error: the table, the key, and the reason.
type Invalid = (&'static str, &'static str, String);

fn time(table: &'static str, key: &'static str, seconds: f64) -> Result<Duration, Invalid> {
    let valid =
        Duration::try_from_secs_f64(seconds).ok().filter(|time| *time <= Duration::from_secs(7 * 86_400));
    valid.ok_or_else(|| (table, key, "must be a time of 0 s to 7 days".to_owned()))
}

impl Plan {
    /// Reads a plan. The error names the file, the line and the key.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or the plan is invalid.
    pub fn read(path: &Path) -> Result<Self, String> {
        file::read(path, Self::parse)
    }

    /// Parses a plan. The error begins with the line.
    ///
    /// # Errors
    ///
    /// The plan is invalid.
    pub fn parse(text: &str) -> Result<Self, String> {
        let file: File = file::from_toml(text)?;
        Self::from_file(file).map_err(|(table, key, why)| {
            let table_line = text.lines().position(|line| {
                line.trim_start().trim_start_matches('[').starts_with(table)
                    && line.trim_start().starts_with('[')
            });
            let table_line = table_line.unwrap_or(0);
            let key_line = text.lines().skip(table_line).position(|line| line.trim_start().starts_with(key));
            format!("{}: `{table}.{key}`: {why}", table_line + key_line.unwrap_or(0) + 1)
        })
    }

    fn from_file(file: File) -> Result<Self, Invalid> {
        let File { rollout, change, node, stage, judge } = file;
        if node.is_empty() || node.len() > MAX_NODES {
            return Err(("node", "name", format!("there are {} nodes, not 1 to {MAX_NODES}", node.len())));
        }
        let (mut names, mut supervisors) = (HashSet::new(), HashSet::new());
        for entry in &node {
            if !names.insert(&entry.name) || !supervisors.insert(entry.supervisor) {
                return Err((
                    "node",
                    "name",
                    format!("`{}` or its keeper address appears twice", entry.name),
                ));
            }
        }
        for hash in [&change.program_sha256, &change.settings_sha256].into_iter().flatten() {
            if !hash.is_well_formed() {
                return Err(("change", "program_sha256", "is not 64 hexadecimal digits".into()));
            }
        }
        if rollout.at_once == 0 || rollout.back_at_once == Some(0) {
            return Err(("rollout", "at_once", "is 0".into()));
        }
        let zones: HashSet<&String> = node.iter().map(|node| &node.zone).collect();
        for zone in zones {
            let size = node.iter().filter(|node| node.zone == *zone).count();
            if rollout.least_left == 0 && rollout.at_once >= size {
                let why = format!("is 0: all {size} nodes of zone `{zone}` could be unavailable at once");
                return Err(("rollout", "least_left", why));
            }
            if rollout.least_left >= size {
                let why = format!("zone `{zone}` has {size} nodes: none of them could ever be changed");
                return Err(("rollout", "least_left", why));
            }
        }
        let parse_stage = |table: &StageTable| {
            let size = match (table.nodes, table.share) {
                (Some(n), None) if n > 0 => StageSize::Nodes(n),
                (None, Some(share)) if share > 0.0 && share <= 1.0 => StageSize::Share(share),
                _ => {
                    let why = "a stage has either `nodes` above 0, or a `share` above 0 and up to 1";
                    return Err(("stage", "nodes", why.to_owned()));
                }
            };
            let (min_watch, max_watch) =
                (time("stage", "least_s", table.least_s)?, time("stage", "most_s", table.most_s)?);
            if max_watch < min_watch {
                return Err(("stage", "most_s", "is below `least_s`".to_owned()));
            }
            Ok(Stage { size, each_zone: table.each_zone, min_watch, max_watch })
        };
        let stages: Vec<Stage> = stage.iter().map(parse_stage).collect::<Result<_, _>>()?;
        if stages.is_empty() {
            return Err(("stage", "nodes", "there is no stage".into()));
        }
        check(&judge)?;
        let plan = Self {
            listen: rollout.listen,
            nodes: node,
            stages,
            judge,
            change,
            max_unavailable: rollout.at_once,
            max_unavailable_in_rollback: rollout.back_at_once.unwrap_or(4 * rollout.at_once),
            min_available_per_zone: rollout.least_left,
            max_failed_steps: rollout.failures,
            when_inconclusive: rollout.unjudged,
            claim_timeout: time("rollout", "claims_s", rollout.claims_s)?,
            baseline: time("rollout", "before_s", rollout.before_s)?,
            max_degradation: time("rollout", "trouble_s", rollout.trouble_s)?,
            rollback_timeout: time("rollout", "back_s", rollout.back_s)?,
        };
        if plan.nodes_by_stage().last().map_or(0, Vec::len) < plan.nodes.len() {
            return Err((
                "stage",
                "share",
                "the last stage leaves nodes out: use `share = 1.0` for all nodes".into(),
            ));
        }
        Ok(plan)
    }

    /// Returns for each stage the indices of the nodes that run the change when the stage is complete. Nodes are
    /// taken from the zones in turn; nodes marked `last` come in the last stage.
    #[must_use]
    pub fn nodes_by_stage(&self) -> Vec<Vec<usize>> {
        let rank_in_zone = |at: usize| {
            let same_zone = |n: &usize| self.nodes[*n].zone == self.nodes[at].zone && !self.nodes[*n].last;
            (0..at).filter(same_zone).count()
        };
        let mut order: Vec<usize> = (0..self.nodes.len()).filter(|n| !self.nodes[*n].last).collect();
        order.sort_by_key(|n| (rank_in_zone(*n), *n));
        let (mut stages, mut previous): (Vec<Vec<usize>>, Vec<usize>) = (Vec::new(), Vec::new());
        for (n, stage) in self.stages.iter().enumerate() {
            let count = |all: usize| match stage.size {
                StageSize::Nodes(n) => n.min(all),
                StageSize::Share(share) => (all as f64 * share).ceil() as usize,
            };
            let in_zone = |zone: &String| self.nodes.iter().filter(|node| node.zone == *zone).count();
            let selected = |at: &usize| match stage.each_zone {
                true => rank_in_zone(*at) < count(in_zone(&self.nodes[*at].zone)),
                false => order.iter().position(|n| n == at) < Some(count(self.nodes.len())),
            };
            let mut nodes = previous.clone();
            nodes.extend(order.iter().copied().filter(|at| !previous.contains(at) && selected(at)));
            if n + 1 == self.stages.len() && stage.size == StageSize::Share(1.0) {
                nodes.extend((0..self.nodes.len()).filter(|n| self.nodes[*n].last));
            }
            previous.clone_from(&nodes);
            stages.push(nodes);
        }
        stages
    }

    /// Returns the settings of the controller. Hashes the files of the change and compares them with the hashes
    /// that the plan states, if any.
    ///
    /// # Errors
    ///
    /// A file whose hash the plan does not state cannot be read, or a file does not have the stated hash.
    pub fn controller_settings(&self) -> Result<conductor::Settings, String> {
        let hash = |path: &Path, expected: &Option<Hash>, key: &str| {
            let shown = path.display();
            let found = Hash::of_file(path);
            match (found, expected) {
                (Ok(found), Some(expected)) if found != *expected => {
                    Err(format!("`change.{key}_sha256`: {shown} has another hash: {}", found.text()))
                }
                (Ok(found), _) => Ok(found),
                // The files are on the nodes' machines; the controller's machine need not have them.
                (Err(_), Some(expected)) => Ok(expected.clone()),
                (Err(error), None) => Err(format!("`change.{key}`: {shown}: {error}")),
            }
        };
        let change = &self.change;
        let version = Version {
            program: hash(&change.program, &change.program_sha256, "program")?,
            settings: hash(&change.settings, &change.settings_sha256, "settings")?,
        };
        let absolute = |path: &Path| std::path::absolute(path).unwrap_or_else(|_| path.to_owned());
        Ok(conductor::Settings {
            zones: self.nodes.iter().map(|node| node.zone.clone()).collect(),
            change: Change {
                version,
                program: Some(absolute(&change.program)),
                settings: Some(absolute(&change.settings)),
                how: change.how,
            },
            stages: self.nodes_by_stage(),
            max_unavailable: self.max_unavailable,
            max_unavailable_in_rollback: self.max_unavailable_in_rollback,
            min_available_per_zone: self.min_available_per_zone,
            max_failed_steps: self.max_failed_steps,
            when_inconclusive: self.when_inconclusive,
        })
    }

    /// Duration of one of the controller's timers.
    #[must_use]
    pub fn timer_duration(&self, timer: Timer) -> Duration {
        let stage = |n: usize| self.stages.get(n);
        match timer {
            Timer::ClaimTimeout => self.claim_timeout,
            Timer::Baseline => self.baseline,
            Timer::MinWatch(n) => stage(n).map_or(Duration::ZERO, |stage| stage.min_watch),
            Timer::MaxWatch(n) => stage(n).map_or(Duration::ZERO, |stage| stage.max_watch),
            Timer::FleetDegraded => self.max_degradation,
            Timer::RollbackTimeout => self.rollback_timeout,
        }
    }
}

/// Validates the settings of the canary analysis.
fn check(judge: &judge::Settings) -> Result<(), Invalid> {
    let bounds = [
        ("false_stops", judge.false_stops, 0.5),
        ("failed", judge.failed, 1.0),
        ("refused", judge.refused, 1.0),
        ("slow", judge.slow, 1.0),
        ("attempts", judge.attempts, 1.0),
        ("down", judge.down, 1.0),
        ("trouble", judge.trouble, 1.0),
        ("settle_s", judge.settle_s, 3600.0),
        ("growth", judge.growth, 1000.0),
    ];
    match bounds.into_iter().find(|(_, value, max)| !(*value > 0.0 && value <= max)) {
        Some((key, _, max)) => Err(("judge", key, format!("is not above 0 and up to {max}"))),
        None => Ok(()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn plan(nodes: usize, zones: usize, rollout_keys: &str, stages: &str) -> Result<Plan, String> {
        let mut text = format!(
            "[rollout]\nlisten = '127.0.0.1:1'\n{rollout_keys}\n[change]\nprogram = 'p'\nsettings = 's'\n"
        );
        for n in 0..nodes {
            text += &format!(
                "[[node]]\nname = 'n{n}'\nkeeper = '127.0.0.1:{}'\nzone = 'z{}'\n",
                2 + n,
                n % zones
            );
        }
        Plan::parse(&(text + stages))
    }

    const ALL: &str = "[[stage]]\nshare = 1.0\n";

    #[test]
    fn stages_grow_and_zones_take_turns() {
        let stages = "[[stage]]\nnodes = 1\n[[stage]]\nnodes = 1\neach_zone = true\n[[stage]]\nshare = 0.5\n";
        let plan = plan(12, 3, "", &format!("{stages}{ALL}")).expect("a valid plan");
        let stage_nodes = plan.nodes_by_stage();
        assert_eq!(stage_nodes[..3], [vec![0], vec![0, 1, 2], vec![0, 1, 2, 3, 4, 5]]);
        assert_eq!(stage_nodes[3].len(), 12);
    }

    #[test]
    fn nodes_marked_last_come_in_the_last_stage() {
        let mut text =
            String::from("[rollout]\nlisten = '127.0.0.1:1'\n[change]\nprogram = 'p'\nsettings = 's'\n");
        for n in 0..4 {
            let last = n == 0;
            text += &format!("[[node]]\nname = 'n{n}'\nkeeper = '127.0.0.1:{}'\nlast = {last}\n", 2 + n);
        }
        let plan = Plan::parse(&format!("{text}[[stage]]\nshare = 0.5\n{ALL}")).expect("a valid plan");
        assert_eq!(plan.nodes_by_stage(), [vec![1, 2], vec![1, 2, 3, 0]]);
    }

    #[test]
    fn invalid_plans_are_rejected_with_line_and_key() {
        let invalid = [
            (
                plan(4, 2, "least_left = 0\nat_once = 2", ALL),
                "3: `rollout.least_left`: is 0: all 2 nodes of zone",
            ),
            (plan(4, 2, "least_left = 2", ALL), "3: `rollout.least_left`: zone `z"),
            (plan(4, 2, "at_once = 0", ALL), "3: `rollout.at_once`: is 0"),
            (plan(4, 2, "at_onse = 1", ALL), "3: `at_onse`: unknown field"),
            (plan(2, 1, "", ""), "`stage.nodes`: there is no stage"),
            (plan(2, 1, "", "[[stage]]\nnodes = 1\n"), "`stage.share`: the last stage leaves nodes out"),
            (plan(2, 1, "", "[[stage]]\nshare = 2.0\n"), "15: `stage.nodes`: a stage has either"),
            (
                plan(2, 1, "", &format!("[judge]\nfailed = 2.0\n{ALL}")),
                "16: `judge.failed`: is not above 0 and up to 1",
            ),
            (
                plan(2, 1, "", "[[stage]]\nshare = 1.0\nleast_s = 9\nmost_s = 5\n"),
                "18: `stage.most_s`: is below",
            ),
            (plan(0, 1, "", ALL), "`node.name`: there are 0 nodes"),
        ];
        for (result, expected) in invalid {
            let why = result.expect_err(expected);
            assert!(why.contains(expected), "{why}, not {expected}");
        }
    }
}
