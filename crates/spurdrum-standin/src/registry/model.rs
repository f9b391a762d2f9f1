//! A pure model of a registry's data: keys with all their versions since the last compaction, and leases.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// One change of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The revision of the change.
    pub revision: u64,
    /// The key.
    pub key: Vec<u8>,
    /// The new value; `None` if the key was deleted.
    pub value: Option<Vec<u8>>,
}

/// The state of a key at some revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored {
    /// The revision that created the key.
    pub created: u64,
    /// The revision that last changed the key.
    pub modified: u64,
    /// The value.
    pub value: Vec<u8>,
    /// The lease that the key is attached to; 0 is none.
    pub lease: i64,
}

/// The requested revision has been compacted; holds the oldest revision that is available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Compacted(pub u64);

#[derive(Clone, Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Duration,
    keys: BTreeSet<Vec<u8>>,
}

/// A requested change: the key, its new value or `None` to delete it, and the lease to attach it to.
pub type Wanted = (Vec<u8>, Option<Vec<u8>>, i64);
/// The keys in a range, up to the limit, and the number of all keys in the range.
pub type Found = (Vec<(Vec<u8>, Stored)>, usize);
/// The versions of a key, each with its revision.
type Versions = Vec<(u64, Option<Stored>)>;

/// A registry. All its endpoints answer from it, each as of the revision that the endpoint has reached.
#[derive(Clone, Debug)]
pub struct Registry {
    /// Cluster id.
    pub cluster: u64,
    revision: u64,
    compacted: u64,
    /// The versions of each key in order of revision; `None` where the key was deleted.
    keys: BTreeMap<Vec<u8>, Versions>,
    log: VecDeque<Change>,
    leases: BTreeMap<i64, Lease>,
    last_lease: i64,
}

impl Registry {
    /// Creates an empty registry at revision 1.
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

