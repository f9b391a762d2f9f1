//! Clients: their connections, what they ask, and the answers they get.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue, CONNECTION, HOST, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use spurdrum::{Effect, RequestId};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, Notify};
use tokio::task::yield_now;
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

use super::node::{Answer, Node, NotTaken};
use super::socket::{self, has_input, Io};
use super::upstream::{Forward, BODY_MOST};

/// Taken off a client's time: its request and the answer are under way for a part of that.
const MARGIN: Duration = Duration::from_millis(10);
/// The longest time that a client may say it will wait.
const WAIT_MOST: Duration = Duration::from_secs(3600);
/// After SIGTERM connections go on coming for up to 0.4 s.
const STILL_COMING: Duration = Duration::from_millis(450);
/// And none has come for so long when the last one is thought to have come.
const QUIET: Duration = Duration::from_millis(200);
/// Past the longest deadline, the node has this long to end.
const END: Duration = Duration::from_millis(600);
/// How often a node that is ending looks whether it can.
const LOOK: Duration = Duration::from_millis(10);
/// A client has this long for its first request's head, for any head that it has begun, and for a body: one
/// that stays silent or sends in drips is owed an end within 3 s.
const SLOW_MOST: Duration = Duration::from_millis(2500);
/// A client that has been answered may keep its connection idle for so long. Past 2 s it may be closed.
const IDLE_MOST: Duration = Duration::from_secs(5);
/// A request follows its new connection within this time, or it is thought silent.
const COMING: Duration = Duration::from_millis(250);
/// A node that is ending waits so long for the rest of a head that has begun to come.
const LINGER: Duration = Duration::from_millis(500);
/// What has come on a socket is with hyper after this time.
const MOMENT: Duration = Duration::from_millis(5);
/// A body over the limit is read on so far, so that its client gets to see the answer.
const READ_MOST: usize = 1 << 20;
/// A head may be this long; many may be half sent at once.
const HEAD_MOST: usize = 16 * 1024;
/// Fields of a head, as hyper limits them.
const FIELDS_MOST: usize = 100;
/// Fields that a request has once at most.
const FIELDS: [&str; 8] = [
    "host",
    "x-request-id",
    "idempotency-key",
    "x-class",
    "x-tenant",
    "x-deadline",
    "x-retry",
    "x-cost-hint",
];

/// Since when a connection has had no request, and what closes it.
type Idle = (Instant, Rc<Notify>);

/// Clients' connections.
struct Front {
    open: Cell<usize>,
    most: usize,
    /// So many more where none can be closed.
    spare: usize,
    /// Those with no request: the ones that never had an answer come first, then by the time since when. Each
    /// with that time and what closes it.
    idle: RefCell<BTreeMap<(bool, u64), Idle>>,
    last_idle: Cell<u64>,
    ending: Cell<bool>,
}

impl Front {
    /// Closes an idle connection: one that has stayed silent, else the one whose answer is longest ago, else one
    /// that has just come. Whether there was one.
    fn close_one(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        // Guards against closing each new client for the next one, before its request can have come.
        let silent = idle.first_key_value().filter(|(_, (since, _))| since.elapsed() >= COMING);
        let answered = || idle.range((true, 0)..).next();
        let first = silent.or_else(answered).or_else(|| idle.first_key_value()).map(|(place, _)| *place);
        let closed = first.and_then(|place| idle.remove(&place));
        closed.inspect(|(_, close)| close.notify_one()).is_some()
    }
}

/// One connection's place among them.
struct Seat {
    front: Rc<Front>,
    close: Rc<Notify>,
    /// Its place among the idle ones, while it is one.
    idle: Cell<Option<(bool, u64)>>,
    /// When it was made, or its last answer was given.
    since: Cell<Instant>,
    answered: Cell<bool>,
}

impl Seat {
    fn new(front: Rc<Front>) -> Self {
        front.open.set(front.open.get() + 1);
        let seat = Self {
            front,
            close: Rc::default(),
            idle: Cell::new(None),
            since: Cell::new(Instant::now()),
            answered: Cell::new(false),
        };
        seat.set_idle();
        seat
    }

    fn set_idle(&self) {
        let place = (self.answered.get(), self.front.last_idle.get() + 1);
        self.front.last_idle.set(place.1);
        self.front.idle.borrow_mut().insert(place, (Instant::now(), Rc::clone(&self.close)));
        self.idle.set(Some(place));
        self.since.set(Instant::now());
    }

    fn set_busy(&self) {
        if let Some(place) = self.idle.take() {
            self.front.idle.borrow_mut().remove(&place);
        }
    }

