//! The description of real sockets.

use std::io::Write;
use std::net::{TcpListener, TcpStream};

use super::*;

#[test]
fn a_connection_that_waits_to_be_accepted_is_distinguished_from_one_that_is_not_read() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let node = listener.local_addr().expect("bound");
    let mut client = TcpStream::connect(node).expect("connected");
    client.write_all(b"abc").expect("written");
    let from = client.local_addr().expect("connected");
    let waiting = of_node(node, Some(from));
    assert!(
        waiting.contains("with 1 to accept; the client's side: of a process, state 1, 0 bytes"),
        "{waiting}"
    );
    assert!(
        waiting.ends_with("the node's side: of no process, state 1, 0 bytes unacknowledged, 3 unread"),
        "{waiting}"
    );
    let accepted = listener.accept().expect("accepted");
    let unread = of_node(node, Some(from));
    assert!(unread.contains("with 0 to accept"), "{unread}");
    assert!(
        unread.ends_with("the node's side: of a process, state 1, 0 bytes unacknowledged, 3 unread"),
        "{unread}"
    );
    drop((accepted, listener));
    assert_eq!(of_node(node, None), "nothing listens");
}
