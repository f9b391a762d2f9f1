//! Settings with a part missing, and classes with extreme limits: a node either serves with them or exits
//! with one line that names the key.

use super::*;
use std::io::BufRead;
use std::process::Stdio;

/// Appends the JSON pointer of every key of an object, and of the objects and lists in it.
fn pointers(value: &Value, prefix: &str, pointers_found: &mut Vec<String>) {
    let entries: Vec<(String, &Value)> = match value {
        Value::Object(fields) => fields.iter().map(|(key, value)| (key.clone(), value)).collect(),
        Value::Array(entries) => {
            entries.iter().enumerate().map(|(n, value)| (n.to_string(), value)).collect()
        }
        _ => return,
    };
    for (key, value) in entries {
        let pointer = format!("{prefix}/{key}");
        pointers(value, &pointer, pointers_found);
        pointers_found.push(pointer);
    }
}

fn without(config: &Value, pointer: &str) -> Value {
    let mut config = config.clone();
    let (parent, key) = pointer.rsplit_once('/').expect("a pointer");
    match config.pointer_mut(parent).expect("there") {
        Value::Object(fields) => drop(fields.remove(key)),
        Value::Array(entries) => drop(entries.remove(key.parse().expect("an index"))),
        _ => unreachable!("a key's parent"),
    }
    config
}

/// Starts a node with this configuration. Returns whether it listens; if it exits instead, it must have
/// printed one line that names a key.
fn starts(config: &Value, case: &str) -> bool {
    let (address, discovery) = (own_address(), Server::start());
    let mut command = command(&config.to_string(), address, discovery.address);
    let mut child = command.stderr(Stdio::piped()).stdout(Stdio::null()).spawn().expect("started");
    let since = Instant::now();
    let status = loop {
        if TcpStream::connect(address).is_ok() {
            break None;
        }
        if let Some(status) = child.try_wait().expect("waited for") {
            break Some(status);
        }
        assert!(since.elapsed() < LONG, "{case}: the node neither listens nor exits");
        std::thread::sleep(Duration::from_millis(2));
    };
    if let Some(status) = status {
        let lines: Vec<String> = std::io::BufReader::new(child.stderr.take().expect("piped"))
            .lines()
            .map_while(Result::ok)
            .collect();
        assert!(
            !status.success() && lines.len() == 1 && lines[0].contains('`'),
            "{case}: {status}, {lines:?}"
        );
        return false;
    }
    let members = [member("s0", own_address(), "active")];
    discovery.request().answer(OK, "", list(u64::from(u32::MAX), true, &members).to_string().as_bytes());
    let health = || Client::connect(address).ask("GET /_health HTTP/1.1\r\nhost: n\r\n\r\n").status();
    wait_until(case, || health() == 200);
    child.kill().and_then(|()| child.wait()).expect("ended");
    true
}

/// The keys that the platform always provides and for which there is no default.
const REQUIRED: [&str; 33] = [
    "/known/complete",
    "/known/members/0/cell",
    "/known/members/0/flavor",
    "/known/members/0/host_port",
    "/known/members/0/id",
    "/known/members/0/locality",
    "/known/members/0/phase",
    "/known/members/0/size",
    "/known/members/0/up_since_ms",
    "/known/members",
    "/known/revision",
    "/known",
    "/limits/sockets",
    "/limits",
    "/seed",
    "/settings/allowed/conn_idle_ms",
    "/settings/allowed/dial_timeout_ms",
    "/settings/allowed/most_held",
    "/settings/allowed",
    "/settings/classes/0/deadline_ms",
    "/settings/classes/0/effect",
    "/settings/classes/0/name",
    "/settings/classes/1/deadline_ms",
    "/settings/classes/1/dedup_window_ms",
    "/settings/classes/1/effect",
    "/settings/classes/1/group",
    "/settings/classes/1/name",
    "/settings/classes/2/deadline_ms",
    "/settings/classes/2/effect",
    "/settings/classes/2/name",
    "/settings/classes",
    "/settings/parties/0/name",
    "/settings",
];

#[test]
fn a_node_starts_without_any_one_setting_or_names_it() {
    let server = Server::start();
    let full_config = config(&members(&[&server]));
    let mut all = Vec::new();
    pointers(&full_config, "", &mut all);
    assert!(all.len() > 50);
    let required: Vec<&str> = all
        .iter()
        .filter(|pointer| !starts(&without(&full_config, pointer), pointer))
        .map(String::as_str)
        .collect();
    assert_eq!(required, REQUIRED);
    let mut minimal = full_config.clone();
    for key in ["parties", "zones", "kinds", "stats", "rules", "discovery"] {
        minimal["settings"].as_object_mut().expect("an object").remove(key);
    }
    assert!(starts(&minimal, "without all of them"));
}

#[test]
fn classes_with_extreme_limits_are_served_or_answered() {
    for (key, value) in
        [("dedup_window_ms", 0.0), ("deadline_ms", 1.0), ("promise_ms", 0.001), ("deadline_ms", 3.6e6)]
    {
        for attempts in [1, 1_000_000] {
            let server = Server::start();
            let mut config = config(&members(&[&server]));
            for class in 0..3 {
                config["settings"]["classes"][class][key] = json!(value);
            }
            config["settings"]["allowed"]["max_attempts"] = json!(attempts);
            let node = Node::start(&config);
            let case = format!("{key} {value}, {attempts} attempts");
            for class in ["read", "update", "pay"] {
                let mut client = node.client();
                client.send(&request(class, 20.0));
                // The request is forwarded, or answered without that.
                if let Some(exchange) = forwarded_or_answered(&client, &server) {
                    assert!(exchange.request.header("x-request-id").is_some(), "{case}");
                    exchange.answer(OK, "", b"");
                }
                let status = client.answer().status();
                assert!([200, 502, 503, 504].contains(&status), "{case}: {class} {status}");
            }
            // A client whose deadline is shorter than a round trip.
            let status = node.client().ask(&request("read", 0.000_001)).status();
            assert!([200, 502, 503, 504].contains(&status), "{case}: {status}");
        }
    }
}
