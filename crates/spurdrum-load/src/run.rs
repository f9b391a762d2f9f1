//! The engine: a thread that keeps the schedule's time, and an event loop that sends.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::{interval, sleep, timeout, MissedTickBehavior};

use crate::client::{again, Outcome};
use crate::firsts::Firsts;
use crate::plan::{Effect, Plan};
use crate::report::{Recorder, Report};
use crate::transport::Pool;
use crate::Arrival;

/// Requests that are due and that the event loop has not taken yet.
const WAITING_MOST: usize = 65_536;
/// How often requests are settled.
const SETTLE: Duration = Duration::from_millis(100);
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
    pub most: Duration,
}

/// The requests that are due, in their order. An error ends the run.
pub type Arrivals = Box<dyn Iterator<Item = Result<Arrival, String>> + Send>;

struct Context {
    plan: Plan,
    pool: Pool,
    start: Instant,
    recorder: RefCell<Recorder>,
    firsts: RefCell<Firsts>,
    rng: RefCell<fastrand::Rng>,
    in_flight: Cell<usize>,
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
    let stopped = Arc::new(AtomicBool::new(false));
    let (due, mut dues) = mpsc::channel(WAITING_MOST);
    let start = Instant::now();
    let pacer = match options.closed {
        Some(_) => None,
        None => {
            let (stopped, most) = (Arc::clone(&stopped), options.most);
            Some(std::thread::spawn(move || pace(start, arrivals, &due, &stopped, most)))
        }
    };
    let context = Rc::new(Context {
        plan: plan.clone(),
        pool: Pool::new(options.target, plan.clients.connections),
        start,
        recorder: RefCell::new(Recorder::new(plan)),
        firsts: RefCell::default(),
        rng: RefCell::new(fastrand::Rng::with_seed(options.seed ^ 0x5bd1_e995)),
        in_flight: Cell::new(0),
        // Retries get numbers of their own, far from any schedule's.
        next_id: Cell::new(1 << 62),
    });
    let longest = plan.classes.iter().map(|class| class.deadline_s).fold(0.0, f64::max);
    LocalSet::new().block_on(&runtime, async {
        let mut stop = pin!(stop);
        let mut settle = interval(SETTLE);
        settle.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let workers = options.closed.map(|(clients, time)| {
            let run = (0..clients).map(|_| tokio::task::spawn_local(closed(Rc::clone(&context), time)));
            run.collect::<Vec<_>>()
        });
        let mut second = 0;
        let mut tick = |context: &Context| {
            let now = context.now_us();
            context.settle(now);
            if now / 1_000_000 > second {
                second = now / 1_000_000;
                live(&context.recorder.borrow().line(second, context.in_flight.get()));
            }
        };
        loop {
            let over = workers.as_ref().is_some_and(|all| all.iter().all(|worker| worker.is_finished()));
            tokio::select! {
                biased;
                () = &mut stop => break,
                _ = settle.tick() => tick(&context),
                next = dues.recv(), if workers.is_none() => match next {
                    Some(arrival) => context.take(arrival),
                    None => break,
                },
                () = sleep(SETTLE), if over => break,
            }
            if start.elapsed() > options.most || over {
                break;
            }
        }
        stopped.store(true, Ordering::Relaxed);
        dues.close();
        // Those that are under way have until their deadline.
        let end = Instant::now() + Duration::from_secs_f64(longest) + SETTLE;
        while context.in_flight.get() > 0 && Instant::now() < end {
            settle.tick().await;
            tick(&context);
        }
        context.settle(u64::MAX);
    });
    let (paced, error) =
        pacer.map_or((0, None), |pacer| pacer.join().unwrap_or((0, Some("the pacer died".into()))));
    if let Some(why) = error {
        return Err(why);
    }
    let recorder = context.recorder.borrow();
    let firsts = context.firsts.borrow();
    Ok(recorder.report(start.elapsed(), context.pool.made.get(), firsts.orphans(), paced))
}

/// Gives out requests when they are due. Sleeps in a thread of its own: an event loop that is busy, or whose timers are
/// coarse, would be late for all.
fn pace(
    start: Instant,
    arrivals: Arrivals,
    due: &mpsc::Sender<Arrival>,
    stopped: &AtomicBool,
    most: Duration,
) -> (u64, Option<String>) {
    let mut given = 0;
    for arrival in arrivals {
        let arrival = match arrival {
            Ok(arrival) => arrival,
            Err(why) => return (given, Some(why)),
        };
        let at = Duration::from_micros(arrival.due_us);
        if at > most {
            break;
        }
        loop {
            let left = at.saturating_sub(start.elapsed());
            if left.is_zero() {
                break;
            }
            std::thread::sleep(left.min(LOOK));
            if stopped.load(Ordering::Relaxed) {
                return (given, None);
            }
        }
        // It waits where the event loop is behind: that shows as lag, and nothing is left out.
        if due.blocking_send(arrival).is_err() {
            break;
        }
        given += 1;
    }
    (given, None)
}

