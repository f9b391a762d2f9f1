//! The text wire that the decisions can be driven by: parsing and printing, nothing else.

use std::collections::HashMap;
use std::fmt::{self, Write as _};

use serde_json::Value;
use spurdrum_facts::{name_hash, one_line, read_settings, SettingTypeError};
use spurdrum_policy::*;

/// What is wrong with a line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireError(String);

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for WireError {}

impl WireError {
    /// An error found beyond the wire, in its own words.
    #[must_use]
    pub fn other(why: &dyn fmt::Display) -> Self {
        Self(why.to_string())
    }
}

impl From<SettingTypeError> for WireError {
    fn from(wrong: SettingTypeError) -> Self {
        Self(wrong.to_string())
    }
}

fn wrong<T>(text: impl Into<String>) -> Result<T, WireError> {
    Err(WireError(text.into()))
}

/// A line split into its message and its name=value pairs.
#[derive(Debug)]
pub struct Line<'a> {
    /// The message.
    pub message: &'a str,
    pairs: Vec<(&'a str, &'a str)>,
}

impl<'a> Line<'a> {
    /// Splits a line; a field of text takes the rest of it.
    ///
    /// # Errors
    ///
    /// A part that is no pair.
    pub fn parse(line: &'a str) -> Result<Self, WireError> {
        let (message, mut rest) = line.split_once(' ').unwrap_or((line, ""));
        if message.is_empty() {
            return wrong("no message");
        }
        let mut pairs = Vec::with_capacity(8);
        while !rest.is_empty() {
            let Some((name, tail)) = rest.split_once('=') else {
                return wrong(format!("`{rest}` is no name=value pair"));
            };
            if name.is_empty() || name.contains(' ') {
                return wrong(format!("`{name}` is no name"));
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

    /// The value of a pair, if it is there.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&'a str> {
        self.pairs.iter().find(|(n, _)| *n == name).map(|(_, v)| *v)
    }

    /// The value of a pair that must be there.
    ///
    /// # Errors
    ///
    /// It is not there.
    pub fn text(&self, name: &str) -> Result<&'a str, WireError> {
        self.get(name).map_or_else(|| wrong(format!("`{name}` is missing")), Ok)
    }

    /// A time or other figure, if it is there.
    ///
    /// # Errors
    ///
    /// It is no finite number.
    pub fn figure(&self, name: &str) -> Result<Option<f64>, WireError> {
        self.get(name).map(|v| figure(name, v)).transpose()
    }

    /// A whole number, if it is there.
    ///
    /// # Errors
    ///
    /// It is no whole number.
    pub fn whole(&self, name: &str) -> Result<Option<u64>, WireError> {
        let parse = |v: &str| v.parse().or_else(|_| wrong(format!("`{name}={v}` is no whole number")));
        self.get(name).map(parse).transpose()
    }

    fn need_whole(&self, name: &str) -> Result<u64, WireError> {
        self.whole(name)?.map_or_else(|| wrong(format!("`{name}` is missing")), Ok)
    }

    fn index(&self, name: &str) -> Result<usize, WireError> {
        let n = self.need_whole(name)?;
        usize::try_from(n).or_else(|_| wrong(format!("`{name}={n}` is too large")))
    }

    /// A figure that must be there.
    ///
    /// # Errors
    ///
    /// It is missing or no finite number.
    pub fn need_figure(&self, name: &str) -> Result<f64, WireError> {
        self.figure(name)?.map_or_else(|| wrong(format!("`{name}` is missing")), Ok)
    }
}

fn figure(name: &str, text: &str) -> Result<f64, WireError> {
    match text.parse::<f64>() {
        Ok(x) if x.is_finite() => Ok(x),
        _ => wrong(format!("`{name}={text}` is no number")),
    }
}

/// A numbered list's entry, its server still by name.
#[derive(Clone, Debug)]
pub struct Member {
    /// The server's name.
    pub server: String,
    entry: ServerEntry,
}

impl Member {
    /// Reads one entry of a list.
    ///
    /// # Errors
    ///
    /// The line is malformed.
    pub fn parse(line: &str) -> Result<Self, WireError> {
        let line = Line::parse(line)?;
        if line.message != "M" {
            return wrong(format!("`{}` where an entry of the list was due", line.message));
        }
        let availability = match line.text("availability")? {
            "2" => Availability::Ready,
            "0" => Availability::Draining,
            "3" => Availability::Gone,
            other => return wrong(format!("`availability={other}` is unknown")),
        };
        let or_zero = |name| Ok::<_, WireError>(line.whole(name)?.unwrap_or(0) as usize);
        let server = line.text("server")?;
        let entry = ServerEntry {
            server: ServerId(0),
            availability,
            started_at: line.figure("launched_ms")?.filter(|t| *t > 0.0),
            cell: or_zero("block")?,
            zone: or_zero("site")?,
            kind: or_zero("type")?,
            weight: line.figure("units")?.unwrap_or(1.0),
            name_hash: name_hash(server),
        };
        Ok(Self { server: server.to_owned(), entry })
    }
}

/// What one instance's messages need beside themselves: its server names and report fields.
#[derive(Debug, Default)]
pub struct Dialect {
    names: Vec<String>,
    ids: HashMap<String, usize>,
    in_flight_at: Option<usize>,
    queued_at: Option<usize>,
}

impl Dialect {
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
        let Some(row) = line.get("server_stats").filter(|r| !r.is_empty() && *r != "-") else {
            return Ok(None);
        };
        let values: Vec<f64> = row.split(',').map(|v| figure("server_stats", v)).collect::<Result<_, _>>()?;
        let at = |i: Option<usize>| i.and_then(|i| values.get(i).copied());
        Ok(Some(LoadReport { in_flight: at(self.in_flight_at), queued: at(self.queued_at) }))
    }

