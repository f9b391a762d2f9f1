//! The follower on sockets, before a stand-in cluster with the faults that clusters have.

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

/// Longer than anything that a test waits for takes, however busy the machine.
const LONG: Duration = Duration::from_secs(60);

/// What a node has heard.
#[derive(Default)]
struct Heard {
    copy: BTreeMap<Vec<u8>, Vec<u8>>,
    changes: Vec<Change>,
    notes: Vec<Note>,
    view: Option<Freshness>,
}

struct Played {
    cluster: StandIn,
    etcd: Rc<Shell<Etcd>>,
    heard: Rc<RefCell<Heard>>,
    told: Rc<Notify>,
}

impl Played {
    async fn until(&self, what: &str, so: impl Fn(&Heard, &Shell<Etcd>) -> bool) {
        let is_so = async {
            while !so(&self.heard.borrow(), &self.etcd) {
                // Some of what is waited for is no news.
                let _ = timeout(Duration::from_millis(20), self.told.notified()).await;
            }
        };
        assert!(timeout(LONG, is_so).await.is_ok(), "{what}: {:?}", self.etcd.status());
    }

    async fn same(&self, what: &str) {
        let state = self.cluster.with(|registry| registry.state(registry.revision()));
        self.until(what, |heard, etcd| heard.copy == state && etcd.status().0 == Freshness::Fresh).await;
    }

    fn counts(&self) -> Counts {
        self.etcd.status().3
    }
}

fn key(n: usize) -> String {
    format!("/servers/{n}")
}

/// Plays with a node that follows a cluster of so many endpoints and ten keys.
fn play<F: std::future::Future<Output = ()>>(
    endpoints: usize,
    user: Option<(&str, &str)>,
    act: impl FnOnce(Played) -> F,
) {
    play_with(StandIn::start(endpoints, user).expect("started"), user, None, act);
}

