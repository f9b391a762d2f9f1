//! Requests that come again under their identifiers: what may have run does not run again.

use super::ops::{admin_call, config_with_admin};
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

/// Two processes of one node, of which the second has taken over and the first still runs.
struct Pair {
    server: Server,
    old: Node,
    new: Node,
}

/// Starts a process, calls `before` with it and its server, and starts the process that takes over.
fn pair(before: impl FnOnce(&Node, &Server)) -> Pair {
    let server = Server::start();
    let (config, _) = config_with_admin(&[&server]);
    let old = Node::start(&config);
    before(&old, &server);
    let ops = own_address();
    let new = old.start_second_process(&config, ops);
    wait_until("the new process is not ready", || {
        TcpStream::connect(ops).is_ok() && admin_call(ops, "readyz").starts_with("YES")
    });
    Pair { server, old, new }
}

/// Guards against a second run at the process that replaces the one that began the request.
#[test]
fn a_request_that_began_before_a_handover_does_not_run_again_at_the_new_process() {
    let text = request("pay", 20.0);
    let mut first = None;
    let Pair { server, mut old, new } = pair(|old, server| first = Some(send_and_leave(old, server, &text)));
    old.terminate();
    assert!(old.wait().success());
    assert_eq!(new.client().ask(&text).status(), 409);
    assert!(!server.has_request(), "the request ran twice");
}

/// The same for requests that begin while both processes run, whichever of them began it.
#[test]
fn a_request_that_begins_during_a_handover_does_not_run_again_at_the_other_process() {
    let mut clients = Vec::new();
    // Connections that were made before the handover stay at the old process until it is told to end.
    let Pair { server, mut old, new } = pair(|old, _| clients.extend((0..2).map(|_| old.client())));
    let mut at_old = clients.pop().expect("connected");
    let text = request("pay", 20.0);
    at_old.send(&text);
    let mut exchange = server.request();
    drop(at_old);
    exchange.await_end();
    old.terminate();
    assert!(old.wait().success());
    assert_eq!(new.client().ask(&text).status(), 409, "begun at the old process");
    assert!(!server.has_request(), "the request ran twice");
}

#[test]
fn a_request_that_begins_at_the_new_process_does_not_run_again_at_the_old_one() {
    let mut clients = Vec::new();
    let Pair { server, old, new } = pair(|old, _| clients.extend((0..2).map(|_| old.client())));
    let mut at_old = clients.pop().expect("connected");
    // Both processes accept connections: some of these reach the new one.
    let mut begun = Vec::new();
    for _ in 0..32 {
        let text = request("pay", 20.0);
        begun.push((send_and_leave(&new, &server, &text), text));
    }
    for (_, text) in &begun {
        assert_eq!(at_old.ask(text).status(), 409, "begun at the new process");
    }
    assert!(!server.has_request(), "a request ran twice");
    drop(old);
}
