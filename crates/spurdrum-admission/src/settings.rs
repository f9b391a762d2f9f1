//! What the budgets are, and what may be set about them.

use std::time::Duration;

use crate::Limits;

/// What can be set. [`Settings::default`] is what an installation gets that names none of them.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Whether pressure closes connections early, peers have shares, and unused descriptors are lent. Without
    /// it there are only budgets and times.
    pub adaptive: bool,
    /// Part of all descriptors that clients can be expected to hold open at this node: past it they cannot
    /// connect, however much room the node has.
    pub clients_hold: f64,
    /// Part of the descriptors in use (all less the reserve) that is the clients'; the rest is the servers'.
    pub client_share: f64,
    /// Part of each side's share that the other can never borrow.
    pub floor: f64,
    /// Part of the memory limit that client connections may hold.
    pub memory_share: f64,
    /// Part of the places that connections which say nothing may hold.
    pub silent_share: f64,
    /// Part of the places that half-sent requests may hold.
    pub sending_share: f64,
    /// Fill (connections open and closed early, over those expected) at which the node is pressed.
    pub pressed_at: f64,
    /// Fill below which it is calm again.
    pub calm_below: f64,
    /// Fill at which it is full.
    pub full_at: f64,
    /// Fill below which it is only pressed again.
    pub pressed_below: f64,
    /// A level lasts this long at least.
    pub dwell: Duration,
    /// A request that follows an answer within this time made keeping the connection worth it.
    pub return_within: Duration,
    /// Time in which what was learned of returns counts half.
    pub half_life: Duration,
    /// Of the connections that would be closed after their answer, one in so many is kept, to go on learning.
    pub explore: u32,
    /// A new connection counts as silent after this time.
    pub coming: Duration,
    /// A connection may stay silent for so long.
    pub silent: Duration,
    /// And for so long while the node is pressed.
    pub silent_pressed: Duration,
    /// A connection may stay idle after an answer for so long.
    pub idle: Duration,
    /// Time for a head, and how it grows and ends.
    pub head: TransferTimeout,
    /// Time for a body.
    pub body: TransferTimeout,
    /// Time for a client to read an answer.
    pub read: TransferTimeout,
    /// A connection that has been half-closed waits so long for its client's end.
    pub linger: Duration,
    /// Peer addresses that are remembered.
    pub peers: usize,
    /// Bits of an IPv6 address that make one peer.
    pub peer_prefix: u8,
    /// Refusals for want of a place say that the client may come back after this time.
    pub retry_after: Duration,
}

/// A time that grows with what comes: `first`, and a second more for every `rate` bytes, up to `most`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TransferTimeout {
    /// Before anything has come.
    pub initial: Duration,
    /// Bytes a second that are enough after it.
    pub min_rate: f64,
    /// However fast it is.
    pub max: Duration,
}

impl TransferTimeout {
    /// For what is long: `most` is only for its beginning.
    pub(crate) fn allowed_long(&self, bytes: u64) -> Duration {
        self.initial + Duration::from_secs_f64((bytes as f64 / self.min_rate).min(1e9))
    }

    pub(crate) fn allowed(&self, bytes: u64) -> Duration {
        let more = bytes as f64 / self.min_rate;
        (self.initial + Duration::from_secs_f64(more.min(self.max.as_secs_f64()))).min(self.max)
    }
}

impl Default for Settings {
    fn default() -> Self {
        let ms = Duration::from_millis;
        Self {
            adaptive: true,
            clients_hold: 1.0 / 3.0,
            client_share: 5.0 / 9.0,
            floor: 0.5,
            memory_share: 0.5,
            silent_share: 0.25,
            sending_share: 0.75,
            pressed_at: 0.75,
            calm_below: 0.55,
            full_at: 0.95,
            pressed_below: 0.8,
            dwell: ms(1000),
            return_within: ms(1000),
            half_life: ms(10_000),
            explore: 8,
            coming: ms(250),
            silent: ms(2500),
            silent_pressed: ms(500),
            idle: ms(5000),
            head: TransferTimeout { initial: ms(2500), min_rate: 4096.0, max: ms(3000) },
            body: TransferTimeout { initial: ms(1500), min_rate: 32_768.0, max: ms(5500) },
            read: TransferTimeout { initial: ms(1000), min_rate: 16_384.0, max: ms(6000) },
            linger: ms(500),
            peers: 4096,
            peer_prefix: 64,
            retry_after: ms(200),
        }
    }
}

