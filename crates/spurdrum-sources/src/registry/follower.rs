//! Pure state machine that follows a key-value registry: decides when to read or watch, which answers count,
//! and how far the local copy of the keys can be trusted.
//!
//! ```
//! use std::time::Duration;
//! use spurdrum_sources::registry::follower::{Action, Event, Follower, Header, Query, Settings};
//!
//! let mut follower = Follower::new(Settings::default(), 7).expect("valid settings");
//! let mut actions = Vec::new();
//! follower.handle(Duration::ZERO, Event::Tick, &mut actions);
//! let due = follower.next_wake().expect("a first call is due");
//! follower.handle(due, Event::Tick, &mut actions);
//! // The copy is still empty: a full read comes first, then a watch from the next revision on.
//! let Action::Call { call, query: Query::Range { .. }, .. } = actions[0] else { panic!() };
//! let header = Header { cluster: 1, revision: 41 };
//! actions.clear();
//! follower.handle(due, Event::Page { call, header, entries: Vec::new(), more: false }, &mut actions);
//! assert!(matches!(actions[1], Action::Call { query: Query::Watch { from: 42 }, .. }));
//! ```
//!
//! Two kinds of registry are supported. A registry with *watch streams* (etcd v3) assigns a revision to each
//! change, reads the full state as of one revision, and delivers all changes from a revision on over a watch.
//! A registry with *blocking queries* (Consul) answers with the full state once its index has passed the one
//! in the query. For both, the follower keeps a copy of the keys and emits the difference to that copy, never
//! a complete list from which the receiver would have to work out what is new.
//!
//! The copy is fresh as long as the registry keeps confirming it. An open watch is probed for its progress
//! periodically. If it does not answer in time, a second watch is opened at the next endpoint; the first one
//! is closed once the second has confirmed the copy, or when its silence timeout ends. Two open watches
//! deliver the same changes twice, which does no harm: changes that are not newer than the copy are skipped.
//! A member that is partitioned from its cluster goes on answering, always with the same revision. To detect
//! this, the follower regularly asks another endpoint for the cluster's current revision by a linearized read
//! (a *revision check*), and replaces a watch that does not catch up with it.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use crate::backoff_delay;
use crate::follower::Freshness;

/// Maximum number of open calls, not counting revision checks: one that is silent, and a second one opened
/// beside it.
pub const MAX_OPEN_CALLS: usize = 2;
/// A tick that comes later than this after its due time shows that this process was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(3);
/// Each unanswered call that times out doubles the silence timeout of the next one, at most this many times.
/// Without this, a registry that needs longer than the configured timeout would be abandoned at the same
/// moment each time, and no answer would ever arrive.
const MAX_TIMEOUT_DOUBLINGS: u32 = 2;
/// The page size is halved each time a page is too long to be received, down to one key.
const MIN_PAGE_SIZE: u32 = 1;
/// A blocking query may return later than its wait by this fraction of it: Consul adds up to 1/16 to spread
/// the load.
const BLOCKING_QUERY_JITTER: f64 = 1.0 / 16.0;
/// Cost of opening a watch, relative to a full read.
const WATCH_COST: f64 = 0.2;
/// The first calls of all nodes are spread over this time at most, however many nodes there are: a node that
/// starts alone has nothing to serve with until its first read.
const MAX_START_SPREAD: Duration = Duration::from_secs(1);
/// Calls after a failure are spread over this time at most. It is longer than [`MAX_START_SPREAD`] because
/// the nodes still have their copies.
const MAX_RETRY_SPREAD: Duration = Duration::from_secs(10);
/// Minimum time between the starts of two blocking queries: each answer carries the full state.
const MIN_BLOCKING_QUERY_INTERVAL: Duration = Duration::from_millis(20);
/// Number of consecutive full reads whose revision is compacted before the watch is open, after which the
/// follower pauses before it reads again.
const COMPACTED_READS_BEFORE_PAUSE: u32 = 3;

/// How a registry delivers changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interface {
    /// Full reads as of a revision, and watches from a revision on (etcd v3).
    WatchStreams,
    /// Answers with the full state, returned once an index has been passed (Consul).
    BlockingQueries,
}

/// Settings of a [`Follower`].
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How the registry delivers changes.
    pub interface: Interface,
    /// Number of the registry's endpoints.
    pub endpoints: usize,
    /// Number of nodes that follow the registry.
    pub nodes: usize,
    /// Index of this node among them, from 0.
    pub node_index: usize,
    /// Whether full reads may be answered by one member from its own state, which may be behind.
    pub allow_stale: bool,
    /// Number of keys to read per page.
    pub page_size: u32,
    /// Maximum number of keys to keep.
    pub max_keys: usize,
    /// Maximum length of a value; longer ones are reported as [`Value::TooLong`] without their bytes.
    pub max_value_bytes: usize,
    /// Maximum bytes of one fragmented change; a longer one is dropped, and the full state is read instead.
    pub max_change_bytes: usize,
    /// An open watch is probed for its progress once nothing has been received on it for this long.
    pub probe_interval: Duration,
    /// Maximum rate of the probes of all nodes together, per second; their revision checks have the same limit.
    pub probes_per_s: f64,
    /// A probe that stays unanswered for this long makes the watch overdue: a second watch is opened.
    pub overdue_after: Duration,
    /// A call on which nothing is received for this long is aborted.
    pub silence_timeout: Duration,
    /// Time between revision checks.
    pub revision_check_interval: Duration,
    /// A watch that has not caught up with a checked revision after this time is behind.
    pub max_lag: Duration,
    /// The copy is stale when it has not been confirmed for this long after the first sign of a fault.
    pub stale_after: Duration,
    /// Delay after the first failed round over the endpoints, approximately.
    pub min_retry_delay: Duration,
    /// Maximum delay between failed rounds.
    pub max_retry_delay: Duration,
    /// At the start and after a failure, the full reads of all nodes are spread over this time multiplied by
    /// the number of nodes.
    pub spread_per_node: Duration,
    /// The wait of a blocking query while the copy is doubtful.
    pub min_wait: Duration,
    /// The wait of a blocking query after a row of valid answers.
    pub max_wait: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        let ms = Duration::from_millis;
        Self {
            interface: Interface::WatchStreams,
            endpoints: 1,
            nodes: 1,
            node_index: 0,
            allow_stale: false,
            page_size: 1000,
            max_keys: 20_000,
            max_value_bytes: 64 << 10,
            max_change_bytes: 16 << 20,
            probe_interval: ms(100),
            probes_per_s: 5_000.0,
            overdue_after: ms(100),
            silence_timeout: ms(1000),
            revision_check_interval: ms(2000),
            max_lag: ms(250),
            stale_after: ms(3000),
            min_retry_delay: ms(50),
            max_retry_delay: ms(2000),
            spread_per_node: ms(1),
            min_wait: ms(500),
            max_wait: ms(5000),
        }
    }
}

