//! The engine: one thread that releases requests when they are due (the pacer), and event loops that send
//! them, each in a thread of its own.

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
use crate::plan::{Effect, Phase, Plan};
use crate::report::{Recorder, Report};
use crate::request_tracker::RequestTracker;
use crate::transport::Pool;
use crate::Arrival;

/// Maximum number of requests that are due and that the event loops have not taken yet.
const MAX_QUEUED: usize = 65_536;
/// Interval at which requests are finalized. It is short, so that few are finalized at a time: requests that
/// become due in the meantime have to wait.
const FINALIZE_INTERVAL: Duration = Duration::from_millis(10);
/// Upper limit on the number of unfinalized requests for which memory is reserved at the start. Without the
/// reservation, sends would be delayed while the table of requests grows.
const MAX_RESERVED_REQUESTS: f64 = 1e6;
/// Interval at which the pacer thread and the progress output check whether the run is to end.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Options of a run that are not part of its plan.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address on which the target listens.
    pub target: SocketAddr,
    /// Seed of the clients' random choices.
    pub seed: u64,
    /// Closed loop: instead of a schedule, this many clients, each of which waits for a response before it
    /// sends its next request, for this long. Its latencies hide what a stalled target does to the requests
    /// that would have been sent in the meantime; the mode exists to demonstrate that.
    pub closed: Option<(usize, Duration)>,
    /// The run is stopped after this time.
    pub max_duration: Duration,
    /// Number of event loops that send. The limits on connections and on requests in flight are divided among
    /// them.
    pub threads: usize,
}

/// The attempts to send, in the order in which they are due. An error ends the run.
pub type Arrivals = Box<dyn Iterator<Item = Result<Arrival, String>> + Send>;

/// State shared by all event loops.
struct Shared {
    plan: Plan,
    options: Options,
    start: Instant,
    recorder: Mutex<Recorder>,
    /// Whether the run is to end early.
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

/// State of one event loop.
struct Context {
    shared: Arc<Shared>,
    pool: Pool,
    tracker: RefCell<RequestTracker>,
    rng: RefCell<fastrand::Rng>,
    in_flight: Cell<usize>,
    max_in_flight: usize,
    next_id: Cell<u64>,
}

/// Runs until the schedule has ended and every request is finalized, or until `stop` completes. Calls
/// `on_progress` with a line of statistics once a second.
pub fn run(
    plan: &Plan,
    arrivals: Arrivals,
    options: &Options,
    stop: impl Future<Output = ()>,
    mut on_progress: impl FnMut(&str),
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
    let (mut queues, mut loops) = (Vec::new(), Vec::new());
    for index in 0..threads {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED / threads);
        let shared = Arc::clone(&shared);
        queues.push(sender);
        loops.push(std::thread::spawn(move || run_event_loop(shared, index, threads, receiver)));
    }
    let pacer = match options.closed {
        Some(_) => None,
        None => {
            let shared = Arc::clone(&shared);
            Some(std::thread::spawn(move || pace(&shared, arrivals, &queues)))
        }
    };
    runtime.block_on(async {
        let mut stop = pin!(stop);
        let mut check = interval(STOP_CHECK_INTERVAL);
        check.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let (mut second, mut stop_requested) = (0, false);
        while !loops.iter().all(std::thread::JoinHandle::is_finished) {
            tokio::select! {
                biased;
                () = &mut stop, if !stop_requested => {
                    stop_requested = true;
                    shared.stopped.store(true, Ordering::Relaxed);
                }
                _ = check.tick() => {}
            }
            let now = shared.start.elapsed().as_secs();
            if now > second {
                second = now;
                on_progress(
                    &shared.recorder().progress_line(second, shared.in_flight.load(Ordering::Relaxed)),
                );
            }
        }
    });
    for event_loop in loops {
        event_loop.join().unwrap_or_else(|_| Err("an event loop panicked".into()))?;
    }
    let (paced, error) = pacer
        .map_or((0, None), |pacer| pacer.join().unwrap_or((0, Some("the pacer thread panicked".into()))));
    if let Some(error) = error {
        return Err(error);
    }
    let (connections, orphans) =
        (shared.connections.load(Ordering::Relaxed), shared.orphans.load(Ordering::Relaxed));
    let report = shared.recorder().report(shared.start.elapsed(), connections, orphans, paced);
    Ok(report)
}

