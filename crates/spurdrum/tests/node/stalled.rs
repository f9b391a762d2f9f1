//! One process takes over from another while one of them, or both, stand still, as on a busy machine: a process that is not running
//! has neither gone nor been slow to answer. The order of events is forced; times are the least that the order needs.

use super::incoming::Incoming;
use super::ops::{admin_call, config_with_admin};
use super::outgoing::{calls_waiting, Call, Outgoing, Ran};
use super::*;

use spurdrum_handover::Message as Handover;

/// A pause of an outgoing process.
const STALL: Duration = Duration::from_millis(1_300);
/// A pause of an incoming process: longer than it waits for an answer.
const LONG_STALL: Duration = Duration::from_millis(4_300);

/// A node's configuration with aims as long as its clients wait: what stands still here is the node, and no request is to be
/// refused for that.
fn patient(servers: &[&Server]) -> (Value, SocketAddr) {
    let (mut config, ops) = config_with_admin(servers);
    for class in config["settings"]["classes"].as_array_mut().expect("a list") {
        (class["deadline_ms"], class["promise_ms"]) = (json!(20_000.0), json!(20_000.0));
    }
    (config, ops)
}

/// Waits until a process says yes.
fn ready(ops: SocketAddr) {
    wait_until("it is not ready", || {
        TcpStream::connect(ops).is_ok() && admin_call(ops, "readyz").starts_with("YES")
    });
}

/// Told to a process that is to take over: it needs no answer of discovery.
const AT_ONCE: &str = "[sources.catalog]\nready_within_ms = 1\n";

/// The request of a client that has sent one, at the server; a client that is refused or cut off fails the test at once.
fn arrived(client: &Client, server: &Server, ran: &mut Ran, who: &str) -> Exchange {
    let exchange =
        forwarded_or_answered(client, server).unwrap_or_else(|| panic!("{who}: it is not sent on"));
    ran.count(&exchange.request);
    exchange
}

/// The answer, which must leave the connection open.
fn goes_on(client: &mut Client, who: &str) {
    let answer = Message::read(&mut client.stream).unwrap_or_else(|| panic!("{who}: no whole answer"));
    assert_eq!((answer.status(), answer.header("connection")), (200, None), "{who}");
}

/// One request from end to end on a client's connection, which must go on.
fn serve(client: &mut Client, server: &Server, ran: &mut Ran, who: &str) {
    client.send(&request("update", 20.0));
    arrived(client, server, ran, who).answer(OK, "", b"served");
    goes_on(client, who);
}

/// The clients of a node when its process is replaced.
struct Clients {
    server: Server,
    ran: Ran,
    resting: Client,
    asking: Client,
    open: Option<Exchange>,
}

impl Clients {
    /// One client that rests between two requests, and one whose request is at the server.
    fn of(node: &Node, server: Server) -> Self {
        let (mut ran, mut resting, mut asking) = (Ran::default(), node.client(), node.client());
        serve(&mut resting, &server, &mut ran, "before");
        asking.send(&request("pay", 20.0));
        let open = Some(arrived(&asking, &server, &mut ran, "before"));
        Self { server, ran, resting, asking, open }
    }

    /// The old process is told to end while another serves: every client goes on, on the connection that it has.
    fn go_on_past(mut self, mut old: Node, mut anew: Vec<Client>) {
        let (server, ran) = (&self.server, &mut self.ran);
        for client in &mut anew {
            serve(client, server, ran, "who came while it stood still");
        }
        // It rests anew, however long the stop was.
        serve(&mut self.resting, server, ran, "who rested while it stood still");
        old.terminate();
        let mut next = old.client();
        serve(&mut next, server, ran, "who comes after the signal");
        self.open.take().expect("open").answer(OK, "", b"late");
        goes_on(&mut self.asking, "who asked before the signal");
        serve(&mut self.resting, server, ran, "who rested");
        serve(&mut self.asking, server, ran, "who was answered");
        assert!(old.wait().success());
        for client in anew.iter_mut().chain([&mut self.resting, &mut self.asking, &mut next]) {
            serve(client, server, ran, "once the old process has gone");
        }
        assert!(!server.has_request(), "it ran twice");
    }
}

/// A replacement whose outgoing process stands still from before the incoming one starts until so long after its call.
fn replaced_while_the_old_process_stands_still(stall: Duration) {
    let server = Server::start();
    let (config, _) = patient(&[&server]);
    let old = Node::start(&config);
    let clients = Clients::of(&old, server);
    old.pause();
    let ops = own_address();
    let _new = old.start_second_process(&config, ops);
    wait_until("the new process does not call", || calls_waiting(old.address) > 0);
    let anew = (0..2).map(|_| old.client()).collect();
    std::thread::sleep(stall);
    old.resume();
    ready(ops);
    clients.go_on_past(old, anew);
}

