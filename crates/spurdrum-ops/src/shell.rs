//! The sockets round the desk.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, Notify};
use tokio::time::{sleep, sleep_until, timeout, Instant};

use crate::desk::{Action, AdminEndpoint, CallerId, Event, Settings};

/// A caller has so long to take its answer: it fits into the buffers of a socket.
const READ_MOST: Duration = Duration::from_millis(200);
/// With no descriptor or no place to be had, accepting rests for so long.
const REST: Duration = Duration::from_millis(5);

/// Who answers lines.
pub trait CallHandler: 'static {
    /// The answer to a line, whole lines. Nothing else goes on meanwhile.
    fn answer(&self, line: &str) -> String;
}

/// Callers that are waited for or answered at once.
const TASKS_MOST: usize = 32;

struct Shell<A> {
    answers: A,
    desk: RefCell<AdminEndpoint>,
    started: Instant,
    /// How each caller that has not said its line is told what becomes of it.
    waiting: RefCell<HashMap<CallerId, oneshot::Sender<Option<String>>>>,
    changed: Notify,
    last: Cell<u64>,
}

/// Answers lines for as long as the process runs.
pub async fn serve(listener: TcpListener, answers: impl CallHandler, settings: Settings) {
    let shell = Rc::new(Shell {
        answers,
        desk: RefCell::new(AdminEndpoint::new(settings)),
        started: Instant::now(),
        waiting: RefCell::default(),
        changed: Notify::new(),
        last: Cell::new(0),
    });
    tokio::task::spawn_local(Rc::clone(&shell).keep_time());
    loop {
        // Guards against callers that have their answers and do not leave: descriptors are the clients'.
        while Rc::strong_count(&shell) > TASKS_MOST {
            sleep(REST).await;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(Rc::clone(&shell).caller(stream));
            }
            // The caller has left again, or there is no descriptor.
            Err(_) => sleep(REST).await,
        }
    }
}

impl<A: CallHandler> Shell<A> {
    fn tell(&self, event: Event<'_>) {
        let mut actions = Vec::new();
        self.desk.borrow_mut().handle(self.started.elapsed(), event, &mut actions);
        for action in actions {
            let (id, answer) = match action {
                Action::Answer(id, line) => (id, Some(self.answers.answer(&line))),
                Action::Reject(id, why) => (id, Some(format!("NO {why}\n"))),
                Action::Evict(id) => (id, None),
            };
            if let Some(waiting) = self.waiting.borrow_mut().remove(&id) {
                // It fails where the caller has just left.
                let _ = waiting.send(answer);
            }
        }
    }

    async fn caller(self: Rc<Self>, mut stream: TcpStream) {
        let id = CallerId(self.last.get() + 1);
        self.last.set(id.0);
        let (tell, mut told) = oneshot::channel();
        self.waiting.borrow_mut().insert(id, tell);
        self.tell(Event::Connected(id));
        self.changed.notify_one();
        let mut piece = [0; 256];
        let answer = loop {
            tokio::select! {
                biased;
                answer = &mut told => break answer.ok().flatten(),
                read = stream.read(&mut piece) => match read {
                    Ok(0) => self.tell(Event::InputClosed(id)),
                    Ok(n) => self.tell(Event::Received(id, &piece[..n])),
                    Err(_) => {
                        self.tell(Event::Disconnected(id));
                        self.waiting.borrow_mut().remove(&id);
                    }
                },
            }
        };
        if let Some(answer) = answer {
            // It fails where the caller has left or does not read.
            let _ = timeout(READ_MOST, finish(stream, answer)).await;
        }
    }

    async fn keep_time(self: Rc<Self>) {
        loop {
            let wake = self.desk.borrow().next_wake();
            match wake {
                None => self.changed.notified().await,
                Some(wake) => {
                    sleep_until(self.started + wake).await;
                    self.tell(Event::Tick);
                }
            }
        }
    }
}

async fn finish(mut stream: TcpStream, answer: String) -> io::Result<()> {
    stream.write_all(answer.as_bytes()).await?;
    stream.shutdown().await?;
    // Guards against a reset that destroys the answer on its way: what else was said is read first.
    let mut rest = [0; 256];
    while stream.read(&mut rest).await? > 0 {}
    Ok(())
}
