//! Addresses of this process's own in 127.0.0.0/8, and free ports on them.
//!
//! Rigs that run at the same time lease different blocks of addresses. A port that has been found free is let go again until the
//! process that it is meant for listens on it, so a block of its own is what keeps others from taking it.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::ops::Range;
use std::sync::OnceLock;

/// The second bytes of the blocks: 127.20.0.0/16 to 127.219.0.0/16.
const BLOCKS: Range<u8> = 20..220;
/// Where whoever leases a block listens: no node has this address, as a block has room for more than there may be.
const LEASE: ([u8; 2], u16) = ([255, 254], 20_000);
/// Addresses by the third byte.
const BY_THIRD_BYTE: usize = 250;
/// Processes of a run listen on ports of these, above none that the system gives to connections.
const PORTS: Range<u16> = 20_000..20_100;

/// A block of addresses that is this process's alone, until it is dropped or the process ends.
#[derive(Debug)]
pub struct Block {
    second_byte: u8,
    /// Nobody connects: that one process at a time can listen there is what makes it a lease.
    _lease: TcpListener,
}

impl Block {
    /// Leases the first block that nobody has, from this one on and round.
    ///
    /// # Errors
    ///
    /// Others have all of them.
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

    /// Its `n`th address.
    #[must_use]
    pub fn address(&self, n: usize) -> IpAddr {
        let (third, fourth) = (n / BY_THIRD_BYTE, n % BY_THIRD_BYTE + 1);
        IpAddr::V4(Ipv4Addr::new(127, self.second_byte, third as u8, fourth as u8))
    }
}

/// The `n`th address of this process. Its block is leased with the first.
///
/// # Errors
///
/// No block is free.
pub fn address(n: usize) -> Result<IpAddr, String> {
    static OWN: OnceLock<Result<Block, String>> = OnceLock::new();
    let lease = || {
        let from = std::process::id() % u32::from(BLOCKS.end - BLOCKS.start);
        Block::lease(from as u8).map_err(|error| format!("addresses: {error}"))
    };
    OWN.get_or_init(lease).as_ref().map(|block| block.address(n)).map_err(Clone::clone)
}

/// A port above another that is free now on an address of this process's own, and that no connection is given by the system:
/// those are dealt out from higher ones.
///
/// # Errors
///
/// None is free.
pub fn free(on: IpAddr, above: u16) -> Result<SocketAddr, String> {
    let ports = above.max(PORTS.start) + 1..PORTS.end;
    let found = ports.map(|port| SocketAddr::new(on, port)).find(|at| TcpListener::bind(at).is_ok());
    found.ok_or_else(|| format!("no free port on {on}"))
}

#[cfg(test)]
mod tests;
