//! Sockets, timers and threads round the hand.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use serde_json::Value;
use spurdrum_ops::Answers;
use spurdrum_rollout::orders::{NodeStatistics, RequestCounts, SupervisorRequest, MAX_LINE_BYTES};
use spurdrum_rollout::shell::call;
use spurdrum_rollout::timers::Timers;
use spurdrum_rollout::version::Version;
use tokio::net::TcpListener;
use tokio::time::{sleep, Instant};

use crate::hand::{Action, Event, Slot, Supervisor, Timer};
use crate::host::{self, Host, Process};
use crate::record::RecordStore;
use crate::Settings;

/// How often processes are looked at.
const LOOK: Duration = Duration::from_millis(50);
/// How often the one that serves is asked for its figures.
const FIGURES: Duration = Duration::from_millis(500);
/// A process has so long to read its settings.
const RELOAD_MOST: Duration = Duration::from_secs(10);

struct SupervisorShell {
    settings: Settings,
    host: Host,
    hand: RefCell<Supervisor>,
    shelf: RefCell<RecordStore>,
    processes: RefCell<BTreeMap<Slot, Process>>,
    timers: Rc<Timers<Timer>>,
    statistics: RefCell<Option<(Slot, NodeStatistics)>>,
    /// The answer to what is being said.
    answer: RefCell<Option<Option<String>>>,
}

/// Keeps a node for as long as this is awaited.
///
/// # Errors
///
/// The folder, the first version's files or the address cannot be had.
pub async fn supervise(settings: Settings) -> Result<(), String> {
    let folder = settings.folder.clone();
    let shown = |error: std::io::Error| format!("`keeper.folder`: {}: {error}", folder.display());
    let host = Host::new(&folder, &settings.own, settings.ops).map_err(shown)?;
    // Before anything is looked up: two keepers of one node cannot both listen.
    let listener = TcpListener::bind(settings.listen).await;
    let listener = listener.map_err(|error| format!("`keeper.listen`: {}: {error}", settings.listen))?;
    let (shelf, record, wrong) = RecordStore::open(&folder);
    let first = match &record {
        // What was first need not be there any more.
        Some(record) if record.runs.is_some() => record.runs.clone().unwrap_or_else(no_version),
        _ => host.import_initial_version(&settings.program, &settings.settings)?,
    };
    let keeper = Rc::new(SupervisorShell {
        settings,
        host,
        hand: RefCell::new(Supervisor::new(record, first)),
        shelf: RefCell::new(shelf),
        processes: RefCell::default(),
        timers: Rc::default(),
        statistics: RefCell::default(),
        answer: RefCell::default(),
    });
    wrong.iter().for_each(|wrong| keeper.note(wrong));
    let mut versions = Vec::new();
    for (slot, version, process) in keeper.host.find_processes() {
        keeper.note(&format!("process {} runs in slot {slot}: {version}", process.pid()));
        versions.push((slot, version));
        keeper.processes.borrow_mut().insert(slot, process);
    }
    keeper.handle(Event::ProcessesFound(versions));
    tokio::task::spawn_local(Rc::clone(&keeper).look());
    tokio::task::spawn_local(Rc::clone(&keeper).ask());
    let lines = spurdrum_ops::Settings { line: MAX_LINE_BYTES, ..spurdrum_ops::Settings::default() };
    spurdrum_ops::serve(listener, Conductors(keeper), lines).await;
    Ok(())
}

fn no_version() -> Version {
    use spurdrum_rollout::version::Hash;
    Version { program: Hash::of(b""), settings: Hash::of(b"") }
}

impl SupervisorShell {
    fn note(&self, text: &str) {
        tracing::info!("{}: {text}", self.settings.name);
        host::append_log(&self.settings.folder, text);
    }

