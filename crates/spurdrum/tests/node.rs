//! Tests of the real binary over loopback sockets, among scripted servers, clients and discovery.

#[path = "node/affinity.rs"]
mod affinity;
#[path = "node/alone.rs"]
mod alone;
#[path = "node/begun_requests.rs"]
mod begun_requests;
#[path = "node/connections.rs"]
mod connections;
#[path = "node/drains.rs"]
mod drains;
#[path = "node/edges.rs"]
mod edges;
#[path = "node/endings.rs"]
mod endings;
#[path = "node/incoming.rs"]
mod incoming;
#[path = "node/memory.rs"]
mod memory;
mod net;
#[path = "node/ops.rs"]
mod ops;
#[path = "node/outgoing.rs"]
mod outgoing;
#[path = "node/pauses.rs"]
mod pauses;
#[path = "node/registry.rs"]
mod registry;
#[path = "node/replace.rs"]
mod replace;
#[path = "node/retune.rs"]
mod retune;
#[path = "node/slow_discovery.rs"]
mod slow_discovery;
#[path = "node/slow_starts.rs"]
mod slow_starts;
#[path = "node/soak.rs"]
mod soak;
#[path = "node/stalled.rs"]
mod stalled;
#[path = "node/starts.rs"]
mod starts;
#[path = "node/streams.rs"]
mod streams;
#[path = "node/unread.rs"]
mod unread;
#[path = "node/uploads.rs"]
mod uploads;
use net::*;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

const OK: &str = "200 OK";

// ---- A single request

#[test]
fn a_request_is_forwarded_and_its_answer_returned_unchanged() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    let mut client = node.client();
    for _ in 0..2 {
        let sent = request("update", 20.0);
        client.send(&sent);
        let exchange = server.request();
        assert_eq!(exchange.request.first, "POST /api?k=7f3a HTTP/1.1");
        assert_eq!(exchange.request.body, b"work");
        let id = exchange.request.header("x-request-id").expect("forwarded");
        assert!(sent.contains(&format!("x-request-id: {id}\r\n")));
        assert_eq!(exchange.request.header("idempotency-key"), Some("k1"));
        let remaining: f64 =
            exchange.request.header("x-deadline").and_then(|t| t.parse().ok()).expect("a deadline");
        assert!(remaining > 1.0 && remaining < 20.0, "{remaining}");
        assert_eq!(exchange.connection, 0, "connections are reused");
        exchange.answer(OK, "", b"an \x00 answer");
        let answer = client.answer();
        assert_eq!((answer.status(), &answer.body[..]), (200, &b"an \x00 answer"[..]));
    }
}

// ---- Outcomes

/// Uses an unsafe request, which the node sends again only if it knows that the first attempt did not run.
#[test]
fn an_answer_that_proves_the_request_did_not_run_is_retried() {
    for (status, headers) in
        [("503 Busy", "x-not-run: 1\r\n"), ("504 Late", "x-not-run: 1\r\nx-load: inflight=3,queue=1\r\n")]
    {
        let servers = [Server::start(), Server::start()];
        let node = Node::with_servers(&[&servers[0], &servers[1]]);
        let mut client = node.client();
        client.send(&request("pay", 20.0));
        let (first, exchange) = request_at_either(&servers);
        exchange.answer(status, headers, b"");
        servers[1 - first].request().answer(OK, "", b"done");
        assert_eq!(client.answer().status(), 200, "{status}");
    }
}

