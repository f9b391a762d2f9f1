//! A rollout as a TOML file has it.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;
use spurdrum_facts::file;

use crate::conductor::{self, InconclusivePolicy, Timer};
use crate::judge;
use crate::version::{ApplyMethod, Change, Hash, Version};

/// Nodes at most.
const MAX_NODES: usize = 16_384;

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

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RolloutTable {
    listen: SocketAddr,
    #[serde(default = "one")]
    at_once: usize,
    back_at_once: Option<usize>,
    #[serde(default = "one")]
    least_left: usize,
    #[serde(default)]
    failures: usize,
    #[serde(default)]
    unjudged: InconclusivePolicy,
    #[serde(default = "claims")]
    claims_s: f64,
    #[serde(default = "before")]
    before_s: f64,
    #[serde(default = "trouble")]
    trouble_s: f64,
    #[serde(default = "back")]
    back_s: f64,
}

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

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct StageTable {
    nodes: Option<usize>,
    share: Option<f64>,
    #[serde(default)]
    each_zone: bool,
    #[serde(default = "least")]
    least_s: f64,
    #[serde(default = "most")]
    most_s: f64,
}

fn one() -> usize {
    1
}

fn claims() -> f64 {
    5.0
}

fn before() -> f64 {
    30.0
}

fn trouble() -> f64 {
    60.0
}

fn back() -> f64 {
    600.0
}

fn least() -> f64 {
    30.0
}

fn most() -> f64 {
    600.0
}

/// A node, and where its keeper is called.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// Its name, as its keeper has it.
    pub name: String,
    /// The address at which its supervisor listens.
    #[serde(rename = "keeper")]
    pub supervisor: SocketAddr,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
    /// It is changed in the last stage only.
    #[serde(default)]
    pub last: bool,
}

/// A stage, by how many nodes run the change when it is carried out.
#[derive(Clone, Debug, PartialEq)]
pub struct Stage {
    /// Nodes, in all or in each zone.
    pub size: StageSize,
    /// Whether it is of each zone.
    pub each_zone: bool,
    /// It is watched for so long at least.
    pub min_watch: Duration,
    /// And so long at most, unless it is held.
    pub max_watch: Duration,
}

/// How many.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StageSize {
    /// So many.
    Nodes(usize),
    /// A part of them.
    Share(f64),
}

/// A plan that was found sound.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Where the conductor can be asked and told.
    pub listen: SocketAddr,
    /// The nodes.
    pub nodes: Vec<Node>,
    /// The stages; the last one has all nodes.
    pub stages: Vec<Stage>,
    /// What is compared.
    pub judge: judge::Settings,
    change: ChangeTable,
    at_once: usize,
    back_at_once: usize,
    least_left: usize,
    failures: usize,
    unjudged: InconclusivePolicy,
    claims: Duration,
    before: Duration,
    trouble: Duration,
    back: Duration,
}

/// What is wrong: the table, the key, and why.
type Wrong = (&'static str, &'static str, String);

fn time(table: &'static str, key: &'static str, seconds: f64) -> Result<Duration, Wrong> {
    let sound =
        Duration::try_from_secs_f64(seconds).ok().filter(|time| *time <= Duration::from_secs(7 * 86_400));
    sound.ok_or_else(|| (table, key, "is no time of up to a week".to_owned()))
}

impl Plan {
    /// Reads a plan. The error names the file, the line and the key.
    ///
    /// # Errors
    ///
    /// It cannot be read, or makes no sense.
    pub fn read(path: &Path) -> Result<Self, String> {
        file::read(path, Self::parse)
    }

    /// Reads a plan's text. The error begins with the line.
    ///
    /// # Errors
    ///
    /// It makes no sense.
    pub fn parse(text: &str) -> Result<Self, String> {
        let file: File = file::from_toml(text)?;
        Self::of(file).map_err(|(table, key, why)| {
            let begins = text.lines().position(|line| {
                line.trim_start().trim_start_matches('[').starts_with(table)
                    && line.trim_start().starts_with('[')
            });
            let begins = begins.unwrap_or(0);
            let of = text.lines().skip(begins).position(|line| line.trim_start().starts_with(key));
            format!("{}: `{table}.{key}`: {why}", begins + of.unwrap_or(0) + 1)
        })
    }