    /// Returns the current revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies the changes as one transaction with one revision, and returns the current revision. Deleting
    /// a key that does not exist changes nothing.
    pub fn commit(&mut self, changes: &[Wanted]) -> u64 {
        let revision = self.revision + 1;
        for (key, value, lease) in changes {
            let versions = self.keys.entry(key.clone()).or_default();
            let before = versions.last().and_then(|(_, stored)| stored.clone());
            if value.is_none() && before.is_none() {
                continue;
            }
            for other in self.leases.values_mut() {
                other.keys.remove(key);
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

    /// Puts one key without a lease, and returns the new revision.
    pub fn put(&mut self, key: &str, value: &str) -> u64 {
        self.commit(&[(key.into(), Some(value.into()), 0)])
    }

    /// Deletes one key, and returns the current revision.
    pub fn delete(&mut self, key: &str) -> u64 {
        self.commit(&[(key.into(), None, 0)])
    }

    /// Returns the keys in `[from, end)` as of a revision, at most `limit` of them (0 is no limit), and
    /// their total number.
    ///
    /// # Errors
    ///
    /// The revision has been compacted.
    pub fn range(&self, from: &[u8], end: &[u8], limit: usize, revision: u64) -> Result<Found, Compacted> {
        if revision < self.compacted {
            return Err(Compacted(self.compacted));
        }
        let mut matching = Vec::new();
        let mut count = 0;
        for (key, versions) in self.keys.range(from.to_vec()..) {
            let single_key_passed = end.is_empty() && key != from;
            // In etcd's API a range end of one NUL byte means "to the last key".
            if single_key_passed || !end.is_empty() && end != [0] && key.as_slice() >= end {
                break;
            }
            let version = versions.iter().rev().find(|(at, _)| *at <= revision);
            if let Some((_, Some(stored))) = version {
                count += 1;
                if limit == 0 || matching.len() < limit {
                    matching.push((key.clone(), stored.clone()));
                }
            }
        }
        Ok((matching, count))
    }

    /// Returns all changes from revision `from` to revision `to`, both inclusive, in order.
    ///
    /// # Errors
    ///
    /// The revision `from` has been compacted.
    pub fn since(&self, from: u64, to: u64) -> Result<Vec<Change>, Compacted> {
        if from <= self.compacted {
            return Err(Compacted(self.compacted + 1));
        }
        let first_index = self.log.partition_point(|change| change.revision < from);
        let end_index = self.log.partition_point(|change| change.revision <= to);
        Ok(self.log.range(first_index..end_index.max(first_index)).cloned().collect())
    }

    /// Compacts the history: the changes up to and including `revision` and the states before it can no
    /// longer be read.
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

    /// Returns all keys with their values as of a revision, which must not have been compacted.
    pub fn state(&self, revision: u64) -> BTreeMap<Vec<u8>, Vec<u8>> {
        let value_at = |versions: &Versions| {
            versions.iter().rev().find(|(at, _)| *at <= revision)?.1.as_ref().map(|s| s.value.clone())
        };
        self.keys.iter().filter_map(|(key, versions)| Some((key.clone(), value_at(versions)?))).collect()
    }

    // ---- Leases

    /// Grants a lease with this time to live and returns its id; `id` 0 lets the registry choose one.
    /// Returns `None` if the id is in use.
    pub fn grant(&mut self, id: i64, ttl: Duration, now: Duration) -> Option<i64> {
        let id = if id == 0 { self.last_lease + 1 } else { id };
        if self.leases.contains_key(&id) {
            return None;
        }
        self.last_lease = self.last_lease.max(id);
        self.leases.insert(id, Lease { ttl, expires_at: now + ttl, keys: BTreeSet::new() });
        Some(id)
    }

    /// Renews a lease. Returns its time to live, or `None` if there is no such lease.
    pub fn renew(&mut self, id: i64, now: Duration) -> Option<Duration> {
        let lease = self.leases.get_mut(&id)?;
        lease.expires_at = now + lease.ttl;
        Some(lease.ttl)
    }

    /// Revokes a lease and deletes its keys. Returns whether there was such a lease.
    pub fn revoke(&mut self, id: i64) -> bool {
        let Some(lease) = self.leases.remove(&id) else { return false };
        let changes: Vec<_> = lease.keys.into_iter().map(|key| (key, None, 0)).collect();
        self.commit(&changes);
        true
    }

    /// Revokes the expired leases. Returns when the next one expires.
    pub fn expire(&mut self, now: Duration) -> Option<Duration> {
        let expired: Vec<i64> =
            self.leases.iter().filter(|(_, lease)| lease.expires_at <= now).map(|(id, _)| *id).collect();
        for id in expired {
            self.revoke(id);
        }
        self.leases.values().map(|lease| lease.expires_at).min()
    }

    /// Returns the number of leases.
    pub fn leases(&self) -> usize {
        self.leases.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn compaction_removes_history_and_keeps_the_current_state() {
        let mut registry = Registry::new(1);
        registry.put("/a", "1");
        registry.commit(&[(b"/a".to_vec(), None, 0), (b"/b".to_vec(), Some(b"2".to_vec()), 0)]);
        let last = registry.put("/a", "3");
        assert_eq!((last, registry.since(3, 3).expect("there").len()), (4, 2));
        assert_eq!(registry.delete("/none"), 4);
        let (matching, count) = registry.range(b"/", b"0", 1, 4).expect("there");
        assert_eq!((matching[0].1.created, matching.len(), count), (4, 1, 2));
        assert_eq!(registry.state(2).len(), 1);
        registry.compact(3);
        assert_eq!(registry.since(3, 4), Err(Compacted(4)));
        assert_eq!(registry.since(4, 4).expect("there").len(), 1);
        assert!(registry.range(b"/", b"0", 0, 2).is_err());
        assert_eq!(registry.state(3).len(), 1);
        assert_eq!(registry.state(4).len(), 2);
    }

    #[test]
    fn revoking_a_lease_deletes_its_keys_in_one_revision() {
        let mut registry = Registry::new(1);
        let s = Duration::from_secs;
        let lease = registry.grant(0, s(10), s(0)).expect("granted");
        assert_eq!(registry.grant(lease, s(10), s(0)), None);
        registry.commit(&[(b"/a".to_vec(), Some(vec![]), lease), (b"/b".to_vec(), Some(vec![]), lease)]);
        assert_eq!(registry.renew(lease, s(5)), Some(s(10)));
        assert_eq!(registry.expire(s(14)), Some(s(15)));
        // A key that is put again without the lease is detached from it and stays.
        registry.put("/b", "");
        assert_eq!(registry.expire(s(15)), None);
        assert_eq!((registry.revision(), registry.state(4).len()), (4, 1));
        assert_eq!(registry.renew(lease, s(16)), None);
    }
}
