//! The table of bindings: a fixed number of slots, found by key, by server, by owner and by age.
//!
//! Operations on a key or a server take constant time, whatever the table holds. This includes the loss of a
//! server: its slots move to the free list as one list and are cleared one by one when they are needed.

use std::collections::VecDeque;

use hashbrown::HashTable;

use crate::list::{Link, Linked, List, NIL};
use crate::owners::Owners;
use crate::sketch::Sketch;
use crate::KeyHash;

/// Limit on the expired slots that are cleared for one insertion.
const MAX_CLEARED_PER_INSERT: usize = 4;

/// The lists that a slot is in.
#[derive(Clone, Copy)]
enum ListKind {
    /// The slots of one server, or the free slots.
    Server,
    /// The slots of one owner, most recently used first.
    Owner,
    /// All slots in use, most recently used first.
    Age,
}

/// The state of a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Free,
    Bound,
    /// Its server was lost. The slot is in the free list, but also still in the lists of its owner and by
    /// age.
    Lost,
}

/// The binding of a key to a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Binding {
    /// The key.
    pub key: KeyHash,
    /// The owner that the slot is counted for.
    pub owner: u64,
    /// The server, by the number that the user of the [`Table`] gives it.
    pub server: u32,
    /// When the key was last requested.
    pub used_at: f64,
    /// When the key was bound to this server.
    pub bound_at: f64,
    /// How often in a row another server has served the key.
    pub served_elsewhere: u8,
}

struct Slot {
    binding: Binding,
    /// The index of the owner in [`Owners`].
    owner_index: u32,
    in_use: bool,
    /// The generation of the server when the key was bound. The slot is lost once the server's generation
    /// differs.
    generation: u32,
    /// Whether the slot waits to be written to the store.
    dirty: bool,
    /// [`Binding::used_at`] as it was last written.
    written_used_at: f64,
    links: [Link; 3],
}

struct SlotLinks<'a>(&'a mut [Slot]);

impl Linked<ListKind> for SlotLinks<'_> {
    fn link(&mut self, slot: u32, kind: ListKind) -> &mut Link {
        &mut self.0[slot as usize].links[kind as usize]
    }
}

/// The slots that are bound to one server.
#[derive(Clone, Default)]
struct ServerSlots {
    list: List,
    /// How often the server was lost, each time with all its bindings.
    generation: u32,
}

/// How a key was inserted, if it was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InsertOutcome {
    /// Into a free slot.
    UsedFree,
    /// Into the slot of the least recently used key of the owner that holds the most slots.
    Evicted,
    /// Not at all: its own owner holds the most slots, and the key is requested no more often than the one it
    /// would replace.
    Rejected,
}

/// The result of looking up a requested key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// The key is not bound.
    NotBound,
    /// The key was bound, but its binding was idle for too long or too old.
    Expired,
    /// The key is bound in this slot.
    Bound(u32),
}

/// The table of bindings; see the [module](self).
pub struct Table {
    slots: Vec<Slot>,
    /// Finds the slot of a key.
    index: HashTable<u32>,
    free: List,
    by_age: List,
    owners: Owners,
    by_server: Vec<ServerSlots>,
    sketch: Sketch,
    /// Slots that wait to be written, each at most once.
    dirty: VecDeque<u32>,
}

impl Table {
    /// Returns an empty table. The memory for all slots is allocated now.
    pub fn new(slots: usize) -> Self {
        let no_binding = Binding {
            key: KeyHash::default(),
            owner: 0,
            server: NIL,
            used_at: 0.0,
            bound_at: 0.0,
            served_elsewhere: 0,
        };
        let empty = |_| Slot {
            binding: no_binding,
            owner_index: NIL,
            in_use: false,
            generation: 0,
            dirty: false,
            written_used_at: 0.0,
            links: [Link::default(); 3],
        };
        let mut table = Self {
            slots: (0..slots).map(empty).collect(),
            index: HashTable::with_capacity(slots),
            free: List::default(),
            by_age: List::default(),
            owners: Owners::new(),
            by_server: Vec::new(),
            sketch: Sketch::new(slots),
            dirty: VecDeque::with_capacity(slots),
        };
        for slot in (0..slots as u32).rev() {
            table.free.push(&mut SlotLinks(&mut table.slots), ListKind::Server, slot);
        }
        table
    }

