//! A client connection: drives hyper and carries out what the node decides about connections.

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
use spurdrum_admission::{Event, HeadSize, Reason, State, Verdict};
use spurdrum_core::{ConnectionCommand, ConnectionPermit, HandedOverConnection};
use spurdrum_tcp_info::unacknowledged_bytes;
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant};

use crate::client::{Framing, ReceivedHead, ResponseRecorder, Socket, TrackedResponseBody};
use crate::context::{refusal_bytes, Front, IncomingProcess, MAX_DISCARDED_BYTES};
use crate::read_progress::sending_time;
use crate::request::{request_result, respond_to_request, text_response, Disposition, STREAMED_MEMORY_BYTES};
use crate::socket::Io;
use crate::stream::ResponseBody;
use crate::upstream::MAX_BUFFER_BYTES;

/// Input that has arrived on a socket has reached hyper after this time.
const READ_GRACE: Duration = Duration::from_millis(5);
/// The longest accepted request head; many heads may be incomplete at the same time.
const MAX_HEAD_BYTES: usize = 16 * 1024;

const HEAD_TIMEOUT_RESPONSE: &str =
    "HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 9\r\n\r\ntoo slow\n";

/// How the serving of a connection ended.
#[derive(Clone, Copy)]
enum End {
    /// The client or hyper has closed it.
    Closed,
    /// The response announced that it was the last.
    AfterLastResponse,
    /// The connection is to be closed.
    Close,
    /// The connection is idle, or its request is to be served by another process, and the incoming process
    /// takes it over.
    HandOver,
    /// The incomplete request is to be answered before the connection closes.
    Expire(Reason),
    /// The connection is to be closed without any response.
    Abort(Reason),
}

/// Serves a client connection from which `read` has already been read, until it has ended or was handed over
/// to another process.
pub(crate) async fn serve_connection(
    front: Rc<Front>,
    permit: Rc<ConnectionPermit>,
    stream: TcpStream,
    read: Vec<u8>,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let socket = Rc::new(Socket::new(stream, Rc::clone(&permit)).with_already_read(read));
    let end = serve(&front, &permit, &socket).await;
    log_end(&front, &permit, end);
    limit_sending(&front, &socket.stream);
    let has_unsent_request = socket.has_handed_over_request();
    let socket = match (end, &front.incoming_process) {
        (End::HandOver, Some(incoming_process)) => match hand_over_connection(&**incoming_process, socket) {
            Ok(()) => return,
            Err(socket) => socket,
        },
        _ => socket,
    };
    let final_bytes = match end {
        End::Closed => return,
        End::Abort(reason) => {
            if reason == Reason::SlowRead {
                // Otherwise the system would keep buffering a response that nobody reads.
                let _ = SockRef::from(&socket.stream).set_linger(Some(Duration::ZERO));
            }
            return;
        }
        // The request has not been sent to any server.
        End::HandOver if has_unsent_request => Some(refusal_bytes(front.node.connections.retry_after_ms())),
        // What has arrived was not read in time, for want of memory.
        End::Close if socket.has_unread_bytes() => {
            Some(refusal_bytes(front.node.connections.retry_after_ms()))
        }
        End::AfterLastResponse | End::Close | End::HandOver => None,
        End::Expire(Reason::SlowHead) => Some(HEAD_TIMEOUT_RESPONSE.to_owned()),
        End::Expire(_) => Some(refusal_bytes(front.node.connections.retry_after_ms())),
    };
    if let Some(final_bytes) = final_bytes {
        let _ = socket.stream.try_write(final_bytes.as_bytes());
    }
    if SockRef::from(&socket.stream).shutdown(Shutdown::Write).is_err() {
        return;
    }
    permit.handle_event(Event::HalfClosed { id: permit.id });
    // Closing now could reset the connection and destroy the last response on its way. Input is read and
    // discarded until the client closes its side as well; connection admission limits for how long.
    let mut buffer = [0; 4096];
    let mut max_remaining = MAX_DISCARDED_BYTES;
    loop {
        tokio::select! {
            () = permit.command_ready.notified() => {
                if matches!(permit.take_command(), Some(ConnectionCommand::Abort(_))) {
                    return;
                }
            }
            ready = socket.stream.readable() => {
                if ready.is_err() {
                    return;
                }
                match socket.stream.try_read(&mut buffer) {
                    Ok(n) if n > 0 && n < max_remaining => max_remaining -= n,
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    _ => return,
                }
            }
        }
    }
}

