//! The subset of etcd v3's protobuf messages and gRPC services that service discovery and registration need.
//!
//! Field numbers are those of the published API (`rpc.proto`, `kv.proto` and `auth.proto` of etcd v3.5).
//! Fields that are not declared here are skipped when they are received, as in any protobuf message.

use prost::{Message, Oneof};

/// Header of every response: the cluster that answered, and its revision.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ResponseHeader {
    /// Id of the cluster.
    #[prost(uint64, tag = "1")]
    pub cluster_id: u64,
    /// Id of the member that answered.
    #[prost(uint64, tag = "2")]
    pub member_id: u64,
    /// Revision of the key-value store when the response was made.
    #[prost(int64, tag = "3")]
    pub revision: i64,
    /// Raft term of the member.
    #[prost(uint64, tag = "4")]
    pub raft_term: u64,
}

/// A key with its value and revisions.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct KeyValue {
    /// The key.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// Revision at which the key was created.
    #[prost(int64, tag = "2")]
    pub create_revision: i64,
    /// Revision of the last change of the key.
    #[prost(int64, tag = "3")]
    pub mod_revision: i64,
    /// Number of changes since the key was created, counting its creation.
    #[prost(int64, tag = "4")]
    pub version: i64,
    /// The value.
    #[prost(bytes = "vec", tag = "5")]
    pub value: Vec<u8>,
    /// Id of the lease that the key is attached to; 0 is none.
    #[prost(int64, tag = "6")]
    pub lease: i64,
}

/// A change of a key.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Event {
    /// Type of the change: 0 for a put, [`DELETE`] for a deletion.
    #[prost(int32, tag = "1")]
    pub r#type: i32,
    /// The key after the change; for a deletion only its name, and the deletion's revision in `mod_revision`.
    #[prost(message, optional, tag = "2")]
    pub kv: Option<KeyValue>,
}

/// The type of an [`Event`] that deletes a key.
pub const DELETE: i32 = 1;

/// Reads the keys in the range `[key, range_end)`.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RangeRequest {
    /// First key of the range.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// End of the range, exclusive; empty to read `key` alone.
    #[prost(bytes = "vec", tag = "2")]
    pub range_end: Vec<u8>,
    /// Maximum number of keys to return; 0 is no limit.
    #[prost(int64, tag = "3")]
    pub limit: i64,
    /// Revision to read at; 0 is the current one.
    #[prost(int64, tag = "4")]
    pub revision: i64,
    /// Whether the member may answer from its local state, without a linearized read.
    #[prost(bool, tag = "7")]
    pub serializable: bool,
    /// Whether to return keys without their values.
    #[prost(bool, tag = "8")]
    pub keys_only: bool,
    /// Whether to return the number of keys only.
    #[prost(bool, tag = "9")]
    pub count_only: bool,
}

/// The keys that were read, in order.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RangeResponse {
    /// Header of the response.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// The keys.
    #[prost(message, repeated, tag = "2")]
    pub kvs: Vec<KeyValue>,
    /// Whether more keys were left out because of the limit.
    #[prost(bool, tag = "3")]
    pub more: bool,
    /// Number of keys in the range.
    #[prost(int64, tag = "4")]
    pub count: i64,
}

/// Puts a key.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PutRequest {
    /// The key.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// The value.
    #[prost(bytes = "vec", tag = "2")]
    pub value: Vec<u8>,
    /// Id of the lease to attach the key to; 0 is none.
    #[prost(int64, tag = "3")]
    pub lease: i64,
}

/// Response to a [`PutRequest`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PutResponse {
    /// Header of the response.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
}

/// Deletes the keys in the range `[key, range_end)`.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct DeleteRangeRequest {
    /// First key of the range.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// End of the range, exclusive; empty to delete `key` alone.
    #[prost(bytes = "vec", tag = "2")]
    pub range_end: Vec<u8>,
}

/// Response to a [`DeleteRangeRequest`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct DeleteRangeResponse {
    /// Header of the response.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// Number of deleted keys.
    #[prost(int64, tag = "2")]
    pub deleted: i64,
}

/// A message from the client on a watch stream.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct WatchRequest {
    /// The request.
    #[prost(oneof = "WatchAsk", tags = "1, 2, 3")]
    pub request_union: Option<WatchAsk>,
}

/// The kinds of [`WatchRequest`].
#[derive(Clone, PartialEq, Eq, Oneof)]
pub enum WatchAsk {
    /// Creates a watch.
    #[prost(message, tag = "1")]
    Create(WatchCreateRequest),
    /// Cancels a watch.
    #[prost(message, tag = "2")]
    Cancel(WatchCancelRequest),
    /// Requests the revision up to which all changes have been delivered.
    #[prost(message, tag = "3")]
    Progress(WatchProgressRequest),
}

