//! Reads what a node is told: by `[node]` and its like in the file that the command line names, or else by the `GW_*`
//! variables and the JSON that one of them names.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;
use spurdrum_admission::Limits;
use spurdrum_http::ConfigNames;
use spurdrum_policy::Discovery;
use spurdrum_sources::List;

use crate::config::{Config, Source};
use crate::file;
use crate::list::Places;

/// Reads the file that the command line names; without `[node]` in it, also the environment and the file that that names.
/// The error names the key at fault.
pub fn read(more: Option<&Path>) -> Result<Config, String> {
    let file = file::read(more)?;
    if let Some(alone) = file.alone() {
        return Ok(alone);
    }
    let name = variable("GW_NAME")?;
    let listen = address("GW_LISTEN")?;
    let path = variable("GW_CONFIG")?;
    let text = std::fs::read_to_string(&path).map_err(|e| format!("`GW_CONFIG`: cannot read {path}: {e}"))?;
    let json: Value =
        serde_json::from_str(&text).map_err(|e| format!("`GW_CONFIG`: {path} is no JSON: {e}"))?;
    let discovery = match &json["discovery"] {
        Value::Null => address("GW_DISCOVERY")?,
        value => parse_address("discovery", value.as_str().unwrap_or_default())?,
    };
    let seed = json["seed"].as_str().and_then(|s| u64::from_str_radix(s, 16).ok());
    let known = List::deserialize(&json["known"]).map_err(|e| format!("`known`: {e}"))?;
    let facts = &json["settings"];
    if !facts.is_object() {
        return Err("`settings` is missing or no object".into());
    }
    let settings = spurdrum_facts::read_settings(facts).map_err(|e| format!("`settings`: {e}"))?;
    settings.validate().map_err(|e| format!("`settings`: {e}"))?;
    let places = Places { zones: names(facts, "zones")?, kinds: names(facts, "kinds")? };
    let names = ConfigNames { classes: names(facts, "classes")?, tenants: names(facts, "parties")? };
    check_classes(facts, &names)?;
    let allowed = &facts["allowed"];
    let mut following = file.following();
    (following.nodes, following.node_index) = (settings.nodes, settings.node_index);
    following.local_agent = settings.discovery == Discovery::Push;
    let asked = settings.resubscribe_within_ms.clamp(100.0, 3_600_000.0);
    following.max_call_interval = Duration::from_secs_f64(asked / 1000.0);
    if let Some(grace) = grace(&facts["rules"])? {
        following.agent_deadline = grace;
    }
    Ok(Config {
        name,
        listen,
        listen_key: "GW_LISTEN",
        ops: ops(&json["ops"])?,
        latencies: false,
        source: Source::Catalog(discovery),
        log: file.log(),
        seed: seed.ok_or("`seed` is missing or no hexadecimal number")?,
        limits: Limits { sockets: whole(&json["limits"], "sockets")?, memory: memory(&json["limits"])? },
        connections: file.connections(),
        following,
        registry: None,
        known,
        settings,
        names,
        places,
        conn_idle: millis(allowed, "conn_idle_ms")?,
        dial_timeout: millis(allowed, "dial_timeout_ms")?,
        most_held: whole(allowed, "most_held")?,
        told: Arc::new(json),
        affinity: file.affinity(),
        trace: file.trace(),
    })
}

/// Where operators call: the variable counts over the file.
fn ops(said: &Value) -> Result<Option<(SocketAddr, &'static str)>, String> {
    match (std::env::var("GW_OPS"), said) {
        (Ok(text), _) if !text.is_empty() => Ok(Some((parse_address("GW_OPS", &text)?, "GW_OPS"))),
        (_, Value::Null) => Ok(None),
        (_, value) => Ok(Some((parse_address("ops", value.as_str().unwrap_or_default())?, "ops"))),
    }
}

