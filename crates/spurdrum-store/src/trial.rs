//! A simulated disk that fails on command, to test how a node behaves then.
//!
//! A file beside that of the store names the fault. It is read before each operation, so that the fault can
//! be changed while a node runs. With any other text, or without the file, the disk is healthy:
//!
//! | text | the disk |
//! | --- | --- |
//! | `full` | has no space left |
//! | `slow 50` | takes 50 ms longer for each write and each sync, at most a minute |
//! | `unsynced` | fails to sync |
//! | `forgets` | confirms writes and syncs but does not store them: they are lost with the process |

use std::fs::File;
use std::io::{Error, ErrorKind};
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use redb::backends::FileBackend;
use redb::{DatabaseError, StorageBackend};

/// Limit on the size of a file that a forgetful disk holds in memory, in bytes.
const MAX_FORGETFUL_BYTES: u64 = 64 << 20;
/// Limit on the delay of one operation, in milliseconds.
const MAX_SLOW_MS: u64 = 60_000;

/// How a disk behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskMode {
    /// Every operation works.
    Healthy,
    /// Writes fail because no space is left.
    Full,
    /// Writes and syncs take this much longer.
    Slow(Duration),
    /// Syncs fail.
    SyncFails,
    /// Writes and syncs are confirmed, but their data is lost when the process ends.
    Forgetful,
}

impl DiskMode {
    /// Returns the mode that a text names; see the [module](self).
    #[must_use]
    pub fn parse(text: &str) -> Self {
        let mut words = text.split_whitespace();
        match (words.next(), words.next().and_then(|ms| ms.parse::<u64>().ok())) {
            (Some("full"), _) => Self::Full,
            (Some("slow"), Some(ms)) => Self::Slow(Duration::from_millis(ms.min(MAX_SLOW_MS))),
            (Some("unsynced"), _) => Self::SyncFails,
            (Some("forgets"), _) => Self::Forgetful,
            _ => Self::Healthy,
        }
    }
}

/// A file on a simulated disk.
#[derive(Debug)]
pub struct FaultyDisk {
    file: FileBackend,
    /// The file that names the fault.
    fault_path: PathBuf,
    /// The content that a forgetful disk presents instead of the file, and keeps presenting in all other
    /// modes.
    volatile: Mutex<Option<Vec<u8>>>,
}

fn disk_full() -> Error {
    Error::from(ErrorKind::StorageFull)
}

impl FaultyDisk {
    /// Opens the file, and creates it if it does not exist.
    ///
    /// # Errors
    ///
    /// Another process has the file open, or the operating system reports an error.
    pub fn open(path: &Path, fault_path: &Path) -> Result<Self, DatabaseError> {
        let file = File::options().read(true).write(true).create(true).truncate(false).open(path);
        let file = FileBackend::new(file.map_err(redb::StorageError::Io)?)?;
        Ok(Self { file, fault_path: fault_path.to_owned(), volatile: Mutex::default() })
    }

    fn mode(&self) -> DiskMode {
        std::fs::read_to_string(&self.fault_path).map_or(DiskMode::Healthy, |text| DiskMode::parse(&text))
    }

    /// Returns the content that is presented instead of the file, if the disk has been forgetful.
    fn volatile(&self) -> Result<MutexGuard<'_, Option<Vec<u8>>>, Error> {
        self.volatile.lock().map_err(|_| Error::other("a previous operation panicked"))
    }

    /// Makes a change with the fault of the current mode: with `change_file` to the file, or with
    /// `change_volatile` to the content that is presented instead of it.
    fn change(
        &self,
        change_file: impl FnOnce(&FileBackend) -> Result<(), Error>,
        change_volatile: impl FnOnce(&mut Vec<u8>),
    ) -> Result<(), Error> {
        let mode = self.mode();
        let mut volatile = self.volatile()?;
        match mode {
            DiskMode::Full => return Err(disk_full()),
            DiskMode::Slow(delay) => std::thread::sleep(delay),
            DiskMode::Forgetful if volatile.is_none() => {
                let length = self.file.len()?;
                if length > MAX_FORGETFUL_BYTES {
                    return Err(disk_full());
                }
                let mut content = vec![0; length as usize];
                self.file.read(0, &mut content)?;
                *volatile = Some(content);
            }
            _ => {}
        }
        match volatile.as_mut() {
            Some(content) => {
                change_volatile(content);
                Ok(())
            }
            None => change_file(&self.file),
        }
    }
}

impl StorageBackend for FaultyDisk {
    fn len(&self) -> Result<u64, Error> {
        match self.volatile()?.as_ref() {
            Some(content) => Ok(content.len() as u64),
            None => self.file.len(),
        }
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), Error> {
        match self.volatile()?.as_ref() {
            Some(content) => {
                let start = usize::try_from(offset).unwrap_or(usize::MAX);
                let part = content.get(start..start.saturating_add(out.len()));
                part.map(|part| out.copy_from_slice(part)).ok_or_else(|| ErrorKind::UnexpectedEof.into())
            }
            None => self.file.read(offset, out),
        }
    }

    fn set_len(&self, len: u64) -> Result<(), Error> {
        if len > MAX_FORGETFUL_BYTES && self.volatile()?.is_some() {
            return Err(disk_full());
        }
        self.change(|file| file.set_len(len), |content| content.resize(len as usize, 0))
    }

    fn sync_data(&self) -> Result<(), Error> {
        if self.mode() == DiskMode::SyncFails {
            return Err(Error::other("the simulated disk fails to sync"));
        }
        self.change(FileBackend::sync_data, |_| {})
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), Error> {
        let write_volatile = |content: &mut Vec<u8>| {
            let start = offset as usize;
            // The content is long enough: the database sets the length before it writes.
            if let Some(part) = content.get_mut(start..start + data.len()) {
                part.copy_from_slice(data);
            }
        };
        self.change(|file| file.write(offset, data), write_volatile)
    }

    fn close(&self) -> Result<(), Error> {
        self.file.close()
    }
}
