//! The table: a fixed number of places, found by key, by server, by owner and by age.
//!
//! Everything takes a few steps, whatever the table holds: also the loss of a server, whose places are handed over as one
//! list and cleared one by one as they are needed.

use std::collections::VecDeque;

use hashbrown::HashTable;

use crate::list::{Link, Linked, List, NIL};
use crate::owners::Owners;
use crate::sketch::Sketch;
use crate::KeyHash;

/// Expired places that are cleared for one new one.
const CLEAR_MOST: usize = 4;

/// The lists that a place stands in.
#[derive(Clone, Copy)]
enum Kind {
    /// Of its server, or of those that are free.
    Server,
    /// Of its owner, the one used last first.
    Owner,
    /// Of all, the one used last first.
    Age,
}

/// What a place is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Free,
    Bound,
    /// Its server is lost; it is free but for the other lists that it still stands in.
    Lost,
}

/// What a key is bound to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Binding {
    /// The key.
    pub key: KeyHash,
    /// Who holds the place.
    pub owner: u64,
    /// The server, as [`Table`]'s user numbers its servers.
    pub server: u32,
    /// When it was last asked for.
    pub used_at: f64,
    /// When it was bound to this server.
    pub bound_at: f64,
    /// Times in a row that it was served elsewhere.
    pub away: u8,
}

struct Place {
    binding: Binding,
    owner: u32,
    taken: bool,
    /// The server's losses when it was bound: with the next one it is lost.
    losses: u32,
    /// Waits to be written.
    dirty: bool,
    /// [`Binding::used_at`] as it was last written.
    written_at: f64,
    links: [Link; 3],
}

struct Places<'a>(&'a mut [Place]);

impl Linked<Kind> for Places<'_> {
    fn link(&mut self, at: u32, kind: Kind) -> &mut Link {
        &mut self.0[at as usize].links[kind as usize]
    }
}

#[derive(Clone, Default)]
struct OfServer {
    list: List,
    /// How often it was lost, and all that it had with it.
    losses: u32,
}

/// Why a key got no place, or whose it took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entered {
    /// There was one free.
    Free,
    /// That of the key longest unused, of the owner who held most.
    Evicted,
    /// None: its owner holds most, and the key is asked for no more often than those there.
    Refused,
}

/// What was found for a key that was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found {
    /// It is not bound.
    Nothing,
    /// It was, for too long.
    Expired,
    /// Its place.
    At(u32),
}

/// See the [module](self).
pub struct Table {
    places: Vec<Place>,
    index: HashTable<u32>,
    free: List,
    ages: List,
    owners: Owners,
    by_server: Vec<OfServer>,
    sketch: Sketch,
    /// Places that wait to be written, each once.
    dirty: VecDeque<u32>,
}

impl Table {
    /// A table of so many places, all of which are allocated now.
    pub fn new(places: usize) -> Self {
        let nothing =
            Binding { key: KeyHash::default(), owner: 0, server: NIL, used_at: 0.0, bound_at: 0.0, away: 0 };
        let empty = |_| Place {
            binding: nothing,
            owner: NIL,
            taken: false,
            losses: 0,
            dirty: false,
            written_at: 0.0,
            links: [Link::default(); 3],
        };
        let mut table = Self {
            places: (0..places).map(empty).collect(),
            index: HashTable::with_capacity(places),
            free: List::default(),
            ages: List::default(),
            owners: Owners::new(),
            by_server: Vec::new(),
            sketch: Sketch::new(places),
            dirty: VecDeque::with_capacity(places),
        };
        for at in (0..places as u32).rev() {
            table.free.push(&mut Places(&mut table.places), Kind::Server, at);
        }
        table
    }

    /// Bindings; those whose server is lost are found by their keys and stand among the free places, too.
    pub fn bound(&self) -> usize {
        self.places.len() - self.free.len
    }

    /// Owners that hold places.
    pub fn owners(&self) -> usize {
        self.owners.len()
    }

    /// Bindings to a server.
    pub fn of_server(&self, server: u32) -> usize {
        self.by_server.get(server as usize).map_or(0, |of| of.list.len)
    }

    /// Places that an owner holds.
    pub fn of_owner(&self, owner: u64) -> usize {
        self.owners.find(owner).map_or(0, |at| self.owners.places(at).len)
    }

