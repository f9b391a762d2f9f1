//! A list that stands in a file: a fleet that needs no catalog.

use std::collections::HashSet;
use std::net::SocketAddr;

use serde::Deserialize;

use crate::{List, Member, Phase};

/// Servers by address.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StaticList {
    /// The servers.
    pub servers: Vec<StaticServer>,
}

/// One server.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StaticServer {
    /// Its address where it has no other name.
    pub id: Option<String>,
    /// Where it listens.
    pub address: SocketAddr,
    /// The name of its zone.
    #[serde(default)]
    pub zone: String,
    /// The name of its machine kind.
    #[serde(default)]
    pub kind: String,
    /// Its cell.
    #[serde(default)]
    pub cell: usize,
    /// Its weight.
    #[serde(default = "weight")]
    pub weight: f64,
}

fn weight() -> f64 {
    1.0
}

impl StaticServer {
    fn name(&self) -> String {
        self.id.clone().unwrap_or_else(|| self.address.to_string())
    }

    fn member(&self) -> Member {
        Member {
            id: self.name(),
            host_port: self.address,
            locality: self.zone.clone(),
            flavor: self.kind.clone(),
            cell: self.cell,
            phase: Phase::Active,
            size: self.weight,
            up_since_ms: 0.0,
        }
    }
}

impl StaticList {
    /// The whole list.
    pub fn list(&self) -> List {
        List { revision: 0, complete: true, members: self.servers.iter().map(StaticServer::member).collect() }
    }

    /// Checks that every server is one, with a weight.
    ///
    /// # Errors
    ///
    /// The first key that makes no sense, and why.
    pub fn check(&self) -> Result<(), (&'static str, &'static str)> {
        let mut names = HashSet::new();
        if !self.servers.iter().all(|server| names.insert(server.name())) {
            return Err(("servers", "two servers have one id or address"));
        }
        let sound = |weight: f64| weight.is_finite() && weight > 0.0;
        match self.servers.iter().all(|server| sound(server.weight)) {
            true => Ok(()),
            false => Err(("weight", "is no number above 0")),
        }
    }
}
