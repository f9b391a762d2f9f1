//! Bodies and answers of any size and form, and peers that are slow or break off.

use super::*;
use std::io::{BufRead, BufReader};
use std::thread;

const LONG_BODY: usize = 3 << 20;

/// A server whose connections the test plays byte by byte.
struct Raw {
    listener: TcpListener,
    node: Node,
}

impl Raw {
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

/// Bytes that show where something is missing or comes twice.
fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|i| (i * 31 + i / 251) as u8).collect()
}

fn head(from: &mut impl BufRead) -> String {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        assert!(from.read_line(&mut head).expect("read") > 0, "it ends in its head: {head}");
    }
    head.to_lowercase()
}

/// Reads a chunked body to its end.
fn chunks(from: &mut impl BufRead) -> Vec<u8> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        from.read_line(&mut line).expect("read");
        let size = usize::from_str_radix(line.trim().split(';').next().expect("a size"), 16).expect("a size");
        let at = body.len();
        body.resize(at + size, 0);
        from.read_exact(&mut body[at..]).expect("read");
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

/// A request's head with a body of this framing.
fn upload(class: &str, framing: &str) -> String {
    let text = request(class, 20.0);
    text.replace("content-length: 4\r\n", framing).strip_suffix("work").expect("a body").to_owned()
}

#[test]
fn long_bodies_and_answers_pass_through_unchanged_in_both_framings() {
    let raw = Raw::start();
    let body = pattern(LONG_BODY);
    for (up, down) in [(true, true), (true, false), (false, true), (false, false)] {
        let stream = TcpStream::connect(raw.node.address).expect("accepted");
        stream.set_read_timeout(Some(LONG)).expect("set");
        let framing = if up {
            format!("content-length: {LONG_BODY}\r\n")
        } else {
            "transfer-encoding: chunked\r\n".into()
        };
        let (mut sender, sent) = (stream.try_clone().expect("cloned"), body.clone());
        let sends = thread::spawn(move || {
            sender.write_all(upload("pay", &framing).as_bytes()).expect("sent");
            sender.write_all(&if up { sent } else { chunked(&sent, 7_001) }).expect("sent");
        });
        let mut server = raw.accept();
        let asked = head(&mut server);
        let mut got = vec![0; LONG_BODY];
        if up {
            assert!(asked.contains(&format!("content-length: {LONG_BODY}\r\n")), "{asked}");
            server.read_exact(&mut got).expect("read");
        } else {
            assert!(asked.contains("transfer-encoding: chunked\r\n"), "{asked}");
            got = chunks(&mut server);
        }
        assert!(got == body, "what came is not what was sent");
        sends.join().expect("sent");
        let mut answers = server.get_ref().try_clone().expect("cloned");
        let answer = body.clone();
        let answering = thread::spawn(move || {
            if down {
                let head =
                    format!("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {LONG_BODY}\r\n\r\n");
                answers.write_all(&[head.as_bytes(), &answer].concat()).expect("answered");
            } else {
                let head = "HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n";
                answers.write_all(&[head.as_bytes(), &chunked(&answer, 9_999)].concat()).expect("answered");
            }
        });
        let mut client = BufReader::new(stream);
        let answered = head(&mut client);
        assert!(answered.starts_with("http/1.1 200"), "{answered}");
        let mut got = vec![0; LONG_BODY];
        if answered.contains("content-length") {
            client.read_exact(&mut got).expect("read");
        } else {
            got = chunks(&mut client);
        }
        assert!(got == body, "what is answered is not what the server said");
        answering.join().expect("answered");
    }
}

/// Memory does not grow with what is under way, whoever is the slow one.
#[test]
fn a_slow_side_holds_back_the_fast_one() {
    const ALL: usize = 32 << 20;
    let raw = Raw::start();
    let before = raw.node.memory();
    // A client that sends all it can to a server that reads nothing.
    let mut client = raw.node.client();
    client.send(&upload("pay", &format!("content-length: {ALL}\r\n")));
    let mut sender = client.stream.get_ref().try_clone().expect("cloned");
    let sends = thread::spawn(move || sender.write_all(&pattern(ALL)));
    let mut server = raw.accept();
    head(&mut server);
    thread::sleep(Duration::from_millis(300));
    let grown = raw.node.memory().saturating_sub(before);
    assert!(grown < 4 << 20, "{grown} bytes more on the way to the server");
    let mut got = vec![0; ALL];
    server.read_exact(&mut got).expect("read");
    assert!(got == pattern(ALL));
    sends.join().expect("ended").expect("sent");
    // A server that sends all it can to a client that reads nothing.
    let mut answers = server.get_ref().try_clone().expect("cloned");
    let answering = thread::spawn(move || {
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {ALL}\r\n\r\n");
        answers.write_all(&[head.as_bytes(), &pattern(ALL)].concat())
    });
    thread::sleep(Duration::from_millis(300));
    let grown = raw.node.memory().saturating_sub(before);
    assert!(grown < 4 << 20, "{grown} bytes more on the way to the client");
    let answer = client.answer();
    assert!(answer.status() == 200 && answer.body == pattern(ALL));
    answering.join().expect("ended").expect("answered");
}

