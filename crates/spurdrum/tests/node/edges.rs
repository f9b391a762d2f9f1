//! Settings that lack a part, and classes whose limits are at their edges: a node serves by them, or ends with one line that names the
//! key.

use super::*;
use std::io::BufRead;
use std::process::Stdio;

/// Every key of an object, and of the objects and lists in it, as a JSON pointer.
fn pointers(value: &Value, at: &str, to: &mut Vec<String>) {
    let entries: Vec<(String, &Value)> = match value {
        Value::Object(fields) => fields.iter().map(|(key, value)| (key.clone(), value)).collect(),
        Value::Array(entries) => {
            entries.iter().enumerate().map(|(n, value)| (n.to_string(), value)).collect()
        }
        _ => return,
    };
    for (key, value) in entries {
        let pointer = format!("{at}/{key}");
        pointers(value, &pointer, to);
        to.push(pointer);
    }
}

fn without(config: &Value, pointer: &str) -> Value {
    let mut config = config.clone();
    let (parent, key) = pointer.rsplit_once('/').expect("a pointer");
    match config.pointer_mut(parent).expect("there") {
        Value::Object(fields) => drop(fields.remove(key)),
        Value::Array(entries) => drop(entries.remove(key.parse().expect("a place"))),
        _ => unreachable!("a key's parent"),
    }
    config
}

/// Starts with this configuration: true where it listens, false where it ends with one line that names a key.
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
        assert!(since.elapsed() < LONG, "{case}: it neither listens nor ends");
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

/// What the platform's pages always state and nothing can be guessed in place of.
const NEEDED: [&str; 33] = [
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
fn settings_that_lack_any_one_part_start_a_node_or_are_named() {
    let server = Server::start();
    let whole = config(&members(&[&server]));
    let mut all = Vec::new();
    pointers(&whole, "", &mut all);
    assert!(all.len() > 50);
    let needed: Vec<&str> = all
        .iter()
        .filter(|pointer| !starts(&without(&whole, pointer), pointer))
        .map(String::as_str)
        .collect();
    assert_eq!(needed, NEEDED);
    let mut bare = whole.clone();
    for key in ["parties", "zones", "kinds", "stats", "rules", "discovery"] {
        bare["settings"].as_object_mut().expect("an object").remove(key);
    }
    assert!(starts(&bare, "without all of them"));
}

#[test]
fn classes_with_limits_at_their_edges_are_served_or_answered() {
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
                // It is sent on, or answered without that.
                if let Some(got) = forwarded_or_answered(&client, &server) {
                    assert!(got.request.header("x-request-id").is_some(), "{case}");
                    got.answer(OK, "", b"");
                }
                let status = client.answer().status();
                assert!([200, 502, 503, 504].contains(&status), "{case}: {class} {status}");
            }
            // A client that waits less than a round trip takes.
            let status = node.client().ask(&request("read", 0.000_001)).status();
            assert!([200, 502, 503, 504].contains(&status), "{case}: {status}");
        }
    }
}
