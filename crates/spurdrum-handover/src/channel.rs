//! A channel of framed messages over a Unix socket, which also carries file descriptors (`SCM_RIGHTS`).

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{BorrowedFd, OwnedFd};

use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use tokio::io::Interest;
use tokio::net::UnixStream;

use crate::message::{Frames, Message};

/// The most file descriptors that one `recvmsg` call accepts.
const MAX_DESCRIPTORS_PER_READ: usize = 8;
/// The most received file descriptors whose messages have not arrived completely yet; a peer that sends more
/// is cut off.
const MAX_PENDING_DESCRIPTORS: usize = 64;

/// One end of the channel between the outgoing and the incoming process.
pub struct Channel {
    stream: UnixStream,
    frames: RefCell<Frames>,
    /// Received file descriptors whose messages have not been returned yet, in order of arrival.
    descriptors: RefCell<VecDeque<OwnedFd>>,
}

impl Channel {
    /// Opens a channel over a connected socket. The peer process must run as the same user.
    ///
    /// # Errors
    ///
    /// Fails if the peer runs as another user, or if its credentials cannot be read.
    pub fn new(stream: UnixStream) -> io::Result<Self> {
        // Without this check, another user could receive our clients' connections, or send us connections of
        // its own, where the socket lies in a shared directory.
        if stream.peer_cred()?.uid() != rustix::process::getuid().as_raw() {
            return Err(io::Error::other("the peer process runs as another user"));
        }
        Ok(Self { stream, frames: RefCell::default(), descriptors: RefCell::default() })
    }

    /// Waits for the next message. Returns it with its file descriptor if it carries one.
    pub async fn receive(&self) -> io::Result<(Message, Option<OwnedFd>)> {
        loop {
            if let Some(received) = self.next_message()? {
                return Ok(received);
            }
            self.stream.readable().await?;
            match self.stream.try_io(Interest::READABLE, || self.read()) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Err(error) if error.kind() != io::ErrorKind::WouldBlock => return Err(error),
                _ => {}
            }
        }
    }

    /// Returns the next message if it has arrived completely, with its file descriptor if it carries one.
    fn next_message(&self) -> io::Result<Option<(Message, Option<OwnedFd>)>> {
        let Some(message) = self.frames.borrow_mut().take().map_err(io::Error::other)? else {
            return Ok(None);
        };
        if !message.has_descriptor() {
            return Ok(Some((message, None)));
        }
        let descriptor = self.descriptors.borrow_mut().pop_front();
        let descriptor =
            descriptor.ok_or_else(|| io::Error::other("message arrived without its file descriptor"))?;
        Ok(Some((message, Some(descriptor))))
    }

    /// Reads the available bytes and file descriptors. Returns the number of bytes; 0 means that the peer has
    /// closed.
    fn read(&self) -> io::Result<usize> {
        let mut bytes = [0; 16 * 1024];
        let mut control_space =
            [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS_PER_READ))];
        let mut control = RecvAncillaryBuffer::new(&mut control_space);
        let mut buffers = [IoSliceMut::new(&mut bytes)];
        let received = recvmsg(&self.stream, &mut buffers, &mut control, RecvFlags::CMSG_CLOEXEC)?;
        let mut descriptors = self.descriptors.borrow_mut();
        for message in control.drain() {
            if let RecvAncillaryMessage::ScmRights(rights) = message {
                descriptors.extend(rights);
            }
        }
        if descriptors.len() > MAX_PENDING_DESCRIPTORS {
            return Err(io::Error::other("too many file descriptors received before their messages"));
        }
        self.frames.borrow_mut().push(&bytes[..received.bytes]);
        Ok(received.bytes)
    }

    /// Sends a message, with its file descriptor if it carries one.
    pub async fn send(&self, message: &Message, descriptor: Option<BorrowedFd<'_>>) -> io::Result<()> {
        let bytes = message.encode();
        let (mut rest, mut descriptor) = (&bytes[..], descriptor);
        while !rest.is_empty() {
            self.stream.writable().await?;
            match self.stream.try_io(Interest::WRITABLE, || self.write(rest, descriptor)) {
                Ok(written) => {
                    // `sendmsg` has sent the descriptor with the first byte.
                    descriptor = None;
                    rest = &rest[written..];
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Writes as many bytes as the socket's buffer takes, with the file descriptor if there is one. Returns
    /// their number.
    fn write(&self, bytes: &[u8], descriptor: Option<BorrowedFd<'_>>) -> io::Result<usize> {
        let mut control_space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut control_space);
        let descriptors: Vec<_> = descriptor.into_iter().collect();
        if !descriptors.is_empty() {
            control.push(SendAncillaryMessage::ScmRights(&descriptors));
        }
        Ok(sendmsg(&self.stream, &[IoSlice::new(bytes)], &mut control, SendFlags::NOSIGNAL)?)
    }
}
