//! The section `flight` of the operator's file: the Flight frontend, and the backends that support Flight.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use mallowgauge_router::Micros;
use serde_json::Value;

use crate::error::{OperatorError, Problem};
use crate::section::OperatorSection;

/// TLS settings of the frontend.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerTls {
    /// The certificate chain, in PEM.
    pub certificate: Vec<u8>,
    /// The private key, in PEM.
    pub key: Vec<u8>,
    /// The root certificates, in PEM; if set, clients have to present a certificate issued by one of them.
    pub client_ca: Option<Vec<u8>>,
}

/// TLS settings of the connections to backends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendTls {
    /// The trusted root certificates of backends, in PEM.
    pub ca: Vec<u8>,
    /// The name that backends' certificates have to contain; the backend's address if there is none.
    pub name: Option<String>,
    /// The client certificate chain and its private key, both in PEM.
    pub identity: Option<(Vec<u8>, Vec<u8>)>,
}

/// Settings of Arrow Flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FlightSettings {
    /// The address for Flight clients; the frontend is off if there is none.
    pub listen: Option<SocketAddr>,
    /// Ids of the backends that support Flight.
    pub backends: BTreeSet<String>,
    /// Whether every backend supports Flight.
    pub every_backend: bool,
    /// The secret that tickets and tokens are signed with; a random one is generated at each start if there is none.
    pub key: Option<Vec<u8>>,
    /// Password entries by user name; without users, callers are not authenticated.
    pub users: Option<BTreeMap<String, String>>,
    /// The lifetime of a ticket, in µs.
    pub ticket_lifetime: Micros,
    /// The lifetime of a token, in µs.
    pub token_lifetime: Micros,
    /// TLS of the frontend.
    pub tls: Option<ServerTls>,
    /// TLS of the connections to backends.
    pub backend_tls: Option<BackendTls>,
}

/// Default lifetime of a ticket, in seconds.
const DEFAULT_TICKET_LIFETIME_S: u64 = 600;
/// Default lifetime of a token, in seconds.
const DEFAULT_TOKEN_LIFETIME_S: u64 = 3600;

impl Default for FlightSettings {
    fn default() -> Self {
        Self {
            listen: None,
            backends: BTreeSet::new(),
            every_backend: false,
            key: None,
            users: None,
            ticket_lifetime: DEFAULT_TICKET_LIFETIME_S * 1_000_000,
            token_lifetime: DEFAULT_TOKEN_LIFETIME_S * 1_000_000,
            tls: None,
            backend_tls: None,
        }
    }
}

impl FlightSettings {
    /// Reads the section.
    ///
    /// # Errors
    /// Names the key that is invalid.
    pub(crate) fn read(value: &Value, file: &str) -> Result<Self, OperatorError> {
        let known = &["listen", "hosts", "key", "users", "ticket_s", "token_s", "tls", "host_tls"];
        let section = OperatorSection::new(value, file, "flight", known)?;
        let listen = section.address("listen")?;
        let (backends, every_backend) = read_backends(&section)?;
        let key = section.file("key")?;
        if key.as_ref().is_some_and(|key| key.len() < mallowgauge_flight::seal::MIN_KEY_BYTES) {
            return Err(section.error("key", Problem::Unexpected("is a file of fewer than 16 bytes")));
        }
        let users = section.file("users")?.map(|text| read_users(&text, &section)).transpose()?;
        // The TLS results are unwrapped below, so that errors of the lifetimes are reported first.
        let tls = section.value("tls").map(|value| read_server_tls(value, file));
        let backend_tls = section.value("host_tls").map(|value| read_backend_tls(value, file));
        Ok(Self {
            listen,
            backends,
            every_backend,
            key,
            users,
            ticket_lifetime: section.seconds("ticket_s", DEFAULT_TICKET_LIFETIME_S)?,
            token_lifetime: section.seconds("token_s", DEFAULT_TOKEN_LIFETIME_S)?,
            tls: tls.transpose()?,
            backend_tls: backend_tls.transpose()?,
        })
    }
}

/// Reads the ids of the backends that support Flight, and whether every one does.
fn read_backends(section: &OperatorSection<'_>) -> Result<(BTreeSet<String>, bool), OperatorError> {
    let error = |problem| section.error("hosts", Problem::Unexpected(problem));
    match section.value("hosts") {
        None => Ok((BTreeSet::new(), false)),
        Some(Value::String(all)) if all == "all" => Ok((BTreeSet::new(), true)),
        Some(Value::Array(list)) => {
            let ids: Option<_> = list.iter().map(|id| id.as_str().map(str::to_owned)).collect();
            Ok((ids.ok_or_else(|| error("holds something other than ids"))?, false))
        }
        Some(_) => Err(error("is neither a list of ids nor \"all\"")),
    }
}

fn read_server_tls(value: &Value, file: &str) -> Result<ServerTls, OperatorError> {
    let section = OperatorSection::new(value, file, "flight.tls", &["certificate", "key", "client_ca"])?;
    Ok(ServerTls {
        certificate: section.required_file("certificate")?,
        key: section.required_file("key")?,
        client_ca: section.file("client_ca")?,
    })
}

fn read_backend_tls(value: &Value, file: &str) -> Result<BackendTls, OperatorError> {
    let known = &["ca", "name", "certificate", "key"];
    let section = OperatorSection::new(value, file, "flight.host_tls", known)?;
    let identity = match (section.file("certificate")?, section.file("key")?) {
        (None, None) => None,
        (Some(certificate), Some(key)) => Some((certificate, key)),
        (None, Some(_)) => return Err(section.error("certificate", Problem::MissingBeside("key"))),
        (Some(_), None) => return Err(section.error("key", Problem::MissingBeside("certificate"))),
    };
    let name = section.text("name")?.map(str::to_owned);
    Ok(BackendTls { ca: section.required_file("ca")?, name, identity })
}

/// Reads lines of the form `NAME:pbkdf2-sha256$ROUNDS$SALT$HASH`. Skips empty ones and those that begin with `#`.
fn read_users(text: &[u8], section: &OperatorSection<'_>) -> Result<BTreeMap<String, String>, OperatorError> {
    let not_utf8 = |_| section.error("users", Problem::Unexpected("is a file that is no text"));
    let text = std::str::from_utf8(text).map_err(not_utf8)?;
    let mut users = BTreeMap::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let error = |problem| section.error("users", Problem::UserLine { line: index + 1, problem });
        let (name, entry) = line.split_once(':').ok_or_else(|| error("no colon behind a name"))?;
        if !mallowgauge_flight::seal::is_valid_password_entry(entry) {
            return Err(error("not pbkdf2-sha256$ROUNDS$SALT$HASH with up to 200000 rounds"));
        }
        if users.insert(name.to_owned(), entry.to_owned()).is_some() {
            return Err(error("a user that was named before"));
        }
    }
    Ok(users)
}
