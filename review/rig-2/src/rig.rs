//! What the cases share: the node under test, stand-ins for servers, discovery and clients, and the record.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

extern "C" {
    #[link_name = "kill"]
    fn libc_kill(pid: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// The processes that are running: all of them are killed when the program ends, however it ends.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn signal_process(pid: u32, signal: i32) {
    // Only processes that this program started and has not waited for are signalled.
    if RUNNING.lock().unwrap().contains(&pid) {
        unsafe { libc_kill(pid as i32, signal) };
    }
}

pub fn kill_all() {
    let running = RUNNING.lock().unwrap().clone();
    for pid in running {
        unsafe { libc_kill(pid as i32, SIGKILL) };
    }
}

// ---- The record

/// The lines of `record.txt`.
pub struct Record {
    started: Instant,
    lines: Mutex<String>,
    path: PathBuf,
}

impl Record {
    pub fn new(folder: &Path) -> Arc<Self> {
        Arc::new(Self { started: Instant::now(), lines: Mutex::default(), path: folder.join("record.txt") })
    }

    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn say(&self, text: impl AsRef<str>) {
        let _ = writeln!(self.lines.lock().unwrap(), "{:9.4} {}", self.now(), text.as_ref());
    }

    pub fn save(&self) {
        let _ = fs::write(&self.path, &*self.lines.lock().unwrap());
    }
}

// ---- HTTP

#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map_or("", |(_, v)| v)
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn id(&self) -> String {
        self.header("x-request-id").to_owned()
    }
}

/// Reads a request or an answer whose end can be told from its head; none at the end of the stream between two.
pub fn read_message(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if stream.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message = Message { first: line.trim_end().to_owned(), ..Message::default() };
    loop {
        line.clear();
        if stream.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            line.clear();
            stream.read_line(&mut line)?;
            let size = line.trim_end().split(';').next().unwrap_or("");
            let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size];
            stream.read_exact(&mut chunk)?;
            message.body.extend(chunk);
            line.clear();
            stream.read_line(&mut line)?;
            if size == 0 {
                break;
            }
        }
    } else {
        let length = message.header("content-length").parse().unwrap_or(0);
        let mut body = vec![0; length];
        stream.read_exact(&mut body)?;
        message.body = body;
    }
    Ok(Some(message))
}

pub fn answer(status: &str, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\n{headers}content-length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// Closes a connection so that the other side sees a reset: nothing is left unsaid about what was not read.
pub fn reset(stream: &TcpStream) {
    #[repr(C)]
    struct Linger {
        on: i32,
        seconds: i32,
    }
    extern "C" {
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
    }
    use std::os::fd::AsRawFd;
    // SOL_SOCKET, SO_LINGER: the same numbers on x86-64 and on arm64.
    let linger = Linger { on: 1, seconds: 0 };
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, &linger, 8) };
    // The reset goes out when the last handle is closed.
}

// ---- Servers

/// What a server does with a request: gets the request, the connection, and the server's number of it.
pub type Handler = dyn Fn(Message, &TcpStream, u64) -> Next + Send + Sync;

/// What becomes of the connection after a request.
#[derive(PartialEq, Eq)]
pub enum Next {
    Keep,
    /// Closed with a reset.
    Reset,
    /// Kept open, and nothing more is read from it.
    Hang,
}

pub struct Server {
    pub address: SocketAddr,
}

impl Server {
    pub fn start(handler: impl Fn(Message, &TcpStream, u64) -> Next + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap();
        let handler: Arc<Handler> = Arc::new(handler);
        let requests = Arc::new(AtomicU64::new(0));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (handler, requests) = (Arc::clone(&handler), Arc::clone(&requests));
                thread::spawn(move || {
                    let _ = stream.set_nodelay(true);
                    let mut reader = BufReader::new(stream.try_clone().unwrap());
                    while let Ok(Some(request)) = read_message(&mut reader) {
                        let number = requests.fetch_add(1, Ordering::SeqCst);
                        match handler(request, &stream, number) {
                            Next::Keep => {}
                            Next::Reset => return reset(&stream),
                            Next::Hang => loop {
                                thread::sleep(ms(1000));
                            },
                        }
                    }
                });
            }
        });
        Self { address }
    }
}

