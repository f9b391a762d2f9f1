//! What operators see.

use std::fmt;

use crate::State;

/// Why a connection was closed, or a request refused, by the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It never asked.
    Silent,
    /// A head came too slowly.
    SlowHead,
    /// A body came too slowly.
    SlowBody,
    /// Its answer was not read.
    SlowRead,
    /// It stood idle for as long as it may.
    Idle,
    /// Its answer was its last: such connections seldom come back.
    Early,
    /// It made room for another, or stood idle under pressure.
    Shed,
    /// It was refused for want of a place or memory.
    Refused,
    /// It was closed as it came: there was no place to refuse it from.
    Dropped,
    /// It was half-closed for as long as may be, or made room.
    Lingered,
    /// The system had no descriptors.
    Starved,
    /// The node is ending.
    Ending,
}

/// How many reasons there are.
pub const REASON_COUNT: usize = 12;
/// How many states there are.
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

/// Connections by state now, and closings by reason since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub(crate) states: [usize; STATE_COUNT],
    pub(crate) reasons: [u64; REASON_COUNT],
}

impl Counts {
    /// Connections in a state.
    pub fn in_state(&self, state: State) -> usize {
        self.states[state as usize]
    }

    /// Closings and refusals for a reason.
    pub fn for_reason(&self, reason: Reason) -> u64 {
        self.reasons[reason as usize]
    }

    /// All connections.
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
