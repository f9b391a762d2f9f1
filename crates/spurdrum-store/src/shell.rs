//! The thread that uses the file of the store, and its connection to the event loop.

use std::cell::RefCell;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::sync::mpsc;

use tokio::sync::mpsc as async_mpsc;
use tokio::time::{sleep_until, timeout_at, Instant};

use crate::disk::{Row, StoreError, StoreFile};
use crate::pace::{Action, Event, Settings, WritePacing};

/// Rows of a previous process that are restored at once: the event loop runs other tasks between two chunks.
const RESTORE_CHUNK_ROWS: usize = 512;

/// The owner of the state that is stored: provides the rows to write, and receives the rows that were stored
/// before.
pub trait StoreWriter {
    /// The tables, in the order in which they are read.
    const TABLES: &'static [&'static str];

    /// Returns the number of rows that wait to be written.
    fn unwritten(&self) -> usize;

    /// Returns the rows to write next: up to `max`, or a few more.
    fn take_rows(&mut self, max: usize) -> Vec<Row>;

    /// Queues rows again that could not be written.
    fn requeue_rows(&mut self, rows: Vec<Row>);

    /// Restores rows that a previous process of the node wrote, one chunk at a time.
    fn restore_rows(&mut self, table: &'static str, rows: Vec<(u64, Vec<u8>)>);

    /// Queues everything to be written again, because the file is empty and was not before.
    fn queue_rewrite(&mut self);

    /// Logs a warning for operators.
    fn log_warning(&self, message: &str);
}

/// A command to the store thread.
enum Command {
    Open,
    Load(&'static [&'static str]),
    Write(Vec<Row>),
}

/// A reply of the store thread.
enum Reply {
    Opened { new: bool, quarantine_reason: Option<StoreError> },
    Rows(&'static str, Vec<(u64, Vec<u8>)>),
    Loaded,
    Written(usize),
    Failed(StoreError, Vec<Row>),
}

/// The status of the store for operators.
#[derive(Default)]
pub struct Status {
    /// Number of batches written.
    pub batches: u64,
    /// Number of rows written.
    pub rows: u64,
    /// Number of failures to open, load or write.
    pub failures: u64,
    /// Whether the store can be written to.
    pub open: bool,
    /// Whether the rows of a previous process have been restored.
    pub loaded: bool,
    /// The last error.
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
            Some(error) => write!(f, ", the last: {error}"),
            None => Ok(()),
        }
    }
}

/// Runs the store thread: executes one command at a time until the other end of a channel is dropped.
fn run_thread(
    mut open: impl FnMut() -> Result<StoreFile, StoreError>,
    commands: &mpsc::Receiver<Command>,
    replies: &async_mpsc::Sender<Reply>,
) {
    let mut file = None;
    while let Ok(command) = commands.recv() {
        let (result, rows) = match command {
            Command::Open => {
                // The file is closed first: otherwise this process itself would still have it open.
                file = None;
                let opened = open().map(|opened| {
                    let reply = Reply::Opened {
                        new: opened.is_new(),
                        quarantine_reason: opened.quarantine_reason().cloned(),
                    };
                    file = Some(opened);
                    reply
                });
                (opened, Vec::new())
            }
            Command::Load(tables) => (load(file.as_ref(), tables, replies), Vec::new()),
            Command::Write(rows) => (write(file.as_ref(), &rows), rows),
        };
        let reply = result.unwrap_or_else(|error| {
            file = None;
            Reply::Failed(error, rows)
        });
        if replies.blocking_send(reply).is_err() {
            return;
        }
    }
}

fn not_open() -> StoreError {
    StoreError::Io("it is not open".to_owned())
}

