//! Files by their content, and processes of this machine.

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

/// A program has so long to say whether it takes a file.
const CHECK_MOST: Duration = Duration::from_secs(10);
/// How often is looked whether it has.
const LOOK: Duration = Duration::from_millis(10);
/// Lines of a program's complaint that are told on.
const SAID_MOST: usize = 400;

/// The keeper's folder.
///
/// `programs/HASH` and `settings/HASH` hold what was fetched, by content; `run/SLOT.toml` is the file of the process in a slot
/// and `run/SLOT.json` says which version it is of; `sockets` is where the processes meet for a handover; `node.log` is theirs.
#[derive(Clone, Debug)]
pub struct Host {
    folder: PathBuf,
    own: PathBuf,
    ops: [SocketAddr; 2],
}

/// A process that was found or started.
#[derive(Debug)]
pub struct Process {
    pid: i32,
    /// When it was started, as the system counts: a number is given out again.
    born: u64,
    /// It is this keeper's own child.
    child: Option<Child>,
}

#[derive(Serialize, Deserialize)]
struct Runs {
    version: Version,
}

impl Host {
    /// In this folder, which is made where it is not there.
    ///
    /// # Errors
    ///
    /// It cannot be made.
    pub fn new(folder: &Path, own: &Path, ops: [SocketAddr; 2]) -> io::Result<Self> {
        for part in ["programs", "settings", "run", "sockets"] {
            fs::create_dir_all(folder.join(part))?;
        }
        Ok(Self { folder: folder.to_owned(), own: own.to_owned(), ops })
    }

    fn program(&self, hash: &Hash) -> PathBuf {
        self.folder.join("programs").join(hash.text())
    }

    fn settings(&self, hash: &Hash) -> PathBuf {
        self.folder.join("settings").join(hash.text())
    }

    fn run(&self, slot: Slot, kind: &str) -> PathBuf {
        self.folder.join("run").join(format!("{slot}.{kind}"))
    }

    /// Takes in what runs first: its version.
    ///
    /// # Errors
    ///
    /// A file cannot be read or kept.
    pub fn import_initial_version(&self, program: &Path, settings: &Path) -> Result<Version, String> {
        let hash = |path: &Path| Hash::of_file(path).map_err(|error| format!("{}: {error}", path.display()));
        let version = Version { program: hash(program)?, settings: hash(settings)? };
        self.have(&self.program(&version.program), &version.program, Some(program))?;
        self.have(&self.settings(&version.settings), &version.settings, Some(settings))?;
        Ok(version)
    }

    /// Has the files of a change there, by their content, and asks the program whether it takes the settings. What was
    /// fetched earlier counts only while its content is what its name says.
    ///
    /// # Errors
    ///
    /// Says what is not there, is not what it should be, or why the program turns the settings down.
    pub fn fetch(&self, change: &Change) -> Result<(), String> {
        let Version { program, settings } = &change.version;
        self.have(&self.program(program), program, change.program.as_deref())?;
        self.have(&self.settings(settings), settings, change.settings.as_deref())?;
        self.check(&change.version)
    }

    fn have(&self, place: &Path, hash: &Hash, from: Option<&Path>) -> Result<(), String> {
        // The hash names a file: nothing else may.
        if !hash.is_well_formed() {
            return Err("a version is not told by 64 hexadecimal digits".into());
        }
        if Hash::of_file(place).is_ok_and(|found| found == *hash) {
            return Ok(());
        }
        let from = from.ok_or_else(|| format!("what has the content {hash} is not here any more"))?;
        let shown = from.display();
        let bytes = fs::read(from).map_err(|error| format!("{shown}: {error}"))?;
        if Hash::of(&bytes) != *hash {
            return Err(format!("{shown} has not the content {hash}"));
        }
        let kept = write_atomically(place, &bytes)
            .and_then(|()| fs::set_permissions(place, fs::Permissions::from_mode(0o755)));
        kept.map_err(|error| format!("{}: {error}", place.display()))
    }

    /// The file of a process: the node's own part, and what all share behind it.
    fn file(&self, version: &Version) -> Result<Vec<u8>, String> {
        let read = |path: &Path| fs::read(path).map_err(|error| format!("{}: {error}", path.display()));
        let mut file = read(&self.own)?;
        file.push(b'\n');
        file.extend(read(&self.settings(&version.settings))?);
        Ok(file)
    }

