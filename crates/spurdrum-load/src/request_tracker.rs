//! Groups attempts by the request that they belong to. A retry counts towards the request whose first attempt
//! it repeats, and so does its latency.

use std::collections::{BTreeSet, HashMap};

use crate::client::Outcome;
use crate::Arrival;

/// Final outcome of a request, over all its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Served this many microseconds after its first attempt was due.
    Served(u64),
    /// The last attempt was refused.
    Refused,
    /// The last attempt failed.
    Failed,
    /// No response arrived before the deadline.
    Lost,
    /// The client left early.
    Left,
    /// The generator never sent the request.
    NotSent,
}

struct TrackedRequest {
    arrival: Arrival,
    /// Number of attempts in flight, including a retry that waits for its back-off.
    in_flight: u32,
    /// Time of the deadline; a response after it does not count.
    deadline_us: u64,
    served_us: Option<u64>,
    last_outcome: Option<Outcome>,
}

/// Requests for which further attempts may still be made or end: as many as are due within a deadline.
#[derive(Default)]
pub struct RequestTracker {
    requests: HashMap<u64, TrackedRequest>,
    by_deadline: BTreeSet<(u64, u64)>,
    /// Number of retries whose first attempt was never seen, or was finalized before the retry was due.
    orphans: u64,
}

impl RequestTracker {
    /// Creates a tracker with memory reserved for this many requests.
    pub fn with_capacity(requests: usize) -> Self {
        Self { requests: HashMap::with_capacity(requests), ..Self::default() }
    }

    /// Records that an attempt is due. `timeout_us` is the time from the due time of the request's first
    /// attempt to its deadline.
    pub fn attempt_due(&mut self, arrival: Arrival, timeout_us: u64) {
        let request_id = arrival.retry_of.unwrap_or(arrival.id);
        match self.requests.get_mut(&request_id) {
            Some(request) => request.in_flight += 1,
            None if arrival.retry_of.is_some() => self.orphans += 1,
            None => {
                let deadline_us = arrival.due_us + timeout_us;
                self.requests.insert(
                    request_id,
                    TrackedRequest {
                        arrival,
                        in_flight: 1,
                        deadline_us,
                        served_us: None,
                        last_outcome: None,
                    },
                );
                self.by_deadline.insert((deadline_us, request_id));
            }
        }
    }

    /// Records that an attempt ended `now_us` microseconds after the start of the run. `will_retry` says that
    /// the client will make a further attempt, which then counts as in flight without a call of
    /// [`attempt_due`](Self::attempt_due).
    pub fn attempt_ended(&mut self, arrival: &Arrival, outcome: Outcome, now_us: u64, will_retry: bool) {
        let Some(request) = self.requests.get_mut(&arrival.retry_of.unwrap_or(arrival.id)) else { return };
        request.in_flight += u32::from(will_retry);
        request.in_flight = request.in_flight.saturating_sub(1);
        if outcome == Outcome::Served {
            request.served_us = Some(request.served_us.map_or(now_us, |earlier| earlier.min(now_us)));
        }
        request.last_outcome = Some(outcome);
    }

    /// Removes every request whose deadline has passed and that has no attempt in flight, and calls
    /// `on_final` with its final outcome. With `u64::MAX` as the time, removes all requests, also those with
    /// attempts in flight.
    pub fn finalize(&mut self, now_us: u64, mut on_final: impl FnMut(&Arrival, RequestOutcome)) {
        let mut in_flight = Vec::new();
        while let Some((deadline_us, request_id)) =
            self.by_deadline.first().copied().filter(|(deadline_us, _)| *deadline_us <= now_us)
        {
            self.by_deadline.remove(&(deadline_us, request_id));
            let request = self.requests.get(&request_id).expect("listed");
            if request.in_flight > 0 && now_us != u64::MAX {
                in_flight.push((deadline_us, request_id));
                continue;
            }
            let request = self.requests.remove(&request_id).expect("listed");
            on_final(&request.arrival, request.outcome());
        }
        self.by_deadline.extend(in_flight);
    }

