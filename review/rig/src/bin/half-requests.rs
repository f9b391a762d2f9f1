//! Case: bad clients send most of a head, or half a body, and stay. The node holds more for each than it counts and
//! goes over the memory that the configuration allows it, so the platform kills it.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use review_rig::*;

const SERVERS: usize = 9;
/// The usual clients, and their requests a second.
const CLIENTS: usize = 20;
const RATE: f64 = 100.0;
/// The limits of the configuration (the pages: 32 to 192 MB, 256 to 1,024 descriptors).
const MEMORY_MB: u64 = 48;
const SOCKETS: u64 = 1024;
/// The bad clients, and what they send: every other one a part of a head, the rest a head and a part of a body.
const BAD_CLIENTS: usize = 600;
const HEAD_BYTES: usize = 16_000;
const BODY_BYTES: usize = 61_440;
const CALM_FOR: Duration = Duration::from_secs(5);
const RUN_FOR: Duration = Duration::from_secs(20);

fn main() {
    std::process::exit(run());
}

/// Each connects, sends its part of a request at full speed and stays; it reads what it is sent, and closes when
/// the node has.
fn bad_clients(node: SocketAddr, record: &Record, stopping: &AtomicBool) {
    let head = format!("POST /api?k=1 HTTP/1.1\r\nHost: origin\r\nX-Extras: {}", "a".repeat(HEAD_BYTES - 50));
    let body = |number: usize| {
        let head = format!(
            "POST /api?k=1 HTTP/1.1\r\nHost: origin\r\nX-Request-Id: bad-{number}\r\nX-Class: update\r\nX-Deadline: 0.800\r\nIdempotency-Key: bad-{number}\r\nTransfer-Encoding: chunked\r\n\r\n{BODY_BYTES:x}\r\n"
        );
        [head.as_bytes(), &vec![b'b'; BODY_BYTES]].concat()
    };
    let (mut open, mut connected, mut answered) = (Vec::new(), 0, 0);
    let started = Instant::now();
    while !stopping.load(Relaxed) {
        if connected < BAD_CLIENTS {
            let Ok(mut stream) = TcpStream::connect(node) else { break };
            let _ = stream.set_write_timeout(Some(Duration::from_millis(200)));
            let _ = match connected % 2 {
                0 => stream.write_all(head.as_bytes()),
                _ => stream.write_all(&body(connected)),
            };
            let _ = stream.set_nonblocking(true);
            open.push(stream);
            connected += 1;
            if connected == BAD_CLIENTS {
                let ms = started.elapsed().as_millis();
                record.say(&format!(
                    "{BAD_CLIENTS} bad clients have sent a part of a request each, in {ms} ms"
                ));
            }
        }
        if connected % 50 == 0 || connected == BAD_CLIENTS {
            open.retain_mut(|stream| match stream.read(&mut [0; 4096]) {
                Ok(0) => false,
                Ok(_) => {
                    answered += 1;
                    true
                }
                Err(e) => e.kind() == ErrorKind::WouldBlock,
            });
        }
        thread::sleep(if connected < BAD_CLIENTS {
            Duration::from_micros(300)
        } else {
            Duration::from_millis(50)
        });
    }
    record.say(&format!("bad clients: {answered} were answered, {} are still open", open.len()));
}

fn run() -> i32 {
    let (record, temporary) = (Record::new(), Temporary::new());
    record.say("part A");
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
    let node = Arc::new(Node::start(&temporary.0, 0, &settings, &catalog));
    node.await_ready();
    let (stopping, killed) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    // The platform: a node over its memory is killed.
    let peak = Arc::new(AtomicU64::new(0));
    let platform = {
        let (node, record, stopping) = (Arc::clone(&node), Arc::clone(&record), Arc::clone(&stopping));
        let (killed, peak) = (Arc::clone(&killed), Arc::clone(&peak));
        thread::spawn(move || {
            let pid = node.pid();
            while !stopping.load(Relaxed) {
                let Some(kib) = anonymous_kib(pid) else { return };
                if kib / 1024 > peak.fetch_max(kib, Relaxed) / 1024 {
                    record.line(&format!("the node holds {kib} KiB of anonymous memory"));
                }
                if kib > MEMORY_MB * 1024 {
                    killed.store(true, Relaxed);
                    node.kill();
                    record.say(&format!(
                        "the node holds {kib} KiB of {} KiB: the platform kills it",
                        MEMORY_MB * 1024
                    ));
                    return;
                }
                thread::sleep(Duration::from_millis(10));
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
    thread::sleep(CALM_FOR);
    let bad = (!calm()).then(|| {
        let (address, record, stopping) = (node.address, Arc::clone(&record), Arc::clone(&stopping));
        thread::spawn(move || bad_clients(address, &record, &stopping))
    });
    thread::sleep(RUN_FOR - CALM_FOR);
    stopping.store(true, Relaxed);
    clients.into_iter().chain(bad).chain([platform]).for_each(|thread| drop(thread.join()));
    let of = |counter: &AtomicU64| counter.load(Relaxed);
    record.say(&format!(
        "served {}; no answer {}; the node's peak was {} KiB of anonymous memory, {} KiB are allowed",
        of(&served),
        of(&unanswered),
        of(&peak),
        MEMORY_MB * 1024
    ));
    if of(&served) < 200 {
        record.say("too few requests were served for a judgement");
        return NOT_RUN;
    }
    i32::from(killed.load(Relaxed) || node.has_exited())
}
