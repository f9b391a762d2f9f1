//! Slow discovery, while servers begin to drain and new configurations move the node to another discovery.
//!
//! What discovery has written to a node counts as notified, and a change that discovery has counts as
//! notified at the latest 6 s after it could be read. From then on nothing new may be sent to a draining
//! server, except within the grace period.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;

use spurdrum_standin::queued::QueuedDiscovery;

use super::drains::{first_written, record_arrivals, spawn_client, GRACE, NOTIFIED_AFTER};
use super::*;

/// Reloads the node with a configuration that names another discovery address.
fn move_discovery(node: &Node, config: &mut Value, to: SocketAddr) {
    config["discovery"] = json!(to.to_string());
    node.reload(&config.to_string());
}

/// Sends requests until eight in a row were served by this server.
fn wait_until_served_only_by(node: &Node, servers: &[Server; 2], staying: usize) {
    let mut in_a_row = 0;
    wait_until("requests still go to the draining server", || {
        let mut client = node.client();
        client.send(&request("update", 20.0));
        let (index, exchange) = request_at_either(servers);
        exchange.answer(OK, "", b"");
        assert_eq!(client.answer().status(), 200);
        in_a_row = if index == staying { in_a_row + 1 } else { 0 };
        in_a_row == 8
    });
}

/// A call that waits in discovery's queue for longer than the node's call timeout must stay open: it is
/// answered in the end. If the node abandoned it, the next call would wait from the end of the queue, and
/// none would ever be answered.
#[test]
fn an_answer_that_comes_after_the_nodes_call_timeout_is_used() {
    let servers = [Server::start(), Server::start()];
    let mut config = config(&members(&[&servers[0], &servers[1]]));
    let node = Node::start(&config);
    let _watch = node.discovery.request();
    let new_discovery = Server::start();
    move_discovery(&node, &mut config, new_discovery.address);
    let mut first = new_discovery.request();
    // The node's timeout has passed for the first call, and for the second.
    let _later_calls = [new_discovery.request(), new_discovery.request()];
    assert!(!first.has_ended(), "the call that would be answered first was abandoned");
    let [leaving, staying] = [("s0", "leaving"), ("s1", "active")]
        .map(|(id, phase)| member(id, servers[usize::from(id == "s1")].address, phase));
    first.answer(OK, "", list(2, true, &[leaving, staying]).to_string().as_bytes());
    wait_until_served_only_by(&node, &servers, 1);
}

/// A new configuration moves discovery while an answer is in flight, and two more follow before the new
/// discovery has answered.
#[test]
fn answers_of_the_old_discovery_are_applied_until_the_new_one_has_answered() {
    let servers = [Server::start(), Server::start()];
    let mut config = config(&members(&[&servers[0], &servers[1]]));
    let node = Node::start(&config);
    let mut watch = node.discovery.request();
    let discoveries = [(); 3].map(|()| Server::start());
    let mut reads = discoveries.each_ref().map(|discovery| {
        move_discovery(&node, &mut config, discovery.address);
        let read = discovery.request();
        assert_eq!(read.request.first, "GET /catalog/members HTTP/1.1");
        read
    });
    assert!(!watch.has_ended(), "an answer of the former discovery may be in flight");
    assert!(!reads[0].has_ended(), "an answer of the intermediate discovery may be in flight");
    let update = list(2, false, &[member("s0", servers[0].address, "leaving")]);
    watch.answer(OK, "", update.to_string().as_bytes());
    wait_until_served_only_by(&node, &servers, 1);
    // The newest discovery's answer applies, whatever its revisions are, and all other calls are closed.
    let [middle, _, newest] = &mut reads;
    let entries = [("s0", "active", 1.0), ("s1", "leaving", 0.0)].map(|(id, phase, started)| {
        let mut entry = member(id, servers[usize::from(id == "s1")].address, phase);
        entry["up_since_ms"] = json!(started);
        entry
    });
    newest.write(&{
        let body = list(1, true, &entries).to_string();
        format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len()).into_bytes()
    });
    middle.await_end();
    wait_until_served_only_by(&node, &servers, 0);
}

