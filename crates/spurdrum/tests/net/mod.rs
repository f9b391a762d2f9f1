//! Test harness for the node: starts the real binary among scripted servers, clients and discovery.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

pub use spurdrum_standin::manual::*;

/// Returns an entry of a discovery list.
pub fn member(id: &str, address: SocketAddr, phase: &str) -> Value {
    json!({"id": id, "host_port": address.to_string(), "locality": "a", "flavor": "m", "cell": 0,
           "phase": phase, "size": 1.0, "up_since_ms": 0})
}

pub fn list(revision: u64, complete: bool, members: &[Value]) -> Value {
    json!({"revision": revision, "complete": complete, "members": members})
}

/// Returns a configuration with three classes: `read` is safe, `update` keyed, `pay` unsafe.
pub fn config(members: &[Value]) -> Value {
    let class = |name, effect| {
        json!({"name": name, "effect": effect, "group": "cell", "dedup_window_ms": 60_000.0,
               "deadline_ms": 2_000.0, "promise_ms": 1_000.0})
    };
    json!({
        "name": "n0", "seed": "8c1f30d27a5be964", "limits": {"sockets": 256}, "known": list(1, true, members),
        "settings": {
            "classes": [class("read", "retryable"), class("update", "dedup"), class("pay", "fragile")],
            "parties": [{"name": "acme", "quota_per_s": 1_000.0}], "zones": ["a"], "kinds": ["m"],
            "discovery": "subscribe", "stats": {"source": "inline", "fields": ["active", "waiting"]},
            "rules": {"ask_within_ms": 2_000.0},
            "allowed": {"conn_idle_ms": 20_000.0, "dial_timeout_ms": 10_000.0, "most_held": 100,
                        "max_attempts": 3, "cancel": true, "retry_after": true, "max_retry_after_ms": 400.0},
        },
    })
}

/// A running process of the real binary, killed when dropped.
pub struct Node {
    pub address: SocketAddr,
    pub discovery: Server,
    child: Child,
    log: BufReader<ChildStderr>,
}

/// Returns the path of the configuration file of the node at `address`.
pub fn config_path(address: SocketAddr) -> std::path::PathBuf {
    let name = format!("{}.json", address.to_string().replace(':', "-"));
    std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name)
}

/// Writes the node's configuration file and returns the command that starts the binary with it.
pub fn command(config: &str, address: SocketAddr, discovery: SocketAddr) -> Command {
    let path = config_path(address);
    // Replaced atomically: another process of this node may be reading the file.
    let new = path.with_extension("new");
    std::fs::write(&new, config).and_then(|()| std::fs::rename(&new, &path)).expect("written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_spurdrum"));
    command.env("GW_NAME", "n0").env("GW_LISTEN", address.to_string());
    command.env("GW_DISCOVERY", discovery.to_string()).env("GW_CONFIG", path);
    command.env("TMPDIR", node_directory(address));
    command
}

/// Writes a TOML configuration file for the node at `address` and passes it to the command as `--config`.
pub fn add_config_file(command: &mut Command, address: SocketAddr, text: &str) {
    let path = config_path(address).with_extension("toml");
    std::fs::write(&path, text).expect("written");
    command.arg("--config").arg(path);
}

/// Creates and returns the directory that the processes of a node share as `TMPDIR`. Its path is short, since
/// Unix sockets are created in it.
pub fn node_directory(address: SocketAddr) -> std::path::PathBuf {
    let path = std::env::temp_dir().join(format!("spd-{}", address.to_string().replace(':', "-")));
    std::fs::create_dir_all(&path).expect("made");
    path
}

impl Node {
    /// Starts a node with this configuration and answers its first discovery call: nothing is newer than the
    /// list that it knows. Returns when the node is healthy, or when it listens if its configuration has no
    /// servers.
    pub fn start(config: &Value) -> Self {
        Self::start_with(config, None)
    }

    /// Like [`start`](Self::start), with an additional TOML file on the command line.
    pub fn start_with(config: &Value, file: Option<&str>) -> Self {
        let node = Self::start_unconfirmed(config, file);
        let known = &config["known"];
        if known["members"].as_array().is_some_and(|members| !members.is_empty()) {
            let no_changes = list(known["revision"].as_u64().expect("a version"), false, &[]).to_string();
            // Only the first call is answered here; the watch that follows is left to the test.
            let mut answered = false;
            wait_until("the node does not become healthy", || {
                let first_call = if answered { None } else { node.discovery.poll() };
                if let Some(first_call) = first_call {
                    assert!(
                        first_call.request.first.contains("timeout_ms=0"),
                        "{}",
                        first_call.request.first
                    );
                    first_call.answer("200 OK", "", no_changes.as_bytes());
                    answered = true;
                }
                node.health().status() == 200
            });
        }
        node
    }

