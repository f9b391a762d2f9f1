//! Shared by the tests of drains with several processes: servers that record who sent them what, clients, and
//! when a change counts as notified.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use spurdrum_standin::queued::Written;

use super::*;

/// A change counts as notified this long after discovery has it, at the latest.
pub const NOTIFIED_AFTER: Duration = Duration::from_secs(6);
/// How long after the notification sends to a draining server are still allowed: the grace period of the
/// settings, and 50 ms for sockets.
pub const GRACE: Duration = Duration::from_millis(300);

/// The arrival of a request at a server.
pub struct Arrival {
    pub at: Instant,
    /// The number of the node that sent it, as named in its request id.
    pub node: usize,
    /// The index of the server among those given.
    pub server: usize,
}

/// Lets these servers answer every request at once and returns the record of arrivals.
pub fn record_arrivals(servers: Vec<Server>) -> Arc<Mutex<Vec<Arrival>>> {
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    for (at, server) in servers.into_iter().enumerate() {
        let arrivals = Arc::clone(&arrivals);
        thread::spawn(move || {
            while let Some(seen) = server.next() {
                let Seen::Request(exchange) = seen else { continue };
                let id = exchange.request.header("x-request-id").expect("forwarded");
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

/// Spawns a client that sends requests to a node one after the other until `stop` is set. Returns how many
/// were served.
pub fn spawn_client(node: usize, address: SocketAddr, stop: &Arc<AtomicBool>) -> thread::JoinHandle<usize> {
    let stop = Arc::clone(stop);
    thread::spawn(move || {
        let mut served = 0;
        while !stop.load(Ordering::Relaxed) {
            let mut client = Client::connect(address);
            let request = format!(
                "GET /api?k=1 HTTP/1.1\r\nhost: o\r\nx-request-id: n{node}-{served}\r\nx-class: read\r\n\
                 x-tenant: acme\r\nx-deadline: 2.0\r\n\r\n"
            );
            served += usize::from(client.ask(&request).status() == 200);
            thread::sleep(Duration::from_millis(10));
        }
        served
    })
}

/// Returns when discovery first wrote this revision, or a later one, to a node.
pub fn first_written(written: &[Written], node: usize, revision: u64) -> Option<Instant> {
    let answers = written.iter().filter(|answer| answer.node == node && answer.revision >= revision);
    answers.map(|answer| answer.at).min()
}
