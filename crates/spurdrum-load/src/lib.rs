//! An open-loop load generator.
//!
//! A plan or a trace determines when each request is due, regardless of how earlier requests went, and
//! latency is measured from the moment a request was due. A closed-loop generator, which waits for a response
//! before it sends the next request, slows down together with the server and never measures how long the
//! requests that should have been sent in the meantime would have waited (coordinated omission); an open-loop
//! generator does measure them. How late requests were actually sent is recorded separately, so that a report
//! shows when the generator itself was the bottleneck.
//!
//! - [`plan`]: the load to generate, from a TOML file
//! - [`schedule`]: when requests are due and what they contain, from a plan and a seed, without a clock
//! - [`trace`]: the same from a recorded file, read as a stream
//! - [`client`]: whether and when a client retries
//! - [`request_tracker`]: groups the attempts of each request
//! - [`run`]: the engine that sends requests
//! - [`report`]: statistics, requirements, JSON and histogram log
//! - [`transport`]: connections to a target, pooled as clients do
//! - [`html`]: the report as a single HTML page

pub mod client;
pub mod html;
pub mod plan;
pub mod report;
pub mod request_tracker;
pub mod run;
pub mod schedule;
mod stream;
pub mod trace;
pub mod transport;

/// One attempt of a request that the schedule, a trace or a client's retry makes due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// When the attempt is due, in microseconds from the start of the run.
    pub due_us: u64,
    /// Unique id of this attempt.
    pub id: u64,
    /// For a retry, the id of the request's first attempt.
    pub retry_of: Option<u64>,
    /// Index of the request's class in the plan.
    pub class: u16,
    /// Index of the request's tenant in the plan.
    pub tenant: u16,
    /// Number of the key that the request asks for.
    pub key: u64,
    /// Length of the body in bytes.
    pub bytes: u32,
}
