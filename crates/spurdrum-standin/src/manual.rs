//! Servers, discovery and clients that a test plays by hand: what comes is shown to it, and it answers when and how it
//! likes. For tests of one exchange, where a [`Fleet`](crate::Fleet) is for many.
//!
//! All of it panics where something is not as a test expects.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;
use std::time::Duration;

/// Longer than anything that a test waits for takes, however busy the machine.
pub const LONG: Duration = Duration::from_secs(90);

/// A loopback address that nothing else of these tests uses. It is not tried out: a socket that is closed here may for a
/// moment live on in a process that another test is just starting.
pub fn own_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let (n, process) = (NEXT.fetch_add(1, Ordering::Relaxed), std::process::id());
    let host = [127, 1 + (process % 250) as u8, (n / 250) as u8, 1 + (n % 250) as u8];
    SocketAddr::from((host, 10_000 + (process % 20_000) as u16))
}

/// A message as it came: its first line, its headers in lower case, its body.
#[derive(Debug)]
pub struct Message {
    /// Its first line.
    pub first: String,
    /// Its header fields.
    pub headers: Vec<(String, String)>,
    /// Its body.
    pub body: Vec<u8>,
}

impl Message {
    /// Reads one message; `None` where the connection ends before it is whole.
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
        let length = message.header("content-length").map_or(0, |n| n.parse().expect("a length"));
        message.body.resize(length, 0);
        from.read_exact(&mut message.body).ok()?;
        Some(message)
    }

    /// A header field.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status")
    }
}

/// What a scripted server sees.
pub enum Seen {
    /// A request.
    Request(Exchange),
    /// A connection with no request on it has ended.
    Closed(usize),
}

/// A request that waits for the test to answer it.
pub struct Exchange {
    /// What came.
    pub request: Message,
    /// Its connection's number, from zero in the order of accepting.
    pub connection: usize,
    /// Its connection.
    pub stream: TcpStream,
    go_on: Sender<()>,
}

impl Exchange {
    /// Answers; the connection takes a next request.
    pub fn answer(mut self, status: &str, headers: &str, body: &[u8]) {
        // In one piece: a second write would wait for the first one's acknowledgement.
        let head = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n{headers}\r\n", body.len());
        self.stream.write_all(&[head.as_bytes(), body].concat()).expect("answered");
        self.go_on.send(()).expect("the connection goes on");
    }

    /// Answers, where the node still waits for it.
    pub fn answer_if_wanted(mut self, body: &[u8]) {
        let mut whole = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len()).into_bytes();
        whole.extend_from_slice(body);
        self.write(&whole);
        let _ = self.go_on.send(());
    }

    /// Writes this as it is.
    pub fn write(&mut self, bytes: &[u8]) {
        // It fails where the node has given up on what it was sent.
        let _ = self.stream.write_all(bytes);
    }

    /// Waits until the node has ended its sending; it must send nothing more.
    pub fn await_end(&mut self) {
        self.stream.set_read_timeout(Some(LONG)).expect("set");
        match self.stream.read(&mut [0; 1]) {
            Ok(n) => assert_eq!(n, 0, "more was sent"),
            Err(error) => assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset),
        }
    }

    /// Whether the node has ended its sending by now.
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

/// A server, or discovery: what it gets comes to the test, which answers.
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    seen: Receiver<Seen>,
}

impl Server {
    /// Listens at an address of its own.
    pub fn start() -> Self {
        let listener = TcpListener::bind(own_address()).expect("bound");
        let address = listener.local_addr().expect("bound");
        let (tell, seen) = mpsc::channel();
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let (stream, tell) = (stream.expect("accepted"), tell.clone());
                thread::spawn(move || serve(&stream, connection, &tell));
            }
        });
        Self { address, seen }
    }

    /// What comes next.
    pub fn seen(&self) -> Seen {
        self.seen.recv_timeout(LONG).expect("something comes")
    }

    /// What comes next, for as long as the test runs.
    pub fn next(&self) -> Option<Seen> {
        self.seen.recv().ok()
    }

    /// The next request; a connection that ends meanwhile is passed over.
    pub fn request(&self) -> Exchange {
        loop {
            if let Seen::Request(exchange) = self.seen() {
                return exchange;
            }
        }
    }

    /// A request, if one has come.
    pub fn poll(&self) -> Option<Exchange> {
        self.seen.try_iter().find_map(|seen| match seen {
            Seen::Request(exchange) => Some(exchange),
            Seen::Closed(_) => None,
        })
    }

    /// Whether a request has come that the test has not taken.
    pub fn has_request(&self) -> bool {
        self.poll().is_some()
    }
}

fn serve(stream: &TcpStream, connection: usize, tell: &Sender<Seen>) {
    let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
    while let Some(request) = Message::read(&mut reader) {
        let (go_on, answered) = mpsc::channel();
        let stream = stream.try_clone().expect("cloned");
        // The test may be over: then nobody listens.
        let _ = tell.send(Seen::Request(Exchange { request, connection, stream, go_on }));
        if answered.recv().is_err() {
            return;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
    let _ = tell.send(Seen::Closed(connection));
}

/// A client's connection.
pub struct Client {
    /// Its connection.
    pub stream: BufReader<TcpStream>,
}

impl Client {
    /// Connects.
    pub fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("accepted");
        stream.set_read_timeout(Some(LONG)).expect("set");
        Self { stream: BufReader::new(stream) }
    }

    /// Sends this as it is.
    pub fn send(&mut self, request: &str) {
        self.stream.get_mut().write_all(request.as_bytes()).expect("sent");
    }

    /// The next answer, which must be whole.
    pub fn answer(&mut self) -> Message {
        Message::read(&mut self.stream).expect("a whole answer")
    }

    /// All that comes until the node closes the connection.
    pub fn rest(&mut self) -> String {
        let mut all = Vec::new();
        if let Err(error) = self.stream.read_to_end(&mut all) {
            assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
        }
        String::from_utf8_lossy(&all).into_owned()
    }

    /// Asks, and waits for the answer.
    pub fn ask(&mut self, request: &str) -> Message {
        self.send(request);
        self.answer()
    }
}
