//! Properties of bindings, preferences and the stored state that hold for any sequence of events.

mod common;
use common::*;

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, RngSeed};
use spurdrum_affinity::record::{PendingWrite, StoredBinding};
use spurdrum_affinity::*;
use spurdrum_policy::{Availability, ServerId};

const SERVERS: usize = 6;
const MAX_BINDINGS: usize = 48;

#[derive(Clone, Debug)]
enum Step {
    /// A request of a key and an owner.
    Request(u64, u64),
    /// A request of a key and an owner, served by a server.
    Serve(u64, u64, usize),
    /// A change of a server's availability on the list.
    Set(usize, Availability),
    /// A restart of a server.
    Restart(usize),
    /// A complete list; bit n is set if server n is on it.
    CompleteList(u8),
    /// A wait of this many milliseconds.
    Wait(f64),
    /// A write of up to this many changes, and whether it succeeds.
    Flush(usize, bool),
}

fn step() -> impl Strategy<Value = Step> {
    let availability = prop_oneof![
        4 => Just(Availability::Ready),
        1 => Just(Availability::Draining),
        1 => Just(Availability::Gone)
    ];
    prop_oneof![
        8 => (0..80_u64, 0..4_u64).prop_map(|(key, owner)| Step::Request(key, owner)),
        16 => (0..80_u64, 0..4_u64, 0..SERVERS).prop_map(|(key, owner, server)| Step::Serve(key, owner, server)),
        3 => (0..SERVERS, availability).prop_map(|(server, availability)| Step::Set(server, availability)),
        1 => (0..SERVERS).prop_map(Step::Restart),
        1 => any::<u8>().prop_map(Step::CompleteList),
        2 => (0.0..3_000.0).prop_map(Step::Wait),
        3 => (1..40_usize, any::<bool>()).prop_map(|(max, succeeds)| Step::Flush(max, succeeds)),
    ]
}

fn settings() -> Settings {
    Settings {
        max_bindings: MAX_BINDINGS,
        idle_timeout_ms: 8_000.0,
        max_age_ms: 20_000.0,
        return_timeout_ms: 2_000.0,
        ..Settings::default()
    }
}

/// The content of a store.
#[derive(Clone, Default)]
struct Stored {
    runs: BTreeMap<u64, (String, f64)>,
    bindings: BTreeMap<u32, StoredBinding>,
}

impl Stored {
    fn write(&mut self, writes: &[PendingWrite]) {
        for write in writes {
            match write.clone() {
                PendingWrite::Run(number, Some(run)) => drop(self.runs.insert(number, run)),
                PendingWrite::Run(number, None) => drop(self.runs.remove(&number)),
                PendingWrite::Slot(slot, Some(stored)) => {
                    assert_eq!(StoredBinding::from_bytes(&stored.to_bytes()), Some(stored));
                    self.bindings.insert(slot, stored);
                }
                PendingWrite::Slot(slot, None) => drop(self.bindings.remove(&slot)),
            }
        }
    }

    fn restore_to(&self, affinity: &mut Affinity, now: f64) {
        for (number, (id, started_at)) in &self.runs {
            affinity.restore_run(now, *number, id, *started_at);
        }
        for (slot, stored) in &self.bindings {
            affinity.restore_binding(now, *slot, stored);
        }
    }
}

/// The table under test, the list of servers and the content of the store.
struct World {
    fleet: Fleet,
    listed: Vec<Availability>,
    stored: Stored,
}

impl World {
    fn play(&mut self, step: &Step) {
        let Self { fleet, listed, stored } = self;
        fleet.now += 1.0;
        match *step {
            Step::Request(key, owner) => {
                fleet.owner = owner;
                if let Some(server) = fleet.preferred_server(key) {
                    assert_eq!(
                        listed[server.0],
                        Availability::Ready,
                        "a server that is not ready is preferred"
                    );
                }
            }
            Step::Serve(key, owner, server) => {
                fleet.owner = owner;
                fleet.preferred_server(key);
                fleet.record_served(key, server);
            }
            Step::Set(server, availability) => {
                listed[server] = availability;
                fleet.set(server, availability);
            }
            Step::Restart(server) => {
                fleet.starts[server] = Some(fleet.now);
                listed[server] = Availability::Ready;
                fleet.set(server, Availability::Ready);
            }
            Step::CompleteList(servers) => {
                for (server, availability) in listed.iter_mut().enumerate() {
                    *availability =
                        if servers >> server & 1 == 1 { Availability::Ready } else { Availability::Gone };
                }
                let all = (0..SERVERS).filter(|server| listed[*server] == Availability::Ready);
                let all = all.map(|server| fleet.listed(server, Availability::Ready)).collect();
                fleet.affinity.apply_list(fleet.now, true, all);
            }
            Step::Wait(ms) => {
                fleet.now += ms;
                fleet.affinity.tick(fleet.now);
            }
            Step::Flush(max, succeeds) => {
                let writes = fleet.affinity.take_writes(max);
                if succeeds {
                    stored.write(&writes)
                } else {
                    fleet.affinity.requeue_writes(writes)
                }
            }
        }
        assert!(fleet.affinity.len() <= MAX_BINDINGS && fleet.affinity.unwritten() <= MAX_BINDINGS + 64);
        assert!(stored.bindings.len() <= MAX_BINDINGS, "the stored bindings are limited like the table");
    }

