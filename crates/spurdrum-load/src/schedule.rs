//! Generates when requests are due and what they contain, from a plan and a seed, without a clock. The same
//! seed gives the same schedule, byte for byte, on every machine.

use crate::plan::{ArrivalProcess, Phase, Plan, Shape};
use crate::Arrival;

/// The requests of a plan, in the order in which they are due.
pub struct Schedule {
    phases: Vec<Phase>,
    times: ArrivalTimes,
    phase_index: usize,
    phase_start_s: f64,
    next_id: u64,
    sampler: RequestSampler,
}

/// Draws what requests contain. It has a random generator of its own, so that a change of the contents does
/// not change when requests are due, and the other way round.
struct RequestSampler {
    rng: fastrand::Rng,
    cumulative_class_shares: Vec<f64>,
    cumulative_tenant_shares: Vec<f64>,
    bytes: Vec<(u32, u32)>,
    keys: Zipf,
}

impl Schedule {
    /// Creates a schedule that begins with the first phase.
    pub fn new(plan: &Plan, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let times = ArrivalTimes::new(rng.fork());
        let sampler = RequestSampler {
            rng,
            cumulative_class_shares: cumulative_sums(plan.classes.iter().map(|class| class.share)),
            cumulative_tenant_shares: cumulative_sums(plan.tenants.iter().map(|tenant| tenant.share)),
            bytes: plan.classes.iter().map(|class| class.bytes).collect(),
            keys: Zipf::new(plan.keys.count, plan.keys.zipf),
        };
        Self { phases: plan.phases.clone(), times, phase_index: 0, phase_start_s: 0.0, next_id: 1, sampler }
    }
}

impl Iterator for Schedule {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        loop {
            let phase = self.phases.get(self.phase_index)?;
            if let Some(offset_s) = self.times.next(phase) {
                let id = self.next_id;
                self.next_id += 1;
                return Some(self.sampler.arrival(((self.phase_start_s + offset_s) * 1e6) as u64, id));
            }
            self.phase_start_s += phase.for_s;
            self.phase_index += 1;
            self.times.start_phase();
        }
    }
}

impl RequestSampler {
    fn arrival(&mut self, due_us: u64, id: u64) -> Arrival {
        let class = sample_index(&self.cumulative_class_shares, self.rng.f64());
        let tenant = sample_index(&self.cumulative_tenant_shares, self.rng.f64());
        let (min, max) = self.bytes[usize::from(class)];
        let bytes = self.rng.u32(min..=max);
        Arrival { due_us, id, retry_of: None, class, tenant, key: self.keys.draw(self.rng.f64()), bytes }
    }
}

fn cumulative_sums(shares: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut sum = 0.0;
    shares
        .map(|share| {
            sum += share;
            sum
        })
        .collect()
}

/// Returns an index with a probability in proportion to its share. `draw` is a random number from 0 to 1.
fn sample_index(cumulative_shares: &[f64], draw: f64) -> u16 {
    let target = draw * cumulative_shares.last().copied().unwrap_or_default();
    let index = cumulative_shares.partition_point(|sum| *sum <= target);
    u16::try_from(index.min(cumulative_shares.len().saturating_sub(1))).unwrap_or(u16::MAX)
}

/// Generates the times of arrivals within a phase. From one arrival to the next, the integral of the rate
/// rises by 1 where arrivals are even, and by an exponentially distributed random number where they are
/// Poisson.
struct ArrivalTimes {
    rng: fastrand::Rng,
    /// Integral of the rate from the start of the phase to the last arrival that is not part of a burst.
    rate_integral: f64,
    /// Number of bursts begun in this phase.
    bursts: u32,
    /// Number of arrivals left in the current burst.
    left_in_burst: u32,
    /// Time of the current burst in the phase.
    burst_s: f64,
    /// Time of the next arrival that is not part of a burst, if it has been drawn already.
    next_base_s: Option<f64>,
}

impl ArrivalTimes {
    fn new(rng: fastrand::Rng) -> Self {
        Self { rng, rate_integral: 0.0, bursts: 0, left_in_burst: 0, burst_s: 0.0, next_base_s: None }
    }

    fn start_phase(&mut self) {
        (self.rate_integral, self.bursts, self.left_in_burst, self.next_base_s) = (0.0, 0, 0, None);
    }

