//! Merges the lists of several sources, which may disagree, lag, flap and fail, into one.
//!
//! ```
//! use std::time::Duration;
//! use spurdrum_sources::reconciler::{Action, Event, Reconciler, Settings};
//! use spurdrum_sources::{Member, Phase};
//!
//! let member = Member {
//!     id: "s1".into(), host_port: "127.0.0.1:80".parse().expect("an address"), locality: String::new(),
//!     flavor: String::new(), cell: 0, phase: Phase::Active, size: 1.0, up_since_ms: 0.0,
//! };
//! let mut reconciler = Reconciler::new(Settings::default(), 2, 0.0).expect("valid settings");
//! let mut actions = Vec::new();
//! let update = |source, members, gone| Event::Update { source, complete: false, members, gone };
//! reconciler.handle(Duration::ZERO, update(0, vec![member.clone()], vec![]), &mut actions);
//! reconciler.handle(Duration::ZERO, update(1, vec![member], vec![]), &mut actions);
//! // One source has lost the server. The other still has it, so nothing changes.
//! actions.clear();
//! reconciler.handle(Duration::from_secs(1), update(0, vec![], vec!["s1".into()]), &mut actions);
//! assert!(actions.is_empty());
//! ```
//!
//! A server is identified by its id. All entries with one id are one server, whose address and zone come from
//! the first source, in the order of the configuration, that has it. An id at another address is another
//! process. Of two ids at one address the later one is the current server, and the earlier one gets no new
//! requests. If any source lists a server as *leaving*, it is draining, whatever the other sources say.
//!
//! A server that no source has any more gets no new requests from then on, and is forgotten
//! [`Settings::retain_for`] later. If it returns before that, it is the same process if the source reports
//! the same start time, and otherwise a new one in slow start. A server that disappears and returns too often
//! (flaps) is held back: it gets no new requests for a while, longer each time, up to a bound. If a source
//! that had several servers loses most of them at once without announcing that they are leaving, the source
//! is suspected of a fault: its servers stay until it has reported the loss for [`Settings::suspect_for`].

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use crate::follower::Freshness;
use crate::{Member, Phase};

/// A source that had fewer servers than this is never suspected, whatever it loses.
const MIN_SERVERS_TO_SUSPECT: usize = 4;
/// At most this share of the servers is held back for flapping: if more servers flap, the cause is the
/// sources.
const MAX_HELD_SHARE: f64 = 0.3;
/// Upper bound on the number of servers whose returns are remembered.
const MAX_REMEMBERED_RETURNS: usize = 20_000;

/// Which sources must have a server for it to be listed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Combine {
    /// Any source.
    #[default]
    Any,
    /// All sources that have ever reported a list.
    All,
}

/// How the lists of the sources are merged.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Which sources must have a server for it to be listed.
    pub combine: Combine,
    /// A source that had at least four servers is suspected if it has less than this share of them left at
    /// once; 0 turns this off.
    pub suspect_below: f64,
    /// A suspected source is trusted again once it has reported the loss for this long. The largest number of
    /// servers that a source had within this time is what its losses are compared with.
    pub suspect_for: Duration,
    /// How long a server that no source has any more is remembered.
    pub retain_for: Duration,
    /// How often a server may return within `flap_window` before it is held back.
    pub max_flaps: u32,
    /// The window in which the returns of a server are counted.
    pub flap_window: Duration,
    /// How long a flapping server is held back at first; the time doubles with each further return.
    pub min_hold: Duration,
    /// The longest time that a flapping server is held back.
    pub max_hold: Duration,
    /// The servers of a stale source are included for this long if another source is not stale.
    pub keep_stale_for: Duration,
    /// Whether several servers may share one address.
    pub shared_addresses: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            combine: Combine::Any,
            suspect_below: 0.3,
            suspect_for: Duration::from_secs(60),
            retain_for: Duration::from_secs(1),
            max_flaps: 2,
            flap_window: Duration::from_secs(10),
            min_hold: Duration::from_millis(500),
            max_hold: Duration::from_secs(10),
            keep_stale_for: Duration::from_secs(600),
            shared_addresses: false,
        }
    }
}

