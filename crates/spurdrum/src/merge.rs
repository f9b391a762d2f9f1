//! Several sources of servers before one node: carries out what a [`Reconciler`] decides.

use std::cell::RefCell;
use std::rc::Rc;

use spurdrum_core::{unix_ms, Node};
use spurdrum_http::Upstream;
use spurdrum_sources::reconciler::{Action, Event, Reconciler, Settings};
use spurdrum_sources::registry::schema::{CompiledSchema, Mapper};
use spurdrum_sources::registry::shell::{RegistryClient, RegistryEvent, Shell};
use spurdrum_sources::{List, Member, Timer};

use crate::list::{self, Places};

/// Sources by their precedence.
pub const REGISTRY: usize = 0;
/// See [`REGISTRY`].
pub const CATALOG: usize = 1;
/// See [`REGISTRY`].
pub const STATIC: usize = 2;
const NAMES: [&str; 3] = ["the registry", "the catalog", "the static list"];

/// Makes one list for a node.
pub struct Merged {
    node: Rc<Node<Upstream>>,
    places: Rc<Places>,
    reconciler: RefCell<Reconciler>,
    timer: Timer,
}

impl Merged {
    /// The list of a node, of which no source has told anything yet.
    pub fn new(node: Rc<Node<Upstream>>, places: Rc<Places>, settings: Settings) -> Result<Rc<Self>, String> {
        let reconciler = Reconciler::new(settings, NAMES.len(), unix_ms()?);
        let reconciler = reconciler.map_err(|(key, why)| format!("`sources.merge.{key}`: {why}"))?;
        Ok(Rc::new(Self { node, places, reconciler: RefCell::new(reconciler), timer: Timer::default() }))
    }

    /// A source tells a list, whole or of changes.
    pub fn listed(&self, source: usize, list: List) {
        self.update(source, list.complete, list.members, Vec::new());
    }

    fn update(&self, source: usize, complete: bool, members: Vec<Member>, gone: Vec<String>) {
        self.tell(Event::Update { source, complete, members, gone });
    }

    /// Something has happened.
    pub fn tell(&self, event: Event) {
        let mut actions = Vec::new();
        self.reconciler.borrow_mut().handle(self.timer.now(), event, &mut actions);
        for action in actions {
            match action {
                Action::Suspect { source, before, now } => tracing::warn!(
                    "{} had {before} servers and has {now} at once: it is doubted, and they stay",
                    NAMES[source]
                ),
                Action::Trusted(source) => tracing::info!("{} is believed again", NAMES[source]),
                Action::Flapping(id, hold) => {
                    tracing::warn!("server {id} comes and goes: nothing new for {} ms", hold.as_millis());
                }
                Action::Included { source, included } => tracing::info!(
                    "the servers of {} {}",
                    NAMES[source],
                    if included {
                        "count again"
                    } else {
                        "do not count any more: it has been blind for long"
                    }
                ),
                Action::Apply(members) => {
                    let list = List { revision: 0, complete: false, members };
                    self.node.update_servers(list.complete, self.places.listed(&list));
                }
            }
        }
        self.timer.wake_no_later_than(self.reconciler.borrow().next_wake());
    }

    /// Keeps time for as long as this is awaited.
    pub async fn keep_time(self: Rc<Self>) {
        loop {
            self.tell(Event::Tick);
            let wake = self.reconciler.borrow().next_wake();
            self.timer.sleep(wake).await;
        }
    }

    /// Follows a registry for as long as this is awaited.
    pub async fn follow<W: RegistryClient>(self: Rc<Self>, registry: Rc<Shell<W>>, schema: CompiledSchema) {
        let mapper = RefCell::new(Mapper::new(schema));
        let shown = Rc::clone(&registry);
        let news = move |news| match news {
            RegistryEvent::Change(change) => {
                let mapped = mapper.borrow_mut().map(&change);
                for (key, fault) in mapped.errors {
                    tracing::warn!("the registry's key {key} holds no server: {fault}");
                }
                self.update(REGISTRY, false, mapped.updated, mapped.gone);
            }
            RegistryEvent::FreshnessChanged { from, to, cause } => {
                tracing::info!("the registry: {from} -> {to}, {cause}; {}", status(&shown));
                self.tell(Event::Freshness { source: REGISTRY, freshness: to });
            }
            RegistryEvent::Note(note) => tracing::warn!("the registry: {note}"),
        };
        registry.follow(news).await;
    }

    /// What operators are shown of it.
    pub fn status(&self) -> String {
        let reconciler = self.reconciler.borrow();
        let (standing, kept) = reconciler.source_counts(REGISTRY);
        format!(
            "servers {}, of the registry {standing}, kept in doubt {kept}, held back {}",
            reconciler.list().count(),
            reconciler.held_back()
        )
    }
}

/// The state of a registry's copy in one line, for operators.
pub fn status<W: RegistryClient>(registry: &Shell<W>) -> String {
    let (view, age, revision, counts) = registry.status();
    let (age, revision) = list::shown(age, revision);
    format!("registry {view}, proved {age}, revision {revision}; {counts}")
}
