//! Open-loop clients: each request is sent at its scheduled time to a node that is drawn by the nodes' shares of the load.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use spurdrum_load::plan::{Class, Effect, Keys, Phase, Plan, Shape};
use spurdrum_load::schedule::Schedule as Arrivals;
use spurdrum_load::transport::{Pool, Progress};
use spurdrum_load::Arrival;
use spurdrum_standin::draw::normal;
use tokio::task::LocalSet;
use tokio::time::{sleep_until, timeout_at};

use crate::history::{End, RequestRecord};
use crate::scenario::Scenario;
use crate::witness::{SocketObserver, SocketReport};

/// Number of event loops (threads) that the clients run on.
const EVENT_LOOPS: usize = 4;
/// Maximum number of connections of one event loop to one node.
const MAX_CONNECTIONS: usize = 200;
/// Number of other nodes that a client tries when a node is unreachable.
const MAX_OTHER_NODES: usize = 3;
/// Smallest remaining budget that a request's deadline header states, in seconds.
const MIN_BUDGET: f64 = 0.001;

/// Draws the node of each request by the nodes' shares of the load.
pub struct NodePicker {
    /// By start time in seconds: the cumulative shares of the nodes.
    cumulative: Vec<(f64, Vec<f64>)>,
    rng: fastrand::Rng,
}

impl NodePicker {
    /// Draws the shares of the nodes from a lognormal distribution and applies the scenario's `lean` sections.
    #[must_use]
    pub fn new(scenario: &Scenario) -> Self {
        let mut rng = fastrand::Rng::with_seed(scenario.seed ^ 0x5eed);
        let nodes = scenario.nodes;
        let shares: Vec<f64> = (0..nodes).map(|_| (scenario.sigma * normal(&mut rng)).exp()).collect();
        let mut by_start = vec![(0.0, shares.clone())];
        for lean in &scenario.leans {
            let mut drawn: Vec<usize> = (0..nodes).collect();
            rng.shuffle(&mut drawn);
            drawn.truncate(((nodes as f64 * lean.nodes).round() as usize).max(1));
            let selected = |node: usize| match &lean.zone {
                Some(zone) => scenario.zone_of(node) == zone,
                None => drawn.contains(&node),
            };
            let selected_sum: f64 = (0..nodes).filter(|node| selected(*node)).map(|node| shares[node]).sum();
            let others_sum: f64 = shares.iter().sum::<f64>() - selected_sum;
            let scaled = |(node, share): (usize, &f64)| match selected(node) {
                true => share / selected_sum.max(1e-9) * lean.share,
                false => share / others_sum.max(1e-9) * (1.0 - lean.share),
            };
            by_start.push((lean.at_s, shares.iter().enumerate().map(scaled).collect()));
        }
        for (_, shares) in &mut by_start {
            let mut sum = 0.0;
            shares.iter_mut().for_each(|share| {
                sum += *share;
                *share = sum;
            });
        }
        Self { cumulative: by_start, rng }
    }

    /// Returns the node of a request that is due at this time, in seconds.
    pub fn pick(&mut self, due: f64) -> usize {
        let Some((_, sums)) = self.cumulative.iter().rev().find(|(from, _)| *from <= due) else { return 0 };
        let draw = self.rng.f64() * sums.last().copied().unwrap_or_default();
        sums.partition_point(|sum| *sum <= draw).min(sums.len().saturating_sub(1))
    }
}

/// Handles of the running client threads.
pub struct RunningClients {
    threads: Vec<JoinHandle<Result<Vec<RequestRecord>, String>>>,
    socket_reports: JoinHandle<Vec<SocketReport>>,
}

