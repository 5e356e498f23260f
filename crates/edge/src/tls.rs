//! TLS for Flight, by rustls: the front's certificate, and what is trusted of hosts. ALPN has to agree on
//! `h2`; anything else ends the connection.

use std::sync::Arc;

use mallowgauge_settings::{HostTls, ServerTls};
use rustls::client::WebPkiServerVerifier;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, ClientConnection, RootCertStore, ServerConfig, ServerConnection};

/// What both sides have to agree on.
pub const ALPN: &[u8] = b"h2";
/// Plain text that waits to be encrypted and sent.
const BUFFER: usize = 32 * 1024;

/// Either side of a session.
pub enum Session {
    /// A client has called.
    Server(Box<ServerConnection>),
    /// A host is called.
    Client(Box<ClientConnection>),
}

fn provider() -> Arc<rustls::crypto::CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

fn chain(pem: &[u8], what: &str) -> Result<Vec<CertificateDer<'static>>, String> {
    let all: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem).collect();
    let all = all.map_err(|e| format!("{what}: {e}"))?;
    if all.is_empty() {
        Err(format!("{what}: no certificate in it"))
    } else {
        Ok(all)
    }
}

fn roots(pem: &[u8], what: &str) -> Result<RootCertStore, String> {
    let mut store = RootCertStore::empty();
    for certificate in chain(pem, what)? {
        store.add(certificate).map_err(|e| format!("{what}: {e}"))?;
    }
    Ok(store)
}

fn secret(pem: &[u8], what: &str) -> Result<PrivateKeyDer<'static>, String> {
    PrivateKeyDer::from_pem_slice(pem).map_err(|e| format!("{what}: {e}"))
}

/// Answers clients.
pub struct Acceptor(Arc<ServerConfig>);

impl Acceptor {
    /// With a certificate, and where one is set with the roots that clients' certificates come from.
    ///
    /// # Errors
    /// One line that says what is wrong.
    pub fn new(tls: &ServerTls) -> Result<Self, String> {
        let builder = ServerConfig::builder_with_provider(provider())
            .with_safe_default_protocol_versions()
            .map_err(|e| e.to_string())?;
        let builder = match &tls.client_ca {
            None => builder.with_no_client_auth(),
            Some(pem) => {
                let roots = Arc::new(roots(pem, "flight.tls.client_ca")?);
                let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider()).build();
                builder.with_client_cert_verifier(verifier.map_err(|e| format!("flight.tls.client_ca: {e}"))?)
            }
        };
        let chain = chain(&tls.certificate, "flight.tls.certificate")?;
        let key = secret(&tls.key, "flight.tls.key")?;
        let config = builder.with_single_cert(chain, key).map_err(|e| format!("flight.tls: {e}"));
        let mut config = config?;
        config.alpn_protocols = vec![ALPN.to_vec()];
        Ok(Self(Arc::new(config)))
    }

    /// A session with a client that has just connected.
    ///
    /// # Errors
    /// As rustls says.
    pub fn accept(&self) -> Result<Box<ServerConnection>, String> {
        let mut session = ServerConnection::new(Arc::clone(&self.0)).map_err(|e| e.to_string())?;
        session.set_buffer_limit(Some(BUFFER));
        Ok(Box::new(session))
    }
}

/// Calls hosts.
#[derive(Clone)]
pub struct Connector {
    config: Arc<ClientConfig>,
    name: Option<String>,
}

impl Connector {
    /// Trusts what these settings say, and shows a certificate where they name one.
    ///
    /// # Errors
    /// One line that says what is wrong.
    pub fn new(tls: &HostTls) -> Result<Self, String> {
        let builder = ClientConfig::builder_with_provider(provider())
            .with_safe_default_protocol_versions()
            .map_err(|e| e.to_string())?;
        let roots = Arc::new(roots(&tls.ca, "flight.host_tls.ca")?);
        let verifier = WebPkiServerVerifier::builder_with_provider(roots, provider()).build();
        let builder = builder.with_webpki_verifier(verifier.map_err(|e| format!("flight.host_tls.ca: {e}"))?);
        let mut config = match &tls.identity {
            None => builder.with_no_client_auth(),
            Some((certificate, key)) => {
                let chain = chain(certificate, "flight.host_tls.certificate")?;
                let key = secret(key, "flight.host_tls.key")?;
                builder.with_client_auth_cert(chain, key).map_err(|e| format!("flight.host_tls: {e}"))?
            }
        };
        config.alpn_protocols = vec![ALPN.to_vec()];
        Ok(Self { config: Arc::new(config), name: tls.name.clone() })
    }

    /// A session with a host at this address.
    ///
    /// # Errors
    /// As rustls says.
    pub fn connect(&self, addr: std::net::SocketAddr) -> Result<Box<ClientConnection>, String> {
        let name = match &self.name {
            Some(name) => ServerName::try_from(name.clone()).map_err(|e| e.to_string())?,
            None => ServerName::from(addr.ip()),
        };
        let session = ClientConnection::new(Arc::clone(&self.config), name).map_err(|e| e.to_string());
        let mut session = session?;
        session.set_buffer_limit(Some(BUFFER));
        Ok(Box::new(session))
    }
}
