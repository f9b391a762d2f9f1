//! New settings while the node serves: what becomes of the classes and tenants that are there.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use spurdrum_core::Node;
use spurdrum_http::{ConfigNames, SharedConfigNames, Upstream};
use spurdrum_policy::{Effect, NewSettings, Settings};
use tokio::time::{sleep, Instant};

use crate::config::Config;
use crate::list::Places;

/// A class that is dropped is understood for so long: clients hear of it later than the node, and what they have sent by
/// then has its time.
const UNDERSTOOD: Duration = Duration::from_secs(6);
/// Dropped classes that are understood at once.
const DROPPED_MOST: usize = 64;

/// Classes and tenants as they hold now. Dropped classes stand behind the others, with when they were dropped.
#[derive(Clone, Debug)]
pub struct Rules<T> {
    names: ConfigNames,
    settings: Settings,
    dropped: Vec<T>,
}

impl<T: Copy> Rules<T> {
    /// Those of the start.
    pub fn new(names: ConfigNames, settings: Settings) -> Self {
        Self { names, settings, dropped: Vec::new() }
    }

    fn class(&self, at: usize) -> (&str, Effect) {
        (&self.names.classes[at], self.settings.classes[at].effect)
    }

    /// These rules in place of those of before, and what is which of those. Classes are matched by name and effect: one that
    /// comes again with another effect is a new one. What is gone, and what was dropped since, stays behind them.
    fn follow(
        &mut self,
        mut names: ConfigNames,
        mut settings: Settings,
        now: T,
        stays: impl Fn(T) -> bool,
    ) -> NewSettings {
        let own = names.classes.len();
        let old_own = self.names.classes.len() - self.dropped.len();
        let same = |names: &ConfigNames, settings: &Settings, at: usize, old: usize| {
            (&*names.classes[at], settings.classes[at].effect) == self.class(old)
        };
        let old = 0..self.names.classes.len();
        let mut classes: Vec<Option<usize>> =
            (0..own).map(|at| old.clone().find(|k| same(&names, &settings, at, *k))).collect();
        let mut dropped = Vec::new();
        for k in old {
            let since = k.checked_sub(old_own).map_or(now, |place| self.dropped[place]);
            if !classes.contains(&Some(k)) && stays(since) && dropped.len() < DROPPED_MOST {
                names.classes.push(self.names.classes[k].clone());
                settings.classes.push(self.settings.classes[k]);
                classes.push(Some(k));
                dropped.push(since);
            }
        }
        let tenant = |name: &String| self.names.tenants.iter().position(|old| old == name);
        let tenants = names.tenants.iter().map(tenant).collect();
        *self = Self { names, settings: settings.clone(), dropped };
        NewSettings { settings, classes, tenants }
    }

    /// Without what was dropped long ago, if there is any.
    fn forget(&mut self, now: T, stays: impl Fn(T) -> bool) -> Option<NewSettings> {
        self.dropped.iter().any(|since| !stays(*since)).then(|| {
            let (mut names, mut settings) = (self.names.clone(), self.settings.clone());
            let own = names.classes.len() - self.dropped.len();
            names.classes.truncate(own);
            settings.classes.truncate(own);
            self.follow(names, settings, now, stays)
        })
    }
}

/// Applies new settings to a node that serves.
pub struct Retuner {
    node: Rc<Node<Upstream>>,
    names: SharedConfigNames,
    rules: RefCell<Rules<Instant>>,
    /// Zones and kinds of the start, in whose order the list is.
    places: Rc<Places>,
    /// Keys of affinity are bound to classes by their places.
    fixed: bool,
    most_held: Cell<usize>,
}

impl Retuner {
    /// For this node, which began with these names.
    pub fn new(
        node: Rc<Node<Upstream>>,
        names: SharedConfigNames,
        places: Rc<Places>,
        fixed: bool,
        most_held: usize,
    ) -> Rc<Self> {
        let rules = Rules::new((**names.borrow()).clone(), (*node.settings()).clone());
        Rc::new(Self {
            node,
            names,
            rules: RefCell::new(rules),
            places,
            fixed,
            most_held: Cell::new(most_held),
        })
    }

