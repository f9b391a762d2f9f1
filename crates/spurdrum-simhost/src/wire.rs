//! Parser and printer for the simulator's text protocol. Message and field names are the simulator's.

use std::collections::HashMap;
use std::fmt::{self, Write as _};

use serde_json::Value;
use spurdrum_facts::{name_hash, one_line, read_settings, SettingTypeError};
use spurdrum_policy::*;

/// An invalid line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireError(String);

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for WireError {}

impl WireError {
    /// Returns an error with the text of an error that is not the protocol's own.
    #[must_use]
    pub fn from_error(error: &dyn fmt::Display) -> Self {
        Self(error.to_string())
    }
}

impl From<SettingTypeError> for WireError {
    fn from(error: SettingTypeError) -> Self {
        Self(error.to_string())
    }
}

fn invalid<T>(text: impl Into<String>) -> Result<T, WireError> {
    Err(WireError(text.into()))
}

/// A line split into the name of its message and its name=value pairs.
#[derive(Debug)]
pub struct Line<'a> {
    /// Name of the message.
    pub message: &'a str,
    pairs: Vec<(&'a str, &'a str)>,
}

impl<'a> Line<'a> {
    /// Splits a line. The value of `facts` or `note_text` is the whole rest of the line.
    ///
    /// # Errors
    ///
    /// A part of the line is not a pair.
    pub fn parse(line: &'a str) -> Result<Self, WireError> {
        let (message, mut rest) = line.split_once(' ').unwrap_or((line, ""));
        if message.is_empty() {
            return invalid("no message");
        }
        let mut pairs = Vec::with_capacity(8);
        while !rest.is_empty() {
            let Some((name, tail)) = rest.split_once('=') else {
                return invalid(format!("`{rest}` is not a name=value pair"));
            };
            if name.is_empty() || name.contains(' ') {
                return invalid(format!("`{name}` is not a valid name"));
            }
            let (value, tail) = match name {
                "facts" | "note_text" => (tail, ""),
                _ => tail.split_once(' ').unwrap_or((tail, "")),
            };
            pairs.push((name, value));
            rest = tail;
        }
        Ok(Self { message, pairs })
    }

    /// Returns the value of a pair, if the line has it.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&'a str> {
        self.pairs.iter().find(|(n, _)| *n == name).map(|(_, v)| *v)
    }

    /// Returns the value of a required pair.
    ///
    /// # Errors
    ///
    /// The line does not have the pair.
    pub fn text(&self, name: &str) -> Result<&'a str, WireError> {
        self.get(name).map_or_else(|| invalid(format!("`{name}` is missing")), Ok)
    }

    /// Returns the value of a pair as a number, if the line has it.
    ///
    /// # Errors
    ///
    /// The value is not a finite number.
    pub fn number(&self, name: &str) -> Result<Option<f64>, WireError> {
        self.get(name).map(|v| number(name, v)).transpose()
    }

    /// Returns the value of a pair as a whole number, if the line has it.
    ///
    /// # Errors
    ///
    /// The value is not a whole number.
    pub fn whole(&self, name: &str) -> Result<Option<u64>, WireError> {
        let parse = |v: &str| v.parse().or_else(|_| invalid(format!("`{name}={v}` is not a whole number")));
        self.get(name).map(parse).transpose()
    }

    fn require_whole(&self, name: &str) -> Result<u64, WireError> {
        self.whole(name)?.map_or_else(|| invalid(format!("`{name}` is missing")), Ok)
    }

    fn index(&self, name: &str) -> Result<usize, WireError> {
        let n = self.require_whole(name)?;
        usize::try_from(n).or_else(|_| invalid(format!("`{name}={n}` is too large")))
    }

    /// Returns the value of a required pair as a number.
    ///
    /// # Errors
    ///
    /// The pair is missing, or its value is not a finite number.
    pub fn require_number(&self, name: &str) -> Result<f64, WireError> {
        self.number(name)?.map_or_else(|| invalid(format!("`{name}` is missing")), Ok)
    }
}

fn number(name: &str, text: &str) -> Result<f64, WireError> {
    match text.parse::<f64>() {
        Ok(x) if x.is_finite() => Ok(x),
        _ => invalid(format!("`{name}={text}` is not a number")),
    }
}

