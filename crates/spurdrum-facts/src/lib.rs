//! Reads the platform's settings from JSON and hashes server names, in the same way wherever they come from.
//! Module [`mod@file`] has what all files of settings share.

pub mod file;

use std::fmt;

use serde_json::Value;
use spurdrum_policy::*;

/// A setting whose value has a wrong type, or that is missing and has no default.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingTypeError(String);

impl fmt::Display for SettingTypeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for SettingTypeError {}

fn type_error<T>(text: impl Into<String>) -> Result<T, SettingTypeError> {
    Err(SettingTypeError(text.into()))
}

/// Returns the FNV-1a hash of a server's name. It is the same in all builds and at all nodes, which a
/// library's default hash is not.
#[must_use]
pub fn name_hash(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

/// Returns the text with line breaks replaced by spaces.
#[must_use]
pub fn one_line(text: &str) -> String {
    text.replace(['\n', '\r'], " ")
}

/// Reads the settings that the platform gives a node at its start. A missing key keeps its default.
///
/// # Errors
///
/// A key has a value of a wrong type, or a class has no deadline.
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
    let (mut retry_after, mut max_retry_after_ms) = (false, f64::MAX);
    read_flag(allowed, "retry_after", &mut retry_after)?;
    read(allowed, "max_retry_after_ms", &mut max_retry_after_ms)?;
    settings.max_retry_after_ms = retry_after.then_some(max_retry_after_ms);
    read_flag(allowed, "probes", &mut settings.probes)?;
    read_flag(allowed, "peers", &mut settings.peers)?;
    settings.responses_carry_load = facts["stats"]["source"] == "inline";
    read(&facts["prices"], "probe", &mut settings.probe_price)?;
    read(&facts["prices"], "waste", &mut settings.waste_price)?;
    read(&facts["prices"], "cross_zone", &mut settings.cross_zone_price)?;
    Ok(settings)
}

fn read_class(class: &Value) -> Result<Class, SettingTypeError> {
    // The deadline, how long the clients of a class wait, is required: no default would fit every class.
    let (mut objective, mut deadline, mut window) = (f64::NAN, f64::NAN, 0.0);
    read(class, "deadline_ms", &mut deadline)?;
    if deadline.is_nan() {
        return type_error("`facts`: a class has no `deadline_ms`");
    }
    read(class, "promise_ms", &mut objective)?;
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
        // An unknown effect is treated as the strictest one.
        _ => Effect::Unsafe,
    };
    let mut parsed = Class::new(if objective.is_nan() { deadline } else { objective }, deadline, effect);
    read(class, "worth", &mut parsed.value)?;
    read(class, "late_worth", &mut parsed.late_value)?;
    Ok(parsed)
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
        value => value.as_bool().map(|x| *to = x).map_or_else(|| mistyped(key, "boolean"), Ok),
    }
}

fn mistyped(key: &str, expected: &str) -> Result<(), SettingTypeError> {
    type_error(format!("`facts`: `{key}` is not a {expected}"))
}
