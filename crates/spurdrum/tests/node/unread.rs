//! Requests that wait in the node's socket buffers before it reads them, as on a busy machine. A client's
//! deadline runs from when it sent its request.

use std::thread;

use super::*;

/// How long the node is paused.
const PAUSE: Duration = Duration::from_millis(1_200);
/// The kernel's clock is coarse, and the request and the node's first steps take a moment.
const TOLERANCE: Duration = Duration::from_millis(100);

/// Pauses the node, sends `text` during the pause, and resumes the node.
fn send_during_a_pause(node: &Node, client: &mut Client, text: &str) {
    node.pause();
    client.send(text);
    thread::sleep(PAUSE);
    node.resume();
}

/// Returns the remaining time that the node states to a server.
fn deadline_at_server(exchange: &Exchange) -> Duration {
    let remaining = exchange.request.header("x-deadline").and_then(|remaining| remaining.parse().ok());
    Duration::from_secs_f64(remaining.expect("a deadline"))
}

/// The time that a request was unread must count. Without this, a server could work for longer than its
/// client waits.
#[test]
fn the_deadline_sent_to_a_server_counts_from_when_the_client_sent_its_request() {
    for class in ["read", "update", "pay"] {
        let server = Server::start();
        let node = Node::with_servers(&[&server]);
        let mut client = node.client();
        send_during_a_pause(&node, &mut client, &request(class, 5.0));
        let exchange = server.request();
        let remaining = deadline_at_server(&exchange);
        assert!(remaining <= Duration::from_secs(5) - PAUSE + TOLERANCE, "{class}: {remaining:?} left");
        exchange.answer(OK, "", b"x");
        assert_eq!(client.answer().status(), 200);
    }
}

/// Without this, the node would start an attempt, and answer some seconds later, for a client whose deadline
/// has passed.
#[test]
fn a_request_that_is_read_after_its_deadline_is_refused_at_once_and_not_sent() {
    for class in ["read", "update", "pay"] {
        let server = Server::start();
        let node = Node::with_servers(&[&server]);
        let mut client = node.client();
        send_during_a_pause(&node, &mut client, &request(class, PAUSE.as_secs_f64() / 2.0));
        assert_eq!(client.answer().status(), 503, "{class}");
        assert!(!server.has_request(), "{class}");
        // The connection stays open, and a request that is read in time has all of its time.
        client.send(&request(class, 5.0));
        let exchange = server.request();
        let remaining = deadline_at_server(&exchange);
        assert!(remaining >= Duration::from_secs(5) - TOLERANCE, "{class}: {remaining:?} left");
        exchange.answer(OK, "", b"x");
        assert_eq!(client.answer().status(), 200);
    }
}
