//! Which server a key's requests had better reach: learned from who served them, kept in a fixed size, aged out, written down
//! for the node's next life.
//!
//! An [`Affinity`] has no clock, I/O or randomness. A node asks it before each request of a key
//! ([`Affinity::preferred_server`]), tells it who served ([`Affinity::record_served`]) and what the list says ([`Affinity::apply_list`]). What it
//! answers is a preference: the decision module takes it where counts, health, drains and cold starts allow, see
//! `preference_slack` of `spurdrum_policy::Settings`.
//!
//! ```
//! use spurdrum_affinity::{Affinity, KeyHasher, ListedServer, Settings};
//! use spurdrum_policy::{Availability, ServerId};
//!
//! let mut affinity = Affinity::new(Settings::default(), 0.0).expect("sound settings");
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
//! let ask = KeyHasher::new([0; 16]).affinity_key(0, &[b"inn 12"]);
//! assert_eq!(affinity.preferred_server(1.0, ask), None);
//! affinity.record_served(2.0, ask, ServerId(1));
//! assert_eq!(affinity.preferred_server(3.0, ask), Some(ServerId(1)));
//! // What has begun to drain is preferred no more.
//! affinity.apply_list(4.0, false, vec![ListedServer { availability: Availability::Draining, ..listed }]);
//! assert_eq!(affinity.preferred_server(5.0, ask), None);
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

/// A key, hashed: places are of one size, and nothing that clients send is kept or written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct KeyHash(pub [u64; 2]);

/// A request's key, and who takes up a place with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AffinityKey {
    /// The key.
    pub hash: KeyHash,
    /// Its place on the ring, the same at every node.
    pub ring_hash: u64,
    /// Who holds the place.
    pub owner: u64,
}

/// Makes keys. The secret is the node's own. Guards against clients who choose keys that collide.
#[derive(Clone, Copy)]
pub struct KeyHasher {
    secret: [u8; 16],
}

impl KeyHasher {
    /// Keys by this secret.
    #[must_use]
    pub fn new(secret: [u8; 16]) -> Self {
        Self { secret }
    }

    /// The key that these parts make together.
    #[must_use]
    pub fn affinity_key(&self, owner: u64, parts: &[&[u8]]) -> AffinityKey {
        let hash = |secret: &[u8; 16]| {
            let mut hasher = SipHasher13::new_with_key(secret);
            for part in parts {
                // Guards against parts that make one key with the border moved.
                hasher.write_u64(part.len() as u64);
                hasher.write(part);
            }
            hasher.finish128()
        };
        let (own, all) = (hash(&self.secret), hash(&[0; 16]));
        AffinityKey { hash: KeyHash([own.h1, own.h2]), ring_hash: all.h1, owner }
    }

    /// What tells keys by this secret from keys by another.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = SipHasher13::new_with_key(&self.secret);
        hasher.write(b"the secret's own mark");
        hasher.finish128().h1
    }
}
