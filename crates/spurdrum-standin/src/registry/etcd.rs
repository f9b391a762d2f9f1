//! The registry on sockets, as etcd v3 answers.

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
use super::Running;

/// A change of one key is told in pieces of so many events where the watch allows it.
const PIECE: usize = 100;

/// What befalls an endpoint.
#[derive(Clone, Debug, Default)]
struct Trouble {
    lag: Duration,
    paused: bool,
    /// What it had when it was cut off from the others.
    cut: Option<u64>,
    /// Streams begun before the last break have ended.
    breaks: u64,
}

struct Shared {
    registry: Mutex<Registry>,
    /// When each revision came.
    commits: Mutex<BTreeMap<u64, Instant>>,
    troubles: Mutex<Vec<Trouble>>,
    /// Counts whatever may wake a stream.
    stirs: watch::Sender<u64>,
    user: Option<(String, String)>,
    token: Mutex<u64>,
    begun: Instant,
}

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A registry with several endpoints, in a thread of its own, until it is dropped.
pub struct Etcd {
    /// Where its endpoints listen.
    pub endpoints: Vec<SocketAddr>,
    scheme: &'static str,
    shared: Arc<Shared>,
    _running: Running,
}

impl Etcd {
    /// Starts on free ports of 127.0.0.1; returns when all listen. With a user, calls without their token are refused.
    ///
    /// # Errors
    ///
    /// What the system says.
    pub fn start(endpoints: usize, user: Option<(&str, &str)>) -> Result<Self, String> {
        Self::start_with(endpoints, user, None)
    }

    /// Starts so that its endpoints speak TLS, and only to those whom its CA knows.
    ///
    /// # Errors
    ///
    /// What the system says.
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
            troubles: Mutex::new(vec![Trouble::default(); endpoints]),
            stirs: watch::Sender::new(0),
            user: user.map(|(name, password)| (name.to_owned(), password.to_owned())),
            token: Mutex::new(1),
            begun: Instant::now(),
        });
        let of = Arc::clone(&shared);
        let (running, endpoints) = Running::start(move || async move {
            let mut addresses = Vec::new();
            for number in 0..endpoints {
                addresses.push(serve(&of, number, tls.clone()).await?);
            }
            tokio::spawn(expire(of));
            Ok(addresses)
        })?;
        Ok(Self { endpoints, scheme, shared, _running: running })
    }

    /// Its endpoints as URIs.
    pub fn uris(&self) -> Vec<String> {
        self.endpoints.iter().map(|address| format!("{}://{address}", self.scheme)).collect()
    }

    /// Does something with what it holds, and tells its watches.
    pub fn with<T>(&self, act: impl FnOnce(&mut Registry) -> T) -> T {
        let done = act(&mut lock(&self.shared.registry));
        self.shared.committed();
        done
    }

    /// Ends all streams of an endpoint.
    pub fn break_streams(&self, endpoint: usize) {
        self.trouble(endpoint, |trouble| trouble.breaks += 1);
    }

    /// An endpoint says nothing, until it does again.
    pub fn pause(&self, endpoint: usize, paused: bool) {
        self.trouble(endpoint, |trouble| trouble.paused = paused);
    }

    /// An endpoint has what the others had so long ago.
    pub fn lag(&self, endpoint: usize, lag: Duration) {
        self.trouble(endpoint, |trouble| trouble.lag = lag);
    }

    /// An endpoint hears nothing of the others, and answers nothing that needs them.
    pub fn cut(&self, endpoint: usize, cut: bool) {
        let has = cut.then(|| lock(&self.shared.registry).revision());
        self.trouble(endpoint, |trouble| trouble.cut = has);
    }

    /// Tokens given so far are good no more.
    pub fn forget_tokens(&self) {
        *lock(&self.shared.token) += 1;
    }

    fn trouble(&self, endpoint: usize, act: impl FnOnce(&mut Trouble)) {
        act(&mut lock(&self.shared.troubles)[endpoint]);
        self.shared.stir();
    }
}

/// Ends leases whose time is over.
async fn expire(shared: Arc<Shared>) {
    loop {
        sleep(Duration::from_millis(20)).await;
        let before = lock(&shared.registry).revision();
        lock(&shared.registry).expire(shared.begun.elapsed());
        if lock(&shared.registry).revision() != before {
            shared.committed();
        }
    }
}

async fn serve(
    shared: &Arc<Shared>,
    number: usize,
    tls: Option<ServerTlsConfig>,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    let member = Member { shared: Arc::clone(shared), number };
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
    fn stir(&self) {
        self.stirs.send_modify(|stirs| *stirs += 1);
    }

    fn committed(&self) {
        let revision = lock(&self.registry).revision();
        lock(&self.commits).entry(revision).or_insert_with(Instant::now);
        self.stir();
    }
}

/// One endpoint.
#[derive(Clone)]
struct Member {
    shared: Arc<Shared>,
    number: usize,
}

