//! The settings of admission control, and the budgets that follow from them.

use std::time::Duration;

use crate::Limits;

/// The settings of admission control. [`Settings::default`] holds the values of settings that the
/// configuration does not name.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Whether connections are closed early under pressure, capacity is divided fairly among peers, and
    /// unused descriptors are lent. Without it there are only fixed budgets and time limits.
    pub adaptive: bool,
    /// The share of all descriptors that clients can be expected to hold open at this node. Beyond it they
    /// cannot connect, however much capacity the node has.
    pub clients_hold: f64,
    /// The clients' share of the usable descriptors (all of them without the reserve); the rest is for
    /// connections to servers.
    pub client_share: f64,
    /// The fraction of each side's share that the other side can never borrow.
    pub floor: f64,
    /// The share of the memory limit that client connections may use.
    pub memory_share: f64,
    /// The share of the serving capacity that silent connections may hold.
    pub silent_share: f64,
    /// The share of the serving capacity that half-sent requests may hold.
    pub sending_share: f64,
    /// The occupancy (served connections and those recently closed early, relative to the expected number) at
    /// which the level rises to [`Level::Pressed`](crate::Level::Pressed).
    pub pressed_at: f64,
    /// The occupancy below which the level falls back to [`Level::Calm`](crate::Level::Calm).
    pub calm_below: f64,
    /// The occupancy at which the level rises to [`Level::Full`](crate::Level::Full).
    pub full_at: f64,
    /// The occupancy below which the level falls from `Full` to `Pressed`.
    pub pressed_below: f64,
    /// The shortest time for which a level is kept before it may fall.
    pub dwell: Duration,
    /// A connection counts as reused if its next request arrives within this time after a response.
    pub return_within: Duration,
    /// The half-life of what was learned about connection reuse.
    pub half_life: Duration,
    /// One in this many connections that would be closed after their response is kept open, so that learning
    /// continues.
    pub explore: u32,
    /// A new connection counts as silent after this time.
    pub coming: Duration,
    /// How long a connection may stay silent.
    pub silent: Duration,
    /// How long a connection may stay silent while the node is under pressure.
    pub silent_pressed: Duration,
    /// How long a connection may stay idle after a response.
    pub idle: Duration,
    /// The time limit for receiving a request head.
    pub head: TransferTimeout,
    /// The time limit for receiving a request body.
    pub body: TransferTimeout,
    /// The time limit for a client to read a response.
    pub read: TransferTimeout,
    /// How long a half-closed connection waits for its client to close its side.
    pub linger: Duration,
    /// How many peer addresses are remembered.
    pub peers: usize,
    /// The prefix length, in bits, that identifies a peer by its IPv6 address.
    pub peer_prefix: u8,
    /// The delay after which a client refused for want of capacity is told to retry.
    pub retry_after: Duration,
}

/// A time limit that grows with the bytes transferred: `initial`, plus a second for every `min_rate` bytes,
/// up to `max`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TransferTimeout {
    /// The limit before any byte has been transferred.
    pub initial: Duration,
    /// The transfer rate in bytes per second that is sufficient from then on.
    pub min_rate: f64,
    /// The limit however fast the transfer is.
    pub max: Duration,
}

impl TransferTimeout {
    /// Returns the limit of a streamed transfer: `max` applies only until it is streamed.
    pub(crate) fn streaming_limit(&self, bytes: u64) -> Duration {
        self.initial + Duration::from_secs_f64((bytes as f64 / self.min_rate).min(1e9))
    }

    pub(crate) fn limit(&self, bytes: u64) -> Duration {
        let extra = bytes as f64 / self.min_rate;
        (self.initial + Duration::from_secs_f64(extra.min(self.max.as_secs_f64()))).min(self.max)
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
    /// Checks the values. The error is the name of the wrong setting and the reason.
    pub fn validate(&self) -> Result<(), (&'static str, String)> {
        let shares = [
            ("clients_hold", self.clients_hold),
            ("client_share", self.client_share),
            ("floor", self.floor),
            ("memory_share", self.memory_share),
            ("silent_share", self.silent_share),
            ("sending_share", self.sending_share),
        ];
        for (name, share) in shares {
            let whole_allowed = name == "clients_hold" && share == 1.0;
            if !(whole_allowed || share > 0.0 && share < 1.0) {
                return Err((name, format!("{share} is not between 0 and 1")));
            }
        }
        let thresholds = [
            ("calm_below", self.calm_below, 0.0, self.pressed_at),
            ("pressed_at", self.pressed_at, self.calm_below, self.full_at),
            ("pressed_below", self.pressed_below, self.calm_below, self.full_at),
            ("full_at", self.full_at, self.pressed_below, 1.0 + f64::EPSILON),
        ];
        for (name, threshold, lower, upper) in thresholds {
            if !(threshold > lower && threshold < upper) {
                return Err((name, format!("{threshold} is not between {lower} and {upper}")));
            }
        }
        let durations = [
            ("return_within_ms", self.return_within),
            ("half_life_ms", self.half_life),
            ("coming_ms", self.coming),
            ("silent_ms", self.silent),
            ("silent_pressed_ms", self.silent_pressed),
            ("idle_ms", self.idle),
            ("linger_ms", self.linger),
        ];
        for (name, duration) in durations {
            if duration.is_zero() || duration > Duration::from_secs(86_400) {
                return Err((name, "must be above 0 and at most a day".into()));
            }
        }
        for (name, timeout) in [("head", self.head), ("body", self.body), ("read", self.read)] {
            let valid =
                !timeout.initial.is_zero() && timeout.initial <= timeout.max && timeout.min_rate >= 1.0;
            if !valid || timeout.max > Duration::from_secs(86_400) {
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

/// How the descriptors and the memory that the process may use are divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Shares {
    /// Usable descriptors of clients and servers together.
    pub total: usize,
    /// The clients' own share of `total`.
    pub clients: usize,
    /// The servers' own share of `total`.
    pub servers: usize,
    /// What the clients keep when the servers borrow from them, and the reverse.
    pub client_floor: usize,
    pub server_floor: usize,
    /// How many connections may be open only to be refused, and how many may be closing.
    pub side_pool: usize,
}

impl Shares {
    pub fn new(settings: &Settings, limits: &Limits) -> Self {
        // The reserve covers the standard streams, event loop, signals, listener, discovery, a file that is
        // reloaded, and slack.
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
            side_pool: (clients / 12).max(1),
        }
    }
}
