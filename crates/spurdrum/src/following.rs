//! Passes lists of servers from the sources to the core, and logs which servers they change.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::rc::Rc;

use spurdrum_core::Node;
use spurdrum_http::Upstream;
use spurdrum_sources::catalog::{Catalog, CatalogEvent};
use spurdrum_sources::follower::Freshness;
use spurdrum_sources::reconciler::Event;
use spurdrum_sources::{List, Phase};

use crate::list::{self, ZonesAndKinds};
use crate::merge::{self, MergedList};

/// The maximum number of servers that a log line names; it gives the number of the others.
const MAX_LOGGED_IDS: usize = 16;

/// Receives lists. It passes them to the core, or with several sources to the reconciler that merges them.
pub struct ListSink {
    /// The node that uses the list.
    pub node: Rc<Node<Upstream>>,
    /// The names of zones and kinds.
    pub zones_and_kinds: Rc<ZonesAndKinds>,
    /// The merged list, if there may be several sources.
    pub merged: Option<Rc<MergedList>>,
    /// The latest list of the catalog or the settings file. It is handed over to an incoming process.
    pub latest: Rc<RefCell<List>>,
    /// The number of attempts that had been written to servers when the list was last confirmed.
    pub attempts_when_confirmed: Cell<u64>,
}

impl ListSink {
    /// Returns the part of a log line that gives the number of attempts sent while the list was not
    /// confirmed. The part is empty until the list is fresh again.
    fn unconfirmed_attempts(&self, from: Freshness, to: Freshness) -> String {
        let attempts = self.node.metrics.attempts();
        if from == Freshness::Fresh {
            self.attempts_when_confirmed.set(attempts);
        }
        match to {
            Freshness::Fresh => {
                format!("; {} attempts meanwhile", attempts - self.attempts_when_confirmed.get())
            }
            Freshness::Doubtful | Freshness::Stale => String::new(),
        }
    }

    /// Passes on a list, complete or with changes only, and logs which servers it changes.
    pub fn update(&self, source: usize, list: List) {
        let changes = Changes::between(&self.latest.borrow(), &list);
        if !changes.is_empty() {
            tracing::info!("list version {}: {changes}", list.revision);
        }
        self.latest.borrow_mut().merge(&list);
        match &self.merged {
            Some(merged) => merged.update_list(source, list),
            None => self.node.update_servers(list.complete, self.zones_and_kinds.to_servers(&list)),
        }
    }
}

/// Follows the catalog's list for as long as the node runs.
pub async fn follow(catalog: Rc<Catalog>, sink: Rc<ListSink>) {
    let status_of = Rc::clone(&catalog);
    let on_event = move |event| match event {
        CatalogEvent::Started { first_call } => {
            let initial = sink.latest.borrow();
            let (servers, version) = (initial.members.len(), initial.revision);
            let delay = first_call.as_secs_f64();
            tracing::info!(
                "started with {servers} servers of list version {version}; first discovery call in {delay:.3} s"
            );
        }
        CatalogEvent::List(list) => sink.update(merge::CATALOG, list),
        CatalogEvent::FreshnessChanged { from, to, cause } => {
            if let Some(merged) = &sink.merged {
                merged.handle(Event::Freshness { source: merge::CATALOG, freshness: to });
            }
            let attempts = sink.unconfirmed_attempts(from, to);
            tracing::info!(
                "the list of servers: {from} -> {to}, {cause}; {}{attempts}",
                list::confirmation(status_of.status())
            );
        }
        CatalogEvent::Ready { result, after } => {
            sink.node.start_serving();
            tracing::info!("ready to serve {:.3} s after the start: {result}", after.as_secs_f64());
        }
        CatalogEvent::ListShrunk(before, now) => {
            tracing::warn!("the list of servers has shrunk a lot: {before} servers before, {now} now");
        }
        CatalogEvent::CallEnded(report) => tracing::info!("{report}"),
    };
    catalog.follow(on_event).await;
}

fn phases(list: &List) -> impl Iterator<Item = (&str, Phase)> {
    list.members.iter().map(|member| (&*member.id, member.phase))
}

/// The ids of the servers whose phase a list changes.
#[derive(Default)]
struct Changes {
    ready: Vec<String>,
    draining: Vec<String>,
    gone: Vec<String>,
}

impl Changes {
    /// Returns the changes from `old` to `list`.
    fn between(old: &List, list: &List) -> Self {
        let before: HashMap<&str, Phase> = phases(old).collect();
        let mut changes = Self::default();
        for (id, phase) in phases(list) {
            if before.get(id).copied().unwrap_or(Phase::Left) != phase {
                changes.ids_of(phase).push(id.to_owned());
            }
        }
        if list.complete {
            let listed: HashSet<&str> = phases(list).map(|(id, _)| id).collect();
            let missing = phases(old).filter(|(id, _)| !listed.contains(id));
            changes.gone.extend(missing.map(|(id, _)| id.to_owned()));
        }
        changes
    }

    fn ids_of(&mut self, phase: Phase) -> &mut Vec<String> {
        match phase {
            Phase::Active => &mut self.ready,
            Phase::Leaving => &mut self.draining,
            Phase::Left => &mut self.gone,
        }
    }

    fn is_empty(&self) -> bool {
        self.ready.is_empty() && self.draining.is_empty() && self.gone.is_empty()
    }
}

impl fmt::Display for Changes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let changes = [("draining", &self.draining), ("gone", &self.gone), ("ready", &self.ready)];
        let mut separator = "";
        for (change, ids) in changes.into_iter().filter(|(_, ids)| !ids.is_empty()) {
            let shown = ids.len().min(MAX_LOGGED_IDS);
            write!(f, "{separator}{change} {}", ids[..shown].join(", "))?;
            if ids.len() > shown {
                write!(f, " and {} more", ids.len() - shown)?;
            }
            separator = "; ";
        }
        Ok(())
    }
}
