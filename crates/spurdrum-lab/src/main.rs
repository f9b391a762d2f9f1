//! Experiments, each a command:
//!
//!     cargo run --release -p spurdrum-lab -- affinity  what is won and lost by keys that stay with their servers
//!     cargo run --release -p spurdrum-lab -- spread    how evenly hundreds of nodes spread their work
//!     cargo run --release -p spurdrum-lab -- rollout   how often a change is stopped by mistake, and how far a bad one comes
//!     cargo run --release -p spurdrum-lab -- registry  ... that follow a registry by watches, and what it costs
//!     cargo run --release -p spurdrum-lab -- starts    when processes that start together serve
//!     cargo run --release -p spurdrum-lab -- lists     how far behind nodes are that follow a list, by fault and way

use std::time::Duration;

use clap::{Parser, Subcommand};
use rayon::prelude::*;
use spurdrum_lab::affinity::{self, Trouble};
use spurdrum_lab::lists::{deploys, play, Fault, Outcome, Plan, Way};
use spurdrum_lab::registry::{self, Faults};
use spurdrum_lab::rollout::Went;
use spurdrum_lab::spread::{self, Figures, Way as Choice};
use spurdrum_rollout::judge::Settings as JudgeSettings;
use spurdrum_sources::follower::{Settings, StartupResult};
use spurdrum_sources::registry::follower::{Interface, Settings as Watching};

