//! Acceptance tests with many real processes: when nodes must have learned a change after discovery was down, how much all nodes
//! together send to servers in slow start, and how soon restarted processes are ready. The stand-ins' own records are checked.

mod common;

use spurdrum_fleet::history::End;
use spurdrum_fleet::scenario::Scenario;

use common::run_checked;

const CLASS: &str =
    "[[class]]\nname = 'read'\nshare = 1.0\neffect = 'safe'\naim_s = 0.4\ndeadline_s = 3.0\nbytes = [0, 0]\n";

/// Terms 1 and 5. Discovery rejects all calls for eight seconds. Meanwhile two of six servers begin to drain, and half of twelve
/// nodes, whose configuration states 700 nodes, are killed and started again without a list. Six seconds after discovery is back,
/// the draining servers must get nothing new; the restarted processes must be ready at once.
#[test]
fn a_change_during_an_outage_of_discovery_takes_effect_within_six_seconds_of_its_end() {
    let mut scenario = format!(
        "seed = 5\nfor_s = 18\nnodes = 12\ntold = 700\nload = 0.3\nslack_s = 0.6\nsettings = 'retry_least_ms = 1000'\n[catalog]\n{CLASS}\
         [[servers]]\nname = 's'\ncount = 6\ncores = 2\nslots = 2\nqueue = 200\nwork_ms = 30\nwork = 'exponential'\n\
         [[server_fault]]\non = 'catalog'\nkind = 'outage'\nat_s = 1\nfor_s = 8\n\
         [[fault]]\nkind = 'kill'\nnodes = 0.5\nat_s = 3\nfor_s = 0.2\n"
    );
    for n in 0..2 {
        scenario += &format!("[[server_fault]]\non = 's{n}'\nkind = 'drain'\nat_s = 5\nfor_s = 60\n");
    }
    let history = run_checked(&Scenario::parse(&scenario).expect("sound"));
    let drained = |server: usize| history.servers[server].drains_at.is_some();
    let drains_at = history.servers.iter().filter_map(|server| server.drains_at);
    assert_eq!(drains_at.collect::<Vec<_>>(), [9.0, 9.0], "discovery could be read from then on");
    assert!(
        history.attempts.iter().any(|attempt| drained(attempt.server) && attempt.begun > 5.2),
        "the draining servers were still used during the outage"
    );
    assert!(history.attempts.iter().any(|attempt| attempt.begun > 16.0), "the other servers are still used");
    // The requirement is that nine in ten restarted nodes are ready within ten seconds; there are six here, so all must be.
    assert_eq!(history.outages.len(), 6);
    let late = history.outages.iter().filter(|outage| outage.to - outage.from > 0.2 + 10.0).count();
    assert_eq!(late, 0, "{:?}", history.outages);
    let not_restarted = |node: usize| history.outages.iter().all(|outage| outage.node != node);
    let requests: Vec<_> =
        history.requests.iter().filter(|request| not_restarted(request.node) || request.due > 16.0).collect();
    let served = requests.iter().filter(|request| request.end == End::Served).count();
    assert!(served * 20 > requests.len() * 19, "{served} of {}", requests.len());
}

/// Term 3. Four of twelve servers are replaced at once by servers in slow start. Thirty nodes with uneven traffic learn of it at
/// the same time, and together must not overload the new servers.
#[test]
fn thirty_nodes_together_use_servers_in_slow_start_without_overloading_them() {
    let mut scenario = format!(
        "seed = 7\nfor_s = 10\nnodes = 30\nload = 0.75\nslack_s = 2\n[catalog]\n{CLASS}\
         [[servers]]\nname = 's'\ncount = 12\ncores = 1\nslots = 1\nqueue = 40\nwork_ms = 30\nwork = 'exponential'\n\
         cold_from = 0.1\ncold_s = 7\nfall_multiple = 2.0\nfall_s = 1\n"
    );
    for n in 0..4 {
        scenario += &format!("[[server_fault]]\non = 's{n}'\nkind = 'replace'\nat_s = 1.5\nfor_s = 2\n");
    }
    let history = run_checked(&Scenario::parse(&scenario).expect("sound"));
    let slow_starting: Vec<usize> =
        (0..history.servers.len()).filter(|n| history.servers[*n].slow_start.is_some()).collect();
    assert_eq!(slow_starting.len(), 4);
    for server in slow_starting {
        let begun = history.attempts.iter().filter(|attempt| attempt.server == server).count();
        assert!(begun >= 10, "{} is left idle or collapsed: {begun}", history.servers[server].name);
    }
}
