//! A stand-in for etcd v3: serves the registry over gRPC on sockets.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use spurdrum_etcd_wire::services::auth_server::{Auth, AuthServer};
use spurdrum_etcd_wire::services::k_v_server::{KVServer, KV};
use spurdrum_etcd_wire::services::lease_server::{Lease, LeaseServer};
use spurdrum_etcd_wire::services::watch_server::{Watch, WatchServer};
use spurdrum_etcd_wire::*;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::server::TcpIncoming;
use tonic::transport::{Certificate, Identity, ServerTlsConfig};
use tonic::{Request, Response, Status, Streaming};

use super::model::{Change, Compacted, Registry};
use super::EventLoop;

/// Events per response, where the watch allows its events to be fragmented.
const MAX_FRAGMENT_EVENTS: usize = 100;

/// Faults of an endpoint.
#[derive(Clone, Debug, Default)]
struct EndpointFaults {
    /// How far the endpoint's view of the registry is behind.
    lag: Duration,
    /// The endpoint answers nothing.
    paused: bool,
    /// Revision that the endpoint had when it was partitioned from the other members; `None` if it is not
    /// partitioned.
    partitioned_at: Option<u64>,
    /// Number of times that the endpoint's streams were broken; a stream ends when this changes.
    stream_breaks: u64,
}

struct Shared {
    registry: Mutex<Registry>,
    /// Time of each revision.
    commits: Mutex<BTreeMap<u64, Instant>>,
    faults: Mutex<Vec<EndpointFaults>>,
    /// Incremented on every event that may have to wake a stream or a waiting call.
    wakeups: watch::Sender<u64>,
    user: Option<(String, String)>,
    /// Number of the auth token that is currently valid.
    token: Mutex<u64>,
    start: Instant,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A stand-in for etcd with several endpoints, run in a thread of its own. Dropping it stops it.
pub struct Etcd {
    /// Listen addresses of the endpoints.
    pub endpoints: Vec<SocketAddr>,
    scheme: &'static str,
    shared: Arc<Shared>,
    _event_loop: EventLoop,
}

impl Etcd {
    /// Starts on free ports of 127.0.0.1. Returns when all endpoints are listening. With a user, calls
    /// without that user's token are refused.
    ///
    /// # Errors
    ///
    /// A socket or the thread could not be set up.
    pub fn start(endpoints: usize, user: Option<(&str, &str)>) -> Result<Self, String> {
        Self::start_with(endpoints, user, None)
    }

    /// Starts endpoints that speak TLS and accept only clients with a certificate of the given CA.
    ///
    /// # Errors
    ///
    /// A socket or the thread could not be set up.
    pub fn start_tls(
        endpoints: usize,
        certificate: &str,
        key: &str,
        client_ca: &str,
    ) -> Result<Self, String> {
        let identity = Identity::from_pem(certificate, key);
        let tls = ServerTlsConfig::new().identity(identity).client_ca_root(Certificate::from_pem(client_ca));
        Self::start_with(endpoints, None, Some(tls))
    }

    fn start_with(
        endpoints: usize,
        user: Option<(&str, &str)>,
        tls: Option<ServerTlsConfig>,
    ) -> Result<Self, String> {
        let scheme = if tls.is_some() { "https" } else { "http" };
        let shared = Arc::new(Shared {
            registry: Mutex::new(Registry::new(7)),
            commits: Mutex::default(),
            faults: Mutex::new(vec![EndpointFaults::default(); endpoints]),
            wakeups: watch::Sender::new(0),
            user: user.map(|(name, password)| (name.to_owned(), password.to_owned())),
            token: Mutex::new(1),
            start: Instant::now(),
        });
        let thread_shared = Arc::clone(&shared);
        let (event_loop, endpoints) = EventLoop::start(move || async move {
            let mut addresses = Vec::new();
            for index in 0..endpoints {
                addresses.push(serve(&thread_shared, index, tls.clone()).await?);
            }
            tokio::spawn(expire(thread_shared));
            Ok(addresses)
        })?;
        Ok(Self { endpoints, scheme, shared, _event_loop: event_loop })
    }

