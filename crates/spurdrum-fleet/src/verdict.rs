//! The rules that always hold, judged on a run's history: which are broken, and by which request.

use std::collections::HashMap;
use std::fmt;

use spurdrum_load::plan::Effect;

use crate::history::{Blind, End, History, Told, Worked};

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
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Answered => "one final answer in time",
            Self::Once => "no effect twice",
            Self::OneAtATime => "one attempt at a time",
            Self::Drained => "nothing new for who drains",
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
    let mut by_id: HashMap<u64, Vec<&Worked>> = HashMap::new();
    history.worked.iter().for_each(|worked| by_id.entry(worked.id).or_default().push(worked));
    for asked in &history.asked {
        // A node that was killed or stopped meanwhile could not answer.
        let away = |a: &&crate::history::Away| {
            a.node == asked.node && a.from <= asked.ended + history.slack && a.to + history.slack >= asked.due
        };
        if matches!(asked.end, End::Nothing | End::Broken) && !history.away.iter().any(|a| away(&a)) {
            let what = if asked.end == End::Broken { "broke off after" } else { "said nothing for" };
            let seen = format!("node {} {what} {:.3} s", asked.node, asked.ended - asked.due);
            broken.push(Broken { rule: Rule::Answered, id: asked.id, at: asked.due, seen });
        }
        let Some(runs) = by_id.get(&asked.id) else { continue };
        let name = |worked: &Worked| history.servers[worked.server].name.as_str();
        for pair in runs.windows(2) {
            // A server hears of an end a moment after its node made it.
            let over = pair[0].ended.is_some_and(|ended| ended <= pair[1].begun + history.slack);
            let blind = |blind: &Blind| {
                let met = blind.nodes.contains(&asked.node) && blind.servers.contains(&pair[0].server);
                met && blind.from <= pair[1].begun && blind.to + history.slack >= pair[0].begun
            };
            if !over && !history.blind.iter().any(blind) {
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
    for worked in &history.worked {
        let server = &history.servers[worked.server];
        if server.drains_at.is_some_and(|at| worked.begun > at + TOLD + DRAIN + history.slack) {
            let seen = format!("{} drained from {:.3} s", server.name, server.drains_at.unwrap_or_default());
            broken.push(Broken { rule: Rule::Drained, id: worked.id, at: worked.begun, seen });
        }
    }
    broken.extend(told(history));
    broken.sort_by(|a, b| a.at.total_cmp(&b.at));
    broken
}

/// Choices of nodes that had been told a while before that the server takes nothing new. A node that was not there, or stopped,
/// was told by what it wrote itself.
fn told(history: &History) -> Vec<Broken> {
    let mut last: HashMap<(usize, usize), &Told> = HashMap::new();
    let mut broken = Vec::new();
    let mut told = history.told.iter().peekable();
    for chosen in &history.chosen {
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

#[cfg(test)]
mod tests {
    use super::*;
    use crate::history::{Asked, Away, Chosen, Server};

    fn asked(effect: Effect, end: End) -> Asked {
        Asked { id: 7, node: 3, effect, due: 1.0, lag: 0.0, ended: 1.9, end, deadline: 0.8 }
    }

    fn worked(server: usize, begun: f64, ended: Option<f64>) -> Worked {
        Worked { id: 7, server, begun, ended }
    }

    fn history(asked: Asked, worked: Vec<Worked>) -> History {
        let server = |name: &str| Server {
            name: name.into(),
            workers: 2,
            work: 0.04,
            drains_at: None,
            still: Vec::new(),
            lives: (0.0, f64::MAX),
        };
        History {
            length: 10.0,
            asked: vec![asked],
            worked,
            servers: vec![server("a"), server("b")],
            window: 0.5,
            slack: 0.1,
            ..History::default()
        }
    }

    fn rules(history: &History) -> Vec<Rule> {
        judge(history).iter().map(|broken| broken.rule).collect()
    }

    #[test]
    fn silence_breaks_a_rule_unless_its_node_was_away() {
        let mut history = history(asked(Effect::Safe, End::Nothing), Vec::new());
        assert_eq!(rules(&history), [Rule::Answered]);
        history.away.push(Away { node: 3, from: 1.5, to: 2.0 });
        assert_eq!(rules(&history), []);
        history.away[0] = Away { node: 4, from: 1.5, to: 2.0 };
        assert_eq!(rules(&history), [Rule::Answered]);
    }

    #[test]
    fn a_connection_that_ends_without_an_answer_breaks_the_rule_that_silence_breaks() {
        let mut history = history(asked(Effect::Safe, End::Broken), Vec::new());
        assert_eq!(rules(&history), [Rule::Answered]);
        history.away.push(Away { node: 3, from: 1.95, to: 2.0 });
        assert_eq!(rules(&history), []);
    }

    #[test]
    fn a_choice_is_judged_by_what_its_own_node_was_told() {
        let mut history = history(asked(Effect::Safe, End::Served), Vec::new());
        let told = |node, at, ready| Told { node, server: 1, at, ready };
        let chosen = |node, at| Chosen { node, id: 7, server: 1, at };
        history.told = vec![told(3, 1.0, true), told(3, 2.0, false), told(3, 4.0, true)];
        history.chosen = vec![chosen(3, 1.5), chosen(3, 2.2), chosen(4, 3.0), chosen(3, 4.1)];
        assert_eq!(rules(&history), []);
        history.chosen.insert(3, chosen(3, 3.9));
        assert_eq!(rules(&history), [Rule::Drained]);
    }

    #[test]
    fn repeats_are_judged_by_class_window_and_overlap() {
        let twice = |effect, second, ended| {
            rules(&history(
                asked(effect, End::Served),
                vec![worked(0, 1.0, Some(ended)), worked(1, second, Some(1.8))],
            ))
        };
        assert_eq!(twice(Effect::Safe, 1.7, 1.2), []);
        assert_eq!(twice(Effect::Keyed, 1.4, 1.2), []);
        assert_eq!(twice(Effect::Keyed, 1.7, 1.2), [Rule::Once]);
        assert_eq!(twice(Effect::Unsafe, 1.4, 1.2), [Rule::Once]);
        assert_eq!(twice(Effect::Safe, 1.4, 1.6), [Rule::OneAtATime]);
    }

    #[test]
    fn what_a_server_cannot_have_heard_does_not_count() {
        let both = vec![worked(0, 1.0, Some(1.6)), worked(1, 1.4, Some(1.8))];
        let mut history = history(asked(Effect::Safe, End::Served), both);
        history.blind.push(Blind { nodes: vec![3], servers: vec![0], from: 0.5, to: 1.2 });
        assert_eq!(rules(&history), []);
        history.blind[0].servers = vec![1];
        assert_eq!(rules(&history), [Rule::OneAtATime]);
    }

    #[test]
    fn work_for_a_server_that_drains_is_found() {
        let mut history = history(asked(Effect::Safe, End::Served), vec![worked(0, 8.0, Some(8.1))]);
        history.servers[0].drains_at = Some(1.0);
        assert_eq!(rules(&history), [Rule::Drained]);
        history.servers[0].drains_at = Some(2.0);
        assert_eq!(rules(&history), []);
    }
}
