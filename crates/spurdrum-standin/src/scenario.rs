//! The scenario file (TOML): the servers of a fleet, the catalog, and the faults that happen to them.

use std::path::Path;

use serde::de::DeserializeOwned;
use serde::Deserialize;
use spurdrum_facts::file;

/// A fleet and its schedule of faults.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Seed of all randomness: the same seed gives the same sequence of faults.
    #[serde(default)]
    pub seed: u64,
    /// Maximum number of requests that are tracked individually by id and idempotency key. Later ones are
    /// only counted.
    #[serde(default = "default_track")]
    pub track: usize,
    /// Maximum number of attempts that are logged individually with their times. Later ones are only
    /// counted.
    #[serde(default)]
    pub log: usize,
    /// Groups of servers with the same properties.
    #[serde(rename = "servers")]
    pub groups: Vec<Spec>,
    /// The catalog, which publishes the list of servers.
    #[serde(default)]
    pub catalog: CatalogScript,
    /// Faults, with their times.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
}

/// The properties of the servers of one group.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Spec {
    /// Prefix of the servers' names; a number follows.
    pub name: String,
    /// Number of servers.
    pub count: usize,
    /// Number of cores: requests that run concurrently at full speed.
    pub cores: u32,
    /// Speed of a core, relative to a standard core of speed 1.
    pub speed: f64,
    /// Maximum number of requests that run concurrently.
    pub slots: usize,
    /// Maximum number of requests that wait for a slot; further ones are refused.
    pub queue: usize,
    /// Mean work of a request, in milliseconds on one core of speed 1.
    pub work_ms: f64,
    /// Distribution of the work of a request.
    pub work: Distribution,
    /// Fraction of its full speed that a server has at the beginning of slow start.
    pub cold_from: f64,
    /// Length of slow start, in seconds.
    pub cold_s: f64,
    /// A server in slow start collapses if it receives more than this multiple of its capacity...
    pub fall_multiple: f64,
    /// ...within a window of this length, in seconds.
    pub fall_s: f64,
    /// Interval between new load reports, in milliseconds; 0 makes one for every response.
    pub report_ms: f64,
    /// Maximum relative error of a load report.
    pub report_noise: f64,
    /// Maximum number of open connections; further ones are closed when accepted.
    pub connections: usize,
    /// Zone of the servers.
    pub zone: String,
    /// Machine kind of the servers.
    pub kind: String,
}

/// Distribution of work round its mean.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Distribution {
    /// Constant: every request has the mean.
    Constant,
    /// Exponential (memoryless).
    Exponential,
    /// Lognormal: long-tailed, with a standard deviation equal to the mean.
    Lognormal,
}

/// Settings of the catalog.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CatalogScript {
    /// Delay before a change is published, in milliseconds.
    pub delay_ms: u64,
    /// Number of changes that the catalog remembers: a watch from an older revision gets the full list.
    pub keeps: Option<usize>,
}

/// A fault of a server or of the catalog.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Name of the affected server, or `catalog`.
    pub on: String,
    /// Kind of fault.
    pub kind: FaultKind,
    /// Start of the fault, in seconds since the start of the scenario.
    #[serde(default)]
    pub at_s: f64,
    /// Duration in seconds; if left out, the fault lasts until the end of the scenario.
    pub for_s: Option<f64>,
    /// Fraction of the requests that are hit.
    #[serde(default = "one")]
    pub part: f64,
    /// Slowdown factor of a `slow` fault.
    #[serde(default = "one")]
    pub factor: f64,
    /// Delay of a `surplus` or `queue` fault, in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
}

/// The kinds of faults.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The server does no work for the duration and continues afterwards.
    Pause,
    /// The server works `factor` times slower.
    Slow,
    /// The server refuses requests with 503 and `X-Not-Run: 1`.
    Refuse,
    /// The server runs requests and answers 500.
    Error,
    /// The server resets a connection before the request's last byte.
    ResetBefore,
    /// The server runs the request and resets its connection.
    ResetAfter,
    /// The server runs the request and never answers.
    Silent,
    /// The server sends half of the response body and closes the connection.
    Spoilt,
    /// A second copy of a successful response follows the first, `delay_ms` later.
    Surplus,
    /// The server drains: the catalog lists it as leaving while it finishes its requests.
    Drain,
    /// The server is replaced by one with another name and address, which begins in slow start.
    Replace,
    /// The server dies: open connections are reset and new ones refused.
    Die,
    /// The catalog is down: watches end and calls are answered with 503.
    Outage,
    /// The catalog never answers watches.
    HangWatches,
    /// The catalog never answers reads of the full list.
    HangReads,
    /// The catalog answers no calls.
    Hang,
    /// The catalog's responses stop in the middle of the body, and their connections stay open.
    Half,
    /// The catalog sends its responses at one byte per second.
    Trickle,
    /// The catalog processes calls one at a time, each for `delay_ms`.
    Queue,
    /// The catalog answers at its second address and no longer at its first.
    Move,
}

impl FaultKind {
    /// Returns whether the fault affects the catalog, not a server.
    pub fn affects_catalog(self) -> bool {
        use FaultKind::*;
        matches!(self, Outage | HangWatches | HangReads | Hang | Half | Trickle | Queue | Move)
    }
}

