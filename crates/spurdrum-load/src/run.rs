//! The engine: a thread that keeps the schedule's time, and event loops that send, each in a thread of its own.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::{interval, sleep, timeout, MissedTickBehavior};

use crate::client::{retry_delay, Outcome};
use crate::firsts::RequestTracker;
use crate::plan::{Effect, Phase, Plan};
use crate::report::{Recorder, Report};
use crate::transport::Pool;
use crate::Arrival;

/// Requests that are due and that the event loop has not taken yet.
const WAITING_MOST: usize = 65_536;
/// How often requests are settled: few at a time, as those that are due meanwhile wait.
const SETTLE: Duration = Duration::from_millis(10);
/// Room is made beforehand for so many requests that are not settled. Guards against sends that wait for a table to grow.
const ROOM_MOST: f64 = 1e6;
/// The thread that keeps time looks this often whether the run is to end.
const LOOK: Duration = Duration::from_millis(50);

/// What a run needs beside its plan.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where the target listens.
    pub target: SocketAddr,
    /// Drives what clients do.
    pub seed: u64,
    /// Instead of a schedule, so many clients that wait for each answer before they ask again; for as long.
    /// Its latencies hide what a stalled target does to those that would have come: it is here to show that.
    pub closed: Option<(usize, Duration)>,
    /// The run is cut off after so long.
    pub max_duration: Duration,
    /// Event loops that send; what clients hold (connections, requests under way) is dealt out among them.
    pub threads: usize,
}

/// The requests that are due, in their order. An error ends the run.
pub type Arrivals = Box<dyn Iterator<Item = Result<Arrival, String>> + Send>;

/// What all event loops share.
struct Shared {
    plan: Plan,
    options: Options,
    start: Instant,
    recorder: Mutex<Recorder>,
    /// The run is to end.
    stopped: AtomicBool,
    in_flight: AtomicUsize,
    connections: AtomicU64,
    orphans: AtomicU64,
}

impl Shared {
    fn recorder(&self) -> MutexGuard<'_, Recorder> {
        self.recorder.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One event loop.
struct Context {
    shared: Arc<Shared>,
    pool: Pool,
    firsts: RefCell<RequestTracker>,
    rng: RefCell<fastrand::Rng>,
    in_flight: Cell<usize>,
    in_flight_most: usize,
    next_id: Cell<u64>,
}

/// Runs until the schedule is over and every request settled, or `stop` is done. `live` is told the figures of each
/// second.
pub fn run(
    plan: &Plan,
    arrivals: Arrivals,
    options: &Options,
    stop: impl Future<Output = ()>,
    mut live: impl FnMut(&str),
) -> Result<Report, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| format!("cannot start the event loop: {error}"))?;
    let threads = options.threads.clamp(1, 64);
    let shared = Arc::new(Shared {
        plan: plan.clone(),
        options: options.clone(),
        start: Instant::now(),
        recorder: Mutex::new(Recorder::new(plan)),
        stopped: AtomicBool::new(false),
        in_flight: AtomicUsize::new(0),
        connections: AtomicU64::new(0),
        orphans: AtomicU64::new(0),
    });
    let (mut given, mut loops) = (Vec::new(), Vec::new());
    for n in 0..threads {
        let (due, dues) = mpsc::channel(WAITING_MOST / threads);
        let shared = Arc::clone(&shared);
        given.push(due);
        loops.push(std::thread::spawn(move || send(shared, n, threads, dues)));
    }
    let pacer = match options.closed {
        Some(_) => None,
        None => {
            let shared = Arc::clone(&shared);
            Some(std::thread::spawn(move || pace(&shared, arrivals, &given)))
        }
    };
    runtime.block_on(async {
        let mut stop = pin!(stop);
        let mut look = interval(LOOK);
        look.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let (mut second, mut stops) = (0, false);
        while !loops.iter().all(std::thread::JoinHandle::is_finished) {
            tokio::select! {
                biased;
                () = &mut stop, if !stops => {
                    stops = true;
                    shared.stopped.store(true, Ordering::Relaxed);
                }
                _ = look.tick() => {}
            }
            let now = shared.start.elapsed().as_secs();
            if now > second {
                second = now;
                live(&shared.recorder().line(second, shared.in_flight.load(Ordering::Relaxed)));
            }
        }
    });
    for sender in loops {
        sender.join().unwrap_or_else(|_| Err("an event loop died".into()))?;
    }
    let (paced, error) =
        pacer.map_or((0, None), |pacer| pacer.join().unwrap_or((0, Some("the pacer died".into()))));
    if let Some(why) = error {
        return Err(why);
    }
    let (connections, orphans) =
        (shared.connections.load(Ordering::Relaxed), shared.orphans.load(Ordering::Relaxed));
    let report = shared.recorder().report(shared.start.elapsed(), connections, orphans, paced);
    Ok(report)
}

