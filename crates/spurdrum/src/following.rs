//! Where lists of servers go, and what the log says of them.

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

use crate::list::{self, Places};
use crate::merge::{self, Merged};

/// So many servers of a list are named in the log; the others are counted.
const NAMED_MOST: usize = 16;

/// Where lists go: to the core, or where there are several sources, to what makes one list of theirs.
pub struct Sink {
    /// Whose list it is.
    pub node: Rc<Node<Upstream>>,
    /// Zones and kinds by name.
    pub places: Rc<Places>,
    /// Where there are several sources.
    pub merged: Option<Rc<Merged>>,
    /// The list as the last catalog or file told it, for a process that takes over.
    pub told: Rc<RefCell<List>>,
    /// Attempts that had been written to servers when the list was last confirmed.
    pub attempts_when_confirmed: Cell<u64>,
}

impl Sink {
    /// What the log says of attempts as the view changes: how many went out while nothing confirmed the list.
    fn attempts_on_trust(&self, from: Freshness, to: Freshness) -> String {
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

    /// Hands on a list, or what changed in it, and logs which servers it changes.
    pub fn listed(&self, source: usize, list: List) {
        let changes = Changes::between(&self.told.borrow(), &list);
        if !changes.is_empty() {
            tracing::info!("list version {}: {changes}", list.revision);
        }
        self.told.borrow_mut().merge(&list);
        match &self.merged {
            Some(merged) => merged.listed(source, list),
            None => self.node.update_servers(list.complete, self.places.listed(&list)),
        }
    }
}

/// Follows the list for as long as the node runs.
pub async fn follow(catalog: Rc<Catalog>, sink: Rc<Sink>) {
    let shown = Rc::clone(&catalog);
    let news = move |news| match news {
        CatalogEvent::Started { first_call } => {
            let known = sink.told.borrow();
            let (servers, version) = (known.members.len(), known.revision);
            let after = first_call.as_secs_f64();
            tracing::info!(
                "started with {servers} servers of version {version}; the first list call in {after:.3} s"
            );
        }
        CatalogEvent::List(list) => sink.listed(merge::CATALOG, list),
        CatalogEvent::FreshnessChanged { from, to, cause } => {
            if let Some(merged) = &sink.merged {
                merged.tell(Event::Freshness { source: merge::CATALOG, freshness: to });
            }
            let attempts = sink.attempts_on_trust(from, to);
            tracing::info!(
                "the list of servers: {from} -> {to}, {cause}; {}{attempts}",
                list::trust(shown.status())
            );
        }
        CatalogEvent::Ready { result, after } => {
            sink.node.start_serving();
            tracing::info!("ready {:.3} s after the start: {result}", after.as_secs_f64());
        }
        CatalogEvent::ListShrunk(before, now) => {
            tracing::warn!("the list of servers is shorter by much: {before} before, {now} now");
        }
        CatalogEvent::CallEnded(report) => tracing::info!("{report}"),
    };
    catalog.follow(news).await;
}

fn phases(list: &List) -> impl Iterator<Item = (&str, Phase)> {
    list.members.iter().map(|member| (&*member.id, member.phase))
}

/// Which servers a list changes, by their ids.
#[derive(Default)]
struct Changes {
    ready: Vec<String>,
    draining: Vec<String>,
    gone: Vec<String>,
}

impl Changes {
    fn between(held: &List, list: &List) -> Self {
        let before: HashMap<&str, Phase> = phases(held).collect();
        let mut changes = Self::default();
        for (id, phase) in phases(list) {
            if before.get(id).copied().unwrap_or(Phase::Left) != phase {
                changes.of(phase).push(id.to_owned());
            }
        }
        if list.complete {
            let named: HashSet<&str> = phases(list).map(|(id, _)| id).collect();
            let missing = phases(held).filter(|(id, _)| !named.contains(id));
            changes.gone.extend(missing.map(|(id, _)| id.to_owned()));
        }
        changes
    }

    fn of(&mut self, phase: Phase) -> &mut Vec<String> {
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
        let kinds = [("draining", &self.draining), ("gone", &self.gone), ("ready", &self.ready)];
        let mut separator = "";
        for (kind, ids) in kinds.into_iter().filter(|(_, ids)| !ids.is_empty()) {
            let named = ids.len().min(NAMED_MOST);
            write!(f, "{separator}{kind} {}", ids[..named].join(", "))?;
            if ids.len() > named {
                write!(f, " and {} more", ids.len() - named)?;
            }
            separator = "; ";
        }
        Ok(())
    }
}
