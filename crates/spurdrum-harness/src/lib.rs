//! A real node before a stand-in fleet: what the demo, the rig and the measurements share.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use spurdrum_standin::Fleet;

/// A node has this long until it is healthy.
const READY_MOST: Duration = Duration::from_secs(20);

/// A node that runs, until it is dropped.
pub struct Node {
    /// Where clients connect.
    pub address: SocketAddr,
    child: Child,
    folder: PathBuf,
}

/// The node's program, beside this one. Builds it where it is not there.
pub fn program() -> Result<PathBuf, String> {
    let program = program_path("spurdrum")?;
    if !program.exists() {
        eprintln!("building the node first");
        let mut build = Command::new(std::env::var("CARGO").unwrap_or_else(|_| "cargo".into()));
        build.args(["build", "--locked", "--package", "spurdrum", "--bin", "spurdrum"]);
        if program.parent().is_some_and(|folder| folder.ends_with("release")) {
            build.arg("--release");
        }
        let built = build.status().map_err(|error| format!("cargo cannot be run: {error}"))?;
        if !built.success() || !program.exists() {
            return Err(format!("{} is not there: run `cargo build --release`", program.display()));
        }
    }
    Ok(program)
}

/// Where a program is that is built with this one.
pub fn program_path(name: &str) -> Result<PathBuf, String> {
    let own =
        std::env::current_exe().map_err(|error| format!("cannot tell where this program is: {error}"))?;
    let folder = own.parent().unwrap_or(Path::new("."));
    // Benches and tests lie one folder deeper.
    let folder = if folder.ends_with("deps") { folder.parent().unwrap_or(folder) } else { folder };
    Ok(folder.join(name))
}

/// A port that is free now.
pub fn free_address() -> Result<SocketAddr, String> {
    let listener =
        TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).map_err(|error| format!("no free port: {error}"))?;
    listener.local_addr().map_err(|error| error.to_string())
}

/// What a node before a fleet is told: one keyed class, `inventory-update`, and these tenants.
pub fn config(fleet: &Fleet, tenants: &[&str], sockets: usize, held: usize) -> Value {
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
            "allowed": {"conn_idle_ms": 20_000.0, "dial_timeout_ms": 250.0, "most_held": held,
                        "max_attempts": 3, "cancel": true, "retry_after": true, "max_retry_after_ms": 400.0},
        },
    })
}

impl Node {
    /// Starts a node with this configuration, and waits until it is healthy. What it says goes to `log`.
    pub fn start(config: &Value, log: Stdio) -> Result<Self, String> {
        Self::start_program(&program()?, config, log)
    }

    /// The same with the program at this path.
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
            if since.elapsed() > READY_MOST {
                return Err("the node does not become healthy".into());
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Ok(node)
    }

    /// Its process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // Each fails where it has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Whether a node says so within a second.
pub fn healthy(address: SocketAddr) -> bool {
    let ask = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(b"GET /_health HTTP/1.1\r\nhost: n\r\nconnection: close\r\n\r\n")?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer.starts_with("HTTP/1.1 200"))
    };
    ask().unwrap_or(false)
}
