//! Case: servers whose queue is full turn long uploads away while these are still coming. The node puts such a
//! connection back among the idle ones with the upload still on it. Part A: the next upload that is given the connection
//! reaches no server and gets no answer in its time. Part B, where answers also bring more than belongs to them: the
//! old attempt takes pieces of the body from the next one, whose server runs a body with holes.

use std::collections::HashSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_rig::*;

const SERVERS: usize = 9;
const CLIENTS: usize = 20;
/// Clients send pieces of this size at some 68 kB a second (the pages: 64 kB a second).
const PIECE: usize = 8 * 1024;
const PIECE_EVERY: Duration = Duration::from_millis(120);
/// The client's time, and the slack after it in which an answer is not lost, in milliseconds.
const WAIT_MS: f64 = 800.0;
const SLACK_MS: f64 = 500.0 + 50.0;
/// In part B an answer that turns away is followed by a second copy, this much later; any other comes behind a 1xx
/// answer, sent this long after the request's head.
const SECOND_AFTER: Duration = Duration::from_millis(8);
const AHEAD_AFTER: Duration = Duration::from_millis(500);

/// `conn_idle_ms` of the settings.
const IDLE: Duration = Duration::from_secs(5);

/// One part of the case.
#[derive(Clone, Copy)]
struct Part {
    name: &'static str,
    run_for: Duration,
    /// Bodies have this many pieces (the pages: bodies reach 32 MB).
    pieces: (usize, usize),
    /// The disruption: this share of the attempts finds the server's queue full ...
    full_share: f64,
    /// ... and this share of the answers brings more than belongs to it.
    surplus_share: f64,
}

const PARTS: [Part; 2] = [
    Part {
        name: "A",
        run_for: Duration::from_secs(25),
        pieces: (10, 16),
        full_share: 0.15,
        surplus_share: 0.0,
    },
    Part {
        name: "B",
        run_for: Duration::from_secs(45),
        pieces: (20, 40),
        full_share: 0.2,
        surplus_share: 0.5,
    },
];

/// The body of a request: it follows from the id.
fn upload(id: &str, part: Part) -> Vec<u8> {
    let seed = u64::from_str_radix(id, 16).unwrap_or(0);
    let (least, most) = part.pieces;
    let pieces = least + (seed % (most - least + 1) as u64) as usize;
    let mut random = Random(seed);
    (0..pieces * PIECE / 16)
        .flat_map(|n| format!("{:07}{:08x}\n", n, random.next() as u32).into_bytes())
        .collect()
}

#[derive(Default)]
struct Tally {
    uploads: AtomicU64,
    served: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    unanswered: AtomicU64,
    turned_away: AtomicU64,
    second_copies: AtomicU64,
    ahead: AtomicU64,
    ran: AtomicU64,
    /// Ids that a server ran with a body that the client did not send.
    mixed: Mutex<Vec<String>>,
    /// Those of them that were answered 200.
    mixed_served: AtomicU64,
    /// Requests with no whole answer half a second after their time.
    lost: AtomicU64,
    /// Ids that came to a server, and lost requests that came to none.
    at_servers: Mutex<HashSet<String>>,
    nowhere: AtomicU64,
}

struct Server {
    id: String,
    record: Arc<Record>,
    tally: Arc<Tally>,
    part: Part,
}

/// Reads the rest of a chunked body. `None`: the connection ended first.
fn read_chunked(stream: &mut TcpStream, buffered: &mut Vec<u8>) -> Option<Vec<u8>> {
    let mut more = |buffered: &mut Vec<u8>| {
        let mut chunk = [0; 16 * 1024];
        let n = stream.read(&mut chunk).ok().filter(|n| *n > 0)?;
        buffered.extend_from_slice(&chunk[..n]);
        Some(())
    };
    let mut body = Vec::new();
    loop {
        let line = loop {
            match buffered.windows(2).position(|w| w == b"\r\n") {
                Some(line) => break line,
                None => more(buffered)?,
            }
        };
        let size = usize::from_str_radix(std::str::from_utf8(&buffered[..line]).ok()?.trim(), 16).ok()?;
        buffered.drain(..line + 2);
        while buffered.len() < size + 2 {
            more(buffered)?;
        }
        body.extend(buffered.drain(..size));
        buffered.drain(..2);
        if size == 0 {
            return Some(body);
        }
    }
}