fn default_track() -> usize {
    1 << 20
}

fn one() -> f64 {
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

/// An invalid value: its key, the index among the lines that begin with this key, and the reason.
pub type InvalidKey = (&'static str, usize, String);

/// Parses TOML and validates the result with `check`. The error begins with the line number and names the
/// key.
///
/// # Errors
///
/// The text is not TOML of this type, or `check` rejects a value.
pub fn parse_checked<T: DeserializeOwned>(
    text: &str,
    check: impl Fn(&T) -> Result<(), InvalidKey>,
) -> Result<T, String> {
    let parsed: T = file::from_toml(text)?;
    check(&parsed).map_err(|(key, index, why)| {
        let has_key = |line: &str| line.trim_start().split(['=', ' ']).next() == Some(key);
        let mut lines = text.lines().enumerate().filter(|(_, line)| has_key(line)).map(|(n, _)| n + 1);
        let line = lines.nth(index).unwrap_or(1);
        format!("{line}: `{key}`: {why}")
    })?;
    Ok(parsed)
}

impl Scenario {
    /// Reads a scenario from a file. The error names the file, the line and the key.
    pub fn read(path: &Path) -> Result<Self, String> {
        file::read(path, Self::parse)
    }

    /// Parses the text of a scenario. The error begins with the line number.
    pub fn parse(text: &str) -> Result<Self, String> {
        parse_checked(text, Self::check)
    }

    /// Returns the names of all servers with their properties.
    pub fn servers(&self) -> impl Iterator<Item = (String, &Spec)> {
        self.groups.iter().flat_map(|spec| (0..spec.count).map(move |n| (format!("{}{n}", spec.name), spec)))
    }

    fn check(&self) -> Result<(), InvalidKey> {
        let positive = |x: f64| x.is_finite() && x > 0.0;
        let count: usize = self.groups.iter().map(|spec| spec.count).sum();
        if count == 0 || count > 10_000 {
            return Err((
                "count",
                0,
                format!("the total number of servers is {count}; it must be from 1 to 10,000"),
            ));
        }
        for (n, s) in self.groups.iter().enumerate() {
            if s.cores == 0 || s.slots == 0 || s.connections == 0 {
                return Err(("cores", n, "`cores`, `slots` and `connections` must be above 0".into()));
            }
            if !(positive(s.speed) && positive(s.work_ms) && s.work_ms <= 60_000.0) {
                return Err((
                    "work_ms",
                    n,
                    "`speed` and `work_ms` must be above 0, `work_ms` at most 60,000".into(),
                ));
            }
            if !(positive(s.cold_from) && s.cold_from <= 1.0 && positive(s.cold_s)) {
                return Err((
                    "cold_from",
                    n,
                    "`cold_from` must be above 0 and at most 1, `cold_s` above 0".into(),
                ));
            }
            if !(positive(s.fall_multiple) && positive(s.fall_s) && s.report_ms >= 0.0) {
                return Err((
                    "fall_multiple",
                    n,
                    "`fall_multiple` and `fall_s` must be above 0, `report_ms` at least 0".into(),
                ));
            }
            if !(0.0..1.0).contains(&s.report_noise) {
                return Err(("report_noise", n, "must be at least 0 and below 1".into()));
            }
        }
        for (n, fault) in self.faults.iter().enumerate() {
            let names_catalog = fault.on == "catalog";
            if names_catalog != fault.kind.affects_catalog() {
                return Err((
                    "on",
                    n,
                    format!("a fault of kind {:?} cannot affect `{}`", fault.kind, fault.on),
                ));
            }
            if !names_catalog && !self.servers().any(|(name, _)| name == fault.on) {
                return Err(("on", n, format!("there is no server `{}`", fault.on)));
            }
            let valid_times = fault.at_s >= 0.0 && fault.for_s.is_none_or(positive);
            if !(valid_times && (0.0..=1.0).contains(&fault.part) && positive(fault.factor)) {
                return Err((
                    "at_s",
                    n,
                    "`at_s` must be at least 0, `for_s` and `factor` above 0, `part` from 0 to 1".into(),
                ));
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_error_names_the_line_and_the_key() {
        let cases = [
            ("[[servers]]\ncoers = 2\n", "2: `coers`"),
            ("[[servers]]\ncores = 0\n", "2: `cores`"),
            ("[[servers]]\nname = \"x\"\n[[fault]]\non = \"x7\"\nkind = \"pause\"\n", "4: `on`"),
            ("[[servers]]\n[[fault]]\non = \"s0\"\nkind = \"outage\"\n", "3: `on`"),
            ("[[servers]]\n[[fault]]\non = \"s0\"\nkind = \"sleep\"\n", "4: `kind`"),
            ("seed = -1\n[[servers]]\n", "1: `seed`"),
        ];
        for (text, location) in cases {
            let why = Scenario::parse(text).expect_err(text);
            assert!(why.starts_with(location), "{text}: {why}");
        }
        let scenario = Scenario::parse("[[servers]]\ncount = 2\n[[servers]]\nname = \"big\"\ncores = 4\n")
            .expect("a valid scenario");
        let names: Vec<String> = scenario.servers().map(|(name, _)| name).collect();
        assert_eq!(names, ["s0", "s1", "big0"]);
    }
}
