//! A node that is configured by one file only: no catalog, no environment variables.

use std::process::Command;

use super::net::{own_address, request, Client, Node, Server};

fn config_file(listen: std::net::SocketAddr, servers: &[&Server]) -> String {
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
fn a_node_serves_from_a_static_list_without_a_catalog() {
    let (one, other) = (Server::start(), Server::start());
    let listen = own_address();
    let node = Node::start_from_file(listen, &config_file(listen, &[&one]));
    let mut client = Client::connect(listen);
    client.send(&request("read", 20.0));
    one.request().answer("200 OK", "", b"one");
    assert_eq!(client.answer().body, b"one");
    // After a reload, the list is that of the new file.
    node.replace_config_file(&config_file(listen, &[&other]));
    node.send_sighup();
    loop {
        client.send(&request("read", 20.0));
        // The old server gets requests until the signal has been handled.
        let (exchange, reloaded) = loop {
            match (one.poll(), other.poll()) {
                (Some(exchange), _) => break (exchange, false),
                (_, Some(exchange)) => break (exchange, true),
                _ => std::thread::yield_now(),
            }
        };
        exchange.answer("200 OK", "", b"done");
        assert_eq!(client.answer().status(), 200);
        if reloaded {
            break;
        }
    }
}

#[test]
fn a_file_is_checked_without_starting_the_node() {
    let listen = own_address();
    let server = Server::start();
    let valid = config_file(listen, &[&server]);
    let registry = "[sources.registry]\nendpoints = [\"http://127.0.0.1:2379\"]\n";
    let cases = [
        (valid.clone(), None),
        ("[connections]\nclients_hold = 0.333\n".into(), None),
        (valid.replace("listen =", "listne ="), Some("`listne`")),
        (valid.replace("effect = \"safe\"", "effect = \"mostly\""), Some("`effect`")),
        (valid.replace("effect = \"safe\"", "effect = \"keyed\""), Some("`class.effect`")),
        (valid.replace("deadline_ms = 2000", "deadline_ms = -1"), Some("`class.deadline_ms`")),
        (
            valid.replace("[sources.static]", "[sources.catalog]\nwait_least_ms = 0\n[sources.static]"),
            Some("`sources.catalog.wait_least_ms`"),
        ),
        (
            valid.replace(
                "[sources.static]",
                "[sources.catalog]\naddress = \"127.0.0.1:1\"\n[sources.static]",
            ),
            Some("`sources.static.servers`"),
        ),
        (format!("{valid}{registry}"), None),
        (format!("{valid}{registry}[sources.merge]\nfloor = 0.5\n"), None),
        (format!("{valid}{registry}[sources.merge]\nfloor = 2\n"), Some("`sources.merge.floor`")),
        (format!("{valid}[sources.merge]\nfloor = 0.5\n"), Some("`sources.merge.`")),
        (format!("{valid}{registry}lag_ms = 0\n"), Some("`sources.registry.lag_ms`")),
        (format!("{valid}{registry}key = \"{{id}}\"\n"), Some("`sources.registry.key`")),
        (format!("{valid}{registry}user = \"node\"\n"), Some("`sources.registry.user`")),
        (format!("{valid}{registry}service = \"web\"\n"), Some("`sources.registry.service`")),
        (format!("{valid}{registry}ca_file = \"ca.pem\"\n"), Some("`sources.registry.endpoints`")),
        (format!("{valid}{}ca_file = \"ca.pem\"\n", registry.replace("http://", "https://")), None),
        (format!("{valid}{registry}cert_file = \"own.pem\"\n"), Some("`sources.registry.ca_file`")),
        (format!("{valid}{registry}kind = \"consul\"\n"), Some("`sources.registry.service`")),
        (format!("{valid}{registry}kind = \"consul\"\nservice = \"web\"\n"), None),
        (format!("{valid}{}", registry.replace("http://", "https://")), Some("`sources.registry.endpoints`")),
        (format!("{valid}{registry}[sources.registry.register]\nttl_ms = 3000\n"), None),
        (
            format!("{valid}{registry}[sources.registry.register]\nttl_ms = 3\n"),
            Some("`sources.registry.register.ttl_ms`"),
        ),
        (registry.into(), Some("`sources.registry.endpoints`")),
        ("[sources.static]\nservers = []\n".into(), Some("`sources.static.servers`")),
        (valid.replace("name = \"pay\"", "name = \"read\""), Some("`class.name`")),
    ];
    let affinity = |more: &str| format!("{valid}[affinity]\nkey = [\"tenant\"]\n{more}");
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
    for (text, wrong_key) in cases {
        std::fs::write(&path, &text).expect("written");
        let output =
            Command::new(env!("CARGO_BIN_EXE_spurdrum")).arg("check").arg(&path).output().expect("run");
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.success(), wrong_key.is_none(), "{text}: {stderr}");
        if let Some(key) = wrong_key {
            assert!(stderr.contains(key) && stderr.contains("checked.toml:"), "{key}: {stderr}");
            assert_eq!(stderr.trim_end().lines().count(), 1, "{stderr}");
        }
    }
}
