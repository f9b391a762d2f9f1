//! Figures: what is counted while a run goes on, and what is made of it.

use std::fmt::Write as _;
use std::io::Write;
use std::time::Duration;

use hdrhistogram::serialization::interval_log::IntervalLogWriterBuilder;
use hdrhistogram::serialization::V2Serializer;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::client::Outcome;
use crate::firsts::RequestOutcome;
use crate::plan::Plan;
use crate::Arrival;

/// The longest latency that is told apart, in microseconds.
const MOST_US: u64 = 3_600_000_000;
/// Seconds of a run for which there are figures of their own.
const SECONDS_MOST: usize = 7200;
/// Buckets of a second's latencies, eight for each doubling.
const BUCKETS: usize = 240;

/// Requests, by what became of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// First tries that were due and are settled.
    pub due: u64,
    /// Served within the aim.
    pub in_time: u64,
    /// Served after it, before the deadline.
    pub late: u64,
    /// Refused in the end.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Nothing was heard in time.
    pub lost: u64,
    /// Their clients left early.
    pub left: u64,
    /// The generator was too small to send them.
    pub not_sent: u64,
}

impl Counts {
    /// Served in time, of all that were due.
    pub fn goodput(&self) -> f64 {
        self.in_time as f64 / self.due.max(1) as f64
    }

    fn note(&mut self, outcome: RequestOutcome, aim_us: u64) {
        self.due += 1;
        *match outcome {
            RequestOutcome::Served(us) if us <= aim_us => &mut self.in_time,
            RequestOutcome::Served(_) => &mut self.late,
            RequestOutcome::Refused => &mut self.refused,
            RequestOutcome::Failed => &mut self.failed,
            RequestOutcome::Lost => &mut self.lost,
            RequestOutcome::Left => &mut self.left,
            RequestOutcome::NotSent => &mut self.not_sent,
        } += 1;
    }
}

/// Latencies in milliseconds at some quantiles.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Quantiles {
    /// How many.
    pub count: u64,
    /// Their mean.
    pub mean: f64,
    /// Half are below it.
    pub p50: f64,
    /// Nine in ten.
    pub p90: f64,
    /// 99 in 100.
    pub p99: f64,
    /// 999 in 1,000.
    pub p999: f64,
    /// All.
    pub max: f64,
}

impl Quantiles {
    fn of(histogram: &Histogram<u64>) -> Self {
        let at = |q| histogram.value_at_quantile(q) as f64 / 1000.0;
        let count = histogram.len();
        if count == 0 {
            return Self::default();
        }
        let (mean, max) = (histogram.mean() / 1000.0, histogram.max() as f64 / 1000.0);
        Self { count, mean, p50: at(0.5), p90: at(0.9), p99: at(0.99), p999: at(0.999), max }
    }
}

/// One second of a run, by when requests were due.
#[derive(Clone, Debug, Serialize)]
pub struct Second {
    /// First tries due in it.
    pub due: u64,
    /// Of them, served.
    pub served: u64,
    /// Of them, served within the aim.
    pub in_time: u64,
    /// Latencies in milliseconds: half, 99 in 100, all are below.
    pub p50_ms: f64,
    /// See `p50_ms`.
    pub p99_ms: f64,
    /// See `p50_ms`.
    pub max_ms: f64,
}

#[derive(Clone)]
struct Bin {
    due: u64,
    served: u64,
    in_time: u64,
    max_us: u64,
    buckets: Box<[u32; BUCKETS]>,
}

fn bucket(us: u64) -> usize {
    ((us.max(1) as f64).log2() * 8.0) as usize
}

impl Bin {
    fn new() -> Self {
        Self { due: 0, served: 0, in_time: 0, max_us: 0, buckets: Box::new([0; BUCKETS]) }
    }