#[test]
fn an_unsafe_request_that_may_have_run_fails_without_a_retry() {
    type Script = fn(Exchange);
    let scripts: [(&str, Script); 12] = [
        ("an end of connection that may be a truncation", |mut exchange| {
            exchange.write(b"HTTP/1.1 200 OK\r\n\r\nhalf");
            drop(exchange.stream.shutdown(Shutdown::Both));
        }),
        ("two lengths", |mut exchange| {
            exchange.write(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\ncontent-length: 2\r\n\r\nwork");
        }),
        ("a length and chunks", |mut exchange| {
            exchange.write(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n");
            exchange.write(b"transfer-encoding: chunked\r\n\r\n4\r\nwork\r\n0\r\n\r\n");
        }),
        ("another protocol", |mut exchange| {
            exchange.write(b"HTTP/1.1 101 Other\r\nconnection: upgrade\r\nupgrade: other\r\n\r\n");
        }),
        ("a head too long", |mut exchange| {
            exchange.write(b"HTTP/1.1 200 OK\r\nx-more: ");
            exchange.write(&vec![b'x'; 40_000]);
        }),
        ("noise", |mut exchange| exchange.write(b"\x00\x01\x02\r\n\r\n")),
        ("an error", |exchange| exchange.answer("500 Broken", "", b"")),
        ("an error with a report", |exchange| {
            exchange.answer("500 Broken", "x-load: inflight=2,queue=0\r\n", b"")
        }),
        ("a refusal with no proof", |exchange| exchange.answer("503 Busy", "", b"")),
        ("another success", |exchange| exchange.answer("204 Nothing", "", b"")),
        ("a reset", |exchange| drop(exchange.stream.shutdown(Shutdown::Both))),
        ("a broken answer", |mut exchange| {
            exchange.write(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf");
            drop(exchange.stream.shutdown(Shutdown::Both));
        }),
    ];
    for (name, script) in scripts {
        let servers = [Server::start(), Server::start()];
        let node = Node::with_servers(&[&servers[0], &servers[1]]);
        let mut client = node.client();
        client.send(&request("pay", 20.0));
        script(request_at_either(&servers).1);
        assert_eq!(client.answer().status(), 502, "{name}");
        assert!(!servers[0].has_request() && !servers[1].has_request(), "{name}: the request was sent again");
    }
}

#[test]
fn an_unsafe_request_is_retried_when_its_server_cannot_be_reached() {
    let server = Server::start();
    let members = [member("dead", own_address(), "active"), member("s", server.address, "active")];
    let node = Node::start(&config(&members));
    // Both servers start with the same count. Requests go to the server with the lowest count, so at least
    // one of the three goes to the unreachable one.
    for _ in 0..3 {
        let mut client = node.client();
        client.send(&request("pay", 20.0));
        server.request().answer(OK, "", b"");
        assert_eq!(client.answer().status(), 200);
    }
}

/// The deadline counts from when the client sent its request; a silent server must not use all of it up.
#[test]
fn an_attempt_at_a_silent_server_is_abandoned_and_its_client_answered_in_time() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    let mut client = node.client();
    let since = Instant::now();
    client.send(&request("pay", 3.0));
    let mut exchange = server.request();
    assert_eq!(client.answer().status(), 502);
    assert!(since.elapsed() < Duration::from_secs(3), "{:?}", since.elapsed());
    assert!(since.elapsed() > Duration::from_millis(1_500), "the server had too little time to answer");
    exchange.await_end();
    assert!(!server.has_request());
}

#[test]
fn when_a_client_disconnects_its_attempt_is_cancelled() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    let mut client = node.client();
    client.send(&request("read", 60.0));
    let mut exchange = server.request();
    drop(client);
    exchange.await_end();
    assert!(!server.has_request(), "a request was sent for a client that has left");
    // The node still serves other clients.
    let mut client = node.client();
    client.send(&request("read", 20.0));
    server.request().answer(OK, "", b"");
    assert_eq!(client.answer().status(), 200);
}

/// Two attempts of a request must never be in flight at once: a dropped future does not prove that its socket
/// is closed.
#[test]
fn a_failed_attempts_connection_is_closed_before_the_retry_begins() {
    for _ in 0..5 {
        let servers = [Server::start(), Server::start()];
        let node = Node::with_servers(&[&servers[0], &servers[1]]);
        // Opens a kept connection to each server, so that the next attempt has no connection to wait for.
        let mut clients = [node.client(), node.client()];
        clients.iter_mut().for_each(|client| client.send(&request("read", 20.0)));
        servers.iter().for_each(|server| server.request().answer(OK, "", b""));
        clients.iter_mut().for_each(|client| assert_eq!(client.answer().status(), 200));
        let mut client = node.client();
        client.send(&request("read", 20.0));
        let (index, mut first) = request_at_either(&servers);
        // The answer is invalid and cannot be forwarded, but it has not ended: the server still has the
        // connection open.
        first.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\nnonsense\r\n");
        let next = servers[1 - index].request();
        assert!(first.has_ended(), "two attempts were in flight at once");
        next.answer(OK, "", b"");
        assert_eq!(client.answer().status(), 200);
    }
}

// ---- Connections to servers

/// A connect that hangs ends at the connect timeout, after which the request is known not to have run.
#[test]
fn a_connect_that_hangs_ends_at_its_timeout() {
    let (_slow, address, _filler) = full_listener();
    let server = Server::start();
    let mut config = config(&[member("slow", address, "active"), member("s", server.address, "active")]);
    config["settings"]["allowed"]["dial_timeout_ms"] = json!(300.0);
    let node = Node::start(&config);
    // Both servers start with the same count, so at least one of these requests goes to the slow one.
    for _ in 0..3 {
        let mut client = node.client();
        client.send(&request("pay", 20.0));
        server.request().answer(OK, "", b"");
        assert_eq!(client.answer().status(), 200);
    }
}

/// Without this, a request could be written to a connection that its server is about to close.
#[test]
fn an_idle_connection_is_closed_before_its_server_would() {
    let server = Server::start();
    let mut config = config(&members(&[&server]));
    config["settings"]["allowed"]["conn_idle_ms"] = json!(4_000.0);
    let node = Node::start(&config);
    let mut client = node.client();
    client.send(&request("pay", 20.0));
    let exchange = server.request();
    exchange.answer(OK, "", b"");
    let since = Instant::now();
    assert_eq!(client.answer().status(), 200);
    assert!(matches!(server.seen(), Seen::Closed(0)));
    assert!(since.elapsed() < Duration::from_millis(4_000), "{:?}", since.elapsed());
    client.send(&request("pay", 20.0));
    let exchange = server.request();
    assert_eq!(exchange.connection, 1);
    exchange.answer(OK, "", b"");
    assert_eq!(client.answer().status(), 200);
}

/// A kept connection that its server has closed, or has announced that it will close, must not fail a
/// request. An unsafe request may not be sent twice, so a retry would not help here.
#[test]
fn a_kept_connection_that_is_dead_is_not_used() {
    for headers in ["", "connection: close\r\n"] {
        let server = Server::start();
        let node = Node::with_servers(&[&server]);
        let mut client = node.client();
        for round in 0..5 {
            client.send(&request("pay", 20.0));
            let exchange = server.request();
            assert_eq!(exchange.connection, round, "{headers}");
            let stream = exchange.stream.try_clone().expect("cloned");
            exchange.answer(OK, headers, b"");
            assert_eq!(client.answer().status(), 200);
            if headers.is_empty() {
                stream.shutdown(Shutdown::Both).expect("closed");
            }
        }
    }
}

// ---- The list of servers

/// Time passes between the choice of a server and the send. If the server has begun to drain by then, it must
/// get nothing new.
#[test]
fn a_drain_during_a_slow_connect_stops_the_send() {
    drained_while_connecting(|slow| list(2, false, &[member("slow", slow, "leaving")]));
    // A complete list announces a removal by leaving the server out.
    drained_while_connecting(|_| list(2, true, &[]));
}

fn drained_while_connecting(update: fn(SocketAddr) -> Value) {
    let (slow, address, filler) = full_listener();
    let node = Node::start(&config(&[member("slow", address, "active")]));
    let watch = node.discovery.request();
    let mut client = node.client();
    client.send(&request("pay", 25.0));
    wait_until("the node has not begun to connect", || pending_connects(address) > 0);
    watch.answer(OK, "", update(address).to_string().as_bytes());
    // The next watch shows that the list has been applied.
    assert!(node.discovery.request().request.first.contains("since=2&"));
    drop(slow.accept().expect("the filler"));
    drop(filler);
    let (mut stream, _) = slow.accept().expect("the node's connection");
    stream.set_read_timeout(Some(LONG)).expect("set");
    assert_eq!(stream.read(&mut [0; 1]).ok(), Some(0), "bytes went to a draining server");
    assert_eq!(client.answer().status(), 503);
}

/// If the network path to discovery is cut, its connection stays open and silent; only a timeout detects
/// that.
#[test]
fn a_silent_watch_is_abandoned_and_made_again() {
    let node = Node::with_servers(&[]);
    let mut silent = node.discovery.request();
    let again = node.discovery.request();
    assert_ne!(silent.connection, again.connection);
    silent.await_end();
}

/// A change right after a watch answer counts as notified, so a node that is one of many must also watch
/// again at once. The client whose head is half sent has 2.5 s to send the rest; that it is served shows that
/// the watches came sooner. The lists are indented JSON, and one of them is complete.
#[test]
fn one_of_many_nodes_watches_again_at_once_and_sends_nothing_to_a_draining_server() {
    let (leaving, staying) = (Server::start(), Server::start());
    let mut config = config(&members(&[&leaving, &staying]));
    (config["settings"]["n_instances"], config["settings"]["me"]) = (json!(300), json!(0));
    let node = Node::start(&config);
    let watch = node.discovery.request();
    let full_request = request("read", 20.0);
    let (first_part, second_part) = full_request.split_at(40);
    let mut client = node.client();
    client.send(first_part);
    let indented = |list: Value| serde_json::to_string_pretty(&list).expect("JSON").into_bytes();
    let update = list(2, false, &[member("s0", leaving.address, "active")]);
    watch.answer(OK, "", &indented(update));
    let watch = node.discovery.request();
    assert!(watch.request.first.contains("since=2&"), "{}", watch.request.first);
    let update =
        list(3, true, &[member("s0", leaving.address, "leaving"), member("s1", staying.address, "active")]);
    watch.answer(OK, "", &indented(update));
    assert!(node.discovery.request().request.first.contains("since=3&"));
    client.send(second_part);
    staying.request().answer(OK, "", b"");
    assert_eq!(client.answer().status(), 200);
    (0..8).for_each(|_| served_by(&node, &staying));
    assert!(!leaving.has_request());
}

/// A refused watch, a malformed list and a broken connection must each be followed by another call, from the
/// revision that the node has.
#[test]
fn the_list_is_followed_through_failures() {
    let (old, new) = (Server::start(), Server::start());
    let node = Node::with_servers(&[&old]);
    let next_watch = || {
        let watch = node.discovery.request();
        assert!(watch.request.first.starts_with("GET /catalog/members?since=1&timeout_ms="));
        watch
    };
    next_watch().answer("503 Down", "", b"");
    next_watch().answer(OK, "", b"{\"revision\": 7, \"complete\": true, \"members\": [{\"id\": 5}]}");
    next_watch().stream.shutdown(Shutdown::Both).expect("broken");
    // A partial list moves the server to another address; then a complete list holds only the new server.
    let moved = Server::start();
    let change = list(2, false, &[member("s0", moved.address, "active")]);
    next_watch().answer(OK, "", change.to_string().as_bytes());
    let watch = node.discovery.request();
    assert!(watch.request.first.contains("since=2&"), "{}", watch.request.first);
    served_by(&node, &moved);
    let full = list(9, true, &[member("s9", new.address, "active")]);
    watch.answer(OK, "", full.to_string().as_bytes());
    assert!(node.discovery.request().request.first.contains("since=9&"));
    (0..4).for_each(|_| served_by(&node, &new));
    assert!(!old.has_request() && !moved.has_request());
}

/// A restarted server is a new server under the same name. If an answer shows another start time than the
/// list, the node reads the list at once.
#[test]
fn a_start_time_that_differs_from_the_list_triggers_a_poll() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    let mut client = node.client();
    let watch = node.discovery.request();
    client.send(&request("read", 20.0));
    server.request().answer(OK, "x-up-since: 1764590000000\r\n", b"");
    assert_eq!(client.answer().status(), 200);
    // The poll is made beside the watch, which stays open.
    let poll = loop {
        let call = node.discovery.request();
        if call.request.first.contains("timeout_ms=0") {
            break call;
        }
    };
    assert_ne!(poll.connection, watch.connection);
}

