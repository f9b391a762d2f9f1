//! Measurements, each a command:
//!
//!     cargo run --release -p spurdrum-bench -- stall      the generator's latencies against the stand-in's own clock
//!     cargo run --release -p spurdrum-bench -- rate       how late requests are sent at a high rate
//!     cargo run --release -p spurdrum-bench -- versus     the node beside a plain proxy, alternating
//!     cargo run --release -p spurdrum-bench -- affinity   what bindings of keys to servers cost, and their file
//!     cargo run --release -p spurdrum-bench -- registry   how late a node knows what a registry has, and what that costs
//!     cargo run --release -p spurdrum-bench -- restart    a node that starts with an old list while discovery fails
//!     cargo run --release -p spurdrum-bench -- replace    requests turned back while the process is replaced under load
//!     cargo run --release -p spurdrum-bench -- calls      how long operators wait for answers at saturation
//!     cargo run --release -p spurdrum-bench -- streams    memory while long bodies and answers pass through
//!     cargo run --release -p spurdrum-bench -- choice     what a decision costs, by servers and nodes
//!     cargo run --release -p spurdrum-bench -- rollout    a hundred nodes changed in stages, by good and bad changes
//!     cargo run --release -p spurdrum-bench -- chaos      rollouts back to back, with faults drawn from a seed
//!     cargo run --release -p spurdrum-bench -- fleet      hundreds of nodes, and the hard cases; an hour

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
    /// The module alone: a node's part of 24 requests a second for each server, answers after 40 ms.
    Choice {
        /// Servers.
        #[arg(long, value_delimiter = ',', default_value = "10,40,100,1000,10000")]
        servers: Vec<usize>,
        /// Nodes.
        #[arg(long, value_delimiter = ',', default_value = "1,100,300")]
        nodes: Vec<usize>,
        /// Requests.
        #[arg(long, default_value_t = 2_000)]
        requests: usize,
    },
    /// The standing setting at several sizes and loads, then every other scenario of the folder as it is. The programs are built
    /// before.
    Fleet {
        /// Where the scenarios are.
        #[arg(long, default_value = "crates/spurdrum-fleet/examples")]
        folder: PathBuf,
        /// Seeds, from 1 on.
        #[arg(long, default_value_t = 5)]
        seeds: u64,
        /// Numbers of nodes of the standing setting.
        #[arg(long, value_delimiter = ',', default_value = "100,300,600")]
        nodes: Vec<usize>,
        /// Other builds of the program to set beside this one, by path.
        #[arg(long)]
        beside: Vec<PathBuf>,
    },
    /// A fleet whose nodes have keepers, changed in stages: a good build, then bad ones of several kinds, each beside the same sent to
    /// all at once. The programs are built before.
    Rollout {
        /// Nodes.
        #[arg(long, default_value_t = 100)]
        nodes: usize,
        /// Seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Rollouts back to back, good and bad ones, while keepers and conductors die and links between them break. The programs are built
    /// before.
    Chaos {
        /// For so long.
        #[arg(long, default_value_t = 30.0)]
        minutes: f64,
        /// Nodes.
        #[arg(long, default_value_t = 12)]
        nodes: usize,
        /// Seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// A stand-in pauses for two seconds under 1,000 requests a second.
    Stall,
    /// An in-process stand-in takes 30,000 requests a second.
    Rate {
        /// Requests a second.
        #[arg(long, default_value_t = 30_000.0)]
        rate: f64,
        /// Seconds.
        #[arg(long, default_value_t = 10.0)]
        for_s: f64,
        /// Event loops of the generator.
        #[arg(long, default_value_t = 1)]
        threads: usize,
    },
    /// The node and a plain proxy before the same stand-ins, under the same load.
    Versus {
        /// Seconds for each measurement.
        #[arg(long, default_value_t = 4.0)]
        for_s: f64,
        /// How often each is measured; the table has the medians.
        #[arg(long, default_value_t = 3)]
        rounds: usize,
    },
    /// The follower of a registry on sockets, before a stand-in cluster of three endpoints.
    Registry {
        /// Servers in the registry.
        #[arg(long, value_delimiter = ',', default_value = "10,1000,10000")]
        servers: Vec<usize>,
        /// Changes a second.
        #[arg(long, default_value_t = 200.0)]
        changes: f64,
        /// Seconds for each measurement.
        #[arg(long, default_value_t = 10.0)]
        for_s: f64,
        /// Also with streams that break, endpoints that pause and compactions.
        #[arg(long)]
        faults: bool,
    },
    /// The table of bindings beside plain maps, and its file.
    Affinity {
        /// Where files are written for a while.
        #[arg(long, default_value = ".")]
        folder: PathBuf,
    },
    /// All servers are replaced while discovery is down, or lags, and a node starts with the list from before.
    Restart {
        /// Another build of the node, to be measured beside this one.
        #[arg(long)]
        beside: Option<PathBuf>,
        /// How often each is measured; the table has the medians.
        #[arg(long, default_value_t = 3)]
        rounds: usize,
    },
    /// The process is replaced under load, with the listening socket handed over and with SO_REUSEPORT alone.
    Replace {
        /// Replacements of each kind.
        #[arg(long, default_value_t = 10)]
        times: usize,
        /// Clients.
        #[arg(long, default_value_t = 40)]
        clients: usize,
    },
    /// How long operators wait for their answers at saturation.
    Calls {
        /// Clients that ask as fast as they can.
        #[arg(long, value_delimiter = ',', default_value = "1,50,300")]
        clients: Vec<usize>,
        /// Calls at each load.
        #[arg(long, default_value_t = 300)]
        times: usize,
    },
    /// Long bodies and answers, many at once.
    Streams {
        /// How many at once.
        #[arg(long, value_delimiter = ',', default_value = "1,10,100")]
        at_once: Vec<usize>,
        /// Length of each, both ways, in MB.
        #[arg(long, default_value_t = 32)]
        megabytes: u64,
    },
    /// The plain proxy, for `versus`.
    PlainProxy {
        /// Where it listens.
        listen: SocketAddr,
        /// What it passes on to.
        servers: Vec<SocketAddr>,
    },
}

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Stall => stall(),
        Command::Rate { rate: requests, for_s, threads } => rate(requests, for_s, threads),
        Command::Versus { for_s, rounds } => versus(for_s, rounds.max(1)),
        Command::Registry { servers, changes, for_s, faults } => follow(&servers, changes, for_s, faults),
        Command::Affinity { folder } => affinity::run(folder),
        Command::Restart { beside, rounds } => restart(beside, rounds.max(1)),
        Command::Replace { times, clients } => days::replace(times.max(1), clients.max(2)),
        Command::Calls { clients, times } => days::calls(&clients, times.max(1)),
        Command::Streams { at_once, megabytes } => days::streams(&at_once, megabytes.max(1)),
        Command::Choice { servers, nodes, requests } => {
            choice::choice(&servers, &nodes, requests.max(10));
            Ok(())
        }
        Command::Chaos { minutes, nodes, seed } => chaos::play(minutes, nodes, seed),
        Command::Rollout { nodes, seed } => rollout::play(nodes, seed),
        Command::Fleet { folder, seeds, nodes, beside } => fleet::play(&folder, seeds.max(1), nodes, &beside),
        Command::PlainProxy { listen, servers } => proxy::serve(listen, servers),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("spurdrum-bench: {why}");
            ExitCode::FAILURE
        }
    }
}

