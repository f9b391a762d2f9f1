//! Affinity keys: the parts of a request that identify the other requests with which it should preferably
//! share a server.

use std::net::IpAddr;

use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::Uri;
use ipnet::IpNet;
use spurdrum_affinity::{AffinityKey, KeyHasher};

/// A request with a part longer than this has no key.
const MAX_PART_BYTES: usize = 512;

/// A part of the affinity key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyPart {
    /// The tenant.
    Tenant,
    /// The network of the client.
    Address,
    /// A header field.
    Header(HeaderName),
    /// A query parameter.
    Query(String),
}

impl std::str::FromStr for KeyPart {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.split_once(':') {
            None if text == "tenant" => Ok(Self::Tenant),
            None if text == "address" => Ok(Self::Address),
            Some(("header", name)) => {
                name.parse().map(Self::Header).map_err(|_| "has no valid header name after `header:`")
            }
            Some(("query", name)) if !name.is_empty() => Ok(Self::Query(name.to_owned())),
            _ => Err("is none of `tenant`, `address`, `header:NAME` and `query:NAME`"),
        }
    }
}

/// To whom an entry of the affinity table is charged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Owner {
    /// The tenant.
    #[default]
    Tenant,
    /// The network of the client.
    Address,
}

/// How affinity keys are formed.
#[derive(Clone, Debug)]
pub struct AffinityKeySettings {
    /// The parts of a key. A request that lacks one of them has no key.
    pub parts: Vec<KeyPart>,
    /// The classes whose requests have a key; if empty, all of them.
    pub classes: Vec<usize>,
    /// The response header by which a server assigns keys. It is one of `parts`, and clients send it with
    /// their next requests.
    pub response_header: Option<HeaderName>,
    /// To whom table entries are charged.
    pub owner: Owner,
    /// The lengths of network prefixes for IPv4 and IPv6.
    pub prefixes: [u8; 2],
    /// The names of the tenants, in the order of the settings. Keys are formed from names because a tenant's
    /// index may change between two runs: keys of an earlier run would then pass to another tenant.
    pub tenants: Vec<String>,
}

impl Default for AffinityKeySettings {
    fn default() -> Self {
        let (parts, classes, tenants) = (Vec::new(), Vec::new(), Vec::new());
        Self { parts, classes, response_header: None, owner: Owner::Tenant, prefixes: [24, 56], tenants }
    }
}

impl AffinityKeySettings {
    /// Lets servers assign keys by a response header, which has to be one of the parts of the key.
    ///
    /// # Errors
    ///
    /// Fails if `name` is not a header name, or not a part of the key.
    pub fn set_response_header(&mut self, name: &str) -> Result<(), &'static str> {
        let name: HeaderName = name.parse().map_err(|_| "is not a header name")?;
        if !self.parts.contains(&KeyPart::Header(name.clone())) {
            return Err("is not in `key` as `header:NAME`");
        }
        self.response_header = Some(name);
        Ok(())
    }
}

/// Forms the affinity keys of requests.
#[derive(Clone)]
pub struct AffinityKeys {
    settings: AffinityKeySettings,
    hasher: KeyHasher,
}

/// The owner and the known parts of a key whose missing part the response will provide.
#[derive(Clone)]
pub struct PartialKey {
    owner: u64,
    /// The values in the order of the parts; the one that the response provides is empty.
    values: Vec<Vec<u8>>,
}

impl AffinityKeys {
    /// Creates keys according to `settings`, with the node's secret.
    pub fn new(settings: AffinityKeySettings, hasher: KeyHasher) -> Self {
        Self { settings, hasher }
    }

    /// Returns the header fields from which keys are formed; they are also forwarded to servers.
    pub fn request_headers(&self) -> impl Iterator<Item = &HeaderName> {
        self.settings.parts.iter().filter_map(|part| match part {
            KeyPart::Header(name) => Some(name),
            _ => None,
        })
    }

    /// Returns the response header by which a server assigns keys.
    pub fn response_header(&self) -> Option<&HeaderName> {
        self.settings.response_header.as_ref()
    }

