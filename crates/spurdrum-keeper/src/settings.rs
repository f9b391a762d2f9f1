//! What a keeper is told, by its TOML file.

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
    #[serde(default = "ready")]
    ready_ms: u64,
    #[serde(default = "end")]
    end_ms: u64,
    #[serde(default = "restart_least")]
    restart_least_ms: u64,
    #[serde(default = "restart_most")]
    restart_most_ms: u64,
    #[serde(default = "stable")]
    stable_ms: u64,
}

fn ready() -> u64 {
    10_000
}

fn end() -> u64 {
    30_000
}

fn restart_least() -> u64 {
    200
}

fn restart_most() -> u64 {
    30_000
}

fn stable() -> u64 {
    60_000
}

/// What a keeper goes by.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The node's name.
    pub name: String,
    /// Where conductors call.
    pub listen: SocketAddr,
    /// Where the keeper has its record, programs, settings and the node's log.
    pub folder: PathBuf,
    /// Where the node's processes answer operators, in turn.
    pub ops: [SocketAddr; 2],
    /// The node's own part of its file; what all nodes share comes behind it.
    pub own: PathBuf,
    /// The program that runs first, on a machine that was never told anything.
    pub program: PathBuf,
    /// The settings, likewise.
    pub settings: PathBuf,
    /// A process that starts has so long to say that it can serve.
    pub ready: Duration,
    /// One that was told to end has so long.
    pub end: Duration,
    /// Pause before one that ended by itself is started again, doubled with each in a row ...
    pub restart_least: Duration,
    /// ... up to this.
    pub restart_most: Duration,
    /// One that has run for so long does not keep ending.
    pub stable: Duration,
}

impl Settings {
    /// Reads a file. The error names the file, the line and the key.
    ///
    /// # Errors
    ///
    /// It cannot be read, or makes no sense.
    pub fn read(path: &Path) -> Result<Self, String> {
        file::read(path, Self::parse)
    }

    /// Reads a file's text. The error begins with the line.
    fn parse(text: &str) -> Result<Self, String> {
        let File { keeper: table } = file::from_toml(text)?;
        let line_of = |key: &str| {
            text.lines().position(|line| line.trim_start().starts_with(key)).map_or(1, |line| line + 1)
        };
        let wrong = |key: &str, why: &str| Err(format!("{}: `keeper.{key}`: {why}", line_of(key)));
        if table.ops[0] == table.ops[1] {
            return wrong("ops", "two processes need two addresses");
        }
        if table.ready_ms == 0 || table.end_ms == 0 || table.restart_least_ms == 0 {
            return wrong("ready_ms", "`ready_ms`, `end_ms` or `restart_least_ms` is 0");
        }
        if table.restart_most_ms < table.restart_least_ms {
            return wrong("restart_most_ms", "is below `restart_least_ms`");
        }
        let time = Duration::from_millis;
        let folder = std::path::absolute(&table.folder);
        Ok(Self {
            name: table.name,
            listen: table.listen,
            // Processes are known again by the paths in it.
            folder: folder.map_err(|error| format!("{}: `keeper.folder`: {error}", line_of("folder")))?,
            ops: table.ops,
            own: table.own,
            program: table.program,
            settings: table.settings,
            ready: time(table.ready_ms),
            end: time(table.end_ms),
            restart_least: time(table.restart_least_ms),
            restart_most: time(table.restart_most_ms),
            stable: time(table.stable_ms),
        })
    }

    /// The pause before a process that ended so often in a row is started again.
    #[must_use]
    pub fn restart_delay(&self, consecutive_crashes: u32) -> Duration {
        let doubled = self.restart_least.saturating_mul(1 << consecutive_crashes.saturating_sub(1).min(16));
        if consecutive_crashes == 0 {
            Duration::ZERO
        } else {
            doubled.min(self.restart_most)
        }
    }
}