    /// Returns the number of bindings. Bindings whose server was lost are not counted: the index still finds
    /// them by key, but their slots are also in the free list.
    pub fn bound_count(&self) -> usize {
        self.slots.len() - self.free.len
    }

    /// Returns the number of owners that hold slots.
    pub fn owner_count(&self) -> usize {
        self.owners.len()
    }

    /// Returns the number of bindings to a server.
    pub fn server_bindings(&self, server: u32) -> usize {
        self.by_server.get(server as usize).map_or(0, |server_slots| server_slots.list.len)
    }

    /// Returns the number of slots that an owner holds.
    pub fn owner_slots(&self, owner: u64) -> usize {
        self.owners.find(owner).map_or(0, |owner_index| self.owners.slots(owner_index).len)
    }

    /// Looks up a requested key and counts the request. Drops the binding if it has been idle for too long or
    /// is too old.
    pub fn look_up(&mut self, now: f64, key: KeyHash, idle_timeout_ms: f64, max_age_ms: f64) -> Lookup {
        self.sketch.add(key.0);
        let Some(slot) = self.find_bound(key) else { return Lookup::NotBound };
        let binding = &mut self.slots[slot as usize].binding;
        if now - binding.used_at > idle_timeout_ms || now - binding.bound_at > max_age_ms {
            self.unbind(slot);
            return Lookup::Expired;
        }
        binding.used_at = now;
        self.by_age.remove(&mut SlotLinks(&mut self.slots), ListKind::Age, slot);
        self.by_age.push(&mut SlotLinks(&mut self.slots), ListKind::Age, slot);
        let owner_index = self.slots[slot as usize].owner_index;
        let mut list = self.owners.slots(owner_index);
        list.remove(&mut SlotLinks(&mut self.slots), ListKind::Owner, slot);
        list.push(&mut SlotLinks(&mut self.slots), ListKind::Owner, slot);
        self.owners.set_slots(owner_index, list);
        Lookup::Bound(slot)
    }

    /// Returns the slot of a key, whether or not its server was lost.
    fn find(&self, key: KeyHash) -> Option<u32> {
        self.index.find(key.0[0], |slot| self.slots[*slot as usize].binding.key == key).copied()
    }

    /// Returns the slot of a key that is bound.
    pub fn find_bound(&self, key: KeyHash) -> Option<u32> {
        self.find(key).filter(|slot| self.state(*slot) == State::Bound)
    }

    fn state(&self, slot_index: u32) -> State {
        let slot = &self.slots[slot_index as usize];
        match self.by_server.get(slot.binding.server as usize) {
            _ if !slot.in_use => State::Free,
            Some(server_slots) if server_slots.generation == slot.generation => State::Bound,
            _ => State::Lost,
        }
    }

    /// Returns the binding in a slot.
    pub fn binding(&self, slot: u32) -> &Binding {
        &self.slots[slot as usize].binding
    }

    /// Returns the binding in a bound slot. Its key, owner, server and time of use must not be changed.
    pub fn binding_mut(&mut self, slot: u32) -> &mut Binding {
        &mut self.slots[slot as usize].binding
    }

    /// Binds a key that is not bound. If its own owner holds the most slots, the key must be requested more
    /// often than the key that it would replace.
    pub fn insert(&mut self, idle_timeout_ms: f64, binding: Binding) -> InsertOutcome {
        self.expire(binding.used_at - idle_timeout_ms, MAX_CLEARED_PER_INSERT);
        // Without this, the key would be in two slots if its server was lost and its old slot has not been
        // reused yet.
        if let Some(slot) = self.find(binding.key) {
            self.clear(slot);
        }
        let mut outcome = InsertOutcome::UsedFree;
        if self.free.len == 0 {
            let Some(slot) = self.choose_victim(&binding) else { return InsertOutcome::Rejected };
            self.clear(slot);
            outcome = InsertOutcome::Evicted;
        }
        let slot = self.free.first;
        self.insert_at(slot, binding);
        self.mark_dirty(slot);
        outcome
    }

