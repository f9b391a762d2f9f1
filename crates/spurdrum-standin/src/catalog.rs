//! The list of servers, with its versions, and what a watch is told of it.

use std::collections::{BTreeMap, VecDeque};

use serde_json::{json, Value};

/// A list of servers that changes. Pure: when watches are answered is its owner's affair.
#[derive(Debug)]
pub struct Catalog {
    revision: u64,
    members: BTreeMap<String, Value>,
    /// Changes that are remembered, with their versions.
    log: VecDeque<(u64, String)>,
    keeps: usize,
}

impl Catalog {
    /// An empty list that remembers so many changes.
    pub fn new(keeps: usize) -> Self {
        Self { revision: 0, members: BTreeMap::new(), log: VecDeque::new(), keeps: keeps.max(1) }
    }

    /// The present version.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Sets an entry; its `phase` may be `left`, which is told once and then forgotten in full lists.
    pub fn set(&mut self, id: &str, entry: Value) {
        self.revision += 1;
        self.members.insert(id.to_owned(), entry);
        self.log.push_back((self.revision, id.to_owned()));
        while self.log.len() > self.keeps {
            let Some((_, old)) = self.log.pop_front() else { break };
            // Once no watch can be told of it any more, one that has left is gone.
            let left = self.members.get(&old).is_some_and(|entry| entry["phase"] == "left");
            if left && !self.log.iter().any(|(_, id)| *id == old) {
                self.members.remove(&old);
            }
        }
    }

    /// Changes an entry's phase, if there is one.
    pub fn set_phase(&mut self, id: &str, phase: &str) {
        if let Some(mut entry) = self.members.get(id).cloned() {
            entry["phase"] = json!(phase);
            self.set(id, entry);
        }
    }

    /// The whole list.
    pub fn full(&self) -> Value {
        let listed = self.members.values().filter(|entry| entry["phase"] != "left");
        json!({"revision": self.revision, "complete": true, "members": listed.collect::<Vec<_>>()})
    }

    /// What has changed since a version: the entries as they are now, or the whole list where that is too long ago, or
    /// where the version is not one of this list's.
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
    fn a_watch_is_told_what_changed_and_the_whole_list_where_that_is_forgotten() {
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
        // Its first change is forgotten by now; so is a version that is not its own.
        assert_eq!(catalog.since(0)["complete"], json!(true));
        assert_eq!(catalog.since(99)["complete"], json!(true));
        assert_eq!(phases(&catalog.since(5)), [""; 0]);
        for _ in 0..4 {
            catalog.set_phase("a", "active");
        }
        assert!(!catalog.members.contains_key("b"), "nothing of it is held for ever");
    }
}
