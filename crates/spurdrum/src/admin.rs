//! The operators' calls for this process.

use std::cell::Cell;
use std::rc::Rc;

use spurdrum_core::Node;
use spurdrum_http::Upstream;
use spurdrum_ops::{AdminOperations, ServerCounts};

/// The state of this process that the admin endpoint exposes.
pub struct NodeStatus {
    /// The node, with its metrics and server counts.
    pub node: Rc<Node<Upstream>>,
    /// Whether this process is shutting down.
    pub shutting_down: Rc<Cell<bool>>,
}

impl AdminOperations for NodeStatus {
    fn ready(&self) -> Result<(), String> {
        if self.shutting_down.get() {
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
