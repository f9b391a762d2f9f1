//! Carries out the decisions of `spurdrum_admission` on client connections. [`Connections`] is the only owner
//! of the node's descriptors.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::IpAddr;
use std::rc::Rc;
use std::task::Waker;
use std::time::Duration;

use spurdrum_admission::{
    Action, Admission, ConnId, Counts, Event, Level, Limits, MemoryUsage, Reason, Settings, State,
    TransferTimeout, Verdict,
};
use spurdrum_process_memory::{release, ResidentMemory};
use tokio::sync::Notify;
use tokio::time::{sleep, Instant};

use crate::pause::{sleep_and_catch_up, PauseAdjustedClock};

/// How often the counters are logged while the level is not [`Level::Calm`].
const REPORT_INTERVAL: Duration = Duration::from_secs(10);
/// How often the memory of the process is measured.
const MEASURE_INTERVAL: Duration = Duration::from_millis(250);

/// A command to a connection's task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionCommand {
    /// Half-close the connection, unless something has been received.
    Close,
    /// Hand the connection over to the incoming process, unless something has been received.
    HandOver,
    /// Answer the half-sent request, then close the connection.
    Expire(Reason),
    /// Close the connection immediately.
    Abort(Reason),
}

/// The right to a descriptor for a client connection, shared by the connection's task and this module. The
/// descriptor is free again when the permit is dropped.
pub struct ConnectionPermit {
    /// The connection's identifier in admission control.
    pub id: ConnId,
    /// The client's address.
    pub peer: IpAddr,
    connections: Rc<Connections>,
    command: Cell<Option<ConnectionCommand>>,
    /// Notified when a command is pending.
    pub command_ready: Notify,
    /// Whether a request body is being read now: its reader then has to answer an expiry.
    pub reading_body: Cell<bool>,
    /// Notified when the body being read has expired; for its reader.
    body_timeout: Notify,
}

impl ConnectionPermit {
    /// Reports an event of this connection to admission control and returns the verdict.
    pub fn handle_event(&self, event: Event) -> Verdict {
        self.connections.handle_event(event)
    }

    /// Waits until the time limit of the body being read has expired.
    pub async fn body_expired(&self) -> Reason {
        loop {
            self.body_timeout.notified().await;
            // A notification may be left over from an expiry that arrived just as an earlier body completed.
            if let Some(ConnectionCommand::Expire(reason)) = self.take_command() {
                return reason;
            }
        }
    }

    /// Takes the pending command, if there is one.
    pub fn take_command(&self) -> Option<ConnectionCommand> {
        self.command.take()
    }

    /// Returns whether there is memory to read `next` bytes behind `received` bytes of a head, or behind a
    /// pending request.
    pub fn may_read(&self, received: usize, next: usize) -> bool {
        self.connections.admission.borrow().may_read(self.id, received as u64, next as u64)
    }

    /// Waits until there is memory for a body that holds `bytes`, and charges it.
    pub async fn reserve_body(&self, bytes: u64) {
        loop {
            let available = self.connections.memory_available.notified();
            if self.handle_event(Event::BodyMemoryRequested { id: self.id, bytes }) == Verdict::Serve {
                return;
            }
            available.await;
        }
    }

    /// Called when input is left unread because there is no memory for it; `waker` is woken when there may be
    /// some.
    pub fn defer_read(&self, waker: &Waker) {
        self.connections.read_waiters.borrow_mut().insert(self.id, waker.clone());
        self.handle_event(Event::ReadDeferred { id: self.id });
    }

    /// Returns the connection's state.
    pub fn state(&self) -> Option<State> {
        self.connections.admission.borrow().state(self.id)
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.connections.permits.borrow_mut().remove(&self.id);
        self.connections.read_waiters.borrow_mut().remove(&self.id);
        self.handle_event(Event::Closed { id: self.id });
    }
}

/// The budgets of descriptors, and the permits of open client connections.
pub struct Connections {
    admission: RefCell<Admission>,
    /// Timeouts of clients go by this clock, so that pauses of this process do not count against them.
    clock: Rc<PauseAdjustedClock>,
    permits: RefCell<HashMap<ConnId, std::rc::Weak<ConnectionPermit>>>,
    last_id: Cell<u64>,
    /// When the timer task will wake up.
    wakes_at: Cell<Option<Duration>>,
    wake_changed: Notify,
    /// The connections whose input waits for memory.
    read_waiters: RefCell<HashMap<ConnId, Waker>>,
    /// Notified when those who wait for memory for a response may ask again.
    memory_available: Notify,
    /// The measurement of this process's memory, if the system allows it.
    resident_memory: Option<ResidentMemory>,
    /// Whether it was logged that the process holds much beside its connections.
    large_process_reported: Cell<bool>,
    /// Notified when a connection to a server should be closed.
    pub server_close_requested: Notify,
    /// The time limit for a client to read a response.
    pub read_timeout: TransferTimeout,
    /// The retry-after time of refusals for want of capacity; none if they name none.
    retry_after_ms: Cell<Option<f64>>,
    /// The configured retry-after time, before the limit is applied.
    configured_retry_after_ms: f64,
    reported_at: Cell<Instant>,
}

