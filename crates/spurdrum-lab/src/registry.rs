//! Many nodes that follow one registry by watches or blocking queries, through its faults.
//!
//! Each node is the real follower, mapper and reconciler; the registry is the stand-ins' model. What is left out: bytes on
//! their way (a message takes the same time whatever its length), connections (a call is either heard or not), the time
//! that a node or an endpoint takes for its work.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use hdrhistogram::Histogram;
use spurdrum_sources::follower::Freshness;
use spurdrum_sources::reconciler::{self, Reconciler};
use spurdrum_sources::registry::follower::{
    Action, CallId, Counts, Edit, Event, Failure, Follower, Header, Interface, Query, Settings, Value,
};
use spurdrum_sources::registry::schema::{Mapper, Schema};
use spurdrum_sources::Phase;
use spurdrum_standin::registry::model::Registry;

use crate::agenda::Agenda;

/// The longest time that is told apart, in microseconds.
const HOUR_US: u64 = 3_600_000_000;
/// One way through the network, and by how much it varies.
const WAY: Duration = Duration::from_micros(500);
/// What a message has beside keys and values, about: its header, lengths and tags.
const MESSAGE: usize = 40;
const PER_KEY: usize = 24;
/// A server that leaves is deleted, and its successor put, so long after.
const LEAVES: Duration = Duration::from_millis(300);
/// After the last change it is quiet for so long.
const QUIET: Duration = Duration::from_secs(20);

/// What is wrong with the registry.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Streams and calls that break, a second and node.
    pub breaks: f64,
    /// Those that are never heard of again, a second and node.
    pub deaf: f64,
    /// A node whose calls broke can reach nobody for so long.
    pub outage: Duration,
    /// Compactions up to what all endpoints have, a second.
    pub compactions: f64,
    /// Pauses of an endpoint a minute, and their length.
    pub pauses: (f64, Duration),
    /// By how much the second endpoint is behind the first, the third behind the second, and so on.
    pub lag: Duration,
    /// The first endpoint is cut off from the others from here to there.
    pub cut: Option<(Duration, Duration)>,
    /// No endpoint can be reached from here to there.
    pub away: Option<(Duration, Duration)>,
    /// All servers but one are replaced while it is away, and all history is forgotten.
    pub changed_while_away: bool,
    /// At this time it is put back to what it was so long before.
    pub put_back: Option<(Duration, Duration)>,
    /// At this time another cluster with the same keys is in its place.
    pub replaced: Option<Duration>,
}

/// An experiment.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Nodes.
    pub nodes: usize,
    /// Endpoints of the registry.
    pub endpoints: usize,
    /// Servers in it.
    pub servers: usize,
    /// Drives all that is random.
    pub seed: u64,
    /// How long it lasts; the last 20 s are quiet.
    pub length: Duration,
    /// One server is replaced this often.
    pub every: Duration,
    /// How nodes follow; nodes and endpoints are filled in.
    pub settings: Settings,
    /// What is wrong.
    pub faults: Faults,
    /// Whether every state shown is compared with the registry's: slow with many servers.
    pub check: bool,
}

/// What came of it.
pub struct Outcome {
    /// From a change to a node's knowing, in microseconds: over all changes and nodes...
    pub behind: Histogram<u64>,
    /// ...and where the node was told nothing wrong: no fault befell it in between, or up to a second before.
    pub connected: Histogram<u64>,
    /// What no follower may do, in words.
    pub wrong: Vec<String>,
    /// What the nodes did.
    pub counts: Vec<Counts>,
    /// Views at the end.
    pub views: Vec<Freshness>,
    /// Messages to the registry, and bytes from it.
    pub messages: u64,
    /// See `messages`.
    pub bytes: u64,
    /// Changes of the registry.
    pub commits: u64,
    /// Changes of the lists that nodes handed on.
    pub applied: u64,
}

impl Outcome {
    /// Milliseconds within which a part of the changes was known.
    pub fn within_ms(&self, part: f64) -> f64 {
        self.behind.value_at_quantile(part) as f64 / 1e3
    }
}