/// Guards against an incoming process that takes a stopped one for none, and listens beside it.
#[test]
fn an_outgoing_process_that_stands_still_for_longer_than_it_is_waited_for_is_taken_over_from() {
    replaced_while_the_old_process_stands_still(STALL);
}

/// Guards against a wait that was only made a little longer.
#[test]
fn an_outgoing_process_that_stands_still_for_three_seconds_is_taken_over_from() {
    replaced_while_the_old_process_stands_still(Duration::from_secs(3));
}

/// A scripted process that has a client, and the real one that is to take over from it.
struct Scripted {
    server: Server,
    outgoing: Outgoing,
    client: Client,
    connection: TcpStream,
    new: Node,
    ops: SocketAddr,
}

impl Scripted {
    fn start() -> Self {
        let address = own_address();
        Self::start_with(address, |command| add_config_file(command, address, AT_ONCE))
    }

    fn start_with(address: SocketAddr, tell: impl FnOnce(&mut std::process::Command)) -> Self {
        let server = Server::start();
        let (config, ops) = patient(&[&server]);
        let outgoing = Outgoing::start(address);
        let client = Client::connect(address);
        let (connection, _) = outgoing.listener.accept().expect("accepted");
        let new = Node::spawn_at(address, &config, ops, tell);
        Self { server, outgoing, client, connection, new, ops }
    }

    /// The incoming process has called, and says who it is.
    fn greeted(&self) -> Call {
        let mut call = self.outgoing.called();
        assert!(matches!(call.next(), Some(Handover::Hello(_))));
        call
    }

    /// The offer is confirmed, the client is handed over and served, and the listening socket is shared.
    fn takes_over(mut self, mut call: Call) {
        let offered = call.offer(&self.outgoing.listener);
        self.takes_over_what_was_offered(call, offered);
    }

    fn takes_over_what_was_offered(&mut self, mut call: Call, offered: bool) {
        let confirmed = if offered { call.next() } else { None };
        assert_eq!(confirmed, Some(Handover::Confirm), "it says: {}", self.new.next_log_line());
        ready(self.ops);
        call.pass(&self.connection);
        let (server, mut ran) = (&self.server, Ran::default());
        serve(&mut self.client, server, &mut ran, "who is handed over");
        serve(&mut self.new.client(), server, &mut ran, "who connects anew");
        drop(call);
        serve(&mut self.client, server, &mut ran, "who was handed over");
    }
}

/// Guards against an incoming process that counts its own pause against the other: the answer has come when it goes on.
#[test]
fn an_incoming_process_that_stands_still_between_its_call_and_the_answer_takes_over() {
    let mut scripted = Scripted::start();
    let mut call = scripted.greeted();
    // Stopped in its wait for events, it hears of the time before it hears of the answer.
    wait_until("it does not wait", || scripted.new.state() == Some('S'));
    scripted.new.pause();
    std::thread::sleep(LONG_STALL);
    let offered = call.offer(&scripted.outgoing.listener);
    scripted.new.resume();
    scripted.takes_over_what_was_offered(call, offered);
}

/// Guards against the same where the answer comes only after the pause.
#[test]
fn an_incoming_process_that_stood_still_waits_for_an_answer_afterwards() {
    let scripted = Scripted::start();
    let call = scripted.greeted();
    scripted.new.pause();
    std::thread::sleep(LONG_STALL);
    scripted.new.resume();
    std::thread::sleep(Duration::from_millis(50));
    scripted.takes_over(call);
}

/// Guards against a pause before the call that spoils it: the process stops while it waits for the rest of its file.
#[test]
fn an_incoming_process_that_stands_still_before_its_call_takes_over() {
    let address = own_address();
    let pipe = node_directory(address).join("told.toml");
    let made = std::process::Command::new("mkfifo").arg(&pipe).status();
    assert!(made.expect("made").success());
    let scripted = Scripted::start_with(address, |command| {
        command.arg("--config").arg(&pipe);
    });
    // It opens when the process reads.
    let mut told = std::fs::OpenOptions::new().write(true).open(&pipe).expect("opened");
    scripted.new.pause();
    told.write_all(AT_ONCE.as_bytes()).expect("told");
    drop(told);
    std::thread::sleep(LONG_STALL);
    assert_eq!(calls_waiting(address), 0);
    scripted.new.resume();
    let call = scripted.greeted();
    scripted.takes_over(call);
}

