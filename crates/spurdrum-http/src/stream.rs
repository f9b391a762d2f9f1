//! Streamed bodies: of a request on its way to a server, and of a response on its way to a client. A frame is
//! read only when the other side has room for it, so that the memory in use does not grow with the length.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use spurdrum_core::catch_up_deadline;
use spurdrum_policy::Ending;
use tokio::sync::oneshot;
use tokio::time::{sleep, sleep_until, Instant, Sleep};

use crate::body::BodyBuffer;
use crate::upstream::MAX_BUFFER_BYTES;

/// A server that accepts nothing of a request for this long is considered failed.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// A server that sends nothing of a response that it has begun for this long is considered failed. The client
/// has its first bytes by then, and has no other deadline.
const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_secs(15);

/// The reason why a body was aborted.
pub type Error = Box<dyn std::error::Error + Send + Sync>;

/// When the node stops waiting.
pub struct Deadline {
    wait: Duration,
    /// Returns when the client can have sent its last byte at the earliest. It moves on while the request
    /// arrives, and never back.
    earliest_request_end: Box<dyn Fn() -> Instant>,
}

impl Deadline {
    /// Creates the deadline of a request that has been received completely.
    pub fn at(at: Instant) -> Self {
        Self { wait: Duration::ZERO, earliest_request_end: Box::new(move || at) }
    }

    /// Creates the deadline of a request that is still arriving: it passes `wait` after the time at which the
    /// client can have sent its last byte.
    pub fn after(wait: Duration, earliest_request_end: impl Fn() -> Instant + 'static) -> Self {
        Self { wait, earliest_request_end: Box::new(earliest_request_end) }
    }

    /// Returns when the deadline passes if the client has sent all by now.
    fn due(&self) -> Instant {
        (self.earliest_request_end)() + self.wait
    }

    /// Returns the time that is left if the client has sent all by now.
    pub fn remaining(&self) -> Duration {
        self.due().saturating_duration_since(Instant::now())
    }

    /// Waits until `margin` after the deadline.
    pub async fn passed(&self, margin: Duration) {
        loop {
            // More may have been received meanwhile: then the deadline has moved on.
            let due = self.due() + margin;
            if due <= Instant::now() {
                return;
            }
            sleep_until(due).await;
        }
    }
}

/// Observes a client's body while it is being streamed.
pub trait BodyObserver {
    /// Called when the body is not being read for lack of room at the server, and when reading resumes.
    fn set_suspended(&self, suspended: bool);

    /// Called when the beginning of the body has been discarded, so that it cannot be sent again.
    fn prefix_discarded(&self);

    /// Called when the whole body has been received.
    fn complete(&self);
}

/// A client's body that is too long to be buffered.
pub struct RequestStream {
    body: RefCell<Incoming>,
    length: Option<u64>,
    /// The beginning of the body, kept for as long as all that was received fits, so that a retry can send it
    /// again.
    replay_buffer: RefCell<BodyBuffer>,
    max_replay_bytes: usize,
    prefix_discarded: Cell<bool>,
    complete: Cell<bool>,
    client_failed: Cell<bool>,
    is_suspended: Cell<bool>,
    /// The number of uploads that have been created: only the last one may read on.
    uploads: Cell<u64>,
    observer: RefCell<Option<Box<dyn BodyObserver>>>,
}

impl RequestStream {
    /// Creates the stream of a body of which `received` has already been received. At most `max_replay_bytes`
    /// of its beginning are kept for retries.
    pub fn new(body: Incoming, length: Option<u64>, received: BodyBuffer, max_replay_bytes: usize) -> Self {
        Self {
            body: RefCell::new(body),
            length,
            replay_buffer: RefCell::new(received),
            max_replay_bytes,
            prefix_discarded: Cell::new(false),
            complete: Cell::new(false),
            client_failed: Cell::new(false),
            is_suspended: Cell::new(false),
            uploads: Cell::new(0),
            observer: RefCell::default(),
        }
    }

    /// Sets the observer of the body.
    pub fn set_observer(&self, observer: impl BodyObserver + 'static) {
        self.observer.replace(Some(Box::new(observer)));
    }

    /// Returns whether the body can no longer be sent again.
    pub fn is_prefix_discarded(&self) -> bool {
        self.prefix_discarded.get()
    }

    /// Returns whether the client aborted the body.
    pub fn has_client_failed(&self) -> bool {
        self.client_failed.get()
    }

    /// Returns whether the body is not being read, as no server has room for more.
    pub fn is_suspended(&self) -> bool {
        self.is_suspended.get()
    }

