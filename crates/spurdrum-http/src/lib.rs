//! HTTP/1.1 towards clients ([`front`]) and towards servers ([`Upstream`]), in the platform's dialect.

mod client;
pub mod front;
mod socket;
mod upstream;

pub use front::{run, Front, Names};
pub use upstream::{load_report, Forward, Upstream, BODY_MOST};
