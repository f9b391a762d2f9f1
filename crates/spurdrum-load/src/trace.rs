//! Recorded traces, read as a stream: however long one is, a line of it is held at a time.
//!
//! A trace is text. Its first line is `spurdrum-trace 1`; each further one is a try, its fields apart by single
//! tabs, in the order in which they were due:
//!
//! ```text
//! due_us  id  first  class  tenant  key  bytes
//! 0       1   -      update inns    77   212
//! 5000    2   1      update inns    77   212
//! ```
//!
//! `first` is `-` for a first try, else the id of the first try that this one repeats. `class` and `tenant` are names
//! from the plan, `tenant` is `-` where there are none. Empty lines and those that begin with `#` are passed over.

use std::collections::HashMap;
use std::io::{BufRead, Write};

use crate::plan::Plan;
use crate::Arrival;

const MAGIC: &str = "spurdrum-trace 1";
/// A line may be this long.
const LINE_MOST: u64 = 4096;

/// The tries of a trace, one by one. An error names its line and ends the stream.
pub struct Reader<R> {
    from: R,
    line: u64,
    classes: HashMap<String, u16>,
    tenants: HashMap<String, u16>,
    /// Times are multiplied by this.
    stretch: f64,
    last_due: u64,
    over: bool,
}

impl<R: BufRead> Reader<R> {
    /// Reads the first line. With `speed` 2, a trace is replayed in half of its time.
    pub fn new(mut from: R, plan: &Plan, speed: f64) -> Result<Self, String> {
        if !(speed.is_finite() && speed > 0.0) {
            return Err(format!("a speed of {speed} is not above 0"));
        }
        let mut first = String::new();
        limited(&mut from, &mut first).map_err(|e| format!("1: {e}"))?;
        if first.trim_end() != MAGIC {
            return Err(format!("1: is not `{MAGIC}`"));
        }
        let index = |names: Vec<&String>| names.into_iter().zip(0..).map(|(n, i)| (n.clone(), i)).collect();
        Ok(Self {
            from,
            line: 1,
            classes: index(plan.classes.iter().map(|class| &class.name).collect()),
            tenants: index(plan.tenants.iter().map(|tenant| &tenant.name).collect()),
            stretch: 1.0 / speed,
            last_due: 0,
            over: false,
        })
    }

    fn parse(&mut self, text: &str) -> Result<Arrival, String> {
        let mut fields = text.split('\t');
        let mut field = |name: &'static str| fields.next().ok_or(name);
        let wrong = |name: &str| format!("`{name}` is missing or malformed");
        let number = |text: Result<&str, &'static str>, name| {
            text.ok().and_then(|text| text.parse::<u64>().ok()).ok_or_else(|| wrong(name))
        };
        let due = number(field("due_us"), "due_us")?;
        let id = number(field("id"), "id")?;
        let retry_of = match field("first").map_err(wrong)? {
            "-" => None,
            text => Some(number(Ok(text), "first")?),
        };
        let class = field("class").ok().and_then(|name| self.classes.get(name)).copied();
        let class = class.ok_or("`class` is missing or not in the plan")?;
        let tenant = match field("tenant").map_err(wrong)? {
            "-" if self.tenants.is_empty() => 0,
            name => *self.tenants.get(name).ok_or("`tenant` is not in the plan")?,
        };
        let key = number(field("key"), "key")?;
        let bytes = number(field("bytes"), "bytes")?;
        let bytes = u32::try_from(bytes).ok().filter(|n| *n <= 1 << 26).ok_or_else(|| wrong("bytes"))?;
        if fields.next().is_some() {
            return Err("has too many fields".into());
        }
        if retry_of == Some(id) {
            return Err("`first` is its own id".into());
        }
        let due_us = (due as f64 * self.stretch) as u64;
        if due_us < self.last_due {
            return Err("`due_us` runs backwards".into());
        }
        self.last_due = due_us;
        Ok(Arrival { due_us, id, retry_of, class, tenant, key, bytes })
    }
}

fn limited(from: &mut impl BufRead, text: &mut String) -> Result<usize, String> {
    let read = std::io::Read::take(from, LINE_MOST).read_line(text).map_err(|e| e.to_string())?;
    if read as u64 == LINE_MOST && !text.ends_with('\n') {
        return Err("is too long".into());
    }
    Ok(read)
}

impl<R: BufRead> Iterator for Reader<R> {
    type Item = Result<Arrival, String>;

