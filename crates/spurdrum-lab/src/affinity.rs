//! Keys that had better stay with one server, in simulated time: nodes with the real decisions and the real table, before
//! servers that take longer for a key they have not had of late.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use hdrhistogram::Histogram;
use spurdrum_affinity::{
    Affinity, AffinityKey, InitialPlacement, KeyHasher, ListedServer, Settings as Binding,
};
use spurdrum_policy::{
    Action, Availability, Balancer, Class, Effect, Ending, Event, ListUpdate, LoadReport, Outcome, Request,
    RequestId, ServerEntry, ServerId, Settings,
};
use spurdrum_standin::model::{Model, SimulatedOutcome};
use spurdrum_standin::scenario::{Distribution, Fault, FaultKind, Spec};

/// One way between a node and a server, in milliseconds.
const WAY: f64 = 0.3;
/// A client waits for so long, and wants its answer by then.
const DEADLINE: f64 = 800.0;
/// See [`DEADLINE`].
const AIM: f64 = 200.0;
/// A key is warm at a server that has served it within this time.
const WARM_MS: f64 = 30_000.0;
/// All nodes learn of changes of the list so much later.
const LAG: f64 = 100.0;

/// How a node deals with keys.
#[derive(Clone, Copy, Debug)]
pub enum Way {
    /// It knows of none.
    None,
    /// It keeps them, as far as counts allow by this slack.
    Kept {
        /// See `preference_slack`.
        slack: f64,
        /// Whether nodes agree on a key's first server.
        ring: bool,
    },
}

/// What befalls the site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing.
    None,
    /// One server takes four times as long for a quarter of the time.
    Slow,
    /// Every server is replaced, one after the other.
    Deploy,
    /// All nodes start anew in the middle, and forget.
    Restart,
    /// All nodes start anew in the middle, with what they had written.
    RestartKept,
}

/// A site and its load.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Nodes; a request comes to any of them.
    pub nodes: usize,
    /// Servers of two cores.
    pub servers: usize,
    /// Different keys; the n-th is asked for in proportion to 1/n to the power `skew`.
    pub keys: usize,
    /// See `keys`.
    pub skew: f64,
    /// Requests, in parts of what the servers can do where every key is warm.
    pub load: f64,
    /// Work for a key that is not warm, in parts of that for one that is.
    pub cold_key: f64,
    /// Length in milliseconds; the first fifth is not counted.
    pub length: f64,
    /// What befalls it.
    pub trouble: Trouble,
    /// Drives all that is random.
    pub seed: u64,
}

/// What came of it.
pub struct Played {
    /// First tries, and those that were answered by their aim.
    pub asked: u64,
    /// See `asked`.
    pub in_aim: u64,
    /// Served by a server at which the key was warm.
    pub warm: u64,
    /// Served at all.
    pub served: u64,
    /// Refused or failed.
    pub turned_away: u64,
    /// Microseconds to the answer.
    pub latency: Histogram<u64>,
    /// Sent to a server more than 250 ms after it began to drain.
    pub late_to_drained: u64,
}

impl Played {
    /// Two days together.
    #[must_use]
    pub fn plus(mut self, other: Self) -> Self {
        self.asked += other.asked;
        self.in_aim += other.in_aim;
        self.warm += other.warm;
        self.served += other.served;
        self.turned_away += other.turned_away;
        self.late_to_drained += other.late_to_drained;
        self.latency.add(other.latency).expect("of one kind");
        self
    }
}

#[derive(Clone, Copy)]
enum Ev {
    Arrive,
    At(usize, u64, usize),
    Done(u64, usize, Ending, f64),
    Timer(usize, u64),
    Wake(usize),
    List(usize, usize),
    Drained(usize),
    Gone(usize),
    Restart,
}

struct Pending {
    node: usize,
    key: usize,
    came: f64,
    attempts: usize,
    to: usize,
    /// Whether the attempt that is out has ended for its node.
    over: bool,
    answered: bool,
}

struct Node {
    balancer: Balancer,
    affinity: Option<Affinity>,
}

struct World {
    plan: Plan,
    way: Way,
    now: f64,
    seq: u64,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Ev>,
    free: Vec<usize>,
    nodes: Vec<Node>,
    models: Vec<Model>,
    warm: Vec<HashMap<usize, f64>>,
    drained_at: Vec<f64>,
    /// When each server is looked at next.
    wakes: Vec<f64>,
    jobs: HashMap<(usize, u64), (u64, usize)>,
    next_job: u64,
    pending: HashMap<u64, Pending>,
    next_id: u64,
    random: fastrand::Rng,
    keyer: KeyHasher,
    played: Played,
    cumulative: Vec<f64>,
    rate: f64,
}