enum What {
    Commit,
    Successor {
        id: String,
        at: u32,
    },
    Advance {
        endpoint: usize,
        revision: u64,
        epoch: u32,
    },
    /// The leader has something new for those who ask it.
    Led,
    Tick(usize),
    Arrive {
        node: usize,
        call: CallId,
        endpoint: usize,
        query: Query,
    },
    Probe {
        node: usize,
        call: CallId,
    },
    Wait {
        node: usize,
        call: CallId,
    },
    Hear {
        node: usize,
        call: CallId,
        event: Event,
    },
    Break {
        node: usize,
        deaf: bool,
    },
    Compact,
    Pause,
    Away(bool),
    PutBack,
    Replace,
}

/// A call as its endpoint has it.
struct Stream {
    endpoint: usize,
    query: Query,
    /// The next revision that it is told.
    next: u64,
    /// Messages keep their order.
    heard_at: Duration,
    deaf: bool,
}

struct Node {
    follower: Follower,
    mapper: Mapper,
    reconciler: Reconciler,
    wakes_at: Option<Duration>,
    /// Commits that it knows, in the registry's present epoch.
    known: usize,
    /// When something last befell it.
    troubled_at: Option<Duration>,
    /// It can reach nobody until then.
    outage_until: Duration,
}

struct World {
    plan: Plan,
    now: Duration,
    queue: Agenda<Duration, What>,
    random: fastrand::Rng,
    registry: Registry,
    /// How often the registry was put back or replaced.
    epoch: u32,
    /// Earlier states of it, for putting it back.
    earlier: Vec<(Duration, Registry)>,
    views: Vec<u64>,
    paused_until: Vec<Duration>,
    away: bool,
    streams: BTreeMap<(usize, CallId), Stream>,
    nodes: Vec<Node>,
    /// Servers that are there, with the number of their next start.
    servers: Vec<String>,
    last_server: usize,
    /// Commits of this epoch: when, and which revision.
    commits: Vec<(Duration, u64)>,
    /// The hash of each state that the registry ever had.
    states: HashMap<(u64, u64), HashSet<u64>>,
    deleted: HashSet<String>,
    /// Ends of a trouble that befalls all nodes.
    troubled_until: Duration,
    outcome: Outcome,
}

/// Plays it.
pub fn play(plan: &Plan) -> Outcome {
    let histogram = || Histogram::new_with_max(HOUR_US, 3).expect("three digits");
    let mut world = World {
        now: Duration::ZERO,
        queue: Agenda::default(),
        random: fastrand::Rng::with_seed(plan.seed),
        registry: Registry::new(7),
        epoch: 0,
        earlier: Vec::new(),
        views: vec![1; plan.endpoints],
        paused_until: vec![Duration::ZERO; plan.endpoints],
        away: false,
        streams: BTreeMap::new(),
        nodes: Vec::new(),
        servers: Vec::new(),
        last_server: 0,
        commits: Vec::new(),
        states: HashMap::new(),
        deleted: HashSet::new(),
        troubled_until: Duration::ZERO,
        outcome: Outcome {
            behind: histogram(),
            connected: histogram(),
            wrong: Vec::new(),
            counts: Vec::new(),
            views: Vec::new(),
            messages: 0,
            bytes: 0,
            commits: 0,
            applied: 0,
        },
        plan: plan.clone(),
    };
    world.run();
    world.outcome
}

fn key(id: &str) -> Vec<u8> {
    format!("/spurdrum/servers/{id}").into_bytes()
}

fn value(number: usize, phase: &str) -> Vec<u8> {
    let (host, port) = (number / 50_000 + 1, number % 50_000 + 1024);
    format!(
        r#"{{"address":"127.0.{}.{}:{port}","zone":"a","kind":"m","phase":"{phase}","started_ms":{}}}"#,
        host / 250,
        host % 250 + 1,
        1_000_000 + number
    )
    .into_bytes()
}

fn hash_of<'k>(entries: impl Iterator<Item = (&'k [u8], &'k [u8])>) -> u64 {
    let mut hasher = DefaultHasher::new();
    entries.for_each(|entry| entry.hash(&mut hasher));
    hasher.finish()
}

