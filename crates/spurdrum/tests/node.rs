//! The real node over loopback sockets, among scripted servers, clients and discovery.

#[path = "node/affinity.rs"]
mod affinity;
#[path = "node/alone.rs"]
mod alone;
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
#[path = "node/stalled.rs"]
mod stalled;
#[path = "node/starts.rs"]
mod starts;
#[path = "node/streams.rs"]
mod streams;
#[path = "node/unread.rs"]
mod unread;
use net::*;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

const OK: &str = "200 OK";

// ---- One request

#[test]
fn a_request_goes_on_and_its_answer_comes_back_unchanged() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    let mut client = node.client();
    for _ in 0..2 {
        let sent = request("update", 20.0);
        client.send(&sent);
        let got = server.request();
        assert_eq!(got.request.first, "POST /api?k=7f3a HTTP/1.1");
        assert_eq!(got.request.body, b"work");
        let id = got.request.header("x-request-id").expect("passed on");
        assert!(sent.contains(&format!("x-request-id: {id}\r\n")));
        assert_eq!(got.request.header("idempotency-key"), Some("k1"));
        let left: f64 = got.request.header("x-deadline").and_then(|t| t.parse().ok()).expect("told");
        assert!(left > 1.0 && left < 20.0, "{left}");
        assert_eq!(got.connection, 0, "connections are kept");
        got.answer(OK, "", b"an \x00 answer");
        let answer = client.answer();
        assert_eq!((answer.status(), &answer.body[..]), (200, &b"an \x00 answer"[..]));
    }
}

// ---- Outcomes

/// An unsafe request shows what the node believes: it is sent again only where it is known not to have run.
#[test]
fn what_proves_that_nothing_ran_leads_to_another_attempt() {
    for (status, headers) in
        [("503 Busy", "x-not-run: 1\r\n"), ("504 Late", "x-not-run: 1\r\nx-load: inflight=3,queue=1\r\n")]
    {
        let servers = [Server::start(), Server::start()];
        let node = Node::with_servers(&[&servers[0], &servers[1]]);
        let mut client = node.client();
        client.send(&request("pay", 20.0));
        let (first, got) = request_at_either(&servers);
        got.answer(status, headers, b"");
        servers[1 - first].request().answer(OK, "", b"done");
        assert_eq!(client.answer().status(), 200, "{status}");
    }
}

