//! Bodies and answers of any size and framing, and peers that are slow or break off.

use super::*;
use std::io::{BufRead, BufReader};
use std::thread;

const LONG_BODY: usize = 3 << 20;

/// A server whose connections the test drives byte by byte.
struct ScriptedServer {
    listener: TcpListener,
    node: Node,
}

impl ScriptedServer {
    fn start() -> Self {
        let listener = TcpListener::bind(own_address()).expect("bound");
        let members = [member("s0", listener.local_addr().expect("bound"), "active")];
        Self { node: Node::start(&config(&members)), listener }
    }

    fn accept(&self) -> BufReader<TcpStream> {
        let (stream, _) = self.listener.accept().expect("accepted");
        stream.set_read_timeout(Some(LONG)).expect("set");
        BufReader::new(stream)
    }
}

/// Returns a byte pattern that shows where something is missing or repeated.
fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|i| (i * 31 + i / 251) as u8).collect()
}

fn head(from: &mut impl BufRead) -> String {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        assert!(from.read_line(&mut head).expect("read") > 0, "the connection ends within the head: {head}");
    }
    head.to_lowercase()
}

/// Reads a chunked body to its end.
fn read_chunked(from: &mut impl BufRead) -> Vec<u8> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        from.read_line(&mut line).expect("read");
        let size = usize::from_str_radix(line.trim().split(';').next().expect("a size"), 16).expect("a size");
        let offset = body.len();
        body.resize(offset + size, 0);
        from.read_exact(&mut body[offset..]).expect("read");
        let mut end = String::new();
        from.read_line(&mut end).expect("read");
        assert_eq!(end, "\r\n");
        if size == 0 {
            return body;
        }
    }
}

fn chunked(body: &[u8], size: usize) -> Vec<u8> {
    let mut text = Vec::new();
    for piece in body.chunks(size) {
        text.extend_from_slice(format!("{:x};note=1\r\n", piece.len()).as_bytes());
        text.extend_from_slice(piece);
        text.extend_from_slice(b"\r\n");
    }
    text.extend_from_slice(b"0\r\nx-trailer: 1\r\n\r\n");
    text
}

/// Returns the head of a request with a body of this framing.
fn upload(class: &str, framing: &str) -> String {
    let text = request(class, 20.0);
    text.replace("content-length: 4\r\n", framing).strip_suffix("work").expect("a body").to_owned()
}

#[test]
fn long_bodies_and_answers_pass_through_unchanged_in_both_framings() {
    let scripted = ScriptedServer::start();
    let body = pattern(LONG_BODY);
    for (with_length, answer_with_length) in [(true, true), (true, false), (false, true), (false, false)] {
        let stream = TcpStream::connect(scripted.node.address).expect("accepted");
        stream.set_read_timeout(Some(LONG)).expect("set");
        let framing = if with_length {
            format!("content-length: {LONG_BODY}\r\n")
        } else {
            "transfer-encoding: chunked\r\n".into()
        };
        let (mut sender, sent) = (stream.try_clone().expect("cloned"), body.clone());
        let sending = thread::spawn(move || {
            sender.write_all(upload("pay", &framing).as_bytes()).expect("sent");
            sender.write_all(&if with_length { sent } else { chunked(&sent, 7_001) }).expect("sent");
        });
        let mut server = scripted.accept();
        let request_head = head(&mut server);
        let mut received = vec![0; LONG_BODY];
        if with_length {
            assert!(request_head.contains(&format!("content-length: {LONG_BODY}\r\n")), "{request_head}");
            server.read_exact(&mut received).expect("read");
        } else {
            assert!(request_head.contains("transfer-encoding: chunked\r\n"), "{request_head}");
            received = read_chunked(&mut server);
        }
        assert!(received == body, "the server received another body than was sent");
        sending.join().expect("sent");
        let mut answers = server.get_ref().try_clone().expect("cloned");
        let answer = body.clone();
        let answering = thread::spawn(move || {
            if answer_with_length {
                let head =
                    format!("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {LONG_BODY}\r\n\r\n");
                answers.write_all(&[head.as_bytes(), &answer].concat()).expect("answered");
            } else {
                let head = "HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n";
                answers.write_all(&[head.as_bytes(), &chunked(&answer, 9_999)].concat()).expect("answered");
            }
        });
        let mut client = BufReader::new(stream);
        let answer_head = head(&mut client);
        assert!(answer_head.starts_with("http/1.1 200"), "{answer_head}");
        let mut received = vec![0; LONG_BODY];
        if answer_head.contains("content-length") {
            client.read_exact(&mut received).expect("read");
        } else {
            received = read_chunked(&mut client);
        }
        assert!(received == body, "the client received another body than the server sent");
        answering.join().expect("answered");
    }
}

