//! A hundred nodes in one clock: real decisions before a small model of servers, to count what all of them do together.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use spurdrum_policy::*;

/// A server: so many workers, first come first served, with a report a while old in each answer.
#[derive(Clone, Debug)]
pub struct Server {
    pub zone: usize,
    pub workers: usize,
    /// Mean time that a request takes, in milliseconds.
    pub service_ms: f64,
    /// Part of the requests that it answers with an error at once.
    pub errors: f64,
}

/// Servers that start anew while the others go on, as all nodes hear at once. They warm up evenly, as the settings say.
#[derive(Clone, Debug, Default)]
pub struct Restart {
    pub servers: Vec<usize>,
    pub at_ms: f64,
    /// All nodes start anew with them, and know nothing.
    pub nodes: bool,
}

#[derive(Clone)]
pub struct Plan {
    pub servers: Vec<Server>,
    pub nodes: usize,
    pub zones: usize,
    /// Requests a second, over all nodes.
    pub rate: f64,
    pub length_ms: f64,
    pub settings: Settings,
    pub seed: u64,
    pub restart: Restart,
    /// A server turns away what finds so many waiting there; 0: it takes all.
    pub queue_most: usize,
    /// A client that is refused comes again so often, after a while.
    pub retries: usize,
    /// Every tenth node has so many times the traffic of the others.
    pub busiest: f64,
}

/// What came of it.
#[derive(Default)]
pub struct Outcomes {
    pub offered: usize,
    pub in_time: usize,
    pub late: usize,
    pub refused: usize,
    /// Attempts by server, and those that failed.
    pub sent: Vec<usize>,
    pub failed: Vec<usize>,
    pub probes: usize,
    /// Nodes that sent to each server.
    pub met: Vec<usize>,
    /// What was sent to servers after their restart: which, and how long after.
    pub cold: Vec<(usize, f64)>,
}

impl Outcomes {
    /// How far the most pressed of the restarted servers was pressed while it was cold, by the whole fleet: the most requests in one
    /// of the windows that the settings name, against what they allow for it and what chance may add, 2 x root + 2.
    pub fn pressed(&self, plan: &Plan) -> f64 {
        let Settings { slow_start_min_capacity, slow_start_ms, collapse_multiple, collapse_after_ms, .. } =
            plan.settings;
        let part = |age: f64| {
            (slow_start_min_capacity + (1.0 - slow_start_min_capacity) * age / slow_start_ms).min(1.0)
        };
        let pressed = plan.restart.servers.iter().flat_map(|server| {
            let full = plan.servers[*server].workers as f64 / plan.servers[*server].service_ms;
            let sent: Vec<f64> =
                self.cold.iter().filter(|(at, _)| at == server).map(|(_, age)| *age).collect();
            let windows = sent.iter().take_while(|age| **age + collapse_after_ms <= slow_start_ms).count();
            (0..windows).map(move |first| {
                let end = sent[first] + collapse_after_ms;
                let count = sent[first..].iter().take_while(|age| **age < end).count() as f64;
                let allowed =
                    collapse_multiple * full * collapse_after_ms * (part(sent[first]) + part(end)) / 2.0;
                count / (allowed + 2.0 * allowed.sqrt() + 2.0)
            })
        });
        pressed.fold(0.0, f64::max)
    }
}

/// Reports are taken so often.
const REPORT_MS: f64 = 500.0;

enum Step {
    Arrives(usize),
    Again(usize, usize),
    Restart,
    Done(usize, usize, u64, usize),
    Fails(usize, usize, u64, usize),
    Full(usize, usize, u64, usize),
    TimedOut(usize, u64, usize),
    Probed(usize, usize),
    Timer(usize, u64),
    Report,
}

struct At(f64, u64, Step);

impl PartialEq for At {
    fn eq(&self, other: &Self) -> bool {
        self.1 == other.1
    }
}
impl Eq for At {}
impl PartialOrd for At {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for At {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
    }
}

struct World {
    plan: Plan,
    now: f64,
    order: u64,
    steps: BinaryHeap<Reverse<At>>,
    nodes: Vec<Balancer>,
    random: fastrand::Rng,
    /// Of each server: at work, waiting, and its last report.
    busy: Vec<usize>,
    queue: Vec<VecDeque<(usize, u64, usize)>>,
    told: Vec<LoadReport>,
    /// Requests by node and id: when they came, attempts made, and whether they are answered.
    held: HashMap<(usize, u64), (f64, Vec<bool>, bool)>,
    last: u64,
    /// How often the client of a request may come again.
    retries: HashMap<(usize, u64), usize>,
    restarted: Option<f64>,
    out: Outcomes,
    met: Vec<std::collections::HashSet<usize>>,
}