#[test]
fn what_may_have_run_is_a_failure() {
    type Script = fn(Exchange);
    let scripts: [(&str, Script); 12] = [
        ("an end that may be a break", |mut got| {
            got.write(b"HTTP/1.1 200 OK\r\n\r\nhalf");
            drop(got.stream.shutdown(Shutdown::Both));
        }),
        ("two lengths", |mut got| {
            got.write(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\ncontent-length: 2\r\n\r\nwork");
        }),
        ("a length and chunks", |mut got| {
            got.write(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n");
            got.write(b"transfer-encoding: chunked\r\n\r\n4\r\nwork\r\n0\r\n\r\n");
        }),
        ("another protocol", |mut got| {
            got.write(b"HTTP/1.1 101 Other\r\nconnection: upgrade\r\nupgrade: other\r\n\r\n");
        }),
        ("a head too long", |mut got| {
            got.write(b"HTTP/1.1 200 OK\r\nx-more: ");
            got.write(&vec![b'x'; 40_000]);
        }),
        ("noise", |mut got| got.write(b"\x00\x01\x02\r\n\r\n")),
        ("an error", |got| got.answer("500 Broken", "", b"")),
        ("an error with a report", |got| got.answer("500 Broken", "x-load: inflight=2,queue=0\r\n", b"")),
        ("a refusal with no proof", |got| got.answer("503 Busy", "", b"")),
        ("another success", |got| got.answer("204 Nothing", "", b"")),
        ("a reset", |got| drop(got.stream.shutdown(Shutdown::Both))),
        ("a broken answer", |mut got| {
            got.write(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf");
            drop(got.stream.shutdown(Shutdown::Both));
        }),
    ];
    for (name, script) in scripts {
        let servers = [Server::start(), Server::start()];
        let node = Node::with_servers(&[&servers[0], &servers[1]]);
        let mut client = node.client();
        client.send(&request("pay", 20.0));
        script(request_at_either(&servers).1);
        assert_eq!(client.answer().status(), 502, "{name}");
        assert!(!servers[0].has_request() && !servers[1].has_request(), "{name}: it was sent again");
    }
}

#[test]
fn a_server_that_cannot_be_reached_is_known_not_to_have_run_it() {
    let server = Server::start();
    let members = [member("dead", own_address(), "active"), member("s", server.address, "active")];
    let node = Node::start(&config(&members));
    // Both start with the same count: of three sends to the lowest, one at least is for the dead one.
    for _ in 0..3 {
        let mut client = node.client();
        client.send(&request("pay", 20.0));
        server.request().answer(OK, "", b"");
        assert_eq!(client.answer().status(), 200);
    }
}

/// The deadline counts from the client's sending; a silent server must not use it up.
#[test]
fn a_silent_server_is_left_and_its_client_answered_in_time() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    let mut client = node.client();
    let since = Instant::now();
    client.send(&request("pay", 3.0));
    let mut got = server.request();
    assert_eq!(client.answer().status(), 502);
    assert!(since.elapsed() < Duration::from_secs(3), "{:?}", since.elapsed());
    assert!(since.elapsed() > Duration::from_millis(1_500), "it was given its time");
    got.await_end();
    assert!(!server.has_request());
}

#[test]
fn when_a_client_leaves_its_attempt_is_given_up() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    let mut client = node.client();
    client.send(&request("read", 60.0));
    let mut got = server.request();
    drop(client);
    got.await_end();
    assert!(!server.has_request(), "nothing is sent for it afterwards");
    // The node goes on.
    let mut client = node.client();
    client.send(&request("read", 20.0));
    server.request().answer(OK, "", b"");
    assert_eq!(client.answer().status(), 200);
}

/// Guards against two attempts at once: a future that was dropped is no proof that its socket is closed.
#[test]
fn an_attempt_given_up_is_closed_before_the_next_begins() {
    for _ in 0..5 {
        let servers = [Server::start(), Server::start()];
        let node = Node::with_servers(&[&servers[0], &servers[1]]);
        // Both get a connection that is kept, so that the next attempt has nothing to wait for.
        let mut clients = [node.client(), node.client()];
        clients.iter_mut().for_each(|client| client.send(&request("read", 20.0)));
        servers.iter().for_each(|server| server.request().answer(OK, "", b""));
        clients.iter_mut().for_each(|client| assert_eq!(client.answer().status(), 200));
        let mut client = node.client();
        client.send(&request("read", 20.0));
        let (at, mut first) = request_at_either(&servers);
        // It cannot be passed on, and is not at its end: the server still has the connection open.
        first.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\nnonsense\r\n");
        let next = servers[1 - at].request();
        assert!(first.has_ended(), "two attempts were out");
        next.answer(OK, "", b"");
        assert_eq!(client.answer().status(), 200);
    }
}

// ---- Connections to servers

/// A connect that hangs ends at its time-out, and the request is known not to have run.
#[test]
fn a_connection_that_never_comes_up_is_given_up_in_time() {
    let (_slow, address, _filler) = full_listener();
    let server = Server::start();
    let mut config = config(&[member("slow", address, "active"), member("s", server.address, "active")]);
    config["settings"]["allowed"]["dial_timeout_ms"] = json!(300.0);
    let node = Node::start(&config);
    // Both start with the same count: of these sends one at least is for the slow one.
    for _ in 0..3 {
        let mut client = node.client();
        client.send(&request("pay", 20.0));
        server.request().answer(OK, "", b"");
        assert_eq!(client.answer().status(), 200);
    }
}

/// Guards against requests written to a connection that its server is about to close.
#[test]
fn an_idle_connection_is_closed_before_its_server_would() {
    let server = Server::start();
    let mut config = config(&members(&[&server]));
    config["settings"]["allowed"]["conn_idle_ms"] = json!(4_000.0);
    let node = Node::start(&config);
    let mut client = node.client();
    client.send(&request("pay", 20.0));
    let got = server.request();
    got.answer(OK, "", b"");
    let since = Instant::now();
    assert_eq!(client.answer().status(), 200);
    assert!(matches!(server.seen(), Seen::Closed(0)));
    assert!(since.elapsed() < Duration::from_millis(4_000), "{:?}", since.elapsed());
    client.send(&request("pay", 20.0));
    let got = server.request();
    assert_eq!(got.connection, 1);
    got.answer(OK, "", b"");
    assert_eq!(client.answer().status(), 200);
}

/// A kept connection that its server has closed, or means to, costs no request: here none may be sent twice.
#[test]
fn a_kept_connection_that_is_dead_is_not_used() {
    for headers in ["", "connection: close\r\n"] {
        let server = Server::start();
        let node = Node::with_servers(&[&server]);
        let mut client = node.client();
        for round in 0..5 {
            client.send(&request("pay", 20.0));
            let got = server.request();
            assert_eq!(got.connection, round, "{headers}");
            let stream = got.stream.try_clone().expect("cloned");
            got.answer(OK, headers, b"");
            assert_eq!(client.answer().status(), 200);
            if headers.is_empty() {
                stream.shutdown(Shutdown::Both).expect("closed");
            }
        }
    }
}

// ---- The list of servers

/// Time passes between decision and send; a server that drains by then must get nothing new.
#[test]
fn a_drain_during_a_slow_connect_stops_the_send() {
    drained_while_connecting(|slow| list(2, false, &[member("slow", slow, "leaving")]));
    // A full list tells of a server that is gone by leaving it out.
    drained_while_connecting(|_| list(2, true, &[]));
}

fn drained_while_connecting(news: fn(SocketAddr) -> Value) {
    let (slow, address, filler) = full_listener();
    let node = Node::start(&config(&[member("slow", address, "active")]));
    let watch = node.discovery.request();
    let mut client = node.client();
    client.send(&request("pay", 25.0));
    wait_until("the node does not connect", || pending_connects(address) > 0);
    watch.answer(OK, "", news(address).to_string().as_bytes());
    // The next watch shows that the list has been applied.
    assert!(node.discovery.request().request.first.contains("since=2&"));
    drop(slow.accept().expect("the filler"));
    drop(filler);
    let (mut stream, _) = slow.accept().expect("the node's connection");
    stream.set_read_timeout(Some(LONG)).expect("set");
    assert_eq!(stream.read(&mut [0; 1]).ok(), Some(0), "bytes went to a draining server");
    assert_eq!(client.answer().status(), 503);
}

/// A discovery that is cut off says nothing, and its connection stays open: only time tells.
#[test]
fn a_silent_watch_is_given_up_and_asked_again() {
    let node = Node::with_servers(&[]);
    let mut silent = node.discovery.request();
    let again = node.discovery.request();
    assert_ne!(silent.connection, again.connection);
    silent.await_end();
}

/// What changes right after an answer counts as told, so a node of many must not leave its watch either. A client whose head is
/// half sent has 2.5 s for the rest: it is served, so the watches came sooner. The list is indented, and comes as a whole once.
#[test]
fn a_node_of_many_goes_on_watching_after_news_and_sends_nothing_to_what_leaves() {
    let (leaving, staying) = (Server::start(), Server::start());
    let mut config = config(&members(&[&leaving, &staying]));
    (config["settings"]["n_instances"], config["settings"]["me"]) = (json!(300), json!(0));
    let node = Node::start(&config);
    let watch = node.discovery.request();
    let whole = request("read", 20.0);
    let (begun, rest) = whole.split_at(40);
    let mut client = node.client();
    client.send(begun);
    let indented = |list: Value| serde_json::to_string_pretty(&list).expect("JSON").into_bytes();
    let news = list(2, false, &[member("s0", leaving.address, "active")]);
    watch.answer(OK, "", &indented(news));
    let watch = node.discovery.request();
    assert!(watch.request.first.contains("since=2&"), "{}", watch.request.first);
    let news =
        list(3, true, &[member("s0", leaving.address, "leaving"), member("s1", staying.address, "active")]);
    watch.answer(OK, "", &indented(news));
    assert!(node.discovery.request().request.first.contains("since=3&"));
    client.send(rest);
    staying.request().answer(OK, "", b"");
    assert_eq!(client.answer().status(), 200);
    (0..8).for_each(|_| served_by(&node, &staying));
    assert!(!leaving.has_request());
}

/// A lost watch, a malformed list and a break must each lead to another call, from the version held.
#[test]
fn the_list_is_followed_through_failures() {
    let (old, new) = (Server::start(), Server::start());
    let node = Node::with_servers(&[&old]);
    let ask = || {
        let watch = node.discovery.request();
        assert!(watch.request.first.starts_with("GET /catalog/members?since=1&timeout_ms="));
        watch
    };
    ask().answer("503 Down", "", b"");
    ask().answer(OK, "", b"{\"revision\": 7, \"complete\": true, \"members\": [{\"id\": 5}]}");
    ask().stream.shutdown(Shutdown::Both).expect("broken");
    // A change adds a server and takes the other's address away; then a full list leaves only the new one.
    let moved = Server::start();
    let change = list(2, false, &[member("s0", moved.address, "active")]);
    ask().answer(OK, "", change.to_string().as_bytes());
    let watch = node.discovery.request();
    assert!(watch.request.first.contains("since=2&"), "{}", watch.request.first);
    served_by(&node, &moved);
    let full = list(9, true, &[member("s9", new.address, "active")]);
    watch.answer(OK, "", full.to_string().as_bytes());
    assert!(node.discovery.request().request.first.contains("since=9&"));
    (0..4).for_each(|_| served_by(&node, &new));
    assert!(!old.has_request() && !moved.has_request());
}

/// A server that was restarted is another one behind the same name: where it says so, the list is asked at once.
#[test]
fn a_start_that_the_list_does_not_know_makes_the_node_ask() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    let mut client = node.client();
    let watch = node.discovery.request();
    client.send(&request("read", 20.0));
    server.request().answer(OK, "x-up-since: 1764590000000\r\n", b"");
    assert_eq!(client.answer().status(), 200);
    // Beside the watch, which is not given up for it.
    let poll = loop {
        let call = node.discovery.request();
        if call.request.first.contains("timeout_ms=0") {
            break call;
        }
    };
    assert_ne!(poll.connection, watch.connection);
}

