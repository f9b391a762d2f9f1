//! What is asked for.

use std::path::Path;

use serde::Deserialize;
use spurdrum_facts::file;

/// A plan, as a TOML file has it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Phases, one after the other. None where a trace is replayed.
    #[serde(default, rename = "phase")]
    pub phases: Vec<Phase>,
    /// Kinds of requests.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// Whom they are for; there may be none.
    #[serde(default, rename = "tenant")]
    pub tenants: Vec<Tenant>,
    /// What they are about.
    #[serde(default)]
    pub keys: Keys,
    /// How clients behave.
    #[serde(default)]
    pub clients: Clients,
}

/// A stretch of time with one shape of load.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// How long it lasts, in seconds.
    pub for_s: f64,
    /// What the rate does.
    pub shape: Shape,
    /// Requests a second: the mean of a wave, the start of a ramp, the base of bursts.
    #[serde(default)]
    pub rate: f64,
    /// Where a ramp ends.
    pub to: Option<f64>,
    /// Part of the rate by which a wave rises and falls.
    pub swing: Option<f64>,
    /// Time from crest to crest, or from burst to burst, in seconds.
    pub period_s: Option<f64>,
    /// The rates of steps, each for an equal part of the time.
    #[serde(default)]
    pub rates: Vec<f64>,
    /// Requests in one moment, for each burst.
    pub burst: Option<u32>,
    /// How requests are spread at a given rate.
    #[serde(default)]
    pub arrivals: ArrivalProcess,
}

/// What the rate does.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Shape {
    /// It stays.
    Constant,
    /// It changes evenly.
    Ramp,
    /// It goes up and down as a sine.
    Wave,
    /// It changes at once.
    Steps,
    /// It stays, and many come in one moment each period.
    Bursts,
}

/// How requests are spread.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum ArrivalProcess {
    /// At even distances.
    Even,
    /// Independent of one another.
    #[default]
    Poisson,
}

/// A kind of request.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name, as `X-Class` has it.
    pub name: String,
    /// How many of all, against the others' shares.
    #[serde(default = "one")]
    pub share: f64,
    /// What running it twice does, which gives the method and the key.
    #[serde(default)]
    pub effect: Effect,
    /// When the answer is wanted, in seconds from when the request was due.
    #[serde(rename = "aim_s")]
    pub latency_objective_s: f64,
    /// When its client gives up.
    pub deadline_s: f64,
    /// Length of its body: least and most.
    #[serde(default)]
    pub bytes: (u32, u32),
}

/// What running a request twice does.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// Nothing: `GET`.
    #[default]
    Safe,
    /// Nothing, where the key is remembered: `POST` with `Idempotency-Key`.
    Keyed,
    /// Harm: `POST`.
    Unsafe,
}

/// Whom requests are for.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name, as `X-Tenant` has it.
    pub name: String,
    /// How many of all, against the others' shares.
    #[serde(default = "one")]
    pub share: f64,
}

/// What requests are about.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Keys {
    /// How many keys there are.
    pub count: u64,
    /// How unevenly they are asked for: 0 is even, 1 is Zipf's.
    pub zipf: f64,
}

/// How clients behave.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// Tries after the first.
    pub retries: u32,
    /// The wait before a retry.
    pub backoff: Backoff,
    /// Its length, or that of the first, in milliseconds.
    pub backoff_ms: f64,
    /// Part of the clients that wait for as long as `Retry-After` says.
    pub honour: f64,
    /// A try is given up after this part of the deadline: least and most.
    pub give_up: (f64, f64),
    /// Part of the tries whose client leaves early.
    pub leave: f64,
    /// Part of the answers after which the connection is kept.
    pub keep: f64,
    /// Connections at most.
    pub connections: usize,
    /// Whether retries carry `X-Retry: 1`.
    pub marks_retry: bool,
    /// Tries under way at most: past it a request is not sent, and the report says that the generator is too small.
    pub in_flight: usize,
}

/// The wait before a retry.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Backoff {
    /// None.
    None,
    /// Always the same.
    Fixed,
    /// Twice as long each time, with jitter.
    Exp,
}

fn one() -> f64 {
    1.0
}

impl Default for Keys {
    fn default() -> Self {
        Self { count: 1000, zipf: 0.0 }
    }
}

impl Default for Clients {
    fn default() -> Self {
        Self {
            retries: 0,
            backoff: Backoff::None,
            backoff_ms: 20.0,
            honour: 1.0,
            give_up: (1.0, 1.0),
            leave: 0.0,
            keep: 1.0,
            connections: 1000,
            marks_retry: false,
            in_flight: 10_000,
        }
    }
}

