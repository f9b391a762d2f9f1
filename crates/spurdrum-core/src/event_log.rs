//! Log lines about single requests and connections: why an attempt was not served, why a request was refused
//! or failed, why a connection was ended. Their rate is limited, as under overload there is one for nearly
//! every request.

use std::cell::RefCell;

use tokio::time::Instant;

/// How many lines are written in a second at most.
const MAX_LINES_PER_SECOND: f64 = 10.0;
/// How many lines may be written at once after a quiet time.
const MAX_BURST_LINES: f64 = 50.0;

/// The most bytes of a line: clients choose the identifiers in it.
const MAX_LINE_BYTES: usize = 400;

/// Whether a line may be written now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineVerdict {
    /// It may; `left_out` lines were not written since the last one.
    Write {
        /// The number of lines that were left out.
        left_out: u64,
    },
    /// It is left out.
    LeaveOut,
}

/// A token bucket of log lines. Pure: times are seconds from any start, and never run backwards.
#[derive(Clone, Copy, Debug)]
pub struct LineBudget {
    available: f64,
    updated_at: f64,
    left_out: u64,
}

impl Default for LineBudget {
    fn default() -> Self {
        Self { available: MAX_BURST_LINES, updated_at: 0.0, left_out: 0 }
    }
}

impl LineBudget {
    /// Takes a line from the budget if there is one.
    pub fn take(&mut self, now: f64) -> LineVerdict {
        let refill = (now - self.updated_at).max(0.0) * MAX_LINES_PER_SECOND;
        self.available = (self.available + refill).min(MAX_BURST_LINES);
        self.updated_at = now;
        if self.available < 1.0 {
            self.left_out += 1;
            return LineVerdict::LeaveOut;
        }
        self.available -= 1.0;
        LineVerdict::Write { left_out: std::mem::take(&mut self.left_out) }
    }
}

/// Writes the lines that fit into the budget.
#[derive(Debug)]
pub struct EventLog {
    started: Instant,
    budget: RefCell<LineBudget>,
}

impl Default for EventLog {
    fn default() -> Self {
        Self { started: Instant::now(), budget: RefCell::default() }
    }
}

impl EventLog {
    /// Writes a line, which is made only if it fits into the budget.
    pub fn write(&self, line: impl FnOnce() -> String) {
        let now = self.started.elapsed().as_secs_f64();
        match self.budget.borrow_mut().take(now) {
            LineVerdict::LeaveOut => {}
            LineVerdict::Write { left_out: 0 } => tracing::info!("{}", truncated(line())),
            LineVerdict::Write { left_out } => {
                tracing::info!("{} ({left_out} lines left out)", truncated(line()))
            }
        }
    }
}

/// Cuts a line off after [`MAX_LINE_BYTES`] at most.
fn truncated(mut line: String) -> String {
    let end = (0..=MAX_LINE_BYTES.min(line.len())).rev().find(|end| line.is_char_boundary(*end));
    line.truncate(end.unwrap_or_default());
    line
}

#[cfg(test)]
mod tests;
