//! Starts of processes with an outdated list. The failure behind these tests: a zone of servers failed and
//! discovery removed its servers from the list. Some seconds later the processes of that zone were restarted with
//! the list from before. Each delayed its first call to discovery by its number among the nodes, up to 3.5 s for
//! 300 nodes, and used the old list until then. But a change counts as notified 6 s after discovery has it,
//! however young a process is, so the processes with high numbers sent requests to removed servers for up to a
//! second after that moment.
//!
//! The log of one of these processes, in seconds on one clock; the servers were removed at 7.076:
//!
//! ```text
//! 10.747 n256: started with 182 servers of version 0; the first list call in 3.051 s
//! 13.386 the first request to a removed server at fault, 6.31 s after its removal
//! 13.859 n256: list call 1 to 127.12.0.1:8500 (watch since 0 for 10752 ms) answered with version 5, 48 entries, after 0.062 s
//! 13.859 n256: the list of servers: blind -> fresh, the list comes; confirmed 0.0 s ago, version 5; 101 attempts meanwhile
//! ```
//!
//! 107 processes were started at that time. All 57 wrong requests came from the 26 processes whose first answer
//! came after 13.38.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;

use spurdrum_standin::queued::QueuedDiscovery;

use super::drains::{first_written, record_arrivals, spawn_client, GRACE, NOTIFIED_AFTER};
use super::*;

/// Starts six of 300 processes with the outdated list: three shortly before the removal counts as notified,
/// three after it.
#[test]
fn processes_that_start_after_a_removal_send_nothing_to_removed_servers() {
    const NODES: usize = 300;
    const SERVERS: usize = 3;
    const REMOVED: [usize; 2] = [0, 1];
    /// The number of a process among the nodes, and how long after the removal it is started.
    const STARTS: [(usize, Duration); 6] = [
        (100, Duration::from_millis(5_000)),
        (200, Duration::from_millis(5_000)),
        (299, Duration::from_millis(5_000)),
        (101, Duration::from_millis(7_000)),
        (201, Duration::from_millis(7_000)),
        (298, Duration::from_millis(7_000)),
    ];
    /// The longest time by which a process once delayed its first call.
    const MAX_FIRST_CALL_DELAY: Duration = Duration::from_millis(3_500);

    let discovery = QueuedDiscovery::start(Duration::from_millis(10));
    let servers: Vec<Server> = (0..SERVERS).map(|_| Server::start()).collect();
    let entry =
        |n: usize, phase: &str| (format!("s{n}"), member(&format!("s{n}"), servers[n].address, phase));
    let all: Vec<_> = (0..SERVERS).map(|index| entry(index, "active")).collect();
    let old_revision = discovery.set(&all);
    let known: Vec<Value> = all.iter().map(|(_, entry)| entry.clone()).collect();
    let mut config = config(&[]);
    config["settings"]["n_instances"] = json!(NODES);
    config["settings"]["rules"]["ask_within_ms"] = json!(10_000.0);
    config["known"] = list(old_revision, true, &known);
    let removal = discovery.set(&REMOVED.map(|index| entry(index, "left")));
    let removed_at = Instant::now();

    let arrivals = record_arrivals(servers);
    let stop = Arc::new(AtomicBool::new(false));
    let processes: Vec<_> = STARTS
        .into_iter()
        .map(|(me, after)| {
            let mut config = config.clone();
            config["settings"]["me"] = json!(me);
            config["discovery"] = json!(discovery.listen(me).to_string());
            let stop = Arc::clone(&stop);
            thread::spawn(move || {
                thread::sleep(after.saturating_sub(removed_at.elapsed()));
                let started = Instant::now();
                let node = Node::start(&config);
                let client = spawn_client(me, node.address, &stop);
                (me, started, node, client)
            })
        })
        .collect();
    let processes: Vec<_> = processes.into_iter().map(|process| process.join().expect("started")).collect();
    let last_start = processes.iter().map(|(_, started, ..)| *started).max().expect("several");
    thread::sleep((MAX_FIRST_CALL_DELAY + GRACE).saturating_sub(last_start.elapsed()));
    stop.store(true, Ordering::Relaxed);

    let written = discovery.written();
    let mut late_sends = Vec::new();
    for (me, started, node, client) in processes {
        let served = client.join().expect("a client");
        assert!(served > 50, "{served} were served at {me}");
        drop(node);
        let by_time = (removed_at + NOTIFIED_AFTER).max(started);
        let notified = first_written(&written, me, removal).map_or(by_time, |notified| notified.min(by_time));
        let arrivals = arrivals.lock().expect("no panic");
        let to_removed = arrivals.iter().filter(|a| a.node == me && REMOVED.contains(&a.server));
        let sends = to_removed.filter(|arrival| arrival.at > notified + GRACE).count();
        if sends > 0 {
            late_sends.push((me, sends));
        }
    }
    assert!(
        late_sends.is_empty(),
        "requests to removed servers after the grace period, by process: {late_sends:?}"
    );
}