    /// Returns the number of requests that are not finalized.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether all requests are finalized.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the number of retries that belong to no tracked request.
    pub fn orphans(&self) -> u64 {
        self.orphans
    }
}

impl TrackedRequest {
    fn outcome(&self) -> RequestOutcome {
        let before_deadline = |served_us: &u64| *served_us <= self.deadline_us;
        match (self.served_us.filter(before_deadline), self.last_outcome) {
            (Some(served_us), _) => RequestOutcome::Served(served_us.saturating_sub(self.arrival.due_us)),
            (None, Some(Outcome::Refused { .. })) => RequestOutcome::Refused,
            (None, Some(Outcome::Failed | Outcome::Broken | Outcome::Unreached)) => RequestOutcome::Failed,
            (None, Some(Outcome::Left)) => RequestOutcome::Left,
            (None, Some(Outcome::NotSent)) => RequestOutcome::NotSent,
            (None, Some(Outcome::Served | Outcome::GaveUp) | None) => RequestOutcome::Lost,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn attempt(id: u64, retry_of: Option<u64>, due_us: u64) -> Arrival {
        Arrival { due_us, id, retry_of, class: 0, tenant: 0, key: 0, bytes: 0 }
    }

    fn finalized(tracker: &mut RequestTracker, now_us: u64) -> Vec<(u64, RequestOutcome)> {
        let mut all = Vec::new();
        tracker.finalize(now_us, |arrival, outcome| all.push((arrival.id, outcome)));
        all
    }

    #[test]
    fn latency_of_a_served_retry_counts_from_the_first_attempt() {
        let mut tracker = RequestTracker::default();
        let (first, retry) = (attempt(1, None, 1000), attempt(2, Some(1), 300_000));
        tracker.attempt_due(first, 800_000);
        tracker.attempt_ended(&first, Outcome::Refused { retry_after: None }, 5000, false);
        assert_eq!(finalized(&mut tracker, 700_000), []);
        tracker.attempt_due(retry, 800_000);
        tracker.attempt_ended(&retry, Outcome::Served, 350_000, false);
        assert_eq!(finalized(&mut tracker, 801_000), [(1, RequestOutcome::Served(349_000))]);
        assert!(tracker.is_empty());
    }

    #[test]
    fn a_retry_served_after_the_deadline_of_the_first_attempt_does_not_count() {
        let mut tracker = RequestTracker::default();
        let (first, retry) = (attempt(1, None, 0), attempt(2, Some(1), 700_000));
        tracker.attempt_due(first, 800_000);
        tracker.attempt_ended(&first, Outcome::Failed, 10, false);
        tracker.attempt_due(retry, 800_000);
        assert_eq!(finalized(&mut tracker, 800_001), [], "an attempt is still in flight");
        tracker.attempt_ended(&retry, Outcome::Served, 900_000, false);
        assert_eq!(finalized(&mut tracker, 900_000), [(1, RequestOutcome::Lost)]);
        let late_retry = attempt(3, Some(1), 950_000);
        tracker.attempt_due(late_retry, 800_000);
        assert_eq!((tracker.orphans(), tracker.len()), (1, 0));
    }

    #[test]
    fn the_end_of_the_run_finalizes_all_requests() {
        let mut tracker = RequestTracker::default();
        for id in 1..100 {
            tracker.attempt_due(attempt(id, None, id), 800_000);
        }
        tracker.attempt_ended(&attempt(50, None, 50), Outcome::NotSent, 60, false);
        let all = finalized(&mut tracker, u64::MAX);
        assert_eq!(all.len(), 99);
        assert_eq!(all.iter().filter(|(_, outcome)| *outcome == RequestOutcome::NotSent).count(), 1);
    }
}
