//! Reloading the configuration while the node serves.

use super::ops::{config_with_admin, metrics, wait_until};
use super::*;

/// Starts a node with one server. Returns both, the configuration and the admin address.
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

fn serve_one(server: &Server, node: &Node, class: &str) {
    let mut client = node.client();
    client.send(&request(class, 20.0).replace("idempotency", "Idempotency"));
    server.request().answer(OK, "", b"x");
    assert_eq!(client.answer().status(), 200, "{class}");
}

#[test]
fn classes_are_added_and_removed_and_pending_requests_keep_their_rules() {
    let (server, node, mut config, ops) = node();
    let mut client = node.client();
    client.send(&request("pay", 20.0));
    let pending = server.request();
    // In the new settings `pay` is safe, there is a new class, and `read` is gone.
    let mut classes = config["settings"]["classes"].as_array().expect("a list").clone();
    classes.remove(0);
    classes[1]["effect"] = json!("retryable");
    let mut new_class = classes[0].clone();
    new_class["name"] = json!("write");
    classes.insert(0, new_class);
    config["settings"]["classes"] = json!(classes);
    config["settings"]["allowed"]["max_attempts"] = json!(2);
    reload(&node, &config.to_string(), ops, "reconfig_ok");
    let write = request("update", 20.0).replace("x-class: update", "x-class: write");
    let mut other = node.client();
    other.send(&write);
    server.request().answer(OK, "", b"x");
    assert_eq!(other.answer().status(), 200);
    // Requests of clients that still use the old settings are accepted under the old rules.
    serve_one(&server, &node, "read");
    serve_one(&server, &node, "update");
    serve_one(&server, &node, "pay");
    // The pending request was accepted as unsafe and stays unsafe: it may have run, so it is not retried.
    pending.answer("500 Broken", "", b"");
    assert_eq!(client.answer().status(), 502);
    assert!(!server.has_request());
    let reported = metrics(ops);
    assert_eq!(reported["calls"]["write"]["success"], 1);
    assert_eq!(
        (&reported["calls"]["pay"]["success"], &reported["calls"]["pay"]["failure"]),
        (&json!(1), &json!(1))
    );
}

#[test]
fn a_file_with_a_fault_is_rejected_as_a_whole() {
    let (server, mut node, config, ops) = node();
    let with_change = |change: &dyn Fn(&mut Value)| {
        let mut changed = config.clone();
        // Another valid change, which would show if a part of the file were applied.
        changed["settings"]["classes"][0]["name"] = json!("other");
        change(&mut changed);
        changed.to_string()
    };
    let class = |config: &mut Value, key: &str, value: Value| config["settings"]["classes"][1][key] = value;
    let complete = config.to_string();
    let mut invalid = vec![String::new(), " ".into(), "null".into(), "[]".into(), "{}".into()];
    invalid.extend((1..8).map(|part| complete[..complete.len() * part / 8].to_owned()));
    invalid.extend([&complete[..complete.len() - 1], &complete[..1]].map(str::to_owned));
    for value in [json!(0), json!(-5), json!("400"), json!(null), json!([1]), json!(true)] {
        invalid.push(with_change(&|config| class(config, "deadline_ms", value.clone())));
        invalid.push(with_change(&|config| config["settings"]["allowed"]["max_attempts"] = value.clone()));
    }
    invalid.push(with_change(&|config| config["settings"]["allowed"]["max_attempts"] = json!(1.5)));
    invalid.push(with_change(&|config| class(config, "deadline_ms", json!(400))).replace(":400", ":1e999"));
    invalid.push(with_change(&|config| class(config, "name", json!("pay"))));
    for keys in [&["settings"][..], &["seed"], &["known"], &["limits"], &["limits", "sockets"], &["name"]] {
        invalid.push(with_change(&|config| drop(remove_key(config, keys))));
    }
    for key in ["allowed", "classes", "rules", "stats", "parties"] {
        invalid.push(with_change(&|config| drop(remove_key(config, &["settings", key]))));
    }
    for key in ["max_attempts", "cancel", "most_held"] {
        invalid.push(with_change(&|config| drop(remove_key(config, &["settings", "allowed", key]))));
    }
    for key in ["name", "effect", "deadline_ms", "group", "dedup_window_ms"] {
        invalid.push(with_change(&|config| {
            config["settings"]["classes"][1].as_object_mut().expect("a class").remove(key);
        }));
    }
    for (index, text) in invalid.iter().enumerate() {
        reload(&node, text, ops, "reconfig_failed");
        let reported = metrics(ops);
        assert_eq!(reported["reconfig_ok"], 0, "file {index} was applied: {text}");
        assert_eq!(reported["calls"].get("other"), None, "a part of file {index} was applied");
    }
    serve_one(&server, &node, "read");
    node.terminate();
    assert!(node.wait().success());
    // Each rejected file has one log line that names the fault.
    let mut lines = 0;
    while lines < invalid.len() {
        let line = node.next_log_line();
        assert!(!line.is_empty(), "{lines} lines for {} files", invalid.len());
        if line.contains("the configuration stays as it was") {
            assert!(line.contains('`'), "{line}");
            lines += 1;
        }
    }
}