fn load(
    file: Option<&StoreFile>,
    tables: &[&'static str],
    replies: &async_mpsc::Sender<Reply>,
) -> Result<Reply, StoreError> {
    let file = file.ok_or_else(not_open)?;
    for table in tables {
        let mut next_key = Some(0);
        while let Some(first_key) = next_key {
            let rows = file.read(table, first_key, RESTORE_CHUNK_ROWS)?;
            next_key = rows
                .last()
                .filter(|_| rows.len() == RESTORE_CHUNK_ROWS)
                .and_then(|(key, _)| key.checked_add(1));
            // If the receiver is gone, the thread ends when it sends its next reply.
            let _ = replies.blocking_send(Reply::Rows(table, rows));
        }
    }
    Ok(Reply::Loaded)
}

fn write(file: Option<&StoreFile>, rows: &[Row]) -> Result<Reply, StoreError> {
    file.ok_or_else(not_open)?.write(rows).map(|()| Reply::Written(rows.len()))
}

/// Stores the state of `writer` in the file that `open` opens. Ends after `stop` is done and the remaining
/// rows were written, or the time for that is over.
///
/// # Errors
///
/// The store thread cannot be started.
pub async fn run_store<K: StoreWriter>(
    open: impl FnMut() -> Result<StoreFile, StoreError> + Send + 'static,
    settings: Settings,
    writer: Rc<RefCell<K>>,
    status: Rc<RefCell<Status>>,
    mut random: impl FnMut() -> f64,
    stop: impl Future<Output = ()>,
) -> std::io::Result<()> {
    // At most one command is in progress, and few replies wait.
    let (command, commands) = mpsc::sync_channel(1);
    let (reply, mut replies) = async_mpsc::channel(2);
    std::thread::Builder::new().name("store".into()).spawn(move || run_thread(open, &commands, &reply))?;
    let started = Instant::now();
    let mut pacing = WritePacing::new(settings);
    let mut stop = pin!(stop);
    let mut stopping = false;
    loop {
        let unwritten = writer.borrow().unwritten();
        let next = match pacing.next_action(started.elapsed(), unwritten) {
            Action::Open => Some(Command::Open),
            Action::Load => Some(Command::Load(K::TABLES)),
            Action::Write(max) => Some(Command::Write(writer.borrow_mut().take_rows(max))),
            Action::Stop => break,
            Action::Wait(until) => {
                let sleep = async {
                    match until {
                        Some(until) => sleep_until(started + until).await,
                        None => std::future::pending().await,
                    }
                };
                tokio::select! {
                    () = &mut stop, if !stopping => {
                        stopping = true;
                        pacing.handle(started.elapsed(), Event::Stopping, random());
                    }
                    reply = replies.recv() => {
                        // The thread runs for as long as its command channel is open.
                        let Some(reply) = reply else { return Ok(()) };
                        if let Some(event) = handle_reply(reply, &writer, &status) {
                            pacing.handle(started.elapsed(), event, random());
                        }
                    }
                    () = sleep => {}
                }
                None
            }
        };
        {
            let mut status = status.borrow_mut();
            (status.open, status.loaded) = (pacing.is_open(), pacing.is_loaded());
        }
        if let Some(next) = next {
            // At most one command is in progress, so this neither blocks nor fails while the thread runs.
            if command.try_send(next).is_err() {
                return Ok(());
            }
        }
    }
    // The next process can open the file once the thread has closed it. A thread that hangs is left behind.
    drop(command);
    let closed = async { while replies.recv().await.is_some() {} };
    let _ = timeout_at(started + pacing.flush_deadline().unwrap_or_default(), closed).await;
    Ok(())
}

/// Processes a reply of the store thread and returns the event for the pacing, if there is one.
fn handle_reply<K: StoreWriter>(
    reply: Reply,
    writer: &RefCell<K>,
    status: &RefCell<Status>,
) -> Option<Event> {
    let mut status = status.borrow_mut();
    match reply {
        Reply::Opened { new, quarantine_reason } => {
            if let Some(reason) = quarantine_reason {
                writer.borrow().log_warning(&format!(
                    "the file cannot be read; it was moved aside and replaced by an empty one: {reason}"
                ));
                status.last_error = Some(reason);
            }
            // Before the first load, this process has not written anything that could be lost.
            if new && status.loaded {
                writer.borrow_mut().queue_rewrite();
            }
            Some(Event::Opened)
        }
        Reply::Rows(table, rows) => {
            writer.borrow_mut().restore_rows(table, rows);
            None
        }
        Reply::Loaded => Some(Event::Loaded),
        Reply::Written(rows) => {
            status.batches += 1;
            status.rows += rows as u64;
            Some(Event::Written)
        }
        Reply::Failed(error, rows) => {
            status.failures += 1;
            // The same error is logged once, not for each retry.
            if status.last_error.as_ref() != Some(&error) {
                writer.borrow().log_warning(&format!("the file cannot be used: {error}"));
            }
            status.last_error = Some(error);
            writer.borrow_mut().requeue_rows(rows);
            Some(Event::Failed)
        }
    }
}
