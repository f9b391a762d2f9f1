//! Rolls a change of the program or of its settings out to a fleet in stages: changed and unchanged nodes run
//! side by side, and the rollout stops and rolls back when the changed nodes do worse.
//!
//! - [`plan`]: the nodes, the change, the stages and the limits, read from a TOML file.
//! - [`conductor`]: the rollout controller: which node gets which request, when a stage is complete, when the
//!   change is rolled back. A pure state machine: no clock, no I/O.
//! - [`judge`]: the canary analysis: compares changed nodes with unchanged ones over the same time, and the whole
//!   fleet with the time before the rollout. Pure.
//! - [`orders`]: the protocol between the controller and the supervisor beside each node, one line each way.
//! - [`timers`]: the timers that a state machine asks its shell for.
//! - [`shell`]: sockets and timers round the controller and the canary analysis.
//!
//! The controller stores nothing: what each node runs and which controller directs it is kept by the node's
//! supervisor, so that another controller can continue the rollout when one dies.

pub mod conductor;
pub mod judge;
pub mod orders;
pub mod plan;
pub mod shell;
pub mod timers;
pub mod version;