fn spec() -> Spec {
    Spec {
        cores: 2,
        slots: 8,
        queue: 32,
        work_ms: 10.0,
        work: Distribution::Exponential,
        report_ms: 0.0,
        ..Spec::default()
    }
}

/// Plays a site once.
pub fn play(plan: &Plan, way: Way) -> Played {
    let mut cumulative: Vec<f64> = Vec::with_capacity(plan.keys);
    for n in 1..=plan.keys {
        cumulative.push(cumulative.last().unwrap_or(&0.0) + (n as f64).powf(-plan.skew));
    }
    let rate = plan.load * plan.servers as f64 * 2.0 / 10.0;
    let played = Played {
        asked: 0,
        in_aim: 0,
        warm: 0,
        served: 0,
        turned_away: 0,
        latency: Histogram::new(3).expect("3 digits"),
        late_to_drained: 0,
    };
    let mut world = World {
        plan: plan.clone(),
        way,
        now: 0.0,
        seq: 0,
        queue: BinaryHeap::new(),
        events: Vec::new(),
        free: Vec::new(),
        nodes: Vec::new(),
        models: Vec::new(),
        warm: Vec::new(),
        drained_at: Vec::new(),
        wakes: Vec::new(),
        jobs: HashMap::new(),
        next_job: 0,
        pending: HashMap::new(),
        next_id: 0,
        random: fastrand::Rng::with_seed(plan.seed),
        keyer: KeyHasher::new([0; 16]),
        played,
        cumulative,
        rate,
    };
    world.set_up();
    world.run();
    world.played
}

impl World {
    fn at(&mut self, at: f64, event: Ev) {
        self.seq += 1;
        let place = match self.free.pop() {
            Some(place) => {
                self.events[place] = event;
                place
            }
            None => {
                self.events.push(event);
                self.events.len() - 1
            }
        };
        // Nanoseconds order events, and at one instant the order in which they were made.
        self.queue.push(Reverse(((at.max(self.now) * 1e6) as u64, self.seq, place)));
    }

    fn set_up(&mut self) {
        let (servers, length) = (self.plan.servers, self.plan.length);
        for at in 0..servers {
            self.add_server(at, None);
        }
        for me in 0..self.plan.nodes {
            let node = self.node(me);
            self.nodes.push(node);
        }
        for server in 0..servers {
            for node in 0..self.plan.nodes {
                self.tell(node, server, Availability::Ready, None);
            }
        }
        self.at(0.0, Ev::Arrive);
        if self.plan.trouble == Trouble::Deploy {
            for server in 0..servers {
                let at = length * (0.3 + 0.6 * server as f64 / servers as f64);
                self.at(at, Ev::Drained(server));
            }
        }
        if matches!(self.plan.trouble, Trouble::Restart | Trouble::RestartKept) {
            self.at(length * 0.5, Ev::Restart);
        }
    }

