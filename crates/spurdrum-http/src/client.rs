//! The socket of a client: the bytes received on it, and the responses written to it.

use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future};
use std::io;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use hyper::body::{Body, Frame, SizeHint};
use spurdrum_admission::{Event, State, PIPELINED_MEMORY};
use spurdrum_core::{sleep_and_catch_up, ConnectionPermit, InflightRequest, NodeMetrics, RequestResult};
use spurdrum_tcp_info::{since_last_data, unacknowledged_bytes};
use tokio::io::{Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep, Instant};

use crate::arrival::ArrivalClock;
use crate::chunks::ChunkedBodyTracker;
use crate::read_progress::ReadProgress;
use crate::socket;
use crate::stream::{self, ResponseBody};

/// The most header fields of a request, the same as hyper's limit.
pub const MAX_HEADERS: usize = 100;

/// The most bytes that are read behind a pending request to find out whether its client is still connected.
const MAX_PREFETCHED: usize = 64 * 1024;
/// How many of these bytes are charged together with the other buffers behind a pending request.
const PREFETCHED_CHARGED: usize = 16 * 1024;
/// The size of the pieces in which these bytes are read.
const READ_CHUNK_BYTES: usize = 4 * 1024;
/// The most bytes of a head that are read at once.
const HEAD_READ_BYTES: usize = 8 * 1024;
/// The step in which the copy of a head grows.
const READ_AHEAD_STEP: usize = 4 * 1024;
/// If more than that has arrived, the event loop is asked at this interval whether the client has closed the
/// connection.
const DEPARTURE_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// How often it is checked whether a client takes a long response.
const READ_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Behind this many unread bytes the end of a connection may be hidden: the client's system sends no more, and
/// no end either, until the node reads.
const MAX_UNREAD_BEFORE_END: u64 = 32 * 1024;
/// For how long a client that was there counts as being there still. By the protocol no attempt may begin
/// 0.1 s after the client has left.
const MAX_PRESENCE_AGE: Duration = Duration::from_millis(80);
/// The system may report data as older than it is by this much.
const KERNEL_TICK: Duration = Duration::from_millis(10);

/// The socket of a client, and the bytes of the next head that hyper has read. hyper drops contradicting
/// header fields before it passes a request on, so the head is inspected in its raw form.
pub struct Socket {
    /// The socket itself.
    pub stream: TcpStream,
    /// The permit of the connection.
    pub permit: Rc<ConnectionPermit>,
    /// The part of the current body that has not been received yet.
    remaining_body: Cell<RemainingBody>,
    /// Bytes behind the current request that hyper has read.
    read_ahead: RefCell<Vec<u8>>,
    /// Bytes that were read from the socket before hyper asked for them.
    prefetched: RefCell<BytesMut>,
    arrival: RefCell<ArrivalClock>,
    /// When the client can have sent the last byte of the current request at the earliest, once all of it has
    /// been received.
    request_end: Cell<Option<Instant>>,
    /// The number of requests whose heads have been received.
    requests: Cell<u64>,
    /// A request that another process is to serve, in the form in which that process reads it.
    handed_over_request: RefCell<Option<Vec<u8>>>,
    /// Whether a request has been accepted whose response is not available yet.
    pub awaiting_response: Cell<bool>,
    /// Whether a response has been started and is not fully written.
    writing_response: Cell<bool>,
    /// Whether hyper has been given the whole response.
    hyper_has_response: Cell<bool>,
    /// The bytes written so far.
    written: Cell<u64>,
    /// Notified when a streamed response begins.
    stream_started: Notify,
    read_progress: Cell<ReadProgress>,
    /// When the client was last known to be connected.
    last_present_at: Cell<Instant>,
}

/// The part of a body that has not been received yet.
#[derive(Clone, Copy)]
enum RemainingBody {
    Length(u64),
    Chunked(ChunkedBodyTracker),
}

impl RemainingBody {
    /// Returns how many bytes are still to come at least.
    fn min_bytes(&self) -> u64 {
        match self {
            Self::Length(remaining) => *remaining,
            Self::Chunked(tracker) => tracker.min_remaining(),
        }
    }
}

/// Returns whether the peer has closed or reset the connection, or its side of it, behind whatever is unread, as
/// far as the event loop knows.
fn has_ended(stream: &TcpStream) -> bool {
    let readiness = pin!(stream.ready(Interest::READABLE));
    match readiness.poll(&mut Context::from_waker(Waker::noop())) {
        Poll::Ready(ready) => ready.map_or(true, |ready| ready.is_read_closed()),
        Poll::Pending => false,
    }
}

