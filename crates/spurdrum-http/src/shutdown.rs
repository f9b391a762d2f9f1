//! How a process ends that has been told to: it hands over to the process that takes its place, or answers what it owes and
//! closes. Pure: no clock and no I/O.
//!
//! Whether another process takes over may be known only after the signal: its confirmation may lie unread in a socket. So the
//! state of the handover is looked at again and again, and not once.

use std::time::Duration;

use tokio::time::Instant;

/// After SIGTERM connections go on coming for up to 0.4 s.
const STILL_COMING: Duration = Duration::from_millis(450);
/// And none has come for so long when the last one is thought to have come.
const QUIET: Duration = Duration::from_millis(200);
/// Past the longest deadline, the process has this long to end.
const END: Duration = Duration::from_millis(600);
/// So long before that nothing more is taken, and what is still owed an answer gets its last one: it has to go out.
const LAST_CALL: Duration = Duration::from_millis(150);
/// A confirmation that was sent before the signal has been read after this time; one that comes later still counts.
const CONFIRMATION_MOST: Duration = Duration::from_millis(250);
/// How often a process that is ending looks whether it can.
const LOOK: Duration = Duration::from_millis(10);
/// A look that comes so long after the one before shows that the process stood still.
const LATE_LOOK: Duration = Duration::from_millis(100);
/// After a pause the process has this long at least, to read what has come and for its last answers.
const RESUMED_LEAST: Duration = Duration::from_millis(170);

/// Whether another process takes over from this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverStatus {
    /// None does.
    None,
    /// One has been sent the listening socket and has not confirmed yet that it accepts from it.
    Offered,
    /// It accepts from the same queue, and takes connections that rest between two requests.
    Confirmed,
}

/// What is still there when a process looks whether it can end.
#[derive(Clone, Copy, Debug)]
pub struct Remaining {
    /// Whether another process takes over.
    pub handover_status: HandoverStatus,
    /// No client's connection is open, and no request is held.
    pub idle: bool,
    /// All connections that were handed over are on their way, and none can come any more from the process before this one.
    pub handed_over: bool,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Hand connections over as they come to rest, and accept none.
    HandOver,
    /// There is no process to hand over to: answers are the last on their connections.
    Close,
    /// No connection comes any more: close those that rest.
    CloseIdle,
    /// Send no server any more what none has been sent: another process serves it, or it is refused.
    BeginNothing,
    /// Take nothing more, and give what is owed an answer its last one.
    LastCall,
    /// End.
    End,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Serving as before the signal: another process may still confirm.
    AwaitingConfirmation,
    HandingOver,
    Closing,
}

/// The end of one process, from the signal on.
#[derive(Debug)]
pub struct Shutdown {
    began: Instant,
    /// No client waits for longer, by the settings.
    longest_deadline_over: Instant,
    /// By then the process ends, whatever is left.
    deadline: Instant,
    phase: Phase,
    accepted_at: Instant,
    looked_at: Instant,
    /// The last look came late.
    was_late: bool,
    /// For how long it has waited for a confirmation, without pauses of this process.
    awaited_confirmation: Duration,
    last_called: bool,
    /// The deadline has been put off for a pause, which is done once.
    is_put_off: bool,
    /// Nothing begins any more.
    begins_nothing: bool,
}

impl Shutdown {
    /// The process has been told to end at `now`; its clients wait for `longest_deadline` at the most.
    #[must_use]
    pub fn new(now: Instant, longest_deadline: Duration) -> Self {
        Self {
            began: now,
            longest_deadline_over: now + longest_deadline,
            deadline: now + longest_deadline + END,
            phase: Phase::AwaitingConfirmation,
            accepted_at: now,
            looked_at: now,
            was_late: false,
            awaited_confirmation: Duration::ZERO,
            last_called: false,
            is_put_off: false,
            begins_nothing: false,
        }
    }

