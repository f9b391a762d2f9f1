//! Handover of the listening socket and of client connections from an outgoing process to an incoming one.

use super::incoming::Incoming;
use super::ops::{admin_call, config_with_admin, metrics, ready, wait_until};
use super::*;

struct Pair {
    server: Server,
    old: Node,
    new: Node,
    /// The admin address of the new process.
    ops: SocketAddr,
}

/// Starts a node with one server, runs `before`, and starts a second process of the node. Returns when that
/// is ready.
fn pair(before: impl FnOnce(&Node)) -> Pair {
    let server = Server::start();
    let (config, _) = config_with_admin(&[&server]);
    let old = Node::start(&config);
    before(&old);
    let ops = own_address();
    let new = old.start_second_process(&config, ops);
    ready(ops);
    Pair { server, old, new, ops }
}

fn serve_one(server: &Server, client: &mut Client) {
    client.send(&request("update", 20.0));
    server.request().answer(OK, "", b"served");
    assert_eq!(client.answer().status(), 200);
}

#[test]
fn idle_connections_continue_at_the_new_process() {
    let mut idle_clients = Vec::new();
    let Pair { server, mut old, new, ops } = pair(|old| {
        idle_clients.extend((0..8).map(|_| old.client()));
    });
    // Some clients have sent a request, some never have.
    for client in &mut idle_clients[..4] {
        serve_one(&server, client);
    }
    old.terminate();
    assert!(old.wait().success());
    for client in &mut idle_clients {
        serve_one(&server, client);
    }
    serve_one(&server, &mut new.client());
    wait_until(|| metrics(ops)["calls"]["update"]["success"].as_u64() >= Some(5));
}

#[test]
fn the_old_process_answers_its_pending_request_and_then_hands_its_connection_over() {
    let mut clients = Vec::new();
    let Pair { server, mut old, new, ops } = pair(|old| clients.push(old.client()));
    let client = &mut clients[0];
    // The first request of this client; only the old process knows its connection.
    client.send(&request("pay", 20.0));
    let pending = server.request();
    old.terminate();
    // Other clients are served meanwhile, by the new process only: the old one no longer accepts connections.
    wait_until(|| {
        metrics(ops)["calls"]["update"]["success"].as_u64() >= Some(3) || {
            serve_one(&server, &mut new.client());
            false
        }
    });
    pending.answer(OK, "", b"late");
    assert_eq!(client.answer().status(), 200);
    assert!(old.wait().success());
    serve_one(&server, client);
}

#[test]
fn a_half_sent_request_is_served() {
    let mut clients = Vec::new();
    let Pair { server, mut old, new: _new, .. } = pair(|old| clients.push(old.client()));
    let client = &mut clients[0];
    let full_request = request("update", 20.0);
    client.send(&full_request[..20]);
    std::thread::sleep(Duration::from_millis(20));
    old.terminate();
    client.send(&full_request[20..]);
    server.request().answer(OK, "", b"served");
    assert_eq!(client.answer().status(), 200);
    assert!(old.wait().success());
    serve_one(&server, client);
}

#[test]
fn when_the_new_process_dies_the_old_one_keeps_serving_and_can_be_replaced_again() {
    let Pair { server, mut old, new, .. } = pair(|_| {});
    new.signal("-KILL");
    drop(new);
    for _ in 0..4 {
        serve_one(&server, &mut old.client());
    }
    let (config, ops) = (config(&members(&[&server])), own_address());
    let next = old.start_second_process(&config, ops);
    ready(ops);
    old.terminate();
    assert!(old.wait().success());
    serve_one(&server, &mut next.client());
}

#[test]
fn when_the_old_process_dies_the_new_one_has_the_accept_queue() {
    let Pair { server, old, new, .. } = pair(|_| {});
    old.signal("-KILL");
    for _ in 0..4 {
        serve_one(&server, &mut new.client());
    }
}