fn play_with<F: std::future::Future<Output = ()>>(
    cluster: StandIn,
    user: Option<(&str, &str)>,
    tls: Option<Tls>,
    act: impl FnOnce(Played) -> F,
) {
    let endpoints = cluster.endpoints.len();
    cluster.with(|registry| {
        for n in 0..10 {
            registry.put(&key(n), "1");
        }
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async move {
        let place = Cluster {
            endpoints: cluster.uris(),
            prefix: b"/servers/".to_vec(),
            credentials: user.map(|(name, password)| (name.to_owned(), password.to_owned())),
            tls,
        };
        let ms = Duration::from_millis;
        let settings =
            Settings { endpoints, page_size: 3, revision_check_interval: ms(200), ..Settings::default() };
        let etcd = Shell::new(Etcd::new(place).expect("sound"), settings, 5).expect("sound settings");
        let heard = Rc::new(RefCell::new(Heard::default()));
        let told = Rc::new(Notify::new());
        let (to, tell) = (Rc::clone(&heard), Rc::clone(&told));
        let following = tokio::task::spawn_local(Rc::clone(&etcd).follow(move |news| {
            let mut heard = to.borrow_mut();
            match news {
                RegistryEvent::Change(change) => {
                    for gone in &change.deleted {
                        assert!(heard.copy.remove(gone).is_some(), "what goes was there");
                    }
                    for entry in &change.put {
                        let Value::Whole(value) = &entry.value else { panic!("{entry:?}") };
                        let before = heard.copy.insert(entry.key.clone(), value.clone());
                        assert!(
                            !change.from_full_read || before.as_ref() != Some(value),
                            "what is known is not told"
                        );
                    }
                    heard.changes.push(change);
                }
                RegistryEvent::FreshnessChanged { to, .. } => heard.view = Some(to),
                RegistryEvent::Note(note) => heard.notes.push(note),
            }
            tell.notify_one();
        }));
        let played = Played { cluster, etcd, heard, told };
        played.same("the start").await;
        act(played).await;
        following.abort();
    });
}

#[test]
fn changes_arrive_through_breaks_compactions_and_pieces() {
    play(3, None, |played| async move {
        for round in 0..20 {
            for endpoint in 0..3 {
                played.cluster.break_streams(endpoint);
            }
            played.cluster.with(|registry| {
                // One transaction that is longer than a piece.
                let put = (0..250).map(|n| (key(n).into_bytes(), Some(format!("{round}").into_bytes()), 0));
                registry.commit(&put.collect::<Vec<_>>());
                registry.delete(&key(round));
                registry.compact(registry.revision());
            });
            played.same("a round").await;
        }
        assert!(played.counts().compactions > 0, "{:?}", played.counts());
        assert!(played.heard.borrow().notes.contains(&Note::Compacted));
        let whole = |change: &&Change| change.put.len() >= 249 && !change.from_full_read;
        // A connected node has a transaction as one change.
        played.cluster.with(|registry| {
            let put = (0..250).map(|n| (key(n).into_bytes(), Some(b"last".to_vec()), 0));
            registry.commit(&put.collect::<Vec<_>>())
        });
        played.same("a transaction").await;
        assert!(played.heard.borrow().changes.iter().rev().take(2).any(|change| whole(&change)));
    });
}

#[test]
fn a_silent_endpoint_is_left_for_another() {
    play(2, None, |played| async move {
        played.cluster.pause(0, true);
        played.cluster.with(|registry| registry.put(&key(0), "changed"));
        played.until("the other endpoint", |heard, _| heard.copy[key(0).as_bytes()] == b"changed").await;
        played.cluster.pause(0, false);
        played.same("the end").await;
        assert!(played.counts().timed_out > 0 || played.counts().calls[1] > 1, "{:?}", played.counts());
    });
}

#[test]
fn a_member_that_is_cut_off_is_left_though_it_answers() {
    play(2, None, |played| async move {
        played.cluster.cut(0, true);
        played.cluster.with(|registry| registry.put(&key(0), "changed"));
        played.until("the other endpoint", |heard, _| heard.copy[key(0).as_bytes()] == b"changed").await;
        assert!(played.counts().behind > 0, "{:?}", played.counts());
        played.cluster.cut(0, false);
        played.same("the end").await;
    });
}

#[test]
fn a_lagging_endpoint_never_sets_the_copy_back() {
    play(2, None, |played| async move {
        played.cluster.lag(1, Duration::from_millis(100));
        for round in 0..10 {
            played.cluster.with(|registry| registry.put(&key(0), &format!("{round}")));
            played.cluster.break_streams(round % 2);
            played.same("a round").await;
        }
        let heard = played.heard.borrow();
        let revisions: Vec<u64> = heard.changes.iter().map(|change| change.revision).collect();
        assert!(revisions.is_sorted(), "{revisions:?}");
    });
}

#[test]
fn keys_go_with_their_lease_in_one_change() {
    play(1, None, |played| async move {
        let lease = played.cluster.with(|registry| {
            let lease = registry.grant(0, LONG, Duration::ZERO).expect("granted");
            let put = (20..23).map(|n| (key(n).into_bytes(), Some(b"leased".to_vec()), lease));
            registry.commit(&put.collect::<Vec<_>>());
            lease
        });
        played.same("the lease").await;
        assert!(played.cluster.with(|registry| registry.revoke(lease)));
        played.same("its end").await;
        assert_eq!(played.heard.borrow().changes.last().expect("one").deleted.len(), 3);
    });
}

#[test]
fn a_token_that_has_run_out_is_renewed() {
    play(2, Some(("node", "secret")), |played| async move {
        played.cluster.forget_tokens();
        played.cluster.break_streams(0);
        played.cluster.break_streams(1);
        played.cluster.with(|registry| registry.put(&key(0), "changed"));
        played.same("a new token").await;
        assert!(played.counts().failed > 1, "{:?}", played.counts());
    });
}

#[test]
fn a_cluster_is_verified_and_is_shown_who_asks() {
    let (server_ca, certificate, key) = signed("registry.test");
    let (client_ca, own, own_key) = signed("node.test");
    let cluster = StandIn::start_tls(2, &certificate, &key, &client_ca).expect("started");
    let tls = Tls {
        ca: server_ca.into_bytes(),
        identity: Some((own.into_bytes(), own_key.into_bytes())),
        server_name: Some("registry.test".into()),
    };
    play_with(cluster, None, Some(tls), |played| async move {
        played.cluster.break_streams(0);
        played.cluster.with(|registry| registry.put("/servers/1", "changed"));
        played.same("a change").await;
    });
}

#[test]
fn a_cluster_that_is_another_or_does_not_know_the_node_is_not_followed() {
    let (server_ca, certificate, key) = signed("registry.test");
    let (client_ca, own, own_key) = signed("node.test");
    let (other_ca, stranger, stranger_key) = signed("node.test");
    let identity = |pem: &str, key: &str| Some((pem.as_bytes().to_vec(), key.as_bytes().to_vec()));
    let cases = [
        ("another authority", other_ca, "registry.test", identity(&own, &own_key)),
        ("another name", server_ca.clone(), "other.test", identity(&own, &own_key)),
        ("no certificate", server_ca.clone(), "registry.test", None),
        ("an unknown certificate", server_ca, "registry.test", identity(&stranger, &stranger_key)),
    ];
    let cluster = StandIn::start_tls(1, &certificate, &key, &client_ca).expect("started");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    for (what, ca, name, identity) in cases {
        let tls = Some(Tls { ca: ca.into_bytes(), identity, server_name: Some(name.into()) });
        let place = Cluster { endpoints: cluster.uris(), prefix: b"/".to_vec(), credentials: None, tls };
        LocalSet::new().block_on(&runtime, async {
            let shell = Shell::new(Etcd::new(place).expect("sound"), Settings::default(), 5).expect("sound");
            let following = tokio::task::spawn_local(Rc::clone(&shell).follow(|_| {}));
            let refused = async {
                while shell.status().3.failed < 3 {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            };
            assert!(timeout(LONG, refused).await.is_ok(), "{what}: {:?}", shell.status());
            assert_eq!(shell.status().2, None, "{what}");
            following.abort();
        });
    }
}
