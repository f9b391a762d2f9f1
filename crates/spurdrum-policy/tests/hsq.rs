//! The claims of HSQ one by one, and what guards its ordinary path.

mod common;
use common::*;

use spurdrum_policy::*;

/// Settings whose aim is so far off that nothing is refused.
fn patient() -> Settings {
    Settings::new(vec![Class::new(40_000.0, 80_000.0, Effect::Safe)])
}

/// Each of the first sends goes to a server that has had none yet: every own send counts one.
#[test]
fn own_sends_raise_the_count() {
    let mut node = Node::new(patient(), 1);
    node.servers(ready(0..5));
    for round in 0..3 {
        let mut seen: Vec<usize> = (0..5).map(|i| node.sent_to(round * 5 + i)).collect();
        seen.sort_unstable();
        assert_eq!(seen, [0, 1, 2, 3, 4], "round {round}");
    }
}

#[test]
fn ties_are_drawn_afresh() {
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

/// Answers all alike, so that every server is learned to be of one size.
fn warmed(servers: usize, settings: Settings) -> Node {
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
fn a_fresh_report_overwrites_its_own_count_alone() {
    let mut node = warmed(3, patient());
    // One attempt is put on each server; server by server its answer reports another load.
    let at: Vec<usize> = (0..3).map(|id| node.sent_to(id)).collect();
    for (id, held) in [(0, 9.0), (1, 2.0), (2, 9.0)] {
        node.now += 40.0;
        node.report(id, 0, 40.0, Ending::Served, Some(held));
    }
    // The second now stands 7 under the others: it gets the next sends, as far as it is not backed up.
    assert_eq!(node.sent_to(100), at[1]);
    assert_eq!(node.sent_to(101), at[1]);
}

#[test]
fn completions_do_not_lower_a_count() {
    let mut node = warmed(2, patient());
    let first = node.sent_to(1);
    node.now += 40.0;
    node.end(1, 0, 40.0, Ending::Served);
    // Without a report the answered send still counts, so the other server is next.
    assert_ne!(node.sent_to(2), first);
}

#[test]
fn failures_leave_the_counts_alone() {
    for ending in [Ending::Error, Ending::Full, Ending::Unreachable, Ending::Reset] {
        let mut settings = patient();
        settings.max_attempts = 1;
        let mut node = warmed(2, settings);
        let first = node.sent_to(1);
        node.now += 40.0;
        node.end(1, 0, 40.0, ending);
        assert_ne!(node.sent_to(2), first, "{ending:?} gave the send back");
    }
}

/// Readings of both servers that change with every second answer teach the usual interval.
fn teach_interval(node: &mut Node) {
    let mut answers = [0; 2];
    for id in 500..560 {
        let at = node.sent_to(id);
        answers[at] += 1;
        node.now += 100.0;
        node.report(id, 0, 40.0, Ending::Served, Some((1 + answers[at] / 2 % 2) as f64));
    }
}

/// Guards against answers that repeat one reading of the report: a repeat is no news.
#[test]
fn a_repeated_reading_does_not_erase_own_sends() {
    let mut node = warmed(2, patient());
    teach_interval(&mut node);
    // One answer from each, both of them news and alike: the counts are even and nothing is out.
    let mut out = [None; 2];
    for id in 1..100 {
        match &mut out[node.sent_to(id)] {
            first @ None => *first = Some(id),
            Some(_) => drop(node.end(id, 0, 80.0, Ending::Served)),
        }
    }
    node.now += 10_000.0;
    for id in out {
        node.report(id.expect("both were sent to"), 0, 40.0, Ending::Served, Some(5.0));
    }
    let sends: Vec<usize> = (100..102).map(|id| node.sent_to(id)).collect();
    assert_ne!(sends[0], sends[1]);
    // One repeats its 5 at once; were that taken for news, its own send would be forgotten and it
    // would get the next two.
    let repeating = sends[0];
    node.now += 1.0;
    node.report(100, 0, 40.0, Ending::Served, Some(5.0));
    let next: Vec<usize> = (200..202).map(|id| node.sent_to(id)).collect();
    assert!(next != [repeating, repeating], "the repeat erased an own send");
}

/// An idle server's report stays the same: past the usual interval it is fresh all the same.
#[test]
fn an_old_reading_repeated_late_is_fresh() {
    let mut node = warmed(2, patient());
    teach_interval(&mut node);
    let mut out = [Vec::new(), Vec::new()];
    for id in 1..13 {
        out[node.sent_to(id)].push(id);
    }
    node.now += 10_000.0;
    // Every answer takes 40 ms for each request its server held, so that both stay of one size.
    for (ids, reading) in out.iter().zip([0.0, 6.0]) {
        for (id, held) in ids.iter().zip(1..) {
            let report = (held == ids.len()).then_some(reading);
            node.report(*id, 0, 40.0 * held as f64, Ending::Served, report);
        }
    }
    for id in 20..24 {
        assert_eq!(node.sent_to(id), 0, "send {id}");
        node.end(id, 0, 40.0, Ending::Served);
    }
    node.now += 10_000.0;
    node.sent_to(30);
    node.report(30, 0, 40.0, Ending::Served, Some(0.0));
    for id in 40..44 {
        assert_eq!(node.sent_to(id), 0, "the second 0 was no news");
        node.end(id, 0, 40.0, Ending::Served);
    }
}

#[test]
fn a_server_without_a_report_starts_at_the_mean_of_the_others() {
    let mut node = warmed(2, patient());
    let at: Vec<usize> = (0..2).map(|id| node.sent_to(id)).collect();
    node.now += 40.0;
    node.report(0, 0, 40.0, Ending::Served, Some(1.0));
    node.report(1, 0, 40.0, Ending::Served, Some(9.0));
    node.servers(ready(0..3));
    // Counts are 1, 9 and, new, their mean 5: the low one first, four times, as nothing backs up.
    for id in 100..104 {
        assert_eq!(node.sent_to(id), at[0], "the new server was taken for idle");
        node.end(id, 0, 40.0, Ending::Served);
    }
}

#[test]
fn equal_servers_are_ranked_by_count_alone() {
    let mut node = warmed(4, patient());
    let mut seen: Vec<usize> = (0..4).map(|id| node.sent_to(id)).collect();
    seen.sort_unstable();
    assert_eq!(seen, [0, 1, 2, 3]);
}

/// Guards against sending alike to unlike servers: a slower one gets less.
#[test]
fn a_slower_server_is_sent_less() {
    let mut node = Node::new(patient(), 5);
    node.servers(ready(0..2));
    let mut sent = [0; 2];
    for id in 0..300 {
        let at = node.sent_to(id);
        sent[at] += 1;
        let elapsed = if at == 0 { 30.0 } else { 90.0 };
        node.now += elapsed;
        node.report(id, 0, elapsed, Ending::Served, Some(if id % 2 == 0 { 1.0 } else { 2.0 }));
    }
    assert!(sent[0] > sent[1] * 3 / 2, "{sent:?}");
}

/// Incident ie11f3d: every node opened connections to every server, more than they accept. Hundreds of nodes
/// keep to slices that spread evenly over the fleet.
#[test]
fn slices_of_many_nodes_cover_the_fleet_evenly() {
    let mut nodes_of = [0; 60];
    for me in 0..300 {
        let mut settings = patient();
        (settings.nodes, settings.node_index) = (300, me);
        let mut node = Node::new(settings, me as u64);
        node.servers(ready(0..60));
        let mut slice: Vec<usize> = (0..40).map(|id| node.sent_to(id)).collect();
        slice.sort_unstable();
        slice.dedup();
        assert!(slice.len() <= 6, "{slice:?}");
        slice.into_iter().for_each(|at| nodes_of[at] += 1);
    }
    assert!(nodes_of.iter().all(|n| (10..=20).contains(n)), "{nodes_of:?}");
}

fn asking() -> Settings {
    let mut settings = one_class(Effect::Safe);
    (settings.probes, settings.responses_carry_load) = (true, false);
    settings
}

fn probes_of(actions: &[Action]) -> Vec<usize> {
    let probe = |a: &Action| if let Action::Probe { server } = a { Some(server.0) } else { None };
    actions.iter().filter_map(probe).collect()
}

fn answer(node: &mut Node, server: usize, held: f64) -> Vec<Action> {
    let report = Some(LoadReport { in_flight: Some(held), queued: None });
    node.feed(Event::Probed { server: ServerId(server), ending: Ending::Served, report })
}

/// Incident i5292a8: where reports come by probe only, no count was ever refreshed and all servers filled up.
/// A few are asked first, and the lowest fresh count is sent to.
#[test]
fn where_only_probes_report_servers_are_asked_before_a_send() {
    let mut node = Node::new(asking(), 1);
    node.servers(ready(0..8));
    let asked = probes_of(&node.request(1, 0, 800.0));
    assert_eq!(asked.len(), 3, "{asked:?}");
    for (server, held) in asked.iter().zip([3.0, 1.0]) {
        assert_eq!(send_of(&answer(&mut node, *server, held)), None, "the others are still to come");
    }
    assert_eq!(send_of(&answer(&mut node, asked[2], 4.0)), Some(asked[1]));
}

/// Size day herd+vast: at 8 points a probe for each request, one probe before each send cost 11 points, and a fifth of the
/// requests were refused because no answer to it came in time. Answers carry reports there.
#[test]
fn many_nodes_do_not_ask_before_each_send_where_that_is_dear() {
    for (price, answers_report, asked) in
        [(0.08, true, 0), (0.004, true, 2), (0.0, true, 3), (0.08, false, 1)]
    {
        let mut settings = asking();
        (settings.nodes, settings.probe_price, settings.responses_carry_load) = (100, price, answers_report);
        let mut node = Node::new(settings, 1);
        node.servers(ready(0..60));
        let actions = node.request(1, 0, 800.0);
        assert_eq!(probes_of(&actions).len(), asked, "price {price}, in answers {answers_report}");
        assert_eq!(send_of(&actions).is_some(), asked == 0);
    }
}

/// A server that is asked and says nothing must not hold the request: those that answered decide.
#[test]
fn a_silent_probe_does_not_hold_a_request() {
    let mut node = Node::new(asking(), 1);
    node.servers(ready(0..8));
    let actions = node.request(1, 0, 800.0);
    let asked = probes_of(&actions);
    let timer = |actions: &[Action]| match actions[..] {
        [.., Action::SetTimer { timer, after_ms }] => (timer, after_ms),
        _ => panic!("no timer: {actions:?}"),
    };
    assert!(timer(&actions).1 <= 80.0);
    let (due, after_ms) = timer(&answer(&mut node, asked[2], 1.0));
    assert_eq!(after_ms, 0.0, "late ones are busy");
    assert_eq!(send_of(&node.feed(Event::Timer(due))), Some(asked[2]));
    assert!(node.feed(Event::Timer(due)).is_empty(), "sent once");
    // Where nobody answers all are too busy, and none is sent to unseen.
    let (due, _) = timer(&node.request(2, 0, 800.0));
    assert!(refused(&node.feed(Event::Timer(due))));
}

/// Incident i3dd8ec: servers whose last count was low were asked again and again though they were silent, while
/// others idled. An ask counts like a send until a report comes.
#[test]
fn silent_servers_are_not_asked_again_and_again() {
    let mut settings = asking();
    settings.probe_price = 0.01;
    let mut node = Node::new(settings, 1);
    node.servers(ready(0..6));
    let mut asked = [0; 6];
    for id in 0..60 {
        let actions = node.request(id, 0, 800.0);
        let server = probes_of(&actions)[0];
        asked[server] += 1;
        // Servers 0 and 1 were idle once and have been silent since; the others hold a few.
        if id < 12 || server > 1 {
            answer(&mut node, server, if server > 1 { 3.0 } else { 0.0 });
        } else {
            let Action::SetTimer { timer, .. } = actions[actions.len() - 1] else { panic!("{actions:?}") };
            node.now += 80.0;
            node.feed(Event::Timer(timer));
        }
        node.end(id, 0, 40.0, Ending::Served);
    }
    assert!(asked[0] + asked[1] <= 20, "the silent two were asked {asked:?}");
}

/// Hunted day h422b7a: asking by old counts alone crowds the one that was low. Whom to ask is drawn, low more often.
#[test]
fn whom_to_ask_is_drawn_among_old_counts() {
    let mut first = [0; 2];
    for seed in 0..200 {
        let mut settings = asking();
        settings.probe_price = 0.01;
        let mut node = Node::new(settings, seed);
        node.servers(ready(0..2));
        for (server, held) in [(0, 2.0), (1, 3.0)] {
            answer(&mut node, server, held);
        }
        first[probes_of(&node.request(1, 0, 800.0))[0]] += 1;
    }
    assert!(first[0] > first[1] && first[1] > 20, "{first:?}");
}

/// A client that leaves while servers are asked takes its request with it.
#[test]
fn a_request_whose_client_left_is_not_sent() {
    let mut node = Node::new(asking(), 1);
    node.servers(ready(0..8));
    let asked = probes_of(&node.request(1, 0, 800.0));
    node.feed(Event::ClientGone(RequestId(1)));
    for server in asked {
        assert!(answer(&mut node, server, 0.0).is_empty());
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

/// Near servers take what comes until the best of them is backed up; then the far ones are counted too.
#[test]
fn near_servers_come_first_while_not_backed_up() {
    let mut settings = patient();
    settings.zone = 1;
    let mut node = Node::new(settings, 4);
    let mut entries = ready(0..4);
    entries[2].zone = 1;
    entries[3].zone = 1;
    node.servers(entries);
    let sent: Vec<usize> = (0..4).map(|id| node.sent_to(id)).collect();
    assert!(sent.iter().all(|at| *at >= 2), "no more than twice what a far one would take: {sent:?}");
    let sent: Vec<usize> = (4..8).map(|id| node.sent_to(id)).collect();
    assert!(sent.iter().any(|at| *at < 2), "then the far ones: {sent:?}");
}

/// A zone of which nothing is healthy is left, however near.
#[test]
fn near_servers_that_fail_are_left_for_far_ones() {
    let mut settings = patient();
    settings.zone = 1;
    let mut node = Node::new(settings, 4);
    let mut entries = ready(0..3);
    entries[2].zone = 1;
    node.servers(entries);
    for id in 0..3 {
        assert_eq!(node.sent_to(id), 2);
        node.now += 1.0;
        let further = node.end(id, 0, 1.0, Ending::Unreachable);
        assert!(send_of(&further).is_some_and(|at| at < 2), "{further:?}");
        node.end(id, 1, 20.0, Ending::Served);
    }
    assert!(node.sent_to(3) < 2);
}