/// The configuration file of the new process may be old: what discovery and servers have told the old process
/// takes precedence.
#[test]
fn the_new_process_has_the_list_and_learned_state_of_the_old_one() {
    let servers = [Server::start(), Server::start()];
    let (mut config, ops) = config_with_admin(&[&servers[0], &servers[1]]);
    let dead = own_address();
    config["known"]["members"].as_array_mut().expect("a list").push(member("dead", dead, "active"));
    let old = Node::start(&config);
    let mut client = old.client();
    wait_until(|| {
        client.send(&request("read", 20.0));
        request_at_either(&servers).1.answer(OK, "", b"x");
        assert_eq!(client.answer().status(), 200);
        metrics(ops)["hosts_down"] == 1
    });
    // The first server leaves the list.
    let changes = list(9, false, &[member("s0", servers[0].address, "left")]);
    old.discovery.request().answer(OK, "", changes.to_string().as_bytes());
    wait_until(|| metrics(ops)["hosts_listed"] == 2);
    let next = own_address();
    let new = old.start_second_process(&config, next);
    ready(next);
    let reported = metrics(next);
    assert_eq!((&reported["hosts_listed"], &reported["hosts_down"]), (&json!(2), &json!(1)), "{reported}");
    assert!(
        new.discovery.request().request.first.contains("since=9&"),
        "the watch continues from the revision taken over"
    );
    drop(old);
    for _ in 0..4 {
        let mut client = new.client();
        client.send(&request("pay", 20.0));
        servers[1].request().answer(OK, "", b"x");
        assert_eq!(client.answer().status(), 200);
    }
    assert!(!servers[0].has_request(), "it has left");
}

/// A process that takes over an unconfirmed list must wait for discovery like the process before it.
#[test]
fn a_process_that_replaces_one_that_is_still_starting_waits_for_discovery_too() {
    let servers = [Server::start(), Server::start()];
    let (config, ops) = config_with_admin(&[&servers[0], &servers[1]]);
    let long_start = Some("[sources.catalog]\nready_within_ms = 60000\n");
    let old = Node::start_unconfirmed(&config, long_start);
    let next = own_address();
    let mut new = old.start_second_process_with(&config, next, long_start);
    let first = new.discovery.request();
    for ops in [ops, next] {
        let answer = admin_call(ops, "readyz");
        assert!(answer.starts_with("NO starting"), "{answer}");
    }
    let removal = list(9, false, &[member("s0", servers[0].address, "left")]);
    first.answer(OK, "", removal.to_string().as_bytes());
    assert!(new.log_line_containing("the start: ").contains("discovery has confirmed the list"));
    ready(next);
}

#[test]
fn an_unusable_handover_socket_only_prevents_the_handover() {
    let server = Server::start();
    let (config, _) = config_with_admin(&[&server]);
    let old = Node::start(&config);
    // The handover socket has been removed, and something else is in its place.
    for entry in std::fs::read_dir(node_directory(old.address)).expect("read") {
        let path = entry.expect("read").path();
        std::fs::remove_file(&path).and_then(|()| std::fs::write(&path, "not a socket")).expect("replaced");
    }
    let ops = own_address();
    let mut new = old.start_second_process(&config, ops);
    ready(ops);
    for _ in 0..4 {
        serve_one(&server, &mut new.client());
    }
    drop(old);
    serve_one(&server, &mut new.client());
    new.terminate();
    assert!(new.wait().success());
}

#[test]
fn replaced_over_and_over_under_load_no_request_is_lost_or_run_twice() {
    let server = Server::start();
    let (config, _) = config_with_admin(&[&server]);
    let mut node = Node::start(&config);
    let (address, stop) = (node.address, std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false)));
    let is_set = |stop: &std::sync::atomic::AtomicBool| stop.load(std::sync::atomic::Ordering::Relaxed);
    let clients: Vec<_> = (0..6)
        .map(|n| {
            let stop = std::sync::Arc::clone(&stop);
            std::thread::spawn(move || {
                let (mut served, mut client) = (0, Client::connect(address));
                while !is_set(&stop) {
                    // Clients with odd numbers open a new connection for each request.
                    if n % 2 == 1 {
                        client = Client::connect(address);
                    }
                    client.send(&request(if n % 3 == 0 { "pay" } else { "update" }, 20.0));
                    assert_eq!(client.answer().status(), 200);
                    served += 1;
                }
                served
            })
        })
        .collect();
    let (clients_done, answered) = (
        std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false)),
        std::sync::Arc::new(std::sync::Mutex::new(0)),
    );
    let (done_flag, counter) = (std::sync::Arc::clone(&clients_done), std::sync::Arc::clone(&answered));
    let serving = std::thread::spawn(move || {
        let mut seen = std::collections::HashSet::new();
        loop {
            let finished = is_set(&done_flag);
            if let Some(got) = server.poll() {
                assert!(seen.insert(got.request.header("x-request-id").map(str::to_owned)), "it ran twice");
                got.answer(OK, "", b"x");
                *counter.lock().expect("counted") += 1;
            } else if finished {
                break;
            } else {
                std::thread::sleep(Duration::from_micros(200));
            }
        }
    });
    for _ in 0..4 {
        let ops = own_address();
        let next = node.start_second_process(&config, ops);
        ready(ops);
        let before = *answered.lock().expect("counted");
        node.terminate();
        assert!(node.wait().success());
        node = next;
        wait_until(|| *answered.lock().expect("counted") > before + 50);
    }
    stop.store(true, std::sync::atomic::Ordering::Relaxed);
    let served: usize = clients.into_iter().map(|client| client.join().expect("each is answered 200")).sum();
    clients_done.store(true, std::sync::atomic::Ordering::Relaxed);
    serving.join().expect("none ran twice");
    assert_eq!(served, *answered.lock().expect("counted"));
}