/// Guards against an incoming process that listens beside one that has accepted its call and answers late.
#[test]
fn a_call_that_is_answered_late_is_waited_for() {
    let scripted = Scripted::start();
    let call = scripted.greeted();
    std::thread::sleep(Duration::from_millis(2_500));
    scripted.takes_over(call);
}

/// Guards against an incoming process that listens beside one that has heard its call only late.
#[test]
fn a_call_that_is_accepted_late_is_waited_for() {
    let scripted = Scripted::start();
    let address = scripted.new.address;
    wait_until("the new process does not call", || calls_waiting(address) > 0);
    std::thread::sleep(Duration::from_millis(2_500));
    let call = scripted.greeted();
    scripted.takes_over(call);
}

/// Both stand still after the call; which goes on first is the argument.
fn both_stand_still(old_first: bool) {
    let server = Server::start();
    let (config, _) = patient(&[&server]);
    let old = Node::start(&config);
    let clients = Clients::of(&old, server);
    old.pause();
    let ops = own_address();
    let new = old.start_second_process(&config, ops);
    wait_until("the new process does not call", || calls_waiting(old.address) > 0);
    new.pause();
    std::thread::sleep(STALL);
    let (first, second) = if old_first { (&old, &new) } else { (&new, &old) };
    first.resume();
    std::thread::sleep(Duration::from_millis(100));
    second.resume();
    ready(ops);
    clients.go_on_past(old, Vec::new());
}

/// Guards against a pause of the incoming process that counts against an answer which has come.
#[test]
fn where_both_stand_still_and_the_old_one_goes_on_first_it_is_taken_over_from() {
    both_stand_still(true);
}

/// Guards against an incoming process that gives up as it goes on, before the other one can.
#[test]
fn where_both_stand_still_and_the_new_one_goes_on_first_it_takes_over() {
    both_stand_still(false);
}

/// The request that a client has sent on a connection that was handed over, answered here in place of a process.
fn answer_by_hand(connection: TcpStream) {
    connection.set_nonblocking(false).expect("set");
    connection.set_read_timeout(Some(LONG)).expect("set");
    let mut reader = std::io::BufReader::new(connection.try_clone().expect("cloned"));
    Message::read(&mut reader).expect("a request");
    let mut writer = connection;
    writer.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nhere").expect("answered");
}

/// Whether a client's connection has been ended by now.
fn has_ended(client: &Client) -> bool {
    let stream = client.stream.get_ref();
    stream.set_nonblocking(true).expect("set");
    let seen = stream.peek(&mut [0; 1]).map_err(|error| error.kind());
    stream.set_nonblocking(false).expect("set");
    !matches!(seen, Ok(1..) | Err(std::io::ErrorKind::WouldBlock))
}

/// The next connection is handed over, and it is this client's.
fn handed_over(incoming: &mut Incoming, client: &mut Client, who: &str) {
    let mut connection = None;
    wait_until("it is not handed over", || {
        connection = incoming.poll_connection();
        assert!(connection.is_some() || !has_ended(client), "{who}: it is closed, not handed over");
        connection.is_some()
    });
    let connection = connection.expect("handed over");
    assert_eq!(connection.peer_addr().ok(), client.stream.get_ref().local_addr().ok(), "{who}");
    client.send(&request("update", 20.0));
    answer_by_hand(connection);
    goes_on(client, who);
}

/// Guards against a wait for the confirmation that counts time in which the process was not running: it ran for 50 ms here.
#[test]
fn a_confirmation_that_comes_while_the_ending_process_stands_still_hands_over() {
    let server = Server::start();
    let (config, _) = patient(&[&server]);
    let mut old = Node::start(&config);
    let mut clients = Clients::of(&old, server);
    let (mut incoming, _listener) = Incoming::offered(old.address);
    old.pause();
    old.terminate();
    std::thread::sleep(Duration::from_millis(400));
    old.resume();
    std::thread::sleep(Duration::from_millis(50));
    old.pause();
    incoming.confirm();
    std::thread::sleep(Duration::from_millis(400));
    old.resume();
    handed_over(&mut incoming, &mut clients.resting, "who rested");
    clients.open.take().expect("open").answer(OK, "", b"late");
    goes_on(&mut clients.asking, "who asked before the signal");
    handed_over(&mut incoming, &mut clients.asking, "who was answered");
    assert!(old.wait().success());
    assert!(incoming.connection().is_none());
    assert!(!clients.server.has_request(), "it ran twice");
}

