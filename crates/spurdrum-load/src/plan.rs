//! The plan of a run: load phases, request classes, tenants, keys and the behaviour of clients.

use std::path::Path;

use serde::Deserialize;
use spurdrum_facts::file;

/// A plan, as read from a TOML file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Load phases, one after the other. Empty where a trace is replayed.
    #[serde(default, rename = "phase")]
    pub phases: Vec<Phase>,
    /// Classes of requests.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// Tenants that send the requests; there may be none.
    #[serde(default, rename = "tenant")]
    pub tenants: Vec<Tenant>,
    /// Keys that requests ask for.
    #[serde(default)]
    pub keys: Keys,
    /// Behaviour of the clients.
    #[serde(default)]
    pub clients: Clients,
}

/// A period of time with one shape of load.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// Length of the phase in seconds.
    pub for_s: f64,
    /// How the rate changes over time.
    pub shape: Shape,
    /// Requests per second: the constant rate, the mean of a wave, the start of a ramp, or the base rate
    /// between bursts.
    #[serde(default)]
    pub rate: f64,
    /// Rate at the end of a ramp.
    pub to: Option<f64>,
    /// Amplitude of a wave, as a fraction of the rate.
    pub swing: Option<f64>,
    /// Period of a wave, or time from one burst to the next, in seconds.
    pub period_s: Option<f64>,
    /// Rates of the steps, each of which takes an equal part of the phase.
    #[serde(default)]
    pub rates: Vec<f64>,
    /// Number of requests in each burst; all of them are due at the same moment.
    pub burst: Option<u32>,
    /// How requests are distributed in time at a given rate.
    #[serde(default)]
    pub arrivals: ArrivalProcess,
}

/// How the rate changes over time.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Shape {
    /// The rate is constant.
    Constant,
    /// The rate changes linearly.
    Ramp,
    /// The rate follows a sine wave.
    Wave,
    /// The rate changes in steps.
    Steps,
    /// The rate is constant, and many requests more are due at the same moment once in each period.
    Bursts,
}

/// How requests are distributed in time.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum ArrivalProcess {
    /// At equal intervals.
    Even,
    /// Independently of one another, with exponentially distributed intervals.
    #[default]
    Poisson,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name, sent in the `X-Class` header.
    pub name: String,
    /// How many of all, against the others' shares.
    #[serde(default = "default_share")]
    pub share: f64,
    /// Effect of executing a request twice, which determines the method and whether an idempotency key is
    /// sent.
    #[serde(default)]
    pub effect: Effect,
    /// Latency objective in seconds from when the request was due; a later response counts as late.
    #[serde(rename = "aim_s")]
    pub latency_objective_s: f64,
    /// Deadline in seconds from when the request was due, after which the client gives up.
    pub deadline_s: f64,
    /// Minimum and maximum length of the body in bytes.
    #[serde(default)]
    pub bytes: (u32, u32),
}

/// Effect of executing a request twice.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// None: sent as `GET`.
    #[default]
    Safe,
    /// None as long as the server remembers the key: sent as `POST` with `Idempotency-Key`.
    Keyed,
    /// Harmful: sent as `POST`.
    Unsafe,
}

/// A tenant that sends requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Name, sent in the `X-Tenant` header.
    pub name: String,
    /// How many of all, against the others' shares.
    #[serde(default = "default_share")]
    pub share: f64,
}

/// Keys that requests ask for.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Keys {
    /// Number of keys.
    pub count: u64,
    /// Exponent of the keys' popularity distribution: 0 is uniform, 1 is Zipf's law.
    pub zipf: f64,
}

/// Behaviour of the clients.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// Maximum number of attempts after the first.
    pub retries: u32,
    /// How the wait before a retry is determined.
    pub backoff: Backoff,
    /// Length of the wait in milliseconds; with exponential back-off, of the first one.
    pub backoff_ms: f64,
    /// Fraction of the refused attempts whose client waits for as long as `Retry-After` says.
    pub honour: f64,
    /// Minimum and maximum fraction of the deadline after which a client gives up an attempt.
    pub give_up: (f64, f64),
    /// Fraction of the attempts whose client leaves early.
    pub leave: f64,
    /// Fraction of the responses after which the connection is kept alive.
    pub keep: f64,
    /// Maximum number of connections.
    pub connections: usize,
    /// Whether retries carry `X-Retry: 1`.
    pub marks_retry: bool,
    /// Maximum number of requests in flight. Requests beyond it are not sent, and the report says that the
    /// generator was the bottleneck.
    pub in_flight: usize,
}

/// How the wait before a retry is determined.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Backoff {
    /// No wait.
    None,
    /// The same wait each time.
    Fixed,
    /// Exponential: twice as long each time, with jitter.
    Exp,
}

