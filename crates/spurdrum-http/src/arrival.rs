//! When the client of a request can have sent its last byte, at the earliest.
//!
//! A client's time runs from its last byte, and the node reads that byte when it has room for it: later by as
//! long as a server reads slowly, memory is short or a connection is awaited. What the client has written
//! meanwhile waits in the buffers of both systems, where the node cannot see how much it is. So the request
//! counts as sent from the last moment at which the node knows that a part of it was still to come: when it
//! found the socket empty, or when more was missing than all buffers hold.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// The largest send buffer that Linux gives to a connection by itself: the client may have written this much
/// that its system has not sent yet.
const MAX_SEND_BUFFER_BYTES: u64 = 4 << 20;
/// How often the amount is recorded that the client can have written, in bytes received.
const MARK_INTERVAL_BYTES: u64 = 256 * 1024;
/// The most marks that are kept.
const MAX_MARKS: usize = 64;
/// For how long the socket has to be empty, while it is being read, until nothing can be under way: a client
/// whose system could send no more because the node did not read needs a moment to go on.
const MIN_EMPTY_TIME: Duration = Duration::from_millis(3);
/// Between reads that are further apart the client's system may have been held back again.
const MAX_READ_INTERVAL: Duration = Duration::from_millis(3);

/// The most bytes that the client can have written by a certain time.
#[derive(Clone, Copy, Debug)]
struct Mark {
    at: Instant,
    most_written: u64,
}

/// Follows the input of one connection. Pure: the times are passed in and never run backwards.
#[derive(Clone, Debug, Default)]
pub struct ArrivalClock {
    received: u64,
    /// Since when input has been there without a gap, as far as is known.
    uninterrupted_since: Option<Instant>,
    /// Since when the socket is empty.
    empty_since: Option<Instant>,
    /// For how long the socket has been empty between reads that followed each other closely.
    empty_time: Duration,
    last_read_at: Option<Instant>,
    marks: VecDeque<Mark>,
}

impl ArrivalClock {
    /// Records that there was nothing to read. `within_request`: a part of a request has been received whose
    /// rest is still to come.
    pub fn found_empty(&mut self, now: Instant, within_request: bool) {
        self.empty_since.get_or_insert(now);
        if !within_request {
            self.interrupted();
        }
    }

    /// Records that `bytes` were read, the last of which had been in the socket for `time_in_socket`; `unread`
    /// more are still there.
    pub fn received(&mut self, now: Instant, bytes: u64, time_in_socket: Duration, unread: u64) {
        let arrived_at = now.checked_sub(time_in_socket).unwrap_or(now);
        match self.empty_since.take() {
            Some(empty_since) => self.empty_time += arrived_at.saturating_duration_since(empty_since),
            None if self.last_read_at.is_some_and(|last| now >= last + MAX_READ_INTERVAL) => {
                self.empty_time = Duration::ZERO;
            }
            None => {}
        }
        if self.empty_time >= MIN_EMPTY_TIME {
            self.interrupted();
        }
        self.uninterrupted_since.get_or_insert(arrived_at);
        self.received += bytes;
        self.last_read_at = Some(now);
        self.mark(now, unread);
    }

    /// Returns whether the socket was empty when it was last looked at.
    pub fn is_empty(&self) -> bool {
        self.empty_since.is_some()
    }

    /// Returns when the client can have sent the last of the bytes that have been received, at the earliest.
    pub fn earliest_end(&self, now: Instant) -> Instant {
        self.earliest_end_at(now, self.received)
    }

    /// The same for a request of which at least `missing` more bytes are to come, `unread` of them in the
    /// socket.
    pub fn earliest_end_of_rest(&self, now: Instant, missing: u64, unread: u64) -> Instant {
        let empty_time = self.empty_since.map(|since| self.empty_time + now.saturating_duration_since(since));
        let is_silent = empty_time.is_some_and(|empty_time| empty_time >= MIN_EMPTY_TIME);
        if is_silent || missing > unread + MAX_SEND_BUFFER_BYTES {
            return now;
        }
        self.earliest_end_at(now, self.received + missing)
    }

    /// Returns when the client can have written its bytes up to `position`, at the earliest.
    fn earliest_end_at(&self, now: Instant, position: u64) -> Instant {
        let since = self.uninterrupted_since.unwrap_or(now);
        let not_before = self.marks.iter().rev().find(|mark| mark.most_written < position);
        not_before.map_or(since, |mark| mark.at.max(since))
    }

    /// Forgets what was under way: whatever comes now was sent from now on.
    fn interrupted(&mut self) {
        self.uninterrupted_since = None;
        self.empty_time = Duration::ZERO;
        self.marks.clear();
    }

    fn mark(&mut self, now: Instant, unread: u64) {
        let most_written = self.received + unread + MAX_SEND_BUFFER_BYTES;
        // Of the marks that lie behind what has been received only the last one can still count.
        while self.marks.get(1).is_some_and(|mark| mark.most_written < self.received) {
            self.marks.pop_front();
        }
        let is_due =
            self.marks.back().is_none_or(|mark| most_written >= mark.most_written + MARK_INTERVAL_BYTES);
        if is_due && self.marks.len() < MAX_MARKS {
            self.marks.push_back(Mark { at: now, most_written });
        }
    }
}

#[cfg(test)]
mod tests;