/// All servers are replaced, and their successors listen where they did.
#[test]
fn successors_under_the_same_addresses_are_servers_of_their_own() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    served_by(&node, &server);
    let whole = list(2, true, &[member("s9", server.address, "active")]);
    node.discovery.request().answer(OK, "", whole.to_string().as_bytes());
    let watch = node.discovery.request();
    assert!(watch.request.first.contains("since=2&"), "{}", watch.request.first);
    served_by(&node, &server);
    // The old one's leaving, told late, takes nothing from the new one.
    let left = list(3, false, &[member("s0", server.address, "left")]);
    watch.answer(OK, "", left.to_string().as_bytes());
    assert!(node.discovery.request().request.first.contains("since=3&"));
    served_by(&node, &server);
}

/// Servers come and go under new ids for as long as the node runs; it must not keep them.
#[test]
fn servers_that_have_gone_take_no_memory() {
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
            // And by changes, some of servers that are not known.
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
    assert!(grown < 8 << 20, "{grown} bytes more for 40,000 servers that have gone");
    served_by(&node, &server);
}

/// An answer that comes after its server has left the list still goes to its client, and the next server at
/// that address is one of its own.
#[test]
fn an_answer_outlives_its_server() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    let mut client = node.client();
    client.send(&request("pay", 20.0));
    let got = server.request();
    let next = list(2, true, &[member("s1", server.address, "active")]);
    node.discovery.request().answer(OK, "", next.to_string().as_bytes());
    assert!(node.discovery.request().request.first.contains("since=2&"));
    got.answer(OK, "", b"late");
    assert_eq!(client.answer().body, b"late");
    client.send(&request("pay", 20.0));
    let got = server.request();
    assert_eq!(got.connection, 1, "the old server's connection is not used for the new one");
    got.answer(OK, "", b"");
    assert_eq!(client.answer().status(), 200);
}

