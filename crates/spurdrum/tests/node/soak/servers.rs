//! Servers that read and answer as real ones do under trouble, each connection by its own seed.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use socket2::{Domain, Socket, Type};

use super::judge::Judge;
use crate::net::own_address;

/// The receive buffer of a server, so that slow reading reaches the node.
const RECEIVE_BUFFER: usize = 32 * 1024;
/// The length of a long answer, and the pieces and times in which a slow server writes it.
const LONG_ANSWER: usize = 150_000;
const ANSWER_PIECE: usize = 10_000;
const ANSWER_INTERVAL: Duration = Duration::from_millis(80);
/// How often a slow server reads.
const READ_INTERVAL: Duration = Duration::from_millis(20);
/// For how long a server that hangs holds its connection.
const HANG_TIME: Duration = Duration::from_secs(5);

/// How a server treats one request.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Treatment {
    Answer,
    AnswerLate,
    LongAnswer,
    ReadSlowly,
    StopReading,
    TurnAway,
    BreakOff,
    Hang,
}

impl Treatment {
    fn choose(random: &mut fastrand::Rng) -> Self {
        match random.u8(..100) {
            0..10 => Self::ReadSlowly,
            10..14 => Self::StopReading,
            14..22 => Self::LongAnswer,
            22..27 => Self::TurnAway,
            27..31 => Self::BreakOff,
            31..34 => Self::Hang,
            34..40 => Self::AnswerLate,
            _ => Self::Answer,
        }
    }
}

/// The head of a request, as far as a server looks at it.
struct Head {
    id: String,
    is_unsafe: bool,
    length: Option<usize>,
    is_chunked: bool,
}

impl Head {
    fn read(from: &mut impl BufRead) -> Option<Self> {
        let mut head = Self { id: String::new(), is_unsafe: false, length: None, is_chunked: false };
        loop {
            let mut line = String::new();
            if from.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let line = line.trim_end().to_lowercase();
            match line.split_once(": ") {
                Some(("x-request-id", id)) => head.id = id.to_owned(),
                Some(("x-class", class)) => head.is_unsafe = class == "pay",
                Some(("content-length", length)) => head.length = length.parse().ok(),
                Some(("transfer-encoding", _)) => head.is_chunked = true,
                _ if line.is_empty() => return Some(head),
                _ => {}
            }
        }
    }
}

/// Reads so many bytes, slowly if `piece` says how many at once.
fn read_bytes(from: &mut impl Read, mut left: usize, piece: Option<usize>) -> Option<()> {
    let mut buffer = vec![0; 16 * 1024];
    while left > 0 {
        let size = left.min(piece.unwrap_or(buffer.len())).min(buffer.len());
        match from.read(&mut buffer[..size]) {
            Ok(0) | Err(_) => return None,
            Ok(read) => left -= read,
        }
        if piece.is_some() {
            thread::sleep(READ_INTERVAL);
        }
    }
    Some(())
}

/// Reads a body to its end.
fn read_body(from: &mut impl BufRead, head: &Head, piece: Option<usize>) -> Option<()> {
    if !head.is_chunked {
        return read_bytes(from, head.length.unwrap_or(0), piece);
    }
    loop {
        let mut line = String::new();
        from.read_line(&mut line).ok()?;
        let size = usize::from_str_radix(line.trim(), 16).ok()?;
        read_bytes(from, size + 2, piece)?;
        if size == 0 {
            return Some(());
        }
    }
}

/// A server of a run.
pub struct SoakServer;

impl SoakServer {
    /// Starts a server and returns its address.
    pub fn start(seed: u64, judge: &Arc<Judge>) -> SocketAddr {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("made");
        socket.set_recv_buffer_size(RECEIVE_BUFFER).expect("set");
        socket.bind(&own_address().into()).expect("bound");
        socket.listen(256).expect("listening");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("bound");
        let judge = Arc::clone(judge);
        thread::spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                let (stream, judge) = (stream.expect("accepted"), Arc::clone(&judge));
                let random = fastrand::Rng::with_seed(seed.wrapping_mul(7_919) + number as u64);
                thread::spawn(move || serve(stream, random, &judge));
            }
        });
        address
    }
}

/// Serves one connection until either side ends it.
fn serve(mut stream: TcpStream, mut random: fastrand::Rng, judge: &Judge) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let head = Head::read(&mut reader)?;
        let treatment = Treatment::choose(&mut random);
        if treatment == Treatment::StopReading {
            read_body(&mut reader, &head, None)
                .filter(|()| head.length.unwrap_or(0) == 0 && !head.is_chunked);
            thread::sleep(HANG_TIME);
            return None;
        }
        let piece = (treatment == Treatment::ReadSlowly).then(|| random.usize(1_400..2_400));
        read_body(&mut reader, &head, piece)?;
        if treatment == Treatment::TurnAway {
            stream.write_all(b"HTTP/1.1 503 Busy\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n").ok()?;
            continue;
        }
        if head.is_unsafe {
            judge.unsafe_request_ran(&head.id);
        }
        match treatment {
            Treatment::BreakOff => return stream.shutdown(Shutdown::Both).ok(),
            Treatment::Hang => thread::sleep(HANG_TIME),
            Treatment::AnswerLate => thread::sleep(Duration::from_millis(random.u64(100..900))),
            _ => thread::sleep(Duration::from_millis(random.u64(1..20))),
        }
        if treatment == Treatment::LongAnswer {
            write_slowly(&mut stream)?;
        } else {
            stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").ok()?;
        }
    }
}

/// Writes a long answer in pieces.
fn write_slowly(stream: &mut TcpStream) -> Option<()> {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {LONG_ANSWER}\r\n\r\n");
    stream.write_all(head.as_bytes()).ok()?;
    for _ in 0..LONG_ANSWER / ANSWER_PIECE {
        stream.write_all(&[b'a'; ANSWER_PIECE]).ok()?;
        thread::sleep(ANSWER_INTERVAL);
    }
    Some(())
}
