//! `rig-2 CASE ROOT FOLDER`: plays one case of the review and writes `record.txt` into its folder. The exit code is 0
//! if the rule held, 1 if it was broken, and 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod pipelined;
mod queued;
mod restart;
mod rig;

use std::path::PathBuf;
use std::process::exit;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use rig::{kill_all, watchdog, Record};

/// How a case ended: whether the rule held, or why the case could not run.
pub type Verdict = Result<bool, String>;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, root, folder] = &args[..] else {
        eprintln!("rig-2 CASE ROOT FOLDER");
        exit(2)
    };
    let (root, folder) = (PathBuf::from(root), PathBuf::from(folder));
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let record = Record::new(&folder);
    record.say(format!("case {case}, {}", if trouble { "with the disruption" } else { "without the disruption" }));
    let done = watchdog(std::time::Duration::from_secs(110), &record);
    let play = match case.as_str() {
        "pipelined" => pipelined::play,
        "queued" => queued::play,
        "restart" => restart::play,
        _ => {
            eprintln!("no such case");
            exit(2)
        }
    };
    let shared = Arc::clone(&record);
    let verdict = std::thread::spawn(move || play(&root, trouble, &shared)).join();
    done.store(true, Ordering::SeqCst);
    kill_all();
    let code = match verdict {
        Ok(Ok(true)) => 0,
        Ok(Ok(false)) => 1,
        Ok(Err(reason)) => {
            record.say(format!("the case could not run: {reason}"));
            2
        }
        Err(_) => {
            record.say("the case could not run: a part of it panicked");
            2
        }
    };
    record.say(format!("exit code {code}"));
    record.save();
    exit(code)
}
