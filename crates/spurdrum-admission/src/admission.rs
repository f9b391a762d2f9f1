//! The state machine that decides on client connections.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use crate::counts::{Counts, Reason};
use crate::early_closes::EarlyCloses;
use crate::memory::{self, HeadSize, Holding, MemoryAccount, MemoryUsage, Priority};
use crate::peers::{PeerKey, Peers};
use crate::reuse::{cohort, ReuseEstimator};
use crate::settings::{Settings, Shares, TransferTimeout};
use crate::{Action, Candidate, ConnId, Event, Level, Limits, State, Verdict};

/// Timers fire this much later than they are due, so that many connections share a tick.
const TIMER_SLACK: Duration = Duration::from_millis(10);
/// How often the level is checked while it is above [`Level::Calm`] or the descriptor budget is reduced.
const LEVEL_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How many connections are closed at once at most while the level is [`Level::Full`].
const MAX_SHED_WHEN_FULL: usize = 64;
/// The probability of reuse below which a connection is not kept, at the lowest pressure and at the highest.
const KEEP_THRESHOLD: (f64, f64) = (0.3, 0.9);

/// For how long nothing of a streamed body may come, however fast it came before.
const MAX_STREAM_GAP: Duration = Duration::from_millis(2500);

/// While this much is being freed, no more connections are shed for want of memory.
const MEMORY_RELIEF: u64 = 256 * 1024;

/// Ranks of connections that may be shed; the lowest rank is shed first. Idle connections have one rank for
/// each cohort.
const RANK_SILENT: u8 = 0;
const RANK_IDLE: u8 = 1;
const RANK_NEW: u8 = 5;
const RANK_HEAD: u8 = 6;
const RANK_BODY: u8 = 7;

#[derive(Debug)]
struct Conn {
    state: State,
    state_since: Duration,
    /// When the time limit of a request starts: for the first request when its connection was accepted, later
    /// at its first byte.
    request_start: Duration,
    peer: PeerKey,
    requests: u32,
    /// Bytes received or sent in this state.
    bytes: u64,
    holding: Holding,
    /// What the connection is expected to free because it was told to close.
    releasing: u64,
    candidate: Option<Candidate>,
    /// When the time limit of this state ends.
    timeout_at: Option<Duration>,
    /// The time of the entry in `timers`, which may be earlier than `timeout_at`.
    timer_at: Option<Duration>,
    /// The connection was accepted only to be refused.
    refuse_only: bool,
    /// The transfer in this state is longer than the node buffers and is streamed.
    streaming: bool,
    /// The time in this state during which the streamed transfer was suspended, and since when it is
    /// suspended now. This time does not count against the client.
    suspended_total: Duration,
    suspended_since: Option<Duration>,
    /// When something was last transferred in this state, or the transfer was last resumed.
    transferred_at: Duration,
    /// The next response is the last on this connection.
    close_after_response: bool,
    /// Whether reuse, or the lack of it, has been recorded for this idle time.
    reuse_recorded: bool,
    /// Whether that record counts in the estimate over all peers and not only in its own peer's.
    counts_globally: bool,
    half_closed: bool,
    /// A part of the request waits in the socket for want of memory.
    read_deferred: bool,
    /// The front was told to close the connection immediately; it does not count any more.
    aborted: bool,
}

/// Returns the connection that has been longest in the lowest rank of the range that has any.
fn first_in_ranks(set: &BTreeSet<Candidate>, from: u8, to: u8) -> Option<(Duration, ConnId)> {
    let range_start = |rank| (rank, Duration::ZERO, ConnId(0));
    set.range(range_start(from)..range_start(to)).next().map(|(_, since, id)| (*since, *id))
}

/// Decides which client connections one node accepts, keeps and closes.
#[derive(Debug)]
pub struct Admission {
    settings: Settings,
    shares: Shares,
    sockets: usize,
    /// How many descriptors may be in use: less than `shares.total` while the operating system has no more.
    budget: usize,
    budget_grown_at: Duration,
    conns: HashMap<ConnId, Conn>,
    candidates: BTreeSet<Candidate>,
    /// Half-closed connections, by when they were half-closed. Connections that are only chosen for closing
    /// are not among them: a request may turn out to have arrived on them.
    half_closed_since: BTreeSet<(Duration, ConnId)>,
    timers: BTreeSet<(Duration, ConnId)>,
    peers: Peers,
    reuse: ReuseEstimator,
    counts: Counts,
    refuse_only_count: usize,
    servers: usize,
    memory: MemoryAccount,
    early_closes: EarlyCloses,
    level: Level,
    level_since: Duration,
    /// Until this time a peer with less than its fair share wants a connection.
    contended_until: Duration,
    explore_counter: u32,
    shutting_down: bool,
    handing_over: bool,
    /// The limit of descriptors in use while another process of this node holds the rest.
    share_limit: usize,
    now: Duration,
}

impl Admission {
    /// Creates the state machine with the budgets that follow from these limits. The error names the wrong
    /// setting.
    pub fn new(settings: Settings, limits: Limits) -> Result<Self, (&'static str, String)> {
        settings.validate()?;
        let shares = Shares::new(&settings, &limits);
        Ok(Self {
            budget: shares.total,
            budget_grown_at: Duration::ZERO,
            sockets: limits.sockets,
            shares,
            conns: HashMap::new(),
            candidates: BTreeSet::new(),
            half_closed_since: BTreeSet::new(),
            timers: BTreeSet::new(),
            peers: Peers::new(settings.peers),
            reuse: ReuseEstimator::default(),
            counts: Counts::default(),
            refuse_only_count: 0,
            servers: 0,
            memory: MemoryAccount::new(&limits, settings.memory_share, settings.sending_share),
            early_closes: EarlyCloses::default(),
            level: Level::Calm,
            level_since: Duration::ZERO,
            contended_until: Duration::ZERO,
            explore_counter: 0,
            shutting_down: false,
            handing_over: false,
            share_limit: usize::MAX,
            now: Duration::ZERO,
            settings,
        })
    }

