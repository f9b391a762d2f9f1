//! A queue of requests that arrive before the list of servers has been confirmed after the process started.

use std::collections::VecDeque;
use std::time::Duration;

use spurdrum_policy::{NewSettings, Request, RequestId};
use tokio::time::Instant;

/// The largest share of its time that a request waits. If it is refused by then, its client has time to try
/// another node.
const MAX_WAIT_SHARE: f64 = 0.4;

struct QueuedRequest {
    request: Request,
    arrived: Instant,
}

/// Queued requests in order of arrival. The owner limits their number.
#[derive(Default)]
pub struct StartupQueue {
    queue: VecDeque<QueuedRequest>,
}

impl StartupQueue {
    /// Adds a request and returns how long it may wait.
    pub fn push(&mut self, request: Request, now: Instant) -> Duration {
        let max_wait = request.budget_ms * MAX_WAIT_SHARE / 1000.0;
        self.queue.push_back(QueuedRequest { request, arrived: now });
        Duration::try_from_secs_f64(max_wait).unwrap_or_default()
    }

    /// Removes a request and returns whether it was queued.
    pub fn remove(&mut self, id: RequestId) -> bool {
        let position = self.queue.iter().position(|queued| queued.request.id == id);
        position.and_then(|position| self.queue.remove(position)).is_some()
    }

    /// Lets the requests refer to their classes and tenants by the indices of new settings. Each keeps the
    /// rules that it carries.
    pub fn reload(&mut self, new: &NewSettings) {
        for QueuedRequest { request, .. } in &mut self.queue {
            request.class = new.class_index(request.class);
            request.tenant = new.tenant_index(request.tenant);
        }
    }

    /// Removes and returns all requests, each with the time that is left to it.
    pub fn drain_all(&mut self, now: Instant) -> Vec<Request> {
        let remaining = |QueuedRequest { request, arrived }: QueuedRequest| {
            let waited_ms = now.duration_since(arrived).as_secs_f64() * 1000.0;
            Request { budget_ms: (request.budget_ms - waited_ms).max(0.0), ..request }
        };
        self.queue.drain(..).map(remaining).collect()
    }
}

#[cfg(test)]
mod tests;
