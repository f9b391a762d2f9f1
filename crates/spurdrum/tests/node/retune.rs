//! New settings while the node serves.

use super::ops::{config_with_admin, metrics, wait_until};
use super::*;

/// A node before one server, its configuration, and where operators call.
fn node() -> (Server, Node, Value, SocketAddr) {
    let server = Server::start();
    let (config, ops) = config_with_admin(&[&server]);
    let node = Node::start(&config);
    (server, node, config, ops)
}

fn reload(node: &Node, config: &str, ops: SocketAddr, key: &str) {
    let before = metrics(ops)[key].as_u64().expect("a count");
    node.reload(config);
    wait_until(|| metrics(ops)[key].as_u64() == Some(before + 1));
}

fn served(server: &Server, node: &Node, class: &str) {
    let mut client = node.client();
    client.send(&request(class, 20.0).replace("idempotency", "Idempotency"));
    server.request().answer(OK, "", b"x");
    assert_eq!(client.answer().status(), 200, "{class}");
}

#[test]
fn classes_come_and_go_and_open_requests_keep_their_rules() {
    let (server, node, mut config, ops) = node();
    let mut client = node.client();
    client.send(&request("pay", 20.0));
    let open = server.request();
    // `pay` may be repeated now, there is a new class, and `read` is gone.
    let mut classes = config["settings"]["classes"].as_array().expect("a list").clone();
    classes.remove(0);
    classes[1]["effect"] = json!("retryable");
    let mut fresh = classes[0].clone();
    fresh["name"] = json!("write");
    classes.insert(0, fresh);
    config["settings"]["classes"] = json!(classes);
    config["settings"]["allowed"]["max_attempts"] = json!(2);
    reload(&node, &config.to_string(), ops, "reconfig_ok");
    let write = request("update", 20.0).replace("x-class: update", "x-class: write");
    let mut other = node.client();
    other.send(&write);
    server.request().answer(OK, "", b"x");
    assert_eq!(other.answer().status(), 200);
    // What clients of the old settings still send is understood, under the old rules.
    served(&server, &node, "read");
    served(&server, &node, "update");
    served(&server, &node, "pay");
    // Taken as unsafe, it is unsafe: it may have run.
    open.answer("500 Broken", "", b"");
    assert_eq!(client.answer().status(), 502);
    assert!(!server.has_request());
    let shown = metrics(ops);
    assert_eq!(shown["calls"]["write"]["success"], 1);
    assert_eq!(
        (&shown["calls"]["pay"]["success"], &shown["calls"]["pay"]["failure"]),
        (&json!(1), &json!(1))
    );
}

#[test]
fn a_file_with_a_fault_is_turned_down_whole() {
    let (server, mut node, config, ops) = node();
    let with = |change: &dyn Fn(&mut Value)| {
        let mut changed = config.clone();
        // What would show if a part of it were taken.
        changed["settings"]["classes"][0]["name"] = json!("other");
        change(&mut changed);
        changed.to_string()
    };
    let class = |config: &mut Value, key: &str, value: Value| config["settings"]["classes"][1][key] = value;
    let whole = config.to_string();
    let mut bad = vec![String::new(), " ".into(), "null".into(), "[]".into(), "{}".into()];
    bad.extend((1..8).map(|part| whole[..whole.len() * part / 8].to_owned()));
    bad.extend([&whole[..whole.len() - 1], &whole[..1]].map(str::to_owned));
    for value in [json!(0), json!(-5), json!("400"), json!(null), json!([1]), json!(true)] {
        bad.push(with(&|config| class(config, "deadline_ms", value.clone())));
        bad.push(with(&|config| config["settings"]["allowed"]["max_attempts"] = value.clone()));
    }
    bad.push(with(&|config| config["settings"]["allowed"]["max_attempts"] = json!(1.5)));
    bad.push(with(&|config| class(config, "deadline_ms", json!(400))).replace(":400", ":1e999"));
    bad.push(with(&|config| class(config, "name", json!("pay"))));
    for keys in [&["settings"][..], &["seed"], &["known"], &["limits"], &["limits", "sockets"], &["name"]] {
        bad.push(with(&|config| drop(lose(config, keys))));
    }
    for key in ["allowed", "classes", "rules", "stats", "parties"] {
        bad.push(with(&|config| drop(lose(config, &["settings", key]))));
    }
    for key in ["max_attempts", "cancel", "most_held"] {
        bad.push(with(&|config| drop(lose(config, &["settings", "allowed", key]))));
    }
    for key in ["name", "effect", "deadline_ms", "group", "dedup_window_ms"] {
        bad.push(with(&|config| {
            config["settings"]["classes"][1].as_object_mut().expect("a class").remove(key);
        }));
    }
    for (at, text) in bad.iter().enumerate() {
        reload(&node, text, ops, "reconfig_failed");
        let shown = metrics(ops);
        assert_eq!(shown["reconfig_ok"], 0, "file {at} was taken: {text}");
        assert_eq!(shown["calls"].get("other"), None, "a part of file {at} was taken");
    }
    served(&server, &node, "read");
    node.terminate();
    assert!(node.wait().success());
    // Each has its line, which names what is wrong.
    let mut lines = 0;
    while lines < bad.len() {
        let line = node.next_log_line();
        assert!(!line.is_empty(), "{lines} lines for {} files", bad.len());
        if line.contains("the configuration stays as it was") {
            assert!(line.contains('`'), "{line}");
            lines += 1;
        }
    }
}

/// Takes a key out.
fn lose(config: &mut Value, keys: &[&str]) -> Value {
    let (last, path) = keys.split_last().expect("a key");
    let at = path.iter().fold(config, |at, key| &mut at[*key]);
    at.as_object_mut().expect("an object").remove(*last).expect("it was there")
}

#[test]
fn after_a_bad_file_the_next_good_one_holds() {
    let (server, node, mut config, ops) = node();
    reload(&node, "", ops, "reconfig_failed");
    config["settings"]["classes"][0]["name"] = json!("look");
    reload(&node, &config.to_string(), ops, "reconfig_ok");
    let look = request("read", 20.0).replace("x-class: read", "x-class: look");
    let mut client = node.client();
    client.send(&look);
    server.request().answer(OK, "", b"x");
    assert_eq!(client.answer().status(), 200);
}
