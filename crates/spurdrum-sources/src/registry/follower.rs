//! When a registry is read or watched, which answers count, and how far the copy of its keys can be trusted.
//!
//! ```
//! use std::time::Duration;
//! use spurdrum_sources::registry::follower::{Action, Query, Event, Follower, Header, Settings};
//!
//! let mut follower = Follower::new(Settings::default(), 7).expect("sound settings");
//! let mut actions = Vec::new();
//! follower.handle(Duration::ZERO, Event::Tick, &mut actions);
//! let due = follower.next_wake().expect("a first call is due");
//! follower.handle(due, Event::Tick, &mut actions);
//! // Nothing is held yet: the whole state is read first, then changes from the next revision on.
//! let Action::Call { call, ask: Query::Range { .. }, .. } = actions[0] else { panic!() };
//! let header = Header { cluster: 1, revision: 41 };
//! actions.clear();
//! follower.handle(due, Event::Page { call, header, entries: Vec::new(), more: false }, &mut actions);
//! assert!(matches!(actions[1], Action::Call { ask: Query::Watch { from: 42 }, .. }));
//! ```
//!
//! Two kinds of registry are followed alike. One of *streams* (etcd v3) has a revision for each change, a whole read as of
//! one revision, and a watch that tells all changes from a revision on. One of *blocking queries* (Consul) answers with
//! the whole state once its index has passed the one that was asked with. Either way the follower holds a copy of the
//! keys, and what it hands on is the difference to that copy, never a list from which somebody has to guess who is new.
//!
//! A copy is fresh as long as something proves it. A watch is asked for its progress again and again; one that does not
//! answer in time gets another beside it at the next endpoint, and goes when that one has proved itself, or at the end of
//! its patience. Two watches tell the same twice; what is not newer than the copy is passed over, so that does no harm. A
//! member that is cut off from its cluster goes on answering, always with the same revision: so the true one is asked for
//! by a linearized read at another endpoint now and then, and a watch that does not come up to it is left.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use crate::backoff_delay;
use crate::follower::Freshness;

/// Calls out at once, at most, without those that ask for the true revision: one that is silent, and one beside it.
pub const MAX_OPEN_CALLS: usize = 2;
/// A tick that comes later than this after its time means that this machine stood still.
const JUMP: Duration = Duration::from_secs(3);
/// After each call that was silent the next may be silent for twice as long, up to this many times what is set: a registry that is slow and
/// is given up each time at the same moment would never be heard.
const GIVE_UP_DOUBLINGS: u32 = 2;
/// Pages are halved where one is too long, down to one key.
const PAGE_LEAST: u32 = 1;
/// A blocking query may end later than its wait by this part of it, as Consul has it, to spread the load.
const BLOCK_JITTER: f64 = 1.0 / 16.0;
/// Of what a whole read costs a registry, opening a watch costs this part.
const WATCH_PART: f64 = 0.2;
/// All nodes begin within this time, however many: one that starts alone has nothing to serve with until then...
const START_MOST: Duration = Duration::from_secs(1);
/// ...while after a break it has its copy.
const SPREAD_MOST: Duration = Duration::from_secs(10);
/// Blocking queries begin at least this far apart: each answer is the whole state.
const BLOCK_APART: Duration = Duration::from_millis(20);
/// Whole reads in a row that end in a compaction before their watch is open, after which there is a pause.
const OUTRUN: u32 = 3;

/// What kind of registry is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interface {
    /// Whole reads as of a revision, and watches from one on.
    WatchStreams,
    /// Whole answers, once an index has been passed.
    BlockingQueries,
}

/// How a registry is followed.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// What kind it is.
    pub interface: Interface,
    /// Endpoints that answer for it.
    pub endpoints: usize,
    /// Nodes that follow it, and this one's number among them.
    pub nodes: usize,
    /// See `nodes`.
    pub node_index: usize,
    /// Whether whole reads may come from one member alone, which may be behind.
    pub allow_stale: bool,
    /// Keys that are read at once.
    pub page_size: u32,
    /// Keys that are held at the most.
    pub max_keys: usize,
    /// A value of more bytes is held back.
    pub max_value_bytes: usize,
    /// A change that comes in pieces is dropped, and all read anew, beyond so many bytes.
    pub max_change_bytes: usize,
    /// An open watch is asked for its progress this long after it last spoke.
    pub probe_interval: Duration,
    /// Probes of all nodes together, a second, at most.
    pub probes_per_s: f64,
    /// A probe may stay unanswered for this long before another watch is opened beside.
    pub overdue_after: Duration,
    /// A call that is silent for so long is given up.
    pub silence_timeout: Duration,
    /// The true revision is asked for this often...
    pub revision_check_interval: Duration,
    /// ...and a watch that is not there so long after is behind.
    pub max_lag: Duration,
    /// Without proof for so long after the first trouble, the view is blind.
    pub stale_after: Duration,
    /// Between rounds of calls that fail: at first, about...
    pub min_retry_delay: Duration,
    /// ...and at the most.
    pub max_retry_delay: Duration,
    /// After a break, whole reads of all nodes are spread over this time for each.
    pub spread_per_node: Duration,
    /// The wait of a blocking query while the view is doubtful...
    pub min_wait: Duration,
    /// ...and once it has proved good.
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
    /// Checks that every figure makes sense.
    ///
    /// # Errors
    ///
    /// The first key that does not, and why.
    pub fn validate(&self) -> Result<(), (&'static str, &'static str)> {
        let need = |ok: bool, key, failure| if ok { Ok(()) } else { Err((key, failure)) };
        need(self.endpoints > 0, "endpoints", "names none")?;
        need(self.nodes > 0 && self.node_index < self.nodes, "nodes", "is not above `me`")?;
        need(self.page_size > 0 && self.page_size <= 100_000, "page", "is not from 1 to 100000")?;
        need(self.max_keys > 0 && self.max_keys <= 1_000_000, "keys", "is not from 1 to 1000000")?;
        need(
            self.max_value_bytes > 0 && self.max_value_bytes <= 8 << 20,
            "value_bytes",
            "is not from 1 to 8 MiB",
        )?;
        need(self.max_change_bytes >= self.max_value_bytes, "change_bytes", "is under `value_bytes`")?;
        need(self.probes_per_s >= 1.0 && self.probes_per_s <= 1e9, "probes_per_s", "is under 1")?;
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
        for (time, key) in times {
            let ok = time >= Duration::from_millis(1) && time <= Duration::from_secs(60);
            need(ok, key, "is no time from 1 ms to a minute")?;
        }
        need(self.spread_per_node <= Duration::from_secs(1), "spread_ms", "is over a second")?;
        need(self.overdue_after <= self.silence_timeout, "patience_ms", "is above `give_up_ms`")?;
        need(self.min_retry_delay <= self.max_retry_delay, "retry_least_ms", "is above `retry_most_ms`")?;
        need(self.min_wait <= self.max_wait, "wait_least_ms", "is above `wait_most_ms`")
    }

    /// How long after it last spoke a watch is asked for its progress, by what all nodes may ask together.
    pub fn probe_interval(&self) -> Duration {
        self.probe_interval.max(self.turn())
    }

    /// Time in which each node may ask once, by what all of them may ask together.
    fn turn(&self) -> Duration {
        Duration::from_secs_f64((self.nodes as f64 / self.probes_per_s).min(60.0))
    }

    /// A watch that falls silent has another beside it after this time, at the most, where the way is short.
    pub fn silence_detected_within(&self) -> Duration {
        self.probe_interval() + self.overdue_after
    }
}

