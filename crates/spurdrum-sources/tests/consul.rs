//! Tests of the registry follower and the Consul client over sockets, against a stand-in agent with injected
//! faults.

#[path = "common/signed.rs"]
mod signed;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use spurdrum_sources::follower::Freshness;
use spurdrum_sources::registry::consul::{Consul, Service};
use spurdrum_sources::registry::follower::{Interface, Settings};
use spurdrum_sources::registry::schema::{Mapper, Schema};
use spurdrum_sources::registry::shell::{RegistryEvent, Shell};
use spurdrum_sources::registry::tls::Tls;
use spurdrum_sources::{Member, Phase};
use spurdrum_standin::registry::consul::{instance, Consul as StandIn};
use spurdrum_standin::registry::model::Registry;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

/// Time limit of each wait: far longer than any step takes, even on a busy machine.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

fn local_address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

#[test]
fn a_service_is_followed_despite_pauses_truncated_answers_and_an_index_that_starts_over() {
    let agent = StandIn::start(2, Some("t0ken")).expect("started");
    let put = |id: &str, port: u16, status: &str| {
        let meta = json!({"zone": "a", "started_ms": "5"});
        agent.with(|registry| registry.put(id, &instance(id, local_address(port), status, &meta)));
    };
    put("one", 1, "passing");
    put("two", 2, "warning");
    agent.with(|registry| {
        registry.put("three", r#"{"Node":{"Node":"n"},"Service":{"ID":"three","Port":-1}}"#)
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let ms = Duration::from_millis;
        let settings = Settings {
            interface: Interface::BlockingQueries,
            endpoints: 2,
            min_wait: ms(100),
            max_wait: ms(200),
            ..Settings::default()
        };
        let service = Service {
            endpoints: agent.endpoints.clone(),
            name: "s".into(),
            token: Some("t0ken".into()),
            tls: None,
        };
        let shell =
            Shell::new(Consul::new(service).expect("valid settings"), settings, 5).expect("valid settings");
        let mapper = RefCell::new(Mapper::new(Schema::consul().compile().expect("valid settings")));
        let listed: Rc<RefCell<BTreeMap<String, Member>>> = Rc::default();
        let errors = Rc::new(RefCell::new(0));
        let (sink, error_count) = (Rc::clone(&listed), Rc::clone(&errors));
        let follower_task = tokio::task::spawn_local(Rc::clone(&shell).follow(move |event| {
            let RegistryEvent::Change(change) = event else { return };
            let changes = mapper.borrow_mut().map(&change);
            *error_count.borrow_mut() += changes.errors.len();
            for id in changes.gone {
                sink.borrow_mut().remove(&id);
            }
            for member in changes.updated {
                sink.borrow_mut().insert(member.id.clone(), member);
            }
        }));
        let until = async |what: &str, condition: &dyn Fn(&BTreeMap<String, Member>) -> bool| {
            let wait = async {
                while !condition(&listed.borrow()) || shell.status().0 != Freshness::Fresh {
                    sleep(ms(5)).await;
                }
            };
            let state = || format!("{what}: {:?} {:?}", listed.borrow(), shell.status());
            assert!(timeout(WAIT_LIMIT, wait).await.is_ok(), "{}", state());
        };
        until("the start", &|listed| listed.len() == 2).await;
        let (one, two) = (listed.borrow()["n:one"].clone(), listed.borrow()["n:two"].clone());
        assert_eq!((one.host_port, one.size, one.locality.as_str()), (local_address(1), 2.0, "a"));
        assert_eq!((two.size, two.up_since_ms, *errors.borrow()), (1.0, 5.0, 1));
        put("one", 1, "critical");
        until("a drain", &|listed| listed["n:one"].phase == Phase::Leaving).await;
        agent.pause(0, true);
        put("one", 1, "passing");
        until("the other endpoint", &|listed| listed["n:one"].phase == Phase::Active).await;
        agent.pause(0, false);
        agent.leaderless(1, true);
        agent.cut_answers(0, true);
        agent.with(|registry| registry.delete("two"));
        sleep(ms(300)).await;
        assert_eq!(
            listed.borrow().len(),
            2,
            "truncated answers and answers without a leader must be ignored"
        );
        agent.cut_answers(0, false);
        until("the end of both faults", &|listed| listed.len() == 1).await;
        agent.leaderless(1, false);
        // The agent has lost its state, and its index starts over.
        agent.with(|registry| *registry = Registry::new(1));
        put("one", 1, "passing");
        put("four", 4, "passing");
        until("another index", &|listed| listed.contains_key("n:four") && listed.len() == 2).await;
        assert!(shell.status().2.is_some_and(|index| index <= 3));
        follower_task.abort();
    });
}

#[test]
fn an_agent_is_verified_by_its_certificate() {
    let (ca, certificate, key) = signed::signed("consul.test");
    let (other_ca, ..) = signed::signed("consul.test");
    let agent = StandIn::start_tls(1, &certificate, &key).expect("started");
    agent.with(|registry| registry.put("one", &instance("one", local_address(1), "passing", &json!({}))));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    for (ca, name, followed) in
        [(&ca, "consul.test", true), (&other_ca, "consul.test", false), (&ca, "other.test", false)]
    {
        let tls = Tls { ca: ca.clone().into_bytes(), identity: None, server_name: Some(name.into()) };
        let service =
            Service { endpoints: agent.endpoints.clone(), name: "s".into(), token: None, tls: Some(tls) };
        LocalSet::new().block_on(&runtime, async {
            let settings = Settings { interface: Interface::BlockingQueries, ..Settings::default() };
            let shell = Shell::new(Consul::new(service).expect("valid settings"), settings, 5)
                .expect("valid settings");
            let follower_task = tokio::task::spawn_local(Rc::clone(&shell).follow(|_| {}));
            let settled = async {
                while shell.status().0 != Freshness::Fresh && shell.status().3.failed < 3 {
                    sleep(Duration::from_millis(5)).await;
                }
            };
            assert!(timeout(WAIT_LIMIT, settled).await.is_ok(), "{name}: {:?}", shell.status());
            assert_eq!(shell.status().2.is_some(), followed, "{name}");
            follower_task.abort();
        });
    }
}
