//! The program `spurdrum`: runs one node. The node serves until SIGTERM, then answers its pending requests
//! and exits. On SIGHUP it reloads its configuration. Other commands check a settings file, supervise a node,
//! and control a rollout.

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

mod admin;
mod affinity;
mod config;
mod file;
mod following;
mod list;
mod log;
mod merge;
mod platform;
mod registry;
mod replace;
mod retune;
mod rollout;
mod set;

use config::{Config, Source};
use following::{follow, ListSink};
use merge::MergedList;
use registry::{RegistryBackend, RegistryConfig};
use spurdrum_sources::registry::consul::Consul;
use spurdrum_sources::registry::etcd::{Etcd, Registration};
use spurdrum_sources::registry::shell::{RegistryClient, Shell};

/// A load-balancing reverse proxy: one node.
///
/// Without `[node]` in the settings file, the node is configured by GW_NAME, GW_LISTEN, GW_DISCOVERY and
/// GW_CONFIG.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    /// Settings file: TOML with a table for each subsystem to turn on.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// Address of the admin endpoint; overrides the settings file and GW_OPS.
    #[arg(long, value_name = "ADDRESS")]
    ops: Option<SocketAddr>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Check a settings file as `--config` would read it, report the first error, and exit.
    Check {
        /// The settings file.
        file: PathBuf,
    },
    /// Supervise a node on this machine: start it, replace it when a rollout requests so, and restart it when
    /// it exits.
    Keeper {
        /// The supervisor's settings, in TOML.
        file: PathBuf,
    },
    /// Roll out a change to a fleet in stages.
    Rollout {
        #[command(subcommand)]
        what: rollout::RolloutCommand,
    },
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let result = match cli.command {
        Some(Command::Check { file }) => check(&file),
        Some(Command::Keeper { file }) => rollout::supervise(&file),
        Some(Command::Rollout { what }) => rollout::run(what),
        None => start(cli.config, cli.ops),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("spurdrum: {}", spurdrum_facts::one_line(&error));
            ExitCode::FAILURE
        }
    }
}

/// Checks a settings file and prints the result.
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

/// Raises the process's limit of open file descriptors to the configured number. If the system allows fewer,
/// the node's budgets are computed from that lower number.
fn raise_descriptors(config: &mut Config) {
    use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
    let wanted = config.limits.sockets as u64;
    let limit = getrlimit(Resource::Nofile);
    if limit.current.is_some_and(|current| current < wanted) {
        let current = limit.maximum.map_or(wanted, |maximum| maximum.min(wanted));
        // Fails if the system allows even fewer; the limit that is in force is read below.
        let _ = setrlimit(Resource::Nofile, Rlimit { current: Some(current), maximum: limit.maximum });
    }
    let allowed = getrlimit(Resource::Nofile).current.unwrap_or(wanted);
    if allowed < wanted {
        tracing::warn!("`sockets` is {wanted}, but the system allows {allowed} file descriptors");
        config.limits.sockets = allowed as usize;
    }
}

fn start(file: Option<PathBuf>, ops: Option<SocketAddr>) -> Result<(), String> {
    on_event_loop(serve(file, ops))
}

/// Runs a future to completion on a new single-threaded event loop.
fn on_event_loop<T>(future: impl Future<Output = Result<T, String>>) -> Result<T, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| format!("cannot start the event loop: {error}"))?;
    LocalSet::new().block_on(&runtime, future)
}

/// The length of the listening sockets' queues of connections that are not accepted yet.
const BACKLOG: u32 = 1024;

