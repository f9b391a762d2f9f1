//! Session affinity: table `[affinity]` of the settings file, and storage of the bindings of keys to servers,
//! so that they outlive the process.

use std::cell::RefCell;
use std::future::Future;
use std::io::{ErrorKind, Read, Write as _};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use serde::Deserialize;
use spurdrum_affinity::record::{self, PendingWrite, StoredBinding, BINDINGS_TABLE, RUNS_TABLE};
use spurdrum_affinity::{Affinity, InitialPlacement, KeyHasher, Settings};
use spurdrum_http::keys::{AffinityKeySettings, Owner};
use spurdrum_store::shell::StoreWriter;
use spurdrum_store::{FileIdentity, Row, StoreFile};
use tokio::time::sleep;

use crate::set::{set, set_time};

/// How often expired bindings are removed, if no request does so before.
const TICK_INTERVAL: Duration = Duration::from_secs(1);
/// How soon the next tick follows if more bindings have expired than one tick removes.
const BUSY_TICK_INTERVAL: Duration = Duration::from_millis(1);

/// Table `[affinity]`. Times are in milliseconds. [`AffinityTable::to_config`] maps the keys to
/// [`AffinityKeySettings`] and [`Settings`], where they are explained.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AffinityTable {
    key: Vec<String>,
    #[serde(default)]
    classes: Vec<String>,
    answer: Option<String>,
    owner: Option<OwnerName>,
    prefix_v4: Option<u8>,
    prefix_v6: Option<u8>,
    slack: Option<f64>,
    first: Option<FirstName>,
    entries: Option<usize>,
    idle_ms: Option<f64>,
    most_ms: Option<f64>,
    return_within_ms: Option<f64>,
    moves_after: Option<u8>,
    settle_ms: Option<f64>,
    store: Option<StoreTable>,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum OwnerName {
    Tenant,
    Address,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum FirstName {
    Lowest,
    Ring,
}

/// Table `[affinity.store]`. Times are in milliseconds. [`StoreTable::to_config`] maps the keys to
/// [`spurdrum_store::Settings`], where they are explained.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct StoreTable {
    path: PathBuf,
    trial: Option<PathBuf>,
    write_every_ms: Option<u64>,
    share: Option<f64>,
    aim_ms: Option<u64>,
    batch: Option<usize>,
    retry_least_ms: Option<u64>,
    retry_most_ms: Option<u64>,
    flush_most_ms: Option<u64>,
}

