//! A fleet whose nodes have keepers, played while a script changes it: rollouts, deaths, cut links, spoilt disks.

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

/// Nodes have this long until all are healthy.
const READY_MOST: Duration = Duration::from_secs(60);
/// What is shown of a log where a run failed.
const LOG_LINES_MOST: usize = 60;
/// How often is looked whether something has come.
const LOOK: Duration = Duration::from_millis(20);

/// Settings that are legal and bad: aims of 4 ms and deadlines of 5 ms, in which no server can answer.
#[must_use]
pub fn impossible_deadlines(settings: String) -> String {
    let line = |line: &str| match line.split_once(" = ") {
        Some(("aim_ms", _)) => "aim_ms = 4.0\n".to_owned(),
        Some(("deadline_ms", _)) => "deadline_ms = 5.0\n".to_owned(),
        _ => format!("{line}\n"),
    };
    settings.lines().map(line).collect()
}

/// A fleet that is being played.
pub struct SupervisedFleet {
    scenario: Scenario,
    folder: Folder,
    program: PathBuf,
    start: Instant,
    /// Where clients connect.
    pub nodes: Vec<SocketAddr>,
    keepers: Vec<Keeper>,
    /// Before the keepers, as conductors see them.
    relays: Relays,
    servers: Vec<(String, SocketAddr)>,
    catalog: SocketAddr,
    plans: usize,
    away: Vec<NodeOutage>,
    /// Ends what is left when the rig has gone.
    sweeper: Child,
}

struct Keeper {
    file: PathBuf,
    address: SocketAddr,
    folder: PathBuf,
    process: Option<Node>,
}

/// A conductor that runs, until it is dropped.
pub struct RolloutController {
    process: Node,
    log: PathBuf,
}

impl RolloutController {
    /// What it has said.
    #[must_use]
    pub fn output(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Waits until it has said this; or it has ended, or the time is up: then what it said instead.
    ///
    /// # Errors
    ///
    /// See above.
    pub fn wait_for(&mut self, what: &str, most: Duration) -> Result<(), String> {
        let since = Instant::now();
        loop {
            let ended = self.process.exit_status().is_some();
            if self.output().contains(what) {
                return Ok(());
            }
            if ended || since.elapsed() > most {
                return Err(format!("it does not say `{what}` but\n{}", self.output()));
            }
            std::thread::sleep(LOOK);
        }
    }

    /// Shows what it says, line by line, until it has ended: whether the rollout was done.
    ///
    /// # Errors
    ///
    /// The time is up.
    pub fn follow(&mut self, most: Duration, mut show: impl FnMut(&str)) -> Result<bool, String> {
        let (since, mut shown) = (Instant::now(), 0);
        loop {
            let status = self.process.exit_status();
            let said = self.output();
            let whole = said.rfind('\n').map_or(0, |end| end + 1);
            said[shown..whole].lines().for_each(&mut show);
            shown = whole;
            match status {
                Some(status) => return Ok(status.success()),
                None if since.elapsed() > most => return Err(format!("it does not end:\n{said}")),
                None => std::thread::sleep(LOOK),
            }
        }
    }

    /// Waits until it has ended: whether the rollout was done, and what it said.
    ///
    /// # Errors
    ///
    /// The time is up.
    pub fn wait_until_exit(&mut self, most: Duration) -> Result<(bool, String), String> {
        let done = self.follow(most, |_| {})?;
        Ok((done, self.output()))
    }

    /// Stops it in the middle of whatever it does, or lets it go on.
    pub fn set_paused(&self, stops: bool) {
        if stops {
            self.process.pause();
        } else {
            self.process.resume();
        }
    }
}

/// Plays a scenario with keepers: `script` runs when all nodes serve, while clients ask; when it is over, so is the run.
///
/// # Errors
///
/// Says what could not be played, or what the script says.
pub fn play<T>(
    scenario: &Scenario,
    options: &Options,
    script: impl FnOnce(&mut SupervisedFleet) -> Result<T, String>,
) -> Result<(History, T), String> {
    let fleet = Fleet::start(&scenario.standins())?;
    let mut kept = SupervisedFleet::start(scenario, options, &fleet)?;
    let begins = fleet.elapsed().as_secs_f64();
    kept.start = Instant::now();
    let stop = Arc::new(AtomicBool::new(false));
    let playing = clients::start(scenario, &kept.nodes, kept.start, &stop);
    let said = script(&mut kept);
    stop.store(true, Ordering::Relaxed);
    let asked = clients::gather(playing)?;
    let said = said.map_err(|why| format!("{why}\n{}{}", not_served(&asked), kept.logs()))?;
    let length = kept.elapsed_s();
    let away = std::mem::take(&mut kept.away);
    let logs = kept.logs();
    drop(kept);
    // A test shows this where it fails.
    eprintln!("{}", not_served(&asked));
    let seen = history(scenario, &fleet.tally(), begins, asked, away, Default::default());
    let seen = History { length, ..seen };
    if !verdict::judge(&seen).is_empty() {
        eprintln!("a rule was broken; the nodes' logs:\n{logs}");
    }
    Ok((seen, said))
}

impl SupervisedFleet {
    fn start(scenario: &Scenario, options: &Options, fleet: &Fleet) -> Result<Self, String> {
        let folder = Folder::make(options)?;
        let servers: Vec<(String, SocketAddr)> =
            fleet.servers.iter().map(|(name, at)| (name.clone(), *at)).collect();
        let sweeper = Command::new(sibling_program("spurdrum-fleet")?)
            .arg("sweep")
            .arg(&folder.path)
            .stdin(Stdio::piped())
            .spawn()
            .map_err(|error| format!("the sweeper does not start: {error}"))?;
        let mut kept = Self {
            scenario: scenario.clone(),
            folder,
            program: options.program.clone(),
            start: Instant::now(),
            nodes: Vec::new(),
            keepers: Vec::new(),
            relays: Relays::default(),
            servers,
            catalog: fleet.catalog,
            plans: 0,
            away: Vec::new(),
            sweeper,
        };
        let first = kept.settings("first", |text| text)?;
        let program = kept.build("first", "exec {program} \"$@\"")?;
        for me in 0..scenario.nodes {
            kept.prepare(me, &program, &first)?;
        }
        let wanted = kept.keepers.iter().enumerate().map(|(me, keeper)| ((me, vec![me]), keeper.address));
        kept.relays = Relays::start(address(0)?, wanted.collect::<Vec<_>>());
        for me in 0..scenario.nodes {
            kept.start_supervisor(me)?;
        }
        let since = Instant::now();
        while let Some(me) = kept.nodes.iter().position(|node| !healthy(*node)) {
            if since.elapsed() > READY_MOST {
                return Err(format!("n{me} does not become healthy\n{}", kept.logs()));
            }
            std::thread::sleep(LOOK);
        }
        Ok(kept)
    }

