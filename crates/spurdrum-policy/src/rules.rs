//! Every decision of a node, on the inputs and outputs of `src/interface.rs`. Times are in milliseconds;
//! constants in `_OBJECTIVES` count latency objectives, those in `_LATENCIES` mean latencies.
//!
//! The ordinary path is HSQ (Islam, "Network Load Balancing Methods", IV.E): `Balancer::pick` chooses the
//! server with the lowest count, `Balancer::send` adds one to that count, and `Balancer::record_report`
//! overwrites a server's count with its latest load report. The rest decides which servers are eligible, and
//! what happens to a request that was not served.

use std::collections::{BTreeMap, HashMap};

use crate::interface::*;

/// Number of samples that a running mean covers: of one server's outcomes, and of this node's requests and
/// attempts. The means over all servers and of a class cover four times as many. Also the number of outcomes
/// from which a mean is trusted, and the maximum number of retry tokens.
const MEAN_SAMPLES: f64 = 16.0;
/// Weight, in outcomes, that the estimate over all servers has against a server's own outcomes.
const PRIOR_WEIGHT: f64 = 4.0;
/// Outcomes lose half their weight in this fraction of the mean latency objective, so that what is not
/// confirmed soon expires ...
const HALF_LIFE_OBJECTIVES: f64 = 0.25;
/// ... but for the overall estimate not sooner than in this many usual gaps between requests, each gap at
/// most one mean latency objective.
const MIN_HALF_LIFE_GAPS: f64 = 2.0;
/// Without recent outcomes, answers are assumed to take at most this fraction of the mean latency objective.
const OPTIMISTIC_OBJECTIVES: f64 = 0.25;
/// A server whose expected wait is more than this multiple of the lowest one is not picked. The value is
/// above 2, so that in ordinary operation the counts decide.
const MAX_WAIT_RATIO: f64 = 2.5;
/// Number of consecutive failures, without a served request between them, after which a server is ejected.
const EJECTION_FAILURES: u32 = 3;
/// A server is ejected for this many mean latency objectives. The count of a silent server expires as soon.
const EJECTION_OBJECTIVES: f64 = 2.0;
/// Retry budget: further attempts as a fraction of requests, so that retries cannot multiply an overload.
const RETRY_RATIO: f64 = 0.2;
/// Fraction of what a server in slow start can take that all nodes together send to it: its size is only an
/// estimate, and arrivals are bursty.
const SLOW_START_SHARE: f64 = 0.5;
/// Fraction of the deduplication window in which a retry may be sent: it must also arrive within the window.
const RETRY_WINDOW_FRACTION: f64 = 0.8;
/// Admission bound: fraction of its latency objective that an answer may be expected to take, for most
/// answers to be in time ...
const ADMISSION_OBJECTIVES: f64 = 0.45;
/// ... and the fraction of that bound which is left for requests of the lowest value.
const MIN_VALUE_FRACTION: f64 = 0.5;
/// A request is admitted, whatever part of its objective that takes, if it waits for no more than one request
/// in service and one more: a queue that short does not justify a refusal. In service times of an idle
/// server.
const ALWAYS_ADMITTED_SERVICE_TIMES: f64 = 3.0;
/// Minimum burst of a tenant's token bucket, in requests, at one of many nodes. With a smaller bucket no
/// request would ever be within the quota.
const MIN_QUOTA_BURST: f64 = 4.0;
/// At one of many nodes, a request over the admission bound is admitted with probability (bound / expected
/// wait) ^ (1 / `ADMISSION_EXPONENT`).
const ADMISSION_EXPONENT: f64 = 0.4;
/// Approximate number of nodes that have a server in their subset: so connections stay few and warm, and each
/// node sends to each of its servers often.
const NODES_PER_SERVER: f64 = 12.0;
/// Load reports and requests that the mean number in flight and the mean gap between requests cover.
const FLEET_MEAN_SAMPLES: f64 = 64.0;
/// Strength of two assumptions that hold until outcomes show otherwise: that a server's usual load predicts
/// its latency, and that its last load report does not. If all nodes believed old reports, they would send to
/// the same servers.
const LOAD_EFFECT_PRIOR: f64 = 0.05;
/// Number of outcomes that are weighed against these assumptions.
const LOAD_EFFECT_SAMPLES: f64 = 64.0;
/// Cap on how much longer than usual an answer may count as having taken, in usual latencies. Without the cap
/// one slow answer would outweigh all others.
const MAX_EXCESS_LATENCIES: f64 = 3.0;
/// Time constant with which a load report loses its effect, in mean latencies.
const REPORT_DECAY_LATENCIES: f64 = 4.0;
/// Minimum number of servers in a node's subset, where there are as many; also the maximum number of servers
/// that are probed for a request.
const MIN_SUBSET: usize = 3;
/// A subset is resized only if off by this fraction. Otherwise servers would keep joining and leaving it.
const RESIZE_THRESHOLD: f64 = 0.25;
/// Lower bound of the mean number in flight per server: with a smaller one the subset would be all servers.
const MIN_MEAN_IN_FLIGHT: f64 = 0.25;
/// Number of differently ordered rings; nodes are assigned to them in turn. With a single ring, neighbouring
/// nodes share the same servers, and load that is uneven there cannot spread to others.
const RING_COUNT: usize = 4;
/// An odd number whose multiples look random.
const HASH_MIX: u64 = 0x9e37_79b9_7f4a_7c15;
/// Number of load reports that a server's own mean number in flight covers.
const SERVER_REPORT_SAMPLES: f64 = 32.0;
/// The golden ratio's fraction: its multiples spread node indexes evenly over a ring.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;
/// Where many nodes share the servers, a server that answers with an error is ejected at once, for twice as
/// long each time, up to this many times.
const MAX_EJECTION_STEPS: u32 = 4;
/// Longest wait before a new subscription, as a fraction of the time that a node may go without one. The
/// shortest wait is a sixteenth of it.
const MAX_RESUBSCRIBE_FRACTION: f64 = 0.25;
/// Fraction of the total value served that may be spent on probing servers before each first attempt.
const PROBE_BUDGET: f64 = 0.008;
/// How far the admission bound moves towards the whole objective where servers were probed just before.
const PROBED_BOUND_RELAXATION: f64 = 0.4;
/// Relative random deviation of an old count where it only decides which servers to probe. Without this, all
/// nodes would crowd the server with the lowest count.
const PROBE_TARGET_JITTER: f64 = 0.7;
/// An attempt may be abandoned after this many latency objectives of its class: earlier, more work is done
/// twice than is gained ...
const ABANDON_OBJECTIVES: f64 = 1.5;
/// ... and after this many times the latency expected of its server, if that is silent meanwhile ...
const ABANDON_LATENCIES: f64 = 3.0;
/// ... towards at least this many attempts in flight there.
const ABANDON_IN_FLIGHT: usize = 3;
/// An answer is presumed lost after this many mean latencies of its class ...
const LOST_LATENCIES: f64 = 4.0;
/// ... once this many attempts sent to the same server later were answered ...
const LOST_OVERTAKERS: u64 = 3;
/// ... if more than this fraction of the answers overtaken for so long never came ...
const MAX_LOST_RATIO: f64 = 0.5;
/// ... by a mean over this many.
const LOST_SAMPLES: f64 = 8.0;
/// Only this fraction of the attempts whose answer is presumed lost is abandoned: the rest shows whether
/// answers still get lost. Keyed requests are decided after this fraction of the time for a retry.
const LOST_ABANDON_RATIO: f64 = 0.9;
/// Reports above this number in flight are ignored: a count of that size would never be the lowest again.
const MAX_REPORTED_IN_FLIGHT: f64 = 100_000.0;
/// Fraction of its latency objective that a request waits for the answers to its probes.
const PROBE_WAIT_OBJECTIVES: f64 = 0.1;

/// Number of the timer for a new subscription. The numbers above it are request ids plus one: such a timer
/// ends the wait for the request's probes, or fires when its attempt has been in flight for long.
const RESUBSCRIBE: u64 = 0;

