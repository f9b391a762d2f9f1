//! Key affinity: which server the requests of a key should preferably reach. Bindings of keys to servers are
//! learned from the servers that served a key, kept in a table of fixed size, dropped by age, and stored for
//! the next process of the node.
//!
//! An [`Affinity`] has no clock, I/O or randomness. Before each request with a key, a node asks it for a
//! server ([`Affinity::preferred_server`]); the node also reports which server served a request
//! ([`Affinity::record_served`]) and what the list says ([`Affinity::apply_list`]). The answer is a
//! preference: the decision module follows it where counts, health, drains and slow starts allow, see
//! `preference_slack` of `spurdrum_policy::Settings`.
//!
//! ```
//! use spurdrum_affinity::{Affinity, KeyHasher, ListedServer, Settings};
//! use spurdrum_policy::{Availability, ServerId};
//!
//! let mut affinity = Affinity::new(Settings::default(), 0.0).expect("valid settings");
//! let listed = ListedServer {
//!     id: "update-7".into(),
//!     server: ServerId(1),
//!     availability: Availability::Ready,
//!     started_at: None,
//!     same_zone: true,
//!     weight: 1.0,
//!     name_hash: 7,
//! };
//! affinity.apply_list(0.0, true, vec![listed.clone()]);
//! let key = KeyHasher::new([0; 16]).affinity_key(0, &[b"inn 12"]);
//! assert_eq!(affinity.preferred_server(1.0, key), None);
//! affinity.record_served(2.0, key, ServerId(1));
//! assert_eq!(affinity.preferred_server(3.0, key), Some(ServerId(1)));
//! // A server that drains is no longer preferred.
//! affinity.apply_list(4.0, false, vec![ListedServer { availability: Availability::Draining, ..listed }]);
//! assert_eq!(affinity.preferred_server(5.0, key), None);
//! ```

mod affinity;
mod list;
mod owners;
pub mod record;
mod ring;
mod servers;
mod settings;
mod sketch;
pub mod table;

use std::hash::Hasher;

use siphasher::sip128::{Hasher128, SipHasher13};

pub use affinity::{Affinity, Counters};
pub use servers::ListedServer;
pub use settings::{InitialPlacement, Settings};

/// The hash of a key. Hashing gives all slots the same size, and nothing that clients send is kept in memory
/// or stored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct KeyHash(pub [u64; 2]);

/// The key of a request, and the owner that its slot is counted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AffinityKey {
    /// The hash of the key with the node's own secret.
    pub hash: KeyHash,
    /// The hash that gives the key's position on the ring, the same at every node.
    pub ring_hash: u64,
    /// The owner that the key's slot is counted for.
    pub owner: u64,
}

/// Hashes keys with a secret of the node. Without the secret, clients could choose keys that collide.
#[derive(Clone, Copy)]
pub struct KeyHasher {
    secret: [u8; 16],
}

impl KeyHasher {
    /// Returns a hasher with this secret.
    #[must_use]
    pub fn new(secret: [u8; 16]) -> Self {
        Self { secret }
    }

    /// Returns the key that these parts form together.
    #[must_use]
    pub fn affinity_key(&self, owner: u64, parts: &[&[u8]]) -> AffinityKey {
        let hash = |secret: &[u8; 16]| {
            let mut hasher = SipHasher13::new_with_key(secret);
            for part in parts {
                // Without the length, moving the boundary between two parts would give the same key.
                hasher.write_u64(part.len() as u64);
                hasher.write(part);
            }
            hasher.finish128()
        };
        let (secret_hash, common_hash) = (hash(&self.secret), hash(&[0; 16]));
        AffinityKey { hash: KeyHash([secret_hash.h1, secret_hash.h2]), ring_hash: common_hash.h1, owner }
    }

    /// Returns a fingerprint of the secret, by which keys hashed with another secret are recognised.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = SipHasher13::new_with_key(&self.secret);
        hasher.write(b"the secret's own mark");
        hasher.finish128().h1
    }
}