/// A call, by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// What is asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Query {
    /// A page of the whole state.
    Range {
        /// From the key behind this one on, or from the first.
        after: Option<Vec<u8>>,
        /// As of this revision, or now.
        revision: Option<u64>,
        /// Keys, at most.
        limit: u32,
        /// Whether one member may answer from what it has.
        allow_stale: bool,
    },
    /// Changes, from this revision on, until it is given up.
    Watch {
        /// The first.
        from: u64,
    },
    /// The whole state, once the index has passed this one or the wait is over; at once for 0.
    Blocking {
        /// The index held.
        index: u64,
        /// The longest that the registry may wait.
        wait: Duration,
        /// Whether one member may answer from what it has.
        allow_stale: bool,
    },
    /// The true revision: a linearized read of no keys.
    RevisionCheck,
}

/// Who answered, and as of when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// The cluster; 0 where it tells none.
    pub cluster: u64,
    /// Its revision or index.
    pub revision: u64,
}

/// A key as a registry has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Its name.
    pub key: Vec<u8>,
    /// Its value.
    pub value: Value,
}

/// A value, as far as it is held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Value {
    /// All of it.
    Whole(Vec<u8>),
    /// It has so many bytes, more than may be held.
    TooLong(usize),
}

/// One change of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Edit {
    /// Its name.
    pub key: Vec<u8>,
    /// Its value; none where it was deleted.
    pub value: Option<Vec<u8>>,
    /// The revision of this change.
    pub revision: u64,
}

/// How a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection.
    Unreachable,
    /// The connection or the answer broke, or it is none.
    ConnectionLost,
    /// The endpoint says that it cannot answer: no leader, overload.
    Unavailable,
    /// Credentials are not, or no longer, good.
    Denied,
    /// The answer is longer than may be taken.
    TooLong,
    /// The revision asked for has been compacted away.
    Compacted,
}

/// What happens.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; the first one begins.
    Tick,
    /// A page of the whole state, or the answer to [`Query::RevisionCheck`].
    Page {
        /// The call.
        call: CallId,
        /// As of when.
        header: Header,
        /// The keys, in order, each with its value.
        entries: Vec<(Vec<u8>, Vec<u8>)>,
        /// Whether there are more behind them.
        more: bool,
    },
    /// A watch is open.
    Opened {
        /// The call.
        call: CallId,
        /// The endpoint's present revision.
        header: Header,
    },
    /// A watch tells changes.
    Changed {
        /// The call.
        call: CallId,
        /// The endpoint's present revision.
        header: Header,
        /// In order.
        edits: Vec<Edit>,
        /// More of the same revision follows.
        fragment: bool,
    },
    /// A watch has told all up to a revision.
    Progress {
        /// The call.
        call: CallId,
        /// Up to there.
        header: Header,
    },
    /// The endpoint has ended a watch.
    Cancelled {
        /// The call.
        call: CallId,
        /// Whether the revision it was to begin at is gone.
        compacted: bool,
    },
    /// A blocking query was answered.
    Snapshot {
        /// The call.
        call: CallId,
        /// Its index.
        header: Header,
        /// Every key with its value.
        entries: Vec<(Vec<u8>, Vec<u8>)>,
        /// How long ago the member that answered heard of its leader; none where it knows of none.
        leader_contact: Option<Duration>,
    },
    /// A call has failed.
    Failed {
        /// The call.
        call: CallId,
        /// How.
        failure: Failure,
    },
}

/// What has changed in the copy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The copy is the registry's state as of this revision now.
    pub revision: u64,
    /// Whether it came of a whole read, and not of a watch.
    pub from_full_read: bool,
    /// Keys that are new or have another value.
    pub put: Vec<Entry>,
    /// Keys that are gone.
    pub deleted: Vec<Vec<u8>>,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Query an endpoint.
    Call {
        /// Its number from now on.
        call: CallId,
        /// Which endpoint.
        endpoint: usize,
        /// What.
        query: Query,
    },
    /// Query an open watch for its progress.
    Probe(CallId),
    /// Give a call up; nothing more is heard of it.
    Abort(CallId),
    /// The copy has changed.
    Apply(Change),
    /// The view is trusted otherwise than before.
    FreshnessChanged {
        /// Before.
        from: Freshness,
        /// Now.
        to: Freshness,
        /// Why.
        cause: Cause,
    },
    /// Something that operators should know.
    Note(Note),
}

