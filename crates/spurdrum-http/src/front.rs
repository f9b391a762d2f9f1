//! Clients: their connections, what they ask, and the answers they get.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::fs::File;
use std::future::{poll_fn, Future};
use std::io::{self, Read, Write};
use std::net::{IpAddr, Shutdown};
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderValue, CONNECTION, HOST, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use spurdrum_admission::{Event, Reason, State, Verdict};
use spurdrum_core::{is_starved, Answer, Fate, NotTaken, Open, Order, Seat};
use spurdrum_policy::{Effect, RequestId};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::task::yield_now;
use tokio::time::{sleep, sleep_until, Instant};

use crate::client::{Framing, Socket, Tally, FIELDS_MOST};
use crate::keys::Keys;
use crate::shutdown::{self, Remaining, Step, Succession};
use crate::socket::Io;
use crate::stream::{joined, Answered, Deadline, Listener, Source};
use crate::upstream::{Carried, Forward, Upstream, BODY_MOST, BUFFER};

/// Taken off a client's time: its request and the answer are under way for a part of that.
const MARGIN: Duration = Duration::from_millis(10);
/// The longest time that a client may say it will wait.
const WAIT_MOST: Duration = Duration::from_secs(3600);
/// With no descriptors to be had, accepting rests for so long, twice as long each time, up to the second.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(160));
/// And so many that wait are answered each time.
const TURN_AWAY_MOST: usize = 64;
/// So much is thrown away of what comes on a connection that has been half-closed: the rest of a long body, for a while.
const DISCARD_MOST: usize = 64 << 20;
/// What has come on a socket is with hyper after this time.
const MOMENT: Duration = Duration::from_millis(5);
/// What a request or an answer that passes through is counted with: the buffers of both sides, by `spurdrum-bench streams`.
const LONG_HOLDS: u64 = 3 * BODY_MOST as u64;
/// A head may be this long; many may be half sent at once.
const HEAD_MOST: usize = 16 * 1024;
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

type Node = spurdrum_core::Node<Upstream>;

/// Names in the order of the settings, whose indices the decisions use.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Classes of requests.
    pub classes: Vec<String>,
    /// Tenants; there may be none.
    pub tenants: Vec<String>,
}

/// The names as they are now: the program replaces them when it is given other settings.
pub type SharedNames = Rc<RefCell<Rc<Names>>>;

/// The process that takes over from this one, where there is one.
pub trait Successor {
    /// Whether there is one.
    fn succession(&self) -> Succession;

    /// Takes a connection that rests between two requests.
    ///
    /// # Errors
    ///
    /// The connection, where it cannot.
    fn take(&self, connection: std::net::TcpStream) -> Result<(), std::net::TcpStream>;

    /// Whether it has been sent all that it was to take.
    fn has_all(&self) -> bool;
}

/// Where the connections come from that another process passes on.
pub type Passed = mpsc::UnboundedReceiver<std::net::TcpStream>;

/// Clients' connections.
pub struct Front {
    node: Rc<Node>,
    names: SharedNames,
    /// How keys are made, where that is on.
    keys: Option<Rc<Keys>>,
    /// What `/_health` says beside its own.
    status: Box<dyn Fn() -> String>,
    ending: Cell<bool>,
    /// Set when the process ends in a moment, and raised then for those that wait for an answer.
    last_call: Cell<bool>,
    called: Notify,
    successor: Option<Rc<dyn Successor>>,
    /// Held so that a connection can be answered, and not left waiting, when the system has no more descriptors.
    reserve: RefCell<Option<File>>,
    backoff: Cell<Duration>,
}

impl Front {
    /// A front of this node, whose requests use these names. `status` is shown with `/_health`.
    pub fn new(node: Rc<Node>, names: SharedNames, status: impl Fn() -> String + 'static) -> Self {
        Self {
            node,
            names,
            keys: None,
            status: Box::new(status),
            ending: Cell::new(false),
            last_call: Cell::new(false),
            called: Notify::new(),
            successor: None,
            reserve: RefCell::new(spare_descriptor()),
            backoff: Cell::new(BACKOFF.0),
        }
    }