#[test]
fn an_answer_that_breaks_off_never_looks_whole() {
    for (head, part) in [
        ("content-length: 3000000000\r\n", &pattern(200_000)[..]),
        ("content-length: 65537\r\n", &pattern(65_536)[..]),
        ("transfer-encoding: chunked\r\n", &[&b"30d40\r\n"[..], &pattern(200_000)].concat()[..]),
    ] {
        let raw = Raw::start();
        let mut client = raw.node.client();
        client.send(&request("read", 20.0));
        let mut server = raw.accept();
        self::head(&mut server);
        let stream = server.get_mut();
        stream
            .write_all(&[format!("HTTP/1.1 200 OK\r\n{head}\r\n").as_bytes(), part].concat())
            .expect("answered");
        drop(server);
        let said = client.rest();
        assert!(said.to_lowercase().starts_with("http/1.1 200"), "{}", &said[..said.len().min(200)]);
        assert!(!said.ends_with("0\r\n\r\n"), "it looks whole");
        assert!(said.len() > 60_000, "what the server gave is passed on: {}", said.len());
    }
}

#[test]
fn an_answer_that_says_so_ends_with_its_connection() {
    for body in [pattern(1_000), pattern(300_000), Vec::new()] {
        let raw = Raw::start();
        let mut client = raw.node.client();
        client.send(&request("pay", 20.0));
        let mut server = raw.accept();
        head(&mut server);
        // The request's body is read as well: closing on what is unread would reset.
        server.read_exact(&mut [0; 4]).expect("read");
        let head = b"HTTP/1.1 200 OK\r\nConnection: foo, Close\r\n\r\n";
        server.get_mut().write_all(&[&head[..], &body].concat()).expect("answered");
        drop(server);
        let answered = self::head(&mut client.stream);
        assert!(answered.starts_with("http/1.1 200"), "{answered}");
        let mut got = vec![0; body.len()];
        match answered.contains("content-length") {
            true => client.stream.read_exact(&mut got).expect("read"),
            false => got = chunks(&mut client.stream),
        }
        assert!(got == body);
    }
}

/// A server that breaks off before the last byte has not run it: that is a refusal, also of what is unsafe, and as the
/// beginning is gone nothing else can be tried.
#[test]
fn a_long_body_whose_server_breaks_off_is_refused_and_not_sent_again() {
    let raw = Raw::start();
    let mut client = raw.node.client();
    client.send(&upload("pay", &format!("content-length: {LONG_BODY}\r\n")));
    client.stream.get_mut().write_all(&pattern(400_000)).expect("sent");
    let mut server = raw.accept();
    head(&mut server);
    server.read_exact(&mut vec![0; 300_000]).expect("read");
    drop(server);
    assert_eq!(client.answer().status(), 503);
    raw.listener.set_nonblocking(true).expect("set");
    assert!(raw.listener.accept().is_err(), "it was sent again");
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
        let got = server.request();
        assert!(got.request.body == pattern(200_000));
        got.answer(OK, "", b"done");
        assert_eq!(client.answer().status(), 200);
    }
}

/// The connection to the server ends with its client's: nothing of the request is left there that could run.
#[test]
fn a_client_that_leaves_in_the_middle_of_its_body_takes_the_attempt_with_it() {
    let raw = Raw::start();
    let mut client = raw.node.client();
    client.send(&upload("update", &format!("content-length: {LONG_BODY}\r\n")));
    client.stream.get_mut().write_all(&pattern(200_000)).expect("sent");
    let mut server = raw.accept();
    head(&mut server);
    drop(client);
    let mut rest = Vec::new();
    let _ = server.read_to_end(&mut rest);
    assert!(rest.len() < LONG_BODY);
}

