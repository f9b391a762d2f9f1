//! Looks at the system's sockets where a request got no answer: whether its node has accepted the connection and read from it.

use std::net::SocketAddr;
use std::sync::mpsc::{sync_channel, SyncSender};
use std::thread::{self, JoinHandle};

use spurdrum_load::transport::Progress;

use crate::sockets;

/// Requests that are looked at in a run: the table of sockets is long, and reading it takes time from what is played.
const REQUESTS_MOST: usize = 8;

/// What was seen of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SocketReport {
    /// The request's id.
    pub request: u64,
    /// The node's sockets.
    pub sockets: String,
}

struct SocketQuery {
    request: u64,
    node: SocketAddr,
    client: Option<SocketAddr>,
}

/// Whom clients tell of requests without an answer. They never wait for it.
#[derive(Clone)]
pub struct SocketObserver(SyncSender<SocketQuery>);

impl SocketObserver {
    /// Starts its thread, which ends with the last witness.
    #[must_use]
    pub fn start() -> (Self, JoinHandle<Vec<SocketReport>>) {
        let (tell, told) = sync_channel::<SocketQuery>(REQUESTS_MOST);
        let look = move || {
            let mut statements = Vec::new();
            for SocketQuery { request, node, client } in told {
                if statements.len() < REQUESTS_MOST {
                    let sockets = sockets::of_node(node, client);
                    statements.push(SocketReport { request, sockets });
                }
            }
            statements
        };
        (Self(tell), thread::spawn(look))
    }

    /// A request to this node has had no answer.
    pub fn look(&self, request: u64, node: SocketAddr, progress: Progress) {
        let client = match progress {
            Progress::Sent(seen) => Some(seen.client),
            Progress::Unsent | Progress::Connecting(_) => None,
        };
        // With many at once, the first tell enough.
        let _ = self.0.try_send(SocketQuery { request, node, client });
    }
}