    /// Another process may take over.
    #[must_use]
    pub fn with_successor(self, successor: Option<Rc<dyn Successor>>) -> Self {
        Self { successor, ..self }
    }

    fn succession(&self) -> Succession {
        self.successor.as_ref().map_or(Succession::None, |successor| successor.succession())
    }

    fn is_succeeded(&self) -> bool {
        self.succession() == Succession::Confirmed
    }

    /// Nothing more is taken, and what is owed an answer gets its last one.
    fn call_last(&self) {
        self.last_call.set(true);
        self.called.notify_waiters();
        self.node.connections.tell(Event::LastCall);
    }

    /// Waits for the last call.
    async fn last_called(&self) {
        let called = self.called.notified();
        if !self.last_call.get() {
            called.await;
        }
    }

    /// Requests have keys.
    #[must_use]
    pub fn with_keys(self, keys: Option<Rc<Keys>>) -> Self {
        Self { keys, ..self }
    }
}

/// Serves clients until `stop` is done and all that was taken is answered. What another process passes on is served as if
/// it had been accepted here.
pub async fn run(front: Front, listener: TcpListener, mut passed: Passed, stop: impl Future<Output = ()>) {
    let front = Rc::new(front);
    let mut stop = pin!(stop);
    loop {
        tokio::select! {
            biased;
            () = &mut stop => break,
            Some(connection) = passed.recv() => admit_passed(&front, connection),
            () = accept(&front, &listener) => {}
        }
    }
    end(&front, &listener, passed).await;
}

/// Ends: hands over to the process that takes over, or answers what it has taken and closes.
async fn end(front: &Rc<Front>, listener: &TcpListener, mut passed: Passed) {
    front.ending.set(true);
    let node = &front.node;
    let longest = node.settings().classes.iter().map(|class| class.deadline_ms).fold(0.0, f64::max);
    let longest = Duration::from_secs_f64(longest / 1000.0);
    tracing::info!("told to end with {} connections and {} requests", node.connections.open(), node.held());
    let mut shutdown = shutdown::Shutdown::new(Instant::now(), longest);
    let mut steps = Vec::new();
    loop {
        let now = Instant::now();
        shutdown.look(now, remaining(front, &passed), &mut steps);
        for step in steps.drain(..) {
            match step {
                Step::HandOver => {
                    tracing::info!("the end: connections are handed over to the other process");
                    node.connections.tell(Event::Passing);
                }
                Step::Close => {
                    tracing::info!("the end: no other process takes over, so answers end their connections");
                    node.connections.tell(Event::NotPassing);
                    node.connections.tell(Event::Ending);
                }
                Step::CloseIdle => {
                    node.connections.tell(Event::NoneComes);
                }
                Step::LastCall => {
                    tracing::info!("the end: last answers for {} requests", node.held());
                    front.call_last();
                }
                Step::End => return,
            }
        }
        tokio::select! {
            Some(connection) = passed.recv() => pass_on(front, connection),
            () = accept(front, listener), if shutdown.accepts() => shutdown.accepted(Instant::now()),
            () = sleep_until(shutdown.next_look(now)) => {}
        }
    }
}

/// What keeps a process that has been told to end.
fn remaining(front: &Front, passed: &Passed) -> Remaining {
    let none_is_passed_here = passed.is_closed() && passed.is_empty();
    Remaining {
        succession: front.succession(),
        idle: front.node.connections.open() == 0 && front.node.held() == 0,
        handed_over: none_is_passed_here && front.successor.iter().all(|successor| successor.has_all()),
    }
}

/// A connection that the process before this one has passed on goes straight to the next, where there is one by now.
fn pass_on(front: &Rc<Front>, connection: std::net::TcpStream) {
    let rest = match &front.successor {
        Some(successor) if front.is_succeeded() => successor.take(connection),
        _ => Err(connection),
    };
    if let Err(connection) = rest {
        admit_passed(front, connection);
    }
}

