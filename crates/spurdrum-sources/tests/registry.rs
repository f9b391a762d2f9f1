//! Tests of the registry follower, one call at a time, in simulated time.

use std::time::Duration;

use spurdrum_sources::follower::Freshness;
use spurdrum_sources::registry::follower::{
    Action, CallId, Change, Edit, Event, Failure, Follower, Header, Interface, Note, Query, Settings, Value,
};

const MS: fn(u64) -> Duration = Duration::from_millis;

/// A follower with its clock, and the actions that it has asked for.
struct Harness {
    follower: Follower,
    now: Duration,
    calls: Vec<(CallId, usize, Query)>,
    probes: Vec<CallId>,
    aborted: Vec<CallId>,
    changes: Vec<Change>,
    notes: Vec<Note>,
}

fn header(revision: u64) -> Header {
    Header { cluster: 9, revision }
}

fn put(key: &str, value: &str, revision: u64) -> Edit {
    Edit { key: key.into(), value: Some(value.into()), revision }
}

fn delete(key: &str, revision: u64) -> Edit {
    Edit { key: key.into(), value: None, revision }
}

impl Harness {
    fn new(settings: Settings) -> Self {
        let mut harness = Self {
            follower: Follower::new(settings, 3).expect("valid settings"),
            now: Duration::ZERO,
            calls: Vec::new(),
            probes: Vec::new(),
            aborted: Vec::new(),
            changes: Vec::new(),
            notes: Vec::new(),
        };
        harness.handle(Event::Tick);
        harness.advance(MS(5));
        harness
    }

    /// Answers the full read with these keys at revision 10, and opens and confirms the watch from revision
    /// 11 on.
    fn watching(settings: Settings, keys: &[(&str, &str)]) -> (Self, CallId) {
        let mut harness = Self::new(settings);
        let (call, ..) = harness.last_call();
        harness.answer_page(call, header(10), keys, false);
        let call = harness.open_watch(header(10));
        (harness, call)
    }

    fn last_call(&self) -> (CallId, usize, Query) {
        self.calls.last().expect("a call").clone()
    }

    fn open_watch(&mut self, watch_header: Header) -> CallId {
        let (call, ..) = self.last_call();
        self.handle(Event::Opened { call, header: watch_header });
        self.handle(Event::Progress { call, header: watch_header });
        call
    }

    fn answer_page(&mut self, call: CallId, header: Header, keys: &[(&str, &str)], more: bool) {
        let entries = keys.iter().map(|(key, value)| (key.as_bytes().to_vec(), value.as_bytes().to_vec()));
        self.handle(Event::Page { call, header, entries: entries.collect(), more });
    }

    fn deliver(&mut self, call: CallId, revision: u64, edits: Vec<Edit>, fragment: bool) {
        self.handle(Event::Changed { call, header: header(revision), edits, fragment });
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.follower.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Call { call, endpoint, query } => self.calls.push((call, endpoint, query)),
                Action::Probe(call) => self.probes.push(call),
                Action::Abort(call) => self.aborted.push(call),
                Action::Apply(change) => self.changes.push(change),
                Action::Note(note) => self.notes.push(note),
                Action::FreshnessChanged { .. } => {}
            }
        }
    }

    /// Advances the clock, with a tick whenever one is due.
    fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(wake) = self.follower.next_wake().filter(|wake| *wake <= end) {
            assert!(
                wake > self.now || self.now == Duration::ZERO || self.tick_makes_progress(),
                "a tick has no effect"
            );
            self.now = wake.max(self.now);
            self.handle(Event::Tick);
        }
        self.now = end;
    }

    /// Returns whether a tick at this instant is followed by a later one. Otherwise the follower would loop.
    fn tick_makes_progress(&mut self) -> bool {
        self.handle(Event::Tick);
        self.follower.next_wake().is_none_or(|wake| wake > self.now)
    }

    /// Advances the clock while the watch answers each probe.
    fn advance_with_live_watch(&mut self, duration: Duration, watch_header: Header) {
        for _ in 0..duration.as_millis() / 10 {
            self.advance(MS(10));
            for call in std::mem::take(&mut self.probes) {
                self.handle(Event::Progress { call, header: watch_header });
            }
        }
    }

    /// Advances the clock with a live watch until the follower starts a revision check.
    fn advance_to_revision_check(&mut self, watch_header: Header) -> (CallId, usize, Query) {
        let calls = self.calls.len();
        while !self.calls[calls..].iter().any(|(_, _, query)| *query == Query::RevisionCheck) {
            self.advance_with_live_watch(MS(10), watch_header);
        }
        self.last_call()
    }

    fn copy(&self) -> Vec<(String, String)> {
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        let entries = self.follower.copy().iter().map(|(key, value)| match value {
            Value::Whole(value) => (text(key), text(value)),
            Value::TooLong(bytes) => (text(key), format!("{bytes} bytes")),
        });
        entries.collect()
    }
}

