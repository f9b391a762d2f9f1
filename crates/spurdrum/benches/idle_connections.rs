//! What a connection that stands idle costs: memory and descriptors of the node, with and without the table
//! `[connections]`, and what a request on one more connection takes beside them.
//!
//!     cargo bench --bench idle_connections -- [CONNECTIONS]
//!
//! 10,000 connections by default; both processes need some hundred descriptors more than that.

#[allow(dead_code)]
#[path = "../tests/net/mod.rs"]
mod net;

use std::time::Instant;

use net::{config, members, request, Client, Node, Seen, Server};
use serde_json::json;

const HEALTH: &str = "GET /_health HTTP/1.1\r\nhost: n\r\n\r\n";

fn main() {
    let wanted = std::env::args().skip(1).find_map(|text| text.parse().ok()).unwrap_or(10_000_usize);
    println!("connections each asked once and then idle: {wanted}");
    println!("{:<22}{:>10}{:>16}{:>18}{:>18}", "", "open", "bytes each", "us a request", "us beside them");
    for (name, file) in [
        ("[connections] absent", None),
        ("[connections] on", Some("[connections]\nidle_ms = 600000\nclients_hold = 1.0\n")),
    ] {
        let server = Server::start();
        let mut told = config(&members(&[&server]));
        // Room for twice as many, so that nothing is closed early, and times that outlast the run.
        told["limits"]["sockets"] = json!(wanted * 6 + 512);
        std::thread::spawn(move || {
            while let Some(seen) = server.next() {
                if let Seen::Request(exchange) = seen {
                    exchange.answer_if_wanted(b"done");
                }
            }
        });
        let node = Node::start_with(&told, file);
        let alone = per_request(&node);
        let (memory, descriptors) = (node.memory(), node.descriptors());
        let mut clients: Vec<Client> = Vec::with_capacity(wanted);
        for _ in 0..wanted {
            let mut client = node.client();
            client.ask(HEALTH);
            clients.push(client);
        }
        let open = node.descriptors() - descriptors;
        let each = (node.memory() - memory) as f64 / open as f64;
        let beside = per_request(&node);
        println!("{name:<22}{open:>10}{each:>16.0}{alone:>18.1}{beside:>18.1}");
        drop(clients);
    }
}

/// Microseconds that a request takes on a kept connection, at the median.
fn per_request(node: &Node) -> f64 {
    let mut client = node.client();
    let mut took: Vec<f64> = (0..500)
        .map(|_| {
            let asked = Instant::now();
            assert_eq!(client.ask(&request("read", 20.0)).status(), 200);
            asked.elapsed().as_secs_f64() * 1e6
        })
        .collect();
    took.sort_by(f64::total_cmp);
    took[took.len() / 2]
}
