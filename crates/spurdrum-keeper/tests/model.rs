//! Conductors and keepers, checked over all orders of messages, losses, deaths and times: the real `handle` of both, three nodes,
//! two stages, two conductors.

use std::collections::BTreeSet;

use spurdrum_keeper::hand::{
    Action as HandAction, Event as HandEvent, Record, Supervisor, Timer as HandTimer,
};
use spurdrum_rollout::conductor::{
    Action, Command, Event, InconclusivePolicy, Outcome, RolloutController, Settings, Timer, Verdict,
};
use spurdrum_rollout::orders::{Generation, Status, SupervisorRequest};
use spurdrum_rollout::version::{ApplyMethod, Change, Hash, Version};
use stateright::{Checker, Model, Property};

const NODES: usize = 3;

fn version(name: &str) -> Version {
    Version { program: Hash::unchecked(name), settings: Hash::unchecked("s") }
}

fn settings(at_once: usize) -> Settings {
    let change = Change { version: version("new"), program: None, settings: None, how: ApplyMethod::Replace };
    Settings {
        zones: vec!["a".into(); NODES],
        change,
        stages: vec![vec![0], vec![0, 1, 2]],
        max_unavailable: at_once,
        max_unavailable_in_rollback: at_once,
        min_available_per_zone: 1,
        max_failed_steps: 0,
        when_inconclusive: InconclusivePolicy::Hold,
    }
}

/// A machine: what its disk has, its keeper while that lives, and its processes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Machine {
    disk: Option<Record>,
    keeper: Option<Supervisor>,
    /// By slot: what runs.
    processes: [Option<Version>; 2],
    /// Times that are kept.
    timers: BTreeSet<HandTimer>,
    /// Files that are asked for.
    fetching: bool,
    /// Steps that were begun by orders of each generation since another had claimed the node: must stay none.
    strangers: u8,
}

/// What is on its way.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Order { from: usize, to: usize, order: Text },
    Answer { from: usize, to: usize, status: Text },
}

/// Messages as they stand in bytes: the bytes have an order.
type Text = String;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    conductors: Vec<Option<RolloutController>>,
    outcomes: Vec<Option<Outcome>>,
    timers: Vec<BTreeSet<Timer>>,
    machines: Vec<Machine>,
    net: BTreeSet<Message>,
    /// What may still be lost, killed, or said.
    losses: u8,
    deaths: u8,
    worse: u8,
    polls: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Deliver(Message),
    Lose(Message),
    Poll { conductor: usize, node: usize },
    Timer { conductor: usize, timer: Timer },
    Judge { conductor: usize, verdict: bool },
    Fetched { node: usize, sound: bool },
    Ready { node: usize },
    Gone { node: usize, slot: usize },
    HandTimer { node: usize, timer: HandTimer },
    KillKeeper { node: usize },
    KillConductor { conductor: usize },
    StartKeeper { node: usize },
    StartConductor { conductor: usize },
}

struct Fleet {
    at_once: usize,
    conductors: usize,
    losses: u8,
    deaths: u8,
    worse: u8,
    polls: u8,
    /// All that can be reached is looked at, and not a part.
    whole: bool,
    /// It can be done and it can be taken back.
    can: bool,
}

impl World {
    fn run_conductor(&mut self, at: usize, event: Event) {
        let Some(conductor) = &mut self.conductors[at] else { return };
        let mut actions = Vec::new();
        conductor.handle(event, &mut actions);
        for action in actions {
            match action {
                Action::Send(to, order) => {
                    let order = serde_json::to_string(&order).expect("an order");
                    self.net.insert(Message::Order { from: at, to, order });
                }
                Action::SetTimer(timer) => drop(self.timers[at].insert(timer)),
                Action::CancelTimer(timer) => drop(self.timers[at].remove(&timer)),
                Action::VersionChanged { .. } | Action::Note(_) => {}
                Action::End(outcome) => {
                    self.outcomes[at] = Some(outcome);
                    self.timers[at].clear();
                }
            }
        }
    }

