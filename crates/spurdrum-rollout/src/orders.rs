//! The protocol between a rollout controller and the supervisors: one line of JSON as the request, one as the answer.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::version::{Change, Version};

/// Maximum length in bytes of a request or answer line.
pub const MAX_LINE_BYTES: usize = 64 * 1024;

/// Identifies a rollout controller. A supervisor obeys the highest generation that has claimed it. Two
/// controllers that chose the same number are ordered by the second field.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Generation {
    /// Higher than every number that supervisors reported when the controller started.
    pub number: u64,
    /// Random identifier of the controller.
    #[serde(rename = "conductor")]
    pub controller: u64,
}

/// A request of a rollout controller to a supervisor.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SupervisorRequest {
    /// Report the status, change nothing.
    #[serde(rename = "ask")]
    GetStatus,
    /// From now on, accept steps of this generation only.
    Claim(Generation),
    /// Execute one step. A request that is sent again has the same step number and is executed once.
    #[serde(rename = "do")]
    ExecuteStep {
        /// The generation of the sender.
        generation: Generation,
        /// The number of the step within this generation.
        step: u64,
        /// The version to run, and how to apply it.
        change: Change,
        /// Whether the step rolls a change back.
        back: bool,
    },
    /// Record the running version as good: the supervisor falls back to it on its own when a later version keeps
    /// crashing.
    #[serde(rename = "keep")]
    MarkGood {
        /// The generation of the sender.
        generation: Generation,
        /// The version that should be running; the request is refused if another one runs.
        version: Version,
    },
}

/// The result of a step.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StepResult {
    /// The generation of the controller that requested the step.
    pub generation: Generation,
    /// The number of the step within this generation.
    pub step: u64,
    /// The version that the step rolled back, if it was a rollback and succeeded.
    #[serde(rename = "undone")]
    pub reverted: Option<Version>,
    /// Why the step failed; the node then runs the version that it ran before the step.
    pub failed: Option<String>,
    /// The step failed only because the supervisor was restarted in the middle of it, which does not speak
    /// against the change.
    #[serde(default, rename = "cut_off")]
    pub interrupted: bool,
}

/// Requests of a class by result, counted by the node since its process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Requests that were served.
    pub success: u64,
    /// Requests that were refused.
    pub busy: u64,
    /// Requests that failed.
    pub failure: u64,
}

/// Statistics of a node's process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct NodeStatistics {
    /// Identifies the process: the counters of another process start from zero.
    pub process: u64,
    /// Requests by class.
    pub calls: BTreeMap<String, RequestCounts>,
    /// Latency histogram by class: upper bound of each bucket in microseconds, and the count. Empty if the node's
    /// program does not report latencies.
    #[serde(default)]
    pub latencies: BTreeMap<String, Vec<(u64, u64)>>,
    /// Attempts that were sent to servers.
    pub attempts: u64,
    /// Servers in the node's list.
    pub listed: u64,
    /// Servers that the node currently avoids.
    pub down: u64,
    /// Resident memory in bytes.
    pub memory: u64,
    /// Open file descriptors.
    pub descriptors: u64,
}

/// A supervisor's answer to any request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Status {
    /// The name of the supervised node.
    pub name: String,
    /// The newest generation that has claimed the node.
    pub generation: Option<Generation>,
    /// The number of the step that is under way.
    pub busy: Option<u64>,
    /// The result of the last step.
    pub last: Option<StepResult>,
    /// The version that runs, or will run as soon as the process is up again.
    pub runs: Option<Version>,
    /// The version that the supervisor falls back to on its own.
    pub good: Option<Version>,
    /// Whether the node's process reports that it is ready to serve.
    pub ready: bool,
    /// Process exits that the supervisor did not cause, counted since its record was created.
    pub crashes: u64,
    /// Whether the supervisor has fallen back to the good version on its own since the last step.
    pub fell_back: bool,
    /// Why the request was refused; none if it was accepted.
    pub refused: Option<String>,
    /// The statistics of the node's process, if it reports them.
    #[serde(rename = "figures")]
    pub statistics: Option<NodeStatistics>,
}
