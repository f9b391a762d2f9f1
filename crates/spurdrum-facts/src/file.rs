//! Files of settings, and where in them something is wrong.

use std::path::Path;

use serde::de::DeserializeOwned;

/// Reads a file that `parse` understands. The error names the file, and the line and key that `parse` begins with.
///
/// # Errors
///
/// The file cannot be read, or makes no sense.
pub fn read<T>(path: &Path, parse: impl FnOnce(&str) -> Result<T, String>) -> Result<T, String> {
    let shown = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{shown}: cannot be read: {e}"))?;
    parse(&text).map_err(|why| format!("{shown}:{why}"))
}

/// Reads TOML. The error begins with the line, and names the key there.
///
/// # Errors
///
/// The text is no TOML of this kind.
pub fn from_toml<T: DeserializeOwned>(text: &str) -> Result<T, String> {
    toml::from_str(text).map_err(|error| {
        let at = error.span().map_or(0, |span| span.start).min(text.len());
        let line = text[..at].matches('\n').count();
        let key = text.lines().nth(line).unwrap_or_default().split('=').next().unwrap_or_default().trim();
        format!("{}: `{key}`: {}", line + 1, error.message())
    })
}
