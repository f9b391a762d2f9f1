//! A node that registers itself: one key under a lease, renewed as long as it lives, drained before it ends.
//!
//! ```
//! use std::time::Duration;
//! use spurdrum_sources::registry::registrar::{Action, Operation, Event, Registrar, Settings};
//!
//! let mut registrar = Registrar::new(Settings::default(), 7).expect("sound settings");
//! let mut actions = Vec::new();
//! registrar.handle(Duration::ZERO, Event::Tick, &mut actions);
//! assert!(matches!(actions[0], Action::Call { ask: Operation::Grant { .. }, .. }));
//! ```
//!
//! The key goes with the lease, so a node that dies is gone once that ends, and one that is cut off comes back under a new
//! one. A lease counts from when its renewal was *asked for*: the registry may have begun to count no earlier, so the
//! node never believes in a lease that is over. Only the time that is passed in counts; steps of the wall clock do not.

use std::fmt;
use std::time::Duration;

use crate::backoff_delay;

/// A lease is renewed after this part of its time.
const RENEW: u32 = 3;

/// How a node registers itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Endpoints of the registry.
    pub endpoints: usize,
    /// A lease is asked for so long.
    pub ttl: Duration,
    /// Before it ends, the node stands as leaving for so long.
    pub drain: Duration,
    /// A call that is silent for so long has failed.
    pub silence_timeout: Duration,
    /// Between calls that fail: at first, about...
    pub min_retry_delay: Duration,
    /// ...and at the most.
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
    /// Checks that every figure makes sense.
    ///
    /// # Errors
    ///
    /// The first key that does not, and why.
    pub fn validate(&self) -> Result<(), (&'static str, &'static str)> {
        let s = Duration::from_secs;
        let need = |ok: bool, key, why| if ok { Ok(()) } else { Err((key, why)) };
        need(self.endpoints > 0, "endpoints", "names none")?;
        need(self.ttl >= s(2) && self.ttl <= s(3600), "ttl_ms", "is not from 2 s to an hour")?;
        need(self.drain <= s(60), "drain_ms", "is over a minute")?;
        need(
            self.silence_timeout >= Duration::from_millis(1) && self.silence_timeout <= s(60),
            "give_up_ms",
            "is no time",
        )?;
        need(self.min_retry_delay <= self.max_retry_delay, "retry_least_ms", "is above `retry_most_ms`")
    }
}

/// A call, by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// What is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// A lease.
    Grant {
        /// For so long.
        ttl: Duration,
    },
    /// That the node's key stands under the lease.
    Put {
        /// The lease.
        lease: i64,
        /// Whether it says that the node is leaving.
        leaving: bool,
    },
    /// That the lease goes on.
    Renew {
        /// The lease.
        lease: i64,
    },
    /// That the lease ends, and the key with it.
    Revoke {
        /// The lease.
        lease: i64,
    },
}

/// What came of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// A lease, for so long.
    Granted {
        /// Its number.
        lease: i64,
        /// Its time to live.
        ttl: Duration,
    },
    /// It is so.
    Done,
    /// The lease goes on for so long.
    Renewed {
        /// Its time to live.
        ttl: Duration,
    },
    /// There is no such lease.
    NoLease,
    /// The call failed.
    Failed,
}

/// What happens.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// Time has passed; the first one begins.
    Tick,
    /// A call has ended.
    Ended {
        /// The call.
        call: CallId,
        /// How.
        result: CallResult,
    },
    /// The node is to end.
    Leave,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask an endpoint.
    Call {
        /// Its number from now on.
        call: CallId,
        /// Which endpoint.
        endpoint: usize,
        /// What.
        ask: Operation,
    },
    /// Give a call up; nothing more is heard of it.
    Abort(CallId),
    /// The node stands in the registry otherwise than before.
    State(State),
}

/// How the node stands in the registry, as far as it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Not, or not for certain.
    Absent,
    /// Under a lease that holds.
    Present,
    /// As one that is leaving.
    Leaving,
    /// Gone for good: the node may end.
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
    ask: Operation,
    begun: Duration,
}

