//! The list of servers: watches on it, one after the other.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::config::List;
use super::node::Node;

/// How long discovery may wait for news before it answers that there are none.
const WAIT: Duration = Duration::from_secs(20);
/// A call is silent when its answer has not come this long after that wait.
/// What discovery has to tell counts as told 2 s after the wait.
const SILENT: Duration = Duration::from_secs(1);
/// A list may be this long.
const LIST_MOST: usize = 1 << 20;

/// Watches whenever the decisions want it, until a call fails; then they are told. Where discovery moves, the
/// watch goes on there at once, whatever the decisions are waiting for.
pub async fn follow(node: Rc<Node>) {
    let mut connection = None;
    loop {
        tokio::select! {
            () = node.subscribed.notified() => {}
            () = node.moved.notified() => {}
        }
        // The next watch follows at once: what changes between watches is told by none.
        loop {
            let list = tokio::select! {
                biased;
                () = node.moved.notified() => {
                    connection = None;
                    continue;
                }
                list = timeout(WAIT + SILENT, watch(&node, &mut connection)) => list,
            };
            let Ok(Some(list)) = list else { break };
            node.listed(list);
        }
        connection = None;
        node.list_failed();
    }
}

type Sender = SendRequest<Empty<Bytes>>;

/// One watch: what changed since the version held, or nothing where the call failed. Where none is held, the
/// whole list.
async fn watch(node: &Node, connection: &mut Option<Sender>) -> Option<List> {
    let path = node.revision().map_or_else(
        || "/catalog/members".to_owned(),
        |revision| format!("/catalog/members?since={revision}&timeout_ms={}", WAIT.as_millis()),
    );
    let request = Request::get(path).header("Host", node.discovery().to_string());
    let mut request = request.body(Empty::new()).expect("a sound request");
    let response = loop {
        let (mut sender, fresh) = match connection.take().filter(|sender| !sender.is_closed()) {
            Some(sender) => (sender, false),
            None => (connect(node).await?, true),
        };
        let unsent = match sender.ready().await {
            Err(_) => request,
            Ok(()) => match sender.try_send_request(request).await {
                Ok(response) => {
                    *connection = Some(sender);
                    break response;
                }
                Err(mut error) => error.take_message()?,
            },
        };
        if fresh {
            return None;
        }
        // A kept connection had been closed before the call was written: the call goes on a new one.
        request = unsent;
    };
    if response.status() != StatusCode::OK {
        return None;
    }
    let body = Limited::new(response.into_body(), LIST_MOST).collect().await.ok()?.to_bytes();
    serde_json::from_slice(&body).ok()
}

async fn connect(node: &Node) -> Option<Sender> {
    let stream = timeout(SILENT, TcpStream::connect(node.discovery())).await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::task::spawn_local(connection);
    Some(sender)
}
