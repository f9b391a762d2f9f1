//! A buffer for the beginning of a body.
//!
//! The frames that hyper passes on are slices of its read buffers: each keeps a whole buffer alive, however
//! few bytes it holds. Bodies that wait are therefore copied, so that a body takes the memory of its bytes and
//! no more, whatever the pieces in which it arrives.

use bytes::Bytes;

/// The step in which a buffer for a body of unknown length grows.
pub const BODY_GROWTH_BYTES: usize = 8 * 1024;

/// The bytes of a body that have been received so far, in one piece of memory.
#[derive(Debug, Default)]
pub struct BodyBuffer {
    bytes: Vec<u8>,
    /// The capacity that the whole body needs, if its length is known.
    expected: usize,
}

impl BodyBuffer {
    /// Creates an empty buffer. `length` is the length of the body, if it is known.
    pub fn new(length: Option<usize>) -> Self {
        Self { bytes: Vec::new(), expected: length.unwrap_or(0) }
    }

    /// Returns the number of bytes received.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether nothing has been received.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the bytes received.
    pub fn as_slice(&self) -> &[u8] {
        &self.bytes
    }

    /// Appends a copy of a frame.
    pub fn push(&mut self, frame: &[u8]) {
        let needed = self.bytes.len() + frame.len();
        if needed > self.bytes.capacity() {
            let capacity = needed.next_multiple_of(BODY_GROWTH_BYTES);
            let capacity = if needed <= self.expected { self.expected } else { capacity };
            // Doubling would take up to twice the memory that the body is charged.
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(frame);
    }

    /// Discards the bytes and releases their memory.
    pub fn clear(&mut self) {
        self.bytes = Vec::new();
    }

    /// Returns the bytes received.
    pub fn into_bytes(mut self) -> Bytes {
        self.bytes.shrink_to_fit();
        self.bytes.into()
    }
}

#[cfg(test)]
mod tests;
