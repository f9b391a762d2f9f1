//! The supervisor's durable state, stored so that a torn or lost write does no harm.
//!
//! Two files are written in turn. Each is written to a temporary file, synced and renamed into place, and ends
//! with a checksum. Of the intact files the one with the higher number counts: a torn file loses one step, which
//! the controller requests again. Which processes run is never taken from the record; the shell finds them by
//! searching.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use spurdrum_rollout::version::Hash;

use crate::hand::Record;

/// Larger files are not accepted as a record.
const MAX_FILE_BYTES: u64 = 1 << 20;

#[derive(Serialize, Deserialize)]
struct Numbered {
    number: u64,
    record: Record,
}

/// The two files of the record.
#[derive(Debug)]
pub struct RecordStore {
    folder: PathBuf,
    number: u64,
}

/// Replaces a file atomically: afterwards it has either the new content or the old one.
///
/// # Errors
///
/// An I/O operation fails; the file is unchanged then.
pub fn write_atomically(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut temporary = path.as_os_str().to_owned();
    temporary.push(".new");
    let temporary = PathBuf::from(temporary);
    let written = (|| {
        let mut file = File::create(&temporary)?;
        file.write_all(bytes)?;
        file.sync_all()
    })();
    let renamed = written.and_then(|()| fs::rename(&temporary, path));
    if renamed.is_err() {
        let _ = fs::remove_file(&temporary);
        return renamed;
    }
    // The rename is durable only once the folder has been synced.
    path.parent().map_or(Ok(()), |folder| File::open(folder)?.sync_all())
}

fn read(path: &Path) -> io::Result<Option<Numbered>> {
    let metadata = match fs::metadata(path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        metadata => metadata?,
    };
    let corrupt = || io::Error::new(io::ErrorKind::InvalidData, "the record is torn or corrupt");
    if metadata.len() > MAX_FILE_BYTES {
        return Err(corrupt());
    }
    let text = fs::read_to_string(path)?;
    let (json, checksum) = text.trim_end().rsplit_once('\n').ok_or_else(corrupt)?;
    if Hash::of(json.as_bytes()).text() != checksum {
        return Err(corrupt());
    }
    serde_json::from_str(json).map(Some).map_err(|_| corrupt())
}

impl RecordStore {
    /// Opens the record in this folder. Returns the newest intact record, if any, and a message for each file
    /// that is not intact.
    #[must_use]
    pub fn open(folder: &Path) -> (Self, Option<Record>, Vec<String>) {
        let mut store = Self { folder: folder.to_owned(), number: 0 };
        let (mut newest, mut errors): (Option<Numbered>, Vec<String>) = (None, Vec::new());
        for file in 0..2 {
            let path = store.path(file);
            match read(&path) {
                Ok(Some(found)) if newest.as_ref().is_none_or(|newest| newest.number < found.number) => {
                    newest = Some(found);
                }
                Ok(_) => {}
                Err(error) => errors.push(format!("{}: {error}", path.display())),
            }
        }
        store.number = newest.as_ref().map_or(0, |newest| newest.number);
        (store, newest.map(|newest| newest.record), errors)
    }

    fn path(&self, file: u64) -> PathBuf {
        self.folder.join(format!("record.{file}"))
    }

    /// Writes the record. It is durable when this returns.
    ///
    /// # Errors
    ///
    /// An I/O operation fails; the previous record is still in force.
    pub fn write(&mut self, record: &Record) -> io::Result<()> {
        let numbered = Numbered { number: self.number + 1, record: record.clone() };
        let json = serde_json::to_string(&numbered).map_err(io::Error::other)?;
        let text = format!("{json}\n{}\n", Hash::of(json.as_bytes()).text());
        write_atomically(&self.path(numbered.number % 2), text.as_bytes())?;
        self.number = numbered.number;
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn folder(name: &str) -> PathBuf {
        let folder = std::env::temp_dir().join(format!("spurdrum-record-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("a folder");
        folder
    }

    fn record(crashes: u64) -> Record {
        Record { crashes, ..Record::default() }
    }

    /// Truncates the newest file at every position, and flips a bit at every position: the newest intact record
    /// counts, and corrupt content is never accepted.
    #[test]
    fn a_torn_record_loses_one_step_and_corrupt_content_is_never_accepted() {
        let folder = folder("torn");
        let (mut store, none, _) = RecordStore::open(&folder);
        assert_eq!(none, None);
        (1..=5).for_each(|n| store.write(&record(n)).expect("written"));
        let newest = fs::read(store.path(1)).expect("there");
        let found = || RecordStore::open(&folder).1.map(|record| record.crashes);
        assert_eq!(found(), Some(5));
        for at in 0..newest.len() - 1 {
            fs::write(store.path(1), &newest[..at]).expect("truncated");
            assert_eq!(found(), Some(4), "truncated at {at}");
            let mut corrupt = newest.clone();
            corrupt[at] ^= 1;
            fs::write(store.path(1), corrupt).expect("corrupted");
            assert_eq!(found(), Some(4), "corrupted at {at}");
        }
        // Writing continues after the intact record, and the next record counts again.
        let (mut store, _, errors) = RecordStore::open(&folder);
        assert_eq!(errors.len(), 1);
        store.write(&record(6)).expect("written");
        assert_eq!(found(), Some(6));
        fs::write(store.path(0), b"").expect("emptied");
        fs::write(store.path(1), b"").expect("emptied");
        assert_eq!(found(), None);
        fs::remove_dir_all(folder).expect("removed");
    }

    #[test]
    fn a_failed_write_leaves_the_previous_record() {
        let folder = folder("refused");
        let (mut store, ..) = RecordStore::open(&folder);
        store.write(&record(1)).expect("written");
        // A folder in place of the temporary file makes the next write fail.
        fs::create_dir_all(folder.join("record.0.new")).expect("in the way");
        store.write(&record(2)).expect_err("refused");
        assert_eq!(RecordStore::open(&folder).1, Some(record(1)));
        fs::remove_dir_all(folder.join("record.0.new")).expect("out of the way");
        store.write(&record(3)).expect("written");
        assert_eq!(RecordStore::open(&folder).1, Some(record(3)));
        fs::remove_dir_all(folder).expect("removed");
    }
}
