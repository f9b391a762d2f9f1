//! Session affinity over sockets: keys stay bound to their servers through restarts of the node, drains, and
//! a binding table that is full.

use std::net::SocketAddr;
use std::path::PathBuf;

use spurdrum_standin::registry::etcd::Etcd;

use super::net::{own_address, request, Message, Node, Server};
use super::registry::{key, value, wait_for_health_text};

/// Returns an empty directory that no other test uses.
fn empty_directory(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).expect("made");
    path
}

/// Returns the node's TOML configuration. `slack` is so high that the load of servers never overrides a
/// binding: what a test sees must not depend on how fast its servers answered.
fn config_file(listen: SocketAddr, registry: &Etcd, extra_config: &str) -> String {
    let endpoints: Vec<String> = registry.uris().iter().map(|uri| format!("\"{uri}\"")).collect();
    format!(
        "[node]\nlisten = \"{listen}\"\nzone = \"a\"\n\
         [[class]]\nname = \"read\"\neffect = \"safe\"\naim_ms = 60000\ndeadline_ms = 90000\n\
         [sources.registry]\nendpoints = [{}]\n\
         [affinity]\nkey = [\"header:x-inn\"]\nslack = 1e9\n{extra_config}",
        endpoints.join(", ")
    )
}

fn with_field(name: &str, value: &str) -> String {
    request("read", 80.0).replacen("\r\n", &format!("\r\n{name}: {value}\r\n"), 1)
}

/// Sends a request and lets a server answer it. Returns the index of that server, the request as it arrived
/// there, and the client's answer.
fn exchange_via(
    node: &Node,
    servers: &[&Server],
    sent: &str,
    answer_headers: &str,
) -> (usize, Message, Message) {
    let mut client = node.client();
    client.send(sent);
    loop {
        for (index, server) in servers.iter().enumerate() {
            if let Some(exchange) = server.poll() {
                let arrived = Message {
                    first: exchange.request.first.clone(),
                    headers: exchange.request.headers.clone(),
                    body: Vec::new(),
                };
                exchange.answer(
                    "200 OK",
                    &format!("x-load: inflight=0,queue=0\r\n{answer_headers}"),
                    b"done",
                );
                let answer = client.answer();
                assert_eq!(answer.status(), 200);
                return (index, arrived, answer);
            }
        }
        std::thread::yield_now();
    }
}

fn server_for_key(node: &Node, servers: &[&Server], n: usize) -> usize {
    exchange_via(node, servers, &with_field("x-inn", &n.to_string()), "").0
}

#[test]
fn bindings_survive_restarts_and_never_lead_to_a_removed_server() {
    let registry = Etcd::start(1, None).expect("started");
    let server_list: Vec<Server> = (0..9).map(|_| Server::start()).collect();
    let servers: Vec<&Server> = server_list.iter().collect();
    (0..6).for_each(|index| {
        registry.with(|keys| keys.put(&key(&format!("s{index}")), &value(servers[index], "active")));
    });
    let store = empty_directory("lives").join("bindings.redb");
    let extra_config =
        format!("entries = 64\n[affinity.store]\npath = \"{}\"\nwrite_every_ms = 1\n", store.display());
    let start = || {
        let listen = own_address();
        let node = Node::start_from_file(listen, &config_file(listen, &registry, &extra_config));
        wait_for_health_text(&node, "of the registry 6,");
        node
    };
    let mut node = start();
    wait_for_health_text(&node, "store open");
    let bound_servers: Vec<usize> = (0..40).map(|n| server_for_key(&node, &servers, n)).collect();
    assert!((0..40).all(|n| server_for_key(&node, &servers, n) == bound_servers[n]));
    node.terminate();
    assert_eq!(node.wait().code(), Some(0));
    // Half of the servers are replaced while the node is down, and one more restarts as a new process. The
    // server that answers fastest has most keys, and which one that is changes from run to run.
    let removed = [bound_servers[0], (bound_servers[0] + 1) % 6, (bound_servers[0] + 2) % 6];
    let restarted = (bound_servers[0] + 3) % 6;
    registry.with(|keys| {
        for (n, index) in removed.iter().enumerate() {
            keys.delete(&key(&format!("s{index}")));
            keys.put(&key(&format!("s{}", n + 6)), &value(servers[n + 6], "active"));
        }
        keys.put(
            &key(&format!("s{restarted}")),
            &value(servers[restarted], "active").replace("1000000", "2000000"),
        );
    });
    let node = start();
    // Bindings to the restarted server are restored or not, depending on whether the store or the list came
    // first. They are not checked in either case.
    let health = wait_for_health_text(&node, "store open");
    let restarted_bindings = bound_servers.iter().filter(|bound_server| **bound_server == restarted).count();
    assert!((40 - restarted_bindings..=40).any(|n| health.contains(&format!("restored {n}\n"))), "{health}");
    for (n, bound_server) in bound_servers.iter().enumerate() {
        let chosen = server_for_key(&node, &servers, n);
        assert!(!removed.contains(&chosen), "a request went to a server that is gone");
        assert!(
            chosen == *bound_server || removed.contains(bound_server) || *bound_server == restarted,
            "key {n}: {bound_server} -> {chosen}"
        );
    }
    // One server drains while the node serves.
    let draining = server_for_key(&node, &servers, 0);
    let revision = registry.with(|keys| {
        keys.put(&key(&format!("s{draining}")), &value(servers[draining], "leaving"));
        keys.revision()
    });
    wait_for_health_text(&node, &format!("revision {revision};"));
    assert!((0..40).all(|n| server_for_key(&node, &servers, n) != draining));
    // Sends many more keys than the table has entries for, and kills the node.
    for n in 1_000..1_200 {
        server_for_key(&node, &servers, n);
    }
    let health = wait_for_health_text(&node, "unwritten 0;");
    let bound_count =
        health.split("affinity ").nth(1).and_then(|rest| rest.split(' ').next()).expect("a count");
    assert!(bound_count.parse::<usize>().expect("a number") <= 64, "{health}");
    let bound_servers: Vec<usize> = (0..40).map(|n| server_for_key(&node, &servers, n)).collect();
    wait_for_health_text(&node, "unwritten 0;");
    node.signal("-KILL");
    drop(node);
    registry.with(|keys| keys.put(&key(&format!("s{draining}")), &value(servers[draining], "active")));
    let node = start();
    wait_for_health_text(&node, "store open");
    let kept = (0..40).filter(|n| server_for_key(&node, &servers, *n) == bound_servers[*n]).count();
    assert!(kept >= 15, "of 64 entries for 240 keys: {kept}");
    assert!(std::fs::metadata(&store).expect("there").len() < 8 << 20);
}

