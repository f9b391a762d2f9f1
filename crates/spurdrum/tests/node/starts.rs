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

use super::drains::{answering, client_of, first_written, GRACE, TOLD_AFTER};
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
                let client = client_of(me, node.address, &ends);
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
        let by_clock = (removed_at + TOLD_AFTER).max(started);
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
