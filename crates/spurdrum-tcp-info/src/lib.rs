//! Reads the state of a TCP connection in the kernel: the socket option `TCP_INFO`, and what the peer has not
//! acknowledged.
//!
//! The code is unsafe because neither socket2 nor rustix, which the other packages use, has a safe interface
//! to these. Each is one system call that fills a structure of integers or an integer.

use std::io;
use std::mem::{size_of, MaybeUninit};
use std::os::fd::{AsFd, AsRawFd};
use std::time::Duration;

/// Returns how long ago the last data arrived on a connection, whether or not it has been read. The kernel
/// counts in ticks of up to 10 ms.
///
/// # Errors
///
/// The socket is not a TCP socket, or the system call fails.
pub fn since_last_data(socket: impl AsFd) -> io::Result<Duration> {
    let mut info = MaybeUninit::<libc::tcp_info>::zeroed();
    let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the descriptor is open while it is borrowed, and the kernel writes at most `length` bytes, the
    // size of `info`.
    let result = unsafe {
        libc::getsockopt(
            socket.as_fd().as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            info.as_mut_ptr().cast(),
            &mut length,
        )
    };
    if result != 0 {
        return Err(io::Error::last_os_error());
    }
    // SAFETY: `info` consists of integers, which are zero where the kernel has not written them.
    let info = unsafe { info.assume_init() };
    Ok(Duration::from_millis(info.tcpi_last_data_recv.into()))
}

/// Returns how many of the bytes written to a connection its peer has not acknowledged, sent or not.
///
/// # Errors
///
/// The socket has no such count, or the system call fails.
pub fn unacknowledged_bytes(socket: impl AsFd) -> io::Result<u64> {
    let mut bytes: libc::c_int = 0;
    // SAFETY: the descriptor is open while it is borrowed, and the kernel writes one `int`, which lives until
    // the call returns.
    let result =
        unsafe { libc::ioctl(socket.as_fd().as_raw_fd(), libc::TIOCOUTQ, std::ptr::from_mut(&mut bytes)) };
    if result != 0 {
        return Err(io::Error::last_os_error());
    }
    Ok(u64::try_from(bytes).unwrap_or_default())
}