    /// The key has been asked for. A binding too long unused or too old is dropped.
    pub fn ask(&mut self, now: f64, key: KeyHash, idle_timeout_ms: f64, max_age_ms: f64) -> Found {
        self.sketch.add(key.0);
        let Some(at) = self.place(key) else { return Found::Nothing };
        let binding = &mut self.places[at as usize].binding;
        if now - binding.used_at > idle_timeout_ms || now - binding.bound_at > max_age_ms {
            self.unbind(at);
            return Found::Expired;
        }
        binding.used_at = now;
        self.ages.remove(&mut Places(&mut self.places), Kind::Age, at);
        self.ages.push(&mut Places(&mut self.places), Kind::Age, at);
        let owner = self.places[at as usize].owner;
        let mut list = self.owners.places(owner);
        list.remove(&mut Places(&mut self.places), Kind::Owner, at);
        list.push(&mut Places(&mut self.places), Kind::Owner, at);
        self.owners.set_places(owner, list);
        Found::At(at)
    }

    /// Where a key is bound, whether or not its server is lost.
    fn find(&self, key: KeyHash) -> Option<u32> {
        self.index.find(key.0[0], |at| self.places[*at as usize].binding.key == key).copied()
    }

    /// The place of a key that is bound.
    pub fn place(&self, key: KeyHash) -> Option<u32> {
        self.find(key).filter(|at| self.state(*at) == State::Bound)
    }

    fn state(&self, at: u32) -> State {
        let place = &self.places[at as usize];
        match self.by_server.get(place.binding.server as usize) {
            _ if !place.taken => State::Free,
            Some(of) if of.losses == place.losses => State::Bound,
            _ => State::Lost,
        }
    }

    /// What stands at a place.
    pub fn binding(&self, at: u32) -> &Binding {
        &self.places[at as usize].binding
    }

    /// What stands at a place that is bound, to be changed but for its key, owner, server and use.
    pub fn binding_mut(&mut self, at: u32) -> &mut Binding {
        &mut self.places[at as usize].binding
    }

    /// Binds a key that is not bound. Where its owner holds most itself, it must be asked for more often than the key that
    /// it would replace.
    pub fn enter(&mut self, idle_timeout_ms: f64, binding: Binding) -> Entered {
        self.expire(binding.used_at - idle_timeout_ms, CLEAR_MOST);
        // Guards against one key at two places: its server was lost, and its place not yet needed.
        if let Some(at) = self.find(binding.key) {
            self.clear(at);
        }
        let mut entered = Entered::Free;
        if self.free.len == 0 {
            let Some(at) = self.victim(&binding) else { return Entered::Refused };
            self.clear(at);
            entered = Entered::Evicted;
        }
        let at = self.free.first;
        self.enter_at(at, binding);
        self.mark(at);
        entered
    }

    /// As it was when it was written: at the same place where that is free, else at any; not where there is none.
    /// Whether it stands where it was written.
    pub fn restore(&mut self, at: u32, binding: Binding) -> Option<bool> {
        let is_free = |at: &u32| (*at as usize) < self.places.len() && self.state(*at) != State::Bound;
        let place = Some(at).filter(is_free).or(Some(self.free.first).filter(|at| *at != NIL))?;
        if self.find(binding.key).is_some() {
            return None;
        }
        self.enter_at(place, binding);
        if place == at {
            // It is on the disk already.
            self.places[at as usize].written_at = binding.used_at;
        } else {
            self.mark(place);
        }
        Some(place == at)
    }

    fn enter_at(&mut self, at: u32, binding: Binding) {
        if self.state(at) == State::Lost {
            self.clear(at);
        }
        self.free.remove(&mut Places(&mut self.places), Kind::Server, at);
        let owner = self.owners.find_or_add(binding.owner);
        let place = &mut self.places[at as usize];
        (place.binding, place.owner, place.taken) = (binding, owner, true);
        let mut list = self.owners.places(owner);
        list.push(&mut Places(&mut self.places), Kind::Owner, at);
        self.owners.set_places(owner, list);
        self.ages.push(&mut Places(&mut self.places), Kind::Age, at);
        self.put_on_server(at);
        let Self { index, places, .. } = self;
        index.insert_unique(binding.key.0[0], at, |at| places[*at as usize].binding.key.0[0]);
    }

    fn put_on_server(&mut self, at: u32) {
        let server = self.places[at as usize].binding.server as usize;
        if server >= self.by_server.len() {
            self.by_server.resize(server + 1, OfServer::default());
        }
        let of = &mut self.by_server[server];
        self.places[at as usize].losses = of.losses;
        of.list.push(&mut Places(&mut self.places), Kind::Server, at);
    }

