//! Admission control: which client connections a node accepts, keeps and closes.
//!
//! An [`Admission`] owns the budgets of descriptors and memory for client connections. It is a pure state
//! machine: it receives an [`Event`] for whatever happens to a connection, together with the time, answers an
//! event that asks for a decision with a [`Verdict`], and pushes the [`Action`]s that the front has to carry
//! out. It has no clock, randomness or I/O.
//!
//! Client descriptors are accounted in three pools: connections that are served, connections that were
//! accepted only to be refused, and connections that are closing. How much an idle connection is worth is
//! learned by counting how many clients send another request soon after a response. While there is spare
//! capacity no connection is closed early. Under pressure connections are closed in a fixed order: silent
//! ones first, then idle ones with the fewest requests, and half-sent requests only if there is no capacity
//! left at all. A connection whose request has been received completely is never closed to make room.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//! use spurdrum_admission::{Admission, ConnId, Event, HeadSize, Limits, Settings, Verdict};
//!
//! let limits = Limits { sockets: 384, memory: 192 << 20 };
//! let mut admission = Admission::new(Settings::default(), limits).expect("valid settings");
//! let (mut actions, now, id) = (Vec::new(), Duration::ZERO, ConnId(1));
//! let peer = "127.0.0.1".parse().expect("an address");
//! assert_eq!(admission.handle(now, Event::Accepted { id, peer }, &mut actions), Verdict::Serve);
//! admission.handle(now, Event::Received { id, bytes: 120 }, &mut actions);
//! assert_eq!(admission.handle(now, Event::HeadComplete { id, head: HeadSize { bytes: 120, fields: 4 }, body: 0 }, &mut actions), Verdict::Serve);
//! admission.handle(now, Event::RequestComplete { id }, &mut actions);
//! let response = Event::ResponseReady { id, bytes: 512, pipelined: false };
//! assert_eq!(admission.handle(now, response, &mut actions), Verdict::KeepAlive);
//! admission.handle(now, Event::ResponseWritten { id }, &mut actions);
//! assert!(actions.is_empty());
//! ```

mod admission;
mod counts;
mod early_closes;
mod memory;
mod peers;
mod reuse;
mod settings;

use std::net::IpAddr;
use std::time::Duration;

pub use admission::Admission;
pub use counts::{Counts, Reason, REASON_COUNT, STATE_COUNT};
pub use memory::{HeadSize, MemoryUsage, CONNECTION as CONNECTION_MEMORY, PIPELINED as PIPELINED_MEMORY};
pub use settings::{Settings, TransferTimeout};

/// The front's identifier of a client connection. An identifier is never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnId(pub u64);

/// The resource limits of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The number of descriptors that the whole process may have open.
    pub sockets: usize,
    /// The memory limit of the whole process, in bytes.
    pub memory: u64,
}

/// The state of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Accepted within the last [`Settings::coming`]; nothing has been received yet.
    New,
    /// Open for longer than [`Settings::coming`] without having sent anything.
    Silent,
    /// Part of a request head has been received.
    Head,
    /// The request head is complete and its body is being received.
    Body,
    /// The request has been received completely and waits for its response.
    Waiting,
    /// The response is being written.
    Writing,
    /// The response has been written; the client may send another request.
    Idle,
    /// Chosen for closing, or half-closed already.
    Closing,
}

