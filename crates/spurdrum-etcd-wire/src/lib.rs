//! Messages and services of etcd v3, as far as a list of servers needs them.
//!
//! Field numbers are those of the published API (`rpc.proto`, `kv.proto` and `auth.proto` of etcd v3.5). Fields that are
//! left out here are skipped when they come, as protobuf has it.

use prost::{Message, Oneof};

/// An answer's revision and the cluster that gave it.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ResponseHeader {
    /// The cluster.
    #[prost(uint64, tag = "1")]
    pub cluster_id: u64,
    /// The member of it that answered.
    #[prost(uint64, tag = "2")]
    pub member_id: u64,
    /// The store's revision when the answer was made.
    #[prost(int64, tag = "3")]
    pub revision: i64,
    /// The term of its leader.
    #[prost(uint64, tag = "4")]
    pub raft_term: u64,
}

/// A key with its value.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct KeyValue {
    /// The key.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// The revision that made it.
    #[prost(int64, tag = "2")]
    pub create_revision: i64,
    /// The revision that changed it last.
    #[prost(int64, tag = "3")]
    pub mod_revision: i64,
    /// Changes since it was made, and 1.
    #[prost(int64, tag = "4")]
    pub version: i64,
    /// The value.
    #[prost(bytes = "vec", tag = "5")]
    pub value: Vec<u8>,
    /// The lease that it goes with; 0 is none.
    #[prost(int64, tag = "6")]
    pub lease: i64,
}

/// One change.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Event {
    /// See [`DELETE`].
    #[prost(int32, tag = "1")]
    pub r#type: i32,
    /// The key as it is now; of one that was deleted, its name and the revision of that.
    #[prost(message, optional, tag = "2")]
    pub kv: Option<KeyValue>,
}

/// The type of an [`Event`] that deletes; 0 is one that puts.
pub const DELETE: i32 = 1;

/// Asks for the keys from one up to, and without, another.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RangeRequest {
    /// The first.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// The one after the last; empty for `key` alone.
    #[prost(bytes = "vec", tag = "2")]
    pub range_end: Vec<u8>,
    /// At most so many; 0 is no limit.
    #[prost(int64, tag = "3")]
    pub limit: i64,
    /// As of this revision; 0 is now.
    #[prost(int64, tag = "4")]
    pub revision: i64,
    /// A member may answer from what it has, without asking the others.
    #[prost(bool, tag = "7")]
    pub serializable: bool,
    /// Without values.
    #[prost(bool, tag = "8")]
    pub keys_only: bool,
    /// How many there are, and no keys.
    #[prost(bool, tag = "9")]
    pub count_only: bool,
}

/// Keys, in their order.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RangeResponse {
    /// See [`ResponseHeader`].
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// The keys.
    #[prost(message, repeated, tag = "2")]
    pub kvs: Vec<KeyValue>,
    /// Whether the limit kept some back.
    #[prost(bool, tag = "3")]
    pub more: bool,
    /// How many there are in all.
    #[prost(int64, tag = "4")]
    pub count: i64,
}

/// Puts a key.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PutRequest {
    /// The key.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// Its value.
    #[prost(bytes = "vec", tag = "2")]
    pub value: Vec<u8>,
    /// The lease that it goes with; 0 is none.
    #[prost(int64, tag = "3")]
    pub lease: i64,
}

/// A key was put.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PutResponse {
    /// See [`ResponseHeader`].
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
}

/// Deletes the keys from one up to, and without, another.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct DeleteRangeRequest {
    /// The first.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// The one after the last; empty for `key` alone.
    #[prost(bytes = "vec", tag = "2")]
    pub range_end: Vec<u8>,
}

/// Keys were deleted.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct DeleteRangeResponse {
    /// See [`ResponseHeader`].
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// How many.
    #[prost(int64, tag = "2")]
    pub deleted: i64,
}

/// What is said on the stream of a watch.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct WatchRequest {
    /// One of these.
    #[prost(oneof = "WatchAsk", tags = "1, 2, 3")]
    pub request_union: Option<WatchAsk>,
}

/// See [`WatchRequest`].
#[derive(Clone, PartialEq, Eq, Oneof)]
pub enum WatchAsk {
    /// Begin a watch.
    #[prost(message, tag = "1")]
    Create(WatchCreateRequest),
    /// End one.
    #[prost(message, tag = "2")]
    Cancel(WatchCancelRequest),
    /// Say up to which revision all has been told.
    #[prost(message, tag = "3")]
    Progress(WatchProgressRequest),
}