/// All servers are replaced by servers with new ids that listen at the same addresses.
#[test]
fn new_servers_at_the_same_addresses_are_separate_servers() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    served_by(&node, &server);
    let complete_list = list(2, true, &[member("s9", server.address, "active")]);
    node.discovery.request().answer(OK, "", complete_list.to_string().as_bytes());
    let watch = node.discovery.request();
    assert!(watch.request.first.contains("since=2&"), "{}", watch.request.first);
    served_by(&node, &server);
    // A late notice that the old server has left must not remove the new one at its address.
    let removal = list(3, false, &[member("s0", server.address, "left")]);
    watch.answer(OK, "", removal.to_string().as_bytes());
    assert!(node.discovery.request().request.first.contains("since=3&"));
    served_by(&node, &server);
}

/// Servers come and go under new ids for as long as the node runs. If it kept them, its memory would grow
/// without bound.
#[test]
fn removed_servers_take_no_memory() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    let stays = member("s0", server.address, "active");
    let mut revision = 1;
    let mut round = |watches: usize| {
        for _ in 0..watches {
            revision += 1;
            let id = |i| format!("{}-{revision}-{i}", "x".repeat(200));
            let mut members: Vec<Value> =
                (0..400).map(|i| member(&id(i), server.address, "active")).collect();
            members.push(stays.clone());
            let watch = node.discovery.request();
            watch.answer(OK, "", list(revision, true, &members).to_string().as_bytes());
            // Also removed by partial lists, some of which name servers that are not known.
            members.iter_mut().skip(200).take(200).for_each(|member| member["phase"] = json!("left"));
            revision += 1;
            let change = list(revision, false, &members[200..400]).to_string();
            node.discovery.request().answer(OK, "", change.as_bytes());
        }
        revision += 1;
        let last = list(revision, true, std::slice::from_ref(&stays)).to_string();
        node.discovery.request().answer(OK, "", last.as_bytes());
    };
    round(10);
    let before = node.memory();
    round(100);
    let grown = node.memory().saturating_sub(before);
    assert!(grown < 8 << 20, "{grown} bytes more for 40,000 removed servers");
    served_by(&node, &server);
}