    fn check(&self, version: &Version) -> Result<(), String> {
        let path = self.folder.join("run").join("check.toml");
        written(&path, &self.file(version)?)?;
        let mut command = Command::new(self.program(&version.program));
        command.arg("check").arg(&path).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut check =
            spawn(&mut command).map_err(|error| format!("the program does not start: {error}"))?;
        let since = Instant::now();
        let ended = loop {
            match check.try_wait() {
                Ok(Some(status)) => break status,
                Ok(None) if since.elapsed() < CHECK_MOST => std::thread::sleep(LOOK),
                _ => {
                    let _ = (check.kill(), check.wait());
                    return Err("the program does not say whether it takes the settings".into());
                }
            }
        };
        let mut said = String::new();
        if let Some(mut from) = check.stderr.take() {
            // What it says is for people: nothing hangs on it.
            let _ = io::Read::read_to_string(&mut from, &mut said);
        }
        match ended.success() {
            true => Ok(()),
            false => Err(format!("the program turns the settings down: {}", line(&said))),
        }
    }

    /// Processes of this node that run, by their slots.
    #[must_use]
    pub fn find_processes(&self) -> Vec<(Slot, Version, Process)> {
        let mut found = Vec::new();
        for slot in 0..2 {
            let path = self.run(slot, "toml");
            let told = fs::read(self.run(slot, "json")).ok();
            let Some(runs) = told.and_then(|json| serde_json::from_slice::<Runs>(&json).ok()) else {
                continue;
            };
            if let Some(process) = process_of(&path) {
                found.push((slot, runs.version, process));
            }
        }
        found
    }

    /// Starts a process of a version in a slot. What runs there still is ended first.
    ///
    /// # Errors
    ///
    /// Says why it cannot be started.
    pub fn start(&self, slot: Slot, version: &Version) -> Result<Process, String> {
        if let Some(mut left) = process_of(&self.run(slot, "toml")) {
            left.kill();
            left.wait(CHECK_MOST);
        }
        self.write_settings(slot, version)?;
        self.write_version(slot, version)?;
        let path = self.run(slot, "toml");
        let log = self.folder.join("node.log");
        let to = File::options().create(true).append(true).open(&log);
        let to = to.map_err(|error| format!("{}: {error}", log.display()))?;
        let mut command = Command::new(self.program(&version.program));
        command.arg("--config").arg(&path).arg("--ops").arg(self.ops[slot].to_string());
        command.env("TMPDIR", self.folder.join("sockets"));
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(to);
        // It outlives its keeper, also one that is interrupted at a terminal.
        command.process_group(0);
        let child = spawn(&mut command).map_err(|error| format!("the program does not start: {error}"))?;
        let pid = child.id().cast_signed();
        let born = stat(pid).map_or(0, |(_, born)| born);
        Ok(Process { pid, born, child: Some(child) })
    }

    /// Gives the process in a slot a file: it reads it when it starts, or when it is told to.
    ///
    /// # Errors
    ///
    /// It cannot be written.
    pub fn write_settings(&self, slot: Slot, version: &Version) -> Result<(), String> {
        written(&self.run(slot, "toml"), &self.file(version)?)
    }

    /// Notes which version the process in a slot is of.
    ///
    /// # Errors
    ///
    /// It cannot be written.
    pub fn write_version(&self, slot: Slot, version: &Version) -> Result<(), String> {
        let runs = serde_json::to_vec(&Runs { version: version.clone() }).unwrap_or_default();
        written(&self.run(slot, "json"), &runs)
    }

    /// Keeps only the files of these versions.
    pub fn prune(&self, versions: &[Version]) {
        let kept = |folder: &str, name: &str| {
            versions.iter().any(|version| match folder {
                "programs" => version.program.text() == name,
                _ => version.settings.text() == name,
            })
        };
        for folder in ["programs", "settings"] {
            let Ok(entries) = fs::read_dir(self.folder.join(folder)) else { continue };
            for entry in entries.flatten() {
                if !kept(folder, &entry.file_name().to_string_lossy()) {
                    // What stays costs a few megabytes.
                    let _ = fs::remove_file(entry.path());
                }
            }
        }
    }

