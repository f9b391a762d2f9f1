//! The `registry` command: measures the part of a node that follows a registry, over real sockets: the delay
//! until it knows of a change, its CPU time, and how long it blocks its event loop.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rustix::time::{clock_gettime, ClockId};
use spurdrum_sources::reconciler::{self, Reconciler};
use spurdrum_sources::registry::etcd::{Cluster, Etcd};
use spurdrum_sources::registry::follower::Settings;
use spurdrum_sources::registry::schema::{Mapper, Schema};
use spurdrum_sources::registry::shell::{RegistryEvent, Shell};
use spurdrum_sources::Phase;
use spurdrum_standin::registry::etcd::Etcd as StandIn;
use tokio::task::LocalSet;
use tokio::time::sleep;

/// The upper bound of the histograms, in microseconds; longer times count as this.
const MAX_TIME_US: u64 = 60_000_000;

/// The settings of a measurement.
pub struct Plan {
    /// Servers in the registry.
    pub servers: usize,
    /// Changes per second.
    pub changes: f64,
    /// The duration of the measurement.
    pub time: Duration,
    /// Whether, at random, streams break, endpoints pause and the history is compacted.
    pub faults: bool,
}

fn key(index: usize) -> String {
    format!("/spurdrum/servers/s{index}")
}

fn value(index: usize, phase: &str) -> String {
    let (host, port) = (index / 50_000, index % 50_000 + 1024);
    format!(r#"{{"address":"127.0.1.{}:{port}","phase":"{phase}","started_ms":{}}}"#, host + 1, 1000 + index)
}

/// Returns the CPU time of this thread so far.
fn thread_cpu_time() -> Duration {
    let used = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(used.tv_sec as u64, used.tv_nsec as u32)
}

/// Runs one measurement and prints its row of the table.
pub fn measure(plan: &Plan) -> Result<(), String> {
    let cluster = Arc::new(StandIn::start(3, None)?);
    cluster.with(|registry| {
        let entries = (0..plan.servers)
            .map(|index| (key(index).into_bytes(), Some(value(index, "active").into_bytes()), 0));
        registry.commit(&entries.collect::<Vec<_>>())
    });
    let commits: Arc<Mutex<BTreeMap<u64, Instant>>> = Arc::default();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| error.to_string())?;
    let settings_error = |(key, message): (&str, &str)| format!("{key}: {message}");
    LocalSet::new().block_on(&runtime, async {
        let stand_in = Cluster { endpoints: cluster.uris(), prefix: b"/spurdrum/servers/".to_vec(), credentials: None, tls: None };
        let settings = Settings { endpoints: 3, ..Settings::default() };
        let shell = Shell::new(Etcd::new(stand_in).map_err(settings_error)?, settings, 1).map_err(settings_error)?;
        let mapper = RefCell::new(Mapper::new(Schema::default().compile().map_err(settings_error)?));
        let reconciler = Rc::new(RefCell::new(
            Reconciler::new(reconciler::Settings::default(), 1, 1e12).map_err(settings_error)?,
        ));
        let new_histogram = || Histogram::<u64>::new_with_max(MAX_TIME_US, 3).expect("three significant digits are valid");
        let delays = Rc::new(RefCell::new(new_histogram()));
        let revision = Rc::new(Cell::new(0));
        let newcomers = Rc::new(Cell::new(0_u64));
        let started = Instant::now();
        let (follower_reconciler, follower_delays, follower_revision, follower_newcomers) =
            (Rc::clone(&reconciler), Rc::clone(&delays), Rc::clone(&revision), Rc::clone(&newcomers));
        let committed = Arc::clone(&commits);
        tokio::task::spawn_local(Rc::clone(&shell).follow(move |event| {
            let RegistryEvent::Change(change) = event else { return };
            let mapped = mapper.borrow_mut().map(&change);
            let update = reconciler::Event::Update {
                source: 0,
                complete: false,
                members: mapped.updated,
                gone: mapped.gone,
            };
            let mut actions = Vec::new();
            follower_reconciler.borrow_mut().handle(started.elapsed(), update, &mut actions);
            for action in actions {
                if let reconciler::Action::Apply(members) = action {
                    // A known server that is lost or gets another start time would count as a newcomer.
                    let lost = members.iter().filter(|member| member.phase == Phase::Left || member.up_since_ms > 1e11);
                    follower_newcomers.set(follower_newcomers.get() + lost.count() as u64);
                }
            }
            let mut commits = committed.lock().expect("not poisoned");
            let later = commits.split_off(&(change.revision + 1));
            for committed_at in std::mem::replace(&mut *commits, later).into_values() {
                follower_delays.borrow_mut().saturating_record(committed_at.elapsed().as_micros() as u64);
            }
            follower_revision.set(change.revision);
        }));
        while revision.get() < cluster.with(|registry| registry.revision()) {
            sleep(Duration::from_millis(5)).await;
        }
        let load_time = started.elapsed();
        newcomers.set(0);
        let (stop, cpu_before) = (Arc::new(std::sync::atomic::AtomicBool::new(false)), thread_cpu_time());
        let writer = spawn_writer(Arc::clone(&cluster), Arc::clone(&commits), plan, Arc::clone(&stop));
        let mut stalls = new_histogram();
        let measured_since = Instant::now();
        let mut due = Instant::now();
        while measured_since.elapsed() < plan.time {
            due += Duration::from_millis(1);
            tokio::time::sleep_until(due.into()).await;
            stalls.saturating_record(due.elapsed().as_micros() as u64);
            due = due.max(Instant::now());
        }
        let cpu_share = (thread_cpu_time() - cpu_before).as_secs_f64() / measured_since.elapsed().as_secs_f64();
        stop.store(true, std::sync::atomic::Ordering::Relaxed);
        writer.join().map_err(|_| "the thread that commits changes panicked".to_owned())?;
        let writes_ended = Instant::now();
        while !commits.lock().expect("not poisoned").is_empty() && writes_ended.elapsed() < Duration::from_secs(10) {
            sleep(Duration::from_millis(5)).await;
        }
        let listed = reconciler.borrow().list().count();
        let ms = |histogram: &Histogram<u64>, quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1e3;
        let delays = delays.borrow();
        println!(
            "| {} | {:.0} | {} | {} | {:.1} | {:.1} | {:.0} | {:.1} % | {:.2} | {:.1} | {:.0} | {} of {} | {} |",
            plan.servers,
            plan.changes,
            if plan.faults { "yes" } else { "no" },
            delays.len(),
            ms(&delays, 0.5),
            ms(&delays, 0.99),
            ms(&delays, 1.0),
            cpu_share * 100.0,
            ms(&stalls, 0.99),
            ms(&stalls, 1.0),
            load_time.as_secs_f64() * 1e3,
            listed,
            plan.servers,
            newcomers.get()
        );
        println!("  {}", shell.status().3);
        Ok(())
    })
}

