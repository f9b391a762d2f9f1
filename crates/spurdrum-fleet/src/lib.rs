//! Test rig: runs many real processes of the program on separate addresses, in front of stand-in servers, and injects faults
//! between them.
//!
//! A [`scenario::Scenario`] describes the nodes, the servers, the load and the faults. [`run::run`] runs it and joins the
//! observations of clients, servers and nodes into a [`history::History`]. From the history, [`figures`] computes statistics and
//! [`verdict`] finds violations of the rules; both use neither clock nor I/O. The program under test is started by its path and
//! not linked.

pub mod addresses;
pub mod chart;
pub mod clients;
pub mod disks;
pub mod figures;
pub mod files;
pub mod history;
pub mod kept;
pub mod links;
pub mod measure;
pub mod process;
pub mod references;
pub mod run;
pub mod scenario;
pub mod schedule;
pub mod sockets;
pub mod verdict;
pub mod witness;
