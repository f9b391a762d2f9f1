//! Runs the binary on literal batches of input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const BOOT: &str = r#"BOOT node=node-1 seed=7 facts={"classes": [{"deadline_ms": 800.0, "promise_ms": 400.0, "effect": "retryable", "name": "a"}], "n_instances": 1, "stats": {"fields": ["waiting", "active"], "source": "inline"}}"#;

fn adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_spurdrum-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the binary starts");
    // An adapter that stops early closes its input. The tests look at what it has written by then.
    let _ = child.stdin.take().expect("piped").write_all(input.as_bytes());
    child.wait_with_output().expect("the binary ends")
}

fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).expect("text")
}

#[test]
fn an_empty_batch_is_answered() {
    let output = adapter("CLOCK wall_ms=1.0\nEOB\n");
    assert!(output.status.success());
    assert_eq!(text(&output.stdout), "NEXT\n");
}

#[test]
fn a_request_is_sent_and_its_answer_completes_it() {
    let input = format!(
        "CLOCK wall_ms=1.0\n{BOOT}\nCENSUS roster_id=0 hosts=1\nM availability=2 server=10.0.0.1:80\n\
         REGISTRY node=node-1 mode=2 roster_id=0 epoch=1\nEOB\n\n\
         CLOCK wall_ms=2.0\nCALL node=node-1 txn=5 grade=0 budget_ms=800.0\nEOB\n\n\
         CLOCK wall_ms=9.0\nENDED node=node-1 txn=5 rtt_ms=7.0 server=10.0.0.1:80 try=0 complete=1 ending=S\nEOB\n"
    );
    let output = adapter(&input);
    assert!(output.status.success());
    assert_eq!(text(&output.stdout), "NEXT\nPLACE node=node-1 txn=5 server=10.0.0.1:80\nNEXT\nNEXT\n");
}

const LIST: &str =
    "CENSUS roster_id=0 hosts=2\nM availability=2 block=0 units=1 type=0 site=0 server=10.0.0.1:80\n\
                    M availability=2 launched_ms=6100.0 block=0 units=1.5 type=0 site=1 server=10.0.0.2:80\n\
                    REGISTRY node=node-1 mode=2 roster_id=0 epoch=1\n";

fn started() -> String {
    format!("CLOCK wall_ms=1.0\n{BOOT}\n{LIST}EOB\n\n")
}

/// One run with every event, and every action that they lead to. It never asks for probes or closes.
#[test]
fn every_event_is_read_and_every_action_printed() {
    let boot = BOOT.replace("\"n_instances\"", "\"discovery\": \"subscribe\", \"n_instances\"");
    let input = format!(
        "CLOCK wall_ms=1.0\n{boot}\n{LIST}EOB\n\n\
         CLOCK wall_ms=2.0\nREGISTRY node=node-1 mode=3 roster_id=0 epoch=1\nFIRED node=node-1 nonce=other\n\
         HEALTH node=node-1 rtt_ms=1.0 ending=S server=10.0.0.1:80 server_stats=1,2\n\
         FROM_PEER node=node-1 neighbour=2 payload=00\nEOB\n\n\
         CLOCK wall_ms=2000.0\nFIRED node=node-1 nonce=0\n\
         CALL node=node-1 txn=5 grade=0 party=0 item=k:a budget_ms=800.0 cost_ms=12.0 marks=1\n\
         CALL node=node-1 txn=6 grade=0 budget_ms=800.0\nCALL node=node-1 txn=7 grade=9 budget_ms=800.0\nEOB\n\n\
         CLOCK wall_ms=2010.0\nACK_FIRST node=node-1 txn=5 try=0 server=10.0.0.1:80 rtt_ms=10.0\n\
         HANGUP node=node-1 txn=6\nTEARDOWN node=node-1\nEOB\n"
    );
    let output = adapter(&input);
    assert!(output.status.success());
    let replies: Vec<&str> = text(&output.stdout).split("NEXT\n").collect();
    assert_eq!(replies[0], "TRACK node=node-1 want=1\n");
    let second: Vec<&str> = replies[1].lines().collect();
    assert_eq!(second[0], "NOTE_DOWN node=node-1 note_text=the list of servers does not come");
    assert!(second[1].starts_with("SCHEDULE node=node-1 nonce=0 offset_ms="), "{}", second[1]);
    let third: Vec<&str> = replies[2].lines().collect();
    assert_eq!(third[0], "TRACK node=node-1 want=1");
    assert!(third[1].starts_with("PLACE node=node-1 txn=5 server=10.0.0."), "{}", third[1]);
    assert!(third[2].starts_with("PLACE node=node-1 txn=6 server=10.0.0."), "{}", third[2]);
    assert_eq!(third[3], "REPORT_FAILURE node=node-1 txn=7");
    assert_eq!(replies[3], "STOP_ATTEMPT node=node-1 txn=6 try=0\n");
}

