//! Tests of the engine against a small scripted server.

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

/// Returns the status and additional header lines of the response, given the id of a request and the number
/// of requests received so far. A status of 0 closes the connection without a response.
type Script = Arc<dyn Fn(&str, usize) -> (u16, &'static str) + Send + Sync>;

/// A server that responds according to its script. It stalls for two seconds from `stalls_at` on.
struct Server {
    address: SocketAddr,
    /// Headers of all requests received.
    received: Arc<Mutex<Vec<HashMap<String, String>>>>,
}

impl Server {
    fn start(script: Script, stalls_at: Option<Duration>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("listener bound");
        let address = listener.local_addr().expect("listener bound");
        let received: Arc<Mutex<Vec<HashMap<String, String>>>> = Arc::default();
        let (start, received_by_server) = (Instant::now(), Arc::clone(&received));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (script, received) = (Arc::clone(&script), Arc::clone(&received_by_server));
                thread::spawn(move || serve(stream, &script, &received, start, stalls_at));
            }
        });
        Self { address, received }
    }
}

fn serve(
    mut stream: TcpStream,
    script: &Script,
    received: &Mutex<Vec<HashMap<String, String>>>,
    start: Instant,
    stalls_at: Option<Duration>,
) {
    let mut reader = BufReader::new(stream.try_clone().expect("socket cloned"));
    loop {
        let mut headers = HashMap::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            match line.trim_end().split_once(": ") {
                Some((name, value)) => headers.insert(name.to_lowercase(), value.to_owned()),
                None if line.trim_end().is_empty() => break,
                None => None,
            };
        }
        let length = headers.get("content-length").map_or(0, |n| n.parse().expect("a length"));
        let mut body = vec![0; length];
        reader.read_exact(&mut body).expect("a body");
        if let Some(stall_start) = stalls_at {
            let end = stall_start + Duration::from_secs(2);
            if start.elapsed() >= stall_start && start.elapsed() < end {
                thread::sleep(end - start.elapsed());
            }
        }
        let id = headers.get("x-request-id").cloned().unwrap_or_default();
        let count = {
            let mut received = received.lock().expect("not poisoned");
            received.push(headers);
            received.len()
        };
        let (status, extra_headers) = script(&id, count);
        if status == 0 {
            return;
        }
        if write!(stream, "HTTP/1.1 {status} X\r\n{extra_headers}content-length: 2\r\n\r\nok").is_err() {
            return;
        }
    }
}