impl Settings {
    /// Checks that every setting is within its bounds.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is not valid, by its key in the configuration file, and why.
    pub fn validate(&self) -> Result<(), (&'static str, &'static str)> {
        let require = |ok: bool, key, why| if ok { Ok(()) } else { Err((key, why)) };
        let hour = Duration::from_secs(3600);
        require((0.0..1.0).contains(&self.suspect_below), "floor", "must be at least 0 and below 1")?;
        require(self.suspect_for <= hour, "suspect_for_ms", "must be at most an hour")?;
        require(self.retain_for <= hour, "linger_ms", "must be at most an hour")?;
        require(self.flap_window <= hour, "flap_window_ms", "must be at most an hour")?;
        require(self.max_hold <= hour, "hold_most_ms", "must be at most an hour")?;
        require(self.min_hold <= self.max_hold, "hold_least_ms", "is greater than `hold_most_ms`")?;
        require(self.keep_stale_for <= 24 * hour, "keep_ms", "must be at most a day")
    }
}

/// An input of the reconciler. Sources are numbered in their order of precedence.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A source has sent its list, or changes to it.
    Update {
        /// The source.
        source: usize,
        /// Whether `members` is the whole list.
        complete: bool,
        /// The entries as the source has them now. A server with the phase [`Phase::Left`] was announced as
        /// gone.
        members: Vec<Member>,
        /// Ids that the source does not have any more, without an announcement.
        gone: Vec<String>,
    },
    /// The freshness of a source's list has changed.
    Freshness {
        /// The source.
        source: usize,
        /// The freshness now.
        freshness: Freshness,
    },
}

/// An output of the reconciler.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// These servers are new, have changed or are gone.
    Apply(Vec<Member>),
    /// A source has lost most of its servers at once, and is suspected of a fault.
    Suspect {
        /// The source.
        source: usize,
        /// The number of its servers before.
        before: usize,
        /// The number of its servers now.
        now: usize,
    },
    /// A suspected source is trusted again: it has its servers back, or has reported the loss for long
    /// enough.
    Trusted(usize),
    /// A server flaps, and is held back for this long.
    Flapping(String, Duration),
    /// The servers of a stale source are no longer included in the list, or are again.
    Included {
        /// The source.
        source: usize,
        /// Whether they are included.
        included: bool,
    },
}

/// A server in the list of one source.
struct Entry {
    member: Member,
    /// Whether the source does not have the server any more, but is suspected of a fault.
    removal_suspected: bool,
}

/// The list of one source.
struct Source {
    members: BTreeMap<String, Entry>,
    /// The number of members that are present: not announced as gone, and not lost while the source is
    /// suspected.
    present: usize,
    /// Whether the source has ever sent a list.
    has_reported: bool,
    /// The number of servers that losses are compared with, and when the source last had as many.
    baseline: (usize, Duration),
    suspect_since: Option<Duration>,
    stale_since: Option<Duration>,
    /// Whether the servers of the source are included in the merged list.
    included: bool,
}

impl Entry {
    fn is_present(&self) -> bool {
        !self.removal_suspected && self.member.phase != Phase::Left
    }
}

impl Source {
    fn insert(&mut self, member: Member) {
        self.remove(&member.id.clone());
        let entry = Entry { member, removal_suspected: false };
        self.present += usize::from(entry.is_present());
        self.members.insert(entry.member.id.clone(), entry);
    }

    fn remove(&mut self, id: &str) {
        let was_present = self.members.remove(id).is_some_and(|entry| entry.is_present());
        self.present -= usize::from(was_present);
    }

    fn suspect_removal(&mut self, id: &str) {
        if let Some(entry) = self.members.get_mut(id) {
            self.present -= usize::from(entry.is_present());
            entry.removal_suspected = true;
        }
    }

    /// Forgets a server that was announced as gone.
    fn forget_left(&mut self, id: &str) {
        if self.members.get(id).is_some_and(|entry| entry.member.phase == Phase::Left) {
            self.remove(id);
        }
    }

    /// Sets the baseline to the present number of servers if that is not lower, or if the baseline is older
    /// than the window.
    fn update_baseline(&mut self, now: Duration, present: usize, window: Duration) {
        if present >= self.baseline.0 || now >= self.baseline.1 + window {
            self.baseline = (present, now);
        }
    }
}

/// A server of the merged list.
struct MergedServer {
    member: Member,
    /// The start time as the sources report it; `member` has the one in the merged list.
    reported_start_ms: f64,
    /// When the server is forgotten; none while a source has it.
    forget_at: Option<Duration>,
    /// Until when the server is held back for flapping.
    held_until: Option<Duration>,
}