impl Settings {
    /// Checks that each setting is in range and that they are consistent.
    ///
    /// # Errors
    ///
    /// Returns the key of the first invalid setting and the reason.
    pub fn validate(&self) -> Result<(), (&'static str, &'static str)> {
        let require = |in_range: bool, key, reason| if in_range { Ok(()) } else { Err((key, reason)) };
        require(self.endpoints > 0, "endpoints", "must not be empty")?;
        require(self.nodes > 0 && self.node_index < self.nodes, "nodes", "must be above `me`")?;
        require(self.page_size > 0 && self.page_size <= 100_000, "page", "must be from 1 to 100000")?;
        require(self.max_keys > 0 && self.max_keys <= 1_000_000, "keys", "must be from 1 to 1000000")?;
        require(
            self.max_value_bytes > 0 && self.max_value_bytes <= 8 << 20,
            "value_bytes",
            "must be from 1 byte to 8 MiB",
        )?;
        require(
            self.max_change_bytes >= self.max_value_bytes,
            "change_bytes",
            "must not be below `value_bytes`",
        )?;
        require(
            self.probes_per_s >= 1.0 && self.probes_per_s <= 1e9,
            "probes_per_s",
            "must be from 1 to 1e9",
        )?;
        let times = [
            (self.probe_interval, "probe_ms"),
            (self.overdue_after, "patience_ms"),
            (self.silence_timeout, "give_up_ms"),
            (self.revision_check_interval, "confirm_ms"),
            (self.max_lag, "lag_ms"),
            (self.stale_after, "blind_after_ms"),
            (self.min_retry_delay, "retry_least_ms"),
            (self.max_retry_delay, "retry_most_ms"),
            (self.min_wait, "wait_least_ms"),
            (self.max_wait, "wait_most_ms"),
        ];
        for (duration, key) in times {
            let in_range = duration >= Duration::from_millis(1) && duration <= Duration::from_secs(60);
            require(in_range, key, "must be from 1 ms to 1 minute")?;
        }
        require(self.spread_per_node <= Duration::from_secs(1), "spread_ms", "must be at most 1 second")?;
        require(self.overdue_after <= self.silence_timeout, "patience_ms", "must not be above `give_up_ms`")?;
        require(
            self.min_retry_delay <= self.max_retry_delay,
            "retry_least_ms",
            "must not be above `retry_most_ms`",
        )?;
        require(self.min_wait <= self.max_wait, "wait_least_ms", "must not be above `wait_most_ms`")
    }

    /// Returns the time without a message after which a watch is probed, within the probe rate of all nodes
    /// together.
    pub fn probe_interval(&self) -> Duration {
        self.probe_interval.max(self.min_interval_per_node())
    }

    /// Returns the minimum time between two probes of this node, if all nodes share the probe rate evenly.
    fn min_interval_per_node(&self) -> Duration {
        Duration::from_secs_f64((self.nodes as f64 / self.probes_per_s).min(60.0))
    }

    /// Returns the time within which a silent watch is detected and a second one opened, if round trips are
    /// short.
    pub fn silence_detected_within(&self) -> Duration {
        self.probe_interval() + self.overdue_after
    }
}

/// Identifies a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// What a call asks an endpoint for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Query {
    /// A page of the full state.
    Range {
        /// Read the keys after this one; `None` starts at the first.
        after: Option<Vec<u8>>,
        /// Read as of this revision; `None` is the current one.
        revision: Option<u64>,
        /// Maximum number of keys.
        limit: u32,
        /// Whether one member may answer from its own state.
        allow_stale: bool,
    },
    /// Changes from a revision on, until the call is aborted.
    Watch {
        /// First revision to deliver.
        from: u64,
    },
    /// The full state, once the index has passed the given one or the wait is over; index 0 returns at once.
    Blocking {
        /// Index of the copy.
        index: u64,
        /// Maximum time that the registry may hold the query.
        wait: Duration,
        /// Whether one member may answer from its own state.
        allow_stale: bool,
    },
    /// The cluster's current revision: a linearized read that returns no keys.
    RevisionCheck,
}

/// The cluster that answered, and the revision of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// Id of the cluster; 0 if the registry reports none.
    pub cluster: u64,
    /// Revision or index of the answer.
    pub revision: u64,
}

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: Vec<u8>,
    /// The value.
    pub value: Value,
}

/// A value, with its bytes unless it is too long to be kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Value {
    /// The complete value.
    Whole(Vec<u8>),
    /// The value has this many bytes, more than the limit.
    TooLong(usize),
}

/// One change of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Edit {
    /// The key.
    pub key: Vec<u8>,
    /// The new value; `None` if the key was deleted.
    pub value: Option<Vec<u8>>,
    /// Revision of this change.
    pub revision: u64,
}

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection could be established.
    Unreachable,
    /// The connection was lost, or the answer was incomplete or invalid.
    ConnectionLost,
    /// The endpoint reports that it cannot answer, for example without a leader or under overload.
    Unavailable,
    /// The credentials are invalid or have expired.
    Denied,
    /// The answer exceeds the maximum message length.
    TooLong,
    /// The requested revision has been compacted.
    Compacted,
}

/// Input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed. The first tick starts the follower.
    Tick,
    /// A page of the full state, or the answer to a [`Query::RevisionCheck`].
    Page {
        /// The call.
        call: CallId,
        /// Cluster and revision of the page.
        header: Header,
        /// Keys in order, each with its value.
        entries: Vec<(Vec<u8>, Vec<u8>)>,
        /// Whether more keys follow.
        more: bool,
    },
    /// A watch is open.
    Opened {
        /// The call.
        call: CallId,
        /// The endpoint's current revision.
        header: Header,
    },
    /// A watch has delivered changes.
    Changed {
        /// The call.
        call: CallId,
        /// The endpoint's current revision.
        header: Header,
        /// The changes, in order.
        edits: Vec<Edit>,
        /// Whether more changes of the same revision follow in the next message.
        fragment: bool,
    },
    /// A watch has delivered everything up to a revision.
    Progress {
        /// The call.
        call: CallId,
        /// That revision.
        header: Header,
    },
    /// The endpoint has closed a watch.
    Cancelled {
        /// The call.
        call: CallId,
        /// Whether the start revision has been compacted.
        compacted: bool,
    },
    /// A blocking query was answered.
    Snapshot {
        /// The call.
        call: CallId,
        /// Index of the answer.
        header: Header,
        /// All keys with their values.
        entries: Vec<(Vec<u8>, Vec<u8>)>,
        /// How long ago the answering member last heard from its leader; `None` if it knows no leader.
        leader_contact: Option<Duration>,
    },
    /// A call has failed.
    Failed {
        /// The call.
        call: CallId,
        /// The reason.
        failure: Failure,
    },
}

/// A change of the copy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Revision of the registry's state that the copy now has.
    pub revision: u64,
    /// Whether the change comes from a full read, not from a watch.
    pub from_full_read: bool,
    /// Keys that are new or have a new value.
    pub put: Vec<Entry>,
    /// Keys that were deleted.
    pub deleted: Vec<Vec<u8>>,
}

