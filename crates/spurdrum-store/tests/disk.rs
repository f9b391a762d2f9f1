//! Files that are incompletely written, corrupt, foreign, in use or on a disk that reports errors.

use std::io::{Error, ErrorKind};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};

use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, RngSeed};
use redb::StorageBackend;
use spurdrum_store::{FileIdentity, Row, StoreError, StoreFile};

const IDENTITY: FileIdentity = FileIdentity { format: 1, fingerprint: 7 };
const TABLE: &str = "things";

/// A disk that survives a power failure with all synced data and a random part of what was written since.
#[derive(Debug, Default)]
struct Image {
    content: Vec<u8>,
    synced: Vec<u8>,
    /// The writes since the last sync, each with its offset.
    unsynced: Vec<(u64, Vec<u8>)>,
    /// The number of operations after which all others fail.
    operations_left: Option<usize>,
}

#[derive(Clone, Debug, Default)]
struct CrashDisk(Arc<Mutex<Image>>);

impl CrashDisk {
    fn with_image<T>(&self, work: impl FnOnce(&mut Image) -> T) -> Result<T, Error> {
        let mut image = self.0.lock().expect("not poisoned");
        match &mut image.operations_left {
            Some(0) => return Err(Error::from(ErrorKind::StorageFull)),
            Some(operations_left) => *operations_left -= 1,
            None => {}
        }
        Ok(work(&mut image))
    }

    /// Returns the disk after a power failure.
    fn crash(&self, random: &mut fastrand::Rng) -> Self {
        let image = self.0.lock().expect("not poisoned");
        let mut content = image.synced.clone();
        for (offset, bytes) in &image.unsynced {
            // A sector of 512 bytes is either written completely or not at all.
            for (n, sector) in bytes.chunks(512).enumerate() {
                let start = *offset as usize + n * 512;
                if random.bool() {
                    content.resize(content.len().max(start + sector.len()), 0);
                    content[start..start + sector.len()].copy_from_slice(sector);
                }
            }
        }
        let len = content.len().max(image.content.len());
        content.resize(len, 0);
        Self(Arc::new(Mutex::new(Image {
            synced: content.clone(),
            content,
            unsynced: Vec::new(),
            operations_left: None,
        })))
    }
}

impl StorageBackend for CrashDisk {
    fn len(&self) -> Result<u64, Error> {
        self.with_image(|image| image.content.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), Error> {
        let copied = self.with_image(|image| {
            let part = image.content.get(offset as usize..offset as usize + out.len());
            part.map(|part| out.copy_from_slice(part))
        })?;
        copied.ok_or_else(|| Error::from(ErrorKind::UnexpectedEof))
    }

    fn set_len(&self, len: u64) -> Result<(), Error> {
        self.with_image(|image| image.content.resize(len as usize, 0))
    }

    fn sync_data(&self) -> Result<(), Error> {
        self.with_image(|image| {
            image.synced = image.content.clone();
            image.unsynced.clear();
        })
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), Error> {
        self.with_image(|image| {
            image.content[offset as usize..offset as usize + data.len()].copy_from_slice(data);
            image.unsynced.push((offset, data.to_vec()));
        })
    }
}

fn row(key: u64, value: Option<u64>) -> Row {
    Row { table: TABLE, key, value: value.map(|value| value.to_le_bytes().to_vec()) }
}

fn all_rows(file: &StoreFile) -> Vec<(u64, u64)> {
    let rows = file.read(TABLE, 0, usize::MAX).expect("read");
    rows.into_iter().map(|(key, value)| (key, u64::from_le_bytes(value.try_into().expect("8")))).collect()
}

fn path(name: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("made");
    folder.join("state.redb")
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 60,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(4),
        ..ProptestConfig::default()
    })]

    /// After a crash at any operation the file holds the state after a whole batch: the last one whose write
    /// was confirmed, or the one in progress.
    #[test]
    fn a_crash_leaves_whole_batches(seed in any::<u64>(), operations in 0..400_usize) {
        let mut random = fastrand::Rng::with_seed(seed);
        let crash_disk = CrashDisk::default();
        let file = StoreFile::open_backend(crash_disk.clone(), IDENTITY).expect("opened");
        crash_disk.0.lock().expect("not poisoned").operations_left = Some(operations);
        let mut states = vec![std::collections::BTreeMap::new()];
        let mut confirmed = 0;
        for batch in 0..40_u64 {
            let rows: Vec<Row> = (0..random.u64(1..30))
                .map(|_| row(random.u64(0..50), (random.u8(0..4) > 0).then_some(batch)))
                .collect();
            let mut state = states[batch as usize].clone();
            for row in &rows {
                match &row.value {
                    Some(_) => drop(state.insert(row.key, batch)),
                    None => drop(state.remove(&row.key)),
                }
            }
            states.push(state);
            if file.write(&rows).is_err() {
                break;
            }
            confirmed = batch as usize + 1;
        }
        let after_crash = crash_disk.crash(&mut random);
        drop(file);
        let file = StoreFile::open_backend(after_crash, IDENTITY).expect("the file is valid");
        let found: std::collections::BTreeMap<u64, u64> = all_rows(&file).into_iter().collect();
        prop_assert!(states[confirmed..].iter().take(2).any(|state| *state == found), "{confirmed}: {found:?}");
    }

    /// A file that was changed in any way is either read or moved aside.
    #[test]
    fn a_damaged_file_is_read_or_moved_aside(position in any::<prop::sample::Index>(), bytes in proptest::collection::vec(any::<u8>(), 1..300)) {
        let path = path("damaged");
        let file = StoreFile::open(&path, IDENTITY).expect("opened");
        file.write(&(0..500).map(|n| row(n, Some(n))).collect::<Vec<_>>()).expect("written");
        drop(file);
        let mut content = std::fs::read(&path).expect("read");
        let start = position.index(content.len());
        let end = (start + bytes.len()).min(content.len());
        content[start..end].copy_from_slice(&bytes[..end - start]);
        std::fs::write(&path, content).expect("written");
        let file = StoreFile::open(&path, IDENTITY).expect("opened");
        let rows = file.read(TABLE, 0, 1_000).expect("read");
        prop_assert_eq!(rows.len(), if file.is_new() { 0 } else { 500 });
        file.write(&[row(1, Some(2))]).expect("written");
    }
}

