//! The file: a `redb` database of tables from a number to bytes.
//!
//! A batch is one transaction and is on the disk whole or not at all. A file that is broken, or that another format or another
//! node's secret wrote, is put aside and begun anew: what it holds can be learned again.

use std::fmt;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};

use redb::{
    Builder, Database, DatabaseError, ReadableDatabase, ReadableTable, StorageBackend, StorageError,
    TableDefinition,
};

use crate::trial::FaultyDisk;

/// Memory that the file's pages may take up.
const CACHE: usize = 4 << 20;

const ABOUT: TableDefinition<&str, u64> = TableDefinition::new("about");

/// A row of a table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The table.
    pub table: &'static str,
    /// Its key.
    pub key: u64,
    /// What is there; none: nothing any more.
    pub value: Option<Vec<u8>>,
}

/// What a file must have been written by, to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FileIdentity {
    /// The form of its rows.
    pub format: u64,
    /// Whose they are.
    pub fingerprint: u64,
}

/// Why a file can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// Another process has it.
    Busy,
    /// What it holds makes no sense.
    Corrupt(String),
    /// It was written by another format, or by a node with another secret.
    Foreign,
    /// The system refused.
    Io(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Busy => f.write_str("another process has it open"),
            Self::Corrupt(why) => write!(f, "it is broken: {why}"),
            Self::Foreign => f.write_str("another format or another node's secret wrote it"),
            Self::Io(why) => f.write_str(why),
        }
    }
}

impl From<DatabaseError> for StoreError {
    fn from(error: DatabaseError) -> Self {
        match error {
            DatabaseError::DatabaseAlreadyOpen => Self::Busy,
            DatabaseError::Storage(storage) => storage.into(),
            DatabaseError::UpgradeRequired(_) => Self::Foreign,
            other => Self::Corrupt(other.to_string()),
        }
    }
}

impl From<StorageError> for StoreError {
    fn from(error: StorageError) -> Self {
        let says = error.to_string();
        match error {
            // What is no database at all is told by these kinds of error.
            StorageError::Io(io)
                if matches!(
                    io.kind(),
                    std::io::ErrorKind::InvalidData | std::io::ErrorKind::UnexpectedEof
                ) =>
            {
                Self::Corrupt(says)
            }
            StorageError::Io(_) | StorageError::Backend(_) | StorageError::PreviousIo => Self::Io(says),
            _ => Self::Corrupt(says),
        }
    }
}

fn trouble(error: impl Into<redb::Error>) -> StoreError {
    match error.into() {
        redb::Error::Io(io) => StorageError::Io(io).into(),
        redb::Error::PreviousIo => StorageError::PreviousIo.into(),
        other => StoreError::Corrupt(other.to_string()),
    }
}

/// An open file.
pub struct StoreFile {
    database: Database,
    fresh: bool,
    aside: Option<StoreError>,
}

impl StoreFile {
    /// Opens a file; where there is none, or one that can't be read, an empty one.
    ///
    /// # Errors
    ///
    /// Another process has it, or the system refuses.
    pub fn open(path: &Path, about: FileIdentity) -> Result<Self, StoreError> {
        Self::open_by(path, about, || builder().create(path))
    }

    /// As [`StoreFile::open`], on a disk that does what the file `says` tells: see [`crate::trial`].
    ///
    /// # Errors
    ///
    /// As there.
    pub fn open_with_faults(path: &Path, about: FileIdentity, says: &Path) -> Result<Self, StoreError> {
        Self::open_by(path, about, || builder().create_with_backend(FaultyDisk::open(path, says)?))
    }

    fn open_by(
        path: &Path,
        about: FileIdentity,
        create: impl Fn() -> Result<Database, DatabaseError>,
    ) -> Result<Self, StoreError> {
        let attempt = || Self::of(create().map_err(StoreError::from), about);
        match guarded(attempt) {
            Err(why @ (StoreError::Corrupt(_) | StoreError::Foreign)) => {
                std::fs::rename(path, aside(path)).map_err(|error| StoreError::Io(error.to_string()))?;
                guarded(attempt).map(|disk| Self { aside: Some(why), ..disk })
            }
            opened => opened,
        }
    }

