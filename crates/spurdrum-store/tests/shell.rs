//! State stored on disks that are slow to open, report errors, lose everything or hang: the event loop
//! continues, and in the end everything is written.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::io::Error;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{mpsc, Arc};
use std::time::Duration;

use redb::{backends::InMemoryBackend, StorageBackend};
use spurdrum_store::{run_store, FileIdentity, Row, Settings, Status, StoreError, StoreFile, StoreWriter};
use tokio::sync::oneshot;
use tokio::task::yield_now;

const IDENTITY: FileIdentity = FileIdentity { format: 1, fingerprint: 7 };
const TABLE: &str = "things";

/// The state that is stored: values by key.
#[derive(Default)]
struct Values {
    current: BTreeMap<u64, u8>,
    dirty: BTreeSet<u64>,
    restored: usize,
    rewrites: usize,
}

impl Values {
    fn set(&mut self, key: u64, value: u8) {
        self.current.insert(key, value);
        self.dirty.insert(key);
    }
}

impl StoreWriter for Values {
    const TABLES: &'static [&'static str] = &[TABLE];

    fn unwritten(&self) -> usize {
        self.dirty.len()
    }

    fn take_rows(&mut self, max: usize) -> Vec<Row> {
        let keys: Vec<u64> = self.dirty.iter().copied().take(max).collect();
        let row = |key: &u64| Row { table: TABLE, key: *key, value: self.current.get(key).map(|v| vec![*v]) };
        let rows = keys.iter().map(row).collect();
        self.dirty.retain(|key| !keys.contains(key));
        rows
    }

    fn requeue_rows(&mut self, rows: Vec<Row>) {
        self.dirty.extend(rows.iter().map(|row| row.key));
    }

    fn restore_rows(&mut self, _: &'static str, rows: Vec<(u64, Vec<u8>)>) {
        self.restored += rows.len();
        for (key, value) in rows {
            self.current.entry(key).or_insert(value[0]);
        }
    }

    fn queue_rewrite(&mut self) {
        self.rewrites += 1;
        self.dirty.extend(self.current.keys());
    }

    fn log_warning(&self, _: &str) {}
}

fn path(name: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("made");
    folder.join("state.redb")
}

fn settings() -> Settings {
    let ms = Duration::from_millis;
    Settings {
        write_interval: ms(1),
        write_time_share: 1.0,
        min_retry_delay: ms(1),
        max_retry_delay: ms(2),
        max_flush_time: ms(60_000),
        ..Settings::default()
    }
}

/// One process of a node.
struct Process {
    values: Rc<RefCell<Values>>,
    status: Rc<RefCell<Status>>,
}

/// Runs a process that opens its file with `open` and does `actions`.
fn run_process(
    settings: Settings,
    open: impl FnMut() -> Result<StoreFile, StoreError> + Send + 'static,
    actions: impl AsyncFnOnce(&Process),
) -> Process {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("built");
    let process = Process { values: Rc::default(), status: Rc::default() };
    let (stop, stopped) = oneshot::channel::<()>();
    let (values, status) = (Rc::clone(&process.values), Rc::clone(&process.status));
    runtime.block_on(async {
        let store = run_store(open, settings, values, status, || 0.5, async { drop(stopped.await) });
        let actions = async {
            actions(&process).await;
            let _ = stop.send(());
        };
        tokio::join!(store, actions).0.expect("a thread");
    });
    process
}

async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        yield_now().await;
    }
}

#[test]
fn the_next_process_restores_the_rows_and_its_own_values_take_precedence() {
    let path = path("processes");
    let opener = |path: &PathBuf| {
        let path = path.clone();
        move || StoreFile::open(&path, IDENTITY)
    };
    run_process(settings(), opener(&path), async |process| {
        (0..3_000).for_each(|key| process.values.borrow_mut().set(key, 1));
        wait_until(|| process.status.borrow().loaded).await;
    });
    let next = run_process(settings(), opener(&path), async |process| {
        process.values.borrow_mut().set(7, 2);
        wait_until(|| process.status.borrow().loaded).await;
    });
    assert_eq!((next.values.borrow().restored, next.values.borrow().current[&7]), (3_000, 2));
    let last = run_process(settings(), opener(&path), async |process| {
        wait_until(|| process.status.borrow().loaded).await
    });
    assert_eq!((last.values.borrow().current.len(), last.values.borrow().current[&7]), (3_000, 2));
}

