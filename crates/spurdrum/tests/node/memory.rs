//! What a node holds for its connections, at the limits of memory and descriptors.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};

use serde_json::json;

use super::connections::{answer_all_requests, has_ended};
use super::ops::{admin_call, config_with_admin};
use super::*;

const MIB: u64 = 1 << 20;
/// The pieces in which a body arrives, and their length.
const PIECES: usize = 300;
const PIECE: &[u8] = b"work";
/// The clients that are served at the same time.
const CLIENTS: usize = 40;

/// A part of a head that is just short of the longest one.
const HEAD_BYTES: usize = 16_000;
/// The part of a body that is sent, of 64 KiB that are announced.
const BODY_BYTES: usize = 61_440;

/// A part of a request, after which the client stops and stays.
#[derive(Clone, Copy, Debug)]
enum HalfSent {
    Nothing,
    Head,
    BodyOfKnownLength,
    ChunkedBody,
    LongHeadAndBody,
    ManyFieldsAndBody,
    LongUpload,
    PipelinedHeads,
}

const ALL_HALF_SENT: [HalfSent; 8] = [
    HalfSent::Head,
    HalfSent::ChunkedBody,
    HalfSent::BodyOfKnownLength,
    HalfSent::Nothing,
    HalfSent::LongHeadAndBody,
    HalfSent::LongUpload,
    HalfSent::ManyFieldsAndBody,
    HalfSent::PipelinedHeads,
];

impl HalfSent {
    fn bytes(self) -> Vec<u8> {
        let body = "b".repeat(BODY_BYTES);
        // The request ends with the body that `update` has: without it, header fields can be added.
        let head = request("update", 20.0).replace("content-length: 4\r\n\r\nwork", "");
        let partial_head = format!("{head}x-long: {}", "a".repeat(HEAD_BYTES - head.len()));
        let with_length = format!("{head}content-length: 65536\r\n");
        let text = match self {
            Self::Nothing => String::new(),
            Self::Head => partial_head,
            Self::BodyOfKnownLength => format!("{with_length}\r\n{body}"),
            Self::ChunkedBody => format!("{head}transfer-encoding: chunked\r\n\r\n{BODY_BYTES:x}\r\n{body}"),
            Self::LongHeadAndBody => format!("{with_length}x-long: {}\r\n\r\n{body}", "a".repeat(15_000)),
            Self::ManyFieldsAndBody => {
                let fields: String = (0..85).map(|n| format!("x{n}: 1\r\n")).collect();
                format!("{with_length}{fields}\r\n{body}")
            }
            Self::LongUpload => format!("{head}content-length: 33554432\r\n\r\n{body}{body}{body}"),
            Self::PipelinedHeads => {
                format!("{head}content-length: 4\r\n\r\nwork{partial_head}{partial_head}")
            }
        };
        text.into_bytes()
    }
}

/// Opens connections that send a part of a request each, one kind after another, and stay.
fn send_half_requests(
    node: SocketAddr,
    count: usize,
    kinds: &[HalfSent],
    mut after_each: impl FnMut(),
) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    for kind in kinds.iter().cycle().take(count) {
        // Fails where the node turns the connection away.
        let Ok(mut stream) = TcpStream::connect(node) else { continue };
        let _ = stream.set_nonblocking(true);
        let _ = stream.write(&kind.bytes());
        streams.push(stream);
        after_each();
    }
    streams
}

/// Starts a node with these limits and these lines for its table `[connections]`, and returns it with its server.
fn start(memory_mb: u64, sockets: u64, connection_settings: &str) -> (Node, Server) {
    let server = Server::start();
    let mut config = config(&members(&[&server]));
    config["limits"] = json!({"memory_mb": memory_mb, "sockets": sockets});
    (Node::start_with(&config, Some(&format!("[connections]\n{connection_settings}"))), server)
}

