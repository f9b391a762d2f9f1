//! Twelve real processes of the program, with faults between them. The assertions on counts have wide margins.

mod common;

use std::collections::BTreeSet;
use std::io::BufRead;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use spurdrum_fleet::figures;
use spurdrum_fleet::history::{End, History};
use spurdrum_fleet::run::run;
use spurdrum_fleet::scenario::Scenario;
use spurdrum_fleet::schedule::chaos;

use common::{options, run_checked, ONE_FLEET};

/// Twelve nodes in front of six servers at half of their capacity, with tolerances that are wide enough for a busy machine.
const FLEET: &str = "seed = 3\nfor_s = 6\nnodes = 12\nload = 0.5\nslack_s = 2\nwindow_ms = 4000\n\
    [[servers]]\nname = 's'\ncount = 6\ncores = 2\nslots = 2\nqueue = 200\nwork_ms = 30\nwork = 'exponential'\n\
    [[class]]\nname = 'update'\nshare = 1.0\neffect = 'keyed'\naim_s = 0.4\ndeadline_s = 3.0\nbytes = [200, 200]\n";

fn scenario(more: &str) -> Scenario {
    Scenario::parse(&format!("{FLEET}{more}")).expect("sound")
}

/// Returns the same scenario with nodes that write traces.
fn traced(scenario: Scenario) -> Scenario {
    Scenario { trace: true, ..scenario }
}

/// Returns the fraction of the requests due in the interval that were served.
fn served(history: &History, from: f64, to: f64) -> f64 {
    let due: Vec<_> = history.requests.iter().filter(|request| (from..to).contains(&request.due)).collect();
    due.iter().filter(|request| request.end == End::Served).count() as f64 / due.len().max(1) as f64
}

/// Returns the number of attempts that the server began in the interval.
fn begun(history: &History, server: &str, from: f64, to: f64) -> usize {
    let within = |at: f64| (from..to).contains(&at);
    let attempts =
        history.attempts.iter().filter(|w| history.servers[w.server].name == server && within(w.begun));
    attempts.count()
}

#[test]
fn nodes_killed_at_the_same_time_are_restarted_and_all_serve_again() {
    let history = run_checked(&scenario("[[fault]]\nkind = 'kill'\nnodes = 0.6\nat_s = 2\nfor_s = 0.5\n"));
    assert_eq!(history.telemetry["nodes"], 12);
    assert_eq!(history.outages.len(), 7);
    assert!(served(&history, 0.0, 1.5) > 0.95 && served(&history, 4.5, 6.0) > 0.9);
    let restarted: Vec<usize> = history.outages.iter().map(|outage| outage.node).collect();
    let by_them = history.requests.iter().filter(|a| a.due > 4.5 && restarted.contains(&a.node)).count();
    assert!(by_them > 50, "{by_them}");
}

#[test]
fn nodes_that_were_stopped_serve_again_when_resumed_at_the_same_time() {
    let history = run_checked(&scenario("[[fault]]\nkind = 'stop'\nnodes = 0.5\nat_s = 1.5\nfor_s = 2\n"));
    assert_eq!(history.outages.len(), 6);
    assert!(served(&history, 5.0, 6.0) > 0.9, "{}", figures::of(&history));
    let least = (0..6).map(|n| begun(&history, &format!("s{n}"), 4.5, 6.0)).min();
    assert!(least > Some(10), "{least:?}");
}

#[test]
fn servers_that_paused_or_died_get_work_again() {
    let history = run_checked(&scenario(
        "[[server_fault]]\non = 's1'\nkind = 'pause'\nat_s = 1\nfor_s = 1.5\n\
         [[server_fault]]\non = 's4'\nkind = 'die'\nat_s = 1\nfor_s = 1.5\n",
    ));
    assert!(
        served(&history, 1.0, 2.5) > 0.5 && served(&history, 4.0, 6.0) > 0.9,
        "{}",
        figures::of(&history)
    );
    for server in ["s1", "s4"] {
        assert!(begun(&history, server, 4.0, 6.0) > 10, "{server} is left idle after its fault");
    }
}

#[test]
fn cut_one_way_and_stalled_links_break_no_rule() {
    let history = run_checked(&scenario(
        "[[fault]]\nkind = 'one_way'\nnodes = 0.5\nservers = 0.34\nat_s = 1\nfor_s = 1.5\n\
         [[fault]]\nkind = 'stall'\nnodes = 0.25\nservers = 0.34\nat_s = 1\nfor_s = 1.5\n\
         [[fault]]\nkind = 'cut'\nnodes = 0.25\nservers = 0.5\nat_s = 2\nfor_s = 1\n",
    ));
    assert!(
        served(&history, 1.0, 3.0) > 0.5 && served(&history, 4.5, 6.0) > 0.9,
        "{}",
        figures::of(&history)
    );
}

