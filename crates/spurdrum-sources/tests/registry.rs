//! The follower of a registry, call by call.

use std::time::Duration;

use spurdrum_sources::follower::Freshness;
use spurdrum_sources::registry::follower::{
    Action, CallId, Change, Edit, Event, Failure, Follower, Header, Interface, Note, Query, Settings, Value,
};

const MS: fn(u64) -> Duration = Duration::from_millis;

/// A follower, its time, and what it wants.
struct Played {
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

impl Played {
    fn new(settings: Settings) -> Self {
        let mut played = Self {
            follower: Follower::new(settings, 3).expect("sound"),
            now: Duration::ZERO,
            calls: Vec::new(),
            probes: Vec::new(),
            aborted: Vec::new(),
            changes: Vec::new(),
            notes: Vec::new(),
        };
        played.tell(Event::Tick);
        played.pass(MS(5));
        played
    }

    /// Reads these keys as of revision 10, and has the watch from 11 on open and proved.
    fn watching(settings: Settings, keys: &[(&str, &str)]) -> (Self, CallId) {
        let mut played = Self::new(settings);
        let (call, ..) = played.last();
        played.page(call, header(10), keys, false);
        let call = played.open(header(10));
        (played, call)
    }

    fn last(&self) -> (CallId, usize, Query) {
        self.calls.last().expect("a call").clone()
    }

    fn open(&mut self, at: Header) -> CallId {
        let (call, ..) = self.last();
        self.tell(Event::Opened { call, header: at });
        self.tell(Event::Progress { call, header: at });
        call
    }

    fn page(&mut self, call: CallId, header: Header, keys: &[(&str, &str)], more: bool) {
        let entries = keys.iter().map(|(key, value)| (key.as_bytes().to_vec(), value.as_bytes().to_vec()));
        self.tell(Event::Page { call, header, entries: entries.collect(), more });
    }

    fn changed(&mut self, call: CallId, revision: u64, edits: Vec<Edit>, fragment: bool) {
        self.tell(Event::Changed { call, header: header(revision), edits, fragment });
    }

    fn tell(&mut self, event: Event) {
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

    /// Lets time pass, tick by tick as they are due.
    fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(wake) = self.follower.next_wake().filter(|wake| *wake <= end) {
            assert!(wake > self.now || self.now == Duration::ZERO || self.ticks_on(), "it wakes for nothing");
            self.now = wake.max(self.now);
            self.tell(Event::Tick);
        }
        self.now = end;
    }

    /// A tick at this instant leads to a later one, and not to itself.
    fn ticks_on(&mut self) -> bool {
        self.tell(Event::Tick);
        self.follower.next_wake().is_none_or(|wake| wake > self.now)
    }

    /// Lets time pass in which the watch answers each probe.
    fn pass_alive(&mut self, time: Duration, at: Header) {
        for _ in 0..time.as_millis() / 10 {
            self.pass(MS(10));
            for call in std::mem::take(&mut self.probes) {
                self.tell(Event::Progress { call, header: at });
            }
        }
    }

    /// Lets time pass, the watch alive, until the true revision is asked for.
    fn confirm(&mut self, at: Header) -> (CallId, usize, Query) {
        let calls = self.calls.len();
        while !self.calls[calls..].iter().any(|(_, _, query)| *query == Query::RevisionCheck) {
            self.pass_alive(MS(10), at);
        }
        self.last()
    }