    /// Returns the time of the next arrival in seconds from the start of the phase, or none if the phase ends
    /// first.
    fn next(&mut self, phase: &Phase) -> Option<f64> {
        if self.left_in_burst > 0 {
            self.left_in_burst -= 1;
            return Some(self.burst_s);
        }
        let base_s = self.next_base_s.take().or_else(|| self.draw(phase));
        if phase.shape != Shape::Bursts {
            return base_s;
        }
        let burst_s = f64::from(self.bursts) * phase.period_s.unwrap_or(phase.for_s);
        if burst_s < phase.for_s && base_s.is_none_or(|base_s| burst_s <= base_s) {
            self.next_base_s = base_s;
            self.bursts += 1;
            (self.left_in_burst, self.burst_s) = (phase.burst.unwrap_or_default(), burst_s);
            return self.next(phase);
        }
        base_s
    }

    /// Draws the time of the next arrival that is not part of a burst, or none if the phase ends first.
    fn draw(&mut self, phase: &Phase) -> Option<f64> {
        let step = match phase.arrivals {
            ArrivalProcess::Even => 1.0,
            ArrivalProcess::Poisson => -(1.0 - self.rng.f64()).ln(),
        };
        self.rate_integral += step;
        if self.rate_integral >= integral(phase, phase.for_s) {
            return None;
        }
        // The integral never decreases, so the time can be found by bisection.
        let (mut low, mut high) = (0.0, phase.for_s);
        match phase.shape {
            Shape::Constant | Shape::Bursts => return Some(self.rate_integral / phase.rate),
            Shape::Ramp | Shape::Wave | Shape::Steps => {}
        }
        while high - low > 1e-7 {
            let middle = (low + high) / 2.0;
            if integral(phase, middle) < self.rate_integral {
                low = middle;
            } else {
                high = middle;
            }
        }
        Some(high)
    }
}

/// Returns the integral of the rate over the first `time_s` seconds of a phase: the expected number of
/// requests, without bursts.
fn integral(phase: &Phase, time_s: f64) -> f64 {
    match phase.shape {
        Shape::Constant | Shape::Bursts => phase.rate * time_s,
        Shape::Ramp => {
            let to = phase.to.unwrap_or(phase.rate);
            phase.rate * time_s + (to - phase.rate) * time_s * time_s / (2.0 * phase.for_s)
        }
        Shape::Wave => {
            let angular_frequency = std::f64::consts::TAU / phase.period_s.unwrap_or(phase.for_s);
            phase.rate
                * (time_s
                    + phase.swing.unwrap_or_default() / angular_frequency
                        * (1.0 - (angular_frequency * time_s).cos()))
        }
        Shape::Steps => {
            let step_s = phase.for_s / phase.rates.len() as f64;
            let complete = ((time_s / step_s) as usize).min(phase.rates.len() - 1);
            phase.rates[..complete].iter().sum::<f64>() * step_s
                + phase.rates[complete] * (time_s - complete as f64 * step_s)
        }
    }
}

/// Draws numbers from 0 on, low ones more often. It inverts the integral of the density, which for large
/// counts is close to the sum of Zipf's law and needs no table.
struct Zipf {
    count: f64,
    exponent: f64,
}

impl Zipf {
    fn new(count: u64, exponent: f64) -> Self {
        Self { count: count as f64, exponent }
    }