/// Returns how many bytes the socket holds; none if the system does not tell.
fn unread_bytes(stream: &TcpStream) -> u64 {
    rustix::io::ioctl_fionread(stream).unwrap_or_default()
}

/// Returns the memory of what is read behind a pending request, `bytes` of it before hyper asked for them. Their
/// buffer doubles as it grows.
fn prefetch_memory(bytes: usize) -> u64 {
    PIPELINED_MEMORY + 2 * bytes as u64
}

/// Why reading behind a pending request has ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Lookahead {
    /// The connection has ended.
    End,
    /// No more may be buffered.
    Full,
}

/// The head of a request, as it was received.
pub struct ReceivedHead {
    /// How it delimits its body.
    pub framing: Framing,
    /// Its length in bytes.
    pub length: usize,
}

/// How the head of a request delimits its body.
pub enum Framing {
    /// A body of this many bytes.
    Length(u64),
    /// A chunked body.
    Chunked,
    /// The header fields contradict each other.
    Invalid,
}

impl Socket {
    /// Creates the socket of a connection from which nothing has been read.
    pub fn new(stream: TcpStream, permit: Rc<ConnectionPermit>) -> Self {
        Self {
            stream,
            permit,
            remaining_body: Cell::new(RemainingBody::Length(0)),
            read_ahead: RefCell::default(),
            prefetched: RefCell::default(),
            arrival: RefCell::default(),
            request_end: Cell::default(),
            requests: Cell::default(),
            handed_over_request: RefCell::default(),
            awaiting_response: Cell::new(false),
            writing_response: Cell::new(false),
            hyper_has_response: Cell::new(false),
            written: Cell::new(0),
            stream_started: Notify::new(),
            read_progress: Cell::default(),
            last_present_at: Cell::new(Instant::now()),
        }
    }

    /// Adds bytes that have already been read from the connection.
    pub fn with_already_read(self, already_read: Vec<u8>) -> Self {
        if !already_read.is_empty() {
            let (id, bytes) = (self.permit.id, already_read.len() as u64);
            self.permit.handle_event(Event::Pipelined { id, bytes });
        }
        Self { prefetched: RefCell::new(BytesMut::from(&already_read[..])), ..self }
    }

    /// Marks the current request as not answered here; `request` is its serialized form. The connection is to
    /// be handed over.
    pub fn set_handed_over_request(&self, request: Vec<u8>) {
        self.handed_over_request.replace(Some(request));
        self.permit.command_ready.notify_one();
    }

    /// Returns whether the current request is to be served by another process.
    pub fn has_handed_over_request(&self) -> bool {
        self.handed_over_request.borrow().is_some()
    }

    /// Takes the bytes that another process has to read before the socket itself: a request that was not
    /// served here, and everything received after it.
    pub fn take_unserved_bytes(&self) -> Vec<u8> {
        let mut bytes = self.handed_over_request.take().unwrap_or_default();
        bytes.append(&mut self.read_ahead.borrow_mut());
        bytes.extend_from_slice(&self.prefetched.take());
        bytes
    }

    /// Returns whether bytes beyond the current request have been read.
    pub fn has_read_ahead(&self) -> bool {
        !self.read_ahead.borrow().is_empty() || !self.prefetched.borrow().is_empty()
    }

    /// Returns when the client can have sent the last byte of the current request at the earliest: its time
    /// runs from then. While the request is being received, this moves on with what is received.
    pub fn earliest_request_end(&self) -> Instant {
        let now = Instant::now();
        let missing = self.remaining_body.get().min_bytes();
        self.request_end.get().unwrap_or_else(|| {
            self.arrival.borrow().earliest_end_of_rest(now, missing, unread_bytes(&self.stream))
        })
    }

    /// Returns the number of the current request on this connection.
    pub fn request_number(&self) -> u64 {
        self.requests.get()
    }

    /// Records bytes that have been read from the socket itself.
    fn record_arrival(&self, bytes: usize) {
        // If the system cannot tell, the bytes count as read at once.
        let time_in_socket = since_last_data(&self.stream).unwrap_or_default().saturating_sub(KERNEL_TICK);
        let unread = unread_bytes(&self.stream);
        let now = Instant::now();
        // What has come since the socket was empty was sent by a client that was there.
        let was_empty = self.arrival.borrow().is_empty();
        if was_empty || unread < MAX_UNREAD_BEFORE_END {
            self.last_present_at.set(now.checked_sub(time_in_socket).unwrap_or(now));
        }
        self.arrival.borrow_mut().received(now, bytes as u64, time_in_socket, unread);
    }