/// Why the view changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Nothing has been read yet.
    NotYetRead,
    /// A watch does not answer a probe, or a query is overdue.
    Overdue,
    /// A call failed.
    Failed(Failure),
    /// The endpoint ended the watch.
    Cancelled,
    /// The endpoint is behind.
    Behind,
    /// No endpoint tells the true revision.
    RevisionCheckFailed,
    /// The cluster is another.
    Replaced,
    /// Revisions run backwards.
    RevisionWentBack,
    /// There are more keys than may be held.
    TooManyKeys,
    /// The machine stood still.
    ProcessPaused,
    /// Nothing has proved it for too long.
    Unconfirmed,
    /// It is proved.
    Confirmed,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotYetRead => "nothing has been read yet",
            Self::Overdue => "a call is silent",
            Self::Failed(Failure::Unreachable) => "an endpoint cannot be reached",
            Self::Failed(Failure::ConnectionLost) => "a call broke",
            Self::Failed(Failure::Unavailable) => "an endpoint cannot answer",
            Self::Failed(Failure::Denied) => "credentials are refused",
            Self::Failed(Failure::TooLong) => "an answer is too long",
            Self::Failed(Failure::Compacted) => "the revision read has been compacted",
            Self::Cancelled => "an endpoint has ended the watch",
            Self::Behind => "an endpoint is behind",
            Self::RevisionCheckFailed => "no endpoint tells the true revision",
            Self::Replaced => "the cluster is another",
            Self::RevisionWentBack => "revisions run backwards",
            Self::TooManyKeys => "there are more keys than may be held",
            Self::ProcessPaused => "this machine stood still",
            Self::Unconfirmed => "nothing has proved it",
            Self::Confirmed => "it is proved",
        })
    }
}

/// What operators should know beside the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Note {
    /// The revision that was wanted is gone: all is read again.
    Compacted,
    /// Another cluster answers.
    Replaced {
        /// Before.
        from: u64,
        /// Now.
        to: u64,
    },
    /// Revisions have begun anew: the held one, and the one that is believed now.
    RevisionWentBack {
        /// Held.
        from: u64,
        /// Believed.
        to: u64,
    },
    /// More keys than may be held.
    TooManyKeys,
}

impl fmt::Display for Note {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Compacted => f.write_str("the revision that was wanted is gone: all is read again"),
            Self::Replaced { from, to } => write!(f, "cluster {to:x} answers in place of {from:x}"),
            Self::RevisionWentBack { from, to } => {
                write!(f, "its revisions have begun anew: {to} after {from}")
            }
            Self::TooManyKeys => f.write_str("it has more keys than may be held"),
        }
    }
}

/// What was done, since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Pages, watches, blocking queries and confirmations that were asked for.
    pub calls: [u64; 4],
    /// Probes of watches.
    pub probes: u64,
    /// Changes of keys that were applied.
    pub edits: u64,
    /// Those that were known already.
    pub already_applied: u64,
    /// Whole reads that were taken.
    pub full_reads: u64,
    /// Compactions met.
    pub compactions: u64,
    /// Calls given up as silent, and that failed otherwise.
    pub timed_out: u64,
    /// See `silent`.
    pub failed: u64,
    /// Endpoints found behind.
    pub behind: u64,
    /// Keys that found no room.
    pub over_limit: u64,
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [pages, watches, queries, confirms] = self.calls;
        write!(
            f,
            "pages {pages}, watches {watches}, queries {queries}, confirmations {confirms}, probes {}: edits {}, \
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
    /// It is given up after so long without a word, where it has not been answered yet.
    silence_timeout: Duration,
    /// The copy's revision when it was begun.
    held: Option<u64>,
    open: bool,
    /// When it last spoke, or was begun.
    spoke_at: Duration,
    /// Since when a probe is out.
    probed_at: Option<Duration>,
    /// It is silent or behind: another one is to be begun beside it.
    left: bool,
    /// The revision that it must come up to, and by when.
    must_reach: Option<(u64, Duration)>,
    /// Up to where it has told all.
    told: u64,
    /// What has come of a change in pieces, and its bytes.
    pieces: (Vec<Edit>, usize),
}

impl Call {
    fn is_watch(&self) -> bool {
        matches!(self.query, Query::Watch { .. })
    }

    /// Asks for its progress.
    fn probe(&mut self, now: Duration, counts: &mut Counts, actions: &mut Vec<Action>) {
        self.probed_at = Some(now);
        counts.probes += 1;
        actions.push(Action::Probe(self.id));
    }

    /// It has told all up to a revision.
    fn has_told(&mut self, revision: u64) {
        self.told = self.told.max(revision);
        let told = self.told;
        self.must_reach.take_if(|(to, _)| told >= *to);
    }

    /// When it should have spoken, where answers are waited for so long.
    fn due_at(&self, overdue_after: Duration) -> Duration {
        match (&self.query, self.probed_at) {
            (Query::Blocking { index: 1.., wait, .. }, _) => {
                self.spoke_at + wait.mul_f64(1.0 + BLOCK_JITTER) + overdue_after
            }
            // Whatever it says since shows that it lives.
            (Query::Watch { .. }, Some(at)) if self.open => at.max(self.spoke_at) + overdue_after,
            (Query::Watch { .. }, None) if self.open => Duration::MAX,
            (Query::Watch { .. }, _) => self.spoke_at + 2 * overdue_after,
            _ => self.spoke_at + self.silence_timeout,
        }
    }

    /// When it is given up.
    fn give_up_at(&self, settings: &Settings) -> Duration {
        match (&self.query, self.probed_at) {
            (Query::Blocking { index: 1.., .. }, _) => {
                self.due_at(settings.overdue_after) + settings.silence_timeout
            }
            (Query::Watch { .. }, Some(at)) if self.open => at.max(self.spoke_at) + settings.silence_timeout,
            (Query::Watch { .. }, None) if self.open => Duration::MAX,
            _ => self.spoke_at + self.silence_timeout,
        }
    }
}

