//! [`RegistryClient`] for an etcd v3 cluster over gRPC, and the registration of a node under a lease.

use std::cell::RefCell;
use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use spurdrum_etcd_wire::services::{
    auth_client::AuthClient, k_v_client::KVClient, lease_client::LeaseClient, watch_client::WatchClient,
};
use spurdrum_etcd_wire::{
    prefix_end, AuthenticateRequest, LeaseGrantRequest, LeaseKeepAliveRequest, LeaseRevokeRequest,
    PutRequest, RangeRequest, ResponseHeader, WatchAsk, WatchCreateRequest, WatchProgressRequest,
    WatchRequest, WatchResponse, DELETE,
};
use tokio::sync::mpsc;
use tokio::time::{sleep_until, Instant};
use tokio_stream::wrappers::ReceiverStream;
use tonic::metadata::{Ascii, MetadataValue};
use tonic::transport::{Certificate, Channel, ClientTlsConfig, Endpoint, Identity};
use tonic::{Code, Request, Status};

use super::follower::{CallId, Edit, Event, Failure, Header, Query};
use super::registrar::{self, CallResult, Registrar, State};
use super::shell::RegistryClient;
use super::tls::Tls;

/// Maximum length of a received message. etcd itself accepts requests of up to 1.5 MiB by default.
const MAX_MESSAGE_BYTES: usize = 8 << 20;
/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// HTTP/2 flow-control window of a stream: bounds what a slow node has to buffer. The server holds back the
/// rest.
const STREAM_WINDOW_BYTES: u32 = 1 << 20;
/// Maximum number of requests queued on a watch stream.
const MAX_QUEUED_REQUESTS: usize = 4;
/// An etcd cluster, the keys to follow and the credentials to use.
#[derive(Clone, Debug)]
pub struct Cluster {
    /// Endpoint URIs: `http://host:port`, or `https://host:port` with `tls`.
    pub endpoints: Vec<String>,
    /// Common prefix of all keys.
    pub prefix: Vec<u8>,
    /// User and password; `None` if the cluster does not require authentication.
    pub credentials: Option<(String, String)>,
    /// TLS settings for `https://` endpoints.
    pub tls: Option<Tls>,
}

impl Cluster {
    /// Checks that all endpoints are valid.
    ///
    /// # Errors
    ///
    /// Returns the key of the first invalid setting and the reason.
    pub fn validate(&self) -> Result<(), (&'static str, &'static str)> {
        self.parse_endpoints(false).map(drop)
    }

    /// Returns the endpoints. `with_tls` also loads the certificates and keys, and checks them.
    fn parse_endpoints(&self, with_tls: bool) -> Result<Vec<Endpoint>, (&'static str, &'static str)> {
        if let Some(tls) = self.tls.as_ref().filter(|_| with_tls) {
            tls.connector()?;
        }
        let scheme = if self.tls.is_some() { "https" } else { "http" };
        let parse = |uri: &String| {
            let invalid =
                ("endpoints", "contains one that is not http://host:port, or https:// with `ca_file`");
            let endpoint = Endpoint::from_shared(uri.clone()).map_err(|_| invalid)?;
            if endpoint.uri().scheme_str() != Some(scheme) || endpoint.uri().authority().is_none() {
                return Err(invalid);
            }
            let endpoint = endpoint.connect_timeout(CONNECT_TIMEOUT).tcp_nodelay(true);
            let endpoint = endpoint
                .initial_stream_window_size(STREAM_WINDOW_BYTES)
                .initial_connection_window_size(2 * STREAM_WINDOW_BYTES);
            let Some(tls) = self.tls.as_ref().filter(|_| with_tls) else { return Ok(endpoint) };
            let mut config = ClientTlsConfig::new().ca_certificate(Certificate::from_pem(&tls.ca));
            if let Some((certificate, key)) = &tls.identity {
                config = config.identity(Identity::from_pem(certificate, key));
            }
            if let Some(name) = &tls.server_name {
                config = config.domain_name(name);
            }
            endpoint
                .tls_config(config)
                .map_err(|_| ("ca_file", "or `cert_file` or `key_file` contains no valid PEM"))
        };
        self.endpoints.iter().map(parse).collect()
    }
}

type Token = MetadataValue<Ascii>;

