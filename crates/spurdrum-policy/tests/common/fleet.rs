//! A simulation of many nodes: their real decisions in front of a simple model of servers, to measure what
//! all nodes together do.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use spurdrum_policy::*;

/// A server with a number of workers that serve in order of arrival. Each answer carries a load report that
/// is some time old.
#[derive(Clone, Debug)]
pub struct Server {
    pub zone: usize,
    pub workers: usize,
    /// Mean time that a request takes, in milliseconds.
    pub service_ms: f64,
    /// Fraction of the requests that the server answers with an error at once.
    pub errors: f64,
}

/// A restart of some servers, which all nodes learn of at once. Their capacity then grows linearly, as the
/// settings say.
#[derive(Clone, Debug, Default)]
pub struct Restart {
    pub servers: Vec<usize>,
    pub at_ms: f64,
    /// Whether all nodes restart with them and lose what they have learned.
    pub nodes: bool,
}

/// The parameters of a simulation.
#[derive(Clone)]
pub struct Plan {
    pub servers: Vec<Server>,
    pub nodes: usize,
    pub zones: usize,
    /// Requests per second, over all nodes.
    pub rate: f64,
    pub length_ms: f64,
    pub settings: Settings,
    pub seed: u64,
    pub restart: Restart,
    /// Number of queued requests at which a server refuses more; 0: no limit.
    pub max_queue: usize,
    /// How often a client that is refused retries, after a short wait.
    pub client_retries: usize,
    /// Every tenth node has this many times the traffic of the others.
    pub busy_factor: f64,
}

/// The results of a simulation.
#[derive(Default)]
pub struct Outcomes {
    pub offered: usize,
    pub in_time: usize,
    pub late: usize,
    pub refused: usize,
    /// Attempts by server, and the failed ones of them.
    pub sent: Vec<usize>,
    pub failed: Vec<usize>,
    pub probes: usize,
    /// Number of nodes that sent to each server.
    pub sending_nodes: Vec<usize>,
    /// Attempts sent to restarted servers: the server, and the time since its restart.
    pub sent_after_restart: Vec<(usize, f64)>,
}

impl Outcomes {
    /// Returns the highest load that the whole fleet put on a restarted server in slow start, relative to
    /// what is allowed: the most requests in a window of `collapse_after_ms`, divided by the number that the
    /// settings allow in it plus a margin for chance of 2 x its square root + 2.
    pub fn max_slow_start_load(&self, plan: &Plan) -> f64 {
        let Settings { slow_start_min_capacity, slow_start_ms, collapse_multiple, collapse_after_ms, .. } =
            plan.settings;
        let capacity_fraction = |age: f64| {
            (slow_start_min_capacity + (1.0 - slow_start_min_capacity) * age / slow_start_ms).min(1.0)
        };
        let loads = plan.restart.servers.iter().flat_map(|server| {
            let full = plan.servers[*server].workers as f64 / plan.servers[*server].service_ms;
            let sent: Vec<f64> =
                self.sent_after_restart.iter().filter(|(at, _)| at == server).map(|(_, age)| *age).collect();
            let windows = sent.iter().take_while(|age| **age + collapse_after_ms <= slow_start_ms).count();
            (0..windows).map(move |first| {
                let end = sent[first] + collapse_after_ms;
                let count = sent[first..].iter().take_while(|age| **age < end).count() as f64;
                let allowed = collapse_multiple
                    * full
                    * collapse_after_ms
                    * (capacity_fraction(sent[first]) + capacity_fraction(end))
                    / 2.0;
                count / (allowed + 2.0 * allowed.sqrt() + 2.0)
            })
        });
        loads.fold(0.0, f64::max)
    }
}

/// Interval at which servers update the load report in their answers.
const REPORT_MS: f64 = 500.0;

