//! Reads the configuration of a node: from the settings file that the command line names if it has `[node]`,
//! otherwise from the `GW_*` environment variables and the platform's JSON file that `GW_CONFIG` names.

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
use crate::list::ZonesAndKinds;

/// Reads the settings file that the command line names; without `[node]` in it, also the environment and the
/// platform's JSON file. The error names the invalid key.
pub fn read(settings_file: Option<&Path>) -> Result<Config, String> {
    let file = file::read(settings_file)?;
    if let Some(config) = file.node_config() {
        return Ok(config);
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
    let initial_list = List::deserialize(&json["known"]).map_err(|e| format!("`known`: {e}"))?;
    let facts = &json["settings"];
    if !facts.is_object() {
        return Err("`settings` is missing or no object".into());
    }
    let settings = spurdrum_facts::read_settings(facts).map_err(|e| format!("`settings`: {e}"))?;
    settings.validate().map_err(|e| format!("`settings`: {e}"))?;
    let zones_and_kinds = ZonesAndKinds { zones: names(facts, "zones")?, kinds: names(facts, "kinds")? };
    let names = ConfigNames { classes: names(facts, "classes")?, tenants: names(facts, "parties")? };
    check_classes(facts, &names)?;
    let allowed = &facts["allowed"];
    let mut follower_settings = file.follower_settings();
    (follower_settings.nodes, follower_settings.node_index) = (settings.nodes, settings.node_index);
    follower_settings.local_agent = settings.discovery == Discovery::Push;
    let max_interval_ms = settings.resubscribe_within_ms.clamp(100.0, 3_600_000.0);
    follower_settings.max_call_interval = Duration::from_secs_f64(max_interval_ms / 1000.0);
    if let Some(deadline) = agent_deadline(&facts["rules"])? {
        follower_settings.agent_deadline = deadline;
    }
    Ok(Config {
        name,
        listen,
        listen_key: "GW_LISTEN",
        admin_address: admin_address(&json["ops"])?,
        latencies: false,
        source: Source::Catalog(discovery),
        log: file.log(),
        seed: seed.ok_or("`seed` is missing or no hexadecimal number")?,
        limits: Limits {
            sockets: positive_integer(&json["limits"], "sockets")?,
            memory: memory_limit(&json["limits"])?,
        },
        connections: file.connections(),
        follower_settings,
        registry: None,
        initial_list,
        settings,
        names,
        zones_and_kinds,
        server_idle_timeout: millis(allowed, "conn_idle_ms")?,
        dial_timeout: millis(allowed, "dial_timeout_ms")?,
        max_pending: positive_integer(allowed, "most_held")?,
        platform_json: Arc::new(json),
        affinity: file.affinity(),
        trace: file.trace(),
    })
}

/// Returns the address of the admin endpoint and the key that gave it. `GW_OPS` takes precedence over the
/// JSON.
fn admin_address(json: &Value) -> Result<Option<(SocketAddr, &'static str)>, String> {
    match (std::env::var("GW_OPS"), json) {
        (Ok(text), _) if !text.is_empty() => Ok(Some((parse_address("GW_OPS", &text)?, "GW_OPS"))),
        (_, Value::Null) => Ok(None),
        (_, value) => Ok(Some((parse_address("ops", value.as_str().unwrap_or_default())?, "ops"))),
    }
}

/// Checks that a new configuration has every key that the accepted one has, under the same parent. The
/// elements of arrays are not compared, nor the list of servers under `known`: classes may differ in their
/// keys, since keyed ones have keys of their own, and [`check_classes`] checks what each class needs.
pub fn check_no_key_missing(accepted: &Value, new: &Value) -> Result<(), String> {
    fn check(accepted: &Value, new: &Value, path: &str) -> Result<(), String> {
        let Value::Object(keys) = accepted else { return Ok(()) };
        for (key, value) in keys {
            let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
            match new.get(key) {
                None | Some(Value::Null) if !value.is_null() => return Err(format!("`{path}` is missing")),
                Some(new) if path != "known" => check(value, new, &path)?,
                _ => {}
            }
        }
        Ok(())
    }
    check(accepted, new, "")
}

/// Checks that each class has the keys that it needs and that their names differ. A class whose keys were
/// lost would otherwise be served with defaults that nobody has configured.
fn check_classes(facts: &Value, names: &ConfigNames) -> Result<(), String> {
    for (index, class) in facts["classes"].as_array().into_iter().flatten().enumerate() {
        let mut required = vec!["name", "effect", "deadline_ms"];
        if class["effect"] == "dedup" {
            required.extend(["group", "dedup_window_ms"]);
        }
        if let Some(key) = required.into_iter().find(|key| class[*key].is_null()) {
            return Err(format!("`settings.classes[{index}].{key}` is missing"));
        }
        let name = &names.classes[index];
        if names.classes[..index].contains(name) {
            return Err(format!("`settings.classes`: two classes have the name {name}"));
        }
    }
    Ok(())
}

/// Returns the value of an environment variable.
fn variable(key: &str) -> Result<String, String> {
    std::env::var(key).map_err(|_| format!("`{key}` is missing or no text"))
}

/// Returns the address that an environment variable gives.
fn address(key: &str) -> Result<SocketAddr, String> {
    parse_address(key, &variable(key)?)
}

fn parse_address(key: &str, text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("`{key}={text}` is no address with a port"))
}

