//! Many nodes that follow one catalog.
//!
//! The catalog answers calls one after the other, each for a fixed time: where calls pile up, they wait. A call that
//! has waited too long gets no list. What is left out: the bytes of connections, and the time that a node takes for a
//! list.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use hdrhistogram::Histogram;
use spurdrum_sources::follower::{
    Action, CallId, CloseReason, Counts, Event, Evidence, Failure, Follower, Freshness, Query, Settings,
    StartupResult,
};
use spurdrum_sources::{List, Member, Phase};

/// One way through the network, and by how much it varies.
const WAY: Duration = Duration::from_millis(1);
/// A call that has waited for so long is turned away.
const WAITED_MOST: Duration = Duration::from_secs(3);
/// Requests that a node sends to each server that is gone without its knowing, a second.
const ASTRAY: f64 = 5.0;
/// From one node's move to the next one's.
const MOVES_APART: Duration = Duration::from_millis(40);
/// Servers of the fleet, whatever replaces them.
const FLEET: u64 = 30;

/// How a node follows a list.
#[derive(Clone, Debug)]
pub enum Way {
    /// One watch after the other that waits for so long, given up 1 s after that; failures double a pause of
    /// 156 ms up to 2.5 s.
    Fixed(Duration),
    /// [`Follower`].
    Follower(Settings),
}

/// What is wrong with the catalog.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Nothing.
    None,
    /// Part of the answers never come.
    Lost(f64),
    /// Part of the answers never come, and as many break.
    LostAndBroken(f64),
    /// Calls that wait never end; others do.
    WatchesHang,
    /// Calls for the whole list never end; others do.
    ReadsHang,
    /// Heads come, and no body.
    Trickle(f64),
    /// It says nothing for a while: from, to, in seconds.
    Silent(f64, f64),
    /// It turns all calls away for a while: from, to, in seconds.
    Down(f64, f64),
    /// Its versions begin anew at this time, in seconds, with the same servers.
    Forgets(f64),
}

/// How the catalog treats calls that are not the plain case. All off: a closed call leaves the queue, one that is turned away is turned
/// away alone, and a watch that ends without news takes its turn like any other call.
#[derive(Clone, Copy, Debug, Default)]
pub struct Manners {
    /// A call that its node has closed keeps its place and takes its turn.
    pub works_off_closed: bool,
    /// A call that is turned away ends all of its node's calls.
    pub refuses_together: bool,
    /// A watch that ends without news is answered beside the queue.
    pub quiet_ends_are_free: bool,
}

/// An experiment.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Nodes.
    pub nodes: usize,
    /// Drives all that is random.
    pub seed: u64,
    /// How long it lasts.
    pub length: Duration,
    /// When the list changes.
    pub commits: Vec<Duration>,
    /// Time that the catalog takes for an answer.
    pub service: Duration,
    /// What is wrong with it.
    pub fault: Fault,
    /// Whether servers that are gone turn work away, which nodes see.
    pub evidence: bool,
    /// How it treats calls otherwise than plainly.
    pub manners: Manners,
    /// When all nodes are told, one after the other, that the catalog is to be found elsewhere. It is the same one.
    pub moves: Vec<Duration>,
    /// When all watches that are out fall silent for good, if they do.
    pub watches_fall_silent: Option<Duration>,
}

impl Plan {
    /// A plan in which nothing changes, and the catalog treats all calls plainly and stays where it is.
    #[must_use]
    pub fn quiet(nodes: usize, seed: u64, length: Duration, service: Duration) -> Self {
        Self {
            nodes,
            seed,
            length,
            commits: Vec::new(),
            service,
            fault: Fault::None,
            evidence: true,
            manners: Manners::default(),
            moves: Vec::new(),
            watches_fall_silent: None,
        }
    }
}

/// What came of it.
pub struct Outcome {
    /// From a change to a node's knowing, in microseconds, over all changes and nodes.
    pub behind: Histogram<u64>,
    /// Calls that the nodes made, and that were turned away for having waited.
    pub calls: u64,
    /// See `calls`.
    pub turned_away: u64,
    /// Of all nodes: every version that was applied, in order, with the catalog's count of memory losses.
    pub applied: Vec<Vec<(u64, u64)>>,
    /// The version that each node holds at the end, and the catalog's.
    pub held: Vec<Option<u64>>,
    /// See `held`.
    pub revision: u64,
    /// Views at the end, and what was done; only of [`Way::Follower`].
    pub followers: Vec<(Freshness, Counts)>,
    /// How and when each node's start ended; only of [`Way::Follower`].
    pub starts: Vec<Option<(StartupResult, Duration)>>,
    /// The most calls that one node had out at once, and whose answers it waited for.
    pub out_most: usize,
    /// See `out_most`.
    pub awaited_most: usize,
}

