//! What must still happen when something ends: a client's connection, the process, or the contact with
//! discovery.

use std::thread;

use super::*;

/// Returns a configuration whose settings forbid cancelling attempts that have begun.
fn without_cancelling(members: &[Value]) -> Value {
    let mut config = config(members);
    config["settings"]["allowed"]["cancel"] = json!(false);
    config
}

/// Closes a connection with a reset.
fn reset(client: Client) {
    let stream = client.stream.into_inner();
    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("set");
}

/// A part of the next request in the buffer must not hide that the client has left. The server would
/// otherwise work on the request for up to its deadline of an hour.
#[test]
fn a_disconnect_is_noticed_behind_a_part_of_the_next_request() {
    let next = request("read", 3600.0);
    type Disconnect = fn(Client);
    let variants: [(&str, Disconnect); 2] = [("a close", drop), ("a reset", reset)];
    for (name, disconnect) in variants {
        for extra in [&next[..20], &next[..], &format!("{next}{}", "x".repeat(60_000))] {
            let server = Server::start();
            let node = Node::with_servers(&[&server]);
            let mut client = node.client();
            // Bytes that arrive together with the request are in hyper's buffer; bytes that arrive later are
            // not.
            client.send(&format!("{}{}", request("read", 3600.0), &extra[..10]));
            let mut exchange = server.request();
            client.send(&extra[10..]);
            disconnect(client);
            exchange.await_end();
            assert!(
                !server.has_request(),
                "{name} behind {} bytes: another request was sent for the client",
                extra.len()
            );
            served_by(&node, &server);
        }
    }
}

/// Bytes that the node reads to see whether a client is still there must not be lost to its next requests.
#[test]
fn pipelined_requests_are_served_in_order() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    let mut client = node.client();
    let pipelined: Vec<String> = (0..200).map(|_| request("update", 20.0)).collect();
    let all = pipelined.concat();
    let (first_part, second_part) = all.split_at(pipelined[0].len() + 10);
    client.send(first_part);
    let mut first = Some(server.request());
    // More than the node buffers while a request waits.
    client.send(second_part);
    for sent in &pipelined {
        let exchange = first.take().unwrap_or_else(|| server.request());
        let id = exchange.request.header("x-request-id").expect("forwarded").to_owned();
        assert!(sent.contains(&format!("x-request-id: {id}\r\n")), "{id} out of order");
        exchange.answer(OK, "", id.as_bytes());
        assert_eq!(client.answer().body, id.as_bytes());
    }
}

/// An attempt that still waits for its connection must not begin once its client has left, although the
/// settings forbid cancelling.
#[test]
fn an_attempt_not_yet_begun_is_dropped_when_its_client_leaves_even_without_cancelling() {
    let (_slow, address, _filler) = full_listener();
    let mut config = without_cancelling(&[member("slow", address, "active")]);
    config["settings"]["allowed"]["dial_timeout_ms"] = json!(600_000.0);
    let node = Node::start(&config);
    let mut client = node.client();
    client.send(&request("pay", 3600.0));
    wait_until("the node has not begun to connect", || pending_connects(address) == 1);
    drop(client);
    wait_until("the node has not abandoned the connect", || pending_connects(address) == 0);
}

/// An attempt that has begun continues if the settings forbid cancelling, and its connection is used again.
#[test]
fn an_attempt_that_has_begun_continues_after_its_client_left_without_cancelling() {
    let server = Server::start();
    let node = Node::start(&without_cancelling(&members(&[&server])));
    let mut client = node.client();
    client.send(&request("pay", 60.0));
    let mut exchange = server.request();
    drop(client);
    // The next client's request shows that the node has seen the first one leave.
    let mut next = node.client();
    next.send(&request("pay", 60.0));
    let other = server.request();
    assert!(!exchange.has_ended(), "the attempt was cancelled");
    other.answer(OK, "", b"");
    assert_eq!(next.answer().status(), 200);
    assert!(!exchange.has_ended(), "the attempt was cancelled");
    exchange.answer(OK, "", b"");
    // The connection of that attempt became idle last, so the next request uses it.
    wait_until("the first connection is not used again", || {
        next.send(&request("pay", 60.0));
        let exchange = server.request();
        let connection = exchange.connection;
        exchange.answer(OK, "", b"");
        assert_eq!(next.answer().status(), 200);
        connection == 0
    });
}

