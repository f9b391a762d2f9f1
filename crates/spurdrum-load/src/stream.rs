//! A client's socket that the connection pool can inspect while hyper drives it.

use std::cell::Cell;
use std::io::{self, ErrorKind, IoSlice};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// One socket with several owners: hyper and the pool.
#[derive(Clone)]
pub struct SharedStream {
    socket: Rc<TcpStream>,
    next_write: Rc<Cell<NextWrite>>,
}

/// What happens to the next write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextWrite {
    /// The bytes are written.
    Allowed,
    /// The bytes are written unless the target has ended the connection by then.
    UnlessEnded,
    /// A write was refused, and so is every later one.
    Refused,
}

impl SharedStream {
    /// Wraps a socket.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        Self { socket: Rc::new(stream), next_write: Rc::new(Cell::new(NextWrite::Allowed)) }
    }

    /// Makes the next write, the beginning of a request, fail without writing anything if the target has
    /// ended the connection by then.
    pub fn write_unless_ended(&self) {
        self.next_write.set(NextWrite::UnlessEnded);
    }

    /// Returns whether nothing of that request was written because the connection had ended.
    #[must_use]
    pub fn was_refused(&self) -> bool {
        self.next_write.get() == NextWrite::Refused
    }

    /// Returns whether bytes may be written now.
    fn may_write(&self) -> bool {
        if self.next_write.get() == NextWrite::UnlessEnded {
            let next = if self.has_input() { NextWrite::Refused } else { NextWrite::Allowed };
            self.next_write.set(next);
        }
        !self.was_refused()
    }

    /// Returns whether the target has closed or reset the connection, or sent bytes that no request asked
    /// for. It peeks at the socket itself, because the event loop may not have been notified yet.
    #[must_use]
    pub fn has_input(&self) -> bool {
        let peeked = SockRef::from(&*self.socket).peek(&mut [MaybeUninit::uninit()]);
        !peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.socket.poll_read_ready(cx))?;
            match self.socket.try_read(buf.initialize_unfilled()) {
                Ok(bytes) => {
                    buf.advance(bytes);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if !self.may_write() {
            return Poll::Ready(Err(ErrorKind::ConnectionAborted.into()));
        }
        loop {
            ready!(self.socket.poll_write_ready(cx))?;
            match self.socket.try_write_vectored(buffers) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.socket).shutdown(Shutdown::Write))
    }
}