impl Plan {
    /// Reads a plan. The error names the file, the line and the key.
    pub fn read(path: &Path) -> Result<Self, String> {
        file::read(path, Self::parse)
    }

    /// Reads a plan's text. The error begins with the line.
    pub fn parse(text: &str) -> Result<Self, String> {
        let plan: Self = file::from_toml(text)?;
        plan.check().map_err(|(key, nth, why)| {
            let named = |line: &&str| line.trim_start().split(['=', ' ']).next() == Some(key);
            let lines = text.lines().enumerate().filter(|(_, line)| named(line)).map(|(n, _)| n + 1);
            let line = lines.clone().nth(nth).or_else(|| lines.last()).unwrap_or(1);
            format!("{line}: `{key}`: {why}")
        })?;
        Ok(plan)
    }

    /// What makes no sense: the key, which of those of its name, and why.
    fn check(&self) -> Result<(), (&'static str, usize, String)> {
        let positive = |x: f64| x.is_finite() && x > 0.0;
        let part = |x: f64| (0.0..=1.0).contains(&x);
        for (n, phase) in self.phases.iter().enumerate() {
            let rates = phase.rates.iter().all(|rate| rate.is_finite() && *rate >= 0.0);
            if !positive(phase.for_s) || phase.for_s > 86_400.0 {
                return Err(("for_s", n, "no time above 0 and up to a day".into()));
            }
            if !(phase.rate >= 0.0 && phase.rate <= 1e7 && rates) {
                return Err(("rate", n, "no rate from 0 to 10,000,000 a second".into()));
            }
            let missing = match phase.shape {
                Shape::Constant => None,
                Shape::Ramp => phase.to.filter(|to| *to >= 0.0).is_none().then_some("to"),
                Shape::Wave if phase.swing.is_none_or(|swing| !part(swing)) => Some("swing"),
                Shape::Wave => phase.period_s.is_none_or(|s| !positive(s)).then_some("period_s"),
                Shape::Steps => phase.rates.is_empty().then_some("rates"),
                Shape::Bursts if phase.burst.is_none() => Some("burst"),
                Shape::Bursts => phase.period_s.is_none_or(|s| !positive(s)).then_some("period_s"),
            };
            if let Some(key) = missing {
                return Err((key, n, format!("a phase of shape {:?} needs it, and sound", phase.shape)));
            }
        }
        if self.classes.is_empty() || self.classes.len() > 1000 || self.tenants.len() > 10_000 {
            return Err(("class", 0, "needs 1 to 1,000 classes and up to 10,000 tenants".into()));
        }
        for (n, class) in self.classes.iter().enumerate() {
            if !(positive(class.share)
                && positive(class.latency_objective_s)
                && class.latency_objective_s <= class.deadline_s)
            {
                return Err(("aim_s", n, "needs 0 < aim_s <= deadline_s, and a share above 0".into()));
            }
            if class.deadline_s > 3600.0 {
                return Err(("deadline_s", n, "is above an hour".into()));
            }
            if class.bytes.0 > class.bytes.1 || class.bytes.1 > 1 << 26 {
                return Err(("bytes", n, "needs least <= most <= 64 MiB".into()));
            }
        }
        let shares = self.tenants.iter().position(|tenant| !positive(tenant.share));
        if let Some(n) = shares {
            return Err(("share", n, "is not above 0".into()));
        }
        let c = &self.clients;
        if !(part(c.honour) && part(c.leave) && part(c.keep)) {
            return Err(("honour", 0, "`honour`, `leave` and `keep` are parts from 0 to 1".into()));
        }
        if !(c.give_up.0 > 0.0 && c.give_up.0 <= c.give_up.1 && c.give_up.1 <= 1.0) {
            return Err(("give_up", 0, "needs 0 < least <= most <= 1".into()));
        }
        if c.connections == 0 || c.in_flight == 0 || !(c.backoff_ms >= 0.0 && c.backoff_ms <= 60_000.0) {
            return Err((
                "connections",
                0,
                "`connections` and `in_flight` are above 0, `backoff_ms` up to a minute".into(),
            ));
        }
        if self.keys.count == 0 || !(self.keys.zipf >= 0.0 && self.keys.zipf <= 5.0) {
            return Err(("count", 0, "`count` is above 0 and `zipf` from 0 to 5".into()));
        }
        Ok(())
    }
}
