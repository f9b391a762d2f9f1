//! How evenly hundreds of nodes that share nothing spread their work: real decisions of each in one clock, before a small
//! model of servers; and, on the same arrivals and the same work, what simpler or better informed ways would have done.
//!
//! What the figures mean stands in `docs/design/spread.md`.

use std::collections::{HashMap, VecDeque};

use spurdrum_fleet::figures::poisson;
use spurdrum_policy::{
    Action, Availability, Balancer, Class, Effect, Ending, Event, ListUpdate, LoadReport, Outcome, Request,
    RequestId, ServerEntry, ServerId, Settings,
};
use spurdrum_standin::draw::{exponential, normal};

use crate::agenda::{Agenda, Ms};

/// How servers are chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Way {
    /// The decision module of each node.
    Module,
    /// Drawn by size, blind.
    Random,
    /// Each node sends to one after the other, from a place of its own.
    RoundRobin,
    /// The one of two drawn to which the node has less out.
    TwoChoices,
    /// What a node can know without talk, used as well as can be: each server's last report, which fades to the
    /// fleet's mean with this time constant in milliseconds, and what it has sent there since.
    Reports(f64),
    /// The true state of all servers, at the moment of sending.
    Full,
}

/// One kind of servers.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// How many there are.
    pub count: usize,
    /// Requests that each works on at once.
    pub workers: usize,
    /// Their zone.
    pub zone: usize,
}

/// What happens, and to whom.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The first so many servers do nothing for a while: from and to, in milliseconds.
    Stall(usize, f64, f64),
    /// This part of the nodes starts anew at a time, knowing nothing but the list.
    Restart(f64, f64),
    /// This part of the nodes is dead from a time on; the others get what they got, and all go on being told the old number.
    Die(f64, f64),
}

/// A fleet and its load.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Its servers.
    pub kinds: Vec<Kind>,
    /// Nodes that run.
    pub nodes: usize,
    /// Nodes that each is told of.
    pub told: usize,
    /// Zones that nodes are dealt out to.
    pub zones: usize,
    /// Part of the servers' capacity that is asked for.
    pub load: f64,
    /// Spread of the nodes' parts of it: the sigma of a lognormal.
    pub sigma: f64,
    /// Mean work of a request, exponential, in milliseconds.
    pub work_ms: f64,
    /// How old the reports in answers may be; 0: made for each.
    pub report_ms: f64,
    /// Length, of which the first fifth is left out of the figures.
    pub length_ms: f64,
    /// What happens.
    pub fault: Option<Fault>,
    /// How servers are chosen.
    pub way: Way,
    /// Drives arrivals, work and the nodes.
    pub seed: u64,
}

impl Plan {
    /// 300 nodes before 40 servers of two workers, as the standing measurement has it.
    #[must_use]
    pub fn standing(load: f64, way: Way, seed: u64) -> Self {
        Self {
            kinds: vec![Kind { count: 40, workers: 2, zone: 0 }],
            nodes: 300,
            told: 300,
            zones: 1,
            load,
            sigma: 0.8,
            work_ms: 40.0,
            report_ms: 0.0,
            length_ms: 20_000.0,
            fault: None,
            way,
            seed,
        }
    }
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Requests that came in the part that counts.
    pub offered: usize,
    /// Of them refused or failed.
    pub refused: usize,
    /// Sends to a server, by its capacity, over the mean: least and most.
    pub least: f64,
    /// See `least`.
    pub most: f64,
    /// Standard deviation of the same, and what independent draws would have.
    pub variation: f64,
    /// See `variation`.
    pub poisson: f64,
    /// Latencies of what was served, in milliseconds.
    pub p50: f64,
    /// See `p50`.
    pub p99: f64,
    /// Server-seconds with a free worker while some server had two or more waiting, over all server-seconds.
    pub idle: f64,
    /// Most begun at one server within one mean service time, over the p99.9 of a Poisson count at the mean rate.
    pub herd: f64,
    /// Nodes that sent to a server, on the mean.
    pub met: f64,
}

enum Step {
    Arrives(usize),
    Done(usize, u64),
    TimedOut(u64, usize),
    Timer(usize, u64),
    Reports,
    Fault(bool),
}

