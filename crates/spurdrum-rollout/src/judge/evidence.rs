//! Evidence that may be looked at at any moment.
//!
//! Against "the mean of these values, given all before them, is at most so much" a gambler bets again and again a part of what
//! he has on the next value being above it. If the claim holds, his wealth is a supermartingale from 1 on: that it ever reaches
//! 1/a has a chance of at most a (Ville), whenever and however often one looks, and whatever hangs together within a value.
//! Several gamblers with different parts are kept, and their mean counts: none has to be chosen beforehand (Waudby-Smith and
//! Ramdas, "Estimating means of bounded random variables by betting"). The mean of several such wealths is one again, whatever
//! the dependence, which is how classes and measures are put together.

/// Parts that are bet, of the largest that cannot ruin a gambler.
const BETS: [f64; 6] = [0.9, 0.5, 0.25, 0.12, 0.06, 0.03];

/// Evidence against a mean of at most a margin.
#[derive(Clone, Debug, PartialEq)]
pub struct SequentialTest {
    margin: f64,
    clip: f64,
    /// Logarithms of the gamblers' wealths.
    wealth: [f64; BETS.len()],
    sum: f64,
    count: f64,
}

impl SequentialTest {
    /// Values are cut off at `clip` above and below 0: no single one weighs more.
    #[must_use]
    pub fn new(margin: f64, clip: f64) -> Self {
        // A margin that no value could pass would never be broken.
        Self { margin: margin.min(0.9 * clip), clip, wealth: [0.0; BETS.len()], sum: 0.0, count: 0.0 }
    }

    /// One more value.
    pub fn add(&mut self, value: f64) {
        let value = value.clamp(-self.clip, self.clip);
        let most = 1.0 / (self.clip + self.margin);
        for (wealth, bet) in self.wealth.iter_mut().zip(BETS) {
            *wealth += (bet * most * (value - self.margin)).ln_1p();
        }
        self.sum += value;
        self.count += 1.0;
    }

    /// What the gamblers have on average: 1 at first; the reciprocal of the chance that so much or more is ever had by mistake.
    #[must_use]
    pub fn e_value(&self) -> f64 {
        // Beyond this it is certain, and a sum of several must stay a number.
        let most = 1e12_f64;
        self.wealth.iter().map(|wealth| wealth.exp().min(most)).sum::<f64>() / BETS.len() as f64
    }

    /// The mean of the values.
    #[must_use]
    pub fn mean(&self) -> f64 {
        self.sum / self.count.max(1.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn values(rng: &mut fastrand::Rng, n: usize, p: f64) -> f64 {
        (0..n).filter(|_| rng.f64() < p).count() as f64 / n as f64 - 0.01
    }

    /// Seen after each of a thousand values, in each of many lives: the chance of a mistake is as stated, and a mean that is
    /// above by two points is told from 30 draws a value in some two minutes.
    #[test]
    fn mistakes_are_as_rare_as_stated_however_often_one_looks() {
        let lives = 2000;
        let mut mistakes = 0;
        for seed in 0..lives {
            let mut rng = fastrand::Rng::with_seed(seed);
            let mut evidence = SequentialTest::new(0.0, 0.1);
            mistakes += u64::from((0..1000).any(|_| {
                evidence.add(values(&mut rng, 30, 0.01));
                evidence.e_value() >= 50.0
            }));
        }
        assert!(mistakes as f64 <= 0.02 * lives as f64 + 3.0 * (0.02 * lives as f64).sqrt(), "{mistakes}");
        let mut times: Vec<usize> = (0..200)
            .map(|seed| {
                let mut rng = fastrand::Rng::with_seed(seed);
                let mut evidence = SequentialTest::new(0.005, 0.1);
                let tells = |_: &usize| {
                    evidence.add(values(&mut rng, 30, 0.03));
                    evidence.e_value() >= 50.0
                };
                (1..1000).find(tells).unwrap_or(1000)
            })
            .collect();
        times.sort_unstable();
        assert!(times[100] < 120 && times[190] < 300, "{} {}", times[100], times[190]);
    }

    #[test]
    fn no_single_value_decides() {
        let mut evidence = SequentialTest::new(0.005, 0.1);
        evidence.add(1.0);
        assert!(evidence.e_value() < 2.0, "{}", evidence.e_value());
        (0..100).for_each(|_| evidence.add(f64::MIN));
        assert!(evidence.e_value() >= 0.0 && evidence.e_value() < 0.1, "{}", evidence.e_value());
        (0..10_000).for_each(|_| evidence.add(1.0));
        assert!(evidence.e_value() <= 1e12);
    }
}