/// A whole read that is under way.
struct Reading {
    /// The first page's revision; the others are read as of it.
    header: Header,
    /// All so far.
    entries: BTreeMap<Vec<u8>, Value>,
}

/// Follows one registry.
pub struct Follower {
    settings: Settings,
    random: fastrand::Rng,
    started: bool,
    /// The copy, and the revision as of which it is the registry's state.
    held: BTreeMap<Vec<u8>, Value>,
    revision: Option<u64>,
    cluster: u64,
    /// All is to be read again.
    read: bool,
    reading: Option<Reading>,
    page: u32,
    /// Keys without room: once there is some, all is read again.
    over: bool,
    calls: Vec<Call>,
    last_call: u64,
    due: Option<Duration>,
    /// The endpoint for the next call.
    endpoint: usize,
    /// How often what may be silent has been doubled.
    doublings: u32,
    /// Failures in a row, and reads that were outrun by compactions in a row.
    failures: u32,
    outrun: u32,
    /// Endpoints in a row whose revision is older than the copy's.
    older: usize,
    /// How long a probe's answer takes, and how far that varies, in seconds.
    way: Option<(f64, f64)>,
    /// When the true revision is asked for next, where, and in vain how often.
    confirm: (Duration, usize, usize),
    /// Answers in a row that were sound, for the wait of the next query.
    good: u32,
    view: Freshness,
    cause: Cause,
    trouble_since: Option<Duration>,
    proved_at: Option<Duration>,
    counts: Counts,
}

