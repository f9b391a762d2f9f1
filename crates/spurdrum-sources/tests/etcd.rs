//! Tests of the registry follower and the etcd client over sockets, against a stand-in cluster with injected
//! faults.

#[path = "common/signed.rs"]
mod signed;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use signed::signed;
use spurdrum_sources::follower::Freshness;
use spurdrum_sources::registry::etcd::{Cluster, Etcd};
use spurdrum_sources::registry::follower::{Change, Counts, Note, Settings, Value};
use spurdrum_sources::registry::shell::{RegistryEvent, Shell};
use spurdrum_sources::registry::tls::Tls;
use spurdrum_standin::registry::etcd::Etcd as StandIn;
use tokio::sync::Notify;
use tokio::task::LocalSet;
use tokio::time::timeout;

/// Time limit of each wait: far longer than any step takes, even on a busy machine.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// What a node has been notified of, and the copy that follows from it.
#[derive(Default)]
struct Observed {
    copy: BTreeMap<Vec<u8>, Vec<u8>>,
    changes: Vec<Change>,
    notes: Vec<Note>,
    freshness: Option<Freshness>,
}

struct Harness {
    cluster: StandIn,
    shell: Rc<Shell<Etcd>>,
    observed: Rc<RefCell<Observed>>,
    notified: Rc<Notify>,
}

impl Harness {
    async fn until(&self, what: &str, condition: impl Fn(&Observed, &Shell<Etcd>) -> bool) {
        let wait = async {
            while !condition(&self.observed.borrow(), &self.shell) {
                // Some conditions become true without an event.
                let _ = timeout(Duration::from_millis(20), self.notified.notified()).await;
            }
        };
        assert!(timeout(WAIT_LIMIT, wait).await.is_ok(), "{what}: {:?}", self.shell.status());
    }

    async fn until_in_sync(&self, what: &str) {
        let state = self.cluster.with(|registry| registry.state(registry.revision()));
        self.until(what, |observed, shell| observed.copy == state && shell.status().0 == Freshness::Fresh)
            .await;
    }

    fn counts(&self) -> Counts {
        self.shell.status().3
    }
}

fn key(n: usize) -> String {
    format!("/servers/{n}")
}

/// Runs a test with a node that follows a cluster with this many endpoints and ten keys.
fn run<F: std::future::Future<Output = ()>>(
    endpoints: usize,
    user: Option<(&str, &str)>,
    test: impl FnOnce(Harness) -> F,
) {
    run_with(StandIn::start(endpoints, user).expect("started"), user, None, test);
}