/// Limits for how long the system goes on sending what is left of a response: otherwise it would keep it for
/// clients that never read.
fn limit_sending(front: &Front, stream: &TcpStream) {
    // Where the system cannot tell how much is left, its own limits apply.
    let Ok(unacknowledged) = unacknowledged_bytes(stream) else { return };
    let read_timeout = front.node.connections.read_timeout;
    let limit = sending_time(unacknowledged, read_timeout.max, read_timeout.min_rate);
    // Fails if the connection has ended.
    let _ = SockRef::from(stream).set_tcp_user_timeout(Some(limit));
}

/// Logs why a connection is ended that its client would have kept.
fn log_end(front: &Front, permit: &ConnectionPermit, end: End) {
    let (what, reason) = match end {
        End::Expire(reason) => ("its half-sent request is answered", reason),
        End::Abort(reason) => ("ended without a response", reason),
        End::Closed | End::AfterLastResponse | End::Close | End::HandOver => return,
    };
    let event_log = &front.node.event_log;
    event_log.write(|| format!("connection {} from {}: {what}: {reason:?}", permit.id.0, permit.peer));
}

/// Hands a connection over to the incoming process, together with the request that this process has read but
/// not served, if any.
fn hand_over_connection(
    incoming_process: &dyn IncomingProcess,
    socket: Rc<Socket>,
) -> Result<(), Rc<Socket>> {
    let socket = Rc::try_unwrap(socket)?;
    let read = socket.take_unserved_bytes();
    let Socket { stream, permit, .. } = socket;
    // Fails if the event loop cannot deregister the socket: the connection is then lost.
    let Ok(stream) = stream.into_std() else { return Ok(()) };
    match incoming_process.hand_over(HandedOverConnection { stream, read }) {
        Ok(()) => Ok(()),
        Err(connection) => match TcpStream::from_std(connection.stream) {
            Ok(stream) => Err(Rc::new(Socket::new(stream, permit))),
            Err(_) => Ok(()),
        },
    }
}

/// Returns whether a connection is idle between two requests and nothing of the next one has been read.
fn is_idle_unread(permit: &ConnectionPermit, socket: &Socket) -> bool {
    matches!(permit.state(), Some(State::New | State::Silent | State::Idle)) && !socket.has_read_ahead()
}

