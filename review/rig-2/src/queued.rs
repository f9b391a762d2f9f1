//! A node that is killed and started again while discovery is slow gets a new configuration before it is ready.

use std::collections::HashMap;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::rig::*;
use crate::Verdict;

const SEARCH: Class = Class { name: "room-search", effect: "retryable", deadline_ms: 2000 };
const BOOKING: Class = Class { name: "booking", effect: "fragile", deadline_ms: 2000 };
const QUOTE: Class = Class { name: "rate-quote", effect: "retryable", deadline_ms: 2000 };
const REQUESTS: usize = 6;

pub fn play(root: &Path, trouble: bool, record: &Arc<Record>) -> Verdict {
    // How often each request ran, by its id, and which requests were refused.
    let refused: Arc<Mutex<Vec<String>>> = Arc::default();
    let runs: Arc<Mutex<HashMap<String, usize>>> = Arc::default();
    let servers: Vec<Server> = (0..3)
        .map(|number| {
            let (record, runs) = (Arc::clone(record), Arc::clone(&runs));
            Server::start(move |request, stream, _| {
                let (id, class) = (request.id(), request.header("x-class").to_owned());
                let run = {
                    let mut runs = runs.lock().unwrap();
                    let run = runs.entry(id.clone()).or_insert(0);
                    *run += 1;
                    *run
                };
                record.say(format!("server {number} runs {id} of class {class} for the {run}. time"));
                thread::sleep(ms(20));
                if class == BOOKING.name && id.starts_with("after") {
                    record.say(format!("server {number} resets the connection under {id}"));
                    return Next::Reset;
                }
                let mut stream = stream;
                let _ = stream.write_all(&answer("200 OK", "X-Load: queue=0,inflight=1\r\n", "done"));
                Next::Keep
            })
        })
        .collect();
    let ids = ["s0", "s1", "s2"];
    let members: Vec<(&str, String)> =
        ids.iter().zip(&servers).map(|(id, server)| (*id, member(id, server.address, 0, "active"))).collect();
    let discovery = Discovery::start(record, &members);
    let place = Place::new(root);
    let known: Vec<String> = members.iter().map(|(_, json)| json.clone()).collect();
    let config = |classes| Config::new(classes, list(1, true, &known)).json(place.listen, discovery.address);
    place.write_config(&config(vec![SEARCH, BOOKING]));
    let mut node = Node::start(&place, discovery.address, None, record);
    if !node.wait_ready() {
        return Err("the node does not get ready".into());
    }
    let before = call(node.listen, &request(&BOOKING, "before", 2.0, "room 7"), ms(3000));
    if before.as_ref().map_or(0, Message::status) != 200 {
        return Err(format!("no answer before the disruption: {before:?}"));
    }
    record.say("calls to discovery take long from now on; the node is killed and started again");
    discovery.set_mode(Mode::Silent);
    node.kill();
    let node = Node::start(&place, discovery.address, None, record);
    if !node.wait_listening() {
        return Err("the node does not listen again".into());
    }
    // The front has not noticed that the node had died: clients go on coming.
    let clients: Vec<_> = (0..REQUESTS)
        .map(|n| {
            let (record, listen, refused) = (Arc::clone(record), node.listen, Arc::clone(&refused));
            thread::spawn(move || {
                let id = format!("after-{n}");
                record.say(format!("a client sends {id} of class {}", BOOKING.name));
                let got = call(listen, &request(&BOOKING, &id, 2.0, "room 7"), Duration::from_secs(4));
                // A refusal tells the client that it is harmless to try again.
                if got.as_ref().is_ok_and(|answer| matches!(answer.status(), 429 | 503)) {
                    refused.lock().unwrap().push(id.clone());
                }
                let got = got.map_or_else(|error| error.to_string(), |answer| answer.status().to_string());
                record.say(format!("the client of {id} got {got}"));
            })
        })
        .collect();
    thread::sleep(ms(150));
    if trouble {
        record.say("new configuration: room-search is dropped, rate-quote is added; SIGHUP");
        place.write_config(&config(vec![BOOKING, QUOTE]));
        node.signal(SIGHUP);
    }
    thread::sleep(ms(250));
    record.say("discovery answers again");
    discovery.set_mode(Mode::Up);
    clients.into_iter().for_each(|client| drop(client.join()));
    thread::sleep(ms(300));
    let runs = runs.lock().unwrap();
    let refused = refused.lock().unwrap();
    let ids = || (0..REQUESTS).map(|n| format!("after-{n}"));
    let ran = |id: &String| runs.get(id).copied().unwrap_or(0);
    let (once, twice) = (ids().filter(|id| ran(id) > 0).count(), ids().filter(|id| ran(id) > 1).count());
    // No attempt proved that it had not run: each ended with a reset.
    let wrongly = ids().filter(|id| ran(id) > 0 && refused.contains(id)).count();
    record.say(format!(
        "unsafe requests that ran: {once} of {REQUESTS}, more than once: {twice}, refused though they had run: {wrongly}"
    ));
    if once == 0 {
        return Err("no request reached a server".into());
    }
    Ok(twice == 0 && wrongly == 0)
}