/// Whether a new configuration has every key that the accepted one has, at the same place. Lists of servers are not looked
/// into; of classes only what every class needs: keyed ones have keys of their own.
pub fn lacks_nothing(accepted: &Value, new: &Value) -> Result<(), String> {
    fn look(accepted: &Value, new: &Value, path: &str) -> Result<(), String> {
        let Value::Object(keys) = accepted else { return Ok(()) };
        for (key, value) in keys {
            let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
            match new.get(key) {
                None | Some(Value::Null) if !value.is_null() => return Err(format!("`{path}` is missing")),
                Some(new) if path != "known" => look(value, new, &path)?,
                _ => {}
            }
        }
        Ok(())
    }
    look(accepted, new, "")
}

/// Guards against a class that some keys of are lost, which would have rules that nobody wrote.
fn check_classes(facts: &Value, names: &ConfigNames) -> Result<(), String> {
    for (at, class) in facts["classes"].as_array().into_iter().flatten().enumerate() {
        let mut needed = vec!["name", "effect", "deadline_ms"];
        if class["effect"] == "dedup" {
            needed.extend(["group", "dedup_window_ms"]);
        }
        if let Some(key) = needed.into_iter().find(|key| class[*key].is_null()) {
            return Err(format!("`settings.classes[{at}].{key}` is missing"));
        }
        let name = &names.classes[at];
        if names.classes[..at].contains(name) {
            return Err(format!("`settings.classes`: two classes have the name {name}"));
        }
    }
    Ok(())
}

fn variable(key: &str) -> Result<String, String> {
    std::env::var(key).map_err(|_| format!("`{key}` is missing or no text"))
}

fn address(key: &str) -> Result<SocketAddr, String> {
    parse_address(key, &variable(key)?)
}

fn parse_address(key: &str, text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("`{key}={text}` is no address with a port"))
}

fn whole(from: &Value, key: &str) -> Result<usize, String> {
    let value = from[key].as_u64().and_then(|n| usize::try_from(n).ok()).filter(|n| *n > 0);
    value.ok_or_else(|| format!("`{key}` is missing or no whole number above 0"))
}

/// The limit on memory in bytes; where there is none, descriptors alone bound what connections hold.
fn memory(limits: &Value) -> Result<u64, String> {
    match &limits["memory_mb"] {
        Value::Null => Ok(1 << 50),
        _ => whole(limits, "memory_mb").map(|mb| (mb as u64).saturating_mul(1 << 20).min(1 << 50)),
    }
}

fn millis(from: &Value, key: &str) -> Result<Duration, String> {
    let value = from[key].as_f64().filter(|ms| *ms > 0.0);
    let value = value.and_then(|ms| Duration::try_from_secs_f64(ms / 1000.0).ok());
    value.ok_or_else(|| format!("`{key}` is missing or no time above 0"))
}

/// How soon after it was told a node must heed a change of the list; nothing where the rules do not say.
fn grace(rules: &Value) -> Result<Option<Duration>, String> {
    // Beyond these it is asked no more and no less often.
    let within = |ms: f64| Duration::from_secs_f64(ms.clamp(10.0, 60_000.0) / 1000.0);
    match &rules["drain_grace_ms"] {
        Value::Null => Ok(None),
        value => match value.as_f64().filter(|ms| *ms >= 0.0) {
            Some(ms) => Ok(Some(within(ms))),
            None => Err("`settings`: `drain_grace_ms` is no time".into()),
        },
    }
}

/// The names under a key: a list of texts, or of objects that have one; no list means none.
fn names(facts: &Value, key: &str) -> Result<Vec<String>, String> {
    let list = match &facts[key] {
        Value::Null => return Ok(Vec::new()),
        value => value.as_array().ok_or_else(|| format!("`{key}` is no list"))?,
    };
    let name = |v: &Value| v.as_str().or(v["name"].as_str()).map(str::to_owned);
    let named: Option<Vec<String>> = list.iter().map(name).collect();
    named.ok_or_else(|| format!("`{key}` has an entry with no name"))
}
