//! How a list is followed.

use std::time::Duration;

/// How a list is followed.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Nodes that ask the same discovery, and this one's number among them.
    pub nodes: usize,
    /// See `nodes`.
    pub me: usize,
    /// Whether an agent on the own machine answers, at no cost to discovery.
    pub pushed: bool,
    /// So soon after the agent has a change the node has to heed it, whatever became of its calls.
    pub grace: Duration,
    /// Where discovery is asked: a change counts as told so long after it was made to a node that has not asked since.
    pub ask_within: Duration,
    /// The wait that a watch asks for while the view is doubtful...
    pub wait_least: Duration,
    /// ...and once it has proved good.
    pub wait_most: Duration,
    /// A call that is silent for so long after its wait is given up.
    pub patience: Duration,
    /// Without proof for so long after the first trouble, the view is blind.
    pub blind_after: Duration,
    /// A process that has just started waits for so long at the most until discovery has confirmed the list of an earlier run.
    pub ready_within: Duration,
    /// Between calls that fail: at first, about...
    pub retry_least: Duration,
    /// ...and at the most.
    pub retry_most: Duration,
    /// Part of discovery's time that all nodes together may take.
    pub share: f64,
    /// Calls beyond the ordinary that may be made in a burst.
    pub extra: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            nodes: 1,
            me: 0,
            pushed: false,
            grace: Duration::from_millis(250),
            ask_within: Duration::from_secs(10),
            wait_least: Duration::from_millis(500),
            wait_most: Duration::from_secs(5),
            patience: Duration::from_secs(1),
            blind_after: Duration::from_secs(3),
            ready_within: Duration::from_millis(1_500),
            retry_least: Duration::from_millis(100),
            retry_most: Duration::from_secs(1),
            share: 0.5,
            extra: 4.0,
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
        need(time(self.grace), "grace_ms", "is no time from 1 ms to a minute")?;
        need(time(self.wait_least), "wait_least_ms", "is no time from 1 ms to a minute")?;
        need(time(self.wait_most), "wait_most_ms", "is no time from 1 ms to a minute")?;
        need(self.wait_least <= self.wait_most, "wait_least_ms", "is above `wait_most_ms`")?;
        need(time(self.patience), "patience_ms", "is no time from 1 ms to a minute")?;
        need(time(self.ready_within), "ready_within_ms", "is no time from 1 ms to a minute")?;
        need(time(self.blind_after), "blind_after_ms", "is no time from 1 ms to a minute")?;
        need(time(self.retry_most), "retry_most_ms", "is no time from 1 ms to a minute")?;
        need(time(self.retry_least), "retry_least_ms", "is no time from 1 ms to a minute")?;
        need(self.retry_least <= self.retry_most, "retry_least_ms", "is above `retry_most_ms`")?;
        need(self.share > 0.0 && self.share <= 1.0, "share", "is no part above 0")?;
        need((1.0..=100.0).contains(&self.extra), "extra", "is not from 1 to 100")
    }
}
