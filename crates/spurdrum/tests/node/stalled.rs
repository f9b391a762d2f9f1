//! Handovers while one of the processes, or both, are paused, as on a busy machine: a paused process is
//! neither gone nor slow to answer. The order of events is forced; the times are the shortest that this order
//! needs.

use super::incoming::Incoming;
use super::ops::{admin_call, config_with_admin, ready};
use super::outgoing::{calls_waiting, Call, ExecutedRequests, Outgoing};
use super::*;

use spurdrum_handover::Message as Handover;

/// How long an outgoing process is paused.
const STALL: Duration = Duration::from_millis(1_300);
/// How long an incoming process is paused: longer than it waits for an answer.
const LONG_STALL: Duration = Duration::from_millis(4_300);

/// Returns a configuration whose latency objectives are as long as its deadlines, and its admin address. The
/// node is what pauses here, and no request is to be refused for that.
fn config_with_long_deadlines(servers: &[&Server]) -> (Value, SocketAddr) {
    let (mut config, ops) = config_with_admin(servers);
    for class in config["settings"]["classes"].as_array_mut().expect("a list") {
        (class["deadline_ms"], class["promise_ms"]) = (json!(20_000.0), json!(20_000.0));
    }
    (config, ops)
}

/// The configuration file of an incoming process, which makes it serve without waiting for discovery.
const NO_WAIT_FOR_DISCOVERY: &str = "[sources.catalog]\nready_within_ms = 1\n";

/// Returns the request that a client has sent as it arrives at the server. Fails the test at once if the
/// client is refused or disconnected instead.
fn request_at_server(
    client: &Client,
    server: &Server,
    executed: &mut ExecutedRequests,
    client_name: &str,
) -> Exchange {
    let exchange = forwarded_or_answered(client, server)
        .unwrap_or_else(|| panic!("{client_name}: the request is not forwarded"));
    executed.record(&exchange.request);
    exchange
}

/// Reads the client's answer, which must leave the connection open.
fn expect_answer_and_open_connection(client: &mut Client, client_name: &str) {
    let answer =
        Message::read(&mut client.stream).unwrap_or_else(|| panic!("{client_name}: no complete answer"));
    assert_eq!((answer.status(), answer.header("connection")), (200, None), "{client_name}");
}

/// Serves one request on a client's connection, which must stay open.
fn serve_one(client: &mut Client, server: &Server, executed: &mut ExecutedRequests, client_name: &str) {
    client.send(&request("update", 20.0));
    request_at_server(client, server, executed, client_name).answer(OK, "", b"served");
    expect_answer_and_open_connection(client, client_name);
}

/// The clients of a node whose process is about to be replaced.
struct Clients {
    server: Server,
    executed: ExecutedRequests,
    idle: Client,
    waiting: Client,
    pending: Option<Exchange>,
}

impl Clients {
    /// Connects one client that is idle between two requests, and one whose request is pending at the server.
    fn connect(node: &Node, server: Server) -> Self {
        let (mut executed, mut idle, mut waiting) =
            (ExecutedRequests::default(), node.client(), node.client());
        serve_one(&mut idle, &server, &mut executed, "before");
        waiting.send(&request("pay", 20.0));
        let pending = Some(request_at_server(&waiting, &server, &mut executed, "before"));
        Self { server, executed, idle, waiting, pending }
    }

    /// Terminates the old process while another serves: every client must be served on the connection that it
    /// has.
    fn survive_end_of(mut self, mut old: Node, mut new_clients: Vec<Client>) {
        let (server, executed) = (&self.server, &mut self.executed);
        for client in &mut new_clients {
            serve_one(client, server, executed, "the client that connected during the pause");
        }
        // The connection is idle for a fresh period afterwards, however long the pause was.
        serve_one(&mut self.idle, server, executed, "the client that was idle during the pause");
        old.terminate();
        let mut next = old.client();
        serve_one(&mut next, server, executed, "the client that connects after the signal");
        self.pending.take().expect("pending").answer(OK, "", b"late");
        expect_answer_and_open_connection(&mut self.waiting, "the client that was waiting at the signal");
        serve_one(&mut self.idle, server, executed, "the idle client");
        serve_one(&mut self.waiting, server, executed, "the client that was answered");
        assert!(old.wait().success());
        for client in new_clients.iter_mut().chain([&mut self.idle, &mut self.waiting, &mut next]) {
            serve_one(client, server, executed, "once the old process has exited");
        }
        assert!(!server.has_request(), "the request ran twice");
    }
}