    /// The place that a new binding takes: of the owner who holds most, the one longest unused.
    fn victim(&self, new: &Binding) -> Option<u32> {
        let largest = self.owners.largest()?;
        let own = self.owners.find(new.owner);
        let held = own.map_or(0, |own| self.owners.places(own).len);
        let own = own.filter(|_| held >= self.owners.places(largest).len);
        let at = self.owners.places(own.unwrap_or(largest)).last;
        // Guards against keys that come once: they would push out those of the same owner that come again.
        let often = |key: KeyHash| self.sketch.count(key.0);
        let wins = own.is_none() || often(new.key) > often(self.binding(at).key);
        wins.then_some(at)
    }

    /// Binds a place's key to another server.
    pub fn rebind(&mut self, now: f64, at: u32, server: u32) {
        let before = self.places[at as usize].binding.server as usize;
        self.by_server[before].list.remove(&mut Places(&mut self.places), Kind::Server, at);
        let binding = &mut self.places[at as usize].binding;
        (binding.server, binding.bound_at, binding.away) = (server, now, 0);
        self.put_on_server(at);
        self.mark(at);
    }

    /// Unbinds a place.
    pub fn unbind(&mut self, at: u32) {
        self.clear(at);
        self.mark(at);
    }

    /// A server is lost, and with it its bindings. How many there were.
    pub fn lose(&mut self, server: u32) -> usize {
        let Some(of) = self.by_server.get_mut(server as usize) else { return 0 };
        of.losses = of.losses.wrapping_add(1);
        let list = std::mem::take(&mut of.list);
        self.free.splice(&mut Places(&mut self.places), Kind::Server, list);
        list.len
    }

    /// Clears places that were last used before then, the oldest first. How many of them were bound.
    pub fn expire(&mut self, before: f64, most: usize) -> usize {
        let mut bound = 0;
        for _ in 0..most {
            let at = self.ages.last;
            if at == NIL || self.binding(at).used_at >= before {
                break;
            }
            if self.state(at) == State::Bound {
                bound += 1;
                self.unbind(at);
            } else {
                self.clear(at);
            }
        }
        bound
    }

    /// When the oldest place was last used.
    pub fn oldest(&self) -> Option<f64> {
        Some(self.ages.last).filter(|at| *at != NIL).map(|at| self.binding(at).used_at)
    }

    /// Takes a place out of all lists and puts it among those that are free.
    fn clear(&mut self, at: u32) {
        let state = self.state(at);
        if state == State::Free {
            return;
        }
        let place = &mut self.places[at as usize];
        place.taken = false;
        let (key, owner, server) = (place.binding.key, place.owner, place.binding.server as usize);
        let Self { index, places, .. } = self;
        if let Ok(found) = index.find_entry(key.0[0], |other| *other == at) {
            found.remove();
        }
        let mut list = self.owners.places(owner);
        list.remove(&mut Places(places), Kind::Owner, at);
        self.owners.set_places(owner, list);
        self.ages.remove(&mut Places(places), Kind::Age, at);
        if state == State::Bound {
            self.by_server[server].list.remove(&mut Places(places), Kind::Server, at);
            self.free.push(&mut Places(places), Kind::Server, at);
        }
    }

    // ---- What is to be written

    /// A place is to be written.
    pub fn mark(&mut self, at: u32) {
        let place = &mut self.places[at as usize];
        if !std::mem::replace(&mut place.dirty, true) {
            self.dirty.push_back(at);
        }
    }

    /// All that is bound is to be written.
    pub fn mark_all(&mut self) {
        for at in 0..self.places.len() as u32 {
            if self.state(at) == State::Bound {
                self.mark(at);
            }
        }
    }

    /// A place is to be written, where its use is older there by so much.
    pub fn mark_if_older(&mut self, at: u32, by_ms: f64) {
        let place = &self.places[at as usize];
        if place.binding.used_at - place.written_at >= by_ms {
            self.mark(at);
        }
    }

    /// Places that wait to be written.
    pub fn marked(&self) -> usize {
        self.dirty.len()
    }

    /// The next place that waits to be written, and what stands there.
    pub fn take_marked(&mut self) -> Option<(u32, Option<Binding>)> {
        let at = self.dirty.pop_front()?;
        let bound = self.state(at) == State::Bound;
        let place = &mut self.places[at as usize];
        place.dirty = false;
        place.written_at = place.binding.used_at;
        Some((at, bound.then_some(place.binding)))
    }
}
