//! TLS for Arrow Flight with rustls: the server's certificate, and the verification of clients and backends. Both
//! sides have to negotiate HTTP/2 by ALPN, otherwise the connection ends.

use std::net::SocketAddr;
use std::sync::Arc;

use mallowgauge_settings::{BackendTls, ServerTls};
use rustls::client::WebPkiServerVerifier;
use rustls::pki_types::pem::{self, PemObject};
use rustls::pki_types::{CertificateDer, InvalidDnsNameError, PrivateKeyDer, ServerName};
use rustls::server::{VerifierBuilderError, WebPkiClientVerifier};
use rustls::{ClientConfig, ClientConnection, RootCertStore, ServerConfig, ServerConnection};

/// The application protocol that both sides have to negotiate.
pub const ALPN: &[u8] = b"h2";
/// Bytes of plaintext that may be buffered until they are encrypted and sent.
const PLAINTEXT_BUFFER_BYTES: usize = 32 * 1024;

/// Why TLS cannot be set up. Each message is one line, and begins with the setting if one is at fault.
#[derive(Debug, thiserror::Error)]
pub enum TlsError {
    /// The file of a setting is not PEM, or lacks the expected item.
    #[error("{setting}: {source}")]
    Pem {
        /// The setting that names the file.
        setting: &'static str,
        /// What is wrong with the file.
        source: pem::Error,
    },
    /// The file of a setting is PEM without a certificate.
    #[error("{setting}: file contains no certificate")]
    NoCertificate {
        /// The setting that names the file.
        setting: &'static str,
    },
    /// A certificate or key that rustls does not accept.
    #[error("{setting}: {source}")]
    Certificate {
        /// The setting at fault.
        setting: &'static str,
        /// The error of rustls.
        source: rustls::Error,
    },
    /// Trusted roots from which no verifier can be built.
    #[error("{setting}: {source}")]
    Roots {
        /// The setting that names the roots.
        setting: &'static str,
        /// The error of rustls.
        source: VerifierBuilderError,
    },
    /// The configured server name of backends is not a valid DNS name.
    #[error(transparent)]
    ServerName(#[from] InvalidDnsNameError),
    /// rustls cannot create a session.
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

/// Creates TLS sessions with connecting clients.
pub struct Acceptor(Arc<ServerConfig>);

impl Acceptor {
    /// Creates an acceptor with the configured certificate. If client roots are configured, clients have to present a
    /// certificate signed by one of them.
    ///
    /// # Errors
    /// A certificate or key file cannot be used; the error names its setting.
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

    /// Creates a session with a client that has just connected.
    ///
    /// # Errors
    /// rustls cannot create a session.
    pub fn accept(&self) -> Result<Box<ServerConnection>, TlsError> {
        let mut session = ServerConnection::new(Arc::clone(&self.0))?;
        session.set_buffer_limit(Some(PLAINTEXT_BUFFER_BYTES));
        Ok(Box::new(session))
    }
}

/// Creates TLS sessions with backends.
#[derive(Clone)]
pub struct Connector {
    config: Arc<ClientConfig>,
    /// The name that backends have to authenticate as; if `None`, their IP address.
    server_name: Option<String>,
}

impl Connector {
    /// Creates a connector that trusts the configured roots, and presents a client certificate if one is configured.
    ///
    /// # Errors
    /// A certificate or key file cannot be used; the error names its setting.
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

    /// Creates a session with the backend at this address.
    ///
    /// # Errors
    /// The configured name is not a valid DNS name, or rustls cannot create a session.
    pub fn connect(&self, addr: SocketAddr) -> Result<Box<ClientConnection>, TlsError> {
        let name = match &self.server_name {
            Some(name) => ServerName::try_from(name.clone())?,
            None => ServerName::from(addr.ip()),
        };
        let mut session = ClientConnection::new(Arc::clone(&self.config), name)?;
        session.set_buffer_limit(Some(PLAINTEXT_BUFFER_BYTES));
        Ok(Box::new(session))
    }
}
