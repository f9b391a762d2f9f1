//! The interface of the decision module: its settings, events and actions.
//!
//! Times are milliseconds. Events carry durations; the instant they happened at is given to
//! [`Balancer::handle`](crate::Balancer::handle) beside them.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A server, numbered by the embedding node and never reused for another one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerId(pub usize);

/// A client's request, numbered by the embedding node and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// The servers that discard repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Every server.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// What running a request twice does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// Nothing: it may be repeated freely.
    Safe,
    /// Repeats are discarded by the servers of a group, for a while.
    Keyed {
        /// The servers that discard repeats.
        group: Group,
        /// For how long, from the sending of the first attempt that may have run.
        window_ms: f64,
    },
    /// It must never run twice.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// Answers within this time have the full worth.
    pub latency_objective_ms: f64,
    /// What a client waits in all, over every try.
    pub deadline_ms: f64,
    /// What running a request twice does.
    pub effect: Effect,
    /// Worth of an answer in time.
    pub value: f64,
    /// Fraction of the worth left after the aim.
    pub late_value: f64,
}

impl Class {
    /// A class of worth one whose late answers are worth nothing.
    #[must_use]
    pub fn new(latency_objective_ms: f64, deadline_ms: f64, effect: Effect) -> Self {
        Self { latency_objective_ms, deadline_ms, effect, value: 1.0, late_value: 0.0 }
    }
}

/// How the list of servers reaches a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes come by themselves.
    Push,
    /// Changes come only to a node that has subscribed.
    Subscribe,
}

/// What the listed weight of a server means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weights {
    /// Nothing: it is always one.
    None,
    /// The server's size.
    Size,
    /// The server's size lowered by its load of some time ago.
    Live,
}

/// All that a balancer is told when it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Classes of requests; a request names one by index.
    pub classes: Vec<Class>,
    /// Requests per second that each tenant may send through all nodes together.
    pub quotas_per_s: Vec<f64>,
    /// Fraction of the worth that a request beyond its tenant's quota keeps.
    pub over_quota_value: f64,
    /// Number of nodes that share the servers.
    pub nodes: usize,
    /// The node's own number among them, from zero.
    pub node_index: usize,
    /// The node's own zone.
    pub zone: usize,
    /// Number of machine kinds.
    pub kinds: usize,
    /// How the list of servers arrives.
    pub discovery: Discovery,
    /// What the listed weights mean.
    pub weights: Weights,
    /// A node with no subscription must ask again within this time.
    pub resubscribe_within_ms: f64,
    /// Attempts allowed for one request.
    pub max_attempts: usize,
    /// Whether two attempts of one request may be out at once.
    pub hedging: bool,
    /// Whether an attempt may be cancelled.
    pub cancel: bool,
    /// The longest that a client is told to stay away; `None` where it is told nothing.
    pub max_retry_after_ms: Option<f64>,
    /// Whether servers may be probed.
    pub probes: bool,
    /// Whether nodes may send each other messages.
    pub peers: bool,
    /// Whether answers carry the load report; where they do not, only probes do.
    pub responses_carry_load: bool,
    /// Price of one probe for each request, as a fraction of the result.
    pub probe_price: f64,
    /// A server starts with at least this fraction of its capacity.
    pub slow_start_min_capacity: f64,
    /// And has all of it after this time.
    pub slow_start_ms: f64,
    /// A cold server falls over when sent more than this multiple of its capacity ...
    pub collapse_multiple: f64,
    /// ... for this long.
    pub collapse_after_ms: f64,
    /// Price of wasted server work, as a fraction of the result.
    pub waste_price: f64,
    /// Price of requests that cross zones, as a fraction of the result.
    pub cross_zone_price: f64,
    /// A server that a request prefers is taken while its rank is at most this multiple of the lowest, one or more.
    pub preference_slack: f64,
}

impl Settings {
    /// Settings for one node with these classes; the rest is what an unrestricted site would say.
    #[must_use]
    pub fn new(classes: Vec<Class>) -> Self {
        Self {
            classes,
            quotas_per_s: Vec::new(),
            over_quota_value: 1.0,
            nodes: 1,
            node_index: 0,
            zone: 0,
            kinds: 1,
            discovery: Discovery::Push,
            weights: Weights::None,
            resubscribe_within_ms: 10_000.0,
            max_attempts: 3,
            hedging: false,
            cancel: true,
            max_retry_after_ms: None,
            probes: false,
            peers: false,
            responses_carry_load: true,
            probe_price: 0.0,
            slow_start_min_capacity: 1.0,
            slow_start_ms: 0.0,
            collapse_multiple: 2.0,
            collapse_after_ms: 1_000.0,
            waste_price: 0.0,
            cross_zone_price: 0.0,
            preference_slack: 2.0,
        }
    }

