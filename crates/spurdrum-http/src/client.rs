//! One client's socket: what comes and goes on it, and the answers that are written to it.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use hyper::body::{Body, Frame, SizeHint};
use spurdrum_admission::Event;
use spurdrum_core::{ConnectionPermit, InflightRequest, NodeMetrics, RequestResult};
use spurdrum_tcp_info::since_last_data;
use tokio::io::{Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant};

use crate::chunks::Chunks;
use crate::socket;
use crate::stream::{self, ResponseBody};

/// Fields of a head, as hyper limits them.
pub const FIELDS_MOST: usize = 100;

/// So much is read behind a request that waits for its answer, to see whether its client is still there.
const UNASKED_MOST: usize = 16 * 1024;
/// In pieces of this size.
const READ_AT_ONCE: usize = 4 * 1024;
/// Where more has come than that, the event loop is asked this often whether the client has left.
const LOOK: Duration = Duration::from_millis(25);
/// The system may tell data to be older than it is by as much.
const SYSTEM_TICK: Duration = Duration::from_millis(10);

/// A client's socket, with what hyper has read of the head that is coming. hyper drops fields that contradict
/// others before a request is seen, so the head is looked at as it came.
pub struct Socket {
    /// The socket itself.
    pub stream: TcpStream,
    /// Its place among the connections.
    pub seat: Rc<ConnectionPermit>,
    /// What of the last body is still to come.
    body: Cell<Left>,
    ahead: RefCell<Vec<u8>>,
    /// What has been read of the socket that hyper has not asked for yet.
    unasked: RefCell<BytesMut>,
    /// How long the last bytes that were read had lain in the socket.
    unread_for: Cell<Duration>,
    /// A request that is to be served by another process, as it is to read it.
    given_back: RefCell<Option<Vec<u8>>>,
    /// Whether a request has been taken whose answer is not there yet.
    pub owes: Cell<bool>,
    /// Whether an answer has been begun and not all written.
    answering: Cell<bool>,
    /// Whether hyper has all of the answer.
    given: Cell<bool>,
}

/// What of a body is still to come.
#[derive(Clone, Copy)]
enum Left {
    Length(u64),
    Chunks(Chunks),
}

/// What a head says of its body.
pub enum Framing {
    /// So many bytes.
    Length(u64),
    /// Chunks.
    Chunked,
    /// It contradicts itself.
    Unsound,
}

impl Socket {
    /// Nothing has come yet.
    pub fn new(stream: TcpStream, seat: Rc<ConnectionPermit>) -> Self {
        Self {
            stream,
            seat,
            body: Cell::new(Left::Length(0)),
            ahead: RefCell::default(),
            unasked: RefCell::default(),
            unread_for: Cell::default(),
            given_back: RefCell::default(),
            owes: Cell::new(false),
            answering: Cell::new(false),
            given: Cell::new(false),
        }
    }

    /// These bytes have been read from it already.
    pub fn with_read(self, read: Vec<u8>) -> Self {
        Self { unasked: RefCell::new(BytesMut::from(&read[..])), ..self }
    }

    /// The present request is not answered here: these bytes say the same. Its connection is to be passed on.
    pub fn give_back(&self, request: Vec<u8>) {
        self.given_back.replace(Some(request));
        self.seat.command_ready.notify_one();
    }

    /// Whether the present request has been given back.
    pub fn has_given_back(&self) -> bool {
        self.given_back.borrow().is_some()
    }

    /// What another process is to read before the socket itself: a request that was given back, and what came behind it.
    pub fn take_read(&self) -> Vec<u8> {
        let mut read = self.given_back.take().unwrap_or_default();
        read.append(&mut self.ahead.borrow_mut());
        read.extend_from_slice(&self.unasked.take());
        read
    }

    /// Whether bytes beyond the present request have been read.
    pub fn has_ahead(&self) -> bool {
        !self.ahead.borrow().is_empty() || !self.unasked.borrow().is_empty()
    }

    /// How long what came last had lain in the socket before it was read: its client's time ran meanwhile.
    pub fn unread_for(&self) -> Duration {
        self.unread_for.get()
    }

    /// Waits until the client has closed its side of the connection, or reset it, while it is owed an answer. hyper sees that
    /// itself as long as it reads; once it holds a part of the next request it reads no more before the answer, and what the
    /// socket holds is read here instead, for hyper to have later. For the task that drives hyper alone.
    pub async fn departed(&self) {
        loop {
            poll_fn(|cx| self.poll_departed(cx)).await;
            if self.unasked.borrow().len() < UNASKED_MOST {
                return;
            }
            // Too much comes for all of it to be held: the event loop alone can tell of what is behind that.
            let ready = self.stream.ready(Interest::READABLE).await;
            if ready.map_or(true, |ready| ready.is_read_closed()) {
                return;
            }
            sleep(LOOK).await;
        }
    }