// ---- Discovery

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Mode {
    /// Answers calls.
    Up,
    /// Takes connections and calls, and says nothing until it is up again.
    Silent,
}

struct State {
    revision: u64,
    /// Entries by id, each with the revision of its last change, whether it has left, and its JSON.
    members: Vec<(String, u64, bool, String)>,
    mode: Mode,
    /// How long an answer takes beyond the wait of its call.
    slowness: Duration,
}

/// The list of servers, as the protocol page has it.
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

pub fn member(id: &str, address: SocketAddr, cell: usize, phase: &str) -> String {
    format!(
        "{{\"id\":\"{id}\",\"host_port\":\"{address}\",\"locality\":\"a\",\"flavor\":\"m\",\"cell\":{cell},\
         \"phase\":\"{phase}\",\"size\":1.0,\"up_since_ms\":0}}"
    )
}

pub fn list(revision: u64, complete: bool, members: &[String]) -> String {
    format!("{{\"revision\":{revision},\"complete\":{complete},\"members\":[{}]}}", members.join(","))
}

impl Discovery {
    pub fn start(record: &Arc<Record>, members: &[(&str, String)]) -> Self {
        let members = members.iter().map(|(id, json)| ((*id).to_owned(), 1, false, json.clone())).collect();
        let state = State { revision: 1, members, mode: Mode::Up, slowness: Duration::ZERO };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let (shared, record) = (Arc::clone(&state), Arc::clone(record));
        let server = Server::start(move |request, stream, _| {
            let path = request.first.split(' ').nth(1).unwrap_or("").to_owned();
            let query: HashMap<&str, u64> = path
                .split_once('?')
                .map_or("", |(_, query)| query)
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .filter_map(|(name, value)| Some((name, value.parse().ok()?)))
                .collect();
            let until = Instant::now() + ms(query.get("timeout_ms").copied().unwrap_or(0).min(60_000));
            let (lock, changed) = &*shared;
            let mut state = lock.lock().unwrap();
            let text = loop {
                let now = Instant::now();
                let since = query.get("since").copied();
                let is_due = since.is_none_or(|since| state.revision > since) || now >= until;
                if state.mode == Mode::Up && is_due {
                    break match since {
                        None => {
                            let all: Vec<String> =
                                state.members.iter().filter(|m| !m.2).map(|m| m.3.clone()).collect();
                            list(state.revision, true, &all)
                        }
                        Some(since) => {
                            let news: Vec<String> =
                                state.members.iter().filter(|m| m.1 > since).map(|m| m.3.clone()).collect();
                            list(state.revision, false, &news)
                        }
                    };
                }
                let wait = if state.mode == Mode::Up { until - now } else { ms(1000) };
                state = changed.wait_timeout(state, wait.max(ms(1))).unwrap().0;
            };
            let slowness = state.slowness;
            drop(state);
            thread::sleep(slowness);
            let mut stream = stream;
            let sent = stream.write_all(&answer("200 OK", "content-type: application/json\r\n", &text));
            record.say(format!("discovery told {path}: {text} {}", if sent.is_ok() { "" } else { "(gone)" }));
            Next::Keep
        });
        Self { address: server.address, state }
    }

    pub fn set_mode(&self, mode: Mode) {
        self.state.0.lock().unwrap().mode = mode;
        self.state.1.notify_all();
    }

    pub fn set_slowness(&self, slowness: Duration) {
        self.state.0.lock().unwrap().slowness = slowness;
    }

    /// Adds or changes an entry.
    pub fn put(&self, id: &str, json: String, left: bool) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.members.retain(|m| m.0 != id);
        state.members.push((id.to_owned(), revision, left, json));
        self.state.1.notify_all();
    }
}

// ---- The node

/// A class in the settings.
pub struct Class {
    pub name: &'static str,
    /// `retryable`, `dedup` or `fragile`.
    pub effect: &'static str,
    pub deadline_ms: u64,
}

