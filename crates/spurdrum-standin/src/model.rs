//! A pure model of one simulated server: cores, request slots, a bounded queue, slow start and faults. It
//! does no I/O and reads no clock; all randomness comes from a seed.

use std::collections::{BTreeMap, VecDeque};

use crate::scenario::{Fault, FaultKind, Spec};

/// How the simulated server ends a request that has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SimulatedOutcome {
    /// Answered with 200.
    Served,
    /// Run, then answered with 500.
    Error,
    /// Not run; answered with 503 and `X-Not-Run: 1`.
    Refused,
    /// The server resets the connection. The request counts as run.
    Reset,
    /// Run, but never answered.
    Silent,
    /// Run; the server sends half of the response and closes the connection.
    Spoilt,
    /// Answered with 200; a second copy of the response follows after this many milliseconds.
    Surplus(u64),
}

struct Job {
    /// Remaining work, in milliseconds on one core of speed 1.
    remaining_ms: f64,
    outcome: SimulatedOutcome,
}

/// The state of one simulated server. All times are in milliseconds since the start of the scenario.
pub struct Model {
    spec: Spec,
    faults: Vec<Fault>,
    rng: fastrand::Rng,
    /// When the server started in slow start, or `None` if it is at full speed from the beginning.
    started: Option<f64>,
    now: f64,
    running: BTreeMap<u64, Job>,
    queued: VecDeque<(u64, Job)>,
    /// Arrival time and work of the requests received during slow start, within the overload window.
    received: VecDeque<(f64, f64)>,
    received_work: f64,
    /// Whether the server has collapsed under load; it does not recover.
    collapsed: bool,
    /// The load report that is repeated until `report_ms` have passed, with the time at which it was made.
    last_report: Option<(f64, String)>,
}

impl Model {
    /// Creates a server with the faults that apply to it. `started` is the time at which its slow start
    /// begins, or `None` for a server that is at full speed from the beginning.
    pub fn new(spec: Spec, faults: Vec<Fault>, seed: u64, started: Option<f64>) -> Self {
        let rng = fastrand::Rng::with_seed(seed);
        let (running, queued, received) = (BTreeMap::new(), VecDeque::new(), VecDeque::new());
        Self {
            spec,
            faults,
            rng,
            started,
            now: started.unwrap_or(0.0),
            running,
            queued,
            received,
            received_work: 0.0,
            collapsed: false,
            last_report: None,
        }
    }

    /// Returns the first fault of this kind that is active at time `at`.
    fn active(&self, at: f64, kind: FaultKind) -> Option<&Fault> {
        let covers = |fault: &&Fault| {
            let from = fault.at_s * 1000.0;
            fault.kind == kind && at >= from && fault.for_s.is_none_or(|s| at < from + s * 1000.0)
        };
        self.faults.iter().find(covers)
    }

    /// Returns the active fault of this kind if it hits a request that arrives now. Draws a random number
    /// only while such a fault is active.
    fn hit_by(&mut self, kind: FaultKind) -> Option<Fault> {
        let fault = self.active(self.now, kind)?.clone();
        (self.rng.f64() < fault.part).then_some(fault)
    }

