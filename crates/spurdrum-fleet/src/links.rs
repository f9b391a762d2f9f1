//! Links that can be broken: relays between some nodes and a server.

use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};

use crate::scenario::Kind;

/// Bytes that a relay holds for one direction of a connection.
const HELD: usize = 16 * 1024;

/// A relay before a server: what comes to its address goes on to that, as its present state has it.
pub struct Link {
    /// Where it listens.
    pub address: SocketAddr,
    state: watch::Sender<Option<(Kind, Duration)>>,
    /// Raised to end all connections.
    breaks: Rc<Notify>,
    reset: Rc<Cell<bool>>,
    /// Connections that were taken.
    pub taken: Rc<RefCell<u64>>,
}

impl Link {
    /// Begins to relay, on a free port of this address. Runs on the present event loop until that ends.
    pub async fn start(on: IpAddr, to: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((on, 0)).await?;
        let (state, sees) = watch::channel(None);
        let link = Self {
            address: listener.local_addr()?,
            state,
            breaks: Rc::default(),
            reset: Rc::default(),
            taken: Rc::default(),
        };
        let (breaks, reset, taken) =
            (Rc::clone(&link.breaks), Rc::clone(&link.reset), Rc::clone(&link.taken));
        tokio::task::spawn_local(async move {
            while let Ok((near, _)) = listener.accept().await {
                *taken.borrow_mut() += 1;
                if matches!(*sees.borrow(), Some((Kind::Cut, _))) {
                    end(&near, true);
                    continue;
                }
                let (breaks, reset, sees) = (Rc::clone(&breaks), Rc::clone(&reset), sees.clone());
                tokio::task::spawn_local(async move {
                    let Ok(far) = TcpStream::connect(to).await else { return end(&near, true) };
                    let _ = (near.set_nodelay(true), far.set_nodelay(true));
                    relay(near, far, sees, &breaks, &reset).await;
                });
            }
        });
        Ok(link)
    }

    /// The fault begins.
    pub fn break_by(&self, kind: Kind, delay: Duration) {
        match kind {
            Kind::Reset => {
                self.reset.set(true);
                self.breaks.notify_waiters();
            }
            _ => {
                self.state.send_replace(Some((kind, delay)));
                if kind == Kind::Cut {
                    self.reset.set(true);
                    self.breaks.notify_waiters();
                }
            }
        }
    }

    /// The fault is over.
    pub fn mend(&self) {
        self.state.send_replace(None);
    }
}

/// Ends a connection, by a reset or in order.
fn end(stream: &TcpStream, reset: bool) {
    if reset {
        let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    }
}

type State = watch::Receiver<Option<(Kind, Duration)>>;

async fn relay(near: TcpStream, far: TcpStream, sees: State, breaks: &Notify, reset: &Cell<bool>) {
    end(&near, false);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let there = pass(near_read, far_write, sees.clone(), |kind| kind == Kind::Stall);
    let back = pass(far_read, near_write, sees, |kind| matches!(kind, Kind::Stall | Kind::OneWay));
    let both = async { tokio::join!(there, back) };
    tokio::select! {
        _ = both => {}
        () = breaks.notified() => {
            // The halves were dropped with their futures: what is left of the sockets ends by a reset where bytes are
            // unread, and in order otherwise; nodes take either for a break.
            let _ = reset.get();
        }
    }
}

/// Passes bytes on in one direction, held up while the state says so.
async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut sees: State,
    stops: impl Fn(Kind) -> bool,
) {
    let mut held = vec![0; HELD];
    loop {
        let read = match from.read(&mut held).await {
            Ok(n) if n > 0 => n,
            _ => break,
        };
        if sees.wait_for(|state| !state.is_some_and(|(kind, _)| stops(kind))).await.is_err() {
            return;
        }
        let delay = sees.borrow().filter(|(kind, _)| *kind == Kind::Delay).map(|(_, delay)| delay);
        if let Some(delay) = delay {
            tokio::time::sleep(delay).await;
        }
        if to.write_all(&held[..read]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
