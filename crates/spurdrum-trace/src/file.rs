//! The thread that writes.

use std::cell::{Cell, RefCell};
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};

use crate::bound::FileRotation;
use crate::record::{TraceEvent, TraceRecord};

/// Where lines go and how many may be there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The file.
    pub path: PathBuf,
    /// Bytes of it and of the one before together.
    pub max_bytes: u64,
    /// Lines that may wait to be written.
    pub max_queued_lines: usize,
}

/// Where the file before is.
#[must_use]
pub fn previous_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(".before");
    name.into()
}

/// The file as the thread has it.
struct Halves {
    path: PathBuf,
    file: Option<File>,
    bound: FileRotation,
}

impl Halves {
    fn open(path: &Path) -> io::Result<File> {
        OpenOptions::new().create(true).append(true).open(path)
    }
}

impl Write for Halves {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.bound.needs_rotation(bytes.len() as u64) {
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

/// Takes what a node sees. Never waits: what finds no room in the queue is lost and counted.
pub struct Trace {
    to: RefCell<NonBlocking>,
    counter: ErrorCounter,
    /// Lost lines that were told of.
    told: Cell<u64>,
}

/// The thread's end: what waits is written when this is dropped.
#[must_use]
pub struct TraceWriterGuard {
    _guard: WorkerGuard,
}

impl Trace {
    /// Begins to write, behind what the file has already.
    ///
    /// # Errors
    ///
    /// The file cannot be opened.
    pub fn start(settings: &Settings) -> io::Result<(Self, TraceWriterGuard)> {
        let file = Halves::open(&settings.path)?;
        let bound = FileRotation::new(settings.max_bytes, file.metadata()?.len());
        let halves = Halves { path: settings.path.clone(), file: Some(file), bound };
        let builder =
            NonBlockingBuilder::default().lossy(true).buffered_lines_limit(settings.max_queued_lines);
        let (to, guard) = builder.thread_name("trace").finish(halves);
        let counter = to.error_counter();
        Ok((Self { to: RefCell::new(to), counter, told: Cell::new(0) }, TraceWriterGuard { _guard: guard }))
    }

    /// Notes something that happened at this time (Unix milliseconds).
    pub fn record(&self, at: f64, seen: TraceEvent) {
        self.put(&TraceRecord { at, seen });
        let lines = self.counter.dropped_lines() as u64;
        if lines > self.told.get() {
            // It is noted as soon as there is room; until then the next one tries.
            self.put(&TraceRecord { at, seen: TraceEvent::Lost { lines } });
            if self.counter.dropped_lines() as u64 == lines {
                self.told.set(lines);
            }
        }
    }

    fn put(&self, line: &TraceRecord) {
        let Ok(mut text) = serde_json::to_vec(line) else { return };
        text.push(b'\n');
        // The queue takes it whole or counts it as lost.
        let _ = self.to.borrow_mut().write_all(&text);
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

    fn seen(n: usize) -> TraceEvent {
        TraceEvent::ServerChanged { server: format!("s{n}"), state: ServerState::Draining }
    }

    #[test]
    fn the_newest_lines_are_there_and_the_files_stay_bounded() {
        let settings = settings("bounded", 4000);
        for life in 0..2 {
            let (trace, writing) = Trace::start(&settings).expect("starts");
            (0..200).for_each(|n| trace.record(n as f64, seen(life * 200 + n)));
            drop(writing);
        }
        let size = |path: &Path| std::fs::metadata(path).expect("there").len();
        assert!(size(&settings.path) + size(&previous_path(&settings.path)) <= 4000);
        let lines = read(&settings.path).expect("reads");
        assert!(lines.len() > 25, "{}", lines.len());
        let last = TraceRecord { at: 199.0, seen: seen(399) };
        assert_eq!(lines.last(), Some(&last));
        assert!(lines.windows(2).all(|pair| pair[0].at + 1.0 == pair[1].at));
        // A line that a killed process left unfinished.
        let mut file = Halves::open(&settings.path).expect("opens");
        file.write_all(b"{\"at\":1.0,\"sa").expect("writes");
        assert_eq!(read(&settings.path).expect("reads").last(), Some(&last));
    }

    #[test]
    fn what_finds_no_room_is_counted() {
        /// A disk that takes nothing until it is let, and tells when it is first written to.
        struct Stuck {
            begun: Sender<()>,
            let_go: Receiver<()>,
            written: Sender<Vec<u8>>,
        }
        impl Write for Stuck {
            fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
                let _ = self.begun.send(());
                let _ = self.let_go.recv();
                let _ = self.written.send(bytes.to_vec());
                Ok(bytes.len())
            }
            fn flush(&mut self) -> io::Result<()> {
                Ok(())
            }
        }
        let (begun, begins) = channel();
        let (lets_go, let_go) = channel();
        let (written, told) = channel();
        let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(4);
        let (to, guard) = builder.finish(Stuck { begun, let_go, written });
        let counter = to.error_counter();
        let trace = Trace { to: RefCell::new(to), counter, told: Cell::new(0) };
        // The thread holds the first line by now; a place that came free among the next ones would go to a count of fewer.
        trace.record(1.0, seen(50));
        begins.recv().expect("it is written");
        (0..50).for_each(|n| trace.record(1.0, seen(n)));
        assert!(trace.counter.dropped_lines() > 40);
        drop(lets_go);
        // Four wait; once they are written there is room for the count.
        for _ in 0..4 {
            told.recv().expect("goes on");
        }
        let mut written = Vec::new();
        while written.iter().all(|line: &Vec<u8>| !String::from_utf8_lossy(line).contains("lost")) {
            trace.record(2.0, seen(99));
            written.extend(told.try_iter());
        }
        let lost = written.iter().find(|line| String::from_utf8_lossy(line).contains("lost"));
        let line: TraceRecord = serde_json::from_slice(lost.expect("found")).expect("a line");
        assert!(matches!(line.seen, TraceEvent::Lost { lines } if lines > 40), "{line:?}");
        drop(guard);
    }
}
