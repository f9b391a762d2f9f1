//! A scripted outgoing process: it accepts the incoming process's handover connection and offers the
//! listening socket when the test asks it to.

use std::collections::HashSet;
use std::io::{IoSlice, Read, Write};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsFd, BorrowedFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;

use rustix::net::{sendmsg, SendAncillaryBuffer, SendAncillaryMessage, SendFlags};
use socket2::{Domain, Socket, Type};
use spurdrum_handover::{Frames, Message};

use super::net::{node_directory, wait_until, LONG};

/// Returns the path of the handover socket of the process that serves this address.
fn handover_socket(address: SocketAddr) -> PathBuf {
    let name = format!("spurdrum-{}.sock", address.to_string().replace(':', "-"));
    node_directory(address).join(name)
}

/// Returns how many handover connections to the process that serves this address wait to be accepted. The
/// kernel shows them as state 02, under the name that the socket was bound to.
pub fn calls_waiting(address: SocketAddr) -> usize {
    let name = handover_socket(address).with_extension("").to_string_lossy().into_owned();
    let sockets = std::fs::read_to_string("/proc/net/unix").expect("Linux");
    let is_waiting = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        fields.get(5) == Some(&"02") && fields.get(7).is_some_and(|of| of.starts_with(&name))
    };
    sockets.lines().filter(|line| is_waiting(line)).count()
}

/// An outgoing process that listens on an address and on its handover socket.
pub struct Outgoing {
    calls: UnixListener,
    /// The listening socket for clients.
    pub listener: TcpListener,
}

impl Outgoing {
    /// Listens on both sockets; it accepts neither clients nor handover connections by itself.
    pub fn start(address: SocketAddr) -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("made");
        socket.set_reuse_address(true).expect("set");
        // Set as in a node, so that a process that does not take over can listen beside it.
        socket.set_reuse_port(true).expect("set");
        socket.bind(&address.into()).and_then(|()| socket.listen(64)).expect("listening");
        let calls = UnixListener::bind(handover_socket(address)).expect("bound");
        calls.set_nonblocking(true).expect("set");
        Self { calls, listener: socket.into() }
    }

    /// Accepts the next call (handover connection).
    pub fn accept_call(&self) -> Call {
        let mut stream = None;
        wait_until("no incoming process has connected", || {
            stream = self.calls.accept().ok();
            stream.is_some()
        });
        let (stream, _) = stream.expect("accepted");
        stream.set_nonblocking(false).expect("set");
        stream.set_read_timeout(Some(LONG)).expect("set");
        Call { stream, frames: Frames::default() }
    }
}

/// An accepted call: the outgoing process's end of a handover connection.
pub struct Call {
    stream: UnixStream,
    frames: Frames,
}

impl Call {
    /// Returns the incoming process's next message, or none if it has closed the connection.
    pub fn receive(&mut self) -> Option<Message> {
        loop {
            if let Some(message) = self.frames.take().expect("valid frames") {
                return Some(message);
            }
            let mut bytes = [0; 4096];
            // A process that exits with unread messages resets the connection.
            let got = self.stream.read(&mut bytes).unwrap_or(0);
            if got == 0 {
                return None;
            }
            self.frames.push(&bytes[..got]);
        }
    }

    /// Offers the listening socket. Returns whether the incoming process is still there to read the offer.
    pub fn offer(&mut self, listener: &TcpListener) -> bool {
        let state = serde_json::Value::Null;
        self.send(
            &Message::Offer { share: 8, memory: None, accepts_begun_requests: false, state },
            listener.as_fd(),
        )
    }

    /// Hands over a client's connection.
    pub fn hand_over(&mut self, connection: &TcpStream) {
        assert!(self.send(&Message::Connection, connection.as_fd()), "the connection cannot be handed over");
    }

    fn send(&mut self, message: &Message, descriptor: BorrowedFd<'_>) -> bool {
        let bytes = message.encode();
        let mut control_space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut control_space);
        let descriptors = [descriptor];
        control.push(SendAncillaryMessage::ScmRights(&descriptors));
        let sent = sendmsg(&self.stream, &[IoSlice::new(&bytes)], &mut control, SendFlags::NOSIGNAL);
        sent.is_ok_and(|sent| self.stream.write_all(&bytes[sent..]).is_ok())
    }
}

/// The ids of requests that have arrived at servers: none may arrive twice.
#[derive(Default)]
pub struct ExecutedRequests(HashSet<String>);

impl ExecutedRequests {
    /// Records a request that has arrived.
    pub fn record(&mut self, request: &super::net::Message) {
        let id = request.header("x-request-id").expect("forwarded").to_owned();
        assert!(self.0.insert(id), "the request ran twice");
    }
}
