//! The health of a service as Consul answers it over HTTP/1.1: a [`Wire`] with blocking queries.
//!
//! Each instance of the service is one key, `node:id`. Its value is made of what a list of servers needs and of nothing
//! else, so that a check whose text changes is no change: `address`, `port`, `weight`, `phase`, and the service's metadata
//! under `meta`. An instance with a critical check is leaving: it may finish what it has.

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

/// An answer may be this long: 10,000 instances and some more.
const ANSWER_MOST: usize = 32 << 20;
/// A connection may take this long to come up.
const DIAL_MOST: Duration = Duration::from_millis(500);

/// Where an agent or server is, and who asks for what.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its endpoints.
    pub endpoints: Vec<SocketAddr>,
    /// The service's name.
    pub name: String,
    /// A token, where one is asked for.
    pub token: Option<String>,
    /// What is spoken instead of plain HTTP.
    pub tls: Option<Tls>,
}

type Sender = SendRequest<Empty<Bytes>>;

/// Asks for one service.
pub struct Consul {
    service: Service,
    tls: Option<TlsConnector>,
    /// Connections whose last query was answered, one for each endpoint.
    kept: RefCell<Vec<Option<Sender>>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Instance {
    node: NodePart,
    service: ServicePart,
    #[serde(default)]
    checks: Vec<Check>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct NodePart {
    node: String,
    #[serde(default)]
    address: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ServicePart {
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
    /// Its key and value.
    fn entry(self) -> (Vec<u8>, Vec<u8>) {
        let is = |status: &str| self.checks.iter().any(|check| check.status == status);
        let weight = self.service.weights.map_or(1.0, |weights| match is("warning") {
            true => weights.warning,
            false => weights.passing,
        });
        let address =
            if self.service.address.is_empty() { &self.node.address } else { &self.service.address };
        // Maintenance is a critical check too.
        let phase = if is("critical") { "leaving" } else { "active" };
        let value = json!({"address": address, "port": self.service.port, "weight": weight, "phase": phase,
                           "meta": self.service.meta.unwrap_or_default()});
        (format!("{}:{}", self.node.node, self.service.id).into_bytes(), value.to_string().into_bytes())
    }
}

/// The key and value of what is answered for an instance. One that cannot be read is a key whose value is no server's.
fn entry((number, found): (usize, Value)) -> (Vec<u8>, Vec<u8>) {
    let name = |at| found.pointer(at).and_then(Value::as_str);
    let key = match (name("/Node/Node"), name("/Service/ID")) {
        (Some(node), Some(id)) => format!("{node}:{id}"),
        _ => format!("unnamed:{number}"),
    };
    match Instance::deserialize(found) {
        Ok(instance) => instance.entry(),
        Err(_) => (key.into_bytes(), Vec::new()),
    }
}

impl Consul {
    /// A way to a service.
    ///
    /// # Errors
    ///
    /// The key that makes no sense, and why.
    pub fn new(service: Service) -> Result<Self, (&'static str, &'static str)> {
        let kept = service.endpoints.iter().map(|_| None).collect();
        let tls = service.tls.as_ref().map(Tls::connector).transpose()?;
        Ok(Self { service, tls, kept: RefCell::new(kept) })
    }

    async fn sender(&self, endpoint: usize) -> Result<Sender, Failure> {
        let kept = self.kept.borrow_mut()[endpoint].take().filter(|kept| !kept.is_closed());
        if let Some(mut kept) = kept {
            if kept.ready().await.is_ok() {
                return Ok(kept);
            }
        }
        let stream = timeout(DIAL_MOST, TcpStream::connect(self.service.endpoints[endpoint])).await;
        let stream = stream.ok().and_then(Result::ok).ok_or(Failure::Unreachable)?;
        stream.set_nodelay(true).map_err(|_| Failure::ConnectionLost)?;
        let Some(tls) = &self.tls else { return handshake(stream).await };
        let named = self.service.tls.as_ref().and_then(|tls| tls.server_name.clone());
        let name = match named {
            Some(name) => ServerName::try_from(name).map_err(|_| Failure::Unreachable)?,
            None => ServerName::from(self.service.endpoints[endpoint].ip()),
        };
        let stream = timeout(DIAL_MOST, tls.connect(name, stream)).await;
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
        _tell: impl Fn(Event),
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
        let led = header("X-Consul-KnownLeader").is_none_or(|known| known == "true");
        let leader_contact = header("X-Consul-LastContact").and_then(|ms| ms.parse().ok()).unwrap_or(0);
        let leader_contact = led.then(|| Duration::from_millis(leader_contact));
        let body = Limited::new(response.into_body(), ANSWER_MOST).collect().await;
        let body = body.map_err(|error| match error.is::<http_body_util::LengthLimitError>() {
            true => Failure::TooLong,
            false => Failure::ConnectionLost,
        })?;
        let instances: Vec<Value> =
            serde_json::from_slice(&body.to_bytes()).map_err(|_| Failure::ConnectionLost)?;
        self.kept.borrow_mut()[endpoint] = Some(sender);
        let entries = instances.into_iter().enumerate().map(entry).collect();
        let header = Header { cluster: 0, revision: index };
        Ok(Event::Snapshot { call, header, entries, leader_contact })
    }

    fn forget(&self, endpoint: usize, _failure: Option<Failure>) {
        self.kept.borrow_mut()[endpoint] = None;
    }
}