/// The `n`th event loop of so many: sends what is given to it until there is no more, and waits for the answers.
fn send(
    shared: Arc<Shared>,
    n: usize,
    threads: usize,
    mut dues: mpsc::Receiver<Arrival>,
) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| format!("cannot start an event loop: {error}"))?;
    // The first loops take what does not divide evenly.
    let share = |all: usize| all / threads + usize::from(n < all % threads);
    let clients = &shared.plan.clients;
    let longest = shared.plan.classes.iter().map(|class| class.deadline_s).fold(0.0, f64::max);
    let rates = |phase: &Phase| phase.rates.iter().copied().fold(phase.rate, f64::max);
    let room = 1.5 * longest * shared.plan.phases.iter().map(rates).fold(0.0, f64::max);
    let context = Rc::new(Context {
        pool: Pool::new(shared.options.target, share(clients.connections).max(1)),
        firsts: RefCell::new(RequestTracker::with_capacity((room.min(ROOM_MOST) / threads as f64) as usize)),
        rng: RefCell::new(fastrand::Rng::with_seed(shared.options.seed ^ 0x5bd1_e995 ^ ((n as u64) << 32))),
        in_flight: Cell::new(0),
        in_flight_most: share(clients.in_flight).max(1),
        // Retries get numbers of their own, far from any schedule's, and from those of the other loops.
        next_id: Cell::new((1 << 62) + ((n as u64) << 48)),
        shared: Arc::clone(&shared),
    });
    LocalSet::new().block_on(&runtime, async {
        let mut settle = interval(SETTLE);
        settle.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let workers = shared.options.closed.map(|(clients, time)| {
            let run =
                (0..share(clients)).map(|_| tokio::task::spawn_local(closed(Rc::clone(&context), time)));
            run.collect::<Vec<_>>()
        });
        loop {
            let over = workers.as_ref().is_some_and(|all| all.iter().all(|worker| worker.is_finished()));
            let most = shared.start.elapsed() > shared.options.max_duration;
            if most || over || shared.stopped.load(Ordering::Relaxed) {
                break;
            }
            tokio::select! {
                biased;
                _ = settle.tick() => context.settle(context.now_us()),
                next = dues.recv(), if workers.is_none() => match next {
                    Some(arrival) => context.take(arrival),
                    None => break,
                },
            }
        }
        dues.close();
        // Those that are under way have until their deadline.
        let end = Instant::now() + Duration::from_secs_f64(longest) + SETTLE;
        while context.in_flight.get() > 0 && Instant::now() < end {
            settle.tick().await;
            context.settle(context.now_us());
        }
        context.settle(u64::MAX);
    });
    shared.connections.fetch_add(context.pool.connections_opened.get(), Ordering::Relaxed);
    shared.orphans.fetch_add(context.firsts.borrow().orphans(), Ordering::Relaxed);
    Ok(())
}

/// Gives out requests when they are due. Sleeps in a thread of its own: an event loop that is busy, or whose timers are
/// coarse, would be late for all.
fn pace(shared: &Shared, arrivals: Arrivals, given: &[mpsc::Sender<Arrival>]) -> (u64, Option<String>) {
    let mut count = 0;
    for arrival in arrivals {
        let arrival = match arrival {
            Ok(arrival) => arrival,
            Err(why) => return (count, Some(why)),
        };
        let at = Duration::from_micros(arrival.due_us);
        if at > shared.options.max_duration {
            break;
        }
        loop {
            let left = at.saturating_sub(shared.start.elapsed());
            if left.is_zero() {
                break;
            }
            std::thread::sleep(left.min(LOOK));
            if shared.stopped.load(Ordering::Relaxed) {
                return (count, None);
            }
        }
        // A retry goes where its first try went: there it is counted.
        let to = &given[(arrival.first.unwrap_or(arrival.id) % given.len() as u64) as usize];
        // It waits where the event loop is behind: that shows as lag, and nothing is left out.
        if to.blocking_send(arrival).is_err() {
            break;
        }
        count += 1;
    }
    (count, None)
}

/// A client that asks again when it has been answered.
async fn closed(context: Rc<Context>, time: Duration) {
    while context.shared.start.elapsed() < time {
        let id = context.new_id();
        let (class, tenant) = {
            let mut rng = context.rng.borrow_mut();
            let tenants = context.shared.plan.tenants.len().max(1);
            (rng.usize(..context.shared.plan.classes.len()), rng.usize(..tenants))
        };
        let bytes = context.shared.plan.classes[class].bytes.0;
        let arrival = Arrival {
            due_us: context.now_us(),
            id,
            first: None,
            class: class as u16,
            tenant: tenant as u16,
            key: id,
            bytes,
        };
        context.begin(&arrival);
        context.goes_out();
        Rc::clone(&context).one(arrival).await;
    }
}

impl Context {
    fn now_us(&self) -> u64 {
        self.shared.start.elapsed().as_micros() as u64
    }

    fn new_id(&self) -> u64 {
        self.next_id.set(self.next_id.get() + 1);
        self.next_id.get()
    }

