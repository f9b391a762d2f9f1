//! The I/O layer of the admin endpoint: sockets and time-outs.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, Notify};
use tokio::time::{sleep, sleep_until, timeout, Instant};

use crate::endpoint::{Action, AdminEndpoint, CallerId, Event, Settings};

/// How long a caller may take to receive its answer and close. An answer fits into the buffers of a socket,
/// so writing it does not depend on the caller.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// How long to wait before accepting again, when the process is out of file descriptors or too many callers
/// are connected.
const ACCEPT_RETRY: Duration = Duration::from_millis(5);

/// Handles operators' calls.
pub trait CallHandler: 'static {
    /// Returns the answer to a call, as complete lines. It blocks the event loop until it returns.
    fn answer(&self, line: &str) -> String;
}

/// The maximum number of references to the shell: one for each connected caller, and those of the accept loop
/// and the timer.
const MAX_TASKS: usize = 32;

struct Shell<A> {
    handler: A,
    endpoint: RefCell<AdminEndpoint>,
    started: Instant,
    /// For each caller whose line is incomplete, the channel to its task: the answer, or `None` if the caller
    /// is evicted.
    waiting: RefCell<HashMap<CallerId, oneshot::Sender<Option<String>>>>,
    /// Notified when a caller connects, so that the timer looks at the next time-out again.
    changed: Notify,
    last_id: Cell<u64>,
}

/// Answers calls on this listening socket for as long as the process runs.
pub async fn serve(listener: TcpListener, handler: impl CallHandler, settings: Settings) {
    let shell = Rc::new(Shell {
        handler,
        endpoint: RefCell::new(AdminEndpoint::new(settings)),
        started: Instant::now(),
        waiting: RefCell::default(),
        changed: Notify::new(),
        last_id: Cell::new(0),
    });
    tokio::task::spawn_local(Rc::clone(&shell).run_timer());
    loop {
        // Without this limit, callers that have their answers and do not disconnect would use up the file
        // descriptors that clients need.
        while Rc::strong_count(&shell) > MAX_TASKS {
            sleep(ACCEPT_RETRY).await;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(Rc::clone(&shell).serve_caller(stream));
            }
            // The caller has disconnected again, or the process is out of file descriptors.
            Err(_) => sleep(ACCEPT_RETRY).await,
        }
    }
}

impl<A: CallHandler> Shell<A> {
    /// Feeds an event to the state machine and performs the resulting actions.
    fn handle(&self, event: Event<'_>) {
        let mut actions = Vec::new();
        self.endpoint.borrow_mut().handle(self.started.elapsed(), event, &mut actions);
        for action in actions {
            let (id, answer) = match action {
                Action::Answer(id, line) => (id, Some(self.handler.answer(&line))),
                Action::Reject(id, reason) => (id, Some(format!("NO {reason}\n"))),
                Action::Evict(id) => (id, None),
            };
            if let Some(answer_sender) = self.waiting.borrow_mut().remove(&id) {
                // Fails if the caller has just disconnected.
                let _ = answer_sender.send(answer);
            }
        }
    }

    /// Reads one caller's line and answers it.
    async fn serve_caller(self: Rc<Self>, mut stream: TcpStream) {
        let id = CallerId(self.last_id.get() + 1);
        self.last_id.set(id.0);
        let (answer_sender, mut answer_receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(id, answer_sender);
        self.handle(Event::Connected(id));
        self.changed.notify_one();
        let mut buffer = [0; 256];
        let answer = loop {
            tokio::select! {
                biased;
                answer = &mut answer_receiver => break answer.ok().flatten(),
                read = stream.read(&mut buffer) => match read {
                    Ok(0) => self.handle(Event::InputClosed(id)),
                    Ok(n) => self.handle(Event::Received(id, &buffer[..n])),
                    Err(_) => {
                        self.handle(Event::Disconnected(id));
                        self.waiting.borrow_mut().remove(&id);
                    }
                },
            }
        };
        if let Some(answer) = answer {
            // Fails if the caller has disconnected or does not read.
            let _ = timeout(ANSWER_TIMEOUT, send_answer(stream, answer)).await;
        }
    }

    /// Delivers the ticks that the state machine asks for.
    async fn run_timer(self: Rc<Self>) {
        loop {
            let wake = self.endpoint.borrow().next_wake();
            match wake {
                None => self.changed.notified().await,
                Some(wake) => {
                    sleep_until(self.started + wake).await;
                    self.handle(Event::Tick);
                }
            }
        }
    }
}

/// Sends the answer, closes the sending direction and waits until the caller closes.
async fn send_answer(mut stream: TcpStream, answer: String) -> io::Result<()> {
    stream.write_all(answer.as_bytes()).await?;
    stream.shutdown().await?;
    // Reads what else the caller has sent. Closing with unread input would reset the connection, which can
    // destroy the answer before the caller has read it.
    let mut discarded = [0; 256];
    while stream.read(&mut discarded).await? > 0 {}
    Ok(())
}
