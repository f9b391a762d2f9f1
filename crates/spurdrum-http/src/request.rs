//! A single request: parsing its head, receiving its body, and obtaining its response.

use std::cell::Cell;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue, HOST, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode, Uri};
use spurdrum_admission::{Event, HeadSize, Reason, Verdict};
use spurdrum_core::{Answer, ConnectionPermit, InflightRequest, NotAccepted, RequestResult};
use spurdrum_policy::{Effect, RequestId, NO_INDEX};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::body::{BodyBuffer, BODY_GROWTH_BYTES};
use crate::client::Socket;
use crate::context::{Front, Node, ShutdownStage};
use crate::handed::HandedOverRequest;
use crate::stream::{BodyObserver, Deadline, RequestStream, ResponseBody};
use crate::upstream::{ForwardRequest, RequestBody, ServedResponse, MAX_BUFFERED_BODY, MAX_BUFFER_BYTES};

/// Subtracted from the client's deadline, as the request and the response are on the network for a part of
/// it.
const RESPONSE_MARGIN: Duration = Duration::from_millis(10);
/// The longest deadline that a client may specify.
const MAX_CLIENT_DEADLINE: Duration = Duration::from_secs(3600);
/// The memory that a streamed request or response is charged: what is buffered of its beginning, a frame
/// beyond that, and what waits to be written.
pub(crate) const STREAMED_MEMORY_BYTES: u64 = (MAX_BUFFERED_BODY + 3 * MAX_BUFFER_BYTES) as u64;
/// The memory that the next frame of a body may need: the frame, and a step of the buffer that it is added to.
const FRAME_MEMORY_BYTES: u64 = (MAX_BUFFER_BYTES + BODY_GROWTH_BYTES) as u64;
/// Header fields that a request may have only once.
const SINGLE_HEADERS: [&str; 8] = [
    "host",
    "x-request-id",
    "idempotency-key",
    "x-class",
    "x-tenant",
    "x-deadline",
    "x-retry",
    "x-cost-hint",
];

/// What happens to a connection with the response to its current request.
#[derive(Default)]
pub(crate) struct Disposition {
    /// Whether the connection closes after the response because the start of the next request cannot be
    /// determined.
    pub(crate) close_after: bool,
    /// Whether the request was refused unread: the connection closes behind the requests that were received with
    /// it, each of which gets its own response.
    pub(crate) refused: bool,
    /// Keeps the request counted as in flight until the response has been sent; `None` if the client never
    /// completed the request.
    pub(crate) inflight: Option<InflightRequest>,
}

/// Returns the response to a request whose head has been received.
pub(crate) async fn respond_to_request(
    front: &Front,
    socket: &Rc<Socket>,
    request: Request<Incoming>,
    head: HeadSize,
    length: Option<u64>,
    disposition: &mut Disposition,
) -> Response<ResponseBody> {
    let permit = &socket.permit;
    // A body of unknown length is charged as it arrives.
    let body = length.map_or(FRAME_MEMORY_BYTES, |length| body_memory(Some(length)));
    let verdict = permit.handle_event(Event::HeadComplete { id: permit.id, head, body });
    match request.uri().path() {
        "/_health" if front.shutting_down.get() => text_response(StatusCode::SERVICE_UNAVAILABLE, "ending\n"),
        "/_health" if front.node.is_starting() => {
            text_response(StatusCode::SERVICE_UNAVAILABLE, format!("starting\n{}\n", (front.status)()))
        }
        "/_health" => text_response(StatusCode::OK, format!("ready\n{}\n", (front.status)())),
        _ if verdict == Verdict::Refuse || front.final_notice_sent() => {
            disposition.refused = true;
            disposition.inflight = Some(front.node.metrics.start_request());
            if socket.is_request_complete() {
                discard_received(request.into_body()).await;
            }
            refusal_response(front.node.connections.retry_after_ms())
        }
        "/api" => serve_api(front, socket, request, length, disposition).await,
        _ => text_response(StatusCode::NOT_FOUND, "no such path\n"),
    }
}

