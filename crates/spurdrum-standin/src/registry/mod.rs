//! A simulated key-value registry with revisions, like those of etcd v3 and Consul.
//!
//! [`model`] holds the data and answers queries, without a clock or sockets; the lab drives it in simulated
//! time. [`etcd`] and [`consul`] serve it on sockets.

pub mod consul;
pub mod etcd;
pub mod model;

use std::future::Future;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread::JoinHandle;

use tokio::sync::oneshot;

/// An event loop in a thread of its own. Dropping it stops the loop.
struct EventLoop {
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl EventLoop {
    /// Runs `serve` on the loop and returns the addresses that it serves at. Tasks that it spawns run on the
    /// loop.
    fn start<F>(serve: impl FnOnce() -> F + Send + 'static) -> Result<(Self, Vec<SocketAddr>), String>
    where
        F: Future<Output = std::io::Result<Vec<SocketAddr>>>,
    {
        let (report_start, start_result) = mpsc::channel();
        let (stop, stopped) = oneshot::channel::<()>();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let run = |runtime: tokio::runtime::Runtime| {
                runtime.block_on(async {
                    let _ = report_start.send(Ok(serve().await?));
                    let _ = stopped.await;
                    Ok(())
                })
            };
            if let Err(error) = runtime.and_then(run) {
                let _ = report_start.send(Err(error.to_string()));
            }
        });
        let event_loop = Self { stop: Some(stop), thread: Some(thread) };
        let addresses = start_result.recv().map_err(|_| "the registry did not start".to_owned())??;
        Ok((event_loop, addresses))
    }
}

impl Drop for EventLoop {
    fn drop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
