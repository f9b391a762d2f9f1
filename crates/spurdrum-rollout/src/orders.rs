//! What conductors say to keepers and what they hear: one line of JSON each way.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::version::{Change, Version};

/// A line holds so many bytes at most, either way.
pub const LINE_MOST: usize = 64 * 1024;

/// Who directs: the higher one counts. Two conductors that took the same number are told apart by the second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Generation {
    /// Above every number that the conductor had heard of.
    pub number: u64,
    /// Drawn by the conductor.
    pub conductor: u64,
}

/// What a conductor says to a keeper.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// How are you?
    Ask,
    /// From now on only this generation's orders are carried out.
    Claim(Generation),
    /// One step. Said again, it is the same step: it is carried out once.
    Do {
        /// Of whom it comes.
        generation: Generation,
        /// Of this generation's steps.
        step: u64,
        /// What is to run.
        change: Change,
        /// Whether it takes a change back.
        back: bool,
    },
    /// What runs is good: it is what the keeper goes back to by itself.
    Keep {
        /// Of whom it comes.
        generation: Generation,
        /// What should run by now.
        version: Version,
    },
}

/// How a step ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Done {
    /// Whose it was.
    pub generation: Generation,
    /// Which.
    pub step: u64,
    /// The version that it took back, where it took one back.
    pub undone: Option<Version>,
    /// Why it failed; the node runs what it ran before.
    pub failed: Option<String>,
    /// It was the keeper that was cut off, and not the change that failed.
    #[serde(default)]
    pub cut_off: bool,
}

/// Requests of a class, as the node counted them since its process began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Calls {
    /// Served.
    pub success: u64,
    /// Refused.
    pub busy: u64,
    /// Failed.
    pub failure: u64,
}

/// What a node's process told of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Figures {
    /// A number of the process: counts begin anew with another.
    pub process: u64,
    /// Requests by class.
    pub calls: BTreeMap<String, Calls>,
    /// Answers by class and time: upper bounds in microseconds, and counts. Empty where the node does not tell.
    #[serde(default)]
    pub latencies: BTreeMap<String, Vec<(u64, u64)>>,
    /// Attempts that were sent.
    pub attempts: u64,
    /// Servers in its list.
    pub listed: u64,
    /// Servers that it avoids.
    pub down: u64,
    /// Memory in bytes.
    pub memory: u64,
    /// Descriptors.
    pub descriptors: u64,
}

/// A keeper's answer to whatever it was told.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Status {
    /// The node.
    pub name: String,
    /// Who directs it, as far as it knows.
    pub generation: Option<Generation>,
    /// The step that it is at.
    pub busy: Option<u64>,
    /// The last step that ended.
    pub last: Option<Done>,
    /// What runs, or is to run once it comes up.
    pub runs: Option<Version>,
    /// What it goes back to by itself.
    pub good: Option<Version>,
    /// Whether the process says that it can serve.
    pub ready: bool,
    /// Processes that ended by themselves since the keeper has had a record.
    pub crashes: u64,
    /// It went back by itself, since the last step.
    pub fell_back: bool,
    /// Why the order was not taken; none: it was.
    pub refused: Option<String>,
    /// The process's figures, where it tells them.
    pub figures: Option<Figures>,
}
