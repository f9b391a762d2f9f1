//! One real node: starts, serves until SIGTERM, answers what it has taken, and ends. SIGHUP makes it read its
//! configuration again.

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
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| format!("cannot start the event loop: {error}"))?;
    LocalSet::new().block_on(&runtime, serve())
}

async fn serve() -> Result<(), String> {
    // Before all else: from here on neither signal ends the program by itself.
    let hear = |kind, name| signal(kind).map_err(|error| format!("cannot hear {name}: {error}"));
    let mut stop = hear(SignalKind::terminate(), "SIGTERM")?;
    let mut reload = hear(SignalKind::hangup(), "SIGHUP")?;
    let config = Config::from_env()?;
    let listener = TcpListener::bind(config.listen).await;
    let listener =
        listener.map_err(|error| format!("`GW_LISTEN`: cannot listen on {}: {error}", config.listen))?;
    let node = Node::start(config)?;
    tokio::task::spawn_local(discovery::follow(Rc::clone(&node)));
    tokio::task::spawn_local(Rc::clone(&node).reap());
    let reloaded = Rc::clone(&node);
    tokio::task::spawn_local(async move {
        while reload.recv().await.is_some() {
            reloaded.reload().await;
        }
    });
    frontend::run(node, listener, async move {
        stop.recv().await;
    })
    .await;
    Ok(())
}
