//! What is still owed, and to whom, when something ends: a client that leaves, the process, discovery.

use super::*;

/// A configuration whose settings forbid to cancel what has begun.
fn without_cancelling(members: &[Value]) -> Value {
    let mut config = config(members);
    config["settings"]["allowed"]["cancel"] = json!(false);
    config
}

/// Ends a connection with a reset.
fn reset(client: Client) {
    let stream = client.stream.into_inner();
    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("set");
}

/// A part of the next request must not hide that its client has left. Its server would have time for hours.
#[test]
fn a_client_that_leaves_behind_a_part_of_its_next_request_has_left() {
    let next = request("read", 3600.0);
    type Leave = fn(Client);
    let ways: [(&str, Leave); 2] = [("a close", drop), ("a reset", reset)];
    for (name, leave) in ways {
        for behind in [&next[..20], &next[..], &format!("{next}{}", "x".repeat(60_000))] {
            let server = Server::start();
            let node = Node::with_servers(&[&server]);
            let mut client = node.client();
            // What comes in one piece with the request is with hyper, and what comes later is not.
            client.send(&format!("{}{}", request("read", 3600.0), &behind[..10]));
            let mut got = server.request();
            client.send(&behind[10..]);
            leave(client);
            got.await_end();
            assert!(!server.has_request(), "{name} behind {} bytes: more was sent for it", behind.len());
            served_by(&node, &server);
        }
    }
}

/// What is read to see whether a client is still there must reach its next requests whole.
#[test]
fn requests_that_come_ahead_of_an_answer_are_served_in_turn() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    let mut client = node.client();
    let ahead: Vec<String> = (0..200).map(|_| request("update", 20.0)).collect();
    let all = ahead.concat();
    let (begun, rest) = all.split_at(ahead[0].len() + 10);
    client.send(begun);
    let mut first = Some(server.request());
    // More than is held beside a request that waits.
    client.send(rest);
    for sent in &ahead {
        let got = first.take().unwrap_or_else(|| server.request());
        let id = got.request.header("x-request-id").expect("passed on").to_owned();
        assert!(sent.contains(&format!("x-request-id: {id}\r\n")), "{id} out of turn");
        got.answer(OK, "", id.as_bytes());
        assert_eq!(client.answer().body, id.as_bytes());
    }
}

/// An attempt that still waits for its connection must not begin once its client has left, though the settings forbid to cancel.
#[test]
fn what_has_not_begun_for_a_client_that_left_never_does_where_nothing_is_cancelled() {
    let (_slow, address, _filler) = full_listener();
    let mut config = without_cancelling(&[member("slow", address, "active")]);
    config["settings"]["allowed"]["dial_timeout_ms"] = json!(600_000.0);
    let node = Node::start(&config);
    let mut client = node.client();
    client.send(&request("pay", 3600.0));
    wait_until("the node connects", || pending_connects(address) == 1);
    drop(client);
    wait_until("the node gives the connection up", || pending_connects(address) == 0);
}

/// What has begun goes on where the settings forbid to cancel, and its connection is used again.
#[test]
fn what_has_begun_for_a_client_that_left_goes_on_where_nothing_is_cancelled() {
    let server = Server::start();
    let node = Node::start(&without_cancelling(&members(&[&server])));
    let mut client = node.client();
    client.send(&request("pay", 60.0));
    let mut got = server.request();
    drop(client);
    // Whoever comes after it shows that the node has seen it go.
    let mut next = node.client();
    next.send(&request("pay", 60.0));
    let other = server.request();
    assert!(!got.has_ended(), "it was cancelled");
    other.answer(OK, "", b"");
    assert_eq!(next.answer().status(), 200);
    assert!(!got.has_ended(), "it was cancelled");
    got.answer(OK, "", b"");
    // Its connection came last to rest, so it is the next one's.
    wait_until("both are kept", || {
        next.send(&request("pay", 60.0));
        let got = server.request();
        let connection = got.connection;
        got.answer(OK, "", b"");
        assert_eq!(next.answer().status(), 200);
        connection == 0
    });
}