fn three_endpoints() -> Settings {
    Settings { endpoints: 3, ..Settings::default() }
}

/// Prevents the failure of the incident of 2026-12-02 at the catalog: a read that took longer than the silence
/// timeout was aborted and started over each time, and so never succeeded.
#[test]
fn a_full_read_that_takes_longer_than_the_silence_timeout_succeeds() {
    for answer_ms in [1_500, 2_500] {
        let mut harness = Harness::new(Settings::default());
        let mut succeeded = false;
        while harness.now < MS(20_000) && !succeeded {
            let (call, _, query) = harness.last_call();
            assert!(matches!(query, Query::Range { .. }), "{query:?}");
            let started_at = harness.now;
            while harness.last_call().0 == call && harness.now < started_at + MS(answer_ms) {
                harness.advance(MS(10));
            }
            if harness.last_call().0 == call && !harness.aborted.contains(&call) {
                harness.answer_page(call, header(10), &[("a", "1")], false);
                succeeded = true;
            }
        }
        assert!(succeeded, "with answers after {answer_ms} ms: {:?}", harness.calls);
        assert!(harness.now <= MS(10_000), "{:?}", harness.now);
    }
}

#[test]
fn pages_are_read_as_of_one_revision_and_the_watch_starts_after_it() {
    let mut harness = Harness::new(Settings { page_size: 1, ..three_endpoints() });
    let (call, _, query) = harness.last_call();
    assert_eq!(query, Query::Range { after: None, revision: None, limit: 1, allow_stale: false });
    harness.answer_page(call, header(10), &[("a", "1")], true);
    let (call, _, query) = harness.last_call();
    assert_eq!(
        query,
        Query::Range { after: Some(b"a".to_vec()), revision: Some(10), limit: 1, allow_stale: false }
    );
    // The cluster has later revisions by now; the page is still read as of the first page's revision.
    harness.answer_page(call, header(14), &[("b", "2")], false);
    assert_eq!(harness.last_call().2, Query::Watch { from: 11 });
    assert_eq!(
        (harness.changes.len(), harness.changes[0].revision, harness.changes[0].put.len()),
        (1, 10, 2)
    );
    assert_eq!(harness.follower.freshness(), Freshness::Doubtful);
    harness.open_watch(header(14));
    assert_eq!((harness.follower.freshness(), harness.follower.revision()), (Freshness::Fresh, Some(14)));
}

#[test]
fn a_compaction_between_two_pages_or_before_the_watch_restarts_the_full_read() {
    let mut harness = Harness::new(Settings { page_size: 1, ..three_endpoints() });
    let (call, ..) = harness.last_call();
    harness.answer_page(call, header(10), &[("a", "1")], true);
    let (call, ..) = harness.last_call();
    harness.handle(Event::Failed { call, failure: Failure::Compacted });
    let (call, _, query) = harness.last_call();
    assert!(matches!(query, Query::Range { after: None, revision: None, .. }));
    assert!(harness.changes.is_empty(), "an incomplete read must not change the copy");
    harness.answer_page(call, header(20), &[("a", "1"), ("b", "2")], false);
    let (call, ..) = harness.last_call();
    harness.handle(Event::Opened { call, header: header(30) });
    harness.handle(Event::Cancelled { call, compacted: true });
    let (call, _, query) = harness.last_call();
    assert!(matches!(query, Query::Range { after: None, .. }));
    harness.answer_page(call, header(30), &[("b", "2"), ("c", "3")], false);
    // Only the difference: known keys are not reported again.
    let change = harness.changes.last().expect("a change");
    assert_eq!((change.put.len(), change.put[0].key.as_slice()), (1, &b"c"[..]));
    assert_eq!(change.deleted, [b"a".to_vec()]);
    assert_eq!(harness.notes, [Note::Compacted, Note::Compacted]);
}

