//! Keys and values of a registry, as servers.
//!
//! A pattern says what the parts of a key are, and pointers (RFC 6901) where a JSON value has the rest:
//!
//! ```
//! use spurdrum_sources::registry::schema::{Schema, ValueFormat};
//!
//! let schema = Schema { key: "/sites/{zone}/{id}".into(), value: ValueFormat::Address, ..Schema::default() };
//! let schema = schema.compile().expect("sound");
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

/// Parts that a key or a value may tell.
const PARTS: [&str; 9] = ["id", "address", "port", "zone", "kind", "cell", "weight", "phase", "started_ms"];
/// A name of a server, zone or kind has this many bytes at most.
const NAME_MOST: usize = 255;
/// Keys that hold no server, and are told of, at most; more are counted.
const FAULTS_MOST: usize = 1000;

/// What form values have.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ValueFormat {
    /// A JSON object.
    #[default]
    Json,
    /// An address with a port, and nothing else.
    Address,
    /// Nothing that is read: the key tells all.
    None,
}

/// How keys and values map to servers.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Schema {
    /// A pattern for keys: text, and parts in braces, each up to the text behind it.
    pub key: String,
    /// What form values have.
    pub value: ValueFormat,
    /// Where a JSON value tells a part, as RFC 6901 has it.
    pub fields: BTreeMap<String, String>,
}

impl Default for Schema {
    fn default() -> Self {
        let fields = PARTS.map(|part| (part.to_owned(), format!("/{part}")));
        Self { key: "/spurdrum/servers/{id}".into(), value: ValueFormat::Json, fields: fields.into() }
    }
}

impl Schema {
    /// The layout of what [`super::consul`] makes of a service's instances.
    pub fn consul() -> Self {
        let of_meta = ["zone", "kind", "cell", "started_ms"].map(|part| (part, format!("/meta/{part}")));
        let own = ["address", "port", "weight", "phase"].map(|part| (part, format!("/{part}")));
        let fields = of_meta.into_iter().chain(own).map(|(part, at)| (part.to_owned(), at));
        Self { key: "{id}".into(), value: ValueFormat::Json, fields: fields.collect() }
    }

    /// Checks it, and makes it ready.
    ///
    /// # Errors
    ///
    /// The key that makes no sense, and why.
    pub fn compile(&self) -> Result<CompiledSchema, (&'static str, &'static str)> {
        let pieces = pieces(&self.key).ok_or(("key", "has a brace without its other, or an unknown part"))?;
        let has = |name: &str| pieces.iter().any(|piece| matches!(piece, Piece::Part(part) if *part == name));
        let two = pieces.windows(2).any(|pair| matches!(pair, [Piece::Part(_), Piece::Part(_)]));
        if two {
            return Err(("key", "has two parts with nothing between them"));
        }
        if !has("id") && !has("address") {
            return Err(("key", "has neither {id} nor {address}: servers would have no names"));
        }
        if self.value == ValueFormat::None && !has("address") {
            return Err(("value", "is none, and the key has no {address}"));
        }
        let known = self.fields.keys().all(|part| PARTS.contains(&part.as_str()));
        if !known {
            return Err(("fields", "names an unknown part"));
        }
        if !self.fields.values().all(|at| at.is_empty() || at.starts_with('/')) {
            return Err(("fields", "has a pointer that does not begin with /"));
        }
        if self.value == ValueFormat::Json && !has("address") && !self.fields.contains_key("address") {
            return Err(("fields", "has no address"));
        }
        Ok(CompiledSchema { pieces, value: self.value, fields: self.fields.clone() })
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Piece {
    Text(String),
    Part(&'static str),
}

fn pieces(pattern: &str) -> Option<Vec<Piece>> {
    let mut pieces = Vec::new();
    let mut rest = pattern;
    while !rest.is_empty() {
        match rest.find(['{', '}']) {
            None => {
                pieces.push(Piece::Text(rest.to_owned()));
                break;
            }
            Some(0) => {
                let (name, behind) = rest.strip_prefix('{')?.split_once('}')?;
                pieces.push(Piece::Part(PARTS.into_iter().find(|part| *part == name)?));
                rest = behind;
            }
            Some(at) => {
                pieces.push(Piece::Text(rest[..at].to_owned()));
                rest = &rest[at..];
            }
        }
    }
    Some(pieces)
}

/// A schema that is ready.
#[derive(Clone, Debug)]
pub struct CompiledSchema {
    pieces: Vec<Piece>,
    value: ValueFormat,
    fields: BTreeMap<String, String>,
}

/// Why a key holds no server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryError {
    /// The key has not the pattern's form.
    KeyMismatch,
    /// The value has so many bytes, more than may be held.
    TooLong(usize),
    /// The value is no JSON object, or no address.
    InvalidValue,
    /// This part is missing, of another type or out of range.
    InvalidField(&'static str),
    /// Another key has a server of the same name.
    DuplicateServer(String),
}

impl fmt::Display for EntryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::KeyMismatch => f.write_str("the key has not the form of the pattern"),
            Self::TooLong(bytes) => write!(f, "the value has {bytes} bytes"),
            Self::InvalidValue => f.write_str("the value has another form"),
            Self::InvalidField(part) => write!(f, "`{part}` is missing, of another type or out of range"),
            Self::DuplicateServer(id) => write!(f, "the server {id} has another key"),
        }
    }
}

