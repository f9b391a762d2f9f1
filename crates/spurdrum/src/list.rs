//! Between sources and the core: what a source says of servers, in the terms of the decisions.

use spurdrum_core::{ListEvidence, ListedServer};
use spurdrum_policy::{Availability, ServerEntry, ServerId};
use spurdrum_sources::follower::{Counts, Evidence, Freshness};
use spurdrum_sources::{List, Member, Phase};

/// Names in the order of the settings, whose indices the decisions use.
#[derive(Clone, Debug, Default)]
pub struct Places {
    /// Zones.
    pub zones: Vec<String>,
    /// Machine kinds.
    pub kinds: Vec<String>,
}

impl Places {
    /// The servers of a list.
    pub fn listed(&self, list: &List) -> Vec<ListedServer> {
        list.members.iter().map(|member| self.entry(member)).collect()
    }

    fn entry(&self, member: &Member) -> ListedServer {
        let place = |names: &[String], name| names.iter().position(|n| n == name).unwrap_or(names.len());
        let entry = ServerEntry {
            server: ServerId(0),
            availability: match member.phase {
                Phase::Active => Availability::Ready,
                Phase::Leaving => Availability::Draining,
                Phase::Left => Availability::Gone,
            },
            started_at: Some(member.up_since_ms).filter(|at| *at > 0.0),
            cell: member.cell,
            zone: place(&self.zones, &member.locality),
            kind: place(&self.kinds, &member.flavor),
            weight: member.size,
            name_hash: spurdrum_facts::name_hash(&member.id),
        };
        ListedServer { id: member.id.clone(), address: member.host_port, entry }
    }
}

/// What servers show, as a follower takes it.
pub fn evidence(sign: ListEvidence) -> Evidence {
    match sign {
        ListEvidence::Unreachable(server) => Evidence::Unreachable(server.0 as u64),
        ListEvidence::Refused { idle } => Evidence::Refused { idle },
        ListEvidence::Ejected => Evidence::Ejected,
        ListEvidence::Restarted => Evidence::Restarted,
    }
}

/// The age of a view and its version, as operators are shown them.
pub fn shown(age: Option<std::time::Duration>, revision: Option<u64>) -> (String, String) {
    let age = age.map_or("never".to_owned(), |age| format!("{:.1} s ago", age.as_secs_f64()));
    (age, revision.map_or("none".to_owned(), |revision| revision.to_string()))
}

/// How far a list is trusted, its age, its version, and what was done to follow it.
type Status = (Freshness, Option<std::time::Duration>, Option<u64>, Counts);

/// The age and version of a list, for a line that tells of its view.
pub fn trust((_, age, revision, _): Status) -> String {
    let (age, revision) = shown(age, revision);
    format!("confirmed {age}, version {revision}")
}

/// The state of a list in one line, for operators.
pub fn status((view, age, revision, counts): Status) -> String {
    let (age, revision) = shown(age, revision);
    format!("list {view}, confirmed {age}, version {revision}; {counts}")
}