    /// Checks that every figure makes sense.
    ///
    /// # Errors
    ///
    /// Names the first setting that does not.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let need = |ok: bool, key: &'static str| if ok { Ok(()) } else { Err(SettingsError { key }) };
        let some = |x: f64| x.is_finite() && x > 0.0;
        let zero_up = |x: f64| x.is_finite() && x >= 0.0;
        need(!self.classes.is_empty(), "classes")?;
        for class in &self.classes {
            need(some(class.latency_objective_ms), "classes[].aim_ms")?;
            need(some(class.deadline_ms), "classes[].deadline_ms")?;
            need(zero_up(class.value), "classes[].worth")?;
            need(zero_up(class.late_value), "classes[].late_worth")?;
            if let Effect::Keyed { window_ms, .. } = class.effect {
                need(zero_up(window_ms), "classes[].window_ms")?;
            }
        }
        need(self.quotas_per_s.iter().all(|q| zero_up(*q)), "quotas_per_s")?;
        need(zero_up(self.over_quota_value), "over_quota_worth")?;
        need(self.nodes > 0, "nodes")?;
        need(some(self.resubscribe_within_ms), "ask_within_ms")?;
        need(self.max_attempts > 0, "max_attempts")?;
        need(self.max_retry_after_ms.is_none_or(zero_up), "max_retry_after_ms")?;
        need(some(self.slow_start_min_capacity) && self.slow_start_min_capacity <= 1.0, "cold_from")?;
        need(zero_up(self.slow_start_ms), "cold_ms")?;
        need(some(self.collapse_multiple), "tip_multiple")?;
        need(some(self.collapse_after_ms), "tip_after_ms")?;
        need(zero_up(self.probe_price), "probe_price")?;
        need(zero_up(self.waste_price), "waste_price")?;
        need(zero_up(self.cross_zone_price), "cross_zone_price")?;
        need(self.preference_slack.is_finite() && self.preference_slack >= 1.0, "preference_slack")
    }
}

/// A setting that makes no sense.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    key: &'static str,
}

impl SettingsError {
    /// The name of the setting.
    #[must_use]
    pub fn key(&self) -> &'static str {
        self.key
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting `{}` is missing or out of range", self.key)
    }
}

impl std::error::Error for SettingsError {}

/// What discovery says of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Availability {
    /// It takes requests.
    Ready,
    /// It finishes its work; nothing new may be sent.
    Draining,
    /// It has been removed, or was never there.
    #[default]
    Gone,
}

/// One server of a list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerEntry {
    /// The server.
    pub server: ServerId,
    /// Whether it takes requests.
    pub availability: Availability,
    /// When it last started; `None` means long ago.
    pub started_at: Option<f64>,
    /// Its cell.
    pub cell: usize,
    /// Its zone.
    pub zone: usize,
    /// Its machine kind.
    pub kind: usize,
    /// Its weight, see [`Weights`].
    pub weight: f64,
    /// A hash of its name, the same at every node: it orders the servers alike for all.
    pub name_hash: u64,
}

impl ServerEntry {
    /// A server of the first zone, cell and kind that started long ago.
    #[must_use]
    pub fn new(server: ServerId, availability: Availability) -> Self {
        Self {
            server,
            availability,
            started_at: None,
            cell: 0,
            zone: 0,
            kind: 0,
            weight: 1.0,
            name_hash: server.0 as u64,
        }
    }
}

/// News from discovery.
#[derive(Clone, Debug, PartialEq)]
pub enum ListUpdate {
    /// Only the servers that changed.
    Changes(Vec<ServerEntry>),
    /// The complete list: a server that is absent is gone.
    Full(Vec<ServerEntry>),
    /// The complete list as last held, perhaps long ago.
    Cached(Vec<ServerEntry>),
    /// A call failed or the subscription broke; the previous list stands.
    Failed,
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: usize,
    /// Time until the client gives this try up.
    pub budget_ms: f64,
    /// Work it is expected to need, on a standard core.
    pub cost_ms: Option<f64>,
    /// Whether the client repeats an earlier try.
    pub client_retry: bool,
    /// The server that had better have it, as far as its count allows; see [`Settings::preference_slack`].
    pub preferred_server: Option<ServerId>,
}

impl Request {
    /// A first try of the first tenant.
    #[must_use]
    pub fn new(id: RequestId, class: usize, budget_ms: f64) -> Self {
        Self { id, class, tenant: 0, budget_ms, cost_ms: None, client_retry: false, preferred_server: None }
    }
}

