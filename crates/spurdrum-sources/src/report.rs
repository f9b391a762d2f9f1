//! Reports of calls to discovery, for the log.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::StatusCode;

use crate::follower::{CallId, CloseReason, Failure, Query};

/// Why a call to discovery failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No connection could be established.
    Unreachable,
    /// The connection was lost.
    ConnectionLost,
    /// A connection kept from an earlier call was already closed.
    ReusedConnectionClosed,
    /// The status of the answer is not 200.
    Status(StatusCode),
    /// The body ended early or is too long.
    IncompleteBody,
    /// The body is not a list.
    InvalidList,
}

impl CallError {
    /// Returns the kind of failure that the follower distinguishes.
    #[must_use]
    pub fn failure(self) -> Failure {
        match self {
            Self::Unreachable => Failure::Unreachable,
            Self::ConnectionLost | Self::IncompleteBody => Failure::ConnectionLost,
            Self::ReusedConnectionClosed => Failure::ReusedConnectionClosed,
            Self::Status(_) | Self::InvalidList => Failure::InvalidList,
        }
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable => f.write_str("no connection"),
            Self::ConnectionLost => f.write_str("the connection was lost"),
            Self::ReusedConnectionClosed => f.write_str("the reused connection was already closed"),
            Self::Status(status) => write!(f, "status {}", status.as_u16()),
            Self::IncompleteBody => f.write_str("the answer was incomplete or too long"),
            Self::InvalidList => f.write_str("the answer is not a list"),
        }
    }
}

/// How a call to discovery ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// Discovery answered with a list.
    Answered {
        /// The revision of the list.
        revision: u64,
        /// The number of entries in the list.
        entries: usize,
    },
    /// The call failed.
    Failed(CallError),
    /// The node closed the call.
    Closed(CloseReason),
}

/// A call to discovery that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallReport {
    /// The number of the call.
    pub call: CallId,
    /// What the call asked for.
    pub query: Query,
    /// The address of discovery.
    pub address: SocketAddr,
    /// The time from the start of the call to its end.
    pub elapsed: Duration,
    /// How the call ended.
    pub end: CallEnd,
}

/// An answer that arrives this long after the end of the requested wait is worth a log line.
const SLOW_ANSWER: Duration = Duration::from_millis(500);

impl CallReport {
    /// Returns whether the call is worth a log line: it brought changes, was answered late, or ended without
    /// an answer.
    #[must_use]
    pub fn is_notable(&self) -> bool {
        match self.end {
            CallEnd::Answered { entries, .. } => {
                entries > 0 || self.elapsed > self.query.wait() + SLOW_ANSWER
            }
            CallEnd::Failed(_) | CallEnd::Closed(_) => true,
        }
    }
}

impl fmt::Display for CallReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { call, query, address, elapsed, end } = self;
        write!(f, "list call {} to {address} ({query}) ", call.0)?;
        match end {
            CallEnd::Answered { revision, entries } => {
                write!(f, "answered with version {revision}, {entries} entries,")?;
            }
            CallEnd::Failed(error) => write!(f, "failed, {error},")?,
            CallEnd::Closed(reason) => write!(f, "closed, {reason},")?,
        }
        write!(f, " after {:.3} s", elapsed.as_secs_f64())
    }
}
