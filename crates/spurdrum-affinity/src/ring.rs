//! A consistent-hash ring (as in Ketama), by which nodes that share no state choose the same server for a
//! key. A change of one server moves only the keys of that server.

use std::collections::BTreeMap;

/// Points of a server of weight 1.
const POINTS_PER_WEIGHT: f64 = 40.0;
/// Limit on the points of one server, whatever its weight.
const MAX_POINTS: f64 = 160.0;
/// Limit on the points examined for one key.
const MAX_EXAMINED_POINTS: usize = 32;

/// The points of all servers, ordered by hash.
#[derive(Default)]
pub struct Ring {
    /// The server of each point.
    points: BTreeMap<u64, u32>,
}

/// Mixes a value so that every bit of the result depends on every bit of the input (the finaliser of
/// `SplitMix64`).
fn mix(x: u64) -> u64 {
    let x = (x ^ x >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ x >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ x >> 31
}

/// Returns the points of a server by the hash of its name and its weight.
fn points(name_hash: u64, weight: f64) -> impl Iterator<Item = u64> {
    let count = if weight.is_finite() {
        (weight * POINTS_PER_WEIGHT).round().clamp(1.0, MAX_POINTS)
    } else {
        POINTS_PER_WEIGHT
    };
    (1..=count as u64).map(move |n| mix(name_hash.wrapping_add(n.wrapping_mul(0x9e37_79b9_7f4a_7c15))))
}

impl Ring {
    /// Adds the points of a server. The hash of its name must be the same at every node.
    pub fn add(&mut self, server: u32, name_hash: u64, weight: f64) {
        for point in points(name_hash, weight) {
            self.points.insert(point, server);
        }
    }

    /// Removes the points of a server. The arguments must be those with which the server was added.
    pub fn remove(&mut self, server: u32, name_hash: u64, weight: f64) {
        for point in points(name_hash, weight) {
            if self.points.get(&point) == Some(&server) {
                self.points.remove(&point);
            }
        }
    }

    /// Returns the first eligible server at or after the position of a key on the ring.
    pub fn find(&self, key_hash: u64, is_eligible: impl Fn(u32) -> bool) -> Option<u32> {
        let position = mix(key_hash);
        let points_from_position = self.points.range(position..).chain(self.points.range(..position));
        points_from_position
            .take(MAX_EXAMINED_POINTS)
            .map(|(_, server)| *server)
            .find(|server| is_eligible(*server))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn servers_get_keys_by_weight_and_a_new_server_moves_only_the_keys_that_it_gets() {
        let mut ring = Ring::default();
        for server in 0..20 {
            ring.add(server, mix(u64::from(server)), if server < 10 { 1.0 } else { 3.0 });
        }
        let servers_of_keys =
            |ring: &Ring| (0..40_000).map(|key| ring.find(key, |_| true)).collect::<Vec<_>>();
        let before = servers_of_keys(&ring);
        let keys_of_light = before.iter().filter(|server| server.is_some_and(|s| s < 10)).count();
        assert!((8_000..12_000).contains(&keys_of_light), "a quarter: {keys_of_light}");
        ring.add(20, mix(20), 1.0);
        let after = servers_of_keys(&ring);
        assert!(before.iter().zip(&after).all(|(b, a)| a == b || *a == Some(20)));
        assert!(after.contains(&Some(20)));
        ring.remove(20, mix(20), 1.0);
        assert!(servers_of_keys(&ring) == before);
        assert_ne!(ring.find(5, |server| Some(server) != before[5]), before[5]);
    }
}
