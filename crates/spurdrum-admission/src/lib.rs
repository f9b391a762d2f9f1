//! Which client connections a node lets in, keeps and closes.
//!
//! An [`Admission`] owns the budgets of descriptors and memory that clients' connections use. It is told what
//! happens to each with the time it happened at, answers what it is asked with a [`Verdict`], and pushes the
//! [`Action`]s that the front is to carry out. It has no clock, randomness or I/O.
//!
//! Descriptors are held in three shares: connections that are served, those that can only be refused, and those
//! that are being closed. What a connection is worth is learned by counting who asks again soon after an answer.
//! With room to spare nothing is closed early; under pressure connections go in one order: those that stay
//! silent, those that stand idle and have asked least, and, where no place at all is left, half-sent requests.
//! A connection whose request has been taken is never among them.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//! use spurdrum_admission::{Admission, ConnId, Event, Limits, Settings, Verdict};
//!
//! let limits = Limits { sockets: 384, memory: 192 << 20 };
//! let mut admission = Admission::new(Settings::default(), limits).expect("sound");
//! let (mut actions, now, id) = (Vec::new(), Duration::ZERO, ConnId(1));
//! let peer = "127.0.0.1".parse().expect("an address");
//! assert_eq!(admission.handle(now, Event::Accepted { id, peer }, &mut actions), Verdict::Serve);
//! admission.handle(now, Event::Received { id, bytes: 120 }, &mut actions);
//! assert_eq!(admission.handle(now, Event::HeadComplete { id, body: 0 }, &mut actions), Verdict::Serve);
//! admission.handle(now, Event::RequestComplete { id }, &mut actions);
//! let answer = Event::ResponseReady { id, bytes: 512, pipelined: false };
//! assert_eq!(admission.handle(now, answer, &mut actions), Verdict::KeepAlive);
//! admission.handle(now, Event::ResponseWritten { id }, &mut actions);
//! assert!(actions.is_empty());
//! ```

mod admission;
mod counts;
mod peers;
mod settings;
mod worth;

use std::net::IpAddr;
use std::time::Duration;

pub use admission::Admission;
pub use counts::{Counts, Reason, REASON_COUNT, STATE_COUNT};
pub use settings::{Settings, TransferTimeout};

/// A connection, as the front calls it. Not used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnId(pub u64);

/// What the node may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Descriptors, of the whole process.
    pub sockets: usize,
    /// Bytes, of the whole process.
    pub memory: u64,
}

/// Where a connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It has just come.
    New,
    /// It has been there for a while and has sent nothing.
    Silent,
    /// A request's head has begun to come.
    Head,
    /// A request's body is coming.
    Body,
    /// Its request has been taken.
    Waiting,
    /// Its answer is being written.
    Writing,
    /// It has been answered and may ask again.
    Idle,
    /// It has been chosen for closing, or is half-closed.
    Closing,
}

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A connection was accepted. Verdict: `Serve`, `Refuse` (only a refusal is to be had) or `Drop`.
    Accepted {
        /// The connection.
        id: ConnId,
        /// Who it comes from.
        peer: IpAddr,
    },
    /// Bytes have been read, of a head or a body.
    Received {
        /// The connection.
        id: ConnId,
        /// How many.
        bytes: u64,
    },
    /// A request's head is whole. Verdict: `Serve` or `Refuse`.
    HeadComplete {
        /// The connection.
        id: ConnId,
        /// The body's length, or the most that it may have.
        body: u64,
    },
    /// The body that is coming, or the answer that is going, is longer than is held: its pace alone bounds its time.
    Streaming {
        /// The connection.
        id: ConnId,
    },
    /// Nothing is read of a long body, as there is no room, or a long answer's source has nothing: that time is not the
    /// client's; or it goes on.
    TransferSuspended {
        /// The connection.
        id: ConnId,
        /// Whether it waits.
        suspended: bool,
    },
    /// The request is whole: it is owed its answer from now on.
    RequestComplete {
        /// The connection.
        id: ConnId,
    },
    /// The answer is known. Verdict: `Keep`, or `Last` where it is to say that the connection ends with it.
    ResponseReady {
        /// The connection.
        id: ConnId,
        /// The answer's length.
        bytes: u64,
        /// Whether something of a next request has come already.
        pipelined: bool,
    },
    /// Bytes of the answer have been written.
    ResponseProgress {
        /// The connection.
        id: ConnId,
        /// How many.
        bytes: u64,
    },
    /// The last byte of the answer has been written.
    ResponseWritten {
        /// The connection.
        id: ConnId,
    },
    /// The node has ended its sending; what comes now is thrown away.
    HalfClosed {
        /// The connection.
        id: ConnId,
    },
    /// The connection's descriptor is free.
    Closed {
        /// The connection.
        id: ConnId,
    },
    /// A connection to a server is wanted. Verdict: `Serve`, counted as open from then on, or `Refuse`.
    ServerConnectionRequested,
    /// A connection to a server is closed.
    ServerConnectionClosed,
    /// The system had no descriptor, or no memory, for one more socket.
    ResourcesExhausted,
    /// The node is ending: each answer is its connection's last.
    ShutdownStarted,
    /// Another process takes over: what rests between two requests is passed on to it, and no answer ends its connection any more.
    HandoverStarted,
    /// There is none to pass to any more.
    HandoverEnded,
    /// Clients and servers together may hold so many descriptors: another process of this node holds the rest.
    DescriptorShare {
        /// So many.
        max: usize,
    },
    /// The node is ending and none comes any more: what owes nothing is closed.
    AcceptingStopped,
    /// The node ends in a moment: what has not been taken by now is answered or closed.
    ShutdownImminent,
    /// The time that [`Admission::next_wake`] told has come.
    Tick,
}

/// The answer to an event that asks something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing was asked.
    Nothing,
    /// Go on.
    Serve,
    /// Answer that there is no place.
    Refuse,
    /// Close it now: there is not even a place to refuse it from.
    Drop,
    /// The connection may ask again.
    KeepAlive,
    /// The answer says that the connection ends.
    CloseAfterResponse,
}

/// What the front is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Half-close it, unless something has come: then that is read and answered, as the last request.
    Close(ConnId),
    /// Pass it on to the process that takes over, unless something has come.
    HandOver(ConnId),
    /// Answer what is half sent, 408 for one that is too slow and 503 for one that makes room or that the end cuts off; then close.
    Expire(ConnId, Reason),
    /// Close it at once, whatever is unsent.
    Abort(ConnId, Reason),
    /// Close the connection to a server that has stood idle longest.
    CloseServerConnection,
    /// The level has changed: operators want to see it.
    LevelChanged {
        /// It was this.
        from: Level,
        /// It is this.
        to: Level,
    },
}

/// How much connections press.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// There is room: nothing is closed early.
    Calm,
    /// Connections that have proved to be worth little are closed early.
    Pressed,
    /// And more is closed than comes.
    Full,
}

/// A connection that may be shed: its rank, since when, itself.
type Candidate = (u8, Duration, ConnId);