    fn of(file: File) -> Result<Self, Wrong> {
        let File { rollout, change, node, stage, judge } = file;
        if node.is_empty() || node.len() > MAX_NODES {
            return Err(("node", "name", format!("there are {} nodes, not 1 to {MAX_NODES}", node.len())));
        }
        let (mut names, mut keepers) = (HashSet::new(), HashSet::new());
        for of in &node {
            if !names.insert(&of.name) || !keepers.insert(of.supervisor) {
                return Err(("node", "name", format!("`{}` or its keeper is there twice", of.name)));
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
                let why = format!("is 0: all {size} nodes of zone `{zone}` could be out at once");
                return Err(("rollout", "least_left", why));
            }
            if rollout.least_left >= size {
                let why = format!("zone `{zone}` has {size} nodes: none of them could ever be changed");
                return Err(("rollout", "least_left", why));
            }
        }
        let read = |table: &StageTable| {
            let size = match (table.nodes, table.share) {
                (Some(n), None) if n > 0 => StageSize::Nodes(n),
                (None, Some(share)) if share > 0.0 && share <= 1.0 => StageSize::Share(share),
                _ => {
                    let why = "a stage has either `nodes` above 0, or a `share` above 0 and up to 1";
                    return Err(("stage", "nodes", why.to_owned()));
                }
            };
            let (least, most) =
                (time("stage", "least_s", table.least_s)?, time("stage", "most_s", table.most_s)?);
            if most < least {
                return Err(("stage", "most_s", "is below `least_s`".to_owned()));
            }
            Ok(Stage { size, each_zone: table.each_zone, min_watch: least, max_watch: most })
        };
        let stages: Vec<Stage> = stage.iter().map(read).collect::<Result<_, _>>()?;
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
            at_once: rollout.at_once,
            back_at_once: rollout.back_at_once.unwrap_or(4 * rollout.at_once),
            least_left: rollout.least_left,
            failures: rollout.failures,
            unjudged: rollout.unjudged,
            claims: time("rollout", "claims_s", rollout.claims_s)?,
            before: time("rollout", "before_s", rollout.before_s)?,
            trouble: time("rollout", "trouble_s", rollout.trouble_s)?,
            back: time("rollout", "back_s", rollout.back_s)?,
        };
        if plan.nodes_by_stage().last().map_or(0, Vec::len) < plan.nodes.len() {
            return Err(("stage", "share", "the last stage leaves nodes out: `share = 1.0` has all".into()));
        }
        Ok(plan)
    }

    /// By stage, the places of the nodes that run the change when it is carried out. Zones take turns; nodes that are to be
    /// last come in the last stage.
    #[must_use]
    pub fn nodes_by_stage(&self) -> Vec<Vec<usize>> {
        let turn = |at: usize| {
            let of_zone = |n: &usize| self.nodes[*n].zone == self.nodes[at].zone && !self.nodes[*n].last;
            (0..at).filter(of_zone).count()
        };
        let mut order: Vec<usize> = (0..self.nodes.len()).filter(|n| !self.nodes[*n].last).collect();
        order.sort_by_key(|n| (turn(*n), *n));
        let (mut targets, mut before): (Vec<Vec<usize>>, Vec<usize>) = (Vec::new(), Vec::new());
        for (n, stage) in self.stages.iter().enumerate() {
            let count = |all: usize| match stage.size {
                StageSize::Nodes(n) => n.min(all),
                StageSize::Share(share) => (all as f64 * share).ceil() as usize,
            };
            let in_zone = |zone: &String| self.nodes.iter().filter(|node| node.zone == *zone).count();
            let wanted = |at: &usize| match stage.each_zone {
                true => turn(*at) < count(in_zone(&self.nodes[*at].zone)),
                false => order.iter().position(|n| n == at) < Some(count(self.nodes.len())),
            };
            let mut target = before.clone();
            target.extend(order.iter().copied().filter(|at| !before.contains(at) && wanted(at)));
            if n + 1 == self.stages.len() && stage.size == StageSize::Share(1.0) {
                target.extend((0..self.nodes.len()).filter(|n| self.nodes[*n].last));
            }
            before.clone_from(&target);
            targets.push(target);
        }
        targets
    }

    /// What the conductor goes by: hashes the files, where the plan does not say what they must be.
    ///
    /// # Errors
    ///
    /// A file cannot be read, or is not what the plan says.
    pub fn controller_settings(&self) -> Result<conductor::Settings, String> {
        let hash = |path: &Path, wanted: &Option<Hash>, key: &str| {
            let shown = path.display();
            let found = Hash::of_file(path);
            match (found, wanted) {
                (Ok(found), Some(wanted)) if found != *wanted => {
                    Err(format!("`change.{key}_sha256`: {shown} has another content: {}", found.text()))
                }
                (Ok(found), _) => Ok(found),
                // The files lie on the machines of the nodes; the conductor need not have them.
                (Err(_), Some(wanted)) => Ok(wanted.clone()),
                (Err(error), None) => Err(format!("`change.{key}`: {shown}: {error}")),
            }
        };
        let of = &self.change;
        let version = Version {
            program: hash(&of.program, &of.program_sha256, "program")?,
            settings: hash(&of.settings, &of.settings_sha256, "settings")?,
        };
        let whole = |path: &Path| std::path::absolute(path).unwrap_or_else(|_| path.to_owned());
        Ok(conductor::Settings {
            zones: self.nodes.iter().map(|node| node.zone.clone()).collect(),
            change: Change {
                version,
                program: Some(whole(&of.program)),
                settings: Some(whole(&of.settings)),
                how: of.how,
            },
            stages: self.nodes_by_stage(),
            max_unavailable: self.at_once,
            max_unavailable_in_rollback: self.back_at_once,
            min_available_per_zone: self.least_left,
            max_failed_steps: self.failures,
            when_inconclusive: self.unjudged,
        })
    }

    /// How long a time of the conductor's is.
    #[must_use]
    pub fn timer_duration(&self, timer: Timer) -> Duration {
        let stage = |n: usize| self.stages.get(n);
        match timer {
            Timer::ClaimTimeout => self.claims,
            Timer::Baseline => self.before,
            Timer::MinWatch(n) => stage(n).map_or(Duration::ZERO, |stage| stage.min_watch),
            Timer::MaxWatch(n) => stage(n).map_or(Duration::ZERO, |stage| stage.max_watch),
            Timer::FleetDegraded => self.trouble,
            Timer::RollbackTimeout => self.back,
        }
    }
}

