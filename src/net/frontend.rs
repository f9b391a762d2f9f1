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
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use spurdrum::{Effect, RequestId};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, Notify};
use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant};

use super::node::{Answer, Node};
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
/// A client whose connection is to be closed has this long to take its answer or to finish its request's head.
const LINGER: Duration = Duration::from_millis(500);
/// A body over the limit is read on so far, so that its client gets to see the answer.
const READ_MOST: usize = 1 << 20;

/// Clients' connections.
struct Front {
    open: Cell<usize>,
    most: usize,
    /// Those with no request, by the time since when, each with what closes it.
    idle: RefCell<BTreeMap<u64, Rc<Notify>>>,
    last_idle: Cell<u64>,
    closed: Notify,
    ending: Cell<bool>,
}

impl Front {
    /// Closes the connection that has stood idle for longest. Whether there was one.
    fn close_one(&self) -> bool {
        let oldest = self.idle.borrow_mut().pop_first();
        oldest.inspect(|(_, close)| close.notify_one()).is_some()
    }

    /// Whether one more may be accepted: over the budget an idle one is closed for it.
    fn has_room(&self) -> bool {
        self.open.get() < self.most || self.close_one()
    }
}

/// One connection's place among them.
struct Seat {
    front: Rc<Front>,
    close: Rc<Notify>,
    /// Its place among the idle ones, while it is one.
    idle: Cell<Option<u64>>,
}

impl Seat {
    fn new(front: Rc<Front>) -> Self {
        front.open.set(front.open.get() + 1);
        let seat = Self { front, close: Rc::default(), idle: Cell::new(None) };
        seat.set_idle();
        seat
    }

    fn set_idle(&self) {
        let place = self.front.last_idle.get() + 1;
        self.front.last_idle.set(place);
        self.front.idle.borrow_mut().insert(place, Rc::clone(&self.close));
        self.idle.set(Some(place));
    }

    fn set_busy(&self) {
        if let Some(place) = self.idle.take() {
            self.front.idle.borrow_mut().remove(&place);
        }
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.set_busy();
        self.front.open.set(self.front.open.get() - 1);
        self.front.closed.notify_one();
    }
}

/// Serves clients until `stop` is done and all that was taken is answered.
pub async fn run(node: Rc<Node>, listener: TcpListener, stop: impl Future<Output = ()>) {
    let front = Rc::new(Front {
        open: Cell::new(0),
        most: (node.config.sockets / 2).max(1),
        idle: RefCell::default(),
        last_idle: Cell::new(0),
        closed: Notify::new(),
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

/// Takes the next connection, or makes room for it.
async fn accept(node: &Rc<Node>, front: &Rc<Front>, listener: &TcpListener) {
    if !front.has_room() {
        return front.closed.notified().await;
    }
    match listener.accept().await {
        Ok((stream, _)) => {
            drop(tokio::task::spawn_local(connection(Rc::clone(node), Seat::new(Rc::clone(front)), stream)))
        }
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
    let service = service_fn(|request| {
        seat.set_busy();
        let (node, seat) = (&node, &seat);
        async move {
            let mut response = answer(node, seat, request).await;
            if seat.front.ending.get() {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            seat.set_idle();
            Ok::<_, Infallible>(response)
        }
    });
    let served =
        http1::Builder::new().max_buf_size(BODY_MOST).serve_connection(TokioIo::new(stream), service);
    let mut served = pin!(served);
    tokio::select! {
        // An error is the client's: it has left, or does not speak HTTP.
        _ = served.as_mut() => return,
        () = seat.close.notified() => served.as_mut().graceful_shutdown(),
    }
    while timeout(LINGER, served.as_mut()).await.is_err() && seat.idle.get().is_none() {}
}

async fn answer(node: &Rc<Node>, seat: &Seat, request: Request<Incoming>) -> Response<Full<Bytes>> {
    match request.uri().path() {
        "/api" => api(node, request).await,
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

async fn api(node: &Rc<Node>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let came = Instant::now();
    let (head, body) = request.into_parts();
    let asked = read_head(node, &head.method, &head.headers);
    let wait = asked.as_ref().map_or(WAIT_MOST.min(node.config.conn_idle), |(wait, _)| *wait);
    let body = match timeout_at(came + wait, read_body(body)).await {
        Ok(Ok(body)) => body,
        Ok(Err(status)) => return plain(status, "the body is broken or too long\n"),
        Err(_) => return plain(StatusCode::REQUEST_TIMEOUT, "the body does not come\n"),
    };
    let (wait, mut asked) = match asked {
        Ok(asked) => asked,
        Err(why) => return plain(StatusCode::BAD_REQUEST, why),
    };
    let mut headers = HeaderMap::new();
    for name in ["host", "x-request-id", "idempotency-key", "content-type", "x-class", "x-tenant"] {
        if let Some(value) = head.headers.get(name) {
            headers.insert(name, value.clone());
        }
    }
    headers.entry(HOST).or_insert(HeaderValue::from_static("origin"));
    let gives_up_at = came + wait.saturating_sub(MARGIN).max(wait / 2);
    let budget = gives_up_at.saturating_duration_since(Instant::now());
    asked.budget_ms = budget.as_secs_f64() * 1000.0;
    let forward = Forward { method: head.method, uri: head.uri, headers, body, gives_up_at };
    let (answer, answered) = oneshot::channel();
    let Some(id) = node.take(forward, asked, answer) else {
        // The settings' bound, not a decision: how long it lasts is not known.
        return refusal(node.config.settings.retry_after_most_ms);
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
