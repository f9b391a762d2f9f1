//! Operators' calls, and two processes on one address.

use super::*;

/// Asks operators' address one line; all that comes back.
pub fn call(address: SocketAddr, line: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("connected");
    stream.set_read_timeout(Some(LONG)).expect("set");
    stream.write_all(format!("{line}\n").as_bytes()).expect("written");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("answered");
    answer
}

/// The figures.
pub fn figures(address: SocketAddr) -> Value {
    let answer = call(address, "telemetry");
    let figures = answer.strip_suffix("\nEND\n").expect("an end");
    serde_json::from_str(figures).expect("JSON")
}

/// A configuration with an address for operators.
pub fn operated(servers: &[&Server]) -> (Value, SocketAddr) {
    let (mut config, ops) = (config(&members(servers)), own_address());
    config["ops"] = json!(ops.to_string());
    (config, ops)
}

/// Asks until it is true: what is counted may come a moment after the answer.
pub fn until(what: impl FnMut() -> bool) {
    net::until("it does not come", what);
}

#[test]
fn figures_match_what_clients_and_servers_saw() {
    let servers = [Server::start(), Server::start()];
    let (config, ops) = operated(&[&servers[0], &servers[1]]);
    let node = Node::start(&config);
    assert_eq!(call(ops, "readyz"), "YES ready\n");
    let mut client = node.client();
    for _ in 0..3 {
        client.send(&request("read", 20.0));
        either(&servers).1.answer(OK, "", b"x");
        assert_eq!(client.answer().status(), 200);
    }
    // One that may have run fails; one that never ran anywhere is refused.
    client.send(&request("pay", 20.0));
    either(&servers).1.answer("500 Broken", "", b"");
    assert_eq!(client.answer().status(), 502);
    client.send(&request("pay", 20.0));
    for _ in 0..2 {
        either(&servers).1.answer("503 Busy", "x-not-run: 1\r\n", b"");
    }
    either(&servers).1.answer("503 Busy", "x-not-run: 1\r\n", b"");
    assert_eq!(client.answer().status(), 503);
    client.send(&request("unheard-of", 20.0));
    assert_eq!(client.answer().status(), 400);
    client.send(&request("update", 20.0));
    let open = either(&servers).1;
    until(|| figures(ops)["backend_calls"] == 8);
    let shown = figures(ops);
    let none = json!({"success": 0, "busy": 0, "failure": 0});
    assert_eq!(shown["calls"]["read"], json!({"success": 3, "busy": 0, "failure": 0}));
    assert_eq!(shown["calls"]["pay"], json!({"success": 0, "busy": 1, "failure": 1}));
    assert_eq!(shown["calls"]["update"], none);
    assert_eq!(shown["calls"].as_object().map(serde_json::Map::len), Some(3), "{shown}");
    assert_eq!((&shown["inflight"], &shown["hosts_listed"]), (&json!(1), &json!(2)));
    open.answer(OK, "", b"x");
    assert_eq!(client.answer().status(), 200);
    until(|| figures(ops)["inflight"] == 0);
    assert_eq!(figures(ops)["calls"]["update"]["success"], 1);
}

#[test]
fn a_server_that_fails_shows_as_down() {
    let server = Server::start();
    let dead = own_address();
    let members = [member("dead", dead, "active"), member("s", server.address, "active")];
    let ops = own_address();
    let mut config = config(&members);
    config["ops"] = json!(ops.to_string());
    let node = Node::start(&config);
    let mut client = node.client();
    assert_eq!(figures(ops)["hosts_down"], 0);
    until(|| {
        client.send(&request("read", 20.0));
        server.request().answer(OK, "", b"x");
        assert_eq!(client.answer().status(), 200);
        figures(ops)["hosts_down"] == 1
    });
    assert_eq!(figures(ops)["hosts_listed"], 2);
}

