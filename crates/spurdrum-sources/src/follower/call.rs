//! A call that is out.

use std::time::Duration;

use super::{Ask, CallId};

pub(super) struct Call {
    pub(super) id: CallId,
    pub(super) ask: Ask,
    pub(super) started: Duration,
    /// When its answer should have come, and whether that has been acted on.
    pub(super) overdue_at: Duration,
    pub(super) overdue: bool,
    pub(super) give_up_at: Duration,
    /// Begun on evidence from the servers.
    pub(super) by_evidence: bool,
    /// Whether its time says something of discovery.
    pub(super) timed: bool,
}

impl Call {
    pub(super) fn is_watch(&self) -> bool {
        matches!(self.ask, Ask::Watch { .. })
    }
}
