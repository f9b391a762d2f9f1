//! The account of memory: what is charged at each stage, who is refused first, and what is told when memory
//! becomes free.

use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use spurdrum_admission::{
    Action, Admission, ConnId, Event, HeadSize, Limits, Reason, Settings, State, Verdict, CONNECTION_MEMORY,
};

const MIB: u64 = 1 << 20;
const LIMIT: u64 = 32 * MIB;
const PEER: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
const HEAD: HeadSize = HeadSize { bytes: 300, fields: 8 };
const LONG_BODY: u64 = 60 * 1024;

struct Front {
    admission: Admission,
    now: Duration,
    actions: Vec<Action>,
}

impl Front {
    fn new() -> Self {
        let limits = Limits { sockets: 100_000, memory: LIMIT };
        let admission = Admission::new(Settings::default(), limits).expect("valid settings");
        Self { admission, now: Duration::from_secs(1), actions: Vec::new() }
    }

    fn handle(&mut self, event: Event) -> Verdict {
        self.admission.handle(self.now, event, &mut self.actions)
    }

    fn accept(&mut self, id: u64) -> Verdict {
        self.handle(Event::Accepted { id: ConnId(id), peer: PEER })
    }

    /// A connection that has completed a request.
    fn known_client(&mut self, id: u64) {
        self.accept(id);
        let id = ConnId(id);
        self.handle(Event::Received { id, bytes: HEAD.bytes });
        self.handle(Event::HeadComplete { id, head: HEAD, body: 0 });
        self.handle(Event::RequestComplete { id });
        self.handle(Event::ResponseReady { id, bytes: 4, pipelined: false });
        self.handle(Event::ResponseWritten { id });
        assert_eq!(self.admission.state(id), Some(State::Idle));
    }

    /// Lets new clients send long half requests until one is refused, and returns their number.
    fn fill_with_bodies(&mut self, first: u64) -> u64 {
        for id in first.. {
            self.accept(id);
            let id = ConnId(id);
            self.handle(Event::Received { id, bytes: HEAD.bytes });
            if self.handle(Event::HeadComplete { id, head: HEAD, body: LONG_BODY }) == Verdict::Refuse {
                return id.0 - first;
            }
        }
        unreachable!("the memory is bounded")
    }

    fn charged(&self) -> u64 {
        self.admission.memory_usage().charged()
    }
}

/// Guards against half-sent heads that hold more than they are charged.
#[test]
fn each_stage_of_a_request_is_charged() {
    let mut front = Front::new();
    let id = ConnId(1);
    front.accept(1);
    assert_eq!(front.charged(), CONNECTION_MEMORY);
    let mut before = front.charged();
    for _ in 0..4 {
        front.handle(Event::Received { id, bytes: 4000 });
        // The bytes are held twice for a part of the time: as they came, and in the read buffer.
        assert!(front.charged() >= before + 4000, "{before} {}", front.charged());
        before = front.charged();
    }
    assert!(before >= CONNECTION_MEMORY + 16_000 + 8 * 1024);
    let head = HeadSize { bytes: 16_000, fields: 90 };
    front.handle(Event::HeadComplete { id, head, body: LONG_BODY });
    assert!(front.charged() >= CONNECTION_MEMORY + 2 * 16_000 + LONG_BODY);
    front.handle(Event::RequestComplete { id });
    front.handle(Event::Pipelined { id, bytes: 100 });
    front.handle(Event::ResponseReady { id, bytes: 50_000, pipelined: false });
    assert!(front.charged() >= CONNECTION_MEMORY + 50_000);
    front.handle(Event::ResponseWritten { id });
    // The read buffer stays as large as the request has made it.
    assert!(front.charged() > CONNECTION_MEMORY);
    front.handle(Event::Closed { id });
    assert_eq!(front.charged(), 0);
}

#[test]
fn long_first_requests_are_refused_first_and_known_clients_last() {
    let mut front = Front::new();
    front.known_client(1);
    front.fill_with_bodies(10);
    let known = ConnId(1);
    assert!(front.admission.may_read(known, 0, 8192), "a known client may send a request");
    front.handle(Event::Received { id: known, bytes: HEAD.bytes });
    assert_eq!(front.handle(Event::HeadComplete { id: known, head: HEAD, body: 300 }), Verdict::Serve);
    assert_eq!(front.accept(2), Verdict::Serve, "a new connection still finds memory");
    let new = ConnId(2);
    assert!(front.admission.may_read(new, 0, 8192), "and a short first request");
    assert!(!front.admission.may_read(new, 8192, 8192), "but no long head");
    assert!(front.charged() <= front.admission.memory_usage().max);
}

#[test]
fn who_waits_for_memory_is_told_when_half_sent_requests_have_made_room() {
    let mut front = Front::new();
    front.accept(1);
    let waiting = ConnId(1);
    front.handle(Event::Received { id: waiting, bytes: 8000 });
    front.fill_with_bodies(10);
    assert!(!front.admission.may_read(waiting, 8000, 8192));
    front.handle(Event::ReadDeferred { id: waiting });
    assert!(front.actions.is_empty(), "those that have just begun stay: {:?}", front.actions);
    front.now += Duration::from_millis(300);
    front.handle(Event::ReadDeferred { id: waiting });
    let Some(Action::Expire(victim, Reason::Shed)) = front.actions.first().copied() else {
        panic!("{:?}", front.actions)
    };
    assert_ne!(victim, waiting);
    // Others are spared while enough is being freed.
    let shed =
        |front: &Front| front.actions.iter().filter(|action| matches!(action, Action::Expire(..))).count();
    for _ in 0..20 {
        front.handle(Event::ReadDeferred { id: waiting });
    }
    assert!(shed(&front) <= 4, "{:?}", front.actions);
    front.actions.clear();
    front.handle(Event::ResponseReady { id: victim, bytes: 8, pipelined: false });
    front.handle(Event::ResponseWritten { id: victim });
    front.handle(Event::HalfClosed { id: victim });
    assert!(front.actions.contains(&Action::MemoryAvailable), "{:?}", front.actions);
}

