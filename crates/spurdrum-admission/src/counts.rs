//! Counters of connections and closing reasons for operators.

use std::fmt;

use crate::State;

/// Why the node closed a connection or refused a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The client sent no request in time.
    Silent,
    /// A request head was received too slowly.
    SlowHead,
    /// A request body was received too slowly.
    SlowBody,
    /// The client did not read its response in time.
    SlowRead,
    /// The connection was idle for the longest time allowed.
    Idle,
    /// The connection was closed after its response: such connections are seldom reused.
    Early,
    /// The connection made room for another one, or was idle under pressure.
    Shed,
    /// The request was refused for want of connection capacity or memory.
    Refused,
    /// The connection was closed on arrival: there was no capacity even to refuse it.
    Dropped,
    /// The connection was half-closed for the longest time allowed, or made room while it was.
    Lingered,
    /// The operating system had no descriptors.
    Starved,
    /// The node is shutting down.
    Ending,
}

/// The number of [`Reason`]s.
pub const REASON_COUNT: usize = 12;
/// The number of [`State`]s.
pub const STATE_COUNT: usize = 8;

const REASON_NAMES: [&str; REASON_COUNT] = [
    "silent",
    "slow_head",
    "slow_body",
    "slow_read",
    "idle",
    "early",
    "shed",
    "refused",
    "dropped",
    "lingered",
    "starved",
    "ending",
];
const STATE_NAMES: [&str; STATE_COUNT] =
    ["new", "silent", "head", "body", "waiting", "writing", "idle", "closing"];

/// The number of connections in each state now, and of closings by reason since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub(crate) states: [usize; STATE_COUNT],
    pub(crate) reasons: [u64; REASON_COUNT],
}

impl Counts {
    /// Returns the number of connections in a state.
    pub fn in_state(&self, state: State) -> usize {
        self.states[state as usize]
    }

    /// Returns how many connections were closed or requests refused for a reason.
    pub fn for_reason(&self, reason: Reason) -> u64 {
        self.reasons[reason as usize]
    }

    /// Returns the number of all connections.
    pub fn open(&self) -> usize {
        self.states.iter().sum()
    }
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "open={}", self.open())?;
        STATE_NAMES.iter().zip(self.states).try_for_each(|(name, n)| write!(f, " {name}={n}"))?;
        write!(f, "; closed")?;
        REASON_NAMES.iter().zip(self.reasons).try_for_each(|(name, n)| write!(f, " {name}={n}"))
    }
}