#[test]
fn faults_drawn_from_a_seed_break_no_rule() {
    for seed in [11, 12] {
        let base = scenario("");
        let faults = chaos(seed, 4, base.for_s, true);
        println!("seed {seed}: {faults:?}");
        run_checked(&Scenario { seed, faults, ..base });
    }
}

#[test]
fn servers_are_replaced_while_nodes_learn_of_it_at_different_times() {
    let mut more = "[catalog]\ndelay_ms = 200\n\
         [[fault]]\nkind = 'delay'\ncatalog = true\nnodes = 0.5\nat_s = 1\nfor_s = 4\ndelay_ms = 500\n"
        .to_owned();
    for n in 0..3 {
        more += &format!(
            "[[server_fault]]\non = 's{n}'\nkind = 'replace'\nat_s = {}\nfor_s = 2\n",
            1.5 + 0.3 * f64::from(n)
        );
    }
    let history = run_checked(&scenario(&more));
    assert_eq!(history.servers.len(), 9);
    assert!(served(&history, 1.0, 6.0) > 0.8, "{}", figures::of(&history));
    let new = history.attempts.iter().filter(|w| history.servers[w.server].lifetime.0 > 0.0).count();
    assert!(new > 10, "{new} attempts at servers that replaced others");
}

/// Nodes store session bindings on disk. Some are restarted with a torn (half-written) page in the file, some with an older copy of
/// the file; all must start and serve.
#[test]
fn nodes_start_and_serve_with_files_that_are_torn_or_old() {
    let settings = "settings = '''\n[affinity]\nkey = ['query:k']\n[affinity.store]\npath = '{folder}/bindings.redb'\n'''\n";
    let faults = "[[fault]]\nkind = 'torn'\nnodes = 0.5\nat_s = 2\nfor_s = 0.3\n\
        [[fault]]\nkind = 'older'\nnodes = 0.5\nat_s = 1\nfor_s = 2.5\n";
    let history = run_checked(&Scenario::parse(&format!("{settings}{FLEET}{faults}")).expect("sound"));
    assert_eq!(history.outages.len(), 12);
    assert_eq!(history.telemetry["nodes"], 12);
    assert!(served(&history, 4.5, 6.0) > 0.9, "{}", figures::of(&history));
}

/// Nodes store session bindings on disks that fail while they serve: full, slow, unable to sync, or reporting success and losing
/// all writes.
#[test]
fn nodes_keep_serving_while_their_disks_are_full_slow_or_lose_writes() {
    let settings =
        "settings = '''\n[affinity]\nkey = ['query:k']\n[affinity.store]\npath = '{folder}/bindings.redb'\n\
        trial = '{disk}'\nwrite_every_ms = 20\n'''\n";
    let fault = |kind, more| {
        format!("[[fault]]\nkind = 'disk_{kind}'\nnodes = 0.34\nat_s = 1\nfor_s = 2.5\n{more}\n")
    };
    let faults =
        [fault("full", ""), fault("slow", "delay_ms = 300"), fault("unsynced", ""), fault("forgets", "")];
    let history =
        run_checked(&Scenario::parse(&format!("{settings}{FLEET}{}", faults.concat())).expect("sound"));
    assert_eq!(history.outages.len(), 4, "nodes whose disks lost writes were killed");
    assert_eq!(history.telemetry["nodes"], 12, "no disk ends a node");
    assert!(served(&history, 1.0, 3.4) > 0.95 && served(&history, 4.5, 6.0) > 0.9);
}

/// Half of the nodes have lists without a third of the servers for a while. The choices of each node are checked against its own
/// list.
#[test]
fn nodes_with_different_lists_send_nothing_to_servers_missing_from_their_own() {
    let faults = "[[fault]]\nkind = 'lists'\nnodes = 0.5\nservers = 0.34\nat_s = 1.5\nfor_s = 2\n";
    let history = run_checked(&traced(scenario(&format!("[[lean]]\nnodes = 0.2\nshare = 0.4\n{faults}"))));
    let notices: Vec<_> = history.notices.iter().filter(|notice| notice.at > 1.0).collect();
    assert_eq!(
        (notices.len(), history.lost_trace_lines),
        (2 * 6 * 2, 0),
        "six nodes, two servers, removed and added again"
    );
    let missing = |at: f64| (2.0..3.4).contains(&at);
    let gone = |node, server| notices.iter().any(|notice| (notice.node, notice.server) == (node, server));
    assert!(history.choices.iter().all(|c| !(missing(c.at) && gone(c.node, c.server))));
    assert!(
        history.choices.iter().any(|c| c.at > 4.5 && gone(c.node, c.server)),
        "the servers are used again"
    );
    assert!(
        history.choices.len() >= history.attempts.len(),
        "every attempt that a server saw was chosen by a node"
    );
    assert!(served(&history, 1.5, 3.5) > 0.9, "{}", figures::of(&history));
}

