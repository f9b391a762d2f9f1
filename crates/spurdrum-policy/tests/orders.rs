//! Invariants that must hold after every event in random orders of requests, departing clients, outcomes,
//! lists, probes, timers and reloads of the settings.

mod common;

use std::collections::{BTreeMap, HashMap};

use common::Node;
use proptest::prelude::*;
use spurdrum_policy::*;

const WINDOW_MS: f64 = 300.0;
const SERVERS: usize = 5;
/// The effects that a class may have, and be given by new settings.
const EFFECTS: [Effect; 5] = [
    Effect::Safe,
    Effect::Keyed { group: Group::Cell, window_ms: WINDOW_MS },
    Effect::Unsafe,
    Effect::Keyed { group: Group::Cell, window_ms: WINDOW_MS / 3.0 },
    Effect::Keyed { group: Group::All, window_ms: 2.0 * WINDOW_MS },
];
/// The classes at the start.
const CLASSES: usize = 3;
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

/// A request, as the node sees it.
struct PendingRequest {
    rules: RequestRules,
    /// Of each attempt: its server, when it was sent, and whether it is in flight.
    attempts: Vec<(usize, f64, bool)>,
    /// The first attempt that may have run.
    first_run: Option<usize>,
    /// Final answers that the client was given.
    answers: usize,
    client_left: bool,
}

struct World {
    node: Node,
    requests: Vec<PendingRequest>,
    timers: BTreeMap<u64, f64>,
    listed: HashMap<usize, Availability>,
    open_probes: Vec<usize>,
    cancel: bool,
    settings: Settings,
    /// Requests that have been read and wait for the node's first list.
    waiting: Vec<Request>,
}

/// Returns a class with an effect.
fn class(effect: Effect) -> Class {
    Class::new(100.0, 400.0, effect)
}

impl World {
    fn new(cancel: bool, probes: bool, max_attempts: usize, seed: u64) -> Self {
        let mut settings = Settings::new(EFFECTS[..CLASSES].iter().copied().map(class).collect());
        (settings.cancel, settings.max_attempts, settings.slow_start_ms) = (cancel, max_attempts, 500.0);
        settings.slow_start_min_capacity = 0.2;
        (settings.probes, settings.responses_carry_load, settings.probe_price) = (probes, !probes, 0.001);
        let (requests, timers, listed, open_probes) =
            (Vec::new(), BTreeMap::new(), HashMap::new(), Vec::new());
        let node = Node::new(settings.clone(), seed);
        let waiting = Vec::new();
        let mut world = Self { node, requests, timers, listed, open_probes, cancel, settings, waiting };
        (0..SERVERS).for_each(|server| world.list(server, Availability::Ready, false));
        world
    }

    fn feed(&mut self, event: Event) {
        for action in self.node.feed(event) {
            self.check(action);
        }
    }

    fn list(&mut self, server: usize, availability: Availability, restarted: bool) {
        self.listed.insert(server, availability);
        let started_at = restarted.then_some(self.node.now);
        let entry =
            ServerEntry { cell: server / 2, started_at, ..ServerEntry::new(ServerId(server), availability) };
        self.feed(Event::Servers(ListUpdate::Changes(vec![entry])));
    }

    /// Asserts that an action is allowed, and records what follows from it.
    fn check(&mut self, action: Action) {
        let now = self.node.now;
        match action {
            Action::Send { request, server } => {
                let request = &mut self.requests[request.0 as usize];
                assert!(!request.client_left, "sent for a client that has left");
                assert_eq!(request.answers, 0, "sent for a client that has its answer");
                assert!(request.attempts.iter().all(|(.., in_flight)| !in_flight), "two attempts in flight");
                assert_eq!(self.listed[&server.0], Availability::Ready, "server {}", server.0);
                if let Some((first, at, _)) = request.first_run.map(|first| request.attempts[first]) {
                    let effect = request.rules.class.effect;
                    assert_ne!(effect, Effect::Unsafe, "an unsafe request may have run");
                    if let Effect::Keyed { group, window_ms } = effect {
                        let in_group = group == Group::All || server.0 / 2 == first / 2;
                        assert!(now - at < window_ms && in_group, "sent outside its window or group");
                    }
                }
                let max_attempts = request.rules.max_attempts;
                assert!(request.attempts.len() < max_attempts, "more than {max_attempts} attempts");
                request.attempts.push((server.0, now, true));
            }
            Action::Refuse { request, .. } | Action::Fail { request } => {
                let request = &mut self.requests[request.0 as usize];
                assert!(!request.client_left, "an answer for a client that has left");
                let harmless = match request.rules.class.effect {
                    Effect::Safe | Effect::Keyed { group: Group::All, .. } => true,
                    Effect::Keyed { .. } | Effect::Unsafe => request.first_run.is_none(),
                };
                assert!(
                    harmless || matches!(action, Action::Fail { .. }),
                    "a refusal though the request may have run"
                );
                request.answers += 1;
                assert_eq!(request.answers, 1, "a second final answer");
            }
            Action::Cancel { request, attempt } => {
                assert!(self.cancel && self.requests[request.0 as usize].attempts[attempt].2);
            }
            Action::SetTimer { timer, after_ms } => {
                self.timers.insert(timer, now + after_ms);
            }
            Action::Probe { server } => self.open_probes.push(server.0),
            _ => {}
        }
    }