    /// When it is to be closed, unless a request has come by then.
    fn due(&self, socket: &Socket) -> Instant {
        let since = self.since.get();
        match socket.begun.get() {
            Some(begun) if self.answered.get() => begun.max(since) + SLOW_MOST,
            None if self.answered.get() => since + IDLE_MOST,
            _ => since + SLOW_MOST,
        }
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.set_busy();
        self.front.open.set(self.front.open.get() - 1);
    }
}

/// A client's socket, with what hyper has read of the head that is coming. hyper drops fields that contradict
/// others before a request is seen, so the head is looked at as it came.
struct Socket {
    stream: TcpStream,
    /// Of the last body this much is still to come.
    body: Cell<u64>,
    ahead: RefCell<Vec<u8>>,
    /// When the head that is coming began to.
    begun: Cell<Option<Instant>>,
}

impl socket::Socket for Socket {
    fn stream(&self) -> &TcpStream {
        &self.stream
    }

    fn came(&self, bytes: &[u8]) {
        let body = (bytes.len() as u64).min(self.body.get());
        self.body.set(self.body.get() - body);
        let ahead = &bytes[body as usize..];
        if !ahead.is_empty() {
            self.ahead.borrow_mut().extend_from_slice(ahead);
            self.begun.set(self.begun.get().or_else(|| Some(Instant::now())));
        }
    }
}

/// What a head says of its body.
enum Framing {
    /// So many bytes.
    Length(u64),
    /// Chunks: where they end is known to hyper alone.
    Chunked,
    /// It contradicts itself.
    Unsound,
}

impl Socket {
    /// Takes the head of the request that hyper has just read off what came.
    /// Guards against a second request hidden in what others would take for the body of this one.
    fn take_head(&self) -> Framing {
        let mut ahead = std::mem::take(&mut *self.ahead.borrow_mut());
        self.begun.set(None);
        let mut fields = [httparse::EMPTY_HEADER; FIELDS_MOST];
        let mut head = httparse::Request::new(&mut fields);
        let Ok(httparse::Status::Complete(end)) = head.parse(&ahead) else { return Framing::Unsound };
        let field = |name: &'static str| {
            let named = head.headers.iter().filter(move |field| field.name.eq_ignore_ascii_case(name));
            named.map(|field| std::str::from_utf8(field.value).unwrap_or_default().trim())
        };
        let framing = match (field("content-length").count(), field("transfer-encoding").count()) {
            (0, 0) => Framing::Length(0),
            (1, 0) => {
                let length = field("content-length").next().and_then(|text| text.parse().ok());
                length.map_or(Framing::Unsound, Framing::Length)
            }
            (0, 1) => Framing::Chunked,
            _ => Framing::Unsound,
        };
        if let Framing::Length(length) = framing {
            ahead.drain(..end);
            self.body.set(length);
            socket::Socket::came(self, &ahead);
        }
        framing
    }
}

/// Serves clients until `stop` is done and all that was taken is answered.
pub async fn run(node: Rc<Node>, listener: TcpListener, stop: impl Future<Output = ()>) {
    let front = Rc::new(Front {
        open: Cell::new(0),
        most: (node.config.sockets * 7 / 16).max(1),
        spare: node.config.sockets / 16,
        idle: RefCell::default(),
        last_idle: Cell::new(0),
        ending: Cell::new(false),
    });
    let mut stop = pin!(stop);
    loop {
        tokio::select! {
            biased;
            () = &mut stop => break,
            () = accept(&node, &front, &listener) => {}
        }
    }
    front.ending.set(true);
    let longest = node.config.settings.classes.iter().map(|class| class.deadline_ms).fold(0.0, f64::max);
    let asked = Instant::now();
    let last = asked + Duration::from_secs_f64(longest / 1000.0) + END;
    let mut came = asked;
    while Instant::now() < last {
        tokio::select! {
            () = accept(&node, &front, &listener) => came = Instant::now(),
            () = sleep_until((Instant::now() + LOOK).min(last)) => {}
        }
        if asked.elapsed() >= STILL_COMING && came.elapsed() >= QUIET {
            while front.close_one() {}
            if front.open.get() == 0 && node.held() == 0 {
                break;
            }
        }
    }
}

/// Takes the next connection. Where all places are taken, an idle one has been closed for it.
async fn accept(node: &Rc<Node>, front: &Rc<Front>, listener: &TcpListener) {
    if front.open.get() >= front.most && front.close_one() {
        yield_now().await;
    }
    match listener.accept().await {
        Ok((stream, _)) if front.open.get() < front.most + front.spare => {
            let seat = Seat::new(Rc::clone(front));
            tokio::task::spawn_local(connection(Rc::clone(node), seat, stream));
        }
        // All are busy. Guards against waiting in vain: who is closed at once can turn to another node.
        Ok(_) => {}
        // Out of descriptors, or the client has left already: neither ends the node.
        Err(_) => {
            front.close_one();
            sleep(LOOK).await;
        }
    }
}

