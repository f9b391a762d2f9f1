//! Sockets as hyper drives them, while their owners still hold them.

use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// What owns a socket.
pub trait Socket {
    /// The socket itself.
    fn stream(&self) -> &TcpStream;

    /// Moves into `buf` what was read of the socket before hyper asked for it. Whether there was any.
    fn take_kept(&self, _buf: &mut ReadBuf<'_>) -> bool {
        false
    }

    /// Bytes have just been read from the socket itself.
    fn was_read(&self) {}

    /// These bytes have come and go to hyper next.
    fn came(&self, _bytes: &[u8]) {}

    /// So many bytes have been written.
    fn went(&self, _bytes: usize) {}

    /// Everything that hyper had has been written.
    fn flushed(&self) {}
}

/// Whether something has come that nobody has read: bytes, an end or an error. The socket itself is looked at:
/// the event loop may not yet have heard of it.
pub fn has_input(stream: &TcpStream) -> bool {
    !peek(stream).is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

/// Whether the next thing to be read is an end or an error.
pub fn is_closed(stream: &TcpStream) -> bool {
    match peek(stream) {
        Ok(bytes) => bytes == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

fn peek(stream: &TcpStream) -> io::Result<usize> {
    SockRef::from(stream).peek(&mut [std::mem::MaybeUninit::uninit()])
}

/// hyper's side of a socket.
pub struct Io<S>(pub Rc<S>);

impl<S: Socket> AsyncRead for Io<S> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let stream = self.0.stream();
        let filled = buf.filled().len();
        if self.0.take_kept(buf) {
            self.0.came(&buf.filled()[filled..]);
            return Poll::Ready(Ok(()));
        }
        loop {
            ready!(stream.poll_read_ready(cx))?;
            let unfilled = buf.initialize_unfilled();
            match stream.try_read(unfilled) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
                Ok(n) => {
                    self.0.was_read();
                    self.0.came(&unfilled[..n]);
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
                        self.0.went(bytes);
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
