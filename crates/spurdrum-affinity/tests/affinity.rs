//! What becomes of keys while servers drain, vanish, return and start anew, and of a table that is full.

mod common;
use common::*;

use spurdrum_affinity::*;
use spurdrum_policy::{Availability, ServerId};

#[test]
fn a_key_goes_back_to_who_served_it() {
    let mut fleet = Fleet::new(Settings::default(), 3);
    for n in 0..30 {
        fleet.served(n, n as usize % 3);
    }
    for n in 0..30 {
        assert_eq!(fleet.preferred_server(n), Some(ServerId(n as usize % 3)));
    }
    assert_eq!(fleet.preferred_server(99), None);
}

#[test]
fn a_drain_drops_what_was_bound_at_once_and_for_good() {
    let mut fleet = Fleet::new(Settings::default(), 2);
    (0..10).for_each(|n| fleet.served(n, 0));
    fleet.set(0, Availability::Draining);
    assert!((0..10).all(|n| fleet.preferred_server(n).is_none()));
    assert_eq!((fleet.affinity.len(), fleet.affinity.counters().dropped), (0, 10));
    fleet.served(3, 0);
    assert_eq!(fleet.affinity.len(), 0, "an answer that comes late binds nothing to it");
    fleet.set(0, Availability::Ready);
    assert_eq!(fleet.preferred_server(3), None);
}

#[test]
fn a_server_that_the_list_lost_for_a_moment_has_its_keys_back_if_it_is_the_same() {
    let mut fleet = Fleet::new(Settings::default(), 2);
    (0..10).for_each(|n| fleet.served(n, 0));
    fleet.set(0, Availability::Gone);
    assert!((0..10).all(|n| fleet.preferred_server(n).is_none()), "nothing follows it meanwhile");
    fleet.served(4, 1);
    fleet.now += 900.0;
    fleet.set(0, Availability::Ready);
    assert_eq!(fleet.preferred_server(3), Some(ServerId(0)));
    assert_eq!(fleet.preferred_server(4), Some(ServerId(1)), "it was bound elsewhere meanwhile");
    // As a new process it has nothing of what it had.
    fleet.set(0, Availability::Gone);
    fleet.starts[0] = Some(fleet.now);
    fleet.set(0, Availability::Ready);
    assert_eq!(fleet.preferred_server(3), None);
    // And what is away for long is forgotten.
    fleet.set(1, Availability::Gone);
    fleet.now += 10_001.0;
    fleet.affinity.tick(fleet.now);
    assert_eq!(fleet.affinity.len(), 0);
}

#[test]
fn a_whole_list_loses_those_that_are_not_in_it() {
    let mut fleet = Fleet::new(Settings { return_timeout_ms: 0.0, ..Settings::default() }, 3);
    (0..3).for_each(|n| fleet.served(n, n as usize));
    let listed = fleet.listed(1, Availability::Ready);
    fleet.affinity.apply_list(fleet.now, true, vec![listed]);
    assert_eq!([0, 1, 2].map(|n| fleet.preferred_server(n)), [None, Some(ServerId(1)), None]);
    assert_eq!(fleet.affinity.len(), 1);
}

#[test]
fn a_key_moves_once_it_was_served_elsewhere_time_and_again() {
    let mut fleet = Fleet::new(Settings::default(), 2);
    fleet.served(1, 0);
    fleet.now += 2_000.0;
    for _ in 0..50 {
        // Slow for two requests, well for one: it stays.
        (0..2).for_each(|_| fleet.served(1, 1));
        fleet.served(1, 0);
    }
    assert_eq!((fleet.preferred_server(1), fleet.affinity.counters().rebound), (Some(ServerId(0)), 0));
    (0..3).for_each(|_| fleet.served(1, 1));
    assert_eq!(fleet.preferred_server(1), Some(ServerId(1)));
    // What has just moved settles first: it does not swing.
    (0..20).for_each(|_| fleet.served(1, 0));
    assert_eq!((fleet.preferred_server(1), fleet.affinity.counters().rebound), (Some(ServerId(1)), 1));
    fleet.now += 1_000.0;
    fleet.served(1, 0);
    assert_eq!((fleet.preferred_server(1), fleet.affinity.counters().rebound), (Some(ServerId(0)), 2));
}

#[test]
fn bindings_age_by_use_and_by_time() {
    let settings = Settings { idle_timeout_ms: 1_000.0, max_age_ms: 5_000.0, ..Settings::default() };
    let mut fleet = Fleet::new(settings, 1);
    fleet.served(1, 0);
    fleet.served(2, 0);
    for _ in 0..7 {
        fleet.now += 700.0;
        assert_eq!(fleet.preferred_server(1), Some(ServerId(0)));
    }
    assert_eq!((fleet.preferred_server(2), fleet.affinity.len()), (None, 1));
    fleet.now += 700.0;
    assert_eq!(fleet.preferred_server(1), None, "however much it is used");
    assert_eq!(fleet.affinity.counters().expired, 2);
}

