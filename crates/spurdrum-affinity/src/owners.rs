//! Who holds how many places, and who holds most, each in a few steps whatever their number.

use hashbrown::HashTable;

use crate::list::{Link, Linked, List, NIL};

/// Sizes up to this have a bucket each; above, each doubling has [`PARTS`].
const EXACT: usize = 16;
/// Buckets for each doubling: sizes of one bucket differ by less than an eighth.
const PARTS: usize = 8;
const BUCKETS: usize = 256;

/// Those who hold places, by size.
pub struct Owners {
    slots: Vec<Owner>,
    free: Vec<u32>,
    index: HashTable<u32>,
    buckets: Vec<List>,
    /// Which buckets have any.
    taken: [u64; BUCKETS / 64],
}

struct Owner {
    id: u64,
    /// Its places, the one used last first.
    places: List,
    link: Link,
}

struct Slots<'a>(&'a mut Vec<Owner>);

impl Linked<()> for Slots<'_> {
    fn link(&mut self, at: u32, (): ()) -> &mut Link {
        &mut self.0[at as usize].link
    }
}

fn bucket(size: usize) -> usize {
    if size < EXACT {
        return size;
    }
    let octave = size.ilog2() as usize;
    (octave - 4) * PARTS + (size >> (octave - 3)) + EXACT - PARTS
}

/// Owners are few and named by the node itself or by addresses: a plain mix keeps them apart.
fn hash(id: u64) -> u64 {
    let x = (id ^ id >> 32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x ^ x >> 29
}

impl Owners {
    /// Nobody holds anything.
    pub fn new() -> Self {
        Self {
            slots: Vec::new(),
            free: Vec::new(),
            index: HashTable::new(),
            buckets: vec![List::default(); BUCKETS],
            taken: [0; BUCKETS / 64],
        }
    }

    /// Owners that hold something.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// The owner of this name, if it holds anything.
    pub fn find(&self, id: u64) -> Option<u32> {
        self.index.find(hash(id), |at| self.slots[*at as usize].id == id).copied()
    }

    /// The owner of this name, which the caller gives a place next.
    pub fn find_or_add(&mut self, id: u64) -> u32 {
        if let Some(at) = self.find(id) {
            return at;
        }
        let owner = Owner { id, places: List::default(), link: Link::default() };
        let at = match self.free.pop() {
            Some(at) => {
                self.slots[at as usize] = owner;
                at
            }
            None => {
                self.slots.push(owner);
                (self.slots.len() - 1) as u32
            }
        };
        let Self { index, slots, .. } = self;
        index.insert_unique(hash(id), at, |at| hash(slots[*at as usize].id));
        at
    }

    /// Its places.
    pub fn places(&self, at: u32) -> List {
        self.slots[at as usize].places
    }

    /// Its places have changed. One that holds none is forgotten.
    pub fn set_places(&mut self, at: u32, places: List) {
        let owner = &mut self.slots[at as usize];
        let before = std::mem::replace(&mut owner.places, places).len;
        let (from, to) = (bucket(before), bucket(places.len));
        if from != to {
            if before > 0 {
                self.buckets[from].remove(&mut Slots(&mut self.slots), (), at);
                if self.buckets[from].len == 0 {
                    self.taken[from / 64] &= !(1 << (from % 64));
                }
            }
            if places.len > 0 {
                self.buckets[to].push(&mut Slots(&mut self.slots), (), at);
                self.taken[to / 64] |= 1 << (to % 64);
            }
        }
        if places.len == 0 {
            let id = self.slots[at as usize].id;
            if let Ok(found) = self.index.find_entry(hash(id), |other| *other == at) {
                found.remove();
                self.free.push(at);
            }
        }
    }

    /// One who holds most, or less than an eighth below that.
    pub fn largest(&self) -> Option<u32> {
        let word = self.taken.iter().rposition(|word| *word != 0)?;
        let bucket = word * 64 + 63 - self.taken[word].leading_zeros() as usize;
        Some(self.buckets[bucket].last).filter(|at| *at != NIL)
    }
}

#[cfg(test)]
mod tests {
    use std::collections::HashMap;

    use super::*;

    #[test]
    fn buckets_grow_with_sizes_and_hold_what_differs_by_less_than_an_eighth() {
        let mut begins = 0;
        for size in 1..2_000_000 {
            assert!(bucket(size) == bucket(size - 1) || bucket(size) == bucket(size - 1) + 1, "{size}");
            begins = if bucket(size) == bucket(size - 1) { begins } else { size };
            assert!(size as f64 / (begins as f64) < 1.125, "{size}");
        }
        assert!(bucket(u32::MAX as usize) < BUCKETS);
    }

    #[test]
    fn the_largest_is_the_largest_by_an_eighth_at_most() {
        let mut random = fastrand::Rng::with_seed(3);
        let (mut owners, mut sizes) = (Owners::new(), HashMap::<u64, usize>::new());
        for _ in 0..20_000 {
            let id = random.u64(0..50);
            let size = if random.bool() { random.usize(0..5) } else { random.usize(0..2_000) };
            if size > 0 || sizes.contains_key(&id) {
                let at = owners.find_or_add(id);
                owners.set_places(at, List { len: size, ..List::default() });
            }
            if size == 0 {
                sizes.remove(&id)
            } else {
                sizes.insert(id, size)
            };
            let most = sizes.values().max().copied().unwrap_or(0);
            let largest = owners.largest().map_or(0, |at| owners.places(at).len);
            assert!(largest <= most && largest as f64 * 1.125 >= most as f64, "{largest} of {most}");
            assert_eq!(owners.len(), sizes.len());
        }
        assert!(owners.slots.len() <= 50);
    }
}
