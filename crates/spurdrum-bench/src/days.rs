//! What operators meet: replacing the process under load, and many long bodies and answers at once.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use spurdrum_harness::{free_address, program};

const WAIT_MOST: Duration = Duration::from_secs(10);

/// Runs for as long as it is held.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        // Each fails where it has ended already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A folder that goes when it is dropped.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Result<Self, String> {
        let path = std::env::temp_dir().join(format!("spurdrum-bench-{}", std::process::id()));
        std::fs::create_dir_all(&path).map_err(|error| format!("{}: {error}", path.display()))?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Starts the node before one server, and waits until it says yes. Without a folder it can hand nothing over.
fn start(
    listen: SocketAddr,
    server: SocketAddr,
    folder: &Path,
    hands_over: bool,
) -> Result<(Process, SocketAddr), String> {
    let ops = free_address()?;
    let file = folder.join(format!("{}.toml", ops.port()));
    let text = format!(
        "[node]\nlisten = \"{listen}\"\nops = \"{ops}\"\nmemory_mb = 256\n[[class]]\nname = \"pay\"\neffect = \"unsafe\"\n\
         deadline_ms = 3000\n[sources.static]\nservers = [{{ address = \"{server}\" }}]\n"
    );
    std::fs::write(&file, text).map_err(|error| format!("{}: {error}", file.display()))?;
    let mut command = Command::new(program()?);
    command.arg("--config").arg(file).stderr(Stdio::null()).env_remove("TMPDIR");
    if hands_over {
        command.env("TMPDIR", folder);
    }
    let child = command.spawn().map_err(|error| format!("the node does not start: {error}"))?;
    let (process, since) = (Process(child), Instant::now());
    while !says_yes(ops) {
        if since.elapsed() > WAIT_MOST {
            return Err("the node does not say yes".into());
        }
        thread::sleep(Duration::from_millis(5));
    }
    Ok((process, ops))
}

fn says_yes(ops: SocketAddr) -> bool {
    call(ops, "readyz").is_ok_and(|answer| answer.starts_with("YES"))
}

fn call(ops: SocketAddr, line: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(ops)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    stream.write_all(format!("{line}\n").as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer)
}

/// Reads a head; its lines in lower case.
fn head(from: &mut impl BufRead) -> std::io::Result<Vec<String>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        match line.trim_end() {
            "" => return Ok(lines),
            text => lines.push(text.to_lowercase()),
        }
    }
}

fn field<'a>(lines: &'a [String], name: &str) -> Option<&'a str> {
    lines.iter().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
}

/// Reads so much and keeps none of it; calls `pace` after each piece.
fn swallow(from: &mut impl Read, length: u64, mut pace: impl FnMut(u64)) -> std::io::Result<()> {
    let (mut left, mut piece) = (length, vec![0; 64 * 1024]);
    while left > 0 {
        let most = piece.len().min(left as usize);
        let n = from.read(&mut piece[..most])?;
        if n == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        left -= n as u64;
        pace(length - left);
    }
    Ok(())
}

/// How often each id ran.
type Ran = Arc<Mutex<HashMap<String, u32>>>;

/// A server that reads each body and answers with so many bytes.
fn serve(answer: u64) -> Result<(SocketAddr, Ran), String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    let ran = Ran::default();
    let counted = Arc::clone(&ran);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let ran = Arc::clone(&counted);
            thread::spawn(move || {
                // It ends with its connection.
                let _ = serve_one(stream, answer, &ran);
            });
        }
    });
    Ok((address, ran))
}

fn serve_one(stream: TcpStream, answer: u64, ran: &Ran) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut out = stream.try_clone()?;
    let mut from = BufReader::new(stream);
    loop {
        let lines = head(&mut from)?;
        let length = field(&lines, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        swallow(&mut from, length, |_| {})?;
        let id = field(&lines, "x-request-id").unwrap_or_default().to_owned();
        *ran.lock().expect("counted").entry(id).or_default() += 1;
        let mut text = format!("HTTP/1.1 200 OK\r\ncontent-length: {answer}\r\n\r\n").into_bytes();
        text.resize(text.len() + answer.min(1024) as usize, b'x');
        out.write_all(&text)?;
        let (piece, mut left) = (vec![b'x'; 64 * 1024], answer - answer.min(1024));
        while left > 0 {
            let part = left.min(piece.len() as u64);
            out.write_all(&piece[..part as usize])?;
            left -= part;
        }
    }
}

fn request(id: &str, length: u64) -> String {
    format!(
        "POST /api HTTP/1.1\r\nhost: o\r\nx-request-id: {id}\r\nx-class: pay\r\nx-deadline: 3\r\ncontent-length: {length}\r\n\r\n"
    )
}

// ---- replace