async fn connection(node: Rc<Node>, seat: Seat, stream: TcpStream) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let socket =
        Rc::new(Socket { stream, body: Cell::new(0), ahead: RefCell::default(), begun: Cell::new(None) });
    let service = service_fn(|request| {
        let body_by = seat.due(&socket).max(Instant::now() + LINGER);
        seat.set_busy();
        let framing = socket.take_head();
        let (node, seat) = (&node, &seat);
        async move {
            let mut response = match framing {
                Framing::Unsound => plain(StatusCode::BAD_REQUEST, "the length is unclear\n"),
                Framing::Length(_) | Framing::Chunked => answer(node, seat, request, body_by).await,
            };
            // Where the next head begins is known only where the length is.
            if seat.front.ending.get() || !matches!(framing, Framing::Length(_)) {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            seat.answered.set(true);
            seat.set_idle();
            Ok::<_, Infallible>(response)
        }
    });
    let served = http1::Builder::new()
        .max_buf_size(BODY_MOST)
        .max_header_size(HEAD_MOST)
        .serve_connection(TokioIo::new(Io(Rc::clone(&socket))), service);
    let mut served = pin!(served);
    let (mut wake, mut closing) = (seat.due(&socket), None);
    loop {
        tokio::select! {
            biased;
            // An error is the client's: it has left, or does not speak HTTP.
            _ = served.as_mut() => return,
            () = seat.close.notified() => {
                let linger = seat.front.ending.get() && socket.begun.get().is_some();
                closing = Some(Instant::now() + if linger { LINGER } else { Duration::ZERO });
            }
            () = sleep_until(wake) => {}
        }
        let now = Instant::now();
        if seat.idle.get().is_none() {
            // The answer will say that it is the last one.
            if closing.is_some() {
                served.as_mut().graceful_shutdown();
            }
            wake = now + SLOW_MOST;
            continue;
        }
        let due = seat.due(&socket).min(closing.unwrap_or(now + IDLE_MOST));
        wake = match has_input(&socket.stream) {
            _ if now < due => due,
            // Guards against the loss of a request that has come just now: hyper reads it next.
            true if now < due + LINGER => now + MOMENT,
            _ => return,
        };
    }
}

async fn answer(
    node: &Rc<Node>,
    seat: &Seat,
    request: Request<Incoming>,
    body_by: Instant,
) -> Response<Full<Bytes>> {
    match request.uri().path() {
        "/api" => api(node, request, body_by).await,
        "/_health" if seat.front.ending.get() => plain(StatusCode::SERVICE_UNAVAILABLE, "ending\n"),
        "/_health" => plain(StatusCode::OK, "ready\n"),
        _ => plain(StatusCode::NOT_FOUND, "no such path\n"),
    }
}

fn plain(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(text));
    *response.status_mut() = status;
    response
}

fn refusal(retry_after_ms: Option<f64>) -> Response<Full<Bytes>> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused\n");
    if let Some(ms) = retry_after_ms {
        let seconds = format!("{:.3}", ms / 1000.0).parse().expect("digits");
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}

/// Tells the node that the client has left, unless it has been answered: hyper drops what it waits for then.
struct Waiting {
    node: Rc<Node>,
    id: RequestId,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.node.client_gone(self.id);
    }
}

