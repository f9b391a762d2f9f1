//! Statistics of a run, mainly of how evenly requests were spread over the servers. `docs/design/spread.md` defines each one.

use std::collections::BTreeMap;
use std::fmt::{self, Write as _};

use hdrhistogram::Histogram;

use crate::history::{End, History, RequestRecord, Server};

/// Largest latency that the histograms record, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Statistics of a run, or of a part of one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunStatistics {
    /// Number of requests that were due.
    pub offered: usize,
    /// Fraction of the requests that were refused.
    pub refused: f64,
    /// Fraction of the requests that failed.
    pub failed: f64,
    /// Fraction of the requests without an answer.
    pub unanswered: f64,
    /// Mean number of attempts per request.
    pub attempts: f64,
    /// The load of a server is its number of attempts by its capacity, relative to the mean. This is the smallest load.
    pub min_load: f64,
    /// The largest load of a server.
    pub max_load: f64,
    /// Standard deviation of the servers' loads.
    pub variation: f64,
    /// Standard deviation of the servers' loads that independent random choices would give.
    pub poisson: f64,
    /// Standard deviation of the loads relative to that of independent random choices, averaged over windows of one second.
    pub by_second: f64,
    /// Fraction of the server time with a free worker while another server has two or more requests waiting.
    pub idle: f64,
    /// Largest number of requests begun at a server within one service time, relative to the p99.9 of independent random choices
    /// with the server's fair share.
    pub herd: f64,
    /// Median latency of served requests, in milliseconds from when they were due.
    pub p50: f64,
    /// 99th percentile of the latency of served requests, in milliseconds from when they were due.
    pub p99: f64,
    /// 99th percentile of how late the rig itself sent requests, in milliseconds.
    pub lag: f64,
}

impl RunStatistics {
    /// Returns names and values in the order of the tables' columns.
    #[must_use]
    pub fn columns(&self) -> [(&'static str, f64); 14] {
        [
            ("least", self.min_load),
            ("most", self.max_load),
            ("variation", self.variation),
            ("poisson", self.poisson),
            ("by second", self.by_second),
            ("idle %", 100.0 * self.idle),
            ("herd", self.herd),
            ("p50 ms", self.p50),
            ("p99 ms", self.p99),
            ("refused %", 100.0 * self.refused),
            ("failed %", 100.0 * self.failed),
            ("nothing %", 100.0 * self.unanswered),
            ("attempts", self.attempts),
            ("lag ms", self.lag),
        ]
    }
}

impl fmt::Display for RunStatistics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:<12}{:>10}", "requests", self.offered)?;
        self.columns().iter().try_for_each(|(name, value)| writeln!(f, "{name:<12}{value:>10.3}"))
    }
}

/// Returns the statistics of a run without its first fifth, which is the warm-up.
#[must_use]
pub fn of(history: &History) -> RunStatistics {
    between(history, history.length / 5.0, history.length)
}

/// Returns the statistics of the interval between two times in seconds.
#[must_use]
pub fn between(history: &History, from: f64, to: f64) -> RunStatistics {
    let within = |at: f64| (from..to).contains(&at);
    let requests: Vec<_> = history.requests.iter().filter(|request| within(request.due)).collect();
    let part = |end: End| {
        requests.iter().filter(|request| request.end == end).count() as f64 / requests.len().max(1) as f64
    };
    let hist = |values: &mut dyn Iterator<Item = f64>| {
        let mut hist = Histogram::<u64>::new_with_max(MAX_LATENCY_US, 3).expect("bounds are sound");
        values.for_each(|s| hist.saturating_record((s * 1e6).max(0.0) as u64));
        hist
    };
    let latencies = hist(
        &mut requests
            .iter()
            .filter(|request| request.end == End::Served)
            .map(|request| request.ended - request.due),
    );
    let lag = hist(&mut requests.iter().map(|request| request.lag));
    let ms = |hist: &Histogram<u64>, part: f64| hist.value_at_quantile(part) as f64 / 1000.0;
    let mut begun: Vec<Vec<f64>> = vec![Vec::new(); history.servers.len()];
    history
        .attempts
        .iter()
        .filter(|attempt| within(attempt.begun))
        .for_each(|attempt| begun[attempt.server].push(attempt.begun));
    let sent: usize = begun.iter().map(Vec::len).sum();
    let (min_load, max_load, variation, poisson) = spread(history, &begun, (from, to));
    let seconds = (to - from).floor().max(1.0) as usize;
    let by_second = (0..seconds).map(|n| {
        let span = from + n as f64..from + n as f64 + 1.0;
        let of = |times: &Vec<f64>| times.iter().copied().filter(|at| span.contains(at)).collect();
        let (.., variation, poisson) =
            spread(history, &begun.iter().map(of).collect::<Vec<_>>(), (span.start, span.end));
        if poisson > 0.0 {
            variation / poisson
        } else {
            1.0
        }
    });
    RunStatistics {
        offered: requests.len(),
        refused: part(End::Refused),
        failed: part(End::Failed) + part(End::Broken) + part(End::Unreached),
        unanswered: part(End::NoAnswer),
        attempts: sent as f64 / requests.len().max(1) as f64,
        min_load,
        max_load,
        variation,
        poisson,
        by_second: by_second.sum::<f64>() / seconds as f64,
        idle: idle(history, from, to),
        herd: herd(history, &begun, (from, to)),
        p50: ms(&latencies, 0.5),
        p99: ms(&latencies, 0.99),
        lag: ms(&lag, 0.99),
    }
}

