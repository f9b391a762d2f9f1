//! The state machine of a rollout: decides which node receives which request, when a stage is complete, and when the
//! change is rolled back. It has no clock, does no I/O and uses no randomness.
//!
//! The controller knows of a node only what the node's supervisor reported last. A node counts as unavailable
//! while its supervisor cannot be reached, while a step is under way, while its process is not ready, and while
//! another controller directs it; a step is started only while fewer nodes are unavailable than the plan allows.
//! Two controllers running at once therefore never make more nodes unavailable than the limit: each of them
//! counts the nodes that it has not claimed.

use crate::orders::{Generation, Status, SupervisorRequest};
use crate::version::{ApplyMethod, Change, Version};

/// The change, its stages and the limits of a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// The zone of each node, by node index.
    pub zones: Vec<String>,
    /// The version that all nodes are to run, and how it is applied.
    pub change: Change,
    /// For each stage, the nodes that run the change when the stage is complete; each contains the nodes of the
    /// stage before.
    pub stages: Vec<Vec<usize>>,
    /// Maximum number of nodes unavailable at once while the change is rolled out.
    pub max_unavailable: usize,
    /// Maximum number of nodes unavailable at once while the change is rolled back.
    pub max_unavailable_in_rollback: usize,
    /// Number of nodes of a zone that always stay available while the change is rolled out.
    pub min_available_per_zone: usize,
    /// Number of steps that may fail before the change is rolled back.
    pub max_failed_steps: usize,
    /// What happens to a stage that has no conclusive verdict within its maximum watch time.
    pub when_inconclusive: InconclusivePolicy,
}

/// What happens to a stage that has no conclusive verdict within its maximum watch time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InconclusivePolicy {
    /// Hold the stage until there is a verdict or an operator decides.
    #[default]
    Hold,
    /// Roll the change back.
    #[serde(rename = "stop")]
    RollBack,
}

/// The current result of the canary analysis.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// Not enough data for a verdict yet.
    #[default]
    Inconclusive,
    /// There is enough data, and the changed nodes do no worse than allowed.
    Pass,
    /// The changed nodes do worse than the others; the text says in which metric.
    Fail(String),
    /// The whole fleet does worse than before the rollout, which may or may not be due to the change.
    FleetDegraded(String),
}

/// An operator's command to a running rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Command {
    /// Start no further steps.
    Pause,
    /// Continue after a pause.
    Resume,
    /// End the rollout and leave all nodes as they are.
    Stop,
    /// Roll the change back.
    RollBack,
}

/// Timers that the shell runs for the controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Timer {
    /// Supervisors have had their time to answer the claim.
    ClaimTimeout,
    /// The baseline before the first stage is complete.
    Baseline,
    /// The minimum watch time of this stage is over.
    MinWatch(usize),
    /// The maximum watch time of this stage is over.
    MaxWatch(usize),
    /// The whole fleet has been degraded for as long as is tolerated.
    FleetDegraded,
    /// The rollback has had its time.
    RollbackTimeout,
}

/// Input of the controller.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The rollout starts.
    Start,
    /// A supervisor answered.
    StatusReceived {
        /// The supervisor's node.
        node: usize,
        /// The supervisor's answer.
        status: Box<Status>,
        /// Whether this answers a periodic poll; otherwise it answers a claim or another request. Requests that
        /// were lost are sent again only after an answer to a poll.
        polled: bool,
    },
    /// The supervisor of this node does not answer.
    Unreachable(usize),
    /// A timer expired.
    Timer(Timer),
    /// The canary analysis has evaluated the latest statistics.
    Verdict(Verdict),
    /// An operator sent a command.
    Command(Command),
}

/// What the shell is to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Send a request to the supervisor of this node.
    Send(usize, SupervisorRequest),
    /// Start or restart this timer.
    SetTimer(Timer),
    /// Cancel this timer.
    CancelTimer(Timer),
    /// Tell the canary analysis that a node runs the change from now on, or no longer does.
    VersionChanged {
        /// The node.
        node: usize,
        /// Whether the node runs the change.
        changed: bool,
    },
    /// Show a message to operators.
    Note(String),
    /// End the rollout with this outcome.
    End(Outcome),
}

/// How a rollout ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// All nodes run the change, and their supervisors have recorded it as the good version.
    Completed,
    /// The change was rolled back for this reason; the nodes listed are not known to run the old version again.
    RolledBack(String, Vec<usize>),
    /// An operator stopped the rollout.
    Stopped,
    /// A controller of this newer generation has taken over.
    Superseded(Generation),
}

