//! Requests that prefer a server, and how counts, health, draining and slow start take precedence over the
//! preference.

mod common;
use common::*;

use spurdrum_policy::*;

/// Feeds a request that prefers a server and returns the server that it is sent to.
fn send_preferring(node: &mut Node, id: u64, server: usize) -> usize {
    let request =
        Request { preferred_server: Some(ServerId(server)), ..Request::new(RequestId(id), 0, 80_000.0) };
    send_of(&node.feed(Event::Request(request))).expect("sent")
}

/// Settings with a latency objective so long that nothing is refused.
fn patient() -> Settings {
    Settings::new(vec![Class::new(40_000.0, 80_000.0, Effect::Safe)])
}

/// Sends requests that prefer a server one after the other, each answered at once. The server reports
/// `in_flight`, the others 0. Returns how many went to the server.
fn served_in_turn(node: &mut Node, server: usize, in_flight: f64) -> usize {
    let mut at_preferred = 0;
    for id in 0..50 {
        let to = send_preferring(node, id, server);
        at_preferred += usize::from(to == server);
        node.now += 10.0;
        node.report(id, 0, 10.0, Ending::Served, Some(if to == server { in_flight } else { 0.0 }));
    }
    at_preferred
}

#[test]
fn a_preferred_server_gets_its_requests_while_its_count_is_near_the_lowest() {
    let mut node = Node::new(patient(), 1);
    node.servers(ready(0..5));
    assert_eq!(served_in_turn(&mut node, 3, 0.0), 50);
    // Its count is 1 and the others' are 0: with the request itself, just twice the lowest.
    assert!(served_in_turn(&mut node, 3, 1.0) >= 45);
}

#[test]
fn a_preference_does_not_overload_its_server() {
    for (slack, max_share) in [(1.0, 1.0), (2.0, 3.0), (3.0, 5.0)] {
        let mut node = Node::new(Settings { preference_slack: slack, ..patient() }, 2);
        node.servers(ready(0..4));
        // No attempt ends, so that the counts are exact.
        let mut in_flight = [0_u32; 4];
        for id in 0..40 {
            let to = send_preferring(&mut node, id, 2);
            in_flight[to] += 1;
            let others = in_flight.iter().enumerate().filter(|(server, _)| *server != 2).map(|(_, n)| *n);
            let lowest = f64::from(others.min().unwrap_or(0));
            assert!(f64::from(in_flight[2]) <= slack * (lowest + 1.0), "{slack}: {in_flight:?}");
        }
        assert!(f64::from(in_flight[2]) <= max_share * 10.0, "{slack}: {in_flight:?}");
    }
}

#[test]
fn a_server_that_is_draining_gone_or_ejected_gets_no_preference() {
    let mut node = Node::new(patient(), 3);
    node.servers(ready(0..3));
    assert_eq!(send_preferring(&mut node, 1, 0), 0);
    node.feed(Event::Servers(ListUpdate::Changes(vec![
        ServerEntry::new(ServerId(0), Availability::Draining),
        ServerEntry::new(ServerId(1), Availability::Gone),
    ])));
    for id in 2..20 {
        assert_eq!(send_preferring(&mut node, id, (id % 2) as usize), 2);
    }
    assert_eq!(send_preferring(&mut node, 20, 77), 2, "a server that was never listed");
    node.servers(ready(0..3));
    for id in 30..34 {
        let to = send_preferring(&mut node, id, 0);
        node.end(id, 0, 1.0, if to == 0 { Ending::Error } else { Ending::Served });
    }
    assert_ne!(send_preferring(&mut node, 40, 0), 0, "three failures in a row eject the server");
}

#[test]
fn a_retry_avoids_the_preferred_server() {
    let mut node = Node::new(patient(), 4);
    node.servers(ready(0..3));
    assert_eq!(send_preferring(&mut node, 1, 1), 1);
    let next = node.end(1, 0, 1.0, Ending::Unreachable);
    assert!(send_of(&next).is_some_and(|to| to != 1), "{next:?}");
}

#[test]
fn a_retry_of_what_may_have_run_stays_in_its_group_whatever_it_prefers() {
    let effect = Effect::Keyed { group: Group::Cell, window_ms: 60_000.0 };
    for seed in 0..20 {
        let mut node = Node::new(Settings::new(vec![Class::new(40_000.0, 80_000.0, effect)]), seed);
        let entry = |n| ServerEntry { cell: n / 2, ..ServerEntry::new(ServerId(n), Availability::Ready) };
        node.servers((0..4).map(entry).collect());
        let first = send_preferring(&mut node, 1, 1);
        let next = node.end(1, 0, 1.0, Ending::Reset);
        assert_eq!(first, 1);
        assert_eq!(send_of(&next), Some(0), "the other server of its cell: {next:?}");
    }
}

#[test]
fn a_server_in_slow_start_gets_no_more_for_being_preferred() {
    // 40 nodes have subsets of 3 of 10 servers. `share` is the fraction of requests that one node sends to
    // the server that they prefer, which started at `started_at` and may be in the node's subset or not.
    let share = |started_at, server| {
        let mut settings = patient();
        (settings.nodes, settings.node_index) = (40, 7);
        (settings.slow_start_ms, settings.slow_start_min_capacity, settings.collapse_multiple) =
            (10_000.0, 0.3, 2.0);
        let mut sent = 0;
        for seed in 0..100 {
            let mut node = Node::new(settings.clone(), seed);
            let entry = |n| ServerEntry {
                started_at: (n == server).then_some(started_at),
                ..ServerEntry::new(ServerId(n), Availability::Ready)
            };
            node.servers((0..10).map(entry).collect());
            for id in 0..20 {
                sent += usize::from(send_preferring(&mut node, id, server) == server);
                node.now += 1.0;
                node.report(id, 0, 1.0, Ending::Served, Some(0.0));
            }
        }
        sent as f64 / 2_000.0
    };
    let (warm, slow_start): (Vec<f64>, Vec<f64>) =
        (0..10).map(|server| (share(-1e9, server), share(900.0, server))).unzip();
    assert!(warm.iter().all(|share| *share > 0.95), "a preference also holds outside the subset: {warm:?}");
    // One node's part: at most half of twice the server's capacity of 0.37, divided by the subset size of
    // three.
    assert!(slow_start.iter().all(|share| *share < 0.17), "{slow_start:?}");
    assert_eq!(
        slow_start.iter().filter(|share| **share == 0.0).count(),
        7,
        "nothing outside the subset: {slow_start:?}"
    );
}
