//! Every decision of a node. The types it is fed and answers with are in `src/interface.rs`.
//!
//! The ordinary path is HSQ (Islam, "Network Load Balancing Methods", IV.E): `Balancer::pick` sends to
//! the lowest count and adds one, `Balancer::report` lets a fresh report overwrite its server's count.
//! All else decides which servers may be picked, and what becomes of a request that was not served.

use std::collections::{BTreeMap, HashMap};

use crate::interface::*;

/// Outcomes that count in a running mean of one server; four times as many in one of all.
const RECENT: f64 = 16.0;
/// Outcomes that the knowledge of all servers weighs as much as.
const PRIOR: f64 = 4.0;
/// Outcomes lose half their weight in this part of a mean aim: what is not confirmed is soon forgotten.
const HALF_LIFE: f64 = 0.25;
/// ... but not sooner than in so many usual gaps between requests, each of an aim at most.
const GAPS: f64 = 2.0;
/// Part of a mean aim that answers are thought to take at the most where nothing recent is known.
const EASY: f64 = 0.25;
/// A server expected to take this many times the best one's time is not picked. Over 2: counts decide.
const BACKED_UP: f64 = 2.5;
/// Failures in a row, none served between them, that take a server out.
const STRIKES: u32 = 3;
/// A server is taken out for this many mean aims.
const EJECT: f64 = 2.0;
/// Further attempts as a share of requests, so that they cannot multiply an overload.
const RETRY_SHARE: f64 = 0.2;
/// Part of a cold server's budget that all nodes together use: sizes are guesses, arrivals come in bunches.
const COLD_PART: f64 = 0.5;
/// Part of the window for repeats within which a resend is made: it must arrive in it, too.
const WINDOW_PART: f64 = 0.8;
/// Part of its aim that an answer may be expected to take, for most to be in time; and of that for low worth.
const AIM_PART: f64 = 0.45;
const LEAST_AIM: f64 = 0.5;
/// A request is taken whatever its aim allows, where it waits for no more than one at work and one more:
/// no queue explains a refusal. In answers that a server gives to one alone.
const UNQUEUED: f64 = 3.0;
/// Requests within a quota that may bunch at one node of many; with less room none would ever be within.
const QUOTA_LEAST: f64 = 4.0;
/// At one node of many a request over the bound is taken with (bound / expected) to the power 1 / `CHANCE`.
const CHANCE: f64 = 0.4;
/// Nodes that share a server, about: connections stay few and warm, and each node meets its servers often.
const SHARERS: f64 = 12.0;
/// Reports, and requests, that the usual count and the usual pause are learned from.
const FLEET: f64 = 64.0;
/// How firmly it is held, before answers show better, that what servers usually hold tells of their
/// answers, and that what they were last told to hold does not: by old reports all nodes would send to the
/// same servers.
const FIRM: f64 = 0.05;
/// Answers that are weighed against that.
const BEARS: f64 = 64.0;
/// An answer that took this many usual times longer shows no more than that. Guards against one slow answer.
const TOOK_MOST: f64 = 3.0;
/// What a report told is forgotten in so many usual times of an answer.
const FADES: f64 = 4.0;
/// Servers a node's slice has at least, where there are as many, and that are asked at the most.
const SLICE_LEAST: usize = 3;
/// A slice grows or shrinks where it is off by this part. Guards against servers that come and go in it.
const SLICE_STEP: f64 = 0.25;
/// Servers are not believed to hold less than this on the average: a slice would be all of them.
const HELD_LEAST: f64 = 0.25;
/// Orders of the servers that nodes follow in turn. In one alone neighbours share the same servers, and a
/// load that is uneven there finds no way out.
const ROUNDS: usize = 4;
/// An odd number whose multiples look drawn.
const MIX: u64 = 0x9e37_79b9_7f4a_7c15;
/// Reports that a server's own usual count is learned from.
const USUAL: f64 = 32.0;
/// The golden ratio's fraction: its multiples spread node numbers evenly over a ring.
const GOLDEN: f64 = 0.618_033_988_749_895;
/// Where many nodes share the servers, one that errs is out at once, twice as long each time, so often.
const EJECT_MOST: u32 = 4;
/// The longest wait for a new subscription, in parts of what may pass without; the shortest is a sixteenth.
const RESUBSCRIBE_MOST: f64 = 0.25;
/// Part of the result that may be spent on asking servers before each send.
const ASK_SPEND: f64 = 0.008;
/// How far to the whole aim the bound of admission moves where counts were just asked for.
const ASKED_SURE: f64 = 0.4;
/// How far chance moves an old count where it only decides whom to ask. Guards against crowding the lowest.
const BLUR: f64 = 0.7;
/// An attempt may be cut after so many of its aims. Sooner, more work is done twice than is won by it ...
const CUT_AIMS: f64 = 1.5;
/// ... and after so many times the answer expected of its server, where that has said nothing meanwhile ...
const CUT_WAITS: f64 = 3.0;
/// ... to so many attempts.
const CUT_OUT: usize = 3;
/// An answer is thought lost after this many usual times, once so many sent later were answered there ...
const STALL_WAITS: f64 = 4.0;
const STALL_OVERTAKEN: u64 = 3;
/// ... where most that stood so long never came, by a mean over so many; the rest of them go on to show it.
const STALL_MOST: f64 = 0.5;
const STALL_SEEN: f64 = 8.0;
const STALL_CUT: f64 = 0.9;
/// A server is not believed to hold more than this: a count of that size would never be the lowest again.
const HELD_MOST: f64 = 100_000.0;
/// Part of its aim that a request waits for those asked.
const ASK_PART: f64 = 0.1;

/// The timers: for a new subscription, and above it for the request of that number less one, whose servers
/// have been asked or whose attempt has been out for long.
const RESUBSCRIBE: u64 = 0;

impl LatencyEstimate {
    /// What was seen still weighs this. Guards against judging by a trouble long past: little corrects it.
    fn weight(&self, now: f64, half_life: f64) -> f64 {
        self.samples * 0.5_f64.powf((now - self.updated_at) / half_life)
    }

    fn add(&mut self, now: f64, half_life: f64, most: f64, latency: f64, depth: f64) {
        self.samples = (self.weight(now, half_life) + 1.0).min(most);
        self.latency_ms += (latency - self.latency_ms) / self.samples;
        self.depth += (depth - self.depth) / self.samples;
        self.updated_at = now;
    }

    /// Mean latency and depth, the own outcomes weighed against what is known beyond them.
    fn or(&self, now: f64, half_life: f64, prior: (f64, f64)) -> (f64, f64) {
        let weight = self.weight(now, half_life);
        let mix = |own: f64, prior: f64| (own * weight + prior * PRIOR) / (weight + PRIOR);
        (mix(self.latency_ms, prior.0), mix(self.depth, prior.1))
    }
}