fn serve(mut stream: TcpStream, server: &Server, seed: u64) -> Option<()> {
    let mut random = Random(seed);
    let _ = stream.set_nodelay(true);
    // A connection that is idle, or on which a body does not go on, is closed after the settings' time.
    let _ = stream.set_read_timeout(Some(IDLE));
    let mut buffered = Vec::new();
    loop {
        let end = loop {
            match buffered.windows(4).position(|w| w == b"\r\n\r\n") {
                Some(end) => break end,
                None => {
                    let mut chunk = [0; 4096];
                    let n = stream.read(&mut chunk).ok().filter(|n| *n > 0)?;
                    buffered.extend_from_slice(&chunk[..n]);
                }
            }
        };
        let head = String::from_utf8_lossy(&buffered[..end]).to_lowercase();
        buffered.drain(..end + 4);
        let field =
            |name: &str| head.split("\r\n").find_map(|l| l.strip_prefix(name)).map(|v| v.trim().to_owned());
        let Some(id) = field("x-request-id:") else {
            stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").ok()?;
            continue;
        };
        let (record, tally) = (&server.record, &server.tally);
        tally.at_servers.lock().expect("no panic").insert(id.clone());
        let surplus = !calm() && random.unit() < server.part.surplus_share;
        if !calm() && random.unit() < server.part.full_share {
            let answer = b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nX-Load: waiting=20,active=22\r\nContent-Length: 0\r\n\r\n";
            tally.turned_away.fetch_add(1, Relaxed);
            record.line(&format!("server {} turns {id} away", server.id));
            stream.write_all(answer).ok()?;
            if surplus {
                thread::sleep(SECOND_AFTER);
                tally.second_copies.fetch_add(1, Relaxed);
                record.line(&format!("server {} sends a second copy of that to {id}", server.id));
                stream.write_all(answer).ok()?;
            }
            // What still comes of the body is read and dropped.
            match read_chunked(&mut stream, &mut buffered) {
                Some(body) => record.line(&format!(
                    "server {} has got {} bytes of {id} to their end, which it had turned away",
                    server.id,
                    body.len()
                )),
                None => return None,
            }
            continue;
        }
        record.line(&format!("server {} takes {id}", server.id));
        if surplus {
            let (mut ahead, tally) = (stream.try_clone().ok()?, Arc::clone(tally));
            let (record, name, id) = (Arc::clone(record), server.id.clone(), id.clone());
            thread::spawn(move || {
                thread::sleep(AHEAD_AFTER);
                if ahead.write_all(b"HTTP/1.1 102 Processing\r\n\r\n").is_ok() {
                    tally.ahead.fetch_add(1, Relaxed);
                    record.line(&format!("server {name} sends a 102 ahead of the answer to {id}"));
                }
            });
        }
        let Some(body) = read_chunked(&mut stream, &mut buffered) else {
            record.line(&format!("server {}: the connection ends within {id}", server.id));
            return None;
        };
        tally.ran.fetch_add(1, Relaxed);
        let sent = upload(&id, server.part);
        if body == sent {
            record.line(&format!("server {} runs {id} with {} bytes, as sent", server.id, body.len()));
        } else {
            tally.mixed.lock().expect("no panic").push(id.clone());
            let same = body.iter().zip(&sent).take_while(|(a, b)| a == b).count();
            record.line(&format!(
                "server {} runs {id} with {} bytes; the client sent {}, the first {same} are the same: NOT AS SENT",
                server.id,
                body.len(),
                sent.len()
            ));
        }
        thread::sleep(Duration::from_secs_f64(random.between(0.039, 0.070)));
        let made = body_for(&id);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-Load: waiting=0,active=1\r\nContent-Length: {}\r\n\r\n{made}",
            made.len()
        );
        stream.write_all(answer.as_bytes()).ok()?;
    }
}

/// Reads the final answer, behind any 1xx.
fn final_answer(stream: &mut TcpStream) -> Result<Message, String> {
    let mut buffered = Vec::new();
    loop {
        match read_message(stream, &mut buffered)? {
            Some(answer) if answer.status() < 200 => {}
            Some(answer) => return Ok(answer),
            None => return Err("the connection ended with no answer".into()),
        }
    }
}

