//! Measurements, each a command:
//!
//!     cargo run --release -p spurdrum-bench -- stall      latencies of the load generator compared with the stand-in's own clock
//!     cargo run --release -p spurdrum-bench -- rate       how late requests are sent at a high rate
//!     cargo run --release -p spurdrum-bench -- versus     the node compared with a plain proxy, alternating
//!     cargo run --release -p spurdrum-bench -- affinity   cost of the bindings of keys to servers, and of their file
//!     cargo run --release -p spurdrum-bench -- registry   delay until a node knows of a change in a registry, and the cost of following it
//!     cargo run --release -p spurdrum-bench -- restart    a node that starts with a stale list while discovery fails
//!     cargo run --release -p spurdrum-bench -- replace    requests without a response while the process is replaced under load
//!     cargo run --release -p spurdrum-bench -- calls      how long operators wait for answers at saturation
//!     cargo run --release -p spurdrum-bench -- streams    memory while long request and response bodies pass through
//!     cargo run --release -p spurdrum-bench -- choice     CPU cost of a decision, by servers and nodes
//!     cargo run --release -p spurdrum-bench -- rollout    a hundred nodes changed in stages, by good and bad changes
//!     cargo run --release -p spurdrum-bench -- chaos      rollouts one after another, with random faults drawn from a seed
//!     cargo run --release -p spurdrum-bench -- fleet      hundreds of nodes, and the fault scenarios; takes an hour

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command as Process, ExitCode, Stdio};
use std::time::{Duration, Instant};

use clap::{Parser, Subcommand};
use spurdrum_harness::{config, free_address, program, Node};
use spurdrum_load::plan::Plan;
use spurdrum_load::report::Report;
use spurdrum_load::run::{run, Options};
use spurdrum_load::schedule::Schedule;
use spurdrum_standin::scenario::Scenario;
use spurdrum_standin::Fleet;

mod affinity;
mod chaos;
mod choice;
mod days;
mod fleet;
mod proxy;
mod registry;
mod rollout;

