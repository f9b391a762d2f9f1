//! One real node: starts, serves until SIGTERM, answers what it has taken, and ends. SIGHUP makes it read its
//! configuration again.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;

use clap::{Parser, Subcommand};
use serde_json::Value;
use spurdrum_affinity::{Affinity, KeyHasher};
use spurdrum_core::{unix_ms, Connections, Node, NodeMetrics};
use spurdrum_http::{AffinityKeys, Front, IncomingProcess, Upstream};
use spurdrum_sources::catalog::Catalog;
use spurdrum_trace::Trace;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::oneshot;
use tokio::task::LocalSet;

mod affinity;
mod config;
mod file;
mod following;
mod list;
mod log;
mod merge;
mod operated;
mod platform;
mod registry;
mod replace;
mod retune;
mod rollout;
mod set;

use config::{Config, Source};
use following::{follow, Sink};
use merge::Merged;
use registry::{Place, Registry};
use spurdrum_sources::registry::consul::Consul;
use spurdrum_sources::registry::etcd::{Etcd, Registration};
use spurdrum_sources::registry::shell::{RegistryClient, Shell};

/// A load-balancing reverse proxy: one node.
///
/// Without `[node]` in its file, it is told what it needs in GW_NAME, GW_LISTEN, GW_DISCOVERY and GW_CONFIG.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    /// TOML with a table for each subsystem that is to be on.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// Where operators call, in place of what the file or GW_OPS says.
    #[arg(long, value_name = "ADDRESS")]
    ops: Option<SocketAddr>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Read a file as `--config` would, say what is wrong with it, and end.
    Check {
        /// The file.
        file: PathBuf,
    },
    /// Keep a node on this machine: start it, replace it when a rollout says so, and start it again when it ends.
    Keeper {
        /// TOML with what the keeper is told.
        file: PathBuf,
    },
    /// Carry a change to a fleet in stages.
    Rollout {
        #[command(subcommand)]
        what: rollout::What,
    },
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let done = match cli.command {
        Some(Command::Check { file }) => check(&file),
        Some(Command::Keeper { file }) => rollout::keep(&file),
        Some(Command::Rollout { what }) => rollout::carry_out(what),
        None => start(cli.config, cli.ops),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("spurdrum: {}", spurdrum_facts::one_line(&why));
            ExitCode::FAILURE
        }
    }
}

fn check(file: &std::path::Path) -> Result<(), String> {
    match file::read(Some(file))?.has_node() {
        true => platform::read(Some(file))
            .map(|_| println!("{}: sound, and all that a node needs", file.display())),
        false => {
            println!("{}: sound; without [node], the rest comes in GW_CONFIG", file.display());
            Ok(())
        }
    }
}

/// Asks for as many descriptors as the node may hold; where the system gives fewer, the budgets follow it.
fn raise_descriptors(config: &mut Config) {
    use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
    let wanted = config.limits.sockets as u64;
    let has = getrlimit(Resource::Nofile);
    if has.current.is_some_and(|current| current < wanted) {
        let current = has.maximum.map_or(wanted, |most| most.min(wanted));
        // It fails where the system allows even less: then that is what there is.
        let _ = setrlimit(Resource::Nofile, Rlimit { current: Some(current), maximum: has.maximum });
    }
    let most = getrlimit(Resource::Nofile).current.unwrap_or(wanted);
    if most < wanted {
        tracing::warn!("`sockets` is {wanted}, but the system allows {most} descriptors");
        config.limits.sockets = most as usize;
    }
}

fn start(file: Option<PathBuf>, ops: Option<SocketAddr>) -> Result<(), String> {
    on_event_loop(serve(file, ops))
}

/// Runs to its end on an event loop of its own.
fn on_event_loop<T>(work: impl Future<Output = Result<T, String>>) -> Result<T, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| format!("cannot start the event loop: {error}"))?;
    LocalSet::new().block_on(&runtime, work)
}

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;

