//! Adapts a socket to hyper's I/O traits while its owner keeps access to it.

use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

/// The owner of a socket that hyper reads and writes.
pub trait Socket {
    /// Returns the socket itself.
    fn stream(&self) -> &TcpStream;

    /// Returns how many of the `capacity` bytes that hyper has room for may be read from the socket now, or
    /// none if there is no memory for any.
    fn read_limit(&self, capacity: usize) -> Option<usize> {
        Some(capacity)
    }

    /// Called when input is left in the socket because nothing may be read. The task of `cx` is to be woken
    /// when that changes.
    fn defer_read(&self, _cx: &Context<'_>) {}

    /// Moves bytes into `buf` that were read from the socket before hyper asked for them. Returns whether
    /// there were any.
    fn take_prefetched(&self, _buf: &mut ReadBuf<'_>) -> bool {
        false
    }

    /// Called after this many bytes have been read from the socket itself.
    fn received_from_socket(&self, _bytes: usize) {}

    /// Called when a read has found nothing in the socket.
    fn found_empty(&self) {}

    /// Called with the bytes that are given to hyper next.
    fn received(&self, _bytes: &[u8]) {}

    /// Called after this many bytes have been written.
    fn written(&self, _bytes: usize) {}

    /// Called when everything that hyper had to write has been written.
    fn flushed(&self) {}
}

/// Returns whether the socket holds unread input: bytes, an end of stream or an error. This peeks at the
/// socket itself, as the event loop may not have been notified yet.
pub fn has_input(stream: &TcpStream) -> bool {
    !peek(stream).is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

/// Returns whether the next read will yield an end of stream or an error.
pub fn is_closed(stream: &TcpStream) -> bool {
    match peek(stream) {
        Ok(bytes) => bytes == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

fn peek(stream: &TcpStream) -> io::Result<usize> {
    SockRef::from(stream).peek(&mut [std::mem::MaybeUninit::uninit()])
}

/// Makes the event loop wait for new input: the socket has turned out to hold none.
fn clear_readiness(stream: &TcpStream) {
    let _ = stream.try_io(Interest::READABLE, || Err::<(), _>(io::ErrorKind::WouldBlock.into()));
}

/// The I/O object that is given to hyper.
pub struct Io<S>(pub Rc<S>);

impl<S: Socket> AsyncRead for Io<S> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let stream = self.0.stream();
        let filled = buf.filled().len();
        if self.0.take_prefetched(buf) {
            self.0.received(&buf.filled()[filled..]);
            return Poll::Ready(Ok(()));
        }
        loop {
            ready!(stream.poll_read_ready(cx))?;
            let limit = match self.0.read_limit(buf.remaining()) {
                Some(limit) => limit,
                None => match peek(stream) {
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                        self.0.found_empty();
                        clear_readiness(stream);
                        continue;
                    }
                    Ok(bytes) if bytes > 0 => {
                        self.0.defer_read(cx);
                        return Poll::Pending;
                    }
                    // The end of the stream and errors take no memory.
                    _ => buf.remaining(),
                },
            };
            let unfilled = buf.initialize_unfilled_to(limit);
            match stream.try_read(unfilled) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => self.0.found_empty(),
                Err(error) => return Poll::Ready(Err(error)),
                Ok(n) => {
                    self.0.received_from_socket(n);
                    self.0.received(&unfilled[..n]);
                    buf.advance(n);
                    return Poll::Ready(Ok(()));
                }
            }
        }
    }
}

impl<S: Socket> AsyncWrite for Io<S> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[io::IoSlice::new(buf)])
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let stream = self.0.stream();
        loop {
            ready!(stream.poll_write_ready(cx))?;
            match stream.try_write_vectored(bufs) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => {
                    if let Ok(bytes) = result {
                        self.0.written(bytes);
                    }
                    return Poll::Ready(result);
                }
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(self.0.stream()).shutdown(Shutdown::Write))
    }
}
