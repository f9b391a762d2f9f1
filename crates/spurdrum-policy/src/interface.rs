//! The interface of the decision module: its settings, events and actions.
//!
//! All times are in milliseconds. Events carry durations; the time at which an event happened is passed to
//! [`Balancer::handle`](crate::Balancer::handle) together with the event.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A server, numbered by the embedding node. A number is never reused for another server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerId(pub usize);

/// A client's request, numbered by the embedding node. A number is never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// The servers that share a deduplication table and so discard repeats of the same keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Every server.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// What happens when a request is executed twice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// Executing the request again does no harm: it may be repeated freely.
    Safe,
    /// The servers of a group discard repeats for a limited time.
    Keyed {
        /// The servers that discard repeats.
        group: Group,
        /// How long repeats are discarded, counted from the sending of the first attempt that may have run.
        window_ms: f64,
    },
    /// The request must never be executed twice.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// Latency objective: answers within this time have their full value.
    pub latency_objective_ms: f64,
    /// Total time that a client waits, over all of its tries.
    pub deadline_ms: f64,
    /// What happens when a request is executed twice.
    pub effect: Effect,
    /// Value of an answer within the latency objective.
    pub value: f64,
    /// Fraction of the value that remains after the latency objective.
    pub late_value: f64,
}

impl Class {
    /// Returns a class of value one whose late answers have no value.
    #[must_use]
    pub fn new(latency_objective_ms: f64, deadline_ms: f64, effect: Effect) -> Self {
        Self { latency_objective_ms, deadline_ms, effect, value: 1.0, late_value: 0.0 }
    }
}

/// How the list of servers reaches a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes are pushed to every node.
    Push,
    /// Changes are sent only to a node that has subscribed.
    Subscribe,
}

/// What the weight of a server in the list means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weights {
    /// Weights carry no information: they are always one.
    None,
    /// The server's size.
    Size,
    /// The server's size, reduced by its load at some earlier time.
    Live,
}

/// The settings that a balancer is created with.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Classes of requests; a request names its class by index.
    pub classes: Vec<Class>,
    /// Requests per second that each tenant may send through all nodes together.
    pub quotas_per_s: Vec<f64>,
    /// Fraction of its value that a request beyond its tenant's quota keeps.
    pub over_quota_value: f64,
    /// Number of nodes that share the servers.
    pub nodes: usize,
    /// This node's index among them, from zero.
    pub node_index: usize,
    /// This node's zone.
    pub zone: usize,
    /// Number of machine kinds.
    pub kinds: usize,
    /// How the list of servers reaches this node.
    pub discovery: Discovery,
    /// What the weights in the list mean.
    pub weights: Weights,
    /// A node without a subscription must subscribe again within this time.
    pub resubscribe_within_ms: f64,
    /// Maximum number of attempts for one request.
    pub max_attempts: usize,
    /// Whether two attempts of one request may be in flight at once.
    pub hedging: bool,
    /// Whether an attempt may be cancelled.
    pub cancel: bool,
    /// Longest retry-after time that a client may be given; `None` where clients are given none.
    pub max_retry_after_ms: Option<f64>,
    /// Whether servers may be probed.
    pub probes: bool,
    /// Whether nodes may send each other messages.
    pub peers: bool,
    /// Whether responses carry the server's load report; otherwise only probes return one.
    pub responses_carry_load: bool,
    /// Price of sending one probe for each request, as a fraction of the total value served.
    pub probe_price: f64,
    /// A server that has just started has at least this fraction of its capacity.
    pub slow_start_min_capacity: f64,
    /// Time after which a server that has started has its full capacity.
    pub slow_start_ms: f64,
    /// A server in slow start collapses when it is sent more than this multiple of its current capacity ...
    pub collapse_multiple: f64,
    /// ... for this long.
    pub collapse_after_ms: f64,
    /// Price of wasted server work, as a fraction of the total value served.
    pub waste_price: f64,
    /// Price of requests that cross zones, as a fraction of the total value served.
    pub cross_zone_price: f64,
    /// The server that a request prefers is chosen while its rank is at most this multiple of the lowest
    /// rank. At least one.
    pub preference_slack: f64,
}

