//! Tries put together by the first one of each request. A retry counts toward the request that was first due, and so
//! does its latency.

use std::collections::{BTreeSet, HashMap};

use crate::client::Outcome;
use crate::Arrival;

/// What became of a request, over all its tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Served this many microseconds after its first try was due.
    Served(u64),
    /// Its last try was refused.
    Refused,
    /// It failed.
    Failed,
    /// Nothing was heard in its time.
    Lost,
    /// Its client left early.
    Left,
    /// The generator never sent it.
    NotSent,
}

struct Open {
    arrival: Arrival,
    /// Tries under way.
    out: u32,
    /// From when no further try can count.
    until_us: u64,
    served_us: Option<u64>,
    last: Option<Outcome>,
}

/// Requests whose tries may not all be known: as many as are due within a deadline.
#[derive(Default)]
pub struct RequestTracker {
    open: HashMap<u64, Open>,
    by_until: BTreeSet<(u64, u64)>,
    /// Retries whose first try was never seen, or was over long before.
    orphans: u64,
}

impl RequestTracker {
    /// Room for so many from the start.
    pub fn with_capacity(requests: usize) -> Self {
        Self { open: HashMap::with_capacity(requests), ..Self::default() }
    }

    /// A try is due. Its request's deadline is so long.
    pub fn begin(&mut self, arrival: Arrival, deadline_us: u64) {
        let first = arrival.first.unwrap_or(arrival.id);
        match self.open.get_mut(&first) {
            Some(open) => open.out += 1,
            None if arrival.first.is_some() => self.orphans += 1,
            None => {
                let until_us = arrival.due_us + deadline_us;
                self.open.insert(first, Open { arrival, out: 1, until_us, served_us: None, last: None });
                self.by_until.insert((until_us, first));
            }
        }
    }

    /// A try has ended, so many microseconds after the start. Tells the request and what became of it, where that is
    /// settled and `retries` says that no further try is on its way.
    pub fn end(&mut self, arrival: &Arrival, outcome: Outcome, at_us: u64, more: bool) {
        let Some(open) = self.open.get_mut(&arrival.first.unwrap_or(arrival.id)) else { return };
        open.out += u32::from(more);
        open.out = open.out.saturating_sub(1);
        if outcome == Outcome::Served {
            open.served_us = Some(open.served_us.map_or(at_us, |before| before.min(at_us)));
        }
        open.last = Some(outcome);
    }

    /// Those that are settled by now: no try of them is out, and no further one can count.
    pub fn settle(&mut self, now_us: u64, mut each: impl FnMut(&Arrival, RequestOutcome)) {
        let mut waiting = Vec::new();
        while let Some((until, first)) = self.by_until.first().copied().filter(|(until, _)| *until <= now_us)
        {
            self.by_until.remove(&(until, first));
            let open = self.open.get(&first).expect("listed");
            if open.out > 0 && now_us != u64::MAX {
                waiting.push((until, first));
                continue;
            }
            let open = self.open.remove(&first).expect("listed");
            each(&open.arrival, open.outcome());
        }
        self.by_until.extend(waiting);
    }

    /// Requests that are not settled.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether all are settled.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Retries that belong to no request that was seen.
    pub fn orphans(&self) -> u64 {
        self.orphans
    }
}

impl Open {
    fn outcome(&self) -> RequestOutcome {
        let in_time = |at: &u64| *at <= self.until_us;
        match (self.served_us.filter(in_time), self.last) {
            (Some(at), _) => RequestOutcome::Served(at.saturating_sub(self.arrival.due_us)),
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

    fn try_of(id: u64, first: Option<u64>, due_us: u64) -> Arrival {
        Arrival { due_us, id, first, class: 0, tenant: 0, key: 0, bytes: 0 }
    }

    fn settled(firsts: &mut RequestTracker, now: u64) -> Vec<(u64, RequestOutcome)> {
        let mut all = Vec::new();
        firsts.settle(now, |arrival, outcome| all.push((arrival.id, outcome)));
        all
    }

    #[test]
    fn a_retry_that_is_served_counts_from_the_first_try() {
        let mut firsts = RequestTracker::default();
        let (one, two) = (try_of(1, None, 1000), try_of(2, Some(1), 300_000));
        firsts.begin(one, 800_000);
        firsts.end(&one, Outcome::Refused { retry_after: None }, 5000, false);
        assert_eq!(settled(&mut firsts, 700_000), []);
        firsts.begin(two, 800_000);
        firsts.end(&two, Outcome::Served, 350_000, false);
        assert_eq!(settled(&mut firsts, 801_000), [(1, RequestOutcome::Served(349_000))]);
        assert!(firsts.is_empty());
    }

    #[test]
    fn a_retry_that_is_served_after_the_first_tries_deadline_does_not_count() {
        let mut firsts = RequestTracker::default();
        let (one, two) = (try_of(1, None, 0), try_of(2, Some(1), 700_000));
        firsts.begin(one, 800_000);
        firsts.end(&one, Outcome::Failed, 10, false);
        firsts.begin(two, 800_000);
        assert_eq!(settled(&mut firsts, 800_001), [], "a try is still out");
        firsts.end(&two, Outcome::Served, 900_000, false);
        assert_eq!(settled(&mut firsts, 900_000), [(1, RequestOutcome::Lost)]);
        let late = try_of(3, Some(1), 950_000);
        firsts.begin(late, 800_000);
        assert_eq!((firsts.orphans(), firsts.len()), (1, 0));
    }

    #[test]
    fn the_end_settles_all() {
        let mut firsts = RequestTracker::default();
        for id in 1..100 {
            firsts.begin(try_of(id, None, id), 800_000);
        }
        firsts.end(&try_of(50, None, 50), Outcome::NotSent, 60, false);
        let all = settled(&mut firsts, u64::MAX);
        assert_eq!(all.len(), 99);
        assert_eq!(all.iter().filter(|(_, outcome)| *outcome == RequestOutcome::NotSent).count(), 1);
    }
}