#[test]
fn without_servers_a_request_is_refused() {
    let input = format!(
        "CLOCK wall_ms=1.0\n{BOOT}\nCENSUS roster_id=3 hosts=0\nREGISTRY node=node-1 mode=2 roster_id=3 epoch=1\n\
         CALL node=node-1 txn=5 grade=0 budget_ms=800.0\nEOB\n"
    );
    assert_eq!(text(&adapter(&input).stdout), "PUSH_BACK node=node-1 txn=5\nNEXT\n");
}

/// The number of a list is resolved at the line of the event, not at the end of the batch.
#[test]
fn list_numbers_are_reused_within_a_batch() {
    let second = BOOT.replace("node-1", "node-2");
    let input = format!(
        "CLOCK wall_ms=1.0\n{BOOT}\nCENSUS roster_id=0 hosts=1\nM availability=2 server=10.0.0.1:80\n\
         REGISTRY node=node-1 mode=2 roster_id=0 epoch=1\n{second}\n\
         CENSUS roster_id=0 hosts=1\nM availability=2 server=10.0.0.2:80\n\
         REGISTRY node=node-2 mode=2 roster_id=0 epoch=2\n\
         CALL node=node-1 txn=5 grade=0 budget_ms=800.0\nCALL node=node-2 txn=6 grade=0 budget_ms=800.0\nEOB\n"
    );
    assert_eq!(
        text(&adapter(&input).stdout),
        "PLACE node=node-1 txn=5 server=10.0.0.1:80\nPLACE node=node-2 txn=6 server=10.0.0.2:80\nNEXT\n"
    );
}

/// Runs two instances together and each alone: what an instance does must not depend on the others of its
/// process.
#[test]
fn instances_act_alike_together_and_apart() {
    let run = |nodes: &[u32]| {
        let mut input = String::from("CLOCK wall_ms=1.0\n");
        for n in nodes {
            input += &BOOT.replace("node-1", &format!("node-{n}")).replace("seed=7", &format!("seed={n}"));
            // Each instance gets the servers in another order.
            let (first, second) = if *n == 1 { (1, 9) } else { (9, 1) };
            input += &format!(
                "\nCENSUS roster_id=0 hosts=2\nM availability=2 server=10.0.0.{first}:80\n\
                 M availability=2 server=10.0.0.{second}:80\nREGISTRY node=node-{n} mode=2 roster_id=0 epoch=1\n"
            );
        }
        input += "EOB\n\n";
        for t in 0..200 {
            input += &format!("CLOCK wall_ms={}.0\n", 10 + t * 10);
            for n in nodes {
                let txn = 1_000 * n + t;
                input += &format!("CALL node=node-{n} txn={txn} grade=0 budget_ms=800.0\n");
                if t > 3 {
                    let (txn, held) = (txn - 3, t % 5);
                    input += &format!(
                        "ENDED node=node-{n} txn={txn} rtt_ms=30.0 server=10.0.0.1:80 try=0 complete=1 ending=S \
                         server_stats=0,{held}\n"
                    );
                }
            }
            input += "EOB\n\n";
        }
        text(&adapter(&input).stdout).to_owned()
    };
    let actions_of = |all: &str, n: u32| -> Vec<String> {
        let name = format!("node=node-{n} ");
        all.lines().filter(|l| l.contains(&name)).map(str::to_owned).collect()
    };
    let together = run(&[1, 2]);
    for n in [1, 2] {
        let apart = actions_of(&run(&[n]), n);
        assert!(apart.len() >= 200, "{} actions", apart.len());
        assert_eq!(actions_of(&together, n), apart);
    }
}

