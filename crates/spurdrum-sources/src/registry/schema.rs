//! Maps keys and values of a registry to servers.
//!
//! A pattern names the fields that a key contains. The other fields are found in a JSON value by JSON
//! pointers (RFC 6901):
//!
//! ```
//! use spurdrum_sources::registry::schema::{Schema, ValueFormat};
//!
//! let schema = Schema { key: "/sites/{zone}/{id}".into(), value: ValueFormat::Address, ..Schema::default() };
//! let schema = schema.compile().expect("a valid schema");
//! assert_eq!(schema.prefix(), "/sites/");
//! let member = schema.parse(b"/sites/north/s1", b"127.0.0.1:8080").expect("a server");
//! assert_eq!((member.id.as_str(), member.locality.as_str()), ("s1", "north"));
//! ```

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::net::{IpAddr, SocketAddr};

use serde::Deserialize;
use serde_json::Value as Json;

use super::follower::{Change, Value};
use crate::{Member, Phase};

/// Fields of a server that a key or a value may contain.
const FIELDS: [&str; 9] = ["id", "address", "port", "zone", "kind", "cell", "weight", "phase", "started_ms"];
/// Maximum length of the name of a server, zone or kind, in bytes.
const MAX_NAME_BYTES: usize = 255;
/// Maximum number of invalid keys that are remembered and reported, and of duplicate servers kept in
/// `waiting`.
const MAX_INVALID_KEYS: usize = 1000;

/// Format of the values.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ValueFormat {
    /// A JSON object.
    #[default]
    Json,
    /// An address with a port, and nothing else.
    Address,
    /// The value is ignored; the key contains all fields.
    None,
}

/// How keys and values map to servers.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Schema {
    /// Pattern of the keys: literal text, and fields in braces. A field extends to the literal text that
    /// follows it.
    pub key: String,
    /// Format of the values.
    pub value: ValueFormat,
    /// JSON pointer (RFC 6901) of each field in a JSON value.
    pub fields: BTreeMap<String, String>,
}

impl Default for Schema {
    fn default() -> Self {
        let fields = FIELDS.map(|field| (field.to_owned(), format!("/{field}")));
        Self { key: "/spurdrum/servers/{id}".into(), value: ValueFormat::Json, fields: fields.into() }
    }
}

impl Schema {
    /// Returns the schema of the entries that [`super::consul`] makes of a service's instances.
    pub fn consul() -> Self {
        let in_meta = ["zone", "kind", "cell", "started_ms"].map(|field| (field, format!("/meta/{field}")));
        let top_level = ["address", "port", "weight", "phase"].map(|field| (field, format!("/{field}")));
        let fields = in_meta.into_iter().chain(top_level).map(|(field, pointer)| (field.to_owned(), pointer));
        Self { key: "{id}".into(), value: ValueFormat::Json, fields: fields.collect() }
    }

    /// Checks the schema and parses its pattern.
    ///
    /// # Errors
    ///
    /// Returns the name of the invalid setting and the reason.
    pub fn compile(&self) -> Result<CompiledSchema, (&'static str, &'static str)> {
        let segments =
            parse_segments(&self.key).ok_or(("key", "has an unmatched brace or an unknown field"))?;
        let key_has =
            |name: &str| segments.iter().any(|s| matches!(s, Segment::Field(field) if *field == name));
        let adjacent = segments.windows(2).any(|pair| matches!(pair, [Segment::Field(_), Segment::Field(_)]));
        if adjacent {
            return Err(("key", "has two fields without text between them"));
        }
        if !key_has("id") && !key_has("address") {
            return Err(("key", "has neither {id} nor {address}, so servers would have no ids"));
        }
        if self.value == ValueFormat::None && !key_has("address") {
            return Err(("value", "is none, but the key has no {address}"));
        }
        let all_known = self.fields.keys().all(|field| FIELDS.contains(&field.as_str()));
        if !all_known {
            return Err(("fields", "contains an unknown field"));
        }
        if !self.fields.values().all(|pointer| pointer.is_empty() || pointer.starts_with('/')) {
            return Err(("fields", "contains a pointer that does not begin with /"));
        }
        if self.value == ValueFormat::Json && !key_has("address") && !self.fields.contains_key("address") {
            return Err(("fields", "contains no address"));
        }
        Ok(CompiledSchema { segments, value: self.value, fields: self.fields.clone() })
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Segment {
    Literal(String),
    Field(&'static str),
}

/// Splits a pattern into segments; `None` if a brace is unmatched or a field is unknown.
fn parse_segments(pattern: &str) -> Option<Vec<Segment>> {
    let mut segments = Vec::new();
    let mut rest = pattern;
    while !rest.is_empty() {
        match rest.find(['{', '}']) {
            None => {
                segments.push(Segment::Literal(rest.to_owned()));
                break;
            }
            Some(0) => {
                let (name, after) = rest.strip_prefix('{')?.split_once('}')?;
                segments.push(Segment::Field(FIELDS.into_iter().find(|field| *field == name)?));
                rest = after;
            }
            Some(brace) => {
                segments.push(Segment::Literal(rest[..brace].to_owned()));
                rest = &rest[brace..];
            }
        }
    }
    Some(segments)
}

/// A schema that has been checked, with its pattern parsed.
#[derive(Clone, Debug)]
pub struct CompiledSchema {
    segments: Vec<Segment>,
    value: ValueFormat,
    fields: BTreeMap<String, String>,
}

/// Why a key does not map to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryError {
    /// The key does not match the pattern.
    KeyMismatch,
    /// The value has this many bytes, more than the limit.
    TooLong(usize),
    /// The value is not a JSON object or not an address, as the schema requires.
    InvalidValue,
    /// This field is missing, has the wrong type or is out of range.
    InvalidField(&'static str),
    /// Another key has already defined a server with this id.
    DuplicateServer(String),
}

impl fmt::Display for EntryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::KeyMismatch => f.write_str("the key does not match the pattern"),
            Self::TooLong(bytes) => write!(f, "the value is too long: {bytes} bytes"),
            Self::InvalidValue => f.write_str("the value does not have the configured format"),
            Self::InvalidField(field) => {
                write!(f, "`{field}` is missing, has the wrong type or is out of range")
            }
            Self::DuplicateServer(id) => write!(f, "the server {id} is already defined by another key"),
        }
    }
}

