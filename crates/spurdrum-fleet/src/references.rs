//! Simulates reference load-balancing policies on the arrivals of a run. Servers work first come, first served, there are no
//! faults, and nodes do not share information except in the policy with full knowledge.

use std::cmp::Ordering;
use std::collections::{BinaryHeap, VecDeque};

use spurdrum_standin::scenario::Distribution;

use crate::history::{End, History, RequestRecord, Server, ServerAttempt};
use crate::scenario::Scenario;

/// A policy for choosing the server of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// At random, weighted by capacity.
    Random,
    /// Each node uses the servers in turn, independently of the other nodes.
    RoundRobin,
    /// Of two servers drawn at random by capacity, the one with fewer requests in flight from this node.
    TwoChoices,
    /// The server with the shortest wait, which all nodes know without delay.
    Full,
}

impl Policy {
    /// All policies, in the order of the tables.
    pub const ALL: [Self; 4] = [Self::Random, Self::RoundRobin, Self::TwoChoices, Self::Full];

    /// Returns the policy's name in tables.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::RoundRobin => "round robin",
            Self::TwoChoices => "two choices",
            Self::Full => "full knowledge",
        }
    }
}

/// The completion of a request's work at a server; ordered for a heap that returns the earliest first.
struct Completion {
    at: f64,
    server: usize,
    request: usize,
}