/// Begins a watch on keys from one up to, and without, another.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct WatchCreateRequest {
    /// The first.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// The one after the last; empty for `key` alone.
    #[prost(bytes = "vec", tag = "2")]
    pub range_end: Vec<u8>,
    /// The first revision to tell of; 0 is the next.
    #[prost(int64, tag = "3")]
    pub start_revision: i64,
    /// Whether to tell the revision now and then where nothing changes.
    #[prost(bool, tag = "4")]
    pub progress_notify: bool,
    /// Whether answers may come in pieces.
    #[prost(bool, tag = "8")]
    pub fragment: bool,
}

/// Ends a watch.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct WatchCancelRequest {
    /// Which.
    #[prost(int64, tag = "1")]
    pub watch_id: i64,
}

/// Asks for the progress of all watches on the stream.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct WatchProgressRequest {}

/// What a watch tells.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct WatchResponse {
    /// See [`ResponseHeader`].
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// Which watch; -1 for the progress of all.
    #[prost(int64, tag = "2")]
    pub watch_id: i64,
    /// It has begun.
    #[prost(bool, tag = "3")]
    pub created: bool,
    /// It has ended.
    #[prost(bool, tag = "4")]
    pub canceled: bool,
    /// The oldest revision that there is, where the one asked for is gone.
    #[prost(int64, tag = "5")]
    pub compact_revision: i64,
    /// Why it ended.
    #[prost(string, tag = "6")]
    pub cancel_reason: String,
    /// More of the same comes in the next answer.
    #[prost(bool, tag = "7")]
    pub fragment: bool,
    /// Changes, in order.
    #[prost(message, repeated, tag = "11")]
    pub events: Vec<Event>,
}

/// Asks for a lease.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LeaseGrantRequest {
    /// Its time to live, in seconds.
    #[prost(int64, tag = "1")]
    pub ttl: i64,
    /// Its number; 0 lets the cluster choose.
    #[prost(int64, tag = "2")]
    pub id: i64,
}

/// A lease.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LeaseGrantResponse {
    /// See [`ResponseHeader`].
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// Its number.
    #[prost(int64, tag = "2")]
    pub id: i64,
    /// Its time to live, in seconds.
    #[prost(int64, tag = "3")]
    pub ttl: i64,
}

/// Ends a lease, and deletes its keys.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LeaseRevokeRequest {
    /// Its number.
    #[prost(int64, tag = "1")]
    pub id: i64,
}

/// A lease has ended.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LeaseRevokeResponse {
    /// See [`ResponseHeader`].
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
}

/// Renews a lease.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LeaseKeepAliveRequest {
    /// Its number.
    #[prost(int64, tag = "1")]
    pub id: i64,
}

/// A lease was renewed, or is gone.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LeaseKeepAliveResponse {
    /// See [`ResponseHeader`].
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// Its number.
    #[prost(int64, tag = "2")]
    pub id: i64,
    /// Its time to live from now on, in seconds; 0 of one that is gone.
    #[prost(int64, tag = "3")]
    pub ttl: i64,
}

/// Asks for a token.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AuthenticateRequest {
    /// The user.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Their password.
    #[prost(string, tag = "2")]
    pub password: String,
}

/// A token, for the metadata of later calls.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AuthenticateResponse {
    /// See [`ResponseHeader`].
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// The token.
    #[prost(string, tag = "2")]
    pub token: String,
}

/// The services. Their names on the wire are those of the published API.
pub mod services {
    #![allow(missing_docs, clippy::all)]
    include!(concat!(env!("OUT_DIR"), "/etcdserverpb.KV.rs"));
    include!(concat!(env!("OUT_DIR"), "/etcdserverpb.Watch.rs"));
    include!(concat!(env!("OUT_DIR"), "/etcdserverpb.Lease.rs"));
    include!(concat!(env!("OUT_DIR"), "/etcdserverpb.Auth.rs"));
}

/// The end of the range of all keys that begin with a prefix, as the API asks for it.
pub fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    // Every key from the first on.
    vec![0]
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_prefix_ends_before_the_next_one() {
        assert_eq!(prefix_end(b"/a/"), b"/a0");
        assert_eq!(prefix_end(b"a\xff\xff"), b"b");
        assert_eq!(prefix_end(b"\xff"), b"\0");
    }

    #[test]
    fn messages_have_the_published_tags() {
        let ask = WatchRequest { request_union: Some(WatchAsk::Progress(WatchProgressRequest {})) };
        assert_eq!(ask.encode_to_vec(), [0x1a, 0]);
        let event = Event { r#type: DELETE, kv: None };
        let told = WatchResponse { watch_id: 3, events: vec![event], ..WatchResponse::default() };
        assert_eq!(told.encode_to_vec(), [0x10, 3, 0x5a, 2, 8, 1]);
    }
}
