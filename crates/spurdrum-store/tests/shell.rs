//! State kept on disks that are slow to open, refuse, lose all or hang: the loop goes on, and in the end all is written.

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

const ABOUT: FileIdentity = FileIdentity { format: 1, fingerprint: 7 };
const TABLE: &str = "things";

#[derive(Default)]
struct Things {
    now: BTreeMap<u64, u8>,
    dirty: BTreeSet<u64>,
    restored: usize,
    rewritten: usize,
}

impl Things {
    fn set(&mut self, key: u64, value: u8) {
        self.now.insert(key, value);
        self.dirty.insert(key);
    }
}

impl StoreWriter for Things {
    const TABLES: &'static [&'static str] = &[TABLE];

    fn unwritten(&self) -> usize {
        self.dirty.len()
    }

    fn take_rows(&mut self, most: usize) -> Vec<Row> {
        let keys: Vec<u64> = self.dirty.iter().copied().take(most).collect();
        let row = |key: &u64| Row { table: TABLE, key: *key, value: self.now.get(key).map(|v| vec![*v]) };
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
            self.now.entry(key).or_insert(value[0]);
        }
    }

    fn queue_rewrite(&mut self) {
        self.rewritten += 1;
        self.dirty.extend(self.now.keys());
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

struct Life {
    things: Rc<RefCell<Things>>,
    status: Rc<RefCell<Status>>,
}

/// Plays one life on this way of opening.
fn life(
    settings: Settings,
    open: impl FnMut() -> Result<StoreFile, StoreError> + Send + 'static,
    plays: impl AsyncFnOnce(&Life),
) -> Life {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("built");
    let life = Life { things: Rc::default(), status: Rc::default() };
    let (end, ends) = oneshot::channel::<()>();
    let (things, status) = (Rc::clone(&life.things), Rc::clone(&life.status));
    runtime.block_on(async {
        let kept = run_store(open, settings, things, status, || 0.5, async { drop(ends.await) });
        let played = async {
            plays(&life).await;
            let _ = end.send(());
        };
        tokio::join!(kept, played).0.expect("a thread");
    });
    life
}

async fn until(is: impl Fn() -> bool) {
    while !is() {
        yield_now().await;
    }
}

#[test]
fn what_one_life_wrote_the_next_one_has_and_its_own_goes_before() {
    let path = path("lives");
    let opens = |path: &PathBuf| {
        let path = path.clone();
        move || StoreFile::open(&path, ABOUT)
    };
    life(settings(), opens(&path), async |life| {
        (0..3_000).for_each(|key| life.things.borrow_mut().set(key, 1));
        until(|| life.status.borrow().loaded).await;
    });
    let next = life(settings(), opens(&path), async |life| {
        life.things.borrow_mut().set(7, 2);
        until(|| life.status.borrow().loaded).await;
    });
    assert_eq!((next.things.borrow().restored, next.things.borrow().now[&7]), (3_000, 2));
    let last = life(settings(), opens(&path), async |life| until(|| life.status.borrow().loaded).await);
    assert_eq!((last.things.borrow().now.len(), last.things.borrow().now[&7]), (3_000, 2));
}

#[test]
fn a_disk_that_refuses_now_and_then_gets_all_in_the_end() {
    let path = path("refuses");
    let tries = Arc::new(AtomicUsize::new(0));
    let (counted, of) = (Arc::clone(&tries), path.clone());
    let open = move || match counted.fetch_add(1, Ordering::Relaxed) {
        n if n % 3 != 2 => Err(StoreError::Io(format!("try {}", n % 3))),
        _ => StoreFile::open(&of, ABOUT),
    };
    let played = life(settings(), open, async |life| {
        (0..100).for_each(|key| life.things.borrow_mut().set(key, 1));
        until(|| life.things.borrow().unwritten() == 0 && life.status.borrow().batches > 0).await;
    });
    assert_eq!((tries.load(Ordering::Relaxed), played.status.borrow().failures), (3, 2));
    let disk = StoreFile::open(&path, ABOUT).expect("opened");
    assert_eq!(disk.read(TABLE, 0, 1_000).expect("read").len(), 100);
}

/// A disk in memory that can be told to refuse.
#[derive(Debug, Default)]
struct Switched {
    memory: InMemoryBackend,
    off: Arc<AtomicBool>,
}

impl Switched {
    fn on<T>(&self, work: impl FnOnce(&InMemoryBackend) -> Result<T, Error>) -> Result<T, Error> {
        if self.off.load(Ordering::Relaxed) {
            return Err(Error::other("switched off"));
        }
        work(&self.memory)
    }
}

impl StorageBackend for Switched {
    fn len(&self) -> Result<u64, Error> {
        self.on(StorageBackend::len)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), Error> {
        self.on(|memory| memory.read(offset, out))
    }

    fn set_len(&self, len: u64) -> Result<(), Error> {
        self.on(|memory| memory.set_len(len))
    }

    fn sync_data(&self) -> Result<(), Error> {
        self.on(StorageBackend::sync_data)
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), Error> {
        self.on(|memory| memory.write(offset, data))
    }
}

#[test]
fn where_the_file_is_lost_all_is_written_again() {
    let off = Arc::new(AtomicBool::new(false));
    let (switch, mut opened) = (Arc::clone(&off), 0);
    let open = move || {
        opened += 1;
        // The second file is an empty one: somebody has put another disk there.
        let off = if opened == 1 { Arc::clone(&switch) } else { Arc::default() };
        StoreFile::open_backend(Switched { memory: InMemoryBackend::new(), off }, ABOUT)
    };
    let played = life(settings(), open, async |life| {
        (0..100).for_each(|key| life.things.borrow_mut().set(key, 1));
        until(|| life.status.borrow().rows == 100).await;
        off.store(true, Ordering::Relaxed);
        life.things.borrow_mut().set(100, 1);
        until(|| life.status.borrow().rows >= 201).await;
    });
    let (status, things) = (played.status.borrow(), played.things.borrow());
    assert_eq!((status.failures, things.rewritten, status.rows), (1, 1, 201), "{status}");
    assert!(matches!(status.last_error, Some(StoreError::Io(_))));
}

#[test]
fn a_disk_that_hangs_holds_up_nobody() {
    let (release, held) = mpsc::channel::<()>();
    let open = move || {
        let _ = held.recv();
        Err(StoreError::Io("at last".into()))
    };
    let settings = Settings { max_flush_time: Duration::from_millis(20), ..settings() };
    let played = life(settings, open, async |life| {
        for key in 0..1_000 {
            life.things.borrow_mut().set(key, 1);
            yield_now().await;
        }
    });
    assert_eq!(played.things.borrow().unwritten(), 1_000);
    drop(release);
}