/// The node's memory must not grow with the size of what is in transit, whichever side is the slow one.
#[test]
fn a_slow_side_holds_back_the_fast_one() {
    const ALL: usize = 32 << 20;
    let scripted = ScriptedServer::start();
    let before = scripted.node.memory();
    // The client sends as fast as it can to a server that reads nothing.
    let mut client = scripted.node.client();
    client.send(&upload("pay", &format!("content-length: {ALL}\r\n")));
    let mut sender = client.stream.get_ref().try_clone().expect("cloned");
    let sending = thread::spawn(move || sender.write_all(&pattern(ALL)));
    let mut server = scripted.accept();
    head(&mut server);
    thread::sleep(Duration::from_millis(300));
    let growth = scripted.node.memory().saturating_sub(before);
    assert!(growth < 4 << 20, "{growth} bytes more on the way to the server");
    let mut received = vec![0; ALL];
    server.read_exact(&mut received).expect("read");
    assert!(received == pattern(ALL));
    sending.join().expect("ended").expect("sent");
    // The server sends as fast as it can to a client that reads nothing.
    let mut answers = server.get_ref().try_clone().expect("cloned");
    let answering = thread::spawn(move || {
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {ALL}\r\n\r\n");
        answers.write_all(&[head.as_bytes(), &pattern(ALL)].concat())
    });
    thread::sleep(Duration::from_millis(300));
    let growth = scripted.node.memory().saturating_sub(before);
    assert!(growth < 4 << 20, "{growth} bytes more on the way to the client");
    let answer = client.answer();
    assert!(answer.status() == 200 && answer.body == pattern(ALL));
    answering.join().expect("ended").expect("answered");
}

#[test]
fn a_truncated_answer_never_looks_complete() {
    for (head, partial) in [
        ("content-length: 3000000000\r\n", &pattern(200_000)[..]),
        ("content-length: 65537\r\n", &pattern(65_536)[..]),
        ("transfer-encoding: chunked\r\n", &[&b"30d40\r\n"[..], &pattern(200_000)].concat()[..]),
    ] {
        let scripted = ScriptedServer::start();
        let mut client = scripted.node.client();
        client.send(&request("read", 20.0));
        let mut server = scripted.accept();
        self::head(&mut server);
        let stream = server.get_mut();
        stream
            .write_all(&[format!("HTTP/1.1 200 OK\r\n{head}\r\n").as_bytes(), partial].concat())
            .expect("answered");
        drop(server);
        let answer_text = client.rest();
        assert!(
            answer_text.to_lowercase().starts_with("http/1.1 200"),
            "{}",
            &answer_text[..answer_text.len().min(200)]
        );
        assert!(!answer_text.ends_with("0\r\n\r\n"), "the truncated answer looks complete");
        assert!(answer_text.len() > 60_000, "too little of the answer was forwarded: {}", answer_text.len());
    }
}

#[test]
fn an_answer_without_a_length_ends_with_its_connection() {
    for body in [pattern(1_000), pattern(300_000), Vec::new()] {
        let scripted = ScriptedServer::start();
        let mut client = scripted.node.client();
        client.send(&request("pay", 20.0));
        let mut server = scripted.accept();
        head(&mut server);
        // The request's body is read too: closing a socket with unread bytes would reset the connection.
        server.read_exact(&mut [0; 4]).expect("read");
        let head = b"HTTP/1.1 200 OK\r\nConnection: foo, Close\r\n\r\n";
        server.get_mut().write_all(&[&head[..], &body].concat()).expect("answered");
        drop(server);
        let answer_head = self::head(&mut client.stream);
        assert!(answer_head.starts_with("http/1.1 200"), "{answer_head}");
        let mut received = vec![0; body.len()];
        match answer_head.contains("content-length") {
            true => client.stream.read_exact(&mut received).expect("read"),
            false => received = read_chunked(&mut client.stream),
        }
        assert!(received == body);
    }
}

/// If the server closes the connection before the last byte of the body, the request has not run: the answer
/// is a refusal, also for an unsafe request. As the start of the body is no longer buffered, no other server
/// can be tried.
#[test]
fn a_long_body_whose_server_disconnects_is_refused_and_not_sent_again() {
    let scripted = ScriptedServer::start();
    let mut client = scripted.node.client();
    client.send(&upload("pay", &format!("content-length: {LONG_BODY}\r\n")));
    client.stream.get_mut().write_all(&pattern(400_000)).expect("sent");
    let mut server = scripted.accept();
    head(&mut server);
    server.read_exact(&mut vec![0; 300_000]).expect("read");
    drop(server);
    assert_eq!(client.answer().status(), 503);
    scripted.listener.set_nonblocking(true).expect("set");
    assert!(scripted.listener.accept().is_err(), "the request was sent again");
}

