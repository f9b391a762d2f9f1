//! Starts with an outdated list while discovery is slow: it serves each call, and takes seconds for it. The
//! failure behind these tests: a process that had waited 1.5 s for the answer to its first call served with
//! the list of its earlier run, however old that was, and sent requests to servers that had left long before.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;

use super::drains::{record_arrivals, spawn_client};
use super::ops::ready;
use super::*;

/// Nine in ten of the processes that start again must be ready within this time.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// How long after the start of serving requests are still watched.
const WATCHED: Duration = Duration::from_millis(500);
const OLD_REVISION: u64 = 1;
const REVISION: u64 = 9;

/// How a discovery stand-in answers.
#[derive(Clone, Copy)]
enum Answers {
    /// Each call is answered after this many milliseconds.
    After(u64),
    /// The first call is turned away after so many milliseconds, each other is answered after the second number.
    TurnsFirstAwayAfter(u64, u64),
    /// No connection is accepted.
    Unreachable,
    /// Calls are read and never answered.
    Silent,
}

/// One start of a process.
struct Start {
    name: &'static str,
    nodes: usize,
    /// `subscribe` where discovery is asked, `automatic` where an agent is pushed the list.
    mode: &'static str,
    answers: Answers,
    /// After how many milliseconds SIGHUP moves the process to another discovery that answers alike.
    reload_after: Option<u64>,
    /// After how many milliseconds a second process of the node is started, which replaces the first.
    replace_after: Option<u64>,
}

impl Start {
    const fn new(name: &'static str, answers: Answers) -> Self {
        Self { name, nodes: 1, mode: "subscribe", answers, reload_after: None, replace_after: None }
    }
}

/// Starts a discovery stand-in whose list lacks the removed server, and returns its address.
fn start_discovery(answers: Answers, changes: &Value, whole: &Value) -> SocketAddr {
    if let Answers::Unreachable = answers {
        return own_address();
    }
    let (server, changes, whole) = (Server::start(), changes.to_string(), whole.to_string());
    let address = server.address;
    thread::spawn(move || {
        let mut unanswered = Vec::new();
        let mut calls = 0;
        while let Some(seen) = server.next() {
            let Seen::Request(call) = seen else { continue };
            let waits_for_news = call.request.first.contains(&format!("since={REVISION}&"));
            let reads_all = !call.request.first.contains("since=");
            calls += 1;
            let (status, after) = match answers {
                Answers::TurnsFirstAwayAfter(after, _) if calls == 1 => ("503 Late", after),
                Answers::After(after) | Answers::TurnsFirstAwayAfter(_, after) if !waits_for_news => {
                    (OK, after)
                }
                _ => {
                    unanswered.push(call);
                    continue;
                }
            };
            let list = if reads_all { whole.clone() } else { changes.clone() };
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(after));
                let mut call = call;
                let head = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n", list.len());
                call.write(format!("{head}{list}").as_bytes());
                call.await_end();
            });
        }
    });
    address
}

/// What a start led to.
struct Outcome {
    ready_after: Duration,
    served: usize,
    sent_to_removed: usize,
}

/// Starts a process whose list still names the removed server `s0`, under load, and waits until it has served for
/// a while.
fn play(start: &Start) -> Outcome {
    let servers = [Server::start(), Server::start()];
    let [removed, staying] = servers.each_ref().map(|server| server.address);
    let changes = list(REVISION, false, &[member("s0", removed, "left")]);
    let whole = list(REVISION, true, &[member("s1", staying, "active")]);
    let mut config = config(&[]);
    config["known"] =
        list(OLD_REVISION, true, &[member("s0", removed, "active"), member("s1", staying, "active")]);
    config["settings"]["n_instances"] = json!(start.nodes);
    config["settings"]["me"] = json!(start.nodes / 2);
    config["settings"]["discovery"] = json!(start.mode);
    config["discovery"] = json!(start_discovery(start.answers, &changes, &whole).to_string());
    let arrivals = record_arrivals(servers.into());
    config["ops"] = json!(own_address().to_string());
    let started_at = Instant::now();
    let mut node = Node::start_unconfirmed(&config, None);
    let stop = Arc::new(AtomicBool::new(false));
    let client = spawn_client(0, node.address, &stop);
    if let Some(after) = start.reload_after {
        thread::sleep(Duration::from_millis(after).saturating_sub(started_at.elapsed()));
        config["discovery"] = json!(start_discovery(start.answers, &changes, &whole).to_string());
        node.reload(&config.to_string());
    }
    if let Some(after) = start.replace_after {
        thread::sleep(Duration::from_millis(after).saturating_sub(started_at.elapsed()));
        let admin_address = own_address();
        let incoming = node.start_second_process(&config, admin_address);
        ready(admin_address);
        node.terminate();
        node = incoming;
    }
    wait_until("the node does not become healthy", || node.health().status() == 200);
    let ready_after = started_at.elapsed();
    thread::sleep(WATCHED);
    stop.store(true, Ordering::Relaxed);
    let served = client.join().expect("a client");
    drop(node);
    let sent_to_removed = arrivals.lock().expect("no panic").iter().filter(|a| a.server == 0).count();
    Outcome { ready_after, served, sent_to_removed }
}