    fn held(&self) -> Vec<(String, String)> {
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        let held = self.follower.copy().iter().map(|(key, value)| match value {
            Value::Whole(value) => (text(key), text(value)),
            Value::TooLong(bytes) => (text(key), format!("{bytes} bytes")),
        });
        held.collect()
    }
}

fn three() -> Settings {
    Settings { endpoints: 3, ..Settings::default() }
}

/// The same mistake as in the incident of 2026-12-02 at the catalog: what takes longer than a call may be silent was asked for over and over,
/// and never heard.
#[test]
fn a_registry_that_is_slower_than_a_call_may_be_silent_is_heard() {
    for took in [1_500, 2_500] {
        let mut played = Played::new(Settings::default());
        let mut read = false;
        while played.now < MS(20_000) && !read {
            let (call, _, query) = played.last();
            assert!(matches!(query, Query::Range { .. }), "{query:?}");
            let begun = played.now;
            while played.last().0 == call && played.now < begun + MS(took) {
                played.pass(MS(10));
            }
            if played.last().0 == call && !played.aborted.contains(&call) {
                played.page(call, header(10), &[("a", "1")], false);
                read = true;
            }
        }
        assert!(read, "an answer takes {took} ms: {:?}", played.calls);
        assert!(played.now <= MS(10_000), "{:?}", played.now);
    }
}

#[test]
fn pages_are_read_as_of_one_revision_and_the_watch_begins_behind_it() {
    let mut played = Played::new(Settings { page_size: 1, ..three() });
    let (call, _, query) = played.last();
    assert_eq!(query, Query::Range { after: None, revision: None, limit: 1, allow_stale: false });
    played.page(call, header(10), &[("a", "1")], true);
    let (call, _, query) = played.last();
    assert_eq!(
        query,
        Query::Range { after: Some(b"a".to_vec()), revision: Some(10), limit: 1, allow_stale: false }
    );
    // Meanwhile there are later revisions; the page is still as of the first one's.
    played.page(call, header(14), &[("b", "2")], false);
    assert_eq!(played.last().2, Query::Watch { from: 11 });
    assert_eq!((played.changes.len(), played.changes[0].revision, played.changes[0].put.len()), (1, 10, 2));
    assert_eq!(played.follower.freshness(), Freshness::Doubtful);
    played.open(header(14));
    assert_eq!((played.follower.freshness(), played.follower.revision()), (Freshness::Fresh, Some(14)));
}

#[test]
fn a_compaction_between_two_pages_or_before_the_watch_begins_all_anew() {
    let mut played = Played::new(Settings { page_size: 1, ..three() });
    let (call, ..) = played.last();
    played.page(call, header(10), &[("a", "1")], true);
    let (call, ..) = played.last();
    played.tell(Event::Failed { call, failure: Failure::Compacted });
    let (call, _, query) = played.last();
    assert!(matches!(query, Query::Range { after: None, revision: None, .. }));
    assert!(played.changes.is_empty(), "half a state is none");
    played.page(call, header(20), &[("a", "1"), ("b", "2")], false);
    let (call, ..) = played.last();
    played.tell(Event::Opened { call, header: header(30) });
    played.tell(Event::Cancelled { call, compacted: true });
    let (call, _, query) = played.last();
    assert!(matches!(query, Query::Range { after: None, .. }));
    played.page(call, header(30), &[("b", "2"), ("c", "3")], false);
    // The difference only: what was known is not told again.
    let change = played.changes.last().expect("a change");
    assert_eq!((change.put.len(), change.put[0].key.as_slice()), (1, &b"c"[..]));
    assert_eq!(change.deleted, [b"a".to_vec()]);
    assert_eq!(played.notes, [Note::Compacted, Note::Compacted]);
}

#[test]
fn compactions_that_outrun_reads_are_met_with_pauses() {
    let mut played = Played::new(Settings::default());
    let mut read = 0;
    for _ in 0..200 {
        let (call, _, query) = played.last();
        match query {
            Query::Range { .. } => {
                read += 1;
                played.page(call, header(10 + read), &[], false);
            }
            Query::Watch { .. } => played.tell(Event::Cancelled { call, compacted: true }),
            _ => {}
        }
        played.pass(MS(5));
    }
    // One second: far fewer reads than calls could have been answered in.
    assert!((3..30).contains(&read), "{read}");
}

#[test]
fn a_change_is_told_once_however_often_it_comes() {
    let (mut played, call) = Played::watching(three(), &[("a", "1")]);
    played.changed(call, 12, vec![put("b", "1", 11), put("a", "2", 12)], false);
    assert_eq!(played.changes.last().expect("one").put.len(), 2);
    let told = played.changes.len();
    // Again, and with something new behind it that sets back nothing.
    played.changed(call, 12, vec![put("b", "1", 11), put("a", "2", 12)], false);
    assert_eq!(played.changes.len(), told);
    played.changed(call, 13, vec![put("b", "old", 11), put("c", "1", 13)], false);
    assert_eq!(played.held(), [("a", "2"), ("b", "1"), ("c", "1")].map(|(k, v)| (k.into(), v.into())));
    assert_eq!(played.follower.counts().already_applied, 3);
}

#[test]
fn pieces_of_one_revision_are_one_change() {
    let (mut played, call) = Played::watching(three(), &[("a", "1")]);
    let told = played.changes.len();
    played.changed(call, 11, vec![put("b", "1", 11)], true);
    // A progress in between proves nothing: the copy has not got it yet.
    played.tell(Event::Progress { call, header: header(11) });
    assert_eq!((played.changes.len(), played.follower.revision()), (told, Some(10)));
    played.changed(call, 11, vec![delete("a", 11)], false);
    let change = played.changes.last().expect("one");
    assert_eq!((played.changes.len(), change.put.len(), change.deleted.len()), (told + 1, 1, 1));
    // A break between two pieces loses both, and the next watch tells both again.
    played.changed(call, 12, vec![put("x", "1", 12)], true);
    played.tell(Event::Failed { call, failure: Failure::ConnectionLost });
    played.pass(MS(5));
    assert_eq!(played.last().2, Query::Watch { from: 12 });
    assert_eq!(played.held().len(), 1);
}

#[test]
fn a_key_deleted_and_put_back_is_the_one_that_stands_there_in_the_end() {
    let (mut played, call) = Played::watching(three(), &[("a", "1")]);
    played.changed(call, 11, vec![delete("a", 11), put("a", "2", 11)], false);
    let change = played.changes.last().expect("one");
    assert_eq!((change.put.len(), change.deleted.len()), (1, 0));
    played.changed(call, 12, vec![delete("a", 12)], false);
    assert_eq!(played.changes.last().expect("one").deleted.len(), 1);
    played.changed(call, 13, vec![put("a", "3", 13)], false);
    played.changed(call, 14, vec![put("b", "1", 14), delete("b", 14)], false);
    assert_eq!(played.held(), [("a".to_owned(), "3".to_owned())]);
}

#[test]
fn a_watch_that_is_open_but_silent_gets_another_beside_it_within_the_time_that_is_stated() {
    let settings = three();
    let (mut played, silent) = Played::watching(settings.clone(), &[("a", "1")]);
    let calls = played.calls.len();
    played.pass(settings.silence_detected_within() + MS(1));
    assert_eq!(played.follower.freshness(), Freshness::Doubtful);
    let (beside, endpoint, query) = played.last();
    assert_eq!((played.calls.len(), query), (calls + 1, Query::Watch { from: 11 }));
    assert_ne!(endpoint, played.calls[calls - 1].1);
    // Both may tell; the first to prove itself stays.
    played.tell(Event::Opened { call: beside, header: header(11) });
    played.changed(silent, 11, vec![put("b", "1", 11)], false);
    played.changed(beside, 11, vec![put("b", "1", 11)], false);
    assert_eq!(played.changes.len(), 2);
    played.tell(Event::Progress { call: beside, header: header(11) });
    assert_eq!((played.follower.freshness(), played.aborted.as_slice()), (Freshness::Fresh, &[silent][..]));
}

#[test]
fn an_endpoint_behind_the_copy_is_left_and_what_the_cluster_agrees_on_is_believed() {
    let (mut played, call) = Played::watching(Settings { allow_stale: true, ..three() }, &[("a", "1")]);
    played.changed(call, 40, vec![put("a", "2", 40)], false);
    played.tell(Event::Failed { call, failure: Failure::ConnectionLost });
    for _ in 0..3 {
        played.pass(MS(5));
        let (call, _, query) = played.last();
        assert_eq!(query, Query::Watch { from: 41 });
        played.tell(Event::Opened { call, header: header(20) });
        // It answers every probe, and is behind.
        for _ in 0..27 {
            played.pass(MS(10));
            played.tell(Event::Progress { call, header: header(20) });
        }
        assert_eq!(played.follower.freshness(), Freshness::Doubtful);
    }
    let (call, _, query) = played.last();
    assert!(matches!(query, Query::Range { allow_stale: false, .. }), "{query:?}");
    played.page(call, header(20), &[("a", "1")], false);
    assert_eq!(played.notes, [Note::RevisionWentBack { from: 40, to: 20 }]);
    assert_eq!(played.held(), [("a".to_owned(), "1".to_owned())]);
    assert_eq!(played.last().2, Query::Watch { from: 21 });
}

#[test]
fn a_member_that_is_cut_off_answers_probes_and_is_found_out_by_the_true_revision() {
    let settings = three();
    let (mut played, call) = Played::watching(settings.clone(), &[("a", "1")]);
    let confirm = played.confirm(header(10));
    assert_eq!(played.follower.freshness(), Freshness::Fresh);
    let watched = played.calls.iter().find(|(id, ..)| *id == call).expect("a watch").1;
    assert_ne!(confirm.1, watched, "one that is cut off does not know it");
    played.page(confirm.0, header(17), &[], false);
    played.pass_alive(settings.max_lag + MS(20), header(10));
    let (_, endpoint, query) = played.last();
    assert_eq!((query, endpoint != watched), (Query::Watch { from: 11 }, true));
}

#[test]
fn a_registry_without_a_leader_makes_the_view_doubtful_though_the_watch_speaks() {
    let settings = three();
    let (mut played, _) = Played::watching(settings.clone(), &[("a", "1")]);
    played.pass_alive(settings.revision_check_interval * 6, header(10));
    assert_ne!(played.follower.freshness(), Freshness::Fresh);
    let (call, ..) = played.confirm(header(10));
    played.page(call, header(10), &[], false);
    played.pass_alive(settings.probe_interval * 3, header(10));
    assert_eq!(played.follower.freshness(), Freshness::Fresh);
}

#[test]
fn another_cluster_is_read_from_the_start_and_only_the_difference_told() {
    let (mut played, call) = Played::watching(three(), &[("a", "1"), ("b", "1")]);
    let other = Header { cluster: 4, revision: 3 };
    played.tell(Event::Changed { call, header: other, edits: vec![put("x", "1", 50)], fragment: false });
    assert_eq!(played.held().len(), 2, "what another cluster tells is no change of this one");
    let (call, _, query) = played.last();
    assert!(matches!(query, Query::Range { .. }));
    played.page(call, other, &[("b", "1"), ("c", "1")], false);
    let change = played.changes.last().expect("one");
    assert_eq!((change.put.len(), change.deleted.len(), change.revision), (1, 1, 3));
    assert_eq!(played.notes, [Note::Replaced { from: 9, to: 4 }]);
}

#[test]
fn values_and_keys_are_bounded_and_room_is_used_when_there_is_some() {
    let settings = Settings { max_keys: 2, max_value_bytes: 3, ..three() };
    let (mut played, call) = Played::watching(settings, &[("a", "1"), ("b", "long value")]);
    assert_eq!(played.held()[1], ("b".to_owned(), "10 bytes".to_owned()));
    played.changed(call, 11, vec![put("c", "1", 11)], false);
    assert_eq!((played.held().len(), played.follower.counts().over_limit), (2, 1));
    assert_eq!(played.notes, [Note::TooManyKeys]);
    played.changed(call, 12, vec![delete("a", 12)], false);
    let (_, _, query) = played.last();
    assert!(matches!(query, Query::Range { .. }), "there is room for it: {query:?}");
}

#[test]
fn a_page_that_is_too_long_is_asked_for_in_halves() {
    let mut played = Played::new(Settings { page_size: 4, ..three() });
    for limit in [2, 1] {
        let (call, ..) = played.last();
        played.tell(Event::Failed { call, failure: Failure::TooLong });
        assert!(matches!(played.last().2, Query::Range { limit: asked, .. } if asked == limit));
    }
}

#[test]
fn the_first_round_over_the_endpoints_costs_no_pause_and_later_ones_more_and_more() {
    let mut played = Played::new(three());
    let mut at = Vec::new();
    for _ in 0..30 {
        let (call, ..) = played.last();
        let calls = played.calls.len();
        at.push(played.now);
        played.tell(Event::Failed { call, failure: Failure::Unreachable });
        while played.calls.len() == calls {
            played.pass(MS(1));
        }
    }
    assert!(at[2] - at[0] < MS(10), "{at:?}");
    assert!(at[29] - at[26] > MS(2500), "{at:?}");
    let endpoints: Vec<usize> = played.calls[..3].iter().map(|(_, endpoint, _)| *endpoint).collect();
    assert_eq!(endpoints, [0, 1, 2]);
}

#[test]
fn nodes_that_lose_a_registry_together_come_back_one_after_the_other() {
    let settings = Settings { nodes: 1000, node_index: 999, ..three() };
    let (mut played, call) = Played::watching(Settings { node_index: 0, ..settings.clone() }, &[]);
    let calls = played.calls.len();
    played.tell(Event::Failed { call, failure: Failure::ConnectionLost });
    played.pass(MS(2));
    assert_eq!(played.calls.len(), calls + 1);
    let mut last = Played { ..Played::new(settings) };
    assert!(last.calls.is_empty(), "its turn comes after a second");
    last.pass(MS(1010));
    assert_eq!(last.calls.len(), 1);
}

#[test]
fn the_own_standstill_is_no_silence_of_the_registry() {
    let (mut played, call) = Played::watching(three(), &[("a", "1")]);
    let calls = played.calls.iter().filter(|(_, _, query)| *query != Query::RevisionCheck).count();
    played.now += Duration::from_secs(30);
    played.tell(Event::Tick);
    let after = played.calls.iter().filter(|(_, _, query)| *query != Query::RevisionCheck).count();
    assert_eq!((after, played.aborted.len()), (calls, 0));
    assert_eq!(played.follower.freshness(), Freshness::Doubtful);
    played.pass(MS(110));
    assert!(played.probes.contains(&call));
}

fn blocking(allow_stale: bool) -> Settings {
    Settings { interface: Interface::BlockingQueries, allow_stale, ..three() }
}

fn answer(played: &mut Played, index: u64, keys: &[(&str, &str)], leader_contact: Option<Duration>) {
    let (call, ..) = played.last();
    let entries =
        keys.iter().map(|(key, value)| (key.as_bytes().to_vec(), value.as_bytes().to_vec())).collect();
    let header = Header { cluster: 0, revision: index };
    played.tell(Event::Snapshot { call, header, entries, leader_contact });
}

const NOW: Option<Duration> = Some(Duration::ZERO);

#[test]
fn blocking_queries_follow_an_index_and_wait_longer_as_it_proves_good() {
    let mut played = Played::new(blocking(false));
    assert!(matches!(played.last().2, Query::Blocking { index: 0, .. }));
    answer(&mut played, 0, &[("a", "1")], NOW);
    played.pass(MS(25));
    // An index of 0 is taken for 1: else each query would end at once.
    assert!(matches!(played.last().2, Query::Blocking { index: 1, .. }), "{:?}", played.last());
    let mut waits = Vec::new();
    for index in 2..8 {
        answer(&mut played, index, &[("a", "1")], NOW);
        played.pass(MS(25));
        let Query::Blocking { wait, .. } = played.last().2 else { panic!() };
        waits.push(wait);
    }
    assert_eq!((waits[0], waits[5]), (MS(2000), MS(5000)));
    // Nothing changed, so nothing is told but the first.
    assert_eq!(played.changes.len(), 1);
    // Silent: another one, at once for the whole, at another endpoint.
    let (_, first, _) = played.last();
    played.pass(MS(5000 + 5000 / 16 + 101));
    let (_, second, query) = played.last();
    assert!(matches!(query, Query::Blocking { index: 0, .. }) && first != second, "{query:?}");
}

#[test]
fn an_index_that_runs_backwards_is_begun_anew_and_a_member_without_leader_is_not_believed() {
    let mut played = Played::new(blocking(false));
    answer(&mut played, 50, &[("a", "1"), ("b", "1")], NOW);
    played.pass(MS(25));
    answer(&mut played, 60, &[], None);
    assert_eq!(played.held().len(), 2);
    played.pass(MS(25));
    answer(&mut played, 3, &[("b", "1")], NOW);
    assert_eq!((played.held().len(), played.follower.revision()), (1, Some(3)));
    let mut stale = Played::new(blocking(true));
    answer(&mut stale, 50, &[("a", "1")], NOW);
    for n in 0..4 {
        stale.pass(MS(3000));
        answer(&mut stale, 3, &[], NOW);
        assert_eq!(stale.held().len(), usize::from(n < 3), "every endpoint says so, and the first one twice");
    }
}

#[test]
fn a_cluster_that_is_replaced_between_two_pages_is_read_from_the_first() {
    let mut played = Played::new(Settings { page_size: 1, ..three() });
    let (call, ..) = played.last();
    played.page(call, header(10), &[("a", "1")], true);
    let (call, ..) = played.last();
    played.page(call, Header { cluster: 4, revision: 10 }, &[("b", "1")], false);
    assert!(played.changes.is_empty());
    assert!(matches!(played.last().2, Query::Range { after: None, revision: None, .. }));
}

#[test]
fn no_watch_from_before_a_whole_read_is_heard_after_it() {
    let (mut played, old) = Played::watching(three(), &[("a", "1")]);
    // The cluster was put back, as the true revision shows; the old watch has not broken yet.
    let (confirm, ..) = played.confirm(header(10));
    played.page(confirm, header(4), &[], false);
    let (call, ..) = played.last();
    played.page(call, header(4), &[("a", "0")], false);
    assert!(played.aborted.contains(&old));
    played.changed(old, 11, vec![put("x", "1", 11)], false);
    assert_eq!(played.held(), [("a".to_owned(), "0".to_owned())]);
}

#[test]
fn a_confirmation_that_changes_overtake_is_no_older_revision() {
    let (mut played, call) = Played::watching(three(), &[("a", "1")]);
    let (confirm, ..) = played.confirm(header(10));
    played.changed(call, 12, vec![put("a", "2", 11), put("a", "3", 12)], false);
    played.page(confirm, header(11), &[], false);
    played.pass_alive(MS(500), header(12));
    assert!(
        !played.calls[1..].iter().any(|(_, _, query)| matches!(query, Query::Range { .. })),
        "{:?}",
        played.calls
    );
    assert_eq!(played.follower.freshness(), Freshness::Fresh);
}

#[test]
fn a_long_way_makes_patience_longer_and_is_no_silence() {
    let (mut played, call) = Played::watching(three(), &[("a", "1")]);
    // Each answer takes 180 ms, more than the patience that is set.
    let mut beside = 0;
    for _ in 0..50 {
        let calls = played.calls.len();
        while played.probes.last() != Some(&call) {
            played.pass(MS(1));
        }
        played.probes.clear();
        played.pass(MS(180));
        beside = if played.calls[calls..].iter().any(|(_, _, query)| matches!(query, Query::Watch { .. })) {
            beside + 1
        } else {
            beside
        };
        played.tell(Event::Progress { call, header: header(10) });
        assert!(!played.aborted.contains(&call));
    }
    assert!(beside <= 3, "{beside}");
    // And when it really is silent, it is noticed all the same.
    let calls = played.calls.len();
    played.pass(MS(700));
    assert!(played.calls[calls..].iter().any(|(_, _, query)| matches!(query, Query::Watch { .. })));
}

#[test]
fn a_watch_that_takes_long_to_open_is_not_given_up_for_another_that_does() {
    let mut played = Played::new(three());
    let (call, ..) = played.last();
    played.page(call, header(10), &[("a", "1")], false);
    let (slow, ..) = played.last();
    played.pass(MS(900));
    assert!(!played.aborted.contains(&slow), "its dial may be under way still");
    let watches = played.calls.iter().filter(|(_, _, query)| matches!(query, Query::Watch { .. })).count();
    assert_eq!(watches, 2, "one beside it, and no third");
    played.tell(Event::Opened { call: slow, header: header(10) });
    played.tell(Event::Progress { call: slow, header: header(10) });
    assert_eq!(played.follower.freshness(), Freshness::Fresh);
}

#[test]
fn one_of_many_nodes_that_starts_alone_does_not_wait_for_the_others() {
    let mut played = Played::new(Settings { nodes: 10_000, node_index: 9_999, ..three() });
    played.pass(Duration::from_secs(1));
    assert!(matches!(played.last().2, Query::Range { .. }));
}