/// A client that wants no more but has sent more: its answer must not be followed by a reset over what nobody reads.
#[test]
fn the_last_answer_is_followed_by_an_end_and_no_reset_whoever_wanted_it_to_be_the_last() {
    let server = Server::start();
    // Discovery answers, so its calls share one connection: what is counted below is the client's alone.
    let discovery = Server::start();
    let mut config = config(&members(&[&server]));
    config["discovery"] = json!(discovery.address.to_string());
    let mut node = Node::start(&config);
    connections::answer_all(discovery, list(1, false, &[]).to_string().into_bytes());
    while !node.next_log_line().contains("-> fresh") {}
    for behind in [0, 100_000] {
        let before = node.descriptors();
        let mut client = node.client();
        let last = request("read", 20.0).replace("host:", "connection: close\r\nhost:");
        client.send(&last);
        let got = server.request();
        client.send(&"x".repeat(behind));
        got.answer(OK, "", b"the last");
        let answer = client.answer();
        assert_eq!((answer.status(), &answer.body[..]), (200, &b"the last"[..]));
        assert_eq!(client.stream.read(&mut [0; 1]).ok(), Some(0), "more came");
        // One more than before stays: the connection to the server.
        wait_until("the node closes it", || node.descriptors() <= before + 1);
        let error = client.stream.get_ref().take_error().expect("asked");
        assert!(error.is_none(), "{behind} bytes behind it: {error:?}");
    }
}

// ---- The process

/// A client may wait longer than the settings say any does. Its answer must not go with the process.
#[test]
fn what_is_owed_an_answer_has_one_before_the_process_ends() {
    let server = Server::start();
    let mut node = Node::with_servers(&[&server]);
    let mut client = node.client();
    client.send(&request("pay", 600.0));
    let mut got = server.request();
    node.terminate();
    let answer = client.answer();
    assert_eq!((answer.status(), answer.header("connection")), (504, Some("close")));
    got.await_end();
    assert_eq!(node.wait().code(), Some(0));
    assert!(!server.has_request(), "it was sent again");
}

/// Half a head is owed nothing, but its client is told, and does not see its connection break.
#[test]
fn whoever_has_sent_half_a_request_is_refused_when_the_process_ends() {
    let server = Server::start();
    let mut config = config(&members(&[&server]));
    for class in 0..3 {
        // The process ends before a head has had its time.
        config["settings"]["classes"][class]["deadline_ms"] = json!(300.0);
    }
    let mut node = Node::start(&config);
    let (whole, body) = (request("read", 20.0), request("pay", 20.0));
    let halves = [&whole[..20], &whole[..whole.len() - 2], &body[..body.len() - 2]];
    let mut clients: Vec<Client> = halves.iter().map(|_| node.client()).collect();
    clients.iter_mut().zip(halves).for_each(|(client, half)| client.send(half));
    node.terminate();
    for (client, half) in clients.iter_mut().zip(halves) {
        let answer = client.answer();
        assert_eq!((answer.status(), answer.header("connection")), (503, Some("close")), "{half}");
    }
    assert_eq!(node.wait().code(), Some(0));
    assert!(!server.has_request(), "half a request was sent on");
}

// ---- A dozen processes

/// A dozen nodes, each with a discovery of its own.
fn dozen(config: &Value) -> Vec<Node> {
    (0..12).map(|_| Node::start(config)).collect()
}

/// A dozen nodes, three clients at each: one leaves, one resets its connection, one has sent a part of its next request before it
/// leaves. All of their requests wait for a connection, which then comes up: no byte of any goes out.
#[test]
fn a_dozen_nodes_begin_nothing_for_clients_that_left_while_connections_were_awaited() {
    for cancel in [true, false] {
        let (slow, address, filler) = full_listener();
        let mut config = config(&[member("slow", address, "active")]);
        config["settings"]["allowed"]["cancel"] = json!(cancel);
        config["settings"]["allowed"]["dial_timeout_ms"] = json!(600_000.0);
        let nodes = dozen(&config);
        let mut clients: Vec<Client> =
            nodes.iter().flat_map(|node| [node.client(), node.client(), node.client()]).collect();
        for (n, client) in clients.iter_mut().enumerate() {
            let behind = request("read", 3600.0);
            let ahead = if n % 3 == 2 { &behind[..30] } else { "" };
            client.send(&format!("{}{ahead}", request(["pay", "update", "read"][n % 3], 3600.0)));
        }
        wait_until("all are dialled", || pending_connects(address) == clients.len());
        for (n, client) in clients.into_iter().enumerate() {
            if n % 3 == 1 {
                reset(client)
            } else {
                drop(client)
            }
        }
        wait_until("all are given up", || pending_connects(address) == 0);
        drop(slow.accept().expect("the filler"));
        drop(filler);
        // Whoever asks now is the first that the server hears of: what came before it would show.
        for node in &nodes {
            let (mut client, asks) = (node.client(), request("read", 60.0));
            client.send(&asks);
            let (mut stream, _) = slow.accept().expect("the node's connection");
            let got = Message::read(&mut std::io::BufReader::new(&stream)).expect("a request");
            let id = got.header("x-request-id").expect("passed on");
            assert!(asks.contains(&format!("x-request-id: {id}\r\n")), "cancel {cancel}: {id} came first");
            stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").expect("answered");
            assert_eq!(client.answer().status(), 200);
        }
    }
}

