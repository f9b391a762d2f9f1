//! The shutdown of a process: it hands its connections over to the incoming process, or answers its pending
//! requests and closes. This is a pure state machine without clock or I/O.
//!
//! Whether another process takes over may become known only after the signal, as its confirmation may still
//! be unread in a socket. The state of the handover is therefore examined at every check, not only once.

use std::time::Duration;

use tokio::time::Instant;

/// After SIGTERM new connections still arrive for up to 0.4 s.
const ARRIVAL_PERIOD: Duration = Duration::from_millis(450);
/// In addition, arrivals are taken to have ended only if no connection has been accepted for this long.
const QUIET_PERIOD: Duration = Duration::from_millis(200);
/// The time that the process has to exit after the longest request deadline.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(600);
/// This long before the exit no new request is accepted, and pending requests get their final responses:
/// these still have to be written.
const FINAL_NOTICE_PERIOD: Duration = Duration::from_millis(150);
/// A confirmation that was sent before the signal has been read after this time. One that arrives later is
/// still honoured.
const MAX_CONFIRMATION_WAIT: Duration = Duration::from_millis(250);
/// How often a process that is shutting down checks whether it can exit.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// A check that comes this long after the previous one shows that the process was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(100);
/// The least time that the process has after a pause, to read what has arrived and to send its final
/// responses.
const MIN_TIME_AFTER_PAUSE: Duration = Duration::from_millis(170);

/// The state of the handover to an incoming process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverStatus {
    /// There is no incoming process.
    None,
    /// An incoming process has been sent the listening socket and has not yet confirmed that it accepts from
    /// it.
    Offered,
    /// The incoming process accepts from the same listen queue, and takes connections that are idle between
    /// two requests.
    Confirmed,
}

/// The work that is left when a process checks whether it can exit.
#[derive(Clone, Copy, Debug)]
pub struct RemainingWork {
    /// The state of the handover to an incoming process.
    pub handover_status: HandoverStatus,
    /// Whether no client connection is open and no request is pending.
    pub idle: bool,
    /// Whether all connections that were to be handed over have been sent, and no more can arrive from the
    /// outgoing process that precedes this one.
    pub handed_over: bool,
}

/// An action of the shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Hand connections over as they become idle, and accept none.
    HandOver,
    /// There is no incoming process: close each connection after its response.
    Close,
    /// No more connections arrive: close those that are idle.
    CloseIdle,
    /// Stop sending requests that have not been sent to any server: the incoming process serves them, or they
    /// are refused.
    StopNewAttempts,
    /// Accept no new request, and give every pending request its final response.
    FinalNotice,
    /// Exit.
    End,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Serving as before the signal, as the incoming process may still confirm.
    AwaitingConfirmation,
    HandingOver,
    Closing,
}

/// The shutdown of one process, from the signal on.
#[derive(Debug)]
pub struct Shutdown {
    started_at: Instant,
    /// When the longest deadline of the settings has passed: no client waits any longer.
    longest_deadline_at: Instant,
    /// When the process exits, whatever is left.
    exit_by: Instant,
    phase: Phase,
    last_accept_at: Instant,
    checked_at: Instant,
    /// Whether the previous check came late.
    previous_was_late: bool,
    /// How long the process has waited for a confirmation, not counting its own pauses.
    confirmation_wait: Duration,
    notice_given: bool,
    /// Whether `exit_by` has been extended because of a pause, which is done only once.
    is_extended: bool,
    /// Whether requests that have not been sent to any server are no longer sent.
    attempts_stopped: bool,
}

impl Shutdown {
    /// Starts the shutdown at `now`; clients wait for at most `longest_deadline`.
    #[must_use]
    pub fn new(now: Instant, longest_deadline: Duration) -> Self {
        Self {
            started_at: now,
            longest_deadline_at: now + longest_deadline,
            exit_by: now + longest_deadline + SHUTDOWN_GRACE,
            phase: Phase::AwaitingConfirmation,
            last_accept_at: now,
            checked_at: now,
            previous_was_late: false,
            confirmation_wait: Duration::ZERO,
            notice_given: false,
            is_extended: false,
            attempts_stopped: false,
        }
    }

