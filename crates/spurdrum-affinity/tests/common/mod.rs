//! A few servers, and keys by numbers.
#![allow(dead_code)]

use spurdrum_affinity::*;
use spurdrum_policy::{Availability, ServerId};

pub struct Fleet {
    pub affinity: Affinity,
    pub keyer: KeyHasher,
    pub now: f64,
    pub owner: u64,
    pub starts: Vec<Option<f64>>,
}

impl Fleet {
    pub fn new(settings: Settings, servers: usize) -> Self {
        let now = 1_800_000_000_000.0;
        let affinity = Affinity::new(settings, now).expect("sound settings");
        let keyer = KeyHasher::new([3; 16]);
        let mut fleet = Self { affinity, keyer, now, owner: 0, starts: vec![None; servers] };
        fleet.list_all();
        fleet
    }

    pub fn list_all(&mut self) {
        let all = (0..self.starts.len()).map(|at| self.listed(at, Availability::Ready)).collect();
        self.affinity.apply_list(self.now, true, all);
    }

    pub fn listed(&self, at: usize, availability: Availability) -> ListedServer {
        let (id, started_at) = (format!("s{at}"), self.starts[at]);
        let name_hash = 1_000 + at as u64;
        ListedServer {
            id,
            server: ServerId(at),
            availability,
            started_at,
            same_zone: true,
            weight: 1.0,
            name_hash,
        }
    }

    pub fn set(&mut self, at: usize, availability: Availability) {
        let listed = self.listed(at, availability);
        self.affinity.apply_list(self.now, false, vec![listed]);
    }

    pub fn ask(&self, n: u64) -> AffinityKey {
        self.keyer.affinity_key(self.owner, &[&n.to_le_bytes()])
    }

    pub fn preferred_server(&mut self, n: u64) -> Option<ServerId> {
        self.affinity.preferred_server(self.now, self.ask(n))
    }

    pub fn served(&mut self, n: u64, by: usize) {
        self.affinity.record_served(self.now, self.ask(n), ServerId(by));
    }
}
