//! Carries out what a [`Follower`] decides, on whatever a registry speaks.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use super::follower::{
    Action, CallId, Cause, Change, Counts, Event, Failure, Follower, Note, Query, Settings,
};
use crate::follower::Freshness;
use crate::Timer;

/// Probes that wait to be sent; one that finds no room shows that the watch is silent.
const PROBES_MOST: usize = 4;
/// A tick is at most this far away, whatever the follower wishes.
const TICK_MOST: Duration = Duration::from_secs(60);

/// What a follower has for the node.
#[derive(Debug)]
pub enum RegistryEvent {
    /// Keys have changed.
    Change(Change),
    /// The copy is trusted otherwise than before.
    FreshnessChanged {
        /// Before.
        from: Freshness,
        /// Now.
        to: Freshness,
        /// Why.
        cause: Cause,
    },
    /// Something that operators should know.
    Note(Note),
}

/// How a registry is asked. It neither chooses nor repeats.
#[allow(async_fn_in_trait)]
pub trait RegistryClient: 'static {
    /// Asks an endpoint, and returns the call's last event. What comes before that is told as it comes; what is asked of an
    /// open watch comes by `probes`. Dropped, it is given up.
    ///
    /// # Errors
    ///
    /// How the call failed.
    async fn query(
        &self,
        call: CallId,
        endpoint: usize,
        query: Query,
        probes: mpsc::Receiver<()>,
        tell: impl Fn(Event),
    ) -> Result<Event, Failure>;

    /// A call at this endpoint was given up, or failed so: what is kept for it may be dead.
    fn forget(&self, endpoint: usize, failure: Option<Failure>);
}

type Listener = Box<dyn Fn(RegistryEvent)>;

/// A call that is out.
struct Out {
    endpoint: usize,
    task: AbortHandle,
    probes: mpsc::Sender<()>,
}

/// Follows one registry. To be used within a `LocalSet`.
pub struct Shell<W> {
    wire: W,
    follower: RefCell<Follower>,
    timer: Timer,
    calls: RefCell<HashMap<CallId, Out>>,
    news: RefCell<Option<Listener>>,
}

impl<W: RegistryClient> Shell<W> {
    /// A registry of which nothing is known yet.
    ///
    /// # Errors
    ///
    /// The first setting that makes no sense, and why.
    pub fn new(wire: W, settings: Settings, seed: u64) -> Result<Rc<Self>, (&'static str, &'static str)> {
        Ok(Rc::new(Self {
            wire,
            follower: RefCell::new(Follower::new(settings, seed)?),
            timer: Timer::default(),
            calls: RefCell::default(),
            news: RefCell::default(),
        }))
    }

    /// Follows it for as long as this is awaited; each piece of news is handed over as it comes.
    pub async fn follow(self: Rc<Self>, news: impl Fn(RegistryEvent) + 'static) {
        *self.news.borrow_mut() = Some(Box::new(news));
        loop {
            self.tell(Event::Tick);
            let most = self.timer.now() + TICK_MOST;
            let wake = self.follower.borrow().next_wake().map_or(most, |wake| wake.min(most));
            self.timer.sleep(Some(wake)).await;
        }
    }

    /// How far the copy can be trusted, its age where it was ever proved, its revision, and what was done.
    pub fn status(&self) -> (Freshness, Option<Duration>, Option<u64>, Counts) {
        let follower = self.follower.borrow();
        let age = follower.age(self.timer.now());
        (follower.freshness(), age, follower.revision(), follower.counts().clone())
    }

    fn tell(self: &Rc<Self>, event: Event) {
        let mut actions = Vec::new();
        self.follower.borrow_mut().handle(self.timer.now(), event, &mut actions);
        for action in actions {
            match action {
                Action::Call { call, endpoint, query } => self.call(call, endpoint, query),
                Action::Probe(call) => {
                    if let Some(out) = self.calls.borrow().get(&call) {
                        let _ = out.probes.try_send(());
                    }
                }
                Action::Abort(call) => {
                    if let Some(out) = self.calls.borrow_mut().remove(&call) {
                        out.task.abort();
                        // Guards against asking again on a connection that says nothing any more.
                        self.wire.forget(out.endpoint, None);
                    }
                }
                Action::Apply(change) => self.hand_over(RegistryEvent::Change(change)),
                Action::FreshnessChanged { from, to, cause } => {
                    self.hand_over(RegistryEvent::FreshnessChanged { from, to, cause })
                }
                Action::Note(note) => self.hand_over(RegistryEvent::Note(note)),
            }
        }
        self.timer.wake_no_later_than(self.follower.borrow().next_wake());
    }

    fn hand_over(&self, news: RegistryEvent) {
        if let Some(to) = &*self.news.borrow() {
            to(news);
        }
    }

    fn call(self: &Rc<Self>, call: CallId, endpoint: usize, query: Query) {
        let (probes, asked) = mpsc::channel(PROBES_MOST);
        let shell = Rc::clone(self);
        let task = tokio::task::spawn_local(async move {
            let tell = |event| shell.tell(event);
            let ended = shell.wire.query(call, endpoint, query, asked, tell).await;
            // A call that was given up meanwhile says nothing any more.
            if shell.calls.borrow_mut().remove(&call).is_none() {
                return;
            }
            shell.tell(ended.unwrap_or_else(|failure| {
                shell.wire.forget(endpoint, Some(failure));
                Event::Failed { call, failure }
            }));
        });
        self.calls.borrow_mut().insert(call, Out { endpoint, task: task.abort_handle(), probes });
    }
}
