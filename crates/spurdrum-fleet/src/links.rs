//! Links that can be broken: relays between some nodes and a server.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch, Notify};
use tokio::task::LocalSet;

use crate::scenario::Kind;

/// Bytes that a relay holds for one direction of a connection.
const HELD: usize = 16 * 1024;

/// A relay before a server: what comes to its address goes on to that, as its present state has it.
pub struct Link {
    /// Where it listens.
    pub address: SocketAddr,
    state: watch::Sender<Option<(Kind, Duration)>>,
    /// Faults that befall it now.
    faults: Vec<(usize, Kind, Duration)>,
    /// Raised to end all connections.
    breaks: Rc<Notify>,
}

impl Link {
    /// Begins to relay, on a free port of this address. Runs on the present event loop until that ends.
    pub async fn start(on: IpAddr, to: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((on, 0)).await?;
        let (state, sees) = watch::channel(None);
        let link = Self { address: listener.local_addr()?, state, faults: Vec::new(), breaks: Rc::default() };
        let breaks = Rc::clone(&link.breaks);
        tokio::task::spawn_local(async move {
            while let Ok((near, _)) = listener.accept().await {
                if matches!(*sees.borrow(), Some((Kind::Cut, _))) {
                    reset(&near);
                    continue;
                }
                let (breaks, sees) = (Rc::clone(&breaks), sees.clone());
                tokio::task::spawn_local(async move {
                    let Ok(far) = TcpStream::connect(to).await else { return reset(&near) };
                    let _ = (near.set_nodelay(true), far.set_nodelay(true));
                    relay(near, far, sees, &breaks).await;
                });
            }
        });
        Ok(link)
    }

    /// A fault begins.
    pub fn begins(&mut self, fault: usize, kind: Kind, delay: Duration) {
        if kind != Kind::Reset {
            self.faults.push((fault, kind, delay));
            self.shows();
        }
        if matches!(kind, Kind::Cut | Kind::Reset) {
            self.breaks.notify_waiters();
        }
    }

    /// A fault is over; others may go on.
    pub fn ends(&mut self, fault: usize) {
        self.faults.retain(|(of, ..)| *of != fault);
        self.shows();
    }

    /// Of several faults the one shows that lets least pass.
    fn shows(&self) {
        let lets = |kind: Kind| match kind {
            Kind::Cut => 0,
            Kind::Stall => 1,
            Kind::OneWay => 2,
            _ => 3,
        };
        let worst =
            self.faults.iter().min_by_key(|(_, kind, delay)| (lets(*kind), std::cmp::Reverse(*delay)));
        self.state.send_replace(worst.map(|(_, kind, delay)| (*kind, *delay)));
    }
}

/// What stands before something: its place, and the faults that befall it there.
pub type Relay = (usize, Vec<usize>);

/// Relays, in a thread of their own.
#[derive(Default)]
pub struct Relays {
    at: HashMap<Relay, SocketAddr>,
    tell: Option<mpsc::UnboundedSender<(usize, Kind, bool, Duration)>>,
    stop: Option<oneshot::Sender<()>>,
}

impl Relays {
    /// On this address, before these; none where there are none.
    #[must_use]
    pub fn start(on: IpAddr, wanted: impl IntoIterator<Item = (Relay, SocketAddr)>) -> Self {
        let wanted: Vec<(Relay, SocketAddr)> = wanted.into_iter().collect();
        if wanted.is_empty() {
            return Self::default();
        }
        let (told, at) = std::sync::mpsc::channel();
        let (tell, mut hear) = mpsc::unbounded_channel::<(usize, Kind, bool, Duration)>();
        let (stop, stopped) = oneshot::channel();
        std::thread::spawn(move || {
            let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else {
                return;
            };
            LocalSet::new().block_on(&runtime, async move {
                let mut relays = Vec::new();
                for (relay, to) in wanted {
                    let Ok(link) = Link::start(on, to).await else { return };
                    let _ = told.send((relay.clone(), link.address));
                    relays.push((relay.1, link));
                }
                drop(told);
                let hears = async {
                    while let Some((fault, kind, begins, delay)) = hear.recv().await {
                        for (_, link) in relays.iter_mut().filter(|(faults, _)| faults.contains(&fault)) {
                            if begins {
                                link.begins(fault, kind, delay);
                            } else {
                                link.ends(fault);
                            }
                        }
                    }
                };
                tokio::select! {
                    () = hears => {}
                    _ = stopped => {}
                }
            });
        });
        Self { at: at.iter().collect(), tell: Some(tell), stop: Some(stop) }
    }

