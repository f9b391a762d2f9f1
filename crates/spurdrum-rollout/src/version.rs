//! Versions of the program and its settings, identified by content hashes.

use std::fmt;
use std::io::Read;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The SHA-256 of a file's bytes, in hexadecimal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Hash(String);

impl Hash {
    /// Returns the hash of these bytes.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(hex(&Sha256::digest(bytes)))
    }

    /// Returns the hash of a file, which is read in chunks.
    ///
    /// # Errors
    ///
    /// The file cannot be read.
    pub fn of_file(path: &Path) -> std::io::Result<Self> {
        let mut file = std::fs::File::open(path)?;
        let (mut hasher, mut chunk) = (Sha256::new(), vec![0; 1 << 16]);
        loop {
            match file.read(&mut chunk)? {
                0 => return Ok(Self(hex(&hasher.finalize()))),
                n => hasher.update(&chunk[..n]),
            }
        }
    }

    /// Whether the text has the form of a SHA-256 hash. A hash received from elsewhere must be checked, because
    /// it is used as a file name.
    #[must_use]
    pub fn is_well_formed(&self) -> bool {
        self.0.len() == 64 && self.0.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'))
    }

    /// The hash in hexadecimal.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.0
    }

    /// Returns a `Hash` of any text, for tests and models in which nothing is hashed.
    #[must_use]
    pub fn unchecked(text: &str) -> Self {
        Self(text.to_owned())
    }
}

impl fmt::Display for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0.get(..8).unwrap_or(&self.0))
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// A program together with the settings that all nodes share.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Version {
    /// Hash of the program.
    pub program: Hash,
    /// Hash of the settings file.
    pub settings: Hash,
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "program {}, settings {}", self.program, self.settings)
    }
}

/// How a change is applied to a running node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ApplyMethod {
    /// A new process is started and takes over from the old one by a handover.
    #[default]
    Replace,
    /// The process reloads its settings file on SIGHUP. Only possible if the program stays the same.
    Reload,
}

/// A version that a node is to run, and the paths of its files on the node's machine. A supervisor that has
/// stored the files already needs no paths.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    /// The version to run.
    pub version: Version,
    /// Path of the program.
    pub program: Option<PathBuf>,
    /// Path of the settings file.
    pub settings: Option<PathBuf>,
    /// How the change is applied.
    #[serde(default)]
    pub how: ApplyMethod,
}