/// An entry of a numbered server list, with the simulator's name for its server.
#[derive(Clone, Debug)]
pub struct ListEntry {
    /// The server's name.
    pub server: String,
    entry: ServerEntry,
}

impl ListEntry {
    /// Parses one entry of a list.
    ///
    /// # Errors
    ///
    /// The line is malformed.
    pub fn parse(line: &str) -> Result<Self, WireError> {
        let line = Line::parse(line)?;
        if line.message != "M" {
            return invalid(format!("`{}` where a list entry was expected", line.message));
        }
        let availability = match line.text("availability")? {
            "2" => Availability::Ready,
            "0" => Availability::Draining,
            "3" => Availability::Gone,
            other => return invalid(format!("`availability={other}` is unknown")),
        };
        let or_zero = |name| Ok::<_, WireError>(line.whole(name)?.unwrap_or(0) as usize);
        let server = line.text("server")?;
        let entry = ServerEntry {
            server: ServerId(0),
            availability,
            started_at: line.number("launched_ms")?.filter(|t| *t > 0.0),
            cell: or_zero("block")?,
            zone: or_zero("site")?,
            kind: or_zero("type")?,
            weight: line.number("units")?.unwrap_or(1.0),
            name_hash: name_hash(server),
        };
        Ok(Self { server: server.to_owned(), entry })
    }
}

/// Parses and prints the messages of one instance. Assigns ids to server names, and knows the columns of a
/// load report.
#[derive(Debug, Default)]
pub struct Codec {
    names: Vec<String>,
    ids: HashMap<String, usize>,
    /// Columns of these values in a load report, if it has them.
    in_flight_column: Option<usize>,
    queued_column: Option<usize>,
}

impl Codec {
    /// Returns the id of a server's name, and assigns one to a new name.
    fn intern(&mut self, name: &str) -> ServerId {
        if let Some(id) = self.ids.get(name) {
            return ServerId(*id);
        }
        let id = self.names.len();
        self.names.push(name.to_owned());
        self.ids.insert(name.to_owned(), id);
        ServerId(id)
    }

    fn report(&self, line: &Line<'_>) -> Result<Option<LoadReport>, WireError> {
        let Some(row_text) = line.get("server_stats").filter(|r| !r.is_empty() && *r != "-") else {
            return Ok(None);
        };
        let values: Vec<f64> =
            row_text.split(',').map(|v| number("server_stats", v)).collect::<Result<_, _>>()?;
        let value = |column: Option<usize>| column.and_then(|i| values.get(i).copied());
        Ok(Some(LoadReport { in_flight: value(self.in_flight_column), queued: value(self.queued_column) }))
    }

    /// Parses the settings that an instance starts with.
    ///
    /// # Errors
    ///
    /// They are not a JSON object of the expected types.
    pub fn settings(&mut self, facts: &str) -> Result<Settings, WireError> {
        let facts: Value = serde_json::from_str(facts).map_err(|e| WireError(format!("`facts`: {e}")))?;
        if !facts.is_object() {
            return invalid("`facts` is not an object");
        }
        let fields = facts["stats"]["fields"].as_array().map_or(&[][..], Vec::as_slice);
        self.in_flight_column = fields.iter().position(|f| f == "active");
        self.queued_column = fields.iter().position(|f| f == "waiting");
        Ok(read_settings(&facts)?)
    }

