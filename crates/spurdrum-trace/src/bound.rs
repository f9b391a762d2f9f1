//! When a file is full. No I/O.

/// Two files at the most, each with half of the bytes that are allowed: the one that is written, and the one before.
#[derive(Clone, Copy, Debug)]
pub struct FileRotation {
    half: u64,
    held: u64,
}

impl FileRotation {
    /// So many bytes together; the file has so many already.
    #[must_use]
    pub fn new(most: u64, held: u64) -> Self {
        Self { half: (most / 2).max(1), held }
    }

    /// So many bytes are to be written. Whether a new file has to be begun for them first. A piece that is larger than any
    /// file has one of its own.
    pub fn needs_rotation(&mut self, bytes: u64) -> bool {
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
        let mut bound = FileRotation::new(100, 30);
        assert!(!bound.needs_rotation(20));
        assert!(bound.needs_rotation(1), "51 of 50");
        assert!(!bound.needs_rotation(49));
        assert!(bound.needs_rotation(70));
        assert!(bound.needs_rotation(1));
        assert!(!FileRotation::new(0, 0).needs_rotation(5), "an empty file is not put away");
    }
}