/// An answer that comes after its server has left the list still goes to its client. The next server at that
/// address is another one and must get a connection of its own.
#[test]
fn an_answer_outlives_its_server() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    let mut client = node.client();
    client.send(&request("pay", 20.0));
    let exchange = server.request();
    let next = list(2, true, &[member("s1", server.address, "active")]);
    node.discovery.request().answer(OK, "", next.to_string().as_bytes());
    assert!(node.discovery.request().request.first.contains("since=2&"));
    exchange.answer(OK, "", b"late");
    assert_eq!(client.answer().body, b"late");
    client.send(&request("pay", 20.0));
    let exchange = server.request();
    assert_eq!(exchange.connection, 1, "the old server's connection is not used for the new one");
    exchange.answer(OK, "", b"");
    assert_eq!(client.answer().status(), 200);
}

// ---- A new configuration

/// SIGHUP must reload the configuration and not end the process, and pending requests must still get their
/// answers. The first call to the new discovery must not carry the old one's revision: revisions of another
/// discovery mean nothing to it, and it would wait with its answer.
#[test]
fn sighup_under_load_moves_the_watch_to_a_new_discovery() {
    let (old, new) = (Server::start(), Server::start());
    let mut config = config(&members(&[&old]));
    let node = Node::start(&config);
    let mut watch = node.discovery.request();
    let mut pending_client = node.client();
    pending_client.send(&request("pay", 20.0));
    let exchange = old.request();

    let new_discovery = Server::start();
    config["discovery"] = json!(new_discovery.address.to_string());
    for _ in 0..5 {
        node.reload(&config.to_string());
    }
    let read_call = new_discovery.request();
    assert_eq!(read_call.request.first, "GET /catalog/members HTTP/1.1");
    assert!(
        !watch.has_ended(),
        "what the old discovery writes still counts as notified until the new one has answered"
    );
    let full = list(1, true, &[member("s9", new.address, "active")]);
    read_call.answer(OK, "", full.to_string().as_bytes());
    watch.await_end();
    let mut next = new_discovery.request();
    assert!(next.request.first.contains("since=1&"), "{}", next.request.first);
    served_by(&node, &new);
    exchange.answer(OK, "", b"");
    assert_eq!(pending_client.answer().status(), 200);
    // A reload of the same configuration changes nothing.
    node.reload(&config.to_string());
    served_by(&node, &new);
    assert!(!next.has_ended() && !old.has_request());
    // On a slow machine the watch may be overdue, and another call is made beside it; the list is not read
    // from the start again.
    if let Some(extra_call) = new_discovery.poll() {
        assert!(extra_call.request.first.contains("since=1&"), "{}", extra_call.request.first);
    }
}

/// A node that backs off after failed calls must call a new discovery at once.
#[test]
fn a_new_discovery_is_called_at_once_after_failures_of_the_old_one() {
    let mut config = config(&[]);
    config["settings"]["rules"]["ask_within_ms"] = json!(3_600_000.0);
    let node = Node::start(&config);
    node.discovery.request().answer("503 Down", "", b"");
    let new_discovery = Server::start();
    config["discovery"] = json!(new_discovery.address.to_string());
    node.reload(&config.to_string());
    new_discovery.request();
}