/// The rest of the settings and limits.
pub struct Config {
    pub classes: Vec<Class>,
    pub known: String,
    pub max_attempts: u64,
    pub memory_mb: u64,
    pub sockets: u64,
    pub discovery_mode: &'static str,
}

impl Config {
    pub fn new(classes: Vec<Class>, known: String) -> Self {
        Self { classes, known, max_attempts: 3, memory_mb: 192, sockets: 1024, discovery_mode: "subscribe" }
    }

    /// The JSON of `$GW_CONFIG`, with the figures of the operators' brief where the case does not need others.
    pub fn json(&self, listen: SocketAddr, discovery: SocketAddr) -> String {
        let class = |c: &Class| {
            format!(
                "{{\"name\":\"{}\",\"effect\":\"{}\",\"group\":\"cell\",\"dedup_window_ms\":500.0,\
                 \"deadline_ms\":{}.0,\"promise_ms\":400.0,\"late_worth\":0.2,\"worth\":1.0,\"streaming\":false}}",
                c.name, c.effect, c.deadline_ms
            )
        };
        let classes: Vec<String> = self.classes.iter().map(class).collect();
        format!(
            "{{\"name\":\"n0\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"known\":{},\"settings\":{{\
             \"allowed\":{{\"cancel\":true,\"conn_idle_ms\":5000.0,\"dial_timeout_ms\":200.0,\"max_attempts\":{},\
             \"max_retry_after_ms\":400.0,\"most_held\":20000,\"multiplex\":1,\"peers\":false,\"probes\":false,\
             \"retry_after\":true,\"second_copies\":false}},\"az\":0,\"classes\":[{}],\
             \"clients\":{{\"marks_retry\":true}},\"discovery\":\"{}\",\"family\":\"proxy\",\"kinds\":[\"m\"],\
             \"me\":0,\"n_instances\":3,\"over_share_worth\":0.1,\
             \"parties\":[{{\"fraction\":1.0,\"name\":\"granite-inns\",\"quota_per_s\":1000.0}}],\
             \"prices\":{{\"cross_zone\":0.01,\"probe\":0.03,\"waste\":0.02}},\
             \"rules\":{{\"answer_slack_ms\":20.0,\"ask_within_ms\":10000.0,\"cold_from\":0.3,\"cold_ms\":8900.0,\
             \"drain_grace_ms\":250.0,\"tip_after_ms\":3000.0,\"tip_multiple\":2.5}},\
             \"stats\":{{\"fields\":[\"waiting\",\"active\"],\"source\":\"inline\"}},\"tick_ms\":5.0,\"tier\":0,\
             \"tiers\":[\"update-servers\"],\"weights\":\"off\",\"zones\":[\"a\"]}}}}",
            self.memory_mb,
            self.sockets,
            self.known,
            self.max_attempts,
            classes.join(","),
            self.discovery_mode
        )
    }
}

/// Where the node runs: the repository's root, and a private folder.
pub struct Place {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub listen: SocketAddr,
}

/// The command of `run` in the deploy file.
fn run_command(root: &Path) -> String {
    let text = fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    let line = text.lines().find(|line| line.starts_with("run")).expect("`run`");
    line.split('"').nth(1).expect("a command").to_owned()
}

