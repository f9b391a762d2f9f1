//! Pure state machine by which a node registers itself in a registry: one key under a lease, which is renewed
//! while the node lives, and marked as leaving before the node ends.
//!
//! ```
//! use std::time::Duration;
//! use spurdrum_sources::registry::registrar::{Action, Event, Operation, Registrar, Settings};
//!
//! let mut registrar = Registrar::new(Settings::default(), 7).expect("valid settings");
//! let mut actions = Vec::new();
//! registrar.handle(Duration::ZERO, Event::Tick, &mut actions);
//! assert!(matches!(actions[0], Action::Call { operation: Operation::Grant { .. }, .. }));
//! ```
//!
//! The registry deletes the key when the lease ends. So the key of a node that dies disappears, and a node
//! that was cut off registers again under a new lease. The time to live is counted from when the grant or
//! renewal was *requested*: the registry cannot have started to count earlier, so the node never relies on a
//! lease that has ended. Only the time passed to [`Registrar::handle`] counts; steps of the wall clock have
//! no effect.

use std::fmt;
use std::time::Duration;

use crate::backoff_delay;

/// A lease is renewed after its time to live divided by this.
const RENEWALS_PER_TTL: u32 = 3;

/// Settings of a [`Registrar`].
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of the registry's endpoints.
    pub endpoints: usize,
    /// Time to live to request for a lease.
    pub ttl: Duration,
    /// How long the key says that the node is leaving, before it is deleted.
    pub drain: Duration,
    /// A call without an answer is aborted after this long and counts as failed.
    pub silence_timeout: Duration,
    /// Delay after the first failed round over the endpoints, approximately.
    pub min_retry_delay: Duration,
    /// Maximum delay between failed rounds.
    pub max_retry_delay: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        let ms = Duration::from_millis;
        Self {
            endpoints: 1,
            ttl: ms(10_000),
            drain: ms(500),
            silence_timeout: ms(1000),
            min_retry_delay: ms(100),
            max_retry_delay: ms(2000),
        }
    }
}

impl Settings {
    /// Checks that each setting is in range and that they are consistent.
    ///
    /// # Errors
    ///
    /// Returns the key of the first invalid setting and the reason.
    pub fn validate(&self) -> Result<(), (&'static str, &'static str)> {
        let seconds = Duration::from_secs;
        let require = |ok: bool, key, reason| if ok { Ok(()) } else { Err((key, reason)) };
        require(self.endpoints > 0, "endpoints", "must not be empty")?;
        require(
            self.ttl >= seconds(2) && self.ttl <= seconds(3600),
            "ttl_ms",
            "must be from 2 seconds to 1 hour",
        )?;
        require(self.drain <= seconds(60), "drain_ms", "must be at most 1 minute")?;
        require(
            self.silence_timeout >= Duration::from_millis(1) && self.silence_timeout <= seconds(60),
            "give_up_ms",
            "must be from 1 ms to 1 minute",
        )?;
        require(
            self.min_retry_delay <= self.max_retry_delay,
            "retry_least_ms",
            "must not be above `retry_most_ms`",
        )
    }
}

/// Identifies a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// What a call asks the registry to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Grant a lease.
    Grant {
        /// Time to live to request.
        ttl: Duration,
    },
    /// Put the node's key under the lease.
    Put {
        /// Id of the lease.
        lease: i64,
        /// Whether the value says that the node is leaving.
        leaving: bool,
    },
    /// Renew the lease.
    Renew {
        /// Id of the lease.
        lease: i64,
    },
    /// Revoke the lease, which deletes the key.
    Revoke {
        /// Id of the lease.
        lease: i64,
    },
}

/// Result of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// The lease was granted.
    Granted {
        /// Id of the lease.
        lease: i64,
        /// Granted time to live.
        ttl: Duration,
    },
    /// The key was put, or the lease revoked.
    Done,
    /// The lease was renewed.
    Renewed {
        /// Time to live from now on; zero if the lease does not exist.
        ttl: Duration,
    },
    /// The lease does not exist.
    NoLease,
    /// The call failed.
    Failed,
}

/// Input of the state machine.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// Time has passed. The first tick starts the registration.
    Tick,
    /// A call has ended.
    Ended {
        /// The call.
        call: CallId,
        /// Its result.
        result: CallResult,
    },
    /// The node is about to end.
    Leave,
}

/// Output of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start a call.
    Call {
        /// Id of the new call.
        call: CallId,
        /// Index of the endpoint to call.
        endpoint: usize,
        /// What to do.
        operation: Operation,
    },
    /// Abort a call; its result is no longer accepted.
    Abort(CallId),
    /// The state of the registration has changed.
    State(State),
}

