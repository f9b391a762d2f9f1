//! Collects statistics during a run and turns them into a report.

use std::fmt::Write as _;
use std::io::Write;
use std::time::Duration;

use hdrhistogram::serialization::interval_log::IntervalLogWriterBuilder;
use hdrhistogram::serialization::V2Serializer;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::client::Outcome;
use crate::plan::Plan;
use crate::request_tracker::RequestOutcome;
use crate::Arrival;

/// Longest latency that the histograms can represent, in microseconds; longer ones are recorded as this one.
const MAX_LATENCY_US: u64 = 3_600_000_000;
/// Maximum number of seconds of a run with statistics of their own; the last one includes everything later.
const MAX_SECONDS: usize = 7200;
/// Number of buckets for the latencies of a second, eight for each doubling.
const LATENCY_BUCKETS: usize = 240;

/// Numbers of requests by their final outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Requests that were due and are finalized.
    pub due: u64,
    /// Served within the latency objective.
    pub in_time: u64,
    /// Served after the latency objective and before the deadline.
    pub late: u64,
    /// Refused at the last attempt.
    pub refused: u64,
    /// Failed at the last attempt.
    pub failed: u64,
    /// Not answered before the deadline.
    pub lost: u64,
    /// Cancelled early by their clients.
    pub left: u64,
    /// Not sent because the generator had too many requests in flight.
    pub not_sent: u64,
}

impl Counts {
    /// Returns the fraction of the due requests that were served within the latency objective.
    pub fn goodput(&self) -> f64 {
        self.in_time as f64 / self.due.max(1) as f64
    }

    fn record(&mut self, outcome: RequestOutcome, latency_objective_us: u64) {
        self.due += 1;
        *match outcome {
            RequestOutcome::Served(latency_us) if latency_us <= latency_objective_us => &mut self.in_time,
            RequestOutcome::Served(_) => &mut self.late,
            RequestOutcome::Refused => &mut self.refused,
            RequestOutcome::Failed => &mut self.failed,
            RequestOutcome::Lost => &mut self.lost,
            RequestOutcome::Left => &mut self.left,
            RequestOutcome::NotSent => &mut self.not_sent,
        } += 1;
    }
}

/// Quantiles of latencies in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Quantiles {
    /// Number of latencies.
    pub count: u64,
    /// Mean.
    pub mean: f64,
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// Maximum.
    pub max: f64,
}

impl Quantiles {
    fn of(histogram: &Histogram<u64>) -> Self {
        let quantile_ms = |q| histogram.value_at_quantile(q) as f64 / 1000.0;
        let count = histogram.len();
        if count == 0 {
            return Self::default();
        }
        let (mean, max) = (histogram.mean() / 1000.0, histogram.max() as f64 / 1000.0);
        Self {
            count,
            mean,
            p50: quantile_ms(0.5),
            p90: quantile_ms(0.9),
            p99: quantile_ms(0.99),
            p999: quantile_ms(0.999),
            max,
        }
    }
}

/// Statistics of the requests that were due in one second of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Second {
    /// Number of requests that were due.
    pub due: u64,
    /// Number of them that were served.
    pub served: u64,
    /// Number of them that were served within the latency objective.
    pub in_time: u64,
    /// Median latency in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency in milliseconds.
    pub p99_ms: f64,
    /// Maximum latency in milliseconds.
    pub max_ms: f64,
}

/// Counters of the requests that were due in one second of a run.
#[derive(Clone)]
struct SecondCounters {
    due: u64,
    served: u64,
    in_time: u64,
    max_us: u64,
    buckets: Box<[u32; LATENCY_BUCKETS]>,
}

/// Returns the index of the bucket of a latency.
fn bucket_index(latency_us: u64) -> usize {
    ((latency_us.max(1) as f64).log2() * 8.0) as usize
}

impl SecondCounters {
    fn new() -> Self {
        Self { due: 0, served: 0, in_time: 0, max_us: 0, buckets: Box::new([0; LATENCY_BUCKETS]) }
    }

    /// Returns a quantile of the latencies in milliseconds: the upper bound of its bucket, or the maximum if
    /// that is lower.
    fn quantile_ms(&self, q: f64) -> f64 {
        let target = (self.served as f64 * q).ceil() as u64;
        let mut cumulative = 0;
        for (index, count) in self.buckets.iter().enumerate() {
            cumulative += u64::from(*count);
            if cumulative >= target && cumulative > 0 {
                let upper_us = 2_f64.powf((index + 1) as f64 / 8.0);
                return upper_us.min(self.max_us as f64) / 1000.0;
            }
        }
        0.0
    }

    fn to_second(&self) -> Second {
        Second {
            due: self.due,
            served: self.served,
            in_time: self.in_time,
            p50_ms: self.quantile_ms(0.5),
            p99_ms: self.quantile_ms(0.99),
            max_ms: self.max_us as f64 / 1000.0,
        }
    }
}