    /// What a keeper answers, if it does.
    fn run_keeper(&mut self, at: usize, event: HandEvent) -> Option<Option<String>> {
        let mut answer = None;
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let machine = &mut self.machines[at];
            let Some(hand) = &mut machine.keeper else { return answer };
            let mut actions = Vec::new();
            hand.handle(event, &mut actions);
            for action in actions {
                match action {
                    HandAction::WriteRecord(record) => {
                        machine.disk = Some(*record);
                        // Nothing else happens before it is told: it is handled at once, as the shell does.
                        let hand = machine.keeper.as_mut().expect("it has just written");
                        let mut more = Vec::new();
                        hand.handle(HandEvent::RecordWritten, &mut more);
                        for action in more {
                            machine.carry_out(action, &mut answer);
                        }
                    }
                    other => machine.carry_out(other, &mut answer),
                }
            }
        }
        answer
    }

    fn status(&self, at: usize, refused: Option<String>) -> Option<Status> {
        let hand = self.machines[at].keeper.as_ref()?;
        Some(hand.status(&format!("n{at}"), refused))
    }

    /// Steps that are under way: what a node's disk says outlives its keeper.
    fn under_way(&self) -> usize {
        self.machines.iter().filter(|m| m.disk.as_ref().is_some_and(|disk| disk.step.is_some())).count()
    }
}

impl Machine {
    fn carry_out(&mut self, action: HandAction, answer: &mut Option<Option<String>>) {
        match action {
            HandAction::WriteRecord(record) => self.disk = Some(*record),
            HandAction::Reply(refused) => *answer = Some(refused),
            HandAction::Fetch(_) => self.fetching = true,
            HandAction::Start(slot, version) => self.processes[slot] = Some(version),
            // It ends when it does.
            HandAction::Terminate(_) => {}
            HandAction::Kill(slot) => self.processes[slot] = None,
            HandAction::SetTimer(timer) => drop(self.timers.insert(timer)),
            HandAction::CancelTimer(timer) => drop(self.timers.remove(&timer)),
            HandAction::Reload(..) | HandAction::Prune(_) | HandAction::Note(_) => {}
        }
    }

    fn serving_slot(&self) -> Option<usize> {
        self.keeper.as_ref().and_then(Supervisor::serving_slot)
    }
}