/// Replaces a process that is paused from before the incoming one starts until `stall` after the incoming one
/// has connected.
fn replace_while_the_old_process_is_paused(stall: Duration) {
    let server = Server::start();
    let (config, _) = config_with_long_deadlines(&[&server]);
    let old = Node::start(&config);
    let clients = Clients::connect(&old, server);
    old.pause();
    let ops = own_address();
    let _new = old.start_second_process(&config, ops);
    wait_until("the new process does not connect", || calls_waiting(old.address) > 0);
    let new_clients = (0..2).map(|_| old.client()).collect();
    std::thread::sleep(stall);
    old.resume();
    ready(ops);
    clients.survive_end_of(old, new_clients);
}

/// Without this, an incoming process would take a paused outgoing process for an absent one and listen beside
/// it.
#[test]
fn an_outgoing_process_paused_for_longer_than_the_answer_timeout_still_hands_over() {
    replace_while_the_old_process_is_paused(STALL);
}

/// The same with a longer pause: a slightly longer timeout is not enough to pass.
#[test]
fn an_outgoing_process_paused_for_three_seconds_still_hands_over() {
    replace_while_the_old_process_is_paused(Duration::from_secs(3));
}

/// A scripted outgoing process that has a client, and the real process that is to take over from it.
struct ScriptedHandover {
    server: Server,
    outgoing: Outgoing,
    client: Client,
    connection: TcpStream,
    new: Node,
    ops: SocketAddr,
}

impl ScriptedHandover {
    fn start() -> Self {
        let address = own_address();
        Self::start_with(address, |command| add_config_file(command, address, NO_WAIT_FOR_DISCOVERY))
    }

    fn start_with(address: SocketAddr, customize: impl FnOnce(&mut std::process::Command)) -> Self {
        let server = Server::start();
        let (config, ops) = config_with_long_deadlines(&[&server]);
        let outgoing = Outgoing::start(address);
        let client = Client::connect(address);
        let (connection, _) = outgoing.listener.accept().expect("accepted");
        let new = Node::spawn_at(address, &config, ops, customize);
        Self { server, outgoing, client, connection, new, ops }
    }

    /// Accepts the incoming process's handover connection and its `Hello`.
    fn accept_hello(&self) -> Call {
        let mut call = self.outgoing.accept_call();
        assert!(matches!(call.receive(), Some(Handover::Hello(_))));
        call
    }

    /// Makes the offer and checks that it is confirmed, that the client is handed over and served, and that
    /// the listening socket is shared.
    fn expect_takeover(mut self, mut call: Call) {
        let offered = call.offer(&self.outgoing.listener);
        self.expect_takeover_after_offer(call, offered);
    }

    fn expect_takeover_after_offer(&mut self, mut call: Call, offered: bool) {
        let confirmed = if offered { call.receive() } else { None };
        assert_eq!(
            confirmed,
            Some(Handover::Confirm),
            "not confirmed; the log says: {}",
            self.new.next_log_line()
        );
        ready(self.ops);
        call.hand_over(&self.connection);
        let (server, mut executed) = (&self.server, ExecutedRequests::default());
        serve_one(&mut self.client, server, &mut executed, "the client that is handed over");
        serve_one(&mut self.new.client(), server, &mut executed, "a new client");
        drop(call);
        serve_one(&mut self.client, server, &mut executed, "the client after the handover");
    }
}

/// An incoming process must not count its own pause as the other's delay: here the answer has arrived when it
/// resumes.
#[test]
fn an_incoming_process_paused_between_its_call_and_the_answer_takes_over() {
    let mut scripted = ScriptedHandover::start();
    let mut call = scripted.accept_hello();
    // Paused while it waits for events, the process handles its timer before the answer when it resumes.
    wait_until("the process does not wait for events", || scripted.new.state() == Some('S'));
    scripted.new.pause();
    std::thread::sleep(LONG_STALL);
    let offered = call.offer(&scripted.outgoing.listener);
    scripted.new.resume();
    scripted.expect_takeover_after_offer(call, offered);
}

