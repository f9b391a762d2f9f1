//! Carries out what `spurdrum_admission` decides on connections: the one owner of the node's descriptors.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use spurdrum_admission::{
    Action, Admission, ConnId, Counts, Event, Level, Limits, Reason, Settings, State, Verdict,
};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::pause::{sleep_and_catch_up, PauseAdjustedClock};

/// While the level is not calm, the log says how things stand this often.
const REPORT_EVERY: Duration = Duration::from_secs(10);

/// What a connection's task has been told to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionCommand {
    /// Half-close, unless something has come.
    Close,
    /// Pass it on to the process that takes over, unless something has come.
    HandOver,
    /// Answer what is half sent, then close.
    Expire(Reason),
    /// Close at once.
    Abort(Reason),
}

/// A connection as its own task and this module share it.
pub struct ConnectionPermit {
    /// What the decisions call it.
    pub id: ConnId,
    /// Where it comes from.
    pub peer: IpAddr,
    connections: Rc<Connections>,
    order: Cell<Option<ConnectionCommand>>,
    /// Raised with an order.
    pub command_ready: Notify,
    /// Whether the body of a request is being read now: an expiry is then that reader's to answer.
    pub reading_body: Cell<bool>,
    /// Raised for the body's reader.
    body_late: Notify,
}

impl ConnectionPermit {
    /// Tells the decisions what has happened to it.
    pub fn handle_event(&self, event: Event) -> Verdict {
        self.connections.handle_event(event)
    }

    /// Waits until the body that is being read has had its time.
    pub async fn body_expired(&self) -> Reason {
        loop {
            self.body_late.notified().await;
            // Guards against an expiry that came just as an earlier body was whole.
            if let Some(ConnectionCommand::Expire(reason)) = self.take_command() {
                return reason;
            }
        }
    }

    /// The order that has come, once.
    pub fn take_command(&self) -> Option<ConnectionCommand> {
        self.order.take()
    }

    /// Where it stands.
    pub fn state(&self) -> Option<State> {
        self.connections.admission.borrow().state(self.id)
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.connections.seats.borrow_mut().remove(&self.id);
        self.handle_event(Event::Closed { id: self.id });
    }
}

/// The budgets of descriptors, and those who hold client connections.
pub struct Connections {
    admission: RefCell<Admission>,
    /// Clients are not judged by what they did while this process stood still.
    attention: Rc<PauseAdjustedClock>,
    seats: RefCell<HashMap<ConnId, std::rc::Weak<ConnectionPermit>>>,
    last_id: Cell<u64>,
    /// Until when the timer sleeps.
    sleeps_until: Cell<Option<Duration>>,
    changed: Notify,
    /// Raised when a connection to a server is to be closed.
    pub server_close_requested: Notify,
    /// An answer that its client does not read is held for so long.
    pub max_unread_time: Duration,
    /// What refusals for want of a place say.
    retry_after_ms: Cell<Option<f64>>,
    /// What it says at the most where settings allow it.
    retry_after_own_ms: f64,
    reported: Cell<Instant>,
}

impl Connections {
    /// Budgets from these limits. Clients are told to come back after `retry_after_most_ms` at the latest; none: they are told
    /// nothing.
    ///
    /// # Errors
    ///
    /// The first setting that makes no sense, and why.
    pub fn new(
        settings: Settings,
        limits: Limits,
        retry_after_most_ms: Option<f64>,
    ) -> Result<Rc<Self>, (&'static str, String)> {
        let after = settings.retry_after.as_secs_f64() * 1000.0;
        let max_unread_time = settings.read.max;
        let admission = Admission::new(settings, limits)?;
        Ok(Rc::new(Self {
            admission: RefCell::new(admission),
            max_unread_time,
            attention: PauseAdjustedClock::new(),
            seats: RefCell::default(),
            last_id: Cell::new(0),
            sleeps_until: Cell::new(None),
            changed: Notify::new(),
            server_close_requested: Notify::new(),
            retry_after_ms: Cell::new(retry_after_most_ms.map(|most| most.min(after))),
            retry_after_own_ms: after,
            reported: Cell::new(Instant::now()),
        }))
    }

    /// The clock by which this node judges others.
    pub fn clock(&self) -> &Rc<PauseAdjustedClock> {
        &self.attention
    }

    /// What a refusal for want of a place says.
    pub fn retry_after_ms(&self) -> Option<f64> {
        self.retry_after_ms.get()
    }

    /// Clients may be told to come back after so long at the latest, from now on.
    pub fn set_max_retry_after(&self, most_ms: Option<f64>) {
        self.retry_after_ms.set(most_ms.map(|most| most.min(self.retry_after_own_ms)));
    }

