//! Tables `[sources.registry]` and `[sources.merge]`: a registry that is followed by watches, and how its servers and those
//! of other sources become one list.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Deserialize;
use spurdrum_sources::reconciler::{self, Combine};
use spurdrum_sources::registry::consul::Service;
use spurdrum_sources::registry::etcd::Cluster;
use spurdrum_sources::registry::schema::{CompiledSchema, Schema, ValueFormat};
use spurdrum_sources::registry::tls::Tls;
use spurdrum_sources::registry::{follower, registrar};

use crate::set::{set, set_time};

/// What makes no sense: the table, the key, and why.
type Wrong = (&'static str, &'static str, &'static str);

const REGISTRY: &str = "sources.registry";

/// Everything that following a registry takes.
pub struct Registry {
    /// Where it is, and what it speaks.
    pub place: Place,
    /// Where the user's password, or the token, is.
    secret_file: Option<PathBuf>,
    /// Where what TLS needs is: the authority, and the node's certificate with its key.
    tls_files: Option<TlsFiles>,
    /// How the node registers itself there, where it does.
    pub register: Option<Register>,
    /// How it is followed.
    pub following: follower::Settings,
    /// How keys and values map to servers.
    pub schema: CompiledSchema,
    /// How its servers and those of other sources are made into one list.
    pub merging: reconciler::Settings,
}

struct TlsFiles {
    ca: PathBuf,
    identity: Option<(PathBuf, PathBuf)>,
}

/// How a node registers itself.
pub struct Register {
    /// Its key.
    pub key: String,
    /// Its value while it serves, and once it is to end.
    pub values: [String; 2],
    /// When, and for how long.
    pub settings: registrar::Settings,
}

/// What a node is told of itself.
pub struct Myself<'f> {
    /// Its name.
    pub name: &'f str,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where it is.
    pub zone: &'f str,
    /// Nodes, and its number among them.
    pub nodes: usize,
    /// See `nodes`.
    pub me: usize,
}

/// Where a registry is, and what it speaks.
pub enum Place {
    /// etcd v3.
    Etcd(Cluster),
    /// Consul's health of a service.
    Consul(Service),
}

/// What a registry speaks.
#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Kind {
    #[default]
    Etcd,
    Consul,
}

/// Table `[sources.registry]`. Times are in milliseconds.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RegistryTable {
    kind: Kind,
    service: Option<String>,
    token_file: Option<PathBuf>,
    ca_file: Option<PathBuf>,
    cert_file: Option<PathBuf>,
    key_file: Option<PathBuf>,
    server_name: Option<String>,
    wait_least_ms: Option<u64>,
    wait_most_ms: Option<u64>,
    endpoints: Vec<String>,
    user: Option<String>,
    password_file: Option<PathBuf>,
    key: Option<String>,
    value: Option<ValueFormat>,
    fields: Option<std::collections::BTreeMap<String, String>>,
    stale: bool,
    page: Option<u32>,
    keys: Option<usize>,
    value_bytes: Option<usize>,
    change_bytes: Option<usize>,
    probe_ms: Option<u64>,
    probes_per_s: Option<f64>,
    patience_ms: Option<u64>,
    give_up_ms: Option<u64>,
    confirm_ms: Option<u64>,
    lag_ms: Option<u64>,
    blind_after_ms: Option<u64>,
    retry_least_ms: Option<u64>,
    retry_most_ms: Option<u64>,
    spread_ms: Option<u64>,
    register: Option<RegisterTable>,
}

/// Table `[sources.registry.register]`. Times are in milliseconds.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RegisterTable {
    key: Option<String>,
    address: Option<SocketAddr>,
    ttl_ms: Option<u64>,
    drain_ms: Option<u64>,
}