impl Member {
    fn trouble(&self) -> Trouble {
        lock(&self.shared.troubles)[self.number].clone()
    }

    /// The revision that it has come to.
    fn view(&self) -> u64 {
        let trouble = self.trouble();
        let now = Instant::now();
        let commits = lock(&self.shared.commits);
        let has = commits.iter().rev().find(|(_, at)| **at + trouble.lag <= now);
        trouble.cut.unwrap_or_else(|| has.map_or(1, |(revision, _)| *revision))
    }

    fn header(&self, revision: u64) -> Option<ResponseHeader> {
        Some(ResponseHeader {
            cluster_id: lock(&self.shared.registry).cluster,
            member_id: self.number as u64 + 1,
            revision: revision as i64,
            raft_term: 1,
        })
    }

    /// Answers no call while it is paused.
    async fn awake(&self) {
        let mut stirs = self.shared.stirs.subscribe();
        while self.trouble().paused {
            if stirs.changed().await.is_err() {
                return;
            }
        }
    }

    /// Answers nothing that needs the others while it is cut off from them.
    async fn agreed(&self) {
        let mut stirs = self.shared.stirs.subscribe();
        while self.trouble().cut.is_some() {
            if stirs.changed().await.is_err() {
                return;
            }
        }
    }

    fn check<T>(&self, request: &Request<T>) -> Result<(), Status> {
        if self.shared.user.is_none() {
            return Ok(());
        }
        let token = format!("t{}", lock(&self.shared.token));
        match request.metadata().get("token").and_then(|found| found.to_str().ok()) {
            None => Err(Status::invalid_argument("etcdserver: user name is empty")),
            Some(found) if found == token => Ok(()),
            Some(_) => Err(Status::unauthenticated("etcdserver: invalid auth token")),
        }
    }

    fn write<T>(&self, act: impl FnOnce(&mut Registry) -> T) -> (T, Option<ResponseHeader>) {
        let (done, revision) = {
            let mut registry = lock(&self.shared.registry);
            let done = act(&mut registry);
            (done, registry.revision())
        };
        self.shared.committed();
        (done, self.header(revision))
    }
}

#[tonic::async_trait]
impl KV for Member {
    async fn range(&self, request: Request<RangeRequest>) -> Result<Response<RangeResponse>, Status> {
        self.check(&request)?;
        self.awake().await;
        let ask = request.into_inner();
        if !ask.serializable {
            self.agreed().await;
        }
        let has = if ask.serializable { self.view() } else { lock(&self.shared.registry).revision() };
        let at = if ask.revision > 0 { ask.revision as u64 } else { has };
        let found = lock(&self.shared.registry).range(&ask.key, &ask.range_end, ask.limit as usize, at);
        let (found, count) = found.map_err(|Compacted(_)| {
            Status::out_of_range("etcdserver: mvcc: required revision has been compacted")
        })?;
        let more = ask.limit > 0 && found.len() < count;
        let kvs = found.into_iter().filter(|_| !ask.count_only).map(|(key, stored)| KeyValue {
            key,
            create_revision: stored.created as i64,
            mod_revision: stored.modified as i64,
            version: 1,
            value: if ask.keys_only { Vec::new() } else { stored.value },
            lease: stored.lease,
        });
        let kvs = kvs.collect();
        Ok(Response::new(RangeResponse { header: self.header(has), kvs, more, count: count as i64 }))
    }

    async fn put(&self, request: Request<PutRequest>) -> Result<Response<PutResponse>, Status> {
        self.check(&request)?;
        self.awake().await;
        self.agreed().await;
        let ask = request.into_inner();
        let (_, header) = self.write(|registry| registry.commit(&[(ask.key, Some(ask.value), ask.lease)]));
        Ok(Response::new(PutResponse { header }))
    }