#[test]
fn compactions_faster_than_reads_cause_pauses() {
    let mut harness = Harness::new(Settings::default());
    let mut reads = 0;
    for _ in 0..200 {
        let (call, _, query) = harness.last_call();
        match query {
            Query::Range { .. } => {
                reads += 1;
                harness.answer_page(call, header(10 + reads), &[], false);
            }
            Query::Watch { .. } => harness.handle(Event::Cancelled { call, compacted: true }),
            _ => {}
        }
        harness.advance(MS(5));
    }
    // In one second, far fewer reads than could have been answered.
    assert!((3..30).contains(&reads), "{reads}");
}

#[test]
fn a_change_is_reported_once_however_often_it_is_delivered() {
    let (mut harness, call) = Harness::watching(three_endpoints(), &[("a", "1")]);
    harness.deliver(call, 12, vec![put("b", "1", 11), put("a", "2", 12)], false);
    assert_eq!(harness.changes.last().expect("one").put.len(), 2);
    let reported = harness.changes.len();
    // The same change again, and then together with a newer one; neither sets a key back.
    harness.deliver(call, 12, vec![put("b", "1", 11), put("a", "2", 12)], false);
    assert_eq!(harness.changes.len(), reported);
    harness.deliver(call, 13, vec![put("b", "old", 11), put("c", "1", 13)], false);
    assert_eq!(harness.copy(), [("a", "2"), ("b", "1"), ("c", "1")].map(|(k, v)| (k.into(), v.into())));
    assert_eq!(harness.follower.counts().already_applied, 3);
}

#[test]
fn fragments_of_one_revision_are_one_change() {
    let (mut harness, call) = Harness::watching(three_endpoints(), &[("a", "1")]);
    let reported = harness.changes.len();
    harness.deliver(call, 11, vec![put("b", "1", 11)], true);
    // A progress message within a fragmented change confirms nothing: the copy does not have the change yet.
    harness.handle(Event::Progress { call, header: header(11) });
    assert_eq!((harness.changes.len(), harness.follower.revision()), (reported, Some(10)));
    harness.deliver(call, 11, vec![delete("a", 11)], false);
    let change = harness.changes.last().expect("one");
    assert_eq!((harness.changes.len(), change.put.len(), change.deleted.len()), (reported + 1, 1, 1));
    // A lost connection between two fragments discards both, and the next watch delivers them again.
    harness.deliver(call, 12, vec![put("x", "1", 12)], true);
    harness.handle(Event::Failed { call, failure: Failure::ConnectionLost });
    harness.advance(MS(5));
    assert_eq!(harness.last_call().2, Query::Watch { from: 12 });
    assert_eq!(harness.copy().len(), 1);
}

#[test]
fn only_the_last_change_of_a_key_in_a_revision_counts() {
    let (mut harness, call) = Harness::watching(three_endpoints(), &[("a", "1")]);
    harness.deliver(call, 11, vec![delete("a", 11), put("a", "2", 11)], false);
    let change = harness.changes.last().expect("one");
    assert_eq!((change.put.len(), change.deleted.len()), (1, 0));
    harness.deliver(call, 12, vec![delete("a", 12)], false);
    assert_eq!(harness.changes.last().expect("one").deleted.len(), 1);
    harness.deliver(call, 13, vec![put("a", "3", 13)], false);
    harness.deliver(call, 14, vec![put("b", "1", 14), delete("b", 14)], false);
    assert_eq!(harness.copy(), [("a".to_owned(), "3".to_owned())]);
}

