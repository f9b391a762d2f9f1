//! The state machine of a rollout: decides which node receives which request, when a stage is complete, and when the
//! change is rolled back. It has no clock, does no I/O and uses no randomness.
//!
//! The controller knows of a node only what the node's supervisor reported last. A node counts as unavailable while its
//! supervisor cannot be reached, while a step is under way, while its process is not ready, and while another controller
//! directs it; a step is started only while fewer nodes are unavailable than the plan allows. Two controllers running at
//! once therefore never make more nodes unavailable than the limit: each of them counts the nodes that it has not claimed.

use crate::orders::{Generation, Status, SupervisorRequest};
use crate::version::{ApplyMethod, Change, Version};

/// The change, its stages and the limits of a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// The zone of each node, by node index.
    pub zones: Vec<String>,
    /// The version that all nodes are to run, and how it is applied.
    pub change: Change,
    /// For each stage, the nodes that run the change when the stage is complete; each contains the nodes of the stage before.
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
        /// Whether this answers a periodic poll; otherwise it answers a claim or another request. Requests that were lost are sent
        /// again only after an answer to a poll.
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

    /// Where it is.
    #[must_use]
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Whether people have it paused.
    #[must_use]
    pub fn is_paused(&self) -> bool {
        self.paused
    }

    /// Nodes that run the change.
    #[must_use]
    pub fn changed_count(&self) -> usize {
        self.nodes.iter().filter(|node| self.is_new(node)).count()
    }

    /// Nodes that count as out.
    #[must_use]
    pub fn unavailable(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|n| self.is_out(&self.nodes[*n])).collect()
    }

    fn is_new(&self, node: &Node) -> bool {
        node.running_version.as_ref() == Some(&self.settings.change.version)
    }

    /// Whether its keeper is heard, and obeys this conductor.
    fn is_claimed(&self, node: &Node) -> bool {
        node.reachable && node.generation == Some(self.generation)
    }

    /// Whether it could be told a step.
    fn is_idle(&self, node: &Node) -> bool {
        self.is_claimed(node) && !node.busy && node.pending_step.is_none()
    }

    fn is_out(&self, node: &Node) -> bool {
        !(self.is_idle(node) && node.ready)
    }

    /// Handles what happened.
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
            Event::StatusReceived { node, status, polled } => self.said(node, *status, polled, actions),
            Event::Unreachable(node) => self.nodes[node].reachable = false,
            Event::Timer(timer) => self.timer(timer, actions),
            Event::Verdict(verdict) => self.judged(verdict, actions),
            Event::Command(command) => self.command(command, actions),
        }
        // Each phase may be over as it begins.
        loop {
            let phase = self.phase.clone();
            self.go_on(actions);
            if self.phase == phase {
                break;
            }
        }
    }

    fn said(&mut self, at: usize, status: Status, polled: bool, actions: &mut Vec<Action>) {
        if let Some(other) = status.generation.filter(|other| *other > self.generation) {
            return self.end(Outcome::Superseded(other), actions);
        }
        let node = &mut self.nodes[at];
        node.reachable = true;
        (node.generation, node.ready, node.busy) = (status.generation, status.ready, status.busy.is_some());
        (node.running_version, node.good_version) = (status.runs, status.good);
        node.suspended &= !polled;
        let fell = status.fell_back && !std::mem::replace(&mut node.fell_back, status.fell_back);
        if node.generation != Some(self.generation) {
            // A keeper that was given back an older disk, or had not answered.
            if polled {
                actions.push(Action::Send(at, SupervisorRequest::Claim(self.generation)));
            }
            return;
        }
        let reverted = status.last.as_ref().and_then(|last| last.reverted.as_ref());
        node.rolled_back = reverted == Some(&self.settings.change.version);
        if let Some((step, order)) = node.pending_step.clone() {
            let ended = status.last.filter(|last| (last.generation, last.step) == (self.generation, step));
            match ended {
                Some(done) => {
                    node.pending_step = None;
                    if let Some(why) = done.failed {
                        actions.push(Action::Note(format!("node {at}: the step failed: {why}")));
                        node.suspended = true;
                        if !done.interrupted {
                            self.failed(why, actions);
                        }
                    }
                }
                None if status.busy.is_some() => {}
                // The order, or its answer, was lost.
                None if polled => actions.push(Action::Send(at, order)),
                None => {
                    if let Some(why) = status.refused {
                        (node.pending_step, node.suspended) = (None, true);
                        actions.push(Action::Note(format!("node {at}: its keeper refused: {why}")));
                        self.failed(why, actions);
                    }
                }
            }
        }
        let new = self.is_new(&self.nodes[at]);
        let settled = !self.nodes[at].busy && self.nodes[at].pending_step.is_none();
        if settled && new != self.nodes[at].reported_as_changed {
            self.nodes[at].reported_as_changed = new;
            actions.push(Action::VersionChanged { node: at, changed: new });
        }
        if polled && self.phase == Phase::MarkingGood {
            self.keep(at, actions);
        }
        if fell && !matches!(self.phase, Phase::RollingBack(_)) {
            self.back(format!("node {at} went back by itself: its process kept ending"), actions);
        }
    }

    fn failed(&mut self, why: String, actions: &mut Vec<Action>) {
        self.failed_steps += 1;
        if self.failed_steps > self.settings.max_failed_steps && !matches!(self.phase, Phase::RollingBack(_))
        {
            self.back(format!("a step failed: {why}"), actions);
        }
    }

    fn timer(&mut self, timer: Timer, actions: &mut Vec<Action>) {
        match (timer, self.phase.clone()) {
            (Timer::ClaimTimeout, Phase::Claiming) => self.claimed(actions),
            (Timer::Baseline, Phase::Baseline) => self.enter(Phase::Changing(0), actions),
            (Timer::MinWatch(of), Phase::Watching(stage)) if of == stage => self.min_watch_over = true,
            (Timer::MaxWatch(of), Phase::Watching(stage)) if of == stage => match self
                .settings
                .when_inconclusive
            {
                // What is fine has gone on, or goes on as soon as it may.
                _ if self.verdict == Verdict::Pass => {}
                InconclusivePolicy::RollBack => {
                    self.back("the stage could not be judged in its time".into(), actions)
                }
                InconclusivePolicy::Hold => {
                    actions
                        .push(Action::Note(format!("stage {} cannot be judged yet and is held", stage + 1)));
                }
            },
            (Timer::FleetDegraded, Phase::Changing(_) | Phase::Watching(_)) => {
                if let Verdict::FleetDegraded(why) = self.verdict.clone() {
                    self.back(format!("all do worse than before, and it does not pass: {why}"), actions);
                }
            }
            (Timer::RollbackTimeout, Phase::RollingBack(why)) => {
                let left = (0..self.nodes.len()).filter(|n| !self.is_back(&self.nodes[*n])).collect();
                self.end(Outcome::RolledBack(why, left), actions);
            }
            _ => {}
        }
    }

    fn judged(&mut self, verdict: Verdict, actions: &mut Vec<Action>) {
        let before = std::mem::replace(&mut self.verdict, verdict);
        let under_way = matches!(self.phase, Phase::Changing(_) | Phase::Watching(_));
        match (&before, &self.verdict) {
            (_, Verdict::Fail(why)) if under_way => self.back(why.clone(), actions),
            (Verdict::FleetDegraded(_), Verdict::FleetDegraded(_)) => {}
            (_, Verdict::FleetDegraded(why)) if under_way => {
                actions.push(Action::Note(format!("held: all do worse than before: {why}")));
                actions.push(Action::SetTimer(Timer::FleetDegraded));
            }
            (Verdict::FleetDegraded(_), _) => actions.push(Action::CancelTimer(Timer::FleetDegraded)),
            _ => {}
        }
    }

    fn command(&mut self, command: Command, actions: &mut Vec<Action>) {
        match command {
            Command::Pause => self.paused = true,
            Command::Resume => self.paused = false,
            Command::Stop => self.end(Outcome::Stopped, actions),
            Command::RollBack if !matches!(self.phase, Phase::RollingBack(_)) => {
                self.back("people said so".into(), actions);
            }
            Command::RollBack => {}
        }
    }

    /// All keepers have answered, or have had their time: goes on from what is true.
    fn claimed(&mut self, actions: &mut Vec<Action>) {
        let new = self.changed_count();
        if new > 0 && self.nodes.iter().any(|node| node.rolled_back) {
            return self.back("it was being taken back".into(), actions);
        }
        let next = if new == 0 { Phase::Baseline } else { self.stage_of_now() };
        if new > 0 {
            actions.push(Action::Note(format!("{new} nodes run the change already: going on from there")));
        }
        self.enter(next, actions);
    }

    /// The first stage that is not carried out.
    fn stage_of_now(&self) -> Phase {
        let open = |stage: &Vec<usize>| stage.iter().any(|n| !self.is_new(&self.nodes[*n]));
        let stage = self.settings.stages.iter().position(open);
        stage.map_or(Phase::MarkingGood, Phase::Changing)
    }

    fn enter(&mut self, phase: Phase, actions: &mut Vec<Action>) {
        actions.push(Action::Note(match &phase {
            Phase::Baseline => "watching the nodes as they are".into(),
            Phase::Changing(stage) => {
                format!(
                    "stage {} of {}: {} nodes",
                    stage + 1,
                    self.settings.stages.len(),
                    self.target(*stage).len()
                )
            }
            Phase::Watching(stage) => format!("stage {}: all changed, watching", stage + 1),
            Phase::MarkingGood => "all nodes run it".into(),
            Phase::RollingBack(why) => format!("going back: {why}"),
            Phase::Claiming | Phase::Ended => String::new(),
        }));
        match &phase {
            Phase::Baseline => actions.push(Action::SetTimer(Timer::Baseline)),
            Phase::Watching(stage) => {
                self.min_watch_over = false;
                if self.verdict == Verdict::Pass {
                    // That was the stage before.
                    self.verdict = Verdict::Inconclusive;
                }
                actions.push(Action::SetTimer(Timer::MinWatch(*stage)));
                actions.push(Action::SetTimer(Timer::MaxWatch(*stage)));
            }
            Phase::MarkingGood => (0..self.nodes.len()).for_each(|at| self.keep(at, actions)),
            Phase::RollingBack(_) => actions.push(Action::SetTimer(Timer::RollbackTimeout)),
            _ => {}
        }
        self.phase = phase;
    }

    fn target(&self, stage: usize) -> &[usize] {
        self.settings.stages.get(stage).map_or(&[], Vec::as_slice)
    }

    fn back(&mut self, why: String, actions: &mut Vec<Action>) {
        self.enter(Phase::RollingBack(why), actions);
    }

    fn end(&mut self, outcome: Outcome, actions: &mut Vec<Action>) {
        self.phase = Phase::Ended;
        actions.push(Action::End(outcome));
    }

    /// Does what can be done now.
    fn go_on(&mut self, actions: &mut Vec<Action>) {
        match self.phase.clone() {
            Phase::Claiming => {
                if self.nodes.iter().all(|node| self.is_claimed(node)) {
                    actions.push(Action::CancelTimer(Timer::ClaimTimeout));
                    self.claimed(actions);
                }
            }
            Phase::Changing(stage) => {
                let held = self.paused || matches!(self.verdict, Verdict::FleetDegraded(_));
                for at in self.target(stage).to_vec() {
                    let node = &self.nodes[at];
                    if !held && !node.suspended && !self.is_new(node) && !self.is_out(node) && self.may_go(at)
                    {
                        self.order(at, self.settings.change.clone(), false, actions);
                    }
                }
                let done = |n: &usize| self.is_new(&self.nodes[*n]) && !self.is_out(&self.nodes[*n]);
                if self.target(stage).iter().all(done) {
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
                if self.nodes.iter().all(|node| self.is_kept(node)) {
                    self.end(Outcome::Completed, actions);
                }
            }
            Phase::RollingBack(why) => self.go_back(why, actions),
            Phase::Baseline | Phase::Ended => {}
        }
    }

    fn is_kept(&self, node: &Node) -> bool {
        node.good_version.as_ref() == Some(&self.settings.change.version)
    }

    /// Tells a keeper that what it runs is good.
    fn keep(&self, at: usize, actions: &mut Vec<Action>) {
        if self.is_new(&self.nodes[at]) && !self.is_kept(&self.nodes[at]) {
            let (generation, version) = (self.generation, self.settings.change.version.clone());
            actions.push(Action::Send(at, SupervisorRequest::MarkGood { generation, version }));
        }
    }

    /// Whether one more may be out, and its zone can spare it.
    fn may_go(&self, at: usize) -> bool {
        let zone = &self.settings.zones[at];
        let in_zone = (0..self.nodes.len()).filter(|n| self.settings.zones[*n] == *zone);
        let left = in_zone.filter(|n| !self.is_out(&self.nodes[*n])).count();
        self.unavailable().len() < self.settings.max_unavailable
            && left > self.settings.min_available_per_zone
    }

    fn is_back(&self, node: &Node) -> bool {
        self.is_idle(node) && !self.is_new(node)
    }

    /// Those that cannot serve go first: they are out already, and cost nobody.
    fn go_back(&mut self, why: String, actions: &mut Vec<Action>) {
        let mut nodes: Vec<usize> = (0..self.nodes.len()).collect();
        nodes.sort_by_key(|n| self.nodes[*n].ready);
        for at in nodes {
            let node = &self.nodes[at];
            let idle = self.is_idle(node) && !node.suspended;
            let room = !node.ready || self.unavailable().len() < self.settings.max_unavailable_in_rollback;
            let old = node.good_version.clone().filter(|good| *good != self.settings.change.version);
            if let Some(version) = old.filter(|_| idle && room && self.is_new(node)) {
                let how = match version.program == self.settings.change.version.program {
                    true => self.settings.change.how,
                    false => ApplyMethod::Replace,
                };
                let change = Change { version, program: None, settings: None, how };
                self.order(at, change, true, actions);
            }
        }
        if self.nodes.iter().all(|node| self.is_back(node)) {
            actions.push(Action::CancelTimer(Timer::RollbackTimeout));
            self.end(Outcome::RolledBack(why, Vec::new()), actions);
        }
    }

    fn order(&mut self, at: usize, change: Change, back: bool, actions: &mut Vec<Action>) {
        self.last_step += 1;
        let step = self.last_step;
        let order = SupervisorRequest::ExecuteStep { generation: self.generation, step, change, back };
        self.nodes[at].pending_step = Some((step, order.clone()));
        actions.push(Action::Send(at, order));
    }
}
