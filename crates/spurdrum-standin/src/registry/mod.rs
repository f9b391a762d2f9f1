//! A key-value registry with revisions, as etcd v3 and Consul publish theirs.
//!
//! [`model`] is what it holds and answers, without a clock or sockets; the lab plays it in simulated time. [`etcd`]
//! and [`consul`] answer for it on sockets.

pub mod consul;
pub mod etcd;
pub mod model;