    /// Returns the key of a request, and the known parts of the key that its response may assign.
    pub fn key_of(
        &self,
        (headers, uri): (&HeaderMap, &Uri),
        (class, tenant): (usize, usize),
        peer: IpAddr,
    ) -> (Option<AffinityKey>, Option<PartialKey>) {
        if !self.settings.classes.is_empty() && !self.settings.classes.contains(&class) {
            return (None, None);
        }
        let network = self.network(peer);
        let tenant = self.settings.tenants.get(tenant).map_or(&b""[..], |name| name.as_bytes());
        let owner_id = |name: &[u8]| self.hasher.affinity_key(0, &[name]).hash.0[0];
        let owner = match self.settings.owner {
            Owner::Tenant => owner_id(tenant),
            Owner::Address => network.map_or(0, |net| owner_id(&address_bytes(net.network()))),
        };
        let value = |part: &KeyPart| {
            let value = match part {
                KeyPart::Tenant => Some(tenant.to_vec()),
                KeyPart::Address => network.map(|net| address_bytes(net.network())),
                KeyPart::Header(name) => headers.get(name).map(|value| value.as_bytes().to_vec()),
                KeyPart::Query(name) => query_parameter(uri.query().unwrap_or_default(), name),
            };
            value.filter(|value| !value.is_empty() && value.len() <= MAX_PART_BYTES)
        };
        let values: Vec<Option<Vec<u8>>> = self.settings.parts.iter().map(value).collect();
        let complete: Option<Vec<&[u8]>> = values.iter().map(Option::as_deref).collect();
        let affinity_key =
            complete.filter(|parts| !parts.is_empty()).map(|parts| self.hasher.affinity_key(owner, &parts));
        let is_from_response =
            |part: &KeyPart| matches!(part, KeyPart::Header(name) if Some(name) == self.response_header());
        let known_values = self.settings.parts.iter().zip(values).map(|(part, value)| {
            if is_from_response(part) {
                Some(Vec::new())
            } else {
                value
            }
        });
        let partial_key = self
            .response_header()
            .and_then(|_| known_values.collect())
            .map(|values| PartialKey { owner, values });
        (affinity_key, partial_key)
    }

    /// Returns the key that a response assigns.
    pub fn key_from_response(&self, partial_key: &PartialKey, value: &HeaderValue) -> Option<AffinityKey> {
        let value = Some(value.as_bytes()).filter(|v| !v.is_empty() && v.len() <= MAX_PART_BYTES)?;
        let parts = partial_key.values.iter().map(|part| if part.is_empty() { value } else { part });
        Some(self.hasher.affinity_key(partial_key.owner, &parts.collect::<Vec<_>>()))
    }

    fn network(&self, peer: IpAddr) -> Option<IpNet> {
        let peer = peer.to_canonical();
        let prefix = self.settings.prefixes[usize::from(peer.is_ipv6())];
        IpNet::new(peer, prefix).ok().map(|net| net.trunc())
    }
}

fn address_bytes(address: IpAddr) -> Vec<u8> {
    match address {
        IpAddr::V4(v4) => v4.octets().to_vec(),
        IpAddr::V6(v6) => v6.octets().to_vec(),
    }
}

