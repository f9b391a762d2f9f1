//! What is still owed, and to whom, when something ends: here a client that leaves.

use super::*;

/// Ends a connection with a reset.
fn reset(client: Client) {
    let stream = client.stream.into_inner();
    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("set");
}

/// A part of the next request must not hide that its client has left. Its server would have time for hours.
#[test]
fn a_client_that_leaves_behind_a_part_of_its_next_request_has_left() {
    let next = request("read", 3600.0);
    type Leave = fn(Client);
    let ways: [(&str, Leave); 2] = [("a close", drop), ("a reset", reset)];
    for (name, leave) in ways {
        for behind in [&next[..20], &next[..], &format!("{next}{}", "x".repeat(60_000))] {
            let server = Server::start();
            let node = Node::before(&[&server]);
            let mut client = node.client();
            // What comes in one piece with the request is with hyper, and what comes later is not.
            client.send(&format!("{}{}", request("read", 3600.0), &behind[..10]));
            let mut got = server.request();
            client.send(&behind[10..]);
            leave(client);
            got.await_end();
            assert!(!server.has_request(), "{name} behind {} bytes: more was sent for it", behind.len());
            served_by(&node, &server);
        }
    }
}

/// What is read to see whether a client is still there must reach its next requests whole.
#[test]
fn requests_that_come_ahead_of_an_answer_are_served_in_turn() {
    let server = Server::start();
    let node = Node::before(&[&server]);
    let mut client = node.client();
    let ahead: Vec<String> = (0..200).map(|_| request("update", 20.0)).collect();
    let all = ahead.concat();
    let (begun, rest) = all.split_at(ahead[0].len() + 10);
    client.send(begun);
    let mut first = Some(server.request());
    // More than is held beside a request that waits.
    client.send(rest);
    for sent in &ahead {
        let got = first.take().unwrap_or_else(|| server.request());
        let id = got.request.header("x-request-id").expect("passed on").to_owned();
        assert!(sent.contains(&format!("x-request-id: {id}\r\n")), "{id} out of turn");
        got.answer(OK, "", id.as_bytes());
        assert_eq!(client.answer().body, id.as_bytes());
    }
}