/// Writes a body to each stream, one piece to each in turn, and returns the most memory that the node held.
fn write_in_pieces(node: &Node, streams: &mut [&mut TcpStream]) -> u64 {
    let mut peak = 0;
    for _ in 0..PIECES {
        for stream in &mut *streams {
            stream.write_all(PIECE).expect("written");
        }
        // Each piece is read by itself.
        net::wait_until("the node does not come to rest", || node.state() == Some('S'));
        peak = peak.max(node.anonymous_memory());
    }
    peak
}

/// Guards against a node that goes over its memory because each small piece of a body, of a request or a
/// response, keeps a whole read buffer alive.
#[test]
fn bodies_that_arrive_in_small_pieces_take_the_memory_of_their_bytes() {
    // Longer than the pieces take on a busy machine.
    let (node, server) = start(32, 256, "body = { first_ms = 60000, rate = 32768, most_ms = 60000 }\n");
    let length = PIECES * PIECE.len();
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| node.client()).collect();
    for client in &mut clients {
        client.send(
            &request("update", 20.0)
                .replace("content-length: 4", &format!("content-length: {length}"))
                .replace("\r\n\r\nwork", "\r\n\r\n"),
        );
    }
    let mut streams: Vec<&mut TcpStream> = clients.iter_mut().map(|client| client.stream.get_mut()).collect();
    let peak = write_in_pieces(&node, &mut streams);
    assert!(peak < 32 * MIB, "requests: {peak} bytes");
    let mut exchanges: Vec<Exchange> = (0..CLIENTS).map(|_| server.request()).collect();
    for exchange in &mut exchanges {
        assert_eq!(exchange.request.body, PIECE.repeat(PIECES));
        exchange.write(format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n").as_bytes());
    }
    let mut streams: Vec<&mut TcpStream> =
        exchanges.iter_mut().map(|exchange| &mut exchange.stream).collect();
    let peak = write_in_pieces(&node, &mut streams);
    assert!(peak < 32 * MIB, "responses: {peak} bytes");
    for client in &mut clients {
        let answer = client.answer();
        assert_eq!((answer.status(), answer.body), (200, PIECE.repeat(PIECES)));
    }
}

/// Returns the most memory that a node with these limits holds while such requests are half sent.
fn peak_with_half_requests(memory_mb: u64, sockets: u64, kinds: &[HalfSent]) -> u64 {
    let (node, server) = start(memory_mb, sockets, "");
    answer_all_requests(server, b"done".to_vec());
    let mut peak = 0;
    let streams = send_half_requests(node.address, 600, kinds, || peak = peak.max(node.anonymous_memory()));
    net::wait_until("the node does not come to rest", || node.state() == Some('S'));
    let last = node.anonymous_memory();
    assert!(last > 0, "the node has exited");
    drop(streams);
    peak.max(last)
}

/// Guards against a node that is killed for its memory because half-sent requests hold more than they are
/// charged.
#[test]
fn half_sent_requests_of_any_kind_keep_the_node_within_its_memory() {
    let mixes: [&[HalfSent]; 3] =
        [&ALL_HALF_SENT, &[HalfSent::Head], &[HalfSent::Head, HalfSent::ChunkedBody]];
    for (memory_mb, sockets) in [(32, 256), (32, 1024), (48, 1024), (192, 1024)] {
        for kinds in mixes {
            let peak = peak_with_half_requests(memory_mb, sockets, kinds);
            assert!(
                peak <= memory_mb * MIB,
                "{memory_mb} MB, {sockets} descriptors, {kinds:?}: {peak} bytes"
            );
        }
    }
}

/// Guards against a node whose bound on memory is paid for by clients that send their requests.
#[test]
fn clients_that_send_their_requests_are_served_while_half_sent_requests_fill_the_memory() {
    let (node, server) = start(32, 1024, "clients_hold = 1.0\n");
    answer_all_requests(server, b"done".to_vec());
    let mut known_clients: Vec<Client> = (0..20).map(|_| node.client()).collect();
    for client in &mut known_clients {
        assert_eq!(client.ask(&request("read", 20.0)).status(), 200);
    }
    let mut turn = 0;
    let kinds = [HalfSent::Head, HalfSent::ChunkedBody, HalfSent::LongHeadAndBody];
    let _half_sent = send_half_requests(node.address, 240, &kinds, || {
        turn += 1;
        let class = if turn % 2 == 0 { "read" } else { "update" };
        let answer = known_clients[turn % 20].ask(&request(class, 20.0));
        assert_eq!((answer.status(), answer.header("connection")), (200, None), "request {turn}");
    });
}

