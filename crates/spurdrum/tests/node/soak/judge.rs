//! What the clients and servers of a run saw, and which rules that breaks.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// An answer counts for this much longer than its client waits, by the pages: half a second, and 50 ms on
/// sockets.
pub const GRACE: Duration = Duration::from_millis(550);
/// For how long after SIGTERM a process may still cut off the answers that it passes on.
const ENDING_TIME: Duration = Duration::from_secs(3);

/// The record of one run.
#[derive(Default)]
pub struct Judge {
    violations: Mutex<Vec<String>>,
    /// How often each request that may run once has run.
    runs: Mutex<HashMap<String, u32>>,
    answers: AtomicU64,
    served: AtomicU64,
    last_end_at: Mutex<Option<Instant>>,
    crowded: AtomicBool,
}

impl Judge {
    /// Records that a rule was broken.
    pub fn violation(&self, what: String) {
        self.violations.lock().expect("not poisoned").push(what);
    }

    /// Records that a server has run an unsafe request.
    pub fn unsafe_request_ran(&self, id: &str) {
        let mut runs = self.runs.lock().expect("not poisoned");
        let count = runs.entry(id.to_owned()).or_default();
        *count += 1;
        if *count > 1 {
            self.violation(format!("{id} ran {count} times"));
        }
    }

    /// Records a final answer.
    pub fn answered(&self, status: u16) {
        self.answers.fetch_add(1, Ordering::Relaxed);
        if status == 200 {
            self.served.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Records that a process is told to end.
    pub fn process_ends(&self) {
        *self.last_end_at.lock().expect("not poisoned") = Some(Instant::now());
    }

    /// Returns whether a process has been told to end a while ago: it may cut off answers, and connections that
    /// it has not read.
    pub fn is_ending(&self) -> bool {
        self.last_end_at.lock().expect("not poisoned").is_some_and(|at| at.elapsed() < ENDING_TIME)
    }

    /// Sets whether a crowd fills the node: new connections may be closed unread then.
    pub fn set_crowded(&self, crowded: bool) {
        self.crowded.store(crowded, Ordering::Relaxed);
    }

    /// Returns whether a crowd fills the node.
    pub fn is_crowded(&self) -> bool {
        self.crowded.load(Ordering::Relaxed)
    }

    /// Returns the rules that were broken.
    pub fn verdict(&self, seed: u64) -> Vec<String> {
        let (answers, served) = (self.answers.load(Ordering::Relaxed), self.served.load(Ordering::Relaxed));
        eprintln!("seed {seed}: {answers} answers, {served} served, crowd: {}", self.is_crowded());
        if served == 0 {
            self.violation("nothing was served".into());
        }
        std::mem::take(&mut *self.violations.lock().expect("not poisoned"))
    }
}