#[test]
fn a_second_watch_is_opened_beside_a_silent_one_within_the_stated_time() {
    let settings = three_endpoints();
    let (mut harness, silent) = Harness::watching(settings.clone(), &[("a", "1")]);
    let calls_before = harness.calls.len();
    harness.advance(settings.silence_detected_within() + MS(1));
    assert_eq!(harness.follower.freshness(), Freshness::Doubtful);
    let (second, endpoint, query) = harness.last_call();
    assert_eq!((harness.calls.len(), query), (calls_before + 1, Query::Watch { from: 11 }));
    assert_ne!(endpoint, harness.calls[calls_before - 1].1);
    // Both watches may deliver changes; the first one to confirm the copy is kept.
    harness.handle(Event::Opened { call: second, header: header(11) });
    harness.deliver(silent, 11, vec![put("b", "1", 11)], false);
    harness.deliver(second, 11, vec![put("b", "1", 11)], false);
    assert_eq!(harness.changes.len(), 2);
    harness.handle(Event::Progress { call: second, header: header(11) });
    assert_eq!((harness.follower.freshness(), harness.aborted.as_slice()), (Freshness::Fresh, &[silent][..]));
}

#[test]
fn an_endpoint_behind_the_copy_is_replaced_and_a_linearized_read_is_accepted() {
    let (mut harness, call) =
        Harness::watching(Settings { allow_stale: true, ..three_endpoints() }, &[("a", "1")]);
    harness.deliver(call, 40, vec![put("a", "2", 40)], false);
    harness.handle(Event::Failed { call, failure: Failure::ConnectionLost });
    for _ in 0..3 {
        harness.advance(MS(5));
        let (call, _, query) = harness.last_call();
        assert_eq!(query, Query::Watch { from: 41 });
        harness.handle(Event::Opened { call, header: header(20) });
        // The endpoint answers every probe but is behind.
        for _ in 0..27 {
            harness.advance(MS(10));
            harness.handle(Event::Progress { call, header: header(20) });
        }
        assert_eq!(harness.follower.freshness(), Freshness::Doubtful);
    }
    let (call, _, query) = harness.last_call();
    assert!(matches!(query, Query::Range { allow_stale: false, .. }), "{query:?}");
    harness.answer_page(call, header(20), &[("a", "1")], false);
    assert_eq!(harness.notes, [Note::RevisionWentBack { from: 40, to: 20 }]);
    assert_eq!(harness.copy(), [("a".to_owned(), "1".to_owned())]);
    assert_eq!(harness.last_call().2, Query::Watch { from: 21 });
}

#[test]
fn a_partitioned_member_answers_probes_and_is_detected_by_a_revision_check() {
    let settings = three_endpoints();
    let (mut harness, call) = Harness::watching(settings.clone(), &[("a", "1")]);
    let check = harness.advance_to_revision_check(header(10));
    assert_eq!(harness.follower.freshness(), Freshness::Fresh);
    let watched_endpoint = harness.calls.iter().find(|(id, ..)| *id == call).expect("a watch").1;
    assert_ne!(check.1, watched_endpoint, "a partitioned member cannot report it");
    harness.answer_page(check.0, header(17), &[], false);
    harness.advance_with_live_watch(settings.max_lag + MS(20), header(10));
    let (_, endpoint, query) = harness.last_call();
    assert_eq!((query, endpoint != watched_endpoint), (Query::Watch { from: 11 }, true));
}

#[test]
fn a_registry_without_a_leader_makes_the_copy_doubtful_although_the_watch_answers() {
    let settings = three_endpoints();
    let (mut harness, _) = Harness::watching(settings.clone(), &[("a", "1")]);
    harness.advance_with_live_watch(settings.revision_check_interval * 6, header(10));
    assert_ne!(harness.follower.freshness(), Freshness::Fresh);
    let (call, ..) = harness.advance_to_revision_check(header(10));
    harness.answer_page(call, header(10), &[], false);
    harness.advance_with_live_watch(settings.probe_interval * 3, header(10));
    assert_eq!(harness.follower.freshness(), Freshness::Fresh);
}

