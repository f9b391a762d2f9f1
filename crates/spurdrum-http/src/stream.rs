//! Bodies that pass through: of a request on its way to a server, of an answer on its way to a client. A frame is read only
//! when the other side has room for it, so what is held does not grow with the length.

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
use tokio::sync::{oneshot, Notify};
use tokio::time::{sleep, sleep_until, Instant, Sleep};

/// A server that gives or takes nothing for so long has broken off.
pub const STALLED: Duration = Duration::from_secs(5);

/// Why a body breaks off.
pub type Error = Box<dyn std::error::Error + Send + Sync>;

/// When a node stops waiting: known only once the last byte of the request has come.
pub struct Deadline {
    wait: Duration,
    at: Cell<Option<Instant>>,
    set: Notify,
}

impl Deadline {
    /// The request has come.
    pub fn at(at: Instant) -> Self {
        Self { wait: Duration::ZERO, at: Cell::new(Some(at)), set: Notify::new() }
    }

    /// The request is still coming; there will be so long after its last byte.
    pub fn after(wait: Duration) -> Self {
        Self { wait, at: Cell::new(None), set: Notify::new() }
    }

    /// The last byte has come.
    pub fn begin(&self) {
        if self.at.get().is_none() {
            self.at.set(Some(Instant::now() + self.wait));
            self.set.notify_waiters();
        }
    }

    /// Time that is left, or that there will be.
    pub fn left(&self) -> Duration {
        self.at.get().map_or(self.wait, |at| at.saturating_duration_since(Instant::now()))
    }

    /// Waits until so long after it.
    pub async fn passed(&self, margin: Duration) {
        loop {
            let set = self.set.notified();
            match self.at.get() {
                Some(at) => return sleep_until(at + margin).await,
                None => set.await,
            }
        }
    }
}

/// Hears of a client's body while it passes through.
pub trait Listener {
    /// The body is read no more for now, as there is no room for it; or it is read again.
    fn waits(&self, waits: bool);

    /// So much is gone that it cannot be sent again.
    fn spent(&self);

    /// All of it has come.
    fn whole(&self);
}

/// A client's body that is too long to be held.
pub struct Source {
    body: RefCell<Incoming>,
    length: Option<u64>,
    /// What has come, while it can be sent again from here.
    held: RefCell<Vec<Bytes>>,
    held_most: usize,
    spent: Cell<bool>,
    whole: Cell<bool>,
    broken: Cell<bool>,
    waits: Cell<bool>,
    listener: RefCell<Option<Box<dyn Listener>>>,
}

impl Source {
    /// This has come of it already, and the rest is to come. Of its beginning, so much may be held.
    pub fn new(body: Incoming, length: Option<u64>, came: Vec<Bytes>, held_most: usize) -> Self {
        Self {
            body: RefCell::new(body),
            length,
            held: RefCell::new(came),
            held_most,
            spent: Cell::new(false),
            whole: Cell::new(false),
            broken: Cell::new(false),
            waits: Cell::new(false),
            listener: RefCell::default(),
        }
    }

    /// Who hears of it.
    pub fn listen(&self, listener: impl Listener + 'static) {
        self.listener.replace(Some(Box::new(listener)));
    }

    /// Whether it cannot be sent again.
    pub fn is_spent(&self) -> bool {
        self.spent.get()
    }

    /// Whether its client broke off.
    pub fn is_broken(&self) -> bool {
        self.broken.get()
    }

    /// Whether there is no room for more of it.
    pub fn waits(&self) -> bool {
        self.waits.get()
    }

    fn tell(&self, what: impl FnOnce(&dyn Listener)) {
        if let Some(listener) = &*self.listener.borrow() {
            what(&**listener);
        }
    }

    fn poll(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Error>>> {
        loop {
            if self.broken.get() {
                return Poll::Ready(Some(Err("its client broke off".into())));
            }
            let frame = ready!(Pin::new(&mut *self.body.borrow_mut()).poll_frame(cx));
            match frame {
                None => {
                    self.come();
                    return Poll::Ready(None);
                }
                Some(Err(error)) => {
                    self.broken.set(true);
                    return Poll::Ready(Some(Err(error.into())));
                }
                // Trailers end with the hop: nobody on either side is told of any.
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        // Where the length is known nobody asks for more after the last byte.
                        if self.body.borrow().is_end_stream() {
                            self.come();
                        }
                        return Poll::Ready(Some(Ok(data)));
                    }
                }
            }
        }
    }

    fn come(&self) {
        if !self.whole.replace(true) {
            self.tell(|listener| listener.whole());
        }
    }

    fn hold(&self, data: &Bytes) {
        if self.spent.get() {
            return;
        }
        let mut held = self.held.borrow_mut();
        if held.iter().map(Bytes::len).sum::<usize>() + data.len() <= self.held_most {
            held.push(data.clone());
        } else {
            held.clear();
            drop(held);
            self.spent.set(true);
            self.tell(|listener| listener.spent());
        }
    }
}

/// What has come of a body, in one piece.
pub fn joined(mut came: Vec<Bytes>) -> Bytes {
    match came.len() {
        1 => came.swap_remove(0),
        _ => came.concat().into(),
    }
}

/// A body that passes through.
pub trait Through: Unpin {
    /// Its next frame.
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Error>>>;

    /// Whether there is no more of it.
    fn has_ended(&self) -> bool;

