//! The decisions.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use crate::counts::{Counts, Reason};
use crate::peers::{PeerKey, Peers};
use crate::settings::{Settings, Shares, TransferTimeout};
use crate::worth::{kind, Worth};
use crate::{Action, Candidate, ConnId, Event, Level, Limits, State, Verdict};

/// Memory that a connection holds whatever it does: buffers, its task, its entries here. Measured by
/// `benches/idle_connections.rs`.
const BASE: u64 = 20 * 1024;
/// Times are looked at this late, so that many connections share a tick.
const GRAIN: Duration = Duration::from_millis(10);
/// While it is not calm, the level is looked at this often.
const LOOK: Duration = Duration::from_millis(250);
/// So many are closed at once at most where the table is full.
const RELIEF_MOST: usize = 64;
/// Connections closed early are remembered in so many parts of the time that they would have stayed.
const GHOST_SLOTS: usize = 16;
/// Worth below which nothing is kept under the least pressure, and under the most.
const THRESHOLD: (f64, f64) = (0.3, 0.9);

/// Ranks of those that may be shed; lower goes first. Idle ones have a rank for each kind of worth.
const RANK_SILENT: u8 = 0;
const RANK_IDLE: u8 = 1;
const RANK_NEW: u8 = 5;
const RANK_HEAD: u8 = 6;
const RANK_BODY: u8 = 7;

#[derive(Debug)]
struct Conn {
    state: State,
    since: Duration,
    /// From when the time for a request counts: its connection's start for the first, else its first byte.
    start: Duration,
    peer: PeerKey,
    asked: u32,
    /// Bytes that have come, or gone out, in this state.
    bytes: u64,
    memory: u64,
    candidate: Option<Candidate>,
    due: Option<Duration>,
    queued: Option<Duration>,
    /// It has a place only to be refused from.
    lobby: bool,
    /// What comes or goes in this state is longer than is held.
    long: bool,
    /// Time in this state that was not its client's, and since when it is not.
    waited: Duration,
    waits: Option<Duration>,
    /// The next answer is its last.
    last: bool,
    /// Whether it comes back is known already.
    observed: bool,
    /// Whether that tells of all, and not of its peer alone.
    pooled: bool,
    half_closed: bool,
    /// It has been told to close at once and is not counted any more.
    gone: bool,
}

/// Connections that were closed early and would still be open otherwise. Guards against a level that swings:
/// what pressure has closed still counts as pressure until it would have ended by itself.
#[derive(Debug, Default)]
struct Ghosts {
    slots: [usize; GHOST_SLOTS],
    sum: usize,
    turn: u64,
}

impl Ghosts {
    fn turn_to(&mut self, now: Duration, stay: Duration) {
        let turn = (now.div_duration_f64(stay) * GHOST_SLOTS as f64) as u64;
        for passed in 0..(turn.saturating_sub(self.turn)).min(GHOST_SLOTS as u64) {
            let slot = ((self.turn + 1 + passed) % GHOST_SLOTS as u64) as usize;
            self.sum -= std::mem::take(&mut self.slots[slot]);
        }
        self.turn = self.turn.max(turn);
    }

    fn add(&mut self) {
        self.slots[(self.turn % GHOST_SLOTS as u64) as usize] += 1;
        self.sum += 1;
    }
}

/// The one that has been longest in the lowest of these ranks.
fn first_in(set: &BTreeSet<Candidate>, from: u8, to: u8) -> Option<(Duration, ConnId)> {
    let start = |rank| (rank, Duration::ZERO, ConnId(0));
    set.range(start(from)..start(to)).next().map(|(_, since, id)| (*since, *id))
}

/// The decisions on one node's connections.
#[derive(Debug)]
pub struct Admission {
    settings: Settings,
    shares: Shares,
    sockets: usize,
    /// All descriptors in use may be so many: less than `shares.total` while the system has no more.
    total: usize,
    regained: Duration,
    conns: HashMap<ConnId, Conn>,
    candidates: BTreeSet<Candidate>,
    /// Those that are half-closed already, by since when. One that is only chosen for closing may turn out to have
    /// a request on it.
    lingering: BTreeSet<(Duration, ConnId)>,
    dues: BTreeSet<(Duration, ConnId)>,
    peers: Peers,
    worth: Worth,
    counts: Counts,
    lobby: usize,
    servers: usize,
    memory: u64,
    ghosts: Ghosts,
    level: Level,
    level_since: Duration,
    /// Until then somebody with less than a fair share wants a place.
    wanted_until: Duration,
    explored: u32,
    ending: bool,
    passing: bool,
    /// What all descriptors in use may be where another process of this node has the rest.
    part: usize,
    now: Duration,
}