/// An invalid setting: the table, the key, and the reason.
type ConfigError = (&'static str, &'static str, &'static str);

/// The settings of session affinity.
pub struct AffinityConfig {
    /// How keys are derived from requests, still without the classes and tenants.
    key_settings: AffinityKeySettings,
    /// The names of the classes whose requests have a key; empty for all.
    classes: Vec<String>,
    /// Whether the file sets the owner to whom entries of the table are attributed.
    owner_is_set: bool,
    /// The bound server is chosen while its rank is at most this multiple of the lowest rank. At least 1.
    pub slack: f64,
    settings: Settings,
    /// Where the bindings are stored, if they are.
    store: Option<StoreConfig>,
}

/// The settings of the store of bindings.
#[derive(Clone)]
pub struct StoreConfig {
    path: PathBuf,
    /// A file that controls simulated faults of the disk, for tests.
    trial: Option<PathBuf>,
    settings: spurdrum_store::Settings,
}

impl AffinityTable {
    /// Validates the table.
    pub fn to_config(&self) -> Result<AffinityConfig, ConfigError> {
        let error = |key| move |reason| ("affinity", key, reason);
        let parts: Result<Vec<_>, _> =
            self.key.iter().map(|part| part.parse().map_err(error("key"))).collect();
        let parts = parts?;
        if parts.is_empty() {
            return Err(("affinity", "key", "is empty"));
        }
        let prefixes = [self.prefix_v4.unwrap_or(24), self.prefix_v6.unwrap_or(56)];
        if prefixes[0] > 32 || prefixes[1] > 128 {
            return Err(("affinity", "prefix_v", "is longer than an address"));
        }
        let slack = self.slack.unwrap_or(2.0);
        if !(slack.is_finite() && slack >= 1.0) {
            return Err(("affinity", "slack", "is under 1"));
        }
        let mut settings = Settings::default();
        set(&mut settings.max_bindings, self.entries);
        set(&mut settings.idle_timeout_ms, self.idle_ms);
        set(&mut settings.max_age_ms, self.most_ms);
        set(&mut settings.return_timeout_ms, self.return_within_ms);
        set(&mut settings.rebind_after, self.moves_after);
        set(&mut settings.rebind_min_age_ms, self.settle_ms);
        settings.initial_placement = match self.first {
            Some(FirstName::Ring) => InitialPlacement::Ring,
            Some(FirstName::Lowest) | None => InitialPlacement::LowestCount,
        };
        settings.validate().map_err(|(key, reason)| ("affinity", key, reason))?;
        let store = self.store.as_ref().map(StoreTable::to_config).transpose()?;
        let owner = match self.owner {
            Some(OwnerName::Address) => Owner::Address,
            Some(OwnerName::Tenant) | None => Owner::Tenant,
        };
        let mut key_settings =
            AffinityKeySettings { parts, owner, prefixes, ..AffinityKeySettings::default() };
        if let Some(name) = &self.answer {
            key_settings.set_response_header(name).map_err(error("answer"))?;
        }
        Ok(AffinityConfig {
            key_settings,
            classes: self.classes.clone(),
            owner_is_set: self.owner.is_some(),
            slack,
            settings,
            store,
        })
    }

    /// Returns the first class of `classes` that does not exist, if there is one.
    pub fn unknown_class(&self, is_class: impl Fn(&str) -> bool) -> Option<&String> {
        self.classes.iter().find(|name| !is_class(name))
    }
}

impl StoreTable {
    /// Validates the table.
    fn to_config(&self) -> Result<StoreConfig, ConfigError> {
        let mut settings = spurdrum_store::Settings::default();
        set_time(&mut settings.write_interval, self.write_every_ms);
        set(&mut settings.write_time_share, self.share);
        set_time(&mut settings.batch_time_target, self.aim_ms);
        set(&mut settings.max_batch_rows, self.batch);
        set_time(&mut settings.min_retry_delay, self.retry_least_ms);
        set_time(&mut settings.max_retry_delay, self.retry_most_ms);
        set_time(&mut settings.max_flush_time, self.flush_most_ms);
        settings.validate().map_err(|(key, reason)| ("affinity.store", key, reason))?;
        Ok(StoreConfig { path: self.path.clone(), trial: self.trial.clone(), settings })
    }
}

impl AffinityConfig {
    /// Returns how keys are derived from the requests of a node with these classes and tenants. The error
    /// names a class that does not exist.
    pub fn key_settings(&self, names: &spurdrum_http::ConfigNames) -> Result<AffinityKeySettings, String> {
        let class_index = |name: &String| {
            let index = names.classes.iter().position(|class| class == name);
            index.ok_or_else(|| format!("`affinity.classes`: there is no class `{name}`"))
        };
        let classes = self.classes.iter().map(class_index).collect::<Result<_, _>>()?;
        // Without tenants, all entries would have the same owner, and so no client could be limited to its
        // share of the table.
        let by_address = !self.owner_is_set && names.tenants.is_empty();
        let owner = if by_address { Owner::Address } else { self.key_settings.owner };
        Ok(AffinityKeySettings {
            classes,
            owner,
            tenants: names.tenants.clone(),
            ..self.key_settings.clone()
        })
    }

    /// Creates the table of bindings, for servers with this slow-start time.
    pub fn start(&self, now: f64, slow_start_ms: f64) -> Result<Rc<RefCell<Affinity>>, String> {
        let settings = Settings { slow_start_ms, ..self.settings.clone() };
        let affinity =
            Affinity::new(settings, now).map_err(|(key, reason)| format!("`affinity.{key}`: {reason}"))?;
        Ok(Rc::new(RefCell::new(affinity)))
    }

    /// Returns the key hasher with the secret by which keys are hashed: the secret in the store's own file,
    /// or a new random one if nothing is stored.
    pub fn key_hasher(&self) -> Result<KeyHasher, String> {
        let Some(StoreConfig { path, .. }) = &self.store else { return random_secret().map(KeyHasher::new) };
        let mut secret_path = path.as_os_str().to_owned();
        secret_path.push(".secret");
        read_or_create_secret(Path::new(&secret_path)).map(KeyHasher::new).map_err(|error| {
            format!(
                "`affinity.store.path`: {} cannot be read or created: {error}",
                Path::new(&secret_path).display()
            )
        })
    }

    /// Returns the settings of the store, if bindings are stored.
    pub fn store(&self) -> Option<&StoreConfig> {
        self.store.as_ref()
    }
}

fn random_secret() -> Result<[u8; 16], String> {
    let mut secret = [0; 16];
    let mut read = || std::fs::File::open("/dev/urandom")?.read_exact(&mut secret);
    read().map_err(|error| format!("`affinity`: no random numbers: {error}"))?;
    Ok(secret)
}

/// Reads the secret from a file, or creates the file with a random one if it does not exist. The file appears
/// under its name only once it is complete, and an existing file is not replaced, so two nodes that start at
/// the same time use the same secret.
fn read_or_create_secret(path: &Path) -> std::io::Result<[u8; 16]> {
    use std::os::unix::fs::OpenOptionsExt;
    let read = || {
        let bytes = std::fs::read(path)?;
        <[u8; 16]>::try_from(bytes)
            .map_err(|_| std::io::Error::new(ErrorKind::InvalidData, "it does not hold 16 bytes"))
    };
    match read() {
        Err(error) if error.kind() == ErrorKind::NotFound => {}
        result => return result,
    }
    let temporary = path.with_extension(format!("new-{}", std::process::id()));
    let mut file =
        std::fs::OpenOptions::new().write(true).create(true).truncate(true).mode(0o600).open(&temporary)?;
    file.write_all(&random_secret().map_err(std::io::Error::other)?)?;
    file.sync_all()?;
    // Fails if another process has created the file meanwhile; its secret is used then.
    let linked = std::fs::hard_link(&temporary, path);
    std::fs::remove_file(&temporary)?;
    match linked {
        Err(error) if error.kind() != ErrorKind::AlreadyExists => Err(error),
        _ => read(),
    }
}

/// Converts between bindings and the rows of the store.
pub struct BindingRows {
    affinity: Rc<RefCell<Affinity>>,
    now: Box<dyn Fn() -> f64>,
}

impl StoreWriter for BindingRows {
    const TABLES: &'static [&'static str] = &[RUNS_TABLE, BINDINGS_TABLE];

    fn unwritten(&self) -> usize {
        self.affinity.borrow().unwritten()
    }

    fn take_rows(&mut self, max_rows: usize) -> Vec<Row> {
        let writes = self.affinity.borrow_mut().take_writes(max_rows);
        let row = |write: PendingWrite| {
            let (table, key, value) = write.to_row();
            Row { table, key, value }
        };
        let mut rows: Vec<Row> = writes.into_iter().map(row).collect();
        // Sorted by table; within a table the rows keep their order.
        rows.sort_by_key(|row| row.table != RUNS_TABLE);
        rows
    }

    fn requeue_rows(&mut self, rows: Vec<Row>) {
        let write = |row: Row| match row.table {
            RUNS_TABLE => {
                Some(PendingWrite::Run(row.key, row.value.as_deref().and_then(record::run_from_bytes)))
            }
            _ => u32::try_from(row.key).ok().map(|index| PendingWrite::Slot(index, None)),
        };
        self.affinity.borrow_mut().requeue_writes(rows.into_iter().filter_map(write).collect());
    }

    fn restore_rows(&mut self, table: &'static str, rows: Vec<(u64, Vec<u8>)>) {
        let now = (self.now)();
        let mut affinity = self.affinity.borrow_mut();
        for (key, value) in rows {
            if table == RUNS_TABLE {
                match record::run_from_bytes(&value) {
                    Some((id, started_at)) => drop(affinity.restore_run(now, key, &id, started_at)),
                    None => affinity.requeue_writes(vec![PendingWrite::Run(key, None)]),
                }
            } else if let Ok(index) = u32::try_from(key) {
                match StoredBinding::from_bytes(&value) {
                    Some(stored) => affinity.restore_binding(now, index, &stored),
                    None => affinity.requeue_writes(vec![PendingWrite::Slot(index, None)]),
                }
            }
        }
    }

    fn queue_rewrite(&mut self) {
        self.affinity.borrow_mut().queue_rewrite();
    }

    fn log_warning(&self, warning: &str) {
        tracing::warn!("the bindings' store: {warning}");
    }
}

