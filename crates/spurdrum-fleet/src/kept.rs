//! Runs a fleet whose nodes have supervisors, while a script starts rollouts, kills processes and breaks links and disks.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::Value;
use spurdrum_harness::healthy;
use spurdrum_standin::Fleet;

use crate::addresses::{address, free};
use crate::clients;
use crate::figures::not_served;
use crate::files::{node_part, shared_part};
use crate::history::{History, NodeOutage};
use crate::links::Relays;
use crate::process::{kill_processes_naming, query, sibling_program, spawn_bound, Node};
use crate::run::{history, Folder, Options};
use crate::scenario::{Kind, Scenario};
use crate::verdict;

/// All nodes must be healthy within this time.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Number of log lines that are shown where a run failed.
const MAX_LOG_LINES: usize = 60;
/// Interval between checks of a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Returns settings that are valid and harmful: latency objectives of 4 ms and deadlines of 5 ms, which no server can meet.
#[must_use]
pub fn impossible_deadlines(settings: String) -> String {
    let line = |line: &str| match line.split_once(" = ") {
        Some(("aim_ms", _)) => "aim_ms = 4.0\n".to_owned(),
        Some(("deadline_ms", _)) => "deadline_ms = 5.0\n".to_owned(),
        _ => format!("{line}\n"),
    };
    settings.lines().map(line).collect()
}

/// A running fleet of supervised nodes.
pub struct SupervisedFleet {
    scenario: Scenario,
    /// Folder of all files of the run.
    folder: Folder,
    /// Path of the program under test.
    program: PathBuf,
    /// When the clients started.
    start: Instant,
    /// The nodes' addresses for clients.
    pub nodes: Vec<SocketAddr>,
    supervisors: Vec<SupervisorProcess>,
    /// Relays between the rollout controllers and the supervisors.
    relays: Relays,
    /// Names and addresses of the stand-in servers.
    servers: Vec<(String, SocketAddr)>,
    /// Address of the stand-in catalog.
    catalog: SocketAddr,
    /// Number of plans and controller logs written so far; makes their file names and ports unique.
    plans: usize,
    /// Intervals in which a node is expected not to answer.
    outages: Vec<NodeOutage>,
    /// Process that kills whatever is still running when the rig has ended.
    sweeper: Child,
}

/// The supervisor of one node.
struct SupervisorProcess {
    /// Its configuration file.
    file: PathBuf,
    /// Address on which rollout controllers reach the supervisor.
    address: SocketAddr,
    folder: PathBuf,
    /// The process; `None` while it is killed.
    process: Option<Node>,
}

/// A running rollout controller; dropping it kills the process.
pub struct RolloutController {
    process: Node,
    log: PathBuf,
}

