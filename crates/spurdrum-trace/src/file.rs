//! The thread that writes a trace to its file.

use std::cell::{Cell, RefCell};
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};

use crate::bound::FileRotation;
use crate::record::{TraceEvent, TraceRecord};

/// Where a trace is written, and its limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The current file.
    pub path: PathBuf,
    /// Limit on the size of the current and the previous file together, in bytes.
    pub max_bytes: u64,
    /// Limit on the lines that wait to be written.
    pub max_queued_lines: usize,
}

/// Returns the path of the previous file.
#[must_use]
pub fn previous_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(".before");
    name.into()
}

/// The current file, which is replaced when it is full.
struct RotatingFile {
    path: PathBuf,
    file: Option<File>,
    rotation: FileRotation,
}

impl RotatingFile {
    fn open(path: &Path) -> io::Result<File> {
        OpenOptions::new().create(true).append(true).open(path)
    }
}

impl Write for RotatingFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.rotation.needs_rotation(bytes.len() as u64) {
            self.file = None;
            std::fs::rename(&self.path, previous_path(&self.path))?;
        }
        let file = match self.file.take() {
            Some(file) => file,
            None => Self::open(&self.path)?,
        };
        self.file.insert(file).write_all(bytes).map(|()| bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.file.as_mut().map_or(Ok(()), Write::flush)
    }
}

/// Records the events of a node. Never blocks: records that do not fit into the queue are dropped and
/// counted.
pub struct Trace {
    queue: RefCell<NonBlocking>,
    counter: ErrorCounter,
    /// The number of lost lines that has been recorded so far.
    recorded_lost_lines: Cell<u64>,
}

/// Stops the writing thread when it is dropped, after the lines in the queue have been written.
#[must_use]
pub struct TraceWriterGuard {
    _guard: WorkerGuard,
}

impl Trace {
    /// Starts the writing thread, which appends to the file.
    ///
    /// # Errors
    ///
    /// The file cannot be opened.
    pub fn start(settings: &Settings) -> io::Result<(Self, TraceWriterGuard)> {
        let file = RotatingFile::open(&settings.path)?;
        let rotation = FileRotation::new(settings.max_bytes, file.metadata()?.len());
        let rotating_file = RotatingFile { path: settings.path.clone(), file: Some(file), rotation };
        let builder =
            NonBlockingBuilder::default().lossy(true).buffered_lines_limit(settings.max_queued_lines);
        let (queue, guard) = builder.thread_name("trace").finish(rotating_file);
        let counter = queue.error_counter();
        Ok((
            Self { queue: RefCell::new(queue), counter, recorded_lost_lines: Cell::new(0) },
            TraceWriterGuard { _guard: guard },
        ))
    }

    /// Records an event that happened at this time (Unix milliseconds).
    pub fn record(&self, at: f64, seen: TraceEvent) {
        self.enqueue(&TraceRecord { at, seen });
        let lines = self.counter.dropped_lines() as u64;
        if lines > self.recorded_lost_lines.get() {
            // If there is no room for this record either, the next call tries again.
            self.enqueue(&TraceRecord { at, seen: TraceEvent::Lost { lines } });
            if self.counter.dropped_lines() as u64 == lines {
                self.recorded_lost_lines.set(lines);
            }
        }
    }

    fn enqueue(&self, record: &TraceRecord) {
        let Ok(mut line) = serde_json::to_vec(record) else { return };
        line.push(b'\n');
        // The queue either accepts the whole line or counts it as lost.
        let _ = self.queue.borrow_mut().write_all(&line);
    }
}

#[cfg(test)]
mod tests {
    use std::sync::mpsc::{channel, Receiver, Sender};

    use super::*;
    use crate::record::{read, ServerState};

    fn settings(name: &str, max_bytes: u64) -> Settings {
        let path = std::env::temp_dir().join(format!("spurdrum-trace-{name}-{}", std::process::id()));
        for path in [&path, &previous_path(&path)] {
            let _ = std::fs::remove_file(path);
        }
        Settings { path, max_bytes, max_queued_lines: 100_000 }
    }

    fn event(n: usize) -> TraceEvent {
        TraceEvent::ServerChanged { server: format!("s{n}"), state: ServerState::Draining }
    }

    #[test]
    fn the_newest_records_are_kept_and_the_files_stay_bounded() {
        let settings = settings("bounded", 4000);
        for process in 0..2 {
            let (trace, guard) = Trace::start(&settings).expect("starts");
            (0..200).for_each(|n| trace.record(n as f64, event(process * 200 + n)));
            drop(guard);
        }
        let size = |path: &Path| std::fs::metadata(path).expect("there").len();
        assert!(size(&settings.path) + size(&previous_path(&settings.path)) <= 4000);
        let records = read(&settings.path).expect("reads");
        assert!(records.len() > 25, "{}", records.len());
        let last = TraceRecord { at: 199.0, seen: event(399) };
        assert_eq!(records.last(), Some(&last));
        assert!(records.windows(2).all(|pair| pair[0].at + 1.0 == pair[1].at));
        // An incomplete line, as left by a process that was killed.
        let mut file = RotatingFile::open(&settings.path).expect("opens");
        file.write_all(b"{\"at\":1.0,\"sa").expect("writes");
        assert_eq!(read(&settings.path).expect("reads").last(), Some(&last));
    }

    #[test]
    fn records_that_do_not_fit_into_the_queue_are_counted() {
        /// A disk that blocks writes until it is released, and reports when a write begins and when it is
        /// done.
        struct Stuck {
            begun: Sender<()>,
            release: Receiver<()>,
            written: Sender<Vec<u8>>,
        }
        impl Write for Stuck {
            fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
                let _ = self.begun.send(());
                let _ = self.release.recv();
                let _ = self.written.send(bytes.to_vec());
                Ok(bytes.len())
            }
            fn flush(&mut self) -> io::Result<()> {
                Ok(())
            }
        }
        let (begun, begins) = channel();
        let (releaser, release) = channel();
        let (written, written_lines) = channel();
        let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(4);
        let (queue, guard) = builder.finish(Stuck { begun, release, written });
        let counter = queue.error_counter();
        let trace = Trace { queue: RefCell::new(queue), counter, recorded_lost_lines: Cell::new(0) };
        // Once the thread has taken the first line, no further line leaves the queue. Otherwise one could
        // make room for a count of fewer lost lines.
        trace.record(1.0, event(50));
        begins.recv().expect("a write begins");
        (0..50).for_each(|n| trace.record(1.0, event(n)));
        assert!(trace.counter.dropped_lines() > 40);
        drop(releaser);
        // Four lines are queued; once they are written, there is room for the count.
        for _ in 0..4 {
            written_lines.recv().expect("the thread continues");
        }
        let mut written = Vec::new();
        while written.iter().all(|line: &Vec<u8>| !String::from_utf8_lossy(line).contains("lost")) {
            trace.record(2.0, event(99));
            written.extend(written_lines.try_iter());
        }
        let lost = written.iter().find(|line| String::from_utf8_lossy(line).contains("lost"));
        let record: TraceRecord = serde_json::from_slice(lost.expect("found")).expect("a record");
        assert!(matches!(record.seen, TraceEvent::Lost { lines } if lines > 40), "{record:?}");
        drop(guard);
    }
}
