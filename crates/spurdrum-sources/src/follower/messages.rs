//! What a follower is told, what it wants done, and what it shows.

use std::fmt;
use std::time::Duration;

use super::StartupResult;
use crate::List;

/// A call, by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// What is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Query {
    /// What is newer than a version, as soon as there is something, or nothing after the wait.
    Watch {
        /// The version held.
        since: u64,
        /// The longest that discovery may wait.
        wait: Duration,
    },
    /// What is newer than a version, at once.
    Poll {
        /// The version held.
        since: u64,
    },
    /// The whole list.
    Read,
}

impl Query {
    /// How long discovery may let it wait for news.
    #[must_use]
    pub fn wait(self) -> Duration {
        match self {
            Self::Watch { wait, .. } => wait,
            Self::Poll { .. } | Self::Read => Duration::ZERO,
        }
    }

    /// Its place among the counts of calls.
    pub(super) fn kind(self) -> usize {
        match self {
            Self::Watch { .. } => 0,
            Self::Poll { .. } => 1,
            Self::Read => 2,
        }
    }
}

impl fmt::Display for Query {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Watch { since, wait } => write!(f, "watch since {since} for {} ms", wait.as_millis()),
            Self::Poll { since } => write!(f, "poll since {since}"),
            Self::Read => f.write_str("read"),
        }
    }
}

/// How a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection.
    Unreachable,
    /// The connection broke, or its answer did.
    ConnectionLost,
    /// A kept connection was dead: discovery may be well.
    ReusedConnectionClosed,
    /// An answer that is no list, by its status or its text.
    InvalidList,
}

/// What the servers of the list do that the list does not explain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// A listed server cannot be reached.
    Unreachable(u64),
    /// A listed server turns work away; idle where it says itself that nothing waits there.
    Refused {
        /// Whether it told that nothing waits.
        idle: bool,
    },
    /// The decisions took a server out.
    Ejected,
    /// A server says that it was started at another time than the list has.
    Restarted,
}

/// What happens.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; the first one begins.
    Tick,
    /// The head of an answer has come, which announces so many bytes.
    AnswerStarted {
        /// The call.
        call: CallId,
        /// Bytes of the body, where they are told.
        length: u64,
    },
    /// A whole answer has come.
    Answered {
        /// The call.
        call: CallId,
        /// What it says.
        list: List,
    },
    /// A call has failed.
    Failed {
        /// The call.
        call: CallId,
        /// How.
        failure: Failure,
    },
    /// Discovery is to be found elsewhere; its versions are its own.
    AddressChanged,
    /// The servers show something.
    Evidence(Evidence),
}

/// What is to be done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Ask.
    Call {
        /// Its number from now on.
        call: CallId,
        /// What.
        query: Query,
    },
    /// Close a call that has not ended; nothing more is heard of it.
    Close {
        /// Which.
        call: CallId,
        /// Why.
        reason: CloseReason,
    },
    /// This is the list now, or what changed in it.
    Apply(List),
    /// The view is trusted otherwise than before.
    FreshnessChanged {
        /// Before.
        from: Freshness,
        /// Now.
        to: Freshness,
        /// Why.
        cause: Cause,
    },
    /// A whole list is shorter by much: entries before and now.
    ListShrunk(usize, usize),
    /// The process may serve from now on; once, after the list that came with this answer has been applied.
    Ready(StartupResult),
}

/// Why a call is closed before it has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// It has been silent for too long.
    TimedOut,
    /// Another call has been answered.
    Superseded,
    /// There are too many others.
    TooManyCalls,
    /// Discovery is to be found elsewhere.
    AddressChanged,
}

impl fmt::Display for CloseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TimedOut => "silent for too long",
            Self::Superseded => "another call was answered",
            Self::TooManyCalls => "too many calls",
            Self::AddressChanged => "discovery has moved",
        })
    }
}

/// How far the view can be trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Freshness {
    /// Discovery answers.
    Fresh,
    /// Something speaks against it.
    Doubtful,
    /// It has not been confirmed for a while.
    Stale,
}

impl fmt::Display for Freshness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Fresh => "fresh",
            Self::Doubtful => "doubtful",
            Self::Stale => "blind",
        })
    }
}

/// Why the view changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The list of an earlier run.
    RestoredList,
    /// Discovery has moved.
    AddressChanged,
    /// A call is overdue.
    Overdue,
    /// A call was silent and has been given up.
    TimedOut,
    /// A call failed.
    Failed(Failure),
    /// The servers speak against the list.
    Evidence(Evidence),
    /// A version older than the one held came from a call begun later.
    RevisionWentBack,
    /// A change came that does not follow on the list held.
    MissedChanges,
    /// The machine stood still.
    ProcessPaused,
    /// Nothing has confirmed it for too long.
    Unconfirmed,
    /// An answer has come.
    Answered,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::RestoredList => "the list is that of an earlier run",
            Self::AddressChanged => "discovery has moved",
            Self::Overdue => "a call is overdue",
            Self::TimedOut => "a call was silent",
            Self::Failed(Failure::Unreachable) => "discovery cannot be reached",
            Self::Failed(Failure::ConnectionLost) => "a call broke",
            Self::Failed(Failure::ReusedConnectionClosed) => "a kept connection was dead",
            Self::Failed(Failure::InvalidList) => "an answer is no list",
            Self::Evidence(Evidence::Unreachable(_)) => "listed servers cannot be reached",
            Self::Evidence(Evidence::Refused { .. }) => "listed servers turn work away",
            Self::Evidence(Evidence::Ejected) => "servers are taken out",
            Self::Evidence(Evidence::Restarted) => "a server has another start than the list says",
            Self::RevisionWentBack => "the version runs backwards",
            Self::MissedChanges => "a change does not follow on the list held",
            Self::ProcessPaused => "this machine stood still",
            Self::Unconfirmed => "nothing has confirmed it",
            Self::Answered => "the list comes",
        })
    }
}

/// What was done, since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Calls begun: watches, polls, reads.
    pub calls: [u64; 3],
    /// Answers that were taken, and of them with news.
    pub answers: u64,
    /// See `answers`.
    pub with_changes: u64,
    /// Answers older than what was held.
    pub outdated: u64,
    /// Calls given up as silent.
    pub timed_out: u64,
    /// Calls that failed otherwise.
    pub failed: u64,
    /// Pieces of evidence from servers, and calls that they led to.
    pub evidence: u64,
    /// See `evidence`.
    pub calls_on_evidence: u64,
    /// Calls that were wanted, for which the budget had nothing left.
    pub over_budget: u64,
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [watches, polls, reads] = self.calls;
        write!(
            f,
            "watches {watches}, polls {polls}, reads {reads}: answered {}, with news {}, old {}, silent {}, \
             failed {}; evidence {}, calls by it {}, calls not afforded {}",
            self.answers,
            self.with_changes,
            self.outdated,
            self.timed_out,
            self.failed,
            self.evidence,
            self.calls_on_evidence,
            self.over_budget
        )
    }
}
