//! An open-loop load generator.
//!
//! Requests are due at times that a plan or a trace sets, whatever happens to earlier ones, and a latency counts from
//! the moment that its request was due. A generator that waits for an answer before it sends the next request
//! slows down with the server and never measures the wait of those that would have come meanwhile; this one
//! doesn't. How late requests were really sent is measured apart, so that a report shows when the generator itself was
//! the bottleneck.
//!
//! - [`plan`]: what is asked for, from a TOML file
//! - [`schedule`]: when requests are due and what they are, from a plan and a seed, with no clock
//! - [`trace`]: the same from a recorded file, read as a stream
//! - [`client`]: whether a client tries again, and when
//! - [`firsts`]: tries put together by the first one of each request
//! - [`run`]: the engine that sends
//! - [`report`]: figures, requirements, JSON and histogram log
//! - [`transport`]: connections to a target, as clients keep them
//! - [`html`]: the report as one page

pub mod client;
pub mod firsts;
pub mod html;
pub mod plan;
pub mod report;
pub mod run;
pub mod schedule;
mod stream;
pub mod trace;
pub mod transport;

/// Due, and then sent at its time: one try of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Microseconds from the start of the run.
    pub due_us: u64,
    /// Its number; no two are the same.
    pub id: u64,
    /// Where it is a retry, the number of the first try.
    pub first: Option<u64>,
    /// Index of its class in the plan.
    pub class: u16,
    /// Index of its tenant in the plan.
    pub tenant: u16,
    /// What it is about.
    pub key: u64,
    /// Length of its body.
    pub bytes: u32,
}
