//! [`RegistryClient`] for the instances of a Consul service, read from the health API over HTTP/1.1 with
//! blocking queries.
//!
//! Each instance of the service is one key, `node:id`. Its value contains only what a list of servers needs:
//! `address`, `port`, `weight`, `phase`, and the service's metadata under `meta`. With anything else in it, a
//! health check whose text changes would count as a change of the server. An instance with a critical check
//! is leaving: it may finish its requests and gets no new ones.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde_json::{json, Map, Value};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_rustls::rustls::pki_types::ServerName;
use tokio_rustls::TlsConnector;

use super::follower::{CallId, Event, Failure, Header, Query};
use super::shell::RegistryClient;
use super::tls::Tls;

/// Maximum length of an answer: room for more than 10,000 instances.
const MAX_ANSWER_BYTES: usize = 32 << 20;
/// Time limit for establishing a connection, and for its TLS handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A service and the agents or servers to query for it.
#[derive(Clone, Debug)]
pub struct Service {
    /// Addresses of the agents or servers.
    pub endpoints: Vec<SocketAddr>,
    /// Name of the service.
    pub name: String,
    /// ACL token, if one is required.
    pub token: Option<String>,
    /// TLS settings; `None` uses plain HTTP.
    pub tls: Option<Tls>,
}

type Sender = SendRequest<Empty<Bytes>>;

