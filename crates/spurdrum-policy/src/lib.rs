//! The decision logic of a reverse proxy that balances requests over HTTP servers.
//!
//! A [`Balancer`] is one node's decision logic, without clock, threads or I/O. It is created from
//! [`Settings`] and a seed, takes events together with the time they happened at, and appends the
//! actions that the node is to carry out. Its core is HSQ (Islam, "Network Load Balancing Methods",
//! section IV.E): an array with a count for each ready server, of which the lowest gets the request.
//!
//! # Example
//!
//! A node's event loop calls [`Balancer::handle`] and carries out the actions it returns:
//!
//! ```
//! use spurdrum_policy::{
//!     Action, Availability, Balancer, Class, Effect, Ending, Event, ListUpdate, Outcome, Request,
//!     RequestId, ServerEntry, ServerId, Settings,
//! };
//!
//! let mut settings = Settings::new(vec![Class::new(200.0, 600.0, Effect::Safe)]);
//! settings.nodes = 3;
//! let mut balancer = Balancer::new(settings, 42)?;
//! let mut actions = Vec::new();
//!
//! // Discovery lists two servers.
//! let servers = (0..2).map(|i| ServerEntry::new(ServerId(i), Availability::Ready)).collect();
//! balancer.handle(0.0, Event::Servers(ListUpdate::Full(servers)), &mut actions);
//!
//! // A client's request arrives; the balancer chooses the server to send it to.
//! let request = Request::new(RequestId(7), 0, 600.0);
//! balancer.handle(1.0, Event::Request(request), &mut actions);
//! let Some(Action::Send { server, .. }) = actions.pop() else { panic!("nothing sent") };
//!
//! // The server answers. A load report in the response would become the server's count.
//! let outcome = Outcome {
//!     request: RequestId(7),
//!     attempt: 0,
//!     elapsed_ms: 18.5,
//!     ending: Ending::Served,
//!     complete: true,
//!     report: None,
//! };
//! balancer.handle(19.5, Event::Outcome(outcome), &mut actions);
//! # let _ = server;
//! # Ok::<(), spurdrum_policy::SettingsError>(())
//! ```

mod interface;
mod rules;

pub use interface::*;
pub use rules::Balancer;