#[derive(Parser)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Measures the decision module alone: a node's share of 24 requests per second for each server, with
    /// responses after 40 ms.
    Choice {
        /// Numbers of servers.
        #[arg(long, value_delimiter = ',', default_value = "10,40,100,1000,10000")]
        servers: Vec<usize>,
        /// Numbers of nodes.
        #[arg(long, value_delimiter = ',', default_value = "1,100,300")]
        nodes: Vec<usize>,
        /// Number of requests.
        #[arg(long, default_value_t = 2_000)]
        requests: usize,
    },
    /// Runs the standing scenario at several sizes and loads, then every other scenario of the folder
    /// unchanged. The programs must have been built.
    Fleet {
        /// Directory of the scenarios.
        #[arg(long, default_value = "crates/spurdrum-fleet/examples")]
        folder: PathBuf,
        /// Number of seeds, counted from 1.
        #[arg(long, default_value_t = 5)]
        seeds: u64,
        /// Numbers of nodes for the standing scenario.
        #[arg(long, value_delimiter = ',', default_value = "100,300,600")]
        nodes: Vec<usize>,
        /// Other builds of the program to compare with this one, by path.
        #[arg(long)]
        beside: Vec<PathBuf>,
    },
    /// Rolls changes out in stages to nodes with supervisors: a good build, then bad changes of several
    /// kinds, each compared with the same change to all nodes at once. The programs must have been built.
    Rollout {
        /// Number of nodes.
        #[arg(long, default_value_t = 100)]
        nodes: usize,
        /// Seed of the random numbers.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Runs good and bad rollouts one after another while supervisors and rollout controllers die and the
    /// links between them break. The programs must have been built.
    Chaos {
        /// Duration in minutes.
        #[arg(long, default_value_t = 30.0)]
        minutes: f64,
        /// Number of nodes.
        #[arg(long, default_value_t = 12)]
        nodes: usize,
        /// Seed of the random numbers.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Pauses a stand-in for two seconds under 1,000 requests per second.
    Stall,
    /// Sends 30,000 requests per second to an in-process stand-in.
    Rate {
        /// Requests per second.
        #[arg(long, default_value_t = 30_000.0)]
        rate: f64,
        /// Duration in seconds.
        #[arg(long, default_value_t = 10.0)]
        for_s: f64,
        /// Number of event loops of the load generator.
        #[arg(long, default_value_t = 1)]
        threads: usize,
    },
    /// Compares the node with a plain proxy, in front of the same stand-ins and under the same load.
    Versus {
        /// Duration of each measurement in seconds.
        #[arg(long, default_value_t = 4.0)]
        for_s: f64,
        /// Number of measurements of each; the table shows the medians.
        #[arg(long, default_value_t = 3)]
        rounds: usize,
    },
    /// Measures the follower of a registry over sockets, against a stand-in cluster of three endpoints.
    Registry {
        /// Numbers of servers in the registry.
        #[arg(long, value_delimiter = ',', default_value = "10,1000,10000")]
        servers: Vec<usize>,
        /// Changes per second.
        #[arg(long, default_value_t = 200.0)]
        changes: f64,
        /// Duration of each measurement in seconds.
        #[arg(long, default_value_t = 10.0)]
        for_s: f64,
        /// Also breaks streams, pauses endpoints and compacts the history.
        #[arg(long)]
        faults: bool,
    },
    /// Compares the table of bindings with plain maps, and measures its file.
    Affinity {
        /// Directory for temporary files.
        #[arg(long, default_value = ".")]
        folder: PathBuf,
    },
    /// Replaces all servers while discovery is down or lags, and starts a node with the list from before.
    Restart {
        /// Another build of the node to compare with this one.
        #[arg(long)]
        beside: Option<PathBuf>,
        /// Number of measurements of each; the table shows the medians.
        #[arg(long, default_value_t = 3)]
        rounds: usize,
    },
    /// Replaces the process under load, with the listening socket handed over and with SO_REUSEPORT alone.
    Replace {
        /// Number of replacements of each kind.
        #[arg(long, default_value_t = 10)]
        times: usize,
        /// Number of clients.
        #[arg(long, default_value_t = 40)]
        clients: usize,
    },
    /// Measures the response times of the admin endpoint at saturation.
    Calls {
        /// Numbers of clients that send requests as fast as they can.
        #[arg(long, value_delimiter = ',', default_value = "1,50,300")]
        clients: Vec<usize>,
        /// Number of calls to the admin endpoint at each load.
        #[arg(long, default_value_t = 300)]
        times: usize,
    },
    /// Sends many long request and response bodies at the same time.
    Streams {
        /// Numbers of concurrent requests.
        #[arg(long, value_delimiter = ',', default_value = "1,10,100")]
        at_once: Vec<usize>,
        /// Length of each request and response body in MB.
        #[arg(long, default_value_t = 32)]
        megabytes: u64,
    },
    /// Runs the plain proxy that `versus` starts.
    PlainProxy {
        /// Address to listen on.
        listen: SocketAddr,
        /// Servers to forward requests to.
        servers: Vec<SocketAddr>,
    },
}

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Stall => stall(),
        Command::Rate { rate: requests, for_s, threads } => rate(requests, for_s, threads),
        Command::Versus { for_s, rounds } => versus(for_s, rounds.max(1)),
        Command::Registry { servers, changes, for_s, faults } => {
            follow_registry(&servers, changes, for_s, faults)
        }
        Command::Affinity { folder } => affinity::run(folder),
        Command::Restart { beside, rounds } => restart(beside, rounds.max(1)),
        Command::Replace { times, clients } => days::replace(times.max(1), clients.max(2)),
        Command::Calls { clients, times } => days::calls(&clients, times.max(1)),
        Command::Streams { at_once, megabytes } => days::streams(&at_once, megabytes.max(1)),
        Command::Choice { servers, nodes, requests } => {
            choice::measure(&servers, &nodes, requests.max(10));
            Ok(())
        }
        Command::Chaos { minutes, nodes, seed } => chaos::run(minutes, nodes, seed),
        Command::Rollout { nodes, seed } => rollout::run(nodes, seed),
        Command::Fleet { folder, seeds, nodes, beside } => fleet::run(&folder, seeds.max(1), nodes, &beside),
        Command::PlainProxy { listen, servers } => proxy::serve(listen, servers),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("spurdrum-bench: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Parses a load plan of one class and one tenant with this phase and these client settings.
fn load_plan(phase: &str, clients: &str) -> Result<Plan, String> {
    Plan::parse(&format!(
        "{phase}\n[[class]]\nname = \"inventory-update\"\neffect = \"keyed\"\naim_s = 0.4\ndeadline_s = 10\n\
         bytes = [200, 200]\n[[tenant]]\nname = \"inns\"\n{clients}"
    ))
}

/// Runs a load plan with one thread.
fn run_load(plan: &Plan, target: SocketAddr, closed: Option<(usize, Duration)>) -> Result<Report, String> {
    run_load_with_threads(1, plan, target, closed)
}

fn run_load_with_threads(
    threads: usize,
    plan: &Plan,
    target: SocketAddr,
    closed: Option<(usize, Duration)>,
) -> Result<Report, String> {
    let options = Options { target, seed: 1, closed, max_duration: Duration::from_secs(120), threads };
    run(plan, Box::new(Schedule::new(plan, 1).map(Ok)), &options, std::future::pending(), |_| {})
}

// ---- registry

fn follow_registry(servers: &[usize], changes: f64, for_s: f64, faults: bool) -> Result<(), String> {
    let time = Duration::try_from_secs_f64(for_s)
        .map_err(|_| format!("{for_s} is not a valid duration in seconds"))?;
    println!(
        "Delay from a commit to the node's list, and lateness of a 1 ms timer on its event loop, in ms."
    );
    println!("| servers | changes/s | faults | known | p50 | p99 | worst | CPU | stall p99 | worst | load | listed | newcomers |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for servers in servers {
        registry::measure(&registry::Plan { servers: *servers, changes, time, faults })?;
    }
    Ok(())
}

// ---- stall

fn stall() -> Result<(), String> {
    let scenario = "[[servers]]\ncores = 8\nslots = 8000\nqueue = 8000\nwork_ms = 1\nconnections = 8000\n\
                    [[fault]]\non = \"s0\"\nkind = \"pause\"\nat_s = 2\nfor_s = 2\n";
    let phase = "[[phase]]\nfor_s = 6\nshape = \"constant\"\nrate = 1000\narrivals = \"even\"";
    let plan = load_plan(phase, "[clients]\nconnections = 8000")?;
    let fleet = Fleet::start(&Scenario::parse(scenario)?)?;
    let started = Instant::now();
    let address = fleet.servers["s0"];
    // The stand-in's clock started with the stand-in; the clock of the schedule starts now.
    let offset = fleet.elapsed();
    let report = run_load(&plan, address, None)?;
    let counters = fleet.counters();
    let mut server_latencies: Vec<f64> = Schedule::new(&plan, 1)
        .filter_map(|arrival| {
            let execution = counters.ids().get(&format!("{:x}", arrival.id))?;
            let answered = execution.answered_at?.saturating_sub(offset).as_secs_f64() * 1e3;
            Some(answered - arrival.due_us as f64 / 1e3)
        })
        .collect();
    server_latencies.sort_by(f64::total_cmp);
    let quantile = |fraction: f64| {
        server_latencies
            [((server_latencies.len() as f64 * fraction) as usize).min(server_latencies.len() - 1)]
    };
    let fleet = Fleet::start(&Scenario::parse(scenario)?)?;
    let closed = run_load(&plan, fleet.servers["s0"], Some((8, Duration::from_secs(6))))?;
    println!(
        "1,000 requests a second for 6 s; the stand-in pauses from 2 s to 4 s ({:.1} s in all)",
        started.elapsed().as_secs_f64()
    );
    println!("{:<34}{:>9}{:>10}{:>10}{:>10}", "", "requests", "p50 ms", "p99 ms", "max ms");
    println!(
        "{:<34}{:>9}{:>10.1}{:>10.1}{:>10.1}",
        "stand-in's own clock, from due",
        server_latencies.len(),
        quantile(0.5),
        quantile(0.99),
        quantile(1.0)
    );
    for (name, report) in [("open loop, from due", &report), ("closed loop, 8 clients (wrong)", &closed)] {
        let latency = &report.all.latency_ms;
        println!(
            "{name:<34}{:>9}{:>10.1}{:>10.1}{:>10.1}",
            latency.count, latency.p50, latency.p99, latency.max
        );
    }
    let is_close = |a: f64, b: f64| (a - b).abs() <= 2.0_f64.max(0.01 * b);
    let latency = &report.all.latency_ms;
    let agree = is_close(latency.p50, quantile(0.5))
        && is_close(latency.p99, quantile(0.99))
        && is_close(latency.max, quantile(1.0));
    println!(
        "open loop and the stand-in's clock {} within 2 ms or 1 %",
        if agree { "agree" } else { "DO NOT agree" }
    );
    Ok(())
}

// ---- rate

fn rate(requests: f64, for_s: f64, threads: usize) -> Result<(), String> {
    let scenario = "track = 0\n[[servers]]\ncount = 2\ncores = 64\nslots = 4000\nqueue = 4000\nwork_ms = 0.05\nconnections = 4000\n";
    let phase = format!("[[phase]]\nfor_s = {for_s}\nshape = \"constant\"\nrate = {requests}\n");
    let plan = load_plan(&phase, "[clients]\nconnections = 2000")?;
    let fleet = Fleet::start(&Scenario::parse(scenario)?)?;
    let before = cpu_of(std::process::id());
    let report = run_load_with_threads(threads, &plan, fleet.servers["s0"], None)?;
    let cpu = cpu_of(std::process::id()) - before;
    print!("{}", report.table());
    println!("CPU of generator and stand-in together: {cpu:.1} s in {:.1} s", report.seconds);
    Ok(())
}

/// Returns the CPU time of a process so far, in seconds.
fn cpu_of(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields = text.rsplit(')').next().unwrap_or_default();
    let ticks = |index: usize| {
        fields.split_whitespace().nth(index).and_then(|t| t.parse::<f64>().ok()).unwrap_or_default()
    };
    // Fields 14 and 15, user and system, in hundredths of a second.
    (ticks(11) + ticks(12)) / 100.0
}

// ---- versus

/// A running plain proxy; the process is killed when this is dropped.
struct PlainProxy {
    address: SocketAddr,
    child: Child,
}

impl PlainProxy {
    fn start(fleet: &Fleet) -> Result<Self, String> {
        let address = free_address()?;
        let program = std::env::current_exe().map_err(|e| e.to_string())?;
        let servers = fleet.servers.values().map(ToString::to_string);
        let child = Process::new(program).arg("plain-proxy").arg(address.to_string()).args(servers).spawn();
        let plain = Self { address, child: child.map_err(|e| e.to_string())? };
        let started = Instant::now();
        while std::net::TcpStream::connect(address).is_err() {
            if started.elapsed() > Duration::from_secs(10) {
                return Err("the plain proxy does not accept connections after 10 s".into());
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(plain)
    }
}

impl Drop for PlainProxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The results of one measurement of a proxy.
#[derive(Clone, Copy, Default)]
struct Statistics {
    /// Served requests per second in a closed loop.
    saturation: f64,
    /// CPU time per served request in a closed loop.
    cpu_us: f64,
    /// Latencies in ms at half of the saturation.
    p50: f64,
    p99: f64,
}

fn measure_proxy(target: SocketAddr, pid: u32, connections: usize, for_s: f64) -> Result<Statistics, String> {
    let phase = |rate: f64| format!("[[phase]]\nfor_s = {for_s}\nshape = \"constant\"\nrate = {rate}\n");
    let clients = format!("[clients]\nconnections = {connections}\nin_flight = 100000");
    let before = cpu_of(pid);
    let closed = run_load(
        &load_plan(&phase(1.0), &clients)?,
        target,
        Some((connections, Duration::from_secs_f64(for_s))),
    )?;
    let cpu = cpu_of(pid) - before;
    let served = closed.all.counts.in_time + closed.all.counts.late;
    let saturation = served as f64 / for_s;
    // Few connections limit the closed loop's rate; the open loop gets four times as many, so that they don't
    // limit half of that rate.
    let open = run_load(
        &load_plan(&phase(saturation / 2.0), &format!("[clients]\nconnections = {}", connections * 4))?,
        target,
        None,
    )?;
    let latency = open.all.latency_ms;
    Ok(Statistics {
        saturation,
        cpu_us: cpu * 1e6 / served.max(1) as f64,
        p50: latency.p50,
        p99: latency.p99,
    })
}

fn versus(for_s: f64, rounds: usize) -> Result<(), String> {
    let scenario = "[[servers]]\ncount = 8\ncores = 64\nslots = 4000\nqueue = 4000\nwork_ms = 0.05\nconnections = 4000\n";
    let fleet = Fleet::start(&Scenario::parse(scenario)?)?;
    println!("8 stand-ins in one thread, {rounds} rounds of {for_s} s each, alternating; medians");
    println!(
        "{:<12}{:<14}{:>12}{:>14}{:>10}{:>10}",
        "connections", "proxy", "served/s", "CPU us each", "p50 ms", "p99 ms"
    );
    for connections in [8, 32, 256] {
        let mut results = [Vec::new(), Vec::new()];
        for _ in 0..rounds {
            let node = Node::start(&config(&fleet, &["inns"], 4096, 10_000), Stdio::null())?;
            results[0].push(measure_proxy(node.address, node.pid(), connections, for_s)?);
            drop(node);
            let plain = PlainProxy::start(&fleet)?;
            results[1].push(measure_proxy(plain.address, plain.child.id(), connections, for_s)?);
        }
        for (name, statistics) in ["node", "plain proxy"].iter().zip(&results) {
            let median = |field: fn(&Statistics) -> f64| {
                let mut values: Vec<f64> = statistics.iter().map(field).collect();
                values.sort_by(f64::total_cmp);
                values[values.len() / 2]
            };
            println!(
                "{connections:<12}{name:<14}{:>12.0}{:>14.1}{:>10.2}{:>10.2}",
                median(|statistics| statistics.saturation),
                median(|statistics| statistics.cpu_us),
                median(|statistics| statistics.p50),
                median(|statistics| statistics.p99)
            );
        }
    }
    Ok(())
}

// ---- restart

fn restart(beside: Option<PathBuf>, rounds: usize) -> Result<(), String> {
    let outage = "[[fault]]\non = \"catalog\"\nkind = \"outage\"\nat_s = 0.5\nfor_s = 9.5\n";
    let silence = "[[fault]]\non = \"catalog\"\nkind = \"hang\"\nat_s = 0.5\nfor_s = 9.5\n";
    let lossy = "[[fault]]\non = \"catalog\"\nkind = \"hang\"\npart = 0.1\n";
    let lag = "[catalog]\ndelay_ms = 8000\n";
    let cases = [
        ("nothing", String::new()),
        ("down until 10 s", outage.to_owned()),
        ("silent until 10 s", silence.to_owned()),
        ("lags by 8 s", lag.to_owned()),
        ("down until 10 s, and lags by 8 s", lag.to_owned() + outage),
        ("a tenth of the calls hang", lossy.to_owned()),
    ];
    let programs = [Some(("this build", program()?)), beside.map(|path| ("beside it", path))];
    println!("6 servers, replaced from 1 s to 6 s; a node starts at 2.5 s with the list of 0 s; 400 requests per second for 14 s");
    println!("Medians of {rounds} rounds, alternating\n");
    println!("{:<36}{:<14}{:>10}{:>14}", "discovery", "node", "goodput", "all well at s");
    for (n, (name, faults)) in cases.iter().enumerate() {
        let mut rows = vec![Vec::new(); programs.len()];
        for round in 0..rounds {
            for (row, (_, path)) in rows.iter_mut().zip(programs.iter().flatten()) {
                row.push(measure_restart(faults, path, (n * rounds + round) as u64)?);
            }
        }
        for (row, (node, _)) in rows.iter_mut().zip(programs.iter().flatten()) {
            row.sort_by(|a, b| a.0.total_cmp(&b.0));
            let (goodput, recovered_s) = row[row.len() / 2];
            println!("{name:<36}{node:<14}{goodput:>10.3}{recovered_s:>14}");
        }
    }
    Ok(())
}

/// Returns the goodput, and the second since the start of the load from which on at least 98 % of the
/// requests are served in time.
fn measure_restart(faults: &str, path: &std::path::Path, seed: u64) -> Result<(f64, usize), String> {
    let mut scenario = format!("seed = {seed}\n{faults}[[servers]]\ncount = 6\nwork_ms = 5\ncold_s = 2\n");
    for n in 0..6 {
        scenario += &format!("[[fault]]\non = \"s{n}\"\nkind = \"replace\"\nat_s = {}\nfor_s = 0.8\n", 1 + n);
        // The replaced server stops, although a stale list may still contain it.
        scenario += &format!("[[fault]]\non = \"s{n}\"\nkind = \"die\"\nat_s = {}\n", f64::from(1 + n) + 0.9);
    }
    let fleet = Fleet::start(&Scenario::parse(&scenario)?)?;
    let config = config(&fleet, &["inns"], 1024, 10_000);
    std::thread::sleep(Duration::from_millis(2500).saturating_sub(fleet.elapsed()));
    let node = Node::start_program(path, &config, Stdio::null())?;
    let phase = "[[phase]]\nfor_s = 14\nshape = \"constant\"\nrate = 400\n";
    let report = run_load(&load_plan(phase, "[clients]\nconnections = 400")?, node.address, None)?;
    let last_bad_second = report
        .per_second
        .iter()
        .rposition(|second| second.due > 0 && (second.in_time as f64) < 0.98 * second.due as f64);
    Ok((report.all.counts.goodput(), last_bad_second.map_or(0, |second| second + 1)))
}