/// The phase of a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Claims were sent to the supervisors.
    Claiming,
    /// The fleet is observed before any node is changed.
    Baseline,
    /// The nodes of this stage are being changed.
    Changing(usize),
    /// The nodes of this stage are changed and are being watched.
    Watching(usize),
    /// All nodes run the change; their supervisors are asked to record it as the good version.
    MarkingGood,
    /// The change is being rolled back for this reason.
    RollingBack(String),
    /// The rollout has ended.
    Ended,
}

/// What the controller knows of a node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Node {
    /// The generation of the controller that directs the node.
    generation: Option<Generation>,
    reachable: bool,
    busy: bool,
    ready: bool,
    running_version: Option<Version>,
    good_version: Option<Version>,
    /// The number and request of the step that was sent to the node, until its result is known.
    pending_step: Option<(u64, SupervisorRequest)>,
    /// Whether the canary analysis counts it as a changed node.
    reported_as_changed: bool,
    fell_back: bool,
    /// The node's last step rolled this change back.
    rolled_back: bool,
    /// The node refused a step or a step failed; it gets no further step until the next answer to a poll.
    suspended: bool,
}

/// The decisions of a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RolloutController {
    settings: Settings,
    generation: Generation,
    nodes: Vec<Node>,
    phase: Phase,
    last_step: u64,
    verdict: Verdict,
    paused: bool,
    /// The minimum watch time of the current stage is over.
    min_watch_over: bool,
    failed_steps: usize,
}

impl RolloutController {
    /// Returns a controller of this generation, whose number must be higher than any that a supervisor has reported.
    #[must_use]
    pub fn new(settings: Settings, generation: Generation) -> Self {
        let nodes = vec![Node::default(); settings.zones.len()];
        Self {
            settings,
            generation,
            nodes,
            phase: Phase::Claiming,
            last_step: 0,
            verdict: Verdict::Inconclusive,
            paused: false,
            min_watch_over: false,
            failed_steps: 0,
        }
    }

    /// The current phase.
    #[must_use]
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Whether an operator has paused the rollout.
    #[must_use]
    pub fn is_paused(&self) -> bool {
        self.paused
    }

    /// Number of nodes that run the change.
    #[must_use]
    pub fn changed_count(&self) -> usize {
        self.nodes.iter().filter(|node| self.runs_change(node)).count()
    }