/// Reads a body that has been received completely and is of no use: hyper goes on behind it only once it is read.
async fn discard_received(mut body: Incoming) {
    while let Some(Ok(_)) = body.frame().await {}
}

/// Returns the most memory that a body holds while it is received.
pub(crate) fn body_memory(length: Option<u64>) -> u64 {
    length.filter(|length| *length <= MAX_BUFFERED_BODY as u64).unwrap_or(STREAMED_MEMORY_BYTES)
}

pub(crate) fn text_response(status: StatusCode, text: impl Into<Bytes>) -> Response<ResponseBody> {
    let mut response = Response::new(Full::new(text.into()).into());
    *response.status_mut() = status;
    response
}

fn refusal_response(retry_after_ms: Option<f64>) -> Response<ResponseBody> {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "refused\n");
    if let Some(ms) = retry_after_ms {
        let seconds = format!("{:.3}", ms / 1000.0).parse().expect("digits");
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}

/// Returns the result that a final response means for its client.
pub(crate) fn request_result(status: StatusCode) -> RequestResult {
    match status {
        StatusCode::OK => RequestResult::Success,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => RequestResult::Busy,
        _ => RequestResult::Failure,
    }
}

/// Informs the node that the client has left unless the request was answered; hyper drops the future of the
/// response in that case.
struct PendingGuard<'a> {
    node: Rc<Node>,
    id: RequestId,
    awaiting_response: &'a Cell<bool>,
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.awaiting_response.set(false);
        self.node.client_gone(self.id);
    }
}

/// Observes a long body that is being streamed.
struct UploadObserver {
    permit: Rc<ConnectionPermit>,
    node: Rc<Node>,
    id: RequestId,
    complete: Cell<bool>,
}

impl BodyObserver for Rc<UploadObserver> {
    fn set_suspended(&self, suspended: bool) {
        self.permit.handle_event(Event::TransferSuspended { id: self.permit.id, suspended });
    }

    fn prefix_discarded(&self) {
        self.node.body_consumed(self.id);
    }

    fn complete(&self) {
        self.complete.set(true);
        self.permit.reading_body.set(false);
        self.permit.handle_event(Event::RequestComplete { id: self.permit.id });
    }
}