    /// Returns the endpoints as URIs.
    pub fn uris(&self) -> Vec<String> {
        self.endpoints.iter().map(|address| format!("{}://{address}", self.scheme)).collect()
    }

    /// Applies `apply` to the registry and wakes the watches.
    pub fn with<T>(&self, apply: impl FnOnce(&mut Registry) -> T) -> T {
        let result = apply(&mut lock(&self.shared.registry));
        self.shared.record_commit();
        result
    }

    /// Ends all watch streams of an endpoint.
    pub fn break_streams(&self, endpoint: usize) {
        self.set_fault(endpoint, |fault| fault.stream_breaks += 1);
    }

    /// Pauses an endpoint, which then answers nothing, or resumes it.
    pub fn pause(&self, endpoint: usize, paused: bool) {
        self.set_fault(endpoint, |fault| fault.paused = paused);
    }

    /// Makes an endpoint lag: its view of the registry is as old as `lag`.
    pub fn lag(&self, endpoint: usize, lag: Duration) {
        self.set_fault(endpoint, |fault| fault.lag = lag);
    }

    /// Partitions an endpoint from the other members, or reconnects it. While partitioned, its view does not
    /// advance and it does not answer calls that need a quorum.
    pub fn cut(&self, endpoint: usize, cut: bool) {
        let reached = cut.then(|| lock(&self.shared.registry).revision());
        self.set_fault(endpoint, |fault| fault.partitioned_at = reached);
    }

    /// Invalidates all tokens issued so far.
    pub fn forget_tokens(&self) {
        *lock(&self.shared.token) += 1;
    }

    fn set_fault(&self, endpoint: usize, apply: impl FnOnce(&mut EndpointFaults)) {
        apply(&mut lock(&self.shared.faults)[endpoint]);
        self.shared.wake();
    }
}

/// Revokes expired leases periodically.
async fn expire(shared: Arc<Shared>) {
    loop {
        sleep(Duration::from_millis(20)).await;
        let before = lock(&shared.registry).revision();
        lock(&shared.registry).expire(shared.start.elapsed());
        if lock(&shared.registry).revision() != before {
            shared.record_commit();
        }
    }
}

async fn serve(
    shared: &Arc<Shared>,
    index: usize,
    tls: Option<ServerTlsConfig>,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    let member = Member { shared: Arc::clone(shared), index };
    let mut server = tonic::transport::Server::builder();
    if let Some(tls) = tls {
        server = server.tls_config(tls).map_err(std::io::Error::other)?;
    }
    let server = server
        .add_service(KVServer::new(member.clone()))
        .add_service(WatchServer::new(member.clone()))
        .add_service(LeaseServer::new(member.clone()))
        .add_service(AuthServer::new(member));
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    tokio::spawn(server.serve_with_incoming(incoming));
    Ok(address)
}

impl Shared {
    fn wake(&self) {
        self.wakeups.send_modify(|wakeups| *wakeups += 1);
    }

    fn record_commit(&self) {
        let revision = lock(&self.registry).revision();
        lock(&self.commits).entry(revision).or_insert_with(Instant::now);
        self.wake();
    }
}

/// One endpoint (member of the cluster).
#[derive(Clone)]
struct Member {
    shared: Arc<Shared>,
    index: usize,
}

impl Member {
    fn fault(&self) -> EndpointFaults {
        lock(&self.shared.faults)[self.index].clone()
    }

    /// Returns the revision that this endpoint has reached.
    fn reached_revision(&self) -> u64 {
        let fault = self.fault();
        let now = Instant::now();
        let commits = lock(&self.shared.commits);
        let reached = commits.iter().rev().find(|(_, at)| **at + fault.lag <= now);
        fault.partitioned_at.unwrap_or_else(|| reached.map_or(1, |(revision, _)| *revision))
    }

