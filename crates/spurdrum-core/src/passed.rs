//! A client's connection on its way from one process to the other.

use std::net::TcpStream;

/// A client's connection that one process passes to the other.
#[derive(Debug)]
pub struct HandedOverConnection {
    /// The socket.
    pub stream: TcpStream,
    /// What has been read from it and is still to be served: nothing, or a request that no server has been sent and what came
    /// behind it.
    pub read: Vec<u8>,
}

impl HandedOverConnection {
    /// A connection of which nothing is left to be served but what its socket holds.
    #[must_use]
    pub fn idle(stream: TcpStream) -> Self {
        Self { stream, read: Vec::new() }
    }

    /// Whether a request has been read from it that is still to be served.
    #[must_use]
    pub fn has_request(&self) -> bool {
        !self.read.is_empty()
    }
}