impl World {
    fn run(&mut self) {
        let plan = self.plan.clone();
        let first: Vec<_> = (0..plan.servers).map(|_| self.another()).collect();
        self.registry.commit(&first);
        self.views = vec![self.registry.revision(); plan.endpoints];
        self.note_state();
        for node_index in 0..plan.nodes {
            let settings = Settings {
                nodes: plan.nodes,
                node_index,
                endpoints: plan.endpoints,
                ..plan.settings.clone()
            };
            let follower = Follower::new(settings, plan.seed ^ node_index as u64).expect("sound settings");
            let mapper = Mapper::new(Schema::default().compile().expect("sound"));
            let reconciler = Reconciler::new(reconciler::Settings::default(), 1, 1e12).expect("sound");
            let node = Node {
                follower,
                mapper,
                reconciler,
                wakes_at: None,
                known: 0,
                troubled_at: None,
                outage_until: Duration::ZERO,
            };
            self.nodes.push(node);
            self.after(Duration::ZERO, What::Tick(node_index));
            for (rate, deaf) in [(plan.faults.breaks, false), (plan.faults.deaf, true)] {
                self.after_random(rate, What::Break { node: node_index, deaf });
            }
        }
        self.after(plan.every, What::Commit);
        self.after_random(plan.faults.compactions, What::Compact);
        self.after_random(plan.faults.pauses.0 / 60.0, What::Pause);
        if let Some((from, to)) = plan.faults.away {
            self.after(from, What::Away(true));
            self.after(to, What::Away(false));
        }
        if let Some((at, _)) = plan.faults.put_back {
            self.after(at, What::PutBack);
        }
        if let Some(at) = plan.faults.replaced {
            self.after(at, What::Replace);
        }
        while let Some((at, what)) = self.queue.take() {
            if at > plan.length {
                break;
            }
            self.now = at;
            self.happen(what);
        }
        self.finish();
    }

    fn after(&mut self, time: Duration, what: What) {
        self.queue.plan(self.now + time, what);
    }

    /// As a Poisson process of so many a second has its next.
    fn after_random(&mut self, rate: f64, what: What) {
        if rate > 0.0 && self.now < self.plan.length.saturating_sub(QUIET) {
            let gap = -(1.0 - self.random.f64()).ln() / rate;
            self.after(Duration::from_secs_f64(gap.min(1e6)), what);
        }
    }

    fn way(&mut self) -> Duration {
        WAY.mul_f64(0.75 + 0.5 * self.random.f64())
    }

    fn header(&self, revision: u64) -> Header {
        Header { cluster: self.registry.cluster, revision }
    }

    // ---- The registry

    fn another(&mut self) -> (Vec<u8>, Option<Vec<u8>>, i64) {
        self.last_server += 1;
        let id = format!("s{}", self.last_server);
        self.servers.push(id.clone());
        (key(&id), Some(value(self.last_server, "active")), 0)
    }

    fn note_state(&mut self) {
        if self.plan.check {
            let revision = self.registry.revision();
            let state = self.registry.state(revision);
            let hash = hash_of(state.iter().map(|(key, value)| (key.as_slice(), value.as_slice())));
            self.states.entry((self.registry.cluster, revision)).or_default().insert(hash);
        }
    }

    fn committed(&mut self) {
        let revision = self.registry.revision();
        self.outcome.commits += 1;
        self.commits.push((self.now, revision));
        self.note_state();
        if self.plan.faults.put_back.is_some() {
            self.earlier.push((self.now, self.registry.clone()));
        }
        for endpoint in 0..self.plan.endpoints {
            let lag = self.plan.faults.lag * endpoint as u32;
            let epoch = self.epoch;
            self.after(lag, What::Advance { endpoint, revision, epoch });
        }
        if self.plan.settings.interface == Interface::BlockingQueries && !self.plan.settings.allow_stale {
            self.after(Duration::ZERO, What::Led);
        }
    }

    /// The revision as of which a blocking query is answered: the leader's, or what the endpoint has.
    fn answers_as_of(&self, stream: &Stream) -> u64 {
        match stream.query {
            Query::Blocking { allow_stale: false, .. } => self.registry.revision(),
            _ => self.views[stream.endpoint],
        }
    }