/// Listens on an address; where it is shared, beside another process that does.
fn listen(address: SocketAddr, key: &str, shared: bool) -> Result<TcpListener, String> {
    let listener = || {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        socket.set_reuseaddr(true)?;
        socket.set_reuseport(shared)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    listener().map_err(|error: std::io::Error| format!("`{key}`: cannot listen on {address}: {error}"))
}

/// The listening socket that the outgoing process handed over.
fn received_listener(listener: &std::net::TcpListener) -> Result<TcpListener, String> {
    let listener = listener.try_clone().and_then(|listener| {
        listener.set_nonblocking(true)?;
        TcpListener::from_std(listener)
    });
    listener.map_err(|error| format!("cannot use the listening socket that was handed over: {error}"))
}

async fn serve(file: Option<PathBuf>, ops: Option<SocketAddr>) -> Result<(), String> {
    // Before all else: from here on neither signal ends the program by itself.
    let hear = |kind, name| signal(kind).map_err(|error| format!("cannot hear {name}: {error}"));
    let mut stop = hear(SignalKind::terminate(), "SIGTERM")?;
    let mut reload = hear(SignalKind::hangup(), "SIGHUP")?;
    let mut config = platform::read(file.as_deref())?;
    config.ops = ops.map(|address| (address, "--ops")).or(config.ops);
    if let Some(registry) = &mut config.registry {
        registry.read_files()?;
    }
    let _log = log::start(&config.name, config.log);
    raise_descriptors(&mut config);
    // A process that operators can ask may be replaced by one that runs beside it.
    let takeover = match config.ops {
        Some(_) => replace::take_over(&config.name, config.listen).await,
        None => None,
    };
    let listener = match &takeover {
        Some(takeover) => received_listener(&takeover.listener)?,
        None => listen(config.listen, config.listen_key, config.ops.is_some())?,
    };
    let desk = config.ops.map(|(address, key)| listen(address, key, false)).transpose()?;

    let connections =
        Connections::new(config.connections.clone(), config.limits, config.settings.max_retry_after_ms)
            .map_err(|(key, why)| format!("`connections.{key}`: {why}"))?;
    let mut handed_state = takeover.as_ref().and_then(replace::HandedState::from_takeover);
    let passed = replace::follow(takeover, &connections);
    // What the process that was here has been told counts as told to this one, too: drains among it.
    if let (Some(handed_state), Source::Catalog(_)) = (&mut handed_state, config.source) {
        std::mem::swap(&mut config.known, &mut handed_state.list);
    }
    let told_list = Rc::new(RefCell::new(config.known.clone()));
    let catalog = match config.source {
        Source::Static | Source::None => None,
        Source::Catalog(address) => {
            // Without a list of an earlier run the whole list is read first.
            let known = &config.known;
            let known = (known.revision > 0 || !known.members.is_empty()).then_some(known.revision);
            let catalog = Catalog::new(address, config.following.clone(), config.seed, known);
            let catalog = catalog.map_err(|(key, why)| format!("`sources.catalog.{key}`: {why}"))?;
            catalog.restore_leaving(config.known.clone());
            Some(catalog)
        }
    };
    let bindings = match &config.affinity {
        None => None,
        Some(bindings) => {
            config.settings.preference_slack = bindings.slack;
            let (making, keyer) = (bindings.making(&config.names)?, bindings.keyer()?);
            let affinity = bindings.start(unix_ms()?, config.settings.slow_start_ms)?;
            Some((affinity, Rc::new(AffinityKeys::new(making, keyer)), keyer))
        }
    };
    let affinity = bindings.as_ref().map(|(affinity, ..)| Rc::clone(affinity));
    let keys = bindings.as_ref().map(|(_, keys, _)| Rc::clone(keys));
    let figures = Rc::new(match config.latencies {
        true => NodeMetrics::with_latencies(),
        false => NodeMetrics::default(),
    });
    figures.add_classes(&config.names.classes);
    let upstream =
        Upstream::new(Rc::clone(&connections), Rc::clone(&figures), config.conn_idle, config.dial_timeout);
    let upstream = upstream.with_keys(keys.clone());
    let (trace, _writing) = match &config.trace {
        None => (None, None),
        Some(settings) => {
            let started = Trace::start(settings);
            let (trace, writing) =
                started.map_err(|error| format!("`trace.path`: {}: {error}", settings.path.display()))?;
            (Some(trace), Some(writing))
        }
    };
    let signs = catalog.clone();
    let core = spurdrum_core::Config {
        seed: config.seed,
        settings: config.settings,
        max_pending: config.most_held,
        idle_check_interval: config.conn_idle / 20,
    };
    let node = Node::new(
        core,
        Rc::clone(&connections),
        Rc::clone(&figures),
        upstream,
        move |sign| {
            if let Some(catalog) = &signs {
                catalog.report_evidence(list::evidence(sign));
            }
        },
        affinity.clone(),
        trace,
    )?;
    let (end_store, store_ends) = oneshot::channel();
    let (store_status, stored) = keep_bindings(&node, &config.affinity, bindings, store_ends);
    let places = Rc::new(config.places);
    let names = Rc::new(RefCell::new(Rc::new(config.names)));
    let fixed = affinity.is_some();
    let retuner = retune::Retuner::new(
        Rc::clone(&node),
        Rc::clone(&names),
        Rc::clone(&places),
        fixed,
        config.most_held,
    );
    // With a registry there may be several sources; without, the one there is goes to the core as it comes.
    let mut leaves = None;
    let registry = match config.registry {
        None => None,
        Some(mut registry) => {
            if let (Some(register), Place::Etcd(cluster)) = (registry.register.take(), &registry.place) {
                let etcd = Etcd::new(cluster.clone());
                let etcd = etcd.map_err(|(key, why)| format!("`sources.registry.{key}`: {why}"))?;
                leaves = Some(keep(etcd, register, config.seed));
            }
            let merged = Merged::new(Rc::clone(&node), Rc::clone(&places), registry.merging.clone())?;
            tokio::task::spawn_local(Rc::clone(&merged).keep_time());
            let status = watch(&merged, registry, config.seed)
                .map_err(|(key, why)| format!("`sources.registry.{key}`: {why}"))?;
            Some((merged, status))
        }
    };
    let merged = registry.as_ref().map(|(merged, _)| Rc::clone(merged));
    match &merged {
        Some(merged) if config.source == Source::Static => merged.listed(merge::STATIC, config.known),
        Some(_) => {}
        None => node.load_cached_servers(places.listed(&config.known)),
    }
    // A list that the process before has not had confirmed may be of any age: what discovery removed since counts as told 6 s after,
    // however young this process is.
    if catalog.is_some() && handed_state.as_ref().is_none_or(|handed_state| handed_state.starting) {
        node.queue_until_serving();
    }
    if let Some(handed_state) = handed_state {
        handed_state.apply(&node, &names.borrow());
    }
    let offer = config.ops.and_then(|_| {
        let (node, list, names) = (Rc::clone(&node), Rc::clone(&told_list), Rc::clone(&names));
        let state_source = replace::StateSource { node, list, names };
        replace::offer(&config.name, config.listen, &listener, &connections, state_source)
    });
    let attempts_when_confirmed = Cell::default();
    let sink =
        Rc::new(Sink { node: Rc::clone(&node), places, merged, told: told_list, attempts_when_confirmed });
    if let Some(catalog) = &catalog {
        tokio::task::spawn_local(follow(Rc::clone(catalog), Rc::clone(&sink)));
    }
    tokio::task::spawn_local(Rc::clone(connections.clock()).run());
    tokio::task::spawn_local(Rc::clone(&node).close_idle_connections());
    tokio::task::spawn_local(Rc::clone(&node).release_server_connections());
    tokio::task::spawn_local(Rc::clone(&connections).run_timer());
    let (reloaded, followed, mut told) = (Rc::clone(&sink), catalog.clone(), config.told);
    tokio::task::spawn_local(async move {
        while reload.recv().await.is_some() {
            read_again(file.clone(), &mut told, &reloaded, followed.as_ref(), &retuner).await;
        }
    });
    let ending = Rc::new(Cell::new(false));
    if let Some(desk) = desk {
        let operated = operated::Process { node: Rc::clone(&node), ending: Rc::clone(&ending) };
        let calls = spurdrum_ops::NodeCalls(operated);
        tokio::task::spawn_local(spurdrum_ops::serve(desk, calls, spurdrum_ops::Settings::default()));
    }
    let status = move || {
        let shown = affinity.as_ref().map(|affinity| {
            let store =
                store_status.as_ref().map_or(String::new(), |status| format!("\n{}", status.borrow()));
            format!("\n{}{store}", affinity.borrow().status())
        });
        let list = catalog.as_ref().map(|catalog| list::status(catalog.status()));
        let registry = registry.as_ref().map(|(merged, of)| format!("{}; {}", of(), merged.status()));
        let list = match (list, registry) {
            (Some(list), Some(registry)) => format!("{registry}\n{list}"),
            (Some(one), None) | (None, Some(one)) => one,
            (None, None) => "list static".to_owned(),
        };
        list + &shown.unwrap_or_default()
    };
    let front = Front::new(node, names, status).with_keys(keys);
    let successor = offer.clone().map(|offer| Rc::new(replace::Incoming(offer)) as Rc<dyn IncomingProcess>);
    let front = front.with_incoming_process(successor);
    spurdrum_http::run(front, listener, passed, async move {
        stop.recv().await;
        if let Some(offer) = offer {
            offer.stop();
        }
        ending.set(true);
        // Who follows the registry hears of it first.
        if let Some((leave, gone)) = leaves {
            let _ = leave.send(());
            let _ = gone.await;
        }
    })
    .await;
    // What was bound last is written once nothing is bound any more.
    let _ = end_store.send(());
    if let Some(stored) = stored {
        let _ = stored.await;
    }
    Ok(())
}

type StoreStatus = Option<Rc<RefCell<spurdrum_store::Status>>>;

/// Lets bindings age, and keeps them where they are to be kept, until `end`. How the store does, and what tells that it is
/// done.
fn keep_bindings(
    node: &Rc<Node<Upstream>>,
    config: &Option<affinity::Bindings>,
    bindings: Option<(Rc<RefCell<Affinity>>, Rc<AffinityKeys>, KeyHasher)>,
    end: oneshot::Receiver<()>,
) -> (StoreStatus, Option<tokio::task::JoinHandle<()>>) {
    let Some((affinity, _, keyer)) = bindings else { return (None, None) };
    let clock = |node: &Rc<Node<Upstream>>| {
        let node = Rc::clone(node);
        move || node.now()
    };
    tokio::task::spawn_local(affinity::keep_time(Rc::clone(&affinity), clock(node)));
    let store = config.as_ref().and_then(|config| config.store());
    let Some(store) = store.cloned() else { return (None, None) };
    let status = Rc::new(RefCell::new(spurdrum_store::Status::default()));
    let ends = async {
        // Dropped unheard, it comes to the same.
        let _ = end.await;
    };
    let kept = affinity::keep(store, keyer, affinity, Rc::clone(&status), clock(node), ends);
    (Some(status), Some(tokio::task::spawn_local(kept)))
}

/// Keeps the node's own key in a registry: how to have it taken out, and what tells that it is.
fn keep(etcd: Etcd, register: registry::Register, seed: u64) -> (oneshot::Sender<()>, oneshot::Receiver<()>) {
    let (leave, leaves) = oneshot::channel();
    let (tell, gone) = oneshot::channel();
    tokio::task::spawn_local(async move {
        let [active_value, leaving_value] = register.values.map(String::into_bytes);
        let registration =
            Registration { etcd, key: register.key.clone().into_bytes(), active_value, leaving_value };
        let leaves = async {
            // Dropped unheard, it comes to the same.
            let _ = leaves.await;
        };
        let told = |state| tracing::info!("the node's key {} in the registry: {state}", register.key);
        // Its settings were looked at when they were read.
        let _ = registration.run(register.settings, seed, leaves, told).await;
        let _ = tell.send(());
    });
    (leave, gone)
}

type Status = Box<dyn Fn() -> String>;

/// Follows a registry for as long as the node runs. How its state is shown.
fn watch(merged: &Rc<Merged>, registry: Registry, seed: u64) -> Result<Status, (&'static str, &'static str)> {
    fn follow<W: RegistryClient>(
        merged: &Rc<Merged>,
        wire: W,
        registry: Registry,
        seed: u64,
    ) -> Result<Status, (&'static str, &'static str)> {
        let shell = Shell::new(wire, registry.following, seed)?;
        tokio::task::spawn_local(Rc::clone(merged).follow(Rc::clone(&shell), registry.schema));
        Ok(Box::new(move || merge::status(&shell)))
    }
    match &registry.place {
        Place::Etcd(cluster) => follow(merged, Etcd::new(cluster.clone())?, registry, seed),
        Place::Consul(service) => follow(merged, Consul::new(service.clone())?, registry, seed),
    }
}

/// Reads the configuration again, for where the list of servers is, or what it says; all else holds from the next start on.
/// One that cannot be read changes nothing.
async fn read_again(
    file: Option<PathBuf>,
    told: &mut Arc<Value>,
    sink: &Sink,
    catalog: Option<&Rc<Catalog>>,
    retuner: &Rc<retune::Retuner>,
) {
    let accepted = Arc::clone(told);
    let read = tokio::task::spawn_blocking(move || {
        let config = platform::read(file.as_deref())?;
        platform::lacks_nothing(&accepted, &config.told).map(|()| config)
    });
    let read = read.await;
    sink.node.metrics.record_reload(matches!(read, Ok(Ok(_))));
    if let Ok(Ok(config)) = &read {
        *told = Arc::clone(&config.told);
        retuner.apply(config);
    }
    match (read, catalog) {
        (Ok(Ok(config)), Some(catalog)) => {
            if let Source::Catalog(address) = config.source {
                if catalog.set_address(address) {
                    tracing::info!("discovery is now at {address}");
                }
            }
        }
        // A registry's endpoints hold from the next start on, like all else.
        (Ok(Ok(config)), None) if config.source == Source::None => {}
        (Ok(Ok(config)), None) => {
            tracing::info!("the static list has {} servers now", config.known.members.len());
            sink.listed(merge::STATIC, config.known);
        }
        (Ok(Err(why)), _) => tracing::warn!("the configuration stays as it was: {why}"),
        (Err(_), _) => tracing::warn!("the configuration stays as it was: reading it failed"),
    }
}