/// Output of the state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a call.
    Call {
        /// Id of the new call.
        call: CallId,
        /// Index of the endpoint to call.
        endpoint: usize,
        /// What to ask for.
        query: Query,
    },
    /// Request the progress of an open watch.
    Probe(CallId),
    /// Abort a call; its events are no longer accepted.
    Abort(CallId),
    /// The copy has changed.
    Apply(Change),
    /// The freshness of the copy has changed.
    FreshnessChanged {
        /// Freshness before.
        from: Freshness,
        /// Freshness now.
        to: Freshness,
        /// The reason.
        cause: Cause,
    },
    /// Something that operators should know.
    Note(Note),
}

/// Why the freshness of the copy changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Nothing has been read yet.
    NotYetRead,
    /// A watch has not answered a probe, or a query is overdue.
    Overdue,
    /// A call failed.
    Failed(Failure),
    /// The endpoint closed the watch.
    Cancelled,
    /// The endpoint's state is behind the cluster's.
    Behind,
    /// No endpoint answers revision checks.
    RevisionCheckFailed,
    /// Another cluster answers.
    Replaced,
    /// The cluster's revision is lower than the copy's.
    RevisionWentBack,
    /// There are more keys than the limit.
    TooManyKeys,
    /// This process was paused.
    ProcessPaused,
    /// The copy has not been confirmed for too long.
    Unconfirmed,
    /// The copy has been confirmed.
    Confirmed,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotYetRead => "nothing has been read yet",
            Self::Overdue => "a call is overdue",
            Self::Failed(Failure::Unreachable) => "an endpoint cannot be reached",
            Self::Failed(Failure::ConnectionLost) => "a connection was lost or an answer was invalid",
            Self::Failed(Failure::Unavailable) => "an endpoint is unavailable",
            Self::Failed(Failure::Denied) => "credentials are refused",
            Self::Failed(Failure::TooLong) => "an answer is too long",
            Self::Failed(Failure::Compacted) => "the requested revision has been compacted",
            Self::Cancelled => "an endpoint closed the watch",
            Self::Behind => "an endpoint is behind the cluster",
            Self::RevisionCheckFailed => "no endpoint answers revision checks",
            Self::Replaced => "another cluster answers",
            Self::RevisionWentBack => "the revision went back",
            Self::TooManyKeys => "there are more keys than the limit",
            Self::ProcessPaused => "this process was paused",
            Self::Unconfirmed => "it has not been confirmed",
            Self::Confirmed => "it has been confirmed",
        })
    }
}

/// An event that operators should know of, besides changes of freshness.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Note {
    /// The revision of a read or watch has been compacted; the full state is read again.
    Compacted,
    /// Another cluster answers.
    Replaced {
        /// Id of the cluster before.
        from: u64,
        /// Id of the cluster now.
        to: u64,
    },
    /// The cluster's revision went back, for example after a restore from a backup.
    RevisionWentBack {
        /// Revision of the copy.
        from: u64,
        /// Revision that is accepted now.
        to: u64,
    },
    /// There are more keys than the limit.
    TooManyKeys,
}

impl fmt::Display for Note {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Compacted => {
                f.write_str("the requested revision has been compacted; reading the full state again")
            }
            Self::Replaced { from, to } => write!(f, "cluster {to:x} answers instead of {from:x}"),
            Self::RevisionWentBack { from, to } => {
                write!(f, "its revision went back from {from} to {to}")
            }
            Self::TooManyKeys => f.write_str("it has more keys than the limit"),
        }
    }
}

/// Statistics since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Pages, watches, blocking queries and revision checks (shown as confirmations) started.
    pub calls: [u64; 4],
    /// Probes of watches.
    pub probes: u64,
    /// Changes of keys applied.
    pub edits: u64,
    /// Changes received that the copy already had.
    pub already_applied: u64,
    /// Full reads applied to the copy.
    pub full_reads: u64,
    /// Calls that failed because their revision was compacted.
    pub compactions: u64,
    /// Calls aborted because nothing was received on them.
    pub timed_out: u64,
    /// Calls that failed in other ways.
    pub failed: u64,
    /// Times an endpoint was found behind.
    pub behind: u64,
    /// Keys dropped because of the limit.
    pub over_limit: u64,
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [pages, watches, queries, revision_checks] = self.calls;
        write!(
            f,
            "pages {pages}, watches {watches}, queries {queries}, confirmations {revision_checks}, probes {}: edits {}, \
             known {}, whole reads {}, compactions {}, silent {}, failed {}, behind {}, without room {}",
            self.probes,
            self.edits,
            self.already_applied,
            self.full_reads,
            self.compactions,
            self.timed_out,
            self.failed,
            self.behind,
            self.over_limit
        )
    }
}

struct Call {
    id: CallId,
    endpoint: usize,
    query: Query,
    /// The call is aborted after this long without a message, while it has not been answered.
    silence_timeout: Duration,
    /// The copy's revision when the call was started.
    revision_at_start: Option<u64>,
    open: bool,
    /// When the last message of the call was received, or when the call was started.
    last_heard_at: Duration,
    /// When the unanswered probe was sent, if there is one.
    probed_at: Option<Duration>,
    /// The call is silent or behind, so a second one is to be started.
    suspect: bool,
    /// The revision that the watch must catch up with, and the deadline.
    must_reach: Option<(u64, Duration)>,
    /// Revision up to which the watch has delivered everything.
    delivered_to: u64,
    /// The changes received so far of a fragmented change, and their bytes.
    fragments: (Vec<Edit>, usize),
}

impl Call {
    fn is_watch(&self) -> bool {
        matches!(self.query, Query::Watch { .. })
    }

    /// Requests the progress of the watch.
    fn probe(&mut self, now: Duration, counts: &mut Counts, actions: &mut Vec<Action>) {
        self.probed_at = Some(now);
        counts.probes += 1;
        actions.push(Action::Probe(self.id));
    }

    /// Records that the watch has delivered everything up to a revision.
    fn note_delivered(&mut self, revision: u64) {
        self.delivered_to = self.delivered_to.max(revision);
        let delivered_to = self.delivered_to;
        self.must_reach.take_if(|(to, _)| delivered_to >= *to);
    }

    /// Returns when the call is overdue, given the time that an answer may take.
    fn overdue_at(&self, overdue_after: Duration) -> Duration {
        match (&self.query, self.probed_at) {
            (Query::Blocking { index: 1.., wait, .. }, _) => {
                self.last_heard_at + wait.mul_f64(1.0 + BLOCKING_QUERY_JITTER) + overdue_after
            }
            // Any message since the probe shows that the watch is alive.
            (Query::Watch { .. }, Some(probed_at)) if self.open => {
                probed_at.max(self.last_heard_at) + overdue_after
            }
            (Query::Watch { .. }, None) if self.open => Duration::MAX,
            (Query::Watch { .. }, _) => self.last_heard_at + 2 * overdue_after,
            _ => self.last_heard_at + self.silence_timeout,
        }
    }

