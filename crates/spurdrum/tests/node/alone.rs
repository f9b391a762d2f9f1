//! A node that is told everything by one file: no catalog, no variables.

use std::process::Command;

use super::net::{own_address, request, Client, Node, Server};

fn file(listen: std::net::SocketAddr, servers: &[&Server]) -> String {
    let servers: Vec<String> =
        servers.iter().map(|server| format!("{{ address = \"{}\" }}", server.address)).collect();
    format!(
        "[node]\nlisten = \"{listen}\"\ntenants = [\"acme\"]\nretry_after_most_ms = 400\n\
         [[class]]\nname = \"read\"\neffect = \"safe\"\naim_ms = 1000\ndeadline_ms = 2000\n\
         [[class]]\nname = \"pay\"\neffect = \"unsafe\"\ndeadline_ms = 2000\n\
         [sources.static]\nservers = [{}]\n",
        servers.join(", ")
    )
}

#[test]
fn a_fleet_needs_no_catalog() {
    let (one, other) = (Server::start(), Server::start());
    let listen = own_address();
    let node = Node::start_from_file(listen, &file(listen, &[&one]));
    let mut client = Client::connect(listen);
    client.send(&request("read", 20.0));
    one.request().answer("200 OK", "", b"one");
    assert_eq!(client.answer().body, b"one");
    // The list is the file's, as it is read again.
    node.replace_config_file(&file(listen, &[&other]));
    node.send_sighup();
    loop {
        client.send(&request("read", 20.0));
        // Until the signal has been heard, the old one is asked.
        let (exchange, moved) = loop {
            match (one.poll(), other.poll()) {
                (Some(exchange), _) => break (exchange, false),
                (_, Some(exchange)) => break (exchange, true),
                _ => std::thread::yield_now(),
            }
        };
        exchange.answer("200 OK", "", b"done");
        assert_eq!(client.answer().status(), 200);
        if moved {
            break;
        }
    }
}

#[test]
fn a_file_is_checked_without_being_played() {
    let listen = own_address();
    let server = Server::start();
    let sound = file(listen, &[&server]);
    let etcd = "[sources.registry]\nendpoints = [\"http://127.0.0.1:2379\"]\n";
    let cases = [
        (sound.clone(), None),
        ("[connections]\nclients_hold = 0.333\n".into(), None),
        (sound.replace("listen =", "listne ="), Some("`listne`")),
        (sound.replace("effect = \"safe\"", "effect = \"mostly\""), Some("`effect`")),
        (sound.replace("effect = \"safe\"", "effect = \"keyed\""), Some("`class.effect`")),
        (sound.replace("deadline_ms = 2000", "deadline_ms = -1"), Some("`class.deadline_ms`")),
        (
            sound.replace("[sources.static]", "[sources.catalog]\nwait_least_ms = 0\n[sources.static]"),
            Some("`sources.catalog.wait_least_ms`"),
        ),
        (
            sound.replace(
                "[sources.static]",
                "[sources.catalog]\naddress = \"127.0.0.1:1\"\n[sources.static]",
            ),
            Some("`sources.static.servers`"),
        ),
        (format!("{sound}{etcd}"), None),
        (format!("{sound}{etcd}[sources.merge]\nfloor = 0.5\n"), None),
        (format!("{sound}{etcd}[sources.merge]\nfloor = 2\n"), Some("`sources.merge.floor`")),
        (format!("{sound}[sources.merge]\nfloor = 0.5\n"), Some("`sources.merge.`")),
        (format!("{sound}{etcd}lag_ms = 0\n"), Some("`sources.registry.lag_ms`")),
        (format!("{sound}{etcd}key = \"{{id}}\"\n"), Some("`sources.registry.key`")),
        (format!("{sound}{etcd}user = \"node\"\n"), Some("`sources.registry.user`")),
        (format!("{sound}{etcd}service = \"web\"\n"), Some("`sources.registry.service`")),
        (format!("{sound}{etcd}ca_file = \"ca.pem\"\n"), Some("`sources.registry.endpoints`")),
        (format!("{sound}{}ca_file = \"ca.pem\"\n", etcd.replace("http://", "https://")), None),
        (format!("{sound}{etcd}cert_file = \"own.pem\"\n"), Some("`sources.registry.ca_file`")),
        (format!("{sound}{etcd}kind = \"consul\"\n"), Some("`sources.registry.service`")),
        (format!("{sound}{etcd}kind = \"consul\"\nservice = \"web\"\n"), None),
        (format!("{sound}{}", etcd.replace("http://", "https://")), Some("`sources.registry.endpoints`")),
        (format!("{sound}{etcd}[sources.registry.register]\nttl_ms = 3000\n"), None),
        (
            format!("{sound}{etcd}[sources.registry.register]\nttl_ms = 3\n"),
            Some("`sources.registry.register.ttl_ms`"),
        ),
        (etcd.into(), Some("`sources.registry.endpoints`")),
        ("[sources.static]\nservers = []\n".into(), Some("`sources.static.servers`")),
        (sound.replace("name = \"pay\"", "name = \"read\""), Some("`class.name`")),
    ];
    let affinity = |more: &str| format!("{sound}[affinity]\nkey = [\"tenant\"]\n{more}");
    let cases = cases.into_iter().chain([
        (affinity("first = \"ring\"\n[affinity.store]\npath = \"b.redb\"\n"), None),
        (affinity("").replace("[\"tenant\"]", "[]"), Some("`affinity.key`")),
        (affinity("").replace("\"tenant\"]", "\"cookie\"]"), Some("`affinity.key`")),
        (affinity("answer = \"x-session\"\n"), Some("`affinity.answer`")),
        (affinity("slack = 0.5\n"), Some("`affinity.slack`")),
        (affinity("entries = 1\n"), Some("`affinity.entries`")),
        (affinity("classes = [\"rite\"]\n"), Some("`affinity.classes`")),
        (affinity("[affinity.store]\npath = \"b\"\nshare = 0.0\n"), Some("`affinity.store.share`")),
        (affinity("[affinity.store]\n"), Some("`[affinity.store]`")),
    ]);
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("checked.toml");
    for (text, wrong) in cases {
        std::fs::write(&path, &text).expect("written");
        let checked =
            Command::new(env!("CARGO_BIN_EXE_spurdrum")).arg("check").arg(&path).output().expect("run");
        let said = String::from_utf8_lossy(&checked.stderr).into_owned();
        assert_eq!(checked.status.success(), wrong.is_none(), "{text}: {said}");
        if let Some(key) = wrong {
            assert!(said.contains(key) && said.contains("checked.toml:"), "{key}: {said}");
            assert_eq!(said.trim_end().lines().count(), 1, "{said}");
        }
    }
}
