//! One server's work: cores, slots, a queue, and what befalls it. No I/O, no clock; randomness from a seed.

use std::collections::{BTreeMap, VecDeque};

use crate::scenario::{Fault, FaultKind, Spec};

/// What is to come of a request that has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SimulatedOutcome {
    /// 200.
    Served,
    /// 500; it has run.
    Error,
    /// 503 with `X-Not-Run: 1`.
    Refused,
    /// The connection is reset; it has run.
    Reset,
    /// Nothing is ever said; it has run.
    Silent,
    /// Half of an answer, and the end of the connection; it has run.
    Spoilt,
    /// 200, and so many milliseconds later once more.
    Surplus(u64),
}

struct Job {
    /// Work that is left, in milliseconds on one core of speed 1.
    left: f64,
    fate: SimulatedOutcome,
}

/// One server. Times are in milliseconds from the start of the scenario.
pub struct Model {
    spec: Spec,
    faults: Vec<Fault>,
    rng: fastrand::Rng,
    /// When it started cold; none where it is warm from the first.
    started: Option<f64>,
    now: f64,
    running: BTreeMap<u64, Job>,
    waiting: VecDeque<(u64, Job)>,
    /// Work that was sent while it was cold, by when.
    sent: VecDeque<(f64, f64)>,
    sent_sum: f64,
    fallen: bool,
    reported: Option<(f64, String)>,
}

impl Model {
    /// A server with the faults that are its own.
    pub fn new(spec: Spec, faults: Vec<Fault>, seed: u64, started: Option<f64>) -> Self {
        let rng = fastrand::Rng::with_seed(seed);
        let (running, waiting, sent) = (BTreeMap::new(), VecDeque::new(), VecDeque::new());
        Self {
            spec,
            faults,
            rng,
            started,
            now: started.unwrap_or(0.0),
            running,
            waiting,
            sent,
            sent_sum: 0.0,
            fallen: false,
            reported: None,
        }
    }

    fn active(&self, at: f64, kind: FaultKind) -> Option<&Fault> {
        let within = |fault: &&Fault| {
            let from = fault.at_s * 1000.0;
            fault.kind == kind && at >= from && fault.for_s.is_none_or(|s| at < from + s * 1000.0)
        };
        self.faults.iter().find(within)
    }

    /// Whether a fault befalls a request that comes now. Draws only where there is one.
    fn befalls(&mut self, kind: FaultKind) -> Option<Fault> {
        let fault = self.active(self.now, kind)?.clone();
        (self.rng.f64() < fault.part).then_some(fault)
    }

