//! The serialized form of a request that this process has read and the incoming process is to serve: the
//! incoming process reads these bytes in place of the original ones.

use std::fmt::Write;

use hyper::header::{HeaderMap, CONNECTION};
use hyper::{Method, Version};

use crate::upstream::{ForwardRequest, RequestBody};

/// The properties of a request that are not forwarded to servers, but that the incoming process needs.
#[derive(Clone, Copy, Debug)]
pub struct HandedOverRequest {
    /// Whether the client marked the request as a retry.
    client_retry: bool,
    /// The client's estimate of the work, in microseconds.
    cost_us: Option<f64>,
}

impl HandedOverRequest {
    /// Creates the handover data of a request. Returns `None` if the client does not keep its connection
    /// alive: the connection ends with the response to this request.
    pub fn new(version: Version, headers: &HeaderMap, request: &spurdrum_policy::Request) -> Option<Self> {
        let keeps_alive = version == Version::HTTP_11 && !headers.contains_key(CONNECTION);
        let cost_us = request.cost_ms.map(|ms| ms * 1000.0);
        keeps_alive.then_some(Self { client_retry: request.client_retry, cost_us })
    }

    /// Returns the bytes of the request, with the time for which its client will still wait. Returns `None`
    /// if that time is over, or if the body is too long to be buffered.
    pub fn encode(self, forward: &ForwardRequest) -> Option<Vec<u8>> {
        let RequestBody::Buffered(body) = &forward.body else { return None };
        let remaining_ms = forward.deadline.remaining().as_millis();
        if remaining_ms == 0 {
            return None;
        }
        let mut bytes = format!("{} {} HTTP/1.1\r\n", forward.method, forward.uri).into_bytes();
        for (name, value) in &forward.headers {
            bytes.extend_from_slice(name.as_str().as_bytes());
            bytes.extend_from_slice(b": ");
            bytes.extend_from_slice(value.as_bytes());
            bytes.extend_from_slice(b"\r\n");
        }
        let mut added_headers = format!("x-deadline: {}.{:03}\r\n", remaining_ms / 1000, remaining_ms % 1000);
        if self.client_retry {
            added_headers += "x-retry: 1\r\n";
        }
        if let Some(cost_us) = self.cost_us {
            let _ = write!(added_headers, "x-cost-hint: {cost_us}\r\n");
        }
        if forward.method != Method::GET {
            let _ = write!(added_headers, "content-length: {}\r\n", body.len());
        }
        bytes.extend_from_slice(added_headers.as_bytes());
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(body);
        Some(bytes)
    }
}