/// Runs the event loop with this index, of `threads` in total: sends the attempts that arrive on its queue
/// until the queue is closed, then waits for the responses.
fn run_event_loop(
    shared: Arc<Shared>,
    index: usize,
    threads: usize,
    mut queue: mpsc::Receiver<Arrival>,
) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| format!("cannot start an event loop: {error}"))?;
    // The first loops get the remainder of the division.
    let share = |total: usize| total / threads + usize::from(index < total % threads);
    let clients = &shared.plan.clients;
    let max_deadline_s = shared.plan.classes.iter().map(|class| class.deadline_s).fold(0.0, f64::max);
    let max_rate = |phase: &Phase| phase.rates.iter().copied().fold(phase.rate, f64::max);
    let expected_requests =
        1.5 * max_deadline_s * shared.plan.phases.iter().map(max_rate).fold(0.0, f64::max);
    let context = Rc::new(Context {
        pool: Pool::new(shared.options.target, share(clients.connections).max(1)),
        tracker: RefCell::new(RequestTracker::with_capacity(
            (expected_requests.min(MAX_RESERVED_REQUESTS) / threads as f64) as usize,
        )),
        rng: RefCell::new(fastrand::Rng::with_seed(
            shared.options.seed ^ 0x5bd1_e995 ^ ((index as u64) << 32),
        )),
        in_flight: Cell::new(0),
        max_in_flight: share(clients.in_flight).max(1),
        // Ids of retries are far from those of any schedule, and from those of the other loops.
        next_id: Cell::new((1 << 62) + ((index as u64) << 48)),
        shared: Arc::clone(&shared),
    });
    LocalSet::new().block_on(&runtime, async {
        let mut finalize = interval(FINALIZE_INTERVAL);
        finalize.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let workers = shared.options.closed.map(|(clients, duration)| {
            let tasks = (0..share(clients))
                .map(|_| tokio::task::spawn_local(closed_loop_client(Rc::clone(&context), duration)));
            tasks.collect::<Vec<_>>()
        });
        loop {
            let finished = workers.as_ref().is_some_and(|all| all.iter().all(|worker| worker.is_finished()));
            let timed_out = shared.start.elapsed() > shared.options.max_duration;
            if timed_out || finished || shared.stopped.load(Ordering::Relaxed) {
                break;
            }
            tokio::select! {
                biased;
                _ = finalize.tick() => context.finalize(context.now_us()),
                next = queue.recv(), if workers.is_none() => match next {
                    Some(arrival) => context.start_request(arrival),
                    None => break,
                },
            }
        }
        queue.close();
        // Requests in flight may still be answered until their deadlines.
        let end = Instant::now() + Duration::from_secs_f64(max_deadline_s) + FINALIZE_INTERVAL;
        while context.in_flight.get() > 0 && Instant::now() < end {
            finalize.tick().await;
            context.finalize(context.now_us());
        }
        context.finalize(u64::MAX);
    });
    shared.connections.fetch_add(context.pool.connections_opened.get(), Ordering::Relaxed);
    shared.orphans.fetch_add(context.tracker.borrow().orphans(), Ordering::Relaxed);
    Ok(())
}

/// Passes each attempt to the queue of an event loop when it is due, and returns how many it passed and the
/// error that ended the arrivals, if any. It sleeps in a thread of its own: an event loop that is busy or has
/// coarse timers would release every attempt late.
fn pace(shared: &Shared, arrivals: Arrivals, queues: &[mpsc::Sender<Arrival>]) -> (u64, Option<String>) {
    let mut count = 0;
    for arrival in arrivals {
        let arrival = match arrival {
            Ok(arrival) => arrival,
            Err(error) => return (count, Some(error)),
        };
        let due = Duration::from_micros(arrival.due_us);
        if due > shared.options.max_duration {
            break;
        }
        loop {
            let remaining = due.saturating_sub(shared.start.elapsed());
            if remaining.is_zero() {
                break;
            }
            std::thread::sleep(remaining.min(STOP_CHECK_INTERVAL));
            if shared.stopped.load(Ordering::Relaxed) {
                return (count, None);
            }
        }
        // A retry goes to the event loop of its first attempt, which tracks the request.
        let queue = &queues[(arrival.retry_of.unwrap_or(arrival.id) % queues.len() as u64) as usize];
        // Blocks while the event loop is behind: the delay shows up as lag, and no attempt is dropped.
        if queue.blocking_send(arrival).is_err() {
            break;
        }
        count += 1;
    }
    (count, None)
}