/// A client asks for its connection to be closed but has sent more bytes. Its answer must not be followed by
/// a reset because of these unread bytes.
#[test]
fn the_final_answer_is_followed_by_a_close_and_no_reset() {
    let server = Server::start();
    // Discovery answers here, so that its calls share one connection and the change in descriptors counted
    // below is the client's alone.
    let discovery = Server::start();
    let mut config = config(&members(&[&server]));
    config["discovery"] = json!(discovery.address.to_string());
    let mut node = Node::start(&config);
    connections::answer_all_requests(discovery, list(1, false, &[]).to_string().into_bytes());
    while !node.next_log_line().contains("-> fresh") {}
    for extra in [0, 100_000] {
        let before = node.descriptors();
        let mut client = node.client();
        let last = request("read", 20.0).replace("host:", "connection: close\r\nhost:");
        client.send(&last);
        let exchange = server.request();
        client.send(&"x".repeat(extra));
        exchange.answer(OK, "", b"the last");
        let answer = client.answer();
        assert_eq!((answer.status(), &answer.body[..]), (200, &b"the last"[..]));
        assert_eq!(client.stream.read(&mut [0; 1]).ok(), Some(0), "more bytes arrived");
        // One descriptor more than before stays open: the connection to the server.
        wait_until("the node has not closed the connection", || node.descriptors() <= before + 1);
        let error = client.stream.get_ref().take_error().expect("a socket");
        assert!(error.is_none(), "{extra} bytes behind the request: {error:?}");
    }
}

// ---- The process

/// A client may state a longer deadline than the settings allow. It must still be answered before the process
/// exits.
#[test]
fn every_pending_request_is_answered_before_the_process_ends() {
    let server = Server::start();
    let mut node = Node::with_servers(&[&server]);
    let mut client = node.client();
    client.send(&request("pay", 600.0));
    let mut exchange = server.request();
    node.terminate();
    let answer = client.answer();
    assert_eq!((answer.status(), answer.header("connection")), (504, Some("close")));
    exchange.await_end();
    assert_eq!(node.wait().code(), Some(0));
    assert!(!server.has_request(), "the request was sent again");
}

/// Half a request need not be served, but its client gets an answer instead of a broken connection.
#[test]
fn half_sent_requests_are_refused_when_the_process_ends() {
    let server = Server::start();
    let mut config = config(&members(&[&server]));
    for class in 0..3 {
        // The process exits before the timeout for a head.
        config["settings"]["classes"][class]["deadline_ms"] = json!(300.0);
    }
    let mut node = Node::start(&config);
    let (full_request, body) = (request("read", 20.0), request("pay", 20.0));
    let half_requests =
        [&full_request[..20], &full_request[..full_request.len() - 2], &body[..body.len() - 2]];
    let mut clients: Vec<Client> = half_requests.iter().map(|_| node.client()).collect();
    clients.iter_mut().zip(half_requests).for_each(|(client, half_request)| client.send(half_request));
    node.terminate();
    for (client, half_request) in clients.iter_mut().zip(half_requests) {
        let answer = client.answer();
        assert_eq!((answer.status(), answer.header("connection")), (503, Some("close")), "{half_request}");
    }
    assert_eq!(node.wait().code(), Some(0));
    assert!(!server.has_request(), "half a request was forwarded");
}

// ---- A dozen processes

/// Starts a dozen nodes, each with a discovery of its own.
fn start_dozen(config: &Value) -> Vec<Node> {
    (0..12).map(|_| Node::start(config)).collect()
}

/// At each of a dozen nodes one client closes its connection, one resets it, and one has sent a part of its
/// next request before it closes. All of their requests wait for a connection, which then comes up: no byte
/// of any request may be sent on it.
#[test]
fn a_dozen_nodes_send_nothing_for_clients_that_left_while_connections_were_awaited() {
    for cancel in [true, false] {
        let (slow, address, filler) = full_listener();
        let mut config = config(&[member("slow", address, "active")]);
        config["settings"]["allowed"]["cancel"] = json!(cancel);
        config["settings"]["allowed"]["dial_timeout_ms"] = json!(600_000.0);
        let nodes = start_dozen(&config);
        let mut clients: Vec<Client> =
            nodes.iter().flat_map(|node| [node.client(), node.client(), node.client()]).collect();
        for (n, client) in clients.iter_mut().enumerate() {
            let extra = request("read", 3600.0);
            let pipelined = if n % 3 == 2 { &extra[..30] } else { "" };
            client.send(&format!("{}{pipelined}", request(["pay", "update", "read"][n % 3], 3600.0)));
        }
        wait_until("not all connects have begun", || pending_connects(address) == clients.len());
        for (n, client) in clients.into_iter().enumerate() {
            if n % 3 == 1 {
                reset(client)
            } else {
                drop(client)
            }
        }
        wait_until("not all connects were abandoned", || pending_connects(address) == 0);
        drop(slow.accept().expect("the filler"));
        drop(filler);
        // The next client's request must be the first that the server receives: any earlier one would arrive
        // before it.
        for node in &nodes {
            let (mut client, sent) = (node.client(), request("read", 60.0));
            client.send(&sent);
            let (mut stream, _) = slow.accept().expect("the node's connection");
            let arrived = Message::read(&mut std::io::BufReader::new(&stream)).expect("a request");
            let id = arrived.header("x-request-id").expect("forwarded");
            assert!(sent.contains(&format!("x-request-id: {id}\r\n")), "cancel {cancel}: {id} came first");
            stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").expect("answered");
            assert_eq!(client.answer().status(), 200);
        }
    }
}

