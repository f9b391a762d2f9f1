//! The thread that has the file, and what ties it to the event loop.

use std::cell::RefCell;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::sync::mpsc;

use tokio::sync::mpsc as async_mpsc;
use tokio::time::{sleep_until, timeout_at, Instant};

use crate::disk::{Row, StoreError, StoreFile};
use crate::pace::{Action, Event, Settings, WritePacing};

/// Rows of an earlier life that are taken in at once: the event loop goes on between two chunks.
const CHUNK: usize = 512;

/// Who has the state that is kept.
pub trait StoreWriter {
    /// The tables, in the order in which they are read.
    const TABLES: &'static [&'static str];

    /// Rows that wait to be written.
    fn unwritten(&self) -> usize;

    /// Rows to write next, so many at the most or a few more.
    fn take_rows(&mut self, most: usize) -> Vec<Row>;

    /// These could not be written.
    fn requeue_rows(&mut self, rows: Vec<Row>);

    /// What an earlier life wrote, a part at a time.
    fn restore_rows(&mut self, table: &'static str, rows: Vec<(u64, Vec<u8>)>);

    /// The file is empty, and was not before: all is to be written again.
    fn queue_rewrite(&mut self);

    /// Something has happened that operators should see.
    fn log_warning(&self, what: &str);
}

enum Command {
    Open,
    Load(&'static [&'static str]),
    Write(Vec<Row>),
}

enum Told {
    Opened { fresh: bool, aside: Option<StoreError> },
    Rows(&'static str, Vec<(u64, Vec<u8>)>),
    Loaded,
    Written(usize),
    Failed(StoreError, Vec<Row>),
}

/// How the store does, for operators.
#[derive(Default)]
pub struct Status {
    /// Batches written, rows in them, and troubles.
    pub batches: u64,
    /// See `batches`.
    pub rows: u64,
    /// See `batches`.
    pub failures: u64,
    /// Whether it can be written to, and whether an earlier life's rows are in.
    pub open: bool,
    /// See `open`.
    pub loaded: bool,
    /// The last trouble.
    pub last_error: Option<StoreError>,
}

impl std::fmt::Display for Status {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let state = match (self.open, self.loaded) {
            (true, _) => "open",
            (false, true) => "closed",
            (false, false) => "not yet read",
        };
        write!(f, "store {state}, batches {}, rows {}, troubles {}", self.batches, self.rows, self.failures)?;
        match &self.last_error {
            Some(last) => write!(f, ", the last: {last}"),
            None => Ok(()),
        }
    }
}

/// The thread's work: one command at a time, until nobody listens.
fn work(
    mut open: impl FnMut() -> Result<StoreFile, StoreError>,
    commands: &mpsc::Receiver<Command>,
    tell: &async_mpsc::Sender<Told>,
) {
    let mut disk = None;
    while let Ok(command) = commands.recv() {
        let (done, rows) = match command {
            Command::Open => {
                // Guards against a file that this process itself still has.
                disk = None;
                let opened = open().map(|opened| {
                    let told =
                        Told::Opened { fresh: opened.is_new(), aside: opened.quarantine_reason().cloned() };
                    disk = Some(opened);
                    told
                });
                (opened, Vec::new())
            }
            Command::Load(tables) => (load(disk.as_ref(), tables, tell), Vec::new()),
            Command::Write(rows) => (written(disk.as_ref(), &rows), rows),
        };
        let told = done.unwrap_or_else(|why| {
            disk = None;
            Told::Failed(why, rows)
        });
        if tell.blocking_send(told).is_err() {
            return;
        }
    }
}

fn closed() -> StoreError {
    StoreError::Io("it is not open".to_owned())
}

