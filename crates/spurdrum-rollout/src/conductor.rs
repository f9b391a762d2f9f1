//! Which node is told what, when a stage is over, and when all goes back. No clock, no I/O, nothing random.
//!
//! What a conductor knows of a node is what its keeper last said. A node that is not heard of, is at a step, cannot serve or is
//! directed by somebody else counts as out; a step is ordered only while fewer are out than the plan allows. So two conductors
//! together never have more out than one may: whoever has not claimed a node counts it.

use crate::orders::{Generation, Order, Status};
use crate::version::{Change, How, Version};

/// What a rollout may do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// The zone of each node.
    pub zones: Vec<String>,
    /// What all are to run.
    pub change: Change,
    /// By stage, the nodes that run it when the stage is carried out: each has those of the one before.
    pub stages: Vec<Vec<usize>>,
    /// Nodes that may be out at once, on the way forward.
    pub at_once: usize,
    /// The same on the way back.
    pub back_at_once: usize,
    /// Nodes of a zone that are always left, on the way forward.
    pub least_left: usize,
    /// Steps that may fail before all goes back.
    pub failures: usize,
    /// What is done with a stage that cannot be judged in its longest time.
    pub unjudged: Unjudged,
}

/// What is done with a stage that cannot be judged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Unjudged {
    /// Wait until it can, or somebody says what is to be done.
    #[default]
    Hold,
    /// Go back.
    Stop,
}

/// What the judge says of the nodes that were changed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// Nothing can be said yet.
    #[default]
    Open,
    /// Enough was seen, and nothing is worse.
    Fine,
    /// They do worse, by this.
    Worse(String),
    /// All do worse than before, by this: it may be the change, or may not.
    Trouble(String),
}

/// What people may say.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Command {
    /// Order nothing new.
    Pause,
    /// Go on.
    Resume,
    /// End, and leave all as it is.
    Stop,
    /// Take the change back.
    Back,
}

/// Times that the shell keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Timer {
    /// Keepers have had time to answer the claim.
    Claims,
    /// The time before the first stage, to compare with.
    Before,
    /// A stage's shortest time.
    Least(usize),
    /// A stage's longest time.
    Most(usize),
    /// All do worse, and have for as long as may be.
    Trouble,
    /// Going back has had its time.
    Back,
}

/// What happens to a conductor.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// It begins.
    Start,
    /// A keeper answered.
    Said {
        /// Of which node.
        node: usize,
        /// What.
        status: Box<Status>,
        /// It was asked how it is, as all are time and again; else it answers what it was told. What was lost is told again
        /// only then.
        asked: bool,
    },
    /// A keeper does not answer.
    Silent(usize),
    /// The time is up.
    Timer(Timer),
    /// What the judge says now.
    Judged(Verdict),
    /// What people say.
    Command(Command),
}

/// What the shell is to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Tell a keeper.
    Tell(usize, Order),
    /// Keep this time.
    Set(Timer),
    /// Forget this time.
    Unset(Timer),
    /// From now on this node runs the change, or the old version again.
    Runs {
        /// The node.
        node: usize,
        /// Whether it is the change.
        new: bool,
    },
    /// Tell people.
    Note(String),
    /// It is over.
    End(Outcome),
}

/// How a rollout ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// All nodes run it, and keep it as good.
    Done,
    /// It was taken back, for this; nodes that could not be reached are named.
    Back(String, Vec<usize>),
    /// People ended it.
    Stopped,
    /// Another conductor directs.
    Displaced(Generation),
}

/// Where a rollout is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Keepers are claimed.
    Claiming,
    /// What all do without the change is watched.
    Before,
    /// Nodes of a stage are changed.
    Changing(usize),
    /// A stage is watched.
    Watching(usize),
    /// All run it: keepers are told that it is good.
    Keeping,
    /// All goes back, for this.
    Back(String),
    /// It is over.
    Over,
}

/// What is known of a node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Node {
    /// Who directs it.
    generation: Option<Generation>,
    heard: bool,
    busy: bool,
    ready: bool,
    runs: Option<Version>,
    good: Option<Version>,
    /// The step that it was told, and the order, until it is known how that ended.
    ordered: Option<(u64, Order)>,
    /// Whether the judge takes it for a new one.
    new: bool,
    fell_back: bool,
    /// Its last step took the change back.
    undone: bool,
    /// It refused a step, or a step failed, and it was not asked since.
    balks: bool,
}

