//! What the keeper of a node does next. No clock, no I/O.
//!
//! A node has two slots; a process runs in one, and the one that takes over from it starts in the other. What has been told
//! lasts: each step is written to the disk before it is begun and when it has ended, and nothing is answered before it is
//! written. Which processes run is never read from the record but looked up.

use serde::{Deserialize, Serialize};
use spurdrum_rollout::orders::{Generation, Status, StepResult, SupervisorRequest};
use spurdrum_rollout::version::{ApplyMethod, Change, Version};

/// A place for a process.
pub type Slot = usize;

/// A process that keeps ending is started so often before the keeper goes back to the good version.
const MAX_CRASHES: u32 = 3;

/// What lasts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Who directs.
    pub generation: Option<Generation>,
    /// What runs, or is to run.
    pub runs: Option<Version>,
    /// What the keeper goes back to by itself.
    pub good: Option<Version>,
    /// The step that is under way.
    pub step: Option<Step>,
    /// The last one that ended.
    pub last: Option<StepResult>,
    /// Processes that ended by themselves.
    pub crashes: u64,
    /// It went back by itself since the last step.
    pub fell_back: bool,
}

/// A step.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Step {
    /// Whose.
    pub generation: Generation,
    /// Which.
    pub step: u64,
    /// What is to run.
    pub change: Change,
    /// Whether it takes a change back.
    pub back: bool,
    /// What ran before it.
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
    /// The files of the step's version are present and intact, and the program accepts the settings; or the reason why not.
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

/// Where a step is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum At {
    /// No step is under way.
    Rest,
    /// Files are fetched and checked.
    Fetching,
    /// A process starts in this slot.
    Starting(Slot),
    /// The old process in this slot was told to end.
    Ending(Slot),
    /// The process reads its settings.
    Reloading,
    /// The process reads its old settings again, for a step that was cut off.
    Undoing,
}

/// What goes on once the record is written.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Then {
    Answer,
    Begin,
    /// The new process is ready, in this slot, and is what runs.
    Succeed(Slot),
    Rest,
}

/// The decisions of a keeper.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Supervisor {
    record: Record,
    /// What the record is to be once it is written, and what follows.
    writing: Option<(Record, Then)>,
    at: At,
    /// The process that serves: its slot.
    serves: Option<Slot>,
    /// Whether it says that it can.
    ready: bool,
    /// Ends in a row.
    consecutive_crashes: u32,
}

impl Supervisor {
    /// With what the disk has; nothing where it has nothing that can be believed. `first` is what runs on a machine that was
    /// never told anything.
    #[must_use]
    pub fn new(record: Option<Record>, first: Version) -> Self {
        let none = || Record { runs: Some(first.clone()), good: Some(first.clone()), ..Record::default() };
        Self {
            record: record.unwrap_or_else(none),
            writing: None,
            at: At::Rest,
            serves: None,
            ready: false,
            consecutive_crashes: 0,
        }
    }

    /// What lasts.
    #[must_use]
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// The slot of the process that serves.
    #[must_use]
    pub fn serving_slot(&self) -> Option<Slot> {
        self.serves
    }

    /// Ends in a row of a process that should run: for how long to rest before it is started again.
    #[must_use]
    pub fn consecutive_crashes(&self) -> u32 {
        self.consecutive_crashes
    }

    /// The slot of a process that is to become ready.
    #[must_use]
    pub fn starting_slot(&self) -> Option<Slot> {
        match self.at {
            At::Starting(slot) => Some(slot),
            _ => None,
        }
    }

