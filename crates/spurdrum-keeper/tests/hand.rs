//! Tests of the supervisor's state machine, with requests of controllers and events of processes.

use spurdrum_keeper::hand::{Action, Event, Record, Step, Supervisor, Timer};
use spurdrum_rollout::orders::{Generation, Status, SupervisorRequest};
use spurdrum_rollout::version::{ApplyMethod, Change, Hash, Version};

const OURS: Generation = Generation { number: 3, controller: 1 };

fn version(program: &str, settings: &str) -> Version {
    Version { program: Hash::unchecked(program), settings: Hash::unchecked(settings) }
}

fn old() -> Version {
    version("old", "s")
}

fn new() -> Version {
    version("new", "s")
}

/// A supervisor with a simulated disk, which can become full.
struct Rig {
    supervisor: Supervisor,
    disk: Option<Record>,
    full: bool,
    /// Actions other than writes, replies, timers, pruning and notes.
    executed: Vec<Action>,
    timers: Vec<Timer>,
    reply: Option<Option<String>>,
}

impl Rig {
    fn new(record: Option<Record>, found: Vec<(usize, Version)>) -> Self {
        let supervisor = Supervisor::new(record.clone(), old());
        let (executed, timers) = (Vec::new(), Vec::new());
        let mut rig = Self { supervisor, disk: record, full: false, executed, timers, reply: None };
        rig.handle(Event::ProcessesFound(found));
        rig
    }

    /// Returns a rig whose process serves the old version and whose supervisor is claimed.
    fn serving() -> Self {
        let mut rig = Self::new(None, vec![(0, old())]);
        rig.handle(Event::Ready(0));
        assert_eq!(rig.request(SupervisorRequest::Claim(OURS)), None);
        rig
    }

    fn handle(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut actions = Vec::new();
            self.supervisor.handle(event, &mut actions);
            for action in actions {
                match action {
                    Action::WriteRecord(_) if self.full => {
                        events.push(Event::RecordWriteFailed("no room".into()))
                    }
                    Action::WriteRecord(record) => {
                        self.disk = Some(*record);
                        events.push(Event::RecordWritten);
                    }
                    Action::SetTimer(timer) => self.timers.push(timer),
                    Action::CancelTimer(timer) => self.timers.retain(|set| *set != timer),
                    Action::Reply(refused) => self.reply = Some(refused),
                    Action::Prune(_) | Action::Note(_) => {}
                    other => self.executed.push(other),
                }
            }
        }
    }

    fn request(&mut self, request: SupervisorRequest) -> Option<String> {
        self.reply = None;
        self.handle(Event::Request(request));
        self.reply.take().expect("each request is answered")
    }

    fn step(&mut self, step: u64, version: Version, how: ApplyMethod, back: bool) -> Option<String> {
        let change = Change { version, program: None, settings: None, how };
        self.request(SupervisorRequest::ExecuteStep { generation: OURS, step, change, back })
    }

    fn status(&self) -> Status {
        self.supervisor.status("n", None)
    }

    /// Restarts the supervisor, which then finds these processes.
    fn restart(self, found: Vec<(usize, Version)>) -> Self {
        Self::new(self.disk, found)
    }
}

#[test]
fn a_step_replaces_the_process_and_terminates_the_old_one_only_when_the_new_one_is_ready() {
    let mut rig = Rig::serving();
    assert_eq!(rig.step(1, new(), ApplyMethod::Replace, false), None);
    rig.handle(Event::Fetched(Ok(())));
    assert_eq!(rig.executed.last(), Some(&Action::Start(1, new())));
    assert_eq!((rig.status().busy, rig.status().runs), (Some(1), Some(old())));
    rig.handle(Event::Ready(1));
    assert_eq!(rig.executed.last(), Some(&Action::Terminate(0)));
    rig.handle(Event::Exited(0));
    let status = rig.status();
    assert_eq!((status.busy, status.runs, status.ready), (None, Some(new()), true));
    assert_eq!(status.last.map(|last| (last.step, last.failed)), Some((1, None)));
    // The same step sent again is not executed again.
    let executed = rig.executed.len();
    assert_eq!(rig.step(1, new(), ApplyMethod::Replace, false), None);
    assert_eq!(rig.executed.len(), executed);
    assert_eq!(
        rig.disk.as_ref().and_then(|disk| disk.good.clone()),
        Some(old()),
        "a version becomes good only by a request"
    );
    assert_eq!(
        rig.request(SupervisorRequest::MarkGood { generation: OURS, version: old() }),
        Some("that version is not running".into())
    );
    assert_eq!(rig.request(SupervisorRequest::MarkGood { generation: OURS, version: new() }), None);
    assert_eq!(rig.status().good, Some(new()));
}