    /// Its length, where that is known.
    fn length(&self) -> Option<u64>;
}

/// A body that is at hand, or passes through.
pub enum StreamableBody<T> {
    /// All of it is at hand.
    Whole(Full<Bytes>),
    /// It passes through.
    Through(T),
}

/// The body of one attempt.
pub type Outgoing = StreamableBody<Upload>;

/// The body of an answer.
pub type ResponseBody = StreamableBody<Download>;

impl<T> From<Full<Bytes>> for StreamableBody<T> {
    fn from(body: Full<Bytes>) -> Self {
        Self::Whole(body)
    }
}

impl<T: Through> Body for StreamableBody<T> {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        match self.get_mut() {
            Self::Whole(body) => Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            Self::Through(body) => body.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Through(body) => body.has_ended(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Through(body) => body.length().map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}

/// A client's body on its way to a server.
pub struct Upload {
    source: Rc<Source>,
    /// Next of what is held already.
    next: usize,
    /// All has been given to hyper.
    given: Rc<dyn Fn()>,
    ended: bool,
    waits: bool,
}

impl Upload {
    /// From the beginning; `None` where that is gone. `given` is called when hyper has all of it.
    pub fn new(source: &Rc<Source>, given: Rc<dyn Fn()>) -> Option<Self> {
        let source = Rc::clone(source);
        (!source.is_spent()).then_some(Self { source, next: 0, given, ended: false, waits: false })
    }

    fn end(&mut self) {
        if !self.ended {
            self.ended = true;
            (self.given)();
        }
    }

    fn wait(&mut self, waits: bool) {
        if self.waits != waits {
            self.waits = waits;
            self.source.waits.set(waits);
            self.source.tell(|listener| listener.waits(waits));
        }
    }
}

impl Through for Upload {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let held = self.source.held.borrow().get(self.next).cloned();
        if let Some(data) = held {
            self.next += 1;
            if self.source.whole.get() && self.next == self.source.held.borrow().len() {
                self.end();
            }
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        if self.source.whole.get() {
            self.end();
            return Poll::Ready(None);
        }
        self.wait(false);
        match ready!(self.source.poll(cx)) {
            None => {
                self.end();
                Poll::Ready(None)
            }
            Some(Err(error)) => Poll::Ready(Some(Err(error))),
            Some(Ok(data)) => {
                self.source.hold(&data);
                self.next += 1;
                if self.source.whole.get() {
                    self.end();
                } else {
                    // Until more is wanted the client is not to blame.
                    self.wait(true);
                }
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
        }
    }

    fn has_ended(&self) -> bool {
        self.ended
    }

    fn length(&self) -> Option<u64> {
        self.source.length
    }
}

/// A server's body on its way to a client.
pub struct Download {
    body: Incoming,
    /// What had come before it was passed on.
    came: std::vec::IntoIter<Bytes>,
    length: Option<u64>,
    /// What becomes of the connection when all has come.
    done: Option<Box<dyn FnOnce()>>,
    end: Option<oneshot::Sender<Ending>>,
    stall: Pin<Box<Sleep>>,
}

impl Download {
    /// `done` is called when all has come; how it ended is told through `end`, at the latest when it is dropped.
    pub fn new(
        body: Incoming,
        came: Vec<Bytes>,
        length: Option<u64>,
        done: impl FnOnce() + 'static,
        end: oneshot::Sender<Ending>,
    ) -> Self {
        let (came, stall) = (came.into_iter(), Box::pin(sleep(STALLED)));
        Self { body, came, length, done: Some(Box::new(done)), end: Some(end), stall }
    }

    fn end(&mut self, ending: Ending) {
        if let Some(end) = self.end.take() {
            // What it holds of the server's connection goes first: nothing of the attempt is out after its end.
            match (self.done.take(), ending) {
                (Some(done), Ending::Served) => done(),
                (done, _) => drop(done),
            }
            let _ = end.send(ending);
        }
    }
}

impl Through for Download {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        if let Some(data) = self.came.next() {
            if self.came.len() == 0 && self.body.is_end_stream() {
                self.end(Ending::Served);
            }
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        loop {
            match Pin::new(&mut self.body).poll_frame(cx) {
                Poll::Pending => {
                    ready!(self.stall.as_mut().poll(cx));
                    if let Some(again) = catch_up_deadline(self.stall.deadline()) {
                        self.stall.as_mut().reset(again);
                        continue;
                    }
                    self.end(Ending::Reset);
                    return Poll::Ready(Some(Err(io::Error::from(io::ErrorKind::TimedOut).into())));
                }
                Poll::Ready(None) => {
                    self.end(Ending::Served);
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Err(error))) => {
                    self.end(Ending::Reset);
                    return Poll::Ready(Some(Err(error.into())));
                }
                Poll::Ready(Some(Ok(frame))) => {
                    self.stall.as_mut().reset(Instant::now() + STALLED);
                    if let Ok(data) = frame.into_data() {
                        if self.body.is_end_stream() {
                            self.end(Ending::Served);
                        }
                        return Poll::Ready(Some(Ok(Frame::data(data))));
                    }
                }
            }
        }
    }

    fn has_ended(&self) -> bool {
        self.end.is_none()
    }

    fn length(&self) -> Option<u64> {
        self.length
    }
}

impl Drop for Download {
    fn drop(&mut self) {
        self.end(Ending::Cancelled);
    }
}