#[test]
fn a_long_body_whose_first_server_cannot_be_reached_goes_to_another() {
    let server = Server::start();
    let members = [member("dead", own_address(), "active"), member("s", server.address, "active")];
    let node = Node::start(&config(&members));
    for _ in 0..4 {
        let mut client = node.client();
        client.send(&upload("pay", "content-length: 200000\r\n"));
        client.stream.get_mut().write_all(&pattern(200_000)).expect("sent");
        let exchange = server.request();
        assert!(exchange.request.body == pattern(200_000));
        exchange.answer(OK, "", b"done");
        assert_eq!(client.answer().status(), 200);
    }
}

/// The connection to the server is closed when its client leaves: no part of the request may remain there
/// that could run.
#[test]
fn a_client_that_disconnects_in_the_middle_of_its_body_ends_the_attempt() {
    let scripted = ScriptedServer::start();
    let mut client = scripted.node.client();
    client.send(&upload("update", &format!("content-length: {LONG_BODY}\r\n")));
    client.stream.get_mut().write_all(&pattern(200_000)).expect("sent");
    let mut server = scripted.accept();
    head(&mut server);
    drop(client);
    let mut rest = Vec::new();
    let _ = server.read_to_end(&mut rest);
    assert!(rest.len() < LONG_BODY);
}

#[test]
fn an_answer_that_arrives_before_the_end_of_the_body_is_forwarded() {
    let scripted = ScriptedServer::start();
    let mut client = scripted.node.client();
    client.send(&upload("pay", &format!("content-length: {LONG_BODY}\r\n")));
    client.stream.get_mut().write_all(&pattern(100_000)).expect("sent");
    let mut server = scripted.accept();
    head(&mut server);
    // More of the body has arrived than is buffered, so there is no other attempt.
    server.read_exact(&mut vec![0; 90_000]).expect("read");
    let answer = b"HTTP/1.1 503 Busy\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
    server.get_mut().write_all(answer).expect("answered");
    assert_eq!(client.answer().status(), 503);
    assert_eq!(
        client.rest(),
        "",
        "the connection stays open, and the rest of the body could be taken for a request"
    );
}

/// Sends both messages byte by byte: the parsing must not depend on how a message is split.
#[test]
fn messages_sent_byte_by_byte_are_read_completely() {
    let scripted = ScriptedServer::start();
    let stream = TcpStream::connect(scripted.node.address).expect("accepted");
    stream.set_nodelay(true).expect("set");
    stream.set_read_timeout(Some(LONG)).expect("set");
    let mut sender = stream.try_clone().expect("cloned");
    let sending = thread::spawn(move || {
        let mut text = upload("update", "transfer-encoding: chunked\r\n").into_bytes();
        text.extend_from_slice(&chunked(b"work in pieces", 3));
        text.iter().for_each(|byte| sender.write_all(&[*byte]).expect("sent"));
    });
    let mut server = scripted.accept();
    assert!(head(&mut server).contains("content-length: 14"));
    let mut body = [0; 14];
    server.read_exact(&mut body).expect("read");
    assert_eq!(&body, b"work in pieces");
    sending.join().expect("sent");
    server.get_ref().set_nodelay(true).expect("set");
    let mut text = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
    text.extend_from_slice(&chunked(b"done in pieces", 5));
    for byte in text {
        server.get_mut().write_all(&[byte]).expect("answered");
    }
    let answer = Message::read(&mut BufReader::new(stream)).expect("a complete answer");
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"done in pieces"[..]));
}

/// The next request begins where a chunked body ends, also if all bytes have arrived at once.
#[test]
fn a_connection_is_reused_after_a_chunked_body() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    let mut client = node.client();
    let first =
        [upload("update", "transfer-encoding: chunked\r\n").as_bytes(), &chunked(b"work", 3)].concat();
    let all = [&first[..], request("update", 20.0).as_bytes(), request("read", 20.0).as_bytes()].concat();
    client.stream.get_mut().write_all(&all).expect("sent");
    for body in ["work", "work", ""] {
        let exchange = server.request();
        assert_eq!(exchange.request.body, body.as_bytes());
        exchange.answer(OK, "", b"x");
        let answer = client.answer();
        assert_eq!((answer.status(), answer.header("connection")), (200, None));
    }
    // A request whose end other parsers might place elsewhere gets, at most, a final answer.
    client.send(&upload("update", "transfer-encoding: chunked\r\n"));
    client.send("4\nwork\r\n0\r\n\r\n");
    client.send(&request("update", 20.0));
    if server.poll().is_some() {
        panic!("an invalid body was forwarded");
    }
    let answer_text = client.rest();
    assert!(answer_text.matches("HTTP/1.1").count() <= 1, "{answer_text}");
}