#[test]
fn another_cluster_is_read_in_full_and_only_the_difference_is_reported() {
    let (mut harness, call) = Harness::watching(three_endpoints(), &[("a", "1"), ("b", "1")]);
    let other_cluster = Header { cluster: 4, revision: 3 };
    harness.handle(Event::Changed {
        call,
        header: other_cluster,
        edits: vec![put("x", "1", 50)],
        fragment: false,
    });
    assert_eq!(harness.copy().len(), 2, "changes of another cluster must not be applied");
    let (call, _, query) = harness.last_call();
    assert!(matches!(query, Query::Range { .. }));
    harness.answer_page(call, other_cluster, &[("b", "1"), ("c", "1")], false);
    let change = harness.changes.last().expect("one");
    assert_eq!((change.put.len(), change.deleted.len(), change.revision), (1, 1, 3));
    assert_eq!(harness.notes, [Note::Replaced { from: 9, to: 4 }]);
}

#[test]
fn values_and_keys_are_limited_and_a_deletion_makes_room_for_dropped_keys() {
    let settings = Settings { max_keys: 2, max_value_bytes: 3, ..three_endpoints() };
    let (mut harness, call) = Harness::watching(settings, &[("a", "1"), ("b", "long value")]);
    assert_eq!(harness.copy()[1], ("b".to_owned(), "10 bytes".to_owned()));
    harness.deliver(call, 11, vec![put("c", "1", 11)], false);
    assert_eq!((harness.copy().len(), harness.follower.counts().over_limit), (2, 1));
    assert_eq!(harness.notes, [Note::TooManyKeys]);
    harness.deliver(call, 12, vec![delete("a", 12)], false);
    let (_, _, query) = harness.last_call();
    assert!(matches!(query, Query::Range { .. }), "there is room for the dropped key: {query:?}");
}

#[test]
fn the_page_size_is_halved_when_a_page_is_too_long() {
    let mut harness = Harness::new(Settings { page_size: 4, ..three_endpoints() });
    for limit in [2, 1] {
        let (call, ..) = harness.last_call();
        harness.handle(Event::Failed { call, failure: Failure::TooLong });
        assert!(matches!(harness.last_call().2, Query::Range { limit: requested, .. } if requested == limit));
    }
}

#[test]
fn the_first_round_over_the_endpoints_has_no_delay_and_later_rounds_have_growing_ones() {
    let mut harness = Harness::new(three_endpoints());
    let mut call_times = Vec::new();
    for _ in 0..30 {
        let (call, ..) = harness.last_call();
        let calls_before = harness.calls.len();
        call_times.push(harness.now);
        harness.handle(Event::Failed { call, failure: Failure::Unreachable });
        while harness.calls.len() == calls_before {
            harness.advance(MS(1));
        }
    }
    assert!(call_times[2] - call_times[0] < MS(10), "{call_times:?}");
    assert!(call_times[29] - call_times[26] > MS(2500), "{call_times:?}");
    let endpoints: Vec<usize> = harness.calls[..3].iter().map(|(_, endpoint, _)| *endpoint).collect();
    assert_eq!(endpoints, [0, 1, 2]);
}

#[test]
fn nodes_that_lose_a_registry_together_reconnect_one_after_the_other() {
    let settings = Settings { nodes: 1000, node_index: 999, ..three_endpoints() };
    let (mut harness, call) = Harness::watching(Settings { node_index: 0, ..settings.clone() }, &[]);
    let calls_before = harness.calls.len();
    harness.handle(Event::Failed { call, failure: Failure::ConnectionLost });
    harness.advance(MS(2));
    assert_eq!(harness.calls.len(), calls_before + 1);
    let mut last_node = Harness { ..Harness::new(settings) };
    assert!(last_node.calls.is_empty(), "its turn is the last within 1 s");
    last_node.advance(MS(1010));
    assert_eq!(last_node.calls.len(), 1);
}