    async fn delete_range(
        &self,
        request: Request<DeleteRangeRequest>,
    ) -> Result<Response<DeleteRangeResponse>, Status> {
        self.check(&request)?;
        self.awake().await;
        self.agreed().await;
        let ask = request.into_inner();
        let (deleted, header) = self.write(|registry| {
            let revision = registry.revision();
            let found = registry.range(&ask.key, &ask.range_end, 0, revision).map_or(Vec::new(), |(f, _)| f);
            registry.commit(&found.iter().map(|(key, _)| (key.clone(), None, 0)).collect::<Vec<_>>());
            found.len() as i64
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
        self.awake().await;
        let (told, tell) = mpsc::channel(16);
        tokio::spawn(self.clone().play(request.into_inner(), told));
        Ok(Response::new(ReceiverStream::new(tell)))
    }
}

type Told = mpsc::Sender<Result<WatchResponse, Status>>;

impl Member {
    /// One stream with one watch on it.
    async fn play(self, mut asked: Streaming<WatchRequest>, told: Told) {
        let breaks = self.trouble().breaks;
        let mut stirs = self.shared.stirs.subscribe();
        let mut wanted: Option<(WatchCreateRequest, u64)> = None;
        loop {
            self.awake().await;
            if self.trouble().breaks != breaks {
                let _ = told.send(Err(Status::unavailable("the stream was broken"))).await;
                return;
            }
            let view = self.view();
            if let Some((ask, next)) = wanted.as_mut().filter(|(_, next)| *next <= view) {
                if !self.push(ask, *next, view, &told).await {
                    return;
                }
                *next = view + 1;
            }
            // What an endpoint that is behind will have is not told by any stir.
            let pending = lock(&self.shared.registry).revision() > view && self.trouble().cut.is_none();
            let wait = if pending { Duration::from_millis(1) } else { Duration::from_secs(3600) };
            let ask = tokio::select! {
                ask = asked.message() => ask,
                _ = stirs.changed() => continue,
                () = sleep(wait) => continue,
            };
            self.awake().await;
            let Ok(Some(ask)) = ask else { return };
            let mut answer = WatchResponse { header: self.header(view), ..WatchResponse::default() };
            match ask.request_union {
                Some(WatchAsk::Create(ask)) => {
                    let next = if ask.start_revision > 0 { ask.start_revision as u64 } else { view + 1 };
                    wanted = Some((ask, next));
                    answer.created = true;
                }
                Some(WatchAsk::Progress(_)) => {
                    answer.watch_id = -1;
                    let now = self.view();
                    if now != view {
                        // All up to here has to be told first.
                        if let Some((ask, next)) = wanted.as_mut().filter(|(_, next)| *next <= now) {
                            if !self.push(ask, *next, now, &told).await {
                                return;
                            }
                            *next = now + 1;
                        }
                        answer.header = self.header(now);
                    }
                }
                Some(WatchAsk::Cancel(_)) | None => return,
            }
            if told.send(Ok(answer)).await.is_err() {
                return;
            }
        }
    }

    /// Tells all changes from one revision to another; whether the watch goes on.
    async fn push(&self, ask: &WatchCreateRequest, from: u64, to: u64, told: &Told) -> bool {
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
                let _ = told.send(Ok(ended)).await;
                return false;
            }
        };
        let wanted = |change: &Change| change.key >= ask.key && change.key < ask.range_end;
        let events: Vec<Event> = changes.into_iter().filter(wanted).map(event).collect();
        let size = if ask.fragment { PIECE } else { usize::MAX };
        let pieces = events.chunks(size).count();
        for (n, piece) in events.chunks(size).enumerate() {
            let answer = WatchResponse {
                header: header.clone(),
                events: piece.to_vec(),
                fragment: n + 1 < pieces,
                ..WatchResponse::default()
            };
            if told.send(Ok(answer)).await.is_err() {
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
        self.awake().await;
        let LeaseGrantRequest { ttl, id } = request.into_inner();
        let time = Duration::from_secs(ttl.max(1) as u64);
        let now = self.shared.begun.elapsed();
        let (granted, header) = self.write(|registry| registry.grant(id, time, now));
        let id = granted.ok_or_else(|| Status::failed_precondition("etcdserver: lease already exists"))?;
        Ok(Response::new(LeaseGrantResponse { header, id, ttl: ttl.max(1) }))
    }

    async fn lease_revoke(
        &self,
        request: Request<LeaseRevokeRequest>,
    ) -> Result<Response<LeaseRevokeResponse>, Status> {
        self.check(&request)?;
        self.awake().await;
        let (was_there, header) = self.write(|registry| registry.revoke(request.into_inner().id));
        match was_there {
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
        let (told, tell) = mpsc::channel(4);
        let member = self.clone();
        let mut asked = request.into_inner();
        tokio::spawn(async move {
            while let Ok(Some(ask)) = asked.message().await {
                member.awake().await;
                let now = member.shared.begun.elapsed();
                let left = lock(&member.shared.registry).renew(ask.id, now);
                let ttl = left.map_or(0, |left| left.as_secs() as i64);
                let header = member.header(member.view());
                if told.send(Ok(LeaseKeepAliveResponse { header, id: ask.id, ttl })).await.is_err() {
                    return;
                }
            }
        });
        Ok(Response::new(ReceiverStream::new(tell)))
    }
}

#[tonic::async_trait]
impl Auth for Member {
    async fn authenticate(
        &self,
        request: Request<AuthenticateRequest>,
    ) -> Result<Response<AuthenticateResponse>, Status> {
        self.awake().await;
        let ask = request.into_inner();
        if self.shared.user.as_ref() != Some(&(ask.name, ask.password)) {
            return Err(Status::invalid_argument(
                "etcdserver: authentication failed, invalid user ID or password",
            ));
        }
        let token = format!("t{}", lock(&self.shared.token));
        Ok(Response::new(AuthenticateResponse { header: self.header(self.view()), token }))
    }
}
