//! A node's part that follows a registry, on sockets: how late it knows, what it costs, and how long it holds
//! its loop.

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

/// The longest time that is told apart, in microseconds.
const MINUTE_US: u64 = 60_000_000;

/// What is measured.
pub struct Plan {
    /// Servers in the registry.
    pub servers: usize,
    /// Changes a second.
    pub changes: f64,
    /// How long.
    pub time: Duration,
    /// Whether streams break, endpoints pause and history is compacted, at random.
    pub faults: bool,
}

fn key(n: usize) -> String {
    format!("/spurdrum/servers/s{n}")
}

fn value(n: usize, phase: &str) -> String {
    let (host, port) = (n / 50_000, n % 50_000 + 1024);
    format!(r#"{{"address":"127.0.1.{}:{port}","phase":"{phase}","started_ms":{}}}"#, host + 1, 1000 + n)
}

fn cpu() -> Duration {
    let used = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(used.tv_sec as u64, used.tv_nsec as u32)
}

/// Measures it, and prints a row.
pub fn measure(plan: &Plan) -> Result<(), String> {
    let cluster = Arc::new(StandIn::start(3, None)?);
    cluster.with(|registry| {
        let put = (0..plan.servers).map(|n| (key(n).into_bytes(), Some(value(n, "active").into_bytes()), 0));
        registry.commit(&put.collect::<Vec<_>>())
    });
    let commits: Arc<Mutex<BTreeMap<u64, Instant>>> = Arc::default();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| error.to_string())?;
    let wrong = |(key, why): (&str, &str)| format!("{key}: {why}");
    LocalSet::new().block_on(&runtime, async {
        let place = Cluster { endpoints: cluster.uris(), prefix: b"/spurdrum/servers/".to_vec(), credentials: None, tls: None };
        let settings = Settings { endpoints: 3, ..Settings::default() };
        let shell = Shell::new(Etcd::new(place).map_err(wrong)?, settings, 1).map_err(wrong)?;
        let mapper = RefCell::new(Mapper::new(Schema::default().compile().map_err(wrong)?));
        let reconciler = Rc::new(RefCell::new(
            Reconciler::new(reconciler::Settings::default(), 1, 1e12).map_err(wrong)?,
        ));
        let times = || Histogram::<u64>::new_with_max(MINUTE_US, 3).expect("three digits");
        let behind = Rc::new(RefCell::new(times()));
        let revision = Rc::new(Cell::new(0));
        let newcomers = Rc::new(Cell::new(0_u64));
        let started = Instant::now();
        let (merge, told, seen, new) =
            (Rc::clone(&reconciler), Rc::clone(&behind), Rc::clone(&revision), Rc::clone(&newcomers));
        let committed = Arc::clone(&commits);
        tokio::task::spawn_local(Rc::clone(&shell).follow(move |news| {
            let RegistryEvent::Change(change) = news else { return };
            let mapped = mapper.borrow_mut().map(&change);
            let update = reconciler::Event::Update {
                source: 0,
                complete: false,
                members: mapped.updated,
                gone: mapped.gone,
            };
            let mut actions = Vec::new();
            merge.borrow_mut().handle(started.elapsed(), update, &mut actions);
            for action in actions {
                if let reconciler::Action::Apply(members) = action {
                    // A server that was known and has another start, or is lost, would be a newcomer.
                    let lost = members.iter().filter(|m| m.phase == Phase::Left || m.up_since_ms > 1e11);
                    new.set(new.get() + lost.count() as u64);
                }
            }
            let mut commits = committed.lock().expect("not poisoned");
            let later = commits.split_off(&(change.revision + 1));
            for at in std::mem::replace(&mut *commits, later).into_values() {
                told.borrow_mut().saturating_record(at.elapsed().as_micros() as u64);
            }
            seen.set(change.revision);
        }));
        while revision.get() < cluster.with(|registry| registry.revision()) {
            sleep(Duration::from_millis(5)).await;
        }
        let loaded = started.elapsed();
        newcomers.set(0);
        let (stop, from) = (Arc::new(std::sync::atomic::AtomicBool::new(false)), cpu());
        let changer = change(Arc::clone(&cluster), Arc::clone(&commits), plan, Arc::clone(&stop));
        let mut stalls = times();
        let begun = Instant::now();
        let mut due = Instant::now();
        while begun.elapsed() < plan.time {
            due += Duration::from_millis(1);
            tokio::time::sleep_until(due.into()).await;
            stalls.saturating_record(due.elapsed().as_micros() as u64);
            due = due.max(Instant::now());
        }
        let used = (cpu() - from).as_secs_f64() / begun.elapsed().as_secs_f64();
        stop.store(true, std::sync::atomic::Ordering::Relaxed);
        changer.join().map_err(|_| "the changes failed".to_owned())?;
        let quiet = Instant::now();
        while !commits.lock().expect("not poisoned").is_empty() && quiet.elapsed() < Duration::from_secs(10) {
            sleep(Duration::from_millis(5)).await;
        }
        let listed = reconciler.borrow().list().count();
        let ms = |of: &Histogram<u64>, part: f64| of.value_at_quantile(part) as f64 / 1e3;
        let behind = behind.borrow();
        println!(
            "| {} | {:.0} | {} | {} | {:.1} | {:.1} | {:.0} | {:.1} % | {:.2} | {:.1} | {:.0} | {} of {} | {} |",
            plan.servers,
            plan.changes,
            if plan.faults { "yes" } else { "no" },
            behind.len(),
            ms(&behind, 0.5),
            ms(&behind, 0.99),
            ms(&behind, 1.0),
            used * 100.0,
            ms(&stalls, 0.99),
            ms(&stalls, 1.0),
            loaded.as_secs_f64() * 1e3,
            listed,
            plan.servers,
            newcomers.get()
        );
        println!("  {}", shell.status().3);
        Ok(())
    })
}