#[test]
fn a_pause_of_this_process_is_not_taken_for_a_silent_registry() {
    let (mut harness, call) = Harness::watching(three_endpoints(), &[("a", "1")]);
    let calls_before = harness.calls.iter().filter(|(_, _, query)| *query != Query::RevisionCheck).count();
    harness.now += Duration::from_secs(30);
    harness.handle(Event::Tick);
    let calls_after = harness.calls.iter().filter(|(_, _, query)| *query != Query::RevisionCheck).count();
    assert_eq!((calls_after, harness.aborted.len()), (calls_before, 0));
    assert_eq!(harness.follower.freshness(), Freshness::Doubtful);
    harness.advance(MS(110));
    assert!(harness.probes.contains(&call));
}

fn blocking_settings(allow_stale: bool) -> Settings {
    Settings { interface: Interface::BlockingQueries, allow_stale, ..three_endpoints() }
}

fn answer_snapshot(
    harness: &mut Harness,
    index: u64,
    keys: &[(&str, &str)],
    leader_contact: Option<Duration>,
) {
    let (call, ..) = harness.last_call();
    let entries =
        keys.iter().map(|(key, value)| (key.as_bytes().to_vec(), value.as_bytes().to_vec())).collect();
    let header = Header { cluster: 0, revision: index };
    harness.handle(Event::Snapshot { call, header, entries, leader_contact });
}

const JUST_NOW: Option<Duration> = Some(Duration::ZERO);

#[test]
fn blocking_queries_follow_an_index_and_wait_longer_after_valid_answers() {
    let mut harness = Harness::new(blocking_settings(false));
    assert!(matches!(harness.last_call().2, Query::Blocking { index: 0, .. }));
    answer_snapshot(&mut harness, 0, &[("a", "1")], JUST_NOW);
    harness.advance(MS(25));
    // An index of 0 is replaced by 1. Otherwise each following query would return at once.
    assert!(matches!(harness.last_call().2, Query::Blocking { index: 1, .. }), "{:?}", harness.last_call());
    let mut waits = Vec::new();
    for index in 2..8 {
        answer_snapshot(&mut harness, index, &[("a", "1")], JUST_NOW);
        harness.advance(MS(25));
        let Query::Blocking { wait, .. } = harness.last_call().2 else { panic!() };
        waits.push(wait);
    }
    assert_eq!((waits[0], waits[5]), (MS(2000), MS(5000)));
    // The keys never changed, so only the first answer is reported.
    assert_eq!(harness.changes.len(), 1);
    // The query is silent: a second one asks another endpoint for the full state at once.
    let (_, first_endpoint, _) = harness.last_call();
    harness.advance(MS(5000 + 5000 / 16 + 101));
    let (_, second_endpoint, query) = harness.last_call();
    assert!(
        matches!(query, Query::Blocking { index: 0, .. }) && first_endpoint != second_endpoint,
        "{query:?}"
    );
}

#[test]
fn an_index_that_went_back_is_accepted_and_a_member_without_a_leader_is_ignored() {
    let mut harness = Harness::new(blocking_settings(false));
    answer_snapshot(&mut harness, 50, &[("a", "1"), ("b", "1")], JUST_NOW);
    harness.advance(MS(25));
    answer_snapshot(&mut harness, 60, &[], None);
    assert_eq!(harness.copy().len(), 2);
    harness.advance(MS(25));
    answer_snapshot(&mut harness, 3, &[("b", "1")], JUST_NOW);
    assert_eq!((harness.copy().len(), harness.follower.revision()), (1, Some(3)));
    let mut stale_reads = Harness::new(blocking_settings(true));
    answer_snapshot(&mut stale_reads, 50, &[("a", "1")], JUST_NOW);
    for n in 0..4 {
        stale_reads.advance(MS(3000));
        answer_snapshot(&mut stale_reads, 3, &[], JUST_NOW);
        assert_eq!(
            stale_reads.copy().len(),
            usize::from(n < 3),
            "accepted once every endpoint reports it, and the first one twice"
        );
    }
}

