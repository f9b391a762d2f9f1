//! A planned restart while clients have sent several requests at once and one of four servers hangs.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::rig::*;
use crate::Verdict;

const CLIENTS: usize = 16;
/// How many requests a client writes at once.
const AT_ONCE: usize = 6;
/// A request is lost that has no answer half a second after its time; each time limit is 50 ms longer on sockets.
const LAST_ANSWER: Duration = Duration::from_millis(800 + 500 + 50);
/// A connection that ends sooner than this after the write, with nothing answered, had its end cross the requests.
const CROSSED: Duration = Duration::from_millis(100);
const CLASS: Class = Class { name: "inventory-update", effect: "dedup", deadline_ms: 800 };

pub fn play(root: &Path, trouble: bool, record: &Arc<Record>) -> Verdict {
    let hangs = Arc::new(AtomicBool::new(false));
    let servers: Vec<Server> = (0..4)
        .map(|number| {
            let (record, hangs) = (Arc::clone(record), Arc::clone(&hangs));
            Server::start(move |request, stream, _| {
                record.say(format!("server {number} got {}", request.id()));
                if number == 0 && hangs.load(Ordering::SeqCst) {
                    return Next::Hang;
                }
                thread::sleep(ms(10));
                let mut stream = stream;
                let body = format!("done {}", request.id());
                let _ = stream.write_all(&answer("200 OK", "X-Load: queue=0,inflight=1\r\n", &body));
                Next::Keep
            })
        })
        .collect();
    let ids = ["s0", "s1", "s2", "s3"];
    let members: Vec<(&str, String)> =
        ids.iter().zip(&servers).map(|(id, server)| (*id, member(id, server.address, 0, "active"))).collect();
    let discovery = Discovery::start(record, &members);
    let place = Place::new(root);
    let known: Vec<String> = members.iter().map(|(_, json)| json.clone()).collect();
    let config = Config::new(vec![CLASS], list(1, true, &known));
    place.write_config(&config.json(place.listen, discovery.address));
    let mut node = Node::start(&place, discovery.address, None, record);
    if !node.wait_ready() {
        return Err("the node does not get ready".into());
    }
    // Each client has a connection on which it has been served.
    let connections: Vec<TcpStream> = (0..CLIENTS)
        .map(|client| {
            let stream = TcpStream::connect(node.listen).map_err(|e| e.to_string())?;
            stream.set_nodelay(true).map_err(|e| e.to_string())?;
            stream.set_read_timeout(Some(Duration::from_secs(5))).map_err(|e| e.to_string())?;
            let text = request(&CLASS, &format!("warm-{client}"), 0.8, "rooms");
            (&stream).write_all(text.as_bytes()).map_err(|e| e.to_string())?;
            let answer = read_message(&mut BufReader::new(stream.try_clone().unwrap()));
            match answer {
                Ok(Some(answer)) if answer.status() == 200 => Ok(stream),
                other => Err(format!("no answer before the disruption: {other:?}")),
            }
        })
        .collect::<Result<_, String>>()?;
    hangs.store(true, Ordering::SeqCst);
    if trouble {
        record.say("SIGTERM to the node");
        node.signal(SIGTERM);
    }
    let told_to_end = Instant::now();
    // New connections go on coming for 0.2 to 0.4 s. Each brings one request.
    let mut newcomers = Vec::new();
    let mut number = 0;
    while told_to_end.elapsed() < ms(390) {
        let (listen, record) = (node.listen, Arc::clone(record));
        number += 1;
        newcomers.push(thread::spawn(move || {
            let id = format!("new-{number}");
            let got = call(listen, &request(&CLASS, &id, 0.8, "rooms"), ms(2000));
            let got = got.map_or_else(|error| error.to_string(), |answer| answer.status().to_string());
            record.say(format!("a new connection brought {id} and got {got}"));
        }));
        thread::sleep(ms(30));
    }
    thread::sleep(ms(530).saturating_sub(told_to_end.elapsed()));
    // How many requests were taken and how many of them had a whole answer in time, for each client.
    let outcome = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = connections
        .into_iter()
        .enumerate()
        .map(|(client, stream)| {
            let (record, outcome) = (Arc::clone(record), Arc::clone(&outcome));
            thread::spawn(move || {
                let texts: Vec<String> =
                    (0..AT_ONCE).map(|n| request(&CLASS, &format!("c{client}-{n}"), 0.8, "rooms")).collect();
                let written = (&stream).write_all(texts.concat().as_bytes()).is_ok();
                record.say(format!("client {client} wrote c{client}-0 to c{client}-{} at once: {written}", AT_ONCE - 1));
                if !written {
                    return;
                }
                let started = Instant::now();
                let mut reader = BufReader::new(stream);
                let mut answered = 0;
                for n in 0..AT_ONCE {
                    match read_message(&mut reader) {
                        Ok(Some(answer)) => {
                            answered += usize::from(started.elapsed() <= LAST_ANSWER);
                            record.say(format!(
                                "client {client} got {} for c{client}-{n}, connection: {:?}, after {:.3} s",
                                answer.status(),
                                answer.header("connection"),
                                started.elapsed().as_secs_f64()
                            ));
                        }
                        end => {
                            record.say(format!(
                                "client {client}: the connection ended with no answer to c{client}-{n}, after {:.3} s: {}",
                                started.elapsed().as_secs_f64(),
                                end.err().map_or("end of the stream".to_owned(), |e| e.to_string())
                            ));
                            if n == 0 && started.elapsed() < CROSSED {
                                // The node may close a connection between requests: it has read none of these.
                                record.say(format!("client {client}: the end crossed its requests; not counted"));
                                return;
                            }
                            break;
                        }
                    }
                }
                outcome.lock().unwrap().push((client, answered));
            })
        })
        .collect();
    clients.into_iter().chain(newcomers).for_each(|client| drop(client.join()));
    if trouble {
        // SIGKILL comes no sooner than the longest deadline and 0.7 s after SIGTERM.
        let left = ms(CLASS.deadline_ms + 700).saturating_sub(told_to_end.elapsed());
        match node.wait_end(left) {
            Some(status) => record.say(format!("the node ended: {status}")),
            None => node.kill(),
        }
    }
    let outcome = outcome.lock().unwrap();
    if outcome.is_empty() {
        return Err("no client could write on the connections that stayed open".into());
    }
    let (taken, answered) = (outcome.len() * AT_ONCE, outcome.iter().map(|(_, n)| n).sum::<usize>());
    record.say(format!("requests taken: {taken}, answered: {answered}, lost: {}", taken - answered));
    Ok(taken == answered)
}
