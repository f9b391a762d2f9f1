//! The store on a simulated disk that fails on command.

use std::path::PathBuf;

use spurdrum_store::{FileIdentity, Row, StoreError, StoreFile};

const IDENTITY: FileIdentity = FileIdentity { format: 1, fingerprint: 7 };

/// The paths of the store's file and of the file that names the fault.
struct TestPaths {
    path: PathBuf,
    fault_path: PathBuf,
}

impl TestPaths {
    fn new(name: &str) -> Self {
        let path = |suffix: &str| {
            std::env::temp_dir().join(format!("spurdrum-trial-{name}-{suffix}-{}", std::process::id()))
        };
        let paths = Self { path: path("file"), fault_path: path("fault") };
        let _ = (std::fs::remove_file(&paths.path), std::fs::remove_file(&paths.fault_path));
        paths
    }

    fn set_fault(&self, text: &str) {
        std::fs::write(&self.fault_path, text).expect("written");
    }

    fn open(&self) -> Result<StoreFile, StoreError> {
        StoreFile::open_with_faults(&self.path, IDENTITY, &self.fault_path)
    }
}

impl Drop for TestPaths {
    fn drop(&mut self) {
        let _ = (std::fs::remove_file(&self.path), std::fs::remove_file(&self.fault_path));
    }
}

fn put(file: &StoreFile, key: u64) -> Result<(), StoreError> {
    file.write(&[Row { table: "things", key, value: Some(vec![key as u8; 600]) }])
}

fn keys(file: &StoreFile) -> Vec<u64> {
    file.read("things", 0, 1000).expect("reads").into_iter().map(|(key, _)| key).collect()
}

#[test]
fn a_disk_that_is_full_or_fails_to_sync_reports_errors_and_earlier_rows_stay() {
    for fault in ["full", "unsynced"] {
        let paths = TestPaths::new(fault);
        let file = paths.open().expect("opens");
        put(&file, 1).expect("written");
        paths.set_fault(fault);
        assert!(matches!(put(&file, 2), Err(StoreError::Io(_))), "{fault}");
        drop(file);
        assert!(matches!(paths.open(), Err(StoreError::Io(_))), "{fault}");
        paths.set_fault("");
        let file = paths.open().expect("opens again");
        assert!(file.quarantine_reason().is_none());
        assert_eq!(keys(&file)[..1], [1], "{fault}");
        put(&file, 3).expect("written");
    }
}

#[test]
fn a_forgetful_disk_presents_the_written_rows_until_its_process_ends() {
    let paths = TestPaths::new("forgets");
    let file = paths.open().expect("opens");
    put(&file, 1).expect("written");
    paths.set_fault("forgets");
    for key in 2..200 {
        put(&file, key).expect("confirmed");
    }
    assert_eq!(keys(&file).len(), 199);
    // The process is killed: the file stays as it is now, because it is not closed.
    let copy = std::fs::read(&paths.path).expect("exists");
    drop(file);
    std::fs::write(&paths.path, copy).expect("restored");
    paths.set_fault("");
    let file = paths.open().expect("opens again");
    assert!(file.quarantine_reason().is_none(), "{:?}", file.quarantine_reason());
    assert_eq!(keys(&file), [1]);
}
