//! Certificates made for a test: an authority, and what it signs.

use std::path::PathBuf;
use std::sync::Arc;

use rcgen::{BasicConstraints, CertificateParams, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};

/// An authority.
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
    /// A new one.
    pub fn new() -> Self {
        let key = KeyPair::generate().expect("a key");
        let mut params = CertificateParams::new(Vec::new()).expect("names");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let certificate = params.self_signed(&key).expect("a certificate");
        Self { pem: certificate.pem(), issuer: Issuer::new(params, key) }
    }

    /// A certificate for loopback; one that has expired if so wished.
    pub fn sign(&self, expired: bool) -> Identity {
        let key = KeyPair::generate().expect("a key");
        let names = vec!["localhost".to_owned(), "127.0.0.1".to_owned()];
        let mut params = CertificateParams::new(names).expect("names");
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
    /// The certificate as a server's settings; with roots, clients have to show a certificate from there.
    pub fn server_config(&self, clients: Option<&str>) -> Arc<rustls::ServerConfig> {
        let chain = vec![CertificateDer::from_pem_slice(self.certificate.as_bytes()).expect("a certificate")];
        let key = PrivateKeyDer::from_pem_slice(self.key.as_bytes()).expect("a key");
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let builder = rustls::ServerConfig::builder_with_provider(provider);
        let builder = builder.with_safe_default_protocol_versions().expect("versions");
        let builder = match clients {
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
        let mut config = builder.with_single_cert(chain, key).expect("a pair");
        config.alpn_protocols = vec![b"h2".to_vec()];
        Arc::new(config)
    }
}

/// Writes a file for the program to read, in a folder of the test's own.
pub fn write_file(folder: &std::path::Path, name: &str, text: &str) -> PathBuf {
    std::fs::create_dir_all(folder).expect("a folder");
    let path = folder.join(name);
    std::fs::write(&path, text).expect("a file");
    path
}
