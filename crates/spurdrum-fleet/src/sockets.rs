//! Reads the system's table of TCP sockets, to diagnose at which point a connection without an answer is stuck.

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// The system's table of IPv4 TCP sockets.
const TABLE: &str = "/proc/net/tcp";
/// State of a listening socket.
const LISTEN_STATE: u8 = 0x0a;

/// One row of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Row {
    local: SocketAddr,
    remote: SocketAddr,
    state: u8,
    /// Bytes that the peer has not acknowledged.
    unacknowledged: u32,
    /// Bytes that the process has not read; for a listening socket, the number of connections that wait to be accepted.
    unread: u32,
    /// Inode of the socket; 0 where no process has opened it, which means that the connection has not been accepted.
    inode: u64,
}

/// Describes the sockets that listen on a node's address, and both ends of a client's connection to the node.
#[must_use]
pub fn of_node(node: SocketAddr, client: Option<SocketAddr>) -> String {
    let table = read();
    let listening = listening(&table, node);
    match client {
        None => listening,
        Some(client) => {
            let (client_end, node_end) =
                (connection_end(&table, client, node), connection_end(&table, node, client));
            format!("{listening}; the client's side: {client_end}; the node's side: {node_end}")
        }
    }
}

/// Describes the sockets that listen on a node's address.
fn listening(table: &[Row], node: SocketAddr) -> String {
    let listeners = table.iter().filter(|row| row.local == node && row.state == LISTEN_STATE);
    let descriptions: Vec<String> =
        listeners.map(|row| format!("socket {} with {} to accept", row.inode, row.unread)).collect();
    match descriptions.is_empty() {
        true => "nothing listens".to_owned(),
        false => format!("listening: {}", descriptions.join(", ")),
    }
}

/// Describes one end of a connection.
fn connection_end(table: &[Row], local: SocketAddr, remote: SocketAddr) -> String {
    match table.iter().find(|row| row.local == local && row.remote == remote) {
        None => "not there".to_owned(),
        Some(Row { state, unacknowledged, unread, inode, .. }) => {
            let owner = if *inode == 0 { "of no process" } else { "of a process" };
            format!("{owner}, state {state}, {unacknowledged} bytes unacknowledged, {unread} unread")
        }
    }
}

/// Reads the whole table; empty where it cannot be read.
fn read() -> Vec<Row> {
    fs::read_to_string(TABLE).unwrap_or_default().lines().skip(1).filter_map(parse_row).collect()
}

/// Parses a row of the table; `None` where its format is unknown.
fn parse_row(line: &str) -> Option<Row> {
    let fields: Vec<&str> = line.split_ascii_whitespace().collect();
    let (unacknowledged, unread) = fields.get(4)?.split_once(':')?;
    Some(Row {
        local: parse_address(fields.get(1)?)?,
        remote: parse_address(fields.get(2)?)?,
        state: u8::from_str_radix(fields.get(3)?, 16).ok()?,
        unacknowledged: u32::from_str_radix(unacknowledged, 16).ok()?,
        unread: u32::from_str_radix(unread, 16).ok()?,
        inode: fields.get(9)?.parse().ok()?,
    })
}

/// Parses an address of the table, whose bytes are in the machine's byte order.
fn parse_address(text: &str) -> Option<SocketAddr> {
    let (ip, port) = text.split_once(':')?;
    let ip = u32::from_str_radix(ip, 16).ok()?;
    let port = u16::from_str_radix(port, 16).ok()?;
    Some(SocketAddr::new(IpAddr::V4(Ipv4Addr::from(ip.to_ne_bytes())), port))
}

#[cfg(test)]
mod tests;