#[derive(Default)]
struct Outcomes {
    served: AtomicU64,
    /// Refused or failed by an answer.
    answered: AtomicU64,
    /// No connection, or it ended with nothing said.
    turned_back: AtomicU64,
}

/// The process is replaced over and over under load, with and without a way to hand over.
pub fn replace(times: usize, clients: usize) -> Result<(), String> {
    println!("{clients} clients at work, half of them with a new connection for each request; {times} replacements each\n");
    println!(
        "{:<36}{:>10}{:>12}{:>14}{:>18}{:>12}{:>14}",
        "", "served", "else", "turned back", "for a replacement", "ran twice", "old ends, ms"
    );
    for (name, hands_over) in [("listening socket handed over", true), ("SO_REUSEPORT alone", false)] {
        let folder = Folder::new()?;
        let (server, ran) = serve(16)?;
        let listen = free_address()?;
        let mut node = start(listen, server, &folder.0, hands_over)?.0;
        let (outcomes, stop) = (Arc::new(Outcomes::default()), Arc::new(AtomicBool::new(false)));
        let workers: Vec<_> = (0..clients)
            .map(|n| {
                let (outcomes, stop) = (Arc::clone(&outcomes), Arc::clone(&stop));
                thread::spawn(move || work(n, listen, &outcomes, &stop, Duration::from_millis(1)))
            })
            .collect();
        let mut ends = Vec::new();
        for _ in 0..times {
            thread::sleep(Duration::from_millis(500));
            let next = start(listen, server, &folder.0, hands_over)?.0;
            let asked = Instant::now();
            let pid = rustix::process::Pid::from_child(&node.0);
            rustix::process::kill_process(pid, rustix::process::Signal::TERM).map_err(|e| e.to_string())?;
            node.0.wait().map_err(|error| error.to_string())?;
            ends.push(asked.elapsed().as_millis());
            node = next;
        }
        stop.store(true, Ordering::Relaxed);
        for worker in workers {
            worker.join().map_err(|_| "a client gave up".to_owned())?;
        }
        ends.sort_unstable();
        let count = |of: &AtomicU64| of.load(Ordering::Relaxed);
        let twice = ran.lock().expect("counted").values().filter(|times| **times > 1).count();
        let turned_back = count(&outcomes.turned_back);
        println!(
            "{name:<36}{:>10}{:>12}{turned_back:>14}{:>18.2}{twice:>12}{:>14}",
            count(&outcomes.served),
            count(&outcomes.answered),
            turned_back as f64 / times as f64,
            ends[ends.len() / 2]
        );
    }
    Ok(())
}

fn work(n: usize, listen: SocketAddr, outcomes: &Outcomes, stop: &AtomicBool, rest: Duration) {
    let (mut kept, mut number) = (None, 0);
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("c{n}-{number}");
        let ask = |stream: &mut BufReader<TcpStream>| -> std::io::Result<Vec<String>> {
            stream.get_mut().write_all(request(&id, 0).as_bytes())?;
            let lines = head(stream)?;
            let length = field(&lines, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
            swallow(stream, length, |_| {})?;
            Ok(lines)
        };
        let connected = kept.take().or_else(|| {
            let stream = TcpStream::connect(listen).ok()?;
            stream.set_nodelay(true).and_then(|()| stream.set_read_timeout(Some(WAIT_MOST))).ok()?;
            Some(BufReader::new(stream))
        });
        let counted = match connected.map(|mut stream| (ask(&mut stream), stream)) {
            Some((Ok(lines), stream)) => {
                let closes = field(&lines, "connection").is_some_and(|option| option.contains("close"));
                if n.is_multiple_of(2) && !closes {
                    kept = Some(stream);
                }
                let served = lines.first().is_some_and(|first| first.starts_with("http/1.1 200"));
                if served {
                    &outcomes.served
                } else {
                    &outcomes.answered
                }
            }
            _ => &outcomes.turned_back,
        };
        counted.fetch_add(1, Ordering::Relaxed);
        if !rest.is_zero() {
            thread::sleep(rest);
        }
    }
}

// ---- calls