#[test]
fn an_invalid_new_configuration_is_logged_with_its_key_and_the_old_one_stays() {
    let mut valid = config(&[]);
    let mut node = Node::start(&valid);
    let mut watch = node.discovery.request();
    valid["discovery"] = json!("here");
    let stays = "the configuration stays as it was";
    for (key, text) in [("GW_CONFIG", "{".to_owned()), ("discovery", valid.to_string())] {
        node.reload(&text);
        let line = node.log_line_containing(stays);
        assert!(line.contains(&format!("`{key}")), "{key}: {line}");
    }
    std::fs::remove_file(config_path(node.address)).expect("removed");
    node.send_sighup();
    assert!(node.log_line_containing(stays).contains("`GW_CONFIG`"));
    assert!(!watch.has_ended());
}

// ---- Shutdown

#[test]
fn sigterm_lets_all_accepted_requests_finish() {
    let server = Server::start();
    let mut config = config(&members(&[&server]));
    config["settings"]["classes"][2]["deadline_ms"] = json!(60_000.0);
    let mut node = Node::start(&config);
    let mut clients: Vec<Client> = (0..8).map(|_| node.client()).collect();
    let mut exchanges = Vec::new();
    for client in &mut clients {
        client.send(&request("pay", 20.0));
        exchanges.push(server.request());
    }
    node.terminate();
    // The health check shows that the node has received the signal; it still accepts connections.
    let since = Instant::now();
    while node.client().ask("GET /_health HTTP/1.1\r\nhost: n\r\n\r\n").status() == 200 {
        assert!(since.elapsed() < LONG);
    }
    clients.push(node.client());
    clients.last_mut().expect("pushed").send(&request("pay", 20.0));
    exchanges.push(server.request());
    exchanges.into_iter().for_each(|exchange| exchange.answer(OK, "", b"done"));
    for client in &mut clients {
        let answer = client.answer();
        assert_eq!((answer.status(), &answer.body[..]), (200, &b"done"[..]));
        assert_eq!(answer.header("connection"), Some("close"));
    }
    assert_eq!(node.wait().code(), Some(0));
}

// ---- Limits

/// A rejected request has not run on any server, and its answer says when to retry.
#[test]
fn a_rejected_request_is_refused_with_a_retry_time() {
    let node = Node::start_without_discovery(&config(&[]));
    let answer = node.client().ask(&request("pay", 20.0));
    assert_eq!((answer.status(), answer.header("retry-after")), (503, Some("0.250")));

    let server = Server::start();
    let mut config = config(&members(&[&server]));
    config["settings"]["allowed"]["most_held"] = json!(1);
    let node = Node::start(&config);
    let mut pending_client = node.client();
    pending_client.send(&request("pay", 20.0));
    let exchange = server.request();
    let answer = node.client().ask(&request("pay", 20.0));
    assert_eq!((answer.status(), answer.header("retry-after")), (503, Some("0.400")));
    exchange.answer(OK, "", b"");
    assert_eq!(pending_client.answer().status(), 200);
}

/// Clients that open connections and leave them idle must not use up all permits: new clients are still
/// accepted.
#[test]
fn idle_clients_make_room_for_new_ones() {
    let server = Server::start();
    let mut config = config(&members(&[&server]));
    config["limits"]["sockets"] = json!(40);
    let node = Node::start(&config);
    let mut idle: Vec<Client> = (0..60).map(|_| node.client()).collect();
    // One of them has sent a part of a request.
    idle[30].send("POST /api HTTP/1.1\r\nhost:");
    // Until the idle connections are old enough to be closed, new clients are refused with a retry time.
    let since = Instant::now();
    let mut client = node.client();
    while !is_served(&mut client, &server) {
        assert!(since.elapsed() < LONG);
        client = node.client();
    }
    assert_eq!(idle[0].stream.get_mut().read(&mut [0; 1]).ok(), Some(0), "the oldest was closed");
}

/// Connections that have never sent a request are closed first, so that they cannot displace clients that are
/// being served.
#[test]
fn clients_that_never_sent_a_request_are_closed_first() {
    let server = Server::start();
    let mut config = config(&members(&[&server]));
    config["limits"]["sockets"] = json!(40);
    let node = Node::start(&config);
    let mut served_client = node.client();
    served_client.send(&request("update", 20.0));
    server.request().answer(OK, "", b"");
    assert_eq!(served_client.answer().status(), 200);
    let mut silent: Vec<Client> = (0..12).map(|_| node.client()).collect();
    std::thread::sleep(Duration::from_millis(600));
    silent.extend((0..8).map(|_| node.client()));
    // The answer of the health endpoint shows that all of them have been accepted.
    assert_eq!(node.client().ask("GET /_health HTTP/1.1\r\nhost: n\r\n\r\n").status(), 200);
    served_client.send(&request("update", 20.0));
    server.request().answer(OK, "", b"");
    assert_eq!(served_client.answer().status(), 200);
    drop(silent);
}

/// When served clients hold nearly all permits, each new client must not be closed to make room for the next
/// one.
#[test]
fn new_clients_are_not_closed_before_they_can_send_a_request() {
    let mut config = config(&[]);
    config["limits"]["sockets"] = json!(40);
    let node = Node::start_without_discovery(&config);
    let health = "GET /_health HTTP/1.1\r\nhost: n\r\n\r\n";
    let mut served_clients = Vec::new();
    for _ in 0..30 {
        served_clients.push(node.client());
        assert_eq!(served_clients.last_mut().expect("pushed").ask(health).status(), 200);
    }
    let mut new: Vec<Client> = (0..8).map(|_| node.client()).collect();
    for client in &mut new {
        assert_eq!(client.ask(health).status(), 200);
    }
}

