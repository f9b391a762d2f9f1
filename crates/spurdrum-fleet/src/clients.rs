//! Clients in an open loop: each request goes to a node by that node's part of the load, at its time.

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

/// Event loops of the clients.
const LOOPS: usize = 4;
/// Connections that clients keep to one node at most.
const CONNECTIONS: usize = 200;
/// A client that reaches no node tries so many others.
const OTHERS: usize = 3;
/// A node is told that its client waits for so long at least, in seconds.
const LEFT_LEAST: f64 = 0.001;

/// Deals requests out to nodes by their parts.
pub struct Deal {
    /// From when, and the sums of the nodes' parts.
    parts: Vec<(f64, Vec<f64>)>,
    rng: fastrand::Rng,
}

impl Deal {
    /// Parts are drawn lognormal, and leant as the scenario has it.
    #[must_use]
    pub fn new(scenario: &Scenario) -> Self {
        let mut rng = fastrand::Rng::with_seed(scenario.seed ^ 0x5eed);
        let nodes = scenario.nodes;
        let parts: Vec<f64> = (0..nodes).map(|_| (scenario.sigma * normal(&mut rng)).exp()).collect();
        let mut all = vec![(0.0, parts.clone())];
        for lean in &scenario.leans {
            let mut drawn: Vec<usize> = (0..nodes).collect();
            rng.shuffle(&mut drawn);
            drawn.truncate(((nodes as f64 * lean.nodes).round() as usize).max(1));
            let chosen = |node: usize| match &lean.zone {
                Some(zone) => scenario.zone_of(node) == zone,
                None => drawn.contains(&node),
            };
            let theirs: f64 = (0..nodes).filter(|node| chosen(*node)).map(|node| parts[node]).sum();
            let rest: f64 = parts.iter().sum::<f64>() - theirs;
            let leant = |(node, part): (usize, &f64)| match chosen(node) {
                true => part / theirs.max(1e-9) * lean.share,
                false => part / rest.max(1e-9) * (1.0 - lean.share),
            };
            all.push((lean.at_s, parts.iter().enumerate().map(leant).collect()));
        }
        for (_, parts) in &mut all {
            let mut sum = 0.0;
            parts.iter_mut().for_each(|part| {
                sum += *part;
                *part = sum;
            });
        }
        Self { parts: all, rng }
    }

    /// The node of a request that is due at this time, in seconds.
    pub fn deal(&mut self, due: f64) -> usize {
        let Some((_, parts)) = self.parts.iter().rev().find(|(from, _)| *from <= due) else { return 0 };
        let draw = self.rng.f64() * parts.last().copied().unwrap_or_default();
        parts.partition_point(|sum| *sum <= draw).min(parts.len().saturating_sub(1))
    }
}

/// The threads of clients that play.
pub struct Playing {
    threads: Vec<JoinHandle<Result<Vec<RequestRecord>, String>>>,
    statements: JoinHandle<Vec<SocketReport>>,
}

/// Starts the threads of all clients; they begin at once, and end with the scenario or with `stop`.
pub fn start(scenario: &Scenario, nodes: &[SocketAddr], start: Instant, stop: &Arc<AtomicBool>) -> Playing {
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
    let mut deal = Deal::new(scenario);
    let mut shares: Vec<Vec<(Arrival, usize)>> = vec![Vec::new(); LOOPS];
    for (n, arrival) in Arrivals::new(&plan, scenario.seed).enumerate() {
        let node = deal.deal(arrival.due_us as f64 / 1e6);
        shares[n % LOOPS].push((arrival, node));
    }
    let (witness, statements) = SocketObserver::start();
    let begin = |(n, share): (usize, Vec<(Arrival, usize)>)| {
        let (nodes, scenario, seed) = (nodes.to_vec(), scenario.clone(), scenario.seed + n as u64);
        let (stop, witness) = (Arc::clone(stop), witness.clone());
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let runtime = runtime.map_err(|error| error.to_string())?;
            Ok(LocalSet::new()
                .block_on(&runtime, play(share, &nodes, &scenario, start, seed, &stop, witness)))
        })
    };
    let threads = shares.into_iter().enumerate().map(begin).collect();
    Playing { threads, statements }
}

/// Waits for all clients: what became of their requests, in the order in which they were due.
///
/// # Errors
///
/// A client's thread could not play.
pub fn gather(playing: Playing) -> Result<Vec<RequestRecord>, String> {
    let mut asked = Vec::new();
    for thread in playing.threads {
        asked.extend(thread.join().map_err(|_| "a client's thread died".to_owned())??);
    }
    let statements = playing.statements.join().map_err(|_| "the witness's thread died".to_owned())?;
    for SocketReport { request, sockets } in statements {
        let of = asked.iter_mut().filter(|asked| asked.id == request);
        of.for_each(|asked| asked.connection.get_or_insert_default().push_str(&format!("; {sockets}")));
    }
    asked.sort_by(|a, b| a.due.total_cmp(&b.due));
    Ok(asked)
}

