//! An incoming process that the test plays: it is offered the listening socket, and confirms when the test wants it to.

use std::collections::VecDeque;
use std::io::{IoSliceMut, Write};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;

use rustix::net::{recvmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags};
use spurdrum_handover::{Frames, Identity, Message, FORMAT};

use super::net::{node_directory, LONG};

/// The incoming end of a handover.
pub struct Incoming {
    stream: UnixStream,
    frames: Frames,
    descriptors: VecDeque<OwnedFd>,
}

impl Incoming {
    /// Calls the process that serves this address, and takes its listening socket. Nothing is confirmed yet.
    pub fn offered(address: SocketAddr) -> (Self, TcpListener) {
        let name = format!("spurdrum-{}.sock", address.to_string().replace(':', "-"));
        let stream = UnixStream::connect(node_directory(address).join(name)).expect("it can be called");
        stream.set_read_timeout(Some(LONG)).expect("set");
        let mut incoming = Self { stream, frames: Frames::default(), descriptors: VecDeque::new() };
        incoming.say(&Message::Hello(Identity {
            format: FORMAT,
            name: "n0".into(),
            listen: address.to_string(),
            accepts_requests: true,
        }));
        match incoming.next() {
            Some((Message::Offer { .. }, Some(listener))) => (incoming, listener.into()),
            other => panic!("no offer but {other:?}"),
        }
    }

    /// Confirms that the listening socket is used here as well.
    pub fn confirm(&mut self) {
        self.say(&Message::Confirm);
    }

    /// The next connection that is handed over; none where the outgoing process has ended.
    pub fn connection(&mut self) -> Option<TcpStream> {
        loop {
            if let (Message::Connection, descriptor) = self.next()? {
                return descriptor.map(TcpStream::from);
            }
        }
    }

    /// The next connection that is handed over with a request that was read from it.
    pub fn request(&mut self) -> (TcpStream, Vec<u8>) {
        loop {
            match self.next().expect("it is not handed over") {
                (Message::Request { read }, Some(descriptor)) => return (descriptor.into(), read),
                (message, _) => assert!(!message.has_descriptor(), "it is handed over unread: {message:?}"),
            }
        }
    }

    /// A connection that has been handed over by now, if one has.
    pub fn poll_connection(&mut self) -> Option<TcpStream> {
        loop {
            while let Some((message, descriptor)) = self.take() {
                if message == Message::Connection {
                    return descriptor.map(TcpStream::from);
                }
            }
            if !matches!(self.read(RecvFlags::DONTWAIT), Ok(1..)) {
                return None;
            }
        }
    }

    fn say(&mut self, message: &Message) {
        self.stream.write_all(&message.encode()).expect("sent");
    }

    fn next(&mut self) -> Option<(Message, Option<OwnedFd>)> {
        loop {
            if let Some(next) = self.take() {
                return Some(next);
            }
            if self.read(RecvFlags::empty()).expect("it says more") == 0 {
                return None;
            }
        }
    }

    fn take(&mut self) -> Option<(Message, Option<OwnedFd>)> {
        let message = self.frames.take().expect("sound")?;
        let descriptor = message.has_descriptor().then(|| self.descriptors.pop_front()).flatten();
        Some((message, descriptor))
    }

    fn read(&mut self, flags: RecvFlags) -> std::io::Result<usize> {
        let mut bytes = [0; 4096];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(8))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let mut pieces = [IoSliceMut::new(&mut bytes)];
        let got = recvmsg(&self.stream, &mut pieces, &mut control, flags)?;
        for message in control.drain() {
            if let RecvAncillaryMessage::ScmRights(descriptors) = message {
                self.descriptors.extend(descriptors);
            }
        }
        self.frames.push(&bytes[..got.bytes]);
        Ok(got.bytes)
    }
}