    /// Records whether the body is not being read because nobody has room for more: the delay is then not the
    /// client's.
    pub fn set_suspended(&self, suspended: bool) {
        if self.is_suspended.replace(suspended) != suspended {
            self.notify(|observer| observer.set_suspended(suspended));
        }
    }

    fn notify(&self, callback: impl FnOnce(&dyn BodyObserver)) {
        if let Some(observer) = &*self.observer.borrow() {
            callback(&**observer);
        }
    }

    fn poll(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Error>>> {
        loop {
            if self.client_failed.get() {
                return Poll::Ready(Some(Err("the client aborted the request body".into())));
            }
            let frame = ready!(Pin::new(&mut *self.body.borrow_mut()).poll_frame(cx));
            match frame {
                None => {
                    self.mark_complete();
                    return Poll::Ready(None);
                }
                Some(Err(error)) => {
                    self.client_failed.set(true);
                    return Poll::Ready(Some(Err(error.into())));
                }
                // Trailers end at each hop: they are not passed on in either direction.
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        // If the length is known, nobody polls again after the last byte.
                        if self.body.borrow().is_end_stream() {
                            self.mark_complete();
                        }
                        // A frame that waits to be written would keep a whole read buffer of hyper's alive.
                        return Poll::Ready(Some(Ok(Bytes::copy_from_slice(&data))));
                    }
                }
            }
        }
    }

    fn mark_complete(&self) {
        if !self.complete.replace(true) {
            self.notify(|observer| observer.complete());
        }
    }

    fn buffer_for_replay(&self, data: &Bytes) {
        if self.prefix_discarded.get() {
            return;
        }
        let mut replay_buffer = self.replay_buffer.borrow_mut();
        if replay_buffer.len() + data.len() <= self.max_replay_bytes {
            replay_buffer.push(data);
        } else {
            replay_buffer.clear();
            drop(replay_buffer);
            self.prefix_discarded.set(true);
            self.notify(|observer| observer.prefix_discarded());
        }
    }
}

/// A body that is streamed.
pub trait BodyStream: Unpin {
    /// Returns the next frame.
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Error>>>;

    /// Returns whether the body has ended.
    fn has_ended(&self) -> bool;

    /// Returns the length, if it is known.
    fn length(&self) -> Option<u64>;
}

/// A body that is buffered or streamed.
pub enum StreamableBody<T> {
    /// The whole body is buffered.
    Buffered(Full<Bytes>),
    /// The body is streamed.
    Streamed(T),
}

/// The request body of one attempt.
pub type AttemptBody = StreamableBody<Upload>;

/// The body of a response.
pub type ResponseBody = StreamableBody<Download>;

impl<T> From<Full<Bytes>> for StreamableBody<T> {
    fn from(body: Full<Bytes>) -> Self {
        Self::Buffered(body)
    }
}

impl<T: BodyStream> Body for StreamableBody<T> {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        match self.get_mut() {
            Self::Buffered(body) => Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            Self::Streamed(body) => body.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.is_end_stream(),
            Self::Streamed(body) => body.has_ended(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => body.size_hint(),
            Self::Streamed(body) => body.length().map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}

/// A client's body on its way to a server.
pub struct Upload {
    stream: Rc<RequestStream>,
    /// Its number among the uploads of the stream.
    number: u64,
    /// How many bytes of the replay buffer have been sent.
    position: usize,
    /// Called when the whole body has been given to hyper.
    on_complete: Rc<dyn Fn()>,
    is_finished: bool,
}

impl Upload {
    /// Creates an upload that starts at the beginning of the body; returns `None` if the beginning was
    /// discarded. `on_complete` is called when hyper has the whole body.
    pub fn new(stream: &Rc<RequestStream>, on_complete: Rc<dyn Fn()>) -> Option<Self> {
        if stream.is_prefix_discarded() {
            return None;
        }
        let (stream, number) = (Rc::clone(stream), stream.uploads.get() + 1);
        stream.uploads.set(number);
        Some(Self { stream, number, position: 0, on_complete, is_finished: false })
    }

    /// Returns whether no other attempt has taken the body over.
    fn is_current(&self) -> bool {
        self.stream.uploads.get() == self.number
    }

    fn finish(&mut self) {
        if !self.is_finished {
            self.is_finished = true;
            (self.on_complete)();
        }
    }

