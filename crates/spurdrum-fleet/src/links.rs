//! TCP relays that simulate faults on the links between nodes and servers.

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

/// Buffer size of a relay for one direction of a connection, in bytes.
const BUFFER_SIZE: usize = 16 * 1024;

/// A relay in front of a server: forwards connections to the server as far as the current fault lets it.
pub struct Link {
    /// Address on which the relay listens.
    pub address: SocketAddr,
    /// The fault that is applied now, with its delay.
    state: watch::Sender<Option<(Kind, Duration)>>,
    /// Faults that are active on this link.
    active: Vec<(usize, Kind, Duration)>,
    /// Notified to reset all connections.
    resets: Rc<Notify>,
}

impl Link {
    /// Starts a relay to `to` on a free port of the address `on`. It runs on the current event loop until that ends.
    pub async fn start(on: IpAddr, to: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((on, 0)).await?;
        let (state, watcher) = watch::channel(None);
        let link = Self { address: listener.local_addr()?, state, active: Vec::new(), resets: Rc::default() };
        let resets = Rc::clone(&link.resets);
        tokio::task::spawn_local(async move {
            while let Ok((near, _)) = listener.accept().await {
                if matches!(*watcher.borrow(), Some((Kind::Cut, _))) {
                    reset(&near);
                    continue;
                }
                let (resets, watcher) = (Rc::clone(&resets), watcher.clone());
                tokio::task::spawn_local(async move {
                    let Ok(far) = TcpStream::connect(to).await else { return reset(&near) };
                    let _ = (near.set_nodelay(true), far.set_nodelay(true));
                    relay(near, far, watcher, &resets).await;
                });
            }
        });
        Ok(link)
    }

    /// Starts a fault on the link.
    pub fn begin_fault(&mut self, fault: usize, kind: Kind, delay: Duration) {
        if kind != Kind::Reset {
            self.active.push((fault, kind, delay));
            self.update_state();
        }
        if matches!(kind, Kind::Cut | Kind::Reset) {
            self.resets.notify_waiters();
        }
    }

    /// Ends a fault; other faults stay active.
    pub fn end_fault(&mut self, fault: usize) {
        self.active.retain(|(of, ..)| *of != fault);
        self.update_state();
    }

    /// Applies the active fault that lets the least traffic through.
    fn update_state(&self) {
        let throughput_rank = |kind: Kind| match kind {
            Kind::Cut => 0,
            Kind::Stall => 1,
            Kind::OneWay => 2,
            _ => 3,
        };
        let worst = self
            .active
            .iter()
            .min_by_key(|(_, kind, delay)| (throughput_rank(*kind), std::cmp::Reverse(*delay)));
        self.state.send_replace(worst.map(|(_, kind, delay)| (*kind, *delay)));
    }
}

/// Identifies a relay: the index of its target, and the indices of the faults that affect it.
pub type RelayKey = (usize, Vec<usize>);

/// All relays of a run, in a thread of their own.
#[derive(Default)]
pub struct Relays {
    addresses: HashMap<RelayKey, SocketAddr>,
    /// Sends starts and ends of faults to the relays' thread; `None` where there are no relays.
    changes: Option<mpsc::UnboundedSender<(usize, Kind, bool, Duration)>>,
    stop: Option<oneshot::Sender<()>>,
}

impl Relays {
    /// Starts these relays on the address `on`, each with the target that it forwards to.
    #[must_use]
    pub fn start(on: IpAddr, wanted: impl IntoIterator<Item = (RelayKey, SocketAddr)>) -> Self {
        let wanted: Vec<(RelayKey, SocketAddr)> = wanted.into_iter().collect();
        if wanted.is_empty() {
            return Self::default();
        }
        let (ready, addresses) = std::sync::mpsc::channel();
        let (changes, mut receiver) = mpsc::unbounded_channel::<(usize, Kind, bool, Duration)>();
        let (stop, stopped) = oneshot::channel();
        std::thread::spawn(move || {
            let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else {
                return;
            };
            LocalSet::new().block_on(&runtime, async move {
                let mut relays = Vec::new();
                for (relay, to) in wanted {
                    let Ok(link) = Link::start(on, to).await else { return };
                    let _ = ready.send((relay.clone(), link.address));
                    relays.push((relay.1, link));
                }
                drop(ready);
                let apply = async {
                    while let Some((fault, kind, begins, delay)) = receiver.recv().await {
                        for (_, link) in relays.iter_mut().filter(|(faults, _)| faults.contains(&fault)) {
                            if begins {
                                link.begin_fault(fault, kind, delay);
                            } else {
                                link.end_fault(fault);
                            }
                        }
                    }
                };
                tokio::select! {
                    () = apply => {}
                    _ = stopped => {}
                }
            });
        });
        Self { addresses: addresses.iter().collect(), changes: Some(changes), stop: Some(stop) }
    }