#[derive(Default)]
struct Server {
    entry: ServerEntry,
    /// Its size, against the mean of the list.
    size: f64,
    /// The array of HSQ: the last fresh report and what this node has sent since.
    count: Option<f64>,
    /// The last fresh report, when that came, and what this node has sent since.
    told: Option<(f64, f64)>,
    since: f64,
    /// When this node last sent to it, or gave its count up.
    sent_at: f64,
    /// Mean of what it reported, and of how many reports.
    usual: (f64, f64),
    /// This node's attempts that are out.
    out: usize,
    pace: LatencyEstimate,
    strikes: u32,
    /// When it last gave any answer, and how many it has given.
    heard_at: f64,
    answers: u64,
    /// Set while it is taken out, and past that while it is on trial.
    ejected_until: Option<f64>,
}

impl Server {
    /// How much more it holds by its reports: usually, as a part of what the others do, and now, as a part of
    /// what it usually does. What was told fades.
    fn told(&self, now: f64, known: Known) -> [f64; 2] {
        let (own, seen) = self.usual;
        let usual = known.held + (own - known.held) * seen / (seen + PRIOR);
        let now = self.told.map_or(0.0, |(held, at)| (held - usual) * (-(now - at) / known.fades).exp());
        [(usual - known.held) / (known.held + 1.0), now / (usual + 1.0)]
    }

    /// Its count, in units of the usual one, as far as reports can be believed.
    fn believed(&self, now: f64, known: Known) -> f64 {
        let ([usually, recently], told) = (known.trust, self.told(now, known));
        let usual = (1.0 + told[0]) * (known.held + 1.0);
        self.since / (1.0 + recently * (usual - 1.0)) + usually * told[0] + recently * told[1]
    }

    /// A count holds no longer when its server has long been silent, or is on trial: then the mean does.
    /// Guards against a server that failed, or was crowded once, and is left idle for good: reports alone
    /// lower counts, and come with answers.
    fn forget(&mut self, now: f64, patience: f64) {
        let last = self.told.map_or(self.sent_at, |(_, at)| at.max(self.sent_at));
        let quiet = now - last > patience * f64::from(1 + self.strikes);
        if self.out == 0 && self.ejected_until.map_or(quiet, |until| until <= now) {
            (self.count, self.since, self.sent_at) = (None, 0.0, now);
        }
    }

    /// Gone, with nothing out to it: nothing more is heard of it.
    fn is_over(&self) -> bool {
        self.entry.availability == Availability::Gone && self.out == 0
    }
}

/// What a node knows of all its servers by their reports: the usual count, the time in which what one told
/// fades, and how far to believe what they usually hold and what they told last.
#[derive(Clone, Copy)]
struct Known {
    held: f64,
    fades: f64,
    trust: [f64; 2],
}

struct Attempt {
    server: usize,
    zone: usize,
    cell: usize,
    sent_at: f64,
    depth: f64,
    /// How much more than usual its server was told to hold.
    told: [f64; 2],
    open: bool,
    /// When it may be cut, and whether it was.
    cut_at: f64,
    cut: bool,
    /// Answers of its server by which all that were sent before it could have been answered.
    turn: u64,
    /// When its answer may be thought lost, and whether it was.
    stalls_at: f64,
    stalled: bool,
    /// Whether the node stood still for a part of it: then how long it took says nothing of its server.
    spans_pause: bool,
}

struct Held {
    /// The place of its class in the present settings. Its rules and its number of attempts never change.
    class: usize,
    rules: Class,
    max_attempts: usize,
    gives_up_at: f64,
    attempts: Vec<Attempt>,
    /// The first attempt that may have run or may still run.
    ran: Option<usize>,
    answered: bool,
    /// Servers asked for a report before the first send, those that gave one, and the longest wait allowed.
    asked: Vec<usize>,
    reported: Vec<usize>,
    limit: f64,
    /// The server that had better have it.
    prefers: Option<usize>,
}

/// A server as `pick` sees it: the answer expected there, and its count in the same unit.
struct Candidate {
    server: usize,
    wait: f64,
    rank: f64,
    unfit: u8,
    near: bool,
}

/// Decides for one node. See the [crate] page for an example.
pub struct Balancer {
    settings: Settings,
    random: fastrand::Rng,
    /// Those that are listed, or gone with attempts still out.
    servers: BTreeMap<usize, Server>,
    /// The ready servers in this node's order, near ones first, and the near and far stretch that it uses.
    ring: Vec<usize>,
    near: usize,
    slice: [std::ops::Range<usize>; 2],
    held: HashMap<RequestId, Held>,
    /// Requests whose servers are being asked, in the order they came, and how many are asked for each.
    asking_for: Vec<RequestId>,
    asks: usize,
    /// Requests each tenant may still send within its quota, and when that was last counted up.
    quotas: Vec<(f64, f64)>,
    /// Whether many nodes share the servers, and none is asked before a send: each meets a server seldom.
    sparse: bool,
    /// Means of products: of what reports told with how long answers then took, and with itself.
    bears: [(f64, f64); 2],
    /// Mean of what servers report, and how many reports that was learned from.
    held_mean: f64,
    reports: f64,
    /// Mean time between requests over many, and the servers of a slice that it asks for; 0: not known yet.
    pause: f64,
    requests: f64,
    wanted: f64,
    /// Latency by class and over all.
    classes: Vec<LatencyEstimate>,
    all: LatencyEstimate,
    /// Mean time between requests, and when the last one came.
    gap: f64,
    came_at: f64,
    /// Mean aim of the classes: the time scale of all judgements.
    aim: f64,
    retries: f64,
    /// Part of the answers overtaken by many others that never come.
    lost: f64,
    /// Part of the attempts that are served, of late.
    served: f64,
    subscribed: bool,
    asking: bool,
    failed_calls: i32,
}