/// A client waits this long in all.
const DEADLINE_MS: f64 = 800.0;
const AIM_MS: f64 = 400.0;
/// Guards against times near zero, which some rules take for long ago.
const START: f64 = 1_000_000.0;

#[derive(Default)]
struct Server {
    workers: usize,
    busy: usize,
    queue: VecDeque<(u64, usize)>,
    told: f64,
    stalled: bool,
    /// Those whose work is done while it does nothing.
    kept: Vec<u64>,
    begun: Vec<f64>,
    met: std::collections::HashSet<usize>,
}

struct Open {
    node: usize,
    came: f64,
    work: f64,
    counts: bool,
    /// Where its attempts went, and whether each is out.
    attempts: Vec<(usize, bool)>,
}

/// What a node of the references knows.
#[derive(Clone, Default)]
struct Known {
    /// By server: its last report, when that was, and what was sent there since.
    reports: Vec<Option<(f64, f64)>>,
    since: Vec<f64>,
    out: Vec<f64>,
    next: usize,
    /// Mean wait that all reports tell of, which old ones fade to.
    mean: f64,
    seen: f64,
}

struct World<'a> {
    plan: &'a Plan,
    now: f64,
    steps: Agenda<Ms, Step>,
    entries: Vec<ServerEntry>,
    nodes: Vec<Option<Balancer>>,
    known: Vec<Known>,
    arrivals: Vec<(f64, usize, f64)>,
    random: fastrand::Rng,
    servers: Vec<Server>,
    open: HashMap<u64, Open>,
    served: Vec<f64>,
    figures: Figures,
    /// Server-milliseconds of a free worker while others wait, and all; since when that stands.
    idle: (f64, f64, f64),
}

/// Plays a plan to its end.
#[must_use]
pub fn play(plan: &Plan) -> Figures {
    let servers: Vec<(usize, usize)> =
        plan.kinds.iter().flat_map(|kind| (0..kind.count).map(|_| (kind.workers, kind.zone))).collect();
    let entries = servers.iter().enumerate().map(|(n, (workers, zone))| ServerEntry {
        zone: *zone,
        weight: *workers as f64,
        // Named as fleets are: by kind and number.
        name_hash: spurdrum_facts::name_hash(&format!("size{workers}x{n}")),
        ..ServerEntry::new(ServerId(n), Availability::Ready)
    });
    let mut world = World {
        plan,
        now: START,
        steps: Agenda::default(),
        entries: entries.collect(),
        nodes: Vec::new(),
        known: vec![
            Known {
                reports: vec![None; servers.len()],
                since: vec![0.0; servers.len()],
                out: vec![0.0; servers.len()],
                ..Known::default()
            };
            plan.nodes
        ],
        arrivals: Vec::new(),
        random: fastrand::Rng::with_seed(plan.seed ^ 0xfeed),
        servers: servers
            .iter()
            .map(|(workers, _)| Server { workers: *workers, ..Server::default() })
            .collect(),
        open: HashMap::new(),
        served: Vec::new(),
        figures: Figures::default(),
        idle: (0.0, 0.0, START),
    };
    world.draw();
    for me in 0..plan.nodes {
        let node = world.node(me);
        world.nodes.push(node);
    }
    world.run();
    world.sum()
}