    /// Returns whether the client is connected as far as can be known: an attempt may begin for it.
    pub fn is_client_present(&self) -> bool {
        if has_ended(&self.stream) {
            return false;
        }
        if unread_bytes(&self.stream) < MAX_UNREAD_BEFORE_END {
            self.last_present_at.set(Instant::now());
        }
        self.last_present_at.get().elapsed() <= MAX_PRESENCE_AGE
    }

    /// Records that the socket holds nothing to read.
    fn record_empty(&self) {
        let within_request = !self.is_request_complete() || !self.read_ahead.borrow().is_empty();
        self.arrival.borrow_mut().found_empty(Instant::now(), within_request);
    }

    /// Waits until the client closes its side of the connection, or resets it, while a response is pending.
    /// hyper notices this itself as long as it reads; but once it holds a part of the next request, it stops
    /// reading until the response is sent. Input is then read here instead and given to hyper later. May be
    /// called only from the task that drives hyper.
    pub async fn client_departed(&self) {
        loop {
            if poll_fn(|cx| self.poll_client_departed(cx)).await == Lookahead::End {
                return;
            }
            // Too much input arrives to buffer all of it; only the event loop can tell whether the stream
            // ends behind it.
            let ready = self.stream.ready(Interest::READABLE).await;
            if ready.map_or(true, |ready| ready.is_read_closed()) {
                return;
            }
            sleep(DEPARTURE_CHECK_INTERVAL).await;
        }
    }