impl LatencyEstimate {
    /// Returns the number of samples after decay. Without the decay, a fault long past would keep its weight,
    /// as few new outcomes come to correct it.
    fn decayed_samples(&self, now: f64, half_life: f64) -> f64 {
        self.samples * 0.5_f64.powf((now - self.updated_at) / half_life)
    }

    fn record(&mut self, now: f64, half_life: f64, max_samples: f64, latency_ms: f64, depth: f64) {
        self.samples = (self.decayed_samples(now, half_life) + 1.0).min(max_samples);
        self.latency_ms += (latency_ms - self.latency_ms) / self.samples;
        self.depth += (depth - self.depth) / self.samples;
        self.updated_at = now;
    }

    /// Returns the mean latency and depth, with the own outcomes weighed against a prior estimate.
    fn blend(&self, now: f64, half_life: f64, prior: (f64, f64)) -> (f64, f64) {
        let weight = self.decayed_samples(now, half_life);
        let mix = |own: f64, prior: f64| (own * weight + prior * PRIOR_WEIGHT) / (weight + PRIOR_WEIGHT);
        (mix(self.latency_ms, prior.0), mix(self.depth, prior.1))
    }
}

#[derive(Default)]
struct Server {
    entry: ServerEntry,
    /// The server's size, relative to the mean of the list.
    relative_size: f64,
    /// The server's count in the HSQ array: its last load report plus what this node has sent since.
    count: Option<f64>,
    /// The number in flight of the last load report, by relative size, and the time the report came.
    last_report: Option<(f64, f64)>,
    /// What this node has sent since then, by relative size.
    sent_since: f64,
    /// When this node last sent to the server, or discarded its count.
    last_sent_at: f64,
    /// Mean of the numbers in flight that the server reported, and the number of reports behind the mean.
    usual_in_flight: (f64, f64),
    /// This node's attempts in flight at the server.
    in_flight: usize,
    latency: LatencyEstimate,
    /// Consecutive failures. With sparse feedback an error counts as three, and a served request halves them.
    failures: u32,
    /// When the server last gave any answer.
    answered_at: f64,
    /// Number of answers that the server has given.
    answers: u64,
    /// Set while the server is ejected, and beyond that time while it is on trial: until it serves a request,
    /// it gets one attempt at a time.
    ejected_until: Option<f64>,
}

impl Server {
    /// Returns by how much the reports exceed what is usual: the server's own mean relative to that of all
    /// servers, and its last report relative to its own mean. The second decays with the age of the report.
    fn load_excess(&self, now: f64, fleet: FleetLoad) -> [f64; 2] {
        let (own, samples) = self.usual_in_flight;
        let usual = fleet.mean_in_flight + (own - fleet.mean_in_flight) * samples / (samples + PRIOR_WEIGHT);
        let recent = self
            .last_report
            .map_or(0.0, |(in_flight, at)| (in_flight - usual) * (-(now - at) / fleet.report_decay_ms).exp());
        [(usual - fleet.mean_in_flight) / (fleet.mean_in_flight + 1.0), recent / (usual + 1.0)]
    }

    /// Returns the server's count in units of the usual count, as far as load reports predict latency.
    fn estimated_count(&self, now: f64, fleet: FleetLoad) -> f64 {
        let ([usual_effect, recent_effect], excess) = (fleet.load_effect, self.load_excess(now, fleet));
        let usual = (1.0 + excess[0]) * (fleet.mean_in_flight + 1.0);
        self.sent_since / (1.0 + recent_effect * (usual - 1.0))
            + usual_effect * excess[0]
            + recent_effect * excess[1]
    }

    /// Discards the count of a server that has been silent for long or is on trial; the mean count then
    /// stands in for it. Without this, a server that failed, or was crowded once, would stay idle for good:
    /// only reports lower a count, and they come with answers.
    fn expire_count(&mut self, now: f64, max_silence: f64) {
        let last = self.last_report.map_or(self.last_sent_at, |(_, at)| at.max(self.last_sent_at));
        let silent = now - last > max_silence * f64::from(1 + self.failures);
        if self.in_flight == 0 && self.ejected_until.map_or(silent, |until| until <= now) {
            (self.count, self.sent_since, self.last_sent_at) = (None, 0.0, now);
        }
    }

    /// Returns whether the server is gone and has no attempt in flight: no event will name it any more.
    fn is_removable(&self) -> bool {
        self.entry.availability == Availability::Gone && self.in_flight == 0
    }
}

/// What the load reports of all servers together show.
#[derive(Clone, Copy)]
struct FleetLoad {
    /// Mean number of requests in flight per server.
    mean_in_flight: f64,
    /// Time constant with which a single report loses its effect.
    report_decay_ms: f64,
    /// How much a server's usual load, and its last reported load, affect its latency: from 0 to 1 each.
    load_effect: [f64; 2],
}

struct Attempt {
    server: usize,
    zone: usize,
    cell: usize,
    sent_at: f64,
    /// Number of requests at the server when the attempt was sent, as far as this node knows.
    depth: f64,
    /// By how much the server's load reports exceeded what is usual when the attempt was sent.
    load_excess: [f64; 2],
    in_flight: bool,
    /// When the attempt may be abandoned because its server is silent.
    abandon_at: f64,
    /// Whether the connection broke: what is at the server's address now may be another process.
    broke_off: bool,
    /// Whether the attempt was abandoned, because its server is silent or its answer is presumed lost.
    abandoned: bool,
    /// Value of `Server::answers` by which all attempts sent before this one could have been answered.
    answers_ahead: u64,
    /// When the answer may be presumed lost.
    lost_at: f64,
    /// Whether the attempt was abandoned because its answer was presumed lost.
    presumed_lost: bool,
    /// Whether the node was paused during the attempt: then the elapsed time says nothing about the server.
    spans_pause: bool,
}

/// A request that has not got its final answer, or still has attempts in flight.
struct Pending {
    /// Index of the request's class in the present settings.
    class: usize,
    /// The class as it was when the request came: a reload does not change the rules of a pending request.
    rules: Class,
    max_attempts: usize,
    /// When the client stops waiting.
    deadline_at: f64,
    attempts: Vec<Attempt>,
    /// The first attempt that may have run or may still run.
    first_run: Option<usize>,
    answered: bool,
    /// Servers probed before the first attempt that have not answered yet.
    awaited: Vec<usize>,
    /// Servers that answered the probe.
    reporting: Vec<usize>,
    /// Longest expected wait with which the request is admitted.
    max_wait: f64,
    /// The server that should get the request while its count is not too high.
    preferred: Option<usize>,
}

/// A server as `pick` compares it.
struct Candidate {
    server: usize,
    /// The latency expected of the server.
    wait: f64,
    /// The server's count in the same unit, by which candidates are ordered.
    rank: f64,
    /// 2 for a server that is not healthy, plus 1 for one that the request was already sent to.
    unfitness: u8,
    same_zone: bool,
}

/// The decision logic of one node. See the [crate] documentation for an example.
pub struct Balancer {
    settings: Settings,
    random: fastrand::Rng,
    /// The servers that are listed, or gone with attempts still in flight.
    servers: BTreeMap<usize, Server>,
    /// The ready servers in this node's order, those of its own zone first.
    ring: Vec<usize>,
    /// Number of servers of the own zone at the start of the ring.
    same_zone_count: usize,
    /// The ranges of the ring that this node sends to: in its own zone, and in the others.
    subset: [std::ops::Range<usize>; 2],
    pending: HashMap<RequestId, Pending>,
    /// Requests whose first attempt waits for probes, in the order they came.
    awaiting_probes: Vec<RequestId>,
    /// Number of servers to probe for each request.
    probe_count: usize,
    /// Requests that each tenant may still send within its quota, and when that was last computed.
    quotas: Vec<(f64, f64)>,
    /// Whether many nodes share the servers and none is probed before an attempt: this node then hears from
    /// each server seldom.
    sparse_feedback: bool,
    /// Running means for the regression of latency on reported load, for each kind of load excess: of its
    /// product with the excess latency, and of its square.
    load_moments: [(f64, f64); 2],
    /// Mean number of requests in flight that servers report, and the number of reports behind it.
    mean_in_flight: f64,
    report_samples: f64,
    /// Mean gap between many requests, and the number of requests behind it.
    mean_gap: f64,
    request_samples: f64,
    /// Subset size that follows from this node's share of the load; 0 while that is not known.
    target_size: f64,
    /// Latency of each class, and over all.
    classes: Vec<LatencyEstimate>,
    overall: LatencyEstimate,
    /// Mean gap between the latest requests.
    recent_gap: f64,
    last_request_at: f64,
    /// Mean latency objective of the classes: the time scale of all health decisions.
    mean_objective: f64,
    /// Further attempts that the retry budget allows.
    retry_tokens: f64,
    /// Fraction of the answers overtaken by many others that never come.
    lost_fraction: f64,
    /// Fraction of the latest attempts that were served.
    served_fraction: f64,
    subscribed: bool,
    /// Whether a timer for a new subscription is set.
    backoff: bool,
    /// Failed discovery calls in a row, at most 4: the exponent of the backoff.
    failed_calls: i32,
}

