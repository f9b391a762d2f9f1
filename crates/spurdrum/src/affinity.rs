//! Bindings of keys to servers: what the file says of them, and how they outlive the node.

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

/// How often bindings are looked at, where nobody asks for any.
const LOOK: Duration = Duration::from_secs(1);
/// While more of them are over than one look clears.
const AGAIN: Duration = Duration::from_millis(1);

/// Table `[affinity]`. Times are in milliseconds.
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

/// Table `[affinity.store]`. Times are in milliseconds.
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

/// What is wrong: the table, the key, and why.
type Wrong = (&'static str, &'static str, &'static str);

/// All that the file says of it.
pub struct Bindings {
    /// How keys are made; the classes by name.
    making: AffinityKeySettings,
    classes: Vec<String>,
    /// Whether the file names who places are counted to.
    owner_named: bool,
    /// How far a preference goes before counts.
    pub slack: f64,
    settings: Settings,
    /// Where they are kept, if they are.
    store: Option<Stores>,
}

/// Where bindings are kept.
#[derive(Clone)]
pub struct Stores {
    path: PathBuf,
    /// What tells how the disk fails, in trials.
    trial: Option<PathBuf>,
    settings: spurdrum_store::Settings,
}

impl AffinityTable {
    /// What the table says.
    pub fn read(&self) -> Result<Bindings, Wrong> {
        let wrong = |key| move |why| ("affinity", key, why);
        let parts: Result<Vec<_>, _> =
            self.key.iter().map(|part| part.parse().map_err(wrong("key"))).collect();
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
        settings.validate().map_err(|(key, why)| ("affinity", key, why))?;
        let store = self.store.as_ref().map(StoreTable::read).transpose()?;
        let owner = match self.owner {
            Some(OwnerName::Address) => Owner::Address,
            Some(OwnerName::Tenant) | None => Owner::Tenant,
        };
        let mut making = AffinityKeySettings { parts, owner, prefixes, ..AffinityKeySettings::default() };
        if let Some(name) = &self.answer {
            making.set_response_header(name).map_err(wrong("answer"))?;
        }
        Ok(Bindings {
            making,
            classes: self.classes.clone(),
            owner_named: self.owner.is_some(),
            slack,
            settings,
            store,
        })
    }

    /// A class that is named and that there is not.
    pub fn unknown_class(&self, is_class: impl Fn(&str) -> bool) -> Option<&String> {
        self.classes.iter().find(|name| !is_class(name))
    }
}

impl StoreTable {
    fn read(&self) -> Result<Stores, Wrong> {
        let mut settings = spurdrum_store::Settings::default();
        set_time(&mut settings.write_interval, self.write_every_ms);
        set(&mut settings.write_time_share, self.share);
        set_time(&mut settings.batch_time_target, self.aim_ms);
        set(&mut settings.max_batch_rows, self.batch);
        set_time(&mut settings.min_retry_delay, self.retry_least_ms);
        set_time(&mut settings.max_retry_delay, self.retry_most_ms);
        set_time(&mut settings.max_flush_time, self.flush_most_ms);
        settings.validate().map_err(|(key, why)| ("affinity.store", key, why))?;
        Ok(Stores { path: self.path.clone(), trial: self.trial.clone(), settings })
    }
}

impl Bindings {
    /// How keys are made of the requests of a node with these classes and tenants. The error names the class that there is not.
    pub fn making(&self, names: &spurdrum_http::ConfigNames) -> Result<AffinityKeySettings, String> {
        let class = |name: &String| {
            let at = names.classes.iter().position(|class| class == name);
            at.ok_or_else(|| format!("`affinity.classes`: there is no class `{name}`"))
        };
        let classes = self.classes.iter().map(class).collect::<Result<_, _>>()?;
        // Without tenants all would be one owner, and nobody held back.
        let by_address = !self.owner_named && names.tenants.is_empty();
        let owner = if by_address { Owner::Address } else { self.making.owner };
        Ok(AffinityKeySettings { classes, owner, tenants: names.tenants.clone(), ..self.making.clone() })
    }

    /// The bindings of a node whose servers are cold for so long.
    pub fn start(&self, now: f64, slow_start_ms: f64) -> Result<Rc<RefCell<Affinity>>, String> {
        let settings = Settings { slow_start_ms, ..self.settings.clone() };
        let affinity =
            Affinity::new(settings, now).map_err(|(key, why)| format!("`affinity.{key}`: {why}"))?;
        Ok(Rc::new(RefCell::new(affinity)))
    }

    /// The secret by which keys are hashed: of the store's own file, or drawn anew where nothing is kept.
    pub fn keyer(&self) -> Result<KeyHasher, String> {
        let Some(Stores { path, .. }) = &self.store else { return random_secret().map(KeyHasher::new) };
        let mut name = path.as_os_str().to_owned();
        name.push(".secret");
        secret(Path::new(&name)).map(KeyHasher::new).map_err(|error| {
            format!("`affinity.store.path`: {} cannot be had: {error}", Path::new(&name).display())
        })
    }

    /// Where they are kept, if they are.
    pub fn store(&self) -> Option<&Stores> {
        self.store.as_ref()
    }
}

fn random_secret() -> Result<[u8; 16], String> {
    let mut secret = [0; 16];
    let mut read = || std::fs::File::open("/dev/urandom")?.read_exact(&mut secret);
    read().map_err(|error| format!("`affinity`: no random numbers: {error}"))?;
    Ok(secret)
}

/// The secret of a file, which is made where there is none. Whoever makes it does so whole: two nodes that start together
/// have one secret.
fn secret(path: &Path) -> std::io::Result<[u8; 16]> {
    use std::os::unix::fs::OpenOptionsExt;
    let read = || {
        let bytes = std::fs::read(path)?;
        <[u8; 16]>::try_from(bytes)
            .map_err(|_| std::io::Error::new(ErrorKind::InvalidData, "it does not hold 16 bytes"))
    };
    match read() {
        Err(error) if error.kind() == ErrorKind::NotFound => {}
        done => return done,
    }
    let new = path.with_extension(format!("new-{}", std::process::id()));
    let mut file =
        std::fs::OpenOptions::new().write(true).create(true).truncate(true).mode(0o600).open(&new)?;
    file.write_all(&random_secret().map_err(std::io::Error::other)?)?;
    file.sync_all()?;
    // It fails where another was first.
    let linked = std::fs::hard_link(&new, path);
    std::fs::remove_file(&new)?;
    match linked {
        Err(error) if error.kind() != ErrorKind::AlreadyExists => Err(error),
        _ => read(),
    }
}

/// Bindings as rows of a file.
pub struct Kept {
    affinity: Rc<RefCell<Affinity>>,
    now: Box<dyn Fn() -> f64>,
}

impl StoreWriter for Kept {
    const TABLES: &'static [&'static str] = &[RUNS_TABLE, BINDINGS_TABLE];

    fn unwritten(&self) -> usize {
        self.affinity.borrow().unwritten()
    }

    fn take_rows(&mut self, most: usize) -> Vec<Row> {
        let writes = self.affinity.borrow_mut().take_writes(most);
        let row = |write: PendingWrite| {
            let (table, key, value) = write.to_row();
            Row { table, key, value }
        };
        let mut rows: Vec<Row> = writes.into_iter().map(row).collect();
        // One table after the other, and within each as they came.
        rows.sort_by_key(|row| row.table != RUNS_TABLE);
        rows
    }

    fn requeue_rows(&mut self, rows: Vec<Row>) {
        let write = |row: Row| match row.table {
            RUNS_TABLE => {
                Some(PendingWrite::Run(row.key, row.value.as_deref().and_then(record::run_from_bytes)))
            }
            _ => u32::try_from(row.key).ok().map(|at| PendingWrite::Slot(at, None)),
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
            } else if let Ok(at) = u32::try_from(key) {
                match StoredBinding::from_bytes(&value) {
                    Some(stored) => affinity.restore_binding(now, at, &stored),
                    None => affinity.requeue_writes(vec![PendingWrite::Slot(at, None)]),
                }
            }
        }
    }

    fn queue_rewrite(&mut self) {
        self.affinity.borrow_mut().queue_rewrite();
    }

    fn log_warning(&self, what: &str) {
        tracing::warn!("the bindings' store: {what}");
    }
}

