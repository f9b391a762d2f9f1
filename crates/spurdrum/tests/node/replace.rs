//! One process takes over from another.

use super::incoming::Incoming;
use super::ops::{admin_call, config_with_admin, metrics, wait_until};
use super::*;

struct Pair {
    server: Server,
    old: Node,
    new: Node,
    /// Where operators call the new one.
    ops: SocketAddr,
}

/// A node before one server, and a second process of it that is ready.
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

/// Waits until a process says yes.
fn ready(ops: SocketAddr) {
    wait_until(|| TcpStream::connect(ops).is_ok() && admin_call(ops, "readyz").starts_with("YES"));
}

fn serve(server: &Server, client: &mut Client) {
    client.send(&request("update", 20.0));
    server.request().answer(OK, "", b"served");
    assert_eq!(client.answer().status(), 200);
}

#[test]
fn connections_that_rest_go_on_at_the_new_process() {
    let mut kept = Vec::new();
    let Pair { server, mut old, new, ops } = pair(|old| {
        kept.extend((0..8).map(|_| old.client()));
    });
    // Some have asked, some never have.
    for client in &mut kept[..4] {
        serve(&server, client);
    }
    old.terminate();
    assert!(old.wait().success());
    for client in &mut kept {
        serve(&server, client);
    }
    serve(&server, &mut new.client());
    wait_until(|| metrics(ops)["calls"]["update"]["success"].as_u64() >= Some(5));
}

#[test]
fn what_the_old_process_has_taken_it_answers_and_then_its_connection_goes_on() {
    let mut clients = Vec::new();
    let Pair { server, mut old, new, ops } = pair(|old| clients.push(old.client()));
    let client = &mut clients[0];
    // The first request on a connection of the old process alone.
    client.send(&request("pay", 20.0));
    let open = server.request();
    old.terminate();
    // Others are served meanwhile, by the new one alone: the old one accepts no more.
    wait_until(|| {
        metrics(ops)["calls"]["update"]["success"].as_u64() >= Some(3) || {
            serve(&server, &mut new.client());
            false
        }
    });
    open.answer(OK, "", b"late");
    assert_eq!(client.answer().status(), 200);
    assert!(old.wait().success());
    serve(&server, client);
}

#[test]
fn a_half_sent_request_is_served_whole() {
    let mut clients = Vec::new();
    let Pair { server, mut old, new: _new, .. } = pair(|old| clients.push(old.client()));
    let client = &mut clients[0];
    let whole = request("update", 20.0);
    client.send(&whole[..20]);
    std::thread::sleep(Duration::from_millis(20));
    old.terminate();
    client.send(&whole[20..]);
    server.request().answer(OK, "", b"served");
    assert_eq!(client.answer().status(), 200);
    assert!(old.wait().success());
    serve(&server, client);
}

#[test]
fn where_the_new_process_dies_the_old_one_serves_on_and_can_be_replaced_again() {
    let Pair { server, mut old, new, .. } = pair(|_| {});
    new.signal("-KILL");
    drop(new);
    for _ in 0..4 {
        serve(&server, &mut old.client());
    }
    let (config, ops) = (config(&members(&[&server])), own_address());
    let next = old.start_second_process(&config, ops);
    ready(ops);
    old.terminate();
    assert!(old.wait().success());
    serve(&server, &mut next.client());
}

#[test]
fn where_the_old_process_dies_the_new_one_has_the_queue() {
    let Pair { server, old, new, .. } = pair(|_| {});
    old.signal("-KILL");
    for _ in 0..4 {
        serve(&server, &mut new.client());
    }
}