// ---- A new configuration

/// SIGHUP used to end the node. The version held means nothing to the new discovery, which here would wait with
/// it; and what waits for an answer meanwhile gets it.
#[test]
fn sighup_under_load_moves_the_watch_to_a_new_discovery() {
    let (old, new) = (Server::start(), Server::start());
    let mut config = config(&members(&[&old]));
    let node = Node::start(&config);
    let mut watch = node.discovery.request();
    let mut held = node.client();
    held.send(&request("pay", 20.0));
    let got = old.request();

    let elsewhere = Server::start();
    config["discovery"] = json!(elsewhere.address.to_string());
    for _ in 0..5 {
        node.reload(&config.to_string());
    }
    let asked = elsewhere.request();
    assert_eq!(asked.request.first, "GET /catalog/members HTTP/1.1");
    assert!(
        !watch.has_ended(),
        "what the old one still writes counts as told until the new one has answered"
    );
    let full = list(1, true, &[member("s9", new.address, "active")]);
    asked.answer(OK, "", full.to_string().as_bytes());
    watch.await_end();
    let mut next = elsewhere.request();
    assert!(next.request.first.contains("since=1&"), "{}", next.request.first);
    served_by(&node, &new);
    got.answer(OK, "", b"");
    assert_eq!(held.answer().status(), 200);
    // The same again changes nothing.
    node.reload(&config.to_string());
    served_by(&node, &new);
    assert!(!next.has_ended() && !old.has_request());
    // On a slow machine the call is overdue, and one is made beside it; the list is not read again.
    if let Some(beside) = elsewhere.poll() {
        assert!(beside.request.first.contains("since=1&"), "{}", beside.request.first);
    }
}