impl Model for Fleet {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let machine = Machine {
            disk: None,
            keeper: Some(Supervisor::new(None, version("old"))),
            processes: [Some(version("old")), None],
            timers: BTreeSet::new(),
            fetching: false,
            strangers: 0,
        };
        let mut world = World {
            conductors: vec![None; self.conductors],
            outcomes: vec![None; self.conductors],
            timers: vec![BTreeSet::new(); self.conductors],
            machines: vec![machine; NODES],
            net: BTreeSet::new(),
            losses: self.losses,
            deaths: self.deaths,
            worse: self.worse,
            polls: self.polls,
        };
        for at in 0..NODES {
            world.run_keeper(at, HandEvent::ProcessesFound(vec![(0, version("old"))]));
            world.run_keeper(at, HandEvent::Ready(0));
            world.machines[at].timers.clear();
        }
        world.conductors[0] =
            Some(RolloutController::new(settings(self.at_once), Generation { number: 1, controller: 0 }));
        world.run_conductor(0, Event::Start);
        vec![world]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        for message in &world.net {
            steps.push(Step::Deliver(message.clone()));
            if world.losses > 0 {
                steps.push(Step::Lose(message.clone()));
            }
        }
        for (at, conductor) in world.conductors.iter().enumerate() {
            let over = world.outcomes[at].is_some();
            match conductor {
                Some(_) if !over => {
                    if world.polls > 0 && (self.polls > 4 || world.net.is_empty()) {
                        steps.extend((0..NODES).map(|node| Step::Poll { conductor: at, node }));
                    }
                    steps.extend(
                        world.timers[at].iter().map(|timer| Step::Timer { conductor: at, timer: *timer }),
                    );
                    steps.push(Step::Judge { conductor: at, verdict: true });
                    if world.worse > 0 {
                        steps.push(Step::Judge { conductor: at, verdict: false });
                    }
                    if world.deaths > 0 {
                        steps.push(Step::KillConductor { conductor: at });
                    }
                }
                None if at > 0 && world.outcomes[at].is_none() => {
                    steps.push(Step::StartConductor { conductor: at });
                }
                _ => {}
            }
        }
        for (node, machine) in world.machines.iter().enumerate() {
            let Some(hand) = &machine.keeper else {
                steps.push(Step::StartKeeper { node });
                continue;
            };
            if machine.fetching {
                steps.push(Step::Fetched { node, sound: true });
            }
            if hand.starting_slot().is_some_and(|slot| machine.processes[slot].is_some()) {
                steps.push(Step::Ready { node });
            }
            // The one that was told to end ends.
            if hand.is_busy() {
                let serves = machine.serving_slot();
                let other = (0..2).find(|slot| Some(*slot) != serves && machine.processes[*slot].is_some());
                if let Some(slot) = other.filter(|slot| hand.starting_slot() != Some(*slot)) {
                    steps.push(Step::Gone { node, slot });
                }
            }
            if machine.timers.contains(&HandTimer::ReadyTimeout) && world.worse > 0 {
                steps.push(Step::HandTimer { node, timer: HandTimer::ReadyTimeout });
            }
            if world.deaths > 0 {
                steps.push(Step::KillKeeper { node });
            }
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        match step {
            Step::Deliver(message) => {
                world.net.remove(&message);
                match message {
                    Message::Order { from, to, order } => {
                        let order: SupervisorRequest = serde_json::from_str(&order).expect("an order");
                        let generation = match &order {
                            SupervisorRequest::ExecuteStep { generation, .. } => Some(*generation),
                            _ => None,
                        };
                        let was = world.machines[to].disk.clone().unwrap_or_default();
                        if let Some(refused) = world.run_keeper(to, HandEvent::Request(order)) {
                            let is = world.machines[to].disk.clone().unwrap_or_default();
                            let begun = was.step.is_none() && is.step.is_some();
                            if begun && generation != was.generation {
                                world.machines[to].strangers += 1;
                            }
                            if let Some(status) = world.status(to, refused) {
                                let status = serde_json::to_string(&status).expect("a status");
                                world.net.insert(Message::Answer { from: to, to: from, status });
                            }
                        }
                    }
                    Message::Answer { from, to, status } => {
                        let status = serde_json::from_str(&status).expect("a status");
                        world.run_conductor(to, Event::StatusReceived { node: from, status, polled: false });
                    }
                }
            }
            Step::Lose(message) => {
                world.net.remove(&message);
                world.losses -= 1;
            }
            Step::Poll { conductor, node } => {
                world.polls -= 1;
                let event = match world.status(node, None) {
                    Some(status) => Event::StatusReceived { node, status: Box::new(status), polled: true },
                    None => Event::Unreachable(node),
                };
                world.run_conductor(conductor, event);
            }
            Step::Timer { conductor, timer } => {
                world.timers[conductor].remove(&timer);
                world.run_conductor(conductor, Event::Timer(timer));
            }
            Step::Judge { conductor, verdict } => {
                let verdict = if verdict { Verdict::Pass } else { Verdict::Fail("it is".into()) };
                world.worse -= u8::from(verdict != Verdict::Pass);
                world.run_conductor(conductor, Event::Verdict(verdict));
            }
            Step::Fetched { node, sound } => {
                world.machines[node].fetching = false;
                let fetched = if sound { Ok(()) } else { Err("it is not there".into()) };
                world.run_keeper(node, HandEvent::Fetched(fetched));
            }
            Step::Ready { node } => {
                let slot = world.machines[node].keeper.as_ref().and_then(Supervisor::starting_slot)?;
                world.run_keeper(node, HandEvent::Ready(slot));
            }
            Step::Gone { node, slot } => {
                world.machines[node].processes[slot] = None;
                world.run_keeper(node, HandEvent::Exited(slot));
            }
            Step::HandTimer { node, timer } => {
                world.worse -= 1;
                world.machines[node].timers.remove(&timer);
                world.run_keeper(node, HandEvent::Timer(timer));
            }
            Step::KillKeeper { node } => {
                world.deaths -= 1;
                let machine = &mut world.machines[node];
                machine.keeper = None;
                machine.timers.clear();
                machine.fetching = false;
            }
            Step::StartKeeper { node } => {
                let machine = &mut world.machines[node];
                machine.keeper = Some(Supervisor::new(machine.disk.clone(), version("old")));
                let runs = machine.processes.iter().enumerate();
                let found = runs.filter_map(|(slot, p)| p.clone().map(|version| (slot, version))).collect();
                world.run_keeper(node, HandEvent::ProcessesFound(found));
                if let Some(slot) = world.machines[node].serving_slot() {
                    world.run_keeper(node, HandEvent::Ready(slot));
                }
            }
            Step::KillConductor { conductor } => {
                world.deaths -= 1;
                world.conductors[conductor] = None;
                // The first is not started again; whoever follows it is.
                world.outcomes[conductor] = (conductor == 0).then_some(Outcome::Stopped);
                world.timers[conductor].clear();
            }
            Step::StartConductor { conductor } => {
                let told = (0..NODES).filter_map(|node| world.status(node, None)?.generation);
                let number = told.map(|told| told.number).max().unwrap_or(0) + 1;
                // Each draws a number of its own.
                let drawn = conductor as u64 + 10 * u64::from(self.deaths - world.deaths);
                let generation = Generation { number, controller: drawn };
                world.conductors[conductor] =
                    Some(RolloutController::new(settings(self.at_once), generation));
                world.run_conductor(conductor, Event::Start);
            }
        }
        // What a conductor that is gone would hear, nobody hears.
        world.net.retain(|message| match message {
            Message::Answer { to, .. } => last_alive(&last.outcomes, &world.outcomes, *to),
            Message::Order { .. } => true,
        });
        (world != *last).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        let mut properties = vec![
            Property::always("never more out than allowed", |fleet: &Fleet, world: &World| {
                world.under_way() <= fleet.at_once
            }),
            Property::always("no order of another generation is carried out", |_, world: &World| {
                world.machines.iter().all(|machine| machine.strangers == 0)
            }),
            Property::always("a node always has a process", |_, world: &World| {
                world.machines.iter().all(|machine| machine.processes.iter().any(Option::is_some))
            }),
            Property::always("what is done is done everywhere", |_, world: &World| {
                let done = world.outcomes.contains(&Some(Outcome::Completed));
                let new = version("new");
                let runs = |m: &Machine| m.disk.as_ref().is_some_and(|disk| disk.good.as_ref() == Some(&new));
                !done || world.machines.iter().all(runs)
            }),
        ];
        if self.can {
            properties.push(Property::sometimes("it can be done", |_, world: &World| {
                world.outcomes.contains(&Some(Outcome::Completed))
            }));
            properties.push(Property::sometimes("it can be taken back", |_, world: &World| {
                world.outcomes.iter().flatten().any(|outcome| matches!(outcome, Outcome::RolledBack(..)))
            }));
        }
        properties
    }
}

