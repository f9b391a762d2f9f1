//! The properties of HSQ one by one, and the selection and probing of servers around it.

mod common;
use common::*;

use spurdrum_policy::*;

/// Settings with a latency objective so long that nothing is refused.
fn patient() -> Settings {
    Settings::new(vec![Class::new(40_000.0, 80_000.0, Effect::Safe)])
}

/// Each of the first requests goes to a server that has had none yet, as every attempt of the node raises a
/// count by one.
#[test]
fn own_attempts_raise_the_count() {
    let mut node = Node::new(patient(), 1);
    node.servers(ready(0..5));
    for round in 0..3 {
        let mut seen: Vec<usize> = (0..5).map(|i| node.sent_to(round * 5 + i)).collect();
        seen.sort_unstable();
        assert_eq!(seen, [0, 1, 2, 3, 4], "round {round}");
    }
}

#[test]
fn ties_are_broken_at_random() {
    let mut first = [0; 4];
    for seed in 0..400 {
        let mut node = Node::new(patient(), seed);
        node.servers(ready(0..4));
        first[node.sent_to(1)] += 1;
    }
    assert!(first.iter().all(|n| (60..140).contains(n)), "{first:?}");
}

#[test]
fn the_same_seed_and_events_give_the_same_actions() {
    let run = || {
        let mut node = Node::new(patient(), 9);
        node.servers(ready(0..7));
        (0..20).map(|id| node.sent_to(id)).collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}

/// Returns a node that has had the same latency from all servers, so that it estimates them alike.
fn warmed_up(servers: usize, settings: Settings) -> Node {
    let mut node = Node::new(settings, 3);
    node.servers(ready(0..servers));
    for id in 10_000..10_000 + 20 * servers as u64 {
        node.now += 10.0;
        node.sent_to(id);
        node.now += 40.0;
        node.report(id, 0, 40.0, Ending::Served, Some(0.0));
    }
    node.now += 5_000.0;
    node
}

#[test]
fn a_report_overwrites_only_its_own_servers_count() {
    let mut node = warmed_up(3, patient());
    // Each server gets one attempt; their answers report different loads.
    let server_of: Vec<usize> = (0..3).map(|id| node.sent_to(id)).collect();
    for (id, in_flight) in [(0, 9.0), (1, 2.0), (2, 9.0)] {
        node.now += 40.0;
        node.report(id, 0, 40.0, Ending::Served, Some(in_flight));
    }
    // The second count is now 7 below the others: it gets the next requests, as long as its wait is not too
    // long.
    assert_eq!(node.sent_to(100), server_of[1]);
    assert_eq!(node.sent_to(101), server_of[1]);
}

#[test]
fn completions_do_not_lower_a_count() {
    let mut node = warmed_up(2, patient());
    let first = node.sent_to(1);
    node.now += 40.0;
    node.end(1, 0, 40.0, Ending::Served);
    // Without a report the answered attempt still counts, so the other server is next.
    assert_ne!(node.sent_to(2), first);
}

#[test]
fn failures_do_not_lower_a_count() {
    for ending in [Ending::Error, Ending::Full, Ending::Unreachable, Ending::Reset] {
        let mut settings = patient();
        settings.max_attempts = 1;
        let mut node = warmed_up(2, settings);
        let first = node.sent_to(1);
        node.now += 40.0;
        node.end(1, 0, 40.0, ending);
        assert_ne!(node.sent_to(2), first, "{ending:?} lowered the count");
    }
}

/// Sends answers whose reports change with every second answer, so that the usual interval between new
/// reports is known.
fn teach_report_interval(node: &mut Node) {
    let mut answers = [0; 2];
    for id in 500..560 {
        let server = node.sent_to(id);
        answers[server] += 1;
        node.now += 100.0;
        node.report(id, 0, 40.0, Ending::Served, Some((1 + answers[server] / 2 % 2) as f64));
    }
}

/// Several answers can carry the same load report. A repeated report must not overwrite the count as a new
/// one would.
#[test]
fn a_repeated_report_does_not_erase_own_attempts() {
    let mut node = warmed_up(2, patient());
    teach_report_interval(&mut node);
    // One answer from each server, both with a new report of the same load: the counts are equal and nothing
    // is in flight.
    let mut open = [None; 2];
    for id in 1..100 {
        match &mut open[node.sent_to(id)] {
            first @ None => *first = Some(id),
            Some(_) => drop(node.end(id, 0, 80.0, Ending::Served)),
        }
    }
    node.now += 10_000.0;
    for id in open {
        node.report(id.expect("both were sent to"), 0, 40.0, Ending::Served, Some(5.0));
    }
    let servers: Vec<usize> = (100..102).map(|id| node.sent_to(id)).collect();
    assert_ne!(servers[0], servers[1]);
    // One repeats its report of 5 at once. If that were taken as new, the attempt sent since would not count,
    // and the server would get the next two.
    let repeating = servers[0];
    node.now += 1.0;
    node.report(100, 0, 40.0, Ending::Served, Some(5.0));
    let next: Vec<usize> = (200..202).map(|id| node.sent_to(id)).collect();
    assert!(next != [repeating, repeating], "the repeated report erased an own attempt");
}

/// An idle server's report stays the same. After the usual interval such a report counts as new nevertheless.
#[test]
fn an_unchanged_report_counts_as_new_after_the_usual_interval() {
    let mut node = warmed_up(2, patient());
    teach_report_interval(&mut node);
    let mut open = [Vec::new(), Vec::new()];
    for id in 1..13 {
        open[node.sent_to(id)].push(id);
    }
    node.now += 10_000.0;
    // Every answer takes 40 ms for each request at its server, so that the node estimates both servers alike.
    for (ids, reported) in open.iter().zip([0.0, 6.0]) {
        for (id, in_flight) in ids.iter().zip(1..) {
            let report = (in_flight == ids.len()).then_some(reported);
            node.report(*id, 0, 40.0 * in_flight as f64, Ending::Served, report);
        }
    }
    for id in 20..24 {
        assert_eq!(node.sent_to(id), 0, "request {id}");
        node.end(id, 0, 40.0, Ending::Served);
    }
    node.now += 10_000.0;
    node.sent_to(30);
    node.report(30, 0, 40.0, Ending::Served, Some(0.0));
    for id in 40..44 {
        assert_eq!(node.sent_to(id), 0, "the second report of 0 did not count as new");
        node.end(id, 0, 40.0, Ending::Served);
    }
}

#[test]
fn a_server_without_a_report_starts_at_the_mean_of_the_others() {
    let mut node = warmed_up(2, patient());
    let server_of: Vec<usize> = (0..2).map(|id| node.sent_to(id)).collect();
    node.now += 40.0;
    node.report(0, 0, 40.0, Ending::Served, Some(1.0));
    node.report(1, 0, 40.0, Ending::Served, Some(9.0));
    node.servers(ready(0..3));
    // The counts are 1, 9 and, for the new server, their mean 5: the lowest gets four requests, as none stays
    // in flight.
    for id in 100..104 {
        assert_eq!(node.sent_to(id), server_of[0], "the new server was taken for idle");
        node.end(id, 0, 40.0, Ending::Served);
    }
}

#[test]
fn equal_servers_are_ranked_by_count_alone() {
    let mut node = warmed_up(4, patient());
    let mut seen: Vec<usize> = (0..4).map(|id| node.sent_to(id)).collect();
    seen.sort_unstable();
    assert_eq!(seen, [0, 1, 2, 3]);
}

/// Servers of different speed must not get the same traffic: a slower one gets less.
#[test]
fn a_slower_server_is_sent_less() {
    let mut node = Node::new(patient(), 5);
    node.servers(ready(0..2));
    let mut sent = [0; 2];
    for id in 0..300 {
        let server = node.sent_to(id);
        sent[server] += 1;
        let elapsed = if server == 0 { 30.0 } else { 90.0 };
        node.now += elapsed;
        node.report(id, 0, elapsed, Ending::Served, Some(if id % 2 == 0 { 1.0 } else { 2.0 }));
    }
    assert!(sent[0] > sent[1] * 3 / 2, "{sent:?}");
}

/// Incident ie11f3d: every node opened connections to every server, more than the servers accept. With
/// hundreds of nodes, each uses a subset, and the subsets cover the servers evenly.
#[test]
fn subsets_of_many_nodes_cover_the_fleet_evenly() {
    let mut nodes_of = [0; 60];
    for node_index in 0..300 {
        let mut settings = patient();
        (settings.nodes, settings.node_index) = (300, node_index);
        let mut node = Node::new(settings, node_index as u64);
        node.servers(ready(0..60));
        let mut subset: Vec<usize> = (0..40).map(|id| node.sent_to(id)).collect();
        subset.sort_unstable();
        subset.dedup();
        assert!(subset.len() <= 6, "{subset:?}");
        subset.into_iter().for_each(|server| nodes_of[server] += 1);
    }
    assert!(nodes_of.iter().all(|n| (10..=20).contains(n)), "{nodes_of:?}");
}

/// Settings under which only probes return load reports.
fn probing() -> Settings {
    let mut settings = one_class(Effect::Safe);
    (settings.probes, settings.responses_carry_load) = (true, false);
    settings
}

fn probes_of(actions: &[Action]) -> Vec<usize> {
    let probe = |a: &Action| if let Action::Probe { server } = a { Some(server.0) } else { None };
    actions.iter().filter_map(probe).collect()
}

/// Answers a probe with a load report.
fn answer_probe(node: &mut Node, server: usize, in_flight: f64) -> Vec<Action> {
    let report = Some(LoadReport { in_flight: Some(in_flight), queued: None });
    node.feed(Event::Probed { server: ServerId(server), ending: Ending::Served, report })
}

/// Incident i5292a8: where only probes return load reports, no count was ever refreshed and all servers
/// filled up. A few servers are probed first, and the one with the lowest count gets the request.
#[test]
fn where_only_probes_report_servers_are_probed_before_an_attempt() {
    let mut node = Node::new(probing(), 1);
    node.servers(ready(0..8));
    let probed = probes_of(&node.request(1, 0, 800.0));
    assert_eq!(probed.len(), 3, "{probed:?}");
    for (server, in_flight) in probed.iter().zip([3.0, 1.0]) {
        assert_eq!(
            send_of(&answer_probe(&mut node, *server, in_flight)),
            None,
            "the other answers are missing"
        );
    }
    assert_eq!(send_of(&answer_probe(&mut node, probed[2], 4.0)), Some(probed[1]));
}

/// Scenario herd+vast: at a price of 8 points for a probe per request, one probe before each attempt cost 11
/// points, and a fifth of the requests were refused because no probe was answered in time. Responses carry
/// load reports there.
#[test]
fn many_nodes_do_not_probe_before_each_attempt_where_probes_are_expensive() {
    for (price, responses_carry_load, probes) in
        [(0.08, true, 0), (0.004, true, 2), (0.0, true, 3), (0.08, false, 1)]
    {
        let mut settings = probing();
        (settings.nodes, settings.probe_price, settings.responses_carry_load) =
            (100, price, responses_carry_load);
        let mut node = Node::new(settings, 1);
        node.servers(ready(0..60));
        let actions = node.request(1, 0, 800.0);
        assert_eq!(probes_of(&actions).len(), probes, "price {price}, in responses {responses_carry_load}");
        assert_eq!(send_of(&actions).is_some(), probes == 0);
    }
}

/// A server that does not answer its probe must not delay the request: the answers of the others decide.
#[test]
fn an_unanswered_probe_does_not_delay_a_request() {
    let mut node = Node::new(probing(), 1);
    node.servers(ready(0..8));
    let actions = node.request(1, 0, 800.0);
    let probed = probes_of(&actions);
    let timer = |actions: &[Action]| match actions[..] {
        [.., Action::SetTimer { timer, after_ms }] => (timer, after_ms),
        _ => panic!("no timer: {actions:?}"),
    };
    assert!(timer(&actions).1 <= 80.0);
    let (due, after_ms) = timer(&answer_probe(&mut node, probed[2], 1.0));
    assert_eq!(after_ms, 0.0, "servers that answer late are busy");
    assert_eq!(send_of(&node.feed(Event::Timer(due))), Some(probed[2]));
    assert!(node.feed(Event::Timer(due)).is_empty(), "sent once");
    // If no probe is answered, all servers are too busy and the request is refused.
    let (due, _) = timer(&node.request(2, 0, 800.0));
    assert!(refused(&node.feed(Event::Timer(due))));
}

/// Incident i3dd8ec: servers whose last count was low were probed again and again though they were silent,
/// while others idled. A probe raises the count like an attempt until a report comes.
#[test]
fn silent_servers_are_not_probed_again_and_again() {
    let mut settings = probing();
    settings.probe_price = 0.01;
    let mut node = Node::new(settings, 1);
    node.servers(ready(0..6));
    let mut probes = [0; 6];
    for id in 0..60 {
        let actions = node.request(id, 0, 800.0);
        let server = probes_of(&actions)[0];
        probes[server] += 1;
        // Servers 0 and 1 were idle at first and have been silent since; the others have a few requests.
        if id < 12 || server > 1 {
            answer_probe(&mut node, server, if server > 1 { 3.0 } else { 0.0 });
        } else {
            let Action::SetTimer { timer, .. } = actions[actions.len() - 1] else { panic!("{actions:?}") };
            node.now += 80.0;
            node.feed(Event::Timer(timer));
        }
        node.end(id, 0, 40.0, Ending::Served);
    }
    assert!(probes[0] + probes[1] <= 20, "probes, of the silent two first: {probes:?}");
}

/// Generated run h422b7a: probing by old counts alone crowds the server whose count was low. The servers to
/// probe are drawn at random, those with a low count more often.
#[test]
fn the_server_to_probe_is_drawn_with_jitter_on_old_counts() {
    let mut first = [0; 2];
    for seed in 0..200 {
        let mut settings = probing();
        settings.probe_price = 0.01;
        let mut node = Node::new(settings, seed);
        node.servers(ready(0..2));
        for (server, in_flight) in [(0, 2.0), (1, 3.0)] {
            answer_probe(&mut node, server, in_flight);
        }
        first[probes_of(&node.request(1, 0, 800.0))[0]] += 1;
    }
    assert!(first[0] > first[1] && first[1] > 20, "{first:?}");
}

/// The request of a client that leaves while servers are probed is not sent.
#[test]
fn a_request_whose_client_left_is_not_sent() {
    let mut node = Node::new(probing(), 1);
    node.servers(ready(0..8));
    let probed = probes_of(&node.request(1, 0, 800.0));
    node.feed(Event::ClientGone(RequestId(1)));
    for server in probed {
        assert!(answer_probe(&mut node, server, 0.0).is_empty());
    }
}

#[test]
fn the_policy_keeps_its_size() {
    let text = include_str!("../src/rules.rs");
    let lines = text.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(lines <= 1_200, "{lines} lines");
    let widest = text.lines().map(|l| l.chars().count()).max().expect("lines");
    assert!(widest <= 110, "a line of {widest} characters");
}

/// Servers of the own zone get all requests until the wait at the best of them is too long; then servers of
/// other zones are used, too.
#[test]
fn servers_of_the_own_zone_come_first_until_their_wait_is_too_long() {
    let mut settings = patient();
    settings.zone = 1;
    let mut node = Node::new(settings, 4);
    let mut entries = ready(0..4);
    entries[2].zone = 1;
    entries[3].zone = 1;
    node.servers(entries);
    let sent: Vec<usize> = (0..4).map(|id| node.sent_to(id)).collect();
    assert!(sent.iter().all(|server| *server >= 2), "at most twice the wait of another zone: {sent:?}");
    let sent: Vec<usize> = (4..8).map(|id| node.sent_to(id)).collect();
    assert!(sent.iter().any(|server| *server < 2), "then other zones: {sent:?}");
}

/// If no server of the own zone is healthy, other zones are used.
#[test]
fn failing_servers_of_the_own_zone_are_avoided_for_other_zones() {
    let mut settings = patient();
    settings.zone = 1;
    let mut node = Node::new(settings, 4);
    let mut entries = ready(0..3);
    entries[2].zone = 1;
    node.servers(entries);
    for id in 0..3 {
        assert_eq!(node.sent_to(id), 2);
        node.now += 1.0;
        let retry = node.end(id, 0, 1.0, Ending::Unreachable);
        assert!(send_of(&retry).is_some_and(|server| server < 2), "{retry:?}");
        node.end(id, 1, 20.0, Ending::Served);
    }
    assert!(node.sent_to(3) < 2);
}