/// A node that waits after failed calls must not wait on where the new discovery is up.
#[test]
fn a_new_discovery_is_asked_at_once_after_failures_of_the_old_one() {
    let mut config = config(&[]);
    config["settings"]["rules"]["ask_within_ms"] = json!(3_600_000.0);
    let node = Node::start(&config);
    node.discovery.request().answer("503 Down", "", b"");
    let elsewhere = Server::start();
    config["discovery"] = json!(elsewhere.address.to_string());
    node.reload(&config.to_string());
    elsewhere.request();
}

#[test]
fn a_bad_new_configuration_is_named_and_the_old_one_stays() {
    let mut sound = config(&[]);
    let mut node = Node::start(&sound);
    let mut watch = node.discovery.request();
    sound["discovery"] = json!("here");
    let stays = "the configuration stays as it was";
    for (key, text) in [("GW_CONFIG", "{".to_owned()), ("discovery", sound.to_string())] {
        node.reload(&text);
        let line = node.log_line_containing(stays);
        assert!(line.contains(&format!("`{key}")), "{key}: {line}");
    }
    std::fs::remove_file(config_path(node.address)).expect("removed");
    node.send_sighup();
    assert!(node.log_line_containing(stays).contains("`GW_CONFIG`"));
    assert!(!watch.has_ended());
}

// ---- The end

#[test]
fn sigterm_lets_all_that_was_taken_end_well() {
    let server = Server::start();
    let mut config = config(&members(&[&server]));
    config["settings"]["classes"][2]["deadline_ms"] = json!(60_000.0);
    let mut node = Node::start(&config);
    let mut clients: Vec<Client> = (0..8).map(|_| node.client()).collect();
    let mut taken = Vec::new();
    for client in &mut clients {
        client.send(&request("pay", 20.0));
        taken.push(server.request());
    }
    node.terminate();
    // Health shows that it has heard, and connections still come.
    let since = Instant::now();
    while node.client().ask("GET /_health HTTP/1.1\r\nhost: n\r\n\r\n").status() == 200 {
        assert!(since.elapsed() < LONG);
    }
    clients.push(node.client());
    clients.last_mut().expect("pushed").send(&request("pay", 20.0));
    taken.push(server.request());
    taken.into_iter().for_each(|got| got.answer(OK, "", b"done"));
    for client in &mut clients {
        let answer = client.answer();
        assert_eq!((answer.status(), &answer.body[..]), (200, &b"done"[..]));
        assert_eq!(answer.header("connection"), Some("close"));
    }
    assert_eq!(node.wait().code(), Some(0));
}

// ---- Limits

/// A refusal promises harmlessness, and says when to come back.
#[test]
fn what_is_not_taken_is_refused_with_a_time() {
    let node = Node::start_without_discovery(&config(&[]));
    let answer = node.client().ask(&request("pay", 20.0));
    assert_eq!((answer.status(), answer.header("retry-after")), (503, Some("0.250")));

    let server = Server::start();
    let mut config = config(&members(&[&server]));
    config["settings"]["allowed"]["most_held"] = json!(1);
    let node = Node::start(&config);
    let mut held = node.client();
    held.send(&request("pay", 20.0));
    let got = server.request();
    let answer = node.client().ask(&request("pay", 20.0));
    assert_eq!((answer.status(), answer.header("retry-after")), (503, Some("0.400")));
    got.answer(OK, "", b"");
    assert_eq!(held.answer().status(), 200);
}

/// Guards against clients that open connections and leave them: whoever comes next is still taken.
#[test]
fn idle_clients_make_room_for_new_ones() {
    let server = Server::start();
    let mut config = config(&members(&[&server]));
    config["limits"]["sockets"] = json!(40);
    let node = Node::start(&config);
    let mut idle: Vec<Client> = (0..60).map(|_| node.client()).collect();
    // One of them has sent a part of a request.
    idle[30].send("POST /api HTTP/1.1\r\nhost:");
    // Until they have been silent for a while, whoever comes next is told to come back.
    let since = Instant::now();
    let mut client = node.client();
    while !is_served(&mut client, &server) {
        assert!(since.elapsed() < LONG);
        client = node.client();
    }
    assert_eq!(idle[0].stream.get_mut().read(&mut [0; 1]).ok(), Some(0), "the oldest was closed");
}

