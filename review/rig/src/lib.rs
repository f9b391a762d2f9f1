//! Stand-ins for the cases of the review: a catalog, HTTP parsing, the record, the nodes that a case starts.
//! Threads and blocking sockets of the standard library alone.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufWriter, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Whether the disruption is left out.
pub fn calm() -> bool {
    std::env::var("TROUBLE").is_ok_and(|value| value == "0")
}

/// The folder of the case, given by its script.
pub fn case_dir() -> PathBuf {
    PathBuf::from(std::env::var("CASE_DIR").expect("CASE_DIR is set by run.sh"))
}

/// Ends the case as one that could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    std::process::exit(NOT_RUN)
}

/// What was sent, answered and run, with the time since the start of the case.
pub struct Record {
    started: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn new() -> Arc<Self> {
        let path = case_dir().join("record.txt");
        // run.sh has removed the record of an earlier run.
        let file = File::options()
            .create(true)
            .append(true)
            .open(&path)
            .unwrap_or_else(|e| cannot_run(&format!("{}: {e}", path.display())));
        Arc::new(Self { started: Instant::now(), file: Mutex::new(BufWriter::new(file)) })
    }

    /// Milliseconds since the start of the case.
    pub fn ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("no panic");
        let _ = writeln!(file, "{:10.3} {text}", self.ms());
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
        let _ = self.file.lock().expect("no panic").flush();
    }
}

/// A small random number generator (splitmix64).
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// A number from 0 to 1.
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }

    pub fn between(&mut self, from: f64, to: f64) -> f64 {
        from + (to - from) * self.unit()
    }
}

/// A message: its first line, its header fields with names in lower case, its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// The status code of an answer.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Takes one whole message off the front of `bytes`: with a length, chunked, or without a body. `None` if it
/// is not complete yet; an error if it cannot be read.
pub fn take_message(bytes: &mut Vec<u8>) -> Result<Option<Message>, String> {
    let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else { return Ok(None) };
    let head = std::str::from_utf8(&bytes[..end]).map_err(|e| e.to_string())?;
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or_default().to_owned();
    let fields: Vec<_> = lines
        .filter_map(|l| l.split_once(':'))
        .map(|(n, v)| (n.to_lowercase(), v.trim().to_owned()))
        .collect();
    let mut message = Message { first, fields, body: Vec::new() };
    let start = end + 4;
    if message.field("transfer-encoding").is_some() {
        let mut at = start;
        loop {
            let Some(line) = bytes[at..].windows(2).position(|w| w == b"\r\n") else { return Ok(None) };
            let size = std::str::from_utf8(&bytes[at..at + line]).map_err(|e| e.to_string())?;
            let size = usize::from_str_radix(size.split(';').next().unwrap_or_default().trim(), 16);
            let size = size.map_err(|e| e.to_string())?;
            let data = at + line + 2;
            if bytes.len() < data + size + 2 {
                return Ok(None);
            }
            message.body.extend_from_slice(&bytes[data..data + size]);
            at = data + size + 2;
            if size == 0 {
                bytes.drain(..at);
                return Ok(Some(message));
            }
        }
    }
    let length = message.field("content-length").map_or(Ok(0), str::parse::<usize>);
    let length = length.map_err(|e| e.to_string())?;
    if bytes.len() < start + length {
        return Ok(None);
    }
    message.body = bytes[start..start + length].to_vec();
    bytes.drain(..start + length);
    Ok(Some(message))
}

/// Reads one message from a blocking socket. `Ok(None)`: the connection ended before it began.
pub fn read_message(stream: &mut TcpStream, buffered: &mut Vec<u8>) -> Result<Option<Message>, String> {
    loop {
        if let Some(message) = take_message(buffered)? {
            return Ok(Some(message));
        }
        let mut chunk = [0; 16 * 1024];
        match stream.read(&mut chunk) {
            Ok(0) if buffered.is_empty() => return Ok(None),
            Ok(0) => return Err("the connection ended within a message".into()),
            Ok(n) => buffered.extend_from_slice(&chunk[..n]),
            Err(e) => return Err(e.to_string()),
        }
    }
}

