//! What a decision costs: a request from its coming to its answer's report, in the module alone.

use std::time::Instant;

use spurdrum_policy::{
    Action, Availability, Balancer, Class, Effect, Ending, Event, ListUpdate, LoadReport, Outcome, Request,
    RequestId, ServerEntry, ServerId, Settings,
};

/// An answer takes so long, in milliseconds of the module's clock.
const TAKES: f64 = 40.0;
/// Requests a second for each server, of all nodes together.
const RATE: f64 = 24.0;

/// Prints microseconds for each request, by servers and nodes.
pub fn choice(servers: &[usize], nodes: &[usize], requests: usize) {
    print!("{:<10}", "servers");
    nodes.iter().for_each(|nodes| print!("{:>14}", format!("{nodes} nodes")));
    println!("   us for a request");
    for &servers in servers {
        print!("{servers:<10}");
        for &nodes in nodes {
            // The least of three: what else the machine does only adds.
            let least = (0..3).map(|_| one(servers, nodes, requests)).fold(f64::INFINITY, f64::min);
            print!("{least:>14.2}");
        }
        println!();
    }
}

fn one(servers: usize, nodes: usize, requests: usize) -> f64 {
    let mut settings = Settings::new(vec![Class::new(400.0, 800.0, Effect::Safe)]);
    // Probes are dear: nodes that share servers choose by reports in answers.
    (settings.nodes, settings.node_index, settings.probe_price) = (nodes, nodes / 2, 1.0);
    let mut balancer = Balancer::new(settings, 1).expect("sound settings");
    let mut actions = Vec::new();
    let entry = |n: usize| ServerEntry {
        name_hash: (n as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15),
        ..ServerEntry::new(ServerId(n), Availability::Ready)
    };
    balancer.handle(0.0, Event::Servers(ListUpdate::Full((0..servers).map(entry).collect())), &mut actions);
    let mut rng = fastrand::Rng::with_seed(7);
    let pause = 1000.0 * nodes as f64 / (RATE * servers as f64);
    let mut out = std::collections::VecDeque::new();
    let mut began = Instant::now();
    for id in 0..requests as u64 {
        if id == requests as u64 / 5 {
            began = Instant::now();
        }
        let now = id as f64 * pause;
        actions.clear();
        while let Some((id, sent)) = out.front().copied().filter(|(_, sent)| sent + TAKES <= now) {
            out.pop_front();
            let held = LoadReport { in_flight: Some(f64::from(rng.u8(0..4))), queued: None };
            let outcome = Outcome {
                request: RequestId(id),
                attempt: 0,
                elapsed_ms: TAKES,
                ending: Ending::Served,
                complete: true,
                report: Some(held),
            };
            balancer.handle(sent + TAKES, Event::Outcome(outcome), &mut actions);
        }
        balancer.handle(now, Event::Request(Request::new(RequestId(id), 0, 800.0)), &mut actions);
        if actions.iter().any(|action| matches!(action, Action::Send { .. })) {
            out.push_back((id, now));
        }
    }
    began.elapsed().as_secs_f64() * 1e6 / (requests as f64 * 0.8)
}
