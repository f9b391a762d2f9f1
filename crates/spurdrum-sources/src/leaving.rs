//! Remembers which servers were announced as leaving, so that an older list does not undo that.
//!
//! A discovery that has a new address, or that has come back with an older copy of its state, may list a
//! server as active that it had announced as leaving. Its revision shows that the list is older. What an
//! older list says about such a server is withheld for a while. It is believed only if nothing newer has
//! arrived by then, since the revisions of discovery may have restarted, or if the server itself has been
//! restarted.

use std::collections::HashMap;
use std::time::Duration;

use crate::{List, Member, Phase};

/// How long the entry of an older list for a leaving server is withheld. A discovery that serves an older
/// copy of its state has caught up by then.
const WITHHOLD_FOR: Duration = Duration::from_secs(20);

/// What the newest list said about a leaving server.
struct Departure {
    revision: u64,
    up_since_ms: f64,
    /// When the server was gone, if it is.
    gone_at: Option<Duration>,
}

/// The servers that were announced as leaving or gone, by their ids.
#[derive(Default)]
pub struct LeavingServers {
    departures: HashMap<String, Departure>,
    /// The entries of older lists for these servers, and when they are released.
    withheld: HashMap<String, Member>,
    release_at: Option<Duration>,
}

impl LeavingServers {
    /// Records which servers leave according to a list that is to be applied, and changes the entries of an
    /// older list for such servers from active to leaving.
    pub fn filter(&mut self, now: Duration, list: &mut List) {
        // Without this the map would grow with every server that ever left.
        self.departures.retain(|_, departure| departure.gone_at.is_none_or(|at| now < at + WITHHOLD_FOR));
        if list.complete {
            self.withheld.clear();
            // A server that a whole list does not contain is gone, even if discovery's revisions have
            // restarted and are lower.
            self.departures
                .values_mut()
                .for_each(|departure| departure.gone_at = departure.gone_at.or(Some(now)));
        }
        for member in &mut list.members {
            self.withheld.remove(&member.id);
            let known = self.departures.get(&member.id);
            let is_older = known.is_some_and(|departure| {
                departure.revision > list.revision && departure.up_since_ms == member.up_since_ms
            });
            match member.phase {
                Phase::Active if is_older => {
                    self.withheld.insert(member.id.clone(), member.clone());
                    member.phase = Phase::Leaving;
                }
                Phase::Active => {
                    self.departures.remove(&member.id);
                }
                Phase::Leaving | Phase::Left if is_older => {}
                Phase::Leaving | Phase::Left => {
                    let gone_at = (member.phase == Phase::Left).then_some(now);
                    let departure =
                        Departure { revision: list.revision, up_since_ms: member.up_since_ms, gone_at };
                    self.departures.insert(member.id.clone(), departure);
                }
            }
        }
        self.release_at = (!self.withheld.is_empty()).then(|| self.release_at.unwrap_or(now + WITHHOLD_FOR));
    }

    /// Returns when withheld entries are to be released, if there are any.
    pub fn next_release(&self) -> Option<Duration> {
        self.release_at
    }

    /// Returns the entries that have been withheld for long enough, as changes to the list of `revision`.
    pub fn release(&mut self, now: Duration, revision: u64) -> Option<List> {
        self.release_at.take_if(|at| *at <= now)?;
        let mut members: Vec<Member> = self.withheld.drain().map(|(_, member)| member).collect();
        members.sort_by(|a, b| a.id.cmp(&b.id));
        self.departures.retain(|id, _| members.binary_search_by(|member| member.id.cmp(id)).is_err());
        Some(List { revision, complete: false, members })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A discovery whose revisions have restarted never lists the servers again that were leaving before.
    #[test]
    fn servers_that_no_list_contains_any_more_are_forgotten() {
        let member = |id: usize| Member {
            id: format!("s{id}"),
            host_port: ([127, 0, 0, 1], 1).into(),
            locality: "a".into(),
            flavor: "m".into(),
            cell: 0,
            phase: Phase::Leaving,
            size: 1.0,
            up_since_ms: 0.0,
        };
        let mut leaving = LeavingServers::default();
        leaving.filter(
            Duration::ZERO,
            &mut List { revision: 41, complete: false, members: (0..500).map(member).collect() },
        );
        for revision in 1..3 {
            let now = Duration::from_secs(30) * revision as u32;
            leaving.filter(
                now,
                &mut List { revision, complete: true, members: (500..503).map(member).collect() },
            );
        }
        assert_eq!(leaving.departures.len(), 3);
    }
}
