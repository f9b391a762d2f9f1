//! The stored form of bindings and of runs of servers, which a later process of the node reads.

use crate::KeyHash;

/// Version of the stored form. Rows of another version are not read.
pub const FORMAT_VERSION: u64 = 1;
/// Servers with longer names are not stored.
const MAX_ID_LEN: usize = 1024;

/// A binding in its stored form.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoredBinding {
    /// The key.
    pub key: KeyHash,
    /// The owner that the slot is counted for.
    pub owner: u64,
    /// The number of the run of the server that the key is bound to.
    pub run_number: u64,
    /// When the key was last requested, in Unix milliseconds.
    pub used_at: f64,
    /// When the key was bound, in Unix milliseconds.
    pub bound_at: f64,
}

/// A change that has to be written to the store.
#[derive(Clone, Debug, PartialEq)]
pub enum PendingWrite {
    /// A run by its number: the name and the start time of its server, or `None` if the run has ended.
    Run(u64, Option<(String, f64)>),
    /// A slot by its index: its binding, or `None` if the slot is free.
    Slot(u32, Option<StoredBinding>),
}

/// Name of the store's table of runs.
pub const RUNS_TABLE: &str = "runs";
/// Name of the store's table of bindings by slot.
pub const BINDINGS_TABLE: &str = "places";

impl PendingWrite {
    /// Returns the table, the key and the value of the row to write; without a value the row is removed.
    pub fn to_row(&self) -> (&'static str, u64, Option<Vec<u8>>) {
        match self {
            Self::Run(number, run) => {
                let value = run.as_ref().and_then(|(id, started_at)| run_to_bytes(id, *started_at));
                (RUNS_TABLE, *number, value)
            }
            Self::Slot(slot, stored) => {
                (BINDINGS_TABLE, u64::from(*slot), stored.map(|stored| stored.to_bytes().to_vec()))
            }
        }
    }
}

impl StoredBinding {
    /// Encodes the binding as six little-endian words.
    pub fn to_bytes(&self) -> [u8; 48] {
        let words = [
            self.key.0[0],
            self.key.0[1],
            self.owner,
            self.run_number,
            self.used_at.to_bits(),
            self.bound_at.to_bits(),
        ];
        let mut bytes = [0; 48];
        for (target, word) in bytes.chunks_exact_mut(8).zip(words) {
            target.copy_from_slice(&word.to_le_bytes());
        }
        bytes
    }

    /// Decodes a binding; `None` if the bytes are not a valid one.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        let bytes: &[u8; 48] = bytes.try_into().ok()?;
        let word = |n: usize| u64::from_le_bytes(std::array::from_fn(|byte| bytes[n * 8 + byte]));
        let time = |n| Some(f64::from_bits(word(n))).filter(|ms| ms.is_finite() && *ms >= 0.0);
        let (used_at, bound_at) = (time(4)?, time(5)?);
        Some(Self {
            key: KeyHash([word(0), word(1)]),
            owner: word(2),
            run_number: word(3),
            used_at,
            bound_at,
        })
    }
}

/// Encodes a run; `None` if the name of its server is too long.
fn run_to_bytes(id: &str, started_at: f64) -> Option<Vec<u8>> {
    let bytes = || [&started_at.to_bits().to_le_bytes(), id.as_bytes()].concat();
    (id.len() <= MAX_ID_LEN).then(bytes)
}

/// Decodes the name and the start time of a run's server; `None` if the bytes are not a valid run.
pub fn run_from_bytes(bytes: &[u8]) -> Option<(String, f64)> {
    let (started_at, id) = bytes.split_first_chunk::<8>()?;
    let started_at = Some(f64::from_bits(u64::from_le_bytes(*started_at))).filter(|ms| ms.is_finite())?;
    let id = std::str::from_utf8(id).ok().filter(|id| id.len() <= MAX_ID_LEN)?;
    Some((id.to_owned(), started_at))
}