    /// Part of its full speed that it has at a time, for being cold.
    pub fn warmth(&self, at: f64) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let part = ((at - started) / (self.spec.cold_s * 1000.0)).clamp(0.0, 1.0);
        self.spec.cold_from + (1.0 - self.spec.cold_from) * part
    }

    /// Work that each running request gets done in a millisecond.
    fn rate(&self) -> f64 {
        if self.running.is_empty() || self.active(self.now, FaultKind::Pause).is_some() {
            return 0.0;
        }
        let slow = self.active(self.now, FaultKind::Slow).map_or(1.0, |fault| fault.factor);
        let share = (f64::from(self.spec.cores) / self.running.len() as f64).min(1.0);
        share * self.spec.speed * self.warmth(self.now) / slow
    }

    /// When the rate changes next by itself: a fault begins or ends, or a cold one gets warmer.
    fn next_change(&self) -> Option<f64> {
        let edges = self.faults.iter().filter(|f| matches!(f.kind, FaultKind::Pause | FaultKind::Slow));
        let edges = edges.flat_map(|f| {
            let from = f.at_s * 1000.0;
            [Some(from), f.for_s.map(|s| from + s * 1000.0)].into_iter().flatten()
        });
        let warms = self.warmth(self.now) < 1.0;
        edges.filter(|at| *at > self.now).chain(warms.then_some(self.now + 10.0)).reduce(f64::min)
    }

    /// When it has something to say, if nothing else happens.
    pub fn next_wake(&self) -> Option<f64> {
        let rate = self.rate();
        let least = self.running.values().map(|job| job.left).reduce(f64::min);
        let ends = least.filter(|_| rate > 0.0).map(|left| self.now + left / rate);
        ends.into_iter().chain(self.next_change().filter(|_| !self.running.is_empty())).reduce(f64::min)
    }

    /// Lets time pass. Those that are done meanwhile, in their order.
    pub fn advance(&mut self, to: f64) -> Vec<(u64, SimulatedOutcome)> {
        let mut done = Vec::new();
        while self.now < to {
            let step = self.next_wake().unwrap_or(to).min(to).max(self.now);
            let worked = self.rate() * (step - self.now);
            self.now = step;
            for job in self.running.values_mut() {
                job.left -= worked;
            }
            let before = done.len();
            let over: Vec<u64> =
                self.running.iter().filter(|(_, job)| job.left <= 1e-9).map(|(id, _)| *id).collect();
            done.extend(over.into_iter().filter_map(|id| Some((id, self.running.remove(&id)?.fate))));
            while self.running.len() < self.spec.slots {
                let Some((id, job)) = self.waiting.pop_front() else { break };
                self.running.insert(id, job);
            }
            if done.len() == before && step >= to {
                break;
            }
        }
        self.now = self.now.max(to);
        done
    }

    /// A request's last byte has come. What is known of its fate at once; else it comes from
    /// [`advance`](Self::advance).
    pub fn arrive(&mut self, id: u64) -> Option<SimulatedOutcome> {
        self.arrive_with(id, 1.0)
    }

    /// As [`arrive`](Self::arrive), with so many times the usual work.
    pub fn arrive_with(&mut self, id: u64, factor: f64) -> Option<SimulatedOutcome> {
        let work = self.draw_work() * factor;
        if self.fallen || self.falls(work) {
            self.fallen = true;
            return Some(SimulatedOutcome::Reset);
        }
        if self.befalls(FaultKind::Refuse).is_some() {
            return Some(SimulatedOutcome::Refused);
        }
        let fates = [
            (FaultKind::Error, SimulatedOutcome::Error),
            (FaultKind::ResetAfter, SimulatedOutcome::Reset),
            (FaultKind::Silent, SimulatedOutcome::Silent),
            (FaultKind::Spoilt, SimulatedOutcome::Spoilt),
        ];
        let fate = fates.into_iter().find_map(|(kind, fate)| self.befalls(kind).map(|_| fate));
        let surplus = self.befalls(FaultKind::Surplus).map(|fault| SimulatedOutcome::Surplus(fault.delay_ms));
        let job = Job { left: work, fate: fate.or(surplus).unwrap_or(SimulatedOutcome::Served) };
        if self.running.len() < self.spec.slots {
            self.running.insert(id, job);
        } else if self.waiting.len() < self.spec.queue {
            self.waiting.push_back((id, job));
        } else {
            return Some(SimulatedOutcome::Refused);
        }
        None
    }

    /// Whether the head that has just come is never to be read to its end.
    pub fn cuts_off(&mut self) -> bool {
        self.befalls(FaultKind::ResetBefore).is_some()
    }

    /// Nobody waits for a request any more: it is dropped while it waits, and goes on where it runs.
    pub fn cancel(&mut self, id: u64) {
        self.waiting.retain(|(waiting, _)| *waiting != id);
    }

    fn draw_work(&mut self) -> f64 {
        self.spec.work.draw(&mut self.rng, self.spec.work_ms)
    }

    /// Whether this much more work pushes a cold one over: what was sent within the stated time is above the multiple
    /// of what it can do in it.
    fn falls(&mut self, work: f64) -> bool {
        let Some(started) = self.started.filter(|_| self.warmth(self.now) < 1.0) else { return false };
        let window = self.spec.fall_s * 1000.0;
        self.sent.push_back((self.now, work));
        self.sent_sum += work;
        while let Some((_, old)) = self.sent.front().copied().filter(|(at, _)| *at < self.now - window) {
            self.sent.pop_front();
            self.sent_sum -= old;
        }
        // Its warmth rises evenly, so the mean over the window is that of its ends.
        let mean = (self.warmth((self.now - window).max(started)) + self.warmth(self.now)) / 2.0;
        let can = mean * window * f64::from(self.spec.cores) * self.spec.speed;
        self.sent_sum > self.spec.fall_multiple * can
    }

    /// Whether it has fallen over, or has died.
    pub fn is_down(&self) -> bool {
        self.fallen || self.active(self.now, FaultKind::Die).is_some()
    }

    /// Its load report, as its answers carry it.
    pub fn report(&mut self) -> String {
        if let Some((_, text)) = self.reported.as_ref().filter(|(at, _)| self.now < at + self.spec.report_ms)
        {
            return text.clone();
        }
        let held = self.running.len() + self.waiting.len();
        let noise = self.spec.report_noise;
        let mut about = |n: usize| {
            let off = if noise > 0.0 { 1.0 + noise * (2.0 * self.rng.f64() - 1.0) } else { 1.0 };
            (n as f64 * off).round() as usize
        };
        let text = format!("inflight={},queue={}", about(held), about(self.waiting.len()));
        self.reported = Some((self.now, text.clone()));
        text
    }

    /// Requests that it works on, and that wait.
    pub fn load(&self) -> (usize, usize) {
        (self.running.len(), self.waiting.len())
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

    fn times(model: &mut Model, until: f64) -> Vec<(u64, f64)> {
        let mut all = Vec::new();
        while let Some(at) = model.next_wake().filter(|at| *at <= until) {
            all.extend(model.advance(at).into_iter().map(|(id, _)| (id, (at * 1000.0).round() / 1000.0)));
        }
        all
    }

    #[test]
    fn cores_are_shared_by_those_that_run_and_the_queue_is_bounded() {
        let mut model = server(vec![], None);
        let at_once: Vec<Option<SimulatedOutcome>> = (0..7).map(|id| model.arrive(id)).collect();
        assert_eq!(at_once[..6], [None; 6]);
        assert_eq!(at_once[6], Some(SimulatedOutcome::Refused));
        assert_eq!((model.load(), model.report()), ((4, 2), "inflight=6,queue=2".into()));
        // Four share two cores: 20 ms each; the last two have a core each.
        let wanted = [(0, 20.0), (1, 20.0), (2, 20.0), (3, 20.0), (4, 30.0), (5, 30.0)];
        assert_eq!(times(&mut model, 1000.0), wanted);
    }

    #[test]
    fn a_pause_holds_all_and_a_slowdown_stretches() {
        let mut model = server(vec![fault(FaultKind::Pause, 0.005, 2.0)], None);
        model.arrive(1);
        assert_eq!(times(&mut model, 5000.0), [(1, 2010.0)]);
        let mut model = server(vec![fault(FaultKind::Slow, 0.0, 1.0)], None);
        model.arrive(1);
        assert_eq!(times(&mut model, 5000.0), [(1, 40.0)]);
    }

    #[test]
    fn a_cold_server_is_slow_and_falls_over_where_it_is_sent_too_much() {
        let mut model = server(vec![], Some(0.0));
        assert!((model.warmth(0.0) - 0.3).abs() < 1e-9 && (model.warmth(4000.0) - 0.65).abs() < 1e-9);
        // 3 s at 2 cores and a warmth of 0.3 to 0.56 can do 2,590 ms of work; 2.5 times that is 647 requests.
        let mut sent = 0;
        for at in 0..3000 {
            model.advance(f64::from(at));
            sent += 1;
            if model.arrive(at as u64) == Some(SimulatedOutcome::Reset) {
                break;
            }
        }
        assert!(model.is_down() && (350..700).contains(&sent), "{sent}");
        assert_eq!(model.arrive(9999), Some(SimulatedOutcome::Reset), "it stays down");
        let mut warm = server(vec![], None);
        (0..3000).for_each(|at| {
            warm.advance(f64::from(at));
            warm.arrive(at as u64);
        });
        assert!(!warm.is_down());
    }

    #[test]
    fn the_same_seed_gives_the_same_faults_and_another_one_others() {
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
                all.extend(model.arrive(id).map(|fate| (id, fate)));
            }
            all
        };
        assert_eq!(play(4), play(4));
        assert_ne!(play(4), play(5));
        assert!(play(4).iter().any(|(_, fate)| *fate == SimulatedOutcome::Silent));
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
