//! The rules that always hold, judged on a run's history: which are broken, and by which request.

use std::collections::HashMap;
use std::fmt;

use spurdrum_load::plan::Effect;

use crate::history::{AvailabilityNotice, End, History, ImpairedLinks, ServerAttempt};

/// A server that drains gets nothing new so long after its nodes were told, in seconds.
const DRAIN: f64 = 0.25;
/// What discovery has to tell counts as told after so long at the latest, in seconds.
const TOLD: f64 = 6.0;

/// A rule that was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rule {
    /// One final answer for each request, in its client's time.
    Answered,
    /// Nothing that must not run twice did.
    Once,
    /// Never two attempts of a request at the same time.
    OneAtATime,
    /// Nothing new for a server that drains.
    Drained,
    /// No more for a cold server, from all nodes together, than it bears.
    Spared,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Answered => "one final answer in time",
            Self::Once => "no effect twice",
            Self::OneAtATime => "one attempt at a time",
            Self::Drained => "nothing new for who drains",
            Self::Spared => "cold servers are spared",
        })
    }
}

/// A request that broke a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Broken {
    /// The rule.
    pub rule: Rule,
    /// The request.
    pub id: u64,
    /// When, in seconds.
    pub at: f64,
    /// What was seen.
    pub seen: String,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: request {:x} at {:.3} s: {}", self.rule, self.id, self.at, self.seen)
    }
}

/// All that was broken, in the order of time.
#[must_use]
pub fn judge(history: &History) -> Vec<Broken> {
    let mut broken = Vec::new();
    let mut by_id: HashMap<u64, Vec<&ServerAttempt>> = HashMap::new();
    history.attempts.iter().for_each(|worked| by_id.entry(worked.id).or_default().push(worked));
    for asked in &history.requests {
        // A node that was killed or stopped meanwhile could not answer.
        let away = |a: &&crate::history::NodeOutage| {
            a.node == asked.node && a.from <= asked.ended + history.slack && a.to + history.slack >= asked.due
        };
        if matches!(asked.end, End::NoAnswer | End::Broken) && !history.outages.iter().any(|a| away(&a)) {
            let what = if asked.end == End::Broken { "broke off after" } else { "said nothing for" };
            let connection = asked.connection.as_deref().unwrap_or("connection not noted");
            let seen = format!("node {} {what} {:.3} s ({connection})", asked.node, asked.ended - asked.due);
            broken.push(Broken { rule: Rule::Answered, id: asked.id, at: asked.due, seen });
        }
        let Some(runs) = by_id.get(&asked.id) else { continue };
        let name = |worked: &ServerAttempt| history.servers[worked.server].name.as_str();
        for pair in runs.windows(2) {
            // A server hears of an end a moment after its node made it.
            let over = pair[0].ended.is_some_and(|ended| ended <= pair[1].begun + history.slack);
            let blind = |blind: &ImpairedLinks| {
                let met = blind.nodes.contains(&asked.node) && blind.servers.contains(&pair[0].server);
                met && blind.from <= pair[1].begun && blind.to + history.slack >= pair[0].begun
            };
            if !over && !history.impaired_links.iter().any(blind) {
                let seen = format!("begun at {} while {} worked on it", name(pair[1]), name(pair[0]));
                broken.push(Broken { rule: Rule::OneAtATime, id: asked.id, at: pair[1].begun, seen });
            }
            let late = pair[1].begun - runs[0].begun > history.window + history.slack;
            if asked.effect == Effect::Unsafe || asked.effect == Effect::Keyed && late {
                let seen = format!("begun at {} and again at {}", name(runs[0]), name(pair[1]));
                broken.push(Broken { rule: Rule::Once, id: asked.id, at: pair[1].begun, seen });
            }
        }
    }
    for worked in &history.attempts {
        let server = &history.servers[worked.server];
        if server.drains_at.is_some_and(|at| worked.begun > at + TOLD + DRAIN + history.slack) {
            let seen = format!("{} drained from {:.3} s", server.name, server.drains_at.unwrap_or_default());
            broken.push(Broken { rule: Rule::Drained, id: worked.id, at: worked.begun, seen });
        }
    }
    broken.extend(told(history));
    broken.extend(pressed(history));
    broken.sort_by(|a, b| a.at.total_cmp(&b.at));
    broken
}

/// Choices of nodes that had been told a while before that the server takes nothing new. A node that was not there, or stopped,
/// was told by what it wrote itself.
fn told(history: &History) -> Vec<Broken> {
    let mut last: HashMap<(usize, usize), &AvailabilityNotice> = HashMap::new();
    let mut broken = Vec::new();
    let mut told = history.notices.iter().peekable();
    for chosen in &history.choices {
        while let Some(told) = told.next_if(|told| told.at <= chosen.at) {
            last.insert((told.node, told.server), told);
        }
        let ends = last.get(&(chosen.node, chosen.server)).filter(|told| !told.ready);
        if let Some(told) = ends.filter(|told| chosen.at > told.at + DRAIN) {
            let name = &history.servers[chosen.server].name;
            let seen = format!("node {} chose {name}, of which it was told at {:.3} s", chosen.node, told.at);
            broken.push(Broken { rule: Rule::Drained, id: chosen.id, at: chosen.at, seen });
        }
    }
    broken
}

/// The first request at each cold server with which more had come in one window than it bears, N, and chance may add: 2 x root of
/// N + 2. All that reaches it counts, by its own record.
fn pressed(history: &History) -> Vec<Broken> {
    let mut broken = Vec::new();
    for (place, server) in history.servers.iter().enumerate() {
        let Some(cold) = server.slow_start else { continue };
        let part =
            |at: f64| (cold.from + (1.0 - cold.from) * (at - server.alive.0) / cold.lasts).clamp(0.0, 1.0);
        let mut window = std::collections::VecDeque::new();
        for worked in history.attempts.iter().filter(|worked| worked.server == place) {
            window.push_back(worked.begun);
            while window.front().is_some_and(|first| *first < worked.begun - cold.window) {
                window.pop_front();
            }
            let first = (worked.begun - cold.window).max(server.alive.0);
            let mean = (part(first) + part(worked.begun)) / 2.0;
            let bears = cold.multiple * cold.window * cold.rate * mean;
            let is_cold = worked.begun < server.alive.0 + cold.lasts;
            if is_cold && window.len() as f64 > bears + 2.0 * bears.sqrt() + 2.0 {
                let seen = format!(
                    "the {}th within {} s at {}, which bears {bears:.1}",
                    window.len(),
                    cold.window,
                    server.name
                );
                broken.push(Broken { rule: Rule::Spared, id: worked.id, at: worked.begun, seen });
                break;
            }
        }
    }
    broken
}

#[cfg(test)]
mod tests;
