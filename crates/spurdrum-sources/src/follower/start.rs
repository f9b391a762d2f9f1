//! Whether a process that has just started may go by the list of an earlier run.

use std::fmt;
use std::time::Duration;

/// How the start of a process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartupResult {
    /// Discovery has answered: the list is as discovery has it.
    Confirmed,
    /// Discovery has not answered in time: the list of the earlier run holds until it does.
    TimedOut,
}

impl fmt::Display for StartupResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Confirmed => "discovery has confirmed the list",
            Self::TimedOut => "discovery has not answered in time, the list of the earlier run holds",
        })
    }
}

/// A start that has not ended yet.
#[derive(Clone, Copy)]
pub(super) struct Start {
    pub(super) until: Duration,
    pub(super) confirmed: bool,
}

impl Start {
    /// How it ends now, where it does.
    pub(super) fn end(self, now: Duration) -> Option<StartupResult> {
        if self.confirmed {
            Some(StartupResult::Confirmed)
        } else {
            (now >= self.until).then_some(StartupResult::TimedOut)
        }
    }
}
