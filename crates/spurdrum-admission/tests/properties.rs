//! What holds whatever happens, in whatever order.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use proptest::prelude::*;
use spurdrum_admission::{Action, Admission, ConnId, Event, Limits, Reason, Settings, State, Verdict};

/// Where the front knows a connection to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum At {
    Resting,
    Head,
    Body,
    /// Its request is whole: an answer is owed.
    Owed,
    Writing(bool),
    HalfClosed,
}

struct Front {
    admission: Admission,
    now: Duration,
    conns: HashMap<ConnId, At>,
    last_id: u64,
    servers: usize,
    /// What another process of the node leaves.
    part: usize,
    /// Whether a request crosses the next closing.
    crosses: bool,
}

impl Front {
    fn tell(&mut self, event: Event) -> Verdict {
        let mut actions = Vec::new();
        let verdict = self.admission.handle(self.now, event, &mut actions);
        for action in actions {
            self.carry_out(action);
        }
        self.check();
        verdict
    }

    fn check(&self) {
        let (used, most) = self.admission.descriptor_usage();
        assert!(used <= most.min(self.part), "{used} descriptors of {most} and {}", self.part);
        let (memory, budget) = self.admission.memory_usage();
        assert!(memory <= budget + 70_000 * self.conns.len() as u64, "{memory} of {budget}");
        let counts = self.admission.counts();
        assert!(counts.open() <= self.conns.len());
        assert!(self.admission.peer_count() <= 8 + counts.open());
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Close(id) => {
                let at = self.conns[&id];
                assert_eq!(at, At::Resting, "chosen for closing");
                if self.crosses {
                    self.conns.insert(id, At::Head);
                    self.tell(Event::Received { id, bytes: 20 });
                    assert_eq!(self.admission.state(id), Some(State::Head), "what crosses is read");
                } else {
                    self.conns.insert(id, At::HalfClosed);
                    self.tell(Event::HalfClosed { id });
                }
            }
            Action::HandOver(id) => {
                assert_eq!(self.conns[&id], At::Resting, "chosen to be passed on");
                self.leave(id);
            }
            Action::Expire(id, _) => {
                let at = self.conns[&id];
                assert!(matches!(at, At::Head | At::Body), "{at:?} expired");
                self.conns.insert(id, At::HalfClosed);
                if at == At::Body {
                    self.tell(Event::ResponseReady { id, bytes: 8, pipelined: false });
                    self.tell(Event::ResponseWritten { id });
                }
                self.tell(Event::HalfClosed { id });
            }
            Action::Abort(id, reason) => {
                let at = self.conns.remove(&id).expect("known");
                let writing = matches!(at, At::Writing(_)) && reason == Reason::SlowRead;
                assert!(writing || at == At::HalfClosed, "{at:?} cut for {reason:?}");
                self.tell(Event::Closed { id });
            }
            Action::CloseServerConnection => {
                assert!(self.servers > 0);
                self.servers -= 1;
                self.tell(Event::ServerConnectionClosed);
            }
            Action::LevelChanged { from, to } => assert_ne!(from, to),
        }
    }

    /// The connection does what comes next to it, one way or another.
    fn go_on(&mut self, id: ConnId, way: u8) {
        match self.conns[&id] {
            At::Resting => {
                self.conns.insert(id, At::Head);
                self.tell(Event::Received { id, bytes: 50 });
            }
            At::Head if way.is_multiple_of(3) => {
                self.tell(Event::Received { id, bytes: 50 });
            }
            At::Head => {
                let served =
                    self.tell(Event::HeadComplete { id, body: u64::from(way) * 200 }) == Verdict::Serve;
                let at = if served { At::Body } else { At::Owed };
                self.conns.insert(id, at);
            }
            At::Body if way.is_multiple_of(2) => {
                self.tell(Event::Received { id, bytes: 100 });
            }
            At::Body => {
                self.conns.insert(id, At::Owed);
                self.tell(Event::RequestComplete { id });
            }
            At::Owed => {
                let pipelined = way.is_multiple_of(5);
                let last = self.tell(Event::ResponseReady { id, bytes: u64::from(way) * 250, pipelined })
                    == Verdict::CloseAfterResponse;
                assert!(!(last && pipelined), "a request that has come is not cut off");
                self.conns.insert(id, At::Writing(last));
            }
            At::Writing(_) if way.is_multiple_of(4) => {
                self.tell(Event::ResponseProgress { id, bytes: 1000 });
            }
            At::Writing(last) => {
                self.conns.insert(id, if last { At::HalfClosed } else { At::Resting });
                self.tell(Event::ResponseWritten { id });
                if last {
                    self.tell(Event::HalfClosed { id });
                }
            }
            At::HalfClosed => self.leave(id),
        }
    }

    fn leave(&mut self, id: ConnId) {
        self.conns.remove(&id);
        self.tell(Event::Closed { id });
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn budgets_hold_and_what_is_owed_an_answer_is_never_chosen(
        sockets in 1_usize..200,
        adaptive: bool,
        memory_kb in 500_u64..20_000,
        steps in prop::collection::vec((0_u8..16, any::<u8>(), any::<u16>(), 0_u16..400), 1..600),
    ) {
        let settings = Settings { adaptive, peers: 8, ..Settings::default() };
        let limits = Limits { sockets, memory: memory_kb * 1024 };
        let admission = Admission::new(settings, limits).expect("sound");
        let (now, conns) = (Duration::ZERO, HashMap::new());
        let mut front = Front { admission, now, conns, last_id: 0, servers: 0, part: usize::MAX, crosses: false };
        for (step, way, which, ms) in steps {
            front.now += Duration::from_millis(u64::from(ms) / 8);
            front.crosses = way % 7 == 0;
            let mut ids: Vec<ConnId> = front.conns.keys().copied().collect();
            ids.sort_unstable();
            let id = (!ids.is_empty()).then(|| ids[usize::from(which) % ids.len()]);
            match (step, id) {
                (0..=4, _) => {
                    front.last_id += 1;
                    let id = ConnId(front.last_id);
                    let peer = Ipv4Addr::new(10, 0, 0, way % 30).into();
                    front.conns.insert(id, At::Resting);
                    if front.tell(Event::Accepted { id, peer }) == Verdict::Drop {
                        front.conns.remove(&id);
                    }
                }
                (5..=11, Some(id)) => front.go_on(id, way),
                (12, Some(id)) => front.leave(id),
                (13, _) if way % 3 == 0 => {
                    front.tell(Event::ResourcesExhausted);
                }
                (13, _) if way == 2 => {
                    front.tell(Event::HandoverStarted);
                    let resting = front.conns.values().filter(|at| **at == At::Resting).count();
                    let known = front.admission.counts();
                    prop_assert_eq!(known.in_state(State::New) + known.in_state(State::Silent) + known.in_state(State::Idle), 0, "{}", resting);
                }
                (13, _) if way == 4 => {
                    front.tell(Event::HandoverEnded);
                }
                (13, _) if (5..60).contains(&way) => {
                    let max = front.admission.descriptor_usage().0.max(usize::from(way) * 2);
                    front.tell(Event::DescriptorShare { max });
                    front.part = max.max(6);
                }
                (13, _) if way == 1 => {
                    front.tell(Event::ShutdownStarted);
                    front.tell(Event::AcceptingStopped);
                }
                (13, _) if way == 7 => {
                    front.tell(Event::ShutdownStarted);
                    front.tell(Event::ShutdownImminent);
                }
                (13 | 14, _) => {
                    if front.tell(Event::ServerConnectionRequested) == Verdict::Serve {
                        front.servers += 1;
                    }
                }
                _ => {
                    front.now += Duration::from_millis(u64::from(ms) * 5);
                    front.tell(Event::Tick);
                }
            }
        }
        for id in front.conns.keys().copied().collect::<Vec<_>>() {
            if front.conns.contains_key(&id) {
                front.leave(id);
            }
        }
        prop_assert_eq!(front.admission.counts().open(), 0);
        prop_assert_eq!(front.admission.memory_usage().0, 0);
        prop_assert_eq!(front.admission.descriptor_usage().0, front.servers);
    }
}