    /// Nodes that count as unavailable.
    #[must_use]
    pub fn unavailable(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|n| self.is_unavailable(&self.nodes[*n])).collect()
    }

    fn runs_change(&self, node: &Node) -> bool {
        node.running_version.as_ref() == Some(&self.settings.change.version)
    }

    /// Returns whether the node's supervisor can be reached and obeys this controller.
    fn is_claimed(&self, node: &Node) -> bool {
        node.reachable && node.generation == Some(self.generation)
    }

    /// Returns whether a step could be sent to the node: it is claimed and no step is under way.
    fn is_idle(&self, node: &Node) -> bool {
        self.is_claimed(node) && !node.busy && node.pending_step.is_none()
    }

    fn is_unavailable(&self, node: &Node) -> bool {
        !(self.is_idle(node) && node.ready)
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(&mut self, event: Event, actions: &mut Vec<Action>) {
        if self.phase == Phase::Ended {
            return;
        }
        match event {
            Event::Start => {
                for node in 0..self.nodes.len() {
                    actions.push(Action::Send(node, SupervisorRequest::Claim(self.generation)));
                }
                actions.push(Action::SetTimer(Timer::ClaimTimeout));
            }
            Event::StatusReceived { node, status, polled } => self.on_status(node, *status, polled, actions),
            Event::Unreachable(node) => self.nodes[node].reachable = false,
            Event::Timer(timer) => self.on_timer(timer, actions),
            Event::Verdict(verdict) => self.on_verdict(verdict, actions),
            Event::Command(command) => self.on_command(command, actions),
        }
        // A phase may already be complete when it is entered, so advance until the phase no longer changes.
        loop {
            let phase = self.phase.clone();
            self.advance(actions);
            if self.phase == phase {
                break;
            }
        }
    }

    fn on_status(&mut self, at: usize, status: Status, polled: bool, actions: &mut Vec<Action>) {
        if let Some(newer) = status.generation.filter(|other| *other > self.generation) {
            return self.end(Outcome::Superseded(newer), actions);
        }
        let node = &mut self.nodes[at];
        node.reachable = true;
        (node.generation, node.ready, node.busy) = (status.generation, status.ready, status.busy.is_some());
        (node.running_version, node.good_version) = (status.runs, status.good);
        node.suspended &= !polled;
        let fell_back = status.fell_back && !std::mem::replace(&mut node.fell_back, status.fell_back);
        if node.generation != Some(self.generation) {
            // The supervisor has not received the claim, or its disk was restored to an older state.
            if polled {
                actions.push(Action::Send(at, SupervisorRequest::Claim(self.generation)));
            }
            return;
        }
        let reverted = status.last.as_ref().and_then(|last| last.reverted.as_ref());
        node.rolled_back = reverted == Some(&self.settings.change.version);
        if let Some((step, request)) = node.pending_step.clone() {
            let result = status.last.filter(|last| (last.generation, last.step) == (self.generation, step));
            match result {
                Some(result) => {
                    node.pending_step = None;
                    if let Some(why) = result.failed {
                        actions.push(Action::Note(format!("node {at}: the step failed: {why}")));
                        node.suspended = true;
                        if !result.interrupted {
                            self.step_failed(why, actions);
                        }
                    }
                }
                None if status.busy.is_some() => {}
                // The request or its answer was lost.
                None if polled => actions.push(Action::Send(at, request)),
                None => {
                    if let Some(why) = status.refused {
                        (node.pending_step, node.suspended) = (None, true);
                        actions.push(Action::Note(format!("node {at}: its keeper refused: {why}")));
                        self.step_failed(why, actions);
                    }
                }
            }
        }
        let changed = self.runs_change(&self.nodes[at]);
        let settled = !self.nodes[at].busy && self.nodes[at].pending_step.is_none();
        if settled && changed != self.nodes[at].reported_as_changed {
            self.nodes[at].reported_as_changed = changed;
            actions.push(Action::VersionChanged { node: at, changed });
        }
        if polled && self.phase == Phase::MarkingGood {
            self.mark_good(at, actions);
        }
        if fell_back && !matches!(self.phase, Phase::RollingBack(_)) {
            self.roll_back(format!("node {at} fell back by itself: its process kept crashing"), actions);
        }
    }

    fn step_failed(&mut self, why: String, actions: &mut Vec<Action>) {
        self.failed_steps += 1;
        if self.failed_steps > self.settings.max_failed_steps && !matches!(self.phase, Phase::RollingBack(_))
        {
            self.roll_back(format!("a step failed: {why}"), actions);
        }
    }

    fn on_timer(&mut self, timer: Timer, actions: &mut Vec<Action>) {
        match (timer, self.phase.clone()) {
            (Timer::ClaimTimeout, Phase::Claiming) => self.claims_done(actions),
            (Timer::Baseline, Phase::Baseline) => self.enter(Phase::Changing(0), actions),
            (Timer::MinWatch(of), Phase::Watching(stage)) if of == stage => self.min_watch_over = true,
            (Timer::MaxWatch(of), Phase::Watching(stage)) if of == stage => {
                match self.settings.when_inconclusive {
                    // The stage has passed; the rollout continues as soon as it is not paused.
                    _ if self.verdict == Verdict::Pass => {}
                    InconclusivePolicy::RollBack => self
                        .roll_back("no verdict on the stage within its maximum watch time".into(), actions),
                    InconclusivePolicy::Hold => {
                        actions.push(Action::Note(format!(
                            "stage {} cannot be judged yet and is held",
                            stage + 1
                        )));
                    }
                }
            }
            (Timer::FleetDegraded, Phase::Changing(_) | Phase::Watching(_)) => {
                if let Verdict::FleetDegraded(why) = self.verdict.clone() {
                    self.roll_back(format!("all do worse than before, for too long: {why}"), actions);
                }
            }
            (Timer::RollbackTimeout, Phase::RollingBack(why)) => {
                let remaining =
                    (0..self.nodes.len()).filter(|n| !self.is_rolled_back(&self.nodes[*n])).collect();
                self.end(Outcome::RolledBack(why, remaining), actions);
            }
            _ => {}
        }
    }

    fn on_verdict(&mut self, verdict: Verdict, actions: &mut Vec<Action>) {
        let previous = std::mem::replace(&mut self.verdict, verdict);
        let under_way = matches!(self.phase, Phase::Changing(_) | Phase::Watching(_));
        match (&previous, &self.verdict) {
            (_, Verdict::Fail(why)) if under_way => self.roll_back(why.clone(), actions),
            (Verdict::FleetDegraded(_), Verdict::FleetDegraded(_)) => {}
            (_, Verdict::FleetDegraded(why)) if under_way => {
                actions.push(Action::Note(format!("held: all do worse than before: {why}")));
                actions.push(Action::SetTimer(Timer::FleetDegraded));
            }
            (Verdict::FleetDegraded(_), _) => actions.push(Action::CancelTimer(Timer::FleetDegraded)),
            _ => {}
        }
    }

    fn on_command(&mut self, command: Command, actions: &mut Vec<Action>) {
        match command {
            Command::Pause => self.paused = true,
            Command::Resume => self.paused = false,
            Command::Stop => self.end(Outcome::Stopped, actions),
            Command::RollBack if !matches!(self.phase, Phase::RollingBack(_)) => {
                self.roll_back("requested by an operator".into(), actions);
            }
            Command::RollBack => {}
        }
    }

    /// Ends the claiming phase, when all supervisors have answered or the timeout is over. The rollout continues
    /// from what the nodes run, because another controller may have begun it.
    fn claims_done(&mut self, actions: &mut Vec<Action>) {
        let changed = self.changed_count();
        if changed > 0 && self.nodes.iter().any(|node| node.rolled_back) {
            return self.roll_back("a rollback was already under way".into(), actions);
        }
        let next = if changed == 0 { Phase::Baseline } else { self.first_incomplete_stage() };
        if changed > 0 {
            actions
                .push(Action::Note(format!("{changed} nodes run the change already: continuing from there")));
        }
        self.enter(next, actions);
    }

    /// Returns the phase of the first stage in which some node does not run the change yet.
    fn first_incomplete_stage(&self) -> Phase {
        let incomplete = |stage: &Vec<usize>| stage.iter().any(|n| !self.runs_change(&self.nodes[*n]));
        let stage = self.settings.stages.iter().position(incomplete);
        stage.map_or(Phase::MarkingGood, Phase::Changing)
    }

    fn enter(&mut self, phase: Phase, actions: &mut Vec<Action>) {
        actions.push(Action::Note(match &phase {
            Phase::Baseline => "watching the nodes before any is changed".into(),
            Phase::Changing(stage) => {
                format!(
                    "stage {} of {}: {} nodes",
                    stage + 1,
                    self.settings.stages.len(),
                    self.stage_nodes(*stage).len()
                )
            }
            Phase::Watching(stage) => format!("stage {}: all changed, watching", stage + 1),
            Phase::MarkingGood => "all nodes run the new version".into(),
            Phase::RollingBack(why) => format!("going back: {why}"),
            Phase::Claiming | Phase::Ended => String::new(),
        }));
        match &phase {
            Phase::Baseline => actions.push(Action::SetTimer(Timer::Baseline)),
            Phase::Watching(stage) => {
                self.min_watch_over = false;
                if self.verdict == Verdict::Pass {
                    // This verdict was on the previous stage.
                    self.verdict = Verdict::Inconclusive;
                }
                actions.push(Action::SetTimer(Timer::MinWatch(*stage)));
                actions.push(Action::SetTimer(Timer::MaxWatch(*stage)));
            }
            Phase::MarkingGood => (0..self.nodes.len()).for_each(|at| self.mark_good(at, actions)),
            Phase::RollingBack(_) => actions.push(Action::SetTimer(Timer::RollbackTimeout)),
            _ => {}
        }
        self.phase = phase;
    }

    fn stage_nodes(&self, stage: usize) -> &[usize] {
        self.settings.stages.get(stage).map_or(&[], Vec::as_slice)
    }

    fn roll_back(&mut self, why: String, actions: &mut Vec<Action>) {
        self.enter(Phase::RollingBack(why), actions);
    }

    fn end(&mut self, outcome: Outcome, actions: &mut Vec<Action>) {
        self.phase = Phase::Ended;
        actions.push(Action::End(outcome));
    }

    /// Starts the steps that are possible now, and enters the next phase if the current one is complete.
    fn advance(&mut self, actions: &mut Vec<Action>) {
        match self.phase.clone() {
            Phase::Claiming => {
                if self.nodes.iter().all(|node| self.is_claimed(node)) {
                    actions.push(Action::CancelTimer(Timer::ClaimTimeout));
                    self.claims_done(actions);
                }
            }
            Phase::Changing(stage) => {
                let on_hold = self.paused || matches!(self.verdict, Verdict::FleetDegraded(_));
                for at in self.stage_nodes(stage).to_vec() {
                    let node = &self.nodes[at];
                    if !on_hold
                        && !node.suspended
                        && !self.runs_change(node)
                        && !self.is_unavailable(node)
                        && self.within_limits(at)
                    {
                        self.start_step(at, self.settings.change.clone(), false, actions);
                    }
                }
                let done =
                    |n: &usize| self.runs_change(&self.nodes[*n]) && !self.is_unavailable(&self.nodes[*n]);
                if self.stage_nodes(stage).iter().all(done) {
                    self.enter(Phase::Watching(stage), actions);
                }
            }
            Phase::Watching(stage) => {
                if self.min_watch_over && !self.paused && self.verdict == Verdict::Pass {
                    let last = stage + 1 == self.settings.stages.len();
                    self.enter(if last { Phase::MarkingGood } else { Phase::Changing(stage + 1) }, actions);
                }
            }
            Phase::MarkingGood => {
                if self.nodes.iter().all(|node| self.is_marked_good(node)) {
                    self.end(Outcome::Completed, actions);
                }
            }
            Phase::RollingBack(why) => self.advance_rollback(why, actions),
            Phase::Baseline | Phase::Ended => {}
        }
    }

    fn is_marked_good(&self, node: &Node) -> bool {
        node.good_version.as_ref() == Some(&self.settings.change.version)
    }

    /// Asks the node's supervisor to record the change as the good version, unless it has.
    fn mark_good(&self, at: usize, actions: &mut Vec<Action>) {
        if self.runs_change(&self.nodes[at]) && !self.is_marked_good(&self.nodes[at]) {
            let (generation, version) = (self.generation, self.settings.change.version.clone());
            actions.push(Action::Send(at, SupervisorRequest::MarkGood { generation, version }));
        }
    }

    /// Returns whether one more node may become unavailable, and whether enough nodes of this node's zone would
    /// stay available.
    fn within_limits(&self, at: usize) -> bool {
        let zone = &self.settings.zones[at];
        let in_zone = (0..self.nodes.len()).filter(|n| self.settings.zones[*n] == *zone);
        let available = in_zone.filter(|n| !self.is_unavailable(&self.nodes[*n])).count();
        self.unavailable().len() < self.settings.max_unavailable
            && available > self.settings.min_available_per_zone
    }

    fn is_rolled_back(&self, node: &Node) -> bool {
        self.is_idle(node) && !self.runs_change(node)
    }

    /// Rolls back as many nodes as the limit allows. Nodes that are not ready come first: they are unavailable
    /// already, so rolling them back takes no serving capacity.
    fn advance_rollback(&mut self, why: String, actions: &mut Vec<Action>) {
        let mut nodes: Vec<usize> = (0..self.nodes.len()).collect();
        nodes.sort_by_key(|n| self.nodes[*n].ready);
        for at in nodes {
            let node = &self.nodes[at];
            let idle = self.is_idle(node) && !node.suspended;
            let allowed = !node.ready || self.unavailable().len() < self.settings.max_unavailable_in_rollback;
            let old = node.good_version.clone().filter(|good| *good != self.settings.change.version);
            if let Some(version) = old.filter(|_| idle && allowed && self.runs_change(node)) {
                let how = match version.program == self.settings.change.version.program {
                    true => self.settings.change.how,
                    false => ApplyMethod::Replace,
                };
                let change = Change { version, program: None, settings: None, how };
                self.start_step(at, change, true, actions);
            }
        }
        if self.nodes.iter().all(|node| self.is_rolled_back(node)) {
            actions.push(Action::CancelTimer(Timer::RollbackTimeout));
            self.end(Outcome::RolledBack(why, Vec::new()), actions);
        }
    }

    fn start_step(&mut self, at: usize, change: Change, back: bool, actions: &mut Vec<Action>) {
        self.last_step += 1;
        let step = self.last_step;
        let request = SupervisorRequest::ExecuteStep { generation: self.generation, step, change, back };
        self.nodes[at].pending_step = Some((step, request.clone()));
        actions.push(Action::Send(at, request));
    }
}