impl RolloutController {
    /// Returns the output of the controller so far.
    #[must_use]
    pub fn output(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Waits until the output contains `what`.
    ///
    /// # Errors
    ///
    /// The controller has exited, or the time is up; the message contains the output.
    pub fn wait_for(&mut self, what: &str, timeout: Duration) -> Result<(), String> {
        let since = Instant::now();
        loop {
            let ended = self.process.exit_status().is_some();
            if self.output().contains(what) {
                return Ok(());
            }
            if ended || since.elapsed() > timeout {
                return Err(format!(
                    "the rollout controller did not print `{what}`; its output:\n{}",
                    self.output()
                ));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Passes each line of the output to `show` until the controller exits, and returns whether the rollout was completed.
    ///
    /// # Errors
    ///
    /// The time is up.
    pub fn follow(&mut self, timeout: Duration, mut show: impl FnMut(&str)) -> Result<bool, String> {
        let (since, mut shown) = (Instant::now(), 0);
        loop {
            let status = self.process.exit_status();
            let output = self.output();
            let complete = output.rfind('\n').map_or(0, |end| end + 1);
            output[shown..complete].lines().for_each(&mut show);
            shown = complete;
            match status {
                Some(status) => return Ok(status.success()),
                None if since.elapsed() > timeout => {
                    return Err(format!("the rollout controller did not exit in time; its output:\n{output}"))
                }
                None => std::thread::sleep(POLL_INTERVAL),
            }
        }
    }

    /// Waits until the controller exits, and returns whether the rollout was completed, and the output.
    ///
    /// # Errors
    ///
    /// The time is up.
    pub fn wait_until_exit(&mut self, timeout: Duration) -> Result<(bool, String), String> {
        let done = self.follow(timeout, |_| {})?;
        Ok((done, self.output()))
    }

    /// Suspends the process at whatever it is doing (SIGSTOP), or resumes it.
    pub fn set_paused(&self, paused: bool) {
        if paused {
            self.process.pause();
        } else {
            self.process.resume();
        }
    }
}

/// Runs a scenario with supervised nodes. `script` starts when all nodes are healthy and clients send requests; the run ends with
/// the script.
///
/// # Errors
///
/// The fleet could not be run, or the script returned an error.
pub fn play<T>(
    scenario: &Scenario,
    options: &Options,
    script: impl FnOnce(&mut SupervisedFleet) -> Result<T, String>,
) -> Result<(History, T), String> {
    let fleet = Fleet::start(&scenario.standins())?;
    let mut supervised = SupervisedFleet::start(scenario, options, &fleet)?;
    let begins_at = fleet.elapsed().as_secs_f64();
    supervised.start = Instant::now();
    let stop = Arc::new(AtomicBool::new(false));
    let clients = clients::start(scenario, &supervised.nodes, supervised.start, &stop);
    let result = script(&mut supervised);
    stop.store(true, Ordering::Relaxed);
    let requests = clients::gather(clients)?;
    let result = result.map_err(|why| format!("{why}\n{}{}", not_served(&requests), supervised.logs()))?;
    let length = supervised.elapsed_s();
    let outages = std::mem::take(&mut supervised.outages);
    let logs = supervised.logs();
    drop(supervised);
    // The test harness prints this for a failing test.
    eprintln!("{}", not_served(&requests));
    let record = history(scenario, &fleet.counters(), begins_at, requests, outages, Default::default());
    let record = History { length, ..record };
    if !verdict::judge(&record).is_empty() {
        eprintln!("a rule was broken; the nodes' logs:\n{logs}");
    }
    Ok((record, result))
}

impl SupervisedFleet {
    /// Starts all supervisors, and through them the nodes, and waits until all nodes are healthy.
    fn start(scenario: &Scenario, options: &Options, fleet: &Fleet) -> Result<Self, String> {
        let folder = Folder::make(options)?;
        let servers: Vec<(String, SocketAddr)> =
            fleet.servers.iter().map(|(name, at)| (name.clone(), *at)).collect();
        let sweeper = Command::new(sibling_program("spurdrum-fleet")?)
            .arg("sweep")
            .arg(&folder.path)
            .stdin(Stdio::piped())
            .spawn()
            .map_err(|error| format!("the clean-up process does not start: {error}"))?;
        let mut supervised = Self {
            scenario: scenario.clone(),
            folder,
            program: options.program.clone(),
            start: Instant::now(),
            nodes: Vec::new(),
            supervisors: Vec::new(),
            relays: Relays::default(),
            servers,
            catalog: fleet.catalog,
            plans: 0,
            outages: Vec::new(),
            sweeper,
        };
        let first = supervised.settings("first", |text| text)?;
        let program = supervised.build("first", "exec {program} \"$@\"")?;
        for index in 0..scenario.nodes {
            supervised.prepare(index, &program, &first)?;
        }
        let relayed = supervised
            .supervisors
            .iter()
            .enumerate()
            .map(|(index, supervisor)| ((index, vec![index]), supervisor.address));
        supervised.relays = Relays::start(address(0)?, relayed.collect::<Vec<_>>());
        for index in 0..scenario.nodes {
            supervised.start_supervisor(index)?;
        }
        let since = Instant::now();
        while let Some(index) = supervised.nodes.iter().position(|node| !healthy(*node)) {
            if since.elapsed() > READY_TIMEOUT {
                return Err(format!("n{index} does not become healthy\n{}", supervised.logs()));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(supervised)
    }

    /// Writes a file into the run's folder and returns its path.
    fn write(&self, name: &str, text: &str) -> Result<PathBuf, String> {
        let path = self.folder.path.join(name);
        std::fs::write(&path, text).map_err(|error| format!("{}: {error}", path.display()))?;
        Ok(path)
    }

    /// Chooses the addresses of a node and its supervisor, and writes their configuration files.
    fn prepare(&mut self, index: usize, program: &Path, settings: &Path) -> Result<(), String> {
        let host = address(index + 1)?;
        let listen = free(host, 0)?;
        let mut last_port = listen.port();
        let mut next = || -> Result<SocketAddr, String> {
            let address = free(host, last_port)?;
            last_port = address.port();
            Ok(address)
        };
        let (supervisor, ops) = (next()?, [next()?, next()?]);
        let node_file = node_part(&self.scenario, index, listen) + "latencies = true\n";
        let node_file = self.write(&format!("own{index}.toml"), &node_file)?;
        let folder = self.folder.path.join(format!("n{index}"));
        let supervisor_file = format!(
            "[keeper]\nname = 'n{index}'\nlisten = '{supervisor}'\nfolder = '{}'\nops = ['{}', '{}']\nown = '{}'\nprogram = '{}'\n\
             settings = '{}'\nstable_ms = 10000\n",
            folder.display(),
            ops[0],
            ops[1],
            node_file.display(),
            program.display(),
            settings.display()
        );
        let file = self.write(&format!("keeper{index}.toml"), &supervisor_file)?;
        self.nodes.push(listen);
        self.supervisors.push(SupervisorProcess { file, address: supervisor, folder, process: None });
        Ok(())
    }

    /// Returns the seconds since the clients started.
    #[must_use]
    pub fn elapsed_s(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Writes a build, which is a shell script in which `{program}` stands for the program's path, and returns its path.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn build(&self, name: &str, script: &str) -> Result<PathBuf, String> {
        use std::os::unix::fs::PermissionsExt;
        let text = format!("#!/bin/sh\n# {name}\n{script}\n");
        let text = text.replace("{program}", &self.program.display().to_string());
        let path = self.write(&format!("{name}.sh"), &text)?;
        let result = std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o755));
        result.map_err(|error| format!("{}: {error}", path.display()))?;
        Ok(path)
    }

    /// Writes the settings that all nodes share, after applying `change` to the initial ones, and returns the file's path.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn settings(&self, name: &str, change: impl Fn(String) -> String) -> Result<PathBuf, String> {
        let at = |n: usize| self.servers[n].1;
        let text = shared_part(&self.scenario, self.catalog, &self.servers, at);
        self.write(&format!("{name}.toml"), &change(text))
    }

    /// Writes a plan that changes all nodes to `program` and `settings`, and returns its path. `times` is the text of further keys
    /// of `[rollout]`; `stages` is the text of the stages and of `[judge]`.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn plan(
        &mut self,
        program: &Path,
        settings: &Path,
        how: &str,
        times: &str,
        stages: &str,
    ) -> Result<PathBuf, String> {
        self.plans += 1;
        // Each plan has its own port because the controller of an earlier plan may still be running.
        let listen = free(address(0)?, 20_000 + self.plans as u16)?;
        let mut text = format!("[rollout]\nlisten = '{listen}'\n{times}\n[change]\n");
        text += &format!(
            "program = '{}'\nsettings = '{}'\nhow = '{how}'\n",
            program.display(),
            settings.display()
        );
        for (index, supervisor) in self.supervisors.iter().enumerate() {
            let at = self.relays.address_of(&(index, vec![index])).unwrap_or(supervisor.address);
            let zone = self.scenario.zone_of(index);
            text += &format!("[[node]]\nname = 'n{index}'\nkeeper = '{at}'\nzone = '{zone}'\n");
        }
        self.write(&format!("plan{}.toml", self.plans), &(text + stages))
    }

    /// Starts a rollout controller for a plan.
    ///
    /// # Errors
    ///
    /// The process cannot be started.
    pub fn start_rollout(&mut self, plan: &Path) -> Result<RolloutController, String> {
        self.run_controller("start", plan)
    }

    /// Starts a rollout controller that rolls a plan's change back.
    ///
    /// # Errors
    ///
    /// The process cannot be started.
    pub fn start_rollback(&mut self, plan: &Path) -> Result<RolloutController, String> {
        self.run_controller("back", plan)
    }

    /// Starts a rollout controller with this subcommand of `rollout`.
    fn run_controller(&mut self, command: &str, plan: &Path) -> Result<RolloutController, String> {
        self.plans += 1;
        let log = self.folder.path.join(format!("conductor{}.log", self.plans));
        let args: Vec<OsString> = ["rollout".into(), command.into(), plan.as_os_str().to_owned()].into();
        let process = spawn_bound(&self.program, &args, &self.folder.path, &log)?;
        Ok(RolloutController { process, log })
    }

    /// Kills a node's supervisor.
    pub fn kill_supervisor(&mut self, index: usize) {
        self.supervisors[index].process = None;
    }

    /// Starts a node's supervisor, for the first time or again.
    ///
    /// # Errors
    ///
    /// The process cannot be started.
    pub fn start_supervisor(&mut self, index: usize) -> Result<(), String> {
        let supervisor = &mut self.supervisors[index];
        let args: Vec<OsString> = ["keeper".into(), supervisor.file.clone().into_os_string()].into();
        let log = self.folder.path.join(format!("keeper{index}.log"));
        supervisor.process = Some(spawn_bound(&self.program, &args, &self.folder.path, &log)?);
        Ok(())
    }

    /// Returns the folder of a node's supervisor.
    #[must_use]
    pub fn folder(&self, index: usize) -> &Path {
        &self.supervisors[index].folder
    }

    /// Returns the supervisor's status of its node, requested directly and not through a relay; `None` where the supervisor does
    /// not answer.
    #[must_use]
    pub fn status(&self, index: usize) -> Option<Value> {
        serde_json::from_str(&query(self.supervisors[index].address, "\"ask\"")?).ok()
    }

    /// Begins or ends a fault on the links between the rollout controllers and the supervisors of these nodes.
    pub fn set_link_fault(&self, nodes: impl IntoIterator<Item = usize>, kind: Kind, begins: bool) {
        nodes.into_iter().for_each(|index| self.relays.set_fault(index, kind, begins, Duration::ZERO));
    }

    /// Records that a node is expected not to answer for this many seconds from now, so that its unanswered requests break no
    /// rule.
    pub fn allow_unanswered(&mut self, index: usize, seconds: f64) {
        let from = self.elapsed_s();
        self.outages.push(NodeOutage { node: index, from, to: from + seconds });
    }

    /// Returns the last lines of the logs of all supervisors and nodes.
    #[must_use]
    pub fn logs(&self) -> String {
        let of = |index: usize| {
            let folder = &self.supervisors[index].folder;
            let tail = |name: &str| {
                let text = std::fs::read_to_string(folder.join(name)).unwrap_or_default();
                let lines: Vec<&str> = text.lines().collect();
                lines[lines.len().saturating_sub(MAX_LOG_LINES)..].join("\n  ")
            };
            format!("n{index}:\n  {}\n  {}\n", tail("keeper.log"), tail("node.log"))
        };
        (0..self.supervisors.len()).map(of).collect()
    }
}

impl Drop for SupervisedFleet {
    fn drop(&mut self) {
        self.supervisors.iter_mut().for_each(|supervisor| supervisor.process = None);
        kill_processes_naming(&self.folder.path);
        // Closing its standard input ends the clean-up process, which finds nothing left to kill.
        drop(self.sweeper.stdin.take());
        let _ = self.sweeper.wait();
    }
}