impl Settings {
    /// Returns the rules for a request of a class; none if there is no such class.
    #[must_use]
    pub fn rules_of(&self, class: usize) -> Option<RequestRules> {
        let class = self.classes.get(class).copied()?;
        Some(RequestRules { class, max_attempts: self.max_attempts })
    }

    /// Returns settings for a single node with these classes. All else has the values of a deployment
    /// without restrictions.
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

    /// Checks that every value is in its range.
    ///
    /// # Errors
    ///
    /// Names the first setting that is out of range.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let require = |ok: bool, key: &'static str| if ok { Ok(()) } else { Err(SettingsError { key }) };
        let positive = |x: f64| x.is_finite() && x > 0.0;
        let non_negative = |x: f64| x.is_finite() && x >= 0.0;
        require(!self.classes.is_empty(), "classes")?;
        for class in &self.classes {
            require(positive(class.latency_objective_ms), "classes[].aim_ms")?;
            require(positive(class.deadline_ms), "classes[].deadline_ms")?;
            require(non_negative(class.value), "classes[].worth")?;
            require(non_negative(class.late_value), "classes[].late_worth")?;
            if let Effect::Keyed { window_ms, .. } = class.effect {
                require(non_negative(window_ms), "classes[].window_ms")?;
            }
        }
        require(self.quotas_per_s.iter().all(|q| non_negative(*q)), "quotas_per_s")?;
        require(non_negative(self.over_quota_value), "over_quota_worth")?;
        require(self.nodes > 0, "nodes")?;
        require(positive(self.resubscribe_within_ms), "ask_within_ms")?;
        require(self.max_attempts > 0, "max_attempts")?;
        require(self.max_retry_after_ms.is_none_or(non_negative), "max_retry_after_ms")?;
        require(positive(self.slow_start_min_capacity) && self.slow_start_min_capacity <= 1.0, "cold_from")?;
        require(non_negative(self.slow_start_ms), "cold_ms")?;
        require(positive(self.collapse_multiple), "tip_multiple")?;
        require(positive(self.collapse_after_ms), "tip_after_ms")?;
        require(non_negative(self.probe_price), "probe_price")?;
        require(non_negative(self.waste_price), "waste_price")?;
        require(non_negative(self.cross_zone_price), "cross_zone_price")?;
        require(self.preference_slack.is_finite() && self.preference_slack >= 1.0, "preference_slack")
    }
}

/// A setting that is out of range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    key: &'static str,
}

impl SettingsError {
    /// Returns the setting's name in the platform's settings.
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

/// A server's state in the list of servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Availability {
    /// The server accepts requests.
    Ready,
    /// The server finishes the requests it has; no new ones may be sent to it.
    Draining,
    /// The server has been removed, or was never listed.
    #[default]
    Gone,
}

/// One server of a list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerEntry {
    /// The server.
    pub server: ServerId,
    /// Whether the server accepts requests.
    pub availability: Availability,
    /// Time at which the server last started; `None` means long ago.
    pub started_at: Option<f64>,
    /// The server's cell.
    pub cell: usize,
    /// The server's zone.
    pub zone: usize,
    /// The server's machine kind.
    pub kind: usize,
    /// The server's weight, see [`Weights`].
    pub weight: f64,
    /// Hash of the server's name. It is the same at every node, so that all nodes order the servers alike.
    pub name_hash: u64,
}

