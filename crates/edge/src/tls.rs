//! TLS for Arrow Flight, by rustls: the certificate shown to clients, and whom to trust among backends. Both
//! sides have to agree on HTTP/2 by ALPN; any other outcome ends the connection.

use std::net::SocketAddr;
use std::sync::Arc;

use mallowgauge_settings::{BackendTls, ServerTls};
use rustls::client::WebPkiServerVerifier;
use rustls::pki_types::pem::{self, PemObject};
use rustls::pki_types::{CertificateDer, InvalidDnsNameError, PrivateKeyDer, ServerName};
use rustls::server::{VerifierBuilderError, WebPkiClientVerifier};
use rustls::{ClientConfig, ClientConnection, RootCertStore, ServerConfig, ServerConnection};

/// The application protocol that both sides have to agree on.
pub const ALPN: &[u8] = b"h2";
/// Bytes of plain text that may wait to be encrypted and sent.
const PLAINTEXT_BUFFER: usize = 32 * 1024;

/// Why TLS cannot be set up. Each text is one line, and begins with the setting where one is at fault.
#[derive(Debug, thiserror::Error)]
pub enum TlsError {
    /// The file of a setting is not PEM, or holds no such item.
    #[error("{setting}: {source}")]
    Pem {
        /// The setting that names the file.
        setting: &'static str,
        /// What is wrong with the file.
        source: pem::Error,
    },
    /// The file of a setting is PEM without a certificate.
    #[error("{setting}: no certificate in it")]
    NoCertificate {
        /// The setting that names the file.
        setting: &'static str,
    },
    /// A certificate or key that rustls does not accept.
    #[error("{setting}: {source}")]
    Certificate {
        /// The setting at fault.
        setting: &'static str,
        /// What rustls says.
        source: rustls::Error,
    },
    /// Trusted roots that cannot verify anybody.
    #[error("{setting}: {source}")]
    Roots {
        /// The setting that names the roots.
        setting: &'static str,
        /// What rustls says.
        source: VerifierBuilderError,
    },
    /// The name that backends are expected to prove is no DNS name.
    #[error(transparent)]
    ServerName(#[from] InvalidDnsNameError),
    /// rustls cannot open a session.
    #[error(transparent)]
    Session(#[from] rustls::Error),
}

/// One side of a TLS session.
pub enum Session {
    /// This process accepted the connection.
    Server(Box<ServerConnection>),
    /// This process opened the connection.
    Client(Box<ClientConnection>),
}

fn provider() -> Arc<rustls::crypto::CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

fn certificate_chain(pem: &[u8], setting: &'static str) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let chain = CertificateDer::pem_slice_iter(pem).collect::<Result<Vec<_>, _>>();
    let chain = chain.map_err(|source| TlsError::Pem { setting, source })?;
    if chain.is_empty() {
        return Err(TlsError::NoCertificate { setting });
    }
    Ok(chain)
}

fn root_store(pem: &[u8], setting: &'static str) -> Result<Arc<RootCertStore>, TlsError> {
    let mut store = RootCertStore::empty();
    for certificate in certificate_chain(pem, setting)? {
        store.add(certificate).map_err(|source| TlsError::Certificate { setting, source })?;
    }
    Ok(Arc::new(store))
}

fn private_key(pem: &[u8], setting: &'static str) -> Result<PrivateKeyDer<'static>, TlsError> {
    PrivateKeyDer::from_pem_slice(pem).map_err(|source| TlsError::Pem { setting, source })
}

/// Opens sessions with clients that connect.
pub struct Acceptor(Arc<ServerConfig>);

impl Acceptor {
    /// Shows the configured certificate. Where client roots are configured, clients have to prove a
    /// certificate that these have signed.
    ///
    /// # Errors
    /// A file that cannot be used, by the name of its setting.
    pub fn new(tls: &ServerTls) -> Result<Self, TlsError> {
        let builder =
            ServerConfig::builder_with_provider(provider()).with_safe_default_protocol_versions()?;
        let builder = match &tls.client_ca {
            None => builder.with_no_client_auth(),
            Some(pem) => {
                let setting = "flight.tls.client_ca";
                let roots = root_store(pem, setting)?;
                let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider()).build();
                let verifier = verifier.map_err(|source| TlsError::Roots { setting, source })?;
                builder.with_client_cert_verifier(verifier)
            }
        };
        let chain = certificate_chain(&tls.certificate, "flight.tls.certificate")?;
        let key = private_key(&tls.key, "flight.tls.key")?;
        let config = builder.with_single_cert(chain, key);
        let mut config = config.map_err(|source| TlsError::Certificate { setting: "flight.tls", source })?;
        config.alpn_protocols = vec![ALPN.to_vec()];
        Ok(Self(Arc::new(config)))
    }

    /// A session with a client that has just connected.
    ///
    /// # Errors
    /// rustls cannot open a session.
    pub fn accept(&self) -> Result<Box<ServerConnection>, TlsError> {
        let mut session = ServerConnection::new(Arc::clone(&self.0))?;
        session.set_buffer_limit(Some(PLAINTEXT_BUFFER));
        Ok(Box::new(session))
    }
}

/// Opens sessions with backends.
#[derive(Clone)]
pub struct Connector {
    config: Arc<ClientConfig>,
    /// The name that backends have to prove; their IP address where it is `None`.
    server_name: Option<String>,
}

impl Connector {
    /// Trusts the configured roots, and shows a certificate where one is configured.
    ///
    /// # Errors
    /// A file that cannot be used, by the name of its setting.
    pub fn new(tls: &BackendTls) -> Result<Self, TlsError> {
        let builder =
            ClientConfig::builder_with_provider(provider()).with_safe_default_protocol_versions()?;
        let setting = "flight.host_tls.ca";
        let roots = root_store(&tls.ca, setting)?;
        let verifier = WebPkiServerVerifier::builder_with_provider(roots, provider()).build();
        let verifier = verifier.map_err(|source| TlsError::Roots { setting, source })?;
        let builder = builder.with_webpki_verifier(verifier);
        let mut config = match &tls.identity {
            None => builder.with_no_client_auth(),
            Some((certificate, key)) => {
                let chain = certificate_chain(certificate, "flight.host_tls.certificate")?;
                let key = private_key(key, "flight.host_tls.key")?;
                let config = builder.with_client_auth_cert(chain, key);
                config.map_err(|source| TlsError::Certificate { setting: "flight.host_tls", source })?
            }
        };
        config.alpn_protocols = vec![ALPN.to_vec()];
        Ok(Self { config: Arc::new(config), server_name: tls.name.clone() })
    }

    /// A session with the backend at this address.
    ///
    /// # Errors
    /// The configured name is no DNS name, or rustls cannot open a session.
    pub fn connect(&self, addr: SocketAddr) -> Result<Box<ClientConnection>, TlsError> {
        let name = match &self.server_name {
            Some(name) => ServerName::try_from(name.clone())?,
            None => ServerName::from(addr.ip()),
        };
        let mut session = ClientConnection::new(Arc::clone(&self.config), name)?;
        session.set_buffer_limit(Some(PLAINTEXT_BUFFER));
        Ok(Box::new(session))
    }
}
