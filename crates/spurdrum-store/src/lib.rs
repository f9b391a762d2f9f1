//! State that a node keeps across restarts. A thread of its own writes it to a file after the fact, so that
//! neither a slow disk nor a broken one affects the requests.
//!
//! - [`pace`]: when to open, write and retry, and how much to write at once; no I/O, no clock.
//! - [`disk`]: the file (a `redb` database), its checks, and the handling of a corrupt one.
//! - [`shell`]: the thread that uses the file, and its connection to the event loop.
//! - [`trial`]: a disk that is full, slow, fails to sync or loses its data, on command.
//!
//! The owner of the state implements [`StoreWriter`]: it provides the rows that wait to be written, and
//! receives the rows that a previous process has written.

pub mod disk;
pub mod pace;
pub mod shell;
pub mod trial;

pub use disk::{FileIdentity, Row, StoreError, StoreFile};
pub use pace::{Settings, WritePacing};
pub use shell::{run_store, Status, StoreWriter};
