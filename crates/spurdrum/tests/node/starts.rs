//! A zone of servers failed, discovery took its servers off the list, and some seconds later the processes of that zone were started again
//! with the list of before. Each put off its first call to discovery by its number among the nodes, up to 3.5 s for 300 of them, and
//! went by that list until then; but a change counts as told 6 s after discovery has it, however young the process is. So the processes
//! with high numbers sent to removed servers for up to a second after that moment.
//!
//! What settled it, seconds on one clock, servers removed at 7.076:
//!
//! ```text
//! 10.747 n256: started with 182 servers of version 0; the first list call in 3.051 s
//! 13.386 the first request to a removed server at fault, 6.31 s after its removal
//! 13.859 n256: list call 1 to 127.12.0.1:8500 (watch since 0 for 10752 ms) answered with version 5, 48 entries, after 0.062 s
//! 13.859 n256: the list of servers: blind -> fresh, the list comes; confirmed 0.0 s ago, version 5; 101 attempts meanwhile
//! ```
//!
//! 107 processes were started then; the 26 whose first answer came after 13.38 made all 57 requests at fault.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;

use spurdrum_standin::queued::QueuedDiscovery;

use super::drains::{answering, first_written, spawn_client, GRACE, NOTIFIED_AFTER};
use super::*;

/// Six of 300 processes are started with the list of before: three shortly before a removal counts as told, three after it.
#[test]
fn processes_that_start_after_a_removal_send_nothing_to_removed_servers() {
    const NODES: usize = 300;
    const SERVERS: usize = 3;
    const REMOVED: [usize; 2] = [0, 1];
    /// A process's number among the nodes, and how long after the removal it is started.
    const STARTS: [(usize, Duration); 6] = [
        (100, Duration::from_millis(5_000)),
        (200, Duration::from_millis(5_000)),
        (299, Duration::from_millis(5_000)),
        (101, Duration::from_millis(7_000)),
        (201, Duration::from_millis(7_000)),
        (298, Duration::from_millis(7_000)),
    ];
    /// The longest time for which a process once put off its first call.
    const PUT_OFF: Duration = Duration::from_millis(3_500);

    let discovery = QueuedDiscovery::start(Duration::from_millis(10));
    let servers: Vec<Server> = (0..SERVERS).map(|_| Server::start()).collect();
    let entry =
        |at: usize, phase: &str| (format!("s{at}"), member(&format!("s{at}"), servers[at].address, phase));
    let all: Vec<_> = (0..SERVERS).map(|at| entry(at, "active")).collect();
    let before = discovery.set(&all);
    let known: Vec<Value> = all.iter().map(|(_, entry)| entry.clone()).collect();
    let mut config = config(&[]);
    config["settings"]["n_instances"] = json!(NODES);
    config["settings"]["rules"]["ask_within_ms"] = json!(10_000.0);
    config["known"] = list(before, true, &known);
    let removed = discovery.set(&REMOVED.map(|at| entry(at, "left")));
    let removed_at = Instant::now();

    let arrivals = answering(servers);
    let ends = Arc::new(AtomicBool::new(false));
    let runs: Vec<_> = STARTS
        .into_iter()
        .map(|(me, after)| {
            let mut config = config.clone();
            config["settings"]["me"] = json!(me);
            config["discovery"] = json!(discovery.listen(me).to_string());
            let ends = Arc::clone(&ends);
            thread::spawn(move || {
                thread::sleep(after.saturating_sub(removed_at.elapsed()));
                let started = Instant::now();
                let node = Node::start(&config);
                let client = spawn_client(me, node.address, &ends);
                (me, started, node, client)
            })
        })
        .collect();
    let runs: Vec<_> = runs.into_iter().map(|run| run.join().expect("started")).collect();
    let last = runs.iter().map(|(_, started, ..)| *started).max().expect("several");
    thread::sleep((PUT_OFF + GRACE).saturating_sub(last.elapsed()));
    ends.store(true, Ordering::Relaxed);

    let written = discovery.written();
    let mut late = Vec::new();
    for (me, started, node, client) in runs {
        let served = client.join().expect("a client");
        assert!(served > 50, "{served} were served at {me}");
        drop(node);
        let by_clock = (removed_at + NOTIFIED_AFTER).max(started);
        let told = first_written(&written, me, removed).map_or(by_clock, |told| told.min(by_clock));
        let arrivals = arrivals.lock().expect("no panic");
        let to_removed = arrivals.iter().filter(|a| a.node == me && REMOVED.contains(&a.server));
        let sends = to_removed.filter(|arrival| arrival.at > told + GRACE).count();
        if sends > 0 {
            late.push((me, sends));
        }
    }
    assert!(late.is_empty(), "requests to removed servers after the grace, by process: {late:?}");
}

