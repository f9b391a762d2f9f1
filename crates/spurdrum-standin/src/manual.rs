//! Servers, discovery and clients that a test drives by hand: each request is shown to the test, which
//! answers when and how it likes. Meant for tests of single exchanges; for many requests there is
//! [`Fleet`](crate::Fleet).
//!
//! Everything here panics if something differs from what a test expects.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;
use std::time::Duration;

/// Timeout that is longer than anything a test waits for takes, however busy the machine is.
pub const LONG: Duration = Duration::from_secs(90);

/// Returns a loopback address that nothing else in these tests uses. The address is not tried by binding and
/// closing a socket: such a socket may live on for a moment in a process that another test is just starting.
pub fn own_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let (n, process) = (NEXT.fetch_add(1, Ordering::Relaxed), std::process::id());
    let host = [127, 1 + (process % 250) as u8, (n / 250) as u8, 1 + (n % 250) as u8];
    SocketAddr::from((host, 10_000 + (process % 20_000) as u16))
}

/// A received HTTP message: its first line, its headers and its body.
#[derive(Debug)]
pub struct Message {
    /// The request or status line.
    pub first: String,
    /// The header fields, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// Reads one message. Returns `None` if the connection ends before the message is complete.
    pub fn read(from: &mut impl BufRead) -> Option<Self> {
        let mut line = || {
            let mut text = String::new();
            from.read_line(&mut text).ok().filter(|n| *n > 0).map(|_| text.trim_end().to_owned())
        };
        let first = line()?;
        let mut headers = Vec::new();
        loop {
            let text = line()?;
            let Some((name, value)) = text.split_once(':') else { break };
            headers.push((name.to_lowercase(), value.trim().to_owned()));
        }
        let mut message = Self { first, headers, body: Vec::new() };
        let length =
            message.header("content-length").map_or(0, |n| n.parse().expect("a valid content-length"));
        message.body.resize(length, 0);
        from.read_exact(&mut message.body).ok()?;
        Some(message)
    }

    /// Returns the value of a header field; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Returns the status code of a response.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status code")
    }
}

/// An event at a server that a test drives.
pub enum Seen {
    /// A request has arrived.
    Request(Exchange),
    /// A connection without an unanswered request has ended; holds its number.
    Closed(usize),
}

/// A request that waits for the test to answer it.
pub struct Exchange {
    /// The request.
    pub request: Message,
    /// Number of the connection, from zero in the order of accepting.
    pub connection: usize,
    /// The connection.
    pub stream: TcpStream,
    answered: Sender<()>,
}

impl Exchange {
    /// Answers the request; the connection then reads the next one.
    pub fn answer(mut self, status: &str, headers: &str, body: &[u8]) {
        // Head and body go out in one write: a second write would wait for the acknowledgement of the first.
        let head = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n{headers}\r\n", body.len());
        self.stream.write_all(&[head.as_bytes(), body].concat()).expect("answered");
        self.answered.send(()).expect("the connection's thread is running");
    }

    /// Answers with 200 if the node still waits for the response; otherwise does nothing.
    pub fn answer_if_wanted(mut self, body: &[u8]) {
        let mut response = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len()).into_bytes();
        response.extend_from_slice(body);
        self.write(&response);
        let _ = self.answered.send(());
    }

    /// Writes these bytes unchanged.
    pub fn write(&mut self, bytes: &[u8]) {
        // Writing fails if the node has given up on the request.
        let _ = self.stream.write_all(bytes);
    }

    /// Waits until the node closes or resets its side of the connection; panics if it sends more bytes.
    pub fn await_end(&mut self) {
        self.stream.set_read_timeout(Some(LONG)).expect("set");
        match self.stream.read(&mut [0; 1]) {
            Ok(n) => assert_eq!(n, 0, "the node sent more bytes"),
            Err(error) => assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset),
        }
    }

    /// Returns whether the node has closed or reset its side of the connection.
    pub fn has_ended(&mut self) -> bool {
        self.stream.set_nonblocking(true).expect("set");
        let ended = match self.stream.read(&mut [0; 1]) {
            Ok(n) => n == 0,
            Err(error) => error.kind() == std::io::ErrorKind::ConnectionReset,
        };
        self.stream.set_nonblocking(false).expect("set");
        ended
    }
}

/// A server or discovery service whose requests are passed to the test, which answers them.
pub struct Server {
    /// Listen address.
    pub address: SocketAddr,
    seen: Receiver<Seen>,
}

impl Server {
    /// Starts a server on an address of its own.
    pub fn start() -> Self {
        let listener = TcpListener::bind(own_address()).expect("bound");
        let address = listener.local_addr().expect("bound");
        let (events, seen) = mpsc::channel();
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let (stream, events) = (stream.expect("accepted"), events.clone());
                thread::spawn(move || serve(&stream, connection, &events));
            }
        });
        Self { address, seen }
    }

    /// Waits for the next event; panics if none comes within [`LONG`].
    pub fn seen(&self) -> Seen {
        self.seen.recv_timeout(LONG).expect("an event within the time limit")
    }

    /// Waits for the next event without a time limit. Returns `None` when no more can come.
    pub fn next(&self) -> Option<Seen> {
        self.seen.recv().ok()
    }

    /// Waits for the next request; skips the ends of connections.
    pub fn request(&self) -> Exchange {
        loop {
            if let Seen::Request(exchange) = self.seen() {
                return exchange;
            }
        }
    }

    /// Returns a request if one has arrived.
    pub fn poll(&self) -> Option<Exchange> {
        self.seen.try_iter().find_map(|seen| match seen {
            Seen::Request(exchange) => Some(exchange),
            Seen::Closed(_) => None,
        })
    }

    /// Returns whether a request has arrived that the test has not taken, and discards it.
    pub fn has_request(&self) -> bool {
        self.poll().is_some()
    }
}

fn serve(stream: &TcpStream, connection: usize, events: &Sender<Seen>) {
    let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
    while let Some(request) = Message::read(&mut reader) {
        let (answered, wait_answered) = mpsc::channel();
        let stream = stream.try_clone().expect("cloned");
        // Sending fails if the test is already over.
        let _ = events.send(Seen::Request(Exchange { request, connection, stream, answered }));
        if wait_answered.recv().is_err() {
            return;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
    let _ = events.send(Seen::Closed(connection));
}

/// A client with one connection.
pub struct Client {
    /// The connection.
    pub stream: BufReader<TcpStream>,
}

impl Client {
    /// Connects to an address.
    pub fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("connected");
        stream.set_read_timeout(Some(LONG)).expect("set");
        Self { stream: BufReader::new(stream) }
    }

    /// Sends this text unchanged.
    pub fn send(&mut self, request: &str) {
        self.stream.get_mut().write_all(request.as_bytes()).expect("sent");
    }

    /// Reads the next response; panics if it is not complete.
    pub fn answer(&mut self) -> Message {
        Message::read(&mut self.stream).expect("a complete response")
    }

    /// Reads everything until the node closes or resets the connection.
    pub fn rest(&mut self) -> String {
        let mut all = Vec::new();
        if let Err(error) = self.stream.read_to_end(&mut all) {
            assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
        }
        String::from_utf8_lossy(&all).into_owned()
    }

    /// Sends a request and waits for the response.
    pub fn ask(&mut self, request: &str) -> Message {
        self.send(request);
        self.answer()
    }
}
