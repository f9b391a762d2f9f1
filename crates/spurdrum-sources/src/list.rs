//! The list of servers as sources provide it, which is also the format of discovery on the wire.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// A list of servers, or of changes to one, as discovery sends it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct List {
    /// The revision of the list.
    pub revision: u64,
    /// Whether the list contains every server, rather than only changes.
    pub complete: bool,
    /// The entries.
    pub members: Vec<Member>,
}

impl List {
    /// Applies another list to this one: replaces it by a complete list, or applies the changes. Servers that
    /// have left are removed.
    pub fn merge(&mut self, update: &Self) {
        if update.complete {
            *self = update.clone();
            return;
        }
        self.revision = update.revision;
        for member in &update.members {
            self.members.retain(|existing| existing.id != member.id);
            if member.phase != Phase::Left {
                self.members.push(member.clone());
            }
        }
    }
}

/// A server as discovery describes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// The id of the server, the same at every node.
    pub id: String,
    /// The address on which the server listens, as seen from this node.
    pub host_port: SocketAddr,
    /// The name of the zone.
    pub locality: String,
    /// The name of the kind of machine.
    pub flavor: String,
    /// The cell.
    pub cell: usize,
    /// Whether the server takes requests.
    pub phase: Phase,
    /// The weight of the server in load balancing.
    pub size: f64,
    /// When the server last started, as Unix time in milliseconds; 0 if that was long ago or is not known.
    pub up_since_ms: f64,
}

/// The phase of a server's life in the list.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// The server takes requests.
    Active,
    /// The server is draining: it finishes the requests that it has, and takes no new ones.
    Leaving,
    /// The server is gone.
    Left,
}