/// Plays a plan to its end.
pub fn play(plan: Plan) -> Outcomes {
    let node = |me: usize| new_node(&plan, me, 0);
    let count = plan.servers.len();
    let mut world = World {
        now: 1_000_000.0,
        order: 0,
        steps: BinaryHeap::new(),
        nodes: (0..plan.nodes).map(node).collect(),
        random: fastrand::Rng::with_seed(plan.seed),
        busy: vec![0; count],
        queue: vec![VecDeque::new(); count],
        told: vec![LoadReport { in_flight: Some(0.0), queued: Some(0.0) }; count],
        held: HashMap::new(),
        last: 0,
        retries: HashMap::new(),
        restarted: None,
        out: Outcomes { sent: vec![0; count], failed: vec![0; count], ..Outcomes::default() },
        met: vec![Default::default(); count],
        plan,
    };
    world.run();
    world.out.met = world.met.iter().map(|nodes| nodes.len()).collect();
    world.out
}

fn new_node(plan: &Plan, node_index: usize, life: u64) -> Balancer {
    let settings =
        Settings { nodes: plan.nodes, node_index, zone: node_index % plan.zones, ..plan.settings.clone() };
    Balancer::new(settings, plan.seed * 1000 + node_index as u64 + life).expect("sound settings")
}

impl World {
    fn at(&mut self, after: f64, step: Step) {
        self.order += 1;
        self.steps.push(Reverse(At(self.now + after, self.order, step)));
    }

