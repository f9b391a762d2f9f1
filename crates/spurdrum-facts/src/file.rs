//! Reads files of settings, with errors that name the place of the fault.

use std::path::Path;

use serde::de::DeserializeOwned;

/// Reads a file and parses its text with `parse`. The error names the file, followed by the error of `parse`, which
/// is expected to begin with the line and key.
///
/// # Errors
///
/// The file cannot be read, or `parse` fails.
pub fn read<T>(path: &Path, parse: impl FnOnce(&str) -> Result<T, String>) -> Result<T, String> {
    let path_text = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{path_text}: cannot be read: {e}"))?;
    parse(&text).map_err(|error| format!("{path_text}:{error}"))
}

/// Parses TOML. The error begins with the number of the faulty line and names the key on it.
///
/// # Errors
///
/// The text is not valid TOML, or does not fit the type.
pub fn from_toml<T: DeserializeOwned>(text: &str) -> Result<T, String> {
    toml::from_str(text).map_err(|error| {
        let offset = error.span().map_or(0, |span| span.start).min(text.len());
        let line = text[..offset].matches('\n').count();
        let key = text.lines().nth(line).unwrap_or_default().split('=').next().unwrap_or_default().trim();
        format!("{}: `{key}`: {}", line + 1, error.message())
    })
}