    /// Where a relay listens.
    #[must_use]
    pub fn at(&self, relay: &Relay) -> Option<SocketAddr> {
        self.at.get(relay).copied()
    }

    /// A fault begins or ends.
    pub fn step(&self, fault: usize, kind: Kind, begins: bool, delay: Duration) {
        if let Some(tell) = &self.tell {
            let _ = tell.send((fault, kind, begins, delay));
        }
    }
}

impl Drop for Relays {
    fn drop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
    }
}

/// It will end by a reset.
fn reset(stream: &TcpStream) {
    // It fails where the other side was first.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

type State = watch::Receiver<Option<(Kind, Duration)>>;

async fn relay(mut near: TcpStream, mut far: TcpStream, sees: State, breaks: &Notify) {
    let broken = {
        let (near_read, near_write) = near.split();
        let (far_read, far_write) = far.split();
        let there = pass(near_read, far_write, sees.clone(), |kind| kind == Kind::Stall);
        let back = pass(far_read, near_write, sees, |kind| matches!(kind, Kind::Stall | Kind::OneWay));
        let both = async { tokio::join!(there, back) };
        tokio::select! {
            _ = both => false,
            () = breaks.notified() => true,
        }
    };
    if broken {
        reset(&near);
        reset(&far);
    }
}

/// Passes bytes on in one direction, held up while the state says so.
async fn pass(mut from: ReadHalf<'_>, mut to: WriteHalf<'_>, mut sees: State, stops: impl Fn(Kind) -> bool) {
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

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::Ipv4Addr;

    /// A server that answers each byte with the same.
    async fn echo() -> SocketAddr {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
        let at = listener.local_addr().expect("bound");
        tokio::task::spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                tokio::task::spawn_local(async move {
                    let mut byte = [0];
                    while stream.read_exact(&mut byte).await.is_ok() {
                        let _ = stream.write_all(&byte).await;
                    }
                });
            }
        });
        at
    }

    async fn said(stream: &mut TcpStream, byte: u8) -> std::io::Result<u8> {
        stream.write_all(&[byte]).await?;
        stream.read_u8().await
    }

    #[tokio::test]
    async fn links_pass_hold_and_reset() {
        let all = async {
            let mut link = Link::start(Ipv4Addr::LOCALHOST.into(), echo().await).await.expect("starts");
            let mut stream = TcpStream::connect(link.address).await.expect("connects");
            assert_eq!(said(&mut stream, 1).await.expect("passes"), 1);
            for kind in [Kind::Stall, Kind::OneWay] {
                link.begins(0, kind, Duration::ZERO);
                let mut held = std::pin::pin!(said(&mut stream, 2));
                tokio::select! {
                    said = &mut held => panic!("{kind:?} lets {said:?} pass"),
                    () = async { for _ in 0..1000 { tokio::task::yield_now().await } } => {}
                }
                link.ends(0);
                assert_eq!(held.await.expect("goes on"), 2);
            }
            link.begins(1, Kind::Reset, Duration::ZERO);
            let broken = said(&mut stream, 3).await.expect_err("is reset");
            assert_eq!(broken.kind(), std::io::ErrorKind::ConnectionReset);
            let mut next = TcpStream::connect(link.address).await.expect("connects again");
            assert_eq!(said(&mut next, 4).await.expect("passes"), 4);
            // Of two the worse one shows, until it is over.
            link.begins(3, Kind::Delay, Duration::from_millis(1));
            link.begins(2, Kind::Cut, Duration::ZERO);
            assert!(said(&mut next, 5).await.is_err());
            if let Ok(mut late) = TcpStream::connect(link.address).await {
                assert!(said(&mut late, 6).await.is_err());
            }
            link.ends(2);
            let mut last = TcpStream::connect(link.address).await.expect("connects again");
            assert_eq!(said(&mut last, 7).await.expect("passes, later"), 7);
        };
        LocalSet::new().run_until(all).await;
    }
}