/// Whether what is compared makes sense.
fn check(judge: &judge::Settings) -> Result<(), Wrong> {
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
    match bounds.into_iter().find(|(_, value, most)| !(*value > 0.0 && value <= most)) {
        Some((key, _, most)) => Err(("judge", key, format!("is not above 0 and up to {most}"))),
        None => Ok(()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn plan(nodes: usize, zones: usize, more: &str, stages: &str) -> Result<Plan, String> {
        let mut text =
            format!("[rollout]\nlisten = '127.0.0.1:1'\n{more}\n[change]\nprogram = 'p'\nsettings = 's'\n");
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
        let plan = plan(12, 3, "", &format!("{stages}{ALL}")).expect("sound");
        let targets = plan.nodes_by_stage();
        assert_eq!(targets[..3], [vec![0], vec![0, 1, 2], vec![0, 1, 2, 3, 4, 5]]);
        assert_eq!(targets[3].len(), 12);
    }

    #[test]
    fn who_is_never_first_comes_with_all() {
        let mut text =
            String::from("[rollout]\nlisten = '127.0.0.1:1'\n[change]\nprogram = 'p'\nsettings = 's'\n");
        for n in 0..4 {
            let last = n == 0;
            text += &format!("[[node]]\nname = 'n{n}'\nkeeper = '127.0.0.1:{}'\nlast = {last}\n", 2 + n);
        }
        let plan = Plan::parse(&format!("{text}[[stage]]\nshare = 0.5\n{ALL}")).expect("sound");
        assert_eq!(plan.nodes_by_stage(), [vec![1, 2], vec![1, 2, 3, 0]]);
    }

    #[test]
    fn plans_that_make_no_sense_are_refused_with_line_and_key() {
        let wrong = [
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
        for (got, says) in wrong {
            let why = got.expect_err(says);
            assert!(why.contains(says), "{why}, not {says}");
        }
    }
}
