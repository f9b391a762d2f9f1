//! Files that are torn, broken, foreign, in use or on a disk that refuses.

use std::io::{Error, ErrorKind};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};

use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, RngSeed};
use redb::StorageBackend;
use spurdrum_store::{FileIdentity, Row, StoreError, StoreFile};

const ABOUT: FileIdentity = FileIdentity { format: 1, fingerprint: 7 };
const TABLE: &str = "things";

/// A disk that keeps what was synced, and of what was written since as much as chance has it.
#[derive(Debug, Default)]
struct Image {
    now: Vec<u8>,
    synced: Vec<u8>,
    since: Vec<(u64, Vec<u8>)>,
    /// Operations until it refuses everything.
    left: Option<usize>,
}

#[derive(Clone, Debug, Default)]
struct Torn(Arc<Mutex<Image>>);

impl Torn {
    fn with<T>(&self, work: impl FnOnce(&mut Image) -> T) -> Result<T, Error> {
        let mut image = self.0.lock().expect("not poisoned");
        match &mut image.left {
            Some(0) => return Err(Error::from(ErrorKind::StorageFull)),
            Some(left) => *left -= 1,
            None => {}
        }
        Ok(work(&mut image))
    }

    /// The disk after the power failed.
    fn crash(&self, random: &mut fastrand::Rng) -> Self {
        let image = self.0.lock().expect("not poisoned");
        let mut now = image.synced.clone();
        for (at, bytes) in &image.since {
            // Sectors of 512 bytes are whole or not written.
            for (n, sector) in bytes.chunks(512).enumerate() {
                let at = *at as usize + n * 512;
                if random.bool() {
                    now.resize(now.len().max(at + sector.len()), 0);
                    now[at..at + sector.len()].copy_from_slice(sector);
                }
            }
        }
        let len = now.len().max(image.now.len());
        now.resize(len, 0);
        Self(Arc::new(Mutex::new(Image { synced: now.clone(), now, since: Vec::new(), left: None })))
    }
}

impl StorageBackend for Torn {
    fn len(&self) -> Result<u64, Error> {
        self.with(|image| image.now.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), Error> {
        let read = self.with(|image| {
            let part = image.now.get(offset as usize..offset as usize + out.len());
            part.map(|part| out.copy_from_slice(part))
        })?;
        read.ok_or_else(|| Error::from(ErrorKind::UnexpectedEof))
    }

    fn set_len(&self, len: u64) -> Result<(), Error> {
        self.with(|image| image.now.resize(len as usize, 0))
    }

    fn sync_data(&self) -> Result<(), Error> {
        self.with(|image| {
            image.synced = image.now.clone();
            image.since.clear();
        })
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), Error> {
        self.with(|image| {
            image.now[offset as usize..offset as usize + data.len()].copy_from_slice(data);
            image.since.push((offset, data.to_vec()));
        })
    }
}

fn row(key: u64, value: Option<u64>) -> Row {
    Row { table: TABLE, key, value: value.map(|value| value.to_le_bytes().to_vec()) }
}

fn all(disk: &StoreFile) -> Vec<(u64, u64)> {
    let rows = disk.read(TABLE, 0, usize::MAX).expect("read");
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

    /// After a crash at any operation the file holds a state between two batches: the last that was told to be written, or
    /// the one under way.
    #[test]
    fn a_crash_leaves_whole_batches(seed in any::<u64>(), left in 0..400_usize) {
        let mut random = fastrand::Rng::with_seed(seed);
        let torn = Torn::default();
        let disk = StoreFile::open_backend(torn.clone(), ABOUT).expect("opened");
        torn.0.lock().expect("not poisoned").left = Some(left);
        let mut states = vec![std::collections::BTreeMap::new()];
        let mut told = 0;
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
            if disk.write(&rows).is_err() {
                break;
            }
            told = batch as usize + 1;
        }
        let after = torn.crash(&mut random);
        drop(disk);
        let disk = StoreFile::open_backend(after, ABOUT).expect("it is sound");
        let found: std::collections::BTreeMap<u64, u64> = all(&disk).into_iter().collect();
        prop_assert!(states[told..].iter().take(2).any(|state| *state == found), "{told}: {found:?}");
    }

    /// Whatever is changed in a file, it is read or put aside.
    #[test]
    fn a_spoilt_file_is_read_or_put_aside(at in any::<prop::sample::Index>(), bytes in proptest::collection::vec(any::<u8>(), 1..300)) {
        let path = path("spoilt");
        let disk = StoreFile::open(&path, ABOUT).expect("opened");
        disk.write(&(0..500).map(|n| row(n, Some(n))).collect::<Vec<_>>()).expect("written");
        drop(disk);
        let mut whole = std::fs::read(&path).expect("read");
        let at = at.index(whole.len());
        let end = (at + bytes.len()).min(whole.len());
        whole[at..end].copy_from_slice(&bytes[..end - at]);
        std::fs::write(&path, whole).expect("written");
        let disk = StoreFile::open(&path, ABOUT).expect("it can be used");
        let rows = disk.read(TABLE, 0, 1_000).expect("read");
        prop_assert_eq!(rows.len(), if disk.is_new() { 0 } else { 500 });
        disk.write(&[row(1, Some(2))]).expect("written");
    }
}

#[test]
fn what_is_no_database_or_anothers_is_put_aside_and_kept() {
    let path = path("aside");
    std::fs::write(&path, b"no database at all").expect("written");
    let disk = StoreFile::open(&path, ABOUT).expect("opened");
    assert!(
        matches!(disk.quarantine_reason(), Some(StoreError::Corrupt(_))),
        "{:?}",
        disk.quarantine_reason()
    );
    assert_eq!(std::fs::read(path.with_extension("redb.bad")).expect("kept"), b"no database at all");
    disk.write(&[row(1, Some(1))]).expect("written");
    drop(disk);
    let again = StoreFile::open(&path, ABOUT).expect("opened");
    assert!(again.quarantine_reason().is_none() && !again.is_new() && all(&again) == [(1, 1)]);
    drop(again);
    for other in [FileIdentity { format: 2, ..ABOUT }, FileIdentity { fingerprint: 8, ..ABOUT }] {
        let disk = StoreFile::open(&path, other).expect("opened");
        assert_eq!((disk.quarantine_reason(), all(&disk)), (Some(&StoreError::Foreign), vec![]));
    }
}

#[test]
fn a_file_that_another_has_is_busy_until_it_lets_go() {
    let path = path("busy");
    let first = StoreFile::open(&path, ABOUT).expect("opened");
    assert_eq!(StoreFile::open(&path, ABOUT).err(), Some(StoreError::Busy));
    drop(first);
    assert!(StoreFile::open(&path, ABOUT).is_ok());
}

#[test]
fn a_folder_that_is_not_there_is_a_refusal() {
    let path = path("nowhere").with_file_name("none").join("state.redb");
    assert!(matches!(StoreFile::open(&path, ABOUT).err(), Some(StoreError::Io(_))));
}

#[test]
fn a_full_disk_is_a_refusal_and_what_was_written_stays() {
    let torn = Torn::default();
    let disk = StoreFile::open_backend(torn.clone(), ABOUT).expect("opened");
    disk.write(&[row(1, Some(1))]).expect("written");
    torn.0.lock().expect("not poisoned").left = Some(0);
    assert!(matches!(disk.write(&[row(2, Some(2))]), Err(StoreError::Io(_))));
    drop(disk);
    torn.0.lock().expect("not poisoned").left = None;
    let again = StoreFile::open_backend(torn, ABOUT).expect("opened");
    assert_eq!(all(&again), [(1, 1)]);
}
