//! The stricter acceptance by many real processes: what counts as told after calls to discovery that tell nothing, cold servers
//! under the sum of what all send, and how soon restarted processes are there. The judge goes by the stand-ins' own record.

mod common;

use spurdrum_fleet::history::End;
use spurdrum_fleet::scenario::Scenario;

use common::kept;

const CLASS: &str =
    "[[class]]\nname = 'read'\nshare = 1.0\neffect = 'safe'\naim_s = 0.4\ndeadline_s = 3.0\nbytes = [0, 0]\n";

/// Terms 1 and 5. Discovery turns all calls away for eight seconds. Meanwhile two of six servers begin to drain, and half of a dozen
/// nodes, who are told that they are 700, are killed and started again, without a list. Six seconds after its return nothing new goes
/// to those two, and the new processes were there at once.
#[test]
fn what_changes_while_discovery_is_down_is_heeded_six_seconds_after_its_return() {
    let mut scenario = format!(
        "seed = 5\nfor_s = 18\nnodes = 12\ntold = 700\nload = 0.3\nslack_s = 0.6\nsettings = 'retry_least_ms = 1000'\n[catalog]\n{CLASS}\
         [[servers]]\nname = 's'\ncount = 6\ncores = 2\nslots = 2\nqueue = 200\nwork_ms = 30\nwork = 'exponential'\n\
         [[server_fault]]\non = 'catalog'\nkind = 'outage'\nat_s = 1\nfor_s = 8\n\
         [[fault]]\nkind = 'kill'\nnodes = 0.5\nat_s = 3\nfor_s = 0.2\n"
    );
    for n in 0..2 {
        scenario += &format!("[[server_fault]]\non = 's{n}'\nkind = 'drain'\nat_s = 5\nfor_s = 60\n");
    }
    let history = kept(&Scenario::parse(&scenario).expect("sound"));
    let drained = |server: usize| history.servers[server].drains_at.is_some();
    let drains_at = history.servers.iter().filter_map(|server| server.drains_at);
    assert_eq!(drains_at.collect::<Vec<_>>(), [9.0, 9.0], "discovery could be asked from then on");
    assert!(
        history.attempts.iter().any(|worked| drained(worked.server) && worked.begun > 5.2),
        "they were used"
    );
    assert!(history.attempts.iter().any(|worked| worked.begun > 16.0), "the others are used on");
    // Nine in ten of those that were started again are ready within ten seconds; here there are six.
    assert_eq!(history.outages.len(), 6);
    let late = history.outages.iter().filter(|away| away.to - away.from > 0.2 + 10.0).count();
    assert_eq!(late, 0, "{:?}", history.outages);
    let stayed = |node: usize| history.outages.iter().all(|away| away.node != node);
    let asked: Vec<_> =
        history.requests.iter().filter(|asked| stayed(asked.node) || asked.due > 16.0).collect();
    let served = asked.iter().filter(|asked| asked.end == End::Served).count();
    assert!(served * 20 > asked.len() * 19, "{served} of {}", asked.len());
}

/// Term 3. Four of twelve servers are replaced by cold ones at once, before thirty nodes of uneven traffic that hear of it together.
#[test]
fn thirty_nodes_together_spare_cold_servers_and_use_them() {
    let mut scenario = format!(
        "seed = 7\nfor_s = 10\nnodes = 30\nload = 0.75\nslack_s = 2\n[catalog]\n{CLASS}\
         [[servers]]\nname = 's'\ncount = 12\ncores = 1\nslots = 1\nqueue = 40\nwork_ms = 30\nwork = 'exponential'\n\
         cold_from = 0.1\ncold_s = 7\nfall_multiple = 2.0\nfall_s = 1\n"
    );
    for n in 0..4 {
        scenario += &format!("[[server_fault]]\non = 's{n}'\nkind = 'replace'\nat_s = 1.5\nfor_s = 2\n");
    }
    let history = kept(&Scenario::parse(&scenario).expect("sound"));
    let cold: Vec<usize> =
        (0..history.servers.len()).filter(|n| history.servers[*n].slow_start.is_some()).collect();
    assert_eq!(cold.len(), 4);
    for server in cold {
        let begun = history.attempts.iter().filter(|worked| worked.server == server).count();
        assert!(begun >= 10, "{} is left idle or fell: {begun}", history.servers[server].name);
    }
}
