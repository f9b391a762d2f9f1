//! Helpers that override default settings with values from the settings file.

use std::time::Duration;

/// Sets `setting` to the file's value, if there is one.
pub fn set<T: Copy>(setting: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *setting = value;
    }
}

/// Like [`set`], for a duration that the file gives in milliseconds.
pub fn set_time(setting: &mut Duration, millis: Option<u64>) {
    set(setting, millis.map(Duration::from_millis));
}