/// A request that is never complete is not counted.
#[test]
fn an_incomplete_request_is_not_counted() {
    let server = Server::start();
    let (config, ops) = ops::config_with_admin(&[&server]);
    let node = Node::start(&config);
    let full_request = request("update", 20.0);
    let mut client = node.client();
    client.send(&full_request[..full_request.len() - 1]);
    assert_eq!(client.answer().status(), 408);
    drop(client);
    let mut client = node.client();
    client.send(&request("update", 20.0));
    server.request().answer(OK, "", b"");
    assert_eq!(client.answer().status(), 200);
    ops::wait_until(|| ops::metrics(ops)["calls"]["update"]["success"] == 1);
    let reported = ops::metrics(ops);
    assert_eq!((&reported["calls"]["update"]["failure"], &reported["inflight"]), (&json!(0), &json!(0)));
}

/// Attempts and answers of long requests are counted like those of short ones.
#[test]
fn long_requests_are_counted_once() {
    let server = Server::start();
    let (config, ops) = ops::config_with_admin(&[&server]);
    let node = Node::start(&config);
    let mut client = node.client();
    client.send(&upload("pay", "content-length: 300000\r\n"));
    client.stream.get_mut().write_all(&pattern(300_000)).expect("sent");
    server.request().answer(OK, "", &pattern(500_000));
    assert!(client.answer().body == pattern(500_000));
    let counted = || {
        let reported = ops::metrics(ops);
        (
            reported["calls"]["pay"]["success"].as_u64(),
            reported["backend_calls"].as_u64(),
            reported["inflight"].as_u64(),
        )
    };
    ops::wait_until(|| counted() == (Some(1), Some(1), Some(0)));
    // The connections on both sides stay open.
    client.send(&request("pay", 20.0));
    let exchange = server.request();
    assert_eq!(exchange.connection, 0);
    exchange.answer(OK, "", b"");
    assert_eq!(client.answer().status(), 200);
}

/// Guards against a limit of the system that cuts off a client with a small window, as it counts the time
/// since the window was last wide open, however much the client has read meanwhile.
#[test]
fn a_client_that_reads_a_long_answer_slowly_gets_all_of_it() {
    const ANSWER: usize = 220_000;
    const RATE: f64 = 20_000.0;
    const SMALL_BUFFER: usize = 8 * 1024;
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("made");
    socket.set_recv_buffer_size(SMALL_BUFFER).expect("set");
    socket.connect(&node.address.into()).expect("connected");
    let mut stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(LONG)).expect("set");
    stream.write_all(request("read", 20.0).as_bytes()).expect("sent");
    let answering = thread::spawn(move || server.request().answer(OK, "", &pattern(ANSWER)));
    let (mut received, started) = (Vec::new(), Instant::now());
    let mut buffer = [0; 2_000];
    while received.len() < ANSWER {
        let read = stream.read(&mut buffer).expect("read");
        assert!(read > 0, "the answer ends after {} bytes", received.len());
        received.extend_from_slice(&buffer[..read]);
        thread::sleep(
            Duration::from_secs_f64(received.len() as f64 / RATE).saturating_sub(started.elapsed()),
        );
    }
    answering.join().expect("answered");
}

/// A client that stops reading for good does not keep its connection, however much the system could hold.
#[test]
fn a_client_that_stops_reading_a_long_answer_is_disconnected() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    let mut client = node.client();
    client.send(&request("read", 20.0));
    thread::spawn(move || server.request().answer_if_wanted(&pattern(32 << 20)));
    client.stream.read_exact(&mut vec![0; 1 << 20]).expect("read");
    // A connection that the node has reset ends with an error behind what had come before.
    let stream = client.stream.get_ref();
    wait_until("the client is not disconnected", || stream.take_error().expect("asked").is_some());
}

/// Guards against a node that cuts off what a server still gives: it pauses, and goes on.
#[test]
fn a_long_answer_is_passed_on_whole_although_its_server_pauses_for_seconds() {
    const PAUSE: Duration = Duration::from_secs(7);
    let answer = pattern(150_000);
    let scripted = ScriptedServer::start();
    let mut client = scripted.node.client();
    client.send(&request("read", 20.0));
    let mut server = scripted.accept();
    head(&mut server);
    let length = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", answer.len());
    let (first, rest) = answer.split_at(100_000);
    server.get_mut().write_all(&[length.as_bytes(), first].concat()).expect("answered");
    thread::sleep(PAUSE);
    server.get_mut().write_all(rest).expect("the node still reads");
    assert!(client.answer().body == answer);
}