/// Guards against an ending process that takes its own pause for a time in which nobody connects, and resets who waits to be accepted.
#[test]
fn who_connects_while_an_ending_process_stands_still_is_answered() {
    let server = Server::start();
    let (config, ops) = config_with_admin(&[&server]);
    let mut node = Node::start(&config);
    node.terminate();
    wait_until("it is not ending", || admin_call(ops, "readyz") == "NO ending\n");
    node.pause();
    let mut clients: Vec<_> = (0..4).map(|_| node.client()).collect();
    clients.iter_mut().for_each(|client| client.send(&request("update", 20.0)));
    std::thread::sleep(Duration::from_millis(900));
    node.resume();
    let mut ran = Ran::default();
    for client in &clients {
        arrived(client, &server, &mut ran, "who connected meanwhile").answer(OK, "", b"served");
    }
    for client in &mut clients {
        let answer = Message::read(&mut client.stream).expect("a whole answer");
        assert_eq!(answer.status(), 200);
    }
    assert!(node.wait().success());
}

/// Longer than a process with a longest deadline of 2 s has to end: 2.6 s.
const PAST_THE_END: Duration = Duration::from_millis(2_800);

/// Guards against a process that goes on past its own deadline and ends at once: what it owes is owed still.
#[test]
fn a_process_that_stands_still_past_its_end_hands_over_and_gives_its_last_answers() {
    let server = Server::start();
    let (config, ops) = config_with_admin(&[&server]);
    let mut old = Node::start(&config);
    let mut clients = Clients::of(&old, server);
    let (mut incoming, _listener) = Incoming::offered(old.address);
    old.terminate();
    // It has begun to count, and waits for the confirmation still.
    wait_until("it is not ending", || admin_call(ops, "readyz") == "NO ending\n");
    old.pause();
    incoming.confirm();
    std::thread::sleep(PAST_THE_END);
    old.resume();
    handed_over(&mut incoming, &mut clients.resting, "who rested");
    // The server says nothing: it may have run.
    let last = Message::read(&mut clients.asking.stream).expect("a last answer");
    assert_eq!(last.status(), 504);
    assert!(old.wait().success());
    assert!(!clients.server.has_request(), "it was sent again");
}

/// Guards against a process that goes on past its end and begins what it reads only then, with no time left to answer it.
#[test]
fn a_process_that_stands_still_past_its_end_hands_over_unread_what_has_come_meanwhile() {
    let server = Server::start();
    let (config, ops) = config_with_admin(&[&server]);
    let mut old = Node::start(&config);
    let mut clients = Clients::of(&old, server);
    let mut anew = old.client();
    // The process has accepted it.
    serve(&mut clients.resting, &clients.server, &mut clients.ran, "who rested");
    let (mut incoming, _listener) = Incoming::offered(old.address);
    old.terminate();
    wait_until("it is not ending", || admin_call(ops, "readyz") == "NO ending\n");
    old.pause();
    incoming.confirm();
    clients.resting.send(&request("pay", 20.0));
    anew.send(&request("pay", 20.0));
    std::thread::sleep(PAST_THE_END);
    old.resume();
    for who in ["who asks again", "who asks for the first time"] {
        let mut connection = None;
        wait_until("it is not handed over", || {
            connection = incoming.poll_connection();
            assert!(!clients.server.has_request(), "{who}: it is begun here");
            connection.is_some()
        });
        answer_by_hand(connection.expect("handed over"));
    }
    for client in [&mut clients.resting, &mut anew] {
        goes_on(client, "who asked meanwhile");
    }
    let last = Message::read(&mut clients.asking.stream).expect("a last answer");
    assert_eq!(last.status(), 504);
    assert!(old.wait().success());
    assert!(!clients.server.has_request(), "it was sent on");
}

/// Guards against an attempt that a process which goes on past its end begins with no time left for its answer: here a connection
/// to the server comes up in that moment.
#[test]
fn a_process_that_stands_still_past_its_end_hands_over_what_no_server_has_been_sent() {
    let (slow, address, filler) = full_listener();
    let (mut config, ops) = config_with_admin(&[]);
    config["known"] = list(1, true, &[member("slow", address, "active")]);
    let mut old = Node::start(&config);
    let mut client = old.client();
    client.send(&request("pay", 20.0));
    wait_until("the node does not connect", || pending_connects(address) > 0);
    let (mut incoming, _listener) = Incoming::offered(old.address);
    old.terminate();
    wait_until("it is not ending", || admin_call(ops, "readyz") == "NO ending\n");
    old.pause();
    incoming.confirm();
    drop(slow.accept().expect("the filler"));
    drop(filler);
    let (mut upstream, _) = slow.accept().expect("the node's connection");
    std::thread::sleep(PAST_THE_END);
    old.resume();
    let (mut connection, read) = incoming.request();
    let text = String::from_utf8(read).expect("text");
    let handed = Message::read(&mut std::io::BufReader::new(text.as_bytes())).expect("a whole request");
    assert!(handed.first.starts_with("POST /api"), "{text}");
    let left: f64 = handed.header("x-deadline").and_then(|left| left.parse().ok()).expect("told");
    assert!(left > 10.0 && left < 20.0 - PAST_THE_END.as_secs_f64(), "{left}");
    connection.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nhere").expect("answered");
    assert_eq!(client.answer().body, b"here");
    assert!(old.wait().success());
    upstream.set_read_timeout(Some(LONG)).expect("set");
    assert_eq!(upstream.read(&mut [0; 1]).ok(), Some(0), "it was sent on");
}