fn load(
    disk: Option<&StoreFile>,
    tables: &[&'static str],
    tell: &async_mpsc::Sender<Told>,
) -> Result<Told, StoreError> {
    let disk = disk.ok_or_else(closed)?;
    for table in tables {
        let mut from = Some(0);
        while let Some(at) = from {
            let rows = disk.read(table, at, CHUNK)?;
            from = rows.last().filter(|_| rows.len() == CHUNK).and_then(|(key, _)| key.checked_add(1));
            // Where nobody listens, the thread ends with the next answer.
            let _ = tell.blocking_send(Told::Rows(table, rows));
        }
    }
    Ok(Told::Loaded)
}

fn written(disk: Option<&StoreFile>, rows: &[Row]) -> Result<Told, StoreError> {
    disk.ok_or_else(closed)?.write(rows).map(|()| Told::Written(rows.len()))
}

/// Keeps what `keeper` has in a file that `open` opens, until `stop` is done and what was left is written, or the time for
/// that is over.
///
/// # Errors
///
/// There is no thread to be had.
pub async fn run_store<K: StoreWriter>(
    open: impl FnMut() -> Result<StoreFile, StoreError> + Send + 'static,
    settings: Settings,
    keeper: Rc<RefCell<K>>,
    status: Rc<RefCell<Status>>,
    mut chance: impl FnMut() -> f64,
    stop: impl Future<Output = ()>,
) -> std::io::Result<()> {
    // One command is out at a time, and few answers wait.
    let (command, commands) = mpsc::sync_channel(1);
    let (tell, mut told) = async_mpsc::channel(2);
    std::thread::Builder::new().name("store".into()).spawn(move || work(open, &commands, &tell))?;
    let begun = Instant::now();
    let mut pace = WritePacing::new(settings);
    let mut stop = pin!(stop);
    let mut ending = false;
    loop {
        let unwritten = keeper.borrow().unwritten();
        let next = match pace.next_action(begun.elapsed(), unwritten) {
            Action::Open => Some(Command::Open),
            Action::Load => Some(Command::Load(K::TABLES)),
            Action::Write(most) => Some(Command::Write(keeper.borrow_mut().take_rows(most))),
            Action::Stop => break,
            Action::Wait(until) => {
                let sleep = async {
                    match until {
                        Some(until) => sleep_until(begun + until).await,
                        None => std::future::pending().await,
                    }
                };
                tokio::select! {
                    () = &mut stop, if !ending => {
                        ending = true;
                        pace.handle(begun.elapsed(), Event::Stopping, chance());
                    }
                    answer = told.recv() => {
                        // The thread ends only with this.
                        let Some(answer) = answer else { return Ok(()) };
                        if let Some(event) = heard(answer, &keeper, &status) {
                            pace.handle(begun.elapsed(), event, chance());
                        }
                    }
                    () = sleep => {}
                }
                None
            }
        };
        {
            let mut status = status.borrow_mut();
            (status.open, status.loaded) = (pace.is_open(), pace.is_loaded());
        }
        if let Some(next) = next {
            // One is out at a time, so this neither waits nor fails while the thread lives.
            if command.try_send(next).is_err() {
                return Ok(());
            }
        }
    }
    // The next life can open it once the thread has closed it; one that hangs is left behind.
    drop(command);
    let closed = async { while told.recv().await.is_some() {} };
    let _ = timeout_at(begun + pace.flush_deadline().unwrap_or_default(), closed).await;
    Ok(())
}

fn heard<K: StoreWriter>(told: Told, keeper: &RefCell<K>, status: &RefCell<Status>) -> Option<Event> {
    let mut status = status.borrow_mut();
    match told {
        Told::Opened { fresh, aside } => {
            if let Some(why) = aside {
                keeper.borrow().log_warning(&format!("the file was put aside, and is begun anew: {why}"));
                status.last_error = Some(why);
            }
            // Before it was loaded, nothing of this life has been written.
            if fresh && status.loaded {
                keeper.borrow_mut().queue_rewrite();
            }
            Some(Event::Opened)
        }
        Told::Rows(table, rows) => {
            keeper.borrow_mut().restore_rows(table, rows);
            None
        }
        Told::Loaded => Some(Event::Loaded),
        Told::Written(rows) => {
            status.batches += 1;
            status.rows += rows as u64;
            Some(Event::Written)
        }
        Told::Failed(why, rows) => {
            status.failures += 1;
            // Guards against a line for each try.
            if status.last_error.as_ref() != Some(&why) {
                keeper.borrow().log_warning(&format!("the file can't be used: {why}"));
            }
            status.last_error = Some(why);
            keeper.borrow_mut().requeue_rows(rows);
            Some(Event::Failed)
        }
    }
}