    /// Where the process in a slot answers operators.
    #[must_use]
    pub fn admin_address(&self, slot: Slot) -> SocketAddr {
        self.ops[slot]
    }
}

fn written(path: &Path, bytes: &[u8]) -> Result<(), String> {
    write_atomically(path, bytes).map_err(|error| format!("{}: {error}", path.display()))
}

/// A program that has just been written may still be open elsewhere in a process that is about to become another program.
fn spawn(command: &mut Command) -> io::Result<Child> {
    let mut tries = 0;
    loop {
        match command.spawn() {
            Err(error) if error.kind() == io::ErrorKind::ExecutableFileBusy && tries < 100 => {
                tries += 1;
                std::thread::sleep(LOOK);
            }
            done => return done,
        }
    }
}

fn line(said: &str) -> String {
    let line = said.lines().next().unwrap_or("it does not say why");
    line.chars().take(SAID_MOST).collect()
}

/// Whether a process runs (one that has ended and was not looked after does not), and when it was started.
fn stat(pid: i32) -> Option<(bool, u64)> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The name may hold anything; what follows it does not.
    let mut fields = stat.rsplit_once(')')?.1.split_whitespace();
    let runs = !matches!(fields.next()?, "Z" | "X");
    Some((runs, fields.nth(18)?.parse().ok()?))
}

/// The process that was started with this file: where several were, the one that started the others.
fn process_of(path: &Path) -> Option<Process> {
    let wanted = path.as_os_str().as_encoded_bytes();
    let numbers = fs::read_dir("/proc").ok()?.flatten();
    let pids = numbers.filter_map(|entry| entry.file_name().to_str()?.parse::<i32>().ok());
    let with = pids.filter(|pid| {
        let line = fs::read(format!("/proc/{pid}/cmdline")).unwrap_or_default();
        let words: Vec<&[u8]> = line.split(|byte| *byte == 0).collect();
        words.windows(2).any(|pair| pair[0] == b"--config" && pair[1] == wanted)
    });
    let found = with.filter_map(|pid| stat(pid).filter(|(runs, _)| *runs).map(|(_, born)| (born, pid)));
    let (born, pid) = found.min()?;
    Some(Process { pid, born, child: None })
}

impl Process {
    /// Its number.
    #[must_use]
    pub fn pid(&self) -> i32 {
        self.pid
    }

    /// Whether it has ended.
    pub fn has_exited(&mut self) -> bool {
        if let Some(child) = &mut self.child {
            return !matches!(child.try_wait(), Ok(None));
        }
        stat(self.pid).is_none_or(|(runs, born)| !runs || born != self.born)
    }

    fn signal(&mut self, signal: Signal) {
        if self.has_exited() {
            return;
        }
        if let Some(pid) = Pid::from_raw(self.pid) {
            // It fails where it has just ended.
            let _ = kill_process(pid, signal);
        }
    }

    /// Tells it to end.
    pub fn terminate(&mut self) {
        self.signal(Signal::TERM);
    }

    /// Ends it.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
    }

    /// Tells it to read its file again.
    pub fn reload(&mut self) {
        self.signal(Signal::HUP);
    }

    fn wait(&mut self, most: Duration) {
        let since = Instant::now();
        while !self.has_exited() && since.elapsed() < most {
            std::thread::sleep(LOOK);
        }
    }

    /// Memory in bytes and descriptors.
    #[must_use]
    pub fn resources(&self) -> (u64, u64) {
        let statm = fs::read_to_string(format!("/proc/{}/statm", self.pid)).unwrap_or_default();
        let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
        let open = fs::read_dir(format!("/proc/{}/fd", self.pid)).map_or(0, Iterator::count);
        (pages.unwrap_or(0) * rustix::param::page_size() as u64, open as u64)
    }
}

/// Says something to people that must not be lost with the keeper.
pub fn append_log(folder: &Path, text: &str) {
    let log = File::options().create(true).append(true).open(folder.join("keeper.log"));
    // A disk that takes nothing has no log either.
    let _ = log.and_then(|mut log| writeln!(log, "{text}"));
}