/// Client of one etcd cluster.
pub struct Etcd {
    cluster: Cluster,
    /// End of the key range that `prefix` covers.
    end: Vec<u8>,
    endpoints: Vec<Endpoint>,
    channels: RefCell<Vec<Option<Channel>>>,
    token: RefCell<Option<Token>>,
}

impl RegistryClient for Etcd {
    async fn query(
        &self,
        call: CallId,
        endpoint: usize,
        query: Query,
        probes: mpsc::Receiver<()>,
        on_event: impl Fn(Event),
    ) -> Result<Event, Failure> {
        self.request(call, endpoint, query, probes, on_event).await.map_err(|status| failure(&status))
    }

    fn invalidate(&self, endpoint: usize, failure: Option<Failure>) {
        match failure {
            Some(Failure::Denied) => *self.token.borrow_mut() = None,
            None | Some(Failure::Unreachable | Failure::ConnectionLost) => {
                self.channels.borrow_mut()[endpoint] = None;
            }
            Some(_) => {}
        }
    }
}

impl Etcd {
    /// Returns a client for a cluster.
    ///
    /// # Errors
    ///
    /// Returns the key of the first invalid setting and the reason.
    pub fn new(cluster: Cluster) -> Result<Self, (&'static str, &'static str)> {
        let endpoints = cluster.parse_endpoints(true)?;
        Ok(Self {
            end: prefix_end(&cluster.prefix),
            channels: RefCell::new(vec![None; endpoints.len()]),
            endpoints,
            cluster,
            token: RefCell::default(),
        })
    }

    async fn channel(&self, endpoint: usize) -> Result<Channel, Status> {
        let cached = self.channels.borrow()[endpoint].clone();
        if let Some(channel) = cached {
            return Ok(channel);
        }
        let channel = self.endpoints[endpoint].connect().await;
        let channel = channel.map_err(|error| Status::unavailable(error.to_string()))?;
        self.channels.borrow_mut()[endpoint] = Some(channel.clone());
        Ok(channel)
    }

    /// Returns a request that carries an auth token, if the cluster requires authentication. Authenticates
    /// first when there is no token yet.
    async fn with_token<T>(&self, channel: &Channel, message: T) -> Result<Request<T>, Status> {
        let mut request = Request::new(message);
        let Some((name, password)) = &self.cluster.credentials else { return Ok(request) };
        let cached = self.token.borrow().clone();
        let token = match cached {
            Some(token) => token,
            None => {
                let credentials = AuthenticateRequest { name: name.clone(), password: password.clone() };
                let answer = AuthClient::new(channel.clone()).authenticate(credentials).await?.into_inner();
                let token: Token =
                    answer.token.parse().map_err(|_| Status::unauthenticated("the auth token is invalid"))?;
                *self.token.borrow_mut() = Some(token.clone());
                token
            }
        };
        request.metadata_mut().insert("token", token);
        Ok(request)
    }

    async fn request(
        &self,
        call: CallId,
        endpoint: usize,
        query: Query,
        probes: mpsc::Receiver<()>,
        on_event: impl Fn(Event),
    ) -> Result<Event, Status> {
        let channel = self.channel(endpoint).await?;
        let range = match query {
            Query::Watch { from } => return self.watch(call, channel, from, probes, on_event).await,
            Query::Range { after, revision, limit, allow_stale } => RangeRequest {
                // The first key after another one is that key followed by a NUL byte.
                key: after.map_or(self.cluster.prefix.clone(), |mut after| {
                    after.push(0);
                    after
                }),
                range_end: self.end.clone(),
                limit: limit.into(),
                revision: revision.map_or(0, to_i64),
                serializable: allow_stale,
                ..RangeRequest::default()
            },
            Query::RevisionCheck | Query::Blocking { .. } => RangeRequest {
                key: self.cluster.prefix.clone(),
                range_end: self.end.clone(),
                limit: 1,
                keys_only: true,
                count_only: true,
                ..RangeRequest::default()
            },
        };
        let request = self.with_token(&channel, range).await?;
        let mut client = KVClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
        let answer = client.range(request).await?.into_inner();
        let header = header(answer.header)?;
        let entries = answer.kvs.into_iter().map(|kv| (kv.key, kv.value)).collect();
        Ok(Event::Page { call, header, entries, more: answer.more })
    }