/// While all permits are in use, new connections are still accepted and closed, so that their clients need
/// not wait in vain.
#[test]
fn connections_are_accepted_while_all_permits_are_in_use() {
    let mut config = config(&[]);
    config["limits"]["sockets"] = json!(64);
    let node = Node::start(&config);
    let full_request = request("update", 20.0);
    let mut clients: Vec<Client> = (0..60).map(|_| node.client()).collect();
    for client in &mut clients {
        // Fails if the connection has already been closed.
        let _ = client.stream.get_mut().write_all(&full_request.as_bytes()[..full_request.len() - 1]);
    }
    let received: Vec<String> = clients.iter_mut().map(Client::rest).collect();
    let begin = |start: &str| received.iter().filter(|received| received.starts_with(start)).count();
    let (slow, refused, closed) = (
        begin("HTTP/1.1 408 "),
        begin("HTTP/1.1 503 "),
        received.iter().filter(|received| received.is_empty()).count(),
    );
    assert_eq!(slow + refused + closed, 60, "{received:?}");
    assert!((16..=40).contains(&slow), "{slow}");
}

// ---- Invalid input

#[test]
fn an_invalid_configuration_ends_the_program_with_a_line_that_names_the_key() {
    let valid = config(&[]);
    let edit = |change: fn(&mut Value)| {
        let mut config = valid.clone();
        change(&mut config);
        config.to_string()
    };
    let cases = [
        ("GW_CONFIG", "{".to_owned()),
        ("seed", edit(|c| c["seed"] = json!("xyz"))),
        ("sockets", edit(|c| c["limits"] = json!({}))),
        ("known", edit(|c| c["known"] = json!({"revision": 1}))),
        ("settings", edit(|c| c["settings"] = json!(3))),
        ("classes", edit(|c| c["settings"]["classes"] = json!([]))),
        ("deadline_ms", edit(|c| c["settings"]["classes"][0]["deadline_ms"] = Value::Null)),
        ("zones", edit(|c| c["settings"]["zones"] = json!(1))),
        ("conn_idle_ms", edit(|c| c["settings"]["allowed"]["conn_idle_ms"] = json!("long"))),
        ("dial_timeout_ms", edit(|c| c["settings"]["allowed"]["dial_timeout_ms"] = json!(-1))),
        ("most_held", edit(|c| c["settings"]["allowed"]["most_held"] = Value::Null)),
        ("max_attempts", edit(|c| c["settings"]["allowed"]["max_attempts"] = json!("many"))),
    ];
    for (key, text) in cases {
        exits_with_error_naming(key, &mut command(&text, own_address(), own_address()));
    }
    for key in ["GW_NAME", "GW_LISTEN", "GW_DISCOVERY", "GW_CONFIG"] {
        exits_with_error_naming(
            key,
            command(&valid.to_string(), own_address(), own_address()).env_remove(key),
        );
    }
    exits_with_error_naming(
        "GW_LISTEN",
        command(&valid.to_string(), own_address(), own_address()).env("GW_LISTEN", "here"),
    );
}

#[test]
fn an_invalid_request_is_answered_and_not_forwarded() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    let valid = request("update", 20.0);
    let cases = [
        (400, valid.replace("x-class: update", "x-class: other")),
        (400, valid.replace("x-class: update\r\n", "")),
        (400, valid.replace("x-tenant: acme", "x-tenant: other")),
        (400, valid.replace("x-tenant: acme\r\n", "")),
        (400, valid.replace("x-deadline: 20", "x-deadline: soon")),
        (400, valid.replace("x-deadline: 20", "x-deadline: -1")),
        (400, valid.replace("x-deadline: 20", "x-deadline: 0")),
        (400, valid.replace("x-deadline: 20", "x-deadline: NaN")),
        (400, valid.replace("x-deadline: 20\r\n", "")),
        (400, valid.replace("x-request-id", "x-other")),
        (400, valid.replace("x-class", "x-class: update\r\nx-class")),
        (400, valid.replace("x-request-id", "x-request-id: r0\r\nx-request-id")),
        (400, valid.replace("host", "host: b\r\nhost")),
        (400, valid.replace("content-length: 4", "content-length: 4\r\ncontent-length: 4")),
        (400, valid.replace("content-length: 4", "content-length: -4")),
        (400, valid.replace("content-length: 4", "content-length: 99999999999999999999")),
        (400, request("read", 20.0).replace("\r\n\r\n", "\r\ncontent-length: 4\r\n\r\nwork")),
        (431, valid.replace("x-class", &("x-long: ".to_owned() + &"x".repeat(20_000) + "\r\nx-class"))),
        (400, valid.replace("idempotency-key: k1\r\n", "")),
        (400, valid.replace("POST", "GET")),
        (404, valid.replace("/api", "/other")),
    ];
    for (status, text) in cases {
        assert_eq!(node.client().ask(&text).status(), status, "{}", &text[..text.len().min(300)]);
    }
    // Input that is not HTTP ends its own connection and affects no other.
    let mut client = node.client();
    client.stream.get_mut().write_all(b"\x00\x01\x02 nonsense\r\n\r\n").expect("sent");
    client.stream.read_to_end(&mut Vec::new()).expect("ended");
    assert!(!server.has_request());
    served_by(&node, &server);
}

