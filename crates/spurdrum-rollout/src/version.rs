//! What a node runs, by content.

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
    /// Of these bytes.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(hex(&Sha256::digest(bytes)))
    }

    /// Of a file, a piece at a time.
    ///
    /// # Errors
    ///
    /// It cannot be read.
    pub fn of_file(path: &Path) -> std::io::Result<Self> {
        let mut file = std::fs::File::open(path)?;
        let (mut hasher, mut piece) = (Sha256::new(), vec![0; 1 << 16]);
        loop {
            match file.read(&mut piece)? {
                0 => return Ok(Self(hex(&hasher.finalize()))),
                n => hasher.update(&piece[..n]),
            }
        }
    }

    /// Whether it has the form of one: it names files, so nothing else may.
    #[must_use]
    pub fn is_well_formed(&self) -> bool {
        self.0.len() == 64 && self.0.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'))
    }

    /// Its text.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.0
    }

    /// Any text, for models in which nothing is hashed.
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

/// A program and the settings that all nodes share.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Version {
    /// The program.
    pub program: Hash,
    /// The settings.
    pub settings: Hash,
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "program {}, settings {}", self.program, self.settings)
    }
}

/// How a change is put in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ApplyMethod {
    /// A new process takes over from the old one.
    #[default]
    Replace,
    /// The process reads its file again (SIGHUP). Only where the program stays.
    Reload,
}

/// A version that a node is to run, and where the files are on its machine. A keeper that has them already needs no place.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    /// What is to run.
    pub version: Version,
    /// Where the program is.
    pub program: Option<PathBuf>,
    /// Where the settings are.
    pub settings: Option<PathBuf>,
    /// How.
    #[serde(default)]
    pub how: ApplyMethod,
}
