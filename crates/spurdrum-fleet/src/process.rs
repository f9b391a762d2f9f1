//! One node's process.

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

/// A node has this long until it is healthy.
const READY_MOST: Duration = Duration::from_secs(30);
/// What is shown of a log where a node does not come up.
const LINES: usize = 8;

/// What is needed to start a node, also again.
#[derive(Clone, Debug)]
pub struct NodeSpec {
    /// Its name, for messages.
    pub name: String,
    /// The program.
    pub program: PathBuf,
    /// Its configuration file.
    pub file: PathBuf,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators call.
    pub ops: SocketAddr,
    /// Its log.
    pub log: PathBuf,
    /// Its trace, where it keeps one.
    pub trace: PathBuf,
    /// What says how its disk does.
    pub disk: PathBuf,
    /// Where it keeps its sockets for replacement.
    pub folder: PathBuf,
}

/// A node that runs, until it is dropped.
pub struct Node {
    child: Child,
}

/// Starts a process that dies with the rig, however that ends. What it says goes to `log`, on both ways.
///
/// # Errors
///
/// It cannot be started.
pub fn spawn_bound(program: &Path, args: &[OsString], folder: &Path, log: &Path) -> Result<Node, String> {
    let open = || File::options().create(true).append(true).open(log);
    let (out, err) = (open(), open());
    let shown = |error| format!("{}: {error}", log.display());
    let own = std::env::current_exe().map_err(|error| error.to_string())?;
    let holds = own.file_stem().is_some_and(|name| name == "spurdrum-fleet");
    // In tests the rig is not the program that holds: the command beside it is.
    let holder = if holds { own } else { sibling_program("spurdrum-fleet")? };
    let mut command = Command::new(holder);
    command.args(["hold", &std::process::id().to_string()]).arg(program).args(args);
    command.env("TMPDIR", folder).stdin(Stdio::null());
    command.stdout(out.map_err(shown)?).stderr(err.map_err(shown)?);
    let child = command.spawn().map_err(|error| format!("{} does not start: {error}", program.display()))?;
    Ok(Node { child })
}

impl NodeSpec {
    /// Starts the process. It dies with the rig, however that ends.
    pub fn start(&self) -> Result<Node, String> {
        let args = ["--config".into(), self.file.clone().into_os_string()];
        spawn_bound(&self.program, &args, &self.folder, &self.log)
            .map_err(|error| format!("{}: {error}", self.name))
    }

    /// Waits until it answers that it is healthy.
    pub fn ready(&self, node: &mut Node) -> Result<(), String> {
        let since = Instant::now();
        while !healthy(self.listen) {
            let ended = node.child.try_wait().ok().flatten();
            if ended.is_some() || since.elapsed() > READY_MOST {
                let how = ended.map_or("does not become healthy".into(), |status| format!("ended: {status}"));
                return Err(format!("{} {how}; the last lines of its log:\n{}", self.name, tail(&self.log)));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Ok(())
    }

    /// Its figures, where it answers.
    pub fn telemetry(&self) -> Option<serde_json::Value> {
        serde_json::from_str(&query(self.ops, "telemetry")?).ok()
    }
}

/// Says a line to an address, and hears one; none where nobody answers within a second.
#[must_use]
pub fn query(at: SocketAddr, line: &str) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&at, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    stream.write_all(format!("{line}\n").as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    answer.lines().next().map(str::to_owned)
}

fn tail(path: &Path) -> String {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let lines: Vec<&str> = text.lines().collect();
    lines[lines.len().saturating_sub(LINES)..].join("\n")
}

impl Node {
    fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id().cast_signed()) {
            // It fails where the process has ended.
            let _ = kill_process(pid, signal);
        }
    }

    /// Stops it in the middle of whatever it does.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Has it read its file again.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Lets it go on.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// How it ended, if it has.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Whether it has ended by itself.
    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // Each fails where it has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A program that has been built beside this one.
pub fn sibling_program(name: &str) -> Result<PathBuf, String> {
    let program = spurdrum_harness::program_path(name)?;
    match program.exists() {
        true => Ok(program),
        false => Err(format!("{} is not there: build it first", program.display())),
    }
}

/// Becomes a program that dies with the process that asked for it. Returns only where that fails.
#[must_use]
pub fn exec_bound_to_parent(parent: i32, program: &Path, args: &[String]) -> ExitCode {
    let set = set_parent_process_death_signal(Some(Signal::KILL));
    // It may have died before the signal was asked for.
    let alive = getppid().is_some_and(|pid| pid.as_raw_nonzero().get() == parent);
    if set.is_err() || !alive {
        return ExitCode::FAILURE;
    }
    let error = Command::new(program).args(args).exec();
    eprintln!("{}: {error}", program.display());
    ExitCode::FAILURE
}

/// Ends every process whose command line names this folder, but for this one: those that outlive who started them.
pub fn kill_processes_naming(folder: &Path) {
    let name = folder.as_os_str().as_encoded_bytes();
    let Ok(entries) = std::fs::read_dir("/proc") else { return };
    let numbers = entries.flatten().filter_map(|entry| entry.file_name().to_str()?.parse::<i32>().ok());
    for number in numbers.filter(|number| number.cast_unsigned() != std::process::id()) {
        let line = std::fs::read(format!("/proc/{number}/cmdline")).unwrap_or_default();
        if let Some(pid) = Pid::from_raw(number).filter(|_| line.windows(name.len()).any(|part| part == name))
        {
            // It fails where the process has just ended.
            let _ = kill_process(pid, Signal::KILL);
        }
    }
}

/// Waits until whoever started this has gone, and then sweeps.
pub fn kill_after_parent(folder: &Path) {
    let mut said = Vec::new();
    // It says nothing; its end closes the pipe.
    let _ = std::io::stdin().read_to_end(&mut said);
    kill_processes_naming(folder);
}
