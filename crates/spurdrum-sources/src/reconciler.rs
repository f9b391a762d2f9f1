//! One list of what several sources say, which may disagree, lag, flap and fail.
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
//! let mut reconciler = Reconciler::new(Settings::default(), 2, 0.0).expect("sound settings");
//! let mut actions = Vec::new();
//! let update = |source, members, gone| Event::Update { source, complete: false, members, gone };
//! reconciler.handle(Duration::ZERO, update(0, vec![member.clone()], vec![]), &mut actions);
//! reconciler.handle(Duration::ZERO, update(1, vec![member], vec![]), &mut actions);
//! // One source has lost it: the other still has it, so nothing changes.
//! actions.clear();
//! reconciler.handle(Duration::from_secs(1), update(0, vec![], vec!["s1".into()]), &mut actions);
//! assert!(actions.is_empty());
//! ```
//!
//! A server is its id. What sources say of one id is one server, whose address and place come from the first source, in
//! the order of the configuration, that has it. An id at another address is another process. Of two ids at one address
//! the later is believed, and the earlier gets nothing new. *Leaving* in any source counts, whatever the others say.
//!
//! A server that no source has any more gets nothing new at once, and is forgotten [`Settings::linger`] later. Where it
//! returns before, it is the one that was known if the source tells the same start, and else a cold one. What vanishes
//! and returns too often stays without new work for a while, longer each time, up to a bound. Where a source that had many
//! loses most of them at once, without a word that they are leaving, it is the source that is doubted: they stay until it
//! has said so for [`Settings::suspect_for`].

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use crate::follower::Freshness;
use crate::{Member, Phase};

/// A source that never had so many servers is believed, whatever it loses.
const MANY: usize = 4;
/// At most this part of the servers is held back for having flapped: more than that is the sources' doing.
const HELD_MOST: f64 = 0.3;
/// Servers whose coming and going is remembered, at most.
const REMEMBERED_MOST: usize = 20_000;

/// Which sources must have a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Combine {
    /// Any of them.
    #[default]
    Any,
    /// All that have ever told anything.
    All,
}

/// How sources are made into one list.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Which sources must have a server.
    pub combine: Combine,
    /// A source that had at least four, and loses all but less than this part at once, is doubted; 0 believes it.
    pub suspect_below: f64,
    /// It is believed once it has said so for this long. What it has had in this time counts as what it had.
    pub suspect_for: Duration,
    /// A server that is gone is remembered for this long.
    pub retain_for: Duration,
    /// It may return so often within the window...
    pub max_flaps: u32,
    /// ...of this length...
    pub flap_window: Duration,
    /// ...and from then on is held back, at first for this long...
    pub min_hold: Duration,
    /// ...and at most for this.
    pub max_hold: Duration,
    /// A blind source's servers count for this long, where another source is not blind.
    pub keep_stale_for: Duration,
    /// Whether several servers may have one address.
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
    /// Checks that every figure makes sense.
    ///
    /// # Errors
    ///
    /// The first key that does not, and why.
    pub fn validate(&self) -> Result<(), (&'static str, &'static str)> {
        let need = |ok: bool, key, why| if ok { Ok(()) } else { Err((key, why)) };
        let hour = Duration::from_secs(3600);
        need((0.0..1.0).contains(&self.suspect_below), "floor", "is no part below 1")?;
        need(self.suspect_for <= hour, "suspect_for_ms", "is over an hour")?;
        need(self.retain_for <= hour, "linger_ms", "is over an hour")?;
        need(self.flap_window <= hour, "flap_window_ms", "is over an hour")?;
        need(self.max_hold <= hour, "hold_most_ms", "is over an hour")?;
        need(self.min_hold <= self.max_hold, "hold_least_ms", "is above `hold_most_ms`")?;
        need(self.keep_stale_for <= 24 * hour, "keep_ms", "is over a day")
    }
}

/// What happens. Sources are numbered in their order of precedence.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A source tells its servers, or changes of them.
    Update {
        /// Which.
        source: usize,
        /// Whether it names all of them.
        complete: bool,
        /// As it has them now; those that it says have left are gone for good.
        members: Vec<Member>,
        /// Those that it does not have any more, without a word why.
        gone: Vec<String>,
    },
    /// A source's view is trusted otherwise than before.
    Freshness {
        /// Which.
        source: usize,
        /// Now.
        freshness: Freshness,
    },
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// These servers have come, changed or gone.
    Apply(Vec<Member>),
    /// A source has lost most of its servers at once, and is doubted: servers before and now.
    Suspect {
        /// Which.
        source: usize,
        /// Before.
        before: usize,
        /// Now.
        now: usize,
    },
    /// A source that was doubted is believed, or has its servers back.
    Trusted(usize),
    /// A server comes and goes, and is held back for so long.
    Flapping(String, Duration),
    /// A blind source's servers do not count any more, or do again.
    Included {
        /// Which.
        source: usize,
        /// Whether they count.
        included: bool,
    },
}

