//! A request that was read here and is to be served by the process that takes over: what that process reads in its place.

use std::fmt::Write;

use hyper::header::{HeaderMap, CONNECTION};
use hyper::{Method, Version};

use crate::upstream::{ForwardRequest, RequestBody};

/// What a request says beyond what goes on to servers, as another process is to hear it.
#[derive(Clone, Copy, Debug)]
pub struct HandedRequest {
    /// It is its client's retry.
    repeat: bool,
    /// The client's guess at the work, in microseconds.
    cost_us: Option<f64>,
}

impl HandedRequest {
    /// `None` where the connection could not go on as the client wants it to: it ends with this request's answer.
    pub fn new(version: Version, headers: &HeaderMap, asked: &spurdrum_policy::Request) -> Option<Self> {
        let keeps_alive = version == Version::HTTP_11 && !headers.contains_key(CONNECTION);
        let cost_us = asked.cost_ms.map(|ms| ms * 1000.0);
        keeps_alive.then_some(Self { repeat: asked.client_retry, cost_us })
    }

    /// The bytes of the request, with the time that its client still waits. `None` where it does not wait any longer, or the body
    /// is too long to be held.
    pub fn encode(self, forward: &ForwardRequest) -> Option<Vec<u8>> {
        let RequestBody::Whole(body) = &forward.body else { return None };
        let left = forward.deadline.left().as_millis();
        if left == 0 {
            return None;
        }
        let mut bytes = format!("{} {} HTTP/1.1\r\n", forward.method, forward.uri).into_bytes();
        for (name, value) in &forward.headers {
            bytes.extend_from_slice(name.as_str().as_bytes());
            bytes.extend_from_slice(b": ");
            bytes.extend_from_slice(value.as_bytes());
            bytes.extend_from_slice(b"\r\n");
        }
        let mut rest = format!("x-deadline: {}.{:03}\r\n", left / 1000, left % 1000);
        if self.repeat {
            rest += "x-retry: 1\r\n";
        }
        if let Some(cost_us) = self.cost_us {
            let _ = write!(rest, "x-cost-hint: {cost_us}\r\n");
        }
        if forward.method != Method::GET {
            let _ = write!(rest, "content-length: {}\r\n", body.len());
        }
        bytes.extend_from_slice(rest.as_bytes());
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(body);
        Some(bytes)
    }
}