    /// Looks at what remains and appends what is to be done.
    pub fn look(&mut self, now: Instant, remaining: Remaining, steps: &mut Vec<Step>) {
        let unseen = now - self.looked_at;
        self.looked_at = now;
        let is_late = unseen >= LATE_LOOK;
        let was_late = std::mem::replace(&mut self.was_late, is_late);
        // Guards against a process that is slow at each step and never gives its last answers: late looks in a row are no pauses. Past
        // its end a late one still is, once.
        let resumed = is_late && !self.is_put_off && (!was_late || self.has_too_little_time(now));
        if !resumed {
            self.awaited_confirmation += unseen;
        }
        let next = self.next_phase(remaining.handover_status);
        if next != self.phase {
            self.phase = next;
            steps.push(if next == Phase::HandingOver { Step::HandOver } else { Step::Close });
        }
        if resumed {
            self.leave_out(unseen, now);
        }
        let calls_last = !resumed && !self.last_called && now + LAST_CALL >= self.deadline;
        if !self.begins_nothing && (calls_last || self.has_no_time_to_begin(now)) {
            self.begins_nothing = true;
            steps.push(Step::BeginNothing);
        }
        if resumed {
            return;
        }
        if calls_last {
            self.last_called = true;
            // Last answers have to go out, however late the last call comes.
            self.deadline = self.deadline.max(now + LAST_CALL);
            steps.push(Step::LastCall);
        }
        if now >= self.deadline {
            return steps.push(Step::End);
        }
        let over = match self.phase {
            Phase::AwaitingConfirmation => false,
            Phase::HandingOver => remaining.handed_over,
            Phase::Closing => self.none_comes(now),
        };
        if over && self.phase == Phase::Closing {
            steps.push(Step::CloseIdle);
        }
        if over && remaining.idle {
            steps.push(Step::End);
        }
    }

    /// The process stood still until `now`: nobody listened meanwhile, and what has come is read before it ends.
    fn leave_out(&mut self, pause: Duration, now: Instant) {
        // Who connected during the pause waits to be accepted: it was no quiet time.
        self.accepted_at = (self.accepted_at + pause).min(now);
        if !self.is_put_off && self.has_too_little_time(now) {
            self.is_put_off = true;
            self.deadline = now + RESUMED_LEAST;
        }
    }

    /// Whether the deadline leaves less time than a process wants that goes on after a pause.
    fn has_too_little_time(&self, now: Instant) -> bool {
        !self.last_called && now + RESUMED_LEAST > self.deadline
    }

    fn next_phase(&self, handover_status: HandoverStatus) -> Phase {
        let waits =
            self.phase == Phase::AwaitingConfirmation && self.awaited_confirmation < CONFIRMATION_MOST;
        match handover_status {
            HandoverStatus::Confirmed => Phase::HandingOver,
            HandoverStatus::Offered if waits => Phase::AwaitingConfirmation,
            HandoverStatus::Offered | HandoverStatus::None => Phase::Closing,
        }
    }

    /// Whether an attempt that begins now might not be answered before the last call, and somebody else has time for it: another
    /// process, or after a pause past the end of this one, at least another node.
    fn has_no_time_to_begin(&self, now: Instant) -> bool {
        match self.phase {
            Phase::AwaitingConfirmation => false,
            Phase::HandingOver => self.is_put_off || now >= self.longest_deadline_over,
            Phase::Closing => self.is_put_off,
        }
    }

    fn none_comes(&self, now: Instant) -> bool {
        now >= self.began + STILL_COMING && now >= self.accepted_at + QUIET
    }

    /// Whether connections are accepted, rather than left to the process that takes over.
    #[must_use]
    pub fn accepts(&self) -> bool {
        self.phase != Phase::HandingOver
    }

    /// A connection was accepted.
    pub fn accepted(&mut self, now: Instant) {
        self.accepted_at = now;
    }

    /// When it wants to look again at the latest.
    #[must_use]
    pub fn next_look(&self, now: Instant) -> Instant {
        (now + LOOK).min(self.deadline)
    }
}

#[cfg(test)]
mod tests;
