//! A node that takes its servers from a registry.

use std::net::SocketAddr;

use spurdrum_standin::registry::etcd::Etcd;

use super::net::{own_address, request, Node, Server};

fn config_file(listen: SocketAddr, registry: &Etcd, extra_config: &str) -> String {
    let endpoints: Vec<String> = registry.uris().iter().map(|uri| format!("\"{uri}\"")).collect();
    format!(
        "[node]\nlisten = \"{listen}\"\nzone = \"a\"\n\
         [[class]]\nname = \"read\"\neffect = \"safe\"\naim_ms = 1000\ndeadline_ms = 20000\n\
         [sources.registry]\nendpoints = [{}]\n{extra_config}",
        endpoints.join(", ")
    )
}

pub fn key(id: &str) -> String {
    format!("/spurdrum/servers/{id}")
}

pub fn value(server: &Server, phase: &str) -> String {
    format!(r#"{{"address":"{}","zone":"a","phase":"{phase}","started_ms":1000000}}"#, server.address)
}

/// Polls the health endpoint until its text contains `expected`, and returns that text.
pub fn wait_for_health_text(node: &Node, expected: &str) -> String {
    loop {
        let answer = node.client().ask("GET /_health HTTP/1.1\r\nhost: n\r\n\r\n");
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        if text.contains(expected) {
            return text;
        }
        std::thread::yield_now();
    }
}

/// Sends one request, which must arrive at this server.
fn expect_served_by(node: &Node, server: &Server) {
    let mut client = node.client();
    client.send(&request("read", 20.0));
    server.request().answer("200 OK", "", b"done");
    assert_eq!(client.answer().status(), 200);
}

#[test]
fn the_registrys_servers_are_followed_through_disconnects_and_compactions() {
    let registry = Etcd::start(2, None).expect("started");
    let (first, second) = (Server::start(), Server::start());
    registry.with(|keys| keys.put(&key("one"), &value(&first, "active")));
    let listen = own_address();
    let node = Node::start_from_file(listen, &config_file(listen, &registry, ""));
    wait_for_health_text(&node, "of the registry 1,");
    expect_served_by(&node, &first);
    // Once the node shows the change, a draining server gets nothing new.
    let revision = registry.with(|keys| {
        keys.put(&key("other"), &value(&second, "active"));
        keys.put(&key("one"), &value(&first, "leaving"))
    });
    wait_for_health_text(&node, &format!("revision {revision};"));
    (0..20).for_each(|_| expect_served_by(&node, &second));
    // While the node is disconnected, `one` is removed and added again as active with the same start time, and
    // the history of the registry is compacted, so that the watch cannot be resumed from its revision.
    for endpoint in 0..2 {
        registry.pause(endpoint, true);
    }
    registry.with(|keys| {
        keys.delete(&key("one"));
        keys.put(&key("one"), &value(&first, "active"));
        keys.delete(&key("other"));
        keys.compact(keys.revision());
    });
    for endpoint in 0..2 {
        registry.break_streams(endpoint);
        registry.pause(endpoint, false);
    }
    wait_for_health_text(&node, "compactions 1");
    wait_for_health_text(&node, "of the registry 1,");
    (0..20).for_each(|_| expect_served_by(&node, &first));
}

#[test]
fn an_invalid_value_affects_only_its_server_and_is_logged_once() {
    let registry = Etcd::start(1, None).expect("started");
    let (first, second) = (Server::start(), Server::start());
    registry.with(|keys| {
        keys.put(&key("one"), &value(&first, "active"));
        keys.put(&key("other"), &value(&second, "asleep"));
    });
    let listen = own_address();
    let mut node = Node::start_from_file(listen, &config_file(listen, &registry, "value_bytes = 200\n"));
    wait_for_health_text(&node, "of the registry 1,");
    (0..5).for_each(|_| expect_served_by(&node, &first));
    let revision = registry.with(|keys| {
        keys.put(&key("other"), &value(&second, "active"));
        keys.put(&key("one"), &"x".repeat(1 << 20))
    });
    wait_for_health_text(&node, &format!("revision {revision};"));
    (0..20).for_each(|_| expect_served_by(&node, &second));
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
fn a_registry_that_is_emptied_at_once_is_not_believed_but_a_drain_is_applied() {
    let registry = Etcd::start(1, None).expect("started");
    let servers: Vec<Server> = (0..5).map(|_| Server::start()).collect();
    registry.with(|keys| {
        for (n, server) in servers.iter().enumerate() {
            keys.put(&key(&n.to_string()), &value(server, "active"));
        }
    });
    let listen = own_address();
    let node = Node::start_from_file(listen, &config_file(listen, &registry, ""));
    wait_for_health_text(&node, "of the registry 5,");
    let deletions: Vec<_> = (0..5).map(|n| (key(&n.to_string()).into_bytes(), None, 0)).collect();
    registry.with(|keys| keys.commit(&deletions));
    wait_for_health_text(&node, "kept in doubt 5");
    let revision = registry.with(|keys| {
        for (n, server) in servers.iter().enumerate().skip(1) {
            keys.put(&key(&n.to_string()), &value(server, "leaving"));
        }
        keys.revision()
    });
    wait_for_health_text(&node, &format!("revision {revision};"));
    (0..10).for_each(|_| expect_served_by(&node, &servers[0]));
}

#[test]
fn a_node_registers_itself_and_deregisters_before_it_ends() {
    let registry = Etcd::start(2, None).expect("started");
    let server = Server::start();
    registry.with(|keys| keys.put(&key("one"), &value(&server, "active")));
    let listen = own_address();
    let extra_config = "[sources.registry.register]\nkey = \"/nodes/n0\"\nttl_ms = 2000\ndrain_ms = 300\n";
    let mut node = Node::start_from_file(listen, &config_file(listen, &registry, extra_config));
    let phase = || {
        let state = registry.with(|keys| keys.state(keys.revision()));
        let value =
            state.get(b"/nodes/n0".as_slice()).map(|value| String::from_utf8_lossy(value).into_owned());
        value.map(|value| {
            assert!(value.contains(&listen.to_string()), "{value}");
            value.contains("leaving")
        })
    };
    let wait_for_phase = |wanted: Option<bool>| {
        while phase() != wanted {
            std::thread::yield_now();
        }
    };
    wait_for_phase(Some(false));
    // The node's lease is revoked: it registers again under a new one.
    for lease in 1..10 {
        registry.with(|keys| keys.revoke(lease));
    }
    wait_for_phase(Some(false));
    wait_for_health_text(&node, "of the registry 1,");
    node.terminate();
    wait_for_phase(Some(true));
    // The node still serves while others learn that it drains.
    expect_served_by(&node, &server);
    wait_for_phase(None);
    assert_eq!(node.wait().code(), Some(0));
    assert_eq!(registry.with(|keys| keys.leases()), 0);
}