async fn serve_api(
    front: &Front,
    socket: &Rc<Socket>,
    request: Request<Incoming>,
    length: Option<u64>,
    disposition: &mut Disposition,
) -> Response<ResponseBody> {
    let (node, permit) = (&front.node, &socket.permit);
    let (head, body) = request.into_parts();
    let names = Rc::clone(&front.names.borrow());
    let mut parsed = parse_head(front, &head.method, &head.headers);
    let body = match receive_body(node, permit, body, length).await {
        Ok(body) => body,
        Err(response) => {
            disposition.close_after = true;
            return response;
        }
    };
    disposition.inflight = Some(node.metrics.start_request());
    if !Rc::ptr_eq(&names, &front.names.borrow()) {
        let now = parse_head(front, &head.method, &head.headers);
        parsed = parsed.map(|parsed| after_reload(parsed, &now)).or(now);
    }
    let parsed = parsed.and_then(|parsed| match head.method == Method::GET && body.has_bytes() {
        true => Err("GET has no body\n"),
        false => Ok(parsed),
    });
    let (client_wait, mut parsed) = match parsed {
        Ok(parsed) => parsed,
        Err(message) => {
            disposition.close_after |= body.is_streamed();
            return text_response(StatusCode::BAD_REQUEST, message);
        }
    };
    let time_since_end = Instant::now().saturating_duration_since(socket.earliest_request_end());
    let Some(budget) = response_budget(client_wait, time_since_end) else {
        return refusal_response(node.connections.retry_after_ms());
    };
    // How long a streamed body takes to arrive is unknown, and no concern of the servers.
    parsed.budget_ms = if body.is_streamed() { MAX_CLIENT_DEADLINE } else { budget }.as_secs_f64() * 1000.0;
    let key_and_partial = front
        .keys
        .as_ref()
        .map(|keys| keys.key_of((&head.headers, &head.uri), (parsed.class, parsed.tenant), permit.peer));
    let (affinity_key, partial_key) = key_and_partial.unwrap_or_default();
    let Some((uri, authority)) = origin_form_uri(head.uri) else {
        return text_response(StatusCode::BAD_REQUEST, "a bad target\n");
    };
    let headers = forwarded_headers(front, &head.headers, authority);
    let (body, stream, deadline) = match body {
        ReceivedBody::Buffered(bytes) => {
            (RequestBody::Buffered(bytes), None, Deadline::at(Instant::now() + budget))
        }
        ReceivedBody::Streamed(received, rest) => {
            let stream = Rc::new(RequestStream::new(rest, length, received, MAX_BUFFERED_BODY));
            (
                RequestBody::Streamed(Rc::clone(&stream)),
                Some(stream),
                Deadline::after(budget + time_since_end, request_end_of(socket)),
            )
        }
    };
    let deadline = Rc::new(deadline);
    let forward = ForwardRequest {
        method: head.method,
        uri,
        headers,
        body,
        deadline: Rc::clone(&deadline),
        is_client_present: Box::new(presence_of_client(socket)),
        affinity_key,
        partial_key,
    };
    let handed_over = HandedOverRequest::new(head.version, &head.headers, &parsed);
    let (answer_sender, answer_receiver) = oneshot::channel();
    let id = match node.accept(forward, parsed, answer_sender) {
        Ok(id) => id,
        // A bound from the settings rather than a decision, as it is not known how long the node will be
        // full.
        Err(NotAccepted::Full) => return refusal_response(node.settings().max_retry_after_ms),
        Err(NotAccepted::DuplicateId) => {
            return text_response(StatusCode::CONFLICT, "X-Request-Id is in use\n")
        }
    };
    socket.awaiting_response.set(true);
    let _pending_guard =
        PendingGuard { node: Rc::clone(node), id, awaiting_response: &socket.awaiting_response };
    let upload = stream.map(|stream| {
        let (permit, node, complete) = (Rc::clone(permit), Rc::clone(node), Cell::new(false));
        let upload = Rc::new(UploadObserver { permit, node, id, complete });
        stream.set_observer(Rc::clone(&upload));
        // Nothing is read until an attempt has a connection.
        stream.set_suspended(true);
        upload
    });
    let accepted = AcceptedRequest { front, socket, id, handed_over, deadline, upload };
    accepted.wait_for_answer(answer_receiver, disposition).await
}

/// Receives a request's body, or the beginning of a long one; from then on the client is owed a response.
/// Returns the response as an error if the body does not arrive.
async fn receive_body(
    node: &Node,
    permit: &ConnectionPermit,
    body: Incoming,
    length: Option<u64>,
) -> Result<ReceivedBody, Response<ResponseBody>> {
    permit.reading_body.set(true);
    let body = tokio::select! {
        biased;
        body = read_body(permit, body, length) =>
            body.map_err(|status| text_response(status, "the body is broken\n")),
        reason = permit.body_expired() => Err(expired_body_response(node, reason)),
    };
    if matches!(body, Ok(ReceivedBody::Streamed(..))) {
        permit.handle_event(Event::Streaming { id: permit.id });
        return body;
    }
    permit.reading_body.set(false);
    if let Ok(ReceivedBody::Buffered(bytes)) = &body {
        permit.handle_event(Event::BodyHeld { id: permit.id, bytes: bytes.len() as u64 });
    }
    if body.is_ok() {
        // The body may have expired at the moment it became complete: it counts as complete.
        permit.take_command();
        permit.handle_event(Event::RequestComplete { id: permit.id });
    }
    body
}

/// Returns a function that tells when the client can have sent the last byte of its current request at the
/// earliest.
fn request_end_of(socket: &Rc<Socket>) -> impl Fn() -> Instant + 'static {
    let (number, last_known) = (socket.request_number(), Cell::new(socket.earliest_request_end()));
    let socket = Rc::downgrade(socket);
    move || {
        // Without its connection, or behind its response, the request has no client that waits.
        if let Some(socket) = socket.upgrade().filter(|socket| socket.request_number() == number) {
            last_known.set(socket.earliest_request_end());
        }
        last_known.get()
    }
}