/// hyper drops one of two conflicting length fields. To a server that goes by the dropped one, the body would
/// contain another request (request smuggling).
#[test]
fn a_request_with_two_lengths_ends_its_connection() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    let (length, chunks) = ("content-length: 5\r\n", "transfer-encoding: chunked\r\n");
    for lengths in [[length, chunks], [chunks, length], [chunks, chunks], [length, length]] {
        let outer = request("update", 20.0).replace("content-length: 4\r\n", &lengths.concat());
        let smuggled = outer.replace("\r\n\r\nwork", "\r\n\r\n0\r\n\r\n") + &request("update", 20.0);
        let mut client = node.client();
        client.send(&smuggled);
        let all = client.rest();
        assert!(all.starts_with("HTTP/1.1 400 "), "{lengths:?}: {all}");
        assert_eq!(all.matches("HTTP/1.1 ").count(), 1, "{lengths:?}: {all}");
    }
    assert!(!server.has_request());
    served_by(&node, &server);
}

#[test]
fn requests_in_unusual_but_valid_forms_are_served() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    let mut client = node.client();
    let pipelined = [request("update", 20.0), request("read", 20.0), request("pay", 20.0)];
    client.send(&pipelined.concat());
    for text in ["first", "second", "third"] {
        server.request().answer(OK, "", text.as_bytes());
    }
    for text in ["first", "second", "third"] {
        assert_eq!(client.answer().body, text.as_bytes());
    }
    client.send(&request("update", 20.0).replace("/api", "http://other.svc/api"));
    let exchange = server.request();
    assert_eq!(exchange.request.first, "POST /api?k=7f3a HTTP/1.1");
    assert_eq!(exchange.request.header("host"), Some("other.svc"));
    exchange.answer(OK, "", b"");
    assert_eq!(client.answer().status(), 200);
    let chunked = request("update", 20.0).replace("content-length: 4", "transfer-encoding: chunked");
    client.send(&chunked.replace("\r\n\r\nwork", "\r\n\r\n2\r\nwo\r\n2\r\nrk\r\n0\r\n\r\n"));
    let exchange = server.request();
    assert_eq!(exchange.request.body, b"work");
    exchange.answer(OK, "", b"");
    assert_eq!(client.answer().status(), 200);
}

#[test]
fn the_id_of_a_pending_request_is_not_accepted_again() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    for class in ["read", "update"] {
        let (mut first, again) = (node.client(), request(class, 20.0));
        first.send(&again);
        let exchange = server.request();
        assert_eq!(node.client().ask(&again).status(), 409, "{class}");
        exchange.answer(OK, "", b"mine");
        assert_eq!(first.answer().body, b"mine");
        assert!(!server.has_request(), "{class}");
        // Once the request has ended, its id may be used again if it may run again.
        first.send(&again);
        if class == "read" {
            server.request().answer(OK, "", b"");
            assert_eq!(first.answer().status(), 200);
        } else {
            assert_eq!(first.answer().status(), 409);
            assert!(!server.has_request(), "{class}: the request ran twice");
        }
    }
}

/// Without timeouts, each of these clients could hold its connection permit indefinitely.
#[test]
fn slow_clients_are_disconnected() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    let full_request = request("update", 3600.0);
    let cases = [
        ("", ""),
        (&full_request[..40], "HTTP/1.1 408 "),
        (&full_request[..full_request.len() - 1], "HTTP/1.1 408 "),
    ];
    let clients = cases.map(|(part, answer)| {
        let mut client = node.client();
        client.send(part);
        (client, answer)
    });
    for (mut client, answer) in clients {
        let received = client.rest();
        assert!(received.starts_with(answer) && received.is_empty() == answer.is_empty(), "{received}");
    }
    // An idle client that was served before is closed as well.
    let mut client = node.client();
    client.send(&request("update", 20.0));
    server.request().answer(OK, "", b"");
    assert_eq!(client.answer().status(), 200);
    assert_eq!(client.rest(), "");
    assert!(!server.has_request());
}

/// A load report overwrites its server's count, under either set of field names and also when it comes with
/// an error. If it did not, the other server's count, which the node's own sends raise, would soon be the
/// higher one.
#[test]
fn load_reports_decide_where_the_next_requests_go() {
    for (status, load) in [
        (OK, "waiting=3,active=5000"),
        (OK, "inflight=5000,queue=3,util=0.61"),
        ("500 Broken", "waiting=3,active=5000"),
    ] {
        let servers = [Server::start(), Server::start()];
        let node = Node::with_servers(&[&servers[0], &servers[1]]);
        let mut client = node.client();
        client.send(&request("pay", 20.0));
        let (loaded, exchange) = request_at_either(&servers);
        exchange.answer(status, &format!("x-load: {load}\r\n"), b"");
        client.answer();
        for _ in 0..6 {
            client.send(&request("pay", 20.0));
            let (index, exchange) = request_at_either(&servers);
            assert_eq!(index, 1 - loaded, "{status}, {load}");
            exchange.answer(OK, "", b"");
            assert_eq!(client.answer().status(), 200);
        }
    }
}