    /// Reads behind a pending request until the connection ends there, or no more may be buffered.
    fn poll_client_departed(&self, cx: &mut Context<'_>) -> Poll<Lookahead> {
        while self.awaiting_response.get()
            && self.is_request_complete()
            && !self.read_ahead.borrow().is_empty()
        {
            if !self.may_prefetch() {
                return Poll::Ready(Lookahead::Full);
            }
            if ready!(self.stream.poll_read_ready(cx)).is_err() {
                return Poll::Ready(Lookahead::End);
            }
            let mut prefetched = self.prefetched.borrow_mut();
            prefetched.reserve(READ_CHUNK_BYTES);
            match self.stream.try_read_buf(&mut (&mut *prefetched).limit(READ_CHUNK_BYTES)) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => self.record_empty(),
                Ok(n) if n > 0 => {
                    drop(prefetched);
                    self.record_arrival(n);
                    self.charge_prefetched();
                }
                _ => return Poll::Ready(Lookahead::End),
            }
        }
        Poll::Pending
    }

    /// Waits until the client has taken nothing of a streamed response for `limit`.
    pub async fn client_stopped_reading(&self, limit: Duration) {
        loop {
            if !self.writing_response.get() {
                self.stream_started.notified().await;
            }
            sleep_and_catch_up(READ_CHECK_INTERVAL).await;
            if self.read_stalled_for() >= limit {
                return;
            }
        }
    }

    /// Returns for how long the client has acknowledged nothing although something waits to be.
    fn read_stalled_for(&self) -> Duration {
        let mut progress = self.read_progress.get();
        // If the system cannot tell, the client counts as reading.
        let waiting = unacknowledged_bytes(&self.stream).ok().filter(|bytes| *bytes > 0);
        let stalled_for = match waiting {
            Some(waiting) => progress.stalled_for(Instant::now(), self.written.get().saturating_sub(waiting)),
            None => {
                progress = ReadProgress::default();
                Duration::ZERO
            }
        };
        self.read_progress.set(progress);
        stalled_for
    }

    /// Returns whether more may be read behind a pending request: up to a limit, and if there is memory.
    fn may_prefetch(&self) -> bool {
        let bytes = self.prefetched.borrow().len();
        bytes < MAX_PREFETCHED
            && (bytes + READ_CHUNK_BYTES <= PREFETCHED_CHARGED
                || self.permit.may_read(prefetch_memory(bytes) as usize, 2 * READ_CHUNK_BYTES))
    }

    /// Charges what has been read behind a pending request beyond what is charged anyway.
    fn charge_prefetched(&self) {
        let bytes = self.prefetched.borrow().len();
        if bytes > PREFETCHED_CHARGED {
            let bytes = prefetch_memory(bytes);
            self.permit.handle_event(Event::Pipelined { id: self.permit.id, bytes });
        }
    }

    /// Returns whether the client has closed its side or reset the connection, with nothing left to read
    /// before that.
    pub fn is_closed(&self) -> bool {
        socket::is_closed(&self.stream)
    }

    /// Returns whether anything has arrived that is not part of the current request.
    pub fn has_input(&self) -> bool {
        self.has_read_ahead() || socket::has_input(&self.stream)
    }

    /// Returns whether bytes have arrived that nobody has read.
    pub fn has_unread_bytes(&self) -> bool {
        socket::has_input(&self.stream) && !socket::is_closed(&self.stream)
    }

    /// Removes the head of the request that hyper has just read from the received bytes. How it delimits its
    /// body prevents request smuggling: a second request hidden in what others would take for the body of
    /// this one.
    pub fn take_head(&self) -> ReceivedHead {
        let mut read_ahead = std::mem::take(&mut *self.read_ahead.borrow_mut());
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Request::new(&mut fields);
        let Ok(httparse::Status::Complete(length)) = head.parse(&read_ahead) else {
            return ReceivedHead { framing: Framing::Invalid, length: read_ahead.len() };
        };
        let values_of = |name: &'static str| {
            let matching = head.headers.iter().filter(move |header| header.name.eq_ignore_ascii_case(name));
            matching.map(|header| std::str::from_utf8(header.value).unwrap_or_default().trim())
        };
        let framing = match (values_of("content-length").count(), values_of("transfer-encoding").count()) {
            (0, 0) => Framing::Length(0),
            (1, 0) => {
                let length = values_of("content-length").next().and_then(|text| text.parse().ok());
                length.map_or(Framing::Invalid, Framing::Length)
            }
            (0, 1) => Framing::Chunked,
            _ => Framing::Invalid,
        };
        let remaining = match framing {
            Framing::Length(length) => RemainingBody::Length(length),
            Framing::Chunked => RemainingBody::Chunked(ChunkedBodyTracker::default()),
            Framing::Invalid => return ReceivedHead { framing, length },
        };
        read_ahead.drain(..length);
        self.remaining_body.set(remaining);
        self.request_end.set(None);
        self.requests.set(self.requests.get() + 1);
        self.split(&read_ahead);
        ReceivedHead { framing, length }
    }

    /// Splits received bytes between the current body and the next request.
    fn split(&self, bytes: &[u8]) {
        let mut remaining = self.remaining_body.get();
        let body_bytes = match &mut remaining {
            RemainingBody::Length(remaining) => {
                let body_bytes = (bytes.len() as u64).min(*remaining);
                *remaining -= body_bytes;
                body_bytes as usize
            }
            RemainingBody::Chunked(tracker) => tracker.consume(bytes),
        };
        self.remaining_body.set(remaining);
        if self.request_end.get().is_none() && self.is_request_complete() {
            self.request_end.set(Some(self.arrival.borrow().earliest_end(Instant::now())));
        }
        let behind_body = &bytes[body_bytes..];
        if behind_body.is_empty() {
            return;
        }
        let mut read_ahead = self.read_ahead.borrow_mut();
        let needed = read_ahead.len() + behind_body.len();
        if needed > read_ahead.capacity() {
            // Doubling would take more memory than a partial head is charged.
            let more = needed.next_multiple_of(READ_AHEAD_STEP) - read_ahead.len();
            read_ahead.reserve_exact(more);
        }
        read_ahead.extend_from_slice(behind_body);
    }

    /// Returns whether the current request has been received completely: what follows is the head of the next
    /// one.
    pub fn is_request_complete(&self) -> bool {
        match self.remaining_body.get() {
            RemainingBody::Length(remaining) => remaining == 0,
            RemainingBody::Chunked(tracker) => tracker.is_done(),
        }
    }

    /// Called when a response is passed to hyper. The end of a streamed response is reported to `recorder`.
    pub fn begin_response(
        self: &Rc<Self>,
        body: ResponseBody,
        recorder: Option<ResponseRecorder>,
    ) -> TrackedResponseBody {
        self.writing_response.set(true);
        self.hyper_has_response.set(body.is_end_stream());
        if recorder.is_some() {
            self.read_progress.take();
            self.stream_started.notify_one();
        }
        TrackedResponseBody { body, socket: Rc::clone(self), recorder, is_suspended: false }
    }
}

impl socket::Socket for Socket {
    fn stream(&self) -> &TcpStream {
        &self.stream
    }

