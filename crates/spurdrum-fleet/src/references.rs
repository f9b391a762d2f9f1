//! What other ways to choose would have made of a run's own arrivals: first come, first served, with no faults and no talk
//! but that of full knowledge.

use std::cmp::Ordering;
use std::collections::{BinaryHeap, VecDeque};

use spurdrum_standin::scenario::Distribution;

use crate::history::{End, History, RequestRecord, Server, ServerAttempt};
use crate::scenario::Scenario;

/// How the next server is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// By capacity, and nothing else.
    Random,
    /// Each node in its own turn.
    RoundRobin,
    /// The one of two drawn by capacity that the node itself has fewer out to.
    TwoChoices,
    /// The one with the shortest wait, known to everybody at once.
    Full,
}

impl Way {
    /// All, in the order of tables.
    pub const ALL: [Self; 4] = [Self::Random, Self::RoundRobin, Self::TwoChoices, Self::Full];

    /// Its name in tables.
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

/// Something that ends: a request's work at a server.
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
        // The heap gives the earliest first.
        other.at.total_cmp(&self.at).then(other.request.cmp(&self.request))
    }
}

#[derive(Default)]
struct Queue {
    busy: usize,
    waits: VecDeque<usize>,
}

/// Plays a history's arrivals again.
#[must_use]
pub fn play(history: &History, scenario: &Scenario, way: Way) -> History {
    // Those that replaced others are left out: here nothing is replaced.
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
    let sizes: Vec<f64> = servers.iter().map(|s| s.workers as f64 / s.service_s.max(1e-9)).collect();
    let all: f64 = sizes.iter().sum();
    let mut queues: Vec<Queue> = servers.iter().map(|_| Queue::default()).collect();
    let nodes = history.requests.iter().map(|request| request.node + 1).max().unwrap_or(0);
    let mut out: Vec<Vec<u32>> = vec![vec![0; servers.len()]; nodes];
    let mut turns: Vec<usize> = (0..nodes).map(|node| node * 7).collect();
    let mut attempts: Vec<ServerAttempt> = Vec::with_capacity(history.requests.len());
    let mut requests: Vec<RequestRecord> = history.requests.clone();
    let mut ends: BinaryHeap<Completion> = BinaryHeap::new();
    let by_size = |rng: &mut fastrand::Rng| {
        let mut draw = rng.f64() * all;
        sizes.iter().position(|size| {
            draw -= size;
            draw < 0.0
        })
    };
    for n in 0..requests.len() {
        let now = requests[n].due;
        while ends.peek().is_some_and(|next| next.at <= now) {
            let Some(end) = ends.pop() else { break };
            finish(
                &end,
                &mut queues,
                &mut ends,
                &mut requests,
                &mut attempts,
                &mut out,
                &servers,
                scenario,
                &mut rng,
            );
        }
        let node = requests[n].node;
        let server = match way {
            Way::Random => by_size(&mut rng).unwrap_or(0),
            Way::RoundRobin => {
                turns[node] += 1;
                turns[node] % servers.len()
            }
            Way::TwoChoices => {
                let (a, b) = (by_size(&mut rng).unwrap_or(0), by_size(&mut rng).unwrap_or(0));
                if out[node][a] <= out[node][b] {
                    a
                } else {
                    b
                }
            }
            Way::Full => {
                let wait = |at: &usize| {
                    let held = (queues[*at].busy + queues[*at].waits.len()) as f64;
                    (held + 1.0 - servers[*at].workers as f64).max(0.0) / sizes[*at]
                };
                // Ties are common, and the first of them must not have them all.
                let first = rng.usize(..servers.len());
                let turned = (0..servers.len()).map(|at| (at + first) % servers.len());
                turned.min_by(|a, b| wait(a).total_cmp(&wait(b))).unwrap_or(0)
            }
        };
        out[node][server] += 1;
        attempts.push(ServerAttempt { id: n as u64, server, begun: now, ended: None });
        if queues[server].busy < servers[server].workers {
            queues[server].busy += 1;
            ends.push(Completion {
                at: now + draw(&servers[server], scenario, &mut rng),
                server,
                request: n,
            });
        } else {
            queues[server].waits.push_back(n);
        }
    }
    while let Some(end) = ends.pop() {
        finish(
            &end,
            &mut queues,
            &mut ends,
            &mut requests,
            &mut attempts,
            &mut out,
            &servers,
            scenario,
            &mut rng,
        );
    }
    History { length: history.length, requests, attempts, servers, ..History::default() }
}

#[allow(clippy::too_many_arguments)]
fn finish(
    end: &Completion,
    queues: &mut [Queue],
    ends: &mut BinaryHeap<Completion>,
    requests: &mut [RequestRecord],
    attempts: &mut [ServerAttempt],
    out: &mut [Vec<u32>],
    servers: &[Server],
    scenario: &Scenario,
    rng: &mut fastrand::Rng,
) {
    let (ended, server) = (&mut requests[end.request], end.server);
    (ended.ended, ended.end, ended.lag) = (end.at, End::Served, 0.0);
    attempts[end.request].ended = Some(end.at);
    out[ended.node][server] -= 1;
    match queues[server].waits.pop_front() {
        Some(next) => {
            ends.push(Completion {
                at: end.at + draw(&servers[server], scenario, rng),
                server,
                request: next,
            });
        }
        None => queues[server].busy -= 1,
    }
}

/// Work of a request there, in seconds.
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
    fn two_servers_as_one_queue_wait_as_erlang_says() {
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
        let mean = |way| {
            let played = play(&history, &scenario, way);
            let figures = figures::of(&played);
            assert_eq!((figures.nothing, figures.attempts), (0.0, 1.0));
            played.requests.iter().map(|request| request.ended - request.due).sum::<f64>()
                / played.requests.len() as f64
        };
        // M/M/2 at 0.8 takes 1/(1 - 0.64) services, M/M/1 takes 5; joining the shortest of two queues is near the former.
        let (full, random) = (mean(Way::Full) / 0.01, mean(Way::Random) / 0.01);
        assert!((2.7..3.6).contains(&full), "{full}");
        assert!((4.2..5.9).contains(&random), "{random}");
    }
}
