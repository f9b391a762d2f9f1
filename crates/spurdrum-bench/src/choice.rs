//! The `choice` command: the CPU cost of one request in the decision module alone, from its arrival to the
//! load report of its response.

use std::time::Instant;

use spurdrum_policy::{
    Action, Availability, Balancer, Class, Effect, Ending, Event, ListUpdate, LoadReport, Outcome, Request,
    RequestId, ServerEntry, ServerId, Settings,
};

/// The time from a request to its response, in milliseconds of the clock that is passed to the balancer.
const RESPONSE_TIME_MS: f64 = 40.0;
/// The requests per second for each server, from all nodes together.
const REQUESTS_PER_SERVER_S: f64 = 24.0;

/// Prints the microseconds per request for each number of servers and nodes.
pub fn measure(servers: &[usize], nodes: &[usize], requests: usize) {
    print!("{:<10}", "servers");
    nodes.iter().for_each(|nodes| print!("{:>14}", format!("{nodes} nodes")));
    println!("   us for a request");
    for &servers in servers {
        print!("{servers:<10}");
        for &nodes in nodes {
            // The minimum of three runs: other work on the machine can only add to the time.
            let minimum_us =
                (0..3).map(|_| measure_once(servers, nodes, requests)).fold(f64::INFINITY, f64::min);
            print!("{minimum_us:>14.2}");
        }
        println!();
    }
}

/// Returns the mean microseconds per request. The first fifth of the requests warms the balancer up and is
/// not timed.
fn measure_once(servers: usize, nodes: usize, requests: usize) -> f64 {
    let mut settings = Settings::new(vec![Class::new(400.0, 800.0, Effect::Safe)]);
    // A high price for probes: nodes that share servers then choose by the load reports in responses.
    (settings.nodes, settings.node_index, settings.probe_price) = (nodes, nodes / 2, 1.0);
    let mut balancer = Balancer::new(settings, 1).expect("valid settings");
    let mut actions = Vec::new();
    let entry = |index: usize| ServerEntry {
        name_hash: (index as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15),
        ..ServerEntry::new(ServerId(index), Availability::Ready)
    };
    balancer.handle(0.0, Event::Servers(ListUpdate::Full((0..servers).map(entry).collect())), &mut actions);
    let mut rng = fastrand::Rng::with_seed(7);
    let interval_ms = 1000.0 * nodes as f64 / (REQUESTS_PER_SERVER_S * servers as f64);
    let mut in_flight = std::collections::VecDeque::new();
    let mut timed_since = Instant::now();
    for id in 0..requests as u64 {
        if id == requests as u64 / 5 {
            timed_since = Instant::now();
        }
        let now = id as f64 * interval_ms;
        actions.clear();
        while let Some((id, sent_at)) =
            in_flight.front().copied().filter(|(_, sent_at)| sent_at + RESPONSE_TIME_MS <= now)
        {
            in_flight.pop_front();
            let report = LoadReport { in_flight: Some(f64::from(rng.u8(0..4))), queued: None };
            let outcome = Outcome {
                request: RequestId(id),
                attempt: 0,
                elapsed_ms: RESPONSE_TIME_MS,
                ending: Ending::Served,
                complete: true,
                report: Some(report),
            };
            balancer.handle(sent_at + RESPONSE_TIME_MS, Event::Outcome(outcome), &mut actions);
        }
        balancer.handle(now, Event::Request(Request::new(RequestId(id), 0, 800.0)), &mut actions);
        if actions.iter().any(|action| matches!(action, Action::Send { .. })) {
            in_flight.push_back((id, now));
        }
    }
    timed_since.elapsed().as_secs_f64() * 1e6 / (requests as f64 * 0.8)
}