/// Plays these starts side by side and returns what they led to, in their order.
fn play_all(starts: &[Start]) -> Vec<Outcome> {
    thread::scope(|scope| {
        let plays: Vec<_> = starts.iter().map(|start| scope.spawn(|| play(start))).collect();
        plays.into_iter().map(|play| play.join().expect("played")).collect()
    })
}

/// However long discovery takes for its answer, whether it is asked or pushed, and wherever SIGHUP moves it
/// meanwhile: nothing is sent before, and the process is ready in time.
#[test]
fn a_process_that_starts_while_discovery_is_slow_sends_nothing_to_removed_servers() {
    let slow = Answers::After(2_400);
    let starts = [
        Start::new("2.4 s a call", slow),
        Start::new("3 s a call", Answers::After(3_000)),
        Start::new("4.5 s a call", Answers::After(4_500)),
        Start { nodes: 300, ..Start::new("one of 300", slow) },
        Start { nodes: 300, ..Start::new("one of 300, 4.5 s a call", Answers::After(4_500)) },
        Start { mode: "automatic", ..Start::new("pushed", slow) },
        Start { mode: "automatic", nodes: 300, ..Start::new("pushed, one of 300", Answers::After(4_000)) },
        Start { reload_after: Some(1_000), ..Start::new("moved after 1 s", slow) },
        Start { reload_after: Some(2_200), ..Start::new("moved after 2.2 s", Answers::After(3_000)) },
        Start { mode: "automatic", reload_after: Some(1_000), ..Start::new("pushed and moved", slow) },
        Start { replace_after: Some(800), ..Start::new("replaced after 0.8 s", slow) },
        Start::new("turned away after 3 s", Answers::TurnsFirstAwayAfter(3_000, 2_400)),
    ];
    let outcomes = play_all(&starts);
    let broken: Vec<_> = starts
        .iter()
        .zip(&outcomes)
        .filter(|(_, outcome)| {
            outcome.sent_to_removed > 0 || outcome.served == 0 || outcome.ready_after > READY_WITHIN
        })
        .map(|(start, outcome)| {
            (start.name, outcome.ready_after, outcome.served, format!("{} late", outcome.sent_to_removed))
        })
        .collect();
    assert!(broken.is_empty(), "{broken:?}");
}

/// The list of the earlier run is for a discovery that cannot be reached, for which a process does not wait
/// longer than before, and for one that stays silent.
#[test]
fn a_process_that_starts_without_discovery_serves_by_the_list_of_its_earlier_run() {
    let starts = [
        Start::new("unreachable", Answers::Unreachable),
        Start { mode: "automatic", ..Start::new("pushed, unreachable", Answers::Unreachable) },
        Start::new("silent", Answers::Silent),
        Start { nodes: 300, ..Start::new("silent, one of 300", Answers::Silent) },
        Start { mode: "automatic", ..Start::new("pushed, silent", Answers::Silent) },
    ];
    for (start, outcome) in starts.iter().zip(play_all(&starts)) {
        assert!(outcome.served > 0 && outcome.sent_to_removed > 0, "{}: {}", start.name, outcome.served);
        assert!(outcome.ready_after <= READY_WITHIN, "{}: {:?}", start.name, outcome.ready_after);
    }
}