/// Term 4. Idle clients hold all descriptors that they can while discovery says nothing. When it is back it is heard, and whoever asks is
/// served.
#[test]
fn a_dozen_nodes_full_of_idle_clients_hear_discovery_when_it_is_back() {
    let server = Server::start();
    let mut config = config(&[]);
    config["limits"]["sockets"] = json!(64);
    let nodes: Vec<Node> = (0..12).map(|_| Node::start_without_discovery(&config)).collect();
    for node in &nodes {
        let silent = node.discovery.request();
        // All ask once and rest; those that find no place are closed, or refused.
        let mut idle: Vec<Client> = (0..120).map(|_| node.client()).collect();
        let served = idle.iter_mut().filter_map(|client| {
            let _ = client.stream.get_mut().write_all(b"GET /_health HTTP/1.1\r\nhost: n\r\n\r\n");
            Message::read(&mut client.stream).filter(|answer| answer.status() == 200)
        });
        let served = served.count();
        assert!((20..120).contains(&served), "{served} of 120: they fill the node");
        let again = node.discovery.request();
        assert_ne!(silent.connection, again.connection, "it was given up, and discovery is called anew");
        again.answer(OK, "", list(2, true, &members(&[&server])).to_string().as_bytes());
        // The next call shows that the list has been applied.
        let _next = node.discovery.request();
        let mut client = node.client();
        wait_until("it is served", || {
            if is_served(&mut client, &server) {
                return true;
            }
            client = node.client();
            false
        });
        drop(idle);
    }
}

// ---- Calls to discovery

/// Whether discovery is called before a client that has just been answered, and rests, has had its time here (5 s) so often.
fn is_called_within(node: &Node, rests: usize) -> Option<Exchange> {
    (0..rests).find_map(|_| {
        let mut client = node.client();
        assert_eq!(client.ask("GET /_health HTTP/1.1\r\nhost: n\r\n\r\n").status(), 200);
        forwarded_or_answered(&client, &node.discovery)
    })
}

/// Pauses of half a minute, as these settings would have them, are longer than what discovery has may stay unknown. The node's own limit
/// for resting clients tells the time: one is over after 5 s, where a pause is 3.5 s at most; two where a call is silent first.
#[test]
fn calls_that_tell_nothing_are_followed_by_others_however_long_the_pauses_of_the_settings() {
    let node =
        Node::start_without_discovery_with(&config(&[]), "retry_least_ms = 60000\nretry_most_ms = 60000\n");
    let mut call = node.discovery.request();
    for turn in 0..3 {
        call.answer("503 Down", "", b"");
        call = is_called_within(&node, 1).unwrap_or_else(|| panic!("turn {turn}: refused, and none follows"));
    }
    let mut silent = vec![call];
    for turn in 0..4 {
        silent.push(
            is_called_within(&node, 2).unwrap_or_else(|| panic!("turn {turn}: silent, and none follows")),
        );
    }
}

/// A node of many watches for ten seconds at a time. After a watch, a poll and a read that were silent it must not wait so long again.
#[test]
fn after_a_silent_read_a_node_of_many_watches_shortly() {
    let mut config = config(&members(&[&Server::start()]));
    (config["settings"]["n_instances"], config["settings"]["me"]) = (json!(300), json!(0));
    let node = Node::start(&config);
    let silent: Vec<Exchange> = (0..4).map(|_| node.discovery.request()).collect();
    let waits = |call: &Exchange| {
        let (_, after) = call.request.first.split_once("timeout_ms=")?;
        after.split(' ').next()?.parse::<u64>().ok()
    };
    let waits: Vec<Option<u64>> = silent.iter().map(waits).collect();
    let [Some(first), Some(0), None, Some(last)] = waits[..] else { panic!("{waits:?}") };
    assert!(last < first / 4, "{last} ms after {first}");
}

