use std::cell::Cell;
use std::io::Write;
use std::net::{TcpListener as StdListener, TcpStream as StdStream};

use tokio::sync::oneshot;
use tokio::task::{spawn_local, LocalSet};

use super::*;

/// A request whose response has arrived must not get a final response instead. After a pause the event loop
/// reports the expired timer and the response at the same time, and handles the timer first.
#[test]
fn input_that_has_arrived_is_processed_before_the_final_notice() {
    let listener = StdListener::bind("127.0.0.1:0").expect("bound");
    let mut server = StdStream::connect(listener.local_addr().expect("bound")).expect("connected");
    let (stream, _) = listener.accept().expect("accepted");
    stream.set_nonblocking(true).expect("set");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async move {
        let pending = Rc::new(Cell::new(1));
        let pending_in_task = Rc::clone(&pending);
        let stream = TcpStream::from_std(stream).expect("registered");
        let (respond, responded) = oneshot::channel();
        let (forward, forwarded) = oneshot::channel();
        // As many tasks as there are between a server's connection and its client's.
        spawn_local(async move {
            stream.readable().await.expect("readable");
            let _ = respond.send(());
        });
        spawn_local(async move {
            responded.await.expect("answered");
            let _ = forward.send(());
        });
        spawn_local(async move {
            forwarded.await.expect("forwarded");
            pending_in_task.set(0);
        });
        yield_now().await;
        let deadline = Instant::now() + Duration::from_millis(5);
        server.write_all(b"answer").expect("written");
        // The event loop is paused past the deadline.
        std::thread::sleep(Duration::from_millis(20));
        sleep_until(deadline).await;
        wait_for_answers(|| pending.get()).await;
        assert_eq!(pending.get(), 0, "the request is still pending");
    });
}
