//! What a fleet is and what happens to it, as a TOML file has it.

use std::path::Path;

use serde::de::DeserializeOwned;
use serde::Deserialize;
use spurdrum_facts::file;

/// A fleet and its script.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Drives all that is random: the same seed gives the same order of faults.
    #[serde(default)]
    pub seed: u64,
    /// Requests that are told apart by id and key; later ones are counted, and no more.
    #[serde(default = "tracked")]
    pub track: usize,
    /// Attempts that are logged one by one, with their times; later ones are counted, and no more.
    #[serde(default)]
    pub log: usize,
    /// Kinds of servers.
    #[serde(rename = "servers")]
    pub groups: Vec<Spec>,
    /// The list of servers.
    #[serde(default)]
    pub catalog: CatalogScript,
    /// What happens, and when.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
}

/// What servers of one kind are.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Spec {
    /// Their names are this with a number.
    pub name: String,
    /// How many there are.
    pub count: usize,
    /// Work that it does at once at full speed.
    pub cores: u32,
    /// Against a yardstick of 1.
    pub speed: f64,
    /// Requests that it works on at once.
    pub slots: usize,
    /// Requests that wait for a slot; the next are turned away.
    pub queue: usize,
    /// Work of a request in milliseconds on one core of speed 1: its mean.
    pub work_ms: f64,
    /// How work is spread round the mean.
    pub work: Distribution,
    /// Part of its speed that it has when it starts cold.
    pub cold_from: f64,
    /// Time in which a cold one becomes warm, in seconds.
    pub cold_s: f64,
    /// A cold one that is sent more than this many times what it can do falls over...
    pub fall_multiple: f64,
    /// ...where that lasts for so long, in seconds.
    pub fall_s: f64,
    /// Load reports are made this often, in milliseconds; 0: for every answer.
    pub report_ms: f64,
    /// Part by which a report may be off.
    pub report_noise: f64,
    /// Connections that it holds; the next are closed as they come.
    pub connections: usize,
    /// Its zone.
    pub zone: String,
    /// Its machine kind.
    pub kind: String,
}

/// How work is spread round its mean.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Distribution {
    /// Always the same.
    Constant,
    /// Without memory.
    Exponential,
    /// Long-tailed, with a deviation of the mean's size.
    Lognormal,
}

/// The catalog.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CatalogScript {
    /// Changes are told so late, in milliseconds.
    pub delay_ms: u64,
    /// Changes that it remembers: a watch from before them gets the whole list.
    pub keeps: Option<usize>,
}

/// Something that happens to a server, or to the catalog.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// A server's name, or `catalog`.
    pub on: String,
    /// What.
    pub kind: FaultKind,
    /// From when, in seconds.
    #[serde(default)]
    pub at_s: f64,
    /// For how long, in seconds; to the end where it is left out.
    pub for_s: Option<f64>,
    /// Part of the requests that it befalls.
    #[serde(default = "whole")]
    pub part: f64,
    /// How many times slower.
    #[serde(default = "whole")]
    pub factor: f64,
    /// How much later, in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
}

/// What happens.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// It does nothing meanwhile, and goes on then.
    Pause,
    /// It works `factor` times slower.
    Slow,
    /// It turns requests away with 503 and `X-Not-Run: 1`.
    Refuse,
    /// It runs requests and answers 500.
    Error,
    /// It resets a connection before the request's last byte.
    ResetBefore,
    /// It runs the request and resets its connection.
    ResetAfter,
    /// It runs the request and never answers.
    Silent,
    /// It answers with half of the body and ends the connection.
    Spoilt,
    /// A second copy of a good answer follows it, `delay_ms` later.
    Surplus,
    /// It drains: the catalog says so, and it goes on with what it has.
    Drain,
    /// It is replaced by a cold one of another name and address.
    Replace,
    /// It dies: connections are reset and new ones refused.
    Die,
    /// The catalog is down: watches end and calls get 503.
    Outage,
    /// Watches of the catalog are never answered.
    HangWatches,
    /// Calls for the whole list are never answered.
    HangReads,
    /// The catalog says nothing to anybody.
    Hang,
    /// Its answers stop in the middle of the body, and their connections stay open.
    Half,
    /// Its answers come one byte a second.
    Trickle,
    /// It works through calls in turn, each for `delay_ms`.
    Queue,
    /// It answers at its second address; at the first one it says nothing from then on.
    Move,
}

impl FaultKind {
    /// Whether it befalls the catalog, and not a server.
    pub fn is_of_catalog(self) -> bool {
        use FaultKind::*;
        matches!(self, Outage | HangWatches | HangReads | Hang | Half | Trickle | Queue | Move)
    }
}

fn tracked() -> usize {
    1 << 20
}

fn whole() -> f64 {
    1.0
}

impl Default for Spec {
    fn default() -> Self {
        Self {
            name: "s".into(),
            count: 1,
            cores: 2,
            speed: 1.0,
            slots: 8,
            queue: 32,
            work_ms: 10.0,
            work: Distribution::Constant,
            cold_from: 0.3,
            cold_s: 8.0,
            fall_multiple: 2.5,
            fall_s: 3.0,
            report_ms: 0.0,
            report_noise: 0.0,
            connections: 1000,
            zone: "a".into(),
            kind: "m".into(),
        }
    }
}

