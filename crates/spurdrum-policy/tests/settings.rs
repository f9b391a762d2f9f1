//! Reloads of the settings while requests are pending, and state that a new balancer imports from another
//! one.

mod common;
use common::*;

use proptest::prelude::*;
use spurdrum_policy::*;

const KEYED: Effect = Effect::Keyed { group: Group::All, window_ms: 60_000.0 };

/// Returns a reload event. `previous`: the index of each class before the reload.
fn reload(classes: Vec<Class>, max_attempts: usize, previous: Vec<Option<usize>>) -> Event {
    let settings = Settings { max_attempts, ..Settings::new(classes) };
    Event::Reload(Box::new(NewSettings { settings, classes: previous, tenants: Vec::new() }))
}

fn class(effect: Effect) -> Class {
    Class::new(400.0, 800.0, effect)
}

#[test]
fn a_pending_request_keeps_its_effect_when_its_class_gets_another() {
    for (old, new_effect, retried) in
        [(Effect::Unsafe, Effect::Safe, false), (Effect::Safe, Effect::Unsafe, true)]
    {
        let mut node = Node::new(one_class(old), 1);
        node.servers(ready(0..3));
        node.sent_to(1);
        node.feed(reload(vec![class(new_effect)], 3, vec![None]));
        let actions = node.end(1, 0, 5.0, Ending::Error);
        assert_eq!(send_of(&actions).is_some(), retried, "{old:?} -> {new_effect:?}");
        // A request that comes now has the new rules.
        node.sent_to(2);
        let actions = node.end(2, 0, 5.0, Ending::Error);
        assert_eq!(send_of(&actions).is_some(), !retried);
    }
}

#[test]
fn a_pending_request_keeps_its_number_of_attempts() {
    let mut node = Node::new(one_class(Effect::Safe), 1);
    node.servers(ready(0..4));
    node.sent_to(1);
    node.feed(reload(vec![class(Effect::Safe)], 1, vec![Some(0)]));
    assert!(send_of(&node.end(1, 0, 5.0, Ending::Full)).is_some());
    assert!(send_of(&node.end(1, 1, 5.0, Ending::Full)).is_some());
    assert!(refused(&node.end(1, 2, 5.0, Ending::Full)));
    node.sent_to(2);
    assert!(refused(&node.end(2, 0, 5.0, Ending::Full)), "a new request has one attempt");
}

#[test]
fn a_request_whose_class_is_removed_goes_on() {
    let mut node = Node::new(Settings::new(vec![class(KEYED), class(Effect::Safe)]), 1);
    node.servers(ready(0..3));
    node.sent_to(1);
    node.feed(reload(vec![class(Effect::Safe)], 3, vec![Some(1)]));
    assert!(send_of(&node.end(1, 0, 5.0, Ending::Reset)).is_some());
    node.end(1, 1, 5.0, Ending::Served);
    // The class indexes have moved: class 1 no longer exists.
    assert!(failed(&node.request(2, 1, 800.0)));
    assert!(send_of(&node.request(3, 0, 800.0)).is_some());
}

#[test]
fn ejections_and_counts_survive_a_reload() {
    let mut node = Node::new(one_class(Effect::Safe), 1);
    node.servers(ready(0..2));
    // Three failures in a row eject the server.
    let mut id = 0;
    while node.balancer.ejected_count(node.now) == 0 {
        id += 1;
        let to = node.sent_to(id);
        let ending = if to == 0 { Ending::Unreachable } else { Ending::Served };
        let retry = node.end(id, 0, 5.0, ending);
        if let Some(1) = send_of(&retry) {
            node.end(id, 1, 5.0, Ending::Served);
        }
        assert!(id < 100);
    }
    node.feed(reload(vec![class(Effect::Safe), class(KEYED)], 3, vec![Some(0), None]));
    assert_eq!(node.balancer.ejected_count(node.now), 1);
    for id in 101..110 {
        assert_eq!(node.sent_to(id), 1, "the ejected server stays ejected");
        node.end(id, 0, 5.0, Ending::Served);
    }
}

