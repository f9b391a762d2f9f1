//! What operators see of a node: counted as it happens, so that nothing is scanned when they ask.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Classes that are counted: those of new settings beyond so many are not.
const CLASSES_MOST: usize = 1024;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// Served.
    Success,
    /// Refused.
    Busy,
    /// Failed.
    Failure,
}

/// Requests of a class by their ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// Served.
    pub success: u64,
    /// Refused.
    pub busy: u64,
    /// Failed.
    pub failure: u64,
}

/// The counts of one process, from zero at its start.
#[derive(Debug, Default)]
pub struct Figures {
    classes: RefCell<BTreeMap<String, ClassCounts>>,
    attempts: Cell<u64>,
    inflight: Cell<u64>,
    reconfig_ok: Cell<u64>,
    reconfig_failed: Cell<u64>,
}

fn add(to: &Cell<u64>) {
    to.set(to.get() + 1);
}

impl Figures {
    /// Requests of these classes are counted from now on. Those that were counted keep their counts.
    pub fn know<'a>(&self, classes: impl IntoIterator<Item = &'a String>) {
        let mut counted = self.classes.borrow_mut();
        for class in classes {
            if counted.len() < CLASSES_MOST && !counted.contains_key(class) {
                counted.insert(class.clone(), ClassCounts::default());
            }
        }
    }

    /// A request has had its final answer. One of an unknown class is not counted: clients could make up any number.
    pub fn ended(&self, class: &str, fate: Fate) {
        if let Some(counts) = self.classes.borrow_mut().get_mut(class) {
            *match fate {
                Fate::Success => &mut counts.success,
                Fate::Busy => &mut counts.busy,
                Fate::Failure => &mut counts.failure,
            } += 1;
        }
    }

    /// An attempt has been written whole to a server.
    pub fn attempt_written(&self) {
        add(&self.attempts);
    }

    /// A request has been taken: it counts as open until what this gives is dropped.
    pub fn open(self: &Rc<Self>) -> Open {
        add(&self.inflight);
        Open(Rc::clone(self))
    }

    /// Settings have been read again, and hold or were turned down.
    pub fn reconfigured(&self, taken: bool) {
        add(if taken { &self.reconfig_ok } else { &self.reconfig_failed });
    }

    /// Every class that was ever counted.
    pub fn classes(&self) -> Vec<(String, ClassCounts)> {
        self.classes.borrow().iter().map(|(class, counts)| (class.clone(), *counts)).collect()
    }

    /// Attempts that were written whole.
    pub fn attempts(&self) -> u64 {
        self.attempts.get()
    }

    /// Requests that were taken and have not ended.
    pub fn inflight(&self) -> u64 {
        self.inflight.get()
    }

    /// Settings that were taken.
    pub fn reconfig_ok(&self) -> u64 {
        self.reconfig_ok.get()
    }

    /// Settings that were turned down.
    pub fn reconfig_failed(&self) -> u64 {
        self.reconfig_failed.get()
    }
}

/// A request that has been taken and has not ended.
#[derive(Debug)]
pub struct Open(Rc<Figures>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.inflight.set(self.0.inflight.get() - 1);
    }
}