struct Entry {
    member: Member,
    /// The source does not have it any more, and is not believed.
    suspect: bool,
}

struct Source {
    members: BTreeMap<String, Entry>,
    /// Of them, those that it has: neither left nor lost without its being believed.
    standing: usize,
    /// Whether it has ever told anything.
    told: bool,
    /// Servers that it had, and when last so many.
    base: (usize, Duration),
    suspect_since: Option<Duration>,
    blind_since: Option<Duration>,
    counts: bool,
}

impl Entry {
    fn stands(&self) -> bool {
        !self.suspect && self.member.phase != Phase::Left
    }
}

impl Source {
    fn put(&mut self, member: Member) {
        self.remove(&member.id.clone());
        let entry = Entry { member, suspect: false };
        self.standing += usize::from(entry.stands());
        self.members.insert(entry.member.id.clone(), entry);
    }

    fn remove(&mut self, id: &str) {
        let stood = self.members.remove(id).is_some_and(|entry| entry.stands());
        self.standing -= usize::from(stood);
    }

    fn suspect(&mut self, id: &str) {
        if let Some(entry) = self.members.get_mut(id) {
            self.standing -= usize::from(entry.stands());
            entry.suspect = true;
        }
    }

    /// Forgets that a server has left.
    fn forget_left(&mut self, id: &str) {
        if self.members.get(id).is_some_and(|entry| entry.member.phase == Phase::Left) {
            self.remove(id);
        }
    }

    /// What it may have lost and still be believed is counted from here.
    fn note(&mut self, now: Duration, standing: usize, window: Duration) {
        if standing >= self.base.0 || now >= self.base.1 + window {
            self.base = (standing, now);
        }
    }
}

/// A server as it was handed on.
struct Known {
    member: Member,
    /// The start as sources tell it; the member has the one that was handed on.
    raw_start: f64,
    /// When it is forgotten; none while a source has it.
    forgotten_at: Option<Duration>,
    /// Until when it gets nothing new.
    held_until: Option<Duration>,
}

/// Makes one list of several sources'.
pub struct Reconciler {
    settings: Settings,
    sources: Vec<Source>,
    known: BTreeMap<String, Known>,
    /// Who is at an address, in the order in which they came; the last is believed.
    at: HashMap<SocketAddr, Vec<String>>,
    /// Returns of a server in a window, and when that began.
    flaps: HashMap<String, (u32, Duration)>,
    held: usize,
    /// A source tells its first list: what stands there was there before the node.
    beginning: bool,
    wakes: BTreeSet<(Duration, String)>,
    /// Unix time, in milliseconds, from which times count.
    unix_ms: f64,
}

impl Reconciler {
    /// So many sources that have told nothing yet. Times count from `unix_ms`, in milliseconds since 1970.
    ///
    /// # Errors
    ///
    /// The first setting that makes no sense, and why.
    pub fn new(
        settings: Settings,
        sources: usize,
        unix_ms: f64,
    ) -> Result<Self, (&'static str, &'static str)> {
        settings.validate()?;
        let source = |_| Source {
            members: BTreeMap::new(),
            standing: 0,
            told: false,
            base: (0, Duration::ZERO),
            suspect_since: None,
            blind_since: None,
            counts: true,
        };
        Ok(Self {
            settings,
            sources: (0..sources).map(source).collect(),
            known: BTreeMap::new(),
            at: HashMap::new(),
            flaps: HashMap::new(),
            held: 0,
            beginning: false,
            wakes: BTreeSet::new(),
            unix_ms,
        })
    }

