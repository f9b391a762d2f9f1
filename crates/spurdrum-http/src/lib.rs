//! HTTP/1.1 towards clients ([`front`]) and towards servers ([`Upstream`]), in the platform's dialect.

mod chunks;
mod client;
mod connection;
mod context;
pub mod front;
mod handed;
pub mod keys;
mod request;
mod shutdown;
mod socket;
mod stream;
mod upstream;

pub use context::{Front, Names, SharedNames, Successor};
pub use front::{run, Passed};
pub use keys::Keys;
pub use shutdown::Succession;
pub use stream::Answered;
pub use upstream::{load_report, Carried, Forward, Served, Upstream, BODY_MOST};