/// Returns the smallest and the largest load and the standard deviation of the loads, relative to the mean, and the deviation that
/// independent random choices would give. Servers that are available for less than a fifth of the interval are left out; the
/// capacity of the others is scaled by the time in which they are available.
fn spread(history: &History, begun: &[Vec<f64>], (from, to): (f64, f64)) -> (f64, f64, f64, f64) {
    let sizes = history.servers.iter().zip(begun).map(|(server, times)| {
        let up = server.available_s(from, to) / (to - from).max(1e-9);
        (server.workers as f64 / server.service_s.max(1e-9) * up, times.len() as f64, up)
    });
    let counted: Vec<(f64, f64)> =
        sizes.filter(|(.., up)| *up >= 0.2).map(|(size, sent, _)| (size, sent)).collect();
    let sizes: Vec<f64> = counted.iter().map(|(size, _)| *size).collect();
    let sent: f64 = counted.iter().map(|(_, sent)| *sent).sum();
    let each = sent / sizes.iter().sum::<f64>().max(1e-9);
    if each <= 0.0 {
        return (0.0, 0.0, 0.0, 0.0);
    }
    let parts: Vec<f64> = counted.iter().map(|(size, sent)| sent / size / each).collect();
    let count = parts.len() as f64;
    let variance = parts.iter().map(|part| (part - 1.0).powi(2)).sum::<f64>() / count;
    let draws = sizes.iter().map(|size| 1.0 / (each * size)).sum::<f64>() / count;
    let min_load = parts.iter().copied().fold(f64::INFINITY, f64::min);
    (min_load, parts.iter().copied().fold(0.0, f64::max), variance.sqrt(), draws.sqrt())
}

/// Returns the fraction of the server time with a free worker while another server has two or more requests waiting.
fn idle(history: &History, from: f64, to: f64) -> f64 {
    let mut steps: Vec<(f64, usize, i64)> = Vec::new();
    for attempt in &history.attempts {
        steps.push((attempt.begun, attempt.server, 1));
        steps.extend(attempt.ended.map(|at| (at, attempt.server, -1)));
    }
    steps.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.2.cmp(&b.2)));
    let mut pending = vec![0_i64; history.servers.len()];
    let workers: Vec<i64> = history.servers.iter().map(|server| server.workers as i64).collect();
    let (mut before, mut idle) = (from, 0.0);
    for (at, server, change) in steps {
        let now = at.clamp(from, to);
        if now > before {
            if pending.iter().zip(&workers).any(|(pending, workers)| pending - workers >= 2) {
                let up = |n: usize| history.servers[n].available_s(before, before + 1e-6) > 0.0;
                let free = (0..pending.len()).filter(|n| pending[*n] < workers[*n] && up(*n)).count();
                idle += (now - before) * free as f64;
            }
            before = now;
        }
        pending[server] += change;
    }
    idle / ((to - from) * history.servers.len() as f64).max(1e-9)
}

