//! Model check of controllers and supervisors over all orders of messages, losses, crashes and timers. It runs
//! the real `handle` of both, with three nodes, two stages and up to two controllers.

use std::collections::BTreeSet;

use spurdrum_keeper::hand::{
    Action as SupervisorAction, Event as SupervisorEvent, Record, Supervisor, Timer as SupervisorTimer,
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

fn settings(max_unavailable: usize) -> Settings {
    let change = Change { version: version("new"), program: None, settings: None, how: ApplyMethod::Replace };
    Settings {
        zones: vec!["a".into(); NODES],
        change,
        stages: vec![vec![0], vec![0, 1, 2]],
        max_unavailable,
        max_unavailable_in_rollback: max_unavailable,
        min_available_per_zone: 1,
        max_failed_steps: 0,
        when_inconclusive: InconclusivePolicy::Hold,
    }
}

/// A machine: the record on its disk, its supervisor while that runs, and its processes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Machine {
    disk: Option<Record>,
    supervisor: Option<Supervisor>,
    /// The version of the process in each slot.
    processes: [Option<Version>; 2],
    /// Running timers.
    timers: BTreeSet<SupervisorTimer>,
    /// Whether files are being fetched.
    fetching: bool,
    /// Number of steps that began by a request of a generation other than the one that had claimed the node; must
    /// stay 0.
    foreign_steps: u8,
}

/// A message in transit, as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Request { from: usize, to: usize, request: Text },
    Answer { from: usize, to: usize, status: Text },
}

/// The text of a message. Unlike the parsed message it can be ordered, which the set of messages needs.
type Text = String;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    controllers: Vec<Option<RolloutController>>,
    outcomes: Vec<Option<Outcome>>,
    timers: Vec<BTreeSet<Timer>>,
    machines: Vec<Machine>,
    network: BTreeSet<Message>,
    /// How many messages may still be lost, controllers or supervisors killed, failed verdicts or ready timeouts
    /// occur, and polls be made.
    losses: u8,
    deaths: u8,
    failures: u8,
    polls: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Deliver(Message),
    Lose(Message),
    Poll { controller: usize, node: usize },
    Timer { controller: usize, timer: Timer },
    Verdict { controller: usize, pass: bool },
    Fetched { node: usize, intact: bool },
    Ready { node: usize },
    Exited { node: usize, slot: usize },
    SupervisorTimer { node: usize, timer: SupervisorTimer },
    KillSupervisor { node: usize },
    KillController { controller: usize },
    StartSupervisor { node: usize },
    StartController { controller: usize },
}

struct Fleet {
    max_unavailable: usize,
    controllers: usize,
    losses: u8,
    deaths: u8,
    failures: u8,
    polls: u8,
    /// Whether all reachable states are checked rather than the first ones.
    exhaustive: bool,
    /// Whether to check that the rollout can be completed and that it can be rolled back.
    check_reachable: bool,
}

