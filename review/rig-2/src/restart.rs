//! A killed node starts again while discovery takes long for a call; a server has begun to drain in between.

use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::rig::*;
use crate::Verdict;

const CLASS: Class = Class { name: "inventory-update", effect: "dedup", deadline_ms: 800 };
/// How long after the drain the node starts again.
const DOWN: Duration = Duration::from_secs(8);
/// How long discovery takes for a call then; it fails calls after 3 s.
const CALL_MS: u64 = 2400;
/// A change counts as told so long after it was made, at the latest; new work may go on for the grace, and each time
/// limit is 50 ms longer on sockets.
const LAST_SEND: Duration = Duration::from_millis(6000 + 250 + 50);

pub fn play(root: &Path, trouble: bool, record: &Arc<Record>) -> Verdict {
    let draining_since: Arc<Mutex<Option<Instant>>> = Arc::default();
    let (late, served) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let servers: Vec<Server> = (0..4)
        .map(|number| {
            let (record, draining_since, late) =
                (Arc::clone(record), Arc::clone(&draining_since), Arc::clone(&late));
            Server::start(move |request, stream, _| {
                let since = *draining_since.lock().unwrap();
                if let Some(since) = since.filter(|_| number == 0) {
                    let after = since.elapsed();
                    let is_late = after > LAST_SEND;
                    late.fetch_add(u64::from(is_late), Ordering::SeqCst);
                    record.say(format!(
                        "server 0 got {} {:.3} s after it began to drain{}",
                        request.id(),
                        after.as_secs_f64(),
                        if is_late { ": too late" } else { "" }
                    ));
                }
                thread::sleep(ms(30));
                let mut stream = stream;
                let _ = stream.write_all(&answer("200 OK", "X-Load: queue=0,inflight=1\r\n", "done"));
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
    record.say("the node is killed; server 0 begins to drain and goes on answering");
    node.kill();
    discovery.put("s0", member("s0", servers[0].address, 0, "leaving"), false);
    *draining_since.lock().unwrap() = Some(Instant::now());
    thread::sleep(DOWN);
    if trouble {
        record.say(format!("discovery takes {CALL_MS} ms for a call from now on"));
        discovery.set_slowness(ms(CALL_MS));
    }
    let node = Node::start(&place, discovery.address, None, record);
    if !node.wait_ready() {
        return Err("the node does not get ready again".into());
    }
    record.say("the node answers 200 to the health call: clients come");
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..6)
        .map(|client| {
            let (stop, served, listen) = (Arc::clone(&stop), Arc::clone(&served), node.listen);
            thread::spawn(move || {
                for n in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let text = request(&CLASS, &format!("c{client}-{n}"), 0.8, "rooms");
                    let got = call(listen, &text, ms(1500));
                    served.fetch_add(u64::from(got.is_ok_and(|answer| answer.status() == 200)), Ordering::SeqCst);
                    thread::sleep(ms(20));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    let (late, served) = (late.load(Ordering::SeqCst), served.load(Ordering::SeqCst));
    record.say(format!("served: {served}, sent to the draining server too late: {late}"));
    if served == 0 {
        return Err("nothing was served".into());
    }
    Ok(late == 0)
}