impl CompiledSchema {
    /// What all keys begin with.
    pub fn prefix(&self) -> &str {
        match self.pieces.first() {
            Some(Piece::Text(text)) => text,
            _ => "",
        }
    }

    /// The server that a key and its value are.
    ///
    /// # Errors
    ///
    /// Why they are none.
    pub fn parse(&self, key: &[u8], value: &[u8]) -> Result<Member, EntryError> {
        let key = std::str::from_utf8(key).map_err(|_| EntryError::KeyMismatch)?;
        let of_key = self.parts(key).ok_or(EntryError::KeyMismatch)?;
        let json = match self.value {
            ValueFormat::Json => {
                serde_json::from_slice(value).ok().filter(Json::is_object).ok_or(EntryError::InvalidValue)?
            }
            ValueFormat::Address | ValueFormat::None => Json::Null,
        };
        let part = |name: &str| -> Option<Json> {
            if let Some(text) = of_key.get(name) {
                return Some(Json::String((*text).to_owned()));
            }
            self.fields.get(name).and_then(|at| json.pointer(at)).filter(|found| !found.is_null()).cloned()
        };
        let name = |part_name: &'static str| match part(part_name) {
            None => Ok(String::new()),
            Some(Json::String(text)) if text.len() <= NAME_MOST => Ok(text),
            Some(Json::Number(number)) => Ok(number.to_string()),
            Some(_) => Err(EntryError::InvalidField(part_name)),
        };
        let number = |part_name: &'static str, default: f64| match part(part_name) {
            None => Ok(default),
            Some(found) => {
                let read = found.as_f64().or_else(|| found.as_str()?.parse().ok());
                read.filter(|number: &f64| number.is_finite()).ok_or(EntryError::InvalidField(part_name))
            }
        };
        let address = match self.value {
            ValueFormat::Address => {
                std::str::from_utf8(value).map_err(|_| EntryError::InvalidValue)?.trim().to_owned()
            }
            _ => name("address")?,
        };
        let address = address
            .parse()
            .ok()
            .or_else(|| {
                let port = part("port")?;
                let port = port.as_u64().or_else(|| port.as_str()?.parse().ok())?;
                Some(SocketAddr::new(address.parse::<IpAddr>().ok()?, u16::try_from(port).ok()?))
            })
            .filter(|address| address.port() != 0 && !address.ip().is_unspecified())
            .ok_or(EntryError::InvalidField("address"))?;
        let id = match name("id")? {
            none if none.is_empty() => address.to_string(),
            id => id,
        };
        let phase = match name("phase")?.as_str() {
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
            locality: name("zone")?,
            flavor: name("kind")?,
            cell: cell as usize,
            phase,
            size: weight,
            up_since_ms,
        })
    }

    /// The parts that a key tells.
    fn parts<'k>(&self, key: &'k str) -> Option<HashMap<&'static str, &'k str>> {
        let mut parts = HashMap::new();
        let mut rest = key;
        let mut pieces = self.pieces.iter().peekable();
        while let Some(piece) = pieces.next() {
            match piece {
                Piece::Text(text) => rest = rest.strip_prefix(text.as_str())?,
                Piece::Part(part) => {
                    let end = match pieces.peek() {
                        Some(Piece::Text(text)) => rest.find(text.as_str())?,
                        _ => rest.len(),
                    };
                    let found = &rest[..end];
                    if found.is_empty() || found.len() > NAME_MOST || found.contains('/') {
                        return None;
                    }
                    parts.insert(*part, found);
                    rest = &rest[end..];
                }
            }
        }
        rest.is_empty().then_some(parts)
    }
}