    fn preferences_of_all_keys(&mut self) -> Vec<Option<ServerId>> {
        (0..4 * 80)
            .map(|n| {
                self.fleet.owner = n % 4;
                self.fleet.preferred_server(n / 4)
            })
            .collect()
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(16),
        ..ProptestConfig::default()
    })]

    /// A process that restores the state of a previous one prefers the same servers, whether the list arrives
    /// before or after that.
    #[test]
    fn the_next_process_restores_what_was_written(
        steps in proptest::collection::vec(step(), 0..400),
        list_first in any::<bool>(),
        expires in any::<bool>(),
    ) {
        let listed = vec![Availability::Ready; SERVERS];
        let settings = if expires { settings() } else { Settings { idle_timeout_ms: 1e12, max_age_ms: 1e12, ..settings() } };
        let fleet = Fleet::new(settings.clone(), SERVERS);
        let mut world = World { fleet, listed, stored: Stored::default() };
        steps.iter().for_each(|step| world.play(step));
        while world.fleet.affinity.unwritten() > 0 {
            let writes = world.fleet.affinity.take_writes(7);
            world.stored.write(&writes);
        }
        let now = world.fleet.now;
        let mut next = Affinity::new(settings, now).expect("valid settings");
        let ready = (0..SERVERS).filter(|server| world.listed[*server] == Availability::Ready);
        let list: Vec<ListedServer> = ready.map(|server| world.fleet.listed(server, Availability::Ready)).collect();
        if list_first {
            next.apply_list(now, true, list.clone());
        }
        world.stored.restore_to(&mut next, now);
        if !list_first {
            next.apply_list(now, true, list);
        }
        // The next process has restored everything that is valid. The writes that it has queued itself do not
        // change that.
        let before = world.preferences_of_all_keys();
        let previous = std::mem::replace(&mut world.fleet.affinity, next);
        let after = world.preferences_of_all_keys();
        let state = format!("{before:?}\n{after:?}\n{} | {}", previous.status(), world.fleet.affinity.status());
        if expires {
            // A use is written only once it is newer than the stored one by a share of the idle timeout, so a
            // binding that was about to expire may have expired after the restart.
            let mut differ = before.iter().zip(&after).filter(|(before, after)| before != after);
            prop_assert!(differ.all(|(before, after)| before.is_some() && after.is_none()), "{}", state);
        } else {
            prop_assert!(before == after, "{}", state);
        }
    }

    /// Arbitrary bytes in the store are rejected or give bindings without effect.
    #[test]
    fn arbitrary_bytes_can_be_read(bytes in proptest::collection::vec(any::<u8>(), 0..80), slot in any::<u32>()) {
        let mut fleet = Fleet::new(settings(), SERVERS);
        if let Some(stored) = StoredBinding::from_bytes(&bytes) {
            fleet.affinity.restore_binding(fleet.now, slot, &stored);
        }
        if let Some((id, started_at)) = record::run_from_bytes(&bytes) {
            fleet.affinity.restore_run(fleet.now, u64::from(slot), &id, started_at);
        }
        prop_assert_eq!(fleet.affinity.len(), 0);
    }

    /// An owner that holds less than an equal share of a full table loses no bindings to the others.
    #[test]
    fn owners_below_an_equal_share_lose_no_bindings(noise in proptest::collection::vec((1..4_u64, 0..500_u64, any::<bool>()), 0..2_000)) {
        let mut fleet = Fleet::new(Settings { max_bindings: MAX_BINDINGS, ..Settings::default() }, SERVERS);
        // Four owners: a quarter of the slots, less the eighth within which the sizes of owners are not
        // distinguished.
        let share = MAX_BINDINGS as u64 / 4 * 7 / 8;
        (0..share).for_each(|key| fleet.record_served(key, 0));
        for (owner, key, request) in noise {
            fleet.owner = owner;
            if request {
                fleet.preferred_server(key);
            }
            fleet.record_served(key, 1);
        }
        fleet.owner = 0;
        prop_assert!((0..share).all(|key| fleet.preferred_server(key) == Some(ServerId(0))));
    }
}
