//! What may be set.

/// Where a key that is not bound goes first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InitialPlacement {
    /// Wherever its count sends it.
    #[default]
    LowestCount,
    /// Preferably to the server that all nodes find for it on one ring.
    Ring,
}

/// How bindings are made, moved and dropped. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Keys that are bound at once. The memory for them is taken at the start.
    pub max_bindings: usize,
    /// A binding that is not asked for in this time is dropped.
    pub idle_timeout_ms: f64,
    /// A binding is dropped after this time, however much it is asked for.
    pub max_age_ms: f64,
    /// A server that the list lost without a drain has its bindings back, if it returns as the same process in this time.
    pub return_timeout_ms: f64,
    /// A key that is served elsewhere so many times in a row is bound there.
    pub rebind_after: u8,
    /// ... but not sooner than this after it was bound.
    pub rebind_min_age_ms: f64,
    /// Where a key that is not bound goes first.
    pub initial_placement: InitialPlacement,
    /// Servers younger than this get no key by the ring.
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
    /// Checks that every figure makes sense.
    ///
    /// # Errors
    ///
    /// The first key that does not, and why.
    pub fn validate(&self) -> Result<(), (&'static str, &'static str)> {
        let need = |ok: bool, key, why| if ok { Ok(()) } else { Err((key, why)) };
        let time = |ms: f64| ms.is_finite() && ms >= 0.0;
        need((16..=1 << 24).contains(&self.max_bindings), "entries", "is not between 16 and 16777216")?;
        need(time(self.idle_timeout_ms) && self.idle_timeout_ms >= 1.0, "idle_ms", "is no time above 0")?;
        need(time(self.max_age_ms) && self.max_age_ms >= 1.0, "most_ms", "is no time above 0")?;
        need(time(self.return_timeout_ms), "return_within_ms", "is no time")?;
        need(self.rebind_after >= 1, "moves_after", "is not between 1 and 255")?;
        need(time(self.rebind_min_age_ms), "settle_ms", "is no time")?;
        need(time(self.slow_start_ms), "cold_ms", "is no time")
    }
}
