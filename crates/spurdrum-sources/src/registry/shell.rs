//! Thin I/O shell that carries out what a [`Follower`] decides, with the client of a registry's protocol.

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

/// Maximum number of queued probes. One that finds no room is dropped: the watch is silent then anyway.
const MAX_QUEUED_PROBES: usize = 4;
/// The longest sleep between two ticks, even if the follower asks for none.
const MAX_TICK_INTERVAL: Duration = Duration::from_secs(60);

/// What a followed registry reports to the node.
#[derive(Debug)]
pub enum RegistryEvent {
    /// Keys have changed.
    Change(Change),
    /// The freshness of the copy has changed.
    FreshnessChanged {
        /// Freshness before.
        from: Freshness,
        /// Freshness now.
        to: Freshness,
        /// The reason.
        cause: Cause,
    },
    /// Something that operators should know.
    Note(Note),
}

/// Client for a registry's protocol. It carries out single calls and neither chooses endpoints nor retries.
#[allow(async_fn_in_trait)]
pub trait RegistryClient: 'static {
    /// Runs one call at an endpoint and returns its last event. Earlier events are passed to `on_event` as
    /// they come, and each item of `probes` requests the progress of an open watch. Dropping the future
    /// aborts the call.
    ///
    /// # Errors
    ///
    /// Returns why the call failed.
    async fn query(
        &self,
        call: CallId,
        endpoint: usize,
        query: Query,
        probes: mpsc::Receiver<()>,
        on_event: impl Fn(Event),
    ) -> Result<Event, Failure>;

    /// Discards the cached connection or token of an endpoint after a call there failed, or was aborted
    /// (`None`): it may be dead or invalid.
    fn invalidate(&self, endpoint: usize, failure: Option<Failure>);
}

type Listener = Box<dyn Fn(RegistryEvent)>;

/// A call that is in flight.
struct OpenCall {
    endpoint: usize,
    task: AbortHandle,
    probes: mpsc::Sender<()>,
}

/// Follows one registry. Must be used within a `LocalSet`.
pub struct Shell<W> {
    client: W,
    follower: RefCell<Follower>,
    timer: Timer,
    calls: RefCell<HashMap<CallId, OpenCall>>,
    listener: RefCell<Option<Listener>>,
}

impl<W: RegistryClient> Shell<W> {
    /// Returns a shell that has not read anything from the registry yet.
    ///
    /// # Errors
    ///
    /// Returns the key of the first invalid setting and the reason.
    pub fn new(client: W, settings: Settings, seed: u64) -> Result<Rc<Self>, (&'static str, &'static str)> {
        Ok(Rc::new(Self {
            client,
            follower: RefCell::new(Follower::new(settings, seed)?),
            timer: Timer::default(),
            calls: RefCell::default(),
            listener: RefCell::default(),
        }))
    }

    /// Follows the registry for as long as the future is polled, and passes each event to `listener`.
    pub async fn follow(self: Rc<Self>, listener: impl Fn(RegistryEvent) + 'static) {
        *self.listener.borrow_mut() = Some(Box::new(listener));
        loop {
            self.handle(Event::Tick);
            let latest = self.timer.now() + MAX_TICK_INTERVAL;
            let wake = self.follower.borrow().next_wake().map_or(latest, |wake| wake.min(latest));
            self.timer.sleep(Some(wake)).await;
        }
    }

    /// Returns the freshness of the copy, the time since it was last confirmed (`None` if it never was), its
    /// revision and the statistics.
    pub fn status(&self) -> (Freshness, Option<Duration>, Option<u64>, Counts) {
        let follower = self.follower.borrow();
        let age = follower.age(self.timer.now());
        (follower.freshness(), age, follower.revision(), follower.counts().clone())
    }

    fn handle(self: &Rc<Self>, event: Event) {
        let mut actions = Vec::new();
        self.follower.borrow_mut().handle(self.timer.now(), event, &mut actions);
        for action in actions {
            match action {
                Action::Call { call, endpoint, query } => self.start_call(call, endpoint, query),
                Action::Probe(call) => {
                    if let Some(open_call) = self.calls.borrow().get(&call) {
                        let _ = open_call.probes.try_send(());
                    }
                }
                Action::Abort(call) => {
                    if let Some(open_call) = self.calls.borrow_mut().remove(&call) {
                        open_call.task.abort();
                        // Without this, the next call would use a connection that no longer answers.
                        self.client.invalidate(open_call.endpoint, None);
                    }
                }
                Action::Apply(change) => self.emit(RegistryEvent::Change(change)),
                Action::FreshnessChanged { from, to, cause } => {
                    self.emit(RegistryEvent::FreshnessChanged { from, to, cause })
                }
                Action::Note(note) => self.emit(RegistryEvent::Note(note)),
            }
        }
        self.timer.wake_no_later_than(self.follower.borrow().next_wake());
    }

    fn emit(&self, event: RegistryEvent) {
        if let Some(listener) = &*self.listener.borrow() {
            listener(event);
        }
    }

    fn start_call(self: &Rc<Self>, call: CallId, endpoint: usize, query: Query) {
        let (probes, probe_receiver) = mpsc::channel(MAX_QUEUED_PROBES);
        let shell = Rc::clone(self);
        let task = tokio::task::spawn_local(async move {
            let on_event = |event| shell.handle(event);
            let result = shell.client.query(call, endpoint, query, probe_receiver, on_event).await;
            // The call was aborted in the meantime; its result is ignored.
            if shell.calls.borrow_mut().remove(&call).is_none() {
                return;
            }
            shell.handle(result.unwrap_or_else(|failure| {
                shell.client.invalidate(endpoint, Some(failure));
                Event::Failed { call, failure }
            }));
        });
        self.calls.borrow_mut().insert(call, OpenCall { endpoint, task: task.abort_handle(), probes });
    }
}