impl CompiledSchema {
    /// Returns the literal text that all keys begin with.
    pub fn prefix(&self) -> &str {
        match self.segments.first() {
            Some(Segment::Literal(text)) => text,
            _ => "",
        }
    }

    /// Parses the server that a key and its value describe.
    ///
    /// # Errors
    ///
    /// Returns why they do not describe a server.
    pub fn parse(&self, key: &[u8], value: &[u8]) -> Result<Member, EntryError> {
        let key = std::str::from_utf8(key).map_err(|_| EntryError::KeyMismatch)?;
        let key_fields = self.key_fields(key).ok_or(EntryError::KeyMismatch)?;
        let json = match self.value {
            ValueFormat::Json => {
                serde_json::from_slice(value).ok().filter(Json::is_object).ok_or(EntryError::InvalidValue)?
            }
            ValueFormat::Address | ValueFormat::None => Json::Null,
        };
        let field = |name: &str| -> Option<Json> {
            if let Some(text) = key_fields.get(name) {
                return Some(Json::String((*text).to_owned()));
            }
            self.fields
                .get(name)
                .and_then(|pointer| json.pointer(pointer))
                .filter(|found| !found.is_null())
                .cloned()
        };
        let text = |field_name: &'static str| match field(field_name) {
            None => Ok(String::new()),
            Some(Json::String(text)) if text.len() <= MAX_NAME_BYTES => Ok(text),
            Some(Json::Number(number)) => Ok(number.to_string()),
            Some(_) => Err(EntryError::InvalidField(field_name)),
        };
        let number = |field_name: &'static str, default: f64| match field(field_name) {
            None => Ok(default),
            Some(found) => {
                let parsed = found.as_f64().or_else(|| found.as_str()?.parse().ok());
                parsed.filter(|number: &f64| number.is_finite()).ok_or(EntryError::InvalidField(field_name))
            }
        };
        let address = match self.value {
            ValueFormat::Address => {
                std::str::from_utf8(value).map_err(|_| EntryError::InvalidValue)?.trim().to_owned()
            }
            _ => text("address")?,
        };
        let address = address
            .parse()
            .ok()
            .or_else(|| {
                let port = field("port")?;
                let port = port.as_u64().or_else(|| port.as_str()?.parse().ok())?;
                Some(SocketAddr::new(address.parse::<IpAddr>().ok()?, u16::try_from(port).ok()?))
            })
            .filter(|address| address.port() != 0 && !address.ip().is_unspecified())
            .ok_or(EntryError::InvalidField("address"))?;
        let id = match text("id")? {
            empty if empty.is_empty() => address.to_string(),
            id => id,
        };
        let phase = match text("phase")?.as_str() {
            "" | "active" => Phase::Active,
            "leaving" | "draining" => Phase::Leaving,
            "left" => Phase::Left,
            _ => return Err(EntryError::InvalidField("phase")),
        };
        let weight = number("weight", 1.0)?;
        if weight <= 0.0 || weight > 1e6 {
            return Err(EntryError::InvalidField("weight"));
        }
        let cell = number("cell", 0.0)?;
        if !(0.0..=1e6).contains(&cell) || cell.fract() != 0.0 {
            return Err(EntryError::InvalidField("cell"));
        }
        let up_since_ms = number("started_ms", 0.0)?;
        if !(0.0..=1e15).contains(&up_since_ms) {
            return Err(EntryError::InvalidField("started_ms"));
        }
        Ok(Member {
            id,
            host_port: address,
            locality: text("zone")?,
            flavor: text("kind")?,
            cell: cell as usize,
            phase,
            size: weight,
            up_since_ms,
        })
    }

    /// Extracts the fields that a key contains; `None` if it does not match the pattern.
    fn key_fields<'k>(&self, key: &'k str) -> Option<HashMap<&'static str, &'k str>> {
        let mut fields = HashMap::new();
        let mut rest = key;
        let mut segments = self.segments.iter().peekable();
        while let Some(segment) = segments.next() {
            match segment {
                Segment::Literal(text) => rest = rest.strip_prefix(text.as_str())?,
                Segment::Field(field) => {
                    let end = match segments.peek() {
                        Some(Segment::Literal(text)) => rest.find(text.as_str())?,
                        _ => rest.len(),
                    };
                    let content = &rest[..end];
                    if content.is_empty() || content.len() > MAX_NAME_BYTES || content.contains('/') {
                        return None;
                    }
                    fields.insert(*field, content);
                    rest = &rest[end..];
                }
            }
        }
        rest.is_empty().then_some(fields)
    }
}