impl Balancer {
    /// Creates a balancer that knows no server yet. The error names the first setting that is out of range.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        // No server is probed before an attempt where a few nodes' answers keep the counts fresh, or where
        // nodes may talk to each other.
        let many_nodes = settings.nodes as f64 > NODES_PER_SERVER;
        let may_probe = settings.probes && !settings.peers && (!settings.responses_carry_load || many_nodes);
        // Where responses carry load reports too, even one probe per request may cost more than it gains.
        let min_probes = if settings.responses_carry_load { 0.0 } else { 1.0 };
        let affordable_probes =
            (PROBE_BUDGET / settings.probe_price).clamp(min_probes, MIN_SUBSET as f64) as usize;
        let probe_count = if may_probe { affordable_probes } else { 0 };
        Ok(Self {
            quotas: vec![(f64::INFINITY, 0.0); settings.quotas_per_s.len()],
            classes: vec![LatencyEstimate::default(); settings.classes.len()],
            random: fastrand::Rng::with_seed(seed),
            servers: BTreeMap::new(),
            ring: Vec::new(),
            same_zone_count: 0,
            subset: [0..0, 0..0],
            pending: HashMap::new(),
            awaiting_probes: Vec::new(),
            probe_count,
            sparse_feedback: probe_count == 0 && many_nodes,
            load_moments: [(0.0, 0.0); 2],
            mean_in_flight: 0.0,
            report_samples: 0.0,
            mean_gap: 0.0,
            request_samples: 0.0,
            target_size: 0.0,
            recent_gap: 0.0,
            last_request_at: 0.0,
            mean_objective: settings.classes.iter().map(|c| c.latency_objective_ms).sum::<f64>()
                / settings.classes.len() as f64,
            overall: LatencyEstimate::default(),
            retry_tokens: settings.max_attempts as f64,
            lost_fraction: 0.0,
            served_fraction: 1.0,
            subscribed: false,
            backoff: false,
            failed_calls: 0,
            settings,
        })
    }

    /// Handles one event that happened at `now` and appends the actions to be carried out. `now` must never
    /// run backwards. Events about unknown requests or servers are ignored.
    pub fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Servers(update) => self.update_list(update, actions),
            Event::Reload(new) => self.reload(*new, actions),
            Event::ImportLearnedState(learned) => self.import_learned(now, &learned),
            Event::Request(request) => self.on_request(now, &request, actions),
            Event::Outcome(outcome) => self.on_outcome(now, &outcome, actions),
            Event::ClientGone(id) => self.on_client_gone(id, actions),
            Event::Timer(RESUBSCRIBE) if std::mem::take(&mut self.backoff) => actions.push(Action::Subscribe),
            Event::Timer(timer) if timer > RESUBSCRIBE => {
                self.send_first_attempt(now, RequestId(timer - 1), actions);
                self.abandon_lost(now, RequestId(timer - 1), actions);
                self.abandon_silent(now, RequestId(timer - 1), actions);
                self.rearm_timer(now, RequestId(timer - 1), actions);
            }
            Event::Probed { server, ending, report } => self.on_probe(now, server.0, ending, report, actions),
            Event::BodyConsumed(id) => {
                self.pending.entry(id).and_modify(|pending| pending.max_attempts = pending.attempts.len());
            }
            // The answer that the client has begun to receive is its final answer.
            Event::StreamStarted { request, .. } => {
                self.pending.entry(request).and_modify(|pending| pending.answered = true);
            }
            Event::Timer(_) => {}
            Event::Resumed { paused_ms } => self.resume(now, paused_ms),
        }
    }

    /// Continues after a pause of the node's process: attempts in flight get as much more time. Otherwise
    /// servers would be judged by a time in which the node could not read their answers.
    fn resume(&mut self, now: f64, paused_ms: f64) {
        // A pause must not count as a gap between requests.
        self.last_request_at = (self.last_request_at + paused_ms).min(now);
        for attempt in self.pending.values_mut().flat_map(|p| &mut p.attempts).filter(|a| a.in_flight) {
            attempt.spans_pause = true;
            attempt.abandon_at += paused_ms;
            attempt.lost_at += paused_ms;
        }
    }

    /// Sets an attempt's timer again if it fired too early because a pause postponed what it was set for.
    fn rearm_timer(&self, now: f64, id: RequestId, actions: &mut Vec<Action>) {
        let last = self.pending.get(&id).and_then(|pending| pending.attempts.last());
        let Some(last) = last.filter(|a| a.spans_pause && a.in_flight && !a.abandoned) else {
            return;
        };
        let due = [last.abandon_at, last.lost_at].into_iter().filter(|at| *at > now).min_by(f64::total_cmp);
        actions.extend(due.map(|at| Action::SetTimer { timer: id.0 + 1, after_ms: at - now }));
    }

    /// Returns the number of listed servers that are ejected at present.
    pub fn ejected_count(&self, now: f64) -> usize {
        let listed = self.servers.values().filter(|s| s.entry.availability != Availability::Gone);
        listed.filter(|s| s.ejected_until.is_some_and(|until| until > now)).count()
    }

    /// Returns the learned state, for a balancer that replaces this one.
    pub fn export_learned(&self) -> LearnedState {
        let listed = self.servers.iter().filter(|(_, s)| s.entry.availability != Availability::Gone);
        let server = |(id, s): (&usize, &Server)| {
            let (count, latency, consecutive_failures, ejected_until) =
                (s.count, s.latency, s.failures, s.ejected_until);
            LearnedServerState { server: ServerId(*id), count, latency, consecutive_failures, ejected_until }
        };
        // Some formats cannot represent infinity.
        let quotas = self.quotas.iter().map(|(left, at)| (left.min(f64::MAX), *at)).collect();
        let classes = self.classes.clone();
        LearnedState {
            servers: listed.map(server).collect(),
            overall: self.overall,
            classes,
            quotas,
            served_fraction: self.served_fraction,
        }
    }

    /// Imports what another balancer learned under the same settings. This one must have learned nothing yet.
    fn import_learned(&mut self, now: f64, learned: &LearnedState) {
        for s in &learned.servers {
            if let Some(own) = self.servers.get_mut(&s.server.0) {
                (own.count, own.latency, own.failures) = (s.count, s.latency, s.consecutive_failures);
                (own.ejected_until, own.last_sent_at) = (s.ejected_until, now);
            }
        }
        (self.overall, self.served_fraction) = (learned.overall, learned.served_fraction);
        self.classes.iter_mut().zip(&learned.classes).for_each(|(own, learned)| *own = *learned);
        self.quotas.iter_mut().zip(&learned.quotas).for_each(|(own, learned)| *own = *learned);
    }

    /// Replaces the settings; what was learned is kept.
    fn reload(&mut self, new: NewSettings, actions: &mut Vec<Action>) {
        let Ok(fresh) = Self::new(new.settings.clone(), 0) else {
            return actions.push(Action::Note("invalid new settings are ignored".into()));
        };
        for pending in self.pending.values_mut() {
            pending.class = new.class_index(pending.class);
        }
        let NewSettings { classes, tenants, .. } = new;
        let old = |of: &[Option<usize>], i: usize| of.get(i).copied().flatten();
        let latency = |i| old(&classes, i).and_then(|k| self.classes.get(k)).copied().unwrap_or_default();
        let latencies = (0..fresh.classes.len()).map(latency).collect();
        let quota = |(i, new)| old(&tenants, i).and_then(|k| self.quotas.get(k)).copied().unwrap_or(new);
        let quotas = fresh.quotas.into_iter().enumerate().map(quota).collect();
        (self.classes, self.quotas, self.settings) = (latencies, quotas, fresh.settings);
        (self.probe_count, self.sparse_feedback, self.mean_objective) =
            (fresh.probe_count, fresh.sparse_feedback, fresh.mean_objective);
        self.rebuild_ring();
    }

    // ---- The list of servers

    fn update_list(&mut self, update: ListUpdate, actions: &mut Vec<Action>) {
        let (entries, complete) = match update {
            ListUpdate::Changes(entries) => (entries, false),
            ListUpdate::Full(entries) | ListUpdate::Cached(entries) => (entries, true),
            ListUpdate::Failed if self.backoff => return,
            ListUpdate::Failed => return self.schedule_resubscribe(actions),
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
            let id = entry.server.0;
            // What was learned of a server's process does not apply to the process that replaces it.
            let old = self.servers.remove(&id).unwrap_or_default();
            let same = old.entry.started_at == entry.started_at;
            let kept = if same { old } else { Server { in_flight: old.in_flight, ..Server::default() } };
            self.servers.insert(id, Server { entry, ..kept });
        }
        // Without this, memory would grow with every server that was ever listed.
        self.servers.retain(|_, server| !server.is_removable());
        self.rebuild_ring();
    }

    /// Rebuilds the ring of ready servers and selects the node's subset of it. Nodes are divided over several
    /// rings; those of one ring order the servers alike, and each starts its subset at a position of its own.
    /// Without subsets every node would connect to every server, and get too few reports of each.
    fn rebuild_ring(&mut self) {
        let listed = self.servers.values().map(|s| &s.entry);
        let listed = listed.filter(|e| e.availability == Availability::Ready);
        let rings = if self.sparse_feedback { RING_COUNT } else { 1 };
        let (ring, index) = (self.settings.node_index % rings, self.settings.node_index / rings);
        // Hashes of names that differ only in their last letters are close to each other. Unmixed, servers of
        // one kind would be neighbours on the ring.
        let mixed = |h: u64| (h ^ ring as u64).wrapping_mul(HASH_MIX).rotate_left(29).wrapping_mul(HASH_MIX);
        let mut listed: Vec<_> =
            listed.map(|e| (e.zone != self.settings.zone, mixed(e.name_hash), e.server.0)).collect();
        listed.sort_unstable();
        self.same_zone_count = listed.iter().filter(|(other_zone, ..)| !other_zone).count();
        self.ring = listed.into_iter().map(|(.., id)| id).collect();
        let mean = self.ring.iter().map(|id| self.servers[id].entry.weight).sum::<f64>()
            / self.ring.len().max(1) as f64;
        for server in self.servers.values_mut() {
            let known = self.settings.weights == Weights::Size && server.entry.weight > 0.0 && mean > 0.0;
            server.relative_size = if known { server.entry.weight / mean } else { 1.0 };
        }
        let position = ((index + 1) as f64 * GOLDEN_RATIO_FRACTION).fract();
        for range in [0..self.same_zone_count, self.same_zone_count..self.ring.len()] {
            let part = &mut self.ring[range];
            part.rotate_left((position * part.len() as f64) as usize);
        }
        self.select_subset();
    }

    /// Selects the ranges of the ring that this node sends to.
    fn select_subset(&mut self) {
        let (same_zone, all) = (self.same_zone_count, self.ring.len());
        let by_settings = (all as f64 * NODES_PER_SERVER / self.settings.nodes as f64).ceil() as usize;
        let size = MIN_SUBSET.max(if self.target_size > 0.0 {
            self.target_size.round() as usize
        } else {
            by_settings
        });
        // Without probes, the only fresh information about a server is this node's own attempts in flight
        // there, and that only helps if the node sends to the server often. So the servers of both ranges
        // together make one subset. Each server is in equally many subsets, also in a small zone.
        let share = (size * same_zone).div_ceil(all.max(1));
        let (own, other) =
            if self.probe_count > 0 { (size, size) } else { (share, size - share.min(same_zone)) };
        // The size counts servers of the mean size: a range of small servers is longer.
        let range_of_size = |part: std::ops::Range<usize>, size: usize| {
            let mut room = size as f64 - 1e-6;
            let size_of = |at: &usize| self.servers.get(&self.ring[*at]).map_or(1.0, |s| s.relative_size);
            let fits = |at: &usize| {
                room -= size_of(at);
                room + size_of(at) > 0.0
            };
            part.start..part.start + part.take_while(fits).count()
        };
        let subset = [range_of_size(0..same_zone, own), range_of_size(same_zone..all, other)];
        self.subset = subset;
    }

    /// Resizes the subset to this node's own share of the requests in flight at the servers. The share
    /// follows from the servers' reports by Little's law. Each server is then in equally many subsets, by the
    /// traffic of their nodes, whichever are busy, quiet or dead.
    fn resize_subset(&mut self) {
        if !self.sparse_feedback
            || self.overall.samples < MEAN_SAMPLES
            || self.report_samples < FLEET_MEAN_SAMPLES
            || self.mean_gap <= 0.0
        {
            return;
        }
        let wanted = (NODES_PER_SERVER * self.overall.latency_ms
            / (self.mean_gap * self.mean_in_flight.max(MIN_MEAN_IN_FLIGHT)))
        .min(self.ring.len() as f64);
        let wanted = wanted.max(MIN_SUBSET as f64);
        if (wanted - self.target_size).abs() > RESIZE_THRESHOLD * self.target_size.max(1.0) {
            self.target_size = wanted;
            self.select_subset();
        }
    }

    /// Sets a timer for a new subscription, with exponential backoff and jitter. Without a subscription the
    /// node would go on sending to servers that are long gone.
    fn schedule_resubscribe(&mut self, actions: &mut Vec<Action>) {
        if self.failed_calls == 0 {
            actions.push(Action::Note("the list of servers does not come".into()));
        }
        self.backoff = true;
        let max_ms = self.settings.resubscribe_within_ms * MAX_RESUBSCRIBE_FRACTION;
        let after_ms = max_ms / 2_f64.powi(4 - self.failed_calls) * (0.5 + 0.5 * self.random.f64());
        self.failed_calls = (self.failed_calls + 1).min(4);
        actions.push(Action::SetTimer { timer: RESUBSCRIBE, after_ms });
    }

    // ---- The ordinary path

    /// Overwrites a server's count with its load report. A report counts the requests of all nodes. Unless
    /// the server was probed for this request, each node takes only its own part of that number as the count,
    /// and evens out only that part.
    fn record_report(&mut self, now: f64, id: usize, report: LoadReport) {
        let in_flight =
            report.in_flight.or(report.queued).filter(|in_flight| *in_flight <= MAX_REPORTED_IN_FLIGHT);
        let (Some(in_flight), Some(server)) = (in_flight, self.servers.get_mut(&id)) else { return };
        let parts = if self.probe_count > 0 { 1.0 } else { self.settings.nodes as f64 };
        server.count = Some(in_flight / parts);
        let in_flight = in_flight / server.relative_size;
        (server.last_report, server.sent_since) = (Some((in_flight, now)), 0.0);
        server.usual_in_flight.1 = (server.usual_in_flight.1 + 1.0).min(SERVER_REPORT_SAMPLES);
        server.usual_in_flight.0 += (in_flight - server.usual_in_flight.0) / server.usual_in_flight.1;
        self.report_samples = (self.report_samples + 1.0).min(FLEET_MEAN_SAMPLES);
        self.mean_in_flight += (in_flight - self.mean_in_flight) / self.report_samples;
    }

    /// Returns up to `max_servers` eligible servers with the lowest counts, ties broken at random. The
    /// preferred server comes first if its count is not much higher than the lowest.
    fn pick(&mut self, now: f64, pending: &Pending, max_wait: f64, max_servers: usize) -> Vec<usize> {
        let mut candidates = self.candidates(now, pending);
        // Servers that are not healthy, or were tried already, are used only where there are no others.
        let fittest = candidates.iter().map(|c| c.unfitness).min();
        candidates.retain(|c| Some(c.unfitness) == fittest && c.wait <= max_wait);
        let min_wait = candidates.iter().map(|c| c.wait).fold(f64::INFINITY, f64::min);
        let bound = if self.probe_count > 0 { max_wait } else { min_wait * MAX_WAIT_RATIO };
        // Requests that cross zones have a price. And nodes that keep to their own zones interfere less with
        // each other, as they cannot see each other's requests.
        let same_zone_only = self.probe_count == 0
            && !self.sparse_feedback
            && candidates.iter().any(|c| c.same_zone && c.wait <= bound);
        let preferred = |c: &Candidate| pending.preferred == Some(c.server);
        candidates.retain(|c| (c.wait <= bound || preferred(c)) && (c.same_zone || !same_zone_only));
        self.random.shuffle(&mut candidates);
        candidates.sort_by(|a, b| a.rank.total_cmp(&b.rank));
        if let Some(at) = candidates.iter().position(preferred) {
            // The preference counts only close to the lowest rank. Otherwise it would overload its server.
            let slack = self.settings.preference_slack;
            let lowest = candidates.iter().find(|c| c.wait <= bound).map_or(f64::INFINITY, |c| c.rank);
            let Candidate { rank, wait, .. } = candidates[at];
            if rank <= lowest * slack && wait <= bound.max(min_wait * slack) {
                candidates[..=at].rotate_right(1);
            } else if wait > bound {
                candidates.remove(at);
            }
        }
        candidates.iter().take(max_servers).map(|c| c.server).collect()
    }

    /// Returns all servers that the rules allow for this request.
    fn candidates(&mut self, now: f64, pending: &Pending) -> Vec<Candidate> {
        let class = pending.rules;
        let half_life = HALF_LIFE_OBJECTIVES * self.mean_objective;
        // An estimate that is not confirmed decays to an optimistic one. Otherwise a node that refuses all
        // requests would never learn that its servers have recovered.
        let (latency, depth) = if self.overall.samples > 0.0 {
            (self.overall.latency_ms, self.overall.depth)
        } else {
            (self.mean_objective, 1.0)
        };
        let long_term =
            self.overall.blend(now, f64::INFINITY, (self.mean_objective * OPTIMISTIC_OBJECTIVES, 1.0));
        let overall = self.overall.blend(
            now,
            half_life.max(MIN_HALF_LIFE_GAPS * self.recent_gap),
            (latency.min(self.mean_objective * OPTIMISTIC_OBJECTIVES), depth),
        );
        // Where servers are probed, counts never expire: old ones decide which servers to probe.
        let max_silence =
            if self.probe_count > 0 { f64::INFINITY } else { EJECTION_OBJECTIVES * self.mean_objective };
        let (mut sum, mut counts) = (0.0, 0);
        for i in self.subset.clone().into_iter().flatten() {
            let Some(server) = self.servers.get_mut(&self.ring[i]) else { continue };
            server.expire_count(now, max_silence);
            (sum, counts) = server.count.map_or((sum, counts), |count| (sum + count, counts + 1));
        }
        let mean_count = sum / counts.max(1) as f64;
        let subset_size = self.subset[0].len() + self.subset[1].len();
        // Crossing zones is charged at its price, in latency objectives.
        let crossing = self.settings.cross_zone_price * class.latency_objective_ms;
        let jitter =
            if self.probe_count > 0 && pending.reporting.is_empty() { PROBE_TARGET_JITTER } else { 0.0 };
        let ran_first = pending.first_run.map(|first| &pending.attempts[first]);
        let (mut candidates, fleet) = (Vec::new(), self.fleet_load());
        // A request that may have run is bound to the group of that server, wherever on the ring its servers
        // are. Any other request stays in the subset.
        let [own, other] = if ran_first.is_some() { [0..self.ring.len(), 0..0] } else { self.subset.clone() };
        // A preferred server may be outside the subset, but not in slow start: what it can take then is
        // divided over the nodes whose subset it is in.
        let allowed = |s: &Server| {
            let warm = now - s.entry.started_at.unwrap_or(f64::NEG_INFINITY) >= self.settings.slow_start_ms;
            ran_first.is_none() && s.entry.availability == Availability::Ready && warm
        };
        let in_subset = |id: &usize| own.clone().chain(other.clone()).any(|i| self.ring[i] == *id);
        let outside =
            pending.preferred.filter(|id| self.servers.get(id).is_some_and(allowed) && !in_subset(id));
        for id in own.chain(other).map(|i| self.ring[i]).chain(outside) {
            let first_attempt = pending.attempts.is_empty();
            let probed = first_attempt && pending.reporting.contains(&id);
            let server = self.servers.get_mut(&id).expect("listed");
            let estimated = self.sparse_feedback.then(|| server.estimated_count(now, fleet));
            let forbidden = may_be_replaced(class.effect, id, &pending.attempts)
                || ran_first.is_some_and(|first| !may_retry_on(class.effect, first, &server.entry));
            if forbidden || first_attempt && !probed && !pending.reporting.is_empty() {
                continue;
            }
            let count = *server.count.get_or_insert(mean_count);
            let (latency, depth) = server.latency.blend(now, half_life, overall);
            // A server in slow start reports no queue yet and would be swamped. So every node considers it
            // for the same fraction of its requests only: what all nodes send then keeps in step with the
            // load of a warm server.
            let age = now - server.entry.started_at.unwrap_or(f64::NEG_INFINITY);
            if age < self.settings.slow_start_ms && !probed {
                let missing_capacity = (1.0 - self.settings.slow_start_min_capacity)
                    * (1.0 - (age / self.settings.slow_start_ms).max(0.0));
                let fraction = SLOW_START_SHARE * self.settings.collapse_multiple * (1.0 - missing_capacity)
                    / subset_size as f64;
                if self.random.f64() >= fraction * self.served_fraction {
                    continue;
                }
            }
            let may_try = server.in_flight == 0 && class.effect != Effect::Unsafe;
            let healthy = server.ejected_until.is_none_or(|until| until <= now && may_try);
            let same_zone = server.entry.zone == self.settings.zone;
            // A count that was just probed covers the requests of all nodes, and so does the latency per
            // request it is multiplied with. An idle server is never late.
            let wait = match self.probe_count > 0 {
                true if count < 0.5 => 0.0,
                true => (count + 1.0) * long_term.0 / long_term.1,
                false => (server.in_flight + 1) as f64 * latency / depth,
            };
            let count = estimated.unwrap_or(count);
            candidates.push(Candidate {
                server: id,
                wait,
                rank: (count + 1.0) * latency / depth * (1.0 + jitter * (2.0 * self.random.f64() - 1.0))
                    + if same_zone { 0.0 } else { crossing },
                unfitness: 2 * u8::from(!healthy) + u8::from(pending.attempts.iter().any(|a| a.server == id)),
                same_zone,
            });
        }
        candidates
    }

    /// Returns what the load reports of all servers together show.
    fn fleet_load(&self) -> FleetLoad {
        FleetLoad {
            mean_in_flight: self.mean_in_flight,
            report_decay_ms: REPORT_DECAY_LATENCIES * self.overall.latency_ms.max(1.0),
            load_effect: self.load_effect(),
        }
    }

    /// Returns how far higher reported load has lately led to longer latency: the regression slopes of excess
    /// latency on both load excesses, from 0 to 1.
    fn load_effect(&self) -> [f64; 2] {
        let slope = |prior: f64, (product, square): (f64, f64)| {
            ((product + prior) / (square + LOAD_EFFECT_PRIOR)).clamp(0.0, 1.0)
        };
        [slope(LOAD_EFFECT_PRIOR, self.load_moments[0]), slope(0.0, self.load_moments[1])]
    }

    // ---- The life of a request

    fn on_request(&mut self, now: f64, request: &Request, actions: &mut Vec<Action>) {
        let Some(rules) = request.rules.or_else(|| self.settings.rules_of(request.class)) else {
            return actions.push(Action::Fail { request: request.id });
        };
        let mut pending = Pending {
            class: request.class,
            rules: rules.class,
            max_attempts: rules.max_attempts,
            deadline_at: now + request.budget_ms,
            attempts: Vec::new(),
            first_run: None,
            answered: false,
            awaited: Vec::new(),
            reporting: Vec::new(),
            max_wait: 0.0,
            preferred: request.preferred_server.map(|server| server.0),
        };
        self.request_samples = (self.request_samples + 1.0).min(FLEET_MEAN_SAMPLES);
        if self.request_samples > 1.0 {
            self.mean_gap += (now - self.last_request_at - self.mean_gap) / (self.request_samples - 1.0);
        }
        self.resize_subset();
        self.recent_gap +=
            ((now - self.last_request_at).min(self.mean_objective) - self.recent_gap) / MEAN_SAMPLES;
        self.last_request_at = now;
        self.retry_tokens = (self.retry_tokens + RETRY_RATIO).min(MEAN_SAMPLES);
        let within_quota = self.take_from_quota(now, request.tenant);
        pending.max_wait = self.admission_bound(&pending, within_quota);
        if self.sparse_feedback {
            // Where each node sees little of the load, all nodes would admit everything or nothing at the
            // same time. The random factor lets them together admit a part.
            pending.max_wait /= self.random.f64().powf(ADMISSION_EXPONENT);
        }
        if self.probe_count > 0 {
            pending.awaited = self.pick(now, &pending, f64::INFINITY, self.probe_count);
        }
        for id in &pending.awaited {
            // A probe raises the count like an attempt, until a report comes. Without this, a silent server
            // would be probed over and over.
            self.servers.get_mut(id).expect("picked").count.iter_mut().for_each(|count| *count += 1.0);
            actions.push(Action::Probe { server: ServerId(*id) });
        }
        let after_ms = pending.rules.latency_objective_ms.min(request.budget_ms) * PROBE_WAIT_OBJECTIVES;
        self.awaiting_probes.push(request.id);
        self.pending.insert(request.id, pending);
        if self.pending[&request.id].awaited.is_empty() {
            return self.send_first_attempt(now, request.id, actions);
        }
        actions.push(Action::SetTimer { timer: request.id.0 + 1, after_ms });
    }

    /// Sends the first attempt of a request whose probes were answered or timed out, or refuses the request.
    fn send_first_attempt(&mut self, now: f64, id: RequestId, actions: &mut Vec<Action>) {
        let Some(position) = self.awaiting_probes.iter().position(|waiting| *waiting == id) else { return };
        self.awaiting_probes.remove(position);
        let Some(mut pending) = self.pending.remove(&id) else { return };
        // Where no probe was answered the request is sent to no server: they are too busy even for that.
        let max_servers = usize::from(self.probe_count == 0 || !pending.reporting.is_empty());
        if let Some(&server) = self.pick(now, &pending, pending.max_wait, max_servers).first() {
            self.send(now, id, &mut pending, server, actions);
            self.pending.insert(id, pending);
        } else {
            self.refuse_or_fail(id, &pending, actions);
        }
    }

    fn on_probe(
        &mut self,
        now: f64,
        server: usize,
        ending: Ending,
        report: Option<LoadReport>,
        actions: &mut Vec<Action>,
    ) {
        report.into_iter().for_each(|report| self.record_report(now, server, report));
        let mut due = Vec::new();
        for id in &self.awaiting_probes {
            let Some(pending) = self.pending.get_mut(id).filter(|pending| pending.awaited.contains(&server))
            else {
                continue;
            };
            pending.awaited.retain(|awaited| *awaited != server);
            if ending == Ending::Served {
                pending.reporting.push(server);
            }
            if pending.awaited.is_empty() {
                due.push(*id);
            } else if pending.reporting == [server] {
                // After the first answer only those of the same instant are awaited: later ones are busy.
                actions.push(Action::SetTimer { timer: id.0 + 1, after_ms: 0.0 });
            }
        }
        for id in due {
            self.send_first_attempt(now, id, actions);
        }
    }

    /// Returns whether the tenant's token bucket at this node has a token for a request, and takes it.
    fn take_from_quota(&mut self, now: f64, tenant: usize) -> bool {
        let Some(quota) = self.settings.quotas_per_s.get(tenant) else { return true };
        let quota = quota / self.settings.nodes as f64;
        let (left, at) = &mut self.quotas[tenant];
        *left = (*left + quota * (now - *at).max(0.0) / 1000.0).min(quota.max(MIN_QUOTA_BURST));
        *at = now;
        *left -= if *left >= 1.0 { 1.0 } else { return false };
        true
    }

    /// Returns the longest expected latency at which a request is admitted: late work must not crowd out
    /// others.
    fn admission_bound(&self, pending: &Pending, within_quota: bool) -> f64 {
        // A node that has just started knows no latency to justify a refusal, unless it probes for counts.
        if self.probe_count == 0 && self.overall.samples < MEAN_SAMPLES {
            return f64::INFINITY;
        }
        let rules = |k: usize| self.settings.classes.get(k).copied().unwrap_or(pending.rules);
        let value_density = |k: usize| rules(k).value / self.latency_ratio(k);
        let best = (0..self.classes.len()).map(value_density).fold(0.0, f64::max);
        let quota = if within_quota { 1.0 } else { self.settings.over_quota_value };
        let value = if best > 0.0 { value_density(pending.class) * quota / best } else { 1.0 };
        // A late answer is not lost if it still has some value; counts just probed need a smaller margin.
        let late = if self.probe_count > 0 { PROBED_BOUND_RELAXATION } else { pending.rules.late_value };
        let relax = |fraction: f64, by: f64| fraction + (1.0 - fraction) * by;
        let fraction = relax(ADMISSION_OBJECTIVES, late) * relax(relax(MIN_VALUE_FRACTION, late), value);
        // The bound uses the shortest objective among this class and those of higher value. Otherwise a class
        // of low value with a long objective would fill the queues in which classes of higher value would
        // then be late.
        let (own, all) = (value_density(pending.class), 0..self.classes.len());
        let of_higher_value = all.filter(|k| value_density(*k) > own).chain([pending.class]);
        let objective_ms = |k: usize| rules(k).latency_objective_ms / self.latency_ratio(k);
        let objective_ms = of_higher_value.map(objective_ms).fold(f64::INFINITY, f64::min);
        // If servers hardly meet an objective even without a queue, a fraction of that objective would refuse
        // every request. At one of many nodes this holds beyond the quota too: such a node's part of a quota
        // says little, as its traffic need not be the same part of the tenant's.
        let applies = self.report_samples > 0.0 && (within_quota || self.sparse_feedback);
        let service_ms = if applies { self.overall.latency_ms / (self.mean_in_flight + 1.0) } else { 0.0 };
        (objective_ms * fraction).max((service_ms * ALWAYS_ADMITTED_SERVICE_TIMES).min(objective_ms))
    }

    /// Returns how much longer a class takes than the mean request, weighted by the number of its answers.
    /// Without the weight, a class whose few answers came at a bad moment would not even get an idle server.
    fn latency_ratio(&self, class: usize) -> f64 {
        let Some(class) = self.classes.get(class) else { return 1.0 };
        let ratio = class.latency_ms / self.overall.latency_ms;
        let confidence = (class.samples / MEAN_SAMPLES).min(1.0);
        let known = ratio.is_finite() && ratio > 0.0;
        if known {
            1.0 + (ratio - 1.0) * confidence
        } else {
            1.0
        }
    }

    fn send(&mut self, now: f64, id: RequestId, pending: &mut Pending, to: usize, actions: &mut Vec<Action>) {
        let fleet = self.fleet_load();
        let server = self.servers.get_mut(&to).expect("picked");
        let load_excess = if self.sparse_feedback { server.load_excess(now, fleet) } else { [0.0; 2] };
        server.in_flight += 1;
        server.count = server.count.map(|count| count + 1.0);
        (server.sent_since, server.last_sent_at) = (server.sent_since + 1.0 / server.relative_size, now);
        let depth = server.count.filter(|_| self.probe_count > 0).unwrap_or(server.in_flight as f64);
        let answers_ahead = server.answers + server.in_flight as u64 - 1;
        let (zone, cell, in_flight) = (server.entry.zone, server.entry.cell, server.in_flight);
        let expected_ms = in_flight as f64 * self.overall.latency_ms / self.overall.depth.max(1.0);
        let latency_objective_ms = pending.rules.latency_objective_ms;
        let after_ms = (latency_objective_ms * ABANDON_OBJECTIVES).max(expected_ms * ABANDON_LATENCIES);
        let lost_at = self.lost_at(now, pending);
        pending.attempts.push(Attempt {
            server: to,
            zone,
            cell,
            sent_at: now,
            depth,
            load_excess,
            in_flight: true,
            abandon_at: now + after_ms,
            broke_off: false,
            abandoned: false,
            answers_ahead,
            lost_at,
            presumed_lost: false,
            spans_pause: false,
        });
        actions.push(Action::Send { request: id, server: ServerId(to) });
        let may_abandon = pending.attempts.len() < pending.max_attempts && in_flight >= ABANDON_IN_FLIGHT;
        let in_time = now + after_ms < pending.deadline_at && self.may_retry(now + after_ms, pending, true);
        if self.settings.cancel && may_abandon && in_time {
            actions.push(Action::SetTimer { timer: id.0 + 1, after_ms });
        }
        if self.settings.cancel
            && self.lost_fraction > MAX_LOST_RATIO
            && self.random.f64() < LOST_ABANDON_RATIO
        {
            actions.push(Action::SetTimer { timer: id.0 + 1, after_ms: lost_at - now });
        }
    }

    /// Returns when the answer to an attempt sent now is presumed lost: late for its class, in time to retry.
    fn lost_at(&self, now: f64, pending: &Pending) -> f64 {
        let late = now + LOST_LATENCIES * self.classes.get(pending.class).unwrap_or(&self.overall).latency_ms;
        let first = pending.first_run.map_or(now, |first| pending.attempts[first].sent_at);
        match pending.rules.effect {
            Effect::Keyed { window_ms, .. } => {
                late.min(first + window_ms * RETRY_WINDOW_FRACTION * LOST_ABANDON_RATIO).max(now)
            }
            Effect::Safe | Effect::Unsafe => late,
        }
    }

    /// Returns whether an attempt has waited so long, overtaken by so many, that its answer may be lost.
    fn is_overtaken(&self, now: f64, attempt: &Attempt) -> bool {
        let answers = self.servers.get(&attempt.server).map_or(0, |server| server.answers);
        now >= attempt.lost_at && answers >= attempt.answers_ahead + LOST_OVERTAKERS
    }

    /// Abandons an attempt whose answer seems lost in the network, while its server goes on answering others.
    /// Without this, such a network path would cost each of its requests the whole time until its deadline.
    fn abandon_lost(&mut self, now: f64, id: RequestId, actions: &mut Vec<Action>) {
        let Some(mut pending) = self.pending.remove(&id) else { return };
        let likely = self.lost_fraction > MAX_LOST_RATIO;
        let last = pending.attempts.last().filter(|a| likely && a.in_flight && self.is_overtaken(now, a));
        let may_retry = pending.attempts.len() < pending.max_attempts && self.retry_tokens >= 1.0;
        if last.is_some_and(|last| !last.abandoned)
            && may_retry
            && !pending.answered
            && self.retry_target(now, &mut pending).is_some()
        {
            let attempt = pending.attempts.len() - 1;
            (pending.attempts[attempt].abandoned, pending.attempts[attempt].presumed_lost) = (true, true);
            actions.push(Action::Cancel { request: id, attempt });
        }
        self.pending.insert(id, pending);
    }

    /// Abandons the attempts that a silent server leaves unanswered, if their requests may be sent elsewhere
    /// instead. Without this, such a server would cost each of its requests the time until its deadline.
    fn abandon_silent(&mut self, now: f64, id: RequestId, actions: &mut Vec<Action>) {
        let server_of = |pending: &Pending| pending.attempts.last().filter(|a| a.in_flight).map(|a| a.server);
        let Some(server) = self.pending.get(&id).and_then(server_of) else { return };
        let waiting = self.pending.iter().filter(|(_, pending)| server_of(pending) == Some(server));
        let mut waiting: Vec<RequestId> = waiting.map(|(id, _)| *id).collect();
        waiting.sort_unstable();
        for id in waiting {
            let Some(mut pending) = self.pending.remove(&id) else { continue };
            if let Some(attempt) = self.attempt_to_abandon(now, &mut pending) {
                pending.attempts[attempt].abandoned = true;
                actions.push(Action::Cancel { request: id, attempt });
            }
            self.pending.insert(id, pending);
        }
    }

    /// Returns a request's last attempt if it is due to be abandoned and another server can get the request.
    fn attempt_to_abandon(&mut self, now: f64, pending: &mut Pending) -> Option<usize> {
        let last = pending.attempts.len().checked_sub(1)?;
        let attempt = &pending.attempts[last];
        let due = self.settings.cancel
            && attempt.in_flight
            && !attempt.abandoned
            && now >= attempt.abandon_at
            && !pending.answered;
        let silent = self.servers.get(&attempt.server);
        let silent =
            silent.is_some_and(|s| s.answered_at < attempt.sent_at && s.in_flight >= ABANDON_IN_FLIGHT);
        if !due || !silent || last + 1 >= pending.max_attempts || self.retry_tokens < 1.0 {
            return None;
        }
        let server = attempt.server;
        self.retry_target(now, pending).filter(|target| *target != server).map(|_| last)
    }

    /// Returns the next server for a request whose last attempt is abandoned, and so may have run.
    fn retry_target(&mut self, now: f64, pending: &mut Pending) -> Option<usize> {
        let first_run = pending.first_run;
        let servers = self.may_retry(now, pending, true).then(|| {
            pending.first_run = first_run.or(pending.attempts.len().checked_sub(1));
            self.pick(now, pending, f64::INFINITY, 1)
        });
        pending.first_run = first_run;
        servers.and_then(|servers| servers.first().copied())
    }

    fn on_outcome(&mut self, now: f64, outcome: &Outcome, actions: &mut Vec<Action>) {
        let id = outcome.request;
        let Some(mut pending) = self.pending.remove(&id) else { return };
        let Some(attempt) = pending.attempts.get_mut(outcome.attempt).filter(|a| a.in_flight) else {
            return drop(self.pending.insert(id, pending));
        };
        (attempt.in_flight, attempt.broke_off) = (false, outcome.ending == Ending::Reset);
        let server = attempt.server;
        outcome.report.into_iter().for_each(|report| self.record_report(now, server, report));
        self.observe(now, &pending, &pending.attempts[outcome.attempt], outcome, actions);
        if outcome.ending.may_have_run() && pending.first_run.is_none() {
            pending.first_run = Some(outcome.attempt);
        }
        if outcome.complete {
            pending.answered = true;
        } else if !pending.answered {
            self.retry_or_end(now, id, &mut pending, actions);
        }
        if !pending.answered || pending.attempts.iter().any(|a| a.in_flight) {
            self.pending.insert(id, pending);
        }
    }

    /// Returns whether the request's effect allows another attempt after those that may have run.
    /// `with_last`: whether the last attempt counts as one that may have run.
    fn may_retry(&self, now: f64, pending: &Pending, with_last: bool) -> bool {
        let first = pending.first_run.or_else(|| pending.attempts.len().checked_sub(1).filter(|_| with_last));
        match (first, pending.rules.effect) {
            (None, _) | (_, Effect::Safe) => true,
            (Some(first), Effect::Keyed { window_ms, .. }) => {
                now - pending.attempts[first].sent_at < window_ms * RETRY_WINDOW_FRACTION
            }
            (Some(_), Effect::Unsafe) => false,
        }
    }

    /// Sends another attempt if effect, deadline and retry budget allow it; otherwise gives the final answer.
    fn retry_or_end(&mut self, now: f64, id: RequestId, pending: &mut Pending, actions: &mut Vec<Action>) {
        let allowed = self.may_retry(now, pending, false);
        let within_budget = pending.attempts.len() < pending.max_attempts && self.retry_tokens >= 1.0;
        if allowed && within_budget && now < pending.deadline_at {
            // Without this bound, requests refused by some servers would fill up the others (incident
            // ia94218, on days of high load).
            let max_wait = if self.probe_count > 0 { pending.max_wait } else { f64::INFINITY };
            if let Some(&server) = self.pick(now, pending, max_wait, 1).first() {
                self.retry_tokens -= 1.0;
                return self.send(now, id, pending, server, actions);
            }
        }
        self.refuse_or_fail(id, pending, actions);
        pending.answered = true;
    }

    /// Gives the final answer of a request that was not served: a refusal only if a retry is harmless.
    fn refuse_or_fail(&mut self, id: RequestId, pending: &Pending, actions: &mut Vec<Action>) {
        let harmless = match pending.rules.effect {
            Effect::Safe | Effect::Keyed { group: Group::All, .. } => true,
            Effect::Keyed { .. } | Effect::Unsafe => pending.first_run.is_none(),
        };
        // The time that a server takes for one of the requests it has: after that it can accept another one.
        // A longer wait would use up the latency objective, which counts from the client's first try.
        let service_ms = if self.overall.samples > 0.0 {
            self.overall.latency_ms / self.overall.depth
        } else {
            self.mean_objective * OPTIMISTIC_OBJECTIVES
        };
        let retry_after_ms = self.settings.max_retry_after_ms.map(|max_ms| service_ms.min(max_ms));
        let refuse = Action::Refuse { request: id, retry_after_ms };
        actions.push(if harmless { refuse } else { Action::Fail { request: id } });
    }

    fn on_client_gone(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        pending.answered = true;
        if self.settings.cancel {
            let in_flight = pending.attempts.iter().enumerate().filter(|(_, a)| a.in_flight);
            actions.extend(in_flight.map(|(attempt, _)| Action::Cancel { request: id, attempt }));
        }
        if pending.attempts.iter().all(|a| !a.in_flight) {
            self.pending.remove(&id);
        }
    }

    // ---- Health

    /// Updates what is known of a server by the outcome of an attempt, and ejects or restores the server.
    fn observe(
        &mut self,
        now: f64,
        pending: &Pending,
        attempt: &Attempt,
        outcome: &Outcome,
        actions: &mut Vec<Action>,
    ) {
        let class = pending.class;
        let (id, depth, elapsed) = (attempt.server, attempt.depth, outcome.elapsed_ms);
        let (relative, half_life) = (self.latency_ratio(class), HALF_LIFE_OBJECTIVES * self.mean_objective);
        let overtaken = self.is_overtaken(now, attempt);
        if overtaken && matches!(outcome.ending, Ending::Served | Ending::TimedOut) {
            self.lost_fraction +=
                (f64::from(u8::from(outcome.ending == Ending::TimedOut)) - self.lost_fraction) / LOST_SAMPLES;
        }
        // An answer that was lost in the network says nothing about the server.
        let lost = overtaken && self.lost_fraction > MAX_LOST_RATIO && outcome.ending == Ending::TimedOut;
        // During a pause the node could not read an answer.
        let unheard = attempt.spans_pause && outcome.ending == Ending::TimedOut;
        if !unheard {
            self.served_fraction +=
                (f64::from(u8::from(outcome.ending == Ending::Served)) - self.served_fraction) / MEAN_SAMPLES;
        }
        let server = self.servers.get_mut(&id).expect("kept while an attempt is in flight");
        server.in_flight = server.in_flight.saturating_sub(1);
        if server.is_removable() {
            self.servers.remove(&id);
            return;
        }
        if matches!(outcome.ending, Ending::Served | Ending::Full | Ending::Error) {
            server.answered_at = now;
            server.answers += 1;
        }
        if lost || unheard || attempt.presumed_lost {
            return;
        }
        let failed = match outcome.ending {
            Ending::Cancelled if attempt.abandoned => true,
            // A full server is busy, not faulty.
            Ending::Served | Ending::Full => false,
            // A time-out within the latency objective says nothing about the server.
            Ending::TimedOut => elapsed >= pending.rules.latency_objective_ms,
            Ending::Error | Ending::Unreachable | Ending::Reset => true,
            Ending::Cancelled | Ending::NotSent => return,
        };
        let timed = matches!(outcome.ending, Ending::Served | Ending::TimedOut) && !attempt.spans_pause;
        if timed {
            if self.overall.samples >= MEAN_SAMPLES {
                let excess = (elapsed / (relative * self.overall.latency_ms) - 1.0).min(MAX_EXCESS_LATENCIES);
                for ((product, square), load) in self.load_moments.iter_mut().zip(attempt.load_excess) {
                    *product += (load * excess - *product) / LOAD_EFFECT_SAMPLES;
                    *square += (load * load - *square) / LOAD_EFFECT_SAMPLES;
                }
            }
            if let Some(class) = self.classes.get_mut(class) {
                class.record(now, f64::INFINITY, 4.0 * MEAN_SAMPLES, elapsed, depth);
            }
            self.overall.record(now, f64::INFINITY, 4.0 * MEAN_SAMPLES, elapsed, depth);
            server.latency.record(now, half_life, MEAN_SAMPLES, elapsed / relative, depth);
        }
        if outcome.ending == Ending::Served {
            server.failures = if self.sparse_feedback { server.failures / 2 } else { 0 };
            if server.ejected_until.take().is_some() {
                actions.push(Action::Restored { server: ServerId(id) });
            }
        } else if failed {
            // Servers that fail quickly, hang or cannot be reached have low counts, so counts alone would
            // favour them. Where feedback is sparse, a single error ejects: a server that each node meets
            // seldom would fail many more requests before every node had seen three failures.
            let eject_at_once = self.sparse_feedback && outcome.ending == Ending::Error;
            server.failures += if eject_at_once { EJECTION_FAILURES } else { 1 };
            let due = server.ejected_until.map_or(server.failures >= EJECTION_FAILURES, |until| until <= now);
            let doublings = (server.failures / EJECTION_FAILURES).clamp(1, MAX_EJECTION_STEPS) - 1;
            let factor = if self.sparse_feedback { f64::from(1 << doublings) } else { 1.0 };
            if due
                && server
                    .ejected_until
                    .replace(now + EJECTION_OBJECTIVES * factor * self.mean_objective)
                    .is_none()
            {
                actions.push(Action::Ejected { server: ServerId(id) });
            }
        }
    }
}

/// Returns whether a server's process may have been replaced since a bound request was sent to it.
fn may_be_replaced(effect: Effect, server: usize, attempts: &[Attempt]) -> bool {
    let broke_off = attempts.iter().any(|attempt| attempt.server == server && attempt.broke_off);
    broke_off && matches!(effect, Effect::Keyed { group: Group::Zone | Group::Cell, .. })
}

/// Returns whether a request that may have run on the server of `first` may be sent to `other`.
fn may_retry_on(effect: Effect, first: &Attempt, other: &ServerEntry) -> bool {
    match effect {
        Effect::Safe | Effect::Keyed { group: Group::All, .. } => true,
        Effect::Keyed { group: Group::Zone, .. } => first.zone == other.zone,
        Effect::Keyed { group: Group::Cell, .. } => first.cell == other.cell,
        Effect::Unsafe => false,
    }
}
