//! Tests of the buffer for bodies.

use super::*;

/// Guards against bodies that take more memory than their bytes when they arrive in small pieces.
#[test]
fn a_body_takes_the_memory_of_its_bytes_however_it_is_cut() {
    for piece in [1, 3, 100, 4096, 16 * 1024] {
        let mut buffer = BodyBuffer::new(None);
        for _ in 0..60_000 / piece {
            buffer.push(&vec![b'x'; piece]);
            assert!(buffer.bytes.capacity() < buffer.len() + BODY_GROWTH_BYTES);
        }
        let length = buffer.len();
        assert_eq!(buffer.into_bytes().len(), length);
    }
}

#[test]
fn a_body_of_known_length_is_allocated_once() {
    let mut buffer = BodyBuffer::new(Some(10_000));
    buffer.push(b"work");
    assert_eq!(buffer.bytes.capacity(), 10_000);
    buffer.push(&[b'x'; 9_996]);
    assert_eq!((buffer.len(), buffer.bytes.capacity()), (10_000, 10_000));
}

#[test]
fn what_is_cleared_takes_no_memory() {
    let mut buffer = BodyBuffer::new(None);
    buffer.push(&[b'x'; 9_000]);
    buffer.clear();
    assert!(buffer.is_empty());
    assert_eq!(buffer.bytes.capacity(), 0);
}