/// Statistics of a group of requests: all, those of a class, or those of a tenant.
struct GroupStatistics {
    name: String,
    counts: Counts,
    latency: Histogram<u64>,
}

impl GroupStatistics {
    fn new(name: &str) -> Self {
        Self { name: name.to_owned(), counts: Counts::default(), latency: histogram() }
    }

    fn record(&mut self, outcome: RequestOutcome, latency_objective_us: u64) {
        self.counts.record(outcome, latency_objective_us);
        if let RequestOutcome::Served(latency_us) = outcome {
            self.latency.saturating_record(latency_us);
        }
    }

    fn to_row(&self) -> Row {
        Row { name: self.name.clone(), counts: self.counts, latency_ms: Quantiles::of(&self.latency) }
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("valid bounds")
}

/// Collects the statistics of a run.
pub struct Recorder {
    /// Latency objectives by class.
    latency_objectives_us: Vec<u64>,
    all: GroupStatistics,
    classes: Vec<GroupStatistics>,
    tenants: Vec<GroupStatistics>,
    lag: Histogram<u64>,
    seconds: Vec<SecondCounters>,
    attempts: u64,
    retries: u64,
    unreached: u64,
    gave_up: u64,
    due: u64,
}

impl Recorder {
    /// Creates a recorder with all counters at zero.
    pub fn new(plan: &Plan) -> Self {
        Self {
            latency_objectives_us: plan
                .classes
                .iter()
                .map(|class| (class.latency_objective_s * 1e6) as u64)
                .collect(),
            all: GroupStatistics::new("all"),
            classes: plan.classes.iter().map(|class| GroupStatistics::new(&class.name)).collect(),
            tenants: plan.tenants.iter().map(|tenant| GroupStatistics::new(&tenant.name)).collect(),
            lag: histogram(),
            seconds: Vec::new(),
            attempts: 0,
            retries: 0,
            unreached: 0,
            gave_up: 0,
            due: 0,
        }
    }

    fn second_mut(&mut self, due_us: u64) -> &mut SecondCounters {
        let index = ((due_us / 1_000_000) as usize).min(MAX_SECONDS - 1);
        if self.seconds.len() <= index {
            self.seconds.resize_with(index + 1, SecondCounters::new);
        }
        &mut self.seconds[index]
    }

    /// Records that an attempt of the schedule or the trace is due.
    pub fn record_due(&mut self, arrival: &Arrival) {
        if arrival.retry_of.is_none() {
            self.due += 1;
            self.second_mut(arrival.due_us).due += 1;
        } else {
            self.retries += 1;
        }
    }

    /// Records a retry that a client makes of its own accord, and not because the trace has it.
    pub fn record_retry(&mut self) {
        self.retries += 1;
    }

    /// Records that an attempt was sent this long after it was due.
    pub fn record_sent(&mut self, lag: Duration) {
        self.attempts += 1;
        self.lag.saturating_record(lag.as_micros() as u64);
    }

    /// Records the outcome of an attempt.
    pub fn record_attempt_ended(&mut self, outcome: Outcome) {
        self.unreached += u64::from(outcome == Outcome::Unreached);
        self.gave_up += u64::from(outcome == Outcome::GaveUp);
    }

    /// Records the final outcome of a request.
    pub fn record_final(&mut self, arrival: &Arrival, outcome: RequestOutcome) {
        let latency_objective_us = self.latency_objectives_us[usize::from(arrival.class)];
        self.all.record(outcome, latency_objective_us);
        self.classes[usize::from(arrival.class)].record(outcome, latency_objective_us);
        if let Some(tenant) = self.tenants.get_mut(usize::from(arrival.tenant)) {
            tenant.record(outcome, latency_objective_us);
        }
        if let RequestOutcome::Served(latency_us) = outcome {
            let second = self.second_mut(arrival.due_us);
            second.served += 1;
            second.in_time += u64::from(latency_us <= latency_objective_us);
            second.max_us = second.max_us.max(latency_us);
            second.buckets[bucket_index(latency_us).min(LATENCY_BUCKETS - 1)] += 1;
        }
    }

    /// Returns a line with the current statistics.
    pub fn progress_line(&self, second: u64, in_flight: usize) -> String {
        let latency_ms = Quantiles::of(&self.all.latency);
        let lag = self.lag.value_at_quantile(0.99) as f64 / 1000.0;
        let counts = &self.all.counts;
        format!(
            "{second:>5} s  due {:>8}  in flight {in_flight:>6}  goodput {:.4}  p50 {:.2} ms  p99 {:.2} ms  lag p99 {lag:.2} ms",
            self.due,
            counts.goodput(),
            latency_ms.p50,
            latency_ms.p99
        )
    }

