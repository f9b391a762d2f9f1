//! The node's metrics in the form that operators' tools read.

use serde_json::{json, Map, Value};
use spurdrum_core::NodeMetrics;

/// The counts of servers, which are shown together with the metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerCounts {
    /// The number of servers in the list.
    pub listed: usize,
    /// The number of listed servers that the balancer currently avoids.
    pub down: usize,
}

/// Returns the metrics as one line of JSON, followed by a line `END`.
#[must_use]
pub fn telemetry(metrics: &NodeMetrics, servers: ServerCounts) -> String {
    let calls: Map<String, Value> = metrics
        .classes()
        .into_iter()
        .map(|(class, counts)| {
            (class, json!({"success": counts.success, "busy": counts.busy, "failure": counts.failure}))
        })
        .collect();
    let telemetry = json!({
        "calls": calls,
        "inflight": metrics.inflight(),
        "backend_calls": metrics.attempts(),
        "hosts_listed": servers.listed,
        "hosts_down": servers.down,
        "reconfig_ok": metrics.reconfig_ok(),
        "reconfig_failed": metrics.reconfig_failed(),
    });
    format!("{telemetry}\nEND\n")
}

/// Returns the latency histograms by class as one line of JSON, followed by a line `END`; `None` if the node
/// does not record them. A histogram is a list of buckets, each a pair of its upper bound in microseconds and
/// the number of answers that took at most that long and longer than the previous bound.
#[must_use]
pub fn latencies(metrics: &NodeMetrics) -> Option<String> {
    let histograms = metrics.latencies()?;
    Some(format!("{}\nEND\n", json!(histograms.into_iter().collect::<std::collections::BTreeMap<_, _>>())))
}