    /// Passes the events of a watch to `on_event` until the watch ends.
    async fn watch(
        &self,
        call: CallId,
        channel: Channel,
        from: u64,
        mut probes: mpsc::Receiver<()>,
        on_event: impl Fn(Event),
    ) -> Result<Event, Status> {
        let create = WatchCreateRequest {
            key: self.cluster.prefix.clone(),
            range_end: self.end.clone(),
            start_revision: to_i64(from),
            progress_notify: true,
            fragment: true,
        };
        let (request_sender, requests) = mpsc::channel(MAX_QUEUED_REQUESTS);
        let _ = request_sender.try_send(watch_request(WatchAsk::Create(create)));
        let mut request = self.with_token(&channel, ReceiverStream::new(requests)).await?;
        // Makes a member without a leader cancel the watch instead of serving its own, possibly outdated
        // state.
        request.metadata_mut().insert("hasleader", MetadataValue::from_static("true"));
        let mut client = WatchClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
        let mut messages = client.watch(request).await?.into_inner();
        loop {
            let message = tokio::select! {
                message = messages.message() => message?,
                Some(()) = probes.recv() => {
                    let _ = request_sender.try_send(watch_request(WatchAsk::Progress(WatchProgressRequest {})));
                    continue;
                }
            };
            let Some(message) = message else { return Err(Status::aborted("the watch stream ended")) };
            if message.canceled {
                return Ok(Event::Cancelled { call, compacted: message.compact_revision > 0 });
            }
            on_event(watch_event(call, message)?);
        }
    }
}

fn watch_request(request: WatchAsk) -> WatchRequest {
    WatchRequest { request_union: Some(request) }
}

fn to_i64(revision: u64) -> i64 {
    i64::try_from(revision).unwrap_or(i64::MAX)
}

fn header(header: Option<ResponseHeader>) -> Result<Header, Status> {
    let header = header.ok_or_else(|| Status::data_loss("the answer has no header"))?;
    let revision =
        u64::try_from(header.revision).map_err(|_| Status::data_loss("the revision is negative"))?;
    Ok(Header { cluster: header.cluster_id, revision })
}

