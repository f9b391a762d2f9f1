//! Random orders of requests, departures, outcomes, lists, probes and timers: what must hold after each.

mod common;

use std::collections::{BTreeMap, HashMap};

use common::Node;
use proptest::prelude::*;
use spurdrum_policy::*;

const WINDOW_MS: f64 = 300.0;
const SERVERS: usize = 5;
const EFFECTS: [Effect; 3] =
    [Effect::Safe, Effect::Keyed { group: Group::Cell, window_ms: WINDOW_MS }, Effect::Unsafe];
const ENDINGS: [Ending; 8] = [
    Ending::Served,
    Ending::Error,
    Ending::Full,
    Ending::TimedOut,
    Ending::Unreachable,
    Ending::Reset,
    Ending::Cancelled,
    Ending::NotSent,
];

/// A request, as a core has it.
struct Held {
    effect: Effect,
    /// Where each attempt went, when, and whether it is out.
    attempts: Vec<(usize, f64, bool)>,
    /// The first attempt that may have run.
    ran: Option<usize>,
    /// Answers that its client was given, and whether it has left.
    answers: usize,
    left: bool,
}

struct World {
    node: Node,
    held: Vec<Held>,
    timers: BTreeMap<u64, f64>,
    listed: HashMap<usize, Availability>,
    probes: Vec<usize>,
    cancel: bool,
}

impl World {
    fn new(cancel: bool, asks: bool, max_attempts: usize, seed: u64) -> Self {
        let mut settings = Settings::new(EFFECTS.iter().map(|e| Class::new(100.0, 400.0, *e)).collect());
        (settings.cancel, settings.max_attempts, settings.slow_start_ms) = (cancel, max_attempts, 500.0);
        settings.slow_start_min_capacity = 0.2;
        (settings.probes, settings.responses_carry_load, settings.probe_price) = (asks, !asks, 0.001);
        let (held, timers, listed, probes) = (Vec::new(), BTreeMap::new(), HashMap::new(), Vec::new());
        let mut world = Self { node: Node::new(settings, seed), held, timers, listed, probes, cancel };
        (0..SERVERS).for_each(|server| world.list(server, Availability::Ready, false));
        world
    }

    fn feed(&mut self, event: Event) {
        for action in self.node.feed(event) {
            self.look_at(action);
        }
    }

    fn list(&mut self, server: usize, availability: Availability, starts: bool) {
        self.listed.insert(server, availability);
        let started_at = starts.then_some(self.node.now);
        let entry =
            ServerEntry { cell: server / 2, started_at, ..ServerEntry::new(ServerId(server), availability) };
        self.feed(Event::Servers(ListUpdate::Changes(vec![entry])));
    }

    fn look_at(&mut self, action: Action) {
        let now = self.node.now;
        match action {
            Action::Send { request, server } => {
                let held = &mut self.held[request.0 as usize];
                assert!(!held.left, "begun for a client that has left");
                assert_eq!(held.answers, 0, "begun for a client that has its answer");
                assert!(held.attempts.iter().all(|(.., out)| !out), "two attempts are out");
                assert_eq!(self.listed[&server.0], Availability::Ready, "server {}", server.0);
                if let Some((first, at, _)) = held.ran.map(|ran| held.attempts[ran]) {
                    assert_ne!(held.effect, Effect::Unsafe, "it may have run");
                    if matches!(held.effect, Effect::Keyed { .. }) {
                        assert!(
                            now - at < WINDOW_MS && server.0 / 2 == first / 2,
                            "outside its window or group"
                        );
                    }
                }
                held.attempts.push((server.0, now, true));
            }
            Action::Refuse { request, .. } | Action::Fail { request } => {
                let held = &mut self.held[request.0 as usize];
                assert!(!held.left, "an answer for a client that has left");
                let harmless = held.ran.is_none() || held.effect == Effect::Safe;
                assert!(
                    harmless || matches!(action, Action::Fail { .. }),
                    "a refusal that promises too much"
                );
                held.answers += 1;
                assert_eq!(held.answers, 1, "a second answer");
            }
            Action::Cancel { request, attempt } => {
                assert!(self.cancel && self.held[request.0 as usize].attempts[attempt].2);
            }
            Action::SetTimer { timer, after_ms } => {
                self.timers.insert(timer, now + after_ms);
            }
            Action::Probe { server } => self.probes.push(server.0),
            _ => {}
        }
    }

