//! The admin endpoint as a pure state machine: bounds the callers' connections and assembles their lines.

use std::collections::BTreeMap;
use std::time::Duration;

/// Identifies a caller's connection. Ids ascend in the order of connecting and are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerId(pub u64);

/// Limits on callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The maximum number of callers that may wait to complete their lines at once.
    pub max_callers: usize,
    /// The maximum length of a line, in bytes.
    pub max_line_bytes: usize,
    /// How long a caller may take to send its line.
    pub line_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        // Some callers stay connected for 4 s without sending anything; the time-out is longer, so that a
        // slow caller can still complete its line after that.
        Self { max_callers: 16, max_line_bytes: 256, line_timeout: Duration::from_secs(5) }
    }
}

/// An event on a caller's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event<'a> {
    /// The caller has connected.
    Connected(CallerId),
    /// The caller has sent these bytes.
    Received(CallerId, &'a [u8]),
    /// The caller has closed its sending direction. It may still read the answer.
    InputClosed(CallerId),
    /// The connection has failed or closed.
    Disconnected(CallerId),
    /// The time that [`AdminEndpoint::next_wake`] returned has been reached.
    Tick,
}

/// An action that the shell performs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the answer to this line and close the connection.
    Answer(CallerId, String),
    /// Send `NO` with this reason and close the connection.
    Reject(CallerId, &'static str),
    /// Close the connection without an answer, to make room for a new caller.
    Evict(CallerId),
}

#[derive(Debug)]
struct Caller {
    /// The bytes of its line that have arrived.
    line: Vec<u8>,
    /// When its line times out.
    deadline: Duration,
}

/// The state machine of the admin endpoint, without a clock or I/O.
#[derive(Debug)]
pub struct AdminEndpoint {
    settings: Settings,
    /// The callers whose lines are incomplete, in the order in which they connected.
    callers: BTreeMap<CallerId, Caller>,
}

impl AdminEndpoint {
    /// Creates an endpoint without callers.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self { settings, callers: BTreeMap::new() }
    }

    /// Handles an event and appends the resulting actions to `actions`. `now` must not decrease from call to
    /// call.
    pub fn handle(&mut self, now: Duration, event: Event<'_>, actions: &mut Vec<Action>) {
        match event {
            Event::Connected(id) => {
                // Evicts the oldest callers. Otherwise callers that send nothing would keep out one that
                // does.
                while self.callers.len() >= self.settings.max_callers.max(1) {
                    let Some((oldest, _)) = self.callers.pop_first() else { break };
                    actions.push(Action::Evict(oldest));
                }
                let deadline = now + self.settings.line_timeout;
                self.callers.insert(id, Caller { line: Vec::new(), deadline });
            }
            Event::Received(id, bytes) => {
                let Some(caller) = self.callers.get_mut(&id) else { return };
                let end = bytes.iter().position(|byte| *byte == b'\n');
                let remaining = self.settings.max_line_bytes.saturating_sub(caller.line.len());
                let part = &bytes[..end.unwrap_or(bytes.len())];
                if part.len() > remaining {
                    self.callers.remove(&id);
                    return actions.push(Action::Reject(id, "the line is too long"));
                }
                caller.line.extend_from_slice(part);
                if end.is_some() {
                    self.finish_line(id, actions);
                }
            }
            // The end of the input also ends the line; an empty line is rejected.
            Event::InputClosed(id) => self.finish_line(id, actions),
            Event::Disconnected(id) => drop(self.callers.remove(&id)),
            Event::Tick => {
                while let Some(first) = self.callers.first_entry().filter(|first| first.get().deadline <= now)
                {
                    actions.push(Action::Reject(*first.key(), "no line came"));
                    first.remove();
                }
            }
        }
    }

    /// Removes a caller whose line is complete and answers or rejects the line.
    fn finish_line(&mut self, id: CallerId, actions: &mut Vec<Action>) {
        let Some(caller) = self.callers.remove(&id) else { return };
        actions.push(match parse_line(&caller.line) {
            Ok(line) => Action::Answer(id, line),
            Err(reason) => Action::Reject(id, reason),
        });
    }

    /// Returns when the next [`Event::Tick`] is due. All callers have the same time-out, so the one that
    /// connected first times out first.
    #[must_use]
    pub fn next_wake(&self) -> Option<Duration> {
        self.callers.first_key_value().map(|(_, first)| first.deadline)
    }

    /// Returns the number of callers whose lines are incomplete.
    #[must_use]
    pub fn waiting_callers(&self) -> usize {
        self.callers.len()
    }
}

/// Returns the text of a line without the whitespace around it, or the reason why the line is invalid.
fn parse_line(line: &[u8]) -> Result<String, &'static str> {
    let line = std::str::from_utf8(line).map_err(|_| "the line is no text")?.trim();
    match line.is_empty() {
        true => Err("the line is empty"),
        false => Ok(line.to_owned()),
    }
}