#[test]
fn a_failed_step_leaves_the_old_process_and_reports_why() {
    let failures: [(Vec<Event>, &str); 3] = [
        (vec![Event::Fetched(Err("it is not there".into()))], "it is not there"),
        (vec![Event::Fetched(Ok(())), Event::Exited(1)], "exited before"),
        (vec![Event::Fetched(Ok(())), Event::Timer(Timer::ReadyTimeout)], "not ready"),
    ];
    for (events, expected) in failures {
        let mut rig = Rig::serving();
        rig.step(1, new(), ApplyMethod::Replace, false);
        events.into_iter().for_each(|event| rig.handle(event));
        let status = rig.status();
        assert_eq!((status.busy, status.runs, status.ready), (None, Some(old()), true), "{expected}");
        assert!(
            status.last.and_then(|last| last.failed).is_some_and(|why| why.contains(expected)),
            "{expected}"
        );
        assert!(!rig.executed.contains(&Action::Terminate(0)), "{expected}");
    }
}

#[test]
fn only_the_controller_with_the_newest_claim_is_obeyed() {
    let mut rig = Rig::serving();
    let change = || Change { version: new(), program: None, settings: None, how: ApplyMethod::Replace };
    for number in [2, 4] {
        let generation = Generation { number, controller: 9 };
        let refused = rig.request(SupervisorRequest::ExecuteStep {
            generation,
            step: 1,
            change: change(),
            back: false,
        });
        assert_eq!(refused, Some("another conductor directs".into()));
    }
    assert!(rig.request(SupervisorRequest::Claim(Generation { number: 2, controller: 9 })).is_some());
    assert_eq!(rig.request(SupervisorRequest::Claim(Generation { number: 4, controller: 0 })), None);
    assert_eq!(rig.step(1, new(), ApplyMethod::Replace, false), Some("another conductor directs".into()));
    // The claim is durable: the restarted supervisor knows it.
    let mut rig = rig.restart(vec![(0, old())]);
    assert_eq!(rig.step(1, new(), ApplyMethod::Replace, false), Some("another conductor directs".into()));
    assert!(rig.executed.is_empty());
}

#[test]
fn with_a_full_disk_no_step_begins_and_a_step_that_cannot_be_recorded_is_undone() {
    let mut rig = Rig::serving();
    rig.full = true;
    assert!(rig.step(1, new(), ApplyMethod::Replace, false).is_some_and(|why| why.contains("no room")));
    assert!(rig.request(SupervisorRequest::Claim(Generation { number: 9, controller: 0 })).is_some());
    assert_eq!((rig.status().generation, rig.status().busy), (Some(OURS), None));
    assert!(rig.executed.is_empty());
    // The disk becomes full during a step: the new process is killed, the old one continues to serve.
    rig.full = false;
    assert_eq!(rig.step(2, new(), ApplyMethod::Replace, false), None);
    rig.handle(Event::Fetched(Ok(())));
    rig.full = true;
    rig.handle(Event::Ready(1));
    assert_eq!(rig.executed.last(), Some(&Action::Kill(1)));
    assert_eq!((rig.status().runs, rig.supervisor.serving_slot()), (Some(old()), Some(0)));
}