impl RegisterTable {
    fn read(&self, me: &Myself, endpoints: usize) -> Result<Register, Wrong> {
        const TABLE: &str = "sources.registry.register";
        let mut settings = registrar::Settings { endpoints, ..Default::default() };
        set_time(&mut settings.ttl, self.ttl_ms);
        set_time(&mut settings.drain, self.drain_ms);
        settings.validate().map_err(|(key, why)| (TABLE, key, why))?;
        let address = self.address.unwrap_or(me.listen);
        if address.ip().is_unspecified() || address.port() == 0 {
            return Err((TABLE, "address", "is none that others could use"));
        }
        let value = |phase| {
            serde_json::json!({"address": address.to_string(), "zone": me.zone, "phase": phase}).to_string()
        };
        let key = self.key.clone().unwrap_or_else(|| format!("/spurdrum/nodes/{}", me.name));
        Ok(Register { key, values: [value("active"), value("leaving")], settings })
    }
}

/// Table `[sources.merge]`. Times are in milliseconds.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MergeTable {
    combine: Option<Combine>,
    floor: Option<f64>,
    suspect_for_ms: Option<u64>,
    linger_ms: Option<u64>,
    flaps: Option<u32>,
    flap_window_ms: Option<u64>,
    hold_least_ms: Option<u64>,
    hold_most_ms: Option<u64>,
    keep_ms: Option<u64>,
    shared_addresses: Option<bool>,
}

impl RegistryTable {
    /// What it says, for one of so many nodes.
    pub fn read(&self, merge: Option<&MergeTable>, me: &Myself) -> Result<Registry, Wrong> {
        let of = |(key, why)| (REGISTRY, key, why);
        let mut schema = match self.kind {
            Kind::Etcd => Schema::default(),
            Kind::Consul => Schema::consul(),
        };
        if let Some(key) = &self.key {
            schema.key.clone_from(key);
        }
        schema.fields.extend(self.fields.clone().unwrap_or_default());
        schema.value = self.value.unwrap_or_default();
        let schema = schema.compile().map_err(of)?;
        let is_etcd = matches!(self.kind, Kind::Etcd);
        if is_etcd && schema.prefix().is_empty() {
            return Err((REGISTRY, "key", "begins with a part: the whole registry would be read"));
        }
        if self.user.is_some() != self.password_file.is_some() {
            return Err((REGISTRY, "user", "goes with `password_file`"));
        }
        match (is_etcd, &self.service) {
            (true, Some(_)) => return Err((REGISTRY, "service", "is Consul's; etcd has `key`")),
            (true, None) if self.token_file.is_some() => {
                return Err((REGISTRY, "token_file", "is Consul's; etcd has `user` and `password_file`"));
            }
            (false, _) if self.register.is_some() => {
                return Err((
                    REGISTRY,
                    "register",
                    "is etcd's: an agent of Consul registers what runs beside it",
                ));
            }
            (false, _) if self.user.is_some() => {
                return Err((REGISTRY, "user", "is etcd's; Consul has `token_file`"));
            }
            (false, None) => return Err((REGISTRY, "service", "is missing")),
            _ => {}
        }
        let tls_files = match (&self.ca_file, &self.cert_file, &self.key_file) {
            (Some(ca), None, None) => Some(TlsFiles { ca: ca.clone(), identity: None }),
            (Some(ca), Some(cert), Some(key)) => {
                Some(TlsFiles { ca: ca.clone(), identity: Some((cert.clone(), key.clone())) })
            }
            (None, None, None) if self.server_name.is_none() => None,
            _ => {
                return Err((REGISTRY, "ca_file", "goes with `server_name`, and `cert_file` with `key_file`"))
            }
        };
        let mut following = follower::Settings {
            nodes: me.nodes,
            node_index: me.me,
            allow_stale: self.stale,
            ..Default::default()
        };
        following.endpoints = self.endpoints.len();
        if !is_etcd {
            following.interface = follower::Interface::BlockingQueries;
        }
        set_time(&mut following.min_wait, self.wait_least_ms);
        set_time(&mut following.max_wait, self.wait_most_ms);
        set(&mut following.page_size, self.page);
        set(&mut following.max_keys, self.keys);
        set(&mut following.max_value_bytes, self.value_bytes);
        set(&mut following.max_change_bytes, self.change_bytes);
        set_time(&mut following.probe_interval, self.probe_ms);
        set(&mut following.probes_per_s, self.probes_per_s);
        set_time(&mut following.overdue_after, self.patience_ms);
        set_time(&mut following.silence_timeout, self.give_up_ms);
        set_time(&mut following.revision_check_interval, self.confirm_ms);
        set_time(&mut following.max_lag, self.lag_ms);
        set_time(&mut following.stale_after, self.blind_after_ms);
        set_time(&mut following.min_retry_delay, self.retry_least_ms);
        set_time(&mut following.max_retry_delay, self.retry_most_ms);
        set_time(&mut following.spread_per_node, self.spread_ms);
        following.validate().map_err(of)?;
        let tls = tls_files.as_ref().map(|_| Tls { server_name: self.server_name.clone(), ..Tls::default() });
        let place = match &self.service {
            None => {
                let cluster = Cluster {
                    endpoints: self.endpoints.clone(),
                    prefix: schema.prefix().as_bytes().to_vec(),
                    credentials: self.user.clone().map(|user| (user, String::new())),
                    tls,
                };
                cluster.validate().map_err(of)?;
                Place::Etcd(cluster)
            }
            Some(name) => {
                let sound = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
                if name.is_empty() || !name.chars().all(sound) {
                    return Err((REGISTRY, "service", "has a letter that no name of a service has"));
                }
                let scheme = if tls.is_some() { "https://" } else { "http://" };
                let address = |uri: &String| uri.strip_prefix(scheme)?.parse().ok();
                let endpoints: Option<Vec<SocketAddr>> = self.endpoints.iter().map(address).collect();
                let endpoints = endpoints.ok_or((
                    REGISTRY,
                    "endpoints",
                    "has one that is not http://address:port, or https:// with `ca_file`",
                ))?;
                Place::Consul(Service { endpoints, name: name.clone(), token: None, tls })
            }
        };
        let merging = merge.map(MergeTable::read).unwrap_or_default();
        merging.validate().map_err(|(key, why)| ("sources.merge", key, why))?;
        let secret_file = self.password_file.clone().or_else(|| self.token_file.clone());
        let register = self.register.as_ref().map(|table| table.read(me, self.endpoints.len()));
        let register = register.transpose()?;
        Ok(Registry { place, register, secret_file, tls_files, following, schema, merging })
    }
}

