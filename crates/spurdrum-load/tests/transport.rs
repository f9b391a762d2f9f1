//! How clients meet the end of a connection that rests.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use spurdrum_load::client::Outcome;
use spurdrum_load::transport::{Asked, Pool};
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
fn ask(target: SocketAddr, times: usize) -> Vec<Asked> {
    ask_through(Pool::new(target, 10).with_ends_after(Duration::ZERO), times)
}

fn ask_through(pool: Pool, times: usize) -> Vec<Asked> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let mut asked = Vec::new();
        for _ in 0..times {
            let request = Request::get("/").header("host", "origin").body(Full::new(Bytes::new()));
            asked.push(pool.ask(request.expect("sound"), true).await);
        }
        asked
    })
}

#[test]
fn a_request_that_crosses_the_end_of_a_resting_connection_is_sent_once_more_on_a_new_one() {
    let asked = ask(target(&[&[Does::Answer, Does::End], &[Does::Answer]]), 2);
    assert_eq!((asked[0].outcome, asked[0].crossing), (Outcome::Served, None));
    assert_eq!(asked[1].outcome, Outcome::Served);
    assert!(asked[1].crossing.is_some());
}

#[test]
fn what_ends_a_new_connection_or_an_answer_that_has_begun_is_a_break() {
    let asked = ask(target(&[&[Does::Answer, Does::End], &[Does::End]]), 2);
    assert_eq!(asked[1].outcome, Outcome::Broken, "once more, and not again");
    let asked = ask(target(&[&[Does::End]]), 1);
    assert_eq!((asked[0].outcome, asked[0].crossing), (Outcome::Broken, None));
    let pool = Pool::new(target(&[&[Does::Answer, Does::End]]), 10).with_ends_after(Duration::from_secs(60));
    let asked = ask_through(pool, 2);
    assert_eq!(
        (asked[1].outcome, asked[1].crossing),
        (Outcome::Broken, None),
        "it had not rested for its time"
    );
    let pool = Pool::new(target(&[&[Does::Answer, Does::End]]), 10);
    let asked = ask_through(pool, 2);
    assert_eq!((asked[1].outcome, asked[1].crossing), (Outcome::Broken, None), "unless it is told otherwise");
    let asked = ask(target(&[&[Does::Answer, Does::Break]]), 2);
    assert_eq!((asked[1].outcome, asked[1].crossing), (Outcome::Broken, None));
}
