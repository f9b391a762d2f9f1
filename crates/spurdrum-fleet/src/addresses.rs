//! Leases addresses in 127.0.0.0/8 for this process, and finds free ports on them.
//!
//! Rigs that run at the same time lease different blocks of addresses. A port that has been found free is released again until
//! the process that it is meant for listens on it; only the exclusive block keeps other rigs from taking the port meanwhile.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::ops::Range;
use std::sync::OnceLock;

/// Values of the second byte, one for each block: 127.20.0.0/16 to 127.219.0.0/16.
const BLOCKS: Range<u8> = 20..220;
/// Last two bytes and port of the address on which the holder of a block listens. No node has this address: a block has more
/// addresses than a run may have nodes.
const LEASE: ([u8; 2], u16) = ([255, 254], 20_000);
/// Number of addresses used for each value of the third byte.
const ADDRESSES_PER_THIRD_BYTE: usize = 250;
/// Ports on which the processes of a run listen; all are below the system's range of ephemeral ports.
const PORTS: Range<u16> = 20_000..20_100;

/// A block of addresses that belongs to this process alone until it is dropped or the process ends.
#[derive(Debug)]
pub struct Block {
    second_byte: u8,
    /// Nothing connects to this listener. It is the lease because only one process at a time can listen on the address.
    _lease: TcpListener,
}

impl Block {
    /// Leases the first free block, starting with block `from` and wrapping around.
    ///
    /// # Errors
    ///
    /// Other processes hold all blocks.
    pub fn lease(from: u8) -> io::Result<Self> {
        let first = from % BLOCKS.len() as u8;
        let mut blocks = (BLOCKS.start + first..BLOCKS.end).chain(BLOCKS.start..BLOCKS.start + first);
        let leased = blocks.find_map(|second_byte| {
            let ([third, fourth], port) = LEASE;
            let listener = TcpListener::bind((Ipv4Addr::new(127, second_byte, third, fourth), port));
            listener.ok().map(|lease| Self { second_byte, _lease: lease })
        });
        leased.ok_or_else(|| io::Error::new(io::ErrorKind::AddrInUse, "no block of addresses is free"))
    }

    /// Returns the `n`th address of the block.
    #[must_use]
    pub fn address(&self, n: usize) -> IpAddr {
        let (third, fourth) = (n / ADDRESSES_PER_THIRD_BYTE, n % ADDRESSES_PER_THIRD_BYTE + 1);
        IpAddr::V4(Ipv4Addr::new(127, self.second_byte, third as u8, fourth as u8))
    }
}

/// Returns the `n`th address of this process. The first call leases the block.
///
/// # Errors
///
/// No block is free.
pub fn address(n: usize) -> Result<IpAddr, String> {
    static BLOCK: OnceLock<Result<Block, String>> = OnceLock::new();
    let lease = || {
        let from = std::process::id() % u32::from(BLOCKS.end - BLOCKS.start);
        Block::lease(from as u8).map_err(|error| format!("addresses: {error}"))
    };
    BLOCK.get_or_init(lease).as_ref().map(|block| block.address(n)).map_err(Clone::clone)
}

/// Returns an address of this process with a port above `above` that is free now. The system does not assign the port to an
/// outgoing connection because ephemeral ports are higher.
///
/// # Errors
///
/// No port is free.
pub fn free(host: IpAddr, above: u16) -> Result<SocketAddr, String> {
    let ports = above.max(PORTS.start) + 1..PORTS.end;
    let found = ports.map(|port| SocketAddr::new(host, port)).find(|at| TcpListener::bind(at).is_ok());
    found.ok_or_else(|| format!("no free port on {host}"))
}

#[cfg(test)]
mod tests;