    /// Handles an event and pushes the actions that follow from it. `now` must never run backwards.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) -> Verdict {
        self.now = self.now.max(now);
        self.early_closes.advance_to(self.now, self.settings.idle);
        let verdict = self.decide(event, actions);
        if self.memory.take_wake() {
            actions.push(Action::MemoryAvailable);
        }
        verdict
    }

    fn decide(&mut self, event: Event, actions: &mut Vec<Action>) -> Verdict {
        match event {
            Event::Accepted { id, peer } => {
                let verdict = self.accepted(id, PeerKey::new(peer, self.settings.peer_prefix), actions);
                self.update_level(actions);
                return verdict;
            }
            Event::Received { id, bytes } => self.received(id, bytes),
            Event::Pipelined { id, bytes } => self.pipelined(id, bytes),
            Event::BodyMemoryRequested { id, bytes } => {
                return self.body_memory_requested(id, bytes, actions)
            }
            Event::BodyHeld { id, bytes } => self.hold(id, |holding| holding.body = bytes),
            Event::ReadDeferred { id } => self.read_deferred(id, actions),
            Event::HeadComplete { id, head, body } => return self.head_complete(id, head, body, actions),
            Event::Streaming { id } => self.start_streaming(id),
            Event::TransferSuspended { id, suspended } => self.transfer_suspended(id, suspended),
            Event::RequestComplete { id } => self.request_complete(id),
            Event::ResponseReady { id, bytes, pipelined } => {
                return self.response_ready(id, bytes, pipelined)
            }
            Event::ResponseProgress { id, bytes } => self.progress(id, State::Writing, bytes),
            Event::ResponseWritten { id } => self.response_written(id, actions),
            Event::HalfClosed { id } => self.half_closed(id, actions),
            Event::Closed { id } => {
                self.closed(id);
                self.update_level(actions);
            }
            Event::ServerConnectionRequested => return self.server_connection_requested(actions),
            Event::ServerConnectionClosed => {
                self.servers = self.servers.saturating_sub(1);
                self.memory.release_server(memory::SERVER_CONNECTION);
            }
            Event::ResponseMemoryRequested { bytes } => {
                return self.response_memory_requested(bytes, actions)
            }
            Event::ResponseMemoryReleased { bytes } => self.memory.release_server(bytes),
            Event::MemoryMeasured { resident } => self.memory.measured(resident),
            Event::ResourcesExhausted => self.resources_exhausted(actions),
            Event::ShutdownStarted => self.shutting_down = true,
            Event::HandoverStarted => {
                self.handing_over = true;
                // Connections continue in the incoming process, even if this becomes known only after the
                // shutdown has started.
                self.shutting_down = false;
                actions.extend(self.without_request().into_iter().map(Action::HandOver));
            }
            Event::HandoverEnded => self.handing_over = false,
            Event::DescriptorShare { max } => {
                self.share_limit = max.max(6);
                self.budget = self.full_budget();
                self.memory.set_process_limit(self.proportional_memory());
            }
            Event::MemoryShare { max } => self.memory.set_process_limit(max),
            Event::AcceptingStopped => self.accepting_stopped(actions),
            Event::ShutdownImminent => {
                // With a handover, connections between two requests are on their way to the incoming process.
                if !self.handing_over {
                    self.accepting_stopped(actions);
                }
                for id in self.in_state(|state| matches!(state, State::Head | State::Body)) {
                    self.expire(id, Reason::Ending, actions);
                }
            }
            Event::Tick => {
                self.tick(actions);
                self.enforce_shares(actions);
                self.update_level(actions);
                self.relieve_pressure(actions);
                if self.memory.release_due().is_some_and(|due| due <= self.now) {
                    self.release_memory(actions);
                }
            }
        }
        Verdict::Nothing
    }

    /// Returns when the next [`Event::Tick`] is needed.
    pub fn next_wake(&self) -> Option<Duration> {
        let timeout_at = self.timers.first().map(|(timeout_at, _)| *timeout_at + TIMER_SLACK);
        let level_check = (self.level > Level::Calm || self.budget < self.full_budget())
            .then(|| self.now + LEVEL_CHECK_INTERVAL);
        timeout_at.into_iter().chain(level_check).chain(self.memory.release_due()).min()
    }

    /// Returns the counters for operators.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Returns the current level.
    pub fn level(&self) -> Level {
        self.level
    }

    /// Returns the state of a connection that is not closed.
    pub fn state(&self, id: ConnId) -> Option<State> {
        self.conns.get(&id).filter(|conn| !conn.aborted).map(|conn| conn.state)
    }

    /// Returns how many descriptors clients and servers use together, and how many they may use.
    pub fn descriptor_usage(&self) -> (usize, usize) {
        (self.counts.open() + self.servers, self.shares.total)
    }

    /// Returns the account of memory.
    pub fn memory_usage(&self) -> MemoryUsage {
        self.memory.usage()
    }

    /// Returns the memory limit of the node, in bytes.
    pub fn memory_limit(&self) -> u64 {
        self.memory.node_limit()
    }

    /// Returns the part of the node's memory limit that this process needs for what it holds now.
    pub fn held_memory(&self) -> u64 {
        self.memory.held_limit()
    }

    /// Returns the part of the node's memory limit that this process needs to answer the requests that it has
    /// and one more on each connection that is not closing.
    pub fn needed_memory(&self) -> u64 {
        let counts = &self.counts;
        let pending = counts.in_state(State::Waiting) + counts.in_state(State::Writing);
        let requests_to_come = counts.open() - counts.in_state(State::Closing) - pending;
        self.memory.needed_limit(pending as u64, requests_to_come as u64)
    }

    /// Returns whether the front may read from a connection: whether there is memory for `next` bytes behind
    /// `received` bytes of the head that is being received, or for input behind a pending request.
    pub fn may_read(&self, id: ConnId, received: u64, next: u64) -> bool {
        let Some(conn) = self.conns.get(&id) else { return true };
        match conn.state {
            State::New | State::Silent | State::Idle | State::Head | State::Closing => {
                let bytes = received + next;
                let growth = memory::partial_head(bytes).saturating_sub(conn.holding.head);
                let priority = Priority::of_request(conn.requests > 0, memory::is_large_head(bytes));
                self.memory.fits(growth, 0, priority)
            }
            State::Waiting | State::Writing => {
                let needed = memory::pipelined().max(received + next);
                let growth = needed.saturating_sub(conn.holding.pipelined);
                growth == 0 || self.memory.fits(growth, 0, Priority::KnownClient)
            }
            // The body was charged when its head was complete.
            State::Body => true,
        }
    }

    /// Returns the number of entries in the table of peers.
    pub fn peer_count(&self) -> usize {
        self.peers.len()
    }

    /// Returns how many descriptors clients may hold now, including those that connections to servers don't
    /// use.
    pub fn client_limit(&self) -> usize {
        let own = self.shares.clients.min(self.budget);
        let borrowable =
            self.budget.saturating_sub((self.servers + self.headroom()).max(self.shares.server_floor));
        own.max(borrowable).min(self.budget.saturating_sub(self.servers))
    }

    /// Returns how many descriptors connections to servers may hold now, including those that clients don't
    /// use.
    pub fn server_limit(&self) -> usize {
        let borrowable =
            self.budget.saturating_sub((self.counts.open() + self.headroom()).max(self.shares.client_floor));
        self.shares
            .servers
            .min(self.budget)
            .max(borrowable)
            .min(self.budget.saturating_sub(self.counts.open()))
    }

    /// Returns the number of free descriptors at or below which borrowed ones are reclaimed.
    fn headroom(&self) -> usize {
        (self.budget / 32).max(2)
    }

    /// Returns how many connections may be served at once.
    fn max_served(&self) -> usize {
        self.client_limit().saturating_sub(2 * self.shares.side_pool).max(1)
    }

    fn served_count(&self) -> usize {
        self.counts.open() - self.counts.in_state(State::Closing) - self.refuse_only_count
    }

    /// Returns how many connections clients can be expected to hold open at this node.
    fn expected_connections(&self) -> usize {
        ((self.sockets as f64 * self.settings.clients_hold) as usize).clamp(1, self.max_served())
    }

    fn occupancy(&self) -> f64 {
        self.served_count() as f64 / self.expected_connections() as f64
    }

    // ---- The life of a connection

    fn accepted(&mut self, id: ConnId, peer: PeerKey, actions: &mut Vec<Action>) -> Verdict {
        let mut has_room = self.has_capacity();
        if has_room && self.over_fair_share(peer) {
            // The capacity is reserved for peers that have less.
            has_room = false;
        } else if !has_room {
            let lacks_memory = !self.memory_fits_connection();
            if self.settings.adaptive
                && (self.servers > self.shares.servers || lacks_memory && self.servers > 0)
            {
                actions.push(Action::CloseServerConnection);
            }
            let victim = if lacks_memory {
                self.memory_victim(Some(peer))
            } else {
                self.victim(Some(peer), RANK_BODY)
            };
            if let Some(victim) = victim {
                self.shed(victim, Reason::Shed, actions);
                has_room = self.has_capacity();
            } else if self.settings.adaptive && self.peers.open(peer) < self.fair_share() {
                self.contended_until = self.now + self.settings.coming;
            }
        }
        // The descriptors of half-closed connections are reclaimed first.
        if self.counts.open() >= self.client_limit() {
            if let Some((_, oldest)) = self.half_closed_since.first().copied() {
                self.abort(oldest, Reason::Lingered, actions);
            }
        }
        if self.counts.open() >= self.client_limit()
            || !has_room && self.refuse_only_count >= self.shares.side_pool
        {
            self.count(Reason::Dropped);
            return Verdict::Drop;
        }
        let holding = Holding::default();
        self.memory.replace(None, Some(&holding));
        self.peers.opened(self.now, peer);
        let conn = Conn {
            state: State::New,
            state_since: self.now,
            request_start: self.now,
            peer,
            requests: 0,
            bytes: 0,
            holding,
            releasing: 0,
            candidate: None,
            timeout_at: None,
            timer_at: None,
            refuse_only: !has_room,
            streaming: false,
            suspended_total: Duration::ZERO,
            suspended_since: None,
            transferred_at: self.now,
            close_after_response: false,
            reuse_recorded: true,
            counts_globally: false,
            half_closed: false,
            read_deferred: false,
            aborted: false,
        };
        self.conns.insert(id, conn);
        self.counts.states[State::New as usize] += 1;
        self.refuse_only_count += usize::from(!has_room);
        self.enter(id, State::New);
        if !has_room {
            return Verdict::Refuse;
        }
        self.enforce_shares(actions);
        self.relieve_pressure(actions);
        Verdict::Serve
    }

    /// Keeps silent connections and half-sent requests within their shares of the capacity: the oldest are
    /// shed first, but no half-sent request that has only just begun.
    fn enforce_shares(&mut self, actions: &mut Vec<Action>) {
        if !self.settings.adaptive {
            return;
        }
        let limit = |share: f64| ((self.max_served() as f64 * share) as usize).max(1);
        let (silent, sending) = (limit(self.settings.silent_share), limit(self.settings.sending_share));
        loop {
            let excess = match () {
                () if self.counts.in_state(State::Silent) > silent => {
                    first_in_ranks(&self.candidates, RANK_SILENT, RANK_IDLE)
                }
                () if self.counts.in_state(State::Head) + self.counts.in_state(State::Body) > sending => {
                    self.half_sent(&self.candidates, RANK_BODY)
                }
                () => None,
            };
            let Some((_, excess)) = excess else { return };
            self.shed(excess, Reason::Shed, actions);
        }
    }

    /// Returns whether another connection can be served without closing one.
    fn has_capacity(&self) -> bool {
        self.served_count() < self.max_served()
            && self.counts.open() < self.client_limit()
            && self.memory_fits_connection()
    }

    fn memory_fits_connection(&self) -> bool {
        self.memory.fits(memory::CONNECTION, 0, Priority::NewConnection)
    }

    fn fair_share(&self) -> usize {
        // There are at least two peers whenever capacity is contended.
        (self.max_served() / self.peers.active().max(2)).max(1)
    }

    /// Returns the peer that crowds out others, if there is one: it holds a quarter of the capacity or more,
    /// and more than a fair share.
    fn dominant_peer(&self) -> Option<PeerKey> {
        let (open, key) =
            self.peers.heaviest().filter(|_| self.settings.adaptive && self.peers.active() > 1)?;
        (open * 4 >= self.max_served() && open * 4 > self.fair_share() * 5).then_some(key)
    }

    fn over_fair_share(&self, peer: PeerKey) -> bool {
        self.settings.adaptive
            && self.now < self.contended_until
            && self.peers.open(peer) >= self.fair_share()
    }

    /// Sheds connections that are not worth keeping while the node is under pressure: one for each accepted
    /// connection at [`Level::Pressed`], as many as it takes at [`Level::Full`]. This must not wait for
    /// clients to connect: when they already hold all the connections they can, no new ones arrive.
    fn relieve_pressure(&mut self, actions: &mut Vec<Action>) {
        let max_shed = match self.level {
            Level::Calm => return,
            Level::Pressed => 1,
            Level::Full => MAX_SHED_WHEN_FULL,
        };
        for _ in 0..max_shed {
            if self.occupancy() < self.settings.pressed_at {
                return;
            }
            let Some(victim) = self.victim(None, RANK_NEW - 1) else { return };
            let conn = &self.conns[&victim];
            if conn.state == State::Idle && self.reuse_probability(conn) >= self.keep_threshold() {
                return;
            }
            self.shed(victim, Reason::Shed, actions);
        }
    }

    /// Returns the connection to be shed first, up to a rank. If one peer holds more connections than the
    /// peer that wants one, the victim is one of its connections, and there is no victim if it has none to
    /// shed.
    fn victim(&self, requester: Option<PeerKey>, up_to: u8) -> Option<ConnId> {
        // The peer that wants a connection may have none yet and thus not count as active.
        let has_others = |key| self.peers.active() > 1 || requester.is_some_and(|requester| requester != key);
        let heaviest = self.peers.heaviest().filter(|(_, key)| self.settings.adaptive && has_others(*key));
        let heavy = heaviest.filter(|(open, key)| match requester {
            Some(requester) => *key == requester || *open > self.peers.open(requester) + 1,
            None => self.dominant_peer() == Some(*key),
        });
        let heavy_peer = heavy.and_then(|(_, key)| self.peers.get(key));
        // The heaviest peer gives up its own connection, and never takes another peer's.
        let from = heavy_peer.map_or(&self.candidates, |peer| &peer.candidates);
        // A new connection is shed only for a peer that has fewer.
        let for_lighter_peer =
            matches!((heavy, requester), (Some((_, key)), Some(requester)) if key != requester);
        // Silent connections are shed first, whichever peer they belong to.
        first_in_ranks(&self.candidates, RANK_SILENT, RANK_IDLE)
            .or_else(|| first_in_ranks(from, RANK_IDLE, RANK_NEW))
            .or_else(|| {
                first_in_ranks(from, RANK_NEW, RANK_HEAD).filter(|_| for_lighter_peer && up_to >= RANK_NEW)
            })
            .or_else(|| self.half_sent(from, up_to))
            .map(|(_, id)| id)
    }

    /// Returns the first connection whose request has been half-sent for at least [`Settings::coming`].
    fn half_sent(&self, from: &BTreeSet<Candidate>, up_to: u8) -> Option<(Duration, ConnId)> {
        let is_old_enough = |(since, _): &(Duration, ConnId)| *since + self.settings.coming <= self.now;
        let ranks = [RANK_HEAD, RANK_BODY].into_iter().filter(|rank| *rank <= up_to);
        ranks.filter_map(|rank| first_in_ranks(from, rank, rank + 1)).find(is_old_enough)
    }

    /// Closes a connection without a request, or answers one whose request is half-sent.
    fn shed(&mut self, id: ConnId, reason: Reason, actions: &mut Vec<Action>) {
        let Some(conn) = self.conns.get(&id) else { return };
        match conn.state {
            State::Head | State::Body => self.expire(id, reason, actions),
            State::New | State::Silent | State::Idle => {
                if conn.state == State::Idle {
                    self.record_reuse(id, false);
                }
                self.early_closes.add();
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
        let timeout_at = self.now + self.settings.linger;
        self.expect_release(id);
        let conn = self.conns.get_mut(&id).expect("known connection");
        conn.close_after_response = true;
        let body = conn.state == State::Body;
        match body {
            // The reader of the body sends the response; until then the connection keeps its capacity.
            true => {
                self.enter(id, State::Waiting);
                self.set_timeout(id, Some(timeout_at));
            }
            false => self.enter(id, State::Closing),
        }
        actions.push(Action::Expire(id, reason));
        self.trim_closing(actions);
    }

    fn abort(&mut self, id: ConnId, reason: Reason, actions: &mut Vec<Action>) {
        self.count(reason);
        self.release(id);
        self.conns.get_mut(&id).expect("known connection").aborted = true;
        actions.push(Action::Abort(id, reason));
    }

    /// Keeps the closing connections within their pool.
    fn trim_closing(&mut self, actions: &mut Vec<Action>) {
        while self.counts.in_state(State::Closing) > self.shares.side_pool {
            let Some((_, oldest)) = self.half_closed_since.first().copied() else { return };
            self.abort(oldest, Reason::Lingered, actions);
        }
    }

    fn received(&mut self, id: ConnId, bytes: u64) {
        let Some(conn) = self.conns.get_mut(&id).filter(|conn| !conn.aborted && !conn.half_closed) else {
            return;
        };
        match conn.state {
            State::New | State::Silent | State::Idle | State::Closing => {
                if conn.state == State::Idle {
                    self.record_reuse(id, true);
                }
                let conn = self.conns.get_mut(&id).expect("known connection");
                // The connection was chosen for closing but sent another request: this is answered, and is
                // the last.
                conn.close_after_response |= conn.state == State::Closing;
                conn.request_start = if conn.requests == 0 { conn.request_start } else { self.now };
                self.enter(id, State::Head);
                self.head_received(id, bytes);
            }
            State::Head => self.head_received(id, bytes),
            State::Body => self.progress(id, State::Body, bytes),
            // Bytes that a client sends ahead of its response are processed after the response.
            State::Waiting | State::Writing => {}
        }
    }

    fn head_received(&mut self, id: ConnId, bytes: u64) {
        self.progress(id, State::Head, bytes);
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let received = conn.bytes;
        conn.read_deferred = false;
        self.hold(id, |holding| holding.head = memory::partial_head(received));
    }

    fn pipelined(&mut self, id: ConnId, bytes: u64) {
        self.hold(id, |holding| holding.pipelined = memory::pipelined().max(bytes));
    }

    /// Input waits in a socket for want of memory: its time as a request has begun.
    fn read_deferred(&mut self, id: ConnId, actions: &mut Vec<Action>) {
        if matches!(self.state(id), Some(State::New | State::Silent | State::Idle)) {
            self.received(id, 0);
            self.hold(id, |holding| holding.head = 0);
        }
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.read_deferred = true;
        }
        self.memory.wait();
        self.relieve_memory(actions);
    }

    fn head_complete(&mut self, id: ConnId, head: HeadSize, body: u64, actions: &mut Vec<Action>) -> Verdict {
        // hyper may have had the head already: then no byte has been received since the last response.
        self.received(id, 0);
        let Some(conn) = self.conns.get_mut(&id).filter(|conn| conn.state == State::Head) else {
            return Verdict::Refuse;
        };
        let is_known = conn.requests > 0;
        conn.requests = conn.requests.saturating_add(1);
        let request = memory::request(head);
        let growth = memory::growth(head, body).max(conn.holding.grown);
        let more = (body + growth).saturating_sub(conn.holding.head + conn.holding.grown);
        let capacity_free = self.served_count() < self.max_served();
        let conn = self.conns.get_mut(&id).expect("known connection");
        // Capacity may have become free since the connection was accepted.
        if conn.refuse_only && capacity_free {
            conn.refuse_only = false;
            self.refuse_only_count -= 1;
        }
        let priority = Priority::of_request(is_known, body > memory::SMALL_BODY);
        let fits = self.memory.fits(more, request + memory::SERVER_CONNECTION, priority);
        // A request that is refused holds its head until then.
        self.hold(id, |holding| (holding.head, holding.grown, holding.request) = (0, growth, request));
        let conn = self.conns.get_mut(&id).expect("known connection");
        if conn.refuse_only || !fits {
            conn.close_after_response = true;
            self.count(Reason::Refused);
            self.enter(id, State::Waiting);
            if !fits {
                self.relieve_memory(actions);
            }
            return Verdict::Refuse;
        }
        self.hold(id, |holding| holding.body = body);
        self.conns.get_mut(&id).expect("known connection").read_deferred = false;
        self.enter(id, State::Body);
        Verdict::Serve
    }

    fn request_complete(&mut self, id: ConnId) {
        // The body may have completed just as its time expired: that counts as complete.
        if matches!(self.state(id), Some(State::Body | State::Waiting)) {
            self.hold(id, Holding::complete_request);
            self.enter(id, State::Waiting);
        }
    }

    fn response_ready(&mut self, id: ConnId, bytes: u64, pipelined: bool) -> Verdict {
        let Some(conn) = self.conns.get(&id).filter(|conn| !conn.aborted) else {
            return Verdict::CloseAfterResponse;
        };
        let over_share = self.over_fair_share(conn.peer);
        let is_last = conn.close_after_response || self.shutting_down || over_share;
        let closes_early = !is_last && !pipelined && self.should_close_early(id);
        let keep = pipelined || !(is_last || closes_early);
        if closes_early || over_share && !pipelined {
            self.count(if closes_early { Reason::Early } else { Reason::Shed });
            self.early_closes.add();
        }
        self.hold(id, |holding| (holding.body, holding.request, holding.response) = (0, 0, bytes));
        self.enter(id, State::Writing);
        let conn = self.conns.get_mut(&id).expect("known connection");
        conn.close_after_response = !keep;
        if keep {
            Verdict::KeepAlive
        } else {
            Verdict::CloseAfterResponse
        }
    }

    /// Returns whether a connection should be closed after this response because it is unlikely to be reused.
    fn should_close_early(&mut self, id: ConnId) -> bool {
        let conn = &self.conns[&id];
        // Other peers do not pay for the pressure that one peer causes.
        let spared = self.dominant_peer().is_some_and(|dominant| dominant != conn.peer);
        if self.level == Level::Calm || spared || self.reuse_probability(conn) >= self.keep_threshold() {
            return false;
        }
        self.explore_counter = (self.explore_counter + 1) % self.settings.explore;
        self.explore_counter != 0 || self.settings.explore == 1
    }

    fn reuse_probability(&self, conn: &Conn) -> f64 {
        let (half_life, cohort) = (self.settings.half_life, cohort(conn.requests));
        let own = self.peers.get(conn.peer).map(|peer| &peer.reuse);
        let estimator =
            own.filter(|reuse| reuse.has_enough_samples(self.now, half_life, cohort)).unwrap_or(&self.reuse);
        estimator.probability(self.now, half_life, cohort, self.settings.return_within)
    }

    /// Returns the probability of reuse that a connection needs to be kept.
    fn keep_threshold(&self) -> f64 {
        if self.level == Level::Calm {
            return 0.0;
        }
        let excess =
            (self.occupancy() - self.settings.pressed_at) / (1.0 - self.settings.pressed_at).max(0.01);
        KEEP_THRESHOLD.0 + (KEEP_THRESHOLD.1 - KEEP_THRESHOLD.0) * excess.clamp(0.0, 1.0)
    }

    /// Records whether an idle connection was reused.
    fn record_reuse(&mut self, id: ConnId, returned: bool) {
        let Some(conn) = self.conns.get_mut(&id).filter(|conn| !conn.reuse_recorded) else { return };
        conn.reuse_recorded = true;
        let (peer, cohort, since) = (conn.peer, cohort(conn.requests), conn.state_since);
        let counts_globally = conn.counts_globally;
        self.end_idle(peer, cohort, since, counts_globally);
        let idle_time = (self.now - since).div_duration_f64(self.settings.return_within).min(1.0);
        let (now, half_life) = (self.now, self.settings.half_life);
        if counts_globally {
            self.reuse.record(now, half_life, cohort, returned, idle_time);
        }
        self.peers.get_mut(peer).reuse.record(now, half_life, cohort, returned, idle_time);
    }

    fn end_idle(&mut self, peer: PeerKey, cohort: usize, since: Duration, counts_globally: bool) {
        self.peers.get_mut(peer).reuse.end_idle(since, cohort);
        if counts_globally {
            self.reuse.end_idle(since, cohort);
        }
    }

    fn response_written(&mut self, id: ConnId, actions: &mut Vec<Action>) {
        let Some(conn) = self.conns.get(&id).filter(|conn| conn.state == State::Writing && !conn.aborted)
        else {
            return;
        };
        let next = if conn.close_after_response { State::Closing } else { State::Idle };
        self.enter(id, next);
        self.hold(id, |holding| (holding.response, holding.pipelined) = (0, 0));
        if self.handing_over && next == State::Idle {
            actions.push(Action::HandOver(id));
        }
    }

    fn half_closed(&mut self, id: ConnId, actions: &mut Vec<Action>) {
        if self.conns.get(&id).is_none_or(|conn| conn.aborted) {
            return;
        }
        self.enter(id, State::Closing);
        self.hold(id, |holding| *holding = Holding::default());
        self.conns.get_mut(&id).expect("known connection").half_closed = true;
        self.half_closed_since.insert((self.now, id));
        self.trim_closing(actions);
    }

    fn closed(&mut self, id: ConnId) {
        let Some(conn) = self.conns.get(&id) else { return };
        if !conn.aborted {
            if conn.state == State::Idle {
                self.record_reuse(id, false);
            }
            self.release(id);
        }
        if let Some(conn) = self.conns.remove(&id) {
            self.memory.released(conn.releasing);
            self.memory.replace(Some(&conn.holding), None);
        }
    }

    /// Removes a connection from all counts but the account of memory: its memory is freed when it is closed.
    fn release(&mut self, id: ConnId) {
        self.set_candidate(id, None);
        let conn = self.conns.get_mut(&id).expect("known connection");
        conn.timeout_at = None;
        if let Some(timer_at) = conn.timer_at.take() {
            self.timers.remove(&(timer_at, id));
        }
        let conn = &self.conns[&id];
        let (peer, refuse_only) = (conn.peer, conn.refuse_only);
        self.counts.states[conn.state as usize] -= 1;
        self.half_closed_since.remove(&(conn.state_since, id));
        self.refuse_only_count -= usize::from(refuse_only);
        self.peers.closed(self.now, peer);
        self.conns.get_mut(&id).expect("known connection").refuse_only = false;
    }

    // ---- Bookkeeping

    fn count(&mut self, reason: Reason) {
        self.counts.reasons[reason as usize] += 1;
    }

    /// Changes what a connection is charged.
    fn hold(&mut self, id: ConnId, change: impl FnOnce(&mut Holding)) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let before = conn.holding;
        change(&mut conn.holding);
        self.memory.replace(Some(&before), Some(&conn.holding));
        if conn.holding.beyond_idle() < before.beyond_idle() {
            self.memory.released(std::mem::take(&mut conn.releasing));
        }
    }

    /// Records that a connection will free what it holds, as it was told to close.
    fn expect_release(&mut self, id: ConnId) {
        let Some(conn) = self.conns.get_mut(&id).filter(|conn| conn.releasing == 0) else { return };
        conn.releasing = conn.holding.beyond_idle();
        self.memory.expect_release(conn.releasing);
    }

    /// Makes room for someone who waits for memory, unless what is closing already will: the half-sent
    /// request that is oldest gives way, bodies before heads. Bodies that are streamed keep to a rate.
    fn relieve_memory(&mut self, actions: &mut Vec<Action>) {
        if let Some(victim) = self.memory_victim(None) {
            self.shed(victim, Reason::Shed, actions);
        }
        if self.settings.adaptive && self.servers > 0 {
            actions.push(Action::CloseServerConnection);
        }
    }

    /// Returns the connection that is closed first for want of memory, unless enough is being freed. Where no
    /// request is half sent, a connection without one gives way to a new one of `requester`.
    fn memory_victim(&self, requester: Option<PeerKey>) -> Option<ConnId> {
        if !self.settings.adaptive || !self.memory.needs_relief(MEMORY_RELIEF) {
            return None;
        }
        let is_old_enough = |since: &Duration| *since + self.settings.coming <= self.now;
        let holds_much = |id: &ConnId| {
            let conn = &self.conns[id];
            conn.holding.beyond_idle() > 0 && !conn.streaming
        };
        let half_sent = [RANK_BODY, RANK_HEAD].into_iter().find_map(|rank| {
            let in_rank = self.candidates.range((rank, Duration::ZERO, ConnId(0))..);
            let mut old = in_rank.take_while(|(r, since, _)| *r == rank && is_old_enough(since));
            old.find(|(_, _, id)| holds_much(id)).map(|(_, _, id)| *id)
        });
        let has_half_sent = self.counts.in_state(State::Head) + self.counts.in_state(State::Body) > 0;
        half_sent.or_else(|| self.victim(Some(requester.filter(|_| !has_half_sent)?), RANK_NEW))
    }

    fn body_memory_requested(&mut self, id: ConnId, bytes: u64, actions: &mut Vec<Action>) -> Verdict {
        // A request that was told to end needs no more.
        let Some(conn) = self.conns.get_mut(&id).filter(|conn| conn.state == State::Body) else {
            return Verdict::Refuse;
        };
        let more = bytes.saturating_sub(conn.holding.body);
        let priority = Priority::of_request(conn.requests > 1, bytes > memory::SMALL_BODY);
        conn.read_deferred = !self.memory.fits(more, 0, priority);
        if !conn.read_deferred {
            self.hold(id, |holding| holding.body = holding.body.max(bytes));
            return Verdict::Serve;
        }
        self.memory.wait();
        self.relieve_memory(actions);
        Verdict::Refuse
    }

    fn response_memory_requested(&mut self, bytes: u64, actions: &mut Vec<Action>) -> Verdict {
        if self.memory.fits_server(bytes) {
            self.memory.charge_server(bytes);
            return Verdict::Serve;
        }
        self.memory.wait();
        self.relieve_memory(actions);
        Verdict::Refuse
    }

    /// Lets freed memory be returned to the system.
    fn release_memory(&mut self, actions: &mut Vec<Action>) {
        self.memory.release(self.now);
        actions.push(Action::ReleaseMemory);
    }

    fn enter(&mut self, id: ConnId, state: State) {
        let now = self.now;
        let Some(conn) = self.conns.get_mut(&id).filter(|conn| !conn.aborted) else { return };
        let (was, since, peer) = (conn.state, conn.state_since, conn.peer);
        let reuse_cohort = cohort(conn.requests);
        if was == State::Idle && !conn.reuse_recorded {
            let counts_globally = conn.counts_globally;
            self.end_idle(peer, reuse_cohort, since, counts_globally);
        }
        let conn = self.conns.get_mut(&id).expect("known connection");
        self.counts.states[was as usize] -= 1;
        self.counts.states[state as usize] += 1;
        (conn.state, conn.state_since, conn.bytes) = (state, now, 0);
        (conn.streaming, conn.suspended_total, conn.suspended_since) = (false, Duration::ZERO, None);
        conn.transferred_at = now;
        conn.reuse_recorded = state != State::Idle;
        if state == State::Idle {
            let reuse = &mut self.peers.get_mut(peer).reuse;
            reuse.start_idle(now, reuse_cohort);
            // A peer with enough samples of its own counts only in its own estimate; otherwise it could
            // determine the estimate for all peers.
            conn.counts_globally = !reuse.has_enough_samples(now, self.settings.half_life, reuse_cohort);
            if conn.counts_globally {
                self.reuse.start_idle(now, reuse_cohort);
            }
        }
        self.half_closed_since.remove(&(since, id));
        if state == State::Closing && std::mem::take(&mut conn.refuse_only) {
            self.refuse_only_count -= 1;
        }
        let rank = match state {
            State::Silent => Some(RANK_SILENT),
            State::Idle => Some(RANK_IDLE + cohort(conn.requests) as u8),
            State::New => Some(RANK_NEW),
            State::Head => Some(RANK_HEAD),
            State::Body => Some(RANK_BODY),
            State::Waiting | State::Writing | State::Closing => None,
        };
        // A connection that only waits to be refused frees no serving capacity.
        let rank = rank.filter(|_| !conn.refuse_only);
        self.set_candidate(id, rank.map(|rank| (rank, now, id)));
        let timeout_at = self.timeout_in_state(&self.conns[&id]);
        self.set_timeout(id, timeout_at);
    }

    fn timeout_in_state(&self, conn: &Conn) -> Option<Duration> {
        let s = &self.settings;
        let silent = if self.level > Level::Calm { s.silent_pressed.min(s.silent) } else { s.silent };
        match conn.state {
            State::New => Some(conn.state_since + s.coming),
            State::Silent => Some((conn.request_start + silent).max(conn.state_since)),
            State::Head => Some(
                (conn.state_since + s.head.limit(conn.bytes))
                    .min(conn.request_start + s.head.max)
                    .max(conn.state_since),
            ),
            State::Body if conn.streaming => self
                .streaming_timeout(conn, &s.body)
                .map(|timeout_at| timeout_at.min(conn.transferred_at + MAX_STREAM_GAP)),
            State::Body => {
                let timeout_at =
                    (conn.state_since + s.body.limit(conn.bytes)).min(conn.request_start + s.body.max);
                // A body whose head arrived late still gets a short time of its own.
                Some(timeout_at.max(conn.state_since + s.linger))
            }
            State::Waiting => None,
            State::Writing if conn.streaming => self.streaming_timeout(conn, &s.read),
            State::Writing => Some(conn.state_since + s.read.limit(conn.bytes)),
            State::Idle if !conn.reuse_recorded => Some(conn.state_since + s.return_within.min(s.idle)),
            State::Idle => Some(conn.state_since + s.idle),
            State::Closing => Some(conn.state_since + s.linger),
        }
    }

    /// Returns the time limit of a streamed transfer: it expires if nothing is transferred, and never while
    /// the transfer keeps to the minimum rate. A suspended transfer has none.
    fn streaming_timeout(&self, conn: &Conn, timeout: &TransferTimeout) -> Option<Duration> {
        conn.suspended_since
            .is_none()
            .then(|| conn.state_since + conn.suspended_total + timeout.streaming_limit(conn.bytes))
    }

    fn start_streaming(&mut self, id: ConnId) {
        let Some(conn) = self.conns.get_mut(&id).filter(|conn| !conn.aborted) else { return };
        conn.streaming = matches!(conn.state, State::Body | State::Writing);
        self.progress(id, self.conns[&id].state, 0);
    }

    fn transfer_suspended(&mut self, id: ConnId, suspended: bool) {
        let now = self.now;
        let Some(conn) = self.conns.get_mut(&id).filter(|conn| conn.streaming && !conn.aborted) else {
            return;
        };
        match (suspended, conn.suspended_since) {
            (true, None) => conn.suspended_since = Some(now),
            (false, Some(since)) => {
                conn.suspended_total += now - since;
                conn.suspended_since = None;
            }
            _ => return,
        }
        self.progress(id, self.conns[&id].state, 0);
    }

    fn progress(&mut self, id: ConnId, state: State, bytes: u64) {
        let Some(conn) = self.conns.get_mut(&id).filter(|conn| conn.state == state && !conn.aborted) else {
            return;
        };
        conn.bytes += bytes;
        conn.transferred_at = self.now;
        let timeout_at = self.timeout_in_state(&self.conns[&id]);
        self.set_timeout(id, timeout_at);
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

    /// Sets the time limit of a connection. Moving it to a later time leaves the queued timer, which then
    /// fires early once.
    fn set_timeout(&mut self, id: ConnId, timeout_at: Option<Duration>) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        conn.timeout_at = timeout_at;
        if let Some(timer_at) =
            conn.timer_at.filter(|timer_at| timeout_at.is_some_and(|timeout_at| timeout_at < *timer_at))
        {
            self.timers.remove(&(timer_at, id));
            conn.timer_at = None;
        }
        if let (Some(timeout_at), None) = (timeout_at, conn.timer_at) {
            self.timers.insert((timeout_at, id));
            conn.timer_at = Some(timeout_at);
        }
    }

    // ---- Timers

    fn tick(&mut self, actions: &mut Vec<Action>) {
        if self.budget < self.full_budget() && self.now >= self.budget_grown_at + Duration::from_secs(1) {
            self.budget_grown_at = self.now;
            self.budget = (self.budget + (self.shares.total / 16).max(1)).min(self.full_budget());
        }
        while let Some((timer_at, id)) =
            self.timers.first().copied().filter(|(timer_at, _)| *timer_at <= self.now)
        {
            self.timers.remove(&(timer_at, id));
            let conn = self.conns.get_mut(&id).expect("connections with a timer are known");
            conn.timer_at = None;
            match conn.timeout_at {
                Some(timeout_at) if timeout_at <= self.now => self.timed_out(id, actions),
                timeout_at => self.set_timeout(id, timeout_at),
            }
        }
    }

    fn timed_out(&mut self, id: ConnId, actions: &mut Vec<Action>) {
        let conn = &self.conns[&id];
        match conn.state {
            // It was accepted only to be refused, and has not even sent a request.
            State::New if conn.refuse_only => self.close(id, Reason::Dropped, actions),
            State::New => self.enter(id, State::Silent),
            State::Silent => {
                if self.level > Level::Calm {
                    self.early_closes.add();
                }
                self.close(id, Reason::Silent, actions);
            }
            // Not the client's fault: it is refused.
            State::Head if conn.read_deferred => self.expire(id, Reason::Shed, actions),
            State::Head => self.expire(id, Reason::SlowHead, actions),
            State::Body if conn.read_deferred => self.expire(id, Reason::Shed, actions),
            State::Body => self.expire(id, Reason::SlowBody, actions),
            // The reader of its body should have answered it and has not.
            State::Waiting => self.abort(id, Reason::SlowBody, actions),
            State::Writing => self.abort(id, Reason::SlowRead, actions),
            State::Idle if !conn.reuse_recorded => {
                self.record_reuse(id, false);
                let conn = &self.conns[&id];
                if self.reuse_probability(conn) < self.keep_threshold() {
                    self.shed(id, Reason::Shed, actions);
                } else {
                    let timeout_at = self.timeout_in_state(conn);
                    self.set_timeout(id, timeout_at);
                }
            }
            State::Idle => self.close(id, Reason::Idle, actions),
            State::Closing if conn.half_closed => self.abort(id, Reason::Lingered, actions),
            // The front was told to close it already and has not reported doing so.
            State::Closing => {
                self.set_timeout(id, Some(self.now + self.settings.linger));
                actions.push(Action::Close(id));
            }
        }
    }

    fn update_level(&mut self, actions: &mut Vec<Action>) {
        if !self.settings.adaptive {
            return;
        }
        let s = &self.settings;
        let occupancy =
            (self.served_count() + self.early_closes.count()) as f64 / self.expected_connections() as f64;
        let level = match self.level {
            _ if occupancy >= s.full_at => Level::Full,
            Level::Full if occupancy >= s.pressed_below => Level::Full,
            _ if occupancy >= s.pressed_at => Level::Pressed,
            Level::Pressed | Level::Full if occupancy >= s.calm_below => Level::Pressed,
            _ => Level::Calm,
        };
        let dwelled = self.now >= self.level_since + s.dwell;
        if level > self.level || level < self.level && dwelled {
            actions.push(Action::LevelChanged { from: self.level, to: level });
            let rises = level > self.level;
            (self.level, self.level_since) = (level, self.now);
            if rises {
                self.relieve_pressure(actions);
            }
        }
    }

    // ---- Descriptors

    fn server_connection_requested(&mut self, actions: &mut Vec<Action>) -> Verdict {
        let granted =
            self.servers < self.server_limit() && self.memory.fits_server(memory::SERVER_CONNECTION);
        if granted {
            self.servers += 1;
            self.memory.charge_server(memory::SERVER_CONNECTION);
        }
        let is_short = self.counts.open() + self.servers + self.headroom() > self.budget;
        // Borrowed descriptors are reclaimed slightly before they are needed.
        if self.settings.adaptive && self.counts.open() > self.shares.clients && (is_short || !granted) {
            if let Some((_, oldest)) = self.half_closed_since.first().copied() {
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

    fn resources_exhausted(&mut self, actions: &mut Vec<Action>) {
        let used = self.counts.open() + self.servers;
        self.budget = used.saturating_sub(1).clamp(6, self.full_budget());
        self.budget_grown_at = self.now;
        if let Some((_, oldest)) = self.half_closed_since.first().copied() {
            self.abort(oldest, Reason::Starved, actions);
        } else if let Some(victim) = self.victim(None, RANK_NEW - 1) {
            // The budget has been reduced already, so a connection that is very likely to be reused stays.
            let conn = &self.conns[&victim];
            if !self.settings.adaptive
                || conn.state == State::Silent
                || self.reuse_probability(conn) < KEEP_THRESHOLD.1
            {
                self.shed(victim, Reason::Starved, actions);
            }
        }
        if self.servers > 0 {
            actions.push(Action::CloseServerConnection);
        }
    }

    /// Returns the connections without a request, including those accepted only to be refused.
    fn without_request(&self) -> Vec<ConnId> {
        self.in_state(|state| matches!(state, State::New | State::Silent | State::Idle))
    }

    fn in_state(&self, is: impl Fn(State) -> bool) -> Vec<ConnId> {
        let found = self.conns.iter().filter(|(_, conn)| !conn.aborted && is(conn.state));
        let mut found: Vec<ConnId> = found.map(|(id, _)| *id).collect();
        found.sort_unstable();
        found
    }

    /// Returns the part of the memory limit that goes with this process's part of the descriptors.
    fn proportional_memory(&self) -> u64 {
        let (limit, total) = (self.memory.node_limit(), self.shares.total as u64);
        (limit / total).saturating_mul(self.full_budget() as u64)
    }

    /// Returns the descriptors that may be in use while the operating system has enough.
    fn full_budget(&self) -> usize {
        self.shares.total.min(self.share_limit)
    }

    fn accepting_stopped(&mut self, actions: &mut Vec<Action>) {
        for id in self.without_request() {
            self.close(id, Reason::Ending, actions);
        }
    }
}
