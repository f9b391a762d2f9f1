//! A static list of servers from the configuration file, for fleets without discovery.

use std::collections::HashSet;
use std::net::SocketAddr;

use serde::Deserialize;

use crate::{List, Member, Phase};

/// A static list of servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StaticList {
    /// The servers.
    pub servers: Vec<StaticServer>,
}

/// One server of a static list.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StaticServer {
    /// The id of the server; its address if none is given.
    pub id: Option<String>,
    /// The address on which the server listens.
    pub address: SocketAddr,
    /// The name of the zone.
    #[serde(default)]
    pub zone: String,
    /// The name of the kind of machine.
    #[serde(default)]
    pub kind: String,
    /// The cell.
    #[serde(default)]
    pub cell: usize,
    /// The weight of the server in load balancing.
    #[serde(default = "default_weight")]
    pub weight: f64,
}

fn default_weight() -> f64 {
    1.0
}

impl StaticServer {
    fn id(&self) -> String {
        self.id.clone().unwrap_or_else(|| self.address.to_string())
    }

    fn member(&self) -> Member {
        Member {
            id: self.id(),
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
    /// Returns the whole list.
    pub fn list(&self) -> List {
        List { revision: 0, complete: true, members: self.servers.iter().map(StaticServer::member).collect() }
    }

    /// Checks that no id or address occurs twice, and that every weight is valid.
    ///
    /// # Errors
    ///
    /// Returns the first key whose value is not valid, and why.
    pub fn check(&self) -> Result<(), (&'static str, &'static str)> {
        let mut ids = HashSet::new();
        if !self.servers.iter().all(|server| ids.insert(server.id())) {
            return Err(("servers", "two servers have the same id or address"));
        }
        let is_valid = |weight: f64| weight.is_finite() && weight > 0.0;
        match self.servers.iter().all(|server| is_valid(server.weight)) {
            true => Ok(()),
            false => Err(("weight", "must be a number above 0")),
        }
    }
}
