//! The admin endpoint: readiness, metrics, and what they show of requests and servers.

use super::*;

/// Sends one line to the admin endpoint at `address` and returns the whole response.
pub fn admin_call(address: SocketAddr, line: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("connected");
    stream.set_read_timeout(Some(LONG)).expect("set");
    stream.write_all(format!("{line}\n").as_bytes()).expect("written");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("answered");
    answer
}

/// Returns the metrics that the admin endpoint reports.
pub fn metrics(address: SocketAddr) -> Value {
    let answer = admin_call(address, "telemetry");
    let metrics = answer.strip_suffix("\nEND\n").expect("an end");
    serde_json::from_str(metrics).expect("JSON")
}

/// Returns a configuration with an admin address, and that address.
pub fn config_with_admin(servers: &[&Server]) -> (Value, SocketAddr) {
    let (mut config, ops) = (config(&members(servers)), own_address());
    config["ops"] = json!(ops.to_string());
    (config, ops)
}

/// Polls until the condition is true. Metrics may be counted a moment after the client has its answer.
pub fn wait_until(what: impl FnMut() -> bool) {
    net::wait_until("the expected state is not reached", what);
}

/// Waits until the process with this admin address can serve.
pub fn ready(address: SocketAddr) {
    net::wait_until("the process is not ready", || {
        TcpStream::connect(address).is_ok() && admin_call(address, "readyz").starts_with("YES")
    });
}

#[test]
fn metrics_match_what_clients_and_servers_saw() {
    let servers = [Server::start(), Server::start()];
    let (config, ops) = config_with_admin(&[&servers[0], &servers[1]]);
    let node = Node::start(&config);
    assert_eq!(admin_call(ops, "readyz"), "YES ready\n");
    let mut client = node.client();
    for _ in 0..3 {
        client.send(&request("read", 20.0));
        request_at_either(&servers).1.answer(OK, "", b"x");
        assert_eq!(client.answer().status(), 200);
    }
    // A request that may have run fails; one that is known not to have run on any server is refused.
    client.send(&request("pay", 20.0));
    request_at_either(&servers).1.answer("500 Broken", "", b"");
    assert_eq!(client.answer().status(), 502);
    client.send(&request("pay", 20.0));
    for _ in 0..2 {
        request_at_either(&servers).1.answer("503 Busy", "x-not-run: 1\r\n", b"");
    }
    request_at_either(&servers).1.answer("503 Busy", "x-not-run: 1\r\n", b"");
    assert_eq!(client.answer().status(), 503);
    client.send(&request("unheard-of", 20.0));
    assert_eq!(client.answer().status(), 400);
    client.send(&request("update", 20.0));
    let pending = request_at_either(&servers).1;
    wait_until(|| metrics(ops)["backend_calls"] == 8);
    let reported = metrics(ops);
    let none = json!({"success": 0, "busy": 0, "failure": 0});
    assert_eq!(reported["calls"]["read"], json!({"success": 3, "busy": 0, "failure": 0}));
    assert_eq!(reported["calls"]["pay"], json!({"success": 0, "busy": 1, "failure": 1}));
    assert_eq!(reported["calls"]["update"], none);
    assert_eq!(reported["calls"].as_object().map(serde_json::Map::len), Some(3), "{reported}");
    assert_eq!((&reported["inflight"], &reported["hosts_listed"]), (&json!(1), &json!(2)));
    pending.answer(OK, "", b"x");
    assert_eq!(client.answer().status(), 200);
    wait_until(|| metrics(ops)["inflight"] == 0);
    assert_eq!(metrics(ops)["calls"]["update"]["success"], 1);
}

#[test]
fn a_failing_server_is_reported_as_down() {
    let server = Server::start();
    let dead = own_address();
    let members = [member("dead", dead, "active"), member("s", server.address, "active")];
    let ops = own_address();
    let mut config = config(&members);
    config["ops"] = json!(ops.to_string());
    let node = Node::start(&config);
    let mut client = node.client();
    assert_eq!(metrics(ops)["hosts_down"], 0);
    wait_until(|| {
        client.send(&request("read", 20.0));
        server.request().answer(OK, "", b"x");
        assert_eq!(client.answer().status(), 200);
        metrics(ops)["hosts_down"] == 1
    });
    assert_eq!(metrics(ops)["hosts_listed"], 2);
}