/// A client that asks again when it has been answered.
async fn closed(context: Rc<Context>, time: Duration) {
    while context.start.elapsed() < time {
        let id = context.new_id();
        let (class, tenant) = {
            let mut rng = context.rng.borrow_mut();
            let tenants = context.plan.tenants.len().max(1);
            (rng.usize(..context.plan.classes.len()), rng.usize(..tenants))
        };
        let bytes = context.plan.classes[class].bytes.0;
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
        context.in_flight.set(context.in_flight.get() + 1);
        Rc::clone(&context).one(arrival).await;
    }
}

impl Context {
    fn now_us(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    fn new_id(&self) -> u64 {
        self.next_id.set(self.next_id.get() + 1);
        self.next_id.get()
    }

    fn settle(&self, now_us: u64) {
        let mut recorder = self.recorder.borrow_mut();
        self.firsts.borrow_mut().settle(now_us, |arrival, outcome| recorder.settled(arrival, outcome));
    }

    fn begin(&self, arrival: &Arrival) {
        let deadline = self.plan.classes[usize::from(arrival.class)].deadline_s;
        self.firsts.borrow_mut().begin(*arrival, (deadline * 1e6) as u64);
        self.recorder.borrow_mut().due(arrival);
    }

    fn take(self: &Rc<Self>, arrival: Arrival) {
        self.begin(&arrival);
        if self.in_flight.get() >= self.plan.clients.in_flight {
            self.end(&arrival, Outcome::NotSent, false);
            return;
        }
        // Counted before its task first runs: the end of a run waits for all that are under way.
        self.in_flight.set(self.in_flight.get() + 1);
        tokio::task::spawn_local(Rc::clone(self).one(arrival));
    }

    fn end(&self, arrival: &Arrival, outcome: Outcome, more: bool) {
        let at = self.now_us();
        self.recorder.borrow_mut().tried(outcome);
        self.firsts.borrow_mut().end(arrival, outcome, at, more);
    }

    /// One request, from its first try to the last. It is counted as under way by now.
    async fn one(self: Rc<Self>, first: Arrival) {
        let class = &self.plan.classes[usize::from(first.class)];
        let deadline =
            self.start + Duration::from_micros(first.due_us) + Duration::from_secs_f64(class.deadline_s);
        let (mut arrival, mut due, mut tries) = (first, Duration::from_micros(first.due_us), 0);
        loop {
            tries += 1;
            let lag = self.start.elapsed().saturating_sub(due);
            self.recorder.borrow_mut().sent(lag);
            let outcome = self.attempt(&arrival, deadline, tries > 1 || first.first.is_some()).await;
            let left = deadline.saturating_duration_since(Instant::now());
            let draw = self.rng.borrow_mut().f64();
            let wait = again(&self.plan.clients, outcome, tries, left, draw);
            self.end(&arrival, outcome, wait.is_some());
            let Some(wait) = wait else { break };
            due = self.start.elapsed() + wait;
            if !wait.is_zero() {
                sleep(wait).await;
            }
            arrival = Arrival { id: self.new_id(), first: Some(first.first.unwrap_or(first.id)), ..first };
            self.recorder.borrow_mut().retried();
        }
        self.in_flight.set(self.in_flight.get() - 1);
    }

    /// One try, for as long as its client waits.
    async fn attempt(&self, arrival: &Arrival, deadline: Instant, repeat: bool) -> Outcome {
        let clients = &self.plan.clients;
        let class = &self.plan.classes[usize::from(arrival.class)];
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
        timeout(limit, self.pool.ask(request, keep)).await.unwrap_or(at_limit)
    }

    fn request(&self, arrival: &Arrival, patience: Duration, repeat: bool) -> Request<Full<Bytes>> {
        let class = &self.plan.classes[usize::from(arrival.class)];
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
        if let Some(tenant) = self.plan.tenants.get(usize::from(arrival.tenant)) {
            request = request.header("x-tenant", &tenant.name);
        }
        if class.effect == Effect::Keyed {
            let first = arrival.first.unwrap_or(arrival.id);
            request = request.header("idempotency-key", format!("{first:032x}"));
        }
        if repeat && self.plan.clients.marks_retry {
            request = request.header("x-retry", "1");
        }
        request.body(Full::new(body)).expect("names are checked as header values")
    }
}