/// Returns a function that tells whether the client of a socket is still connected, as far as can be known.
fn presence_of_client(socket: &Rc<Socket>) -> impl Fn() -> bool + 'static {
    let socket = Rc::downgrade(socket);
    move || socket.upgrade().is_some_and(|socket| socket.is_client_present())
}

/// Returns the time within which the response has to be available, for a client that waits for `client_wait`
/// and may have sent its request `time_since_end` ago. Returns `None` if that time is already over.
fn response_budget(client_wait: Duration, time_since_end: Duration) -> Option<Duration> {
    // Without this, an attempt would be made for a client whose deadline passed before its request was read.
    let remaining = client_wait.checked_sub(time_since_end).filter(|remaining| !remaining.is_zero())?;
    Some(remaining.saturating_sub(RESPONSE_MARGIN).max(remaining / 2))
}

/// Returns a request target in origin form, as servers get it, and the host that an absolute URL names.
/// Returns `None` if the target has no origin form.
fn origin_form_uri(uri: Uri) -> Option<(Uri, Option<HeaderValue>)> {
    let mut parts = uri.into_parts();
    let authority = parts.authority.take().and_then(|host| HeaderValue::from_str(host.as_str()).ok());
    parts.scheme = None;
    Some((Uri::from_parts(parts).ok()?, authority))
}

/// Returns the header fields that are forwarded to servers.
fn forwarded_headers(front: &Front, headers: &HeaderMap, authority: Option<HeaderValue>) -> HeaderMap {
    let mut forwarded = HeaderMap::new();
    for name in ["host", "x-request-id", "idempotency-key", "content-type", "x-class", "x-tenant"] {
        if let Some(value) = headers.get(name) {
            forwarded.insert(name, value.clone());
        }
    }
    for name in front.keys.iter().flat_map(|keys| keys.request_headers()) {
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

/// A request that the node has accepted and has to answer.
struct AcceptedRequest<'a> {
    front: &'a Front,
    socket: &'a Socket,
    id: RequestId,
    /// What the incoming process needs to know to serve the request, if it can be handed over.
    handed_over: Option<HandedOverRequest>,
    deadline: Rc<Deadline>,
    /// A streamed body, which may still be arriving.
    upload: Option<Rc<UploadObserver>>,
}

impl AcceptedRequest<'_> {
    /// Waits for the node's answer, for as long as the client waits and the process is running.
    async fn wait_for_answer(
        self,
        answer_receiver: oneshot::Receiver<Answer<ServedResponse>>,
        disposition: &mut Disposition,
    ) -> Response<ResponseBody> {
        let (front, permit) = (self.front, &self.socket.permit);
        let answer = tokio::select! {
            biased;
            answer = answer_receiver => answer.unwrap_or(Answer::Failed),
            forward = self.wait_until_withdrawn() => {
                disposition.close_after |= self.is_uploading();
                return self.hand_over(&forward).await;
            }
            reason = permit.body_expired(), if self.is_uploading() => {
                permit.reading_body.set(false);
                self.log_own_answer(&format!("its body does not come: {reason:?}"));
                *disposition = Disposition { close_after: true, ..Disposition::default() };
                return expired_body_response(&front.node, reason);
            }
            // A client may wait longer than the settings say: it has to get a response before the process
            // exits.
            () = front.wait_for_stage(ShutdownStage::FinalNotice) => {
                self.log_own_answer("the process ends");
                return text_response(StatusCode::GATEWAY_TIMEOUT, "the node is ending\n")
            }
            // A request must get a response even if the node never decides on one.
            () = self.deadline.passed(RESPONSE_MARGIN / 2) => {
                self.log_own_answer("its time is up");
                return text_response(StatusCode::GATEWAY_TIMEOUT, "no answer in time\n")
            }
        };
        permit.reading_body.set(false);
        // The rest of the request would be taken for another one.
        disposition.close_after |= self.is_uploading();
        client_response(front, answer)
    }

    /// Logs that the request gets its final answer although the node has decided on none.
    fn log_own_answer(&self, reason: &str) {
        let node = &self.front.node;
        node.event_log.write(|| format!("request {}: ended: {reason}", node.client_request_id(self.id)));
    }

    /// Returns whether a part of the body has not been received yet.
    fn is_uploading(&self) -> bool {
        self.upload.as_ref().is_some_and(|upload| !upload.complete.get())
    }

    /// Waits until the process begins no more attempts during its shutdown, and returns the request if it has
    /// not been sent to any server by then. An attempt that began later would have no time left for its
    /// response.
    async fn wait_until_withdrawn(&self) -> Rc<ForwardRequest> {
        self.front.wait_for_stage(ShutdownStage::NoNewAttempts).await;
        match self.front.node.withdraw(self.id) {
            Some(forward) => forward,
            None => pending().await,
        }
    }

    /// Hands a request that was not sent to any server over to the incoming process, together with its
    /// connection; in this case the function does not return. If no process accepts the request, returns a
    /// refusal.
    async fn hand_over(&self, forward: &ForwardRequest) -> Response<ResponseBody> {
        let handed_over = self.handed_over.filter(|_| self.front.can_hand_over_requests());
        let Some(request) = handed_over.and_then(|handed_over| handed_over.encode(forward)) else {
            return refusal_response(self.front.node.connections.retry_after_ms());
        };
        self.socket.set_handed_over_request(request);
        // The connection is handed over before a response is available here.
        pending().await
    }
}