impl Connections {
    /// Creates the budgets from these limits. Refusals tell clients to retry after `max_retry_after_ms` at
    /// the latest; if it is none, they name no time.
    ///
    /// # Errors
    ///
    /// The first wrong setting, and the reason.
    pub fn new(
        settings: Settings,
        limits: Limits,
        max_retry_after_ms: Option<f64>,
    ) -> Result<Rc<Self>, (&'static str, String)> {
        let configured_ms = settings.retry_after.as_secs_f64() * 1000.0;
        let read_timeout = settings.read;
        let admission = Admission::new(settings, limits)?;
        Ok(Rc::new(Self {
            admission: RefCell::new(admission),
            read_timeout,
            clock: PauseAdjustedClock::new(),
            permits: RefCell::default(),
            last_id: Cell::new(0),
            wakes_at: Cell::new(None),
            wake_changed: Notify::new(),
            read_waiters: RefCell::default(),
            memory_available: Notify::new(),
            resident_memory: ResidentMemory::open().ok(),
            large_process_reported: Cell::new(false),
            server_close_requested: Notify::new(),
            retry_after_ms: Cell::new(max_retry_after_ms.map(|max_ms| max_ms.min(configured_ms))),
            configured_retry_after_ms: configured_ms,
            reported_at: Cell::new(Instant::now()),
        }))
    }

    /// Returns the clock by which this node measures timeouts of others.
    pub fn clock(&self) -> &Rc<PauseAdjustedClock> {
        &self.clock
    }

    /// Returns the retry-after time of refusals for want of capacity.
    pub fn retry_after_ms(&self) -> Option<f64> {
        self.retry_after_ms.get()
    }

    /// Limits the retry-after time of refusals from now on.
    pub fn set_max_retry_after(&self, max_ms: Option<f64>) {
        self.retry_after_ms.set(max_ms.map(|max_ms| max_ms.min(self.configured_retry_after_ms)));
    }

    /// Reports an event to admission control, carries out the resulting actions and returns the verdict.
    pub fn handle_event(&self, event: Event) -> Verdict {
        let mut actions = Vec::new();
        let verdict = self.admission.borrow_mut().handle(self.clock.now(), event, &mut actions);
        for action in actions {
            match action {
                Action::Close(id) => self.send_command(id, ConnectionCommand::Close),
                Action::HandOver(id) => self.send_command(id, ConnectionCommand::HandOver),
                Action::Expire(id, reason) => self.send_command(id, ConnectionCommand::Expire(reason)),
                Action::Abort(id, reason) => self.send_command(id, ConnectionCommand::Abort(reason)),
                Action::CloseServerConnection => self.server_close_requested.notify_one(),
                Action::MemoryAvailable => self.wake_memory_waiters(),
                Action::ReleaseMemory => self.release_memory(),
                Action::LevelChanged { from, to } => self.report(&format!("level {from:?} -> {to:?}")),
            }
        }
        let wake = self.admission.borrow().next_wake();
        if wake.is_some_and(|wake| self.wakes_at.get().is_none_or(|wakes_at| wake < wakes_at)) {
            self.wake_changed.notify_one();
        }
        verdict
    }

    fn wake_memory_waiters(&self) {
        // Those who are woken may wait again at once.
        let waiters = std::mem::take(&mut *self.read_waiters.borrow_mut());
        waiters.into_values().for_each(Waker::wake);
        self.memory_available.notify_waiters();
    }

    /// Returns freed memory to the operating system.
    pub fn release_memory(&self) {
        release();
        self.measure_memory();
    }

    /// Measures what the process holds, and reports it to admission control.
    fn measure_memory(&self) {
        let Some(Ok(resident)) = self.resident_memory.as_ref().map(ResidentMemory::read) else { return };
        self.handle_event(Event::MemoryMeasured { resident });
        let (unaccounted, limit) = (self.memory_usage().unaccounted, self.memory_limit());
        let is_large = unaccounted > limit / 2;
        if is_large && !self.large_process_reported.replace(is_large) {
            tracing::warn!(
                "the process holds {} MB beside its connections, of a limit of {} MB: connections get less",
                unaccounted >> 20,
                limit >> 20
            );
        }
    }

    /// Measures the memory of the process regularly, for as long as the node runs.
    pub async fn run_memory_measurement(self: Rc<Self>) {
        loop {
            self.measure_memory();
            sleep(MEASURE_INTERVAL).await;
        }
    }

    /// Waits until there is memory for a response that holds `bytes`, and charges it.
    pub async fn reserve_response(self: &Rc<Self>, bytes: u64) -> ResponseMemory {
        loop {
            let available = self.memory_available.notified();
            if self.handle_event(Event::ResponseMemoryRequested { bytes }) == Verdict::Serve {
                return ResponseMemory { connections: Rc::clone(self), bytes };
            }
            available.await;
        }
    }