#[test]
fn a_used_up_quota_stays_used_up_when_its_tenant_gets_a_new_index() {
    let with_quotas = |quotas: Vec<f64>| {
        let mut settings = Settings { over_quota_value: 0.01, ..one_class(Effect::Safe) };
        settings.quotas_per_s = quotas;
        settings
    };
    // Requests are answered at once, so that only the quota decides which are admitted.
    let send = |node: &mut Node, id: u64, tenant: usize| {
        let request = Request { tenant, ..Request::new(RequestId(id), 0, 800.0) };
        let sent = send_of(&node.feed(Event::Request(request))).is_some();
        if sent {
            node.end(id, 0, 100.0, Ending::Served);
        }
        sent
    };
    let admitted = |node: &mut Node, from: u64, tenant: usize| {
        (from..from + 40).filter(|id| send(node, *id, tenant)).count()
    };
    let mut node = Node::new(with_quotas(vec![5.0, 5.0]), 1);
    node.servers(ready(0..1));
    // Enough answers to base refusals on, and slow enough that requests beyond a quota are refused.
    for id in 1000..1040 {
        node.now += 1_000.0;
        assert!(send(&mut node, id, 1));
    }
    let first = admitted(&mut node, 1, 0);
    let new_settings = NewSettings {
        settings: with_quotas(vec![5.0, 5.0]),
        classes: vec![Some(0)],
        tenants: vec![Some(1), Some(0)],
    };
    node.feed(Event::Reload(Box::new(new_settings)));
    assert_eq!((first, admitted(&mut node, 100, 1)), (5, 0));
    assert_eq!(admitted(&mut node, 200, 0), 4, "the other tenant has just used one of its own");
}

#[test]
fn invalid_settings_change_nothing() {
    let mut node = Node::new(one_class(Effect::Safe), 1);
    node.servers(ready(0..2));
    for invalid in [vec![], vec![Class::new(400.0, f64::NAN, KEYED)], vec![Class::new(400.0, -1.0, KEYED)]] {
        node.feed(reload(invalid, 3, vec![None]));
        assert!(send_of(&node.request(1, 0, 800.0)).is_some());
        node.end(1, 0, 5.0, Ending::Served);
    }
}