/// What makes no sense: the key, which of the lines that begin with it, and why.
pub type InvalidKey = (&'static str, usize, String);

/// Reads TOML and checks what it says. The error begins with the line, and names the key.
///
/// # Errors
///
/// The text is no TOML of this kind, or `check` finds something wrong.
pub fn parse_checked<T: DeserializeOwned>(
    text: &str,
    check: impl Fn(&T) -> Result<(), InvalidKey>,
) -> Result<T, String> {
    let read: T = file::from_toml(text)?;
    check(&read).map_err(|(key, nth, why)| {
        let named = |line: &str| line.trim_start().split(['=', ' ']).next() == Some(key);
        let mut lines = text.lines().enumerate().filter(|(_, line)| named(line)).map(|(n, _)| n + 1);
        let line = lines.nth(nth).unwrap_or(1);
        format!("{line}: `{key}`: {why}")
    })?;
    Ok(read)
}

impl Scenario {
    /// Reads a scenario. The error names the file, the line and the key.
    pub fn read(path: &Path) -> Result<Self, String> {
        file::read(path, Self::parse)
    }

    /// Reads a scenario's text. The error begins with the line.
    pub fn parse(text: &str) -> Result<Self, String> {
        parse_checked(text, Self::check)
    }

    /// The servers' names, with what each is.
    pub fn servers(&self) -> impl Iterator<Item = (String, &Spec)> {
        self.groups.iter().flat_map(|spec| (0..spec.count).map(move |n| (format!("{}{n}", spec.name), spec)))
    }

    fn check(&self) -> Result<(), InvalidKey> {
        let positive = |x: f64| x.is_finite() && x > 0.0;
        let count: usize = self.groups.iter().map(|spec| spec.count).sum();
        if count == 0 || count > 10_000 {
            return Err(("count", 0, format!("{count} servers are not between 1 and 10,000")));
        }
        for (n, s) in self.groups.iter().enumerate() {
            if s.cores == 0 || s.slots == 0 || s.connections == 0 {
                return Err(("cores", n, "`cores`, `slots` and `connections` are above 0".into()));
            }
            if !(positive(s.speed) && positive(s.work_ms) && s.work_ms <= 60_000.0) {
                return Err(("work_ms", n, "`speed` and `work_ms` are above 0, work up to a minute".into()));
            }
            if !(positive(s.cold_from) && s.cold_from <= 1.0 && positive(s.cold_s)) {
                return Err((
                    "cold_from",
                    n,
                    "`cold_from` is a part above 0, `cold_s` a time above 0".into(),
                ));
            }
            if !(positive(s.fall_multiple) && positive(s.fall_s) && s.report_ms >= 0.0) {
                return Err((
                    "fall_multiple",
                    n,
                    "`fall_multiple`, `fall_s` are above 0, `report_ms` 0 or above".into(),
                ));
            }
            if !(0.0..1.0).contains(&s.report_noise) {
                return Err(("report_noise", n, "is no part from 0 to under 1".into()));
            }
        }
        for (n, fault) in self.faults.iter().enumerate() {
            let on_catalog = fault.on == "catalog";
            if on_catalog != fault.kind.is_of_catalog() {
                return Err(("on", n, format!("{:?} cannot happen to `{}`", fault.kind, fault.on)));
            }
            if !on_catalog && !self.servers().any(|(name, _)| name == fault.on) {
                return Err(("on", n, format!("there is no server `{}`", fault.on)));
            }
            let times = fault.at_s >= 0.0 && fault.for_s.is_none_or(positive);
            if !(times && (0.0..=1.0).contains(&fault.part) && positive(fault.factor)) {
                return Err(("at_s", n, "times and `factor` are above 0, `part` is from 0 to 1".into()));
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_wrong_is_named_with_line_and_key() {
        let cases = [
            ("[[servers]]\ncoers = 2\n", "2: `coers`"),
            ("[[servers]]\ncores = 0\n", "2: `cores`"),
            ("[[servers]]\nname = \"x\"\n[[fault]]\non = \"x7\"\nkind = \"pause\"\n", "4: `on`"),
            ("[[servers]]\n[[fault]]\non = \"s0\"\nkind = \"outage\"\n", "3: `on`"),
            ("[[servers]]\n[[fault]]\non = \"s0\"\nkind = \"sleep\"\n", "4: `kind`"),
            ("seed = -1\n[[servers]]\n", "1: `seed`"),
        ];
        for (text, named) in cases {
            let why = Scenario::parse(text).expect_err(text);
            assert!(why.starts_with(named), "{text}: {why}");
        }
        let scenario = Scenario::parse("[[servers]]\ncount = 2\n[[servers]]\nname = \"big\"\ncores = 4\n")
            .expect("sound");
        let names: Vec<String> = scenario.servers().map(|(name, _)| name).collect();
        assert_eq!(names, ["s0", "s1", "big0"]);
    }
}
