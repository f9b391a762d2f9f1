//! How bindings and runs of servers are written down, so that a later life of the node can read them.

use crate::KeyHash;

/// The form of what is written; one that differs is not read.
pub const FORMAT_VERSION: u64 = 1;
/// Names of servers longer than this are not written down.
const ID_MOST: usize = 1024;

/// A binding as it is written.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoredBinding {
    /// The key.
    pub key: KeyHash,
    /// Who holds the place.
    pub owner: u64,
    /// The run of the server.
    pub run: u64,
    /// When it was last asked for, in Unix milliseconds.
    pub used_at: f64,
    /// When it was bound, in Unix milliseconds.
    pub bound_at: f64,
}

/// Something to be written.
#[derive(Clone, Debug, PartialEq)]
pub enum PendingWrite {
    /// A run by its number: its server's name and start, or nothing any more.
    Run(u64, Option<(String, f64)>),
    /// A place by its number: what stands there, or nothing.
    Slot(u32, Option<StoredBinding>),
}

/// The tables that rows are of.
pub const RUNS_TABLE: &str = "runs";
/// See [`RUNS_TABLE`].
pub const BINDINGS_TABLE: &str = "places";

impl PendingWrite {
    /// The table, the key and the value of its row; no value: nothing any more.
    pub fn to_row(&self) -> (&'static str, u64, Option<Vec<u8>>) {
        match self {
            Self::Run(number, run) => {
                let value = run.as_ref().and_then(|(id, started_at)| run_to_bytes(id, *started_at));
                (RUNS_TABLE, *number, value)
            }
            Self::Slot(at, stored) => {
                (BINDINGS_TABLE, u64::from(*at), stored.map(|stored| stored.to_bytes().to_vec()))
            }
        }
    }
}

impl StoredBinding {
    /// As bytes.
    pub fn to_bytes(&self) -> [u8; 48] {
        let words = [
            self.key.0[0],
            self.key.0[1],
            self.owner,
            self.run,
            self.used_at.to_bits(),
            self.bound_at.to_bits(),
        ];
        let mut bytes = [0; 48];
        for (to, word) in bytes.chunks_exact_mut(8).zip(words) {
            to.copy_from_slice(&word.to_le_bytes());
        }
        bytes
    }

    /// From bytes; `None` where they are no binding.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        let bytes: &[u8; 48] = bytes.try_into().ok()?;
        let word = |at: usize| u64::from_le_bytes(std::array::from_fn(|n| bytes[at * 8 + n]));
        let time = |at| Some(f64::from_bits(word(at))).filter(|ms| ms.is_finite() && *ms >= 0.0);
        let (used_at, bound_at) = (time(4)?, time(5)?);
        Some(Self { key: KeyHash([word(0), word(1)]), owner: word(2), run: word(3), used_at, bound_at })
    }
}

/// A run as bytes; `None` where its server's name is too long.
fn run_to_bytes(id: &str, started_at: f64) -> Option<Vec<u8>> {
    let bytes = || [&started_at.to_bits().to_le_bytes(), id.as_bytes()].concat();
    (id.len() <= ID_MOST).then(bytes)
}

/// A run from bytes; `None` where they are none.
pub fn run_from_bytes(bytes: &[u8]) -> Option<(String, f64)> {
    let (start, id) = bytes.split_first_chunk::<8>()?;
    let start = Some(f64::from_bits(u64::from_le_bytes(*start))).filter(|ms| ms.is_finite())?;
    let id = std::str::from_utf8(id).ok().filter(|id| id.len() <= ID_MOST)?;
    Some((id.to_owned(), start))
}
