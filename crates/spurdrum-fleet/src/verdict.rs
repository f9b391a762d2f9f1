//! Checks a run's history against the rules that hold in every run, and reports each violation with its request.

use std::collections::HashMap;
use std::fmt;

use spurdrum_load::plan::Effect;

use crate::history::{AvailabilityNotice, End, History, ImpairedLinks, ServerAttempt};

/// A draining server gets nothing new this long after a node learned of the drain, in seconds.
const DRAIN: f64 = 0.25;
/// Every node has learned a change in discovery after this time at the latest, in seconds.
const NOTICE_DELAY: f64 = 6.0;

/// A rule that every run must keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rule {
    /// Each request gets one final answer within its client's deadline.
    Answered,
    /// A request that must not run twice does not run twice.
    Once,
    /// No two attempts of a request run at the same time.
    OneAtATime,
    /// A draining server gets no new requests.
    Drained,
    /// All nodes together send a server in slow start no more than it can take.
    SlowStartRespected,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Answered => "one final answer in time",
            Self::Once => "no effect twice",
            Self::OneAtATime => "one attempt at a time",
            Self::Drained => "nothing new for who drains",
            Self::SlowStartRespected => "cold servers are spared",
        })
    }
}

/// A request that broke a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The broken rule.
    pub rule: Rule,
    /// The request's id.
    pub id: u64,
    /// When the rule was broken, in seconds from the start of the run.
    pub at: f64,
    /// Description of what was observed.
    pub observed: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: request {:x} at {:.3} s: {}", self.rule, self.id, self.at, self.observed)
    }
}

/// Returns all violations of the rules in a history, in time order.
#[must_use]
pub fn judge(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut by_id: HashMap<u64, Vec<&ServerAttempt>> = HashMap::new();
    history.attempts.iter().for_each(|attempt| by_id.entry(attempt.id).or_default().push(attempt));
    for request in &history.requests {
        // A node that was killed or stopped while the request was pending could not answer it.
        let overlaps = |o: &&crate::history::NodeOutage| {
            o.node == request.node
                && o.from <= request.ended + history.slack
                && o.to + history.slack >= request.due
        };
        if matches!(request.end, End::NoAnswer | End::Broken) && !history.outages.iter().any(|o| overlaps(&o))
        {
            let what =
                if request.end == End::Broken { "closed the connection after" } else { "did not answer for" };
            let connection = request.connection.as_deref().unwrap_or("connection not recorded");
            let observed =
                format!("node {} {what} {:.3} s ({connection})", request.node, request.ended - request.due);
            violations.push(Violation { rule: Rule::Answered, id: request.id, at: request.due, observed });
        }
        let Some(runs) = by_id.get(&request.id) else { continue };
        let name = |attempt: &ServerAttempt| history.servers[attempt.server].name.as_str();
        for pair in runs.windows(2) {
            // A server notices the end of an attempt slightly after the node has ended it.
            let over = pair[0].ended.is_some_and(|ended| ended <= pair[1].begun + history.slack);
            let hides_close = |links: &ImpairedLinks| {
                let affected = links.nodes.contains(&request.node) && links.servers.contains(&pair[0].server);
                affected && links.from <= pair[1].begun && links.to + history.slack >= pair[0].begun
            };
            if !over && !history.impaired_links.iter().any(hides_close) {
                let observed = format!("begun at {} while {} worked on it", name(pair[1]), name(pair[0]));
                violations.push(Violation {
                    rule: Rule::OneAtATime,
                    id: request.id,
                    at: pair[1].begun,
                    observed,
                });
            }
            let late = pair[1].begun - runs[0].begun > history.dedup_window + history.slack;
            if request.effect == Effect::Unsafe || request.effect == Effect::Keyed && late {
                let observed = format!("begun at {} and again at {}", name(runs[0]), name(pair[1]));
                violations.push(Violation { rule: Rule::Once, id: request.id, at: pair[1].begun, observed });
            }
        }
    }
    for attempt in &history.attempts {
        let server = &history.servers[attempt.server];
        if server.drains_at.is_some_and(|at| attempt.begun > at + NOTICE_DELAY + DRAIN + history.slack) {
            let observed =
                format!("{} drained from {:.3} s", server.name, server.drains_at.unwrap_or_default());
            violations.push(Violation { rule: Rule::Drained, id: attempt.id, at: attempt.begun, observed });
        }
    }
    violations.extend(drain_violations(history));
    violations.extend(slow_start_violations(history));
    violations.sort_by(|a, b| a.at.total_cmp(&b.at));
    violations
}

/// Returns each choice of a server that the choosing node had known for more than [`DRAIN`] to take nothing new. Each node is
/// judged by its own trace, so one that was down or stopped is judged only by what it learned itself.
fn drain_violations(history: &History) -> Vec<Violation> {
    let mut latest: HashMap<(usize, usize), &AvailabilityNotice> = HashMap::new();
    let mut violations = Vec::new();
    let mut notices = history.notices.iter().peekable();
    for choice in &history.choices {
        while let Some(notice) = notices.next_if(|notice| notice.at <= choice.at) {
            latest.insert((notice.node, notice.server), notice);
        }
        let unavailable = latest.get(&(choice.node, choice.server)).filter(|notice| !notice.ready);
        if let Some(notice) = unavailable.filter(|notice| choice.at > notice.at + DRAIN) {
            let name = &history.servers[choice.server].name;
            let observed = format!(
                "node {} chose {name}, which it had known to be unavailable since {:.3} s",
                choice.node, notice.at
            );
            violations.push(Violation { rule: Rule::Drained, id: choice.id, at: choice.at, observed });
        }
    }
    violations
}

/// Returns, for each server in slow start, the first request that exceeds the limit of one collapse window. The limit is N, the
/// number of requests that the server can take in the window, plus 2 x sqrt(N) + 2 for random variation. All requests that the
/// server itself recorded count.
fn slow_start_violations(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (index, server) in history.servers.iter().enumerate() {
        let Some(slow_start) = server.slow_start else { continue };
        let share = |at: f64| {
            (slow_start.initial_share
                + (1.0 - slow_start.initial_share) * (at - server.lifetime.0) / slow_start.duration)
                .clamp(0.0, 1.0)
        };
        let mut window = std::collections::VecDeque::new();
        for attempt in history.attempts.iter().filter(|attempt| attempt.server == index) {
            window.push_back(attempt.begun);
            while window.front().is_some_and(|first| *first < attempt.begun - slow_start.collapse_window) {
                window.pop_front();
            }
            let first = (attempt.begun - slow_start.collapse_window).max(server.lifetime.0);
            let mean = (share(first) + share(attempt.begun)) / 2.0;
            let limit = slow_start.collapse_multiple * slow_start.collapse_window * slow_start.rate * mean;
            let in_slow_start = attempt.begun < server.lifetime.0 + slow_start.duration;
            if in_slow_start && window.len() as f64 > limit + 2.0 * limit.sqrt() + 2.0 {
                let observed = format!(
                    "request number {} within {} s at {}, whose limit is {limit:.1}",
                    window.len(),
                    slow_start.collapse_window,
                    server.name
                );
                violations.push(Violation {
                    rule: Rule::SlowStartRespected,
                    id: attempt.id,
                    at: attempt.begun,
                    observed,
                });
                break;
            }
        }
    }
    violations
}

#[cfg(test)]
mod tests;
