//! What keeping connections has been worth: how many that were answered asked again soon.

use std::time::Duration;

/// Connections are told apart by how often they have asked: once, 2 or 3 times, 4 to 7 times, more often.
pub(crate) const KINDS: usize = 4;

/// Before anything has been seen, one in two is taken to come back within the time, with the weight of one return:
/// 1 - exp(-1 / 1.4427) is a half.
const PRIOR: (f64, f64) = (1.0, std::f64::consts::LOG2_E);
/// Observations from which on a peer's own figure counts, rather than everybody's.
const ENOUGH: f64 = 8.0;

pub(crate) fn kind(asked: u32) -> usize {
    match asked {
        0 | 1 => 0,
        2..=3 => 1,
        4..=7 => 2,
        _ => 3,
    }
}

/// How often connections come back while they stand idle, for each kind: returns over the time that they stood, in
/// sums that decay. Connections that were closed before they could come back count with the time that they stood:
/// else pressure, which closes early, would hide what it needs to know.
#[derive(Clone, Debug, Default)]
pub(crate) struct Worth {
    returns: [f64; KINDS],
    /// In units of the time within which a return counts.
    stood: [f64; KINDS],
    seen: [f64; KINDS],
    at: [Duration; KINDS],
    /// Those that stand idle now and have not been noted: how many, and the sum of their starts in nanoseconds.
    standing: [(u64, u128); KINDS],
}

impl Worth {
    pub fn note(&mut self, now: Duration, half_life: Duration, kind: usize, returned: bool, stood: f64) {
        let kept = self.decay(now, half_life, kind);
        self.returns[kind] = self.returns[kind] * kept + f64::from(u8::from(returned));
        self.stood[kind] = self.stood[kind] * kept + stood;
        self.seen[kind] = self.seen[kind] * kept + 1.0;
        self.at[kind] = now;
    }

    /// One stands idle from now on.
    pub fn stand(&mut self, since: Duration, kind: usize) {
        self.standing[kind].0 += 1;
        self.standing[kind].1 += since.as_nanos();
    }

    /// One that stood since then does so no more, or has been noted.
    pub fn rise(&mut self, since: Duration, kind: usize) {
        self.standing[kind].0 -= 1;
        self.standing[kind].1 -= since.as_nanos();
    }

    fn decay(&self, now: Duration, half_life: Duration, kind: usize) -> f64 {
        (-(now.saturating_sub(self.at[kind])).div_duration_f64(half_life)).exp2()
    }

    /// The share that comes back within the time, where returns are taken to come evenly.
    pub fn of(&self, now: Duration, half_life: Duration, kind: usize, within: Duration) -> f64 {
        1.0 - (-self.rate(now, half_life, kind, within)).exp()
    }

    /// Returns in that time. Those that have asked more often are thought to come back as much as those that have
    /// asked less, until they show otherwise.
    /// Guards against closing all who have just asked often enough to be of a kind that nobody has been seen of.
    fn rate(&self, now: Duration, half_life: Duration, kind: usize, within: Duration) -> f64 {
        let even = PRIOR.0 / PRIOR.1;
        let before =
            kind.checked_sub(1).map_or(even, |less| self.rate(now, half_life, less, within).max(even));
        let kept = self.decay(now, half_life, kind);
        let (standing, since) = self.standing[kind];
        let standing = (u128::from(standing) * now.as_nanos()).saturating_sub(since) as f64;
        let stood = self.stood[kind] * kept + standing / within.as_nanos() as f64;
        (self.returns[kind] * kept + PRIOR.1 * before) / (stood + PRIOR.1)
    }

    /// Whether there is enough to go by.
    pub fn tells(&self, now: Duration, half_life: Duration, kind: usize) -> bool {
        self.seen[kind] * self.decay(now, half_life, kind) >= ENOUGH
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const HALF: Duration = Duration::from_secs(10);
    const SECOND: Duration = Duration::from_secs(1);

    #[test]
    fn those_that_still_stand_tell_before_their_time_is_over() {
        let mut worth = Worth::default();
        let at = Duration::from_millis;
        (0..50).for_each(|n| worth.stand(at(n), 0));
        assert!(worth.of(at(100), HALF, 0, SECOND) < 0.25);
        assert!(worth.of(at(500), HALF, 0, SECOND) < 0.05);
        (0..50).for_each(|n| worth.rise(at(n), 0));
        assert!((worth.of(at(500), HALF, 0, SECOND) - 0.5).abs() < 1e-9);
    }

    #[test]
    fn counts_halve_with_time_and_what_is_new_outweighs_what_is_old() {
        let mut worth = Worth::default();
        let at = Duration::from_secs;
        assert!((worth.of(at(0), HALF, 0, SECOND) - 0.5).abs() < 1e-9);
        for _ in 0..100 {
            worth.note(at(0), HALF, 0, false, 1.0);
        }
        assert!(worth.of(at(0), HALF, 0, SECOND) < 0.02);
        assert!(worth.tells(at(30), HALF, 0) && !worth.tells(at(40), HALF, 0));
        assert!((worth.of(at(1000), HALF, 0, SECOND) - 0.5).abs() < 1e-9, "all is forgotten");
        for _ in 0..100 {
            worth.note(at(50), HALF, 0, true, 0.1);
        }
        assert!(worth.of(at(50), HALF, 0, SECOND) > 0.9);
        assert!(worth.of(at(50), HALF, 3, SECOND) > 0.9, "who has asked more is thought to be worth as much");
        (0..200).for_each(|_| worth.note(at(50), HALF, 3, false, 1.0));
        assert!(worth.of(at(50), HALF, 3, SECOND) < 0.1 && worth.of(at(50), HALF, 0, SECOND) > 0.9);
    }

    #[test]
    fn what_is_closed_before_it_could_come_back_tells_for_as_long_as_it_stood() {
        let (mut early, mut whole) = (Worth::default(), Worth::default());
        let at = Duration::ZERO;
        // One in five comes back after a fifth of the time; the others never, and stand for a tenth of it or all.
        for n in 0..500 {
            let back = n % 5 == 0;
            early.note(at, HALF, 0, back, if back { 0.05 } else { 0.1 });
            whole.note(at, HALF, 0, back, if back { 0.2 } else { 1.0 });
        }
        assert!(early.of(at, HALF, 0, SECOND) > 0.8, "closed at once, they might all have come");
        assert!((whole.of(at, HALF, 0, SECOND) - 0.2).abs() < 0.05, "{}", whole.of(at, HALF, 0, SECOND));
    }
}