    /// What a configuration that was found sound says of settings holds from now on.
    pub fn apply(self: &Rc<Self>, config: &Config) {
        let old = self.node.settings();
        let mut settings = config.settings.clone();
        settings.preference_slack = old.preference_slack;
        let places = &config.places;
        let moved = (settings.nodes, settings.node_index, settings.zone, settings.kinds, settings.discovery)
            != (old.nodes, old.node_index, old.zone, old.kinds, old.discovery);
        if moved || (&places.zones, &places.kinds) != (&self.places.zones, &self.places.kinds) {
            tracing::warn!("the node's place among nodes, zones and kinds holds from the next start on");
            (settings.nodes, settings.node_index, settings.zone) = (old.nodes, old.node_index, old.zone);
            (settings.kinds, settings.discovery) = (old.kinds, old.discovery);
        }
        self.node.transport().set_timeouts(config.conn_idle, config.dial_timeout);
        self.node.connections.set_max_retry_after(settings.max_retry_after_ms);
        self.most_held.set(config.most_held);
        let changed =
            (&settings.classes, &config.names.classes) != (&old.classes, &self.names.borrow().classes);
        if self.fixed && (changed || config.names.tenants != self.names.borrow().tenants) {
            tracing::warn!("with [affinity], classes and tenants hold from the next start on");
            return;
        }
        let now = Instant::now();
        let new = self
            .rules
            .borrow_mut()
            .follow(config.names.clone(), settings, now, |since| is_understood(now, since));
        self.hold(new);
        let retuner = Rc::clone(self);
        tokio::task::spawn_local(async move {
            sleep(UNDERSTOOD).await;
            let now = Instant::now();
            let new = retuner.rules.borrow_mut().forget(now, |since| is_understood(now, since));
            if let Some(new) = new {
                retuner.hold(new);
            }
        });
    }

    fn hold(&self, new: NewSettings) {
        let names = self.rules.borrow().names.clone();
        self.node.metrics.add_classes(&names.classes);
        self.node.reload(new, self.most_held.get());
        self.names.replace(Rc::new(names));
    }
}

fn is_understood(now: Instant, since: Instant) -> bool {
    now.duration_since(since) < UNDERSTOOD
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;
    use spurdrum_policy::{Class, Group};

    use super::*;

    const EFFECTS: [Effect; 3] =
        [Effect::Safe, Effect::Unsafe, Effect::Keyed { group: Group::Cell, window_ms: 500.0 }];

    fn rules(classes: &[(u8, usize, u16)]) -> (ConfigNames, Settings) {
        let class =
            |(_, effect, ms): &(u8, usize, u16)| Class::new(1.0, f64::from(*ms) + 1.0, EFFECTS[*effect]);
        let names = classes.iter().map(|(name, ..)| format!("c{name}")).collect();
        (
            ConfigNames { classes: names, tenants: Vec::new() },
            Settings::new(classes.iter().map(class).collect()),
        )
    }

    fn file() -> impl Strategy<Value = Vec<(u8, usize, u16)>> {
        prop::collection::vec((0_u8..5, 0_usize..3, any::<u16>()), 1..5).prop_map(|mut classes| {
            classes.sort_by_key(|class| class.0);
            classes.dedup_by_key(|class| class.0);
            classes.reverse();
            classes
        })
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

        /// Whatever files follow one another: the newest one's classes come first and have its rules, what is said to be
        /// an earlier class has its name and effect, and nothing stays longer than it may.
        #[test]
        fn classes_are_what_the_newest_file_says_and_others_fade(
            first in file(),
            files in prop::collection::vec((0_u64..9, file()), 0..12),
        ) {
            let (names, settings) = rules(&first);
            let (mut held, mut now) = (Rules::new(names, settings), 0);
            for (later, file) in files {
                now += later;
                let stays = |since: u64| now - since < 6;
                let before = held.clone();
                let (names, settings) = rules(&file);
                let new = held.follow(names.clone(), settings.clone(), now, stays);
                prop_assert_eq!(&held.names.classes[..file.len()], &names.classes[..]);
                prop_assert_eq!(&held.settings.classes[..file.len()], &settings.classes[..]);
                prop_assert_eq!(held.names.classes.len(), held.settings.classes.len());
                prop_assert_eq!(&new.settings, &held.settings);
                prop_assert!(held.dropped.iter().all(|since| stays(*since)));
                for (at, of) in new.classes.iter().enumerate() {
                    if let Some(of) = of {
                        prop_assert_eq!(held.class(at), before.class(*of));
                    }
                }
                // What was there a moment ago is still understood, once.
                for at in 0..before.names.classes.len() - before.dropped.len() {
                    let still = (0..held.names.classes.len()).filter(|k| held.class(*k) == before.class(at));
                    prop_assert_eq!(still.count(), 1);
                }
                now += 6;
                held.forget(now, |since| now - since < 6);
                prop_assert_eq!(&held.names.classes, &names.classes);
                prop_assert!(held.dropped.is_empty());
            }
        }
    }
}
