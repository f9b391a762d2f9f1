//! The hand of a rollout on one machine, one for each node: it starts the program, replaces it by a handover, has it read new
//! settings, starts it again when it ends, and goes back to the last good version by itself when it keeps ending. It holds
//! no request: the node does not notice when its keeper dies, and a new keeper finds the node again.
//!
//! - [`hand`]: what is done next. Pure.
//! - [`record`]: what lasts, on a disk that may be torn, old, lost or full.
//! - [`host`]: files by their content, and processes of this machine.
//! - [`shell`]: sockets, timers and threads round the hand.

pub mod hand;
pub mod host;
pub mod record;
pub mod settings;
pub mod shell;

pub use settings::Settings;
pub use shell::supervise;
