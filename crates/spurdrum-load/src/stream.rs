//! A client's socket, which its pool can look at while hyper drives it.

use std::io::{self, ErrorKind, IoSlice};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// One socket with several owners.
#[derive(Clone)]
pub struct SharedStream(Rc<TcpStream>);

impl SharedStream {
    /// Shares this socket.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        Self(Rc::new(stream))
    }

    /// Whether the target has ended or broken the connection, or said something unasked. The socket itself is looked at: the event
    /// loop may not have heard of it yet.
    #[must_use]
    pub fn has_input(&self) -> bool {
        let seen = SockRef::from(&*self.0).peek(&mut [MaybeUninit::uninit()]);
        !seen.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read(buf.initialize_unfilled()) {
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
        pieces: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match self.0.try_write_vectored(pieces) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
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
        Poll::Ready(SockRef::from(&*self.0).shutdown(Shutdown::Write))
    }
}
