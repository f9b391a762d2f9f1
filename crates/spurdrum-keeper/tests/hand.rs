//! A keeper's hand, told what conductors say and what becomes of processes.

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

/// A keeper whose disk takes what it is given, until it does not.
struct Kept {
    hand: Supervisor,
    disk: Option<Record>,
    full: bool,
    /// What was done, but for writes and times.
    done: Vec<Action>,
    timers: Vec<Timer>,
    answer: Option<Option<String>>,
}

impl Kept {
    fn new(record: Option<Record>, found: Vec<(usize, Version)>) -> Self {
        let hand = Supervisor::new(record.clone(), old());
        let (done, timers) = (Vec::new(), Vec::new());
        let mut kept = Self { hand, disk: record, full: false, done, timers, answer: None };
        kept.tell(Event::ProcessesFound(found));
        kept
    }

    /// One that serves the old version and is directed.
    fn serving() -> Self {
        let mut kept = Self::new(None, vec![(0, old())]);
        kept.tell(Event::Ready(0));
        assert_eq!(kept.told(SupervisorRequest::Claim(OURS)), None);
        kept
    }

    fn tell(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut actions = Vec::new();
            self.hand.handle(event, &mut actions);
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
                    Action::Reply(refused) => self.answer = Some(refused),
                    Action::Prune(_) | Action::Note(_) => {}
                    other => self.done.push(other),
                }
            }
        }
    }

    fn told(&mut self, order: SupervisorRequest) -> Option<String> {
        self.answer = None;
        self.tell(Event::Request(order));
        self.answer.take().expect("each order is answered")
    }

    fn step(&mut self, step: u64, version: Version, how: ApplyMethod, back: bool) -> Option<String> {
        let change = Change { version, program: None, settings: None, how };
        self.told(SupervisorRequest::ExecuteStep { generation: OURS, step, change, back })
    }

    fn status(&self) -> Status {
        self.hand.status("n", None)
    }

    /// The keeper dies, and another finds these processes.
    fn again(self, found: Vec<(usize, Version)>) -> Self {
        Self::new(self.disk, found)
    }
}

#[test]
fn a_step_replaces_the_process_and_the_old_one_ends_only_when_the_new_one_serves() {
    let mut kept = Kept::serving();
    assert_eq!(kept.step(1, new(), ApplyMethod::Replace, false), None);
    kept.tell(Event::Fetched(Ok(())));
    assert_eq!(kept.done.last(), Some(&Action::Start(1, new())));
    assert_eq!((kept.status().busy, kept.status().runs), (Some(1), Some(old())));
    kept.tell(Event::Ready(1));
    assert_eq!(kept.done.last(), Some(&Action::Terminate(0)));
    kept.tell(Event::Exited(0));
    let status = kept.status();
    assert_eq!((status.busy, status.runs, status.ready), (None, Some(new()), true));
    assert_eq!(status.last.map(|last| (last.step, last.failed)), Some((1, None)));
    // Said again, it is the same step.
    let done = kept.done.len();
    assert_eq!(kept.step(1, new(), ApplyMethod::Replace, false), None);
    assert_eq!(kept.done.len(), done);
    assert_eq!(
        kept.disk.as_ref().and_then(|disk| disk.good.clone()),
        Some(old()),
        "good is what was said to be"
    );
    assert_eq!(
        kept.told(SupervisorRequest::MarkGood { generation: OURS, version: old() }),
        Some("that version is not running".into())
    );
    assert_eq!(kept.told(SupervisorRequest::MarkGood { generation: OURS, version: new() }), None);
    assert_eq!(kept.status().good, Some(new()));
}

#[test]
fn whatever_fails_leaves_the_old_process_and_says_why() {
    let fails: [(Vec<Event>, &str); 3] = [
        (vec![Event::Fetched(Err("it is not there".into()))], "it is not there"),
        (vec![Event::Fetched(Ok(())), Event::Exited(1)], "exited before"),
        (vec![Event::Fetched(Ok(())), Event::Timer(Timer::ReadyTimeout)], "not ready"),
    ];
    for (events, says) in fails {
        let mut kept = Kept::serving();
        kept.step(1, new(), ApplyMethod::Replace, false);
        events.into_iter().for_each(|event| kept.tell(event));
        let status = kept.status();
        assert_eq!((status.busy, status.runs, status.ready), (None, Some(old()), true), "{says}");
        assert!(status.last.and_then(|last| last.failed).is_some_and(|why| why.contains(says)), "{says}");
        assert!(!kept.done.contains(&Action::Terminate(0)), "{says}");
    }
}

#[test]
fn only_the_conductor_that_claimed_it_last_is_obeyed() {
    let mut kept = Kept::serving();
    let change = || Change { version: new(), program: None, settings: None, how: ApplyMethod::Replace };
    for number in [2, 4] {
        let generation = Generation { number, controller: 9 };
        let refused =
            kept.told(SupervisorRequest::ExecuteStep { generation, step: 1, change: change(), back: false });
        assert_eq!(refused, Some("another conductor directs".into()));
    }
    assert!(kept.told(SupervisorRequest::Claim(Generation { number: 2, controller: 9 })).is_some());
    assert_eq!(kept.told(SupervisorRequest::Claim(Generation { number: 4, controller: 0 })), None);
    assert_eq!(kept.step(1, new(), ApplyMethod::Replace, false), Some("another conductor directs".into()));
    // It lasts: the next keeper knows it.
    let mut kept = kept.again(vec![(0, old())]);
    assert_eq!(kept.step(1, new(), ApplyMethod::Replace, false), Some("another conductor directs".into()));
    assert!(kept.done.is_empty());
}

