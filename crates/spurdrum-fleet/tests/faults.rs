//! A dozen real processes of the program, with faults between them. Verdicts are counts with wide margins.

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

use common::{kept, options, ALONE};

/// Twelve nodes before six servers at half of what those can do; time enough for a busy machine.
const FLEET: &str = "seed = 3\nfor_s = 6\nnodes = 12\nload = 0.5\nslack_s = 2\nwindow_ms = 4000\n\
    [[servers]]\nname = 's'\ncount = 6\ncores = 2\nslots = 2\nqueue = 200\nwork_ms = 30\nwork = 'exponential'\n\
    [[class]]\nname = 'update'\nshare = 1.0\neffect = 'keyed'\naim_s = 0.4\ndeadline_s = 3.0\nbytes = [200, 200]\n";

fn scenario(more: &str) -> Scenario {
    Scenario::parse(&format!("{FLEET}{more}")).expect("sound")
}

/// The same with nodes that note what they choose.
fn traced(scenario: Scenario) -> Scenario {
    Scenario { trace: true, ..scenario }
}

fn served(history: &History, from: f64, to: f64) -> f64 {
    let due: Vec<_> = history.requests.iter().filter(|asked| (from..to).contains(&asked.due)).collect();
    due.iter().filter(|asked| asked.end == End::Served).count() as f64 / due.len().max(1) as f64
}

fn begun(history: &History, server: &str, from: f64, to: f64) -> usize {
    let within = |at: f64| (from..to).contains(&at);
    let seen =
        history.attempts.iter().filter(|w| history.servers[w.server].name == server && within(w.begun));
    seen.count()
}

#[test]
fn nodes_killed_at_once_come_back_and_all_serve_again() {
    let history = kept(&scenario("[[fault]]\nkind = 'kill'\nnodes = 0.6\nat_s = 2\nfor_s = 0.5\n"));
    assert_eq!(history.telemetry["nodes"], 12);
    assert_eq!(history.outages.len(), 7);
    assert!(served(&history, 0.0, 1.5) > 0.95 && served(&history, 4.5, 6.0) > 0.9);
    let back: Vec<usize> = history.outages.iter().map(|away| away.node).collect();
    let by_them = history.requests.iter().filter(|a| a.due > 4.5 && back.contains(&a.node)).count();
    assert!(by_them > 50, "{by_them}");
}

#[test]
fn nodes_that_were_stopped_go_on_in_the_same_instant() {
    let history = kept(&scenario("[[fault]]\nkind = 'stop'\nnodes = 0.5\nat_s = 1.5\nfor_s = 2\n"));
    assert_eq!(history.outages.len(), 6);
    assert!(served(&history, 5.0, 6.0) > 0.9, "{}", figures::of(&history));
    let least = (0..6).map(|n| begun(&history, &format!("s{n}"), 4.5, 6.0)).min();
    assert!(least > Some(10), "{least:?}");
}

