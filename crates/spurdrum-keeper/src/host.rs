//! The files of programs and settings, stored by their content hash, and the node's processes on this machine.

use std::fs::{self, File};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};
use serde::{Deserialize, Serialize};
use spurdrum_rollout::version::{Change, Hash, Version};

use crate::hand::Slot;
use crate::record::write_atomically;

/// Time that a program has to check a settings file.
const CHECK_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which the end of a process is polled, and delay between attempts to start one.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of characters of a program's error message that are reported.
const MAX_MESSAGE_CHARS: usize = 400;

/// The supervisor's folder on this machine.
///
/// `programs/HASH` and `settings/HASH` hold the stored files, named by their content hash. `run/SLOT.toml` is the
/// settings file of the process in a slot, and `run/SLOT.json` states its version. The processes meet in
/// `sockets` for a handover, and `node.log` is their log.
#[derive(Clone, Debug)]
pub struct Host {
    folder: PathBuf,
    node_settings: PathBuf,
    admin_addresses: [SocketAddr; 2],
}

/// A process of the node, found or started.
#[derive(Debug)]
pub struct Process {
    pid: i32,
    /// Start time in clock ticks since the system booted. Tells the process from a later one to which the system
    /// gives the same pid.
    started_at: u64,
    /// Set if the process is a child of this supervisor.
    child: Option<Child>,
}

/// The content of `run/SLOT.json`.
#[derive(Serialize, Deserialize)]
struct RunningVersion {
    version: Version,
}

impl Host {
    /// Creates the folder and its subfolders if they do not exist.
    ///
    /// # Errors
    ///
    /// A folder cannot be created.
    pub fn new(folder: &Path, node_settings: &Path, admin_addresses: [SocketAddr; 2]) -> io::Result<Self> {
        for subfolder in ["programs", "settings", "run", "sockets"] {
            fs::create_dir_all(folder.join(subfolder))?;
        }
        Ok(Self { folder: folder.to_owned(), node_settings: node_settings.to_owned(), admin_addresses })
    }

    fn program_path(&self, hash: &Hash) -> PathBuf {
        self.folder.join("programs").join(hash.text())
    }

    fn settings_path(&self, hash: &Hash) -> PathBuf {
        self.folder.join("settings").join(hash.text())
    }

    fn run_path(&self, slot: Slot, extension: &str) -> PathBuf {
        self.folder.join("run").join(format!("{slot}.{extension}"))
    }

    /// Stores the files of the initial version and returns it.
    ///
    /// # Errors
    ///
    /// A file cannot be read or stored.
    pub fn import_initial_version(&self, program: &Path, settings: &Path) -> Result<Version, String> {
        let hash = |path: &Path| Hash::of_file(path).map_err(|error| format!("{}: {error}", path.display()));
        let version = Version { program: hash(program)?, settings: hash(settings)? };
        self.store_file(&self.program_path(&version.program), &version.program, Some(program))?;
        self.store_file(&self.settings_path(&version.settings), &version.settings, Some(settings))?;
        Ok(version)
    }

    /// Stores the files of a change, unless they are stored already, and has the program check the settings. A
    /// stored file is used only if its content still matches its name.
    ///
    /// # Errors
    ///
    /// A file is missing or has another content, or the program rejects the settings; the error says which and why.
    pub fn fetch(&self, change: &Change) -> Result<(), String> {
        let Version { program, settings } = &change.version;
        self.store_file(&self.program_path(program), program, change.program.as_deref())?;
        self.store_file(&self.settings_path(settings), settings, change.settings.as_deref())?;
        self.check(&change.version)
    }

    fn store_file(&self, target: &Path, hash: &Hash, source: Option<&Path>) -> Result<(), String> {
        // The hash becomes a file name, so no other text may pass.
        if !hash.is_well_formed() {
            return Err("a hash of the version is not 64 hexadecimal digits".into());
        }
        if Hash::of_file(target).is_ok_and(|found| found == *hash) {
            return Ok(());
        }
        let source =
            source.ok_or_else(|| format!("the file with the content {hash} is not here any more"))?;
        let shown = source.display();
        let bytes = fs::read(source).map_err(|error| format!("{shown}: {error}"))?;
        if Hash::of(&bytes) != *hash {
            return Err(format!("{shown} does not have the content {hash}"));
        }
        let stored = write_atomically(target, &bytes)
            .and_then(|()| fs::set_permissions(target, fs::Permissions::from_mode(0o755)));
        stored.map_err(|error| format!("{}: {error}", target.display()))
    }