    /// Returns the fraction of its full speed that the server has at time `at`: below 1 during slow start.
    pub fn speed_fraction(&self, at: f64) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let part = ((at - started) / (self.spec.cold_s * 1000.0)).clamp(0.0, 1.0);
        self.spec.cold_from + (1.0 - self.spec.cold_from) * part
    }

    /// Returns the work done for each running request per millisecond.
    fn rate(&self) -> f64 {
        if self.running.is_empty() || self.active(self.now, FaultKind::Pause).is_some() {
            return 0.0;
        }
        let slowdown = self.active(self.now, FaultKind::Slow).map_or(1.0, |fault| fault.factor);
        let core_share = (f64::from(self.spec.cores) / self.running.len() as f64).min(1.0);
        core_share * self.spec.speed * self.speed_fraction(self.now) / slowdown
    }

    /// Returns when the rate next changes without an arrival or completion: at the beginning or end of a
    /// pause or slowdown, and every 10 ms during slow start.
    fn next_change(&self) -> Option<f64> {
        let boundaries = self.faults.iter().filter(|f| matches!(f.kind, FaultKind::Pause | FaultKind::Slow));
        let boundaries = boundaries.flat_map(|f| {
            let from = f.at_s * 1000.0;
            [Some(from), f.for_s.map(|s| from + s * 1000.0)].into_iter().flatten()
        });
        let in_slow_start = self.speed_fraction(self.now) < 1.0;
        boundaries
            .filter(|at| *at > self.now)
            .chain(in_slow_start.then_some(self.now + 10.0))
            .reduce(f64::min)
    }

    /// Returns the time of the next completion or change of the rate if no further request arrives.
    pub fn next_wake(&self) -> Option<f64> {
        let rate = self.rate();
        let min_remaining = self.running.values().map(|job| job.remaining_ms).reduce(f64::min);
        let next_completion =
            min_remaining.filter(|_| rate > 0.0).map(|remaining_ms| self.now + remaining_ms / rate);
        next_completion
            .into_iter()
            .chain(self.next_change().filter(|_| !self.running.is_empty()))
            .reduce(f64::min)
    }

    /// Advances the model to time `to` and returns the requests completed meanwhile, in order of completion.
    pub fn advance(&mut self, to: f64) -> Vec<(u64, SimulatedOutcome)> {
        let mut done = Vec::new();
        while self.now < to {
            let step_end = self.next_wake().unwrap_or(to).min(to).max(self.now);
            let worked = self.rate() * (step_end - self.now);
            self.now = step_end;
            for job in self.running.values_mut() {
                job.remaining_ms -= worked;
            }
            let before = done.len();
            let completed: Vec<u64> =
                self.running.iter().filter(|(_, job)| job.remaining_ms <= 1e-9).map(|(id, _)| *id).collect();
            done.extend(completed.into_iter().filter_map(|id| Some((id, self.running.remove(&id)?.outcome))));
            while self.running.len() < self.spec.slots {
                let Some((id, job)) = self.queued.pop_front() else { break };
                self.running.insert(id, job);
            }
            if done.len() == before && step_end >= to {
                break;
            }
        }
        self.now = self.now.max(to);
        done
    }

    /// Handles the arrival of a request's last byte. Returns the outcome if it is decided at once; otherwise
    /// [`advance`](Self::advance) returns it later.
    pub fn arrive(&mut self, id: u64) -> Option<SimulatedOutcome> {
        self.arrive_with(id, 1.0)
    }

    /// Like [`arrive`](Self::arrive), with the request's work multiplied by `factor`.
    pub fn arrive_with(&mut self, id: u64, factor: f64) -> Option<SimulatedOutcome> {
        let work = self.draw_work() * factor;
        if self.collapsed || self.collapses(work) {
            self.collapsed = true;
            return Some(SimulatedOutcome::Reset);
        }
        if self.hit_by(FaultKind::Refuse).is_some() {
            return Some(SimulatedOutcome::Refused);
        }
        let fault_outcomes = [
            (FaultKind::Error, SimulatedOutcome::Error),
            (FaultKind::ResetAfter, SimulatedOutcome::Reset),
            (FaultKind::Silent, SimulatedOutcome::Silent),
            (FaultKind::Spoilt, SimulatedOutcome::Spoilt),
        ];
        let outcome =
            fault_outcomes.into_iter().find_map(|(kind, outcome)| self.hit_by(kind).map(|_| outcome));
        let surplus = self.hit_by(FaultKind::Surplus).map(|fault| SimulatedOutcome::Surplus(fault.delay_ms));
        let job =
            Job { remaining_ms: work, outcome: outcome.or(surplus).unwrap_or(SimulatedOutcome::Served) };
        if self.running.len() < self.spec.slots {
            self.running.insert(id, job);
        } else if self.queued.len() < self.spec.queue {
            self.queued.push_back((id, job));
        } else {
            return Some(SimulatedOutcome::Refused);
        }
        None
    }

    /// Returns whether the server resets the connection of a request whose head has just arrived, before
    /// reading the rest of the request.
    pub fn resets_early(&mut self) -> bool {
        self.hit_by(FaultKind::ResetBefore).is_some()
    }

    /// Cancels a request whose client has left. A queued request is dropped; a running one continues.
    pub fn cancel(&mut self, id: u64) {
        self.queued.retain(|(queued, _)| *queued != id);
    }

    fn draw_work(&mut self) -> f64 {
        self.spec.work.draw(&mut self.rng, self.spec.work_ms)
    }

    /// Records `work` and returns whether it makes a server in slow start collapse: the work received within
    /// the `fall_s` window then exceeds `fall_multiple` times the server's capacity in that window.
    fn collapses(&mut self, work: f64) -> bool {
        let Some(started) = self.started.filter(|_| self.speed_fraction(self.now) < 1.0) else {
            return false;
        };
        let window = self.spec.fall_s * 1000.0;
        self.received.push_back((self.now, work));
        self.received_work += work;
        while let Some((_, old)) = self.received.front().copied().filter(|(at, _)| *at < self.now - window) {
            self.received.pop_front();
            self.received_work -= old;
        }
        // Speed rises linearly during slow start, so its mean over the window is the mean of its values at
        // both ends.
        let mean =
            (self.speed_fraction((self.now - window).max(started)) + self.speed_fraction(self.now)) / 2.0;
        let capacity = mean * window * f64::from(self.spec.cores) * self.spec.speed;
        self.received_work > self.spec.fall_multiple * capacity
    }

    /// Returns whether the server has collapsed under load or is down because of a `die` fault.
    pub fn is_down(&self) -> bool {
        self.collapsed || self.active(self.now, FaultKind::Die).is_some()
    }

    /// Returns the load report that the server's responses carry: the last one for `report_ms`, then a new
    /// one, with noise if configured.
    pub fn report(&mut self) -> String {
        if let Some((_, text)) =
            self.last_report.as_ref().filter(|(at, _)| self.now < at + self.spec.report_ms)
        {
            return text.clone();
        }
        let pending = self.running.len() + self.queued.len();
        let noise = self.spec.report_noise;
        let mut with_noise = |n: usize| {
            let error_factor = if noise > 0.0 { 1.0 + noise * (2.0 * self.rng.f64() - 1.0) } else { 1.0 };
            (n as f64 * error_factor).round() as usize
        };
        let text = format!("inflight={},queue={}", with_noise(pending), with_noise(self.queued.len()));
        self.last_report = Some((self.now, text.clone()));
        text
    }

    /// Returns the number of running and of queued requests.
    pub fn load(&self) -> (usize, usize) {
        (self.running.len(), self.queued.len())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scenario::Distribution;

    fn fault(kind: FaultKind, at_s: f64, for_s: f64) -> Fault {
        Fault { on: "s0".into(), kind, at_s, for_s: Some(for_s), part: 1.0, factor: 4.0, delay_ms: 7 }
    }

    fn server(faults: Vec<Fault>, started: Option<f64>) -> Model {
        Model::new(Spec { cores: 2, slots: 4, queue: 2, ..Spec::default() }, faults, 1, started)
    }

    fn completion_times(model: &mut Model, until: f64) -> Vec<(u64, f64)> {
        let mut all = Vec::new();
        while let Some(at) = model.next_wake().filter(|at| *at <= until) {
            all.extend(model.advance(at).into_iter().map(|(id, _)| (id, (at * 1000.0).round() / 1000.0)));
        }
        all
    }

    #[test]
    fn running_requests_share_the_cores_and_the_queue_is_bounded() {
        let mut model = server(vec![], None);
        let immediate: Vec<Option<SimulatedOutcome>> = (0..7).map(|id| model.arrive(id)).collect();
        assert_eq!(immediate[..6], [None; 6]);
        assert_eq!(immediate[6], Some(SimulatedOutcome::Refused));
        assert_eq!((model.load(), model.report()), ((4, 2), "inflight=6,queue=2".into()));
        // Four requests share two cores and take 20 ms each; the last two then have a core each.
        let expected = [(0, 20.0), (1, 20.0), (2, 20.0), (3, 20.0), (4, 30.0), (5, 30.0)];
        assert_eq!(completion_times(&mut model, 1000.0), expected);
    }

    #[test]
    fn a_pause_stops_all_work_and_a_slowdown_stretches_it() {
        let mut model = server(vec![fault(FaultKind::Pause, 0.005, 2.0)], None);
        model.arrive(1);
        assert_eq!(completion_times(&mut model, 5000.0), [(1, 2010.0)]);
        let mut model = server(vec![fault(FaultKind::Slow, 0.0, 1.0)], None);
        model.arrive(1);
        assert_eq!(completion_times(&mut model, 5000.0), [(1, 40.0)]);
    }

    #[test]
    fn a_server_in_slow_start_is_slow_and_collapses_under_too_much_load() {
        let mut model = server(vec![], Some(0.0));
        assert!(
            (model.speed_fraction(0.0) - 0.3).abs() < 1e-9
                && (model.speed_fraction(4000.0) - 0.65).abs() < 1e-9
        );
        // In 3 s, 2 cores at 0.3 to 0.56 of full speed can do 2,590 ms of work; 2.5 times that is 647
        // requests.
        let mut sent = 0;
        for at in 0..3000 {
            model.advance(f64::from(at));
            sent += 1;
            if model.arrive(at as u64) == Some(SimulatedOutcome::Reset) {
                break;
            }
        }
        assert!(model.is_down() && (350..700).contains(&sent), "{sent}");
        assert_eq!(model.arrive(9999), Some(SimulatedOutcome::Reset), "a collapsed server stays down");
        let mut full_speed = server(vec![], None);
        (0..3000).for_each(|at| {
            full_speed.advance(f64::from(at));
            full_speed.arrive(at as u64);
        });
        assert!(!full_speed.is_down());
    }

    #[test]
    fn the_same_seed_gives_the_same_faults_and_another_seed_gives_others() {
        let play = |seed| {
            let faults = vec![
                Fault { part: 0.3, ..fault(FaultKind::Error, 0.0, 9.0) },
                Fault { part: 0.3, ..fault(FaultKind::Silent, 0.0, 9.0) },
                Fault { part: 0.3, ..fault(FaultKind::Refuse, 0.0, 9.0) },
            ];
            let mut model = Model::new(Spec::default(), faults, seed, None);
            let mut all = Vec::new();
            for id in 0..200 {
                let at = id as f64 * 20.0;
                all.extend(model.advance(at));
                all.extend(model.arrive(id).map(|outcome| (id, outcome)));
            }
            all
        };
        assert_eq!(play(4), play(4));
        assert_ne!(play(4), play(5));
        assert!(play(4).iter().any(|(_, outcome)| *outcome == SimulatedOutcome::Silent));
    }

    #[test]
    fn work_has_the_mean_of_its_distribution() {
        for work in [Distribution::Constant, Distribution::Exponential, Distribution::Lognormal] {
            let mut model = Model::new(Spec { work, ..Spec::default() }, vec![], 1, None);
            let mean = (0..20_000).map(|_| model.draw_work()).sum::<f64>() / 20_000.0;
            assert!((mean / 10.0 - 1.0).abs() < 0.05, "{work:?}: {mean}");
        }
    }
}
