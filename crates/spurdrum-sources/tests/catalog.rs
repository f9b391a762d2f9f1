//! The follower on sockets, before a stand-in catalog with the faults that lists have.

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

/// Longer than anything that a test waits for takes, however busy the machine.
const LONG: Duration = Duration::from_secs(60);

fn settings() -> Settings {
    // Times are short where nothing is asserted of them.
    let ms = Duration::from_millis;
    Settings { min_wait: ms(100), max_wait: ms(400), silence_timeout: ms(400), ..Settings::default() }
}

/// What a node has heard.
struct Heard {
    versions: Vec<u64>,
    views: Vec<Freshness>,
}

/// Follows a fleet's catalog until something is so.
fn follow(script: &str, until: impl Fn(&Heard, &Rc<Catalog>, &Fleet) -> bool + 'static) -> Counts {
    let scenario = format!("[[servers]]\ncount = 3\nwork_ms = 1\n{script}");
    let fleet = Fleet::start(&Scenario::parse(&scenario).expect("sound")).expect("started");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async move {
        let catalog = Catalog::new(fleet.catalog, settings(), 5, Some(0)).expect("sound settings");
        let heard = Rc::new(RefCell::new(Heard { versions: Vec::new(), views: Vec::new() }));
        let (tell, mut told) = mpsc::unbounded_channel();
        let to = Rc::clone(&heard);
        let following = tokio::task::spawn_local(Rc::clone(&catalog).follow(move |news| {
            match news {
                CatalogEvent::List(list) => to.borrow_mut().versions.push(list.revision),
                CatalogEvent::FreshnessChanged { to: view, .. } => to.borrow_mut().views.push(view),
                CatalogEvent::Started { .. }
                | CatalogEvent::Ready { .. }
                | CatalogEvent::ListShrunk(..)
                | CatalogEvent::CallEnded(_) => {}
            }
            let _ = tell.send(());
        }));
        let is_so = async {
            while !until(&heard.borrow(), &catalog, &fleet) {
                // Some of what is waited for is no news.
                let _ = timeout(Duration::from_millis(20), told.recv()).await;
            }
        };
        assert!(timeout(LONG, is_so).await.is_ok(), "{:?} {:?}", heard.borrow().versions, catalog.status());
        let versions = &heard.borrow().versions;
        assert!(versions.is_sorted(), "{versions:?}");
        following.abort();
        catalog.status().3
    })
}

/// A change at 1 s is known at the end, although the catalog has this fault from the start on.
fn knows_in_spite_of(fault: &str) -> Counts {
    let change = "[[fault]]\non = \"s0\"\nkind = \"drain\"\nat_s = 1.0\nfor_s = 0.5\n";
    let script = format!("[[fault]]\non = \"catalog\"\n{fault}\n{change}");
    follow(&script, |heard, _, fleet| {
        let all = fleet.list()["revision"].as_u64();
        all == Some(5) && heard.versions.last().copied() == all
    })
}

#[test]
fn a_change_is_known_although_every_watch_hangs() {
    let counts = knows_in_spite_of("kind = \"hang_watches\"");
    assert!(counts.timed_out > 0 && counts.calls[1] > 0, "{counts}");
}

#[test]
fn a_change_is_known_although_reads_hang() {
    let counts = knows_in_spite_of("kind = \"hang_reads\"");
    assert_eq!(counts.timed_out, 0, "watches need none: {counts}");
}

#[test]
fn a_change_is_known_although_a_third_of_the_calls_hang() {
    let counts = knows_in_spite_of("kind = \"hang\"\npart = 0.33");
    assert!(counts.answers > 0, "{counts}");
}

#[test]
fn a_change_is_known_although_half_of_the_answers_stop_in_the_middle() {
    knows_in_spite_of("kind = \"half\"\npart = 0.5");
}

#[test]
fn a_change_is_known_although_half_of_the_answers_come_byte_by_byte() {
    knows_in_spite_of("kind = \"trickle\"\npart = 0.5");
}

#[test]
fn a_change_is_known_although_the_catalog_is_slow() {
    knows_in_spite_of("kind = \"queue\"\ndelay_ms = 150");
}

#[test]
fn an_outage_is_seen_told_and_over_when_it_is_over() {
    let settled = |heard: &Heard, _: &Rc<Catalog>, _: &Fleet| {
        let blind = heard.views.contains(&Freshness::Stale);
        blind && heard.views.last() == Some(&Freshness::Fresh)
    };
    let counts = follow("[[fault]]\non = \"catalog\"\nkind = \"outage\"\nat_s = 1.0\nfor_s = 4.0\n", settled);
    assert!(counts.failed > 0, "{counts}");
}

#[test]
fn a_catalog_that_moves_while_its_watch_hangs_is_followed_to_where_it_is() {
    let script = "[[fault]]\non = \"catalog\"\nkind = \"move\"\nat_s = 0.5\n\
                  [[fault]]\non = \"s0\"\nkind = \"drain\"\nat_s = 1.0\nfor_s = 0.5\n";
    follow(script, |heard, catalog, fleet| {
        // Told once it has gone silent; told again, that is no news.
        if heard.views.last() != Some(&Freshness::Fresh) && heard.views.len() > 1 {
            catalog.set_address(fleet.moved_catalog);
        }
        heard.versions.last() == Some(&5)
    });
}