/// The decisions of a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Conductor {
    settings: Settings,
    generation: Generation,
    nodes: Vec<Node>,
    phase: Phase,
    last_step: u64,
    verdict: Verdict,
    paused: bool,
    /// The stage's shortest time is over.
    least_over: bool,
    failures: usize,
}

impl Conductor {
    /// One of this generation: its number must be above all that keepers have told.
    #[must_use]
    pub fn new(settings: Settings, generation: Generation) -> Self {
        let nodes = vec![Node::default(); settings.zones.len()];
        Self {
            settings,
            generation,
            nodes,
            phase: Phase::Claiming,
            last_step: 0,
            verdict: Verdict::Open,
            paused: false,
            least_over: false,
            failures: 0,
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
    pub fn changed(&self) -> usize {
        self.nodes.iter().filter(|node| self.is_new(node)).count()
    }

    /// Nodes that count as out.
    #[must_use]
    pub fn out(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|n| self.is_out(&self.nodes[*n])).collect()
    }

    fn is_new(&self, node: &Node) -> bool {
        node.runs.as_ref() == Some(&self.settings.change.version)
    }

    /// Whether its keeper is heard, and obeys this conductor.
    fn is_ours(&self, node: &Node) -> bool {
        node.heard && node.generation == Some(self.generation)
    }

    /// Whether it could be told a step.
    fn is_idle(&self, node: &Node) -> bool {
        self.is_ours(node) && !node.busy && node.ordered.is_none()
    }

    fn is_out(&self, node: &Node) -> bool {
        !(self.is_idle(node) && node.ready)
    }

    /// Handles what happened.
    pub fn handle(&mut self, event: Event, actions: &mut Vec<Action>) {
        if self.phase == Phase::Over {
            return;
        }
        match event {
            Event::Start => {
                for node in 0..self.nodes.len() {
                    actions.push(Action::Tell(node, Order::Claim(self.generation)));
                }
                actions.push(Action::Set(Timer::Claims));
            }
            Event::Said { node, status, asked } => self.said(node, *status, asked, actions),
            Event::Silent(node) => self.nodes[node].heard = false,
            Event::Timer(timer) => self.timer(timer, actions),
            Event::Judged(verdict) => self.judged(verdict, actions),
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

    fn said(&mut self, at: usize, status: Status, asked: bool, actions: &mut Vec<Action>) {
        if let Some(other) = status.generation.filter(|other| *other > self.generation) {
            return self.end(Outcome::Displaced(other), actions);
        }
        let node = &mut self.nodes[at];
        node.heard = true;
        (node.generation, node.ready, node.busy) = (status.generation, status.ready, status.busy.is_some());
        (node.runs, node.good) = (status.runs, status.good);
        node.balks &= !asked;
        let fell = status.fell_back && !std::mem::replace(&mut node.fell_back, status.fell_back);
        if node.generation != Some(self.generation) {
            // A keeper that was given back an older disk, or had not answered.
            if asked {
                actions.push(Action::Tell(at, Order::Claim(self.generation)));
            }
            return;
        }
        let undone = status.last.as_ref().and_then(|last| last.undone.as_ref());
        node.undone = undone == Some(&self.settings.change.version);
        if let Some((step, order)) = node.ordered.clone() {
            let ended = status.last.filter(|last| (last.generation, last.step) == (self.generation, step));
            match ended {
                Some(done) => {
                    node.ordered = None;
                    if let Some(why) = done.failed {
                        actions.push(Action::Note(format!("node {at}: the step failed: {why}")));
                        node.balks = true;
                        if !done.cut_off {
                            self.failed(why, actions);
                        }
                    }
                }
                None if status.busy.is_some() => {}
                // The order, or its answer, was lost.
                None if asked => actions.push(Action::Tell(at, order)),
                None => {
                    if let Some(why) = status.refused {
                        (node.ordered, node.balks) = (None, true);
                        actions.push(Action::Note(format!("node {at}: its keeper refused: {why}")));
                        self.failed(why, actions);
                    }
                }
            }
        }
        let new = self.is_new(&self.nodes[at]);
        let settled = !self.nodes[at].busy && self.nodes[at].ordered.is_none();
        if settled && new != self.nodes[at].new {
            self.nodes[at].new = new;
            actions.push(Action::Runs { node: at, new });
        }
        if asked && self.phase == Phase::Keeping {
            self.keep(at, actions);
        }
        if fell && !matches!(self.phase, Phase::Back(_)) {
            self.back(format!("node {at} went back by itself: its process kept ending"), actions);
        }
    }

    fn failed(&mut self, why: String, actions: &mut Vec<Action>) {
        self.failures += 1;
        if self.failures > self.settings.failures && !matches!(self.phase, Phase::Back(_)) {
            self.back(format!("a step failed: {why}"), actions);
        }
    }

    fn timer(&mut self, timer: Timer, actions: &mut Vec<Action>) {
        match (timer, self.phase.clone()) {
            (Timer::Claims, Phase::Claiming) => self.claimed(actions),
            (Timer::Before, Phase::Before) => self.enter(Phase::Changing(0), actions),
            (Timer::Least(of), Phase::Watching(stage)) if of == stage => self.least_over = true,
            (Timer::Most(of), Phase::Watching(stage)) if of == stage => match self.settings.unjudged {
                // What is fine has gone on, or goes on as soon as it may.
                _ if self.verdict == Verdict::Fine => {}
                Unjudged::Stop => self.back("the stage could not be judged in its time".into(), actions),
                Unjudged::Hold => {
                    actions
                        .push(Action::Note(format!("stage {} cannot be judged yet and is held", stage + 1)));
                }
            },
            (Timer::Trouble, Phase::Changing(_) | Phase::Watching(_)) => {
                if let Verdict::Trouble(why) = self.verdict.clone() {
                    self.back(format!("all do worse than before, and it does not pass: {why}"), actions);
                }
            }
            (Timer::Back, Phase::Back(why)) => {
                let left = (0..self.nodes.len()).filter(|n| !self.is_back(&self.nodes[*n])).collect();
                self.end(Outcome::Back(why, left), actions);
            }
            _ => {}
        }
    }

    fn judged(&mut self, verdict: Verdict, actions: &mut Vec<Action>) {
        let before = std::mem::replace(&mut self.verdict, verdict);
        let under_way = matches!(self.phase, Phase::Changing(_) | Phase::Watching(_));
        match (&before, &self.verdict) {
            (_, Verdict::Worse(why)) if under_way => self.back(why.clone(), actions),
            (Verdict::Trouble(_), Verdict::Trouble(_)) => {}
            (_, Verdict::Trouble(why)) if under_way => {
                actions.push(Action::Note(format!("held: all do worse than before: {why}")));
                actions.push(Action::Set(Timer::Trouble));
            }
            (Verdict::Trouble(_), _) => actions.push(Action::Unset(Timer::Trouble)),
            _ => {}
        }
    }

    fn command(&mut self, command: Command, actions: &mut Vec<Action>) {
        match command {
            Command::Pause => self.paused = true,
            Command::Resume => self.paused = false,
            Command::Stop => self.end(Outcome::Stopped, actions),
            Command::Back if !matches!(self.phase, Phase::Back(_)) => {
                self.back("people said so".into(), actions);
            }
            Command::Back => {}
        }
    }

    /// All keepers have answered, or have had their time: goes on from what is true.
    fn claimed(&mut self, actions: &mut Vec<Action>) {
        let new = self.changed();
        if new > 0 && self.nodes.iter().any(|node| node.undone) {
            return self.back("it was being taken back".into(), actions);
        }
        let next = if new == 0 { Phase::Before } else { self.stage_of_now() };
        if new > 0 {
            actions.push(Action::Note(format!("{new} nodes run the change already: going on from there")));
        }
        self.enter(next, actions);
    }

    /// The first stage that is not carried out.
    fn stage_of_now(&self) -> Phase {
        let open = |stage: &Vec<usize>| stage.iter().any(|n| !self.is_new(&self.nodes[*n]));
        let stage = self.settings.stages.iter().position(open);
        stage.map_or(Phase::Keeping, Phase::Changing)
    }

    fn enter(&mut self, phase: Phase, actions: &mut Vec<Action>) {
        actions.push(Action::Note(match &phase {
            Phase::Before => "watching the nodes as they are".into(),
            Phase::Changing(stage) => {
                format!(
                    "stage {} of {}: {} nodes",
                    stage + 1,
                    self.settings.stages.len(),
                    self.target(*stage).len()
                )
            }
            Phase::Watching(stage) => format!("stage {}: all changed, watching", stage + 1),
            Phase::Keeping => "all nodes run it".into(),
            Phase::Back(why) => format!("going back: {why}"),
            Phase::Claiming | Phase::Over => String::new(),
        }));
        match &phase {
            Phase::Before => actions.push(Action::Set(Timer::Before)),
            Phase::Watching(stage) => {
                self.least_over = false;
                if self.verdict == Verdict::Fine {
                    // That was the stage before.
                    self.verdict = Verdict::Open;
                }
                actions.push(Action::Set(Timer::Least(*stage)));
                actions.push(Action::Set(Timer::Most(*stage)));
            }
            Phase::Keeping => (0..self.nodes.len()).for_each(|at| self.keep(at, actions)),
            Phase::Back(_) => actions.push(Action::Set(Timer::Back)),
            _ => {}
        }
        self.phase = phase;
    }

    fn target(&self, stage: usize) -> &[usize] {
        self.settings.stages.get(stage).map_or(&[], Vec::as_slice)
    }

    fn back(&mut self, why: String, actions: &mut Vec<Action>) {
        self.enter(Phase::Back(why), actions);
    }

    fn end(&mut self, outcome: Outcome, actions: &mut Vec<Action>) {
        self.phase = Phase::Over;
        actions.push(Action::End(outcome));
    }

    /// Does what can be done now.
    fn go_on(&mut self, actions: &mut Vec<Action>) {
        match self.phase.clone() {
            Phase::Claiming => {
                if self.nodes.iter().all(|node| self.is_ours(node)) {
                    actions.push(Action::Unset(Timer::Claims));
                    self.claimed(actions);
                }
            }
            Phase::Changing(stage) => {
                let held = self.paused || matches!(self.verdict, Verdict::Trouble(_));
                for at in self.target(stage).to_vec() {
                    let node = &self.nodes[at];
                    if !held && !node.balks && !self.is_new(node) && !self.is_out(node) && self.may_go(at) {
                        self.order(at, self.settings.change.clone(), false, actions);
                    }
                }
                let done = |n: &usize| self.is_new(&self.nodes[*n]) && !self.is_out(&self.nodes[*n]);
                if self.target(stage).iter().all(done) {
                    self.enter(Phase::Watching(stage), actions);
                }
            }
            Phase::Watching(stage) => {
                if self.least_over && !self.paused && self.verdict == Verdict::Fine {
                    let last = stage + 1 == self.settings.stages.len();
                    self.enter(if last { Phase::Keeping } else { Phase::Changing(stage + 1) }, actions);
                }
            }
            Phase::Keeping => {
                if self.nodes.iter().all(|node| self.is_kept(node)) {
                    self.end(Outcome::Done, actions);
                }
            }
            Phase::Back(why) => self.go_back(why, actions),
            Phase::Before | Phase::Over => {}
        }
    }

    fn is_kept(&self, node: &Node) -> bool {
        node.good.as_ref() == Some(&self.settings.change.version)
    }

    /// Tells a keeper that what it runs is good.
    fn keep(&self, at: usize, actions: &mut Vec<Action>) {
        if self.is_new(&self.nodes[at]) && !self.is_kept(&self.nodes[at]) {
            let (generation, version) = (self.generation, self.settings.change.version.clone());
            actions.push(Action::Tell(at, Order::Keep { generation, version }));
        }
    }

    /// Whether one more may be out, and its zone can spare it.
    fn may_go(&self, at: usize) -> bool {
        let zone = &self.settings.zones[at];
        let in_zone = (0..self.nodes.len()).filter(|n| self.settings.zones[*n] == *zone);
        let left = in_zone.filter(|n| !self.is_out(&self.nodes[*n])).count();
        self.out().len() < self.settings.at_once && left > self.settings.least_left
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
            let idle = self.is_idle(node) && !node.balks;
            let room = !node.ready || self.out().len() < self.settings.back_at_once;
            let old = node.good.clone().filter(|good| *good != self.settings.change.version);
            if let Some(version) = old.filter(|_| idle && room && self.is_new(node)) {
                let how = match version.program == self.settings.change.version.program {
                    true => self.settings.change.how,
                    false => How::Replace,
                };
                let change = Change { version, program: None, settings: None, how };
                self.order(at, change, true, actions);
            }
        }
        if self.nodes.iter().all(|node| self.is_back(node)) {
            actions.push(Action::Unset(Timer::Back));
            self.end(Outcome::Back(why, Vec::new()), actions);
        }
    }

    fn order(&mut self, at: usize, change: Change, back: bool, actions: &mut Vec<Action>) {
        self.last_step += 1;
        let step = self.last_step;
        let order = Order::Do { generation: self.generation, step, change, back };
        self.nodes[at].ordered = Some((step, order.clone()));
        actions.push(Action::Tell(at, order));
    }
}
