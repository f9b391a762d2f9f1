//! How a list is followed.

use std::time::Duration;

/// How a list is followed.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Nodes that ask the same discovery, and this one's number among them.
    pub nodes: usize,
    /// See `nodes`.
    pub node_index: usize,
    /// Whether an agent on the own machine answers, at no cost to discovery.
    pub local_agent: bool,
    /// So soon after the agent has a change the node has to heed it, whatever became of its calls.
    pub agent_deadline: Duration,
    /// Where discovery is asked: a change counts as told so long after it was made to a node that has not asked since.
    pub max_call_interval: Duration,
    /// The wait that a watch asks for while the view is doubtful...
    pub min_wait: Duration,
    /// ...and once it has proved good.
    pub max_wait: Duration,
    /// A call that is silent for so long after its wait is given up.
    pub silence_timeout: Duration,
    /// Without proof for so long after the first trouble, the view is blind.
    pub stale_after: Duration,
    /// A process that has just started waits for so long at the most until discovery has confirmed the list of an earlier run.
    pub startup_timeout: Duration,
    /// Between calls that fail: at first, about...
    pub min_retry_delay: Duration,
    /// ...and at the most.
    pub max_retry_delay: Duration,
    /// Part of discovery's time that all nodes together may take.
    pub discovery_share: f64,
    /// Calls beyond the ordinary that may be made in a burst.
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
            startup_timeout: Duration::from_millis(1_500),
            min_retry_delay: Duration::from_millis(100),
            max_retry_delay: Duration::from_secs(1),
            discovery_share: 0.5,
            burst_calls: 4.0,
        }
    }
}

impl Settings {
    /// Checks that every figure makes sense.
    ///
    /// # Errors
    ///
    /// The first key that does not, and why.
    pub fn validate(&self) -> Result<(), (&'static str, &'static str)> {
        let time = |t: Duration| t >= Duration::from_millis(1) && t <= Duration::from_secs(60);
        let need = |ok: bool, key, why| if ok { Ok(()) } else { Err((key, why)) };
        need(self.nodes > 0, "nodes", "is at least 1")?;
        need(time(self.agent_deadline), "grace_ms", "is no time from 1 ms to a minute")?;
        need(time(self.min_wait), "wait_least_ms", "is no time from 1 ms to a minute")?;
        need(time(self.max_wait), "wait_most_ms", "is no time from 1 ms to a minute")?;
        need(self.min_wait <= self.max_wait, "wait_least_ms", "is above `wait_most_ms`")?;
        need(time(self.silence_timeout), "patience_ms", "is no time from 1 ms to a minute")?;
        need(time(self.startup_timeout), "ready_within_ms", "is no time from 1 ms to a minute")?;
        need(time(self.stale_after), "blind_after_ms", "is no time from 1 ms to a minute")?;
        need(time(self.max_retry_delay), "retry_most_ms", "is no time from 1 ms to a minute")?;
        need(time(self.min_retry_delay), "retry_least_ms", "is no time from 1 ms to a minute")?;
        need(self.min_retry_delay <= self.max_retry_delay, "retry_least_ms", "is above `retry_most_ms`")?;
        need(self.discovery_share > 0.0 && self.discovery_share <= 1.0, "share", "is no part above 0")?;
        need((1.0..=100.0).contains(&self.burst_calls), "extra", "is not from 1 to 100")
    }
}
