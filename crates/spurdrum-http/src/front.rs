//! Accepts the connections of clients, until the process has been told to shut down and has finished doing
//! so.

use std::future::{poll_fn, Future};
use std::io::{Read, Write};
use std::net::{IpAddr, Shutdown};
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use spurdrum_admission::Event;
use spurdrum_core::{is_resource_exhausted, HandedOverConnection, RequestResult};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::yield_now;
use tokio::time::{sleep, sleep_until, Instant};

use crate::client::MAX_HEADERS;
use crate::connection::serve_connection;
use crate::context::{open_spare_descriptor, refusal_bytes, Front, ACCEPT_BACKOFF, MAX_DISCARDED_BYTES};
use crate::shutdown::{self, RemainingWork, Step};

/// When no descriptor is left, at most this many waiting connections are answered at a time.
const MAX_REJECTED_PER_ROUND: usize = 64;

/// When no request has been answered for this many turns of the event loop, everything that had arrived has
/// been processed.
const QUIET_TURNS: usize = 8;
/// The most turns to wait for that; some dozens of requests are answered in each.
const MAX_TURNS: usize = 64;

/// The receiver of connections that the outgoing process hands over.
pub type HandedOverConnections = mpsc::UnboundedReceiver<HandedOverConnection>;

/// Serves clients until `stop` completes and everything that was accepted has been answered. Connections that
/// the outgoing process hands over are served as if they had been accepted here.
pub async fn run(
    front: Front,
    listener: TcpListener,
    mut handed_over: HandedOverConnections,
    stop: impl Future<Output = ()>,
) {
    let front = Rc::new(front);
    let mut stop = pin!(stop);
    loop {
        tokio::select! {
            biased;
            () = &mut stop => break,
            Some(connection) = handed_over.recv() => admit_handed_over(&front, connection),
            () = accept(&front, &listener) => {}
        }
    }
    shut_down(&front, &listener, handed_over).await;
}

/// Shuts down: hands connections over to the incoming process, or answers the pending requests and closes the
/// connections.
async fn shut_down(front: &Rc<Front>, listener: &TcpListener, mut handed_over: HandedOverConnections) {
    front.shutting_down.set(true);
    let node = &front.node;
    let longest_deadline = node.settings().classes.iter().map(|class| class.deadline_ms).fold(0.0, f64::max);
    let longest_deadline = Duration::from_secs_f64(longest_deadline / 1000.0);
    tracing::info!(
        "shutting down with {} open connections and {} pending requests",
        node.connections.open_connections(),
        node.pending_requests()
    );
    let mut shutdown = shutdown::Shutdown::new(Instant::now(), longest_deadline);
    let mut steps = Vec::new();
    loop {
        let now = Instant::now();
        shutdown.check(now, remaining_work(front, &handed_over), &mut steps);
        for step in steps.drain(..) {
            match step {
                Step::HandOver => {
                    tracing::info!("shutdown: connections are handed over to the incoming process");
                    node.connections.handle_event(Event::HandoverStarted);
                }
                Step::Close => {
                    tracing::info!(
                        "shutdown: no other process takes over, so connections close after their responses"
                    );
                    node.connections.handle_event(Event::HandoverEnded);
                    node.connections.handle_event(Event::ShutdownStarted);
                }
                Step::CloseIdle => {
                    node.connections.handle_event(Event::AcceptingStopped);
                }
                Step::StopNewAttempts => front.stop_new_attempts(),
                Step::FinalNotice => {
                    wait_for_answers(|| node.pending_requests()).await;
                    tracing::info!("shutdown: final responses for {} requests", node.pending_requests());
                    front.send_final_notice();
                }
                Step::End => return,
            }
        }
        tokio::select! {
            // Input that has arrived takes precedence over the timer.
            biased;
            Some(connection) = handed_over.recv() => forward_handed_over(front, connection),
            () = accept(front, listener), if shutdown.accepts() => shutdown.accepted(Instant::now()),
            () = sleep_until(shutdown.next_check(now)) => {}
        }
    }
}

/// Waits until the input that has arrived by now is processed, i.e. until no more requests are being
/// answered. Without this, a request would get its final response although the real one is already in a
/// socket: when the event loop resumes, this task may learn of the time before other tasks have read.
async fn wait_for_answers(pending_count: impl Fn() -> usize) {
    let (mut quiet_turns, mut previous) = (0, pending_count());
    for _ in 0..MAX_TURNS {
        yield_now().await;
        let pending = pending_count();
        quiet_turns = if pending < previous { 0 } else { quiet_turns + 1 };
        previous = pending;
        if quiet_turns == QUIET_TURNS {
            return;
        }
    }
}

/// Returns the work that keeps this process from exiting.
fn remaining_work(front: &Front, handed_over: &HandedOverConnections) -> RemainingWork {
    let none_arriving = handed_over.is_closed() && handed_over.is_empty();
    RemainingWork {
        handover_status: front.handover_status(),
        idle: front.node.connections.open_connections() == 0 && front.node.pending_requests() == 0,
        handed_over: none_arriving
            && front.incoming_process.iter().all(|incoming_process| incoming_process.all_sent()),
    }
}