/// Returns the first value of a query parameter, without decoding it.
fn query_parameter(query: &str, name: &str) -> Option<Vec<u8>> {
    let value_of = |pair: &str| {
        pair.split_once('=')
            .filter(|(pair_name, _)| *pair_name == name)
            .map(|(_, value)| value.as_bytes().to_vec())
    };
    query.split('&').find_map(value_of)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn keys(parts: &[&str], response_header: Option<&str>) -> AffinityKeys {
        let parts = parts.iter().map(|part| part.parse().expect("a part")).collect();
        let response_header = response_header.map(|name| name.parse().expect("a name"));
        let tenants = ["a", "b", "c", "d", "e"].map(str::to_owned).to_vec();
        AffinityKeys::new(
            AffinityKeySettings { parts, response_header, tenants, ..AffinityKeySettings::default() },
            KeyHasher::new([7; 16]),
        )
    }

    fn key_of(
        keys: &AffinityKeys,
        headers: &[(&'static str, &str)],
        uri: &str,
        tenant: usize,
    ) -> (Option<AffinityKey>, Option<PartialKey>) {
        let parse_header = |(name, value): &(&'static str, &str)| {
            (HeaderName::from_static(name), value.parse::<HeaderValue>().expect("a value"))
        };
        let headers: HeaderMap = headers.iter().map(parse_header).collect();
        let peer = "::ffff:10.1.2.3".parse().expect("an address");
        keys.key_of((&headers, &uri.parse().expect("a target")), (0, tenant), peer)
    }

    #[test]
    fn a_request_that_lacks_a_part_has_no_key() {
        let both = keys(&["tenant", "header:x-inn", "query:room"], None);
        let key = |headers: &[_], uri: &str, tenant| key_of(&both, headers, uri, tenant).0;
        let complete = key(&[("x-inn", "a")], "/api?k=1&room=7", 1);
        assert!(complete.is_some());
        assert_eq!(complete, key(&[("x-inn", "a")], "/api?room=7&k=2", 1));
        assert_ne!(complete, key(&[("x-inn", "a")], "/api?room=7", 2));
        assert_ne!(complete, key(&[("x-inn", "b")], "/api?room=7", 1));
        for (header, uri) in [("", "/api?room=7"), ("a", "/api"), ("a", "/api?room="), ("a", "/api?xroom=7")]
        {
            assert_eq!(key(&[("x-inn", header)], uri, 1), None, "{header} {uri}");
        }
        let long = "x".repeat(MAX_PART_BYTES + 1);
        assert_eq!(key(&[("x-inn", &long)], "/api?room=7", 1), None);
    }

    #[test]
    fn a_tenant_keeps_its_keys_when_its_index_changes() {
        let before = keys(&["tenant"], None);
        let tenants = ["new", "a", "b"].map(str::to_owned).to_vec();
        let after =
            AffinityKeys::new(AffinityKeySettings { tenants, ..before.settings.clone() }, before.hasher);
        assert_eq!(key_of(&before, &[], "/api", 1).0, key_of(&after, &[], "/api", 2).0);
        assert_ne!(key_of(&before, &[], "/api", 1).0, key_of(&after, &[], "/api", 1).0);
    }

    #[test]
    fn keys_depend_on_where_one_part_ends_and_the_next_begins() {
        let two = keys(&["header:x-a", "header:x-b"], None);
        let key = |a, b| key_of(&two, &[("x-a", a), ("x-b", b)], "/api", 0).0;
        assert_ne!(key("ab", "c"), key("a", "bc"));
    }

    #[test]
    fn a_key_assigned_by_a_response_is_that_of_requests_that_carry_it() {
        let session = keys(&["tenant", "header:x-session"], Some("x-session"));
        let (no_key, partial) = key_of(&session, &[], "/api", 3);
        let from_response = session.key_from_response(
            &partial.expect("a response may assign a key"),
            &HeaderValue::from_static("s1"),
        );
        assert_eq!(no_key, None);
        assert_eq!(from_response, key_of(&session, &[("x-session", "s1")], "/api", 3).0);
        assert_ne!(from_response, key_of(&session, &[("x-session", "s1")], "/api", 4).0);
    }

    #[test]
    fn clients_of_one_network_share_a_key_and_an_owner() {
        let keys = keys(&["address"], None);
        let keys =
            AffinityKeys::new(AffinityKeySettings { owner: Owner::Address, ..keys.settings }, keys.hasher);
        let key_of = |peer: &str| {
            let peer = peer.parse().expect("an address");
            keys.key_of((&HeaderMap::new(), &Uri::from_static("/api")), (0, 0), peer).0.expect("a key")
        };
        assert_eq!(key_of("10.1.2.3"), key_of("::ffff:10.1.2.99"));
        assert_ne!(key_of("10.1.2.3").owner, key_of("10.1.3.3").owner);
        assert_eq!(key_of("2001:db8:0:12::1"), key_of("2001:db8:0:34::1"));
        assert_ne!(key_of("2001:db8:0:12::1"), key_of("2001:db8:1::1"));
    }
}
