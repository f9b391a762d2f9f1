//! Rigs that run at the same time get different addresses.

use super::*;

/// Without this, two rigs that run at the same time would use each other's addresses and ports.
#[test]
fn rigs_that_start_at_the_same_block_get_different_addresses() {
    let from = 17;
    let first = Block::lease(from).expect("leased");
    let second = Block::lease(from).expect("leased");
    assert_ne!(first.address(1), second.address(1));
    let freed = first.address(1);
    drop(first);
    assert_eq!(
        Block::lease(from).expect("leased").address(1),
        freed,
        "a block is free again when its owner ends"
    );
}

#[test]
fn the_search_for_a_block_wraps_around_at_the_last_one() {
    let last = BLOCKS.len() as u8 - 1;
    let (one, two) = (Block::lease(last).expect("leased"), Block::lease(last).expect("leased"));
    assert_ne!(one.address(0), two.address(0));
}

#[test]
fn nodes_get_distinct_addresses_of_the_block_and_never_the_lease_address() {
    let block = Block::lease(40).expect("leased");
    let max_nodes = 16_384;
    let addresses: Vec<IpAddr> = (0..=max_nodes).map(|n| block.address(n)).collect();
    let is_own = |address: &IpAddr| matches!(address, IpAddr::V4(v4) if v4.octets()[1] == block.second_byte);
    assert!(addresses.iter().all(is_own));
    let [third, fourth] = LEASE.0;
    let lease = IpAddr::V4(Ipv4Addr::new(127, block.second_byte, third, fourth));
    assert!(!addresses.contains(&lease));
    let distinct: std::collections::HashSet<&IpAddr> = addresses.iter().collect();
    assert_eq!(distinct.len(), addresses.len());
}