/// Returns the response to a request. Whether the connection closes after it is decided here as well.
async fn respond(
    front: &Rc<Front>,
    socket: &Rc<Socket>,
    request: Request<Incoming>,
    head: ReceivedHead,
) -> Response<TrackedResponseBody> {
    let head_received_at = Instant::now();
    let class = request.headers().get("x-class").filter(|_| request.uri().path() == "/api").cloned();
    let class = class.as_ref().and_then(|class| class.to_str().ok());
    let mut disposition = Disposition::default();
    let size = HeadSize { bytes: head.length as u64, fields: request.headers().len() as u64 };
    let mut response = match head.framing {
        Framing::Invalid => {
            disposition.close_after = true;
            text_response(StatusCode::BAD_REQUEST, "the length is unclear\n")
        }
        Framing::Length(length) => {
            respond_to_request(front, socket, request, size, Some(length), &mut disposition).await
        }
        Framing::Chunked => respond_to_request(front, socket, request, size, None, &mut disposition).await,
    };
    disposition.close_after |= !socket.is_request_complete();
    let is_streamed = matches!(response.body(), ResponseBody::Streamed(_));
    let recorder = match is_streamed {
        // A streamed response is recorded when it ends.
        true => {
            let (metrics, class) = (Rc::clone(&front.node.metrics), class.map(str::to_owned));
            Some(ResponseRecorder { metrics, class, inflight: disposition.inflight.take(), head_received_at })
        }
        false => {
            // A client that never completed its request is not counted.
            if let Some(class) = class.filter(|_| disposition.inflight.is_some()) {
                front.node.metrics.record_result(class, request_result(response.status()));
                front.node.metrics.record_latency(class, head_received_at);
            }
            None
        }
    };
    let memory_bytes =
        if is_streamed { STREAMED_MEMORY_BYTES } else { response.body().size_hint().exact().unwrap_or(0) };
    if closes_after_response(socket, memory_bytes, &disposition) {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    if is_streamed {
        socket.permit.handle_event(Event::Streaming { id: socket.permit.id });
    }
    response.map(|body| socket.begin_response(body, recorder))
}

/// Reports the size of a response to connection admission. Returns whether the connection closes after the
/// response.
fn closes_after_response(socket: &Socket, bytes: u64, disposition: &Disposition) -> bool {
    let permit = &socket.permit;
    let must_close = disposition.close_after;
    let decide = |pipelined| {
        permit.handle_event(Event::ResponseReady { id: permit.id, bytes, pipelined })
            == Verdict::CloseAfterResponse
    };
    let pipelined = !must_close && socket.has_read_ahead();
    let closes = decide(pipelined) || disposition.refused && !pipelined;
    // Another request has already arrived behind this one: it is answered before the connection closes, as it
    // would otherwise be lost.
    if closes && !must_close && socket.has_input() {
        return decide(true);
    }
    closes || must_close
}

/// Lets hyper serve a connection, and carries out the commands of the node. Returns how that ended.
async fn serve(front: &Rc<Front>, permit: &Rc<ConnectionPermit>, socket: &Rc<Socket>) -> End {
    let service = service_fn(|request: Request<Incoming>| {
        // The raw bytes of the head are inspected before hyper reads on.
        let head = socket.take_head();
        async move { Ok::<_, Infallible>(respond(front, socket, request, head).await) }
    });
    let connection = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .max_header_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(Io(Rc::clone(socket))), service);
    let mut connection = pin!(connection);
    // After the last response the connection is drained before it closes, even if the client asked for the
    // close: anything it sent nevertheless is unread, and would cause a reset that destroys the response.
    // hyper also reports success if the client has closed an idle connection; that one needs no draining.
    let end_of =
        |succeeded| if succeeded && !socket.is_closed() { End::AfterLastResponse } else { End::Closed };
    // An idle connection is handed over before hyper reads from it; otherwise this process would begin a
    // request during its shutdown although the incoming process could serve it.
    let can_hand_over =
        || socket.has_handed_over_request() || front.handover_confirmed() && is_idle_unread(permit, socket);
    let handover_possible = || poll_fn(|_| if can_hand_over() { Poll::Ready(()) } else { Poll::Pending });
    loop {
        tokio::select! {
            biased;
            () = handover_possible() => return End::HandOver,
            // An error is caused by the client: it has left, or does not speak HTTP.
            result = connection.as_mut() => {
                return end_of(result.is_ok());
            }
            () = socket.client_departed() => return End::Closed,
            () = socket.client_stopped_reading(front.node.connections.read_timeout.max) => {
                return End::Abort(Reason::SlowRead);
            }
            () = permit.command_ready.notified() => {}
        }
        let Some(command) = permit.take_command() else { continue };
        if let ConnectionCommand::Abort(reason) = command {
            return End::Abort(reason);
        }
        // A request that has just arrived would be lost if the connection closed now: hyper reads it next.
        if command != ConnectionCommand::HandOver && socket.has_input() {
            tokio::select! {
                biased;
                result = connection.as_mut() => {
                    return end_of(result.is_ok());
                }
                () = sleep(READ_GRACE) => {}
            }
        }
        match (command, permit.state()) {
            (ConnectionCommand::HandOver, _) if can_hand_over() => return End::HandOver,
            // A request that came too late is answered as such, whether or not more of it has arrived.
            (ConnectionCommand::Expire(reason), Some(State::Head | State::Closing)) => {
                return End::Expire(reason)
            }
            (ConnectionCommand::Close, Some(State::Closing)) => return End::Close,
            // The client has sent a request after all; its response will announce that it is the last.
            _ => {}
        }
    }
}
