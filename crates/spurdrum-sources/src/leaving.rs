//! What a node was told of servers that leave, which an older list does not undo.
//!
//! A discovery that has moved, or that is back with an older copy, may list a server as active that it had announced as leaving. The
//! version tells: what an older list says of such a server is withheld for a while, and believed only when nothing newer has
//! come by then, as its versions may have begun anew, or when the server was started again.

use std::collections::HashMap;
use std::time::Duration;

use crate::{List, Member, Phase};

/// What an older list says of a leaving server is withheld for so long. A discovery that serves an older copy has caught up by then.
const WITHHELD: Duration = Duration::from_secs(20);

struct Told {
    revision: u64,
    up_since_ms: f64,
    /// When it was gone, where it is.
    gone_at: Option<Duration>,
}

/// The servers that were told as leaving, by their ids.
#[derive(Default)]
pub struct Leaving {
    told: HashMap<String, Told>,
    /// What older lists say of them, until when.
    withheld: HashMap<String, Member>,
    until: Option<Duration>,
}

impl Leaving {
    /// Notes who leaves by a list that is to be applied, and takes back what an older one says of those.
    pub fn heed(&mut self, now: Duration, list: &mut List) {
        // Guards against growth with every server that ever was.
        self.told.retain(|_, told| told.gone_at.is_none_or(|at| now < at + WITHHELD));
        if list.complete {
            self.withheld.clear();
            // Whoever is not in it is gone, also by the lower versions of a discovery that begins anew.
            self.told.values_mut().for_each(|told| told.gone_at = told.gone_at.or(Some(now)));
        }
        for member in &mut list.members {
            self.withheld.remove(&member.id);
            let known = self.told.get(&member.id);
            let older = known
                .is_some_and(|told| told.revision > list.revision && told.up_since_ms == member.up_since_ms);
            match member.phase {
                Phase::Active if older => {
                    self.withheld.insert(member.id.clone(), member.clone());
                    member.phase = Phase::Leaving;
                }
                Phase::Active => {
                    self.told.remove(&member.id);
                }
                Phase::Leaving | Phase::Left if older => {}
                Phase::Leaving | Phase::Left => {
                    let gone_at = (member.phase == Phase::Left).then_some(now);
                    let told = Told { revision: list.revision, up_since_ms: member.up_since_ms, gone_at };
                    self.told.insert(member.id.clone(), told);
                }
            }
        }
        self.until = (!self.withheld.is_empty()).then(|| self.until.unwrap_or(now + WITHHELD));
    }

    /// When something that is withheld is due.
    pub fn due(&self) -> Option<Duration> {
        self.until
    }

    /// What was withheld for long enough, as changes to the list of a version.
    pub fn release(&mut self, now: Duration, revision: u64) -> Option<List> {
        self.until.take_if(|until| *until <= now)?;
        let mut members: Vec<Member> = self.withheld.drain().map(|(_, member)| member).collect();
        members.sort_by(|a, b| a.id.cmp(&b.id));
        self.told.retain(|id, _| members.binary_search_by(|member| member.id.cmp(id)).is_err());
        Some(List { revision, complete: false, members })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A discovery whose versions begin anew does not know those that were leaving before.
    #[test]
    fn servers_that_no_list_names_any_more_are_forgotten() {
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
        let mut leaving = Leaving::default();
        leaving.heed(
            Duration::ZERO,
            &mut List { revision: 41, complete: false, members: (0..500).map(member).collect() },
        );
        for revision in 1..3 {
            let now = Duration::from_secs(30) * revision as u32;
            leaving
                .heed(now, &mut List { revision, complete: true, members: (500..503).map(member).collect() });
        }
        assert_eq!(leaving.told.len(), 3);
    }
}