/// Idle clients hold all the descriptors that they may while discovery is silent. When discovery answers
/// again, the node must apply its list and serve new clients.
#[test]
fn a_dozen_nodes_full_of_idle_clients_use_discovery_when_it_answers_again() {
    let server = Server::start();
    let mut config = config(&[]);
    config["limits"]["sockets"] = json!(64);
    let nodes: Vec<Node> = (0..12).map(|_| Node::start_without_discovery(&config)).collect();
    for node in &nodes {
        let silent = node.discovery.request();
        // Every client sends one request and stays idle; those without a permit are disconnected or refused.
        let mut idle_clients: Vec<Client> = (0..120).map(|_| node.client()).collect();
        let served = idle_clients.iter_mut().filter_map(|client| {
            let _ = client.stream.get_mut().write_all(b"GET /_health HTTP/1.1\r\nhost: n\r\n\r\n");
            Message::read(&mut client.stream).filter(|answer| answer.status() == 200)
        });
        let served = served.count();
        assert!((20..120).contains(&served), "{served} of 120 served: the idle clients must fill the node");
        let next_call = node.discovery.request();
        assert_ne!(silent.connection, next_call.connection, "the silent call must be followed by a new one");
        next_call.answer(OK, "", list(2, true, &members(&[&server])).to_string().as_bytes());
        // The next call shows that the list has been applied.
        let _next = node.discovery.request();
        let mut client = node.client();
        wait_until("the client is not served", || {
            if is_served(&mut client, &server) {
                return true;
            }
            client = node.client();
            false
        });
        drop(idle_clients);
    }
}

// ---- Calls to discovery

/// Returns the next call to discovery if it comes within the idle timeout (5 s here) of a client that has
/// just been answered, tried `idle_timeouts` times in succession.
fn discovery_call_within(node: &Node, idle_timeouts: usize) -> Option<Exchange> {
    (0..idle_timeouts).find_map(|_| {
        let mut client = node.client();
        assert_eq!(client.ask("GET /_health HTTP/1.1\r\nhost: n\r\n\r\n").status(), 200);
        forwarded_or_answered(&client, &node.discovery)
    })
}

/// The settings here ask for retry pauses of half a minute and more, which are longer than a change of the
/// list may stay unknown. The node's idle timeout for clients serves as the clock: it is 5 s, while a retry
/// pause is limited to 3.5 s. Two idle timeouts are allowed where a call is silent first.
#[test]
fn failed_and_silent_calls_are_followed_by_others_however_long_the_configured_pauses() {
    let node =
        Node::start_without_discovery_with(&config(&[]), "retry_least_ms = 60000\nretry_most_ms = 60000\n");
    let mut call = node.discovery.request();
    for round in 0..3 {
        call.answer("503 Down", "", b"");
        call = discovery_call_within(&node, 1)
            .unwrap_or_else(|| panic!("round {round}: refused, and none follows"));
    }
    let mut silent = vec![call];
    for round in 0..4 {
        silent.push(
            discovery_call_within(&node, 2)
                .unwrap_or_else(|| panic!("round {round}: silent, and none follows")),
        );
    }
}

/// One of many nodes watches for ten seconds at a time. After a silent watch, poll and read, its next watch
/// must be much shorter.
#[test]
fn after_a_silent_read_one_of_many_nodes_makes_a_short_watch() {
    let mut config = config(&members(&[&Server::start()]));
    (config["settings"]["n_instances"], config["settings"]["me"]) = (json!(300), json!(0));
    let node = Node::start(&config);
    let silent: Vec<Exchange> = (0..4).map(|_| node.discovery.request()).collect();
    let timeout = |call: &Exchange| {
        let (_, after) = call.request.first.split_once("timeout_ms=")?;
        after.split(' ').next()?.parse::<u64>().ok()
    };
    let timeouts: Vec<Option<u64>> = silent.iter().map(timeout).collect();
    let [Some(first), Some(0), None, Some(last)] = timeouts[..] else { panic!("{timeouts:?}") };
    assert!(last < first / 4, "{last} ms after {first}");
}

