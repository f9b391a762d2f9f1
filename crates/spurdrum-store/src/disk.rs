//! The file of the store: a `redb` database whose tables map numbers to bytes.
//!
//! A batch is one transaction: either all of it is on the disk or nothing. A file that is corrupt, or that
//! was written in another format or with another node's secret, is moved aside and replaced by an empty one:
//! its content can be learned again.

use std::fmt;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};

use redb::{
    Builder, Database, DatabaseError, ReadableDatabase, ReadableTable, StorageBackend, StorageError,
    TableDefinition,
};

use crate::trial::FaultyDisk;

/// Limit on the memory for cached pages of the file, in bytes.
const CACHE_BYTES: usize = 4 << 20;

/// The table that holds the [`FileIdentity`] of the file.
const IDENTITY_TABLE: TableDefinition<&str, u64> = TableDefinition::new("about");

/// A row to write to a table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The table.
    pub table: &'static str,
    /// The key of the row.
    pub key: u64,
    /// The new value; `None` removes the row.
    pub value: Option<Vec<u8>>,
}

/// Identifies the format of a file and the node that wrote it. A file with another identity is not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FileIdentity {
    /// The version of the form of the rows.
    pub format: u64,
    /// A fingerprint of the secret of the node that the rows belong to.
    pub fingerprint: u64,
}

/// The reason why a file cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// Another process has the file open.
    Busy,
    /// The content of the file is invalid.
    Corrupt(String),
    /// The file was written in another format, or by a node with another secret.
    Foreign,
    /// The operating system reported an error.
    Io(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Busy => f.write_str("another process has it open"),
            Self::Corrupt(reason) => write!(f, "it is corrupt: {reason}"),
            Self::Foreign => f.write_str("it was written in another format or with another node's secret"),
            Self::Io(reason) => f.write_str(reason),
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
        let reason = error.to_string();
        match error {
            // A file that is not a database at all is reported by these kinds of error.
            StorageError::Io(io)
                if matches!(
                    io.kind(),
                    std::io::ErrorKind::InvalidData | std::io::ErrorKind::UnexpectedEof
                ) =>
            {
                Self::Corrupt(reason)
            }
            StorageError::Io(_) | StorageError::Backend(_) | StorageError::PreviousIo => Self::Io(reason),
            _ => Self::Corrupt(reason),
        }
    }
}

fn store_error(error: impl Into<redb::Error>) -> StoreError {
    match error.into() {
        redb::Error::Io(io) => StorageError::Io(io).into(),
        redb::Error::PreviousIo => StorageError::PreviousIo.into(),
        other => StoreError::Corrupt(other.to_string()),
    }
}

/// An open file of the store.
pub struct StoreFile {
    database: Database,
    new: bool,
    quarantine_reason: Option<StoreError>,
}

impl StoreFile {
    /// Opens a file. If there is none, or it cannot be read, an empty one is created.
    ///
    /// # Errors
    ///
    /// Another process has the file open, or the operating system reports an error.
    pub fn open(path: &Path, identity: FileIdentity) -> Result<Self, StoreError> {
        Self::open_with(path, identity, || builder().create(path))
    }

    /// Opens a file like [`StoreFile::open`], on a simulated disk with the fault that the file at
    /// `fault_path` names; see [`crate::trial`].
    ///
    /// # Errors
    ///
    /// Another process has the file open, or the operating system or the simulated disk reports an error.
    pub fn open_with_faults(
        path: &Path,
        identity: FileIdentity,
        fault_path: &Path,
    ) -> Result<Self, StoreError> {
        Self::open_with(path, identity, || builder().create_with_backend(FaultyDisk::open(path, fault_path)?))
    }

    fn open_with(
        path: &Path,
        identity: FileIdentity,
        create: impl Fn() -> Result<Database, DatabaseError>,
    ) -> Result<Self, StoreError> {
        let attempt = || Self::check(create().map_err(StoreError::from), identity);
        match catch_panics(attempt) {
            Err(reason @ (StoreError::Corrupt(_) | StoreError::Foreign)) => {
                std::fs::rename(path, quarantine_path(path))
                    .map_err(|error| StoreError::Io(error.to_string()))?;
                catch_panics(attempt).map(|file| Self { quarantine_reason: Some(reason), ..file })
            }
            opened => opened,
        }
    }