    /// Tells the decisions what has happened, and carries out what they say.
    pub fn handle_event(&self, event: Event) -> Verdict {
        let mut actions = Vec::new();
        let verdict = self.admission.borrow_mut().handle(self.attention.now(), event, &mut actions);
        for action in actions {
            match action {
                Action::Close(id) => self.order(id, ConnectionCommand::Close),
                Action::HandOver(id) => self.order(id, ConnectionCommand::HandOver),
                Action::Expire(id, reason) => self.order(id, ConnectionCommand::Expire(reason)),
                Action::Abort(id, reason) => self.order(id, ConnectionCommand::Abort(reason)),
                Action::CloseServerConnection => self.server_close_requested.notify_one(),
                Action::LevelChanged { from, to } => self.report(&format!("level {from:?} -> {to:?}")),
            }
        }
        let wake = self.admission.borrow().next_wake();
        if wake.is_some_and(|wake| self.sleeps_until.get().is_none_or(|until| wake < until)) {
            self.changed.notify_one();
        }
        verdict
    }

    /// Descriptors in use, and the most that may be.
    pub fn descriptor_usage(&self) -> (usize, usize) {
        self.admission.borrow().descriptor_usage()
    }

    fn order(&self, id: ConnId, order: ConnectionCommand) {
        let Some(seat) = self.seats.borrow().get(&id).and_then(std::rc::Weak::upgrade) else { return };
        seat.order.set(Some(order));
        let to_body = matches!(order, ConnectionCommand::Expire(_)) && seat.reading_body.get();
        if to_body { &seat.body_late } else { &seat.command_ready }.notify_one();
    }

    /// A connection has been accepted: its seat, and whether it can only be refused. `None` where there is not
    /// even a place for that.
    pub fn accept(self: &Rc<Self>, peer: IpAddr) -> Option<Rc<ConnectionPermit>> {
        let id = ConnId(self.last_id.get() + 1);
        self.last_id.set(id.0);
        if self.handle_event(Event::Accepted { id, peer }) == Verdict::Drop {
            return None;
        }
        let seat = Rc::new(ConnectionPermit {
            id,
            peer,
            connections: Rc::clone(self),
            order: Cell::new(None),
            command_ready: Notify::new(),
            reading_body: Cell::new(false),
            body_late: Notify::new(),
        });
        self.seats.borrow_mut().insert(id, Rc::downgrade(&seat));
        Some(seat)
    }

    /// Client connections that are open.
    pub fn open_connections(&self) -> usize {
        self.seats.borrow().len()
    }

    /// Whether some have been told to close: their tasks need a turn to do so.
    pub fn has_closing(&self) -> bool {
        self.admission.borrow().counts().in_state(State::Closing) > 0
    }

    fn report(&self, what: &str) {
        let counts: Counts = self.admission.borrow().counts().clone();
        tracing::info!("connections: {what}; {counts}");
        self.reported.set(Instant::now());
    }

    /// Wakes the decisions when they want it, for as long as the node runs.
    pub async fn run_timer(self: Rc<Self>) {
        loop {
            let wake = self.admission.borrow().next_wake();
            self.sleeps_until.set(wake);
            match wake {
                None => self.changed.notified().await,
                Some(wake) => tokio::select! {
                    () = self.changed.notified() => continue,
                    () = sleep_and_catch_up(wake.saturating_sub(self.attention.now())) => {}
                },
            }
            self.handle_event(Event::Tick);
            let pressed = self.admission.borrow().level() > Level::Calm;
            if pressed && self.reported.get().elapsed() >= REPORT_EVERY {
                self.report("still pressed");
            }
        }
    }
}

/// A place for a connection to a server, free again when it is dropped with its socket.
pub struct ServerConnectionPermit(Rc<Connections>);

impl ServerConnectionPermit {
    /// Takes a place, where there is one.
    pub fn acquire(connections: &Rc<Connections>) -> Option<Self> {
        let granted = connections.handle_event(Event::ServerConnectionRequested) == Verdict::Serve;
        granted.then(|| Self(Rc::clone(connections)))
    }
}

impl Drop for ServerConnectionPermit {
    fn drop(&mut self) {
        self.0.handle_event(Event::ServerConnectionClosed);
    }
}

/// Whether an error says that the system has no descriptor or memory for one more socket.
pub fn is_resource_exhausted(error: &io::Error) -> bool {
    use rustix::io::Errno;
    let starved = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];
    error.raw_os_error().is_some_and(|code| starved.iter().any(|errno| errno.raw_os_error() == code))
}