fn plan(phases_and_clients: &str) -> Plan {
    Plan::parse(&format!(
        "{phases_and_clients}\n[[class]]\nname = \"update\"\neffect = \"keyed\"\naim_s = 5\ndeadline_s = 20\nbytes = [4, 4]\n[[tenant]]\nname = \"inns\"\n"
    ))
    .expect("valid plan")
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

fn run_load(plan: &Plan, arrivals: Arrivals, options: &Options) -> Report {
    run(plan, arrivals, options, std::future::pending(), |_| {}).expect("run finished")
}

fn schedule(plan: &Plan) -> Arrivals {
    Box::new(Schedule::new(plan, 1).map(Ok))
}

fn trace(text: &'static str, plan: &Plan) -> Arrivals {
    Box::new(Reader::new(text.as_bytes(), plan, 1.0).expect("a trace"))
}

/// An open loop measures a stall of two seconds in the latencies of all requests that were due during it. A
/// closed loop hides the stall: only the requests in flight are delayed, and no others are sent.
#[test]
fn a_stall_delays_all_requests_due_in_an_open_loop_and_only_one_in_a_closed_loop() {
    let ok: Script = Arc::new(|_, _| (200, ""));
    let server = Server::start(Arc::clone(&ok), Some(Duration::from_secs(1)));
    let plan = plan("[[phase]]\nfor_s = 4\nshape = \"constant\"\nrate = 200\narrivals = \"even\"");
    let open = run_load(&plan, schedule(&plan), &options(&server));
    assert_eq!(open.all.counts.due, 799);
    let count_above = |report: &Report, ms: u64| {
        report
            .latency
            .iter_recorded()
            .filter(|v| v.value_iterated_to() > ms * 1000)
            .map(|v| v.count_at_value())
            .sum::<u64>()
    };
    // 400 requests are due evenly over the two seconds, and half of them wait for more than a second.
    assert!(count_above(&open, 1000) >= 180, "{}", count_above(&open, 1000));
    assert!(open.stall_latencies_are_spread());
    let page = spurdrum_load::html::page(&open);
    assert_eq!(page.matches("<svg").count(), 4);
    assert!(
        !page.contains("src=") && !page.contains("href=") && !page.contains("NaN"),
        "the page must be self-contained and have no NaN"
    );
    // The ticks of the latency axis are round numbers, whatever the latencies are.
    assert!(page.contains("\n500.0\n") && page.contains("\n1 s\n"), "{page}");
    let server = Server::start(ok, Some(Duration::from_secs(1)));
    let closed = Options { closed: Some((1, Duration::from_secs(4))), ..options(&server) };
    let closed = run_load(&plan, schedule(&plan), &closed);
    assert_eq!(count_above(&closed, 1500), 1, "only the request in flight is delayed");
}

trait StallLatencies {
    fn stall_latencies_are_spread(&self) -> bool;
}

impl StallLatencies for Report {
    /// Returns whether the latencies during a stall are spread evenly between zero and the length of the
    /// stall, as those of an even schedule are.
    fn stall_latencies_are_spread(&self) -> bool {
        let count_between = |from_us: u64, to_us: u64| {
            let is_between = |latency_us: u64| (from_us..to_us).contains(&latency_us);
            self.latency
                .iter_recorded()
                .filter(|v| is_between(v.value_iterated_to()))
                .map(|v| v.count_at_value())
                .sum::<u64>()
        };
        count_between(500_000, 1_000_000) >= 80 && count_between(1_000_000, 1_500_000) >= 80
    }
}

/// The expected counts, worked out by hand: request 1 is served at once; 2 is served by its retry; 3 is
/// refused twice; 4 fails and is not retried; of 5, only the retry is served, on a connection of its own. The
/// retry of 6 belongs to no request of the trace.
#[test]
fn a_trace_with_retries_is_counted_by_first_attempts() {
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
    let report = run_load(&plan, trace(TEXT, &plan), &options(&server));
    let counts = report.all.counts;
    assert_eq!((counts.due, counts.in_time, counts.refused, counts.failed, counts.lost), (5, 3, 1, 1, 0));
    assert_eq!((report.retries, report.orphans, report.tries), (4, 1, 9));
    assert!(report.all.latency_ms.max >= 299.0, "{:?}", report.all.latency_ms);
    let received = server.received.lock().expect("not poisoned");
    let key = |id: &str| {
        received
            .iter()
            .find(|headers| headers["x-request-id"] == id)
            .map(|headers| headers["idempotency-key"].clone())
    };
    assert_eq!(key("2"), key("c"), "a retry has the key of the first attempt");
}

#[test]
fn clients_of_a_plan_retry_and_honour_retry_after() {
    // First attempts have the ids of the schedule, which are short; those of retries are long.
    let script: Script =
        Arc::new(|id, _| if id.len() < 9 { (503, "retry-after: 0.05\r\n") } else { (200, "") });
    let server = Server::start(script, None);
    let plan = plan(
        "[[phase]]\nfor_s = 1\nshape = \"constant\"\nrate = 5\narrivals = \"even\"\n[clients]\nretries = 2\nmarks_retry = true",
    );
    let report = run_load(&plan, schedule(&plan), &options(&server));
    let counts = report.all.counts;
    assert_eq!((counts.due, counts.in_time, report.retries), (4, 4, 4));
    assert!(report.all.latency_ms.p50 >= 50.0, "the latency includes the wait: {:?}", report.all.latency_ms);
    let marked = server
        .received
        .lock()
        .expect("not poisoned")
        .iter()
        .filter(|headers| headers.contains_key("x-retry"))
        .count();
    assert_eq!(marked, 4);
}

/// Requests that the generator cannot send must not make the results look better: they lower the goodput, and
/// the report names the generator as the bottleneck.
#[test]
fn requests_that_cannot_be_sent_are_counted_and_reported() {
    let server = Server::start(Arc::new(|_, _| (200, "")), Some(Duration::ZERO));
    let plan = plan(
        "[[phase]]\nfor_s = 1\nshape = \"constant\"\nrate = 50\narrivals = \"even\"\n[clients]\nin_flight = 5",
    );
    let report = run_load(&plan, schedule(&plan), &options(&server));
    assert_eq!((report.all.counts.due, report.all.counts.not_sent), (49, 44));
    assert!(report.generator_bottleneck().is_some() && report.table().contains("BOTTLENECK"));
    assert!(report.all.counts.goodput() < 0.2);
}

#[test]
fn requests_beyond_the_connection_limit_count_as_unreached() {
    let server = Server::start(Arc::new(|_, _| (200, "")), Some(Duration::ZERO));
    let plan = plan(
        "[[phase]]\nfor_s = 1\nshape = \"constant\"\nrate = 50\narrivals = \"even\"\n[clients]\nconnections = 5",
    );
    let report = run_load(&plan, schedule(&plan), &options(&server));
    assert_eq!((report.all.counts.failed, report.unreached, report.connections), (44, 44, 5));
}

#[test]
fn a_stopped_run_reports_the_requests_so_far() {
    let server = Server::start(Arc::new(|_, _| (200, "")), None);
    let plan = plan("[[phase]]\nfor_s = 3600\nshape = \"constant\"\nrate = 100\narrivals = \"even\"");
    let received = Arc::clone(&server.received);
    let report = run(
        &plan,
        schedule(&plan),
        &options(&server),
        async move {
            while received.lock().expect("not poisoned").len() < 20 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        },
        |_| {},
    );
    let report = report.expect("run finished");
    assert!(report.all.counts.in_time >= 20 && report.seconds < 60.0);
}

/// Several event loops together count the same as one: no request is lost or counted twice.
#[test]
fn several_event_loops_count_the_same_as_one() {
    let server = Server::start(Arc::new(|id, _| (if id.ends_with('0') { 503 } else { 200 }, "")), None);
    let text = "[[phase]]\nfor_s = 1\nshape = \"constant\"\nrate = 400\narrivals = \"even\"";
    let plan = plan(text);
    let due_and_refused = |threads| {
        let report = run_load(&plan, schedule(&plan), &Options { threads, ..options(&server) });
        let c = report.all.counts;
        assert_eq!(c.in_time + c.late + c.refused + c.failed + c.lost + c.not_sent, c.due);
        (c.due, c.refused)
    };
    assert_eq!(due_and_refused(1), due_and_refused(3));
}
