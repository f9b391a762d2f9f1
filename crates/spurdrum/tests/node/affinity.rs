//! Keys that stay with their servers, on sockets: through restarts of the node, drains, and a table that is full.

use std::net::SocketAddr;
use std::path::PathBuf;

use spurdrum_standin::registry::etcd::Etcd;

use super::net::{own_address, request, Message, Node, Server};
use super::registry::{key, value, wait_for_health_text};

/// A folder that no other test uses.
fn folder(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).expect("made");
    path
}

/// Preferences count for far more than counts here: what a test sees does not hang on how fast its servers answered.
fn file(listen: SocketAddr, registry: &Etcd, more: &str) -> String {
    let endpoints: Vec<String> = registry.uris().iter().map(|uri| format!("\"{uri}\"")).collect();
    format!(
        "[node]\nlisten = \"{listen}\"\nzone = \"a\"\n\
         [[class]]\nname = \"read\"\neffect = \"safe\"\naim_ms = 60000\ndeadline_ms = 90000\n\
         [sources.registry]\nendpoints = [{}]\n\
         [affinity]\nkey = [\"header:x-inn\"]\nslack = 1e9\n{more}",
        endpoints.join(", ")
    )
}

fn with_field(name: &str, value: &str) -> String {
    request("read", 80.0).replacen("\r\n", &format!("\r\n{name}: {value}\r\n"), 1)
}

/// Sends a request; which of these servers got it, what it was, and the answer.
fn play(node: &Node, servers: &[&Server], sent: &str, gives: &str) -> (usize, Message, Message) {
    let mut client = node.client();
    client.send(sent);
    loop {
        for (at, server) in servers.iter().enumerate() {
            if let Some(exchange) = server.poll() {
                let got = Message {
                    first: exchange.request.first.clone(),
                    headers: exchange.request.headers.clone(),
                    body: Vec::new(),
                };
                exchange.answer("200 OK", &format!("x-load: inflight=0,queue=0\r\n{gives}"), b"done");
                let answer = client.answer();
                assert_eq!(answer.status(), 200);
                return (at, got, answer);
            }
        }
        std::thread::yield_now();
    }
}

fn inn(node: &Node, servers: &[&Server], n: usize) -> usize {
    play(node, servers, &with_field("x-inn", &n.to_string()), "").0
}

#[test]
fn bindings_outlive_the_node_and_never_follow_a_server_that_is_gone() {
    let registry = Etcd::start(1, None).expect("started");
    let all: Vec<Server> = (0..9).map(|_| Server::start()).collect();
    let servers: Vec<&Server> = all.iter().collect();
    (0..6).for_each(|at| {
        registry.with(|keys| keys.put(&key(&format!("s{at}")), &value(servers[at], "active")));
    });
    let store = folder("lives").join("bindings.redb");
    let more =
        format!("entries = 64\n[affinity.store]\npath = \"{}\"\nwrite_every_ms = 1\n", store.display());
    let start = || {
        let listen = own_address();
        let node = Node::start_from_file(listen, &file(listen, &registry, &more));
        wait_for_health_text(&node, "of the registry 6,");
        node
    };
    let mut node = start();
    wait_for_health_text(&node, "store open");
    let homes: Vec<usize> = (0..40).map(|n| inn(&node, &servers, n)).collect();
    assert!((0..40).all(|n| inn(&node, &servers, n) == homes[n]));
    node.terminate();
    assert_eq!(node.wait().code(), Some(0));
    // Half of the servers are replaced while the node is away, and one more is a new process. Who is fast has most keys, and
    // who that is changes from run to run.
    let gone = [homes[0], (homes[0] + 1) % 6, (homes[0] + 2) % 6];
    let renewed = (homes[0] + 3) % 6;
    registry.with(|keys| {
        for (n, at) in gone.iter().enumerate() {
            keys.delete(&key(&format!("s{at}")));
            keys.put(&key(&format!("s{}", n + 6)), &value(servers[n + 6], "active"));
        }
        keys.put(
            &key(&format!("s{renewed}")),
            &value(servers[renewed], "active").replace("1000000", "2000000"),
        );
    });
    let node = start();
    // Those of the new process are restored or not, as the file or the list came first; they count in neither case.
    let told = wait_for_health_text(&node, "store open");
    let lost = homes.iter().filter(|home| **home == renewed).count();
    assert!((40 - lost..=40).any(|n| told.contains(&format!("restored {n}\n"))), "{told}");
    for (n, home) in homes.iter().enumerate() {
        let to = inn(&node, &servers, n);
        assert!(!gone.contains(&to), "work follows a server that is gone");
        assert!(to == *home || gone.contains(home) || *home == renewed, "inn {n}: {home} -> {to}");
    }
    // One drains, while the node serves.
    let drained = inn(&node, &servers, 0);
    let revision = registry.with(|keys| {
        keys.put(&key(&format!("s{drained}")), &value(servers[drained], "leaving"));
        keys.revision()
    });
    wait_for_health_text(&node, &format!("revision {revision};"));
    assert!((0..40).all(|n| inn(&node, &servers, n) != drained));
    // Many more keys than there is room for, and a node that is killed.
    for n in 1_000..1_200 {
        inn(&node, &servers, n);
    }
    let told = wait_for_health_text(&node, "unwritten 0;");
    let bound = told.split("affinity ").nth(1).and_then(|rest| rest.split(' ').next()).expect("told");
    assert!(bound.parse::<usize>().expect("a number") <= 64, "{told}");
    let homes: Vec<usize> = (0..40).map(|n| inn(&node, &servers, n)).collect();
    wait_for_health_text(&node, "unwritten 0;");
    node.signal("-KILL");
    drop(node);
    registry.with(|keys| keys.put(&key(&format!("s{drained}")), &value(servers[drained], "active")));
    let node = start();
    wait_for_health_text(&node, "store open");
    let kept = (0..40).filter(|n| inn(&node, &servers, *n) == homes[*n]).count();
    assert!(kept >= 15, "of 64 places for 240 keys: {kept}");
    assert!(std::fs::metadata(&store).expect("there").len() < 8 << 20);
}

