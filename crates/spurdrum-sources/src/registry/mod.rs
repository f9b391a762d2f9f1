//! A key-value registry that is followed by watches.
//!
//! [`follower`] decides what is asked of whom, and holds a copy of the keys; [`schema`] makes servers of keys and values.
//! Neither has a clock, sockets or randomness but a seed. [`shell`] carries out what a follower decides, on what
//! [`etcd`] or [`consul`] speaks.

pub mod consul;
pub mod etcd;
pub mod follower;
pub mod registrar;
pub mod schema;
pub mod shell;
pub mod tls;
