//! A scripted incoming process: it is offered the listening socket, and confirms when the test asks it to.

use std::collections::VecDeque;
use std::io::{IoSliceMut, Write};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;

use rustix::net::{recvmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags};
use spurdrum_handover::{Frames, Identity, Message, FORMAT};

use super::net::{node_directory, LONG};

/// The incoming process's end of a handover connection.
pub struct Incoming {
    stream: UnixStream,
    frames: Frames,
    descriptors: VecDeque<OwnedFd>,
}

impl Incoming {
    /// Connects to the handover socket of the process that serves this address and receives its listening
    /// socket. Nothing is confirmed yet.
    pub fn take_offer(address: SocketAddr) -> (Self, TcpListener) {
        let name = format!("spurdrum-{}.sock", address.to_string().replace(':', "-"));
        let stream =
            UnixStream::connect(node_directory(address).join(name)).expect("handover socket reachable");
        stream.set_read_timeout(Some(LONG)).expect("set");
        let mut incoming = Self { stream, frames: Frames::default(), descriptors: VecDeque::new() };
        incoming.send(&Message::Hello(Identity {
            format: FORMAT,
            name: "n0".into(),
            listen: address.to_string(),
            accepts_requests: true,
            accepts_memory_shares: true,
            accepts_begun_requests: true,
        }));
        match incoming.receive() {
            Some((Message::Offer { .. }, Some(listener))) => (incoming, listener.into()),
            other => panic!("expected an offer, got {other:?}"),
        }
    }

    /// Confirms that this process accepts connections on the listening socket too.
    pub fn confirm(&mut self) {
        self.send(&Message::Confirm);
    }

    /// Returns the next connection that is handed over, or none if the outgoing process has ended.
    pub fn connection(&mut self) -> Option<TcpStream> {
        loop {
            if let (Message::Connection, descriptor) = self.receive()? {
                return descriptor.map(TcpStream::from);
            }
        }
    }

    /// Returns the next connection that is handed over together with a request already read from it, and the
    /// bytes read.
    pub fn request(&mut self) -> (TcpStream, Vec<u8>) {
        loop {
            match self.receive().expect("the request is not handed over") {
                (Message::Request { read }, Some(descriptor)) => return (descriptor.into(), read),
                (message, _) => assert!(
                    !message.has_descriptor(),
                    "a connection is handed over without its request: {message:?}"
                ),
            }
        }
    }

    /// Returns a connection that has been handed over by now, if there is one.
    pub fn poll_connection(&mut self) -> Option<TcpStream> {
        loop {
            while let Some((message, descriptor)) = self.next_message() {
                if message == Message::Connection {
                    return descriptor.map(TcpStream::from);
                }
            }
            if !matches!(self.read(RecvFlags::DONTWAIT), Ok(1..)) {
                return None;
            }
        }
    }

    fn send(&mut self, message: &Message) {
        self.stream.write_all(&message.encode()).expect("sent");
    }

    fn receive(&mut self) -> Option<(Message, Option<OwnedFd>)> {
        loop {
            if let Some(next) = self.next_message() {
                return Some(next);
            }
            if self.read(RecvFlags::empty()).expect("readable") == 0 {
                return None;
            }
        }
    }

    fn next_message(&mut self) -> Option<(Message, Option<OwnedFd>)> {
        let message = self.frames.take().expect("valid frames")?;
        let descriptor = message.has_descriptor().then(|| self.descriptors.pop_front()).flatten();
        Some((message, descriptor))
    }

    fn read(&mut self, flags: RecvFlags) -> std::io::Result<usize> {
        let mut bytes = [0; 4096];
        let mut control_space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(8))];
        let mut control = RecvAncillaryBuffer::new(&mut control_space);
        let mut buffers = [IoSliceMut::new(&mut bytes)];
        let received = recvmsg(&self.stream, &mut buffers, &mut control, flags)?;
        for message in control.drain() {
            if let RecvAncillaryMessage::ScmRights(descriptors) = message {
                self.descriptors.extend(descriptors);
            }
        }
        self.frames.push(&bytes[..received.bytes]);
        Ok(received.bytes)
    }
}
