//! When a file is full. No I/O.

/// Two files at the most, each with half of the bytes that are allowed: the one that is written, and the one before.
#[derive(Clone, Copy, Debug)]
pub struct Bound {
    half: u64,
    held: u64,
}

impl Bound {
    /// So many bytes together; the file has so many already.
    #[must_use]
    pub fn new(most: u64, held: u64) -> Self {
        Self { half: (most / 2).max(1), held }
    }

    /// So many bytes are to be written. Whether a new file has to be begun for them first. A piece that is larger than any
    /// file has one of its own.
    pub fn turns(&mut self, bytes: u64) -> bool {
        let turns = self.held > 0 && self.held.saturating_add(bytes) > self.half;
        self.held = if turns { bytes } else { self.held.saturating_add(bytes) };
        turns
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn no_file_passes_its_half_unless_one_piece_does() {
        let mut bound = Bound::new(100, 30);
        assert!(!bound.turns(20));
        assert!(bound.turns(1), "51 of 50");
        assert!(!bound.turns(49));
        assert!(bound.turns(70));
        assert!(bound.turns(1));
        assert!(!Bound::new(0, 0).turns(5), "an empty file is not put away");
    }
}