/// Starts one of 300 nodes with an outdated list, which names `s0` and `s1`. Discovery has not answered yet.
fn just_started(servers: &[Server; 2]) -> Node {
    let mut config = config(&members(&[&servers[0], &servers[1]]));
    (config["settings"]["n_instances"], config["settings"]["me"]) = (json!(300), json!(0));
    Node::start_unconfirmed(&config, None)
}

/// Returns whether this call asks for what is newer than the outdated list, without waiting.
fn asks_for_changes(call: &Exchange) -> bool {
    call.request.first == "GET /catalog/members?since=1&timeout_ms=0 HTTP/1.1"
}

/// Until discovery has answered, the process is not ready and sends nothing. A request that arrives anyway
/// waits, or is refused while its client has time left. Discovery answers the first call at once, even if
/// nothing is newer.
#[test]
fn a_process_serves_once_discovery_has_confirmed_its_list() {
    let servers = [Server::start(), Server::start()];
    let mut node = just_started(&servers);
    let first = node.discovery.request();
    assert!(asks_for_changes(&first), "{}", first.request.first);
    assert_eq!(node.health().status(), 503);
    let refused = node.client().ask(&request("update", 0.1));
    assert_eq!((refused.status(), refused.header("retry-after")), (503, Some("0.400")));
    let mut waiting = node.client();
    waiting.send(&request("update", 60.0));
    let mut disconnected = node.client();
    disconnected.send(&request("update", 60.0));
    // The health checks show that each request has been read before discovery answers, and that one client's
    // disconnect has been seen.
    assert_eq!(node.health().status(), 503);
    drop(disconnected);
    assert_eq!(node.health().status(), 503);
    let removal = list(2, false, &[member("s0", servers[0].address, "left")]);
    first.answer(OK, "", removal.to_string().as_bytes());
    servers[1].request().answer(OK, "", b"");
    assert_eq!(waiting.answer().status(), 200);
    assert_eq!(node.health().status(), 200);
    assert!(!servers[1].has_request(), "a request was forwarded for a client that had disconnected");
    for _ in 0..16 {
        let mut client = node.client();
        client.send(&request("update", 20.0));
        servers[1].request().answer(OK, "", b"");
        assert_eq!(client.answer().status(), 200);
    }
    assert!(!servers[0].has_request(), "the removed server was sent a request");
    assert!(node.log_line_containing("the start: ").contains("discovery has confirmed the list"));
}

/// If discovery fails the first calls of a process, it must be called again soon, however many nodes there
/// are.
#[test]
fn a_process_whose_first_calls_fail_serves_once_one_is_answered() {
    let servers = [Server::start(), Server::start()];
    let mut node = just_started(&servers);
    let first = node.discovery.request();
    first.answer("503 Later", "", b"");
    let second = node.discovery.request();
    assert!(asks_for_changes(&second), "{}", second.request.first);
    assert_eq!(node.health().status(), 503);
    second.answer(OK, "", list(1, false, &[]).to_string().as_bytes());
    assert!(node.log_line_containing("the start: ").contains("discovery has confirmed the list"));
    wait_until("the node does not become healthy", || node.health().status() == 200);
}

/// A discovery that does not answer must not keep a process from serving with the list that it started with.
#[test]
fn a_process_serves_with_its_old_list_when_discovery_does_not_answer() {
    let servers = [Server::start(), Server::start()];
    let mut node = just_started(&servers);
    let _silent = node.discovery.request();
    assert!(node.log_line_containing("the start: ").contains("not answered in time"));
    wait_until("the node does not become healthy", || node.health().status() == 200);
    let mut client = node.client();
    client.send(&request("update", 20.0));
    request_at_either(&servers).1.answer(OK, "", b"");
    assert_eq!(client.answer().status(), 200);
}