/// The supervisor dies at each point of a step: the restarted one finds the processes as they are and completes
/// or undoes the step.
#[test]
fn a_restarted_supervisor_completes_or_undoes_an_interrupted_step() {
    let begin_step = |rig: &mut Rig| {
        rig.step(1, new(), ApplyMethod::Replace, false);
        rig.handle(Event::Fetched(Ok(())));
    };
    // No process had been started.
    let mut rig = Rig::serving();
    rig.step(1, new(), ApplyMethod::Replace, false);
    let rig = rig.restart(vec![(0, old())]);
    assert_eq!((rig.status().busy, rig.status().runs), (None, Some(old())));
    assert!(rig.status().last.is_some_and(|last| last.interrupted));
    // The new process runs and was not known to be ready.
    let mut rig = Rig::serving();
    begin_step(&mut rig);
    let rig = rig.restart(vec![(0, old()), (1, new())]);
    assert_eq!((&rig.executed[..], rig.supervisor.serving_slot()), (&[Action::Kill(1)][..], Some(0)));
    assert!(rig.status().last.is_some_and(|last| last.interrupted));
    // The new process had been promoted, and the old one had not exited.
    let mut rig = Rig::serving();
    begin_step(&mut rig);
    rig.handle(Event::Ready(1));
    let mut rig = rig.restart(vec![(0, old()), (1, new())]);
    assert_eq!((&rig.executed[..], rig.status().busy), (&[Action::Terminate(0)][..], Some(1)));
    rig.handle(Event::Exited(0));
    assert_eq!((rig.status().busy, rig.status().runs), (None, Some(new())));
    assert!(rig.status().last.is_some_and(|last| last.failed.is_none()));
    // The process was reloading its settings: it gets the old ones back.
    let mut rig = Rig::serving();
    rig.step(1, version("old", "other"), ApplyMethod::Reload, false);
    rig.handle(Event::Fetched(Ok(())));
    assert_eq!(rig.executed.last(), Some(&Action::Reload(0, version("old", "other"))));
    let mut rig = rig.restart(vec![(0, old())]);
    assert_eq!(rig.executed, [Action::Reload(0, old())]);
    rig.handle(Event::Reloaded(Ok(())));
    assert_eq!((rig.status().busy, rig.status().runs), (None, Some(old())));
}

#[test]
fn with_a_lost_or_old_record_the_running_process_counts() {
    // There is no record: the running process continues to serve.
    let rig = Rig::new(None, vec![(1, new())]);
    assert_eq!((rig.supervisor.serving_slot(), rig.status().runs), (Some(1), Some(new())));
    assert!(rig.executed.is_empty() && rig.status().generation.is_none());
    // The record is an old one, written during an old step.
    let change =
        Change { version: version("older", "s"), program: None, settings: None, how: ApplyMethod::Replace };
    let step = Step { generation: OURS, step: 7, change, back: false, from: Some(old()) };
    let record = Record {
        generation: Some(OURS),
        runs: Some(old()),
        good: Some(old()),
        step: Some(step),
        ..Record::default()
    };
    let mut rig = Rig::new(Some(record), vec![(0, new())]);
    rig.handle(Event::Timer(Timer::RestartDelay));
    assert_eq!(rig.status().busy, None);
    assert!(rig.supervisor.serving_slot().is_some(), "some process serves");
}

#[test]
fn a_process_that_keeps_crashing_falls_back_to_the_good_version() {
    let mut rig = Rig::serving();
    rig.step(1, new(), ApplyMethod::Replace, false);
    rig.handle(Event::Fetched(Ok(())));
    rig.handle(Event::Ready(1));
    rig.handle(Event::Exited(0));
    rig.executed.clear();
    let mut slot = 1;
    for crash in 0..3 {
        rig.handle(Event::Exited(slot));
        assert!(rig.timers.contains(&Timer::RestartDelay) && rig.supervisor.serving_slot().is_none());
        rig.timers.clear();
        rig.handle(Event::Timer(Timer::RestartDelay));
        slot = rig.supervisor.serving_slot().expect("the process is restarted");
        let expected = if crash < 2 { new() } else { old() };
        assert_eq!(rig.executed.last(), Some(&Action::Start(slot, expected)), "crash {crash}");
    }
    let status = rig.status();
    assert!(status.fell_back && status.crashes == 3 && status.runs == Some(old()));
    // A request to roll back to the same version succeeds at once.
    rig.handle(Event::Ready(slot));
    assert_eq!(rig.step(2, old(), ApplyMethod::Replace, true), None);
    rig.handle(Event::Fetched(Ok(())));
    assert_eq!((rig.status().busy, rig.status().fell_back), (None, false));
}

#[test]
fn crashes_after_a_long_run_do_not_count_as_consecutive() {
    let mut rig = Rig::serving();
    for _ in 0..10 {
        let slot = rig.supervisor.serving_slot().expect("serves");
        rig.handle(Event::Exited(slot));
        rig.handle(Event::Timer(Timer::RestartDelay));
        let slot = rig.supervisor.serving_slot().expect("serves again");
        rig.handle(Event::Ready(slot));
        rig.handle(Event::Timer(Timer::Stable));
    }
    assert_eq!((rig.supervisor.consecutive_crashes(), rig.status().runs), (0, Some(old())));
    assert!(!rig.status().fell_back);
}
