//! Requests that wait until the list of servers has been confirmed after the start of the process.

use std::collections::VecDeque;
use std::time::Duration;

use spurdrum_policy::{Request, RequestId};
use tokio::time::Instant;

/// A request waits for this part of its time at the most; refused by then, its client has time to ask elsewhere.
const WAIT_PART: f64 = 0.4;

struct Waiting {
    request: Request,
    came: Instant,
}

/// Requests that wait, in the order they came. Its owner bounds how many.
#[derive(Default)]
pub struct Line {
    waiting: VecDeque<Waiting>,
}

impl Line {
    /// Takes a request; how long it may wait.
    pub fn join(&mut self, request: Request, now: Instant) -> Duration {
        let most = request.budget_ms * WAIT_PART / 1000.0;
        self.waiting.push_back(Waiting { request, came: now });
        Duration::try_from_secs_f64(most).unwrap_or_default()
    }

    /// A request waits no more. Whether it did.
    pub fn leave(&mut self, id: RequestId) -> bool {
        let place = self.waiting.iter().position(|waiting| waiting.request.id == id);
        place.and_then(|place| self.waiting.remove(place)).is_some()
    }

    /// All that wait, each with the time that is left to it.
    pub fn release(&mut self, now: Instant) -> Vec<Request> {
        let left = |Waiting { request, came }: Waiting| {
            let waited_ms = now.duration_since(came).as_secs_f64() * 1000.0;
            Request { budget_ms: (request.budget_ms - waited_ms).max(0.0), ..request }
        };
        self.waiting.drain(..).map(left).collect()
    }
}

#[cfg(test)]
mod tests;