/// Merges the lists of several sources. See the [module documentation](self).
pub struct Reconciler {
    settings: Settings,
    sources: Vec<Source>,
    servers: BTreeMap<String, MergedServer>,
    /// The ids at each address, in the order of their arrival; the last one is the current server there.
    ids_by_address: HashMap<SocketAddr, Vec<String>>,
    /// How often a server has returned within its window, and when the window began.
    returns: HashMap<String, (u32, Duration)>,
    /// The number of servers that are held back.
    held_count: usize,
    /// Whether the current event is the first list of a source: its servers were there before the node
    /// started.
    in_first_list: bool,
    /// When which server must be looked at again.
    wakes: BTreeSet<(Duration, String)>,
    /// The Unix time, in milliseconds, at which the reconciler's time starts.
    start_unix_ms: f64,
}

impl Reconciler {
    /// Creates a reconciler for this many sources, none of which has sent a list yet. Its time starts at
    /// `start_unix_ms`, in milliseconds since 1970.
    ///
    /// # Errors
    ///
    /// Returns the key of the first setting that is not valid, and why.
    pub fn new(
        settings: Settings,
        sources: usize,
        start_unix_ms: f64,
    ) -> Result<Self, (&'static str, &'static str)> {
        settings.validate()?;
        let source = |_| Source {
            members: BTreeMap::new(),
            present: 0,
            has_reported: false,
            baseline: (0, Duration::ZERO),
            suspect_since: None,
            stale_since: None,
            included: true,
        };
        Ok(Self {
            settings,
            sources: (0..sources).map(source).collect(),
            servers: BTreeMap::new(),
            ids_by_address: HashMap::new(),
            returns: HashMap::new(),
            held_count: 0,
            in_first_list: false,
            wakes: BTreeSet::new(),
            start_unix_ms,
        })
    }