/// Returns the response for a final answer of the node.
fn client_response(front: &Front, answer: Answer<ServedResponse>) -> Response<ResponseBody> {
    match answer {
        Answer::Served(served) => {
            let mut response = Response::new(served.body);
            let name = front.keys.as_ref().and_then(|keys| keys.response_header());
            if let Some((name, value)) = name.zip(served.affinity_header) {
                response.headers_mut().insert(name, value);
            }
            response
        }
        Answer::Refused(retry_after_ms) => refusal_response(retry_after_ms),
        Answer::Failed => text_response(StatusCode::BAD_GATEWAY, "failed\n"),
    }
}

/// Returns the response for a body that did not arrive in time.
fn expired_body_response(node: &Node, reason: Reason) -> Response<ResponseBody> {
    match reason {
        // The connection was closed to make room for others, or because the node is shutting down: this is
        // not the client's fault.
        Reason::Shed | Reason::Starved | Reason::Ending => {
            refusal_response(node.connections.retry_after_ms())
        }
        _ => text_response(StatusCode::REQUEST_TIMEOUT, "the body does not come\n"),
    }
}

/// How long the client of a request waits, and what it requests.
type ParsedHead = (Duration, spurdrum_policy::Request);

/// Returns how long the client waits and what it requests, or the error message for its response.
fn parse_head(front: &Front, method: &Method, headers: &HeaderMap) -> Result<ParsedHead, &'static str> {
    // A repeated field could mean one thing here and another at a server.
    let is_repeated = |name: &&str| headers.get_all(*name).iter().nth(1).is_some();
    let key_header_repeated =
        front.keys.iter().any(|keys| keys.request_headers().any(|name| is_repeated(&name.as_str())));
    if key_header_repeated || SINGLE_HEADERS.iter().any(is_repeated) {
        return Err("a field comes twice\n");
    }
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let names = Rc::clone(&front.names.borrow());
    if text("x-request-id").is_none_or(str::is_empty) {
        return Err("X-Request-Id is missing\n");
    }
    let settings = front.node.settings();
    // Without its key a keyed request could take effect twice.
    let has_key = text("idempotency-key").is_some_and(|key| !key.is_empty());
    let matches_method = |class: &usize| match settings.classes[*class].effect {
        Effect::Safe => method == Method::GET,
        Effect::Keyed { .. } => method == Method::POST && has_key,
        Effect::Unsafe => method == Method::POST,
    };
    // While the effect of a class is being changed there are two classes of its name, the new one first.
    let matching_classes =
        text("x-class").map(|name| names.classes.iter().enumerate().filter(move |(_, n)| *n == name));
    let mut matching_classes = matching_classes.into_iter().flatten().map(|(class, _)| class).peekable();
    matching_classes.peek().ok_or("X-Class is missing or unknown\n")?;
    let class = matching_classes
        .find(matches_method)
        .ok_or("the method or Idempotency-Key does not fit X-Class\n")?;
    let tenant = match text("x-tenant") {
        _ if names.tenants.is_empty() => Some(0),
        name => name.and_then(|name| names.tenants.iter().position(|n| n == name)),
    };
    let tenant = tenant.ok_or("X-Tenant is missing or unknown\n")?;
    let client_wait = text("x-deadline").and_then(|text| text.parse().ok());
    let client_wait = client_wait.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    let client_wait =
        client_wait.filter(|client_wait| !client_wait.is_zero() && *client_wait <= MAX_CLIENT_DEADLINE);
    let client_wait = client_wait.ok_or("X-Deadline is missing or no time above 0\n")?;
    let cost_us = text("x-cost-hint").and_then(|text| text.parse::<f64>().ok());
    let request = spurdrum_policy::Request {
        tenant,
        rules: settings.rules_of(class),
        cost_ms: cost_us.filter(|us| us.is_finite() && *us >= 0.0).map(|us| us / 1000.0),
        client_retry: text("x-retry") == Some("1"),
        ..spurdrum_policy::Request::new(RequestId(0), class, 0.0)
    };
    Ok((client_wait, request))
}

