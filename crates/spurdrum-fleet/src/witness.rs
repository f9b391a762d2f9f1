//! Inspects the system's socket table when a request gets no answer, to find out whether the node has accepted the connection
//! and read from it.

use std::net::SocketAddr;
use std::sync::mpsc::{sync_channel, SyncSender};
use std::thread::{self, JoinHandle};

use spurdrum_load::transport::Progress;

use crate::sockets;

/// Number of requests inspected per run. The socket table is long, and reading it takes processor time away from the run.
const MAX_REQUESTS: usize = 8;

/// The sockets of one request without an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SocketReport {
    /// The request's id.
    pub request: u64,
    /// Description of the node's listening socket and of both ends of the connection.
    pub sockets: String,
}

struct SocketQuery {
    request: u64,
    node: SocketAddr,
    client: Option<SocketAddr>,
}

/// Handle through which clients report requests without an answer. Reporting never blocks.
#[derive(Clone)]
pub struct SocketObserver(SyncSender<SocketQuery>);

impl SocketObserver {
    /// Starts the thread that inspects the sockets; it ends when the last handle is dropped, and returns its reports.
    #[must_use]
    pub fn start() -> (Self, JoinHandle<Vec<SocketReport>>) {
        let (sender, receiver) = sync_channel::<SocketQuery>(MAX_REQUESTS);
        let inspect = move || {
            let mut reports = Vec::new();
            for SocketQuery { request, node, client } in receiver {
                if reports.len() < MAX_REQUESTS {
                    let sockets = sockets::of_node(node, client);
                    reports.push(SocketReport { request, sockets });
                }
            }
            reports
        };
        (Self(sender), thread::spawn(inspect))
    }

    /// Reports that a request to this node has no answer so far.
    pub fn observe(&self, request: u64, node: SocketAddr, progress: Progress) {
        let client = match progress {
            Progress::Sent(seen) => Some(seen.client),
            Progress::Unsent | Progress::Connecting(_) => None,
        };
        // Further requests are dropped while the queue is full: the first ones show enough.
        let _ = self.0.try_send(SocketQuery { request, node, client });
    }
}
