//! Decides how long a process that has just started waits for discovery to confirm the list of an earlier
//! run.
//!
//! The age of that list is not known, so each change that it lacks may count as notified already. A discovery
//! that serves calls slowly is therefore waited for: nothing is sent before its answer. The list of the
//! earlier run is for a discovery that cannot be reached, or that has accepted a call and stays silent.

use std::fmt;
use std::time::Duration;

use super::Settings;

/// The longest time that a start waits for discovery to accept a call.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A discovery that is down fails an accepted call within this time; one that is slow holds it for longer.
pub(super) const PROMPT_FAILURE: Duration = Duration::from_millis(200);
/// A tick that comes later than this after its time means that the process was held up, and that answers may
/// be waiting in its sockets.
const LATE_TICK: Duration = Duration::from_millis(100);

/// How the start of a process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartupResult {
    /// Discovery has answered, so the list is as discovery has it.
    Confirmed,
    /// Discovery has not answered in time; the list of the earlier run stays in use until it does.
    TimedOut,
}

impl fmt::Display for StartupResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Confirmed => "discovery has confirmed the list",
            Self::TimedOut => "discovery has not answered in time, the list of the earlier run stays in use",
        })
    }
}

/// A start that has not ended yet.
#[derive(Clone, Copy)]
pub(super) struct Startup {
    pub(super) confirmed: bool,
    /// How long discovery may be silent.
    silence_timeout: Duration,
    /// When discovery last showed that it serves calls; the start, if it has not.
    silent_since: Duration,
    /// Since when discovery has not been reached. Counts only while it has accepted no call.
    unreachable_since: Duration,
    /// When the start ends, whatever discovery does.
    ends_at: Duration,
}

impl Startup {
    /// A start at `now`. All nodes may start together; discovery then needs the `round_time` to answer each of
    /// them once.
    pub(super) fn new(now: Duration, settings: &Settings, round_time: Duration) -> Self {
        let limit = settings.startup_limit.max(settings.startup_timeout);
        Self {
            confirmed: false,
            silence_timeout: settings.startup_timeout.max(round_time).min(limit),
            silent_since: now,
            unreachable_since: now,
            ends_at: now + limit,
        }
    }

    /// Returns when the start ends without an answer. `oldest_accepted` is when the oldest call began that
    /// discovery has accepted and not answered, if there is one.
    pub(super) fn deadline(self, oldest_accepted: Option<Duration>) -> Duration {
        let silent_until = (self.silent_since + self.silence_timeout).min(self.ends_at);
        let unreachable_until = self.unreachable_since + UNREACHABLE_TIMEOUT;
        match oldest_accepted {
            Some(began_at) if began_at <= unreachable_until => silent_until,
            Some(_) => silent_until.min(unreachable_until + PROMPT_FAILURE),
            None => silent_until.min(unreachable_until),
        }
    }

    /// Returns how the start ends at `now`; none if it goes on.
    pub(super) fn result(self, now: Duration, oldest_accepted: Option<Duration>) -> Option<StartupResult> {
        if self.confirmed {
            Some(StartupResult::Confirmed)
        } else {
            (now >= self.deadline(oldest_accepted)).then_some(StartupResult::TimedOut)
        }
    }

    /// Discovery has shown at `now` that it serves calls, and is called next at `next_call_at`.
    pub(super) fn discovery_responded(&mut self, now: Duration, next_call_at: Duration) {
        self.silent_since = now;
        self.unreachable_since = next_call_at.max(now);
    }

    /// Extends the start if this tick is `late`.
    pub(super) fn allow_for_pause(&mut self, late: Duration) {
        if late > LATE_TICK {
            self.silent_since += late;
            self.unreachable_since += late;
            self.ends_at += late;
        }
    }
}
