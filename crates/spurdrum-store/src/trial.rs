//! A disk that fails on command: for trials of what a node does then.
//!
//! A file beside the store's says how the disk does; it is read before each step, so that it can be changed while a node
//! runs. What it says is one of these; anything else, or no file, is a sound disk:
//!
//! | text | the disk |
//! | --- | --- |
//! | `full` | takes no byte more |
//! | `slow 50` | takes 50 ms longer for each write and each sync, at most a minute |
//! | `unsynced` | refuses to sync |
//! | `forgets` | says yes to writes and syncs, and keeps none of it: with the process it is gone |

use std::fs::File;
use std::io::{Error, ErrorKind};
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use redb::backends::FileBackend;
use redb::{DatabaseError, StorageBackend};

/// What a disk that forgets holds in memory at most.
const FORGETS_MOST: u64 = 64 << 20;
/// No step is held up for longer.
const SLOW_MOST: u64 = 60_000;

/// How a disk does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskMode {
    /// As it should.
    Healthy,
    /// It takes no byte more.
    Full,
    /// Writes and syncs take so much longer.
    Slow(Duration),
    /// It refuses to sync.
    SyncFails,
    /// It says yes and keeps nothing.
    Forgetful,
}

impl DiskMode {
    /// What a text says.
    #[must_use]
    pub fn parse(text: &str) -> Self {
        let mut words = text.split_whitespace();
        match (words.next(), words.next().and_then(|ms| ms.parse::<u64>().ok())) {
            (Some("full"), _) => Self::Full,
            (Some("slow"), Some(ms)) => Self::Slow(Duration::from_millis(ms.min(SLOW_MOST))),
            (Some("unsynced"), _) => Self::SyncFails,
            (Some("forgets"), _) => Self::Forgetful,
            _ => Self::Healthy,
        }
    }
}

/// A file on such a disk.
#[derive(Debug)]
pub struct FaultyDisk {
    file: FileBackend,
    says: PathBuf,
    /// What a disk that forgets shows in place of the file; it goes on to, once it has begun.
    shown: Mutex<Option<Vec<u8>>>,
}

fn full() -> Error {
    Error::from(ErrorKind::StorageFull)
}

impl FaultyDisk {
    /// Opens the file, and makes it where there is none.
    ///
    /// # Errors
    ///
    /// Another process has it, or the system refuses.
    pub fn open(path: &Path, says: &Path) -> Result<Self, DatabaseError> {
        let file = File::options().read(true).write(true).create(true).truncate(false).open(path);
        let file = FileBackend::new(file.map_err(redb::StorageError::Io)?)?;
        Ok(Self { file, says: says.to_owned(), shown: Mutex::default() })
    }

    fn health(&self) -> DiskMode {
        std::fs::read_to_string(&self.says).map_or(DiskMode::Healthy, |text| DiskMode::parse(&text))
    }

    /// What is shown in place of the file, if anything is.
    fn shown(&self) -> Result<MutexGuard<'_, Option<Vec<u8>>>, Error> {
        self.shown.lock().map_err(|_| Error::other("an earlier step died"))
    }

    /// A change: made where the disk is sound, by `really`; where it forgets, by `shows` on what is shown.
    fn change(
        &self,
        really: impl FnOnce(&FileBackend) -> Result<(), Error>,
        shows: impl FnOnce(&mut Vec<u8>),
    ) -> Result<(), Error> {
        let health = self.health();
        let mut shown = self.shown()?;
        match health {
            DiskMode::Full => return Err(full()),
            DiskMode::Slow(by) => std::thread::sleep(by),
            DiskMode::Forgetful if shown.is_none() => {
                let length = self.file.len()?;
                if length > FORGETS_MOST {
                    return Err(full());
                }
                let mut all = vec![0; length as usize];
                self.file.read(0, &mut all)?;
                *shown = Some(all);
            }
            _ => {}
        }
        match shown.as_mut() {
            Some(all) => {
                shows(all);
                Ok(())
            }
            None => really(&self.file),
        }
    }
}

impl StorageBackend for FaultyDisk {
    fn len(&self) -> Result<u64, Error> {
        match self.shown()?.as_ref() {
            Some(all) => Ok(all.len() as u64),
            None => self.file.len(),
        }
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), Error> {
        match self.shown()?.as_ref() {
            Some(all) => {
                let from = usize::try_from(offset).unwrap_or(usize::MAX);
                let part = all.get(from..from.saturating_add(out.len()));
                part.map(|part| out.copy_from_slice(part)).ok_or_else(|| ErrorKind::UnexpectedEof.into())
            }
            None => self.file.read(offset, out),
        }
    }

    fn set_len(&self, len: u64) -> Result<(), Error> {
        if len > FORGETS_MOST && self.shown()?.is_some() {
            return Err(full());
        }
        self.change(|file| file.set_len(len), |all| all.resize(len as usize, 0))
    }

    fn sync_data(&self) -> Result<(), Error> {
        if self.health() == DiskMode::SyncFails {
            return Err(Error::other("the disk does not sync"));
        }
        self.change(FileBackend::sync_data, |_| {})
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), Error> {
        let shows = |all: &mut Vec<u8>| {
            let from = offset as usize;
            // The database sets the length before it writes.
            if let Some(part) = all.get_mut(from..from + data.len()) {
                part.copy_from_slice(data);
            }
        };
        self.change(|file| file.write(offset, data), shows)
    }

    fn close(&self) -> Result<(), Error> {
        self.file.close()
    }
}
