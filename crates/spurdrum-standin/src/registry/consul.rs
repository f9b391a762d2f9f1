//! A stand-in for Consul: serves the health endpoint of one service on sockets.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::model::Registry;
use tokio_rustls::rustls::crypto::ring;
use tokio_rustls::rustls::pki_types::pem::{self, PemObject};
use tokio_rustls::rustls::pki_types::{CertificateDer, PrivateKeyDer};
use tokio_rustls::rustls::ServerConfig;
use tokio_rustls::TlsAcceptor;

use super::EventLoop;

const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Faults of an endpoint.
#[derive(Clone, Debug, Default)]
struct EndpointFaults {
    /// The endpoint answers nothing.
    paused: bool,
    /// The endpoint reports that it knows no leader.
    leaderless: bool,
    /// Responses stop in the middle of the body.
    truncates: bool,
}

struct Shared {
    /// Instances by name; the value of each is the JSON returned for it.
    registry: Mutex<Registry>,
    faults: Mutex<Vec<EndpointFaults>>,
    /// Incremented on every change, to wake blocking queries.
    wakeups: watch::Sender<u64>,
    token: Option<String>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A stand-in for Consul with several endpoints, run in a thread of its own. Dropping it stops it.
pub struct Consul {
    /// Listen addresses of the endpoints.
    pub endpoints: Vec<SocketAddr>,
    shared: Arc<Shared>,
    _event_loop: EventLoop,
}

impl Consul {
    /// Starts on free ports of 127.0.0.1. Returns when all endpoints are listening. With a token, queries
    /// without that token are refused.
    ///
    /// # Errors
    ///
    /// A socket or the thread could not be set up.
    pub fn start(endpoints: usize, token: Option<&str>) -> Result<Self, String> {
        Self::start_with(endpoints, token, None)
    }

    /// Starts endpoints that speak TLS with this certificate and key, in PEM.
    ///
    /// # Errors
    ///
    /// A socket or the thread could not be set up, or the PEM is invalid.
    pub fn start_tls(endpoints: usize, certificate: &str, key: &str) -> Result<Self, String> {
        let describe = |error: pem::Error| error.to_string();
        let chain: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(certificate.as_bytes()).collect();
        let key = PrivateKeyDer::from_pem_slice(key.as_bytes()).map_err(describe)?;
        let config = ServerConfig::builder_with_provider(Arc::new(ring::default_provider()));
        let config = config.with_safe_default_protocol_versions().map_err(|error| error.to_string())?;
        let config = config.with_no_client_auth().with_single_cert(chain.map_err(describe)?, key);
        let config = config.map_err(|error| error.to_string())?;
        Self::start_with(endpoints, None, Some(TlsAcceptor::from(Arc::new(config))))
    }

    fn start_with(endpoints: usize, token: Option<&str>, tls: Option<TlsAcceptor>) -> Result<Self, String> {
        let shared = Arc::new(Shared {
            registry: Mutex::new(Registry::new(1)),
            faults: Mutex::new(vec![EndpointFaults::default(); endpoints]),
            wakeups: watch::Sender::new(0),
            token: token.map(str::to_owned),
        });
        let thread_shared = Arc::clone(&shared);
        let (event_loop, endpoints) = EventLoop::start(move || async move {
            let mut addresses = Vec::new();
            for number in 0..endpoints {
                let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
                addresses.push(listener.local_addr()?);
                tokio::spawn(accept(Arc::clone(&thread_shared), number, listener, tls.clone()));
            }
            Ok(addresses)
        })?;
        Ok(Self { endpoints, shared, _event_loop: event_loop })
    }

    /// Applies `apply` to the registry and wakes the blocking queries.
    pub fn with<T>(&self, apply: impl FnOnce(&mut Registry) -> T) -> T {
        let result = apply(&mut lock(&self.shared.registry));
        self.shared.wakeups.send_modify(|wakeups| *wakeups += 1);
        result
    }

    /// Pauses an endpoint, which then answers nothing, or resumes it.
    pub fn pause(&self, endpoint: usize, paused: bool) {
        self.set_fault(endpoint, |fault| fault.paused = paused);
    }