    fn write(&self, name: &str, text: &str) -> Result<PathBuf, String> {
        let path = self.folder.path.join(name);
        std::fs::write(&path, text).map_err(|error| format!("{}: {error}", path.display()))?;
        Ok(path)
    }

    fn prepare(&mut self, me: usize, program: &Path, settings: &Path) -> Result<(), String> {
        let on = address(me + 1)?;
        let listen = free(on, 0)?;
        let mut taken = listen.port();
        let mut next = || -> Result<SocketAddr, String> {
            let at = free(on, taken)?;
            taken = at.port();
            Ok(at)
        };
        let (keeper, ops) = (next()?, [next()?, next()?]);
        let own = node_part(&self.scenario, me, listen) + "latencies = true\n";
        let own = self.write(&format!("own{me}.toml"), &own)?;
        let folder = self.folder.path.join(format!("n{me}"));
        let file = format!(
            "[keeper]\nname = 'n{me}'\nlisten = '{keeper}'\nfolder = '{}'\nops = ['{}', '{}']\nown = '{}'\nprogram = '{}'\n\
             settings = '{}'\nstable_ms = 10000\n",
            folder.display(),
            ops[0],
            ops[1],
            own.display(),
            program.display(),
            settings.display()
        );
        let file = self.write(&format!("keeper{me}.toml"), &file)?;
        self.nodes.push(listen);
        self.keepers.push(Keeper { file, address: keeper, folder, process: None });
        Ok(())
    }

    /// Seconds since clients began.
    #[must_use]
    pub fn elapsed_s(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// A build: a text for the shell, in which `{program}` stands for the program. Its path.
    ///
    /// # Errors
    ///
    /// It cannot be written.
    pub fn build(&self, name: &str, script: &str) -> Result<PathBuf, String> {
        use std::os::unix::fs::PermissionsExt;
        let text = format!("#!/bin/sh\n# {name}\n{script}\n");
        let text = text.replace("{program}", &self.program.display().to_string());
        let path = self.write(&format!("{name}.sh"), &text)?;
        let made = std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o755));
        made.map_err(|error| format!("{}: {error}", path.display()))?;
        Ok(path)
    }

    /// Settings that all nodes share, as the first are but for a change. Their path.
    ///
    /// # Errors
    ///
    /// They cannot be written.
    pub fn settings(&self, name: &str, change: impl Fn(String) -> String) -> Result<PathBuf, String> {
        let at = |n: usize| self.servers[n].1;
        let text = shared_part(&self.scenario, self.catalog, &self.servers, at);
        self.write(&format!("{name}.toml"), &change(text))
    }

