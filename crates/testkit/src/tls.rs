//! Certificates for tests: a certificate authority and the certificates that it signs.

use std::path::PathBuf;
use std::sync::Arc;

use rcgen::{BasicConstraints, CertificateParams, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};

/// A certificate authority.
pub struct Authority {
    issuer: Issuer<'static, KeyPair>,
    /// Its certificate, in PEM.
    pub pem: String,
}

/// A certificate with its key, both in PEM.
pub struct Identity {
    pub certificate: String,
    pub key: String,
}

impl Authority {
    /// Creates an authority with a new key.
    pub fn new() -> Self {
        let key = KeyPair::generate().expect("key");
        let mut params = CertificateParams::new(Vec::new()).expect("valid subject names");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let certificate = params.self_signed(&key).expect("a certificate");
        Self { pem: certificate.pem(), issuer: Issuer::new(params, key) }
    }

    /// Signs a certificate for loopback; with `expired`, one whose validity has ended.
    pub fn sign(&self, expired: bool) -> Identity {
        let key = KeyPair::generate().expect("key");
        let names = vec!["localhost".to_owned(), "127.0.0.1".to_owned()];
        let mut params = CertificateParams::new(names).expect("valid subject names");
        params.extended_key_usages =
            vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
        if expired {
            params.not_before = rcgen::date_time_ymd(2020, 1, 1);
            params.not_after = rcgen::date_time_ymd(2021, 1, 1);
        }
        let certificate = params.signed_by(&key, &self.issuer).expect("a certificate");
        Identity { certificate: certificate.pem(), key: key.serialize_pem() }
    }
}

impl Default for Authority {
    fn default() -> Self {
        Self::new()
    }
}

impl Identity {
    /// A server configuration with this certificate. With `client_ca`, clients must present a certificate that this
    /// authority signed.
    pub fn server_config(&self, client_ca: Option<&str>) -> Arc<rustls::ServerConfig> {
        let chain = vec![CertificateDer::from_pem_slice(self.certificate.as_bytes()).expect("a certificate")];
        let key = PrivateKeyDer::from_pem_slice(self.key.as_bytes()).expect("key");
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let builder = rustls::ServerConfig::builder_with_provider(provider);
        let builder = builder.with_safe_default_protocol_versions().expect("TLS versions");
        let builder = match client_ca {
            None => builder.with_no_client_auth(),
            Some(pem) => {
                let mut roots = rustls::RootCertStore::empty();
                roots.add(CertificateDer::from_pem_slice(pem.as_bytes()).expect("a root")).expect("a root");
                let provider = Arc::new(rustls::crypto::ring::default_provider());
                let verifier =
                    rustls::server::WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider);
                builder.with_client_cert_verifier(verifier.build().expect("a verifier"))
            }
        };
        let mut config = builder.with_single_cert(chain, key).expect("a certificate with its key");
        config.alpn_protocols = vec![b"h2".to_vec()];
        Arc::new(config)
    }
}

/// Writes a file into a folder, which is created if missing, and returns its path.
pub fn write_file(folder: &std::path::Path, name: &str, text: &str) -> PathBuf {
    std::fs::create_dir_all(folder).expect("create the folder");
    let path = folder.join(name);
    std::fs::write(&path, text).expect("write the file");
    path
}
