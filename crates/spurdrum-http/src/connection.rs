//! One client's connection: hyper drives it, and what the node decides on connections is carried out on it.

use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::net::Shutdown;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use spurdrum_admission::{Event, Reason, State, Verdict};
use spurdrum_core::{ConnectionCommand, ConnectionPermit, HandedOverConnection};
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant};

use crate::client::{Answering, Framing, Socket, Tally};
use crate::context::{refusal_text, Front, IncomingProcess, DISCARD_MOST};
use crate::request::{answer, fate, plain, Disposition, LONG_HOLDS};
use crate::socket::Io;
use crate::stream::ResponseBody;
use crate::upstream::BUFFER;

/// What has come on a socket is with hyper after this time.
const MOMENT: Duration = Duration::from_millis(5);
/// A head may be this long; many may be half sent at once.
const HEAD_MOST: usize = 16 * 1024;

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
    /// It rests, or its request is to be served by another process, and that takes over.
    Pass,
    /// What is half sent is to be answered first.
    Expire(Reason),
    /// Nothing more is owed.
    Abort(Reason),
}

/// Serves a client's connection of which `read` has been read already, until it has ended or another process has it.
pub(crate) async fn connection(
    front: Rc<Front>,
    seat: Rc<ConnectionPermit>,
    stream: TcpStream,
    read: Vec<u8>,
) {
    // Guards against answers that the system holds for clients that never read them.
    let unread = front.node.connections.max_unread_time;
    if stream.set_nodelay(true).is_err() || SockRef::from(&stream).set_tcp_user_timeout(Some(unread)).is_err()
    {
        return;
    }
    let socket = Rc::new(Socket::new(stream, Rc::clone(&seat)).with_read(read));
    let end = serve(&front, &seat, &socket).await;
    let owes = socket.has_given_back();
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
        // No server has been sent it.
        End::Pass if owes => Some(refusal_text(front.node.connections.retry_after_ms())),
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
    seat.handle_event(Event::HalfClosed { id: seat.id });
    // Guards against a reset that destroys the last answer on its way: what still comes is read, and thrown
    // away, until the client has ended too. The decisions bound how long.
    let mut read = [0; 4096];
    let mut most = DISCARD_MOST;
    loop {
        tokio::select! {
            () = seat.command_ready.notified() => {
                if matches!(seat.take_command(), Some(ConnectionCommand::Abort(_))) {
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

/// Lets another process have a connection, with the request that was given back, if there is one.
fn pass(successor: &dyn IncomingProcess, socket: Rc<Socket>) -> Result<(), Rc<Socket>> {
    let socket = Rc::try_unwrap(socket)?;
    let read = socket.take_read();
    let Socket { stream, seat, .. } = socket;
    // It fails where the event loop has trouble with it: then it is over.
    let Ok(stream) = stream.into_std() else { return Ok(()) };
    match successor.hand_over(HandedOverConnection { stream, read }) {
        Ok(()) => Ok(()),
        Err(connection) => match TcpStream::from_std(connection.stream) {
            Ok(stream) => Err(Rc::new(Socket::new(stream, seat))),
            Err(_) => Ok(()),
        },
    }
}

/// Whether a connection rests between two requests, and nothing of the next one has been read.
fn rests_unread(seat: &ConnectionPermit, socket: &Socket) -> bool {
    matches!(seat.state(), Some(State::New | State::Silent | State::Idle)) && !socket.has_ahead()
}

/// The answer to a request, as it goes out; whether it is the connection's last is decided with it.
async fn respond(
    front: &Rc<Front>,
    socket: &Rc<Socket>,
    request: Request<Incoming>,
    framing: Framing,
) -> Response<Answering> {
    let came = Instant::now();
    let class = request.headers().get("x-class").filter(|_| request.uri().path() == "/api").cloned();
    let class = class.as_ref().and_then(|class| class.to_str().ok());
    let mut disposition = Disposition::default();
    let mut response = match framing {
        Framing::Unsound => {
            disposition.closes = true;
            plain(StatusCode::BAD_REQUEST, "the length is unclear\n")
        }
        Framing::Length(length) => answer(front, socket, request, Some(length), &mut disposition).await,
        Framing::Chunked => answer(front, socket, request, None, &mut disposition).await,
    };
    disposition.closes |= !socket.is_whole();
    let is_long = matches!(response.body(), ResponseBody::Through(_));
    let tally = match is_long {
        // Its end counts.
        true => {
            let (figures, class) = (Rc::clone(&front.node.metrics), class.map(str::to_owned));
            Some(Tally { figures, class, open: disposition.open.take(), came })
        }
        false => {
            // Who never finished its request has not asked.
            if let Some(class) = class.filter(|_| disposition.open.is_some()) {
                front.node.metrics.record_result(class, fate(response.status()));
                front.node.metrics.record_latency(class, came);
            }
            None
        }
    };
    let bytes = if is_long { LONG_HOLDS } else { response.body().size_hint().exact().unwrap_or(0) };
    if is_last(socket, bytes, disposition.closes) {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    if is_long {
        socket.seat.handle_event(Event::Streaming { id: socket.seat.id });
    }
    response.map(|body| socket.begin_answer(body, tally))
}

/// Tells the decisions of an answer of this length. Whether the connection ends with it, as it does where it `closes` in any case.
fn is_last(socket: &Socket, bytes: u64, closes: bool) -> bool {
    let seat = &socket.seat;
    let ends = |pipelined| {
        seat.handle_event(Event::ResponseReady { id: seat.id, bytes, pipelined })
            == Verdict::CloseAfterResponse
    };
    let is_last = ends(!closes && socket.has_ahead());
    // Guards against the loss of a request that has come behind this one: it is answered first.
    if is_last && !closes && socket.has_input() {
        return ends(true);
    }
    is_last || closes
}

/// Has hyper serve a connection, and carries out what is decided on it. How that ended.
async fn serve(front: &Rc<Front>, seat: &Rc<ConnectionPermit>, socket: &Rc<Socket>) -> End {
    let service = service_fn(|request: Request<Incoming>| {
        // What came is looked at before hyper reads on.
        let framing = socket.take_head();
        async move { Ok::<_, Infallible>(respond(front, socket, request, framing).await) }
    });
    let served = http1::Builder::new()
        .max_buf_size(BUFFER)
        .max_header_size(HEAD_MOST)
        .serve_connection(TokioIo::new(Io(Rc::clone(socket))), service);
    let mut served = pin!(served);
    // Guards against a reset over the last answer, also where it is the client that wanted no more: what it sent all the same is
    // unread. hyper ends well, too, where a client has closed a connection that rested.
    let ended = |well| if well && !socket.is_closed() { End::Last } else { End::Over };
    // Guards against a request that this process begins as it ends, though another one is there to serve it: what rests is passed
    // on before hyper reads.
    let can_pass = || socket.has_given_back() || front.is_succeeded() && rests_unread(seat, socket);
    let may_be_passed = || poll_fn(|_| if can_pass() { Poll::Ready(()) } else { Poll::Pending });
    loop {
        tokio::select! {
            biased;
            () = may_be_passed() => return End::Pass,
            // An error is the client's: it has left, or does not speak HTTP.
            result = served.as_mut() => {
                return ended(result.is_ok());
            }
            () = socket.departed() => return End::Over,
            () = seat.command_ready.notified() => {}
        }
        let Some(order) = seat.take_command() else { continue };
        if let ConnectionCommand::Abort(reason) = order {
            return End::Abort(reason);
        }
        // Guards against the loss of a request that has come just now: hyper reads it next.
        if order != ConnectionCommand::HandOver && socket.has_input() {
            tokio::select! {
                biased;
                result = served.as_mut() => {
                    return ended(result.is_ok());
                }
                () = sleep(MOMENT) => {}
            }
        }
        match (order, seat.state()) {
            (ConnectionCommand::HandOver, _) if can_pass() => return End::Pass,
            // One that came too late is answered as too late, whether or not more of it has come.
            (ConnectionCommand::Expire(reason), Some(State::Head | State::Closing)) => {
                return End::Expire(reason)
            }
            (ConnectionCommand::Close, Some(State::Closing)) => return End::Close,
            // It has asked after all: that answer will say that it is the last.
            _ => {}
        }
    }
}