    /// Writes a plan for all nodes, whose change is `program` and `settings`. `times` goes to `[rollout]`; `stages` has these, and
    /// `[judge]`.
    ///
    /// # Errors
    ///
    /// It cannot be written.
    pub fn plan(
        &mut self,
        program: &Path,
        settings: &Path,
        how: &str,
        times: &str,
        stages: &str,
    ) -> Result<PathBuf, String> {
        self.plans += 1;
        // Each has one of its own: a conductor may still run.
        let listen = free(address(0)?, 20_000 + self.plans as u16)?;
        let mut text = format!("[rollout]\nlisten = '{listen}'\n{times}\n[change]\n");
        text += &format!(
            "program = '{}'\nsettings = '{}'\nhow = '{how}'\n",
            program.display(),
            settings.display()
        );
        for (me, keeper) in self.keepers.iter().enumerate() {
            let at = self.relays.at(&(me, vec![me])).unwrap_or(keeper.address);
            let zone = self.scenario.zone_of(me);
            text += &format!("[[node]]\nname = 'n{me}'\nkeeper = '{at}'\nzone = '{zone}'\n");
        }
        self.write(&format!("plan{}.toml", self.plans), &(text + stages))
    }

    /// Starts a conductor.
    ///
    /// # Errors
    ///
    /// It cannot be started.
    pub fn start_rollout(&mut self, plan: &Path) -> Result<RolloutController, String> {
        self.rollout("start", plan)
    }

    /// Starts a conductor that takes a change back.
    ///
    /// # Errors
    ///
    /// It cannot be started.
    pub fn start_rollback(&mut self, plan: &Path) -> Result<RolloutController, String> {
        self.rollout("back", plan)
    }

    fn rollout(&mut self, what: &str, plan: &Path) -> Result<RolloutController, String> {
        self.plans += 1;
        let log = self.folder.path.join(format!("conductor{}.log", self.plans));
        let args: Vec<OsString> = ["rollout".into(), what.into(), plan.as_os_str().to_owned()].into();
        let process = spawn_bound(&self.program, &args, &self.folder.path, &log)?;
        Ok(RolloutController { process, log })
    }

    /// Has a keeper die.
    pub fn kill_supervisor(&mut self, me: usize) {
        self.keepers[me].process = None;
    }

    /// Starts a keeper, also again.
    ///
    /// # Errors
    ///
    /// It cannot be started.
    pub fn start_supervisor(&mut self, me: usize) -> Result<(), String> {
        let keeper = &mut self.keepers[me];
        let args: Vec<OsString> = ["keeper".into(), keeper.file.clone().into_os_string()].into();
        let log = self.folder.path.join(format!("keeper{me}.log"));
        keeper.process = Some(spawn_bound(&self.program, &args, &self.folder.path, &log)?);
        Ok(())
    }

    /// A keeper's folder.
    #[must_use]
    pub fn folder(&self, me: usize) -> &Path {
        &self.keepers[me].folder
    }

    /// What a keeper says of its node, asked past all relays; none where it does not answer.
    #[must_use]
    pub fn status(&self, me: usize) -> Option<Value> {
        serde_json::from_str(&query(self.keepers[me].address, "\"ask\"")?).ok()
    }

    /// Links between conductors and these keepers break so, or are mended.
    pub fn set_link_fault(&self, nodes: impl IntoIterator<Item = usize>, kind: Kind, breaks: bool) {
        nodes.into_iter().for_each(|me| self.relays.step(me, kind, breaks, Duration::ZERO));
    }

    /// A node is known not to answer from now on, for so long: what it leaves unanswered breaks no rule.
    pub fn allow_unanswered(&mut self, me: usize, seconds: f64) {
        let from = self.elapsed_s();
        self.away.push(NodeOutage { node: me, from, to: from + seconds });
    }

    /// The last lines of all keepers' logs.
    #[must_use]
    pub fn logs(&self) -> String {
        let of = |me: usize| {
            let folder = &self.keepers[me].folder;
            let tail = |name: &str| {
                let text = std::fs::read_to_string(folder.join(name)).unwrap_or_default();
                let lines: Vec<&str> = text.lines().collect();
                lines[lines.len().saturating_sub(LOG_LINES_MOST)..].join("\n  ")
            };
            format!("n{me}:\n  {}\n  {}\n", tail("keeper.log"), tail("node.log"))
        };
        (0..self.keepers.len()).map(of).collect()
    }
}

impl Drop for SupervisedFleet {
    fn drop(&mut self) {
        self.keepers.iter_mut().for_each(|keeper| keeper.process = None);
        kill_processes_naming(&self.folder.path);
        // Its end is the sign for the sweeper, which has nothing left to do.
        drop(self.sweeper.stdin.take());
        let _ = self.sweeper.wait();
    }
}
