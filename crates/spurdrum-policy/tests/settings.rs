//! Settings that change while requests are held.

mod common;
use common::*;

use proptest::prelude::*;
use spurdrum_policy::*;

const KEYED: Effect = Effect::Keyed { group: Group::All, window_ms: 60_000.0 };

fn new(classes: Vec<Class>, max_attempts: usize, of: Vec<Option<usize>>) -> Event {
    let settings = Settings { max_attempts, ..Settings::new(classes) };
    Event::Reload(Box::new(NewSettings { settings, classes: of, tenants: Vec::new() }))
}

fn class(effect: Effect) -> Class {
    Class::new(400.0, 800.0, effect)
}

#[test]
fn a_held_request_keeps_its_effect_when_its_class_gets_another() {
    for (old, new_effect, again) in
        [(Effect::Unsafe, Effect::Safe, false), (Effect::Safe, Effect::Unsafe, true)]
    {
        let mut node = Node::new(one_class(old), 1);
        node.servers(ready(0..3));
        node.sent_to(1);
        node.feed(new(vec![class(new_effect)], 3, vec![None]));
        let actions = node.end(1, 0, 5.0, Ending::Error);
        assert_eq!(send_of(&actions).is_some(), again, "{old:?} -> {new_effect:?}");
        // One that comes now has the new rules.
        node.sent_to(2);
        let actions = node.end(2, 0, 5.0, Ending::Error);
        assert_eq!(send_of(&actions).is_some(), !again);
    }
}

#[test]
fn a_held_request_keeps_its_number_of_attempts() {
    let mut node = Node::new(one_class(Effect::Safe), 1);
    node.servers(ready(0..4));
    node.sent_to(1);
    node.feed(new(vec![class(Effect::Safe)], 1, vec![Some(0)]));
    assert!(send_of(&node.end(1, 0, 5.0, Ending::Full)).is_some());
    assert!(send_of(&node.end(1, 1, 5.0, Ending::Full)).is_some());
    assert!(refused(&node.end(1, 2, 5.0, Ending::Full)));
    node.sent_to(2);
    assert!(refused(&node.end(2, 0, 5.0, Ending::Full)), "one attempt is all that there is now");
}

#[test]
fn a_request_whose_class_is_dropped_goes_on() {
    let mut node = Node::new(Settings::new(vec![class(KEYED), class(Effect::Safe)]), 1);
    node.servers(ready(0..3));
    node.sent_to(1);
    node.feed(new(vec![class(Effect::Safe)], 3, vec![Some(1)]));
    assert!(send_of(&node.end(1, 0, 5.0, Ending::Reset)).is_some());
    node.end(1, 1, 5.0, Ending::Served);
    // The place that it had is another's now, or nobody's.
    assert!(failed(&node.request(2, 1, 800.0)));
    assert!(send_of(&node.request(3, 0, 800.0)).is_some());
}

#[test]
fn ejections_and_counts_outlive_a_change() {
    let mut node = Node::new(one_class(Effect::Safe), 1);
    node.servers(ready(0..2));
    // Three failures in a row take the server out.
    let mut id = 0;
    while node.balancer.ejected_count(node.now) == 0 {
        id += 1;
        let to = node.sent_to(id);
        let ending = if to == 0 { Ending::Unreachable } else { Ending::Served };
        let after = node.end(id, 0, 5.0, ending);
        if let Some(1) = send_of(&after) {
            node.end(id, 1, 5.0, Ending::Served);
        }
        assert!(id < 100);
    }
    node.feed(new(vec![class(Effect::Safe), class(KEYED)], 3, vec![Some(0), None]));
    assert_eq!(node.balancer.ejected_count(node.now), 1);
    for id in 101..110 {
        assert_eq!(node.sent_to(id), 1, "the one that is out stays out");
        node.end(id, 0, 5.0, Ending::Served);
    }
}

#[test]
fn a_quota_that_is_used_up_stays_used_up_under_its_tenants_new_place() {
    let tenants = |quotas: Vec<f64>| {
        let mut settings = Settings { over_quota_value: 0.01, ..one_class(Effect::Safe) };
        settings.quotas_per_s = quotas;
        settings
    };
    // Sent and answered at once: only the quota tells what is taken.
    let ask = |node: &mut Node, id: u64, tenant: usize| {
        let request = Request { tenant, ..Request::new(RequestId(id), 0, 800.0) };
        let sent = send_of(&node.feed(Event::Request(request))).is_some();
        if sent {
            node.end(id, 0, 100.0, Ending::Served);
        }
        sent
    };
    let taken = |node: &mut Node, from: u64, tenant: usize| {
        (from..from + 40).filter(|id| ask(node, *id, tenant)).count()
    };
    let mut node = Node::new(tenants(vec![5.0, 5.0]), 1);
    node.servers(ready(0..1));
    // Enough answers to refuse by, slow enough that what is over a quota is not worth them.
    for id in 1000..1040 {
        node.now += 1_000.0;
        assert!(ask(&mut node, id, 1));
    }
    let first = taken(&mut node, 1, 0);
    let change = NewSettings {
        settings: tenants(vec![5.0, 5.0]),
        classes: vec![Some(0)],
        tenants: vec![Some(1), Some(0)],
    };
    node.feed(Event::Reload(Box::new(change)));
    assert_eq!((first, taken(&mut node, 100, 1)), (5, 0));
    assert_eq!(taken(&mut node, 200, 0), 4, "the other one has used one of its own at this moment");
}

