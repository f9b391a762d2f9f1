//! Client connections that are handed over between processes.

use std::net::TcpStream;

/// A client connection that the outgoing process hands over to the incoming process.
#[derive(Debug)]
pub struct HandedOverConnection {
    /// The socket.
    pub stream: TcpStream,
    /// Bytes that were read from the socket and have not been served: none, or a request of which nothing was
    /// sent to a server, followed by the bytes received after it.
    pub read: Vec<u8>,
}

impl HandedOverConnection {
    /// Creates a connection of which everything read so far has been served.
    #[must_use]
    pub fn idle(stream: TcpStream) -> Self {
        Self { stream, read: Vec::new() }
    }

    /// Returns whether a request that was read from the connection still has to be served.
    #[must_use]
    pub fn has_request(&self) -> bool {
        !self.read.is_empty()
    }
}