/// Malformed input ends the adapter with one line on standard error that names the place and the fault.
#[test]
fn malformed_input_ends_the_adapter_with_one_error_line() {
    let cases = [
        ("CALL node=node-1 grade=0 budget_ms=800.0", "CALL: `txn` is missing"),
        ("CALL node=node-1 txn=5 grade=0", "CALL: `budget_ms` is missing"),
        ("CALL node=node-1 txn=five grade=0 budget_ms=800.0", "CALL: `txn=five` is not a whole number"),
        ("CALL node=node-1 txn=5 grade=0 budget_ms=soon", "CALL: `budget_ms=soon` is not a number"),
        ("CALL node=node-1 txn=5 grade=0 budget_ms=NaN", "CALL: `budget_ms=NaN` is not a number"),
        ("CALL node=node-1 txn", "CALL: `txn` is not a name=value pair"),
        ("REGISTRY node=node-1 mode=1 roster_id=4 epoch=1", "REGISTRY: `roster_id=4` is not a known list"),
        ("REGISTRY node=node-1 mode=7 roster_id=0 epoch=1", "REGISTRY: `mode=7` is unknown"),
        ("CENSUS roster_id=16 hosts=0", "CENSUS: `roster_id=16` is out of range"),
        ("CENSUS roster_id=0 hosts=1\nEOB", "EOB: `EOB` where a list entry was expected"),
        ("ENDED node=node-1 txn=5 rtt_ms=7.0 try=0 complete=1 ending=Q", "ENDED: `ending=Q` is unknown"),
        ("BOOT node=node-2 seed=1 facts={\"classes\": []}", "BOOT: setting `classes`"),
        ("BOOT node=node-2 seed=1 facts={\"classes\": [{}]}", "BOOT: `facts`: a class has no `deadline_ms`"),
        ("BOOT node=node-2 seed=1 facts={", "BOOT: `facts`:"),
        ("CLOCK", "CLOCK: `wall_ms` is missing"),
    ];
    for (line, message) in cases {
        let input = format!("{}CLOCK wall_ms=2.0\n{line}\nEOB\n", started());
        let number = started().lines().count() + 1 + line.lines().count();
        let output = adapter(&input);
        let errors = text(&output.stderr);
        assert!(!output.status.success(), "{line}");
        assert_eq!(text(&output.stdout), "NEXT\n", "{line}");
        assert_eq!(errors.lines().count(), 1, "{errors}");
        assert!(errors.contains(message) && errors.contains(&format!("line {number}:")), "{line}: {errors}");
    }
}

#[test]
fn unknown_keys_and_messages_are_ignored() {
    let input = format!(
        "{}CLOCK wall_ms=2.0 mood=fine\nWEATHER node=node-1 sky=blue\nWEATHER node=node-1 sky=grey\n\
         CALL node=node-1 txn=5 grade=0 budget_ms=800.0 colour=red\nEOB\n",
        started()
    );
    let output = adapter(&input);
    assert!(output.status.success());
    assert!(text(&output.stdout).starts_with("NEXT\nPLACE node=node-1 txn=5 server="));
    assert_eq!(text(&output.stderr).lines().count(), 1, "one warning for each unknown message");
}

#[test]
fn the_end_of_input_within_a_batch_is_a_clean_exit() {
    let output =
        adapter(&format!("{}CLOCK wall_ms=2.0\nCALL node=node-1 txn=5 grade=0 budget_ms=800.0\n", started()));
    assert!(output.status.success());
    assert_eq!(text(&output.stdout), "NEXT\n", "an unfinished batch gets no reply");
}

/// Missing settings keep the strictest default; unknown ones are ignored.
#[test]
fn settings_may_be_missing_or_unknown() {
    let boot = r#"BOOT node=node-1 seed=7 facts={"classes": [{"deadline_ms": 800.0, "tone": 3}], "news": {"a": []}}"#;
    let input = format!(
        "CLOCK wall_ms=1.0\n{boot}\n{LIST}CALL node=node-1 txn=5 grade=0 budget_ms=800.0\nEOB\n\n\
         CLOCK wall_ms=9.0\nENDED node=node-1 txn=5 rtt_ms=7.0 try=0 complete=0 ending=E\nEOB\n"
    );
    let output = adapter(&input);
    assert!(output.status.success());
    let failed = "NEXT\nREPORT_FAILURE node=node-1 txn=5\nNEXT\n";
    assert!(text(&output.stdout).ends_with(failed), "{}", text(&output.stdout));
}
