//! The settings of the affinity table.

/// How the server for a key without a binding is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InitialPlacement {
    /// By the decision module, which picks the server with the lowest count.
    #[default]
    LowestCount,
    /// Preferably the server that all nodes find for the key on a common consistent-hash ring.
    Ring,
}

/// How bindings are created, moved and dropped. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Limit on the number of bound keys. The memory for all of them is allocated at the start.
    pub max_bindings: usize,
    /// A binding whose key is not requested for this long is dropped.
    pub idle_timeout_ms: f64,
    /// A binding is dropped after this time, however often its key is requested.
    pub max_age_ms: f64,
    /// A server that disappeared from the list without draining gets its bindings back if it returns as the
    /// same process within this time.
    pub return_timeout_ms: f64,
    /// A key that other servers have served this many times in a row is bound to the last of them.
    pub rebind_after: u8,
    /// A binding younger than this is not moved by `rebind_after`.
    pub rebind_min_age_ms: f64,
    /// How the server for a key without a binding is chosen.
    pub initial_placement: InitialPlacement,
    /// The ring chooses no server that was started less than this ago.
    pub slow_start_ms: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_bindings: 65_536,
            idle_timeout_ms: 900_000.0,
            max_age_ms: 86_400_000.0,
            return_timeout_ms: 10_000.0,
            rebind_after: 3,
            rebind_min_age_ms: 1_000.0,
            initial_placement: InitialPlacement::LowestCount,
            slow_start_ms: 0.0,
        }
    }
}

impl Settings {
    /// Checks that every setting is valid.
    ///
    /// # Errors
    ///
    /// The key of the first invalid setting, and the reason.
    pub fn validate(&self) -> Result<(), (&'static str, &'static str)> {
        let require = |ok: bool, key, reason| if ok { Ok(()) } else { Err((key, reason)) };
        let is_duration = |ms: f64| ms.is_finite() && ms >= 0.0;
        require((16..=1 << 24).contains(&self.max_bindings), "entries", "is not between 16 and 16777216")?;
        require(
            is_duration(self.idle_timeout_ms) && self.idle_timeout_ms >= 1.0,
            "idle_ms",
            "is not a duration of at least 1 ms",
        )?;
        require(
            is_duration(self.max_age_ms) && self.max_age_ms >= 1.0,
            "most_ms",
            "is not a duration of at least 1 ms",
        )?;
        require(is_duration(self.return_timeout_ms), "return_within_ms", "is not a valid duration")?;
        require(self.rebind_after >= 1, "moves_after", "is not between 1 and 255")?;
        require(is_duration(self.rebind_min_age_ms), "settle_ms", "is not a valid duration")?;
        require(is_duration(self.slow_start_ms), "cold_ms", "is not a valid duration")
    }
}
