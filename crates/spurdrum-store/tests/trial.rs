//! The store on a disk that fails on command.

use std::path::PathBuf;

use spurdrum_store::{FileIdentity, Row, StoreError, StoreFile};

const ABOUT: FileIdentity = FileIdentity { format: 1, fingerprint: 7 };

struct Place {
    path: PathBuf,
    says: PathBuf,
}

impl Place {
    fn new(name: &str) -> Self {
        let at = |what: &str| {
            std::env::temp_dir().join(format!("spurdrum-trial-{name}-{what}-{}", std::process::id()))
        };
        let place = Self { path: at("file"), says: at("says") };
        let _ = (std::fs::remove_file(&place.path), std::fs::remove_file(&place.says));
        place
    }

    fn says(&self, text: &str) {
        std::fs::write(&self.says, text).expect("written");
    }

    fn open(&self) -> Result<StoreFile, StoreError> {
        StoreFile::open_with_faults(&self.path, ABOUT, &self.says)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = (std::fs::remove_file(&self.path), std::fs::remove_file(&self.says));
    }
}

fn put(disk: &StoreFile, key: u64) -> Result<(), StoreError> {
    disk.write(&[Row { table: "things", key, value: Some(vec![key as u8; 600]) }])
}

fn keys(disk: &StoreFile) -> Vec<u64> {
    disk.read("things", 0, 1000).expect("reads").into_iter().map(|(key, _)| key).collect()
}

#[test]
fn a_disk_that_is_full_or_does_not_sync_refuses_and_what_was_there_stays() {
    for ill in ["full", "unsynced"] {
        let place = Place::new(ill);
        let disk = place.open().expect("opens");
        put(&disk, 1).expect("written");
        place.says(ill);
        assert!(matches!(put(&disk, 2), Err(StoreError::Io(_))), "{ill}");
        drop(disk);
        assert!(matches!(place.open(), Err(StoreError::Io(_))), "{ill}");
        place.says("");
        let disk = place.open().expect("opens again");
        assert!(disk.quarantine_reason().is_none());
        assert_eq!(keys(&disk)[..1], [1], "{ill}");
        put(&disk, 3).expect("written");
    }
}

#[test]
fn a_disk_that_forgets_shows_what_it_was_given_until_its_process_ends() {
    let place = Place::new("forgets");
    let disk = place.open().expect("opens");
    put(&disk, 1).expect("written");
    place.says("forgets");
    for key in 2..200 {
        put(&disk, key).expect("it says so");
    }
    assert_eq!(keys(&disk).len(), 199);
    // A process that is killed closes nothing.
    let copy = std::fs::read(&place.path).expect("there");
    drop(disk);
    std::fs::write(&place.path, copy).expect("put back");
    place.says("");
    let disk = place.open().expect("opens again");
    assert!(disk.quarantine_reason().is_none(), "{:?}", disk.quarantine_reason());
    assert_eq!(keys(&disk), [1]);
}
