//! Runs a fleet on loopback sockets and checks each fault as it appears to a client.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use spurdrum_standin::manual::Message;
use spurdrum_standin::scenario::Scenario;
use spurdrum_standin::Fleet;

fn fleet(text: &str) -> Fleet {
    Fleet::start(&Scenario::parse(text).expect("a valid scenario")).expect("started")
}

fn connect(to: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(to).expect("accepted");
    stream.set_read_timeout(Some(Duration::from_secs(60))).expect("set");
    stream
}

fn send(stream: &mut TcpStream, id: &str) {
    let text = format!("POST /api?k=1 HTTP/1.1\r\nhost: s\r\nx-request-id: {id}\r\nidempotency-key: k\r\ncontent-length: 4\r\n\r\nwork");
    let _ = stream.write_all(text.as_bytes());
}

/// Reads a response's status line, header fields and body; `None` if the connection ends first.
fn read(stream: &mut impl Read) -> Option<(String, String, String)> {
    // A buffer of one byte takes nothing off the stream that belongs to the next response.
    let answer = Message::read(&mut BufReader::with_capacity(1, stream))?;
    let fields = answer.headers.iter().map(|(name, value)| format!("{name}: {value}\n")).collect();
    Some((answer.first, fields, String::from_utf8(answer.body).ok()?))
}

fn request(to: SocketAddr, id: &str) -> Option<(String, String, String)> {
    let mut stream = connect(to);
    send(&mut stream, id);
    read(&mut stream)
}

fn fleet_with_fault(kind: &str, settings: &str) -> Fleet {
    fleet(&format!("[[servers]]\nwork_ms = 1\n[[fault]]\non = \"s0\"\nkind = \"{kind}\"\n{settings}\n"))
}

#[test]
fn a_server_answers_with_load_reports_and_counts_its_requests() {
    let fleet = fleet("[[servers]]\nwork_ms = 1\n");
    let mut stream = connect(fleet.servers["s0"]);
    for id in ["a", "b", "a"] {
        send(&mut stream, id);
        let (first, fields, body) = read(&mut stream).expect("answered");
        assert_eq!((first.as_str(), body), ("HTTP/1.1 200 OK", format!("done {id}")));
        assert!(fields.contains("x-load: inflight=0,queue=0"), "{fields}");
    }
    let counters = fleet.counters();
    let runs = |id: &str| (counters.ids()[id].begun, counters.ids()[id].most_at_once);
    assert_eq!((runs("a"), runs("b")), ((2, 1), (1, 1)));
    assert_eq!((counters.keys()["k"].begun, counters.servers()["s0"].served), (3, 3));
}

#[test]
fn two_concurrent_requests_with_one_id_are_counted_as_concurrent() {
    let fleet = fleet("[[servers]]\nwork_ms = 300\n");
    let mut streams = [connect(fleet.servers["s0"]), connect(fleet.servers["s0"])];
    streams.iter_mut().for_each(|stream| send(stream, "a"));
    streams.iter_mut().for_each(|stream| assert!(read(stream).is_some()));
    assert_eq!(fleet.counters().ids()["a"].most_at_once, 2);
}

