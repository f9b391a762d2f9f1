//! Certificates for tests of TLS.

/// Returns a new CA certificate, and a certificate that it has signed for this name with its key, all in PEM.
pub fn signed(name: &str) -> (String, String, String) {
    use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
    let (ca_key, key) = (KeyPair::generate().expect("a key"), KeyPair::generate().expect("a key"));
    let mut ca = CertificateParams::new(Vec::new()).expect("valid parameters");
    ca.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let ca_pem = ca.self_signed(&ca_key).expect("signed").pem();
    let issuer = Issuer::new(ca, ca_key);
    let leaf =
        CertificateParams::new(vec![name.to_owned()]).expect("valid parameters").signed_by(&key, &issuer);
    (ca_pem, leaf.expect("signed").pem(), key.serialize_pem())
}