#[test]
fn silent_and_incomplete_admin_calls_do_not_block_others() {
    let server = Server::start();
    let (config, ops) = config_with_admin(&[&server]);
    let _node = Node::start(&config);
    let mut open_calls: Vec<TcpStream> = Vec::new();
    for i in 0..64 {
        let mut stream = TcpStream::connect(ops).expect("connected");
        if i % 2 == 0 {
            stream.write_all(b"tele").expect("written");
        }
        open_calls.push(stream);
    }
    assert_eq!(admin_call(ops, "readyz"), "YES ready\n");
    assert!(admin_call(ops, "what?").starts_with("NO "));
    assert!(metrics(ops)["inflight"] == 0);
}

#[test]
fn a_node_that_is_ending_or_knows_no_server_is_not_ready() {
    let server = Server::start();
    let (config, ops) = config_with_admin(&[&server]);
    let node = Node::start(&config);
    let mut client = node.client();
    client.send(&request("pay", 20.0));
    let pending = server.request();
    node.terminate();
    wait_until(|| admin_call(ops, "readyz") == "NO ending\n");
    pending.answer(OK, "", b"x");
    assert_eq!(client.answer().status(), 200);
    let (empty, ops) = config_with_admin(&[]);
    let _node = Node::start(&empty);
    assert!(admin_call(ops, "readyz").starts_with("NO "));
}

/// A seeded run of mixed endings. The metrics must never be ahead of what clients and servers counted
/// themselves, and must match them exactly at the end.
#[test]
fn a_long_run_of_mixed_endings_is_counted_exactly() {
    let server = Server::start();
    let (mut config, ops) = config_with_admin(&[&server]);
    // A single attempt each, so that the test alone decides how each request ends.
    config["settings"]["allowed"]["max_attempts"] = json!(1);
    let node = Node::start(&config);
    let mut random = fastrand::Rng::with_seed(32);
    let classes = ["read", "update", "pay"];
    let (mut counts, mut attempts) = ([[0_u64; 3]; 3], 0_u64);
    for round in 0..120 {
        let class_index = random.usize(0..3);
        let mut client = node.client();
        client.send(&request(classes[class_index], 20.0));
        // While its only server is ejected, the node refuses the request at once; a request that reaches the
        // server gets some answer.
        let exchange = loop {
            if let Some(exchange) = server.poll() {
                break Some(exchange);
            }
            client.stream.get_ref().set_read_timeout(Some(Duration::from_millis(2))).expect("set");
            if client.stream.get_ref().peek(&mut [0]).is_ok_and(|n| n > 0) {
                break server.poll();
            }
        };
        client.stream.get_ref().set_read_timeout(Some(LONG)).expect("set");
        if let Some(mut exchange) = exchange {
            attempts += 1;
            match random.usize(0..6) {
                0 => exchange.answer("500 Broken", "", b""),
                1 => exchange.answer("503 Busy", "x-not-run: 1\r\n", b""),
                2 => exchange.write(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf"),
                3 => exchange.answer(OK, "", &[b'x'; 100_000]),
                _ => exchange.answer(OK, "", b"x"),
            }
        }
        let result = match client.answer().status() {
            200 => 0,
            429 | 503 => 1,
            _ => 2,
        };
        counts[class_index][result] += 1;
        if round % 10 == 0 {
            let reported = metrics(ops);
            let sum = |key: &str| {
                classes.iter().map(|c| reported["calls"][c][key].as_u64().expect("a count")).sum::<u64>()
            };
            assert!(sum("success") + sum("busy") + sum("failure") <= round + 1);
            assert!(reported["backend_calls"].as_u64() <= Some(attempts));
        }
    }
    let matches = || {
        let reported = metrics(ops);
        let class = |(class_index, class): (usize, &&str)| {
            let [success, busy, failure] = counts[class_index];
            reported["calls"][class] == json!({"success": success, "busy": busy, "failure": failure})
        };
        classes.iter().enumerate().all(class)
            && reported["backend_calls"] == attempts
            && reported["inflight"] == 0
    };
    wait_until(matches);
    assert!(
        counts.iter().all(|class| class.iter().sum::<u64>() > 20) && attempts > 60,
        "{counts:?} {attempts}"
    );
}
