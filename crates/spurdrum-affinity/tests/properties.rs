//! Whatever happens in whatever order: what is bound, what is preferred, and what is read again.

mod common;
use common::*;

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, RngSeed};
use spurdrum_affinity::record::{PendingWrite, StoredBinding};
use spurdrum_affinity::*;
use spurdrum_policy::{Availability, ServerId};

const SERVERS: usize = 6;
const ENTRIES: usize = 48;

#[derive(Clone, Debug)]
enum Step {
    Ask(u64, u64),
    Serve(u64, u64, usize),
    Set(usize, Availability),
    Restart(usize),
    WholeList(u8),
    Wait(f64),
    Flush(usize, bool),
}

fn step() -> impl Strategy<Value = Step> {
    let availability = prop_oneof![
        4 => Just(Availability::Ready),
        1 => Just(Availability::Draining),
        1 => Just(Availability::Gone)
    ];
    prop_oneof![
        8 => (0..80_u64, 0..4_u64).prop_map(|(key, owner)| Step::Ask(key, owner)),
        16 => (0..80_u64, 0..4_u64, 0..SERVERS).prop_map(|(key, owner, by)| Step::Serve(key, owner, by)),
        3 => (0..SERVERS, availability).prop_map(|(at, is)| Step::Set(at, is)),
        1 => (0..SERVERS).prop_map(Step::Restart),
        1 => any::<u8>().prop_map(Step::WholeList),
        2 => (0.0..3_000.0).prop_map(Step::Wait),
        3 => (1..40_usize, any::<bool>()).prop_map(|(most, well)| Step::Flush(most, well)),
    ]
}

fn settings() -> Settings {
    Settings {
        max_bindings: ENTRIES,
        idle_timeout_ms: 8_000.0,
        max_age_ms: 20_000.0,
        return_timeout_ms: 2_000.0,
        ..Settings::default()
    }
}

/// What has been written, as a store has it.
#[derive(Clone, Default)]
struct Written {
    runs: BTreeMap<u64, (String, f64)>,
    places: BTreeMap<u32, StoredBinding>,
}

impl Written {
    fn write(&mut self, writes: &[PendingWrite]) {
        for write in writes {
            match write.clone() {
                PendingWrite::Run(number, Some(run)) => drop(self.runs.insert(number, run)),
                PendingWrite::Run(number, None) => drop(self.runs.remove(&number)),
                PendingWrite::Slot(at, Some(stored)) => {
                    assert_eq!(StoredBinding::from_bytes(&stored.to_bytes()), Some(stored));
                    self.places.insert(at, stored);
                }
                PendingWrite::Slot(at, None) => drop(self.places.remove(&at)),
            }
        }
    }

    fn read_by(&self, affinity: &mut Affinity, now: f64) {
        for (number, (id, started_at)) in &self.runs {
            affinity.restore_run(now, *number, id, *started_at);
        }
        for (at, stored) in &self.places {
            affinity.restore_binding(now, *at, stored);
        }
    }
}

/// The servers as a list has them, beside the fleet.
struct World {
    fleet: Fleet,
    listed: Vec<Availability>,
    written: Written,
}

impl World {
    fn play(&mut self, step: &Step) {
        let Self { fleet, listed, written } = self;
        fleet.now += 1.0;
        match *step {
            Step::Ask(key, owner) => {
                fleet.owner = owner;
                if let Some(server) = fleet.preferred_server(key) {
                    assert_eq!(listed[server.0], Availability::Ready, "work follows a server that is gone");
                }
            }
            Step::Serve(key, owner, by) => {
                fleet.owner = owner;
                fleet.preferred_server(key);
                fleet.served(key, by);
            }
            Step::Set(at, is) => {
                listed[at] = is;
                fleet.set(at, is);
            }
            Step::Restart(at) => {
                fleet.starts[at] = Some(fleet.now);
                listed[at] = Availability::Ready;
                fleet.set(at, Availability::Ready);
            }
            Step::WholeList(which) => {
                for (at, is) in listed.iter_mut().enumerate() {
                    *is = if which >> at & 1 == 1 { Availability::Ready } else { Availability::Gone };
                }
                let all = (0..SERVERS).filter(|at| listed[*at] == Availability::Ready);
                let all = all.map(|at| fleet.listed(at, Availability::Ready)).collect();
                fleet.affinity.apply_list(fleet.now, true, all);
            }
            Step::Wait(ms) => {
                fleet.now += ms;
                fleet.affinity.tick(fleet.now);
            }
            Step::Flush(most, well) => {
                let writes = fleet.affinity.take_writes(most);
                if well {
                    written.write(&writes)
                } else {
                    fleet.affinity.requeue_writes(writes)
                }
            }
        }
        assert!(fleet.affinity.len() <= ENTRIES && fleet.affinity.unwritten() <= ENTRIES + 64);
        assert!(written.places.len() <= ENTRIES, "the file is bounded as the table is");
    }