/// Binds a free loopback port.
pub fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

/// A free loopback address that nobody listens on for now.
pub fn free_address() -> SocketAddr {
    bind().1
}

/// The Unix time in milliseconds.
pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_secs_f64() * 1000.0
}

/// A server as the catalog lists it.
#[derive(Clone, Debug)]
pub struct Listed {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub cell: usize,
    pub phase: &'static str,
    pub up_since_ms: f64,
}

impl Listed {
    fn json(&self) -> String {
        format!(
            "{{\"id\":\"{}\",\"host_port\":\"{}\",\"locality\":\"{}\",\"flavor\":\"{}\",\"cell\":{},\"phase\":\"{}\",\"size\":1.0,\"up_since_ms\":{}}}",
            self.id, self.address, self.zone, self.kind, self.cell, self.phase, self.up_since_ms
        )
    }
}

struct CatalogState {
    revision: u64,
    /// Each server with the revision of its last change.
    servers: BTreeMap<String, (u64, Listed)>,
}

/// Discovery for one node: the whole list, and watches on what changes.
pub struct Catalog {
    pub address: SocketAddr,
    state: Mutex<CatalogState>,
    changed: Condvar,
    /// How long a call takes at present, in milliseconds: discovery has many callers.
    slow_ms: AtomicU64,
    record: Mutex<Option<Arc<Record>>>,
}