    /// Returns the settings file of a process: the node's own part, followed by the settings that all nodes share.
    fn settings_file(&self, version: &Version) -> Result<Vec<u8>, String> {
        let read = |path: &Path| fs::read(path).map_err(|error| format!("{}: {error}", path.display()));
        let mut content = read(&self.node_settings)?;
        content.push(b'\n');
        content.extend(read(&self.settings_path(&version.settings))?);
        Ok(content)
    }

    fn check(&self, version: &Version) -> Result<(), String> {
        let path = self.folder.join("run").join("check.toml");
        write_file(&path, &self.settings_file(version)?)?;
        let mut command = Command::new(self.program_path(&version.program));
        command.arg("check").arg(&path).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut check =
            spawn(&mut command).map_err(|error| format!("the program does not start: {error}"))?;
        let started = Instant::now();
        let exit_status = loop {
            match check.try_wait() {
                Ok(Some(status)) => break status,
                Ok(None) if started.elapsed() < CHECK_TIMEOUT => std::thread::sleep(POLL_INTERVAL),
                _ => {
                    let _ = (check.kill(), check.wait());
                    return Err("the program did not finish its check of the settings in time".into());
                }
            }
        };
        let mut message = String::new();
        if let Some(mut stderr) = check.stderr.take() {
            // The message is for operators only, so a read error is ignored.
            let _ = io::Read::read_to_string(&mut stderr, &mut message);
        }
        match exit_status.success() {
            true => Ok(()),
            false => Err(format!("the program turns the settings down: {}", first_line(&message))),
        }
    }

    /// Returns the running processes of this node and their slots and versions.
    #[must_use]
    pub fn find_processes(&self) -> Vec<(Slot, Version, Process)> {
        let mut found = Vec::new();
        for slot in 0..2 {
            let path = self.run_path(slot, "toml");
            let json = fs::read(self.run_path(slot, "json")).ok();
            let Some(running) = json.and_then(|json| serde_json::from_slice::<RunningVersion>(&json).ok())
            else {
                continue;
            };
            if let Some(process) = find_process(&path) {
                found.push((slot, running.version, process));
            }
        }
        found
    }

    /// Starts a process of a version in a slot. A process that still runs there is killed first.
    ///
    /// # Errors
    ///
    /// The process cannot be started.
    pub fn start(&self, slot: Slot, version: &Version) -> Result<Process, String> {
        if let Some(mut leftover) = find_process(&self.run_path(slot, "toml")) {
            leftover.kill();
            leftover.wait(CHECK_TIMEOUT);
        }
        self.write_settings(slot, version)?;
        self.write_version(slot, version)?;
        let path = self.run_path(slot, "toml");
        let log = self.folder.join("node.log");
        let stderr = File::options().create(true).append(true).open(&log);
        let stderr = stderr.map_err(|error| format!("{}: {error}", log.display()))?;
        let mut command = Command::new(self.program_path(&version.program));
        command.arg("--config").arg(&path).arg("--ops").arg(self.admin_addresses[slot].to_string());
        command.env("TMPDIR", self.folder.join("sockets"));
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(stderr);
        // In a process group of its own the node survives when its supervisor is interrupted at a terminal.
        command.process_group(0);
        let child = spawn(&mut command).map_err(|error| format!("the program does not start: {error}"))?;
        let pid = child.id().cast_signed();
        let started_at = stat(pid).map_or(0, |(_, started_at)| started_at);
        Ok(Process { pid, started_at, child: Some(child) })
    }

    /// Writes the settings file of a slot, which its process reads when it starts or is told to reload.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn write_settings(&self, slot: Slot, version: &Version) -> Result<(), String> {
        write_file(&self.run_path(slot, "toml"), &self.settings_file(version)?)
    }

    /// Writes down the version of the process in a slot.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn write_version(&self, slot: Slot, version: &Version) -> Result<(), String> {
        let json = serde_json::to_vec(&RunningVersion { version: version.clone() }).unwrap_or_default();
        write_file(&self.run_path(slot, "json"), &json)
    }

    /// Deletes the stored files of all versions but these.
    pub fn prune(&self, versions: &[Version]) {
        let is_needed = |folder: &str, name: &str| {
            versions.iter().any(|version| match folder {
                "programs" => version.program.text() == name,
                _ => version.settings.text() == name,
            })
        };
        for folder in ["programs", "settings"] {
            let Ok(entries) = fs::read_dir(self.folder.join(folder)) else { continue };
            for entry in entries.flatten() {
                if !is_needed(folder, &entry.file_name().to_string_lossy()) {
                    // A file that cannot be deleted costs only a few megabytes.
                    let _ = fs::remove_file(entry.path());
                }
            }
        }
    }

    /// The admin address of the process in a slot.
    #[must_use]
    pub fn admin_address(&self, slot: Slot) -> SocketAddr {
        self.admin_addresses[slot]
    }
}

