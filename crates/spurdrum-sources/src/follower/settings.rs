//! The settings of a follower.

use std::time::Duration;

/// How a follower calls discovery.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The number of nodes that call the same discovery, and the index of this node among them.
    pub nodes: usize,
    /// See `nodes`.
    pub node_index: usize,
    /// Whether an agent on the same machine answers the calls, at no cost to discovery.
    pub local_agent: bool,
    /// The node must apply a change within this time after the agent has it, whatever became of its calls.
    pub agent_deadline: Duration,
    /// Without an agent: a change counts as notified this long after it was made, also to a node that has not
    /// made a call since.
    pub max_call_interval: Duration,
    /// The shortest wait that a watch asks for, used while the list is doubtful.
    pub min_wait: Duration,
    /// The longest wait that a watch asks for, after several good answers in a row.
    pub max_wait: Duration,
    /// A call times out if it is silent for this long after the end of its wait.
    pub silence_timeout: Duration,
    /// The list is stale if no answer confirms it for this long after it became doubtful.
    pub stale_after: Duration,
    /// A process that has just started serves with the list of an earlier run once discovery has been silent
    /// for this long, or for as long as it may need to answer all nodes once.
    pub startup_timeout: Duration,
    /// The longest time that a start takes while discovery serves calls without confirming the list. Has no
    /// effect if it is shorter than `startup_timeout`.
    pub startup_limit: Duration,
    /// The delay before the retry of a failed call, at first.
    pub min_retry_delay: Duration,
    /// The longest delay before a retry, after several failures. With many nodes the delay may be longer.
    pub max_retry_delay: Duration,
    /// The share of discovery's time that the calls of all nodes together may take, from 0 to 1.
    pub discovery_share: f64,
    /// How many calls beside the regular ones (second calls and polls on evidence) may be made in a burst.
    pub burst_calls: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            nodes: 1,
            node_index: 0,
            local_agent: false,
            agent_deadline: Duration::from_millis(250),
            max_call_interval: Duration::from_secs(10),
            min_wait: Duration::from_millis(500),
            max_wait: Duration::from_secs(5),
            silence_timeout: Duration::from_secs(1),
            stale_after: Duration::from_secs(3),
            startup_timeout: Duration::from_secs(5),
            startup_limit: Duration::from_secs(8),
            min_retry_delay: Duration::from_millis(100),
            max_retry_delay: Duration::from_secs(1),
            discovery_share: 0.5,
            burst_calls: 4.0,
        }
    }
}

impl Settings {
    /// Checks that every setting is within its bounds.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is not valid, by its key in the configuration file, and why.
    pub fn validate(&self) -> Result<(), (&'static str, &'static str)> {
        let is_valid_time = |t: Duration| t >= Duration::from_millis(1) && t <= Duration::from_secs(60);
        let require = |ok: bool, key, why| if ok { Ok(()) } else { Err((key, why)) };
        require(self.nodes > 0, "nodes", "must be at least 1")?;
        require(is_valid_time(self.agent_deadline), "grace_ms", "must be from 1 ms to 60 s")?;
        require(is_valid_time(self.min_wait), "wait_least_ms", "must be from 1 ms to 60 s")?;
        require(is_valid_time(self.max_wait), "wait_most_ms", "must be from 1 ms to 60 s")?;
        require(self.min_wait <= self.max_wait, "wait_least_ms", "is greater than `wait_most_ms`")?;
        require(is_valid_time(self.silence_timeout), "patience_ms", "must be from 1 ms to 60 s")?;
        require(is_valid_time(self.startup_timeout), "ready_within_ms", "must be from 1 ms to 60 s")?;
        require(is_valid_time(self.stale_after), "blind_after_ms", "must be from 1 ms to 60 s")?;
        require(is_valid_time(self.max_retry_delay), "retry_most_ms", "must be from 1 ms to 60 s")?;
        require(is_valid_time(self.min_retry_delay), "retry_least_ms", "must be from 1 ms to 60 s")?;
        require(
            self.min_retry_delay <= self.max_retry_delay,
            "retry_least_ms",
            "is greater than `retry_most_ms`",
        )?;
        require(
            self.discovery_share > 0.0 && self.discovery_share <= 1.0,
            "share",
            "must be above 0 and at most 1",
        )?;
        require((1.0..=100.0).contains(&self.burst_calls), "extra", "must be from 1 to 100")
    }
}