    fn next(&mut self) -> Option<Self::Item> {
        let mut text = String::new();
        while !self.over {
            text.clear();
            self.line += 1;
            let arrival = match limited(&mut self.from, &mut text) {
                Ok(0) => break,
                Ok(_) => {
                    let text = text.trim_end_matches(['\n', '\r']);
                    if text.is_empty() || text.starts_with('#') {
                        continue;
                    }
                    self.parse(text)
                }
                Err(why) => Err(why),
            };
            self.over = arrival.is_err();
            return Some(arrival.map_err(|why| format!("{}: {why}", self.line)));
        }
        None
    }
}

/// Writes a trace.
pub struct Writer<W> {
    to: W,
    classes: Vec<String>,
    tenants: Vec<String>,
}

impl<W: Write> Writer<W> {
    /// Writes the first line.
    pub fn new(mut to: W, plan: &Plan) -> std::io::Result<Self> {
        writeln!(to, "{MAGIC}")?;
        Ok(Self {
            to,
            classes: plan.classes.iter().map(|class| class.name.clone()).collect(),
            tenants: plan.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
        })
    }

    /// Writes one try.
    pub fn write(&mut self, a: &Arrival) -> std::io::Result<()> {
        let first = a.retry_of.map_or_else(|| "-".to_owned(), |first| first.to_string());
        let class = &self.classes[usize::from(a.class)];
        let tenant = self.tenants.get(usize::from(a.tenant)).map_or("-", String::as_str);
        writeln!(self.to, "{}\t{}\t{first}\t{class}\t{tenant}\t{}\t{}", a.due_us, a.id, a.key, a.bytes)
    }

    /// Writes out what is still held.
    pub fn finish(mut self) -> std::io::Result<()> {
        self.to.flush()
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
        .expect("sound")
    }

    fn read(text: &str, speed: f64) -> Vec<Result<Arrival, String>> {
        match Reader::new(text.as_bytes(), &plan(), speed) {
            Ok(reader) => reader.collect(),
            Err(why) => vec![Err(why)],
        }
    }

    #[test]
    fn what_is_written_is_read_back() {
        let all: Vec<Arrival> = Schedule::new(&plan(), 5).collect();
        let mut text = Vec::new();
        let mut writer = Writer::new(&mut text, &plan()).expect("written");
        all.iter().for_each(|arrival| writer.write(arrival).expect("written"));
        writer.finish().expect("written");
        let back: Result<Vec<Arrival>, String> =
            Reader::new(&text[..], &plan(), 1.0).expect("a trace").collect();
        assert_eq!(back.expect("sound"), all);
        let fast: Vec<Arrival> =
            Reader::new(&text[..], &plan(), 2.0).expect("a trace").map(|a| a.expect("sound")).collect();
        assert!(all.iter().zip(&fast).all(|(a, b)| a.due_us / 2 == b.due_us));
    }

    #[test]
    fn what_is_wrong_is_named_with_its_line() {
        let cases = [
            ("nothing\n", "1: "),
            ("spurdrum-trace 1\n\n# said\nx\t1\t-\tupdate\tinns\t7\t20\n", "4: `due_us`"),
            ("spurdrum-trace 1\n0\t1\t-\tupdate\tinns\t7\n", "2: `bytes`"),
            ("spurdrum-trace 1\n0\t1\t-\tother\tinns\t7\t20\n", "2: `class`"),
            ("spurdrum-trace 1\n0\t1\t-\tupdate\t-\t7\t20\n", "2: `tenant`"),
            ("spurdrum-trace 1\n0\t1\t1\tupdate\tinns\t7\t20\n", "2: `first`"),
            ("spurdrum-trace 1\n9\t1\t-\tupdate\tinns\t7\t20\n8\t2\t-\tupdate\tinns\t7\t20\n", "3: `due_us`"),
            ("spurdrum-trace 1\n9\t1\t-\tupdate\tinns\t7\t20\t\n", "2: has too many"),
        ];
        for (text, named) in cases {
            let errors: Vec<String> = read(text, 1.0).into_iter().filter_map(Result::err).collect();
            assert_eq!(errors.len(), 1, "{text}");
            assert!(errors[0].starts_with(named), "{text}: {}", errors[0]);
        }
        let long = format!("spurdrum-trace 1\n{}\n", "9".repeat(10_000));
        assert_eq!(read(&long, 1.0).len(), 1);
    }

    proptest! {
        #[test]
        fn no_text_breaks_the_reader(text in "\\PC*", fields in "[0-9a-z\t\n#-]{0,200}") {
            read(&text, 1.0);
            read(&format!("{MAGIC}\n{fields}"), 3.0);
        }
    }
}