/// Incident of 2026-12-02: six processes, a discovery that takes 0.2 s for each answer and also works off
/// closed calls, and four reloads in a row at each node that move it, starting right after servers begin to
/// drain. Later other servers begin to drain.
#[test]
fn drains_are_kept_through_successive_reloads_with_a_slow_discovery() {
    const NODES: usize = 6;
    const SERVERS: usize = 12;
    let discovery = QueuedDiscovery::start(Duration::from_millis(5));
    let servers: Vec<Server> = (0..SERVERS).map(|_| Server::start()).collect();
    let entry =
        |n: usize, phase: &str| (format!("s{n}"), member(&format!("s{n}"), servers[n].address, phase));
    let all: Vec<_> = (0..SERVERS).map(|index| entry(index, "active")).collect();
    let drains = [[entry(0, "leaving"), entry(1, "leaving")], [entry(2, "leaving"), entry(3, "leaving")]];
    discovery.set(&all);
    let mut config = config(&[]);
    config["settings"]["n_instances"] = json!(NODES);
    let known: Vec<Value> = all.iter().map(|(_, entry)| entry.clone()).collect();
    config["known"] = list(SERVERS as u64, true, &known);
    let nodes: Vec<(Node, Value)> = (0..NODES)
        .map(|index| {
            let mut config = config.clone();
            config["settings"]["me"] = json!(index);
            config["discovery"] = json!(discovery.listen(index).to_string());
            (Node::start(&config), config)
        })
        .collect();
    let arrivals = record_arrivals(servers);
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> =
        (0..NODES).map(|index| spawn_client(index, nodes[index].0.address, &stop)).collect();
    wait_until("each node is answered", || {
        let written = discovery.written();
        (0..NODES).all(|node| written.iter().any(|answer| answer.node == node))
    });

    discovery.set_service(Duration::from_millis(200));
    let mut changes: Vec<(Instant, u64, [usize; 2])> = Vec::new();
    changes.push((Instant::now(), discovery.set(&drains[0]), [0, 1]));
    let reloads: Vec<_> = nodes
        .into_iter()
        .enumerate()
        .map(|(index, (node, mut config))| {
            let discoveries = [(); 4].map(|()| discovery.listen(index));
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(20 * index as u64));
                for (discovery, pause) in discoveries.into_iter().zip([300, 400, 900, 0]) {
                    move_discovery(&node, &mut config, discovery);
                    thread::sleep(Duration::from_millis(pause));
                }
                node
            })
        })
        .collect();
    let nodes: Vec<Node> = reloads.into_iter().map(|reload| reload.join().expect("reloaded")).collect();
    // Waits until the first drain counts as notified by time at all nodes, and then as long for the second
    // one.
    thread::sleep((NOTIFIED_AFTER + Duration::from_secs(4)).saturating_sub(changes[0].0.elapsed()));
    changes.push((Instant::now(), discovery.set(&drains[1]), [2, 3]));
    thread::sleep(NOTIFIED_AFTER + Duration::from_secs(2));
    stop.store(true, Ordering::Relaxed);
    let served: usize = clients.into_iter().map(|client| client.join().expect("a client")).sum();
    assert!(served > 1_000, "{served} were served");

    let written = discovery.written();
    let mut broken: HashMap<(usize, u64), usize> = HashMap::new();
    for (since, revision, drained) in changes {
        for arrival in arrivals.lock().expect("no panic").iter().filter(|a| drained.contains(&a.server)) {
            let notified = first_written(&written, arrival.node, revision);
            let notified =
                notified.map_or(since + NOTIFIED_AFTER, |notified| notified.min(since + NOTIFIED_AFTER));
            if arrival.at > notified + GRACE {
                *broken.entry((arrival.node, revision)).or_default() += 1;
            }
        }
    }
    drop(nodes);
    assert!(
        broken.is_empty(),
        "sends after the grace period, by node and revision: {broken:?}; {} calls",
        discovery.calls()
    );
}