async fn api(node: &Rc<Node>, request: Request<Incoming>, body_by: Instant) -> Response<Full<Bytes>> {
    let came = Instant::now();
    let (head, body) = request.into_parts();
    let asked = read_head(node, &head.method, &head.headers);
    let body_by = asked.as_ref().map_or(body_by, |(wait, _)| body_by.min(came + *wait));
    let body = match timeout_at(body_by, read_body(body)).await {
        Ok(Ok(body)) => body,
        Ok(Err(status)) => return plain(status, "the body is broken or too long\n"),
        Err(_) => return plain(StatusCode::REQUEST_TIMEOUT, "the body does not come\n"),
    };
    let (wait, mut asked) = match asked {
        Ok(asked) => asked,
        Err(why) => return plain(StatusCode::BAD_REQUEST, why),
    };
    if head.method == Method::GET && !body.is_empty() {
        return plain(StatusCode::BAD_REQUEST, "GET has no body\n");
    }
    // A whole URL names the host that is meant; servers get the short form.
    let mut uri = head.uri.into_parts();
    let authority = uri.authority.take().and_then(|host| HeaderValue::from_str(host.as_str()).ok());
    uri.scheme = None;
    let Ok(uri) = Uri::from_parts(uri) else { return plain(StatusCode::BAD_REQUEST, "a bad target\n") };
    let mut headers = HeaderMap::new();
    for name in ["host", "x-request-id", "idempotency-key", "content-type", "x-class", "x-tenant"] {
        if let Some(value) = head.headers.get(name) {
            headers.insert(name, value.clone());
        }
    }
    if let Some(host) = authority {
        headers.insert(HOST, host);
    }
    headers.entry(HOST).or_insert(HeaderValue::from_static("origin"));
    let gives_up_at = came + wait.saturating_sub(MARGIN).max(wait / 2);
    let budget = gives_up_at.saturating_duration_since(Instant::now());
    asked.budget_ms = budget.as_secs_f64() * 1000.0;
    let forward = Forward { method: head.method, uri, headers, body, gives_up_at };
    let (answer, answered) = oneshot::channel();
    let id = match node.take(forward, asked, answer) {
        Ok(id) => id,
        // The settings' bound, not a decision: how long it lasts is not known.
        Err(NotTaken::Full) => return refusal(node.config.settings.retry_after_most_ms),
        Err(NotTaken::Known) => return plain(StatusCode::CONFLICT, "X-Request-Id is in use\n"),
    };
    let _waiting = Waiting { node: Rc::clone(node), id };
    // Guards against decisions that leave a request without an answer.
    match timeout_at(gives_up_at + MARGIN / 2, answered).await {
        Ok(Ok(Answer::Served(body))) => Response::new(Full::new(body)),
        Ok(Ok(Answer::Refused(retry_after_ms))) => refusal(retry_after_ms),
        Ok(Ok(Answer::Failed) | Err(_)) => plain(StatusCode::BAD_GATEWAY, "failed\n"),
        Err(_) => plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time\n"),
    }
}

/// How long the client waits and what it asks for, or what is wrong with that.
fn read_head(
    node: &Node,
    method: &Method,
    headers: &HeaderMap,
) -> Result<(Duration, spurdrum::Request), &'static str> {
    // Guards against one meaning here and another at a server.
    let doubled = |name: &&str| headers.get_all(*name).iter().nth(1).is_some();
    if FIELDS.iter().any(doubled) {
        return Err("a field comes twice\n");
    }
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let names = &node.config.names;
    if text("x-request-id").is_none_or(str::is_empty) {
        return Err("X-Request-Id is missing\n");
    }
    let class = text("x-class").and_then(|name| names.classes.iter().position(|n| n == name));
    let class = class.ok_or("X-Class is missing or unknown\n")?;
    let tenant = match text("x-tenant") {
        _ if names.tenants.is_empty() => Some(0),
        name => name.and_then(|name| names.tenants.iter().position(|n| n == name)),
    };
    let tenant = tenant.ok_or("X-Tenant is missing or unknown\n")?;
    let wait = text("x-deadline").and_then(|text| text.parse().ok());
    let wait = wait.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    let wait = wait.filter(|wait| !wait.is_zero() && *wait <= WAIT_MOST);
    let wait = wait.ok_or("X-Deadline is missing or no time above 0\n")?;
    // Without its key a keyed request could take effect twice.
    let fits = match node.config.effect(class) {
        Effect::Safe => method == Method::GET,
        Effect::Keyed { .. } => {
            method == Method::POST && text("idempotency-key").is_some_and(|k| !k.is_empty())
        }
        Effect::Unsafe => method == Method::POST,
    };
    if !fits {
        return Err("the method or Idempotency-Key does not fit X-Class\n");
    }
    let cost_us = text("x-cost-hint").and_then(|text| text.parse::<f64>().ok());
    let request = spurdrum::Request {
        tenant,
        cost_ms: cost_us.filter(|us| us.is_finite() && *us >= 0.0).map(|us| us / 1000.0),
        repeat: text("x-retry") == Some("1"),
        ..spurdrum::Request::new(RequestId(0), class, 0.0)
    };
    Ok((wait, request))
}

async fn read_body(mut body: Incoming) -> Result<Bytes, StatusCode> {
    let (mut whole, mut length) = (BytesMut::new(), 0);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| StatusCode::BAD_REQUEST)?.into_data() else { continue };
        length += data.len();
        if length <= BODY_MOST {
            whole.extend_from_slice(&data);
        } else if length > READ_MOST {
            break;
        }
    }
    if length > BODY_MOST {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    Ok(whole.freeze())
}
