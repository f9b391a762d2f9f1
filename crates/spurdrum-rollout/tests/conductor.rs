//! A conductor, told what keepers say.

use spurdrum_rollout::conductor::{
    Action, Command, Event, InconclusivePolicy, Outcome, Phase, RolloutController, Settings, Timer, Verdict,
};
use spurdrum_rollout::orders::{Generation, Status, StepResult, SupervisorRequest};
use spurdrum_rollout::version::{ApplyMethod, Change, Hash, Version};

const NONE: [usize; 0] = [];
const OURS: Generation = Generation { number: 5, controller: 1 };

fn version(name: &str) -> Version {
    Version { program: Hash::unchecked(name), settings: Hash::unchecked("s") }
}

/// A fleet whose keepers do at once what they are told.
struct Fleet {
    conductor: RolloutController,
    statuses: Vec<Status>,
    /// Nodes whose keepers do not answer.
    silent: Vec<usize>,
    /// Nodes that have not ended their steps.
    slow: Vec<usize>,
    outcome: Option<Outcome>,
    timers: Vec<Timer>,
    orders: Vec<(usize, u64, bool)>,
}

impl Fleet {
    fn new(settings: Settings) -> Self {
        let status = |at: usize| Status {
            name: format!("n{at}"),
            runs: Some(version("old")),
            good: Some(version("old")),
            ready: true,
            ..Status::default()
        };
        let statuses = (0..settings.zones.len()).map(status).collect();
        Self {
            conductor: RolloutController::new(settings, OURS),
            statuses,
            silent: Vec::new(),
            slow: Vec::new(),
            outcome: None,
            timers: Vec::new(),
            orders: Vec::new(),
        }
    }

    fn tell(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut actions = Vec::new();
            self.conductor.handle(event, &mut actions);
            for action in actions {
                match action {
                    Action::Send(node, _) if self.silent.contains(&node) => {
                        events.push(Event::Unreachable(node))
                    }
                    Action::Send(node, order) => {
                        self.obey(node, order);
                        let status = Box::new(self.statuses[node].clone());
                        events.push(Event::StatusReceived { node, status, polled: false });
                    }
                    Action::SetTimer(timer) => self.timers.push(timer),
                    Action::CancelTimer(timer) => self.timers.retain(|set| *set != timer),
                    Action::End(outcome) => self.outcome = Some(outcome),
                    Action::VersionChanged { .. } | Action::Note(_) => {}
                }
            }
        }
    }

    fn obey(&mut self, node: usize, order: SupervisorRequest) {
        let slow = self.slow.contains(&node);
        let status = &mut self.statuses[node];
        match order {
            SupervisorRequest::Claim(generation) => status.generation = Some(generation),
            SupervisorRequest::ExecuteStep { generation, step, change, back } => {
                self.orders.push((node, step, back));
                if slow {
                    status.busy = Some(step);
                    return;
                }
                let reverted = status.runs.replace(change.version).filter(|_| back);
                status.last =
                    Some(StepResult { generation, step, reverted, failed: None, interrupted: false });
            }
            SupervisorRequest::MarkGood { version, .. } => status.good = Some(version),
            SupervisorRequest::GetStatus => {}
        }
    }

    /// All are asked how they are.
    fn polled(&mut self) {
        for node in 0..self.statuses.len() {
            let event = match self.silent.contains(&node) {
                true => Event::Unreachable(node),
                false => Event::StatusReceived {
                    node,
                    status: Box::new(self.statuses[node].clone()),
                    polled: true,
                },
            };
            self.tell(event);
        }
    }

    fn over(&mut self, timer: Timer) {
        self.timers.retain(|set| *set != timer);
        self.tell(Event::Timer(timer));
    }

    fn under_way(&mut self) {
        self.tell(Event::Start);
        self.over(Timer::Baseline);
    }

    fn new_nodes(&self) -> Vec<usize> {
        (0..self.statuses.len()).filter(|n| self.statuses[*n].runs == Some(version("new"))).collect()
    }
}

fn settings(nodes: usize, at_once: usize) -> Settings {
    Settings {
        zones: (0..nodes).map(|n| format!("z{}", n % 2)).collect(),
        change: Change { version: version("new"), program: None, settings: None, how: ApplyMethod::Replace },
        stages: vec![vec![0], vec![0, 1, 2], (0..nodes).collect()],
        max_unavailable: at_once,
        max_unavailable_in_rollback: 2 * at_once,
        min_available_per_zone: 1,
        max_failed_steps: 0,
        when_inconclusive: InconclusivePolicy::Hold,
    }
}

