//! Requests that lie in the node's sockets before it reads them, as on a busy machine: a client's time runs from when it sent.

use std::thread;

use super::*;

/// The node does not run for so long.
const PAUSE: Duration = Duration::from_millis(1_200);
/// The system's clock is coarse, and the request and the node's first steps take a moment.
const TOLERANCE: Duration = Duration::from_millis(100);

/// Sends this while the node stands still.
fn sent_during_a_pause(node: &Node, client: &mut Client, text: &str) {
    node.pause();
    client.send(text);
    thread::sleep(PAUSE);
    node.resume();
}

/// How long the node will wait, as it tells a server.
fn told_to_server(got: &Exchange) -> Duration {
    let left = got.request.header("x-deadline").and_then(|left| left.parse().ok());
    Duration::from_secs_f64(left.expect("told"))
}

/// Guards against servers that work for longer than a client waits: what a request lay unread counts.
#[test]
fn a_server_is_told_what_is_left_of_a_clients_time_when_its_request_is_read_late() {
    for class in ["read", "update", "pay"] {
        let server = Server::start();
        let node = Node::with_servers(&[&server]);
        let mut client = node.client();
        sent_during_a_pause(&node, &mut client, &request(class, 5.0));
        let got = server.request();
        let left = told_to_server(&got);
        assert!(left <= Duration::from_secs(5) - PAUSE + TOLERANCE, "{class}: {left:?} left");
        got.answer(OK, "", b"x");
        assert_eq!(client.answer().status(), 200);
    }
}

/// Guards against an attempt, and an answer some seconds later, for a client whose time is over.
#[test]
fn a_request_that_is_read_when_its_clients_time_is_over_is_refused_at_once_and_sent_to_nobody() {
    for class in ["read", "update", "pay"] {
        let server = Server::start();
        let node = Node::with_servers(&[&server]);
        let mut client = node.client();
        sent_during_a_pause(&node, &mut client, &request(class, PAUSE.as_secs_f64() / 2.0));
        assert_eq!(client.answer().status(), 503, "{class}");
        assert!(!server.has_request(), "{class}");
        // The connection goes on, and what is read in time has all of its time.
        client.send(&request(class, 5.0));
        let got = server.request();
        let left = told_to_server(&got);
        assert!(left >= Duration::from_secs(5) - TOLERANCE, "{class}: {left:?} left");
        got.answer(OK, "", b"x");
        assert_eq!(client.answer().status(), 200);
    }
}
