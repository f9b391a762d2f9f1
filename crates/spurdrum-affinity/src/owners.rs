//! The number of slots that each owner holds, and the owner that holds most. Every operation takes constant
//! time, whatever the number of owners.

use hashbrown::HashTable;

use crate::list::{Link, Linked, List, NIL};

/// Sizes below this have a bucket each; above it, each doubling has [`BUCKETS_PER_DOUBLING`].
const EXACT_SIZES: usize = 16;
/// Buckets for each doubling of the size: sizes in one bucket differ by less than an eighth.
const BUCKETS_PER_DOUBLING: usize = 8;
const BUCKETS: usize = 256;

/// The owners that hold slots, ordered by the number of slots.
pub struct Owners {
    owners: Vec<Owner>,
    /// Unused indices of `owners`.
    free: Vec<u32>,
    /// Finds an index of `owners` by the owner's id.
    index: HashTable<u32>,
    /// Owners by the bucket of their size.
    buckets: Vec<List>,
    /// A bit for each bucket that is not empty.
    non_empty: [u64; BUCKETS / 64],
}

struct Owner {
    id: u64,
    /// The owner's slots, most recently used first.
    slots: List,
    /// Link in the list of its bucket.
    link: Link,
}

struct OwnerLinks<'a>(&'a mut Vec<Owner>);

impl Linked<()> for OwnerLinks<'_> {
    fn link(&mut self, index: u32, (): ()) -> &mut Link {
        &mut self.0[index as usize].link
    }
}

/// Returns the bucket of owners that hold this many slots.
fn bucket(size: usize) -> usize {
    if size < EXACT_SIZES {
        return size;
    }
    let octave = size.ilog2() as usize;
    (octave - 4) * BUCKETS_PER_DOUBLING + (size >> (octave - 3)) + EXACT_SIZES - BUCKETS_PER_DOUBLING
}

/// Hashes an owner's id. A simple mixing function is enough: owners are few, and their ids are chosen by the
/// node itself or are addresses.
fn hash(id: u64) -> u64 {
    let x = (id ^ id >> 32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x ^ x >> 29
}

impl Owners {
    /// Returns a set without owners.
    pub fn new() -> Self {
        Self {
            owners: Vec::new(),
            free: Vec::new(),
            index: HashTable::new(),
            buckets: vec![List::default(); BUCKETS],
            non_empty: [0; BUCKETS / 64],
        }
    }

    /// Returns the number of owners that hold slots.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Returns the index of an owner by its id, if it holds any slot.
    pub fn find(&self, id: u64) -> Option<u32> {
        self.index.find(hash(id), |index| self.owners[*index as usize].id == id).copied()
    }

    /// Returns the index of an owner by its id and adds the owner if it is new. The caller must give it a
    /// slot next.
    pub fn find_or_add(&mut self, id: u64) -> u32 {
        if let Some(index) = self.find(id) {
            return index;
        }
        let owner = Owner { id, slots: List::default(), link: Link::default() };
        let new_index = match self.free.pop() {
            Some(free_index) => {
                self.owners[free_index as usize] = owner;
                free_index
            }
            None => {
                self.owners.push(owner);
                (self.owners.len() - 1) as u32
            }
        };
        let Self { index, owners, .. } = self;
        index.insert_unique(hash(id), new_index, |other| hash(owners[*other as usize].id));
        new_index
    }

    /// Returns the list of an owner's slots.
    pub fn slots(&self, owner_index: u32) -> List {
        self.owners[owner_index as usize].slots
    }

    /// Replaces the list of an owner's slots after it has changed. An owner without slots is removed.
    pub fn set_slots(&mut self, owner_index: u32, slots: List) {
        let owner = &mut self.owners[owner_index as usize];
        let previous_len = std::mem::replace(&mut owner.slots, slots).len;
        let (from, to) = (bucket(previous_len), bucket(slots.len));
        if from != to {
            if previous_len > 0 {
                self.buckets[from].remove(&mut OwnerLinks(&mut self.owners), (), owner_index);
                if self.buckets[from].len == 0 {
                    self.non_empty[from / 64] &= !(1 << (from % 64));
                }
            }
            if slots.len > 0 {
                self.buckets[to].push(&mut OwnerLinks(&mut self.owners), (), owner_index);
                self.non_empty[to / 64] |= 1 << (to % 64);
            }
        }
        if slots.len == 0 {
            let id = self.owners[owner_index as usize].id;
            if let Ok(entry) = self.index.find_entry(hash(id), |other| *other == owner_index) {
                entry.remove();
                self.free.push(owner_index);
            }
        }
    }

    /// Returns an owner that holds the most slots, or less than an eighth fewer than that.
    pub fn largest(&self) -> Option<u32> {
        let word = self.non_empty.iter().rposition(|word| *word != 0)?;
        let bucket = word * 64 + 63 - self.non_empty[word].leading_zeros() as usize;
        Some(self.buckets[bucket].last).filter(|owner_index| *owner_index != NIL)
    }
}

#[cfg(test)]
mod tests {
    use std::collections::HashMap;

    use super::*;

    #[test]
    fn buckets_grow_with_sizes_and_sizes_in_one_bucket_differ_by_less_than_an_eighth() {
        let mut smallest = 0;
        for size in 1..2_000_000 {
            assert!(bucket(size) == bucket(size - 1) || bucket(size) == bucket(size - 1) + 1, "{size}");
            smallest = if bucket(size) == bucket(size - 1) { smallest } else { size };
            assert!(size as f64 / (smallest as f64) < 1.125, "{size}");
        }
        assert!(bucket(u32::MAX as usize) < BUCKETS);
    }

    #[test]
    fn the_largest_owner_is_the_largest_within_an_eighth() {
        let mut random = fastrand::Rng::with_seed(3);
        let (mut owners, mut sizes) = (Owners::new(), HashMap::<u64, usize>::new());
        for _ in 0..20_000 {
            let id = random.u64(0..50);
            let size = if random.bool() { random.usize(0..5) } else { random.usize(0..2_000) };
            if size > 0 || sizes.contains_key(&id) {
                let owner_index = owners.find_or_add(id);
                owners.set_slots(owner_index, List { len: size, ..List::default() });
            }
            if size == 0 {
                sizes.remove(&id)
            } else {
                sizes.insert(id, size)
            };
            let max = sizes.values().max().copied().unwrap_or(0);
            let largest = owners.largest().map_or(0, |owner_index| owners.slots(owner_index).len);
            assert!(largest <= max && largest as f64 * 1.125 >= max as f64, "{largest} of {max}");
            assert_eq!(owners.len(), sizes.len());
        }
        assert!(owners.owners.len() <= 50);
    }
}
