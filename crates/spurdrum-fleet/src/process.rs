//! Starts, signals and kills the processes of a run.

use std::ffi::OsString;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{getppid, kill_process, set_parent_process_death_signal, Pid, Signal};
use spurdrum_harness::healthy;

/// A node must be healthy within this time after its start.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of log lines that are shown where a node does not become healthy.
const LOG_LINES: usize = 8;

/// Everything that is needed to start a node, for the first time or again.
#[derive(Clone, Debug)]
pub struct NodeSpec {
    /// The node's name, for messages.
    pub name: String,
    /// Path of the program.
    pub program: PathBuf,
    /// The node's configuration file.
    pub file: PathBuf,
    /// Address for clients.
    pub listen: SocketAddr,
    /// Address of the admin endpoint.
    pub ops: SocketAddr,
    /// The node's log file.
    pub log: PathBuf,
    /// The node's trace file; written only where the scenario asks for traces.
    pub trace: PathBuf,
    /// File that tells the node which disk fault to simulate.
    pub disk: PathBuf,
    /// The node's own folder, which is also its `TMPDIR`; holds the sockets for a handover.
    pub folder: PathBuf,
}

/// A running process; dropping it kills the process.
pub struct Node {
    child: Child,
}

/// Starts a process that is killed when the rig ends, however the rig ends. Standard output and standard error are appended to
/// `log`.
///
/// # Errors
///
/// The process cannot be started.
pub fn spawn_bound(program: &Path, args: &[OsString], folder: &Path, log: &Path) -> Result<Node, String> {
    let open = || File::options().create(true).append(true).open(log);
    let (stdout, stderr) = (open(), open());
    let describe = |error| format!("{}: {error}", log.display());
    let own = std::env::current_exe().map_err(|error| error.to_string())?;
    let is_rig = own.file_stem().is_some_and(|name| name == "spurdrum-fleet");
    // In tests the current program is the test binary, and the command `hold` is in the program next to it.
    let launcher = if is_rig { own } else { sibling_program("spurdrum-fleet")? };
    let mut command = Command::new(launcher);
    command.args(["hold", &std::process::id().to_string()]).arg(program).args(args);
    command.env("TMPDIR", folder).stdin(Stdio::null());
    command.stdout(stdout.map_err(describe)?).stderr(stderr.map_err(describe)?);
    let child = command.spawn().map_err(|error| format!("{} does not start: {error}", program.display()))?;
    Ok(Node { child })
}

impl NodeSpec {
    /// Starts the node. It is killed when the rig ends, however the rig ends.
    pub fn start(&self) -> Result<Node, String> {
        let args = ["--config".into(), self.file.clone().into_os_string()];
        spawn_bound(&self.program, &args, &self.folder, &self.log)
            .map_err(|error| format!("{}: {error}", self.name))
    }

    /// Waits until the node answers that it is healthy. The error contains the last lines of its log.
    pub fn wait_until_ready(&self, node: &mut Node) -> Result<(), String> {
        let since = Instant::now();
        while !healthy(self.listen) {
            let exited = node.child.try_wait().ok().flatten();
            if exited.is_some() || since.elapsed() > READY_TIMEOUT {
                let reason =
                    exited.map_or("does not become healthy".into(), |status| format!("ended: {status}"));
                return Err(format!(
                    "{} {reason}; the last lines of its log:\n{}",
                    self.name,
                    tail(&self.log)
                ));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Ok(())
    }

    /// Returns the node's telemetry counters, or `None` where the admin endpoint does not answer.
    pub fn telemetry(&self) -> Option<serde_json::Value> {
        serde_json::from_str(&query(self.ops, "telemetry")?).ok()
    }
}

/// Sends a line to an address and returns the first line of the answer, or `None` where no answer comes within a second.
#[must_use]
pub fn query(address: SocketAddr, line: &str) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    stream.write_all(format!("{line}\n").as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    answer.lines().next().map(str::to_owned)
}

/// Returns the last lines of a log file.
fn tail(path: &Path) -> String {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let lines: Vec<&str> = text.lines().collect();
    lines[lines.len().saturating_sub(LOG_LINES)..].join("\n")
}

impl Node {
    fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id().cast_signed()) {
            // This fails where the process has already exited.
            let _ = kill_process(pid, signal);
        }
    }

    /// Suspends the process at whatever it is doing (SIGSTOP).
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Makes the node reload its configuration file (SIGHUP).
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Resumes the process (SIGCONT).
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Returns the exit status, or `None` while the process runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Returns whether the process has exited by itself.
    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // Both fail where the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the path of another program in the folder of this one. The error says that it has not been built.
pub fn sibling_program(name: &str) -> Result<PathBuf, String> {
    let program = spurdrum_harness::program_path(name)?;
    match program.exists() {
        true => Ok(program),
        false => Err(format!("{} does not exist: build it first", program.display())),
    }
}

/// Replaces this process by a program that is killed when its parent process ends. Returns only on failure.
#[must_use]
pub fn exec_bound_to_parent(parent: i32, program: &Path, args: &[String]) -> ExitCode {
    let set = set_parent_process_death_signal(Some(Signal::KILL));
    // The parent may have ended before the death signal was set.
    let parent_alive = getppid().is_some_and(|pid| pid.as_raw_nonzero().get() == parent);
    if set.is_err() || !parent_alive {
        return ExitCode::FAILURE;
    }
    let error = Command::new(program).args(args).exec();
    eprintln!("{}: {error}", program.display());
    ExitCode::FAILURE
}

/// Kills every process except this one whose command line contains the folder's path: processes that outlive the one that
/// started them.
pub fn kill_processes_naming(folder: &Path) {
    let name = folder.as_os_str().as_encoded_bytes();
    let Ok(entries) = std::fs::read_dir("/proc") else { return };
    let pids = entries.flatten().filter_map(|entry| entry.file_name().to_str()?.parse::<i32>().ok());
    for raw_pid in pids.filter(|pid| pid.cast_unsigned() != std::process::id()) {
        let command_line = std::fs::read(format!("/proc/{raw_pid}/cmdline")).unwrap_or_default();
        if let Some(pid) =
            Pid::from_raw(raw_pid).filter(|_| command_line.windows(name.len()).any(|part| part == name))
        {
            // This fails where the process has just exited.
            let _ = kill_process(pid, Signal::KILL);
        }
    }
}

/// Waits until the parent process has ended, and then kills every process whose command line contains the folder's path.
pub fn kill_after_parent(folder: &Path) {
    let mut input = Vec::new();
    // The parent writes nothing; when it ends, the pipe is closed.
    let _ = std::io::stdin().read_to_end(&mut input);
    kill_processes_naming(folder);
}
