//! How clients meet the end of a connection.

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

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx";

/// What the target does with the next request on a connection.
#[derive(Clone, Copy)]
enum Does {
    Answer,
    /// Ends its side as the request comes, and reads what comes.
    End,
    /// Begins an answer and ends.
    Break,
}

/// Accepts a connection for each script, one after another, and plays it.
fn target(scripts: &'static [&'static [Does]]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        for script in scripts {
            let (mut stream, _) = listener.accept().expect("accepted");
            script.iter().for_each(|does| play(&mut stream, *does));
        }
    });
    address
}

fn play(stream: &mut TcpStream, does: Does) {
    // A head comes in one piece.
    assert!(stream.read(&mut [0; 4096]).expect("a request") > 0);
    match does {
        Does::Answer => stream.write_all(ANSWER).expect("answered"),
        Does::End => stream.shutdown(Shutdown::Write).expect("ended"),
        Does::Break => {
            stream.write_all(&ANSWER[..ANSWER.len() - 1]).expect("begun");
            stream.shutdown(Shutdown::Write).expect("ended");
        }
    }
}

/// Asks so many times, one after another.
fn ask(target: SocketAddr, times: usize) -> Vec<Outcome> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let pool = Pool::new(target, 10);
    LocalSet::new().block_on(&runtime, async {
        let mut outcomes = Vec::new();
        for _ in 0..times {
            let request = Request::get("/").header("host", "origin").body(Full::new(Bytes::new()));
            outcomes.push(pool.send(request.expect("sound"), true).await);
        }
        outcomes
    })
}

/// Guards against a client that hides breaks by sending a request once more that its target has read.
#[test]
fn a_connection_that_ends_under_a_request_breaks_it_whether_kept_or_new() {
    let kept = ask(target(&[&[Does::Answer, Does::End], &[Does::Answer]]), 3);
    assert_eq!(kept, [Outcome::Served, Outcome::Broken, Outcome::Served]);
    assert_eq!(ask(target(&[&[Does::End]]), 1), [Outcome::Broken]);
    assert_eq!(ask(target(&[&[Does::Answer, Does::Break]]), 2), [Outcome::Served, Outcome::Broken]);
}

/// A target that answers a request, ends that connection when it is told to, and answers another connection's request: what tells it,
/// what tells that it has, and how many bytes more came on the first.
struct Ending {
    address: SocketAddr,
    end: mpsc::Sender<()>,
    has_ended: mpsc::Receiver<()>,
    played: thread::JoinHandle<usize>,
}

fn ending() -> Ending {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = listener.local_addr().expect("bound");
    let (end, is_to_end) = mpsc::channel();
    let (ended, has_ended) = mpsc::channel();
    let played = thread::spawn(move || {
        let (mut first, _) = listener.accept().expect("accepted");
        play(&mut first, Does::Answer);
        is_to_end.recv().expect("told");
        first.shutdown(Shutdown::Write).expect("ended");
        ended.send(()).expect("heard");
        let (mut second, _) = listener.accept().expect("accepted");
        play(&mut second, Does::Answer);
        first.read(&mut [0; 1]).expect("the client's end")
    });
    Ending { address, end, has_ended, played }
}

fn request() -> Request<Full<Bytes>> {
    Request::get("/").header("host", "origin").body(Full::new(Bytes::new())).expect("sound")
}

/// Asks twice, and both are served on connections of their own; the event loop stands still until the first connection has ended, before
/// the second request looks at it or as soon as it has.
fn is_served_twice(looks_first: bool) {
    let Ending { address, end, has_ended, played } = ending();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let pool = Pool::new(address, 10);
    let outcomes = LocalSet::new().block_on(&runtime, async {
        let first = pool.send(request(), true).await;
        let stand_still = || {
            end.send(()).expect("heard");
            has_ended.recv().expect("told");
        };
        if !looks_first {
            stand_still();
            return (first, pool.send(request(), true).await);
        }
        // The first of these runs until it has handed its request to the task that writes it.
        let (second, ()) = tokio::join!(pool.send(request(), true), async { stand_still() });
        (first, second)
    });
    drop(pool);
    // Before the target is waited for: it waits for a second connection.
    assert_eq!(outcomes, (Outcome::Served, Outcome::Served));
    assert_eq!(played.join().expect("played"), 0, "something was sent on it");
}

/// Guards against a request that is sent on a connection whose end has come, and counts as broken by its target.
#[test]
fn a_connection_whose_end_has_come_is_not_used_though_the_event_loop_has_not_heard_of_it() {
    is_served_twice(false);
}

/// Guards against the same where the end comes after the connection was chosen and before anything is written.
#[test]
fn a_connection_whose_end_comes_before_its_request_is_written_is_not_used() {
    is_served_twice(true);
}
