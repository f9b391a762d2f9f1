//! Recorded traces, read as a stream: only one line is in memory at a time, however long the trace is.
//!
//! A trace is text. Its first line is `spurdrum-trace 1`; each further line is an attempt with its fields
//! separated by single tabs. The attempts are in the order in which they were due:
//!
//! ```text
//! due_us  id  first  class  tenant  key  bytes
//! 0       1   -      update inns    77   212
//! 5000    2   1      update inns    77   212
//! ```
//!
//! `first` is `-` for a first attempt, and for a retry the id of the first attempt that it repeats. `class`
//! and `tenant` are names from the plan; `tenant` is `-` if the plan has no tenants. Empty lines and lines
//! that begin with `#` are skipped.

use std::collections::HashMap;
use std::io::{BufRead, Write};

use crate::plan::Plan;
use crate::Arrival;

const MAGIC: &str = "spurdrum-trace 1";
/// Maximum length of a line in bytes.
const MAX_LINE_BYTES: u64 = 4096;

/// Iterator over the attempts of a trace. An error names its line and ends the iteration.
pub struct Reader<R> {
    source: R,
    line: u64,
    classes: HashMap<String, u16>,
    tenants: HashMap<String, u16>,
    /// Factor by which times are multiplied.
    time_factor: f64,
    last_due_us: u64,
    ended: bool,
}

impl<R: BufRead> Reader<R> {
    /// Creates a reader and reads the first line. With a `speed` of 2, the trace is replayed in half of its
    /// time.
    pub fn new(mut source: R, plan: &Plan, speed: f64) -> Result<Self, String> {
        if !(speed.is_finite() && speed > 0.0) {
            return Err(format!("invalid speed {speed}: must be above 0"));
        }
        let mut header = String::new();
        read_limited_line(&mut source, &mut header).map_err(|error| format!("1: {error}"))?;
        if header.trim_end() != MAGIC {
            return Err(format!("1: not a trace: the first line must be `{MAGIC}`"));
        }
        let index = |names: Vec<&String>| names.into_iter().zip(0..).map(|(n, i)| (n.clone(), i)).collect();
        Ok(Self {
            source,
            line: 1,
            classes: index(plan.classes.iter().map(|class| &class.name).collect()),
            tenants: index(plan.tenants.iter().map(|tenant| &tenant.name).collect()),
            time_factor: 1.0 / speed,
            last_due_us: 0,
            ended: false,
        })
    }

    /// Parses one line.
    fn parse(&mut self, text: &str) -> Result<Arrival, String> {
        let mut fields = text.split('\t');
        let mut field = |name: &'static str| fields.next().ok_or(name);
        let invalid = |name: &str| format!("`{name}` is missing or malformed");
        let number = |text: Result<&str, &'static str>, name| {
            text.ok().and_then(|text| text.parse::<u64>().ok()).ok_or_else(|| invalid(name))
        };
        let due = number(field("due_us"), "due_us")?;
        let id = number(field("id"), "id")?;
        let retry_of = match field("first").map_err(invalid)? {
            "-" => None,
            text => Some(number(Ok(text), "first")?),
        };
        let class = field("class").ok().and_then(|name| self.classes.get(name)).copied();
        let class = class.ok_or("`class` is missing or not in the plan")?;
        let tenant = match field("tenant").map_err(invalid)? {
            "-" if self.tenants.is_empty() => 0,
            name => *self.tenants.get(name).ok_or("`tenant` is not in the plan")?,
        };
        let key = number(field("key"), "key")?;
        let bytes = number(field("bytes"), "bytes")?;
        let bytes = u32::try_from(bytes).ok().filter(|n| *n <= 1 << 26).ok_or_else(|| invalid("bytes"))?;
        if fields.next().is_some() {
            return Err("has too many fields".into());
        }
        if retry_of == Some(id) {
            return Err("`first` is the id of the attempt itself".into());
        }
        let due_us = (due as f64 * self.time_factor) as u64;
        if due_us < self.last_due_us {
            return Err("`due_us` is lower than on the line before".into());
        }
        self.last_due_us = due_us;
        Ok(Arrival { due_us, id, retry_of, class, tenant, key, bytes })
    }
}

/// Reads a line of limited length and returns its length, 0 at the end of the trace.
fn read_limited_line(source: &mut impl BufRead, text: &mut String) -> Result<usize, String> {
    let read =
        std::io::Read::take(source, MAX_LINE_BYTES).read_line(text).map_err(|error| error.to_string())?;
    if read as u64 == MAX_LINE_BYTES && !text.ends_with('\n') {
        return Err("the line is too long".into());
    }
    Ok(read)
}

impl<R: BufRead> Iterator for Reader<R> {
    type Item = Result<Arrival, String>;