fn default_share() -> f64 {
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
    /// Reads a plan from a file. The error names the file, the line and the key.
    pub fn read(path: &Path) -> Result<Self, String> {
        file::read(path, Self::parse)
    }

    /// Parses a plan. The error begins with the line number.
    pub fn parse(text: &str) -> Result<Self, String> {
        let plan: Self = file::from_toml(text)?;
        plan.check().map_err(|(key, nth, reason)| {
            let has_key = |line: &&str| line.trim_start().split(['=', ' ']).next() == Some(key);
            let lines = text.lines().enumerate().filter(|(_, line)| has_key(line)).map(|(n, _)| n + 1);
            let line = lines.clone().nth(nth).or_else(|| lines.last()).unwrap_or(1);
            format!("{line}: `{key}`: {reason}")
        })?;
        Ok(plan)
    }

    /// Checks the values. The error has the key of the invalid value, the index among the keys of this name,
    /// and the reason.
    fn check(&self) -> Result<(), (&'static str, usize, String)> {
        let positive = |x: f64| x.is_finite() && x > 0.0;
        let fraction = |x: f64| (0.0..=1.0).contains(&x);
        for (n, phase) in self.phases.iter().enumerate() {
            let rates_are_valid = phase.rates.iter().all(|rate| rate.is_finite() && *rate >= 0.0);
            if !positive(phase.for_s) || phase.for_s > 86_400.0 {
                return Err(("for_s", n, "must be above 0 and at most 86,400 s (a day)".into()));
            }
            if !(phase.rate >= 0.0 && phase.rate <= 1e7 && rates_are_valid) {
                return Err(("rate", n, "must be from 0 to 10,000,000 requests per second".into()));
            }
            let invalid_key = match phase.shape {
                Shape::Constant => None,
                Shape::Ramp => phase.to.filter(|to| *to >= 0.0).is_none().then_some("to"),
                Shape::Wave if phase.swing.is_none_or(|swing| !fraction(swing)) => Some("swing"),
                Shape::Wave => phase.period_s.is_none_or(|s| !positive(s)).then_some("period_s"),
                Shape::Steps => phase.rates.is_empty().then_some("rates"),
                Shape::Bursts if phase.burst.is_none() => Some("burst"),
                Shape::Bursts => phase.period_s.is_none_or(|s| !positive(s)).then_some("period_s"),
            };
            if let Some(key) = invalid_key {
                return Err((
                    key,
                    n,
                    format!("missing or invalid: a phase of shape {:?} needs it", phase.shape),
                ));
            }
        }
        if self.classes.is_empty() || self.classes.len() > 1000 || self.tenants.len() > 10_000 {
            return Err(("class", 0, "a plan needs 1 to 1,000 classes and at most 10,000 tenants".into()));
        }
        for (n, class) in self.classes.iter().enumerate() {
            if !(positive(class.share)
                && positive(class.latency_objective_s)
                && class.latency_objective_s <= class.deadline_s)
            {
                return Err(("aim_s", n, "a class needs 0 < aim_s <= deadline_s and a share above 0".into()));
            }
            if class.deadline_s > 3600.0 {
                return Err(("deadline_s", n, "must be at most 3600 s (an hour)".into()));
            }
            if class.bytes.0 > class.bytes.1 || class.bytes.1 > 1 << 26 {
                return Err(("bytes", n, "must be [min, max] with min <= max <= 64 MiB".into()));
            }
        }
        let invalid_share = self.tenants.iter().position(|tenant| !positive(tenant.share));
        if let Some(n) = invalid_share {
            return Err(("share", n, "must be above 0".into()));
        }
        let clients = &self.clients;
        if !(fraction(clients.honour) && fraction(clients.leave) && fraction(clients.keep)) {
            return Err(("honour", 0, "`honour`, `leave` and `keep` must be fractions from 0 to 1".into()));
        }
        if !(clients.give_up.0 > 0.0 && clients.give_up.0 <= clients.give_up.1 && clients.give_up.1 <= 1.0) {
            return Err(("give_up", 0, "must be [min, max] with 0 < min <= max <= 1".into()));
        }
        if clients.connections == 0
            || clients.in_flight == 0
            || !(clients.backoff_ms >= 0.0 && clients.backoff_ms <= 60_000.0)
        {
            return Err((
                "connections",
                0,
                "`connections` and `in_flight` must be above 0, `backoff_ms` from 0 to 60,000 (a minute)"
                    .into(),
            ));
        }
        if self.keys.count == 0 || !(self.keys.zipf >= 0.0 && self.keys.zipf <= 5.0) {
            return Err(("count", 0, "`count` must be above 0 and `zipf` from 0 to 5".into()));
        }
        Ok(())
    }
}