    /// Returns whether the file had no content before it was opened.
    pub fn is_new(&self) -> bool {
        self.new
    }

    /// Returns why a previous file was moved aside, if one was.
    pub fn quarantine_reason(&self) -> Option<&StoreError> {
        self.quarantine_reason.as_ref()
    }

    /// Opens the content of another storage backend.
    ///
    /// # Errors
    ///
    /// The content is corrupt or foreign, or the backend reports an error.
    pub fn open_backend(backend: impl StorageBackend, identity: FileIdentity) -> Result<Self, StoreError> {
        catch_panics(|| {
            Self::check(builder().create_with_backend(backend).map_err(StoreError::from), identity)
        })
    }

    /// Checks the identity of an opened database, and writes it if the database is new.
    fn check(database: Result<Database, StoreError>, identity: FileIdentity) -> Result<Self, StoreError> {
        let database = database?;
        let mut new = false;
        let txn = database.begin_write().map_err(store_error)?;
        {
            let mut table = txn.open_table(IDENTITY_TABLE).map_err(store_error)?;
            for (key, expected) in [("format", identity.format), ("mark", identity.fingerprint)] {
                let found = table.get(key).map_err(store_error)?.map(|value| value.value());
                match found {
                    Some(found) if found != expected => return Err(StoreError::Foreign),
                    Some(_) => {}
                    None => {
                        new = true;
                        table.insert(key, expected).map_err(store_error)?;
                    }
                }
            }
        }
        txn.commit().map_err(store_error)?;
        Ok(Self { database, new, quarantine_reason: None })
    }

    /// Returns up to `max` rows of a table, starting at a key.
    ///
    /// # Errors
    ///
    /// The file is corrupt, or the operating system reports an error.
    pub fn read(&self, table: &str, first_key: u64, max: usize) -> Result<Vec<(u64, Vec<u8>)>, StoreError> {
        catch_panics(|| {
            let txn = self.database.begin_read().map_err(store_error)?;
            let table = match txn.open_table(TableDefinition::<u64, &[u8]>::new(table)) {
                Ok(table) => table,
                Err(redb::TableError::TableDoesNotExist(_)) => return Ok(Vec::new()),
                Err(error) => return Err(store_error(error)),
            };
            let rows = table.range(first_key..).map_err(store_error)?.take(max);
            rows.map(|row| row.map(|(key, value)| (key.value(), value.value().to_vec())).map_err(store_error))
                .collect()
        })
    }

    /// Writes rows, either all or none; they are on the disk when this returns.
    ///
    /// # Errors
    ///
    /// The file is corrupt, or the operating system reports an error. The file must not be used after that.
    pub fn write(&self, rows: &[Row]) -> Result<(), StoreError> {
        catch_panics(|| {
            let txn = self.database.begin_write().map_err(store_error)?;
            for table_rows in rows.chunk_by(|a, b| a.table == b.table) {
                let table = TableDefinition::<u64, &[u8]>::new(table_rows[0].table);
                let mut table = txn.open_table(table).map_err(store_error)?;
                for row in table_rows {
                    match &row.value {
                        Some(value) => drop(table.insert(row.key, value.as_slice()).map_err(store_error)?),
                        None => drop(table.remove(row.key).map_err(store_error)?),
                    }
                }
            }
            txn.commit().map_err(store_error)
        })
    }
}

fn builder() -> Builder {
    let mut builder = Builder::new();
    builder.set_cache_size(CACHE_BYTES).set_check_integrity_on_open(true);
    builder
}

/// Returns the path to which an unreadable file is moved. An earlier file there is replaced.
fn quarantine_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(".bad");
    name.into()
}

/// Reports a panic as a corrupt file: reading a badly damaged file can panic.
fn catch_panics<T>(work: impl FnOnce() -> Result<T, StoreError>) -> Result<T, StoreError> {
    catch_unwind(AssertUnwindSafe(work))
        .unwrap_or_else(|_| Err(StoreError::Corrupt("the database library panicked".to_owned())))
}