#[test]
fn one_noisy_owner_does_not_push_out_the_others() {
    let settings = Settings { max_bindings: 1_000, ..Settings::default() };
    let mut fleet = Fleet::new(settings, 4);
    // Twenty inns with ten keys each, and one group that asks for a million.
    for n in 0..200 {
        fleet.owner = n % 20;
        fleet.served(n, n as usize % 4);
    }
    fleet.owner = 99;
    for n in 1_000..1_001_000 {
        fleet.preferred_server(n);
        fleet.served(n, n as usize % 4);
    }
    assert!(fleet.affinity.len() <= 1_000);
    assert_eq!(fleet.affinity.owner_bindings(99), 800);
    for n in 0..200 {
        fleet.owner = n % 20;
        assert_eq!(fleet.preferred_server(n), Some(ServerId(n as usize % 4)), "inn {}", n % 20);
    }
    // Whoever comes later has room at once, at the cost of who holds most.
    for n in 300..400 {
        fleet.owner = 50;
        fleet.served(n, 0);
    }
    assert_eq!((fleet.affinity.owner_bindings(50), fleet.affinity.owner_bindings(99)), (100, 700));
}

#[test]
fn keys_that_come_once_do_not_push_out_those_that_come_again() {
    let hits = |scan: u64| {
        let mut fleet = Fleet::new(Settings { max_bindings: 512, ..Settings::default() }, 4);
        let (mut hits, mut fresh) = (0, 1_000_000);
        for round in 0..200 {
            for key in 0..400 {
                hits += usize::from(fleet.preferred_server(key).is_some() && round >= 100);
                fleet.served(key, key as usize % 4);
                for _ in 0..scan {
                    fresh += 1;
                    fleet.preferred_server(fresh);
                    fleet.served(fresh, 0);
                }
            }
        }
        hits as f64 / 40_000.0
    };
    // By age alone the table would have turned over between two uses of a key: 0 of them would be found.
    let found = [hits(0), hits(1), hits(4)];
    assert!(found[0] == 1.0 && found[1] > 0.9 && found[2] > 0.8, "{found:?}");
}

#[test]
fn nodes_that_share_nothing_agree_on_a_key_by_the_ring() {
    let settings =
        Settings { initial_placement: InitialPlacement::Ring, slow_start_ms: 5_000.0, ..Settings::default() };
    let mut nodes = [Fleet::new(settings.clone(), 10), Fleet::new(settings, 10)];
    // Their secrets and numbers differ; names do not.
    nodes[1].keyer = KeyHasher::new([9; 16]);
    for n in 0..500 {
        let [one, other] = [nodes[0].preferred_server(n), nodes[1].preferred_server(n)];
        assert!(one.is_some() && one == other);
    }
    // A fresh server gets none by the ring until it is warm.
    nodes[0].starts[4] = Some(nodes[0].now);
    nodes[0].set(4, Availability::Ready);
    assert!((0..500).all(|n| nodes[0].preferred_server(n) != Some(ServerId(4))));
    nodes[0].now += 5_000.0;
    assert!((0..500).any(|n| nodes[0].preferred_server(n) == Some(ServerId(4))));
}

#[test]
fn losing_and_finding_lists_of_any_length_leaves_no_trace() {
    let mut fleet = Fleet::new(Settings { max_bindings: 4_096, ..Settings::default() }, 2_000);
    for round in 0..5 {
        (0..4_000).for_each(|n| fleet.served(n, n as usize % 2_000));
        assert_eq!(fleet.affinity.len(), 4_000);
        fleet.affinity.apply_list(fleet.now, true, Vec::new());
        assert!((0..100).all(|n| fleet.preferred_server(n).is_none()));
        fleet.now += 20_000.0;
        fleet.affinity.tick(fleet.now);
        assert_eq!(fleet.affinity.len(), 0, "{round}");
        fleet.list_all();
    }
    assert!(fleet.affinity.status().contains("to servers 2000,"), "{}", fleet.affinity.status());
}

#[test]
fn a_list_that_comes_while_an_earlier_life_is_read_loses_nothing() {
    let mut old = Fleet::new(Settings::default(), 2);
    old.served(1, 0);
    let writes = old.affinity.take_writes(10);
    let mut next = Fleet::new(Settings::default(), 0);
    next.starts = vec![None; 2];
    for write in writes {
        match write {
            record::PendingWrite::Run(number, Some((id, started_at))) => {
                next.affinity.restore_run(next.now, number, &id, started_at);
                // Only the other server is listed yet, and then listed again.
                next.set(1, Availability::Ready);
                next.set(1, Availability::Ready);
            }
            record::PendingWrite::Slot(at, Some(stored)) => {
                next.affinity.restore_binding(next.now, at, &stored)
            }
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(next.preferred_server(1), None);
    next.set(0, Availability::Ready);
    assert_eq!(next.preferred_server(1), Some(ServerId(0)));
}

#[test]
fn what_a_clock_that_was_ahead_wrote_ages_all_the_same() {
    let settings = Settings { idle_timeout_ms: 1_000.0, ..Settings::default() };
    let mut fleet = Fleet::new(settings, 1);
    let ahead = fleet.now + 1e9;
    fleet.affinity.restore_run(fleet.now, 1, "s0", 0.0);
    let key = fleet.ask(1).hash;
    let stored = record::StoredBinding { key, owner: 0, run_number: 1, used_at: ahead, bound_at: ahead };
    fleet.affinity.restore_binding(fleet.now, 3, &stored);
    assert_eq!(fleet.affinity.len(), 1);
    fleet.now += 1_001.0;
    fleet.affinity.tick(fleet.now);
    assert_eq!(fleet.affinity.len(), 0);
}