/// Starts a thread that commits changes to one server after another, and injects the faults that the plan
/// asks for.
fn spawn_writer(
    cluster: Arc<StandIn>,
    commits: Arc<Mutex<BTreeMap<u64, Instant>>>,
    plan: &Plan,
    stop: Arc<std::sync::atomic::AtomicBool>,
) -> std::thread::JoinHandle<()> {
    let (servers, faults) = (plan.servers, plan.faults);
    let interval = Duration::from_secs_f64(1.0 / plan.changes.max(0.01));
    std::thread::spawn(move || {
        let mut random = 7_u64;
        let mut random_below = move |max: u64| {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            (random >> 33) % max
        };
        let (mut due, mut count) = (Instant::now(), 0);
        let mut paused: Option<(usize, Instant)> = None;
        while !stop.load(std::sync::atomic::Ordering::Relaxed) {
            due += interval;
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            count += 1;
            let (server, phase) = (count / 2 % servers, if count % 2 == 1 { "leaving" } else { "active" });
            // The lock is held from the commit until its time is recorded: the follower takes it too when it
            // is notified, so it can't look for the commit before it is recorded.
            let mut pending = commits.lock().expect("not poisoned");
            let revision = cluster.with(|registry| registry.put(&key(server), &value(server, phase)));
            pending.insert(revision, Instant::now());
            drop(pending);
            if let Some((endpoint, until)) = paused.filter(|(_, until)| Instant::now() >= *until) {
                debug_assert!(until <= Instant::now());
                cluster.pause(endpoint, false);
                paused = None;
            }
            if !faults {
                continue;
            }
            let changes_per_s = (1.0 / interval.as_secs_f64()).max(1.0) as u64;
            match random_below(4 * changes_per_s) {
                0 => (0..3).for_each(|endpoint| cluster.break_streams(endpoint)),
                1 => cluster.with(|registry| registry.compact(registry.revision())),
                2 if paused.is_none() => {
                    let endpoint = random_below(3) as usize;
                    cluster.pause(endpoint, true);
                    paused = Some((endpoint, Instant::now() + Duration::from_millis(400)));
                }
                _ => {}
            }
        }
        if let Some((endpoint, _)) = paused {
            cluster.pause(endpoint, false);
        }
    })
}