impl MergeTable {
    fn read(&self) -> reconciler::Settings {
        let mut settings = reconciler::Settings::default();
        set(&mut settings.combine, self.combine);
        set(&mut settings.suspect_below, self.floor);
        set_time(&mut settings.suspect_for, self.suspect_for_ms);
        set_time(&mut settings.retain_for, self.linger_ms);
        set(&mut settings.max_flaps, self.flaps);
        set_time(&mut settings.flap_window, self.flap_window_ms);
        set_time(&mut settings.min_hold, self.hold_least_ms);
        set_time(&mut settings.max_hold, self.hold_most_ms);
        set_time(&mut settings.keep_stale_for, self.keep_ms);
        set(&mut settings.shared_addresses, self.shared_addresses);
        settings
    }
}

impl Registry {
    /// Reads what stands in files of its own: password or token, certificates and keys.
    pub fn read_files(&mut self) -> Result<(), String> {
        let read = |key: &str, path: &PathBuf| {
            std::fs::read(path)
                .map_err(|error| format!("`{REGISTRY}.{key}`: {} cannot be read: {error}", path.display()))
        };
        let tls = match &mut self.place {
            Place::Etcd(cluster) => &mut cluster.tls,
            Place::Consul(service) => &mut service.tls,
        };
        if let (Some(files), Some(tls)) = (&self.tls_files, tls) {
            tls.ca = read("ca_file", &files.ca)?;
            if let Some((cert, key)) = &files.identity {
                tls.identity = Some((read("cert_file", cert)?, read("key_file", key)?));
            }
        }
        let Some(path) = &self.secret_file else { return Ok(()) };
        let key = if matches!(self.place, Place::Etcd(_)) { "password_file" } else { "token_file" };
        let text =
            String::from_utf8(read(key, path)?).map_err(|_| format!("`{REGISTRY}.{key}`: is no text"))?;
        let secret = text.trim_end_matches(['\r', '\n']).to_owned();
        match &mut self.place {
            Place::Etcd(cluster) => {
                if let Some((_, password)) = &mut cluster.credentials {
                    *password = secret;
                }
            }
            Place::Consul(service) => service.token = Some(secret),
        }
        Ok(())
    }
}