#[test]
fn stages_follow_one_another_and_what_runs_at_the_end_is_kept() {
    let mut fleet = Fleet::new(settings(6, 1));
    fleet.under_way();
    for (stage, expected) in [(0, vec![0]), (1, vec![0, 1, 2]), (2, (0..6).collect())] {
        assert_eq!(fleet.new_nodes(), expected);
        assert_eq!(*fleet.conductor.phase(), Phase::Watching(stage));
        fleet.tell(Event::Verdict(Verdict::Pass));
        assert_eq!(*fleet.conductor.phase(), Phase::Watching(stage), "its shortest time is not over");
        fleet.over(Timer::MinWatch(stage));
    }
    assert_eq!(fleet.outcome, Some(Outcome::Completed));
    assert!(fleet.statuses.iter().all(|status| status.good == Some(version("new"))));
}

#[test]
fn worse_takes_all_back_those_that_cannot_serve_first() {
    let mut fleet = Fleet::new(settings(6, 1));
    fleet.under_way();
    fleet.tell(Event::Verdict(Verdict::Pass));
    fleet.over(Timer::MinWatch(0));
    fleet.statuses[2].ready = false;
    fleet.polled();
    fleet.orders.clear();
    fleet.tell(Event::Verdict(Verdict::Fail("it fails".into())));
    fleet.statuses[2].ready = true;
    fleet.polled();
    assert_eq!(fleet.outcome, Some(Outcome::RolledBack("it fails".into(), Vec::new())));
    assert_eq!(fleet.new_nodes(), NONE);
    assert_eq!(fleet.orders[0].0, 2);
    assert!(fleet.orders.iter().all(|(.., back)| *back));
}

#[test]
fn no_more_are_out_than_may_be_whoever_has_them_out() {
    let others = Generation { number: 4, controller: 9 };
    // One does not answer; one is at a step of another conductor's; one cannot serve; one stays with another conductor.
    let spoils: [fn(&mut Fleet); 4] = [
        |fleet| fleet.silent = vec![5],
        |fleet| fleet.statuses[5].busy = Some(3),
        |fleet| fleet.statuses[5].ready = false,
        |fleet| {
            fleet.silent = vec![5];
            fleet.statuses[5].generation = Some(Generation { number: 4, controller: 9 });
        },
    ];
    for (n, spoil) in spoils.iter().enumerate() {
        let mut fleet = Fleet::new(settings(6, 1));
        spoil(&mut fleet);
        fleet.tell(Event::Start);
        if n == 3 {
            // It is heard, but its claim was lost: it may be told anything by the other.
            fleet.silent.clear();
            let status = Box::new(Status { generation: Some(others), ..fleet.statuses[5].clone() });
            fleet.conductor.handle(Event::StatusReceived { node: 5, status, polled: true }, &mut Vec::new());
        }
        fleet.over(Timer::ClaimTimeout);
        fleet.over(Timer::Baseline);
        assert_eq!(fleet.new_nodes(), NONE, "case {n}");
        // It is in again.
        fleet.silent.clear();
        (fleet.statuses[5].busy, fleet.statuses[5].ready) = (None, true);
        fleet.polled();
        assert_eq!(fleet.new_nodes(), [0], "case {n}");
    }
}

#[test]
fn a_step_that_takes_its_time_holds_the_next_one_back() {
    let mut fleet = Fleet::new(settings(6, 1));
    fleet.slow = vec![1];
    fleet.under_way();
    fleet.tell(Event::Verdict(Verdict::Pass));
    fleet.over(Timer::MinWatch(0));
    assert_eq!(fleet.new_nodes(), [0]);
    let step = fleet.statuses[1].busy.expect("under way");
    // Its order was lost with its keeper: it is told again, and the same step.
    fleet.statuses[1].busy = None;
    fleet.polled();
    assert_eq!(fleet.orders.last(), Some(&(1, step, false)));
    // Its keeper was started again, and has undone it: nobody is to blame, and it is ordered anew.
    let failed = Some("cut off".to_owned());
    fleet.statuses[1].last =
        Some(StepResult { generation: OURS, step, reverted: None, failed, interrupted: true });
    fleet.statuses[1].busy = None;
    fleet.slow.clear();
    fleet.polled();
    fleet.polled();
    assert_eq!(fleet.new_nodes(), [0, 1, 2]);
    assert_eq!(fleet.outcome, None);
}

#[test]
fn a_zone_keeps_those_that_must_be_left() {
    // Three of a zone; one is out by itself, so no other may go.
    let mut fleet = Fleet::new(Settings { min_available_per_zone: 2, ..settings(6, 3) });
    fleet.statuses[2].ready = false;
    fleet.under_way();
    assert_eq!(fleet.new_nodes(), NONE, "n0 is of its zone");
    fleet.statuses[2].ready = true;
    fleet.polled();
    assert_eq!(fleet.new_nodes(), [0]);
}