#[test]
fn everything_is_written_in_the_end_to_a_disk_that_fails_now_and_then() {
    let path = path("failures");
    let attempts = Arc::new(AtomicUsize::new(0));
    let (counter, file_path) = (Arc::clone(&attempts), path.clone());
    let open = move || match counter.fetch_add(1, Ordering::Relaxed) {
        n if n % 3 != 2 => Err(StoreError::Io(format!("attempt {}", n % 3))),
        _ => StoreFile::open(&file_path, IDENTITY),
    };
    let process = run_process(settings(), open, async |process| {
        (0..100).for_each(|key| process.values.borrow_mut().set(key, 1));
        wait_until(|| process.values.borrow().unwritten() == 0 && process.status.borrow().batches > 0).await;
    });
    assert_eq!((attempts.load(Ordering::Relaxed), process.status.borrow().failures), (3, 2));
    let file = StoreFile::open(&path, IDENTITY).expect("opened");
    assert_eq!(file.read(TABLE, 0, 1_000).expect("read").len(), 100);
}

/// A disk in memory that can be switched off, after which every operation fails.
#[derive(Debug, Default)]
struct SwitchableDisk {
    memory: InMemoryBackend,
    off: Arc<AtomicBool>,
}

impl SwitchableDisk {
    fn if_on<T>(&self, work: impl FnOnce(&InMemoryBackend) -> Result<T, Error>) -> Result<T, Error> {
        if self.off.load(Ordering::Relaxed) {
            return Err(Error::other("switched off"));
        }
        work(&self.memory)
    }
}

impl StorageBackend for SwitchableDisk {
    fn len(&self) -> Result<u64, Error> {
        self.if_on(StorageBackend::len)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), Error> {
        self.if_on(|memory| memory.read(offset, out))
    }

    fn set_len(&self, len: u64) -> Result<(), Error> {
        self.if_on(|memory| memory.set_len(len))
    }

    fn sync_data(&self) -> Result<(), Error> {
        self.if_on(StorageBackend::sync_data)
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), Error> {
        self.if_on(|memory| memory.write(offset, data))
    }
}

#[test]
fn everything_is_written_again_after_the_file_was_lost() {
    let off = Arc::new(AtomicBool::new(false));
    let (switch, mut opened) = (Arc::clone(&off), 0);
    let open = move || {
        opened += 1;
        // The second file is empty, as after a replacement of the disk.
        let off = if opened == 1 { Arc::clone(&switch) } else { Arc::default() };
        StoreFile::open_backend(SwitchableDisk { memory: InMemoryBackend::new(), off }, IDENTITY)
    };
    let process = run_process(settings(), open, async |process| {
        (0..100).for_each(|key| process.values.borrow_mut().set(key, 1));
        wait_until(|| process.status.borrow().rows == 100).await;
        off.store(true, Ordering::Relaxed);
        process.values.borrow_mut().set(100, 1);
        wait_until(|| process.status.borrow().rows >= 201).await;
    });
    let (status, values) = (process.status.borrow(), process.values.borrow());
    assert_eq!((status.failures, values.rewrites, status.rows), (1, 1, 201), "{status}");
    assert!(matches!(status.last_error, Some(StoreError::Io(_))));
}

#[test]
fn a_disk_that_hangs_does_not_block_the_event_loop() {
    let (release, released) = mpsc::channel::<()>();
    let open = move || {
        let _ = released.recv();
        Err(StoreError::Io("failed after the hang".into()))
    };
    let settings = Settings { max_flush_time: Duration::from_millis(20), ..settings() };
    let process = run_process(settings, open, async |process| {
        for key in 0..1_000 {
            process.values.borrow_mut().set(key, 1);
            yield_now().await;
        }
    });
    assert_eq!(process.values.borrow().unwritten(), 1_000);
    drop(release);
}