#[test]
fn silent_and_half_spoken_callers_keep_nobody_out() {
    let server = Server::start();
    let (config, ops) = operated(&[&server]);
    let _node = Node::start(&config);
    let mut held: Vec<TcpStream> = Vec::new();
    for i in 0..64 {
        let mut stream = TcpStream::connect(ops).expect("connected");
        if i % 2 == 0 {
            stream.write_all(b"tele").expect("written");
        }
        held.push(stream);
    }
    assert_eq!(call(ops, "readyz"), "YES ready\n");
    assert!(call(ops, "what?").starts_with("NO "));
    assert!(figures(ops)["inflight"] == 0);
}

#[test]
fn a_node_that_is_ending_or_knows_no_server_is_not_ready() {
    let server = Server::start();
    let (config, ops) = operated(&[&server]);
    let node = Node::start(&config);
    let mut client = node.client();
    client.send(&request("pay", 20.0));
    let open = server.request();
    node.terminate();
    until(|| call(ops, "readyz") == "NO ending\n");
    open.answer(OK, "", b"x");
    assert_eq!(client.answer().status(), 200);
    let (empty, ops) = operated(&[]);
    let _node = Node::start(&empty);
    assert!(call(ops, "readyz").starts_with("NO "));
}

/// A seeded run of mixed endings: what clients and servers counted themselves is what the figures say, never ahead of it on
/// the way, and exactly that at the end.
#[test]
fn a_long_run_of_mixed_endings_is_counted_exactly() {
    let server = Server::start();
    let (mut config, ops) = operated(&[&server]);
    // One attempt each, and no judgement: which ending a request gets is the test's alone.
    config["settings"]["allowed"]["max_attempts"] = json!(1);
    let node = Node::start(&config);
    let mut random = fastrand::Rng::with_seed(32);
    let classes = ["read", "update", "pay"];
    let (mut tally, mut attempts) = ([[0_u64; 3]; 3], 0_u64);
    for round in 0..120 {
        let which = random.usize(0..3);
        let mut client = node.client();
        client.send(&request(classes[which], 20.0));
        // Where its only server is out the node refuses at once; a request that does come there is answered somehow.
        let got = loop {
            if let Some(got) = server.poll() {
                break Some(got);
            }
            client.stream.get_ref().set_read_timeout(Some(Duration::from_millis(2))).expect("set");
            if client.stream.get_ref().peek(&mut [0]).is_ok_and(|n| n > 0) {
                break server.poll();
            }
        };
        client.stream.get_ref().set_read_timeout(Some(LONG)).expect("set");
        if let Some(mut got) = got {
            attempts += 1;
            match random.usize(0..6) {
                0 => got.answer("500 Broken", "", b""),
                1 => got.answer("503 Busy", "x-not-run: 1\r\n", b""),
                2 => got.write(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf"),
                3 => got.answer(OK, "", &[b'x'; 100_000]),
                _ => got.answer(OK, "", b"x"),
            }
        }
        let fate = match client.answer().status() {
            200 => 0,
            429 | 503 => 1,
            _ => 2,
        };
        tally[which][fate] += 1;
        if round % 10 == 0 {
            let shown = figures(ops);
            let sum = |key: &str| {
                classes.iter().map(|c| shown["calls"][c][key].as_u64().expect("a count")).sum::<u64>()
            };
            assert!(sum("success") + sum("busy") + sum("failure") <= round + 1);
            assert!(shown["backend_calls"].as_u64() <= Some(attempts));
        }
    }
    let matches = || {
        let shown = figures(ops);
        let class = |(which, class): (usize, &&str)| {
            let [success, busy, failure] = tally[which];
            shown["calls"][class] == json!({"success": success, "busy": busy, "failure": failure})
        };
        classes.iter().enumerate().all(class) && shown["backend_calls"] == attempts && shown["inflight"] == 0
    };
    until(matches);
    assert!(
        tally.iter().all(|class| class.iter().sum::<u64>() > 20) && attempts > 60,
        "{tally:?} {attempts}"
    );
}