/// State of the registration, as far as the node knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Not registered, or not for certain.
    Absent,
    /// Registered under a valid lease.
    Present,
    /// Registered as leaving.
    Leaving,
    /// Removed for good: the node may end.
    Gone,
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Absent => "absent",
            Self::Present => "present",
            Self::Leaving => "leaving",
            Self::Gone => "gone",
        })
    }
}

struct Call {
    id: CallId,
    endpoint: usize,
    operation: Operation,
    started_at: Duration,
}

/// Registers one node.
pub struct Registrar {
    settings: Settings,
    random: fastrand::Rng,
    state: State,
    /// Id of the lease, and the time until which it is certain to be valid.
    lease: Option<(i64, Duration)>,
    call: Option<Call>,
    last_call_id: u64,
    /// The next operation, and when it is due.
    next: Option<(Duration, Step)>,
    endpoint: usize,
    failures: u32,
    /// When the node was told to leave.
    leaving_since: Option<Duration>,
}

#[derive(Clone, Copy, PartialEq)]
enum Step {
    Grant,
    Put,
    Renew,
    Revoke,
}

impl Registrar {
    /// Returns a registrar of a node that is not registered yet. `seed` drives the choice of the first
    /// endpoint and the jitter of delays.
    ///
    /// # Errors
    ///
    /// Returns the key of the first invalid setting and the reason.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, (&'static str, &'static str)> {
        settings.validate()?;
        let mut random = fastrand::Rng::with_seed(seed);
        Ok(Self {
            endpoint: random.usize(..settings.endpoints),
            random,
            state: State::Absent,
            lease: None,
            call: None,
            last_call_id: 0,
            next: Some((Duration::ZERO, Step::Grant)),
            failures: 0,
            leaving_since: None,
            settings,
        })
    }

    /// Returns the state of the registration.
    pub fn state(&self) -> State {
        self.state
    }

    /// Handles an event and appends the resulting actions. `now` must not decrease.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => {}
            Event::Ended { call, result } => self.on_ended(now, call, result, actions),
            Event::Leave => self.on_leave(now, actions),
        }
        self.apply_timers(now, actions);
    }

    /// Returns when the next [`Event::Tick`] is due at the latest; `None` once the state is [`State::Gone`].
    pub fn next_wake(&self) -> Option<Duration> {
        if self.state == State::Gone {
            return None;
        }
        let call_timeout = self.call.as_ref().map(|call| call.started_at + self.settings.silence_timeout);
        let next_step = self.next.filter(|_| self.call.is_none()).map(|(at, _)| at);
        let lease_end = self.lease.filter(|_| self.state != State::Absent).map(|(_, expires_at)| expires_at);
        let leave_deadline = self.leaving_since.map(|since| since + self.max_leave_time());
        [call_timeout, next_step, lease_end, leave_deadline].into_iter().flatten().min()
    }

    /// Returns the maximum time that leaving may take. A registry that does not answer cannot delay it
    /// longer, since the lease ends by itself.
    fn max_leave_time(&self) -> Duration {
        self.settings.drain + 2 * self.settings.silence_timeout
    }

    /// Aborts an overdue call, drops an expired lease and starts the next operation when it is due.
    fn apply_timers(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.state == State::Gone {
            return;
        }
        if self.leaving_since.is_some_and(|since| now >= since + self.max_leave_time()) {
            return self.finish(actions);
        }
        if let Some(call) =
            self.call.as_ref().filter(|call| now >= call.started_at + self.settings.silence_timeout)
        {
            let id = call.id;
            actions.push(Action::Abort(id));
            self.on_ended(now, id, CallResult::Failed, actions);
        }
        if self.lease.is_some_and(|(_, expires_at)| now >= expires_at) {
            // The lease may have ended, so the key in the registry can no longer be relied on.
            self.lease = None;
            self.set_state(State::Absent, actions);
            if self.leaving_since.is_some() {
                return self.finish(actions);
            }
            if let Some(call) = self.call.take() {
                actions.push(Action::Abort(call.id));
            }
            let delay = self.retry_delay();
            self.next = Some((now + delay, Step::Grant));
        }
        let Some((_, step)) = self.next.filter(|(at, _)| *at <= now && self.call.is_none()) else { return };
        self.next = None;
        let leaving = self.leaving_since.is_some();
        let operation = match (step, self.lease) {
            (Step::Put, Some((lease, _))) => Operation::Put { lease, leaving },
            (Step::Renew, Some((lease, _))) => Operation::Renew { lease },
            (Step::Revoke, Some((lease, _))) => Operation::Revoke { lease },
            (Step::Grant, _) | (_, None) => Operation::Grant { ttl: self.settings.ttl },
        };
        self.last_call_id += 1;
        let call =
            Call { id: CallId(self.last_call_id), endpoint: self.endpoint, operation, started_at: now };
        actions.push(Action::Call { call: call.id, endpoint: call.endpoint, operation });
        self.call = Some(call);
    }

    fn set_state(&mut self, to: State, actions: &mut Vec<Action>) {
        if std::mem::replace(&mut self.state, to) != to {
            actions.push(Action::State(to));
        }
    }

    fn finish(&mut self, actions: &mut Vec<Action>) {
        if let Some(call) = self.call.take() {
            actions.push(Action::Abort(call.id));
        }
        self.next = None;
        self.set_state(State::Gone, actions);
    }

    /// Returns the delay before the next operation after a failure; the first round over all endpoints has
    /// none.
    fn retry_delay(&mut self) -> Duration {
        let rounds = self.failures as usize / self.settings.endpoints;
        if rounds == 0 {
            return Duration::ZERO;
        }
        let Settings { min_retry_delay, max_retry_delay, .. } = self.settings;
        backoff_delay(&mut self.random, min_retry_delay, max_retry_delay, rounds as u32 - 1)
    }

    fn on_leave(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.leaving_since.is_some() || self.state == State::Gone {
            return;
        }
        self.leaving_since = Some(now);
        // A call in flight is not waited for; a lease that was just being granted ends by itself.
        if let Some(call) = self.call.take() {
            actions.push(Action::Abort(call.id));
        }
        match self.lease {
            Some(_) => self.next = Some((now, Step::Put)),
            None => self.finish(actions),
        }
    }

    fn on_ended(&mut self, now: Duration, id: CallId, result: CallResult, actions: &mut Vec<Action>) {
        let Some(call) = self.call.take_if(|call| call.id == id) else { return };
        let renew_at = |ttl: Duration| call.started_at + ttl / RENEWALS_PER_TTL;
        if result != CallResult::Failed {
            self.failures = 0;
        }
        match (call.operation, result) {
            (Operation::Grant { .. }, CallResult::Granted { lease, ttl }) => {
                self.lease = Some((lease, call.started_at + ttl));
                self.next = Some((now, Step::Put));
            }
            (Operation::Put { leaving: true, .. }, CallResult::Done) => {
                self.set_state(State::Leaving, actions);
                let drained_at = self.leaving_since.unwrap_or(now) + self.settings.drain;
                self.next = Some((drained_at.max(now), Step::Revoke));
            }
            (Operation::Put { .. }, CallResult::Done) => {
                self.set_state(State::Present, actions);
                let expires_at = self.lease.map_or(now, |(_, expires_at)| expires_at);
                self.next = Some((now + expires_at.saturating_sub(now) / RENEWALS_PER_TTL, Step::Renew));
            }
            (Operation::Renew { lease }, CallResult::Renewed { ttl }) if !ttl.is_zero() => {
                self.lease = Some((lease, call.started_at + ttl));
                self.next = Some((renew_at(ttl).max(now), Step::Renew));
            }
            (Operation::Revoke { .. }, CallResult::Done | CallResult::NoLease) => self.finish(actions),
            (_, CallResult::NoLease | CallResult::Renewed { .. }) => {
                self.lease = None;
                self.set_state(State::Absent, actions);
                match self.leaving_since {
                    Some(_) => self.finish(actions),
                    None => self.next = Some((now, Step::Grant)),
                }
            }
            (operation, _) => {
                self.failures = self.failures.saturating_add(1);
                self.endpoint = (call.endpoint + 1) % self.settings.endpoints;
                let retry = match operation {
                    Operation::Grant { .. } => Step::Grant,
                    Operation::Put { .. } => Step::Put,
                    Operation::Renew { .. } => Step::Renew,
                    Operation::Revoke { .. } => Step::Revoke,
                };
                let delay = self.retry_delay();
                self.next = Some((now + delay, retry));
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: fn(u64) -> Duration = Duration::from_secs;

    /// Drives a registrar as a registry would, and records its calls and states.
    struct Driver {
        registrar: Registrar,
        now: Duration,
        calls: Vec<(CallId, Operation)>,
        states: Vec<State>,
    }

    impl Driver {
        fn new() -> Self {
            let settings = Settings { endpoints: 2, ..Settings::default() };
            let registrar = Registrar::new(settings, 3).expect("valid settings");
            let mut driver = Self { registrar, now: S(0), calls: Vec::new(), states: Vec::new() };
            driver.handle(Event::Tick);
            driver
        }

        fn handle(&mut self, event: Event) {
            let mut actions = Vec::new();
            self.registrar.handle(self.now, event, &mut actions);
            for action in actions {
                match action {
                    Action::Call { call, operation, .. } => self.calls.push((call, operation)),
                    Action::Abort(_) => {}
                    Action::State(state) => self.states.push(state),
                }
            }
        }

        fn answer(&mut self, result: CallResult) {
            let (call, _) = *self.calls.last().expect("a call");
            self.handle(Event::Ended { call, result });
        }

        fn advance(&mut self, time: Duration) {
            let end = self.now + time;
            while let Some(wake) = self.registrar.next_wake().filter(|wake| *wake <= end) {
                self.now = wake.max(self.now);
                self.handle(Event::Tick);
            }
            self.now = end;
        }

        fn last_operation(&self) -> Operation {
            self.calls.last().expect("a call").1
        }

        fn registered() -> Self {
            let mut driver = Self::new();
            driver.answer(CallResult::Granted { lease: 9, ttl: S(10) });
            assert_eq!(driver.last_operation(), Operation::Put { lease: 9, leaving: false });
            driver.answer(CallResult::Done);
            assert_eq!(driver.states, [State::Present]);
            driver
        }
    }

    #[test]
    fn a_lease_is_renewed_in_time_and_requested_anew_when_it_no_longer_exists() {
        let mut driver = Driver::registered();
        for _ in 0..5 {
            driver.advance(S(3));
            let calls = driver.calls.len();
            driver.advance(S(10) / 3 - S(3));
            assert_eq!(
                (driver.calls.len(), driver.last_operation()),
                (calls + 1, Operation::Renew { lease: 9 })
            );
            driver.answer(CallResult::Renewed { ttl: S(10) });
        }
        driver.advance(S(4));
        // etcd answers with a time to live of 0 for a lease that does not exist.
        driver.answer(CallResult::Renewed { ttl: S(0) });
        assert!(matches!(driver.last_operation(), Operation::Grant { .. }));
        driver.answer(CallResult::Granted { lease: 10, ttl: S(10) });
        driver.answer(CallResult::Done);
        assert_eq!(driver.states, [State::Present, State::Absent, State::Present]);
    }

    #[test]
    fn an_unreachable_registry_is_retried_with_growing_delays_and_the_lease_expires_in_time() {
        let mut driver = Driver::registered();
        let calls = driver.calls.len();
        // No call is answered.
        driver.advance(S(9));
        assert_eq!(driver.states, [State::Present]);
        driver.advance(S(1));
        assert_eq!(driver.states, [State::Present, State::Absent]);
        driver.advance(S(590));
        let tried = driver.calls.len() - calls;
        assert!((150..400).contains(&tried), "{tried}");
        assert!(matches!(driver.last_operation(), Operation::Grant { .. }));
    }

    #[test]
    fn a_node_is_marked_as_leaving_before_its_key_is_deleted() {
        let mut driver = Driver::registered();
        driver.advance(S(1));
        driver.handle(Event::Leave);
        assert_eq!(driver.last_operation(), Operation::Put { lease: 9, leaving: true });
        driver.answer(CallResult::Done);
        driver.advance(Duration::from_millis(499));
        assert_eq!(driver.last_operation(), Operation::Put { lease: 9, leaving: true });
        driver.advance(Duration::from_millis(1));
        assert_eq!(driver.last_operation(), Operation::Revoke { lease: 9 });
        driver.answer(CallResult::Done);
        assert_eq!(driver.states, [State::Present, State::Leaving, State::Gone]);
        assert_eq!(driver.registrar.next_wake(), None);
    }

    #[test]
    fn leaving_ends_in_time_when_the_registry_is_silent_or_the_lease_is_gone() {
        let mut driver = Driver::registered();
        driver.handle(Event::Leave);
        driver.advance(Duration::from_millis(2500));
        assert_eq!(driver.states.last(), Some(&State::Gone));
        let mut driver = Driver::registered();
        driver.handle(Event::Leave);
        driver.answer(CallResult::NoLease);
        assert_eq!(driver.states.last(), Some(&State::Gone));
        // A node that was never registered is gone at once.
        let mut driver = Driver::new();
        driver.handle(Event::Leave);
        assert_eq!(driver.states, [State::Gone]);
    }
}
