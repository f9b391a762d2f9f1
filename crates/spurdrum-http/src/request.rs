//! One request: what its head and body say, and the answer it gets.

use std::cell::Cell;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue, HOST, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode, Uri};
use spurdrum_admission::{Event, Reason, Verdict};
use spurdrum_core::{Answer, ConnectionPermit, InflightRequest, NotAccepted, RequestResult};
use spurdrum_policy::{Effect, RequestId};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::client::Socket;
use crate::context::{EndStage, Front, Node};
use crate::handed::HandedRequest;
use crate::stream::{joined, Deadline, Listener, ResponseBody, Source};
use crate::upstream::{ForwardRequest, RequestBody, ServedResponse, MAX_BUFFERED_BODY};

/// Taken off a client's time: its request and the answer are under way for a part of that.
const MARGIN: Duration = Duration::from_millis(10);
/// The longest time that a client may say it will wait.
const WAIT_MOST: Duration = Duration::from_secs(3600);
/// What a request or an answer that passes through is counted with: the buffers of both sides, by `spurdrum-bench streams`.
pub(crate) const LONG_HOLDS: u64 = 3 * MAX_BUFFERED_BODY as u64;
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

/// What becomes of a connection with the answer to its present request.
#[derive(Default)]
pub(crate) struct Disposition {
    /// The answer is its last: where the next request begins is not known.
    pub(crate) closes: bool,
    /// The request is counted as open until the answer has gone out; none: its client never finished it.
    pub(crate) open: Option<InflightRequest>,
}

/// The answer to a request whose head has come.
pub(crate) async fn answer(
    front: &Front,
    socket: &Socket,
    request: Request<Incoming>,
    length: Option<u64>,
    disposition: &mut Disposition,
) -> Response<ResponseBody> {
    let seat = &socket.seat;
    let body = length.map_or(MAX_BUFFERED_BODY as u64, |length| length.min(LONG_HOLDS));
    let place = seat.handle_event(Event::HeadComplete { id: seat.id, body });
    match request.uri().path() {
        "/_health" if front.ending.get() => plain(StatusCode::SERVICE_UNAVAILABLE, "ending\n"),
        "/_health" if front.node.is_starting() => {
            plain(StatusCode::SERVICE_UNAVAILABLE, format!("starting\n{}\n", (front.status)()))
        }
        "/_health" => plain(StatusCode::OK, format!("ready\n{}\n", (front.status)())),
        _ if place == Verdict::Refuse || front.has_called_last() => {
            *disposition = Disposition { closes: true, open: Some(front.node.metrics.start_request()) };
            refusal(front.node.connections.retry_after_ms())
        }
        "/api" => api(front, socket, request, length, disposition).await,
        _ => plain(StatusCode::NOT_FOUND, "no such path\n"),
    }
}

pub(crate) fn plain(status: StatusCode, text: impl Into<Bytes>) -> Response<ResponseBody> {
    let mut response = Response::new(Full::new(text.into()).into());
    *response.status_mut() = status;
    response
}

fn refusal(retry_after_ms: Option<f64>) -> Response<ResponseBody> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused\n");
    if let Some(ms) = retry_after_ms {
        let seconds = format!("{:.3}", ms / 1000.0).parse().expect("digits");
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}

/// What a final answer tells its client.
pub(crate) fn fate(status: StatusCode) -> RequestResult {
    match status {
        StatusCode::OK => RequestResult::Success,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => RequestResult::Busy,
        _ => RequestResult::Failure,
    }
}

/// Tells the node that the client has left, unless it has been answered: hyper drops what it waits for then.
struct Waiting<'a> {
    node: Rc<Node>,
    id: RequestId,
    owes: &'a Cell<bool>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.owes.set(false);
        self.node.client_gone(self.id);
    }
}

/// Hears of a long body that is passing through.
struct Coming {
    seat: Rc<ConnectionPermit>,
    node: Rc<Node>,
    id: RequestId,
    deadline: Rc<Deadline>,
    whole: Cell<bool>,
}

impl Listener for Rc<Coming> {
    fn waits(&self, suspended: bool) {
        self.seat.handle_event(Event::TransferSuspended { id: self.seat.id, suspended });
    }

    fn spent(&self) {
        self.node.body_consumed(self.id);
    }

    fn whole(&self) {
        self.deadline.begin();
        self.whole.set(true);
        self.seat.reading_body.set(false);
        self.seat.handle_event(Event::RequestComplete { id: self.seat.id });
    }
}

