//! Sockets, timers and threads round the supervisor's state machine.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use serde_json::Value;
use spurdrum_ops::CallHandler;
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

/// Interval at which exits of processes, the readiness of a starting process, and the result of a reload are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which the serving process is polled for its readiness and its statistics.
const STATISTICS_INTERVAL: Duration = Duration::from_millis(500);
/// Time that a process has to load new settings.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(10);

struct SupervisorShell {
    settings: Settings,
    host: Host,
    supervisor: RefCell<Supervisor>,
    store: RefCell<RecordStore>,
    processes: RefCell<BTreeMap<Slot, Process>>,
    timers: Rc<Timers<Timer>>,
    statistics: RefCell<Option<(Slot, NodeStatistics)>>,
    /// The answer to the request that is being handled: none while there is no answer yet, else why the request
    /// is refused, if it is.
    reply: RefCell<Option<Option<String>>>,
}

/// Supervises a node for as long as the future is polled.
///
/// # Errors
///
/// The folder cannot be created, the files of the initial version cannot be stored, or the address is in use.
pub async fn supervise(settings: Settings) -> Result<(), String> {
    let folder = settings.folder.clone();
    let folder_error = |error: std::io::Error| format!("`keeper.folder`: {}: {error}", folder.display());
    let host = Host::new(&folder, &settings.node_settings, settings.admin_addresses).map_err(folder_error)?;
    // The address is bound before the record and the processes are looked at: it can be bound only once, so two
    // supervisors of one node never act at the same time.
    let listener = TcpListener::bind(settings.listen).await;
    let listener = listener.map_err(|error| format!("`keeper.listen`: {}: {error}", settings.listen))?;
    let (store, record, errors) = RecordStore::open(&folder);
    let initial = match &record {
        // The files of the initial version are not needed any more and may be gone.
        Some(record) if record.runs.is_some() => record.runs.clone().unwrap_or_else(no_version),
        _ => host.import_initial_version(&settings.initial_program, &settings.initial_settings)?,
    };
    let shell = Rc::new(SupervisorShell {
        settings,
        host,
        supervisor: RefCell::new(Supervisor::new(record, initial)),
        store: RefCell::new(store),
        processes: RefCell::default(),
        timers: Rc::default(),
        statistics: RefCell::default(),
        reply: RefCell::default(),
    });
    errors.iter().for_each(|error| shell.note(error));
    let mut versions = Vec::new();
    for (slot, version, process) in shell.host.find_processes() {
        shell.note(&format!("process {} already runs in slot {slot}: {version}", process.pid()));
        versions.push((slot, version));
        shell.processes.borrow_mut().insert(slot, process);
    }
    shell.handle(Event::ProcessesFound(versions));
    tokio::task::spawn_local(Rc::clone(&shell).watch_processes());
    tokio::task::spawn_local(Rc::clone(&shell).collect_statistics());
    let line_settings =
        spurdrum_ops::Settings { max_line_bytes: MAX_LINE_BYTES, ..spurdrum_ops::Settings::default() };
    spurdrum_ops::serve(listener, ControllerRequests(shell), line_settings).await;
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
        self.supervisor.borrow_mut().handle(event, &mut actions);
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(self: &Rc<Self>, action: Action) {
        match action {
            Action::WriteRecord(record) => {
                let written = self.store.borrow_mut().write(&record);
                self.handle(match written {
                    Ok(()) => Event::RecordWritten,
                    Err(error) => Event::RecordWriteFailed(error.to_string()),
                });
            }
            Action::Reply(refused) => drop(self.reply.replace(Some(refused))),
            Action::Fetch(change) => {
                let shell = Rc::clone(self);
                let host = self.host.clone();
                tokio::task::spawn_local(async move {
                    let fetched = tokio::task::spawn_blocking(move || host.fetch(&change)).await;
                    let fetched = fetched.unwrap_or_else(|_| Err("the fetch task panicked".into()));
                    shell.handle(Event::Fetched(fetched));
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
                        // Handled in a task of its own, because the current event is still being handled.
                        let shell = Rc::clone(self);
                        tokio::task::spawn_local(async move { shell.handle(Event::Exited(slot)) });
                    }
                }
            }
            Action::Terminate(slot) => self.with_process(slot, Process::terminate),
            Action::Kill(slot) => self.with_process(slot, Process::kill),
            Action::Reload(slot, version) => {
                let shell = Rc::clone(self);
                tokio::task::spawn_local(async move {
                    let result = shell.reload(slot, &version).await;
                    shell.handle(Event::Reloaded(result));
                });
            }
            Action::SetTimer(timer) => self.set_timer(timer),
            Action::CancelTimer(timer) => self.timers.cancel(timer),
            Action::Prune(versions) => self.host.prune(&versions),
            Action::Note(text) => self.note(&text),
        }
    }

    fn with_process(&self, slot: Slot, signal: impl FnOnce(&mut Process)) {
        if let Some(process) = self.processes.borrow_mut().get_mut(&slot) {
            signal(process);
        }
    }

    fn set_timer(self: &Rc<Self>, timer: Timer) {
        let duration = match timer {
            Timer::ReadyTimeout => self.settings.ready_timeout,
            Timer::TerminateTimeout => self.settings.terminate_timeout,
            Timer::RestartDelay => {
                self.settings.restart_delay(self.supervisor.borrow().consecutive_crashes())
            }
            Timer::Stable => self.settings.stable_after,
        };
        let shell = Rc::clone(self);
        self.timers.set(timer, duration, move || shell.handle(Event::Timer(timer)));
    }

    /// Has a process load the settings of a version, and waits until it has accepted or rejected them. If it
    /// rejects them or does not load them in time, its settings file gets the old content back.
    async fn reload(&self, slot: Slot, version: &Version) -> Result<(), String> {
        let before = self.reload_counts(slot).await.ok_or("the process does not report its reload counts")?;
        let old = self.supervisor.borrow().record().runs.clone();
        self.host.write_settings(slot, version)?;
        self.with_process(slot, Process::reload);
        let started = Instant::now();
        let result = loop {
            match self.reload_counts(slot).await {
                Some(now) if now.0 > before.0 => break Ok(()),
                Some(now) if now.1 > before.1 => break Err("the process turns the settings down"),
                _ if started.elapsed() > RELOAD_TIMEOUT => {
                    break Err("the process did not load its settings in time")
                }
                _ => sleep(POLL_INTERVAL).await,
            }
        };
        match result {
            Ok(()) => self.host.write_version(slot, version),
            Err(why) => {
                if let Some(old) = old {
                    self.host.write_settings(slot, &old)?;
                }
                Err(why.to_owned())
            }
        }
    }

    /// Returns how many reloads a process has accepted and how many it has rejected since it started.
    async fn reload_counts(&self, slot: Slot) -> Option<(u64, u64)> {
        let telemetry: Value =
            serde_json::from_str(&call(self.host.admin_address(slot), "telemetry").await.ok()?).ok()?;
        Some((telemetry["reconfig_ok"].as_u64()?, telemetry["reconfig_failed"].as_u64()?))
    }

    /// Watches for exits of processes and polls the readiness of the starting and the serving one.
    async fn watch_processes(self: Rc<Self>) {
        let mut last_poll = Instant::now();
        loop {
            sleep(POLL_INTERVAL).await;
            let exited: Vec<Slot> = {
                let mut processes = self.processes.borrow_mut();
                let exited: Vec<Slot> =
                    processes.iter_mut().filter_map(|(slot, p)| p.has_exited().then_some(*slot)).collect();
                exited.iter().for_each(|slot| drop(processes.remove(slot)));
                exited
            };
            for slot in exited {
                self.note(&format!("the process in slot {slot} has exited"));
                self.handle(Event::Exited(slot));
            }
            let starting = self.supervisor.borrow().starting_slot();
            let serving = self
                .supervisor
                .borrow()
                .serving_slot()
                .filter(|_| last_poll.elapsed() >= STATISTICS_INTERVAL);
            if serving.is_some() {
                last_poll = Instant::now();
            }
            for slot in starting.into_iter().chain(serving) {
                if !self.processes.borrow().contains_key(&slot) {
                    continue;
                }
                let answer = call(self.host.admin_address(slot), "readyz").await;
                // If the process exited during the call, its late answer is ignored.
                if self.processes.borrow().contains_key(&slot) {
                    let ready = answer.is_ok_and(|answer| answer.starts_with("YES"));
                    self.handle(if ready { Event::Ready(slot) } else { Event::NotReady(slot) });
                }
            }
        }
    }

    /// Polls the serving process for its statistics.
    async fn collect_statistics(self: Rc<Self>) {
        loop {
            sleep(STATISTICS_INTERVAL).await;
            let Some(slot) = self.supervisor.borrow().serving_slot() else { continue };
            let process =
                self.processes.borrow().get(&slot).map(|process| (process.pid(), process.resources()));
            let Some((pid, (memory, descriptors))) = process else { continue };
            let telemetry = call(self.host.admin_address(slot), "telemetry").await.ok();
            let Some(telemetry) = telemetry.and_then(|text| serde_json::from_str::<Value>(&text).ok()) else {
                continue;
            };
            // An older program does not know this call; its latencies are then not compared.
            let latencies = call(self.host.admin_address(slot), "latencies").await.unwrap_or_default();
            let count = |key: &str| telemetry[key].as_u64().unwrap_or(0);
            let calls = telemetry["calls"].as_object().into_iter().flatten();
            let count_of = |calls: &Value, key: &str| calls[key].as_u64().unwrap_or(0);
            let calls = calls.map(|(class, calls)| {
                let (success, busy) = (count_of(calls, "success"), count_of(calls, "busy"));
                (class.clone(), RequestCounts { success, busy, failure: count_of(calls, "failure") })
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

/// Answers the requests of rollout controllers.
struct ControllerRequests(Rc<SupervisorShell>);

impl CallHandler for ControllerRequests {
    fn answer(&self, line: &str) -> String {
        let shell = &self.0;
        shell.reply.replace(None);
        let refused = match serde_json::from_str::<SupervisorRequest>(line) {
            Ok(request) => {
                shell.handle(Event::Request(request));
                shell.reply.take().unwrap_or_else(|| Some("the keeper did not decide on the request".into()))
            }
            Err(error) => Some(format!("the request cannot be parsed: {error}")),
        };
        let mut status = shell.supervisor.borrow().status(&shell.settings.name, refused);
        let serving = shell.supervisor.borrow().serving_slot();
        let statistics = shell.statistics.borrow();
        status.statistics = statistics
            .as_ref()
            .filter(|(slot, _)| Some(*slot) == serving)
            .map(|(_, of_slot)| of_slot.clone());
        serde_json::to_string(&status).unwrap_or_default() + "\n"
    }
}