    /// Returns the account of memory.
    pub fn memory_usage(&self) -> MemoryUsage {
        self.admission.borrow().memory_usage()
    }

    /// Returns the memory limit of the node, in bytes.
    pub fn memory_limit(&self) -> u64 {
        self.admission.borrow().memory_limit()
    }

    /// Returns the part of the node's memory limit that this process needs for what it holds now.
    pub fn held_memory(&self) -> u64 {
        self.admission.borrow().held_memory()
    }

    /// Returns the part of the node's memory limit that this process needs to answer the requests that it has
    /// and one more on each connection.
    pub fn needed_memory(&self) -> u64 {
        self.admission.borrow().needed_memory()
    }

    /// Returns the number of descriptors in use, and the limit.
    pub fn descriptor_usage(&self) -> (usize, usize) {
        self.admission.borrow().descriptor_usage()
    }

    fn send_command(&self, id: ConnId, command: ConnectionCommand) {
        let Some(permit) = self.permits.borrow().get(&id).and_then(std::rc::Weak::upgrade) else { return };
        permit.command.set(Some(command));
        let to_body_reader = matches!(command, ConnectionCommand::Expire(_)) && permit.reading_body.get();
        if to_body_reader { &permit.body_timeout } else { &permit.command_ready }.notify_one();
    }

    /// Registers an accepted connection and returns its permit; [`ConnectionPermit::state`] and the verdict
    /// on its request tell whether it is served. Returns `None` if there is no capacity even to refuse it.
    pub fn accept(self: &Rc<Self>, peer: IpAddr) -> Option<Rc<ConnectionPermit>> {
        let id = ConnId(self.last_id.get() + 1);
        self.last_id.set(id.0);
        if self.handle_event(Event::Accepted { id, peer }) == Verdict::Drop {
            return None;
        }
        let permit = Rc::new(ConnectionPermit {
            id,
            peer,
            connections: Rc::clone(self),
            command: Cell::new(None),
            command_ready: Notify::new(),
            reading_body: Cell::new(false),
            body_timeout: Notify::new(),
        });
        self.permits.borrow_mut().insert(id, Rc::downgrade(&permit));
        Some(permit)
    }

    /// Returns the number of open client connections.
    pub fn open_connections(&self) -> usize {
        self.permits.borrow().len()
    }

    /// Returns whether some connections are closing: their tasks need to be scheduled to do so.
    pub fn has_closing(&self) -> bool {
        self.admission.borrow().counts().in_state(State::Closing) > 0
    }

    fn report(&self, headline: &str) {
        let counts: Counts = self.admission.borrow().counts().clone();
        let memory = self.memory_usage();
        tracing::info!(
            "connections: {headline}; {counts}; memory clients={} requests={} servers={} other={} max={} KiB",
            memory.clients / 1024,
            memory.requests / 1024,
            memory.servers / 1024,
            memory.unaccounted / 1024,
            memory.max / 1024
        );
        self.reported_at.set(Instant::now());
    }

    /// Runs the timer of admission control, for as long as the node runs.
    pub async fn run_timer(self: Rc<Self>) {
        loop {
            let wake = self.admission.borrow().next_wake();
            self.wakes_at.set(wake);
            match wake {
                None => self.wake_changed.notified().await,
                Some(wake) => tokio::select! {
                    () = self.wake_changed.notified() => continue,
                    () = sleep_and_catch_up(wake.saturating_sub(self.clock.now())) => {}
                },
            }
            self.handle_event(Event::Tick);
            let pressed = self.admission.borrow().level() > Level::Calm;
            if pressed && self.reported_at.get().elapsed() >= REPORT_INTERVAL {
                self.report("still under pressure");
            }
        }
    }
}

/// The right to a descriptor for a connection to a server. The descriptor is free again when the permit is
/// dropped together with the socket.
pub struct ServerConnectionPermit(Rc<Connections>);

impl ServerConnectionPermit {
    /// Acquires a permit, if there is capacity.
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

/// The memory of a response that is received from a server. It is free again when this is dropped.
pub struct ResponseMemory {
    connections: Rc<Connections>,
    bytes: u64,
}

impl ResponseMemory {
    /// Gives back what goes beyond `bytes`.
    pub fn shrink_to(&mut self, bytes: u64) {
        let excess = self.bytes.saturating_sub(bytes);
        self.bytes -= excess;
        self.connections.handle_event(Event::ResponseMemoryReleased { bytes: excess });
    }
}

impl Drop for ResponseMemory {
    fn drop(&mut self) {
        self.connections.handle_event(Event::ResponseMemoryReleased { bytes: self.bytes });
    }
}

/// Returns whether an error means that the operating system has no descriptor or memory for another socket.
pub fn is_resource_exhausted(error: &io::Error) -> bool {
    use rustix::io::Errno;
    let exhausted = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];
    error.raw_os_error().is_some_and(|code| exhausted.iter().any(|errno| errno.raw_os_error() == code))
}