async fn api(
    front: &Front,
    socket: &Socket,
    request: Request<Incoming>,
    length: Option<u64>,
    disposition: &mut Disposition,
) -> Response<ResponseBody> {
    let (node, seat) = (&front.node, &socket.seat);
    let (head, body) = request.into_parts();
    let names = Rc::clone(&front.names.borrow());
    let mut asked = read_head(front, &head.method, &head.headers);
    let body = match take_body(node, seat, body, length).await {
        Ok(body) => body,
        Err(response) => {
            disposition.closes = true;
            return response;
        }
    };
    disposition.open = Some(node.metrics.start_request());
    if !Rc::ptr_eq(&names, &front.names.borrow()) {
        // Other settings hold by now: a request has those under which it is taken.
        asked = read_head(front, &head.method, &head.headers);
    }
    let asked = asked.and_then(|asked| match head.method == Method::GET && body.has_bytes() {
        true => Err("GET has no body\n"),
        false => Ok(asked),
    });
    let (wait, mut asked) = match asked {
        Ok(asked) => asked,
        Err(why) => {
            disposition.closes |= body.is_long();
            return plain(StatusCode::BAD_REQUEST, why);
        }
    };
    let Some(wait) = time_for_answer(wait, &body, socket) else {
        return refusal(node.connections.retry_after_ms());
    };
    // How long a long body takes to come is not known, and not the servers' affair.
    asked.budget_ms = if body.is_long() { WAIT_MOST } else { wait }.as_secs_f64() * 1000.0;
    let keyed = front
        .keys
        .as_ref()
        .map(|keys| keys.of((&head.headers, &head.uri), (asked.class, asked.tenant), seat.peer));
    let (ask, naming) = keyed.unwrap_or_default();
    let Some((uri, authority)) = short_form(head.uri) else {
        return plain(StatusCode::BAD_REQUEST, "a bad target\n");
    };
    let headers = forwarded_headers(front, &head.headers, authority);
    let (body, source, deadline) = match body {
        ReceivedBody::Whole(bytes) => (RequestBody::Whole(bytes), None, Deadline::at(Instant::now() + wait)),
        ReceivedBody::Long(came, rest) => {
            let source = Rc::new(Source::new(rest, length, came, MAX_BUFFERED_BODY));
            (RequestBody::Through(Rc::clone(&source)), Some(source), Deadline::after(wait))
        }
    };
    let deadline = Rc::new(deadline);
    let forward = ForwardRequest {
        method: head.method,
        uri,
        headers,
        body,
        deadline: Rc::clone(&deadline),
        ask,
        naming,
    };
    let handed = HandedRequest::new(head.version, &head.headers, &asked);
    let (answer, answered) = oneshot::channel();
    let id = match node.accept(forward, asked, answer) {
        Ok(id) => id,
        // The settings' bound, not a decision: how long it lasts is not known.
        Err(NotAccepted::Full) => return refusal(node.settings().max_retry_after_ms),
        Err(NotAccepted::DuplicateId) => return plain(StatusCode::CONFLICT, "X-Request-Id is in use\n"),
    };
    socket.owes.set(true);
    let _waiting = Waiting { node: Rc::clone(node), id, owes: &socket.owes };
    let coming = source.map(|source| {
        let (seat, node, whole) = (Rc::clone(seat), Rc::clone(node), Cell::new(false));
        let coming = Rc::new(Coming { seat, node, id, deadline: Rc::clone(&deadline), whole });
        source.listen(Rc::clone(&coming));
        coming
    });
    let taken = Taken { front, socket, id, handed, deadline, coming };
    taken.final_answer(answered, disposition).await
}

/// Reads a request's body, or the beginning of a long one; from then on the request is owed its answer. The error is the answer where
/// that does not come.
async fn take_body(
    node: &Node,
    seat: &ConnectionPermit,
    body: Incoming,
    length: Option<u64>,
) -> Result<ReceivedBody, Response<ResponseBody>> {
    seat.reading_body.set(true);
    let body = tokio::select! {
        biased;
        body = read_body(body, length) => body.map_err(|status| plain(status, "the body is broken\n")),
        reason = seat.body_expired() => Err(expired(node, reason)),
    };
    if matches!(body, Ok(ReceivedBody::Long(..))) {
        seat.handle_event(Event::Streaming { id: seat.id });
        return body;
    }
    seat.reading_body.set(false);
    if body.is_ok() {
        // It may have had its time just as it was whole: that counts.
        seat.take_command();
        seat.handle_event(Event::RequestComplete { id: seat.id });
    }
    body
}

