//! The figures as operators' tools read them.

use serde_json::{json, Map, Value};
use spurdrum_core::NodeMetrics;

/// What is shown of the servers beside the figures that are counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerCounts {
    /// Servers in the list.
    pub listed: usize,
    /// Those of them that the decisions avoid now.
    pub down: usize,
}

/// The figures in one line, then a line `END`.
#[must_use]
pub fn telemetry(figures: &NodeMetrics, servers: ServerCounts) -> String {
    let calls: Map<String, Value> = figures
        .classes()
        .into_iter()
        .map(|(class, c)| (class, json!({"success": c.success, "busy": c.busy, "failure": c.failure})))
        .collect();
    let shown = json!({
        "calls": calls,
        "inflight": figures.inflight(),
        "backend_calls": figures.attempts(),
        "hosts_listed": servers.listed,
        "hosts_down": servers.down,
        "reconfig_ok": figures.reconfig_ok(),
        "reconfig_failed": figures.reconfig_failed(),
    });
    format!("{shown}\nEND\n")
}

/// How long answers took, by class, in one line, then a line `END`; none where that is not kept. Of each class pairs of an upper
/// bound in microseconds and how many were at most that long and longer than the bound before.
#[must_use]
pub fn latencies(figures: &NodeMetrics) -> Option<String> {
    let shown = figures.latencies()?;
    Some(format!("{}\nEND\n", json!(shown.into_iter().collect::<std::collections::BTreeMap<_, _>>())))
}
