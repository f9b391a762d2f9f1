//! What lasts, on a disk that may lie.
//!
//! Two files take turns; each is written whole beside its place, synced and renamed over it, and ends with a checksum. Of those
//! that are sound the newer one counts: a torn one costs one step, which its conductor tells again. What neither file has is
//! looked up: which processes run is never believed from here.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use spurdrum_rollout::version::Hash;

use crate::hand::Record;

/// Files that are longer are no record.
const LONGEST: u64 = 1 << 20;

#[derive(Serialize, Deserialize)]
struct Numbered {
    number: u64,
    record: Record,
}

/// Where the record is.
#[derive(Debug)]
pub struct RecordStore {
    folder: PathBuf,
    number: u64,
}

/// Writes a file whole, or leaves what was there.
///
/// # Errors
///
/// The system refuses; nothing has changed then.
pub fn write_atomically(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut beside = path.as_os_str().to_owned();
    beside.push(".new");
    let beside = PathBuf::from(beside);
    let written = (|| {
        let mut file = File::create(&beside)?;
        file.write_all(bytes)?;
        file.sync_all()
    })();
    let renamed = written.and_then(|()| fs::rename(&beside, path));
    if renamed.is_err() {
        let _ = fs::remove_file(&beside);
        return renamed;
    }
    // The name lasts with its folder.
    path.parent().map_or(Ok(()), |folder| File::open(folder)?.sync_all())
}

fn read(path: &Path) -> io::Result<Option<Numbered>> {
    let about = match fs::metadata(path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        about => about?,
    };
    let unsound = || io::Error::new(io::ErrorKind::InvalidData, "it is torn, or no record");
    if about.len() > LONGEST {
        return Err(unsound());
    }
    let text = fs::read_to_string(path)?;
    let (json, sum) = text.trim_end().rsplit_once('\n').ok_or_else(unsound)?;
    if Hash::of(json.as_bytes()).text() != sum {
        return Err(unsound());
    }
    serde_json::from_str(json).map(Some).map_err(|_| unsound())
}

impl RecordStore {
    /// In this folder, with the newest record that is sound; and what is wrong with the others.
    #[must_use]
    pub fn open(folder: &Path) -> (Self, Option<Record>, Vec<String>) {
        let mut shelf = Self { folder: folder.to_owned(), number: 0 };
        let (mut newest, mut wrong): (Option<Numbered>, Vec<String>) = (None, Vec::new());
        for turn in 0..2 {
            let path = shelf.path(turn);
            match read(&path) {
                Ok(Some(found)) if newest.as_ref().is_none_or(|newest| newest.number < found.number) => {
                    newest = Some(found);
                }
                Ok(_) => {}
                Err(error) => wrong.push(format!("{}: {error}", path.display())),
            }
        }
        shelf.number = newest.as_ref().map_or(0, |newest| newest.number);
        (shelf, newest.map(|newest| newest.record), wrong)
    }

    fn path(&self, turn: u64) -> PathBuf {
        self.folder.join(format!("record.{turn}"))
    }

    /// Writes it. It is on the disk when this returns.
    ///
    /// # Errors
    ///
    /// The system refuses; the record that was there counts.
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
        let folder = std::env::temp_dir().join(format!("spurdrum-shelf-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("a folder");
        folder
    }

    fn record(crashes: u64) -> Record {
        Record { crashes, ..Record::default() }
    }

    /// Whatever is cut off or spoilt of either file, wherever: the newest that is whole counts, and none is made up.
    #[test]
    fn a_torn_record_costs_one_step_and_nothing_is_made_up() {
        let folder = folder("torn");
        let (mut shelf, none, _) = RecordStore::open(&folder);
        assert_eq!(none, None);
        (1..=5).for_each(|n| shelf.write(&record(n)).expect("written"));
        let newest = fs::read(shelf.path(1)).expect("there");
        let found = || RecordStore::open(&folder).1.map(|record| record.crashes);
        assert_eq!(found(), Some(5));
        for cut in 0..newest.len() - 1 {
            fs::write(shelf.path(1), &newest[..cut]).expect("torn");
            assert_eq!(found(), Some(4), "cut at {cut}");
            let mut spoilt = newest.clone();
            spoilt[cut] ^= 1;
            fs::write(shelf.path(1), spoilt).expect("spoilt");
            assert_eq!(found(), Some(4), "spoilt at {cut}");
        }
        // It goes on from there, and the next one counts again.
        let (mut shelf, _, wrong) = RecordStore::open(&folder);
        assert_eq!(wrong.len(), 1);
        shelf.write(&record(6)).expect("written");
        assert_eq!(found(), Some(6));
        fs::write(shelf.path(0), b"").expect("spoilt");
        fs::write(shelf.path(1), b"").expect("spoilt");
        assert_eq!(found(), None);
        fs::remove_dir_all(folder).expect("removed");
    }

    #[test]
    fn what_cannot_be_written_leaves_what_was_there() {
        let folder = folder("refused");
        let (mut shelf, ..) = RecordStore::open(&folder);
        shelf.write(&record(1)).expect("written");
        // Where the next one is to be made, something else is.
        fs::create_dir_all(folder.join("record.0.new")).expect("in the way");
        shelf.write(&record(2)).expect_err("refused");
        assert_eq!(RecordStore::open(&folder).1, Some(record(1)));
        fs::remove_dir_all(folder.join("record.0.new")).expect("out of the way");
        shelf.write(&record(3)).expect("written");
        assert_eq!(RecordStore::open(&folder).1, Some(record(3)));
        fs::remove_dir_all(folder).expect("removed");
    }
}