/// The same when the answer comes only after the pause.
#[test]
fn an_incoming_process_that_was_paused_still_waits_for_an_answer_afterwards() {
    let scripted = ScriptedHandover::start();
    let call = scripted.accept_hello();
    scripted.new.pause();
    std::thread::sleep(LONG_STALL);
    scripted.new.resume();
    std::thread::sleep(Duration::from_millis(50));
    scripted.expect_takeover(call);
}

/// A pause before the connection must not make it fail: the process is paused while it waits for the rest of
/// its configuration file.
#[test]
fn an_incoming_process_paused_before_its_call_takes_over() {
    let address = own_address();
    let pipe = node_directory(address).join("pipe.toml");
    let made = std::process::Command::new("mkfifo").arg(&pipe).status();
    assert!(made.expect("made").success());
    let scripted = ScriptedHandover::start_with(address, |command| {
        command.arg("--config").arg(&pipe);
    });
    // Opening blocks until the process reads the file.
    let mut file = std::fs::OpenOptions::new().write(true).open(&pipe).expect("opened");
    scripted.new.pause();
    file.write_all(NO_WAIT_FOR_DISCOVERY.as_bytes()).expect("written");
    drop(file);
    std::thread::sleep(LONG_STALL);
    assert_eq!(calls_waiting(address), 0);
    scripted.new.resume();
    let call = scripted.accept_hello();
    scripted.expect_takeover(call);
}

/// Without this, an incoming process would listen beside one that has accepted its connection but answers
/// late.
#[test]
fn a_call_that_is_answered_late_is_waited_for() {
    let scripted = ScriptedHandover::start();
    let call = scripted.accept_hello();
    std::thread::sleep(Duration::from_millis(2_500));
    scripted.expect_takeover(call);
}

/// Without this, an incoming process would listen beside one that accepts its connection late.
#[test]
fn a_call_that_is_accepted_late_is_waited_for() {
    let scripted = ScriptedHandover::start();
    let address = scripted.new.address;
    wait_until("the new process does not connect", || calls_waiting(address) > 0);
    std::thread::sleep(Duration::from_millis(2_500));
    let call = scripted.accept_hello();
    scripted.expect_takeover(call);
}

/// Pauses both processes once the incoming one has connected; `old_first` says which one resumes first.
fn replace_while_both_are_paused(old_first: bool) {
    let server = Server::start();
    let (config, _) = config_with_long_deadlines(&[&server]);
    let old = Node::start(&config);
    let clients = Clients::connect(&old, server);
    old.pause();
    let ops = own_address();
    let new = old.start_second_process(&config, ops);
    wait_until("the new process does not connect", || calls_waiting(old.address) > 0);
    new.pause();
    std::thread::sleep(STALL);
    let (first, second) = if old_first { (&old, &new) } else { (&new, &old) };
    first.resume();
    std::thread::sleep(Duration::from_millis(100));
    second.resume();
    ready(ops);
    clients.survive_end_of(old, Vec::new());
}

/// A pause of the incoming process must not count against an answer that has arrived.
#[test]
fn when_both_are_paused_and_the_old_one_resumes_first_it_hands_over() {
    replace_while_both_are_paused(true);
}

/// The incoming process must not give up when it resumes, before the other one can resume.
#[test]
fn when_both_are_paused_and_the_new_one_resumes_first_it_takes_over() {
    replace_while_both_are_paused(false);
}

/// Reads the request that a client has sent on a handed-over connection, and answers it in place of a
/// process.
fn answer_request_on(connection: TcpStream) {
    connection.set_nonblocking(false).expect("set");
    connection.set_read_timeout(Some(LONG)).expect("set");
    let mut reader = std::io::BufReader::new(connection.try_clone().expect("cloned"));
    Message::read(&mut reader).expect("a request");
    let mut writer = connection;
    writer.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nhere").expect("answered");
}