impl PartialEq for Completion {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Completion {}

impl PartialOrd for Completion {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Completion {
    fn cmp(&self, other: &Self) -> Ordering {
        // Reversed, because the heap returns the greatest first.
        other.at.total_cmp(&self.at).then(other.request.cmp(&self.request))
    }
}

#[derive(Default)]
struct Queue {
    busy: usize,
    waiting: VecDeque<usize>,
}

/// Simulates a policy on the arrivals of a history, and returns the resulting history.
#[must_use]
pub fn simulate(history: &History, scenario: &Scenario, policy: Policy) -> History {
    // Servers that replaced others are left out because the simulation replaces none.
    let servers: Vec<Server> = history
        .servers
        .iter()
        .filter(|server| server.lifetime.0 <= 0.0)
        .map(|server| Server {
            unavailable: Vec::new(),
            lifetime: (0.0, f64::MAX),
            drains_at: None,
            ..server.clone()
        })
        .collect();
    let mut rng = fastrand::Rng::with_seed(scenario.seed);
    let capacities: Vec<f64> = servers.iter().map(|s| s.workers as f64 / s.service_s.max(1e-9)).collect();
    let total: f64 = capacities.iter().sum();
    let mut queues: Vec<Queue> = servers.iter().map(|_| Queue::default()).collect();
    let nodes = history.requests.iter().map(|request| request.node + 1).max().unwrap_or(0);
    let mut in_flight: Vec<Vec<u32>> = vec![vec![0; servers.len()]; nodes];
    let mut turns: Vec<usize> = (0..nodes).map(|node| node * 7).collect();
    let mut attempts: Vec<ServerAttempt> = Vec::with_capacity(history.requests.len());
    let mut requests: Vec<RequestRecord> = history.requests.clone();
    let mut completions: BinaryHeap<Completion> = BinaryHeap::new();
    let by_capacity = |rng: &mut fastrand::Rng| {
        let mut draw = rng.f64() * total;
        capacities.iter().position(|capacity| {
            draw -= capacity;
            draw < 0.0
        })
    };
    for n in 0..requests.len() {
        let now = requests[n].due;
        while completions.peek().is_some_and(|next| next.at <= now) {
            let Some(end) = completions.pop() else { break };
            finish(
                &end,
                &mut queues,
                &mut completions,
                &mut requests,
                &mut attempts,
                &mut in_flight,
                &servers,
                scenario,
                &mut rng,
            );
        }
        let node = requests[n].node;
        let server = match policy {
            Policy::Random => by_capacity(&mut rng).unwrap_or(0),
            Policy::RoundRobin => {
                turns[node] += 1;
                turns[node] % servers.len()
            }
            Policy::TwoChoices => {
                let (a, b) = (by_capacity(&mut rng).unwrap_or(0), by_capacity(&mut rng).unwrap_or(0));
                if in_flight[node][a] <= in_flight[node][b] {
                    a
                } else {
                    b
                }
            }
            Policy::Full => {
                let wait = |at: &usize| {
                    let pending = (queues[*at].busy + queues[*at].waiting.len()) as f64;
                    (pending + 1.0 - servers[*at].workers as f64).max(0.0) / capacities[*at]
                };
                // Ties are common; starting at a random server prevents the first one from winning all of them.
                let first = rng.usize(..servers.len());
                let turned = (0..servers.len()).map(|at| (at + first) % servers.len());
                turned.min_by(|a, b| wait(a).total_cmp(&wait(b))).unwrap_or(0)
            }
        };
        in_flight[node][server] += 1;
        attempts.push(ServerAttempt { id: n as u64, server, begun: now, ended: None });
        if queues[server].busy < servers[server].workers {
            queues[server].busy += 1;
            completions.push(Completion {
                at: now + draw(&servers[server], scenario, &mut rng),
                server,
                request: n,
            });
        } else {
            queues[server].waiting.push_back(n);
        }
    }
    while let Some(end) = completions.pop() {
        finish(
            &end,
            &mut queues,
            &mut completions,
            &mut requests,
            &mut attempts,
            &mut in_flight,
            &servers,
            scenario,
            &mut rng,
        );
    }
    History { length: history.length, requests, attempts, servers, ..History::default() }
}

/// Completes a request, and starts the next one that waits at its server.
#[allow(clippy::too_many_arguments)]
fn finish(
    end: &Completion,
    queues: &mut [Queue],
    completions: &mut BinaryHeap<Completion>,
    requests: &mut [RequestRecord],
    attempts: &mut [ServerAttempt],
    in_flight: &mut [Vec<u32>],
    servers: &[Server],
    scenario: &Scenario,
    rng: &mut fastrand::Rng,
) {
    let (ended, server) = (&mut requests[end.request], end.server);
    (ended.ended, ended.end, ended.lag) = (end.at, End::Served, 0.0);
    attempts[end.request].ended = Some(end.at);
    in_flight[ended.node][server] -= 1;
    match queues[server].waiting.pop_front() {
        Some(next) => {
            completions.push(Completion {
                at: end.at + draw(&servers[server], scenario, rng),
                server,
                request: next,
            });
        }
        None => queues[server].busy -= 1,
    }
}

/// Draws the service time of a request at a server, in seconds.
fn draw(server: &Server, scenario: &Scenario, rng: &mut fastrand::Rng) -> f64 {
    let kind = scenario.spec_of(&server.name).map_or(Distribution::Constant, |spec| spec.work);
    kind.draw(rng, server.service_s)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::figures;
    use spurdrum_load::plan::Effect;

    #[test]
    fn waiting_times_of_two_servers_match_queueing_theory() {
        let scenario = Scenario::parse(
            "for_s = 200\nnodes = 1\nload = 0.8\n[[servers]]\nname = 's'\ncount = 2\ncores = 1\nslots = 1\nwork_ms = 10\n\
             work = 'exponential'",
        );
        let scenario = scenario.expect("sound");
        let server = |n: usize| Server {
            name: format!("s{n}"),
            workers: 1,
            service_s: 0.01,
            drains_at: None,
            slow_start: None,
            unavailable: Vec::new(),
            lifetime: (0.0, f64::MAX),
        };
        let mut rng = fastrand::Rng::with_seed(5);
        let mut due = 0.0;
        let mut requests = Vec::new();
        while due < 200.0 {
            due += -(1.0 - rng.f64()).ln() / 160.0;
            let (effect, end) = (Effect::Safe, End::NoAnswer);
            requests.push(RequestRecord {
                id: 0,
                node: 0,
                effect,
                due,
                lag: 0.0,
                ended: due,
                end,
                deadline: 1.0,
                connection: None,
            });
        }
        let history =
            History { length: 200.0, requests, servers: vec![server(0), server(1)], ..History::default() };
        let mean = |policy| {
            let simulated = simulate(&history, &scenario, policy);
            let statistics = figures::of(&simulated);
            assert_eq!((statistics.unanswered, statistics.attempts), (0.0, 1.0));
            simulated.requests.iter().map(|request| request.ended - request.due).sum::<f64>()
                / simulated.requests.len() as f64
        };
        // At load 0.8 a request takes 1/(1 - 0.64) service times in M/M/2 and 5 in M/M/1; joining the shorter of two queues is close
        // to M/M/2.
        let (full, random) = (mean(Policy::Full) / 0.01, mean(Policy::Random) / 0.01);
        assert!((2.7..3.6).contains(&full), "{full}");
        assert!((4.2..5.9).contains(&random), "{random}");
    }
}
