//! Conversion of lists and evidence between the sources' types and those of the core and the policy, and
//! their status texts.

use spurdrum_core::{ListEvidence, ListedServer};
use spurdrum_policy::{Availability, ServerEntry, ServerId};
use spurdrum_sources::follower::{Counts, Evidence, Freshness};
use spurdrum_sources::{List, Member, Phase};

/// The names of zones and machine kinds, in the order of the settings. The policy refers to them by index.
#[derive(Clone, Debug, Default)]
pub struct ZonesAndKinds {
    /// The zones' names.
    pub zones: Vec<String>,
    /// The machine kinds' names.
    pub kinds: Vec<String>,
}

impl ZonesAndKinds {
    /// Converts the members of a list to the core's type.
    pub fn to_servers(&self, list: &List) -> Vec<ListedServer> {
        list.members.iter().map(|member| self.to_server(member)).collect()
    }

    /// Converts a member of a list to the core's type. A zone or kind without a name in the settings gets the
    /// index after the last.
    fn to_server(&self, member: &Member) -> ListedServer {
        let index_of = |names: &[String], name| names.iter().position(|n| n == name).unwrap_or(names.len());
        let entry = ServerEntry {
            server: ServerId(0),
            availability: match member.phase {
                Phase::Active => Availability::Ready,
                Phase::Leaving => Availability::Draining,
                Phase::Left => Availability::Gone,
            },
            started_at: Some(member.up_since_ms).filter(|started_at| *started_at > 0.0),
            cell: member.cell,
            zone: index_of(&self.zones, &member.locality),
            kind: index_of(&self.kinds, &member.flavor),
            weight: member.size,
            name_hash: spurdrum_facts::name_hash(&member.id),
        };
        ListedServer { id: member.id.clone(), address: member.host_port, entry }
    }
}

/// Converts evidence that the list is out of date, which the core observes at servers, to the follower's
/// type.
pub fn evidence(evidence: ListEvidence) -> Evidence {
    match evidence {
        ListEvidence::Unreachable(server) => Evidence::Unreachable(server.0 as u64),
        ListEvidence::Refused { idle } => Evidence::Refused { idle },
        ListEvidence::Ejected => Evidence::Ejected,
        ListEvidence::Restarted => Evidence::Restarted,
    }
}

/// Returns the age of a list's confirmation and the list's revision as texts for operators.
pub fn age_and_revision(age: Option<std::time::Duration>, revision: Option<u64>) -> (String, String) {
    let age = age.map_or("never".to_owned(), |age| format!("{:.1} s ago", age.as_secs_f64()));
    (age, revision.map_or("none".to_owned(), |revision| revision.to_string()))
}

/// The state of a follower: the list's freshness, the time since its confirmation, its revision, and the
/// counts of calls.
type FollowerStatus = (Freshness, Option<std::time::Duration>, Option<u64>, Counts);

/// Returns the age and revision of a list for the log.
pub fn confirmation((_, age, revision, _): FollowerStatus) -> String {
    let (age, revision) = age_and_revision(age, revision);
    format!("confirmed {age}, version {revision}")
}

/// Returns the state of a list as one line for operators.
pub fn status((freshness, age, revision, counts): FollowerStatus) -> String {
    let (age, revision) = age_and_revision(age, revision);
    format!("list {freshness}, confirmed {age}, version {revision}; {counts}")
}
