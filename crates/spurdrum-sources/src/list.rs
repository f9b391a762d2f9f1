//! What a source says.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// A list of servers, or of changes to one, as discovery sends it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct List {
    /// Its version.
    pub revision: u64,
    /// Whether it names every server.
    pub complete: bool,
    /// Its entries.
    pub members: Vec<Member>,
}

impl List {
    /// This list with the changes of another; what has left is in it no more.
    pub fn merge(&mut self, news: &Self) {
        if news.complete {
            *self = news.clone();
            return;
        }
        self.revision = news.revision;
        for member in &news.members {
            self.members.retain(|known| known.id != member.id);
            if member.phase != Phase::Left {
                self.members.push(member.clone());
            }
        }
    }
}

/// A server as discovery describes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// The same at every node.
    pub id: String,
    /// Where it listens, as seen from this node.
    pub host_port: SocketAddr,
    /// The name of its zone.
    pub locality: String,
    /// The name of its machine kind.
    pub flavor: String,
    /// Its cell.
    pub cell: usize,
    /// What it is ready for.
    pub phase: Phase,
    /// Its weight.
    pub size: f64,
    /// When it last started, as Unix time; 0 for long ago.
    pub up_since_ms: f64,
}

/// What a server is ready for.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// It takes requests.
    Active,
    /// It finishes what it has.
    Leaving,
    /// It is no longer there.
    Left,
}
