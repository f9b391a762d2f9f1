//! The `replace`, `calls` and `streams` commands: replacing the process under load, response times of the
//! admin endpoint at saturation, and memory with many long request and response bodies.

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

/// The time limit for the start of a node and for each read of a client.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// A child process that is killed when this is dropped.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        // Both calls fail if the process has already ended.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A temporary directory that is removed when this is dropped.
struct TempDirectory(PathBuf);

impl TempDirectory {
    fn new() -> Result<Self, String> {
        let path = std::env::temp_dir().join(format!("spurdrum-bench-{}", std::process::id()));
        std::fs::create_dir_all(&path).map_err(|error| format!("{}: {error}", path.display()))?;
        Ok(Self(path))
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Starts a node in front of one server and waits until it is ready. Returns it with the address of its admin
/// endpoint. Nodes hand their listening socket over through the directory; without `hands_over` they are not
/// given one.
fn start_node(
    listen: SocketAddr,
    server: SocketAddr,
    directory: &Path,
    hands_over: bool,
) -> Result<(Process, SocketAddr), String> {
    let ops = free_address()?;
    let file = directory.join(format!("{}.toml", ops.port()));
    let text = format!(
        "[node]\nlisten = \"{listen}\"\nops = \"{ops}\"\nmemory_mb = 256\n[[class]]\nname = \"pay\"\neffect = \"unsafe\"\n\
         deadline_ms = 3000\n[sources.static]\nservers = [{{ address = \"{server}\" }}]\n"
    );
    std::fs::write(&file, text).map_err(|error| format!("{}: {error}", file.display()))?;
    let mut command = Command::new(program()?);
    command.arg("--config").arg(file).stderr(Stdio::null()).env_remove("TMPDIR");
    if hands_over {
        command.env("TMPDIR", directory);
    }
    let child = command.spawn().map_err(|error| format!("cannot start the node: {error}"))?;
    let (process, since) = (Process(child), Instant::now());
    while !is_ready(ops) {
        if since.elapsed() > MAX_WAIT {
            return Err("the node was not ready within 10 s".into());
        }
        thread::sleep(Duration::from_millis(5));
    }
    Ok((process, ops))
}

/// Returns whether the node answers `readyz` with YES.
fn is_ready(ops: SocketAddr) -> bool {
    call(ops, "readyz").is_ok_and(|answer| answer.starts_with("YES"))
}

/// Sends a command to an admin endpoint and returns the response.
fn call(ops: SocketAddr, line: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(ops)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    stream.write_all(format!("{line}\n").as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer)
}

/// Reads a message head and returns its lines in lower case.
fn read_head(from: &mut impl BufRead) -> std::io::Result<Vec<String>> {
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

/// Returns the value of a header field.
fn field<'a>(lines: &'a [String], name: &str) -> Option<&'a str> {
    lines.iter().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
}

/// Reads and discards `length` bytes; calls `on_progress` with the number of bytes so far after each read.
fn discard(from: &mut impl Read, length: u64, mut on_progress: impl FnMut(u64)) -> std::io::Result<()> {
    let (mut remaining, mut buffer) = (length, vec![0; 64 * 1024]);
    while remaining > 0 {
        let max = buffer.len().min(remaining as usize);
        let read = from.read(&mut buffer[..max])?;
        if read == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        remaining -= read as u64;
        on_progress(length - remaining);
    }
    Ok(())
}

/// The number of executions of each request id.
type Executions = Arc<Mutex<HashMap<String, u32>>>;

/// Starts a server that reads each request body and responds with a body of this many bytes.
fn serve(response_length: u64) -> Result<(SocketAddr, Executions), String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    let executions = Executions::default();
    let shared_executions = Arc::clone(&executions);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let executions = Arc::clone(&shared_executions);
            thread::spawn(move || {
                // An error ends only this connection.
                let _ = serve_connection(stream, response_length, &executions);
            });
        }
    });
    Ok((address, executions))
}

