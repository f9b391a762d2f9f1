//! The requests of which an attempt has begun, by their clients' identifiers. A client that leaves may send its
//! request again; without this record it would run again.

use std::collections::{HashSet, VecDeque};
use std::hash::Hasher;
use std::time::Duration;

use siphasher::sip::SipHasher13;

/// For how long a request is remembered after its first attempt began: longer than any client waits that the
/// settings allow for.
const RETENTION: Duration = Duration::from_secs(30);
/// The most requests that are remembered; beyond that the oldest are forgotten.
const MAX_REQUESTS: usize = 16 * 1024;

/// The hash of a client's identifier of a request, the same in every process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestHash(pub u64);

impl RequestHash {
    /// Returns the hash of an identifier.
    #[must_use]
    pub fn of(client_id: &[u8]) -> Self {
        let mut hasher = SipHasher13::new();
        hasher.write(client_id);
        Self(hasher.finish())
    }
}

/// The requests of which an attempt has begun lately. Pure: times count from any start and never run
/// backwards.
#[derive(Clone, Debug, Default)]
pub struct BegunRequests {
    hashes: HashSet<RequestHash>,
    /// When they were recorded, the oldest first; may name some that were removed.
    by_age: VecDeque<(Duration, RequestHash)>,
}

impl BegunRequests {
    /// Records that an attempt of a request has begun. Returns whether that was not known.
    pub fn insert(&mut self, now: Duration, request: RequestHash) -> bool {
        self.expire(now);
        if !self.hashes.insert(request) {
            return false;
        }
        self.by_age.push_back((now, request));
        while self.by_age.len() > MAX_REQUESTS {
            self.forget_oldest();
        }
        true
    }

    /// Forgets a request that surely has not run.
    pub fn remove(&mut self, request: RequestHash) {
        self.hashes.remove(&request);
    }

    /// Returns whether an attempt of a request has begun lately.
    pub fn contains(&mut self, now: Duration, request: RequestHash) -> bool {
        self.expire(now);
        self.hashes.contains(&request)
    }

    /// Returns the requests that are remembered, the oldest first.
    pub fn all(&mut self, now: Duration) -> Vec<RequestHash> {
        self.expire(now);
        self.by_age
            .iter()
            .map(|(_, request)| *request)
            .filter(|request| self.hashes.contains(request))
            .collect()
    }

    fn expire(&mut self, now: Duration) {
        while self.by_age.front().is_some_and(|(recorded_at, _)| *recorded_at + RETENTION <= now) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, request)) = self.by_age.pop_front() {
            self.hashes.remove(&request);
        }
    }
}

#[cfg(test)]
mod tests;