#[test]
fn settings_that_make_no_sense_change_nothing() {
    let mut node = Node::new(one_class(Effect::Safe), 1);
    node.servers(ready(0..2));
    for unsound in [vec![], vec![Class::new(400.0, f64::NAN, KEYED)], vec![Class::new(400.0, -1.0, KEYED)]] {
        node.feed(new(unsound, 3, vec![None]));
        assert!(send_of(&node.request(1, 0, 800.0)).is_some());
        node.end(1, 0, 5.0, Ending::Served);
    }
}

/// A balancer that takes another's place goes on where that was: who is out stays out, counts order the servers, and a
/// quota is not had twice.
#[test]
fn what_was_learned_passes_to_the_next_balancer() {
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
            let after = old.report(id, attempt, 5.0, Ending::Error, Some(0.0));
            attempt += 1;
            match send_of(&after) {
                Some(next) => to = next,
                None => break,
            }
        }
        if to != 0 {
            // The second one has the higher count by far.
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
    assert_eq!(new.balancer.export_learned(), learned, "nothing is lost on the way");
    assert_eq!(new.balancer.ejected_count(new.now), 1);
    for id in 1..3 {
        let actions = new.request(id, 0, 800.0);
        assert!(send_of(&actions).is_none_or(|to| to == 2), "the lowest count gets it: {actions:?}");
    }
    // One that knows nothing spreads them.
    let mut ignorant = Node::new(settings(), 2);
    ignorant.servers(ready(0..3));
    assert!((1..3).any(|id| ignorant.sent_to(id) != 2));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    /// Any sequence of requests, failures and settings: an unsafe request that may have run is never sent again, none is sent
    /// more often than the settings allowed that it came under, and each has one final answer at the most.
    #[test]
    fn every_request_has_the_rules_it_came_under(
        steps in prop::collection::vec((0_u8..6, 0_usize..3, 1_usize..4, 0_usize..3), 1..120),
    ) {
        let effects = [Effect::Safe, KEYED, Effect::Unsafe];
        let mut classes: Vec<Effect> = vec![Effect::Safe, Effect::Unsafe];
        let mut most = 3;
        let mut node = Node::new(Settings::new(classes.iter().map(|e| class(*e)).collect()), 7);
        node.servers(ready(0..5));
        // Of each request: its effect, the attempts it may have, those it had, whether it may have run, answers.
        let mut held: Vec<(Effect, usize, usize, bool, usize)> = Vec::new();
        for (step, which, attempts, pick) in steps {
            node.now += 7.0;
            let (id, actions) = match step {
                0 => {
                    let mut of: Vec<Option<usize>> = (0..classes.len()).map(Some).collect();
                    if which < classes.len() && classes.len() > 1 {
                        classes.remove(which);
                        of.remove(which);
                    }
                    classes.insert(0, effects[pick]);
                    of.insert(0, None);
                    most = attempts;
                    let all = classes.iter().map(|e| class(*e)).collect();
                    (0, node.feed(new(all, most, of)))
                }
                1 | 2 => {
                    let at = which % classes.len();
                    held.push((classes[at], most, 0, false, 0));
                    (held.len(), node.request(held.len() as u64, at, 5_000.0))
                }
                _ => {
                    let open = held.iter().enumerate().filter(|(_, h)| h.2 > 0 && h.4 == 0);
                    let open: Vec<usize> = open.map(|(i, _)| i).collect();
                    let Some(i) = open.get(which).copied() else { continue };
                    let ending = [Ending::Error, Ending::Full, Ending::Served][pick];
                    held[i].3 |= ending != Ending::Full;
                    held[i].4 += usize::from(ending == Ending::Served);
                    (i + 1, node.end(i as u64 + 1, held[i].2 - 1, 5.0, ending))
                }
            };
            for action in actions {
                match action {
                    Action::Send { request, .. } => {
                        prop_assert_eq!(request.0 as usize, id);
                        let h = &mut held[id - 1];
                        prop_assert!(!(h.3 && h.0 == Effect::Unsafe), "unsafe, and sent again");
                        h.2 += 1;
                        prop_assert!(h.2 <= h.1, "{} attempts of {}", h.2, h.1);
                    }
                    Action::Refuse { request, .. } | Action::Fail { request } => {
                        held[request.0 as usize - 1].4 += 1;
                    }
                    _ => {}
                }
            }
            prop_assert!(held.iter().all(|h| h.4 <= 1));
        }
    }
}