    /// Returns when the call is aborted.
    fn timeout_at(&self, settings: &Settings) -> Duration {
        match (&self.query, self.probed_at) {
            (Query::Blocking { index: 1.., .. }, _) => {
                self.overdue_at(settings.overdue_after) + settings.silence_timeout
            }
            (Query::Watch { .. }, Some(probed_at)) if self.open => {
                probed_at.max(self.last_heard_at) + settings.silence_timeout
            }
            (Query::Watch { .. }, None) if self.open => Duration::MAX,
            _ => self.last_heard_at + self.silence_timeout,
        }
    }
}

/// A full read of which some pages have been received.
struct PartialRead {
    /// Header of the first page; later pages are read as of its revision.
    header: Header,
    /// The keys received so far.
    entries: BTreeMap<Vec<u8>, Value>,
}

/// Follows one registry and keeps a copy of its keys.
pub struct Follower {
    settings: Settings,
    random: fastrand::Rng,
    started: bool,
    /// The copy, equal to the registry's state as of `revision`.
    copy: BTreeMap<Vec<u8>, Value>,
    revision: Option<u64>,
    cluster: u64,
    /// Whether the full state has to be read again.
    needs_full_read: bool,
    partial_read: Option<PartialRead>,
    page_size: u32,
    /// Whether keys were dropped because of the limit; when a key is deleted, the full state is read again.
    keys_dropped: bool,
    calls: Vec<Call>,
    last_call_id: u64,
    next_call_at: Option<Duration>,
    /// Endpoint of the next call.
    next_endpoint: usize,
    /// How many times the silence timeout has been doubled.
    timeout_doublings: u32,
    /// Consecutive failures.
    failures: u32,
    compacted_reads: u32,
    /// Consecutive endpoints whose revision is lower than the copy's.
    endpoints_behind: usize,
    /// Mean round-trip time of probes and its deviation, in seconds.
    rtt: Option<(f64, f64)>,
    /// The next revision check: when, the endpoint last asked, and the number of consecutive failures.
    revision_check: (Duration, usize, usize),
    /// Consecutive valid answers, which set the wait of the next blocking query.
    good_answers: u32,
    freshness: Freshness,
    cause: Cause,
    doubtful_since: Option<Duration>,
    confirmed_at: Option<Duration>,
    counts: Counts,
}

