//! Tables `[sources.registry]` and `[sources.merge]` of the settings file: a registry that the node follows,
//! and how its servers and those of other sources are merged into one list.

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

/// An invalid setting: the table, the key, and the reason.
type ConfigError = (&'static str, &'static str, &'static str);

const REGISTRY: &str = "sources.registry";

/// The settings for following a registry.
pub struct RegistryConfig {
    /// The kind of registry and its address.
    pub backend: RegistryBackend,
    /// The file with the user's password (etcd) or the token (Consul).
    secret_file: Option<PathBuf>,
    /// The files for TLS, if it is on.
    tls_files: Option<TlsFiles>,
    /// The node's own registration, if it registers itself.
    pub register: Option<RegistrationConfig>,
    /// The settings of the follower.
    pub follower_settings: follower::Settings,
    /// The mapping of keys and values to servers.
    pub schema: CompiledSchema,
    /// The settings for merging its servers with those of other sources.
    pub merge_settings: reconciler::Settings,
}

/// The files for TLS.
struct TlsFiles {
    /// The certificate of the authority that signed the registry's certificate.
    ca: PathBuf,
    /// The node's own certificate and its key.
    identity: Option<(PathBuf, PathBuf)>,
}

/// The registration of a node in a registry.
pub struct RegistrationConfig {
    /// The node's key in the registry.
    pub key: String,
    /// The key's value while the node serves, and while it shuts down.
    pub values: [String; 2],
    /// The lease's time to live and the time for draining.
    pub settings: registrar::Settings,
}

/// A node's settings about itself.
pub struct NodeInfo<'f> {
    /// The node's name.
    pub name: &'f str,
    /// The address on which the node listens for clients.
    pub listen: SocketAddr,
    /// The node's zone.
    pub zone: &'f str,
    /// The number of nodes.
    pub nodes: usize,
    /// The node's index among them.
    pub node_index: usize,
}

/// A registry's kind and how to reach it.
pub enum RegistryBackend {
    /// etcd v3.
    Etcd(Cluster),
    /// The health endpoint of Consul for one service.
    Consul(Service),
}

/// The kind of a registry, which determines its protocol.
#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Kind {
    #[default]
    Etcd,
    Consul,
}

/// Table `[sources.registry]`. Times are in milliseconds. [`RegistryTable::to_config`] maps the keys to
/// [`follower::Settings`] and [`Schema`], where they are explained.
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
    /// Validates the table for a registry with this many endpoints.
    fn to_config(&self, node: &NodeInfo, endpoints: usize) -> Result<RegistrationConfig, ConfigError> {
        const TABLE: &str = "sources.registry.register";
        let mut settings = registrar::Settings { endpoints, ..Default::default() };
        set_time(&mut settings.ttl, self.ttl_ms);
        set_time(&mut settings.drain, self.drain_ms);
        settings.validate().map_err(|(key, reason)| (TABLE, key, reason))?;
        let address = self.address.unwrap_or(node.listen);
        if address.ip().is_unspecified() || address.port() == 0 {
            return Err((TABLE, "address", "is none that others could use"));
        }
        let value = |phase| {
            serde_json::json!({"address": address.to_string(), "zone": node.zone, "phase": phase}).to_string()
        };
        let key = self.key.clone().unwrap_or_else(|| format!("/spurdrum/nodes/{}", node.name));
        Ok(RegistrationConfig { key, values: [value("active"), value("leaving")], settings })
    }
}