/// Removes expired bindings for as long as the node runs.
pub async fn run_timer(affinity: Rc<RefCell<Affinity>>, now: impl Fn() -> f64) {
    loop {
        affinity.borrow_mut().tick(now());
        let due = affinity.borrow().next_wake().is_some_and(|wake| wake <= now());
        sleep(if due { BUSY_TICK_INTERVAL } else { TICK_INTERVAL }).await;
    }
}

/// Stores bindings in their file until `stop` completes.
pub async fn store_bindings(
    store: StoreConfig,
    key_hasher: KeyHasher,
    affinity: Rc<RefCell<Affinity>>,
    status: Rc<RefCell<spurdrum_store::Status>>,
    now: impl Fn() -> f64 + 'static,
    stop: impl Future<Output = ()>,
) {
    let file_identity =
        FileIdentity { format: record::FORMAT_VERSION, fingerprint: key_hasher.fingerprint() };
    let StoreConfig { path, trial, settings } = store;
    let rows = Rc::new(RefCell::new(BindingRows { affinity, now: Box::new(now) }));
    // Nodes that start at the same time must not write at the same time: the seed differs between processes.
    let mut random = fastrand::Rng::with_seed(u64::from(std::process::id()));
    let random_fraction = move || random.f64();
    let open = move || match &trial {
        None => StoreFile::open(&path, file_identity),
        Some(faults) => StoreFile::open_with_faults(&path, file_identity, faults),
    };
    if let Err(error) = spurdrum_store::run_store(open, settings, rows, status, random_fraction, stop).await {
        tracing::warn!("the bindings' store: cannot start its thread: {error}");
    }
}