/// Client that queries the instances of one service.
pub struct Consul {
    service: Service,
    tls: Option<TlsConnector>,
    /// Idle connection of each endpoint, kept after an answered query.
    idle: RefCell<Vec<Option<Sender>>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Instance {
    node: InstanceNode,
    service: InstanceService,
    #[serde(default)]
    checks: Vec<Check>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct InstanceNode {
    node: String,
    #[serde(default)]
    address: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct InstanceService {
    #[serde(rename = "ID")]
    id: String,
    #[serde(default)]
    address: String,
    #[serde(default)]
    port: u16,
    #[serde(default)]
    weights: Option<Weights>,
    #[serde(default)]
    meta: Option<Map<String, Value>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Weights {
    passing: f64,
    warning: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Check {
    status: String,
}

impl Instance {
    /// Returns the instance's key and value.
    fn entry(self) -> (Vec<u8>, Vec<u8>) {
        let has_check = |status: &str| self.checks.iter().any(|check| check.status == status);
        let weight = self.service.weights.map_or(1.0, |weights| match has_check("warning") {
            true => weights.warning,
            false => weights.passing,
        });
        let address =
            if self.service.address.is_empty() { &self.node.address } else { &self.service.address };
        // Maintenance mode shows up as a critical check too.
        let phase = if has_check("critical") { "leaving" } else { "active" };
        let value = json!({"address": address, "port": self.service.port, "weight": weight, "phase": phase,
                           "meta": self.service.meta.unwrap_or_default()});
        (format!("{}:{}", self.node.node, self.service.id).into_bytes(), value.to_string().into_bytes())
    }
}

/// Returns the key and value of one instance in an answer. An instance that cannot be parsed gets an empty
/// value, which the schema then reports as invalid.
fn entry((index, instance): (usize, Value)) -> (Vec<u8>, Vec<u8>) {
    let text = |pointer| instance.pointer(pointer).and_then(Value::as_str);
    let key = match (text("/Node/Node"), text("/Service/ID")) {
        (Some(node), Some(id)) => format!("{node}:{id}"),
        _ => format!("unnamed:{index}"),
    };
    match Instance::deserialize(instance) {
        Ok(instance) => instance.entry(),
        Err(_) => (key.into_bytes(), Vec::new()),
    }
}

impl Consul {
    /// Returns a client for a service.
    ///
    /// # Errors
    ///
    /// Returns the key of the first invalid setting and the reason.
    pub fn new(service: Service) -> Result<Self, (&'static str, &'static str)> {
        let idle = service.endpoints.iter().map(|_| None).collect();
        let tls = service.tls.as_ref().map(Tls::connector).transpose()?;
        Ok(Self { service, tls, idle: RefCell::new(idle) })
    }

    async fn sender(&self, endpoint: usize) -> Result<Sender, Failure> {
        let idle = self.idle.borrow_mut()[endpoint].take().filter(|sender| !sender.is_closed());
        if let Some(mut sender) = idle {
            if sender.ready().await.is_ok() {
                return Ok(sender);
            }
        }
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.service.endpoints[endpoint])).await;
        let stream = stream.ok().and_then(Result::ok).ok_or(Failure::Unreachable)?;
        stream.set_nodelay(true).map_err(|_| Failure::ConnectionLost)?;
        let Some(tls) = &self.tls else { return handshake(stream).await };
        let configured = self.service.tls.as_ref().and_then(|tls| tls.server_name.clone());
        let server_name = match configured {
            Some(name) => ServerName::try_from(name).map_err(|_| Failure::Unreachable)?,
            None => ServerName::from(self.service.endpoints[endpoint].ip()),
        };
        let stream = timeout(CONNECT_TIMEOUT, tls.connect(server_name, stream)).await;
        handshake(stream.ok().and_then(Result::ok).ok_or(Failure::Unreachable)?).await
    }
}

async fn handshake<S>(stream: S) -> Result<Sender, Failure>
where
    S: AsyncRead + AsyncWrite + Unpin + 'static,
{
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|_| Failure::ConnectionLost)?;
    tokio::task::spawn_local(connection);
    Ok(sender)
}

impl RegistryClient for Consul {
    async fn query(
        &self,
        call: CallId,
        endpoint: usize,
        query: Query,
        _probes: mpsc::Receiver<()>,
        _on_event: impl Fn(Event),
    ) -> Result<Event, Failure> {
        let Query::Blocking { index, wait, allow_stale } = query else { return Err(Failure::ConnectionLost) };
        let mut path = format!("/v1/health/service/{}?", self.service.name);
        if index > 0 {
            path += &format!("index={index}&wait={}ms&", wait.as_millis());
        }
        path += if allow_stale { "stale" } else { "consistent" };
        let mut request = Request::get(path).header("Host", self.service.endpoints[endpoint].to_string());
        if let Some(token) = &self.service.token {
            request = request.header("X-Consul-Token", token);
        }
        let request = request.body(Empty::new()).map_err(|_| Failure::Denied)?;
        let mut sender = self.sender(endpoint).await?;
        let response = sender.send_request(request).await.map_err(|_| Failure::ConnectionLost)?;
        match response.status() {
            StatusCode::OK => {}
            StatusCode::FORBIDDEN | StatusCode::UNAUTHORIZED => return Err(Failure::Denied),
            _ => return Err(Failure::Unavailable),
        }
        let header = |name: &str| response.headers().get(name).and_then(|value| value.to_str().ok());
        let index: u64 =
            header("X-Consul-Index").and_then(|index| index.parse().ok()).ok_or(Failure::ConnectionLost)?;
        let has_leader = header("X-Consul-KnownLeader").is_none_or(|known| known == "true");
        let leader_contact = header("X-Consul-LastContact").and_then(|ms| ms.parse().ok()).unwrap_or(0);
        let leader_contact = has_leader.then(|| Duration::from_millis(leader_contact));
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
        let body = body.map_err(|error| match error.is::<http_body_util::LengthLimitError>() {
            true => Failure::TooLong,
            false => Failure::ConnectionLost,
        })?;
        let instances: Vec<Value> =
            serde_json::from_slice(&body.to_bytes()).map_err(|_| Failure::ConnectionLost)?;
        self.idle.borrow_mut()[endpoint] = Some(sender);
        let entries = instances.into_iter().enumerate().map(entry).collect();
        let header = Header { cluster: 0, revision: index };
        Ok(Event::Snapshot { call, header, entries, leader_contact })
    }

    fn invalidate(&self, endpoint: usize, _failure: Option<Failure>) {
        self.idle.borrow_mut()[endpoint] = None;
    }
}
