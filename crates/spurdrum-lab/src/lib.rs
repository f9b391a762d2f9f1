//! Experiments in simulated time: the real pure modules in a model of what they serve. A run is deterministic: the same
//! seed gives the same figures.
//!
//! [`lists`] has nodes that follow a list of servers from one catalog, through its faults; [`registry`]
//! nodes that follow a registry by watches; [`affinity`] nodes whose requests prefer servers by their keys; [`spread`] hundreds of
//! nodes before the same servers.

pub mod affinity;
mod agenda;
pub mod lists;
pub mod registry;
pub mod rollout;
pub mod spread;