/// An event of the simulation. The numbers are the server, the node, the request and the attempt, as far as
/// it has them.
enum Step {
    /// A new client's request at a node.
    Arrives(usize),
    /// A client's retry at a node, and how often it may retry after that.
    ClientRetry(usize, usize),
    Restart,
    Done(usize, usize, u64, usize),
    Fails(usize, usize, u64, usize),
    Full(usize, usize, u64, usize),
    TimedOut(usize, u64, usize),
    Probed(usize, usize),
    Timer(usize, u64),
    Report,
}

/// A scheduled event: its time, a sequence number that orders events of the same time, and the event.
struct Scheduled(f64, u64, Step);

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.1 == other.1
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
    }
}

struct World {
    plan: Plan,
    now: f64,
    sequence: u64,
    steps: BinaryHeap<Reverse<Scheduled>>,
    nodes: Vec<Balancer>,
    random: fastrand::Rng,
    /// Of each server: busy workers, queued attempts, and its last load report.
    busy: Vec<usize>,
    queue: Vec<VecDeque<(usize, u64, usize)>>,
    last_reports: Vec<LoadReport>,
    /// Requests by node and id: when they came, whether each of their attempts is in flight, and whether they
    /// are answered.
    pending: HashMap<(usize, u64), (f64, Vec<bool>, bool)>,
    last_id: u64,
    /// How often the client of a request may still retry.
    client_retries: HashMap<(usize, u64), usize>,
    restarted: Option<f64>,
    outcomes: Outcomes,
    /// The nodes that sent to each server.
    sending_nodes: Vec<std::collections::HashSet<usize>>,
}

/// Runs a simulation to its end.
pub fn simulate(plan: Plan) -> Outcomes {
    let node = |index: usize| new_node(&plan, index, 0);
    let count = plan.servers.len();
    let mut world = World {
        now: 1_000_000.0,
        sequence: 0,
        steps: BinaryHeap::new(),
        nodes: (0..plan.nodes).map(node).collect(),
        random: fastrand::Rng::with_seed(plan.seed),
        busy: vec![0; count],
        queue: vec![VecDeque::new(); count],
        last_reports: vec![LoadReport { in_flight: Some(0.0), queued: Some(0.0) }; count],
        pending: HashMap::new(),
        last_id: 0,
        client_retries: HashMap::new(),
        restarted: None,
        outcomes: Outcomes { sent: vec![0; count], failed: vec![0; count], ..Outcomes::default() },
        sending_nodes: vec![Default::default(); count],
        plan,
    };
    world.run();
    world.outcomes.sending_nodes = world.sending_nodes.iter().map(|nodes| nodes.len()).collect();
    world.outcomes
}

fn new_node(plan: &Plan, node_index: usize, seed_offset: u64) -> Balancer {
    let settings =
        Settings { nodes: plan.nodes, node_index, zone: node_index % plan.zones, ..plan.settings.clone() };
    Balancer::new(settings, plan.seed * 1000 + node_index as u64 + seed_offset).expect("sound settings")
}

impl World {
    /// Schedules an event after a time.
    fn schedule(&mut self, after_ms: f64, step: Step) {
        self.sequence += 1;
        self.steps.push(Reverse(Scheduled(self.now + after_ms, self.sequence, step)));
    }