/// Lets bindings age for as long as this is awaited.
pub async fn keep_time(affinity: Rc<RefCell<Affinity>>, now: impl Fn() -> f64) {
    loop {
        affinity.borrow_mut().tick(now());
        let due = affinity.borrow().next_wake().is_some_and(|wake| wake <= now());
        sleep(if due { AGAIN } else { LOOK }).await;
    }
}

/// Keeps bindings in their file until `stop` is done.
pub async fn keep(
    store: Stores,
    keyer: KeyHasher,
    affinity: Rc<RefCell<Affinity>>,
    status: Rc<RefCell<spurdrum_store::Status>>,
    now: impl Fn() -> f64 + 'static,
    stop: impl Future<Output = ()>,
) {
    let about = FileIdentity { format: record::FORMAT_VERSION, fingerprint: keyer.fingerprint() };
    let Stores { path, trial, settings } = store;
    let kept = Rc::new(RefCell::new(Kept { affinity, now: Box::new(now) }));
    // Nodes that start together must not come together: their numbers do not.
    let mut random = fastrand::Rng::with_seed(u64::from(std::process::id()));
    let chance = move || random.f64();
    let open = move || match &trial {
        None => StoreFile::open(&path, about),
        Some(says) => StoreFile::open_with_faults(&path, about, says),
    };
    if let Err(error) = spurdrum_store::run_store(open, settings, kept, status, chance, stop).await {
        tracing::warn!("the bindings' store: there is no thread for it: {error}");
    }
}