/// A third of the servers drain according to the catalog. The traces show when each node learned of it.
#[test]
fn draining_servers_get_nothing_new_from_nodes_that_have_learned_of_it() {
    let mut more = "[catalog]\ndelay_ms = 100\n".to_owned();
    for n in 0..2 {
        more += &format!("[[server_fault]]\non = 's{n}'\nkind = 'drain'\nat_s = 2\n");
    }
    let history = run_checked(&traced(scenario(&more)));
    let learned = history.notices.iter().filter(|notice| notice.at > 1.0 && !notice.ready);
    let learned: BTreeSet<_> = learned.map(|notice| (notice.node, notice.server)).collect();
    assert_eq!(learned.len(), 2 * 12, "each node learned of each drain");
    assert!(history.choices.iter().any(|c| c.at > 4.0) && served(&history, 3.0, 6.0) > 0.9);
}

/// The nodes' configuration states so many nodes that a catalog could not answer all of them at once. One server drains eight times
/// within six seconds, and a third of the nodes are killed and restarted. A node that left its watch for some seconds after each
/// change would learn of only a few of the drains.
#[test]
fn nodes_of_a_large_deployment_learn_of_each_drain_while_others_are_killed() {
    let mut more =
        "[catalog]\ndelay_ms = 20\n[[fault]]\nkind = 'kill'\nnodes = 0.34\nat_s = 4.3\nfor_s = 0.3\n"
            .to_owned();
    for n in 0..8 {
        let at = 2.0 + 0.7 * f64::from(n);
        more += &format!("[[server_fault]]\non = 's0'\nkind = 'drain'\nat_s = {at:.1}\nfor_s = 0.35\n");
    }
    let large = Scenario { told: Some(20_000), for_s: 8.0, ..scenario(&more) };
    let history = run_checked(&traced(large));
    let killed: BTreeSet<_> = history.outages.iter().map(|outage| outage.node).collect();
    assert_eq!(killed.len(), 4);
    for node in (0..12).filter(|node| !killed.contains(node)) {
        let learned = history.notices.iter().filter(|notice| notice.node == node && !notice.ready).count();
        assert!(learned >= 6, "n{node} learned of {learned} of 8");
    }
    assert!(served(&history, 2.0, 8.0) > 0.9, "{}", figures::of(&history));
}

#[test]
fn a_node_that_does_not_start_ends_the_run_with_its_name_and_the_end_of_its_log() {
    let _one_fleet = ONE_FLEET.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    // Nodes reject this setting and exit.
    let wrong = Scenario { window_ms: -1.0, ..scenario("") };
    let why = run(&wrong, &options()).expect_err("the node does not start");
    assert!(why.starts_with("n0 ended: exit status: 1; the last lines of its log:\n"), "{why}");
    assert!(why.contains("window_ms"), "{why}");
}

#[test]
fn no_process_is_left_running_when_the_rig_is_killed() {
    let _one_fleet = ONE_FLEET.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let program = spurdrum_harness::program().expect("the program is built");
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("killed-rig.toml");
    std::fs::write(&file, FLEET.replace("for_s = 6", "for_s = 600")).expect("written");
    let mut rig = Command::new(env!("CARGO_BIN_EXE_spurdrum-fleet"))
        .args(["run", "--nodes", "3", "--program"])
        .args([&program, &file])
        .stdout(Stdio::piped())
        .spawn()
        .expect("starts");
    let mut lines = std::io::BufReader::new(rig.stdout.take().expect("piped")).lines();
    let line = lines.next().expect("prints the addresses").expect("reads");
    let nodes: Vec<SocketAddr> = line.split(' ').filter_map(|word| word.parse().ok()).collect();
    assert_eq!(nodes.len(), 3, "{line}");
    assert!(nodes.iter().all(|node| TcpStream::connect(node).is_ok()));
    rig.kill().expect("was running");
    rig.wait().expect("ended");
    let since = Instant::now();
    while nodes.iter().any(|node| TcpStream::connect(node).is_ok()) {
        assert!(since.elapsed() < Duration::from_secs(20), "a node outlives the rig");
        std::thread::sleep(Duration::from_millis(10));
    }
}
