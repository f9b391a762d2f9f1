//! A call to discovery that has not ended yet.

use std::time::Duration;

use super::{CallId, Query};

/// What the follower still expects of an open call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallState {
    /// The follower waits for the answer.
    Awaited,
    /// The call has been silent for longer than its time-out, so other calls are made. It stays open to keep
    /// its place in discovery's queue: if it were closed and made again, it would wait from the end of the
    /// queue.
    TimedOut,
    /// A later answer has already delivered what this call asked for. Its own answer may still be on its way,
    /// and be newer.
    Superseded,
}

/// An open call.
#[derive(Clone)]
pub(super) struct Call {
    pub(super) id: CallId,
    pub(super) query: Query,
    /// Which address of discovery the call went to, as the number of address changes before it.
    pub(super) address_epoch: u64,
    pub(super) started_at: Duration,
    /// Whether discovery has accepted the connection of the call.
    pub(super) accepted: bool,
    /// When the answer is overdue, and whether the follower has already acted on that.
    pub(super) overdue_at: Duration,
    pub(super) overdue: bool,
    /// When the follower stops waiting for the call and makes others, and when it closes the call.
    pub(super) timeout_at: Duration,
    pub(super) close_at: Duration,
    pub(super) state: CallState,
    /// Whether evidence from the servers caused the call.
    pub(super) by_evidence: bool,
    /// Whether the duration of the call is a valid sample of how long discovery takes.
    pub(super) timing_valid: bool,
}

impl Call {
    pub(super) fn is_watch(&self) -> bool {
        matches!(self.query, Query::Watch { .. })
    }

    /// Returns the time since the end of the wait that the call asked for; none if the wait is not over.
    pub(super) fn time_past_wait(&self, now: Duration) -> Option<Duration> {
        now.checked_sub(self.started_at + self.query.wait())
    }

    pub(super) fn is_awaited(&self) -> bool {
        self.state == CallState::Awaited
    }

    /// Returns when the follower next has to act on the call.
    pub(super) fn next_wake(&self) -> Duration {
        match self.state {
            CallState::Awaited if !self.overdue => self.overdue_at.min(self.timeout_at),
            CallState::Awaited => self.timeout_at,
            CallState::TimedOut | CallState::Superseded => self.close_at,
        }
    }
}
