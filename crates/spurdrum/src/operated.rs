//! What operators are told of this process.

use std::cell::Cell;
use std::rc::Rc;

use spurdrum_core::Node;
use spurdrum_http::Upstream;
use spurdrum_ops::{AdminOperations, ServerCounts};

/// This process as operators see it.
pub struct Process {
    /// What it counts.
    pub node: Rc<Node<Upstream>>,
    /// Whether it has been told to end.
    pub ending: Rc<Cell<bool>>,
}

impl AdminOperations for Process {
    fn ready(&self) -> Result<(), String> {
        if self.ending.get() {
            return Err("ending".into());
        }
        if self.node.server_counts().0 == 0 {
            return Err("no server is known yet".into());
        }
        if self.node.is_starting() {
            return Err("starting: discovery has not confirmed the list of servers yet".into());
        }
        Ok(())
    }

    fn telemetry(&self) -> String {
        let (listed, down) = self.node.server_counts();
        spurdrum_ops::telemetry(&self.node.metrics, ServerCounts { listed, down })
    }

    fn latencies(&self) -> Option<String> {
        spurdrum_ops::latencies(&self.node.metrics)
    }
}