fn plan(phase: &str, clients: &str) -> Result<Plan, String> {
    Plan::parse(&format!(
        "{phase}\n[[class]]\nname = \"inventory-update\"\neffect = \"keyed\"\naim_s = 0.4\ndeadline_s = 10\n\
         bytes = [200, 200]\n[[tenant]]\nname = \"inns\"\n{clients}"
    ))
}

fn play(plan: &Plan, target: SocketAddr, closed: Option<(usize, Duration)>) -> Result<Report, String> {
    play_by(1, plan, target, closed)
}

fn play_by(
    threads: usize,
    plan: &Plan,
    target: SocketAddr,
    closed: Option<(usize, Duration)>,
) -> Result<Report, String> {
    let options = Options { target, seed: 1, closed, max_duration: Duration::from_secs(120), threads };
    run(plan, Box::new(Schedule::new(plan, 1).map(Ok)), &options, std::future::pending(), |_| {})
}

// ---- registry

fn follow(servers: &[usize], changes: f64, for_s: f64, faults: bool) -> Result<(), String> {
    let time = Duration::try_from_secs_f64(for_s).map_err(|_| format!("{for_s} is no time"))?;
    println!("From a commit to the node's list, and how late a timer of 1 ms fires on its loop, in ms.");
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
    let plan = plan(phase, "[clients]\nconnections = 8000")?;
    let fleet = Fleet::start(&Scenario::parse(scenario)?)?;
    let started = Instant::now();
    let address = fleet.servers["s0"];
    // The stand-in's clock began when it was started; the schedule's begins now.
    let offset = fleet.elapsed();
    let report = play(&plan, address, None)?;
    let tally = fleet.counters();
    let mut own: Vec<f64> = Schedule::new(&plan, 1)
        .filter_map(|arrival| {
            let runs = tally.ids().get(&format!("{:x}", arrival.id))?;
            let answered = runs.answered_at?.saturating_sub(offset).as_secs_f64() * 1e3;
            Some(answered - arrival.due_us as f64 / 1e3)
        })
        .collect();
    own.sort_by(f64::total_cmp);
    let at = |q: f64| own[((own.len() as f64 * q) as usize).min(own.len() - 1)];
    let fleet = Fleet::start(&Scenario::parse(scenario)?)?;
    let closed = play(&plan, fleet.servers["s0"], Some((8, Duration::from_secs(6))))?;
    println!(
        "1,000 requests a second for 6 s; the stand-in pauses from 2 s to 4 s ({:.1} s in all)",
        started.elapsed().as_secs_f64()
    );
    println!("{:<34}{:>9}{:>10}{:>10}{:>10}", "", "requests", "p50 ms", "p99 ms", "max ms");
    println!(
        "{:<34}{:>9}{:>10.1}{:>10.1}{:>10.1}",
        "stand-in's own clock, from due",
        own.len(),
        at(0.5),
        at(0.99),
        at(1.0)
    );
    for (name, report) in [("open loop, from due", &report), ("closed loop, 8 clients (wrong)", &closed)] {
        let q = &report.all.latency_ms;
        println!("{name:<34}{:>9}{:>10.1}{:>10.1}{:>10.1}", q.count, q.p50, q.p99, q.max);
    }
    let close = |a: f64, b: f64| (a - b).abs() <= 2.0_f64.max(0.01 * b);
    let q = &report.all.latency_ms;
    let agree = close(q.p50, at(0.5)) && close(q.p99, at(0.99)) && close(q.max, at(1.0));
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
    let plan = plan(&phase, "[clients]\nconnections = 2000")?;
    let fleet = Fleet::start(&Scenario::parse(scenario)?)?;
    let before = cpu_of(std::process::id());
    let report = play_by(threads, &plan, fleet.servers["s0"], None)?;
    let cpu = cpu_of(std::process::id()) - before;
    print!("{}", report.table());
    println!("CPU of generator and stand-in together: {cpu:.1} s in {:.1} s", report.seconds);
    Ok(())
}

