//! Reload of settings while the node serves. New classes and tenants are matched to the current ones, so that
//! their state is kept.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use spurdrum_core::Node;
use spurdrum_http::{ConfigNames, SharedConfigNames, Upstream};
use spurdrum_policy::{Effect, NewSettings, Settings};
use tokio::time::{sleep, Instant};

use crate::config::Config;
use crate::list::ZonesAndKinds;

/// How long a class that the settings no longer have is still accepted. Clients learn of the change later
/// than the node, and the requests that they have sent by then need time to finish.
const DROPPED_CLASS_TTL: Duration = Duration::from_secs(6);
/// The maximum number of dropped classes that are still accepted at once.
const MAX_DROPPED_CLASSES: usize = 64;

/// The classes and tenants in use. Dropped classes that are still accepted follow after the configured ones.
/// `T` is the type of times.
#[derive(Clone, Debug)]
pub struct ActiveSettings<T> {
    names: ConfigNames,
    settings: Settings,
    /// For each dropped class, in the order of the classes, when it was dropped.
    dropped: Vec<T>,
}

impl<T: Copy> ActiveSettings<T> {
    /// Creates the settings of the start, without dropped classes.
    pub fn new(names: ConfigNames, settings: Settings) -> Self {
        Self { names, settings, dropped: Vec::new() }
    }

    /// Returns the name and the effect of a class, by which classes are matched.
    fn class(&self, index: usize) -> (&str, Effect) {
        (&self.names.classes[index], self.settings.classes[index].effect)
    }

    /// Replaces the classes and tenants. Returns the settings for the policy, which say for each class and
    /// tenant which current one it continues. Classes are matched by name and effect: a class of the same
    /// name with another effect is a new one. Classes that are dropped now, and those dropped earlier for
    /// which `is_accepted` holds, follow after the new ones.
    fn replace(
        &mut self,
        mut names: ConfigNames,
        mut settings: Settings,
        now: T,
        is_accepted: impl Fn(T) -> bool,
    ) -> NewSettings {
        let configured = names.classes.len();
        let old_configured = self.names.classes.len() - self.dropped.len();
        let is_same = |names: &ConfigNames, settings: &Settings, new: usize, old: usize| {
            (&*names.classes[new], settings.classes[new].effect) == self.class(old)
        };
        let old_classes = 0..self.names.classes.len();
        let mut classes: Vec<Option<usize>> = (0..configured)
            .map(|new| old_classes.clone().find(|old| is_same(&names, &settings, new, *old)))
            .collect();
        let mut dropped = Vec::new();
        for old in old_classes {
            let dropped_at = old.checked_sub(old_configured).map_or(now, |index| self.dropped[index]);
            if !classes.contains(&Some(old)) && is_accepted(dropped_at) && dropped.len() < MAX_DROPPED_CLASSES
            {
                names.classes.push(self.names.classes[old].clone());
                settings.classes.push(self.settings.classes[old]);
                classes.push(Some(old));
                dropped.push(dropped_at);
            }
        }
        let tenant = |name: &String| self.names.tenants.iter().position(|old| old == name);
        let tenants = names.tenants.iter().map(tenant).collect();
        *self = Self { names, settings: settings.clone(), dropped };
        NewSettings { settings, classes, tenants }
    }

    /// Removes the dropped classes that are no longer accepted. Returns the settings for the policy if there
    /// were any.
    fn expire_dropped(&mut self, now: T, is_accepted: impl Fn(T) -> bool) -> Option<NewSettings> {
        self.dropped.iter().any(|dropped_at| !is_accepted(*dropped_at)).then(|| {
            let (mut names, mut settings) = (self.names.clone(), self.settings.clone());
            let configured = names.classes.len() - self.dropped.len();
            names.classes.truncate(configured);
            settings.classes.truncate(configured);
            self.replace(names, settings, now, is_accepted)
        })
    }
}

/// Applies new settings to a node that serves.
pub struct Reloader {
    node: Rc<Node<Upstream>>,
    names: SharedConfigNames,
    active: RefCell<ActiveSettings<Instant>>,
    /// The zones and kinds of the start, to whose indices the list of servers refers.
    zones_and_kinds: Rc<ZonesAndKinds>,
    /// Whether session affinity is on. It refers to classes and tenants by index, so these cannot be reloaded
    /// then.
    affinity_on: bool,
    max_pending: Cell<usize>,
}

impl Reloader {
    /// Creates a reloader for this node, which was started with these names.
    pub fn new(
        node: Rc<Node<Upstream>>,
        names: SharedConfigNames,
        zones_and_kinds: Rc<ZonesAndKinds>,
        affinity_on: bool,
        max_pending: usize,
    ) -> Rc<Self> {
        let active = ActiveSettings::new((**names.borrow()).clone(), (*node.settings()).clone());
        Rc::new(Self {
            node,
            names,
            active: RefCell::new(active),
            zones_and_kinds,
            affinity_on,
            max_pending: Cell::new(max_pending),
        })
    }

