//! What operators are told of this process.

use std::cell::Cell;
use std::rc::Rc;

use spurdrum_core::Node;
use spurdrum_http::Upstream;
use spurdrum_ops::{Operated, Servers};

/// This process as operators see it.
pub struct Process {
    /// What it counts.
    pub node: Rc<Node<Upstream>>,
    /// Whether it has been told to end.
    pub ending: Rc<Cell<bool>>,
}

impl Operated for Process {
    fn ready(&self) -> Result<(), String> {
        match (self.ending.get(), self.node.servers()) {
            (true, _) => Err("ending".into()),
            (false, (0, _)) => Err("no server is known yet".into()),
            _ => Ok(()),
        }
    }

    fn telemetry(&self) -> String {
        let (listed, down) = self.node.servers();
        spurdrum_ops::telemetry(&self.node.figures, Servers { listed, down })
    }

    fn latencies(&self) -> Option<String> {
        spurdrum_ops::latencies(&self.node.figures)
    }
}