/// Changes servers one after the other, from a thread of its own, with the faults that are wanted.
fn change(
    cluster: Arc<StandIn>,
    commits: Arc<Mutex<BTreeMap<u64, Instant>>>,
    plan: &Plan,
    stop: Arc<std::sync::atomic::AtomicBool>,
) -> std::thread::JoinHandle<()> {
    let (servers, faults) = (plan.servers, plan.faults);
    let gap = Duration::from_secs_f64(1.0 / plan.changes.max(0.01));
    std::thread::spawn(move || {
        let mut random = 7_u64;
        let mut next = move |most: u64| {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            (random >> 33) % most
        };
        let (mut due, mut n) = (Instant::now(), 0);
        let mut paused: Option<(usize, Instant)> = None;
        while !stop.load(std::sync::atomic::Ordering::Relaxed) {
            due += gap;
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            n += 1;
            let (at, phase) = (n / 2 % servers, if n % 2 == 1 { "leaving" } else { "active" });
            // Noted under the lock that the node's side takes when it is told.
            let mut noted = commits.lock().expect("not poisoned");
            let revision = cluster.with(|registry| registry.put(&key(at), &value(at, phase)));
            noted.insert(revision, Instant::now());
            drop(noted);
            if let Some((endpoint, until)) = paused.filter(|(_, until)| Instant::now() >= *until) {
                debug_assert!(until <= Instant::now());
                cluster.pause(endpoint, false);
                paused = None;
            }
            if !faults {
                continue;
            }
            let a_second = (1.0 / gap.as_secs_f64()).max(1.0) as u64;
            match next(4 * a_second) {
                0 => (0..3).for_each(|endpoint| cluster.break_streams(endpoint)),
                1 => cluster.with(|registry| registry.compact(registry.revision())),
                2 if paused.is_none() => {
                    let endpoint = next(3) as usize;
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
