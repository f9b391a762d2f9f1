//! The supervisor of one node. It starts the node's program, replaces it by a handover, has it reload its
//! settings, restarts it when it exits, and falls back to the last good version on its own when the process keeps
//! crashing. It executes the steps of a rollout on its machine. It carries no requests of clients: the node does
//! not notice when its supervisor dies, and a new supervisor finds the running node again.
//!
//! - [`hand`]: the state machine that decides what is done next. Pure: no clock, no I/O.
//! - [`record`]: the durable state, on a disk whose files may be torn, old, lost, or cannot be written.
//! - [`host`]: files stored by their content hash, and the processes of this machine.
//! - [`shell`]: sockets, timers and threads round the state machine.

pub mod hand;
pub mod host;
pub mod record;
pub mod settings;
pub mod shell;

pub use settings::Settings;
pub use shell::supervise;
