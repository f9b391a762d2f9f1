//! A call that is out.

use std::time::Duration;

use super::{CallId, Query};

/// How far a call that is out can still be counted on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Standing {
    /// The node waits for its answer.
    Awaited,
    /// It has been silent for so long that others are made. It keeps its place at discovery: closed and made anew it would
    /// wait from the end of the queue.
    TimedOut,
    /// A later answer has told what it would. Its own may be on its way all the same, and newer.
    Superseded,
}

/// A call that is out.
#[derive(Clone)]
pub(super) struct Call {
    pub(super) id: CallId,
    pub(super) query: Query,
    /// The discovery that it went to, counted by moves.
    pub(super) origin: u64,
    pub(super) started: Duration,
    /// When its answer should have come, and whether that has been acted on.
    pub(super) overdue_at: Duration,
    pub(super) overdue: bool,
    /// From when on others are made, and until when it is kept.
    pub(super) silent_at: Duration,
    pub(super) close_at: Duration,
    pub(super) standing: Standing,
    /// Begun on evidence from the servers.
    pub(super) by_evidence: bool,
    /// Whether its time says something of discovery.
    pub(super) timed: bool,
}

impl Call {
    pub(super) fn is_watch(&self) -> bool {
        matches!(self.query, Query::Watch { .. })
    }

    /// How long after its wait it still is out, or ended; none where that is not over.
    pub(super) fn late(&self, now: Duration) -> Option<Duration> {
        now.checked_sub(self.started + self.query.wait())
    }

    pub(super) fn is_awaited(&self) -> bool {
        self.standing == Standing::Awaited
    }

    /// When something is to be done about it next.
    pub(super) fn next_wake(&self) -> Duration {
        match self.standing {
            Standing::Awaited if !self.overdue => self.overdue_at.min(self.silent_at),
            Standing::Awaited => self.silent_at,
            Standing::TimedOut | Standing::Superseded => self.close_at,
        }
    }
}