#[test]
fn servers_that_stall_and_servers_that_err_get_work_again() {
    let history = kept(&scenario(
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
fn links_that_are_cut_one_way_and_stalled_break_no_rule() {
    let history = kept(&scenario(
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
        kept(&Scenario { seed, faults, ..base });
    }
}

#[test]
fn servers_are_replaced_while_lists_reach_nodes_at_different_times() {
    let mut more = "[catalog]\ndelay_ms = 200\n\
         [[fault]]\nkind = 'delay'\ncatalog = true\nnodes = 0.5\nat_s = 1\nfor_s = 4\ndelay_ms = 500\n"
        .to_owned();
    for n in 0..3 {
        more += &format!(
            "[[server_fault]]\non = 's{n}'\nkind = 'replace'\nat_s = {}\nfor_s = 2\n",
            1.5 + 0.3 * f64::from(n)
        );
    }
    let history = kept(&scenario(&more));
    assert_eq!(history.servers.len(), 9);
    assert!(served(&history, 1.0, 6.0) > 0.8, "{}", figures::of(&history));
    let new = history.attempts.iter().filter(|w| history.servers[w.server].lifetime.0 > 0.0).count();
    assert!(new > 10, "{new} at servers that replaced others");
}

/// Nodes that keep bindings on a disk: some start with a file of which a page was written by half, some with an older one.
#[test]
fn nodes_start_and_serve_with_files_that_are_torn_or_old() {
    let settings = "settings = '''\n[affinity]\nkey = ['query:k']\n[affinity.store]\npath = '{folder}/bindings.redb'\n'''\n";
    let faults = "[[fault]]\nkind = 'torn'\nnodes = 0.5\nat_s = 2\nfor_s = 0.3\n\
        [[fault]]\nkind = 'older'\nnodes = 0.5\nat_s = 1\nfor_s = 2.5\n";
    let history = kept(&Scenario::parse(&format!("{settings}{FLEET}{faults}")).expect("sound"));
    assert_eq!(history.outages.len(), 12);
    assert_eq!(history.telemetry["nodes"], 12);
    assert!(served(&history, 4.5, 6.0) > 0.9, "{}", figures::of(&history));
}

/// Nodes that keep bindings on disks that fail while they serve: full, slow, without sync, or saying yes and keeping nothing.
#[test]
fn nodes_serve_on_while_their_disks_are_full_slow_or_lie() {
    let settings =
        "settings = '''\n[affinity]\nkey = ['query:k']\n[affinity.store]\npath = '{folder}/bindings.redb'\n\
        trial = '{disk}'\nwrite_every_ms = 20\n'''\n";
    let fault = |kind, more| {
        format!("[[fault]]\nkind = 'disk_{kind}'\nnodes = 0.34\nat_s = 1\nfor_s = 2.5\n{more}\n")
    };
    let faults =
        [fault("full", ""), fault("slow", "delay_ms = 300"), fault("unsynced", ""), fault("forgets", "")];
    let history = kept(&Scenario::parse(&format!("{settings}{FLEET}{}", faults.concat())).expect("sound"));
    assert_eq!(history.outages.len(), 4, "those that forgot were killed");
    assert_eq!(history.telemetry["nodes"], 12, "no disk ends a node");
    assert!(served(&history, 1.0, 3.4) > 0.95 && served(&history, 4.5, 6.0) > 0.9);
}

/// Half of the nodes lack a third of the servers for a while. What each chose is judged by what it was told itself.
#[test]
fn nodes_whose_lists_differ_send_nothing_where_they_were_told_not_to() {
    let faults = "[[fault]]\nkind = 'lists'\nnodes = 0.5\nservers = 0.34\nat_s = 1.5\nfor_s = 2\n";
    let history = kept(&traced(scenario(&format!("[[lean]]\nnodes = 0.2\nshare = 0.4\n{faults}"))));
    let told: Vec<_> = history.notices.iter().filter(|told| told.at > 1.0).collect();
    assert_eq!(
        (told.len(), history.lost_trace_lines),
        (2 * 6 * 2, 0),
        "six nodes, two servers, gone and back"
    );
    let without = |at: f64| (2.0..3.4).contains(&at);
    let gone = |node, server| told.iter().any(|told| (told.node, told.server) == (node, server));
    assert!(history.choices.iter().all(|c| !(without(c.at) && gone(c.node, c.server))));
    assert!(history.choices.iter().any(|c| c.at > 4.5 && gone(c.node, c.server)), "they are used again");
    assert!(history.choices.len() >= history.attempts.len(), "all that servers saw was chosen");
    assert!(served(&history, 1.5, 3.5) > 0.9, "{}", figures::of(&history));
}

/// A third of the servers drains, as the catalog has it. Traces tell when each node heard of it.
#[test]
fn servers_that_drain_get_nothing_new_from_any_node_that_was_told() {
    let mut more = "[catalog]\ndelay_ms = 100\n".to_owned();
    for n in 0..2 {
        more += &format!("[[server_fault]]\non = 's{n}'\nkind = 'drain'\nat_s = 2\n");
    }
    let history = kept(&traced(scenario(&more)));
    let heard = history.notices.iter().filter(|told| told.at > 1.0 && !told.ready);
    let heard: BTreeSet<_> = heard.map(|told| (told.node, told.server)).collect();
    assert_eq!(heard.len(), 2 * 12, "each node heard of each");
    assert!(history.choices.iter().any(|c| c.at > 4.0) && served(&history, 3.0, 6.0) > 0.9);
}

/// Nodes that are told of so many that a catalog could not answer all at once, while one server drains eight times within six seconds
/// and a third of the nodes is killed and started again. Who leaves its watch for some seconds after news hears of a few of them.
#[test]
fn nodes_of_a_crowd_hear_of_each_drain_while_others_are_killed() {
    let mut more =
        "[catalog]\ndelay_ms = 20\n[[fault]]\nkind = 'kill'\nnodes = 0.34\nat_s = 4.3\nfor_s = 0.3\n"
            .to_owned();
    for n in 0..8 {
        let at = 2.0 + 0.7 * f64::from(n);
        more += &format!("[[server_fault]]\non = 's0'\nkind = 'drain'\nat_s = {at:.1}\nfor_s = 0.35\n");
    }
    let crowd = Scenario { told: Some(20_000), for_s: 8.0, ..scenario(&more) };
    let history = kept(&traced(crowd));
    let killed: BTreeSet<_> = history.outages.iter().map(|away| away.node).collect();
    assert_eq!(killed.len(), 4);
    for node in (0..12).filter(|node| !killed.contains(node)) {
        let heard = history.notices.iter().filter(|told| told.node == node && !told.ready).count();
        assert!(heard >= 6, "n{node} heard of {heard} of 8");
    }
    assert!(served(&history, 2.0, 8.0) > 0.9, "{}", figures::of(&history));
}

#[test]
fn a_node_that_does_not_come_up_ends_the_run_with_its_name_and_last_lines() {
    let _alone = ALONE.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    // Nodes turn the setting down.
    let wrong = Scenario { window_ms: -1.0, ..scenario("") };
    let why = run(&wrong, &options()).expect_err("does not come up");
    assert!(why.starts_with("n0 ended: exit status: 1; the last lines of its log:\n"), "{why}");
    assert!(why.contains("window_ms"), "{why}");
}

#[test]
fn nothing_is_left_running_when_the_rig_is_killed() {
    let _alone = ALONE.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
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
    let said = lines.next().expect("says that it plays").expect("reads");
    let nodes: Vec<SocketAddr> = said.split(' ').filter_map(|word| word.parse().ok()).collect();
    assert_eq!(nodes.len(), 3, "{said}");
    assert!(nodes.iter().all(|node| TcpStream::connect(node).is_ok()));
    rig.kill().expect("was running");
    rig.wait().expect("ended");
    let since = Instant::now();
    while nodes.iter().any(|node| TcpStream::connect(node).is_ok()) {
        assert!(since.elapsed() < Duration::from_secs(20), "a node outlives its rig");
        std::thread::sleep(Duration::from_millis(10));
    }
}