    /// What has happened; adds what is to be done. Times do not run backwards.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        let mut touched = BTreeSet::new();
        match event {
            Event::Tick => {}
            Event::Update { source, complete, members, gone } => {
                self.update(now, source, complete, members, gone, &mut touched, actions);
            }
            Event::Freshness { source, freshness } => {
                let source = &mut self.sources[source];
                source.blind_since =
                    (freshness == Freshness::Stale).then(|| source.blind_since.unwrap_or(now));
            }
        }
        self.count_sources(now, &mut touched, actions);
        self.believe(now, &mut touched, actions);
        while let Some((at, id)) = self.wakes.first().cloned().filter(|(at, _)| *at <= now) {
            self.wakes.remove(&(at, id.clone()));
            touched.insert(id);
        }
        let mut out = Vec::new();
        for id in touched {
            self.merge(now, &id, &mut out, actions);
        }
        self.beginning = false;
        if !out.is_empty() {
            actions.push(Action::Apply(out));
        }
    }

    /// When the next [`Event::Tick`] is due, at the latest.
    pub fn next_wake(&self) -> Option<Duration> {
        let wake = self.wakes.first().map(|(at, _)| *at);
        let source = |source: &Source| {
            let believed = source.suspect_since.map(|since| since + self.settings.suspect_for);
            let kept = source.blind_since.filter(|_| source.counts && self.is_another_seeing());
            [believed, kept.map(|since| since + self.settings.keep_stale_for)]
        };
        self.sources.iter().flat_map(source).flatten().chain(wake).min()
    }

    /// The servers as they were handed on.
    pub fn list(&self) -> impl Iterator<Item = &Member> {
        self.known.values().map(|known| &known.member)
    }

    /// Servers that a source has, and those of them that it has lost and that are kept all the same.
    pub fn source_counts(&self, source: usize) -> (usize, usize) {
        let source = &self.sources[source];
        let suspects = source.members.values().filter(|entry| entry.suspect).count();
        (source.standing, suspects)
    }

    /// Servers that are held back for having flapped.
    pub fn held_back(&self) -> usize {
        self.held
    }

    fn is_another_seeing(&self) -> bool {
        self.sources.iter().any(|source| source.told && source.blind_since.is_none())
    }

    // ---- Sources

    #[allow(clippy::too_many_arguments)]
    fn update(
        &mut self,
        now: Duration,
        number: usize,
        complete: bool,
        members: Vec<Member>,
        mut gone: Vec<String>,
        touched: &mut BTreeSet<String>,
        actions: &mut Vec<Action>,
    ) {
        if !std::mem::replace(&mut self.sources[number].told, true) {
            self.beginning = true;
            // What the others have may need this one too.
            self.touch_all(touched);
        }
        let source = &mut self.sources[number];
        let before = source.standing;
        source.note(now, before, self.settings.suspect_for);
        let named: BTreeSet<&str> = members.iter().map(|member| member.id.as_str()).collect();
        if complete {
            gone.extend(source.members.keys().filter(|id| !named.contains(id.as_str())).cloned());
        }
        gone.retain(|id| !named.contains(id.as_str()));
        touched.extend(gone.iter().cloned());
        touched.extend(named.iter().map(|id| (*id).to_owned()));
        for member in members {
            source.put(member);
        }
        gone.retain(|id| source.members.contains_key(id));
        gone.sort_unstable();
        gone.dedup();
        let lost = gone.iter().filter(|id| {
            let entry = &source.members[*id];
            // What it had said was leaving may go.
            !entry.suspect && entry.member.phase == Phase::Active
        });
        let left = source.standing - lost.count();
        let had = source.base.0;
        let doubted = had >= MANY && (left as f64) < self.settings.suspect_below * had as f64;
        for id in &gone {
            let entry = &source.members[id];
            match entry.suspect {
                true => {}
                false if doubted && entry.member.phase == Phase::Active => source.suspect(id),
                false => source.remove(id),
            }
        }
        if doubted && source.suspect_since.is_none() {
            source.suspect_since = Some(now);
            actions.push(Action::Suspect { source: number, before: had, now: left });
        }
        let standing = source.standing;
        source.note(now, standing, self.settings.suspect_for);
    }

    fn touch_all(&self, touched: &mut BTreeSet<String>) {
        touched.extend(self.sources.iter().flat_map(|source| source.members.keys()).cloned());
    }

    /// Whose servers count: not those of a source that has been blind for long, as long as another one sees.
    fn count_sources(&mut self, now: Duration, touched: &mut BTreeSet<String>, actions: &mut Vec<Action>) {
        let another = self.is_another_seeing();
        let before = actions.len();
        for (n, source) in self.sources.iter_mut().enumerate() {
            let long = source.blind_since.is_some_and(|since| now >= since + self.settings.keep_stale_for);
            let included = !(long && another);
            if included != source.counts {
                source.counts = included;
                actions.push(Action::Included { source: n, included });
            }
        }
        if actions.len() > before {
            self.touch_all(touched);
        }
    }

    /// Ends the doubt in a source that has its servers back, or has gone on saying that it has lost them.
    fn believe(&mut self, now: Duration, touched: &mut BTreeSet<String>, actions: &mut Vec<Action>) {
        for (n, source) in self.sources.iter_mut().enumerate() {
            let Some(since) = source.suspect_since else { continue };
            let long = now >= since + self.settings.suspect_for;
            if long {
                let lost: Vec<String> = (source.members.iter())
                    .filter(|(_, entry)| entry.suspect)
                    .map(|(id, _)| id.clone())
                    .collect();
                for id in &lost {
                    source.remove(id);
                }
                touched.extend(lost);
                source.base = (source.standing, now);
            }
            if long || !source.members.values().any(|entry| entry.suspect) {
                source.suspect_since = None;
                actions.push(Action::Trusted(n));
            }
        }
    }

    // ---- Servers

    /// What the sources together say of a server.
    fn said(&self, id: &str) -> Option<Member> {
        let counted = || self.sources.iter().filter(|source| source.counts && source.told);
        let has =
            |source: &&Source| source.members.get(id).is_some_and(|entry| entry.member.phase != Phase::Left);
        let there = match self.settings.combine {
            Combine::Any => counted().any(|source| has(&source)),
            Combine::All => counted().all(|source| has(&source)),
        };
        if !there {
            return None;
        }
        let entries = || counted().filter_map(|source| source.members.get(id)).map(|entry| &entry.member);
        let mut member = entries().find(|member| member.phase != Phase::Left)?.clone();
        member.up_since_ms = entries().map(|member| member.up_since_ms).fold(0.0, f64::max);
        // Also what a source says whose other servers do not count any more.
        let every = self.sources.iter().filter_map(|source| source.members.get(id));
        if every.into_iter().any(|entry| entry.member.phase != Phase::Active) {
            member.phase = Phase::Leaving;
        }
        Some(member)
    }

    /// Hands on what has become of one server.
    fn merge(&mut self, now: Duration, id: &str, out: &mut Vec<Member>, actions: &mut Vec<Action>) {
        let said = self.said(id);
        if said.is_none() {
            // Nobody has it: nobody needs to be told that somebody said it left.
            for source in &mut self.sources {
                source.forget_left(id);
            }
        }
        match (self.known.remove(id), said) {
            (None, None) => {}
            (None, Some(member)) => self.come(now, member, None, out, actions),
            (Some(known), None) => self.go(now, known, out),
            (Some(known), Some(member)) if known.member.host_port != member.host_port => {
                self.forget(id, known, out);
                self.come(now, member, None, out, actions);
            }
            (Some(known), Some(member)) if known.forgotten_at.is_some() => {
                self.come(now, member, Some(known), out, actions);
            }
            (Some(known), Some(member)) => self.stay(now, known, member, out),
        }
    }

    fn unix(&self, now: Duration) -> f64 {
        self.unix_ms + now.as_secs_f64() * 1000.0
    }

    /// A server is there that was not, or was gone for a moment.
    fn come(
        &mut self,
        now: Duration,
        mut member: Member,
        before: Option<Known>,
        out: &mut Vec<Member>,
        actions: &mut Vec<Action>,
    ) {
        let raw_start = member.up_since_ms;
        let same = before.as_ref().filter(|known| raw_start > 0.0 && known.raw_start == raw_start);
        member.up_since_ms = match same {
            Some(known) => known.member.up_since_ms,
            // What comes without a start, once the node serves, may have been started just now.
            None if raw_start == 0.0 && (before.is_some() || !self.beginning) => self.unix(now),
            None => raw_start,
        };
        let mut held_until = None;
        if before.is_some() || self.flaps.contains_key(&member.id) {
            let hold = self.flapped(now, &member.id);
            if let Some(hold) = hold {
                held_until = Some(now + hold);
                self.held += 1;
                self.wakes.insert((now + hold, member.id.clone()));
                actions.push(Action::Flapping(member.id.clone(), hold));
            }
        }
        let ids = self.at.entry(member.host_port).or_default();
        ids.retain(|id| *id != member.id);
        ids.push(member.id.clone());
        let earlier = ids.len().checked_sub(2).map(|n| ids[n].clone());
        let mut known = Known { member: member.clone(), raw_start, forgotten_at: None, held_until };
        known.member.phase = self.phase(&member, held_until);
        out.push(known.member.clone());
        self.known.insert(member.id.clone(), known);
        if let Some(earlier) = earlier {
            self.look_again(&earlier, out);
        }
    }

    /// For how long a server that has returned is held back.
    fn flapped(&mut self, now: Duration, id: &str) -> Option<Duration> {
        let window = self.settings.flap_window;
        let (count, began) = self.flaps.get(id).copied().unwrap_or((0, now));
        let (count, began) = if now > began + window { (1, now) } else { (count + 1, began) };
        if self.flaps.len() >= REMEMBERED_MOST {
            self.flaps.retain(|_, (_, began)| now <= *began + window);
        }
        if self.flaps.len() < REMEMBERED_MOST {
            self.flaps.insert(id.to_owned(), (count, began));
        }
        let over = count.checked_sub(self.settings.max_flaps + 1)?;
        let many = (self.held + 1) as f64 > (HELD_MOST * (self.known.len() + 1) as f64).max(1.0);
        let hold = self.settings.min_hold.saturating_mul(1 << over.min(16)).min(self.settings.max_hold);
        (!many).then_some(hold)
    }

    /// What a server may be sent: nothing new where it is leaving, held back, or another is at its address.
    fn phase(&self, member: &Member, held_until: Option<Duration>) -> Phase {
        let ids = self.at.get(&member.host_port);
        let displaced = ids.and_then(|ids| ids.last()).is_some_and(|last| *last != member.id);
        match member.phase {
            Phase::Active if held_until.is_some() || displaced && !self.settings.shared_addresses => {
                Phase::Leaving
            }
            phase => phase,
        }
    }

    /// A server is there as before, perhaps with something new about it.
    fn stay(&mut self, now: Duration, mut known: Known, mut member: Member, out: &mut Vec<Member>) {
        if known.held_until.is_some_and(|until| until <= now) {
            known.held_until = None;
            self.held -= 1;
        }
        let same = known.raw_start == member.up_since_ms;
        known.raw_start = member.up_since_ms;
        if same {
            member.up_since_ms = known.member.up_since_ms;
        }
        member.phase = self.phase(&member, known.held_until);
        if member != known.member {
            out.push(member.clone());
        }
        known.member = member;
        self.known.insert(known.member.id.clone(), known);
    }

    /// Looks at a server again whose address has come to another, or back.
    fn look_again(&mut self, id: &str, out: &mut Vec<Member>) {
        let (Some(known), Some(said)) = (self.known.get(id), self.said(id)) else { return };
        if known.forgotten_at.is_some() {
            return;
        }
        let phase = self.phase(&said, known.held_until);
        if let Some(known) = self.known.get_mut(id).filter(|known| known.member.phase != phase) {
            known.member.phase = phase;
            out.push(known.member.clone());
        }
    }

    /// No source has a server any more: nothing new, and after a while it is forgotten.
    fn go(&mut self, now: Duration, mut known: Known, out: &mut Vec<Member>) {
        let id = known.member.id.clone();
        match known.forgotten_at {
            Some(at) if at <= now => return self.forget(&id, known, out),
            Some(_) => {}
            None => {
                if self.settings.retain_for.is_zero() {
                    return self.forget(&id, known, out);
                }
                let at = now + self.settings.retain_for;
                known.forgotten_at = Some(at);
                self.wakes.insert((at, id.clone()));
                if known.held_until.take().is_some() {
                    self.held -= 1;
                }
                if known.member.phase == Phase::Active {
                    known.member.phase = Phase::Leaving;
                    out.push(known.member.clone());
                }
                // A return counts as one even if it comes after the server was forgotten.
                if self.flaps.len() < REMEMBERED_MOST {
                    self.flaps.entry(id.clone()).or_insert((0, now));
                }
            }
        }
        self.known.insert(id, known);
    }

    fn forget(&mut self, id: &str, known: Known, out: &mut Vec<Member>) {
        if known.held_until.is_some() {
            self.held -= 1;
        }
        let address = known.member.host_port;
        out.push(Member { phase: Phase::Left, ..known.member });
        let mut next = None;
        if let Some(ids) = self.at.get_mut(&address) {
            ids.retain(|other| other != id);
            next = ids.last().cloned();
            if ids.is_empty() {
                self.at.remove(&address);
            }
        }
        if let Some(next) = next {
            self.look_again(&next, out);
        }
    }
}
