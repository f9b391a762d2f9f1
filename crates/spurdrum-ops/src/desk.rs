//! Who calls, and what they say.

use std::collections::BTreeMap;
use std::time::Duration;

/// A caller's connection. Numbers rise in the order of coming and are not used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerId(pub u64);

/// Bounds on callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Callers that may be there at once.
    pub max_callers: usize,
    /// Bytes of a line.
    pub max_line_bytes: usize,
    /// A caller has so long for its line.
    pub line_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        // Some callers stay for 4 s and say nothing; who speaks slowly may still be understood after that.
        Self { max_callers: 16, max_line_bytes: 256, line_timeout: Duration::from_secs(5) }
    }
}

/// What happens to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event<'a> {
    /// It has connected.
    Connected(CallerId),
    /// It has said more.
    Received(CallerId, &'a [u8]),
    /// It will say no more, but may still hear the answer.
    InputClosed(CallerId),
    /// It has left.
    Disconnected(CallerId),
    /// The time that [`AdminEndpoint::next_wake`] told has come.
    Tick,
}

/// What the shell is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Answer this line, and close.
    Answer(CallerId, String),
    /// Answer `NO` and this reason, and close.
    Reject(CallerId, &'static str),
    /// Close without a word: it makes room.
    Evict(CallerId),
}

#[derive(Debug)]
struct Caller {
    line: Vec<u8>,
    due: Duration,
}

/// The decisions on callers: no clock and no I/O.
#[derive(Debug)]
pub struct AdminEndpoint {
    settings: Settings,
    /// Those that have not said their line, in the order they came.
    callers: BTreeMap<CallerId, Caller>,
}

impl AdminEndpoint {
    /// A desk with nobody at it.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self { settings, callers: BTreeMap::new() }
    }

    /// Handles an event. Times never run backwards.
    pub fn handle(&mut self, now: Duration, event: Event<'_>, actions: &mut Vec<Action>) {
        match event {
            Event::Connected(id) => {
                // Guards against callers that say nothing and keep out one that would.
                while self.callers.len() >= self.settings.max_callers.max(1) {
                    let Some((oldest, _)) = self.callers.pop_first() else { break };
                    actions.push(Action::Evict(oldest));
                }
                let due = now + self.settings.line_timeout;
                self.callers.insert(id, Caller { line: Vec::new(), due });
            }
            Event::Received(id, bytes) => {
                let Some(caller) = self.callers.get_mut(&id) else { return };
                let end = bytes.iter().position(|byte| *byte == b'\n');
                let room = self.settings.max_line_bytes.saturating_sub(caller.line.len());
                let part = &bytes[..end.unwrap_or(bytes.len())];
                if part.len() > room {
                    self.callers.remove(&id);
                    return actions.push(Action::Reject(id, "the line is too long"));
                }
                caller.line.extend_from_slice(part);
                if end.is_some() {
                    self.conclude(id, actions);
                }
            }
            // A line whose end is the connection's counts, but an empty one is nothing said.
            Event::InputClosed(id) => self.conclude(id, actions),
            Event::Disconnected(id) => drop(self.callers.remove(&id)),
            Event::Tick => {
                while let Some(first) = self.callers.first_entry().filter(|first| first.get().due <= now) {
                    actions.push(Action::Reject(*first.key(), "no line came"));
                    first.remove();
                }
            }
        }
    }

    fn conclude(&mut self, id: CallerId, actions: &mut Vec<Action>) {
        let Some(caller) = self.callers.remove(&id) else { return };
        actions.push(match read(&caller.line) {
            Ok(line) => Action::Answer(id, line),
            Err(why) => Action::Reject(id, why),
        });
    }

    /// When it wants the next tick: callers have equal time, so the first that came is the first to be due.
    #[must_use]
    pub fn next_wake(&self) -> Option<Duration> {
        self.callers.first_key_value().map(|(_, first)| first.due)
    }

    /// Callers that have not said their line.
    #[must_use]
    pub fn waiting_callers(&self) -> usize {
        self.callers.len()
    }
}

/// The text of a line, or what is wrong with it.
fn read(line: &[u8]) -> Result<String, &'static str> {
    let line = std::str::from_utf8(line).map_err(|_| "the line is no text")?.trim();
    match line.is_empty() {
        true => Err("the line is empty"),
        false => Ok(line.to_owned()),
    }
}