impl Follower {
    /// Returns a follower with an empty copy. `seed` drives the jitter of its delays.
    ///
    /// # Errors
    ///
    /// Returns the key of the first invalid setting and the reason.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, (&'static str, &'static str)> {
        settings.validate()?;
        Ok(Self {
            random: fastrand::Rng::with_seed(seed),
            started: false,
            copy: BTreeMap::new(),
            revision: None,
            cluster: 0,
            needs_full_read: true,
            partial_read: None,
            page_size: settings.page_size,
            keys_dropped: false,
            calls: Vec::new(),
            last_call_id: 0,
            next_call_at: None,
            // Nodes start at different endpoints.
            next_endpoint: settings.node_index % settings.endpoints,
            timeout_doublings: 0,
            failures: 0,
            compacted_reads: 0,
            endpoints_behind: 0,
            rtt: None,
            revision_check: (Duration::ZERO, settings.node_index % settings.endpoints, 0),
            good_answers: 0,
            freshness: Freshness::Doubtful,
            cause: Cause::NotYetRead,
            doubtful_since: None,
            confirmed_at: None,
            counts: Counts::default(),
            settings,
        })
    }

    /// Handles an event and appends the resulting actions. `now` counts from an arbitrary origin and must not
    /// decrease.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        if !self.started {
            self.started = true;
            self.doubtful_since = Some(now);
            // Prevents nodes that start together from reading together.
            let spread = self.spread_delay(1.0, MAX_START_SPREAD);
            self.next_call_at = Some(now + spread);
            self.revision_check.0 = now + self.revision_check_delay();
        }
        self.allow_for_process_pause(now);
        match event {
            Event::Tick => {}
            Event::Page { call, header, entries, more } => {
                self.on_page(now, call, header, entries, more, actions);
            }
            Event::Opened { call, header } => self.on_opened(now, call, header, actions),
            Event::Changed { call, header, edits, fragment } => {
                self.on_changed(now, call, header, edits, fragment, actions);
            }
            Event::Progress { call, header } => self.on_progress(now, call, header, actions),
            Event::Cancelled { call, compacted } => self.on_cancelled(now, call, compacted, actions),
            Event::Snapshot { call, header, entries, leader_contact } => {
                self.on_snapshot(now, call, header, entries, leader_contact, actions);
            }
            Event::Failed { call, failure } => self.on_failed(now, call, failure, actions),
        }
        self.apply_timers(now, actions);
    }

    /// Returns when the next [`Event::Tick`] is due at the latest; `None` before the first event.
    pub fn next_wake(&self) -> Option<Duration> {
        let settings = &self.settings;
        let call_wake = |call: &Call| {
            let overdue_at = call.overdue_at(self.overdue_after());
            let deadline = if call.suspect { call.timeout_at(settings) } else { overdue_at };
            let probe = (call.open && call.is_watch() && call.probed_at.is_none())
                .then(|| call.last_heard_at + settings.probe_interval());
            let catch_up_deadline = call.must_reach.filter(|_| !call.suspect).map(|(_, by)| by);
            [Some(deadline), probe, catch_up_deadline].into_iter().flatten().min().unwrap_or(deadline)
        };
        let stale_at = self.doubtful_since.filter(|_| self.freshness != Freshness::Stale);
        let stale_at = stale_at.map(|since| since + settings.stale_after);
        let next_revision_check =
            (self.started && settings.interface == Interface::WatchStreams).then_some(self.revision_check.0);
        self.calls
            .iter()
            .map(call_wake)
            .chain(self.next_call_at)
            .chain(stale_at)
            .chain(next_revision_check)
            .min()
    }

    /// Returns how far the copy can be trusted.
    pub fn freshness(&self) -> Freshness {
        self.freshness
    }

    /// Returns the time since the copy was last confirmed; `None` if it never was.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Returns the copy's revision; `None` before the first full read.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Returns the copy of the registry's keys.
    pub fn copy(&self) -> &BTreeMap<Vec<u8>, Value> {
        &self.copy
    }

    /// Returns the statistics.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    // ---- Delays

    /// Returns this node's delay when all nodes spread an operation of the given cost (1.0 is a full read)
    /// over a common interval of at most `max`.
    fn spread_delay(&mut self, cost: f64, max: Duration) -> Duration {
        let nodes = self.settings.nodes as f64;
        let interval = self.settings.spread_per_node.mul_f64(nodes * cost).min(max);
        interval.mul_f64((self.settings.node_index as f64 + self.random.f64()) / nodes)
    }

    fn revision_check_delay(&mut self) -> Duration {
        self.settings
            .revision_check_interval
            .max(self.settings.min_interval_per_node())
            .mul_f64(0.75 + 0.5 * self.random.f64())
    }

    /// Returns the delay before the next call after a failure.
    fn retry_delay(&mut self) -> Duration {
        let spread = self.spread_delay(if self.needs_full_read { 1.0 } else { WATCH_COST }, MAX_RETRY_SPREAD);
        // The first round over all endpoints is not delayed, apart from the spread.
        let rounds = self.failures as usize / self.settings.endpoints;
        if rounds == 0 {
            return spread;
        }
        let Settings { min_retry_delay, max_retry_delay, .. } = self.settings;
        backoff_delay(&mut self.random, min_retry_delay, max_retry_delay, rounds as u32 - 1).max(spread)
    }

    /// Returns how long an answer may take before it is overdue: the configured time, or longer if round
    /// trips are longer.
    fn overdue_after(&self) -> Duration {
        let Some((mean, deviation)) = self.rtt else { return self.settings.overdue_after };
        let expected = Duration::from_secs_f64((mean + 4.0 * deviation).min(60.0));
        expected.min(self.settings.silence_timeout / 2).max(self.settings.overdue_after)
    }

    /// Returns how long an unanswered call may be silent.
    fn silence_timeout(&self) -> Duration {
        self.settings.silence_timeout * (1 << self.timeout_doublings)
    }

    /// Sets the silence timeout of the next calls to at least twice the time of the last answer, within the
    /// limit.
    fn adapt_silence_timeout(&mut self, elapsed: Duration) {
        let sufficient =
            |timeout_doublings: &u32| self.settings.silence_timeout * (1 << timeout_doublings) >= 2 * elapsed;
        self.timeout_doublings = (0..MAX_TIMEOUT_DOUBLINGS).find(sufficient).unwrap_or(MAX_TIMEOUT_DOUBLINGS);
    }

    /// Updates the mean and deviation of the round-trip time as in RFC 6298.
    fn update_rtt(&mut self, elapsed: Duration) {
        let elapsed = elapsed.as_secs_f64();
        let (mean, deviation) = self.rtt.get_or_insert((elapsed, elapsed / 2.0));
        *deviation += ((elapsed - *mean).abs() - *deviation) / 4.0;
        *mean += (elapsed - *mean) / 8.0;
    }

    /// Moves on from an endpoint that failed, unless another one has been chosen already.
    fn advance_endpoint(&mut self, from: usize) {
        if self.next_endpoint == from {
            self.next_endpoint = (from + 1) % self.settings.endpoints;
        }
    }

    // ---- Calls

    fn start_call(&mut self, now: Duration, endpoint: usize, query: Query, actions: &mut Vec<Action>) {
        let kind = match query {
            Query::Range { .. } => 0,
            Query::Watch { .. } => 1,
            Query::Blocking { .. } => 2,
            Query::RevisionCheck => 3,
        };
        self.counts.calls[kind] += 1;
        self.last_call_id += 1;
        let id = CallId(self.last_call_id);
        self.calls.push(Call {
            id,
            endpoint,
            query: query.clone(),
            silence_timeout: self.silence_timeout(),
            revision_at_start: self.revision,
            open: false,
            last_heard_at: now,
            probed_at: None,
            suspect: false,
            must_reach: None,
            delivered_to: 0,
            fragments: (Vec::new(), 0),
        });
        actions.push(Action::Call { call: id, endpoint, query });
    }

    /// Returns the calls that read or watch the keys, without revision checks.
    fn follow_calls(&self) -> impl Iterator<Item = &Call> {
        self.calls.iter().filter(|call| call.query != Query::RevisionCheck)
    }

    fn has_healthy_call(&self) -> bool {
        self.follow_calls().any(|call| !call.suspect)
    }

    fn schedule_call_by(&mut self, at: Duration) {
        self.next_call_at = Some(self.next_call_at.map_or(at, |due| due.min(at)));
    }

    /// Starts the next read, watch or blocking query.
    fn start_next_call(&mut self, now: Duration, actions: &mut Vec<Action>) {
        while self.follow_calls().count() >= MAX_OPEN_CALLS {
            // Aborts a call that has been answered and is silent now. A watch that was never opened may just
            // be on a slow network path.
            let replaceable =
                self.calls.iter().position(|call| call.suspect && (call.open || !call.is_watch()));
            let Some(replaceable) = replaceable else { return };
            actions.push(Action::Abort(self.calls.remove(replaceable).id));
        }
        let endpoint = self.next_endpoint;
        // Once all endpoints have answered with less than the copy has, only a linearized read is accepted.
        let allow_stale = self.settings.allow_stale && self.endpoints_behind < self.settings.endpoints;
        let query = match (self.settings.interface, self.revision) {
            (Interface::BlockingQueries, revision) => {
                let at_once =
                    self.follow_calls().next().is_some() || self.needs_full_read || revision.is_none();
                let index = if at_once { 0 } else { revision.unwrap_or(0) };
                Query::Blocking { index, wait: self.blocking_wait(), allow_stale }
            }
            (Interface::WatchStreams, Some(revision)) if !self.needs_full_read => {
                Query::Watch { from: revision + 1 }
            }
            (Interface::WatchStreams, _) => {
                self.partial_read = None;
                self.abort_calls(|call| matches!(call.query, Query::Range { .. }), actions);
                Query::Range { after: None, revision: None, limit: self.page_size, allow_stale }
            }
        };
        self.start_call(now, endpoint, query, actions);
    }

    fn abort_calls(&mut self, selected: impl Fn(&Call) -> bool, actions: &mut Vec<Action>) {
        self.calls.retain(|call| {
            let abort = selected(call);
            if abort {
                actions.push(Action::Abort(call.id));
            }
            !abort
        });
    }

    /// Returns the wait of a blocking query. A silent query is not detected before its wait is over, so the
    /// wait grows only while answers are valid.
    fn blocking_wait(&self) -> Duration {
        let grown = self.settings.min_wait.saturating_mul(1 << self.good_answers.min(16));
        grown.min(self.settings.max_wait)
    }

    /// Aborts silent calls, sends probes, starts calls that are due and updates the freshness.
    fn apply_timers(&mut self, now: Duration, actions: &mut Vec<Action>) {
        for index in (0..self.calls.len()).rev() {
            let overdue_after = self.overdue_after();
            let settings = &self.settings;
            let call = &mut self.calls[index];
            if now >= call.timeout_at(settings) {
                let call = self.calls.remove(index);
                actions.push(Action::Abort(call.id));
                self.counts.timed_out += 1;
                if !call.open && call.query != Query::RevisionCheck {
                    self.timeout_doublings = (self.timeout_doublings + 1).min(MAX_TIMEOUT_DOUBLINGS);
                }
                self.on_call_lost(now, &call, Cause::Overdue);
                continue;
            }
            let overdue = now >= call.overdue_at(overdue_after);
            let behind = call.must_reach.is_some_and(|(target, by)| call.delivered_to < target && now >= by);
            if !call.suspect && (overdue || behind) {
                call.suspect = true;
                let endpoint = call.endpoint;
                self.good_answers = 0;
                if behind && !overdue {
                    self.counts.behind += 1;
                    self.endpoints_behind += 1;
                    // No endpoint catches up with the copy: the cluster may have been restored from a backup.
                    self.needs_full_read |= self.endpoints_behind >= self.settings.endpoints;
                }
                self.advance_endpoint(endpoint);
                self.mark_doubtful(now, if overdue { Cause::Overdue } else { Cause::Behind });
                continue;
            }
            let probe_at = call.last_heard_at + settings.probe_interval();
            if call.open && call.is_watch() && call.probed_at.is_none() && now >= probe_at {
                call.probe(now, &mut self.counts, actions);
            }
        }
        if !self.has_healthy_call() && self.next_call_at.is_none() {
            self.next_call_at = Some(now);
        }
        if self.next_call_at.is_some_and(|due| due <= now) {
            self.next_call_at = None;
            self.start_next_call(now, actions);
        }
        let has_watches = self.settings.interface == Interface::WatchStreams;
        if has_watches && now >= self.revision_check.0 {
            self.revision_check.0 = now + self.revision_check_delay();
            let in_progress = self.calls.iter().any(|call| call.query == Query::RevisionCheck);
            if self.revision.is_some() && !in_progress {
                // Ask another endpoint than the watch's, if there is one: a partitioned member cannot tell
                // that it is partitioned.
                self.revision_check.1 = (self.revision_check.1 + 1) % self.settings.endpoints;
                let watched_endpoint = self.follow_calls().next().map(|call| call.endpoint);
                if Some(self.revision_check.1) == watched_endpoint {
                    self.revision_check.1 = (self.revision_check.1 + 1) % self.settings.endpoints;
                }
                self.start_call(now, self.revision_check.1, Query::RevisionCheck, actions);
            }
        }
        let is_stale = self.doubtful_since.is_some_and(|since| now >= since + self.settings.stale_after);
        match self.freshness {
            Freshness::Fresh | Freshness::Doubtful if is_stale => {
                self.set_freshness(Freshness::Stale, Cause::Unconfirmed, actions)
            }
            Freshness::Fresh if self.doubtful_since.is_some() => {
                self.set_freshness(Freshness::Doubtful, self.cause, actions)
            }
            Freshness::Doubtful | Freshness::Stale if self.doubtful_since.is_none() => {
                self.set_freshness(Freshness::Fresh, Cause::Confirmed, actions);
            }
            _ => {}
        }
    }

    fn set_freshness(&mut self, to: Freshness, cause: Cause, actions: &mut Vec<Action>) {
        let from = std::mem::replace(&mut self.freshness, to);
        actions.push(Action::FreshnessChanged { from, to, cause });
    }

    /// Records the first sign of a fault since the copy was last confirmed.
    fn mark_doubtful(&mut self, now: Duration, cause: Cause) {
        if self.doubtful_since.is_none() {
            self.doubtful_since = Some(now);
            self.cause = cause;
        }
    }

    /// Records that the copy equals the registry's state, as far as one endpoint can tell.
    fn confirm_copy(&mut self, now: Duration, by: CallId, actions: &mut Vec<Action>) {
        (self.failures, self.compacted_reads, self.endpoints_behind) = (0, 0, 0);
        // Without this, a partitioned member that goes on delivering its own state would keep the copy fresh.
        if !self.revision_checks_failing() {
            self.confirmed_at = Some(now);
            self.doubtful_since = None;
        }
        // Calls that are silent, behind or redundant are no longer needed.
        self.abort_calls(|call| call.id != by && call.query != Query::RevisionCheck, actions);
        if let Some(call) = self.call_mut(by) {
            call.suspect = false;
            self.next_endpoint = call.endpoint;
        }
        self.next_call_at = None;
    }

    /// Returns whether revision checks failed at each endpoint, and at least twice.
    fn revision_checks_failing(&self) -> bool {
        self.revision_check.2 >= self.settings.endpoints.max(2)
    }

    fn call_mut(&mut self, id: CallId) -> Option<&mut Call> {
        self.calls.iter_mut().find(|call| call.id == id)
    }

    fn remove_call(&mut self, id: CallId) -> Option<Call> {
        let index = self.calls.iter().position(|call| call.id == id)?;
        Some(self.calls.remove(index))
    }

    /// Restarts the timers of all calls after a pause of this process. Without this, the pause would be taken
    /// for a silent registry although answers may be waiting in the sockets.
    fn allow_for_process_pause(&mut self, now: Duration) {
        let Some(lateness) = self.next_wake().and_then(|wake| now.checked_sub(wake)) else { return };
        if lateness <= PAUSE_THRESHOLD {
            return;
        }
        for call in &mut self.calls {
            call.last_heard_at = now;
            call.probed_at = call.probed_at.map(|_| now);
            call.must_reach = None;
        }
        self.mark_doubtful(now, Cause::ProcessPaused);
        self.doubtful_since = Some(now);
    }

    /// Handles a call that ended without a usable result.
    fn on_call_lost(&mut self, now: Duration, call: &Call, cause: Cause) {
        if call.query == Query::RevisionCheck {
            self.revision_check.2 += 1;
            if self.revision_checks_failing() {
                self.mark_doubtful(now, Cause::RevisionCheckFailed);
            }
            return;
        }
        self.failures = self.failures.saturating_add(1);
        self.good_answers = 0;
        if matches!(call.query, Query::Range { .. }) {
            self.partial_read = None;
        }
        self.advance_endpoint(call.endpoint);
        self.mark_doubtful(now, cause);
        if !self.has_healthy_call() {
            let pause = self.retry_delay();
            self.schedule_call_by(now + pause);
        }
    }

    fn on_failed(&mut self, now: Duration, id: CallId, failure: Failure, actions: &mut Vec<Action>) {
        let Some(call) = self.remove_call(id) else { return };
        let is_page = matches!(call.query, Query::Range { .. });
        match failure {
            Failure::Compacted => return self.on_compacted(now, actions),
            Failure::TooLong if is_page && self.page_size > MIN_PAGE_SIZE => {
                self.page_size = (self.page_size / 2).max(MIN_PAGE_SIZE);
                self.partial_read = None;
                self.next_endpoint = call.endpoint;
                return self.schedule_call_by(now);
            }
            _ => {}
        }
        self.counts.failed += 1;
        self.on_call_lost(now, &call, Cause::Failed(failure));
    }

    /// Starts over with a full read because the requested revision has been compacted.
    fn on_compacted(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.counts.compactions += 1;
        self.compacted_reads = self.compacted_reads.saturating_add(1);
        self.needs_full_read = true;
        self.partial_read = None;
        self.mark_doubtful(now, Cause::Cancelled);
        actions.push(Action::Note(Note::Compacted));
        // Prevents endless reading when compactions are faster than reads.
        let pause = if self.compacted_reads < COMPACTED_READS_BEFORE_PAUSE {
            Duration::ZERO
        } else {
            self.failures = self.failures.max(self.settings.endpoints as u32 * self.compacted_reads.min(16));
            self.retry_delay()
        };
        self.schedule_call_by(now + pause);
    }

    fn on_cancelled(&mut self, now: Duration, id: CallId, compacted: bool, actions: &mut Vec<Action>) {
        let Some(call) = self.remove_call(id) else { return };
        // A watch that was started before the copy moved on says nothing about the copy's present revision.
        if compacted && call.revision_at_start == self.revision {
            return self.on_compacted(now, actions);
        }
        self.counts.failed += 1;
        self.on_call_lost(now, &call, Cause::Cancelled);
    }

    // ---- Full reads

    fn on_page(
        &mut self,
        now: Duration,
        id: CallId,
        header: Header,
        entries: Vec<(Vec<u8>, Vec<u8>)>,
        more: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(call) = self.remove_call(id) else { return };
        let Query::Range { allow_stale, .. } = call.query else {
            return self.on_revision_check(now, call.revision_at_start, header, actions);
        };
        self.adapt_silence_timeout(now - call.last_heard_at);
        let mut partial = match self.partial_read.take() {
            Some(partial) if partial.header.cluster == header.cluster => partial,
            // The cluster was replaced between two pages.
            Some(_) => return self.schedule_call_by(now),
            None => PartialRead { header, entries: BTreeMap::new() },
        };
        let last_key = entries.last().map(|(key, _)| key.clone());
        let max_value_bytes = self.settings.max_value_bytes;
        partial
            .entries
            .extend(entries.into_iter().map(|(key, value)| (key, limit_value(value, max_value_bytes))));
        let too_many = partial.entries.len() > self.settings.max_keys;
        if more && !too_many {
            if let Some(after) = last_key {
                let (limit, revision) = (self.page_size, Some(partial.header.revision));
                self.partial_read = Some(partial);
                let query = Query::Range { after: Some(after), revision, limit, allow_stale };
                return self.start_call(now, call.endpoint, query, actions);
            }
        }
        self.keys_dropped = too_many;
        while partial.entries.len() > self.settings.max_keys {
            partial.entries.pop_last();
            self.counts.over_limit += 1;
        }
        if too_many {
            actions.push(Action::Note(Note::TooManyKeys));
        }
        let PartialRead { header, entries } = partial;
        if !self.accepts_state(now, &call, header, !allow_stale, actions) {
            return;
        }
        self.replace_copy(header, entries, actions);
        // A watch opened before the read may belong to a cluster that has since been replaced or restored;
        // its changes must not be applied to the new copy.
        self.abort_calls(|call| call.query != Query::RevisionCheck, actions);
        // Watch from the next revision on, at the endpoint that has just delivered its state.
        self.next_endpoint = call.endpoint;
        self.next_call_at = None;
        self.start_next_call(now, actions);
    }

    /// Returns whether a full state is accepted, by its cluster and revision.
    fn accepts_state(
        &mut self,
        now: Duration,
        call: &Call,
        header: Header,
        linearized: bool,
        actions: &mut Vec<Action>,
    ) -> bool {
        if self.is_other_cluster(header) {
            actions.push(Action::Note(Note::Replaced { from: self.cluster, to: header.cluster }));
            self.mark_doubtful(now, Cause::Replaced);
            return true;
        }
        let Some(copy_revision) = self.revision.filter(|copy| header.revision < *copy) else { return true };
        if call.revision_at_start.is_none_or(|start| header.revision >= start) {
            // A watch has moved the copy past this read in the meantime.
            self.failures = self.failures.saturating_add(1);
            self.advance_endpoint(call.endpoint);
            let pause = self.retry_delay();
            self.schedule_call_by(now + pause);
            return false;
        }
        // A single endpoint may be behind. A lower revision is accepted if the read was linearized, or if
        // every endpoint reports one, and the first of them twice.
        self.endpoints_behind += 1;
        if linearized || self.endpoints_behind > self.settings.endpoints {
            actions.push(Action::Note(Note::RevisionWentBack { from: copy_revision, to: header.revision }));
            self.mark_doubtful(now, Cause::RevisionWentBack);
            return true;
        }
        self.counts.behind += 1;
        self.on_call_lost(now, call, Cause::Behind);
        false
    }

    /// Returns whether the answer comes from another cluster; id 0 means that the registry reports none.
    fn is_other_cluster(&self, header: Header) -> bool {
        header.cluster != self.cluster && header.cluster != 0 && self.cluster != 0
    }

    /// Replaces the copy and emits the difference.
    fn replace_copy(&mut self, header: Header, entries: BTreeMap<Vec<u8>, Value>, actions: &mut Vec<Action>) {
        self.counts.full_reads += 1;
        self.needs_full_read = false;
        self.cluster = header.cluster;
        let first = self.revision.is_none();
        let deleted: Vec<Vec<u8>> =
            self.copy.keys().filter(|key| !entries.contains_key(*key)).cloned().collect();
        let put: Vec<Entry> = entries
            .iter()
            .filter(|(key, value)| self.copy.get(*key) != Some(value))
            .map(|(key, value)| Entry { key: key.clone(), value: value.clone() })
            .collect();
        self.copy = entries;
        self.revision = Some(header.revision);
        self.counts.edits += (deleted.len() + put.len()) as u64;
        if first || !deleted.is_empty() || !put.is_empty() {
            actions.push(Action::Apply(Change {
                revision: header.revision,
                from_full_read: true,
                put,
                deleted,
            }));
        }
    }

    /// Handles the cluster's current revision: open watches have to catch up with it.
    fn on_revision_check(
        &mut self,
        now: Duration,
        revision_at_start: Option<u64>,
        header: Header,
        actions: &mut Vec<Action>,
    ) {
        self.revision_check.2 = 0;
        let other_cluster = self.is_other_cluster(header);
        // Compared with the revision at the start of the check: an answer that was overtaken by changes on
        // its way is not a revision that went back.
        if other_cluster || revision_at_start.is_some_and(|start| header.revision < start) {
            // The cluster was replaced or restored; a full read resolves this.
            self.needs_full_read = true;
            self.endpoints_behind = self.settings.endpoints;
            self.mark_doubtful(now, if other_cluster { Cause::Replaced } else { Cause::RevisionWentBack });
            return self.schedule_call_by(now);
        }
        let deadline = now + self.settings.max_lag;
        for call in self.calls.iter_mut().filter(|call| call.open && call.is_watch()) {
            if call.delivered_to < header.revision {
                // An existing deadline is kept. Without this, each revision check would extend it and it
                // would never be met.
                call.must_reach.get_or_insert((header.revision, deadline));
                if call.probed_at.is_none() {
                    call.probe(now, &mut self.counts, actions);
                }
            }
        }
    }

    // ---- Watches

    /// Returns whether a message on a watch comes from the followed cluster, and records that the watch is
    /// alive.
    fn accepts_watch_event(
        &mut self,
        now: Duration,
        id: CallId,
        header: Header,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(call) = self.call_mut(id) else { return false };
        call.last_heard_at = now;
        if !self.is_other_cluster(header) {
            return true;
        }
        self.abort_calls(|call| call.id == id, actions);
        self.needs_full_read = true;
        self.mark_doubtful(now, Cause::Replaced);
        self.schedule_call_by(now);
        false
    }

    fn on_opened(&mut self, now: Duration, id: CallId, header: Header, actions: &mut Vec<Action>) {
        if !self.accepts_watch_event(now, id, header, actions) {
            return;
        }
        let max_lag = self.settings.max_lag;
        let Some(call) = self.calls.iter_mut().find(|call| call.id == id) else { return };
        let Query::Watch { from } = call.query else { return };
        call.open = true;
        call.suspect = false;
        // An open watch may still be silent or behind; it has to prove itself by a progress message.
        call.must_reach = Some((from - 1, now + max_lag));
        call.probe(now, &mut self.counts, actions);
    }

    fn on_changed(
        &mut self,
        now: Duration,
        id: CallId,
        header: Header,
        edits: Vec<Edit>,
        fragment: bool,
        actions: &mut Vec<Action>,
    ) {
        if !self.accepts_watch_event(now, id, header, actions) {
            return;
        }
        let max_change_bytes = self.settings.max_change_bytes;
        let Some(call) = self.call_mut(id) else { return };
        let bytes: usize =
            edits.iter().map(|edit| edit.key.len() + edit.value.as_ref().map_or(0, Vec::len)).sum();
        call.fragments.0.extend(edits);
        call.fragments.1 += bytes;
        if call.fragments.1 > max_change_bytes {
            // The change is read in pages instead.
            let call = self.remove_call(id).expect("the call exists");
            actions.push(Action::Abort(id));
            self.needs_full_read = true;
            return self.on_call_lost(now, &call, Cause::Failed(Failure::TooLong));
        }
        if fragment {
            return;
        }
        let (edits, _) = std::mem::take(&mut call.fragments);
        call.note_delivered(edits.last().map_or(0, |edit| edit.revision));
        self.apply_edits(edits, actions);
    }

    /// Applies the changes that are newer than the copy, as one change.
    fn apply_edits(&mut self, edits: Vec<Edit>, actions: &mut Vec<Action>) {
        let Some(copy_revision) = self.revision else { return };
        let last_revision = edits.last().map_or(copy_revision, |edit| edit.revision);
        if last_revision <= copy_revision {
            self.counts.already_applied += edits.len() as u64;
            return;
        }
        // Only the last change of a key counts: a key that was put and deleted in between was never in the
        // copy.
        let mut latest = BTreeMap::new();
        for edit in edits {
            if edit.revision <= copy_revision {
                self.counts.already_applied += 1;
                continue;
            }
            self.counts.edits += 1;
            latest.insert(edit.key, edit.value);
        }
        let (mut put, mut deleted) = (Vec::new(), Vec::new());
        for (key, value) in latest {
            match value {
                None => {
                    if self.copy.remove(&key).is_some() {
                        deleted.push(key);
                    }
                }
                Some(value) => {
                    let value = limit_value(value, self.settings.max_value_bytes);
                    if self.copy.len() >= self.settings.max_keys && !self.copy.contains_key(&key) {
                        if !std::mem::replace(&mut self.keys_dropped, true) {
                            actions.push(Action::Note(Note::TooManyKeys));
                        }
                        self.counts.over_limit += 1;
                        continue;
                    }
                    self.copy.insert(key.clone(), value.clone());
                    put.push(Entry { key, value });
                }
            }
        }
        if self.keys_dropped && !deleted.is_empty() {
            // A deletion has made room for keys that were dropped.
            self.keys_dropped = false;
            self.needs_full_read = true;
            self.schedule_call_by(Duration::ZERO);
        }
        self.revision = Some(last_revision);
        if !put.is_empty() || !deleted.is_empty() {
            actions.push(Action::Apply(Change {
                revision: last_revision,
                from_full_read: false,
                put,
                deleted,
            }));
        }
    }

    /// Handles a progress message: the watch has delivered everything up to a revision, and all of it is in
    /// the copy.
    fn on_progress(&mut self, now: Duration, id: CallId, header: Header, actions: &mut Vec<Action>) {
        if !self.accepts_watch_event(now, id, header, actions) {
            return;
        }
        let copy_revision = self.revision.unwrap_or(0);
        let Some(call) = self.call_mut(id) else { return };
        if let Some(probed_at) = call.probed_at.take() {
            self.update_rtt(now.saturating_sub(probed_at));
        }
        let Some(call) = self.call_mut(id) else { return };
        call.note_delivered(header.revision);
        // A watch that is behind the copy or the cluster, or within a fragmented change, is alive but
        // confirms nothing.
        if header.revision < copy_revision || call.must_reach.is_some() || !call.fragments.0.is_empty() {
            return;
        }
        self.revision = Some(header.revision);
        if self.needs_full_read {
            // The pending full read will confirm the copy, or replace it.
            return;
        }
        self.confirm_copy(now, id, actions);
    }

    // ---- Blocking queries

    fn on_snapshot(
        &mut self,
        now: Duration,
        id: CallId,
        header: Header,
        entries: Vec<(Vec<u8>, Vec<u8>)>,
        leader_contact: Option<Duration>,
        actions: &mut Vec<Action>,
    ) {
        let Some(call) = self.remove_call(id) else { return };
        let Query::Blocking { allow_stale, index, wait, .. } = call.query else { return };
        if index == 0 {
            self.adapt_silence_timeout(now - call.last_heard_at);
        }
        if leader_contact.is_none_or(|leader_contact| leader_contact > self.settings.max_lag) {
            // A member that has no leader, or has not heard from it for long, may know less than the copy.
            self.counts.behind += 1;
            return self.on_call_lost(now, &call, Cause::Behind);
        }
        // With an index of 0 each following query would return at once.
        let header = Header { revision: header.revision.max(1), ..header };
        if !self.accepts_state(now, &call, header, !allow_stale, actions) {
            return;
        }
        let is_new = self.revision != Some(header.revision);
        let mut kept = BTreeMap::new();
        for (key, value) in entries {
            if kept.len() >= self.settings.max_keys {
                self.counts.over_limit += 1;
                continue;
            }
            kept.insert(key, limit_value(value, self.settings.max_value_bytes));
        }
        self.replace_copy(header, kept, actions);
        self.good_answers = self.good_answers.saturating_add(1);
        self.next_endpoint = call.endpoint;
        self.confirm_copy(now, id, actions);
        // Prevents a busy loop with a registry that answers at once although nothing has changed.
        let early = !is_new && index > 0 && now < call.last_heard_at + wait / 2;
        let min_interval = if early { self.settings.min_wait } else { MIN_BLOCKING_QUERY_INTERVAL };
        self.next_call_at = Some(now.max(call.last_heard_at + min_interval));
    }
}

/// Returns a value without its bytes if it is longer than the limit.
fn limit_value(value: Vec<u8>, max_bytes: usize) -> Value {
    match value.len() {
        bytes if bytes > max_bytes => Value::TooLong(bytes),
        _ => Value::Whole(value),
    }
}