/// Guards against silence that crowds out clients that are served.
#[test]
fn clients_that_never_asked_go_first() {
    let server = Server::start();
    let mut config = config(&members(&[&server]));
    config["limits"]["sockets"] = json!(40);
    let node = Node::start(&config);
    let mut known = node.client();
    known.send(&request("update", 20.0));
    server.request().answer(OK, "", b"");
    assert_eq!(known.answer().status(), 200);
    let mut silent: Vec<Client> = (0..12).map(|_| node.client()).collect();
    std::thread::sleep(Duration::from_millis(600));
    silent.extend((0..8).map(|_| node.client()));
    // Health shows that all of them have been accepted.
    assert_eq!(node.client().ask("GET /_health HTTP/1.1\r\nhost: n\r\n\r\n").status(), 200);
    known.send(&request("update", 20.0));
    server.request().answer(OK, "", b"");
    assert_eq!(known.answer().status(), 200);
    drop(silent);
}

/// Guards against closing each new client for the next one, where clients that were answered fill the places.
#[test]
fn new_clients_are_not_closed_before_they_can_ask() {
    let mut config = config(&[]);
    config["limits"]["sockets"] = json!(40);
    let node = Node::start_without_discovery(&config);
    let health = "GET /_health HTTP/1.1\r\nhost: n\r\n\r\n";
    let mut stay = Vec::new();
    for _ in 0..30 {
        stay.push(node.client());
        assert_eq!(stay.last_mut().expect("pushed").ask(health).status(), 200);
    }
    let mut new: Vec<Client> = (0..8).map(|_| node.client()).collect();
    for client in &mut new {
        assert_eq!(client.ask(health).status(), 200);
    }
}

/// Whoever finds every place busy is told so by a close, and need not wait in vain.
#[test]
fn accepting_goes_on_while_all_places_are_busy() {
    let mut config = config(&[]);
    config["limits"]["sockets"] = json!(64);
    let node = Node::start(&config);
    let whole = request("update", 20.0);
    let mut clients: Vec<Client> = (0..60).map(|_| node.client()).collect();
    for client in &mut clients {
        // It fails where the connection is closed already.
        let _ = client.stream.get_mut().write_all(&whole.as_bytes()[..whole.len() - 1]);
    }
    let said: Vec<String> = clients.iter_mut().map(Client::rest).collect();
    let begin = |start: &str| said.iter().filter(|said| said.starts_with(start)).count();
    let (slow, refused, closed) =
        (begin("HTTP/1.1 408 "), begin("HTTP/1.1 503 "), said.iter().filter(|said| said.is_empty()).count());
    assert_eq!(slow + refused + closed, 60, "{said:?}");
    assert!((16..=40).contains(&slow), "{slow}");
}

// ---- Bad input

#[test]
fn a_bad_configuration_ends_the_program_with_a_line_that_names_the_key() {
    let sound = config(&[]);
    let edit = |change: fn(&mut Value)| {
        let mut config = sound.clone();
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
            command(&sound.to_string(), own_address(), own_address()).env_remove(key),
        );
    }
    exits_with_error_naming(
        "GW_LISTEN",
        command(&sound.to_string(), own_address(), own_address()).env("GW_LISTEN", "here"),
    );
}

#[test]
fn a_bad_request_is_answered_and_nothing_goes_on() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    let sound = request("update", 20.0);
    let cases = [
        (400, sound.replace("x-class: update", "x-class: other")),
        (400, sound.replace("x-class: update\r\n", "")),
        (400, sound.replace("x-tenant: acme", "x-tenant: other")),
        (400, sound.replace("x-tenant: acme\r\n", "")),
        (400, sound.replace("x-deadline: 20", "x-deadline: soon")),
        (400, sound.replace("x-deadline: 20", "x-deadline: -1")),
        (400, sound.replace("x-deadline: 20", "x-deadline: 0")),
        (400, sound.replace("x-deadline: 20", "x-deadline: NaN")),
        (400, sound.replace("x-deadline: 20\r\n", "")),
        (400, sound.replace("x-request-id", "x-other")),
        (400, sound.replace("x-class", "x-class: update\r\nx-class")),
        (400, sound.replace("x-request-id", "x-request-id: r0\r\nx-request-id")),
        (400, sound.replace("host", "host: b\r\nhost")),
        (400, sound.replace("content-length: 4", "content-length: 4\r\ncontent-length: 4")),
        (400, sound.replace("content-length: 4", "content-length: -4")),
        (400, sound.replace("content-length: 4", "content-length: 99999999999999999999")),
        (400, request("read", 20.0).replace("\r\n\r\n", "\r\ncontent-length: 4\r\n\r\nwork")),
        (431, sound.replace("x-class", &("x-long: ".to_owned() + &"x".repeat(20_000) + "\r\nx-class"))),
        (400, sound.replace("idempotency-key: k1\r\n", "")),
        (400, sound.replace("POST", "GET")),
        (404, sound.replace("/api", "/other")),
    ];
    for (status, text) in cases {
        assert_eq!(node.client().ask(&text).status(), status, "{}", &text[..text.len().min(300)]);
    }
    // What is not HTTP ends its own connection, and no more.
    let mut client = node.client();
    client.stream.get_mut().write_all(b"\x00\x01\x02 nonsense\r\n\r\n").expect("sent");
    client.stream.read_to_end(&mut Vec::new()).expect("ended");
    assert!(!server.has_request());
    served_by(&node, &server);
}