    /// Examines the remaining work and appends the actions to be taken.
    pub fn check(&mut self, now: Instant, remaining: RemainingWork, steps: &mut Vec<Step>) {
        let elapsed = now - self.checked_at;
        self.checked_at = now;
        let is_late = elapsed >= PAUSE_THRESHOLD;
        let previous_was_late = std::mem::replace(&mut self.previous_was_late, is_late);
        // Consecutive late checks do not count as pauses: a process that is merely slow at each step would
        // otherwise never send its final responses. When little time is left before the exit, a late check
        // counts as a pause even so, but only once.
        let after_pause = is_late && !self.is_extended && (!previous_was_late || self.needs_more_time(now));
        if !after_pause {
            self.confirmation_wait += elapsed;
        }
        let next_phase = self.next_phase(remaining.handover_status);
        if next_phase != self.phase {
            self.phase = next_phase;
            steps.push(if next_phase == Phase::HandingOver { Step::HandOver } else { Step::Close });
        }
        if after_pause {
            self.resume_after_pause(elapsed, now);
        }
        let gives_notice = !after_pause && !self.notice_given && now + FINAL_NOTICE_PERIOD >= self.exit_by;
        if !self.attempts_stopped && (gives_notice || self.must_stop_new_attempts(now)) {
            self.attempts_stopped = true;
            steps.push(Step::StopNewAttempts);
        }
        if after_pause {
            return;
        }
        if gives_notice {
            self.notice_given = true;
            // Final responses need time to be written, however late the notice comes.
            self.exit_by = self.exit_by.max(now + FINAL_NOTICE_PERIOD);
            steps.push(Step::FinalNotice);
        }
        if now >= self.exit_by {
            return steps.push(Step::End);
        }
        let phase_done = match self.phase {
            Phase::AwaitingConfirmation => false,
            Phase::HandingOver => remaining.handed_over,
            Phase::Closing => self.arrivals_ended(now),
        };
        if phase_done && self.phase == Phase::Closing {
            steps.push(Step::CloseIdle);
        }
        if phase_done && remaining.idle {
            steps.push(Step::End);
        }
    }

    /// Accounts for a pause that lasted until `now`: the process read nothing meanwhile, and has to read what
    /// has arrived before it exits.
    fn resume_after_pause(&mut self, pause: Duration, now: Instant) {
        // Clients that connected during the pause are still waiting to be accepted, so the pause is not part
        // of the quiet period.
        self.last_accept_at = (self.last_accept_at + pause).min(now);
        if !self.is_extended && self.needs_more_time(now) {
            self.is_extended = true;
            self.exit_by = now + MIN_TIME_AFTER_PAUSE;
        }
    }

    /// Returns whether less time is left before the exit than a process needs after a pause.
    fn needs_more_time(&self, now: Instant) -> bool {
        !self.notice_given && now + MIN_TIME_AFTER_PAUSE > self.exit_by
    }

    fn next_phase(&self, handover_status: HandoverStatus) -> Phase {
        let still_waiting =
            self.phase == Phase::AwaitingConfirmation && self.confirmation_wait < MAX_CONFIRMATION_WAIT;
        match handover_status {
            HandoverStatus::Confirmed => Phase::HandingOver,
            HandoverStatus::Offered if still_waiting => Phase::AwaitingConfirmation,
            HandoverStatus::Offered | HandoverStatus::None => Phase::Closing,
        }
    }

    /// Returns whether an attempt that begins now might not be answered before the final notice while
    /// somebody else has time for the request: the incoming process or, if this process was paused past its
    /// exit time, at least another node.
    fn must_stop_new_attempts(&self, now: Instant) -> bool {
        match self.phase {
            Phase::AwaitingConfirmation => false,
            Phase::HandingOver => self.is_extended || now >= self.longest_deadline_at,
            Phase::Closing => self.is_extended,
        }
    }

    fn arrivals_ended(&self, now: Instant) -> bool {
        now >= self.started_at + ARRIVAL_PERIOD && now >= self.last_accept_at + QUIET_PERIOD
    }

    /// Returns whether this process accepts connections, rather than leaving them to the incoming process.
    #[must_use]
    pub fn accepts(&self) -> bool {
        self.phase != Phase::HandingOver
    }

    /// Records that a connection was accepted.
    pub fn accepted(&mut self, now: Instant) {
        self.last_accept_at = now;
    }

    /// Returns when the next check is due at the latest.
    #[must_use]
    pub fn next_check(&self, now: Instant) -> Instant {
        (now + CHECK_INTERVAL).min(self.exit_by)
    }
}

#[cfg(test)]
mod tests;
