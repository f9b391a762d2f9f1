//! One node, independent of the protocol. A front turns its clients' requests into requests with a class, a
//! tenant and a budget, and [submits](Node::accept) them; the core owes each of them exactly one final
//! answer. The decisions of `spurdrum_policy`, which only the core calls, choose the server of each attempt;
//! a [`Transport`] sends the attempt and reports how it ended. Neither a front nor a transport chooses
//! servers, retries or refuses.
//!
//! [`Connections`] owns the descriptors that fronts and transports share.

mod begun;
mod connections;
mod event_log;
mod handed_over;
mod metrics;
mod node;
mod pause;
mod startup_queue;
mod transport;

pub use begun::RequestHash;
pub use connections::{
    is_resource_exhausted, ConnectionCommand, ConnectionPermit, Connections, ResponseMemory,
    ServerConnectionPermit,
};
pub use event_log::EventLog;
pub use handed_over::HandedOverConnection;
pub use metrics::{ClassCounts, InflightRequest, LatencyBuckets, NodeMetrics, RequestResult};
pub use node::{unix_ms, Answer, Config, ListEvidence, ListedServer, Node, NotAccepted};
pub use pause::{
    catch_up_deadline, pause_adjusted_timeout, sleep_and_catch_up, PauseAdjustedClock, PauseDetector,
};
pub use transport::{Cancellation, Reply, Transport, TransportRequest};
