//! Starts a real node in front of stand-in servers; shared by the demo, the test rig and the benchmarks.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use spurdrum_standin::Fleet;

/// A node must be healthy within this time after its start.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// A running node; dropping it kills the process and removes its folder.
pub struct Node {
    /// Address for clients.
    pub address: SocketAddr,
    child: Child,
    folder: PathBuf,
}

/// Returns the path of the node's program in the folder of this one, and builds the program if it does not exist.
pub fn program() -> Result<PathBuf, String> {
    let program = program_path("spurdrum")?;
    if !program.exists() {
        eprintln!("building the node's program first");
        let mut build = Command::new(std::env::var("CARGO").unwrap_or_else(|_| "cargo".into()));
        build.args(["build", "--locked", "--package", "spurdrum", "--bin", "spurdrum"]);
        if program.parent().is_some_and(|folder| folder.ends_with("release")) {
            build.arg("--release");
        }
        let built = build.status().map_err(|error| format!("cargo cannot be run: {error}"))?;
        if !built.success() || !program.exists() {
            return Err(format!("{} does not exist: run `cargo build --release`", program.display()));
        }
    }
    Ok(program)
}

/// Returns the path of a program that is built into the same folder as this one.
pub fn program_path(name: &str) -> Result<PathBuf, String> {
    let own = std::env::current_exe()
        .map_err(|error| format!("cannot determine the path of this program: {error}"))?;
    let folder = own.parent().unwrap_or(Path::new("."));
    // Benchmarks and tests are built into the subfolder `deps`.
    let folder = if folder.ends_with("deps") { folder.parent().unwrap_or(folder) } else { folder };
    Ok(folder.join(name))
}

/// Returns a loopback address whose port is free now.
pub fn free_address() -> Result<SocketAddr, String> {
    let listener =
        TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).map_err(|error| format!("no free port: {error}"))?;
    listener.local_addr().map_err(|error| error.to_string())
}

/// Returns the configuration of a node in front of a fleet, with one keyed class, `inventory-update`, and these tenants.
/// `sockets` limits its file descriptors, `max_pending` its pending requests.
pub fn config(fleet: &Fleet, tenants: &[&str], sockets: usize, max_pending: usize) -> Value {
    let tenants: Vec<Value> = tenants.iter().map(|name| json!({"name": name, "quota_per_s": 1e6})).collect();
    json!({
        "name": "n0", "seed": "8c1f30d27a5be964", "limits": {"sockets": sockets, "memory_mb": 512},
        "known": fleet.list(), "discovery": fleet.catalog.to_string(),
        "settings": {
            "classes": [{"name": "inventory-update", "effect": "dedup", "group": "cell", "dedup_window_ms": 500.0,
                         "deadline_ms": 800.0, "promise_ms": 400.0}],
            "parties": tenants, "zones": ["a"], "kinds": ["m"],
            "discovery": "subscribe", "stats": {"source": "inline", "fields": ["active", "waiting"]},
            "rules": {"ask_within_ms": 2_000.0},
            "allowed": {"conn_idle_ms": 20_000.0, "dial_timeout_ms": 250.0, "most_held": max_pending,
                        "max_attempts": 3, "cancel": true, "retry_after": true, "max_retry_after_ms": 400.0},
        },
    })
}

impl Node {
    /// Starts a node with this configuration, and waits until it is healthy. Its standard error goes to `log`.
    pub fn start(config: &Value, log: Stdio) -> Result<Self, String> {
        Self::start_program(&program()?, config, log)
    }

    /// Does the same as [`Node::start`] with the program at this path.
    pub fn start_program(program: &Path, config: &Value, log: Stdio) -> Result<Self, String> {
        let address = free_address()?;
        let folder = std::env::temp_dir().join(format!("spurdrum-{}-{}", std::process::id(), address.port()));
        std::fs::create_dir_all(&folder).map_err(|error| format!("{}: {error}", folder.display()))?;
        let path = folder.join("config.json");
        std::fs::write(&path, config.to_string()).map_err(|error| format!("{}: {error}", path.display()))?;
        let mut command = Command::new(program);
        command.env("GW_NAME", "n0").env("GW_LISTEN", address.to_string()).env("GW_CONFIG", &path);
        let child =
            command.stderr(log).spawn().map_err(|error| format!("the node does not start: {error}"))?;
        let node = Self { address, child, folder };
        let since = Instant::now();
        while !healthy(address) {
            if since.elapsed() > READY_TIMEOUT {
                return Err("the node does not become healthy".into());
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Ok(node)
    }

    /// Returns the node's process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // These fail where the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Returns whether a node answers its health check with 200 within a second.
pub fn healthy(address: SocketAddr) -> bool {
    let check = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(b"GET /_health HTTP/1.1\r\nhost: n\r\nconnection: close\r\n\r\n")?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer.starts_with("HTTP/1.1 200"))
    };
    check().unwrap_or(false)
}
