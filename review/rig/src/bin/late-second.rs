//! Case: a server's second answer comes some milliseconds after the first, while the node's next request on
//! the same connection is still on its way to the server. The node takes it for the answer to that request: a second
//! 200 gives a client another one's answer, a second "turned away" lets an unsafe request run twice.

use std::collections::{HashMap, HashSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_rig::*;

const NODES: usize = 3;
const SERVERS: usize = 9;
const ZONES: [&str; 3] = ["augusta", "concord", "montpelier"];
const RUN_FOR: Duration = Duration::from_secs(45);
/// Requests a second at all nodes together, and clients at each.
const RATE: f64 = 200.0;
const CLIENTS: usize = 25;
/// One way, in milliseconds: within a zone, and between zones (the pages: 0.12 to 0.26, and 2.8 to 5.2).
const SAME_MS: f64 = 0.25;
const CROSS_MS: f64 = 5.0;
/// This share of the attempts finds the server's queue full, with and without the disruption.
const FULL_SHARE: f64 = 0.1;
/// The disruption: this share of the answers is followed by a second copy, this much later.
const SECOND_SHARE: f64 = 0.1;
const SECOND_AFTER: Duration = Duration::from_millis(8);

/// Bytes and when they arrive; `None`: the end of the stream.
type InFlight = (Instant, Option<Vec<u8>>);

struct Server {
    id: String,
    cores: usize,
    speed: f64,
    /// Requests that wait, and that are worked on.
    load: Mutex<(usize, usize)>,
    freed: Condvar,
    random: Mutex<Random>,
    second_copies: AtomicU64,
}

struct World {
    record: Arc<Record>,
    trouble: bool,
    stopping: AtomicBool,
    sent_ids: Mutex<HashSet<String>>,
    /// How often each request ran.
    ran_ids: Mutex<HashMap<String, u32>>,
    /// The ids whose clients got an answer made for another request.
    foreign_ids: Mutex<Vec<String>>,
}

impl Server {
    /// Works on one request; `false`: turned away, as the queue is full.
    fn work(&self) -> bool {
        let mut load = self.load.lock().expect("no panic");
        if load.0 >= 20 * self.cores {
            return false;
        }
        load.0 += 1;
        while load.1 >= self.cores {
            load = self.freed.wait(load).expect("no panic");
        }
        (load.0, load.1) = (load.0 - 1, load.1 + 1);
        drop(load);
        let work_ms = self.random.lock().expect("no panic").between(39.0, 70.0) / self.speed;
        thread::sleep(Duration::from_secs_f64(work_ms / 1000.0));
        self.load.lock().expect("no panic").1 -= 1;
        self.freed.notify_one();
        true
    }

    fn report(&self) -> String {
        let load = self.load.lock().expect("no panic");
        format!("waiting={},active={}", load.0, load.0 + load.1)
    }
}

fn listen(listener: TcpListener, server: Arc<Server>, world: Arc<World>, one_way: Duration) {
    for stream in listener.incoming().flatten() {
        let (server, world) = (Arc::clone(&server), Arc::clone(&world));
        thread::spawn(move || serve(stream, &server, &world, one_way));
    }
}

/// One connection at a server that is `one_way` from the node: what either side writes arrives that much
/// later, in order.
fn serve(stream: TcpStream, server: &Server, world: &World, one_way: Duration) {
    let _ = stream.set_nodelay(true);
    let (arriving, arrivals) = mpsc::channel::<InFlight>();
    let (leaving, departures) = mpsc::channel::<InFlight>();
    let mut reader = stream.try_clone().expect("a socket");
    thread::spawn(move || {
        let mut chunk = [0; 16 * 1024];
        loop {
            let n = reader.read(&mut chunk).unwrap_or(0);
            let bytes = (n > 0).then(|| chunk[..n].to_vec());
            if arriving.send((Instant::now() + one_way, bytes)).is_err() || n == 0 {
                return;
            }
        }
    });
    let mut writer = stream;
    thread::spawn(move || {
        for (at, bytes) in departures {
            thread::sleep(at.saturating_duration_since(Instant::now()));
            let Some(bytes) = bytes else { break };
            if writer.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = writer.shutdown(std::net::Shutdown::Both);
    });
    let _ = answer_requests(server, world, one_way, &arrivals, &leaving);
    let _ = leaving.send((Instant::now() + one_way, None));
}

fn answer_requests(
    server: &Server,
    world: &World,
    one_way: Duration,
    arrivals: &Receiver<InFlight>,
    leaving: &Sender<InFlight>,
) -> Option<()> {
    let mut buffered = Vec::new();
    let send = |bytes: Vec<u8>| leaving.send((Instant::now() + one_way, Some(bytes))).ok();
    let receive = |buffered: &mut Vec<u8>| {
        let (at, bytes) = arrivals.recv().ok()?;
        thread::sleep(at.saturating_duration_since(Instant::now()));
        buffered.extend_from_slice(&bytes?);
        Some(())
    };
    loop {
        let request = loop {
            match take_message(&mut buffered) {
                Ok(Some(request)) => break request,
                Ok(None) => receive(&mut buffered)?,
                Err(_) => return None,
            }
        };
        let Some(id) = request.field("x-request-id").map(str::to_owned) else {
            send(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n".to_vec())?;
            continue;
        };
        if !world.sent_ids.lock().expect("no panic").contains(&id) {
            world.record.line(&format!("server {} got an unknown id {id}", server.id));
            send(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n".to_vec())?;
            continue;
        }
        let turned_away = server.random.lock().expect("no panic").unit() < FULL_SHARE || !server.work();
        let answer = if turned_away {
            world.record.line(&format!("server {} turned {id} away", server.id));
            format!(
                "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nX-Load: {}\r\nContent-Length: 0\r\n\r\n",
                server.report()
            )
        } else {
            world.record.line(&format!("server {} ran {id}", server.id));
            *world.ran_ids.lock().expect("no panic").entry(id.clone()).or_default() += 1;
            let body = body_for(&id);
            format!(
                "HTTP/1.1 200 OK\r\nX-Load: {}\r\nContent-Length: {}\r\n\r\n{body}",
                server.report(),
                body.len()
            )
        };
        send(answer.clone().into_bytes())?;
        let has_second = server.random.lock().expect("no panic").unit() < SECOND_SHARE;
        if !world.trouble || !has_second {
            continue;
        }
        // The second copy goes out only if nothing else waits on the connection by then.
        let at = Instant::now() + SECOND_AFTER;
        let arrived = match arrivals.recv_timeout(at.saturating_duration_since(Instant::now())) {
            Ok((due, bytes)) if due <= at => {
                thread::sleep(due.saturating_duration_since(Instant::now()));
                buffered.extend_from_slice(&bytes?);
                continue;
            }
            // Still on its way.
            Ok((due, bytes)) => Some((due, bytes)),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return None,
        };
        thread::sleep(at.saturating_duration_since(Instant::now()));
        server.second_copies.fetch_add(1, Relaxed);
        world.record.line(&format!("server {} sent a second copy of the answer to {id}", server.id));
        send(answer.into_bytes())?;
        if let Some((due, bytes)) = arrived {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            buffered.extend_from_slice(&bytes?);
        }
    }
}

#[derive(Default)]
struct Tally {
    sent: AtomicU64,
    served: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    foreign: AtomicU64,
    unanswered: AtomicU64,
}

/// One client: a request at a time on a connection that it keeps.
fn client(node: SocketAddr, number: usize, world: &World, tally: &Tally) {
    let mut random = Random(0xc11e_0000 + number as u64);
    let mut connection: Option<TcpStream> = None;
    let mean_gap = NODES as f64 * CLIENTS as f64 / RATE;
    let (mut next, mut count) = (Instant::now(), 0);
    loop {
        next += Duration::from_secs_f64(-mean_gap * (1.0 - random.unit()).ln());
        thread::sleep(next.saturating_duration_since(Instant::now()));
        if world.stopping.load(Relaxed) {
            return;
        }
        count += 1;
        let id = format!("{:016x}", Random((number as u64) << 32 | count).next());
        world.sent_ids.lock().expect("no panic").insert(id.clone());
        world.record.line(&format!("client {number} sends {id}"));
        tally.sent.fetch_add(1, Relaxed);
        let body = format!("rooms for {id}");
        let request = format!(
            "POST /api?k={number:x} HTTP/1.1\r\nHost: origin\r\nX-Request-Id: {id}\r\nX-Class: update\r\nX-Deadline: 0.800\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut answer = Err("not sent".into());
        for _ in 0..2 {
            let kept = connection.take();
            let reused = kept.is_some();
            let Some(mut stream) = kept.or_else(|| TcpStream::connect(node).ok()) else { break };
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(Duration::from_millis(1300)));
            let written = stream.write_all(request.as_bytes());
            answer =
                written.map_err(|e| e.to_string()).and_then(|()| read_message(&mut stream, &mut Vec::new()));
            match &answer {
                Ok(Some(answer)) => {
                    let closes = answer.field("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
                    connection = (!closes).then_some(stream);
                    break;
                }
                // The node closed the connection between two requests: once more, on a new one.
                Ok(None) if reused => {}
                _ => break,
            }
        }
        match answer {
            Ok(Some(answer)) if answer.status() == 200 => {
                let text = String::from_utf8_lossy(&answer.body).into_owned();
                if text == body_for(&id) {
                    tally.served.fetch_add(1, Relaxed);
                    world.record.line(&format!("client {number} gets 200 for {id}"));
                } else {
                    tally.foreign.fetch_add(1, Relaxed);
                    world.foreign_ids.lock().expect("no panic").push(id.clone());
                    world
                        .record
                        .line(&format!("client {number} gets 200 for {id} with a FOREIGN answer: {text}"));
                }
            }
            Ok(Some(answer)) => {
                let refused = matches!(answer.status(), 429 | 503);
                if refused { &tally.refused } else { &tally.failed }.fetch_add(1, Relaxed);
                world.record.line(&format!("client {number} gets {} for {id}", answer.status()));
            }
            other => {
                tally.unanswered.fetch_add(1, Relaxed);
                world.record.line(&format!("client {number} gets no answer for {id}: {other:?}"));
            }
        }
    }
}

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let (record, temporary) = (Record::new(), Temporary::new());
    let world = Arc::new(World {
        record: Arc::clone(&record),
        trouble: !calm(),
        stopping: AtomicBool::new(false),
        sent_ids: Mutex::default(),
        ran_ids: Mutex::default(),
        foreign_ids: Mutex::default(),
    });
    let servers: Vec<Arc<Server>> = (0..SERVERS)
        .map(|n| {
            let (cores, speed) = if n % 5 < 3 { (2, 1.5) } else { (1, 1.0) };
            Arc::new(Server {
                id: format!("s{n}"),
                cores,
                speed,
                load: Mutex::default(),
                freed: Condvar::new(),
                random: Mutex::new(Random(0x5e44_0000 + n as u64)),
                second_copies: AtomicU64::new(0),
            })
        })
        .collect();
    let settings = Settings {
        nodes: NODES,
        zones: ZONES.to_vec(),
        classes: vec![unsafe_class()],
        max_attempts: 3,
        limits: (192, 1024),
    };
    let nodes: Vec<Node> = (0..NODES)
        .map(|node| {
            // Each node reaches a server at an address of its own, with the delay between their zones.
            let listed = servers.iter().enumerate().map(|(n, server)| {
                let (listener, address) = bind();
                let one_way = if n % ZONES.len() == node % ZONES.len() { SAME_MS } else { CROSS_MS };
                let (server, world) = (Arc::clone(server), Arc::clone(&world));
                let id = server.id.clone();
                let kind = if server.cores == 2 { "large" } else { "small" };
                let one_way = Duration::from_secs_f64(one_way / 1000.0);
                thread::spawn(move || listen(listener, server, world, one_way));
                Listed {
                    id,
                    address,
                    zone: ZONES[n % ZONES.len()].into(),
                    kind: kind.into(),
                    cell: n / 5,
                    phase: "active",
                    up_since_ms: 0.0,
                }
            });
            let catalog = Catalog::start(listed.collect());
            Node::start(&temporary.0, node, &settings, &catalog)
        })
        .collect();
    nodes.iter().for_each(Node::await_ready);
    let tally = Arc::new(Tally::default());
    let clients: Vec<_> = (0..NODES * CLIENTS)
        .map(|number| {
            let (address, world, tally) =
                (nodes[number % NODES].address, Arc::clone(&world), Arc::clone(&tally));
            thread::spawn(move || client(address, number, &world, &tally))
        })
        .collect();
    thread::sleep(RUN_FOR);
    world.stopping.store(true, Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    let of = |counter: &AtomicU64| counter.load(Relaxed);
    let second: u64 = servers.iter().map(|s| of(&s.second_copies)).sum();
    record.say(&format!(
        "sent {}, served {}, refused {}, failed {}, unanswered {}; second copies {second}; foreign answers {}",
        of(&tally.sent), of(&tally.served), of(&tally.refused), of(&tally.failed), of(&tally.unanswered), of(&tally.foreign)
    ));
    let ran = world.ran_ids.lock().expect("no panic");
    let foreign = world.foreign_ids.lock().expect("no panic");
    let never_ran = foreign.iter().filter(|id| !ran.contains_key(*id)).count();
    let twice = ran.values().filter(|times| **times > 1).count();
    record.say(&format!(
        "requests with a foreign answer that no server ran: {never_ran}; unsafe requests that ran twice: {twice}"
    ));
    if nodes.iter().any(Node::has_exited) {
        record.say("a node has ended by itself");
        return NOT_RUN;
    }
    if of(&tally.served) < 1000 {
        record.say("too few requests were served for a judgement");
        return NOT_RUN;
    }
    if of(&tally.foreign) > 0 || twice > 0 {
        BROKEN
    } else {
        HELD
    }
}
