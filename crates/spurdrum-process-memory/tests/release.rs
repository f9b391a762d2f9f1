//! Tests of the measurement and of the return of freed memory.

use spurdrum_process_memory::{release, ResidentMemory};

const BLOCK: usize = 40 * 1024;
const BLOCKS: usize = 600;

/// Guards against a process that keeps the memory of connections that have gone.
#[test]
fn what_was_freed_between_blocks_in_use_is_returned_to_the_system() {
    let memory = ResidentMemory::open().expect("shown");
    let before = memory.read().expect("figures");
    let mut blocks: Vec<Vec<u8>> = (0..BLOCKS).map(|_| vec![1; BLOCK]).collect();
    let full = memory.read().expect("figures");
    assert!(full >= before + (BLOCK * BLOCKS) as u64, "{before} {full}");
    // Every tenth block stays in use, so that the heap cannot shrink at its end.
    let mut index = 0;
    blocks.retain(|_| {
        index += 1;
        index % 10 == 0
    });
    release();
    let after = memory.read().expect("figures");
    assert!(after < before + (BLOCK * BLOCKS / 5) as u64, "{before} {full} {after}");
    assert_eq!(blocks.len(), BLOCKS / 10);
}
