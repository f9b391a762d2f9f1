//! What operators are shown of calls to discovery.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::StatusCode;

use crate::follower::{CallId, CloseReason, Failure, Query};

/// Why a call to discovery failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No connection came up.
    Unreachable,
    /// The connection broke.
    ConnectionLost,
    /// A kept connection had been dead.
    ReusedConnectionClosed,
    /// An answer that is not 200.
    Status(StatusCode),
    /// A body that stopped short or is too long.
    IncompleteBody,
    /// A body that is no list.
    InvalidList,
}

impl CallError {
    /// What it is to the follower.
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
            Self::ConnectionLost => f.write_str("the connection broke"),
            Self::ReusedConnectionClosed => f.write_str("the kept connection was dead"),
            Self::Status(status) => write!(f, "status {}", status.as_u16()),
            Self::IncompleteBody => f.write_str("the answer broke off"),
            Self::InvalidList => f.write_str("the answer is no list"),
        }
    }
}

/// How a call to discovery ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// With a list.
    Answered {
        /// Its version.
        revision: u64,
        /// Its entries.
        entries: usize,
    },
    /// Without one.
    Failed(CallError),
    /// The node closed it.
    Closed(CloseReason),
}

/// A call to discovery that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallReport {
    /// Its number.
    pub call: CallId,
    /// What was asked.
    pub query: Query,
    /// Where.
    pub address: SocketAddr,
    /// How long it was out.
    pub elapsed: Duration,
    /// How it ended.
    pub end: CallEnd,
}

/// An answer that comes so long after the wait that was asked for is worth a line.
const SLOW: Duration = Duration::from_millis(500);

impl CallReport {
    /// Whether it is more than the quiet end of a watch: it brought news, came late, or ended without an answer.
    #[must_use]
    pub fn is_notable(&self) -> bool {
        match self.end {
            CallEnd::Answered { entries, .. } => entries > 0 || self.elapsed > self.query.wait() + SLOW,
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
