//! Decides when a file is full. No I/O.

/// Rotation between two files, the current one and the previous one, each with half of the allowed size.
#[derive(Clone, Copy, Debug)]
pub struct FileRotation {
    /// Limit on the size of one file, in bytes.
    max_file_bytes: u64,
    /// Size of the current file, in bytes.
    file_bytes: u64,
}

impl FileRotation {
    /// Returns the rotation for both files together of up to `max_bytes`; the current file has `file_bytes`
    /// already.
    #[must_use]
    pub fn new(max_bytes: u64, file_bytes: u64) -> Self {
        Self { max_file_bytes: (max_bytes / 2).max(1), file_bytes }
    }

    /// Counts bytes that are about to be written, and returns whether a new file has to be started for them
    /// first. A piece that is larger than the limit gets a file of its own.
    pub fn needs_rotation(&mut self, bytes: u64) -> bool {
        let rotates = self.file_bytes > 0 && self.file_bytes.saturating_add(bytes) > self.max_file_bytes;
        self.file_bytes = if rotates { bytes } else { self.file_bytes.saturating_add(bytes) };
        rotates
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn no_file_exceeds_half_of_the_limit_unless_a_single_piece_does() {
        let mut rotation = FileRotation::new(100, 30);
        assert!(!rotation.needs_rotation(20));
        assert!(rotation.needs_rotation(1), "51 of 50");
        assert!(!rotation.needs_rotation(49));
        assert!(rotation.needs_rotation(70));
        assert!(rotation.needs_rotation(1));
        assert!(!FileRotation::new(0, 0).needs_rotation(5), "an empty file is not replaced");
    }
}