/// Starts the threads of all clients. They begin at once, and end with the scenario or when `stop` is set.
pub fn start(
    scenario: &Scenario,
    nodes: &[SocketAddr],
    start: Instant,
    stop: &Arc<AtomicBool>,
) -> RunningClients {
    let rate = scenario.capacity() * scenario.load;
    let (shape, arrivals) = (Shape::Constant, spurdrum_load::plan::ArrivalProcess::Poisson);
    let phase = Phase {
        for_s: scenario.for_s,
        shape,
        rate,
        to: None,
        swing: None,
        period_s: None,
        rates: Vec::new(),
        burst: None,
        arrivals,
    };
    let (keys, clients) = (Keys::default(), spurdrum_load::plan::Clients::default());
    let plan =
        Plan { phases: vec![phase], classes: scenario.classes.clone(), tenants: Vec::new(), keys, clients };
    let mut picker = NodePicker::new(scenario);
    let mut shares: Vec<Vec<(Arrival, usize)>> = vec![Vec::new(); EVENT_LOOPS];
    for (n, arrival) in Arrivals::new(&plan, scenario.seed).enumerate() {
        let node = picker.pick(arrival.due_us as f64 / 1e6);
        shares[n % EVENT_LOOPS].push((arrival, node));
    }
    let (observer, socket_reports) = SocketObserver::start();
    let spawn = |(n, share): (usize, Vec<(Arrival, usize)>)| {
        let (nodes, scenario, seed) = (nodes.to_vec(), scenario.clone(), scenario.seed + n as u64);
        let (stop, observer) = (Arc::clone(stop), observer.clone());
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let runtime = runtime.map_err(|error| error.to_string())?;
            Ok(LocalSet::new()
                .block_on(&runtime, send_all(share, &nodes, &scenario, start, seed, &stop, observer)))
        })
    };
    let threads = shares.into_iter().enumerate().map(spawn).collect();
    RunningClients { threads, socket_reports }
}

/// Waits for all clients, and returns the records of their requests in the order in which they were due.
///
/// # Errors
///
/// A client's thread failed.
pub fn gather(running: RunningClients) -> Result<Vec<RequestRecord>, String> {
    let mut requests = Vec::new();
    for thread in running.threads {
        requests.extend(thread.join().map_err(|_| "a client's thread panicked".to_owned())??);
    }
    let reports =
        running.socket_reports.join().map_err(|_| "the thread that inspects sockets panicked".to_owned())?;
    for SocketReport { request, sockets } in reports {
        let matching = requests.iter_mut().filter(|record| record.id == request);
        matching
            .for_each(|record| record.connection.get_or_insert_default().push_str(&format!("; {sockets}")));
    }
    requests.sort_by(|a, b| a.due.total_cmp(&b.due));
    Ok(requests)
}

/// Sends one event loop's share of the arrivals, each at its time, and returns the records of the requests.
pub async fn send_all(
    arrivals: Vec<(Arrival, usize)>,
    nodes: &[SocketAddr],
    scenario: &Scenario,
    start: Instant,
    seed: u64,
    stop: &AtomicBool,
    observer: SocketObserver,
) -> Vec<RequestRecord> {
    let pools: Vec<Pool> = nodes.iter().map(|node| Pool::new(*node, MAX_CONNECTIONS)).collect();
    let rng = RefCell::new(fastrand::Rng::with_seed(seed));
    let clients = Rc::new(Clients {
        pools,
        classes: scenario.classes.clone(),
        slack: scenario.slack_s,
        rng,
        start,
        observer,
    });
    let mut tasks = Vec::with_capacity(arrivals.len());
    for (arrival, node) in arrivals {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let due = start + Duration::from_micros(arrival.due_us);
        if due > Instant::now() {
            sleep_until(due.into()).await;
        }
        let clients = Rc::clone(&clients);
        tasks.push(tokio::task::spawn_local(async move { send(arrival, node, &clients).await }));
    }
    let mut requests = Vec::with_capacity(tasks.len());
    for task in tasks {
        requests.extend(task.await);
    }
    requests
}

/// State that all requests of an event loop share.
struct Clients {
    /// Connection pools, one for each node.
    pools: Vec<Pool>,
    classes: Vec<Class>,
    /// The scenario's tolerance, in seconds.
    slack: f64,
    rng: RefCell<fastrand::Rng>,
    /// Start of the run, from which times are counted.
    start: Instant,
    observer: SocketObserver,
}

impl Clients {
    /// Sends a request to one node and waits for the answer until the client's deadline plus the slack.
    async fn send_to_node(&self, arrival: &Arrival, node: usize, progress: &Cell<Progress>) -> End {
        let (pool, class) = (&self.pools[node], &self.classes[usize::from(arrival.class)]);
        let deadline = arrival.due_us as f64 / 1e6 + class.deadline_s;
        let at = |seconds: f64| self.start + Duration::from_secs_f64(seconds);
        let budget = (deadline - self.start.elapsed().as_secs_f64()).max(MIN_BUDGET);
        let mut answer = pin!(pool.send_with_progress(build_request(arrival, class, budget), true, progress));
        let inspect_at = at(deadline + self.slack / 2.0);
        if let Ok(outcome) = timeout_at(inspect_at.into(), &mut answer).await {
            return End::of(outcome);
        }
        // The sockets are inspected halfway through the slack, while the connection still exists.
        self.observer.observe(arrival.id, pool.target(), progress.get());
        let give_up_at = at(deadline + self.slack);
        timeout_at(give_up_at.into(), answer).await.map_or(End::NoAnswer, End::of)
    }
}