impl Catalog {
    pub fn start(servers: Vec<Listed>) -> Arc<Self> {
        let (listener, address) = bind();
        let servers = servers.into_iter().map(|s| (s.id.clone(), (1, s))).collect();
        let state = Mutex::new(CatalogState { revision: 1, servers });
        let (changed, slow_ms, record) = (Condvar::new(), AtomicU64::new(0), Mutex::default());
        let catalog = Arc::new(Self { address, state, changed, slow_ms, record });
        let served = Arc::clone(&catalog);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let catalog = Arc::clone(&served);
                std::thread::spawn(move || catalog.serve(stream));
            }
        });
        catalog
    }

    /// The list as a node is given it at its start.
    pub fn known(&self) -> String {
        Self::list(&self.state.lock().expect("no panic"), 0, true)
    }

    /// Every call that ends from now on takes this much longer.
    pub fn set_slow(&self, ms: u64) {
        self.slow_ms.store(ms, Relaxed);
    }

    /// Writes each call and each answer to the record.
    pub fn record_to(&self, record: &Arc<Record>) {
        *self.record.lock().expect("no panic") = Some(Arc::clone(record));
    }

    fn note(&self, text: &str) {
        if let Some(record) = &*self.record.lock().expect("no panic") {
            record.line(text);
        }
    }

    /// Changes one server's phase.
    pub fn set_phase(&self, id: &str, phase: &'static str) {
        let mut state = self.state.lock().expect("no panic");
        state.revision += 1;
        let revision = state.revision;
        if let Some(entry) = state.servers.get_mut(id) {
            entry.0 = revision;
            entry.1.phase = phase;
        }
        self.changed.notify_all();
    }

    fn list(state: &CatalogState, since: u64, complete: bool) -> String {
        let shown = state.servers.values().filter(|(at, s)| *at > since && (!complete || s.phase != "left"));
        let members: Vec<String> = shown.map(|(_, s)| s.json()).collect();
        format!(
            "{{\"revision\":{},\"complete\":{complete},\"members\":[{}]}}",
            state.revision,
            members.join(",")
        )
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffered = Vec::new();
        while let Ok(Some(call)) = read_message(&mut stream, &mut buffered) {
            let target = call.first.split(' ').nth(1).unwrap_or_default().to_owned();
            let parameter = |name: &str| {
                let query = target.split_once('?').map_or("", |(_, query)| query);
                let value = query.split('&').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name);
                value.and_then(|(_, value)| value.parse::<u64>().ok())
            };
            self.note(&format!("discovery is asked {target}"));
            let slow = Duration::from_millis(self.slow_ms.load(Relaxed));
            std::thread::sleep(slow);
            let body = match parameter("since") {
                None => Self::list(&self.state.lock().expect("no panic"), 0, true),
                Some(since) => {
                    let wait = Duration::from_millis(parameter("timeout_ms").unwrap_or(0).min(60_000));
                    let state = self.state.lock().expect("no panic");
                    let waited = self.changed.wait_timeout_while(state, wait, |s| s.revision <= since);
                    Self::list(&waited.expect("no panic").0, since, false)
                }
            };
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            self.note(&format!("discovery writes {body}"));
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// The settings of a small deployment, as the platform writes them.
pub struct Settings {
    pub nodes: usize,
    pub zones: Vec<&'static str>,
    /// The classes, as JSON objects.
    pub classes: Vec<String>,
    pub max_attempts: usize,
    /// `limits.memory_mb` and `limits.sockets`.
    pub limits: (u64, u64),
}

impl Settings {
    fn json(&self, node: usize) -> String {
        let zones: Vec<String> = self.zones.iter().map(|z| format!("\"{z}\"")).collect();
        let az = node % self.zones.len();
        format!(
            concat!(
                "{{\"allowed\":{{\"cancel\":true,\"conn_idle_ms\":5000.0,\"cpu_us_per_request\":0.0,\"cpu_us_per_s\":500000,",
                "\"dial_timeout_ms\":200.0,\"max_attempts\":{},\"max_retry_after_ms\":400.0,\"most_held\":20000,",
                "\"multiplex\":1,\"peers\":false,\"probes\":true,\"retry_after\":true,\"second_copies\":false}},",
                "\"az\":{},\"classes\":[{}],\"clients\":{{\"marks_retry\":true}},\"discovery\":\"subscribe\",",
                "\"family\":\"proxy\",\"kinds\":[\"large\",\"small\"],\"me\":{},\"n_instances\":{},\"over_share_worth\":0.1,",
                "\"parties\":[],\"prices\":{{\"cross_zone\":0.01,\"probe\":0.03,\"waste\":0.02}},",
                "\"rules\":{{\"answer_slack_ms\":20.0,\"ask_within_ms\":10000.0,\"cold_from\":0.3,\"cold_ms\":8900.0,",
                "\"drain_grace_ms\":250.0,\"tip_after_ms\":3000.0,\"tip_multiple\":2.5}},",
                "\"stats\":{{\"fields\":[\"waiting\",\"active\"],\"source\":\"inline\"}},\"tick_ms\":5.0,\"tier\":0,",
                "\"tiers\":[\"servers\"],\"value_by\":\"request\",\"weights\":\"off\",\"zones\":[{}]}}"
            ),
            self.max_attempts,
            az,
            self.classes.join(","),
            node,
            self.nodes,
            zones.join(",")
        )
    }
}

/// A keyed class whose repeats the servers of one pod drop for half a second.
pub fn keyed_class() -> String {
    "{\"deadline_ms\":800.0,\"dedup_window_ms\":500.0,\"effect\":\"dedup\",\"group\":\"cell\",\"late_worth\":0.2,\"name\":\"update\",\"promise_ms\":400.0,\"streaming\":false,\"worth\":1.0}".into()
}

/// A class that is unsafe to repeat.
pub fn unsafe_class() -> String {
    "{\"deadline_ms\":800.0,\"effect\":\"fragile\",\"late_worth\":0.2,\"name\":\"update\",\"promise_ms\":400.0,\"streaming\":false,\"worth\":1.0}".into()
}

/// A node: the program of the deploy file's `run`, with the platform's environment.
pub struct Node {
    pub address: SocketAddr,
    pub config: PathBuf,
    tmp: PathBuf,
    name: String,
    run: String,
    root: PathBuf,
    log: PathBuf,
    discovery: SocketAddr,
    children: Mutex<Vec<Child>>,
}

impl Node {
    /// Writes the configuration of node number `number` into `dir` and starts its process.
    pub fn start(dir: &Path, number: usize, settings: &Settings, catalog: &Catalog) -> Self {
        Self::start_with_ops(dir, number, settings, catalog, None)
    }

    /// The same, with an address for operators if one is given.
    pub fn start_with_ops(
        dir: &Path,
        number: usize,
        settings: &Settings,
        catalog: &Catalog,
        ops: Option<SocketAddr>,
    ) -> Self {
        let name = format!("n{number}");
        let (address, tmp) = (free_address(), dir.join(format!("{name}.tmp")));
        let config = dir.join(format!("{name}.json"));
        let json = format!(
            "{{\"name\":\"{name}\",\"listen\":\"{address}\",\"discovery\":\"{}\",\"seed\":\"{:016x}\",\"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"known\":{},\"settings\":{}}}",
            catalog.address,
            0x5eed_0000_u64 + number as u64,
            settings.limits.0,
            settings.limits.1,
            catalog.known(),
            settings.json(number)
        );
        let written = std::fs::create_dir_all(&tmp).and_then(|()| std::fs::write(&config, json));
        written.unwrap_or_else(|e| cannot_run(&e.to_string()));
        let root = PathBuf::from(std::env::var("ROOT").expect("ROOT is set by run.sh"));
        let run = std::env::var("RUN").expect("RUN is set by run.sh");
        let log = case_dir().join(format!("node-{name}.log"));
        let discovery = catalog.address;
        let node = Self { address, config, tmp, name, run, root, log, discovery, children: Mutex::default() };
        node.launch(ops);
        node
    }

    /// The process that was started last.
    pub fn pid(&self) -> u32 {
        self.children.lock().expect("no panic").last().map_or(0, Child::id)
    }

    /// Starts a process of the node, with an address for operators if one is given.
    pub fn launch(&self, ops: Option<SocketAddr>) -> u32 {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.unwrap_or_else(|e| cannot_run(&e.to_string()));
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(&self.run).current_dir(&self.root).stdin(Stdio::null());
        command.env("GW_NAME", &self.name).env("GW_LISTEN", self.address.to_string());
        command.env("GW_DISCOVERY", self.discovery.to_string()).env("GW_CONFIG", &self.config);
        command.env("TMPDIR", &self.tmp);
        if let Some(ops) = ops {
            command.env("GW_OPS", ops.to_string());
        }
        command.stdout(log.try_clone().expect("a file")).stderr(log);
        let child = command.spawn().unwrap_or_else(|e| cannot_run(&e.to_string()));
        let pid = child.id();
        self.children.lock().expect("no panic").push(child);
        pid
    }

    /// Waits until `GET /_health` answers 200.
    pub fn await_ready(&self) {
        let until = Instant::now() + Duration::from_secs(30);
        while Instant::now() < until {
            if let Ok(mut stream) = TcpStream::connect(self.address) {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
                let _ = stream.write_all(b"GET /_health HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n");
                if matches!(read_message(&mut stream, &mut Vec::new()), Ok(Some(answer)) if answer.status() == 200)
                {
                    return;
                }
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        cannot_run("the node was not ready within 30 s");
    }

    /// Ends all processes of the node that still run; they are this case's own children.
    pub fn kill(&self) {
        for child in self.children.lock().expect("no panic").iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether a process of the node that was started has ended by itself.
    pub fn has_exited(&self) -> bool {
        self.children.lock().expect("no panic").iter_mut().any(|c| matches!(c.try_wait(), Ok(Some(_))))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The anonymous memory of a process in KiB: its heap and stacks, without the program's own pages. What counts
/// towards a limit is at least this much.
pub fn anonymous_kib(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("RssAnon:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Sends a signal to a process that this case started.
pub fn signal(pid: u32, name: &str) {
    let _ = Command::new("/bin/kill").arg(format!("-{name}")).arg(pid.to_string()).status();
}

/// A folder for the files of one run, removed at its end.
pub struct Temporary(pub PathBuf);

impl Temporary {
    pub fn new() -> Self {
        let path = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap_or_else(|e| cannot_run(&e.to_string()));
        Self(path)
    }
}

impl Drop for Temporary {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A sound server: works on requests for some milliseconds and answers 200 with a body made for the request.
/// What it begins is reported to `on_begin` with the time at which the first byte came, in milliseconds of the
/// record.
pub fn plain_server(
    id: String,
    work_ms: (f64, f64),
    record: Arc<Record>,
    on_begin: impl Fn(&Message, f64) + Send + Sync + 'static,
) -> SocketAddr {
    let (listener, address) = bind();
    let on_begin = Arc::new(on_begin);
    std::thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let (id, record, on_begin) = (id.clone(), Arc::clone(&record), Arc::clone(&on_begin));
            std::thread::spawn(move || {
                let mut random = Random(number as u64 ^ 0xabcd);
                let mut stream = stream;
                let _ = stream.set_nodelay(true);
                let mut buffered = Vec::new();
                loop {
                    let mut first = [0];
                    if buffered.is_empty() && !matches!(stream.peek(&mut first), Ok(1)) {
                        return;
                    }
                    let first_byte_ms = record.ms();
                    let Ok(Some(request)) = read_message(&mut stream, &mut buffered) else { return };
                    let Some(request_id) = request.field("x-request-id").map(str::to_owned) else {
                        if stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").is_err() {
                            return;
                        }
                        continue;
                    };
                    on_begin(&request, first_byte_ms);
                    record
                        .line(&format!("server {id} begins {request_id}, first byte at {first_byte_ms:.3}"));
                    std::thread::sleep(Duration::from_secs_f64(
                        random.between(work_ms.0, work_ms.1) / 1000.0,
                    ));
                    let body = body_for(&request_id);
                    let answer = format!(
                        "HTTP/1.1 200 OK\r\nX-Load: waiting=0,active=1\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    if stream.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// The answer made for a request.
pub fn body_for(id: &str) -> String {
    format!("{{\"made-for\":\"{id}\",\"status\":\"done\"}}")
}

/// The head and body of a keyed or unsafe request as clients send it.
pub fn request_bytes(id: &str, seconds: f64, key: bool) -> String {
    let body = format!("rooms for {id}");
    let key = if key { format!("Idempotency-Key: key-{id}\r\n") } else { String::new() };
    format!(
        "POST /api?k={id} HTTP/1.1\r\nHost: origin\r\nX-Request-Id: {id}\r\nX-Class: update\r\nX-Deadline: {seconds:.3}\r\n{key}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends a request on the kept connection, or on a new one; once more on a new one if the node closed the kept
/// one between two requests. Returns the answer, or why there is none.
pub fn ask(
    node: SocketAddr,
    connection: &mut Option<TcpStream>,
    request: &[u8],
    patience: Duration,
) -> Result<Message, String> {
    let mut result = Err("not sent".to_owned());
    for _ in 0..2 {
        let kept = connection.take();
        let reused = kept.is_some();
        let mut stream = match kept {
            Some(stream) => stream,
            None => TcpStream::connect(node).map_err(|e| format!("could not connect: {e}"))?,
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(patience));
        let written = stream.write_all(request);
        match written.map_err(|e| e.to_string()).and_then(|()| read_message(&mut stream, &mut Vec::new())) {
            Ok(Some(answer)) => {
                let closes = answer.field("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
                *connection = (!closes).then_some(stream);
                return Ok(answer);
            }
            Ok(None) if reused => {}
            Ok(None) => return Err("the connection ended with no answer".into()),
            Err(e) if reused && e.contains("reset") => result = Err(e),
            Err(e) => return Err(e),
        }
    }
    result
}