    fn ends(&mut self, id: usize, ending: Ending) {
        let held = &mut self.held[id];
        let attempt = held.attempts.len() - 1;
        let (_, at, out) = &mut held.attempts[attempt];
        *out = false;
        let elapsed_ms = self.node.now - *at;
        if ending.may_have_run() {
            held.ran = held.ran.or(Some(attempt));
        }
        held.answers += usize::from(ending == Ending::Served && !held.left);
        let complete = held.left || held.answers > 0;
        let report = Some(LoadReport { in_flight: Some(1.0), queued: None });
        let request = RequestId(id as u64);
        self.feed(Event::Outcome(Outcome { request, attempt, elapsed_ms, ending, complete, report }));
    }

    fn is_out(&self, id: usize) -> bool {
        self.held[id].attempts.last().is_some_and(|(.., out)| *out)
    }

    fn fire(&mut self) {
        let now = self.node.now;
        let due: Vec<u64> =
            self.timers.iter().filter(|(_, at)| **at <= now).map(|(timer, _)| *timer).collect();
        for timer in due {
            self.timers.remove(&timer);
            self.feed(Event::Timer(timer));
        }
    }

    fn step(&mut self, step: u8, which: usize, pick: usize) {
        let open: Vec<usize> = (0..self.held.len()).filter(|id| self.is_out(*id)).collect();
        let owed: Vec<usize> =
            (0..self.held.len()).filter(|id| !self.held[*id].left && self.held[*id].answers == 0).collect();
        match step {
            0..=2 => {
                let (class, id) = (pick % 3, self.held.len());
                let (attempts, ran) = (Vec::new(), None);
                self.held.push(Held { effect: EFFECTS[class], attempts, ran, answers: 0, left: false });
                self.feed(Event::Request(Request::new(RequestId(id as u64), class, 400.0)));
            }
            3 | 4 if !open.is_empty() => self.ends(open[which % open.len()], ENDINGS[pick % 8]),
            5 if !owed.is_empty() => {
                let id = owed[which % owed.len()];
                self.held[id].left = true;
                self.feed(Event::ClientGone(RequestId(id as u64)));
            }
            6 => {
                let phases =
                    [Availability::Ready, Availability::Ready, Availability::Draining, Availability::Gone];
                self.list(which % SERVERS, phases[pick % 4], pick % 4 == 1);
            }
            7 => {
                if let Some(server) = self.probes.pop() {
                    let (server, ending) = (ServerId(server), ENDINGS[pick % 2]);
                    let report = Some(LoadReport { in_flight: Some(0.0), queued: None });
                    self.feed(Event::Probed { server, ending, report });
                }
            }
            _ => self.node.now += (which * 3) as f64,
        }
        self.fire();
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whoever has left gets nothing begun, whatever comes after; all others have one final answer in the end.
    #[test]
    fn nothing_begins_for_who_has_left_and_each_other_has_one_answer(
        (cancel, asks, max_attempts, seed) in (any::<bool>(), any::<bool>(), 1_usize..4, any::<u64>()),
        steps in prop::collection::vec((0_u8..10, 0_usize..40, 0_usize..24), 1..200),
    ) {
        let mut world = World::new(cancel, asks, max_attempts, seed);
        for (step, which, pick) in steps {
            world.step(step, which, pick);
        }
        // What is still out ends, and what is waited for passes.
        for _ in 0..20 {
            (0..world.held.len()).filter(|id| world.is_out(*id)).collect::<Vec<_>>().into_iter().for_each(|id| world.ends(id, Ending::TimedOut));
            world.node.now += 1_000.0;
            world.fire();
        }
        for (id, held) in world.held.iter().enumerate() {
            prop_assert!(held.left || held.answers == 1, "request {id} has {} answers", held.answers);
            prop_assert!(held.attempts.len() <= max_attempts && held.attempts.iter().all(|(.., out)| !out));
        }
    }
}