    fn handle(self: &Rc<Self>, event: Event) {
        let mut actions = Vec::new();
        self.hand.borrow_mut().handle(event, &mut actions);
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(self: &Rc<Self>, action: Action) {
        match action {
            Action::WriteRecord(record) => {
                let written = self.shelf.borrow_mut().write(&record);
                self.handle(match written {
                    Ok(()) => Event::RecordWritten,
                    Err(error) => Event::RecordWriteFailed(error.to_string()),
                });
            }
            Action::Reply(refused) => drop(self.answer.replace(Some(refused))),
            Action::Fetch(change) => {
                let keeper = Rc::clone(self);
                let host = self.host.clone();
                tokio::task::spawn_local(async move {
                    let fetched = tokio::task::spawn_blocking(move || host.fetch(&change)).await;
                    let fetched = fetched.unwrap_or_else(|_| Err("fetching died".into()));
                    keeper.handle(Event::Fetched(fetched));
                });
            }
            Action::Start(slot, version) => {
                let started = self.host.start(slot, &version);
                match started {
                    Ok(process) => {
                        self.note(&format!("process {} starts in slot {slot}: {version}", process.pid()));
                        self.processes.borrow_mut().insert(slot, process);
                    }
                    Err(why) => {
                        self.note(&why);
                        self.processes.borrow_mut().remove(&slot);
                        // Not from within what is being handled.
                        let keeper = Rc::clone(self);
                        tokio::task::spawn_local(async move { keeper.handle(Event::Exited(slot)) });
                    }
                }
            }
            Action::Terminate(slot) => self.with(slot, Process::terminate),
            Action::Kill(slot) => self.with(slot, Process::kill),
            Action::Reload(slot, version) => {
                let keeper = Rc::clone(self);
                tokio::task::spawn_local(async move {
                    let done = keeper.reload(slot, &version).await;
                    keeper.handle(Event::Reloaded(done));
                });
            }
            Action::SetTimer(timer) => self.set(timer),
            Action::CancelTimer(timer) => self.timers.cancel(timer),
            Action::Prune(versions) => self.host.prune(&versions),
            Action::Note(text) => self.note(&text),
        }
    }

    fn with(&self, slot: Slot, signal: impl FnOnce(&mut Process)) {
        if let Some(process) = self.processes.borrow_mut().get_mut(&slot) {
            signal(process);
        }
    }

    fn set(self: &Rc<Self>, timer: Timer) {
        let length = match timer {
            Timer::ReadyTimeout => self.settings.ready,
            Timer::TerminateTimeout => self.settings.end,
            Timer::RestartDelay => self.settings.restart_delay(self.hand.borrow().consecutive_crashes()),
            Timer::Stable => self.settings.stable,
        };
        let keeper = Rc::clone(self);
        self.timers.set(timer, length, move || keeper.handle(Event::Timer(timer)));
    }

    /// Has a process read other settings: whether it took them. One that turns them down has its old ones before it again.
    async fn reload(&self, slot: Slot, version: &Version) -> Result<(), String> {
        let before = self.reconfigured(slot).await.ok_or("the process does not tell its figures")?;
        let old = self.hand.borrow().record().runs.clone();
        self.host.write_settings(slot, version)?;
        self.with(slot, Process::reload);
        let since = Instant::now();
        let told = loop {
            match self.reconfigured(slot).await {
                Some(now) if now.0 > before.0 => break Ok(()),
                Some(now) if now.1 > before.1 => break Err("the process turns the settings down"),
                _ if since.elapsed() > RELOAD_MOST => break Err("the process does not read its settings"),
                _ => sleep(LOOK).await,
            }
        };
        match told {
            Ok(()) => self.host.write_version(slot, version),
            Err(why) => {
                if let Some(old) = old {
                    self.host.write_settings(slot, &old)?;
                }
                Err(why.to_owned())
            }
        }
    }

    /// Files that a process took and turned down since it began.
    async fn reconfigured(&self, slot: Slot) -> Option<(u64, u64)> {
        let told: Value =
            serde_json::from_str(&call(self.host.admin_address(slot), "telemetry").await.ok()?).ok()?;
        Some((told["reconfig_ok"].as_u64()?, told["reconfig_failed"].as_u64()?))
    }

    /// Looks whether processes have ended and whether they can serve.
    async fn look(self: Rc<Self>) {
        let mut asked = Instant::now();
        loop {
            sleep(LOOK).await;
            let gone: Vec<Slot> = {
                let mut processes = self.processes.borrow_mut();
                let gone: Vec<Slot> =
                    processes.iter_mut().filter_map(|(slot, p)| p.has_exited().then_some(*slot)).collect();
                gone.iter().for_each(|slot| drop(processes.remove(slot)));
                gone
            };
            for slot in gone {
                self.note(&format!("the process in slot {slot} has ended"));
                self.handle(Event::Exited(slot));
            }
            let awaits = self.hand.borrow().starting_slot();
            let serves = self.hand.borrow().serving_slot().filter(|_| asked.elapsed() >= FIGURES);
            if serves.is_some() {
                asked = Instant::now();
            }
            for slot in awaits.into_iter().chain(serves) {
                if !self.processes.borrow().contains_key(&slot) {
                    continue;
                }
                let ready = call(self.host.admin_address(slot), "readyz").await;
                // Guards against an answer of a process that has gone meanwhile.
                if self.processes.borrow().contains_key(&slot) {
                    let ready = ready.is_ok_and(|answer| answer.starts_with("YES"));
                    self.handle(if ready { Event::Ready(slot) } else { Event::NotReady(slot) });
                }
            }
        }
    }

    /// Asks the process that serves for its figures.
    async fn ask(self: Rc<Self>) {
        loop {
            sleep(FIGURES).await;
            let Some(slot) = self.hand.borrow().serving_slot() else { continue };
            let asked =
                self.processes.borrow().get(&slot).map(|process| (process.pid(), process.resources()));
            let Some((pid, (memory, descriptors))) = asked else { continue };
            let told = call(self.host.admin_address(slot), "telemetry").await.ok();
            let Some(told) = told.and_then(|told| serde_json::from_str::<Value>(&told).ok()) else {
                continue;
            };
            // An old program does not know the call, and most need not: then answers are not compared by their time.
            let latencies = call(self.host.admin_address(slot), "latencies").await.unwrap_or_default();
            let count = |key: &str| told[key].as_u64().unwrap_or(0);
            let calls = told["calls"].as_object().into_iter().flatten();
            let of = |calls: &Value, key: &str| calls[key].as_u64().unwrap_or(0);
            let calls = calls.map(|(class, calls)| {
                let (success, busy) = (of(calls, "success"), of(calls, "busy"));
                (class.clone(), RequestCounts { success, busy, failure: of(calls, "failure") })
            });
            let statistics = NodeStatistics {
                process: pid.unsigned_abs().into(),
                calls: calls.collect(),
                latencies: serde_json::from_str(&latencies).unwrap_or_default(),
                attempts: count("backend_calls"),
                listed: count("hosts_listed"),
                down: count("hosts_down"),
                memory,
                descriptors,
            };
            self.statistics.replace(Some((slot, statistics)));
        }
    }
}

/// What conductors may say to a keeper.
struct Conductors(Rc<SupervisorShell>);

impl Answers for Conductors {
    fn answer(&self, line: &str) -> String {
        let keeper = &self.0;
        keeper.answer.replace(None);
        let refused = match serde_json::from_str::<SupervisorRequest>(line) {
            Ok(order) => {
                keeper.handle(Event::Request(order));
                keeper.answer.take().unwrap_or_else(|| Some("the keeper has no answer".into()))
            }
            Err(error) => Some(format!("that is no order: {error}")),
        };
        let mut status = keeper.hand.borrow().status(&keeper.settings.name, refused);
        let serves = keeper.hand.borrow().serving_slot();
        let statistics = keeper.statistics.borrow();
        status.statistics =
            statistics.as_ref().filter(|(slot, _)| Some(*slot) == serves).map(|(_, f)| f.clone());
        serde_json::to_string(&status).unwrap_or_default() + "\n"
    }
}
