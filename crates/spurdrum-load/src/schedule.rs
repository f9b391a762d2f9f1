//! When requests are due, and what they are: from a plan and a seed, with no clock. The same seed gives the same
//! schedule, byte for byte, on every machine.

use crate::plan::{ArrivalProcess, Phase, Plan, Shape};
use crate::Arrival;

/// The requests of a plan, in the order in which they are due.
pub struct Schedule {
    phases: Vec<Phase>,
    times: Times,
    at: usize,
    begun_s: f64,
    next_id: u64,
    picks: Picks,
}

/// What requests are, drawn apart from when they are due: a change of one does not change the other.
struct Picks {
    rng: fastrand::Rng,
    classes: Vec<f64>,
    tenants: Vec<f64>,
    bytes: Vec<(u32, u32)>,
    keys: Zipf,
}

impl Schedule {
    /// Begins at the first phase.
    pub fn new(plan: &Plan, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let times = Times::new(rng.fork());
        let picks = Picks {
            rng,
            classes: cumulated(plan.classes.iter().map(|class| class.share)),
            tenants: cumulated(plan.tenants.iter().map(|tenant| tenant.share)),
            bytes: plan.classes.iter().map(|class| class.bytes).collect(),
            keys: Zipf::new(plan.keys.count, plan.keys.zipf),
        };
        Self { phases: plan.phases.clone(), times, at: 0, begun_s: 0.0, next_id: 1, picks }
    }
}

impl Iterator for Schedule {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        loop {
            let phase = self.phases.get(self.at)?;
            if let Some(within) = self.times.next(phase) {
                let id = self.next_id;
                self.next_id += 1;
                return Some(self.picks.arrival(((self.begun_s + within) * 1e6) as u64, id));
            }
            self.begun_s += phase.for_s;
            self.at += 1;
            self.times.begin();
        }
    }
}

impl Picks {
    fn arrival(&mut self, due_us: u64, id: u64) -> Arrival {
        let class = pick(&self.classes, self.rng.f64());
        let tenant = pick(&self.tenants, self.rng.f64());
        let (least, most) = self.bytes[usize::from(class)];
        let bytes = self.rng.u32(least..=most);
        Arrival { due_us, id, first: None, class, tenant, key: self.keys.draw(self.rng.f64()), bytes }
    }
}

fn cumulated(shares: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut sum = 0.0;
    shares
        .map(|share| {
            sum += share;
            sum
        })
        .collect()
}

fn pick(cumulated: &[f64], draw: f64) -> u16 {
    let at = draw * cumulated.last().copied().unwrap_or_default();
    let picked = cumulated.partition_point(|sum| *sum <= at);
    u16::try_from(picked.min(cumulated.len().saturating_sub(1))).unwrap_or(u16::MAX)
}

/// Times within a phase. The rate's integral rises by 1 from an even arrival to the next, and by an exponential draw
/// from a Poisson one.
struct Times {
    rng: fastrand::Rng,
    /// The integral up to the last arrival.
    passed: f64,
    /// Bursts that have been given out in this phase, and what is left of the present one.
    bursts: u32,
    left: u32,
    burst_at: f64,
    /// The next one that is not of a burst, where it has been drawn.
    drawn: Option<f64>,
}

impl Times {
    fn new(rng: fastrand::Rng) -> Self {
        Self { rng, passed: 0.0, bursts: 0, left: 0, burst_at: 0.0, drawn: None }
    }

    fn begin(&mut self) {
        (self.passed, self.bursts, self.left, self.drawn) = (0.0, 0, 0, None);
    }

    /// The next one's time in the phase; none where the phase ends first.
    fn next(&mut self, phase: &Phase) -> Option<f64> {
        if self.left > 0 {
            self.left -= 1;
            return Some(self.burst_at);
        }
        let base = self.drawn.take().or_else(|| self.draw(phase));
        if phase.shape != Shape::Bursts {
            return base;
        }
        let at = f64::from(self.bursts) * phase.period_s.unwrap_or(phase.for_s);
        if at < phase.for_s && base.is_none_or(|base| at <= base) {
            self.drawn = base;
            self.bursts += 1;
            (self.left, self.burst_at) = (phase.burst.unwrap_or_default(), at);
            return self.next(phase);
        }
        base
    }

    fn draw(&mut self, phase: &Phase) -> Option<f64> {
        let step = match phase.arrivals {
            ArrivalProcess::Even => 1.0,
            ArrivalProcess::Poisson => -(1.0 - self.rng.f64()).ln(),
        };
        self.passed += step;
        if self.passed >= integral(phase, phase.for_s) {
            return None;
        }
        // The integral never falls, so the time can be closed in on.
        let (mut low, mut high) = (0.0, phase.for_s);
        match phase.shape {
            Shape::Constant | Shape::Bursts => return Some(self.passed / phase.rate),
            Shape::Ramp | Shape::Wave | Shape::Steps => {}
        }
        while high - low > 1e-7 {
            let middle = (low + high) / 2.0;
            if integral(phase, middle) < self.passed {
                low = middle;
            } else {
                high = middle;
            }
        }
        Some(high)
    }
}

/// Requests that are due from a phase's start to a time in it, without bursts.
fn integral(phase: &Phase, at: f64) -> f64 {
    match phase.shape {
        Shape::Constant | Shape::Bursts => phase.rate * at,
        Shape::Ramp => {
            let to = phase.to.unwrap_or(phase.rate);
            phase.rate * at + (to - phase.rate) * at * at / (2.0 * phase.for_s)
        }
        Shape::Wave => {
            let turn = std::f64::consts::TAU / phase.period_s.unwrap_or(phase.for_s);
            phase.rate * (at + phase.swing.unwrap_or_default() / turn * (1.0 - (turn * at).cos()))
        }
        Shape::Steps => {
            let each = phase.for_s / phase.rates.len() as f64;
            let whole = ((at / each) as usize).min(phase.rates.len() - 1);
            phase.rates[..whole].iter().sum::<f64>() * each + phase.rates[whole] * (at - whole as f64 * each)
        }
    }
}