/// Returns the largest number of requests begun at a server within one service time, relative to the p99.9 of independent random
/// choices.
fn herd(history: &History, begun: &[Vec<f64>], (from, to): (f64, f64)) -> f64 {
    let size = |server: &Server| server.workers as f64 / server.service_s.max(1e-9);
    let sizes: f64 = history.servers.iter().map(|server| size(server) * server.available_s(from, to)).sum();
    let each = begun.iter().map(|times| times.len() as f64).sum::<f64>() / sizes.max(1e-9);
    let of = |(server, times): (&Server, &Vec<f64>)| {
        let mut first = 0;
        let counts = times.iter().enumerate().map(|(n, at)| {
            while at - times[first] > server.service_s {
                first += 1;
            }
            n + 1 - first
        });
        let expected = poisson(each * size(server) * server.service_s, 0.999);
        counts.max().unwrap_or(0) as f64 / expected as f64
    };
    history.servers.iter().zip(begun).map(of).fold(0.0, f64::max)
}

/// Returns the quantile `part` of a Poisson distribution with this mean, but at least 1.
#[must_use]
pub fn poisson(mean: f64, part: f64) -> usize {
    let (mut term, mut sum, mut count) = ((-mean).exp(), (-mean).exp(), 0);
    while sum < part && count < 10_000 {
        count += 1;
        term *= mean / count as f64;
        sum += term;
    }
    count.max(1)
}

/// Returns the seconds from the end of the last fault until `by_second` over two seconds is at most `times` its value before
/// the first fault; `None` where that does not happen within the run, or there was no fault.
#[must_use]
pub fn recovery_s(history: &History, times: f64) -> Option<f64> {
    let first = history.faults.iter().map(|(from, _)| *from).reduce(f64::min)?;
    let last = history.faults.iter().map(|(_, to)| to.min(history.length)).reduce(f64::max)?;
    let before = between(history, (history.length / 5.0).min(first / 2.0), first).by_second;
    let step = 0.5;
    let mut at = last;
    while at + 2.0 <= history.length {
        if between(history, at, at + 2.0).by_second <= times * before.max(1.0) {
            return Some(at - last);
        }
        at += step;
    }
    None
}

/// Returns, by capacity in requests per second, the attempts at all servers of that capacity relative to their fair share.
#[must_use]
pub fn by_capacity(history: &History) -> Vec<(f64, f64)> {
    let (from, to) = (history.length / 5.0, history.length);
    let mut sums: std::collections::BTreeMap<u64, (f64, f64)> = std::collections::BTreeMap::new();
    let size = |server: &Server| server.workers as f64 / server.service_s.max(1e-9);
    let key = |server: &Server| (size(server) * 1000.0).round() as u64;
    for server in &history.servers {
        sums.entry(key(server)).or_default().0 += size(server) * server.available_s(from, to);
    }
    for attempt in history.attempts.iter().filter(|attempt| (from..to).contains(&attempt.begun)) {
        sums.entry(key(&history.servers[attempt.server])).or_default().1 += 1.0;
    }
    let (sizes, sent) = sums.values().fold((0.0, 0.0), |all, sum| (all.0 + sum.0, all.1 + sum.1));
    let part = |(size, n): (f64, f64)| if size > 0.0 { n / size * sizes / sent } else { 0.0 };
    sums.into_iter().map(|(key, sum)| (key as f64 / 1000.0, part(sum))).collect()
}

/// Returns the largest `herd` in the second after a fault began or ended.
#[must_use]
pub fn max_herd_at_faults(history: &History) -> f64 {
    let edges = history.faults.iter().flat_map(|(from, to)| [*from, *to]).filter(|at| *at < history.length);
    edges.map(|at| between(history, at, at + 1.0).herd).fold(0.0, f64::max)
}

