//! The section `flight` of the operator's file: the Flight frontend, and the backends that offer Flight.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use mallowgauge_router::Micros;
use serde_json::Value;

use crate::error::{OperatorError, Problem};
use crate::section::OperatorSection;

/// A frontend's certificate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerTls {
    /// The chain, in PEM.
    pub certificate: Vec<u8>,
    /// The key, in PEM.
    pub key: Vec<u8>,
    /// Clients have to show a certificate from one of these roots, in PEM.
    pub client_ca: Option<Vec<u8>>,
}

/// What is trusted of backends, and shown to them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendTls {
    /// The roots that backends' certificates come from, in PEM.
    pub ca: Vec<u8>,
    /// The name in them; the backend's address where there is none.
    pub name: Option<String>,
    /// A chain and its key, both in PEM, that are shown to backends.
    pub identity: Option<(Vec<u8>, Vec<u8>)>,
}

/// The settings of Flight, where an operator has set it up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FlightSettings {
    /// Where Flight clients connect.
    pub listen: Option<SocketAddr>,
    /// The backends that offer Flight, by their ids.
    pub backends: BTreeSet<String>,
    /// Every backend offers it.
    pub every_backend: bool,
    /// What tickets and tokens are signed with; drawn at each start where there is none.
    pub key: Option<Vec<u8>>,
    /// Who may call, with lines that prove their passwords; everybody where there are none.
    pub users: Option<BTreeMap<String, String>>,
    /// How long a ticket is valid, in µs.
    pub ticket_lifetime: Micros,
    /// How long a token is valid, in µs.
    pub token_lifetime: Micros,
    /// TLS for clients.
    pub tls: Option<ServerTls>,
    /// TLS towards backends.
    pub backend_tls: Option<BackendTls>,
}

/// Default validity of a ticket, in seconds.
const TICKET_S: u64 = 600;
/// Default validity of a token, in seconds.
const TOKEN_S: u64 = 3600;

impl Default for FlightSettings {
    fn default() -> Self {
        Self {
            listen: None,
            backends: BTreeSet::new(),
            every_backend: false,
            key: None,
            users: None,
            ticket_lifetime: TICKET_S * 1_000_000,
            token_lifetime: TOKEN_S * 1_000_000,
            tls: None,
            backend_tls: None,
        }
    }
}

impl FlightSettings {
    /// Reads the section.
    ///
    /// # Errors
    /// The key that is wrong.
    pub(crate) fn read(value: &Value, file: &str) -> Result<Self, OperatorError> {
        let known = &["listen", "hosts", "key", "users", "ticket_s", "token_s", "tls", "host_tls"];
        let section = OperatorSection::new(value, file, "flight", known)?;
        let listen = section.address("listen")?;
        let (hosts, every_host) = read_hosts(&section)?;
        let key = section.file("key")?;
        if key.as_ref().is_some_and(|key| key.len() < mallowgauge_flight::seal::SHORTEST_KEY) {
            return Err(section.error("key", Problem::Unexpected("is a file of fewer than 16 bytes")));
        }
        let users = section.file("users")?.map(|text| read_users(&text, &section)).transpose()?;
        // What is wrong with a validity is reported before what is wrong with TLS.
        let tls = section.value("tls").map(|value| read_server_tls(value, file));
        let host_tls = section.value("host_tls").map(|value| read_host_tls(value, file));
        Ok(Self {
            listen,
            backends: hosts,
            every_backend: every_host,
            key,
            users,
            ticket_lifetime: section.seconds("ticket_s", TICKET_S)?,
            token_lifetime: section.seconds("token_s", TOKEN_S)?,
            tls: tls.transpose()?,
            backend_tls: host_tls.transpose()?,
        })
    }
}

/// The backends that offer Flight by their ids, and whether every one does.
fn read_hosts(section: &OperatorSection<'_>) -> Result<(BTreeSet<String>, bool), OperatorError> {
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
        certificate: section.needed_file("certificate")?,
        key: section.needed_file("key")?,
        client_ca: section.file("client_ca")?,
    })
}

fn read_host_tls(value: &Value, file: &str) -> Result<BackendTls, OperatorError> {
    let known = &["ca", "name", "certificate", "key"];
    let section = OperatorSection::new(value, file, "flight.host_tls", known)?;
    let identity = match (section.file("certificate")?, section.file("key")?) {
        (None, None) => None,
        (Some(certificate), Some(key)) => Some((certificate, key)),
        (None, Some(_)) => return Err(section.error("certificate", Problem::MissingBeside("key"))),
        (Some(_), None) => return Err(section.error("key", Problem::MissingBeside("certificate"))),
    };
    let name = section.text("name")?.map(str::to_owned);
    Ok(BackendTls { ca: section.needed_file("ca")?, name, identity })
}

/// Reads lines `NAME:pbkdf2-sha256$ROUNDS$SALT$HASH`; empty ones and those that begin with `#` are skipped.
fn read_users(text: &[u8], section: &OperatorSection<'_>) -> Result<BTreeMap<String, String>, OperatorError> {
    let no_text = |_| section.error("users", Problem::Unexpected("is a file that is no text"));
    let text = std::str::from_utf8(text).map_err(no_text)?;
    let mut users = BTreeMap::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let error = |problem| section.error("users", Problem::UserLine { line: index + 1, problem });
        let (name, secret) = line.split_once(':').ok_or_else(|| error("no colon behind a name"))?;
        if !mallowgauge_flight::seal::is_secret(secret) {
            return Err(error("not pbkdf2-sha256$ROUNDS$SALT$HASH with up to 200000 rounds"));
        }
        if users.insert(name.to_owned(), secret.to_owned()).is_some() {
            return Err(error("a user that was named before"));
        }
    }
    Ok(users)
}