#[test]
fn a_session_goes_back_to_the_server_that_gave_it_out() {
    let registry = Etcd::start(1, None).expect("started");
    let all: Vec<Server> = (0..3).map(|_| Server::start()).collect();
    let servers: Vec<&Server> = all.iter().collect();
    (0..3).for_each(|at| {
        registry.with(|keys| keys.put(&key(&format!("s{at}")), &value(servers[at], "active")));
    });
    let listen = own_address();
    let node = Node::start_from_file(listen, &file(listen, &registry, "answer = \"x-inn\"\n"));
    wait_for_health_text(&node, "of the registry 3,");
    let (mut homes, mut session) = (Vec::new(), 0);
    for _ in 0..9 {
        session += 1;
        let (at, _, answer) =
            play(&node, &servers, &request("read", 80.0), &format!("x-inn: of-{session}\r\n"));
        assert_eq!(answer.header("x-inn"), Some(format!("of-{session}").as_str()), "its client is told");
        homes.push(at);
    }
    for (n, home) in homes.iter().enumerate() {
        let (at, got, answer) = play(&node, &servers, &with_field("x-inn", &format!("of-{}", n + 1)), "");
        assert_eq!((at, got.header("x-inn")), (*home, Some(format!("of-{}", n + 1).as_str())));
        assert_eq!(answer.header("x-inn"), None);
    }
    // A key that comes twice is no key.
    let twice = with_field("x-inn", "a").replacen("\r\n", "\r\nx-inn: b\r\n", 1);
    assert_eq!(node.client().ask(&twice).status(), 400);
}

#[test]
fn a_node_that_finds_its_file_in_use_serves_and_has_it_later() {
    let registry = Etcd::start(1, None).expect("started");
    let server = Server::start();
    registry.with(|keys| keys.put(&key("s0"), &value(&server, "active")));
    let path = folder("handed-over").join("bindings.redb");
    let more =
        format!("[affinity.store]\npath = \"{}\"\nwrite_every_ms = 1\nretry_most_ms = 200\n", path.display());
    let start = || {
        let listen = own_address();
        let node = Node::start_from_file(listen, &file(listen, &registry, &more));
        wait_for_health_text(&node, "of the registry 1,");
        node
    };
    let mut old = start();
    wait_for_health_text(&old, "store open");
    for n in 0..10 {
        inn(&old, &[&server], n);
    }
    let new = start();
    wait_for_health_text(&new, "another process has it open");
    for n in 5..15 {
        inn(&new, &[&server], n);
    }
    old.terminate();
    assert_eq!(old.wait().code(), Some(0));
    // What it has learned itself goes before what it reads: five of the ten are new to it.
    let told = wait_for_health_text(&new, "store open");
    assert!(told.contains("affinity 15 of") && told.contains("restored 5\n"), "{told}");
}