/// The file of the new process may be old: what the old one was told, by its discovery and by its servers, counts.
#[test]
fn the_new_process_knows_what_the_old_one_was_told_and_has_learned() {
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
    // The first server leaves.
    let told = list(9, false, &[member("s0", servers[0].address, "left")]);
    old.discovery.request().answer(OK, "", told.to_string().as_bytes());
    wait_until(|| metrics(ops)["hosts_listed"] == 2);
    let next = own_address();
    let new = old.start_second_process(&config, next);
    ready(next);
    let shown = metrics(next);
    assert_eq!((&shown["hosts_listed"], &shown["hosts_down"]), (&json!(2), &json!(1)), "{shown}");
    assert!(new.discovery.request().request.first.contains("since=9&"), "it goes on from that version");
    drop(old);
    for _ in 0..4 {
        let mut client = new.client();
        client.send(&request("pay", 20.0));
        servers[1].request().answer(OK, "", b"x");
        assert_eq!(client.answer().status(), 200);
    }
    assert!(!servers[0].has_request(), "it has left");
}

/// The list that the new process takes over is no better than it was at the old one.
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
fn a_directory_or_socket_that_is_no_use_only_costs_the_passing_on() {
    let server = Server::start();
    let (config, _) = config_with_admin(&[&server]);
    let old = Node::start(&config);
    // Somebody has taken the file away, and put something else there.
    for entry in std::fs::read_dir(node_directory(old.address)).expect("read") {
        let path = entry.expect("read").path();
        std::fs::remove_file(&path).and_then(|()| std::fs::write(&path, "not a socket")).expect("replaced");
    }
    let ops = own_address();
    let mut new = old.start_second_process(&config, ops);
    ready(ops);
    for _ in 0..4 {
        serve(&server, &mut new.client());
    }
    drop(old);
    serve(&server, &mut new.client());
    new.terminate();
    assert!(new.wait().success());
}

