//! Random numbers from the distributions of work and of client behaviour.

use crate::scenario::Distribution;

/// Draws from the standard normal distribution.
pub fn normal(rng: &mut fastrand::Rng) -> f64 {
    let (a, b) = (1.0 - rng.f64(), rng.f64());
    (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos()
}

/// Draws from the exponential distribution with this mean.
pub fn exponential(rng: &mut fastrand::Rng, mean: f64) -> f64 {
    -mean * (1.0 - rng.f64()).ln()
}

/// Draws from the lognormal distribution with mean 1 whose logarithm has the standard deviation `sigma`.
pub fn lognormal(rng: &mut fastrand::Rng, sigma: f64) -> f64 {
    (sigma * normal(rng) - sigma * sigma / 2.0).exp()
}

impl Distribution {
    /// Draws an amount of work with this mean.
    pub fn draw(self, rng: &mut fastrand::Rng, mean: f64) -> f64 {
        match self {
            Self::Constant => mean,
            Self::Exponential => exponential(rng, mean),
            // A standard deviation equal to the mean: sigma squared is ln 2.
            Self::Lognormal => mean * lognormal(rng, std::f64::consts::LN_2.sqrt()),
        }
    }
}
