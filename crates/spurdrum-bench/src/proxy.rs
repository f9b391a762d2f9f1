//! A plain reverse proxy: hyper on both sides, round robin, with persistent connections to the servers. It is
//! the baseline for the cost of a node, and does nothing but forward requests.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

struct Proxy {
    servers: Vec<SocketAddr>,
    /// The index of the server of the next request.
    next: Cell<usize>,
    /// The idle connections to each server.
    idle: Vec<RefCell<Vec<SendRequest<Full<Bytes>>>>>,
}

/// Listens and forwards requests to the servers; returns only if the runtime or the listener can't be set up.
pub fn serve(listen: SocketAddr, servers: Vec<SocketAddr>) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| error.to_string())?;
    let idle = servers.iter().map(|_| RefCell::default()).collect();
    let proxy = Rc::new(Proxy { servers, next: Cell::new(0), idle });
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind(listen).await.map_err(|error| error.to_string())?;
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let _ = stream.set_nodelay(true);
            let proxy = Rc::clone(&proxy);
            tokio::task::spawn_local(async move {
                let service = service_fn(|request| {
                    let proxy = Rc::clone(&proxy);
                    async move { Ok::<_, Infallible>(proxy.forward(request).await) }
                });
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    })
}

impl Proxy {
    /// Answers health checks itself, and other requests with the server's response, or with 502 if there is
    /// none.
    async fn forward(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        if request.uri().path() == "/_health" {
            return Response::new(Full::default());
        }
        self.exchange(request).await.unwrap_or_else(|| {
            let mut response = Response::new(Full::default());
            *response.status_mut() = StatusCode::BAD_GATEWAY;
            response
        })
    }

    /// Sends a request to the next server in turn and returns its response, or `None` if the exchange failed.
    async fn exchange(&self, request: Request<Incoming>) -> Option<Response<Full<Bytes>>> {
        let index = self.next.get();
        self.next.set((index + 1) % self.servers.len());
        let (head, body) = request.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        let reused = self.idle[index].borrow_mut().pop().filter(|sender| !sender.is_closed());
        let mut sender = match reused {
            Some(sender) => sender,
            None => {
                let stream = TcpStream::connect(self.servers[index]).await.ok()?;
                stream.set_nodelay(true).ok()?;
                let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
                tokio::task::spawn_local(connection);
                sender
            }
        };
        sender.ready().await.ok()?;
        let response = sender.send_request(Request::from_parts(head, Full::new(body))).await.ok()?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        self.idle[index].borrow_mut().push(sender);
        Some(Response::from_parts(head, Full::new(body)))
    }
}