    /// Returns the address on which a relay listens.
    #[must_use]
    pub fn address_of(&self, relay: &RelayKey) -> Option<SocketAddr> {
        self.addresses.get(relay).copied()
    }

    /// Begins or ends a fault on all relays that it affects.
    pub fn set_fault(&self, fault: usize, kind: Kind, begins: bool, delay: Duration) {
        if let Some(changes) = &self.changes {
            let _ = changes.send((fault, kind, begins, delay));
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

/// Makes the stream end with a reset (RST) when it is closed.
fn reset(stream: &TcpStream) {
    // This fails where the peer has already closed the connection.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

type FaultWatcher = watch::Receiver<Option<(Kind, Duration)>>;

/// Forwards both directions of a connection between the node (`near`) and the server (`far`) until both end or are reset.
async fn relay(mut near: TcpStream, mut far: TcpStream, watcher: FaultWatcher, resets: &Notify) {
    let was_reset = {
        let (near_read, near_write) = near.split();
        let (far_read, far_write) = far.split();
        let to_server = forward(near_read, far_write, watcher.clone(), |kind| kind == Kind::Stall);
        let to_node =
            forward(far_read, near_write, watcher, |kind| matches!(kind, Kind::Stall | Kind::OneWay));
        let both = async { tokio::join!(to_server, to_node) };
        tokio::select! {
            _ = both => false,
            () = resets.notified() => true,
        }
    };
    if was_reset {
        reset(&near);
        reset(&far);
    }
}

/// Forwards bytes in one direction. Waits while `stops` is true of the current fault, and adds the delay of a `delay` fault.
async fn forward(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut watcher: FaultWatcher,
    stops: impl Fn(Kind) -> bool,
) {
    let mut buffer = vec![0; BUFFER_SIZE];
    loop {
        let read = match from.read(&mut buffer).await {
            Ok(n) if n > 0 => n,
            _ => break,
        };
        if watcher.wait_for(|state| !state.is_some_and(|(kind, _)| stops(kind))).await.is_err() {
            return;
        }
        let delay = watcher.borrow().filter(|(kind, _)| *kind == Kind::Delay).map(|(_, delay)| delay);
        if let Some(delay) = delay {
            tokio::time::sleep(delay).await;
        }
        if to.write_all(&buffer[..read]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::Ipv4Addr;

    /// Starts a server that echoes each byte.
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

    async fn echoed(stream: &mut TcpStream, byte: u8) -> std::io::Result<u8> {
        stream.write_all(&[byte]).await?;
        stream.read_u8().await
    }

    #[tokio::test]
    async fn links_forward_stall_and_reset() {
        let all = async {
            let mut link = Link::start(Ipv4Addr::LOCALHOST.into(), echo().await).await.expect("starts");
            let mut stream = TcpStream::connect(link.address).await.expect("connects");
            assert_eq!(echoed(&mut stream, 1).await.expect("passes"), 1);
            for kind in [Kind::Stall, Kind::OneWay] {
                link.begin_fault(0, kind, Duration::ZERO);
                let mut stalled = std::pin::pin!(echoed(&mut stream, 2));
                tokio::select! {
                    byte = &mut stalled => panic!("{kind:?} lets {byte:?} through"),
                    () = async { for _ in 0..1000 { tokio::task::yield_now().await } } => {}
                }
                link.end_fault(0);
                assert_eq!(stalled.await.expect("continues after the fault"), 2);
            }
            link.begin_fault(1, Kind::Reset, Duration::ZERO);
            let broken = echoed(&mut stream, 3).await.expect_err("is reset");
            assert_eq!(broken.kind(), std::io::ErrorKind::ConnectionReset);
            let mut next = TcpStream::connect(link.address).await.expect("connects again");
            assert_eq!(echoed(&mut next, 4).await.expect("passes"), 4);
            // Of two active faults the worse one applies until it ends.
            link.begin_fault(3, Kind::Delay, Duration::from_millis(1));
            link.begin_fault(2, Kind::Cut, Duration::ZERO);
            assert!(echoed(&mut next, 5).await.is_err());
            if let Ok(mut late) = TcpStream::connect(link.address).await {
                assert!(echoed(&mut late, 6).await.is_err());
            }
            link.end_fault(2);
            let mut last = TcpStream::connect(link.address).await.expect("connects again");
            assert_eq!(echoed(&mut last, 7).await.expect("passes with a delay"), 7);
        };
        LocalSet::new().run_until(all).await;
    }
}
