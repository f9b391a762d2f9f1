//! Accepts the connections of clients, until the process has been told to end and has ended.

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

use crate::client::FIELDS_MOST;
use crate::connection::connection;
use crate::context::{refusal_text, spare_descriptor, Front, BACKOFF, DISCARD_MOST};
use crate::shutdown::{self, Remaining, Step};

/// With no descriptor left, so many of those that wait to be accepted are answered at a time.
const TURN_AWAY_MOST: usize = 64;

/// With no request answered in so many turns of the event loop, what has come is handled.
const QUIET_TURNS: usize = 8;
/// It is waited for so many turns at most: each answers some dozens.
const TURNS_MOST: usize = 64;

/// Where the connections come from that another process passes on.
pub type HandedOverConnections = mpsc::UnboundedReceiver<HandedOverConnection>;

/// Serves clients until `stop` is done and all that was taken is answered. What another process passes on is served as if
/// it had been accepted here.
pub async fn run(
    front: Front,
    listener: TcpListener,
    mut passed: HandedOverConnections,
    stop: impl Future<Output = ()>,
) {
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
async fn end(front: &Rc<Front>, listener: &TcpListener, mut passed: HandedOverConnections) {
    front.ending.set(true);
    let node = &front.node;
    let longest = node.settings().classes.iter().map(|class| class.deadline_ms).fold(0.0, f64::max);
    let longest = Duration::from_secs_f64(longest / 1000.0);
    tracing::info!(
        "told to end with {} connections and {} requests",
        node.connections.open_connections(),
        node.pending_requests()
    );
    let mut shutdown = shutdown::Shutdown::new(Instant::now(), longest);
    let mut steps = Vec::new();
    loop {
        let now = Instant::now();
        shutdown.look(now, remaining(front, &passed), &mut steps);
        for step in steps.drain(..) {
            match step {
                Step::HandOver => {
                    tracing::info!("the end: connections are handed over to the other process");
                    node.connections.handle_event(Event::HandoverStarted);
                }
                Step::Close => {
                    tracing::info!("the end: no other process takes over, so answers end their connections");
                    node.connections.handle_event(Event::HandoverEnded);
                    node.connections.handle_event(Event::ShutdownStarted);
                }
                Step::CloseIdle => {
                    node.connections.handle_event(Event::AcceptingStopped);
                }
                Step::BeginNothing => front.begin_nothing(),
                Step::LastCall => {
                    handled(|| node.pending_requests()).await;
                    tracing::info!("the end: last answers for {} requests", node.pending_requests());
                    front.call_last();
                }
                Step::End => return,
            }
        }
        tokio::select! {
            // What has come goes before the time.
            biased;
            Some(connection) = passed.recv() => pass_on(front, connection),
            () = accept(front, listener), if shutdown.accepts() => shutdown.accepted(Instant::now()),
            () = sleep_until(shutdown.next_look(now)) => {}
        }
    }
}

/// Waits until what has come by now is handled: until no request is answered any more.
/// Guards against last answers where the answers themselves lie in sockets: this task is told of the time before others have read.
async fn handled(held: impl Fn() -> usize) {
    let (mut quiet_turns, mut last) = (0, held());
    for _ in 0..TURNS_MOST {
        yield_now().await;
        let left = held();
        quiet_turns = if left < last { 0 } else { quiet_turns + 1 };
        last = left;
        if quiet_turns == QUIET_TURNS {
            return;
        }
    }
}

/// What keeps a process that has been told to end.
fn remaining(front: &Front, passed: &HandedOverConnections) -> Remaining {
    let none_is_passed_here = passed.is_closed() && passed.is_empty();
    Remaining {
        handover_status: front.handover_status(),
        idle: front.node.connections.open_connections() == 0 && front.node.pending_requests() == 0,
        handed_over: none_is_passed_here && front.successor.iter().all(|successor| successor.all_sent()),
    }
}

/// A connection that the process before this one has passed on goes straight to the next, where there is one by now.
fn pass_on(front: &Rc<Front>, connection: HandedOverConnection) {
    let rest = match &front.successor {
        Some(successor) if front.is_succeeded() => successor.hand_over(connection),
        _ => Err(connection),
    };
    if let Err(connection) = rest {
        admit_passed(front, connection);
    }
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
            admit(front, stream, peer.ip(), Vec::new());
            // Guards against a burst that finds no place because those who make room have had no turn.
            if front.node.connections.has_closing() {
                yield_now().await;
            }
        }
        Err(error) if is_resource_exhausted(&error) => {
            turn_away_some(front, listener).await;
            // Guards against a busy loop: the listener stays readable while nothing can be accepted.
            sleep(front.backoff.get()).await;
            front.backoff.set((front.backoff.get() * 2).min(BACKOFF.1));
        }
        // The client has left already, or the network failed it.
        Err(_) => yield_now().await,
    }
}

fn admit_passed(front: &Rc<Front>, connection: HandedOverConnection) {
    let HandedOverConnection { stream, read } = connection;
    let peer = stream.peer_addr().map(|peer| peer.ip());
    // It fails where the client has left meanwhile.
    if let (Ok(peer), Ok(())) = (peer, stream.set_nonblocking(true)) {
        if let Ok(stream) = TcpStream::from_std(stream) {
            admit(front, stream, peer, read);
        }
    }
}

/// Serves a connection of which `read` has been read already, or turns it away.
fn admit(front: &Rc<Front>, stream: TcpStream, peer: IpAddr, read: Vec<u8>) {
    let seat = if front.has_called_last() { None } else { front.node.connections.accept(peer) };
    match seat {
        Some(seat) => {
            tokio::task::spawn_local(connection(Rc::clone(front), seat, stream, read));
        }
        // Guards against waiting in vain: who is turned away at once can turn to another node.
        None => turn_away(front, stream, &read),
    }
}

/// With no descriptor left, room is made, and those that wait are answered one by one on the reserve's place.
async fn turn_away_some(front: &Rc<Front>, listener: &TcpListener) {
    front.node.connections.handle_event(Event::ResourcesExhausted);
    for _ in 0..TURN_AWAY_MOST {
        drop(front.reserve.borrow_mut().take());
        let next = poll_fn(|cx| Poll::Ready(listener.poll_accept(cx))).await;
        let came = match next {
            Poll::Ready(Ok((stream, _))) => {
                turn_away(front, stream, &[]);
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

/// Ends a connection that there is no place for; where its request has come, with a refusal. `before` has been read of it already.
/// Guards against the loss of a request that was written before its connection could be refused.
fn turn_away(front: &Front, stream: TcpStream, before: &[u8]) {
    // The event loop has not looked at this socket yet, so it is read as it is.
    let Ok(mut stream) = stream.into_std() else { return };
    let mut read = [0; 4096];
    let mut came = before.len();
    let mut class = class_of(before);
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
            front.node.metrics.record_result(&class, RequestResult::Busy);
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

#[cfg(test)]
mod tests;
