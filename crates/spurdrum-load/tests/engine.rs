//! The engine against a small scripted server.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use spurdrum_load::plan::Plan;
use spurdrum_load::report::Report;
use spurdrum_load::run::{run, Arrivals, Options};
use spurdrum_load::schedule::Schedule;
use spurdrum_load::trace::Reader;

/// What a server says to a request: by its id and how many have come.
type Script = Arc<dyn Fn(&str, usize) -> (u16, &'static str) + Send + Sync>;

/// A server that answers by its script; it says nothing for two seconds from the moment `stalls_at` on.
struct Server {
    address: SocketAddr,
    /// Headers of all requests.
    seen: Arc<Mutex<Vec<HashMap<String, String>>>>,
}

impl Server {
    fn start(script: Script, stalls_at: Option<Duration>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
        let address = listener.local_addr().expect("bound");
        let seen: Arc<Mutex<Vec<HashMap<String, String>>>> = Arc::default();
        let (start, seen_by) = (Instant::now(), Arc::clone(&seen));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (script, seen) = (Arc::clone(&script), Arc::clone(&seen_by));
                thread::spawn(move || serve(stream, &script, &seen, start, stalls_at));
            }
        });
        Self { address, seen }
    }
}

fn serve(
    mut stream: TcpStream,
    script: &Script,
    seen: &Mutex<Vec<HashMap<String, String>>>,
    start: Instant,
    stalls_at: Option<Duration>,
) {
    let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
    loop {
        let mut fields = HashMap::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            match line.trim_end().split_once(": ") {
                Some((name, value)) => fields.insert(name.to_lowercase(), value.to_owned()),
                None if line.trim_end().is_empty() => break,
                None => None,
            };
        }
        let length = fields.get("content-length").map_or(0, |n| n.parse().expect("a length"));
        let mut body = vec![0; length];
        reader.read_exact(&mut body).expect("a body");
        if let Some(at) = stalls_at {
            let end = at + Duration::from_secs(2);
            if start.elapsed() >= at && start.elapsed() < end {
                thread::sleep(end - start.elapsed());
            }
        }
        let id = fields.get("x-request-id").cloned().unwrap_or_default();
        let nth = {
            let mut seen = seen.lock().expect("not poisoned");
            seen.push(fields);
            seen.len()
        };
        let (status, more) = script(&id, nth);
        if status == 0 {
            return;
        }
        if write!(stream, "HTTP/1.1 {status} X\r\n{more}content-length: 2\r\n\r\nok").is_err() {
            return;
        }
    }
}

fn plan(more: &str) -> Plan {
    Plan::parse(&format!(
        "{more}\n[[class]]\nname = \"update\"\neffect = \"keyed\"\naim_s = 5\ndeadline_s = 20\nbytes = [4, 4]\n[[tenant]]\nname = \"inns\"\n"
    ))
    .expect("sound")
}

fn options(server: &Server) -> Options {
    Options {
        target: server.address,
        seed: 1,
        closed: None,
        max_duration: Duration::from_secs(60),
        threads: 1,
    }
}

fn play(plan: &Plan, arrivals: Arrivals, options: &Options) -> Report {
    run(plan, arrivals, options, std::future::pending(), |_| {}).expect("played")
}

fn schedule(plan: &Plan) -> Arrivals {
    Box::new(Schedule::new(plan, 1).map(Ok))
}

fn trace(text: &'static str, plan: &Plan) -> Arrivals {
    Box::new(Reader::new(text.as_bytes(), plan, 1.0).expect("a trace"))
}

/// What a closed loop hides: a stall of two seconds holds up the few that are out, and nobody else is asked.
#[test]
fn a_stall_is_seen_by_all_that_were_due_in_it_and_by_one_alone_in_a_closed_loop() {
    let ok: Script = Arc::new(|_, _| (200, ""));
    let server = Server::start(Arc::clone(&ok), Some(Duration::from_secs(1)));
    let plan = plan("[[phase]]\nfor_s = 4\nshape = \"constant\"\nrate = 200\narrivals = \"even\"");
    let open = play(&plan, schedule(&plan), &options(&server));
    assert_eq!(open.all.counts.due, 799);
    let above = |report: &Report, ms: u64| {
        report
            .latency
            .iter_recorded()
            .filter(|v| v.value_iterated_to() > ms * 1000)
            .map(|v| v.count_at_value())
            .sum::<u64>()
    };
    // Due evenly over the two seconds: half of those 400 wait for more than a second.
    assert!(above(&open, 1000) >= 180, "{}", above(&open, 1000));
    assert!(open.latency_above_is_spread());
    let page = spurdrum_load::html::page(&open);
    assert_eq!(page.matches("<svg").count(), 4);
    assert!(
        !page.contains("src=") && !page.contains("href=") && !page.contains("NaN"),
        "it needs nothing else"
    );
    // Ticks of the latencies are round, whatever the latencies are.
    assert!(page.contains("\n500.0\n") && page.contains("\n1 s\n"), "{page}");
    let server = Server::start(ok, Some(Duration::from_secs(1)));
    let closed = Options { closed: Some((1, Duration::from_secs(4))), ..options(&server) };
    let closed = play(&plan, schedule(&plan), &closed);
    assert_eq!(above(&closed, 1500), 1, "the one that was out");
}

trait Spread {
    fn latency_above_is_spread(&self) -> bool;
}

impl Spread for Report {
    /// Whether latencies under a stall fall evenly from its length to nothing, as those of an even schedule do.
    fn latency_above_is_spread(&self) -> bool {
        let share = |from: u64, to: u64| {
            let within = |v: u64| (from..to).contains(&v);
            self.latency
                .iter_recorded()
                .filter(|v| within(v.value_iterated_to()))
                .map(|v| v.count_at_value())
                .sum::<u64>()
        };
        share(500_000, 1_000_000) >= 80 && share(1_000_000, 1_500_000) >= 80
    }
}

