//! What the judge finds, and what it lets pass.

use super::*;
use crate::history::{NodeOutage, RequestRecord, Server, ServerChoice, SlowStart};

fn asked(effect: Effect, end: End) -> RequestRecord {
    RequestRecord {
        id: 7,
        node: 3,
        effect,
        due: 1.0,
        lag: 0.0,
        ended: 1.9,
        end,
        deadline: 0.8,
        connection: None,
    }
}

fn worked(server: usize, begun: f64, ended: Option<f64>) -> ServerAttempt {
    ServerAttempt { id: 7, server, begun, ended }
}

fn history(request: RequestRecord, attempts: Vec<ServerAttempt>) -> History {
    let server = |name: &str| Server {
        name: name.into(),
        workers: 2,
        work: 0.04,
        drains_at: None,
        slow_start: None,
        paused: Vec::new(),
        alive: (0.0, f64::MAX),
    };
    History {
        length: 10.0,
        requests: vec![request],
        attempts,
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
    let mut history = history(asked(Effect::Safe, End::NoAnswer), Vec::new());
    assert_eq!(rules(&history), [Rule::Answered]);
    history.outages.push(NodeOutage { node: 3, from: 1.5, to: 2.0 });
    assert_eq!(rules(&history), []);
    history.outages[0] = NodeOutage { node: 4, from: 1.5, to: 2.0 };
    assert_eq!(rules(&history), [Rule::Answered]);
}

#[test]
fn a_connection_that_ends_without_an_answer_breaks_the_rule_that_silence_breaks() {
    let mut history = history(asked(Effect::Safe, End::Broken), Vec::new());
    assert_eq!(rules(&history), [Rule::Answered]);
    history.outages.push(NodeOutage { node: 3, from: 1.95, to: 2.0 });
    assert_eq!(rules(&history), []);
}

#[test]
fn a_choice_is_judged_by_what_its_own_node_was_told() {
    let mut history = history(asked(Effect::Safe, End::Served), Vec::new());
    let told = |node, at, ready| AvailabilityNotice { node, server: 1, at, ready };
    let chosen = |node, at| ServerChoice { node, id: 7, server: 1, at };
    history.notices = vec![told(3, 1.0, true), told(3, 2.0, false), told(3, 4.0, true)];
    history.choices = vec![chosen(3, 1.5), chosen(3, 2.2), chosen(4, 3.0), chosen(3, 4.1)];
    assert_eq!(rules(&history), []);
    history.choices.insert(3, chosen(3, 3.9));
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
    history.impaired_links.push(ImpairedLinks { nodes: vec![3], servers: vec![0], from: 0.5, to: 1.2 });
    assert_eq!(rules(&history), []);
    history.impaired_links[0].servers = vec![1];
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

/// A third of its rate of 10 a second at its start; 2 times that within 3 s are 20 and some, and chance adds 11 at the most.
#[test]
fn a_cold_server_that_all_press_together_is_found_at_the_first_request_too_many() {
    let cold = SlowStart { rate: 10.0, from: 0.3, lasts: 10.0, multiple: 2.0, window: 3.0 };
    let pressed = |gap: f64| {
        let worked = |n: u32| ServerAttempt {
            id: u64::from(n),
            server: 0,
            begun: 2.0 + gap * f64::from(n),
            ended: None,
        };
        let mut history = history(asked(Effect::Safe, End::Served), (1..60).map(worked).collect());
        (history.servers[0].slow_start, history.servers[0].alive.0) = (Some(cold), 2.0);
        judge(&history)
    };
    assert_eq!(pressed(0.1), []);
    let broken = pressed(0.03);
    assert_eq!(broken.iter().map(|broken| broken.rule).collect::<Vec<_>>(), [Rule::Spared]);
    assert!((31..=36).contains(&broken[0].id), "{}", broken[0]);
}