    fn quantile(&self, q: f64) -> f64 {
        let wanted = (self.served as f64 * q).ceil() as u64;
        let mut passed = 0;
        for (at, n) in self.buckets.iter().enumerate() {
            passed += u64::from(*n);
            if passed >= wanted && passed > 0 {
                let upper = 2_f64.powf((at + 1) as f64 / 8.0);
                return upper.min(self.max_us as f64) / 1000.0;
            }
        }
        0.0
    }

    fn second(&self) -> Second {
        Second {
            due: self.due,
            served: self.served,
            in_time: self.in_time,
            p50_ms: self.quantile(0.5),
            p99_ms: self.quantile(0.99),
            max_ms: self.max_us as f64 / 1000.0,
        }
    }
}

struct Kind {
    name: String,
    counts: Counts,
    latency: Histogram<u64>,
}

impl Kind {
    fn new(name: &str) -> Self {
        Self { name: name.to_owned(), counts: Counts::default(), latency: histogram() }
    }

    fn note(&mut self, outcome: RequestOutcome, aim_us: u64) {
        self.counts.note(outcome, aim_us);
        if let RequestOutcome::Served(us) = outcome {
            self.latency.saturating_record(us);
        }
    }

    fn row(&self) -> Row {
        Row { name: self.name.clone(), counts: self.counts, latency_ms: Quantiles::of(&self.latency) }
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MOST_US, 3).expect("sound bounds")
}

/// What is counted while a run goes on.
pub struct Recorder {
    aims_us: Vec<u64>,
    all: Kind,
    classes: Vec<Kind>,
    tenants: Vec<Kind>,
    lag: Histogram<u64>,
    bins: Vec<Bin>,
    tries: u64,
    retries: u64,
    unreached: u64,
    gave_up: u64,
    due: u64,
}

impl Recorder {
    /// Nothing is counted yet.
    pub fn new(plan: &Plan) -> Self {
        Self {
            aims_us: plan.classes.iter().map(|class| (class.latency_objective_s * 1e6) as u64).collect(),
            all: Kind::new("all"),
            classes: plan.classes.iter().map(|class| Kind::new(&class.name)).collect(),
            tenants: plan.tenants.iter().map(|tenant| Kind::new(&tenant.name)).collect(),
            lag: histogram(),
            bins: Vec::new(),
            tries: 0,
            retries: 0,
            unreached: 0,
            gave_up: 0,
            due: 0,
        }
    }

    fn bin(&mut self, due_us: u64) -> &mut Bin {
        let at = ((due_us / 1_000_000) as usize).min(SECONDS_MOST - 1);
        if self.bins.len() <= at {
            self.bins.resize_with(at + 1, Bin::new);
        }
        &mut self.bins[at]
    }

    /// A try is due.
    pub fn due(&mut self, arrival: &Arrival) {
        if arrival.first.is_none() {
            self.due += 1;
            self.bin(arrival.due_us).due += 1;
        } else {
            self.retries += 1;
        }
    }

    /// A try of a client's own is due again.
    pub fn retried(&mut self) {
        self.retries += 1;
    }

    /// A try is begun so long after it was due.
    pub fn sent(&mut self, lag: Duration) {
        self.tries += 1;
        self.lag.saturating_record(lag.as_micros() as u64);
    }

    /// A try has ended.
    pub fn tried(&mut self, outcome: Outcome) {
        self.unreached += u64::from(outcome == Outcome::Unreached);
        self.gave_up += u64::from(outcome == Outcome::GaveUp);
    }

    /// A request is settled.
    pub fn settled(&mut self, arrival: &Arrival, outcome: RequestOutcome) {
        let aim = self.aims_us[usize::from(arrival.class)];
        self.all.note(outcome, aim);
        self.classes[usize::from(arrival.class)].note(outcome, aim);
        if let Some(tenant) = self.tenants.get_mut(usize::from(arrival.tenant)) {
            tenant.note(outcome, aim);
        }
        if let RequestOutcome::Served(us) = outcome {
            let bin = self.bin(arrival.due_us);
            bin.served += 1;
            bin.in_time += u64::from(us <= aim);
            bin.max_us = bin.max_us.max(us);
            bin.buckets[bucket(us).min(BUCKETS - 1)] += 1;
        }
    }

