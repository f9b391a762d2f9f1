//! Requests that come again under their identifiers: what may have run does not run again.

use super::*;

/// Sends a request and leaves once it has reached its server, which goes on with it.
fn send_and_leave(node: &Node, server: &Server, text: &str) -> Exchange {
    let mut client = node.client();
    client.send(text);
    let mut exchange = server.request();
    drop(client);
    // The node gives the attempt up.
    exchange.await_end();
    exchange
}

/// Guards against a second run of a request whose client left, and came again on another connection.
#[test]
fn a_request_whose_client_left_does_not_run_again_when_it_comes_again() {
    for class in ["pay", "update"] {
        let server = Server::start();
        let node = Node::with_servers(&[&server]);
        let text = request(class, 5.0);
        let _first = send_and_leave(&node, &server, &text);
        for _ in 0..3 {
            assert_eq!(node.client().ask(&text).status(), 409, "{class}");
        }
        assert!(!server.has_request(), "{class}: the request ran twice");
        // Another request of the same class is served.
        let mut client = node.client();
        client.send(&request(class, 5.0));
        server.request().answer(OK, "", b"x");
        assert_eq!(client.answer().status(), 200);
    }
}

#[test]
fn a_request_that_was_answered_does_not_run_again_when_it_comes_again() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    let (mut client, text) = (node.client(), request("pay", 5.0));
    client.send(&text);
    server.request().answer(OK, "", b"x");
    assert_eq!(client.answer().status(), 200);
    assert_eq!(client.ask(&text).status(), 409);
    assert!(!server.has_request(), "the request ran twice");
}

#[test]
fn a_request_that_surely_has_not_run_may_come_again_and_so_may_one_that_is_safe() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    let (mut client, text) = (node.client(), request("pay", 5.0));
    client.send(&text);
    while let Some(exchange) = forwarded_or_answered(&client, &server) {
        exchange.answer("503 Busy", "x-not-run: 1\r\n", b"");
    }
    assert_eq!(client.answer().status(), 503);
    let safe = request("read", 5.0);
    for text in [&text, &safe, &safe] {
        client.send(text);
        server.request().answer(OK, "", b"x");
        assert_eq!(client.answer().status(), 200);
    }
}