#[test]
fn trouble_of_all_holds_and_only_what_does_not_pass_takes_back() {
    let mut fleet = Fleet::new(settings(6, 1));
    fleet.under_way();
    fleet.tell(Event::Verdict(Verdict::FleetDegraded("refused".into())));
    fleet.over(Timer::MinWatch(0));
    assert_eq!((fleet.new_nodes(), fleet.outcome.clone()), (vec![0], None));
    fleet.tell(Event::Verdict(Verdict::Pass));
    assert!(!fleet.timers.contains(&Timer::FleetDegraded), "it has passed");
    assert_eq!(fleet.new_nodes(), [0, 1, 2]);
    fleet.tell(Event::Verdict(Verdict::FleetDegraded("refused".into())));
    fleet.tell(Event::Verdict(Verdict::FleetDegraded("refused more".into())));
    assert_eq!(fleet.timers.iter().filter(|timer| **timer == Timer::FleetDegraded).count(), 1);
    fleet.over(Timer::FleetDegraded);
    assert!(matches!(fleet.outcome, Some(Outcome::RolledBack(..))));
    assert_eq!(fleet.new_nodes(), NONE);
}

#[test]
fn another_conductor_goes_on_from_what_is_true() {
    let mut fleet = Fleet::new(settings(6, 1));
    for n in 0..2 {
        fleet.statuses[n].runs = Some(version("new"));
    }
    fleet.tell(Event::Start);
    assert_eq!(*fleet.conductor.phase(), Phase::Watching(1), "the second stage lacked one");
    // One that was taking it back is followed by one that does.
    let mut fleet = Fleet::new(settings(6, 1));
    fleet.statuses[0].runs = Some(version("new"));
    let theirs = Generation { number: 4, controller: 9 };
    let reverted = Some(version("new"));
    fleet.statuses[1].last =
        Some(StepResult { generation: theirs, step: 1, reverted, failed: None, interrupted: false });
    fleet.tell(Event::Start);
    assert!(matches!(fleet.outcome, Some(Outcome::RolledBack(..))), "{:?}", fleet.conductor.phase());
    assert_eq!(fleet.new_nodes(), NONE);
}

#[test]
fn a_newer_conductor_is_heard_of_and_this_one_ends() {
    let mut fleet = Fleet::new(settings(6, 1));
    fleet.under_way();
    let newer = Generation { number: 6, controller: 0 };
    fleet.statuses[4].generation = Some(newer);
    fleet.polled();
    assert_eq!(fleet.outcome, Some(Outcome::Superseded(newer)));
    let orders = fleet.orders.len();
    fleet.polled();
    assert_eq!(fleet.orders.len(), orders);
}

#[test]
fn a_keeper_that_refuses_or_a_node_that_went_back_by_itself_stops_it() {
    let mut fleet = Fleet::new(settings(6, 1));
    fleet.tell(Event::Start);
    let mut actions = Vec::new();
    fleet.conductor.handle(Event::Timer(Timer::Baseline), &mut actions);
    assert!(actions.iter().any(|a| matches!(a, Action::Send(0, SupervisorRequest::ExecuteStep { .. }))));
    let refused = Some("its record cannot be written".to_owned());
    let status = Box::new(Status { refused, ..fleet.statuses[0].clone() });
    fleet.tell(Event::StatusReceived { node: 0, status, polled: false });
    assert!(matches!(&fleet.outcome, Some(Outcome::RolledBack(why, _)) if why.contains("record")));

    let mut fleet = Fleet::new(settings(6, 1));
    fleet.under_way();
    (fleet.statuses[0].fell_back, fleet.statuses[0].runs) = (true, Some(version("old")));
    fleet.polled();
    assert!(matches!(&fleet.outcome, Some(Outcome::RolledBack(why, _)) if why.contains("by itself")));
}

#[test]
fn people_may_pause_and_a_stage_that_cannot_be_judged_is_held_or_stopped() {
    for (unjudged, stopped) in [(InconclusivePolicy::Hold, false), (InconclusivePolicy::RollBack, true)] {
        let mut fleet = Fleet::new(Settings { when_inconclusive: unjudged, ..settings(6, 1) });
        fleet.under_way();
        fleet.over(Timer::MinWatch(0));
        fleet.over(Timer::MaxWatch(0));
        assert_eq!(fleet.outcome.is_some(), stopped);
        if !stopped {
            fleet.tell(Event::Command(Command::Pause));
            fleet.tell(Event::Verdict(Verdict::Pass));
            assert_eq!(fleet.new_nodes(), [0]);
            fleet.tell(Event::Command(Command::Resume));
            assert_eq!(fleet.new_nodes(), [0, 1, 2]);
        }
    }
}