    /// Returns the next part of what is buffered, if there is more.
    fn next_buffered(&mut self) -> Option<Bytes> {
        let replay_buffer = self.stream.replay_buffer.borrow();
        let unsent = replay_buffer.as_slice().get(self.position..).filter(|unsent| !unsent.is_empty())?;
        let part = &unsent[..unsent.len().min(MAX_BUFFER_BYTES)];
        self.position += part.len();
        Some(Bytes::copy_from_slice(part))
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        // Until another attempt reads on, the delay is not the client's.
        if self.is_current() && !self.stream.complete.get() {
            self.stream.set_suspended(true);
        }
    }
}

impl BodyStream for Upload {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        // hyper may hold on to the body of an attempt that has ended: it would take pieces from the next one.
        if !self.is_current() {
            return Poll::Ready(Some(Err("another attempt sends the request body".into())));
        }
        if let Some(data) = self.next_buffered() {
            if self.stream.complete.get() && self.position == self.stream.replay_buffer.borrow().len() {
                self.finish();
            }
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        if self.stream.complete.get() {
            self.finish();
            return Poll::Ready(None);
        }
        self.stream.set_suspended(false);
        match ready!(self.stream.poll(cx)) {
            None => {
                self.finish();
                Poll::Ready(None)
            }
            Some(Err(error)) => Poll::Ready(Some(Err(error))),
            Some(Ok(data)) => {
                self.stream.buffer_for_replay(&data);
                self.position += data.len();
                if self.stream.complete.get() {
                    self.finish();
                } else {
                    // Until hyper asks for more, the delay is not the client's fault.
                    self.stream.set_suspended(true);
                }
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
        }
    }

    fn has_ended(&self) -> bool {
        self.is_finished
    }

    fn length(&self) -> Option<u64> {
        self.stream.length
    }
}

/// A server's body on its way to a client.
pub struct Download {
    body: Incoming,
    /// What was received before streaming began.
    received: Option<Bytes>,
    length: Option<u64>,
    /// Called when the whole body has been received; decides what happens to the connection.
    on_complete: Option<Box<dyn FnOnce()>>,
    end_sender: Option<oneshot::Sender<Ending>>,
    stall_timer: Pin<Box<Sleep>>,
}

impl Download {
    /// Creates a download. `on_complete` is called when the whole body has been received. `end_sender`
    /// receives how the body ended, at the latest when the download is dropped.
    pub fn new(
        body: Incoming,
        received: BodyBuffer,
        length: Option<u64>,
        on_complete: impl FnOnce() + 'static,
        end_sender: oneshot::Sender<Ending>,
    ) -> Self {
        let received = Some(received).filter(|received| !received.is_empty()).map(BodyBuffer::into_bytes);
        let stall_timer = Box::pin(sleep(RESPONSE_STALL_TIMEOUT));
        Self {
            body,
            received,
            length,
            on_complete: Some(Box::new(on_complete)),
            end_sender: Some(end_sender),
            stall_timer,
        }
    }

    fn finish(&mut self, ending: Ending) {
        if let Some(end_sender) = self.end_sender.take() {
            // The connection to the server is released first: nothing of the attempt is in flight after its
            // end.
            match (self.on_complete.take(), ending) {
                (Some(on_complete), Ending::Served) => on_complete(),
                (on_complete, _) => drop(on_complete),
            }
            let _ = end_sender.send(ending);
        }
    }
}

impl BodyStream for Download {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        if let Some(data) = self.received.take() {
            if self.body.is_end_stream() {
                self.finish(Ending::Served);
            }
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        loop {
            match Pin::new(&mut self.body).poll_frame(cx) {
                Poll::Pending => {
                    ready!(self.stall_timer.as_mut().poll(cx));
                    if let Some(new_deadline) = catch_up_deadline(self.stall_timer.deadline()) {
                        self.stall_timer.as_mut().reset(new_deadline);
                        continue;
                    }
                    self.finish(Ending::Reset);
                    return Poll::Ready(Some(Err(io::Error::from(io::ErrorKind::TimedOut).into())));
                }
                Poll::Ready(None) => {
                    self.finish(Ending::Served);
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Err(error))) => {
                    self.finish(Ending::Reset);
                    return Poll::Ready(Some(Err(error.into())));
                }
                Poll::Ready(Some(Ok(frame))) => {
                    self.stall_timer.as_mut().reset(Instant::now() + RESPONSE_STALL_TIMEOUT);
                    if let Ok(data) = frame.into_data() {
                        if self.body.is_end_stream() {
                            self.finish(Ending::Served);
                        }
                        // A frame that waits to be written would keep a whole read buffer of hyper's alive.
                        return Poll::Ready(Some(Ok(Frame::data(Bytes::copy_from_slice(&data)))));
                    }
                }
            }
        }
    }

    fn has_ended(&self) -> bool {
        self.end_sender.is_none()
    }

    fn length(&self) -> Option<u64> {
        self.length
    }
}

impl Drop for Download {
    fn drop(&mut self) {
        self.finish(Ending::Cancelled);
    }
}