impl Follower {
    /// A follower that holds nothing. The seed spreads its pauses.
    ///
    /// # Errors
    ///
    /// The first setting that makes no sense, and why.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, (&'static str, &'static str)> {
        settings.validate()?;
        Ok(Self {
            random: fastrand::Rng::with_seed(seed),
            started: false,
            held: BTreeMap::new(),
            revision: None,
            cluster: 0,
            read: true,
            reading: None,
            page: settings.page_size,
            over: false,
            calls: Vec::new(),
            last_call: 0,
            due: None,
            // Nodes begin at different endpoints.
            endpoint: settings.node_index % settings.endpoints,
            doublings: 0,
            failures: 0,
            outrun: 0,
            older: 0,
            way: None,
            confirm: (Duration::ZERO, settings.node_index % settings.endpoints, 0),
            good: 0,
            view: Freshness::Doubtful,
            cause: Cause::NotYetRead,
            trouble_since: None,
            proved_at: None,
            counts: Counts::default(),
            settings,
        })
    }

    /// What has happened; adds what is to be done. Times count from any moment, and do not run backwards.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        if !self.started {
            self.started = true;
            self.trouble_since = Some(now);
            // Nodes that start together do not read together.
            let spread = self.spread(1.0, START_MOST);
            self.due = Some(now + spread);
            self.confirm.0 = now + self.confirm_every();
        }
        self.allow_for_standstill(now);
        match event {
            Event::Tick => {}
            Event::Page { call, header, entries, more } => {
                self.page(now, call, header, entries, more, actions);
            }
            Event::Opened { call, header } => self.opened(now, call, header, actions),
            Event::Changed { call, header, edits, fragment } => {
                self.changed(now, call, header, edits, fragment, actions);
            }
            Event::Progress { call, header } => self.progress(now, call, header, actions),
            Event::Cancelled { call, compacted } => self.cancelled(now, call, compacted, actions),
            Event::Snapshot { call, header, entries, leader_contact } => {
                self.whole(now, call, header, entries, leader_contact, actions);
            }
            Event::Failed { call, failure } => self.failed(now, call, failure, actions),
        }
        self.settle(now, actions);
    }

    /// When the next [`Event::Tick`] is due, at the latest; none before the first.
    pub fn next_wake(&self) -> Option<Duration> {
        let settings = &self.settings;
        let call = |call: &Call| {
            let due_at = call.due_at(self.overdue_after());
            let spoken = if call.left { call.give_up_at(settings) } else { due_at };
            let probe = (call.open && call.is_watch() && call.probed_at.is_none())
                .then(|| call.spoke_at + settings.probe_interval());
            let reach = call.must_reach.filter(|_| !call.left).map(|(_, by)| by);
            [Some(spoken), probe, reach].into_iter().flatten().min().unwrap_or(spoken)
        };
        let blind = self.trouble_since.filter(|_| self.view != Freshness::Stale);
        let blind = blind.map(|since| since + settings.stale_after);
        let confirms =
            (self.started && settings.interface == Interface::WatchStreams).then_some(self.confirm.0);
        self.calls.iter().map(call).chain(self.due).chain(blind).chain(confirms).min()
    }

    /// How far the copy can be trusted.
    pub fn freshness(&self) -> Freshness {
        self.view
    }

    /// How long ago the copy was proved, where it ever was.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.proved_at.map(|at| now.saturating_sub(at))
    }

    /// The copy's revision.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// The copy.
    pub fn copy(&self) -> &BTreeMap<Vec<u8>, Value> {
        &self.held
    }

    /// What was done.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    // ---- Pace

    /// This node's part of the time, so long at most, over which all of them spread what costs so much of a whole read.
    fn spread(&mut self, cost: f64, most: Duration) -> Duration {
        let nodes = self.settings.nodes as f64;
        let all = self.settings.spread_per_node.mul_f64(nodes * cost).min(most);
        all.mul_f64((self.settings.node_index as f64 + self.random.f64()) / nodes)
    }

    fn confirm_every(&mut self) -> Duration {
        self.settings
            .revision_check_interval
            .max(self.settings.turn())
            .mul_f64(0.75 + 0.5 * self.random.f64())
    }

    /// How long to wait before the next call after a failure.
    fn pause(&mut self) -> Duration {
        let spread = self.spread(if self.read { 1.0 } else { WATCH_PART }, SPREAD_MOST);
        // The first round over all endpoints costs no pause but the spread.
        let rounds = self.failures as usize / self.settings.endpoints;
        if rounds == 0 {
            return spread;
        }
        let Settings { min_retry_delay, max_retry_delay, .. } = self.settings;
        backoff_delay(&mut self.random, min_retry_delay, max_retry_delay, rounds as u32 - 1).max(spread)
    }

    /// How long an answer may take before it is late: as long as is set, and longer where the way is.
    fn overdue_after(&self) -> Duration {
        let Some((mean, deviation)) = self.way else { return self.settings.overdue_after };
        let usual = Duration::from_secs_f64((mean + 4.0 * deviation).min(60.0));
        usual.min(self.settings.silence_timeout / 2).max(self.settings.overdue_after)
    }

    /// How long a call that has not been answered may be silent.
    fn silence_timeout(&self) -> Duration {
        self.settings.silence_timeout * (1 << self.doublings)
    }

    /// What may be silent is as long again as the last answer took, where that is more than what is set.
    fn note_answer(&mut self, took: Duration) {
        let enough = |doublings: &u32| self.settings.silence_timeout * (1 << doublings) >= 2 * took;
        self.doublings = (0..GIVE_UP_DOUBLINGS).find(enough).unwrap_or(GIVE_UP_DOUBLINGS);
    }

    /// Learns from the time of an answer, as RFC 6298 has it.
    fn time(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        let (mean, deviation) = self.way.get_or_insert((took, took / 2.0));
        *deviation += ((took - *mean).abs() - *deviation) / 4.0;
        *mean += (took - *mean) / 8.0;
    }

    fn next_endpoint(&mut self, from: usize) {
        if self.endpoint == from {
            self.endpoint = (from + 1) % self.settings.endpoints;
        }
    }

    // ---- Calls

    fn begin(&mut self, now: Duration, endpoint: usize, query: Query, actions: &mut Vec<Action>) {
        let kind = match query {
            Query::Range { .. } => 0,
            Query::Watch { .. } => 1,
            Query::Blocking { .. } => 2,
            Query::RevisionCheck => 3,
        };
        self.counts.calls[kind] += 1;
        self.last_call += 1;
        let id = CallId(self.last_call);
        self.calls.push(Call {
            id,
            endpoint,
            query: query.clone(),
            silence_timeout: self.silence_timeout(),
            held: self.revision,
            open: false,
            spoke_at: now,
            probed_at: None,
            left: false,
            must_reach: None,
            told: 0,
            pieces: (Vec::new(), 0),
        });
        actions.push(Action::Call { call: id, endpoint, query });
    }

    /// What follows the copy, or is to.
    fn following(&self) -> impl Iterator<Item = &Call> {
        self.calls.iter().filter(|call| call.query != Query::RevisionCheck)
    }

    fn is_followed(&self) -> bool {
        self.following().any(|call| !call.left)
    }

    fn due_by(&mut self, at: Duration) {
        self.due = Some(self.due.map_or(at, |due| due.min(at)));
    }

    /// Begins the next ordinary call.
    fn next(&mut self, now: Duration, actions: &mut Vec<Action>) {
        while self.following().count() >= MAX_OPEN_CALLS {
            // One that has spoken and does not any more. One that never did may be on a long way.
            let least = self.calls.iter().position(|call| call.left && (call.open || !call.is_watch()));
            let Some(least) = least else { return };
            actions.push(Action::Abort(self.calls.remove(least).id));
        }
        let endpoint = self.endpoint;
        // Once all endpoints have shown less than the copy, only what the cluster agrees on counts.
        let allow_stale = self.settings.allow_stale && self.older < self.settings.endpoints;
        let query = match (self.settings.interface, self.revision) {
            (Interface::BlockingQueries, held) => {
                let beside = self.following().next().is_some() || self.read || held.is_none();
                let index = if beside { 0 } else { held.unwrap_or(0) };
                Query::Blocking { index, wait: self.wait(), allow_stale }
            }
            (Interface::WatchStreams, Some(held)) if !self.read => Query::Watch { from: held + 1 },
            (Interface::WatchStreams, _) => {
                self.reading = None;
                self.abort(|call| matches!(call.query, Query::Range { .. }), actions);
                Query::Range { after: None, revision: None, limit: self.page, allow_stale }
            }
        };
        self.begin(now, endpoint, query, actions);
    }

    fn abort(&mut self, which: impl Fn(&Call) -> bool, actions: &mut Vec<Action>) {
        self.calls.retain(|call| {
            let goes = which(call);
            if goes {
                actions.push(Action::Abort(call.id));
            }
            !goes
        });
    }

    /// The wait of a blocking query: how long its silence stays unseen.
    fn wait(&self) -> Duration {
        let grown = self.settings.min_wait.saturating_mul(1 << self.good.min(16));
        grown.min(self.settings.max_wait)
    }

    /// Gives up what is silent, probes, begins what is due, and says how far the copy can be trusted.
    fn settle(&mut self, now: Duration, actions: &mut Vec<Action>) {
        for n in (0..self.calls.len()).rev() {
            let overdue_after = self.overdue_after();
            let settings = &self.settings;
            let call = &mut self.calls[n];
            if now >= call.give_up_at(settings) {
                let call = self.calls.remove(n);
                actions.push(Action::Abort(call.id));
                self.counts.timed_out += 1;
                if !call.open && call.query != Query::RevisionCheck {
                    self.doublings = (self.doublings + 1).min(GIVE_UP_DOUBLINGS);
                }
                self.lost(now, &call, Cause::Overdue);
                continue;
            }
            let late = now >= call.due_at(overdue_after);
            let behind = call.must_reach.is_some_and(|(to, by)| call.told < to && now >= by);
            if !call.left && (late || behind) {
                call.left = true;
                let endpoint = call.endpoint;
                self.good = 0;
                if behind && !late {
                    self.counts.behind += 1;
                    self.older += 1;
                    // None of them comes up to the copy: the cluster may have been put back.
                    self.read |= self.older >= self.settings.endpoints;
                }
                self.next_endpoint(endpoint);
                self.doubt(now, if late { Cause::Overdue } else { Cause::Behind });
                continue;
            }
            let probe_at = call.spoke_at + settings.probe_interval();
            if call.open && call.is_watch() && call.probed_at.is_none() && now >= probe_at {
                call.probe(now, &mut self.counts, actions);
            }
        }
        if !self.is_followed() && self.due.is_none() {
            self.due = Some(now);
        }
        if self.due.is_some_and(|due| due <= now) {
            self.due = None;
            self.next(now, actions);
        }
        let streams = self.settings.interface == Interface::WatchStreams;
        if streams && now >= self.confirm.0 {
            self.confirm.0 = now + self.confirm_every();
            let out = self.calls.iter().any(|call| call.query == Query::RevisionCheck);
            if self.revision.is_some() && !out {
                // Another endpoint than the watch's, where there is one: one alone can't tell that it is cut off.
                self.confirm.1 = (self.confirm.1 + 1) % self.settings.endpoints;
                let watched = self.following().next().map(|call| call.endpoint);
                if Some(self.confirm.1) == watched {
                    self.confirm.1 = (self.confirm.1 + 1) % self.settings.endpoints;
                }
                self.begin(now, self.confirm.1, Query::RevisionCheck, actions);
            }
        }
        let blind = self.trouble_since.is_some_and(|since| now >= since + self.settings.stale_after);
        match self.view {
            Freshness::Fresh | Freshness::Doubtful if blind => {
                self.show(Freshness::Stale, Cause::Unconfirmed, actions)
            }
            Freshness::Fresh if self.trouble_since.is_some() => {
                self.show(Freshness::Doubtful, self.cause, actions)
            }
            Freshness::Doubtful | Freshness::Stale if self.trouble_since.is_none() => {
                self.show(Freshness::Fresh, Cause::Confirmed, actions);
            }
            _ => {}
        }
    }

    fn show(&mut self, to: Freshness, cause: Cause, actions: &mut Vec<Action>) {
        let from = std::mem::replace(&mut self.view, to);
        actions.push(Action::FreshnessChanged { from, to, cause });
    }

    fn doubt(&mut self, now: Duration, cause: Cause) {
        if self.trouble_since.is_none() {
            self.trouble_since = Some(now);
            self.cause = cause;
        }
    }

    /// The copy is known to be the registry's state, as far as one endpoint can tell.
    fn prove(&mut self, now: Duration, by: CallId, actions: &mut Vec<Action>) {
        (self.failures, self.outrun, self.older) = (0, 0, 0);
        // Guards against a member that is cut off from the others, and goes on telling what it has.
        if !self.is_unconfirmed() {
            self.proved_at = Some(now);
            self.trouble_since = None;
        }
        // What was silent or behind, or stands beside, is not needed any more.
        self.abort(|call| call.id != by && call.query != Query::RevisionCheck, actions);
        if let Some(call) = self.call(by) {
            call.left = false;
            self.endpoint = call.endpoint;
        }
        self.due = None;
    }

    fn is_unconfirmed(&self) -> bool {
        self.confirm.2 >= self.settings.endpoints.max(2)
    }

    fn call(&mut self, id: CallId) -> Option<&mut Call> {
        self.calls.iter_mut().find(|call| call.id == id)
    }

    fn take(&mut self, id: CallId) -> Option<Call> {
        let place = self.calls.iter().position(|call| call.id == id)?;
        Some(self.calls.remove(place))
    }

    /// Guards against taking the own machine's pause for a silent registry: answers may lie in the sockets.
    fn allow_for_standstill(&mut self, now: Duration) {
        let Some(late) = self.next_wake().and_then(|wake| now.checked_sub(wake)) else { return };
        if late <= JUMP {
            return;
        }
        for call in &mut self.calls {
            call.spoke_at = now;
            call.probed_at = call.probed_at.map(|_| now);
            call.must_reach = None;
        }
        self.doubt(now, Cause::ProcessPaused);
        self.trouble_since = Some(now);
    }

    /// A call has come to nothing.
    fn lost(&mut self, now: Duration, call: &Call, cause: Cause) {
        if call.query == Query::RevisionCheck {
            self.confirm.2 += 1;
            if self.is_unconfirmed() {
                self.doubt(now, Cause::RevisionCheckFailed);
            }
            return;
        }
        self.failures = self.failures.saturating_add(1);
        self.good = 0;
        if matches!(call.query, Query::Range { .. }) {
            self.reading = None;
        }
        self.next_endpoint(call.endpoint);
        self.doubt(now, cause);
        if !self.is_followed() {
            let pause = self.pause();
            self.due_by(now + pause);
        }
    }

    fn failed(&mut self, now: Duration, id: CallId, failure: Failure, actions: &mut Vec<Action>) {
        let Some(call) = self.take(id) else { return };
        let reading = matches!(call.query, Query::Range { .. });
        match failure {
            Failure::Compacted => return self.compacted(now, actions),
            Failure::TooLong if reading && self.page > PAGE_LEAST => {
                self.page = (self.page / 2).max(PAGE_LEAST);
                self.reading = None;
                self.endpoint = call.endpoint;
                return self.due_by(now);
            }
            _ => {}
        }
        self.counts.failed += 1;
        self.lost(now, &call, Cause::Failed(failure));
    }

    /// What was asked for is no longer there: all is read again.
    fn compacted(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.counts.compactions += 1;
        self.outrun = self.outrun.saturating_add(1);
        self.read = true;
        self.reading = None;
        self.doubt(now, Cause::Cancelled);
        actions.push(Action::Note(Note::Compacted));
        // Guards against reading without end where compactions are faster than reads.
        let pause = if self.outrun < OUTRUN {
            Duration::ZERO
        } else {
            self.failures = self.failures.max(self.settings.endpoints as u32 * self.outrun.min(16));
            self.pause()
        };
        self.due_by(now + pause);
    }

    fn cancelled(&mut self, now: Duration, id: CallId, compacted: bool, actions: &mut Vec<Action>) {
        let Some(call) = self.take(id) else { return };
        // One that was begun before the copy moved on says nothing of where it stands now.
        if compacted && call.held == self.revision {
            return self.compacted(now, actions);
        }
        self.counts.failed += 1;
        self.lost(now, &call, Cause::Cancelled);
    }

    // ---- Whole reads

    fn page(
        &mut self,
        now: Duration,
        id: CallId,
        header: Header,
        entries: Vec<(Vec<u8>, Vec<u8>)>,
        more: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(call) = self.take(id) else { return };
        let Query::Range { allow_stale, .. } = call.query else {
            return self.confirmed(now, call.held, header, actions);
        };
        self.note_answer(now - call.spoke_at);
        let mut reading = match self.reading.take() {
            Some(reading) if reading.header.cluster == header.cluster => reading,
            // The cluster was replaced between two pages.
            Some(_) => return self.due_by(now),
            None => Reading { header, entries: BTreeMap::new() },
        };
        let last = entries.last().map(|(key, _)| key.clone());
        let value_most = self.settings.max_value_bytes;
        reading.entries.extend(entries.into_iter().map(|(key, value)| (key, bounded(value, value_most))));
        let full = reading.entries.len() > self.settings.max_keys;
        if more && !full {
            if let Some(after) = last {
                let (limit, revision) = (self.page, Some(reading.header.revision));
                self.reading = Some(reading);
                let query = Query::Range { after: Some(after), revision, limit, allow_stale };
                return self.begin(now, call.endpoint, query, actions);
            }
        }
        self.over = full;
        while reading.entries.len() > self.settings.max_keys {
            reading.entries.pop_last();
            self.counts.over_limit += 1;
        }
        if full {
            actions.push(Action::Note(Note::TooManyKeys));
        }
        let Reading { header, entries } = reading;
        if !self.is_to_be_taken(now, &call, header, !allow_stale, actions) {
            return;
        }
        self.replace(header, entries, actions);
        // Guards against changes of a cluster that has been replaced or put back: no older watch speaks any more.
        self.abort(|call| call.query != Query::RevisionCheck, actions);
        // Changes from the next revision on, at the endpoint that has just shown what it has.
        self.endpoint = call.endpoint;
        self.due = None;
        self.next(now, actions);
    }

    /// Whether a whole state counts, by its cluster and revision.
    fn is_to_be_taken(
        &mut self,
        now: Duration,
        call: &Call,
        header: Header,
        agreed: bool,
        actions: &mut Vec<Action>,
    ) -> bool {
        if self.is_another(header) {
            actions.push(Action::Note(Note::Replaced { from: self.cluster, to: header.cluster }));
            self.doubt(now, Cause::Replaced);
            return true;
        }
        let Some(held) = self.revision.filter(|held| header.revision < *held) else { return true };
        if call.held.is_none_or(|then| header.revision >= then) {
            // A watch beside it has moved the copy on meanwhile.
            self.failures = self.failures.saturating_add(1);
            self.next_endpoint(call.endpoint);
            let pause = self.pause();
            self.due_by(now + pause);
            return false;
        }
        // One endpoint may be behind. What the cluster agrees on, or each endpoint says alike, is believed.
        self.older += 1;
        if agreed || self.older > self.settings.endpoints {
            actions.push(Action::Note(Note::RevisionWentBack { from: held, to: header.revision }));
            self.doubt(now, Cause::RevisionWentBack);
            return true;
        }
        self.counts.behind += 1;
        self.lost(now, call, Cause::Behind);
        false
    }

    /// Whether another cluster answers than the one that is followed; 0 is one that tells none.
    fn is_another(&self, header: Header) -> bool {
        header.cluster != self.cluster && header.cluster != 0 && self.cluster != 0
    }

    /// The copy is this from now on; the difference is handed on.
    fn replace(&mut self, header: Header, entries: BTreeMap<Vec<u8>, Value>, actions: &mut Vec<Action>) {
        self.counts.full_reads += 1;
        self.read = false;
        self.cluster = header.cluster;
        let first = self.revision.is_none();
        let deleted: Vec<Vec<u8>> =
            self.held.keys().filter(|key| !entries.contains_key(*key)).cloned().collect();
        let put: Vec<Entry> = entries
            .iter()
            .filter(|(key, value)| self.held.get(*key) != Some(value))
            .map(|(key, value)| Entry { key: key.clone(), value: value.clone() })
            .collect();
        self.held = entries;
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

    /// The true revision: the watch must come up to it.
    fn confirmed(&mut self, now: Duration, then: Option<u64>, header: Header, actions: &mut Vec<Action>) {
        self.confirm.2 = 0;
        let other = self.is_another(header);
        // Guards against taking an answer for older than the copy that was overtaken by changes on its way.
        if other || then.is_some_and(|then| header.revision < then) {
            // Another cluster, or one that was put back: the whole read settles it.
            self.read = true;
            self.older = self.settings.endpoints;
            self.doubt(now, if other { Cause::Replaced } else { Cause::RevisionWentBack });
            return self.due_by(now);
        }
        let by = now + self.settings.max_lag;
        for call in self.calls.iter_mut().filter(|call| call.open && call.is_watch()) {
            if call.told < header.revision {
                // Guards against a deadline that moves on with each confirmation, and is never met.
                call.must_reach.get_or_insert((header.revision, by));
                if call.probed_at.is_none() {
                    call.probe(now, &mut self.counts, actions);
                }
            }
        }
    }

    // ---- Watches

    /// Whether an answer on a watch comes of the cluster that is followed.
    fn is_of_this(&mut self, now: Duration, id: CallId, header: Header, actions: &mut Vec<Action>) -> bool {
        let Some(call) = self.call(id) else { return false };
        call.spoke_at = now;
        if !self.is_another(header) {
            return true;
        }
        self.abort(|call| call.id == id, actions);
        self.read = true;
        self.doubt(now, Cause::Replaced);
        self.due_by(now);
        false
    }

    fn opened(&mut self, now: Duration, id: CallId, header: Header, actions: &mut Vec<Action>) {
        if !self.is_of_this(now, id, header, actions) {
            return;
        }
        let lag = self.settings.max_lag;
        let Some(call) = self.calls.iter_mut().find(|call| call.id == id) else { return };
        let Query::Watch { from } = call.query else { return };
        call.open = true;
        call.left = false;
        // It proves itself by its progress: open, it may still be silent, or behind.
        call.must_reach = Some((from - 1, now + lag));
        call.probe(now, &mut self.counts, actions);
    }

    fn changed(
        &mut self,
        now: Duration,
        id: CallId,
        header: Header,
        edits: Vec<Edit>,
        fragment: bool,
        actions: &mut Vec<Action>,
    ) {
        if !self.is_of_this(now, id, header, actions) {
            return;
        }
        let change_most = self.settings.max_change_bytes;
        let Some(call) = self.call(id) else { return };
        let bytes: usize =
            edits.iter().map(|edit| edit.key.len() + edit.value.as_ref().map_or(0, Vec::len)).sum();
        call.pieces.0.extend(edits);
        call.pieces.1 += bytes;
        if call.pieces.1 > change_most {
            // It comes in pages, then.
            let call = self.take(id).expect("it is there");
            actions.push(Action::Abort(id));
            self.read = true;
            return self.lost(now, &call, Cause::Failed(Failure::TooLong));
        }
        if fragment {
            return;
        }
        let (edits, _) = std::mem::take(&mut call.pieces);
        call.has_told(edits.last().map_or(0, |edit| edit.revision));
        self.edit(edits, actions);
    }

    /// Applies what is newer than the copy, as one change.
    fn edit(&mut self, edits: Vec<Edit>, actions: &mut Vec<Action>) {
        let Some(held) = self.revision else { return };
        let last = edits.last().map_or(held, |edit| edit.revision);
        if last <= held {
            self.counts.already_applied += edits.len() as u64;
            return;
        }
        // By its last change only: what was put and deleted in between never stood in the copy.
        let mut latest = BTreeMap::new();
        for edit in edits {
            if edit.revision <= held {
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
                    if self.held.remove(&key).is_some() {
                        deleted.push(key);
                    }
                }
                Some(value) => {
                    let value = bounded(value, self.settings.max_value_bytes);
                    if self.held.len() >= self.settings.max_keys && !self.held.contains_key(&key) {
                        if !std::mem::replace(&mut self.over, true) {
                            actions.push(Action::Note(Note::TooManyKeys));
                        }
                        self.counts.over_limit += 1;
                        continue;
                    }
                    self.held.insert(key.clone(), value.clone());
                    put.push(Entry { key, value });
                }
            }
        }
        if self.over && !deleted.is_empty() {
            // There is room again for what had none.
            self.over = false;
            self.read = true;
            self.due_by(Duration::ZERO);
        }
        self.revision = Some(last);
        if !put.is_empty() || !deleted.is_empty() {
            actions.push(Action::Apply(Change { revision: last, from_full_read: false, put, deleted }));
        }
    }

    /// A watch has told everything up to a revision: all of that is in the copy.
    fn progress(&mut self, now: Duration, id: CallId, header: Header, actions: &mut Vec<Action>) {
        if !self.is_of_this(now, id, header, actions) {
            return;
        }
        let held = self.revision.unwrap_or(0);
        let Some(call) = self.call(id) else { return };
        if let Some(at) = call.probed_at.take() {
            self.time(now.saturating_sub(at));
        }
        let Some(call) = self.call(id) else { return };
        call.has_told(header.revision);
        // Behind the copy, or behind what the cluster has: it speaks, and proves nothing.
        if header.revision < held || call.must_reach.is_some() || !call.pieces.0.is_empty() {
            return;
        }
        self.revision = Some(header.revision);
        if self.read {
            // What is read anew proves it, or not.
            return;
        }
        self.prove(now, id, actions);
    }

    // ---- Blocking queries

    fn whole(
        &mut self,
        now: Duration,
        id: CallId,
        header: Header,
        entries: Vec<(Vec<u8>, Vec<u8>)>,
        leader_contact: Option<Duration>,
        actions: &mut Vec<Action>,
    ) {
        let Some(call) = self.take(id) else { return };
        let Query::Blocking { allow_stale, index, wait, .. } = call.query else { return };
        if index == 0 {
            self.note_answer(now - call.spoke_at);
        }
        if leader_contact.is_none_or(|leader_contact| leader_contact > self.settings.max_lag) {
            // A member without a leader, or far from it, does not know better than the copy.
            self.counts.behind += 1;
            return self.lost(now, &call, Cause::Behind);
        }
        // An index of 0 would make the next query return at once, for ever.
        let header = Header { revision: header.revision.max(1), ..header };
        if !self.is_to_be_taken(now, &call, header, !allow_stale, actions) {
            return;
        }
        let news = self.revision != Some(header.revision);
        let mut held = BTreeMap::new();
        for (key, value) in entries {
            if held.len() >= self.settings.max_keys {
                self.counts.over_limit += 1;
                continue;
            }
            held.insert(key, bounded(value, self.settings.max_value_bytes));
        }
        self.replace(header, held, actions);
        self.good = self.good.saturating_add(1);
        self.endpoint = call.endpoint;
        self.prove(now, id, actions);
        // Guards against a registry that answers at once though it has no news.
        let early = !news && index > 0 && now < call.spoke_at + wait / 2;
        let apart = if early { self.settings.min_wait } else { BLOCK_APART };
        self.due = Some(now.max(call.spoke_at + apart));
    }
}

fn bounded(value: Vec<u8>, most: usize) -> Value {
    match value.len() {
        long if long > most => Value::TooLong(long),
        _ => Value::Whole(value),
    }
}