    /// Ready also where as much is held as may be.
    fn poll_departed(&self, cx: &mut Context<'_>) -> Poll<()> {
        while self.owes.get() && self.is_whole() && !self.ahead.borrow().is_empty() {
            let mut unasked = self.unasked.borrow_mut();
            if unasked.len() >= UNASKED_MOST {
                return Poll::Ready(());
            }
            if ready!(self.stream.poll_read_ready(cx)).is_err() {
                return Poll::Ready(());
            }
            let room = UNASKED_MOST - unasked.len();
            unasked.reserve(room.min(READ_AT_ONCE));
            match self.stream.try_read_buf(&mut (&mut *unasked).limit(room)) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Ok(n) if n > 0 => {}
                _ => return Poll::Ready(()),
            }
        }
        Poll::Pending
    }

    /// Whether the client has closed its side, or reset the connection, and nothing is unread before that.
    pub fn is_closed(&self) -> bool {
        socket::is_closed(&self.stream)
    }

    /// Whether anything has come that is not part of the present request.
    pub fn has_input(&self) -> bool {
        self.has_ahead() || socket::has_input(&self.stream)
    }

    /// Takes the head of the request that hyper has just read off what came.
    /// Guards against a second request hidden in what others would take for the body of this one.
    pub fn take_head(&self) -> Framing {
        let mut ahead = std::mem::take(&mut *self.ahead.borrow_mut());
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
        let left = match framing {
            Framing::Length(length) => Left::Length(length),
            Framing::Chunked => Left::Chunks(Chunks::default()),
            Framing::Unsound => return framing,
        };
        ahead.drain(..end);
        self.body.set(left);
        self.split(&ahead);
        framing
    }

    /// Puts what has come where it belongs: to the present body, or ahead of the next request.
    fn split(&self, bytes: &[u8]) {
        let mut left = self.body.get();
        let body = match &mut left {
            Left::Length(left) => {
                let body = (bytes.len() as u64).min(*left);
                *left -= body;
                body as usize
            }
            Left::Chunks(chunks) => chunks.take(bytes),
        };
        self.body.set(left);
        self.ahead.borrow_mut().extend_from_slice(&bytes[body..]);
    }

    /// Whether all of the present request has come: what comes next is another's head.
    pub fn is_whole(&self) -> bool {
        match self.body.get() {
            Left::Length(left) => left == 0,
            Left::Chunks(chunks) => chunks.is_done(),
        }
    }

    /// An answer is with hyper now. A long one's end is told to `tally`.
    pub fn begin_answer(self: &Rc<Self>, body: ResponseBody, tally: Option<Tally>) -> Answering {
        self.answering.set(true);
        self.given.set(body.is_end_stream());
        Answering { body, socket: Rc::clone(self), tally, waits: false }
    }
}

impl socket::Socket for Socket {
    fn stream(&self) -> &TcpStream {
        &self.stream
    }

    fn take_kept(&self, buf: &mut ReadBuf<'_>) -> bool {
        let mut unasked = self.unasked.borrow_mut();
        let bytes = unasked.len().min(buf.remaining());
        if bytes > 0 {
            // It was read as it came, or by another process that has told what is left of its client's time.
            self.unread_for.set(Duration::ZERO);
        }
        buf.put_slice(&unasked[..bytes]);
        unasked.advance(bytes);
        if unasked.is_empty() {
            // Its memory goes with it.
            *unasked = BytesMut::new();
        }
        bytes > 0
    }

    fn was_read(&self) {
        // Where the system does not tell, it counts as read at once.
        let unread_for = since_last_data(&self.stream).unwrap_or_default();
        self.unread_for.set(unread_for.saturating_sub(SYSTEM_TICK));
    }

    fn came(&self, bytes: &[u8]) {
        self.split(bytes);
        self.seat.handle_event(Event::Received { id: self.seat.id, bytes: bytes.len() as u64 });
    }

    fn went(&self, bytes: usize) {
        if self.answering.get() {
            self.seat.handle_event(Event::ResponseProgress { id: self.seat.id, bytes: bytes as u64 });
        }
    }

    fn flushed(&self) {
        if self.answering.get() && self.given.get() {
            self.answering.set(false);
            self.seat.handle_event(Event::ResponseWritten { id: self.seat.id });
            let ahead = self.ahead.borrow().len() as u64;
            if ahead > 0 {
                self.seat.handle_event(Event::Received { id: self.seat.id, bytes: ahead });
            }
        }
    }
}

/// A long answer that is on its way, as it is counted.
pub struct Tally {
    /// Where it is counted.
    pub figures: Rc<NodeMetrics>,
    /// Under this class.
    pub class: Option<String>,
    /// It counts as open until then.
    pub open: Option<InflightRequest>,
    /// When its request's head had come.
    pub came: Instant,
}

impl Tally {
    fn end(self, fate: RequestResult) {
        if let Some(class) = &self.class {
            self.figures.record_result(class, fate);
            self.figures.record_latency(class, self.came);
        }
        drop(self.open);
    }
}

/// An answer's body, which tells when hyper has taken all of it.
pub struct Answering {
    body: ResponseBody,
    socket: Rc<Socket>,
    tally: Option<Tally>,
    /// Whether its source has nothing.
    waits: bool,
}

impl Answering {
    fn wait(&mut self, suspended: bool) {
        if self.tally.is_some() && self.waits != suspended {
            self.waits = suspended;
            self.socket.seat.handle_event(Event::TransferSuspended { id: self.socket.seat.id, suspended });
        }
    }
}

impl Body for Answering {
    type Data = Bytes;
    type Error = stream::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        self.wait(frame.is_pending());
        let fate = match &frame {
            Poll::Ready(None) => Some(RequestResult::Success),
            Poll::Ready(Some(Ok(_))) if self.body.is_end_stream() => Some(RequestResult::Success),
            Poll::Ready(Some(Err(_))) => Some(RequestResult::Failure),
            _ => None,
        };
        if let (Some(fate), Some(tally)) = (fate, self.tally.take_if(|_| fate.is_some())) {
            tally.end(fate);
        }
        self.socket.given.set(self.body.is_end_stream());
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for Answering {
    fn drop(&mut self) {
        // Its client has left.
        if let Some(tally) = self.tally.take() {
            tally.end(RequestResult::Failure);
        }
    }
}