fn spare_descriptor() -> Option<File> {
    File::open("/dev/null").ok()
}

/// Takes the next connection, unless another process is there to take it.
async fn accept(front: &Rc<Front>, listener: &TcpListener) {
    // Guards against a connection that is taken when this process has given up its part of the descriptors: it would be refused.
    let next = poll_fn(|cx| match front.is_succeeded() {
        true => Poll::Pending,
        false => listener.poll_accept(cx),
    });
    match next.await {
        Ok((stream, peer)) => {
            front.backoff.set(BACKOFF.0);
            admit(front, stream, peer.ip());
            // Guards against a burst that finds no place because those who make room have had no turn.
            if front.node.connections.is_closing() {
                yield_now().await;
            }
        }
        Err(error) if is_starved(&error) => {
            turn_away_some(front, listener).await;
            // Guards against a busy loop: the listener stays readable while nothing can be accepted.
            sleep(front.backoff.get()).await;
            front.backoff.set((front.backoff.get() * 2).min(BACKOFF.1));
        }
        // The client has left already, or the network failed it.
        Err(_) => yield_now().await,
    }
}

fn admit_passed(front: &Rc<Front>, connection: std::net::TcpStream) {
    let peer = connection.peer_addr().map(|peer| peer.ip());
    // It fails where the client has left meanwhile.
    if let (Ok(peer), Ok(())) = (peer, connection.set_nonblocking(true)) {
        if let Ok(stream) = TcpStream::from_std(connection) {
            admit(front, stream, peer);
        }
    }
}

fn admit(front: &Rc<Front>, stream: TcpStream, peer: IpAddr) {
    if front.last_call.get() {
        return turn_away(front, stream);
    }
    match front.node.connections.accept(peer) {
        Some(seat) => {
            tokio::task::spawn_local(connection(Rc::clone(front), seat, stream));
        }
        // Guards against waiting in vain: who is turned away at once can turn to another node.
        None => turn_away(front, stream),
    }
}

/// With no descriptor left, room is made, and those that wait are answered one by one on the reserve's place.
async fn turn_away_some(front: &Rc<Front>, listener: &TcpListener) {
    front.node.connections.tell(Event::Starved);
    for _ in 0..TURN_AWAY_MOST {
        drop(front.reserve.borrow_mut().take());
        let next = poll_fn(|cx| Poll::Ready(listener.poll_accept(cx))).await;
        let came = match next {
            Poll::Ready(Ok((stream, _))) => {
                turn_away(front, stream);
                true
            }
            _ => false,
        };
        front.reserve.replace(spare_descriptor());
        if !came {
            break;
        }
    }
}

/// Ends a connection that there is no place for; where its request has come, with a refusal.
/// Guards against the loss of a request that was written before its connection could be refused.
fn turn_away(front: &Front, stream: TcpStream) {
    // The event loop has not looked at this socket yet, so it is read as it is.
    let Ok(mut stream) = stream.into_std() else { return };
    let mut read = [0; 4096];
    let mut came = 0;
    let mut class = None;
    // What is unread when a socket closes destroys the answer on its way.
    while let Ok(n) = stream.read(&mut read) {
        class = class.or_else(|| class_of(&read[..n]));
        came += n;
        if n == 0 || came > DISCARD_MOST {
            break;
        }
    }
    if came > 0 {
        // It fails where the client has left.
        let _ = stream.write(refusal_text(front.node.connections.retry_after_ms()).as_bytes());
        let _ = stream.shutdown(Shutdown::Write);
        if let Some(class) = class {
            front.node.figures.ended(&class, Fate::Busy);
        }
    }
}

/// The class that a request's head names, where all of the head has come.
fn class_of(came: &[u8]) -> Option<String> {
    let mut fields = [httparse::EMPTY_HEADER; FIELDS_MOST];
    let mut head = httparse::Request::new(&mut fields);
    let whole = head.parse(came).is_ok_and(|parsed| parsed.is_complete());
    let field = head.headers.iter().find(|field| whole && field.name.eq_ignore_ascii_case("x-class"))?;
    std::str::from_utf8(field.value).ok().map(|class| class.trim().to_owned())
}