/// Sends a request on a connection that has been idle until the node may be closing it. Returns the request's
/// id if the connection ended without a byte of an answer.
fn id_if_closed_unanswered(client: &mut Client, request: &str) -> Option<String> {
    // Fails if the end of the connection has arrived already.
    let sent = client.stream.get_mut().write_all(request.as_bytes());
    match sent.ok().and_then(|()| Message::read(&mut client.stream)) {
        // On a busy machine some are refused, which is an answer too.
        Some(answer) => {
            assert!(matches!(answer.status(), 200 | 503), "{}", answer.first);
            None
        }
        None => request.lines().find_map(|line| line.strip_prefix("x-request-id: ").map(str::to_owned)),
    }
}

/// A client retries a request whose connection was closed without an answer, so the node must never have
/// accepted it.
#[test]
fn a_request_that_crosses_the_close_of_an_idle_connection_is_answered_or_never_accepted() {
    const IDLE: Duration = Duration::from_millis(400);
    const CLIENTS: u32 = 24;
    const ROUNDS: u32 = 6;
    let server = Server::start();
    let file = format!("[connections]\nidle_ms = {0}\nreturn_within_ms = {0}\n", IDLE.as_millis());
    let node = Node::start_with(&config(&members(&[&server])), Some(&file));
    let address = node.address;
    let run_client = move |client: u32| {
        let mut closed_ids = Vec::new();
        for round in 0..ROUNDS {
            let mut client_connection = Client::connect(address);
            client_connection.send(&request("update", 20.0));
            client_connection.answer();
            // Sends from a little before the idle timeout until a little after it: the node checks slightly
            // late.
            let offset = Duration::from_micros(250) * (client * ROUNDS + round);
            std::thread::sleep(IDLE - Duration::from_millis(16) + offset);
            closed_ids.extend(id_if_closed_unanswered(&mut client_connection, &request("update", 20.0)));
        }
        closed_ids
    };
    let clients: Vec<_> = (0..CLIENTS).map(|client| std::thread::spawn(move || run_client(client))).collect();
    let mut accepted = std::collections::HashSet::new();
    while clients.iter().any(|client| !client.is_finished()) {
        match server.poll() {
            Some(exchange) => {
                accepted.insert(exchange.request.header("x-request-id").expect("forwarded").to_owned());
                exchange.answer(OK, "", b"x");
            }
            None => std::thread::sleep(Duration::from_micros(200)),
        }
    }
    let closed_ids: Vec<String> =
        clients.into_iter().flat_map(|client| client.join().expect("answered or closed")).collect();
    assert!(!closed_ids.is_empty(), "no connection was closed");
    let lost: Vec<&String> = closed_ids.iter().filter(|id| accepted.contains(*id)).collect();
    assert!(
        lost.is_empty(),
        "of {} requests on closed connections these reached a server: {lost:?}",
        closed_ids.len()
    );
}

/// Connects clients, each with a request, until the request of the last one waits for a connection to the far
/// server.
fn connect_clients_until_one_waits_for(node: &Node, far: SocketAddr, near: &Server) -> Vec<Client> {
    let mut clients = Vec::new();
    while pending_connects(far) == 0 {
        let mut client = node.client();
        client.send(&request("update", 60.0));
        clients.push(client);
        let served_by_near = || near.poll().map(|exchange| exchange.answer(OK, "", b"x")).is_some();
        wait_until("the request is sent to neither server", || served_by_near() || pending_connects(far) > 0);
    }
    clients
}

