//! A node that takes its servers from a registry.

use std::net::SocketAddr;

use spurdrum_standin::registry::etcd::Etcd;

use super::net::{own_address, request, Node, Server};

fn file(listen: SocketAddr, registry: &Etcd, more: &str) -> String {
    let endpoints: Vec<String> = registry.uris().iter().map(|uri| format!("\"{uri}\"")).collect();
    format!(
        "[node]\nlisten = \"{listen}\"\nzone = \"a\"\n\
         [[class]]\nname = \"read\"\neffect = \"safe\"\naim_ms = 1000\ndeadline_ms = 20000\n\
         [sources.registry]\nendpoints = [{}]\n{more}",
        endpoints.join(", ")
    )
}

pub fn key(id: &str) -> String {
    format!("/spurdrum/servers/{id}")
}

pub fn value(server: &Server, phase: &str) -> String {
    format!(r#"{{"address":"{}","zone":"a","phase":"{phase}","started_ms":1000000}}"#, server.address)
}

/// What health tells, once it tells this.
pub fn wait_for_health_text(node: &Node, told: &str) -> String {
    loop {
        let answer = node.client().ask("GET /_health HTTP/1.1\r\nhost: n\r\n\r\n");
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        if text.contains(told) {
            return text;
        }
        std::thread::yield_now();
    }
}

/// Sends one request, which this server must get.
fn goes_to(node: &Node, server: &Server) {
    let mut client = node.client();
    client.send(&request("read", 20.0));
    server.request().answer("200 OK", "", b"done");
    assert_eq!(client.answer().status(), 200);
}

#[test]
fn servers_come_and_drain_by_the_registry_through_breaks_and_compactions() {
    let registry = Etcd::start(2, None).expect("started");
    let (one, other) = (Server::start(), Server::start());
    registry.with(|keys| keys.put(&key("one"), &value(&one, "active")));
    let listen = own_address();
    let node = Node::start_from_file(listen, &file(listen, &registry, ""));
    wait_for_health_text(&node, "of the registry 1,");
    goes_to(&node, &one);
    // What is leaving gets nothing new from the moment on that the node shows the change.
    let revision = registry.with(|keys| {
        keys.put(&key("other"), &value(&other, "active"));
        keys.put(&key("one"), &value(&one, "leaving"))
    });
    wait_for_health_text(&node, &format!("revision {revision};"));
    (0..20).for_each(|_| goes_to(&node, &other));
    // It is gone, back and known by its start, while the node is cut off and history is forgotten.
    for endpoint in 0..2 {
        registry.pause(endpoint, true);
    }
    registry.with(|keys| {
        keys.delete(&key("one"));
        keys.put(&key("one"), &value(&one, "active"));
        keys.delete(&key("other"));
        keys.compact(keys.revision());
    });
    for endpoint in 0..2 {
        registry.break_streams(endpoint);
        registry.pause(endpoint, false);
    }
    wait_for_health_text(&node, "compactions 1");
    wait_for_health_text(&node, "of the registry 1,");
    (0..20).for_each(|_| goes_to(&node, &one));
}

#[test]
fn a_value_that_cannot_be_read_holds_back_one_server_and_is_logged_once() {
    let registry = Etcd::start(1, None).expect("started");
    let (one, other) = (Server::start(), Server::start());
    registry.with(|keys| {
        keys.put(&key("one"), &value(&one, "active"));
        keys.put(&key("other"), &value(&other, "asleep"));
    });
    let listen = own_address();
    let mut node = Node::start_from_file(listen, &file(listen, &registry, "value_bytes = 200\n"));
    wait_for_health_text(&node, "of the registry 1,");
    (0..5).for_each(|_| goes_to(&node, &one));
    let revision = registry.with(|keys| {
        keys.put(&key("other"), &value(&other, "active"));
        keys.put(&key("one"), &"x".repeat(1 << 20))
    });
    wait_for_health_text(&node, &format!("revision {revision};"));
    (0..20).for_each(|_| goes_to(&node, &other));
    let mut faults = Vec::new();
    node.terminate();
    assert_eq!(node.wait().code(), Some(0));
    loop {
        let line = node.next_log_line();
        if line.is_empty() {
            break;
        }
        if line.contains("holds no server") {
            faults.push(line);
        }
    }
    assert_eq!(faults.len(), 2, "{faults:?}");
    assert!(faults[0].contains("`phase`") && faults[1].contains("1048576 bytes"), "{faults:?}");
}

#[test]
fn a_registry_that_is_emptied_at_once_is_doubted_but_a_drain_is_kept() {
    let registry = Etcd::start(1, None).expect("started");
    let servers: Vec<Server> = (0..5).map(|_| Server::start()).collect();
    registry.with(|keys| {
        for (n, server) in servers.iter().enumerate() {
            keys.put(&key(&n.to_string()), &value(server, "active"));
        }
    });
    let listen = own_address();
    let node = Node::start_from_file(listen, &file(listen, &registry, ""));
    wait_for_health_text(&node, "of the registry 5,");
    let emptied: Vec<_> = (0..5).map(|n| (key(&n.to_string()).into_bytes(), None, 0)).collect();
    registry.with(|keys| keys.commit(&emptied));
    wait_for_health_text(&node, "kept in doubt 5");
    let revision = registry.with(|keys| {
        for (n, server) in servers.iter().enumerate().skip(1) {
            keys.put(&key(&n.to_string()), &value(server, "leaving"));
        }
        keys.revision()
    });
    wait_for_health_text(&node, &format!("revision {revision};"));
    (0..10).for_each(|_| goes_to(&node, &servers[0]));
}

#[test]
fn a_node_registers_itself_and_takes_itself_out_before_it_ends() {
    let registry = Etcd::start(2, None).expect("started");
    let server = Server::start();
    registry.with(|keys| keys.put(&key("one"), &value(&server, "active")));
    let listen = own_address();
    let more = "[sources.registry.register]\nkey = \"/nodes/n0\"\nttl_ms = 2000\ndrain_ms = 300\n";
    let mut node = Node::start_from_file(listen, &file(listen, &registry, more));
    let phase = || {
        let state = registry.with(|keys| keys.state(keys.revision()));
        let value =
            state.get(b"/nodes/n0".as_slice()).map(|value| String::from_utf8_lossy(value).into_owned());
        value.map(|value| {
            assert!(value.contains(&listen.to_string()), "{value}");
            value.contains("leaving")
        })
    };
    let stands = |wanted: Option<bool>| {
        while phase() != wanted {
            std::thread::yield_now();
        }
    };
    stands(Some(false));
    // Its lease is lost: it comes back under another.
    for lease in 1..10 {
        registry.with(|keys| keys.revoke(lease));
    }
    stands(Some(false));
    wait_for_health_text(&node, "of the registry 1,");
    node.terminate();
    stands(Some(true));
    // It still serves while others hear of it.
    goes_to(&node, &server);
    stands(None);
    assert_eq!(node.wait().code(), Some(0));
    assert_eq!(registry.with(|keys| keys.leases()), 0);
}