/// A client of a closed loop: sends its next request when the previous one has ended.
async fn closed_loop_client(context: Rc<Context>, duration: Duration) {
    while context.shared.start.elapsed() < duration {
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
            retry_of: None,
            class: class as u16,
            tenant: tenant as u16,
            key: id,
            bytes,
        };
        context.record_due(&arrival);
        context.increment_in_flight();
        Rc::clone(&context).run_request(arrival).await;
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

    fn increment_in_flight(&self) {
        self.in_flight.set(self.in_flight.get() + 1);
        self.shared.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    fn finalize(&self, now_us: u64) {
        let mut recorder = self.shared.recorder();
        self.tracker
            .borrow_mut()
            .finalize(now_us, |arrival, outcome| recorder.record_final(arrival, outcome));
    }

    fn record_due(&self, arrival: &Arrival) {
        let deadline = self.shared.plan.classes[usize::from(arrival.class)].deadline_s;
        self.tracker.borrow_mut().attempt_due(*arrival, (deadline * 1e6) as u64);
        self.shared.recorder().record_due(arrival);
    }

    /// Starts the task of a request, or records the request as not sent where too many are in flight.
    fn start_request(self: &Rc<Self>, arrival: Arrival) {
        self.record_due(&arrival);
        if self.in_flight.get() >= self.max_in_flight {
            self.record_attempt_ended(&arrival, Outcome::NotSent, false);
            return;
        }
        // Counted before the task first runs, because the end of a run waits for all requests in flight.
        self.increment_in_flight();
        tokio::task::spawn_local(Rc::clone(self).run_request(arrival));
    }

    fn record_attempt_ended(&self, arrival: &Arrival, outcome: Outcome, will_retry: bool) {
        let now_us = self.now_us();
        self.shared.recorder().record_attempt_ended(outcome);
        self.tracker.borrow_mut().attempt_ended(arrival, outcome, now_us, will_retry);
    }

    /// Sends a request and its retries. The caller has counted the request as in flight.
    async fn run_request(self: Rc<Self>, first: Arrival) {
        let class = &self.shared.plan.classes[usize::from(first.class)];
        let deadline = self.shared.start
            + Duration::from_micros(first.due_us)
            + Duration::from_secs_f64(class.deadline_s);
        let (mut arrival, mut due, mut attempts) = (first, Duration::from_micros(first.due_us), 0);
        loop {
            attempts += 1;
            let lag = self.shared.start.elapsed().saturating_sub(due);
            self.shared.recorder().record_sent(lag);
            let outcome = self.attempt(&arrival, deadline, attempts > 1 || first.retry_of.is_some()).await;
            let remaining = deadline.saturating_duration_since(Instant::now());
            let draw = self.rng.borrow_mut().f64();
            let delay = retry_delay(&self.shared.plan.clients, outcome, attempts, remaining, draw);
            self.record_attempt_ended(&arrival, outcome, delay.is_some());
            let Some(delay) = delay else { break };
            due = self.shared.start.elapsed() + delay;
            if !delay.is_zero() {
                sleep(delay).await;
            }
            arrival =
                Arrival { id: self.new_id(), retry_of: Some(first.retry_of.unwrap_or(first.id)), ..first };
            self.shared.recorder().record_retry();
        }
        self.in_flight.set(self.in_flight.get() - 1);
        self.shared.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// Makes one attempt, which ends at the latest when its client gives up or leaves.
    async fn attempt(&self, arrival: &Arrival, deadline: Instant, is_retry: bool) -> Outcome {
        let clients = &self.shared.plan.clients;
        let class = &self.shared.plan.classes[usize::from(arrival.class)];
        let (give_up, leaves, leave_at, keep_alive) = {
            let mut rng = self.rng.borrow_mut();
            let (min, max) = clients.give_up;
            let give_up = min + (max - min) * rng.f64();
            (give_up, rng.f64() < clients.leave, rng.f64(), rng.f64() < clients.keep)
        };
        let remaining = deadline.saturating_duration_since(Instant::now());
        let attempt_timeout = Duration::from_secs_f64(class.deadline_s * give_up).min(remaining);
        let request = self.request(arrival, attempt_timeout, is_retry);
        let (limit, outcome_at_limit) = match leaves {
            true => (attempt_timeout.mul_f64(leave_at), Outcome::Left),
            false => (attempt_timeout, Outcome::GaveUp),
        };
        timeout(limit, self.pool.send(request, keep_alive)).await.unwrap_or(outcome_at_limit)
    }

    fn request(&self, arrival: &Arrival, attempt_timeout: Duration, is_retry: bool) -> Request<Full<Bytes>> {
        let class = &self.shared.plan.classes[usize::from(arrival.class)];
        let body = match class.effect {
            Effect::Safe => Bytes::new(),
            // The content is the same for all requests: only its length matters.
            Effect::Keyed | Effect::Unsafe => Bytes::from(vec![b'x'; arrival.bytes as usize]),
        };
        let method = if class.effect == Effect::Safe { Method::GET } else { Method::POST };
        let mut request = Request::builder()
            .method(method)
            .uri(format!("/api?k={:x}", arrival.key))
            .header("host", "origin.svc")
            .header("x-request-id", format!("{:x}", arrival.id))
            .header("x-class", &class.name)
            .header("x-deadline", format!("{:.3}", attempt_timeout.as_secs_f64().max(0.001)));
        if let Some(tenant) = self.shared.plan.tenants.get(usize::from(arrival.tenant)) {
            request = request.header("x-tenant", &tenant.name);
        }
        if class.effect == Effect::Keyed {
            let first_id = arrival.retry_of.unwrap_or(arrival.id);
            request = request.header("idempotency-key", format!("{first_id:032x}"));
        }
        if is_retry && self.shared.plan.clients.marks_retry {
            request = request.header("x-retry", "1");
        }
        request.body(Full::new(body)).expect("names are checked as header values")
    }
}