/// Passes a connection that the outgoing process handed over straight on to the incoming process, if there is
/// one by now.
fn forward_handed_over(front: &Rc<Front>, connection: HandedOverConnection) {
    let result = match &front.incoming_process {
        Some(incoming_process) if front.handover_confirmed() => incoming_process.hand_over(connection),
        _ => Err(connection),
    };
    if let Err(connection) = result {
        admit_handed_over(front, connection);
    }
}

/// Accepts the next connection, unless there is an incoming process to accept it.
async fn accept(front: &Rc<Front>, listener: &TcpListener) {
    // Once the handover is confirmed this process has given up its share of the descriptors, and would have
    // to refuse the connection.
    let next = poll_fn(|cx| match front.handover_confirmed() {
        true => Poll::Pending,
        false => listener.poll_accept(cx),
    });
    match next.await {
        Ok((stream, peer)) => {
            front.accept_backoff.set(ACCEPT_BACKOFF.0);
            admit(front, stream, peer.ip(), Vec::new());
            // During a burst, connections that are closing need a turn to make room; otherwise new ones would
            // be refused.
            if front.node.connections.has_closing() {
                yield_now().await;
            }
        }
        Err(error) if is_resource_exhausted(&error) => {
            reject_waiting(front, listener).await;
            // The listener stays readable while nothing can be accepted; without this delay the loop would be
            // busy.
            sleep(front.accept_backoff.get()).await;
            front.accept_backoff.set((front.accept_backoff.get() * 2).min(ACCEPT_BACKOFF.1));
        }
        // The client has already left, or the connection failed.
        Err(_) => yield_now().await,
    }
}

fn admit_handed_over(front: &Rc<Front>, connection: HandedOverConnection) {
    let HandedOverConnection { stream, read } = connection;
    let peer = stream.peer_addr().map(|peer| peer.ip());
    // Fails if the client has left meanwhile.
    if let (Ok(peer), Ok(())) = (peer, stream.set_nonblocking(true)) {
        if let Ok(stream) = TcpStream::from_std(stream) {
            admit(front, stream, peer, read);
        }
    }
}

/// Serves a connection from which `read` has already been read, or rejects it.
fn admit(front: &Rc<Front>, stream: TcpStream, peer: IpAddr, read: Vec<u8>) {
    let permit = if front.final_notice_sent() { None } else { front.node.connections.accept(peer) };
    match permit {
        Some(permit) => {
            tokio::task::spawn_local(serve_connection(Rc::clone(front), permit, stream, read));
        }
        // Responding at once lets the client turn to another node instead of waiting in vain.
        None => reject(front, stream, &read),
    }
}

/// Used when no descriptor is left: frees resources, and answers the waiting connections one by one using the
/// spare descriptor.
async fn reject_waiting(front: &Rc<Front>, listener: &TcpListener) {
    front.node.connections.handle_event(Event::ResourcesExhausted);
    for _ in 0..MAX_REJECTED_PER_ROUND {
        drop(front.spare_descriptor.borrow_mut().take());
        let next = poll_fn(|cx| Poll::Ready(listener.poll_accept(cx))).await;
        let accepted = match next {
            Poll::Ready(Ok((stream, _))) => {
                reject(front, stream, &[]);
                true
            }
            _ => false,
        };
        front.spare_descriptor.replace(open_spare_descriptor());
        if !accepted {
            break;
        }
    }
}

/// Closes a connection for which there is no capacity; if its request has arrived, it gets a refusal.
/// `already_read` has already been read from the connection. Without the refusal, a request that was written
/// before its connection could be rejected would be lost.
fn reject(front: &Front, stream: TcpStream, already_read: &[u8]) {
    // The event loop has not polled this socket yet, so it is read directly.
    let Ok(mut stream) = stream.into_std() else { return };
    let mut buffer = [0; 4096];
    let mut received = already_read.len();
    let mut class = class_of(already_read);
    // Closing a socket with unread bytes would reset the connection and destroy the response on its way.
    while let Ok(n) = stream.read(&mut buffer) {
        class = class.or_else(|| class_of(&buffer[..n]));
        received += n;
        if n == 0 || received > MAX_DISCARDED_BYTES {
            break;
        }
    }
    if received > 0 {
        // Fails if the client has left.
        let _ = stream.write(refusal_bytes(front.node.connections.retry_after_ms()).as_bytes());
        let _ = stream.shutdown(Shutdown::Write);
        if let Some(class) = class {
            front.node.metrics.record_result(&class, RequestResult::Busy);
        }
    }
}

/// Returns the class that a request's head names, if the whole head has been received.
fn class_of(received: &[u8]) -> Option<String> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut fields);
    let complete = head.parse(received).is_ok_and(|parsed| parsed.is_complete());
    let class_header =
        head.headers.iter().find(|header| complete && header.name.eq_ignore_ascii_case("x-class"))?;
    std::str::from_utf8(class_header.value).ok().map(|class| class.trim().to_owned())
}

#[cfg(test)]
mod tests;