#[test]
fn replaced_over_and_over_under_load_no_request_is_lost_or_run_twice() {
    let server = Server::start();
    let (config, _) = config_with_admin(&[&server]);
    let mut node = Node::start(&config);
    let (address, stop) = (node.address, std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false)));
    let done = |stop: &std::sync::atomic::AtomicBool| stop.load(std::sync::atomic::Ordering::Relaxed);
    let clients: Vec<_> = (0..6)
        .map(|n| {
            let stop = std::sync::Arc::clone(&stop);
            std::thread::spawn(move || {
                let (mut served, mut kept) = (0, Client::connect(address));
                while !done(&stop) {
                    // Odd ones connect anew for each request.
                    if n % 2 == 1 {
                        kept = Client::connect(address);
                    }
                    kept.send(&request(if n % 3 == 0 { "pay" } else { "update" }, 20.0));
                    assert_eq!(kept.answer().status(), 200);
                    served += 1;
                }
                served
            })
        })
        .collect();
    let (quiet, over) = (
        std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false)),
        std::sync::Arc::new(std::sync::Mutex::new(0)),
    );
    let (answering, ran) = (std::sync::Arc::clone(&quiet), std::sync::Arc::clone(&over));
    let serving = std::thread::spawn(move || {
        let mut seen = std::collections::HashSet::new();
        loop {
            let over = done(&answering);
            if let Some(got) = server.poll() {
                assert!(seen.insert(got.request.header("x-request-id").map(str::to_owned)), "it ran twice");
                got.answer(OK, "", b"x");
                *ran.lock().expect("counted") += 1;
            } else if over {
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
        let before = *over.lock().expect("counted");
        node.terminate();
        assert!(node.wait().success());
        node = next;
        wait_until(|| *over.lock().expect("counted") > before + 50);
    }
    stop.store(true, std::sync::atomic::Ordering::Relaxed);
    let served: usize = clients.into_iter().map(|client| client.join().expect("each is answered 200")).sum();
    quiet.store(true, std::sync::atomic::Ordering::Relaxed);
    serving.join().expect("none ran twice");
    assert_eq!(served, *over.lock().expect("counted"));
}

/// The request that a client has sent on a connection that was handed over, answered here in place of a process.
fn answer_by_hand(connection: TcpStream) {
    connection.set_nonblocking(false).expect("set");
    connection.set_read_timeout(Some(LONG)).expect("set");
    let mut reader = std::io::BufReader::new(connection.try_clone().expect("cloned"));
    Message::read(&mut reader).expect("a request");
    let mut writer = connection;
    writer.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nhere").expect("answered");
}

/// Guards against a handover that is decided at the signal alone: on a busy machine the confirmation lies unread then.
#[test]
fn a_confirmation_that_is_read_after_the_signal_hands_over_all_the_same() {
    let server = Server::start();
    let (config, _) = config_with_admin(&[&server]);
    let mut old = Node::start(&config);
    let (mut resting, mut asking) = (old.client(), old.client());
    serve(&server, &mut resting);
    asking.send(&request("pay", 20.0));
    let open = server.request();
    let (mut incoming, listener) = Incoming::offered(old.address);
    // Both are there when the process goes on.
    old.signal("-STOP");
    old.terminate();
    incoming.confirm();
    old.signal("-CONT");
    let connection = incoming.connection().expect("what rests is handed over");
    resting.send(&request("update", 20.0));
    answer_by_hand(connection);
    assert_eq!(resting.answer().body, b"here");
    open.answer(OK, "", b"late");
    let answer = asking.answer();
    assert_eq!((answer.status(), answer.header("connection")), (200, None));
    let connection = incoming.connection().expect("so is what has been answered");
    asking.send(&request("update", 20.0));
    answer_by_hand(connection);
    assert_eq!(asking.answer().body, b"here");
    let mut next = old.client();
    next.send(&request("update", 20.0));
    // The socket is shared, and so is that it does not block.
    let mut accepted = None;
    wait_until(|| {
        accepted = listener.accept().ok();
        accepted.is_some()
    });
    answer_by_hand(accepted.expect("accepted here").0);
    assert_eq!(next.answer().body, b"here");
    assert!(old.wait().success());
    assert!(incoming.connection().is_none());
}

/// Guards against an outgoing process that gives up descriptors which what it has taken still needs: one to a server each.
#[test]
fn requests_that_are_half_sent_at_the_handover_reach_their_servers() {
    let server = Server::start();
    let (config, _) = config_with_admin(&[&server]);
    let mut old = Node::start(&config);
    let mut clients: Vec<_> = (0..16).map(|_| (old.client(), request("pay", 20.0))).collect();
    for (client, whole) in &mut clients {
        client.send(&whole[..20]);
    }
    let ops = own_address();
    let _new = old.start_second_process(&config, ops);
    ready(ops);
    old.terminate();
    assert!(old.log_line_containing("shutdown: ").contains("handed over"));
    for (client, whole) in &mut clients {
        client.send(&whole[20..]);
    }
    let open: Vec<Exchange> = clients.iter().map(|_| server.request()).collect();
    open.into_iter().for_each(|exchange| exchange.answer(OK, "", b"served"));
    for (client, _) in &mut clients {
        assert_eq!(client.answer().status(), 200);
    }
    assert!(old.wait().success());
    for (client, _) in &mut clients {
        serve(&server, client);
    }
}

#[test]
fn a_process_whose_successor_never_confirms_ends_by_itself() {
    let server = Server::start();
    let (config, _) = config_with_admin(&[&server]);
    let mut old = Node::start(&config);
    let mut client = old.client();
    client.send(&request("pay", 20.0));
    let open = server.request();
    let (_incoming, _listener) = Incoming::offered(old.address);
    old.terminate();
    assert!(old.log_line_containing("shutdown: ").contains("no other process takes over"));
    serve(&server, &mut old.client());
    open.answer(OK, "", b"late");
    let answer = client.answer();
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(old.wait().success());
}

/// Guards against a process that has ended when the one before it still has connections to hand over.
#[test]
fn a_process_in_the_middle_of_a_chain_hands_on_what_the_one_before_it_still_has() {
    let mut clients = Vec::new();
    let Pair { server, mut old, new: mut middle, ops } = pair(|old| clients.push(old.client()));
    let client = &mut clients[0];
    client.send(&request("pay", 20.0));
    let open = server.request();
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
    open.answer(OK, "", b"late");
    assert_eq!(client.answer().status(), 200);
    assert!(old.wait().success());
    assert!(middle.wait().success());
    serve(&server, client);
    drop(last);
}

/// A server hangs, and its client would wait for longer than the process may live.
#[test]
fn a_process_that_hands_over_gives_what_still_waits_its_last_answer() {
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

/// A request whose connection to a server does not come up.
fn unsent(config: &mut Value) -> (Node, Client, TcpListener, TcpStream) {
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

/// Guards against a last answer that promises nothing where no server has been sent the request.
#[test]
fn what_no_server_has_been_sent_as_a_process_ends_is_served_by_the_new_one() {
    let (server, (mut old_config, _)) = (Server::start(), config_with_admin(&[]));
    let (mut old, mut client, _slow, _filler) = unsent(&mut old_config);
    let ops = own_address();
    let new = old.start_second_process(&old_config, ops);
    // The new process is told of another server.
    let told = list(9, true, &[member("s0", server.address, "active")]);
    new.discovery.request().answer(OK, "", told.to_string().as_bytes());
    ready(ops);
    old.terminate();
    let exchange = server.request();
    assert_eq!(exchange.request.body, b"work");
    exchange.answer(OK, "", b"served");
    let answer = client.answer();
    assert_eq!((answer.status(), answer.header("connection")), (200, None));
    assert!(old.wait().success());
    serve(&server, &mut client);
}

/// The same where no other process is there: trying again is harmless.
#[test]
fn what_no_server_has_been_sent_as_a_process_ends_is_refused_where_no_other_takes_over() {
    let (mut config, _) = config_with_admin(&[]);
    let (mut old, mut client, _slow, _filler) = unsent(&mut config);
    old.terminate();
    assert_eq!(client.answer().status(), 503);
    assert!(old.wait().success());
}

/// A node that is nearly full hands all of it on: the new process has room for what comes as the old one gives it up.
#[test]
fn a_full_node_passes_on_all_its_connections() {
    let mut kept = Vec::new();
    let Pair { server, mut old, new: _new, .. } = pair(|old| {
        kept.extend((0..100).map(|_| old.client()));
    });
    for client in kept.iter_mut().take(10) {
        serve(&server, client);
    }
    old.terminate();
    assert!(old.wait().success());
    for client in &mut kept {
        serve(&server, client);
    }
}

/// Told to end before anybody has called, the old process hands nothing over: both listen side by side for a while.
#[test]
fn a_process_that_starts_when_the_old_one_is_ending_starts_alone() {
    let server = Server::start();
    let (config, old_ops) = config_with_admin(&[&server]);
    let mut old = Node::start(&config);
    let mut client = old.client();
    client.send(&request("pay", 20.0));
    let open = server.request();
    old.terminate();
    wait_until(|| admin_call(old_ops, "readyz") == "NO ending\n");
    let ops = own_address();
    let new = old.start_second_process(&config, ops);
    ready(ops);
    open.answer(OK, "", b"late");
    assert_eq!(client.answer().status(), 200);
    assert!(old.wait().success());
    serve(&server, &mut new.client());
}

#[test]
fn of_several_that_start_at_once_each_serves() {
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
        serve(&server, &mut starts[0].0.client());
    }
}

/// Between the start of the new process and the end of the old one, each hears its own signals and its own discovery.
#[test]
fn new_settings_and_a_drain_in_the_middle_hold_for_both() {
    let servers = [Server::start(), Server::start()];
    let (mut config, old_ops) = config_with_admin(&[&servers[0], &servers[1]]);
    let mut old = Node::start(&config);
    let ops = own_address();
    let new = old.start_second_process(&config, ops);
    ready(ops);
    let mut fresh = config["settings"]["classes"][0].clone();
    fresh["name"] = json!("look");
    config["settings"]["classes"].as_array_mut().expect("a list").push(fresh);
    old.reload(&config.to_string());
    new.send_sighup();
    wait_until(|| metrics(old_ops)["reconfig_ok"] == 1 && metrics(ops)["reconfig_ok"] == 1);
    let told = list(9, false, &[member("s0", servers[0].address, "left")]).to_string();
    for process in [&old, &new] {
        process.discovery.request().answer(OK, "", told.as_bytes());
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
    serve(&servers[1], &mut new.client());
    assert!(!servers[0].has_request(), "it has left");
}