fn last_alive(before: &[Option<Outcome>], now: &[Option<Outcome>], at: usize) -> bool {
    before[at].is_none() && now[at].is_none()
}

fn check(name: &str, fleet: Fleet) {
    let most = if fleet.whole { usize::MAX } else { PART };
    let checker = fleet.checker().threads(2).target_state_count(most).spawn_bfs().join();
    println!("{name}: {} states, {} of them different", checker.state_count(), checker.unique_state_count());
    checker.assert_properties();
}

/// States that are looked at where there are too many for a few seconds.
const PART: usize = 200_000;

fn fleet(at_once: usize, conductors: usize, losses: u8, deaths: u8, worse: u8) -> Fleet {
    Fleet { at_once, conductors, losses, deaths, worse, polls: 4, whole: false, can: false }
}

#[test]
fn one_conductor() {
    check("one", Fleet { whole: true, can: true, ..fleet(1, 1, 0, 0, 1) });
}

#[test]
fn messages_that_are_lost_and_keepers_and_conductors_that_die() {
    check("losses", fleet(1, 1, 2, 0, 1));
    check("deaths", fleet(1, 2, 0, 2, 1));
}

#[test]
fn two_conductors_at_once() {
    check("two", fleet(1, 2, 1, 0, 0));
    check("two, of two nodes at once", fleet(2, 2, 0, 0, 1));
}

/// Minutes, and gigabytes: `cargo test --release -p spurdrum-keeper --test model -- --ignored --nocapture`.
#[test]
#[ignore = "takes minutes"]
fn all_that_can_be_reached() {
    check("losses", Fleet { whole: true, ..fleet(1, 1, 1, 0, 1) });
    check("deaths", Fleet { whole: true, polls: 2, ..fleet(1, 1, 0, 1, 1) });
    check("two", Fleet { whole: true, polls: 0, ..fleet(1, 2, 0, 0, 0) });
}

