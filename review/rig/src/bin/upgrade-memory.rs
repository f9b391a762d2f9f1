//! Case: bad clients send half a body and stay, in two waves of hundreds; between the waves the process of the node is
//! replaced. The memory of the first wave is still held by the old process when the new one holds that of the
//! second, so both together go over the memory that the configuration allows the node.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_rig::*;

const SERVERS: usize = 9;
/// The usual clients, and their requests a second.
const CLIENTS: usize = 20;
const RATE: f64 = 100.0;
/// The limits of the configuration (the pages: 32 to 192 MB, 256 to 1,024 descriptors).
const MEMORY_MB: u64 = 48;
const SOCKETS: u64 = 384;
/// The bad clients of a wave, those that come while both processes serve, and what each sends of its body.
const WAVE: usize = 200;
const BETWEEN: usize = 20;
const BODY_BYTES: usize = 61_440;

fn main() {
    std::process::exit(run());
}

/// Each connects, sends half a body at full speed and stays until the node has closed; it reads what it is
/// sent.
fn bad_clients(node: SocketAddr, count: usize, first: usize, record: &Record, stopping: &AtomicBool) {
    let (mut open, mut answered) = (Vec::new(), 0);
    let started = Instant::now();
    for number in first..first + count {
        let mut bytes = format!(
            "POST /api?k=1 HTTP/1.1\r\nHost: origin\r\nX-Request-Id: bad-{number}\r\nX-Class: update\r\nX-Deadline: 0.800\r\nIdempotency-Key: bad-{number}\r\nTransfer-Encoding: chunked\r\n\r\n{BODY_BYTES:x}\r\n"
        )
        .into_bytes();
        bytes.extend(std::iter::repeat_n(b'b', BODY_BYTES));
        let Ok(mut stream) = TcpStream::connect(node) else { continue };
        let _ = stream.set_write_timeout(Some(Duration::from_millis(200)));
        let _ = stream.write_all(&bytes);
        let _ = stream.set_nonblocking(true);
        open.push(stream);
        thread::sleep(Duration::from_micros(300));
    }
    record.say(&format!(
        "{} bad clients have sent half a request each, in {} ms",
        open.len(),
        started.elapsed().as_millis()
    ));
    while !stopping.load(Relaxed) && !open.is_empty() {
        open.retain_mut(|stream| match stream.read(&mut [0; 4096]) {
            Ok(0) => false,
            Ok(_) => {
                answered += 1;
                true
            }
            Err(e) => e.kind() == ErrorKind::WouldBlock,
        });
        thread::sleep(Duration::from_millis(20));
    }
    record.say(&format!(
        "bad clients: {answered} of {count} were answered, {} are still open after {} ms",
        open.len(),
        started.elapsed().as_millis()
    ));
}