    /// Applies the settings of a valid configuration. Settings that cannot change while the node runs keep
    /// their values, and a warning says so.
    pub fn apply(self: &Rc<Self>, config: &Config) {
        let old = self.node.settings();
        let mut settings = config.settings.clone();
        settings.preference_slack = old.preference_slack;
        let zones_and_kinds = &config.zones_and_kinds;
        let location_changed =
            (settings.nodes, settings.node_index, settings.zone, settings.kinds, settings.discovery)
                != (old.nodes, old.node_index, old.zone, old.kinds, old.discovery);
        if location_changed
            || (&zones_and_kinds.zones, &zones_and_kinds.kinds)
                != (&self.zones_and_kinds.zones, &self.zones_and_kinds.kinds)
        {
            tracing::warn!(
                "changes to the nodes, zones, kinds and discovery take effect at the next start only"
            );
            (settings.nodes, settings.node_index, settings.zone) = (old.nodes, old.node_index, old.zone);
            (settings.kinds, settings.discovery) = (old.kinds, old.discovery);
        }
        self.node.transport().set_timeouts(config.server_idle_timeout, config.dial_timeout);
        self.node.connections.set_max_retry_after(settings.max_retry_after_ms);
        self.max_pending.set(config.max_pending);
        let classes_changed =
            (&settings.classes, &config.names.classes) != (&old.classes, &self.names.borrow().classes);
        if self.affinity_on && (classes_changed || config.names.tenants != self.names.borrow().tenants) {
            tracing::warn!(
                "with [affinity], changes to classes and tenants take effect at the next start only"
            );
            return;
        }
        let now = Instant::now();
        let new = self
            .active
            .borrow_mut()
            .replace(config.names.clone(), settings, now, |dropped_at| is_accepted(now, dropped_at));
        self.activate(new);
        let reloader = Rc::clone(self);
        tokio::task::spawn_local(async move {
            sleep(DROPPED_CLASS_TTL).await;
            let now = Instant::now();
            let new =
                reloader.active.borrow_mut().expire_dropped(now, |dropped_at| is_accepted(now, dropped_at));
            if let Some(new) = new {
                reloader.activate(new);
            }
        });
    }

    /// Passes new settings to the node, together with the names that requests use.
    fn activate(&self, new: NewSettings) {
        let names = self.active.borrow().names.clone();
        self.node.metrics.add_classes(&names.classes);
        self.node.reload(new, self.max_pending.get());
        self.names.replace(Rc::new(names));
    }
}

/// Returns whether a class that was dropped at this time is still accepted.
fn is_accepted(now: Instant, dropped_at: Instant) -> bool {
    now.duration_since(dropped_at) < DROPPED_CLASS_TTL
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;
    use spurdrum_policy::{Class, Group};

    use super::*;

    const EFFECTS: [Effect; 3] =
        [Effect::Safe, Effect::Unsafe, Effect::Keyed { group: Group::Cell, window_ms: 500.0 }];

    fn named_settings(classes: &[(u8, usize, u16)]) -> (ConfigNames, Settings) {
        let class =
            |(_, effect, ms): &(u8, usize, u16)| Class::new(1.0, f64::from(*ms) + 1.0, EFFECTS[*effect]);
        let names = classes.iter().map(|(name, ..)| format!("c{name}")).collect();
        (
            ConfigNames { classes: names, tenants: Vec::new() },
            Settings::new(classes.iter().map(class).collect()),
        )
    }

    /// Classes of a settings file, without two of the same name.
    fn classes_of_file() -> impl Strategy<Value = Vec<(u8, usize, u16)>> {
        prop::collection::vec((0_u8..5, 0_usize..3, any::<u16>()), 1..5).prop_map(|mut classes| {
            classes.sort_by_key(|class| class.0);
            classes.dedup_by_key(|class| class.0);
            classes.reverse();
            classes
        })
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

        /// With any sequence of settings files: the classes of the newest file come first with its settings,
        /// a class that continues an earlier one has its name and effect, and no dropped class is accepted
        /// for too long.
        #[test]
        fn classes_are_those_of_the_newest_file_and_dropped_ones_expire(
            first in classes_of_file(),
            files in prop::collection::vec((0_u64..9, classes_of_file()), 0..12),
        ) {
            let (names, settings) = named_settings(&first);
            let (mut active, mut now) = (ActiveSettings::new(names, settings), 0);
            for (delay, file) in files {
                now += delay;
                let is_accepted = |dropped_at: u64| now - dropped_at < 6;
                let before = active.clone();
                let (names, settings) = named_settings(&file);
                let new = active.replace(names.clone(), settings.clone(), now, is_accepted);
                prop_assert_eq!(&active.names.classes[..file.len()], &names.classes[..]);
                prop_assert_eq!(&active.settings.classes[..file.len()], &settings.classes[..]);
                prop_assert_eq!(active.names.classes.len(), active.settings.classes.len());
                prop_assert_eq!(&new.settings, &active.settings);
                prop_assert!(active.dropped.iter().all(|dropped_at| is_accepted(*dropped_at)));
                for (class, old) in new.classes.iter().enumerate() {
                    if let Some(old) = old {
                        prop_assert_eq!(active.class(class), before.class(*old));
                    }
                }
                // Each class that was configured until now is still accepted, and exactly once.
                for old in 0..before.names.classes.len() - before.dropped.len() {
                    let matching = (0..active.names.classes.len()).filter(|new| active.class(*new) == before.class(old));
                    prop_assert_eq!(matching.count(), 1);
                }
                now += 6;
                active.expire_dropped(now, |dropped_at| now - dropped_at < 6);
                prop_assert_eq!(&active.names.classes, &names.classes);
                prop_assert!(active.dropped.is_empty());
            }
        }
    }
}