/// Guards against the same where all that rests has been handed over, and one request is at the server.
#[test]
fn a_process_that_stands_still_past_its_end_passes_on_an_answer_that_has_come() {
    let server = Server::start();
    let (config, _) = config_with_admin(&[&server]);
    let mut old = Node::start(&config);
    let mut clients = Clients::of(&old, server);
    let ops = own_address();
    let _new = old.start_second_process(&config, ops);
    ready(ops);
    old.terminate();
    old.log_line_containing("shutdown: connections are handed over");
    serve(&mut clients.resting, &clients.server, &mut clients.ran, "who rested");
    old.pause();
    clients.open.take().expect("open").answer(OK, "", b"late");
    std::thread::sleep(PAST_THE_END);
    old.resume();
    let last = Message::read(&mut clients.asking.stream).expect("a last answer");
    assert_eq!(last.status(), 200);
    assert!(old.wait().success());
    assert!(!clients.server.has_request(), "it ran twice");
}

/// Lets a process run for some milliseconds at a time only, until told otherwise, as on a machine that is far too busy.
struct Slowed {
    over: std::sync::Arc<std::sync::atomic::AtomicBool>,
    slowing: Option<std::thread::JoinHandle<()>>,
}

impl Slowed {
    fn begin(node: &Node, stopped_ms: u64, runs_ms: u64) -> Self {
        let (pid, over) =
            (node.pid().to_string(), std::sync::Arc::<std::sync::atomic::AtomicBool>::default());
        let done = std::sync::Arc::clone(&over);
        let signal = move |signal: &str| {
            // It fails where the process has ended.
            let _ = std::process::Command::new("kill")
                .args([signal, pid.as_str()])
                .stderr(std::process::Stdio::null())
                .status();
        };
        let slowing = std::thread::spawn(move || {
            while !done.load(std::sync::atomic::Ordering::Relaxed) {
                signal("-STOP");
                std::thread::sleep(Duration::from_millis(stopped_ms));
                signal("-CONT");
                std::thread::sleep(Duration::from_millis(runs_ms));
            }
        });
        Self { over, slowing: Some(slowing) }
    }
}

impl Drop for Slowed {
    fn drop(&mut self) {
        self.over.store(true, std::sync::atomic::Ordering::Relaxed);
        self.slowing.take().expect("once").join().expect("slowed");
    }
}

/// Guards against a process that takes its own slowness for pauses over and over, and never gives its last answers. In what time it
/// does is held by the tests of the state machine: here it depends on the machine, too.
#[test]
fn a_process_that_is_slow_as_it_ends_gives_its_last_answers() {
    let server = Server::start();
    let (config, ops) = config_with_admin(&[&server]);
    let mut old = Node::start(&config);
    let mut clients = Clients::of(&old, server);
    old.terminate();
    let since = Instant::now();
    wait_until("it is not ending", || admin_call(ops, "readyz") == "NO ending\n");
    std::thread::sleep(Duration::from_millis(1_900).saturating_sub(since.elapsed()));
    let slowed = Slowed::begin(&old, 130, 5);
    let last = Message::read(&mut clients.asking.stream).expect("a last answer");
    drop(slowed);
    assert_eq!(last.status(), 504);
    assert!(old.wait().success());
}

/// Guards against a wait for an outgoing process that grows with the slowness of the incoming one: it is to serve within 6 s.
#[test]
fn an_incoming_process_that_is_slow_gives_up_one_that_never_answers_in_time_to_serve() {
    let scripted = Scripted::start();
    let _call = scripted.greeted();
    let since = Instant::now();
    let slowed = Slowed::begin(&scripted.new, 180, 60);
    wait_until("it does not serve", || TcpStream::connect(scripted.ops).is_ok());
    drop(slowed);
    assert!(since.elapsed() < Duration::from_secs(6), "{:?}", since.elapsed());
}