/// The close of a failed attempt needs time to reach its server. A retry on a kept connection to a nearer
/// server would otherwise arrive first, and both copies could run. The first server here is far away: a
/// connection to it takes a second to come up.
#[test]
fn a_retry_begins_once_the_close_must_have_reached_the_previous_server() {
    type Finish = fn(&mut TcpStream);
    let variants: [(&str, Finish); 2] = [
        ("an end with no answer", |stream| stream.shutdown(Shutdown::Write).expect("ended")),
        ("half an answer", |stream| {
            stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf").expect("begun");
            stream.shutdown(Shutdown::Write).expect("ended");
        }),
    ];
    for (name, finish) in variants {
        let (far, address, filler) = full_listener();
        let near = Server::start();
        let members = [member("far", address, "active"), member("near", near.address, "active")];
        let node = Node::start(&config(&members));
        // Both servers start with the same count, so one of a few requests goes to the far one.
        let mut clients = connect_clients_until_one_waits_for(&node, address, &near);
        drop((far.accept().expect("the filler"), filler));
        let (mut stream, _) = far.accept().expect("the node's connection");
        Message::read(&mut std::io::BufReader::new(stream.try_clone().expect("cloned"))).expect("a request");
        let since = Instant::now();
        finish(&mut stream);
        let retry = near.request();
        assert!(since.elapsed() >= Duration::from_millis(100), "{name}: {:?}", since.elapsed());
        assert_eq!(
            stream.read(&mut [0; 1]).ok(),
            Some(0),
            "{name}: the first attempt's connection was not closed"
        );
        retry.answer(OK, "", b"done");
        for client in &mut clients {
            assert_eq!(client.answer().status(), 200, "{name}");
        }
    }
}

/// The time after a client's end in which an attempt may still begin, by the pages, and the step in which the
/// servers of these tests look.
const DEPARTURE_GRACE: Duration = Duration::from_millis(100);

/// Guards against attempts for a client whose end lies behind more than the node reads ahead.
#[test]
fn nothing_begins_for_a_client_that_sent_much_and_left() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    let client = node.client();
    let all: String = (0..3_000).map(|_| request("pay", 20.0)).collect();
    let mut writer = client.stream.get_ref().try_clone().expect("cloned");
    // The system takes all of it, whether or not the node reads.
    writer.write_all(all.as_bytes()).expect("written");
    let exchange = server.request();
    drop(writer);
    drop(client);
    let left_at = Instant::now();
    thread::sleep(2 * DEPARTURE_GRACE);
    assert!(!server.has_request(), "begun within the grace, or two at once");
    exchange.answer("503 Busy", "x-not-run: 1\r\n", b"");
    thread::sleep(5 * DEPARTURE_GRACE);
    assert!(!server.has_request(), "an attempt began after {:?}", left_at.elapsed());
    assert_eq!(node.health().status(), 200);
}

/// The same for a long request whose attempt waits for a connection to its server.
#[test]
fn a_long_upload_whose_client_left_while_a_connection_was_awaited_is_not_sent() {
    let (listener, address, filler) = full_listener();
    let node = Node::start(&config(&[member("s0", address, "active")]));
    let mut client = node.client();
    let text = request("pay", 20.0).replace("content-length: 4", "content-length: 1000000");
    client.send(&text);
    client.stream.get_mut().write_all(&[b'b'; 1_000_000 - 4]).expect("written");
    wait_until("the node does not connect", || pending_connects(address) > 0);
    drop(client);
    thread::sleep(2 * DEPARTURE_GRACE);
    drop(filler);
    // The connection that filled the queue, then the node's, which the system tries again after a second.
    drop(listener.accept().expect("accepted"));
    wait_until("the node's connection does not come up", || pending_connects(address) == 0);
    listener.set_nonblocking(true).expect("set");
    let mut received = Vec::new();
    if let Ok((mut stream, _)) = listener.accept() {
        stream.set_nonblocking(false).expect("set");
        // The node ends its connection, or is about to send.
        stream.read_to_end(&mut received).expect("ended");
    }
    assert_eq!(received.len(), 0, "sent for a client that had left");
}

/// Guards against requests that were received behind a refused one and got no answer: after the final notice of a
/// shutdown, the first refusal closed the connection over them.
#[test]
fn requests_received_behind_a_refused_one_are_answered_before_the_process_ends() {
    const AT_ONCE: usize = 6;
    let server = Server::start();
    let mut node = Node::with_servers(&[&server]);
    let mut clients: Vec<Client> = ["read", "update", "pay"]
        .into_iter()
        .map(|class| {
            let mut client = node.client();
            let texts: Vec<String> = (0..AT_ONCE).map(|_| request(class, 20.0)).collect();
            client.send(&texts.concat());
            client
        })
        .collect();
    // The server hangs through the whole of the shutdown.
    let _hanging: Vec<Exchange> = clients.iter().map(|_| server.request()).collect();
    node.terminate();
    for client in &mut clients {
        assert_eq!(client.answer().status(), 504);
        for behind in 1..AT_ONCE {
            let answer = client.answer();
            let is_last = behind + 1 == AT_ONCE;
            assert_eq!(answer.status(), 503);
            assert_eq!(answer.header("connection"), is_last.then_some("close"), "request {behind}");
        }
        assert_eq!(client.rest(), "");
    }
    assert!(node.wait().success());
}