/// Changes of servers that follow from a change of keys.
#[derive(Debug, Default)]
pub struct ServerChanges {
    /// Servers that are new or changed. A server whose value has become invalid is leaving.
    pub updated: Vec<Member>,
    /// Ids of servers that are gone.
    pub gone: Vec<String>,
    /// Keys that have become invalid, each reported once per error.
    pub errors: Vec<(String, EntryError)>,
}

/// Maps changes of keys to changes of servers.
#[derive(Debug)]
pub struct Mapper {
    schema: CompiledSchema,
    /// The server of each valid key.
    servers: HashMap<Vec<u8>, Member>,
    /// The key of each server.
    keys: HashMap<String, Vec<u8>>,
    /// The last reported error of each invalid key.
    errors: HashMap<Vec<u8>, EntryError>,
    /// Servers whose id is in use by another key, kept until that key is deleted.
    waiting: BTreeMap<Vec<u8>, Member>,
}

impl Mapper {
    /// Returns a mapper without any keys.
    pub fn new(schema: CompiledSchema) -> Self {
        Self {
            schema,
            servers: HashMap::new(),
            keys: HashMap::new(),
            errors: HashMap::new(),
            waiting: BTreeMap::new(),
        }
    }

    /// Returns the number of invalid keys.
    pub fn invalid_keys(&self) -> usize {
        self.errors.len()
    }

    /// Maps a change. Each key is mapped on its own, so an invalid one affects no other server.
    pub fn map(&mut self, change: &Change) -> ServerChanges {
        let mut changes = ServerChanges::default();
        // Deletions come first, since a server may have moved to another key in the same change.
        for key in &change.deleted {
            self.errors.remove(key);
            self.waiting.remove(key);
            if let Some(member) = self.servers.remove(key) {
                self.keys.remove(&member.id);
                changes.gone.push(member.id);
            }
        }
        for entry in &change.put {
            let parsed = match &entry.value {
                Value::Whole(value) => self.schema.parse(&entry.key, value),
                Value::TooLong(bytes) => Err(EntryError::TooLong(*bytes)),
            };
            self.waiting.remove(&entry.key);
            match parsed {
                Ok(member) => self.put(&entry.key, member, &mut changes),
                Err(error) => self.record_error(&entry.key, error, &mut changes),
            }
        }
        let freed: Vec<Vec<u8>> = (self.waiting.iter())
            .filter(|(_, member)| !self.keys.contains_key(&member.id))
            .map(|(key, _)| key.clone())
            .collect();
        for key in freed {
            if let Some(member) = self.waiting.remove(&key) {
                self.put(&key, member, &mut changes);
            }
        }
        // A server that moved from one key to another is not gone.
        changes.gone.retain(|id| !self.keys.contains_key(id));
        changes
    }

    fn put(&mut self, key: &[u8], member: Member, changes: &mut ServerChanges) {
        if self.keys.get(&member.id).is_some_and(|other| other != key) {
            let error = EntryError::DuplicateServer(member.id.clone());
            if self.waiting.len() < MAX_INVALID_KEYS {
                self.waiting.insert(key.to_owned(), member);
            }
            return self.record_error(key, error, changes);
        }
        self.errors.remove(key);
        let previous = self.servers.insert(key.to_owned(), member.clone());
        // The new value may describe another server than the old one.
        if let Some(previous) = previous.filter(|previous| previous.id != member.id) {
            self.keys.remove(&previous.id);
            changes.gone.push(previous.id);
        }
        self.keys.insert(member.id.clone(), key.to_owned());
        changes.updated.push(member);
    }