impl Settings {
    /// What is wrong with a value: the setting's name and the reason.
    pub fn validate(&self) -> Result<(), (&'static str, String)> {
        let parts = [
            ("clients_hold", self.clients_hold),
            ("client_share", self.client_share),
            ("floor", self.floor),
            ("memory_share", self.memory_share),
            ("silent_share", self.silent_share),
            ("sending_share", self.sending_share),
        ];
        for (name, part) in parts {
            let all = name == "clients_hold" && part == 1.0;
            if !(all || part > 0.0 && part < 1.0) {
                return Err((name, format!("{part} is no part between 0 and 1")));
            }
        }
        let levels = [
            ("calm_below", self.calm_below, 0.0, self.pressed_at),
            ("pressed_at", self.pressed_at, self.calm_below, self.full_at),
            ("pressed_below", self.pressed_below, self.calm_below, self.full_at),
            ("full_at", self.full_at, self.pressed_below, 1.0 + f64::EPSILON),
        ];
        for (name, level, over, under) in levels {
            if !(level > over && level < under) {
                return Err((name, format!("{level} is not between {over} and {under}")));
            }
        }
        let times = [
            ("return_within_ms", self.return_within),
            ("half_life_ms", self.half_life),
            ("coming_ms", self.coming),
            ("silent_ms", self.silent),
            ("silent_pressed_ms", self.silent_pressed),
            ("idle_ms", self.idle),
            ("linger_ms", self.linger),
        ];
        for (name, time) in times {
            if time.is_zero() || time > Duration::from_secs(86_400) {
                return Err((name, "no time above 0 and up to a day".into()));
            }
        }
        for (name, pace) in [("head", self.head), ("body", self.body), ("read", self.read)] {
            let sound = !pace.initial.is_zero() && pace.initial <= pace.max && pace.min_rate >= 1.0;
            if !sound || pace.max > Duration::from_secs(86_400) {
                return Err((name, "needs 0 < first_ms <= most_ms <= a day and rate >= 1".into()));
            }
        }
        match () {
            () if self.explore == 0 => Err(("explore", "0 is below 1".into())),
            () if self.peers == 0 => Err(("peers", "0 is below 1".into())),
            () if !(1..=128).contains(&self.peer_prefix) => {
                Err(("peer_prefix", format!("{} is not between 1 and 128", self.peer_prefix)))
            }
            () => Ok(()),
        }
    }
}

/// How the descriptors are shared out, from what may be held in all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Shares {
    /// Clients' and servers' together.
    pub total: usize,
    /// The clients' own.
    pub clients: usize,
    /// The servers' own.
    pub servers: usize,
    /// What the clients keep when the servers borrow, and the reverse.
    pub client_floor: usize,
    pub server_floor: usize,
    /// Places for those that can only be refused, and for those that are half-closed.
    pub lobby: usize,
    /// Bytes.
    pub memory: u64,
}

impl Shares {
    pub fn new(settings: &Settings, limits: &Limits) -> Self {
        // Standard streams, event loop, signals, listener, discovery, a file that is read again, and slack.
        let reserve = (limits.sockets / 10).clamp(12, 64);
        let total = limits.sockets.saturating_sub(reserve).max(6);
        let clients = ((total as f64 * settings.client_share) as usize).clamp(4, total - 2);
        let servers = total - clients;
        let floor = |share: usize| match settings.adaptive {
            true => ((share as f64 * settings.floor) as usize).max(1),
            false => share,
        };
        Self {
            total,
            clients,
            servers,
            client_floor: floor(clients).max(4),
            server_floor: floor(servers),
            lobby: (clients / 12).max(1),
            memory: (limits.memory as f64 * settings.memory_share) as u64,
        }
    }
}