/// Converts a message of a watch to an event.
fn watch_event(call: CallId, message: WatchResponse) -> Result<Event, Status> {
    let header = header(message.header)?;
    if message.created {
        return Ok(Event::Opened { call, header });
    }
    if message.events.is_empty() && !message.fragment {
        return Ok(Event::Progress { call, header });
    }
    let edit = |event: spurdrum_etcd_wire::Event| {
        let kv = event.kv.ok_or_else(|| Status::data_loss("the event has no key"))?;
        let revision =
            u64::try_from(kv.mod_revision).map_err(|_| Status::data_loss("the revision is negative"))?;
        Ok(Edit { key: kv.key, value: (event.r#type != DELETE).then_some(kv.value), revision })
    };
    let edits: Result<Vec<Edit>, Status> = message.events.into_iter().map(edit).collect();
    Ok(Event::Changed { call, header, edits: edits?, fragment: message.fragment })
}

/// Maps a status to a failure, by its code and, where etcd uses one code for several failures, by its
/// documented message.
fn failure(status: &Status) -> Failure {
    match status.code() {
        Code::OutOfRange if status.message().contains("compacted") => Failure::Compacted,
        Code::OutOfRange | Code::ResourceExhausted => Failure::TooLong,
        Code::Unauthenticated | Code::PermissionDenied | Code::InvalidArgument => Failure::Denied,
        Code::Unavailable if status.message().contains("etcdserver") => Failure::Unavailable,
        Code::Unavailable => Failure::Unreachable,
        _ => Failure::ConnectionLost,
    }
}

/// Registration of a node: its own key in a cluster.
pub struct Registration {
    /// Client of the cluster.
    pub etcd: Etcd,
    /// The key.
    pub key: Vec<u8>,
    /// Value of the key while the node serves.
    pub active_value: Vec<u8>,
    /// Value of the key while the node is draining.
    pub leaving_value: Vec<u8>,
}

type OpenCall<'r> = Pin<Box<dyn Future<Output = (registrar::CallId, CallResult)> + 'r>>;

impl Registration {
    /// Keeps the key registered until `leave` completes, then drains and removes it. Each change of the
    /// registration's state is passed to `on_state`.
    ///
    /// # Errors
    ///
    /// Returns the key of the first invalid setting and the reason.
    pub async fn run(
        &self,
        settings: registrar::Settings,
        seed: u64,
        leave: impl Future<Output = ()>,
        on_state: impl Fn(State),
    ) -> Result<(), (&'static str, &'static str)> {
        let mut registrar = Registrar::new(settings, seed)?;
        let (started, mut open_call, mut leaving) = (Instant::now(), None::<OpenCall>, false);
        let mut leave = std::pin::pin!(leave);
        let mut event = registrar::Event::Tick;
        loop {
            let mut actions = Vec::new();
            registrar.handle(started.elapsed(), event, &mut actions);
            for action in actions {
                match action {
                    registrar::Action::Call { call, endpoint, operation } => {
                        open_call =
                            Some(Box::pin(async move { (call, self.call(endpoint, operation).await) }));
                    }
                    registrar::Action::Abort(_) => open_call = None,
                    registrar::Action::State(state) => on_state(state),
                }
            }
            let Some(wake) = registrar.next_wake() else { return Ok(()) };
            let ended = async {
                match &mut open_call {
                    Some(call) => call.await,
                    None => std::future::pending().await,
                }
            };
            event = tokio::select! {
                (call, result) = ended => {
                    open_call = None;
                    registrar::Event::Ended { call, result }
                }
                () = &mut leave, if !leaving => {
                    leaving = true;
                    registrar::Event::Leave
                }
                () = sleep_until(started + wake) => registrar::Event::Tick,
            };
        }
    }

    async fn call(&self, endpoint: usize, operation: registrar::Operation) -> CallResult {
        match self.request(endpoint, operation).await {
            Ok(result) => result,
            Err(status) if status.code() == Code::NotFound => CallResult::NoLease,
            Err(status) => {
                self.etcd.invalidate(endpoint, Some(failure(&status)));
                CallResult::Failed
            }
        }
    }

    async fn request(&self, endpoint: usize, operation: registrar::Operation) -> Result<CallResult, Status> {
        let channel = self.etcd.channel(endpoint).await?;
        let seconds = |ttl: i64| Duration::from_secs(u64::try_from(ttl).unwrap_or(0));
        let mut leases = LeaseClient::new(channel.clone());
        match operation {
            registrar::Operation::Grant { ttl } => {
                let message = LeaseGrantRequest { ttl: ttl.as_secs() as i64, id: 0 };
                let request = self.etcd.with_token(&channel, message).await?;
                let lease = leases.lease_grant(request).await?.into_inner();
                Ok(CallResult::Granted { lease: lease.id, ttl: seconds(lease.ttl) })
            }
            registrar::Operation::Put { lease, leaving } => {
                let value = if leaving { self.leaving_value.clone() } else { self.active_value.clone() };
                let message = PutRequest { key: self.key.clone(), value, lease };
                let request = self.etcd.with_token(&channel, message).await?;
                KVClient::new(channel).put(request).await.map(|_| CallResult::Done)
            }
            registrar::Operation::Renew { lease } => {
                let keep_alives = tokio_stream::once(LeaseKeepAliveRequest { id: lease });
                let request = self.etcd.with_token(&channel, keep_alives).await?;
                let answer = leases.lease_keep_alive(request).await?.into_inner().message().await?;
                let answer = answer.ok_or_else(|| Status::aborted("the stream ended without an answer"))?;
                Ok(CallResult::Renewed { ttl: seconds(answer.ttl) })
            }
            registrar::Operation::Revoke { lease } => {
                let request = self.etcd.with_token(&channel, LeaseRevokeRequest { id: lease }).await?;
                leases.lease_revoke(request).await.map(|_| CallResult::Done)
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn statuses_map_to_failures() {
        let cases = [
            (
                Status::out_of_range("etcdserver: mvcc: required revision has been compacted"),
                Failure::Compacted,
            ),
            (Status::out_of_range("Error, decoded message length too large"), Failure::TooLong),
            (Status::unauthenticated("etcdserver: invalid auth token"), Failure::Denied),
            (Status::unavailable("etcdserver: no leader"), Failure::Unavailable),
            (Status::unavailable("connection refused"), Failure::Unreachable),
            (Status::unknown(""), Failure::ConnectionLost),
        ];
        for (status, expected) in cases {
            assert_eq!(failure(&status), expected, "{status}");
        }
    }
}