    fn all_preferred(&mut self) -> Vec<Option<ServerId>> {
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

    /// A life that reads what an earlier one wrote prefers what that preferred, whether the list comes first or last.
    #[test]
    fn what_is_written_is_what_the_next_life_has(
        steps in proptest::collection::vec(step(), 0..400),
        list_first in any::<bool>(),
        ages in any::<bool>(),
    ) {
        let listed = vec![Availability::Ready; SERVERS];
        let settings = if ages { settings() } else { Settings { idle_timeout_ms: 1e12, max_age_ms: 1e12, ..settings() } };
        let fleet = Fleet::new(settings.clone(), SERVERS);
        let mut world = World { fleet, listed, written: Written::default() };
        steps.iter().for_each(|step| world.play(step));
        while world.fleet.affinity.unwritten() > 0 {
            let writes = world.fleet.affinity.take_writes(7);
            world.written.write(&writes);
        }
        let now = world.fleet.now;
        let mut next = Affinity::new(settings, now).expect("sound");
        let ready = (0..SERVERS).filter(|at| world.listed[*at] == Availability::Ready);
        let list: Vec<ListedServer> = ready.map(|at| world.fleet.listed(at, Availability::Ready)).collect();
        if list_first {
            next.apply_list(now, true, list.clone());
        }
        world.written.read_by(&mut next, now);
        if !list_first {
            next.apply_list(now, true, list);
        }
        // The next life has read back all that counts; its own writes change nothing of that.
        let before = world.all_preferred();
        let old = std::mem::replace(&mut world.fleet.affinity, next);
        let after = world.all_preferred();
        let state = format!("{before:?}\n{after:?}\n{} | {}", old.status(), world.fleet.affinity.status());
        if ages {
            // A use is written only once it is newer by a part of the idle time: what was just alive may be over.
            let mut differ = before.iter().zip(&after).filter(|(before, after)| before != after);
            prop_assert!(differ.all(|(before, after)| before.is_some() && after.is_none()), "{}", state);
        } else {
            prop_assert!(before == after, "{}", state);
        }
    }

    /// Bytes that were never written, or by another program, are no bindings or harmless ones.
    #[test]
    fn any_bytes_can_be_read(bytes in proptest::collection::vec(any::<u8>(), 0..80), at in any::<u32>()) {
        let mut fleet = Fleet::new(settings(), SERVERS);
        if let Some(stored) = StoredBinding::from_bytes(&bytes) {
            fleet.affinity.restore_binding(fleet.now, at, &stored);
        }
        if let Some((id, started_at)) = record::run_from_bytes(&bytes) {
            fleet.affinity.restore_run(fleet.now, u64::from(at), &id, started_at);
        }
        prop_assert_eq!(fleet.affinity.len(), 0);
    }

    /// Who holds less than an equal share of a full table loses nothing to the others.
    #[test]
    fn a_fair_share_is_safe(noise in proptest::collection::vec((1..4_u64, 0..500_u64, any::<bool>()), 0..2_000)) {
        let mut fleet = Fleet::new(Settings { max_bindings: ENTRIES, ..Settings::default() }, SERVERS);
        // Four owners: a quarter of the places, less the eighth by which sizes are told apart.
        let share = ENTRIES as u64 / 4 * 7 / 8;
        (0..share).for_each(|key| fleet.served(key, 0));
        for (owner, key, ask) in noise {
            fleet.owner = owner;
            if ask {
                fleet.preferred_server(key);
            }
            fleet.served(key, 1);
        }
        fleet.owner = 0;
        prop_assert!((0..share).all(|key| fleet.preferred_server(key) == Some(ServerId(0))));
    }
}