impl World<'_> {
    fn capacity(&self) -> f64 {
        self.servers.iter().map(|server| server.workers as f64).sum::<f64>() / self.plan.work_ms
    }

    /// All arrivals and their work: the same for every way.
    fn draw(&mut self) {
        let mut rng = fastrand::Rng::with_seed(self.plan.seed);
        let parts: Vec<f64> =
            (0..self.plan.nodes).map(|_| (self.plan.sigma * normal(&mut rng)).exp()).collect();
        let alive: Vec<usize> = (0..self.plan.nodes).collect();
        let sum: f64 = parts.iter().sum();
        let gap = 1.0 / (self.capacity() * self.plan.load);
        let mut at = 0.0;
        while at < self.plan.length_ms {
            at += exponential(&mut rng, gap);
            let mut draw = rng.f64() * sum;
            let node = alive.iter().copied().find(|n| {
                draw -= parts[*n];
                draw <= 0.0
            });
            let work = exponential(&mut rng, self.plan.work_ms);
            self.arrivals.push((START + at, node.unwrap_or(0), work));
        }
        if let Some(Fault::Die(part, from)) = self.plan.fault {
            let dead = (self.plan.nodes as f64 * part) as usize;
            for (at, node, _) in &mut self.arrivals {
                if *at >= START + from && *node < dead {
                    *node = dead + rng.usize(..self.plan.nodes - dead);
                }
            }
        }
    }

    fn node(&self, me: usize) -> Option<Balancer> {
        if self.plan.way != Way::Module {
            return None;
        }
        let mut settings = Settings::new(vec![Class::new(AIM_MS, DEADLINE_MS, Effect::Safe)]);
        (settings.nodes, settings.node_index, settings.zone) = (self.plan.told, me, me % self.plan.zones);
        settings.weights = spurdrum_policy::Weights::Size;
        let mut node = Balancer::new(settings, self.plan.seed * 1000 + me as u64).expect("sound settings");
        node.handle(self.now, Event::Servers(ListUpdate::Full(self.entries.clone())), &mut Vec::new());
        Some(node)
    }

    fn at(&mut self, at: f64, step: Step) {
        self.steps.plan(Ms(at), step);
    }

    fn run(&mut self) {
        self.at(self.arrivals[0].0, Step::Arrives(0));
        if self.plan.report_ms > 0.0 {
            self.at(START, Step::Reports);
        }
        match self.plan.fault {
            Some(Fault::Stall(_, from, to)) => {
                self.at(START + from, Step::Fault(true));
                self.at(START + to, Step::Fault(false));
            }
            Some(Fault::Restart(_, from)) => self.at(START + from, Step::Fault(true)),
            Some(Fault::Die(..)) | None => {}
        }
        while let Some((Ms(at), step)) = self.steps.take() {
            self.account(at);
            self.now = at;
            match step {
                Step::Arrives(n) => self.arrives(n),
                Step::Done(server, id) => self.done(server, id),
                Step::TimedOut(id, attempt) => self.ended(id, attempt, Ending::TimedOut, None),
                Step::Timer(node, timer) => self.tell(node, Event::Timer(timer)),
                Step::Reports => {
                    for server in &mut self.servers {
                        server.told = (server.queue.len() + server.busy) as f64;
                    }
                    if self.now < START + self.plan.length_ms {
                        self.at(self.now + self.plan.report_ms, Step::Reports);
                    }
                }
                Step::Fault(begins) => self.fault(begins),
            }
        }
    }

    fn fault(&mut self, begins: bool) {
        match self.plan.fault {
            Some(Fault::Stall(count, ..)) => {
                for at in 0..count {
                    self.servers[at].stalled = begins;
                    for id in std::mem::take(&mut self.servers[at].kept) {
                        self.done(at, id);
                    }
                }
            }
            Some(Fault::Restart(part, _)) => {
                for me in 0..(self.plan.nodes as f64 * part) as usize {
                    self.nodes[me] = self.node(me);
                    let gone: Vec<u64> =
                        self.open.iter().filter(|(_, open)| open.node == me).map(|(id, _)| *id).collect();
                    gone.into_iter().for_each(|id| {
                        self.open.remove(&id);
                        self.servers.iter_mut().for_each(|s| s.queue.retain(|(of, _)| *of != id));
                    });
                }
            }
            Some(Fault::Die(..)) | None => {}
        }
    }

    fn counts(&self) -> bool {
        let from = START + self.plan.length_ms / 5.0;
        self.now >= from && self.now < START + self.plan.length_ms
    }

    /// Adds up what stood since the last step.
    fn account(&mut self, to: f64) {
        if !self.counts() {
            return;
        }
        let time = to - self.now;
        self.idle.1 += time * self.servers.len() as f64;
        if self.servers.iter().any(|server| server.queue.len() >= 2) {
            let free = self.servers.iter().filter(|server| server.busy < server.workers && !server.stalled);
            self.idle.0 += time * free.count() as f64;
        }
    }

    fn arrives(&mut self, n: usize) {
        if let Some((at, ..)) = self.arrivals.get(n + 1) {
            self.at(*at, Step::Arrives(n + 1));
        }
        let (came, node, work) = self.arrivals[n];
        let (id, counts) = (n as u64 + 1, self.counts());
        self.figures.offered += usize::from(counts);
        self.open.insert(id, Open { node, came, work, counts, attempts: Vec::new() });
        if self.plan.way == Way::Module {
            return self.tell(node, Event::Request(Request::new(RequestId(id), 0, DEADLINE_MS)));
        }
        let server = self.choose(node);
        self.send(id, server);
    }

    fn choose(&mut self, node: usize) -> usize {
        let all = self.servers.len();
        let workers: usize = self.servers.iter().map(|server| server.workers).sum();
        let mut by_size = || {
            let mut draw = self.random.usize(..workers);
            let mut at = 0;
            while draw >= self.servers[at].workers {
                draw -= self.servers[at].workers;
                at += 1;
            }
            at
        };
        let known = &mut self.known[node];
        match self.plan.way {
            Way::Random | Way::Module => by_size(),
            Way::RoundRobin => {
                known.next += 1;
                (node * 7 + known.next) % all
            }
            Way::TwoChoices => {
                let (a, b) = (by_size(), by_size());
                if known.out[a] <= known.out[b] {
                    a
                } else {
                    b
                }
            }
            Way::Reports(fades) => {
                let wait = |at: usize| {
                    let workers = self.servers[at].workers as f64;
                    let told = known.reports[at].map_or(0.0, |(held, when)| {
                        (wait_of(held, workers) - known.mean) * (-(self.now - when) / fades).exp()
                    });
                    known.mean + told + known.since[at] / workers
                };
                lowest((0..all).map(|at| (wait(at), self.random.f64())))
            }
            Way::Full => {
                let wait = |s: &Server| {
                    let held = (s.queue.len() + s.busy) as f64 + if s.stalled { 1e6 } else { 0.0 };
                    wait_of(held, s.workers as f64)
                };
                lowest(self.servers.iter().map(|s| (wait(s), self.random.f64())))
            }
        }
    }

    fn tell(&mut self, node: usize, event: Event) {
        let mut actions = Vec::new();
        let Some(balancer) = self.nodes[node].as_mut() else { return };
        balancer.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { request, server } => self.send(request.0, server.0),
                Action::Refuse { request, .. } | Action::Fail { request } => {
                    let open = self.open.get(&request.0).expect("open");
                    self.figures.refused += usize::from(open.counts);
                    if open.attempts.iter().all(|(_, out)| !out) {
                        self.open.remove(&request.0);
                    }
                }
                Action::SetTimer { timer, after_ms } => {
                    self.at(self.now + after_ms, Step::Timer(node, timer))
                }
                Action::Cancel { request, attempt } => {
                    self.ended(request.0, attempt, Ending::Cancelled, None)
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, id: u64, server: usize) {
        let open = self.open.get_mut(&id).expect("open");
        open.attempts.push((server, true));
        let (attempt, ends) = (open.attempts.len() - 1, open.came + DEADLINE_MS);
        let (node, counts) = (open.node, open.counts);
        let known = &mut self.known[node];
        known.since[server] += 1.0;
        known.out[server] += 1.0;
        let to = &mut self.servers[server];
        to.queue.push_back((id, attempt));
        if counts {
            to.begun.push(self.now);
            to.met.insert(node);
        }
        self.at(ends, Step::TimedOut(id, attempt));
        self.work(server);
    }

    fn work(&mut self, server: usize) {
        while self.servers[server].busy < self.servers[server].workers && !self.servers[server].stalled {
            let Some((id, _)) = self.servers[server].queue.pop_front() else { return };
            self.servers[server].busy += 1;
            let work = self.open.get(&id).map_or(self.plan.work_ms, |open| open.work);
            self.at(self.now + work, Step::Done(server, id));
        }
    }

    fn done(&mut self, server: usize, id: u64) {
        if self.servers[server].stalled {
            return self.servers[server].kept.push(id);
        }
        self.servers[server].busy -= 1;
        self.work(server);
        let Server { busy, queue, told, .. } = &self.servers[server];
        let held = if self.plan.report_ms > 0.0 { *told } else { (busy + queue.len()) as f64 };
        let Some(open) = self.open.get(&id) else { return };
        let here = open.attempts.iter().position(|(at, out)| *out && *at == server);
        if let Some(attempt) = here {
            let known = &mut self.known[open.node];
            (known.reports[server], known.since[server]) = (Some((held, self.now)), 0.0);
            known.seen = (known.seen + 1.0).min(200.0);
            let workers = self.servers[server].workers as f64;
            known.mean += (wait_of(held, workers) - known.mean) / known.seen;
            let report = LoadReport { in_flight: Some(held), queued: None };
            self.ended(id, attempt, Ending::Served, Some(report));
        }
    }

    fn ended(&mut self, id: u64, attempt: usize, ending: Ending, report: Option<LoadReport>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        if !std::mem::take(&mut open.attempts[attempt].1) {
            return;
        }
        let (server, node, elapsed_ms) = (open.attempts[attempt].0, open.node, self.now - open.came);
        self.known[node].out[server] -= 1.0;
        self.servers[server].queue.retain(|(of, n)| (*of, *n) != (id, attempt));
        let complete = ending == Ending::Served;
        if complete && open.counts {
            self.served.push(elapsed_ms);
        }
        if complete || self.plan.way != Way::Module {
            self.figures.refused += usize::from(!complete && open.counts);
            self.open.remove(&id);
        }
        let outcome = Outcome { request: RequestId(id), attempt, elapsed_ms, ending, complete, report };
        self.tell(node, Event::Outcome(outcome));
    }

    fn sum(mut self) -> Figures {
        let workers: usize = self.servers.iter().map(|server| server.workers).sum();
        let sent: usize = self.servers.iter().map(|server| server.begun.len()).sum();
        let each = sent as f64 / workers as f64;
        let parts = self.servers.iter().map(|s| s.begun.len() as f64 / s.workers as f64 / each);
        let parts: Vec<f64> = parts.collect();
        self.served.sort_by(f64::total_cmp);
        let rank = |part: f64| self.served.get((self.served.len() as f64 * part) as usize).copied();
        let variance = parts.iter().map(|part| (part - 1.0).powi(2)).sum::<f64>() / parts.len() as f64;
        let draws = self.servers.iter().map(|s| 1.0 / (each * s.workers as f64)).sum::<f64>();
        let within = |times: &[f64]| {
            let mut first = 0;
            let most = times.iter().enumerate().map(|(n, at)| {
                while at - times[first] > self.plan.work_ms {
                    first += 1;
                }
                n + 1 - first
            });
            most.max().unwrap_or(0)
        };
        let span = self.plan.length_ms * 0.8;
        let herd = self.servers.iter().map(|s| {
            let usual = poisson(each * s.workers as f64 / span * self.plan.work_ms, 0.999);
            within(&s.begun) as f64 / usual as f64
        });
        let met: usize = self.servers.iter().map(|server| server.met.len()).sum();
        Figures {
            least: parts.iter().copied().fold(f64::INFINITY, f64::min),
            most: parts.iter().copied().fold(0.0, f64::max),
            variation: variance.sqrt(),
            poisson: (draws / parts.len() as f64).sqrt(),
            p50: rank(0.5).unwrap_or_default(),
            p99: rank(0.99).unwrap_or_default(),
            idle: self.idle.0 / self.idle.1.max(1.0),
            herd: herd.fold(0.0, f64::max),
            met: met as f64 / self.servers.len() as f64,
            ..self.figures
        }
    }
}

/// The place of the lowest; the second figure decides between equals.
fn lowest(of: impl Iterator<Item = (f64, f64)>) -> usize {
    let least = of.enumerate().min_by(|(_, a), (_, b)| a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1)));
    least.map_or(0, |(at, _)| at)
}

/// What a request waits at a server that holds so many, in times of its work.
fn wait_of(held: f64, workers: f64) -> f64 {
    ((held + 1.0) / workers).max(1.0)
}