/// Numbers from 0 on, the low ones more often. By the inverse of the integral, which for large counts is close to
/// Zipf's sum and needs no table.
struct Zipf {
    count: f64,
    exponent: f64,
}

impl Zipf {
    fn new(count: u64, exponent: f64) -> Self {
        Self { count: count as f64, exponent }
    }

    fn draw(&self, draw: f64) -> u64 {
        let end = self.count + 1.0;
        let rank = if self.exponent == 0.0 {
            1.0 + draw * self.count
        } else if (self.exponent - 1.0).abs() < 1e-9 {
            end.powf(draw)
        } else {
            let power = 1.0 - self.exponent;
            (1.0 + draw * (end.powf(power) - 1.0)).powf(1.0 / power)
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
        Plan::parse(&format!("{phases}\n{classes}")).expect("sound")
    }

    fn between(all: &[Arrival], from_s: f64, to_s: f64) -> usize {
        let within = |a: &&Arrival| (from_s..to_s).contains(&(a.due_us as f64 / 1e6));
        all.iter().filter(within).count()
    }

    const SHAPES: &str = "
        [[phase]]\nfor_s = 10\nshape = 'constant'\nrate = 100\narrivals = 'even'
        [[phase]]\nfor_s = 10\nshape = 'ramp'\nrate = 0\nto = 200\narrivals = 'even'
        [[phase]]\nfor_s = 10\nshape = 'wave'\nrate = 100\nswing = 0.5\nperiod_s = 10\narrivals = 'even'
        [[phase]]\nfor_s = 10\nshape = 'steps'\nrates = [50, 150]\narrivals = 'even'
        [[phase]]\nfor_s = 10\nshape = 'bursts'\nrate = 10\nburst = 300\nperiod_s = 5\narrivals = 'even'";

    #[test]
    fn each_shape_has_its_requests_where_they_belong() {
        let all: Vec<Arrival> = Schedule::new(&plan(SHAPES), 1).collect();
        assert!(all.windows(2).all(|pair| pair[0].due_us <= pair[1].due_us && pair[0].id < pair[1].id));
        let close = |n: usize, to: usize| n.abs_diff(to) <= 2;
        let counts = [
            (0.0, 10.0, 1000),
            (10.0, 15.0, 250),
            (15.0, 20.0, 750),
            // Half of the wave's swing, over half a period: 100 * 5 * (1 + 0.5 * 2 / pi).
            (20.0, 25.0, 659),
            (25.0, 30.0, 341),
            (30.0, 35.0, 250),
            (35.0, 40.0, 750),
            (40.0, 45.0, 350),
            (45.0, 50.0, 350),
        ];
        for (from, to, wanted) in counts {
            let n = between(&all, from, to);
            assert!(close(n, wanted), "{from} to {to} s: {n}, not {wanted}");
        }
        let moment = all.iter().filter(|a| a.due_us == 45_000_000).count();
        assert!(moment >= 300, "{moment} in one moment");
    }

    #[test]
    fn the_same_seed_gives_the_same_schedule_and_another_one_another() {
        let shapes = SHAPES.replace("arrivals = 'even'", "arrivals = 'poisson'");
        let text = |seed| format!("{:?}", Schedule::new(&plan(&shapes), seed).collect::<Vec<_>>());
        assert_eq!(text(7), text(7));
        assert_ne!(text(7), text(8));
    }

    #[test]
    fn poisson_arrivals_have_the_rate_and_the_spread_of_their_kind() {
        let phase = "[[phase]]\nfor_s = 200\nshape = 'constant'\nrate = 500\n";
        let all: Vec<Arrival> = Schedule::new(&plan(phase), 3).collect();
        assert!(all.len().abs_diff(100_000) < 1500, "{}", all.len());
        let gaps: Vec<f64> = all.windows(2).map(|p| (p[1].due_us - p[0].due_us) as f64 / 1e6).collect();
        let mean = gaps.iter().sum::<f64>() / gaps.len() as f64;
        let var = gaps.iter().map(|gap| (gap - mean).powi(2)).sum::<f64>() / gaps.len() as f64;
        assert!((var.sqrt() / mean - 1.0).abs() < 0.02, "{}", var.sqrt() / mean);
    }

    #[test]
    fn classes_tenants_and_sizes_follow_the_mix() {
        let phase =
            "[[phase]]\nfor_s = 100\nshape = 'constant'\nrate = 400\n[keys]\ncount = 100\nzipf = 1.0\n";
        let all: Vec<Arrival> = Schedule::new(&plan(phase), 3).collect();
        let share =
            |of: &dyn Fn(&Arrival) -> bool| all.iter().filter(|a| of(a)).count() as f64 / all.len() as f64;
        assert!((share(&|a| a.class == 1) - 0.75).abs() < 0.02);
        assert!((share(&|a| a.tenant == 1) - 0.8).abs() < 0.02);
        assert!(all.iter().all(|a| a.class == 1 && a.bytes == 0 || (10..=90).contains(&a.bytes)));
        assert!(all.iter().all(|a| a.key < 100));
        let (first, tenth) = (share(&|a| a.key == 0), share(&|a| a.key == 9));
        assert!(first > 5.0 * tenth && tenth > 0.0, "{first} {tenth}");
    }
}