fn serve_connection(stream: TcpStream, response_length: u64, executions: &Executions) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut from = BufReader::new(stream);
    loop {
        let lines = read_head(&mut from)?;
        let length = field(&lines, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        discard(&mut from, length, |_| {})?;
        let id = field(&lines, "x-request-id").unwrap_or_default().to_owned();
        *executions.lock().expect("not poisoned").entry(id).or_default() += 1;
        let mut text = format!("HTTP/1.1 200 OK\r\ncontent-length: {response_length}\r\n\r\n").into_bytes();
        text.resize(text.len() + response_length.min(1024) as usize, b'x');
        writer.write_all(&text)?;
        let (chunk, mut remaining) = (vec![b'x'; 64 * 1024], response_length - response_length.min(1024));
        while remaining > 0 {
            let part = remaining.min(chunk.len() as u64);
            writer.write_all(&chunk[..part as usize])?;
            remaining -= part;
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
    /// Responses with a status other than 200.
    other_status: AtomicU64,
    /// Requests without a response: the connection could not be opened, or ended before a whole response.
    no_response: AtomicU64,
}

/// Replaces the process repeatedly under load, with and without a handover of the listening socket.
pub fn replace(times: usize, clients: usize) -> Result<(), String> {
    println!(
        "{clients} clients, half of them with a new connection for each request; {times} replacements each\n"
    );
    println!(
        "{:<36}{:>10}{:>12}{:>14}{:>18}{:>12}{:>14}",
        "", "served", "else", "turned back", "for a replacement", "ran twice", "old ends, ms"
    );
    for (name, hands_over) in [("listening socket handed over", true), ("SO_REUSEPORT alone", false)] {
        let directory = TempDirectory::new()?;
        let (server, executions) = serve(16)?;
        let listen = free_address()?;
        let mut node = start_node(listen, server, &directory.0, hands_over)?.0;
        let (outcomes, stop) = (Arc::new(Outcomes::default()), Arc::new(AtomicBool::new(false)));
        let workers: Vec<_> = (0..clients)
            .map(|client| {
                let (outcomes, stop) = (Arc::clone(&outcomes), Arc::clone(&stop));
                thread::spawn(move || run_client(client, listen, &outcomes, &stop, Duration::from_millis(1)))
            })
            .collect();
        let mut exit_times_ms = Vec::new();
        for _ in 0..times {
            thread::sleep(Duration::from_millis(500));
            let next = start_node(listen, server, &directory.0, hands_over)?.0;
            let started = Instant::now();
            let pid = rustix::process::Pid::from_child(&node.0);
            rustix::process::kill_process(pid, rustix::process::Signal::TERM).map_err(|e| e.to_string())?;
            node.0.wait().map_err(|error| error.to_string())?;
            exit_times_ms.push(started.elapsed().as_millis());
            node = next;
        }
        stop.store(true, Ordering::Relaxed);
        for worker in workers {
            worker.join().map_err(|_| "a client thread panicked".to_owned())?;
        }
        exit_times_ms.sort_unstable();
        let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let twice = executions.lock().expect("not poisoned").values().filter(|times| **times > 1).count();
        let no_response = count(&outcomes.no_response);
        println!(
            "{name:<36}{:>10}{:>12}{no_response:>14}{:>18.2}{twice:>12}{:>14}",
            count(&outcomes.served),
            count(&outcomes.other_status),
            no_response as f64 / times as f64,
            exit_times_ms[exit_times_ms.len() / 2]
        );
    }
    Ok(())
}

/// Runs a client until `stop` is set; clients with even numbers keep their connections.
fn run_client(client: usize, listen: SocketAddr, outcomes: &Outcomes, stop: &AtomicBool, pause: Duration) {
    let (mut idle_connection, mut number) = (None, 0);
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("c{client}-{number}");
        let exchange = |stream: &mut BufReader<TcpStream>| -> std::io::Result<Vec<String>> {
            stream.get_mut().write_all(request(&id, 0).as_bytes())?;
            let lines = read_head(stream)?;
            let length = field(&lines, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
            discard(stream, length, |_| {})?;
            Ok(lines)
        };
        let connected = idle_connection.take().or_else(|| {
            let stream = TcpStream::connect(listen).ok()?;
            stream.set_nodelay(true).and_then(|()| stream.set_read_timeout(Some(MAX_WAIT))).ok()?;
            Some(BufReader::new(stream))
        });
        let counter = match connected.map(|mut stream| (exchange(&mut stream), stream)) {
            Some((Ok(lines), stream)) => {
                let closes = field(&lines, "connection").is_some_and(|option| option.contains("close"));
                if client.is_multiple_of(2) && !closes {
                    idle_connection = Some(stream);
                }
                let served = lines.first().is_some_and(|first| first.starts_with("http/1.1 200"));
                if served {
                    &outcomes.served
                } else {
                    &outcomes.other_status
                }
            }
            _ => &outcomes.no_response,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        if !pause.is_zero() {
            thread::sleep(pause);
        }
    }
}

// ---- calls

/// Measures the response times of the admin endpoint while clients send requests as fast as they can and idle
/// connections to the admin endpoint are open.
pub fn calls(clients: &[usize], times: usize) -> Result<(), String> {
    println!("{times} calls at each load, telemetry and readyz in turn, with 8 idle connections to the admin endpoint\n");
    println!("{:<12}{:>14}{:>12}{:>12}{:>12}", "clients", "requests/s", "p50, ms", "p99, ms", "worst, ms");
    for clients in clients {
        let directory = TempDirectory::new()?;
        let (server, _) = serve(16)?;
        let listen = free_address()?;
        let (_node, ops) = start_node(listen, server, &directory.0, true)?;
        let (outcomes, stop) = (Arc::new(Outcomes::default()), Arc::new(AtomicBool::new(false)));
        let workers: Vec<_> = (0..*clients)
            .map(|client| {
                let (outcomes, stop) = (Arc::clone(&outcomes), Arc::clone(&stop));
                thread::spawn(move || run_client(client, listen, &outcomes, &stop, Duration::ZERO))
            })
            .collect();
        let idle: Vec<_> = (0..8).filter_map(|_| TcpStream::connect(ops).ok()).collect();
        let (since, mut waits) = (Instant::now(), Vec::new());
        for call_index in 0..times {
            let started = Instant::now();
            let answer = call(ops, if call_index % 2 == 0 { "telemetry" } else { "readyz" });
            answer.map_err(|error| format!("the admin endpoint did not answer: {error}"))?;
            waits.push(started.elapsed().as_secs_f64() * 1000.0);
            thread::sleep(Duration::from_millis(10));
        }
        let rate = outcomes.served.load(Ordering::Relaxed) as f64 / since.elapsed().as_secs_f64();
        stop.store(true, Ordering::Relaxed);
        for worker in workers {
            worker.join().map_err(|_| "a client thread panicked".to_owned())?;
        }
        drop(idle);
        waits.sort_by(f64::total_cmp);
        let quantile = |fraction: f64| waits[((waits.len() - 1) as f64 * fraction) as usize];
        println!(
            "{clients:<12}{rate:>14.0}{:>12.1}{:>12.1}{:>12.1}",
            quantile(0.5),
            quantile(0.99),
            quantile(1.0)
        );
    }
    Ok(())
}

// ---- streams

/// Measures the memory of a node while concurrent request and response bodies of `megabytes` pass through it,
/// with clients that read at a limited rate.
pub fn streams(at_once: &[usize], megabytes: u64) -> Result<(), String> {
    println!(
        "request bodies of {megabytes} MB; responses as long, which each client reads at 8 MB per second\n"
    );
    println!(
        "{:<12}{:>16}{:>20}{:>12}{:>14}",
        "at once", "memory, MB", "for each more, kB", "MB/s", "not whole"
    );
    let mut baseline = None;
    for streams in at_once {
        let directory = TempDirectory::new()?;
        let (server, _) = serve(megabytes << 20)?;
        let listen = free_address()?;
        let (node, _) = start_node(listen, server, &directory.0, true)?;
        let pid = node.0.id();
        let (peak, done) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
        let memory_watcher = {
            let (peak, done) = (Arc::clone(&peak), Arc::clone(&done));
            thread::spawn(move || {
                while !done.load(Ordering::Relaxed) {
                    peak.fetch_max(resident_memory(pid), Ordering::Relaxed);
                    thread::sleep(Duration::from_millis(10));
                }
            })
        };
        let since = Instant::now();
        let clients: Vec<_> = (0..*streams)
            .map(|client| thread::spawn(move || transfer(client, listen, megabytes << 20)))
            .collect();
        let complete =
            clients.into_iter().filter_map(|client| client.join().ok()).filter(Result::is_ok).count();
        let elapsed_s = since.elapsed().as_secs_f64();
        done.store(true, Ordering::Relaxed);
        memory_watcher.join().map_err(|_| "the thread that reads the memory panicked".to_owned())?;
        let peak = peak.load(Ordering::Relaxed);
        let per_stream_kb = baseline.map_or(0.0, |(n, memory): (usize, u64)| {
            peak.saturating_sub(memory) as f64 / 1024.0 / (streams - n).max(1) as f64
        });
        baseline = baseline.or(Some((*streams, peak)));
        println!(
            "{streams:<12}{:>16.1}{per_stream_kb:>20.0}{:>12.0}{:>14}",
            peak as f64 / f64::from(1 << 20),
            (2 * megabytes * complete as u64) as f64 / elapsed_s,
            streams - complete
        );
    }
    Ok(())
}

/// Sends a request body and reads a response body of this many bytes, at 8 MB per second.
fn transfer(client: usize, listen: SocketAddr, bytes: u64) -> std::io::Result<()> {
    let stream = TcpStream::connect(listen)?;
    stream.set_read_timeout(Some(Duration::from_secs(60)))?;
    let mut writer = stream.try_clone()?;
    writer.write_all(request(&format!("s{client}"), bytes).as_bytes())?;
    let chunk = vec![b'x'; 64 * 1024];
    for _ in 0..bytes / chunk.len() as u64 {
        writer.write_all(&chunk)?;
    }
    let mut from = BufReader::new(stream);
    let lines = read_head(&mut from)?;
    if !lines.first().is_some_and(|first| first.starts_with("http/1.1 200")) {
        return Err(ErrorKind::Other.into());
    }
    let since = Instant::now();
    discard(&mut from, bytes, |so_far| {
        let due = Duration::from_secs_f64(so_far as f64 / f64::from(8 << 20));
        thread::sleep(due.saturating_sub(since.elapsed()));
    })
}

/// Returns the resident memory of a process in bytes.
fn resident_memory(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok()).unwrap_or(0) * 1024
}
