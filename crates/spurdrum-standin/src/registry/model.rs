//! What a registry holds: keys with all their versions since the last compaction, and leases. Pure.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// One change of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The revision that made it.
    pub revision: u64,
    /// The key.
    pub key: Vec<u8>,
    /// Its value from then on; none where it was deleted.
    pub value: Option<Vec<u8>>,
}

/// A key as it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored {
    /// The revision that made the key.
    pub created: u64,
    /// The revision that changed it last.
    pub modified: u64,
    /// Its value.
    pub value: Vec<u8>,
    /// The lease that it goes with; 0 is none.
    pub lease: i64,
}

/// The revision that was wanted is gone; the oldest that there is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Compacted(pub u64);

#[derive(Clone, Debug)]
struct Lease {
    ttl: Duration,
    ends_at: Duration,
    keys: BTreeSet<Vec<u8>>,
}

/// A change that is asked for: the key, its value or none, and the lease that it is to go with.
pub type Wanted = (Vec<u8>, Option<Vec<u8>>, i64);
/// Keys that were found, and how many there are.
pub type Found = (Vec<(Vec<u8>, Stored)>, usize);
/// A key's versions, each with its revision.
type Versions = Vec<(u64, Option<Stored>)>;

/// One registry. All its endpoints answer from it, each as of the revision that it has come to.
#[derive(Clone, Debug)]
pub struct Registry {
    /// Which cluster it is.
    pub cluster: u64,
    revision: u64,
    compacted: u64,
    /// Each key's versions, by revision; none where it was deleted.
    keys: BTreeMap<Vec<u8>, Versions>,
    log: VecDeque<Change>,
    leases: BTreeMap<i64, Lease>,
    last_lease: i64,
}

impl Registry {
    /// An empty one, at revision 1.
    pub fn new(cluster: u64) -> Self {
        Self {
            cluster,
            revision: 1,
            compacted: 0,
            keys: BTreeMap::new(),
            log: VecDeque::new(),
            leases: BTreeMap::new(),
            last_lease: 0,
        }
    }

    /// The present revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// A transaction: all of it is one revision. A deletion of what is not there is none.
    pub fn commit(&mut self, changes: &[Wanted]) -> u64 {
        let revision = self.revision + 1;
        for (key, value, lease) in changes {
            let versions = self.keys.entry(key.clone()).or_default();
            let before = versions.last().and_then(|(_, stored)| stored.clone());
            if value.is_none() && before.is_none() {
                continue;
            }
            for held in self.leases.values_mut() {
                held.keys.remove(key);
            }
            let stored = value.as_ref().map(|value| Stored {
                created: before.map_or(revision, |before| before.created),
                modified: revision,
                value: value.clone(),
                lease: *lease,
            });
            if let Some(lease) = self.leases.get_mut(lease).filter(|_| stored.is_some()) {
                lease.keys.insert(key.clone());
            }
            versions.push((revision, stored));
            self.log.push_back(Change { revision, key: key.clone(), value: value.clone() });
            self.revision = revision;
        }
        self.revision
    }

    /// Puts one key.
    pub fn put(&mut self, key: &str, value: &str) -> u64 {
        self.commit(&[(key.into(), Some(value.into()), 0)])
    }

    /// Deletes one key.
    pub fn delete(&mut self, key: &str) -> u64 {
        self.commit(&[(key.into(), None, 0)])
    }

    /// The keys from one up to, and without, another, as of a revision: so many at most, and how many there are.
    ///
    /// # Errors
    ///
    /// That revision has been compacted.
    pub fn range(&self, from: &[u8], end: &[u8], limit: usize, revision: u64) -> Result<Found, Compacted> {
        if revision < self.compacted {
            return Err(Compacted(self.compacted));
        }
        let mut found = Vec::new();
        let mut count = 0;
        for (key, versions) in self.keys.range(from.to_vec()..) {
            let one = end.is_empty() && key != from;
            // The API's word for "to the last key" is one NUL.
            if one || !end.is_empty() && end != [0] && key.as_slice() >= end {
                break;
            }
            let version = versions.iter().rev().find(|(at, _)| *at <= revision);
            if let Some((_, Some(stored))) = version {
                count += 1;
                if limit == 0 || found.len() < limit {
                    found.push((key.clone(), stored.clone()));
                }
            }
        }
        Ok((found, count))
    }

    /// All that changed from one revision to another, both of them with it, in order.
    ///
    /// # Errors
    ///
    /// The first one has been compacted.
    pub fn since(&self, from: u64, to: u64) -> Result<Vec<Change>, Compacted> {
        if from <= self.compacted {
            return Err(Compacted(self.compacted + 1));
        }
        let begins = self.log.partition_point(|change| change.revision < from);
        let ends = self.log.partition_point(|change| change.revision <= to);
        Ok(self.log.range(begins..ends.max(begins)).cloned().collect())
    }