    fn header(&self, revision: u64) -> Option<ResponseHeader> {
        Some(ResponseHeader {
            cluster_id: lock(&self.shared.registry).cluster,
            member_id: self.index as u64 + 1,
            revision: revision as i64,
            raft_term: 1,
        })
    }

    /// Waits while the endpoint is paused.
    async fn wait_while_paused(&self) {
        let mut wakeups = self.shared.wakeups.subscribe();
        while self.fault().paused {
            if wakeups.changed().await.is_err() {
                return;
            }
        }
    }

    /// Waits while the endpoint is partitioned from the other members, as calls that need a quorum do.
    async fn wait_for_quorum(&self) {
        let mut wakeups = self.shared.wakeups.subscribe();
        while self.fault().partitioned_at.is_some() {
            if wakeups.changed().await.is_err() {
                return;
            }
        }
    }

    /// Checks the auth token of a call, where authentication is enabled.
    fn check<T>(&self, request: &Request<T>) -> Result<(), Status> {
        if self.shared.user.is_none() {
            return Ok(());
        }
        let token = format!("t{}", lock(&self.shared.token));
        match request.metadata().get("token").and_then(|sent| sent.to_str().ok()) {
            None => Err(Status::invalid_argument("etcdserver: user name is empty")),
            Some(sent) if sent == token => Ok(()),
            Some(_) => Err(Status::unauthenticated("etcdserver: invalid auth token")),
        }
    }

    /// Applies `apply` to the registry; returns its result and a header with the new revision.
    fn write<T>(&self, apply: impl FnOnce(&mut Registry) -> T) -> (T, Option<ResponseHeader>) {
        let (result, revision) = {
            let mut registry = lock(&self.shared.registry);
            let result = apply(&mut registry);
            (result, registry.revision())
        };
        self.shared.record_commit();
        (result, self.header(revision))
    }
}

#[tonic::async_trait]
impl KV for Member {
    async fn range(&self, request: Request<RangeRequest>) -> Result<Response<RangeResponse>, Status> {
        self.check(&request)?;
        self.wait_while_paused().await;
        let call = request.into_inner();
        if !call.serializable {
            self.wait_for_quorum().await;
        }
        let reached =
            if call.serializable { self.reached_revision() } else { lock(&self.shared.registry).revision() };
        let at = if call.revision > 0 { call.revision as u64 } else { reached };
        let matching = lock(&self.shared.registry).range(&call.key, &call.range_end, call.limit as usize, at);
        let (matching, count) = matching.map_err(|Compacted(_)| {
            Status::out_of_range("etcdserver: mvcc: required revision has been compacted")
        })?;
        let more = call.limit > 0 && matching.len() < count;
        let kvs = matching.into_iter().filter(|_| !call.count_only).map(|(key, stored)| KeyValue {
            key,
            create_revision: stored.created as i64,
            mod_revision: stored.modified as i64,
            version: 1,
            value: if call.keys_only { Vec::new() } else { stored.value },
            lease: stored.lease,
        });
        let kvs = kvs.collect();
        Ok(Response::new(RangeResponse { header: self.header(reached), kvs, more, count: count as i64 }))
    }

    async fn put(&self, request: Request<PutRequest>) -> Result<Response<PutResponse>, Status> {
        self.check(&request)?;
        self.wait_while_paused().await;
        self.wait_for_quorum().await;
        let call = request.into_inner();
        let (_, header) = self.write(|registry| registry.commit(&[(call.key, Some(call.value), call.lease)]));
        Ok(Response::new(PutResponse { header }))
    }

    async fn delete_range(
        &self,
        request: Request<DeleteRangeRequest>,
    ) -> Result<Response<DeleteRangeResponse>, Status> {
        self.check(&request)?;
        self.wait_while_paused().await;
        self.wait_for_quorum().await;
        let call = request.into_inner();
        let (deleted, header) = self.write(|registry| {
            let revision = registry.revision();
            let matching =
                registry.range(&call.key, &call.range_end, 0, revision).map_or(Vec::new(), |(f, _)| f);
            registry.commit(&matching.iter().map(|(key, _)| (key.clone(), None, 0)).collect::<Vec<_>>());
            matching.len() as i64
        });
        Ok(Response::new(DeleteRangeResponse { header, deleted }))
    }
}

#[tonic::async_trait]
impl Watch for Member {
    type WatchStream = ReceiverStream<Result<WatchResponse, Status>>;

