//! What is noted.

use std::path::Path;

use serde::{Deserialize, Serialize};

/// What a list says of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerState {
    /// It takes requests.
    Ready,
    /// Nothing new may be sent.
    Draining,
    /// It is no longer there.
    Gone,
}

/// One thing that happened at a node. Requests are named as their clients named them, servers by their ids.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "saw", rename_all = "snake_case")]
pub enum TraceEvent {
    /// A request was taken.
    Asked {
        /// Its name.
        id: String,
        /// The place of its class.
        class: usize,
    },
    /// A server was chosen; the attempt begins.
    Placed {
        /// The request.
        id: String,
        /// From zero, in the order of sending.
        attempt: usize,
        /// Where it goes.
        server: String,
    },
    /// The decisions gave an attempt up.
    GivenUp {
        /// The request.
        id: String,
        /// The attempt.
        attempt: usize,
    },
    /// An attempt is over: nothing of it is out any more.
    Ended {
        /// The request.
        id: String,
        /// The attempt.
        attempt: usize,
        /// How: `Served`, `TimedOut`, `Reset` and so on.
        how: String,
    },
    /// The final answer: `served`, `refused` or `failed`.
    Answered {
        /// The request.
        id: String,
        /// Which.
        answer: String,
    },
    /// The client left, or its time was up.
    Left {
        /// The request.
        id: String,
    },
    /// A list said something new of a server.
    #[serde(rename = "told")]
    ServerChanged {
        /// The server.
        server: String,
        /// What.
        state: ServerState,
    },
    /// So many more could not be noted, counted from the start.
    Lost {
        /// How many.
        lines: u64,
    },
}

/// One line.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TraceRecord {
    /// Unix time in milliseconds; at one node it never runs backwards.
    pub at: f64,
    /// What.
    #[serde(flatten)]
    pub seen: TraceEvent,
}

/// The lines of a file and of the one before it. A line that is not whole is left out: the process may have been killed in
/// the middle of one.
///
/// # Errors
///
/// The file cannot be read; one that is not there is empty.
pub fn read(path: &Path) -> std::io::Result<Vec<TraceRecord>> {
    let mut lines = Vec::new();
    for path in [crate::file::previous_path(path), path.to_owned()] {
        let text = match std::fs::read(&path) {
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => continue,
            text => text?,
        };
        lines.extend(text.split(|byte| *byte == b'\n').filter_map(|line| serde_json::from_slice(line).ok()));
    }
    Ok(lines)
}
