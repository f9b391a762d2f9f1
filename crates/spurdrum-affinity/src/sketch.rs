//! How often keys were asked for of late, about, in a fixed size (a count-min sketch that ages, as in TinyLFU by Einziger,
//! Friedman and Manes).

/// Counters that a key has, each in a row of its own.
const ROWS: u64 = 4;
/// Counters of a row for each place: fewer are shared by so many keys of a scan that its keys seem to come often.
const WIDTH: usize = 4;
/// What a counter of four bits holds.
const MOST: u64 = 15;
/// All counts are halved after so many asks for each place.
const AGES_AFTER: usize = 10;
/// Sixteen counters in a word, halved at once: what falls into the neighbour is masked away.
const HALVED: u64 = 0x7777_7777_7777_7777;

/// Counts of four bits; never too low but for their age and the most that they hold.
pub struct Sketch {
    words: Vec<u64>,
    mask: u64,
    asks: usize,
    ages_at: usize,
}

impl Sketch {
    /// For a table of so many places.
    pub fn new(places: usize) -> Self {
        let counters = (places * WIDTH).next_power_of_two().max(64);
        Self {
            words: vec![0; counters / 16 * ROWS as usize],
            mask: counters as u64 - 1,
            asks: 0,
            ages_at: places.max(64) * AGES_AFTER,
        }
    }

    /// A key's counters: word and shift.
    fn places(&self, hash: [u64; 2]) -> [(usize, u32); ROWS as usize] {
        let row_words = (self.mask + 1) / 16;
        std::array::from_fn(|row| {
            let row = row as u64;
            let at = hash[0].wrapping_add(hash[1].rotate_left(17 * row as u32 + 1)) & self.mask;
            ((row * row_words + at / 16) as usize, (at % 16) as u32 * 4)
        })
    }

    /// The key was asked for.
    pub fn add(&mut self, hash: [u64; 2]) {
        let count = self.count(hash);
        if count < MOST {
            // Only the lowest are raised: others are higher for the sake of other keys.
            for (word, shift) in self.places(hash) {
                if self.words[word] >> shift & MOST == count {
                    self.words[word] += 1 << shift;
                }
            }
        }
        self.asks += 1;
        if self.asks >= self.ages_at {
            self.asks /= 2;
            self.words.iter_mut().for_each(|word| *word = *word >> 1 & HALVED);
        }
    }

    /// How often the key was asked for, about.
    pub fn count(&self, hash: [u64; 2]) -> u64 {
        let counts = self.places(hash).map(|(word, shift)| self.words[word] >> shift & MOST);
        counts.into_iter().min().unwrap_or(0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn counts_are_never_too_low_and_seldom_too_high() {
        let mut random = fastrand::Rng::with_seed(1);
        let keys: Vec<[u64; 2]> = (0..1_000).map(|_| [random.u64(..), random.u64(..)]).collect();
        let mut sketch = Sketch::new(1_000);
        for (n, key) in keys.iter().enumerate() {
            (0..n % 8).for_each(|_| sketch.add(*key));
        }
        let off = keys.iter().enumerate().map(|(n, key)| sketch.count(*key) as i64 - (n % 8) as i64);
        let off: Vec<i64> = off.collect();
        assert!(off.iter().all(|off| *off >= 0));
        assert!(off.iter().filter(|off| **off > 1).count() < 50, "{off:?}");
    }

    #[test]
    fn what_was_often_asked_for_is_forgotten_by_halves() {
        let mut sketch = Sketch::new(64);
        (0..40).for_each(|_| sketch.add([7, 7]));
        assert_eq!(sketch.count([7, 7]), MOST);
        let mut random = fastrand::Rng::with_seed(2);
        (0..700).for_each(|_| sketch.add([random.u64(..), random.u64(..)]));
        assert!((6..=9).contains(&sketch.count([7, 7])), "{}", sketch.count([7, 7]));
    }
}
