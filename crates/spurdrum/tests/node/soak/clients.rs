//! Clients that keep their connections for as long as these stay open, write at full speed or in pieces, leave
//! early, and send again what they left.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use super::judge::{Judge, GRACE};
use crate::net::{request, Message};

/// For how long a client reads an answer that it has begun to get.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(10);
/// The pause of a client that finds no process.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// The pause between two pieces of a request.
const WRITE_PAUSE: Duration = Duration::from_millis(5);

/// A request, as its client means to send it.
struct Plan {
    text: Vec<u8>,
    class: &'static str,
    wait: Duration,
    /// The length of the pieces in which it is written.
    piece: usize,
    /// After which time the client leaves, if it does not wait for its answer.
    leaves_after: Option<Duration>,
}

impl Plan {
    fn choose(random: &mut fastrand::Rng) -> Self {
        let class = ["read", "read", "pay", "pay", "update"][random.usize(..5)];
        let wait = Duration::from_millis(random.u64(300..=800));
        let text = request(class, wait.as_secs_f64());
        let body_bytes = match random.u8(..10) {
            _ if class == "read" => 0,
            // More than all buffers on the way hold.
            0 if random.u8(..4) == 0 => random.usize(5_000_000..8_000_000),
            0 => random.usize(100_000..2_000_000),
            1 | 2 => random.usize(5_000..60_000),
            _ => random.usize(1..1_000),
        };
        let text =
            if class == "read" { text.into_bytes() } else { with_body(&text, body_bytes, random.bool()) };
        let pieces = if random.u8(..10) == 0 { random.usize(2..8) } else { 1 };
        let leaves = random.u8(..12) == 0;
        Self {
            piece: text.len().div_ceil(pieces),
            text,
            class,
            wait,
            leaves_after: leaves.then(|| Duration::from_millis(random.u64(..250))),
        }
    }
}

/// Gives a request a body of this length.
fn with_body(text: &str, body_bytes: usize, chunked: bool) -> Vec<u8> {
    let framing = match chunked {
        true => "transfer-encoding: chunked\r\n".to_owned(),
        false => format!("content-length: {body_bytes}\r\n"),
    };
    let head = text.replace("content-length: 4\r\n", &framing);
    let mut bytes = head.strip_suffix("work").expect("a body").as_bytes().to_vec();
    if chunked {
        bytes.extend_from_slice(format!("{body_bytes:x}\r\n").as_bytes());
    }
    bytes.resize(bytes.len() + body_bytes, b'b');
    if chunked {
        bytes.extend_from_slice(b"\r\n0\r\n\r\n");
    }
    bytes
}

/// How a request ended for its client.
enum Outcome {
    /// It has its answer; whether the connection stays open.
    Answered { keeps_open: bool },
    /// The client has left.
    Left,
    /// The connection ended without a byte of an answer; whether the whole request had been written.
    NoAnswer { written: bool },
}

/// Sends requests until `stop`.
pub fn run(seed: u64, node: SocketAddr, judge: &Judge, stop: &AtomicBool) {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut connection: Option<TcpStream> = None;
    while !stop.load(Ordering::Relaxed) {
        let plan = Plan::choose(&mut random);
        let mut sends = 0;
        loop {
            let kept = connection.take();
            let is_kept = kept.is_some();
            let Some(stream) = kept.or_else(|| TcpStream::connect(node).ok()) else {
                thread::sleep(RECONNECT_PAUSE);
                break;
            };
            sends += 1;
            match send(&stream, &plan, judge) {
                Outcome::Answered { keeps_open } => {
                    connection = Some(stream).filter(|_| keeps_open);
                    break;
                }
                // It may come again, under its identifier.
                Outcome::Left if sends == 1 && random.bool() => {}
                Outcome::Left => break,
                // The end of the connection crossed the request: it is sent once more on a new one.
                Outcome::NoAnswer { .. } if is_kept && sends == 1 => {}
                Outcome::NoAnswer { written } => {
                    if written && !judge.is_ending() && !judge.is_crowded() {
                        judge.violation(format!("{} of {} bytes: no answer", plan.class, plan.text.len()));
                    }
                    break;
                }
            }
        }
        thread::sleep(Duration::from_millis(random.u64(..40)));
    }
}

/// Writes a request and reads its answer.
fn send(stream: &TcpStream, plan: &Plan, judge: &Judge) -> Outcome {
    let mut writer = stream.try_clone().expect("cloned");
    let (last_byte, last_byte_at) = mpsc::channel();
    let (text, piece) = (plan.text.clone(), plan.piece);
    let writing = thread::spawn(move || {
        for part in text.chunks(piece) {
            // Fails if the node has answered and closed before.
            if writer.write_all(part).is_err() {
                return;
            }
            if part.len() == piece && piece < text.len() {
                thread::sleep(WRITE_PAUSE);
            }
        }
        let _ = last_byte.send(Instant::now());
    });
    if let Some(leaves_after) = plan.leaves_after {
        thread::sleep(leaves_after);
        let _ = stream.shutdown(std::net::Shutdown::Both);
        let _ = writing.join();
        return Outcome::Left;
    }
    let outcome = read_answer(stream, plan, judge, &last_byte_at);
    // What is left of the request is not owed an answer.
    if !matches!(outcome, Outcome::Answered { keeps_open: true }) {
        let _ = stream.shutdown(std::net::Shutdown::Both);
    }
    let _ = writing.join();
    outcome
}

/// Reads the answer to a request, and judges when it came.
fn read_answer(
    stream: &TcpStream,
    plan: &Plan,
    judge: &Judge,
    last_byte_at: &mpsc::Receiver<Instant>,
) -> Outcome {
    stream.set_read_timeout(Some(MAX_ANSWER_TIME)).expect("set");
    let mut first = [0; 1];
    let answered = stream.peek(&mut first).is_ok_and(|bytes| bytes > 0);
    let answered_at = Instant::now();
    let written_at = last_byte_at.try_recv().ok();
    if let Some(late) = written_at.map(|at| answered_at.saturating_duration_since(at)) {
        if late > plan.wait + GRACE {
            judge.violation(format!(
                "{} of {} bytes: {} {late:?} after the last byte, of {:?}",
                plan.class,
                plan.text.len(),
                if answered { "answered" } else { "ended" },
                plan.wait
            ));
        }
    }
    if !answered {
        return Outcome::NoAnswer { written: written_at.is_some() };
    }
    let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
    match Message::read(&mut reader) {
        Some(answer) => {
            judge.answered(answer.status());
            let keeps_open = answer.header("connection") != Some("close") && written_at.is_some();
            Outcome::Answered { keeps_open }
        }
        None => {
            if !judge.is_ending() {
                judge.violation(format!("{}: the answer was cut off", plan.class));
            }
            let _ = reader.read(&mut first);
            Outcome::Answered { keeps_open: false }
        }
    }
}
