//! The time since the last data of real connections.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::thread;
use std::time::Duration;

use spurdrum_tcp_info::{since_last_data, unacknowledged_bytes};

#[test]
fn the_time_since_the_last_data_counts_from_its_arrival_whether_or_not_it_is_read() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let mut client = TcpStream::connect(listener.local_addr().expect("bound")).expect("connected");
    let (mut accepted, _) = listener.accept().expect("accepted");
    client.write_all(b"x").expect("written");
    let wait = Duration::from_millis(300);
    thread::sleep(wait);
    let tick = Duration::from_millis(10);
    assert!(since_last_data(&accepted).expect("read from the kernel") + tick >= wait);
    accepted.read_exact(&mut [0]).expect("read");
    assert!(since_last_data(&accepted).expect("read from the kernel") + tick >= wait);
    client.write_all(b"y").expect("written");
    accepted.read_exact(&mut [0]).expect("read");
    assert!(since_last_data(&accepted).expect("read from the kernel") < wait);
}

#[test]
fn a_socket_that_is_not_a_tcp_socket_is_an_error() {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("bound");
    assert!(since_last_data(&socket).is_err());
}

#[test]
fn what_a_peer_does_not_read_stays_unacknowledged() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let mut client = TcpStream::connect(listener.local_addr().expect("bound")).expect("connected");
    let (mut accepted, _) = listener.accept().expect("accepted");
    assert_eq!(unacknowledged_bytes(&client).expect("read from the kernel"), 0);
    client.set_nonblocking(true).expect("set");
    let mut written = 0;
    // The peer's system acknowledges only what it has room for.
    while let Ok(bytes) = client.write(&[0; 64 * 1024]) {
        written += bytes;
    }
    let waiting = unacknowledged_bytes(&client).expect("read from the kernel");
    assert!(waiting > 0 && waiting < written as u64, "{waiting} of {written}");
    accepted.read_exact(&mut vec![0; written]).expect("read");
    // The last acknowledgement may be under way.
    while unacknowledged_bytes(&client).expect("read from the kernel") > 0 {
        thread::yield_now();
    }
}
