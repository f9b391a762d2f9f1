//! The state machine of a node's supervisor. It has no clock and does no I/O.
//!
//! A node has two slots: its process runs in one of them, and the process that takes over from it is started in
//! the other. Requests are durable: a step is written to the record on the disk before it begins and when it has
//! ended, and no request that changes the record is answered before the record is written. Which processes run is
//! never taken from the record; the shell finds them by searching.

use serde::{Deserialize, Serialize};
use spurdrum_rollout::orders::{Generation, Status, StepResult, SupervisorRequest};
use spurdrum_rollout::version::{ApplyMethod, Change, Version};

/// One of the two places in which a process of the node can run: 0 or 1.
pub type Slot = usize;

/// Number of consecutive crashes after which the supervisor falls back to the good version.
const MAX_CRASHES: u32 = 3;

/// The durable state of a supervisor.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// The newest generation that has claimed the node.
    pub generation: Option<Generation>,
    /// The version that runs, or is to be started.
    pub runs: Option<Version>,
    /// The version that the supervisor falls back to on its own.
    pub good: Option<Version>,
    /// The step that is under way.
    pub step: Option<Step>,
    /// The result of the last step.
    pub last: Option<StepResult>,
    /// Number of times that a process exited without the supervisor's doing.
    pub crashes: u64,
    /// Whether the supervisor has fallen back to the good version on its own since the last step.
    pub fell_back: bool,
}

/// A step that a rollout controller requested.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Step {
    /// The generation of the controller.
    pub generation: Generation,
    /// The number of the step within this generation.
    pub step: u64,
    /// The version to run, and how to apply it.
    pub change: Change,
    /// Whether the step rolls a change back.
    pub back: bool,
    /// The version that ran before the step.
    pub from: Option<Version>,
}

/// Timers that the shell runs, at most one of each kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Timer {
    /// A starting process has had its time to become ready.
    ReadyTimeout,
    /// A process that was told to terminate has had its time to exit.
    TerminateTimeout,
    /// The process is to be started again.
    RestartDelay,
    /// The process has run for so long that earlier crashes no longer count.
    Stable,
}

/// Input of the supervisor.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The supervisor starts; these processes of the node already run, each with its slot.
    ProcessesFound(Vec<(Slot, Version)>),
    /// A rollout controller sent a request.
    Request(SupervisorRequest),
    /// The record is on the disk.
    RecordWritten,
    /// The record could not be written, for this reason.
    RecordWriteFailed(String),
    /// The files of the step's version are present and intact, and the program accepts the settings; or the
    /// reason why not.
    Fetched(Result<(), String>),
    /// The process has loaded its new settings; or it rejected them and keeps its old ones, or could not be signalled.
    Reloaded(Result<(), String>),
    /// The process in this slot reports that it is ready.
    Ready(Slot),
    /// The process in this slot reports that it is not ready, or does not answer.
    NotReady(Slot),
    /// The process in this slot has exited, or could not be started.
    Exited(Slot),
    /// A timer expired.
    Timer(Timer),
}

/// What the shell is to do, in this order. Failures are reported back as events.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Write the record. `RecordWritten` or `RecordWriteFailed` must be handled before any other event.
    WriteRecord(Box<Record>),
    /// Answer the controller: the request is accepted, or refused for this reason.
    Reply(Option<String>),
    /// Fetch the files of a version and check them.
    Fetch(Change),
    /// Start a process of this version in this slot.
    Start(Slot, Version),
    /// Ask the process in this slot to exit (SIGTERM).
    Terminate(Slot),
    /// Kill the process in this slot (SIGKILL).
    Kill(Slot),
    /// Have the process in this slot load the settings of this version.
    Reload(Slot, Version),
    /// Start or restart this timer.
    SetTimer(Timer),
    /// Cancel this timer.
    CancelTimer(Timer),
    /// Delete the stored files of all versions but these.
    Prune(Vec<Version>),
    /// Log a message for operators.
    Note(String),
}

/// The phase of the current step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// No step is under way.
    Idle,
    /// The files are being fetched and checked.
    Fetching,
    /// The new process is starting in this slot.
    Starting(Slot),
    /// The old process in this slot was told to terminate.
    Terminating(Slot),
    /// The process is loading the new settings.
    Reloading,
    /// The process is loading its old settings again, because a reload was interrupted by a restart of the supervisor.
    RevertingReload,
}

