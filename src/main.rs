//! One real node: starts, serves until SIGTERM, answers what it has taken, and ends.

use std::process::ExitCode;
use std::rc::Rc;

use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::LocalSet;

mod net;

use net::{config::Config, discovery, frontend, node::Node};

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("spurdrum: {}", spurdrum::wire::one_line(&why));
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<(), String> {
    let config = Config::from_env()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| format!("cannot start the event loop: {error}"))?;
    LocalSet::new().block_on(&runtime, serve(config))
}

async fn serve(config: Config) -> Result<(), String> {
    let mut stop =
        signal(SignalKind::terminate()).map_err(|error| format!("cannot hear SIGTERM: {error}"))?;
    let listener = TcpListener::bind(config.listen).await;
    let listener =
        listener.map_err(|error| format!("`GW_LISTEN`: cannot listen on {}: {error}", config.listen))?;
    let node = Node::start(config)?;
    tokio::task::spawn_local(discovery::follow(Rc::clone(&node)));
    tokio::task::spawn_local(Rc::clone(&node).reap());
    frontend::run(node, listener, async move {
        stop.recv().await;
    })
    .await;
    Ok(())
}