/// Returns whether a client's connection has been closed by now.
fn has_ended(client: &Client) -> bool {
    let stream = client.stream.get_ref();
    stream.set_nonblocking(true).expect("set");
    let seen = stream.peek(&mut [0; 1]).map_err(|error| error.kind());
    stream.set_nonblocking(false).expect("set");
    !matches!(seen, Ok(1..) | Err(std::io::ErrorKind::WouldBlock))
}

/// Checks that the next connection is handed over and belongs to this client.
fn expect_handed_over(incoming: &mut Incoming, client: &mut Client, client_name: &str) {
    let mut connection = None;
    wait_until("the connection is not handed over", || {
        connection = incoming.poll_connection();
        assert!(
            connection.is_some() || !has_ended(client),
            "{client_name}: the connection was closed, not handed over"
        );
        connection.is_some()
    });
    let connection = connection.expect("handed over");
    assert_eq!(connection.peer_addr().ok(), client.stream.get_ref().local_addr().ok(), "{client_name}");
    client.send(&request("update", 20.0));
    answer_request_on(connection);
    expect_answer_and_open_connection(client, client_name);
}

/// The wait for the confirmation must not count time in which the process was paused: it ran for only 50 ms
/// here.
#[test]
fn a_confirmation_that_arrives_while_the_ending_process_is_paused_leads_to_a_handover() {
    let server = Server::start();
    let (config, _) = config_with_long_deadlines(&[&server]);
    let mut old = Node::start(&config);
    let mut clients = Clients::connect(&old, server);
    let (mut incoming, _listener) = Incoming::take_offer(old.address);
    old.pause();
    old.terminate();
    std::thread::sleep(Duration::from_millis(400));
    old.resume();
    std::thread::sleep(Duration::from_millis(50));
    old.pause();
    incoming.confirm();
    std::thread::sleep(Duration::from_millis(400));
    old.resume();
    expect_handed_over(&mut incoming, &mut clients.idle, "the idle client");
    clients.pending.take().expect("pending").answer(OK, "", b"late");
    expect_answer_and_open_connection(&mut clients.waiting, "the client that was waiting at the signal");
    expect_handed_over(&mut incoming, &mut clients.waiting, "the client that was answered");
    assert!(old.wait().success());
    assert!(incoming.connection().is_none());
    assert!(!clients.server.has_request(), "the request ran twice");
}

/// An ending process must not take its own pause for a time in which nobody connects. If it did, it would
/// reset the connections that wait to be accepted.
#[test]
fn clients_that_connect_while_an_ending_process_is_paused_are_answered() {
    let server = Server::start();
    let (config, ops) = config_with_admin(&[&server]);
    let mut node = Node::start(&config);
    node.terminate();
    wait_until("the process is not ending", || admin_call(ops, "readyz") == "NO ending\n");
    node.pause();
    let mut clients: Vec<_> = (0..4).map(|_| node.client()).collect();
    clients.iter_mut().for_each(|client| client.send(&request("update", 20.0)));
    std::thread::sleep(Duration::from_millis(900));
    node.resume();
    let mut executed = ExecutedRequests::default();
    for client in &clients {
        request_at_server(client, &server, &mut executed, "a client that connected during the pause")
            .answer(OK, "", b"served");
    }
    for client in &mut clients {
        let answer = Message::read(&mut client.stream).expect("a complete answer");
        assert_eq!(answer.status(), 200);
    }
    assert!(node.wait().success());
}

/// Longer than the time in which a process whose longest deadline is 2 s has to exit: 2.6 s.
const PAST_EXIT_DEADLINE: Duration = Duration::from_millis(2_800);

