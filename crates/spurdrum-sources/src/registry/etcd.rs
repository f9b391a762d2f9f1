//! An etcd v3 cluster over gRPC: a [`Wire`] with Range, Watch and Authenticate.

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

/// One message may be this long. Servers take requests of 1.5 MiB unless they are told otherwise.
const MESSAGE_MOST: usize = 8 << 20;
/// A connection may take this long to come up.
const DIAL_MOST: Duration = Duration::from_millis(500);
/// Bytes that a stream may have on its way: a node that is slow is told later, and holds no more.
const WINDOW: u32 = 1 << 20;
/// What is to be said on a stream, at most.
const SAY_MOST: usize = 4;
/// Where a cluster is, and who asks.
#[derive(Clone, Debug)]
pub struct Cluster {
    /// Its endpoints: `http://host:port`.
    pub endpoints: Vec<String>,
    /// All keys begin with this.
    pub prefix: Vec<u8>,
    /// A user and their password; none where it asks for none.
    pub credentials: Option<(String, String)>,
    /// What is spoken to `https://` endpoints.
    pub tls: Option<Tls>,
}

impl Cluster {
    /// Checks that every endpoint is one.
    ///
    /// # Errors
    ///
    /// The key that makes no sense, and why.
    pub fn validate(&self) -> Result<(), (&'static str, &'static str)> {
        self.places(false).map(drop)
    }

    /// Its endpoints; with TLS, what the files hold is needed and looked at.
    fn places(&self, with_tls: bool) -> Result<Vec<Endpoint>, (&'static str, &'static str)> {
        if let Some(tls) = self.tls.as_ref().filter(|_| with_tls) {
            tls.connector()?;
        }
        let scheme = if self.tls.is_some() { "https" } else { "http" };
        let place = |uri: &String| {
            let wrong = ("endpoints", "has one that is not http://host:port, or https:// with `ca_file`");
            let place = Endpoint::from_shared(uri.clone()).map_err(|_| wrong)?;
            if place.uri().scheme_str() != Some(scheme) || place.uri().authority().is_none() {
                return Err(wrong);
            }
            let place = place.connect_timeout(DIAL_MOST).tcp_nodelay(true);
            let place = place.initial_stream_window_size(WINDOW).initial_connection_window_size(2 * WINDOW);
            let Some(tls) = self.tls.as_ref().filter(|_| with_tls) else { return Ok(place) };
            let mut config = ClientTlsConfig::new().ca_certificate(Certificate::from_pem(&tls.ca));
            if let Some((certificate, key)) = &tls.identity {
                config = config.identity(Identity::from_pem(certificate, key));
            }
            if let Some(name) = &tls.server_name {
                config = config.domain_name(name);
            }
            place
                .tls_config(config)
                .map_err(|_| ("ca_file", "or `cert_file` or `key_file` holds no sound PEM"))
        };
        self.endpoints.iter().map(place).collect()
    }
}

type Token = MetadataValue<Ascii>;

