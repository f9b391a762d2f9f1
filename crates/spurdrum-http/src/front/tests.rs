use std::cell::Cell;
use std::io::Write;
use std::net::{TcpListener as StdListener, TcpStream as StdStream};

use tokio::sync::oneshot;
use tokio::task::{spawn_local, LocalSet};

use super::*;

/// Guards against a last answer to a request whose answer has come: the event loop hears of the time and of the answer at once,
/// and heeds the time first.
#[test]
fn what_has_come_is_handled_before_the_last_call() {
    let listener = StdListener::bind("127.0.0.1:0").expect("bound");
    let mut server = StdStream::connect(listener.local_addr().expect("bound")).expect("connected");
    let (stream, _) = listener.accept().expect("accepted");
    stream.set_nonblocking(true).expect("set");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async move {
        let held = Rc::new(Cell::new(1));
        let answering = Rc::clone(&held);
        let stream = TcpStream::from_std(stream).expect("registered");
        let (answer, answered) = oneshot::channel();
        let (passed_on, is_passed_on) = oneshot::channel();
        // As many tasks as lie between a server's connection and its client's.
        spawn_local(async move {
            stream.readable().await.expect("readable");
            let _ = answer.send(());
        });
        spawn_local(async move {
            answered.await.expect("answered");
            let _ = passed_on.send(());
        });
        spawn_local(async move {
            is_passed_on.await.expect("passed on");
            answering.set(0);
        });
        yield_now().await;
        let due = Instant::now() + Duration::from_millis(5);
        server.write_all(b"answer").expect("written");
        // The event loop stands still past the time.
        std::thread::sleep(Duration::from_millis(20));
        sleep_until(due).await;
        handled(|| held.get()).await;
        assert_eq!(held.get(), 0, "it is not answered yet");
    });
}