/// The time in which an answer has to be there, for a client that waits this long from when it sent its request. `None` where that is
/// over already.
fn time_for_answer(wait: Duration, body: &ReceivedBody, socket: &Socket) -> Option<Duration> {
    // The time of a long body begins when all of it has come.
    let unread_for = if body.is_long() { Duration::ZERO } else { socket.unread_for() };
    // Guards against an attempt for a client whose time was over before its request was read.
    let left = wait.checked_sub(unread_for).filter(|left| !left.is_zero())?;
    Some(left.saturating_sub(MARGIN).max(left / 2))
}

/// A target as servers get it, and the host that a whole URL names. `None` where it has no such form.
fn short_form(uri: Uri) -> Option<(Uri, Option<HeaderValue>)> {
    let mut parts = uri.into_parts();
    let authority = parts.authority.take().and_then(|host| HeaderValue::from_str(host.as_str()).ok());
    parts.scheme = None;
    Some((Uri::from_parts(parts).ok()?, authority))
}

/// The fields that go on to servers.
fn forwarded_headers(front: &Front, headers: &HeaderMap, authority: Option<HeaderValue>) -> HeaderMap {
    let mut forwarded = HeaderMap::new();
    for name in ["host", "x-request-id", "idempotency-key", "content-type", "x-class", "x-tenant"] {
        if let Some(value) = headers.get(name) {
            forwarded.insert(name, value.clone());
        }
    }
    for name in front.keys.iter().flat_map(|keys| keys.fields()) {
        if let Some(value) = headers.get(name) {
            forwarded.insert(name, value.clone());
        }
    }
    if let Some(host) = authority {
        forwarded.insert(HOST, host);
    }
    forwarded.entry(HOST).or_insert(HeaderValue::from_static("origin"));
    forwarded
}

/// A request that the node has taken and owes its answer.
struct Taken<'a> {
    front: &'a Front,
    socket: &'a Socket,
    id: RequestId,
    /// What another process is told of it, where it could serve it.
    handed: Option<HandedRequest>,
    deadline: Rc<Deadline>,
    /// A long body, which may still be coming.
    coming: Option<Rc<Coming>>,
}

impl Taken<'_> {
    /// Waits for the decisions' answer, for as long as the client waits and the process goes on.
    async fn final_answer(
        self,
        answered: oneshot::Receiver<Answer<ServedResponse>>,
        disposition: &mut Disposition,
    ) -> Response<ResponseBody> {
        let (front, seat) = (self.front, &self.socket.seat);
        let answer = tokio::select! {
            biased;
            answer = answered => answer.unwrap_or(Answer::Failed),
            forward = self.withdrawn() => {
                disposition.closes |= self.comes();
                return self.hand_over(&forward).await;
            }
            reason = seat.body_expired(), if self.comes() => {
                seat.reading_body.set(false);
                *disposition = Disposition { closes: true, open: None };
                return expired(&front.node, reason);
            }
            // Guards against a process that ends before the client's time does: the client may wait longer than the settings say.
            () = front.reached(EndStage::LastCall) => {
                return plain(StatusCode::GATEWAY_TIMEOUT, "the node is ending\n")
            }
            // Guards against decisions that leave a request without an answer.
            () = self.deadline.passed(MARGIN / 2) => {
                return plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time\n")
            }
        };
        seat.reading_body.set(false);
        // What is still to come of the request would be taken for another.
        disposition.closes |= self.comes();
        response(front, answer)
    }

    /// Whether a part of its body is still to come.
    fn comes(&self) -> bool {
        self.coming.as_ref().is_some_and(|coming| !coming.whole.get())
    }

    /// Waits until the process ends and begins nothing more, where no server has been sent the request by then.
    /// Guards against an attempt that begins when there is no time left for its answer.
    async fn withdrawn(&self) -> Rc<ForwardRequest> {
        self.front.reached(EndStage::NothingBegins).await;
        match self.front.node.withdraw(self.id) {
            Some(forward) => forward,
            None => pending().await,
        }
    }

    /// Gives a request that no server has been sent to the process that takes over, with its connection, and does not return then.
    /// Where none takes it, the answer is a refusal.
    async fn hand_over(&self, forward: &ForwardRequest) -> Response<ResponseBody> {
        let handed = self.handed.filter(|_| self.front.passes_requests());
        let Some(request) = handed.and_then(|handed| handed.encode(forward)) else {
            return refusal(self.front.node.connections.retry_after_ms());
        };
        self.socket.give_back(request);
        // The connection is passed on before there is an answer here.
        pending().await
    }
}