    /// Restores a stored binding: in its stored slot if that is free, or else in any free slot. Returns
    /// whether it is in its stored slot, or `None` if there is no free slot or the key is already in the
    /// table.
    pub fn restore(&mut self, stored_slot: u32, binding: Binding) -> Option<bool> {
        let is_free = |slot: &u32| (*slot as usize) < self.slots.len() && self.state(*slot) != State::Bound;
        let slot = Some(stored_slot).filter(is_free).or(Some(self.free.first).filter(|slot| *slot != NIL))?;
        if self.find(binding.key).is_some() {
            return None;
        }
        self.insert_at(slot, binding);
        if slot == stored_slot {
            // The store already has it like this.
            self.slots[stored_slot as usize].written_used_at = binding.used_at;
        } else {
            self.mark_dirty(slot);
        }
        Some(slot == stored_slot)
    }

    fn insert_at(&mut self, slot_index: u32, binding: Binding) {
        if self.state(slot_index) == State::Lost {
            self.clear(slot_index);
        }
        self.free.remove(&mut SlotLinks(&mut self.slots), ListKind::Server, slot_index);
        let owner_index = self.owners.find_or_add(binding.owner);
        let slot = &mut self.slots[slot_index as usize];
        (slot.binding, slot.owner_index, slot.in_use) = (binding, owner_index, true);
        let mut list = self.owners.slots(owner_index);
        list.push(&mut SlotLinks(&mut self.slots), ListKind::Owner, slot_index);
        self.owners.set_slots(owner_index, list);
        self.by_age.push(&mut SlotLinks(&mut self.slots), ListKind::Age, slot_index);
        self.add_to_server(slot_index);
        let Self { index, slots, .. } = self;
        index.insert_unique(binding.key.0[0], slot_index, |other| slots[*other as usize].binding.key.0[0]);
    }

    fn add_to_server(&mut self, slot: u32) {
        let server = self.slots[slot as usize].binding.server as usize;
        if server >= self.by_server.len() {
            self.by_server.resize(server + 1, ServerSlots::default());
        }
        let server_slots = &mut self.by_server[server];
        self.slots[slot as usize].generation = server_slots.generation;
        server_slots.list.push(&mut SlotLinks(&mut self.slots), ListKind::Server, slot);
    }

    /// Returns the slot that a new binding takes over: the least recently used one of the owner that holds
    /// the most slots.
    fn choose_victim(&self, new: &Binding) -> Option<u32> {
        let largest = self.owners.largest()?;
        let own = self.owners.find(new.owner);
        let own_len = own.map_or(0, |own| self.owners.slots(own).len);
        let own = own.filter(|_| own_len >= self.owners.slots(largest).len);
        let slot = self.owners.slots(own.unwrap_or(largest)).last;
        // Without this, keys that are requested only once would evict keys of the same owner that are
        // requested repeatedly.
        let request_count = |key: KeyHash| self.sketch.count(key.0);
        let wins = own.is_none() || request_count(new.key) > request_count(self.binding(slot).key);
        wins.then_some(slot)
    }

    /// Binds the key in a slot to another server.
    pub fn rebind(&mut self, now: f64, slot: u32, server: u32) {
        let previous_server = self.slots[slot as usize].binding.server as usize;
        self.by_server[previous_server].list.remove(&mut SlotLinks(&mut self.slots), ListKind::Server, slot);
        let binding = &mut self.slots[slot as usize].binding;
        (binding.server, binding.bound_at, binding.served_elsewhere) = (server, now, 0);
        self.add_to_server(slot);
        self.mark_dirty(slot);
    }