    /// Returns the report on everything recorded so far.
    pub fn report(&self, elapsed: Duration, connections: u64, orphans: u64, paced: u64) -> Report {
        Report {
            seconds: elapsed.as_secs_f64(),
            all: self.all.to_row(),
            classes: self.classes.iter().map(GroupStatistics::to_row).collect(),
            tenants: self.tenants.iter().map(GroupStatistics::to_row).collect(),
            lag_ms: Quantiles::of(&self.lag),
            tries: self.attempts,
            retries: self.retries,
            unreached: self.unreached,
            gave_up: self.gave_up,
            connections,
            orphans,
            paced,
            per_second: self.seconds.iter().map(SecondCounters::to_second).collect(),
            latency: self.all.latency.clone(),
        }
    }
}

/// Results of a group of requests: all, those of a class, or those of a tenant.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Name of the class or tenant, or `all`.
    pub name: String,
    /// Numbers of requests by outcome.
    pub counts: Counts,
    /// Latencies of the served requests, measured from when their first attempt was due.
    pub latency_ms: Quantiles,
}

/// Results of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Length of the run in seconds.
    pub seconds: f64,
    /// All requests.
    pub all: Row,
    /// Results by class.
    pub classes: Vec<Row>,
    /// Results by tenant.
    pub tenants: Vec<Row>,
    /// How late attempts were sent; the generator itself causes this delay.
    pub lag_ms: Quantiles,
    /// Number of attempts sent.
    pub tries: u64,
    /// Number of attempts after the first.
    pub retries: u64,
    /// Number of attempts for which no connection could be opened.
    pub unreached: u64,
    /// Number of attempts that the client gave up because its time limit expired.
    pub gave_up: u64,
    /// Number of connections opened.
    pub connections: u64,
    /// Number of retries in a trace that belong to no request of the trace.
    pub orphans: u64,
    /// Number of attempts that the pacer passed to the event loops.
    pub paced: u64,
    /// Statistics by the second in which requests were due.
    pub per_second: Vec<Second>,
    /// Histogram of all latencies in microseconds.
    #[serde(skip)]
    pub latency: Histogram<u64>,
}

impl Report {
    /// Returns how the generator, and not the target, delayed requests, or none if it did not. If it did, the
    /// latencies do not describe the target.
    pub fn generator_bottleneck(&self) -> Option<String> {
        let due = self.all.counts.due.max(1);
        if self.all.counts.not_sent > 0 {
            let n = self.all.counts.not_sent;
            return Some(format!(
                "{n} requests were not sent: more were in flight than `clients.in_flight` allows"
            ));
        }
        let late = self.lag_ms.p99 > 10.0 && self.lag_ms.p99 * 10.0 > self.all.latency_ms.p50;
        late.then(|| {
            format!("one in 100 attempts of {due} requests was sent {:.1} ms late or more", self.lag_ms.p99)
        })
    }

    /// Returns the results as a table of text.
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
            let (counts, latency_ms) = (&row.counts, &row.latency_ms);
            let _ = writeln!(
                text,
                "{:<20} {:>9} {:>8.4} {:>7} {:>8} {:>7} {:>6} {:>8} {:>9.2} {:>9.2} {:>9.2} {:>9.2}",
                row.name,
                counts.due,
                counts.goodput(),
                counts.late,
                counts.refused,
                counts.failed,
                counts.lost,
                counts.not_sent,
                latency_ms.p50,
                latency_ms.p99,
                latency_ms.p999,
                latency_ms.max
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
        if let Some(reason) = self.generator_bottleneck() {
            let _ = writeln!(text, "THE GENERATOR WAS THE BOTTLENECK: {reason}");
        }
        text
    }

    /// Writes the latencies as an HDR histogram log.
    pub fn histogram_log(&self, sink: &mut impl Write) -> Result<(), String> {
        let mut serializer = V2Serializer::new();
        let mut log = IntervalLogWriterBuilder::new()
            .add_comment("latencies in microseconds, from when requests were due")
            .begin_log_with(sink, &mut serializer)
            .map_err(|error| error.to_string())?;
        let length = Duration::from_secs_f64(self.seconds);
        log.write_histogram(&self.latency, Duration::ZERO, length, None).map_err(|error| format!("{error:?}"))
    }