/// Reads the request that a client has sent on a handed-over connection, and answers it in place of a
/// process.
fn answer_request_on(connection: TcpStream) {
    connection.set_nonblocking(false).expect("set");
    connection.set_read_timeout(Some(LONG)).expect("set");
    let mut reader = std::io::BufReader::new(connection.try_clone().expect("cloned"));
    Message::read(&mut reader).expect("a request");
    let mut writer = connection;
    writer.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nhere").expect("answered");
}

/// The decision to hand over must not be made at the signal alone: on a busy machine the incoming process's
/// confirmation may be unread at that moment.
#[test]
fn a_confirmation_that_is_read_after_the_signal_still_leads_to_a_handover() {
    let server = Server::start();
    let (config, _) = config_with_admin(&[&server]);
    let mut old = Node::start(&config);
    let (mut idle_client, mut waiting_client) = (old.client(), old.client());
    serve_one(&server, &mut idle_client);
    waiting_client.send(&request("pay", 20.0));
    let pending = server.request();
    let (mut incoming, listener) = Incoming::take_offer(old.address);
    // The signal and the confirmation are both pending when the process resumes.
    old.signal("-STOP");
    old.terminate();
    incoming.confirm();
    old.signal("-CONT");
    let connection = incoming.connection().expect("the idle connection is handed over");
    idle_client.send(&request("update", 20.0));
    answer_request_on(connection);
    assert_eq!(idle_client.answer().body, b"here");
    pending.answer(OK, "", b"late");
    let answer = waiting_client.answer();
    assert_eq!((answer.status(), answer.header("connection")), (200, None));
    let connection = incoming.connection().expect("the answered connection is handed over");
    waiting_client.send(&request("update", 20.0));
    answer_request_on(connection);
    assert_eq!(waiting_client.answer().body, b"here");
    let mut next = old.client();
    next.send(&request("update", 20.0));
    // The listening socket is shared with the old process, and so is its non-blocking mode.
    let mut accepted = None;
    wait_until(|| {
        accepted = listener.accept().ok();
        accepted.is_some()
    });
    answer_request_on(accepted.expect("accepted here").0);
    assert_eq!(next.answer().body, b"here");
    assert!(old.wait().success());
    assert!(incoming.connection().is_none());
}

/// An outgoing process must keep the descriptors that its accepted requests still need: one connection to a
/// server for each.
#[test]
fn requests_that_are_half_sent_at_the_handover_reach_their_servers() {
    let server = Server::start();
    let (config, _) = config_with_admin(&[&server]);
    let mut old = Node::start(&config);
    let mut clients: Vec<_> = (0..16).map(|_| (old.client(), request("pay", 20.0))).collect();
    for (client, full_request) in &mut clients {
        client.send(&full_request[..20]);
    }
    let ops = own_address();
    let _new = old.start_second_process(&config, ops);
    ready(ops);
    old.terminate();
    assert!(old.log_line_containing("shutdown: ").contains("handed over"));
    for (client, full_request) in &mut clients {
        client.send(&full_request[20..]);
    }
    let pending: Vec<Exchange> = clients.iter().map(|_| server.request()).collect();
    pending.into_iter().for_each(|exchange| exchange.answer(OK, "", b"served"));
    for (client, _) in &mut clients {
        assert_eq!(client.answer().status(), 200);
    }
    assert!(old.wait().success());
    for (client, _) in &mut clients {
        serve_one(&server, client);
    }
}