    async fn watch(
        &self,
        request: Request<Streaming<WatchRequest>>,
    ) -> Result<Response<Self::WatchStream>, Status> {
        self.check(&request)?;
        self.wait_while_paused().await;
        let (responses, stream) = mpsc::channel(16);
        tokio::spawn(self.clone().run_watch(request.into_inner(), responses));
        Ok(Response::new(ReceiverStream::new(stream)))
    }
}

type ResponseSender = mpsc::Sender<Result<WatchResponse, Status>>;

impl Member {
    /// Serves one watch stream, which carries one watch.
    async fn run_watch(self, mut requests: Streaming<WatchRequest>, responses: ResponseSender) {
        let stream_breaks = self.fault().stream_breaks;
        let mut wakeups = self.shared.wakeups.subscribe();
        let mut active_watch: Option<(WatchCreateRequest, u64)> = None;
        loop {
            self.wait_while_paused().await;
            if self.fault().stream_breaks != stream_breaks {
                let _ = responses.send(Err(Status::unavailable("the stream was broken"))).await;
                return;
            }
            let reached_revision = self.reached_revision();
            if let Some((call, next)) = active_watch.as_mut().filter(|(_, next)| *next <= reached_revision) {
                if !self.send_changes(call, *next, reached_revision, &responses).await {
                    return;
                }
                *next = reached_revision + 1;
            }
            // A lagging endpoint reaches newer revisions by the passing of time alone, without a wakeup, so
            // it is polled.
            let is_lagging = lock(&self.shared.registry).revision() > reached_revision
                && self.fault().partitioned_at.is_none();
            let wait = if is_lagging { Duration::from_millis(1) } else { Duration::from_secs(3600) };
            let call = tokio::select! {
                call = requests.message() => call,
                _ = wakeups.changed() => continue,
                () = sleep(wait) => continue,
            };
            self.wait_while_paused().await;
            let Ok(Some(call)) = call else { return };
            let mut answer =
                WatchResponse { header: self.header(reached_revision), ..WatchResponse::default() };
            match call.request_union {
                Some(WatchAsk::Create(call)) => {
                    let next = if call.start_revision > 0 {
                        call.start_revision as u64
                    } else {
                        reached_revision + 1
                    };
                    active_watch = Some((call, next));
                    answer.created = true;
                }
                Some(WatchAsk::Progress(_)) => {
                    answer.watch_id = -1;
                    let now = self.reached_revision();
                    if now != reached_revision {
                        // All changes up to this revision have to be sent before the progress notification.
                        if let Some((call, next)) = active_watch.as_mut().filter(|(_, next)| *next <= now) {
                            if !self.send_changes(call, *next, now, &responses).await {
                                return;
                            }
                            *next = now + 1;
                        }
                        answer.header = self.header(now);
                    }
                }
                Some(WatchAsk::Cancel(_)) | None => return,
            }
            if responses.send(Ok(answer)).await.is_err() {
                return;
            }
        }
    }