    /// Ends the attempt in flight of a request.
    fn end_attempt(&mut self, id: usize, ending: Ending) {
        let pending = &mut self.requests[id];
        let attempt = pending.attempts.len() - 1;
        let (_, sent_at, in_flight) = &mut pending.attempts[attempt];
        *in_flight = false;
        let elapsed_ms = self.node.now - *sent_at;
        if ending.may_have_run() {
            pending.first_run = pending.first_run.or(Some(attempt));
        }
        pending.answers += usize::from(ending == Ending::Served && !pending.client_left);
        let complete = pending.client_left || pending.answers > 0;
        let report = Some(LoadReport { in_flight: Some(1.0), queued: None });
        let request = RequestId(id as u64);
        self.feed(Event::Outcome(Outcome { request, attempt, elapsed_ms, ending, complete, report }));
    }

    fn is_in_flight(&self, id: usize) -> bool {
        self.requests[id].attempts.last().is_some_and(|(.., in_flight)| *in_flight)
    }

    /// Fires the timers that are due.
    fn fire(&mut self) {
        let now = self.node.now;
        let due: Vec<u64> =
            self.timers.iter().filter(|(_, at)| **at <= now).map(|(timer, _)| *timer).collect();
        for timer in due {
            self.timers.remove(&timer);
            self.feed(Event::Timer(timer));
        }
    }

    /// Reads a request of a class of the present settings.
    fn read_request(&mut self, class: usize) -> Request {
        let id = RequestId(self.requests.len() as u64);
        let rules = self.settings.rules_of(class).expect("a class");
        self.requests.push(PendingRequest {
            rules,
            attempts: Vec::new(),
            first_run: None,
            answers: 0,
            client_left: false,
        });
        Request { rules: Some(rules), ..Request::new(id, class, 400.0) }
    }

    /// Reloads the settings: classes are turned round and moved on, one is dropped or added, and one gets
    /// another effect.
    fn reload(&mut self, which: usize, pick: usize) {
        let mut former: Vec<Option<usize>> = (0..self.settings.classes.len()).map(Some).collect();
        let by = which % former.len();
        former.rotate_left(by);
        if which.is_multiple_of(2) {
            former.reverse();
        }
        match which % 3 {
            0 if former.len() > 1 => drop(former.pop()),
            1 if former.len() < 2 * CLASSES => former.insert(pick % former.len(), None),
            _ => {}
        }
        let added = class(EFFECTS[which % EFFECTS.len()]);
        let of = |old: &Option<usize>| old.map_or(added, |old| self.settings.classes[old]);
        let mut classes: Vec<Class> = former.iter().map(of).collect();
        let changed = pick % classes.len();
        classes[changed].effect = EFFECTS[pick % EFFECTS.len()];
        let settings = Settings { classes, max_attempts: 1 + pick % 3, ..self.settings.clone() };
        let new = NewSettings { settings, classes: former, tenants: Vec::new() };
        for request in &mut self.waiting {
            request.class = new.class_index(request.class);
        }
        self.settings = new.settings.clone();
        self.feed(Event::Reload(Box::new(new)));
    }

    /// Feeds one random event.
    fn step(&mut self, step: u8, which: usize, pick: usize) {
        let open: Vec<usize> = (0..self.requests.len()).filter(|id| self.is_in_flight(*id)).collect();
        let unanswered: Vec<usize> = (0..self.requests.len())
            .filter(|id| !self.requests[*id].client_left && self.requests[*id].answers == 0)
            .collect();
        match step {
            0..=2 => {
                let request = self.read_request(pick % self.settings.classes.len());
                // A request that is handed over at once may leave it to the decisions to take its rules.
                let rules = request.rules.filter(|_| pick.is_multiple_of(2));
                self.feed(Event::Request(Request { rules, ..request }));
            }
            10 => {
                let request = self.read_request(pick % self.settings.classes.len());
                self.waiting.push(request);
            }
            11 if !self.waiting.is_empty() => {
                let request = self.waiting.remove(which % self.waiting.len());
                self.feed(Event::Request(request));
            }
            12 => self.reload(which, pick),
            3 | 4 if !open.is_empty() => self.end_attempt(open[which % open.len()], ENDINGS[pick % 8]),
            5 if !unanswered.is_empty() => {
                let id = unanswered[which % unanswered.len()];
                self.requests[id].client_left = true;
                self.waiting.retain(|request| request.id.0 != id as u64);
                self.feed(Event::ClientGone(RequestId(id as u64)));
            }
            6 => {
                let states =
                    [Availability::Ready, Availability::Ready, Availability::Draining, Availability::Gone];
                self.list(which % SERVERS, states[pick % 4], pick % 4 == 1);
            }
            7 => {
                if let Some(server) = self.open_probes.pop() {
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

    /// Nothing is sent for a client that has left, whatever event follows; all other requests have one final
    /// answer in the end.
    #[test]
    fn nothing_is_sent_for_a_client_that_left_and_each_other_gets_one_answer(
        (cancel, probes, max_attempts, seed) in (any::<bool>(), any::<bool>(), 1_usize..4, any::<u64>()),
        steps in prop::collection::vec((0_u8..13, 0_usize..40, 0_usize..24), 1..200),
    ) {
        let mut world = World::new(cancel, probes, max_attempts, seed);
        for (step, which, pick) in steps {
            world.step(step, which, pick);
        }
        for request in std::mem::take(&mut world.waiting) {
            world.feed(Event::Request(request));
        }
        // All attempts in flight end and all timers fire.
        for _ in 0..20 {
            (0..world.requests.len()).filter(|id| world.is_in_flight(*id)).collect::<Vec<_>>().into_iter().for_each(|id| world.end_attempt(id, Ending::TimedOut));
            world.node.now += 1_000.0;
            world.fire();
        }
        for (id, request) in world.requests.iter().enumerate() {
            prop_assert!(request.client_left || request.answers == 1, "request {id} has {} answers", request.answers);
            prop_assert!(request.attempts.iter().all(|(.., in_flight)| !in_flight));
        }
    }
}
