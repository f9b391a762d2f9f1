//! State that a node has again after a restart. It is written behind what happens, by a thread of its own, so that neither
//! a slow disk nor a broken one is felt by those who are served.
//!
//! - [`pace`]: when to open, write and try again, and how much at once; no I/O, no clock.
//! - [`disk`]: the file (a `redb` database), its checks, and what is done with one that is broken.
//! - [`shell`]: the thread, and what ties all to the event loop.
//! - [`trial`]: a disk that is full, slow, fails to sync or forgets, on command.
//!
//! What is kept comes from a [`StoreWriter`]: it says what waits to be written, and takes in what an earlier life wrote.

pub mod disk;
pub mod pace;
pub mod shell;
pub mod trial;

pub use disk::{FileIdentity, Row, StoreError, StoreFile};
pub use pace::{Settings, WritePacing};
pub use shell::{run_store, Status, StoreWriter};
