//! A pause of the node is no time in which servers were slow or silent.

mod common;

use common::*;
use spurdrum_policy::*;

const PAUSE_MS: f64 = 1_200.0;

/// A node of two servers that has seen both answer in 20 ms, and the requests that are out at the first, all that are out.
fn with_attempts_out() -> (Node, Vec<u64>) {
    let mut node = Node::new(one_class(Effect::Safe), 1);
    node.servers(ready(0..2));
    for id in 100..140 {
        node.sent_to(id);
        node.now += 20.0;
        node.end(id, 0, 20.0, Ending::Served);
    }
    node.now += 1.0;
    let (out, others): (Vec<u64>, Vec<u64>) = (1..=6).partition(|id| node.sent_to(*id) == 0);
    others.into_iter().for_each(|id| drop(node.end(id, 0, 20.0, Ending::Served)));
    assert!(out.len() >= 3, "{out:?}");
    (node, out)
}

/// The timers that are set.
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

/// Guards against attempts that are cut for a time in which nobody heard their servers, and against such that never are.
#[test]
fn attempts_that_span_a_pause_are_cut_later_by_as_much_and_set_one_timer_anew() {
    let (mut node, out) = with_attempts_out();
    let begun = node.now;
    node.now += PAUSE_MS;
    let resumed = node.feed(Event::Resumed { paused_ms: PAUSE_MS });
    assert_eq!(resumed, [], "what is held sets no timers");
    // 600 ms is one and a half aims.
    let early: Vec<Action> = out.iter().flat_map(|id| node.feed(Event::Timer(*id + 1))).collect();
    assert_eq!(cancelled(&early), 0);
    let anew = timers(&early);
    assert_eq!(anew.len(), out.len(), "{anew:?}");
    assert!(anew.iter().all(|(_, after_ms)| *after_ms > 0.0 && *after_ms <= 600.0 + PAUSE_MS), "{anew:?}");
    node.now = begun + PAUSE_MS + 610.0;
    let late: Vec<Action> = anew.iter().flat_map(|(timer, _)| node.feed(Event::Timer(*timer))).collect();
    assert_eq!(cancelled(&late), out.len(), "a server that stays silent is left all the same");
}

/// Guards against refusals by what a pause seems to tell of servers.
#[test]
fn answers_that_span_a_pause_do_not_raise_what_is_expected() {
    let (mut node, out) = with_attempts_out();
    node.now += PAUSE_MS;
    node.feed(Event::Resumed { paused_ms: PAUSE_MS });
    out.iter().for_each(|id| drop(node.end(*id, 0, PAUSE_MS, Ending::Served)));
    for id in 200..230 {
        assert!(!refused(&node.request(id, 0, 800.0)), "request {id}");
        node.end(id, 0, 20.0, Ending::Served);
    }
}

/// Guards against servers that are taken out since the client's time ran out while the node stood still.
#[test]
fn a_time_that_runs_out_in_a_pause_is_no_failure_of_the_server() {
    let ends = |resumed: bool| {
        let (mut node, out) = with_attempts_out();
        node.now += PAUSE_MS;
        if resumed {
            node.feed(Event::Resumed { paused_ms: PAUSE_MS });
        }
        out.iter().for_each(|id| drop(node.end(*id, 0, PAUSE_MS, Ending::TimedOut)));
        node.balancer.ejected_count(node.now)
    };
    assert_eq!((ends(true), ends(false)), (0, 1));
}
