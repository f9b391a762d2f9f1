//! Checks on what is not a share of requests: crashes, memory and descriptors.

use std::fmt;

/// The alternative hypothesis of the crash test: a crash happens at a changed node with this probability.
const SUSPECTED_SHARE: f64 = 0.9;
/// Lower bound of the changed nodes' share of the time. Without it, a single crash right after the first change
/// would count as strong evidence, because the share is almost 0 then.
const MIN_SHARE: f64 = 0.01;
/// Allowed growth on top of the multiple of the earlier value: memory in bytes, and descriptors.
const ALLOWANCE: (u64, u64) = (64 << 20, 64);
/// Number of readings before a change that are needed for a comparison; the highest of them counts.
const MIN_READINGS: u64 = 5;

/// Crashes at changed and unchanged nodes, and the test whether the change causes crashes.
///
/// If the change does not cause crashes, each crash falls on a changed node with a probability equal to the
/// changed nodes' share of the time. The wealth of a gambler who bets on `SUSPECTED_SHARE` instead is an e-value
/// like the others (see [`super::evidence`]).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Crashes {
    changed: u64,
    unchanged: u64,
    /// Node seconds since the first change.
    changed_s: f64,
    unchanged_s: f64,
    /// Logarithm of the gambler's wealth.
    log_wealth: f64,
}

impl Crashes {
    /// Adds a time span of a node, and how often its process crashed in it.
    pub fn add(&mut self, changed: bool, seconds: f64, crashes: u64) {
        if changed {
            self.changed_s += seconds;
        } else {
            self.unchanged_s += seconds;
        }
        let share = (self.changed_s / (self.changed_s + self.unchanged_s).max(1e-9)).max(MIN_SHARE);
        if self.changed_s <= 0.0 || share >= SUSPECTED_SHARE {
            return;
        }
        for _ in 0..crashes {
            self.log_wealth += if changed {
                (SUSPECTED_SHARE / share).ln()
            } else {
                ((1.0 - SUSPECTED_SHARE) / (1.0 - share)).ln()
            };
            *(if changed { &mut self.changed } else { &mut self.unchanged }) += 1;
        }
    }

    /// Returns the e-value, see [`super::evidence::SequentialTest::e_value`].
    #[must_use]
    pub fn e_value(&self) -> f64 {
        self.log_wealth.exp().min(1e12)
    }
}

impl fmt::Display for Crashes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (changed_s, unchanged_s) = (self.changed_s, self.unchanged_s);
        write!(
            f,
            "processes ended: {} at changed nodes in {changed_s:.0} node seconds, {} at others in {unchanged_s:.0}",
            self.changed, self.unchanged
        )
    }
}

/// Memory and descriptors of a node, before and after it was changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Resources {
    /// Highest readings before the change: memory in bytes, and descriptors.
    before: (u64, u64),
    readings: u64,
    now: (u64, u64),
    was_changed: bool,
}

impl Resources {
    /// Records a reading. `changed`: the node runs the change and has settled.
    pub fn record(&mut self, memory: u64, descriptors: u64, changed: bool) {
        if changed {
            self.now = (memory, descriptors);
        } else if !self.was_changed {
            self.readings += 1;
            self.before = (self.before.0.max(memory), self.before.1.max(descriptors));
        }
    }

    /// Records that the node was changed, or changed back.
    pub fn mark_changed(&mut self) {
        self.was_changed = true;
        self.now = (0, 0);
    }

    /// Returns which resource has grown to more than this multiple of its earlier value plus the allowance, or none.
    #[must_use]
    pub fn excessive_growth(&self, multiple: f64) -> Option<String> {
        if self.readings < MIN_READINGS {
            return None;
        }
        let max = |before: u64, allowance: u64| (before as f64 * multiple) as u64 + allowance;
        let (memory, descriptors) = (max(self.before.0, ALLOWANCE.0), max(self.before.1, ALLOWANCE.1));
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
    fn crashes_are_weighed_by_the_changed_nodes_share_of_the_time() {
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
        // With half of the time at changed nodes, many crashes are needed.
        let mut half = Crashes::default();
        half.add(true, 50.0, 0);
        half.add(false, 50.0, 0);
        half.add(true, 0.0, 3);
        assert!(half.e_value() < 10.0, "{half}");
    }

    #[test]
    fn growth_is_compared_with_the_same_node_before_the_change() {
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
