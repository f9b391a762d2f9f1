//! Bindings while servers drain, disappear, return and restart, and bindings in a full table.

mod common;
use common::*;

use spurdrum_affinity::*;
use spurdrum_policy::{Availability, ServerId};

#[test]
fn a_key_goes_back_to_the_server_that_served_it() {
    let mut fleet = Fleet::new(Settings::default(), 3);
    for n in 0..30 {
        fleet.record_served(n, n as usize % 3);
    }
    for n in 0..30 {
        assert_eq!(fleet.preferred_server(n), Some(ServerId(n as usize % 3)));
    }
    assert_eq!(fleet.preferred_server(99), None);
}

#[test]
fn a_drain_drops_bindings_at_once_and_for_good() {
    let mut fleet = Fleet::new(Settings::default(), 2);
    (0..10).for_each(|n| fleet.record_served(n, 0));
    fleet.set(0, Availability::Draining);
    assert!((0..10).all(|n| fleet.preferred_server(n).is_none()));
    assert_eq!((fleet.affinity.len(), fleet.affinity.counters().dropped), (0, 10));
    fleet.record_served(3, 0);
    assert_eq!(fleet.affinity.len(), 0, "a late answer binds no key to a draining server");
    fleet.set(0, Availability::Ready);
    assert_eq!(fleet.preferred_server(3), None);
}

#[test]
fn a_server_that_was_off_the_list_for_a_moment_gets_its_keys_back_if_it_is_the_same_process() {
    let mut fleet = Fleet::new(Settings::default(), 2);
    (0..10).for_each(|n| fleet.record_served(n, 0));
    fleet.set(0, Availability::Gone);
    assert!((0..10).all(|n| fleet.preferred_server(n).is_none()), "an absent server is not preferred");
    fleet.record_served(4, 1);
    fleet.now += 900.0;
    fleet.set(0, Availability::Ready);
    assert_eq!(fleet.preferred_server(3), Some(ServerId(0)));
    assert_eq!(fleet.preferred_server(4), Some(ServerId(1)), "the key was bound to another server meanwhile");
    // A new process of the server does not get the bindings of the previous one.
    fleet.set(0, Availability::Gone);
    fleet.starts[0] = Some(fleet.now);
    fleet.set(0, Availability::Ready);
    assert_eq!(fleet.preferred_server(3), None);
    // Bindings to a server that stays away for longer than the return timeout are dropped.
    fleet.set(1, Availability::Gone);
    fleet.now += 10_001.0;
    fleet.affinity.tick(fleet.now);
    assert_eq!(fleet.affinity.len(), 0);
}

#[test]
fn a_complete_list_drops_the_servers_that_are_not_on_it() {
    let mut fleet = Fleet::new(Settings { return_timeout_ms: 0.0, ..Settings::default() }, 3);
    (0..3).for_each(|n| fleet.record_served(n, n as usize));
    let listed = fleet.listed(1, Availability::Ready);
    fleet.affinity.apply_list(fleet.now, true, vec![listed]);
    assert_eq!([0, 1, 2].map(|n| fleet.preferred_server(n)), [None, Some(ServerId(1)), None]);
    assert_eq!(fleet.affinity.len(), 1);
}

#[test]
fn a_key_moves_after_it_was_served_elsewhere_several_times_in_a_row() {
    let mut fleet = Fleet::new(Settings::default(), 2);
    fleet.record_served(1, 0);
    fleet.now += 2_000.0;
    for _ in 0..50 {
        // Two requests in a row served elsewhere, then one by the bound server: the key stays.
        (0..2).for_each(|_| fleet.record_served(1, 1));
        fleet.record_served(1, 0);
    }
    assert_eq!((fleet.preferred_server(1), fleet.affinity.counters().rebound), (Some(ServerId(0)), 0));
    (0..3).for_each(|_| fleet.record_served(1, 1));
    assert_eq!(fleet.preferred_server(1), Some(ServerId(1)));
    // A key that has just moved does not move back before the minimum age: it must not swing.
    (0..20).for_each(|_| fleet.record_served(1, 0));
    assert_eq!((fleet.preferred_server(1), fleet.affinity.counters().rebound), (Some(ServerId(1)), 1));
    fleet.now += 1_000.0;
    fleet.record_served(1, 0);
    assert_eq!((fleet.preferred_server(1), fleet.affinity.counters().rebound), (Some(ServerId(0)), 2));
}

#[test]
fn bindings_expire_when_idle_and_when_too_old() {
    let settings = Settings { idle_timeout_ms: 1_000.0, max_age_ms: 5_000.0, ..Settings::default() };
    let mut fleet = Fleet::new(settings, 1);
    fleet.record_served(1, 0);
    fleet.record_served(2, 0);
    for _ in 0..7 {
        fleet.now += 700.0;
        assert_eq!(fleet.preferred_server(1), Some(ServerId(0)));
    }
    assert_eq!((fleet.preferred_server(2), fleet.affinity.len()), (None, 1));
    fleet.now += 700.0;
    assert_eq!(fleet.preferred_server(1), None, "a binding that is too old expires however often it is used");
    assert_eq!(fleet.affinity.counters().expired, 2);
}