    /// A line on how things stand.
    pub fn line(&self, second: u64, in_flight: usize) -> String {
        let q = Quantiles::of(&self.all.latency);
        let lag = self.lag.value_at_quantile(0.99) as f64 / 1000.0;
        let done = &self.all.counts;
        format!(
            "{second:>5} s  due {:>8}  in flight {in_flight:>6}  goodput {:.4}  p50 {:.2} ms  p99 {:.2} ms  lag p99 {lag:.2} ms",
            self.due,
            done.goodput(),
            q.p50,
            q.p99
        )
    }

    /// The report on what has been counted.
    pub fn report(&self, took: Duration, connections: u64, orphans: u64, paced: u64) -> Report {
        Report {
            seconds: took.as_secs_f64(),
            all: self.all.row(),
            classes: self.classes.iter().map(Kind::row).collect(),
            tenants: self.tenants.iter().map(Kind::row).collect(),
            lag_ms: Quantiles::of(&self.lag),
            tries: self.tries,
            retries: self.retries,
            unreached: self.unreached,
            gave_up: self.gave_up,
            connections,
            orphans,
            paced,
            per_second: self.bins.iter().map(Bin::second).collect(),
            latency: self.all.latency.clone(),
        }
    }
}

/// One kind of requests.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Its name.
    pub name: String,
    /// How many came to what.
    pub counts: Counts,
    /// Latencies of those that were served, from when their first try was due.
    pub latency_ms: Quantiles,
}

/// What a run came to.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Its length.
    pub seconds: f64,
    /// All requests.
    pub all: Row,
    /// By class.
    pub classes: Vec<Row>,
    /// By tenant.
    pub tenants: Vec<Row>,
    /// How late tries were begun: the generator's own doing.
    pub lag_ms: Quantiles,
    /// Tries that were begun.
    pub tries: u64,
    /// Tries after the first.
    pub retries: u64,
    /// Tries for which no connection was to be had.
    pub unreached: u64,
    /// Tries whose client waited no longer.
    pub gave_up: u64,
    /// Connections that were made.
    pub connections: u64,
    /// Retries in a trace that belong to no request of it.
    pub orphans: u64,
    /// Tries that the schedule gave out.
    pub paced: u64,
    /// By the second in which requests were due.
    pub per_second: Vec<Second>,
    /// All latencies, in microseconds.
    #[serde(skip)]
    pub latency: Histogram<u64>,
}

impl Report {
    /// Whether the generator, and not the target, held requests up: the figures are then not the target's.
    pub fn too_slow(&self) -> Option<String> {
        let due = self.all.counts.due.max(1);
        if self.all.counts.not_sent > 0 {
            let n = self.all.counts.not_sent;
            return Some(format!(
                "{n} requests were not sent: more were in flight than `clients.in_flight` allows"
            ));
        }
        let late = self.lag_ms.p99 > 10.0 && self.lag_ms.p99 * 10.0 > self.all.latency_ms.p50;
        late.then(|| {
            format!("one try in 100 of {due} requests was sent {:.1} ms late or more", self.lag_ms.p99)
        })
    }