/// A client that waits for memory did not send too slowly: it is refused, not told 408.
#[test]
fn a_request_that_finds_no_memory_in_time_is_refused() {
    let mut front = Front::new();
    front.accept(1);
    let id = ConnId(1);
    front.handle(Event::ReadDeferred { id });
    assert_eq!(front.admission.state(id), Some(State::Head));
    front.now += Duration::from_secs(4);
    front.handle(Event::Tick);
    assert!(front.actions.contains(&Action::Expire(id, Reason::Shed)), "{:?}", front.actions);
}

#[test]
fn connections_to_servers_and_responses_share_the_account() {
    let mut front = Front::new();
    let max = front.admission.memory_usage().max;
    let mut responses = 0;
    while front.handle(Event::ServerConnectionRequested) == Verdict::Serve
        && front.handle(Event::ResponseMemoryRequested { bytes: LONG_BODY }) == Verdict::Serve
    {
        responses += 1;
        assert!(front.charged() <= max);
    }
    assert!(responses > 100, "{responses}");
    front.actions.clear();
    front.handle(Event::ResponseMemoryRequested { bytes: LONG_BODY });
    assert!(front.actions.contains(&Action::CloseServerConnection), "{:?}", front.actions);
    front.handle(Event::ResponseMemoryReleased { bytes: LONG_BODY });
    assert!(front.actions.contains(&Action::MemoryAvailable), "{:?}", front.actions);
    assert_eq!(front.handle(Event::ResponseMemoryRequested { bytes: LONG_BODY }), Verdict::Serve);
}

/// Guards against an account that leaves out what the process holds beside its connections.
#[test]
fn what_is_measured_beyond_the_account_leaves_less_to_charge() {
    let mut front = Front::new();
    let max = front.admission.memory_usage().max;
    front.known_client(1);
    front.handle(Event::MemoryMeasured { resident: 10 * MIB + front.charged() });
    assert_eq!(front.admission.memory_usage().max, max - 10 * MIB);
    front.handle(Event::MemoryMeasured { resident: 0 });
    assert_eq!(front.admission.memory_usage().max, max);
}

/// Guards against an account that refuses clients whose requests are complete while the limit is far away.
#[test]
fn complete_requests_may_use_what_half_sent_ones_leave() {
    let mut front = Front::new();
    let mut complete = 0;
    for id in (1..).map(ConnId) {
        front.accept(id.0);
        front.handle(Event::Received { id, bytes: HEAD.bytes });
        if front.handle(Event::HeadComplete { id, head: HEAD, body: LONG_BODY }) == Verdict::Refuse {
            break;
        }
        front.handle(Event::RequestComplete { id });
        assert_eq!(front.handle(Event::ServerConnectionRequested), Verdict::Serve);
        complete += 1;
    }
    let half_sent = Front::new().fill_with_bodies(1);
    assert!(complete > half_sent, "{complete} {half_sent}");
    let max = front.admission.memory_usage().max;
    assert!(front.charged() > max * 3 / 4 && front.charged() <= max, "{} {max}", front.charged());
}

/// Guards against a node that serves nobody because its tables outgrow its limit.
#[test]
fn a_part_of_the_limit_is_left_for_connections_whatever_the_process_holds() {
    let mut front = Front::new();
    let max = front.admission.memory_usage().max;
    front.handle(Event::MemoryMeasured { resident: 2 * LIMIT });
    assert_eq!(front.admission.memory_usage().max, max / 4);
    front.known_client(1);
    front.fill_with_bodies(10);
    assert!(front.charged() <= max / 4);
}

/// Guards against a process that keeps the memory of connections that have gone.
#[test]
fn freed_memory_is_returned_to_the_system_once() {
    let mut front = Front::new();
    let count = front.fill_with_bodies(10);
    for id in 10..=10 + count {
        front.handle(Event::Closed { id: ConnId(id) });
    }
    front.now += Duration::from_secs(1);
    assert!(front.admission.next_wake().is_some_and(|wake| wake <= front.now));
    front.handle(Event::Tick);
    front.handle(Event::Tick);
    let returned = front.actions.iter().filter(|action| **action == Action::ReleaseMemory).count();
    assert_eq!(returned, 1);
}

#[test]
fn two_processes_keep_to_their_shares_of_the_memory() {
    let mut outgoing = Front::new();
    let mut incoming = Front::new();
    outgoing.fill_with_bodies(10);
    let kept = outgoing.admission.held_memory().max(LIMIT / 2);
    assert!(kept < LIMIT, "{kept}");
    outgoing.handle(Event::MemoryShare { max: kept });
    assert!(outgoing.charged() <= outgoing.admission.memory_usage().max);
    incoming.handle(Event::MemoryShare { max: LIMIT - kept });
    incoming.fill_with_bodies(10);
    assert!(incoming.charged() + outgoing.charged() <= LIMIT - LIMIT / 8);
    // Requests that are half sent find what they need, also when the share shrinks to that.
    let needed = outgoing.admission.needed_memory();
    outgoing.handle(Event::MemoryShare { max: needed.min(kept) });
    assert_eq!(outgoing.handle(Event::ServerConnectionRequested), Verdict::Serve);
}
