//! Whether a client tries again, and when.

use std::time::Duration;

use crate::plan::{Backoff, Clients};

/// How a try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// 200, with its whole body.
    Served,
    /// 429 or 503: trying again is harmless.
    Refused {
        /// What `Retry-After` said.
        retry_after: Option<Duration>,
    },
    /// Any other answer.
    Failed,
    /// The connection ended before its answer did.
    Broken,
    /// No connection was to be had.
    Unreached,
    /// The client's patience was over.
    GaveUp,
    /// The client left early, of its own accord.
    Left,
    /// The generator could not send it: too many tries were under way.
    NotSent,
}

/// When the next try is due after one that ended so: its wait. None where the client gives the request up.
///
/// `tries` have been made; `left` is what remains until the deadline, counted from when the first try was due; `draw`
/// is random, from 0 to 1.
pub fn retry_delay(
    clients: &Clients,
    outcome: Outcome,
    tries: u32,
    left: Duration,
    draw: f64,
) -> Option<Duration> {
    let retry_after = match outcome {
        Outcome::Served | Outcome::Left | Outcome::NotSent => return None,
        Outcome::Refused { retry_after } => retry_after.filter(|_| draw < clients.honour),
        Outcome::Failed | Outcome::Broken | Outcome::Unreached | Outcome::GaveUp => None,
    };
    if tries > clients.retries {
        return None;
    }
    let base = Duration::from_secs_f64(clients.backoff_ms / 1000.0);
    let backoff = match clients.backoff {
        Backoff::None => Duration::ZERO,
        Backoff::Fixed => base,
        // Full jitter, so that clients that failed together don't come back together.
        Backoff::Exp => (base * 2_u32.saturating_pow(tries.saturating_sub(1).min(10))).mul_f64(draw),
    };
    Some(backoff.max(retry_after.unwrap_or_default())).filter(|wait| *wait < left)
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Duration = Duration::from_millis(1);

    fn clients(retries: u32, backoff: Backoff) -> Clients {
        Clients { retries, backoff, backoff_ms: 20.0, honour: 0.5, ..Clients::default() }
    }

    #[test]
    fn clients_try_again_as_often_as_they_may_and_while_there_is_time() {
        let twice = clients(2, Backoff::Fixed);
        let next = |tries, left| retry_delay(&twice, Outcome::Failed, tries, left, 0.9);
        assert_eq!(
            (next(1, 500 * MS), next(2, 500 * MS), next(3, 500 * MS)),
            (Some(20 * MS), Some(20 * MS), None)
        );
        assert_eq!(next(1, 20 * MS), None, "its time would be over");
        for last in [Outcome::Served, Outcome::Left, Outcome::NotSent] {
            assert_eq!(retry_delay(&twice, last, 1, 500 * MS, 0.9), None);
        }
    }

    #[test]
    fn who_honours_retry_after_waits_for_it() {
        let refused = Outcome::Refused { retry_after: Some(200 * MS) };
        let next = |backoff, draw, left| retry_delay(&clients(2, backoff), refused, 1, left, draw);
        assert_eq!(next(Backoff::None, 0.4, 500 * MS), Some(200 * MS));
        assert_eq!(next(Backoff::None, 0.6, 500 * MS), Some(Duration::ZERO));
        assert_eq!(next(Backoff::None, 0.4, 100 * MS), None);
    }

    #[test]
    fn exponential_waits_double_and_are_spread() {
        let exp = clients(9, Backoff::Exp);
        let next = |tries, draw| retry_delay(&exp, Outcome::GaveUp, tries, 3_600_000 * MS, draw);
        assert_eq!(
            (next(1, 1.0), next(2, 1.0), next(4, 1.0)),
            (Some(20 * MS), Some(40 * MS), Some(160 * MS))
        );
        assert_eq!(next(4, 0.25), Some(40 * MS));
    }
}