/// Returns the positive integer under a key.
fn positive_integer(from: &Value, key: &str) -> Result<usize, String> {
    let value = from[key].as_u64().and_then(|n| usize::try_from(n).ok()).filter(|n| *n > 0);
    value.ok_or_else(|| format!("`{key}` is missing or no whole number above 0"))
}

/// Returns the limit on memory in bytes. Without one (2^50 bytes), only the limit on file descriptors bounds
/// the memory of connections.
fn memory_limit(limits: &Value) -> Result<u64, String> {
    match &limits["memory_mb"] {
        Value::Null => Ok(1 << 50),
        _ => positive_integer(limits, "memory_mb").map(|mb| (mb as u64).saturating_mul(1 << 20).min(1 << 50)),
    }
}

/// Returns the positive duration that a key gives in milliseconds.
fn millis(from: &Value, key: &str) -> Result<Duration, String> {
    let value = from[key].as_f64().filter(|ms| *ms > 0.0);
    let value = value.and_then(|ms| Duration::try_from_secs_f64(ms / 1000.0).ok());
    value.ok_or_else(|| format!("`{key}` is missing or no time above 0"))
}

/// Returns how soon after a notification the node must apply a change of the list; `None` if the rules do not
/// say.
fn agent_deadline(rules: &Value) -> Result<Option<Duration>, String> {
    // The bounds limit how often the local agent is called.
    let clamped = |ms: f64| Duration::from_secs_f64(ms.clamp(10.0, 60_000.0) / 1000.0);
    match &rules["drain_grace_ms"] {
        Value::Null => Ok(None),
        value => match value.as_f64().filter(|ms| *ms >= 0.0) {
            Some(ms) => Ok(Some(clamped(ms))),
            None => Err("`settings`: `drain_grace_ms` is no time".into()),
        },
    }
}

/// Returns the names under a key: an array of strings, or of objects with a `name`. Without the key there are
/// none.
fn names(facts: &Value, key: &str) -> Result<Vec<String>, String> {
    let list = match &facts[key] {
        Value::Null => return Ok(Vec::new()),
        value => value.as_array().ok_or_else(|| format!("`{key}` is no list"))?,
    };
    let name = |v: &Value| v.as_str().or(v["name"].as_str()).map(str::to_owned);
    let all_names: Option<Vec<String>> = list.iter().map(name).collect();
    all_names.ok_or_else(|| format!("`{key}` has an entry with no name"))
}
