//! The operators' calls that a node answers.

use crate::shell::CallHandler;

/// The state that a node exposes to operators. All operations are read-only.
pub trait AdminOperations: 'static {
    /// Returns the reason why this process is not ready to serve, if it is not.
    fn ready(&self) -> Result<(), String>;

    /// Returns the node's metrics as complete lines.
    fn telemetry(&self) -> String;

    /// Returns the latency histograms as complete lines, if the node records them.
    fn latencies(&self) -> Option<String> {
        None
    }
}

/// The handler of the calls to a node.
pub struct NodeCalls<O>(pub O);

impl<O: AdminOperations> CallHandler for NodeCalls<O> {
    fn answer(&self, line: &str) -> String {
        let unknown_call = || "NO there is no such call: readyz, telemetry\n".to_owned();
        match line {
            "readyz" => {
                self.0.ready().map_or_else(|reason| format!("NO {reason}\n"), |()| "YES ready\n".to_owned())
            }
            "telemetry" => self.0.telemetry(),
            "latencies" => self.0.latencies().unwrap_or_else(unknown_call),
            _ => unknown_call(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    struct FakeNode(bool);

    impl AdminOperations for FakeNode {
        fn ready(&self) -> Result<(), String> {
            self.0.then_some(()).ok_or_else(|| "ending".into())
        }

        fn telemetry(&self) -> String {
            "{}\nEND\n".into()
        }
    }

    #[test]
    fn each_call_is_matched_by_its_whole_line() {
        let call = |line| NodeCalls(FakeNode(true)).answer(line);
        assert_eq!((call("readyz"), call("telemetry")), ("YES ready\n".into(), "{}\nEND\n".into()));
        assert_eq!(NodeCalls(FakeNode(false)).answer("readyz"), "NO ending\n");
        for unknown in ["ready", "readyz telemetry", "READYZ", "latencies"] {
            assert_eq!(call(unknown), "NO there is no such call: readyz, telemetry\n");
        }
    }
}
