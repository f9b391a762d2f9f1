//! Properties that hold for any events in any order.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use proptest::prelude::*;
use spurdrum_admission::{
    Action, Admission, ConnId, Event, HeadSize, Limits, Reason, Settings, State, Verdict,
};

/// The phase of a connection as the front knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnPhase {
    Idle,
    Head,
    Body,
    /// Its request is complete: a response is owed.
    ResponseOwed,
    Writing(bool),
    HalfClosed,
}

struct Front {
    admission: Admission,
    now: Duration,
    conns: HashMap<ConnId, ConnPhase>,
    last_id: u64,
    servers: usize,
    /// The descriptors that the other process of the node leaves to this one.
    share_limit: usize,
    /// What was charged when that part was last changed: it may have shrunk below it.
    charged_at_share: u64,
    /// Whether a request arrives while the next connection is being closed.
    request_crosses: bool,
}

impl Front {
    fn handle(&mut self, event: Event) -> Verdict {
        let mut actions = Vec::new();
        let verdict = self.admission.handle(self.now, event, &mut actions);
        for action in actions {
            self.execute(action);
        }
        self.check();
        verdict
    }

    fn check(&self) {
        let (used, max) = self.admission.descriptor_usage();
        assert!(used <= max.min(self.share_limit), "{used} descriptors of {max} and {}", self.share_limit);
        let usage = self.admission.memory_usage();
        let (clients, budget) = (usage.clients, self.admission.memory_limit() / 2);
        assert!(clients <= budget + 70_000 * self.conns.len() as u64, "{clients} of {budget}");
        let (charged, max) = (usage.charged(), usage.max.max(self.charged_at_share));
        assert!(charged <= max + 70_000 * self.conns.len() as u64, "{charged} of {max}");
        let counts = self.admission.counts();
        assert!(counts.open() <= self.conns.len());
        assert!(self.admission.peer_count() <= 8 + counts.open());
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Close(id) => {
                let phase = self.conns[&id];
                assert_eq!(phase, ConnPhase::Idle, "chosen for closing");
                if self.request_crosses {
                    self.conns.insert(id, ConnPhase::Head);
                    self.handle(Event::Received { id, bytes: 20 });
                    assert_eq!(
                        self.admission.state(id),
                        Some(State::Head),
                        "a request that crosses a close is read"
                    );
                } else {
                    self.conns.insert(id, ConnPhase::HalfClosed);
                    self.handle(Event::HalfClosed { id });
                }
            }
            Action::HandOver(id) => {
                assert_eq!(self.conns[&id], ConnPhase::Idle, "chosen for handover");
                self.disconnect(id);
            }
            Action::Expire(id, _) => {
                let phase = self.conns[&id];
                assert!(matches!(phase, ConnPhase::Head | ConnPhase::Body), "{phase:?} expired");
                self.conns.insert(id, ConnPhase::HalfClosed);
                if phase == ConnPhase::Body {
                    self.handle(Event::ResponseReady { id, bytes: 8, pipelined: false });
                    self.handle(Event::ResponseWritten { id });
                }
                self.handle(Event::HalfClosed { id });
            }
            Action::Abort(id, reason) => {
                let phase = self.conns.remove(&id).expect("known");
                let slow_reader = matches!(phase, ConnPhase::Writing(_)) && reason == Reason::SlowRead;
                assert!(slow_reader || phase == ConnPhase::HalfClosed, "{phase:?} aborted for {reason:?}");
                self.handle(Event::Closed { id });
            }
            Action::CloseServerConnection => {
                assert!(self.servers > 0);
                self.servers -= 1;
                self.handle(Event::ServerConnectionClosed);
            }
            Action::LevelChanged { from, to } => assert_ne!(from, to),
            Action::MemoryAvailable | Action::ReleaseMemory => {}
        }
    }

    /// Advances the connection by its next step, which `variant` selects.
    fn advance(&mut self, id: ConnId, variant: u8) {
        match self.conns[&id] {
            ConnPhase::Idle => {
                self.conns.insert(id, ConnPhase::Head);
                self.handle(Event::Received { id, bytes: 50 });
            }
            ConnPhase::Head if variant.is_multiple_of(3) => {
                self.handle(Event::Received { id, bytes: 50 });
            }
            ConnPhase::Head => {
                let served = self.handle(Event::HeadComplete {
                    id,
                    head: HeadSize { bytes: 50, fields: 2 },
                    body: u64::from(variant) * 200,
                }) == Verdict::Serve;
                let phase = if served { ConnPhase::Body } else { ConnPhase::ResponseOwed };
                self.conns.insert(id, phase);
            }
            ConnPhase::Body if variant.is_multiple_of(2) => {
                self.handle(Event::Received { id, bytes: 100 });
            }
            ConnPhase::Body => {
                self.conns.insert(id, ConnPhase::ResponseOwed);
                self.handle(Event::RequestComplete { id });
            }
            ConnPhase::ResponseOwed => {
                let pipelined = variant.is_multiple_of(5);
                let last =
                    self.handle(Event::ResponseReady { id, bytes: u64::from(variant) * 250, pipelined })
                        == Verdict::CloseAfterResponse;
                assert!(!(last && pipelined), "a request that has arrived is not cut off");
                self.conns.insert(id, ConnPhase::Writing(last));
            }
            ConnPhase::Writing(_) if variant.is_multiple_of(4) => {
                self.handle(Event::ResponseProgress { id, bytes: 1000 });
            }
            ConnPhase::Writing(last) => {
                self.conns.insert(id, if last { ConnPhase::HalfClosed } else { ConnPhase::Idle });
                self.handle(Event::ResponseWritten { id });
                if last {
                    self.handle(Event::HalfClosed { id });
                }
            }
            ConnPhase::HalfClosed => self.disconnect(id),
        }
    }

    fn disconnect(&mut self, id: ConnId) {
        self.conns.remove(&id);
        self.handle(Event::Closed { id });
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn budgets_hold_and_connections_owed_a_response_are_never_chosen(
        sockets in 1_usize..200,
        adaptive: bool,
        memory_kb in 500_u64..20_000,
        steps in prop::collection::vec((0_u8..16, any::<u8>(), any::<u16>(), 0_u16..400), 1..600),
    ) {
        let settings = Settings { adaptive, peers: 8, ..Settings::default() };
        let limits = Limits { sockets, memory: memory_kb * 1024 };
        let admission = Admission::new(settings, limits).expect("valid settings");
        let (now, conns) = (Duration::ZERO, HashMap::new());
        let mut front =
            Front { admission, now, conns, last_id: 0, servers: 0, share_limit: usize::MAX, charged_at_share: 0, request_crosses: false };
        for (step, variant, pick, ms) in steps {
            front.now += Duration::from_millis(u64::from(ms) / 8);
            front.request_crosses = variant % 7 == 0;
            let mut ids: Vec<ConnId> = front.conns.keys().copied().collect();
            ids.sort_unstable();
            let id = (!ids.is_empty()).then(|| ids[usize::from(pick) % ids.len()]);
            match (step, id) {
                (0..=4, _) => {
                    front.last_id += 1;
                    let id = ConnId(front.last_id);
                    let peer = Ipv4Addr::new(10, 0, 0, variant % 30).into();
                    front.conns.insert(id, ConnPhase::Idle);
                    if front.handle(Event::Accepted { id, peer }) == Verdict::Drop {
                        front.conns.remove(&id);
                    }
                }
                (5..=11, Some(id)) => front.advance(id, variant),
                (12, Some(id)) => front.disconnect(id),
                (13, _) if variant % 3 == 0 => {
                    front.handle(Event::ResourcesExhausted);
                }
                (13, _) if variant == 2 => {
                    front.handle(Event::HandoverStarted);
                    let idle = front.conns.values().filter(|phase| **phase == ConnPhase::Idle).count();
                    let counts = front.admission.counts();
                    prop_assert_eq!(counts.in_state(State::New) + counts.in_state(State::Silent) + counts.in_state(State::Idle), 0, "{}", idle);
                }
                (13, _) if variant == 4 => {
                    front.handle(Event::HandoverEnded);
                }
                (13, _) if (5..60).contains(&variant) => {
                    let max = front.admission.descriptor_usage().0.max(usize::from(variant) * 2);
                    front.charged_at_share = front.admission.memory_usage().charged();
                    front.handle(Event::DescriptorShare { max });
                    front.share_limit = max.max(6);
                }
                (13, _) if variant == 1 => {
                    front.handle(Event::ShutdownStarted);
                    front.handle(Event::AcceptingStopped);
                }
                (13, _) if variant == 7 => {
                    front.handle(Event::ShutdownStarted);
                    front.handle(Event::ShutdownImminent);
                }
                (13 | 14, _) => {
                    if front.handle(Event::ServerConnectionRequested) == Verdict::Serve {
                        front.servers += 1;
                    }
                }
                _ => {
                    front.now += Duration::from_millis(u64::from(ms) * 5);
                    front.handle(Event::Tick);
                }
            }
        }
        for id in front.conns.keys().copied().collect::<Vec<_>>() {
            if front.conns.contains_key(&id) {
                front.disconnect(id);
            }
        }
        prop_assert_eq!(front.admission.counts().open(), 0);
        let usage = front.admission.memory_usage();
        prop_assert_eq!((usage.clients, usage.requests), (0, 0));
        prop_assert_eq!(usage.servers == 0, front.servers == 0);
        prop_assert_eq!(front.admission.descriptor_usage().0, front.servers);
    }
}
