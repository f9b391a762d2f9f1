//! One node without a protocol. A front turns what its clients ask into requests of a class, a tenant and a budget, and
//! [takes](Node::take) them; the core owes each one final answer. The decisions of `spurdrum_policy`, which only the core
//! calls, say where they go; a [`Transport`] carries each attempt out and tells how it ended. Neither a front nor a transport
//! chooses, retries or refuses.
//!
//! [`Connections`] owns the descriptors that fronts and transports share.

mod connections;
mod figures;
mod node;
mod passed;
mod pause;
mod transport;
mod waiting;

pub use connections::{is_starved, Connections, Order, Seat, ServerSlot};
pub use figures::{ClassCounts, Fate, Figures, Open, Times};
pub use node::{unix_ms, Answer, Config, Listed, Node, NotTaken, Sign};
pub use passed::PassedConnection;
pub use pause::{attentive_timeout, look_again, sleep_and_read_first, Attention, PauseWatch};
pub use transport::{Asked, Cancellation, Reply, Transport};
