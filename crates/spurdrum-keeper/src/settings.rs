//! The settings of a supervisor, read from a TOML file.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;
use spurdrum_facts::file;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    keeper: Table,
}

/// The `[keeper]` table; the field names are its keys, described at [`Settings`].
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Table {
    name: String,
    listen: SocketAddr,
    folder: PathBuf,
    ops: [SocketAddr; 2],
    own: PathBuf,
    program: PathBuf,
    settings: PathBuf,
    #[serde(default = "default_ready_ms")]
    ready_ms: u64,
    #[serde(default = "default_end_ms")]
    end_ms: u64,
    #[serde(default = "default_restart_least_ms")]
    restart_least_ms: u64,
    #[serde(default = "default_restart_most_ms")]
    restart_most_ms: u64,
    #[serde(default = "default_stable_ms")]
    stable_ms: u64,
}

fn default_ready_ms() -> u64 {
    10_000
}

fn default_end_ms() -> u64 {
    30_000
}

fn default_restart_least_ms() -> u64 {
    200
}

fn default_restart_most_ms() -> u64 {
    30_000
}

fn default_stable_ms() -> u64 {
    60_000
}

/// The settings of a supervisor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The name of the node.
    pub name: String,
    /// The address at which rollout controllers call.
    pub listen: SocketAddr,
    /// The folder of the record, the stored programs and settings, and the node's log.
    pub folder: PathBuf,
    /// Admin addresses of the node's processes, one for each slot.
    pub admin_addresses: [SocketAddr; 2],
    /// The node's own part of its settings file; the settings that all nodes share are appended to it.
    pub node_settings: PathBuf,
    /// The program of the initial version, on a machine that no controller has ever directed.
    pub initial_program: PathBuf,
    /// The shared settings of the initial version.
    pub initial_settings: PathBuf,
    /// Time that a starting process has to become ready.
    pub ready_timeout: Duration,
    /// Time that a process has to exit after it was told to terminate.
    pub terminate_timeout: Duration,
    /// Delay before a process that exited on its own is started again; doubled with each consecutive crash ...
    pub min_restart_delay: Duration,
    /// ... up to this.
    pub max_restart_delay: Duration,
    /// A process that has run for this long resets the count of consecutive crashes.
    pub stable_after: Duration,
}

impl Settings {
    /// Reads the settings from a file. The error names the file, the line and the key.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or the settings are invalid.
    pub fn read(path: &Path) -> Result<Self, String> {
        file::read(path, Self::parse)
    }

    /// Parses the text of a settings file. The error begins with the line.
    fn parse(text: &str) -> Result<Self, String> {
        let File { keeper: table } = file::from_toml(text)?;
        let line_of = |key: &str| {
            text.lines().position(|line| line.trim_start().starts_with(key)).map_or(1, |line| line + 1)
        };
        let invalid = |key: &str, why: &str| Err(format!("{}: `keeper.{key}`: {why}", line_of(key)));
        if table.ops[0] == table.ops[1] {
            return invalid("ops", "must be two different addresses, one for each of two processes");
        }
        if table.ready_ms == 0 || table.end_ms == 0 || table.restart_least_ms == 0 {
            return invalid("ready_ms", "`ready_ms`, `end_ms` and `restart_least_ms` must be above 0");
        }
        if table.restart_most_ms < table.restart_least_ms {
            return invalid("restart_most_ms", "is below `restart_least_ms`");
        }
        let time = Duration::from_millis;
        let folder = std::path::absolute(&table.folder);
        Ok(Self {
            name: table.name,
            listen: table.listen,
            // Absolute, because running processes are recognised by the paths on their command lines.
            folder: folder.map_err(|error| format!("{}: `keeper.folder`: {error}", line_of("folder")))?,
            admin_addresses: table.ops,
            node_settings: table.own,
            initial_program: table.program,
            initial_settings: table.settings,
            ready_timeout: time(table.ready_ms),
            terminate_timeout: time(table.end_ms),
            min_restart_delay: time(table.restart_least_ms),
            max_restart_delay: time(table.restart_most_ms),
            stable_after: time(table.stable_ms),
        })
    }

    /// Returns the delay before a process is started again after this many consecutive crashes.
    #[must_use]
    pub fn restart_delay(&self, consecutive_crashes: u32) -> Duration {
        let doubled =
            self.min_restart_delay.saturating_mul(1 << consecutive_crashes.saturating_sub(1).min(16));
        if consecutive_crashes == 0 {
            Duration::ZERO
        } else {
            doubled.min(self.max_restart_delay)
        }
    }
}
