//! Discovery that is slow, while servers begin to drain and new configurations move it.
//!
//! What discovery has written to a node counts as told, and whatever it has counts as told 6 s after it could be asked. From then on
//! nothing new may be sent to a server that drains, but for the grace.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;

use spurdrum_standin::queued::QueuedDiscovery;

use super::drains::{answering, first_written, spawn_client, GRACE, NOTIFIED_AFTER};
use super::*;

/// Replaces the configuration by one that names another discovery.
fn move_discovery(node: &Node, config: &mut Value, to: SocketAddr) {
    config["discovery"] = json!(to.to_string());
    node.reload(&config.to_string());
}

/// Lets requests pass until eight in a row were served by this server.
fn served_by_none_but(node: &Node, servers: &[Server; 2], staying: usize) {
    let mut in_a_row = 0;
    wait_until("requests still go to the server that drains", || {
        let mut client = node.client();
        client.send(&request("update", 20.0));
        let (at, exchange) = request_at_either(servers);
        exchange.answer(OK, "", b"");
        assert_eq!(client.answer().status(), 200);
        in_a_row = if at == staying { in_a_row + 1 } else { 0 };
        in_a_row == 8
    });
}

/// A call that waits its turn for longer than the node's patience is answered in the end, unless the node gives it up: then the
/// next one waits from the end of the queue, and none is ever answered.
#[test]
fn a_discovery_that_is_slower_than_the_nodes_patience_is_heard() {
    let servers = [Server::start(), Server::start()];
    let mut config = config(&members(&[&servers[0], &servers[1]]));
    let node = Node::start(&config);
    let _watch = node.discovery.request();
    let elsewhere = Server::start();
    move_discovery(&node, &mut config, elsewhere.address);
    let mut first = elsewhere.request();
    // The node's patience with the first call is over, and with the second.
    let _others = [elsewhere.request(), elsewhere.request()];
    assert!(!first.has_ended(), "the call that would be answered first is given up");
    let [leaving, staying] = [("s0", "leaving"), ("s1", "active")]
        .map(|(id, phase)| member(id, servers[usize::from(id == "s1")].address, phase));
    first.answer(OK, "", list(2, true, &[leaving, staying]).to_string().as_bytes());
    served_by_none_but(&node, &servers, 1);
}

/// A new configuration moves discovery while an answer is on its way, and others follow before the new one has answered.
#[test]
fn what_discovery_wrote_before_the_new_one_has_answered_is_heeded() {
    let servers = [Server::start(), Server::start()];
    let mut config = config(&members(&[&servers[0], &servers[1]]));
    let node = Node::start(&config);
    let mut watch = node.discovery.request();
    let places = [(); 3].map(|()| Server::start());
    let mut reads = places.each_ref().map(|place| {
        move_discovery(&node, &mut config, place.address);
        let read = place.request();
        assert_eq!(read.request.first, "GET /catalog/members HTTP/1.1");
        read
    });
    assert!(!watch.has_ended(), "an answer of the former discovery may be on its way");
    assert!(!reads[0].has_ended(), "an answer of a discovery in between may be on its way");
    let news = list(2, false, &[member("s0", servers[0].address, "leaving")]);
    watch.answer(OK, "", news.to_string().as_bytes());
    served_by_none_but(&node, &servers, 1);
    // The newest one counts, whatever its versions are, and all others are closed.
    let [between, _, newest] = &mut reads;
    let entries = [("s0", "active", 1.0), ("s1", "leaving", 0.0)].map(|(id, phase, started)| {
        let mut entry = member(id, servers[usize::from(id == "s1")].address, phase);
        entry["up_since_ms"] = json!(started);
        entry
    });
    newest.write(&{
        let body = list(1, true, &entries).to_string();
        format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len()).into_bytes()
    });
    between.await_end();
    served_by_none_but(&node, &servers, 0);
}

/// Incident of 2026-12-02. Six processes, a discovery that takes 0.2 s for an answer and works off what was closed, and four reloads in a
/// row at each node that move it, from right after servers begin to drain. Later others begin to drain.
#[test]
fn reloads_in_a_row_before_a_slow_discovery_break_no_drain() {
    const NODES: usize = 6;
    const SERVERS: usize = 12;
    let discovery = QueuedDiscovery::start(Duration::from_millis(5));
    let servers: Vec<Server> = (0..SERVERS).map(|_| Server::start()).collect();
    let entry =
        |at: usize, phase: &str| (format!("s{at}"), member(&format!("s{at}"), servers[at].address, phase));
    let all: Vec<_> = (0..SERVERS).map(|at| entry(at, "active")).collect();
    let drains = [[entry(0, "leaving"), entry(1, "leaving")], [entry(2, "leaving"), entry(3, "leaving")]];
    discovery.set(&all);
    let mut config = config(&[]);
    config["settings"]["n_instances"] = json!(NODES);
    let known: Vec<Value> = all.iter().map(|(_, entry)| entry.clone()).collect();
    config["known"] = list(SERVERS as u64, true, &known);
    let nodes: Vec<(Node, Value)> = (0..NODES)
        .map(|at| {
            let mut config = config.clone();
            config["settings"]["me"] = json!(at);
            config["discovery"] = json!(discovery.listen(at).to_string());
            (Node::start(&config), config)
        })
        .collect();
    let arrivals = answering(servers);
    let ends = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..NODES).map(|at| spawn_client(at, nodes[at].0.address, &ends)).collect();
    wait_until("each node is answered", || {
        let written = discovery.written();
        (0..NODES).all(|node| written.iter().any(|answer| answer.node == node))
    });

    discovery.set_service(Duration::from_millis(200));
    let mut made: Vec<(Instant, u64, [usize; 2])> = Vec::new();
    made.push((Instant::now(), discovery.set(&drains[0]), [0, 1]));
    let reloads: Vec<_> = nodes
        .into_iter()
        .enumerate()
        .map(|(at, (node, mut config))| {
            let places = [(); 4].map(|()| discovery.listen(at));
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(20 * at as u64));
                for (place, pause) in places.into_iter().zip([300, 400, 900, 0]) {
                    move_discovery(&node, &mut config, place);
                    thread::sleep(Duration::from_millis(pause));
                }
                node
            })
        })
        .collect();
    let nodes: Vec<Node> = reloads.into_iter().map(|reload| reload.join().expect("reloaded")).collect();
    // Until the first drain has been told to all by the clock, and then for as long with the second one.
    thread::sleep((NOTIFIED_AFTER + Duration::from_secs(4)).saturating_sub(made[0].0.elapsed()));
    made.push((Instant::now(), discovery.set(&drains[1]), [2, 3]));
    thread::sleep(NOTIFIED_AFTER + Duration::from_secs(2));
    ends.store(true, Ordering::Relaxed);
    let served: usize = clients.into_iter().map(|client| client.join().expect("a client")).sum();
    assert!(served > 1_000, "{served} were served");

    let written = discovery.written();
    let mut broken: HashMap<(usize, u64), usize> = HashMap::new();
    for (since, revision, drained) in made {
        for arrival in arrivals.lock().expect("no panic").iter().filter(|a| drained.contains(&a.server)) {
            let told = first_written(&written, arrival.node, revision);
            let told = told.map_or(since + NOTIFIED_AFTER, |told| told.min(since + NOTIFIED_AFTER));
            if arrival.at > told + GRACE {
                *broken.entry((arrival.node, revision)).or_default() += 1;
            }
        }
    }
    drop(nodes);
    assert!(
        broken.is_empty(),
        "sends after the grace, by node and version: {broken:?}; {} calls",
        discovery.calls()
    );
}