/// Formats a table of requests that were not served, out of all, with a row for each second and a column for each node.
#[must_use]
pub fn not_served(requests: &[RequestRecord]) -> String {
    let mut counts: BTreeMap<u64, BTreeMap<usize, (u32, u32)>> = BTreeMap::new();
    for request in requests {
        let count = counts.entry(request.due as u64).or_default().entry(request.node).or_default();
        count.0 += u32::from(request.end != End::Served);
        count.1 += 1;
    }
    let mut table = "second: not served of all, by node\n".to_owned();
    for (second, nodes) in counts {
        let _ = write!(table, "{second:>5}:");
        for (node, (not_served, all)) in nodes {
            let _ = write!(table, "  n{node} {not_served}/{all}");
        }
        table.push('\n');
    }
    table
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::history::{RequestRecord, ServerAttempt};
    use spurdrum_load::plan::Effect;

    fn server(name: &str, workers: usize) -> Server {
        Server {
            name: name.into(),
            workers,
            service_s: 0.04,
            drains_at: None,
            slow_start: None,
            unavailable: Vec::new(),
            lifetime: (0.0, f64::MAX),
        }
    }

    fn history(attempts: &[(usize, f64, f64)]) -> History {
        let attempts = attempts.iter().enumerate().map(|(id, (server, begun, ended))| ServerAttempt {
            id: id as u64,
            server: *server,
            begun: *begun,
            ended: Some(*ended),
        });
        History {
            length: 10.0,
            attempts: attempts.collect(),
            servers: vec![server("a", 1), server("b", 1)],
            ..History::default()
        }
    }

    #[test]
    fn a_server_is_idle_only_while_others_wait() {
        // Server a has one request from 4 to 10 s and three from 5 to 8 s, when two wait while b is free.
        let history = history(&[(0, 4.0, 10.0), (0, 5.0, 8.0), (0, 5.0, 8.0)]);
        let idle = between(&history, 2.0, 10.0).idle;
        assert!((idle - 3.0 / 16.0).abs() < 1e-9, "{idle}");
        let mut unavailable = history.clone();
        unavailable.servers[1].unavailable.push((0.0, 20.0));
        assert_eq!(between(&unavailable, 2.0, 10.0).idle, 0.0);
    }

    #[test]
    fn loads_are_relative_to_capacity() {
        let mut history = history(&[]);
        history.servers = vec![server("a", 1), server("b", 3)];
        let at = |n: usize| 2.0 + n as f64 * 0.01;
        history.attempts = (0..400)
            .map(|n| ServerAttempt {
                id: n as u64,
                server: usize::from(n % 4 > 0),
                begun: at(n),
                ended: Some(at(n) + 0.01),
            })
            .collect();
        let even = between(&history, 2.0, 10.0);
        assert!(even.variation < 1e-9 && (even.min_load - 1.0).abs() < 1e-9);
        history.attempts.iter_mut().for_each(|attempt| attempt.server = usize::from(attempt.id % 2 > 0));
        let uneven = between(&history, 2.0, 10.0);
        assert!(
            (uneven.max_load - 2.0).abs() < 1e-9 && (uneven.min_load - 2.0 / 3.0).abs() < 1e-9,
            "{uneven}"
        );
    }

    #[test]
    fn a_herd_is_a_burst_at_one_server_within_one_service_time() {
        let spaced: Vec<_> = (0..80).map(|n| (n % 2, 2.0 + f64::from(n as u32) * 0.1, 9.9)).collect();
        let alone = between(&history(&spaced), 2.0, 10.0).herd;
        let mut at_once = spaced;
        at_once.extend((0..12).map(|n| (0, 6.05 + f64::from(n) * 0.001, 9.9)));
        assert!(alone <= 1.0, "{alone}");
        assert!(between(&history(&at_once), 2.0, 10.0).herd >= 3.0);
    }

    #[test]
    fn requests_are_counted_by_their_ends() {
        let ends = [End::Served, End::Served, End::Refused, End::Failed, End::NoAnswer];
        let requests = ends.iter().enumerate().map(|(n, end)| RequestRecord {
            id: n as u64,
            node: 0,
            effect: Effect::Safe,
            due: 3.0,
            lag: 0.0,
            ended: 3.0 + 0.1 * (n + 1) as f64,
            end: *end,
            deadline: 0.8,
            connection: None,
        });
        let statistics = of(&History { requests: requests.collect(), ..history(&[]) });
        assert_eq!(
            (statistics.offered, statistics.refused, statistics.failed, statistics.unanswered),
            (5, 0.2, 0.2, 0.2)
        );
        assert!((statistics.p50 - 100.0).abs() < 1.0 && (statistics.p99 - 200.0).abs() < 1.0, "{statistics}");
    }
}
