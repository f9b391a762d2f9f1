//! A pause of the node's process must not count as time in which servers were slow or silent.

mod common;

use common::*;
use spurdrum_policy::*;

const PAUSE_MS: f64 = 1_200.0;

/// Returns a node that had answers in 20 ms from its two servers, and its requests in flight, which are all
/// at the first one.
fn with_attempts_in_flight() -> (Node, Vec<u64>) {
    let mut node = Node::new(one_class(Effect::Safe), 1);
    node.servers(ready(0..2));
    for id in 100..140 {
        node.sent_to(id);
        node.now += 20.0;
        node.end(id, 0, 20.0, Ending::Served);
    }
    node.now += 1.0;
    let (in_flight, others): (Vec<u64>, Vec<u64>) = (1..=6).partition(|id| node.sent_to(*id) == 0);
    others.into_iter().for_each(|id| drop(node.end(id, 0, 20.0, Ending::Served)));
    assert!(in_flight.len() >= 3, "{in_flight:?}");
    (node, in_flight)
}

/// Returns the timers that the actions set.
fn timers(actions: &[Action]) -> Vec<(u64, f64)> {
    let timer = |action: &Action| match action {
        Action::SetTimer { timer, after_ms } => Some((*timer, *after_ms)),
        _ => None,
    };
    actions.iter().filter_map(timer).collect()
}

fn cancelled(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Cancel { .. })).count()
}

/// An attempt must not be abandoned for a time in which the node could not read answers, but it must be
/// abandoned in the end.
#[test]
fn attempts_that_span_a_pause_are_abandoned_later_by_its_length_and_set_one_new_timer() {
    let (mut node, in_flight) = with_attempts_in_flight();
    let sent_at = node.now;
    node.now += PAUSE_MS;
    let resumed = node.feed(Event::Resumed { paused_ms: PAUSE_MS });
    assert_eq!(resumed, [], "pending requests set no timers");
    // 600 ms is one and a half latency objectives.
    let early: Vec<Action> = in_flight.iter().flat_map(|id| node.feed(Event::Timer(*id + 1))).collect();
    assert_eq!(cancelled(&early), 0);
    let new_timers = timers(&early);
    assert_eq!(new_timers.len(), in_flight.len(), "{new_timers:?}");
    assert!(
        new_timers.iter().all(|(_, after_ms)| *after_ms > 0.0 && *after_ms <= 600.0 + PAUSE_MS),
        "{new_timers:?}"
    );
    node.now = sent_at + PAUSE_MS + 610.0;
    let late: Vec<Action> =
        new_timers.iter().flat_map(|(timer, _)| node.feed(Event::Timer(*timer))).collect();
    assert_eq!(cancelled(&late), in_flight.len(), "attempts at a server that stays silent are abandoned");
}

/// Latencies that include a pause must not make the node refuse requests.
#[test]
fn answers_that_span_a_pause_do_not_raise_the_expected_latency() {
    let (mut node, in_flight) = with_attempts_in_flight();
    node.now += PAUSE_MS;
    node.feed(Event::Resumed { paused_ms: PAUSE_MS });
    in_flight.iter().for_each(|id| drop(node.end(*id, 0, PAUSE_MS, Ending::Served)));
    for id in 200..230 {
        assert!(!refused(&node.request(id, 0, 800.0)), "request {id}");
        node.end(id, 0, 20.0, Ending::Served);
    }
}

/// A server must not be ejected because deadlines of its requests passed while the node was paused.
#[test]
fn a_deadline_that_passes_in_a_pause_is_no_failure_of_the_server() {
    let ejected = |resumed: bool| {
        let (mut node, in_flight) = with_attempts_in_flight();
        node.now += PAUSE_MS;
        if resumed {
            node.feed(Event::Resumed { paused_ms: PAUSE_MS });
        }
        in_flight.iter().for_each(|id| drop(node.end(*id, 0, PAUSE_MS, Ending::TimedOut)));
        node.balancer.ejected_count(node.now)
    };
    assert_eq!((ejected(true), ejected(false)), (0, 1));
}
