//! Approximate counts of recent requests by key, in a fixed size: a count-min sketch with ageing, as in
//! TinyLFU (Einziger, Friedman and Manes).

/// Counters of each key, one in each row.
const ROWS: u64 = 4;
/// Counters in a row for each slot of the table. With fewer, so many keys of a scan share a counter that the
/// scan's keys seem to be requested often.
const COUNTERS_PER_SLOT: usize = 4;
/// The maximum of a four-bit counter.
const MAX_COUNT: u64 = 15;
/// All counts are halved after this many requests for each slot of the table.
const HALVE_AFTER_REQUESTS_PER_SLOT: usize = 10;
/// Mask for halving the sixteen counters of a word at once: clears the bits that the shift moves into the
/// neighbouring counter.
const HALVING_MASK: u64 = 0x7777_7777_7777_7777;

/// Counts of four bits each. A count is never too low, except for ageing and the maximum of a counter.
pub struct Sketch {
    words: Vec<u64>,
    /// Mask that gives the position of a counter in its row.
    mask: u64,
    /// Requests counted since the counts were halved; halved with them.
    requests: usize,
    /// Requests at which all counts are halved.
    halve_at: usize,
}

impl Sketch {
    /// Returns an empty sketch for a table of this many slots.
    pub fn new(slots: usize) -> Self {
        let counters = (slots * COUNTERS_PER_SLOT).next_power_of_two().max(64);
        Self {
            words: vec![0; counters / 16 * ROWS as usize],
            mask: counters as u64 - 1,
            requests: 0,
            halve_at: slots.max(64) * HALVE_AFTER_REQUESTS_PER_SLOT,
        }
    }

    /// Returns the counters of a key, each as the index of its word and its shift in that word.
    fn counters(&self, hash: [u64; 2]) -> [(usize, u32); ROWS as usize] {
        let row_words = (self.mask + 1) / 16;
        std::array::from_fn(|row| {
            let row = row as u64;
            let position = hash[0].wrapping_add(hash[1].rotate_left(17 * row as u32 + 1)) & self.mask;
            ((row * row_words + position / 16) as usize, (position % 16) as u32 * 4)
        })
    }

    /// Counts a request of a key.
    pub fn add(&mut self, hash: [u64; 2]) {
        let count = self.count(hash);
        if count < MAX_COUNT {
            // Only the lowest counters are incremented: the others are higher because other keys share them.
            for (word, shift) in self.counters(hash) {
                if self.words[word] >> shift & MAX_COUNT == count {
                    self.words[word] += 1 << shift;
                }
            }
        }
        self.requests += 1;
        if self.requests >= self.halve_at {
            self.requests /= 2;
            self.words.iter_mut().for_each(|word| *word = *word >> 1 & HALVING_MASK);
        }
    }

    /// Returns the approximate number of recent requests of a key.
    pub fn count(&self, hash: [u64; 2]) -> u64 {
        let counts = self.counters(hash).map(|(word, shift)| self.words[word] >> shift & MAX_COUNT);
        counts.into_iter().min().unwrap_or(0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn counts_are_never_too_low_and_rarely_too_high() {
        let mut random = fastrand::Rng::with_seed(1);
        let keys: Vec<[u64; 2]> = (0..1_000).map(|_| [random.u64(..), random.u64(..)]).collect();
        let mut sketch = Sketch::new(1_000);
        for (n, key) in keys.iter().enumerate() {
            (0..n % 8).for_each(|_| sketch.add(*key));
        }
        let errors = keys.iter().enumerate().map(|(n, key)| sketch.count(*key) as i64 - (n % 8) as i64);
        let errors: Vec<i64> = errors.collect();
        assert!(errors.iter().all(|error| *error >= 0));
        assert!(errors.iter().filter(|error| **error > 1).count() < 50, "{errors:?}");
    }

    #[test]
    fn counts_of_keys_that_are_no_longer_requested_are_halved() {
        let mut sketch = Sketch::new(64);
        (0..40).for_each(|_| sketch.add([7, 7]));
        assert_eq!(sketch.count([7, 7]), MAX_COUNT);
        let mut random = fastrand::Rng::with_seed(2);
        (0..700).for_each(|_| sketch.add([random.u64(..), random.u64(..)]));
        assert!((6..=9).contains(&sketch.count([7, 7])), "{}", sketch.count([7, 7]));
    }
}