/// Listens on an address. With `shared`, another process that also shares it may listen on the same address.
/// `key` is the key or variable that gave the address, for the error message.
fn listen(address: SocketAddr, key: &str, shared: bool) -> Result<TcpListener, String> {
    let bind = || {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        socket.set_reuseaddr(true)?;
        socket.set_reuseport(shared)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    bind().map_err(|error: std::io::Error| format!("`{key}`: cannot listen on {address}: {error}"))
}

/// Returns the listening socket that the outgoing process handed over, registered with the event loop.
fn received_listener(listener: &std::net::TcpListener) -> Result<TcpListener, String> {
    let listener = listener.try_clone().and_then(|listener| {
        listener.set_nonblocking(true)?;
        TcpListener::from_std(listener)
    });
    listener.map_err(|error| format!("cannot use the listening socket that was handed over: {error}"))
}

/// Runs the node until it has shut down.
async fn serve(file: Option<PathBuf>, ops: Option<SocketAddr>) -> Result<(), String> {
    // Installed before everything else: from here on neither signal terminates the process by its default
    // action.
    let listen_for =
        |kind, name| signal(kind).map_err(|error| format!("cannot install a handler for {name}: {error}"));
    let mut stop = listen_for(SignalKind::terminate(), "SIGTERM")?;
    let mut reload = listen_for(SignalKind::hangup(), "SIGHUP")?;
    let mut config = platform::read(file.as_deref())?;
    config.admin_address = ops.map(|address| (address, "--ops")).or(config.admin_address);
    if let Some(registry) = &mut config.registry {
        registry.read_files()?;
    }
    let _log = log::start(&config.name, config.log);
    raise_descriptors(&mut config);
    // Only a process with an admin endpoint may be replaced by one that starts while it still runs.
    let takeover = match config.admin_address {
        Some(_) => replace::take_over(&config.name, config.listen).await,
        None => None,
    };
    if takeover.is_some() {
        // The outgoing process is told to end once this one is ready, or after 6 s.
        config.follower_settings.startup_limit = config.follower_settings.startup_timeout;
    }
    let listener = match &takeover {
        Some(takeover) => received_listener(&takeover.listener)?,
        None => listen(config.listen, config.listen_key, config.admin_address.is_some())?,
    };
    let admin_listener =
        config.admin_address.map(|(address, key)| listen(address, key, false)).transpose()?;

    let connections =
        Connections::new(config.connections.clone(), config.limits, config.settings.max_retry_after_ms)
            .map_err(|(key, reason)| format!("`connections.{key}`: {reason}"))?;
    let mut handed_over_state = takeover.as_ref().and_then(replace::HandedOverState::from_takeover);
    // The list that the outgoing process had received, including drains, counts as received by this process.
    if let (Some(handed_over_state), Source::Catalog(_)) = (&mut handed_over_state, config.source) {
        std::mem::swap(&mut config.initial_list, &mut handed_over_state.list);
    }
    let latest_list = Rc::new(RefCell::new(config.initial_list.clone()));
    let catalog = match config.source {
        Source::Static | Source::None => None,
        Source::Catalog(address) => {
            // Without a list from an earlier run, the catalog's complete list is read first.
            let initial = &config.initial_list;
            let revision = (initial.revision > 0 || !initial.members.is_empty()).then_some(initial.revision);
            let catalog = Catalog::new(address, config.follower_settings.clone(), config.seed, revision);
            let catalog = catalog.map_err(|(key, reason)| format!("`sources.catalog.{key}`: {reason}"))?;
            catalog.restore_leaving(config.initial_list.clone());
            Some(catalog)
        }
    };
    let affinity_parts = match &config.affinity {
        None => None,
        Some(affinity_config) => {
            config.settings.preference_slack = affinity_config.slack;
            let (key_settings, key_hasher) =
                (affinity_config.key_settings(&config.names)?, affinity_config.key_hasher()?);
            let affinity = affinity_config.start(unix_ms()?, config.settings.slow_start_ms)?;
            Some((affinity, Rc::new(AffinityKeys::new(key_settings, key_hasher)), key_hasher))
        }
    };
    let affinity = affinity_parts.as_ref().map(|(affinity, ..)| Rc::clone(affinity));
    let keys = affinity_parts.as_ref().map(|(_, keys, _)| Rc::clone(keys));
    let metrics = Rc::new(match config.latencies {
        true => NodeMetrics::with_latencies(),
        false => NodeMetrics::default(),
    });
    metrics.add_classes(&config.names.classes);
    let upstream = Upstream::new(
        Rc::clone(&connections),
        Rc::clone(&metrics),
        config.server_idle_timeout,
        config.dial_timeout,
    );
    let upstream = upstream.with_keys(keys.clone());
    let (trace, _trace_writer) = match &config.trace {
        None => (None, None),
        Some(settings) => {
            let started = Trace::start(settings);
            let (trace, writer) =
                started.map_err(|error| format!("`trace.path`: {}: {error}", settings.path.display()))?;
            (Some(trace), Some(writer))
        }
    };
    let evidence_receiver = catalog.clone();
    let core = spurdrum_core::Config {
        seed: config.seed,
        settings: config.settings,
        max_pending: config.max_pending,
        idle_check_interval: config.server_idle_timeout / 20,
    };
    let node = Node::new(
        core,
        Rc::clone(&connections),
        Rc::clone(&metrics),
        upstream,
        move |evidence| {
            if let Some(catalog) = &evidence_receiver {
                catalog.report_evidence(list::evidence(evidence));
            }
        },
        affinity.clone(),
        trace,
    )?;
    let (stop_store, store_stop) = oneshot::channel();
    let (store_status, store_task) = start_affinity(&node, &config.affinity, affinity_parts, store_stop);
    let zones_and_kinds = Rc::new(config.zones_and_kinds);
    let names = Rc::new(RefCell::new(Rc::new(config.names)));
    let affinity_on = affinity.is_some();
    let reloader = retune::Reloader::new(
        Rc::clone(&node),
        Rc::clone(&names),
        Rc::clone(&zones_and_kinds),
        affinity_on,
        config.max_pending,
    );
    // With a registry there may be several sources, whose lists are merged. Without one, the single source's
    // list goes to the core unchanged.
    let mut registration = None;
    let registry = match config.registry {
        None => None,
        Some(mut registry) => {
            if let (Some(register), RegistryBackend::Etcd(cluster)) =
                (registry.register.take(), &registry.backend)
            {
                let etcd = Etcd::new(cluster.clone());
                let etcd = etcd.map_err(|(key, reason)| format!("`sources.registry.{key}`: {reason}"))?;
                registration = Some(register_node(etcd, register, config.seed));
            }
            let merged = MergedList::new(
                Rc::clone(&node),
                Rc::clone(&zones_and_kinds),
                registry.merge_settings.clone(),
            )?;
            tokio::task::spawn_local(Rc::clone(&merged).run_timer());
            let status = follow_registry(&merged, registry, config.seed)
                .map_err(|(key, reason)| format!("`sources.registry.{key}`: {reason}"))?;
            Some((merged, status))
        }
    };
    let merged = registry.as_ref().map(|(merged, _)| Rc::clone(merged));
    match &merged {
        Some(merged) if config.source == Source::Static => {
            merged.update_list(merge::STATIC, config.initial_list)
        }
        Some(_) => {}
        None => node.load_cached_servers(zones_and_kinds.to_servers(&config.initial_list)),
    }
    // A list that discovery has not confirmed to the outgoing process either may be of any age. 6 s after
    // discovery has removed a server, the node must no longer send requests to it, however recently this
    // process has started; so requests wait until the list is confirmed.
    if catalog.is_some()
        && handed_over_state.as_ref().is_none_or(|handed_over_state| handed_over_state.starting)
    {
        node.queue_until_serving();
    }
    if let Some(handed_over_state) = handed_over_state {
        handed_over_state.apply(&node, &names.borrow());
    }
    let offer = config.admin_address.and_then(|_| {
        let (node, list, names) = (Rc::clone(&node), Rc::clone(&latest_list), Rc::clone(&names));
        let state_source = replace::StateSource { node, list, names };
        replace::offer(&config.name, config.listen, &listener, &connections, state_source)
    });
    let begun = replace::report_begun(&node, offer.as_ref());
    let handed_over = replace::follow(takeover, &node, begun);
    let attempts_when_confirmed = Cell::default();
    let sink = Rc::new(ListSink {
        node: Rc::clone(&node),
        zones_and_kinds,
        merged,
        latest: latest_list,
        attempts_when_confirmed,
    });
    if let Some(catalog) = &catalog {
        tokio::task::spawn_local(follow(Rc::clone(catalog), Rc::clone(&sink)));
    }
    tokio::task::spawn_local(Rc::clone(connections.clock()).run());
    tokio::task::spawn_local(Rc::clone(&node).close_idle_connections());
    tokio::task::spawn_local(Rc::clone(&node).release_server_connections());
    tokio::task::spawn_local(Rc::clone(&connections).run_timer());
    tokio::task::spawn_local(Rc::clone(&connections).run_memory_measurement());
    let (reload_sink, reload_catalog, mut accepted_json) =
        (Rc::clone(&sink), catalog.clone(), config.platform_json);
    tokio::task::spawn_local(async move {
        while reload.recv().await.is_some() {
            reload_config(file.clone(), &mut accepted_json, &reload_sink, reload_catalog.as_ref(), &reloader)
                .await;
        }
    });
    let shutting_down = Rc::new(Cell::new(false));
    if let Some(admin_listener) = admin_listener {
        let node_status =
            admin::NodeStatus { node: Rc::clone(&node), shutting_down: Rc::clone(&shutting_down) };
        let calls = spurdrum_ops::NodeCalls(node_status);
        tokio::task::spawn_local(spurdrum_ops::serve(
            admin_listener,
            calls,
            spurdrum_ops::Settings::default(),
        ));
    }
    let status = move || {
        let affinity_status = affinity.as_ref().map(|affinity| {
            let store =
                store_status.as_ref().map_or(String::new(), |status| format!("\n{}", status.borrow()));
            format!("\n{}{store}", affinity.borrow().status())
        });
        let list = catalog.as_ref().map(|catalog| list::status(catalog.status()));
        let registry = registry.as_ref().map(|(merged, status)| format!("{}; {}", status(), merged.status()));
        let list = match (list, registry) {
            (Some(list), Some(registry)) => format!("{registry}\n{list}"),
            (Some(only), None) | (None, Some(only)) => only,
            (None, None) => "list static".to_owned(),
        };
        list + &affinity_status.unwrap_or_default()
    };
    let front = Front::new(node, names, status).with_keys(keys);
    let incoming = offer.clone().map(|offer| Rc::new(replace::Incoming(offer)) as Rc<dyn IncomingProcess>);
    let front = front.with_incoming_process(incoming);
    spurdrum_http::run(front, listener, handed_over, async move {
        stop.recv().await;
        if let Some(offer) = offer {
            offer.stop();
        }
        shutting_down.set(true);
        // Deregisters first, so that those who follow the registry learn of the shutdown before the node
        // stops.
        if let Some((deregister, deregistered)) = registration {
            let _ = deregister.send(());
            let _ = deregistered.await;
        }
    })
    .await;
    // The store is stopped after the last request, so that it also writes the bindings that were made last.
    let _ = stop_store.send(());
    if let Some(store_task) = store_task {
        let _ = store_task.await;
    }
    Ok(())
}

/// The status of the store of bindings, if there is one.
type StoreStatus = Option<Rc<RefCell<spurdrum_store::Status>>>;

/// Starts the timer of session affinity and, if configured, the task that stores its bindings until `stop`.
/// Returns the store's status and its task.
fn start_affinity(
    node: &Rc<Node<Upstream>>,
    config: &Option<affinity::AffinityConfig>,
    affinity_parts: Option<(Rc<RefCell<Affinity>>, Rc<AffinityKeys>, KeyHasher)>,
    stop: oneshot::Receiver<()>,
) -> (StoreStatus, Option<tokio::task::JoinHandle<()>>) {
    let Some((affinity, _, key_hasher)) = affinity_parts else { return (None, None) };
    let clock = |node: &Rc<Node<Upstream>>| {
        let node = Rc::clone(node);
        move || node.now()
    };
    tokio::task::spawn_local(affinity::run_timer(Rc::clone(&affinity), clock(node)));
    let store = config.as_ref().and_then(|config| config.store());
    let Some(store) = store.cloned() else { return (None, None) };
    let status = Rc::new(RefCell::new(spurdrum_store::Status::default()));
    let stop = async {
        // A dropped sender stops the store as well.
        let _ = stop.await;
    };
    let stored = affinity::store_bindings(store, key_hasher, affinity, Rc::clone(&status), clock(node), stop);
    (Some(status), Some(tokio::task::spawn_local(stored)))
}

/// Registers the node in a registry until shutdown. Returns a sender that starts the deregistration and a
/// receiver that reports when it is done.
fn register_node(
    etcd: Etcd,
    register: registry::RegistrationConfig,
    seed: u64,
) -> (oneshot::Sender<()>, oneshot::Receiver<()>) {
    let (deregister, deregister_receiver) = oneshot::channel();
    let (done, deregistered) = oneshot::channel();
    tokio::task::spawn_local(async move {
        let [active_value, leaving_value] = register.values.map(String::into_bytes);
        let registration =
            Registration { etcd, key: register.key.clone().into_bytes(), active_value, leaving_value };
        let stop = async {
            // A dropped sender deregisters the node as well.
            let _ = deregister_receiver.await;
        };
        let on_state = |state| tracing::info!("the node's key {} in the registry: {state}", register.key);
        // The only error is an invalid setting; the settings were validated when they were read.
        let _ = registration.run(register.settings, seed, stop, on_state).await;
        let _ = done.send(());
    });
    (deregister, deregistered)
}

/// A function that returns a status text for operators.
type StatusText = Box<dyn Fn() -> String>;

/// Follows a registry for as long as the node runs. Returns the function that gives its status.
fn follow_registry(
    merged: &Rc<MergedList>,
    registry: RegistryConfig,
    seed: u64,
) -> Result<StatusText, (&'static str, &'static str)> {
    fn follow<W: RegistryClient>(
        merged: &Rc<MergedList>,
        client: W,
        registry: RegistryConfig,
        seed: u64,
    ) -> Result<StatusText, (&'static str, &'static str)> {
        let shell = Shell::new(client, registry.follower_settings, seed)?;
        tokio::task::spawn_local(Rc::clone(merged).follow(Rc::clone(&shell), registry.schema));
        Ok(Box::new(move || merge::status(&shell)))
    }
    match &registry.backend {
        RegistryBackend::Etcd(cluster) => follow(merged, Etcd::new(cluster.clone())?, registry, seed),
        RegistryBackend::Consul(service) => follow(merged, Consul::new(service.clone())?, registry, seed),
    }
}

/// Reloads the configuration: applies the settings that can change while the node runs, and the catalog's
/// address or the static list. All other changes take effect at the next start. An invalid configuration
/// changes nothing.
async fn reload_config(
    file: Option<PathBuf>,
    accepted_json: &mut Arc<Value>,
    sink: &ListSink,
    catalog: Option<&Rc<Catalog>>,
    reloader: &Rc<retune::Reloader>,
) {
    let accepted = Arc::clone(accepted_json);
    let reading = tokio::task::spawn_blocking(move || {
        let config = platform::read(file.as_deref())?;
        platform::check_no_key_missing(&accepted, &config.platform_json).map(|()| config)
    });
    let read = reading.await;
    sink.node.metrics.record_reload(matches!(read, Ok(Ok(_))));
    if let Ok(Ok(config)) = &read {
        *accepted_json = Arc::clone(&config.platform_json);
        reloader.apply(config);
    }
    match (read, catalog) {
        (Ok(Ok(config)), Some(catalog)) => {
            if let Source::Catalog(address) = config.source {
                if catalog.set_address(address) {
                    tracing::info!("the catalog's address is now {address}");
                }
            }
        }
        // Changes to a registry's endpoints take effect at the next start, like all others.
        (Ok(Ok(config)), None) if config.source == Source::None => {}
        (Ok(Ok(config)), None) => {
            tracing::info!("the static list now has {} servers", config.initial_list.members.len());
            sink.update(merge::STATIC, config.initial_list);
        }
        (Ok(Err(error)), _) => tracing::warn!("the configuration stays as it was: {error}"),
        (Err(_), _) => tracing::warn!("the configuration stays as it was: the task that reads it failed"),
    }
}
