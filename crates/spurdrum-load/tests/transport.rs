//! What happens to requests when the target closes a connection.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use spurdrum_load::client::Outcome;
use spurdrum_load::transport::Pool;
use tokio::task::LocalSet;

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx";

/// What the target does with the next request on a connection.
#[derive(Clone, Copy)]
enum Action {
    Respond,
    /// Reads the request and closes its sending side without a response.
    Close,
    /// Sends an incomplete response and closes its sending side.
    Truncate,
}

/// Starts a target that accepts one connection for each script, one after another, and performs its actions.
fn start_target(scripts: &'static [&'static [Action]]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener bound");
    let address = listener.local_addr().expect("listener bound");
    thread::spawn(move || {
        for script in scripts {
            let (mut stream, _) = listener.accept().expect("connection accepted");
            script.iter().for_each(|action| perform(&mut stream, *action));
        }
    });
    address
}

fn perform(stream: &mut TcpStream, action: Action) {
    // The head of a request arrives in one read.
    assert!(stream.read(&mut [0; 4096]).expect("a request") > 0);
    match action {
        Action::Respond => stream.write_all(RESPONSE).expect("response written"),
        Action::Close => stream.shutdown(Shutdown::Write).expect("connection closed"),
        Action::Truncate => {
            stream.write_all(&RESPONSE[..RESPONSE.len() - 1]).expect("partial response written");
            stream.shutdown(Shutdown::Write).expect("connection closed");
        }
    }
}

/// Sends this many requests, one after another, and returns their outcomes.
fn send_requests(target: SocketAddr, count: usize) -> Vec<Outcome> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let pool = Pool::new(target, 10);
    LocalSet::new().block_on(&runtime, async {
        let mut outcomes = Vec::new();
        for _ in 0..count {
            let request = Request::get("/").header("host", "origin").body(Full::new(Bytes::new()));
            outcomes.push(pool.send(request.expect("valid request"), true).await);
        }
        outcomes
    })
}

/// A request that the target has read must not be sent again: that would hide broken connections in the
/// results.
#[test]
fn a_connection_closed_during_a_request_breaks_the_request_whether_reused_or_new() {
    let reused = send_requests(start_target(&[&[Action::Respond, Action::Close], &[Action::Respond]]), 3);
    assert_eq!(reused, [Outcome::Served, Outcome::Broken, Outcome::Served]);
    assert_eq!(send_requests(start_target(&[&[Action::Close]]), 1), [Outcome::Broken]);
    assert_eq!(
        send_requests(start_target(&[&[Action::Respond, Action::Truncate]]), 2),
        [Outcome::Served, Outcome::Broken]
    );
}

/// A target that answers a request on a first connection, closes that connection on command, and answers a
/// request on a second connection.
struct ClosingTarget {
    address: SocketAddr,
    /// Commands the target to close the first connection.
    close: mpsc::Sender<()>,
    /// Receives a message when the target has closed the first connection.
    closed: mpsc::Receiver<()>,
    /// Returns how many bytes more arrived on the first connection.
    thread: thread::JoinHandle<usize>,
}

fn start_closing_target() -> ClosingTarget {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener bound");
    let address = listener.local_addr().expect("listener bound");
    let (close, close_requested) = mpsc::channel();
    let (report_closed, closed) = mpsc::channel();
    let thread = thread::spawn(move || {
        let (mut first, _) = listener.accept().expect("connection accepted");
        perform(&mut first, Action::Respond);
        close_requested.recv().expect("close requested");
        first.shutdown(Shutdown::Write).expect("connection closed");
        report_closed.send(()).expect("close reported");
        let (mut second, _) = listener.accept().expect("connection accepted");
        perform(&mut second, Action::Respond);
        first.read(&mut [0; 1]).expect("end of the client's stream")
    });
    ClosingTarget { address, close, closed, thread }
}

fn request() -> Request<Full<Bytes>> {
    Request::get("/").header("host", "origin").body(Full::new(Bytes::new())).expect("valid request")
}

/// Sends two requests and expects both to be served, each on a connection of its own. The target closes the
/// first connection while the event loop is blocked: before the pool checks the connection for the second
/// request, or after the check where `checked_before_close` is set.
fn assert_both_requests_served(checked_before_close: bool) {
    let ClosingTarget { address, close, closed, thread } = start_closing_target();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let pool = Pool::new(address, 10);
    let outcomes = LocalSet::new().block_on(&runtime, async {
        let first = pool.send(request(), true).await;
        let block_until_closed = || {
            close.send(()).expect("close requested");
            closed.recv().expect("close reported");
        };
        if !checked_before_close {
            block_until_closed();
            return (first, pool.send(request(), true).await);
        }
        // The first of these futures runs until it has handed its request to the task that writes it.
        let (second, ()) = tokio::join!(pool.send(request(), true), async { block_until_closed() });
        (first, second)
    });
    drop(pool);
    // Checked before the target's thread is joined, because that thread waits for a second connection.
    assert_eq!(outcomes, (Outcome::Served, Outcome::Served));
    assert_eq!(thread.join().expect("target finished"), 0, "bytes were sent on the closed connection");
}

/// Without the check, a request would be sent on a connection that the target has already closed, and would
/// count as broken by the target.
#[test]
fn a_closed_connection_is_not_reused_even_if_the_event_loop_has_not_been_notified() {
    assert_both_requests_served(false);
}

/// The same fault, where the target closes the connection after the pool has chosen it and before anything is
/// written.
#[test]
fn a_connection_closed_before_the_request_is_written_is_not_used() {
    assert_both_requests_served(true);
}
