//! The catalog shell over real sockets, with a stand-in catalog that injects faults.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use spurdrum_sources::catalog::{Catalog, CatalogEvent};
use spurdrum_sources::follower::{Counts, Freshness, Settings};
use spurdrum_standin::scenario::Scenario;
use spurdrum_standin::Fleet;
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::timeout;

/// A time-out for tests: longer than anything that a test waits for, however busy the machine is.
const LONG: Duration = Duration::from_secs(60);

fn settings() -> Settings {
    // No test asserts these times; they are short to make the tests fast.
    let ms = Duration::from_millis;
    Settings { min_wait: ms(100), max_wait: ms(400), silence_timeout: ms(400), ..Settings::default() }
}

/// What a node has received: the revisions of lists, and the changes of freshness.
struct Received {
    revisions: Vec<u64>,
    freshness: Vec<Freshness>,
}

/// Follows a fleet's catalog until a condition holds, and returns the counters.
fn follow(script: &str, until: impl Fn(&Received, &Rc<Catalog>, &Fleet) -> bool + 'static) -> Counts {
    let scenario = format!("[[servers]]\ncount = 3\nwork_ms = 1\n{script}");
    let fleet = Fleet::start(&Scenario::parse(&scenario).expect("valid")).expect("started");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async move {
        let catalog = Catalog::new(fleet.catalog, settings(), 5, Some(0)).expect("valid settings");
        let received = Rc::new(RefCell::new(Received { revisions: Vec::new(), freshness: Vec::new() }));
        let (notify, mut notified) = mpsc::unbounded_channel();
        let sink = Rc::clone(&received);
        let following = tokio::task::spawn_local(Rc::clone(&catalog).follow(move |event| {
            match event {
                CatalogEvent::List(list) => sink.borrow_mut().revisions.push(list.revision),
                CatalogEvent::FreshnessChanged { to: freshness, .. } => {
                    sink.borrow_mut().freshness.push(freshness)
                }
                CatalogEvent::Started { .. }
                | CatalogEvent::Ready { .. }
                | CatalogEvent::ListShrunk(..)
                | CatalogEvent::CallEnded(_) => {}
            }
            let _ = notify.send(());
        }));
        let condition = async {
            while !until(&received.borrow(), &catalog, &fleet) {
                // The condition may also become true without an event.
                let _ = timeout(Duration::from_millis(20), notified.recv()).await;
            }
        };
        assert!(
            timeout(LONG, condition).await.is_ok(),
            "{:?} {:?}",
            received.borrow().revisions,
            catalog.status()
        );
        let revisions = &received.borrow().revisions;
        assert!(revisions.is_sorted(), "{revisions:?}");
        following.abort();
        catalog.status().3
    })
}

/// Checks that a change at 1 s arrives although the catalog has this fault from the start, and returns the
/// counters.
fn change_arrives_despite(fault: &str) -> Counts {
    let change = "[[fault]]\non = \"s0\"\nkind = \"drain\"\nat_s = 1.0\nfor_s = 0.5\n";
    let script = format!("[[fault]]\non = \"catalog\"\n{fault}\n{change}");
    follow(&script, |received, _, fleet| {
        let last_revision = fleet.list()["revision"].as_u64();
        last_revision == Some(5) && received.revisions.last().copied() == last_revision
    })
}

#[test]
fn a_change_arrives_although_every_watch_hangs() {
    let counts = change_arrives_despite("kind = \"hang_watches\"");
    assert!(counts.timed_out > 0 && counts.calls[1] > 0, "{counts}");
}

#[test]
fn a_change_arrives_although_reads_hang() {
    let counts = change_arrives_despite("kind = \"hang_reads\"");
    assert_eq!(counts.timed_out, 0, "watches need no read: {counts}");
}

#[test]
fn a_change_arrives_although_a_third_of_the_calls_hang() {
    let counts = change_arrives_despite("kind = \"hang\"\npart = 0.33");
    assert!(counts.answers > 0, "{counts}");
}

#[test]
fn a_change_arrives_although_half_of_the_answers_stop_in_the_middle() {
    change_arrives_despite("kind = \"half\"\npart = 0.5");
}

#[test]
fn a_change_arrives_although_half_of_the_answers_come_byte_by_byte() {
    change_arrives_despite("kind = \"trickle\"\npart = 0.5");
}

#[test]
fn a_change_arrives_although_the_catalog_is_slow() {
    change_arrives_despite("kind = \"queue\"\ndelay_ms = 150");
}

#[test]
fn an_outage_is_reported_and_so_is_its_end() {
    let recovered = |received: &Received, _: &Rc<Catalog>, _: &Fleet| {
        let was_stale = received.freshness.contains(&Freshness::Stale);
        was_stale && received.freshness.last() == Some(&Freshness::Fresh)
    };
    let counts =
        follow("[[fault]]\non = \"catalog\"\nkind = \"outage\"\nat_s = 1.0\nfor_s = 4.0\n", recovered);
    assert!(counts.failed > 0, "{counts}");
}

#[test]
fn a_catalog_whose_address_changes_while_its_watch_hangs_is_followed() {
    let script = "[[fault]]\non = \"catalog\"\nkind = \"move\"\nat_s = 0.5\n\
                  [[fault]]\non = \"s0\"\nkind = \"drain\"\nat_s = 1.0\nfor_s = 0.5\n";
    follow(script, |received, catalog, fleet| {
        // The node gets the new address once the catalog has fallen silent. Setting the same address again
        // has no effect.
        if received.freshness.last() != Some(&Freshness::Fresh) && received.freshness.len() > 1 {
            catalog.set_address(fleet.moved_catalog);
        }
        received.revisions.last() == Some(&5)
    });
}