    fn read_limit(&self, capacity: usize) -> Option<usize> {
        if !self.is_request_complete() {
            return Some(capacity);
        }
        let limit = capacity.min(HEAD_READ_BYTES);
        self.permit.may_read(self.read_ahead.borrow().len(), limit).then_some(limit)
    }

    fn defer_read(&self, cx: &Context<'_>) {
        self.permit.defer_read(cx.waker());
    }

    fn take_prefetched(&self, buf: &mut ReadBuf<'_>) -> bool {
        let mut prefetched = self.prefetched.borrow_mut();
        let bytes = prefetched.len().min(buf.remaining());
        buf.put_slice(&prefetched[..bytes]);
        prefetched.advance(bytes);
        if prefetched.is_empty() {
            // Also releases the memory of the buffer.
            *prefetched = BytesMut::new();
        }
        bytes > 0
    }

    fn received_from_socket(&self, bytes: usize) {
        self.record_arrival(bytes);
    }

    fn found_empty(&self) {
        self.record_empty();
    }

    fn received(&self, bytes: &[u8]) {
        self.split(bytes);
        let id = self.permit.id;
        self.permit.handle_event(Event::Received { id, bytes: bytes.len() as u64 });
        let is_pending =
            || matches!(self.permit.state(), Some(State::Body | State::Waiting | State::Writing));
        let behind_request = self.read_ahead.borrow().len();
        if behind_request > 0 && is_pending() {
            self.permit.handle_event(Event::Pipelined { id, bytes: behind_request as u64 });
        }
        self.charge_prefetched();
    }

    fn written(&self, bytes: usize) {
        self.written.set(self.written.get() + bytes as u64);
        if self.writing_response.get() {
            self.permit.handle_event(Event::ResponseProgress { id: self.permit.id, bytes: bytes as u64 });
        }
    }

    fn flushed(&self) {
        if self.writing_response.get() && self.hyper_has_response.get() {
            self.writing_response.set(false);
            self.permit.handle_event(Event::ResponseWritten { id: self.permit.id });
            self.charge_prefetched();
            let read_ahead = self.read_ahead.borrow().len() as u64;
            if read_ahead > 0 {
                self.permit.handle_event(Event::Received { id: self.permit.id, bytes: read_ahead });
            }
        }
    }
}

/// Records the outcome of a streamed response in the metrics when it ends.
pub struct ResponseRecorder {
    /// The metrics of the node.
    pub metrics: Rc<NodeMetrics>,
    /// The class under which the response is recorded.
    pub class: Option<String>,
    /// The request counts as in flight until this is dropped.
    pub inflight: Option<InflightRequest>,
    /// When the head of the request had been received.
    pub head_received_at: Instant,
}

impl ResponseRecorder {
    fn finish(self, result: RequestResult) {
        if let Some(class) = &self.class {
            self.metrics.record_result(class, result);
            self.metrics.record_latency(class, self.head_received_at);
        }
        drop(self.inflight);
    }
}

/// The body of a response, which notes when hyper has taken all of it.
pub struct TrackedResponseBody {
    body: ResponseBody,
    socket: Rc<Socket>,
    recorder: Option<ResponseRecorder>,
    /// Whether the source of the body has no data at the moment.
    is_suspended: bool,
}

impl TrackedResponseBody {
    fn set_suspended(&mut self, suspended: bool) {
        if self.recorder.is_some() && self.is_suspended != suspended {
            self.is_suspended = suspended;
            self.socket
                .permit
                .handle_event(Event::TransferSuspended { id: self.socket.permit.id, suspended });
        }
    }
}

impl Body for TrackedResponseBody {
    type Data = Bytes;
    type Error = stream::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        self.set_suspended(frame.is_pending());
        let result = match &frame {
            Poll::Ready(None) => Some(RequestResult::Success),
            Poll::Ready(Some(Ok(_))) if self.body.is_end_stream() => Some(RequestResult::Success),
            Poll::Ready(Some(Err(_))) => Some(RequestResult::Failure),
            _ => None,
        };
        if let (Some(result), Some(recorder)) = (result, self.recorder.take_if(|_| result.is_some())) {
            recorder.finish(result);
        }
        self.socket.hyper_has_response.set(self.body.is_end_stream());
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for TrackedResponseBody {
    fn drop(&mut self) {
        // The client has left.
        if let Some(recorder) = self.recorder.take() {
            recorder.finish(RequestResult::Failure);
        }
    }
}
