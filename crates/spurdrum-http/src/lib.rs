//! HTTP/1.1 towards clients ([`front`]) and towards servers ([`Upstream`]), in the platform's dialect.

mod chunks;
mod client;
pub mod front;
pub mod keys;
mod shutdown;
mod socket;
mod stream;
mod upstream;

pub use front::{run, Front, Names, Passed, SharedNames, Successor};
pub use keys::Keys;
pub use shutdown::Succession;
pub use stream::Answered;
pub use upstream::{load_report, Carried, Forward, Served, Upstream, BODY_MOST};