/// hyper drops one of the two fields; to a server that goes by it, the body would hold another request.
#[test]
fn a_request_with_two_lengths_ends_its_connection() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    let (length, chunks) = ("content-length: 5\r\n", "transfer-encoding: chunked\r\n");
    for lengths in [[length, chunks], [chunks, length], [chunks, chunks], [length, length]] {
        let hiding = request("update", 20.0).replace("content-length: 4\r\n", &lengths.concat());
        let hidden = hiding.replace("\r\n\r\nwork", "\r\n\r\n0\r\n\r\n") + &request("update", 20.0);
        let mut client = node.client();
        client.send(&hidden);
        let all = client.rest();
        assert!(all.starts_with("HTTP/1.1 400 "), "{lengths:?}: {all}");
        assert_eq!(all.matches("HTTP/1.1 ").count(), 1, "{lengths:?}: {all}");
    }
    assert!(!server.has_request());
    served_by(&node, &server);
}

#[test]
fn requests_in_unusual_but_sound_forms_are_served() {
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
    let got = server.request();
    assert_eq!(got.request.first, "POST /api?k=7f3a HTTP/1.1");
    assert_eq!(got.request.header("host"), Some("other.svc"));
    got.answer(OK, "", b"");
    assert_eq!(client.answer().status(), 200);
    let chunked = request("update", 20.0).replace("content-length: 4", "transfer-encoding: chunked");
    client.send(&chunked.replace("\r\n\r\nwork", "\r\n\r\n2\r\nwo\r\n2\r\nrk\r\n0\r\n\r\n"));
    let got = server.request();
    assert_eq!(got.request.body, b"work");
    got.answer(OK, "", b"");
    assert_eq!(client.answer().status(), 200);
}

#[test]
fn the_id_of_an_open_request_is_not_taken_again() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    let (mut first, again) = (node.client(), request("update", 20.0));
    first.send(&again);
    let got = server.request();
    assert_eq!(node.client().ask(&again).status(), 409);
    got.answer(OK, "", b"mine");
    assert_eq!(first.answer().body, b"mine");
    assert!(!server.has_request());
    // Once it is over, nothing is in the way.
    first.send(&again);
    server.request().answer(OK, "", b"");
    assert_eq!(first.answer().status(), 200);
}

/// Each of these would hold its place for as long as it likes.
#[test]
fn slow_clients_are_shown_out() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    let whole = request("update", 3600.0);
    let cases = [("", ""), (&whole[..40], "HTTP/1.1 408 "), (&whole[..whole.len() - 1], "HTTP/1.1 408 ")];
    let clients = cases.map(|(part, answer)| {
        let mut client = node.client();
        client.send(part);
        (client, answer)
    });
    for (mut client, answer) in clients {
        let said = client.rest();
        assert!(said.starts_with(answer) && said.is_empty() == answer.is_empty(), "{said}");
    }
    // So is one that was served and then stays.
    let mut client = node.client();
    client.send(&request("update", 20.0));
    server.request().answer(OK, "", b"");
    assert_eq!(client.answer().status(), 200);
    assert_eq!(client.rest(), "");
    assert!(!server.has_request());
}

/// A report overwrites its server's count, whichever names it uses and even where it comes with an error.
/// Without it the other server's count, which own sends raise, would soon be the higher one.
#[test]
fn load_reports_steer_what_follows() {
    for (status, load) in [
        (OK, "waiting=3,active=5000"),
        (OK, "inflight=5000,queue=3,util=0.61"),
        ("500 Broken", "waiting=3,active=5000"),
    ] {
        let servers = [Server::start(), Server::start()];
        let node = Node::with_servers(&[&servers[0], &servers[1]]);
        let mut client = node.client();
        client.send(&request("pay", 20.0));
        let (crowded, got) = request_at_either(&servers);
        got.answer(status, &format!("x-load: {load}\r\n"), b"");
        client.answer();
        for _ in 0..6 {
            client.send(&request("pay", 20.0));
            let (at, got) = request_at_either(&servers);
            assert_eq!(at, 1 - crowded, "{status}, {load}");
            got.answer(OK, "", b"");
            assert_eq!(client.answer().status(), 200);
        }
    }
}

