//! The HTTP/1.1 protocol of a node: the front towards clients ([`front`]) and the transport towards servers
//! ([`Upstream`]), with the header fields of the platform.

mod arrival;
mod body;
mod chunks;
mod client;
mod connection;
mod context;
pub mod front;
mod handed;
pub mod keys;
mod read_progress;
mod request;
mod shutdown;
mod socket;
mod stream;
mod upstream;

pub use context::{ConfigNames, Front, IncomingProcess, SharedConfigNames};
pub use front::{run, HandedOverConnections};
pub use keys::AffinityKeys;
pub use shutdown::HandoverStatus;
pub use stream::ResponseBody;
pub use upstream::{
    parse_load_report, ForwardRequest, RequestBody, ServedResponse, Upstream, MAX_BUFFERED_BODY,
};