/// Servers that have come, changed or gone, and what could not be read.
#[derive(Debug, Default)]
pub struct ServerChanges {
    /// As they are now; one that cannot be read any more is leaving.
    pub updated: Vec<Member>,
    /// Their names.
    pub gone: Vec<String>,
    /// Each key that holds no server, once.
    pub errors: Vec<(String, EntryError)>,
}

/// Maps changes of keys to changes of servers.
#[derive(Debug)]
pub struct Mapper {
    schema: CompiledSchema,
    /// The server of each key.
    servers: HashMap<Vec<u8>, Member>,
    /// The key of each server.
    keys: HashMap<String, Vec<u8>>,
    /// Keys that hold none, as they were told of.
    faults: HashMap<Vec<u8>, EntryError>,
    /// Servers that already had another key, for when that goes.
    waiting: BTreeMap<Vec<u8>, Member>,
}

impl Mapper {
    /// A mapper that knows no key.
    pub fn new(schema: CompiledSchema) -> Self {
        Self {
            schema,
            servers: HashMap::new(),
            keys: HashMap::new(),
            faults: HashMap::new(),
            waiting: BTreeMap::new(),
        }
    }

    /// Keys that hold no server now.
    pub fn invalid_keys(&self) -> usize {
        self.faults.len()
    }

    /// Maps a change. Its keys are mapped alone: one that cannot be read takes nothing else with it.
    pub fn map(&mut self, change: &Change) -> ServerChanges {
        let mut mapped = ServerChanges::default();
        // Keys that go first: a server may stand under another key by now.
        for key in &change.deleted {
            self.faults.remove(key);
            self.waiting.remove(key);
            if let Some(member) = self.servers.remove(key) {
                self.keys.remove(&member.id);
                mapped.gone.push(member.id);
            }
        }
        for entry in &change.put {
            let read = match &entry.value {
                Value::Whole(value) => self.schema.parse(&entry.key, value),
                Value::TooLong(bytes) => Err(EntryError::TooLong(*bytes)),
            };
            self.waiting.remove(&entry.key);
            match read {
                Ok(member) => self.put(&entry.key, member, &mut mapped),
                Err(fault) => self.fault(&entry.key, fault, &mut mapped),
            }
        }
        let free: Vec<Vec<u8>> = (self.waiting.iter())
            .filter(|(_, member)| !self.keys.contains_key(&member.id))
            .map(|(key, _)| key.clone())
            .collect();
        for key in free {
            if let Some(member) = self.waiting.remove(&key) {
                self.put(&key, member, &mut mapped);
            }
        }
        // A server that went under one key and came under another has not gone.
        mapped.gone.retain(|id| !self.keys.contains_key(id));
        mapped
    }

    fn put(&mut self, key: &[u8], member: Member, mapped: &mut ServerChanges) {
        if self.keys.get(&member.id).is_some_and(|other| other != key) {
            let fault = EntryError::DuplicateServer(member.id.clone());
            if self.waiting.len() < FAULTS_MOST {
                self.waiting.insert(key.to_owned(), member);
            }
            return self.fault(key, fault, mapped);
        }
        self.faults.remove(key);
        let before = self.servers.insert(key.to_owned(), member.clone());
        // The value may name another server than before.
        if let Some(before) = before.filter(|before| before.id != member.id) {
            self.keys.remove(&before.id);
            mapped.gone.push(before.id);
        }
        self.keys.insert(member.id.clone(), key.to_owned());
        mapped.updated.push(member);
    }