/// Counted by hand: 1 is served at once; 2 by its retry; 3 is refused twice; 4 fails and is not tried again; of 5, the
/// retry alone is served, by a connection of its own. 6 repeats nothing that was seen.
#[test]
fn a_trace_with_retries_counts_by_first_tries() {
    const TEXT: &str = "spurdrum-trace 1\n0\t1\t-\tupdate\tinns\t7\t4\n1000\t2\t-\tupdate\tinns\t7\t4\n2000\t3\t-\tupdate\tinns\t7\t4\n\
        3000\t4\t-\tupdate\tinns\t7\t4\n4000\t5\t-\tupdate\tinns\t7\t4\n300000\t12\t2\tupdate\tinns\t7\t4\n310000\t13\t3\tupdate\tinns\t7\t4\n\
        320000\t15\t5\tupdate\tinns\t7\t4\n330000\t16\t6\tupdate\tinns\t7\t4\n";
    let script: Script = Arc::new(|id, _| match id {
        "2" | "3" | "d" => (503, "retry-after: 0.1\r\n"),
        "4" => (500, ""),
        "5" => (0, ""),
        _ => (200, ""),
    });
    let server = Server::start(script, None);
    let plan = plan("");
    let report = play(&plan, trace(TEXT, &plan), &options(&server));
    let c = report.all.counts;
    assert_eq!((c.due, c.in_time, c.refused, c.failed, c.lost), (5, 3, 1, 1, 0));
    assert_eq!((report.retries, report.orphans, report.tries), (4, 1, 9));
    assert!(report.all.latency_ms.max >= 299.0, "{:?}", report.all.latency_ms);
    let seen = server.seen.lock().expect("not poisoned");
    let key = |id: &str| seen.iter().find(|f| f["x-request-id"] == id).map(|f| f["idempotency-key"].clone());
    assert_eq!(key("2"), key("c"), "a retry has its first try's key");
}

#[test]
fn clients_of_a_plan_try_again_and_honour_retry_after() {
    // First tries have the schedule's numbers, which are short.
    let script: Script =
        Arc::new(|id, _| if id.len() < 9 { (503, "retry-after: 0.05\r\n") } else { (200, "") });
    let server = Server::start(script, None);
    let plan = plan(
        "[[phase]]\nfor_s = 1\nshape = \"constant\"\nrate = 5\narrivals = \"even\"\n[clients]\nretries = 2\nmarks_retry = true",
    );
    let report = play(&plan, schedule(&plan), &options(&server));
    let c = report.all.counts;
    assert_eq!((c.due, c.in_time, report.retries), (4, 4, 4));
    assert!(report.all.latency_ms.p50 >= 50.0, "the wait counts: {:?}", report.all.latency_ms);
    let marked =
        server.seen.lock().expect("not poisoned").iter().filter(|f| f.contains_key("x-retry")).count();
    assert_eq!(marked, 4);
}

/// A generator that is too small says so, and does not flatter.
#[test]
fn what_cannot_be_sent_is_counted_and_told() {
    let server = Server::start(Arc::new(|_, _| (200, "")), Some(Duration::ZERO));
    let plan = plan(
        "[[phase]]\nfor_s = 1\nshape = \"constant\"\nrate = 50\narrivals = \"even\"\n[clients]\nin_flight = 5",
    );
    let report = play(&plan, schedule(&plan), &options(&server));
    assert_eq!((report.all.counts.due, report.all.counts.not_sent), (49, 44));
    assert!(report.generator_bottleneck().is_some() && report.table().contains("BOTTLENECK"));
    assert!(report.all.counts.goodput() < 0.2);
}

#[test]
fn a_full_share_of_connections_is_a_client_that_reaches_nobody() {
    let server = Server::start(Arc::new(|_, _| (200, "")), Some(Duration::ZERO));
    let plan = plan(
        "[[phase]]\nfor_s = 1\nshape = \"constant\"\nrate = 50\narrivals = \"even\"\n[clients]\nconnections = 5",
    );
    let report = play(&plan, schedule(&plan), &options(&server));
    assert_eq!((report.all.counts.failed, report.unreached, report.connections), (44, 44, 5));
}

#[test]
fn a_run_that_is_stopped_reports_what_it_has() {
    let server = Server::start(Arc::new(|_, _| (200, "")), None);
    let plan = plan("[[phase]]\nfor_s = 3600\nshape = \"constant\"\nrate = 100\narrivals = \"even\"");
    let seen = Arc::clone(&server.seen);
    let report = run(
        &plan,
        schedule(&plan),
        &options(&server),
        async move {
            while seen.lock().expect("not poisoned").len() < 20 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        },
        |_| {},
    );
    let report = report.expect("played");
    assert!(report.all.counts.in_time >= 20 && report.seconds < 60.0);
}

/// What one event loop counts, several count together: nothing is lost or counted twice between them.
#[test]
fn several_event_loops_count_as_one() {
    let server = Server::start(Arc::new(|id, _| (if id.ends_with('0') { 503 } else { 200 }, "")), None);
    let text = "[[phase]]\nfor_s = 1\nshape = \"constant\"\nrate = 400\narrivals = \"even\"";
    let plan = plan(text);
    let counts = |threads| {
        let report = play(&plan, schedule(&plan), &Options { threads, ..options(&server) });
        let c = report.all.counts;
        assert_eq!(c.in_time + c.late + c.refused + c.failed + c.lost + c.not_sent, c.due);
        (c.due, c.refused)
    };
    assert_eq!(counts(1), counts(3));
}
