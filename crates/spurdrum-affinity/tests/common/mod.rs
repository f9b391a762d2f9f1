//! An affinity table with a few servers, and keys that are numbers.
#![allow(dead_code)]

use spurdrum_affinity::*;
use spurdrum_policy::{Availability, ServerId};

/// An affinity table with the keys, the clock and the servers of a test.
pub struct Fleet {
    pub affinity: Affinity,
    pub hasher: KeyHasher,
    pub now: f64,
    /// The owner of the keys that are requested next.
    pub owner: u64,
    /// The start time of each server.
    pub starts: Vec<Option<f64>>,
}

impl Fleet {
    pub fn new(settings: Settings, servers: usize) -> Self {
        let now = 1_800_000_000_000.0;
        let affinity = Affinity::new(settings, now).expect("valid settings");
        let hasher = KeyHasher::new([3; 16]);
        let mut fleet = Self { affinity, hasher, now, owner: 0, starts: vec![None; servers] };
        fleet.list_all();
        fleet
    }

    pub fn list_all(&mut self) {
        let all = (0..self.starts.len()).map(|n| self.listed(n, Availability::Ready)).collect();
        self.affinity.apply_list(self.now, true, all);
    }

    pub fn listed(&self, n: usize, availability: Availability) -> ListedServer {
        let (id, started_at) = (format!("s{n}"), self.starts[n]);
        let name_hash = 1_000 + n as u64;
        ListedServer {
            id,
            server: ServerId(n),
            availability,
            started_at,
            same_zone: true,
            weight: 1.0,
            name_hash,
        }
    }

    pub fn set(&mut self, n: usize, availability: Availability) {
        let listed = self.listed(n, availability);
        self.affinity.apply_list(self.now, false, vec![listed]);
    }

    pub fn key(&self, n: u64) -> AffinityKey {
        self.hasher.affinity_key(self.owner, &[&n.to_le_bytes()])
    }

    pub fn preferred_server(&mut self, n: u64) -> Option<ServerId> {
        self.affinity.preferred_server(self.now, self.key(n))
    }

    pub fn record_served(&mut self, n: u64, server: usize) {
        self.affinity.record_served(self.now, self.key(n), ServerId(server));
    }
}