    /// Whether a step is under way.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.record.step.is_some()
    }

    /// What a conductor is told; its figures are the shell's to add.
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
            ready: self.serves.is_some() && self.ready,
            crashes: record.crashes,
            fell_back: record.fell_back,
            refused,
            statistics: None,
        }
    }

    /// Handles what happened.
    pub fn handle(&mut self, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::ProcessesFound(processes) => self.found(&processes, actions),
            Event::Request(order) => self.told(order, actions),
            Event::RecordWritten => self.written(actions),
            Event::RecordWriteFailed(why) => self.unwritten(why, actions),
            Event::Fetched(Ok(())) if self.at == At::Fetching => self.fetched(actions),
            Event::Fetched(Err(why)) if self.at == At::Fetching => self.finish(Err(why), actions),
            Event::Reloaded(done) if self.at == At::Reloading => self.finish(done, actions),
            Event::Reloaded(_) if self.at == At::Undoing => {
                self.cut_off(actions);
            }
            Event::Ready(slot) => self.came_up(slot, actions),
            Event::NotReady(slot) => self.ready &= self.serves != Some(slot),
            Event::Exited(slot) => self.gone(slot, actions),
            Event::Timer(timer) => self.timer(timer, actions),
            Event::Fetched(_) | Event::Reloaded(_) => {}
        }
    }

    fn write(&mut self, record: Record, then: Then, actions: &mut Vec<Action>) {
        actions.push(Action::WriteRecord(Box::new(record.clone())));
        self.writing = Some((record, then));
    }

    // ---- What conductors say

    fn told(&mut self, order: SupervisorRequest, actions: &mut Vec<Action>) {
        let refuse = |why: &str| Action::Reply(Some(why.to_owned()));
        let ours = self.record.generation;
        match order {
            SupervisorRequest::GetStatus => actions.push(Action::Reply(None)),
            SupervisorRequest::Claim(generation) if ours == Some(generation) => {
                actions.push(Action::Reply(None))
            }
            SupervisorRequest::Claim(generation) if ours.is_some_and(|ours| generation < ours) => {
                actions.push(refuse("a newer conductor directs"));
            }
            SupervisorRequest::Claim(generation) => {
                let record = Record { generation: Some(generation), ..self.record.clone() };
                self.write(record, Then::Answer, actions);
            }
            SupervisorRequest::ExecuteStep { generation, .. }
            | SupervisorRequest::MarkGood { generation, .. }
                if ours != Some(generation) =>
            {
                actions.push(refuse("another conductor directs"));
            }
            SupervisorRequest::ExecuteStep { generation, step, change, back } => {
                let same = |(of, done): (Generation, u64)| of == generation && done >= step;
                let last = self.record.last.as_ref().map(|last| (last.generation, last.step));
                let under_way = self.record.step.as_ref().map(|step| (step.generation, step.step));
                if last.is_some_and(same) || under_way == Some((generation, step)) {
                    // It was heard before.
                    return actions.push(Action::Reply(None));
                }
                if under_way.is_some() {
                    return actions.push(refuse("it is at another step"));
                }
                if self.serves.is_none() && !back {
                    return actions.push(refuse("no process runs that could be replaced"));
                }
                if self.at != At::Rest {
                    return actions.push(refuse("a process of before still ends"));
                }
                let from = self.record.runs.clone();
                let step = Some(Step { generation, step, change, back, from });
                self.write(Record { step, ..self.record.clone() }, Then::Begin, actions);
            }
            SupervisorRequest::MarkGood { version, .. } => {
                if self.record.runs.as_ref() != Some(&version) || self.is_busy() {
                    return actions.push(refuse("that does not run"));
                }
                let record = Record { good: Some(version), ..self.record.clone() };
                self.write(record, Then::Answer, actions);
            }
        }
    }

    fn written(&mut self, actions: &mut Vec<Action>) {
        let Some((record, then)) = self.writing.take() else { return };
        self.record = record;
        match then {
            Then::Answer => actions.push(Action::Reply(None)),
            Then::Begin => {
                actions.push(Action::Reply(None));
                self.at = At::Fetching;
                if let Some(step) = &self.record.step {
                    actions.push(Action::Fetch(step.change.clone()));
                }
            }
            Then::Succeed(slot) => {
                let old = self.serves.replace(slot).filter(|old| *old != slot);
                self.ready = true;
                match old {
                    Some(old) => {
                        self.at = At::Ending(old);
                        actions.push(Action::Terminate(old));
                        actions.push(Action::SetTimer(Timer::TerminateTimeout));
                    }
                    None => self.finish(Ok(()), actions),
                }
            }
            Then::Rest => {
                let record = &self.record;
                let kept = [&record.runs, &record.good].into_iter().flatten().cloned().collect();
                actions.push(Action::Prune(kept));
            }
        }
    }

    /// The disk takes nothing: what was to be done is not, and what is known stays as the disk has it.
    fn unwritten(&mut self, why: String, actions: &mut Vec<Action>) {
        let Some((record, then)) = self.writing.take() else { return };
        let why = format!("the keeper's record cannot be written: {why}");
        actions.push(Action::Note(why.clone()));
        match then {
            Then::Answer | Then::Begin => actions.push(Action::Reply(Some(why))),
            // The process that was there serves on.
            Then::Succeed(slot) if self.serves.is_some() => {
                actions.push(Action::Kill(slot));
                self.finish(Err(why), actions);
            }
            // There is none but this one.
            Then::Succeed(slot) => {
                (self.serves, self.ready) = (Some(slot), true);
                self.record = record;
                self.finish(Ok(()), actions);
            }
            // It has happened, whatever the disk says: the keeper that comes next finds the processes as they are.
            Then::Rest => self.record = record,
        }
    }

    // ---- A step

    fn fetched(&mut self, actions: &mut Vec<Action>) {
        let Some(step) = self.record.step.clone() else { return };
        let version = step.change.version;
        let same = self.record.runs.as_ref().is_some_and(|runs| runs.program == version.program);
        match self.serves {
            Some(_) if self.record.runs.as_ref() == Some(&version) => self.finish(Ok(()), actions),
            Some(slot) if step.change.how == ApplyMethod::Reload && same && self.ready => {
                self.at = At::Reloading;
                actions.push(Action::Reload(slot, version));
            }
            serves => {
                let slot = serves.map_or(0, |slot| 1 - slot);
                self.at = At::Starting(slot);
                actions.push(Action::CancelTimer(Timer::RestartDelay));
                actions.push(Action::Start(slot, version));
                actions.push(Action::SetTimer(Timer::ReadyTimeout));
            }
        }
    }

    /// The keeper that began the step has died: it is undone, and may be told again.
    fn cut_off(&mut self, actions: &mut Vec<Action>) {
        self.end(Err("the keeper was started again in the middle of it".into()), true, actions);
    }

    fn finish(&mut self, result: Result<(), String>, actions: &mut Vec<Action>) {
        self.end(result, false, actions);
    }

    fn end(&mut self, result: Result<(), String>, interrupted: bool, actions: &mut Vec<Action>) {
        self.at = At::Rest;
        for timer in [Timer::ReadyTimeout, Timer::TerminateTimeout] {
            actions.push(Action::CancelTimer(timer));
        }
        let mut record = self.record.clone();
        let Some(step) = record.step.take() else { return };
        let reverted = step.from.filter(|_| step.back && result.is_ok());
        if result.is_ok() {
            // A step that replaces has written it already: what runs is what the step wanted.
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
        if self.serves.is_some() {
            self.consecutive_crashes = 0;
            actions.push(Action::SetTimer(Timer::Stable));
        } else if record.last.as_ref().is_some_and(|last| last.failed.is_some()) {
            actions.push(Action::SetTimer(Timer::RestartDelay));
        }
        self.write(record, Then::Rest, actions);
    }

    // ---- Processes

    fn came_up(&mut self, slot: Slot, actions: &mut Vec<Action>) {
        if self.at == At::Starting(slot) {
            let Some(step) = &self.record.step else { return };
            let version = step.change.version.clone();
            actions.push(Action::CancelTimer(Timer::ReadyTimeout));
            let record = Record { runs: Some(version), ..self.record.clone() };
            self.write(record, Then::Succeed(slot), actions);
        } else if self.serves == Some(slot) && !std::mem::replace(&mut self.ready, true) {
            actions.push(Action::SetTimer(Timer::Stable));
        }
    }

    fn gone(&mut self, slot: Slot, actions: &mut Vec<Action>) {
        match self.at {
            At::Starting(new) if new == slot => {
                return self.finish(Err("the new process ended before it could serve".into()), actions);
            }
            At::Ending(old) if old == slot => return self.finish(Ok(()), actions),
            _ => {}
        }
        if self.serves != Some(slot) {
            return;
        }
        (self.serves, self.ready) = (None, false);
        self.consecutive_crashes += 1;
        self.record.crashes += 1;
        actions.push(Action::CancelTimer(Timer::Stable));
        match self.at {
            // The one that starts takes its place.
            At::Starting(_) => {}
            At::Reloading | At::Undoing => {
                self.finish(Err("the process ended when it was to read its settings".into()), actions);
            }
            _ => actions.push(Action::SetTimer(Timer::RestartDelay)),
        }
    }

    fn timer(&mut self, timer: Timer, actions: &mut Vec<Action>) {
        match (timer, self.at) {
            (Timer::ReadyTimeout, At::Starting(slot)) => {
                actions.push(Action::Kill(slot));
                self.finish(Err("the new process was not ready in its time".into()), actions);
            }
            (Timer::TerminateTimeout, At::Ending(slot)) => actions.push(Action::Kill(slot)),
            (Timer::RestartDelay, _) if self.serves.is_none() => self.restart(actions),
            (Timer::Stable, _) if self.ready => self.consecutive_crashes = 0,
            _ => {}
        }
    }

    /// Starts what ran, or what is good where that keeps ending.
    fn restart(&mut self, actions: &mut Vec<Action>) {
        let good = self.record.good.clone().filter(|good| self.record.runs.as_ref() != Some(good));
        if let Some(good) = good.filter(|_| self.consecutive_crashes >= MAX_CRASHES && !self.is_busy()) {
            actions.push(Action::Note("the process keeps ending: going back to the good version".into()));
            self.consecutive_crashes = 0;
            (self.record.runs, self.record.fell_back) = (Some(good), true);
            self.write(self.record.clone(), Then::Rest, actions);
        }
        let Some(version) = self.record.runs.clone() else { return };
        (self.serves, self.ready) = (Some(0), false);
        actions.push(Action::Start(0, version));
    }

    /// This one serves; another that runs is told to end. Whether there is one.
    fn adopt(&mut self, slot: Slot, processes: &[(Slot, Version)], actions: &mut Vec<Action>) -> bool {
        (self.serves, self.ready) = (Some(slot), false);
        let other = processes.iter().map(|(other, _)| *other).find(|other| *other != slot);
        if let Some(other) = other {
            self.at = At::Ending(other);
            actions.push(Action::Terminate(other));
            actions.push(Action::SetTimer(Timer::TerminateTimeout));
        }
        other.is_some()
    }

    /// The keeper begins, and finds what runs.
    fn found(&mut self, processes: &[(Slot, Version)], actions: &mut Vec<Action>) {
        let wanted = self.record.step.clone();
        let of =
            |version: &Version| processes.iter().find(|(_, runs)| runs == version).map(|(slot, _)| *slot);
        let new = wanted.as_ref().and_then(|step| of(&step.change.version));
        let old = self.record.runs.as_ref().and_then(of);
        match (&wanted, new, old) {
            // It had become what runs before the keeper ended, or there is no other: the step is done but for the old one.
            (Some(step), Some(new), old)
                if old.is_none() || self.record.runs.as_ref() == Some(&step.change.version) =>
            {
                self.record.runs = Some(step.change.version.clone());
                if !self.adopt(new, processes, actions) {
                    self.finish(Ok(()), actions);
                }
            }
            // Both run, and the new one was not known to be ready: it had better not be.
            (Some(_), Some(new), Some(old)) => {
                (self.serves, self.ready) = (Some(old), false);
                actions.push(Action::Kill(new));
                self.cut_off(actions);
            }
            (Some(step), None, Some(old)) => {
                (self.serves, self.ready) = (Some(old), false);
                let version = self.record.runs.clone();
                match version.filter(|_| step.change.how == ApplyMethod::Reload) {
                    Some(version) => {
                        self.at = At::Undoing;
                        actions.push(Action::Reload(old, version));
                    }
                    None => {
                        self.cut_off(actions);
                    }
                }
            }
            (None, _, Some(old)) => drop(self.adopt(old, processes, actions)),
            // What runs is not what should: it serves until it is told what else. Only the record is wrong.
            (None, _, None) if !processes.is_empty() => {
                let (slot, version) = processes[0].clone();
                self.adopt(slot, processes, actions);
                let record = Record { runs: Some(version), ..self.record.clone() };
                self.write(record, Then::Rest, actions);
            }
            _ => {
                if wanted.is_some() {
                    self.cut_off(actions);
                }
                actions.push(Action::SetTimer(Timer::RestartDelay));
            }
        }
    }
}