    fn record_error(&mut self, key: &[u8], error: EntryError, changes: &mut ServerChanges) {
        // What the server does now is unknown: it may finish the requests it has, and gets no new ones.
        if let Some(member) = self.servers.get_mut(key) {
            member.phase = Phase::Leaving;
            changes.updated.push(member.clone());
        }
        let already_reported = self.errors.get(key) == Some(&error);
        if !already_reported && (self.errors.contains_key(key) || self.errors.len() < MAX_INVALID_KEYS) {
            self.errors.insert(key.to_owned(), error.clone());
            let key_text = String::from_utf8_lossy(&key[..key.len().min(MAX_NAME_BYTES)]).into_owned();
            changes.errors.push((key_text, error));
        }
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    use super::*;
    use crate::registry::follower::Entry;

    fn put(key: &str, value: &str) -> Entry {
        Entry { key: key.into(), value: Value::Whole(value.into()) }
    }

    fn change(put: Vec<Entry>, deleted: &[&str]) -> Change {
        let deleted = deleted.iter().map(|key| key.as_bytes().to_vec()).collect();
        Change { revision: 1, from_full_read: false, put, deleted }
    }

    #[test]
    fn an_invalid_value_affects_only_its_own_server_and_is_reported_once() {
        let mut mapper = Mapper::new(Schema::default().compile().expect("a valid schema"));
        let (a, b) = ("/spurdrum/servers/a", "/spurdrum/servers/b");
        let good = r#"{"address":"127.0.0.1:1","zone":"n","weight":2}"#;
        let mapped = mapper.map(&change(vec![put(a, good), put(b, "{")], &[]));
        assert_eq!((mapped.updated.len(), mapped.updated[0].size), (1, 2.0));
        assert_eq!(mapped.errors, [(b.to_owned(), EntryError::InvalidValue)]);
        assert!(mapper.map(&change(vec![put(b, "{")], &[])).errors.is_empty());
        // A server that was valid before keeps its address and is leaving.
        let mapped = mapper.map(&change(vec![put(a, r#"{"address":"nowhere"}"#)], &[]));
        assert_eq!((mapped.updated[0].id.as_str(), mapped.updated[0].phase), ("a", Phase::Leaving));
        assert_eq!(mapped.errors[0].1, EntryError::InvalidField("address"));
        let mapped = mapper.map(&change(vec![put(a, good)], &[]));
        assert_eq!(mapped.updated[0].phase, Phase::Active);
        assert_eq!(mapper.map(&change(Vec::new(), &[a, b])).gone, ["a"]);
        assert_eq!(mapper.invalid_keys(), 0);
    }

    #[test]
    fn a_server_that_moves_to_another_key_is_not_gone() {
        let schema = Schema { key: "/{zone}/{id}".into(), ..Schema::default() };
        let mut mapper = Mapper::new(schema.compile().expect("a valid schema"));
        let value = r#"{"address":"127.0.0.1:1"}"#;
        mapper.map(&change(vec![put("/n/a", value)], &[]));
        let duplicate = mapper.map(&change(vec![put("/s/a", value)], &[]));
        assert_eq!(duplicate.errors, [("/s/a".to_owned(), EntryError::DuplicateServer("a".into()))]);
        let moved = mapper.map(&change(Vec::new(), &["/n/a"]));
        assert!(moved.gone.is_empty(), "{moved:?}");
        assert_eq!(moved.updated[0].locality, "s");
    }

    #[test]
    fn invalid_patterns_are_rejected() {
        for key in ["/a/{id", "/a/}", "/a/{name}", "/a/{zone}", "/{zone}{id}"] {
            assert!(Schema { key: key.into(), ..Schema::default() }.compile().is_err(), "{key}");
        }
    }

    proptest! {
        #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]

        /// Any key and value map either to a server with an address and a weight, or to an error.
        #[test]
        fn any_key_and_value_is_parsed_or_rejected(
            key in "(/spurdrum/servers/)?[a-z/]{0,8}",
            value in r#"\{("(address|weight|cell|phase|started_ms|id)":("127\.0\.0\.1:[0-9]{1,5}"|-?[0-9]{1,4}|null|"active"),?){0,4}\}?"#,
        ) {
            let schema = Schema::default().compile().expect("a valid schema");
            if let Ok(member) = schema.parse(key.as_bytes(), value.as_bytes()) {
                prop_assert!(member.size > 0.0 && member.host_port.port() > 0 && !member.id.is_empty());
            }
        }
    }
}
