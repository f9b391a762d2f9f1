//! The real node: sockets turned into events, actions carried out on sockets.

pub mod config;
pub mod discovery;
pub mod frontend;
pub mod node;
mod socket;
pub mod upstream;