/// A server's own account of its load; what it does not tell is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests it holds.
    pub in_flight: Option<f64>,
    /// Requests waiting there.
    pub queued: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Served.
    Served,
    /// An error answer; it may have run.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection; it never ran.
    Unreachable,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// It was never sent.
    NotSent,
}

impl Ending {
    /// Whether the request may have taken effect.
    #[must_use]
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::Full | Self::Unreachable | Self::NotSent)
    }
}

/// The end of one attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// The request.
    pub request: RequestId,
    /// The attempt, numbered from zero in the order of sending.
    pub attempt: usize,
    /// Time since it was sent.
    pub elapsed_ms: f64,
    /// How it ended.
    pub ending: Ending,
    /// Whether the request is finished, by this outcome or before it.
    pub complete: bool,
    /// The server's load report, if the answer carried one.
    pub report: Option<LoadReport>,
}

/// Running means of the latency, and of how many requests the server held meanwhile.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LatencyEstimate {
    /// In milliseconds.
    #[serde(rename = "latency")]
    pub latency_ms: f64,
    /// Requests at the server.
    pub depth: f64,
    /// Outcomes that it was learned from.
    #[serde(rename = "seen")]
    pub samples: f64,
    /// When it was seen last.
    #[serde(rename = "at")]
    pub updated_at: f64,
}

/// What a balancer has learned, for one that takes its place under the same settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedState {
    /// Of the servers.
    pub servers: Vec<LearnedServerState>,
    /// Of all answers.
    #[serde(rename = "all")]
    pub overall: LatencyEstimate,
    /// Of each class.
    pub classes: Vec<LatencyEstimate>,
    /// What each tenant has left of its quota, and when that was counted.
    pub quotas: Vec<(f64, f64)>,
    /// Part of the attempts that are served.
    #[serde(rename = "served")]
    pub served_fraction: f64,
}

/// What a balancer has learned of a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedServerState {
    /// The server, as the balancer that is to learn calls it.
    pub server: ServerId,
    /// Its count.
    pub count: Option<f64>,
    /// Its answers.
    #[serde(rename = "pace")]
    pub latency: LatencyEstimate,
    /// Failures that count against it.
    #[serde(rename = "strikes")]
    pub consecutive_failures: u32,
    /// Until when it is taken out, if it is or is on trial.
    #[serde(rename = "out_until")]
    pub ejected_until: Option<f64>,
}

/// Settings that take the place of others.
#[derive(Clone, Debug, PartialEq)]
pub struct NewSettings {
    /// All of them. Where one makes no sense, nothing changes.
    pub settings: Settings,
    /// For each class, which of the earlier ones it is, if it was there: what was learned of it stays.
    pub classes: Vec<Option<usize>>,
    /// For each tenant, which of the earlier ones it is, if it was there: what it has used of its quota stays.
    pub tenants: Vec<Option<usize>>,
}

/// What happens to a node.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News from discovery.
    Servers(ListUpdate),
    /// A client's request, which is now owed one final answer.
    Request(Request),
    /// Part of its body is gone for good: it cannot be sent again.
    BodyConsumed(RequestId),
    /// A streamed answer has begun; the attempt belongs to the client from now on.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: usize,
    },
    /// What another balancer has learned, whose place this one takes: before its first request.
    ImportLearnedState(Box<LearnedState>),
    /// Other settings hold for what comes from now on; requests that are held keep the rules they came under.
    Reload(Box<NewSettings>),
    /// An attempt ended.
    Outcome(Outcome),
    /// The client left; nothing more is owed.
    ClientGone(RequestId),
    /// A timer came due.
    Timer(u64),
    /// The node stood still for so long until just now. What servers did meanwhile is told after this.
    Resumed {
        /// How long.
        paused_ms: f64,
    },
    /// A probe was answered, or not.
    Probed {
        /// The server.
        server: ServerId,
        /// How it went.
        ending: Ending,
        /// The server's load report, if there was one.
        report: Option<LoadReport>,
    },
}

/// What the node is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
    },
    /// Ask a server for its load report.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: usize,
    },
    /// Final answer: not taken, a retry is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// When the client should come back, if it is told.
        retry_after_ms: Option<f64>,
    },
    /// Final answer: failed, perhaps with an effect.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Subscribe to the changes of the server list.
    Subscribe,
    /// Ask for a [`Event::Timer`].
    SetTimer {
        /// Returned with the event.
        timer: u64,
        /// Time from now.
        after_ms: f64,
    },
    /// A server that failed is given nothing for a while.
    Ejected {
        /// The server.
        server: ServerId,
    },
    /// A server that was taken out has served again.
    Restored {
        /// The server.
        server: ServerId,
    },
    /// A line for the operators.
    Note(String),
}