/// What is written where hyper has no request to answer.
fn refusal_text(retry_after_ms: Option<f64>) -> String {
    let after = retry_after_ms.map(|ms| format!("retry-after: {:.3}\r\n", ms / 1000.0)).unwrap_or_default();
    format!(
        "HTTP/1.1 503 Service Unavailable\r\n{after}connection: close\r\ncontent-length: 8\r\n\r\nrefused\n"
    )
}

const TOO_SLOW: &str =
    "HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 9\r\n\r\ntoo slow\n";

/// How the serving of a connection ended.
#[derive(Clone, Copy)]
enum End {
    /// The client or hyper has ended it.
    Over,
    /// The answer said that it is the last.
    Last,
    /// It is to be closed.
    Close,
    /// It rests, and another process takes over.
    Pass,
    /// What is half sent is to be answered first.
    Expire(Reason),
    /// Nothing more is owed.
    Abort(Reason),
}

async fn connection(front: Rc<Front>, seat: Rc<Seat>, stream: TcpStream) {
    // Guards against answers that the system holds for clients that never read them.
    let unread = front.node.connections.unread_most;
    if stream.set_nodelay(true).is_err() || SockRef::from(&stream).set_tcp_user_timeout(Some(unread)).is_err()
    {
        return;
    }
    let socket = Rc::new(Socket::new(stream, Rc::clone(&seat)));
    let end = serve(&front, &seat, &socket).await;
    let socket = match (end, &front.successor) {
        (End::Pass, Some(successor)) => match pass(&**successor, socket) {
            Ok(()) => return,
            Err(socket) => socket,
        },
        _ => socket,
    };
    let text = match end {
        End::Over => return,
        End::Abort(reason) => {
            if reason == Reason::SlowRead {
                // Guards against an answer that nobody reads but the system goes on holding.
                let _ = SockRef::from(&socket.stream).set_linger(Some(Duration::ZERO));
            }
            return;
        }
        End::Last | End::Close | End::Pass => None,
        End::Expire(Reason::SlowHead) => Some(TOO_SLOW.to_owned()),
        End::Expire(_) => Some(refusal_text(front.node.connections.retry_after_ms())),
    };
    if let Some(text) = text {
        let _ = socket.stream.try_write(text.as_bytes());
    }
    if SockRef::from(&socket.stream).shutdown(Shutdown::Write).is_err() {
        return;
    }
    seat.tell(Event::HalfClosed { id: seat.id });
    // Guards against a reset that destroys the last answer on its way: what still comes is read, and thrown
    // away, until the client has ended too. The decisions bound how long.
    let mut read = [0; 4096];
    let mut most = DISCARD_MOST;
    loop {
        tokio::select! {
            () = seat.ordered.notified() => {
                if matches!(seat.take_order(), Some(Order::Abort(_))) {
                    return;
                }
            }
            ready = socket.stream.readable() => {
                if ready.is_err() {
                    return;
                }
                match socket.stream.try_read(&mut read) {
                    Ok(n) if n > 0 && n < most => most -= n,
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    _ => return,
                }
            }
        }
    }
}

/// Lets another process have a connection that nothing has been read of since its last answer.
fn pass(successor: &dyn Successor, socket: Rc<Socket>) -> Result<(), Rc<Socket>> {
    let Socket { stream, seat, .. } = Rc::try_unwrap(socket)?;
    // It fails where the event loop has trouble with it: then it is over.
    let Ok(connection) = stream.into_std() else { return Ok(()) };
    match successor.take(connection) {
        Ok(()) => Ok(()),
        Err(connection) => match TcpStream::from_std(connection) {
            Ok(stream) => Err(Rc::new(Socket::new(stream, seat))),
            Err(_) => Ok(()),
        },
    }
}

