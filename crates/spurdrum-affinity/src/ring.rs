//! A ring of points by which nodes that share nothing agree on a key's server (consistent hashing as in Ketama): a change of
//! one server moves its own keys only.

use std::collections::BTreeMap;

/// Points of a server of weight 1.
const POINTS: f64 = 40.0;
/// And of any server at the most.
const POINTS_MOST: f64 = 160.0;
/// Points that are looked at for one key.
const LOOK_MOST: usize = 32;

/// Points in the order of their hashes, each with its server.
#[derive(Default)]
pub struct Ring {
    points: BTreeMap<u64, u32>,
}

/// A mix whose every bit depends on every bit (the finaliser of `SplitMix64`).
fn mix(x: u64) -> u64 {
    let x = (x ^ x >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ x >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ x >> 31
}

fn points(key: u64, weight: f64) -> impl Iterator<Item = u64> {
    let count = if weight.is_finite() { (weight * POINTS).round().clamp(1.0, POINTS_MOST) } else { POINTS };
    (1..=count as u64).map(move |n| mix(key.wrapping_add(n.wrapping_mul(0x9e37_79b9_7f4a_7c15))))
}

impl Ring {
    /// Adds a server by the hash of its name, which is the same at every node.
    pub fn add(&mut self, server: u32, key: u64, weight: f64) {
        for point in points(key, weight) {
            self.points.insert(point, server);
        }
    }

    /// Takes a server out; told as it was added.
    pub fn remove(&mut self, server: u32, key: u64, weight: f64) {
        for point in points(key, weight) {
            if self.points.get(&point) == Some(&server) {
                self.points.remove(&point);
            }
        }
    }

    /// The first server from a key's place on that will do.
    pub fn find(&self, key: u64, will_do: impl Fn(u32) -> bool) -> Option<u32> {
        let from = mix(key);
        let round = self.points.range(from..).chain(self.points.range(..from));
        round.take(LOOK_MOST).map(|(_, server)| *server).find(|server| will_do(*server))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn servers_get_keys_by_their_weight_and_one_more_moves_only_its_own() {
        let mut ring = Ring::default();
        for server in 0..20 {
            ring.add(server, mix(u64::from(server)), if server < 10 { 1.0 } else { 3.0 });
        }
        let all = |ring: &Ring| (0..40_000).map(|key| ring.find(key, |_| true)).collect::<Vec<_>>();
        let before = all(&ring);
        let light = before.iter().filter(|server| server.is_some_and(|s| s < 10)).count();
        assert!((8_000..12_000).contains(&light), "a quarter: {light}");
        ring.add(20, mix(20), 1.0);
        let after = all(&ring);
        assert!(before.iter().zip(&after).all(|(b, a)| a == b || *a == Some(20)));
        assert!(after.contains(&Some(20)));
        ring.remove(20, mix(20), 1.0);
        assert!(all(&ring) == before);
        assert_ne!(ring.find(5, |server| Some(server) != before[5]), before[5]);
    }
}