    /// Whether nothing had been written to it before it was opened.
    pub fn is_new(&self) -> bool {
        self.fresh
    }

    /// Why an earlier file was put aside, if one was.
    pub fn quarantine_reason(&self) -> Option<&StoreError> {
        self.aside.as_ref()
    }

    /// Opens what another backend holds.
    ///
    /// # Errors
    ///
    /// It is broken, foreign, or refuses.
    pub fn open_backend(backend: impl StorageBackend, about: FileIdentity) -> Result<Self, StoreError> {
        guarded(|| Self::of(builder().create_with_backend(backend).map_err(StoreError::from), about))
    }

    fn of(database: Result<Database, StoreError>, about: FileIdentity) -> Result<Self, StoreError> {
        let database = database?;
        let mut fresh = false;
        let txn = database.begin_write().map_err(trouble)?;
        {
            let mut table = txn.open_table(ABOUT).map_err(trouble)?;
            for (key, wanted) in [("format", about.format), ("mark", about.fingerprint)] {
                let found = table.get(key).map_err(trouble)?.map(|value| value.value());
                match found {
                    Some(found) if found != wanted => return Err(StoreError::Foreign),
                    Some(_) => {}
                    None => {
                        fresh = true;
                        table.insert(key, wanted).map_err(trouble)?;
                    }
                }
            }
        }
        txn.commit().map_err(trouble)?;
        Ok(Self { database, fresh, aside: None })
    }

    /// Rows of a table from this key on, so many at the most.
    ///
    /// # Errors
    ///
    /// The file is broken, or the system refuses.
    pub fn read(&self, table: &str, from: u64, most: usize) -> Result<Vec<(u64, Vec<u8>)>, StoreError> {
        guarded(|| {
            let txn = self.database.begin_read().map_err(trouble)?;
            let table = match txn.open_table(TableDefinition::<u64, &[u8]>::new(table)) {
                Ok(table) => table,
                Err(redb::TableError::TableDoesNotExist(_)) => return Ok(Vec::new()),
                Err(error) => return Err(trouble(error)),
            };
            let rows = table.range(from..).map_err(trouble)?.take(most);
            rows.map(|row| row.map(|(key, value)| (key.value(), value.value().to_vec())).map_err(trouble))
                .collect()
        })
    }

    /// Writes rows, all or none; they are on the disk when this returns.
    ///
    /// # Errors
    ///
    /// The file is broken, or the system refuses. The file can't be used any more.
    pub fn write(&self, rows: &[Row]) -> Result<(), StoreError> {
        guarded(|| {
            let txn = self.database.begin_write().map_err(trouble)?;
            for of_table in rows.chunk_by(|a, b| a.table == b.table) {
                let table = TableDefinition::<u64, &[u8]>::new(of_table[0].table);
                let mut table = txn.open_table(table).map_err(trouble)?;
                for row in of_table {
                    match &row.value {
                        Some(value) => drop(table.insert(row.key, value.as_slice()).map_err(trouble)?),
                        None => drop(table.remove(row.key).map_err(trouble)?),
                    }
                }
            }
            txn.commit().map_err(trouble)
        })
    }
}

fn builder() -> Builder {
    let mut builder = Builder::new();
    builder.set_cache_size(CACHE).set_check_integrity_on_open(true);
    builder
}

/// Where a file is put that can't be read; an earlier one is replaced.
fn aside(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(".bad");
    name.into()
}

/// Guards against a file so broken that reading it panics.
fn guarded<T>(work: impl FnOnce() -> Result<T, StoreError>) -> Result<T, StoreError> {
    catch_unwind(AssertUnwindSafe(work))
        .unwrap_or_else(|_| Err(StoreError::Corrupt("reading it cannot go on".to_owned())))
}