#[test]
fn a_file_that_is_not_a_database_or_is_foreign_is_moved_aside_and_kept() {
    let path = path("quarantine");
    std::fs::write(&path, b"no database at all").expect("written");
    let file = StoreFile::open(&path, IDENTITY).expect("opened");
    assert!(
        matches!(file.quarantine_reason(), Some(StoreError::Corrupt(_))),
        "{:?}",
        file.quarantine_reason()
    );
    assert_eq!(std::fs::read(path.with_extension("redb.bad")).expect("kept"), b"no database at all");
    file.write(&[row(1, Some(1))]).expect("written");
    drop(file);
    let again = StoreFile::open(&path, IDENTITY).expect("opened");
    assert!(again.quarantine_reason().is_none() && !again.is_new() && all_rows(&again) == [(1, 1)]);
    drop(again);
    for other in [FileIdentity { format: 2, ..IDENTITY }, FileIdentity { fingerprint: 8, ..IDENTITY }] {
        let file = StoreFile::open(&path, other).expect("opened");
        assert_eq!((file.quarantine_reason(), all_rows(&file)), (Some(&StoreError::Foreign), vec![]));
    }
}

#[test]
fn a_file_is_busy_while_another_has_it_open() {
    let path = path("busy");
    let first = StoreFile::open(&path, IDENTITY).expect("opened");
    assert_eq!(StoreFile::open(&path, IDENTITY).err(), Some(StoreError::Busy));
    drop(first);
    assert!(StoreFile::open(&path, IDENTITY).is_ok());
}

#[test]
fn a_missing_folder_is_an_io_error() {
    let path = path("nowhere").with_file_name("none").join("state.redb");
    assert!(matches!(StoreFile::open(&path, IDENTITY).err(), Some(StoreError::Io(_))));
}

#[test]
fn a_full_disk_is_an_io_error_and_earlier_rows_stay() {
    let crash_disk = CrashDisk::default();
    let file = StoreFile::open_backend(crash_disk.clone(), IDENTITY).expect("opened");
    file.write(&[row(1, Some(1))]).expect("written");
    crash_disk.0.lock().expect("not poisoned").operations_left = Some(0);
    assert!(matches!(file.write(&[row(2, Some(2))]), Err(StoreError::Io(_))));
    drop(file);
    crash_disk.0.lock().expect("not poisoned").operations_left = None;
    let again = StoreFile::open_backend(crash_disk, IDENTITY).expect("opened");
    assert_eq!(all_rows(&again), [(1, 1)]);
}