    /// Handles one event that happened at `now`, which never goes back, and appends the actions to carry out.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        let mut changed_ids = BTreeSet::new();
        match event {
            Event::Tick => {}
            Event::Update { source, complete, members, gone } => {
                self.update(now, source, complete, members, gone, &mut changed_ids, actions);
            }
            Event::Freshness { source, freshness } => {
                let source = &mut self.sources[source];
                source.stale_since =
                    (freshness == Freshness::Stale).then(|| source.stale_since.unwrap_or(now));
            }
        }
        self.update_included_sources(now, &mut changed_ids, actions);
        self.resolve_suspicions(now, &mut changed_ids, actions);
        while let Some((at, id)) = self.wakes.first().cloned().filter(|(at, _)| *at <= now) {
            self.wakes.remove(&(at, id.clone()));
            changed_ids.insert(id);
        }
        let mut changes = Vec::new();
        for id in changed_ids {
            self.merge_server(now, &id, &mut changes, actions);
        }
        self.in_first_list = false;
        if !changes.is_empty() {
            actions.push(Action::Apply(changes));
        }
    }

    /// Returns when the next [`Event::Tick`] is due at the latest.
    pub fn next_wake(&self) -> Option<Duration> {
        let next_server_wake = self.wakes.first().map(|(at, _)| *at);
        let source_wakes = |source: &Source| {
            let trusted_at = source.suspect_since.map(|since| since + self.settings.suspect_for);
            let stale_since = source.stale_since.filter(|_| source.included && self.has_live_source());
            [trusted_at, stale_since.map(|since| since + self.settings.keep_stale_for)]
        };
        self.sources.iter().flat_map(source_wakes).flatten().chain(next_server_wake).min()
    }

    /// Returns the merged list.
    pub fn list(&self) -> impl Iterator<Item = &Member> {
        self.servers.values().map(|server| &server.member)
    }

    /// Returns the number of servers that a source has, and the number that it has lost but that are kept
    /// since the source is suspected.
    pub fn source_counts(&self, source: usize) -> (usize, usize) {
        let source = &self.sources[source];
        let suspected = source.members.values().filter(|entry| entry.removal_suspected).count();
        (source.present, suspected)
    }

    /// Returns the number of servers that are held back for flapping.
    pub fn held_back(&self) -> usize {
        self.held_count
    }

    /// Returns whether any source has sent a list and is not stale.
    fn has_live_source(&self) -> bool {
        self.sources.iter().any(|source| source.has_reported && source.stale_since.is_none())
    }

    // ---- Sources

    #[allow(clippy::too_many_arguments)]
    fn update(
        &mut self,
        now: Duration,
        index: usize,
        complete: bool,
        members: Vec<Member>,
        mut gone: Vec<String>,
        changed_ids: &mut BTreeSet<String>,
        actions: &mut Vec<Action>,
    ) {
        if !std::mem::replace(&mut self.sources[index].has_reported, true) {
            self.in_first_list = true;
            // With `Combine::All` the servers of the other sources now need this source as well.
            self.mark_all_changed(changed_ids);
        }
        let source = &mut self.sources[index];
        let present_before = source.present;
        source.update_baseline(now, present_before, self.settings.suspect_for);
        let listed: BTreeSet<&str> = members.iter().map(|member| member.id.as_str()).collect();
        if complete {
            gone.extend(source.members.keys().filter(|id| !listed.contains(id.as_str())).cloned());
        }
        gone.retain(|id| !listed.contains(id.as_str()));
        changed_ids.extend(gone.iter().cloned());
        changed_ids.extend(listed.iter().map(|id| (*id).to_owned()));
        for member in members {
            source.insert(member);
        }
        gone.retain(|id| source.members.contains_key(id));
        gone.sort_unstable();
        gone.dedup();
        let lost = gone.iter().filter(|id| {
            let entry = &source.members[*id];
            // A server that was announced as leaving may disappear.
            !entry.removal_suspected && entry.member.phase == Phase::Active
        });
        let remaining = source.present - lost.count();
        let baseline = source.baseline.0;
        let is_suspect = baseline >= MIN_SERVERS_TO_SUSPECT
            && (remaining as f64) < self.settings.suspect_below * baseline as f64;
        for id in &gone {
            let entry = &source.members[id];
            match entry.removal_suspected {
                true => {}
                false if is_suspect && entry.member.phase == Phase::Active => source.suspect_removal(id),
                false => source.remove(id),
            }
        }
        if is_suspect && source.suspect_since.is_none() {
            source.suspect_since = Some(now);
            actions.push(Action::Suspect { source: index, before: baseline, now: remaining });
        }
        let present_now = source.present;
        source.update_baseline(now, present_now, self.settings.suspect_for);
    }

    fn mark_all_changed(&self, changed_ids: &mut BTreeSet<String>) {
        changed_ids.extend(self.sources.iter().flat_map(|source| source.members.keys()).cloned());
    }

    /// Decides which sources are included: not one that has been stale for long, as long as another source is
    /// not stale.
    fn update_included_sources(
        &mut self,
        now: Duration,
        changed_ids: &mut BTreeSet<String>,
        actions: &mut Vec<Action>,
    ) {
        let has_live_source = self.has_live_source();
        let actions_before = actions.len();
        for (index, source) in self.sources.iter_mut().enumerate() {
            let is_long_stale =
                source.stale_since.is_some_and(|since| now >= since + self.settings.keep_stale_for);
            let included = !(is_long_stale && has_live_source);
            if included != source.included {
                source.included = included;
                actions.push(Action::Included { source: index, included });
            }
        }
        if actions.len() > actions_before {
            self.mark_all_changed(changed_ids);
        }
    }

    /// Trusts a suspected source again if it has its servers back, or has reported their loss for long
    /// enough.
    fn resolve_suspicions(
        &mut self,
        now: Duration,
        changed_ids: &mut BTreeSet<String>,
        actions: &mut Vec<Action>,
    ) {
        for (index, source) in self.sources.iter_mut().enumerate() {
            let Some(since) = source.suspect_since else { continue };
            let is_over = now >= since + self.settings.suspect_for;
            if is_over {
                let lost: Vec<String> = (source.members.iter())
                    .filter(|(_, entry)| entry.removal_suspected)
                    .map(|(id, _)| id.clone())
                    .collect();
                for id in &lost {
                    source.remove(id);
                }
                changed_ids.extend(lost);
                source.baseline = (source.present, now);
            }
            if is_over || !source.members.values().any(|entry| entry.removal_suspected) {
                source.suspect_since = None;
                actions.push(Action::Trusted(index));
            }
        }
    }

    // ---- Servers

    /// Returns the entry of a server as all sources together have it; none if it is not listed.
    fn combined_entry(&self, id: &str) -> Option<Member> {
        let included = || self.sources.iter().filter(|source| source.included && source.has_reported);
        let has =
            |source: &&Source| source.members.get(id).is_some_and(|entry| entry.member.phase != Phase::Left);
        let is_listed = match self.settings.combine {
            Combine::Any => included().any(|source| has(&source)),
            Combine::All => included().all(|source| has(&source)),
        };
        if !is_listed {
            return None;
        }
        let entries = || included().filter_map(|source| source.members.get(id)).map(|entry| &entry.member);
        let mut member = entries().find(|member| member.phase != Phase::Left)?.clone();
        member.up_since_ms = entries().map(|member| member.up_since_ms).fold(0.0, f64::max);
        // A source that is not included any more still counts if it lists the server as leaving.
        let all_entries = self.sources.iter().filter_map(|source| source.members.get(id));
        if all_entries.into_iter().any(|entry| entry.member.phase != Phase::Active) {
            member.phase = Phase::Leaving;
        }
        Some(member)
    }

    /// Brings one server of the merged list up to date with the sources.
    fn merge_server(
        &mut self,
        now: Duration,
        id: &str,
        changes: &mut Vec<Member>,
        actions: &mut Vec<Action>,
    ) {
        let entry = self.combined_entry(id);
        if entry.is_none() {
            // No source has the server, so it does not matter any more that one announced it as gone.
            for source in &mut self.sources {
                source.forget_left(id);
            }
        }
        match (self.servers.remove(id), entry) {
            (None, None) => {}
            (None, Some(member)) => self.add_server(now, member, None, changes, actions),
            (Some(server), None) => self.remove_server(now, server, changes),
            (Some(server), Some(member)) if server.member.host_port != member.host_port => {
                self.forget_server(id, server, changes);
                self.add_server(now, member, None, changes, actions);
            }
            (Some(server), Some(member)) if server.forget_at.is_some() => {
                self.add_server(now, member, Some(server), changes, actions);
            }
            (Some(server), Some(member)) => self.update_server(now, server, member, changes),
        }
    }

    fn unix_time_ms(&self, now: Duration) -> f64 {
        self.start_unix_ms + now.as_secs_f64() * 1000.0
    }

    /// Adds a server that is new, or that returns after having been gone for a moment.
    fn add_server(
        &mut self,
        now: Duration,
        mut member: Member,
        previous: Option<MergedServer>,
        changes: &mut Vec<Member>,
        actions: &mut Vec<Action>,
    ) {
        let reported_start_ms = member.up_since_ms;
        let same_process = previous
            .as_ref()
            .filter(|server| reported_start_ms > 0.0 && server.reported_start_ms == reported_start_ms);
        member.up_since_ms = match same_process {
            Some(server) => server.member.up_since_ms,
            // A server without a start time that appears while the node serves may have been started just
            // now.
            None if reported_start_ms == 0.0 && (previous.is_some() || !self.in_first_list) => {
                self.unix_time_ms(now)
            }
            None => reported_start_ms,
        };
        let mut held_until = None;
        if previous.is_some() || self.returns.contains_key(&member.id) {
            let hold = self.hold_after_return(now, &member.id);
            if let Some(hold) = hold {
                held_until = Some(now + hold);
                self.held_count += 1;
                self.wakes.insert((now + hold, member.id.clone()));
                actions.push(Action::Flapping(member.id.clone(), hold));
            }
        }
        let ids = self.ids_by_address.entry(member.host_port).or_default();
        ids.retain(|id| *id != member.id);
        ids.push(member.id.clone());
        let displaced = ids.len().checked_sub(2).map(|n| ids[n].clone());
        let mut server =
            MergedServer { member: member.clone(), reported_start_ms, forget_at: None, held_until };
        server.member.phase = self.effective_phase(&member, held_until);
        changes.push(server.member.clone());
        self.servers.insert(member.id.clone(), server);
        if let Some(displaced) = displaced {
            self.refresh_phase(&displaced, changes);
        }
    }

    /// Counts a return of a server, and returns for how long it is held back, if it is.
    fn hold_after_return(&mut self, now: Duration, id: &str) -> Option<Duration> {
        let window = self.settings.flap_window;
        let (count, window_start) = self.returns.get(id).copied().unwrap_or((0, now));
        let (count, window_start) =
            if now > window_start + window { (1, now) } else { (count + 1, window_start) };
        if self.returns.len() >= MAX_REMEMBERED_RETURNS {
            self.returns.retain(|_, (_, window_start)| now <= *window_start + window);
        }
        if self.returns.len() < MAX_REMEMBERED_RETURNS {
            self.returns.insert(id.to_owned(), (count, window_start));
        }
        let excess = count.checked_sub(self.settings.max_flaps + 1)?;
        let too_many_held =
            (self.held_count + 1) as f64 > (MAX_HELD_SHARE * (self.servers.len() + 1) as f64).max(1.0);
        let hold = self.settings.min_hold.saturating_mul(1 << excess.min(16)).min(self.settings.max_hold);
        (!too_many_held).then_some(hold)
    }

    /// Returns the phase of a server in the merged list: leaving if it is held back, or if a later server has
    /// its address and addresses may not be shared.
    fn effective_phase(&self, member: &Member, held_until: Option<Duration>) -> Phase {
        let ids = self.ids_by_address.get(&member.host_port);
        let is_displaced = ids.and_then(|ids| ids.last()).is_some_and(|last| *last != member.id);
        match member.phase {
            Phase::Active if held_until.is_some() || is_displaced && !self.settings.shared_addresses => {
                Phase::Leaving
            }
            phase => phase,
        }
    }

    /// Updates a server that is listed as before, perhaps with a changed entry.
    fn update_server(
        &mut self,
        now: Duration,
        mut server: MergedServer,
        mut member: Member,
        changes: &mut Vec<Member>,
    ) {
        if server.held_until.is_some_and(|until| until <= now) {
            server.held_until = None;
            self.held_count -= 1;
        }
        let same_start = server.reported_start_ms == member.up_since_ms;
        server.reported_start_ms = member.up_since_ms;
        if same_start {
            member.up_since_ms = server.member.up_since_ms;
        }
        member.phase = self.effective_phase(&member, server.held_until);
        if member != server.member {
            changes.push(member.clone());
        }
        server.member = member;
        self.servers.insert(server.member.id.clone(), server);
    }

    /// Updates the phase of a server after another server has taken its address or has freed it.
    fn refresh_phase(&mut self, id: &str, changes: &mut Vec<Member>) {
        let (Some(server), Some(entry)) = (self.servers.get(id), self.combined_entry(id)) else { return };
        if server.forget_at.is_some() {
            return;
        }
        let phase = self.effective_phase(&entry, server.held_until);
        if let Some(server) = self.servers.get_mut(id).filter(|server| server.member.phase != phase) {
            server.member.phase = phase;
            changes.push(server.member.clone());
        }
    }

    /// Handles a server that no source has any more: it gets no new requests, and after a while it is
    /// forgotten.
    fn remove_server(&mut self, now: Duration, mut server: MergedServer, changes: &mut Vec<Member>) {
        let id = server.member.id.clone();
        match server.forget_at {
            Some(forget_at) if forget_at <= now => return self.forget_server(&id, server, changes),
            Some(_) => {}
            None => {
                if self.settings.retain_for.is_zero() {
                    return self.forget_server(&id, server, changes);
                }
                let forget_at = now + self.settings.retain_for;
                server.forget_at = Some(forget_at);
                self.wakes.insert((forget_at, id.clone()));
                if server.held_until.take().is_some() {
                    self.held_count -= 1;
                }
                if server.member.phase == Phase::Active {
                    server.member.phase = Phase::Leaving;
                    changes.push(server.member.clone());
                }
                // A return is counted even if it comes after the server was forgotten.
                if self.returns.len() < MAX_REMEMBERED_RETURNS {
                    self.returns.entry(id.clone()).or_insert((0, now));
                }
            }
        }
        self.servers.insert(id, server);
    }

    /// Removes a server from the merged list; another server at its address becomes the current one there.
    fn forget_server(&mut self, id: &str, server: MergedServer, changes: &mut Vec<Member>) {
        if server.held_until.is_some() {
            self.held_count -= 1;
        }
        let address = server.member.host_port;
        changes.push(Member { phase: Phase::Left, ..server.member });
        let mut next = None;
        if let Some(ids) = self.ids_by_address.get_mut(&address) {
            ids.retain(|other| other != id);
            next = ids.last().cloned();
            if ids.is_empty() {
                self.ids_by_address.remove(&address);
            }
        }
        if let Some(next) = next {
            self.refresh_phase(&next, changes);
        }
    }
}