    fn fault(&mut self, key: &[u8], fault: EntryError, mapped: &mut ServerChanges) {
        // What it does now nobody can tell: it keeps what it has, and gets nothing new.
        if let Some(member) = self.servers.get_mut(key) {
            member.phase = Phase::Leaving;
            mapped.updated.push(member.clone());
        }
        let told = self.faults.get(key) == Some(&fault);
        if !told && (self.faults.contains_key(key) || self.faults.len() < FAULTS_MOST) {
            self.faults.insert(key.to_owned(), fault.clone());
            let shown = String::from_utf8_lossy(&key[..key.len().min(NAME_MOST)]).into_owned();
            mapped.errors.push((shown, fault));
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
    fn a_value_that_cannot_be_read_holds_back_its_server_alone_and_is_told_once() {
        let mut mapper = Mapper::new(Schema::default().compile().expect("sound"));
        let (a, b) = ("/spurdrum/servers/a", "/spurdrum/servers/b");
        let good = r#"{"address":"127.0.0.1:1","zone":"n","weight":2}"#;
        let mapped = mapper.map(&change(vec![put(a, good), put(b, "{")], &[]));
        assert_eq!((mapped.updated.len(), mapped.updated[0].size), (1, 2.0));
        assert_eq!(mapped.errors, [(b.to_owned(), EntryError::InvalidValue)]);
        assert!(mapper.map(&change(vec![put(b, "{")], &[])).errors.is_empty());
        // One that was known keeps what it has.
        let mapped = mapper.map(&change(vec![put(a, r#"{"address":"nowhere"}"#)], &[]));
        assert_eq!((mapped.updated[0].id.as_str(), mapped.updated[0].phase), ("a", Phase::Leaving));
        assert_eq!(mapped.errors[0].1, EntryError::InvalidField("address"));
        let mapped = mapper.map(&change(vec![put(a, good)], &[]));
        assert_eq!(mapped.updated[0].phase, Phase::Active);
        assert_eq!(mapper.map(&change(Vec::new(), &[a, b])).gone, ["a"]);
        assert_eq!(mapper.invalid_keys(), 0);
    }

    #[test]
    fn a_server_that_moves_to_another_key_has_not_gone() {
        let schema = Schema { key: "/{zone}/{id}".into(), ..Schema::default() };
        let mut mapper = Mapper::new(schema.compile().expect("sound"));
        let at = r#"{"address":"127.0.0.1:1"}"#;
        mapper.map(&change(vec![put("/n/a", at)], &[]));
        let twice = mapper.map(&change(vec![put("/s/a", at)], &[]));
        assert_eq!(twice.errors, [("/s/a".to_owned(), EntryError::DuplicateServer("a".into()))]);
        let moved = mapper.map(&change(Vec::new(), &["/n/a"]));
        assert!(moved.gone.is_empty(), "{moved:?}");
        assert_eq!(moved.updated[0].locality, "s");
    }

    #[test]
    fn patterns_without_sense_are_refused() {
        for key in ["/a/{id", "/a/}", "/a/{name}", "/a/{zone}", "/{zone}{id}"] {
            assert!(Schema { key: key.into(), ..Schema::default() }.compile().is_err(), "{key}");
        }
    }

    proptest! {
        #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]

        /// Whatever stands there, it is a server with an address and a weight, or a fault.
        #[test]
        fn any_key_and_value_is_read_or_refused(
            key in "(/spurdrum/servers/)?[a-z/]{0,8}",
            value in r#"\{("(address|weight|cell|phase|started_ms|id)":("127\.0\.0\.1:[0-9]{1,5}"|-?[0-9]{1,4}|null|"active"),?){0,4}\}?"#,
        ) {
            let schema = Schema::default().compile().expect("sound");
            if let Ok(member) = schema.parse(key.as_bytes(), value.as_bytes()) {
                prop_assert!(member.size > 0.0 && member.host_port.port() > 0 && !member.id.is_empty());
            }
        }
    }
}
