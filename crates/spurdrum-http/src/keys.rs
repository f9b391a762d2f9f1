//! The keys of requests: what of a request says which others it had better share a server with.

use std::net::IpAddr;

use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::Uri;
use ipnet::IpNet;
use spurdrum_affinity::{AffinityKey, KeyHasher};

/// A part longer than this makes no key.
const PART_MOST: usize = 512;

/// A part of the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// The tenant.
    Tenant,
    /// The network that the client is in.
    Address,
    /// A header field.
    Header(HeaderName),
    /// A parameter of the query.
    Query(String),
}

impl std::str::FromStr for Part {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.split_once(':') {
            None if text == "tenant" => Ok(Self::Tenant),
            None if text == "address" => Ok(Self::Address),
            Some(("header", name)) => {
                name.parse().map(Self::Header).map_err(|_| "names no header field after `header:`")
            }
            Some(("query", name)) if !name.is_empty() => Ok(Self::Query(name.to_owned())),
            _ => Err("is none of `tenant`, `address`, `header:NAME` and `query:NAME`"),
        }
    }
}

/// Who a place in the table is counted to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Owner {
    /// The tenant.
    #[default]
    Tenant,
    /// The network that the client is in.
    Address,
}

/// How keys are made.
#[derive(Clone, Debug)]
pub struct AffinityKeySettings {
    /// The parts of a key. Where one is missing, a request has none.
    pub parts: Vec<Part>,
    /// The classes of which requests have a key; none: all.
    pub classes: Vec<usize>,
    /// A field of answers by which a server gives out keys: it is one of `parts`, and clients send it with what follows.
    pub answer: Option<HeaderName>,
    /// Who places are counted to.
    pub owner: Owner,
    /// How long the prefixes of networks are, for IPv4 and IPv6.
    pub prefixes: [u8; 2],
    /// The names of tenants, in the order of the settings. Guards against keys of an earlier life that pass to another
    /// tenant, as its place in that order does.
    pub tenants: Vec<String>,
}

impl Default for AffinityKeySettings {
    fn default() -> Self {
        let (parts, classes, tenants) = (Vec::new(), Vec::new(), Vec::new());
        Self { parts, classes, answer: None, owner: Owner::Tenant, prefixes: [24, 56], tenants }
    }
}

impl AffinityKeySettings {
    /// Servers give out keys in answers, by a field that is a part of the key.
    ///
    /// # Errors
    ///
    /// It is no name of a field, or not a part.
    pub fn set_response_header(&mut self, name: &str) -> Result<(), &'static str> {
        let name: HeaderName = name.parse().map_err(|_| "is no name of a header field")?;
        if !self.parts.contains(&Part::Header(name.clone())) {
            return Err("is not in `key` as `header:NAME`");
        }
        self.answer = Some(name);
        Ok(())
    }
}

/// Makes keys.
#[derive(Clone)]
pub struct AffinityKeys {
    making: AffinityKeySettings,
    keyer: KeyHasher,
}

/// Whose key a request is to have, and what it is made of but for what its answer gives.
#[derive(Clone)]
pub struct PartialKey {
    owner: u64,
    /// In the order of the parts; what the answer gives is empty.
    values: Vec<Vec<u8>>,
}

impl AffinityKeys {
    /// Keys made so, with the node's secret.
    pub fn new(making: AffinityKeySettings, keyer: KeyHasher) -> Self {
        Self { making, keyer }
    }

    /// The header fields that are read for keys: servers get them, too.
    pub fn fields(&self) -> impl Iterator<Item = &HeaderName> {
        self.making.parts.iter().filter_map(|part| match part {
            Part::Header(name) => Some(name),
            _ => None,
        })
    }

    /// The field of answers by which a server gives out keys.
    pub fn answer(&self) -> Option<&HeaderName> {
        self.making.answer.as_ref()
    }

    /// A request's key, and what a key that its answer gives would be made of.
    pub fn of(
        &self,
        (headers, uri): (&HeaderMap, &Uri),
        (class, tenant): (usize, usize),
        peer: IpAddr,
    ) -> (Option<AffinityKey>, Option<PartialKey>) {
        if !self.making.classes.is_empty() && !self.making.classes.contains(&class) {
            return (None, None);
        }
        let network = self.network(peer);
        let tenant = self.making.tenants.get(tenant).map_or(&b""[..], |name| name.as_bytes());
        let named = |name: &[u8]| self.keyer.affinity_key(0, &[name]).hash.0[0];
        let owner = match self.making.owner {
            Owner::Tenant => named(tenant),
            Owner::Address => network.map_or(0, |net| named(&octets(net.network()))),
        };
        let value = |part: &Part| {
            let value = match part {
                Part::Tenant => Some(tenant.to_vec()),
                Part::Address => network.map(|net| octets(net.network())),
                Part::Header(name) => headers.get(name).map(|value| value.as_bytes().to_vec()),
                Part::Query(name) => parameter(uri.query().unwrap_or_default(), name),
            };
            value.filter(|value| !value.is_empty() && value.len() <= PART_MOST)
        };
        let values: Vec<Option<Vec<u8>>> = self.making.parts.iter().map(value).collect();
        let whole: Option<Vec<&[u8]>> = values.iter().map(Option::as_deref).collect();
        let ask = whole.filter(|parts| !parts.is_empty()).map(|parts| self.keyer.affinity_key(owner, &parts));
        let given = |part: &Part| matches!(part, Part::Header(name) if Some(name) == self.answer());
        let rest =
            self.making.parts.iter().zip(values).map(
                |(part, value)| {
                    if given(part) {
                        Some(Vec::new())
                    } else {
                        value
                    }
                },
            );
        let naming = self.answer().and_then(|_| rest.collect()).map(|values| PartialKey { owner, values });
        (ask, naming)
    }

