//! The records of a trace.

use std::path::Path;

use serde::{Deserialize, Serialize};

/// The availability of a server according to a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerState {
    /// The server accepts requests.
    Ready,
    /// No new requests may be sent to the server.
    Draining,
    /// The server is no longer listed.
    Gone,
}

/// An event at a node. Requests are identified by the names that their clients gave them, servers by their
/// ids.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "saw", rename_all = "snake_case")]
pub enum TraceEvent {
    /// A request was accepted.
    Asked {
        /// The name of the request.
        id: String,
        /// The index of its class.
        class: usize,
    },
    /// A server was chosen for an attempt, and the attempt begins.
    Placed {
        /// The name of the request.
        id: String,
        /// The number of the attempt: from zero, in the order of sending.
        attempt: usize,
        /// The server that the attempt is sent to.
        server: String,
    },
    /// The decision module gave up an attempt.
    GivenUp {
        /// The name of the request.
        id: String,
        /// The number of the attempt.
        attempt: usize,
    },
    /// An attempt has ended: no part of it is in flight any more.
    Ended {
        /// The name of the request.
        id: String,
        /// The number of the attempt.
        attempt: usize,
        /// The ending of the attempt: `Served`, `TimedOut`, `Reset` and so on.
        how: String,
    },
    /// A request got its final answer.
    Answered {
        /// The name of the request.
        id: String,
        /// The kind of answer: `served`, `refused` or `failed`.
        answer: String,
    },
    /// The client left before the answer, or its deadline passed.
    Left {
        /// The name of the request.
        id: String,
    },
    /// The availability of a server according to a list has changed.
    #[serde(rename = "told")]
    ServerChanged {
        /// The id of the server.
        server: String,
        /// The new availability.
        state: ServerState,
    },
    /// Records were lost because the queue was full.
    Lost {
        /// The number of records lost since the start of the process.
        lines: u64,
    },
}

/// One record of a trace, written as one line.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TraceRecord {
    /// Unix time in milliseconds; at one node it never runs backwards.
    pub at: f64,
    /// The event.
    #[serde(flatten)]
    pub seen: TraceEvent,
}

/// Returns the records of the previous and the current file of a trace. Incomplete lines are skipped: the
/// process may have been killed while it wrote one.
///
/// # Errors
///
/// A file cannot be read. A missing file counts as empty.
pub fn read(path: &Path) -> std::io::Result<Vec<TraceRecord>> {
    let mut records = Vec::new();
    for path in [crate::file::previous_path(path), path.to_owned()] {
        let text = match std::fs::read(&path) {
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => continue,
            text => text?,
        };
        records
            .extend(text.split(|byte| *byte == b'\n').filter_map(|line| serde_json::from_slice(line).ok()));
    }
    Ok(records)
}
