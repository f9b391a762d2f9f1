//! What is not a part of requests: processes that end, memory and descriptors.

use std::fmt;

/// The chance that a crash is one at a new node, that a new version is suspected of.
const SUSPECTED: f64 = 0.9;
/// A share of the time is never taken for less: a node that was changed this instant proves nothing.
const SHARE_LEAST: f64 = 0.01;
/// What may come on top of what was before: memory in bytes, and descriptors.
const SPARE: (u64, u64) = (64 << 20, 64);
/// Readings before a change that are kept: the highest counts.
const READINGS: u64 = 5;

/// Crashes at new and old nodes.
///
/// Each is a draw: if the change has no part in it, it falls on new nodes by their share of the time. The wealth of one who bets
/// on a version that crashes is evidence like any other (see [`super::evidence`]).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Crashes {
    new: u64,
    old: u64,
    /// Node seconds since the first change.
    new_s: f64,
    old_s: f64,
    wealth: f64,
}

impl Crashes {
    /// Time of a node, and how often its process ended in it.
    pub fn add(&mut self, new: bool, seconds: f64, crashes: u64) {
        if new {
            self.new_s += seconds;
        } else {
            self.old_s += seconds;
        }
        let share = (self.new_s / (self.new_s + self.old_s).max(1e-9)).max(SHARE_LEAST);
        if self.new_s <= 0.0 || share >= SUSPECTED {
            return;
        }
        for _ in 0..crashes {
            self.wealth +=
                if new { (SUSPECTED / share).ln() } else { ((1.0 - SUSPECTED) / (1.0 - share)).ln() };
            *(if new { &mut self.new } else { &mut self.old }) += 1;
        }
    }

    /// As [`super::evidence::Evidence::worth`].
    #[must_use]
    pub fn e_value(&self) -> f64 {
        self.wealth.exp().min(1e12)
    }
}

impl fmt::Display for Crashes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (new_s, old_s) = (self.new_s, self.old_s);
        write!(
            f,
            "processes ended: {} at changed nodes in {new_s:.0} node seconds, {} at others in {old_s:.0}",
            self.new, self.old
        )
    }
}

/// Memory and descriptors of a node.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Resources {
    before: (u64, u64),
    readings: u64,
    now: (u64, u64),
    changed: bool,
}

impl Resources {
    /// One reading; of the change where it runs and has settled.
    pub fn record(&mut self, memory: u64, descriptors: u64, new: bool) {
        if new {
            self.now = (memory, descriptors);
        } else if !self.changed {
            self.readings += 1;
            self.before = (self.before.0.max(memory), self.before.1.max(descriptors));
        }
    }

    /// The node was changed, or changed back.
    pub fn mark_changed(&mut self) {
        self.changed = true;
        self.now = (0, 0);
    }

    /// What is above so many times what it was before.
    #[must_use]
    pub fn excessive_growth(&self, times: f64) -> Option<String> {
        if self.readings < READINGS {
            return None;
        }
        let most = |before: u64, spare: u64| (before as f64 * times) as u64 + spare;
        let (memory, descriptors) = (most(self.before.0, SPARE.0), most(self.before.1, SPARE.1));
        if self.now.0 > memory {
            return Some(format!("memory {} MB, {} MB before", self.now.0 >> 20, self.before.0 >> 20));
        }
        (self.now.1 > descriptors).then(|| format!("{} descriptors, {} before", self.now.1, self.before.1))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn crashes_count_by_the_share_of_the_time() {
        let mut crashes = Crashes::default();
        for _ in 0..100 {
            crashes.add(true, 1.0, 0);
            crashes.add(false, 99.0, 0);
        }
        crashes.add(false, 0.0, 1);
        assert!(crashes.e_value() < 1.0);
        crashes.add(true, 0.0, 1);
        crashes.add(true, 0.0, 1);
        assert!(crashes.e_value() > 50.0, "{crashes}");
        // With half of the time, it takes many.
        let mut half = Crashes::default();
        half.add(true, 50.0, 0);
        half.add(false, 50.0, 0);
        half.add(true, 0.0, 3);
        assert!(half.e_value() < 10.0, "{half}");
    }

    #[test]
    fn what_grows_is_told_beside_the_node_itself() {
        let mut resources = Resources::default();
        (0..10).for_each(|_| resources.record(40 << 20, 100, false));
        resources.mark_changed();
        resources.record(120 << 20, 250, true);
        assert_eq!(resources.excessive_growth(2.0), None);
        resources.record(150 << 20, 250, true);
        assert!(resources.excessive_growth(2.0).is_some_and(|why| why.starts_with("memory 150 MB")));
        resources.record(120 << 20, 300, true);
        assert!(resources.excessive_growth(2.0).is_some_and(|why| why.starts_with("300 descriptors")));
    }
}
