//! The account of memory: what every connection holds at its stage, what the process holds beside them, and
//! who may take more.
//!
//! Each amount is the most that a connection can hold at that stage, so the sum bounds what all of them hold.
//! Nothing grows before it has been charged: a connection that gets no memory leaves its input unread. What
//! the process holds beyond the sum (its lists, freed memory that the allocator keeps) is measured and
//! deducted from what may be charged.

use std::time::Duration;

use crate::Limits;

const KIB: u64 = 1024;

/// What a client connection holds between two requests: its task, its buffers for a head and for a response's
/// head, and its entries in tables. The program's `benches/idle_connections.rs` measures it.
pub const CONNECTION: u64 = 26 * KIB;
/// What an idle connection to a server holds, and a response of up to [`SMALL_BODY`].
pub(crate) const SERVER_CONNECTION: u64 = 24 * KIB;
/// What a response that is buffered holds at most, with the growth of the connection's buffers.
const BUFFERED_RESPONSE: u64 = 64 * KIB + 32 * KIB;
/// What a request that is buffered holds at most, beside [`REQUEST`].
const BUFFERED_REQUEST: u64 = 64 * KIB + READ_BUFFER_GROWTH;
/// By how much the read buffer of a connection has grown after a long head or body. The buffer keeps its size.
pub(crate) const READ_BUFFER_GROWTH: u64 = 16 * KIB;
/// The longest body that is received without [`READ_BUFFER_GROWTH`].
pub(crate) const SMALL_BODY: u64 = 4 * KIB;
/// By how much the read buffer grows when a head arrives in more than one piece.
const PARTIAL_HEAD: u64 = 8 * KIB;
/// The step in which the copy of a partial head grows.
const HEAD_STEP: u64 = 4 * KIB;
/// The longest head that needs no growth of the read buffer.
const SMALL_HEAD: u64 = 8 * KIB;
/// What a request holds from the end of its head to its response: its tables of header fields, the buffer of
/// its head, and the tasks that serve it.
const REQUEST: u64 = 22 * KIB;
/// What each byte of a request's head and each header field add: the head is kept, and parts are copied.
const REQUEST_HEAD_COPIES: u64 = 2;
const HEADER_FIELD: u64 = 192;
/// What is received behind a request that is not answered yet: buffers of 16 KiB in three places.
pub const PIPELINED: u64 = 48 * KIB;

/// Memory is returned to the system when this part of the limit has been freed, and at least so much.
const RELEASE_FRACTION: u64 = 16;
const MIN_RELEASE: u64 = 1024 * KIB;
/// The least time between two returns of memory to the system.
const RELEASE_INTERVAL: Duration = Duration::from_millis(250);
/// Those who wait for memory are woken when this much has been freed.
const WAKE_STEP: u64 = 24 * KIB;
/// The part of the limit that is never charged: what the process may take between two measurements.
const RESERVE_FRACTION: u64 = 8;
/// The part of the rest that may be charged whatever the process holds beside its connections: a node whose
/// tables outgrow its limit still serves.
const MIN_CHARGED_FRACTION: u64 = 4;
/// The part of what may be charged that is left for connections to servers and responses.
const RESPONSE_FRACTION: u64 = 16;

/// The size of a request's head.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeadSize {
    /// Its length in bytes.
    pub bytes: u64,
    /// The number of its header fields.
    pub fields: u64,
}

/// What the account shows to operators, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryUsage {
    /// Charged to client connections: buffers, heads and bodies.
    pub clients: u64,
    /// Charged to requests and responses.
    pub requests: u64,
    /// Charged to connections to servers and the responses that are received on them.
    pub servers: u64,
    /// Measured beyond what is charged.
    pub unaccounted: u64,
    /// The most that may be charged now.
    pub max: u64,
}

impl MemoryUsage {
    /// Returns all that is charged.
    pub fn charged(&self) -> u64 {
        self.clients + self.requests + self.servers
    }
}

/// What one client connection holds beside [`CONNECTION`].
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Holding {
    /// The head that is being received.
    pub head: u64,
    /// The body that is being received.
    pub body: u64,
    /// What has been received behind the current request.
    pub pipelined: u64,
    /// The growth of the read buffer, which stays.
    pub grown: u64,
    /// The current request, with its body once that is complete.
    pub request: u64,
    /// The response that is being written.
    pub response: u64,
}

impl Holding {
    /// Returns what counts against the clients' share.
    pub fn client_part(&self) -> u64 {
        CONNECTION + self.head + self.body + self.pipelined + self.grown
    }

    /// Returns what counts as work.
    pub fn request_part(&self) -> u64 {
        self.request + self.response
    }

