//! What operators may ask of a node.

use crate::shell::CallHandler;

/// What is operated: it answers calls and changes nothing.
pub trait AdminOperations: 'static {
    /// Why this process cannot serve, if it cannot.
    fn ready(&self) -> Result<(), String>;

    /// The figures, whole lines.
    fn telemetry(&self) -> String;

    /// How long answers took, whole lines, where that is kept.
    fn latencies(&self) -> Option<String> {
        None
    }
}

/// The calls of a node.
pub struct NodeCalls<O>(pub O);

impl<O: AdminOperations> CallHandler for NodeCalls<O> {
    fn answer(&self, line: &str) -> String {
        let none = || "NO there is no such call: readyz, telemetry\n".to_owned();
        match line {
            "readyz" => {
                self.0.ready().map_or_else(|why| format!("NO {why}\n"), |()| "YES ready\n".to_owned())
            }
            "telemetry" => self.0.telemetry(),
            "latencies" => self.0.latencies().unwrap_or_else(none),
            _ => none(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    struct Told(bool);

    impl AdminOperations for Told {
        fn ready(&self) -> Result<(), String> {
            self.0.then_some(()).ok_or_else(|| "ending".into())
        }

        fn telemetry(&self) -> String {
            "{}\nEND\n".into()
        }
    }

    #[test]
    fn calls_are_known_by_their_line() {
        let ask = |line| NodeCalls(Told(true)).answer(line);
        assert_eq!((ask("readyz"), ask("telemetry")), ("YES ready\n".into(), "{}\nEND\n".into()));
        assert_eq!(NodeCalls(Told(false)).answer("readyz"), "NO ending\n");
        for wrong in ["ready", "readyz telemetry", "READYZ", "latencies"] {
            assert_eq!(ask(wrong), "NO there is no such call: readyz, telemetry\n");
        }
    }
}