    /// Starts a node that does not wait for discovery before it serves. Returns when it is healthy.
    pub fn start_without_discovery(config: &Value) -> Self {
        Self::start_without_discovery_with(config, "")
    }

    /// Like [`start_without_discovery`](Self::start_without_discovery), with more lines for the
    /// `[sources.catalog]` table.
    pub fn start_without_discovery_with(config: &Value, catalog: &str) -> Self {
        let file = format!("[sources.catalog]\nready_within_ms = 1\n{catalog}");
        let node = Self::start_unconfirmed(config, Some(&file));
        wait_until("the node does not become healthy", || node.health().status() == 200);
        node
    }

    /// Starts a node with this configuration, and optionally a TOML file, without answering its discovery
    /// calls. Returns when it listens.
    pub fn start_unconfirmed(config: &Value, file: Option<&str>) -> Self {
        let (address, discovery) = (own_address(), Server::start());
        let mut command = command(&config.to_string(), address, discovery.address);
        if let Some(text) = file {
            add_config_file(&mut command, address, text);
        }
        Self::spawn_until_listening(command, address, discovery)
    }

    /// Starts a node that is configured by one TOML file only, with no environment variables. Returns when it
    /// is healthy.
    pub fn start_from_file(listen: SocketAddr, file: &str) -> Self {
        let path = config_path(listen).with_extension("toml");
        std::fs::write(&path, file).expect("written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_spurdrum"));
        command.arg("--config").arg(path);
        let node = Self::spawn_until_listening(command, listen, Server::start());
        assert_eq!(node.health().status(), 200);
        node
    }

    /// Atomically replaces the TOML file that the node was started with.
    pub fn replace_config_file(&self, file: &str) {
        let path = config_path(self.address).with_extension("toml");
        let new = path.with_extension("new");
        std::fs::write(&new, file).and_then(|()| std::fs::rename(&new, path)).expect("replaced");
    }

    /// Starts a second process of this node beside the first, with an admin address of its own.
    pub fn start_second_process(&self, config: &Value, ops: SocketAddr) -> Self {
        self.start_second_process_with(config, ops, None)
    }

    /// Like [`start_second_process`](Self::start_second_process), with an additional TOML file on the command
    /// line.
    pub fn start_second_process_with(&self, config: &Value, ops: SocketAddr, file: Option<&str>) -> Self {
        Self::spawn_at(self.address, config, ops, |command| {
            if let Some(text) = file {
                add_config_file(command, self.address, text);
            }
        })
    }

    /// Spawns a process of the node at `address` without waiting for anything, whichever other process serves
    /// there. `customize` may change its command.
    pub fn spawn_at(
        address: SocketAddr,
        config: &Value,
        ops: SocketAddr,
        customize: impl FnOnce(&mut Command),
    ) -> Self {
        let discovery = Server::start();
        let mut command = command(&config.to_string(), address, discovery.address);
        command.env("GW_OPS", ops.to_string());
        customize(&mut command);
        Self::spawn(command, address, discovery)
    }

    fn spawn(mut command: Command, address: SocketAddr, discovery: Server) -> Self {
        let mut child = command.stderr(Stdio::piped()).spawn().expect("started");
        let log = BufReader::new(child.stderr.take().expect("piped"));
        Self { address, discovery, child, log }
    }

    fn spawn_until_listening(command: Command, address: SocketAddr, discovery: Server) -> Self {
        let node = Self::spawn(command, address, discovery);
        let since = Instant::now();
        while TcpStream::connect(address).is_err() {
            assert!(since.elapsed() < LONG, "the node does not listen");
            thread::sleep(Duration::from_millis(5));
        }
        node
    }

    /// Returns the response of the health endpoint.
    pub fn health(&self) -> Message {
        self.client().ask("GET /_health HTTP/1.1\r\nhost: n\r\n\r\n")
    }

    /// Starts a node whose list holds these servers, named `s0`, `s1` and so on.
    pub fn with_servers(servers: &[&Server]) -> Self {
        Self::start(&config(&members(servers)))
    }

    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Atomically replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        let (path, new) = (config_path(self.address), config_path(self.address).with_extension("new"));
        std::fs::write(&new, config).and_then(|()| std::fs::rename(&new, path)).expect("replaced");
        self.send_sighup();
    }

    pub fn send_sighup(&self) {
        self.signal("-HUP");
    }

    pub fn signal(&self, signal: &str) {
        let sent = Command::new("kill").args([signal, &self.child.id().to_string()]).status();
        assert!(sent.expect("sent").success());
    }

    /// Stops the process with SIGSTOP until [`resume`](Self::resume) is called. Returns once the process is
    /// stopped.
    pub fn pause(&self) {
        self.signal("-STOP");
        wait_until("the process has not stopped", || self.state() == Some('T'));
    }

    /// Returns the state of the main thread as the kernel shows it: `S` while it waits for events, `T` while
    /// it is stopped.
    pub fn state(&self) -> Option<char> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.pid())).expect("running");
        stat.rsplit(')').next().and_then(|rest| rest.trim_start().chars().next())
    }

    /// Resumes a stopped process with SIGCONT.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the number of file descriptors that the process has open.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("running").count()
    }

    /// Returns the resident memory of the process in bytes.
    pub fn memory(&self) -> u64 {
        self.status_bytes("VmRSS:").expect("a VmRSS line")
    }

    /// Returns the memory of the process in bytes that is neither a file's nor a page of the program; 0 once
    /// the process has exited.
    pub fn anonymous_memory(&self) -> u64 {
        self.status_bytes("RssAnon:").unwrap_or(0)
    }

    /// Returns a figure of the kernel's status of the process, in bytes; `None` once the process has exited.
    fn status_bytes(&self, name: &str) -> Option<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("running");
        let line = text.lines().find_map(|line| line.strip_prefix(name))?;
        Some(line.trim().trim_end_matches(" kB").parse::<u64>().expect("a number") * 1024)
    }

    /// Returns the next line of the log, or an empty string at its end.
    pub fn next_log_line(&mut self) -> String {
        let mut line = String::new();
        self.log.read_line(&mut line).expect("read");
        line
    }

    /// Returns the next log line that contains `text`.
    pub fn log_line_containing(&mut self, text: &str) -> String {
        loop {
            let line = self.next_log_line();
            assert!(!line.is_empty(), "the log ends without: {text}");
            if line.contains(text) {
                return line;
            }
        }
    }

    /// Returns whether the process has not exited.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("asked").is_none()
    }

    pub fn wait(&mut self) -> ExitStatus {
        let since = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("waited for") {
                return status;
            }
            assert!(since.elapsed() < LONG, "the node does not end");
            thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // Fails if the node has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Polls until `done` returns true. Panics with `what` after [`LONG`].
pub fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    let since = Instant::now();
    while !done() {
        assert!(since.elapsed() < LONG, "{what}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// Returns the number of connection attempts to this address that are in progress. The kernel shows them as
/// state 02, SYN sent.
pub fn pending_connects(address: SocketAddr) -> usize {
    let SocketAddr::V4(v4) = address else { panic!("IPv4") };
    let remote = format!("{:08X}:{:04X} 02", u32::from_ne_bytes(v4.ip().octets()), v4.port());
    std::fs::read_to_string("/proc/net/tcp").expect("Linux").matches(&remote).count()
}

pub fn members(servers: &[&Server]) -> Vec<Value> {
    let name = |(i, server): (usize, &&Server)| member(&format!("s{i}"), server.address, "active");
    servers.iter().enumerate().map(name).collect()
}

/// Returns a valid request of a class with `seconds` left in its deadline. Each request has an id of its own.
pub fn request(class: &str, seconds: f64) -> String {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let id = NEXT.fetch_add(1, Ordering::Relaxed);
    let (method, extra) = match class {
        "read" => ("GET", ""),
        "update" => ("POST", "idempotency-key: k1\r\ncontent-length: 4\r\n"),
        _ => ("POST", "content-length: 4\r\n"),
    };
    let body = if class == "read" { "" } else { "work" };
    format!(
        "{method} /api?k=7f3a HTTP/1.1\r\nhost: origin.svc\r\nx-request-id: r{id}\r\nx-class: {class}\r\n\
         x-tenant: acme\r\nx-deadline: {seconds}\r\n{extra}\r\n{body}"
    )
}