/// CPU seconds of a process so far.
fn cpu_of(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after = text.rsplit(')').next().unwrap_or_default();
    let ticks =
        |n: usize| after.split_whitespace().nth(n).and_then(|t| t.parse::<f64>().ok()).unwrap_or_default();
    // Fields 14 and 15, user and system, in hundredths of a second.
    (ticks(11) + ticks(12)) / 100.0
}

// ---- versus

struct Plain {
    address: SocketAddr,
    child: Child,
}

impl Plain {
    fn start(fleet: &Fleet) -> Result<Self, String> {
        let address = free_address()?;
        let own = std::env::current_exe().map_err(|e| e.to_string())?;
        let servers = fleet.servers.values().map(ToString::to_string);
        let child = Process::new(own).arg("plain-proxy").arg(address.to_string()).args(servers).spawn();
        let plain = Self { address, child: child.map_err(|e| e.to_string())? };
        let since = Instant::now();
        while std::net::TcpStream::connect(address).is_err() {
            if since.elapsed() > Duration::from_secs(10) {
                return Err("the plain proxy does not listen".into());
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(plain)
    }
}

impl Drop for Plain {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[derive(Clone, Copy, Default)]
struct Figures {
    saturation: f64,
    cpu_us: f64,
    p50: f64,
    p99: f64,
}

fn measure(target: SocketAddr, pid: u32, connections: usize, for_s: f64) -> Result<Figures, String> {
    let phase = |rate: f64| format!("[[phase]]\nfor_s = {for_s}\nshape = \"constant\"\nrate = {rate}\n");
    let clients = format!("[clients]\nconnections = {connections}\nin_flight = 100000");
    let before = cpu_of(pid);
    let closed =
        play(&plan(&phase(1.0), &clients)?, target, Some((connections, Duration::from_secs_f64(for_s))))?;
    let cpu = cpu_of(pid) - before;
    let served = closed.all.counts.in_time + closed.all.counts.late;
    let saturation = served as f64 / for_s;
    // Where few connections bound the rate, a pool of its own size leaves half of it open.
    let open = play(
        &plan(&phase(saturation / 2.0), &format!("[clients]\nconnections = {}", connections * 4))?,
        target,
        None,
    )?;
    let q = open.all.latency_ms;
    Ok(Figures { saturation, cpu_us: cpu * 1e6 / served.max(1) as f64, p50: q.p50, p99: q.p99 })
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
        let mut all = [Vec::new(), Vec::new()];
        for _ in 0..rounds {
            let node = Node::start(&config(&fleet, &["inns"], 4096, 10_000), Stdio::null())?;
            all[0].push(measure(node.address, node.pid(), connections, for_s)?);
            drop(node);
            let plain = Plain::start(&fleet)?;
            all[1].push(measure(plain.address, plain.child.id(), connections, for_s)?);
        }
        for (name, figures) in ["node", "plain proxy"].iter().zip(&all) {
            let median = |of: fn(&Figures) -> f64| {
                let mut values: Vec<f64> = figures.iter().map(of).collect();
                values.sort_by(f64::total_cmp);
                values[values.len() / 2]
            };
            println!(
                "{connections:<12}{name:<14}{:>12.0}{:>14.1}{:>10.2}{:>10.2}",
                median(|f| f.saturation),
                median(|f| f.cpu_us),
                median(|f| f.p50),
                median(|f| f.p99)
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
    println!("6 servers, replaced from 1 s to 6 s; a node starts at 2.5 s with the list of 0 s; 400 requests a second for 14 s");
    println!("Medians of {rounds} rounds, alternating\n");
    println!("{:<36}{:<14}{:>10}{:>14}", "discovery", "node", "goodput", "all well at s");
    for (n, (name, more)) in cases.iter().enumerate() {
        let mut rows = vec![Vec::new(); programs.len()];
        for round in 0..rounds {
            for (row, (_, path)) in rows.iter_mut().zip(programs.iter().flatten()) {
                row.push(restarted(more, path, (n * rounds + round) as u64)?);
            }
        }
        for (row, (node, _)) in rows.iter_mut().zip(programs.iter().flatten()) {
            row.sort_by(|a, b| a.0.total_cmp(&b.0));
            let (goodput, well) = row[row.len() / 2];
            println!("{name:<36}{node:<14}{goodput:>10.3}{well:>14}");
        }
    }
    Ok(())
}

/// Goodput, and the second from the load's start on from which at least 98 % are served in time.
fn restarted(more: &str, path: &std::path::Path, seed: u64) -> Result<(f64, usize), String> {
    let mut scenario = format!("seed = {seed}\n{more}[[servers]]\ncount = 6\nwork_ms = 5\ncold_s = 2\n");
    for n in 0..6 {
        scenario += &format!("[[fault]]\non = \"s{n}\"\nkind = \"replace\"\nat_s = {}\nfor_s = 0.8\n", 1 + n);
        // What has left is gone, whatever the list says.
        scenario += &format!("[[fault]]\non = \"s{n}\"\nkind = \"die\"\nat_s = {}\n", f64::from(1 + n) + 0.9);
    }
    let fleet = Fleet::start(&Scenario::parse(&scenario)?)?;
    let config = config(&fleet, &["inns"], 1024, 10_000);
    std::thread::sleep(Duration::from_millis(2500).saturating_sub(fleet.elapsed()));
    let node = Node::start_program(path, &config, Stdio::null())?;
    let phase = "[[phase]]\nfor_s = 14\nshape = \"constant\"\nrate = 400\n";
    let report = play(&plan(phase, "[clients]\nconnections = 400")?, node.address, None)?;
    let bad = report.per_second.iter().rposition(|s| s.due > 0 && (s.in_time as f64) < 0.98 * s.due as f64);
    Ok((report.all.counts.goodput(), bad.map_or(0, |second| second + 1)))
}