/// An event that the front reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A connection was accepted. Verdict: `Serve`, `Refuse` (it may only be sent a refusal) or `Drop`.
    Accepted {
        /// The connection.
        id: ConnId,
        /// The client's address.
        peer: IpAddr,
    },
    /// Bytes of a request head or body were read.
    Received {
        /// The connection.
        id: ConnId,
        /// How many.
        bytes: u64,
    },
    /// Bytes were read behind a request that is not answered yet, or by another process.
    Pipelined {
        /// The connection.
        id: ConnId,
        /// How many are held.
        bytes: u64,
    },
    /// The body of unknown length that is being received is about to hold this much. Verdict: `Serve`, in
    /// which case it is charged from now on, or `Refuse`: [`Action::MemoryAvailable`] follows when the front
    /// may ask again.
    BodyMemoryRequested {
        /// The connection.
        id: ConnId,
        /// The bytes.
        bytes: u64,
    },
    /// The body of the current request holds this much.
    BodyHeld {
        /// The connection.
        id: ConnId,
        /// The bytes.
        bytes: u64,
    },
    /// Input has arrived that is not read, as [`Admission::may_read`] has said that there is no memory for it.
    /// [`Action::MemoryAvailable`] follows when the front may ask again.
    ReadDeferred {
        /// The connection.
        id: ConnId,
    },
    /// A request head is complete. Verdict: `Serve` or `Refuse`.
    HeadComplete {
        /// The connection.
        id: ConnId,
        /// The size of the head.
        head: HeadSize,
        /// What the body will hold, as far as that is known; [`Event::BodyMemoryRequested`] follows if more is
        /// needed.
        body: u64,
    },
    /// The request body being received, or the response being written, is longer than the node buffers and is
    /// streamed. From now on only its transfer rate limits how long it may take.
    Streaming {
        /// The connection.
        id: ConnId,
    },
    /// A streamed transfer was suspended, or was resumed. It is suspended while the node cannot read a
    /// request body for want of buffer space, or while a response's source provides nothing; this time does
    /// not count against the client.
    TransferSuspended {
        /// The connection.
        id: ConnId,
        /// Whether the transfer is suspended now.
        suspended: bool,
    },
    /// The request has been received completely: from now on its client is owed a response.
    RequestComplete {
        /// The connection.
        id: ConnId,
    },
    /// The response is known. Verdict: `KeepAlive`, or `CloseAfterResponse` if the response has to announce
    /// that the connection is closed after it.
    ResponseReady {
        /// The connection.
        id: ConnId,
        /// The response's length.
        bytes: u64,
        /// Whether part of the next request has been received already.
        pipelined: bool,
    },
    /// Bytes of the response were written.
    ResponseProgress {
        /// The connection.
        id: ConnId,
        /// How many.
        bytes: u64,
    },
    /// The last byte of the response was written.
    ResponseWritten {
        /// The connection.
        id: ConnId,
    },
    /// The node shut down its sending side; whatever the client still sends is read and discarded.
    HalfClosed {
        /// The connection.
        id: ConnId,
    },
    /// The connection's descriptor was closed.
    Closed {
        /// The connection.
        id: ConnId,
    },
    /// A new connection to a server is requested. Verdict: `Serve`, in which case it counts as open from now
    /// on, or `Refuse`.
    ServerConnectionRequested,
    /// A connection to a server was closed.
    ServerConnectionClosed,
    /// A response is about to be received that holds this much. Verdict: `Serve`, in which case it is charged
    /// from now on, or `Refuse`: [`Action::MemoryAvailable`] follows when the front may ask again.
    ResponseMemoryRequested {
        /// The bytes.
        bytes: u64,
    },
    /// A received response holds this much less.
    ResponseMemoryReleased {
        /// The bytes.
        bytes: u64,
    },
    /// What the whole process holds was measured.
    MemoryMeasured {
        /// The bytes, without pages of files.
        resident: u64,
    },
    /// The operating system had no descriptor or memory for another socket.
    ResourcesExhausted,
    /// The node is shutting down: each response is the last on its connection.
    ShutdownStarted,
    /// The incoming process is ready to receive connections: connections between two requests are handed over
    /// to it, and responses no longer end their connections.
    HandoverStarted,
    /// There is no incoming process any more to hand connections over to.
    HandoverEnded,
    /// Limits the descriptors of clients and servers together: the other process of this node holds the rest.
    /// The memory is limited to the same part, unless [`Event::MemoryShare`] follows.
    DescriptorShare {
        /// The number of descriptors that this process may hold.
        max: usize,
    },
    /// Limits the memory of this process: the other process of this node holds the rest.
    MemoryShare {
        /// The part of the node's memory limit, in bytes.
        max: u64,
    },
    /// The node is shutting down and accepts no more connections: connections without a request are closed.
    AcceptingStopped,
    /// The node exits in a moment: requests that have not been received completely are answered, and
    /// connections without a request are closed.
    ShutdownImminent,
    /// The time returned by [`Admission::next_wake`] has come.
    Tick,
}

/// The decision on an event that asks for one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The event asks for no decision.
    Nothing,
    /// Continue.
    Serve,
    /// Respond that there is no capacity.
    Refuse,
    /// Close the connection immediately: there is not even capacity to send it a refusal.
    Drop,
    /// The client may send another request on the connection.
    KeepAlive,
    /// The response announces that the connection is closed after it.
    CloseAfterResponse,
}

/// What the front has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Half-close the connection, unless something has been received: that is then read and answered as the
    /// last request.
    Close(ConnId),
    /// Hand the connection over to the incoming process, unless something has been received.
    HandOver(ConnId),
    /// Answer a half-sent request and close the connection: 408 if it is too slow, 503 if it makes room for
    /// others or the shutdown interrupts it.
    Expire(ConnId, Reason),
    /// Close the connection immediately, whatever has not been sent.
    Abort(ConnId, Reason),
    /// Close the connection to a server that has been idle longest.
    CloseServerConnection,
    /// Memory has been freed: those who wait for it may ask again.
    MemoryAvailable,
    /// Return freed memory to the operating system, and measure what the process holds then.
    ReleaseMemory,
    /// The pressure level has changed, logged for operators.
    LevelChanged {
        /// The previous level.
        from: Level,
        /// The new level.
        to: Level,
    },
}

/// How much pressure client connections put on the node's capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// There is spare capacity: nothing is closed early.
    Calm,
    /// Connections that are unlikely to be reused soon are closed early.
    Pressed,
    /// As [`Level::Pressed`], and more connections are closed than are accepted.
    Full,
}

/// A connection that may be shed: its rank (the lowest is shed first), when it entered its state, and its
/// identifier.
type Candidate = (u8, Duration, ConnId);