/// Experiments in simulated time.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// From a change of the list to a node's knowing, and calls, by fault, way of following and number of nodes.
    Lists {
        /// Drives all that is random.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Time that the catalog takes for an answer, in milliseconds.
        #[arg(long, default_value_t = 2)]
        service_ms: u64,
        /// Numbers of nodes.
        #[arg(long, value_delimiter = ',', default_value = "3,30,300")]
        nodes: Vec<usize>,
    },
    /// When processes that start together have had discovery's first answer and serve, by their number and discovery's pace.
    Starts {
        /// Drives all that is random.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Numbers of nodes.
        #[arg(long, value_delimiter = ',', default_value = "3,30,300,900")]
        nodes: Vec<usize>,
        /// Times in which discovery can answer all nodes once, in milliseconds.
        #[arg(long, value_delimiter = ',', default_value = "100,700,1500,2500,4000")]
        round_ms: Vec<u64>,
    },
    /// Keys that stay with their servers: by slack, load, skew and trouble, beside none and beside keys that are pinned.
    Affinity {
        /// Seeds of the days; figures are over all of them.
        #[arg(long, value_delimiter = ',', default_value = "1,2,3")]
        seeds: Vec<u64>,
    },
    /// How evenly hundreds of nodes spread their work, beside what other ways would have done on the same arrivals.
    Spread {
        /// Seeds; figures are means over them.
        #[arg(long, value_delimiter = ',', default_value = "1,2,3,4,5")]
        seeds: Vec<u64>,
        /// Nodes.
        #[arg(long, value_delimiter = ',', default_value = "300")]
        nodes: Vec<usize>,
        /// Loads, as parts of the capacity.
        #[arg(long, value_delimiter = ',', default_value = "0.6,0.8")]
        loads: Vec<f64>,
        /// How old reports may be, in milliseconds; 0: made for each answer.
        #[arg(long, default_value_t = 0.0)]
        report_ms: f64,
        /// Servers of 1, 2, 4 and 8 workers, a quarter each.
        #[arg(long)]
        sizes: bool,
        /// The module alone.
        #[arg(long)]
        alone: bool,
    },
    /// Rollouts before a noisy fleet: stopped by mistake, and how far bad ones come, by what they do.
    Rollout {
        /// Rollouts of each kind.
        #[arg(long, default_value_t = 2000)]
        rollouts: u64,
        /// Nodes.
        #[arg(long, default_value_t = 100)]
        nodes: usize,
        /// Requests a second and node.
        #[arg(long, default_value_t = 20.0)]
        rate: f64,
    },
    /// From a change of the registry to a node's knowing, by fault; messages and bytes; beside polling.
    Registry {
        /// Drives all that is random.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

fn main() {
    match Cli::parse().command {
        Command::Affinity { seeds } => keys(&seeds),
        Command::Spread { seeds, nodes, loads, report_ms, sizes, alone } => {
            spread(&seeds, &nodes, &loads, report_ms, sizes, alone)
        }
        Command::Registry { seed } => registry(seed),
        Command::Rollout { rollouts, nodes, rate } => rollout(rollouts, nodes, rate),
        Command::Starts { seed, nodes, round_ms } => starts(seed, &nodes, &round_ms),
        Command::Lists { seed, service_ms, nodes } => lists(seed, service_ms, &nodes),
    }
}

fn starts(seed: u64, nodes: &[usize], rounds_ms: &[u64]) {
    println!("| nodes | all answered once in ms | serving, p50 | p90 | last | not confirmed in time | calls turned away in 20 s |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for (nodes, round_ms) in
        nodes.iter().flat_map(|nodes| rounds_ms.iter().map(move |round| (*nodes, *round)))
    {
        let service = Duration::from_millis(round_ms) / nodes as u32;
        let length = Duration::from_secs(20);
        let outcome = play(&Plan::quiet(nodes, seed, length, service), &Way::Follower(Settings::default()));
        let ends: Vec<_> = outcome.starts.iter().flatten().collect();
        let mut times: Vec<f64> = ends.iter().map(|(_, at)| at.as_secs_f64()).collect();
        times.sort_by(f64::total_cmp);
        let within =
            |part: f64| times.get((part * (times.len() - 1) as f64) as usize).copied().unwrap_or(f64::NAN);
        let late = ends.iter().filter(|(end, _)| *end == StartupResult::TimedOut).count();
        println!(
            "| {nodes} | {round_ms} | {:.2} | {:.2} | {:.2} | {late} | {} |",
            within(0.5),
            within(0.9),
            within(1.0),
            outcome.turned_away
        );
    }
}

fn rollout(rollouts: u64, nodes: usize, rate: f64) {
    use spurdrum_lab::rollout::{fixed_size, play, Does, Site};
    let (site, settings) = (Site { nodes, rate, ..Site::default() }, JudgeSettings::default());
    println!(
        "{rollouts} rollouts of the first two and a tenth of each other, {nodes} nodes, {rate} requests a second and node, {:.1} % fail",
        100.0 * site.fails
    );
    println!("| the change | not done | stopped before a quarter | reached, mean | s to the decision, p50 p95 | requests at changed nodes, p50 p95 | harmed of all |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    let kinds = [
        Does::Nothing,
        Does::Fails(0.02),
        Does::Fails(0.01),
        Does::Fails(0.05),
        Does::FailsOneClass(0.05),
        Does::Refuses(0.03),
        Does::Slows(1.3),
        Does::Repeats(0.2),
        Does::Crashes(20.0),
        Does::Crowds(0.05),
    ];
    for (n, does) in kinds.into_iter().enumerate() {
        // The first two are what is promised.
        let rollouts = if n < 2 { rollouts } else { (rollouts / 10).max(1) };
        let went: Vec<_> =
            (0..rollouts).into_par_iter().map(|seed| play(&site, does, &settings, seed)).collect();
        let count = went.len() as f64;
        let part =
            |of: &dyn Fn(&Went) -> bool| 100.0 * went.iter().filter(|went| of(went)).count() as f64 / count;
        let mean = |of: &dyn Fn(&Went) -> f64| went.iter().map(of).sum::<f64>() / count;
        let quantile = |of: &dyn Fn(&Went) -> f64, part: f64| {
            let mut all: Vec<f64> = went.iter().map(of).collect();
            all.sort_by(f64::total_cmp);
            all[((all.len() - 1) as f64 * part) as usize]
        };
        println!(
            "| {does:?} | {:.2} % | {:.2} % | {:.2} | {:.0} {:.0} | {:.0} {:.0} | {:.3} % |",
            part(&|went| !went.done),
            part(&|went| !went.done && went.reached <= 0.25),
            mean(&|went| went.reached),
            quantile(&|went| went.seconds, 0.5),
            quantile(&|went| went.seconds, 0.95),
            quantile(&|went| went.requests, 0.5),
            quantile(&|went| went.requests, 0.95),
            100.0 * mean(&|went| went.harmed)
        );
        let mut reasons: std::collections::BTreeMap<String, u32> = std::collections::BTreeMap::new();
        for went in went.iter().filter(|went| !went.done) {
            let kind = went.why.split(':').next().unwrap_or_default().to_owned();
            *reasons.entry(kind).or_default() += 1;
        }
        for (why, count) in
            reasons.iter().filter(|(_, count)| **count * 50 > rollouts as u32 || does == Does::Nothing)
        {
            println!("|   {count} {why} | | | | | | |");
        }
    }
    for more in [0.01, 0.02, 0.05] {
        let size = fixed_size(site.fails, more, settings.false_stops, 0.95);
        println!(
            "a test of fixed size tells {:.0} points more failures from {size:.0} requests",
            100.0 * more
        );
    }
}

fn lists(seed: u64, service_ms: u64, nodes: &[usize]) {
    let faults = [
        ("none", Fault::None, 1),
        ("1 % of answers lost", Fault::Lost(0.01), 1),
        ("10 % lost, 10 % break", Fault::LostAndBroken(0.1), 1),
        ("5 % stop in the body", Fault::Trickle(0.05), 1),
        ("watches hang", Fault::WatchesHang, 1),
        ("reads hang", Fault::ReadsHang, 1),
        ("silent for 20 s", Fault::Silent(55.0, 75.0), 1),
        ("down for 20 s", Fault::Down(55.0, 75.0), 1),
        ("versions begin anew", Fault::Forgets(200.0), 1),
        ("answers take 10 times as long", Fault::None, 10),
    ];
    let ways = [
        ("watch 20 s", Way::Fixed(Duration::from_secs(20))),
        ("watch 2 s", Way::Fixed(Duration::from_secs(2))),
        ("watch 5 s", Way::Fixed(Duration::from_secs(5))),
        ("follower", Way::Follower(Settings::default())),
    ];
    println!("Ten minutes with two rolling deploys of 30 changes, 350 ms apart; an answer takes the catalog {service_ms} ms.");
    println!("Behind: seconds from a change to a node's knowing. Calls: a second and node, over all and while quiet.\n");
    println!("| fault | nodes | way | p50 | p99 | worst | calls/s | quiet calls/s | turned away |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut cases = Vec::new();
    for fault in &faults {
        for count in nodes {
            cases.extend(ways.iter().map(|way| (fault, *count, way)));
        }
    }
    let rows: Vec<String> = cases
        .par_iter()
        .map(|((name, fault, slower), count, (way_name, way))| {
            let (length, service) = (Duration::from_secs(600), Duration::from_millis(service_ms * slower));
            let plan =
                |commits| Plan { commits, fault: *fault, ..Plan::quiet(*count, seed, length, service) };
            let played = play(&plan(deploys(Duration::from_millis(350))), way);
            let quiet = play(&plan(Vec::new()), way);
            let pace = |outcome: &Outcome| outcome.calls as f64 / 600.0 / *count as f64;
            format!(
                "| {name} | {count} | {way_name} | {:.3} | {:.2} | {:.2} | {:.2} | {:.2} | {} |",
                played.within(0.5),
                played.within(0.99),
                played.behind.max() as f64 / 1e6,
                pace(&played),
                pace(&quiet),
                played.turned_away
            )
        })
        .collect();
    for row in rows {
        println!("{row}");
    }
}

fn keys(seeds: &[u64]) {
    let kept = |slack, ring| affinity::Way::Kept { slack, ring };
    let ways = [
        ("none", affinity::Way::None),
        ("slack 1", kept(1.0, false)),
        ("slack 1.5", kept(1.5, false)),
        ("slack 2", kept(2.0, false)),
        ("slack 3", kept(3.0, false)),
        ("slack 2, ring", kept(2.0, true)),
        ("pinned", kept(1e9, false)),
    ];
    let base = affinity::Plan {
        nodes: 3,
        servers: 12,
        keys: 3_000,
        skew: 0.8,
        load: 0.6,
        cold_key: 2.0,
        length: 40_000.0,
        trouble: Trouble::None,
        seed: 0,
    };
    let cases = [
        ("load 0.4", affinity::Plan { load: 0.4, ..base.clone() }),
        ("load 0.6", base.clone()),
        ("load 0.8", affinity::Plan { load: 0.8, ..base.clone() }),
        ("hot keys (skew 1.3), load 0.6", affinity::Plan { skew: 1.3, ..base.clone() }),
        ("keys make no difference, load 0.8", affinity::Plan { load: 0.8, cold_key: 1.0, ..base.clone() }),
        ("a server slow for a quarter", affinity::Plan { trouble: Trouble::Slow, ..base.clone() }),
        ("all servers replaced", affinity::Plan { trouble: Trouble::Deploy, ..base.clone() }),
        ("nodes restart and forget", affinity::Plan { trouble: Trouble::Restart, ..base.clone() }),
        ("nodes restart and know", affinity::Plan { trouble: Trouble::RestartKept, ..base.clone() }),
    ];
    println!("40 s, 3 nodes, 12 servers of 2 cores, 3,000 keys; 10 ms of work for a key that the server has had within 30 s,");
    println!("20 ms for another; load in parts of what the servers do where all keys are warm. Aim 200 ms, deadline 800 ms.\n");
    println!("| site | way | in their aim | warm | p50 ms | p99 ms | turned away | late to drained |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    let cases: Vec<_> = cases.iter().flat_map(|case| ways.iter().map(move |way| (case, way))).collect();
    let rows: Vec<String> = cases
        .par_iter()
        .map(|((name, plan), (way_name, way))| {
            let days = seeds
                .iter()
                .map(|seed| affinity::play(&affinity::Plan { seed: *seed, ..plan.clone() }, *way));
            let all = days.reduce(affinity::Played::plus).expect("a seed");
            let part = |n: u64, of: u64| n as f64 / of.max(1) as f64;
            format!(
                "| {name} | {way_name} | {:.3} | {:.2} | {:.1} | {:.0} | {:.3} | {} |",
                part(all.in_aim, all.asked),
                part(all.warm, all.served),
                all.latency.value_at_quantile(0.5) as f64 / 1000.0,
                all.latency.value_at_quantile(0.99) as f64 / 1000.0,
                part(all.turned_away, all.asked),
                all.late_to_drained
            )
        })
        .collect();
    for row in rows {
        println!("{row}");
    }
}

fn registry(seed: u64) {
    let (s, ms) = (Duration::from_secs, Duration::from_millis);
    let base = registry::Plan {
        nodes: 10,
        endpoints: 3,
        servers: 100,
        seed,
        length: s(600),
        every: ms(400),
        settings: Watching::default(),
        faults: Faults::default(),
        check: true,
    };
    let broken = Faults {
        breaks: 0.1,
        outage: ms(500),
        deaf: 0.05,
        compactions: 2.0,
        pauses: (3.0, ms(400)),
        lag: ms(5),
        ..Faults::default()
    };
    let cases = [
        ("none", Faults::default()),
        ("endpoints 5 ms behind each other", Faults { lag: ms(5), ..Faults::default() }),
        ("a stream falls silent every 20 s", Faults { deaf: 0.05, ..Faults::default() }),
        ("breaks, silence, pauses, compactions", broken),
        ("the watched member cut off for 30 s", Faults { cut: Some((s(60), s(90))), ..Faults::default() }),
        ("all away for 20 s", Faults { away: Some((s(60), s(80))), ..Faults::default() }),
        ("put back by 10 s", Faults { put_back: Some((s(60), s(10))), ..Faults::default() }),
        ("another cluster", Faults { replaced: Some(s(60)), ..Faults::default() }),
    ];
    println!("Ten minutes, 10 nodes, 3 endpoints, 100 servers of which one is replaced every 400 ms; one way takes 0.5 ms.");
    println!("From a commit to a node's knowing, in ms: over all, and where nothing befell the node or the registry.\n");
    println!("| fault | kind | p50 | p99 | worst | connected p99 | whole reads a node | wrong |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    let kinds = [("streams", Interface::WatchStreams), ("blocking", Interface::BlockingQueries)];
    let cases: Vec<_> = cases.iter().flat_map(|case| kinds.iter().map(move |kind| (case, kind))).collect();
    let rows: Vec<String> = cases
        .par_iter()
        .map(|((name, faults), (kind, interface))| {
            let settings = registry::settings(*interface, false);
            let plan = registry::Plan { settings, faults: faults.clone(), ..base.clone() };
            let played = registry::play(&plan);
            let reads: u64 = played.counts.iter().map(|counts| counts.full_reads).sum();
            format!(
                "| {name} | {kind} | {:.2} | {:.1} | {:.0} | {:.2} | {:.1} | {} |",
                played.within_ms(0.5),
                played.within_ms(0.99),
                played.within_ms(1.0),
                played.connected.value_at_quantile(0.99) as f64 / 1e3,
                reads as f64 / plan.nodes as f64,
                played.wrong.len()
            )
        })
        .collect();
    for row in rows {
        println!("{row}");
    }
    println!("\nThe same by nodes: 10 servers, one replaced a second.\n");
    println!("| nodes | messages/s of a node | of all | KB/s of all | p99 of knowing, ms | worst |");
    println!("| --- | --- | --- | --- | --- | --- |");
    let rows: Vec<String> = [10, 1000, 10_000]
        .par_iter()
        .map(|nodes| {
            let plan = registry::Plan {
                nodes: *nodes,
                servers: 10,
                every: s(1),
                length: s(60),
                check: false,
                ..base.clone()
            };
            let played = registry::play(&plan);
            let all = played.messages as f64 / 60.0;
            format!(
                "| {nodes} | {:.2} | {all:.0} | {:.0} | {:.2} | {:.0} |",
                all / *nodes as f64,
                played.bytes as f64 / 60e3,
                played.within_ms(0.99),
                played.within_ms(1.0)
            )
        })
        .collect();
    for row in rows {
        println!("{row}");
    }
    println!("\nMessages and bytes a second and node, 80 s, by servers and commits a second;");
    println!("polling is a whole read as often as the watch's p99 asks for, at 10 ms.\n");
    println!("| servers | commits/s | kind | messages/s | KB/s | polling every 10 ms: messages/s | KB/s |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    let mut cases = Vec::new();
    for servers in [10, 1000, 10_000] {
        for every in [ms(10), s(1), s(100)] {
            for kind in &kinds {
                // A whole answer of 10,000 servers for each change takes the lab too long to be of interest.
                if kind.1 == Interface::WatchStreams || servers < 10_000 || every > ms(10) {
                    cases.push((servers, every, kind));
                }
            }
        }
    }
    let rows: Vec<String> = cases
        .par_iter()
        .map(|(servers, every, (kind, interface))| {
            let plan = registry::Plan {
                nodes: 2,
                servers: *servers,
                every: *every,
                length: s(80),
                settings: registry::settings(*interface, false),
                check: false,
                ..base.clone()
            };
            let played = registry::play(&plan);
            let a_node = |count: u64| count as f64 / 80.0 / plan.nodes as f64;
            let whole = registry::whole_bytes(*servers) as f64;
            format!(
                "| {servers} | {:.2} | {kind} | {:.1} | {:.1} | 100 | {:.0} |",
                played.commits as f64 / 80.0,
                a_node(played.messages),
                a_node(played.bytes) / 1e3,
                whole * 100.0 / 1e3
            )
        })
        .collect();
    for row in rows {
        println!("{row}");
    }
}

/// A column's name and its figure.
type Column = (&'static str, fn(&Figures) -> f64);

const SPREAD: [Column; 10] = [
    ("least", |f| f.least),
    ("most", |f| f.most),
    ("variation", |f| f.variation),
    ("poisson", |f| f.poisson),
    ("p50", |f| f.p50),
    ("p99", |f| f.p99),
    ("refused%", |f| 100.0 * f.refused as f64 / f.offered as f64),
    ("idle%", |f| 100.0 * f.idle),
    ("herd", |f| f.herd),
    ("met", |f| f.met),
];

fn spread(seeds: &[u64], nodes: &[usize], loads: &[f64], report_ms: f64, sizes: bool, alone: bool) {
    let ways = [
        ("module", Choice::Module),
        ("full", Choice::Full),
        ("reports", Choice::Reports(200.0)),
        ("round robin", Choice::RoundRobin),
        ("two choices", Choice::TwoChoices),
        ("random", Choice::Random),
    ];
    print!("{:<8}{:<6}{:<14}", "nodes", "load", "way");
    SPREAD.iter().for_each(|(name, _)| print!("{name:>11}"));
    println!();
    for &nodes in nodes {
        for &load in loads {
            for (name, way) in ways.iter().take(if alone { 1 } else { ways.len() }) {
                let play = |seed: &u64| {
                    let plan = spread::Plan {
                        nodes,
                        told: nodes,
                        report_ms,
                        ..spread::Plan::standing(load, *way, *seed)
                    };
                    let kind = |workers| spread::Kind { count: 10, workers, zone: 0 };
                    let kinds = if sizes { [1, 2, 4, 8].map(kind).to_vec() } else { plan.kinds };
                    spread::play(&spread::Plan { kinds, ..plan })
                };
                let all: Vec<Figures> = seeds.par_iter().map(play).collect();
                print!("{nodes:<8}{load:<6}{name:<14}");
                for (_, figure) in SPREAD {
                    let mean = all.iter().map(figure).sum::<f64>() / all.len() as f64;
                    print!("{mean:>11.3}");
                }
                println!();
            }
        }
    }
}