/// Creates a watch on the keys in the range `[key, range_end)`.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct WatchCreateRequest {
    /// First key of the range.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// End of the range, exclusive; empty to watch `key` alone.
    #[prost(bytes = "vec", tag = "2")]
    pub range_end: Vec<u8>,
    /// First revision to deliver; 0 is the next one.
    #[prost(int64, tag = "3")]
    pub start_revision: i64,
    /// Whether to report the current revision periodically while nothing changes.
    #[prost(bool, tag = "4")]
    pub progress_notify: bool,
    /// Whether a large response may be split into fragments.
    #[prost(bool, tag = "8")]
    pub fragment: bool,
}

/// Cancels a watch.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct WatchCancelRequest {
    /// Id of the watch.
    #[prost(int64, tag = "1")]
    pub watch_id: i64,
}

/// Requests the progress of all watches on the stream.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct WatchProgressRequest {}

/// A message from the server on a watch stream.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct WatchResponse {
    /// Header of the response.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// Id of the watch; -1 for the progress of all watches.
    #[prost(int64, tag = "2")]
    pub watch_id: i64,
    /// Whether this response confirms that the watch was created.
    #[prost(bool, tag = "3")]
    pub created: bool,
    /// Whether the watch was cancelled.
    #[prost(bool, tag = "4")]
    pub canceled: bool,
    /// The oldest available revision, if the requested one has been compacted.
    #[prost(int64, tag = "5")]
    pub compact_revision: i64,
    /// Why the watch was cancelled.
    #[prost(string, tag = "6")]
    pub cancel_reason: String,
    /// Whether more fragments of this response follow.
    #[prost(bool, tag = "7")]
    pub fragment: bool,
    /// The changes, in order.
    #[prost(message, repeated, tag = "11")]
    pub events: Vec<Event>,
}

/// Requests a lease.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LeaseGrantRequest {
    /// Requested time to live, in seconds.
    #[prost(int64, tag = "1")]
    pub ttl: i64,
    /// Id of the lease; 0 lets the cluster choose one.
    #[prost(int64, tag = "2")]
    pub id: i64,
}

/// Response to a [`LeaseGrantRequest`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LeaseGrantResponse {
    /// Header of the response.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// Id of the lease.
    #[prost(int64, tag = "2")]
    pub id: i64,
    /// Granted time to live, in seconds.
    #[prost(int64, tag = "3")]
    pub ttl: i64,
}

/// Revokes a lease and deletes the keys attached to it.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LeaseRevokeRequest {
    /// Id of the lease.
    #[prost(int64, tag = "1")]
    pub id: i64,
}

/// Response to a [`LeaseRevokeRequest`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LeaseRevokeResponse {
    /// Header of the response.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
}

/// Renews a lease.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LeaseKeepAliveRequest {
    /// Id of the lease.
    #[prost(int64, tag = "1")]
    pub id: i64,
}

/// Response to a [`LeaseKeepAliveRequest`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LeaseKeepAliveResponse {
    /// Header of the response.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// Id of the lease.
    #[prost(int64, tag = "2")]
    pub id: i64,
    /// Time to live from now on, in seconds; 0 if the lease does not exist.
    #[prost(int64, tag = "3")]
    pub ttl: i64,
}

/// Requests an auth token.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AuthenticateRequest {
    /// Name of the user.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Password of the user.
    #[prost(string, tag = "2")]
    pub password: String,
}

/// Response to an [`AuthenticateRequest`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AuthenticateResponse {
    /// Header of the response.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// The auth token, to be sent in the metadata of later calls.
    #[prost(string, tag = "2")]
    pub token: String,
}

/// Clients and servers of the services, generated by `build.rs`. Their names on the wire are those of the
/// published API.
pub mod services {
    #![allow(missing_docs, clippy::all)]
    include!(concat!(env!("OUT_DIR"), "/etcdserverpb.KV.rs"));
    include!(concat!(env!("OUT_DIR"), "/etcdserverpb.Watch.rs"));
    include!(concat!(env!("OUT_DIR"), "/etcdserverpb.Lease.rs"));
    include!(concat!(env!("OUT_DIR"), "/etcdserverpb.Auth.rs"));
}

/// Returns the `range_end` of the range of all keys that begin with a prefix.
pub fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    // The prefix has no upper bound. A single NUL byte stands for the end of all keys.
    vec![0]
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_prefix_range_ends_before_the_next_prefix() {
        assert_eq!(prefix_end(b"/a/"), b"/a0");
        assert_eq!(prefix_end(b"a\xff\xff"), b"b");
        assert_eq!(prefix_end(b"\xff"), b"\0");
    }

    #[test]
    fn messages_have_the_published_field_tags() {
        let request = WatchRequest { request_union: Some(WatchAsk::Progress(WatchProgressRequest {})) };
        assert_eq!(request.encode_to_vec(), [0x1a, 0]);
        let event = Event { r#type: DELETE, kv: None };
        let response = WatchResponse { watch_id: 3, events: vec![event], ..WatchResponse::default() };
        assert_eq!(response.encode_to_vec(), [0x10, 3, 0x5a, 2, 8, 1]);
    }
}
