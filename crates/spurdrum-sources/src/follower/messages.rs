//! What a follower is told, what it wants done, and what it shows.

use std::fmt;
use std::time::Duration;

use super::StartEnd;
use crate::List;

/// A call, by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// What is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
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

impl Ask {
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

impl fmt::Display for Ask {
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
    Broke,
    /// A kept connection was dead: discovery may be well.
    Kept,
    /// An answer that is no list, by its status or its text.
    NoList,
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
    TakenOut,
    /// A server says that it was started at another time than the list has.
    Restarted,
}

/// What happens.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; the first one begins.
    Tick,
    /// The head of an answer has come, which announces so many bytes.
    Begun {
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
        why: Failure,
    },
    /// Discovery is to be found elsewhere; its versions are its own.
    Moved,
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
        ask: Ask,
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
    State {
        /// Before.
        from: View,
        /// Now.
        to: View,
        /// Why.
        cause: Cause,
    },
    /// A whole list is shorter by much: entries before and now.
    Shorter(usize, usize),
    /// The process may serve from now on; once, after the list that came with this answer has been applied.
    Started(StartEnd),
}

/// Why a call is closed before it has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// It has been silent for too long.
    Silent,
    /// Another call has been answered.
    Superseded,
    /// There are too many others.
    Displaced,
    /// Discovery is to be found elsewhere.
    Moved,
}

impl fmt::Display for CloseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Silent => "silent for too long",
            Self::Superseded => "another call was answered",
            Self::Displaced => "too many calls",
            Self::Moved => "discovery has moved",
        })
    }
}

/// How far the view can be trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum View {
    /// Discovery answers.
    Fresh,
    /// Something speaks against it.
    Doubtful,
    /// It has not been confirmed for a while.
    Blind,
}

impl fmt::Display for View {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Fresh => "fresh",
            Self::Doubtful => "doubtful",
            Self::Blind => "blind",
        })
    }
}

/// Why the view changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The list of an earlier run.
    Start,
    /// Discovery has moved.
    Moved,
    /// A call is overdue.
    Overdue,
    /// A call was silent and has been given up.
    Hung,
    /// A call failed.
    Failed(Failure),
    /// The servers speak against the list.
    Servers(Evidence),
    /// A version older than the one held came from a call begun later.
    Backwards,
    /// A change came that does not follow on the list held.
    Gap,
    /// The machine stood still.
    Jumped,
    /// Nothing has confirmed it for too long.
    Unproved,
    /// An answer has come.
    Answered,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Start => "the list is that of an earlier run",
            Self::Moved => "discovery has moved",
            Self::Overdue => "a call is overdue",
            Self::Hung => "a call was silent",
            Self::Failed(Failure::Unreachable) => "discovery cannot be reached",
            Self::Failed(Failure::Broke) => "a call broke",
            Self::Failed(Failure::Kept) => "a kept connection was dead",
            Self::Failed(Failure::NoList) => "an answer is no list",
            Self::Servers(Evidence::Unreachable(_)) => "listed servers cannot be reached",
            Self::Servers(Evidence::Refused { .. }) => "listed servers turn work away",
            Self::Servers(Evidence::TakenOut) => "servers are taken out",
            Self::Servers(Evidence::Restarted) => "a server has another start than the list says",
            Self::Backwards => "the version runs backwards",
            Self::Gap => "a change does not follow on the list held",
            Self::Jumped => "this machine stood still",
            Self::Unproved => "nothing has confirmed it",
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
    pub news: u64,
    /// Answers older than what was held.
    pub stale: u64,
    /// Calls given up as silent.
    pub hung: u64,
    /// Calls that failed otherwise.
    pub failed: u64,
    /// Pieces of evidence from servers, and calls that they led to.
    pub evidence: u64,
    /// See `evidence`.
    pub polled: u64,
    /// Calls that were wanted, for which the budget had nothing left.
    pub denied: u64,
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [watches, polls, reads] = self.calls;
        write!(
            f,
            "watches {watches}, polls {polls}, reads {reads}: answered {}, with news {}, old {}, silent {}, \
             failed {}; evidence {}, calls by it {}, calls not afforded {}",
            self.answers,
            self.news,
            self.stale,
            self.hung,
            self.failed,
            self.evidence,
            self.polled,
            self.denied
        )
    }
}