/// A process that resumes past its exit deadline must not exit at once: it still owes handovers and final
/// answers.
#[test]
fn a_process_paused_past_its_exit_deadline_hands_over_and_sends_its_final_answers() {
    let server = Server::start();
    let (config, ops) = config_with_admin(&[&server]);
    let mut old = Node::start(&config);
    let mut clients = Clients::connect(&old, server);
    let (mut incoming, _listener) = Incoming::take_offer(old.address);
    old.terminate();
    // The exit deadline is running, and the process still waits for the confirmation.
    wait_until("the process is not ending", || admin_call(ops, "readyz") == "NO ending\n");
    old.pause();
    incoming.confirm();
    std::thread::sleep(PAST_EXIT_DEADLINE);
    old.resume();
    expect_handed_over(&mut incoming, &mut clients.idle, "the idle client");
    // The server has not answered, so the request may have run.
    let final_answer = Message::read(&mut clients.waiting.stream).expect("a final answer");
    assert_eq!(final_answer.status(), 504);
    assert!(old.wait().success());
    assert!(!clients.server.has_request(), "the request was sent again");
}

/// A process that resumes past its exit deadline must not start requests that it reads only then: no time is
/// left to answer them.
#[test]
fn a_process_paused_past_its_exit_deadline_hands_over_unread_requests() {
    let server = Server::start();
    let (config, ops) = config_with_admin(&[&server]);
    let mut old = Node::start(&config);
    let mut clients = Clients::connect(&old, server);
    let mut new_client = old.client();
    // That this request is served shows that the new client has been accepted too.
    serve_one(&mut clients.idle, &clients.server, &mut clients.executed, "the idle client");
    let (mut incoming, _listener) = Incoming::take_offer(old.address);
    old.terminate();
    wait_until("the process is not ending", || admin_call(ops, "readyz") == "NO ending\n");
    old.pause();
    incoming.confirm();
    clients.idle.send(&request("pay", 20.0));
    new_client.send(&request("pay", 20.0));
    std::thread::sleep(PAST_EXIT_DEADLINE);
    old.resume();
    for client_name in ["the idle client's next request", "the new client's first request"] {
        let mut connection = None;
        wait_until("the connection is not handed over", || {
            connection = incoming.poll_connection();
            assert!(!clients.server.has_request(), "{client_name}: the request was started here");
            connection.is_some()
        });
        answer_request_on(connection.expect("handed over"));
    }
    for client in [&mut clients.idle, &mut new_client] {
        expect_answer_and_open_connection(client, "a client that sent its request during the pause");
    }
    let final_answer = Message::read(&mut clients.waiting.stream).expect("a final answer");
    assert_eq!(final_answer.status(), 504);
    assert!(old.wait().success());
    assert!(!clients.server.has_request(), "the request was forwarded");
}

/// A process that resumes past its exit deadline must not start an attempt with no time left for its answer.
/// Here a connection to the server comes up at that moment.
#[test]
fn a_process_paused_past_its_exit_deadline_hands_over_requests_not_yet_sent() {
    let (slow, address, filler) = full_listener();
    let (mut config, ops) = config_with_admin(&[]);
    config["known"] = list(1, true, &[member("slow", address, "active")]);
    let mut old = Node::start(&config);
    let mut client = old.client();
    client.send(&request("pay", 20.0));
    wait_until("the node has not begun to connect", || pending_connects(address) > 0);
    let (mut incoming, _listener) = Incoming::take_offer(old.address);
    old.terminate();
    wait_until("the process is not ending", || admin_call(ops, "readyz") == "NO ending\n");
    old.pause();
    incoming.confirm();
    drop(slow.accept().expect("the filler"));
    drop(filler);
    let (mut upstream, _) = slow.accept().expect("the node's connection");
    std::thread::sleep(PAST_EXIT_DEADLINE);
    old.resume();
    let (mut connection, read) = incoming.request();
    let text = String::from_utf8(read).expect("text");
    let request = Message::read(&mut std::io::BufReader::new(text.as_bytes())).expect("a complete request");
    assert!(request.first.starts_with("POST /api"), "{text}");
    let remaining: f64 =
        request.header("x-deadline").and_then(|remaining| remaining.parse().ok()).expect("a deadline");
    assert!(remaining > 10.0 && remaining < 20.0 - PAST_EXIT_DEADLINE.as_secs_f64(), "{remaining}");
    connection.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nhere").expect("answered");
    assert_eq!(client.answer().body, b"here");
    assert!(old.wait().success());
    upstream.set_read_timeout(Some(LONG)).expect("set");
    assert_eq!(upstream.read(&mut [0; 1]).ok(), Some(0), "the request was forwarded");
}