/// Registers one node.
pub struct Registrar {
    settings: Settings,
    random: fastrand::Rng,
    state: State,
    /// The lease, and until when it holds for certain.
    lease: Option<(i64, Duration)>,
    call: Option<Call>,
    last_call: u64,
    /// What comes next, and when.
    next: Option<(Duration, Next)>,
    endpoint: usize,
    failures: u32,
    /// Since when it is to leave.
    leaves: Option<Duration>,
}

#[derive(Clone, Copy, PartialEq)]
enum Next {
    Grant,
    Put,
    Renew,
    Revoke,
}

impl Registrar {
    /// A node that is not registered.
    ///
    /// # Errors
    ///
    /// The first setting that makes no sense, and why.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, (&'static str, &'static str)> {
        settings.validate()?;
        let mut random = fastrand::Rng::with_seed(seed);
        Ok(Self {
            endpoint: random.usize(..settings.endpoints),
            random,
            state: State::Absent,
            lease: None,
            call: None,
            last_call: 0,
            next: Some((Duration::ZERO, Next::Grant)),
            failures: 0,
            leaves: None,
            settings,
        })
    }

    /// How it stands.
    pub fn state(&self) -> State {
        self.state
    }

    /// What has happened; adds what is to be done. Times do not run backwards.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => {}
            Event::Ended { call, result } => self.ended(now, call, result, actions),
            Event::Leave => self.leave(now, actions),
        }
        self.settle(now, actions);
    }

    /// When the next [`Event::Tick`] is due, at the latest; none once it is gone.
    pub fn next_wake(&self) -> Option<Duration> {
        if self.state == State::Gone {
            return None;
        }
        let call = self.call.as_ref().map(|call| call.begun + self.settings.silence_timeout);
        let next = self.next.filter(|_| self.call.is_none()).map(|(at, _)| at);
        let lease = self.lease.filter(|_| self.state != State::Absent).map(|(_, until)| until);
        let end = self.leaves.map(|since| since + self.longest());
        [call, next, lease, end].into_iter().flatten().min()
    }

    /// Leaving takes no longer than this, whatever the registry does: its lease ends by itself.
    fn longest(&self) -> Duration {
        self.settings.drain + 2 * self.settings.silence_timeout
    }

    fn settle(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.state == State::Gone {
            return;
        }
        if self.leaves.is_some_and(|since| now >= since + self.longest()) {
            return self.gone(actions);
        }
        if let Some(call) =
            self.call.as_ref().filter(|call| now >= call.begun + self.settings.silence_timeout)
        {
            let id = call.id;
            actions.push(Action::Abort(id));
            self.ended(now, id, CallResult::Failed, actions);
        }
        if self.lease.is_some_and(|(_, until)| now >= until) {
            // It may be over: what stands in the registry is not this node's any more.
            self.lease = None;
            self.show(State::Absent, actions);
            if self.leaves.is_some() {
                return self.gone(actions);
            }
            if let Some(call) = self.call.take() {
                actions.push(Action::Abort(call.id));
            }
            let wait = self.pause();
            self.next = Some((now + wait, Next::Grant));
        }
        let Some((_, next)) = self.next.filter(|(at, _)| *at <= now && self.call.is_none()) else { return };
        self.next = None;
        let leaving = self.leaves.is_some();
        let ask = match (next, self.lease) {
            (Next::Put, Some((lease, _))) => Operation::Put { lease, leaving },
            (Next::Renew, Some((lease, _))) => Operation::Renew { lease },
            (Next::Revoke, Some((lease, _))) => Operation::Revoke { lease },
            (Next::Grant, _) | (_, None) => Operation::Grant { ttl: self.settings.ttl },
        };
        self.last_call += 1;
        let call = Call { id: CallId(self.last_call), endpoint: self.endpoint, ask, begun: now };
        actions.push(Action::Call { call: call.id, endpoint: call.endpoint, ask });
        self.call = Some(call);
    }

    fn show(&mut self, to: State, actions: &mut Vec<Action>) {
        if std::mem::replace(&mut self.state, to) != to {
            actions.push(Action::State(to));
        }
    }

    fn gone(&mut self, actions: &mut Vec<Action>) {
        if let Some(call) = self.call.take() {
            actions.push(Action::Abort(call.id));
        }
        self.next = None;
        self.show(State::Gone, actions);
    }

    fn pause(&mut self) -> Duration {
        let rounds = self.failures as usize / self.settings.endpoints;
        if rounds == 0 {
            return Duration::ZERO;
        }
        let Settings { min_retry_delay, max_retry_delay, .. } = self.settings;
        backoff_delay(&mut self.random, min_retry_delay, max_retry_delay, rounds as u32 - 1)
    }

    fn leave(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.leaves.is_some() || self.state == State::Gone {
            return;
        }
        self.leaves = Some(now);
        // What is out is not waited for; a lease that was just being granted ends by itself.
        if let Some(call) = self.call.take() {
            actions.push(Action::Abort(call.id));
        }
        match self.lease {
            Some(_) => self.next = Some((now, Next::Put)),
            None => self.gone(actions),
        }
    }

    fn ended(&mut self, now: Duration, id: CallId, result: CallResult, actions: &mut Vec<Action>) {
        let Some(call) = self.call.take_if(|call| call.id == id) else { return };
        let renew = |ttl: Duration| call.begun + ttl / RENEW;
        if result != CallResult::Failed {
            self.failures = 0;
        }
        match (call.ask, result) {
            (Operation::Grant { .. }, CallResult::Granted { lease, ttl }) => {
                self.lease = Some((lease, call.begun + ttl));
                self.next = Some((now, Next::Put));
            }
            (Operation::Put { leaving: true, .. }, CallResult::Done) => {
                self.show(State::Leaving, actions);
                let until = self.leaves.unwrap_or(now) + self.settings.drain;
                self.next = Some((until.max(now), Next::Revoke));
            }
            (Operation::Put { .. }, CallResult::Done) => {
                self.show(State::Present, actions);
                let until = self.lease.map_or(now, |(_, until)| until);
                self.next = Some((now + until.saturating_sub(now) / RENEW, Next::Renew));
            }
            (Operation::Renew { lease }, CallResult::Renewed { ttl }) if !ttl.is_zero() => {
                self.lease = Some((lease, call.begun + ttl));
                self.next = Some((renew(ttl).max(now), Next::Renew));
            }
            (Operation::Revoke { .. }, CallResult::Done | CallResult::NoLease) => self.gone(actions),
            (_, CallResult::NoLease | CallResult::Renewed { .. }) => {
                self.lease = None;
                self.show(State::Absent, actions);
                match self.leaves {
                    Some(_) => self.gone(actions),
                    None => self.next = Some((now, Next::Grant)),
                }
            }
            (ask, _) => {
                self.failures = self.failures.saturating_add(1);
                self.endpoint = (call.endpoint + 1) % self.settings.endpoints;
                let again = match ask {
                    Operation::Grant { .. } => Next::Grant,
                    Operation::Put { .. } => Next::Put,
                    Operation::Renew { .. } => Next::Renew,
                    Operation::Revoke { .. } => Next::Revoke,
                };
                let wait = self.pause();
                self.next = Some((now + wait, again));
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: fn(u64) -> Duration = Duration::from_secs;

    /// A registry that holds one key under leases, and what the node believes.
    struct Played {
        registrar: Registrar,
        now: Duration,
        calls: Vec<(CallId, Operation)>,
        states: Vec<State>,
    }

    impl Played {
        fn new() -> Self {
            let settings = Settings { endpoints: 2, ..Settings::default() };
            let registrar = Registrar::new(settings, 3).expect("sound");
            let mut played = Self { registrar, now: S(0), calls: Vec::new(), states: Vec::new() };
            played.tell(Event::Tick);
            played
        }

        fn tell(&mut self, event: Event) {
            let mut actions = Vec::new();
            self.registrar.handle(self.now, event, &mut actions);
            for action in actions {
                match action {
                    Action::Call { call, ask, .. } => self.calls.push((call, ask)),
                    Action::Abort(_) => {}
                    Action::State(state) => self.states.push(state),
                }
            }
        }

        fn end(&mut self, result: CallResult) {
            let (call, _) = *self.calls.last().expect("a call");
            self.tell(Event::Ended { call, result });
        }

        fn pass(&mut self, time: Duration) {
            let end = self.now + time;
            while let Some(wake) = self.registrar.next_wake().filter(|wake| *wake <= end) {
                self.now = wake.max(self.now);
                self.tell(Event::Tick);
            }
            self.now = end;
        }

        fn asked(&self) -> Operation {
            self.calls.last().expect("a call").1
        }

        fn present() -> Self {
            let mut played = Self::new();
            played.end(CallResult::Granted { lease: 9, ttl: S(10) });
            assert_eq!(played.asked(), Operation::Put { lease: 9, leaving: false });
            played.end(CallResult::Done);
            assert_eq!(played.states, [State::Present]);
            played
        }
    }

    #[test]
    fn a_lease_is_renewed_in_time_and_asked_for_anew_where_it_is_gone() {
        let mut played = Played::present();
        for _ in 0..5 {
            played.pass(S(3));
            let calls = played.calls.len();
            played.pass(S(10) / 3 - S(3));
            assert_eq!((played.calls.len(), played.asked()), (calls + 1, Operation::Renew { lease: 9 }));
            played.end(CallResult::Renewed { ttl: S(10) });
        }
        played.pass(S(4));
        // etcd answers with a time of 0 for a lease that it does not have.
        played.end(CallResult::Renewed { ttl: S(0) });
        assert!(matches!(played.asked(), Operation::Grant { .. }));
        played.end(CallResult::Granted { lease: 10, ttl: S(10) });
        played.end(CallResult::Done);
        assert_eq!(played.states, [State::Present, State::Absent, State::Present]);
    }

    #[test]
    fn a_registry_that_is_away_is_tried_with_growing_pauses_and_the_lease_not_believed_for_too_long() {
        let mut played = Played::present();
        let calls = played.calls.len();
        // Every call is silent.
        played.pass(S(9));
        assert_eq!(played.states, [State::Present]);
        played.pass(S(1));
        assert_eq!(played.states, [State::Present, State::Absent]);
        played.pass(S(590));
        let tried = played.calls.len() - calls;
        assert!((150..400).contains(&tried), "{tried}");
        assert!(matches!(played.asked(), Operation::Grant { .. }));
    }

    #[test]
    fn a_node_stands_as_leaving_before_it_is_gone() {
        let mut played = Played::present();
        played.pass(S(1));
        played.tell(Event::Leave);
        assert_eq!(played.asked(), Operation::Put { lease: 9, leaving: true });
        played.end(CallResult::Done);
        played.pass(Duration::from_millis(499));
        assert_eq!(played.asked(), Operation::Put { lease: 9, leaving: true });
        played.pass(Duration::from_millis(1));
        assert_eq!(played.asked(), Operation::Revoke { lease: 9 });
        played.end(CallResult::Done);
        assert_eq!(played.states, [State::Present, State::Leaving, State::Gone]);
        assert_eq!(played.registrar.next_wake(), None);
    }

    #[test]
    fn leaving_ends_in_time_though_the_registry_is_silent_or_the_lease_gone() {
        let mut played = Played::present();
        played.tell(Event::Leave);
        played.pass(Duration::from_millis(2500));
        assert_eq!(played.states.last(), Some(&State::Gone));
        let mut played = Played::present();
        played.tell(Event::Leave);
        played.end(CallResult::NoLease);
        assert_eq!(played.states.last(), Some(&State::Gone));
        // Before it ever was registered, at once.
        let mut played = Played::new();
        played.tell(Event::Leave);
        assert_eq!(played.states, [State::Gone]);
    }
}