    fn draw(&self, draw: f64) -> u64 {
        let rank_end = self.count + 1.0;
        let rank = if self.exponent == 0.0 {
            1.0 + draw * self.count
        } else if (self.exponent - 1.0).abs() < 1e-9 {
            rank_end.powf(draw)
        } else {
            let power = 1.0 - self.exponent;
            (1.0 + draw * (rank_end.powf(power) - 1.0)).powf(1.0 / power)
        };
        (rank as u64 - 1).min(self.count as u64 - 1)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn plan(phases: &str) -> Plan {
        let classes = "[[class]]\nname = \"update\"\naim_s = 0.4\ndeadline_s = 0.8\nbytes = [10, 90]\n\
                       [[class]]\nname = \"read\"\nshare = 3\naim_s = 0.1\ndeadline_s = 0.2\n\
                       [[tenant]]\nname = \"a\"\n[[tenant]]\nname = \"b\"\nshare = 4\n";
        Plan::parse(&format!("{phases}\n{classes}")).expect("valid")
    }

    fn count_between(all: &[Arrival], from_s: f64, to_s: f64) -> usize {
        let is_between = |a: &&Arrival| (from_s..to_s).contains(&(a.due_us as f64 / 1e6));
        all.iter().filter(is_between).count()
    }

    const SHAPES: &str = "
        [[phase]]\nfor_s = 10\nshape = 'constant'\nrate = 100\narrivals = 'even'
        [[phase]]\nfor_s = 10\nshape = 'ramp'\nrate = 0\nto = 200\narrivals = 'even'
        [[phase]]\nfor_s = 10\nshape = 'wave'\nrate = 100\nswing = 0.5\nperiod_s = 10\narrivals = 'even'
        [[phase]]\nfor_s = 10\nshape = 'steps'\nrates = [50, 150]\narrivals = 'even'
        [[phase]]\nfor_s = 10\nshape = 'bursts'\nrate = 10\nburst = 300\nperiod_s = 5\narrivals = 'even'";

    #[test]
    fn each_shape_distributes_its_requests_as_specified() {
        let all: Vec<Arrival> = Schedule::new(&plan(SHAPES), 1).collect();
        assert!(all.windows(2).all(|pair| pair[0].due_us <= pair[1].due_us && pair[0].id < pair[1].id));
        let close = |n: usize, expected: usize| n.abs_diff(expected) <= 2;
        let expected_counts = [
            (0.0, 10.0, 1000),
            (10.0, 15.0, 250),
            (15.0, 20.0, 750),
            // Half a period of a wave whose amplitude is half of the rate: 100 * 5 * (1 + 0.5 * 2 / pi).
            (20.0, 25.0, 659),
            (25.0, 30.0, 341),
            (30.0, 35.0, 250),
            (35.0, 40.0, 750),
            (40.0, 45.0, 350),
            (45.0, 50.0, 350),
        ];
        for (from_s, to_s, expected) in expected_counts {
            let n = count_between(&all, from_s, to_s);
            assert!(close(n, expected), "{from_s} to {to_s} s: {n} requests, expected {expected}");
        }
        let in_burst = all.iter().filter(|a| a.due_us == 45_000_000).count();
        assert!(in_burst >= 300, "{in_burst} requests in the burst");
    }

    #[test]
    fn the_same_seed_gives_the_same_schedule_and_another_seed_a_different_one() {
        let shapes = SHAPES.replace("arrivals = 'even'", "arrivals = 'poisson'");
        let text = |seed| format!("{:?}", Schedule::new(&plan(&shapes), seed).collect::<Vec<_>>());
        assert_eq!(text(7), text(7));
        assert_ne!(text(7), text(8));
    }

    #[test]
    fn poisson_arrivals_have_the_configured_rate_and_exponential_gaps() {
        let phase = "[[phase]]\nfor_s = 200\nshape = 'constant'\nrate = 500\n";
        let all: Vec<Arrival> = Schedule::new(&plan(phase), 3).collect();
        assert!(all.len().abs_diff(100_000) < 1500, "{}", all.len());
        let gaps: Vec<f64> = all.windows(2).map(|p| (p[1].due_us - p[0].due_us) as f64 / 1e6).collect();
        let mean = gaps.iter().sum::<f64>() / gaps.len() as f64;
        let variance = gaps.iter().map(|gap| (gap - mean).powi(2)).sum::<f64>() / gaps.len() as f64;
        assert!((variance.sqrt() / mean - 1.0).abs() < 0.02, "{}", variance.sqrt() / mean);
    }

    #[test]
    fn classes_tenants_body_sizes_and_keys_follow_the_plan() {
        let phase =
            "[[phase]]\nfor_s = 100\nshape = 'constant'\nrate = 400\n[keys]\ncount = 100\nzipf = 1.0\n";
        let all: Vec<Arrival> = Schedule::new(&plan(phase), 3).collect();
        let share =
            |is: &dyn Fn(&Arrival) -> bool| all.iter().filter(|a| is(a)).count() as f64 / all.len() as f64;
        assert!((share(&|a| a.class == 1) - 0.75).abs() < 0.02);
        assert!((share(&|a| a.tenant == 1) - 0.8).abs() < 0.02);
        assert!(all.iter().all(|a| a.class == 1 && a.bytes == 0 || (10..=90).contains(&a.bytes)));
        assert!(all.iter().all(|a| a.key < 100));
        let (first, tenth) = (share(&|a| a.key == 0), share(&|a| a.key == 9));
        assert!(first > 5.0 * tenth && tenth > 0.0, "{first} {tenth}");
    }
}