fn run_with<F: std::future::Future<Output = ()>>(
    cluster: StandIn,
    user: Option<(&str, &str)>,
    tls: Option<Tls>,
    test: impl FnOnce(Harness) -> F,
) {
    let endpoints = cluster.endpoints.len();
    cluster.with(|registry| {
        for n in 0..10 {
            registry.put(&key(n), "1");
        }
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async move {
        let config = Cluster {
            endpoints: cluster.uris(),
            prefix: b"/servers/".to_vec(),
            credentials: user.map(|(name, password)| (name.to_owned(), password.to_owned())),
            tls,
        };
        let ms = Duration::from_millis;
        let settings =
            Settings { endpoints, page_size: 3, revision_check_interval: ms(200), ..Settings::default() };
        let shell =
            Shell::new(Etcd::new(config).expect("valid settings"), settings, 5).expect("valid settings");
        let observed = Rc::new(RefCell::new(Observed::default()));
        let notified = Rc::new(Notify::new());
        let (sink, notify) = (Rc::clone(&observed), Rc::clone(&notified));
        let follower_task = tokio::task::spawn_local(Rc::clone(&shell).follow(move |event| {
            let mut observed = sink.borrow_mut();
            match event {
                RegistryEvent::Change(change) => {
                    for key in &change.deleted {
                        assert!(
                            observed.copy.remove(key).is_some(),
                            "a deleted key must have been in the copy"
                        );
                    }
                    for entry in &change.put {
                        let Value::Whole(value) = &entry.value else { panic!("{entry:?}") };
                        let previous = observed.copy.insert(entry.key.clone(), value.clone());
                        assert!(
                            !change.from_full_read || previous.as_ref() != Some(value),
                            "a full read must not report known values"
                        );
                    }
                    observed.changes.push(change);
                }
                RegistryEvent::FreshnessChanged { to, .. } => observed.freshness = Some(to),
                RegistryEvent::Note(note) => observed.notes.push(note),
            }
            notify.notify_one();
        }));
        let harness = Harness { cluster, shell, observed, notified };
        harness.until_in_sync("the start").await;
        test(harness).await;
        follower_task.abort();
    });
}

#[test]
fn changes_arrive_despite_lost_streams_compactions_and_fragments() {
    run(3, None, |harness| async move {
        for round in 0..20 {
            for endpoint in 0..3 {
                harness.cluster.break_streams(endpoint);
            }
            harness.cluster.with(|registry| {
                // One transaction that is longer than a fragment.
                let put = (0..250).map(|n| (key(n).into_bytes(), Some(format!("{round}").into_bytes()), 0));
                registry.commit(&put.collect::<Vec<_>>());
                registry.delete(&key(round));
                registry.compact(registry.revision());
            });
            harness.until_in_sync("a round").await;
        }
        assert!(harness.counts().compactions > 0, "{:?}", harness.counts());
        assert!(harness.observed.borrow().notes.contains(&Note::Compacted));
        let in_one_change = |change: &&Change| change.put.len() >= 249 && !change.from_full_read;
        // A connected node receives a transaction as one change.
        harness.cluster.with(|registry| {
            let put = (0..250).map(|n| (key(n).into_bytes(), Some(b"last".to_vec()), 0));
            registry.commit(&put.collect::<Vec<_>>())
        });
        harness.until_in_sync("a transaction").await;
        assert!(harness.observed.borrow().changes.iter().rev().take(2).any(|change| in_one_change(&change)));
    });
}

#[test]
fn a_silent_endpoint_is_replaced_by_another() {
    run(2, None, |harness| async move {
        harness.cluster.pause(0, true);
        harness.cluster.with(|registry| registry.put(&key(0), "changed"));
        harness
            .until("the other endpoint", |observed, _| observed.copy[key(0).as_bytes()] == b"changed")
            .await;
        harness.cluster.pause(0, false);
        harness.until_in_sync("the end").await;
        assert!(harness.counts().timed_out > 0 || harness.counts().calls[1] > 1, "{:?}", harness.counts());
    });
}

#[test]
fn a_partitioned_member_is_replaced_although_it_answers() {
    run(2, None, |harness| async move {
        harness.cluster.cut(0, true);
        harness.cluster.with(|registry| registry.put(&key(0), "changed"));
        harness
            .until("the other endpoint", |observed, _| observed.copy[key(0).as_bytes()] == b"changed")
            .await;
        assert!(harness.counts().behind > 0, "{:?}", harness.counts());
        harness.cluster.cut(0, false);
        harness.until_in_sync("the end").await;
    });
}

#[test]
fn a_lagging_endpoint_never_moves_the_copy_back() {
    run(2, None, |harness| async move {
        harness.cluster.lag(1, Duration::from_millis(100));
        for round in 0..10 {
            harness.cluster.with(|registry| registry.put(&key(0), &format!("{round}")));
            harness.cluster.break_streams(round % 2);
            harness.until_in_sync("a round").await;
        }
        let observed = harness.observed.borrow();
        let revisions: Vec<u64> = observed.changes.iter().map(|change| change.revision).collect();
        assert!(revisions.is_sorted(), "{revisions:?}");
    });
}

#[test]
fn the_keys_of_a_revoked_lease_are_deleted_in_one_change() {
    run(1, None, |harness| async move {
        let lease = harness.cluster.with(|registry| {
            let lease = registry.grant(0, WAIT_LIMIT, Duration::ZERO).expect("granted");
            let put = (20..23).map(|n| (key(n).into_bytes(), Some(b"leased".to_vec()), lease));
            registry.commit(&put.collect::<Vec<_>>());
            lease
        });
        harness.until_in_sync("the lease").await;
        assert!(harness.cluster.with(|registry| registry.revoke(lease)));
        harness.until_in_sync("its end").await;
        assert_eq!(harness.observed.borrow().changes.last().expect("one").deleted.len(), 3);
    });
}

#[test]
fn an_expired_token_is_renewed() {
    run(2, Some(("node", "secret")), |harness| async move {
        harness.cluster.forget_tokens();
        harness.cluster.break_streams(0);
        harness.cluster.break_streams(1);
        harness.cluster.with(|registry| registry.put(&key(0), "changed"));
        harness.until_in_sync("a new token").await;
        assert!(harness.counts().failed > 1, "{:?}", harness.counts());
    });
}

#[test]
fn a_cluster_and_the_node_verify_each_other() {
    let (server_ca, certificate, key) = signed("registry.test");
    let (client_ca, node_certificate, node_key) = signed("node.test");
    let cluster = StandIn::start_tls(2, &certificate, &key, &client_ca).expect("started");
    let tls = Tls {
        ca: server_ca.into_bytes(),
        identity: Some((node_certificate.into_bytes(), node_key.into_bytes())),
        server_name: Some("registry.test".into()),
    };
    run_with(cluster, None, Some(tls), |harness| async move {
        harness.cluster.break_streams(0);
        harness.cluster.with(|registry| registry.put("/servers/1", "changed"));
        harness.until_in_sync("a change").await;
    });
}

#[test]
fn a_cluster_that_cannot_be_verified_or_rejects_the_node_is_not_followed() {
    let (server_ca, certificate, key) = signed("registry.test");
    let (client_ca, node_certificate, node_key) = signed("node.test");
    let (other_ca, unknown_certificate, unknown_key) = signed("node.test");
    let identity = |pem: &str, key: &str| Some((pem.as_bytes().to_vec(), key.as_bytes().to_vec()));
    let cases = [
        ("another authority", other_ca, "registry.test", identity(&node_certificate, &node_key)),
        ("another name", server_ca.clone(), "other.test", identity(&node_certificate, &node_key)),
        ("no certificate", server_ca.clone(), "registry.test", None),
        ("an unknown certificate", server_ca, "registry.test", identity(&unknown_certificate, &unknown_key)),
    ];
    let cluster = StandIn::start_tls(1, &certificate, &key, &client_ca).expect("started");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    for (case, ca, name, identity) in cases {
        let tls = Some(Tls { ca: ca.into_bytes(), identity, server_name: Some(name.into()) });
        let config = Cluster { endpoints: cluster.uris(), prefix: b"/".to_vec(), credentials: None, tls };
        LocalSet::new().block_on(&runtime, async {
            let shell = Shell::new(Etcd::new(config).expect("valid settings"), Settings::default(), 5)
                .expect("valid settings");
            let follower_task = tokio::task::spawn_local(Rc::clone(&shell).follow(|_| {}));
            let rejected = async {
                while shell.status().3.failed < 3 {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            };
            assert!(timeout(WAIT_LIMIT, rejected).await.is_ok(), "{case}: {:?}", shell.status());
            assert_eq!(shell.status().2, None, "{case}");
            follower_task.abort();
        });
    }
}