/// Speaks with one cluster.
pub struct Etcd {
    cluster: Cluster,
    /// The end of the range of keys.
    end: Vec<u8>,
    places: Vec<Endpoint>,
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
        tell: impl Fn(Event),
    ) -> Result<Event, Failure> {
        self.request(call, endpoint, query, probes, tell).await.map_err(|status| failure(&status))
    }

    fn forget(&self, endpoint: usize, failure: Option<Failure>) {
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
    /// A way to a cluster.
    ///
    /// # Errors
    ///
    /// The key that makes no sense, and why.
    pub fn new(cluster: Cluster) -> Result<Self, (&'static str, &'static str)> {
        let places = cluster.places(true)?;
        Ok(Self {
            end: prefix_end(&cluster.prefix),
            channels: RefCell::new(vec![None; places.len()]),
            places,
            cluster,
            token: RefCell::default(),
        })
    }

    async fn channel(&self, endpoint: usize) -> Result<Channel, Status> {
        let kept = self.channels.borrow()[endpoint].clone();
        if let Some(channel) = kept {
            return Ok(channel);
        }
        let channel = self.places[endpoint].connect().await;
        let channel = channel.map_err(|error| Status::unavailable(error.to_string()))?;
        self.channels.borrow_mut()[endpoint] = Some(channel.clone());
        Ok(channel)
    }

    /// A request with the token that the cluster gave for the user, where there is one.
    async fn signed<T>(&self, channel: &Channel, message: T) -> Result<Request<T>, Status> {
        let mut request = Request::new(message);
        let Some((name, password)) = &self.cluster.credentials else { return Ok(request) };
        let kept = self.token.borrow().clone();
        let token = match kept {
            Some(token) => token,
            None => {
                let ask = AuthenticateRequest { name: name.clone(), password: password.clone() };
                let answer = AuthClient::new(channel.clone()).authenticate(ask).await?.into_inner();
                let token: Token =
                    answer.token.parse().map_err(|_| Status::unauthenticated("the token is none"))?;
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
        tell: impl Fn(Event),
    ) -> Result<Event, Status> {
        let channel = self.channel(endpoint).await?;
        let range = match query {
            Query::Watch { from } => return self.watch(call, channel, from, probes, tell).await,
            Query::Range { after, revision, limit, allow_stale } => RangeRequest {
                // The first key behind another is that with a NUL.
                key: after.map_or(self.cluster.prefix.clone(), |mut after| {
                    after.push(0);
                    after
                }),
                range_end: self.end.clone(),
                limit: limit.into(),
                revision: revision.map_or(0, signed),
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
        let request = self.signed(&channel, range).await?;
        let mut client = KVClient::new(channel).max_decoding_message_size(MESSAGE_MOST);
        let answer = client.range(request).await?.into_inner();
        let header = header(answer.header)?;
        let entries = answer.kvs.into_iter().map(|found| (found.key, found.value)).collect();
        Ok(Event::Page { call, header, entries, more: answer.more })
    }

    /// Hands on what a watch tells, until it ends.
    async fn watch(
        &self,
        call: CallId,
        channel: Channel,
        from: u64,
        mut probes: mpsc::Receiver<()>,
        tell: impl Fn(Event),
    ) -> Result<Event, Status> {
        let create = WatchCreateRequest {
            key: self.cluster.prefix.clone(),
            range_end: self.end.clone(),
            start_revision: signed(from),
            progress_notify: true,
            fragment: true,
        };
        let (say_to, said) = mpsc::channel(SAY_MOST);
        let _ = say_to.try_send(say(WatchAsk::Create(create)));
        let mut request = self.signed(&channel, ReceiverStream::new(said)).await?;
        // A member without a leader ends the watch instead of going on with what it has.
        request.metadata_mut().insert("hasleader", MetadataValue::from_static("true"));
        let mut client = WatchClient::new(channel).max_decoding_message_size(MESSAGE_MOST);
        let mut told = client.watch(request).await?.into_inner();
        loop {
            let answer = tokio::select! {
                answer = told.message() => answer?,
                Some(()) = probes.recv() => {
                    let _ = say_to.try_send(say(WatchAsk::Progress(WatchProgressRequest {})));
                    continue;
                }
            };
            let Some(answer) = answer else { return Err(Status::aborted("the stream has ended")) };
            if answer.canceled {
                return Ok(Event::Cancelled { call, compacted: answer.compact_revision > 0 });
            }
            tell(heard(call, answer)?);
        }
    }
}

fn say(ask: WatchAsk) -> WatchRequest {
    WatchRequest { request_union: Some(ask) }
}

fn signed(revision: u64) -> i64 {
    i64::try_from(revision).unwrap_or(i64::MAX)
}

fn header(from: Option<ResponseHeader>) -> Result<Header, Status> {
    let header = from.ok_or_else(|| Status::data_loss("an answer without a header"))?;
    let revision = u64::try_from(header.revision).map_err(|_| Status::data_loss("a revision below 0"))?;
    Ok(Header { cluster: header.cluster_id, revision })
}

/// What an answer on a watch means.
fn heard(call: CallId, answer: WatchResponse) -> Result<Event, Status> {
    let header = header(answer.header)?;
    if answer.created {
        return Ok(Event::Opened { call, header });
    }
    if answer.events.is_empty() && !answer.fragment {
        return Ok(Event::Progress { call, header });
    }
    let edit = |event: spurdrum_etcd_wire::Event| {
        let kv = event.kv.ok_or_else(|| Status::data_loss("an event without a key"))?;
        let revision = u64::try_from(kv.mod_revision).map_err(|_| Status::data_loss("a revision below 0"))?;
        Ok(Edit { key: kv.key, value: (event.r#type != DELETE).then_some(kv.value), revision })
    };
    let edits: Result<Vec<Edit>, Status> = answer.events.into_iter().map(edit).collect();
    Ok(Event::Changed { call, header, edits: edits?, fragment: answer.fragment })
}

/// What a status means, by its code and, where codes are shared, the published text.
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

/// A node's own key in a cluster.
pub struct Registration {
    /// The cluster.
    pub etcd: Etcd,
    /// The key.
    pub key: Vec<u8>,
    /// Its value while the node serves...
    pub active_value: Vec<u8>,
    /// ...and once it is to end.
    pub leaving_value: Vec<u8>,
}

type Asked<'r> = Pin<Box<dyn Future<Output = (registrar::CallId, CallResult)> + 'r>>;

impl Registration {
    /// Keeps the key, from now until it has been taken out once `leave` has come. Each change of its state is told.
    ///
    /// # Errors
    ///
    /// The first setting that makes no sense, and why.
    pub async fn run(
        &self,
        settings: registrar::Settings,
        seed: u64,
        leave: impl Future<Output = ()>,
        told: impl Fn(State),
    ) -> Result<(), (&'static str, &'static str)> {
        let mut registrar = Registrar::new(settings, seed)?;
        let (started, mut out, mut leaves) = (Instant::now(), None::<Asked>, false);
        let mut leave = std::pin::pin!(leave);
        let mut event = registrar::Event::Tick;
        loop {
            let mut actions = Vec::new();
            registrar.handle(started.elapsed(), event, &mut actions);
            for action in actions {
                match action {
                    registrar::Action::Call { call, endpoint, ask } => {
                        out = Some(Box::pin(async move { (call, self.ask(endpoint, ask).await) }));
                    }
                    registrar::Action::Abort(_) => out = None,
                    registrar::Action::State(state) => told(state),
                }
            }
            let Some(wake) = registrar.next_wake() else { return Ok(()) };
            let ended = async {
                match &mut out {
                    Some(call) => call.await,
                    None => std::future::pending().await,
                }
            };
            event = tokio::select! {
                (call, result) = ended => {
                    out = None;
                    registrar::Event::Ended { call, result }
                }
                () = &mut leave, if !leaves => {
                    leaves = true;
                    registrar::Event::Leave
                }
                () = sleep_until(started + wake) => registrar::Event::Tick,
            };
        }
    }

    async fn ask(&self, endpoint: usize, ask: registrar::Operation) -> CallResult {
        match self.request(endpoint, ask).await {
            Ok(got) => got,
            Err(status) if status.code() == Code::NotFound => CallResult::NoLease,
            Err(status) => {
                self.etcd.forget(endpoint, Some(failure(&status)));
                CallResult::Failed
            }
        }
    }

    async fn request(&self, endpoint: usize, ask: registrar::Operation) -> Result<CallResult, Status> {
        let channel = self.etcd.channel(endpoint).await?;
        let seconds = |ttl: i64| Duration::from_secs(u64::try_from(ttl).unwrap_or(0));
        let mut leases = LeaseClient::new(channel.clone());
        match ask {
            registrar::Operation::Grant { ttl } => {
                let ask = LeaseGrantRequest { ttl: ttl.as_secs() as i64, id: 0 };
                let request = self.etcd.signed(&channel, ask).await?;
                let lease = leases.lease_grant(request).await?.into_inner();
                Ok(CallResult::Granted { lease: lease.id, ttl: seconds(lease.ttl) })
            }
            registrar::Operation::Put { lease, leaving } => {
                let value = if leaving { self.leaving_value.clone() } else { self.active_value.clone() };
                let ask = PutRequest { key: self.key.clone(), value, lease };
                let request = self.etcd.signed(&channel, ask).await?;
                KVClient::new(channel).put(request).await.map(|_| CallResult::Done)
            }
            registrar::Operation::Renew { lease } => {
                let asks = tokio_stream::once(LeaseKeepAliveRequest { id: lease });
                let request = self.etcd.signed(&channel, asks).await?;
                let answer = leases.lease_keep_alive(request).await?.into_inner().message().await?;
                let answer = answer.ok_or_else(|| Status::aborted("the stream has ended"))?;
                Ok(CallResult::Renewed { ttl: seconds(answer.ttl) })
            }
            registrar::Operation::Revoke { lease } => {
                let request = self.etcd.signed(&channel, LeaseRevokeRequest { id: lease }).await?;
                leases.lease_revoke(request).await.map(|_| CallResult::Done)
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn statuses_are_told_apart() {
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
