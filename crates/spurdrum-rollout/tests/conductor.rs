//! Tests of the rollout controller against simulated supervisors.

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

/// A controller and a fleet whose supervisors execute each request at once.
struct Fleet {
    controller: RolloutController,
    statuses: Vec<Status>,
    /// Nodes whose supervisors do not answer.
    unreachable: Vec<usize>,
    /// Nodes whose steps stay under way.
    slow: Vec<usize>,
    outcome: Option<Outcome>,
    timers: Vec<Timer>,
    /// Steps that were sent: the node, the number of the step, and whether it rolls the change back.
    steps: Vec<(usize, u64, bool)>,
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
            controller: RolloutController::new(settings, OURS),
            statuses,
            unreachable: Vec::new(),
            slow: Vec::new(),
            outcome: None,
            timers: Vec::new(),
            steps: Vec::new(),
        }
    }

    fn handle(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut actions = Vec::new();
            self.controller.handle(event, &mut actions);
            for action in actions {
                match action {
                    Action::Send(node, _) if self.unreachable.contains(&node) => {
                        events.push(Event::Unreachable(node))
                    }
                    Action::Send(node, request) => {
                        self.execute(node, request);
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

    fn execute(&mut self, node: usize, request: SupervisorRequest) {
        let slow = self.slow.contains(&node);
        let status = &mut self.statuses[node];
        match request {
            SupervisorRequest::Claim(generation) => status.generation = Some(generation),
            SupervisorRequest::ExecuteStep { generation, step, change, back } => {
                self.steps.push((node, step, back));
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

    /// Polls all supervisors once.
    fn poll_all(&mut self) {
        for node in 0..self.statuses.len() {
            let event = match self.unreachable.contains(&node) {
                true => Event::Unreachable(node),
                false => Event::StatusReceived {
                    node,
                    status: Box::new(self.statuses[node].clone()),
                    polled: true,
                },
            };
            self.handle(event);
        }
    }

    fn expire(&mut self, timer: Timer) {
        self.timers.retain(|set| *set != timer);
        self.handle(Event::Timer(timer));
    }

    fn start_first_stage(&mut self) {
        self.handle(Event::Start);
        self.expire(Timer::Baseline);
    }

    fn changed_nodes(&self) -> Vec<usize> {
        (0..self.statuses.len()).filter(|n| self.statuses[*n].runs == Some(version("new"))).collect()
    }
}

fn settings(nodes: usize, max_unavailable: usize) -> Settings {
    Settings {
        zones: (0..nodes).map(|n| format!("z{}", n % 2)).collect(),
        change: Change { version: version("new"), program: None, settings: None, how: ApplyMethod::Replace },
        stages: vec![vec![0], vec![0, 1, 2], (0..nodes).collect()],
        max_unavailable,
        max_unavailable_in_rollback: 2 * max_unavailable,
        min_available_per_zone: 1,
        max_failed_steps: 0,
        when_inconclusive: InconclusivePolicy::Hold,
    }
}

#[test]
fn stages_follow_one_another_and_the_change_is_marked_good_at_the_end() {
    let mut fleet = Fleet::new(settings(6, 1));
    fleet.start_first_stage();
    for (stage, expected) in [(0, vec![0]), (1, vec![0, 1, 2]), (2, (0..6).collect())] {
        assert_eq!(fleet.changed_nodes(), expected);
        assert_eq!(*fleet.controller.phase(), Phase::Watching(stage));
        fleet.handle(Event::Verdict(Verdict::Pass));
        assert_eq!(*fleet.controller.phase(), Phase::Watching(stage), "its minimum watch time is not over");
        fleet.expire(Timer::MinWatch(stage));
    }
    assert_eq!(fleet.outcome, Some(Outcome::Completed));
    assert!(fleet.statuses.iter().all(|status| status.good == Some(version("new"))));
}

#[test]
fn a_failed_verdict_rolls_all_nodes_back_those_that_are_not_ready_first() {
    let mut fleet = Fleet::new(settings(6, 1));
    fleet.start_first_stage();
    fleet.handle(Event::Verdict(Verdict::Pass));
    fleet.expire(Timer::MinWatch(0));
    fleet.statuses[2].ready = false;
    fleet.poll_all();
    fleet.steps.clear();
    fleet.handle(Event::Verdict(Verdict::Fail("it fails".into())));
    fleet.statuses[2].ready = true;
    fleet.poll_all();
    assert_eq!(fleet.outcome, Some(Outcome::RolledBack("it fails".into(), Vec::new())));
    assert_eq!(fleet.changed_nodes(), NONE);
    assert_eq!(fleet.steps[0].0, 2);
    assert!(fleet.steps.iter().all(|(.., back)| *back));
}

#[test]
fn the_unavailability_limit_holds_whatever_makes_nodes_unavailable() {
    let other = Generation { number: 4, controller: 9 };
    // A supervisor does not answer; a step of another controller is under way; a process is not ready; another
    // controller directs the node.
    let faults: [fn(&mut Fleet); 4] = [
        |fleet| fleet.unreachable = vec![5],
        |fleet| fleet.statuses[5].busy = Some(3),
        |fleet| fleet.statuses[5].ready = false,
        |fleet| {
            fleet.unreachable = vec![5];
            fleet.statuses[5].generation = Some(Generation { number: 4, controller: 9 });
        },
    ];
    for (n, make_unavailable) in faults.iter().enumerate() {
        let mut fleet = Fleet::new(settings(6, 1));
        make_unavailable(&mut fleet);
        fleet.handle(Event::Start);
        if n == 3 {
            // Its supervisor can be reached, but the claim was lost: the other controller may still start a step there.
            fleet.unreachable.clear();
            let status = Box::new(Status { generation: Some(other), ..fleet.statuses[5].clone() });
            fleet.controller.handle(Event::StatusReceived { node: 5, status, polled: true }, &mut Vec::new());
        }
        fleet.expire(Timer::ClaimTimeout);
        fleet.expire(Timer::Baseline);
        assert_eq!(fleet.changed_nodes(), NONE, "case {n}");
        // The node is available again.
        fleet.unreachable.clear();
        (fleet.statuses[5].busy, fleet.statuses[5].ready) = (None, true);
        fleet.poll_all();
        assert_eq!(fleet.changed_nodes(), [0], "case {n}");
    }
}

#[test]
fn a_slow_step_delays_the_next_one_and_a_lost_or_interrupted_step_is_repeated() {
    let mut fleet = Fleet::new(settings(6, 1));
    fleet.slow = vec![1];
    fleet.start_first_stage();
    fleet.handle(Event::Verdict(Verdict::Pass));
    fleet.expire(Timer::MinWatch(0));
    assert_eq!(fleet.changed_nodes(), [0]);
    let step = fleet.statuses[1].busy.expect("under way");
    // The request was lost with the node's supervisor: it is sent again with the same step number.
    fleet.statuses[1].busy = None;
    fleet.poll_all();
    assert_eq!(fleet.steps.last(), Some(&(1, step, false)));
    // The supervisor was restarted and has undone the step: that does not count as a failure, and a new step is sent.
    let failed = Some("interrupted".to_owned());
    fleet.statuses[1].last =
        Some(StepResult { generation: OURS, step, reverted: None, failed, interrupted: true });
    fleet.statuses[1].busy = None;
    fleet.slow.clear();
    fleet.poll_all();
    fleet.poll_all();
    assert_eq!(fleet.changed_nodes(), [0, 1, 2]);
    assert_eq!(fleet.outcome, None);
}

#[test]
fn a_zone_keeps_its_minimum_of_available_nodes() {
    // Of the three nodes of a zone one is not ready, so no other may become unavailable.
    let mut fleet = Fleet::new(Settings { min_available_per_zone: 2, ..settings(6, 3) });
    fleet.statuses[2].ready = false;
    fleet.start_first_stage();
    assert_eq!(fleet.changed_nodes(), NONE, "n0 is in the same zone");
    fleet.statuses[2].ready = true;
    fleet.poll_all();
    assert_eq!(fleet.changed_nodes(), [0]);
}

#[test]
fn a_degraded_fleet_holds_the_rollout_and_only_a_lasting_degradation_rolls_it_back() {
    let mut fleet = Fleet::new(settings(6, 1));
    fleet.start_first_stage();
    fleet.handle(Event::Verdict(Verdict::FleetDegraded("refused".into())));
    fleet.expire(Timer::MinWatch(0));
    assert_eq!((fleet.changed_nodes(), fleet.outcome.clone()), (vec![0], None));
    fleet.handle(Event::Verdict(Verdict::Pass));
    assert!(!fleet.timers.contains(&Timer::FleetDegraded), "the degradation has passed");
    assert_eq!(fleet.changed_nodes(), [0, 1, 2]);
    fleet.handle(Event::Verdict(Verdict::FleetDegraded("refused".into())));
    fleet.handle(Event::Verdict(Verdict::FleetDegraded("refused more".into())));
    assert_eq!(fleet.timers.iter().filter(|timer| **timer == Timer::FleetDegraded).count(), 1);
    fleet.expire(Timer::FleetDegraded);
    assert!(matches!(fleet.outcome, Some(Outcome::RolledBack(..))));
    assert_eq!(fleet.changed_nodes(), NONE);
}

#[test]
fn another_controller_continues_from_what_the_nodes_run() {
    let mut fleet = Fleet::new(settings(6, 1));
    for n in 0..2 {
        fleet.statuses[n].runs = Some(version("new"));
    }
    fleet.handle(Event::Start);
    assert_eq!(*fleet.controller.phase(), Phase::Watching(1), "one node of the second stage was missing");
    // A controller that follows one which was rolling the change back continues the rollback.
    let mut fleet = Fleet::new(settings(6, 1));
    fleet.statuses[0].runs = Some(version("new"));
    let earlier = Generation { number: 4, controller: 9 };
    let reverted = Some(version("new"));
    fleet.statuses[1].last =
        Some(StepResult { generation: earlier, step: 1, reverted, failed: None, interrupted: false });
    fleet.handle(Event::Start);
    assert!(matches!(fleet.outcome, Some(Outcome::RolledBack(..))), "{:?}", fleet.controller.phase());
    assert_eq!(fleet.changed_nodes(), NONE);
}

#[test]
fn a_controller_ends_when_it_learns_of_a_newer_one() {
    let mut fleet = Fleet::new(settings(6, 1));
    fleet.start_first_stage();
    let newer = Generation { number: 6, controller: 0 };
    fleet.statuses[4].generation = Some(newer);
    fleet.poll_all();
    assert_eq!(fleet.outcome, Some(Outcome::Superseded(newer)));
    let steps = fleet.steps.len();
    fleet.poll_all();
    assert_eq!(fleet.steps.len(), steps);
}

#[test]
fn a_refused_step_or_a_node_that_fell_back_by_itself_causes_a_rollback() {
    let mut fleet = Fleet::new(settings(6, 1));
    fleet.handle(Event::Start);
    let mut actions = Vec::new();
    fleet.controller.handle(Event::Timer(Timer::Baseline), &mut actions);
    assert!(actions.iter().any(|a| matches!(a, Action::Send(0, SupervisorRequest::ExecuteStep { .. }))));
    let refused = Some("its record cannot be written".to_owned());
    let status = Box::new(Status { refused, ..fleet.statuses[0].clone() });
    fleet.handle(Event::StatusReceived { node: 0, status, polled: false });
    assert!(matches!(&fleet.outcome, Some(Outcome::RolledBack(why, _)) if why.contains("record")));

    let mut fleet = Fleet::new(settings(6, 1));
    fleet.start_first_stage();
    (fleet.statuses[0].fell_back, fleet.statuses[0].runs) = (true, Some(version("old")));
    fleet.poll_all();
    assert!(matches!(&fleet.outcome, Some(Outcome::RolledBack(why, _)) if why.contains("by itself")));
}

#[test]
fn operators_may_pause_and_an_inconclusive_stage_is_held_or_rolled_back() {
    for (when_inconclusive, rolled_back) in
        [(InconclusivePolicy::Hold, false), (InconclusivePolicy::RollBack, true)]
    {
        let mut fleet = Fleet::new(Settings { when_inconclusive, ..settings(6, 1) });
        fleet.start_first_stage();
        fleet.expire(Timer::MinWatch(0));
        fleet.expire(Timer::MaxWatch(0));
        assert_eq!(fleet.outcome.is_some(), rolled_back);
        if !rolled_back {
            fleet.handle(Event::Command(Command::Pause));
            fleet.handle(Event::Verdict(Verdict::Pass));
            assert_eq!(fleet.changed_nodes(), [0]);
            fleet.handle(Event::Command(Command::Resume));
            assert_eq!(fleet.changed_nodes(), [0, 1, 2]);
        }
    }
}