    fn is_cut(&self, endpoint: usize) -> bool {
        endpoint == 0 && self.plan.faults.cut.is_some_and(|(from, to)| from <= self.now && self.now < to)
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Commit => {
                let wants = self.now + self.plan.every < self.plan.length.saturating_sub(QUIET);
                if wants {
                    self.after(self.plan.every, What::Commit);
                }
                if self.away || self.servers.is_empty() {
                    return;
                }
                let at = self.random.usize(..self.servers.len());
                let id = self.servers.swap_remove(at);
                let number: usize = id[1..].parse().expect("a number");
                self.registry.commit(&[(key(&id), Some(value(number, "leaving")), 0)]);
                self.committed();
                let epoch = self.epoch;
                self.after(LEAVES, What::Successor { id, at: epoch });
            }
            What::Successor { id, at } => {
                if at == self.epoch && !self.away {
                    let successor = self.another();
                    self.registry.commit(&[(key(&id), None, 0), successor]);
                    self.deleted.insert(id);
                    self.committed();
                } else if at == self.epoch {
                    self.after(LEAVES, What::Successor { id, at });
                }
            }
            What::Advance { endpoint, revision, epoch } => {
                if epoch != self.epoch || self.is_cut(endpoint) {
                    return;
                }
                self.views[endpoint] = self.views[endpoint].max(revision);
                let open: Vec<_> = (self.streams.iter())
                    .filter(|(_, stream)| stream.endpoint == endpoint)
                    .map(|(at, _)| *at)
                    .collect();
                for (node, call) in open {
                    self.push(node, call);
                }
            }
            What::Led => {
                let open: Vec<_> = self.streams.keys().copied().collect();
                for (node, call) in open {
                    self.push(node, call);
                }
            }
            What::Tick(node) => {
                if self.nodes[node].wakes_at.is_none_or(|at| at <= self.now) {
                    self.nodes[node].wakes_at = None;
                    self.tell(node, Event::Tick);
                }
            }
            What::Arrive { node, call, endpoint, query } => self.arrive(node, call, endpoint, query),
            What::Probe { node, call } => {
                let Some(stream) = self.streams.get(&(node, call)) else { return };
                let header = self.header(self.views[stream.endpoint]);
                self.push(node, call);
                self.say(node, call, Event::Progress { call, header }, MESSAGE);
            }
            What::Wait { node, call } => {
                if self.streams.contains_key(&(node, call)) {
                    self.answer(node, call);
                }
            }
            What::Hear { node, call, event } => {
                let last =
                    !matches!(event, Event::Opened { .. } | Event::Changed { .. } | Event::Progress { .. });
                if self.streams.contains_key(&(node, call)) {
                    if last {
                        self.streams.remove(&(node, call));
                    }
                    self.tell(node, event);
                }
            }
            What::Break { node, deaf } => {
                let rate = if deaf { self.plan.faults.deaf } else { self.plan.faults.breaks };
                self.after_random(rate, What::Break { node, deaf });
                let until = if deaf { self.now } else { self.now + self.plan.faults.outage };
                self.nodes[node].troubled_at = Some(until);
                self.nodes[node].outage_until = until;
                let calls: Vec<_> = self
                    .streams
                    .range((node, CallId(0))..=(node, CallId(u64::MAX)))
                    .map(|(at, _)| *at)
                    .collect();
                for (node, call) in calls {
                    if deaf {
                        self.streams.get_mut(&(node, call)).expect("there").deaf = true;
                    } else {
                        self.after(
                            Duration::ZERO,
                            What::Hear {
                                node,
                                call,
                                event: Event::Failed { call, failure: Failure::ConnectionLost },
                            },
                        );
                    }
                }
            }
            What::Compact => {
                self.after_random(self.plan.faults.compactions, What::Compact);
                let all = self.views.iter().copied().min().unwrap_or(0);
                self.registry.compact(all);
            }
            What::Pause => {
                self.after_random(self.plan.faults.pauses.0 / 60.0, What::Pause);
                let endpoint = self.random.usize(..self.plan.endpoints);
                let until = self.now + self.plan.faults.pauses.1;
                self.paused_until[endpoint] = until;
                self.troubled_until = self.troubled_until.max(until);
            }
            What::Away(away) => {
                self.away = away;
                self.troubled_until = Duration::MAX;
                if away {
                    return self.break_all();
                }
                if self.plan.faults.changed_while_away {
                    self.change_all();
                }
            }
            What::PutBack => {
                let (_, before) = self.plan.faults.put_back.expect("it is planned");
                let at = self.now.saturating_sub(before);
                let old = self.earlier.iter().rev().find(|(then, _)| *then <= at).map(|(_, old)| old.clone());
                if let Some(old) = old {
                    self.begin_anew(old);
                }
            }
            What::Replace => {
                let mut other = Registry::new(self.registry.cluster + 1);
                let state = self.registry.state(self.registry.revision());
                other
                    .commit(&state.into_iter().map(|(key, value)| (key, Some(value), 0)).collect::<Vec<_>>());
                self.begin_anew(other);
            }
        }
    }

    fn break_all(&mut self) {
        let calls: Vec<_> = self.streams.keys().copied().collect();
        for (node, call) in calls {
            self.after(
                Duration::ZERO,
                What::Hear { node, call, event: Event::Failed { call, failure: Failure::ConnectionLost } },
            );
        }
    }

    fn begin_anew(&mut self, registry: Registry) {
        self.registry = registry;
        self.epoch += 1;
        self.commits.clear();
        self.earlier.clear();
        self.troubled_until = Duration::MAX;
        for node in &mut self.nodes {
            node.known = 0;
        }
        let state = self.registry.state(self.registry.revision());
        self.servers = state.keys().map(|key| String::from_utf8_lossy(&key[18..]).into_owned()).collect();
        self.deleted.clear();
        self.views = vec![self.registry.revision(); self.plan.endpoints];
        self.note_state();
        self.break_all();
    }

    /// Everything but one server is another, and no history is left.
    fn change_all(&mut self) {
        let old: Vec<String> = self.servers.drain(1..).collect();
        let mut changes: Vec<_> = old.iter().map(|id| (key(id), None, 0)).collect();
        for _ in 0..old.len() {
            changes.push(self.another());
        }
        self.registry.commit(&changes);
        self.deleted.extend(old);
        self.committed();
        self.registry.compact(self.registry.revision());
    }

    // ---- Endpoints

    /// Says something on a call, in its order.
    fn say(&mut self, node: usize, call: CallId, event: Event, bytes: usize) {
        let way = self.way();
        let now = self.now;
        let Some(stream) = self.streams.get_mut(&(node, call)) else { return };
        if stream.deaf {
            return;
        }
        let spoken = now.max(self.paused_until[stream.endpoint]);
        stream.heard_at = stream.heard_at.max(spoken + way);
        let wait = stream.heard_at - now;
        self.outcome.bytes += bytes as u64;
        self.after(wait, What::Hear { node, call, event });
    }

    fn arrive(&mut self, node: usize, call: CallId, endpoint: usize, query: Query) {
        if self.away || self.now < self.nodes[node].outage_until {
            let stream = Stream { endpoint, query, next: 0, heard_at: self.now, deaf: false };
            self.streams.insert((node, call), stream);
            return self.say(node, call, Event::Failed { call, failure: Failure::Unreachable }, 0);
        }
        let stream = Stream { endpoint, query: query.clone(), next: 0, heard_at: self.now, deaf: false };
        self.streams.insert((node, call), stream);
        let view = self.views[endpoint];
        match query {
            Query::Range { after, revision, limit, allow_stale } => {
                if !allow_stale && self.is_cut(endpoint) {
                    return;
                }
                let now = if allow_stale { view } else { self.registry.revision() };
                let from = after.map_or(b"/spurdrum/servers/".to_vec(), |mut after| {
                    after.push(0);
                    after
                });
                let found = self.registry.range(
                    &from,
                    b"/spurdrum/servers0",
                    limit as usize,
                    revision.unwrap_or(now),
                );
                match found {
                    Err(_) => {
                        self.say(node, call, Event::Failed { call, failure: Failure::Compacted }, MESSAGE);
                    }
                    Ok((found, count)) => {
                        let more = found.len() < count;
                        let entries: Vec<_> =
                            found.into_iter().map(|(key, stored)| (key, stored.value)).collect();
                        let bytes = bytes_of(&entries);
                        let header = self.header(now);
                        self.say(node, call, Event::Page { call, header, entries, more }, bytes);
                    }
                }
            }
            Query::Watch { from } => {
                let header = self.header(view);
                self.streams.get_mut(&(node, call)).expect("there").next = from;
                self.say(node, call, Event::Opened { call, header }, MESSAGE);
                self.push(node, call);
            }
            Query::RevisionCheck => {
                if !self.is_cut(endpoint) {
                    let header = self.header(self.registry.revision());
                    self.say(
                        node,
                        call,
                        Event::Page { call, header, entries: Vec::new(), more: false },
                        MESSAGE,
                    );
                }
            }
            Query::Blocking { index, wait, allow_stale } => {
                let here = match (allow_stale, self.is_cut(endpoint)) {
                    (true, _) => view,
                    (false, true) => return,
                    (false, false) => self.registry.revision(),
                };
                if index == 0 || here > index || here < index {
                    return self.answer(node, call);
                }
                let late = 1.0 + self.random.f64() / 16.0;
                self.after(wait.mul_f64(late), What::Wait { node, call });
            }
        }
    }

    /// Tells a stream what it has not been told yet, as far as its endpoint has come.
    fn push(&mut self, node: usize, call: CallId) {
        let Some(stream) = self.streams.get(&(node, call)) else { return };
        let view = self.answers_as_of(stream);
        let is_deaf_to_leader = matches!(stream.query, Query::Blocking { allow_stale: false, .. })
            && self.is_cut(stream.endpoint);
        let Some(stream) = self.streams.get_mut(&(node, call)) else { return };
        match stream.query {
            Query::Blocking { .. } if is_deaf_to_leader => return,
            Query::Blocking { index, .. } if view > index => return self.answer(node, call),
            Query::Watch { .. } if stream.next > 0 && stream.next <= view => {}
            _ => return,
        }
        let changes = self.registry.since(stream.next, view);
        stream.next = view + 1;
        let header = self.header(view);
        match changes {
            Err(_) => self.say(node, call, Event::Cancelled { call, compacted: true }, MESSAGE),
            Ok(changes) => {
                let edits: Vec<Edit> = changes
                    .into_iter()
                    .map(|change| Edit { key: change.key, value: change.value, revision: change.revision })
                    .collect();
                let length = |edit: &Edit| edit.key.len() + edit.value.as_ref().map_or(0, Vec::len) + PER_KEY;
                let bytes = MESSAGE + edits.iter().map(length).sum::<usize>();
                self.say(node, call, Event::Changed { call, header, edits, fragment: false }, bytes);
            }
        }
    }

    fn answer(&mut self, node: usize, call: CallId) {
        let Some(stream) = self.streams.get_mut(&(node, call)) else { return };
        // It is answered once.
        if std::mem::replace(&mut stream.next, u64::MAX) == u64::MAX {
            return;
        }
        let endpoint = stream.endpoint;
        let Some(stream) = self.streams.get(&(node, call)) else { return };
        let revision = self.answers_as_of(stream);
        let leader_contact = if self.is_cut(endpoint) { None } else { Some(Duration::ZERO) };
        let entries: Vec<_> = self.registry.state(revision).into_iter().collect();
        let bytes = bytes_of(&entries);
        let header = Header { cluster: 0, revision };
        self.say(node, call, Event::Snapshot { call, header, entries, leader_contact }, bytes);
    }

    // ---- Nodes

    fn tell(&mut self, n: usize, event: Event) {
        let mut actions = Vec::new();
        self.nodes[n].follower.handle(self.now, event, &mut actions);
        let mut lists = Vec::new();
        for action in actions {
            match action {
                Action::Call { call, endpoint, query } => {
                    self.outcome.messages += 1;
                    let way = self.way();
                    self.after(way, What::Arrive { node: n, call, endpoint, query });
                }
                Action::Probe(call) => {
                    self.outcome.messages += 1;
                    let way = self.way();
                    self.after(way, What::Probe { node: n, call });
                }
                Action::Abort(call) => {
                    self.streams.remove(&(n, call));
                }
                Action::Apply(change) => {
                    self.check_state(n, change.revision);
                    let now = self.now;
                    let node = &mut self.nodes[n];
                    let mapped = node.mapper.map(&change);
                    let update = reconciler::Event::Update {
                        source: 0,
                        complete: false,
                        members: mapped.updated,
                        gone: mapped.gone,
                    };
                    node.reconciler.handle(now, update, &mut lists);
                    self.known(n, change.revision);
                }
                Action::FreshnessChanged { .. } | Action::Note(_) => {}
            }
        }
        self.nodes[n].reconciler.handle(self.now, reconciler::Event::Tick, &mut lists);
        for list in lists {
            let reconciler::Action::Apply(members) = list else { continue };
            self.outcome.applied += members.len() as u64;
            for member in members {
                let number: f64 = member.id[1..].parse().expect("a number");
                if member.up_since_ms != 1_000_000.0 + number {
                    self.wrong(format!("node {n} takes {} for a newcomer", member.id));
                }
                let is_there = self.servers.contains(&member.id);
                if member.phase == Phase::Left && is_there && self.epoch == 0 {
                    self.wrong(format!("node {n} has lost {}, which is there", member.id));
                }
            }
        }
        let node = &mut self.nodes[n];
        let wakes = [node.follower.next_wake(), node.reconciler.next_wake()];
        let wake = wakes.into_iter().flatten().min().unwrap_or(self.now).max(self.now);
        if node.wakes_at.is_none_or(|at| wake < at) {
            node.wakes_at = Some(wake);
            let wait = wake - self.now;
            self.after(wait, What::Tick(n));
        }
    }

    fn wrong(&mut self, what: String) {
        if self.outcome.wrong.len() < 20 {
            self.outcome.wrong.push(format!("{:.3} s: {what}", self.now.as_secs_f64()));
        }
    }

    /// No node may ever show a state that the registry did not have at that revision.
    fn check_state(&mut self, n: usize, revision: u64) {
        if !self.plan.check {
            return;
        }
        let hash = self.held_hash(n);
        let had = self.states.iter().any(|((_, at), hashes)| *at == revision && hashes.contains(&hash));
        if !had {
            self.wrong(format!("node {n} shows a state that never was, as of revision {revision}"));
        }
    }

    fn held_hash(&self, n: usize) -> u64 {
        let value = |value: &'_ Value| match value {
            Value::Whole(value) => value.clone(),
            Value::TooLong(_) => Vec::new(),
        };
        let held: Vec<_> =
            self.nodes[n].follower.copy().iter().map(|(key, held)| (key.clone(), value(held))).collect();
        hash_of(held.iter().map(|(key, value)| (key.as_slice(), value.as_slice())))
    }

    /// A node has come to a revision.
    fn known(&mut self, n: usize, revision: u64) {
        while let Some((at, _)) = self.commits.get(self.nodes[n].known).filter(|(_, to)| *to <= revision) {
            let behind = (self.now - *at).as_micros() as u64;
            let calm = self.nodes[n].troubled_at.is_none_or(|then| then + Duration::from_secs(1) < *at);
            let calm = calm && self.troubled_until.saturating_add(Duration::from_secs(1)) < *at;
            self.outcome.behind.saturating_record(behind);
            if calm {
                self.outcome.connected.saturating_record(behind);
            }
            self.nodes[n].known += 1;
        }
    }

    fn finish(&mut self) {
        let state = self.registry.state(self.registry.revision());
        let expected: Vec<String> =
            state.keys().map(|key| String::from_utf8_lossy(&key[18..]).into_owned()).collect();
        for n in 0..self.nodes.len() {
            let held = self.nodes[n].follower.copy();
            let same = held.len() == state.len()
                && held.iter().zip(&state).all(|((a, held), (b, value))| {
                    a == b && matches!(held, Value::Whole(held) if held == value)
                });
            if !same {
                let at = self.nodes[n].follower.revision();
                self.wrong(format!("node {n} ends at {at:?}, not at {}", self.registry.revision()));
            }
            let mut listed: Vec<String> =
                self.nodes[n].reconciler.list().map(|member| member.id.clone()).collect();
            listed.sort_unstable();
            if listed != expected {
                self.wrong(format!(
                    "node {n} lists {} servers, not the registry's {}",
                    listed.len(),
                    expected.len()
                ));
            }
            let follower = &self.nodes[n].follower;
            self.outcome.views.push(follower.freshness());
            self.outcome.counts.push(follower.counts().clone());
        }
    }
}

fn bytes_of(entries: &[(Vec<u8>, Vec<u8>)]) -> usize {
    MESSAGE + entries.iter().map(|(key, value)| key.len() + value.len() + PER_KEY).sum::<usize>()
}

/// The settings of a registry of this kind.
pub fn settings(interface: Interface, allow_stale: bool) -> Settings {
    Settings { interface, allow_stale, ..Settings::default() }
}

/// Bytes of a whole read of so many servers.
pub fn whole_bytes(servers: usize) -> usize {
    let entries: Vec<_> = (0..servers).map(|n| (key(&format!("s{n}")), value(n, "active"))).collect();
    bytes_of(&entries)
}