/// Sends a request on a connection that has rested until its node may be closing it: its id, where the connection ended with no
/// byte of an answer.
fn closed_under(client: &mut Client, request: &str) -> Option<String> {
    // It fails where the end has come already.
    let sent = client.stream.get_mut().write_all(request.as_bytes());
    match sent.ok().and_then(|()| Message::read(&mut client.stream)) {
        // A busy machine refuses some: that is an answer.
        Some(answer) => {
            assert!(matches!(answer.status(), 200 | 503), "{}", answer.first);
            None
        }
        None => request.lines().find_map(|line| line.strip_prefix("x-request-id: ").map(str::to_owned)),
    }
}

/// A client sends such a request once more: it must surely not have been taken.
#[test]
fn a_request_that_crosses_the_end_of_a_resting_connection_is_answered_or_never_taken() {
    const IDLE: Duration = Duration::from_millis(400);
    const CLIENTS: u32 = 24;
    const ROUNDS: u32 = 6;
    let server = Server::start();
    let file = format!("[connections]\nidle_ms = {0}\nreturn_within_ms = {0}\n", IDLE.as_millis());
    let node = Node::start_with(&config(&members(&[&server])), Some(&file));
    let address = node.address;
    let play = move |client: u32| {
        let mut closed = Vec::new();
        for round in 0..ROUNDS {
            let mut kept = Client::connect(address);
            kept.send(&request("update", 20.0));
            kept.answer();
            // From a while before its time until a while after: the node looks a little late.
            let later = Duration::from_micros(250) * (client * ROUNDS + round);
            std::thread::sleep(IDLE - Duration::from_millis(16) + later);
            closed.extend(closed_under(&mut kept, &request("update", 20.0)));
        }
        closed
    };
    let clients: Vec<_> = (0..CLIENTS).map(|client| std::thread::spawn(move || play(client))).collect();
    let mut taken = std::collections::HashSet::new();
    while clients.iter().any(|client| !client.is_finished()) {
        match server.poll() {
            Some(got) => {
                taken.insert(got.request.header("x-request-id").expect("passed on").to_owned());
                got.answer(OK, "", b"x");
            }
            None => std::thread::sleep(Duration::from_micros(200)),
        }
    }
    let closed: Vec<String> =
        clients.into_iter().flat_map(|client| client.join().expect("answered or closed")).collect();
    assert!(!closed.is_empty(), "no connection was closed");
    let lost: Vec<&String> = closed.iter().filter(|id| taken.contains(*id)).collect();
    assert!(lost.is_empty(), "of {} closed ones these reached a server: {lost:?}", closed.len());
}

/// Clients that ask until the request of the last one waits for a connection to the far server.
fn clients_until_one_is_sent_far(node: &Node, far: SocketAddr, near: &Server) -> Vec<Client> {
    let mut clients = Vec::new();
    while pending_connects(far) == 0 {
        let mut client = node.client();
        client.send(&request("update", 60.0));
        clients.push(client);
        let sent_near = || near.poll().map(|got| got.answer(OK, "", b"x")).is_some();
        wait_until("it is sent to neither", || sent_near() || pending_connects(far) > 0);
    }
    clients
}

/// Guards against a second copy: the end of an attempt needs its time to reach the server, and a retry on a kept connection to a
/// nearer one would be there first. Here the first server is far: a connection to it takes a second to come up.
#[test]
fn a_retry_begins_once_the_server_before_it_must_have_heard_of_the_end() {
    type Ends = fn(&mut TcpStream);
    let ways: [(&str, Ends); 2] = [
        ("an end with no answer", |stream| stream.shutdown(Shutdown::Write).expect("ended")),
        ("half an answer", |stream| {
            stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf").expect("begun");
            stream.shutdown(Shutdown::Write).expect("ended");
        }),
    ];
    for (name, end) in ways {
        let (far, address, filler) = full_listener();
        let near = Server::start();
        let members = [member("far", address, "active"), member("near", near.address, "active")];
        let node = Node::start(&config(&members));
        // Both start with the same count: of a few sends one is for the far one.
        let mut clients = clients_until_one_is_sent_far(&node, address, &near);
        drop((far.accept().expect("the filler"), filler));
        let (mut stream, _) = far.accept().expect("the node's connection");
        Message::read(&mut std::io::BufReader::new(stream.try_clone().expect("cloned"))).expect("a request");
        let since = Instant::now();
        end(&mut stream);
        let retry = near.request();
        assert!(since.elapsed() >= Duration::from_millis(100), "{name}: {:?}", since.elapsed());
        assert_eq!(stream.read(&mut [0; 1]).ok(), Some(0), "{name}: the attempt was not ended");
        retry.answer(OK, "", b"done");
        for client in &mut clients {
            assert_eq!(client.answer().status(), 200, "{name}");
        }
    }
}