/// A balancer that replaces another one continues with its state: ejected servers stay ejected, counts order
/// the servers, and a quota cannot be used twice.
#[test]
fn learned_state_is_imported_by_the_next_balancer() {
    let settings = || {
        let mut settings = Settings { over_quota_value: 0.01, ..one_class(Effect::Safe) };
        settings.quotas_per_s = vec![5.0, 5.0];
        settings
    };
    let mut old = Node::new(settings(), 1);
    old.servers(ready(0..3));
    let mut id = 0;
    while old.balancer.ejected_count(old.now) == 0 {
        id += 1;
        old.now += 1_000.0;
        let (mut to, mut attempt) = (old.sent_to(id), 0);
        while to == 0 {
            let retry = old.report(id, attempt, 5.0, Ending::Error, Some(0.0));
            attempt += 1;
            match send_of(&retry) {
                Some(next) => to = next,
                None => break,
            }
        }
        if to != 0 {
            // Server 1 has by far the highest count.
            old.report(id, attempt, 100.0, Ending::Served, Some(if to == 1 { 50.0 } else { 1.0 }));
        }
        assert!(id < 200);
    }
    while old
        .balancer
        .export_learned()
        .servers
        .iter()
        .any(|s| s.server.0 != 0 && s.count.is_none_or(|c| c < 1.0))
    {
        id += 1;
        let to = old.sent_to(id);
        old.report(id, 0, 100.0, Ending::Served, Some(if to == 1 { 50.0 } else { 1.0 }));
        assert!(id < 400);
    }
    let learned = old.balancer.export_learned();
    assert_eq!(learned.servers.iter().filter(|s| s.ejected_until.is_some()).count(), 1);
    let mut new = Node::new(settings(), 2);
    new.now = old.now;
    new.servers(ready(0..3));
    new.feed(Event::ImportLearnedState(Box::new(learned.clone())));
    assert_eq!(new.balancer.export_learned(), learned, "the state is imported unchanged");
    assert_eq!(new.balancer.ejected_count(new.now), 1);
    for id in 1..3 {
        let actions = new.request(id, 0, 800.0);
        assert!(send_of(&actions).is_none_or(|to| to == 2), "the lowest count gets the request: {actions:?}");
    }
    // A balancer without that state spreads the requests.
    let mut fresh = Node::new(settings(), 2);
    fresh.servers(ready(0..3));
    assert!((1..3).any(|id| fresh.sent_to(id) != 2));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    /// For any sequence of requests, failures and reloads: an unsafe request that may have run is never sent
    /// again, no request is sent more often than the settings at its arrival allow, and each has at most one
    /// final answer.
    #[test]
    fn every_request_keeps_the_rules_it_arrived_under(
        steps in prop::collection::vec((0_u8..6, 0_usize..3, 1_usize..4, 0_usize..3), 1..120),
    ) {
        let effects = [Effect::Safe, KEYED, Effect::Unsafe];
        let mut classes: Vec<Effect> = vec![Effect::Safe, Effect::Unsafe];
        let mut max_attempts = 3;
        let mut node = Node::new(Settings::new(classes.iter().map(|e| class(*e)).collect()), 7);
        node.servers(ready(0..5));
        // Of each request: its effect, its maximum of attempts, the attempts so far, whether it may have run,
        // final answers.
        let mut requests: Vec<(Effect, usize, usize, bool, usize)> = Vec::new();
        for (step, which, attempts, pick) in steps {
            node.now += 7.0;
            let (id, actions) = match step {
                0 => {
                    let mut previous: Vec<Option<usize>> = (0..classes.len()).map(Some).collect();
                    if which < classes.len() && classes.len() > 1 {
                        classes.remove(which);
                        previous.remove(which);
                    }
                    classes.insert(0, effects[pick]);
                    previous.insert(0, None);
                    max_attempts = attempts;
                    let all = classes.iter().map(|e| class(*e)).collect();
                    (0, node.feed(reload(all, max_attempts, previous)))
                }
                1 | 2 => {
                    let at = which % classes.len();
                    requests.push((classes[at], max_attempts, 0, false, 0));
                    (requests.len(), node.request(requests.len() as u64, at, 5_000.0))
                }
                _ => {
                    let open = requests.iter().enumerate().filter(|(_, r)| r.2 > 0 && r.4 == 0);
                    let open: Vec<usize> = open.map(|(i, _)| i).collect();
                    let Some(i) = open.get(which).copied() else { continue };
                    let ending = [Ending::Error, Ending::Full, Ending::Served][pick];
                    requests[i].3 |= ending != Ending::Full;
                    requests[i].4 += usize::from(ending == Ending::Served);
                    (i + 1, node.end(i as u64 + 1, requests[i].2 - 1, 5.0, ending))
                }
            };
            for action in actions {
                match action {
                    Action::Send { request, .. } => {
                        prop_assert_eq!(request.0 as usize, id);
                        let r = &mut requests[id - 1];
                        prop_assert!(!(r.3 && r.0 == Effect::Unsafe), "an unsafe request was sent again");
                        r.2 += 1;
                        prop_assert!(r.2 <= r.1, "{} attempts of {}", r.2, r.1);
                    }
                    Action::Refuse { request, .. } | Action::Fail { request } => {
                        requests[request.0 as usize - 1].4 += 1;
                    }
                    _ => {}
                }
            }
            prop_assert!(requests.iter().all(|r| r.4 <= 1));
        }
    }
}