/// Removes a key and returns its value.
fn remove_key(config: &mut Value, keys: &[&str]) -> Value {
    let (last, parents) = keys.split_last().expect("a key");
    let parent = parents.iter().fold(config, |parent, key| &mut parent[*key]);
    parent.as_object_mut().expect("an object").remove(*last).expect("it was there")
}

#[test]
fn a_valid_file_is_applied_after_an_invalid_one() {
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

/// Guards against a request that waits for the first list and gets the rules of another class by a reload: an
/// unsafe one was run at two servers, and then refused.
#[test]
fn requests_that_wait_for_the_first_list_keep_their_rules_through_reloads() {
    let servers = [Server::start(), Server::start()];
    let (mut config, ops) = config_with_admin(&[&servers[0], &servers[1]]);
    let node = Node::start_unconfirmed(&config, None);
    let first_call = node.discovery.request();
    let mut waiting = [node.client(), node.client()];
    waiting.iter_mut().for_each(|client| client.send(&request("pay", 20.0)));
    wait_until(|| metrics(ops)["inflight"] == 2);
    // Each new configuration drops a class, and adds a safe one where the index of `pay` was.
    for name in ["list", "show"] {
        let classes = config["settings"]["classes"].as_array_mut().expect("a list");
        classes.remove(0);
        let mut safe = classes[0].clone();
        (safe["name"], safe["effect"]) = (json!(name), json!("retryable"));
        classes.push(safe);
        reload(&node, &config.to_string(), ops, "reconfig_ok");
    }
    first_call.answer(OK, "", list(1, false, &[]).to_string().as_bytes());
    for client in &mut waiting {
        request_at_either(&servers).1.answer("500 Broken", "", b"");
        assert_eq!(client.answer().status(), 502, "it may have run");
    }
    assert!(!servers.iter().any(Server::has_request), "an unsafe request was sent again");
}

/// Guards against a request whose body is still on its way getting the rules of a reload that came after its head.
#[test]
fn a_request_whose_head_was_read_before_a_reload_keeps_its_rules() {
    let servers = [Server::start(), Server::start()];
    let (mut config, ops) = config_with_admin(&[&servers[0], &servers[1]]);
    let node = Node::start(&config);
    let text = request("update", 20.0);
    let (first, rest) = text.split_at(text.len() - 2);
    let mut client = node.client();
    client.send(first);
    // Connections are accepted and read in the order in which they came.
    (0..2).for_each(|_| assert_eq!(node.health().status(), 200));
    config["settings"]["classes"][1]["effect"] = json!("fragile");
    reload(&node, &config.to_string(), ops, "reconfig_ok");
    client.send(rest);
    // It came as one that may be repeated.
    request_at_either(&servers).1.answer("500 Broken", "", b"");
    request_at_either(&servers).1.answer(OK, "", b"x");
    assert_eq!(client.answer().status(), 200);
    // One that comes now may not.
    client.send(&request("update", 20.0));
    request_at_either(&servers).1.answer("500 Broken", "", b"");
    assert_eq!(client.answer().status(), 502);
}