#[test]
fn a_session_returns_to_the_server_that_issued_its_key() {
    let registry = Etcd::start(1, None).expect("started");
    let server_list: Vec<Server> = (0..3).map(|_| Server::start()).collect();
    let servers: Vec<&Server> = server_list.iter().collect();
    (0..3).for_each(|index| {
        registry.with(|keys| keys.put(&key(&format!("s{index}")), &value(servers[index], "active")));
    });
    let listen = own_address();
    let node = Node::start_from_file(listen, &config_file(listen, &registry, "answer = \"x-inn\"\n"));
    wait_for_health_text(&node, "of the registry 3,");
    let (mut bound_servers, mut session) = (Vec::new(), 0);
    for _ in 0..9 {
        session += 1;
        let (index, _, answer) =
            exchange_via(&node, &servers, &request("read", 80.0), &format!("x-inn: of-{session}\r\n"));
        assert_eq!(
            answer.header("x-inn"),
            Some(format!("of-{session}").as_str()),
            "the client gets the server's key"
        );
        bound_servers.push(index);
    }
    for (n, bound_server) in bound_servers.iter().enumerate() {
        let (index, arrived, answer) =
            exchange_via(&node, &servers, &with_field("x-inn", &format!("of-{}", n + 1)), "");
        assert_eq!((index, arrived.header("x-inn")), (*bound_server, Some(format!("of-{}", n + 1).as_str())));
        assert_eq!(answer.header("x-inn"), None);
    }
    // A key field that occurs twice is rejected.
    let twice = with_field("x-inn", "a").replacen("\r\n", "\r\nx-inn: b\r\n", 1);
    assert_eq!(node.client().ask(&twice).status(), 400);
}

#[test]
fn a_node_whose_store_is_in_use_serves_and_opens_it_later() {
    let registry = Etcd::start(1, None).expect("started");
    let server = Server::start();
    registry.with(|keys| keys.put(&key("s0"), &value(&server, "active")));
    let path = empty_directory("handed-over").join("bindings.redb");
    let extra_config =
        format!("[affinity.store]\npath = \"{}\"\nwrite_every_ms = 1\nretry_most_ms = 200\n", path.display());
    let start = || {
        let listen = own_address();
        let node = Node::start_from_file(listen, &config_file(listen, &registry, &extra_config));
        wait_for_health_text(&node, "of the registry 1,");
        node
    };
    let mut old = start();
    wait_for_health_text(&old, "store open");
    for n in 0..10 {
        server_for_key(&old, &[&server], n);
    }
    let new = start();
    wait_for_health_text(&new, "another process has it open");
    for n in 5..15 {
        server_for_key(&new, &[&server], n);
    }
    old.terminate();
    assert_eq!(old.wait().code(), Some(0));
    // Bindings that the new process has made itself take precedence over those that it reads from the store.
    // Five of the ten stored ones are new to it.
    let health = wait_for_health_text(&new, "store open");
    assert!(health.contains("affinity 15 of") && health.contains("restored 5\n"), "{health}");
}