/// Plays a share of the arrivals, on one event loop: sends each at its time, and returns what became of it.
pub async fn play(
    arrivals: Vec<(Arrival, usize)>,
    nodes: &[SocketAddr],
    scenario: &Scenario,
    start: Instant,
    seed: u64,
    stop: &AtomicBool,
    witness: SocketObserver,
) -> Vec<RequestRecord> {
    let pools: Vec<Pool> = nodes.iter().map(|node| Pool::new(*node, CONNECTIONS)).collect();
    let rng = RefCell::new(fastrand::Rng::with_seed(seed));
    let clients = Rc::new(Clients {
        pools,
        classes: scenario.classes.clone(),
        slack: scenario.slack_s,
        rng,
        start,
        witness,
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
        tasks.push(tokio::task::spawn_local(async move { ask(arrival, node, &clients).await }));
    }
    let mut asked = Vec::with_capacity(tasks.len());
    for task in tasks {
        asked.extend(task.await);
    }
    asked
}

/// What all requests of an event loop share.
struct Clients {
    pools: Vec<Pool>,
    classes: Vec<Class>,
    slack: f64,
    rng: RefCell<fastrand::Rng>,
    start: Instant,
    witness: SocketObserver,
}

impl Clients {
    /// Sends a request to one node and waits for its answer, for its client's time and the slack.
    async fn ask_node(&self, arrival: &Arrival, node: usize, progress: &Cell<Progress>) -> End {
        let (pool, class) = (&self.pools[node], &self.classes[usize::from(arrival.class)]);
        let deadline = arrival.due_us as f64 / 1e6 + class.deadline_s;
        let at = |seconds: f64| self.start + Duration::from_secs_f64(seconds);
        let left = (deadline - self.start.elapsed().as_secs_f64()).max(LEFT_LEAST);
        let mut asked = pin!(pool.send_with_progress(request(arrival, class, left), true, progress));
        let overdue = at(deadline + self.slack / 2.0);
        if let Ok(outcome) = timeout_at(overdue.into(), &mut asked).await {
            return End::of(outcome);
        }
        // While its connection is still there.
        self.witness.look(arrival.id, pool.target(), progress.get());
        let ends = at(deadline + self.slack);
        timeout_at(ends.into(), asked).await.map_or(End::NoAnswer, End::of)
    }
}

/// Sends a request to its node, or to others where that cannot be reached. What became of it.
async fn ask(arrival: Arrival, mut node: usize, clients: &Clients) -> RequestRecord {
    let (class, start) = (&clients.classes[usize::from(arrival.class)], clients.start);
    let now = || start.elapsed().as_secs_f64();
    let due = arrival.due_us as f64 / 1e6;
    let lag = now() - due;
    let mut end = End::Unreached;
    let progress = Cell::default();
    for _ in 0..=OTHERS {
        end = clients.ask_node(&arrival, node, &progress).await;
        if end != End::Unreached {
            break;
        }
        // What stands before nodes notices that one is dead, and asks another.
        node = clients.rng.borrow_mut().usize(..clients.pools.len());
    }
    let is_unanswered = matches!(end, End::Broken | End::NoAnswer);
    let connection = is_unanswered.then(|| shown(progress.get(), start));
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

/// A request's connection, as its client saw it.
fn shown(progress: Progress, start: Instant) -> String {
    let at = |time: Instant| time.saturating_duration_since(start).as_secs_f64();
    match progress {
        Progress::Unsent => "no connection".to_owned(),
        Progress::Connecting(since) => format!("connecting since {:.3} s", at(since)),
        Progress::Sent(seen) => {
            let (dialed, connected) = (at(seen.connect_started_at), at(seen.connected_at));
            let (client, answered) = (seen.client, seen.answered);
            format!("{client}, dialed at {dialed:.3} s, up at {connected:.3} s, {answered} answers before")
        }
    }
}

fn request(arrival: &Arrival, class: &Class, left: f64) -> Request<Full<Bytes>> {
    let safe = class.effect == Effect::Safe;
    let body = if safe { Bytes::new() } else { Bytes::from(vec![b'x'; arrival.bytes as usize]) };
    let mut request = Request::builder()
        .method(if safe { Method::GET } else { Method::POST })
        .uri(format!("/api?k={:x}", arrival.key))
        .header("host", "origin.svc")
        .header("x-request-id", format!("{:x}", arrival.id))
        .header("x-class", &class.name)
        .header("x-deadline", format!("{left:.3}"));
    if class.effect == Effect::Keyed {
        request = request.header("idempotency-key", format!("{:032x}", arrival.id));
    }
    request.body(Full::new(body)).expect("names are checked as header values")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_tenth_of_the_nodes_has_its_part_and_the_tenth_changes() {
        let scenario = "for_s = 10\nnodes = 40\nload = 0.5\n[[servers]]\ncount = 2\n[[lean]]\nnodes = 0.1\nshare = 0.5\n\
                        [[lean]]\nat_s = 5\nnodes = 0.1\nshare = 0.5\n";
        let mut deal = Deal::new(&Scenario::parse(scenario).expect("sound"));
        let mut busiest = |at: f64| {
            let mut counts = [0; 40];
            (0..20_000).for_each(|_| counts[deal.deal(at)] += 1);
            let mut nodes: Vec<usize> = (0..40).collect();
            nodes.sort_by_key(|node| std::cmp::Reverse(counts[*node]));
            (nodes[..4].iter().map(|node| counts[*node]).sum::<i32>(), nodes[..4].to_vec())
        };
        let ((before, first), (after, second)) = (busiest(1.0), busiest(6.0));
        assert!((9_500..11_500).contains(&before) && (9_500..11_500).contains(&after), "{before} {after}");
        assert!(first.iter().any(|node| !second.contains(node)), "{first:?}");
    }
}
