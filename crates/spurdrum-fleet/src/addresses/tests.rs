//! Which addresses rigs have that run at the same time.

use super::*;

/// Guards against two rigs at once whose processes have the addresses, and are dealt the ports, of each other's.
#[test]
fn rigs_that_begin_with_the_same_block_have_different_addresses() {
    let from = 17;
    let first = Block::lease(from).expect("leased");
    let second = Block::lease(from).expect("leased");
    assert_ne!(first.address(1), second.address(1));
    let freed = first.address(1);
    drop(first);
    assert_eq!(
        Block::lease(from).expect("leased").address(1),
        freed,
        "a block is free again with its owner's end"
    );
}

#[test]
fn whoever_begins_at_the_last_block_goes_on_with_the_first() {
    let last = BLOCKS.len() as u8 - 1;
    let (one, two) = (Block::lease(last).expect("leased"), Block::lease(last).expect("leased"));
    assert_ne!(one.address(0), two.address(0));
}

#[test]
fn nodes_have_addresses_of_the_block_and_not_the_one_of_the_lease() {
    let block = Block::lease(40).expect("leased");
    let most = 16_384;
    let addresses: Vec<IpAddr> = (0..=most).map(|n| block.address(n)).collect();
    let is_own = |address: &IpAddr| matches!(address, IpAddr::V4(v4) if v4.octets()[1] == block.second_byte);
    assert!(addresses.iter().all(is_own));
    let [third, fourth] = LEASE.0;
    let lease = IpAddr::V4(Ipv4Addr::new(127, block.second_byte, third, fourth));
    assert!(!addresses.contains(&lease));
    let different: std::collections::HashSet<&IpAddr> = addresses.iter().collect();
    assert_eq!(different.len(), addresses.len());
}
