//! What the platform states in JSON and text, read the same way wherever it comes from: the settings of a start, and
//! the names of servers. And what all files of settings share.

pub mod file;

use std::fmt;

use serde_json::Value;
use spurdrum_policy::*;

/// A key has a value of a wrong type, or one that means nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingTypeError(String);

impl fmt::Display for SettingTypeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for SettingTypeError {}

fn wrong<T>(text: impl Into<String>) -> Result<T, SettingTypeError> {
    Err(SettingTypeError(text.into()))
}

/// FNV-1a of a server's name: stable over builds and nodes, which a library's default hash is not.
#[must_use]
pub fn name_hash(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

/// Text without line breaks.
#[must_use]
pub fn one_line(text: &str) -> String {
    text.replace(['\n', '\r'], " ")
}

/// The settings of a start; a key that is missing keeps its default.
///
/// # Errors
///
/// A key is of a wrong type.
pub fn read_settings(facts: &Value) -> Result<Settings, SettingTypeError> {
    let class_list = facts["classes"].as_array().map_or(&[][..], Vec::as_slice);
    let classes = class_list.iter().map(read_class).collect::<Result<Vec<_>, _>>()?;
    let mut settings = Settings::new(classes);
    let parties = facts["parties"].as_array().map_or(&[][..], Vec::as_slice);
    for party in parties {
        let mut quota = f64::MAX;
        read(party, "quota_per_s", &mut quota)?;
        settings.quotas_per_s.push(quota);
    }
    read(facts, "over_share_worth", &mut settings.over_quota_value)?;
    read_index(facts, "n_instances", &mut settings.nodes)?;
    read_index(facts, "me", &mut settings.node_index)?;
    read_index(facts, "az", &mut settings.zone)?;
    settings.kinds = facts["kinds"].as_array().map_or(1, |k| k.len().max(1));
    if facts["discovery"] == "subscribe" {
        settings.discovery = Discovery::Subscribe;
    }
    settings.weights = match facts["weights"].as_str() {
        Some("nominal" | "rough") => Weights::Size,
        Some("live") => Weights::Live,
        _ => Weights::None,
    };
    let rules = &facts["rules"];
    read(rules, "ask_within_ms", &mut settings.resubscribe_within_ms)?;
    read(rules, "cold_from", &mut settings.slow_start_min_capacity)?;
    read(rules, "cold_ms", &mut settings.slow_start_ms)?;
    read(rules, "tip_multiple", &mut settings.collapse_multiple)?;
    read(rules, "tip_after_ms", &mut settings.collapse_after_ms)?;
    let allowed = &facts["allowed"];
    read_index(allowed, "max_attempts", &mut settings.max_attempts)?;
    read_flag(allowed, "second_copies", &mut settings.hedging)?;
    read_flag(allowed, "cancel", &mut settings.cancel)?;
    let (mut told, mut most) = (false, f64::MAX);
    read_flag(allowed, "retry_after", &mut told)?;
    read(allowed, "max_retry_after_ms", &mut most)?;
    settings.max_retry_after_ms = told.then_some(most);
    read_flag(allowed, "probes", &mut settings.probes)?;
    read_flag(allowed, "peers", &mut settings.peers)?;
    settings.responses_carry_load = facts["stats"]["source"] == "inline";
    read(&facts["prices"], "probe", &mut settings.probe_price)?;
    read(&facts["prices"], "waste", &mut settings.waste_price)?;
    read(&facts["prices"], "cross_zone", &mut settings.cross_zone_price)?;
    Ok(settings)
}

fn read_class(class: &Value) -> Result<Class, SettingTypeError> {
    // A class must say how long its clients wait; nothing can be guessed in its place.
    let (mut aim, mut deadline, mut window) = (f64::NAN, f64::NAN, 0.0);
    read(class, "deadline_ms", &mut deadline)?;
    if deadline.is_nan() {
        return wrong("`facts`: a class has no `deadline_ms`");
    }
    read(class, "promise_ms", &mut aim)?;
    read(class, "dedup_window_ms", &mut window)?;
    let effect = match class["effect"].as_str() {
        Some("retryable") => Effect::Safe,
        Some("dedup") => {
            let group = match class["group"].as_str() {
                Some("all") => Group::All,
                Some("zone") => Group::Zone,
                _ => Group::Cell,
            };
            Effect::Keyed { group, window_ms: window }
        }
        // An effect that is not known is treated as the one that allows least.
        _ => Effect::Unsafe,
    };
    let mut read_class = Class::new(if aim.is_nan() { deadline } else { aim }, deadline, effect);
    read(class, "worth", &mut read_class.value)?;
    read(class, "late_worth", &mut read_class.late_value)?;
    Ok(read_class)
}

fn read(from: &Value, key: &str, to: &mut f64) -> Result<(), SettingTypeError> {
    match &from[key] {
        Value::Null => Ok(()),
        value => value.as_f64().map(|x| *to = x).map_or_else(|| mistyped(key, "number"), Ok),
    }
}

fn read_index(from: &Value, key: &str, to: &mut usize) -> Result<(), SettingTypeError> {
    match &from[key] {
        Value::Null => Ok(()),
        value => value.as_u64().map(|x| *to = x as usize).map_or_else(|| mistyped(key, "whole number"), Ok),
    }
}

fn read_flag(from: &Value, key: &str, to: &mut bool) -> Result<(), SettingTypeError> {
    match &from[key] {
        Value::Null => Ok(()),
        value => value.as_bool().map(|x| *to = x).map_or_else(|| mistyped(key, "yes or no"), Ok),
    }
}

fn mistyped(key: &str, what: &str) -> Result<(), SettingTypeError> {
    wrong(format!("`facts`: `{key}` is no {what}"))
}
