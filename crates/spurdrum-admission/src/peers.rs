//! A bounded table of the addresses that connections come from.

use std::collections::{BTreeSet, HashMap};
use std::net::IpAddr;
use std::time::Duration;

use crate::reuse::ReuseEstimator;
use crate::Candidate;

/// The key of a peer: an IPv4 address, or an IPv6 prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct PeerKey(pub IpAddr);

impl PeerKey {
    pub fn new(address: IpAddr, prefix: u8) -> Self {
        match address {
            IpAddr::V4(_) => Self(address),
            // An IPv4-mapped address counts as its IPv4 address; otherwise a single /64 would contain all of
            // IPv4.
            IpAddr::V6(v6) => v6.to_ipv4_mapped().map_or_else(
                || {
                    let mask = u128::MAX << (128 - u32::from(prefix));
                    Self(IpAddr::V6((u128::from(v6) & mask).into()))
                },
                |v4| Self(IpAddr::V4(v4)),
            ),
        }
    }
}

#[derive(Debug, Default)]
pub(crate) struct Peer {
    pub open: usize,
    /// The peer's connections that may be shed, in the order in which they are.
    pub candidates: BTreeSet<Candidate>,
    pub reuse: ReuseEstimator,
    last_seen: Duration,
}

/// The table of peers. Peers with open connections are always in it, so these can exceed the bound; of the
/// others, the most recently seen are kept within it.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    table: HashMap<PeerKey, Peer>,
    /// Peers with open connections, ordered by their number.
    by_open: BTreeSet<(usize, PeerKey)>,
    /// Peers without open connections, ordered by when they were last seen.
    inactive: BTreeSet<(Duration, PeerKey)>,
    max_peers: usize,
}

impl Peers {
    pub fn new(max_peers: usize) -> Self {
        Self { max_peers, ..Self::default() }
    }

    pub fn get(&self, key: PeerKey) -> Option<&Peer> {
        self.table.get(&key)
    }

    pub fn get_mut(&mut self, key: PeerKey) -> &mut Peer {
        self.table.entry(key).or_default()
    }

    pub fn open(&self, key: PeerKey) -> usize {
        self.table.get(&key).map_or(0, |peer| peer.open)
    }

    pub fn opened(&mut self, now: Duration, key: PeerKey) {
        let peer = self.table.entry(key).or_default();
        self.inactive.remove(&(peer.last_seen, key));
        self.by_open.remove(&(peer.open, key));
        peer.open += 1;
        peer.last_seen = now;
        self.by_open.insert((peer.open, key));
    }

    pub fn closed(&mut self, now: Duration, key: PeerKey) {
        let Some(peer) = self.table.get_mut(&key) else { return };
        self.by_open.remove(&(peer.open, key));
        peer.open -= 1;
        peer.last_seen = now;
        if peer.open > 0 {
            self.by_open.insert((peer.open, key));
            return;
        }
        self.inactive.insert((now, key));
        while self.table.len() > self.max_peers {
            let Some((_, oldest)) = self.inactive.pop_first() else { return };
            self.table.remove(&oldest);
        }
    }

    /// Returns the number of peers with open connections.
    pub fn active(&self) -> usize {
        self.by_open.len()
    }

    /// Returns the peer with the most open connections, and their number.
    pub fn heaviest(&self) -> Option<(usize, PeerKey)> {
        self.by_open.last().copied()
    }

    pub fn len(&self) -> usize {
        self.table.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_table_keeps_its_bound_and_evicts_the_least_recently_seen_peer() {
        let mut peers = Peers::new(10);
        let key = |n: u32| PeerKey::new(IpAddr::V4(n.into()), 64);
        for n in 0..1000 {
            let now = Duration::from_millis(n.into());
            peers.opened(now, key(n));
            peers.closed(now, key(n));
            assert!(peers.len() <= 10);
        }
        assert!(peers.get(key(999)).is_some() && peers.get(key(989)).is_none());
        peers.opened(Duration::from_secs(9), key(990));
        peers.opened(Duration::from_secs(9), key(5000));
        peers.closed(Duration::from_secs(9), key(5000));
        assert!(peers.get(key(990)).is_some(), "one with a connection stays");
        assert_eq!((peers.active(), peers.heaviest()), (1, Some((1, key(990)))));
    }

    #[test]
    fn an_ipv6_prefix_is_one_peer_and_mapped_addresses_are_distinct_peers() {
        let key = |text: &str| PeerKey::new(text.parse().expect("an address"), 64);
        assert_eq!(key("2001:db8::1"), key("2001:db8::ffff:2"));
        assert_ne!(key("2001:db8::1"), key("2001:db8:0:1::1"));
        assert_eq!(key("::ffff:10.0.0.1"), key("10.0.0.1"));
        assert_ne!(key("::ffff:10.0.0.1"), key("::ffff:10.0.0.2"));
        let single_address = PeerKey::new("2001:db8::1".parse().expect("an address"), 128);
        assert_ne!(single_address, key("2001:db8::1"));
    }
}