#[test]
fn one_noisy_owner_does_not_evict_the_keys_of_others() {
    let settings = Settings { max_bindings: 1_000, ..Settings::default() };
    let mut fleet = Fleet::new(settings, 4);
    // Twenty owners with ten keys each, and one that requests a million keys.
    for n in 0..200 {
        fleet.owner = n % 20;
        fleet.record_served(n, n as usize % 4);
    }
    fleet.owner = 99;
    for n in 1_000..1_001_000 {
        fleet.preferred_server(n);
        fleet.record_served(n, n as usize % 4);
    }
    assert!(fleet.affinity.len() <= 1_000);
    assert_eq!(fleet.affinity.owner_bindings(99), 800);
    for n in 0..200 {
        fleet.owner = n % 20;
        assert_eq!(fleet.preferred_server(n), Some(ServerId(n as usize % 4)), "owner {}", n % 20);
    }
    // A new owner gets slots at once, at the expense of the owner that holds the most.
    for n in 300..400 {
        fleet.owner = 50;
        fleet.record_served(n, 0);
    }
    assert_eq!((fleet.affinity.owner_bindings(50), fleet.affinity.owner_bindings(99)), (100, 700));
}

#[test]
fn keys_requested_once_do_not_evict_keys_requested_repeatedly() {
    let hits = |scan: u64| {
        let mut fleet = Fleet::new(Settings { max_bindings: 512, ..Settings::default() }, 4);
        let (mut hits, mut scanned) = (0, 1_000_000);
        for round in 0..200 {
            for key in 0..400 {
                hits += usize::from(fleet.preferred_server(key).is_some() && round >= 100);
                fleet.record_served(key, key as usize % 4);
                for _ in 0..scan {
                    scanned += 1;
                    fleet.preferred_server(scanned);
                    fleet.record_served(scanned, 0);
                }
            }
        }
        hits as f64 / 40_000.0
    };
    // If the least recently used key were always evicted, no key would be found: all slots would be replaced
    // between two uses of a key.
    let found = [hits(0), hits(1), hits(4)];
    assert!(found[0] == 1.0 && found[1] > 0.9 && found[2] > 0.8, "{found:?}");
}

#[test]
fn nodes_that_share_no_state_choose_the_same_server_by_the_ring() {
    let settings =
        Settings { initial_placement: InitialPlacement::Ring, slow_start_ms: 5_000.0, ..Settings::default() };
    let mut nodes = [Fleet::new(settings.clone(), 10), Fleet::new(settings, 10)];
    // The secrets of the nodes differ; the names of the servers do not.
    nodes[1].hasher = KeyHasher::new([9; 16]);
    for n in 0..500 {
        let [one, other] = [nodes[0].preferred_server(n), nodes[1].preferred_server(n)];
        assert!(one.is_some() && one == other);
    }
    // A new server gets no keys by the ring during its slow start.
    nodes[0].starts[4] = Some(nodes[0].now);
    nodes[0].set(4, Availability::Ready);
    assert!((0..500).all(|n| nodes[0].preferred_server(n) != Some(ServerId(4))));
    nodes[0].now += 5_000.0;
    assert!((0..500).any(|n| nodes[0].preferred_server(n) == Some(ServerId(4))));
}

#[test]
fn losing_all_servers_and_their_return_leaves_no_stale_state() {
    let mut fleet = Fleet::new(Settings { max_bindings: 4_096, ..Settings::default() }, 2_000);
    for round in 0..5 {
        (0..4_000).for_each(|n| fleet.record_served(n, n as usize % 2_000));
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
fn a_list_that_arrives_while_the_store_is_read_drops_no_bindings() {
    let mut old = Fleet::new(Settings::default(), 2);
    old.record_served(1, 0);
    let writes = old.affinity.take_writes(10);
    let mut next = Fleet::new(Settings::default(), 0);
    next.starts = vec![None; 2];
    for write in writes {
        match write {
            record::PendingWrite::Run(number, Some((id, started_at))) => {
                next.affinity.restore_run(next.now, number, &id, started_at);
                // Only the other server is listed so far, twice.
                next.set(1, Availability::Ready);
                next.set(1, Availability::Ready);
            }
            record::PendingWrite::Slot(slot, Some(stored)) => {
                next.affinity.restore_binding(next.now, slot, &stored)
            }
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(next.preferred_server(1), None);
    next.set(0, Availability::Ready);
    assert_eq!(next.preferred_server(1), Some(ServerId(0)));
}

#[test]
fn bindings_written_while_the_clock_was_ahead_expire_nevertheless() {
    let settings = Settings { idle_timeout_ms: 1_000.0, ..Settings::default() };
    let mut fleet = Fleet::new(settings, 1);
    let ahead = fleet.now + 1e9;
    fleet.affinity.restore_run(fleet.now, 1, "s0", 0.0);
    let key = fleet.key(1).hash;
    let stored = record::StoredBinding { key, owner: 0, run_number: 1, used_at: ahead, bound_at: ahead };
    fleet.affinity.restore_binding(fleet.now, 3, &stored);
    assert_eq!(fleet.affinity.len(), 1);
    fleet.now += 1_001.0;
    fleet.affinity.tick(fleet.now);
    assert_eq!(fleet.affinity.len(), 0);
}