#[test]
fn a_full_disk_begins_nothing_and_takes_back_what_it_cannot_remember() {
    let mut kept = Kept::serving();
    kept.full = true;
    assert!(kept.step(1, new(), ApplyMethod::Replace, false).is_some_and(|why| why.contains("no room")));
    assert!(kept.told(SupervisorRequest::Claim(Generation { number: 9, controller: 0 })).is_some());
    assert_eq!((kept.status().generation, kept.status().busy), (Some(OURS), None));
    assert!(kept.done.is_empty());
    // It fills up in the middle: the new process is ended, the old one serves on.
    kept.full = false;
    assert_eq!(kept.step(2, new(), ApplyMethod::Replace, false), None);
    kept.tell(Event::Fetched(Ok(())));
    kept.full = true;
    kept.tell(Event::Ready(1));
    assert_eq!(kept.done.last(), Some(&Action::Kill(1)));
    assert_eq!((kept.status().runs, kept.hand.serving_slot()), (Some(old()), Some(0)));
}

/// By where the keeper died, and what it had begun: what the next one finds, and what it makes of it.
#[test]
fn a_keeper_that_was_cut_off_is_followed_by_one_that_finishes_or_undoes() {
    let begun = |kept: &mut Kept| {
        kept.step(1, new(), ApplyMethod::Replace, false);
        kept.tell(Event::Fetched(Ok(())));
    };
    // Nothing was started.
    let mut kept = Kept::serving();
    kept.step(1, new(), ApplyMethod::Replace, false);
    let kept = kept.again(vec![(0, old())]);
    assert_eq!((kept.status().busy, kept.status().runs), (None, Some(old())));
    assert!(kept.status().last.is_some_and(|last| last.interrupted));
    // The new one runs, and was not known to be ready.
    let mut kept = Kept::serving();
    begun(&mut kept);
    let kept = kept.again(vec![(0, old()), (1, new())]);
    assert_eq!((&kept.done[..], kept.hand.serving_slot()), (&[Action::Kill(1)][..], Some(0)));
    assert!(kept.status().last.is_some_and(|last| last.interrupted));
    // It was what runs, and the old one had not ended.
    let mut kept = Kept::serving();
    begun(&mut kept);
    kept.tell(Event::Ready(1));
    let mut kept = kept.again(vec![(0, old()), (1, new())]);
    assert_eq!((&kept.done[..], kept.status().busy), (&[Action::Terminate(0)][..], Some(1)));
    kept.tell(Event::Exited(0));
    assert_eq!((kept.status().busy, kept.status().runs), (None, Some(new())));
    assert!(kept.status().last.is_some_and(|last| last.failed.is_none()));
    // The process was to read its settings: it gets the old ones again.
    let mut kept = Kept::serving();
    kept.step(1, version("old", "other"), ApplyMethod::Reload, false);
    kept.tell(Event::Fetched(Ok(())));
    assert_eq!(kept.done.last(), Some(&Action::Reload(0, version("old", "other"))));
    let mut kept = kept.again(vec![(0, old())]);
    assert_eq!(kept.done, [Action::Reload(0, old())]);
    kept.tell(Event::Reloaded(Ok(())));
    assert_eq!((kept.status().busy, kept.status().runs), (None, Some(old())));
}

#[test]
fn a_lost_or_old_record_believes_what_runs() {
    // Nothing is known: what runs serves on.
    let kept = Kept::new(None, vec![(1, new())]);
    assert_eq!((kept.hand.serving_slot(), kept.status().runs), (Some(1), Some(new())));
    assert!(kept.done.is_empty() && kept.status().generation.is_none());
    // Yesterday's record, in the middle of a step of yesterday's.
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
    let mut kept = Kept::new(Some(record), vec![(0, new())]);
    kept.tell(Event::Timer(Timer::RestartDelay));
    assert_eq!(kept.status().busy, None);
    assert!(kept.hand.serving_slot().is_some(), "some process serves");
}

#[test]
fn a_process_that_keeps_ending_goes_back_to_the_good_version() {
    let mut kept = Kept::serving();
    kept.step(1, new(), ApplyMethod::Replace, false);
    kept.tell(Event::Fetched(Ok(())));
    kept.tell(Event::Ready(1));
    kept.tell(Event::Exited(0));
    kept.done.clear();
    let mut slot = 1;
    for life in 0..3 {
        kept.tell(Event::Exited(slot));
        assert!(kept.timers.contains(&Timer::RestartDelay) && kept.hand.serving_slot().is_none());
        kept.timers.clear();
        kept.tell(Event::Timer(Timer::RestartDelay));
        slot = kept.hand.serving_slot().expect("it is started again");
        let expected = if life < 2 { new() } else { old() };
        assert_eq!(kept.done.last(), Some(&Action::Start(slot, expected)), "life {life}");
    }
    let status = kept.status();
    assert!(status.fell_back && status.crashes == 3 && status.runs == Some(old()));
    // Going back is what was asked for, too: it is done already.
    kept.tell(Event::Ready(slot));
    assert_eq!(kept.step(2, old(), ApplyMethod::Replace, true), None);
    kept.tell(Event::Fetched(Ok(())));
    assert_eq!((kept.status().busy, kept.status().fell_back), (None, false));
}

#[test]
fn one_that_runs_for_long_does_not_keep_ending() {
    let mut kept = Kept::serving();
    for _ in 0..10 {
        let slot = kept.hand.serving_slot().expect("serves");
        kept.tell(Event::Exited(slot));
        kept.tell(Event::Timer(Timer::RestartDelay));
        let slot = kept.hand.serving_slot().expect("serves again");
        kept.tell(Event::Ready(slot));
        kept.tell(Event::Timer(Timer::Stable));
    }
    assert_eq!((kept.hand.consecutive_crashes(), kept.status().runs), (0, Some(old())));
    assert!(!kept.status().fell_back);
}