    /// Drops the binding in a slot.
    pub fn unbind(&mut self, slot: u32) {
        self.clear(slot);
        self.mark_dirty(slot);
    }

    /// Drops all bindings to a server and returns how many there were.
    pub fn lose_server(&mut self, server: u32) -> usize {
        let Some(server_slots) = self.by_server.get_mut(server as usize) else { return 0 };
        server_slots.generation = server_slots.generation.wrapping_add(1);
        let list = std::mem::take(&mut server_slots.list);
        self.free.splice(&mut SlotLinks(&mut self.slots), ListKind::Server, list);
        list.len
    }

    /// Clears up to `max` slots that were last used before the given time, the oldest first. Returns how many
    /// of them were bound.
    pub fn expire(&mut self, before: f64, max: usize) -> usize {
        let mut bound = 0;
        for _ in 0..max {
            let slot = self.by_age.last;
            if slot == NIL || self.binding(slot).used_at >= before {
                break;
            }
            if self.state(slot) == State::Bound {
                bound += 1;
                self.unbind(slot);
            } else {
                self.clear(slot);
            }
        }
        bound
    }

    /// Returns when the least recently used slot was last used.
    pub fn oldest_use(&self) -> Option<f64> {
        Some(self.by_age.last).filter(|slot| *slot != NIL).map(|slot| self.binding(slot).used_at)
    }

    /// Removes a slot from all lists and adds it to the free list, unless it is there already.
    fn clear(&mut self, slot_index: u32) {
        let state = self.state(slot_index);
        if state == State::Free {
            return;
        }
        let slot = &mut self.slots[slot_index as usize];
        slot.in_use = false;
        let (key, owner_index, server) = (slot.binding.key, slot.owner_index, slot.binding.server as usize);
        let Self { index, slots, .. } = self;
        if let Ok(entry) = index.find_entry(key.0[0], |other| *other == slot_index) {
            entry.remove();
        }
        let mut list = self.owners.slots(owner_index);
        list.remove(&mut SlotLinks(slots), ListKind::Owner, slot_index);
        self.owners.set_slots(owner_index, list);
        self.by_age.remove(&mut SlotLinks(slots), ListKind::Age, slot_index);
        if state == State::Bound {
            self.by_server[server].list.remove(&mut SlotLinks(slots), ListKind::Server, slot_index);
            self.free.push(&mut SlotLinks(slots), ListKind::Server, slot_index);
        }
    }

    // ---- Writing to the store

    /// Marks a slot as to be written.
    pub fn mark_dirty(&mut self, slot_index: u32) {
        let slot = &mut self.slots[slot_index as usize];
        if !std::mem::replace(&mut slot.dirty, true) {
            self.dirty.push_back(slot_index);
        }
    }

    /// Marks all bound slots as to be written.
    pub fn mark_all_dirty(&mut self) {
        for slot in 0..self.slots.len() as u32 {
            if self.state(slot) == State::Bound {
                self.mark_dirty(slot);
            }
        }
    }

    /// Marks a slot as to be written if the stored time of its last use is out of date by at least this much.
    pub fn mark_dirty_if_older(&mut self, slot_index: u32, by_ms: f64) {
        let slot = &self.slots[slot_index as usize];
        if slot.binding.used_at - slot.written_used_at >= by_ms {
            self.mark_dirty(slot_index);
        }
    }

    /// Returns the number of slots that wait to be written.
    pub fn dirty_count(&self) -> usize {
        self.dirty.len()
    }

    /// Removes the next slot that waits to be written and returns it with its binding, if it is bound.
    pub fn take_dirty(&mut self) -> Option<(u32, Option<Binding>)> {
        let slot_index = self.dirty.pop_front()?;
        let bound = self.state(slot_index) == State::Bound;
        let slot = &mut self.slots[slot_index as usize];
        slot.dirty = false;
        slot.written_used_at = slot.binding.used_at;
        Some((slot_index, bound.then_some(slot.binding)))
    }
}