    /// A body that is complete counts as work: the clients' share is for those that may not complete theirs.
    pub fn complete_request(&mut self) {
        self.request += std::mem::take(&mut self.body);
    }

    /// Returns what is freed when the connection is closed towards its client.
    pub fn beyond_idle(&self) -> u64 {
        self.client_part() + self.request_part() - CONNECTION
    }
}

/// Returns what a partial head of this length holds.
pub(crate) fn partial_head(bytes: u64) -> u64 {
    PARTIAL_HEAD + bytes.max(1).next_multiple_of(HEAD_STEP)
}

/// Returns what is held for input behind a request that is not answered yet.
pub(crate) fn pipelined() -> u64 {
    PIPELINED
}

/// Returns what a request holds beside its body.
pub(crate) fn request(head: HeadSize) -> u64 {
    REQUEST + REQUEST_HEAD_COPIES * head.bytes + HEADER_FIELD * head.fields
}

/// Returns the growth of the read buffer by a request of this size.
pub(crate) fn growth(head: HeadSize, body: u64) -> u64 {
    if head.bytes > SMALL_HEAD || body > SMALL_BODY {
        READ_BUFFER_GROWTH
    } else {
        0
    }
}

/// Returns whether a partial head of this length is a large one.
pub(crate) fn is_large_head(bytes: u64) -> bool {
    bytes > SMALL_HEAD
}

/// Who asks for memory, from the first who is refused to the last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Priority {
    /// A long head or body of a client that has not completed a request yet.
    LongFirstRequest,
    /// A new connection, or a long head or body of a known client.
    NewConnection,
    /// A short first request.
    FirstRequest,
    /// A short request of a client that has completed one before.
    KnownClient,
}

impl Priority {
    pub fn of_request(is_known: bool, is_long: bool) -> Self {
        match (is_known, is_long) {
            (false, true) => Self::LongFirstRequest,
            (true, true) => Self::NewConnection,
            (false, false) => Self::FirstRequest,
            (true, false) => Self::KnownClient,
        }
    }

    /// Returns the part of the clients' share that may be used, where long half-sent requests may use
    /// `sending_share` of it; none if only all that is charged counts.
    fn usable_share(self, sending_share: f64) -> Option<f64> {
        let left = 1.0 - sending_share;
        match self {
            Self::LongFirstRequest => Some(sending_share),
            Self::NewConnection => Some(sending_share + left / 2.0),
            Self::FirstRequest => Some(1.0),
            Self::KnownClient => None,
        }
    }
}

/// The memory of one process of the node.
#[derive(Debug)]
pub(crate) struct MemoryAccount {
    /// The limit of the node.
    node_limit: u64,
    /// The part of it that this process may hold; the rest is held by another process of the node.
    process_limit: u64,
    /// The part of the limit that client connections may hold.
    client_share: f64,
    /// The part of that for long half-sent requests.
    sending_share: f64,
    clients: u64,
    requests: u64,
    servers: u64,
    unaccounted: u64,
    /// What will be freed by connections that have been told to close.
    releasing: u64,
    /// The most that was charged since memory was last returned to the system, and when that was.
    peak: u64,
    released_at: Duration,
    /// Whether someone waits for memory, and what has been freed since all who wait were last woken.
    has_waiters: bool,
    freed: u64,
}

impl MemoryAccount {
    pub fn new(limits: &Limits, client_share: f64, sending_share: f64) -> Self {
        Self {
            node_limit: limits.memory,
            process_limit: limits.memory,
            client_share,
            sending_share,
            clients: 0,
            requests: 0,
            servers: 0,
            unaccounted: 0,
            releasing: 0,
            peak: 0,
            released_at: Duration::ZERO,
            has_waiters: false,
            freed: 0,
        }
    }

    /// Returns the memory limit of the node.
    pub fn node_limit(&self) -> u64 {
        self.node_limit
    }

    /// Sets the part of the node's limit that this process may hold.
    pub fn set_process_limit(&mut self, max: u64) {
        self.process_limit = max.min(self.node_limit);
        self.freed = WAKE_STEP;
    }

    /// Returns the part of the node's limit that this process needs for what it holds.
    pub fn held_limit(&self) -> u64 {
        self.limit_for(0)
    }

    /// Returns the part of the node's limit that this process needs for what it holds, for the responses to
    /// `pending` requests, and for `to_come` requests in all.
    pub fn needed_limit(&self, pending: u64, to_come: u64) -> u64 {
        let clients = to_come * BUFFERED_REQUEST;
        let work = to_come * (request(HeadSize::default()) + SERVER_CONNECTION + BUFFERED_RESPONSE)
            + pending * BUFFERED_RESPONSE;
        let by_clients = (self.clients + clients) as f64 / (self.client_share * self.sending_share);
        self.limit_for(clients + work).max(by_clients as u64)
    }