/// What follows a good answer belongs to nobody; the next request on that connection would get it.
#[test]
fn what_comes_behind_a_good_answer_is_not_the_next_one() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    let good = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nmine";
    for (n, (behind, apart)) in
        [(good, false), (good, true), ("noise", false), ("noise", true)].into_iter().enumerate()
    {
        let mut client = node.client();
        client.send(&request("pay", 20.0));
        let mut got = server.request();
        assert_eq!(got.connection, n);
        if apart {
            got.write(good.as_bytes());
            got.write(behind.as_bytes());
        } else {
            got.write(&[good, behind].concat().into_bytes());
        }
        assert_eq!(client.answer().body, b"mine");
    }
}

/// Interim answers come ahead of the one that counts.
#[test]
fn interim_answers_are_skipped() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    let mut client = node.client();
    for _ in 0..2 {
        client.send(&request("update", 20.0));
        let mut got = server.request();
        assert_eq!(got.connection, 0, "the connection is as good as before");
        got.write(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nlink: x\r\n\r\n");
        got.answer(OK, "", b"done");
        let answer = client.answer();
        assert_eq!((answer.status(), &answer.body[..]), (200, &b"done"[..]));
    }
}

/// The dial time-out of the settings may be as long as a request's time; a part of that is enough to learn
/// that a server does not come up, and even an unsafe request goes on.
#[test]
fn a_stuck_dial_leaves_time_for_another_server() {
    let (_slow, address, _filler) = full_listener();
    let server = Server::start();
    let node =
        Node::start(&config(&[member("s0", address, "active"), member("s1", server.address, "active")]));
    let mut clients = [node.client(), node.client()];
    clients.iter_mut().for_each(|client| client.send(&request("pay", 8.0)));
    (0..2).for_each(|_| server.request().answer(OK, "", b""));
    assert!(clients.iter_mut().all(|client| client.answer().status() == 200));
}

/// The whole way of a cut: the timer, the closed connection, the next server.
#[test]
fn requests_leave_a_server_that_falls_silent() {
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

/// Reports that are malformed are passed over, and the answers that bring them are not.
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

/// A listener whose queue is full, so that whoever connects waits, with what fills it.
fn full_listener() -> (TcpListener, SocketAddr, TcpStream) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.bind(&own_address().into()).expect("bound");
    socket.listen(0).expect("listening");
    let slow = TcpListener::from(socket);
    let address = slow.local_addr().expect("bound");
    let filler = TcpStream::connect(address).expect("queued");
    (slow, address, filler)
}

/// The request that came to one of two servers, and to which.
fn request_at_either(servers: &[Server; 2]) -> (usize, Exchange) {
    let since = Instant::now();
    loop {
        for (at, server) in servers.iter().enumerate() {
            if let Some(exchange) = server.poll() {
                return (at, exchange);
            }
        }
        assert!(since.elapsed() < LONG, "no request comes");
        std::thread::sleep(Duration::from_millis(1));
    }
}

fn served_by(node: &Node, server: &Server) {
    let mut client = node.client();
    client.send(&request("update", 20.0));
    server.request().answer(OK, "", b"");
    assert_eq!(client.answer().status(), 200);
}

/// Whether a request is served, rather than refused or its connection closed as it came.
fn is_served(client: &mut Client, server: &Server) -> bool {
    // It fails where the connection is closed already.
    let _ = client.stream.get_mut().write_all(request("update", 20.0).as_bytes());
    let sent_on = forwarded_or_answered(client, server);
    let served = sent_on.map(|exchange| exchange.answer(OK, "", b"")).is_some();
    served && client.answer().status() == 200
}

/// The request as it comes to the server; none where its client is answered, or its connection ended, without that.
fn forwarded_or_answered(client: &Client, server: &Server) -> Option<Exchange> {
    let stream = client.stream.get_ref();
    stream.set_nonblocking(true).expect("set");
    let answered = || match stream.peek(&mut [0; 1]) {
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        Ok(_) => true,
    };
    let mut sent_on = None;
    wait_until("it is neither sent on nor answered", || {
        sent_on = server.poll();
        sent_on.is_some() || answered()
    });
    stream.set_nonblocking(false).expect("set");
    sent_on
}

fn exits_with_error_naming(key: &str, command: &mut std::process::Command) {
    let output = command.output().expect("started");
    let said = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success(), "{key}");
    assert_eq!(said.lines().count(), 1, "{key}: {said}");
    assert!(said.contains(&format!("`{key}")), "{key}: {said}");
}
