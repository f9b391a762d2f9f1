//! Many real processes of the program on addresses of their own, before stand-in servers, with faults between them.
//!
//! A [`scenario::Scenario`] says how many nodes and servers there are, what load comes and what breaks when; [`run::run`]
//! plays it and joins what clients, servers and nodes saw into a [`history::History`]. What that shows, [`figures`] and the
//! [`verdict`] on the rules, is computed without clock or I/O. The program is started by its path and not linked.

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