    /// A table for people.
    pub fn table(&self) -> String {
        let mut text = String::new();
        let _ = writeln!(
            text,
            "{:<20} {:>9} {:>8} {:>7} {:>8} {:>7} {:>6} {:>8} {:>9} {:>9} {:>9} {:>9}",
            "",
            "due",
            "goodput",
            "late",
            "refused",
            "failed",
            "lost",
            "not sent",
            "p50 ms",
            "p99 ms",
            "p99.9 ms",
            "max ms"
        );
        for row in std::iter::once(&self.all).chain(&self.classes).chain(&self.tenants) {
            let (c, q) = (&row.counts, &row.latency_ms);
            let _ = writeln!(
                text,
                "{:<20} {:>9} {:>8.4} {:>7} {:>8} {:>7} {:>6} {:>8} {:>9.2} {:>9.2} {:>9.2} {:>9.2}",
                row.name,
                c.due,
                c.goodput(),
                c.late,
                c.refused,
                c.failed,
                c.lost,
                c.not_sent,
                q.p50,
                q.p99,
                q.p999,
                q.max
            );
        }
        let rate = self.all.counts.due as f64 / self.seconds.max(1e-9);
        let _ = writeln!(
            text,
            "{:.1} s, {rate:.0} requests a second, {} tries ({} retries), {} unreached, {} gave up, {} left, {} connections",
            self.seconds, self.tries, self.retries, self.unreached, self.gave_up, self.all.counts.left, self.connections
        );
        let lag = &self.lag_ms;
        let _ = writeln!(
            text,
            "sent late by: p50 {:.3} ms, p99 {:.3} ms, max {:.3} ms",
            lag.p50, lag.p99, lag.max
        );
        if self.orphans > 0 {
            let _ = writeln!(text, "{} retries belong to no request that was due", self.orphans);
        }
        if let Some(why) = self.too_slow() {
            let _ = writeln!(text, "THE GENERATOR WAS THE BOTTLENECK: {why}");
        }
        text
    }

    /// The latencies as an HDR histogram log.
    pub fn histogram_log(&self, to: &mut impl Write) -> Result<(), String> {
        let mut serializer = V2Serializer::new();
        let mut log = IntervalLogWriterBuilder::new()
            .add_comment("latencies in microseconds, from when requests were due")
            .begin_log_with(to, &mut serializer)
            .map_err(|e| e.to_string())?;
        let length = Duration::from_secs_f64(self.seconds);
        log.write_histogram(&self.latency, Duration::ZERO, length, None).map_err(|e| format!("{e:?}"))
    }

    fn figure(&self, name: &str) -> Option<f64> {
        let (c, q) = (&self.all.counts, &self.all.latency_ms);
        let part = |n: u64| n as f64 / c.due.max(1) as f64;
        Some(match name {
            "goodput" => c.goodput(),
            "late" => part(c.late),
            "refused" => part(c.refused),
            "failed" => part(c.failed),
            "lost" => part(c.lost),
            "not_sent" => part(c.not_sent),
            "mean" => q.mean,
            "max" => q.max,
            "lag_p99" => self.lag_ms.p99,
            "lag_max" => self.lag_ms.max,
            "rate" => c.due as f64 / self.seconds.max(1e-9),
            _ => {
                let percent =
                    name.strip_prefix('p')?.parse::<f64>().ok().filter(|p| (0.0..=100.0).contains(p))?;
                self.latency.value_at_quantile(percent / 100.0) as f64 / 1000.0
            }
        })
    }
}

/// A threshold, such as `p99<50ms` or `goodput>0.99`.
#[derive(Clone, Debug, PartialEq)]
pub struct Requirement {
    name: String,
    above: bool,
    or_equal: bool,
    value: f64,
    text: String,
}

impl std::str::FromStr for Requirement {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let wrong =
            |why: &str| format!("`{text}`: {why}; write as p99<50ms, goodput>0.99, failed<=0, lag_p99<1ms");
        let at = text.find(['<', '>']).ok_or_else(|| wrong("has neither < nor >"))?;
        let (name, rest) = text.split_at(at);
        let or_equal = rest[1..].starts_with('=');
        let value = rest[1 + usize::from(or_equal)..].trim();
        let units = [("us", 0.001), ("ms", 1.0), ("s", 1000.0)];
        let unit = units.iter().find_map(|(unit, ms)| Some((value.strip_suffix(unit)?, *ms)));
        let (number, factor) = unit.unwrap_or((value, 1.0));
        let number: f64 = number.trim().parse().map_err(|_| wrong("has no number"))?;
        let name = name.trim().to_owned();
        let known = [
            "goodput", "late", "refused", "failed", "lost", "not_sent", "mean", "max", "lag_p99", "lag_max",
            "rate",
        ];
        let percent = name.strip_prefix('p').and_then(|p| p.parse::<f64>().ok()).is_some_and(|p| p <= 100.0);
        if !percent && !known.contains(&name.as_str()) {
            return Err(wrong("names no figure"));
        }
        let above = rest.starts_with('>');
        Ok(Self { name, above, or_equal, value: number * factor, text: text.to_owned() })
    }
}