    fn exp(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.random.f64()).ln()
    }

    fn entries(&self) -> Vec<ServerEntry> {
        let entries = self.plan.servers.iter().enumerate().map(|(n, server)| ServerEntry {
            zone: server.zone,
            cell: n / 5,
            kind: server.workers - 1,
            name_hash: (n as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15),
            ..ServerEntry::new(ServerId(n), Availability::Ready)
        });
        entries.collect()
    }

    fn run(&mut self) {
        let entries = self.entries();
        if !self.plan.restart.servers.is_empty() {
            self.at(self.plan.restart.at_ms, Step::Restart);
        }
        for node in 0..self.nodes.len() {
            self.tell(node, Event::Servers(ListUpdate::Full(entries.clone())));
            self.next_arrival(node);
        }
        self.at(REPORT_MS, Step::Report);
        let end = self.now + self.plan.length_ms;
        while let Some(Reverse(At(now, _, step))) = self.steps.pop() {
            self.now = now;
            match step {
                Step::Arrives(node) if now < end => self.arrives(node),
                Step::Arrives(_) => {}
                Step::Again(node, left) => self.asks(node, left),
                Step::Restart => self.restart(),
                Step::Done(server, node, id, attempt) => self.done(server, node, id, attempt),
                Step::Fails(server, node, id, attempt) => {
                    self.out.failed[server] += 1;
                    let report = Some(self.told[server]);
                    self.ended(node, id, attempt, Ending::Error, report);
                }
                Step::Full(server, node, id, attempt) => {
                    let report = Some(self.told[server]);
                    self.ended(node, id, attempt, Ending::Full, report);
                }
                Step::TimedOut(node, id, attempt) => self.ended(node, id, attempt, Ending::TimedOut, None),
                Step::Probed(node, server) => {
                    let (queued, held) = self.holds(server);
                    let report = Some(LoadReport { in_flight: Some(held), queued: Some(queued) });
                    self.tell(
                        node,
                        Event::Probed { server: ServerId(server), ending: Ending::Served, report },
                    );
                }
                Step::Timer(node, timer) => self.tell(node, Event::Timer(timer)),
                Step::Report => {
                    for n in 0..self.queue.len() {
                        let (queued, held) = self.holds(n);
                        self.told[n] = LoadReport { in_flight: Some(held), queued: Some(queued) };
                    }
                    if now < end {
                        self.at(REPORT_MS, Step::Report);
                    }
                }
            }
        }
    }

    /// What waits at a server, and that with what it works on.
    fn holds(&self, server: usize) -> (f64, f64) {
        let queued = self.queue[server].len();
        (queued as f64, (queued + self.busy[server]) as f64)
    }

    fn next_arrival(&mut self, node: usize) {
        let busy = |node: usize| if node.is_multiple_of(10) { self.plan.busiest } else { 1.0 };
        let all: f64 = (0..self.plan.nodes).map(busy).sum();
        let gap = self.exp(1000.0 * all / busy(node) / self.plan.rate);
        self.at(gap, Step::Arrives(node));
    }

    fn restart(&mut self) {
        self.restarted = Some(self.now);
        let mut entries = self.entries();
        let Restart { servers, .. } = &self.plan.restart;
        entries.retain(|entry| servers.contains(&entry.server.0));
        for entry in &mut entries {
            // What it had is lost with it.
            self.queue[entry.server.0].clear();
            entry.started_at = Some(self.now);
        }
        for node in 0..self.nodes.len() {
            if self.plan.restart.nodes {
                // What it had taken is lost with it.
                self.held.retain(|(of, _), _| *of != node);
                self.nodes[node] = new_node(&self.plan, node, 500);
                let mut all = self.entries();
                for entry in &mut all {
                    entry.started_at = entries.iter().find(|e| e.server == entry.server).and(Some(self.now));
                }
                self.tell(node, Event::Servers(ListUpdate::Full(all)));
                continue;
            }
            self.tell(node, Event::Servers(ListUpdate::Changes(entries.clone())));
        }
    }

    /// The part of its capacity that a server has now.
    fn part(&self, server: usize) -> f64 {
        let Settings { slow_start_min_capacity, slow_start_ms, .. } = self.plan.settings;
        let cold = self.restarted.filter(|_| self.plan.restart.servers.contains(&server));
        cold.map_or(1.0, |at| {
            (slow_start_min_capacity + (1.0 - slow_start_min_capacity) * (self.now - at) / slow_start_ms)
                .min(1.0)
        })
    }

    fn arrives(&mut self, node: usize) {
        self.next_arrival(node);
        self.out.offered += 1;
        self.asks(node, self.plan.retries);
    }

    fn asks(&mut self, node: usize, retries: usize) {
        self.last += 1;
        self.retries.insert((node, self.last), retries);
        self.held.insert((node, self.last), (self.now, Vec::new(), false));
        let request = Request::new(RequestId(self.last), 0, 800.0);
        self.tell(node, Event::Request(request));
    }

    fn tell(&mut self, node: usize, event: Event) {
        let mut actions = Vec::new();
        self.nodes[node].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { request, server } => self.send(node, request.0, server.0),
                Action::Refuse { request, .. } | Action::Fail { request } => {
                    self.out.refused += 1;
                    self.held.get_mut(&(node, request.0)).expect("held").2 = true;
                    let left = self.retries.remove(&(node, request.0)).unwrap_or_default();
                    if left > 0 {
                        let after = self.exp(60.0);
                        self.at(after, Step::Again(node, left - 1));
                    }
                }
                Action::SetTimer { timer, after_ms } => self.at(after_ms, Step::Timer(node, timer)),
                Action::Probe { server } => {
                    self.out.probes += 1;
                    self.at(2.0, Step::Probed(node, server.0));
                }
                Action::Cancel { request, attempt } => {
                    self.ended(node, request.0, attempt, Ending::Cancelled, None);
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, node: usize, id: u64, server: usize) {
        self.out.sent[server] += 1;
        self.met[server].insert(node);
        let (came, attempts, _) = self.held.get_mut(&(node, id)).expect("held");
        attempts.push(true);
        let (attempt, left) = (attempts.len() - 1, *came + 800.0 - self.now);
        if self.random.f64() < self.plan.servers[server].errors {
            return self.at(2.0, Step::Fails(server, node, id, attempt));
        }
        if let Some(at) = self.restarted.filter(|_| self.plan.restart.servers.contains(&server)) {
            self.out.cold.push((server, self.now - at));
        }
        if self.plan.queue_most > 0 && self.queue[server].len() >= self.plan.queue_most {
            return self.at(1.0, Step::Full(server, node, id, attempt));
        }
        self.at(left, Step::TimedOut(node, id, attempt));
        self.queue[server].push_back((node, id, attempt));
        self.work(server);
    }

    fn work(&mut self, server: usize) {
        while self.busy[server] < self.plan.servers[server].workers {
            let Some((node, id, attempt)) = self.queue[server].pop_front() else { return };
            self.busy[server] += 1;
            let takes = self.exp(self.plan.servers[server].service_ms / self.part(server));
            self.at(takes, Step::Done(server, node, id, attempt));
        }
    }

    fn done(&mut self, server: usize, node: usize, id: u64, attempt: usize) {
        self.busy[server] -= 1;
        let report = Some(self.told[server]);
        self.work(server);
        self.ended(node, id, attempt, Ending::Served, report);
    }

    fn ended(&mut self, node: usize, id: u64, attempt: usize, ending: Ending, report: Option<LoadReport>) {
        let Some((came, attempts, answered)) = self.held.get_mut(&(node, id)) else { return };
        if !std::mem::take(&mut attempts[attempt]) {
            return;
        }
        let elapsed_ms = self.now - *came;
        if ending == Ending::Served && !*answered {
            *answered = true;
            if elapsed_ms <= 400.0 {
                self.out.in_time += 1;
            } else {
                self.out.late += 1;
            }
        }
        let outcome =
            Outcome { request: RequestId(id), attempt, elapsed_ms, ending, complete: *answered, report };
        // What waits is taken out; what runs goes on for nobody.
        for queue in &mut self.queue {
            queue.retain(|(of, held, n)| (*of, *held, *n) != (node, id, attempt));
        }
        self.tell(node, Event::Outcome(outcome));
    }
}