    /// Forgets what was before a revision, and can't be asked for since.
    pub fn compact(&mut self, revision: u64) {
        let revision = revision.min(self.revision);
        if revision <= self.compacted {
            return;
        }
        self.compacted = revision;
        while self.log.front().is_some_and(|change| change.revision <= revision) {
            self.log.pop_front();
        }
        self.keys.retain(|_, versions| {
            let last = versions.iter().rposition(|(at, _)| *at <= revision).unwrap_or(0);
            versions.drain(..last);
            !(versions.len() == 1 && versions[0].0 <= revision && versions[0].1.is_none())
        });
    }

    /// All keys with their values, as of a revision that has not been compacted.
    pub fn state(&self, revision: u64) -> BTreeMap<Vec<u8>, Vec<u8>> {
        let at = |versions: &Versions| {
            versions.iter().rev().find(|(at, _)| *at <= revision)?.1.as_ref().map(|s| s.value.clone())
        };
        self.keys.iter().filter_map(|(key, versions)| Some((key.clone(), at(versions)?))).collect()
    }

    // ---- Leases

    /// A lease for so long from now on; `id` 0 lets the registry choose one. None where there is one of that id.
    pub fn grant(&mut self, id: i64, ttl: Duration, now: Duration) -> Option<i64> {
        let id = if id == 0 { self.last_lease + 1 } else { id };
        if self.leases.contains_key(&id) {
            return None;
        }
        self.last_lease = self.last_lease.max(id);
        self.leases.insert(id, Lease { ttl, ends_at: now + ttl, keys: BTreeSet::new() });
        Some(id)
    }

    /// Renews a lease: its time to live, or none where it is gone.
    pub fn renew(&mut self, id: i64, now: Duration) -> Option<Duration> {
        let lease = self.leases.get_mut(&id)?;
        lease.ends_at = now + lease.ttl;
        Some(lease.ttl)
    }

    /// Ends a lease, and deletes its keys; whether there was one.
    pub fn revoke(&mut self, id: i64) -> bool {
        let Some(lease) = self.leases.remove(&id) else { return false };
        let changes: Vec<_> = lease.keys.into_iter().map(|key| (key, None, 0)).collect();
        self.commit(&changes);
        true
    }

    /// Ends the leases whose time is over; when the next one's is.
    pub fn expire(&mut self, now: Duration) -> Option<Duration> {
        let over: Vec<i64> =
            self.leases.iter().filter(|(_, lease)| lease.ends_at <= now).map(|(id, _)| *id).collect();
        for id in over {
            self.revoke(id);
        }
        self.leases.values().map(|lease| lease.ends_at).min()
    }

    /// Leases that there are.
    pub fn leases(&self) -> usize {
        self.leases.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn history_is_told_up_to_a_compaction_and_the_state_is_not_changed_by_it() {
        let mut registry = Registry::new(1);
        registry.put("/a", "1");
        registry.commit(&[(b"/a".to_vec(), None, 0), (b"/b".to_vec(), Some(b"2".to_vec()), 0)]);
        let last = registry.put("/a", "3");
        assert_eq!((last, registry.since(3, 3).expect("there").len()), (4, 2));
        assert_eq!(registry.delete("/none"), 4);
        let (found, count) = registry.range(b"/", b"0", 1, 4).expect("there");
        assert_eq!((found[0].1.created, found.len(), count), (4, 1, 2));
        assert_eq!(registry.state(2).len(), 1);
        registry.compact(3);
        assert_eq!(registry.since(3, 4), Err(Compacted(4)));
        assert_eq!(registry.since(4, 4).expect("there").len(), 1);
        assert!(registry.range(b"/", b"0", 0, 2).is_err());
        assert_eq!(registry.state(3).len(), 1);
        assert_eq!(registry.state(4).len(), 2);
    }

    #[test]
    fn a_lease_takes_its_keys_with_it_in_one_revision() {
        let mut registry = Registry::new(1);
        let s = Duration::from_secs;
        let lease = registry.grant(0, s(10), s(0)).expect("granted");
        assert_eq!(registry.grant(lease, s(10), s(0)), None);
        registry.commit(&[(b"/a".to_vec(), Some(vec![]), lease), (b"/b".to_vec(), Some(vec![]), lease)]);
        assert_eq!(registry.renew(lease, s(5)), Some(s(10)));
        assert_eq!(registry.expire(s(14)), Some(s(15)));
        // Put without it, a key stays.
        registry.put("/b", "");
        assert_eq!(registry.expire(s(15)), None);
        assert_eq!((registry.revision(), registry.state(4).len()), (4, 1));
        assert_eq!(registry.renew(lease, s(16)), None);
    }
}
