//! An outgoing process that the test plays: it hears the incoming one and offers the listening socket when the test wants it to.

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

/// Where the process that serves this address is called.
fn path(address: SocketAddr) -> PathBuf {
    let name = format!("spurdrum-{}.sock", address.to_string().replace(':', "-"));
    node_directory(address).join(name)
}

/// How many have called the process that serves this address and are not accepted yet: the kernel shows them as 02, under the name
/// that the socket was bound to.
pub fn calls_waiting(address: SocketAddr) -> usize {
    let name = path(address).with_extension("").to_string_lossy().into_owned();
    let sockets = std::fs::read_to_string("/proc/net/unix").expect("Linux");
    let waiting = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        fields.get(5) == Some(&"02") && fields.get(7).is_some_and(|of| of.starts_with(&name))
    };
    sockets.lines().filter(|line| waiting(line)).count()
}

/// A process that serves an address and can be called.
pub struct Outgoing {
    calls: UnixListener,
    /// Its listening socket.
    pub listener: TcpListener,
}

impl Outgoing {
    /// Listens, and can be called; it accepts neither clients nor calls by itself.
    pub fn start(address: SocketAddr) -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("made");
        socket.set_reuse_address(true).expect("set");
        // As a node's: one that does not take over can listen beside it.
        socket.set_reuse_port(true).expect("set");
        socket.bind(&address.into()).and_then(|()| socket.listen(64)).expect("listening");
        let calls = UnixListener::bind(path(address)).expect("can be called");
        calls.set_nonblocking(true).expect("set");
        Self { calls, listener: socket.into() }
    }

    /// The next call, and its first word.
    pub fn called(&self) -> Call {
        let mut stream = None;
        wait_until("nobody calls", || {
            stream = self.calls.accept().ok();
            stream.is_some()
        });
        let (stream, _) = stream.expect("accepted");
        stream.set_nonblocking(false).expect("set");
        stream.set_read_timeout(Some(LONG)).expect("set");
        Call { stream, frames: Frames::default() }
    }
}

/// The outgoing end of a handover.
pub struct Call {
    stream: UnixStream,
    frames: Frames,
}

impl Call {
    /// What the incoming process says next; none where it has given up.
    pub fn next(&mut self) -> Option<Message> {
        loop {
            if let Some(message) = self.frames.take().expect("sound") {
                return Some(message);
            }
            let mut bytes = [0; 4096];
            // What it never read breaks the channel as it ends.
            let got = self.stream.read(&mut bytes).unwrap_or(0);
            if got == 0 {
                return None;
            }
            self.frames.push(&bytes[..got]);
        }
    }

    /// Offers the listening socket; whether the incoming process is still there to read it.
    pub fn offer(&mut self, listener: &TcpListener) -> bool {
        let state = serde_json::Value::Null;
        self.say(&Message::Offer { share: 8, state }, listener.as_fd())
    }

    /// Hands over a client's connection.
    pub fn pass(&mut self, connection: &TcpStream) {
        assert!(self.say(&Message::Connection, connection.as_fd()), "it can be handed over");
    }

    fn say(&mut self, message: &Message, descriptor: BorrowedFd<'_>) -> bool {
        let bytes = message.encode();
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        let descriptors = [descriptor];
        control.push(SendAncillaryMessage::ScmRights(&descriptors));
        let sent = sendmsg(&self.stream, &[IoSlice::new(&bytes)], &mut control, SendFlags::NOSIGNAL);
        sent.is_ok_and(|sent| self.stream.write_all(&bytes[sent..]).is_ok())
    }
}

/// The requests that have come to servers: none comes twice.
#[derive(Default)]
pub struct Ran(HashSet<String>);

impl Ran {
    /// Counts a request that has come.
    pub fn count(&mut self, request: &super::net::Message) {
        let id = request.header("x-request-id").expect("passed on").to_owned();
        assert!(self.0.insert(id), "it ran twice");
    }
}