/// What a final answer says to its client.
fn response(front: &Front, answer: Answer<ServedResponse>) -> Response<ResponseBody> {
    match answer {
        Answer::Served(served) => {
            let mut response = Response::new(served.body);
            let name = front.keys.as_ref().and_then(|keys| keys.answer());
            if let Some((name, value)) = name.zip(served.given) {
                response.headers_mut().insert(name, value);
            }
            response
        }
        Answer::Refused(retry_after_ms) => refusal(retry_after_ms),
        Answer::Failed => plain(StatusCode::BAD_GATEWAY, "failed\n"),
    }
}

/// The answer where a body had its time.
fn expired(node: &Node, reason: Reason) -> Response<ResponseBody> {
    match reason {
        // It makes room for others, or the node ends: that is no fault of its client.
        Reason::Shed | Reason::Starved | Reason::Ending => refusal(node.connections.retry_after_ms()),
        _ => plain(StatusCode::REQUEST_TIMEOUT, "the body does not come\n"),
    }
}

/// How long the client waits and what it asks for, or what is wrong with that.
fn read_head(
    front: &Front,
    method: &Method,
    headers: &HeaderMap,
) -> Result<(Duration, spurdrum_policy::Request), &'static str> {
    // Guards against one meaning here and another at a server.
    let doubled = |name: &&str| headers.get_all(*name).iter().nth(1).is_some();
    let doubled_key = front.keys.iter().any(|keys| keys.fields().any(|name| doubled(&name.as_str())));
    if doubled_key || FIELDS.iter().any(doubled) {
        return Err("a field comes twice\n");
    }
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let names = Rc::clone(&front.names.borrow());
    if text("x-request-id").is_none_or(str::is_empty) {
        return Err("X-Request-Id is missing\n");
    }
    let settings = front.node.settings();
    // Without its key a keyed request could take effect twice.
    let key = text("idempotency-key").is_some_and(|key| !key.is_empty());
    let fits = |class: &usize| match settings.classes[*class].effect {
        Effect::Safe => method == Method::GET,
        Effect::Keyed { .. } => method == Method::POST && key,
        Effect::Unsafe => method == Method::POST,
    };
    // While a class changes its effect there are two of its name, the new one first.
    let named = text("x-class").map(|name| names.classes.iter().enumerate().filter(move |(_, n)| *n == name));
    let mut named = named.into_iter().flatten().map(|(class, _)| class).peekable();
    named.peek().ok_or("X-Class is missing or unknown\n")?;
    let class = named.find(fits).ok_or("the method or Idempotency-Key does not fit X-Class\n")?;
    let tenant = match text("x-tenant") {
        _ if names.tenants.is_empty() => Some(0),
        name => name.and_then(|name| names.tenants.iter().position(|n| n == name)),
    };
    let tenant = tenant.ok_or("X-Tenant is missing or unknown\n")?;
    let wait = text("x-deadline").and_then(|text| text.parse().ok());
    let wait = wait.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    let wait = wait.filter(|wait| !wait.is_zero() && *wait <= WAIT_MOST);
    let wait = wait.ok_or("X-Deadline is missing or no time above 0\n")?;
    let cost_us = text("x-cost-hint").and_then(|text| text.parse::<f64>().ok());
    let request = spurdrum_policy::Request {
        tenant,
        cost_ms: cost_us.filter(|us| us.is_finite() && *us >= 0.0).map(|us| us / 1000.0),
        client_retry: text("x-retry") == Some("1"),
        ..spurdrum_policy::Request::new(RequestId(0), class, 0.0)
    };
    Ok((wait, request))
}

/// A body, or the beginning of a long one.
enum ReceivedBody {
    Whole(Bytes),
    Long(Vec<Bytes>, Incoming),
}

impl ReceivedBody {
    /// Whether it is too long to be held.
    fn is_long(&self) -> bool {
        matches!(self, Self::Long(..))
    }

    /// Whether there is a body at all.
    fn has_bytes(&self) -> bool {
        match self {
            Self::Whole(bytes) => !bytes.is_empty(),
            Self::Long(..) => true,
        }
    }
}

/// Reads a body that is short enough to be held.
async fn read_body(mut body: Incoming, length: Option<u64>) -> Result<ReceivedBody, StatusCode> {
    let mut came: Vec<Bytes> = Vec::new();
    let mut bytes = 0;
    while length.is_none_or(|length| length <= MAX_BUFFERED_BODY as u64) && bytes <= MAX_BUFFERED_BODY {
        let Some(frame) = body.frame().await else {
            return Ok(ReceivedBody::Whole(joined(came)));
        };
        if let Ok(data) = frame.map_err(|_| StatusCode::BAD_REQUEST)?.into_data() {
            bytes += data.len();
            came.push(data);
        }
    }
    Ok(ReceivedBody::Long(came, body))
}
