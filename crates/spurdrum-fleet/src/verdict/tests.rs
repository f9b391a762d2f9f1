//! Which histories violate a rule, and which do not.

use super::*;
use crate::history::{NodeOutage, RequestRecord, Server, ServerChoice, SlowStart};

fn request(effect: Effect, end: End) -> RequestRecord {
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

fn attempt(server: usize, begun: f64, ended: Option<f64>) -> ServerAttempt {
    ServerAttempt { id: 7, server, begun, ended }
}

fn history(request: RequestRecord, attempts: Vec<ServerAttempt>) -> History {
    let server = |name: &str| Server {
        name: name.into(),
        workers: 2,
        service_s: 0.04,
        drains_at: None,
        slow_start: None,
        unavailable: Vec::new(),
        lifetime: (0.0, f64::MAX),
    };
    History {
        length: 10.0,
        requests: vec![request],
        attempts,
        servers: vec![server("a"), server("b")],
        dedup_window: 0.5,
        slack: 0.1,
        ..History::default()
    }
}

fn rules(history: &History) -> Vec<Rule> {
    judge(history).iter().map(|violation| violation.rule).collect()
}

#[test]
fn a_missing_answer_breaks_a_rule_unless_the_node_was_down() {
    let mut history = history(request(Effect::Safe, End::NoAnswer), Vec::new());
    assert_eq!(rules(&history), [Rule::Answered]);
    history.outages.push(NodeOutage { node: 3, from: 1.5, to: 2.0 });
    assert_eq!(rules(&history), []);
    history.outages[0] = NodeOutage { node: 4, from: 1.5, to: 2.0 };
    assert_eq!(rules(&history), [Rule::Answered]);
}

#[test]
fn a_connection_that_ends_without_an_answer_breaks_the_same_rule() {
    let mut history = history(request(Effect::Safe, End::Broken), Vec::new());
    assert_eq!(rules(&history), [Rule::Answered]);
    history.outages.push(NodeOutage { node: 3, from: 1.95, to: 2.0 });
    assert_eq!(rules(&history), []);
}

#[test]
fn a_choice_is_judged_by_what_its_own_node_had_learned() {
    let mut history = history(request(Effect::Safe, End::Served), Vec::new());
    let notice = |node, at, ready| AvailabilityNotice { node, server: 1, at, ready };
    let choice = |node, at| ServerChoice { node, id: 7, server: 1, at };
    history.notices = vec![notice(3, 1.0, true), notice(3, 2.0, false), notice(3, 4.0, true)];
    history.choices = vec![choice(3, 1.5), choice(3, 2.2), choice(4, 3.0), choice(3, 4.1)];
    assert_eq!(rules(&history), []);
    history.choices.insert(3, choice(3, 3.9));
    assert_eq!(rules(&history), [Rule::Drained]);
}

#[test]
fn repeats_are_judged_by_effect_window_and_overlap() {
    let twice = |effect, second, ended| {
        rules(&history(
            request(effect, End::Served),
            vec![attempt(0, 1.0, Some(ended)), attempt(1, second, Some(1.8))],
        ))
    };
    assert_eq!(twice(Effect::Safe, 1.7, 1.2), []);
    assert_eq!(twice(Effect::Keyed, 1.4, 1.2), []);
    assert_eq!(twice(Effect::Keyed, 1.7, 1.2), [Rule::Once]);
    assert_eq!(twice(Effect::Unsafe, 1.4, 1.2), [Rule::Once]);
    assert_eq!(twice(Effect::Safe, 1.4, 1.6), [Rule::OneAtATime]);
}

#[test]
fn a_close_that_a_faulty_link_hides_from_the_server_does_not_count() {
    let both = vec![attempt(0, 1.0, Some(1.6)), attempt(1, 1.4, Some(1.8))];
    let mut history = history(request(Effect::Safe, End::Served), both);
    history.impaired_links.push(ImpairedLinks { nodes: vec![3], servers: vec![0], from: 0.5, to: 1.2 });
    assert_eq!(rules(&history), []);
    history.impaired_links[0].servers = vec![1];
    assert_eq!(rules(&history), [Rule::OneAtATime]);
}

#[test]
fn work_for_a_draining_server_is_found() {
    let mut history = history(request(Effect::Safe, End::Served), vec![attempt(0, 8.0, Some(8.1))]);
    history.servers[0].drains_at = Some(1.0);
    assert_eq!(rules(&history), [Rule::Drained]);
    history.servers[0].drains_at = Some(2.0);
    assert_eq!(rules(&history), []);
}

/// The server starts at about a third of its rate of 10 requests a second. Twice that over 3 s is a little over 20 requests, and
/// the allowance for random variation adds at most 11.
#[test]
fn an_overloaded_server_in_slow_start_is_found_at_the_first_excess_request() {
    let slow_start = SlowStart {
        rate: 10.0,
        initial_share: 0.3,
        duration: 10.0,
        collapse_multiple: 2.0,
        collapse_window: 3.0,
    };
    let overload = |gap: f64| {
        let worked = |n: u32| ServerAttempt {
            id: u64::from(n),
            server: 0,
            begun: 2.0 + gap * f64::from(n),
            ended: None,
        };
        let mut history = history(request(Effect::Safe, End::Served), (1..60).map(worked).collect());
        (history.servers[0].slow_start, history.servers[0].lifetime.0) = (Some(slow_start), 2.0);
        judge(&history)
    };
    assert_eq!(overload(0.1), []);
    let violations = overload(0.03);
    assert_eq!(
        violations.iter().map(|violation| violation.rule).collect::<Vec<_>>(),
        [Rule::SlowStartRespected]
    );
    assert!((31..=36).contains(&violations[0].id), "{}", violations[0]);
}
