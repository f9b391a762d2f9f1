//! The system's table of TCP sockets, for telling where a connection that got no answer was held up.

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// The table of IPv4 sockets.
const TABLE: &str = "/proc/net/tcp";
/// The state of a socket that listens.
const LISTENS: u8 = 0x0a;

/// One row of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Row {
    local: SocketAddr,
    remote: SocketAddr,
    state: u8,
    /// Bytes that the other side has not confirmed.
    unconfirmed: u32,
    /// Bytes that nobody has read; connections that wait to be accepted where it listens.
    unread: u32,
    /// 0: no process has it, so it has not been accepted.
    inode: u64,
}

/// What listens at a node's address, and both sides of a client's connection to it.
#[must_use]
pub fn of_node(node: SocketAddr, client: Option<SocketAddr>) -> String {
    let table = read();
    let listening = listening(&table, node);
    match client {
        None => listening,
        Some(client) => {
            let (ours, theirs) = (side(&table, client, node), side(&table, node, client));
            format!("{listening}; the client's side: {ours}; the node's side: {theirs}")
        }
    }
}

fn listening(table: &[Row], node: SocketAddr) -> String {
    let listen = table.iter().filter(|row| row.local == node && row.state == LISTENS);
    let shown: Vec<String> =
        listen.map(|row| format!("socket {} with {} to accept", row.inode, row.unread)).collect();
    match shown.is_empty() {
        true => "nothing listens".to_owned(),
        false => format!("listening: {}", shown.join(", ")),
    }
}

/// One side of a connection.
fn side(table: &[Row], local: SocketAddr, remote: SocketAddr) -> String {
    match table.iter().find(|row| row.local == local && row.remote == remote) {
        None => "not there".to_owned(),
        Some(Row { state, unconfirmed, unread, inode, .. }) => {
            let owner = if *inode == 0 { "of no process" } else { "of a process" };
            format!("{owner}, state {state}, {unconfirmed} bytes unconfirmed, {unread} unread")
        }
    }
}

fn read() -> Vec<Row> {
    fs::read_to_string(TABLE).unwrap_or_default().lines().skip(1).filter_map(row).collect()
}

/// Reads a row; `None` where it is of another form.
fn row(line: &str) -> Option<Row> {
    let fields: Vec<&str> = line.split_ascii_whitespace().collect();
    let (unconfirmed, unread) = fields.get(4)?.split_once(':')?;
    Some(Row {
        local: address(fields.get(1)?)?,
        remote: address(fields.get(2)?)?,
        state: u8::from_str_radix(fields.get(3)?, 16).ok()?,
        unconfirmed: u32::from_str_radix(unconfirmed, 16).ok()?,
        unread: u32::from_str_radix(unread, 16).ok()?,
        inode: fields.get(9)?.parse().ok()?,
    })
}

/// An address as the table has it: its bytes in the machine's order.
fn address(text: &str) -> Option<SocketAddr> {
    let (ip, port) = text.split_once(':')?;
    let ip = u32::from_str_radix(ip, 16).ok()?;
    let port = u16::from_str_radix(port, 16).ok()?;
    Some(SocketAddr::new(IpAddr::V4(Ipv4Addr::from(ip.to_ne_bytes())), port))
}

#[cfg(test)]
mod tests;