impl Balancer {
    /// A balancer that knows no server yet. The error names the first setting that makes no sense.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        // None are asked before a send where a few nodes' answers keep counts fresh, or where peers may talk.
        let many = settings.nodes as f64 > SHARERS;
        let may_ask = settings.probes && !settings.peers && (!settings.responses_carry_load || many);
        // One for each request may be dearer than all that it wins, where answers carry reports as well.
        let least = if settings.responses_carry_load { 0.0 } else { 1.0 };
        let most = (ASK_SPEND / settings.probe_price).clamp(least, SLICE_LEAST as f64) as usize;
        let asks = if may_ask { most } else { 0 };
        Ok(Self {
            quotas: vec![(f64::INFINITY, 0.0); settings.quotas_per_s.len()],
            classes: vec![LatencyEstimate::default(); settings.classes.len()],
            random: fastrand::Rng::with_seed(seed),
            servers: BTreeMap::new(),
            ring: Vec::new(),
            near: 0,
            slice: [0..0, 0..0],
            held: HashMap::new(),
            asking_for: Vec::new(),
            asks,
            sparse: asks == 0 && many,
            bears: [(0.0, 0.0); 2],
            held_mean: 0.0,
            reports: 0.0,
            pause: 0.0,
            requests: 0.0,
            wanted: 0.0,
            gap: 0.0,
            came_at: 0.0,
            aim: settings.classes.iter().map(|c| c.latency_objective_ms).sum::<f64>()
                / settings.classes.len() as f64,
            all: LatencyEstimate::default(),
            retries: settings.max_attempts as f64,
            lost: 0.0,
            served: 1.0,
            subscribed: false,
            asking: false,
            failed_calls: 0,
            settings,
        })
    }

    /// Takes one event that happened at `now`, which never runs backwards, and appends what is to be done.
    /// Events about what is not known are passed over.
    pub fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Servers(listing) => self.listing(listing, actions),
            Event::Reload(new) => self.retune(*new, actions),
            Event::ImportLearnedState(learned) => self.learn(now, &learned),
            Event::Request(request) => self.request(now, &request, actions),
            Event::Outcome(outcome) => self.outcome(now, &outcome, actions),
            Event::ClientGone(id) => self.client_gone(id, actions),
            Event::Timer(RESUBSCRIBE) if std::mem::take(&mut self.asking) => actions.push(Action::Subscribe),
            Event::Timer(timer) if timer > RESUBSCRIBE => {
                self.dispatch(now, RequestId(timer - 1), actions);
                self.stall(now, RequestId(timer - 1), actions);
                self.cut(now, RequestId(timer - 1), actions);
                self.rearm(now, RequestId(timer - 1), actions);
            }
            Event::Probed { server, ending, report } => self.probed(now, server.0, ending, report, actions),
            Event::BodyConsumed(id) => {
                self.held.entry(id).and_modify(|held| held.max_attempts = held.attempts.len());
            }
            // What its client has begun to get is its final answer.
            Event::StreamStarted { request, .. } => {
                self.held.entry(request).and_modify(|held| held.answered = true);
            }
            Event::Timer(_) => {}
            Event::Resumed { paused_ms } => self.resumed(now, paused_ms),
        }
    }

    /// Goes on after a pause of the node: attempts that were out get as much more time before they are cut.
    /// Guards against servers that are judged by a time in which nobody heard them.
    fn resumed(&mut self, now: f64, stood_still_ms: f64) {
        // A pause is no quiet time between requests.
        self.came_at = (self.came_at + stood_still_ms).min(now);
        for attempt in self.held.values_mut().flat_map(|held| &mut held.attempts).filter(|a| a.open) {
            attempt.spans_pause = true;
            attempt.cut_at += stood_still_ms;
            attempt.stalls_at += stood_still_ms;
        }
    }

    /// Sets a timer anew that came before its time, as a pause of the node has moved that.
    fn rearm(&self, now: f64, id: RequestId, actions: &mut Vec<Action>) {
        let last = self.held.get(&id).and_then(|held| held.attempts.last());
        let Some(last) = last.filter(|last| last.spans_pause && last.open && !last.cut) else { return };
        let due = [last.cut_at, last.stalls_at].into_iter().filter(|at| *at > now).min_by(f64::total_cmp);
        actions.extend(due.map(|at| Action::SetTimer { timer: id.0 + 1, after_ms: at - now }));
    }

    /// Servers of the list that are taken out now.
    pub fn ejected_count(&self, now: f64) -> usize {
        let listed = self.servers.values().filter(|s| s.entry.availability != Availability::Gone);
        listed.filter(|s| s.ejected_until.is_some_and(|until| until > now)).count()
    }

    /// What a balancer that takes its place had better know.
    pub fn export_learned(&self) -> LearnedState {
        let listed = self.servers.iter().filter(|(_, s)| s.entry.availability != Availability::Gone);
        let server = |(at, s): (&usize, &Server)| {
            let (count, latency, consecutive_failures, ejected_until) =
                (s.count, s.pace, s.strikes, s.ejected_until);
            LearnedServerState { server: ServerId(*at), count, latency, consecutive_failures, ejected_until }
        };
        // Some formats know no infinity.
        let quotas = self.quotas.iter().map(|(left, at)| (left.min(f64::MAX), *at)).collect();
        let classes = self.classes.clone();
        LearnedState {
            servers: listed.map(server).collect(),
            overall: self.all,
            classes,
            quotas,
            served_fraction: self.served,
        }
    }

    /// Goes on from what another has learned, under the same settings; nothing has been seen here yet.
    fn learn(&mut self, now: f64, learned: &LearnedState) {
        for s in &learned.servers {
            if let Some(server) = self.servers.get_mut(&s.server.0) {
                (server.count, server.pace, server.strikes) = (s.count, s.latency, s.consecutive_failures);
                (server.ejected_until, server.sent_at) = (s.ejected_until, now);
            }
        }
        (self.all, self.served) = (learned.overall, learned.served_fraction);
        self.classes.iter_mut().zip(&learned.classes).for_each(|(own, learned)| *own = *learned);
        self.quotas.iter_mut().zip(&learned.quotas).for_each(|(own, learned)| *own = *learned);
    }

    /// Goes by other settings from now on; what was learned stays.
    fn retune(&mut self, new: NewSettings, actions: &mut Vec<Action>) {
        let NewSettings { settings, classes, tenants } = new;
        let Ok(fresh) = Self::new(settings, 0) else {
            return actions.push(Action::Note("settings that make no sense are passed over".into()));
        };
        let was = |of: &[Option<usize>], i: usize| of.get(i).copied().flatten();
        let pace = |i| was(&classes, i).and_then(|k| self.classes.get(k)).copied().unwrap_or_default();
        let paces = (0..fresh.classes.len()).map(pace).collect();
        let quota = |(i, new)| was(&tenants, i).and_then(|k| self.quotas.get(k)).copied().unwrap_or(new);
        let quotas = fresh.quotas.into_iter().enumerate().map(quota).collect();
        for held in self.held.values_mut() {
            held.class = classes.iter().position(|of| *of == Some(held.class)).unwrap_or(usize::MAX);
        }
        (self.classes, self.quotas, self.settings) = (paces, quotas, fresh.settings);
        (self.asks, self.sparse, self.aim) = (fresh.asks, fresh.sparse, fresh.aim);
        self.lay_out();
    }

    // ---- The list of servers

    fn listing(&mut self, listing: ListUpdate, actions: &mut Vec<Action>) {
        let (entries, complete) = match listing {
            ListUpdate::Changes(entries) => (entries, false),
            ListUpdate::Full(entries) | ListUpdate::Cached(entries) => (entries, true),
            ListUpdate::Failed if self.asking => return,
            ListUpdate::Failed => return self.resubscribe(actions),
        };
        if std::mem::take(&mut self.failed_calls) > 0 {
            actions.push(Action::Note("the list of servers comes again".into()));
        }
        if self.settings.discovery == Discovery::Subscribe && !self.subscribed {
            self.subscribed = true;
            actions.push(Action::Subscribe);
        }
        for server in self.servers.values_mut().filter(|_| complete) {
            server.entry.availability = Availability::Gone;
        }
        for entry in entries {
            let at = entry.server.0;
            // What was learned of a process does not hold for its successor.
            let old = self.servers.remove(&at).unwrap_or_default();
            let same = old.entry.started_at == entry.started_at;
            let kept = if same { old } else { Server { out: old.out, ..Server::default() } };
            self.servers.insert(at, Server { entry, ..kept });
        }
        // Guards against growth with every server that ever was.
        self.servers.retain(|_, server| !server.is_over());
        self.lay_out();
    }

    /// Lays out the node's slice of the fleet: a stretch, from a place of the node's own, of a ring of
    /// servers that the nodes of its round order alike.
    /// Guards against connections from every node to every server, and against too few reports of each.
    fn lay_out(&mut self) {
        let listed = self.servers.values().map(|s| &s.entry);
        let listed = listed.filter(|e| e.availability == Availability::Ready);
        let rounds = if self.sparse { ROUNDS } else { 1 };
        let (round, turn) = (self.settings.node_index % rounds, self.settings.node_index / rounds);
        // Keys of names that differ in their last letters alone are near each other: servers of one kind
        // would stand side by side.
        let mixed = |key: u64| (key ^ round as u64).wrapping_mul(MIX).rotate_left(29).wrapping_mul(MIX);
        let mut listed: Vec<_> =
            listed.map(|e| (e.zone != self.settings.zone, mixed(e.name_hash), e.server.0)).collect();
        listed.sort_unstable();
        self.near = listed.iter().filter(|(far, ..)| !far).count();
        self.ring = listed.into_iter().map(|(.., at)| at).collect();
        let mean = self.ring.iter().map(|at| self.servers[at].entry.weight).sum::<f64>()
            / self.ring.len().max(1) as f64;
        for server in self.servers.values_mut() {
            let known = self.settings.weights == Weights::Size && server.entry.weight > 0.0 && mean > 0.0;
            server.size = if known { server.entry.weight / mean } else { 1.0 };
        }
        let place = ((turn + 1) as f64 * GOLDEN).fract();
        for part in [0..self.near, self.near..self.ring.len()] {
            let part = &mut self.ring[part];
            part.rotate_left((place * part.len() as f64) as usize);
        }
        self.cut_slice();
    }

    /// The stretches of the ring that this node uses.
    fn cut_slice(&mut self) {
        let (near, all) = (self.near, self.ring.len());
        let told = (all as f64 * SHARERS / self.settings.nodes as f64).ceil() as usize;
        let length = SLICE_LEAST.max(if self.wanted > 0.0 { self.wanted.round() as usize } else { told });
        // Where nobody is asked before a send, what is out to a server is all that is fresh, and that only
        // where it is met often: near and far ones make one slice. Each is in as many, also of a small zone.
        let fair = (length * near).div_ceil(all.max(1));
        let (own, far) = if self.asks > 0 { (length, length) } else { (fair, length - fair.min(near)) };
        // So many servers of the usual size: a stretch of small ones is longer.
        let cut = |part: std::ops::Range<usize>, length: usize| {
            let mut room = length as f64 - 1e-6;
            let size = |at: &usize| self.servers.get(&self.ring[*at]).map_or(1.0, |server| server.size);
            let fits = |at: &usize| {
                room -= size(at);
                room + size(at) > 0.0
            };
            part.start..part.start + part.take_while(fits).count()
        };
        let slice = [cut(0..near, own), cut(near..all, far)];
        self.slice = slice;
    }

    /// How many servers a node looks at follows its own part of what they hold, by Little's law from their
    /// reports: each server is in as many slices, by the work that comes of them, whoever is busy, quiet or
    /// dead.
    fn follow_rate(&mut self) {
        if !self.sparse || self.all.samples < RECENT || self.reports < FLEET || self.pause <= 0.0 {
            return;
        }
        let wanted = (SHARERS * self.all.latency_ms / (self.pause * self.held_mean.max(HELD_LEAST)))
            .min(self.ring.len() as f64);
        let wanted = wanted.max(SLICE_LEAST as f64);
        if (wanted - self.wanted).abs() > SLICE_STEP * self.wanted.max(1.0) {
            self.wanted = wanted;
            self.cut_slice();
        }
    }

    /// Guards against a lost subscription: without one the node would send to servers long gone.
    fn resubscribe(&mut self, actions: &mut Vec<Action>) {
        if self.failed_calls == 0 {
            actions.push(Action::Note("the list of servers does not come".into()));
        }
        self.asking = true;
        let most = self.settings.resubscribe_within_ms * RESUBSCRIBE_MOST;
        let after_ms = most / 2_f64.powi(4 - self.failed_calls) * (0.5 + 0.5 * self.random.f64());
        self.failed_calls = (self.failed_calls + 1).min(4);
        actions.push(Action::SetTimer { timer: RESUBSCRIBE, after_ms });
    }

    // ---- The ordinary path

    /// A report overwrites the count of its server alone.
    /// It counts the requests of all nodes; where it was not just asked for, each evens out its own part.
    fn report(&mut self, now: f64, at: usize, report: LoadReport) {
        let reading = report.in_flight.or(report.queued).filter(|held| *held <= HELD_MOST);
        let (Some(reading), Some(server)) = (reading, self.servers.get_mut(&at)) else { return };
        let part = if self.asks > 0 { 1.0 } else { self.settings.nodes as f64 };
        server.count = Some(reading / part);
        let reading = reading / server.size;
        (server.told, server.since) = (Some((reading, now)), 0.0);
        server.usual.1 = (server.usual.1 + 1.0).min(USUAL);
        server.usual.0 += (reading - server.usual.0) / server.usual.1;
        self.reports = (self.reports + 1.0).min(FLEET);
        self.held_mean += (reading - self.held_mean) / self.reports;
    }

    /// The eligible servers with the lowest counts, ties broken at random.
    /// One that is preferred comes first, where its count is not much higher.
    fn pick(&mut self, now: f64, held: &Held, limit: f64, few: usize) -> Vec<usize> {
        let mut candidates = self.candidates(now, held);
        // Those that are not healthy, or tried already, are left only where there are no others.
        let fittest = candidates.iter().map(|c| c.unfit).min();
        candidates.retain(|c| Some(c.unfit) == fittest && c.wait <= limit);
        let least = candidates.iter().map(|c| c.wait).fold(f64::INFINITY, f64::min);
        let bound = if self.asks > 0 { limit } else { least * BACKED_UP };
        // A crossing has its price; and nodes that keep to their zones are less in each other's way, unseen.
        let near = self.asks == 0 && !self.sparse && candidates.iter().any(|c| c.near && c.wait <= bound);
        let preferred = |c: &Candidate| held.prefers == Some(c.server);
        candidates.retain(|c| (c.wait <= bound || preferred(c)) && (c.near || !near));
        self.random.shuffle(&mut candidates);
        candidates.sort_by(|a, b| a.rank.total_cmp(&b.rank));
        if let Some(at) = candidates.iter().position(preferred) {
            // Guards against a preference that overloads its server: it counts only near the lowest.
            let slack = self.settings.preference_slack;
            let lowest = candidates.iter().find(|c| c.wait <= bound).map_or(f64::INFINITY, |c| c.rank);
            let Candidate { rank, wait, .. } = candidates[at];
            if rank <= lowest * slack && wait <= bound.max(least * slack) {
                candidates[..=at].rotate_right(1);
            } else if wait > bound {
                candidates.remove(at);
            }
        }
        candidates.iter().take(few).map(|c| c.server).collect()
    }

    /// All servers that the rules allow for this request.
    fn candidates(&mut self, now: f64, held: &Held) -> Vec<Candidate> {
        let class = held.rules;
        let half_life = HALF_LIFE * self.aim;
        // What is not confirmed fades to an easy guess: a node that refuses all would learn nothing more.
        let (latency, depth) =
            if self.all.samples > 0.0 { (self.all.latency_ms, self.all.depth) } else { (self.aim, 1.0) };
        let lasting = self.all.or(now, f64::INFINITY, (self.aim * EASY, 1.0));
        let all = self.all.or(now, half_life.max(GAPS * self.gap), (latency.min(self.aim * EASY), depth));
        // Where servers are asked, old counts tell whom.
        let patience = if self.asks > 0 { f64::INFINITY } else { EJECT * self.aim };
        let (mut sum, mut counts) = (0.0, 0);
        for i in self.slice.clone().into_iter().flatten() {
            let Some(server) = self.servers.get_mut(&self.ring[i]) else { continue };
            server.forget(now, patience);
            (sum, counts) = server.count.map_or((sum, counts), |count| (sum + count, counts + 1));
        }
        let mean = sum / counts.max(1) as f64;
        let total = self.slice[0].len() + self.slice[1].len();
        // A crossing counts as its price in aims.
        let crossing = self.settings.cross_zone_price * class.latency_objective_ms;
        let blur = if self.asks > 0 && held.reported.is_empty() { BLUR } else { 0.0 };
        let home = held.ran.map(|first| &held.attempts[first]);
        let (mut candidates, known) = (Vec::new(), self.known());
        // A request that may have run is bound to its group, wherever that is; any other stays in the slice.
        let [near, far] = if home.is_some() { [0..self.ring.len(), 0..0] } else { self.slice.clone() };
        // A preference holds beyond the slice, but not for a cold server: its budget is the slices' alone.
        let beyond = |s: &Server| {
            let warm = now - s.entry.started_at.unwrap_or(f64::NEG_INFINITY) >= self.settings.slow_start_ms;
            home.is_none() && s.entry.availability == Availability::Ready && warm
        };
        let sliced = |at: &usize| near.clone().chain(far.clone()).any(|i| self.ring[i] == *at);
        let beyond = held.prefers.filter(|at| self.servers.get(at).is_some_and(beyond) && !sliced(at));
        for at in near.chain(far).map(|i| self.ring[i]).chain(beyond) {
            let first = held.attempts.is_empty();
            let asked = first && held.reported.contains(&at);
            let server = self.servers.get_mut(&at).expect("listed");
            let believed = self.sparse.then(|| server.believed(now, known));
            let bound = home.is_some_and(|home| !may_move(class.effect, home, &server.entry));
            if bound || first && !asked && !held.reported.is_empty() {
                continue;
            }
            let count = *server.count.get_or_insert(mean);
            let (latency, depth) = server.pace.or(now, half_life, all);
            // Guards a cold server, which reports nothing queued and would be swamped. Every node lets the
            // same part of its requests see it: what all send is in step with the load of a warm server.
            let age = now - server.entry.started_at.unwrap_or(f64::NEG_INFINITY);
            if age < self.settings.slow_start_ms && !asked {
                let cold = (1.0 - self.settings.slow_start_min_capacity)
                    * (1.0 - (age / self.settings.slow_start_ms).max(0.0));
                let part = COLD_PART * self.settings.collapse_multiple * (1.0 - cold) / total as f64;
                if self.random.f64() >= part * self.served {
                    continue;
                }
            }
            let trial = server.out == 0 && class.effect != Effect::Unsafe;
            let healthy = server.ejected_until.is_none_or(|until| until <= now && trial);
            let near = server.entry.zone == self.settings.zone;
            // A count just asked for is that of all nodes, and so is its pace; an idle server is never late.
            let wait = match self.asks > 0 {
                true if count < 0.5 => 0.0,
                true => (count + 1.0) * lasting.0 / lasting.1,
                false => (server.out + 1) as f64 * latency / depth,
            };
            let count = believed.unwrap_or(count);
            candidates.push(Candidate {
                server: at,
                wait,
                rank: (count + 1.0) * latency / depth * (1.0 + blur * (2.0 * self.random.f64() - 1.0))
                    + if near { 0.0 } else { crossing },
                unfit: 2 * u8::from(!healthy) + u8::from(held.attempts.iter().any(|a| a.server == at)),
                near,
            });
        }
        candidates
    }

    /// What reports together tell.
    fn known(&self) -> Known {
        Known { held: self.held_mean, fades: FADES * self.all.latency_ms.max(1.0), trust: self.trust() }
    }

    /// How far longer answers followed higher reports, of late: slopes of their regression.
    fn trust(&self) -> [f64; 2] {
        let slope =
            |prior: f64, (with, itself): (f64, f64)| ((with + prior) / (itself + FIRM)).clamp(0.0, 1.0);
        [slope(FIRM, self.bears[0]), slope(0.0, self.bears[1])]
    }

    // ---- A request's way

    fn request(&mut self, now: f64, request: &Request, actions: &mut Vec<Action>) {
        let Some(rules) = self.settings.classes.get(request.class).copied() else {
            return actions.push(Action::Fail { request: request.id });
        };
        let mut held = Held {
            class: request.class,
            rules,
            max_attempts: self.settings.max_attempts,
            gives_up_at: now + request.budget_ms,
            attempts: Vec::new(),
            ran: None,
            answered: false,
            asked: Vec::new(),
            reported: Vec::new(),
            limit: 0.0,
            prefers: request.preferred_server.map(|server| server.0),
        };
        self.requests = (self.requests + 1.0).min(FLEET);
        if self.requests > 1.0 {
            self.pause += (now - self.came_at - self.pause) / (self.requests - 1.0);
        }
        self.follow_rate();
        self.gap += ((now - self.came_at).min(self.aim) - self.gap) / RECENT;
        self.came_at = now;
        self.retries = (self.retries + RETRY_SHARE).min(RECENT);
        let within = self.within_quota(now, request.tenant);
        held.limit = self.worthwhile(&held, within);
        if self.sparse {
            // Guards against all or nothing: where each node sees little, the sum of them admits a part.
            held.limit /= self.random.f64().powf(CHANCE);
        }
        if self.asks > 0 {
            held.asked = self.pick(now, &held, f64::INFINITY, self.asks);
        }
        for at in &held.asked {
            // Guards against asking a silent server over and over: an ask counts like a send until a report.
            self.servers.get_mut(at).expect("picked").count.iter_mut().for_each(|count| *count += 1.0);
            actions.push(Action::Probe { server: ServerId(*at) });
        }
        let after_ms = held.rules.latency_objective_ms.min(request.budget_ms) * ASK_PART;
        self.asking_for.push(request.id);
        self.held.insert(request.id, held);
        if self.held[&request.id].asked.is_empty() {
            return self.dispatch(now, request.id, actions);
        }
        actions.push(Action::SetTimer { timer: request.id.0 + 1, after_ms });
    }

    /// Those asked have answered, or their time is up: the first send is due.
    fn dispatch(&mut self, now: f64, id: RequestId, actions: &mut Vec<Action>) {
        let Some(place) = self.asking_for.iter().position(|waiting| *waiting == id) else { return };
        self.asking_for.remove(place);
        let Some(mut held) = self.held.remove(&id) else { return };
        // Guards against servers too busy to answer: where none of those asked did, none is sent to unseen.
        let most = usize::from(self.asks == 0 || !held.reported.is_empty());
        if let Some(&server) = self.pick(now, &held, held.limit, most).first() {
            self.send(now, id, &mut held, server, actions);
            self.held.insert(id, held);
        } else {
            self.give_up(id, &held, actions);
        }
    }

    fn probed(
        &mut self,
        now: f64,
        at: usize,
        ending: Ending,
        report: Option<LoadReport>,
        to: &mut Vec<Action>,
    ) {
        report.into_iter().for_each(|report| self.report(now, at, report));
        let mut due = Vec::new();
        for id in &self.asking_for {
            let Some(held) = self.held.get_mut(id).filter(|held| held.asked.contains(&at)) else { continue };
            held.asked.retain(|asked| *asked != at);
            if ending == Ending::Served {
                held.reported.push(at);
            }
            if held.asked.is_empty() {
                due.push(*id);
            } else if held.reported == [at] {
                // Only those of the same moment are waited for: late ones are busy.
                to.push(Action::SetTimer { timer: id.0 + 1, after_ms: 0.0 });
            }
        }
        for id in due {
            self.dispatch(now, id, to);
        }
    }

    fn within_quota(&mut self, now: f64, tenant: usize) -> bool {
        let Some(quota) = self.settings.quotas_per_s.get(tenant) else { return true };
        let quota = quota / self.settings.nodes as f64;
        let (left, at) = &mut self.quotas[tenant];
        *left = (*left + quota * (now - *at).max(0.0) / 1000.0).min(quota.max(QUOTA_LEAST));
        *at = now;
        *left -= if *left >= 1.0 { 1.0 } else { return false };
        true
    }

    /// The longest expected answer with which a request is still taken, lest late work crowds out the rest.
    fn worthwhile(&self, held: &Held, within_quota: bool) -> f64 {
        // A node that has just started knows no latency to refuse by, unless it asks for counts.
        if self.asks == 0 && self.all.samples < RECENT {
            return f64::INFINITY;
        }
        let rules = |k: usize| self.settings.classes.get(k).copied().unwrap_or(held.rules);
        let density = |k: usize| rules(k).value / self.relative(k);
        let best = (0..self.classes.len()).map(density).fold(0.0, f64::max);
        let quota = if within_quota { 1.0 } else { self.settings.over_quota_value };
        let worth = if best > 0.0 { density(held.class) * quota / best } else { 1.0 };
        // What is late is not lost where it still has some worth; counts just asked for need less margin.
        let late = if self.asks > 0 { ASKED_SURE } else { held.rules.late_value };
        let soft = |part: f64, rest: f64| part + (1.0 - part) * rest;
        let part = soft(AIM_PART, late) * soft(soft(LEAST_AIM, late), worth);
        // A distant aim must not let low worth fill the queues in which worthier classes would be late.
        let (own, all) = (density(held.class), 0..self.classes.len());
        let worthier = all.filter(|k| density(*k) > own).chain([held.class]);
        let aim = |k: usize| rules(k).latency_objective_ms / self.relative(k);
        let aim = worthier.map(aim).fold(f64::INFINITY, f64::min);
        // Guards against aims that servers hardly meet without a queue: a part of them would refuse all.
        // One of many nodes has a part of a quota that tells little: its traffic need not be its part.
        let known = self.reports > 0.0 && (within_quota || self.sparse);
        let alone = if known { self.all.latency_ms / (self.held_mean + 1.0) } else { 0.0 };
        (aim * part).max((alone * UNQUEUED).min(aim))
    }

    /// How much longer a class takes than the mean request, as far as enough answers of it tell.
    /// Guards against a class whose few answers came at a bad moment: an idle server would not get it.
    fn relative(&self, class: usize) -> f64 {
        let Some(class) = self.classes.get(class) else { return 1.0 };
        let ratio = class.latency_ms / self.all.latency_ms;
        let told = (class.samples / RECENT).min(1.0);
        let known = ratio.is_finite() && ratio > 0.0;
        if known {
            1.0 + (ratio - 1.0) * told
        } else {
            1.0
        }
    }

    fn send(&mut self, now: f64, id: RequestId, held: &mut Held, at: usize, actions: &mut Vec<Action>) {
        let known = self.known();
        let server = self.servers.get_mut(&at).expect("picked");
        let told = if self.sparse { server.told(now, known) } else { [0.0; 2] };
        server.out += 1;
        server.count = server.count.map(|count| count + 1.0);
        (server.since, server.sent_at) = (server.since + 1.0 / server.size, now);
        let depth = server.count.filter(|_| self.asks > 0).unwrap_or(server.out as f64);
        let turn = server.answers + server.out as u64 - 1;
        let (zone, cell, out) = (server.entry.zone, server.entry.cell, server.out);
        let expected = out as f64 * self.all.latency_ms / self.all.depth.max(1.0);
        let aim_ms = held.rules.latency_objective_ms;
        let after_ms = (aim_ms * CUT_AIMS).max(expected * CUT_WAITS);
        let stalls_at = self.stalls_at(now, held);
        held.attempts.push(Attempt {
            server: at,
            zone,
            cell,
            sent_at: now,
            depth,
            told,
            open: true,
            cut_at: now + after_ms,
            cut: false,
            turn,
            stalls_at,
            stalled: false,
            spans_pause: false,
        });
        actions.push(Action::Send { request: id, server: ServerId(at) });
        let more = held.attempts.len() < held.max_attempts && out >= CUT_OUT;
        let in_time = now + after_ms < held.gives_up_at && self.may_follow(now + after_ms, held, true);
        if self.settings.cancel && more && in_time {
            actions.push(Action::SetTimer { timer: id.0 + 1, after_ms });
        }
        if self.settings.cancel && self.lost > STALL_MOST && self.random.f64() < STALL_CUT {
            actions.push(Action::SetTimer { timer: id.0 + 1, after_ms: stalls_at - now });
        }
    }

    /// When the answer to what is sent now may be thought lost: late for its class, but in time for another.
    fn stalls_at(&self, now: f64, held: &Held) -> f64 {
        let late = now + STALL_WAITS * self.classes.get(held.class).unwrap_or(&self.all).latency_ms;
        let first = held.ran.map_or(now, |ran| held.attempts[ran].sent_at);
        match held.rules.effect {
            Effect::Keyed { window_ms, .. } => late.min(first + window_ms * WINDOW_PART * STALL_CUT).max(now),
            Effect::Safe | Effect::Unsafe => late,
        }
    }

    /// Whether an attempt has stood for so long, overtaken by so many, that its answer may be lost.
    fn is_overtaken(&self, now: f64, attempt: &Attempt) -> bool {
        let answers = self.servers.get(&attempt.server).map_or(0, |server| server.answers);
        now >= attempt.stalls_at && answers >= attempt.turn + STALL_OVERTAKEN
    }

    /// Gives up an attempt whose answer seems lost on its way, while its server goes on answering others.
    /// Guards against ways that swallow answers: each would cost its request the whole time.
    fn stall(&mut self, now: f64, id: RequestId, actions: &mut Vec<Action>) {
        let Some(mut held) = self.held.remove(&id) else { return };
        let likely = self.lost > STALL_MOST;
        let last = held.attempts.last().filter(|last| likely && last.open && self.is_overtaken(now, last));
        let more = held.attempts.len() < held.max_attempts && self.retries >= 1.0;
        if last.is_some_and(|last| !last.cut) && more && !held.answered && self.next(now, &mut held).is_some()
        {
            let attempt = held.attempts.len() - 1;
            (held.attempts[attempt].cut, held.attempts[attempt].stalled) = (true, true);
            actions.push(Action::Cancel { request: id, attempt });
        }
        self.held.insert(id, held);
    }

    /// Gives up the attempts that a server leaves unanswered, where their requests may go elsewhere instead.
    /// Guards against servers that fall silent: without a cut each costs a request its whole time.
    fn cut(&mut self, now: f64, id: RequestId, actions: &mut Vec<Action>) {
        let out_to = |held: &Held| held.attempts.last().filter(|last| last.open).map(|last| last.server);
        let Some(at) = self.held.get(&id).and_then(out_to) else { return };
        let waiting = self.held.iter().filter(|(_, held)| out_to(held) == Some(at));
        let mut waiting: Vec<RequestId> = waiting.map(|(id, _)| *id).collect();
        waiting.sort_unstable();
        for id in waiting {
            let Some(mut held) = self.held.remove(&id) else { continue };
            if let Some(attempt) = self.cut_due(now, &mut held) {
                held.attempts[attempt].cut = true;
                actions.push(Action::Cancel { request: id, attempt });
            }
            self.held.insert(id, held);
        }
    }

    fn cut_due(&mut self, now: f64, held: &mut Held) -> Option<usize> {
        let last = held.attempts.len().checked_sub(1)?;
        let attempt = &held.attempts[last];
        let due =
            self.settings.cancel && attempt.open && !attempt.cut && now >= attempt.cut_at && !held.answered;
        let silent = self.servers.get(&attempt.server);
        let silent = silent.is_some_and(|s| s.heard_at < attempt.sent_at && s.out >= CUT_OUT);
        if !due || !silent || last + 1 >= held.max_attempts || self.retries < 1.0 {
            return None;
        }
        let at = attempt.server;
        self.next(now, held).filter(|next| *next != at).map(|_| last)
    }

    /// Where a request could go whose last attempt is cut: that one may have run.
    fn next(&mut self, now: f64, held: &mut Held) -> Option<usize> {
        let ran = held.ran;
        let next = self.may_follow(now, held, true).then(|| {
            held.ran = ran.or(held.attempts.len().checked_sub(1));
            self.pick(now, held, f64::INFINITY, 1)
        });
        held.ran = ran;
        next.and_then(|next| next.first().copied())
    }

    fn outcome(&mut self, now: f64, outcome: &Outcome, actions: &mut Vec<Action>) {
        let id = outcome.request;
        let Some(mut held) = self.held.remove(&id) else { return };
        let Some(attempt) = held.attempts.get_mut(outcome.attempt).filter(|a| a.open) else {
            return drop(self.held.insert(id, held));
        };
        attempt.open = false;
        let at = attempt.server;
        outcome.report.into_iter().for_each(|report| self.report(now, at, report));
        self.judge(now, &held, &held.attempts[outcome.attempt], outcome, actions);
        if outcome.ending.may_have_run() && held.ran.is_none() {
            held.ran = Some(outcome.attempt);
        }
        if outcome.complete {
            held.answered = true;
        } else if !held.answered {
            self.further(now, id, &mut held, actions);
        }
        if !held.answered || held.attempts.iter().any(|a| a.open) {
            self.held.insert(id, held);
        }
    }

    /// Whether what may have run, also of the last attempt where that counts, lets another attempt follow.
    fn may_follow(&self, now: f64, held: &Held, with_last: bool) -> bool {
        let ran = held.ran.or_else(|| held.attempts.len().checked_sub(1).filter(|_| with_last));
        match (ran, held.rules.effect) {
            (None, _) | (_, Effect::Safe) => true,
            (Some(ran), Effect::Keyed { window_ms, .. }) => {
                now - held.attempts[ran].sent_at < window_ms * WINDOW_PART
            }
            (Some(_), Effect::Unsafe) => false,
        }
    }

    /// A further attempt where class, time and budget allow it, else the final answer.
    fn further(&mut self, now: f64, id: RequestId, held: &mut Held, actions: &mut Vec<Action>) {
        let allowed = self.may_follow(now, held, false);
        let budget = held.attempts.len() < held.max_attempts && self.retries >= 1.0;
        if allowed && budget && now < held.gives_up_at {
            // Guards against servers filled by what others turned away (incident ia94218, big days).
            let limit = if self.asks > 0 { held.limit } else { f64::INFINITY };
            if let Some(&server) = self.pick(now, held, limit, 1).first() {
                self.retries -= 1.0;
                return self.send(now, id, held, server, actions);
            }
        }
        self.give_up(id, held, actions);
        held.answered = true;
    }

    /// The final answer for a request that is not served: a refusal only where it promises nothing false.
    fn give_up(&mut self, id: RequestId, held: &Held, actions: &mut Vec<Action>) {
        let harmless = match held.rules.effect {
            Effect::Safe | Effect::Keyed { group: Group::All, .. } => true,
            Effect::Keyed { .. } | Effect::Unsafe => held.ran.is_none(),
        };
        // As long as a server takes for one request of those it holds: the next place is free by then, and a
        // longer wait would use up the aim, which goes on from the first try.
        let turn =
            if self.all.samples > 0.0 { self.all.latency_ms / self.all.depth } else { self.aim * EASY };
        let retry_after_ms = self.settings.max_retry_after_ms.map(|most| turn.min(most));
        let refuse = Action::Refuse { request: id, retry_after_ms };
        actions.push(if harmless { refuse } else { Action::Fail { request: id } });
    }

    fn client_gone(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(held) = self.held.get_mut(&id) else { return };
        held.answered = true;
        if self.settings.cancel {
            let open = held.attempts.iter().enumerate().filter(|(_, a)| a.open);
            actions.extend(open.map(|(attempt, _)| Action::Cancel { request: id, attempt }));
        }
        if held.attempts.iter().all(|a| !a.open) {
            self.held.remove(&id);
        }
    }

    // ---- Health

    fn judge(&mut self, now: f64, held: &Held, attempt: &Attempt, outcome: &Outcome, to: &mut Vec<Action>) {
        let class = held.class;
        let (at, depth, elapsed) = (attempt.server, attempt.depth, outcome.elapsed_ms);
        let (relative, half_life) = (self.relative(class), HALF_LIFE * self.aim);
        let overtaken = self.is_overtaken(now, attempt);
        if overtaken && matches!(outcome.ending, Ending::Served | Ending::TimedOut) {
            self.lost += (f64::from(u8::from(outcome.ending == Ending::TimedOut)) - self.lost) / STALL_SEEN;
        }
        // What is lost on its way says nothing of the server.
        let lost = overtaken && self.lost > STALL_MOST && outcome.ending == Ending::TimedOut;
        // Nobody listened for a part of its time.
        let unheard = attempt.spans_pause && outcome.ending == Ending::TimedOut;
        if !unheard {
            self.served += (f64::from(u8::from(outcome.ending == Ending::Served)) - self.served) / RECENT;
        }
        let server = self.servers.get_mut(&at).expect("kept while something is out");
        server.out = server.out.saturating_sub(1);
        if server.is_over() {
            self.servers.remove(&at);
            return;
        }
        if matches!(outcome.ending, Ending::Served | Ending::Full | Ending::Error) {
            server.heard_at = now;
            server.answers += 1;
        }
        if lost || unheard || attempt.stalled {
            return;
        }
        let failed = match outcome.ending {
            Ending::Cancelled if attempt.cut => true,
            // A full server is busy, not ill; a time-out within the aim says nothing of it.
            Ending::Served | Ending::Full => false,
            Ending::TimedOut => elapsed >= held.rules.latency_objective_ms,
            Ending::Error | Ending::Unreachable | Ending::Reset => true,
            Ending::Cancelled | Ending::NotSent => return,
        };
        let timed = matches!(outcome.ending, Ending::Served | Ending::TimedOut) && !attempt.spans_pause;
        if timed {
            if self.all.samples >= RECENT {
                let took = (elapsed / (relative * self.all.latency_ms) - 1.0).min(TOOK_MOST);
                for ((with, itself), told) in self.bears.iter_mut().zip(attempt.told) {
                    *with += (told * took - *with) / BEARS;
                    *itself += (told * told - *itself) / BEARS;
                }
            }
            if let Some(class) = self.classes.get_mut(class) {
                class.add(now, f64::INFINITY, 4.0 * RECENT, elapsed, depth);
            }
            self.all.add(now, f64::INFINITY, 4.0 * RECENT, elapsed, depth);
            server.pace.add(now, half_life, RECENT, elapsed / relative, depth);
        }
        if outcome.ending == Ending::Served {
            server.strikes = if self.sparse { server.strikes / 2 } else { 0 };
            if server.ejected_until.take().is_some() {
                to.push(Action::Restored { server: ServerId(at) });
            }
        } else if failed {
            // Guards against servers that fail quickly, hang or cannot be reached: counts alone favour them.
            // Seldom met, it would fail many more for all nodes before each of them had seen three.
            let sure = self.sparse && outcome.ending == Ending::Error;
            server.strikes += if sure { STRIKES } else { 1 };
            let due = server.ejected_until.map_or(server.strikes >= STRIKES, |until| until <= now);
            let again = (server.strikes / STRIKES).clamp(1, EJECT_MOST) - 1;
            let times = if self.sparse { f64::from(1 << again) } else { 1.0 };
            if due && server.ejected_until.replace(now + EJECT * times * self.aim).is_none() {
                to.push(Action::Ejected { server: ServerId(at) });
            }
        }
    }
}

/// Whether a request that may have run on `first` may be sent to `other`.
fn may_move(effect: Effect, first: &Attempt, other: &ServerEntry) -> bool {
    match effect {
        Effect::Safe | Effect::Keyed { group: Group::All, .. } => true,
        Effect::Keyed { group: Group::Zone, .. } => first.zone == other.zone,
        Effect::Keyed { group: Group::Cell, .. } => first.cell == other.cell,
        Effect::Unsafe => false,
    }
}