impl Admission {
    /// Budgets for these limits. The error names the setting at fault.
    pub fn new(settings: Settings, limits: Limits) -> Result<Self, (&'static str, String)> {
        settings.validate()?;
        let shares = Shares::new(&settings, &limits);
        Ok(Self {
            total: shares.total,
            regained: Duration::ZERO,
            sockets: limits.sockets,
            shares,
            conns: HashMap::new(),
            candidates: BTreeSet::new(),
            lingering: BTreeSet::new(),
            dues: BTreeSet::new(),
            peers: Peers::new(settings.peers),
            worth: Worth::default(),
            counts: Counts::default(),
            lobby: 0,
            servers: 0,
            memory: 0,
            ghosts: Ghosts::default(),
            level: Level::Calm,
            level_since: Duration::ZERO,
            wanted_until: Duration::ZERO,
            explored: 0,
            ending: false,
            passing: false,
            part: usize::MAX,
            now: Duration::ZERO,
            settings,
        })
    }

    /// Handles an event. Times never run backwards.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) -> Verdict {
        self.now = self.now.max(now);
        self.ghosts.turn_to(self.now, self.settings.idle);
        match event {
            Event::Accepted { id, peer } => {
                let verdict = self.accepted(id, PeerKey::new(peer, self.settings.peer_prefix), actions);
                self.look_at_level(actions);
                return verdict;
            }
            Event::Received { id, bytes } => self.received(id, bytes),
            Event::HeadComplete { id, body } => return self.head(id, body),
            Event::Streaming { id } => self.long(id),
            Event::TransferSuspended { id, suspended } => self.transfer_suspended(id, suspended),
            Event::RequestComplete { id } => self.taken(id),
            Event::ResponseReady { id, bytes, pipelined } => return self.answer(id, bytes, pipelined),
            Event::ResponseProgress { id, bytes } => self.progress(id, State::Writing, bytes),
            Event::ResponseWritten { id } => self.written(id, actions),
            Event::HalfClosed { id } => self.half_closed(id, actions),
            Event::Closed { id } => {
                self.closed(id);
                self.look_at_level(actions);
            }
            Event::ServerConnectionRequested => return self.server_wanted(actions),
            Event::ServerConnectionClosed => self.servers = self.servers.saturating_sub(1),
            Event::ResourcesExhausted => self.starved(actions),
            Event::ShutdownStarted => self.ending = true,
            Event::HandoverStarted => {
                self.passing = true;
                // Its connections go on at the other process, also where that is known only by now.
                self.ending = false;
                actions.extend(self.resting().into_iter().map(Action::HandOver));
            }
            Event::HandoverEnded => self.passing = false,
            Event::DescriptorShare { max } => {
                self.part = max.max(6);
                self.total = self.whole();
            }
            Event::AcceptingStopped => self.none_comes(actions),
            Event::ShutdownImminent => {
                // What rests is on its way to the other process, where there is one.
                if !self.passing {
                    self.none_comes(actions);
                }
                for id in self.in_state(|state| matches!(state, State::Head | State::Body)) {
                    self.expire(id, Reason::Ending, actions);
                }
            }
            Event::Tick => {
                self.tick(actions);
                self.keep_shares(actions);
                self.look_at_level(actions);
                self.relieve(actions);
            }
        }
        Verdict::Nothing
    }

    /// When it wants the next tick.
    pub fn next_wake(&self) -> Option<Duration> {
        let due = self.dues.first().map(|(due, _)| *due + GRAIN);
        let look = (self.level > Level::Calm || self.total < self.whole()).then(|| self.now + LOOK);
        due.into_iter().chain(look).min()
    }

    /// What operators see.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// The present level.
    pub fn level(&self) -> Level {
        self.level
    }

    /// Where a connection stands.
    pub fn state(&self, id: ConnId) -> Option<State> {
        self.conns.get(&id).filter(|conn| !conn.gone).map(|conn| conn.state)
    }

    /// Descriptors that clients and servers use together, and the most they may.
    pub fn descriptor_usage(&self) -> (usize, usize) {
        (self.counts.open() + self.servers, self.shares.total)
    }

    /// Bytes that connections are counted with, and the most that may be promised.
    pub fn memory_usage(&self) -> (u64, u64) {
        (self.memory, self.shares.memory)
    }

    /// Entries in the table of peers.
    pub fn peer_count(&self) -> usize {
        self.peers.len()
    }

    /// Descriptors that clients may hold now, with what the servers don't use.
    pub fn client_limit(&self) -> usize {
        let own = self.shares.clients.min(self.total);
        let lent = self.total.saturating_sub((self.servers + self.headroom()).max(self.shares.server_floor));
        own.max(lent).min(self.total.saturating_sub(self.servers))
    }

    /// Descriptors that connections to servers may hold now, with what clients don't use.
    pub fn server_limit(&self) -> usize {
        let lent =
            self.total.saturating_sub((self.counts.open() + self.headroom()).max(self.shares.client_floor));
        self.shares.servers.min(self.total).max(lent).min(self.total.saturating_sub(self.counts.open()))
    }

    /// What is lent is called back while so many are still free.
    fn headroom(&self) -> usize {
        (self.total / 32).max(2)
    }

    /// Connections that may be served at once.
    fn most(&self) -> usize {
        self.client_limit().saturating_sub(2 * self.shares.lobby).max(1)
    }

    fn serving(&self) -> usize {
        self.counts.open() - self.counts.in_state(State::Closing) - self.lobby
    }

    /// Connections that clients can be expected to hold open here.
    fn expected(&self) -> usize {
        ((self.sockets as f64 * self.settings.clients_hold) as usize).clamp(1, self.most())
    }

    fn fill(&self) -> f64 {
        self.serving() as f64 / self.expected() as f64
    }

    // ---- A connection's way

    fn accepted(&mut self, id: ConnId, peer: PeerKey, actions: &mut Vec<Action>) -> Verdict {
        let mut room = self.has_place();
        if room && self.over_fair_share(peer) {
            // Kept for who has less.
            room = false;
        } else if !room {
            if self.servers > self.shares.servers && self.settings.adaptive {
                actions.push(Action::CloseServerConnection);
            }
            if let Some(victim) = self.victim(Some(peer), RANK_BODY) {
                self.shed(victim, Reason::Shed, actions);
                room = self.has_place();
            } else if self.settings.adaptive && self.peers.open(peer) < self.fair_share() {
                self.wanted_until = self.now + self.settings.coming;
            }
        }
        // Descriptors of closing connections are the first to be taken back.
        if self.counts.open() >= self.client_limit() {
            if let Some((_, oldest)) = self.lingering.first().copied() {
                self.abort(oldest, Reason::Lingered, actions);
            }
        }
        if self.counts.open() >= self.client_limit() || !room && self.lobby >= self.shares.lobby {
            self.count(Reason::Dropped);
            return Verdict::Drop;
        }
        self.memory += BASE;
        self.peers.opened(self.now, peer);
        let conn = Conn {
            state: State::New,
            since: self.now,
            start: self.now,
            peer,
            asked: 0,
            bytes: 0,
            memory: BASE,
            candidate: None,
            due: None,
            queued: None,
            lobby: !room,
            long: false,
            waited: Duration::ZERO,
            waits: None,
            last: false,
            observed: true,
            pooled: false,
            half_closed: false,
            gone: false,
        };
        self.conns.insert(id, conn);
        self.counts.states[State::New as usize] += 1;
        self.lobby += usize::from(!room);
        self.enter(id, State::New);
        if !room {
            return Verdict::Refuse;
        }
        self.keep_shares(actions);
        self.relieve(actions);
        Verdict::Serve
    }

    /// Keeps those that say nothing, and those whose requests are half sent, within their parts of the places: the
    /// oldest go first, and no half-sent one that has just begun.
    fn keep_shares(&mut self, actions: &mut Vec<Action>) {
        if !self.settings.adaptive {
            return;
        }
        let part = |part: f64| ((self.most() as f64 * part) as usize).max(1);
        let (silent, sending) = (part(self.settings.silent_share), part(self.settings.sending_share));
        loop {
            let over = match () {
                () if self.counts.in_state(State::Silent) > silent => {
                    first_in(&self.candidates, RANK_SILENT, RANK_IDLE)
                }
                () if self.counts.in_state(State::Head) + self.counts.in_state(State::Body) > sending => {
                    self.half_sent(&self.candidates, RANK_BODY)
                }
                () => None,
            };
            let Some((_, over)) = over else { return };
            self.shed(over, Reason::Shed, actions);
        }
    }

    /// Whether one more can be served, without anybody's leaving.
    fn has_place(&self) -> bool {
        self.serving() < self.most()
            && self.counts.open() < self.client_limit()
            && self.memory + BASE <= self.memory_most()
    }

    fn fair_share(&self) -> usize {
        // There are two at least where there is anything to share.
        (self.most() / self.peers.active().max(2)).max(1)
    }

    /// The peer that crowds out others, if one does: it has a quarter of all places, and more than a fair share.
    fn crowding(&self) -> Option<PeerKey> {
        let (open, key) =
            self.peers.heaviest().filter(|_| self.settings.adaptive && self.peers.active() > 1)?;
        (open * 4 >= self.most() && open * 4 > self.fair_share() * 5).then_some(key)
    }

    fn over_fair_share(&self, peer: PeerKey) -> bool {
        self.settings.adaptive && self.now < self.wanted_until && self.peers.open(peer) >= self.fair_share()
    }

    /// Under pressure, closes the first of those that are worth too little: one for each that comes, and where
    /// the table is full as many as it takes.
    /// Guards against waiting for clients to come: where they hold all that they can, none comes any more.
    fn relieve(&mut self, actions: &mut Vec<Action>) {
        let most = match self.level {
            Level::Calm => return,
            Level::Pressed => 1,
            Level::Full => RELIEF_MOST,
        };
        for _ in 0..most {
            if self.fill() < self.settings.pressed_at {
                return;
            }
            let Some(victim) = self.victim(None, RANK_NEW - 1) else { return };
            let conn = &self.conns[&victim];
            if conn.state == State::Idle && self.worth(conn) >= self.threshold() {
                return;
            }
            self.shed(victim, Reason::Shed, actions);
        }
    }

    /// The first to be shed, up to a rank. Where one peer holds more than the one who wants a place, it is one
    /// of that peer's, and none where that has none.
    fn victim(&self, wants: Option<PeerKey>, up_to: u8) -> Option<ConnId> {
        // Who wants a place may have none yet.
        let others = |key| self.peers.active() > 1 || wants.is_some_and(|wants| wants != key);
        let heaviest = self.peers.heaviest().filter(|(_, key)| self.settings.adaptive && others(*key));
        let heavy = heaviest.filter(|(open, key)| match wants {
            Some(wants) => *key == wants || *open > self.peers.open(wants) + 1,
            None => self.crowding() == Some(*key),
        });
        let own = heavy.and_then(|(_, key)| self.peers.get(key));
        // Who holds the most gives, and gets nobody else's.
        let from = own.map_or(&self.candidates, |peer| &peer.candidates);
        // One that has just come is closed only for somebody who has less.
        let lighter = matches!((heavy, wants), (Some((_, key)), Some(wants)) if key != wants);
        // Whoever they are from, those that say nothing go first.
        first_in(&self.candidates, RANK_SILENT, RANK_IDLE)
            .or_else(|| first_in(from, RANK_IDLE, RANK_NEW))
            .or_else(|| first_in(from, RANK_NEW, RANK_HEAD).filter(|_| lighter && up_to >= RANK_NEW))
            .or_else(|| self.half_sent(from, up_to))
            .map(|(_, id)| id)
    }

    /// The first whose request has been half sent for a while.
    fn half_sent(&self, from: &BTreeSet<Candidate>, up_to: u8) -> Option<(Duration, ConnId)> {
        let old = |(since, _): &(Duration, ConnId)| *since + self.settings.coming <= self.now;
        let ranks = [RANK_HEAD, RANK_BODY].into_iter().filter(|rank| *rank <= up_to);
        ranks.filter_map(|rank| first_in(from, rank, rank + 1)).find(old)
    }

    /// Closes one that owes nothing, or answers one whose request is half sent.
    fn shed(&mut self, id: ConnId, reason: Reason, actions: &mut Vec<Action>) {
        let Some(conn) = self.conns.get(&id) else { return };
        match conn.state {
            State::Head | State::Body => self.expire(id, reason, actions),
            State::New | State::Silent | State::Idle => {
                if conn.state == State::Idle {
                    self.observe(id, false);
                }
                self.ghosts.add();
                self.close(id, reason, actions);
            }
            State::Waiting | State::Writing | State::Closing => {}
        }
    }

    fn close(&mut self, id: ConnId, reason: Reason, actions: &mut Vec<Action>) {
        self.count(reason);
        self.enter(id, State::Closing);
        actions.push(Action::Close(id));
        self.trim_closing(actions);
    }

    fn expire(&mut self, id: ConnId, reason: Reason, actions: &mut Vec<Action>) {
        self.count(reason);
        let due = self.now + self.settings.linger;
        let conn = self.conns.get_mut(&id).expect("known");
        conn.last = true;
        let body = conn.state == State::Body;
        match body {
            // The answer comes from whoever reads the body; until then it keeps its place.
            true => {
                self.enter(id, State::Waiting);
                self.set_due(id, Some(due));
            }
            false => self.enter(id, State::Closing),
        }
        actions.push(Action::Expire(id, reason));
        self.trim_closing(actions);
    }

    fn abort(&mut self, id: ConnId, reason: Reason, actions: &mut Vec<Action>) {
        self.count(reason);
        self.release(id);
        self.conns.get_mut(&id).expect("known").gone = true;
        actions.push(Action::Abort(id, reason));
    }

    /// Keeps those that are closing within their share.
    fn trim_closing(&mut self, actions: &mut Vec<Action>) {
        while self.counts.in_state(State::Closing) > self.shares.lobby {
            let Some((_, oldest)) = self.lingering.first().copied() else { return };
            self.abort(oldest, Reason::Lingered, actions);
        }
    }

    fn received(&mut self, id: ConnId, bytes: u64) {
        let Some(conn) = self.conns.get_mut(&id).filter(|conn| !conn.gone && !conn.half_closed) else {
            return;
        };
        match conn.state {
            State::New | State::Silent | State::Idle | State::Closing => {
                if conn.state == State::Idle {
                    self.observe(id, true);
                }
                let conn = self.conns.get_mut(&id).expect("known");
                // Chosen for closing, but it asks again: that is answered, and is the last.
                conn.last |= conn.state == State::Closing;
                conn.start = if conn.asked == 0 { conn.start } else { self.now };
                self.enter(id, State::Head);
                self.progress(id, State::Head, bytes);
            }
            state @ (State::Head | State::Body) => self.progress(id, state, bytes),
            // What a client sends ahead of its answer is looked at after that.
            State::Waiting | State::Writing => {}
        }
    }

    fn head(&mut self, id: ConnId, body: u64) -> Verdict {
        // A head that hyper had already: no byte has come since the last answer.
        self.received(id, 0);
        let Some(conn) = self.conns.get_mut(&id).filter(|conn| conn.state == State::Head) else {
            return Verdict::Refuse;
        };
        conn.asked = conn.asked.saturating_add(1);
        let place = self.serving() < self.most();
        let conn = self.conns.get_mut(&id).expect("known");
        // Its place may have come free meanwhile.
        if conn.lobby && place {
            conn.lobby = false;
            self.lobby -= 1;
        }
        let fits = self.memory + body <= self.memory_most();
        let conn = self.conns.get_mut(&id).expect("known");
        if conn.lobby || !fits {
            conn.last = true;
            self.count(Reason::Refused);
            self.enter(id, State::Waiting);
            return Verdict::Refuse;
        }
        self.charge(id, body);
        self.enter(id, State::Body);
        Verdict::Serve
    }

    fn taken(&mut self, id: ConnId) {
        // It may have come whole just when its time was over: that counts.
        if matches!(self.state(id), Some(State::Body | State::Waiting)) {
            self.enter(id, State::Waiting);
        }
    }

    fn answer(&mut self, id: ConnId, bytes: u64, more: bool) -> Verdict {
        let Some(conn) = self.conns.get(&id).filter(|conn| !conn.gone) else {
            return Verdict::CloseAfterResponse;
        };
        let crowds = self.over_fair_share(conn.peer);
        let ends = conn.last || self.ending || crowds;
        let worthless = !ends && !more && self.is_worthless(id);
        let keep = more || !(ends || worthless);
        if worthless || crowds && !more {
            self.count(if worthless { Reason::Early } else { Reason::Shed });
            self.ghosts.add();
        }
        self.charge(id, bytes);
        self.enter(id, State::Writing);
        let conn = self.conns.get_mut(&id).expect("known");
        conn.last = !keep;
        if keep {
            Verdict::KeepAlive
        } else {
            Verdict::CloseAfterResponse
        }
    }

    /// Whether a connection is not worth its place after this answer.
    fn is_worthless(&mut self, id: ConnId) -> bool {
        let conn = &self.conns[&id];
        // Others don't pay for the pressure that one peer makes.
        let spared = self.crowding().is_some_and(|crowd| crowd != conn.peer);
        if self.level == Level::Calm || spared || self.worth(conn) >= self.threshold() {
            return false;
        }
        self.explored = (self.explored + 1) % self.settings.explore;
        self.explored != 0 || self.settings.explore == 1
    }

    fn worth(&self, conn: &Conn) -> f64 {
        let (half_life, kind) = (self.settings.half_life, kind(conn.asked));
        let own = self.peers.get(conn.peer).map(|peer| &peer.worth);
        let known = own.filter(|worth| worth.tells(self.now, half_life, kind)).unwrap_or(&self.worth);
        known.of(self.now, half_life, kind, self.settings.return_within)
    }

    /// What a connection must be worth to keep its place.
    fn threshold(&self) -> f64 {
        if self.level == Level::Calm {
            return 0.0;
        }
        let over = (self.fill() - self.settings.pressed_at) / (1.0 - self.settings.pressed_at).max(0.01);
        THRESHOLD.0 + (THRESHOLD.1 - THRESHOLD.0) * over.clamp(0.0, 1.0)
    }

    /// Notes whether one that stood idle came back.
    fn observe(&mut self, id: ConnId, returned: bool) {
        let Some(conn) = self.conns.get_mut(&id).filter(|conn| !conn.observed) else { return };
        conn.observed = true;
        let (peer, kind, since) = (conn.peer, kind(conn.asked), conn.since);
        let pooled = conn.pooled;
        self.rise(peer, kind, since, pooled);
        let stood = (self.now - since).div_duration_f64(self.settings.return_within).min(1.0);
        let (now, half_life) = (self.now, self.settings.half_life);
        if pooled {
            self.worth.note(now, half_life, kind, returned, stood);
        }
        self.peers.get_mut(peer).worth.note(now, half_life, kind, returned, stood);
    }

    fn rise(&mut self, peer: PeerKey, kind: usize, since: Duration, pooled: bool) {
        self.peers.get_mut(peer).worth.rise(since, kind);
        if pooled {
            self.worth.rise(since, kind);
        }
    }

    fn written(&mut self, id: ConnId, actions: &mut Vec<Action>) {
        let Some(conn) = self.conns.get(&id).filter(|conn| conn.state == State::Writing && !conn.gone) else {
            return;
        };
        let next = if conn.last { State::Closing } else { State::Idle };
        self.enter(id, next);
        self.charge(id, 0);
        if self.passing && next == State::Idle {
            actions.push(Action::HandOver(id));
        }
    }

    fn half_closed(&mut self, id: ConnId, actions: &mut Vec<Action>) {
        if self.conns.get(&id).is_none_or(|conn| conn.gone) {
            return;
        }
        self.enter(id, State::Closing);
        self.charge(id, 0);
        self.conns.get_mut(&id).expect("known").half_closed = true;
        self.lingering.insert((self.now, id));
        self.trim_closing(actions);
    }

    fn closed(&mut self, id: ConnId) {
        let Some(conn) = self.conns.get(&id) else { return };
        if !conn.gone {
            if conn.state == State::Idle {
                self.observe(id, false);
            }
            self.release(id);
        }
        self.conns.remove(&id);
    }

    /// Takes a connection out of every count.
    fn release(&mut self, id: ConnId) {
        self.set_candidate(id, None);
        let conn = self.conns.get_mut(&id).expect("known");
        conn.due = None;
        if let Some(queued) = conn.queued.take() {
            self.dues.remove(&(queued, id));
        }
        let conn = &self.conns[&id];
        let (peer, lobby, memory) = (conn.peer, conn.lobby, conn.memory);
        self.counts.states[conn.state as usize] -= 1;
        self.lingering.remove(&(conn.since, id));
        self.lobby -= usize::from(lobby);
        self.memory -= memory;
        self.peers.closed(self.now, peer);
        let conn = self.conns.get_mut(&id).expect("known");
        (conn.lobby, conn.memory) = (false, 0);
    }

    // ---- Bookkeeping

    fn count(&mut self, reason: Reason) {
        self.counts.reasons[reason as usize] += 1;
    }

    /// Counts a connection with so many bytes more than every connection has.
    fn charge(&mut self, id: ConnId, bytes: u64) {
        let Some(conn) = self.conns.get_mut(&id).filter(|conn| !conn.gone) else { return };
        self.memory = self.memory - conn.memory + BASE + bytes;
        conn.memory = BASE + bytes;
    }

    fn enter(&mut self, id: ConnId, state: State) {
        let now = self.now;
        let Some(conn) = self.conns.get_mut(&id).filter(|conn| !conn.gone) else { return };
        let (was, since, peer) = (conn.state, conn.since, conn.peer);
        let kind_of_worth = kind(conn.asked);
        if was == State::Idle && !conn.observed {
            let pooled = conn.pooled;
            self.rise(peer, kind_of_worth, since, pooled);
        }
        let conn = self.conns.get_mut(&id).expect("known");
        self.counts.states[was as usize] -= 1;
        self.counts.states[state as usize] += 1;
        (conn.state, conn.since, conn.bytes) = (state, now, 0);
        (conn.long, conn.waited, conn.waits) = (false, Duration::ZERO, None);
        conn.observed = state != State::Idle;
        if state == State::Idle {
            let worth = &mut self.peers.get_mut(peer).worth;
            worth.stand(now, kind_of_worth);
            // Guards against one peer that decides for all: who is known well speaks for itself alone.
            conn.pooled = !worth.tells(now, self.settings.half_life, kind_of_worth);
            if conn.pooled {
                self.worth.stand(now, kind_of_worth);
            }
        }
        self.lingering.remove(&(since, id));
        if state == State::Closing && std::mem::take(&mut conn.lobby) {
            self.lobby -= 1;
        }
        let rank = match state {
            State::Silent => Some(RANK_SILENT),
            State::Idle => Some(RANK_IDLE + kind(conn.asked) as u8),
            State::New => Some(RANK_NEW),
            State::Head => Some(RANK_HEAD),
            State::Body => Some(RANK_BODY),
            State::Waiting | State::Writing | State::Closing => None,
        };
        // What only waits to be refused makes no room.
        let rank = rank.filter(|_| !conn.lobby);
        self.set_candidate(id, rank.map(|rank| (rank, now, id)));
        let due = self.due_in_state(&self.conns[&id]);
        self.set_due(id, due);
    }

    fn due_in_state(&self, conn: &Conn) -> Option<Duration> {
        let s = &self.settings;
        let silent = if self.level > Level::Calm { s.silent_pressed.min(s.silent) } else { s.silent };
        match conn.state {
            State::New => Some(conn.since + s.coming),
            State::Silent => Some((conn.start + silent).max(conn.since)),
            State::Head => {
                Some((conn.since + s.head.allowed(conn.bytes)).min(conn.start + s.head.max).max(conn.since))
            }
            State::Body if conn.long => self.long_due(conn, &s.body),
            State::Body => {
                let due = (conn.since + s.body.allowed(conn.bytes)).min(conn.start + s.body.max);
                // A head that came late leaves its body a moment.
                Some(due.max(conn.since + s.linger))
            }
            State::Waiting => None,
            State::Writing if conn.long => self.long_due(conn, &s.read),
            State::Writing => Some(conn.since + s.read.allowed(conn.bytes)),
            State::Idle if !conn.observed => Some(conn.since + s.return_within.min(s.idle)),
            State::Idle => Some(conn.since + s.idle),
            State::Closing => Some(conn.since + s.linger),
        }
    }

    /// No time that its client is given grows without bound where nothing moves, and none ends where all is in pace.
    fn long_due(&self, conn: &Conn, pace: &TransferTimeout) -> Option<Duration> {
        conn.waits.is_none().then(|| conn.since + conn.waited + pace.allowed_long(conn.bytes))
    }

    fn long(&mut self, id: ConnId) {
        let Some(conn) = self.conns.get_mut(&id).filter(|conn| !conn.gone) else { return };
        conn.long = matches!(conn.state, State::Body | State::Writing);
        self.progress(id, self.conns[&id].state, 0);
    }

    fn transfer_suspended(&mut self, id: ConnId, suspended: bool) {
        let now = self.now;
        let Some(conn) = self.conns.get_mut(&id).filter(|conn| conn.long && !conn.gone) else { return };
        match (suspended, conn.waits) {
            (true, None) => conn.waits = Some(now),
            (false, Some(since)) => {
                conn.waited += now - since;
                conn.waits = None;
            }
            _ => return,
        }
        self.progress(id, self.conns[&id].state, 0);
    }

    fn progress(&mut self, id: ConnId, state: State, bytes: u64) {
        let Some(conn) = self.conns.get_mut(&id).filter(|conn| conn.state == state && !conn.gone) else {
            return;
        };
        conn.bytes += bytes;
        let due = self.due_in_state(&self.conns[&id]);
        self.set_due(id, due);
    }

    fn set_candidate(&mut self, id: ConnId, candidate: Option<Candidate>) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let was = std::mem::replace(&mut conn.candidate, candidate);
        let peer = self.peers.get_mut(conn.peer);
        if let Some(was) = was {
            self.candidates.remove(&was);
            peer.candidates.remove(&was);
        }
        if let Some(candidate) = candidate {
            self.candidates.insert(candidate);
            peer.candidates.insert(candidate);
        }
    }

    /// Sets when a connection is looked at. A time that moves back costs nothing: it is looked at early, once.
    fn set_due(&mut self, id: ConnId, due: Option<Duration>) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        conn.due = due;
        if let Some(queued) = conn.queued.filter(|queued| due.is_some_and(|due| due < *queued)) {
            self.dues.remove(&(queued, id));
            conn.queued = None;
        }
        if let (Some(due), None) = (due, conn.queued) {
            self.dues.insert((due, id));
            conn.queued = Some(due);
        }
    }

    // ---- Time

    fn tick(&mut self, actions: &mut Vec<Action>) {
        if self.total < self.whole() && self.now >= self.regained + Duration::from_secs(1) {
            self.regained = self.now;
            self.total = (self.total + (self.shares.total / 16).max(1)).min(self.whole());
        }
        while let Some((queued, id)) = self.dues.first().copied().filter(|(queued, _)| *queued <= self.now) {
            self.dues.remove(&(queued, id));
            let conn = self.conns.get_mut(&id).expect("those with a time are known");
            conn.queued = None;
            match conn.due {
                Some(due) if due <= self.now => self.overdue(id, actions),
                due => self.set_due(id, due),
            }
        }
    }

    fn overdue(&mut self, id: ConnId, actions: &mut Vec<Action>) {
        let conn = &self.conns[&id];
        match conn.state {
            // It came only to be refused and has not even asked.
            State::New if conn.lobby => self.close(id, Reason::Dropped, actions),
            State::New => self.enter(id, State::Silent),
            State::Silent => {
                if self.level > Level::Calm {
                    self.ghosts.add();
                }
                self.close(id, Reason::Silent, actions);
            }
            State::Head => self.expire(id, Reason::SlowHead, actions),
            State::Body => self.expire(id, Reason::SlowBody, actions),
            // Its body's reader was to answer it and has not.
            State::Waiting => self.abort(id, Reason::SlowBody, actions),
            State::Writing => self.abort(id, Reason::SlowRead, actions),
            State::Idle if !conn.observed => {
                self.observe(id, false);
                let conn = &self.conns[&id];
                if self.worth(conn) < self.threshold() {
                    self.shed(id, Reason::Shed, actions);
                } else {
                    let due = self.due_in_state(conn);
                    self.set_due(id, due);
                }
            }
            State::Idle => self.close(id, Reason::Idle, actions),
            State::Closing if conn.half_closed => self.abort(id, Reason::Lingered, actions),
            // It has been told already, and has not said that it did.
            State::Closing => {
                self.set_due(id, Some(self.now + self.settings.linger));
                actions.push(Action::Close(id));
            }
        }
    }

    fn look_at_level(&mut self, actions: &mut Vec<Action>) {
        if !self.settings.adaptive {
            return;
        }
        let s = &self.settings;
        let fill = (self.serving() + self.ghosts.sum) as f64 / self.expected() as f64;
        let level = match self.level {
            _ if fill >= s.full_at => Level::Full,
            Level::Full if fill >= s.pressed_below => Level::Full,
            _ if fill >= s.pressed_at => Level::Pressed,
            Level::Pressed | Level::Full if fill >= s.calm_below => Level::Pressed,
            _ => Level::Calm,
        };
        let rested = self.now >= self.level_since + s.dwell;
        if level > self.level || level < self.level && rested {
            actions.push(Action::LevelChanged { from: self.level, to: level });
            let rises = level > self.level;
            (self.level, self.level_since) = (level, self.now);
            if rises {
                self.relieve(actions);
            }
        }
    }

    // ---- Descriptors

    fn server_wanted(&mut self, actions: &mut Vec<Action>) -> Verdict {
        let granted = self.servers < self.server_limit();
        self.servers += usize::from(granted);
        let short = self.counts.open() + self.servers + self.headroom() > self.total;
        // What was lent comes back a little before it is needed.
        if self.settings.adaptive && self.counts.open() > self.shares.clients && (short || !granted) {
            if let Some((_, oldest)) = self.lingering.first().copied() {
                self.abort(oldest, Reason::Lingered, actions);
            } else if let Some(victim) = self.victim(None, RANK_NEW - 1) {
                self.shed(victim, Reason::Shed, actions);
            }
        }
        if granted {
            Verdict::Serve
        } else {
            Verdict::Refuse
        }
    }

    fn starved(&mut self, actions: &mut Vec<Action>) {
        let used = self.counts.open() + self.servers;
        self.total = used.saturating_sub(1).clamp(6, self.whole());
        self.regained = self.now;
        if let Some((_, oldest)) = self.lingering.first().copied() {
            self.abort(oldest, Reason::Starved, actions);
        } else if let Some(victim) = self.victim(None, RANK_NEW - 1) {
            // The budget has shrunk already: one that is sure to be back stays.
            let conn = &self.conns[&victim];
            if !self.settings.adaptive || conn.state == State::Silent || self.worth(conn) < THRESHOLD.1 {
                self.shed(victim, Reason::Starved, actions);
            }
        }
        if self.servers > 0 {
            actions.push(Action::CloseServerConnection);
        }
    }

    /// Those that owe nothing and have not begun to ask, also where they came only to be refused.
    fn resting(&self) -> Vec<ConnId> {
        self.in_state(|state| matches!(state, State::New | State::Silent | State::Idle))
    }

    fn in_state(&self, is: impl Fn(State) -> bool) -> Vec<ConnId> {
        let found = self.conns.iter().filter(|(_, conn)| !conn.gone && is(conn.state));
        let mut found: Vec<ConnId> = found.map(|(id, _)| *id).collect();
        found.sort_unstable();
        found
    }

    /// Bytes that may be promised: another process of this node has its part of them, too.
    fn memory_most(&self) -> u64 {
        self.shares.memory / self.shares.total as u64 * self.whole() as u64
    }

    /// All descriptors that may be in use while the system has them.
    fn whole(&self) -> usize {
        self.shares.total.min(self.part)
    }

    fn none_comes(&mut self, actions: &mut Vec<Action>) {
        for id in self.resting() {
            self.close(id, Reason::Ending, actions);
        }
    }
}
