//! Decides how long a process that has just started waits for discovery to confirm the list of an earlier
//! run.

use std::fmt;
use std::time::Duration;

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
    pub(super) deadline: Duration,
    pub(super) confirmed: bool,
}

impl Startup {
    /// Returns how the start ends at `now`; none if it goes on.
    pub(super) fn result(self, now: Duration) -> Option<StartupResult> {
        if self.confirmed {
            Some(StartupResult::Confirmed)
        } else {
            (now >= self.deadline).then_some(StartupResult::TimedOut)
        }
    }
}