impl Requirement {
    /// What is wrong, where a report does not meet it.
    pub fn check(&self, report: &Report) -> Result<(), String> {
        let figure = report.figure(&self.name).unwrap_or(f64::NAN);
        let met = match self.above {
            true => figure > self.value || self.or_equal && figure == self.value,
            false => figure < self.value || self.or_equal && figure == self.value,
        };
        met.then_some(()).ok_or_else(|| format!("not met: {}: it is {figure:.4}", self.text))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn report(latencies_us: &[u64]) -> Report {
        let plan =
            "[[class]]\nname = \"update\"\naim_s = 0.4\ndeadline_s = 0.8\n[[tenant]]\nname = \"inns\"\n";
        let mut recorder = Recorder::new(&Plan::parse(plan).expect("sound"));
        for (n, us) in latencies_us.iter().enumerate() {
            let due_us = n as u64 * 10_000;
            let arrival =
                Arrival { due_us, id: n as u64, first: None, class: 0, tenant: 0, key: 0, bytes: 0 };
            recorder.due(&arrival);
            recorder.sent(Duration::from_micros(50));
            recorder.settled(
                &arrival,
                if *us > 800_000 { RequestOutcome::Lost } else { RequestOutcome::Served(*us) },
            );
        }
        recorder.report(Duration::from_secs(2), 1, 0, latencies_us.len() as u64)
    }

    #[test]
    fn requests_are_counted_by_what_became_of_them() {
        let latencies: Vec<u64> = (1..=100).map(|n| n * 10_000).collect();
        let report = report(&latencies);
        let wanted = Counts { due: 100, in_time: 40, late: 40, lost: 20, ..Counts::default() };
        assert_eq!((report.all.counts, report.tenants[0].counts), (wanted, wanted));
        assert!((report.all.latency_ms.p50 - 400.0).abs() < 1.0, "{:?}", report.all.latency_ms);
        assert_eq!(report.per_second[0].due, 100);
        assert!((report.per_second[0].p50_ms / 400.0 - 1.0).abs() < 0.1, "{:?}", report.per_second[0]);
        for (text, met) in [
            ("p50<401ms", true),
            ("p99<0.5s", false),
            ("goodput>=0.4", true),
            ("goodput>0.4", false),
            ("lost<=0.2", true),
            ("lag_p99<100us", true),
            ("p99.9 > 700", true),
        ] {
            let requirement: Requirement = text.parse().expect("sound");
            assert_eq!(requirement.check(&report).is_ok(), met, "{text}");
        }
    }

    #[test]
    fn a_requirement_that_says_nothing_is_refused() {
        for text in ["p99", "p99<", "p101<5ms", "speed<3", "p99<5 parsecs", "<3"] {
            assert!(text.parse::<Requirement>().is_err(), "{text}");
        }
    }

    #[test]
    fn the_log_and_the_table_tell_the_same() {
        let report = report(&[100_000; 50]);
        let mut log = Vec::new();
        report.histogram_log(&mut log).expect("written");
        let log = String::from_utf8(log).expect("text");
        assert!(log.contains("latencies in microseconds") && log.contains("HIST"), "{log}");
        assert!(report.table().contains("inns") && report.too_slow().is_none());
        assert!(serde_json::to_string(&report).expect("JSON").contains("\"in_time\":50"));
    }
}