impl Outcome {
    /// Seconds within which a part of the changes was known.
    pub fn within(&self, part: f64) -> f64 {
        self.behind.value_at_quantile(part) as f64 / 1e6
    }
}

enum Node {
    Fixed {
        wait: Duration,
        revision: Option<u64>,
        call: u64,
        gives_up: Option<Duration>,
        due: Option<Duration>,
        failed: i32,
    },
    Follower(Box<Follower>),
}

impl Node {
    fn next_wake(&self) -> Option<Duration> {
        match self {
            Self::Fixed { gives_up, due, .. } => gives_up.or(*due),
            Self::Follower(follower) => follower.next_wake(),
        }
    }

    fn handle(&mut self, now: Duration, event: Event, random: &mut fastrand::Rng, actions: &mut Vec<Action>) {
        let Self::Fixed { wait, revision, call, gives_up, due, failed } = self else {
            let Self::Follower(follower) = self else { unreachable!("there are two kinds") };
            return follower.handle(now, event, actions);
        };
        let mut fails = false;
        match event {
            Event::Tick if gives_up.is_some_and(|at| now >= at) => {
                actions.push(Action::Close { call: CallId(*call), reason: CloseReason::TimedOut });
                fails = true;
            }
            Event::Tick if gives_up.is_none() && due.is_none() => *due = Some(now),
            Event::Answered { call: id, list } if id.0 == *call => {
                *revision = Some(list.revision);
                *failed = 0;
                (*gives_up, *due) = (None, Some(now));
                actions.push(Action::Apply(list));
            }
            Event::Failed { call: id, .. } if id.0 == *call => fails = true,
            _ => {}
        }
        if fails {
            let pause = 2500.0 / 2_f64.powi(4 - *failed) * (0.5 + 0.5 * random.f64());
            *failed = (*failed + 1).min(4);
            (*gives_up, *due) = (None, Some(now + Duration::from_secs_f64(pause / 1000.0)));
        }
        if due.is_some_and(|at| now >= at) {
            *call += 1;
            (*gives_up, *due) = (Some(now + *wait + Duration::from_secs(1)), None);
            let query = revision.map_or(Query::Read, |since| Query::Watch { since, wait: *wait });
            actions.push(Action::Call { call: CallId(*call), query });
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Commit(usize),
    Forget,
    Move(usize),
    SilenceWatches,
    Wake(usize),
    /// A call has reached the catalog.
    Asked(usize, u64, Asked),
    /// A watch has waited long enough.
    Waited(usize, u64),
    /// The catalog may take up the next call.
    Work,
    /// An answer has reached its node; none: it broke.
    Told(usize, u64, Option<u64>, Option<u64>),
    /// The head of an answer that never comes.
    Head(usize, u64),
    NoList(usize, u64),
    Gone(usize, u64),
    Astray(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Asked {
    Read,
    Since(u64, Duration),
}

struct World<'a> {
    plan: &'a Plan,
    now: Duration,
    order: u64,
    steps: BinaryHeap<Reverse<(Duration, u64, Step)>>,
    nodes: Vec<Node>,
    wakes: Vec<Option<Duration>>,
    random: fastrand::Rng,
    revision: u64,
    /// How often the versions began anew, and where the present ones began.
    memory: u64,
    /// What each version changed.
    changed: Vec<u64>,
    /// When each change was made, and how many of them each node knows.
    made_at: Vec<Duration>,
    known: Vec<usize>,
    /// Watches that wait: what they hold.
    waiting: HashMap<(usize, u64), u64>,
    /// Calls that are to be answered, since when.
    queue: VecDeque<(Duration, usize, u64, Option<u64>)>,
    busy: bool,
    outcome: Outcome,
}

/// Plays an experiment to its end.
pub fn play(plan: &Plan, way: &Way) -> Outcome {
    let node = |node_index: usize| match way {
        Way::Fixed(wait) => {
            Node::Fixed { wait: *wait, revision: Some(0), call: 0, gives_up: None, due: None, failed: 0 }
        }
        Way::Follower(settings) => {
            let settings = Settings { nodes: plan.nodes, node_index, ..settings.clone() };
            let follower =
                Follower::new(settings, plan.seed ^ node_index as u64, Some(0)).expect("sound settings");
            Node::Follower(Box::new(follower))
        }
    };
    let outcome = Outcome {
        behind: Histogram::new(3).expect("three digits"),
        calls: 0,
        turned_away: 0,
        applied: vec![Vec::new(); plan.nodes],
        held: Vec::new(),
        revision: 0,
        followers: Vec::new(),
        starts: vec![None; plan.nodes],
        out_most: 0,
        awaited_most: 0,
    };
    let mut world = World {
        plan,
        now: Duration::ZERO,
        order: 0,
        steps: BinaryHeap::new(),
        nodes: (0..plan.nodes).map(node).collect(),
        wakes: vec![None; plan.nodes],
        random: fastrand::Rng::with_seed(plan.seed),
        revision: 0,
        memory: 0,
        changed: Vec::new(),
        made_at: Vec::new(),
        known: vec![0; plan.nodes],
        waiting: HashMap::new(),
        queue: VecDeque::new(),
        busy: false,
        outcome,
    };
    world.run();
    world.finish()
}

impl World<'_> {
    fn at(&mut self, when: Duration, step: Step) {
        self.order += 1;
        self.steps.push(Reverse((when, self.order, step)));
    }

    fn run(&mut self) {
        for (n, at) in self.plan.commits.iter().enumerate() {
            self.at(*at, Step::Commit(n));
        }
        if let Fault::Forgets(at) = self.plan.fault {
            self.at(Duration::from_secs_f64(at), Step::Forget);
        }
        for at in &self.plan.moves {
            for node in 0..self.plan.nodes {
                self.at(*at + MOVES_APART * node as u32, Step::Move(node));
            }
        }
        if let Some(at) = self.plan.watches_fall_silent {
            self.at(at, Step::SilenceWatches);
        }
        for n in 0..self.plan.nodes {
            // Machines do not start in one instant.
            let start = Duration::from_micros(self.random.u64(0..50_000));
            self.at(start, Step::Wake(n));
            self.wakes[n] = Some(start);
        }
        while let Some(Reverse((at, _, step))) = self.steps.pop() {
            if at > self.plan.length {
                return;
            }
            self.now = at;
            self.step(step);
        }
    }

    fn finish(mut self) -> Outcome {
        // What is not known at the end counts with the time until then.
        for known in &self.known {
            for made in &self.made_at[*known..] {
                let behind = (self.plan.length - *made).as_micros() as u64;
                self.outcome.behind.record(behind.max(1)).expect("in range");
            }
        }
        let held = |node: &Node| match node {
            Node::Fixed { revision, .. } => *revision,
            Node::Follower(follower) => follower.revision(),
        };
        self.outcome.held = self.nodes.iter().map(held).collect();
        self.outcome.revision = self.revision;
        for node in &self.nodes {
            if let Node::Follower(follower) = node {
                self.outcome.followers.push((follower.freshness(), follower.counts().clone()));
            }
        }
        self.outcome
    }

    fn within(&self, from: f64, to: f64) -> bool {
        (from..to).contains(&self.now.as_secs_f64())
    }

    fn way(&mut self) -> Duration {
        WAY.mul_f64(0.5 + self.random.f64())
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Commit(n) => {
                self.revision += 1;
                self.changed.push(n as u64 % FLEET);
                self.made_at.push(self.now);
                self.wake_watches();
                if self.plan.evidence {
                    for node in 0..self.plan.nodes {
                        self.go_astray(node);
                    }
                }
            }
            Step::Forget => {
                // As after a restart from a file: all is there, under versions of its own.
                self.memory += 1;
                self.revision = 1;
                self.changed.clear();
                self.waiting.clear();
            }
            Step::Move(node) => self.tell(node, Event::AddressChanged),
            Step::SilenceWatches => self.waiting.clear(),
            Step::Wake(node) if self.wakes[node] == Some(self.now) => self.tell(node, Event::Tick),
            Step::Wake(_) => {}
            Step::Asked(node, call, asked) => self.asked(node, call, asked),
            Step::Waited(node, call) => {
                let Some(since) = self.waiting.remove(&(node, call)) else { return };
                if self.plan.manners.quiet_ends_are_free {
                    let at = self.now + self.way();
                    self.at(at, Step::Told(node, call, Some(since), Some(self.revision)));
                } else {
                    self.enqueue(node, call, Some(since));
                }
            }
            Step::Work => self.work(),
            Step::Told(node, call, since, revision) => self.told(node, call, since, revision),
            Step::Head(node, call) => {
                self.tell(node, Event::AnswerStarted { call: CallId(call), length: 1000 })
            }
            Step::NoList(node, call) => {
                self.tell(node, Event::Failed { call: CallId(call), failure: Failure::InvalidList });
            }
            Step::Gone(node, call) => {
                self.waiting.remove(&(node, call));
                if !self.plan.manners.works_off_closed {
                    self.queue.retain(|(_, of, id, _)| (*of, *id) != (node, call));
                }
            }
            Step::Astray(node) => {
                if self.known[node] < self.made_at.len() {
                    self.tell(node, Event::Evidence(Evidence::Refused { idle: true }));
                    self.go_astray(node);
                }
            }
        }
    }

    /// The next request of a node that goes to a server that is gone.
    fn go_astray(&mut self, node: usize) {
        let pause = -self.random.f64().max(1e-9).ln() / ASTRAY;
        self.at(self.now + Duration::from_secs_f64(pause), Step::Astray(node));
    }

    fn wake_watches(&mut self) {
        let mut due: Vec<((usize, u64), u64)> = self.waiting.drain().collect();
        due.sort_unstable();
        for ((node, call), since) in due {
            self.enqueue(node, call, Some(since));
        }
    }

    fn asked(&mut self, node: usize, call: u64, asked: Asked) {
        self.tell(node, Event::Connected { call: CallId(call) });
        match self.plan.fault {
            Fault::Silent(from, to) if self.within(from, to) => return,
            Fault::Down(from, to) if self.within(from, to) => {
                let at = self.now + self.way();
                return self.at(at, Step::NoList(node, call));
            }
            Fault::WatchesHang if matches!(asked, Asked::Since(_, wait) if !wait.is_zero()) => return,
            Fault::ReadsHang if asked == Asked::Read => return,
            _ => {}
        }
        match asked {
            Asked::Read => self.enqueue(node, call, None),
            Asked::Since(since, wait) if since == self.revision && !wait.is_zero() => {
                self.waiting.insert((node, call), since);
                self.at(self.now + wait, Step::Waited(node, call));
            }
            Asked::Since(since, _) => self.enqueue(node, call, Some(since)),
        }
    }

    fn enqueue(&mut self, node: usize, call: u64, since: Option<u64>) {
        self.queue.push_back((self.now, node, call, since));
        if !self.busy {
            self.busy = true;
            self.at(self.now + self.plan.service, Step::Work);
        }
    }

    /// One answer is ready.
    fn work(&mut self) {
        let Some((since_when, node, call, since)) = self.queue.pop_front() else {
            self.busy = false;
            return;
        };
        if self.queue.is_empty() {
            self.busy = false;
        } else {
            self.at(self.now + self.plan.service, Step::Work);
        }
        let at = self.now + self.way();
        if self.now - since_when > WAITED_MOST {
            self.outcome.turned_away += 1;
            if self.plan.manners.refuses_together {
                self.refuse_others(node, call);
            }
            return self.at(at, Step::NoList(node, call));
        }
        let drawn = self.random.f64();
        let told = match self.plan.fault {
            Fault::Silent(from, to) if self.within(from, to) => return,
            Fault::Lost(part) if drawn < part => return,
            Fault::LostAndBroken(part) if drawn < part => return,
            Fault::LostAndBroken(part) if drawn < 2.0 * part => None,
            Fault::Trickle(part) if drawn < part => return self.at(at, Step::Head(node, call)),
            _ => Some(self.revision),
        };
        self.at(at, Step::Told(node, call, since, told));
    }

    /// Ends a node's calls but for the one that is turned away.
    fn refuse_others(&mut self, node: usize, refused: u64) {
        let waiting = self.waiting.keys().filter(|(of, _)| *of == node).map(|(_, call)| *call);
        let queued = self.queue.iter().filter(|(_, of, ..)| *of == node).map(|(_, _, call, _)| *call);
        let mut others: Vec<u64> = waiting.chain(queued).filter(|call| *call != refused).collect();
        others.sort_unstable();
        for call in others {
            self.waiting.remove(&(node, call));
            self.queue.retain(|(_, of, id, _)| (*of, *id) != (node, call));
            let at = self.now + self.way();
            self.at(at, Step::NoList(node, call));
        }
    }

    fn told(&mut self, node: usize, call: u64, since: Option<u64>, revision: Option<u64>) {
        let Some(revision) = revision else {
            return self.tell(node, Event::Failed { call: CallId(call), failure: Failure::ConnectionLost });
        };
        // A version that is not this catalog's is answered with all there is.
        let since = since.filter(|since| *since <= revision);
        let servers: Vec<u64> = match since {
            Some(since) => {
                // Versions from before the last loss of memory are remembered by none.
                let first = self.revision - self.changed.len() as u64;
                let range = since.saturating_sub(first) as usize..revision.saturating_sub(first) as usize;
                self.changed.get(range).unwrap_or_default().to_vec()
            }
            None => (0..FLEET).collect(),
        };
        let members = servers.into_iter().map(member).collect();
        let list = List { revision, complete: since.is_none(), members };
        self.tell(node, Event::Answered { call: CallId(call), list });
    }

    fn tell(&mut self, node: usize, event: Event) {
        let mut actions = Vec::new();
        self.nodes[node].handle(self.now, event, &mut self.random, &mut actions);
        for action in actions {
            match action {
                Action::Call { call, query } => {
                    self.outcome.calls += 1;
                    let asked = match query {
                        Query::Read => Asked::Read,
                        Query::Poll { since } => Asked::Since(since, Duration::ZERO),
                        Query::Watch { since, wait } => Asked::Since(since, wait),
                    };
                    let at = self.now + self.way();
                    self.at(at, Step::Asked(node, call.0, asked));
                }
                Action::Close { call, .. } => {
                    let at = self.now + self.way();
                    self.at(at, Step::Gone(node, call.0));
                }
                Action::Apply(list) => self.learned(node, &list),
                Action::Ready(end) => self.outcome.starts[node] = Some((end, self.now)),
                Action::FreshnessChanged { .. } | Action::ListShrunk(..) => {}
            }
        }
        if let Node::Follower(follower) = &self.nodes[node] {
            self.outcome.out_most = self.outcome.out_most.max(follower.open_calls());
            self.outcome.awaited_most = self.outcome.awaited_most.max(follower.awaited_calls());
        }
        let wake = self.nodes[node].next_wake().map(|at| at.max(self.now));
        if wake != self.wakes[node] {
            self.wakes[node] = wake;
            if let Some(at) = wake {
                self.at(at, Step::Wake(node));
            }
        }
    }

    fn learned(&mut self, node: usize, list: &List) {
        self.outcome.applied[node].push((self.memory, list.revision));
        let first = self.revision - self.changed.len() as u64;
        let of_before = self.made_at.len() - self.changed.len();
        let knows = of_before + list.revision.saturating_sub(first) as usize;
        while self.known[node] < knows.min(self.made_at.len()) {
            let behind = (self.now - self.made_at[self.known[node]]).as_micros() as u64;
            self.outcome.behind.record(behind.max(1)).expect("in range");
            self.known[node] += 1;
        }
    }
}

fn member(n: u64) -> Member {
    Member {
        id: format!("s{n}"),
        host_port: SocketAddr::from((Ipv4Addr::LOCALHOST, 8080)),
        locality: String::new(),
        flavor: String::new(),
        cell: 0,
        phase: Phase::Active,
        size: 1.0,
        up_since_ms: 0.0,
    }
}

/// Two rolling deploys of the whole fleet in a quiet ten minutes, `apart` from one change to the next.
pub fn deploys(apart: Duration) -> Vec<Duration> {
    let deploy = |from: u64| (0..30).map(move |n| Duration::from_secs(from) + apart * n);
    deploy(60).chain(deploy(360)).collect()
}
