//! Helpers shared by the tests: short ways to build events and to feed them to a balancer.
#![allow(dead_code)]

pub mod fleet;

use spurdrum_policy::*;

/// A balancer with its clock.
pub struct Node {
    pub balancer: Balancer,
    pub now: f64,
}

impl Node {
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self { balancer: Balancer::new(settings, seed).expect("sound settings"), now: 1_000.0 }
    }

    pub fn feed(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    /// Feeds the complete list of servers.
    pub fn servers(&mut self, entries: Vec<ServerEntry>) -> Vec<Action> {
        self.feed(Event::Servers(ListUpdate::Full(entries)))
    }

    pub fn request(&mut self, id: u64, class: usize, budget_ms: f64) -> Vec<Action> {
        self.feed(Event::Request(Request::new(RequestId(id), class, budget_ms)))
    }

    /// Feeds a request of class 0 and returns the server that it is sent to. Panics if it is not sent.
    pub fn sent_to(&mut self, id: u64) -> usize {
        let actions = self.request(id, 0, 800.0);
        send_of(&actions).unwrap_or_else(|| panic!("request {id} was not sent: {actions:?}"))
    }

    /// Ends an attempt, without a load report.
    pub fn end(&mut self, id: u64, attempt: usize, elapsed_ms: f64, ending: Ending) -> Vec<Action> {
        self.report(id, attempt, elapsed_ms, ending, None)
    }

    /// Ends an attempt, with the number in flight that the server reports.
    pub fn report(
        &mut self,
        id: u64,
        attempt: usize,
        elapsed_ms: f64,
        ending: Ending,
        in_flight: Option<f64>,
    ) -> Vec<Action> {
        self.feed(Event::Outcome(Outcome {
            request: RequestId(id),
            attempt,
            elapsed_ms,
            ending,
            complete: ending == Ending::Served,
            report: in_flight.map(|n| LoadReport { in_flight: Some(n), queued: None }),
        }))
    }
}

pub fn ready(servers: std::ops::Range<usize>) -> Vec<ServerEntry> {
    servers.map(|i| ServerEntry::new(ServerId(i), Availability::Ready)).collect()
}

pub fn send_of(actions: &[Action]) -> Option<usize> {
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(server.0),
        _ => None,
    })
}

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}

pub fn one_class(effect: Effect) -> Settings {
    Settings::new(vec![Class::new(400.0, 800.0, effect)])
}