#[test]
fn an_answer_that_comes_before_the_body_has_is_passed_on() {
    let raw = Raw::start();
    let mut client = raw.node.client();
    client.send(&upload("pay", &format!("content-length: {LONG_BODY}\r\n")));
    client.stream.get_mut().write_all(&pattern(100_000)).expect("sent");
    let mut server = raw.accept();
    head(&mut server);
    // More has come than is held: there is no other attempt.
    server.read_exact(&mut vec![0; 90_000]).expect("read");
    let answer = b"HTTP/1.1 503 Busy\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
    server.get_mut().write_all(answer).expect("answered");
    assert_eq!(client.answer().status(), 503);
    assert_eq!(client.rest(), "", "what else comes could not be told from a request");
}

/// Byte by byte both ways: no message depends on how it is cut.
#[test]
fn messages_in_pieces_of_one_byte_are_whole() {
    let raw = Raw::start();
    let stream = TcpStream::connect(raw.node.address).expect("accepted");
    stream.set_nodelay(true).expect("set");
    stream.set_read_timeout(Some(LONG)).expect("set");
    let mut sender = stream.try_clone().expect("cloned");
    let sends = thread::spawn(move || {
        let mut text = upload("update", "transfer-encoding: chunked\r\n").into_bytes();
        text.extend_from_slice(&chunked(b"work in pieces", 3));
        text.iter().for_each(|byte| sender.write_all(&[*byte]).expect("sent"));
    });
    let mut server = raw.accept();
    assert!(head(&mut server).contains("content-length: 14"));
    let mut body = [0; 14];
    server.read_exact(&mut body).expect("read");
    assert_eq!(&body, b"work in pieces");
    sends.join().expect("sent");
    server.get_ref().set_nodelay(true).expect("set");
    let mut text = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
    text.extend_from_slice(&chunked(b"done in pieces", 5));
    for byte in text {
        server.get_mut().write_all(&[byte]).expect("answered");
    }
    let answer = Message::read(&mut BufReader::new(stream)).expect("whole");
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"done in pieces"[..]));
}

/// Where a chunked body ends the next request begins, also where all has come at once.
#[test]
fn a_connection_goes_on_behind_a_chunked_body() {
    let server = Server::start();
    let node = Node::with_servers(&[&server]);
    let mut client = node.client();
    let first =
        [upload("update", "transfer-encoding: chunked\r\n").as_bytes(), &chunked(b"work", 3)].concat();
    let all = [&first[..], request("update", 20.0).as_bytes(), request("read", 20.0).as_bytes()].concat();
    client.stream.get_mut().write_all(&all).expect("sent");
    for body in ["work", "work", ""] {
        let got = server.request();
        assert_eq!(got.request.body, body.as_bytes());
        got.answer(OK, "", b"x");
        let answer = client.answer();
        assert_eq!((answer.status(), answer.header("connection")), (200, None));
    }
    // One whose end others might see elsewhere is answered, if at all, as the last.
    client.send(&upload("update", "transfer-encoding: chunked\r\n"));
    client.send("4\nwork\r\n0\r\n\r\n");
    client.send(&request("update", 20.0));
    if server.poll().is_some() {
        panic!("an unsound body went on");
    }
    let said = client.rest();
    assert!(said.matches("HTTP/1.1").count() <= 1, "{said}");
}

/// Who never finishes a request has asked for nothing that is counted.
#[test]
fn a_request_that_never_came_whole_is_not_counted() {
    let server = Server::start();
    let (config, ops) = ops::config_with_admin(&[&server]);
    let node = Node::start(&config);
    let whole = request("update", 20.0);
    let mut client = node.client();
    client.send(&whole[..whole.len() - 1]);
    assert_eq!(client.answer().status(), 408);
    drop(client);
    let mut client = node.client();
    client.send(&request("update", 20.0));
    server.request().answer(OK, "", b"");
    assert_eq!(client.answer().status(), 200);
    ops::wait_until(|| ops::metrics(ops)["calls"]["update"]["success"] == 1);
    let shown = ops::metrics(ops);
    assert_eq!((&shown["calls"]["update"]["failure"], &shown["inflight"]), (&json!(0), &json!(0)));
}

/// Attempts and answers of long requests are counted as those of short ones.
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
        let shown = ops::metrics(ops);
        (
            shown["calls"]["pay"]["success"].as_u64(),
            shown["backend_calls"].as_u64(),
            shown["inflight"].as_u64(),
        )
    };
    ops::wait_until(|| counted() == (Some(1), Some(1), Some(0)));
    // The connections on both sides go on.
    client.send(&request("pay", 20.0));
    let got = server.request();
    assert_eq!(got.connection, 0);
    got.answer(OK, "", b"");
    assert_eq!(client.answer().status(), 200);
}