    /// Reads the settings of a start.
    ///
    /// # Errors
    ///
    /// They are no object of the expected types.
    pub fn settings(&mut self, facts: &str) -> Result<Settings, WireError> {
        let facts: Value = serde_json::from_str(facts).map_err(|e| WireError(format!("`facts`: {e}")))?;
        if !facts.is_object() {
            return wrong("`facts` is no object");
        }
        let fields = facts["stats"]["fields"].as_array().map_or(&[][..], Vec::as_slice);
        self.in_flight_at = fields.iter().position(|f| f == "active");
        self.queued_at = fields.iter().position(|f| f == "waiting");
        Ok(read_settings(&facts)?)
    }

    /// Reads an event for an instance; `lists` holds the numbered lists.
    ///
    /// # Errors
    ///
    /// The line is malformed. `Ok(None)` is a message that is not known or not needed.
    pub fn event(
        &mut self,
        line: &Line<'_>,
        lists: &[Option<Vec<Member>>; 16],
    ) -> Result<Option<Event>, WireError> {
        Ok(Some(match line.message {
            "REGISTRY" => Event::Servers(self.listing(line, lists)?),
            "CALL" => {
                let marks = line.whole("marks")?.unwrap_or(0);
                Event::Request(Request {
                    id: RequestId(line.need_whole("txn")?),
                    class: line.index("grade")?,
                    tenant: line.whole("party")?.unwrap_or(0) as usize,
                    budget_ms: line.need_figure("budget_ms")?,
                    cost_ms: line.figure("cost_ms")?.filter(|_| marks & 1 != 0),
                    client_retry: marks & 2 != 0,
                    preferred_server: None,
                })
            }
            "ACK_FIRST" => Event::StreamStarted {
                request: RequestId(line.need_whole("txn")?),
                attempt: line.index("try")?,
            },
            "ENDED" => Event::Outcome(Outcome {
                request: RequestId(line.need_whole("txn")?),
                attempt: line.index("try")?,
                elapsed_ms: line.need_figure("rtt_ms")?,
                ending: ending(line)?,
                complete: match line.text("complete")? {
                    "1" => true,
                    "0" => false,
                    other => return wrong(format!("`complete={other}` is neither 1 nor 0")),
                },
                report: self.report(line)?,
            }),
            "HANGUP" => Event::ClientGone(RequestId(line.need_whole("txn")?)),
            // A token that is none of ours is no timer of ours: pass it over.
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

    fn listing(
        &mut self,
        line: &Line<'_>,
        lists: &[Option<Vec<Member>>; 16],
    ) -> Result<ListUpdate, WireError> {
        let mode = line.text("mode")?;
        if mode == "3" {
            return Ok(ListUpdate::Failed);
        }
        let number = line.index("roster_id")?;
        let Some(list) = lists.get(number).and_then(Option::as_ref) else {
            return wrong(format!("`roster_id={number}` is no list"));
        };
        let entries =
            list.iter().map(|m| ServerEntry { server: self.intern(&m.server), ..m.entry.clone() }).collect();
        match mode {
            "0" => Ok(ListUpdate::Changes(entries)),
            "1" => Ok(ListUpdate::Full(entries)),
            "2" => Ok(ListUpdate::Cached(entries)),
            other => wrong(format!("`mode={other}` is unknown")),
        }
    }

    /// Prints an action of an instance.
    pub fn print(&self, node: &str, action: &Action, out: &mut String) {
        let done = match action {
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
        debug_assert!(done.is_ok(), "writing to a string cannot fail");
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
        other => return wrong(format!("`ending={other}` is unknown")),
    })
}