    /// Makes an endpoint report that it knows no leader, or that it knows one.
    pub fn leaderless(&self, endpoint: usize, leaderless: bool) {
        self.set_fault(endpoint, |fault| fault.leaderless = leaderless);
    }

    /// Makes an endpoint stop its responses in the middle of the body and close the connection, or answer
    /// whole again.
    pub fn cut_answers(&self, endpoint: usize, truncate: bool) {
        self.set_fault(endpoint, |fault| fault.truncates = truncate);
    }

    fn set_fault(&self, endpoint: usize, apply: impl FnOnce(&mut EndpointFaults)) {
        apply(&mut lock(&self.shared.faults)[endpoint]);
        self.shared.wakeups.send_modify(|wakeups| *wakeups += 1);
    }
}

/// Returns the JSON of one service instance.
pub fn instance(id: &str, address: SocketAddr, status: &str, meta: &serde_json::Value) -> String {
    serde_json::json!({
        "Node": {"Node": "n", "Address": address.ip().to_string()},
        "Service": {"ID": id, "Service": "s", "Address": "", "Port": address.port(),
                    "Weights": {"Passing": 2, "Warning": 1}, "Meta": meta},
        "Checks": [{"CheckID": "serfHealth", "Status": "passing"}, {"CheckID": "own", "Status": status}],
    })
    .to_string()
}

async fn accept(shared: Arc<Shared>, number: usize, listener: TcpListener, tls: Option<TlsAcceptor>) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let (shared, tls) = (Arc::clone(&shared), tls.clone());
        tokio::spawn(async move {
            match tls {
                None => answer(shared, number, stream).await,
                Some(tls) => {
                    if let Ok(stream) = tls.accept(stream).await {
                        answer(shared, number, stream).await;
                    }
                }
            }
        });
    }
}

/// Answers the queries of one connection.
async fn answer(shared: Arc<Shared>, number: usize, mut stream: impl AsyncRead + AsyncWrite + Unpin) {
    let mut buffer: Vec<u8> = Vec::new();
    loop {
        let end = loop {
            if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                break end + 4;
            }
            match stream.read_buf(&mut buffer).await {
                Ok(n) if n > 0 && buffer.len() < MAX_HEAD_BYTES => {}
                _ => return,
            }
        };
        let head = String::from_utf8_lossy(&buffer[..end]).to_lowercase();
        buffer.drain(..end);
        let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
        let query = |name: &str| -> Option<u64> {
            let (_, query) = path.split_once('?')?;
            let value = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
            value.trim_end_matches("ms").parse().ok()
        };
        let fault = || lock(&shared.faults)[number].clone();
        let mut wakeups = shared.wakeups.subscribe();
        let authorized = shared.token.as_ref().is_none_or(|token| {
            head.lines().any(|line| line == format!("x-consul-token: {}", token.to_lowercase()))
        });
        if let (Some(index), true) = (query("index"), authorized) {
            let index_change = async {
                // A query whose index is not the current one is answered at once.
                while lock(&shared.registry).revision() == index && wakeups.changed().await.is_ok() {}
            };
            let wait = Duration::from_millis(query("wait").unwrap_or(300_000));
            let _ = timeout(wait, index_change).await;
        }
        while fault().paused {
            sleep(Duration::from_millis(5)).await;
        }
        let (revision, state) = {
            let registry = lock(&shared.registry);
            (registry.revision(), registry.state(registry.revision()))
        };
        let values: Vec<String> =
            state.into_values().map(|value| String::from_utf8_lossy(&value).into_owned()).collect();
        let body = format!("[{}]", values.join(","));
        let (status, body) = if authorized { ("200 OK", body) } else { ("403 Forbidden", String::new()) };
        let text = format!(
            "HTTP/1.1 {status}\r\nX-Consul-Index: {revision}\r\nX-Consul-KnownLeader: {}\r\n\
             X-Consul-LastContact: 0\r\nContent-Length: {}\r\n\r\n{body}",
            !fault().leaderless,
            body.len()
        );
        let truncates = fault().truncates;
        let sent_length = if truncates { text.len() - body.len() / 2 - 1 } else { text.len() };
        if stream.write_all(&text.as_bytes()[..sent_length]).await.is_err() || truncates {
            return;
        }
    }
}
