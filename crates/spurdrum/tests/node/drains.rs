//! What tests of drains by several processes share: servers that note who sent them what, clients, and when a change counts as told.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use spurdrum_standin::queued::Written;

use super::*;

/// A change counts as told so long after discovery had it.
pub const NOTIFIED_AFTER: Duration = Duration::from_secs(6);
/// Sends to a server that drains may end so long after that: the grace of the settings and 50 ms for sockets.
pub const GRACE: Duration = Duration::from_millis(300);

/// A request's arrival at a server.
pub struct Arrival {
    /// When.
    pub at: Instant,
    /// The node that its id names.
    pub node: usize,
    /// The server's place among those given.
    pub server: usize,
}

/// Servers that answer at once and note who was sent what.
pub fn answering(servers: Vec<Server>) -> Arc<Mutex<Vec<Arrival>>> {
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    for (at, server) in servers.into_iter().enumerate() {
        let arrivals = Arc::clone(&arrivals);
        thread::spawn(move || {
            while let Some(seen) = server.next() {
                let Seen::Request(exchange) = seen else { continue };
                let id = exchange.request.header("x-request-id").expect("passed on");
                let (node, _) = id[1..].split_once('-').expect("the node's number and another");
                let arrival =
                    Arrival { at: Instant::now(), node: node.parse().expect("a number"), server: at };
                arrivals.lock().expect("no panic").push(arrival);
                exchange.answer_if_wanted(b"done");
            }
        });
    }
    arrivals
}

/// Sends requests to a node, one after the other, until it is told to end.
pub fn spawn_client(node: usize, address: SocketAddr, ends: &Arc<AtomicBool>) -> thread::JoinHandle<usize> {
    let ends = Arc::clone(ends);
    thread::spawn(move || {
        let mut served = 0;
        while !ends.load(Ordering::Relaxed) {
            let mut client = Client::connect(address);
            let ask = format!(
                "GET /api?k=1 HTTP/1.1\r\nhost: o\r\nx-request-id: n{node}-{served}\r\nx-class: read\r\n\
                 x-tenant: acme\r\nx-deadline: 2.0\r\n\r\n"
            );
            served += usize::from(client.ask(&ask).status() == 200);
            thread::sleep(Duration::from_millis(10));
        }
        served
    })
}

/// When discovery first wrote a version to a node, or a later one.
pub fn first_written(written: &[Written], node: usize, revision: u64) -> Option<Instant> {
    let told = written.iter().filter(|answer| answer.node == node && answer.revision >= revision);
    told.map(|answer| answer.at).min()
}