    /// The key that an answer gives.
    pub fn given(&self, naming: &PartialKey, value: &HeaderValue) -> Option<AffinityKey> {
        let value = Some(value.as_bytes()).filter(|v| !v.is_empty() && v.len() <= PART_MOST)?;
        let parts = naming.values.iter().map(|part| if part.is_empty() { value } else { part });
        Some(self.keyer.affinity_key(naming.owner, &parts.collect::<Vec<_>>()))
    }

    fn network(&self, peer: IpAddr) -> Option<IpNet> {
        let peer = peer.to_canonical();
        let prefix = self.making.prefixes[usize::from(peer.is_ipv6())];
        IpNet::new(peer, prefix).ok().map(|net| net.trunc())
    }
}

fn octets(address: IpAddr) -> Vec<u8> {
    match address {
        IpAddr::V4(v4) => v4.octets().to_vec(),
        IpAddr::V6(v6) => v6.octets().to_vec(),
    }
}

/// The first value of a parameter, as it is written.
fn parameter(query: &str, name: &str) -> Option<Vec<u8>> {
    let named =
        |pair: &str| pair.split_once('=').filter(|(n, _)| *n == name).map(|(_, v)| v.as_bytes().to_vec());
    query.split('&').find_map(named)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn keys(parts: &[&str], answer: Option<&str>) -> AffinityKeys {
        let parts = parts.iter().map(|part| part.parse().expect("a part")).collect();
        let answer = answer.map(|name| name.parse().expect("a name"));
        let tenants = ["a", "b", "c", "d", "e"].map(str::to_owned).to_vec();
        AffinityKeys::new(
            AffinityKeySettings { parts, answer, tenants, ..AffinityKeySettings::default() },
            KeyHasher::new([7; 16]),
        )
    }

    fn of(
        keys: &AffinityKeys,
        headers: &[(&'static str, &str)],
        uri: &str,
        tenant: usize,
    ) -> (Option<AffinityKey>, Option<PartialKey>) {
        let field = |(name, value): &(&'static str, &str)| {
            (HeaderName::from_static(name), value.parse::<HeaderValue>().expect("a value"))
        };
        let headers: HeaderMap = headers.iter().map(field).collect();
        let peer = "::ffff:10.1.2.3".parse().expect("an address");
        keys.of((&headers, &uri.parse().expect("a target")), (0, tenant), peer)
    }

    #[test]
    fn a_key_has_all_its_parts_or_there_is_none() {
        let both = keys(&["tenant", "header:x-inn", "query:room"], None);
        let key = |headers: &[_], uri: &str, tenant| of(&both, headers, uri, tenant).0;
        let whole = key(&[("x-inn", "a")], "/api?k=1&room=7", 1);
        assert!(whole.is_some());
        assert_eq!(whole, key(&[("x-inn", "a")], "/api?room=7&k=2", 1));
        assert_ne!(whole, key(&[("x-inn", "a")], "/api?room=7", 2));
        assert_ne!(whole, key(&[("x-inn", "b")], "/api?room=7", 1));
        for (inn, uri) in [("", "/api?room=7"), ("a", "/api"), ("a", "/api?room="), ("a", "/api?xroom=7")] {
            assert_eq!(key(&[("x-inn", inn)], uri, 1), None, "{inn} {uri}");
        }
        let long = "x".repeat(PART_MOST + 1);
        assert_eq!(key(&[("x-inn", &long)], "/api?room=7", 1), None);
    }

    #[test]
    fn a_tenant_keeps_its_keys_whatever_its_place_among_them() {
        let before = keys(&["tenant"], None);
        let tenants = ["new", "a", "b"].map(str::to_owned).to_vec();
        let after = AffinityKeys::new(AffinityKeySettings { tenants, ..before.making.clone() }, before.keyer);
        assert_eq!(of(&before, &[], "/api", 1).0, of(&after, &[], "/api", 2).0);
        assert_ne!(of(&before, &[], "/api", 1).0, of(&after, &[], "/api", 1).0);
    }

    #[test]
    fn borders_between_parts_count() {
        let two = keys(&["header:x-a", "header:x-b"], None);
        let key = |a, b| of(&two, &[("x-a", a), ("x-b", b)], "/api", 0).0;
        assert_ne!(key("ab", "c"), key("a", "bc"));
    }

    #[test]
    fn a_key_that_an_answer_gives_is_that_of_the_requests_that_bring_it() {
        let session = keys(&["tenant", "header:x-session"], Some("x-session"));
        let (none, naming) = of(&session, &[], "/api", 3);
        let given = session.given(&naming.expect("it may be given one"), &HeaderValue::from_static("s1"));
        assert_eq!(none, None);
        assert_eq!(given, of(&session, &[("x-session", "s1")], "/api", 3).0);
        assert_ne!(given, of(&session, &[("x-session", "s1")], "/api", 4).0);
    }

    #[test]
    fn clients_of_one_network_share_a_key_and_an_owner() {
        let keys = keys(&["address"], None);
        let keys =
            AffinityKeys::new(AffinityKeySettings { owner: Owner::Address, ..keys.making }, keys.keyer);
        let of = |peer: &str| {
            let peer = peer.parse().expect("an address");
            keys.of((&HeaderMap::new(), &Uri::from_static("/api")), (0, 0), peer).0.expect("a key")
        };
        assert_eq!(of("10.1.2.3"), of("::ffff:10.1.2.99"));
        assert_ne!(of("10.1.2.3").owner, of("10.1.3.3").owner);
        assert_eq!(of("2001:db8:0:12::1"), of("2001:db8:0:34::1"));
        assert_ne!(of("2001:db8:0:12::1"), of("2001:db8:1::1"));
    }
}