/// Sends a request to its node, or to others where that is unreachable, and returns the request's record.
async fn send(arrival: Arrival, mut node: usize, clients: &Clients) -> RequestRecord {
    let (class, start) = (&clients.classes[usize::from(arrival.class)], clients.start);
    let now = || start.elapsed().as_secs_f64();
    let due = arrival.due_us as f64 / 1e6;
    let lag = now() - due;
    let mut end = End::Unreached;
    let progress = Cell::default();
    for _ in 0..=MAX_OTHER_NODES {
        end = clients.send_to_node(&arrival, node, &progress).await;
        if end != End::Unreached {
            break;
        }
        // In production the load balancer before the nodes notices that a node is down and uses another.
        node = clients.rng.borrow_mut().usize(..clients.pools.len());
    }
    let is_unanswered = matches!(end, End::Broken | End::NoAnswer);
    let connection = is_unanswered.then(|| describe(progress.get(), start));
    RequestRecord {
        id: arrival.id,
        node,
        effect: class.effect,
        due,
        lag,
        ended: now(),
        end,
        deadline: class.deadline_s,
        connection,
    }
}

/// Describes a request's connection as its client saw it.
fn describe(progress: Progress, start: Instant) -> String {
    let at = |time: Instant| time.saturating_duration_since(start).as_secs_f64();
    match progress {
        Progress::Unsent => "no connection".to_owned(),
        Progress::Connecting(since) => format!("connecting since {:.3} s", at(since)),
        Progress::Sent(seen) => {
            let (started, connected) = (at(seen.connect_started_at), at(seen.connected_at));
            let (client, answered) = (seen.client, seen.answered);
            format!("{client}, connect started at {started:.3} s, connected at {connected:.3} s, {answered} earlier answers")
        }
    }
}

/// Builds a request whose deadline header states the remaining budget.
fn build_request(arrival: &Arrival, class: &Class, budget: f64) -> Request<Full<Bytes>> {
    let safe = class.effect == Effect::Safe;
    let body = if safe { Bytes::new() } else { Bytes::from(vec![b'x'; arrival.bytes as usize]) };
    let mut request = Request::builder()
        .method(if safe { Method::GET } else { Method::POST })
        .uri(format!("/api?k={:x}", arrival.key))
        .header("host", "origin.svc")
        .header("x-request-id", format!("{:x}", arrival.id))
        .header("x-class", &class.name)
        .header("x-deadline", format!("{budget:.3}"));
    if class.effect == Effect::Keyed {
        request = request.header("idempotency-key", format!("{:032x}", arrival.id));
    }
    request.body(Full::new(body)).expect("names are checked as header values")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_lean_gives_a_tenth_of_the_nodes_its_share_and_the_next_lean_other_nodes() {
        let scenario = "for_s = 10\nnodes = 40\nload = 0.5\n[[servers]]\ncount = 2\n[[lean]]\nnodes = 0.1\nshare = 0.5\n\
                        [[lean]]\nat_s = 5\nnodes = 0.1\nshare = 0.5\n";
        let mut picker = NodePicker::new(&Scenario::parse(scenario).expect("sound"));
        let mut busiest = |at: f64| {
            let mut counts = [0; 40];
            (0..20_000).for_each(|_| counts[picker.pick(at)] += 1);
            let mut nodes: Vec<usize> = (0..40).collect();
            nodes.sort_by_key(|node| std::cmp::Reverse(counts[*node]));
            (nodes[..4].iter().map(|node| counts[*node]).sum::<i32>(), nodes[..4].to_vec())
        };
        let ((before, first), (after, second)) = (busiest(1.0), busiest(6.0));
        assert!((9_500..11_500).contains(&before) && (9_500..11_500).contains(&after), "{before} {after}");
        assert!(first.iter().any(|node| !second.contains(node)), "{first:?}");
    }
}
