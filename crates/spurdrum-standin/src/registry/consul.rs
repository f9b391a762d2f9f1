//! The registry on sockets, as Consul answers for the health of one service.

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

use super::Running;

const HEAD_MOST: usize = 16 * 1024;

/// What befalls an endpoint.
#[derive(Clone, Debug, Default)]
struct Trouble {
    paused: bool,
    leaderless: bool,
    cuts: bool,
}

struct Shared {
    /// Instances by their name; each value is the JSON that is answered for it.
    registry: Mutex<Registry>,
    troubles: Mutex<Vec<Trouble>>,
    stirs: watch::Sender<u64>,
    token: Option<String>,
}

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Answers at several endpoints, in a thread of its own, until it is dropped.
pub struct Consul {
    /// Where its endpoints listen.
    pub endpoints: Vec<SocketAddr>,
    shared: Arc<Shared>,
    _running: Running,
}

impl Consul {
    /// Starts on free ports of 127.0.0.1; returns when all listen. With a token, queries without it are refused.
    ///
    /// # Errors
    ///
    /// What the system says.
    pub fn start(endpoints: usize, token: Option<&str>) -> Result<Self, String> {
        Self::start_with(endpoints, token, None)
    }

    /// Starts so that its endpoints speak TLS, with this certificate and key in PEM.
    ///
    /// # Errors
    ///
    /// What the system says, or what is wrong with the PEM.
    pub fn start_tls(endpoints: usize, certificate: &str, key: &str) -> Result<Self, String> {
        let wrong = |error: pem::Error| error.to_string();
        let chain: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(certificate.as_bytes()).collect();
        let key = PrivateKeyDer::from_pem_slice(key.as_bytes()).map_err(wrong)?;
        let config = ServerConfig::builder_with_provider(Arc::new(ring::default_provider()));
        let config = config.with_safe_default_protocol_versions().map_err(|error| error.to_string())?;
        let config = config.with_no_client_auth().with_single_cert(chain.map_err(wrong)?, key);
        let config = config.map_err(|error| error.to_string())?;
        Self::start_with(endpoints, None, Some(TlsAcceptor::from(Arc::new(config))))
    }

    fn start_with(endpoints: usize, token: Option<&str>, tls: Option<TlsAcceptor>) -> Result<Self, String> {
        let shared = Arc::new(Shared {
            registry: Mutex::new(Registry::new(1)),
            troubles: Mutex::new(vec![Trouble::default(); endpoints]),
            stirs: watch::Sender::new(0),
            token: token.map(str::to_owned),
        });
        let of = Arc::clone(&shared);
        let (running, endpoints) = Running::start(move || async move {
            let mut addresses = Vec::new();
            for number in 0..endpoints {
                let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
                addresses.push(listener.local_addr()?);
                tokio::spawn(accept(Arc::clone(&of), number, listener, tls.clone()));
            }
            Ok(addresses)
        })?;
        Ok(Self { endpoints, shared, _running: running })
    }

    /// Does something with what it holds, and answers the queries that wait for it.
    pub fn with<T>(&self, act: impl FnOnce(&mut Registry) -> T) -> T {
        let done = act(&mut lock(&self.shared.registry));
        self.shared.stirs.send_modify(|stirs| *stirs += 1);
        done
    }

    /// An endpoint says nothing, until it does again.
    pub fn pause(&self, endpoint: usize, paused: bool) {
        self.trouble(endpoint, |trouble| trouble.paused = paused);
    }

    /// An endpoint knows no leader.
    pub fn leaderless(&self, endpoint: usize, is: bool) {
        self.trouble(endpoint, |trouble| trouble.leaderless = is);
    }

    /// An endpoint's answers are cut in the middle.
    pub fn cut_answers(&self, endpoint: usize, cuts: bool) {
        self.trouble(endpoint, |trouble| trouble.cuts = cuts);
    }

    fn trouble(&self, endpoint: usize, act: impl FnOnce(&mut Trouble)) {
        act(&mut lock(&self.shared.troubles)[endpoint]);
        self.shared.stirs.send_modify(|stirs| *stirs += 1);
    }
}

/// The JSON of an instance.
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

async fn answer(shared: Arc<Shared>, number: usize, mut stream: impl AsyncRead + AsyncWrite + Unpin) {
    let mut read: Vec<u8> = Vec::new();
    loop {
        let end = loop {
            if let Some(end) = read.windows(4).position(|window| window == b"\r\n\r\n") {
                break end + 4;
            }
            match stream.read_buf(&mut read).await {
                Ok(n) if n > 0 && read.len() < HEAD_MOST => {}
                _ => return,
            }
        };
        let head = String::from_utf8_lossy(&read[..end]).to_lowercase();
        read.drain(..end);
        let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
        let query = |name: &str| -> Option<u64> {
            let (_, query) = path.split_once('?')?;
            let value = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
            value.trim_end_matches("ms").parse().ok()
        };
        let trouble = || lock(&shared.troubles)[number].clone();
        let mut stirs = shared.stirs.subscribe();
        let granted = shared.token.as_ref().is_none_or(|token| {
            head.lines().any(|line| line == format!("x-consul-token: {}", token.to_lowercase()))
        });
        if let (Some(index), true) = (query("index"), granted) {
            let news = async {
                // An index that is not the present one is answered at once.
                while lock(&shared.registry).revision() == index && stirs.changed().await.is_ok() {}
            };
            let wait = Duration::from_millis(query("wait").unwrap_or(300_000));
            let _ = timeout(wait, news).await;
        }
        while trouble().paused {
            sleep(Duration::from_millis(5)).await;
        }
        let (revision, state) = {
            let registry = lock(&shared.registry);
            (registry.revision(), registry.state(registry.revision()))
        };
        let values: Vec<String> =
            state.into_values().map(|value| String::from_utf8_lossy(&value).into_owned()).collect();
        let body = format!("[{}]", values.join(","));
        let (status, body) = if granted { ("200 OK", body) } else { ("403 Forbidden", String::new()) };
        let text = format!(
            "HTTP/1.1 {status}\r\nX-Consul-Index: {revision}\r\nX-Consul-KnownLeader: {}\r\n\
             X-Consul-LastContact: 0\r\nContent-Length: {}\r\n\r\n{body}",
            !trouble().leaderless,
            body.len()
        );
        let cuts = trouble().cuts;
        let part = if cuts { text.len() - body.len() / 2 - 1 } else { text.len() };
        if stream.write_all(&text.as_bytes()[..part]).await.is_err() || cuts {
            return;
        }
    }
}
