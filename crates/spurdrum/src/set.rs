//! What a file may say in place of a default.

use std::time::Duration;

/// Sets what the file says; what it leaves out stays as it is.
pub fn set<T: Copy>(to: &mut T, from: Option<T>) {
    if let Some(from) = from {
        *to = from;
    }
}

/// As [`set`], of milliseconds.
pub fn set_time(to: &mut Duration, from: Option<u64>) {
    set(to, from.map(Duration::from_millis));
}