/// Returns a request whose head was read before the settings were reloaded, as read then and, in `now`, under
/// the new settings: it keeps its rules, and refers to its class and tenant by their new indices.
fn after_reload(parsed: ParsedHead, now: &Result<ParsedHead, &'static str>) -> ParsedHead {
    let (client_wait, request) = parsed;
    let (class, tenant) =
        now.as_ref().map_or((NO_INDEX, NO_INDEX), |(_, request)| (request.class, request.tenant));
    (client_wait, spurdrum_policy::Request { class, tenant, ..request })
}

/// A body, or the beginning of a long one.
enum ReceivedBody {
    Buffered(Bytes),
    Streamed(BodyBuffer, Incoming),
}

impl ReceivedBody {
    /// Returns whether the body is too long to be buffered.
    fn is_streamed(&self) -> bool {
        matches!(self, Self::Streamed(..))
    }

    /// Returns whether there is a body at all.
    fn has_bytes(&self) -> bool {
        match self {
            Self::Buffered(bytes) => !bytes.is_empty(),
            Self::Streamed(..) => true,
        }
    }
}

/// Reads a body completely if it is short enough to be buffered, and otherwise its beginning.
async fn read_body(
    permit: &ConnectionPermit,
    mut body: Incoming,
    length: Option<u64>,
) -> Result<ReceivedBody, StatusCode> {
    let buffered_length = length.and_then(|length| usize::try_from(length).ok());
    let mut received = BodyBuffer::new(buffered_length.filter(|length| *length <= MAX_BUFFERED_BODY));
    let mut reserved = FRAME_MEMORY_BYTES;
    while length.is_none_or(|length| length <= MAX_BUFFERED_BODY as u64)
        && received.len() <= MAX_BUFFERED_BODY
    {
        let Some(frame) = body.frame().await else {
            return Ok(ReceivedBody::Buffered(received.into_bytes()));
        };
        if let Ok(data) = frame.map_err(|_| StatusCode::BAD_REQUEST)?.into_data() {
            received.push(&data);
        }
        let needed = received.len() as u64 + FRAME_MEMORY_BYTES;
        if length.is_none() && needed > reserved {
            reserved = needed + BODY_GROWTH_BYTES as u64;
            permit.reserve_body(reserved).await;
        }
    }
    if length.is_none() {
        permit.reserve_body(STREAMED_MEMORY_BYTES).await;
    }
    Ok(ReceivedBody::Streamed(received, body))
}