    /// Returns the value of a metric that a requirement can name.
    fn metric(&self, name: &str) -> Option<f64> {
        let (counts, latency_ms) = (&self.all.counts, &self.all.latency_ms);
        let fraction = |n: u64| n as f64 / counts.due.max(1) as f64;
        Some(match name {
            "goodput" => counts.goodput(),
            "late" => fraction(counts.late),
            "refused" => fraction(counts.refused),
            "failed" => fraction(counts.failed),
            "lost" => fraction(counts.lost),
            "not_sent" => fraction(counts.not_sent),
            "mean" => latency_ms.mean,
            "max" => latency_ms.max,
            "lag_p99" => self.lag_ms.p99,
            "lag_max" => self.lag_ms.max,
            "rate" => counts.due as f64 / self.seconds.max(1e-9),
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
    metric: String,
    above: bool,
    or_equal: bool,
    threshold: f64,
    text: String,
}

impl std::str::FromStr for Requirement {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let invalid =
            |why: &str| format!("`{text}`: {why}; write as p99<50ms, goodput>0.99, failed<=0, lag_p99<1ms");
        let operator_index = text.find(['<', '>']).ok_or_else(|| invalid("contains neither < nor >"))?;
        let (metric, rest) = text.split_at(operator_index);
        let or_equal = rest[1..].starts_with('=');
        let value = rest[1 + usize::from(or_equal)..].trim();
        let units = [("us", 0.001), ("ms", 1.0), ("s", 1000.0)];
        let unit = units.iter().find_map(|(unit, ms)| Some((value.strip_suffix(unit)?, *ms)));
        let (number, factor) = unit.unwrap_or((value, 1.0));
        let number: f64 = number.trim().parse().map_err(|_| invalid("has no valid number"))?;
        let metric = metric.trim().to_owned();
        let known = [
            "goodput", "late", "refused", "failed", "lost", "not_sent", "mean", "max", "lag_p99", "lag_max",
            "rate",
        ];
        let is_percentile =
            metric.strip_prefix('p').and_then(|p| p.parse::<f64>().ok()).is_some_and(|p| p <= 100.0);
        if !is_percentile && !known.contains(&metric.as_str()) {
            return Err(invalid("unknown metric"));
        }
        let above = rest.starts_with('>');
        Ok(Self { metric, above, or_equal, threshold: number * factor, text: text.to_owned() })
    }
}

impl Requirement {
    /// Returns an error with the actual value if the report does not meet the requirement.
    pub fn check(&self, report: &Report) -> Result<(), String> {
        let actual = report.metric(&self.metric).unwrap_or(f64::NAN);
        let met = match self.above {
            true => actual > self.threshold || self.or_equal && actual == self.threshold,
            false => actual < self.threshold || self.or_equal && actual == self.threshold,
        };
        met.then_some(()).ok_or_else(|| format!("not met: {}: the actual value is {actual:.4}", self.text))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn report(latencies_us: &[u64]) -> Report {
        let plan =
            "[[class]]\nname = \"update\"\naim_s = 0.4\ndeadline_s = 0.8\n[[tenant]]\nname = \"inns\"\n";
        let mut recorder = Recorder::new(&Plan::parse(plan).expect("valid"));
        for (n, latency_us) in latencies_us.iter().enumerate() {
            let due_us = n as u64 * 10_000;
            let arrival =
                Arrival { due_us, id: n as u64, retry_of: None, class: 0, tenant: 0, key: 0, bytes: 0 };
            recorder.record_due(&arrival);
            recorder.record_sent(Duration::from_micros(50));
            recorder.record_final(
                &arrival,
                if *latency_us > 800_000 {
                    RequestOutcome::Lost
                } else {
                    RequestOutcome::Served(*latency_us)
                },
            );
        }
        recorder.report(Duration::from_secs(2), 1, 0, latencies_us.len() as u64)
    }

    #[test]
    fn requests_are_counted_by_outcome() {
        let latencies: Vec<u64> = (1..=100).map(|n| n * 10_000).collect();
        let report = report(&latencies);
        let expected = Counts { due: 100, in_time: 40, late: 40, lost: 20, ..Counts::default() };
        assert_eq!((report.all.counts, report.tenants[0].counts), (expected, expected));
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
            let requirement: Requirement = text.parse().expect("valid");
            assert_eq!(requirement.check(&report).is_ok(), met, "{text}");
        }
    }

    #[test]
    fn a_malformed_requirement_is_rejected() {
        for text in ["p99", "p99<", "p101<5ms", "speed<3", "p99<5 parsecs", "<3"] {
            assert!(text.parse::<Requirement>().is_err(), "{text}");
        }
    }

    #[test]
    fn the_histogram_log_the_table_and_the_json_agree() {
        let report = report(&[100_000; 50]);
        let mut log = Vec::new();
        report.histogram_log(&mut log).expect("written");
        let log = String::from_utf8(log).expect("text");
        assert!(log.contains("latencies in microseconds") && log.contains("HIST"), "{log}");
        assert!(report.table().contains("inns") && report.generator_bottleneck().is_none());
        assert!(serde_json::to_string(&report).expect("JSON").contains("\"in_time\":50"));
    }
}
