//! How a registry is verified, and what it is shown.

use std::sync::Arc;

use tokio_rustls::rustls::crypto::ring;
use tokio_rustls::rustls::pki_types::pem::PemObject;
use tokio_rustls::rustls::pki_types::{CertificateDer, PrivateKeyDer};
use tokio_rustls::rustls::{ClientConfig, RootCertStore};
use tokio_rustls::TlsConnector;

/// Authorities, a certificate and a key. All in PEM.
#[derive(Clone, Debug, Default)]
pub struct Tls {
    /// Whom the registry's certificates must come from; the system's authorities do not count.
    pub ca: Vec<u8>,
    /// The node's own certificate and key; none where it is asked for none.
    pub identity: Option<(Vec<u8>, Vec<u8>)>,
    /// The name that the registry's certificates must have, where that is not the endpoint's.
    pub server_name: Option<String>,
}

impl Tls {
    /// What makes TLS of a connection, by rustls's default versions and suites.
    ///
    /// # Errors
    ///
    /// The key that holds no sound PEM, and why.
    pub fn connector(&self) -> Result<TlsConnector, (&'static str, &'static str)> {
        let wrong_ca = ("ca_file", "holds no sound certificate in PEM");
        let mut roots = RootCertStore::empty();
        for certificate in CertificateDer::pem_slice_iter(&self.ca) {
            roots.add(certificate.map_err(|_| wrong_ca)?).map_err(|_| wrong_ca)?;
        }
        if roots.is_empty() {
            return Err(wrong_ca);
        }
        let config = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()));
        let config = config.with_safe_default_protocol_versions().map_err(|_| wrong_ca)?;
        let config = config.with_root_certificates(roots);
        let config = match &self.identity {
            None => config.with_no_client_auth(),
            Some((certificate, key)) => {
                let chain: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(certificate).collect();
                let chain = chain.map_err(|_| ("cert_file", "holds no sound certificate in PEM"))?;
                let wrong_key = ("key_file", "holds no key in PEM, or not that of `cert_file`");
                let key = PrivateKeyDer::from_pem_slice(key).map_err(|_| wrong_key)?;
                config.with_client_auth_cert(chain, key).map_err(|_| wrong_key)?
            }
        };
        Ok(TlsConnector::from(Arc::new(config)))
    }
}
