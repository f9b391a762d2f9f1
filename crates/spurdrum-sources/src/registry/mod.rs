//! Discovery of servers from a key-value registry, followed by watches or blocking queries.
//!
//! [`follower`] decides when to query which endpoint, and keeps a copy of the keys. [`schema`] maps keys and
//! values to servers. [`registrar`] decides how a node registers itself. They do no I/O, have no clock, and
//! their only randomness comes from a seed. [`shell`] carries out what a follower decides, with a client for
//! [`etcd`] or [`consul`].

pub mod consul;
pub mod etcd;
pub mod follower;
pub mod registrar;
pub mod schema;
pub mod shell;
pub mod tls;