/// Bytes behind a complete answer belong to no request. If the connection were kept, its next request would
/// get them as its answer.
#[test]
fn bytes_behind_a_complete_answer_are_not_the_next_answer() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    let good = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nmine";
    for (n, (behind, apart)) in
        [(good, false), (good, true), ("noise", false), ("noise", true)].into_iter().enumerate()
    {
        let mut client = node.client();
        client.send(&request("pay", 20.0));
        let mut exchange = server.request();
        assert_eq!(exchange.connection, n);
        if apart {
            exchange.write(good.as_bytes());
            exchange.write(behind.as_bytes());
        } else {
            exchange.write(&[good, behind].concat().into_bytes());
        }
        assert_eq!(client.answer().body, b"mine");
    }
}

/// Interim (1xx) answers before the final one are skipped.
#[test]
fn interim_answers_are_skipped() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    let mut client = node.client();
    for _ in 0..2 {
        client.send(&request("update", 20.0));
        let mut exchange = server.request();
        assert_eq!(exchange.connection, 0, "the connection is reused");
        exchange.write(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nlink: x\r\n\r\n");
        exchange.answer(OK, "", b"done");
        let answer = client.answer();
        assert_eq!((answer.status(), &answer.body[..]), (200, &b"done"[..]));
    }
}

/// The connect timeout of the settings may be as long as a request's whole budget. The node must give up the
/// connect after a part of that budget, so that even an unsafe request can go to another server.
#[test]
fn a_connect_that_hangs_leaves_time_for_another_server() {
    let (_slow, address, _filler) = full_listener();
    let server = Server::start();
    let node =
        Node::start(&config(&[member("s0", address, "active"), member("s1", server.address, "active")]));
    let mut clients = [node.client(), node.client()];
    clients.iter_mut().for_each(|client| client.send(&request("pay", 8.0)));
    (0..2).for_each(|_| server.request().answer(OK, "", b""));
    assert!(clients.iter_mut().all(|client| client.answer().status() == 200));
}

/// An attempt is abandoned because its server is silent: the timer fires, the connection is closed, and the
/// next server is tried.
#[test]
fn attempts_at_a_silent_server_are_abandoned_and_retried_elsewhere() {
    let servers = [Server::start(), Server::start()];
    let node = Node::with_servers(&[&servers[0], &servers[1]]);
    let mut clients: Vec<Client> = (0..6).map(|_| node.client()).collect();
    clients.iter_mut().for_each(|client| client.send(&request("read", 60.0)));
    let mut unanswered = [(); 3].map(|()| servers[0].request());
    for _ in 0..6 {
        servers[1].request().answer(OK, "", b"");
    }
    assert!(clients.iter_mut().all(|client| client.answer().status() == 200));
    unanswered.iter_mut().for_each(Exchange::await_end);
}

/// Malformed load reports are ignored, and the answers that carry them are still used.
#[test]
fn a_malformed_load_report_does_no_harm() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    for load in ["", "inflight", "inflight=NaN,queue=1", "active=-1", "\u{e9}", "active=1,waiting=2"] {
        let mut client = node.client();
        client.send(&request("read", 20.0));
        server.request().answer(OK, &format!("x-load: {load}\r\n"), b"");
        assert_eq!(client.answer().status(), 200, "{load}");
    }
}

// ---- Helpers

/// Returns a listener whose accept queue is full, so that further connects hang; its address; and the
/// connection that fills the queue.
fn full_listener() -> (TcpListener, SocketAddr, TcpStream) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.bind(&own_address().into()).expect("bound");
    socket.listen(0).expect("listening");
    let slow = TcpListener::from(socket);
    let address = slow.local_addr().expect("bound");
    let filler = TcpStream::connect(address).expect("queued");
    (slow, address, filler)
}

/// Returns the next request at either of two servers, with the index of that server.
fn request_at_either(servers: &[Server; 2]) -> (usize, Exchange) {
    let since = Instant::now();
    loop {
        for (index, server) in servers.iter().enumerate() {
            if let Some(exchange) = server.poll() {
                return (index, exchange);
            }
        }
        assert!(since.elapsed() < LONG, "no request arrives");
        std::thread::sleep(Duration::from_millis(1));
    }
}

fn served_by(node: &Node, server: &Server) {
    let mut client = node.client();
    client.send(&request("update", 20.0));
    server.request().answer(OK, "", b"");
    assert_eq!(client.answer().status(), 200);
}

/// Returns whether a request of this client is served, rather than refused or its connection closed.
fn is_served(client: &mut Client, server: &Server) -> bool {
    // Fails if the connection has already been closed.
    let _ = client.stream.get_mut().write_all(request("update", 20.0).as_bytes());
    let sent_on = forwarded_or_answered(client, server);
    let served = sent_on.map(|exchange| exchange.answer(OK, "", b"")).is_some();
    served && client.answer().status() == 200
}

/// Returns the client's request as it arrives at the server, or none if the client is answered or its
/// connection ends without that.
fn forwarded_or_answered(client: &Client, server: &Server) -> Option<Exchange> {
    let stream = client.stream.get_ref();
    stream.set_nonblocking(true).expect("set");
    let answered = || match stream.peek(&mut [0; 1]) {
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        Ok(_) => true,
    };
    let mut sent_on = None;
    wait_until("the request is neither forwarded nor answered", || {
        sent_on = server.poll();
        sent_on.is_some() || answered()
    });
    stream.set_nonblocking(false).expect("set");
    sent_on
}

fn exits_with_error_naming(key: &str, command: &mut std::process::Command) {
    let output = command.output().expect("started");
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success(), "{key}");
    assert_eq!(stderr.lines().count(), 1, "{key}: {stderr}");
    assert!(stderr.contains(&format!("`{key}")), "{key}: {stderr}");
}