impl World {
    fn run_controller(&mut self, at: usize, event: Event) {
        let Some(controller) = &mut self.controllers[at] else { return };
        let mut actions = Vec::new();
        controller.handle(event, &mut actions);
        for action in actions {
            match action {
                Action::Send(to, request) => {
                    let request = serde_json::to_string(&request).expect("a request");
                    self.network.insert(Message::Request { from: at, to, request });
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

    /// Returns the supervisor's reply, if there is one.
    fn run_supervisor(&mut self, at: usize, event: SupervisorEvent) -> Option<Option<String>> {
        let mut reply = None;
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let machine = &mut self.machines[at];
            let Some(supervisor) = &mut machine.supervisor else { return reply };
            let mut actions = Vec::new();
            supervisor.handle(event, &mut actions);
            for action in actions {
                match action {
                    SupervisorAction::WriteRecord(record) => {
                        machine.disk = Some(*record);
                        // The result of the write is handled before any other event, as in the shell.
                        let supervisor =
                            machine.supervisor.as_mut().expect("the supervisor has just written");
                        let mut more = Vec::new();
                        supervisor.handle(SupervisorEvent::RecordWritten, &mut more);
                        for action in more {
                            machine.execute(action, &mut reply);
                        }
                    }
                    other => machine.execute(other, &mut reply),
                }
            }
        }
        reply
    }

    fn status(&self, at: usize, refused: Option<String>) -> Option<Status> {
        let supervisor = self.machines[at].supervisor.as_ref()?;
        Some(supervisor.status(&format!("n{at}"), refused))
    }

    /// Number of steps under way. Counted on the disks, because a step outlives the supervisor's process.
    fn steps_under_way(&self) -> usize {
        self.machines.iter().filter(|m| m.disk.as_ref().is_some_and(|disk| disk.step.is_some())).count()
    }
}

impl Machine {
    fn execute(&mut self, action: SupervisorAction, reply: &mut Option<Option<String>>) {
        match action {
            SupervisorAction::WriteRecord(record) => self.disk = Some(*record),
            SupervisorAction::Reply(refused) => *reply = Some(refused),
            SupervisorAction::Fetch(_) => self.fetching = true,
            SupervisorAction::Start(slot, version) => self.processes[slot] = Some(version),
            // The exit is a step of the model, so that it happens at any time.
            SupervisorAction::Terminate(_) => {}
            SupervisorAction::Kill(slot) => self.processes[slot] = None,
            SupervisorAction::SetTimer(timer) => drop(self.timers.insert(timer)),
            SupervisorAction::CancelTimer(timer) => drop(self.timers.remove(&timer)),
            SupervisorAction::Reload(..) | SupervisorAction::Prune(_) | SupervisorAction::Note(_) => {}
        }
    }

    fn serving_slot(&self) -> Option<usize> {
        self.supervisor.as_ref().and_then(Supervisor::serving_slot)
    }
}

impl Model for Fleet {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let machine = Machine {
            disk: None,
            supervisor: Some(Supervisor::new(None, version("old"))),
            processes: [Some(version("old")), None],
            timers: BTreeSet::new(),
            fetching: false,
            foreign_steps: 0,
        };
        let mut world = World {
            controllers: vec![None; self.controllers],
            outcomes: vec![None; self.controllers],
            timers: vec![BTreeSet::new(); self.controllers],
            machines: vec![machine; NODES],
            network: BTreeSet::new(),
            losses: self.losses,
            deaths: self.deaths,
            failures: self.failures,
            polls: self.polls,
        };
        for at in 0..NODES {
            world.run_supervisor(at, SupervisorEvent::ProcessesFound(vec![(0, version("old"))]));
            world.run_supervisor(at, SupervisorEvent::Ready(0));
            world.machines[at].timers.clear();
        }
        world.controllers[0] = Some(RolloutController::new(
            settings(self.max_unavailable),
            Generation { number: 1, controller: 0 },
        ));
        world.run_controller(0, Event::Start);
        vec![world]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        for message in &world.network {
            steps.push(Step::Deliver(message.clone()));
            if world.losses > 0 {
                steps.push(Step::Lose(message.clone()));
            }
        }
        for (at, controller) in world.controllers.iter().enumerate() {
            let ended = world.outcomes[at].is_some();
            match controller {
                Some(_) if !ended => {
                    if world.polls > 0 && (self.polls > 4 || world.network.is_empty()) {
                        steps.extend((0..NODES).map(|node| Step::Poll { controller: at, node }));
                    }
                    steps.extend(
                        world.timers[at].iter().map(|timer| Step::Timer { controller: at, timer: *timer }),
                    );
                    steps.push(Step::Verdict { controller: at, pass: true });
                    if world.failures > 0 {
                        steps.push(Step::Verdict { controller: at, pass: false });
                    }
                    if world.deaths > 0 {
                        steps.push(Step::KillController { controller: at });
                    }
                }
                None if at > 0 && world.outcomes[at].is_none() => {
                    steps.push(Step::StartController { controller: at });
                }
                _ => {}
            }
        }
        for (node, machine) in world.machines.iter().enumerate() {
            let Some(supervisor) = &machine.supervisor else {
                steps.push(Step::StartSupervisor { node });
                continue;
            };
            if machine.fetching {
                steps.push(Step::Fetched { node, intact: true });
            }
            if supervisor.starting_slot().is_some_and(|slot| machine.processes[slot].is_some()) {
                steps.push(Step::Ready { node });
            }
            // The process that was told to terminate exits.
            if supervisor.is_busy() {
                let serving = machine.serving_slot();
                let other = (0..2).find(|slot| Some(*slot) != serving && machine.processes[*slot].is_some());
                if let Some(slot) = other.filter(|slot| supervisor.starting_slot() != Some(*slot)) {
                    steps.push(Step::Exited { node, slot });
                }
            }
            if machine.timers.contains(&SupervisorTimer::ReadyTimeout) && world.failures > 0 {
                steps.push(Step::SupervisorTimer { node, timer: SupervisorTimer::ReadyTimeout });
            }
            if world.deaths > 0 {
                steps.push(Step::KillSupervisor { node });
            }
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        match step {
            Step::Deliver(message) => {
                world.network.remove(&message);
                match message {
                    Message::Request { from, to, request } => {
                        let request: SupervisorRequest = serde_json::from_str(&request).expect("a request");
                        let generation = match &request {
                            SupervisorRequest::ExecuteStep { generation, .. } => Some(*generation),
                            _ => None,
                        };
                        let before = world.machines[to].disk.clone().unwrap_or_default();
                        if let Some(refused) = world.run_supervisor(to, SupervisorEvent::Request(request)) {
                            let after = world.machines[to].disk.clone().unwrap_or_default();
                            let begun = before.step.is_none() && after.step.is_some();
                            if begun && generation != before.generation {
                                world.machines[to].foreign_steps += 1;
                            }
                            if let Some(status) = world.status(to, refused) {
                                let status = serde_json::to_string(&status).expect("a status");
                                world.network.insert(Message::Answer { from: to, to: from, status });
                            }
                        }
                    }
                    Message::Answer { from, to, status } => {
                        let status = serde_json::from_str(&status).expect("a status");
                        world.run_controller(to, Event::StatusReceived { node: from, status, polled: false });
                    }
                }
            }
            Step::Lose(message) => {
                world.network.remove(&message);
                world.losses -= 1;
            }
            Step::Poll { controller, node } => {
                world.polls -= 1;
                let event = match world.status(node, None) {
                    Some(status) => Event::StatusReceived { node, status: Box::new(status), polled: true },
                    None => Event::Unreachable(node),
                };
                world.run_controller(controller, event);
            }
            Step::Timer { controller, timer } => {
                world.timers[controller].remove(&timer);
                world.run_controller(controller, Event::Timer(timer));
            }
            Step::Verdict { controller, pass } => {
                let verdict = if pass { Verdict::Pass } else { Verdict::Fail("worse".into()) };
                world.failures -= u8::from(verdict != Verdict::Pass);
                world.run_controller(controller, Event::Verdict(verdict));
            }
            Step::Fetched { node, intact } => {
                world.machines[node].fetching = false;
                let fetched = if intact { Ok(()) } else { Err("the file is missing".into()) };
                world.run_supervisor(node, SupervisorEvent::Fetched(fetched));
            }
            Step::Ready { node } => {
                let slot = world.machines[node].supervisor.as_ref().and_then(Supervisor::starting_slot)?;
                world.run_supervisor(node, SupervisorEvent::Ready(slot));
            }
            Step::Exited { node, slot } => {
                world.machines[node].processes[slot] = None;
                world.run_supervisor(node, SupervisorEvent::Exited(slot));
            }
            Step::SupervisorTimer { node, timer } => {
                world.failures -= 1;
                world.machines[node].timers.remove(&timer);
                world.run_supervisor(node, SupervisorEvent::Timer(timer));
            }
            Step::KillSupervisor { node } => {
                world.deaths -= 1;
                let machine = &mut world.machines[node];
                machine.supervisor = None;
                machine.timers.clear();
                machine.fetching = false;
            }
            Step::StartSupervisor { node } => {
                let machine = &mut world.machines[node];
                machine.supervisor = Some(Supervisor::new(machine.disk.clone(), version("old")));
                let runs = machine.processes.iter().enumerate();
                let found = runs.filter_map(|(slot, p)| p.clone().map(|version| (slot, version))).collect();
                world.run_supervisor(node, SupervisorEvent::ProcessesFound(found));
                if let Some(slot) = world.machines[node].serving_slot() {
                    world.run_supervisor(node, SupervisorEvent::Ready(slot));
                }
            }
            Step::KillController { controller } => {
                world.deaths -= 1;
                world.controllers[controller] = None;
                // The first controller is not started again; the second one is.
                world.outcomes[controller] = (controller == 0).then_some(Outcome::Stopped);
                world.timers[controller].clear();
            }
            Step::StartController { controller } => {
                let reported = (0..NODES).filter_map(|node| world.status(node, None)?.generation);
                let number = reported.map(|generation| generation.number).max().unwrap_or(0) + 1;
                // Each start of a controller gets another identifier.
                let identifier = controller as u64 + 10 * u64::from(self.deaths - world.deaths);
                let generation = Generation { number, controller: identifier };
                world.controllers[controller] =
                    Some(RolloutController::new(settings(self.max_unavailable), generation));
                world.run_controller(controller, Event::Start);
            }
        }
        // Drops replies to a controller that does not run any more.
        world.network.retain(|message| match message {
            Message::Answer { to, .. } => is_running(&last.outcomes, &world.outcomes, *to),
            Message::Request { .. } => true,
        });
        (world != *last).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        let mut properties = vec![
            Property::always("never more steps under way than allowed", |fleet: &Fleet, world: &World| {
                world.steps_under_way() <= fleet.max_unavailable
            }),
            Property::always("no request of another generation is executed", |_, world: &World| {
                world.machines.iter().all(|machine| machine.foreign_steps == 0)
            }),
            Property::always("a node always has a process", |_, world: &World| {
                world.machines.iter().all(|machine| machine.processes.iter().any(Option::is_some))
            }),
            Property::always("a completed rollout is marked good on all nodes", |_, world: &World| {
                let completed = world.outcomes.contains(&Some(Outcome::Completed));
                let new = version("new");
                let is_good =
                    |m: &Machine| m.disk.as_ref().is_some_and(|disk| disk.good.as_ref() == Some(&new));
                !completed || world.machines.iter().all(is_good)
            }),
        ];
        if self.check_reachable {
            properties.push(Property::sometimes("the rollout can be completed", |_, world: &World| {
                world.outcomes.contains(&Some(Outcome::Completed))
            }));
            properties.push(Property::sometimes("the rollout can be rolled back", |_, world: &World| {
                world.outcomes.iter().flatten().any(|outcome| matches!(outcome, Outcome::RolledBack(..)))
            }));
        }
        properties
    }
}

fn is_running(before: &[Option<Outcome>], now: &[Option<Outcome>], at: usize) -> bool {
    before[at].is_none() && now[at].is_none()
}

fn check(name: &str, fleet: Fleet) {
    let max_states = if fleet.exhaustive { usize::MAX } else { MAX_STATES };
    let checker = fleet.checker().threads(2).target_state_count(max_states).spawn_bfs().join();
    println!("{name}: {} states, {} of them different", checker.state_count(), checker.unique_state_count());
    checker.assert_properties();
}

/// Number of states to check where checking all of them would take more than a few seconds.
const MAX_STATES: usize = 200_000;

fn fleet(max_unavailable: usize, controllers: usize, losses: u8, deaths: u8, failures: u8) -> Fleet {
    Fleet {
        max_unavailable,
        controllers,
        losses,
        deaths,
        failures,
        polls: 4,
        exhaustive: false,
        check_reachable: false,
    }
}

#[test]
fn one_controller() {
    check("one", Fleet { exhaustive: true, check_reachable: true, ..fleet(1, 1, 0, 0, 1) });
}

#[test]
fn messages_are_lost_and_supervisors_and_controllers_die() {
    check("losses", fleet(1, 1, 2, 0, 1));
    check("deaths", fleet(1, 2, 0, 2, 1));
}

#[test]
fn two_controllers_at_once() {
    check("two", fleet(1, 2, 1, 0, 0));
    check("two, with two nodes unavailable at once", fleet(2, 2, 0, 0, 1));
}

/// Takes minutes and gigabytes: `cargo test --release -p spurdrum-keeper --test model -- --ignored --nocapture`.
#[test]
#[ignore = "takes minutes"]
fn all_reachable_states() {
    check("losses", Fleet { exhaustive: true, ..fleet(1, 1, 1, 0, 1) });
    check("deaths", Fleet { exhaustive: true, polls: 2, ..fleet(1, 1, 0, 1, 1) });
    check("two", Fleet { exhaustive: true, polls: 0, ..fleet(1, 2, 0, 0, 0) });
}

/// Takes at most this many random steps and calls `inspect` after each.
fn walk(
    fleet: &Fleet,
    world: &mut World,
    rng: &mut fastrand::Rng,
    max_steps: usize,
    mut inspect: impl FnMut(&World),
) {
    for _ in 0..max_steps {
        let mut steps = Vec::new();
        fleet.actions(world, &mut steps);
        if steps.is_empty() {
            return;
        }
        let step = steps.swap_remove(rng.usize(..steps.len()));
        if let Some(next) = fleet.next_state(world, step) {
            *world = next;
        }
        inspect(world);
    }
}

/// The properties hold along random walks, which go deeper than a check of all states can.
#[test]
fn random_walks_violate_no_property() {
    let mut steps_taken = 0;
    for seed in 0..6_000_u64 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let max_unavailable = 1 + rng.usize(..2);
        let draw = |rng: &mut fastrand::Rng| rng.u8(..3);
        let (losses, deaths) = (draw(&mut rng), draw(&mut rng));
        let fleet = Fleet { polls: 20, ..fleet(max_unavailable, 2, losses, deaths, 1) };
        let mut world = fleet.init_states().remove(0);
        walk(&fleet, &mut world, &mut rng, 150, |world| {
            steps_taken += 1;
            for property in fleet.properties() {
                assert!((property.condition)(&fleet, world), "seed {seed}: {}: {world:#?}", property.name);
            }
        });
    }
    println!("walks: {steps_taken} steps");
    assert!(steps_taken > 100_000);
}

/// From any state that a random walk reaches, the rollout ends once messages are delivered and nothing crashes
/// any more; from there, all possible steps are taken in turn.
#[test]
fn the_rollout_ends_once_messages_are_delivered() {
    for seed in 0..300 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let fleet = Fleet { polls: 40, ..fleet(1, 2, 3, 3, 1) };
        let mut world = fleet.init_states().remove(0);
        let max_steps = rng.usize(..120);
        walk(&fleet, &mut world, &mut rng, max_steps, |_| {});
        (world.losses, world.deaths, world.failures) = (0, 0, 0);
        let mut rounds = 0;
        while world.outcomes.iter().any(Option::is_none) {
            rounds += 1;
            assert!(rounds < 400, "seed {seed}: the rollout does not end: {world:#?}");
            world.polls = 40;
            let mut steps = Vec::new();
            fleet.actions(&world, &mut steps);
            // The messages in transit come before the polls in this list.
            for step in steps {
                let mut possible = Vec::new();
                fleet.actions(&world, &mut possible);
                if possible.contains(&step) && !matches!(step, Step::SupervisorTimer { .. }) {
                    world = fleet.next_state(&world, step).unwrap_or(world);
                }
            }
        }
        assert_eq!(world.steps_under_way(), 0, "seed {seed}");
        if let Some(Outcome::Completed) = world.outcomes[1] {
            let new = version("new");
            let runs = |m: &Machine| m.disk.as_ref().is_some_and(|disk| disk.runs.as_ref() == Some(&new));
            assert!(world.machines.iter().all(runs), "seed {seed}");
        }
    }
}

/// A rollback can be requested in any phase of the rollout.
#[test]
fn operators_can_always_roll_back() {
    let fleet = Fleet { polls: 200, ..fleet(1, 1, 0, 0, 0) };
    for rollback_after in 0..60 {
        let mut world = fleet.init_states().remove(0);
        let mut rounds = 0;
        while world.outcomes[0].is_none() {
            let mut steps = Vec::new();
            fleet.actions(&world, &mut steps);
            let step = steps.swap_remove(rounds % steps.len());
            world = fleet.next_state(&world, step).unwrap_or(world);
            rounds += 1;
            if rounds == rollback_after {
                world.run_controller(0, Event::Command(Command::RollBack));
            }
            world.polls = 200;
            assert!(rounds < 5000, "rollback after {rollback_after} steps: {world:#?}");
        }
        if let Some(Outcome::RolledBack(_, remaining)) = &world.outcomes[0] {
            let old = version("old");
            let runs = |m: &Machine| m.disk.as_ref().is_none_or(|disk| disk.runs.as_ref() == Some(&old));
            assert!(
                !remaining.is_empty() || world.machines.iter().all(runs),
                "rollback after {rollback_after} steps"
            );
        }
    }
}