/// A node of 300 whose process has just started with the list of before, which names `s0` and `s1`. Discovery has not answered.
fn just_started(servers: &[Server; 2]) -> Node {
    let mut config = config(&members(&[&servers[0], &servers[1]]));
    (config["settings"]["n_instances"], config["settings"]["me"]) = (json!(300), json!(0));
    Node::start_unconfirmed(&config, None)
}

/// What is newer than the list of before.
fn asked_for_news(call: &Exchange) -> bool {
    call.request.first == "GET /catalog/members?since=1&timeout_ms=0 HTTP/1.1"
}

/// Until discovery has answered, the process is not ready and sends nothing; a request that comes all the same waits, or is refused while
/// its client has time left. The first call is answered at once, also where nothing is newer.
#[test]
fn a_process_serves_once_discovery_has_told_what_is_newer_than_its_list() {
    let servers = [Server::start(), Server::start()];
    let mut node = just_started(&servers);
    let first = node.discovery.request();
    assert!(asked_for_news(&first), "{}", first.request.first);
    assert_eq!(node.health().status(), 503);
    let refused = node.client().ask(&request("update", 0.1));
    assert_eq!((refused.status(), refused.header("retry-after")), (503, Some("0.400")));
    let mut waiting = node.client();
    waiting.send(&request("update", 60.0));
    let mut left = node.client();
    left.send(&request("update", 60.0));
    // Each of them has been read before this is answered, and one has left.
    assert_eq!(node.health().status(), 503);
    drop(left);
    assert_eq!(node.health().status(), 503);
    let removal = list(2, false, &[member("s0", servers[0].address, "left")]);
    first.answer(OK, "", removal.to_string().as_bytes());
    servers[1].request().answer(OK, "", b"");
    assert_eq!(waiting.answer().status(), 200);
    assert_eq!(node.health().status(), 200);
    assert!(!servers[1].has_request(), "it was sent on for a client that had left");
    for _ in 0..16 {
        let mut client = node.client();
        client.send(&request("update", 20.0));
        servers[1].request().answer(OK, "", b"");
        assert_eq!(client.answer().status(), 200);
    }
    assert!(!servers[0].has_request(), "the removed server was sent a request");
    assert!(node.log_line_containing("the start: ").contains("discovery has confirmed the list"));
}

/// A discovery that breaks the first calls of a process is asked again soon, however many nodes there are.
#[test]
fn a_process_whose_first_calls_break_serves_once_one_is_answered() {
    let servers = [Server::start(), Server::start()];
    let mut node = just_started(&servers);
    let first = node.discovery.request();
    first.answer("503 Later", "", b"");
    let second = node.discovery.request();
    assert!(asked_for_news(&second), "{}", second.request.first);
    assert_eq!(node.health().status(), 503);
    second.answer(OK, "", list(1, false, &[]).to_string().as_bytes());
    assert!(node.log_line_containing("the start: ").contains("discovery has confirmed the list"));
    wait_until("the node is healthy", || node.health().status() == 200);
}

/// A discovery that does not answer keeps nobody from serving by the list of before.
#[test]
fn a_process_serves_by_the_list_of_before_where_discovery_does_not_answer() {
    let servers = [Server::start(), Server::start()];
    let mut node = just_started(&servers);
    let _silent = node.discovery.request();
    assert!(node.log_line_containing("the start: ").contains("not answered in time"));
    wait_until("the node is healthy", || node.health().status() == 200);
    let mut client = node.client();
    client.send(&request("update", 20.0));
    request_at_either(&servers).1.answer(OK, "", b"");
    assert_eq!(client.answer().status(), 200);
}