    fn add_server(&mut self, at: usize, started: Option<f64>) {
        let (from, lasts) = (self.plan.length / 1000.0 * 0.4, self.plan.length / 1000.0 * 0.25);
        let slow = Fault {
            on: "s".into(),
            kind: FaultKind::Slow,
            at_s: from,
            for_s: Some(lasts),
            part: 1.0,
            factor: 4.0,
            delay_ms: 0,
        };
        let faults = if self.plan.trouble == Trouble::Slow && at == 0 { vec![slow] } else { Vec::new() };
        let seed = self.plan.seed ^ (at as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        self.models.push(Model::new(spec(), faults, seed, started));
        self.warm.push(HashMap::new());
        self.drained_at.push(f64::INFINITY);
        self.wakes.push(f64::INFINITY);
    }

    fn node(&self, me: usize) -> Node {
        let mut settings =
            Settings::new(vec![Class { late_value: 0.5, ..Class::new(AIM, DEADLINE, Effect::Safe) }]);
        (settings.nodes, settings.node_index, settings.max_retry_after_ms) =
            (self.plan.nodes, me, Some(1_000.0));
        (settings.slow_start_ms, settings.slow_start_min_capacity) = (8_000.0, 0.3);
        let mut binding = Binding { max_bindings: 65_536, slow_start_ms: 8_000.0, ..Binding::default() };
        let mut kept = false;
        if let Way::Kept { slack, ring } = self.way {
            settings.preference_slack = slack;
            binding.initial_placement =
                if ring { InitialPlacement::Ring } else { InitialPlacement::LowestCount };
            kept = true;
        }
        let seed = self.plan.seed.wrapping_add(me as u64 * 77);
        Node {
            balancer: Balancer::new(settings, seed).expect("sound"),
            affinity: kept.then(|| Affinity::new(binding, 0.0).expect("sound")),
        }
    }

    fn tell(&mut self, node: usize, server: usize, availability: Availability, started_at: Option<f64>) {
        let entry = ServerEntry {
            started_at,
            name_hash: server as u64 * 7919,
            ..ServerEntry::new(ServerId(server), availability)
        };
        let (id, server, name_hash, weight) =
            (format!("s{server}"), entry.server, entry.name_hash, entry.weight);
        let listed =
            ListedServer { id, server, availability, started_at, same_zone: true, weight, name_hash };
        if let Some(affinity) = &mut self.nodes[node].affinity {
            affinity.apply_list(self.now, false, vec![listed]);
        }
        self.feed(node, Event::Servers(ListUpdate::Changes(vec![entry])));
    }

    fn run(&mut self) {
        while let Some(Reverse((at, _, place))) = self.queue.pop() {
            self.now = self.now.max(at as f64 / 1e6);
            if self.now > self.plan.length + 2.0 * DEADLINE {
                break;
            }
            self.free.push(place);
            match self.events[place] {
                Ev::Arrive => self.arrive(),
                Ev::At(server, id, attempt) => self.reach(server, id, attempt),
                Ev::Done(id, attempt, ending, held) => self.done(id, attempt, ending, held),
                Ev::Timer(node, timer) => self.feed(node, Event::Timer(timer)),
                Ev::Wake(server) => self.wake(server),
                Ev::List(server, node) => self.list(server, node),
                Ev::Drained(server) => self.drain(server),
                Ev::Gone(server) => {
                    for node in 0..self.nodes.len() {
                        self.tell(node, server, Availability::Gone, None);
                    }
                }
                Ev::Restart => self.restart(),
            }
        }
    }

    fn arrive(&mut self) {
        if self.now < self.plan.length {
            let next = self.now - (1.0 - self.random.f64()).ln() / self.rate;
            self.at(next, Ev::Arrive);
        }
        let all = self.cumulative.last().copied().unwrap_or(1.0);
        let draw = self.random.f64() * all;
        let key = self.cumulative.partition_point(|upto| *upto < draw).min(self.plan.keys - 1);
        let node = self.random.usize(0..self.plan.nodes);
        self.next_id += 1;
        let id = self.next_id;
        let pending = Pending { node, key, came: self.now, attempts: 0, to: 0, over: true, answered: false };
        self.pending.insert(id, pending);
        if self.counts(self.now) {
            self.played.asked += 1;
        }
        let ask = self.ask(key);
        let now = self.now;
        let preferred_server =
            self.nodes[node].affinity.as_mut().and_then(|affinity| affinity.preferred_server(now, ask));
        self.feed(
            node,
            Event::Request(Request { preferred_server, ..Request::new(RequestId(id), 0, DEADLINE) }),
        );
    }

    /// The first fifth is for getting warm.
    fn counts(&self, came: f64) -> bool {
        came >= self.plan.length * 0.2
    }

    fn ask(&self, key: usize) -> AffinityKey {
        self.keyer.affinity_key(0, &[&(key as u64).to_le_bytes()])
    }

    fn feed(&mut self, node: usize, event: Event) {
        let mut actions = Vec::new();
        self.nodes[node].balancer.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { request, server } => {
                    let Some(pending) = self.pending.get_mut(&request.0) else { continue };
                    let attempt = pending.attempts;
                    (pending.attempts, pending.to, pending.over) = (attempt + 1, server.0, false);
                    if self.now > self.drained_at[server.0] + 250.0 {
                        self.played.late_to_drained += 1;
                    }
                    self.at(self.now + WAY, Ev::At(server.0, request.0, attempt));
                    let ends = self.pending[&request.0].came + DEADLINE;
                    self.at(ends, Ev::Done(request.0, attempt, Ending::TimedOut, -1.0));
                }
                Action::Cancel { request, attempt } => {
                    self.at(self.now, Ev::Done(request.0, attempt, Ending::Cancelled, -1.0));
                }
                Action::Refuse { request, .. } | Action::Fail { request } => {
                    if let Some(pending) = self.pending.get_mut(&request.0) {
                        pending.answered = true;
                        let came = pending.came;
                        self.played.turned_away += u64::from(self.counts(came));
                    }
                }
                Action::SetTimer { timer, after_ms } => self.at(self.now + after_ms, Ev::Timer(node, timer)),
                _ => {}
            }
        }
    }

    fn reach(&mut self, server: usize, id: u64, attempt: usize) {
        let Some(key) = self.pending.get(&id).map(|pending| pending.key) else { return };
        self.settle(server);
        let is_warm = self.warm[server].get(&key).is_some_and(|at| self.now - at <= WARM_MS);
        self.next_job += 1;
        let job = self.next_job;
        self.jobs.insert((server, job), (id, attempt));
        let factor = if is_warm { 1.0 } else { self.plan.cold_key };
        match self.models[server].arrive_with(job, factor) {
            Some(fate) => self.tell_end(server, job, fate),
            None => {
                self.warm[server].insert(key, self.now);
                if self.pending.get(&id).is_some_and(|pending| self.counts(pending.came)) {
                    self.played.warm += u64::from(is_warm);
                }
            }
        }
        self.plan_wake(server);
    }

    fn settle(&mut self, server: usize) {
        let now = self.now;
        for (job, fate) in self.models[server].advance(now) {
            self.tell_end(server, job, fate);
        }
    }

    fn wake(&mut self, server: usize) {
        // An earlier moment may have been planned since: then this one is over.
        if self.now + 1e-5 < self.wakes[server] {
            return;
        }
        self.wakes[server] = f64::INFINITY;
        self.settle(server);
        self.plan_wake(server);
    }

    fn plan_wake(&mut self, server: usize) {
        let Some(at) = self.models[server].next_wake() else { return };
        if at + 1e-6 < self.wakes[server] {
            self.wakes[server] = at + 1e-6;
            self.at(at + 1e-6, Ev::Wake(server));
        }
    }

    fn tell_end(&mut self, server: usize, job: u64, fate: SimulatedOutcome) {
        let Some((id, attempt)) = self.jobs.remove(&(server, job)) else { return };
        let ending = match fate {
            SimulatedOutcome::Served => Ending::Served,
            SimulatedOutcome::Refused => Ending::Full,
            _ => Ending::Reset,
        };
        let (running, waiting) = self.models[server].load();
        self.at(self.now + WAY, Ev::Done(id, attempt, ending, (running + waiting) as f64));
    }

    fn done(&mut self, id: u64, attempt: usize, ending: Ending, held: f64) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        if pending.over || pending.attempts != attempt + 1 {
            return;
        }
        pending.over = true;
        let (node, to, came, key) = (pending.node, pending.to, pending.came, pending.key);
        let complete = ending == Ending::Served || pending.answered;
        let first = ending == Ending::Served && !pending.answered;
        pending.answered |= complete;
        let elapsed_ms = self.now - came;
        if first {
            if self.counts(came) {
                self.played.served += 1;
                self.played.in_aim += u64::from(elapsed_ms <= AIM);
                self.played.latency.record((elapsed_ms * 1000.0) as u64).expect("in range");
            }
            let ask = self.ask(key);
            let now = self.now;
            if let Some(affinity) = &mut self.nodes[node].affinity {
                affinity.record_served(now, ask, ServerId(to));
            }
        }
        let report = (held >= 0.0).then_some(LoadReport { in_flight: Some(held), queued: None });
        let request = RequestId(id);
        let outcome = Outcome { request, attempt, elapsed_ms, ending, complete, report };
        self.feed(node, Event::Outcome(outcome));
        if self.pending.get(&id).is_some_and(|pending| pending.over && pending.answered) {
            self.pending.remove(&id);
        }
    }

    fn list(&mut self, server: usize, node: usize) {
        let started = self.drained_at[server].is_infinite();
        match started {
            true => {
                let began = self.now - LAG;
                self.tell(node, server, Availability::Ready, Some(began));
            }
            false => self.tell(node, server, Availability::Draining, None),
        }
    }

    /// A server begins to drain; one that replaces it has just been started.
    fn drain(&mut self, server: usize) {
        self.drained_at[server] = self.now;
        let fresh = self.models.len();
        self.add_server(fresh, Some(self.now));
        for node in 0..self.nodes.len() {
            self.at(self.now + LAG, Ev::List(server, node));
            self.at(self.now + LAG, Ev::List(fresh, node));
        }
        self.at(self.now + 2.0 * DEADLINE, Ev::Gone(server));
    }

    /// All nodes' tables begin anew, with or without what was written. What is out goes on: only the tables are of interest.
    fn restart(&mut self) {
        for me in 0..self.nodes.len() {
            let fresh = self.node(me).affinity;
            let Some(mut old) = std::mem::replace(&mut self.nodes[me].affinity, fresh) else { continue };
            if self.plan.trouble == Trouble::RestartKept {
                let affinity = self.nodes[me].affinity.as_mut().expect("there was one");
                for write in old.take_writes(usize::MAX) {
                    match write {
                        spurdrum_affinity::record::PendingWrite::Run(number, Some((id, started_at))) => {
                            affinity.restore_run(self.now, number, &id, started_at);
                        }
                        spurdrum_affinity::record::PendingWrite::Slot(at, Some(stored)) => {
                            affinity.restore_binding(self.now, at, &stored);
                        }
                        _ => {}
                    }
                }
            }
            for server in 0..self.plan.servers {
                self.tell(me, server, Availability::Ready, None);
            }
        }
    }
}
