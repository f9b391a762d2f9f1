//! The events and actions of a follower, and the state and counters that it reports.

use std::fmt;
use std::time::Duration;

use super::StartupResult;
use crate::List;

/// Identifies a call by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// What a call asks discovery for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Query {
    /// Changes newer than a revision, as soon as there are any, or an empty answer after the wait (a long
    /// poll).
    Watch {
        /// The revision that the follower holds.
        since: u64,
        /// The longest time that discovery may hold the call open.
        wait: Duration,
    },
    /// Changes newer than a revision, answered at once.
    Poll {
        /// The revision that the follower holds.
        since: u64,
    },
    /// The whole list.
    Read,
}

impl Query {
    /// Returns how long discovery may hold the call open while there are no changes.
    #[must_use]
    pub fn wait(self) -> Duration {
        match self {
            Self::Watch { wait, .. } => wait,
            Self::Poll { .. } | Self::Read => Duration::ZERO,
        }
    }

    /// Returns the index of this type of call in [`Counts::calls`].
    pub(super) fn count_index(self) -> usize {
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

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection could be established.
    Unreachable,
    /// The connection was lost before the answer was complete.
    ConnectionLost,
    /// A connection kept from an earlier call was already closed; this says nothing about the health of
    /// discovery.
    ReusedConnectionClosed,
    /// The answer is not a list, by its status or its body.
    InvalidList,
}

/// Behaviour of listed servers that the list does not explain, which suggests that the list is out of date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// A listed server, identified by a number, cannot be reached.
    Unreachable(u64),
    /// A listed server refuses requests.
    Refused {
        /// Whether the server itself reports that no requests wait there.
        idle: bool,
    },
    /// The load-balancing policy ejected a server.
    Ejected,
    /// A server reports another start time than the list has.
    Restarted,
}

/// An input of the follower.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed. The first tick starts the follower.
    Tick,
    /// The connection of a call has been established, and the call is sent.
    Connected {
        /// The call.
        call: CallId,
    },
    /// The head of an answer has arrived.
    AnswerStarted {
        /// The call.
        call: CallId,
        /// The length of the body in bytes as the head announces it; 0 if it does not.
        length: u64,
    },
    /// A whole answer has arrived.
    Answered {
        /// The call.
        call: CallId,
        /// The list in the answer.
        list: List,
    },
    /// A call has failed.
    Failed {
        /// The call.
        call: CallId,
        /// Why.
        failure: Failure,
    },
    /// Discovery has a new address. The revisions there are unrelated to those before.
    AddressChanged,
    /// The node has seen servers behave in a way that the list does not explain.
    Evidence(Evidence),
}

/// An output of the follower, for the shell to carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Make a call.
    Call {
        /// The number of the new call.
        call: CallId,
        /// What to ask for.
        query: Query,
    },
    /// Close a call that has not ended; the follower expects no event of it any more.
    Close {
        /// The call.
        call: CallId,
        /// Why.
        reason: CloseReason,
    },
    /// Apply this list: the whole list, or the changes to it.
    Apply(List),
    /// The freshness of the list has changed.
    FreshnessChanged {
        /// The freshness before.
        from: Freshness,
        /// The freshness now.
        to: Freshness,
        /// Why.
        cause: Cause,
    },
    /// A whole list is much shorter than the one before: the number of entries before and now.
    ListShrunk(usize, usize),
    /// The process may serve requests from now on. Comes once, after the action that applies the list of the
    /// same answer.
    Ready(StartupResult),
}

/// Why a call is closed before it has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The call has been silent for too long.
    TimedOut,
    /// Another call has been answered.
    Superseded,
    /// Too many calls are open.
    TooManyCalls,
    /// Discovery has a new address.
    AddressChanged,
}

impl fmt::Display for CloseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TimedOut => "silent for too long",
            Self::Superseded => "another call was answered",
            Self::TooManyCalls => "too many calls",
            Self::AddressChanged => "discovery has a new address",
        })
    }
}

/// How far the list of servers can be trusted to be up to date.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Freshness {
    /// Discovery answers calls in time.
    Fresh,
    /// A call is overdue or has failed, or servers behave in a way that the list does not explain.
    Doubtful,
    /// No answer has confirmed the list for [`Settings::stale_after`](super::Settings::stale_after).
    Stale,
}

impl fmt::Display for Freshness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Fresh => "fresh",
            Self::Doubtful => "doubtful",
            // Operators know this state as "blind" in the log and the status.
            Self::Stale => "blind",
        })
    }
}

/// Why the freshness of the list changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The list was restored from an earlier run.
    RestoredList,
    /// Discovery has a new address.
    AddressChanged,
    /// A call is overdue.
    Overdue,
    /// A call was silent and has timed out.
    TimedOut,
    /// A call failed.
    Failed(Failure),
    /// Servers behave in a way that the list does not explain.
    Evidence(Evidence),
    /// A call that began after the held revision was received got an older revision.
    RevisionWentBack,
    /// Changes arrived, but the follower holds no list that they apply to.
    MissedChanges,
    /// The process was paused.
    ProcessPaused,
    /// No answer has confirmed the list for too long.
    Unconfirmed,
    /// An answer has arrived.
    Answered,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::RestoredList => "the list was restored from an earlier run",
            Self::AddressChanged => "discovery has a new address",
            Self::Overdue => "a call is overdue",
            Self::TimedOut => "a call timed out",
            Self::Failed(Failure::Unreachable) => "discovery cannot be reached",
            Self::Failed(Failure::ConnectionLost) => "the connection of a call was lost",
            Self::Failed(Failure::ReusedConnectionClosed) => "a reused connection was already closed",
            Self::Failed(Failure::InvalidList) => "an answer is not a list",
            Self::Evidence(Evidence::Unreachable(_)) => "listed servers cannot be reached",
            Self::Evidence(Evidence::Refused { .. }) => "listed servers refuse requests",
            Self::Evidence(Evidence::Ejected) => "servers were ejected",
            Self::Evidence(Evidence::Restarted) => "a server reports another start time than the list",
            Self::RevisionWentBack => "the version went back",
            Self::MissedChanges => "changes arrived that do not apply to the list held",
            Self::ProcessPaused => "this process was paused",
            Self::Unconfirmed => "no answer has confirmed the list in time",
            Self::Answered => "discovery answered",
        })
    }
}

/// Counters since the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Calls made: watches, polls, reads.
    pub calls: [u64; 3],
    /// Answers accepted, and how many of them contained changes.
    pub answers: u64,
    /// See `answers`.
    pub with_changes: u64,
    /// Answers with an older revision than the one held.
    pub outdated: u64,
    /// Calls that timed out.
    pub timed_out: u64,
    /// Calls that failed in another way.
    pub failed: u64,
    /// Pieces of evidence from servers, and calls made because of them.
    pub evidence: u64,
    /// See `evidence`.
    pub calls_on_evidence: u64,
    /// Calls that were not made because the budget was used up.
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