fn client(
    node: SocketAddr,
    number: usize,
    part: Part,
    record: &Record,
    tally: &Tally,
    stopping: &AtomicBool,
) {
    let mut random = Random(0xc11e_0000 + number as u64);
    let mut count = part.run_for.as_secs() << 16;
    while !stopping.load(Relaxed) {
        thread::sleep(Duration::from_secs_f64(random.between(0.1, 0.6)));
        count += 1;
        let id = format!("{:016x}", Random((number as u64) << 32 | count).next());
        let body = upload(&id, part);
        tally.uploads.fetch_add(1, Relaxed);
        record.line(&format!("client {number} sends {id}, {} bytes", body.len()));
        let Ok(mut stream) = TcpStream::connect(node) else { continue };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(8)));
        let head = format!(
            "POST /api?k={number:x} HTTP/1.1\r\nHost: origin\r\nX-Request-Id: {id}\r\nX-Class: update\r\nX-Deadline: 0.800\r\nIdempotency-Key: key-{id}\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let mut written = stream.write_all(head.as_bytes());
        let mut due = Instant::now();
        for piece in body.chunks(PIECE) {
            let bytes = [format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat();
            written = written.and_then(|()| stream.write_all(&bytes));
            due += PIECE_EVERY;
            thread::sleep(due.saturating_duration_since(Instant::now()));
        }
        // An answer may have come before the end of the body; it is read all the same.
        let _ = written.and_then(|()| stream.write_all(b"0\r\n\r\n"));
        let ended = Instant::now();
        let answer = final_answer(&mut stream);
        let late_ms = ended.elapsed().as_secs_f64() * 1000.0;
        if late_ms > WAIT_MS + SLACK_MS {
            tally.lost.fetch_add(1, Relaxed);
            let came = tally.at_servers.lock().expect("no panic").contains(&id);
            tally.nowhere.fetch_add(u64::from(!came), Relaxed);
            record.line(&format!(
                "LOST: {id} has no answer {:.0} ms after its last byte; it came to {} server",
                WAIT_MS + SLACK_MS,
                if came { "a" } else { "no" }
            ));
        }
        match answer {
            Ok(answer) => {
                match answer.status() {
                    200 => &tally.served,
                    429 | 503 => &tally.refused,
                    _ => &tally.failed,
                }
                .fetch_add(1, Relaxed);
                let is_mixed = tally.mixed.lock().expect("no panic").contains(&id);
                tally.mixed_served.fetch_add(u64::from(is_mixed && answer.status() == 200), Relaxed);
                record.line(&format!(
                    "client {number} gets {} for {id}, {late_ms:.0} ms after its last byte{}",
                    answer.status(),
                    if is_mixed { ", WHOSE BODY RAN WITH HOLES" } else { "" }
                ));
            }
            Err(error) => {
                tally.unanswered.fetch_add(1, Relaxed);
                record.line(&format!("client {number} gets no answer for {id}: {error}"));
            }
        }
    }
}

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let (record, temporary) = (Record::new(), Temporary::new());
    let codes = PARTS.map(|part| play(part, &record, &temporary));
    // A part that could not be judged counts only if the other one shows nothing.
    match codes {
        _ if codes.contains(&BROKEN) => BROKEN,
        _ if codes.contains(&NOT_RUN) => NOT_RUN,
        _ => HELD,
    }
}

/// Plays one part with a node of its own.
fn play(part: Part, record: &Arc<Record>, temporary: &Temporary) -> i32 {
    record.say(&format!("part {}", part.name));
    let tally = Arc::new(Tally::default());
    let listed = (0..SERVERS).map(|n| {
        let (listener, address): (TcpListener, SocketAddr) = bind();
        let (record, tally) = (Arc::clone(record), Arc::clone(&tally));
        let server = Arc::new(Server { id: format!("s{n}"), record, tally, part });
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                let server = Arc::clone(&server);
                thread::spawn(move || serve(stream, &server, (n as u64) << 32 | connection as u64));
            }
        });
        let zone = ["augusta", "concord", "montpelier"][n % 3].to_owned();
        Listed {
            id: format!("s{n}"),
            address,
            zone,
            kind: "large".into(),
            cell: n / 5,
            phase: "active",
            up_since_ms: 0.0,
        }
    });
    let catalog = Catalog::start(listed.collect());
    let settings = Settings {
        nodes: 3,
        zones: vec!["augusta", "concord", "montpelier"],
        classes: vec![keyed_class()],
        max_attempts: 3,
        limits: (192, 1024),
    };
    let node = Node::start(&temporary.0, 0, &settings, &catalog);
    node.await_ready();
    let stopping = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, tally, stopping) = (Arc::clone(record), Arc::clone(&tally), Arc::clone(&stopping));
            let address = node.address;
            thread::spawn(move || client(address, number, part, &record, &tally, &stopping))
        })
        .collect();
    thread::sleep(part.run_for);
    stopping.store(true, Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    let of = |counter: &AtomicU64| counter.load(Relaxed);
    let mixed = tally.mixed.lock().expect("no panic").len();
    record.say(&format!(
        "uploads {}, served {}, refused {}, failed {}, never answered {}",
        of(&tally.uploads),
        of(&tally.served),
        of(&tally.refused),
        of(&tally.failed),
        of(&tally.unanswered)
    ));
    record.say(&format!(
        "attempts turned away {}, second copies {}, 1xx ahead {}, run {}",
        of(&tally.turned_away),
        of(&tally.second_copies),
        of(&tally.ahead),
        of(&tally.ran)
    ));
    record.say(&format!(
        "without an answer {:.0} ms after their last byte: {}, of these {} that came to no server",
        WAIT_MS + SLACK_MS,
        of(&tally.lost),
        of(&tally.nowhere)
    ));
    record.say(&format!(
        "run with a body that nobody sent: {mixed}, of these answered 200: {}",
        of(&tally.mixed_served)
    ));
    if node.has_exited() {
        record.say("the node has ended by itself");
        return NOT_RUN;
    }
    if of(&tally.served) < 50 {
        record.say("too few uploads were served for a judgement");
        return NOT_RUN;
    }
    i32::from(of(&tally.lost) > 0 || mixed > 0)
}
