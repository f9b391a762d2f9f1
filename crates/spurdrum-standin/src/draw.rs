//! Numbers drawn by the distributions that work and clients have.

use crate::scenario::Distribution;

/// Of the standard normal distribution.
pub fn normal(rng: &mut fastrand::Rng) -> f64 {
    let (a, b) = (1.0 - rng.f64(), rng.f64());
    (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos()
}

/// Without memory, of this mean.
pub fn exponential(rng: &mut fastrand::Rng, mean: f64) -> f64 {
    -mean * (1.0 - rng.f64()).ln()
}

/// Lognormal of mean 1, whose logarithm deviates by this sigma.
pub fn lognormal(rng: &mut fastrand::Rng, sigma: f64) -> f64 {
    (sigma * normal(rng) - sigma * sigma / 2.0).exp()
}

impl Distribution {
    /// Work of this mean.
    pub fn draw(self, rng: &mut fastrand::Rng, mean: f64) -> f64 {
        match self {
            Self::Constant => mean,
            Self::Exponential => exponential(rng, mean),
            // Of deviation 1 against its mean: sigma squared is ln 2.
            Self::Lognormal => mean * lognormal(rng, std::f64::consts::LN_2.sqrt()),
        }
    }
}