impl ServerEntry {
    /// Returns an entry for a server of the first zone, cell and kind that started long ago.
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

/// An update of the list of servers, or the failure to get one.
#[derive(Clone, Debug, PartialEq)]
pub enum ListUpdate {
    /// Only the servers that changed.
    Changes(Vec<ServerEntry>),
    /// The complete list: a server that is not in it is gone.
    Full(Vec<ServerEntry>),
    /// The complete list as last stored, possibly long ago.
    Cached(Vec<ServerEntry>),
    /// A call to discovery failed or the subscription broke; the previous list stays in use.
    Failed,
}

/// What a request is subject to from its arrival to its end, whatever settings replace those it came under.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestRules {
    /// The request's class.
    pub class: Class,
    /// See [`Settings::max_attempts`].
    pub max_attempts: usize,
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The request's id.
    pub id: RequestId,
    /// Index of the request's class in the present settings, under which its latency is learned; an index
    /// without a class if the settings have dropped it.
    pub class: usize,
    /// Index of the request's tenant in the present settings, as for the class.
    pub tenant: usize,
    /// The rules that the request arrived under. Without them, those of its class in the present settings
    /// apply from now on.
    pub rules: Option<RequestRules>,
    /// Time that the client will still wait for this try.
    pub budget_ms: f64,
    /// Work that the request is expected to need, in time on a standard core.
    pub cost_ms: Option<f64>,
    /// Whether the client repeats an earlier try of its own.
    pub client_retry: bool,
    /// The server that should get the request while its count is not too high; see
    /// [`Settings::preference_slack`].
    pub preferred_server: Option<ServerId>,
}

impl Request {
    /// Returns a request of the first tenant that is not a client's retry.
    #[must_use]
    pub fn new(id: RequestId, class: usize, budget_ms: f64) -> Self {
        Self {
            id,
            class,
            tenant: 0,
            rules: None,
            budget_ms,
            cost_ms: None,
            client_retry: false,
            preferred_server: None,
        }
    }
}

/// A server's report of its own load. A value that the server does not report is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight at the server.
    pub in_flight: Option<f64>,
    /// Requests queued at the server.
    pub queued: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The server served the request.
    Served,
    /// The server answered with an error; the request may have run.
    Error,
    /// The server was full and refused the request without running it.
    Full,
    /// No answer arrived in time; the request may have run.
    TimedOut,
    /// No connection could be made; the request never ran.
    Unreachable,
    /// The connection broke; the request may have run.
    Reset,
    /// The attempt was cancelled; the request may have run.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
}

impl Ending {
    /// Returns whether the request may have taken effect.
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
    /// Time since the attempt was sent.
    pub elapsed_ms: f64,
    /// How the attempt ended.
    pub ending: Ending,
    /// Whether the request is finished, by this outcome or before it.
    pub complete: bool,
    /// The server's load report, if the response carried one.
    pub report: Option<LoadReport>,
}

/// Running means of the latency and of the number of requests in flight meanwhile.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LatencyEstimate {
    /// Mean latency in milliseconds.
    #[serde(rename = "latency")]
    pub latency_ms: f64,
    /// Mean number of requests at the server.
    pub depth: f64,
    /// Number of outcomes behind the means; it is bounded, and may be decayed by age.
    #[serde(rename = "seen")]
    pub samples: f64,
    /// Time of the last outcome.
    #[serde(rename = "at")]
    pub updated_at: f64,
}

/// What a balancer has learned, exported for a balancer that replaces it with the same settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedState {
    /// State of each server.
    pub servers: Vec<LearnedServerState>,
    /// Latency over all answers.
    #[serde(rename = "all")]
    pub overall: LatencyEstimate,
    /// Latency of each class.
    pub classes: Vec<LatencyEstimate>,
    /// Requests that each tenant has left of its quota, and the time at which this was computed.
    pub quotas: Vec<(f64, f64)>,
    /// Fraction of the attempts that are served.
    #[serde(rename = "served")]
    pub served_fraction: f64,
}