#[test]
fn a_cluster_that_is_replaced_between_two_pages_is_read_from_the_first_page() {
    let mut harness = Harness::new(Settings { page_size: 1, ..three_endpoints() });
    let (call, ..) = harness.last_call();
    harness.answer_page(call, header(10), &[("a", "1")], true);
    let (call, ..) = harness.last_call();
    harness.answer_page(call, Header { cluster: 4, revision: 10 }, &[("b", "1")], false);
    assert!(harness.changes.is_empty());
    assert!(matches!(harness.last_call().2, Query::Range { after: None, revision: None, .. }));
}

#[test]
fn a_watch_opened_before_a_full_read_is_ignored_after_it() {
    let (mut harness, old_watch) = Harness::watching(three_endpoints(), &[("a", "1")]);
    // The cluster was restored, as the revision check shows; the old watch is still open.
    let (check, ..) = harness.advance_to_revision_check(header(10));
    harness.answer_page(check, header(4), &[], false);
    let (call, ..) = harness.last_call();
    harness.answer_page(call, header(4), &[("a", "0")], false);
    assert!(harness.aborted.contains(&old_watch));
    harness.deliver(old_watch, 11, vec![put("x", "1", 11)], false);
    assert_eq!(harness.copy(), [("a".to_owned(), "0".to_owned())]);
}

#[test]
fn a_revision_check_that_changes_overtake_is_not_a_revision_that_went_back() {
    let (mut harness, call) = Harness::watching(three_endpoints(), &[("a", "1")]);
    let (check, ..) = harness.advance_to_revision_check(header(10));
    harness.deliver(call, 12, vec![put("a", "2", 11), put("a", "3", 12)], false);
    harness.answer_page(check, header(11), &[], false);
    harness.advance_with_live_watch(MS(500), header(12));
    assert!(
        !harness.calls[1..].iter().any(|(_, _, query)| matches!(query, Query::Range { .. })),
        "{:?}",
        harness.calls
    );
    assert_eq!(harness.follower.freshness(), Freshness::Fresh);
}

#[test]
fn a_long_round_trip_extends_the_time_until_an_answer_is_overdue() {
    let (mut harness, call) = Harness::watching(three_endpoints(), &[("a", "1")]);
    // Each answer takes 180 ms, longer than the configured time after which it is overdue.
    let mut second_watches = 0;
    for _ in 0..50 {
        let calls_before = harness.calls.len();
        while harness.probes.last() != Some(&call) {
            harness.advance(MS(1));
        }
        harness.probes.clear();
        harness.advance(MS(180));
        second_watches =
            if harness.calls[calls_before..].iter().any(|(_, _, query)| matches!(query, Query::Watch { .. }))
            {
                second_watches + 1
            } else {
                second_watches
            };
        harness.handle(Event::Progress { call, header: header(10) });
        assert!(!harness.aborted.contains(&call));
    }
    assert!(second_watches <= 3, "{second_watches}");
    // A watch that really is silent is still detected.
    let calls_before = harness.calls.len();
    harness.advance(MS(700));
    assert!(harness.calls[calls_before..].iter().any(|(_, _, query)| matches!(query, Query::Watch { .. })));
}

#[test]
fn a_watch_that_opens_slowly_is_not_aborted_for_a_second_slow_one() {
    let mut harness = Harness::new(three_endpoints());
    let (call, ..) = harness.last_call();
    harness.answer_page(call, header(10), &[("a", "1")], false);
    let (slow_watch, ..) = harness.last_call();
    harness.advance(MS(900));
    assert!(!harness.aborted.contains(&slow_watch), "its connection may still be being established");
    let watches = harness.calls.iter().filter(|(_, _, query)| matches!(query, Query::Watch { .. })).count();
    assert_eq!(watches, 2, "a second watch, and no third");
    harness.handle(Event::Opened { call: slow_watch, header: header(10) });
    harness.handle(Event::Progress { call: slow_watch, header: header(10) });
    assert_eq!(harness.follower.freshness(), Freshness::Fresh);
}

#[test]
fn a_node_of_many_that_starts_alone_does_not_wait_for_the_others() {
    let mut harness = Harness::new(Settings { nodes: 10_000, node_index: 9_999, ..three_endpoints() });
    harness.advance(Duration::from_secs(1));
    assert!(matches!(harness.last_call().2, Query::Range { .. }));
}