/// Waits until a process says that it is ready.
fn await_yes(ops: SocketAddr) {
    let until = Instant::now() + Duration::from_secs(20);
    while Instant::now() < until {
        if let Ok(mut stream) = TcpStream::connect(ops) {
            let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
            let _ = stream.write_all(b"readyz\n");
            let mut line = String::new();
            if BufReader::new(stream).read_line(&mut line).is_ok() && line.starts_with("YES") {
                return;
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    cannot_run("a process was not ready within 20 s")
}

fn run() -> i32 {
    let (record, temporary) = (Record::new(), Temporary::new());
    record.say("part B");
    let listed = (0..SERVERS).map(|n| {
        let address = plain_server(format!("s{n}"), (39.0, 70.0), Arc::clone(&record), |_, _| {});
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
        limits: (MEMORY_MB, SOCKETS),
    };
    let (old_ops, new_ops) = (free_address(), free_address());
    let node = Arc::new(Node::start_with_ops(&temporary.0, 0, &settings, &catalog, Some(old_ops)));
    node.await_ready();
    await_yes(old_ops);
    let (stopping, killed) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    // The platform: a node over its memory is killed; both processes count as one node.
    let peak = Arc::new(AtomicU64::new(0));
    let pids = Arc::new(Mutex::new(vec![node.pid()]));
    let platform = {
        let (node, record, stopping) = (Arc::clone(&node), Arc::clone(&record), Arc::clone(&stopping));
        let (killed, peak, pids) = (Arc::clone(&killed), Arc::clone(&peak), Arc::clone(&pids));
        thread::spawn(move || {
            while !stopping.load(Relaxed) {
                let of: Vec<u64> = pids
                    .lock()
                    .expect("no panic")
                    .iter()
                    .map(|pid| anonymous_kib(*pid).unwrap_or(0))
                    .collect();
                let kib: u64 = of.iter().sum();
                if kib / 1024 > peak.fetch_max(kib, Relaxed) / 1024 {
                    record.line(&format!("the node's processes hold {of:?} KiB of anonymous memory"));
                }
                if kib > MEMORY_MB * 1024 {
                    killed.store(true, Relaxed);
                    node.kill();
                    record.say(&format!(
                        "the node's processes hold {of:?}, together {kib} KiB of {} KiB: the platform kills them",
                        MEMORY_MB * 1024
                    ));
                    return;
                }
                thread::sleep(Duration::from_millis(5));
            }
        })
    };
    let (served, unanswered) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (stopping, killed) = (Arc::clone(&stopping), Arc::clone(&killed));
            let (served, unanswered) = (Arc::clone(&served), Arc::clone(&unanswered));
            let (record, address) = (Arc::clone(&record), node.address);
            thread::spawn(move || {
                let mut random = Random(0xc11e_0000 + number as u64);
                let (mut connection, mut next, mut count) = (None, Instant::now(), 0);
                while !stopping.load(Relaxed) && !killed.load(Relaxed) {
                    next = (next
                        + Duration::from_secs_f64(-(1.0 - random.unit()).ln() * CLIENTS as f64 / RATE))
                    .max(Instant::now());
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                    count += 1;
                    let id = format!("{:016x}", Random((number as u64) << 32 | count).next());
                    let request = request_bytes(&id, 0.8, true);
                    match ask(address, &mut connection, request.as_bytes(), Duration::from_millis(1300)) {
                        Ok(answer) => {
                            served.fetch_add(u64::from(answer.status() == 200), Relaxed);
                            record.line(&format!("client {number} gets {} for {id}", answer.status()));
                        }
                        Err(error) => {
                            unanswered.fetch_add(1, Relaxed);
                            record.line(&format!("client {number} gets no answer for {id}: {error}"));
                        }
                    }
                }
            })
        })
        .collect();
    let mut bad = Vec::new();
    let mut wave = |count: usize, first: usize| {
        if !calm() {
            let (address, record, stopping) = (node.address, Arc::clone(&record), Arc::clone(&stopping));
            bad.push(thread::spawn(move || bad_clients(address, count, first, &record, &stopping)));
        }
    };
    thread::sleep(Duration::from_secs(3));
    wave(WAVE, 0);
    thread::sleep(Duration::from_secs(6));
    record.say("a second process of the node starts");
    let old = node.pid();
    let new = node.launch(Some(new_ops));
    pids.lock().expect("no panic").push(new);
    await_yes(new_ops);
    record.say("the second process is ready");
    wave(BETWEEN, 1000);
    thread::sleep(Duration::from_millis(100));
    signal(old, "TERM");
    record.say("the first process gets SIGTERM");
    thread::sleep(Duration::from_millis(100));
    wave(WAVE, 2000);
    thread::sleep(Duration::from_secs(6));
    stopping.store(true, Relaxed);
    clients.into_iter().chain(bad).chain([platform]).for_each(|thread| drop(thread.join()));
    let of = |counter: &AtomicU64| counter.load(Relaxed);
    record.say(&format!(
        "served {}; no answer {}; the peak of the node's processes together was {} KiB of anonymous memory, {} KiB are allowed",
        of(&served), of(&unanswered), of(&peak), MEMORY_MB * 1024
    ));
    if of(&served) < 200 {
        record.say("too few requests were served for a judgement");
        return NOT_RUN;
    }
    i32::from(killed.load(Relaxed))
}
