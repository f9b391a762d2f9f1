//! A key-value registry that is followed by watches.
//!
//! [`follower`] decides what is asked of whom, and holds a copy of the keys; [`schema`] makes servers of keys and values.
//! Neither has a clock, sockets or randomness but a seed. A shell carries out what a follower decides.

pub mod follower;
pub mod schema;