fn write_file(path: &Path, bytes: &[u8]) -> Result<(), String> {
    write_atomically(path, bytes).map_err(|error| format!("{}: {error}", path.display()))
}

/// Starts a process. Retries while the program file is busy: a child process that another thread has just forked
/// may still hold the file open for writing until it executes its own program.
fn spawn(command: &mut Command) -> io::Result<Child> {
    let mut retries = 0;
    loop {
        match command.spawn() {
            Err(error) if error.kind() == io::ErrorKind::ExecutableFileBusy && retries < 100 => {
                retries += 1;
                std::thread::sleep(POLL_INTERVAL);
            }
            result => return result,
        }
    }
}

fn first_line(message: &str) -> String {
    let line = message.lines().next().unwrap_or("it gives no reason");
    line.chars().take(MAX_MESSAGE_CHARS).collect()
}

/// Returns whether a process is running (a zombie is not), and its start time in clock ticks since the system booted.
fn stat(pid: i32) -> Option<(bool, u64)> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The process name in parentheses may contain spaces and parentheses; the fields behind the last one do not.
    let mut fields = stat.rsplit_once(')')?.1.split_whitespace();
    let running = !matches!(fields.next()?, "Z" | "X");
    Some((running, fields.nth(18)?.parse().ok()?))
}

/// Returns the running process that was started with this settings file. If there are several, the oldest: the
/// others are its children.
fn find_process(path: &Path) -> Option<Process> {
    let config = path.as_os_str().as_encoded_bytes();
    let entries = fs::read_dir("/proc").ok()?.flatten();
    let pids = entries.filter_map(|entry| entry.file_name().to_str()?.parse::<i32>().ok());
    let matching = pids.filter(|pid| {
        let command_line = fs::read(format!("/proc/{pid}/cmdline")).unwrap_or_default();
        let arguments: Vec<&[u8]> = command_line.split(|byte| *byte == 0).collect();
        arguments.windows(2).any(|pair| pair[0] == b"--config" && pair[1] == config)
    });
    let running = matching
        .filter_map(|pid| stat(pid).filter(|(running, _)| *running).map(|(_, started_at)| (started_at, pid)));
    let (started_at, pid) = running.min()?;
    Some(Process { pid, started_at, child: None })
}

impl Process {
    /// The process id.
    #[must_use]
    pub fn pid(&self) -> i32 {
        self.pid
    }

    /// Whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        if let Some(child) = &mut self.child {
            return !matches!(child.try_wait(), Ok(None));
        }
        stat(self.pid).is_none_or(|(running, started_at)| !running || started_at != self.started_at)
    }

    fn signal(&mut self, signal: Signal) {
        if self.has_exited() {
            return;
        }
        if let Some(pid) = Pid::from_raw(self.pid) {
            // Fails if the process has just exited.
            let _ = kill_process(pid, signal);
        }
    }

    /// Asks the process to exit (SIGTERM).
    pub fn terminate(&mut self) {
        self.signal(Signal::TERM);
    }

    /// Kills the process (SIGKILL).
    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
    }

    /// Tells the process to reload its settings file (SIGHUP).
    pub fn reload(&mut self) {
        self.signal(Signal::HUP);
    }

    fn wait(&mut self, timeout: Duration) {
        let started = Instant::now();
        while !self.has_exited() && started.elapsed() < timeout {
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns the resident memory in bytes and the number of open descriptors.
    #[must_use]
    pub fn resources(&self) -> (u64, u64) {
        let statm = fs::read_to_string(format!("/proc/{}/statm", self.pid)).unwrap_or_default();
        let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
        let descriptors = fs::read_dir(format!("/proc/{}/fd", self.pid)).map_or(0, Iterator::count);
        (pages.unwrap_or(0) * rustix::param::page_size() as u64, descriptors as u64)
    }
}

/// Appends a message to `keeper.log`, which stays when the supervisor dies.
pub fn append_log(folder: &Path, text: &str) {
    let log = File::options().create(true).append(true).open(folder.join("keeper.log"));
    // The message is lost if the disk cannot be written.
    let _ = log.and_then(|mut log| writeln!(log, "{text}"));
}
