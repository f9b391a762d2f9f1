//! TLS towards a registry: the certificate authorities to trust, and the node's own certificate.

use std::sync::Arc;

use tokio_rustls::rustls::crypto::ring;
use tokio_rustls::rustls::pki_types::pem::PemObject;
use tokio_rustls::rustls::pki_types::{CertificateDer, PrivateKeyDer};
use tokio_rustls::rustls::{ClientConfig, RootCertStore};
use tokio_rustls::TlsConnector;

/// Trusted authorities, and the node's certificate and key, all in PEM.
#[derive(Clone, Debug, Default)]
pub struct Tls {
    /// Authorities that the registry's certificate must be signed by; the system's authorities are not
    /// trusted.
    pub ca: Vec<u8>,
    /// The node's certificate and key; `None` if the registry requires no client certificate.
    pub identity: Option<(Vec<u8>, Vec<u8>)>,
    /// Name that the registry's certificate must have, if it is not that of the endpoint.
    pub server_name: Option<String>,
}

impl Tls {
    /// Returns a connector with rustls's default protocol versions and cipher suites.
    ///
    /// # Errors
    ///
    /// Returns the key of the first setting without valid PEM, and the reason.
    pub fn connector(&self) -> Result<TlsConnector, (&'static str, &'static str)> {
        let invalid_ca = ("ca_file", "contains no valid PEM certificate");
        let mut roots = RootCertStore::empty();
        for certificate in CertificateDer::pem_slice_iter(&self.ca) {
            roots.add(certificate.map_err(|_| invalid_ca)?).map_err(|_| invalid_ca)?;
        }
        if roots.is_empty() {
            return Err(invalid_ca);
        }
        let config = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()));
        let config = config.with_safe_default_protocol_versions().map_err(|_| invalid_ca)?;
        let config = config.with_root_certificates(roots);
        let config = match &self.identity {
            None => config.with_no_client_auth(),
            Some((certificate, key)) => {
                let chain: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(certificate).collect();
                let chain = chain.map_err(|_| ("cert_file", "contains no valid PEM certificate"))?;
                let invalid_key = ("key_file", "contains no PEM key, or one that does not match `cert_file`");
                let key = PrivateKeyDer::from_pem_slice(key).map_err(|_| invalid_key)?;
                config.with_client_auth_cert(chain, key).map_err(|_| invalid_key)?
            }
        };
        Ok(TlsConnector::from(Arc::new(config)))
    }
}