#[test]
fn a_process_whose_incoming_process_never_confirms_ends_by_itself() {
    let server = Server::start();
    let (config, _) = config_with_admin(&[&server]);
    let mut old = Node::start(&config);
    let mut client = old.client();
    client.send(&request("pay", 20.0));
    let pending = server.request();
    let (_incoming, _listener) = Incoming::take_offer(old.address);
    old.terminate();
    assert!(old.log_line_containing("shutdown: ").contains("no other process takes over"));
    serve_one(&server, &mut old.client());
    pending.answer(OK, "", b"late");
    let answer = client.answer();
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(old.wait().success());
}

/// A process in the middle of a chain must not exit while the process before it still has connections to hand
/// over to it.
#[test]
fn a_process_in_the_middle_of_a_chain_hands_over_what_the_one_before_it_still_has() {
    let mut clients = Vec::new();
    let Pair { server, mut old, new: mut middle, ops } = pair(|old| clients.push(old.client()));
    let client = &mut clients[0];
    client.send(&request("pay", 20.0));
    let pending = server.request();
    old.terminate();
    assert!(old.log_line_containing("shutdown: ").contains("handed over"));
    let (config, last_ops) = (config(&members(&[&server])), own_address());
    let last = middle.start_second_process(&config, last_ops);
    ready(last_ops);
    middle.terminate();
    assert!(middle.log_line_containing("shutdown: ").contains("handed over"));
    let since = Instant::now();
    while since.elapsed() < Duration::from_millis(100) {
        assert_eq!(admin_call(ops, "readyz"), "NO ending\n");
    }
    pending.answer(OK, "", b"late");
    assert_eq!(client.answer().status(), 200);
    assert!(old.wait().success());
    assert!(middle.wait().success());
    serve_one(&server, client);
    drop(last);
}

/// A server hangs, and its client would wait for longer than the process may live.
#[test]
fn a_process_that_hands_over_answers_what_still_waits_before_it_ends() {
    let server = Server::start();
    let (mut config, _) = config_with_admin(&[&server]);
    for class in config["settings"]["classes"].as_array_mut().expect("a list") {
        class["deadline_ms"] = json!(300.0);
    }
    let mut old = Node::start(&config);
    let mut client = old.client();
    client.send(&request("pay", 20.0));
    let _unanswered = server.request();
    let ops = own_address();
    let _new = old.start_second_process(&config, ops);
    ready(ops);
    old.terminate();
    assert_eq!(client.answer().status(), 504);
    assert!(old.wait().success());
}

/// Starts a node and sends it a request whose connect to the server hangs. Returns the node, the client, the
/// listener, and the connection that fills its queue.
fn start_with_unsent_request(config: &mut Value) -> (Node, Client, TcpListener, TcpStream) {
    let (slow, address, filler) = full_listener();
    config["known"] = list(1, true, &[member("slow", address, "active")]);
    for class in config["settings"]["classes"].as_array_mut().expect("a list") {
        class["deadline_ms"] = json!(300.0);
    }
    let old = Node::start(config);
    let mut client = old.client();
    client.send(&request("pay", 20.0));
    wait_until(|| pending_connects(address) > 0);
    (old, client, slow, filler)
}

/// Without this, the final answer would be 504, which leaves open whether the request ran, although no server
/// has been sent it.
#[test]
fn a_request_not_yet_sent_when_the_process_ends_is_served_by_the_new_one() {
    let (server, (mut old_config, _)) = (Server::start(), config_with_admin(&[]));
    let (mut old, mut client, _slow, _filler) = start_with_unsent_request(&mut old_config);
    let ops = own_address();
    let new = old.start_second_process(&old_config, ops);
    // The new process learns another server from discovery.
    let changes = list(9, true, &[member("s0", server.address, "active")]);
    new.discovery.request().answer(OK, "", changes.to_string().as_bytes());
    ready(ops);
    old.terminate();
    let exchange = server.request();
    assert_eq!(exchange.request.body, b"work");
    exchange.answer(OK, "", b"served");
    let answer = client.answer();
    assert_eq!((answer.status(), answer.header("connection")), (200, None));
    assert!(old.wait().success());
    serve_one(&server, &mut client);
}