/// Guards against a node that is killed for its memory because a process that is being replaced keeps what
/// its clients have freed, while the next one uses nearly the whole limit.
#[test]
fn a_process_and_its_successor_keep_to_the_memory_of_one_node() {
    const MEMORY_MB: u64 = 32;
    for kinds in [&[HalfSent::ChunkedBody][..], &ALL_HALF_SENT] {
        let server = Server::start();
        let (mut config, _) = config_with_admin(&[&server]);
        config["limits"] = json!({"memory_mb": MEMORY_MB, "sockets": 384});
        let mut old = Node::start_with(&config, Some("[connections]\n"));
        answer_all_requests(server, b"done".to_vec());
        let first = send_half_requests(old.address, 200, kinds, || ());
        net::wait_until("the old process has not read what came", || old.state() == Some('S'));
        drop(first);
        net::wait_until("the old process does not come to rest", || old.state() == Some('S'));
        let ops = own_address();
        let new = old.start_second_process_with(&config, ops, Some("[connections]\n"));
        net::wait_until("the new process is not ready", || {
            TcpStream::connect(ops).is_ok() && admin_call(ops, "readyz").starts_with("YES")
        });
        let mut between = send_half_requests(new.address, 20, kinds, || ());
        old.terminate();
        let mut peak = 0;
        let mut measure = || peak = peak.max(old.anonymous_memory() + new.anonymous_memory());
        // Until the old process has exited, which answers its half-sent requests first.
        while old.state() != Some('Z') {
            let count = if between.len() < 500 { 20 } else { 0 };
            between.extend(send_half_requests(new.address, count, kinds, &mut measure));
            measure();
        }
        net::wait_until("the new process does not come to rest", || new.state() == Some('S'));
        measure();
        assert!(new.anonymous_memory() > 0, "the new process has exited");
        assert!(peak <= MEMORY_MB * MIB, "{kinds:?}: {peak} bytes");
        drop(between);
        assert!(old.wait().success());
        assert_eq!(new.client().ask(&request("read", 20.0)).status(), 200);
    }
}

/// Guards against a request that is lost because there was no memory to read it: it is answered, be it with a
/// refusal.
#[test]
fn known_clients_get_an_answer_when_there_is_no_memory_left() {
    let (node, server) = start(32, 1024, "memory_share = 0.05\nclients_hold = 1.0\n");
    answer_all_requests(server, b"done".to_vec());
    let mut known_clients: Vec<Client> = (0..10).map(|_| node.client()).collect();
    for client in &mut known_clients {
        assert_eq!(client.ask(&request("read", 20.0)).status(), 200);
    }
    let _half_sent = send_half_requests(node.address, 100, &[HalfSent::Head, HalfSent::ChunkedBody], || ());
    net::wait_until("the node does not come to rest", || node.state() == Some('S'));
    // Idle connections may be closed for new ones.
    known_clients.retain_mut(|client| !has_ended(client));
    assert!(known_clients.len() >= 5, "{}", known_clients.len());
    let body = "b".repeat(30_000);
    let long_request = |chunked: bool| {
        let head = request("update", 20.0).replace("content-length: 4\r\n\r\nwork", "");
        match chunked {
            true => {
                format!("{head}transfer-encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n", body.len())
            }
            false => format!("{head}content-length: {}\r\n\r\n{body}", body.len()),
        }
    };
    for (number, client) in known_clients.iter_mut().enumerate() {
        client.send(&long_request(number % 2 == 0));
    }
    for client in &mut known_clients {
        let status = client.answer().status();
        assert!(status == 200 || status == 503, "{status}");
    }
}