    fn goes_out(&self) {
        self.in_flight.set(self.in_flight.get() + 1);
        self.shared.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    fn settle(&self, now_us: u64) {
        let mut recorder = self.shared.recorder();
        self.firsts.borrow_mut().settle(now_us, |arrival, outcome| recorder.settled(arrival, outcome));
    }

    fn begin(&self, arrival: &Arrival) {
        let deadline = self.shared.plan.classes[usize::from(arrival.class)].deadline_s;
        self.firsts.borrow_mut().begin(*arrival, (deadline * 1e6) as u64);
        self.shared.recorder().due(arrival);
    }

    fn take(self: &Rc<Self>, arrival: Arrival) {
        self.begin(&arrival);
        if self.in_flight.get() >= self.in_flight_most {
            self.end(&arrival, Outcome::NotSent, false);
            return;
        }
        // Counted before its task first runs: the end of a run waits for all that are under way.
        self.goes_out();
        tokio::task::spawn_local(Rc::clone(self).one(arrival));
    }

    fn end(&self, arrival: &Arrival, outcome: Outcome, more: bool) {
        let at = self.now_us();
        self.shared.recorder().tried(outcome);
        self.firsts.borrow_mut().end(arrival, outcome, at, more);
    }

    /// One request, from its first try to the last. It is counted as under way by now.
    async fn one(self: Rc<Self>, first: Arrival) {
        let class = &self.shared.plan.classes[usize::from(first.class)];
        let deadline = self.shared.start
            + Duration::from_micros(first.due_us)
            + Duration::from_secs_f64(class.deadline_s);
        let (mut arrival, mut due, mut tries) = (first, Duration::from_micros(first.due_us), 0);
        loop {
            tries += 1;
            let lag = self.shared.start.elapsed().saturating_sub(due);
            self.shared.recorder().sent(lag);
            let outcome = self.attempt(&arrival, deadline, tries > 1 || first.first.is_some()).await;
            let left = deadline.saturating_duration_since(Instant::now());
            let draw = self.rng.borrow_mut().f64();
            let wait = retry_delay(&self.shared.plan.clients, outcome, tries, left, draw);
            self.end(&arrival, outcome, wait.is_some());
            let Some(wait) = wait else { break };
            due = self.shared.start.elapsed() + wait;
            if !wait.is_zero() {
                sleep(wait).await;
            }
            arrival = Arrival { id: self.new_id(), first: Some(first.first.unwrap_or(first.id)), ..first };
            self.shared.recorder().retried();
        }
        self.in_flight.set(self.in_flight.get() - 1);
        self.shared.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// One try, for as long as its client waits.
    async fn attempt(&self, arrival: &Arrival, deadline: Instant, repeat: bool) -> Outcome {
        let clients = &self.shared.plan.clients;
        let class = &self.shared.plan.classes[usize::from(arrival.class)];
        let (give_up, leaves, leave_at, keep) = {
            let mut rng = self.rng.borrow_mut();
            let (least, most) = clients.give_up;
            let give_up = least + (most - least) * rng.f64();
            (give_up, rng.f64() < clients.leave, rng.f64(), rng.f64() < clients.keep)
        };
        let left = deadline.saturating_duration_since(Instant::now());
        let patience = Duration::from_secs_f64(class.deadline_s * give_up).min(left);
        let request = self.request(arrival, patience, repeat);
        let (limit, at_limit) = match leaves {
            true => (patience.mul_f64(leave_at), Outcome::Left),
            false => (patience, Outcome::GaveUp),
        };
        timeout(limit, self.pool.send(request, keep)).await.unwrap_or(at_limit)
    }

    fn request(&self, arrival: &Arrival, patience: Duration, repeat: bool) -> Request<Full<Bytes>> {
        let class = &self.shared.plan.classes[usize::from(arrival.class)];
        let body = match class.effect {
            Effect::Safe => Bytes::new(),
            // The same bytes for all: only their number matters.
            Effect::Keyed | Effect::Unsafe => Bytes::from(vec![b'x'; arrival.bytes as usize]),
        };
        let method = if class.effect == Effect::Safe { Method::GET } else { Method::POST };
        let mut request = Request::builder()
            .method(method)
            .uri(format!("/api?k={:x}", arrival.key))
            .header("host", "origin.svc")
            .header("x-request-id", format!("{:x}", arrival.id))
            .header("x-class", &class.name)
            .header("x-deadline", format!("{:.3}", patience.as_secs_f64().max(0.001)));
        if let Some(tenant) = self.shared.plan.tenants.get(usize::from(arrival.tenant)) {
            request = request.header("x-tenant", &tenant.name);
        }
        if class.effect == Effect::Keyed {
            let first = arrival.first.unwrap_or(arrival.id);
            request = request.header("idempotency-key", format!("{first:032x}"));
        }
        if repeat && self.shared.plan.clients.marks_retry {
            request = request.header("x-retry", "1");
        }
        request.body(Full::new(body)).expect("names are checked as header values")
    }
}