    fn exponential(&mut self, mean: f64) -> f64 {
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
            self.schedule(self.plan.restart.at_ms, Step::Restart);
        }
        for node in 0..self.nodes.len() {
            self.feed(node, Event::Servers(ListUpdate::Full(entries.clone())));
            self.next_arrival(node);
        }
        self.schedule(REPORT_MS, Step::Report);
        let end = self.now + self.plan.length_ms;
        while let Some(Reverse(Scheduled(now, _, step))) = self.steps.pop() {
            self.now = now;
            match step {
                Step::Arrives(node) if now < end => self.arrives(node),
                Step::Arrives(_) => {}
                Step::ClientRetry(node, left) => self.new_request(node, left),
                Step::Restart => self.restart(),
                Step::Done(server, node, id, attempt) => self.done(server, node, id, attempt),
                Step::Fails(server, node, id, attempt) => {
                    self.outcomes.failed[server] += 1;
                    let report = Some(self.last_reports[server]);
                    self.ended(node, id, attempt, Ending::Error, report);
                }
                Step::Full(server, node, id, attempt) => {
                    let report = Some(self.last_reports[server]);
                    self.ended(node, id, attempt, Ending::Full, report);
                }
                Step::TimedOut(node, id, attempt) => self.ended(node, id, attempt, Ending::TimedOut, None),
                Step::Probed(node, server) => {
                    let (queued, in_flight) = self.load(server);
                    let report = Some(LoadReport { in_flight: Some(in_flight), queued: Some(queued) });
                    self.feed(
                        node,
                        Event::Probed { server: ServerId(server), ending: Ending::Served, report },
                    );
                }
                Step::Timer(node, timer) => self.feed(node, Event::Timer(timer)),
                Step::Report => {
                    for n in 0..self.queue.len() {
                        let (queued, in_flight) = self.load(n);
                        self.last_reports[n] =
                            LoadReport { in_flight: Some(in_flight), queued: Some(queued) };
                    }
                    if now < end {
                        self.schedule(REPORT_MS, Step::Report);
                    }
                }
            }
        }
    }

    /// Returns how many attempts are queued at a server, and how many are queued or in work there.
    fn load(&self, server: usize) -> (f64, f64) {
        let queued = self.queue[server].len();
        (queued as f64, (queued + self.busy[server]) as f64)
    }

    fn next_arrival(&mut self, node: usize) {
        let weight = |node: usize| if node.is_multiple_of(10) { self.plan.busy_factor } else { 1.0 };
        let all: f64 = (0..self.plan.nodes).map(weight).sum();
        let gap = self.exponential(1000.0 * all / weight(node) / self.plan.rate);
        self.schedule(gap, Step::Arrives(node));
    }

    fn restart(&mut self) {
        self.restarted = Some(self.now);
        let mut entries = self.entries();
        let Restart { servers, .. } = &self.plan.restart;
        entries.retain(|entry| servers.contains(&entry.server.0));
        for entry in &mut entries {
            // A restarted server loses its queue.
            self.queue[entry.server.0].clear();
            entry.started_at = Some(self.now);
        }
        for node in 0..self.nodes.len() {
            if self.plan.restart.nodes {
                // A restarted node loses its pending requests.
                self.pending.retain(|(owner, _), _| *owner != node);
                self.nodes[node] = new_node(&self.plan, node, 500);
                let mut all = self.entries();
                for entry in &mut all {
                    entry.started_at = entries.iter().find(|e| e.server == entry.server).and(Some(self.now));
                }
                self.feed(node, Event::Servers(ListUpdate::Full(all)));
                continue;
            }
            self.feed(node, Event::Servers(ListUpdate::Changes(entries.clone())));
        }
    }

    /// Returns the fraction of its capacity that a server has now.
    fn capacity_fraction(&self, server: usize) -> f64 {
        let Settings { slow_start_min_capacity, slow_start_ms, .. } = self.plan.settings;
        let restarted = self.restarted.filter(|_| self.plan.restart.servers.contains(&server));
        restarted.map_or(1.0, |at| {
            (slow_start_min_capacity + (1.0 - slow_start_min_capacity) * (self.now - at) / slow_start_ms)
                .min(1.0)
        })
    }

    fn arrives(&mut self, node: usize) {
        self.next_arrival(node);
        self.outcomes.offered += 1;
        self.new_request(node, self.plan.client_retries);
    }

    fn new_request(&mut self, node: usize, client_retries: usize) {
        self.last_id += 1;
        self.client_retries.insert((node, self.last_id), client_retries);
        self.pending.insert((node, self.last_id), (self.now, Vec::new(), false));
        let request = Request::new(RequestId(self.last_id), 0, 800.0);
        self.feed(node, Event::Request(request));
    }

    /// Feeds an event to a node and carries out its actions.
    fn feed(&mut self, node: usize, event: Event) {
        let mut actions = Vec::new();
        self.nodes[node].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { request, server } => self.send(node, request.0, server.0),
                Action::Refuse { request, .. } | Action::Fail { request } => {
                    self.outcomes.refused += 1;
                    self.pending.get_mut(&(node, request.0)).expect("pending").2 = true;
                    let left = self.client_retries.remove(&(node, request.0)).unwrap_or_default();
                    if left > 0 {
                        let after_ms = self.exponential(60.0);
                        self.schedule(after_ms, Step::ClientRetry(node, left - 1));
                    }
                }
                Action::SetTimer { timer, after_ms } => self.schedule(after_ms, Step::Timer(node, timer)),
                Action::Probe { server } => {
                    self.outcomes.probes += 1;
                    self.schedule(2.0, Step::Probed(node, server.0));
                }
                Action::Cancel { request, attempt } => {
                    self.ended(node, request.0, attempt, Ending::Cancelled, None);
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, node: usize, id: u64, server: usize) {
        self.outcomes.sent[server] += 1;
        self.sending_nodes[server].insert(node);
        let (came_at, attempts, _) = self.pending.get_mut(&(node, id)).expect("pending");
        attempts.push(true);
        let (attempt, left_ms) = (attempts.len() - 1, *came_at + 800.0 - self.now);
        if self.random.f64() < self.plan.servers[server].errors {
            return self.schedule(2.0, Step::Fails(server, node, id, attempt));
        }
        if let Some(at) = self.restarted.filter(|_| self.plan.restart.servers.contains(&server)) {
            self.outcomes.sent_after_restart.push((server, self.now - at));
        }
        if self.plan.max_queue > 0 && self.queue[server].len() >= self.plan.max_queue {
            return self.schedule(1.0, Step::Full(server, node, id, attempt));
        }
        self.schedule(left_ms, Step::TimedOut(node, id, attempt));
        self.queue[server].push_back((node, id, attempt));
        self.work(server);
    }

    fn work(&mut self, server: usize) {
        while self.busy[server] < self.plan.servers[server].workers {
            let Some((node, id, attempt)) = self.queue[server].pop_front() else { return };
            self.busy[server] += 1;
            let service_ms =
                self.exponential(self.plan.servers[server].service_ms / self.capacity_fraction(server));
            self.schedule(service_ms, Step::Done(server, node, id, attempt));
        }
    }

    fn done(&mut self, server: usize, node: usize, id: u64, attempt: usize) {
        self.busy[server] -= 1;
        let report = Some(self.last_reports[server]);
        self.work(server);
        self.ended(node, id, attempt, Ending::Served, report);
    }

    fn ended(&mut self, node: usize, id: u64, attempt: usize, ending: Ending, report: Option<LoadReport>) {
        let Some((came_at, attempts, answered)) = self.pending.get_mut(&(node, id)) else { return };
        if !std::mem::take(&mut attempts[attempt]) {
            return;
        }
        let elapsed_ms = self.now - *came_at;
        if ending == Ending::Served && !*answered {
            *answered = true;
            if elapsed_ms <= 400.0 {
                self.outcomes.in_time += 1;
            } else {
                self.outcomes.late += 1;
            }
        }
        let outcome =
            Outcome { request: RequestId(id), attempt, elapsed_ms, ending, complete: *answered, report };
        // A queued attempt is removed from its queue; one in work goes on without a client.
        for queue in &mut self.queue {
            queue.retain(|(of, of_id, n)| (*of, *of_id, *n) != (node, id, attempt));
        }
        self.feed(node, Event::Outcome(outcome));
    }
}