    /// Parses an event for an instance; `lists` holds the numbered lists. Returns `None` for a message that is unknown or
    /// not used.
    ///
    /// # Errors
    ///
    /// The line is malformed.
    pub fn event(
        &mut self,
        line: &Line<'_>,
        lists: &[Option<Vec<ListEntry>>; 16],
    ) -> Result<Option<Event>, WireError> {
        Ok(Some(match line.message {
            "REGISTRY" => Event::Servers(self.list_update(line, lists)?),
            "CALL" => {
                let flags = line.whole("marks")?.unwrap_or(0);
                Event::Request(Request {
                    id: RequestId(line.require_whole("txn")?),
                    class: line.index("grade")?,
                    tenant: line.whole("party")?.unwrap_or(0) as usize,
                    budget_ms: line.require_number("budget_ms")?,
                    cost_ms: line.number("cost_ms")?.filter(|_| flags & 1 != 0),
                    client_retry: flags & 2 != 0,
                    preferred_server: None,
                    rules: None,
                })
            }
            "ACK_FIRST" => Event::StreamStarted {
                request: RequestId(line.require_whole("txn")?),
                attempt: line.index("try")?,
            },
            "ENDED" => Event::Outcome(Outcome {
                request: RequestId(line.require_whole("txn")?),
                attempt: line.index("try")?,
                elapsed_ms: line.require_number("rtt_ms")?,
                ending: ending(line)?,
                complete: match line.text("complete")? {
                    "1" => true,
                    "0" => false,
                    other => return invalid(format!("`complete={other}` is neither 1 nor 0")),
                },
                report: self.report(line)?,
            }),
            "HANGUP" => Event::ClientGone(RequestId(line.require_whole("txn")?)),
            // A nonce that is not a number was not set by this adapter: ignore it.
            "FIRED" => match line.text("nonce")?.parse() {
                Ok(timer) => Event::Timer(timer),
                Err(_) => return Ok(None),
            },
            "HEALTH" => Event::Probed {
                server: self.intern(line.text("server")?),
                ending: ending(line)?,
                report: self.report(line)?,
            },
            _ => return Ok(None),
        }))
    }

    fn list_update(
        &mut self,
        line: &Line<'_>,
        lists: &[Option<Vec<ListEntry>>; 16],
    ) -> Result<ListUpdate, WireError> {
        let mode = line.text("mode")?;
        if mode == "3" {
            return Ok(ListUpdate::Failed);
        }
        let number = line.index("roster_id")?;
        let Some(list) = lists.get(number).and_then(Option::as_ref) else {
            return invalid(format!("`roster_id={number}` is not a known list"));
        };
        let entries =
            list.iter().map(|m| ServerEntry { server: self.intern(&m.server), ..m.entry.clone() }).collect();
        match mode {
            "0" => Ok(ListUpdate::Changes(entries)),
            "1" => Ok(ListUpdate::Full(entries)),
            "2" => Ok(ListUpdate::Cached(entries)),
            other => invalid(format!("`mode={other}` is unknown")),
        }
    }

    /// Prints an action of an instance.
    pub fn print(&self, node: &str, action: &Action, out: &mut String) {
        let written = match action {
            Action::Send { request, server } => {
                write!(out, "PLACE node={node} txn={} server={}", request.0, self.names[server.0])
            }
            Action::Probe { server } => write!(out, "SOUND_OUT node={node} server={}", self.names[server.0]),
            Action::Cancel { request, attempt } => {
                write!(out, "STOP_ATTEMPT node={node} txn={} try={attempt}", request.0)
            }
            Action::Refuse { request, retry_after_ms: None } => {
                write!(out, "PUSH_BACK node={node} txn={}", request.0)
            }
            Action::Refuse { request, retry_after_ms: Some(ms) } => {
                write!(out, "PUSH_BACK node={node} txn={} stay_away_ms={ms:.3}", request.0)
            }
            Action::Fail { request } => write!(out, "REPORT_FAILURE node={node} txn={}", request.0),
            Action::Subscribe => write!(out, "TRACK node={node} want=1"),
            Action::SetTimer { timer, after_ms } => {
                write!(out, "SCHEDULE node={node} nonce={timer} offset_ms={after_ms:.3}")
            }
            Action::Ejected { server } => {
                write!(out, "NOTE_DOWN node={node} note_text=server {} is taken out", server.0)
            }
            Action::Restored { server } => {
                write!(out, "NOTE_DOWN node={node} note_text=server {} is back", server.0)
            }
            Action::Note(text) => write!(out, "NOTE_DOWN node={node} note_text={}", one_line(text)),
        };
        debug_assert!(written.is_ok(), "writing to a string cannot fail");
        out.push('\n');
    }
}

fn ending(line: &Line<'_>) -> Result<Ending, WireError> {
    Ok(match line.text("ending")? {
        "S" => Ending::Served,
        "E" => Ending::Error,
        "F" => Ending::Full,
        "T" => Ending::TimedOut,
        "C" => Ending::Unreachable,
        "R" => Ending::Reset,
        "X" => Ending::Cancelled,
        "N" => Ending::NotSent,
        other => return invalid(format!("`ending={other}` is unknown")),
    })
}