/// Steps drawn at random, so many at most; after each, `sees` looks at the world.
fn walk(
    fleet: &Fleet,
    world: &mut World,
    rng: &mut fastrand::Rng,
    most: usize,
    mut sees: impl FnMut(&World),
) {
    for _ in 0..most {
        let mut steps = Vec::new();
        fleet.actions(world, &mut steps);
        if steps.is_empty() {
            return;
        }
        let step = steps.swap_remove(rng.usize(..steps.len()));
        if let Some(next) = fleet.next_state(world, step) {
            *world = next;
        }
        sees(world);
    }
}

/// What always holds, holds along walks drawn at random: they go deeper than what can be looked at whole.
#[test]
fn walks_break_nothing() {
    let mut steps_made = 0;
    for seed in 0..6_000_u64 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let at_once = 1 + rng.usize(..2);
        let some = |rng: &mut fastrand::Rng| rng.u8(..3);
        let (losses, deaths) = (some(&mut rng), some(&mut rng));
        let fleet = Fleet { polls: 20, ..fleet(at_once, 2, losses, deaths, 1) };
        let mut world = fleet.init_states().remove(0);
        walk(&fleet, &mut world, &mut rng, 150, |world| {
            steps_made += 1;
            for property in fleet.properties() {
                assert!((property.condition)(&fleet, world), "seed {seed}: {}: {world:#?}", property.name);
            }
        });
    }
    println!("walks: {steps_made} steps");
    assert!(steps_made > 100_000);
}

/// From wherever it stands: once messages come through and nobody dies any more, it ends. Walks drawn at random stop at some
/// point, and from there all that can happen happens in turn.
#[test]
fn it_ends_when_messages_come_through() {
    for seed in 0..300 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let fleet = Fleet { polls: 40, ..fleet(1, 2, 3, 3, 1) };
        let mut world = fleet.init_states().remove(0);
        let most = rng.usize(..120);
        walk(&fleet, &mut world, &mut rng, most, |_| {});
        (world.losses, world.deaths, world.worse) = (0, 0, 0);
        let mut turns = 0;
        while world.outcomes.iter().any(Option::is_none) {
            turns += 1;
            assert!(turns < 400, "seed {seed}: it does not end: {world:#?}");
            world.polls = 40;
            let mut steps = Vec::new();
            fleet.actions(&world, &mut steps);
            // Polls come when all else has been said.
            for step in steps {
                let mut possible = Vec::new();
                fleet.actions(&world, &mut possible);
                if possible.contains(&step) && !matches!(step, Step::HandTimer { .. }) {
                    world = fleet.next_state(&world, step).unwrap_or(world);
                }
            }
        }
        assert_eq!(world.under_way(), 0, "seed {seed}");
        if let Some(Outcome::Completed) = world.outcomes[1] {
            let new = version("new");
            let runs = |m: &Machine| m.disk.as_ref().is_some_and(|disk| disk.runs.as_ref() == Some(&new));
            assert!(world.machines.iter().all(runs), "seed {seed}");
        }
    }
}

/// A command to go back is heard wherever a rollout stands.
#[test]
fn people_can_always_take_it_back() {
    let fleet = Fleet { polls: 200, ..fleet(1, 1, 0, 0, 0) };
    for cut in 0..60 {
        let mut world = fleet.init_states().remove(0);
        let mut turns = 0;
        while world.outcomes[0].is_none() {
            let mut steps = Vec::new();
            fleet.actions(&world, &mut steps);
            let step = steps.swap_remove(turns % steps.len());
            world = fleet.next_state(&world, step).unwrap_or(world);
            turns += 1;
            if turns == cut {
                world.run_conductor(0, Event::Command(Command::RollBack));
            }
            world.polls = 200;
            assert!(turns < 5000, "cut at {cut}: {world:#?}");
        }
        if let Some(Outcome::RolledBack(_, left)) = &world.outcomes[0] {
            let old = version("old");
            let runs = |m: &Machine| m.disk.as_ref().is_none_or(|disk| disk.runs.as_ref() == Some(&old));
            assert!(!left.is_empty() || world.machines.iter().all(runs), "cut at {cut}");
        }
    }
}