/// The same once all idle connections have been handed over, with one request pending at the server.
#[test]
fn a_process_paused_past_its_exit_deadline_forwards_an_answer_that_has_arrived() {
    let server = Server::start();
    let (config, _) = config_with_admin(&[&server]);
    let mut old = Node::start(&config);
    let mut clients = Clients::connect(&old, server);
    let ops = own_address();
    let _new = old.start_second_process(&config, ops);
    ready(ops);
    old.terminate();
    old.log_line_containing("shutdown: connections are handed over");
    serve_one(&mut clients.idle, &clients.server, &mut clients.executed, "the idle client");
    old.pause();
    clients.pending.take().expect("pending").answer(OK, "", b"late");
    std::thread::sleep(PAST_EXIT_DEADLINE);
    old.resume();
    let final_answer = Message::read(&mut clients.waiting.stream).expect("a final answer");
    assert_eq!(final_answer.status(), 200);
    assert!(old.wait().success());
    assert!(!clients.server.has_request(), "the request ran twice");
}

/// Throttles a process until dropped: it runs for only some milliseconds at a time, as on an overloaded
/// machine.
struct Throttled {
    stop: std::sync::Arc<std::sync::atomic::AtomicBool>,
    worker: Option<std::thread::JoinHandle<()>>,
}

impl Throttled {
    fn begin(node: &Node, stopped_ms: u64, runs_ms: u64) -> Self {
        let (pid, stop) =
            (node.pid().to_string(), std::sync::Arc::<std::sync::atomic::AtomicBool>::default());
        let stopped = std::sync::Arc::clone(&stop);
        let signal = move |signal: &str| {
            // Fails if the process has exited.
            let _ = std::process::Command::new("kill")
                .args([signal, pid.as_str()])
                .stderr(std::process::Stdio::null())
                .status();
        };
        let worker = std::thread::spawn(move || {
            while !stopped.load(std::sync::atomic::Ordering::Relaxed) {
                signal("-STOP");
                std::thread::sleep(Duration::from_millis(stopped_ms));
                signal("-CONT");
                std::thread::sleep(Duration::from_millis(runs_ms));
            }
        });
        Self { stop, worker: Some(worker) }
    }
}

impl Drop for Throttled {
    fn drop(&mut self) {
        self.stop.store(true, std::sync::atomic::Ordering::Relaxed);
        self.worker.take().expect("once").join().expect("throttled");
    }
}

/// A process must not keep treating its own slowness as pauses and so never send its final answers. How long
/// it may take is covered by the tests of the state machine: here that depends on the machine as well.
#[test]
fn a_process_that_is_throttled_while_it_ends_sends_its_final_answers() {
    let server = Server::start();
    let (config, ops) = config_with_admin(&[&server]);
    let mut old = Node::start(&config);
    let mut clients = Clients::connect(&old, server);
    old.terminate();
    let since = Instant::now();
    wait_until("the process is not ending", || admin_call(ops, "readyz") == "NO ending\n");
    std::thread::sleep(Duration::from_millis(1_900).saturating_sub(since.elapsed()));
    let throttled = Throttled::begin(&old, 130, 5);
    let final_answer = Message::read(&mut clients.waiting.stream).expect("a final answer");
    drop(throttled);
    assert_eq!(final_answer.status(), 504);
    assert!(old.wait().success());
}

/// The wait for an outgoing process must not grow with the slowness of the incoming one: it must serve within
/// 6 s.
#[test]
fn a_throttled_incoming_process_gives_up_an_unanswered_call_in_time_to_serve() {
    let scripted = ScriptedHandover::start();
    let _call = scripted.accept_hello();
    let since = Instant::now();
    let throttled = Throttled::begin(&scripted.new, 180, 60);
    wait_until("the process does not serve", || TcpStream::connect(scripted.ops).is_ok());
    drop(throttled);
    assert!(since.elapsed() < Duration::from_secs(6), "{:?}", since.elapsed());
}