/// What a balancer has learned of one server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedServerState {
    /// The server, by its id at the balancer that imports the state.
    pub server: ServerId,
    /// The server's HSQ count.
    pub count: Option<f64>,
    /// Latency of the server's answers.
    #[serde(rename = "pace")]
    pub latency: LatencyEstimate,
    /// Consecutive failures of the server.
    #[serde(rename = "strikes")]
    pub consecutive_failures: u32,
    /// Time until which the server is ejected, if it is ejected or on trial after an ejection.
    #[serde(rename = "out_until")]
    pub ejected_until: Option<f64>,
}

/// Settings that replace the present ones.
#[derive(Clone, Debug, PartialEq)]
pub struct NewSettings {
    /// The complete new settings. If any of them is invalid, nothing changes.
    pub settings: Settings,
    /// For each new class, the index of the same class before the reload, if there was one: what was learned
    /// of the class is kept.
    pub classes: Vec<Option<usize>>,
    /// For each new tenant, the index of the same tenant before the reload, if there was one: what the tenant
    /// has used of its quota is kept.
    pub tenants: Vec<Option<usize>>,
}

/// The index of a class or tenant that the settings do not have.
pub const NO_INDEX: usize = usize::MAX;

impl NewSettings {
    /// Returns the index that the new settings give a class of the settings before; [`NO_INDEX`] if they have
    /// dropped it.
    #[must_use]
    pub fn class_index(&self, old: usize) -> usize {
        index_after(&self.classes, old)
    }

    /// Returns the index that the new settings give a tenant of the settings before, as for a class.
    #[must_use]
    pub fn tenant_index(&self, old: usize) -> usize {
        index_after(&self.tenants, old)
    }
}

/// Returns the position of `old` among the former indices of the new entries.
fn index_after(former: &[Option<usize>], old: usize) -> usize {
    former.iter().position(|index| *index == Some(old)).unwrap_or(NO_INDEX)
}

/// An input of the balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Discovery delivered an update of the list of servers, or failed to.
    Servers(ListUpdate),
    /// A client's request arrived; it must get exactly one final answer.
    Request(Request),
    /// Part of the request's body has been consumed and was not kept: the request cannot be sent again.
    BodyConsumed(RequestId),
    /// A streamed answer has begun to reach the client; no other attempt may answer from now on.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: usize,
    },
    /// State learned by the balancer that this one replaces. It must come before the first request.
    ImportLearnedState(Box<LearnedState>),
    /// New settings apply from now on; pending requests keep the rules they arrived under.
    Reload(Box<NewSettings>),
    /// An attempt ended.
    Outcome(Outcome),
    /// The client disconnected; it needs no answer any more.
    ClientGone(RequestId),
    /// A timer fired.
    Timer(u64),
    /// The node's process was paused until just now. Events for what servers did meanwhile come after this
    /// one.
    Resumed {
        /// Length of the pause.
        paused_ms: f64,
    },
    /// A probe was answered, or failed.
    Probed {
        /// The server.
        server: ServerId,
        /// How the probe ended.
        ending: Ending,
        /// The server's load report, if there was one.
        report: Option<LoadReport>,
    },
}

/// An output of the balancer, to be carried out by the node.
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
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: usize,
    },
    /// Final answer: the request is refused; a retry is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// Time after which the client should retry, if clients are given one.
        retry_after_ms: Option<f64>,
    },
    /// Final answer: the request failed and may have taken effect.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Subscribe to the changes of the server list.
    Subscribe,
    /// Start a timer; an [`Event::Timer`] reports that it fired.
    SetTimer {
        /// Identifies the timer in the event.
        timer: u64,
        /// Time from now.
        after_ms: f64,
    },
    /// A server was ejected because it failed; it gets no requests for a while.
    Ejected {
        /// The server.
        server: ServerId,
    },
    /// A server that was ejected has served a request again.
    Restored {
        /// The server.
        server: ServerId,
    },
    /// A message for the operators' log.
    Note(String),
}