#[test]
fn each_fault_has_its_documented_effect() {
    let first = |fleet: &Fleet| request(fleet.servers["s0"], "a").map(|(first, fields, _)| (first, fields));
    let refused = first(&fleet_with_fault("refuse", "")).expect("answered");
    assert!(refused.0.contains("503") && refused.1.contains("x-not-run: 1"), "{refused:?}");
    assert!(first(&fleet_with_fault("error", "")).expect("answered").0.contains("500"));
    for (kind, counted) in [("reset_before", false), ("reset_after", true), ("spoilt", true)] {
        let fleet = fleet_with_fault(kind, "");
        assert_eq!(first(&fleet), None, "{kind}");
        assert_eq!(fleet.counters().ids().contains_key("a"), counted, "{kind}");
    }
    let fleet = fleet_with_fault("silent", "");
    let mut stream = connect(fleet.servers["s0"]);
    send(&mut stream, "a");
    while fleet.counters().ids().get("a").is_none_or(|runs| runs.in_flight != 0) {
        std::thread::sleep(Duration::from_millis(1));
    }
    stream.set_nonblocking(true).expect("set");
    assert!(stream.read(&mut [0; 1]).is_err(), "the server must not answer");
    let fleet = fleet_with_fault("surplus", "delay_ms = 1");
    let mut stream = connect(fleet.servers["s0"]);
    send(&mut stream, "a");
    assert_eq!(read(&mut stream).expect("answered").2, "done a");
    assert_eq!(read(&mut stream).expect("the second copy").2, "done a");
}

#[test]
fn a_server_that_dies_resets_open_connections_and_refuses_new_ones_until_it_is_back() {
    let fleet = fleet_with_fault("die", "at_s = 2\nfor_s = 3");
    let address = fleet.servers["s0"];
    let mut connection = connect(address);
    assert!(connection.read(&mut [0; 1]).is_err(), "reset");
    while TcpStream::connect(address).is_ok() {
        std::thread::sleep(Duration::from_millis(1));
    }
    while TcpStream::connect(address).is_err() {
        std::thread::sleep(Duration::from_millis(5));
    }
    assert!(request(address, "a").is_some());
}

fn list(stream: &mut TcpStream, query: &str) -> Option<serde_json::Value> {
    stream.write_all(format!("GET /catalog/members{query} HTTP/1.1\r\nhost: c\r\n\r\n").as_bytes()).ok()?;
    let (first, _, body) = read(stream)?;
    first.contains("200").then(|| serde_json::from_str(&body).expect("JSON"))
}

#[test]
fn the_catalog_lists_a_replacement_that_has_just_started() {
    let fleet = fleet(
        "[catalog]\ndelay_ms = 50\n[[servers]]\ncount = 2\n[[fault]]\non = \"s1\"\nkind = \"replace\"\nat_s = 1.5\nfor_s = 0.2\n",
    );
    let mut stream = connect(fleet.catalog);
    let full = list(&mut stream, "").expect("a list");
    assert_eq!((full["complete"].as_bool(), full["members"].as_array().map(Vec::len)), (Some(true), Some(2)));
    let mut revision = full["revision"].as_u64().expect("a revision");
    let mut seen = Vec::new();
    while !seen.contains(&("s1".to_owned(), "left".to_owned())) {
        let changes = list(&mut stream, &format!("?since={revision}&timeout_ms=20000")).expect("changes");
        revision = changes["revision"].as_u64().expect("a revision");
        for entry in changes["members"].as_array().expect("a list") {
            let text = |key: &str| entry[key].as_str().expect("text").to_owned();
            seen.push((text("id"), text("phase")));
            if text("id") != "s1" {
                assert!(entry["up_since_ms"].as_u64() > Some(0), "the replacement reports when it started");
                assert!(request(text("host_port").parse().expect("an address"), "a").is_some());
            }
        }
    }
    let phases: Vec<&str> =
        seen.iter().filter(|(id, _)| id == "s1").map(|(_, phase)| phase.as_str()).collect();
    assert_eq!(phases, ["leaving", "left"]);
    assert!(seen.iter().any(|(id, phase)| id.starts_with("s1-") && phase == "active"));
}

#[test]
fn an_outage_of_the_catalog_ends_watches_with_503() {
    let fleet = fleet("[[servers]]\n[[fault]]\non = \"catalog\"\nkind = \"outage\"\nat_s = 0.0\nfor_s = 2\n");
    let mut stream = connect(fleet.catalog);
    assert_eq!(list(&mut stream, ""), None);
    while list(&mut stream, "").is_none() {
        std::thread::sleep(Duration::from_millis(5));
    }
}