/// Table `[sources.merge]`. Times are in milliseconds. [`MergeTable::to_settings`] maps the keys to
/// [`reconciler::Settings`], where they are explained.
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
    /// Validates the table, together with `[sources.merge]`, for this node.
    pub fn to_config(
        &self,
        merge: Option<&MergeTable>,
        node: &NodeInfo,
    ) -> Result<RegistryConfig, ConfigError> {
        let registry_error = |(key, reason)| (REGISTRY, key, reason);
        let mut schema = match self.kind {
            Kind::Etcd => Schema::default(),
            Kind::Consul => Schema::consul(),
        };
        if let Some(key) = &self.key {
            schema.key.clone_from(key);
        }
        schema.fields.extend(self.fields.clone().unwrap_or_default());
        schema.value = self.value.unwrap_or_default();
        let schema = schema.compile().map_err(registry_error)?;
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
        let mut follower_settings = follower::Settings {
            nodes: node.nodes,
            node_index: node.node_index,
            allow_stale: self.stale,
            ..Default::default()
        };
        follower_settings.endpoints = self.endpoints.len();
        if !is_etcd {
            follower_settings.interface = follower::Interface::BlockingQueries;
        }
        set_time(&mut follower_settings.min_wait, self.wait_least_ms);
        set_time(&mut follower_settings.max_wait, self.wait_most_ms);
        set(&mut follower_settings.page_size, self.page);
        set(&mut follower_settings.max_keys, self.keys);
        set(&mut follower_settings.max_value_bytes, self.value_bytes);
        set(&mut follower_settings.max_change_bytes, self.change_bytes);
        set_time(&mut follower_settings.probe_interval, self.probe_ms);
        set(&mut follower_settings.probes_per_s, self.probes_per_s);
        set_time(&mut follower_settings.overdue_after, self.patience_ms);
        set_time(&mut follower_settings.silence_timeout, self.give_up_ms);
        set_time(&mut follower_settings.revision_check_interval, self.confirm_ms);
        set_time(&mut follower_settings.max_lag, self.lag_ms);
        set_time(&mut follower_settings.stale_after, self.blind_after_ms);
        set_time(&mut follower_settings.min_retry_delay, self.retry_least_ms);
        set_time(&mut follower_settings.max_retry_delay, self.retry_most_ms);
        set_time(&mut follower_settings.spread_per_node, self.spread_ms);
        follower_settings.validate().map_err(registry_error)?;
        let tls = tls_files.as_ref().map(|_| Tls { server_name: self.server_name.clone(), ..Tls::default() });
        let backend = match &self.service {
            None => {
                let cluster = Cluster {
                    endpoints: self.endpoints.clone(),
                    prefix: schema.prefix().as_bytes().to_vec(),
                    credentials: self.user.clone().map(|user| (user, String::new())),
                    tls,
                };
                cluster.validate().map_err(registry_error)?;
                RegistryBackend::Etcd(cluster)
            }
            Some(name) => {
                let is_name_char = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
                if name.is_empty() || !name.chars().all(is_name_char) {
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
                RegistryBackend::Consul(Service { endpoints, name: name.clone(), token: None, tls })
            }
        };
        let merge_settings = merge.map(MergeTable::to_settings).unwrap_or_default();
        merge_settings.validate().map_err(|(key, reason)| ("sources.merge", key, reason))?;
        let secret_file = self.password_file.clone().or_else(|| self.token_file.clone());
        let register = self.register.as_ref().map(|table| table.to_config(node, self.endpoints.len()));
        let register = register.transpose()?;
        Ok(RegistryConfig {
            backend,
            register,
            secret_file,
            tls_files,
            follower_settings,
            schema,
            merge_settings,
        })
    }
}

impl MergeTable {
    /// Returns the reconciler's settings; absent keys keep their defaults.
    fn to_settings(&self) -> reconciler::Settings {
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

impl RegistryConfig {
    /// Reads the settings that are in files of their own: the password or token, certificates and keys.
    pub fn read_files(&mut self) -> Result<(), String> {
        let read = |key: &str, path: &PathBuf| {
            std::fs::read(path)
                .map_err(|error| format!("`{REGISTRY}.{key}`: {} cannot be read: {error}", path.display()))
        };
        let tls = match &mut self.backend {
            RegistryBackend::Etcd(cluster) => &mut cluster.tls,
            RegistryBackend::Consul(service) => &mut service.tls,
        };
        if let (Some(files), Some(tls)) = (&self.tls_files, tls) {
            tls.ca = read("ca_file", &files.ca)?;
            if let Some((cert, key)) = &files.identity {
                tls.identity = Some((read("cert_file", cert)?, read("key_file", key)?));
            }
        }
        let Some(path) = &self.secret_file else { return Ok(()) };
        let key =
            if matches!(self.backend, RegistryBackend::Etcd(_)) { "password_file" } else { "token_file" };
        let text =
            String::from_utf8(read(key, path)?).map_err(|_| format!("`{REGISTRY}.{key}`: is no text"))?;
        let secret = text.trim_end_matches(['\r', '\n']).to_owned();
        match &mut self.backend {
            RegistryBackend::Etcd(cluster) => {
                if let Some((_, password)) = &mut cluster.credentials {
                    *password = secret;
                }
            }
            RegistryBackend::Consul(service) => service.token = Some(secret),
        }
        Ok(())
    }
}