/// How long operators wait for their answers while clients ask as fast as they can, and some callers say
/// nothing.
pub fn calls(clients: &[usize], times: usize) -> Result<(), String> {
    println!("{times} calls at each load, telemetry and readyz in turn, beside 8 callers that say nothing\n");
    println!("{:<12}{:>14}{:>12}{:>12}{:>12}", "clients", "requests/s", "p50, ms", "p99, ms", "worst, ms");
    for clients in clients {
        let folder = Folder::new()?;
        let (server, _) = serve(16)?;
        let listen = free_address()?;
        let (_node, ops) = start(listen, server, &folder.0, true)?;
        let (outcomes, stop) = (Arc::new(Outcomes::default()), Arc::new(AtomicBool::new(false)));
        let workers: Vec<_> = (0..*clients)
            .map(|n| {
                let (outcomes, stop) = (Arc::clone(&outcomes), Arc::clone(&stop));
                thread::spawn(move || work(n, listen, &outcomes, &stop, Duration::ZERO))
            })
            .collect();
        let silent: Vec<_> = (0..8).filter_map(|_| TcpStream::connect(ops).ok()).collect();
        let (since, mut waits) = (Instant::now(), Vec::new());
        for n in 0..times {
            let asked = Instant::now();
            let answer = call(ops, if n % 2 == 0 { "telemetry" } else { "readyz" });
            answer.map_err(|error| format!("a call was not answered: {error}"))?;
            waits.push(asked.elapsed().as_secs_f64() * 1000.0);
            thread::sleep(Duration::from_millis(10));
        }
        let rate = outcomes.served.load(Ordering::Relaxed) as f64 / since.elapsed().as_secs_f64();
        stop.store(true, Ordering::Relaxed);
        for worker in workers {
            worker.join().map_err(|_| "a client gave up".to_owned())?;
        }
        drop(silent);
        waits.sort_by(f64::total_cmp);
        let part = |part: f64| waits[((waits.len() - 1) as f64 * part) as usize];
        println!("{clients:<12}{rate:>14.0}{:>12.1}{:>12.1}{:>12.1}", part(0.5), part(0.99), part(1.0));
    }
    Ok(())
}

// ---- streams

/// Memory of a node while so many bodies and answers of `megabytes` pass through it, read at a bounded pace.
pub fn streams(at_once: &[usize], megabytes: u64) -> Result<(), String> {
    println!(
        "bodies of {megabytes} MB to the server, answers of as much to a client that reads 8 MB a second\n"
    );
    println!(
        "{:<12}{:>16}{:>20}{:>12}{:>14}",
        "at once", "memory, MB", "for each more, kB", "MB/s", "not whole"
    );
    let mut least = None;
    for streams in at_once {
        let folder = Folder::new()?;
        let (server, _) = serve(megabytes << 20)?;
        let listen = free_address()?;
        let (node, _) = start(listen, server, &folder.0, true)?;
        let pid = node.0.id();
        let (peak, done) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
        let watching = {
            let (peak, done) = (Arc::clone(&peak), Arc::clone(&done));
            thread::spawn(move || {
                while !done.load(Ordering::Relaxed) {
                    peak.fetch_max(memory(pid), Ordering::Relaxed);
                    thread::sleep(Duration::from_millis(10));
                }
            })
        };
        let since = Instant::now();
        let clients: Vec<_> =
            (0..*streams).map(|n| thread::spawn(move || pass(n, listen, megabytes << 20))).collect();
        let whole = clients.into_iter().filter_map(|client| client.join().ok()).filter(Result::is_ok).count();
        let took = since.elapsed().as_secs_f64();
        done.store(true, Ordering::Relaxed);
        watching.join().map_err(|_| "the watch on memory ended".to_owned())?;
        let peak = peak.load(Ordering::Relaxed);
        let each = least.map_or(0.0, |(n, memory): (usize, u64)| {
            peak.saturating_sub(memory) as f64 / 1024.0 / (streams - n).max(1) as f64
        });
        least = least.or(Some((*streams, peak)));
        println!(
            "{streams:<12}{:>16.1}{each:>20.0}{:>12.0}{:>14}",
            peak as f64 / f64::from(1 << 20),
            (2 * megabytes * whole as u64) as f64 / took,
            streams - whole
        );
    }
    Ok(())
}

fn pass(n: usize, listen: SocketAddr, bytes: u64) -> std::io::Result<()> {
    let stream = TcpStream::connect(listen)?;
    stream.set_read_timeout(Some(Duration::from_secs(60)))?;
    let mut out = stream.try_clone()?;
    out.write_all(request(&format!("s{n}"), bytes).as_bytes())?;
    let piece = vec![b'x'; 64 * 1024];
    for _ in 0..bytes / piece.len() as u64 {
        out.write_all(&piece)?;
    }
    let mut from = BufReader::new(stream);
    let lines = head(&mut from)?;
    if !lines.first().is_some_and(|first| first.starts_with("http/1.1 200")) {
        return Err(ErrorKind::Other.into());
    }
    let since = Instant::now();
    swallow(&mut from, bytes, |so_far| {
        let due = Duration::from_secs_f64(so_far as f64 / f64::from(8 << 20));
        thread::sleep(due.saturating_sub(since.elapsed()));
    })
}

/// What a process holds, in bytes.
fn memory(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok()).unwrap_or(0) * 1024
}
