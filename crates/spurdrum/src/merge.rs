//! Merges the lists of several sources into one list for the node: the shell of a [`Reconciler`].

use std::cell::RefCell;
use std::rc::Rc;

use spurdrum_core::{unix_ms, Node};
use spurdrum_http::Upstream;
use spurdrum_sources::reconciler::{Action, Event, Reconciler, Settings};
use spurdrum_sources::registry::schema::{CompiledSchema, Mapper};
use spurdrum_sources::registry::shell::{RegistryClient, RegistryEvent, Shell};
use spurdrum_sources::{List, Member, Timer};

use crate::list::{self, ZonesAndKinds};

/// The index of the registry among the sources. A lower index takes precedence.
pub const REGISTRY: usize = 0;
/// The index of the catalog, see [`REGISTRY`].
pub const CATALOG: usize = 1;
/// The index of the static list, see [`REGISTRY`].
pub const STATIC: usize = 2;
/// The sources' names in the log, by index.
const SOURCE_NAMES: [&str; 3] = ["the registry", "the catalog", "the static list"];

/// Applies the merged list of all sources to a node.
pub struct MergedList {
    node: Rc<Node<Upstream>>,
    zones_and_kinds: Rc<ZonesAndKinds>,
    reconciler: RefCell<Reconciler>,
    timer: Timer,
}

impl MergedList {
    /// Creates an empty merged list, before any source has reported.
    pub fn new(
        node: Rc<Node<Upstream>>,
        zones_and_kinds: Rc<ZonesAndKinds>,
        settings: Settings,
    ) -> Result<Rc<Self>, String> {
        let reconciler = Reconciler::new(settings, SOURCE_NAMES.len(), unix_ms()?);
        let reconciler = reconciler.map_err(|(key, reason)| format!("`sources.merge.{key}`: {reason}"))?;
        Ok(Rc::new(Self {
            node,
            zones_and_kinds,
            reconciler: RefCell::new(reconciler),
            timer: Timer::default(),
        }))
    }

    /// Handles a list of a source, complete or with changes only.
    pub fn update_list(&self, source: usize, list: List) {
        self.update(source, list.complete, list.members, Vec::new());
    }

    /// Feeds changes of a source's servers to the reconciler.
    fn update(&self, source: usize, complete: bool, members: Vec<Member>, gone: Vec<String>) {
        self.handle(Event::Update { source, complete, members, gone });
    }

    /// Feeds an event to the reconciler and performs the resulting actions.
    pub fn handle(&self, event: Event) {
        let mut actions = Vec::new();
        self.reconciler.borrow_mut().handle(self.timer.now(), event, &mut actions);
        for action in actions {
            match action {
                Action::Suspect { source, before, now } => tracing::warn!(
                    "{} dropped from {before} to {now} servers at once: suspect, so the missing servers are kept",
                    SOURCE_NAMES[source]
                ),
                Action::Trusted(source) => tracing::info!("{} is trusted again", SOURCE_NAMES[source]),
                Action::Flapping(id, hold) => {
                    tracing::warn!("server {id} appears and disappears repeatedly: its changes are held back for {} ms", hold.as_millis());
                }
                Action::Included { source, included } => tracing::info!(
                    "the servers of {} {}",
                    SOURCE_NAMES[source],
                    if included {
                        "are used again"
                    } else {
                        "are no longer used: there has been no contact with it for too long"
                    }
                ),
                Action::Apply(members) => {
                    let list = List { revision: 0, complete: false, members };
                    self.node.update_servers(list.complete, self.zones_and_kinds.to_servers(&list));
                }
            }
        }
        self.timer.wake_no_later_than(self.reconciler.borrow().next_wake());
    }

    /// Delivers the reconciler's timer ticks for as long as the node runs.
    pub async fn run_timer(self: Rc<Self>) {
        loop {
            self.handle(Event::Tick);
            let wake = self.reconciler.borrow().next_wake();
            self.timer.sleep(wake).await;
        }
    }

    /// Follows a registry for as long as the node runs.
    pub async fn follow<W: RegistryClient>(self: Rc<Self>, registry: Rc<Shell<W>>, schema: CompiledSchema) {
        let mapper = RefCell::new(Mapper::new(schema));
        let status_of = Rc::clone(&registry);
        let on_event = move |event| match event {
            RegistryEvent::Change(change) => {
                let mapped = mapper.borrow_mut().map(&change);
                for (key, fault) in mapped.errors {
                    tracing::warn!("the registry's key {key} holds no server: {fault}");
                }
                self.update(REGISTRY, false, mapped.updated, mapped.gone);
            }
            RegistryEvent::FreshnessChanged { from, to, cause } => {
                tracing::info!("the registry: {from} -> {to}, {cause}; {}", status(&status_of));
                self.handle(Event::Freshness { source: REGISTRY, freshness: to });
            }
            RegistryEvent::Note(note) => tracing::warn!("the registry: {note}"),
        };
        registry.follow(on_event).await;
    }

    /// Returns the state of the merged list as a text for operators.
    pub fn status(&self) -> String {
        let reconciler = self.reconciler.borrow();
        let (listed, kept) = reconciler.source_counts(REGISTRY);
        format!(
            "servers {}, of the registry {listed}, kept in doubt {kept}, held back {}",
            reconciler.list().count(),
            reconciler.held_back()
        )
    }
}

/// Returns the state of the local copy of a registry as one line for operators.
pub fn status<W: RegistryClient>(registry: &Shell<W>) -> String {
    let (freshness, age, revision, counts) = registry.status();
    let (age, revision) = list::age_and_revision(age, revision);
    format!("registry {freshness}, proved {age}, revision {revision}; {counts}")
}
