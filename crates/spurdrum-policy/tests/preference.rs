//! Requests that prefer a server: how far counts, health, drains and cold starts go before a preference.

mod common;
use common::*;

use spurdrum_policy::*;

fn prefers(node: &mut Node, id: u64, server: usize) -> usize {
    let request =
        Request { preferred_server: Some(ServerId(server)), ..Request::new(RequestId(id), 0, 80_000.0) };
    send_of(&node.feed(Event::Request(request))).expect("sent")
}

fn patient() -> Settings {
    Settings::new(vec![Class::new(40_000.0, 80_000.0, Effect::Safe)])
}

/// One request after the other, each answered at once with this count.
fn served_in_turn(node: &mut Node, server: usize, held: f64) -> usize {
    let mut at_home = 0;
    for id in 0..50 {
        let to = prefers(node, id, server);
        at_home += usize::from(to == server);
        node.now += 10.0;
        node.report(id, 0, 10.0, Ending::Served, Some(if to == server { held } else { 0.0 }));
    }
    at_home
}

#[test]
fn a_preferred_server_has_its_requests_while_its_count_is_near_the_lowest() {
    let mut node = Node::new(patient(), 1);
    node.servers(ready(0..5));
    assert_eq!(served_in_turn(&mut node, 3, 0.0), 50);
    // Its count is 1 where the others' are 0: just twice the lowest, each counted with the request itself.
    assert!(served_in_turn(&mut node, 3, 1.0) >= 45);
}

#[test]
fn a_preference_does_not_overload_its_server() {
    for (slack, most) in [(1.0, 1.0), (2.0, 3.0), (3.0, 5.0)] {
        let mut node = Node::new(Settings { preference_slack: slack, ..patient() }, 2);
        node.servers(ready(0..4));
        // All are told of at first, so that counts are true.
        let mut out = [0_u32; 4];
        for id in 0..40 {
            let to = prefers(&mut node, id, 2);
            out[to] += 1;
            let others = out.iter().enumerate().filter(|(at, _)| *at != 2).map(|(_, n)| *n);
            let lowest = f64::from(others.min().unwrap_or(0));
            assert!(f64::from(out[2]) <= slack * (lowest + 1.0), "{slack}: {out:?}");
        }
        assert!(f64::from(out[2]) <= most * 10.0, "{slack}: {out:?}");
    }
}

#[test]
fn nothing_prefers_a_server_that_drains_is_gone_or_has_been_taken_out() {
    let mut node = Node::new(patient(), 3);
    node.servers(ready(0..3));
    assert_eq!(prefers(&mut node, 1, 0), 0);
    node.feed(Event::Servers(ListUpdate::Changes(vec![
        ServerEntry::new(ServerId(0), Availability::Draining),
        ServerEntry::new(ServerId(1), Availability::Gone),
    ])));
    for id in 2..20 {
        assert_eq!(prefers(&mut node, id, (id % 2) as usize), 2);
    }
    assert_eq!(prefers(&mut node, 20, 77), 2, "one that was never there");
    node.servers(ready(0..3));
    for id in 30..34 {
        let to = prefers(&mut node, id, 0);
        node.end(id, 0, 1.0, if to == 0 { Ending::Error } else { Ending::Served });
    }
    assert_ne!(prefers(&mut node, 40, 0), 0, "three failures in a row take it out");
}

#[test]
fn a_further_attempt_leaves_the_preferred_server() {
    let mut node = Node::new(patient(), 4);
    node.servers(ready(0..3));
    assert_eq!(prefers(&mut node, 1, 1), 1);
    let next = node.end(1, 0, 1.0, Ending::Unreachable);
    assert!(send_of(&next).is_some_and(|to| to != 1), "{next:?}");
}

#[test]
fn a_repeat_that_may_have_run_stays_in_its_group_whatever_it_prefers() {
    let effect = Effect::Keyed { group: Group::Cell, window_ms: 60_000.0 };
    for seed in 0..20 {
        let mut node = Node::new(Settings::new(vec![Class::new(40_000.0, 80_000.0, effect)]), seed);
        let entry = |at| ServerEntry { cell: at / 2, ..ServerEntry::new(ServerId(at), Availability::Ready) };
        node.servers((0..4).map(entry).collect());
        let first = prefers(&mut node, 1, 1);
        let next = node.end(1, 0, 1.0, Ending::Reset);
        assert_eq!(first, 1);
        assert_eq!(send_of(&next), Some(0), "the other server of its cell: {next:?}");
    }
}

#[test]
fn a_cold_server_is_not_sent_more_for_being_preferred() {
    // Of 40 nodes each meets 3 of 10 servers: here is what one of them sends to a cold one in its slice, or beyond.
    let share = |started_at, server| {
        let mut settings = patient();
        (settings.nodes, settings.node_index) = (40, 7);
        (settings.slow_start_ms, settings.slow_start_min_capacity, settings.collapse_multiple) =
            (10_000.0, 0.3, 2.0);
        let mut sent = 0;
        for seed in 0..100 {
            let mut node = Node::new(settings.clone(), seed);
            let entry = |at| ServerEntry {
                started_at: (at == server).then_some(started_at),
                ..ServerEntry::new(ServerId(at), Availability::Ready)
            };
            node.servers((0..10).map(entry).collect());
            for id in 0..20 {
                sent += usize::from(prefers(&mut node, id, server) == server);
                node.now += 1.0;
                node.report(id, 0, 1.0, Ending::Served, Some(0.0));
            }
        }
        sent as f64 / 2_000.0
    };
    let (warm, fresh): (Vec<f64>, Vec<f64>) = (0..10).map(|at| (share(-1e9, at), share(900.0, at))).unzip();
    assert!(warm.iter().all(|share| *share > 0.95), "a preference holds beyond the slice: {warm:?}");
    // Its part of one node: half of twice its capacity of 0.37 at most, over the three that a slice has.
    assert!(fresh.iter().all(|share| *share < 0.17), "{fresh:?}");
    assert_eq!(fresh.iter().filter(|share| **share == 0.0).count(), 7, "beyond the slice nothing: {fresh:?}");
}
