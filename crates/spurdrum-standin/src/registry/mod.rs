//! A key-value registry with revisions, as etcd v3 and Consul publish theirs.
//!
//! [`model`] is what it holds and answers, without a clock or sockets; the lab plays it in simulated time. [`etcd`]
//! and [`consul`] answer for it on sockets.

pub mod consul;
pub mod etcd;
pub mod model;

use std::future::Future;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread::JoinHandle;

use tokio::sync::oneshot;

/// An event loop in a thread of its own, until it is dropped.
struct Running {
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Running {
    /// Starts what serves at the addresses that it returns; all that it spawns runs on the loop.
    fn start<F>(serve: impl FnOnce() -> F + Send + 'static) -> Result<(Self, Vec<SocketAddr>), String>
    where
        F: Future<Output = std::io::Result<Vec<SocketAddr>>>,
    {
        let (tell, told) = mpsc::channel();
        let (stop, stopped) = oneshot::channel::<()>();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let run = |runtime: tokio::runtime::Runtime| {
                runtime.block_on(async {
                    let _ = tell.send(Ok(serve().await?));
                    let _ = stopped.await;
                    Ok(())
                })
            };
            if let Err(error) = runtime.and_then(run) {
                let _ = tell.send(Err(error.to_string()));
            }
        });
        let running = Self { stop: Some(stop), thread: Some(thread) };
        let addresses = told.recv().map_err(|_| "the registry did not start".to_owned())??;
        Ok((running, addresses))
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
