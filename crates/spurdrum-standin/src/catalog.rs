//! The list of servers with its revisions, and the response that a watch gets.

use std::collections::{BTreeMap, VecDeque};

use serde_json::{json, Value};

/// A list of servers that changes. It does no I/O and has no clock: its owner decides when watches are
/// answered.
#[derive(Debug)]
pub struct Catalog {
    revision: u64,
    members: BTreeMap<String, Value>,
    /// Remembered changes: the revision and the id of the changed entry.
    log: VecDeque<(u64, String)>,
    max_remembered: usize,
}

impl Catalog {
    /// Creates an empty list that remembers the last `max_remembered` changes.
    pub fn new(max_remembered: usize) -> Self {
        Self {
            revision: 0,
            members: BTreeMap::new(),
            log: VecDeque::new(),
            max_remembered: max_remembered.max(1),
        }
    }

    /// Returns the current revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Sets an entry. An entry whose `phase` is `left` is reported as a change, and left out of full lists.
    pub fn set(&mut self, id: &str, entry: Value) {
        self.revision += 1;
        self.members.insert(id.to_owned(), entry);
        self.log.push_back((self.revision, id.to_owned()));
        while self.log.len() > self.max_remembered {
            let Some((_, old)) = self.log.pop_front() else { break };
            // When no remembered change refers to an entry that has left, no watch can be notified of it any
            // more, and it is removed.
            let left = self.members.get(&old).is_some_and(|entry| entry["phase"] == "left");
            if left && !self.log.iter().any(|(_, id)| *id == old) {
                self.members.remove(&old);
            }
        }
    }

    /// Changes the phase of an entry; does nothing if there is no such entry.
    pub fn set_phase(&mut self, id: &str, phase: &str) {
        if let Some(mut entry) = self.members.get(id).cloned() {
            entry["phase"] = json!(phase);
            self.set(id, entry);
        }
    }

    /// Returns the full list.
    pub fn full(&self) -> Value {
        let present = self.members.values().filter(|entry| entry["phase"] != "left");
        json!({"revision": self.revision, "complete": true, "members": present.collect::<Vec<_>>()})
    }

    /// Returns the entries that have changed since `revision`, as they are now. Returns the full list if
    /// changes since then have been forgotten, or if the revision is newer than this list's.
    pub fn since(&self, revision: u64) -> Value {
        let oldest = self.log.front().map_or(self.revision, |(first, _)| first - 1);
        if revision < oldest || revision > self.revision {
            return self.full();
        }
        let mut ids: Vec<&String> =
            self.log.iter().filter(|(at, _)| *at > revision).map(|(_, id)| id).collect();
        ids.sort_unstable();
        ids.dedup();
        let changed: Vec<&Value> = ids.into_iter().filter_map(|id| self.members.get(id)).collect();
        json!({"revision": self.revision, "complete": false, "members": changed})
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn phases(list: &Value) -> Vec<String> {
        let text = |v: &Value| v.as_str().expect("text").to_owned();
        let members = list["members"].as_array().expect("a list");
        members.iter().map(|m| format!("{} {}", text(&m["id"]), text(&m["phase"]))).collect()
    }

    #[test]
    fn a_watch_gets_the_changes_or_the_full_list_when_they_are_forgotten() {
        let mut catalog = Catalog::new(4);
        for id in ["a", "b", "c"] {
            catalog.set(id, json!({"id": id, "phase": "active"}));
        }
        assert_eq!(phases(&catalog.since(1)), ["b active", "c active"]);
        catalog.set_phase("b", "leaving");
        catalog.set_phase("b", "left");
        assert_eq!(phases(&catalog.since(3)), ["b left"]);
        assert_eq!(phases(&catalog.full()), ["a active", "c active"]);
        assert_eq!(catalog.since(3)["complete"], json!(false));
        // Revision 0 is older than the first remembered change, and revision 99 was never reached: both get
        // the full list.
        assert_eq!(catalog.since(0)["complete"], json!(true));
        assert_eq!(catalog.since(99)["complete"], json!(true));
        assert_eq!(phases(&catalog.since(5)), [""; 0]);
        for _ in 0..4 {
            catalog.set_phase("a", "active");
        }
        assert!(!catalog.members.contains_key("b"), "an entry that has left is removed in the end");
    }
}