/// What follows once the record is written.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum AfterWrite {
    /// Accept the request.
    Reply,
    /// Accept the step and begin it.
    BeginStep,
    /// The new process in this slot is ready and becomes the serving one.
    Promote(Slot),
    /// Delete the files that are no longer needed.
    Prune,
}

/// The decisions of a supervisor.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Supervisor {
    record: Record,
    /// The record that is being written, and what follows.
    pending_write: Option<(Record, AfterWrite)>,
    phase: Phase,
    /// The slot of the serving process.
    serving: Option<Slot>,
    /// Whether the serving process reports that it is ready.
    ready: bool,
    consecutive_crashes: u32,
}

impl Supervisor {
    /// Creates a supervisor with the record from the disk, or none if there is no intact one. `initial` is the
    /// version to run on a machine that no controller has ever directed.
    #[must_use]
    pub fn new(record: Option<Record>, initial: Version) -> Self {
        let empty =
            || Record { runs: Some(initial.clone()), good: Some(initial.clone()), ..Record::default() };
        Self {
            record: record.unwrap_or_else(empty),
            pending_write: None,
            phase: Phase::Idle,
            serving: None,
            ready: false,
            consecutive_crashes: 0,
        }
    }

    /// The durable state.
    #[must_use]
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// The slot of the serving process.
    #[must_use]
    pub fn serving_slot(&self) -> Option<Slot> {
        self.serving
    }

    /// Number of consecutive crashes; the delay before the next start depends on it.
    #[must_use]
    pub fn consecutive_crashes(&self) -> u32 {
        self.consecutive_crashes
    }

    /// The slot of a process that has been started by the current step and is not ready yet.
    #[must_use]
    pub fn starting_slot(&self) -> Option<Slot> {
        match self.phase {
            Phase::Starting(slot) => Some(slot),
            _ => None,
        }
    }