impl Place {
    pub fn new(root: &Path) -> Self {
        static NUMBER: AtomicU64 = AtomicU64::new(0);
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        let folder = std::env::temp_dir().join(format!("rig-2-{}-{number}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        // The port is free again once the probe's socket is closed.
        let listen = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        Self { root: root.to_owned(), folder, listen }
    }

    pub fn write_config(&self, config: &str) {
        let path = self.folder.join("config.json");
        fs::write(self.folder.join("config.new"), config).unwrap();
        fs::rename(self.folder.join("config.new"), path).unwrap();
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

pub struct Node {
    child: Child,
    pub listen: SocketAddr,
    ended: bool,
}

impl Node {
    /// Starts the node with the deploy file's command. Its log goes to the record.
    pub fn start(place: &Place, discovery: SocketAddr, ops: Option<SocketAddr>, record: &Arc<Record>) -> Self {
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run_command(&place.root)).current_dir(&place.root);
        command.env("GW_NAME", "n0").env("GW_LISTEN", place.listen.to_string());
        command.env("GW_DISCOVERY", discovery.to_string()).env("GW_CONFIG", place.folder.join("config.json"));
        command.env("TMPDIR", &place.folder);
        if let Some(ops) = ops {
            command.env("GW_OPS", ops.to_string());
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.spawn().expect("the node starts");
        RUNNING.lock().unwrap().push(child.id());
        let log = BufReader::new(child.stderr.take().unwrap());
        let (record, pid) = (Arc::clone(record), child.id());
        record.say(format!("node {pid} started"));
        thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                record.say(format!("node {pid} log: {line}"));
            }
        });
        Self { child, listen: place.listen, ended: false }
    }

    pub fn signal(&self, signal: i32) {
        signal_process(self.child.id(), signal);
    }


    /// Waits until the node's health call answers 200.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + ms(10_000);
        while Instant::now() < until {
            if let Ok(stream) = TcpStream::connect(self.listen) {
                let _ = stream.set_read_timeout(Some(ms(1000)));
                let _ = (&stream).write_all(b"GET /_health HTTP/1.1\r\nHost: n0\r\nConnection: close\r\n\r\n");
                if let Ok(Some(answer)) = read_message(&mut BufReader::new(stream)) {
                    if answer.status() == 200 {
                        return true;
                    }
                }
            }
            thread::sleep(ms(20));
        }
        false
    }

    /// Waits until the node's port is open.
    pub fn wait_listening(&self) -> bool {
        let until = Instant::now() + ms(10_000);
        while Instant::now() < until {
            if TcpStream::connect(self.listen).is_ok() {
                return true;
            }
            thread::sleep(ms(5));
        }
        false
    }

    /// Waits for the process to end, and returns its exit code if it ends in time by itself.
    pub fn wait_end(&mut self, within: Duration) -> Option<std::process::ExitStatus> {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                self.forget();
                return Some(status);
            }
            thread::sleep(ms(5));
        }
        None
    }

    fn forget(&mut self) {
        self.ended = true;
        let pid = self.child.id();
        RUNNING.lock().unwrap().retain(|running| *running != pid);
    }

    pub fn kill(&mut self) {
        if !self.ended {
            self.signal(SIGKILL);
            let _ = self.child.wait();
            self.forget();
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

// ---- Clients

/// A request as a client writes it.
pub fn request(class: &Class, id: &str, deadline: f64, body: &str) -> String {
    let (method, key) = match class.effect {
        "retryable" => ("GET", String::new()),
        "dedup" => ("POST", format!("Idempotency-Key: key-{id}\r\n")),
        _ => ("POST", String::new()),
    };
    let length = if method == "GET" { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let body = if method == "GET" { "" } else { body };
    format!(
        "{method} /api?k={id} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {id}\r\nX-Class: {}\r\n\
         X-Tenant: granite-inns\r\nX-Deadline: {deadline:.3}\r\n{key}{length}\r\n{body}",
        class.name
    )
}

/// Sends a request on a connection of its own and returns what comes back.
pub fn call(node: SocketAddr, text: &str, wait: Duration) -> io::Result<Message> {
    let stream = TcpStream::connect(node)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(wait))?;
    (&stream).write_all(text.as_bytes())?;
    let answer = read_message(&mut BufReader::new(stream.try_clone()?))?;
    let _ = stream.shutdown(Shutdown::Both);
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Ends the program after `limit`, with the code for a case that could not run.
pub fn watchdog(limit: Duration, record: &Arc<Record>) -> Arc<AtomicBool> {
    let (done, record) = (Arc::new(AtomicBool::new(false)), Arc::clone(record));
    let seen = Arc::clone(&done);
    thread::spawn(move || {
        thread::sleep(limit);
        if !seen.load(Ordering::SeqCst) {
            record.say("the case took too long");
            record.save();
            kill_all();
            std::process::exit(2);
        }
    });
    done
}