    /// Sends all changes from revision `from` to revision `to`. Returns whether the watch continues.
    async fn send_changes(
        &self,
        call: &WatchCreateRequest,
        from: u64,
        to: u64,
        responses: &ResponseSender,
    ) -> bool {
        let changes = lock(&self.shared.registry).since(from, to);
        let header = self.header(to);
        let changes = match changes {
            Ok(changes) => changes,
            Err(Compacted(oldest)) => {
                let ended = WatchResponse {
                    header,
                    canceled: true,
                    compact_revision: oldest as i64,
                    ..WatchResponse::default()
                };
                let _ = responses.send(Ok(ended)).await;
                return false;
            }
        };
        let in_range = |change: &Change| change.key >= call.key && change.key < call.range_end;
        let events: Vec<Event> = changes.into_iter().filter(in_range).map(event).collect();
        let size = if call.fragment { MAX_FRAGMENT_EVENTS } else { usize::MAX };
        let fragments = events.chunks(size).count();
        for (n, fragment_events) in events.chunks(size).enumerate() {
            let answer = WatchResponse {
                header: header.clone(),
                events: fragment_events.to_vec(),
                fragment: n + 1 < fragments,
                ..WatchResponse::default()
            };
            if responses.send(Ok(answer)).await.is_err() {
                return false;
            }
        }
        true
    }
}

fn event(change: Change) -> Event {
    let kv = KeyValue {
        key: change.key,
        mod_revision: change.revision as i64,
        value: change.value.clone().unwrap_or_default(),
        ..KeyValue::default()
    };
    Event { r#type: if change.value.is_none() { DELETE } else { 0 }, kv: Some(kv) }
}

#[tonic::async_trait]
impl Lease for Member {
    async fn lease_grant(
        &self,
        request: Request<LeaseGrantRequest>,
    ) -> Result<Response<LeaseGrantResponse>, Status> {
        self.check(&request)?;
        self.wait_while_paused().await;
        let LeaseGrantRequest { ttl, id } = request.into_inner();
        let time = Duration::from_secs(ttl.max(1) as u64);
        let now = self.shared.start.elapsed();
        let (granted, header) = self.write(|registry| registry.grant(id, time, now));
        let id = granted.ok_or_else(|| Status::failed_precondition("etcdserver: lease already exists"))?;
        Ok(Response::new(LeaseGrantResponse { header, id, ttl: ttl.max(1) }))
    }

    async fn lease_revoke(
        &self,
        request: Request<LeaseRevokeRequest>,
    ) -> Result<Response<LeaseRevokeResponse>, Status> {
        self.check(&request)?;
        self.wait_while_paused().await;
        let (existed, header) = self.write(|registry| registry.revoke(request.into_inner().id));
        match existed {
            true => Ok(Response::new(LeaseRevokeResponse { header })),
            false => Err(Status::not_found("etcdserver: requested lease not found")),
        }
    }

    type LeaseKeepAliveStream = ReceiverStream<Result<LeaseKeepAliveResponse, Status>>;

    async fn lease_keep_alive(
        &self,
        request: Request<Streaming<LeaseKeepAliveRequest>>,
    ) -> Result<Response<Self::LeaseKeepAliveStream>, Status> {
        self.check(&request)?;
        let (responses, stream) = mpsc::channel(4);
        let member = self.clone();
        let mut requests = request.into_inner();
        tokio::spawn(async move {
            while let Ok(Some(call)) = requests.message().await {
                member.wait_while_paused().await;
                let now = member.shared.start.elapsed();
                let ttl_left = lock(&member.shared.registry).renew(call.id, now);
                let ttl = ttl_left.map_or(0, |ttl_left| ttl_left.as_secs() as i64);
                let header = member.header(member.reached_revision());
                if responses.send(Ok(LeaseKeepAliveResponse { header, id: call.id, ttl })).await.is_err() {
                    return;
                }
            }
        });
        Ok(Response::new(ReceiverStream::new(stream)))
    }
}

#[tonic::async_trait]
impl Auth for Member {
    async fn authenticate(
        &self,
        request: Request<AuthenticateRequest>,
    ) -> Result<Response<AuthenticateResponse>, Status> {
        self.wait_while_paused().await;
        let call = request.into_inner();
        if self.shared.user.as_ref() != Some(&(call.name, call.password)) {
            return Err(Status::invalid_argument(
                "etcdserver: authentication failed, invalid user ID or password",
            ));
        }
        let token = format!("t{}", lock(&self.shared.token));
        Ok(Response::new(AuthenticateResponse { header: self.header(self.reached_revision()), token }))
    }
}