    /// Whether a step is under way.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.record.step.is_some()
    }

    /// Returns the answer to a controller. The shell adds the statistics.
    #[must_use]
    pub fn status(&self, name: &str, refused: Option<String>) -> Status {
        let record = &self.record;
        Status {
            name: name.to_owned(),
            generation: record.generation,
            busy: record.step.as_ref().map(|step| step.step),
            last: record.last.clone(),
            runs: record.runs.clone(),
            good: record.good.clone(),
            ready: self.serving.is_some() && self.ready,
            crashes: record.crashes,
            fell_back: record.fell_back,
            refused,
            statistics: None,
        }
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(&mut self, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::ProcessesFound(processes) => self.on_processes_found(&processes, actions),
            Event::Request(request) => self.on_request(request, actions),
            Event::RecordWritten => self.on_record_written(actions),
            Event::RecordWriteFailed(why) => self.on_record_write_failed(why, actions),
            Event::Fetched(Ok(())) if self.phase == Phase::Fetching => self.on_fetched(actions),
            Event::Fetched(Err(why)) if self.phase == Phase::Fetching => self.finish(Err(why), actions),
            Event::Reloaded(result) if self.phase == Phase::Reloading => self.finish(result, actions),
            Event::Reloaded(_) if self.phase == Phase::RevertingReload => {
                self.finish_interrupted(actions);
            }
            Event::Ready(slot) => self.on_ready(slot, actions),
            Event::NotReady(slot) => self.ready &= self.serving != Some(slot),
            Event::Exited(slot) => self.on_exited(slot, actions),
            Event::Timer(timer) => self.on_timer(timer, actions),
            Event::Fetched(_) | Event::Reloaded(_) => {}
        }
    }

    fn write(&mut self, record: Record, then: AfterWrite, actions: &mut Vec<Action>) {
        actions.push(Action::WriteRecord(Box::new(record.clone())));
        self.pending_write = Some((record, then));
    }

    // ---- Requests of controllers

    fn on_request(&mut self, request: SupervisorRequest, actions: &mut Vec<Action>) {
        let refuse = |why: &str| Action::Reply(Some(why.to_owned()));
        let current = self.record.generation;
        match request {
            SupervisorRequest::GetStatus => actions.push(Action::Reply(None)),
            SupervisorRequest::Claim(generation) if current == Some(generation) => {
                actions.push(Action::Reply(None))
            }
            SupervisorRequest::Claim(generation) if current.is_some_and(|current| generation < current) => {
                actions.push(refuse("a newer conductor directs"));
            }
            SupervisorRequest::Claim(generation) => {
                let record = Record { generation: Some(generation), ..self.record.clone() };
                self.write(record, AfterWrite::Reply, actions);
            }
            SupervisorRequest::ExecuteStep { generation, .. }
            | SupervisorRequest::MarkGood { generation, .. }
                if current != Some(generation) =>
            {
                actions.push(refuse("another conductor directs"));
            }
            SupervisorRequest::ExecuteStep { generation, step, change, back } => {
                let covers = |(of, done): (Generation, u64)| of == generation && done >= step;
                let last = self.record.last.as_ref().map(|last| (last.generation, last.step));
                let under_way = self.record.step.as_ref().map(|step| (step.generation, step.step));
                if last.is_some_and(covers) || under_way == Some((generation, step)) {
                    // This step was received before.
                    return actions.push(Action::Reply(None));
                }
                if under_way.is_some() {
                    return actions.push(refuse("another step is under way"));
                }
                if self.serving.is_none() && !back {
                    return actions.push(refuse("no process is running that could be replaced"));
                }
                if self.phase != Phase::Idle {
                    return actions.push(refuse("the process of an earlier step has not exited yet"));
                }
                let from = self.record.runs.clone();
                let step = Some(Step { generation, step, change, back, from });
                self.write(Record { step, ..self.record.clone() }, AfterWrite::BeginStep, actions);
            }
            SupervisorRequest::MarkGood { version, .. } => {
                if self.record.runs.as_ref() != Some(&version) || self.is_busy() {
                    return actions.push(refuse("that version is not running"));
                }
                let record = Record { good: Some(version), ..self.record.clone() };
                self.write(record, AfterWrite::Reply, actions);
            }
        }
    }

    fn on_record_written(&mut self, actions: &mut Vec<Action>) {
        let Some((record, then)) = self.pending_write.take() else { return };
        self.record = record;
        match then {
            AfterWrite::Reply => actions.push(Action::Reply(None)),
            AfterWrite::BeginStep => {
                actions.push(Action::Reply(None));
                self.phase = Phase::Fetching;
                if let Some(step) = &self.record.step {
                    actions.push(Action::Fetch(step.change.clone()));
                }
            }
            AfterWrite::Promote(slot) => {
                let old = self.serving.replace(slot).filter(|old| *old != slot);
                self.ready = true;
                match old {
                    Some(old) => {
                        self.phase = Phase::Terminating(old);
                        actions.push(Action::Terminate(old));
                        actions.push(Action::SetTimer(Timer::TerminateTimeout));
                    }
                    None => self.finish(Ok(()), actions),
                }
            }
            AfterWrite::Prune => {
                let record = &self.record;
                let needed = [&record.runs, &record.good].into_iter().flatten().cloned().collect();
                actions.push(Action::Prune(needed));
            }
        }
    }

    /// Handles a record that could not be written: the change that depended on it is not made, and the state
    /// stays as it is on the disk.
    fn on_record_write_failed(&mut self, why: String, actions: &mut Vec<Action>) {
        let Some((record, then)) = self.pending_write.take() else { return };
        let why = format!("the keeper's record cannot be written: {why}");
        actions.push(Action::Note(why.clone()));
        match then {
            AfterWrite::Reply | AfterWrite::BeginStep => actions.push(Action::Reply(Some(why))),
            // The old process continues to serve.
            AfterWrite::Promote(slot) if self.serving.is_some() => {
                actions.push(Action::Kill(slot));
                self.finish(Err(why), actions);
            }
            // There is no process but the new one, so it serves even though this is not on the disk.
            AfterWrite::Promote(slot) => {
                (self.serving, self.ready) = (Some(slot), true);
                self.record = record;
                self.finish(Ok(()), actions);
            }
            // The step has ended, whatever the disk says. After a restart, the supervisor finds the processes as
            // they are.
            AfterWrite::Prune => self.record = record,
        }
    }

    // ---- Steps

    fn on_fetched(&mut self, actions: &mut Vec<Action>) {
        let Some(step) = self.record.step.clone() else { return };
        let version = step.change.version;
        let same_program = self.record.runs.as_ref().is_some_and(|runs| runs.program == version.program);
        match self.serving {
            Some(_) if self.record.runs.as_ref() == Some(&version) => self.finish(Ok(()), actions),
            Some(slot) if step.change.how == ApplyMethod::Reload && same_program && self.ready => {
                self.phase = Phase::Reloading;
                actions.push(Action::Reload(slot, version));
            }
            serving => {
                let slot = serving.map_or(0, |slot| 1 - slot);
                self.phase = Phase::Starting(slot);
                actions.push(Action::CancelTimer(Timer::RestartDelay));
                actions.push(Action::Start(slot, version));
                actions.push(Action::SetTimer(Timer::ReadyTimeout));
            }
        }
    }

    /// Ends a step that an earlier run of the supervisor began and that has been undone. The controller may
    /// request it again.
    fn finish_interrupted(&mut self, actions: &mut Vec<Action>) {
        self.end_step(Err("the keeper was restarted during the step".into()), true, actions);
    }

    fn finish(&mut self, result: Result<(), String>, actions: &mut Vec<Action>) {
        self.end_step(result, false, actions);
    }

    fn end_step(&mut self, result: Result<(), String>, interrupted: bool, actions: &mut Vec<Action>) {
        self.phase = Phase::Idle;
        for timer in [Timer::ReadyTimeout, Timer::TerminateTimeout] {
            actions.push(Action::CancelTimer(timer));
        }
        let mut record = self.record.clone();
        let Some(step) = record.step.take() else { return };
        let reverted = step.from.filter(|_| step.back && result.is_ok());
        if result.is_ok() {
            // A step that replaced the process has already recorded its version when the new process became ready.
            record.runs = Some(step.change.version);
            record.fell_back = false;
        }
        record.last = Some(StepResult {
            generation: step.generation,
            step: step.step,
            reverted,
            failed: result.err(),
            interrupted,
        });
        if self.serving.is_some() {
            self.consecutive_crashes = 0;
            actions.push(Action::SetTimer(Timer::Stable));
        } else if record.last.as_ref().is_some_and(|last| last.failed.is_some()) {
            actions.push(Action::SetTimer(Timer::RestartDelay));
        }
        self.write(record, AfterWrite::Prune, actions);
    }

    // ---- Processes

    fn on_ready(&mut self, slot: Slot, actions: &mut Vec<Action>) {
        if self.phase == Phase::Starting(slot) {
            let Some(step) = &self.record.step else { return };
            let version = step.change.version.clone();
            actions.push(Action::CancelTimer(Timer::ReadyTimeout));
            let record = Record { runs: Some(version), ..self.record.clone() };
            self.write(record, AfterWrite::Promote(slot), actions);
        } else if self.serving == Some(slot) && !std::mem::replace(&mut self.ready, true) {
            actions.push(Action::SetTimer(Timer::Stable));
        }
    }

    fn on_exited(&mut self, slot: Slot, actions: &mut Vec<Action>) {
        match self.phase {
            Phase::Starting(new) if new == slot => {
                return self.finish(Err("the new process exited before it was ready".into()), actions);
            }
            Phase::Terminating(old) if old == slot => return self.finish(Ok(()), actions),
            _ => {}
        }
        if self.serving != Some(slot) {
            return;
        }
        (self.serving, self.ready) = (None, false);
        self.consecutive_crashes += 1;
        self.record.crashes += 1;
        actions.push(Action::CancelTimer(Timer::Stable));
        match self.phase {
            // The process that is starting will take its place.
            Phase::Starting(_) => {}
            Phase::Reloading | Phase::RevertingReload => {
                self.finish(Err("the process exited during the reload of its settings".into()), actions);
            }
            _ => actions.push(Action::SetTimer(Timer::RestartDelay)),
        }
    }

    fn on_timer(&mut self, timer: Timer, actions: &mut Vec<Action>) {
        match (timer, self.phase) {
            (Timer::ReadyTimeout, Phase::Starting(slot)) => {
                actions.push(Action::Kill(slot));
                self.finish(Err("the new process was not ready in time".into()), actions);
            }
            (Timer::TerminateTimeout, Phase::Terminating(slot)) => actions.push(Action::Kill(slot)),
            (Timer::RestartDelay, _) if self.serving.is_none() => self.restart(actions),
            (Timer::Stable, _) if self.ready => self.consecutive_crashes = 0,
            _ => {}
        }
    }

    /// Starts the version that ran, or the good version if that one keeps crashing.
    fn restart(&mut self, actions: &mut Vec<Action>) {
        let good = self.record.good.clone().filter(|good| self.record.runs.as_ref() != Some(good));
        if let Some(good) = good.filter(|_| self.consecutive_crashes >= MAX_CRASHES && !self.is_busy()) {
            actions.push(Action::Note("the process keeps crashing: falling back to the good version".into()));
            self.consecutive_crashes = 0;
            (self.record.runs, self.record.fell_back) = (Some(good), true);
            self.write(self.record.clone(), AfterWrite::Prune, actions);
        }
        let Some(version) = self.record.runs.clone() else { return };
        (self.serving, self.ready) = (Some(0), false);
        actions.push(Action::Start(0, version));
    }

    /// Takes the process in this slot as the serving one and tells another one, if any, to terminate. Returns
    /// whether there is another one.
    fn adopt(&mut self, slot: Slot, processes: &[(Slot, Version)], actions: &mut Vec<Action>) -> bool {
        (self.serving, self.ready) = (Some(slot), false);
        let other = processes.iter().map(|(other, _)| *other).find(|other| *other != slot);
        if let Some(other) = other {
            self.phase = Phase::Terminating(other);
            actions.push(Action::Terminate(other));
            actions.push(Action::SetTimer(Timer::TerminateTimeout));
        }
        other.is_some()
    }

    /// Handles the start of the supervisor, given the processes that already run.
    fn on_processes_found(&mut self, processes: &[(Slot, Version)], actions: &mut Vec<Action>) {
        let step = self.record.step.clone();
        let slot_of =
            |version: &Version| processes.iter().find(|(_, runs)| runs == version).map(|(slot, _)| *slot);
        let new = step.as_ref().and_then(|step| slot_of(&step.change.version));
        let old = self.record.runs.as_ref().and_then(slot_of);
        match (&step, new, old) {
            // The new process was promoted before the supervisor died, or is the only one. What is left of the
            // step is to terminate the old process.
            (Some(step), Some(new), old)
                if old.is_none() || self.record.runs.as_ref() == Some(&step.change.version) =>
            {
                self.record.runs = Some(step.change.version.clone());
                if !self.adopt(new, processes, actions) {
                    self.finish(Ok(()), actions);
                }
            }
            // Both run, and the new process was not known to be ready. The step is undone: the old process
            // continues to serve.
            (Some(_), Some(new), Some(old)) => {
                (self.serving, self.ready) = (Some(old), false);
                actions.push(Action::Kill(new));
                self.finish_interrupted(actions);
            }
            (Some(step), None, Some(old)) => {
                (self.serving, self.ready) = (Some(old), false);
                let version = self.record.runs.clone();
                match version.filter(|_| step.change.how == ApplyMethod::Reload) {
                    Some(version) => {
                        self.phase = Phase::RevertingReload;
                        actions.push(Action::Reload(old, version));
                    }
                    None => {
                        self.finish_interrupted(actions);
                    }
                }
            }
            (None, _, Some(old)) => drop(self.adopt(old, processes, actions)),
            // The running version is not the recorded one. It continues to serve until a controller requests
            // another one; the record is corrected.
            (None, _, None) if !processes.is_empty() => {
                let (slot, version) = processes[0].clone();
                self.adopt(slot, processes, actions);
                let record = Record { runs: Some(version), ..self.record.clone() };
                self.write(record, AfterWrite::Prune, actions);
            }
            _ => {
                if step.is_some() {
                    self.finish_interrupted(actions);
                }
                actions.push(Action::SetTimer(Timer::RestartDelay));
            }
        }
    }
}