async fn serve(front: &Rc<Front>, seat: &Rc<Seat>, socket: &Rc<Socket>) -> End {
    let service = service_fn(|request: Request<Incoming>| {
        let framing = socket.take_head();
        let came = Instant::now();
        async move {
            // Where the next head begins is known only where the body's end is.
            let mut ends = matches!(framing, Framing::Unsound);
            let class = request.headers().get("x-class").filter(|_| request.uri().path() == "/api").cloned();
            let mut open = None;
            let mut response = match framing {
                Framing::Unsound => plain(StatusCode::BAD_REQUEST, "the length is unclear\n"),
                Framing::Length(length) => {
                    answer(front, socket, request, Some(length), (&mut ends, &mut open)).await
                }
                Framing::Chunked => answer(front, socket, request, None, (&mut ends, &mut open)).await,
            };
            ends |= !socket.is_whole();
            let class = class.as_ref().and_then(|class| class.to_str().ok());
            let (id, mut bytes) = (seat.id, response.body().size_hint().exact().unwrap_or(0));
            let tally = match response.body() {
                // Its end counts.
                Answered::Through(_) => {
                    bytes = LONG_HOLDS;
                    let (figures, class) = (Rc::clone(&front.node.figures), class.map(str::to_owned));
                    Some(Tally { figures, class, open: open.take(), came })
                }
                Answered::Whole(_) => {
                    // Who never finished its request has not asked.
                    if let Some(class) = class.filter(|_| open.is_some()) {
                        front.node.figures.ended(class, fate(response.status()));
                        front.node.figures.took(class, came);
                    }
                    None
                }
            };
            let asked = |more| seat.tell(Event::Answer { id, bytes, more });
            let mut last = asked(!ends && socket.has_ahead()) == Verdict::Last;
            // Guards against the loss of a request that has come behind this one: it is answered first.
            if last && !ends && socket.has_input() {
                last = asked(true) == Verdict::Last;
            }
            if last || ends {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            if tally.is_some() {
                seat.tell(Event::Long { id });
            }
            Ok::<_, Infallible>(response.map(|body| socket.begin_answer(body, tally)))
        }
    });
    let served = http1::Builder::new()
        .max_buf_size(BUFFER)
        .max_header_size(HEAD_MOST)
        .serve_connection(TokioIo::new(Io(Rc::clone(socket))), service);
    let mut served = pin!(served);
    // Guards against a reset over the last answer, also where it is the client that wanted no more: what it sent all the same is
    // unread. hyper ends well, too, where a client has closed a connection that rested.
    let ended = |well| if well && !socket.is_closed() { End::Last } else { End::Over };
    loop {
        tokio::select! {
            biased;
            // An error is the client's: it has left, or does not speak HTTP.
            result = served.as_mut() => {
                return ended(result.is_ok());
            }
            () = socket.departed() => return End::Over,
            () = seat.ordered.notified() => {}
        }
        let Some(order) = seat.take_order() else { continue };
        if let Order::Abort(reason) = order {
            return End::Abort(reason);
        }
        // Guards against the loss of a request that has come just now: hyper reads it next.
        if order != Order::Pass && socket.has_input() {
            tokio::select! {
                biased;
                result = served.as_mut() => {
                    return ended(result.is_ok());
                }
                () = sleep(MOMENT) => {}
            }
        }
        match (order, seat.state()) {
            (Order::Pass, Some(State::New | State::Silent | State::Idle))
                if !socket.has_ahead() && front.is_succeeded() =>
            {
                return End::Pass;
            }
            // One that came too late is answered as too late, whether or not more of it has come.
            (Order::Expire(reason), Some(State::Head | State::Closing)) => return End::Expire(reason),
            (Order::Close, Some(State::Closing)) => return End::Close,
            // It has asked after all: that answer will say that it is the last.
            _ => {}
        }
    }
}

async fn answer(
    front: &Front,
    socket: &Socket,
    request: Request<Incoming>,
    length: Option<u64>,
    (ends, open): (&mut bool, &mut Option<Open>),
) -> Response<Answered> {
    let seat = &socket.seat;
    let body = length.map_or(BODY_MOST as u64, |length| length.min(LONG_HOLDS));
    let place = seat.tell(Event::Head { id: seat.id, body });
    match request.uri().path() {
        "/_health" if front.ending.get() => plain(StatusCode::SERVICE_UNAVAILABLE, "ending\n"),
        "/_health" if front.node.is_starting() => {
            plain(StatusCode::SERVICE_UNAVAILABLE, format!("starting\n{}\n", (front.status)()))
        }
        "/_health" => plain(StatusCode::OK, format!("ready\n{}\n", (front.status)())),
        _ if place == Verdict::Refuse || front.last_call.get() => {
            *ends = true;
            *open = Some(front.node.figures.open());
            refusal(front.node.connections.retry_after_ms())
        }
        "/api" => api(front, socket, request, length, (ends, open)).await,
        _ => plain(StatusCode::NOT_FOUND, "no such path\n"),
    }
}

fn plain(status: StatusCode, text: impl Into<Bytes>) -> Response<Answered> {
    let mut response = Response::new(Full::new(text.into()).into());
    *response.status_mut() = status;
    response
}

fn refusal(retry_after_ms: Option<f64>) -> Response<Answered> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused\n");
    if let Some(ms) = retry_after_ms {
        let seconds = format!("{:.3}", ms / 1000.0).parse().expect("digits");
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}

/// What a final answer tells its client.
fn fate(status: StatusCode) -> Fate {
    match status {
        StatusCode::OK => Fate::Success,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => Fate::Busy,
        _ => Fate::Failure,
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
    seat: Rc<Seat>,
    node: Rc<Node>,
    id: RequestId,
    deadline: Rc<Deadline>,
    whole: Cell<bool>,
}

impl Listener for Rc<Coming> {
    fn waits(&self, waits: bool) {
        self.seat.tell(Event::Waits { id: self.seat.id, waits });
    }

    fn spent(&self) {
        self.node.spent(self.id);
    }

    fn whole(&self) {
        self.deadline.begin();
        self.whole.set(true);
        self.seat.reading_body.set(false);
        self.seat.tell(Event::Taken { id: self.seat.id });
    }
}

async fn api(
    front: &Front,
    socket: &Socket,
    request: Request<Incoming>,
    length: Option<u64>,
    (ends, open): (&mut bool, &mut Option<Open>),
) -> Response<Answered> {
    let (node, seat) = (&front.node, &socket.seat);
    let (head, body) = request.into_parts();
    let names = Rc::clone(&front.names.borrow());
    let mut asked = read_head(front, &head.method, &head.headers);
    seat.reading_body.set(true);
    let body = tokio::select! {
        biased;
        body = read_body(body, length) => Ok(body),
        reason = seat.body_expired() => Err(reason),
    };
    let body = match body {
        Ok(Ok(body)) => body,
        Ok(Err(status)) => {
            seat.reading_body.set(false);
            *ends = true;
            return plain(status, "the body is broken\n");
        }
        Err(reason) => {
            seat.reading_body.set(false);
            *ends = true;
            return expired(node, reason);
        }
    };
    *open = Some(node.figures.open());
    let long = matches!(body, Came::Long(..));
    if long {
        seat.tell(Event::Long { id: seat.id });
    } else {
        seat.reading_body.set(false);
        // It may have had its time just as it was whole: that counts.
        seat.take_order();
        seat.tell(Event::Taken { id: seat.id });
    }
    if !Rc::ptr_eq(&names, &front.names.borrow()) {
        // Other settings hold by now: a request has those under which it is taken.
        asked = read_head(front, &head.method, &head.headers);
    }
    let bodied = long || matches!(&body, Came::Whole(bytes) if !bytes.is_empty());
    let asked = asked.and_then(|asked| match head.method == Method::GET && bodied {
        true => Err("GET has no body\n"),
        false => Ok(asked),
    });
    let (wait, mut asked) = match asked {
        Ok(asked) => asked,
        Err(why) => {
            *ends |= long;
            return plain(StatusCode::BAD_REQUEST, why);
        }
    };
    let wait = wait.saturating_sub(MARGIN).max(wait / 2);
    // A whole URL names the host that is meant; servers get the short form.
    let keyed = front
        .keys
        .as_ref()
        .map(|keys| keys.of((&head.headers, &head.uri), (asked.class, asked.tenant), seat.peer));
    let (ask, naming) = keyed.unwrap_or_default();
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
    if let Some(keys) = &front.keys {
        for name in keys.fields() {
            if let Some(value) = head.headers.get(name) {
                headers.insert(name, value.clone());
            }
        }
    }
    if let Some(host) = authority {
        headers.insert(HOST, host);
    }
    headers.entry(HOST).or_insert(HeaderValue::from_static("origin"));
    let (body, source, deadline) = match body {
        Came::Whole(bytes) => (Carried::Whole(bytes), None, Deadline::at(Instant::now() + wait)),
        Came::Long(came, rest) => {
            let source = Rc::new(Source::new(rest, length, came, BODY_MOST));
            (Carried::Through(Rc::clone(&source)), Some(source), Deadline::after(wait))
        }
    };
    let deadline = Rc::new(deadline);
    // How long a long body takes to come is not known, and not the servers' affair.
    asked.budget_ms = if long { WAIT_MOST } else { wait }.as_secs_f64() * 1000.0;
    let forward =
        Forward { method: head.method, uri, headers, body, deadline: Rc::clone(&deadline), ask, naming };
    let (answer, answered) = oneshot::channel();
    let id = match node.take(forward, asked, answer) {
        Ok(id) => id,
        // The settings' bound, not a decision: how long it lasts is not known.
        Err(NotTaken::Full) => return refusal(node.settings().retry_after_most_ms),
        Err(NotTaken::Known) => return plain(StatusCode::CONFLICT, "X-Request-Id is in use\n"),
    };
    socket.owes.set(true);
    let _waiting = Waiting { node: Rc::clone(node), id, owes: &socket.owes };
    let coming = source.map(|source| {
        let (seat, node, whole) = (Rc::clone(seat), Rc::clone(node), Cell::new(false));
        let coming = Rc::new(Coming { seat, node, id, deadline: Rc::clone(&deadline), whole });
        source.listen(Rc::clone(&coming));
        coming
    });
    let comes = || coming.as_ref().is_some_and(|coming| !coming.whole.get());
    let answer = tokio::select! {
        biased;
        answer = answered => answer.unwrap_or(Answer::Failed),
        reason = seat.body_expired(), if comes() => {
            seat.reading_body.set(false);
            *ends = true;
            *open = None;
            return expired(node, reason);
        }
        // Guards against a process that ends before the client's time does: the client may wait longer than the settings say.
        () = front.last_called() => return plain(StatusCode::GATEWAY_TIMEOUT, "the node is ending\n"),
        // Guards against decisions that leave a request without an answer.
        () = deadline.passed(MARGIN / 2) => return plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time\n"),
    };
    seat.reading_body.set(false);
    // What is still to come of the request would be taken for another.
    *ends |= comes();
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
fn expired(node: &Node, reason: Reason) -> Response<Answered> {
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
        repeat: text("x-retry") == Some("1"),
        ..spurdrum_policy::Request::new(RequestId(0), class, 0.0)
    };
    Ok((wait, request))
}

/// A body, or the beginning of a long one.
enum Came {
    Whole(Bytes),
    Long(Vec<Bytes>, Incoming),
}

/// Reads a body that is short enough to be held.
async fn read_body(mut body: Incoming, length: Option<u64>) -> Result<Came, StatusCode> {
    let mut came: Vec<Bytes> = Vec::new();
    let mut bytes = 0;
    while length.is_none_or(|length| length <= BODY_MOST as u64) && bytes <= BODY_MOST {
        let Some(frame) = body.frame().await else {
            return Ok(Came::Whole(joined(came)));
        };
        if let Ok(data) = frame.map_err(|_| StatusCode::BAD_REQUEST)?.into_data() {
            bytes += data.len();
            came.push(data);
        }
    }
    Ok(Came::Long(came, body))
}