/// The same with no incoming process: the client is told that a retry is safe.
#[test]
fn a_request_not_yet_sent_when_the_process_ends_is_refused_without_an_incoming_process() {
    let (mut config, _) = config_with_admin(&[]);
    let (mut old, mut client, _slow, _filler) = start_with_unsent_request(&mut config);
    old.terminate();
    assert_eq!(client.answer().status(), 503);
    assert!(old.wait().success());
}

/// A node that is nearly at its connection limit hands over all connections: the new process has a permit for
/// each as the old one releases it.
#[test]
fn a_full_node_hands_over_all_its_connections() {
    let mut idle_clients = Vec::new();
    let Pair { server, mut old, new: _new, .. } = pair(|old| {
        idle_clients.extend((0..100).map(|_| old.client()));
    });
    for client in idle_clients.iter_mut().take(10) {
        serve_one(&server, client);
    }
    old.terminate();
    assert!(old.wait().success());
    for client in &mut idle_clients {
        serve_one(&server, client);
    }
}

/// A process that was told to terminate before an incoming one has called hands nothing over; both processes
/// listen side by side for a while.
#[test]
fn a_process_that_starts_while_the_old_one_is_ending_starts_without_a_handover() {
    let server = Server::start();
    let (config, old_ops) = config_with_admin(&[&server]);
    let mut old = Node::start(&config);
    let mut client = old.client();
    client.send(&request("pay", 20.0));
    let pending = server.request();
    old.terminate();
    wait_until(|| admin_call(old_ops, "readyz") == "NO ending\n");
    let ops = own_address();
    let new = old.start_second_process(&config, ops);
    new.discovery.request().answer(OK, "", list(1, false, &[]).to_string().as_bytes());
    ready(ops);
    pending.answer(OK, "", b"late");
    assert_eq!(client.answer().status(), 200);
    assert!(old.wait().success());
    serve_one(&server, &mut new.client());
}

#[test]
fn each_of_several_processes_that_start_at_once_serves() {
    let server = Server::start();
    let (config, _) = config_with_admin(&[&server]);
    let mut old = Node::start(&config);
    let starts: Vec<(Node, SocketAddr)> = (0..3)
        .map(|_| {
            let ops = own_address();
            (old.start_second_process(&config, ops), ops)
        })
        .collect();
    starts.iter().for_each(|(_, ops)| ready(*ops));
    old.terminate();
    assert!(old.wait().success());
    for _ in 0..12 {
        serve_one(&server, &mut starts[0].0.client());
    }
}

/// Between the start of the new process and the end of the old one, each handles its own signals and its own
/// discovery.
#[test]
fn new_settings_and_a_drain_during_a_handover_apply_to_both_processes() {
    let servers = [Server::start(), Server::start()];
    let (mut config, old_ops) = config_with_admin(&[&servers[0], &servers[1]]);
    let mut old = Node::start(&config);
    let ops = own_address();
    let new = old.start_second_process(&config, ops);
    ready(ops);
    let mut new_class = config["settings"]["classes"][0].clone();
    new_class["name"] = json!("look");
    config["settings"]["classes"].as_array_mut().expect("a list").push(new_class);
    old.reload(&config.to_string());
    new.send_sighup();
    wait_until(|| metrics(old_ops)["reconfig_ok"] == 1 && metrics(ops)["reconfig_ok"] == 1);
    let changes = list(9, false, &[member("s0", servers[0].address, "left")]).to_string();
    for process in [&old, &new] {
        process.discovery.request().answer(OK, "", changes.as_bytes());
    }
    wait_until(|| metrics(old_ops)["hosts_listed"] == 1 && metrics(ops)["hosts_listed"] == 1);
    for _ in 0..8 {
        let mut client = new.client();
        client.send(&request("read", 20.0).replace("x-class: read", "x-class: look"));
        servers[1].request().answer(OK, "", b"x");
        assert_eq!(client.answer().status(), 200);
    }
    old.terminate();
    assert!(old.wait().success());
    serve_one(&servers[1], &mut new.client());
    assert!(!servers[0].has_request(), "it has left");
}