    /// Returns the least limit that leaves room for `more` than is charged: the inverse of what
    /// [`max`](Self::max) and [`fits`](Self::fits) leave of a limit.
    fn limit_for(&self, more: u64) -> u64 {
        let with_reserve = |bytes: u64, fraction: u64| bytes + bytes / (fraction - 1) + 1;
        let usable = with_reserve(self.charged() + more, RESPONSE_FRACTION) + self.unaccounted;
        with_reserve(usable, RESERVE_FRACTION)
    }

    /// Records what the process holds in all.
    pub fn measured(&mut self, resident: u64) {
        self.unaccounted = resident.saturating_sub(self.charged());
        self.freed = WAKE_STEP;
    }

    pub fn usage(&self) -> MemoryUsage {
        MemoryUsage {
            clients: self.clients,
            requests: self.requests,
            servers: self.servers,
            unaccounted: self.unaccounted,
            max: self.max(),
        }
    }

    /// Returns all that is charged.
    pub fn charged(&self) -> u64 {
        self.clients + self.requests + self.servers
    }

    /// Returns the most that may be charged.
    fn max(&self) -> u64 {
        let usable = self.process_limit - self.process_limit / RESERVE_FRACTION;
        usable.saturating_sub(self.unaccounted).max(usable / MIN_CHARGED_FRACTION)
    }

    /// Returns whether a client connection may hold `client_part` more, and its request `request_part`.
    pub fn fits(&self, client_part: u64, request_part: u64, priority: Priority) -> bool {
        let share = priority.usable_share(self.sending_share);
        let max_clients = share.map(|share| (self.process_limit as f64 * self.client_share * share) as u64);
        let max = self.max();
        max_clients.is_none_or(|max_clients| self.clients + client_part <= max_clients)
            && self.charged() + client_part + request_part <= max - max / RESPONSE_FRACTION
    }

    /// Returns whether a connection to a server, or a response on it, may take this much.
    pub fn fits_server(&self, bytes: u64) -> bool {
        self.charged() + bytes <= self.max()
    }

    /// Replaces what one client connection is charged.
    pub fn replace(&mut self, before: Option<&Holding>, after: Option<&Holding>) {
        let parts = |holding: Option<&Holding>| {
            holding.map_or((0, 0), |holding| (holding.client_part(), holding.request_part()))
        };
        let ((clients, requests), (more_clients, more_requests)) = (parts(before), parts(after));
        self.clients = self.clients - clients + more_clients;
        self.requests = self.requests - requests + more_requests;
        self.note_change((clients + requests).saturating_sub(more_clients + more_requests));
    }

    pub fn charge_server(&mut self, bytes: u64) {
        self.servers += bytes;
        self.note_change(0);
    }

    pub fn release_server(&mut self, bytes: u64) {
        let bytes = bytes.min(self.servers);
        self.servers -= bytes;
        self.note_change(bytes);
    }

    fn note_change(&mut self, freed: u64) {
        self.freed += freed;
        self.peak = self.peak.max(self.charged());
    }

    /// Records that a connection was told to close, which will free this much.
    pub fn expect_release(&mut self, bytes: u64) {
        self.releasing += bytes;
    }

    /// Records that a connection that was told to close has freed this much.
    pub fn released(&mut self, bytes: u64) {
        self.releasing = self.releasing.saturating_sub(bytes);
    }

    /// Returns whether less than this will be freed by connections that are closing.
    pub fn needs_relief(&self, bytes: u64) -> bool {
        self.releasing < bytes
    }

    /// Records that someone waits for memory.
    pub fn wait(&mut self) {
        if !self.has_waiters {
            (self.has_waiters, self.freed) = (true, 0);
        }
    }

    /// Returns whether those who wait should ask again.
    pub fn take_wake(&mut self) -> bool {
        let wakes = self.has_waiters && self.freed >= WAKE_STEP;
        if wakes {
            self.has_waiters = false;
        }
        wakes
    }

    /// Returns when freed memory is to be returned to the system, if there is enough of it.
    pub fn release_due(&self) -> Option<Duration> {
        let worthwhile = (self.process_limit / RELEASE_FRACTION).max(MIN_RELEASE);
        (self.peak - self.charged() >= worthwhile).then_some(self.released_at + RELEASE_INTERVAL)
    }

    /// Records that freed memory is returned to the system now.
    pub fn release(&mut self, now: Duration) {
        (self.peak, self.released_at) = (self.charged(), now);
    }
}