    fn next(&mut self) -> Option<Self::Item> {
        let mut text = String::new();
        while !self.ended {
            text.clear();
            self.line += 1;
            let arrival = match read_limited_line(&mut self.source, &mut text) {
                Ok(0) => break,
                Ok(_) => {
                    let text = text.trim_end_matches(['\n', '\r']);
                    if text.is_empty() || text.starts_with('#') {
                        continue;
                    }
                    self.parse(text)
                }
                Err(error) => Err(error),
            };
            self.ended = arrival.is_err();
            return Some(arrival.map_err(|error| format!("{}: {error}", self.line)));
        }
        None
    }
}

/// Writes a trace.
pub struct Writer<W> {
    sink: W,
    classes: Vec<String>,
    tenants: Vec<String>,
}

impl<W: Write> Writer<W> {
    /// Creates a writer and writes the first line.
    pub fn new(mut sink: W, plan: &Plan) -> std::io::Result<Self> {
        writeln!(sink, "{MAGIC}")?;
        Ok(Self {
            sink,
            classes: plan.classes.iter().map(|class| class.name.clone()).collect(),
            tenants: plan.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
        })
    }

    /// Writes one attempt.
    pub fn write(&mut self, arrival: &Arrival) -> std::io::Result<()> {
        let first = arrival.retry_of.map_or_else(|| "-".to_owned(), |id| id.to_string());
        let class = &self.classes[usize::from(arrival.class)];
        let tenant = self.tenants.get(usize::from(arrival.tenant)).map_or("-", String::as_str);
        writeln!(
            self.sink,
            "{}\t{}\t{first}\t{class}\t{tenant}\t{}\t{}",
            arrival.due_us, arrival.id, arrival.key, arrival.bytes
        )
    }

    /// Flushes what is still buffered.
    pub fn finish(mut self) -> std::io::Result<()> {
        self.sink.flush()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::schedule::Schedule;
    use proptest::prelude::*;

    fn plan() -> Plan {
        Plan::parse(
            "[[phase]]\nfor_s = 5\nshape = 'constant'\nrate = 100\n[[class]]\nname = \"update\"\naim_s = 0.4\n\
             deadline_s = 0.8\nbytes = [10, 90]\n[[tenant]]\nname = \"inns\"\n[[tenant]]\nname = \"hotels\"\n",
        )
        .expect("valid")
    }

    fn read(text: &str, speed: f64) -> Vec<Result<Arrival, String>> {
        match Reader::new(text.as_bytes(), &plan(), speed) {
            Ok(reader) => reader.collect(),
            Err(error) => vec![Err(error)],
        }
    }

    #[test]
    fn a_written_trace_is_read_back_unchanged() {
        let all: Vec<Arrival> = Schedule::new(&plan(), 5).collect();
        let mut text = Vec::new();
        let mut writer = Writer::new(&mut text, &plan()).expect("written");
        all.iter().for_each(|arrival| writer.write(arrival).expect("written"));
        writer.finish().expect("written");
        let read_back: Result<Vec<Arrival>, String> =
            Reader::new(&text[..], &plan(), 1.0).expect("a trace").collect();
        assert_eq!(read_back.expect("valid"), all);
        let fast: Vec<Arrival> =
            Reader::new(&text[..], &plan(), 2.0).expect("a trace").map(|a| a.expect("valid")).collect();
        assert!(all.iter().zip(&fast).all(|(a, b)| a.due_us / 2 == b.due_us));
    }

    #[test]
    fn errors_name_the_line_and_the_field() {
        let cases = [
            ("nothing\n", "1: "),
            ("spurdrum-trace 1\n\n# comment\nx\t1\t-\tupdate\tinns\t7\t20\n", "4: `due_us`"),
            ("spurdrum-trace 1\n0\t1\t-\tupdate\tinns\t7\n", "2: `bytes`"),
            ("spurdrum-trace 1\n0\t1\t-\tother\tinns\t7\t20\n", "2: `class`"),
            ("spurdrum-trace 1\n0\t1\t-\tupdate\t-\t7\t20\n", "2: `tenant`"),
            ("spurdrum-trace 1\n0\t1\t1\tupdate\tinns\t7\t20\n", "2: `first`"),
            ("spurdrum-trace 1\n9\t1\t-\tupdate\tinns\t7\t20\n8\t2\t-\tupdate\tinns\t7\t20\n", "3: `due_us`"),
            ("spurdrum-trace 1\n9\t1\t-\tupdate\tinns\t7\t20\t\n", "2: has too many"),
        ];
        for (text, expected) in cases {
            let errors: Vec<String> = read(text, 1.0).into_iter().filter_map(Result::err).collect();
            assert_eq!(errors.len(), 1, "{text}");
            assert!(errors[0].starts_with(expected), "{text}: {}", errors[0]);
        }
        let long_line = format!("spurdrum-trace 1\n{}\n", "9".repeat(10_000));
        assert_eq!(read(&long_line, 1.0).len(), 1);
    }

    proptest! {
        #[test]
        fn the_reader_does_not_panic_on_arbitrary_text(text in "\\PC*", fields in "[0-9a-z\t\n#-]{0,200}") {
            read(&text, 1.0);
            read(&format!("{MAGIC}\n{fields}"), 3.0);
        }
    }
}
