//! Adapter for the simulator: drives balancers, one for each simulated node, over a text protocol on standard
//! input and output.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, BufRead, Write};
use std::panic::{self, AssertUnwindSafe};
use std::process::ExitCode;

use spurdrum_facts::one_line;
use spurdrum_policy::{Action, Balancer};

mod wire;
use wire::{Codec, Line, ListEntry, WireError};

/// A simulated node: its balancer, and the codec that maps its server names to ids.
struct Instance {
    balancer: Balancer,
    codec: Codec,
}

#[derive(Default)]
struct Adapter {
    /// The simulator's time in milliseconds.
    now: f64,
    instances: BTreeMap<String, Instance>,
    /// Server lists by their number on the wire.
    lists: [Option<Vec<ListEntry>>; 16],
    /// The server list being read: its number, the number of entries expected, and the entries read so far.
    partial_list: Option<(usize, usize, Vec<ListEntry>)>,
    /// Unknown messages and nodes for which a warning was printed.
    warned: BTreeSet<String>,
    /// Lines to be written at the end of the batch.
    reply: String,
    actions: Vec<Action>,
}

/// What follows a line: more lines of the batch, or its reply.
enum Step {
    More,
    EndOfBatch,
}

impl Adapter {
    /// Handles one input line.
    fn line(&mut self, text: &str) -> Result<Step, WireError> {
        if let Some((number, expected, mut entries)) = self.partial_list.take() {
            entries.push(ListEntry::parse(text)?);
            if entries.len() < expected {
                self.partial_list = Some((number, expected, entries));
            } else {
                self.lists[number] = Some(entries);
            }
            return Ok(Step::More);
        }
        let line = Line::parse(text)?;
        match line.message {
            "CLOCK" => self.now = line.require_number("wall_ms")?,
            "EOB" => {
                self.reply.push_str("NEXT\n");
                return Ok(Step::EndOfBatch);
            }
            "CENSUS" => self.start_list(&line)?,
            "BOOT" => {
                let mut codec = Codec::default();
                let settings = codec.settings(line.text("facts")?)?;
                let seed = line.whole("seed")?.unwrap_or(0);
                let balancer = Balancer::new(settings, seed).map_err(|e| WireError::from_error(&e))?;
                self.instances.insert(line.text("node")?.to_owned(), Instance { balancer, codec });
            }
            "TEARDOWN" => drop(self.instances.remove(line.text("node")?)),
            "REGISTRY" | "CALL" | "ACK_FIRST" | "ENDED" | "HANGUP" | "FIRED" | "HEALTH" => {
                self.event(&line)?
            }
            "FROM_PEER" => {} // Balancers do not use messages from other nodes.
            other => self.warn_once(other, "ignored an unknown message"),
        }
        Ok(Step::More)
    }

    /// Handles the header of a server list, which its entries follow.
    fn start_list(&mut self, line: &Line<'_>) -> Result<(), WireError> {
        let required = |name| line.whole(name)?.map_or_else(|| line.text(name).map(|_| 0), Ok);
        let (number, expected) = (required("roster_id")? as usize, required("hosts")? as usize);
        if number >= self.lists.len() {
            return Err(WireError::from_error(&format!("`roster_id={number}` is out of range")));
        }
        if expected == 0 {
            self.lists[number] = Some(Vec::new());
        } else {
            self.partial_list = Some((number, expected, Vec::new()));
        }
        Ok(())
    }

    /// Passes an event to its instance's balancer and appends the balancer's actions to the reply.
    fn event(&mut self, line: &Line<'_>) -> Result<(), WireError> {
        let node = line.text("node")?;
        let Some(instance) = self.instances.get_mut(node) else {
            self.warn_once(node, "ignored a message to an instance that is not running");
            return Ok(());
        };
        let Some(event) = instance.codec.event(line, &self.lists)? else {
            return Ok(());
        };
        let (now, actions) = (self.now, &mut self.actions);
        let handled = panic::catch_unwind(AssertUnwindSafe(|| instance.balancer.handle(now, event, actions)));
        if handled.is_ok() {
            for action in self.actions.drain(..) {
                instance.codec.print(node, &action, &mut self.reply);
            }
        } else {
            self.actions.clear();
            self.reply.push_str(&format!("INTERNAL_ERROR node={node} note_text=the balancer panicked\n"));
            self.instances.remove(node);
        }
        Ok(())
    }

    /// Prints a warning about an unknown message or node, once for each.
    fn warn_once(&mut self, subject: &str, warning: &str) {
        if self.warned.insert(subject.to_owned()) {
            eprintln!("spurdrum-simhost: {warning}: {}", one_line(subject));
        }
    }
}

fn main() -> ExitCode {
    let (mut input, mut output) = (io::stdin().lock(), io::stdout().lock());
    let mut adapter = Adapter::default();
    let (mut text, mut number) = (String::new(), 0_u64);
    loop {
        text.clear();
        number += 1;
        match input.read_line(&mut text) {
            Ok(0) => return ExitCode::SUCCESS,
            Ok(_) => {}
            Err(error) => {
                eprintln!("spurdrum-simhost: line {number}: {error}");
                return ExitCode::FAILURE;
            }
        }
        let line = text.trim_end_matches(['\n', '\r']);
        // A blank line separates batches.
        let step = if line.is_empty() && adapter.partial_list.is_none() {
            Ok(Step::More)
        } else {
            adapter.line(line)
        };
        match step {
            Ok(Step::More) => {}
            Ok(Step::EndOfBatch) => {
                let written = output.write_all(adapter.reply.as_bytes()).and_then(|()| output.flush());
                if let Err(error) = written {
                    eprintln!("spurdrum-simhost: line {number}: cannot reply: {error}");
                    return ExitCode::FAILURE;
                }
                adapter.reply.clear();
            }
            Err(error) => {
                let message = line.split(' ').next().unwrap_or_default();
                eprintln!("spurdrum-simhost: line {number}: {message}: {error}");
                return ExitCode::FAILURE;
            }
        }
    }
}
